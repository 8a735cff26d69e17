package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// dialConsole opens a connection to the console.
func (s *testSidecar) dialConsole(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", s.consoleAddress, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// callConsole sends a line to the console and returns its answer.
func (s *testSidecar) callConsole(t *testing.T, line string) string {
	t.Helper()
	c := s.dialConsole(t)
	if _, err := io.WriteString(c, line); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("%q: %v", line, err)
	}
	return string(answer)
}

// waitForStats calls show-stat until the figures are as wanted; their names are given without "app.".
func (s *testSidecar) waitForStats(t *testing.T, wanted map[string]string) {
	t.Helper()
	var off string
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		off = ""
		got := make(map[string]string)
		for line := range strings.Lines(s.callConsole(t, "show-stat\n")) {
			name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), "=")
			got[name] = value
		}
		for name, value := range wanted {
			if got["app."+name] != value {
				off += fmt.Sprintf(" %s=%q, want %s;", name, got["app."+name], value)
			}
		}
		if off == "" {
			return
		}
	}
	t.Fatal("figures:", off)
}

// Each call, valid or not, is answered with one line that begins with its status, and show-stat ends with EOF.
func TestConsoleCalls(t *testing.T) {
	s := newStub(t, echo)
	side := startSidecar(t, nil, s.address)
	for line, want := range map[string]string{
		"ready\n":                              "200 ",
		"ready\r\n":                            "200 ",
		"disable-server s-0\n":                 "200 ",
		"enable-server s-0\n":                  "200 ",
		"disable-server nobody\n":              "400 ",
		"enable-server nobody\n":               "400 ",
		"disable-server\n":                     "400 ",
		"disable-server s-0 s-1\n":             "400 ",
		"\n":                                   "400 ",
		"GET / HTTP/1.1\r\nHost: here\r\n\r\n": "400 ",
		"\x00\xff\n":                           "400 ",
		strings.Repeat("x", 60<<10) + "\n":     "400 ",
	} {
		if got := side.callConsole(t, line); !strings.HasPrefix(got, want) || strings.Count(got, "\n") != 1 {
			t.Errorf("%.40q: %q, want one line that begins with %s", line, got, want)
		}
	}
	half := side.dialConsole(t)
	_, _ = io.WriteString(half, "disable-server s-")
	_ = half.(*net.TCPConn).CloseWrite()
	if got, _ := io.ReadAll(half); !strings.HasPrefix(string(got), "400 ") {
		t.Errorf("half a line: %q", got)
	}
	const first = "app.downstream_requests.entry.completed=0\napp.downstream_requests.entry.rejected=0\n" +
		"app.downstream_requests.entry.failed=0\napp.downstream_requests.look.completed=0\n"
	if got := side.callConsole(t, "show-stat\n"); !strings.HasPrefix(got, first) || !strings.HasSuffix(got, "\nEOF\n") {
		t.Errorf("figures %q", got)
	}
}

// Callers that send nothing do not delay the answers to others, and have at most maxConsoleConns connections.
func TestSilentCallersMakeRoom(t *testing.T) {
	side := startSidecar(t, nil, newStub(t, echo).address)
	var silent []net.Conn
	for range 3 * maxConsoleConns {
		c := side.dialConsole(t)
		_, _ = io.WriteString(c, "read")
		silent = append(silent, c)
	}
	if got := side.callConsole(t, "ready\n"); !strings.HasPrefix(got, "200 ") {
		t.Fatalf("ready: %q", got)
	}
	for _, c := range silent[:maxConsoleConns] {
		if got, _ := io.ReadAll(c); len(got) > 0 {
			t.Fatalf("the caller that waits longest: %q, want a close before its timeout", got)
		}
	}
}

// Each ending of a request is counted once, and no request stays pending.
func TestStatsByOutcome(t *testing.T) {
	held := make(chan struct{})
	s := newStub(t, func(c net.Conn, r stubRequest) bool {
		switch r.body {
		case "break":
			return false
		case "err":
			_, err := io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		case "hold":
			<-held
			return false
		}
		return echo(c, r)
	})
	defer close(held)
	side := startSidecar(t, nil, s.address)
	side.waitForStats(t, map[string]string{"members": "1", "members_unavailable": "0", "pending": "0", "upstream_requests": "0"})
	for _, c := range []struct {
		body, timeout string
		status        int
	}{{"err", "20000m", http.StatusBadGateway}, {"break", "20000m", http.StatusBadGateway}, {"hold", "150m", http.StatusGatewayTimeout}} {
		sendRequest(t, side.newRequest(t, "POST", "/entry", "fine")) // keeps the server from being ejected
		if res, _ := sendRequest(t, side.newRequest(t, "POST", "/entry", c.body, "X-Timeout", c.timeout)); res.StatusCode != c.status {
			t.Fatalf("%s: %s", c.body, res.Status)
		}
	}
	if res, _ := sendRequest(t, side.newRequest(t, "GET", "/look", "", "X-Timeout", "0m")); res.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("out of time: %s", res.Status)
	}
	const entry, look = "downstream_requests.entry.", "downstream_requests.look."
	side.waitForStats(t, map[string]string{
		entry + "completed": "3", entry + "rejected": "0", entry + "failed": "3",
		look + "completed": "0", look + "rejected": "1", look + "failed": "0",
		"upstream_requests": "6", "pending": "0",
	})
	ctx, leave := context.WithCancel(context.Background())
	go func() { _, _ = http.DefaultClient.Do(side.newRequest(t, "POST", "/entry", "hold").WithContext(ctx)) }()
	side.waitForStats(t, map[string]string{"pending": "1", "upstream_requests": "7"})
	leave()
	side.waitForStats(t, map[string]string{"pending": "0", entry + "completed": "3"})
}

// A server counts as unavailable while it is administratively disabled or ejected by the module, and once if both hold.
func TestUnavailableServersInStats(t *testing.T) {
	fine, bad := newStub(t, echo), newStub(t, func(c net.Conn, _ stubRequest) bool {
		_, err := io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	// With this many balancers a server stays ejected for a long time.
	side := startSidecar(t, func(_, settings map[string]any) { settings["balancers"] = 400.0 }, fine.address, bad.address)
	unavailable := func(n string) {
		t.Helper()
		side.waitForStats(t, map[string]string{"members": "2", "members_unavailable": n})
	}
	unavailable("0")
	side.callConsole(t, "disable-server s-0\n")
	unavailable("1")
	for range 4 { // only the failing server is left
		sendRequest(t, side.newRequest(t, "POST", "/entry", "1"))
	}
	unavailable("2")
	side.callConsole(t, "disable-server s-1\n")
	unavailable("2")
	side.callConsole(t, "enable-server s-0\n")
	unavailable("1")
	side.callConsole(t, "enable-server s-1\n")
	unavailable("0")
}

// The console answers that the sidecar is not ready once the process is stopping, and that it is ready before.
func TestNotReadyDuringStop(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, func(c net.Conn, r stubRequest) bool {
		<-release
		return echo(c, r)
	})
	side := startSidecar(t, nil, s.address)
	c := side.dial(t)
	if _, err := io.WriteString(c, requestHead("1", "Content-Length: 0")); err != nil {
		t.Fatal(err)
	}
	wait(t, "the request", s.requests)
	if got := side.callConsole(t, "ready\n"); !strings.HasPrefix(got, "200 ") {
		t.Fatalf("ready: %q", got)
	}
	side.stop() // the process exits once the request is answered
	for end := time.Now().Add(testTimeout); !strings.HasPrefix(side.callConsole(t, "ready\n"), "400 "); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("ready while stopping")
		}
	}
	close(release)
	if err := wait(t, "the exit", side.ended); err != nil {
		t.Error(err)
	}
}
