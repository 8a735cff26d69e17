package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"arrowgw/internal/balance"
	"arrowgw/internal/guard"
	"arrowgw/internal/rules"
	"arrowgw/policy"
)

const (
	countersLogInterval  = 5 * time.Second        // between two log lines with the counters
	serverCountsInterval = 100 * time.Millisecond // minimum time between two updates of the console's server counts
	eventQueueLength     = 256                    // events that may wait before post blocks
)

// loop owns the Balancer of package policy, the decision module, and implements balance.Host for it. All of its events
// run on one goroutine, in order; other goroutines hand them over with post. The loop guarantees exactly one final
// answer for each request and one Outcome for each attempt.
type loop struct {
	clock             clock
	balancer          *policy.Balancer
	upstream          *transport
	handover          *sharedState          // stores the operator calls
	subscribe         func()                // subscribes to the server list
	clientCounters    func() map[string]int // counters of the client connections, for the log
	discoveryCounters func() map[string]int // counters of the discovery calls, for the log
	memory            *memoryAccount
	adaptMemory       func() // sets the limits of memory by what files take now
	trace             *trace
	guard             *guard.Guard                                // checks every start, send, retry, answer and close
	limitTimeLeft     func(now, left time.Duration) time.Duration // shortens a request's remaining time during a shutdown
	maxAttempts       int                                         // for one request
	classes           []balance.Class

	serverCounts   atomic.Pointer[serverCounts] // last published counts, for the console
	serverCountsAt time.Duration                // when they were published

	lastID         atomic.Uint64
	events         chan func(now time.Duration)
	now            time.Duration // time of the event being run
	requests       map[balance.RequestID]*request
	addresses      map[balance.ServerID]string // of the listed servers
	readyServers   map[balance.ServerID]bool   // whether each server in addresses is ready
	unsentOutcomes []balance.Outcome           // of sends that were not carried out, to be reported after the current event
	wakeTimes      []time.Duration             // when Balancer.Wake is due, in order
	wakeTimer      *time.Timer                 // set for the first of wakeTimes
}

// serverCounts holds the number of listed servers and of those that the module currently avoids.
type serverCounts struct{ listed, unavailable int }

// request is an entry of the request table. It stays until the request has its answer and all its attempts have
// ended.
type request struct {
	outbound         *outboundRequest
	reply            chan<- answer
	deadline         time.Duration
	attempts         []*exchange    // by number; nil if nothing was sent or the answer has begun to stream
	attemptsInFlight int            // attempts whose Outcome has not been reported
	stream           *stream        // the answer, if it is passed on as it arrives
	settled          bool           // has its final answer, or its client has left
	lastTimedOut     bool           // the attempt that ended last timed out; decides the status of a failure
	lastEnding       balance.Ending // of the attempt that ended last
}

// answer is the final answer to a request.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	stream     *stream       // set if the body is passed on as it arrives
	retryAfter time.Duration // advice to the client of a refused request
}

// newLoop returns a loop for a configuration, with its Balancer created but not started.
func newLoop(cfg *Config, c clock, up *transport) (*loop, error) {
	l := &loop{
		clock: c, upstream: up, subscribe: func() {}, maxAttempts: cfg.Policy.MaxAttempts, classes: cfg.Policy.Classes,
		clientCounters:    func() map[string]int { return nil },
		discoveryCounters: func() map[string]int { return nil },
		adaptMemory:       func() {},
		handover:          new(sharedState),
		trace:             newTrace(),
		guard:             guard.New(logViolation, cfg.DrainGrace),
		limitTimeLeft:     func(_, left time.Duration) time.Duration { return left },
		events:            make(chan func(time.Duration), eventQueueLength),
		requests:          make(map[balance.RequestID]*request),
		addresses:         make(map[balance.ServerID]string),
		readyServers:      make(map[balance.ServerID]bool),
		wakeTimer:         time.NewTimer(time.Hour),
	}
	var err error
	if l.balancer, err = policy.New(cfg.Policy, cfg.Seed, l); err != nil {
		return nil, err
	}
	l.serverCounts.Store(new(serverCounts))
	return l, nil
}

// publishServerCounts updates the console's server counts, at most once per serverCountsInterval, as the loop runs
// events much more often.
func (l *loop) publishServerCounts() {
	if l.now-l.serverCountsAt < serverCountsInterval {
		return
	}
	l.serverCountsAt = l.now
	var m serverCounts
	m.listed, m.unavailable = l.balancer.ServerCounts(l.now)
	l.serverCounts.Store(&m)
}

// setServerDisabled administratively disables or enables a server. It returns once the module has applied the call
// and the call is durable, with an errNotDurable if it could not be stored. A server that is neither listed nor
// disabled is an error.
func (l *loop) setServerDisabled(ctx context.Context, instance string, disabled bool) error {
	id, known := serverID(instance), make(chan bool, 1)
	if err := l.postAndWait(ctx, func(time.Duration) {
		_, listed := l.addresses[id]
		known <- listed || l.balancer.Disabled(id)
	}); err != nil {
		return err
	}
	if !<-known {
		return fmt.Errorf("no server has the id %q", instance)
	}
	at := l.clock.now()
	if err := l.postAndWait(ctx, func(now time.Duration) { l.applyOperatorCall(now, instance, disabled, at) }); err != nil {
		return err
	}
	err := l.handover.saveCall(instance, disabled, time.Unix(0, int64(at)))
	if err != nil {
		slog.Error("by hand not kept", "server", instance, "out", disabled, "error", err)
	}
	if disabled && err == nil && l.handover.countProcessesWithin(countTimeout) > 1 { // once answered, the call has to be in force in the other process too
		l.waitForOtherProcess(ctx)
	}
	return err
}

// waitForOtherProcess waits long enough for the other process of an upgrade to apply the operator calls stored so
// far, even if that process stalls for up to processStallMargin.
func (l *loop) waitForOtherProcess(ctx context.Context) {
	select {
	case <-time.After(soloPollInterval + upgradePollInterval + processStallMargin):
	case <-ctx.Done():
	}
}

// learnedState returns what the module has learned about its servers and traffic.
func (l *loop) learnedState(ctx context.Context) (learned balance.Learned, err error) {
	err = l.postAndWait(ctx, func(now time.Duration) { learned = l.balancer.Learned(now) })
	return learned, err
}

// updateFleet passes the current fleet membership to the module.
func (l *loop) updateFleet(ctx context.Context, fleet balance.Fleet) error {
	return l.postAndWait(ctx, func(now time.Duration) { l.balancer.SetFleet(now, fleet) })
}

// applyRules puts a rule set in force.
func (l *loop) applyRules(ctx context.Context, set *rules.Set) error {
	return l.postAndWait(ctx, func(now time.Duration) { l.balancer.SetRules(now, set.Rules) })
}

// setProcessCount passes the number of this sidecar's running processes to the module.
func (l *loop) setProcessCount(n int) { l.post(func(time.Duration) { l.balancer.SetProcessCount(n) }) }

// applyOperatorCalls applies the calls that operators made at the other process.
func (l *loop) applyOperatorCalls(ctx context.Context, calls map[string]operatorCall) {
	_ = l.postAndWait(ctx, func(now time.Duration) { // fails only at the end of the process
		for instance, call := range calls {
			l.applyOperatorCall(now, instance, call.Out, time.Duration(call.AtMs)*time.Millisecond)
		}
	})
}

// applyOperatorCall has the module disable or enable a server, as of the moment at. A repeated call changes nothing.
func (l *loop) applyOperatorCall(now time.Duration, instance string, disabled bool, at time.Duration) {
	id := serverID(instance)
	if l.balancer.Disabled(id) == disabled {
		return
	}
	at = min(at, now) // the other process may have made the call before a backward step of the wall clock
	if disabled {
		l.balancer.Disable(now, id)
	} else {
		l.balancer.Enable(now, id, at)
	}
	slog.Info("by hand", "server", instance, "out", disabled)
	l.serverCountsAt = 0 // so that the counts are published at once
}

// postAndWait runs an event on the loop's goroutine and returns once it has run.
func (l *loop) postAndWait(ctx context.Context, event func(now time.Duration)) error {
	done := make(chan struct{})
	select {
	case l.events <- func(now time.Duration) { event(now); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// post queues an event for the loop's goroutine. It blocks while the queue is full; the loop itself never waits for
// a goroutine that posts.
func (l *loop) post(event func(now time.Duration)) { l.events <- event }

// run starts the Balancer, gives it the servers known so far and what an earlier process learned, and then runs
// events until ctx ends.
func (l *loop) run(ctx context.Context, known listing) {
	l.now = l.clock.now()
	l.balancer.Start(l.now)
	for instance, call := range l.handover.currentCalls() { // an enabled server is disabled first, so that the module treats it as cold
		l.applyOperatorCall(l.now, instance, true, 0)
		l.applyOperatorCall(l.now, instance, call.Out, time.Duration(call.AtMs)*time.Millisecond)
	}
	known.whole = true
	l.applyList(known, balance.ListCached)
	if learned, ok := l.handover.loadLearned(); ok {
		l.balancer.RestoreLearned(l.now, learned)
	}
	counters := time.NewTicker(countersLogInterval)
	defer counters.Stop()
	for {
		l.reportUnsent()
		l.publishServerCounts()
		select {
		case event := <-l.events:
			l.now = l.clock.now()
			event(l.now)
		case <-l.wakeTimer.C:
			l.now = l.clock.now()
			l.runDueWakes()
		case <-counters.C:
			l.adaptMemory()
			slog.Info("counters", "module", fmt.Sprintf("%+v", l.balancer.Counters()),
				"upstream", l.upstream.counters(), "clients", l.clientCounters(), "discovery", l.discoveryCounters(), "requests", l.trace.counters(), "guard", guardCounters(l.guard), "memory", l.memory.logAmounts())
		case <-ctx.Done():
			return
		}
	}
}

// runDueWakes calls Balancer.Wake once for all wake times that have passed.
func (l *loop) runDueWakes() {
	due := 0
	for due < len(l.wakeTimes) && l.wakeTimes[due] <= l.now {
		due++
	}
	if l.wakeTimes = slices.Delete(l.wakeTimes, 0, due); due > 0 {
		l.balancer.Wake(l.now)
	}
	l.resetWakeTimer()
}

// resetWakeTimer sets the timer for the earliest wake time.
func (l *loop) resetWakeTimer() {
	if len(l.wakeTimes) > 0 {
		l.wakeTimer.Reset(l.wakeTimes[0] - l.now)
	}
}

// reportUnsent reports to the module the sends that were not carried out. It runs after the module has returned, as
// methods of balance.Host must not call back into it.
func (l *loop) reportUnsent() {
	for len(l.unsentOutcomes) > 0 {
		o := l.unsentOutcomes[0]
		l.unsentOutcomes = l.unsentOutcomes[1:]
		l.reportOutcome(o)
	}
}

// applyListing queues an answer of discovery, a whole list or changes.
func (l *loop) applyListing(update listing) {
	kind := balance.ListDelta
	if update.whole {
		kind = balance.ListFull
	}
	l.post(func(time.Duration) { l.applyList(update, kind) })
}

// discoveryFailed reports a failed call to discovery to the module.
func (l *loop) discoveryFailed() {
	l.post(func(now time.Duration) { l.balancer.UpdateServers(now, balance.ListFailed, nil) })
}

// applyList updates the addresses of the listed servers, closes idle connections to addresses that are no longer
// listed, and passes the list to the module.
func (l *loop) applyList(update listing, kind balance.ListKind) {
	gone := make(map[string]bool) // addresses that are no longer listed
	if update.whole {
		for _, address := range l.addresses {
			gone[address] = true
		}
		clear(l.addresses)
		clear(l.readyServers)
	}
	for _, s := range update.servers {
		if old, ok := l.addresses[s.ID]; ok {
			gone[old] = true
			delete(l.addresses, s.ID)
			delete(l.readyServers, s.ID)
		}
		if s.State != balance.Gone {
			l.addresses[s.ID] = update.addresses[s.ID]
			l.readyServers[s.ID] = s.State == balance.Ready
		}
	}
	ready := make(map[string]bool) // addresses with a ready server, even if others at the same address are not
	for id, address := range l.addresses {
		delete(gone, address)
		ready[address] = ready[address] || l.readyServers[id]
	}
	for address := range gone {
		l.upstream.closeIdle(address)
		l.guard.SetServerState(l.now, address, balance.Gone)
	}
	for _, s := range update.servers {
		if address, listed := l.addresses[s.ID]; listed {
			l.guard.SetServerState(l.now, address, addressState(ready[address]))
		}
	}
	l.balancer.UpdateServers(l.now, kind, update.servers)
}

// addressState returns the state of an address: ready if any server listed there is ready, else draining.
func addressState(ready bool) balance.State {
	if ready {
		return balance.Ready
	}
	return balance.Draining
}

// submit enters a request whose final answer goes to reply, a channel with room for it. The returned ID identifies
// the request for clientGone.
func (l *loop) submit(q balance.Request, outbound *outboundRequest, deadline time.Duration, reply chan<- answer) balance.RequestID {
	q.ID = balance.RequestID(l.lastID.Add(1))
	class := l.classes[q.Class]
	l.guard.Admit(q.ID, guard.Request{
		RequestID: outbound.id, Deadline: deadline, DeadlineUncertainty: outbound.arrivalUncertainty,
		Effect: class.Idempotency, Window: class.DedupWindow, BodyPending: outbound.upload != nil,
	})
	outbound.permitWrite = func(now time.Duration, address string) error {
		if err := l.guard.PermitWrite(now, q.ID, address); err != nil {
			return err
		}
		return l.claimID(q.Class, outbound)
	}
	outbound.onWritten = func(began, now time.Duration, address string) { l.guard.AttemptWritten(began, now, q.ID, address) }
	if outbound.upload != nil {
		q.BodyPending = true
		outbound.upload.onRead = func() { l.post(func(time.Duration) { outbound.releaseBody() }) } // it can't be sent again
		onArrived := outbound.upload.onArrived
		outbound.upload.onArrived = func(deadline time.Duration) {
			onArrived(deadline)
			l.post(func(now time.Duration) { l.bodyArrived(now, q.ID, deadline) })
		}
	}
	if askPresence := outbound.clientPresence; askPresence != nil {
		outbound.clientPresence = func() presence {
			found := askPresence()
			if found == clientGone {
				l.guard.ClientLeft(l.clock.now(), q.ID)
				l.clientGone(q.ID) // posted before the end of the attempt that finds this out, or the module would retry
			}
			return found
		}
	}
	l.post(func(now time.Duration) {
		q.TimeLeft = deadline - now
		l.requests[q.ID] = &request{outbound: outbound, deadline: deadline, reply: reply}
		l.balancer.Request(now, q)
	})
	return q.ID
}

// errRepeatedID is the error of an attempt for a request whose id has been sent to a server by another request.
var errRepeatedID = errors.New("a request with this id has been sent")

// isRepeated reports whether a request with the id of a new one has been sent to a server, and must not run again.
func (l *loop) isRepeated(class int, id string) bool {
	return l.classes[class].Idempotency != balance.Safe && l.handover.sentIDs != nil && l.handover.sentIDs.Contains(id)
}

// claimID records that a request is sent to a server. It fails if another one with the same id has been, and must not run again.
// The attempts of a request follow one another.
func (l *loop) claimID(class int, outbound *outboundRequest) error {
	if outbound.idClaimed || l.classes[class].Idempotency == balance.Safe || l.handover.sentIDs == nil {
		return nil
	}
	if outbound.idClaimed = l.handover.sentIDs.Claim(outbound.id); !outbound.idClaimed {
		return errRepeatedID
	}
	return nil
}

// clientGone handles a client that has closed its connection: the request ends without an answer, or its answer's
// stream is aborted.
func (l *loop) clientGone(id balance.RequestID) {
	l.post(func(now time.Duration) {
		r := l.requests[id]
		switch {
		case r == nil:
		case r.stream != nil:
			r.stream.abort()
		case !r.settled:
			l.finishRequest(id, r, nil)
			l.balancer.ClientGone(now, id)
		}
	})
}

// bodyArrived is called when the last byte of a request's body is known to have arrived, from which the client's timeout
// counts. deadline is when that is over.
func (l *loop) bodyArrived(now time.Duration, id balance.RequestID, deadline time.Duration) {
	if r := l.requests[id]; r != nil && !r.settled {
		left := l.limitTimeLeft(now, deadline-now)
		l.trace.logStep("body arrived", r.outbound.id, slog.Duration("left", left))
		r.deadline = now + left
		l.guard.BodyEnded(id, r.deadline)
		l.balancer.BodyEnded(now, id, left)
	}
}

// finishRequest settles a request with its final answer, or with nil if its client has left.
func (l *loop) finishRequest(id balance.RequestID, r *request, a *answer) {
	r.settled = true
	r.outbound.releaseBody()
	switch {
	case a == nil:
		l.guard.AnswerDropped(id)
	case l.guard.PermitAnswer(l.now, id) == nil:
		r.reply <- *a
	}
	if r.attemptsInFlight == 0 {
		delete(l.requests, id)
	}
}

// reportOutcome reports to the module how an attempt ended. It is called exactly once per attempt.
func (l *loop) reportOutcome(o balance.Outcome) {
	r := l.requests[o.ID]
	r.attemptsInFlight--
	o.Settled = r.settled
	l.balancer.Outcome(l.now, o)
	if r.settled && r.attemptsInFlight == 0 {
		delete(l.requests, o.ID)
	}
}

// streamBegan handles an attempt whose answer has begun to stream: the answer goes to the client as it arrives, and
// the attempt can no longer be cancelled.
func (l *loop) streamBegan(id balance.RequestID, number int, result attemptResult) {
	r := l.requests[id]
	if r.settled || r.attempts[number].isCancelled() { // cancelled while this event was queued: its connection is closed
		result.stream.abort()
		return
	}
	r.attempts[number], r.stream = nil, result.stream
	l.finishRequest(id, r, &answer{status: http.StatusOK, header: result.header, stream: result.stream})
	l.balancer.StreamStarted(l.now, id, number)
}

// attemptEnded handles the end of an attempt. The first served answer goes to the client at once and settles the
// request.
func (l *loop) attemptEnded(id balance.RequestID, number int, sent time.Duration, result attemptResult) {
	r := l.requests[id]
	l.guard.AttemptEnded(sent, id, result.ending)
	r.lastTimedOut, r.lastEnding = result.ending == balance.TimedOut, result.ending
	l.trace.logAttemptEnded(r.outbound, number, result.ending)
	if result.ending == balance.Served && !r.settled {
		l.finishRequest(id, r, &answer{status: http.StatusOK, header: result.header, body: result.body})
	}
	l.reportOutcome(balance.Outcome{ID: id, Attempt: number, Ending: result.ending, Load: result.load, BodySpent: r.outbound.bodyConsumed()})
}

// Send starts an attempt that is abandoned after timeout or at the client's deadline, whichever is earlier; a timeout of
// 0 means the deadline. If the request is not written completely within sendWithin, it is cut short; 0 means no such
// limit. Nothing is sent if either duration is negative, if the request is settled or has used up its attempts, its
// body or its time, or if the server is not listed.
func (l *loop) Send(id balance.RequestID, to balance.ServerID, timeout, sendWithin time.Duration) {
	r := l.requests[id]
	if r == nil {
		return // settled, with all attempts ended: the module has forgotten it too
	}
	number, left := len(r.attempts), r.deadline-l.now
	r.attemptsInFlight++
	address := l.addresses[to]
	forbidden := r.settled || number >= l.maxAttempts || left <= 0 || timeout < 0 || sendWithin < 0 || address == ""
	if spent := r.outbound.bodyConsumed(); forbidden || spent || l.guard.PermitSend(l.now, id, address) != nil {
		r.attempts = append(r.attempts, nil)
		l.unsentOutcomes = append(l.unsentOutcomes, balance.Outcome{ID: id, Attempt: number, Ending: balance.NotSent, BodySpent: spent})
		return
	}
	if timeout == 0 || timeout > left {
		timeout = left
	}
	if sendWithin > 0 {
		sendWithin += l.now
	}
	if r.outbound.upload != nil { // its last byte may have arrived long ago and still be unread
		r.outbound.timeLeft = min(r.outbound.timeLeft, left)
	}
	sent := l.now
	l.trace.logAttempt(r.outbound.id, number, r.lastEnding, address, timeout)
	r.attempts = append(r.attempts, l.upstream.send(address, r.outbound, l.now+timeout, sendWithin, r.deadline, func(res attemptResult) {
		l.post(func(time.Duration) {
			if res.stream != nil {
				l.streamBegan(id, number, res)
			} else {
				l.attemptEnded(id, number, sent, res)
			}
		})
	}))
}

// Refuse ends a request with a 503, which promises the client that retrying is harmless.
func (l *loop) Refuse(id balance.RequestID, retryAfter time.Duration, why balance.Reason) {
	if r := l.requests[id]; r != nil && !r.settled {
		l.trace.logRefused(r.outbound.id, why, len(r.attempts))
		l.finishRequest(id, r, &answer{status: http.StatusServiceUnavailable, retryAfter: retryAfter})
	}
}

// Fail ends a request with 504 if its last attempt timed out or one is still in flight, else with 502. The client can't
// conclude from either whether the request has run.
func (l *loop) Fail(id balance.RequestID, why balance.Reason) {
	r := l.requests[id]
	if r == nil || r.settled {
		return
	}
	status := http.StatusBadGateway
	if r.lastTimedOut || r.attemptsInFlight > 0 {
		status = http.StatusGatewayTimeout
	}
	l.trace.logFailed(r.outbound.id, why, len(r.attempts))
	l.finishRequest(id, r, &answer{status: status})
}

// Cancel cancels an attempt. Its Outcome is still reported.
func (l *loop) Cancel(id balance.RequestID, attempt int) {
	if r := l.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) && r.attempts[attempt] != nil {
		r.attempts[attempt].cancel()
	}
}

// Withdraw cancels an attempt if no byte of its request has been written. Otherwise the attempt continues.
func (l *loop) Withdraw(id balance.RequestID, attempt int) {
	if r := l.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) && r.attempts[attempt] != nil {
		r.attempts[attempt].withdraw()
	}
}

// Wake schedules a call of Balancer.Wake after d. Wakes due at the same moment share one call.
func (l *loop) Wake(d time.Duration) {
	at := l.now + max(d, 0)
	i, found := slices.BinarySearch(l.wakeTimes, at)
	if found {
		return
	}
	if l.wakeTimes = slices.Insert(l.wakeTimes, i, at); i == 0 {
		l.resetWakeTimer()
	}
}

// Probe requests the load report of a server and passes the result to the module.
func (l *loop) Probe(to balance.ServerID) {
	report := func(ok bool, load balance.Load) {
		l.post(func(now time.Duration) { l.balancer.Probed(now, to, ok, load) })
	}
	address := l.addresses[to]
	if address == "" { // no longer listed; reported from another goroutine, as methods of balance.Host must not call back
		go report(false, balance.Load{})
		return
	}
	l.upstream.probe(address, l.now, report)
}

// CloseIdle closes the idle connections to a server.
func (l *loop) CloseIdle(to balance.ServerID) { l.upstream.closeIdle(l.addresses[to]) }

// WatchList subscribes to the server list at discovery.
func (l *loop) WatchList() { l.subscribe() }

// Log writes a line of the module to the log.
func (l *loop) Log(line string) { slog.Info("module", "says", line) }
