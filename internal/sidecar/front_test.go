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

// A request reaches its server unchanged except for hop-by-hop headers, and so does the answer to the client.
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
	req := side.newRequest(t, "POST", "/reading/hive%2F7?scale=a%20b&x", "41.5 kg", "X-Request-ID", "r1", "Idempotency-Key", "k1", "Connection", "X-Hop", "X-Hop", "1")
	res, body := sendRequest(t, req)
	if res.StatusCode != http.StatusOK || body != "41.5 kg" || res.Header.Get("Content-Type") != "text/hive" {
		t.Fatalf("%s, body %q, headers %v", res.Status, body, res.Header)
	}
	got := wait(t, "the request", s.requests)
	if got.Method != "POST" || got.uri != "/reading/hive%2F7?scale=a%20b&x" || got.body != "41.5 kg" ||
		got.Header.Get("X-Request-ID") != "r1" || got.Header.Get("Idempotency-Key") != "k1" {
		t.Errorf("the upstream received %s %s %q, headers %v", got.Method, got.uri, got.body, got.Header)
	}
	if got.Header.Get("X-Hop") != "" || res.Header.Get("X-Server-Load") != "" {
		t.Errorf("hop-by-hop headers were forwarded: %v, %v", got.Header, res.Header)
	}
}

// Requests that the rules bar are refused with Retry-After, and no attempt is made.
func TestRulesBarServing(t *testing.T) {
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
		t.Error("the server received a barred request")
	}
}

// Malformed requests are answered with an error, without an attempt.
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
		"time is no number": {400, side.newRequest(t, "GET", "/look", "", "X-Timeout", "NaNm")},
		"time below 0":      {400, side.newRequest(t, "GET", "/look", "", "X-Timeout", "-5m")},
		"no time left":      {503, side.newRequest(t, "GET", "/look", "", "X-Timeout", "0m")},
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
	if answers, _ := io.ReadAll(many); strings.Count(string(answers), "HTTP/1.1 ") != 1 { // a reset after it counts as a close
		t.Errorf("three without an id: %q, want one answer and a close", answers)
	}
	if res, body := sendRequest(t, side.newRequest(t, "POST", "/entry", strings.Repeat("x", maxBufferedBody), "X-Request-ID", "longest")); res.StatusCode != 200 || body != "done longest" {
		t.Errorf("longest body: %s %q", res.Status, body)
	}
	if len(s.requests) != 1 {
		t.Errorf("the upstream received %d requests, want only the usable one", len(s.requests))
	}
}

// A client that sends without end or in small pieces is answered with an error or its connection is closed, and no
// request reaches the upstream.
func TestFloods(t *testing.T) {
	s := newStub(t, echo)
	side := startSidecar(t, nil, s.address)
	chunk := "10000\r\n" + string(patternedBody(0x10000)) + "\r\n"
	for name, c := range map[string]struct {
		begin, more string
		times       int
	}{
		"a line without end":               {"GET /", strings.Repeat("x", 4096), 256},
		"headers without end":              {"GET /look HTTP/1.1\r\nHost: service.internal\r\n", strings.Repeat("X-A: b\r\n", 512), 256},
		"blank lines without end":          {"", strings.Repeat("\r\n", 2048), 256},
		"60 MB announced":                  {requestHead("1", "Content-Length: 60000000"), string(patternedBody(60000)), 1000},
		"60 MB in chunks":                  {requestHead("1", "Transfer-Encoding: chunked"), chunk, 960},
		"60 MB for an unknown class":       {"POST /nothing HTTP/1.1\r\nHost: service.internal\r\nContent-Length: 60000000\r\n\r\n", string(patternedBody(60000)), 1000},
		"a chunk without end":              {requestHead("1", "Transfer-Encoding: chunked") + "fffffffffffffff\r\n", string(patternedBody(1 << 16)), 960},
		"a chunk without a size":           {requestHead("1", "Transfer-Encoding: chunked") + "g\r\n", "x", 1},
		"a malformed request byte by byte": {"", strings.Replace(requestHead("1", "Content-Length: 0"), "X-Timeout", "X-Time", 1), 0},
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
				t.Error("the upstream received a whole request")
			}
		})
	}
}

// Timeouts are decimal numbers with a unit; anything else is rejected.
func TestParseTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"480m": 480 * time.Millisecond, "250u": 250 * time.Microsecond, "0.5m": 500 * time.Microsecond, "0u": 0,
		"99999999999999999999m": maxTimeout,
	} {
		if got, ok := parseTimeout(text); !ok || got != want {
			t.Errorf("%q is %v, %v, want %v", text, got, ok, want)
		}
	}
	for _, text := range []string{"", "m", "480", "480s", "1e3m", "0x5m", "1_0m", "Infm", " 5m", "5 m", "1.2.3m", "-1m", "+1m"} {
		if got, ok := parseTimeout(text); ok {
			t.Errorf("%q was parsed as %v", text, got)
		}
	}
}

// An unsafe request that may have run fails and is not sent again.
func TestUnsafeRequestIsNotRetried(t *testing.T) {
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

// A refusal has Retry-After in decimal seconds.
func TestRetryAfterOfRefusals(t *testing.T) {
	side := startSidecar(t, nil) // no servers: requests are queued as long as that is useful and the queue has room
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

// noUpstreamConns is the number of upstream connections of clients that have none.
func noUpstreamConns() int { return 0 }

// newBusyClients returns clients that can't exceed their share of connections, as upstreams use all of theirs.
func newBusyClients(t *testing.T) *clients {
	cfg := testConfig(t, listAnswer(1, "ready"), nil)
	return newClients(cfg, nil, func() int { return cfg.upstreamConnLimit(1) })
}

// Connections on which no request has arrived are closed to make room, oldest first, so that the application keeps its
// connections even if very many other clients connect.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	l := newBusyClients(t)
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
	used, _ := connect()
	if !l.requestReceived(l.connContext(context.Background(), used)) {
		t.Fatal("the connection with a request is closed")
	}
	var silent []*clientConn
	var ends []net.Conn
	for range 3 * l.clientShare {
		k, far := connect()
		silent, ends = append(silent, k), append(ends, far)
	}
	shed := 2*l.clientShare + 1
	for i, far := range ends[:shed] {
		if _, err := far.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("silent connection %d: error %v, want it closed", i, err)
		}
	}
	if l.requestReceived(l.connContext(context.Background(), silent[0])) {
		t.Error("a request was accepted on a closed connection")
	}
	for _, k := range append(silent[shed:], used) {
		if !l.requestReceived(l.connContext(context.Background(), k)) {
			t.Error("one of the last connections, or the one with a request, is closed")
		}
	}
	if len(l.conns) != l.clientShare || l.shedCounts[2] != shed {
		t.Errorf("%d connections, counters %v, want %d connections and %d shed", len(l.conns), l.counters(), l.clientShare, shed)
	}
}

// If every connection has an open request, further ones are refused and closed, so that descriptors remain for upstream
// connections; above the reserve they are closed at once.
func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, func(c net.Conn, r stubRequest) bool {
		if strings.HasPrefix(r.Header.Get("X-Request-ID"), "held") {
			<-release
		}
		return echo(c, r)
	})
	side := startSidecar(t, func(file, settings map[string]any) {
		file["limits"].(map[string]any)["sockets"] = 32
		settings["orgs"].([]any)[0].(map[string]any)["quota_per_s"] = 10000.0 // slots for all
	}, s.address)
	var held []*bufio.Reader
	for n := range (32 - 32/4) * 3 / 8 { // a quarter is reserved for the process
		c := side.dial(t)
		if _, err := io.WriteString(c, requestHead(fmt.Sprint("held", n), "Content-Length: 0")); err != nil {
			t.Fatal(err)
		}
		wait(t, "the request", s.requests)
		held = append(held, bufio.NewReader(c))
	}
	for range 3 { // each closes with its refusal, which makes room for the next
		res, _ := sendRequest(t, side.newRequest(t, "POST", "/entry", "1", "X-Request-ID", "over"))
		if res.StatusCode != http.StatusServiceUnavailable || !res.Close || len(s.requests) > 0 {
			t.Errorf("%s, to be closed %v, %d attempts, want 503, closed and none", res.Status, res.Close, len(s.requests))
		}
	}
	close(release)
	for _, r := range held {
		res, err := http.ReadResponse(r, nil)
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("an open request: %+v, error %v", res, err)
		}
	}
}

// The listener never has more connections than its limit.
func TestConnectionsAreBounded(t *testing.T) {
	l := newBusyClients(t)
	var all []*clientConn
	for range 2 * (l.clientShare + l.clientShare/6) {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		k := &clientConn{Conn: near}
		if l.add(k) && !l.requestReceived(l.connContext(context.Background(), k)) {
			t.Fatal("a new connection is closed")
		}
		all = append(all, k)
	}
	if len(l.conns) != (l.clientShare+l.clientShare/6) || l.counters()["barred"] != (l.clientShare+l.clientShare/6) {
		t.Errorf("%d connections, counters %v, want %d connections and as many rejected", len(l.conns), l.counters(), (l.clientShare + l.clientShare/6))
	}
	for _, k := range all {
		l.connStateChanged(k, http.StateClosed)
	}
	if len(l.conns) != 0 {
		t.Errorf("%d connections once all are closed", len(l.conns))
	}
}

// With upstreams that fail in various ways, each request has one answer, and an unsafe request runs at most once: it is
// sent again only if the first server answered that it had not processed it.
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

// Open requests above caps.max_open are refused without an attempt.
func TestOpenRequestLimit(t *testing.T) {
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
		t.Errorf("%s, headers %v, want 503 and a pause of 0.4 to 0.8, the longest that clients honour", res.Status, res.Header)
	}
	if len(s.requests) > 0 {
		t.Error("an attempt was made for the second request")
	}
}

// If a client closes its connection, its request is cancelled and the attempt's upstream connection closed.
func TestClientCloses(t *testing.T) {
	s := newStub(t, neverAnswer)
	side := startSidecar(t, func(_, settings map[string]any) { // so that no timeout ends the attempt before the test does
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

// After a stop begins, open requests are answered, new connections are served for a while, all connections close, and
// the sidecar exits by itself. http.Server.Shutdown alone would refuse the new connections.
func TestGracefulStop(t *testing.T) {
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
	wait(t, "the open request", s.requests)
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
		t.Fatalf("the open request: %+v, error %v, want 200 and the connection closed", res, err)
	}
	res.Body.Close()
	if err := wait(t, "the exit", side.ended); err != nil {
		t.Errorf("serve returned %v", err)
	}
}

// A request of which part of the head has been read when a stop begins is served, and its connection closes with the
// answer; an idle connection closes at once.
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
			waitUntilRead(t, c)
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
			if err := wait(t, "the exit", side.ended); err != nil {
				t.Errorf("serve returned %v", err)
			}
		})
	}
}

// waitUntilRead waits until the other side, which is on this machine, has read everything written to c. It reads the
// queue lengths from /proc/net/tcp.
func waitUntilRead(t *testing.T, c net.Conn) {
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
	t.Fatal("the data was not read")
}

// The timeout of a pipelined request counts from its arrival, not from the answer to the request before it.
func TestTimeoutOfPipelinedRequest(t *testing.T) {
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
	if _, err := io.WriteString(c, strings.ReplaceAll(both, "20000m", "5000m")); err != nil { // shorter than the aim
		t.Fatal(err)
	}
	wait(t, "the first", s.requests)
	waitUntilRead(t, c)
	const waited = 30 * time.Millisecond
	time.Sleep(waited)
	close(held)
	timeout, _ := parseTimeout(wait(t, "the second", s.requests).Header.Get("X-Timeout"))
	if limit := 5*time.Second - waited; timeout > limit {
		t.Errorf("the timeout of its attempt is %v, want at most %v", timeout, limit)
	}
}

// The time of a request that arrives late in a stop is limited to the time until answers are due.
func TestTimeoutDuringStop(t *testing.T) {
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

// Unread data after the last request does not cause a reset that destroys the answer.
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

// A client that sends nothing, or only part of a head or a body, is answered with an error or its connection is closed
// within the time that a request may take.
func TestSilentPeersAreClosed(t *testing.T) {
	if s := newFront(testConfig(t, listAnswer(1, "ready"), nil), newClock(), nil, nil).server(); s.ReadHeaderTimeout <= 0 || s.ReadHeaderTimeout >= 3*time.Second {
		t.Errorf("the timeout of a request head is %v; inactive connections must be closed within 3 s", s.ReadHeaderTimeout)
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
				t.Error("the upstream received a request")
			}
		})
	}
}

// The read timeout of a request does not limit the wait for its answer.
func TestReadTimeoutDoesNotBoundAnswer(t *testing.T) {
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
	if _, err := io.ReadAll(silentPeer); err != nil { // the read timeout has passed: a connection opened later is closed
		t.Fatal(err)
	}
	close(release)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("%+v, error %v, want 200", res, err)
	}
	res.Body.Close()
}

// An idle connection is closed, which frees its descriptor.
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
