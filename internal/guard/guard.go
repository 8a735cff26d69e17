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
	invariantCount
)

var invariantNames = [invariantCount]string{
	"started", "sent_while_open", "sent_in_time", "repeat_allowed", "answered_once", "answered_soon", "closed_after", "sent_to_listed",
}

// String returns the rule's name in the log and among the figures.
func (r Invariant) String() string { return invariantNames[r] }

const (
	// LeftSlack is how long behind a client's leaving an attempt may begin (the operators' terms): 0.1 s, and 0.15 s for a
	// machine that holds the process up between its look and its write.
	ClientLeftSlack = 250 * time.Millisecond
	// AnswerSlack is how long behind its deadline a final answer may come (the operators' terms).
	AnswerSlack = 500 * time.Millisecond
	// GraceSlack is how much longer than the grace a send may take (the operators' terms, for sockets).
	DrainGraceSlack = 50 * time.Millisecond
	// outKept bounds how long it is remembered that a server is gone: nothing is on its way there any more.
	goneRetention = time.Minute
	// clearedIn is how often in that time those are forgotten that have been kept for so long.
	sweepsPerRetention = 10
)

// Denied says which rule does not permit what was asked for.
type DeniedError struct{ Invariant Invariant }

func (d DeniedError) Error() string { return "not permitted: " + d.Invariant.String() }

// Violation is one breach of an invariant.
type Violation struct {
	Invariant Invariant
	RequestID string // the request's X-Request-ID
	Detail    string // what happened
}

// Request is what a Guard knows of a request from its start.
type Request struct {
	RequestID   string // X-Request-ID
	Deadline    time.Duration
	Effect      balance.Effect
	Window      time.Duration // keyed only: how long repeats are dropped, from the first send on
	BodyPending bool          // its body still comes: its time begins later
}

// entry is a request in the table. It stays until it has ended and none of its attempts is out.
type requestState struct {
	Request
	attemptsInFlight int           // attempts with no end yet
	firstRun         time.Duration // when the first attempt that may have run was sent
	mayHaveRun       bool          // there is one
	answered         bool
	noAnswerDue      bool // the program has no answer for it any more: it has given one, or knows that its client has left
	clientLeft       bool // its client has closed its connection, or the sending side of it
	clientLeftAt     time.Duration
	handlerEnded     bool // its handler has ended
}

// outage is what was told of a server that is not ready. One that drains is kept as long as it is listed.
type notReadyServer struct {
	since time.Duration
	gone  bool
}

// Guard checks the invariants of all requests of a process. Its methods are safe for concurrent use.
type Guard struct {
	report     func(Violation)
	drainGrace time.Duration // a server may be sent to for so long after it was told draining or gone; 0: for ever
	ready      atomic.Bool
	violations [invariantCount]atomic.Uint64
	denials    [invariantCount]atomic.Uint64

	mu       sync.Mutex
	requests map[balance.RequestID]*requestState
	notReady map[string]notReadyServer // servers that were told draining or gone, by address

	lastSweep time.Duration // when those of long ago were forgotten last
}

// New makes a Guard. report hears of each violation, and must not call back. grace is how long a server may still be sent
// to after it was told draining or gone; 0: for ever.
func New(report func(Violation), grace time.Duration) *Guard {
	return &Guard{report: report, drainGrace: grace, requests: make(map[balance.RequestID]*requestState), notReady: make(map[string]notReadyServer)}
}

// Start takes that the sidecar is ready: requests may be taken from now on.
func (g *Guard) Start() { g.ready.Store(true) }

// Take enters a request.
func (g *Guard) Admit(id balance.RequestID, r Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.requests[id] != nil || !g.ready.Load() {
		g.reportViolation(Started, r.RequestID, "taken before the sidecar was ready, or twice")
	}
	g.requests[id] = &requestState{Request: r}
}

// BodyEnded takes that a request's body has come: its time begins.
func (g *Guard) BodyEnded(id balance.RequestID, deadline time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.requests[id]; e != nil {
		e.BodyPending, e.Deadline = false, deadline
	}
}

// Listed takes what the server at an address is told to be. What is told twice counts from the first time on.
func (g *Guard) SetServerState(now time.Duration, address string, state balance.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if state == balance.Ready {
		delete(g.notReady, address)
		return
	}
	if now-g.lastSweep > goneRetention/sweepsPerRetention {
		g.lastSweep = now
		maps.DeleteFunc(g.notReady, func(_ string, o notReadyServer) bool { return o.gone && now-o.since > goneRetention })
	}
	o, known := g.notReady[address]
	if !known {
		o.since = now
	}
	o.gone = state == balance.Gone
	g.notReady[address] = o
}

// Send asks whether an attempt at the server at an address may be begun, a first or a further one. Each that may has an End.
func (g *Guard) PermitSend(now time.Duration, id balance.RequestID, address string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.requests[id]
	if rule, denied := e.sendDenied(now, g.ready.Load()); denied {
		return g.deny(rule)
	}
	if e.Effect != balance.Safe && e.attemptsInFlight > 0 || e.mayHaveRun && !e.mayRepeat(now) {
		g.reportViolation(RepeatAllowed, e.RequestID, "a repeat was asked for that its class does not allow")
		return g.deny(RepeatAllowed)
	}
	if g.notReadyFor(now, address) > g.drainGrace {
		g.reportViolation(SentToListed, e.RequestID, "an attempt was asked for at a server that drains or is gone")
		return g.deny(SentToListed)
	}
	e.attemptsInFlight++
	return nil
}

// Write asks whether the first byte of an attempt may go out to an address now.
func (g *Guard) PermitWrite(now time.Duration, id balance.RequestID, address string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.requests[id]
	rule, denied := e.sendDenied(now, true)
	switch {
	case denied:
		return g.deny(rule)
	case e.mayHaveRun && !e.mayRepeat(now):
		return g.deny(RepeatAllowed)
	case g.notReadyFor(now, address) > g.drainGrace:
		return g.deny(SentToListed)
	}
	return nil
}

// outFor is how long ago the server at an address was told draining or gone; 0: it is ready, or nothing limits sends.
func (g *Guard) notReadyFor(now time.Duration, address string) time.Duration {
	o, out := g.notReady[address]
	if !out || g.drainGrace == 0 {
		return 0
	}
	return now - o.since
}

// denies says which rule keeps anything from being sent for a request.
func (e *requestState) sendDenied(now time.Duration, ready bool) (Invariant, bool) {
	switch {
	case !ready:
		return Started, true
	case e == nil || e.answered || e.clientLeft || e.handlerEnded:
		return SentWhileOpen, true
	case !e.BodyPending && now >= e.Deadline:
		return SentInTime, true
	}
	return 0, false
}

// mayRepeat says whether a request that may have run may be sent once more.
func (e *requestState) mayRepeat(now time.Duration) bool {
	return e.Effect == balance.Safe || e.Effect == balance.Keyed && now < e.firstRun+e.Window
}

// Written takes that the last byte of an attempt has gone out to an address, which was begun at a moment.
func (g *Guard) AttemptWritten(began, now time.Duration, id balance.RequestID, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.requests[id]
	switch {
	case e == nil:
		g.reportViolation(SentWhileOpen, "", "an attempt was written for a request that is not held")
	case e.clientLeft && began > e.clientLeftAt+ClientLeftSlack:
		g.reportViolation(SentWhileOpen, e.RequestID, fmt.Sprintf("an attempt was begun %v behind its client's leaving", began-e.clientLeftAt))
	case e.mayHaveRun && !e.mayRepeat(now):
		g.reportViolation(RepeatAllowed, e.RequestID, "a repeat went out that its class does not allow any more")
	}
	if name := requestIDOf(e); g.notReadyFor(began, address) > g.drainGrace+DrainGraceSlack {
		g.reportViolation(SentToListed, name, fmt.Sprintf("an attempt was begun at %s %v after that was told draining or gone", address, g.notReadyFor(began, address)))
	}
}

// nameOf is the X-Request-ID of an entry, if there is one.
func requestIDOf(e *requestState) string {
	if e == nil {
		return ""
	}
	return e.RequestID
}

// End takes how an attempt ended that Send had permitted, begun at sent.
func (g *Guard) AttemptEnded(sent time.Duration, id balance.RequestID, ending balance.Ending) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.requests[id]
	if e == nil {
		return
	}
	e.attemptsInFlight--
	never := ending == balance.TurnedAway || ending == balance.NoConnection || ending == balance.NotSent
	if !never && !e.mayHaveRun {
		e.mayHaveRun, e.firstRun = true, sent
	}
	g.forgetIfEnded(id, e)
}

// Left takes that a request's client has closed its connection.
func (g *Guard) ClientLeft(now time.Duration, id balance.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.requests[id]; e != nil && !e.clientLeft {
		e.clientLeft, e.clientLeftAt = true, now
	}
}

// Answer asks whether a request may be given its final answer now.
func (g *Guard) PermitAnswer(now time.Duration, id balance.RequestID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.requests[id]
	switch {
	case e == nil || e.answered:
		g.reportViolation(AnsweredOnce, requestIDOf(e), "a second final answer, or one to a request that is not held")
		return g.deny(AnsweredOnce)
	case e.handlerEnded: // its handler has gone with the client, and word of that is on its way
		e.noAnswerDue = true
		g.forgetIfEnded(id, e)
		return g.deny(ClosedAfter)
	case !e.BodyPending && !e.clientLeft && now > e.Deadline+AnswerSlack:
		g.reportViolation(AnsweredSoon, e.RequestID, fmt.Sprintf("answered %v behind its deadline", now-e.Deadline))
	}
	e.answered, e.noAnswerDue = true, true
	return nil
}

// Settle takes that a request gets no answer, as its client has left.
func (g *Guard) AnswerDropped(id balance.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.requests[id]; e != nil {
		e.noAnswerDue = true
		g.forgetIfEnded(id, e)
	}
}

// Close takes that a request's handler ends. broken says that the request has no whole answer by the fault of somebody
// else than this process: of its client, or of a server in an answer under way.
func (g *Guard) HandlerEnded(now time.Duration, id balance.RequestID, broken bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.requests[id]
	if e == nil {
		return
	}
	if !e.answered && !e.clientLeft && !broken {
		g.reportViolation(ClosedAfter, e.RequestID, "closed with no answer while its client waits")
	}
	e.handlerEnded = true
	g.forgetIfEnded(id, e)
}

// Stop takes that the process ends: whoever waits now is lost.
func (g *Guard) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.requests {
		if !e.clientLeft && !e.handlerEnded {
			g.reportViolation(ClosedAfter, e.RequestID, "held when the process ended")
		}
	}
}

// forget drops a request that has ended. The caller holds the lock.
func (g *Guard) forgetIfEnded(id balance.RequestID, e *requestState) {
	if e.handlerEnded && e.noAnswerDue && e.attemptsInFlight <= 0 {
		delete(g.requests, id)
	}
}

func (g *Guard) deny(rule Invariant) error {
	g.denials[rule].Add(1)
	return DeniedError{rule}
}

func (g *Guard) reportViolation(rule Invariant, name, text string) {
	g.violations[rule].Add(1)
	g.report(Violation{rule, name, text})
}

// Count is how often a rule was violated, and how often it denied something.
type InvariantCount struct {
	Invariant          Invariant
	Violations, Denied uint64
}

// Counts lists the counts of all rules.
func (g *Guard) Counts() []InvariantCount {
	all := make([]InvariantCount, invariantCount)
	for i := range all {
		all[i] = InvariantCount{Invariant(i), g.violations[i].Load(), g.denials[i].Load()}
	}
	return all
}
