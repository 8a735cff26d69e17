package lab

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"arrowgw/internal/world"
)

// newStage starts the stand-ins of a run without clients and faults. The test acts as both.
func newStage(t *testing.T, s *Scenario) *run {
	t.Helper()
	rec, err := newProcessRecord()
	if err != nil {
		t.Fatal(err)
	}
	r := &run{scenario: s, clock: newClock(), history: new(History), lateness: newLateness()}
	if r.net, err = claimSubnet(); err != nil {
		t.Fatal(err)
	}
	if r.servers, err = newServers(s, 1, r.clock, r.history, r.net); err != nil {
		t.Fatal(err)
	}
	if r.roster, err = newRoster(s, r.clock, r.history, r.net, r.servers); err != nil {
		t.Fatal(err)
	}
	program, err := copyProgram(realProgram(t), rec.dir)
	if err != nil {
		t.Fatal(err)
	}
	r.processes = newProcesses(s, r.clock, r.history, r.net, r.roster, program, rec.dir, rec.dir, rec, 1)
	t.Cleanup(func() {
		r.processes.close(context.Background())
		r.roster.close()
		r.servers.close()
		r.net.release()
		if err := rec.close(); err != nil {
			t.Error(err)
		}
	})
	return r
}

// rawConn is a client connection on which a test writes HTTP in pieces, to check that the other side follows the protocol.
type rawConn struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

// dialRaw connects to an address, with a deadline for the whole test.
func dialRaw(t *testing.T, address string) *rawConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &rawConn{t, c, bufio.NewReader(c)}
}

// write writes a part of a request.
func (k *rawConn) write(text string) {
	k.t.Helper()
	if _, err := io.WriteString(k, text); err != nil {
		k.t.Fatal(err)
	}
}

// readAnswer reads an answer, and returns its status and body.
func (k *rawConn) readAnswer() (int, string) {
	k.t.Helper()
	res, err := http.ReadResponse(k.r, nil)
	if err != nil {
		k.t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		k.t.Fatal(err)
	}
	return res.StatusCode, string(body)
}

// waitForClose waits until the other side closes the connection, and reports whether it did.
func (k *rawConn) waitForClose() bool {
	_, err := k.r.ReadByte()
	return err != nil && !strings.Contains(err.Error(), "timeout")
}

// The same checks of HTTP/1.1 run against a stand-in for a server and against the real sidecar.
func TestServerAndSidecarProtocol(t *testing.T) {
	t.Parallel()
	s := readScenario(t, "[fleet]\nsidecars=1\nservers=1")
	s.TimeLimits = 9 * time.Second // the time-out of the requests; with the usual aims a busy machine may abandon attempts
	r := newStage(t, s)
	if _, err := r.processes.start(0); err != nil {
		t.Fatal(err)
	}
	held := func() int {
		r.servers.mu.Lock()
		defer r.servers.mu.Unlock()
		r.servers.all[0].advance()
		return r.servers.all[0].model.Outstanding()
	}
	waitUntil := func(what string, holds func() bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("timed out waiting until %s", what)
			}
		}
	}
	for who, address := range map[string]string{"server": r.servers.address(0, 0), "sidecar": r.net.address(0, clientPort)} {
		request := func(work string, more ...string) (head, body, id string) {
			id = r.history.beginTry(0, 0, 0, r.clock.now()).ID
			head = fmt.Sprintf("POST /publish?work=%s HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: publish\r\n"+
				"X-Tenant-Id: souris-bend\r\nX-Timeout: 9000m\r\nContent-Length: 4\r\n%s\r\n", work, id, strings.Join(more, ""))
			return head, "body", id
		}
		reached := func(id string) int {
			r.history.mu.Lock()
			defer r.history.mu.Unlock()
			return len(r.history.findTry(id).Reached)
		}
		served := func(k *rawConn, id string) {
			t.Helper()
			if status, body := k.readAnswer(); status != http.StatusOK || !strings.HasPrefix(body, id) || reached(id) != 1 {
				t.Errorf("%s: answered %d %q, and the request reached servers %d times", who, status, body, reached(id))
			}
		}
		k := dialRaw(t, address)
		for range 3 { // several requests on one connection
			head, body, id := request("1ms")
			k.write(head + body)
			served(k, id)
		}
		head, body, id := request("1ms")
		for _, piece := range []string{head[:9], head[9:60], head[60:], body[:1], body[1:]} { // split at arbitrary places
			if reached(id) != 0 {
				t.Errorf("%s: a request was executed before its last byte arrived", who)
			}
			k.write(piece)
		}
		served(k, id)
		head, body, id = request("1ms", "Connection: close\r\n")
		k.write(head + body)
		if served(k, id); !k.waitForClose() {
			t.Errorf("%s: the connection stays open after Connection: close", who)
		}
		k = dialRaw(t, address)
		head, body, _ = request("1ms")
		k.write(strings.Replace(head, "X-Request-ID", "X-Other", 1) + body)
		if status, _ := k.readAnswer(); status < 400 || status > 499 {
			t.Errorf("%s: a request without an id was answered %d", who, status)
		}
		k = dialRaw(t, address)
		k.write("this is no request\r\n\r\n")
		if status, _ := k.readAnswer(); status != http.StatusBadRequest {
			t.Errorf("%s: a malformed request was answered %d", who, status)
		}
		k = dialRaw(t, address)
		head, _, id = request("1ms")
		k.write(head)
		k.Close() // the body never arrives
		k = dialRaw(t, address)
		head, body, id2 := request("1ms")
		k.write(head + body)
		if served(k, id2); reached(id) != 0 {
			t.Errorf("%s: an incomplete request was executed", who)
		}
		k = dialRaw(t, address) // a client that closes cancels its request, which is then not executed
		r.servers.changeModel(0, func(m *world.Server) { m.SetSlowdown(1000) })
		var waiting []*rawConn
		for range s.Server.Slots + 1 {
			w := dialRaw(t, r.servers.address(0, 0))
			head, body, _ := request("5ms")
			w.write(head + body)
			waiting = append(waiting, w)
		}
		waitUntil("the server is full", func() bool { return held() == s.Server.Slots+1 })
		head, body, id = request("5ms")
		k.write(head + body)
		waitUntil("the request waits at the server", func() bool { return held() == s.Server.Slots+2 && reached(id) == 1 })
		k.Close()
		waitUntil(who+": the request is cancelled", func() bool { return held() == s.Server.Slots+1 })
		r.servers.changeModel(0, func(m *world.Server) { m.SetSlowdown(0.001) })
		for _, w := range waiting {
			if status, _ := w.readAnswer(); status != http.StatusOK {
				t.Errorf("%s: a request that had waited was answered %d", who, status)
			}
		}
		r.servers.changeModel(0, func(m *world.Server) { m.SetSlowdown(1) })
	}
	r.servers.crash(0)
	if c, err := net.DialTimeout("tcp", r.servers.address(0, 0), time.Second); err == nil {
		c.Close()
		t.Error("a server whose process is dead accepts connections")
	}
	r.processes.kill(0)
	if c, err := net.DialTimeout("tcp", r.net.address(0, clientPort), time.Second); err == nil {
		c.Close()
		t.Error("a sidecar whose process is dead accepts connections")
	}
}

// A machine that has vanished answers nothing: open connections stay open, new ones are not established, and once the machine is
// back, all old connections are reset.
func TestSilentServer(t *testing.T) {
	t.Parallel()
	r := newStage(t, readScenario(t, "[fleet]\nsidecars=1\nservers=1"))
	k := dialRaw(t, r.servers.address(0, 0))
	k.write("GET /alive HTTP/1.1\r\nHost: x\r\n\r\n")
	if status, _ := k.readAnswer(); status != http.StatusOK {
		t.Fatalf("probe answered %d", status)
	}
	r.servers.silence(0, true)
	k.write("GET /alive HTTP/1.1\r\nHost: x\r\n\r\n")
	up := 0
	for range 4 { // the kernel may establish one in its accept queue, which nobody answers
		if c, err := net.DialTimeout("tcp", r.servers.address(0, 0), 20*time.Millisecond); err == nil {
			defer c.Close()
			up++
		}
	}
	if up > 1 {
		t.Errorf("%d of 4 connections were established", up)
	}
	_ = k.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := k.r.ReadByte(); err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Errorf("a silent server answered: error %v", err)
	}
	r.servers.silence(0, false)
	_ = k.SetReadDeadline(time.Now().Add(20 * time.Second))
	if !k.waitForClose() {
		t.Error("an old connection stays open")
	}
	k = dialRaw(t, r.servers.address(0, 0))
	k.write("GET /alive HTTP/1.1\r\nHost: x\r\n\r\n")
	if status, _ := k.readAnswer(); status != http.StatusOK {
		t.Errorf("probe answered %d", status)
	}
}

// The stand-in for discovery follows the protocol: it sends the whole list, holds a watch until news or its time-out, and fails calls.
func TestDiscoveryProtocol(t *testing.T) {
	t.Parallel()
	r := newStage(t, readScenario(t, "[fleet]\nsidecars=2\nservers=3"))
	get := func(sidecar int, query string) (int, listingJSON) {
		t.Helper()
		res, err := http.Get("http://" + r.roster.address(sidecar) + "/discovery/hosts" + query)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		var l listingJSON
		if err := json.NewDecoder(res.Body).Decode(&l); err != nil && res.StatusCode == http.StatusOK {
			t.Fatal(err)
		}
		return res.StatusCode, l
	}
	want := func(sidecar int, query string, generation int64, reset bool, entries int, first string) {
		t.Helper()
		status, l := get(sidecar, query)
		if status != http.StatusOK || l.Generation != generation || l.Reset != reset || len(l.Instances) != entries {
			t.Errorf("%q: %d %+v", query, status, l)
		}
		if entries > 0 && l.Instances[0].Lifecycle != first {
			t.Errorf("%q: %+v, want %s first", query, l.Instances[0], first)
		}
	}
	want(0, "", 1, true, 3, "ready")
	_, a := get(0, "")
	_, b := get(1, "")
	if a.Instances[0].InstanceID != b.Instances[0].InstanceID || a.Instances[0].HostPort == b.Instances[0].HostPort {
		t.Errorf("two sidecars see %+v and %+v, want the same id at different addresses", a.Instances[0], b.Instances[0])
	}
	want(0, "?index=1&wait=1", 1, false, 0, "")
	done := make(chan listingJSON)
	go func() { _, l := get(0, "?index=1&wait=20000"); done <- l }()
	r.roster.scheduleUpdate(0, world.Entry{Server: 1, Lifecycle: world.Draining})
	if l := <-done; l.Generation != 2 || l.Reset || len(l.Instances) != 1 || l.Instances[0].Lifecycle != "draining" {
		t.Errorf("a watch returned %+v", l)
	}
	want(1, "?index=1&wait=20000", 2, false, 1, "draining")
	want(1, "?index=77&wait=20000", 2, true, 3, "ready") // a version that never existed
	if status, _ := get(0, "?index=x&wait=1"); status != http.StatusBadRequest {
		t.Errorf("a malformed index is answered %d", status)
	}
	if updates := r.history.serverUpdates; len(updates) != 2 || !updates[0].Out || updates[0].Server != 1 {
		t.Errorf("updates: %+v", updates)
	}
	r.roster.setOutage(true)
	if status, _ := get(0, ""); status != http.StatusServiceUnavailable {
		t.Errorf("during an outage it answers %d", status)
	}
	r.roster.setOutage(false)
	want(0, "", 2, true, 3, "ready")
	old := r.roster.address(0)
	if err := r.roster.move(); err != nil {
		t.Fatal(err)
	}
	want(0, "", 2, true, 3, "ready")
	if _, err := net.Dial("tcp", old); err == nil {
		t.Error("the old address accepts new connections")
	}
}
