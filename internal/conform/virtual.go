package conform

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"arrowgw/internal/balance"
)

// epoch is when rows begin on the virtual clock, whose zero is long ago.
const rowStart = time.Hour

type messageKind int

const (
	eventRequest messageKind = iota
	eventOutcome
	eventWake
	eventList
	eventClientGone

	actionSend
	actionRefuse
	actionFail
	actionCancel
	actionWithdraw
	actionTimer
	actionWatchList
)

// event is what a virtual subject is told.
type event struct {
	kind     messageKind
	request  balance.Request
	outcome  balance.Outcome
	server   int // of the outcome
	duration time.Duration
	list     balance.ListKind
	servers  []balance.Server
}

// action is what it does about that.
type action struct {
	kind          messageKind
	id            int
	attempt       int
	server        int
	duration      time.Duration
	unsentTimeout time.Duration // how long an attempt may still be written; 0 where it is at once
}

// virtual is a subject on a virtual clock.
type virtualSubject interface {
	// start begins its life with a list as last known.
	start(now time.Duration, seed uint64, settings map[string]any, known []balance.Server) ([]action, error)
	handle(now time.Duration, e event) ([]action, error)
	close() error
}

// try is one attempt, as the player saw it sent.
type attempt struct {
	server           int
	sentAt           time.Duration
	timeoutAt        time.Duration // then it times out
	writeBy          time.Duration // and it is not written later than that
	awaitsConnection bool          // it waits for its connection
	ended            bool
	mayHaveRun       bool // it may have
}

type clientRequest struct {
	step      Step
	arrivedAt time.Duration
	attempts  []attempt
	result    string
}

// player plays one row on a virtual subject, and holds it to the simulator's rules besides the row's own expectations.
type virtualRunner struct {
	row         Row
	serverNames []string // of servers; the number is the place
	subject     virtualSubject
	now         time.Duration
	classes     map[string]int
	tenants     map[string]int
	settings    map[string]any
	requests    map[int]*clientRequest
	timers      []time.Duration
	listed      map[int]balance.State
	zones       map[int]int
	heldServers map[int]bool   // servers, whose connections do not come up yet
	counts      map[string]int // what happened in this step
	idsByEvent  map[string][]int
	sentTo      map[int]bool
	retryAfters []time.Duration
	failures    []string
}

func (p *virtualRunner) failf(format string, args ...any) {
	p.failures = append(p.failures, fmt.Sprintf("at %v: ", p.now-rowStart)+fmt.Sprintf(format, args...))
}

func (p *virtualRunner) serverNumber(name string) int {
	if i := slices.Index(p.serverNames, name); i >= 0 {
		return i + 1
	}
	p.serverNames = append(p.serverNames, name)
	return len(p.serverNames)
}

func (p *virtualRunner) listEntries(all []Server) (list []balance.Server) {
	for _, s := range all {
		e := balance.Server{ID: balance.ServerID(p.serverNumber(s.ID)), Zone: s.Zone, Weight: s.Weight, State: parseState(s.State)}
		if s.HoldConnections {
			p.heldServers[int(e.ID)] = true
		}
		if s.Started != 0 {
			e.Started = rowStart + s.Started.Std()
		}
		list = append(list, e)
	}
	return list
}

func parseState(word string) balance.State {
	return map[string]balance.State{"ready": balance.Ready, "draining": balance.Draining, "gone": balance.Gone}[word]
}

// places are where the names of a list of the settings stand.
func indexByName(settings map[string]any, list string) map[string]int {
	all := make(map[string]int)
	entries, _ := settings[list].([]any)
	for i, e := range entries {
		m, _ := e.(map[string]any)
		all[fmt.Sprint(m["name"])] = i
	}
	return all
}

// figure reads a number of the settings.
func numberSetting(settings map[string]any, table, key string) float64 {
	under, _ := settings[table].(map[string]any)
	switch v := under[key].(type) {
	case int64:
		return float64(v)
	case float64:
		return v
	}
	return 0
}

// playVirtual plays a row with a seed for the subject's own choices, and returns what was not as expected.
func runVirtual(t *Tables, r Row, s virtualSubject, seed uint64) (faults []string, err error) {
	set := t.settingsOf(r)
	p := &virtualRunner{row: r, subject: s, now: rowStart, settings: set, classes: indexByName(set, "classes"), tenants: indexByName(set, "orgs"),
		requests: make(map[int]*clientRequest), listed: make(map[int]balance.State), zones: make(map[int]int), heldServers: make(map[int]bool)}
	known, listed := p.listEntries(r.CachedServers), p.listEntries(r.Servers)
	if len(known) == 0 {
		known = listed
	}
	p.recordList(balance.ListCached, known)
	p.resetStep()
	acts, err := s.start(p.now, seed, set, known)
	if err != nil {
		return nil, err
	}
	if p.applyActions(acts); len(r.CachedServers) > 0 {
		p.recordList(balance.ListFull, listed)
		if err := p.deliver(event{kind: eventList, list: balance.ListFull, servers: listed}); err != nil {
			return nil, err
		}
	}
	for i, step := range r.Steps {
		before := len(p.failures)
		if err := p.runStep(step); err != nil {
			return nil, fmt.Errorf("step %d: %w", i+1, err)
		}
		for k := before; k < len(p.failures); k++ {
			p.failures[k] = fmt.Sprintf("step %d, %s", i+1, p.failures[k])
		}
	}
	last := p.now // whatever is still out times out, and all that was asked has its answer by then
	for _, q := range p.requests {
		last = max(last, q.arrivedAt+q.step.TimeLeft.Std()+time.Second)
	}
	return p.failures, cmp.Or(p.advanceTo(last), p.checkAllAnswered())
}

func (p *virtualRunner) checkAllAnswered() error {
	for _, id := range slices.Sorted(maps.Keys(p.requests)) {
		if p.requests[id].result == "" {
			p.failf("request %d never had an answer", id)
		}
	}
	return nil
}

// begin forgets what the step before brought.
func (p *virtualRunner) resetStep() {
	p.counts, p.idsByEvent, p.sentTo, p.retryAfters = make(map[string]int), make(map[string][]int), make(map[int]bool), nil
}

// step plays one step, and judges what it brought.
func (p *virtualRunner) runStep(s Step) error {
	p.resetStep()
	if err := p.advanceTo(max(p.now, rowStart+s.At.Std())); err != nil {
		return err
	}
	for _, id := range s.Connect {
		p.connect(p.serverNumber(id))
	}
	if s.List != "" {
		k := map[string]balance.ListKind{"full": balance.ListFull, "delta": balance.ListDelta, "failed": balance.ListFailed}[s.List]
		servers := p.listEntries(s.Servers)
		p.recordList(k, servers)
		if err := p.deliver(event{kind: eventList, list: k, servers: servers}); err != nil {
			return err
		}
	}
	for _, id := range s.Requests {
		if err := p.sendRequest(id, s); err != nil {
			return err
		}
	}
	for _, id := range s.EndAttempts {
		if err := p.endLatestAttempt(id, s.Ending); err != nil {
			return err
		}
	}
	for _, id := range s.ClientsLeave {
		p.requests[id].result = "left"
		if err := p.deliver(event{kind: eventClientGone, request: balance.Request{ID: balance.RequestID(id)}}); err != nil {
			return err
		}
	}
	if s.Flow != nil {
		if err := p.runFlow(s); err != nil {
			return err
		}
	}
	p.checkWant(s)
	return nil
}

func (p *virtualRunner) sendRequest(id int, s Step) error {
	p.requests[id] = &clientRequest{step: s, arrivedAt: p.now}
	q := balance.Request{
		ID: balance.RequestID(id), Class: p.classes[s.Class], Tenant: p.tenants[s.Tenant], TimeLeft: s.TimeLeft.Std(),
	}
	return p.deliver(event{kind: eventRequest, request: q})
}

var endings = map[string]balance.Ending{
	"served": balance.Served, "error": balance.Errored, "full": balance.TurnedAway, "timeout": balance.TimedOut,
	"noconn": balance.NoConnection, "reset": balance.Broken, "spoilt": balance.Broken,
}

// end ends a request's latest attempt.
func (p *virtualRunner) endLatestAttempt(id int, as string) error {
	q := p.requests[id]
	if q == nil || len(q.attempts) == 0 || q.attempts[len(q.attempts)-1].ended {
		p.failf("request %d has no attempt out that could end", id)
		return nil
	}
	return p.endAttempt(id, len(q.attempts)-1, endings[as])
}

func (p *virtualRunner) endAttempt(id, n int, e balance.Ending) error {
	q := p.requests[id]
	a := &q.attempts[n]
	a.ended, a.mayHaveRun = true, e != balance.TurnedAway && e != balance.NoConnection && e != balance.NotSent
	if e == balance.Served && q.result == "" {
		p.recordAnswer(id, "served")
	}
	return p.deliver(event{kind: eventOutcome, server: a.server, duration: p.now - a.sentAt,
		outcome: balance.Outcome{ID: balance.RequestID(id), Attempt: n, Ending: e, Settled: q.result != ""}})
}

func (p *virtualRunner) recordAnswer(id int, how string) {
	p.requests[id].result = how
	p.counts[how]++
	p.idsByEvent[how] = append(p.idsByEvent[how], id)
}

// hear takes down what the subject is about to be told of servers.
func (p *virtualRunner) recordList(k balance.ListKind, servers []balance.Server) {
	if k == balance.ListFull || k == balance.ListCached {
		for id := range p.listed {
			p.listed[id] = balance.Gone
		}
	}
	for _, s := range servers {
		p.listed[int(s.ID)], p.zones[int(s.ID)] = s.State, s.Zone
	}
}

func (p *virtualRunner) deliver(e event) error {
	acts, err := p.subject.handle(p.now, e)
	if err != nil {
		return err
	}
	p.applyActions(acts)
	return nil
}

// took enters what the subject did, and holds it to the rules that bind always.
func (p *virtualRunner) applyActions(acts []action) {
	for _, a := range acts {
		q := p.requests[a.id]
		switch a.kind {
		case actionSend:
			if q == nil || q.result != "" {
				p.failf("request %d is sent, which is not open", a.id)
				continue
			}
			p.checkSend(a, q)
			q.attempts = append(q.attempts, attempt{server: a.server, sentAt: p.now, timeoutAt: min(p.now+max(0, a.duration), q.arrivedAt+q.step.TimeLeft.Std()),
				writeBy: p.now + a.unsentTimeout, awaitsConnection: p.heldServers[a.server]})
			if !p.heldServers[a.server] {
				p.recordSent(a.id, a.server)
			}
		case actionCancel:
			if caps, _ := p.settings["caps"].(map[string]any); caps["may_cancel"] != true {
				p.failf("request %d is called off, which the settings do not allow", a.id)
			}
		case actionWithdraw:
			if q == nil || a.attempt < 0 || a.attempt >= len(q.attempts) {
				p.failf("attempt %d of request %d is withdrawn, which there is not", a.attempt, a.id)
			} else if t := q.attempts[a.attempt]; t.awaitsConnection && !t.ended {
				if err := p.endAttempt(a.id, a.attempt, balance.NotSent); err != nil {
					p.failf("%v", err)
				}
			}
		case actionRefuse, actionFail:
			if q == nil || q.result != "" {
				p.failf("request %d is answered, which is not open", a.id)
				continue
			}
			if late := p.now - q.arrivedAt - q.step.TimeLeft.Std(); late > time.Duration(numberSetting(p.settings, "rules", "answer_slack_ms")*1e6) {
				p.failf("request %d is answered %v after its time", a.id, late)
			}
			if a.kind == actionFail {
				p.recordAnswer(a.id, "failed")
				continue
			}
			if effect := p.semantics(q); effect != "free" && effect != "all" && slices.ContainsFunc(q.attempts, func(t attempt) bool { return t.mayHaveRun || !t.ended }) {
				p.failf("request %d is refused, though it may have run", a.id)
			}
			p.recordAnswer(a.id, "refused")
			p.retryAfters = append(p.retryAfters, a.duration)
		case actionTimer:
			p.timers = append(p.timers, p.now+a.duration)
		case actionWatchList:
			p.counts["asks"]++
		}
	}
}

func (p *virtualRunner) class(q *clientRequest) map[string]any {
	classes, _ := p.settings["classes"].([]any)
	c, _ := classes[p.classes[q.step.Class]].(map[string]any)
	return c
}

// semantics are those of a request's class, or the scope in which its repeats are dropped.
func (p *virtualRunner) semantics(q *clientRequest) string { return semantics(p.class(q)) }

func semantics(class map[string]any) string {
	if class["semantics"] == "guarded" {
		return fmt.Sprint(class["dedup_scope"])
	}
	return fmt.Sprint(class["semantics"])
}

func (p *virtualRunner) dedupWindow(q *clientRequest) time.Duration {
	ms, _ := p.class(q)["window_ms"].(float64)
	return time.Duration(ms * 1e6)
}

// mayGo holds a send to the rules on repeats, drains and attempts.
func (p *virtualRunner) checkSend(a action, q *clientRequest) {
	if p.listed[a.server] != balance.Ready {
		p.failf("request %d goes to %s, which was told as no longer ready", a.id, p.serverNames[a.server-1])
	}
	if most := int(numberSetting(p.settings, "caps", "most_tries")); len(q.attempts) >= most {
		p.failf("request %d has more than %d attempts", a.id, most)
	}
	for _, t := range q.attempts {
		switch {
		case !t.ended:
			p.failf("request %d has two attempts out", a.id)
		case t.mayHaveRun && p.semantics(q) == "single_shot":
			p.failf("request %d goes out again, though it may have run", a.id)
		case t.mayHaveRun && p.semantics(q) == "zone" && p.zones[t.server] != p.zones[a.server]:
			p.failf("request %d goes to another zone, where its repeat is not dropped", a.id)
		case t.mayHaveRun && p.semantics(q) != "free" && (p.now >= t.sentAt+p.dedupWindow(q) || p.now+a.unsentTimeout > t.sentAt+p.dedupWindow(q)):
			p.failf("request %d may go out again after the time in which its repeats are dropped", a.id)
		}
	}
}

// written takes that an attempt has gone out.
func (p *virtualRunner) recordSent(id, server int) {
	p.counts["sent"]++
	p.counts[p.serverNames[server-1]]++
	p.idsByEvent["sent"] = append(p.idsByEvent["sent"], id)
	p.sentTo[server] = true
}

// up lets the connections to a server come up: what still waits for one is written.
func (p *virtualRunner) connect(server int) {
	delete(p.heldServers, server)
	for _, id := range slices.Sorted(maps.Keys(p.requests)) {
		q := p.requests[id]
		for i := range q.attempts {
			if t := &q.attempts[i]; t.server == server && t.awaitsConnection && !t.ended {
				if p.listed[server] != balance.Ready || q.result != "" {
					p.failf("request %d goes to %s late, and has its answer or is none of its servers any more", id, p.serverNames[server-1])
				}
				t.awaitsConnection = false
				p.recordSent(id, server)
			}
		}
	}
}

// until lets time pass: timers come due, and attempts time out.
func (p *virtualRunner) advanceTo(end time.Duration) error {
	for {
		next, id, n, how := end+1, 0, -1, balance.TimedOut
		for _, t := range p.timers {
			next = min(next, t)
		}
		for _, k := range slices.Sorted(maps.Keys(p.requests)) {
			for i, t := range p.requests[k].attempts {
				last, as := t.timeoutAt, balance.TimedOut
				if t.awaitsConnection {
					last, as = min(last, t.writeBy), balance.NoConnection
				}
				if !t.ended && last < next {
					next, id, n, how = last, k, i, as
				}
			}
		}
		if next > end {
			p.now = end
			return nil
		}
		p.now = max(p.now, next)
		if n >= 0 {
			if err := p.endAttempt(id, n, how); err != nil {
				return err
			}
			continue
		}
		p.timers = slices.DeleteFunc(p.timers, func(t time.Duration) bool { return t <= p.now })
		if err := p.deliver(event{kind: eventWake}); err != nil {
			return err
		}
	}
}

// runFlow plays many requests one after the other.
func (p *virtualRunner) runFlow(s Step) error {
	f := s.Flow
	for i := range f.Count {
		s.Tenant = cmp.Or(strings.Join(f.Tenants[min(i%max(len(f.Tenants), 1), len(f.Tenants)):][:min(1, len(f.Tenants))], ""), s.Tenant)
		begun, id := p.now, f.FirstID+i
		if err := p.sendRequest(id, s); err != nil {
			return err
		}
		for q := p.requests[id]; q.result == "" && len(q.attempts) > 0 && !q.attempts[len(q.attempts)-1].ended; {
			if err := p.advanceTo(p.now + f.ServiceTime.Std()); err != nil {
				return err
			}
			n := len(q.attempts) - 1
			if q.attempts[n].ended {
				continue
			}
			if err := p.endAttempt(id, n, endings[cmp.Or(f.Endings[p.serverNames[q.attempts[n].server-1]], "served")]); err != nil {
				return err
			}
		}
		if err := p.advanceTo(max(p.now, begun+f.Interval.Std())); err != nil {
			return err
		}
	}
	return nil
}

// judge compares a step with what is wanted of it.
func (p *virtualRunner) checkWant(s Step) {
	w := s.Want
	if w == nil {
		return
	}
	if s.Flow == nil && w.CountRanges == nil {
		for how, want := range map[string][]int{"sent": w.Sent, "served": w.Served, "refused": w.Refused, "failed": w.Failed} {
			if got := slices.Sorted(slices.Values(p.idsByEvent[how])); !slices.Equal(got, slices.Sorted(slices.Values(want))) {
				p.failf("%s: %v, want %v", how, got, want)
			}
		}
	}
	for name, bounds := range w.CountRanges {
		if n := p.counts[name]; n < bounds[0] || n > bounds[1] {
			p.failf("%s: %d, want %d to %d", name, n, bounds[0], bounds[1])
		}
	}
	for _, at := range slices.Sorted(maps.Keys(p.sentTo)) {
		if len(w.OnlyServers) > 0 && !slices.Contains(w.OnlyServers, p.serverNames[at-1]) {
			p.failf("sent to %s, want %v alone", p.serverNames[at-1], w.OnlyServers)
		}
	}
	most := time.Duration(numberSetting(p.settings, "caps", "max_retry_after_ms") * 1e6)
	for i, d := range p.retryAfters {
		switch {
		case w.RetryAfter == "yes" && (d <= 0 || d > most), w.RetryAfter == "no" && d != 0:
			p.failf("a refusal advises a pause of %v", d)
		case w.RetryAfterVaries && slices.Index(p.retryAfters, d) != i:
			p.failf("two refusals advise the same pause of %v", d)
		}
	}
	if w.RetryAfter != "" && len(p.retryAfters) == 0 {
		p.failf("nothing was refused")
	}
	if w.DiscoveryAsked && p.counts["asks"] == 0 {
		p.failf("discovery was not asked")
	}
}
