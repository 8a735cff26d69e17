package sidecar

import (
	"context"
	"errors"
	"math"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"arrowgw/policy"
)

// getConn returns an idle connection that is still usable, or opens one.
func (u *transport) getConn(x *exchange, address string, deadline time.Duration) (*conn, error) {
	for {
		c, err := u.takeIdle(address, x.memory)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if c.usable() && (!u.awaitReuse(x, address, c) || c.usable()) {
			return c, nil
		}
		u.count(&u.stale)
		u.discard(c)
	}
	limit := min(u.dialTimeout, deadline-u.clock.now())
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if !x.enterPhase(false, cancel) {
		cancel()
	}
	return u.dialHedged(ctx, address)
}

// reserveConn counts a connection that is about to be opened, if there is room without closing anything. The
// caller holds the lock.
func (u *transport) reserveConn() bool {
	if u.open >= u.maxOpen || !u.hasRoom(u.open) || !u.memory.reserve(policy.ServerConnections, policy.ServerConnectionCost) {
		return false
	}
	u.open++
	u.dialled++
	return true
}

// removeOpen subtracts a number of closed connections from those that are counted. The caller holds the lock.
func (u *transport) removeOpen(n int) {
	u.open -= n
	u.memory.charge(policy.ServerConnections, -n*policy.ServerConnectionCost)
}

// reserveExtraDial is reserveConn for a dial that runs in parallel to a late one.
func (u *transport) reserveExtraDial() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.reserveConn() {
		return false
	}
	u.extraDials++
	return true
}

// openSpareConn opens a connection for later requests, as all idle ones to an address have just been used. The pool
// thus grows to what the requests within reuseDelay need, with one dial per connection instead of one per wait, and
// shrinks again as unneeded connections reach maxIdle. At most one spare connection per address is being opened, without
// parallel dials, and nothing is closed to make room for it.
func (u *transport) openSpareConn(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.spareDials[address] || !u.reserveConn() {
		return
	}
	u.spareDials[address] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), u.dialTimeout)
		defer cancel()
		c, err := u.dialConn(ctx, address)
		if err == nil {
			u.putIdle(address, c, true)
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.spareDials, address)
	}()
}

// awaitReuse waits until a connection may be reused. It returns false if the exchange is cancelled or withdrawn.
func (u *transport) awaitReuse(x *exchange, address string, c *conn) bool {
	now := u.clock.now()
	if u.reusable(c, now) {
		return true
	}
	givenUp := make(chan struct{})
	if !x.enterPhase(false, sync.OnceFunc(func() { close(givenUp) })) {
		return false
	}
	u.count(&u.reuseWaits)
	u.openSpareConn(address)
	select {
	case <-u.waitTimer(c.idleSince + u.reuseDelay - now):
		return true
	case <-givenUp:
		return false
	}
}

// reusable reports whether no late answer can arrive on a connection any more: it has been idle for reuseDelay, or has
// carried no exchange.
func (u *transport) reusable(c *conn, now time.Duration) bool {
	return !c.reused || c.idleSince <= now-u.reuseDelay
}

// takeIdle removes a connection from the pool: the most recently used of those that are reusable, else the one that
// will be reusable first. If there is none it counts a connection that the caller is to open and returns nil; at the limit
// an idle connection to another server is closed for it. request holds the memory of the connection, or nothing after an
// earlier attempt.
func (u *transport) takeIdle(address string, request *requestMemory) (*conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, list := u.clock.now(), u.idle[address]
	i := len(list) - 1
	for i > 0 && !u.reusable(list[i], now) {
		i--
	}
	if i >= 0 && list[i].idleSince <= now-u.maxIdle { // connections before it are older still
		u.closeFirstIdle(address, i+1)
		list, i = u.idle[address], 0
	}
	if len(list) > 0 {
		c := list[i]
		u.idle[address] = slices.Delete(list, i, i+1)
		return c, nil
	}
	if (u.open >= u.maxOpen || !u.makeRoom(u.open)) && !u.closeOldestIdle() {
		return nil, errors.New("connection limit reached, and no idle connection to close")
	}
	u.holdConnection(request)
	u.open++
	u.dialled++
	return nil, nil
}

// holdConnection takes over what a request holds for a connection. If that is nothing, it reserves memory for one; if there is
// none it closes an idle connection, and holds the memory in any case. The caller holds the lock.
func (u *transport) holdConnection(request *requestMemory) {
	const cost = policy.ServerConnectionCost
	switch {
	case u.memory == nil:
		return
	case request.giveConnection(), u.memory.reserve(policy.ServerConnections, cost):
		return
	}
	u.closeOldestIdle()
	u.memory.charge(policy.ServerConnections, cost)
}

// countIdleSince returns the number of connections to an address that have been idle since then or longer. The caller
// holds the lock.
func (u *transport) countIdleSince(address string, since time.Duration) int {
	n := 0
	for _, c := range u.idle[address] {
		if c.idleSince <= since {
			n++
		}
	}
	return n
}

// connectionCount returns the number of connections that are idle, in use or being opened.
func (u *transport) connectionCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}

// setMaxConnections sets the limit of connections and closes idle ones above it.
func (u *transport) setMaxConnections(limit int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxOpen = limit
	for u.open > limit && u.closeOldestIdle() {
	}
}

// closeOldestIdle closes the connection that has been idle longest, and reports whether there was one. The caller holds
// the lock.
func (u *transport) closeOldestIdle() bool {
	oldest, since := "", time.Duration(math.MaxInt64)
	for a, list := range u.idle {
		if len(list) > 0 && list[0].idleSince < since {
			oldest, since = a, list[0].idleSince
		}
	}
	if oldest == "" {
		return false
	}
	u.closeFirstIdle(oldest, 1)
	return true
}

// closeFirstIdle closes the n connections to an address that have been idle longest. The caller holds the lock.
func (u *transport) closeFirstIdle(address string, n int) {
	list := u.idle[address]
	for _, c := range list[:n] {
		c.Conn.Close()
	}
	u.removeOpen(n)
	if rest := list[n:]; len(rest) > 0 {
		u.idle[address] = rest
	} else {
		delete(u.idle, address)
	}
}

// putIdle returns a connection to the pool. An unused connection keeps its idleSince, as its server has counted it as
// idle all along.
func (u *transport) putIdle(address string, c *conn, unused bool) {
	_ = c.SetDeadline(time.Time{}) // fails only on a closed connection, which takeIdle's callers detect
	u.mu.Lock()
	defer u.mu.Unlock()
	if !unused {
		c.idleSince, c.reused = u.clock.now(), true
	}
	u.idle[address] = slices.Insert(u.idle[address], u.countIdleSince(address, c.idleSince), c)
	if u.sweepTimer == nil {
		u.sweepTimer = time.AfterFunc(u.maxIdle, u.closeExpired)
	}
}

// closeExpired closes the connections that have been idle for maxIdle, and schedules its next run.
func (u *transport) closeExpired() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, next := u.clock.now(), time.Duration(math.MaxInt64)
	for address, list := range u.idle {
		old := 0
		for old < len(list) && now-list[old].idleSince >= u.maxIdle {
			old++
		}
		if old < len(list) {
			next = min(next, list[old].idleSince+u.maxIdle-now)
		}
		u.closeFirstIdle(address, old)
	}
	u.sweepTimer = nil
	if len(u.idle) > 0 {
		u.sweepTimer = time.AfterFunc(next, u.closeExpired)
	}
}

// closeIdle closes the idle connections to an address.
func (u *transport) closeIdle(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closeFirstIdle(address, len(u.idle[address]))
}

// discard closes a connection that is not in the pool.
func (u *transport) discard(c *conn) {
	c.Conn.Close()
	u.mu.Lock()
	u.removeOpen(1)
	u.mu.Unlock()
}

// usable reports whether the server of an idle connection has neither closed nor reset it, as servers do at their idle
// time-out or when they drain or restart, nor sent unexpected bytes.
func (c *conn) usable() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		open = err == syscall.EAGAIN
		return true // never wait
	})
	return err == nil && open
}
