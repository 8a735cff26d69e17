package sidecar

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"arrowgw/internal/listener"
)

// The connections that are least likely to be needed are closed first to make room; those with an open request stay open.
func TestShedOrder(t *testing.T) {
	l := newClients(testConfig(t, listAnswer(1, "ready"), nil), nil, noUpstreamConns)
	names := make(map[*clientConn]string)
	for _, c := range []struct {
		name  string
		age   time.Duration
		spoke time.Duration // time since it last sent bytes; 0: it has sent nothing
		known bool
		state http.ConnState
	}{
		{"open request", time.Hour, time.Hour, true, http.StateActive},
		{"first request read", time.Hour, time.Hour, false, http.StateNew},
		{"next request read", time.Hour, time.Hour, true, http.StateIdle},
		{"partial next request", 1500 * time.Millisecond, 1500 * time.Millisecond, true, http.StateIdle},
		{"slow, still sending", 2 * time.Second, 50 * time.Millisecond, false, http.StateNew},
		{"partial request", time.Second, time.Second, false, http.StateActive},
		{"idle, newer", time.Second, time.Second, true, http.StateIdle},
		{"idle", 2 * time.Second, time.Second, true, http.StateIdle},
		{"silent", time.Second, 0, false, http.StateNew},
		{"just accepted", 0, 0, false, http.StateNew},
	} {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		k := &clientConn{Conn: near}
		if !l.add(k) {
			t.Fatal("no room")
		}
		k.since, k.hadRequest, k.state = k.since.Add(-c.age), c.known, c.state
		if c.spoke > 0 {
			k.lastRead.Store(time.Now().Add(-c.spoke).UnixNano())
		}
		if k.requestBegun = c.spoke > 0 && !strings.HasPrefix(c.name, "idle"); k.requestBegun && !strings.HasSuffix(c.name, "read") {
			_, _ = k.framing.advance([]byte("POST")) // a valid beginning of a request
		}
		names[k] = c.name
	}
	var order []string
	for l.shedOne(closedShedPartial) {
		for k, name := range names {
			if _, held := l.conns[k]; !held {
				order = append(order, name)
				delete(names, k)
			}
		}
	}
	want := []string{"silent", "idle", "idle, newer", "partial next request", "partial request", "slow, still sending", "just accepted"}
	if !slices.Equal(order, want) {
		t.Errorf("closed in the order %q, want %q", order, want)
	}
}

// Clients use the descriptors that upstreams leave free, and release them when upstreams need them.
func TestClientsUseFreeUpstreamDescriptors(t *testing.T) {
	cfg := testConfig(t, listAnswer(1, "ready"), nil)
	upstreams := 10
	l := newClients(cfg, nil, func() int { return upstreams })
	var all []*clientConn
	for range cfg.Sockets {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		k := &clientConn{Conn: near}
		if !l.add(k) {
			t.Fatal("no room")
		}
		all = append(all, k)
	}
	if n := len(l.conns); n <= l.clientShare || n+upstreams > cfg.totalConnLimit(1) {
		t.Errorf("%d clients with %d upstreams, want more than %d, and at most %d together", n, upstreams, l.clientShare, cfg.totalConnLimit(1))
	}
	for ; upstreams < cfg.upstreamConnLimit(1); upstreams++ {
		if !l.makeRoomForUpstream(upstreams) || len(l.conns)+upstreams >= cfg.totalConnLimit(1) {
			t.Fatalf("%d clients with %d upstream connections, no room for another", len(l.conns), upstreams)
		}
	}
	for _, k := range all {
		if _, held := l.conns[k]; held {
			l.requestReceived(l.connContext(context.Background(), k))
		}
	}
	if l.makeRoomForUpstream(cfg.totalConnLimit(1)) {
		t.Error("a connection with an open request was closed")
	}
}

// The connections of clients, upstreams and operators and the process's own descriptors stay within the limit, also
// if the limit is halved.
func TestDescriptorBudget(t *testing.T) {
	for _, sockets := range []float64{96, 128, 192, 1024} {
		cfg := testConfig(t, listAnswer(1, "ready"), func(file, _ map[string]any) {
			file["console"] = "127.0.0.1:0"
			file["limits"].(map[string]any)["sockets"] = sockets
		})
		const process = 10 // standard streams, poller and its wake-up, listeners, lock, two connections to discovery
		if all := cfg.totalConnLimit(1) + maxConsoleConns + process; all > cfg.Sockets {
			t.Errorf("up to %d descriptors are used of %d", all, cfg.Sockets)
		}
	}
}

// Data that arrives as a connection is being closed is either read, and the connection stays open, or the connection is
// closed and nothing is read.
func TestBytesCrossTheEnd(t *testing.T) {
	listener, err := listen(context.Background(), "127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	l := newClients(testConfig(t, listAnswer(1, "ready"), nil), listener, noUpstreamConns)
	defer l.Close()
	var readCount, closedCount int
	for range 500 {
		far := dialTCP(t, listener.Addr().String())
		near, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		k, closeResult, readResult := near.(*clientConn), make(chan bool), make(chan int)
		go func() {
			n, _ := k.Read(make([]byte, 10))
			readResult <- n
		}()
		go func() { closeResult <- k.closeUnlessServing(false) }()
		if _, err := far.Write([]byte("GET")); err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, syscall.ECONNRESET) {
			t.Fatal(err)
		}
		n, closed := wait(t, "the read", readResult), wait(t, "the close", closeResult)
		if closed == (n > 0) {
			t.Fatalf("%d bytes read, closed %v", n, closed)
		}
		if closed {
			closedCount++
		} else {
			readCount++
		}
		far.Close()
		near.Close()
		l.connStateChanged(near, http.StateClosed)
	}
	t.Logf("%d read, %d closed", readCount, closedCount)
}

// failingListener is a listener whose Accept fails with failure until some moment.
type failingListener struct {
	clientListener
	failure error
	until   time.Time
	calls   int
}

// HasPending implements clientListener.
func (l *failingListener) HasPending() bool { return false }

// Accept fails with failure until the time until, and then with net.ErrClosed.
func (l *failingListener) Accept() (net.Conn, error) {
	l.calls++
	if time.Now().Before(l.until) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.failure)}
	}
	return nil, net.ErrClosed // ends the test's wait
}

// If accept fails for lack of descriptors or memory, idle connections are closed, and accept is retried soon but not
// in a busy loop.
func TestAcceptWithoutDescriptors(t *testing.T) {
	for _, failure := range resourceErrors {
		synctest.Test(t, func(t *testing.T) {
			none := &failingListener{failure: failure, until: time.Now().Add(3 * time.Second)}
			l := newClients(testConfig(t, listAnswer(1, "ready"), nil), none, noUpstreamConns)
			near, far := net.Pipe()
			defer far.Close()
			if !l.add(&clientConn{Conn: near}) {
				t.Fatal("no room")
			}
			time.Sleep(time.Second) // the connection sends nothing
			_, err := l.acceptRetrying()
			if late := time.Since(none.until); !errors.Is(err, net.ErrClosed) || late < 0 || late > 10*time.Millisecond || none.calls > 1000 {
				t.Errorf("%v: error %v %v after the last failure, %d calls", failure, err, late, none.calls)
			}
			if len(l.conns) > 0 {
				t.Error("the silent connection was not closed")
			}
		})
	}
}

// TestMain runs the tests, or, if SIDECAR_TEST_CONFIG is set, a sidecar in this process, with its descriptors limited
// to the configured number.
func TestMain(m *testing.M) {
	path := os.Getenv("SIDECAR_TEST_CONFIG")
	if path == "" {
		os.Exit(m.Run())
	}
	cfg, err := ReadConfig(path)
	if err == nil {
		err = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: uint64(cfg.Sockets), Max: uint64(cfg.Sockets)})
	}
	if err == nil {
		err = Run(context.Background(), cfg, nil)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// While idle clients use all available descriptors and discovery is down, requests are served, the console answers, the
// first list after the outage is received and saved to disk, and no system call fails for lack of descriptors.
func TestIdleClientsDuringDiscoveryOutage(t *testing.T) {
	const sockets = 96
	s := newStub(t, echo)
	later := newStub(t, echo)
	var up atomic.Bool
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case !up.Load():
			w.WriteHeader(http.StatusServiceUnavailable)
		case strings.Contains(r.URL.RawQuery, "index=2"):
			<-r.Context().Done()
		default:
			_, _ = io.WriteString(w, strings.ReplaceAll(listAnswer(2, "ready", later.address), "s-0", "s-later"))
		}
	}))
	defer d.Close()
	var settings any
	if err := json.Unmarshal([]byte(testSettings), &settings); err != nil {
		t.Fatal(err)
	}
	raw, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "console": "127.0.0.1:0", "discovery": d.Listener.Addr().String(),
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"memory_mb": 192, "sockets": sockets},
		"known": json.RawMessage(listAnswer(1, "ready", s.address)), "settings": settings})
	if err != nil {
		t.Fatal(err)
	}
	state := t.TempDir()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), "SIDECAR_TEST_CONFIG="+path, "TMPDIR="+state)
	log, err := child.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	listens, shortages := make(chan string, 10), make(chan string, 1000)
	read := make(chan struct{})
	go func() {
		defer close(read)
		for in := bufio.NewScanner(log); in.Scan(); {
			if m := regexp.MustCompile(`listen=(\S+)`).FindStringSubmatch(in.Text()); m != nil {
				listens <- m[1]
			}
			if strings.Contains(in.Text(), "too many open files") {
				shortages <- in.Text()
			}
		}
	}()
	defer func() {
		_ = child.Process.Kill() // fails only if the process has exited
		<-read
		_ = child.Wait()
	}()
	side := &testSidecar{url: "http://" + wait(t, "its listener", listens), consoleAddress: wait(t, "its console", listens)}

	openFiles := func() int {
		all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", child.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		return len(all)
	}
	reconnects := make(chan struct{}, 1)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for i := range 2 * sockets {
		go func() { // connects again whenever it is closed
			for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
				c, err := net.Dial("tcp", strings.TrimPrefix(side.url, "http://"))
				if err != nil {
					continue
				}
				off := context.AfterFunc(ctx, func() { c.Close() })
				if i%2 == 0 {
					_, _ = io.WriteString(c, "GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n")
				}
				_, _ = io.Copy(io.Discard, c)
				off()
				c.Close()
				select {
				case reconnects <- struct{}{}:
				default:
				}
			}
		}()
	}
	wait(t, "an idle client to be closed", reconnects)
	served := func(id string, at *stub) {
		t.Helper()
		for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
			res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(side.newRequest(t, "POST", "/entry", "1"))
			if err != nil { // a new connection may be closed unread
				continue
			}
			res.Body.Close()
			if res.StatusCode == http.StatusOK && len(at.requests) > 0 {
				wait(t, "the request at its server", at.requests)
				return
			}
		}
		t.Fatalf("request %s was not served", id)
	}
	maxOpen := 0
	for i := range 20 {
		served(fmt.Sprint(i), s)
		maxOpen = max(maxOpen, openFiles())
	}
	if got := side.callConsole(t, "show-stat\n"); !strings.Contains(got, "app.members=1\n") {
		t.Errorf("figures %q, want one member", got)
	}
	up.Store(true)
	served("later", later)
	eventually(t, "the list to be saved", func() bool {
		found := false
		_ = filepath.WalkDir(state, func(path string, e os.DirEntry, err error) error {
			if text, err := os.ReadFile(path); err == nil && strings.Contains(string(text), "s-later") {
				found = true
			}
			return nil
		})
		return found
	})
	if len(shortages) > 0 {
		t.Errorf("%d lines such as %q", len(shortages), <-shortages)
	}
	t.Logf("%d descriptors of %d at most", maxOpen, sockets)
	if maxOpen > sockets {
		t.Errorf("%d descriptors of %d", maxOpen, sockets)
	}
}

// The request before a malformed pipelined one still gets its answer. net/http detects a close by reading one
// byte; if that read would hit the end of the malformed head, it must return nothing, and only the next read fails.
func TestMalformedPipelinedRequest(t *testing.T) {
	inner, err := listen(context.Background(), "127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	l := newClients(testConfig(t, listAnswer(1, "ready"), nil), inner, noUpstreamConns)
	defer l.Close()
	far, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	bad := "POST /entry HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r"
	if _, err := io.WriteString(far, requestHead("1", "Content-Length: 0")+bad); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 4<<10)
	for !strings.Contains(string(buffer), "chunked\r\n\r") {
		if _, err := near.Read(buffer); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := io.WriteString(far, "\n"); err != nil {
		t.Fatal(err)
	}
	for range 2 { // as the byte arrives, and after it
		_ = near.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if n, err := near.Read(make([]byte, 1)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("the one-byte read returned %d bytes, error %v", n, err)
		}
	}
	_ = near.SetReadDeadline(time.Time{})
	if n, err := near.Read(buffer); n != 0 || !errors.Is(err, errFraming) {
		t.Errorf("read %d bytes, error %v, want %v", n, err, errFraming)
	}
}

// However many partial requests are closed to make room before their goroutines are scheduled, only maxPendingRefusals
// connections stay open for a refusal.
func TestRefusedConnectionsAreBounded(t *testing.T) {
	l := newBusyClients(t)
	var ends []net.Conn
	for range 4 * l.clientShare {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		k := &clientConn{Conn: near}
		if !l.add(k) {
			t.Fatal("no room")
		}
		k.requestBegun, k.framing.heads.inHead = true, true // part of a head has arrived, and no goroutine reads on
		ends = append(ends, far)
	}
	open := 0
	for _, far := range ends {
		_ = far.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := far.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			open++
		}
	}
	if most := len(l.conns) + maxPendingRefusals; open > most {
		t.Errorf("%d connections are open, want %d at most", open, most)
	}
}

// countingRawConn is a raw connection that counts system calls through Control.
type countingRawConn struct {
	syscall.RawConn
	asked *int
}

// Control counts the call and does not call the function.
func (c countingRawConn) Control(func(fd uintptr)) error {
	*c.asked++
	return nil
}

// Making room for a connection makes a system call for at most one other connection, however many there are.
func TestMakingRoomQueriesOneSocket(t *testing.T) {
	l, asked := newBusyClients(t), 0
	for n := range 4 * l.clientShare {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		if !l.add(&clientConn{Conn: near, raw: countingRawConn{asked: &asked}}) {
			t.Fatal("no room")
		}
		if asked > n+1 {
			t.Fatalf("%d system calls for %d connections", asked, n+1)
		}
	}
	if asked == 0 {
		t.Error("no system call was made")
	}
}

// A connection that net/http is closing already reserves no refusal, as the reservation would never be released.
func TestClosingConnectionReservesNoRefusal(t *testing.T) {
	l := newClients(testConfig(t, listAnswer(1, "ready"), nil), nil, noUpstreamConns)
	near, far := net.Pipe()
	t.Cleanup(func() { far.Close() })
	k := &clientConn{Conn: near, clients: l}
	if !l.add(k) {
		t.Fatal("no room")
	}
	k.requestBegun = true
	_, _ = k.framing.advance([]byte("POST")) // a valid beginning of a request
	if err := k.Close(); err != nil {
		t.Fatal(err)
	}
	k.closeUnlessServing(true) // to make room: the connection is kept until the server reports that it is closed
	if n := l.pendingRefusals.Load(); n != 0 {
		t.Errorf("%d refusals are reserved, want none", n)
	}
}

// Closing a connection to make room does not wait while its reads fail for lack of memory. It did when the lock was
// held during all retries of a read.
func TestMakingRoomDoesNotWaitForMemory(t *testing.T) {
	inner, err := listen(context.Background(), "127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	l := newClients(testConfig(t, listAnswer(1, "ready"), nil), inner, noUpstreamConns)
	defer l.Close()
	var reads atomic.Int64
	first := make(chan struct{})
	l.readFD = func(int, []byte) (int, error) {
		if reads.Add(1) == 1 {
			close(first)
		}
		return 0, syscall.ENOMEM
	}
	dialTCP(t, inner.Addr().String())
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	read := make(chan error, 1)
	go func() {
		_, err := near.Read(make([]byte, 10))
		read <- err
	}()
	wait(t, "the first read", first)
	if !near.(*clientConn).closeUnlessServing(false) {
		t.Error("the connection was not closed")
	}
	if n := reads.Load(); n > maxTransientRetries/2 {
		t.Errorf("the close waited for %d reads", n)
	}
	if err := wait(t, "its read to end", read); !errors.Is(err, net.ErrClosed) {
		t.Errorf("its read ended with %v, want %v", err, net.ErrClosed)
	}
}

// A read that fails for good within a request fails all further reads. Otherwise net/http would take the part of a header
// line before the failure for a whole line.
func TestFailedReadWithinHeadEndsReads(t *testing.T) {
	inner, err := listen(context.Background(), "127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	l := newClients(testConfig(t, listAnswer(1, "ready"), nil), inner, noUpstreamConns)
	defer l.Close()
	begin, rest := "GET /look HTTP/1.1\r\nHost: x\r", "\nX-Timeout: 480m\r\n\r\n"
	reads := 0
	l.readFD = func(_ int, p []byte) (int, error) {
		switch reads++; {
		case reads == 1:
			return copy(p, begin), nil
		case reads <= 2+maxTransientRetries:
			return 0, syscall.ENOMEM
		}
		return copy(p, rest), nil
	}
	c := dialTCP(t, inner.Addr().String())
	if _, err := io.WriteString(c, begin+rest); err != nil {
		t.Fatal(err)
	}
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	buffer := make([]byte, 100)
	if n, err := near.Read(buffer); n != len(begin) || err != nil {
		t.Fatalf("first read: %d bytes, error %v", n, err)
	}
	for range 2 {
		if n, err := near.Read(buffer); n != 0 || !errors.Is(err, syscall.ENOMEM) {
			t.Errorf("read %q, error %v, want %v", buffer[:n], err, syscall.ENOMEM)
		}
	}
}

// A connection that can't be registered with the network poller in time is closed with a refusal, as a request may have
// arrived on it.
func TestUnregisteredConnectionIsRefused(t *testing.T) {
	inner, err := listen(context.Background(), "127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	l := newClients(testConfig(t, listAnswer(1, "ready"), nil), &unregisteredListener{inner}, noUpstreamConns)
	c := dialTCP(t, inner.Addr().String())
	if _, err := io.WriteString(c, "GET /look HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, listener.ErrUnregistered) {
		t.Errorf("the server read with error %v, want %v", err, listener.ErrUnregistered)
	}
	if err := near.Close(); err != nil {
		t.Error(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("the client read %v, error %v, want 503", res, err)
	}
	if n := l.pendingRefusals.Load(); n != 0 {
		t.Errorf("%d refusals are reserved, want none", n)
	}
}

// unregisteredListener is a listener whose connections are never registered with the network poller.
type unregisteredListener struct{ clientListener }

// Accept implements net.Listener.
func (l *unregisteredListener) Accept() (net.Conn, error) {
	c, err := l.clientListener.Accept()
	if err != nil {
		return nil, err
	}
	return &unregisteredConn{c.(*listener.Conn)}, nil
}

// unregisteredConn is a connection whose registration always fails.
type unregisteredConn struct{ *listener.Conn }

func (c *unregisteredConn) SetReadDeadline(time.Time) error { return listener.ErrUnregistered }

func (c *unregisteredConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.Conn.SyscallConn()
	return unreadableRawConn{raw}, err
}

// unreadableRawConn is a raw connection whose reads fail with listener.ErrUnregistered.
type unreadableRawConn struct{ syscall.RawConn }

func (unreadableRawConn) Read(func(uintptr) bool) error { return listener.ErrUnregistered }
