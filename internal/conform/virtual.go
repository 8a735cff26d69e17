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

// rowStart is the time at which rows begin on the virtual clock. It is above 0 because a server's start time of 0 means
// that it started long ago.
const rowStart = time.Hour

// messageKind is the kind of an event or an action.
type messageKind int

// The kinds of events and actions, named after the methods of policy.Balancer and balance.Host that they represent.
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

// event is an input of a virtual subject. Only the fields of its kind are set.
type event struct {
	kind     messageKind
	request  balance.Request
	outcome  balance.Outcome
	server   int              // server of the outcome's attempt
	duration time.Duration    // duration of the outcome's attempt
	list     balance.ListKind // kind of the server list update
	servers  []balance.Server // entries of the server list update
}

// action is an output of a virtual subject. Only the fields of its kind are set.
type action struct {
	kind          messageKind
	id            int           // request
	attempt       int           // number of the attempt to withdraw
	server        int           // server to send to
	duration      time.Duration // attempt timeout, Retry-After or timer delay
	unsentTimeout time.Duration // time within which the attempt has to be written; 0: at once
}

// virtualSubject is a subject that runs on a virtual clock.
type virtualSubject interface {
	// start starts the subject with a cached server list.
	start(now time.Duration, seed uint64, settings map[string]any, known []balance.Server) ([]action, error)
	// handle delivers an event and returns the subject's actions.
	handle(now time.Duration, e event) ([]action, error)
	// close stops the subject.
	close() error
}

// attempt is an attempt that the subject has sent.
type attempt struct {
	server           int
	sentAt           time.Duration
	timeoutAt        time.Duration // when it ends as timed out
	writeBy          time.Duration // when it ends as not connected, unless it has been written
	awaitsConnection bool          // not written yet, because its connection is not established
	ended            bool
	mayHaveRun       bool // the server may have executed the request
}

// clientRequest is a request that the row has made.
type clientRequest struct {
	step      Step // the step that made it
	arrivedAt time.Duration
	attempts  []attempt
	result    string // served, refused, failed or left; empty while it is unanswered
}

// virtualRunner runs one row against a virtual subject. Besides the row's expectations, it checks the simulator's rules,
// such as the limits on retries. Servers have numbers from 1 on, in the order in which the row names them.
type virtualRunner struct {
	row         Row
	serverNames []string // names of the servers; server n is at index n-1
	subject     virtualSubject
	now         time.Duration
	classes     map[string]int // index in the settings, by name
	tenants     map[string]int // index in the settings, by name
	settings    map[string]any
	requests    map[int]*clientRequest
	timers      []time.Duration
	listed      map[int]balance.State // by server: state in the list that the subject has
	zones       map[int]int           // by server
	heldServers map[int]bool          // servers whose connections are not established yet
	counts      map[string]int        // in the current step: number of events by kind, and of attempts by server name
	idsByEvent  map[string][]int      // in the current step: requests by kind of event
	sentTo      map[int]bool          // in the current step: servers with attempts
	retryAfters []time.Duration       // in the current step: Retry-After of each refusal
	failures    []string
}

// failf records a failed check.
func (v *virtualRunner) failf(format string, args ...any) {
	v.failures = append(v.failures, fmt.Sprintf("at %v: ", v.now-rowStart)+fmt.Sprintf(format, args...))
}

// serverNumber returns the number of a server, and assigns one to a new name.
func (v *virtualRunner) serverNumber(name string) int {
	if i := slices.Index(v.serverNames, name); i >= 0 {
		return i + 1
	}
	v.serverNames = append(v.serverNames, name)
	return len(v.serverNames)
}

// listEntries converts server list entries of the row for the subject.
func (v *virtualRunner) listEntries(all []Server) (list []balance.Server) {
	for _, s := range all {
		e := balance.Server{ID: balance.ServerID(v.serverNumber(s.ID)), Zone: s.Zone, Weight: s.Weight, State: parseState(s.State)}
		if s.HoldConnections {
			v.heldServers[int(e.ID)] = true
		}
		if s.Started != 0 {
			e.Started = rowStart + s.Started.Std()
		}
		list = append(list, e)
	}
	return list
}

// parseState converts a state of the tables, which Row.normalize has checked.
func parseState(name string) balance.State {
	return map[string]balance.State{"ready": balance.Ready, "draining": balance.Draining, "gone": balance.Gone}[name]
}

// indexByName returns the index of each named entry of a list in the settings.
func indexByName(settings map[string]any, list string) map[string]int {
	all := make(map[string]int)
	entries, _ := settings[list].([]any)
	for i, e := range entries {
		m, _ := e.(map[string]any)
		all[fmt.Sprint(m["name"])] = i
	}
	return all
}

// numberSetting returns a number of a table in the settings, or 0 if it is missing.
func numberSetting(settings map[string]any, table, key string) float64 {
	values, _ := settings[table].(map[string]any)
	switch v := values[key].(type) {
	case int64:
		return float64(v)
	case float64:
		return v
	}
	return 0
}

// runVirtual runs a row against a virtual subject and returns the failed checks. The seed is for the subject's random
// choices.
func runVirtual(t *Tables, r Row, s virtualSubject, seed uint64) (failures []string, err error) {
	settings := t.settingsOf(r)
	v := &virtualRunner{row: r, subject: s, now: rowStart, settings: settings, classes: indexByName(settings, "classes"), tenants: indexByName(settings, "orgs"),
		requests: make(map[int]*clientRequest), listed: make(map[int]balance.State), zones: make(map[int]int), heldServers: make(map[int]bool)}
	known, listed := v.listEntries(r.CachedServers), v.listEntries(r.Servers)
	if len(known) == 0 {
		known = listed
	}
	v.recordList(balance.ListCached, known)
	v.resetStep()
	actions, err := s.start(v.now, seed, settings, known)
	if err != nil {
		return nil, err
	}
	if v.applyActions(actions); len(r.CachedServers) > 0 {
		v.recordList(balance.ListFull, listed)
		if err := v.deliver(event{kind: eventList, list: balance.ListFull, servers: listed}); err != nil {
			return nil, err
		}
	}
	for i, step := range r.Steps {
		before := len(v.failures)
		if err := v.runStep(step); err != nil {
			return nil, fmt.Errorf("step %d: %w", i+1, err)
		}
		for k := before; k < len(v.failures); k++ {
			v.failures[k] = fmt.Sprintf("step %d, %s", i+1, v.failures[k])
		}
	}
	last := v.now // by this time all attempts have timed out and all requests must be answered
	for _, q := range v.requests {
		last = max(last, q.arrivedAt+q.step.TimeLeft.Std()+time.Second)
	}
	if err := v.advanceTo(last); err != nil {
		return nil, err
	}
	v.checkAllAnswered()
	return v.failures, nil
}

// checkAllAnswered records a failure for each request without an answer.
func (v *virtualRunner) checkAllAnswered() {
	for _, id := range slices.Sorted(maps.Keys(v.requests)) {
		if v.requests[id].result == "" {
			v.failf("request %d has not been answered", id)
		}
	}
}

// resetStep clears the record of the last step's events.
func (v *virtualRunner) resetStep() {
	v.counts, v.idsByEvent, v.sentTo, v.retryAfters = make(map[string]int), make(map[string][]int), make(map[int]bool), nil
}

// runStep performs the events of a step and checks their results.
func (v *virtualRunner) runStep(s Step) error {
	v.resetStep()
	if err := v.advanceTo(max(v.now, rowStart+s.At.Std())); err != nil {
		return err
	}
	for _, id := range s.Connect {
		v.connect(v.serverNumber(id))
	}
	if s.List != "" {
		k := map[string]balance.ListKind{"full": balance.ListFull, "delta": balance.ListDelta, "failed": balance.ListFailed}[s.List]
		servers := v.listEntries(s.Servers)
		v.recordList(k, servers)
		if err := v.deliver(event{kind: eventList, list: k, servers: servers}); err != nil {
			return err
		}
	}
	for _, id := range s.Requests {
		if err := v.sendRequest(id, s); err != nil {
			return err
		}
	}
	for _, id := range s.EndAttempts {
		if err := v.endLatestAttempt(id, s.Ending); err != nil {
			return err
		}
	}
	for _, id := range s.ClientsLeave {
		v.requests[id].result = "left"
		if err := v.deliver(event{kind: eventClientGone, request: balance.Request{ID: balance.RequestID(id)}}); err != nil {
			return err
		}
	}
	if s.Flow != nil {
		if err := v.runFlow(s); err != nil {
			return err
		}
	}
	v.checkWant(s)
	return nil
}

// sendRequest makes a request with the properties that the step gives.
func (v *virtualRunner) sendRequest(id int, s Step) error {
	v.requests[id] = &clientRequest{step: s, arrivedAt: v.now}
	q := balance.Request{
		ID: balance.RequestID(id), Class: v.classes[s.Class], Tenant: v.tenants[s.Tenant], TimeLeft: s.TimeLeft.Std(),
	}
	return v.deliver(event{kind: eventRequest, request: q})
}

// endings are the values of Step.Ending that virtual subjects can be sent.
var endings = map[string]balance.Ending{
	"served": balance.Served, "error": balance.Errored, "full": balance.TurnedAway, "timeout": balance.TimedOut,
	"noconn": balance.NoConnection, "reset": balance.Broken, "spoilt": balance.Broken,
}

// endLatestAttempt ends the latest attempt of a request.
func (v *virtualRunner) endLatestAttempt(id int, ending string) error {
	q := v.requests[id]
	if q == nil || len(q.attempts) == 0 || q.attempts[len(q.attempts)-1].ended {
		v.failf("request %d has no attempt in flight that could end", id)
		return nil
	}
	return v.endAttempt(id, len(q.attempts)-1, endings[ending])
}

// endAttempt ends attempt n of a request and reports the outcome to the subject.
func (v *virtualRunner) endAttempt(id, n int, e balance.Ending) error {
	q := v.requests[id]
	a := &q.attempts[n]
	a.ended, a.mayHaveRun = true, e != balance.TurnedAway && e != balance.NoConnection && e != balance.NotSent
	if e == balance.Served && q.result == "" {
		v.recordAnswer(id, "served")
	}
	return v.deliver(event{kind: eventOutcome, server: a.server, duration: v.now - a.sentAt,
		outcome: balance.Outcome{ID: balance.RequestID(id), Attempt: n, Ending: e, Settled: q.result != ""}})
}

// recordAnswer records the result that a request is answered with.
func (v *virtualRunner) recordAnswer(id int, result string) {
	v.requests[id].result = result
	v.counts[result]++
	v.idsByEvent[result] = append(v.idsByEvent[result], id)
}

// recordList records the servers of a list update that is about to be delivered.
func (v *virtualRunner) recordList(k balance.ListKind, servers []balance.Server) {
	if k == balance.ListFull || k == balance.ListCached {
		for id := range v.listed {
			v.listed[id] = balance.Gone
		}
	}
	for _, s := range servers {
		v.listed[int(s.ID)], v.zones[int(s.ID)] = s.State, s.Zone
	}
}

// deliver delivers an event to the subject and processes the subject's actions.
func (v *virtualRunner) deliver(e event) error {
	actions, err := v.subject.handle(v.now, e)
	if err != nil {
		return err
	}
	v.applyActions(actions)
	return nil
}

// applyActions records the subject's actions and checks them against the rules that apply to every row.
func (v *virtualRunner) applyActions(actions []action) {
	for _, a := range actions {
		q := v.requests[a.id]
		switch a.kind {
		case actionSend:
			if q == nil || q.result != "" {
				v.failf("request %d is sent, although it is unknown or answered", a.id)
				continue
			}
			v.checkSend(a, q)
			q.attempts = append(q.attempts, attempt{server: a.server, sentAt: v.now, timeoutAt: min(v.now+max(0, a.duration), q.arrivedAt+q.step.TimeLeft.Std()),
				writeBy: v.now + a.unsentTimeout, awaitsConnection: v.heldServers[a.server]})
			if !v.heldServers[a.server] {
				v.recordSent(a.id, a.server)
			}
		case actionCancel:
			if caps, _ := v.settings["caps"].(map[string]any); caps["may_cancel"] != true {
				v.failf("request %d is cancelled, which the settings do not allow", a.id)
			}
		case actionWithdraw:
			if q == nil || a.attempt < 0 || a.attempt >= len(q.attempts) {
				v.failf("attempt %d of request %d is withdrawn, but does not exist", a.attempt, a.id)
			} else if t := q.attempts[a.attempt]; t.awaitsConnection && !t.ended {
				if err := v.endAttempt(a.id, a.attempt, balance.NotSent); err != nil {
					v.failf("%v", err)
				}
			}
		case actionRefuse, actionFail:
			if q == nil || q.result != "" {
				v.failf("request %d is answered, although it is unknown or already answered", a.id)
				continue
			}
			if late := v.now - q.arrivedAt - q.step.TimeLeft.Std(); late > time.Duration(numberSetting(v.settings, "rules", "answer_slack_ms")*1e6) {
				v.failf("request %d is answered %v after its deadline", a.id, late)
			}
			if a.kind == actionFail {
				v.recordAnswer(a.id, "failed")
				continue
			}
			if semantics := v.semantics(q); semantics != "free" && semantics != "all" && slices.ContainsFunc(q.attempts, func(t attempt) bool { return t.mayHaveRun || !t.ended }) {
				v.failf("request %d is refused, although it may have been executed", a.id)
			}
			v.recordAnswer(a.id, "refused")
			v.retryAfters = append(v.retryAfters, a.duration)
		case actionTimer:
			v.timers = append(v.timers, v.now+a.duration)
		case actionWatchList:
			v.counts["asks"]++
		}
	}
}

// class returns the settings of a request's class.
func (v *virtualRunner) class(q *clientRequest) map[string]any {
	classes, _ := v.settings["classes"].([]any)
	c, _ := classes[v.classes[q.step.Class]].(map[string]any)
	return c
}

// semantics returns the idempotency of a request: the semantics of its class or, if they are guarded, the deduplication
// scope.
func (v *virtualRunner) semantics(q *clientRequest) string { return semantics(v.class(q)) }

// semantics returns the semantics of a class in the settings or, if they are guarded, the deduplication scope.
func semantics(class map[string]any) string {
	if class["semantics"] == "guarded" {
		return fmt.Sprint(class["dedup_scope"])
	}
	return fmt.Sprint(class["semantics"])
}

// dedupWindow returns how long servers drop repeats of a request.
func (v *virtualRunner) dedupWindow(q *clientRequest) time.Duration {
	ms, _ := v.class(q)["window_ms"].(float64)
	return time.Duration(ms * 1e6)
}

// checkSend checks a new attempt against the rules on draining servers, the number of attempts and idempotency.
func (v *virtualRunner) checkSend(a action, q *clientRequest) {
	if v.listed[a.server] != balance.Ready {
		v.failf("request %d is sent to %s, which the server list does not have as ready", a.id, v.serverNames[a.server-1])
	}
	if maxAttempts := int(numberSetting(v.settings, "caps", "most_tries")); len(q.attempts) >= maxAttempts {
		v.failf("request %d has more than %d attempts", a.id, maxAttempts)
	}
	for _, t := range q.attempts {
		switch {
		case !t.ended:
			v.failf("request %d has two attempts in flight", a.id)
		case t.mayHaveRun && v.semantics(q) == "single_shot":
			v.failf("request %d is retried, although it may have been executed", a.id)
		case t.mayHaveRun && v.semantics(q) == "zone" && v.zones[t.server] != v.zones[a.server]:
			v.failf("request %d is retried in another zone, where repeats are not dropped", a.id)
		case t.mayHaveRun && v.semantics(q) != "free" && (v.now >= t.sentAt+v.dedupWindow(q) || v.now+a.unsentTimeout > t.sentAt+v.dedupWindow(q)):
			v.failf("request %d may be retried after the end of its deduplication window", a.id)
		}
	}
}

// recordSent records that an attempt has been written to a server.
func (v *virtualRunner) recordSent(id, server int) {
	v.counts["sent"]++
	v.counts[v.serverNames[server-1]]++
	v.idsByEvent["sent"] = append(v.idsByEvent["sent"], id)
	v.sentTo[server] = true
}

// connect establishes the connections to a server. Attempts that wait for one are written.
func (v *virtualRunner) connect(server int) {
	delete(v.heldServers, server)
	for _, id := range slices.Sorted(maps.Keys(v.requests)) {
		q := v.requests[id]
		for i := range q.attempts {
			if t := &q.attempts[i]; t.server == server && t.awaitsConnection && !t.ended {
				if v.listed[server] != balance.Ready || q.result != "" {
					v.failf("request %d is written to %s, although it is answered or the server is no longer ready", id, v.serverNames[server-1])
				}
				t.awaitsConnection = false
				v.recordSent(id, server)
			}
		}
	}
}

// advanceTo advances the virtual clock to a time, and fires the timers and timeouts up to then in order of time.
func (v *virtualRunner) advanceTo(end time.Duration) error {
	for {
		next, id, n, ending := end+1, 0, -1, balance.TimedOut
		for _, t := range v.timers {
			next = min(next, t)
		}
		for _, k := range slices.Sorted(maps.Keys(v.requests)) {
			for i, t := range v.requests[k].attempts {
				expiry, onExpiry := t.timeoutAt, balance.TimedOut
				if t.awaitsConnection {
					expiry, onExpiry = min(expiry, t.writeBy), balance.NoConnection
				}
				if !t.ended && expiry < next {
					next, id, n, ending = expiry, k, i, onExpiry
				}
			}
		}
		if next > end {
			v.now = end
			return nil
		}
		v.now = max(v.now, next)
		if n >= 0 {
			if err := v.endAttempt(id, n, ending); err != nil {
				return err
			}
			continue
		}
		v.timers = slices.DeleteFunc(v.timers, func(t time.Duration) bool { return t <= v.now })
		if err := v.deliver(event{kind: eventWake}); err != nil {
			return err
		}
	}
}

// runFlow makes the requests of a flow one after the other, and ends their attempts after the flow's service time.
func (v *virtualRunner) runFlow(s Step) error {
	f := s.Flow
	for i := range f.Count {
		s.Tenant = cmp.Or(strings.Join(f.Tenants[min(i%max(len(f.Tenants), 1), len(f.Tenants)):][:min(1, len(f.Tenants))], ""), s.Tenant)
		start, id := v.now, f.FirstID+i
		if err := v.sendRequest(id, s); err != nil {
			return err
		}
		for q := v.requests[id]; q.result == "" && len(q.attempts) > 0 && !q.attempts[len(q.attempts)-1].ended; {
			if err := v.advanceTo(v.now + f.ServiceTime.Std()); err != nil {
				return err
			}
			n := len(q.attempts) - 1
			if q.attempts[n].ended {
				continue
			}
			if err := v.endAttempt(id, n, endings[cmp.Or(f.Endings[v.serverNames[q.attempts[n].server-1]], "served")]); err != nil {
				return err
			}
		}
		if err := v.advanceTo(max(v.now, start+f.Interval.Std())); err != nil {
			return err
		}
	}
	return nil
}

// checkWant compares the events of a step with the expected results.
func (v *virtualRunner) checkWant(s Step) {
	w := s.Want
	if w == nil {
		return
	}
	if s.Flow == nil && w.CountRanges == nil {
		for how, want := range map[string][]int{"sent": w.Sent, "served": w.Served, "refused": w.Refused, "failed": w.Failed} {
			if got := slices.Sorted(slices.Values(v.idsByEvent[how])); !slices.Equal(got, slices.Sorted(slices.Values(want))) {
				v.failf("%s: %v, want %v", how, got, want)
			}
		}
	}
	for name, bounds := range w.CountRanges {
		if n := v.counts[name]; n < bounds[0] || n > bounds[1] {
			v.failf("%s: %d, want %d to %d", name, n, bounds[0], bounds[1])
		}
	}
	for _, at := range slices.Sorted(maps.Keys(v.sentTo)) {
		if len(w.OnlyServers) > 0 && !slices.Contains(w.OnlyServers, v.serverNames[at-1]) {
			v.failf("sent to %s, want only %v", v.serverNames[at-1], w.OnlyServers)
		}
	}
	maxRetryAfter := time.Duration(numberSetting(v.settings, "caps", "max_retry_after_ms") * 1e6)
	for i, d := range v.retryAfters {
		switch {
		case w.RetryAfter == "yes" && (d <= 0 || d > maxRetryAfter), w.RetryAfter == "no" && d != 0:
			v.failf("a refusal has Retry-After %v", d)
		case w.RetryAfterVaries && slices.Index(v.retryAfters, d) != i:
			v.failf("two refusals have the same Retry-After %v", d)
		}
	}
	if w.RetryAfter != "" && len(v.retryAfters) == 0 {
		v.failf("no request was refused")
	}
	if w.DiscoveryAsked && v.counts["asks"] == 0 {
		v.failf("discovery was not asked")
	}
}
