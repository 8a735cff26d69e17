package sidecar

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"arrowgw/internal/balance"
)

// An answer of discovery with known and unknown zones and lifecycles is parsed; a malformed one is rejected.
func TestParseListing(t *testing.T) {
	l, err := parseListing([]byte(`{"generation":41,"reset":false,"further":1,"instances":[
		{"instanceId":"s-1","hostPort":"127.0.0.1:80","zone":"b","machineType":"m2","cell":3,"lifecycle":"ready","weight":1.5,"startedAtMs":1500.5},
		{"instanceId":"s-2","hostPort":"127.0.0.1:81","zone":"unheard of","lifecycle":"draining"},
		{"instanceId":"s-3","hostPort":"127.0.0.1:82","lifecycle":"pausing"},
		{"instanceId":"s-4","lifecycle":"gone"}]}`), map[string]int{"a": 0, "b": 1})
	if err != nil {
		t.Fatal(err)
	}
	want := []balance.Server{
		{ID: serverID("s-1"), Zone: 1, Cell: 3, State: balance.Ready, Weight: 1.5, Started: 1500500 * time.Microsecond},
		{ID: serverID("s-2"), Zone: -1 - int(serverID("unheard of")>>2), State: balance.Draining},
		{ID: serverID("s-3"), Zone: -1 - int(serverID("")>>2), State: balance.Draining},
		{ID: serverID("s-4"), Zone: -1 - int(serverID("")>>2), State: balance.Gone},
	}
	if l.version != 41 || l.whole || len(l.servers) != len(want) || l.addresses[want[1].ID] != "127.0.0.1:81" {
		t.Fatalf("list %+v", l)
	}
	for i := range want {
		if l.servers[i] != want[i] {
			t.Errorf("server %+v, want %+v", l.servers[i], want[i])
		}
	}
	for _, bad := range []string{
		"", "{", "[]", `{"instances":[]}`, `{"generation":"x"}`,
		`{"generation":1,"instances":[{"hostPort":"127.0.0.1:80","lifecycle":"ready"}]}`,
		`{"generation":1,"instances":[{"instanceId":"s","hostPort":"nowhere","lifecycle":"ready"}]}`,
		`{"generation":1,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:80","weight":"heavy"}]}`,
		`{"generation":1,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:80","startedAtMs":1e300}]}`,
	} {
		if _, err := parseListing([]byte(bad), nil); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

// The client watches from the version it has. A malformed answer or a failure changes nothing, and after a delay the next
// watch starts from the same version; it is short, as the module waits for an answer. The whole list is requested only if
// changes are not available: whole lists for all sidecars at once would keep discovery from answering.
func TestDiscoveryFollowsList(t *testing.T) {
	queries := make(chan string, 100)
	answers := make(chan func(http.ResponseWriter), 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		select {
		case answer := <-answers:
			answer(w)
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	respond := func(body string) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { _, _ = io.WriteString(w, body) }
	}
	cfg := testConfig(t, listAnswer(40, "ready", "127.0.0.1:80"), func(file, _ map[string]any) {
		file["discovery"] = server.Listener.Addr().String()
	})
	listings, failures := make(chan listing, 100), make(chan struct{}, 100)
	d := newDiscovery(cfg, func(l listing) { listings <- l }, func() { failures <- struct{}{} })
	var clock atomic.Int64
	d.now, d.sleep = func() time.Duration { return time.Duration(clock.Load()) }, func(_ context.Context, by time.Duration) { clock.Add(int64(by)) }
	d.random = func() float64 { return 1 }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.run(ctx); close(ended) }()

	step := func(query string, answer func(http.ResponseWriter)) {
		t.Helper()
		answers <- answer
		if got := wait(t, "a call", queries); got != query {
			t.Fatalf("query %q, want %q", got, query)
		}
	}
	expectListing := func(version int64, whole bool) {
		t.Helper()
		if l := wait(t, "a list", listings); l.version != version || l.whole != whole {
			t.Fatalf("version %d, whole %v, want %d, %v", l.version, l.whole, version, whole)
		}
	}
	step("index=40&wait=1", respond(`{"generation":41,"reset":false,"instances":[]}`))
	expectListing(41, false)
	step("index=41&wait=20000", respond(`{"generation":43,"reset":false,"instances":[]}`))
	expectListing(43, false)
	step("index=43&wait=20000", respond(`{"generation":44,"instances":[{"instanceId":""}]}`))
	wait(t, "the failure", failures)
	step("index=43&wait=1", func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) })
	wait(t, "the failure", failures)
	step("index=43&wait=1", respond(listAnswer(45, "ready", "127.0.0.1:80")))
	expectListing(45, true)
	step("index=45&wait=20000", respond(`{"generation":7,"reset":false,"instances":[]}`)) // stale, or after a restart of discovery
	expectListing(45, false)
	step("", respond(listAnswer(8, "ready", "127.0.0.1:80"))) // 0.5 s later
	expectListing(45, false)
	for range 2 { // 1 s and 3.5 s later
		step("index=8&wait=2000", func(w http.ResponseWriter) {
			clock.Add(int64(staleListDelay))
			_, _ = io.WriteString(w, `{"generation":8,"reset":false,"instances":[]}`)
		})
		expectListing(45, false)
	}
	step("", respond(listAnswer(8, "ready", "127.0.0.1:80")))
	expectListing(8, true)
	step("index=8&wait=20000", respond(listAnswer(9, "ready", "127.0.0.1:80")))
	expectListing(9, true)
	if len(listings)+len(failures) > 0 {
		t.Errorf("%d more lists, %d more failures", len(listings), len(failures))
	}
	cancel()
	wait(t, "the end", ended)
	// The last call, a watch, has ended with the test.
	want := map[string]int{"whole": 2, "watches": 10, "failed": 3, "lines": 4}
	if got := d.counters(); !maps.Equal(got, want) {
		t.Errorf("counted %v, want %v", got, want)
	}
}

// If lists are pushed, changes made during an outage of discovery are in force as soon as it is back, and a drain has to be obeyed
// within a second. No delay between calls may reach that, regardless of the length of the outage.
func TestRetryDelaysStayShortForPushedLists(t *testing.T) {
	const limit, failures = time.Second, 12
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	defer server.Close()
	cfg := testConfig(t, listAnswer(40, "ready", "127.0.0.1:80"), func(file, _ map[string]any) { file["discovery"] = server.Listener.Addr().String() })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newDiscovery(cfg, func(listing) {}, func() {})
	var pauses []time.Duration
	d.sleep = func(_ context.Context, by time.Duration) {
		if pauses = append(pauses, by); len(pauses) == failures {
			cancel()
		}
	}
	d.run(ctx)
	for i, by := range pauses {
		if longest := by * 3 / 2; longest >= limit*8/10 || by <= 0 { // jitter adds up to a half, and the call itself takes time
			t.Errorf("after %d failures the delay until the next call may be %v", i+1, longest)
		}
	}
	if len(pauses) != failures || slices.Max(pauses) < 2*pauses[0] {
		t.Errorf("delays %v, want %d increasing ones", pauses, failures)
	}
}

// If the list has to be requested, discovery is not called before the module subscribes.
func TestDiscoveryWaitsForSubscription(t *testing.T) {
	calls := make(chan struct{}, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls <- struct{}{}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	cfg := testConfig(t, listAnswer(0, "ready"), func(file, settings map[string]any) {
		file["discovery"] = server.Listener.Addr().String()
		settings["discovery"] = "ask"
	})
	failed := make(chan struct{}, 100)
	d := newDiscovery(cfg, func(listing) {}, func() { failed <- struct{}{} })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.run(ctx)
	for range 2 {
		if len(calls) > 0 {
			t.Fatal("discovery was called without a request")
		}
		d.subscribe()
		wait(t, "the failure", failed)
		wait(t, "the call", calls)
	}
}

// When discovery's address changes, the watch at the old address ends at once and the whole list is fetched from the new one.
// If lists have to be requested this happens without a new request of the module.
func TestDiscoveryChangesAddress(t *testing.T) {
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			watchBegan, watchEnded := make(chan struct{}, 10), make(chan struct{}, 10)
			startDiscovery := func(generation int) string {
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.RawQuery == "" {
						_, _ = io.WriteString(w, listAnswer(generation, "ready"))
						return
					}
					watchBegan <- struct{}{}
					<-r.Context().Done() // a watch without changes
					watchEnded <- struct{}{}
				}))
				t.Cleanup(s.Close)
				return s.Listener.Addr().String()
			}
			cfg := testConfig(t, listAnswer(0, "ready"), func(file, settings map[string]any) {
				file["discovery"], settings["discovery"] = startDiscovery(1), mode
			})
			listings := make(chan listing, 10)
			d := newDiscovery(cfg, func(l listing) { listings <- l }, func() { t.Error("a change of address is reported as a failure") })
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() { d.run(ctx); close(ended) }()
			d.subscribe()
			for generation := int64(1); generation <= 3; generation++ {
				if l := wait(t, "a list", listings); l.version != generation || !l.whole {
					t.Fatalf("version %d, whole %v, want all of %d", l.version, l.whole, generation)
				}
				if generation > 1 {
					wait(t, "the watch at the old address to end", watchEnded)
				}
				wait(t, "the watch", watchBegan)
				if generation < 3 {
					d.setAddress(startDiscovery(int(generation) + 1))
				}
			}
			cancel()
			wait(t, "the end", ended)
		})
	}
}

// A server that changes its address is reached at the new one, a removed server is not reached, and a list of changes leaves
// the other servers alone.
func TestListChangesAddresses(t *testing.T) {
	l := newTestLoop(t, "127.0.0.1:81")
	id := serverID("s-0")
	moved, err := parseListing([]byte(`{"generation":2,"instances":[{"instanceId":"s-0","hostPort":"127.0.0.1:82","lifecycle":"ready"}]}`), nil)
	if err != nil {
		t.Fatal(err)
	}
	l.applyList(moved, balance.ListDelta)
	if l.addresses[id] != "127.0.0.1:82" {
		t.Errorf("address %q after the change of address", l.addresses[id])
	}
	l.applyList(listing{}, balance.ListDelta)
	if len(l.addresses) != 1 {
		t.Errorf("addresses %v after no change", l.addresses)
	}
	l.applyList(listing{servers: []balance.Server{{ID: id, State: balance.Gone}}}, balance.ListDelta)
	if len(l.addresses) != 0 {
		t.Errorf("addresses %v, the server is gone", l.addresses)
	}
	l.applyList(moved, balance.ListDelta)
	l.applyList(listing{whole: true}, balance.ListFull)
	if len(l.addresses) != 0 {
		t.Errorf("addresses %v after an empty whole list", l.addresses)
	}
}

// A read from discovery that fails transiently is retried. The answer counts as known once discovery has written it, and
// another call may have to wait for long.
func TestDiscoveryRetriesTransientRead(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		_, _ = io.WriteString(w, listAnswer(41, "ready", "127.0.0.1:80"))
	}))
	defer server.Close()
	for _, err := range []error{syscall.ENOMEM, syscall.ENOBUFS} {
		for _, cut := range []int{0, 5, 50, 200} {
			d := newDiscovery(testConfig(t, listAnswer(1, "ready"), nil), func(listing) {}, func() {})
			dial := d.dial
			d.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				c, failed := dial(ctx, network, address)
				return &cutConn{Conn: c, left: cut, err: err}, failed
			}
			calls.Store(0)
			l, failed := d.fetch(context.Background(), server.Listener.Addr().String(), "", testTimeout)
			if failed != nil || l.version != 41 || calls.Load() != 1 {
				t.Errorf("%v after %d bytes: version %d after %d calls, error %v", err, cut, l.version, calls.Load(), failed)
			}
			d.client.CloseIdleConnections()
		}
	}
}
