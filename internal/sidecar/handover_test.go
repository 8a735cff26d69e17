package sidecar

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// exit releases the process's lock, as the kernel does when a process exits.
func (h *sharedState) exit() { h.lockFile.Close() }

// A second process is recognized by its lock, which ends with it. Files left by a killed process are not
// mistaken for one.
func TestProcessesAreCounted(t *testing.T) {
	dir := t.TempDir()
	counts := func(want int, all ...*sharedState) {
		t.Helper()
		for _, h := range all {
			if got := h.countProcesses(); got != want {
				t.Errorf("%d processes, want %d", got, want)
			}
		}
	}
	old := newSharedState(dir, "n/0")
	counts(1, old)
	next := newSharedState(dir, "n/0")
	other := newSharedState(dir, "n1") // another sidecar
	counts(2, old, next)
	counts(1, other)
	old.exit()
	counts(1, next)
	third := newSharedState(dir, "n/0")
	counts(2, next, third)
	next.exit()
	counts(1, third)
}

// Operator calls made at either process are known to both, and to the successor.
func TestOperatorCallsAreShared(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	same := func(h *sharedState, want map[string]bool) {
		t.Helper()
		got := make(map[string]bool)
		for id, s := range h.currentCalls() {
			got[id] = s.Out
		}
		if !maps.Equal(got, want) {
			t.Errorf("known %v, want %v", got, want)
		}
	}
	save := func(h *sharedState, id string, out bool) {
		t.Helper()
		if err := h.persistCall(id, out, now); err != nil {
			t.Error(err)
		}
	}
	old := newSharedState(dir, "n0")
	save(old, "a", true)
	next := newSharedState(dir, "n0")
	same(next, map[string]bool{"a": true})
	save(next, "b", true)
	save(old, "c", true)
	save(old, "never out", false)
	same(old, map[string]bool{"a": true, "b": true, "c": true})
	same(next, map[string]bool{"a": true, "b": true, "c": true})
	save(next, "a", false)
	old.exit()
	third := newSharedState(dir, "n0")
	same(third, map[string]bool{"a": false, "b": true, "c": true})
	now = now.Add(2 * enableRetention)
	save(third, "b", false) // the enable call on a is older than enableRetention
	same(newSharedState(dir, "n0"), map[string]bool{"b": false, "c": true})
}

// An enable call is kept for enableRetention even if the wall clock is stepped by an hour after it. The step was
// counted as time that has passed.
func TestSteppedClockKeepsEnableCalls(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		h := newSharedState(t.TempDir(), "n0")
		before := time.Now().Add(-step) // the wall clock's time of the call
		if err := errors.Join(h.storeCall("a", operatorCall{true, before.UnixMilli()}), h.storeCall("a", operatorCall{false, before.UnixMilli()})); err != nil {
			t.Fatal(err)
		}
		h.currentCalls()
		now := time.Now()
		h.dropOldEnables(now.Add(enableRetention / 2))
		if _, kept := h.callsInForce()["a"]; !kept {
			t.Errorf("stepped by %v: the enable call is dropped after half of enableRetention", step)
		}
		h.dropOldEnables(now.Add(2 * enableRetention))
		if _, kept := h.callsInForce()["a"]; kept {
			t.Errorf("stepped by %v: the enable call is kept for twice enableRetention", step)
		}
		h.exit()
	}
}

// An invalid legacy file does not prevent a process from starting, and the next operator call replaces it.
func TestDamagedLegacyFile(t *testing.T) {
	for name, text := range map[string]string{
		"empty": "", "torn": `{"version":1,"serv`, "of another version": `{"version":2,"servers":{"a":{"out":true}}}`,
		"of no servers": `{"version":1}`,
	} {
		dir := t.TempDir()
		path := filepath.Join(dir, "sidecar-n0.state")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		h := newSharedState(dir, "n0")
		if got := h.currentCalls(); len(got) != 0 {
			t.Errorf("%s: known %v", name, got)
		}
		if err := h.persistCall("b", true, time.Now()); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if got := newSharedState(dir, "n0").currentCalls(); len(got) != 1 || !got["b"].Out {
			t.Errorf("%s: known to the next %v", name, got)
		}
	}
}

// An operator call that can't be stored is in force in this process, and returns an error.
func TestStateThatCannotBeWritten(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "sidecar-n0.kept"), nil, 0o600); err != nil { // a file at the path of the store's folder
		t.Fatal(err)
	}
	h := newSharedState(dir, "n0")
	var kept errNotDurable
	if err := h.saveCall("a", true, time.Now()); !errors.As(err, &kept) {
		t.Errorf("error %v", err)
	}
	if got := h.currentCalls(); !got["a"].Out {
		t.Errorf("known %v", got)
	}
	if err := os.Remove(filepath.Join(dir, "sidecar-n0.kept")); err != nil {
		t.Fatal(err)
	}
	if err := h.saveCall("a", true, time.Now()); err != nil { // the repeated call is stored
		t.Error(err)
	}
	if got := newSharedState(dir, "n0").currentCalls(); !got["a"].Out {
		t.Errorf("known to the next %v", got)
	}
	if h := newSharedState(filepath.Join(dir, "missing"), "n0"); h.countProcesses() != 1 || h.persistCall("a", true, time.Now()) != nil {
		t.Error("without its folder it does not count as the only process")
	}
}

// A process notices a second one, the operator calls made at it, and its exit.
func TestSecondProcessIsWatched(t *testing.T) {
	dir := t.TempDir()
	h := newSharedState(dir, "n0")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	numbers, out := make(chan int, 100), make(chan bool, 10000)
	go h.watchProcesses(ctx, h.countProcesses(), func(n int) { numbers <- n }, func(all map[string]operatorCall) { out <- all["a"].Out })
	next := newSharedState(dir, "n0")
	if n := wait(t, "the second process", numbers); n != 2 {
		t.Fatalf("%d processes, want 2", n)
	}
	if err := next.persistCall("a", true, time.Now()); err != nil {
		t.Fatal(err)
	}
	for !wait(t, "the call", out) {
	}
	next.exit()
	if n := wait(t, "its exit", numbers); n != 1 {
		t.Fatalf("%d processes, want 1", n)
	}
}

// Accept returns the connections that had arrived when the process stops listening, whether or not Accept was blocked
// then; later connections reach the second process.
func TestStopListeningEmptiesAcceptQueue(t *testing.T) {
	listener, err := listen(context.Background(), "127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	first := newClients(testConfig(t, listAnswer(1, "ready"), nil), listener, noUpstreamConns)
	for range 5 {
		c := dialTCP(t, address)
		if _, err := io.WriteString(c, "x"); err != nil {
			t.Fatal(err)
		}
	}
	second, err := listen(context.Background(), address, true)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if err := first.stopListening(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		c, err := first.Accept()
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		defer c.Close()
		var b [1]byte
		if _, err := io.ReadFull(c, b[:]); err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
	}
	if _, err := first.Accept(); err != net.ErrClosed {
		t.Errorf("Accept after the waiting connections: %v, want %v", err, net.ErrClosed)
	}
	for i := range 10 {
		dialTCP(t, address)
		if c, err := second.Accept(); err != nil {
			t.Fatalf("connection %d at the second: %v", i, err)
		} else {
			c.Close()
		}
	}
}

// With two processes each keeps to its part of the limits, and closes idle connections above it.
func TestLimitsOfTwoProcesses(t *testing.T) {
	cfg := testConfig(t, listAnswer(1, "ready"), func(file, _ map[string]any) { file["console"] = "127.0.0.1:0" })
	for n := 1; n <= 2; n++ {
		room := cfg.clientConnLimit(n)
		if all := n * (max(room+room/6+cfg.upstreamConnLimit(n), cfg.totalConnLimit(n)) + cfg.reservedFiles()); all > cfg.Sockets {
			t.Errorf("%d processes hold up to %d descriptors of %d", n, all, cfg.Sockets)
		}
	}
	u := testTransport(t)
	s := newStub(t, echo)
	for i := range 4 {
		u.idle[s.address] = append(u.idle[s.address], &conn{Conn: dialTCP(t, s.address), idleSince: time.Duration(i)})
		u.open++
	}
	u.setMaxConnections(1)
	if u.open != 1 || len(u.idle[s.address]) != 1 {
		t.Errorf("%d open, %d idle, want 1", u.open, len(u.idle[s.address]))
	}
	l := newClients(cfg, nil, noUpstreamConns)
	for range l.clientShare {
		a, b := net.Pipe()
		defer b.Close()
		l.add(&clientConn{Conn: a})
	}
	l.setLimits(cfg.clientConnLimit(2), cfg.clientConnLimit(2))
	if len(l.conns) != cfg.clientConnLimit(2) {
		t.Errorf("%d client connections, want %d", len(l.conns), cfg.clientConnLimit(2))
	}
}

// dialTCP opens a connection to address that is closed at the end of the test.
func dialTCP(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// A restarted process is ready and serves by the server list that it has, even if discovery fails or the state is
// damaged.
func TestReadyWithoutDiscoveryOrState(t *testing.T) {
	answers := map[string]func(net.Conn, stubRequest) bool{
		"discovery silent": neverAnswer,
		"discovery busy": func(c net.Conn, _ stubRequest) bool {
			_, err := io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		},
		"half an answer": func(c net.Conn, _ stubRequest) bool {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{\"generation\":9,")
			return err == nil
		},
		"discovery down, state damaged": nil,
	}
	for name, answer := range answers {
		for _, how := range []string{"push", "ask"} {
			t.Run(name+", "+how, func(t *testing.T) {
				s, discovery := newStub(t, echo), "127.0.0.1:1"
				if answer != nil {
					discovery = newStub(t, answer).address
				}
				cfg := testConfig(t, listAnswer(1, "ready", s.address), func(file, settings map[string]any) {
					file["discovery"], settings["discovery"] = discovery, how
				})
				cfg.SharedDir = t.TempDir()
				if answer == nil {
					h := newSharedState(cfg.SharedDir, cfg.Name)
					if err := h.persistCall("b", true, time.Now()); err != nil {
						t.Fatal(err)
					}
					h.exit()
					damaged := 0
					if err := filepath.WalkDir(cfg.SharedDir, func(path string, e os.DirEntry, err error) error {
						if err != nil || e.IsDir() || strings.HasSuffix(path, ".lock") {
							return err
						}
						damaged++
						return os.WriteFile(path, []byte("not what was written"), 0o600)
					}); err != nil || damaged == 0 {
						t.Fatalf("%d files damaged, %v", damaged, err)
					}
				}
				side := startSidecarWith(t, cfg)
				if got := side.callConsole(t, "ready\n"); !strings.HasPrefix(got, "200 ") {
					t.Errorf("ready: %q", got)
				}
				if res, _ := sendRequest(t, side.newRequest(t, "GET", "/look", "")); res.StatusCode != http.StatusOK {
					t.Errorf("a request: %d", res.StatusCode)
				}
			})
		}
	}
}

// Once disable-server is answered, neither process of an upgrade sends the server new requests. The other process
// learned of the call only up to 250 ms later.
func TestDisableServerBindsBothProcesses(t *testing.T) {
	out, other := newStub(t, echo), newStub(t, echo)
	shared := t.TempDir()
	begin := func() *testSidecar {
		cfg := testConfig(t, listAnswer(1, "ready", out.address, other.address), nil)
		cfg.SharedDir = shared
		return startSidecarWith(t, cfg)
	}
	first := begin()
	first.waitForStats(t, map[string]string{"members": "2"})
	second := begin()
	second.waitForStats(t, map[string]string{"members": "2"})
	if answer := second.callConsole(t, "disable-server s-0\n"); !strings.HasPrefix(answer, "200") {
		t.Fatalf("disable-server: %q", answer)
	}
	for range 20 {
		if res, _ := sendRequest(t, first.newRequest(t, "GET", "/look", "")); res.StatusCode != http.StatusOK {
			t.Errorf("answered %s", res.Status)
		}
	}
	if n := len(out.requests); n > 0 {
		t.Errorf("%d requests went to the server after disable-server was answered", n)
	}
}
