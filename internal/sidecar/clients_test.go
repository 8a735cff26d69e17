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

// Connections make room in the order of how little they are needed, and those with an open request do not.
func TestWhoMakesRoom(t *testing.T) {
	l := newClients(testConfig(t, listAnswer(1, "ready"), nil), nil, noUpstreams)
	names := make(map[*clientConn]string)
	for _, c := range []struct {
		name  string
		age   time.Duration
		spoke time.Duration // ago; 0: never
		known bool
		state http.ConnState
	}{
		{"open request", time.Hour, time.Hour, true, http.StateActive},
		{"first request read", time.Hour, time.Hour, false, http.StateNew},
		{"next request read", time.Hour, time.Hour, true, http.StateIdle},
		{"half a next request", 1500 * time.Millisecond, 1500 * time.Millisecond, true, http.StateIdle},
		{"slow, goes on", 2 * time.Second, 50 * time.Millisecond, false, http.StateNew},
		{"half a request", time.Second, time.Second, false, http.StateActive},
		{"idle, newer", time.Second, time.Second, true, http.StateIdle},
		{"idle", 2 * time.Second, time.Second, true, http.StateIdle},
		{"silent", time.Second, 0, false, http.StateNew},
		{"just come", 0, 0, false, http.StateNew},
	} {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		k := &clientConn{Conn: near}
		if !l.add(k) {
			t.Fatal("no room")
		}
		k.since, k.hadRequest, k.state = k.since.Add(-c.age), c.known, c.state
		if c.spoke > 0 {
			k.spoke.Store(time.Now().Add(-c.spoke).UnixNano())
		}
		if k.requestBegun = c.spoke > 0 && !strings.HasPrefix(c.name, "idle"); k.requestBegun && !strings.HasSuffix(c.name, "read") {
			_, _ = k.framing.advance([]byte("POST")) // a good beginning
		}
		names[k] = c.name
	}
	var order []string
	for l.shedOne(closedRoomPartial) {
		for k, name := range names {
			if _, held := l.conns[k]; !held {
				order = append(order, name)
				delete(names, k)
			}
		}
	}
	want := []string{"silent", "idle", "idle, newer", "half a next request", "half a request", "slow, goes on", "just come"}
	if !slices.Equal(order, want) {
		t.Errorf("room is made by %q, want %q", order, want)
	}
}

// Clients may take the descriptors that upstreams leave, and give them back once upstreams want them.
func TestClientsTakeWhatUpstreamsLeave(t *testing.T) {
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
	if n := len(l.conns); n <= l.clientShare || n+upstreams > cfg.allConns(1) {
		t.Errorf("%d held beside %d upstreams, want more than %d and %d together at most", n, upstreams, l.clientShare, cfg.allConns(1))
	}
	for ; upstreams < cfg.upstreamConnLimit(1); upstreams++ {
		if !l.makeRoomForUpstream(upstreams) || len(l.conns)+upstreams >= cfg.allConns(1) {
			t.Fatalf("%d held beside %d upstreams and one to come", len(l.conns), upstreams)
		}
	}
	for _, k := range all {
		if _, held := l.conns[k]; held {
			l.requestReceived(l.connContext(context.Background(), k))
		}
	}
	if l.makeRoomForUpstream(cfg.allConns(1)) {
		t.Error("connections with open requests made room")
	}
}

// With limits cut by half too, what clients, upstreams, operators and the process itself may hold fits.
func TestDescriptorsAreSetAside(t *testing.T) {
	for _, sockets := range []float64{96, 128, 192, 1024} {
		cfg := testConfig(t, listAnswer(1, "ready"), func(file, _ map[string]any) {
			file["console"] = "127.0.0.1:0"
			file["limits"].(map[string]any)["sockets"] = sockets
		})
		const process = 10 // standard streams, poller and its wake-up, listeners, lock, discovery twice
		if all := cfg.allConns(1) + consoleConns + process; all > cfg.Sockets {
			t.Errorf("%d descriptors may be held of %d", all, cfg.Sockets)
		}
	}
}

// Bytes that come as a connection is ended are either read, and it goes on, or it is closed and nothing is read of it.
func TestBytesCrossTheEnd(t *testing.T) {
	listener, err := listen(context.Background(), "127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	l := newClients(testConfig(t, listAnswer(1, "ready"), nil), listener, noUpstreams)
	defer l.Close()
	var read, ended int
	for range 500 {
		far := dialTCP(t, listener.Addr().String())
		near, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		k, went, got := near.(*clientConn), make(chan bool), make(chan int)
		go func() {
			n, _ := k.Read(make([]byte, 10))
			got <- n
		}()
		go func() { went <- k.closeUnlessServing(false) }()
		if _, err := far.Write([]byte("GET")); err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, syscall.ECONNRESET) {
			t.Fatal(err)
		}
		n, over := wait(t, "the read", got), wait(t, "the end", went)
		if over == (n > 0) {
			t.Fatalf("%d bytes read, ended %v", n, over)
		}
		if over {
			ended++
		} else {
			read++
		}
		far.Close()
		near.Close()
		l.connStateChanged(near, http.StateClosed)
	}
	t.Logf("%d read, %d ended", read, ended)
}

// without is a listener that has no descriptor to accept with until some moment.
type without struct {
	clientListener
	failure error
	until   time.Time
	calls   int
}

func (l *without) Waiting() bool { return false }

func (l *without) Accept() (net.Conn, error) {
	l.calls++
	if time.Now().Before(l.until) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.failure)}
	}
	return nil, net.ErrClosed // whatever comes next
}

// Where no descriptor is left to accept with, idle connections make room, and it is tried again soon, but not without a pause.
func TestAcceptWithNoneLeft(t *testing.T) {
	for _, failure := range scarce {
		synctest.Test(t, func(t *testing.T) {
			none := &without{failure: failure, until: time.Now().Add(3 * time.Second)}
			l := newClients(testConfig(t, listAnswer(1, "ready"), nil), none, noUpstreams)
			near, far := net.Pipe()
			defer far.Close()
			if !l.add(&clientConn{Conn: near}) {
				t.Fatal("no room")
			}
			time.Sleep(time.Second) // it is silent
			_, err := l.acceptRetrying()
			if late := time.Since(none.until); !errors.Is(err, net.ErrClosed) || late < 0 || late > 10*time.Millisecond || none.calls > 1000 {
				t.Errorf("%v: error %v %v behind the last failure, %d calls", failure, err, late, none.calls)
			}
			if len(l.conns) > 0 {
				t.Error("the silent connection made no room")
			}
		})
	}
}

// TestMain is also a sidecar, in a process of its own with as many descriptors as its configuration says.
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

// While a crowd of idle clients takes all descriptors that there are, and discovery is down, requests are served, the
// console answers, discovery's first word behind the outage is heard and kept on disk, and no call of the system lacks a descriptor.
func TestCrowdWhileDiscoveryIsDown(t *testing.T) {
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
	listens, scarcity := make(chan string, 10), make(chan string, 1000)
	read := make(chan struct{})
	go func() {
		defer close(read)
		for in := bufio.NewScanner(log); in.Scan(); {
			if m := regexp.MustCompile(`listen=(\S+)`).FindStringSubmatch(in.Text()); m != nil {
				listens <- m[1]
			}
			if strings.Contains(in.Text(), "too many open files") {
				scarcity <- in.Text()
			}
		}
	}()
	defer func() {
		_ = child.Process.Kill() // fails only if it has ended
		<-read
		_ = child.Wait()
	}()
	side := &testSidecar{url: "http://" + wait(t, "its listener", listens), consoleAddress: wait(t, "its console", listens)}

	held := func() int {
		all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", child.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		return len(all)
	}
	crowd := make(chan struct{}, 1)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for i := range 2 * sockets {
		go func() { // comes again whenever it is closed
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
				case crowd <- struct{}{}:
				default:
				}
			}
		}()
	}
	wait(t, "one of the crowd to be closed", crowd)
	served := func(id string, at *stub) {
		t.Helper()
		for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
			res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(side.newRequest(t, "POST", "/entry", "1", "X-Request-ID", id))
			if err != nil { // a new connection may be shut unread
				continue
			}
			res.Body.Close()
			if res.StatusCode == http.StatusOK && len(at.requests) > 0 {
				wait(t, "it", at.requests)
				return
			}
		}
		t.Fatalf("request %s was not served", id)
	}
	most := 0
	for i := range 20 {
		served(fmt.Sprint(i), s)
		most = max(most, held())
	}
	if got := side.callConsole(t, "show-stat\n"); !strings.Contains(got, "app.members=1\n") {
		t.Errorf("figures %q, want one member", got)
	}
	up.Store(true)
	served("later", later)
	eventually(t, "it to be kept", func() bool {
		found := false
		_ = filepath.WalkDir(state, func(path string, e os.DirEntry, err error) error {
			if text, err := os.ReadFile(path); err == nil && strings.Contains(string(text), "s-later") {
				found = true
			}
			return nil
		})
		return found
	})
	if len(scarcity) > 0 {
		t.Errorf("%d lines such as %q", len(scarcity), <-scarcity)
	}
	t.Logf("%d descriptors of %d at most", most, sockets)
	if most > sockets {
		t.Errorf("%d descriptors of %d", most, sockets)
	}
}

// A malformed request behind a good one, cut where net/http looks for its client's end by reading one byte, takes no
// answer from the good one: that read sees nothing, and the next fails.
func TestMalformedRequestBehindAGoodOne(t *testing.T) {
	inner, err := listen(context.Background(), "127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	l := newClients(testConfig(t, listAnswer(1, "ready"), nil), inner, noUpstreams)
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
	for range 2 { // as the byte comes, and behind it
		_ = near.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if n, err := near.Read(make([]byte, 1)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("the look for an end read %d bytes, error %v", n, err)
		}
	}
	_ = near.SetReadDeadline(time.Time{})
	if n, err := near.Read(buffer); n != 0 || !errors.Is(err, errFraming) {
		t.Errorf("read %d bytes, error %v, want that the framing is told", n, err)
	}
}

// However many half requests make room before any of their goroutines has its turn, only few descriptors wait for that.
func TestRefusedConnectionsAreBounded(t *testing.T) {
	l := busyClients(t)
	var ends []net.Conn
	for range 4 * l.clientShare {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		k := &clientConn{Conn: near}
		if !l.add(k) {
			t.Fatal("no room")
		}
		k.requestBegun, k.framing.inHead = true, true // half a head has come, and nobody reads on
		ends = append(ends, far)
	}
	open := 0
	for _, far := range ends {
		_ = far.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := far.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			open++
		}
	}
	if most := len(l.conns) + refusingMost; open > most {
		t.Errorf("%d connections are open, want %d at most", open, most)
	}
}

// countedConn is a connection's raw side that counts how often the kernel is asked by it.
type countedConn struct {
	syscall.RawConn
	asked *int
}

func (c countedConn) Control(func(fd uintptr)) error {
	*c.asked++
	return nil
}

// However full the table, making room for one connection asks the kernel of one.
func TestMakingRoomAsksOfOne(t *testing.T) {
	l, asked := busyClients(t), 0
	for n := range 4 * l.clientShare {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		if !l.add(&clientConn{Conn: near, raw: countedConn{asked: &asked}}) {
			t.Fatal("no room")
		}
		if asked > n+1 {
			t.Fatalf("the kernel was asked %d times for %d connections", asked, n+1)
		}
	}
	if asked == 0 {
		t.Error("the kernel was never asked")
	}
}

// A connection that its server is closing already takes no place among those that are closed with a refusal: nobody
// would give the place back.
func TestClosingConnectionTakesNoPlace(t *testing.T) {
	l := newClients(testConfig(t, listAnswer(1, "ready"), nil), nil, noUpstreams)
	near, far := net.Pipe()
	t.Cleanup(func() { far.Close() })
	k := &clientConn{Conn: near, clients: l}
	if !l.add(k) {
		t.Fatal("no room")
	}
	k.requestBegun = true
	_, _ = k.framing.advance([]byte("POST")) // a good beginning
	if err := k.Close(); err != nil {
		t.Fatal(err)
	}
	k.closeUnlessServing(true) // to make room: it is held until its server reports that it is closed
	if n := l.refusing.Load(); n != 0 {
		t.Errorf("%d places are taken, want none", n)
	}
}

// Whoever makes room for others does not wait for a connection whose looks fail for lack of memory: the lock was held over all of them.
func TestMakingRoomWaitsForNoMemory(t *testing.T) {
	inner, err := listen(context.Background(), "127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	l := newClients(testConfig(t, listAnswer(1, "ready"), nil), inner, noUpstreams)
	defer l.Close()
	var looks atomic.Int64
	first := make(chan struct{})
	l.readFD = func(int, []byte) (int, error) {
		if looks.Add(1) == 1 {
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
	wait(t, "the first look", first)
	if !near.(*clientConn).closeUnlessServing(false) {
		t.Error("it makes no room")
	}
	if n := looks.Load(); n > momentaryTries/2 {
		t.Errorf("the end waited for %d looks", n)
	}
	if err := wait(t, "the end of its read", read); !errors.Is(err, net.ErrClosed) {
		t.Errorf("its read ended with %v, want %v", err, net.ErrClosed)
	}
}

// A connection that has come and that the system can't wait on for as long as it is tried is refused, and its request with it.
func TestConnectionThatCannotBeWaitedOnIsRefused(t *testing.T) {
	inner, err := listen(context.Background(), "127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	l := newClients(testConfig(t, listAnswer(1, "ready"), nil), &unregistering{inner}, noUpstreams)
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
	if n := l.refusing.Load(); n != 0 {
		t.Errorf("%d places of refusals are taken, want none", n)
	}
}

// unregistering is a listener whose connections the network poller never takes.
type unregistering struct{ clientListener }

func (l *unregistering) Accept() (net.Conn, error) {
	c, err := l.clientListener.Accept()
	if err != nil {
		return nil, err
	}
	return &unregistered{c.(*listener.Conn)}, nil
}

type unregistered struct{ *listener.Conn }

func (c *unregistered) SetReadDeadline(time.Time) error { return listener.ErrUnregistered }

func (c *unregistered) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.Conn.SyscallConn()
	return unreadable{raw}, err
}

type unreadable struct{ syscall.RawConn }

func (unreadable) Read(func(uintptr) bool) error { return listener.ErrUnregistered }
