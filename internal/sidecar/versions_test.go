package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"

	"arrowgw/internal/balance"
)

// wording tells a list of servers that are named s-0 to s-9, for comparison.
func wording(l listing) string {
	var words []string
	for i := range 10 {
		name := fmt.Sprintf("s-%d", i)
		for _, s := range l.servers {
			if s.ID == serverID(name) {
				words = append(words, name+"@"+l.address[s.ID]+map[balance.State]string{balance.Ready: "", balance.Draining: " out", balance.Gone: " gone"}[s.State])
			}
		}
	}
	return strings.Join(words, ", ")
}

// A sidecar that is told that a server drains, is killed and starts again sends it nothing, though a stale replica of
// discovery has it ready.
func TestRestartBringsNoDrainedServerBack(t *testing.T) {
	a, b := newStub(t, echo), newStub(t, echo)
	entries := func(version int, first string) string {
		return strings.Replace(listed(version, "ready", a.address, b.address), `"ready"`, `"`+first+`"`, 1)
	}
	var mu sync.Mutex
	answer := entries(50, "draining")
	asked := make(chan struct{}, 100)
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		now := answer
		mu.Unlock()
		if strings.HasPrefix(r.URL.RawQuery, "index=50") && strings.Contains(now, `"generation":50`) {
			<-r.Context().Done()
			return
		}
		select {
		case asked <- struct{}{}:
		default: // nobody counts them
		}
		_, _ = io.WriteString(w, now)
	}))
	t.Cleanup(d.Close)
	configured := func(file, _ map[string]any) { file["discovery"] = d.Listener.Addr().String() }
	run := func(dir string) *running {
		cfg := testConfig(t, entries(45, "ready"), configured)
		cfg.Shared = dir
		return startWith(t, cfg)
	}
	dir, killed := t.TempDir(), t.TempDir()
	first := run(dir)
	for got := ""; !strings.Contains(got, "app.members_unavailable=1\n"); { // acted on
		got = first.call(t, "show-stat\n")
	}
	for {
		h := newHandover(dir, "n0") // as another process: the first still runs
		v := h.versions(testConfig(t, entries(45, "ready"), configured), newClock().now())
		h.die()
		if v.top == 50 {
			break
		}
	}
	if err := os.CopyFS(killed, os.DirFS(dir)); err != nil { // what a kill leaves
		t.Fatal(err)
	}
	for len(asked) > 0 {
		<-asked
	}
	mu.Lock()
	answer = entries(45, "ready")
	mu.Unlock()
	second := run(killed)
	wait(t, "a call", asked)
	wait(t, "the next call: the answer is acted on", asked)
	for i := range 20 {
		if res, _ := do(t, second.request(t, "GET", "/look", "")); res.StatusCode != 200 {
			t.Errorf("request %d: %d", i, res.StatusCode)
		}
	}
	if n := len(a.seen); n > 0 {
		t.Errorf("%d of 20 requests went to the server that drains", n)
	}
}
