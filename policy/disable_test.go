package policy

import (
	"math"
	"testing"
	"time"

	"arrowgw/internal/balance"
)

// Guards against any sends to a server that an operator has disabled, independent of its state in the list.
func TestDisabledServerStaysOut(t *testing.T) {
	b, h := startBalancer(t, testConfig(), readyList(1, 2))
	b.Disable(0, 1)
	b.Disable(0, 1) // no further effect
	now, id := time.Duration(0), balance.RequestID(0)
	serve := func(when string, ending balance.Ending) {
		t.Helper()
		for range 20 {
			now += 20 * ms
			sendRequest(b, now, id, safeClass)
			endAttempt(b, now+5*ms, id, 0, ending) // an attempt that did not run is retried on another server
			endAttempt(b, now+6*ms, id, 1, balance.Served)
			id++
		}
		if n := h.sentTo(1); n > 0 {
			t.Fatalf("%s: %d sends to a disabled server", when, n)
		}
	}
	serve("disabled", balance.Served)
	serve("with retries", balance.TurnedAway)
	b.UpdateServers(now, balance.ListFull, readyList(1, 2))
	serve("in a full list", balance.Served)
	b.UpdateServers(now, balance.ListDelta, []balance.Server{{ID: 1, State: balance.Draining, Weight: 1}})
	b.UpdateServers(now, balance.ListDelta, []balance.Server{{ID: 1, State: balance.Ready, Weight: 1, Started: now}})
	serve("restarted", balance.Served)
	b.UpdateServers(now, balance.ListDelta, []balance.Server{{ID: 1, State: balance.Gone, Weight: 1}})
	b.UpdateServers(now, balance.ListDelta, readyList(1))
	serve("gone and back", balance.Served)
	if listed, unavailable := b.ServerCounts(now); listed != 2 || unavailable != 1 {
		t.Errorf("%d servers, %d unavailable, want 2 and 1", listed, unavailable)
	}
	b.Enable(now, 1, now)
	if listed, unavailable := b.ServerCounts(now); listed != 2 || unavailable != 0 || b.Disabled(1) {
		t.Errorf("after Enable: %d servers, %d unavailable, disabled %v", listed, unavailable, b.Disabled(1))
	}
}

// When a server is disabled, its attempts in flight finish and queued requests go to other servers.
func TestDisableLeavesAttemptsInFlight(t *testing.T) {
	b, h := startBalancer(t, testConfig(), readyList(1))
	sendRequest(b, 0, 1, safeClass)
	b.Disable(ms, 1)
	if len(h.cancelled) != 0 {
		t.Fatal("the attempt in flight was cancelled")
	}
	sendRequest(b, 2*ms, 2, safeClass) // queued: no server is available
	endAttempt(b, 10*ms, 1, 0, balance.Errored)
	b.Wake(20 * ms)
	if len(h.sends) != 1 {
		t.Fatalf("sends %v, want only the first", h.sends)
	}
	b.UpdateServers(30*ms, balance.ListDelta, readyList(2))
	if h.sentTo(2) == 0 || h.sentTo(1) != 1 {
		t.Fatalf("sends %v, want the queued request at the other server", h.sends)
	}
}

// Guards against a server that is never used again after it is enabled, or gets its full share at once.
func TestEnabledServerIsCold(t *testing.T) {
	b, h := startBalancer(t, testConfig(), readyList(1, 2, 3, 4))
	b.Disable(0, 1)
	var id balance.RequestID
	serve := func(from, to time.Duration) int {
		before := h.sentTo(1)
		for now := from; now < to; now += 20 * ms {
			id++
			sendRequest(b, now, id, safeClass)
			endAttempt(b, now+5*ms, id, 0, balance.Served)
			b.Wake(now + 10*ms)
		}
		return h.sentTo(1) - before
	}
	serve(0, time.Second)
	b.Enable(time.Second, 1, time.Second)
	if n := serve(time.Second, 2*time.Second); n == 0 || n > 8 {
		t.Errorf("%d sends in the first second, want some, but fewer than a warm server's 12", n)
	}
	if n := serve(9*time.Second, 10*time.Second); n < 11 || n > 14 {
		t.Errorf("%d sends in a second once it is warm, want its quarter of 50", n)
	}
}

// A disabled server that is not listed can be enabled. Once listed again it is cold from that call on.
func TestEnableUnlistedServer(t *testing.T) {
	b, _ := startBalancer(t, testConfig(), readyList(1, 2))
	b.Disable(0, 1)
	b.UpdateServers(0, balance.ListDelta, []balance.Server{{ID: 1, State: balance.Gone, Weight: 1}})
	b.Enable(time.Second, 1, time.Second)
	b.UpdateServers(2*time.Second, balance.ListDelta, readyList(1))
	if s := b.serverByID(1); s == nil || !s.available(2*time.Second) || s.warmAt != 9*time.Second {
		t.Errorf("listed again: %+v, want it in service and cold until 9s", s)
	}
	b.Enable(20*time.Second, 2, 20*time.Second) // was never disabled
	if s := b.serverByID(2); s.warmAt != 0 {
		t.Error("Enable made a server cold that was not disabled")
	}
}

// Guards against two processes of one sidecar that together send a cold server twice its budget.
func TestProcessesShareColdBudget(t *testing.T) {
	sends := func(n int) int {
		b, h := startBalancer(t, testConfig(), readyList(1))
		b.SetProcessCount(n)
		ended := 0
		b.UpdateServers(0, balance.ListDelta, []balance.Server{{ID: 1, State: balance.Ready, Weight: 1, Started: 1}})
		for i := range 50 {
			now := time.Duration(i) * 20 * ms
			sendRequest(b, now, balance.RequestID(i), safeClass)
			for ; ended < len(h.sends); ended++ {
				endAttempt(b, now+5*ms, h.sends[ended].id, 0, balance.Served)
			}
			b.Wake(now + 10*ms)
		}
		return len(h.sends)
	}
	alone, each := sends(1), sends(2)
	if each == 0 || 2*each > alone+2 {
		t.Errorf("%d sends from a single process, %d from each of two, want half", alone, each)
	}
}

// Guards against servers that are cold in the very first list and get nothing until they are warm: without earlier
// weights to compute their part from, their first send was delayed by up to 100 s.
func TestColdInTheFirstList(t *testing.T) {
	list := readyList(1, 2)
	list[0].Started = 1
	for seed := range uint64(20) {
		b, h := startSeeded(t, testConfig(), seed, list)
		for i := range 50 {
			now := time.Duration(i) * 20 * ms
			sendRequest(b, now, balance.RequestID(i), safeClass)
			endAttempt(b, now+5*ms, balance.RequestID(i), 0, balance.Served)
		}
		if h.sentTo(1) == 0 {
			t.Fatalf("seed %d: no send in the first second, due at %v", seed, b.serverByID(1).nextColdSend)
		}
	}
}

// What a predecessor learned is used if it is recent enough, and invalid values in its file are harmless.
func TestRestoreLearned(t *testing.T) {
	const now = time.Hour
	cfg := testConfig()
	cfg.ColdTime = 8 * time.Second
	dead := balance.LearnedServer{ID: 2, Failures: 5, SilentSince: now - 10*time.Second, LatencyRatio: failureLatencyRatio}
	cold := balance.LearnedServer{ID: 2, WarmAt: now + 4*time.Second, LatencyRatio: 1}
	for _, c := range []struct {
		name    string
		at      time.Duration
		learned balance.LearnedServer
		started time.Duration // the server's start time in the list
		ejected bool
		warmAt  time.Duration
	}{
		{"a dead server is ejected", now - time.Second, dead, 0, true, 0},
		{"old health is ignored", now - time.Minute, dead, 0, false, 0},
		{"health from the future is ignored", now + time.Second, dead, 0, false, 0},
		{"health of a server that has restarted is ignored", now - 2*time.Second, dead, now - time.Second, false, now + 7*time.Second},
		{"a cold server stays cold", now - time.Second, cold, 0, false, now + 4*time.Second},
		{"a cold server stays cold, by older health", now - time.Minute, cold, 0, false, now + 4*time.Second},
		{"a cold server stays cold for at most ColdTime", now - time.Second, balance.LearnedServer{ID: 2, WarmAt: 9 * now}, 0, false, now + 8*time.Second},
		{"invalid values are harmless", now - time.Second, balance.LearnedServer{ID: 2, Failures: -9, SilentSince: -5, LatencyRatio: math.NaN()}, 0, false, 0},
		{"unknown servers are harmless", now - time.Second, balance.LearnedServer{ID: 77, Failures: 5}, 0, false, 0},
	} {
		list := readyList(1, 2)
		list[1].Started = c.started
		b, _ := startBalancer(t, cfg, nil)
		b.UpdateServers(now, balance.ListFull, list)
		b.RestoreLearned(now, balance.Learned{At: c.at, Rate: 70, Servers: []balance.LearnedServer{c.learned}})
		s := b.serverByID(2)
		if ejected := s.ejectedUntil > now; ejected != c.ejected || s.warmAt != c.warmAt || s.failures < 0 || !(s.latencyRatio > 0) || s.silentSince < 0 {
			t.Errorf("%s: ejected %v, warm at %v, %d failures, latency ratio %v", c.name, ejected, s.warmAt, s.failures, s.latencyRatio)
		}
		if recent := c.at >= now-rateTimeConstant && c.at <= now; recent != (b.rate == 70) {
			t.Errorf("%s: rate %v", c.name, b.rate)
		}
	}
	b, _ := startBalancer(t, cfg, readyList(1, 2))
	b.serverByID(2).failures, b.serverByID(2).latencyRatio = 3, 6
	l := b.Learned(time.Second)
	if len(l.Servers) != 1 || l.Servers[0].ID != 2 || l.Servers[0].Failures != 3 || l.At != time.Second {
		t.Errorf("learned %+v", l)
	}
}
