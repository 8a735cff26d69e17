package sidecar

import (
	"container/heap"
	"net/http"
	"time"
)

// silentGrace is how long a connection that was accepted or became idle is treated as if part of a request had arrived,
// as the application's next request may be on its way.
const silentGrace = 250 * time.Millisecond

// shedCandidate is a connection that may be closed to make room.
type shedCandidate struct {
	conn   *clientConn
	kind   closeReason   // closedShedSilent, closedShedIdle or closedShedPartial
	waited time.Duration // how long it has been silent
}

// shedQueue is a heap (package container/heap) of candidates. The first is the connection that is needed least: one that has
// sent nothing since it connected, else one that is idle between requests, else one whose request has arrived in part; of
// each kind the one that has been silent for longest. This order costs the application least: it sends at once when it has
// connected, and sends a request again if it crosses a close on an idle connection; a partial request is refused, as the
// rest of it may be on its way.
type shedQueue []shedCandidate

func (q shedQueue) Len() int      { return len(q) }
func (q shedQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q shedQueue) Less(i, j int) bool {
	if q[i].kind != q[j].kind {
		return q[i].kind < q[j].kind
	}
	return q[i].waited > q[j].waited
}

// Push is part of heap.Interface.
func (q *shedQueue) Push(candidate any) { *q = append(*q, candidate.(shedCandidate)) }

// Pop is part of heap.Interface.
func (q *shedQueue) Pop() any {
	end := len(*q) - 1
	candidate := (*q)[end]
	*q = (*q)[:end]
	return candidate
}

// shedOne closes the connection that is needed least, in the order of shedQueue. Kinds after last are not closed. It looks at
// each connection once, and returns false if none can be closed. The caller holds the lock.
func (l *clients) shedOne(last closeReason) bool {
	candidates := l.shedCandidates(last)
	defer clear(l.candidates) // which would keep closed connections in memory
	for heap.Init(&candidates); len(candidates) > 0; {
		if l.shed(heap.Pop(&candidates).(shedCandidate)) {
			return true
		}
	}
	return false
}

// shedCandidates returns the connections that may be closed, of kinds up to last, in no order. The result is valid until the
// next call. The caller holds the lock.
func (l *clients) shedCandidates(last closeReason) shedQueue {
	now, clockNow := time.Now(), l.clock.now()
	l.candidates = l.candidates[:0]
	for c := range l.conns {
		if kind, waited, ok := c.shedKind(now, clockNow); ok && kind <= last {
			l.candidates = append(l.candidates, shedCandidate{c, kind, waited})
		}
	}
	return l.candidates
}

// shed closes a candidate. It returns false if more of the candidate's request has arrived: then it stays open. The caller
// holds the lock.
func (l *clients) shed(candidate shedCandidate) bool {
	c, partial := candidate.conn, candidate.kind == closedShedPartial
	if partial && c.findUnread() { // only now, as the system call is expensive
		return false
	}
	if !c.closeUnlessServing(partial) {
		return false
	}
	l.remove(c)
	l.shedCounts[candidate.kind-closedShedSilent]++
	l.countClose(candidate.kind)
	return true
}

// shedKind returns the kind under which a connection may be closed to make room, and how long it has been silent; ok
// is false if it may not be closed. now and clockNow are the current time, the latter by the clients' clock. The
// caller holds the lock of the clients.
func (c *clientConn) shedKind(now time.Time, clockNow time.Duration) (kind closeReason, waited time.Duration, ok bool) {
	waited = now.Sub(c.since)
	p := c.requestProgress()
	unread := c.unreadSeen && c.unreadSeenAt == p.bytesRead
	switch {
	case c.hadRequest && c.state != http.StateIdle, p.whole:
		return 0, 0, false
	case p.begun:
		return closedShedPartial, clockNow - time.Duration(c.lastRead.Load()), !unread
	case waited <= silentGrace:
		return closedShedPartial, waited, !unread
	case c.hadRequest:
		return closedShedIdle, waited, true
	}
	return closedShedSilent, waited, true
}

// findUnread reports whether received bytes wait to be read, and remembers it until some are read. The caller holds the lock
// of the clients.
func (c *clientConn) findUnread() bool {
	p := c.requestProgress()
	c.unreadSeenAt = p.bytesRead
	c.unreadSeen = p.ahead > 0 || c.unreadBytes() > 0
	return c.unreadSeen
}
