package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// reusePort is SO_REUSEPORT on Linux, which package syscall does not name.
const reusePort = 15

// listen opens the listener for clients. A second process may listen beside this one: an upgrade starts it
// before this one ends.
func listen(ctx context.Context, address string) (net.Listener, error) {
	shared := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		if err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, reusePort, 1)
		}); err != nil {
			return err
		}
		return failed
	}}
	return shared.Listen(ctx, "tcp", address)
}

// clients is the listener that the application connects to. Anyone may connect, so it holds only so
// many connections: past that, the one that has waited longest for its first request makes room. The
// application sends at once when it has connected; whoever is slow to is a stranger.
type clients struct {
	net.Listener
	mu      sync.Mutex
	room    int        // connections held while others can make room
	most    int        // and at all, where each has had a request
	leaving bool       // another process takes those that come from now on
	queued  []net.Conn // had come by then
	conns   map[*clientConn]struct{}
	entered uint64 // connections so far
	peak    int    // the most at once, since the last count
	shed    int    // closed to make room
	barred  int    // closed at once, as there was none
}

// clientConn is a connection of the application, or of whoever else connects. net/http drops
// Content-Length beside Transfer-Encoding and reads the rest of that length as further requests:
// requests that stood inside a body, which nobody sent. It does not tell a handler, so the
// heads are checked on the way to it.
type clientConn struct {
	net.Conn
	framing framing
	failed  error

	since time.Time // when it was accepted, or its latest request's head had come

	number uint64 // in order of arrival; what follows is guarded by clients.mu
	known  bool   // a whole request has come on it
	state  http.ConnState
}

// newClients makes the application's listener, with room for all that one process may hold.
func newClients(cfg *Config, l net.Listener) *clients {
	k := &clients{Listener: l, conns: make(map[*clientConn]struct{})}
	k.share(cfg.clientConns(1))
	return k
}

// share takes the application's share of the descriptors as the room, and goes half of the
// reserve beyond it for connections that have all had requests.
func (l *clients) share(room int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.room, l.most = room, room+room/6
	for len(l.conns) > l.room && l.shedOne() {
	}
}

// leave stops listening, for a second process that listens here too. Connections that have come but were not
// accepted yet would be reset with the listener: Accept returns them first. The last look for one and the end of
// listening are two system calls in a row, as nothing else keeps the kernel from choosing this listener meanwhile.
func (l *clients) leave() error {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	raw, err := l.Listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var fds []int
	var failed error
	err = raw.Control(func(listener uintptr) {
		for {
			fd, _, err := syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			switch {
			case err == nil:
				fds = append(fds, fd)
			case err != syscall.EINTR && err != syscall.ECONNABORTED:
				if failed = syscall.Shutdown(int(listener), syscall.SHUT_RD); err != syscall.EAGAIN {
					failed = err
				}
				return
			}
		}
	})
	for _, fd := range fds {
		f := os.NewFile(uintptr(fd), "client")
		c, broken := net.FileConn(f)
		f.Close() // the connection has a descriptor of its own
		if broken != nil {
			failed = broken
			continue
		}
		l.mu.Lock()
		l.queued = append(l.queued, c)
		l.mu.Unlock()
	}
	return errors.Join(err, failed, l.Listener.Close())
}

// accept returns the next connection, and once this process leaves those that had come before.
func (l *clients) accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		return c, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leaving {
		return nil, err
	}
	if len(l.queued) == 0 {
		return nil, net.ErrClosed
	}
	c, l.queued = l.queued[0], l.queued[1:]
	return c, nil
}

// Accept returns the next connection that there is room for.
func (l *clients) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if err != nil {
			return nil, err
		}
		if k := (&clientConn{Conn: c}); l.enter(k) {
			return k, nil
		}
		c.Close()
	}
}

// enter counts a connection in, if need be at the cost of another. It returns false if there is no room.
func (l *clients) enter(k *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.room && !l.shedOne() && len(l.conns) >= l.most {
		l.barred++
		return false
	}
	k.number, k.since = l.entered, time.Now()
	l.entered++
	l.conns[k] = struct{}{}
	l.peak = max(l.peak, len(l.conns))
	return true
}

// shedOne closes the connection that has waited longest for its first request. It returns false if all
// have had theirs. The caller holds the lock.
func (l *clients) shedOne() bool {
	var first *clientConn
	for c := range l.conns {
		if !c.known && (first == nil || c.number < first.number) {
			first = c
		}
	}
	if first == nil {
		return false
	}
	first.Conn.Close()
	delete(l.conns, first)
	l.shed++
	return true
}

// stateOf follows what the server makes of a connection.
func (l *clients) stateOf(c net.Conn, s http.ConnState) {
	k := c.(*clientConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == http.StateIdle { // what came before was an earlier request's
		k.since = time.Time{}
	}
	if k.state = s; s == http.StateClosed || s == http.StateHijacked {
		delete(l.conns, k)
	}
}

type connKey struct{}

// with makes a connection known to the handlers of its requests.
func (l *clients) with(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// waited tells how long the head of the connection's first request has taken; of later ones only the body counts.
func (l *clients) waited(ctx context.Context) time.Duration {
	k := ctx.Value(connKey{}).(*clientConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.since.IsZero() {
		return 0
	}
	return time.Since(k.since)
}

// took notes that a whole request has come on the connection of ctx: it no longer makes room for
// others. It returns false where it has done so just now.
func (l *clients) took(ctx context.Context) bool {
	k := ctx.Value(connKey{}).(*clientConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, held := l.conns[k]; !held {
		return false
	}
	k.known = true
	return true
}

// crowded tells whether more connections are held than there is room for, and whether this process leaves.
func (l *clients) crowded() (full, leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) > l.room, l.leaving
}

// counters are for the log: the connections by what they are at, and the most that there were since
// the last call. Active ones above the requests held are still sending, or have stopped halfway.
func (l *clients) counters() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{"peak": l.peak, "shed": l.shed, "barred": l.barred}
	for c := range l.conns {
		counts[c.state.String()]++
	}
	l.peak = len(l.conns)
	return counts
}

// Read holds back the end of a head that must not be served, and fails from there on: the server
// then answers 400 and closes the connection.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.failed != nil {
		return 0, c.failed
	}
	n, err := c.Conn.Read(p)
	if good, bad := c.framing.follow(p[:n]); bad != nil {
		c.failed = bad
		if good == 0 {
			return 0, bad
		}
		return good, nil
	}
	return n, err
}
