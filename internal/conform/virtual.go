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
const epoch = time.Hour

type kind int

const (
	request kind = iota
	outcome
	wake
	list
	gone

	send
	refuse
	fail
	cancel
	withdraw
	timer
	watch
)

// event is what a virtual subject is told.
type event struct {
	kind    kind
	request balance.Request
	outcome balance.Outcome
	server  int // of the outcome
	took    time.Duration
	list    balance.ListKind
	servers []balance.Server
}

// action is what it does about that.
type action struct {
	kind    kind
	id      int
	attempt int
	server  int
	d       time.Duration
	unsent  time.Duration // how long an attempt may still be written; 0 where it is at once
}

// virtual is a subject on a virtual clock.
type virtual interface {
	// start begins its life with a list as last known.
	start(now time.Duration, seed uint64, settings map[string]any, known []balance.Server) ([]action, error)
	play(now time.Duration, e event) ([]action, error)
	close() error
}

// try is one attempt, as the player saw it sent.
type try struct {
	server int
	at     time.Duration
	until  time.Duration // then it times out
	by     time.Duration // and it is not written later than that
	late   bool          // it waits for its connection
	over   bool
	ran    bool // it may have
}

type asked struct {
	step     Step
	at       time.Duration
	tries    []try
	answered string
}

// player plays one row on a virtual subject, and holds it to the simulator's rules besides the row's own expectations.
type player struct {
	row     Row
	names   []string // of servers; the number is the place
	s       virtual
	now     time.Duration
	classes map[string]int
	tenants map[string]int
	set     map[string]any
	asked   map[int]*asked
	timers  []time.Duration
	told    map[int]balance.State
	zones   map[int]int
	late    map[int]bool   // servers, whose connections do not come up yet
	tally   map[string]int // what happened in this step
	did     map[string][]int
	to      map[int]bool
	advices []time.Duration
	faults  []string
}

func (p *player) fault(format string, args ...any) {
	p.faults = append(p.faults, fmt.Sprintf("at %v: ", p.now-epoch)+fmt.Sprintf(format, args...))
}

func (p *player) number(name string) int {
	if i := slices.Index(p.names, name); i >= 0 {
		return i + 1
	}
	p.names = append(p.names, name)
	return len(p.names)
}

func (p *player) servers(all []Server) (list []balance.Server) {
	for _, s := range all {
		e := balance.Server{ID: balance.ServerID(p.number(s.ID)), Zone: s.Zone, Weight: s.Weight, State: state(s.State)}
		if s.Late {
			p.late[int(e.ID)] = true
		}
		if s.Started != 0 {
			e.Started = epoch + s.Started.Std()
		}
		list = append(list, e)
	}
	return list
}

func state(word string) balance.State {
	return map[string]balance.State{"ready": balance.Ready, "draining": balance.Draining, "gone": balance.Gone}[word]
}

// places are where the names of a list of the settings stand.
func places(settings map[string]any, list string) map[string]int {
	all := make(map[string]int)
	entries, _ := settings[list].([]any)
	for i, e := range entries {
		m, _ := e.(map[string]any)
		all[fmt.Sprint(m["name"])] = i
	}
	return all
}

// figure reads a number of the settings.
func figure(settings map[string]any, table, key string) float64 {
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
func playVirtual(t *Tables, r Row, s virtual, seed uint64) (faults []string, err error) {
	set := t.settings(r)
	p := &player{row: r, s: s, now: epoch, set: set, classes: places(set, "classes"), tenants: places(set, "orgs"),
		asked: make(map[int]*asked), told: make(map[int]balance.State), zones: make(map[int]int), late: make(map[int]bool)}
	known, listed := p.servers(r.Known), p.servers(r.Servers)
	if len(known) == 0 {
		known = listed
	}
	p.hear(balance.ListCached, known)
	p.begin()
	acts, err := s.start(p.now, seed, set, known)
	if err != nil {
		return nil, err
	}
	if p.took(acts); len(r.Known) > 0 {
		p.hear(balance.ListFull, listed)
		if err := p.tell(event{kind: list, list: balance.ListFull, servers: listed}); err != nil {
			return nil, err
		}
	}
	for i, step := range r.Steps {
		before := len(p.faults)
		if err := p.step(step); err != nil {
			return nil, fmt.Errorf("step %d: %w", i+1, err)
		}
		for k := before; k < len(p.faults); k++ {
			p.faults[k] = fmt.Sprintf("step %d, %s", i+1, p.faults[k])
		}
	}
	last := p.now // whatever is still out times out, and all that was asked has its answer by then
	for _, q := range p.asked {
		last = max(last, q.at+q.step.Left.Std()+time.Second)
	}
	return p.faults, cmp.Or(p.until(last), p.allAnswered())
}

func (p *player) allAnswered() error {
	for _, id := range slices.Sorted(maps.Keys(p.asked)) {
		if p.asked[id].answered == "" {
			p.fault("request %d never had an answer", id)
		}
	}
	return nil
}

// begin forgets what the step before brought.
func (p *player) begin() {
	p.tally, p.did, p.to, p.advices = make(map[string]int), make(map[string][]int), make(map[int]bool), nil
}

// step plays one step, and judges what it brought.
func (p *player) step(s Step) error {
	p.begin()
	if err := p.until(max(p.now, epoch+s.At.Std())); err != nil {
		return err
	}
	for _, id := range s.Up {
		p.up(p.number(id))
	}
	if s.List != "" {
		k := map[string]balance.ListKind{"full": balance.ListFull, "delta": balance.ListDelta, "failed": balance.ListFailed}[s.List]
		servers := p.servers(s.Servers)
		p.hear(k, servers)
		if err := p.tell(event{kind: list, list: k, servers: servers}); err != nil {
			return err
		}
	}
	for _, id := range s.Ask {
		if err := p.ask(id, s); err != nil {
			return err
		}
	}
	for _, id := range s.End {
		if err := p.end(id, s.As); err != nil {
			return err
		}
	}
	for _, id := range s.Leave {
		p.asked[id].answered = "left"
		if err := p.tell(event{kind: gone, request: balance.Request{ID: balance.RequestID(id)}}); err != nil {
			return err
		}
	}
	if s.Flow != nil {
		if err := p.runFlow(s); err != nil {
			return err
		}
	}
	p.judge(s)
	return nil
}

func (p *player) ask(id int, s Step) error {
	p.asked[id] = &asked{step: s, at: p.now}
	q := balance.Request{
		ID: balance.RequestID(id), Class: p.classes[s.Class], Tenant: p.tenants[s.Tenant], TimeLeft: s.Left.Std(),
	}
	return p.tell(event{kind: request, request: q})
}

var endings = map[string]balance.Ending{
	"served": balance.Served, "error": balance.Errored, "full": balance.TurnedAway, "timeout": balance.TimedOut,
	"noconn": balance.NoConnection, "reset": balance.Broken, "spoilt": balance.Broken,
}

// end ends a request's latest attempt.
func (p *player) end(id int, as string) error {
	q := p.asked[id]
	if q == nil || len(q.tries) == 0 || q.tries[len(q.tries)-1].over {
		p.fault("request %d has no attempt out that could end", id)
		return nil
	}
	return p.ends(id, len(q.tries)-1, endings[as])
}

func (p *player) ends(id, n int, e balance.Ending) error {
	q := p.asked[id]
	a := &q.tries[n]
	a.over, a.ran = true, e != balance.TurnedAway && e != balance.NoConnection && e != balance.NotSent
	if e == balance.Served && q.answered == "" {
		p.answer(id, "served")
	}
	return p.tell(event{kind: outcome, server: a.server, took: p.now - a.at,
		outcome: balance.Outcome{ID: balance.RequestID(id), Attempt: n, Ending: e, Settled: q.answered != ""}})
}

func (p *player) answer(id int, how string) {
	p.asked[id].answered = how
	p.tally[how]++
	p.did[how] = append(p.did[how], id)
}

// hear takes down what the subject is about to be told of servers.
func (p *player) hear(k balance.ListKind, servers []balance.Server) {
	if k == balance.ListFull || k == balance.ListCached {
		for id := range p.told {
			p.told[id] = balance.Gone
		}
	}
	for _, s := range servers {
		p.told[int(s.ID)], p.zones[int(s.ID)] = s.State, s.Zone
	}
}

func (p *player) tell(e event) error {
	acts, err := p.s.play(p.now, e)
	if err != nil {
		return err
	}
	p.took(acts)
	return nil
}

// took enters what the subject did, and holds it to the rules that bind always.
func (p *player) took(acts []action) {
	for _, a := range acts {
		q := p.asked[a.id]
		switch a.kind {
		case send:
			if q == nil || q.answered != "" {
				p.fault("request %d is sent, which is not open", a.id)
				continue
			}
			p.mayGo(a, q)
			q.tries = append(q.tries, try{server: a.server, at: p.now, until: min(p.now+max(0, a.d), q.at+q.step.Left.Std()),
				by: p.now + a.unsent, late: p.late[a.server]})
			if !p.late[a.server] {
				p.written(a.id, a.server)
			}
		case cancel:
			if caps, _ := p.set["caps"].(map[string]any); caps["may_cancel"] != true {
				p.fault("request %d is called off, which the settings do not allow", a.id)
			}
		case withdraw:
			if q == nil || a.attempt < 0 || a.attempt >= len(q.tries) {
				p.fault("attempt %d of request %d is withdrawn, which there is not", a.attempt, a.id)
			} else if t := q.tries[a.attempt]; t.late && !t.over {
				if err := p.ends(a.id, a.attempt, balance.NotSent); err != nil {
					p.fault("%v", err)
				}
			}
		case refuse, fail:
			if q == nil || q.answered != "" {
				p.fault("request %d is answered, which is not open", a.id)
				continue
			}
			if late := p.now - q.at - q.step.Left.Std(); late > time.Duration(figure(p.set, "rules", "answer_slack_ms")*1e6) {
				p.fault("request %d is answered %v after its time", a.id, late)
			}
			if a.kind == fail {
				p.answer(a.id, "failed")
				continue
			}
			if effect := p.semantics(q); effect != "free" && effect != "all" && slices.ContainsFunc(q.tries, func(t try) bool { return t.ran || !t.over }) {
				p.fault("request %d is refused, though it may have run", a.id)
			}
			p.answer(a.id, "refused")
			p.advices = append(p.advices, a.d)
		case timer:
			p.timers = append(p.timers, p.now+a.d)
		case watch:
			p.tally["asks"]++
		}
	}
}

func (p *player) class(q *asked) map[string]any {
	classes, _ := p.set["classes"].([]any)
	c, _ := classes[p.classes[q.step.Class]].(map[string]any)
	return c
}

// semantics are those of a request's class, or the scope in which its repeats are dropped.
func (p *player) semantics(q *asked) string { return semantics(p.class(q)) }

func semantics(class map[string]any) string {
	if class["semantics"] == "guarded" {
		return fmt.Sprint(class["dedup_scope"])
	}
	return fmt.Sprint(class["semantics"])
}

func (p *player) window(q *asked) time.Duration {
	ms, _ := p.class(q)["window_ms"].(float64)
	return time.Duration(ms * 1e6)
}

// mayGo holds a send to the rules on repeats, drains and attempts.
func (p *player) mayGo(a action, q *asked) {
	if p.told[a.server] != balance.Ready {
		p.fault("request %d goes to %s, which was told as no longer ready", a.id, p.names[a.server-1])
	}
	if most := int(figure(p.set, "caps", "most_tries")); len(q.tries) >= most {
		p.fault("request %d has more than %d attempts", a.id, most)
	}
	for _, t := range q.tries {
		switch {
		case !t.over:
			p.fault("request %d has two attempts out", a.id)
		case t.ran && p.semantics(q) == "single_shot":
			p.fault("request %d goes out again, though it may have run", a.id)
		case t.ran && p.semantics(q) == "zone" && p.zones[t.server] != p.zones[a.server]:
			p.fault("request %d goes to another zone, where its repeat is not dropped", a.id)
		case t.ran && p.semantics(q) != "free" && (p.now >= t.at+p.window(q) || p.now+a.unsent > t.at+p.window(q)):
			p.fault("request %d may go out again after the time in which its repeats are dropped", a.id)
		}
	}
}

// written takes that an attempt has gone out.
func (p *player) written(id, server int) {
	p.tally["sent"]++
	p.tally[p.names[server-1]]++
	p.did["sent"] = append(p.did["sent"], id)
	p.to[server] = true
}

// up lets the connections to a server come up: what still waits for one is written.
func (p *player) up(server int) {
	delete(p.late, server)
	for _, id := range slices.Sorted(maps.Keys(p.asked)) {
		q := p.asked[id]
		for i := range q.tries {
			if t := &q.tries[i]; t.server == server && t.late && !t.over {
				if p.told[server] != balance.Ready || q.answered != "" {
					p.fault("request %d goes to %s late, and has its answer or is none of its servers any more", id, p.names[server-1])
				}
				t.late = false
				p.written(id, server)
			}
		}
	}
}

// until lets time pass: timers come due, and attempts time out.
func (p *player) until(end time.Duration) error {
	for {
		next, id, n, how := end+1, 0, -1, balance.TimedOut
		for _, t := range p.timers {
			next = min(next, t)
		}
		for _, k := range slices.Sorted(maps.Keys(p.asked)) {
			for i, t := range p.asked[k].tries {
				last, as := t.until, balance.TimedOut
				if t.late {
					last, as = min(last, t.by), balance.NoConnection
				}
				if !t.over && last < next {
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
			if err := p.ends(id, n, how); err != nil {
				return err
			}
			continue
		}
		p.timers = slices.DeleteFunc(p.timers, func(t time.Duration) bool { return t <= p.now })
		if err := p.tell(event{kind: wake}); err != nil {
			return err
		}
	}
}

// runFlow plays many requests one after the other.
func (p *player) runFlow(s Step) error {
	f := s.Flow
	for i := range f.Count {
		s.Tenant = cmp.Or(strings.Join(f.Tenants[min(i%max(len(f.Tenants), 1), len(f.Tenants)):][:min(1, len(f.Tenants))], ""), s.Tenant)
		begun, id := p.now, f.From+i
		if err := p.ask(id, s); err != nil {
			return err
		}
		for q := p.asked[id]; q.answered == "" && len(q.tries) > 0 && !q.tries[len(q.tries)-1].over; {
			if err := p.until(p.now + f.Took.Std()); err != nil {
				return err
			}
			n := len(q.tries) - 1
			if q.tries[n].over {
				continue
			}
			if err := p.ends(id, n, endings[cmp.Or(f.Answers[p.names[q.tries[n].server-1]], "served")]); err != nil {
				return err
			}
		}
		if err := p.until(max(p.now, begun+f.Every.Std())); err != nil {
			return err
		}
	}
	return nil
}

// judge compares a step with what is wanted of it.
func (p *player) judge(s Step) {
	w := s.Want
	if w == nil {
		return
	}
	if s.Flow == nil && w.Counts == nil {
		for how, want := range map[string][]int{"sent": w.Sent, "served": w.Served, "refused": w.Refused, "failed": w.Failed} {
			if got := slices.Sorted(slices.Values(p.did[how])); !slices.Equal(got, slices.Sorted(slices.Values(want))) {
				p.fault("%s: %v, want %v", how, got, want)
			}
		}
	}
	for name, bounds := range w.Counts {
		if n := p.tally[name]; n < bounds[0] || n > bounds[1] {
			p.fault("%s: %d, want %d to %d", name, n, bounds[0], bounds[1])
		}
	}
	for _, at := range slices.Sorted(maps.Keys(p.to)) {
		if len(w.Only) > 0 && !slices.Contains(w.Only, p.names[at-1]) {
			p.fault("sent to %s, want %v alone", p.names[at-1], w.Only)
		}
	}
	most := time.Duration(figure(p.set, "caps", "max_retry_after_ms") * 1e6)
	for i, d := range p.advices {
		switch {
		case w.Advice == "yes" && (d <= 0 || d > most), w.Advice == "no" && d != 0:
			p.fault("a refusal advises a pause of %v", d)
		case w.Apart && slices.Index(p.advices, d) != i:
			p.fault("two refusals advise the same pause of %v", d)
		}
	}
	if w.Advice != "" && len(p.advices) == 0 {
		p.fault("nothing was refused")
	}
	if w.Asks && p.tally["asks"] == 0 {
		p.fault("discovery was not asked")
	}
}
