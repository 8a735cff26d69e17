package sidecar

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"arrowgw/internal/listener"
)

const (
	restTime = 250 * time.Millisecond // what comes behind a last answer is read for so long,
	restMost = 256 << 10              // or so many bytes of it
)

// clients is the listener that the application connects to. Anyone may connect, so it holds only so many
// connections; past that, one with no open request makes room. Such connections may also take the descriptors that
// upstreams have no use for now, and are closed when that changes.
type clients struct {
	clientListener
	clock      clock
	upstreams  func() int // connections to upstreams now
	countClose func(closeReason)
	readFD     func(fd int, p []byte) (int, error) // the system call

	mu          sync.Mutex
	clientShare int           // connections with open requests at most
	maxTotal    int           // and connections of any kind, those to upstreams included
	stopping    bool          // another process takes those that come from now on, or this one ends
	failing     time.Duration // since when accept has failed while connections may have waited; 0: it has not
	conns       map[*clientConn]struct{}
	peak        int    // the most at once, since the last count
	shed        [3]int // closed to make room: silent, idle, with half a request
	rejected    int    // refused at once, as there was none
	scarce      int    // not accepted, as there was no descriptor or memory

	failures      int       // of accept, for whatever reason
	failureLogged time.Time // when the last of them was logged

	refusing atomic.Int64 // connections that are being closed with a refusal
}

// clientConn is a connection of the application, or of whoever else connects. net/http drops
// Content-Length beside Transfer-Encoding and reads the rest of that length as further requests:
// requests that stood inside a body, which nobody sent. It does not tell a handler, so the
// heads are checked on the way to it.
//
// Whether a connection stands idle is known here alone: net/http calls one idle until it has parsed the next request's
// head, and so closes some, at a stop, whose request has been read and then goes out though nobody can be answered.
type clientConn struct {
	net.Conn
	raw     syscall.RawConn
	clients *clients

	mu               sync.Mutex // held by each look for bytes, so that none are read of one that was found idle and is ended
	framing          framing
	framingErr       error
	requestBegun     bool          // bytes of a request have come that has had no answer yet
	readsEnded       bool          // nothing more is read
	serverClosed     bool          // its server has closed it
	closeWithRefusal bool          // it is closed with a refusal, as part of a request has come; it has reserved that
	queuedSince      time.Duration // since when what has come on it may have waited to be accepted; 0: no longer than it was looked for
	refuseOnce       sync.Once

	spoke atomic.Int64 // when the last of its bytes came, by the clients' clock

	since      time.Time // when it was accepted, or went idle; what follows is guarded by clients.mu
	hadRequest bool      // a whole request has come on it
	spoken     bool      // bytes were seen that its goroutine had not read by then
	state      http.ConnState
}

// newClients makes the application's listener, with room for all that one process may hold.
func newClients(cfg *Config, l clientListener, upstreams func() int) *clients {
	k := &clients{clientListener: l, clock: newClock(), upstreams: upstreams, countClose: func(closeReason) {}, readFD: syscall.Read, conns: make(map[*clientConn]struct{})}
	k.setLimits(cfg.clientConns(1), cfg.allConns(1))
	return k
}

// at tells whether bytes of a request have come that has had no answer, and whether they are a whole one.
func (c *clientConn) requestProgress() (begun, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestBegun, c.requestBegun && c.framing.atBoundary()
}

// end closes a connection that no request is open on, or half of one if that is to go too. A request that comes in
// this moment is either left unread, so that its client sends it again, or read before: then end returns false, and
// it is served. Half a request is refused, as its rest may have been sent by now.
func (c *clientConn) closeUnlessServing(half bool) bool {
	c.mu.Lock()
	c.readsEnded = c.readsEnded || c.serverClosed || !c.requestBegun || half && !c.framing.atBoundary()
	ended := c.readsEnded
	if ended && c.requestBegun && !c.closeWithRefusal && !c.serverClosed { // a closed one would keep its place for good
		c.closeWithRefusal = c.clients.reserveRefusal()
	}
	refused := c.closeWithRefusal
	c.mu.Unlock()
	switch { // with no lock held: it waits for a look under way
	case !ended:
	case refused: // its own goroutine, which waits for the rest, refuses and closes
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed one
	default:
		c.Conn.Close()
	}
	return ended
}

// endIdle ends the connections that stand idle between requests, and from half on all that hold no whole one.
func (l *clients) endIdle(half bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if (c.state == http.StateIdle || half && !c.hadRequest) && c.closeUnlessServing(half) {
			l.countClose(closedStopping)
		}
	}
}

// stop has every answer from now on end its connection, and those end that stand idle between requests.
func (l *clients) startClosing() {
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	l.endIdle(false)
}

// open is how many connections there are.
func (l *clients) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// waitClosed waits until all connections are closed, or until end.
func (l *clients) waitClosed(end time.Time) {
	for l.count() > 0 && time.Now().Before(end) {
		time.Sleep(lookEvery)
	}
}

// stateOf follows what the server makes of a connection.
func (l *clients) connStateChanged(c net.Conn, s http.ConnState) {
	k := c.(*clientConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	k.state = s
	switch s {
	case http.StateIdle:
		k.since = time.Now()
		k.mu.Lock()
		k.requestBegun = !k.framing.atBoundary()
		k.mu.Unlock()
		if l.stopping { // its answer was under way before it could say so
			if k.closeUnlessServing(false) {
				l.countClose(closedStopping)
			}
		}
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, k)
	}
}

type connKey struct{}

// with makes a connection known to the handlers of its requests.
func (l *clients) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// waited tells how long the head of the connection's first request has taken; of later ones only the body counts.
func (l *clients) firstHeadTime(ctx context.Context) time.Duration {
	k := ctx.Value(connKey{}).(*clientConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.hadRequest {
		return 0
	}
	return time.Since(k.since)
}

// took notes that a whole request has come on the connection of ctx: it no longer makes room for
// others. It returns false where it has done so just now.
func (l *clients) requestReceived(ctx context.Context) bool {
	k := ctx.Value(connKey{}).(*clientConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, held := l.conns[k]; !held {
		return false
	}
	k.hadRequest = true
	return true
}

// came tells how long ago the last bytes came on ctx's connection: a request that was sent behind another lies in its
// server's buffer while that one is answered, and its client's time runs.
func (l *clients) sinceLastRead(ctx context.Context) time.Duration {
	return l.clock.now() - time.Duration(ctx.Value(connKey{}).(*clientConn).spoke.Load())
}

// presenceOf tells whether the client of ctx's connection has closed it, or its sending side. net/http hears of that as it
// reads, and reads no further than one byte behind a request, nor into a body that waits to be sent on: so the kernel
// is asked, which knows of the end whatever is still to be read before it.
func (l *clients) presenceOf(ctx context.Context) presence {
	c, ok := ctx.Value(connKey{}).(*clientConn).Conn.(syscall.Conn)
	if !ok {
		return clientPresent
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return clientGone
	}
	found := clientUnknown
	if raw.Control(func(fd uintptr) { found = presenceAt(int(fd)) }) != nil {
		return clientGone // this side has closed it
	}
	return found
}

// crowded tells whether so many open requests are more than there is room for, and whether this process leaves.
func (l *clients) overLimit(open int64) (full, leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return open > int64(l.clientShare), l.stopping
}

// counters are for the log: the connections by what they are at, and the most that there were since
// the last call. Active ones above the requests held are still sending, or have stopped halfway.
func (l *clients) counters() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{"peak": l.peak, "silent": l.shed[0], "idled": l.shed[1], "half": l.shed[2], "barred": l.rejected, "scarce": l.scarce}
	for c := range l.conns {
		counts[c.state.String()]++
	}
	l.peak = len(l.conns)
	return counts
}

// Read holds back the end of a head that must not be served, and fails from there on: the server
// then answers 400 and closes the connection.
func (c *clientConn) Read(p []byte) (n int, err error) {
	waited := c.raw.Read(func(fd uintptr) bool {
		// No lock is held between two tries: whoever makes room waits for a look, and not for the system to have memory.
		n, err = retryMomentary(func() (int, error) { return c.lookOnce(int(fd), p) })
		if errno, failed := err.(syscall.Errno); failed && errno != syscall.EAGAIN {
			err = &net.OpError{Op: "read", Net: "tcp", Err: errno}
		}
		return err != syscall.EAGAIN
	})
	if errors.Is(waited, listener.ErrUnregistered) { // nobody can wait for its request, which may have come
		c.mu.Lock()
		c.closeWithRefusal = c.closeWithRefusal || c.clients.reserveRefusal()
		c.mu.Unlock()
	}
	if waited != nil { // until its deadline, or it was closed
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: waited} // by which the server knows not to answer
	}
	return n, err
}

// lookOnce takes the bytes that have come, if any may be read. Where the system call fails its error is returned as it is.
func (c *clientConn) lookOnce(fd int, p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.readsEnded:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	case c.framingErr != nil && len(p) == 1:
		return 0, syscall.EAGAIN // net/http looks for an end while a request is open: that has its answer first
	case c.framingErr != nil:
		return 0, c.framingErr
	}
	return c.readLocked(fd, p)
}

// look takes the bytes that have come. The caller holds the lock.
func (c *clientConn) readLocked(fd int, p []byte) (int, error) {
	n, err := c.clients.readFD(fd, p)
	if err == syscall.EAGAIN {
		c.queuedSince = 0
	}
	if err != nil {
		return 0, err
	}
	if n == 0 && len(p) > 0 {
		return 0, io.EOF
	}
	c.requestBegun = true
	c.spoke.Store(int64(cmp.Or(c.queuedSince, c.clients.clock.now())))
	c.queuedSince = 0
	if good, bad := c.framing.advance(p[:n]); bad != nil {
		if c.framingErr = bad; good == 0 && len(p) == 1 {
			return 0, syscall.EAGAIN
		}
		if good == 0 {
			return 0, bad
		}
		return good, nil
	}
	return n, nil
}

// Write passes over failures that the system has for a moment: an answer is owed whole.
func (c *clientConn) Write(p []byte) (int, error) { return writeRetrying(c.Conn, p) }

// Close ends a connection behind its last answer. Where bytes are left unread, that would be a reset, which can take the answer
// with it: then the sending ends first, and they are read on for a while. On one that stands idle nothing is read: what
// crosses its end has to come again.
func (c *clientConn) Close() error {
	c.mu.Lock()
	answered, refused := c.requestBegun && !c.readsEnded, c.closeWithRefusal
	c.serverClosed = true
	c.mu.Unlock()
	switch {
	case refused:
		c.refuseOnce.Do(c.closeRefused)
		return nil
	case answered && c.discardAvailable() > 0:
		c.linger()
	}
	return c.Conn.Close()
}

// discard reads what has come, up to a buffer, and tells how much that was.
func (c *clientConn) discardAvailable() (n int) {
	if c.raw == nil {
		return 0
	}
	var rest [4 << 10]byte
	_ = c.raw.Control(func(fd uintptr) { // fails only on a closed one
		n, _ = retryMomentary(func() (int, error) { return syscall.Read(int(fd), rest[:]) })
	})
	return n
}

// writeCloser is a connection whose sending can be ended by itself.
type writeCloser interface{ CloseWrite() error }

// linger ends the sending, and reads what still comes for a while, or what has come where nobody can wait for more.
func (c *clientConn) linger() {
	sending, ok := c.Conn.(writeCloser)
	if !ok || sending.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(restTime)) != nil {
		c.discardAvailable()
		return
	}
	var rest [4 << 10]byte
	for left := restMost; left > 0; {
		n, err := c.Conn.Read(rest[:])
		if err != nil {
			return
		}
		left -= n
	}
}

// refusal is the answer to a request of which nobody knows whether it is on its way. Trying again is harmless.
const refusalResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refusingMost is how many connections may be closed with a refusal at once: each has a descriptor for up to restTime,
// and until its goroutine has its turn. Others are closed at once.
const refusingMost = 8

// reserveRefusal takes one of the places for connections that are closed with a refusal, if there is one left.
func (l *clients) reserveRefusal() bool {
	if l == nil {
		return false
	}
	if l.refusing.Add(1) > refusingMost {
		l.refusing.Add(-1)
		return false
	}
	return true
}

// closeRefused closes a connection with a refusal that has been reserved, for what may have come on it or still comes.
func (c *clientConn) closeRefused() {
	defer c.clients.refusing.Add(-1)
	defer c.Conn.Close()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(restTime)) // fails only on a closed one, as the next does
	if _, err := io.WriteString(c.Conn, refusalResponse); err == nil {
		c.linger()
	}
}
