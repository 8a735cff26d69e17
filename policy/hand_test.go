package policy

import (
	"math"
	"testing"
	"time"

	"arrowgw/internal/balance"
)

// Guards against sends of any kind to a server that is taken out by hand, whatever the list says of it meanwhile.
func TestTakenOutByHandStaysOut(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	b.Disable(0, 1)
	b.Disable(0, 1) // twice is once
	now, id := time.Duration(0), balance.RequestID(0)
	serve := func(what string, ending balance.Ending) {
		t.Helper()
		for range 20 {
			now += 20 * ms
			ask(b, now, id, safeClass)
			end(b, now+5*ms, id, 0, ending) // an attempt that did not run is tried again elsewhere
			end(b, now+6*ms, id, 1, balance.Served)
			id++
		}
		if n := h.sentTo(1); n > 0 {
			t.Fatalf("%s: %d sends to a server that is out", what, n)
		}
	}
	serve("taken out", balance.Served)
	serve("with retries", balance.TurnedAway)
	b.UpdateServers(now, balance.ListFull, ready(1, 2))
	serve("in a whole list", balance.Served)
	b.UpdateServers(now, balance.ListDelta, []balance.Server{{ID: 1, State: balance.Draining, Weight: 1}})
	b.UpdateServers(now, balance.ListDelta, []balance.Server{{ID: 1, State: balance.Ready, Weight: 1, Started: now}})
	serve("restarted", balance.Served)
	b.UpdateServers(now, balance.ListDelta, []balance.Server{{ID: 1, State: balance.Gone, Weight: 1}})
	b.UpdateServers(now, balance.ListDelta, ready(1))
	serve("gone and back", balance.Served)
	if listed, unavailable := b.ServerCounts(now); listed != 2 || unavailable != 1 {
		t.Errorf("%d members, %d unavailable, want 2 and 1", listed, unavailable)
	}
	b.Enable(now, 1, now)
	if listed, unavailable := b.ServerCounts(now); listed != 2 || unavailable != 0 || b.Disabled(1) {
		t.Errorf("after one call back: %d members, %d unavailable, out %v", listed, unavailable, b.Disabled(1))
	}
}

// What runs there finishes, what waits goes to others, and a request bound to it is not sent there again.
func TestTakeOutLeavesWhatRuns(t *testing.T) {
	b, h := start(t, testConfig(), ready(1))
	ask(b, 0, 1, safeClass)
	b.Disable(ms, 1)
	if len(h.cancelled) != 0 {
		t.Fatal("what ran there was called off")
	}
	ask(b, 2*ms, 2, safeClass) // waits: nobody may serve
	end(b, 10*ms, 1, 0, balance.Errored)
	b.Wake(20 * ms)
	if len(h.sends) != 1 {
		t.Fatalf("sends %v, want only the first", h.sends)
	}
	b.UpdateServers(30*ms, balance.ListDelta, ready(2))
	if h.sentTo(2) == 0 || h.sentTo(1) != 1 {
		t.Fatalf("sends %v, want what waited at the other server", h.sends)
	}
}

// Guards against a server that is never used again after the call back, or is met with its full share at once.
func TestBroughtBackCold(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3, 4))
	b.Disable(0, 1)
	var id balance.RequestID
	serve := func(from, to time.Duration) int {
		before := h.sentTo(1)
		for now := from; now < to; now += 20 * ms {
			id++
			ask(b, now, id, safeClass)
			end(b, now+5*ms, id, 0, balance.Served)
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

// A server that is out and not listed can be called back; listed again, it is as cold as the call back made it.
func TestBroughtBackUnlisted(t *testing.T) {
	b, _ := start(t, testConfig(), ready(1, 2))
	b.Disable(0, 1)
	b.UpdateServers(0, balance.ListDelta, []balance.Server{{ID: 1, State: balance.Gone, Weight: 1}})
	b.Enable(time.Second, 1, time.Second)
	b.UpdateServers(2*time.Second, balance.ListDelta, ready(1))
	if s := b.server(1); s == nil || !s.mayServe(2*time.Second) || s.warmAt != 9*time.Second {
		t.Errorf("listed again: %+v, want it in service and cold until 9s", s)
	}
	b.Enable(20*time.Second, 2, 20*time.Second) // was never out
	if s := b.server(2); s.warmAt != 0 {
		t.Error("a call back of a server that was not out made it cold")
	}
}

// Guards against two processes of one sidecar that send a cold server twice what one may.
func TestProcessesShareColdServers(t *testing.T) {
	sends := func(n int) int {
		b, h := start(t, testConfig(), ready(1))
		b.SetProcessCount(n)
		ended := 0
		b.UpdateServers(0, balance.ListDelta, []balance.Server{{ID: 1, State: balance.Ready, Weight: 1, Started: 1}})
		for i := range 50 {
			now := time.Duration(i) * 20 * ms
			ask(b, now, balance.RequestID(i), safeClass)
			for ; ended < len(h.sends); ended++ {
				end(b, now+5*ms, h.sends[ended].id, 0, balance.Served)
			}
			b.Wake(now + 10*ms)
		}
		return len(h.sends)
	}
	alone, each := sends(1), sends(2)
	if each == 0 || 2*each > alone+2 {
		t.Errorf("%d sends alone, %d from each of two, want half", alone, each)
	}
}

// Guards against servers that are cold in the first list of all being left out until they are warm: there were no
// weights yet to take their part of, so that their first send was put off by up to 100 s.
func TestColdInTheFirstList(t *testing.T) {
	list := ready(1, 2)
	list[0].Started = 1
	for seed := range uint64(20) {
		b, h := startSeeded(t, testConfig(), seed, list)
		for i := range 50 {
			now := time.Duration(i) * 20 * ms
			ask(b, now, balance.RequestID(i), safeClass)
			end(b, now+5*ms, balance.RequestID(i), 0, balance.Served)
		}
		if h.sentTo(1) == 0 {
			t.Fatalf("seed %d: no send in the first second, due at %v", seed, b.server(1).coldAt)
		}
	}
}

// What was learned before a restart holds after it as far as it is young enough, and nothing that a file may say does harm.
func TestRecall(t *testing.T) {
	const now = time.Hour
	cfg := testConfig()
	cfg.ColdTime = 8 * time.Second
	dead := balance.LearnedServer{ID: 2, Failures: 5, SilentSince: now - 10*time.Second, LatencyRatio: failStrain}
	cold := balance.LearnedServer{ID: 2, WarmAt: now + 4*time.Second, LatencyRatio: 1}
	for _, c := range []struct {
		name   string
		at     time.Duration
		learnt balance.LearnedServer
		since  time.Duration // the list's start of the server
		rests  bool
		warmAt time.Duration
	}{
		{"a dead server rests", now - time.Second, dead, 0, true, 0},
		{"what is old is not believed", now - time.Minute, dead, 0, false, 0},
		{"nor what comes from the future", now + time.Second, dead, 0, false, 0},
		{"nor of a server that has started again since", now - 2*time.Second, dead, now - time.Second, false, now + 7*time.Second},
		{"a cold one goes on warming", now - time.Second, cold, 0, false, now + 4*time.Second},
		{"also when that is older", now - time.Minute, cold, 0, false, now + 4*time.Second},
		{"no longer than a start takes", now - time.Second, balance.LearnedServer{ID: 2, WarmAt: 9 * now}, 0, false, now + 8*time.Second},
		{"nonsense does no harm", now - time.Second, balance.LearnedServer{ID: 2, Failures: -9, SilentSince: -5, LatencyRatio: math.NaN()}, 0, false, 0},
		{"nor do servers that nobody knows", now - time.Second, balance.LearnedServer{ID: 77, Failures: 5}, 0, false, 0},
	} {
		list := ready(1, 2)
		list[1].Started = c.since
		b, _ := start(t, cfg, nil)
		b.UpdateServers(now, balance.ListFull, list)
		b.RestoreLearned(now, balance.Learned{At: c.at, Rate: 70, Servers: []balance.LearnedServer{c.learnt}})
		s := b.server(2)
		if rests := s.rested > now; rests != c.rests || s.warmAt != c.warmAt || s.fails < 0 || !(s.strain > 0) || s.silent < 0 {
			t.Errorf("%s: rests %v, warm at %v, %d fails, strain %v", c.name, rests, s.warmAt, s.fails, s.strain)
		}
		if young := c.at >= now-rateOver && c.at <= now; young != (b.rate == 70) {
			t.Errorf("%s: rate %v", c.name, b.rate)
		}
	}
	b, _ := start(t, cfg, ready(1, 2))
	b.server(2).fails, b.server(2).strain = 3, 6
	l := b.Learned(time.Second)
	if len(l.Servers) != 1 || l.Servers[0].ID != 2 || l.Servers[0].Failures != 3 || l.At != time.Second {
		t.Errorf("learned %+v", l)
	}
}
