package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// clients is the listener that the application connects to. Anyone may connect, so the number of connections is
// limited: above the limit a connection without an open request is closed to make room. Connections without open
// requests may use the descriptors that upstream connections do not need at the moment, and are closed when upstreams
// need them.
type clients struct {
	clientListener
	clock      clock
	upstreams  func() int // returns the number of open upstream connections
	countClose func(closeReason)
	readFD     func(fd int, p []byte) (int, error) // the read system call; replaced in tests
	memory     *memoryAccount

	mu           sync.Mutex
	clientShare  int           // limit of connections with open requests
	maxTotal     int           // limit of all connections, those to upstreams included
	stopping     bool          // each connection closes with its next answer, as the process stops
	failingSince time.Duration // when accept began to fail; 0 once no connection waits to be accepted
	conns        map[*clientConn]struct{}
	candidates   shedQueue // reused by shedOne
	peak         int       // maximum number of connections since the last call of counters
	shedCounts   [3]int    // connections closed to make room: silent, idle, with a partial request
	rejected     int       // connections refused for lack of room
	exhausted    int       // failures of accept for lack of descriptors or memory

	acceptFailures  int       // all failures of accept
	failureLoggedAt time.Time // when a failure of accept was last logged

	pendingRefusals atomic.Int64 // connections being closed with a refusal, at most maxPendingRefusals
}

// newClients wraps l with the connection limits of a single process. upstreams returns the number of upstream
// connections.
func newClients(cfg *Config, l clientListener, upstreams func() int) *clients {
	k := &clients{clientListener: l, clock: newClock(), upstreams: upstreams, countClose: func(closeReason) {}, readFD: syscall.Read, conns: make(map[*clientConn]struct{})}
	k.setLimits(cfg.clientConnLimit(1), cfg.totalConnLimit(1))
	return k
}

// closeIdle closes the connections that are idle between requests, and with partial also those on which no whole
// request has arrived yet.
func (l *clients) closeIdle(partial bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if (c.state == http.StateIdle || partial && !c.hadRequest) && c.closeUnlessServing(partial) {
			l.countClose(closedStopping)
		}
	}
}

// startClosing makes each connection close with its next answer, and closes the idle ones now.
func (l *clients) startClosing() {
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	l.closeIdle(false)
}

// count returns the number of open connections.
func (l *clients) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// waitClosed waits until all connections are closed, or until end.
func (l *clients) waitClosed(end time.Time) {
	for l.count() > 0 && time.Now().Before(end) {
		time.Sleep(closePollInterval)
	}
}

// connStateChanged is the http.Server's ConnState hook.
func (l *clients) connStateChanged(c net.Conn, s http.ConnState) {
	k := c.(*clientConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	k.state = s
	switch s {
	case http.StateIdle:
		k.since = time.Now()
		k.releaseHeads(false)
		k.mu.Lock()
		k.requestBegun = !k.framing.atBoundary()
		k.mu.Unlock()
		if l.stopping { // its last answer was written without Connection: close
			if k.closeUnlessServing(false) {
				l.countClose(closedStopping)
			}
		}
	case http.StateClosed, http.StateHijacked:
		l.remove(k)
	}
}

// connKey is the context key of a request's *clientConn.
type connKey struct{}

// connContext is the http.Server's ConnContext hook. It makes the connection available to handlers.
func (l *clients) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// firstHeadTime returns how long the client has taken to send the head of the connection's first request. For later
// requests it returns 0, as the idle time between requests must not count.
func (l *clients) firstHeadTime(ctx context.Context) time.Duration {
	k := ctx.Value(connKey{}).(*clientConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.hadRequest {
		return 0
	}
	return time.Since(k.since)
}

// requestReceived records that a whole request has arrived on the connection of ctx, so that the connection is not
// closed to make room. It returns false if the connection has been closed for that already.
func (l *clients) requestReceived(ctx context.Context) bool {
	k := ctx.Value(connKey{}).(*clientConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.conns[k]; !open {
		return false
	}
	k.hadRequest = true
	return true
}

const (
	pipelineBurst = 16               // requests in a row that a client may pipeline at full speed
	pipelinePause = time.Millisecond // before each further one, for each pausedFields header fields
	pausedFields  = 50
)

// beginRequest records that the next request on the connection of ctx has been handed to the handler. It pauses if that client
// pipelines many requests: its goroutine would otherwise never wait, and the others would have the processor only when the
// runtime preempts it.
func (l *clients) beginRequest(ctx context.Context) {
	if pipelined, fields := ctx.Value(connKey{}).(*clientConn).countRequest(); pipelined > pipelineBurst {
		time.Sleep(time.Duration(1+fields/pausedFields) * pipelinePause)
	}
}

// countRequest counts a request that has been handed to the handler. It returns how many in a row were pipelined, and the most
// header fields of a head of which bytes came last.
func (c *clientConn) countRequest() (pipelined, fields int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled++
	if c.pipelined++; c.drains != c.handledDrains {
		c.pipelined = 0
	}
	c.handledDrains = c.drains
	return c.pipelined, c.framing.mostFields
}

// arrivalProbe returns a probe for the body of the current request on the connection of ctx.
func (l *clients) arrivalProbe(ctx context.Context) *arrivalProbe {
	k := ctx.Value(connKey{}).(*clientConn)
	k.mu.Lock()
	defer k.mu.Unlock()
	return &arrivalProbe{conn: k, request: k.handled}
}

// sinceLastRead returns how long ago the last bytes arrived on the connection of ctx. A pipelined request waits in
// net/http's buffer while the one before is answered, and its client's timeout runs meanwhile.
func (l *clients) sinceLastRead(ctx context.Context) time.Duration {
	return l.clock.now() - time.Duration(ctx.Value(connKey{}).(*clientConn).lastRead.Load())
}

// queuedTime returns how long bytes that are still to be read on the connection of ctx may have waited while accept
// failed. It is 0 once a read has found that no more have arrived.
func (l *clients) queuedTime(ctx context.Context) time.Duration {
	k := ctx.Value(connKey{}).(*clientConn)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.queuedSince == 0 {
		return 0
	}
	return l.clock.now() - k.queuedSince
}

// arrivalUncertainty returns how much later than assumed the last bytes on the connection of ctx may have arrived: bytes
// that waited while accept failed count from the first failure on.
func (l *clients) arrivalUncertainty(ctx context.Context) time.Duration {
	k := ctx.Value(connKey{}).(*clientConn)
	return time.Duration(k.lastReadDone.Load() - k.lastRead.Load())
}

// resetOnClose makes the close of the connection of ctx reset it.
func (l *clients) resetOnClose(ctx context.Context) {
	ctx.Value(connKey{}).(*clientConn).resetOnClose()
}

// queryPresence reports whether the client of ctx's connection has closed it or its sending side. It queries the kernel,
// which detects the close if the data before it fits into the receive buffer. If the current request has been read whole, what
// follows it is read ahead, so that the close is found behind more of it too. net/http detects a close only by reading, and
// reads at most one byte beyond a request and nothing of a body that waits to be forwarded.
func (l *clients) queryPresence(ctx context.Context, requestRead bool) presence {
	k := ctx.Value(connKey{}).(*clientConn)
	c, ok := k.Conn.(syscall.Conn)
	if !ok {
		return clientPresent
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return clientGone
	}
	found := clientUnknown
	err = raw.Control(func(fd uintptr) {
		if found = pollPresence(int(fd)); found == clientPresent && requestRead {
			found = k.findEnd(int(fd))
		}
	})
	if err != nil {
		return clientGone // closed on this side
	}
	return found
}

// overLimit reports whether open, a number of open requests, is more than the clients' share of connections, and
// whether the process is stopping.
func (l *clients) overLimit(open int64) (full, stopping bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return open > int64(l.clientShare), l.stopping
}

// counters returns counts for the log: connections by state, the maximum since the last call, and connections closed or
// refused for lack of room. More active connections than open requests means that some are still sending a request.
func (l *clients) counters() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{"peak": l.peak, "silent": l.shedCounts[0], "idled": l.shedCounts[1], "half": l.shedCounts[2], "barred": l.rejected, "scarce": l.exhausted}
	for c := range l.conns {
		counts[c.state.String()]++
	}
	l.peak = len(l.conns)
	return counts
}

// maxPendingRefusals limits how many connections are closed with a refusal at the same time, as each keeps its
// descriptor for up to lingerTimeout after its goroutine is scheduled. Further connections are closed without a
// refusal.
const maxPendingRefusals = 8

// reserveRefusal reserves one of the maxPendingRefusals refusals. It returns false if all are in use.
func (l *clients) reserveRefusal() bool {
	if l == nil {
		return false
	}
	if l.pendingRefusals.Add(1) > maxPendingRefusals {
		l.pendingRefusals.Add(-1)
		return false
	}
	return true
}
