// Package guard checks the invariants of a request's life in one place: each admission, attempt, retry, answer and
// close of a sidecar is reported to a Guard. The Guard permits or denies operations before they are done, and counts a
// violation for each operation that was done against an invariant. It has no sockets and no clock: its callers report
// each event with its time by their own clock.
//
// A denial is the result of an ordinary race, such as a client that disconnects while its attempt connects. A violation
// is a fault of this program, or the effect of a machine that stalled.
package guard

import (
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"arrowgw/internal/balance"
)

// Invariant is a condition that the handling of requests must satisfy.
type Invariant int

// The invariants.
const (
	Started       Invariant = iota // no request is admitted before the sidecar is ready, and none twice
	SentWhileOpen                  // nothing is sent for a request that has ended or whose client has left
	SentInTime                     // nothing is sent after a request's deadline
	RepeatAllowed                  // a request that may have run is sent again only if its class allows it, and in parallel only if it is safe
	AnsweredOnce                   // a request has at most one final answer
	AnsweredSoon                   // a final answer is given at most AnswerSlack after the latest time that the deadline may be
	ClosedAfter                    // the connection of a waiting client is not closed without an answer
	SentToListed                   // nothing is sent to a server that has been listed as draining or gone for longer than the drain grace
	invariantCount
)

var invariantNames = [invariantCount]string{
	"started", "sent_while_open", "sent_in_time", "repeat_allowed", "answered_once", "answered_soon", "closed_after", "sent_to_listed",
}

// String returns the invariant's name in the log and in metrics.
func (r Invariant) String() string { return invariantNames[r] }

const (
	// ClientLeftSlack is how long after its client has left an attempt may begin without a violation: 0.1 s that
	// operators allow, and 0.15 s for a stall of the process between its check and its write.
	ClientLeftSlack = 250 * time.Millisecond
	// AnswerSlack is how long after the deadline operators allow a final answer to be given.
	AnswerSlack = 500 * time.Millisecond
	// DrainGraceSlack is how long after the drain grace operators allow an attempt to begin.
	DrainGraceSlack = 50 * time.Millisecond
	// goneRetention is how long a server is remembered as gone. After that no attempt can be on its way to it.
	goneRetention = time.Minute
	// sweepsPerRetention is how often per goneRetention expired entries are removed.
	sweepsPerRetention = 10
)

// DeniedError is the error of an operation that an invariant does not permit.
type DeniedError struct{ Invariant Invariant }

// Error implements error.
func (d DeniedError) Error() string { return "not permitted: " + d.Invariant.String() }

// Violation is one violation of an invariant.
type Violation struct {
	Invariant Invariant
	RequestID string // X-Request-ID of the request; empty if unknown
	Detail    string // what happened
	Timed     bool   // it is a matter of time only, so that a machine that stalled may have caused it
}

// Request describes a request when it is admitted.
type Request struct {
	RequestID           string // X-Request-ID
	Deadline            time.Duration
	DeadlineUncertainty time.Duration // how much later than Deadline its client's deadline may be
	Effect              balance.Idempotency
	Window              time.Duration // keyed requests only: how long after the first attempt servers drop repeats
	BodyPending         bool          // its body is still arriving, and its deadline is not set yet
}

// requestState is the state of an admitted request. It is kept until the request and all of its attempts have ended.
type requestState struct {
	Request
	attemptsInFlight int           // attempts that have not ended
	firstRun         time.Duration // when the first attempt was sent that may have run
	mayHaveRun       bool          // an attempt may have run
	answered         bool
	noAnswerDue      bool // no further answer will be given: one has been, or the client has left
	clientLeft       bool // the client has closed its connection or the sending side of it
	clientLeftAt     time.Duration
	handlerEnded     bool // its handler has returned
}

// notReadyServer is a server that is listed as draining or gone. A draining one is kept as long as it is listed.
type notReadyServer struct {
	since time.Duration
	gone  bool
}

// Guard checks the invariants for all requests of a process. Its methods are safe for concurrent use.
type Guard struct {
	report     func(Violation)
	drainGrace time.Duration // how long a server may be sent to after it was listed as draining or gone; 0: without limit
	ready      atomic.Bool
	violations [invariantCount]atomic.Uint64
	denials    [invariantCount]atomic.Uint64

	mu       sync.Mutex
	requests map[balance.RequestID]*requestState
	notReady map[string]notReadyServer // servers that are listed as draining or gone, by address

	lastSweep time.Duration // when expired entries of notReady were last removed
}

// New returns a Guard. It calls report for each violation; report must not call the Guard. drainGrace is how long a
// server may still be sent to after it was listed as draining or gone; 0 means without limit.
func New(report func(Violation), drainGrace time.Duration) *Guard {
	return &Guard{report: report, drainGrace: drainGrace, requests: make(map[balance.RequestID]*requestState), notReady: make(map[string]notReadyServer)}
}

// Start records that the sidecar is ready to admit requests.
func (g *Guard) Start() { g.ready.Store(true) }

// Admit records a new request.
func (g *Guard) Admit(id balance.RequestID, r Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.requests[id] != nil || !g.ready.Load() {
		g.reportViolation(Started, r.RequestID, "admitted before the sidecar was ready, or twice")
	}
	g.requests[id] = &requestState{Request: r}
}

// BodyEnded records that the last byte of a request's body has arrived, and sets the request's deadline, which
// counts from then.
func (g *Guard) BodyEnded(id balance.RequestID, deadline time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.requests[id]; s != nil {
		s.BodyPending, s.Deadline = false, deadline
	}
}

// SetServerState records the listed state of the server at an address. A state that is repeated counts from the first
// time.
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

// PermitSend returns nil if an attempt, the first or a retry, may be started at the server at an address. The caller
// has to call AttemptEnded for each permitted attempt.
func (g *Guard) PermitSend(now time.Duration, id balance.RequestID, address string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.requests[id]
	if invariant, denied := s.sendDenied(now, g.ready.Load()); denied {
		return g.deny(invariant)
	}
	if s.Effect != balance.Safe && s.attemptsInFlight > 0 || s.mayHaveRun && !s.mayRepeat(now) {
		g.reportViolation(RepeatAllowed, s.RequestID, "a retry was started that its class does not allow")
		return g.deny(RepeatAllowed)
	}
	if g.notReadyFor(now, address) > g.drainGrace {
		g.reportViolation(SentToListed, s.RequestID, "an attempt was started at a server that is draining or gone")
		return g.deny(SentToListed)
	}
	s.attemptsInFlight++
	return nil
}

// PermitWrite returns nil if the first byte of an attempt may be written to an address now.
func (g *Guard) PermitWrite(now time.Duration, id balance.RequestID, address string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.requests[id]
	invariant, denied := s.sendDenied(now, true)
	switch {
	case denied:
		return g.deny(invariant)
	case s.mayHaveRun && !s.mayRepeat(now):
		return g.deny(RepeatAllowed)
	case g.notReadyFor(now, address) > g.drainGrace:
		return g.deny(SentToListed)
	}
	return nil
}

// notReadyFor returns how long the server at an address has been listed as draining or gone; 0 if it is ready or
// there is no drain grace.
func (g *Guard) notReadyFor(now time.Duration, address string) time.Duration {
	o, found := g.notReady[address]
	if !found || g.drainGrace == 0 {
		return 0
	}
	return now - o.since
}

// sendDenied returns the invariant, if any, that forbids sending anything for a request. ready is whether the sidecar
// is ready. s may be nil.
func (s *requestState) sendDenied(now time.Duration, ready bool) (Invariant, bool) {
	switch {
	case !ready:
		return Started, true
	case s == nil || s.answered || s.clientLeft || s.handlerEnded:
		return SentWhileOpen, true
	case !s.BodyPending && now >= s.Deadline:
		return SentInTime, true
	}
	return 0, false
}

// mayRepeat reports whether a request that may have run can be sent again.
func (s *requestState) mayRepeat(now time.Duration) bool {
	return s.Effect == balance.Safe || s.Effect == balance.Keyed && now < s.firstRun+s.Window
}

// AttemptWritten records that the last byte of an attempt, whose write began at began, has been written to an address.
func (g *Guard) AttemptWritten(began, now time.Duration, id balance.RequestID, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.requests[id]
	switch {
	case s == nil:
		g.reportViolation(SentWhileOpen, "", "an attempt was written for an unknown request")
	case s.clientLeft && began > s.clientLeftAt+ClientLeftSlack:
		g.reportLate(SentWhileOpen, s.RequestID, fmt.Sprintf("an attempt began %v after its client left", began-s.clientLeftAt))
	case s.mayHaveRun && !s.mayRepeat(now):
		g.reportViolation(RepeatAllowed, s.RequestID, "a retry was written that its class no longer allows")
	}
	if requestID := requestIDOf(s); g.notReadyFor(began, address) > g.drainGrace+DrainGraceSlack {
		g.reportLate(SentToListed, requestID, fmt.Sprintf("an attempt at %s began %v after the server was listed as draining or gone", address, g.notReadyFor(began, address)))
	}
}

// requestIDOf returns the X-Request-ID of a request, or "" for nil.
func requestIDOf(s *requestState) string {
	if s == nil {
		return ""
	}
	return s.RequestID
}

// AttemptEnded records how an attempt ended that PermitSend permitted at time sent.
func (g *Guard) AttemptEnded(sent time.Duration, id balance.RequestID, ending balance.Ending) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.requests[id]
	if s == nil {
		return
	}
	s.attemptsInFlight--
	never := ending == balance.TurnedAway || ending == balance.NoConnection || ending == balance.NotSent
	if !never && !s.mayHaveRun {
		s.mayHaveRun, s.firstRun = true, sent
	}
	g.forgetIfEnded(id, s)
}

// ClientLeft records that a request's client has closed its connection.
func (g *Guard) ClientLeft(now time.Duration, id balance.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.requests[id]; s != nil && !s.clientLeft {
		s.clientLeft, s.clientLeftAt = true, now
	}
}

// PermitAnswer returns nil if a request may be given its final answer now.
func (g *Guard) PermitAnswer(now time.Duration, id balance.RequestID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.requests[id]
	switch {
	case s == nil || s.answered:
		g.reportViolation(AnsweredOnce, requestIDOf(s), "a second final answer, or one to an unknown request")
		return g.deny(AnsweredOnce)
	case s.handlerEnded: // the handler has returned because the client left, which the caller does not know yet
		s.noAnswerDue = true
		g.forgetIfEnded(id, s)
		return g.deny(ClosedAfter)
	case !s.BodyPending && !s.clientLeft && now > s.Deadline+s.DeadlineUncertainty+AnswerSlack:
		g.reportLate(AnsweredSoon, s.RequestID, fmt.Sprintf("answered %v after its deadline", now-s.Deadline))
	}
	s.answered, s.noAnswerDue = true, true
	return nil
}

// AnswerDropped records that a request gets no answer, because its client has left.
func (g *Guard) AnswerDropped(id balance.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.requests[id]; s != nil {
		s.noAnswerDue = true
		g.forgetIfEnded(id, s)
	}
}

// HandlerEnded records that a request's handler returns. broken means that the request has no complete answer through a
// fault outside this process: of its client, or of a server during a streamed answer.
func (g *Guard) HandlerEnded(now time.Duration, id balance.RequestID, broken bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.requests[id]
	if s == nil {
		return
	}
	if !s.answered && !s.clientLeft && !broken {
		g.reportViolation(ClosedAfter, s.RequestID, "closed without an answer while its client waits")
	}
	s.handlerEnded = true
	g.forgetIfEnded(id, s)
}

// Stop records that the process exits. A client that is still waiting is a violation.
func (g *Guard) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.requests {
		if !s.clientLeft && !s.handlerEnded {
			g.reportViolation(ClosedAfter, s.RequestID, "still open when the process exited")
		}
	}
}

// forgetIfEnded removes a request that has ended together with all of its attempts. The caller holds the lock.
func (g *Guard) forgetIfEnded(id balance.RequestID, s *requestState) {
	if s.handlerEnded && s.noAnswerDue && s.attemptsInFlight <= 0 {
		delete(g.requests, id)
	}
}

// deny counts a denial and returns its error.
func (g *Guard) deny(invariant Invariant) error {
	g.denials[invariant].Add(1)
	return DeniedError{invariant}
}

// reportViolation counts and reports a violation.
func (g *Guard) reportViolation(invariant Invariant, requestID, detail string) {
	g.violations[invariant].Add(1)
	g.report(Violation{Invariant: invariant, RequestID: requestID, Detail: detail})
}

// reportLate counts and reports a violation that is a matter of time only.
func (g *Guard) reportLate(invariant Invariant, requestID, detail string) {
	g.violations[invariant].Add(1)
	g.report(Violation{Invariant: invariant, RequestID: requestID, Detail: detail, Timed: true})
}

// InvariantCount is how often an invariant was violated, and how often it denied an operation.
type InvariantCount struct {
	Invariant          Invariant
	Violations, Denied uint64
}

// Counts returns the counts of all invariants.
func (g *Guard) Counts() []InvariantCount {
	all := make([]InvariantCount, invariantCount)
	for i := range all {
		all[i] = InvariantCount{Invariant(i), g.violations[i].Load(), g.denials[i].Load()}
	}
	return all
}
