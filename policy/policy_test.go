package policy

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"arrowgw/internal/balance"
)

// Guards against a tenant that uses more than its slots and queue places, or another tenant's.
func TestSlotsAndQueue(t *testing.T) {
	b, h := startBalancer(t, testConfig(), readyList(1, 2, 3, 4, 5, 6, 7, 8)) // tenant 0: 6 slots and 1 place
	if b.SlotsFree(0) != 6 || b.SlotsFree(1) != 2 || b.QueueFree(0) != 1 || b.QueueFree(1) != 1 {
		t.Fatalf("compartments: slots %d and %d, queue places %d and %d", b.SlotsFree(0), b.SlotsFree(1), b.QueueFree(0), b.QueueFree(1))
	}
	for id := range balance.RequestID(10) {
		sendRequest(b, 0, id, safeClass)
	}
	if len(h.sends) != 6 || b.QueueFree(0) != 0 {
		t.Fatalf("sent %d, queue places free %d; want 6 and 0", len(h.sends), b.QueueFree(0))
	}
	if retryAfter, ok := h.refused[9]; !ok || retryAfter <= 0 || retryAfter > time.Second {
		t.Fatalf("tenth request: refused %v with retry delay %v; want a refusal at once with a retry delay", ok, retryAfter)
	}
	if b.SlotsFree(1) != 2 {
		t.Fatalf("tenant 1 lost slots to tenant 0")
	}
	b.Request(0, balance.Request{ID: 20, Class: safeClass, Tenant: 1, TimeLeft: 2 * time.Second})
	if len(h.sends) != 7 {
		t.Fatalf("a full compartment blocks the other one")
	}
	endAttempt(b, 50*ms, 0, 0, balance.Served)
	if len(h.sends) != 8 || h.sends[7].id != 6 {
		t.Fatalf("a freed slot did not go to the first in the queue: %v", h.sends)
	}
}

// Guards against slots that are spent on clients' retries whose response can't be timely any more.
func TestLateRetriesAreRefusedUnderCongestion(t *testing.T) {
	b, h := startBalancer(t, testConfig(), readyList(1, 2))
	arrive := func(id balance.RequestID, d time.Duration) {
		b.Request(0, balance.Request{ID: id, Class: safeClass, TimeLeft: d})
	}
	arrive(1, 2800*ms) // first tries arrive with this much of the class's 3 s
	arrive(2, 2500*ms) // first sent half a second ago
	arrive(3, 1500*ms) // first sent 1.5 s ago: late already, but servers answer quickly
	if len(h.sends) != 3 || h.sends[1].timeout != 500*ms || h.sends[2].timeout != 1500*ms {
		t.Fatalf("sends %v: want the second's time-out cut to the rest of its aim, and the third sent", h.sends)
	}
	b.congestion = 0.2 // servers answer slowly
	arrive(4, 1500*ms)
	if _, refused := h.refused[4]; !refused {
		t.Fatal("a late retry took a slot while servers answered slowly")
	}
}

// Guards against requests that count as late forever once their clients have shortened their time-out.
func TestUsualTimeLeftMayChange(t *testing.T) {
	b, h := startBalancer(t, testConfig(), readyList(1, 2))
	for id := range balance.RequestID(400) {
		now := time.Duration(id) * 20 * ms
		left := 2800 * ms
		if id >= 20 {
			left = 2200 * ms
		}
		b.Request(now, balance.Request{ID: id, Class: safeClass, TimeLeft: left})
		endAttempt(b, now+5*ms, id, 0, balance.Served)
	}
	if last := h.sends[len(h.sends)-1]; last.timeout != time.Second {
		t.Fatalf("time-out %v: the aim of a first try is still cut short", last.timeout)
	}
}

// Guards against first tries that are taken for retries and refused at once: clients that do not mark their retries may
// give each try but the last only a part of their time.
func TestFirstTriesMayHavePartOfTheDeadline(t *testing.T) {
	b, h := startBalancer(t, testConfig(), readyList(1, 2))
	try := func(id balance.RequestID, left time.Duration) bool {
		now := time.Duration(id) * 20 * ms
		b.congestion, b.congestionAt = 0.2, now // servers answer slowly: late requests are refused
		b.Request(now, balance.Request{ID: id, Class: safeClass, TimeLeft: left})
		endAttempt(b, now+5*ms, id, 0, balance.Served)
		_, refused := h.refused[id]
		return !refused
	}
	for id := range balance.RequestID(400) {
		left := 1200 * ms
		if id%5 == 4 {
			left = 2990*ms - time.Duration(id%7)*100*ms // a last try has all the remaining time
		}
		if !try(id, left) {
			t.Fatalf("try %d with %v left was refused", id, left)
		}
	}
	if last := h.sends[len(h.sends)-2]; last.timeout != time.Second {
		t.Errorf("time-out %v, want all of a first try's aim", last.timeout)
	}
	if try(400, 700*ms) {
		t.Error("a try with less time left than first tries have was served, though it is late")
	}
}

// If clients mark their retries, an unmarked request is a first try and has its whole aim, even with less time left.
func TestUnmarkedRequestsAreFirstTriesIfClientsMarkRetries(t *testing.T) {
	cfg := testConfig()
	cfg.ClientsMarkRetries = true
	b, h := startBalancer(t, cfg, readyList(1, 2))
	b.Request(0, balance.Request{ID: 1, Class: safeClass, TimeLeft: 2800 * ms})
	b.Request(0, balance.Request{ID: 2, Class: safeClass, TimeLeft: 2500 * ms})
	b.Request(0, balance.Request{ID: 3, Class: safeClass, TimeLeft: 2500 * ms, ClientRetry: true})
	if h.sends[1].timeout != time.Second || h.sends[2].timeout != 500*ms {
		t.Fatalf("sends %v: want only the marked one's time-out cut", h.sends)
	}
}

// A request that no server can take waits in the queue, and is refused before its aim is over.
func TestQueuedRequestIsRefusedBeforeItsAim(t *testing.T) {
	b, h := startBalancer(t, testConfig(), nil) // without servers: queued, then refused in time
	sendRequest(b, 0, 1, unsafeClass)
	if len(h.refused) != 0 {
		t.Fatal("refused at once, though the queue has room")
	}
	for now := time.Duration(0); now <= time.Second; now += 10 * ms {
		b.Wake(now)
	}
	if _, ok := h.refused[1]; !ok {
		t.Fatal("still queued after its aim has passed")
	}
}

// Guards against requests sent after a wait with only about the typical latency left: at servers that have lost
// capacity every other one of them times out.
func TestQueuedRequestIsNotSentTooLate(t *testing.T) {
	b, h := startBalancer(t, testConfig(), nil)
	sendRequest(b, 0, 1, safeClass) // an aim of 1 s and a typical latency of 125 ms
	b.Wake(740 * ms)
	if len(h.refused) != 0 {
		t.Fatal("refused with more than twice the typical latency left")
	}
	b.UpdateServers(760*ms, balance.ListFull, readyList(1))
	if _, refused := h.refused[1]; !refused {
		t.Fatalf("sent %v after a wait with less than twice the typical latency left", h.sends)
	}
}

// Servers get round-robin turns in proportion to their weights.
func TestTurnsFollowWeights(t *testing.T) {
	list := readyList(1, 2, 3)
	list[2].Weight = 2
	b, h := startBalancer(t, testConfig(), list)
	for id := range balance.RequestID(40) {
		now := time.Duration(id) * 20 * ms
		sendRequest(b, now, id, safeClass)
		endAttempt(b, now+10*ms, id, 0, balance.Served)
	}
	if n := h.sentTo(3); n < 19 || n > 21 || h.sentTo(1)-h.sentTo(2) > 1 || h.sentTo(2)-h.sentTo(1) > 1 {
		t.Fatalf("turns %d %d %d, want 10 10 20, plus or minus one", h.sentTo(1), h.sentTo(2), h.sentTo(3))
	}
	if c := b.Counters(); c.Ordinary != 40 {
		t.Fatalf("ordinary sends %d of 40", c.Ordinary)
	}
}

// Servers with weights of 0 or NaN get as many turns as each other.
func TestZeroWeightsMeanEvenTurns(t *testing.T) {
	list := []balance.Server{{ID: 1, State: balance.Ready}, {ID: 2, State: balance.Ready, Weight: math.NaN()}}
	b, h := startBalancer(t, testConfig(), list)
	for id := range balance.RequestID(10) {
		now := time.Duration(id) * 20 * ms
		sendRequest(b, now, id, safeClass)
		endAttempt(b, now+10*ms, id, 0, balance.Served)
	}
	if n := h.sentTo(1); n < 4 || n > 6 {
		t.Fatalf("turns %d %d, want 5 5", h.sentTo(1), h.sentTo(2))
	}
}

// An attempt times out at the aim or, if its class gives late responses a worth, at the client's deadline.
func TestAttemptTimesOutWhenAResponseIsWorthless(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[1].LateShare = 0.5
	b, h := startBalancer(t, cfg, readyList(1, 2))
	sendRequest(b, 0, 1, safeClass)
	sendRequest(b, 0, 2, keyedAll)
	b.Request(0, balance.Request{ID: 3, Class: keyedCell, TimeLeft: 300 * ms})
	if got := h.sends[0].timeout; got != time.Second {
		t.Errorf("time-out %v, want the aim", got)
	}
	if got := h.sends[1].timeout; got != 2*time.Second {
		t.Errorf("time-out %v where late responses have worth, want all the time left", got)
	}
	if got := h.sends[2].timeout; got != 300*ms {
		t.Errorf("time-out %v, want the client's time left", got)
	}
}

// A failed attempt is retried if its class allows repeats or if the attempt provably never ran.
func TestRetriesByClassAndEnding(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		ending  balance.Ending
		retried bool
		fails   bool // failed rather than refused, if it is not retried
	}{
		{"safe after an error", safeClass, balance.Errored, true, false},
		{"keyed after a reset", keyedAll, balance.Broken, true, false},
		{"unsafe after being turned away", unsafeClass, balance.TurnedAway, true, false},
		{"unsafe without a connection", unsafeClass, balance.NoConnection, true, false},
		{"unsafe, never sent", unsafeClass, balance.NotSent, true, false},
		{"unsafe after an error", unsafeClass, balance.Errored, false, true},
		{"unsafe after a reset", unsafeClass, balance.Broken, false, true},
		{"unsafe after a time-out", unsafeClass, balance.TimedOut, false, true},
		{"unsafe after an unknown end", unsafeClass, balance.Ending(99), false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, h := startBalancer(t, testConfig(), readyList(1, 2, 3))
			sendRequest(b, 0, 1, c.class)
			endAttempt(b, 30*ms, 1, 0, c.ending)
			if retried := len(h.sends) == 2; retried != c.retried {
				t.Fatalf("sent again: %v, want %v", retried, c.retried)
			}
			if !c.retried && h.failed[1] != c.fails {
				t.Fatalf("failed: %v, want %v (refused: %v)", h.failed[1], c.fails, h.refused)
			}
			if c.retried && h.sends[1].to == h.sends[0].to {
				t.Fatal("sent again to the same server")
			}
		})
	}
}

// A request that never ran is sent at most MaxAttempts times and then refused.
func TestRefusalAfterMaxAttempts(t *testing.T) {
	b, h := startBalancer(t, testConfig(), readyList(1, 2, 3, 4, 5))
	sendRequest(b, 0, 1, unsafeClass)
	for i := range 3 {
		endAttempt(b, time.Duration(i+1)*ms, 1, i, balance.NoConnection)
	}
	if _, ok := h.refused[1]; len(h.sends) != 3 || !ok {
		t.Fatalf("sends %d, refused %v; want 3 and a refusal: it provably never ran", len(h.sends), ok)
	}
}

// A keyed request that may have run is retried only at servers in its scope.
func TestKeyedRetryStaysInScope(t *testing.T) {
	list := []balance.Server{
		{ID: 1, State: balance.Ready, Weight: 1, Zone: 0, Cell: 10}, {ID: 2, State: balance.Ready, Weight: 1, Zone: 0, Cell: 11},
		{ID: 3, State: balance.Ready, Weight: 1, Zone: 1, Cell: 12}, {ID: 4, State: balance.Ready, Weight: 1, Zone: 1, Cell: 12},
	}
	byID := func(id balance.ServerID) balance.Server { return list[id-1] }
	for id := range balance.RequestID(8) { // earlier turns make the first attempt go to each server
		for _, class := range []int{keyedZone, keyedCell} {
			b, h := startBalancer(t, testConfig(), list)
			for warm := range id {
				sendRequest(b, 0, 100+warm, safeClass)
				endAttempt(b, ms, 100+warm, 0, balance.Served)
			}
			h.sends = nil
			sendRequest(b, 2*ms, 1, class)
			first := byID(h.sends[0].to)
			endAttempt(b, 30*ms, 1, 0, balance.Broken)
			if len(h.sends) < 2 {
				if class == keyedZone || first.Zone == 1 {
					t.Fatalf("class %d from server %d was not sent again", class, first.ID)
				}
				continue // the only server of its cell
			}
			second := byID(h.sends[1].to)
			if second.Zone != first.Zone || (class == keyedCell && second.Cell != first.Cell) {
				t.Fatalf("class %d: retried from server %d to %d, outside its scope", class, first.ID, second.ID)
			}
		}
	}
}

// The scope of a keyed request is that of the first attempt that may have run, not of earlier ones that never ran.
func TestKeyedScopeIsThatOfTheAttemptThatMayHaveRun(t *testing.T) {
	list := []balance.Server{{ID: 1, State: balance.Ready, Weight: 1, Zone: 0}, {ID: 2, State: balance.Ready, Weight: 1, Zone: 1},
		{ID: 3, State: balance.Ready, Weight: 1, Zone: 1}}
	b, h := startBalancer(t, testConfig(), list)
	for h.sentTo(1) == 0 || len(h.sends) == 0 || h.sends[len(h.sends)-1].to != 1 {
		id := balance.RequestID(100 + len(h.sends))
		sendRequest(b, 0, id, safeClass)
		endAttempt(b, ms, id, 0, balance.Served)
	}
	b.UpdateServers(ms, balance.ListDelta, []balance.Server{{ID: 3, State: balance.Gone}})
	h.sends = nil
	sendRequest(b, 2*ms, 1, keyedZone) // it is the turn of server 2, in zone 1
	if h.sends[0].to != 2 {
		t.Fatalf("set-up: first attempt was sent to server %d", h.sends[0].to)
	}
	endAttempt(b, 3*ms, 1, 0, balance.TurnedAway) // it never ran there, so it is not bound to zone 1
	if len(h.sends) != 2 || h.sends[1].to != 1 {
		t.Fatalf("sends %v, want a second attempt at server 1", h.sends)
	}
	endAttempt(b, 4*ms, 1, 1, balance.Broken) // may have run in zone 0: server 2 is out of scope now
	if len(h.sends) != 2 {
		t.Fatalf("sent outside the scope: %v", h.sends)
	}
}

// A keyed request is not retried after its deduplication window. It is then refused if all servers drop repeats, and
// failed otherwise.
func TestKeyedWindowAndRefusal(t *testing.T) {
	b, h := startBalancer(t, testConfig(), readyList(1, 2, 3))
	sendRequest(b, 0, 1, keyedAll)
	endAttempt(b, 700*ms, 1, 0, balance.Errored) // the deduplication window of 700 ms since its send is over
	if _, refused := h.refused[1]; len(h.sends) != 1 || !refused {
		t.Fatalf("sends %d, refused %v; want 1 and a refusal, as all servers drop repeats", len(h.sends), refused)
	}
	b.admission = admissionStats{}
	sendRequest(b, 800*ms, 2, keyedZone)
	endAttempt(b, 1500*ms, 2, 0, balance.Errored)
	if !h.failed[2] {
		t.Fatal("a keyed request with the scope of a zone that may have run was not failed")
	}
}

// Nothing is sent to a server that is draining or gone, or that a full list does not contain.
func TestDrainingServerGetsNothingMore(t *testing.T) {
	for _, state := range []balance.State{balance.Draining, balance.Gone} {
		b, h := startBalancer(t, testConfig(), readyList(1, 2))
		b.UpdateServers(10*ms, balance.ListDelta, []balance.Server{{ID: 1, State: state, Weight: 1}})
		for id := range balance.RequestID(10) {
			sendRequest(b, 10*ms, id, safeClass)
			endAttempt(b, 20*ms, id, 0, balance.Served)
		}
		if h.sentTo(1) != 0 || h.sentTo(2) != 10 {
			t.Fatalf("state %v: sent %d to it", state, h.sentTo(1))
		}
	}
	b, h := startBalancer(t, testConfig(), readyList(1, 2))
	b.UpdateServers(10*ms, balance.ListFull, readyList(2)) // absent from a full list
	for id := range balance.RequestID(4) {
		sendRequest(b, 10*ms, id, safeClass)
	}
	if h.sentTo(1) != 0 {
		t.Fatal("sent to a server that left the full list")
	}
}

// A cold server is sent something, but no more than this balancer's part of its budget, and its full share once warm.
func TestColdServerGetsItsBudget(t *testing.T) {
	for _, balancers := range []int{1, 4} {
		cfg := testConfig()
		cfg.Balancers = balancers
		list := readyList(1, 2)
		b, h := startBalancer(t, cfg, list)
		list[0].Started = 10 * time.Second // restarted under the same id
		b.UpdateServers(10*time.Second, balance.ListDelta, list[:1])
		id := balance.RequestID(0)
		sends := map[bool]int{} // true: sends in the first second
		for now := 10 * time.Second; now < 20*time.Second; now += 2 * ms {
			before := h.sentTo(1)
			sendRequest(b, now, id, safeClass)
			endAttempt(b, now+ms, id, 0, balance.Served)
			id++
			if h.sentTo(1) > before && now < 11*time.Second {
				sends[true]++
			}
		}
		// The quotas give a capacity of 100 per second over two servers; 0.3 of it while cold, and a budget of 3 times that.
		budget := 100.0 / 2 * 0.3 * 3 / float64(balancers)
		if n := float64(sends[true]); n == 0 || n > budget {
			t.Errorf("%d balancers: %v sends in the first second, each balancer's budget is %.1f", balancers, n, budget)
		}
		if h.sentTo(1) < 500 {
			t.Errorf("%d balancers: only %d sends once it had warmed up", balancers, h.sentTo(1))
		}
	}
}

// Guards against an unresponsive server that keeps its turns and occupies slots until the attempts time out.
func TestSilentServerLosesTurns(t *testing.T) {
	b, h := startBalancer(t, testConfig(), readyList(1, 2, 3))
	now := time.Duration(0)
	for id := range balance.RequestID(300) {
		sendRequest(b, now, id, safeClass)
		if last := h.sends[len(h.sends)-1]; last.id == id && last.to != 1 {
			endAttempt(b, now+5*ms, id, 0, balance.Served)
		}
		now += 10 * ms
		b.Wake(now)
		for i := range h.sends { // server 1 answers nothing: time-outs after the aim
			if s := h.sends[i]; s.to == 1 && b.requests[s.id] != nil && b.requests[s.id].attempts[0].sentAt+s.timeout <= now {
				endAttempt(b, now, s.id, 0, balance.TimedOut)
			}
		}
	}
	if n := h.sentTo(1); n > 60 {
		t.Fatalf("an unresponsive server got %d of 300 first attempts", n)
	}
	if len(h.log) != 1 {
		t.Fatalf("log %q: want one line", h.log)
	}
}

// Guards against servers that keep an even part of the attempts though they answer late, because they are slow
// or because others overload them.
func TestCongestionLowersServerLimit(t *testing.T) {
	b, _ := startBalancer(t, testConfig(), readyList(1, 2))
	for range 50 {
		b.serverByID(1).congestion += (0.8*0.8 - b.serverByID(1).congestion) / 8
	}
	if slow, well := b.serverLimit(b.serverByID(1)), b.serverLimit(b.serverByID(2)); slow != 1 || well != 4 {
		t.Fatalf("limits %v and %v, want 1 and 4", slow, well)
	}
}

// Guards against single attempts of many balancers that overload small servers before responses take half of the
// aim, and against few balancers that hold back although servers can take more.
func TestTotalLimitUnderCongestion(t *testing.T) {
	for _, c := range []struct {
		balancers  int
		congestion float64 // mean square of the share of the aim that responses take
		want       int
	}{
		{80, 0.036, 6}, {80, 0.072, 5}, {80, 0.108, 3}, {80, 0.36, 1},
		{2, 0.09, 6}, {2, 0.18, 4}, {2, 0.36, 2},
	} {
		cfg := testConfig()
		cfg.Balancers = c.balancers
		cfg.Tenants = []balance.Tenant{{Share: 1, Quota: 50 * float64(c.balancers)}}
		b, h := startBalancer(t, cfg, readyList(1, 2, 3, 4, 5, 6))
		b.congestion = c.congestion
		for id := range balance.RequestID(6) {
			sendRequest(b, 0, id, safeClass)
		}
		if len(h.sends) != c.want || b.Counters().Held != uint64(6-c.want) {
			t.Errorf("%d balancers, congestion %v: %d attempts in flight with 8 slots, %d held, want %d and %d",
				c.balancers, c.congestion, len(h.sends), b.Counters().Held, c.want, 6-c.want)
		}
	}
}

// Guards against limits sized for the busiest of eighty balancers. Under congestion a balancer's limit follows the
// concurrency of its own traffic at the aim; without congestion the limit is the number of slots.
func TestTotalLimitFollowsOwnTraffic(t *testing.T) {
	cfg := testConfig()
	cfg.Balancers = 80 // 1.25 requests per second each, an aim of 1 s
	for congestion, want := range map[float64]int{0: 6, 0.037: 4} {
		b, h := startBalancer(t, cfg, readyList(1, 2, 3, 4, 5, 6))
		b.congestion = congestion
		for id := range balance.RequestID(6) {
			sendRequest(b, 0, id, safeClass)
		}
		if len(h.sends) != want || b.Counters().Held != uint64(6-want) {
			t.Fatalf("%d attempts in flight with 8 slots, %d held, want %d for 1.25 requests per second, congestion %v", len(h.sends), b.Counters().Held, want, congestion)
		}
	}
	b, _ := startBalancer(t, cfg, readyList(1, 2, 3, 4, 5, 6))
	for i := range 300 { // ten per second
		id, now := balance.RequestID(i), time.Duration(i)*100*ms
		sendRequest(b, now, id, safeClass)
		endAttempt(b, now+10*ms, id, 0, balance.Served)
	}
	if got := b.totalLimit(0.999); got < 7.9 {
		t.Fatalf("a limit of %v over all attempts, want about the 8 slots for 10 requests per second", got)
	}
}

// Guards against eighty balancers that each keep sending requests to a lost server: after two failures in succession
// it is ejected, for a time that grows with each failure and with the number of sharers, until it answers.
func TestFailingServerIsEjected(t *testing.T) {
	for _, balancers := range []int{2, 80} {
		cfg := testConfig()
		cfg.Balancers = balancers
		b, h := startBalancer(t, cfg, readyList(1))
		now, id, last := time.Duration(0), balance.RequestID(0), time.Duration(0)
		try := func(e balance.Ending) (ejected time.Duration) {
			t.Helper()
			id, b.admission = id+1, admissionStats{}
			sendRequest(b, now, id, unsafeClass)
			if h.sends[len(h.sends)-1].id != id {
				t.Fatalf("%d balancers: nothing was sent at %v", balancers, now)
			}
			endAttempt(b, now, id, 0, e)
			return b.serverByID(1).ejectedUntil - now
		}
		try(balance.Errored)
		for i := range 10 {
			ejected := try(balance.Errored)
			if d := min(maxBackoff, time.Duration(balancers)*backoffPerSharer<<i); ejected < d/2 || ejected > d*3/2 {
				t.Fatalf("%d balancers: ejected for %v after %d failures, want about %v", balancers, ejected, i+2, d)
			}
			id, b.admission = id+1, admissionStats{}
			sendRequest(b, now+ejected/2, id, unsafeClass)
			if h.sends[len(h.sends)-1].id == id {
				t.Fatalf("%d balancers: sent to an ejected server", balancers)
			}
			b.ClientGone(now+ejected/2, id)
			now, last = now+ejected, ejected
		}
		if last < maxBackoff/2 {
			t.Fatalf("%d balancers: ejected for %v at last, want about %v", balancers, last, maxBackoff)
		}
		try(balance.Served)
		if ejected := try(balance.Errored); ejected < backoffPerSharer {
			t.Fatalf("%d balancers: ejected for %v: one response clears a server that mostly fails", balancers, ejected)
		}
		now = b.serverByID(1).ejectedUntil
		for range 3 {
			try(balance.Served)
		}
		if ejected := try(balance.Errored); ejected > 0 {
			t.Fatalf("%d balancers: ejected for %v after three responses and one failure", balancers, ejected)
		}
	}
}

// Guards against load that moves from failing servers to the last healthy ones.
func TestTotalLimitShrinksWithFailingServers(t *testing.T) {
	b, _ := startBalancer(t, testConfig(), readyList(1, 2, 3, 4))
	if got := b.totalLimit(1); got != 8 {
		t.Fatalf("a limit of %v over all attempts, want all 8 slots", got)
	}
	for i, end := range []balance.Ending{balance.Errored, balance.NoConnection, balance.TimedOut, balance.Errored} {
		r := &request{class: &b.classes[0]}
		b.recordResult(0, r, &attempt{server: b.serverByID(balance.ServerID(1 + i%2))}, end)
	}
	if got := b.totalLimit(1); got != 4 {
		t.Fatalf("a limit of %v over all attempts, want 4 while two of four servers fail", got)
	}
}

// Guards against the concurrency limits of all balancers together overloading servers that report their load.
func TestReportedLoadLimitsTheFleet(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.Reports = true, balance.HasInFlight
	b, h := startBalancer(t, cfg, readyList(1, 2))
	b.Probed(ms, 1, true, balance.Load{Has: balance.HasInFlight, InFlight: 50})
	b.Probed(ms, 2, true, balance.Load{Has: balance.HasInFlight, InFlight: 0})
	for id := range balance.RequestID(4) {
		sendRequest(b, 2*ms, id, safeClass)
	}
	if h.sentTo(1) != 0 || h.sentTo(2) != 4 || len(h.probes) != 0 {
		t.Fatalf("sent %d to the full server, %d probes while reports are fresh", h.sentTo(1), len(h.probes))
	}
	b.Probed(2*ms, 9, true, balance.Load{Has: balance.HasInFlight, InFlight: 1})   // a server not listed
	b.Probed(2*ms, 1, false, balance.Load{Has: balance.HasInFlight, InFlight: -1}) // a failed probe
	b.Probed(2*time.Second, 1, true, balance.Load{Has: balance.HasInFlight, InFlight: 0})
	for id := balance.RequestID(10); id < 12; id++ {
		sendRequest(b, 2*time.Second, id, safeClass)
	}
	if h.sentTo(1) == 0 {
		t.Fatal("an outdated report still excludes the server")
	}
}

// Guards against overload in a large fleet: with a thousand sidecars of two requests per second, a balancer's own
// attempts do not show a server's load, and reports polled in rotation are outdated at the server's next turn.
func TestQueriesLoadBeforeSending(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.Reports = true, balance.HasInFlight
	b, h := startBalancer(t, cfg, readyList(1, 2, 3, 4))
	b.reportPairs, b.freshPairs = maxReportPairs, maxReportPairs // as after samples that were fresh
	sendRequest(b, 0, 1, safeClass)
	if len(h.probes) != 1 || len(h.sends) != 0 {
		t.Fatalf("%d probes, %d sends; want a query to the server whose turn it is first", len(h.probes), len(h.sends))
	}
	first := h.probes[0]
	b.Probed(6*ms, first, true, balance.Load{Has: balance.HasInFlight, InFlight: 50})
	if len(h.probes) != 2 || h.probes[1] == first || len(h.sends) != 0 {
		t.Fatalf("probes %v: want a query to the next server, as the first is full", h.probes)
	}
	b.Probed(12*ms, h.probes[1], true, balance.Load{Has: balance.HasInFlight, InFlight: 1})
	if len(h.sends) != 1 || h.sends[0].to != h.probes[1] {
		t.Fatalf("sends %v: want one to the server with spare capacity", h.sends)
	}
	sendRequest(b, time.Second, 2, safeClass)
	for now := time.Second; now < 1200*ms; now += 10 * ms {
		b.Wake(now) // no report arrives
	}
	if n := len(h.probes) - 2; n != maxLoadQueries || len(h.sends) != 1 {
		t.Fatalf("%d queries, %d sends; want %d and nothing sent to servers that did not answer or were not queried",
			n, len(h.sends), maxLoadQueries)
	}
	for now := 1200 * ms; now < 3*time.Second; now += 10 * ms {
		b.Wake(now)
	}
	if _, refused := h.refused[2]; !refused {
		t.Fatal("the request was lost")
	}
}

// Guards against the remaining servers inheriting the limits of servers that have left.
func TestServerLimitsDoNotGrowWhenServersLeave(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.Reports = true, balance.HasInFlight
	b, h := startBalancer(t, cfg, readyList(1, 2, 3, 4))
	b.UpdateServers(ms, balance.ListFull, readyList(1))
	b.Probed(ms, 1, true, balance.Load{Has: balance.HasInFlight, InFlight: 0})
	for id := range balance.RequestID(6) {
		sendRequest(b, ms, id, safeClass)
	}
	if h.sentTo(1) != 2 {
		t.Fatalf("%d of 8 slots used for the last of four servers, want its limit of 2", h.sentTo(1))
	}
	// At traffic of the quotas all balancers have 100/s x 1 s x 0.12 = 12 attempts in flight, a fourth per server.
	b.Probed(2*ms, 1, true, balance.Load{Has: balance.HasInFlight, InFlight: 5})
	if !b.reportsFull(2*ms, &request{}, b.serverByID(1)) {
		t.Fatal("the last of four servers may hold more than a fourth of the fleet's attempts plus one")
	}
}

// A failed list call is repeated after growing pauses below AskWithin, and the last list remains valid meanwhile.
func TestFailedListCallsAreRepeated(t *testing.T) {
	cfg := testConfig()
	cfg.AskList = true
	b, h := startBalancer(t, cfg, readyList(1))
	if h.watches != 1 {
		t.Fatalf("%d list calls at the start, want 1", h.watches)
	}
	intervals, last, calls := []time.Duration{}, time.Duration(0), 1
	b.UpdateServers(0, balance.ListFailed, nil)
	for now := 10 * ms; now < 40*time.Second; now += 10 * ms {
		b.Wake(now)
		if h.watches > calls {
			calls = h.watches
			intervals = append(intervals, now-last)
			last = now
			b.UpdateServers(now, balance.ListFailed, nil)
		}
	}
	if len(intervals) < 4 || slices.Max(intervals) >= cfg.AskWithin || intervals[0] >= intervals[len(intervals)-1] {
		t.Fatalf("times between list calls %v: want them to grow and stay below %v", intervals, cfg.AskWithin)
	}
	if b.serverByID(1) == nil {
		t.Fatal("a failed list call dropped the old list")
	}
	b.UpdateServers(40*time.Second, balance.ListFull, readyList(1))
	for now := 40 * time.Second; now < 60*time.Second; now += 10 * ms {
		b.Wake(now)
	}
	if h.watches != calls {
		t.Fatal("another list call though it is subscribed")
	}
}

// A list call without an answer is repeated before AskWithin is over.
func TestUnansweredListCallIsRepeated(t *testing.T) {
	cfg := testConfig()
	cfg.AskList = true
	h := newFakeHost()
	b, _ := New(cfg, 1, h)
	b.Start(0)
	for now := time.Duration(0); now < cfg.AskWithin; now += 50 * ms {
		b.Wake(now)
	}
	if h.watches < 2 {
		t.Fatal("no second list call before AskWithin was over")
	}
}

// Guards against a list call at every Wake, or none after the first, if AskWithin is not known.
func TestUnansweredListCallIsRepeatedWithoutAskWithin(t *testing.T) {
	cfg := testConfig()
	cfg.AskList, cfg.AskWithin = true, 0
	h := newFakeHost()
	b, _ := New(cfg, 1, h)
	b.Start(0)
	for now := time.Duration(0); now < 10*time.Second; now += 50 * ms {
		b.Wake(now)
	}
	if h.watches != 3 {
		t.Fatalf("%d list calls in 10 s, want one at the start and every 4 s", h.watches)
	}
}

// Guards against events about unknown or ended requests that change counts, and against invalid requests that are sent.
func TestInvalidEventsAreIgnored(t *testing.T) {
	b, h := startBalancer(t, testConfig(), readyList(1, 2))
	b.Request(0, balance.Request{ID: 1, Class: 99, TimeLeft: time.Second})
	b.Request(0, balance.Request{ID: 2, Class: -1, TimeLeft: time.Second})
	b.Request(0, balance.Request{ID: 3, Tenant: 7, TimeLeft: time.Second})
	b.Request(0, balance.Request{ID: 4, TimeLeft: 0})
	b.Request(0, balance.Request{ID: 5, TimeLeft: -time.Second})
	if len(h.refused) != 5 || len(h.sends) != 0 {
		t.Fatalf("refused %d, sent %d; want 5 and 0", len(h.refused), len(h.sends))
	}
	sendRequest(b, 0, 6, safeClass)
	sendRequest(b, 0, 6, safeClass) // the id is in use
	endAttempt(b, 0, 6, 3, balance.Served)
	endAttempt(b, 0, 6, -1, balance.Served)
	endAttempt(b, 0, 77, 0, balance.Served)
	b.ClientGone(0, 77)
	b.StreamStarted(0, 77, 0)
	b.BodyEnded(0, 77, time.Second)
	if len(h.sends) != 1 || b.SlotsFree(0) != 5 {
		t.Fatalf("sends %d, slots free %d; want 1 and 5", len(h.sends), b.SlotsFree(0))
	}
	endAttempt(b, ms, 6, 0, balance.Served)
	endAttempt(b, ms, 6, 0, balance.Served) // twice
	if b.SlotsFree(0) != 6 {
		t.Fatalf("slots free %d after a repeated outcome, want 6", b.SlotsFree(0))
	}
}

// The attempt of a client that has left is cancelled. Its slot is free, and the request removed, once the attempt ends.
func TestClientGoneFreesSlotAndRequest(t *testing.T) {
	b, h := startBalancer(t, testConfig(), readyList(1))
	sendRequest(b, 0, 1, safeClass)
	b.ClientGone(ms, 1)
	if len(h.cancelled) != 1 || b.SlotsFree(0) != 5 {
		t.Fatal("the attempt was not cancelled, or its slot was freed before it ended")
	}
	endAttempt(b, 2*ms, 1, 0, balance.Cancelled)
	if len(h.refused)+len(h.failed) != 0 || len(b.requests) != 0 || b.SlotsFree(0) != 6 {
		t.Fatalf("%d answers, %d requests still held, want none", len(h.refused)+len(h.failed), len(b.requests))
	}
}

// A streamed response is not ended by the balancer, even long after the deadline.
func TestStartedStreamIsNotInterrupted(t *testing.T) {
	b, h := startBalancer(t, testConfig(), readyList(1, 2))
	sendRequest(b, 0, 1, safeClass)
	b.StreamStarted(0, 1, 0)
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		b.Wake(now)
	}
	if len(h.refused)+len(h.failed)+len(h.cancelled) != 0 || len(h.sends) != 1 {
		t.Fatal("a started stream was answered, cancelled or sent again")
	}
	b.Outcome(11*time.Second, balance.Outcome{ID: 1, Ending: balance.Broken, Settled: true})
	if len(b.requests) != 0 {
		t.Fatal("the ended stream is still held")
	}
}

// Guards against many balancers that start at once and call discovery at the same moment, so that most calls fail.
func TestFirstListCallsAreSpread(t *testing.T) {
	var early, late int
	for seed := range uint64(40) {
		cfg := testConfig()
		cfg.AskList, cfg.Balancers = true, 40
		h := newFakeHost()
		b, err := New(cfg, seed, h)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		b.UpdateServers(0, balance.ListCached, readyList(1))
		for now := 100 * ms; now <= 2*time.Second+100*ms; now += 100 * ms {
			b.Wake(now)
			if now == time.Second {
				early += h.watches
			}
		}
		late += h.watches
	}
	if early < 10 || early > 30 || late < 40 {
		t.Errorf("%d of 40 balancers called in the first second, %d in two; want about half, and all", early, late)
	}
	cfg := testConfig()
	cfg.AskList, cfg.Balancers = true, 40
	h := newFakeHost()
	b, err := New(cfg, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0)
	b.UpdateServers(0, balance.ListCached, nil)
	if h.watches != 1 {
		t.Errorf("%d list calls at once with no server known, want 1", h.watches)
	}
}

// Guards against requests and servers that are kept in memory after they have ended or left.
func TestMemoryStaysBounded(t *testing.T) {
	b, h := startBalancer(t, testConfig(), readyList(1, 2))
	ended := 0
	for id := range balance.RequestID(20000) {
		now := time.Duration(id) * 5 * ms
		sendRequest(b, now, id, safeClass)
		switch id % 3 {
		case 0:
			endAttempt(b, now+ms, id, 0, balance.Served)
		case 1:
			b.ClientGone(now+ms, id)
			endAttempt(b, now+2*ms, id, 0, balance.Cancelled)
		case 2:
			endAttempt(b, now+ms, id, 0, balance.Broken)
			endAttempt(b, now+2*ms, id, 1, balance.Served)
		}
		if id%100 == 0 {
			b.UpdateServers(now, balance.ListDelta, []balance.Server{{ID: balance.ServerID(1000 + id), State: balance.Ready, Weight: 1}})
			b.UpdateServers(now, balance.ListDelta, []balance.Server{{ID: balance.ServerID(1000 + id), State: balance.Gone}})
		}
		b.Wake(now + 3*ms)
		for ; ended < len(h.sends); ended++ { // queued ones too
			endAttempt(b, now+4*ms, h.sends[ended].id, 0, balance.Served)
			endAttempt(b, now+4*ms, h.sends[ended].id, 1, balance.Served)
		}
	}
	b.Wake(time.Hour)
	if len(b.requests) > 3 || len(b.openRequests) > 3 || len(b.servers) != 2 || cap(b.openRequests) > 100 {
		t.Fatalf("held: %d requests, %d open (room for %d), %d servers",
			len(b.requests), len(b.openRequests), cap(b.openRequests), len(b.servers))
	}
}

// Without a setting for slots, their number is derived from the quotas or, without tenants, from the first list.
func TestDerivedSlots(t *testing.T) {
	cfg := testConfig()
	cfg.Slots = 0
	for _, balancers := range []int{1, 4, 64} {
		cfg.Balancers = balancers
		b, _ := startBalancer(t, cfg, readyList(1))
		limit := 100*1*slotAimShare + 2*slotDeviations*math.Sqrt(100*slotAimShare) + 2
		if b.slots < 2 || float64(b.slots) > limit {
			t.Errorf("%d balancers: %d slots, want 2 to %.0f", balancers, b.slots, limit)
		}
		if b.SlotsFree(0) < b.SlotsFree(1) || b.QueueFree(1) < 1 {
			t.Errorf("%d balancers: compartments %d and %d", balancers, b.SlotsFree(0), b.SlotsFree(1))
		}
	}
	cfg.Tenants, cfg.Balancers = nil, 4 // without tenants: one compartment, sized by the first list
	b, h := startBalancer(t, cfg, readyList(1, 2))
	b.Request(0, balance.Request{ID: 1, Tenant: 5, TimeLeft: time.Second})
	if len(b.compartments) != 1 || b.slots != 7 || len(h.sends) != 1 {
		t.Fatalf("without tenants: %d compartments, %d slots, %d sends", len(b.compartments), b.slots, len(h.sends))
	}
}

// The error of New names the invalid field.
func TestNewNamesTheInvalidField(t *testing.T) {
	for field, invalidate := range map[string]func(*balance.Config){
		"Balancers":     func(c *balance.Config) { c.Balancers = 0 },
		"Classes":       func(c *balance.Config) { c.Classes = nil },
		"MaxAttempts":   func(c *balance.Config) { c.MaxAttempts = 0 },
		"Slots":         func(c *balance.Config) { c.Slots = -1 },
		"ColdFrom":      func(c *balance.Config) { c.ColdFrom = 1.5 },
		"ColdMultiple":  func(c *balance.Config) { c.ColdMultiple = math.Inf(1) },
		"ColdTime":      func(c *balance.Config) { c.ColdTime = -1 },
		"Tick":          func(c *balance.Config) { c.Tick = -1 },
		"Aim":           func(c *balance.Config) { c.Classes[2].Aim = 0 },
		"Deadline":      func(c *balance.Config) { c.Classes[0].Deadline = -1 },
		"LateShare":     func(c *balance.Config) { c.Classes[0].LateShare = math.NaN() },
		"Share":         func(c *balance.Config) { c.Tenants[1].Share = -0.1 },
		"Quota":         func(c *balance.Config) { c.Tenants[1].Quota = math.NaN() },
		"adds up to 0":  func(c *balance.Config) { c.Tenants = []balance.Tenant{{Quota: 5}} },
		"MaxRetryAfter": func(c *balance.Config) { c.MaxRetryAfter = -1 },
	} {
		cfg := testConfig()
		invalidate(&cfg)
		if _, err := New(cfg, 1, newFakeHost()); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v does not name it", field, err)
		}
	}
}

// Guards against a thousand sidecars that all send their first requests to the heaviest servers, which overloaded
// them within 1.3 s: first turns must be spread over all servers in proportion to their weights.
func TestFirstTurnsSpreadOverAFleet(t *testing.T) {
	const balancers, servers = 1200, 60
	sent := map[balance.ServerID]int{}
	cfg := testConfig()
	cfg.Balancers, cfg.Slots = balancers, 0
	for n := range balancers {
		cfg.Index = n
		list := readyList()
		for id := range balance.ServerID(servers) {
			list = append(list, balance.Server{ID: id * 7, State: balance.Ready, Weight: 1 + 2*float64(id%2)})
		}
		b, h := startSeeded(t, cfg, uint64(n), list)
		sendRequest(b, 0, 1, safeClass)
		sent[h.sends[0].to]++
	}
	light, heavy, maxSends := 0, 0, 0
	for id := range balance.ServerID(servers) {
		n := sent[id*7]
		maxSends = max(maxSends, n)
		if id%2 == 0 {
			light += n
		} else {
			heavy += n
		}
	}
	if light < balancers/6 || light > balancers/3 || maxSends > 60 { // in proportion: 300 to the light ones, 30 to each heavy one
		t.Fatalf("first sends: %d to light servers, %d to heavy ones, at most %d to one", light, heavy, maxSends)
	}
}

// Guards against sidecars with little traffic that send to all servers: they hold connections to all of them and never
// learn that one is unresponsive. Together the subsets must still load all servers evenly.
func TestSubsetsFollowTrafficAndCoverTheList(t *testing.T) {
	const balancers, servers = 50, 100
	coverage := map[balance.ServerID]int{}
	cfg := testConfig()
	cfg.Balancers = balancers
	cfg.Tenants = []balance.Tenant{{Share: 1, Quota: 9 * balancers}}
	for n := range balancers {
		cfg.Index = n
		var list []balance.Server
		for id := range balance.ServerID(servers) {
			list = append(list, balance.Server{ID: id, State: balance.Ready, Weight: 1})
		}
		b, _ := startBalancer(t, cfg, list)
		if got := len(b.subset); got != 9 { // 9 requests per second, one turn per second
			t.Fatalf("a subset of %d servers, want 9", got)
		}
		for _, s := range b.subset {
			coverage[s.ID]++
		}
	}
	for id, n := range coverage {
		if n < 3 || n > 6 { // an even part is 4.5
			t.Errorf("server %d is in %d subsets, want about 4.5", id, n)
		}
	}
	if len(coverage) != servers {
		t.Errorf("%d servers covered, want all", len(coverage))
	}
	cfg.Balancers = 3
	b, _ := startBalancer(t, cfg, readyList(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20))
	for i := range 1200 { // ten times as much
		sendRequest(b, time.Duration(i)*10*ms, balance.RequestID(i), safeClass)
		endAttempt(b, time.Duration(i)*10*ms+5*ms, balance.RequestID(i), 0, balance.Served)
	}
	if got := len(b.subset); got != 20 {
		t.Fatalf("a busy balancer sends to %d of 20 servers, want all", got)
	}
}

// Guards against a rate that decays to 0 at the first request, and with it a small subset and low limits, when the
// clock's zero is long ago, as with real clocks.
func TestRateDoesNotDecayBeforeStart(t *testing.T) {
	for _, began := range []time.Duration{0, 56 * 365 * 24 * time.Hour} {
		b, err := New(testConfig(), 1, newFakeHost())
		if err != nil {
			t.Fatal(err)
		}
		b.Start(began)
		b.UpdateServers(began, balance.ListFull, readyList(1, 2))
		sendRequest(b, began+20*ms, 1, safeClass)
		if b.rate < 49 || b.rate > 51 { // half of the quotas' sum
			t.Errorf("started at %v: a rate of %.1f requests per second after the first, want about 50", began, b.rate)
		}
	}
}

// Guards against a fleet in which each balancer sends to a server once per second and shares it with 25 others. In a
// large fleet few balancers share a server, and a balancer with more traffic has a larger subset. In a small
// fleet each may send to all servers.
func TestFewBalancersShareAServerInALargeFleet(t *testing.T) {
	list := readyList()
	for id := range balance.ServerID(60) {
		list = append(list, balance.Server{ID: id, State: balance.Ready, Weight: 1})
	}
	for balancers, want := range map[int]int{5: 60, 80: 7} {
		cfg := testConfig()
		cfg.Balancers = balancers
		cfg.Tenants = []balance.Tenant{{Share: 1, Quota: 2000}}
		b, _ := startBalancer(t, cfg, list)
		if got := len(b.subset); got != want && got != want+1 { // 25 or 400 requests per second each
			t.Errorf("%d balancers: a subset of %d of 60 servers, want %d", balancers, got, want)
		}
		if sharers := float64(balancers*len(b.subset)) / 60; sharers > maxSharersPerServer+1 {
			t.Errorf("%d balancers: %.1f share a server", balancers, sharers)
		}
		b.rate *= 3
		b.updateSubset()
		if got := len(b.subset); got < min(3*want, 60) {
			t.Errorf("%d balancers: a subset of %d for three times the traffic", balancers, got)
		}
	}
}

// Guards against a restarted server that is overloaded (rule 4) within a second of its listing, as hundreds of
// sidecars each send it one request at once.
func TestManyBalancersKeepAColdServersBudget(t *testing.T) {
	const balancers, servers = 400, 40
	cfg := testConfig()
	cfg.Balancers, cfg.Slots = balancers, 0
	cfg.Tenants = []balance.Tenant{{Share: 1, Quota: 4 * balancers}}
	var times []time.Duration
	for n := range balancers {
		cfg.Index = n
		list := readyList()
		for id := range balance.ServerID(servers) {
			list = append(list, balance.Server{ID: id, State: balance.Ready, Weight: 1})
		}
		b, h := startSeeded(t, cfg, uint64(n), list)
		for id := range balance.ServerID(servers) {
			if id != 5 {
				b.serverByID(id).nextTurn = math.Inf(1) // the others are never in turn: all requests are for the cold one
			}
		}
		b.UpdateServers(10*time.Second, balance.ListDelta, []balance.Server{{ID: 5, State: balance.Ready, Weight: 1, Started: 10 * time.Second}})
		for i := range 400 {
			now := 10*time.Second + time.Duration(i)*10*ms
			before := h.sentTo(5)
			if i%10 == n%10 {
				sendRequest(b, now, balance.RequestID(i), unsafeClass)
				if last := h.sends[len(h.sends)-1]; last.to != 5 {
					endAttempt(b, now, last.id, 0, balance.Served)
				}
			}
			b.Wake(now)
			if h.sentTo(5) > before {
				times = append(times, now)
				endAttempt(b, now, balance.RequestID(i), 0, balance.Served)
			}
		}
	}
	// Its capacity is 40 per second when warm and 0.3 of that at first; the limit is three times that in a second.
	for from := 10 * time.Second; from < 13*time.Second; from += 100 * ms {
		got := 0
		for _, at := range times {
			if at >= from && at < from+time.Second {
				got++
			}
		}
		warmth := 0.3 + 0.7*(from-10*time.Second).Seconds()/8
		if limit := 3 * 40 * warmth; float64(got) > limit {
			t.Fatalf("%d sends to the cold server in the second from %v, at most %.0f", got, from, limit)
		}
	}
	if len(times) < 20 {
		t.Fatalf("only %d sends, too few for the test", len(times))
	}
}

// inOrderConfig returns a config with one class whose requests are ordered per key.
func inOrderConfig(settle time.Duration) balance.Config {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:1]
	cfg.Classes[0].InOrder, cfg.OrderSettle, cfg.Slots = true, settle, 20
	return cfg
}

// Rule 5: requests of one key are sent one at a time, in order of arrival; other keys and keyless requests are not
// delayed.
func TestRequestsOfOneKeyAreOrdered(t *testing.T) {
	b, h := startBalancer(t, inOrderConfig(100*ms), readyList(1, 2, 3))
	for id := range balance.RequestID(3) {
		b.Request(0, balance.Request{ID: id, Key: 9, TimeLeft: 2 * time.Second})
	}
	b.Request(0, balance.Request{ID: 3, Key: 8, TimeLeft: 2 * time.Second})
	b.Request(0, balance.Request{ID: 4, TimeLeft: 2 * time.Second})
	if got := sentIDs(h); !slices.Equal(got, []balance.RequestID{0, 3, 4}) {
		t.Fatalf("sent %v, want the first of each key", got)
	}
	endAttempt(b, 10*ms, 0, 0, balance.TurnedAway) // its own retry is not delayed, and no other request overtakes it
	endAttempt(b, 20*ms, 0, 1, balance.Served)
	if got := sentIDs(h); !slices.Equal(got, []balance.RequestID{0, 3, 4, 0, 1}) {
		t.Fatalf("sent %v, want 0 again and then 1", got)
	}
	b.ClientGone(30*ms, 1)
	b.Wake(40 * ms)
	if got := sentIDs(h); len(got) != 5 {
		t.Fatalf("sent %v though the attempt of 1 is still in flight", got)
	}
	endAttempt(b, 50*ms, 1, 0, balance.Cancelled)
	b.Wake(140 * ms)
	if got := sentIDs(h); len(got) != 5 {
		t.Fatalf("sent %v though the cancelled attempt may still be running", got)
	}
	b.Wake(160 * ms)
	if got := sentIDs(h); !slices.Equal(got, []balance.RequestID{0, 3, 4, 0, 1, 2}) {
		t.Fatalf("sent %v, want 2 once OrderSettle is over", got)
	}
}

// Guards against a request that waits for its key and blocks the later requests of its queue.
func TestOneKeyDoesNotBlockOthers(t *testing.T) {
	cfg := inOrderConfig(0)
	cfg.Tenants, cfg.Slots = nil, 10 // two queue places
	b, h := startBalancer(t, cfg, readyList(1, 2))
	for id := range balance.RequestID(2) {
		b.Request(0, balance.Request{ID: id, Key: 9, TimeLeft: 2 * time.Second})
	}
	for id := balance.RequestID(2); b.Counters().Queued < 2; id++ {
		b.Request(0, balance.Request{ID: id, TimeLeft: 2 * time.Second})
	}
	n := len(h.sends)
	endAttempt(b, ms, h.sends[n-1].id, 0, balance.Served)
	if len(h.sends) != n+1 || h.sends[n].id == 1 {
		t.Fatalf("sends %+v, want the request queued behind the one that waits for its key", h.sends[n:])
	}
}

// sentIDs returns the request ids of all attempts, in the order of the sends.
func sentIDs(h *fakeHost) (ids []balance.RequestID) {
	for _, s := range h.sends {
		ids = append(ids, s.id)
	}
	return ids
}

// Rule 6: retries stay within the budget of the period before them.
func TestRetryBudget(t *testing.T) {
	cfg := testConfig()
	cfg.Budget = balance.RetryBudget{Span: time.Second, Free: 1, Share: 0.5}
	b, h := startBalancer(t, cfg, readyList(1, 2, 3))
	try := func(now time.Duration, id balance.RequestID, class int) int {
		n := len(h.sends)
		b.admission = admissionStats{}
		sendRequest(b, now, id, class)
		endAttempt(b, now, id, 0, balance.TurnedAway)
		if len(h.sends) > n+1 {
			endAttempt(b, now, id, 1, balance.Served)
		}
		return len(h.sends) - n
	}
	if try(0, 1, safeClass) != 2 || try(0, 2, unsafeClass) != 2 || try(0, 3, unsafeClass) != 1 {
		t.Fatalf("sends %+v: want one free retry and one for two requests", h.sends)
	}
	if _, ok := h.refused[3]; !ok {
		t.Fatal("a request that never ran and has no retry budget left was not refused")
	}
	// Exactly one span later the requests no longer count, but the retries sent at that time still do.
	if n := try(time.Second, 4, safeClass); n != 1 {
		t.Fatalf("%d sends at the edge of the span, want 1", n)
	}
	if n := try(time.Second+1, 5, safeClass); n != 2 {
		t.Fatalf("%d sends after the span, want 2", n)
	}
}

// A budget that allows no retries differs from the zero value, which sets no limit.
func TestRetryBudgetZeroAndAbsent(t *testing.T) {
	for _, c := range []struct {
		budget balance.RetryBudget
		want   int
	}{{balance.RetryBudget{Span: time.Second}, 1}, {balance.RetryBudget{}, 2}} {
		cfg := testConfig()
		cfg.Budget = c.budget
		b, h := startBalancer(t, cfg, readyList(1, 2, 3))
		sendRequest(b, 0, 1, safeClass)
		endAttempt(b, 0, 1, 0, balance.TurnedAway)
		if len(h.sends) != c.want {
			t.Errorf("budget %+v: %d sends, want %d", c.budget, len(h.sends), c.want)
		}
	}
}

// Rule 7: idle connections are closed when the server starts draining, after each later outcome, and once more.
func TestConnectionsToDrainingServersAreClosed(t *testing.T) {
	cfg := testConfig()
	cfg.CloseWithin = 300 * ms
	b, h := startBalancer(t, cfg, readyList(1))
	sendRequest(b, 0, 1, safeClass)
	b.UpdateServers(10*ms, balance.ListDelta, []balance.Server{{ID: 1, State: balance.Draining}})
	if len(h.closes) != 1 {
		t.Fatalf("%d closes when the server starts draining, want 1", len(h.closes))
	}
	endAttempt(b, 400*ms, 1, 0, balance.Served)
	if len(h.closes) != 2 {
		t.Fatalf("%d closes after the outcome, want 2", len(h.closes))
	}
	b.Wake(700*ms - 1)
	if len(h.closes) != 3 {
		t.Fatalf("%d closes within CloseWithin, want 3", len(h.closes))
	}
	b, h = startBalancer(t, testConfig(), readyList(1))
	b.UpdateServers(10*ms, balance.ListDelta, []balance.Server{{ID: 1, State: balance.Draining}})
	if len(h.closes) != 0 {
		t.Fatal("closed though CloseWithin is not set")
	}
}

// Guards against a server that keeps its turns though its attempts fail, for any reason, or never gets them back.
func TestFailingServerLosesTurnsAndRecovers(t *testing.T) {
	for _, ending := range []balance.Ending{balance.Errored, balance.TurnedAway, balance.NoConnection, balance.Broken, balance.TimedOut} {
		b, h := startBalancer(t, testConfig(), readyList(1, 2, 3, 4))
		now, id := time.Duration(0), balance.RequestID(0)
		run := func(n int, bad balance.Ending) int {
			before := h.sentTo(1)
			for range n {
				now += 50 * ms
				id++
				b.admission = admissionStats{} // admission is not tested here
				sendRequest(b, now, id, unsafeClass)
				for k := len(h.sends); k > 0 && h.sends[k-1].id == id; k = len(h.sends) {
					n := len(b.requests[id].attempts)
					endAttempt(b, now+5*ms, id, n-1, map[bool]balance.Ending{true: bad, false: balance.Served}[h.sends[k-1].to == 1])
					if len(h.sends) == k {
						break
					}
				}
			}
			return h.sentTo(1) - before
		}
		if n := run(400, ending); n > 40 {
			t.Errorf("ending %d: a server that always fails got %d of 400 sends, an even part is 100", ending, n)
		}
		run(200, balance.Served)
		if n := run(100, balance.Served); n < 12 {
			t.Errorf("ending %d: after recovery it got %d of 100 sends, an even part is 25", ending, n)
		}
	}
}

// Guards against a thousand balancers with a slot each that keep sending requests which are all answered late.
func TestAdmissionFollowsTimelyResponses(t *testing.T) {
	sent := func(ending balance.Ending, took time.Duration) int {
		b, h := startBalancer(t, testConfig(), readyList(1, 2, 3, 4))
		for id := range balance.RequestID(200) {
			now := time.Duration(id) * 500 * ms
			n := len(h.sends)
			sendRequest(b, now, id, unsafeClass)
			if len(h.sends) > n {
				endAttempt(b, now+took, id, 0, ending)
			}
		}
		return len(h.sends)
	}
	if n := sent(balance.Served, 100*ms); n != 200 {
		t.Errorf("%d of 200 sent while all are answered in time", n)
	}
	if n := sent(balance.Served, 1500*ms); n > 150 { // late responses must not count as spare capacity
		t.Errorf("%d of 200 sent while all are answered late", n)
	}
	if n := sent(balance.TimedOut, time.Second); n > 120 || n < 20 {
		t.Errorf("%d of 200 sent while none is answered, want 20 to 120", n)
	}
}

// A failure rate of one tenth, as with one bad server of ten, must not cause refusals.
func TestAdmissionToleratesFewFailures(t *testing.T) {
	b, h := startBalancer(t, testConfig(), readyList(1, 2, 3, 4))
	for id := range balance.RequestID(300) {
		now := time.Duration(id) * 100 * ms
		sendRequest(b, now, id, unsafeClass)
		endAttempt(b, now+50*ms, id, 0, map[bool]balance.Ending{true: balance.Errored, false: balance.Served}[id%10 == 9])
	}
	if len(h.sends) != 300 {
		t.Fatalf("%d of 300 sent", len(h.sends))
	}
}

// Guards against a throttle that stays almost closed for half a minute after some seconds without responses, because
// it counts each retry of a refused client in full.
func TestAdmissionReopensAfterRecovery(t *testing.T) {
	b, h := startBalancer(t, testConfig(), readyList(1, 2, 3, 4))
	const every = 5 * ms // 200 per second
	admitted, ended := make([]int, 16), 0
	for id := range balance.RequestID(16 * 200) {
		now := time.Duration(id) * every
		b.Wake(now)
		sendRequest(b, now, id, unsafeClass)
		outcome := balance.Errored
		if now >= 5*time.Second { // servers have recovered
			outcome = balance.Served
		}
		for ; ended < len(h.sends); ended++ {
			admitted[now/time.Second]++
			endAttempt(b, now+every/2, h.sends[ended].id, 0, outcome)
		}
	}
	if admitted[4] > 40 {
		t.Errorf("%d of 200 admitted while none is answered", admitted[4])
	}
	if admitted[15] < 190 {
		t.Errorf("%d of 200 admitted 10 s after recovery; by second %v", admitted[15], admitted)
	}
}

// Load shedding depends on worth: at the same overload, fewer requests of the class with the higher worth are refused.
func TestAdmissionShedsByWorth(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:2]
	cfg.Classes[0].Worth, cfg.Classes[1].Worth = 1, 4
	b, _ := startBalancer(t, cfg, readyList(1, 2))
	b.admission = admissionStats{offered: 40, timely: 10}
	var admitted [2]int
	for i := range 2000 {
		b.admission = admissionStats{offered: 40, timely: 10}
		if b.admit(0, &request{class: &b.classes[i%2]}) {
			admitted[i%2]++
		}
	}
	if admitted[0]*3 > admitted[1]*2 || admitted[0] == 0 {
		t.Fatalf("admitted %v of 1000 each, want far more of the class with the higher worth, and some of the other", admitted)
	}
}

// Guards against overload in a zone with more traffic than its own servers can take: other zones' servers have turns
// too, but fewer, as crossing has a price.
func TestOtherZonesHaveFewerTurns(t *testing.T) {
	cfg := testConfig()
	cfg.CrossZonePrice, cfg.Zone = 0.02, 1
	list := readyList(1, 2, 3, 4)
	list[2].Zone, list[3].Zone = 1, 1
	b, h := startBalancer(t, cfg, list)
	for id := range balance.RequestID(300) {
		sendRequest(b, time.Duration(id)*20*ms, id, safeClass)
		endAttempt(b, time.Duration(id)*20*ms+5*ms, id, 0, balance.Served)
	}
	if far := h.sentTo(1) + h.sentTo(2); far < 50 || far > 70 || b.Counters().Crossed != uint64(far) {
		t.Fatalf("%d of 300 sends crossed, %d counted; want a fifth", far, b.Counters().Crossed)
	}
}

// Guards against a thundering herd: all balancers read the same stale load reports and send to the servers that were
// idle.
func TestStaleLoadReportsAreNotUsed(t *testing.T) {
	for _, stale := range []bool{false, true} {
		cfg := testConfig()
		cfg.MayProbe, cfg.Reports = true, balance.HasInFlight|balance.HasBusy
		b, h := startBalancer(t, cfg, readyList(1, 2, 3))
		seen := 0
		for now := time.Duration(0); now < 3*time.Second; now += 10 * ms {
			b.Wake(now)
			for ; seen < len(h.probes); seen++ {
				l := balance.Load{Has: cfg.Reports, InFlight: 1, Busy: now.Seconds()}
				if stale {
					l.Busy = 0.5
				}
				b.Probed(now, h.probes[seen], true, l)
			}
		}
		n := len(h.probes)
		sendRequest(b, 4*time.Second, 1, safeClass)
		if queried := len(h.probes) > n; queried == stale {
			t.Errorf("stale %v: load queried before sending: %v", stale, queried)
		}
	}
}

// A server that answers again after silence counts as cold before the list announces its restart.
func TestServerThatAnswersAfterSilenceIsCold(t *testing.T) {
	b, h := startBalancer(t, testConfig(), readyList(1))
	sendRequest(b, 0, 1, unsafeClass)
	endAttempt(b, time.Second, 1, 0, balance.TimedOut)
	b.admission = admissionStats{}
	sendRequest(b, 1100*ms, 2, unsafeClass)
	endAttempt(b, 2100*ms, 2, 0, balance.TimedOut)
	b.admission = admissionStats{}
	sendRequest(b, 3*time.Second, 3, unsafeClass)
	endAttempt(b, 3100*ms, 3, 0, balance.Served)
	if b.serverByID(1).warmAt != 3100*ms+8*time.Second || len(h.log) == 0 {
		t.Fatalf("cold until %v, log %q", b.serverByID(1).warmAt, h.log)
	}
}

// Guards against sampling that never ends because failed probes are not counted.
func TestSamplingEndsIfProbesFail(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.Reports = true, balance.HasInFlight
	b, h := startBalancer(t, cfg, readyList(1, 2, 3))
	seen := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		b.Wake(now)
		for ; seen < len(h.probes); seen++ {
			b.Probed(now, h.probes[seen], false, balance.Load{})
		}
	}
	if len(h.probes) > 2*maxReportPairs {
		t.Fatalf("%d probes, none of which was answered", len(h.probes))
	}
}

// Rule 1: nothing is sent for a request that is answered, streaming, late or out of attempts.
func TestMaySendKeepsRule1(t *testing.T) {
	b, _ := startBalancer(t, testConfig(), readyList(1))
	for name, r := range map[string]*request{
		"answered":          {ended: true, deadline: time.Second},
		"streaming":         {streaming: true, deadline: time.Second},
		"late":              {deadline: 100 * ms},
		"already in flight": {deadline: time.Second, attemptsInFlight: 1},
		"out of attempts":   {deadline: time.Second, attempts: make([]attempt, b.cfg.MaxAttempts)},
	} {
		r.class = &b.classes[safeClass]
		if b.maySend(100*ms, r, b.servers[0]) {
			t.Errorf("a request that is %s may be sent", name)
		}
	}
	if !b.maySend(100*ms, &request{class: &b.classes[safeClass], deadline: time.Second}, b.servers[0]) {
		t.Error("an ordinary request may not be sent")
	}
}

// Guards against a burst of one tenant's traffic that overloads small subsets: load queries find every server of the
// subset full, and the requests go there all the same.
func TestSubsetGrowsIfReportsAreFresh(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.Reports = true, balance.HasInFlight|balance.HasBusy
	b, h := startBalancer(t, cfg, readyList(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20))
	b.rate, b.rateAt = 4, 0
	b.updateSubset()
	sizeBefore := len(b.subset)
	for seen, now := 0, time.Duration(0); now < time.Second; now += 10 * ms {
		b.Wake(now)
		for ; seen < len(h.probes); seen++ {
			b.Probed(now, h.probes[seen], true, balance.Load{Has: cfg.Reports, InFlight: 1, Busy: now.Seconds()})
		}
	}
	b.rate, b.rateAt = 4, time.Second
	sendRequest(b, time.Second, 1, safeClass)
	if len(b.subset) < 2*sizeBefore {
		t.Fatalf("a subset of %d, and of %d before reports were found fresh", len(b.subset), sizeBefore)
	}
}

// Guards against a partitioned zone whose time-outs hold back the requests for all other servers: time-outs of servers
// that are known to be bad do not count as congestion.
func TestTimeoutsOfBadServersAreNotCongestion(t *testing.T) {
	for _, bad := range []bool{false, true} {
		b, _ := startBalancer(t, testConfig(), readyList(1))
		if bad {
			b.serverByID(1).latencyRatio = failureLatencyRatio
		}
		sendRequest(b, 0, 1, unsafeClass)
		endAttempt(b, time.Second, 1, 0, balance.TimedOut)
		if congested := b.congestion > 0; congested == bad {
			t.Errorf("bad server %v: a time-out counts as congestion: %v", bad, congested)
		}
	}
}

// An attempt that still waits for its connection is withdrawn when it must not be sent any more, whether or not
// cancelling is allowed. A request that still needs an answer then goes to another server.
func TestWithdraw(t *testing.T) {
	list := func(kind balance.ListKind, s balance.State, ids ...balance.ServerID) func(*Balancer) {
		entries := readyList(ids...)
		for i := range entries {
			entries[i].State = s
		}
		return func(b *Balancer) { b.UpdateServers(ms, kind, entries) }
	}
	set := func(r balance.Rules) func(*Balancer) { return func(b *Balancer) { b.SetRules(ms, r) } }
	for name, c := range map[string]struct {
		event              func(*Balancer)
		withdrawn, retried bool
	}{
		"drains":                  {list(balance.ListDelta, balance.Draining, 1), true, true},
		"gone":                    {list(balance.ListDelta, balance.Gone, 1), true, true},
		"absent from a full list": {list(balance.ListFull, balance.Ready, 2), true, true},
		"disabled by an operator": {func(b *Balancer) { b.Disable(ms, 1) }, true, true},
		"excluded by a rule set":  {set(balance.Rules{Servers: map[balance.ServerID]float64{1: 0}}), true, true},
		"another drains":          {list(balance.ListDelta, balance.Draining, 2), false, false},
		"restarted": {func(b *Balancer) {
			b.UpdateServers(ms, balance.ListDelta, []balance.Server{{ID: 1, State: balance.Ready, Started: ms}})
		}, false, false},
		"client gone":        {func(b *Balancer) { b.ClientGone(ms, 1) }, true, false},
		"deadline passed":    {func(b *Balancer) { b.Wake(2 * time.Second) }, true, false},
		"response streaming": {func(b *Balancer) { b.StreamStarted(ms, 1, 0) }, false, false},
	} {
		cfg := testConfig()
		cfg.MayCancel = false
		b, h := startBalancer(t, cfg, readyList(1))
		sendRequest(b, 0, 1, unsafeClass)
		b.UpdateServers(0, balance.ListDelta, readyList(2))
		if c.event(b); (len(h.withdrawn) > 0) != c.withdrawn || len(h.cancelled) > 0 {
			t.Errorf("%s: withdrawn %v, cancelled %v, want withdrawn: %v", name, h.withdrawn, h.cancelled, c.withdrawn)
		}
		if c.withdrawn {
			endAttempt(b, 2*ms, 1, 0, balance.NotSent)
		}
		if h.sentTo(2) == 1 != c.retried || b.SlotsFree(0) != 6-len(h.sends)+1 && c.withdrawn {
			t.Errorf("%s: sent %v, %d slots free; want another server: %v", name, h.sends, b.SlotsFree(0), c.retried)
		}
	}
}

// Guards against a class whose aim is longer than its deadline: every wait counted as late at once, so that its
// requests were neither queued nor retried.
func TestAimLongerThanDeadline(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[safeClass].Aim = 8 * cfg.Classes[safeClass].Deadline
	b, h := startBalancer(t, cfg, readyList(1, 2))
	sendRequest(b, 0, 1, safeClass)
	endAttempt(b, 10*ms, 1, 0, balance.Errored)
	if len(h.sends) != 2 {
		t.Fatalf("%d attempts, %d refused, want a second attempt at once", len(h.sends), len(h.refused))
	}
}
