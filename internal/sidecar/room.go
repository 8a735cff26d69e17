package sidecar

import (
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

// silentTime is how long a connection may be silent, or idle, before it makes room ahead of others that are needed more.
const silentTime = 250 * time.Millisecond

// share takes the application's share of the descriptors as the room, and what it may hold together with upstreams.
func (l *clients) share(room, all int) {
	upstreams := l.upstreams()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.room, l.all = room, all
	for len(l.conns) > l.allowed(upstreams) && l.shedOne(closedRoomPartial) {
	}
}

// allowed is how many connections may be held while others can make room: the application's share at least, and
// what upstreams leave but for some that they may soon want. The caller holds the lock.
func (l *clients) allowed(upstreams int) int { return max(l.room, l.all-upstreams-l.room/6) }

// yield makes room for one more connection to an upstream, beside so many. It returns false if there is none.
func (l *clients) yield(upstreams int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns)+upstreams >= l.all {
		if !l.shedOne(closedRoomPartial) {
			return false
		}
	}
	return true
}

// spare tells whether there is room for one more connection to an upstream, beside so many.
func (l *clients) spare(upstreams int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)+upstreams < l.all
}

// enter counts a connection in, if need be at the cost of another. It returns false if there is no room.
func (l *clients) enter(k *clientConn) bool {
	upstreams := l.upstreams()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.allowed(upstreams) && !l.shedOne(closedRoomPartial) && len(l.conns) >= l.room+l.room/6 {
		l.barred++
		l.closed(closedNoRoom)
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
		if kind == closedRoomPartial && c.unread() { // asked of the one alone: the kernel's answer takes its time
			c.spoken = true
			return l.shedOne(last)
		}
		if !c.end(kind == closedRoomPartial) { // its request has come just now
			return l.shedOne(last)
		}
		delete(l.conns, c)
		l.shed[kind-closedRoomSilent]++
		l.closed(kind)
		return true
	}
	return false
}

// roomKind tells as what a connection may make room, and for how long it has been that; ok: it may. The caller holds
// the lock of the clients.
func (c *clientConn) roomKind(now time.Time, clock time.Duration) (kind closeReason, waited time.Duration, ok bool) {
	waited = now.Sub(c.since)
	begun, whole := c.at()
	switch {
	case c.known && c.state != http.StateIdle, whole:
		return 0, 0, false
	case begun:
		return closedRoomPartial, clock - time.Duration(c.spoke.Load()), true
	case waited <= silentTime:
		return closedRoomPartial, waited, !c.spoken
	case c.known:
		return closedRoomIdle, waited, true
	}
	return closedRoomSilent, waited, true
}

// unread tells whether bytes have come that nobody has read so far.
func (c *clientConn) unread() bool {
	if c.raw == nil {
		return false
	}
	n := 0
	_ = c.raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }) // it fails only on a closed one
	return n > 0
}
