package sidecar

import (
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

// silentTime is how long a connection may be silent, or idle, before it makes room ahead of others that are needed more.
const silentTime = 250 * time.Millisecond

// share takes the application's share of the descriptors as the room, and what it may hold together with upstreams.
func (l *clients) setLimits(room, all int) {
	upstreams := l.upstreams()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clientShare, l.maxTotal = room, all
	for len(l.conns) > l.softLimit(upstreams) && l.shedOne(closedRoomPartial) {
	}
}

// allowed is how many connections may be held while others can make room: the application's share at least, and
// what upstreams leave but for some that they may soon want. The caller holds the lock.
func (l *clients) softLimit(upstreams int) int {
	return max(l.clientShare, l.maxTotal-upstreams-l.clientShare/6)
}

// yield makes room for one more connection to an upstream, beside so many. It returns false if there is none.
func (l *clients) makeRoomForUpstream(upstreams int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns)+upstreams >= l.maxTotal {
		if !l.shedOne(closedRoomPartial) {
			return false
		}
	}
	return true
}

// spare tells whether there is room for one more connection to an upstream, beside so many.
func (l *clients) hasRoomForUpstream(upstreams int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)+upstreams < l.maxTotal
}

// enter counts a connection in, if need be at the cost of another. It returns false if there is no room.
func (l *clients) add(k *clientConn) bool {
	upstreams := l.upstreams()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.softLimit(upstreams) && !l.shedOne(closedRoomPartial) && len(l.conns) >= l.clientShare+l.clientShare/6 {
		l.rejected++
		l.countClose(closedNoRoom)
		return false
	}
	k.since, k.clients = time.Now(), l
	l.conns[k] = struct{}{}
	l.peak = max(l.peak, len(l.conns))
	return true
}

// shedOne closes the connection that is needed least: one that has long been silent since it came, else one that
// stands idle between requests, else one whose first request is under way; of each, the one that has been so, or
// has sent nothing more, for longest. Kinds past the last one are left alone. The application sends at once when it has
// connected, and if a close crosses a request on an idle connection, that is sent again; a half request is refused, as
// the rest of it may be on its way. It returns false if none can go. The caller holds the lock.
func (l *clients) shedOne(last closeReason) bool {
	var first [closeReasons]*clientConn
	var longest [closeReasons]time.Duration
	now := time.Now()
	for c := range l.conns {
		kind, waited, ok := c.roomKind(now, l.clock.now())
		if ok && kind <= last && (first[kind] == nil || waited > longest[kind]) {
			first[kind], longest[kind] = c, waited
		}
	}
	for kind := closedRoomSilent; kind <= last; kind++ {
		c := first[kind]
		if c == nil {
			continue
		}
		if kind == closedRoomPartial && c.hasUnread() { // asked of the one alone: the kernel's answer takes its time
			c.spoken = true
			return l.shedOne(last)
		}
		if !c.closeUnlessServing(kind == closedRoomPartial) { // its request has come just now
			return l.shedOne(last)
		}
		delete(l.conns, c)
		l.shed[kind-closedRoomSilent]++
		l.countClose(kind)
		return true
	}
	return false
}

// roomKind tells as what a connection may make room, and for how long it has been that; ok: it may. The caller holds
// the lock of the clients.
func (c *clientConn) roomKind(now time.Time, clock time.Duration) (kind closeReason, waited time.Duration, ok bool) {
	waited = now.Sub(c.since)
	begun, whole := c.requestProgress()
	switch {
	case c.hadRequest && c.state != http.StateIdle, whole:
		return 0, 0, false
	case begun:
		return closedRoomPartial, clock - time.Duration(c.spoke.Load()), true
	case waited <= silentTime:
		return closedRoomPartial, waited, !c.spoken
	case c.hadRequest:
		return closedRoomIdle, waited, true
	}
	return closedRoomSilent, waited, true
}

// unread tells whether bytes have come that nobody has read so far.
func (c *clientConn) hasUnread() bool {
	if c.raw == nil {
		return false
	}
	n := 0
	_ = c.raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }) // it fails only on a closed one
	return n > 0
}
