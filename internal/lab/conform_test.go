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

// stage is a run with no clients and no faults of its own: tests play both.
func stage(t *testing.T, s *Scenario) *run {
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

// talk is a connection to somebody who is to hold to the protocol.
type talk struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, address string) *talk {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &talk{t, c, bufio.NewReader(c)}
}

// say writes some of a request.
func (k *talk) say(text string) {
	k.t.Helper()
	if _, err := io.WriteString(k, text); err != nil {
		k.t.Fatal(err)
	}
}

// hear reads an answer.
func (k *talk) hear() (int, string) {
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

// ended waits until the other side closes.
func (k *talk) ended() bool {
	_, err := k.r.ReadByte()
	return err != nil && !strings.Contains(err.Error(), "timeout")
}

// The same checks run against a stand-in for a queue server and against the real sidecar: both serve the same HTTP.
func TestServerAndSidecarHoldToTheProtocol(t *testing.T) {
	t.Parallel()
	s := readScenario(t, "[fleet]\nsidecars=1\nservers=1")
	s.TimeLimits = 9 * time.Second // as its requests have; an attempt is given up at its aim, which a busy machine may pass
	r := stage(t, s)
	if _, err := r.processes.start(0); err != nil {
		t.Fatal(err)
	}
	held := func() int {
		r.servers.mu.Lock()
		defer r.servers.mu.Unlock()
		r.servers.all[0].advance()
		return r.servers.all[0].model.Outstanding()
	}
	until := func(what string, holds func() bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("waited in vain: %s", what)
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
		served := func(k *talk, id string) {
			t.Helper()
			if status, body := k.hear(); status != http.StatusOK || !strings.HasPrefix(body, id) || reached(id) != 1 {
				t.Errorf("%s: answered %d %q, and %d servers had it", who, status, body, reached(id))
			}
		}
		k := dial(t, address)
		for range 3 { // one connection carries one request after another
			head, body, id := request("1ms")
			k.say(head + body)
			served(k, id)
		}
		head, body, id := request("1ms")
		for _, piece := range []string{head[:9], head[9:60], head[60:], body[:1], body[1:]} { // in pieces, by any borders
			if reached(id) != 0 {
				t.Errorf("%s: a request began before its last byte", who)
			}
			k.say(piece)
		}
		served(k, id)
		head, body, id = request("1ms", "Connection: close\r\n")
		k.say(head + body)
		if served(k, id); !k.ended() {
			t.Errorf("%s: the connection goes on after Connection: close", who)
		}
		k = dial(t, address)
		head, body, _ = request("1ms")
		k.say(strings.Replace(head, "X-Request-ID", "X-Other", 1) + body)
		if status, _ := k.hear(); status < 400 || status > 499 {
			t.Errorf("%s: a request with no id was answered %d", who, status)
		}
		k = dial(t, address)
		k.say("this is no request\r\n\r\n")
		if status, _ := k.hear(); status != http.StatusBadRequest {
			t.Errorf("%s: what is no request was answered %d", who, status)
		}
		k = dial(t, address)
		head, _, id = request("1ms")
		k.say(head)
		k.Close() // its last byte never comes
		k = dial(t, address)
		head, body, id2 := request("1ms")
		k.say(head + body)
		if served(k, id2); reached(id) != 0 {
			t.Errorf("%s: a request with no end began", who)
		}
		k = dial(t, address) // whoever closes gives up: what waits does not run
		r.servers.changeModel(0, func(m *world.Server) { m.SetSlowdown(1000) })
		var waiting []*talk
		for range s.Server.Slots + 1 {
			w := dial(t, r.servers.address(0, 0))
			head, body, _ := request("5ms")
			w.say(head + body)
			waiting = append(waiting, w)
		}
		until("the server is full", func() bool { return held() == s.Server.Slots+1 })
		head, body, id = request("5ms")
		k.say(head + body)
		until("one more waits", func() bool { return held() == s.Server.Slots+2 && reached(id) == 1 })
		k.Close()
		until(who+": it is called off", func() bool { return held() == s.Server.Slots+1 })
		r.servers.changeModel(0, func(m *world.Server) { m.SetSlowdown(0.001) })
		for _, w := range waiting {
			if status, _ := w.hear(); status != http.StatusOK {
				t.Errorf("%s: one that waited was answered %d", who, status)
			}
		}
		r.servers.changeModel(0, func(m *world.Server) { m.SetSlowdown(1) })
	}
	r.servers.crash(0)
	if c, err := net.DialTimeout("tcp", r.servers.address(0, 0), time.Second); err == nil {
		c.Close()
		t.Error("a server whose process is dead accepts")
	}
	r.processes.kill(0)
	if c, err := net.DialTimeout("tcp", r.net.address(0, clientPort), time.Second); err == nil {
		c.Close()
		t.Error("a sidecar whose process is dead accepts")
	}
}

// A machine that has vanished says nothing: what is open stays open, new connections never come up, and once it is
// back all of that is reset.
func TestVanishedServer(t *testing.T) {
	t.Parallel()
	r := stage(t, readScenario(t, "[fleet]\nsidecars=1\nservers=1"))
	k := dial(t, r.servers.address(0, 0))
	k.say("GET /alive HTTP/1.1\r\nHost: x\r\n\r\n")
	if status, _ := k.hear(); status != http.StatusOK {
		t.Fatalf("probe answered %d", status)
	}
	r.servers.silence(0, true)
	k.say("GET /alive HTTP/1.1\r\nHost: x\r\n\r\n")
	up := 0
	for range 4 { // one may be in the queue of the kernel's own; it is answered by nobody
		if c, err := net.DialTimeout("tcp", r.servers.address(0, 0), 20*time.Millisecond); err == nil {
			defer c.Close()
			up++
		}
	}
	if up > 1 {
		t.Errorf("%d of 4 connections came up", up)
	}
	_ = k.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := k.r.ReadByte(); err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Errorf("it says something: %v", err)
	}
	r.servers.silence(0, false)
	_ = k.SetReadDeadline(time.Now().Add(20 * time.Second))
	if !k.ended() {
		t.Error("an old connection goes on")
	}
	k = dial(t, r.servers.address(0, 0))
	k.say("GET /alive HTTP/1.1\r\nHost: x\r\n\r\n")
	if status, _ := k.hear(); status != http.StatusOK {
		t.Errorf("probe answered %d", status)
	}
}

// Discovery answers as the protocol has it: the whole list, a watch that waits for news or its time, failures.
func TestDiscoveryHoldsToTheProtocol(t *testing.T) {
	t.Parallel()
	r := stage(t, readScenario(t, "[fleet]\nsidecars=2\nservers=3"))
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
		t.Errorf("two sidecars see %+v and %+v: the same id, at addresses of their own", a.Instances[0], b.Instances[0])
	}
	want(0, "?index=1&wait=1", 1, false, 0, "")
	done := make(chan listingJSON)
	go func() { _, l := get(0, "?index=1&wait=20000"); done <- l }()
	r.roster.scheduleUpdate(0, world.Entry{Server: 1, Lifecycle: world.Draining})
	if l := <-done; l.Generation != 2 || l.Reset || len(l.Instances) != 1 || l.Instances[0].Lifecycle != "draining" {
		t.Errorf("a watch ends with %+v", l)
	}
	want(1, "?index=1&wait=20000", 2, false, 1, "draining")
	want(1, "?index=77&wait=20000", 2, true, 3, "ready") // a version that it never had
	if status, _ := get(0, "?index=x&wait=1"); status != http.StatusBadRequest {
		t.Errorf("nonsense is answered %d", status)
	}
	if told := r.history.serverUpdates; len(told) != 2 || !told[0].Out || told[0].Server != 1 {
		t.Errorf("told: %+v", told)
	}
	r.roster.setOutage(true)
	if status, _ := get(0, ""); status != http.StatusServiceUnavailable {
		t.Errorf("when it is away it answers %d", status)
	}
	r.roster.setOutage(false)
	want(0, "", 2, true, 3, "ready")
	old := r.roster.address(0)
	if err := r.roster.move(); err != nil {
		t.Fatal(err)
	}
	want(0, "", 2, true, 3, "ready")
	if _, err := net.Dial("tcp", old); err == nil {
		t.Error("the old address takes new connections")
	}
}
