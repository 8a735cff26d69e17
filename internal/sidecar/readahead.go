package sidecar

import (
	"syscall"

	"arrowgw/policy"
)

const (
	maxReadAhead   = 64 << 10 // bytes that follow a request and are read before it is answered
	readAheadPiece = 16 << 10 // bytes for which memory is reserved at a time
)

// readAhead holds bytes that follow the current request of a connection. They are read to find the end of the connection, which
// the system tells of only if everything before it fits into the receive buffer.
type readAhead struct {
	bytes    []byte // read, and not yet given to net/http
	ended    bool   // the client has closed its sending side behind them
	reserved int    // bytes of memory
}

// read takes the next bytes that have been read ahead, or reads from a socket if there are none.
func (a *readAhead) read(p []byte, memory *memoryAccount, readSocket func([]byte) (int, error)) (int, error) {
	if len(a.bytes) == 0 {
		return readSocket(p)
	}
	n := copy(p, a.bytes)
	if a.bytes = a.bytes[n:]; len(a.bytes) == 0 {
		a.release(memory)
	}
	return n, nil
}

// fill reads from a socket until it is empty or has ended. It returns false if there is more than maxReadAhead or than there is
// memory for.
func (a *readAhead) fill(memory *memoryAccount, readSocket func([]byte) (int, error)) bool {
	for !a.ended {
		if len(a.bytes) >= maxReadAhead || !a.grow(memory) {
			return false
		}
		n, err := readSocket(a.bytes[len(a.bytes):cap(a.bytes)])
		switch {
		case err == syscall.EAGAIN:
			return true
		case err != nil || n == 0:
			a.ended = true
		default:
			a.bytes = a.bytes[:len(a.bytes)+n]
		}
	}
	return true
}

// grow makes room for further bytes. It returns false if there is no memory for them.
func (a *readAhead) grow(memory *memoryAccount) bool {
	if len(a.bytes) < cap(a.bytes) {
		return true
	}
	if !memory.reserve(policy.RequestBodies, readAheadPiece) {
		return false
	}
	a.reserved += readAheadPiece
	a.bytes = append(make([]byte, 0, len(a.bytes)+readAheadPiece), a.bytes...)
	return true
}

// release drops what has been read ahead.
func (a *readAhead) release(memory *memoryAccount) {
	memory.charge(policy.RequestBodies, -a.reserved)
	a.bytes, a.reserved = nil, 0
}

// findEnd reports whether the client has closed its connection behind the current request, all of which has been read. It is
// unknown if there is too much to read before that.
func (c *clientConn) findEnd(fd int) presence {
	if unreadBytesOf(fd) == 0 {
		return clientPresent
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.readsEnded || c.unlisted:
		return clientPresent // nothing is taken from it any more
	case !c.ahead.fill(c.clients.memory, func(p []byte) (int, error) { return c.readSocket(fd, p) }):
		return clientUnknown
	case c.ahead.ended:
		return clientGone
	}
	return clientPresent
}

// readSocket reads the bytes that have arrived, and retries transient failures.
func (c *clientConn) readSocket(fd int, p []byte) (int, error) {
	return retryInterrupted(func() (int, error) { return c.clients.readFD(fd, p) })
}
