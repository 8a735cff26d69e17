package sidecar

import (
	"time"

	"arrowgw/policy"
)

// setLimits sets the clients' share of connections and the limit of client and upstream connections together, and
// closes connections above the new limit that have no open request.
func (l *clients) setLimits(clientShare, maxTotal int) {
	upstreams := l.upstreams()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clientShare, l.maxTotal = clientShare, maxTotal
	for len(l.conns) > l.softLimit(upstreams) && l.shedOne(closedShedPartial) {
	}
}

// softLimit returns the number of connections above which one is closed for each that is added. It is the clients'
// share, or what upstream connections leave free except for a reserve that they may need soon, whichever is more. The
// caller holds the lock.
func (l *clients) softLimit(upstreams int) int {
	return max(l.clientShare, l.maxTotal-upstreams-l.clientShare/6)
}

// makeRoomForUpstream closes connections without an open request until one upstream connection can be added to the
// given number of them. It returns false if that is not possible.
func (l *clients) makeRoomForUpstream(upstreams int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns)+upstreams >= l.maxTotal {
		if !l.shedOne(closedShedPartial) {
			return false
		}
	}
	return true
}

// hasRoomForUpstream reports whether an upstream connection can be added to the given number of them without
// closing a client connection.
func (l *clients) hasRoomForUpstream(upstreams int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)+upstreams < l.maxTotal
}

// add adds a new connection, closing another one if necessary. It returns false if there is no room.
func (l *clients) add(k *clientConn) bool {
	upstreams := l.upstreams()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.softLimit(upstreams) && !l.shedOne(closedShedPartial) && len(l.conns) >= l.clientShare+l.clientShare/6 || !l.reserveConn() {
		l.rejected++
		l.countClose(closedNoRoom)
		return false
	}
	k.since, k.clients = time.Now(), l
	l.conns[k] = struct{}{}
	l.peak = max(l.peak, len(l.conns))
	return true
}

// reserveConn reserves the memory of a connection, and closes one that is silent or idle if there is none left. It returns
// false if that is not enough. The caller holds the lock.
func (l *clients) reserveConn() bool {
	const cost = policy.ClientConnectionCost
	return l.memory.reserve(policy.ClientConnections, cost) ||
		l.shedOne(closedShedIdle) && l.memory.reserve(policy.ClientConnections, cost)
}

// reserveRequest reserves the memory of a request, and closes connections that are silent or idle if there is none left. It
// returns false if that is not enough.
func (l *clients) reserveRequest(m *requestMemory) bool {
	const cost = policy.OpenRequestCost + policy.ServerConnectionCost
	for range 1 + cost/policy.ClientConnectionCost {
		if m.reserveRequest() {
			return true
		}
		if !l.shedIdle() {
			return false
		}
	}
	return m.reserveRequest()
}

// shedIdle closes a connection that is silent or idle, and reports whether there was one.
func (l *clients) shedIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shedOne(closedShedIdle)
}

// remove takes a connection that is closed or being closed off the list, unless that has been done. The caller holds the lock.
func (l *clients) remove(c *clientConn) {
	if _, listed := l.conns[c]; !listed {
		return
	}
	delete(l.conns, c)
	c.releaseHeads(true)
	l.memory.charge(policy.ClientConnections, -policy.ClientConnectionCost)
}
