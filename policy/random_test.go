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
	requestTimes []time.Duration // arrivals, for the retry budget
	retryTimes   []time.Duration // retries, for the retry budget
	listStable   bool            // the list rarely changes
	keySettledAt map[uint64]time.Duration
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
	withdrawn  bool // it was withdrawn
}

// mayHaveRun returns the first attempt that may have run, or nil.
func (a *requestRecord) mayHaveRun() *attemptRecord {
	for i := range a.attempts {
		if e := a.attempts[i].end; a.attempts[i].inFlight || (e != balance.TurnedAway && e != balance.NoConnection && e != balance.NotSent) {
			return &a.attempts[i]
		}
	}
	return nil
}

func (w *randomHost) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

func (w *randomHost) Send(id balance.RequestID, to balance.ServerID, timeout, unsent time.Duration) {
	w.note("send %d %d %v", id, to, timeout)
	a, s := w.requests[id], w.listed[to]
	switch {
	case a == nil || a.answered:
		w.t.Fatalf("rule 1: attempt for request %d, which is over", id)
	case s.State != balance.Ready:
		w.t.Fatalf("rule 3: attempt at server %d in state %d", to, s.State)
	case excluded(w.rules, s):
		w.t.Fatalf("rule 3: attempt at server %d of zone %d, which are excluded", to, s.Zone)
	case timeout <= 0 || w.now+timeout > a.deadline:
		w.t.Fatalf("rule 1: time-out %v at %v runs past the deadline %v", timeout, w.now, a.deadline)
	case len(a.attempts) >= w.cfg.MaxAttempts:
		w.t.Fatalf("attempt %d of at most %d", len(a.attempts)+1, w.cfg.MaxAttempts)
	}
	class := w.cfg.Classes[a.request.Class]
	if first := a.mayHaveRun(); first != nil {
		switch {
		case class.Idempotency == balance.Unsafe:
			w.t.Fatalf("rule 2: unsafe request %d sent again though it may have run", id)
		case class.Idempotency == balance.Keyed && w.now+cmp.Or(unsent, timeout) > first.sent+class.DedupWindow:
			w.t.Fatalf("rule 2: keyed request %d may be sent again %v after the first send", id, w.now+cmp.Or(unsent, timeout)-first.sent)
		case class.Idempotency == balance.Keyed && class.Scope == balance.ScopeZone && s.Zone != first.to.Zone,
			class.Idempotency == balance.Keyed && class.Scope == balance.ScopeCell && s.Cell != first.to.Cell:
			w.t.Fatalf("rule 2: keyed request %d sent outside its group", id)
		}
	}
	w.checkKeyOrder(a)
	w.checkColdBudget(s)
	if out := a.out(); out > 0 { // no setting allows two at a time
		w.t.Fatalf("rule 2: request %d sent while %d of its attempts are out", id, out)
	}
	if len(a.attempts) > 0 {
		w.retryTimes = append(w.retryTimes, w.now)
	}
	if b := w.cfg.Budget; len(a.attempts) > 0 && b.Span > 0 {
		n, taken := 0, 0
		for _, t := range w.retryTimes {
			if t >= max(w.now-b.Span, w.rulesSince) {
				n++
			}
		}
		for _, t := range w.requestTimes {
			if t > w.now-b.Span {
				taken++
			}
		}
		if float64(n) > b.Free+b.Share*float64(taken)+1e-6 {
			w.t.Fatalf("rule 6: %d further attempts in %v, in which %d requests were taken", n, b.Span, taken)
		}
	}
	a.attempts = append(a.attempts, attemptRecord{to: s, sent: w.now, inFlight: true, connecting: id%2 == 0})
}

func (w *randomHost) Withdraw(id balance.RequestID, attempt int) {
	w.note("withdraw %d %d", id, attempt)
	if tr := &w.requests[id].attempts[attempt]; tr.inFlight && tr.connecting {
		tr.withdrawn = true
	}
}

// checkWithdrawn checks that no attempt waits for a connection that must not be used once it is open.
func (w *randomHost) checkWithdrawn() {
	for id, a := range w.requests {
		for _, tr := range a.attempts {
			s, listed := w.listed[tr.to.ID]
			leaves := !listed || s.State != balance.Ready || excluded(w.rules, s)
			if tr.inFlight && tr.connecting && !tr.withdrawn && (a.answered || leaves) {
				w.t.Fatalf("request %d, answered %v, still waits for its connection to server %d, %+v", id, a.answered, tr.to.ID, s)
			}
		}
	}
}

// inFlight returns the number of attempts in flight.
func (a *requestRecord) out() (n int) {
	for _, tr := range a.attempts {
		if tr.inFlight {
			n++
		}
	}
	return n
}

// checkColdBudget checks, at a send, that this balancer uses no more than an even part of a cold server's budget.
func (w *randomHost) checkColdBudget(s balance.Server) {
	age := w.now - s.Started
	if s.Started == 0 || age >= w.cfg.ColdTime {
		return
	}
	w.coldSends[s.ID] = append(w.coldSends[s.ID], w.now)
	n := 0
	for _, at := range w.coldSends[s.ID] {
		if at > w.now-time.Second {
			n++
		}
	}
	quota := 0.0
	for _, t := range w.cfg.Tenants {
		quota += t.Quota
	}
	warmth := w.cfg.ColdFrom + (1-w.cfg.ColdFrom)*float64(age)/float64(w.cfg.ColdTime)
	if most := 1 + w.cfg.ColdMultiple*warmth*quota/float64(w.cfg.Balancers); float64(n) > most {
		w.t.Fatalf("rule 4: %d sends in a second to server %d, cold for %v, at most %.1f", n, s.ID, age, most)
	}
}

// checkKeyOrder checks rule 5, the order of requests per key, at a send.
func (w *randomHost) checkKeyOrder(a *requestRecord) {
	ordered := func(o *requestRecord) bool {
		return w.cfg.Classes[o.request.Class].InOrder && o.request.Key == a.request.Key && a.request.Key != 0
	}
	if !ordered(a) {
		return
	}
	for id, o := range w.requests {
		out := slices.ContainsFunc(o.attempts, func(tr attemptRecord) bool { return tr.inFlight })
		if o != a && ordered(o) && o.arrival < a.arrival && (!o.answered || out) {
			w.t.Fatalf("rule 5: request %d sent while %d of its key is not over", a.request.ID, id)
		}
	}
	if len(a.attempts) == 0 && w.now < w.keySettledAt[a.request.Key] {
		w.t.Fatalf("rule 5: request %d sent %v before its key has rested", a.request.ID, w.keySettledAt[a.request.Key]-w.now)
	}
}

// checkIdleClosed checks rule 7: idle connections to draining servers are closed in time.
func (w *randomHost) checkIdleClosed() {
	for id, until := range w.closeIdleBy {
		if w.now > until {
			w.t.Fatalf("rule 7: connections to server %d not closed %v after their time", id, w.now-until)
		}
	}
}

// mustClose sets the time by which idle connections to a server must be closed, if it is draining.
func (w *randomHost) mustClose(id balance.ServerID) {
	if w.cfg.CloseWithin > 0 && w.listed[id].State == balance.Draining {
		w.closeIdleBy[id] = w.now + w.cfg.CloseWithin
	}
}

// answer checks rule 1, one answer in time for each request, and returns the request.
func (w *randomHost) answer(id balance.RequestID) *requestRecord {
	a := w.requests[id]
	if a == nil || a.answered {
		w.t.Fatalf("rule 1: second answer for request %d, or one for a request not held", id)
	}
	if w.now > a.deadline+20*ms {
		w.t.Fatalf("rule 1: answered %v after the deadline", w.now-a.deadline)
	}
	a.answered = true
	return a
}

func (w *randomHost) Refuse(id balance.RequestID, pause time.Duration, _ balance.Reason) {
	w.note("refuse %d %v", id, pause)
	a := w.answer(id)
	class := w.cfg.Classes[a.request.Class]
	if a.mayHaveRun() != nil && (class.Idempotency == balance.Unsafe || class.Idempotency == balance.Keyed && class.Scope != balance.ScopeAll) {
		w.t.Fatalf("rule 2: request %d refused though it may have run", id)
	}
	if pause < 0 || pause > w.cfg.MaxRetryAfter {
		w.t.Fatalf("pause %v", pause)
	}
}

func (w *randomHost) Fail(id balance.RequestID, _ balance.Reason) {
	w.note("fail %d", id)
	w.answer(id)
}
func (w *randomHost) Cancel(id balance.RequestID, attempt int) { w.note("cancel %d %d", id, attempt) }
func (w *randomHost) Wake(d time.Duration)                     { w.note("wake %v", d) }
func (w *randomHost) Probe(to balance.ServerID)                { w.note("probe %d", to) }
func (w *randomHost) CloseIdle(to balance.ServerID) {
	w.note("close %d", to)
	delete(w.closeIdleBy, to)
}
func (w *randomHost) WatchList()      { w.note("watch"); w.watches++ }
func (w *randomHost) Log(line string) { w.note("log %s", line) }

// excluded reports whether a rule set excludes a server.
func excluded(r balance.Rules, s balance.Server) bool {
	m, ok := r.Servers[s.ID]
	z, zok := r.Zones[s.Zone]
	return ok && m == 0 || zok && z == 0
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

// setRules puts a rule set in force and updates w.cfg.
func (w *randomHost) setRules(settings balance.Config, r balance.Rules) {
	for id, s := range w.listed {
		if w.cfg.CloseWithin > 0 && s.State == balance.Ready && excluded(r, s) && !excluded(w.rules, s) {
			w.closeIdleBy[id] = w.now + w.cfg.CloseWithin
		}
	}
	w.rules, w.rulesSince, w.cfg = r, w.now, settings
	w.cfg.MaxAttempts = cmp.Or(r.MaxAttempts, settings.MaxAttempts)
	if r.Tenants != nil {
		w.cfg.Tenants = r.Tenants
	}
	if r.Budget != nil {
		w.cfg.Budget = *r.Budget
	}
	clear(w.coldSends) // cold budgets depend on the quotas
	w.b.SetRules(w.now, r)
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
	w := &randomHost{t: t, cfg: cfg, requests: map[balance.RequestID]*requestRecord{}, listed: map[balance.ServerID]balance.Server{}, now: time.Hour}
	w.coldSends = map[balance.ServerID][]time.Duration{}
	w.listStable = pick(2) == 0
	w.keySettledAt, w.closeIdleBy = map[uint64]time.Duration{}, map[balance.ServerID]time.Duration{}
	b, err := New(cfg, uint64(pick(1000)), w)
	if err != nil {
		t.Fatal(err)
	}
	w.b, w.sets, w.slotsInUse = b, sets, make([]int, len(cfg.Tenants))
	b.Start(w.now)
	for range steps {
		if sets && pick(12) == 0 {
			w.setFleet(pick)
		}
		if sets && pick(12) == 0 {
			w.setRules(cfg, randomRules(t, cfg, pick))
		}
		w.step(pick)
		w.checkIdleClosed()
		w.checkCounts()
		w.checkWithdrawn()
	}
	for range 600 { // all remaining requests must be answered in time
		w.now += 5 * ms
		w.endTimedOut()
		b.Wake(w.now)
		w.checkCounts()
		w.checkIdleClosed()
	}
	for id, a := range w.requests {
		if !a.answered {
			t.Fatalf("rule 1: request %d was never answered", id)
		}
	}
	if len(b.requests) != 0 || b.inFlight != 0 {
		t.Fatalf("%d requests and %d attempts are still held", len(b.requests), b.inFlight)
	}
	return w.trace
}

// setFleet announces the configured number of balancers with arbitrary traffic, and checks the subset and the turns.
func (w *randomHost) setFleet(pick func(int) int) {
	f := balance.Fleet{Present: w.cfg.Balancers, Agreed: pick(2) == 0}
	for range pick(8) {
		rate := []float64{1, 20, 0.1, 0, -1, 1e9, math.NaN(), math.Inf(1)}[pick(8)]
		f.Sharers = append(f.Sharers, balance.Sharer{Index: pick(5) - 1, Zone: pick(3), Rate: rate})
	}
	w.b.SetFleet(w.now, f)
	for _, s := range w.b.readyServers() {
		if !(s.turnMultiple >= 1/maxTurnMultiple && s.turnMultiple <= maxTurnMultiple) {
			w.t.Fatalf("server %d has turns %v by %+v", s.ID, s.turnMultiple, f.Sharers)
		}
	}
	away := slices.ContainsFunc(w.b.subset, func(s *server) bool { return !s.inService() })
	if away || len(w.b.subset) == 0 && len(w.b.readyServers()) > 0 {
		w.t.Fatalf("an arc of %d by %+v, one of them away: %v", len(w.b.subset), f.Sharers, away)
	}
}

// step plays one random event.
func (w *randomHost) step(pick func(int) int) {
	w.now += time.Duration(pick(8)) * ms
	w.endTimedOut()
	switch pick(10) {
	case 0, 1, 2:
		w.lastID++
		q := balance.Request{ID: w.lastID, Class: pick(len(w.cfg.Classes)), Tenant: pick(2)}
		q.TimeLeft = time.Duration(1+pick(2000)) * ms
		q.Key = uint64(pick(4))
		w.requests[q.ID] = &requestRecord{request: q, deadline: w.now + q.TimeLeft, arrival: int(w.lastID)}
		w.requestTimes = append(w.requestTimes, w.now)
		w.requestIDs = append(w.requestIDs, q.ID)
		w.b.Request(w.now, q)
	case 3, 4, 5:
		w.finish(pick)
	case 6:
		w.b.Wake(w.now)
	case 7:
		if !w.listStable || len(w.listed) == 0 || pick(30) == 0 {
			w.updateServers(pick)
		}
	case 8:
		w.b.Probed(w.now, balance.ServerID(pick(8)), pick(2) == 0, w.load(pick(200)))
	case 9:
		if len(w.requestIDs) > 0 {
			if id := w.requestIDs[pick(len(w.requestIDs))]; !w.requests[id].answered {
				w.requests[id].answered = true
				w.b.ClientGone(w.now, id)
			}
		}
	}
}

// finish ends one attempt in flight.
func (w *randomHost) finish(pick func(int) int) {
	for range 4 {
		if len(w.requestIDs) == 0 {
			return
		}
		id := w.requestIDs[pick(len(w.requestIDs))]
		for i := range w.requests[id].attempts {
			if w.requests[id].attempts[i].inFlight {
				e := []balance.Ending{balance.Served, balance.Errored, balance.TurnedAway, balance.NoConnection, balance.Broken, balance.Cancelled, balance.NotSent}[pick(7)]
				if w.requests[id].attempts[i].withdrawn {
					e = balance.NotSent
				}
				w.end(id, i, e)
				return
			}
		}
	}
}

// end ends attempt i of a request.
func (w *randomHost) end(id balance.RequestID, i int, e balance.Ending) {
	a := w.requests[id]
	a.attempts[i].inFlight, a.attempts[i].end = false, e
	settled := a.answered || e == balance.Served
	a.answered = settled
	if w.cfg.Classes[a.request.Class].InOrder && (e == balance.TimedOut || e == balance.Broken || e == balance.Cancelled) {
		w.keySettledAt[a.request.Key] = w.now + w.cfg.OrderSettle
	}
	w.mustClose(a.attempts[i].to.ID)
	w.b.Outcome(w.now, balance.Outcome{ID: id, Attempt: i, Ending: e, Settled: settled, Load: w.load(int(id))})
}

// endTimedOut wakes the Balancer as its timers would, and ends the attempts whose request has passed its deadline.
func (w *randomHost) endTimedOut() {
	w.b.Wake(w.now)
	for _, id := range w.requestIDs {
		for i := range w.requests[id].attempts {
			if a := w.requests[id]; a.attempts[i].inFlight && w.now >= a.deadline {
				w.end(id, i, balance.TimedOut)
			}
		}
	}
}

// updateServers plays a random server list event.
func (w *randomHost) updateServers(pick func(int) int) {
	entry := func() balance.Server {
		id := balance.ServerID(pick(8))
		s := balance.Server{ID: id, Zone: int(id) % 2, Cell: int(id) / 2 % 2 * 2, State: balance.State(pick(3)), Weight: float64(pick(4))}
		s.Cell += s.Zone // no two zones share a cell
		if pick(4) == 0 {
			s.Started = w.now - time.Duration(pick(10000))*ms
		}
		return s
	}
	kind := balance.ListKind(pick(4))
	if kind == balance.ListFailed {
		w.b.UpdateServers(w.now, kind, nil)
		return
	}
	var entries []balance.Server
	before := maps.Clone(w.listed)
	if kind != balance.ListDelta {
		clear(w.listed)
	}
	for range pick(8) {
		s := entry()
		if slices.ContainsFunc(entries, func(o balance.Server) bool { return o.ID == s.ID }) {
			continue
		}
		entries = append(entries, s)
		if old, ok := before[s.ID]; !ok || s.Started > old.Started || old.State == balance.Gone {
			delete(w.coldSends, s.ID)
		}
		w.listed[s.ID] = s
	}
	if kind != balance.ListDelta {
		clear(w.closeIdleBy)
	}
	for _, s := range entries {
		delete(w.closeIdleBy, s.ID)
		w.mustClose(s.ID)
	}
	w.b.UpdateServers(w.now, kind, entries)
}

// load returns a load report with the fields that the settings name, now and then the zero value.
func (w *randomHost) load(n int) balance.Load {
	if n%3 == 0 {
		return balance.Load{}
	}
	return balance.Load{Has: w.cfg.Reports, InFlight: float64(n % 40), Busy: float64(n%11) / 10,
		Service: time.Duration(n%7) * 20 * ms}
}

// checkCounts checks that slots and attempts in flight are counted exactly, and drops the records of ended requests.
func (w *randomHost) checkCounts() {
	used := make([]int, len(w.cfg.Tenants))
	out := 0
	for _, a := range w.requests {
		for _, tr := range a.attempts {
			if tr.inFlight {
				used[a.request.Tenant]++
				out++
			}
		}
	}
	for i, c := range w.b.compartments {
		if most := max(c.slots, w.slotsInUse[i]); c.slotsInUse != used[i] || c.slotsInUse > most || w.b.SlotsFree(i) < 0 || w.b.QueueFree(i) < 0 {
			w.t.Fatalf("compartment %d: %d of %d slots used, %d before, %d attempts out", i, c.slotsInUse, c.slots, w.slotsInUse[i], used[i])
		}
		w.slotsInUse[i] = used[i] // attempts beyond a shrunken compartment may finish
	}
	if w.b.inFlight != out {
		w.t.Fatalf("%d attempts counted, %d out", w.b.inFlight, out)
	}
	for _, s := range w.b.servers {
		if s.inFlight < 0 {
			w.t.Fatalf("server %d holds %d", s.ID, s.inFlight)
		}
	}
	if len(w.requestIDs) > 60 { // drop the ended requests
		w.requestIDs = slices.DeleteFunc(w.requestIDs, func(id balance.RequestID) bool {
			a := w.requests[id]
			over := a.answered && !slices.ContainsFunc(a.attempts, func(tr attemptRecord) bool { return tr.inFlight })
			if over {
				delete(w.requests, id)
			}
			return over
		})
	}
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 7))
		playRandomEvents(t, 600, false, rng.IntN)
	}
}

func TestRulesUnderRandomRuleSets(t *testing.T) {
	for seed := range uint64(150) {
		playRandomEvents(t, 600, true, rand.New(rand.NewPCG(seed, 11)).IntN)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(5) {
		a := playRandomEvents(t, 800, seed%2 > 0, rand.New(rand.NewPCG(seed, 3)).IntN)
		b := playRandomEvents(t, 800, seed%2 > 0, rand.New(rand.NewPCG(seed, 3)).IntN)
		if !slices.Equal(a, b) {
			t.Fatalf("seed %d: two runs over the same events differ", seed)
		}
	}
}

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
