package sidecar

import (
	"cmp"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"arrowgw/internal/listener"
	"arrowgw/policy"
)

var errNoMemoryForHead = errors.New("no memory for a long head")

// clientConn is a connection of the application or of another client.
//
// It checks the framing of request heads before net/http sees them. If a head has both Content-Length and
// Transfer-Encoding, net/http ignores Content-Length without telling the handler, and would parse the rest of the
// body as further requests that no client sent (request smuggling).
//
// It also tracks whether the connection is idle. net/http calls a connection idle until it has parsed the next
// request's head; at a stop it would close connections whose request has been read, and that request would still be
// sent although its answer can't be delivered.
type clientConn struct {
	net.Conn
	raw     syscall.RawConn
	clients *clients

	mu               sync.Mutex // held during each read, as none may happen once the connection is found idle
	ahead            readAhead
	framing          framing
	framingErr       error
	bytesRead        uint64        // bytes that have been read
	drains           uint64        // reads that found nothing unread
	handled          uint64        // requests that have been handed to the handler, the current one included
	handledDrains    uint64        // drains as the current request was handed over
	pipelined        int           // requests in a row that had arrived before the one before was answered
	requestBegun     bool          // bytes have been read of a request that has no answer yet
	readsEnded       bool          // no further reads are allowed
	readErr          error         // why a read failed for good amid a request; further reads fail with it
	serverClosed     bool          // net/http has closed the connection
	answerBroken     bool          // its last answer is not whole, which only a reset tells the client
	closeWithRefusal bool          // part of a request may have arrived; the refusal is reserved
	headBytes        int           // bytes that have been read of the current head, while it has not ended
	headReserved     int           // bytes that are reserved for the heads of this connection
	unlisted         bool          // it has left the list of connections and reserves nothing any more
	queuedSince      time.Duration // earliest arrival of data that waited while accept failed; 0: all of it has been read, or it did not wait
	refuseOnce       sync.Once

	lastRead     atomic.Int64 // when the last bytes arrived at the earliest, by the clients' clock
	lastReadDone atomic.Int64 // when the last bytes were read; they arrived no later

	since        time.Time // when it was accepted or became idle; this and the following fields are guarded by clients.mu
	hadRequest   bool      // a whole request has arrived on it
	unreadSeen   bool      // received bytes were found that its goroutine had not read yet
	unreadSeenAt uint64    // bytesRead at that time
	state        http.ConnState
}

// requestProgress is how much has been read of a connection and of its current request.
type requestProgress struct {
	bytesRead    uint64 // of the connection
	ahead        int    // bytes that have been read ahead
	begun, whole bool   // bytes have been read of a request that has no answer yet; all of it has been read
}

// requestProgress returns how much has been read of the connection and of its current request.
func (c *clientConn) requestProgress() requestProgress {
	c.mu.Lock()
	defer c.mu.Unlock()
	return requestProgress{c.bytesRead, len(c.ahead.bytes), c.requestBegun, c.requestBegun && c.framing.atBoundary()}
}

// closeUnlessServing closes the connection if no request is open on it, and with partial also if a request has been
// read in part. It reports whether it did. A request that arrives at the same moment is either left unread, so that
// its client sends it again, or has been read before; then closeUnlessServing returns false and the request is
// served. A partial request is refused, as the rest of it may have been sent by now.
func (c *clientConn) closeUnlessServing(partial bool) bool {
	c.mu.Lock()
	c.readsEnded = c.readsEnded || c.serverClosed || !c.requestBegun || partial && !c.framing.atBoundary()
	ended := c.readsEnded
	if ended && c.requestBegun && !c.closeWithRefusal && !c.serverClosed { // a closed connection would never release its reservation
		c.closeWithRefusal = c.clients.reserveRefusal()
	}
	refused, readAhead := c.closeWithRefusal, len(c.ahead.bytes) > 0
	c.mu.Unlock()
	switch { // without the lock: the calls below wait for a read in progress
	case !ended:
	case refused: // wakes its own goroutine, which waits for the rest, to send the refusal and close
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	default:
		if readAhead { // as a close over unread bytes does, which tells the client that they have not been heard
			c.resetOnClose()
		}
		c.Conn.Close()
	}
	return ended
}

// Read withholds the end of a request head whose framing is ambiguous, and fails from there on: the HTTP server then
// answers 400 and closes the connection.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if err := c.permanentReadError(); err != nil {
		return 0, err
	}
	waitErr := c.raw.Read(func(fd uintptr) bool {
		// No lock is held between retries: code that makes room then waits for one read and not for the system to
		// have memory.
		n, err = retryTransient(func() (int, error) { return c.readOnce(int(fd), p) })
		if errno, failed := err.(syscall.Errno); failed && errno != syscall.EAGAIN {
			err = &net.OpError{Op: "read", Net: "tcp", Err: errno}
			c.setReadError(err)
		}
		return err != syscall.EAGAIN
	})
	if errors.Is(waitErr, listener.ErrUnregistered) { // a request may have arrived, but can't be waited for
		c.mu.Lock()
		c.closeWithRefusal = c.closeWithRefusal || c.clients.reserveRefusal()
		c.mu.Unlock()
	}
	if waitErr != nil { // the deadline has passed, or the connection is closed
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: waitErr} // on a net.OpError the HTTP server does not answer
	}
	return n, err
}

// permanentReadError returns the error with which all further reads fail, or nil.
func (c *clientConn) permanentReadError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readErr
}

// setReadError makes all further reads fail if part of a request has been read: the HTTP server takes the bytes of a line
// that precede a read error for a whole line, and could go on behind it.
func (c *clientConn) setReadError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.framing.atBoundary() {
		c.readErr = err
	}
}

// readOnce reads the bytes that have arrived, unless reads have ended or the framing is broken. An error of the
// system call is returned unwrapped.
func (c *clientConn) readOnce(fd int, p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.readsEnded:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	case c.framingErr != nil && len(p) == 1:
		return 0, syscall.EAGAIN // net/http's one-byte read that detects a close: the open request gets its answer first
	case c.framingErr != nil:
		return 0, c.framingErr
	}
	return c.readLocked(fd, p)
}

// readLocked reads the bytes that have arrived and advances the framing. The caller holds the lock.
func (c *clientConn) readLocked(fd int, p []byte) (int, error) {
	n, err := c.ahead.read(p, c.clients.memory, func(p []byte) (int, error) { return c.clients.readFD(fd, p) })
	if err == syscall.EAGAIN {
		c.queuedSince = 0
		c.drains++
	}
	if err != nil {
		return 0, err
	}
	if n == 0 && len(p) > 0 {
		return 0, io.EOF
	}
	c.requestBegun = true
	c.bytesRead += uint64(n)
	now := c.clients.clock.now()
	c.lastRead.Store(int64(cmp.Or(c.queuedSince, now)))
	c.lastReadDone.Store(int64(now))
	if valid, framingErr := c.framing.advance(p[:n]); framingErr != nil {
		if c.framingErr = framingErr; valid == 0 && len(p) == 1 {
			return 0, syscall.EAGAIN
		}
		if valid == 0 {
			return 0, framingErr
		}
		return valid, nil
	}
	if !c.reserveHead(n) {
		c.readsEnded = true
		c.closeWithRefusal = c.closeWithRefusal || c.clients.reserveRefusal()
		c.clients.countClose(closedNoRoom)
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errNoMemoryForHead} // on a net.OpError the HTTP server does not answer
	}
	return n, nil
}

// reserveHead reserves memory for a head of which a number of bytes have been read, if it is long. It returns false if there is
// none. The caller holds the lock.
func (c *clientConn) reserveHead(n int) bool {
	if c.headBytes += n; !c.framing.heads.inHead {
		c.headBytes = 0
	}
	cost := policy.HeadCost(c.headBytes, c.framing.mostFields) - c.headReserved
	if cost <= 0 || c.unlisted {
		return true
	}
	if !c.clients.memory.reserve(policy.Heads, cost) {
		return false
	}
	c.headReserved += cost
	return true
}

// releaseHeads releases what is reserved for the heads of the requests so far, unless the head of a further request has been
// read. unlisted is true once the connection has left the list of connections.
func (c *clientConn) releaseHeads(unlisted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !unlisted && (c.framing.requests > c.handled || c.framing.heads.inHead) {
		return
	}
	c.clients.memory.charge(policy.Heads, -c.headReserved)
	c.headReserved, c.unlisted = 0, c.unlisted || unlisted
	if c.unlisted {
		c.ahead.release(c.clients.memory)
	}
}

// Write writes all of p. It retries transient failures of the system, so that answers are not cut short.
func (c *clientConn) Write(p []byte) (int, error) { return writeRetrying(c.Conn, p) }
