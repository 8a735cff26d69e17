package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// clients is the listener that the application connects to. Anyone may connect, so it holds only so
// many connections: past that, the one that has waited longest for its first request makes room. The
// application sends at once when it has connected; whoever is slow to is a stranger.
type clients struct {
	net.Listener
	room int // connections held while others can make room
	most int // and at all, where each has had a request

	mu      sync.Mutex
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

	number uint64 // in order of arrival; what follows is guarded by clients.mu
	known  bool   // a whole request has come on it
	state  http.ConnState
}

// newClients takes the application's share of the descriptors as the room, and goes half of the
// reserve beyond it for connections that have all had requests.
func newClients(cfg *Config, l net.Listener) *clients {
	room := cfg.clientConns()
	return &clients{Listener: l, room: room, most: room + cfg.Sockets/16, conns: make(map[*clientConn]struct{})}
}

// Accept returns the next connection that there is room for.
func (l *clients) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
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
	if len(l.conns) >= l.room {
		var first *clientConn
		for c := range l.conns {
			if !c.known && (first == nil || c.number < first.number) {
				first = c
			}
		}
		switch {
		case first != nil:
			first.Conn.Close()
			delete(l.conns, first)
			l.shed++
		case len(l.conns) >= l.most:
			l.barred++
			return false
		}
	}
	k.number = l.entered
	l.entered++
	l.conns[k] = struct{}{}
	l.peak = max(l.peak, len(l.conns))
	return true
}

// stateOf follows what the server makes of a connection.
func (l *clients) stateOf(c net.Conn, s http.ConnState) {
	k := c.(*clientConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.state = s; s == http.StateClosed || s == http.StateHijacked {
		delete(l.conns, k)
	}
}

type connKey struct{}

// with makes a connection known to the handlers of its requests.
func (l *clients) with(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
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

func (l *clients) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
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
