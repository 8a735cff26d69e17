package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

func TestServed(t *testing.T) {
	s := newStub(t, func(c net.Conn, r stubRequest) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/hive\r\nX-Server-Load: TEXT inflight=1\r\n"+
			"Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
		return err == nil
	})
	side := startSidecar(t, nil, s.address)
	if res, _ := sendRequest(t, side.newRequest(t, "GET", "/up", "")); res.StatusCode != http.StatusOK {
		t.Fatalf("GET /up: %s", res.Status)
	}
	req := side.newRequest(t, "POST", "/reading/hive%2F7?scale=a%20b&x", "41.5 kg", "Idempotency-Key", "k1", "Connection", "X-Hop", "X-Hop", "1")
	res, body := sendRequest(t, req)
	if res.StatusCode != http.StatusOK || body != "41.5 kg" || res.Header.Get("Content-Type") != "text/hive" {
		t.Fatalf("%s, body %q, headers %v", res.Status, body, res.Header)
	}
	got := wait(t, "the request", s.requests)
	if got.Method != "POST" || got.uri != "/reading/hive%2F7?scale=a%20b&x" || got.body != "41.5 kg" ||
		got.Header.Get("X-Request-ID") != "r1" || got.Header.Get("Idempotency-Key") != "k1" {
		t.Errorf("the upstream had %s %s %q, headers %v", got.Method, got.uri, got.body, got.Header)
	}
	if got.Header.Get("X-Hop") != "" || res.Header.Get("X-Server-Load") != "" {
		t.Errorf("headers of one connection went on: %v, %v", got.Header, res.Header)
	}
}

// What rules bar is refused with a time to come back, and no attempt is made.
func TestBarred(t *testing.T) {
	s := newStub(t, echo)
	f, side, serve := newTestFront(t, s.address, nil)
	var serves atomic.Bool
	f.rulesAllow = serves.Load
	serve()
	for path, pause := range map[string]bool{"/up": false, "/look": true} {
		if res, _ := sendRequest(t, side.newRequest(t, "GET", path, "")); res.StatusCode != http.StatusServiceUnavailable || (res.Header.Get("Retry-After") != "") != pause {
			t.Errorf("GET %s: %s, headers %v", path, res.Status, res.Header)
		}
	}
	serves.Store(true)
	if res, _ := sendRequest(t, side.newRequest(t, "GET", "/up", "")); res.StatusCode != http.StatusOK {
		t.Errorf("GET /up: %s", res.Status)
	}
	if len(s.requests) > 0 {
		t.Error("the server had a request that was barred")
	}
}

// Bad input has a plain answer and no attempt.
func TestBadInput(t *testing.T) {
	s := newStub(t, echo)
	side := startSidecar(t, nil, s.address)
	twice := func(name string) *http.Request {
		req := side.newRequest(t, "POST", "/reading", "1", "Idempotency-Key", "k1")
		req.Header.Add(name, req.Header.Get(name))
		return req
	}
	for name, c := range map[string]struct {
		status int
		req    *http.Request
	}{
		"no id":             {400, side.newRequest(t, "GET", "/look", "", "X-Request-ID", "")},
		"no class":          {400, side.newRequest(t, "GET", "/look", "", "X-Priority-Class", "")},
		"unknown class":     {400, side.newRequest(t, "GET", "/nothing", "")},
		"two classes":       {400, side.newRequest(t, "GET", "/look", "", "X-Priority-Class", "entry")},
		"no tenant":         {400, side.newRequest(t, "GET", "/look", "", "X-Tenant-Id", "")},
		"unknown tenant":    {400, side.newRequest(t, "GET", "/look", "", "X-Tenant-Id", "east")},
		"no time":           {400, side.newRequest(t, "GET", "/look", "", "X-Timeout", "")},
		"time of no unit":   {400, side.newRequest(t, "GET", "/look", "", "X-Timeout", "480")},
		"time that is none": {400, side.newRequest(t, "GET", "/look", "", "X-Timeout", "NaNm")},
		"time below 0":      {400, side.newRequest(t, "GET", "/look", "", "X-Timeout", "-5m")},
		"time is up":        {503, side.newRequest(t, "GET", "/look", "", "X-Timeout", "0m")},
		"bad cost":          {400, side.newRequest(t, "GET", "/look", "", "X-Cost", "cheap")},
		"safe with a body":  {400, side.newRequest(t, "GET", "/look", "1")},
		"two ids":           {400, twice("X-Request-Id")},
		"two classes named": {400, twice("X-Priority-Class")},
		"two tenants":       {400, twice("X-Tenant-Id")},
		"two times":         {400, twice("X-Timeout")},
		"two keys":          {400, twice("Idempotency-Key")},
		"keyed without key": {400, side.newRequest(t, "POST", "/reading", "1")},
		"safe by POST":      {400, side.newRequest(t, "POST", "/look", "")},
		"unsafe by GET":     {400, side.newRequest(t, "GET", "/entry", "")},
		"keyed by PUT":      {400, side.newRequest(t, "PUT", "/reading", "1", "Idempotency-Key", "k1")},
		"up by POST":        {400, side.newRequest(t, "POST", "/up", "")},
	} {
		if res, _ := sendRequest(t, c.req); res.StatusCode != c.status {
			t.Errorf("%s: %s, want %d", name, res.Status, c.status)
		}
	}
	tooLong := side.dial(t)
	if _, err := io.WriteString(tooLong, requestHead("1", fmt.Sprintf("Content-Length: %d", maxRequestBody+1))); err != nil {
		t.Fatal(err)
	}
	if answers, err := io.ReadAll(tooLong); err != nil || !strings.HasPrefix(string(answers), "HTTP/1.1 413 ") {
		t.Errorf("long body: %q, error %v, want 413 and a close", answers, err)
	}
	options := side.dial(t)
	if _, err := io.WriteString(options, "OPTIONS * HTTP/1.1\r\nHost: service.internal\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if answers, err := io.ReadAll(options); err != nil || !strings.HasPrefix(string(answers), "HTTP/1.1 400 ") {
		t.Errorf("OPTIONS *: %q, error %v, want 400 and a close", answers, err)
	}
	many := side.dial(t)
	if _, err := io.WriteString(many, strings.Repeat(requestHead("", "Content-Length: 0"), 3)); err != nil {
		t.Fatal(err)
	}
	if answers, _ := io.ReadAll(many); strings.Count(string(answers), "HTTP/1.1 ") != 1 { // a reset behind it is as good as a close
		t.Errorf("three without an id: %q, want one answer and a close", answers)
	}
	if res, body := sendRequest(t, side.newRequest(t, "POST", "/entry", strings.Repeat("x", maxBufferedBody))); res.StatusCode != 200 || body != "done r1" {
		t.Errorf("longest body: %s %q", res.Status, body)
	}
	if len(s.requests) != 1 {
		t.Errorf("the upstream had %d requests, want only the usable one", len(s.requests))
	}
}

// Whoever sends without end, or in pieces, is answered with an error or closed, and nothing of it is sent on whole.
func TestFloods(t *testing.T) {
	s := newStub(t, echo)
	side := startSidecar(t, nil, s.address)
	chunk := "10000\r\n" + string(patternedBody(0x10000)) + "\r\n"
	for name, c := range map[string]struct {
		begin, more string
		times       int
	}{
		"a line without end":      {"GET /", strings.Repeat("x", 4096), 256},
		"headers without end":     {"GET /look HTTP/1.1\r\nHost: service.internal\r\n", strings.Repeat("X-A: b\r\n", 512), 256},
		"blank lines without end": {"", strings.Repeat("\r\n", 2048), 256},
		"60 MB announced":         {requestHead("1", "Content-Length: 60000000"), string(patternedBody(60000)), 1000},
		"60 MB in chunks":         {requestHead("1", "Transfer-Encoding: chunked"), chunk, 960},
		"60 MB for nobody":        {"POST /nothing HTTP/1.1\r\nHost: service.internal\r\nContent-Length: 60000000\r\n\r\n", string(patternedBody(60000)), 1000},
		"a chunk without end":     {requestHead("1", "Transfer-Encoding: chunked") + "fffffffffffffff\r\n", string(patternedBody(1 << 16)), 960},
		"a chunk of no size":      {requestHead("1", "Transfer-Encoding: chunked") + "g\r\n", "x", 1},
		"a bad one in pieces":     {"", strings.Replace(requestHead("1", "Content-Length: 0"), "X-Timeout", "X-Time", 1), 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := side.dial(t)
			go func() { // a write fails once it is closed
				if _, err := io.WriteString(conn, c.begin); err != nil {
					return
				}
				for i := 0; c.times == 0 && i < len(c.more); i++ {
					if _, err := io.WriteString(conn, c.more[i:i+1]); err != nil {
						return
					}
				}
				for range c.times {
					if _, err := io.WriteString(conn, c.more); err != nil {
						return
					}
				}
			}()
			answers, err := io.ReadAll(conn)
			if late, ok := err.(net.Error); ok && late.Timeout() {
				t.Fatal("neither an answer nor a close")
			}
			if text := string(answers); text != "" && !strings.HasPrefix(text, "HTTP/1.1 4") && !strings.HasPrefix(text, "HTTP/1.1 5") {
				t.Errorf("answered %.80q", text)
			}
			if len(s.requests) > 0 {
				t.Error("the upstream had a whole request")
			}
		})
	}
}

func TestDuration(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"480m": 480 * time.Millisecond, "250u": 250 * time.Microsecond, "0.5m": 500 * time.Microsecond, "0u": 0,
		"99999999999999999999m": longestWait,
	} {
		if got, ok := parseTimeout(text); !ok || got != want {
			t.Errorf("%q is %v, %v, want %v", text, got, ok, want)
		}
	}
	for _, text := range []string{"", "m", "480", "480s", "1e3m", "0x5m", "1_0m", "Infm", " 5m", "5 m", "1.2.3m", "-1m", "+1m"} {
		if got, ok := parseTimeout(text); ok {
			t.Errorf("%q was taken for %v", text, got)
		}
	}
}

// An unsafe request that may have run has failed; nobody sends it again.
func TestFailed(t *testing.T) {
	s := newStub(t, func(c net.Conn, _ stubRequest) bool {
		_, err := fmt.Fprint(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	side := startSidecar(t, nil, s.address)
	if res, _ := sendRequest(t, side.newRequest(t, "POST", "/entry", "1")); res.StatusCode != http.StatusBadGateway {
		t.Errorf("%s, want 502", res.Status)
	}
	if len(s.requests) != 1 {
		t.Errorf("%d attempts, want 1", len(s.requests))
	}
}

// A refusal says when to come back, in decimal seconds.
func TestRefused(t *testing.T) {
	side := startSidecar(t, nil) // no servers: requests wait for one, as long as that is worth it or the queue has room
	const requests = 50
	type got struct {
		res *http.Response
		err error
	}
	answers := make(chan got, requests)
	for range requests {
		req := side.newRequest(t, "GET", "/look", "", "X-Timeout", "500m")
		go func() {
			res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
			answers <- got{res, err}
		}()
	}
	for range requests {
		a := wait(t, "a refusal", answers)
		if a.err != nil {
			t.Fatal(a.err)
		}
		a.res.Body.Close()
		after := a.res.Header.Get("Retry-After")
		pause, err := strconv.ParseFloat(after, 64)
		if err != nil || pause <= 0 || pause > 1.2 || a.res.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("%s, Retry-After %q, want 503 and at most 1.2 s", a.res.Status, after)
		}
	}
}

func noUpstreams() int { return 0 }

// busyClients has no more than the application's share, as upstreams use theirs.
func busyClients(t *testing.T) *clients {
	cfg := testConfig(t, listAnswer(1, "ready"), nil)
	return newClients(cfg, nil, func() int { return cfg.upstreamConnLimit(1) })
}

// Connections that no request has come on make room, the first of them first, so that the
// application keeps its own however many strangers connect.
func TestStrangersMakeRoom(t *testing.T) {
	l := busyClients(t)
	connect := func() (*clientConn, net.Conn) {
		t.Helper()
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		k := &clientConn{Conn: near}
		if !l.add(k) {
			t.Fatal("no room")
		}
		return k, far
	}
	known, _ := connect()
	if !l.requestReceived(l.connContext(context.Background(), known)) {
		t.Fatal("the known connection is not held")
	}
	var strangers []*clientConn
	var ends []net.Conn
	for range 3 * l.clientShare {
		k, far := connect()
		strangers, ends = append(strangers, k), append(ends, far)
	}
	shed := 2*l.clientShare + 1
	for i, far := range ends[:shed] {
		if _, err := far.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("stranger %d: error %v, want its connection closed", i, err)
		}
	}
	if l.requestReceived(l.connContext(context.Background(), strangers[0])) {
		t.Error("a request is taken on a connection that was closed")
	}
	for _, k := range append(strangers[shed:], known) {
		if !l.requestReceived(l.connContext(context.Background(), k)) {
			t.Error("one of the last, or the known one, is not held")
		}
	}
	if len(l.conns) != l.clientShare || l.shed[2] != shed {
		t.Errorf("%d held, counters %v, want %d held and %d shed", len(l.conns), l.counters(), l.clientShare, shed)
	}
}

// Where each connection has a request open, the next ones are refused and closed, so that upstreams
// stay within reach; past the reserve they are closed at once.
func TestMostConnections(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, func(c net.Conn, r stubRequest) bool {
		if r.Header.Get("X-Request-ID") == "held" {
			<-release
		}
		return echo(c, r)
	})
	side := startSidecar(t, func(file, settings map[string]any) {
		file["limits"].(map[string]any)["sockets"] = 32
		settings["orgs"].([]any)[0].(map[string]any)["quota_per_s"] = 10000.0 // slots for all
	}, s.address)
	var held []*bufio.Reader
	for range (32 - 32/4) * 3 / 8 { // a quarter is the process's own
		c := side.dial(t)
		if _, err := io.WriteString(c, requestHead("held", "Content-Length: 0")); err != nil {
			t.Fatal(err)
		}
		wait(t, "the request", s.requests)
		held = append(held, bufio.NewReader(c))
	}
	for range 3 { // each closes with its refusal and leaves its room to the next
		res, _ := sendRequest(t, side.newRequest(t, "POST", "/entry", "1", "X-Request-ID", "over"))
		if res.StatusCode != http.StatusServiceUnavailable || !res.Close || len(s.requests) > 0 {
			t.Errorf("%s, to be closed %v, %d attempts, want 503, closed and none", res.Status, res.Close, len(s.requests))
		}
	}
	close(release)
	for _, r := range held {
		res, err := http.ReadResponse(r, nil)
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("a held request: %+v, error %v", res, err)
		}
	}
}

// The listener holds no more connections than its most.
func TestConnectionsAreBounded(t *testing.T) {
	l := busyClients(t)
	var all []*clientConn
	for range 2 * (l.clientShare + l.clientShare/6) {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		k := &clientConn{Conn: near}
		if l.add(k) && !l.requestReceived(l.connContext(context.Background(), k)) {
			t.Fatal("a connection that has just come in is not held")
		}
		all = append(all, k)
	}
	if len(l.conns) != (l.clientShare+l.clientShare/6) || l.counters()["barred"] != (l.clientShare+l.clientShare/6) {
		t.Errorf("%d held, counters %v, want %d held and as many barred", len(l.conns), l.counters(), (l.clientShare + l.clientShare/6))
	}
	for _, k := range all {
		l.connStateChanged(k, http.StateClosed)
	}
	if len(l.conns) != 0 {
		t.Errorf("%d held once all are closed", len(l.conns))
	}
}

// Among upstreams that fail in every way, each request has one answer, and none of the unsafe
// class reaches an upstream twice unless the first one said that it never ran.
func TestAmongFailingUpstreams(t *testing.T) {
	var mu sync.Mutex
	ran := make(map[string]int)
	fails := func(c net.Conn, r stubRequest) bool {
		id := r.Header.Get("X-Request-ID")
		n, _ := strconv.Atoi(id)
		if n%5 == 0 && r.conn%2 == 0 {
			_, err := fmt.Fprint(c, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
		mu.Lock()
		ran[id]++
		mu.Unlock()
		switch n % 5 {
		case 1:
			return false
		case 2:
			_, _ = fmt.Fprint(c, "nonsense\r\n\r\n")
			return false
		case 3:
			_, err := fmt.Fprint(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
		return echo(c, r)
	}
	side := startSidecar(t, nil, newStub(t, fails).address, newStub(t, fails).address, newStub(t, fails).address)
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: testTimeout}
	var clients sync.WaitGroup
	for worker := range 8 {
		clients.Go(func() {
			for i := range 25 {
				id := strconv.Itoa(worker*25 + i)
				res, err := client.Do(side.newRequest(t, "POST", "/entry", "1", "X-Request-ID", id))
				if err != nil {
					t.Error(err)
					return
				}
				body, err := io.ReadAll(res.Body)
				res.Body.Close()
				switch {
				case err != nil:
					t.Error(err)
				case res.StatusCode == http.StatusOK && string(body) == "done "+id:
				case res.StatusCode == http.StatusServiceUnavailable, res.StatusCode == http.StatusBadGateway:
				default:
					t.Errorf("request %s: %s %q", id, res.Status, body)
				}
			}
		})
	}
	clients.Wait()
	client.CloseIdleConnections()
	mu.Lock()
	defer mu.Unlock()
	for id, n := range ran {
		if n > 1 {
			t.Errorf("request %s ran %d times", id, n)
		}
	}
	if len(ran) == 0 {
		t.Error("nothing ran")
	}
}

// Over caps.max_open requests are refused without an attempt.
func TestMostOpen(t *testing.T) {
	s := newStub(t, neverAnswer)
	side := startSidecar(t, func(_, settings map[string]any) {
		caps := settings["caps"].(map[string]any)
		caps["max_open"], caps["max_retry_after_ms"] = 1, 800.0
	}, s.address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := side.newRequest(t, "GET", "/look", "").WithContext(ctx)
	go func() { _, _ = http.DefaultClient.Do(first) }()
	wait(t, "the first request", s.requests)
	res, _ := sendRequest(t, side.newRequest(t, "GET", "/look", ""))
	if pause, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); res.StatusCode != http.StatusServiceUnavailable || pause < 0.4 || pause > 0.8 {
		t.Errorf("%s, headers %v, want 503 and a pause of 0.4 to 0.8, the longest that clients heed", res.Status, res.Header)
	}
	if len(s.requests) > 0 {
		t.Error("the second request had an attempt")
	}
}

// A client that closes its connection calls its request off, as far as the upstream.
func TestClientCloses(t *testing.T) {
	s := newStub(t, neverAnswer)
	side := startSidecar(t, func(_, settings map[string]any) { // no time-out may end the attempt before the test does
		look := settings["classes"].([]any)[2].(map[string]any)
		look["aim_ms"], look["hard_limit_ms"] = 10*testTimeout.Milliseconds(), 20*testTimeout.Milliseconds()
	}, s.address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req := side.newRequest(t, "GET", "/look", "", "X-Timeout", "400000m").WithContext(ctx)
	go func() { _, _ = http.DefaultClient.Do(req) }()
	wait(t, "the request", s.requests)
	cancel()
	wait(t, "the attempt's connection to close", s.closed)
}

// After SIGTERM what is held is answered, new connections are served for a while, all of them
// close, and the sidecar ends by itself. http.Server.Shutdown alone would refuse the newcomers.
func TestStop(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, func(c net.Conn, r stubRequest) bool {
		if r.Header.Get("X-Request-ID") == "held" {
			<-release
		}
		return echo(c, r)
	})
	side := startSidecar(t, nil, s.address)
	address := strings.TrimPrefix(side.url, "http://")
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := side.newRequest(t, "GET", "/look", "", "X-Request-ID", "held").Write(conn); err != nil {
		t.Fatal(err)
	}
	wait(t, "the held request", s.requests)
	side.stop()
	for { // until the stop has begun
		if res, _ := sendRequest(t, side.newRequest(t, "GET", "/up", "")); res.StatusCode == http.StatusServiceUnavailable {
			break
		}
	}
	if res, body := sendRequest(t, side.newRequest(t, "GET", "/look", "", "X-Request-ID", "new")); res.StatusCode != 200 || body != "done new" {
		t.Errorf("a new connection: %s %q", res.Status, body)
	}
	close(release)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || res.StatusCode != http.StatusOK || !res.Close {
		t.Fatalf("the held request: %+v, error %v, want 200 and the connection closed", res, err)
	}
	res.Body.Close()
	if err := wait(t, "the end", side.ended); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A request that comes on a connection in the very moment in which it is to be closed, as half of its head has been
// read, is served, and the connection ends with its answer; one that stands idle ends at once.
func TestStopCrossesRequests(t *testing.T) {
	for name, first := range map[string]string{"kept": "GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n", "new": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStub(t, echo)
			side := startSidecar(t, nil, s.address)
			idle, c := side.dial(t), side.dial(t)
			r := bufio.NewReader(c)
			for _, conn := range []net.Conn{idle, c} {
				in, text := bufio.NewReader(conn), first
				if conn == c {
					in = r
				} else if text == "" {
					text = "GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n"
				}
				if _, err := io.WriteString(conn, text); err != nil || text == "" {
					continue
				}
				if res, err := http.ReadResponse(in, nil); err != nil || res.StatusCode != http.StatusOK {
					t.Fatalf("before: %+v, error %v", res, err)
				}
			}
			whole := requestHead("1", "Content-Length: 0")
			if _, err := io.WriteString(c, whole[:20]); err != nil {
				t.Fatal(err)
			}
			waitRead(t, c)
			side.stop()
			if more, err := io.ReadAll(idle); err != nil || len(more) > 0 {
				t.Errorf("the idle one: %q, error %v, want a close", more, err)
			}
			if _, err := io.WriteString(c, whole[20:]); err != nil {
				t.Fatal(err)
			}
			res, err := http.ReadResponse(r, nil)
			if err != nil || res.StatusCode != http.StatusOK || !res.Close {
				t.Fatalf("%+v, error %v, want 200 and a close", res, err)
			}
			res.Body.Close()
			if err := wait(t, "the end", side.ended); err != nil {
				t.Errorf("ended with %v", err)
			}
		})
	}
}

// waitRead waits until the other side has read all that was written on a connection, by what the kernel tells of its end.
func waitRead(t *testing.T, c net.Conn) {
	t.Helper()
	port := func(a net.Addr) string { return fmt.Sprintf("0100007F:%04X", a.(*net.TCPAddr).Port) }
	ends := " " + port(c.RemoteAddr()) + " " + port(c.LocalAddr()) + " 01 "
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			t.Skip(err)
		}
		if _, line, there := strings.Cut(string(table), ends); there && strings.HasPrefix(line, "00000000:00000000 ") {
			return
		}
	}
	t.Fatal("it is not read")
}

// The time of a request that was sent behind another counts from when it came, not from when that one was answered.
func TestTimeOfWhatIsSentBehind(t *testing.T) {
	held := make(chan struct{})
	s := newStub(t, func(c net.Conn, r stubRequest) bool {
		if r.Header.Get("X-Request-ID") == "1" {
			<-held
		}
		return echo(c, r)
	})
	side := startSidecar(t, nil, s.address)
	c := side.dial(t)
	both := requestHead("1", "Content-Length: 0") + requestHead("2", "Content-Length: 0")
	if _, err := io.WriteString(c, strings.ReplaceAll(both, "20000m", "5000m")); err != nil { // less than the aim
		t.Fatal(err)
	}
	wait(t, "the first", s.requests)
	waitRead(t, c)
	const waited = 30 * time.Millisecond
	time.Sleep(waited)
	close(held)
	told, _ := parseTimeout(wait(t, "the second", s.requests).Header.Get("X-Timeout"))
	if most := 5*time.Second - waited; told > most {
		t.Errorf("its attempt tells %v, want %v at most", told, most)
	}
}

// A request that comes late behind a stop's signal has no longer than there is until the end.
func TestTimeLeftAtAStop(t *testing.T) {
	for name, c := range map[string]struct {
		stop          *stopLimits
		arrived, want time.Duration
	}{
		"no stop":  {nil, 10, 5},
		"early":    {&stopLimits{lateFrom: 7, answersDue: 12}, 6, 5},
		"late":     {&stopLimits{lateFrom: 7, answersDue: 12}, 9, 3},
		"too late": {&stopLimits{lateFrom: 7, answersDue: 12}, 13, 0},
	} {
		if got := c.stop.bound(c.arrived, 5); got != c.want {
			t.Errorf("%s: %d left of 5, want %d", name, got, c.want)
		}
	}
}

// Bytes left unread behind a last answer do not reset its connection.
func TestCloseOverUnreadBytes(t *testing.T) {
	s := newStub(t, echo)
	side := startSidecar(t, nil, s.address)
	c := side.dial(t)
	if _, err := io.WriteString(c, requestHead("1", "Connection: close\r\nContent-Length: 0")+strings.Repeat("x", 20<<10)); err != nil {
		t.Fatal(err)
	}
	if answers, err := io.ReadAll(c); err != nil || !strings.HasSuffix(string(answers), "done 1") {
		t.Errorf("%q, error %v, want the answer and a close", answers, err)
	}
}

// Whoever connects and sends nothing, or stops halfway through a head or a body, is answered or
// closed; the connection is not held for longer than a request may take.
func TestSilentPeersAreClosed(t *testing.T) {
	if s := newFront(testConfig(t, listAnswer(1, "ready"), nil), newClock(), nil, nil).server(); s.ReadHeaderTimeout <= 0 || s.ReadHeaderTimeout >= 3*time.Second {
		t.Errorf("a head may take %v to come in; peers are owed an end within 3 s", s.ReadHeaderTimeout)
	}
	for name, text := range map[string]string{
		"nothing":          "",
		"half a line":      "POST /ent",
		"half a head":      "POST /entry HTTP/1.1\r\nHost: service.internal\r\n",
		"half a body":      requestHead("1", "Content-Length: 20") + "half",
		"half a chunk":     requestHead("1", "Transfer-Encoding: chunked") + "14\r\nhalf",
		"bad, half a body": "POST /nothing HTTP/1.1\r\nHost: service.internal\r\nContent-Length: 20\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStub(t, echo)
			side := startSidecar(t, nil, s.address)
			c := side.dial(t)
			if _, err := io.WriteString(c, text); err != nil {
				t.Fatal(err)
			}
			answers, err := io.ReadAll(c)
			if err != nil || len(answers) > 0 && !strings.HasPrefix(string(answers), "HTTP/1.1 40") {
				t.Errorf("answered %q, error %v, want a close, or a 400 or 408 before it", answers, err)
			}
			if len(s.requests) > 0 {
				t.Error("the upstream had a request")
			}
		})
	}
}

// The time to send a request in does not bound the wait for its answer.
func TestAnswerAfterTheTimeToRead(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, func(c net.Conn, r stubRequest) bool {
		<-release
		return echo(c, r)
	})
	side := startSidecar(t, nil, s.address)
	c := side.dial(t)
	if _, err := io.WriteString(c, requestHead("1", "Content-Length: 2")+"hi"); err != nil {
		t.Fatal(err)
	}
	wait(t, "the request", s.requests)
	silentPeer := side.dial(t)
	if _, err := io.ReadAll(silentPeer); err != nil { // the time to read is over: one that came later is closed
		t.Fatal(err)
	}
	close(release)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("%+v, error %v, want 200", res, err)
	}
	res.Body.Close()
}

// A connection that nothing more comes on is closed, and leaves its descriptor to others.
func TestIdleClientsAreClosed(t *testing.T) {
	side := startSidecar(t, nil)
	c := side.dial(t)
	if _, err := io.WriteString(c, "GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	answers, err := io.ReadAll(c)
	if err != nil || !strings.HasPrefix(string(answers), "HTTP/1.1 200 ") {
		t.Errorf("answered %q, error %v, want 200 and a close", answers, err)
	}
}
