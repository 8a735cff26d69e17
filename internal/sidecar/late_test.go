package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arrowgw/internal/balance"
)

// delayDials makes dials to an address succeed only when they are cancelled or release is closed. dialled receives a value
// as each dial starts.
func (u *transport) delayDials(address string) (dialled chan struct{}, release chan struct{}) {
	dialled, release = make(chan struct{}, 100), make(chan struct{})
	dial := u.dial
	u.dial = func(ctx context.Context, network, to string) (net.Conn, error) {
		c, err := dial(context.Background(), network, to)
		if to == address {
			dialled <- struct{}{}
			select {
			case <-ctx.Done():
			case <-release:
			}
		}
		return c, err
	}
	return dialled, release
}

// A connection that is established after the time for writing its request has passed does not carry the request.
func TestLateConnections(t *testing.T) {
	for name, c := range map[string]struct {
		abandonAfter, sendWithin time.Duration
		happens                  func(x *exchange)
		ending                   balance.Ending
	}{
		"time-out":          {abandonAfter: 20 * time.Millisecond, ending: balance.NoConnection},
		"sendBy":            {abandonAfter: testTimeout, sendWithin: 20 * time.Millisecond, ending: balance.NoConnection},
		"sendBy after both": {abandonAfter: 20 * time.Millisecond, sendWithin: testTimeout, ending: balance.NoConnection},
		"withdrawn":         {abandonAfter: testTimeout, happens: (*exchange).withdraw, ending: balance.NotSent},
		"then cancelled":    {abandonAfter: testTimeout, happens: func(x *exchange) { x.withdraw(); x.cancel() }, ending: balance.NotSent},
		"cancelled":         {abandonAfter: testTimeout, happens: (*exchange).cancel, ending: balance.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStub(t, echo)
			u := testTransport(t)
			u.dialTimeout = 2 * testTimeout
			dialled, _ := u.delayDials(s.address)
			done, now := make(chan attemptResult, 1), u.clock.now()
			if c.sendWithin > 0 {
				c.sendWithin += now
			}
			x := u.send(s.address, testRequest("1"), now+c.abandonAfter, c.sendWithin, now+c.abandonAfter, func(r attemptResult) { done <- r })
			wait(t, "the dial", dialled)
			if c.happens != nil {
				c.happens(x)
			}
			if got := wait(t, "the end of the attempt", done); got.ending != c.ending {
				t.Errorf("ending %v, want %v", got.ending, c.ending)
			}
			u.dial = (&net.Dialer{}).DialContext
			runAttempt(t, u, s.address, "2", testTimeout)
			if r := wait(t, "the next request", s.requests); r.Header.Get("X-Request-ID") != "2" {
				t.Errorf("request %s was sent first", r.Header.Get("X-Request-ID"))
			}
		})
	}
}

// An attempt whose request is being written, or has been, is not withdrawn.
func TestWithdrawAfterWrite(t *testing.T) {
	answer := make(chan struct{})
	s := newStub(t, func(c net.Conn, r stubRequest) bool { <-answer; return echo(c, r) })
	u := testTransport(t)
	done := make(chan attemptResult, 1)
	x := u.send(s.address, testRequest("1"), u.clock.now()+testTimeout, 0, u.clock.now()+testTimeout, func(r attemptResult) { done <- r })
	wait(t, "the request", s.requests)
	x.withdraw()
	close(answer)
	if got := wait(t, "the end of the attempt", done); got.ending != balance.Served {
		t.Errorf("ending %v, want %v", got.ending, balance.Served)
	}
}

// delayedReader is the rest of a body that arrives at a set moment.
type delayedReader struct{ at time.Time }

// Read returns the last bytes of the body at the set moment.
func (s delayedReader) Read(b []byte) (int, error) {
	time.Sleep(time.Until(s.at))
	return copy(b, "end"), io.EOF
}

// A request that is not written completely by sendBy is cut short: its server never receives the last byte.
func TestRequestIsCutShortAtSendBy(t *testing.T) {
	for _, name := range []string{"buffered", "upload"} {
		t.Run(name, func(t *testing.T) {
			l, u := listenWithOptions(t, smallestReceiveBuffer), testTransport(t)
			u.useSmallWriteBuffers()
			m, sendBy := testRequest("1"), u.clock.now()+50*time.Millisecond
			m.body, m.length = patternedBody(maxBufferedBody), maxBufferedBody
			if name == "upload" {
				body := &pacedBody{body: delayedReader{u.clock.toTime(sendBy + time.Millisecond)}, setReadDeadline: func(time.Time) error { return nil }}
				m.upload, m.length = newUpload(body), maxBufferedBody+3
				m.upload.onArrived = func(time.Duration) {}
				m.onWritten = func(_, _ time.Duration, _ string) { t.Error("the last byte was written") }
			}
			accepted := make(chan net.Conn, 1)
			go func() {
				if c, err := l.Accept(); err == nil {
					accepted <- c
				}
			}()
			done := make(chan attemptResult, 1)
			u.send(l.Addr().String(), m, u.clock.now()+2*testTimeout, sendBy, u.clock.now()+2*testTimeout, func(r attemptResult) { done <- r })
			server := wait(t, "the connection", accepted)
			defer server.Close()
			if name == "upload" { // the server reads and the client is slow; otherwise the client is fast and the server does not read
				go func() { _, _ = io.Copy(io.Discard, server) }()
			}
			if got := wait(t, "the end of the attempt", done); got.ending != balance.NoConnection {
				t.Errorf("ending %v, want %v", got.ending, balance.NoConnection)
			}
			if name == "buffered" {
				if n, _ := io.Copy(io.Discard, server); n >= maxBufferedBody {
					t.Errorf("the whole body was written, %d bytes", n)
				}
			}
		})
	}
}

// A request that waits for a connection to a server that begins to drain goes to another server, and the connection that is
// established afterwards carries nothing.
func TestDrainWhileConnecting(t *testing.T) {
	late, other := newStub(t, echo), newStub(t, echo)
	l := newTestLoop(t, late.address)
	l.upstream.dialTimeout = 2 * testTimeout
	dialled, _ := l.upstream.delayDials(late.address)
	reply := make(chan answer, 1)
	l.submit(balance.Request{Class: 1}, testRequest("1"), l.now+testTimeout, reply)
	l.runNextEvent(t)
	wait(t, "the dial", dialled)
	l.applyList(listing{servers: []balance.Server{{ID: serverID("s-0"), State: balance.Draining, Weight: 1},
		{ID: serverID("s-1"), State: balance.Ready, Weight: 1}},
		addresses: map[balance.ServerID]string{serverID("s-0"): late.address, serverID("s-1"): other.address}}, balance.ListDelta)
	l.runNextEvent(t) // the attempt ends
	wait(t, "the request at the other server", other.requests)
	l.runNextEvent(t)
	if a := wait(t, "the answer", reply); a.status != http.StatusOK || len(late.requests) > 0 {
		t.Errorf("status %d, %d requests at the server that drains", a.status, len(late.requests))
	}
}

// newTestFront returns a front with one server and a listener that is served only once the returned function is called.
func newTestFront(t *testing.T, address string, edit func(file, settings map[string]any)) (*front, *testSidecar, func()) {
	t.Helper()
	cfg := testConfig(t, listAnswer(1, "ready", address), edit)
	c := newClock()
	l, err := newLoop(cfg, c, newTransport(cfg, c))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	listener, err := listen(context.Background(), "127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	k := newClients(cfg, listener, l.upstream.connectionCount)
	k.setLimits(8, 16)
	f := newFront(cfg, c, l, k)
	l.guard.Start()
	f.ready.Store(true)
	server := f.server()
	t.Cleanup(func() { server.Close() })
	return f, &testSidecar{url: "http://" + listener.Addr().String()}, func() {
		go l.run(ctx, cfg.KnownServers)
		go server.Serve(k)
	}
}

// If a client leaves while its request waits for a connection, the request is not sent, whether or not attempts may be
// cancelled, and even if bytes from the client are still unread: reading detects a close only after all bytes before it.
func TestClientLeavesWhileConnecting(t *testing.T) {
	body := string(patternedBody(maxBufferedBody + 4<<10))
	short := requestHead("1", "Content-Length: 0")
	for name, input := range map[string][2]string{ // sent at once, and while the attempt waits
		"nothing more":  {short, ""},
		"one byte more": {short, "G"},
		"more requests": {short, strings.Repeat(requestHead("2", "Content-Length: 0"), 40)},
		"a long body":   {requestHead("1", fmt.Sprintf("Content-Length: %d", len(body))) + body, ""},
		"half of one":   {requestHead("1", fmt.Sprintf("Content-Length: %d", len(body)+1<<10)) + body, ""},
	} {
		for _, mayCancel := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, cancel %v", name, mayCancel), func(t *testing.T) {
				s := newStub(t, echo)
				f, sidecar, serve := newTestFront(t, s.address, func(_, settings map[string]any) {
					settings["caps"].(map[string]any)["may_cancel"] = mayCancel
					entry := settings["classes"].([]any)[1].(map[string]any) // no time-out may end it before the test does
					entry["aim_ms"], entry["hard_limit_ms"] = 10*testTimeout.Milliseconds(), 10*testTimeout.Milliseconds()
				})
				f.loop.upstream.dialTimeout = 2 * testTimeout
				dialled, free := f.loop.upstream.delayDials(s.address)
				serve()
				c := sidecar.dial(t)
				if _, err := io.WriteString(c, strings.Replace(input[0], "20000m", "200000m", 1)); err != nil {
					t.Fatal(err)
				}
				wait(t, "the dial", dialled)
				if _, err := io.WriteString(c, input[1]); err != nil {
					t.Fatal(err)
				}
				c.Close()
				f.waitOnLoop(t, "the request to end", func() bool { return f.openRequests.Load() == 0 })
				close(free)
				f.waitOnLoop(t, "the attempt to end", func() bool { return len(f.loop.requests) == 0 })
				if len(s.requests) > 0 {
					t.Errorf("request %s was sent on", wait(t, "it", s.requests).Header.Get("X-Request-ID"))
				}
			})
		}
	}
}

// Guards against requests that are sent although their client has gone, because it had sent so many more behind them that the
// end of its connection did not fit into the receive buffer of the sidecar's socket.
func TestClientLeavesBehindUnreadRequests(t *testing.T) {
	next := requestHead("2", "Content-Length: 0")
	for _, unreadBytes := range []int{len(next), 4 << 10, 40 << 10, 100 << 10, 300 << 10, 2 << 20} {
		t.Run(fmt.Sprint(unreadBytes), func(t *testing.T) {
			s := newStub(t, echo)
			f, sidecar, serve := newTestFront(t, s.address, nil)
			f.loop.upstream.dialTimeout = 2 * testTimeout
			dialled, free := f.loop.upstream.delayDials(s.address)
			serve()
			c := sidecar.dial(t)
			if _, err := io.WriteString(c, requestHead("1", "Content-Length: 0")); err != nil {
				t.Fatal(err)
			}
			wait(t, "the dial", dialled)
			if _, err := io.WriteString(c, strings.Repeat(next, unreadBytes/len(next))); err != nil {
				t.Fatal(err)
			}
			c.Close()
			time.Sleep(presencePollInterval) // the attempt begins later than it may
			close(free)
			f.waitOnLoop(t, "the requests to end", func() bool { return f.openRequests.Load() == 0 && len(f.loop.requests) == 0 && f.clients.count() == 0 })
			if len(s.requests) > 0 {
				t.Errorf("%d requests were sent on, the first of them %s", len(s.requests), wait(t, "it", s.requests).Header.Get("X-Request-ID"))
			}
		})
	}
}

// waitOnLoop waits for a condition that is evaluated on the loop's goroutine.
func (f *front) waitOnLoop(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end, there := time.Now().Add(testTimeout), false; !there; time.Sleep(time.Millisecond) {
		if err := f.loop.postAndWait(context.Background(), func(time.Duration) { there = holds() }); err != nil {
			t.Fatal(err)
		}
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// A request whose client had left before it was read is not sent.
func TestClientLeftBeforeRequestWasRead(t *testing.T) {
	s := newStub(t, echo)
	f, sidecar, serve := newTestFront(t, s.address, nil)
	c := sidecar.dial(t)
	if _, err := io.WriteString(c, requestHead("1", "Content-Length: 0")); err != nil {
		t.Fatal(err)
	}
	c.Close()
	serve()
	f.waitOnLoop(t, "the connection to be accepted and closed", func() bool {
		f.clients.mu.Lock()
		defer f.clients.mu.Unlock()
		return f.clients.peak > 0 && len(f.clients.conns) == 0
	})
	if f.loop.lastID.Load() > 0 {
		t.Error("the request was passed to the module")
	}
}

// block keeps the loop's goroutine from running events posted after it until free is called.
func (l *loop) block() (free func()) {
	blocked := make(chan struct{})
	l.post(func(time.Duration) { <-blocked })
	return sync.OnceFunc(func() { close(blocked) })
}

// A client leaves while the event that reports this is queued behind others, and an attempt is about to be written: it must not
// be sent. The kernel is queried before each write. The loop is blocked from the beginning of the attempt, so that nothing else
// can report that the client has left.
func TestClientLeavesBeforeLoopKnows(t *testing.T) {
	departures := map[string]func(c *net.TCPConn) error{
		"closes":  (*net.TCPConn).Close,
		"resets":  func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
		"no more": (*net.TCPConn).CloseWrite,
	}
	for _, phase := range []string{"first", "further", "connecting"} {
		for kind, leave := range departures {
			t.Run(phase+" "+kind, func(t *testing.T) {
				answerNow, turnAway := make(chan struct{}), phase == "further"
				answer := func(c net.Conn, r stubRequest) bool {
					if !turnAway {
						return echo(c, r)
					}
					turnAway = false
					<-answerNow
					_, err := io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
					return err == nil
				}
				one, other := newStub(t, answer), newStub(t, answer)
				f, sidecar, serve := newTestFront(t, one.address, func(file, settings map[string]any) {
					if phase != "connecting" {
						file["known"] = json.RawMessage(listAnswer(1, "ready", one.address, other.address))
					}
					settings["caps"].(map[string]any)["may_cancel"] = false
				})
				l, posted := f.loop, func(n int) func() bool { return func() bool { return len(f.loop.events) >= n } }
				dialled, free := make(chan struct{}, 1), make(chan struct{})
				if phase == "connecting" {
					l.upstream.dialTimeout = 2 * testTimeout
					dialled, free = l.upstream.delayDials(one.address)
				}
				serve()
				c := sidecar.dial(t).(*net.TCPConn)
				begin := l.block()
				defer begin()
				eventually(t, "the loop to be blocked", func() bool { return len(l.events) == 0 })
				send := func() {
					if _, err := io.WriteString(c, requestHead("1", "Content-Length: 0")); err != nil {
						t.Fatal(err)
					}
				}
				switch phase {
				case "first":
					send()
					eventually(t, "the request to be posted", posted(1))
				case "further":
					begin()
					send()
					select {
					case <-one.requests:
					case <-other.requests:
					case <-time.After(testTimeout):
						t.Fatal("no first attempt")
					}
					begin = l.block()
					eventually(t, "the loop to be blocked", func() bool { return len(l.events) == 0 })
					close(answerNow)
					eventually(t, "the first attempt's end to be posted", posted(1))
				case "connecting":
					begin()
					send()
					wait(t, "the dial", dialled)
				}
				end := l.block()
				defer end()
				if err := leave(c); err != nil {
					t.Fatal(err)
				}
				eventually(t, "the client's departure to arrive", func() bool { return !f.clients.anyPresent() })
				begin()
				close(free)
				if phase == "connecting" { // otherwise the guard prevents the dial
					eventually(t, "the connection to be returned to the pool", func() bool {
						l.upstream.mu.Lock()
						defer l.upstream.mu.Unlock()
						return len(l.upstream.idle[one.address]) == 1
					})
				}
				end()
				f.waitOnLoop(t, "the attempt to end", func() bool { return len(l.requests) == 0 })
				if n := len(one.requests) + len(other.requests); n > 0 {
					t.Errorf("%d attempts after the client left", n)
				}
			})
		}
	}
}

// anyPresent reports whether the system knows of any connection whose client has not left. The end of a connection arrives
// a moment after the client's call, and later on a busy machine.
func (l *clients) anyPresent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		found := clientGone
		_ = c.raw.Control(func(fd uintptr) { found = pollPresence(int(fd)) }) // fails only on a closed connection
		if found == clientPresent {
			return true
		}
	}
	return false
}

// X-Timeout is the time that is left after the connection to the server was established, even for a long body that may have
// arrived completely long before.
func TestTimeoutHeaderAfterSlowConnect(t *testing.T) {
	for name, m := range map[string]*outboundRequest{"buffered": testRequest("1"), "upload": testRequest("1")} {
		t.Run(name, func(t *testing.T) {
			s, u := newStub(t, echo), testTransport(t)
			dialled, free := u.delayDials(s.address)
			if m.timeLeft = 4 * time.Second; name == "upload" {
				m.upload = newUpload(&pacedBody{body: strings.NewReader("end"), setReadDeadline: func(time.Time) error { return nil }})
				m.upload.onArrived, m.length = func(time.Duration) {}, int64(len(m.body))+3
			}
			u.send(s.address, m, u.clock.now()+m.timeLeft, 0, u.clock.now()+m.timeLeft, func(attemptResult) {})
			wait(t, "the dial", dialled)
			begun := u.clock.now()
			time.Sleep(30 * time.Millisecond)
			limit := m.timeLeft - (u.clock.now() - begun)
			close(free)
			if timeout, _ := parseTimeout(wait(t, "the request", s.requests).Header.Get("X-Timeout")); timeout > limit {
				t.Errorf("X-Timeout is %v, want %v at most", timeout, limit)
			}
		})
	}
}

// While a dial is late others are started, up to maxParallelDials and only if there is room. The first connection that is
// established carries the request, once; a later one goes to the pool.
func TestLateDialsAreHedged(t *testing.T) {
	refused := errors.New("refused")
	for name, c := range map[string]struct {
		lateDials int   // this many dials, from the first, end only when they are cancelled
		connects  bool  // a late dial that is cancelled yields a connection
		fails     error // error of the dials that are not late
		edit      func(u *transport)
		ending    balance.Ending
		dials     int
		open      int // connections left at the end
	}{
		"none late":         {ending: balance.Served, dials: 1, open: 1},
		"one":               {lateDials: 1, ending: balance.Served, dials: 2, open: 1},
		"one, up after all": {lateDials: 1, connects: true, ending: balance.Served, dials: 2, open: 2},
		"two":               {lateDials: 2, ending: balance.Served, dials: 3, open: 1},
		"all":               {lateDials: maxParallelDials + 1, ending: balance.NoConnection, dials: maxParallelDials},
		"one, at the limit": {lateDials: 1, edit: func(u *transport) { u.maxOpen = 1 }, ending: balance.NoConnection, dials: 1},
		"one, with no room": {lateDials: 1, edit: func(u *transport) { u.hasRoom = func(n int) bool { return n < 1 } },
			ending: balance.NoConnection, dials: 1},
		"one, then refused": {lateDials: 1, fails: refused, ending: balance.NoConnection, dials: 2},
		"refused":           {fails: refused, ending: balance.NoConnection, dials: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStub(t, echo)
			u := testTransport(t)
			if c.ending != balance.Served {
				u.dialTimeout = 20 * time.Millisecond
			}
			if c.edit != nil {
				c.edit(u)
			}
			var dials atomic.Int32
			dialled, over := make(chan int, 2*maxParallelDials), make(chan time.Time)
			close(over)
			u.lateDialTimer = func(time.Duration) <-chan time.Time { // fires for each late dial once it has begun
				if <-dialled <= c.lateDials {
					return over
				}
				return nil
			}
			u.dial = func(ctx context.Context, network, to string) (net.Conn, error) {
				n := int(dials.Add(1))
				dialled <- n
				if n > c.lateDials && c.fails != nil {
					return nil, c.fails
				}
				if n <= c.lateDials {
					<-ctx.Done()
					if !c.connects {
						return nil, ctx.Err()
					}
				}
				return (&net.Dialer{}).DialContext(context.WithoutCancel(ctx), network, to)
			}
			if got := runAttempt(t, u, s.address, "1", testTimeout); got.ending != c.ending {
				t.Errorf("ending %v, want %v", got.ending, c.ending)
			}
			open, idle := -1, -1 // cancelled dials end by themselves
			for end := time.Now().Add(testTimeout); (open != c.open || idle != c.open) && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
				u.mu.Lock()
				open, idle = u.open, len(u.idle[s.address])
				u.mu.Unlock()
			}
			if n := int(dials.Load()); n != c.dials || open != c.open || idle != c.open || len(s.requests) > 1 {
				t.Errorf("%d dials, %d open, %d idle, %d requests, want %d, %d, all, one at most", n, open, idle,
					len(s.requests), c.dials, c.open)
			}
		})
	}
}

// The X-Timeout header of a retry with a long body is at most the time that was left when the retry was sent.
func TestTimeoutHeaderOfRetry(t *testing.T) {
	s := newStub(t, echo)
	l := newTestLoop(t, s.address)
	r, _ := l.addRequest(7)
	r.outbound.timeLeft = testTimeout
	r.outbound.upload = newUpload(&pacedBody{body: strings.NewReader("end"), setReadDeadline: func(time.Time) error { return nil }})
	r.outbound.upload.onArrived, r.outbound.length = func(time.Duration) {}, int64(len(r.outbound.body))+3
	l.now += testTimeout / 2 // as if earlier attempts had failed
	l.Send(7, serverID("s-0"), 0, 0)
	if timeout, _ := parseTimeout(wait(t, "the request", s.requests).Header.Get("X-Timeout")); timeout > testTimeout/2 {
		t.Errorf("X-Timeout is %v, want %v at most", timeout, testTimeout/2)
	}
	l.runNextEvent(t)
}

// A client leaves when the last byte of its long body is about to be written: the server must not receive that byte.
func TestClientLeavesBeforeLastByte(t *testing.T) {
	s, u, asked := newStub(t, echo), testTransport(t), 0
	m := testRequest("1")
	m.upload = newUpload(&pacedBody{body: strings.NewReader("end"), setReadDeadline: func(time.Time) error { return nil }})
	m.upload.onArrived = func(time.Duration) {}
	m.onWritten = func(_, _ time.Duration, _ string) { t.Error("the last byte was written") }
	m.length = int64(len(m.body)) + 3
	m.clientPresence = func() presence {
		if asked++; asked > 1 {
			return clientGone
		}
		return clientPresent
	}
	done := make(chan attemptResult, 1)
	u.send(s.address, m, u.clock.now()+testTimeout, 0, u.clock.now()+testTimeout, func(r attemptResult) { done <- r })
	if got := wait(t, "the end of the attempt", done); got.ending != balance.Cancelled {
		t.Errorf("ending %v, want %v", got.ending, balance.Cancelled)
	}
	wait(t, "the connection to close", s.closed)
	if len(s.requests) > 0 {
		t.Error("the server received the whole request")
	}
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}
