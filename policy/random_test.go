package policy

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"arrowgw/internal/balance"
)

// randomHost is a Host that plays random valid events to a Balancer and checks the rules at every action. It does not
// model the timing of servers: it chooses what happens.
type randomHost struct {
	t            testing.TB
	cfg          balance.Config
	b            *Balancer
	now          time.Duration
	lastID       balance.RequestID
	requests     map[balance.RequestID]*requestRecord
	requestIDs   []balance.RequestID // ids of requests, in order, so that a run can be repeated
	listed       map[balance.ServerID]balance.Server
	trace        []string
	watches      int
	requestTimes []time.Duration                      // arrivals, for the retry budget
	retryTimes   []time.Duration                      // retries, for the retry budget
	listStable   bool                                 // the list rarely changes
	keySettledAt map[uint64]time.Duration             // end of OrderSettle, by key
	coldSends    map[balance.ServerID][]time.Duration // sends to each cold server since it was listed as started
	closeIdleBy  map[balance.ServerID]time.Duration   // time by which idle connections must be closed, by server
	sets         bool                                 // rule sets are played too
	rules        balance.Rules                        // the rule set in force
	rulesSince   time.Duration                        // time at which it was put in force
	slotsInUse   []int                                // slots in use, by compartment
}

// requestRecord is one request as the host sees it.
type requestRecord struct {
	request  balance.Request
	deadline time.Duration
	attempts []attemptRecord
	answered bool
	arrival  int // position in the order of arrival
}

// attemptRecord is one attempt as the host sees it.
type attemptRecord struct {
	to         balance.Server
	sent       time.Duration
	end        balance.Ending
	inFlight   bool
	connecting bool // it still waits for its connection
	withdrawn  bool // Host.Withdraw was called for it
}

// mayHaveRun returns the first attempt that may have run, or nil.
func (r *requestRecord) mayHaveRun() *attemptRecord {
	for i := range r.attempts {
		if e := r.attempts[i].end; r.attempts[i].inFlight || (e != balance.TurnedAway && e != balance.NoConnection && e != balance.NotSent) {
			return &r.attempts[i]
		}
	}
	return nil
}

func (h *randomHost) note(format string, args ...any) {
	h.trace = append(h.trace, fmt.Sprintf(format, args...))
}

// Send implements balance.Host. It checks the rules that apply to a send.
func (h *randomHost) Send(id balance.RequestID, to balance.ServerID, timeout, sendWithin time.Duration) {
	h.note("send %d %d %v", id, to, timeout)
	r, s := h.requests[id], h.listed[to]
	switch {
	case r == nil || r.answered:
		h.t.Fatalf("rule 1: attempt for request %d, which is answered or unknown", id)
	case s.State != balance.Ready:
		h.t.Fatalf("rule 3: attempt at server %d in state %d", to, s.State)
	case excluded(h.rules, s):
		h.t.Fatalf("rule 3: attempt at server %d of zone %d, which is excluded", to, s.Zone)
	case timeout <= 0 || h.now+timeout > r.deadline:
		h.t.Fatalf("rule 1: time-out %v at %v is after the deadline %v", timeout, h.now, r.deadline)
	case len(r.attempts) >= h.cfg.MaxAttempts:
		h.t.Fatalf("attempt %d of at most %d", len(r.attempts)+1, h.cfg.MaxAttempts)
	}
	class := h.cfg.Classes[r.request.Class]
	if first := r.mayHaveRun(); first != nil {
		switch {
		case class.Idempotency == balance.Unsafe:
			h.t.Fatalf("rule 2: unsafe request %d sent again though it may have run", id)
		case class.Idempotency == balance.Keyed && h.now+cmp.Or(sendWithin, timeout) > first.sent+class.DedupWindow:
			h.t.Fatalf("rule 2: keyed request %d may be sent again %v after the first send", id, h.now+cmp.Or(sendWithin, timeout)-first.sent)
		case class.Idempotency == balance.Keyed && class.Scope == balance.ScopeZone && s.Zone != first.to.Zone,
			class.Idempotency == balance.Keyed && class.Scope == balance.ScopeCell && s.Cell != first.to.Cell:
			h.t.Fatalf("rule 2: keyed request %d sent outside its scope", id)
		}
	}
	h.checkKeyOrder(r)
	h.checkColdBudget(s)
	if n := r.attemptsInFlight(); n > 0 { // no setting allows two at a time
		h.t.Fatalf("rule 2: request %d sent while %d of its attempts are in flight", id, n)
	}
	if len(r.attempts) > 0 {
		h.retryTimes = append(h.retryTimes, h.now)
	}
	if b := h.cfg.Budget; len(r.attempts) > 0 && b.Span > 0 {
		retries, arrivals := 0, 0
		for _, t := range h.retryTimes {
			if t >= max(h.now-b.Span, h.rulesSince) {
				retries++
			}
		}
		for _, t := range h.requestTimes {
			if t > h.now-b.Span {
				arrivals++
			}
		}
		if float64(retries) > b.Free+b.Share*float64(arrivals)+1e-6 {
			h.t.Fatalf("rule 6: %d retries in %v, in which %d requests arrived", retries, b.Span, arrivals)
		}
	}
	r.attempts = append(r.attempts, attemptRecord{to: s, sent: h.now, inFlight: true, connecting: id%2 == 0})
}

func (h *randomHost) Withdraw(id balance.RequestID, attempt int) {
	h.note("withdraw %d %d", id, attempt)
	if a := &h.requests[id].attempts[attempt]; a.inFlight && a.connecting {
		a.withdrawn = true
	}
}

// checkWithdrawn checks that no attempt waits for a connection that must not be used once it is open.
func (h *randomHost) checkWithdrawn() {
	for id, r := range h.requests {
		for _, a := range r.attempts {
			s, listed := h.listed[a.to.ID]
			outOfService := !listed || s.State != balance.Ready || excluded(h.rules, s)
			if a.inFlight && a.connecting && !a.withdrawn && (r.answered || outOfService) {
				h.t.Fatalf("request %d, answered %v, still waits for its connection to server %d, %+v", id, r.answered, a.to.ID, s)
			}
		}
	}
}

// attemptsInFlight returns the number of attempts in flight.
func (r *requestRecord) attemptsInFlight() (n int) {
	for _, a := range r.attempts {
		if a.inFlight {
			n++
		}
	}
	return n
}

// checkColdBudget checks, at a send, that this balancer uses no more than an even part of a cold server's budget.
func (h *randomHost) checkColdBudget(s balance.Server) {
	age := h.now - s.Started
	if s.Started == 0 || age >= h.cfg.ColdTime {
		return
	}
	h.coldSends[s.ID] = append(h.coldSends[s.ID], h.now)
	n := 0
	for _, at := range h.coldSends[s.ID] {
		if at > h.now-time.Second {
			n++
		}
	}
	quota := 0.0
	for _, t := range h.cfg.Tenants {
		quota += t.Quota
	}
	warmth := h.cfg.ColdFrom + (1-h.cfg.ColdFrom)*float64(age)/float64(h.cfg.ColdTime)
	if limit := 1 + h.cfg.ColdMultiple*warmth*quota/float64(h.cfg.Balancers); float64(n) > limit {
		h.t.Fatalf("rule 4: %d sends in a second to server %d, cold for %v, at most %.1f", n, s.ID, age, limit)
	}
}

// checkKeyOrder checks rule 5, the order of requests per key, at a send.
func (h *randomHost) checkKeyOrder(r *requestRecord) {
	ordered := func(o *requestRecord) bool {
		return h.cfg.Classes[o.request.Class].InOrder && o.request.Key == r.request.Key && r.request.Key != 0
	}
	if !ordered(r) {
		return
	}
	for id, o := range h.requests {
		inFlight := slices.ContainsFunc(o.attempts, func(tr attemptRecord) bool { return tr.inFlight })
		if o != r && ordered(o) && o.arrival < r.arrival && (!o.answered || inFlight) {
			h.t.Fatalf("rule 5: request %d sent while request %d of its key is not ended", r.request.ID, id)
		}
	}
	if len(r.attempts) == 0 && h.now < h.keySettledAt[r.request.Key] {
		h.t.Fatalf("rule 5: request %d sent %v before OrderSettle of its key is over", r.request.ID, h.keySettledAt[r.request.Key]-h.now)
	}
}

// checkIdleClosed checks rule 7: idle connections to draining servers are closed in time.
func (h *randomHost) checkIdleClosed() {
	for id, until := range h.closeIdleBy {
		if h.now > until {
			h.t.Fatalf("rule 7: idle connections to server %d still open %v after they had to be closed", id, h.now-until)
		}
	}
}

// mustClose sets the time by which idle connections to a server must be closed, if it is draining.
func (h *randomHost) mustClose(id balance.ServerID) {
	if h.cfg.CloseWithin > 0 && h.listed[id].State == balance.Draining {
		h.closeIdleBy[id] = h.now + h.cfg.CloseWithin
	}
}

// answer checks rule 1, one answer in time for each request, and returns the request.
func (h *randomHost) answer(id balance.RequestID) *requestRecord {
	r := h.requests[id]
	if r == nil || r.answered {
		h.t.Fatalf("rule 1: second answer for request %d, or the request is unknown", id)
	}
	if h.now > r.deadline+20*ms {
		h.t.Fatalf("rule 1: answered %v after the deadline", h.now-r.deadline)
	}
	r.answered = true
	return r
}

// Refuse implements balance.Host. It checks that a refused request had no effect or may be repeated.
func (h *randomHost) Refuse(id balance.RequestID, retryAfter time.Duration, _ balance.Reason) {
	h.note("refuse %d %v", id, retryAfter)
	r := h.answer(id)
	class := h.cfg.Classes[r.request.Class]
	if r.mayHaveRun() != nil && (class.Idempotency == balance.Unsafe || class.Idempotency == balance.Keyed && class.Scope != balance.ScopeAll) {
		h.t.Fatalf("rule 2: request %d refused though it may have run", id)
	}
	if retryAfter < 0 || retryAfter > h.cfg.MaxRetryAfter {
		h.t.Fatalf("retry delay %v", retryAfter)
	}
}

func (h *randomHost) Fail(id balance.RequestID, _ balance.Reason) {
	h.note("fail %d", id)
	h.answer(id)
}
func (h *randomHost) Cancel(id balance.RequestID, attempt int) { h.note("cancel %d %d", id, attempt) }
func (h *randomHost) Wake(d time.Duration)                     { h.note("wake %v", d) }
func (h *randomHost) Probe(to balance.ServerID)                { h.note("probe %d", to) }
func (h *randomHost) CloseIdle(to balance.ServerID) {
	h.note("close %d", to)
	delete(h.closeIdleBy, to)
}
func (h *randomHost) WatchList()      { h.note("watch"); h.watches++ }
func (h *randomHost) Log(line string) { h.note("log %s", line) }

// excluded reports whether a rule set excludes a server.
func excluded(r balance.Rules, s balance.Server) bool {
	multiple, ok := r.Servers[s.ID]
	zoneMultiple, zoneOK := r.Zones[s.Zone]
	return ok && multiple == 0 || zoneOK && zoneMultiple == 0
}

// randomRules returns a rule set that is valid for these settings, now and then the empty one.
func randomRules(t testing.TB, settings balance.Config, pick func(int) int) balance.Rules {
	r := balance.Rules{MaxAttempts: pick(settings.MaxAttempts + 1)}
	if pick(2) == 0 {
		r.Tenants = []balance.Tenant{{Share: float64(pick(4)), Quota: float64(pick(3) * 40)}, {Share: 0.5, Quota: float64(pick(50))}}
	}
	if pick(2) == 0 {
		r.Budget = &balance.RetryBudget{Span: time.Duration(1+pick(2000)) * ms, Free: float64(pick(3)), Share: float64(pick(3)) / 5}
	}
	multiple := func() float64 { return []float64{0, 0.1, 1, 3}[pick(4)] }
	if pick(2) == 0 {
		r.Servers = map[balance.ServerID]float64{balance.ServerID(pick(9)): multiple(), balance.ServerID(pick(9)): multiple()}
	}
	if pick(3) == 0 {
		r.Zones = map[int]float64{pick(3): multiple()}
	}
	if pick(4) == 0 {
		r = balance.Rules{}
	}
	if err := r.Check(settings); err != nil {
		t.Fatalf("%+v: %v", r, err)
	}
	return r
}

// setRules puts a rule set in force and updates h.cfg.
func (h *randomHost) setRules(settings balance.Config, r balance.Rules) {
	for id, s := range h.listed {
		if h.cfg.CloseWithin > 0 && s.State == balance.Ready && excluded(r, s) && !excluded(h.rules, s) {
			h.closeIdleBy[id] = h.now + h.cfg.CloseWithin
		}
	}
	h.rules, h.rulesSince, h.cfg = r, h.now, settings
	h.cfg.MaxAttempts = cmp.Or(r.MaxAttempts, settings.MaxAttempts)
	if r.Tenants != nil {
		h.cfg.Tenants = r.Tenants
	}
	if r.Budget != nil {
		h.cfg.Budget = *r.Budget
	}
	clear(h.coldSends) // cold budgets depend on the quotas
	h.b.SetRules(h.now, r)
}

// playRandomEvents plays a number of random events, with or without rule sets and fleet updates, and returns the trace
// of actions. pick(n) chooses among n possibilities.
func playRandomEvents(t testing.TB, steps int, sets bool, pick func(n int) int) []string {
	cfg := testConfig()
	cfg.AskList, cfg.MayProbe = true, true
	cfg.Reports = []balance.LoadFields{0, balance.HasInFlight, balance.HasInFlight | balance.HasBusy, balance.HasBusy | balance.HasService}[pick(4)]
	cfg.Balancers = []int{2, 50}[pick(2)]
	cfg.CloseWithin = time.Duration(pick(2)) * 100 * ms
	cfg.OrderSettle = time.Duration(pick(3)) * 50 * ms
	cfg.Slots = []int{0, 8, 40}[pick(3)]
	if pick(2) == 0 {
		cfg.Budget = balance.RetryBudget{Span: time.Second, Free: float64(pick(3)), Share: float64(pick(3)) / 5}
	}
	for i := range cfg.Classes {
		cfg.Classes[i].InOrder = pick(2) == 0
	}
	cfg.CrossZonePrice = float64(pick(2)) * 0.02
	h := &randomHost{t: t, cfg: cfg, requests: map[balance.RequestID]*requestRecord{}, listed: map[balance.ServerID]balance.Server{}, now: time.Hour}
	h.coldSends = map[balance.ServerID][]time.Duration{}
	h.listStable = pick(2) == 0
	h.keySettledAt, h.closeIdleBy = map[uint64]time.Duration{}, map[balance.ServerID]time.Duration{}
	b, err := New(cfg, uint64(pick(1000)), h)
	if err != nil {
		t.Fatal(err)
	}
	h.b, h.sets, h.slotsInUse = b, sets, make([]int, len(cfg.Tenants))
	b.Start(h.now)
	for range steps {
		if sets && pick(12) == 0 {
			h.setFleet(pick)
		}
		if sets && pick(12) == 0 {
			h.setRules(cfg, randomRules(t, cfg, pick))
		}
		h.step(pick)
		h.checkIdleClosed()
		h.checkCounts()
		h.checkWithdrawn()
	}
	for range 600 { // all remaining requests must be answered in time
		h.now += 5 * ms
		h.endTimedOut()
		b.Wake(h.now)
		h.checkCounts()
		h.checkIdleClosed()
	}
	for id, r := range h.requests {
		if !r.answered {
			t.Fatalf("rule 1: request %d was never answered", id)
		}
	}
	if len(b.requests) != 0 || b.inFlight != 0 {
		t.Fatalf("%d requests and %d attempts are still held", len(b.requests), b.inFlight)
	}
	return h.trace
}

// setFleet announces the configured number of balancers with arbitrary traffic, and checks the subset and the turns.
func (h *randomHost) setFleet(pick func(int) int) {
	f := balance.Fleet{Present: h.cfg.Balancers, Agreed: pick(2) == 0}
	for range pick(8) {
		rate := []float64{1, 20, 0.1, 0, -1, 1e9, math.NaN(), math.Inf(1)}[pick(8)]
		f.Sharers = append(f.Sharers, balance.Sharer{Index: pick(5) - 1, Zone: pick(3), Rate: rate})
	}
	h.b.SetFleet(h.now, f)
	for _, s := range h.b.readyServers() {
		if !(s.turnMultiple >= 1/maxTurnMultiple && s.turnMultiple <= maxTurnMultiple) {
			h.t.Fatalf("server %d has a turn multiple of %v by %+v", s.ID, s.turnMultiple, f.Sharers)
		}
	}
	outOfService := slices.ContainsFunc(h.b.subset, func(s *server) bool { return !s.inService() })
	if outOfService || len(h.b.subset) == 0 && len(h.b.readyServers()) > 0 {
		h.t.Fatalf("a subset of %d by %+v, with a server out of service: %v", len(h.b.subset), f.Sharers, outOfService)
	}
}

// step plays one random event.
func (h *randomHost) step(pick func(int) int) {
	h.now += time.Duration(pick(8)) * ms
	h.endTimedOut()
	switch pick(10) {
	case 0, 1, 2:
		h.lastID++
		q := balance.Request{ID: h.lastID, Class: pick(len(h.cfg.Classes)), Tenant: pick(2)}
		q.TimeLeft = time.Duration(1+pick(2000)) * ms
		q.Key = uint64(pick(4))
		h.requests[q.ID] = &requestRecord{request: q, deadline: h.now + q.TimeLeft, arrival: int(h.lastID)}
		h.requestTimes = append(h.requestTimes, h.now)
		h.requestIDs = append(h.requestIDs, q.ID)
		h.b.Request(h.now, q)
	case 3, 4, 5:
		h.finish(pick)
	case 6:
		h.b.Wake(h.now)
	case 7:
		if !h.listStable || len(h.listed) == 0 || pick(30) == 0 {
			h.updateServers(pick)
		}
	case 8:
		h.b.Probed(h.now, balance.ServerID(pick(8)), pick(2) == 0, h.load(pick(200)))
	case 9:
		if len(h.requestIDs) > 0 {
			if id := h.requestIDs[pick(len(h.requestIDs))]; !h.requests[id].answered {
				h.requests[id].answered = true
				h.b.ClientGone(h.now, id)
			}
		}
	}
}

// finish ends one attempt in flight.
func (h *randomHost) finish(pick func(int) int) {
	for range 4 {
		if len(h.requestIDs) == 0 {
			return
		}
		id := h.requestIDs[pick(len(h.requestIDs))]
		for i := range h.requests[id].attempts {
			if h.requests[id].attempts[i].inFlight {
				e := []balance.Ending{balance.Served, balance.Errored, balance.TurnedAway, balance.NoConnection, balance.Broken, balance.Cancelled, balance.NotSent}[pick(7)]
				if h.requests[id].attempts[i].withdrawn {
					e = balance.NotSent
				}
				h.end(id, i, e)
				return
			}
		}
	}
}

// end ends attempt i of a request.
func (h *randomHost) end(id balance.RequestID, i int, e balance.Ending) {
	r := h.requests[id]
	r.attempts[i].inFlight, r.attempts[i].end = false, e
	settled := r.answered || e == balance.Served
	r.answered = settled
	if h.cfg.Classes[r.request.Class].InOrder && (e == balance.TimedOut || e == balance.Broken || e == balance.Cancelled) {
		h.keySettledAt[r.request.Key] = h.now + h.cfg.OrderSettle
	}
	h.mustClose(r.attempts[i].to.ID)
	h.b.Outcome(h.now, balance.Outcome{ID: id, Attempt: i, Ending: e, Settled: settled, Load: h.load(int(id))})
}

// endTimedOut wakes the Balancer as its timers would, and ends the attempts whose request has passed its deadline.
func (h *randomHost) endTimedOut() {
	h.b.Wake(h.now)
	for _, id := range h.requestIDs {
		for i := range h.requests[id].attempts {
			if r := h.requests[id]; r.attempts[i].inFlight && h.now >= r.deadline {
				h.end(id, i, balance.TimedOut)
			}
		}
	}
}

// updateServers plays a random server list event.
func (h *randomHost) updateServers(pick func(int) int) {
	entry := func() balance.Server {
		id := balance.ServerID(pick(8))
		s := balance.Server{ID: id, Zone: int(id) % 2, Cell: int(id) / 2 % 2 * 2, State: balance.State(pick(3)), Weight: float64(pick(4))}
		s.Cell += s.Zone // no two zones share a cell
		if pick(4) == 0 {
			s.Started = h.now - time.Duration(pick(10000))*ms
		}
		return s
	}
	kind := balance.ListKind(pick(4))
	if kind == balance.ListFailed {
		h.b.UpdateServers(h.now, kind, nil)
		return
	}
	var entries []balance.Server
	before := maps.Clone(h.listed)
	if kind != balance.ListDelta {
		clear(h.listed)
	}
	for range pick(8) {
		s := entry()
		if slices.ContainsFunc(entries, func(o balance.Server) bool { return o.ID == s.ID }) {
			continue
		}
		entries = append(entries, s)
		if old, ok := before[s.ID]; !ok || s.Started > old.Started || old.State == balance.Gone {
			delete(h.coldSends, s.ID)
		}
		h.listed[s.ID] = s
	}
	if kind != balance.ListDelta {
		clear(h.closeIdleBy)
	}
	for _, s := range entries {
		delete(h.closeIdleBy, s.ID)
		h.mustClose(s.ID)
	}
	h.b.UpdateServers(h.now, kind, entries)
}

// load returns a load report with the fields that the settings name, now and then the zero value.
func (h *randomHost) load(n int) balance.Load {
	if n%3 == 0 {
		return balance.Load{}
	}
	return balance.Load{Has: h.cfg.Reports, InFlight: float64(n % 40), Busy: float64(n%11) / 10,
		Service: time.Duration(n%7) * 20 * ms}
}

// checkCounts checks that slots and attempts in flight are counted exactly, and drops the records of ended requests.
func (h *randomHost) checkCounts() {
	used := make([]int, len(h.cfg.Tenants))
	inFlight := 0
	for _, r := range h.requests {
		for _, a := range r.attempts {
			if a.inFlight {
				used[r.request.Tenant]++
				inFlight++
			}
		}
	}
	for i, c := range h.b.compartments {
		if limit := max(c.slots, h.slotsInUse[i]); c.slotsInUse != used[i] || c.slotsInUse > limit || h.b.SlotsFree(i) < 0 || h.b.QueueFree(i) < 0 {
			h.t.Fatalf("compartment %d: %d of %d slots in use, %d before, %d attempts in flight", i, c.slotsInUse, c.slots, h.slotsInUse[i], used[i])
		}
		h.slotsInUse[i] = used[i] // attempts beyond a shrunken compartment may finish
	}
	if h.b.inFlight != inFlight {
		h.t.Fatalf("%d attempts counted, %d in flight", h.b.inFlight, inFlight)
	}
	for _, s := range h.b.servers {
		if s.inFlight < 0 {
			h.t.Fatalf("server %d has %d attempts in flight", s.ID, s.inFlight)
		}
	}
	if len(h.requestIDs) > 60 { // drop the ended requests
		h.requestIDs = slices.DeleteFunc(h.requestIDs, func(id balance.RequestID) bool {
			a := h.requests[id]
			ended := a.answered && !slices.ContainsFunc(a.attempts, func(tr attemptRecord) bool { return tr.inFlight })
			if ended {
				delete(h.requests, id)
			}
			return ended
		})
	}
}

// The rules must hold for random events.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 7))
		playRandomEvents(t, 600, false, rng.IntN)
	}
}

// The rules must hold for random events with rule sets and fleet updates.
func TestRulesUnderRandomRuleSets(t *testing.T) {
	for seed := range uint64(150) {
		playRandomEvents(t, 600, true, rand.New(rand.NewPCG(seed, 11)).IntN)
	}
}

// Guards against decisions that depend on anything but the events and the seed, such as the order of a map.
func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(5) {
		a := playRandomEvents(t, 800, seed%2 > 0, rand.New(rand.NewPCG(seed, 3)).IntN)
		b := playRandomEvents(t, 800, seed%2 > 0, rand.New(rand.NewPCG(seed, 3)).IntN)
		if !slices.Equal(a, b) {
			t.Fatalf("seed %d: two runs over the same events differ", seed)
		}
	}
}

// FuzzRules plays events that the fuzzer's bytes choose.
func FuzzRules(f *testing.F) {
	f.Add([]byte("a seed of some length, so that a few events happen"))
	f.Add([]byte{0, 1, 7, 7, 7, 7, 0, 0, 0, 3, 3, 3, 9, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		at := 0
		playRandomEvents(t, min(len(data)/2, 400), len(data)%2 > 0, func(n int) int {
			if len(data) == 0 {
				return 0
			}
			v := int(data[at%len(data)]) + 251*(at/len(data)) + at
			at++
			return v % n
		})
	})
}
