package sidecar

import "golang.org/x/sys/unix"

// arrivalProbe finds out whether the last byte of a request's body has arrived at this machine. That byte may be unread for
// as long as the server does not take the bytes before it.
type arrivalProbe struct {
	conn    *clientConn
	request uint64 // number of the request on the connection, from 1
}

// hasArrived reports whether the last byte of the body has arrived. It returns false if the system does not tell, and for a
// body without a length.
func (p *arrivalProbe) hasArrived() bool {
	c := p.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.framing.requests == p.request && c.framing.unfollowed {
		return false
	}
	return c.framing.requests > p.request || uint64(c.unreadBytes()) >= c.framing.bodyLeft
}

// unreadBytes returns how many received bytes wait to be read, or 0 if the system does not tell.
func (c *clientConn) unreadBytes() (n int) {
	if c.raw == nil {
		return 0
	}
	_ = c.raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }) // fails only on a closed connection
	return n
}
