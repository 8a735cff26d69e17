// Package guard holds the invariants of a request's life in one place: each start, send, repeat, answer and close of a
// sidecar passes through a Guard. It permits or denies what is about to be done, and counts as a violation what has been
// done and should not have been. It has no sockets and no clock: the program tells it what happens, and when.
//
// A denial is an ordinary crossing, such as a client that leaves while its attempt connects. A violation is a fault of
// this program, or of a machine that stood still.
package guard

import (
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"arrowgw/internal/balance"
)

// Rule is an invariant.
type Invariant int

// The invariants.
const (
	Started       Invariant = iota // nothing is taken before the sidecar is ready, and no id twice
	SentWhileOpen                  // nothing is sent for a request that has ended, or whose client has left
	SentInTime                     // nor behind its deadline
	RepeatAllowed                  // a request that may have run is sent again only as its class allows; beside an attempt only if it is safe
	AnsweredOnce                   // one final answer
	AnsweredSoon                   // at AnswerSlack behind the deadline at the latest
	ClosedAfter                    // a client that waits is not closed on without an answer
	SentToListed                   // nothing is sent to a server that was told draining or gone longer than the grace ago
	rules
)

var names = [rules]string{
	"started", "sent_while_open", "sent_in_time", "repeat_allowed", "answered_once", "answered_soon", "closed_after", "sent_to_listed",
}

// String returns the rule's name in the log and among the figures.
func (r Invariant) String() string { return names[r] }

const (
	// LeftSlack is how long behind a client's leaving an attempt may begin (the operators' terms): 0.1 s, and 0.15 s for a
	// machine that holds the process up between its look and its write.
	LeftSlack = 250 * time.Millisecond
	// AnswerSlack is how long behind its deadline a final answer may come (the operators' terms).
	AnswerSlack = 500 * time.Millisecond
	// GraceSlack is how much longer than the grace a send may take (the operators' terms, for sockets).
	GraceSlack = 50 * time.Millisecond
	// outKept bounds how long it is remembered that a server is gone: nothing is on its way there any more.
	outKept = time.Minute
	// clearedIn is how often in that time those are forgotten that have been kept for so long.
	clearedIn = 10
)

// Denied says which rule does not permit what was asked for.
type Denied struct{ Rule Invariant }

func (d Denied) Error() string { return "not permitted: " + d.Rule.String() }

// Violation is one breach of an invariant.
type Violation struct {
	Rule      Invariant
	RequestID string // the request's X-Request-ID
	Detail    string // what happened
}

// Request is what a Guard knows of a request from its start.
type Request struct {
	RequestID   string // X-Request-ID
	Deadline    time.Duration
	Effect      balance.Idempotency
	Window      time.Duration // keyed only: how long repeats are dropped, from the first send on
	BodyPending bool          // its body still comes: its time begins later
}

// entry is a request in the table. It stays until it has ended and none of its attempts is out.
type entry struct {
	Request
	out      int           // attempts with no end yet
	ran      time.Duration // when the first attempt that may have run was sent
	mayRun   bool          // there is one
	answered bool
	settled  bool // the program has no answer for it any more: it has given one, or knows that its client has left
	left     bool // its client has closed its connection, or the sending side of it
	leftAt   time.Duration
	closed   bool // its handler has ended
}

// outage is what was told of a server that is not ready. One that drains is kept as long as it is listed.
type outage struct {
	since time.Duration
	gone  bool
}

// Guard checks the invariants of all requests of a process. Its methods are safe for concurrent use.
type Guard struct {
	report     func(Violation)
	grace      time.Duration // a server may be sent to for so long after it was told draining or gone; 0: for ever
	ready      atomic.Bool
	violations [rules]atomic.Uint64
	denials    [rules]atomic.Uint64

	mu   sync.Mutex
	open map[balance.RequestID]*entry
	out  map[string]outage // servers that were told draining or gone, by address

	cleared time.Duration // when those of long ago were forgotten last
}

// New makes a Guard. report hears of each violation, and must not call back. grace is how long a server may still be sent
// to after it was told draining or gone; 0: for ever.
func New(report func(Violation), grace time.Duration) *Guard {
	return &Guard{report: report, grace: grace, open: make(map[balance.RequestID]*entry), out: make(map[string]outage)}
}

// Start takes that the sidecar is ready: requests may be taken from now on.
func (g *Guard) Start() { g.ready.Store(true) }

// Take enters a request.
func (g *Guard) Admit(id balance.RequestID, r Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open[id] != nil || !g.ready.Load() {
		g.violated(Started, r.RequestID, "taken before the sidecar was ready, or twice")
	}
	g.open[id] = &entry{Request: r}
}

// BodyEnded takes that a request's body has come: its time begins.
func (g *Guard) BodyEnded(id balance.RequestID, deadline time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.open[id]; e != nil {
		e.BodyPending, e.Deadline = false, deadline
	}
}

// Listed takes what the server at an address is told to be. What is told twice counts from the first time on.
func (g *Guard) SetServerState(now time.Duration, address string, state balance.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if state == balance.Ready {
		delete(g.out, address)
		return
	}
	if now-g.cleared > outKept/clearedIn {
		g.cleared = now
		maps.DeleteFunc(g.out, func(_ string, o outage) bool { return o.gone && now-o.since > outKept })
	}
	o, known := g.out[address]
	if !known {
		o.since = now
	}
	o.gone = state == balance.Gone
	g.out[address] = o
}

// Send asks whether an attempt at the server at an address may be begun, a first or a further one. Each that may has an End.
func (g *Guard) PermitSend(now time.Duration, id balance.RequestID, address string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.open[id]
	if rule, denied := e.denies(now, g.ready.Load()); denied {
		return g.deny(rule)
	}
	if e.Effect != balance.Safe && e.out > 0 || e.mayRun && !e.mayRepeat(now) {
		g.violated(RepeatAllowed, e.RequestID, "a repeat was asked for that its class does not allow")
		return g.deny(RepeatAllowed)
	}
	if g.outFor(now, address) > g.grace {
		g.violated(SentToListed, e.RequestID, "an attempt was asked for at a server that drains or is gone")
		return g.deny(SentToListed)
	}
	e.out++
	return nil
}

// Write asks whether the first byte of an attempt may go out to an address now.
func (g *Guard) PermitWrite(now time.Duration, id balance.RequestID, address string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.open[id]
	rule, denied := e.denies(now, true)
	switch {
	case denied:
		return g.deny(rule)
	case e.mayRun && !e.mayRepeat(now):
		return g.deny(RepeatAllowed)
	case g.outFor(now, address) > g.grace:
		return g.deny(SentToListed)
	}
	return nil
}

// outFor is how long ago the server at an address was told draining or gone; 0: it is ready, or nothing limits sends.
func (g *Guard) outFor(now time.Duration, address string) time.Duration {
	o, out := g.out[address]
	if !out || g.grace == 0 {
		return 0
	}
	return now - o.since
}

// denies says which rule keeps anything from being sent for a request.
func (e *entry) denies(now time.Duration, ready bool) (Invariant, bool) {
	switch {
	case !ready:
		return Started, true
	case e == nil || e.answered || e.left || e.closed:
		return SentWhileOpen, true
	case !e.BodyPending && now >= e.Deadline:
		return SentInTime, true
	}
	return 0, false
}

// mayRepeat says whether a request that may have run may be sent once more.
func (e *entry) mayRepeat(now time.Duration) bool {
	return e.Effect == balance.Safe || e.Effect == balance.Keyed && now < e.ran+e.Window
}

// Written takes that the last byte of an attempt has gone out to an address, which was begun at a moment.
func (g *Guard) AttemptWritten(began, now time.Duration, id balance.RequestID, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.open[id]
	switch {
	case e == nil:
		g.violated(SentWhileOpen, "", "an attempt was written for a request that is not held")
	case e.left && began > e.leftAt+LeftSlack:
		g.violated(SentWhileOpen, e.RequestID, fmt.Sprintf("an attempt was begun %v behind its client's leaving", began-e.leftAt))
	case e.mayRun && !e.mayRepeat(now):
		g.violated(RepeatAllowed, e.RequestID, "a repeat went out that its class does not allow any more")
	}
	if name := nameOf(e); g.outFor(began, address) > g.grace+GraceSlack {
		g.violated(SentToListed, name, fmt.Sprintf("an attempt was begun at %s %v after that was told draining or gone", address, g.outFor(began, address)))
	}
}

// nameOf is the X-Request-ID of an entry, if there is one.
func nameOf(e *entry) string {
	if e == nil {
		return ""
	}
	return e.RequestID
}

// End takes how an attempt ended that Send had permitted, begun at sent.
func (g *Guard) AttemptEnded(sent time.Duration, id balance.RequestID, ending balance.Ending) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.open[id]
	if e == nil {
		return
	}
	e.out--
	never := ending == balance.TurnedAway || ending == balance.NoConnection || ending == balance.NotSent
	if !never && !e.mayRun {
		e.mayRun, e.ran = true, sent
	}
	g.forget(id, e)
}

// Left takes that a request's client has closed its connection.
func (g *Guard) ClientLeft(now time.Duration, id balance.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.open[id]; e != nil && !e.left {
		e.left, e.leftAt = true, now
	}
}

// Answer asks whether a request may be given its final answer now.
func (g *Guard) PermitAnswer(now time.Duration, id balance.RequestID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.open[id]
	switch {
	case e == nil || e.answered:
		g.violated(AnsweredOnce, nameOf(e), "a second final answer, or one to a request that is not held")
		return g.deny(AnsweredOnce)
	case e.closed: // its handler has gone with the client, and word of that is on its way
		e.settled = true
		g.forget(id, e)
		return g.deny(ClosedAfter)
	case !e.BodyPending && !e.left && now > e.Deadline+AnswerSlack:
		g.violated(AnsweredSoon, e.RequestID, fmt.Sprintf("answered %v behind its deadline", now-e.Deadline))
	}
	e.answered, e.settled = true, true
	return nil
}

// Settle takes that a request gets no answer, as its client has left.
func (g *Guard) AnswerDropped(id balance.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.open[id]; e != nil {
		e.settled = true
		g.forget(id, e)
	}
}

// Close takes that a request's handler ends. broken says that the request has no whole answer by the fault of somebody
// else than this process: of its client, or of a server in an answer under way.
func (g *Guard) HandlerEnded(now time.Duration, id balance.RequestID, broken bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.open[id]
	if e == nil {
		return
	}
	if !e.answered && !e.left && !broken {
		g.violated(ClosedAfter, e.RequestID, "closed with no answer while its client waits")
	}
	e.closed = true
	g.forget(id, e)
}

// Stop takes that the process ends: whoever waits now is lost.
func (g *Guard) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.open {
		if !e.left && !e.closed {
			g.violated(ClosedAfter, e.RequestID, "held when the process ended")
		}
	}
}

// forget drops a request that has ended. The caller holds the lock.
func (g *Guard) forget(id balance.RequestID, e *entry) {
	if e.closed && e.settled && e.out <= 0 {
		delete(g.open, id)
	}
}

func (g *Guard) deny(rule Invariant) error {
	g.denials[rule].Add(1)
	return Denied{rule}
}

func (g *Guard) violated(rule Invariant, name, text string) {
	g.violations[rule].Add(1)
	g.report(Violation{rule, name, text})
}

// Count is how often a rule was violated, and how often it denied something.
type InvariantCount struct {
	Rule               Invariant
	Violations, Denied uint64
}

// Counts lists the counts of all rules.
func (g *Guard) Counts() []InvariantCount {
	all := make([]InvariantCount, rules)
	for i := range all {
		all[i] = InvariantCount{Invariant(i), g.violations[i].Load(), g.denials[i].Load()}
	}
	return all
}
