package sidecar

import (
	"context"
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
	countersLogInterval  = 5 * time.Second        // how often the module's counters go to the log
	serverCountsInterval = 100 * time.Millisecond // and what it knows of its servers to the console
	eventQueueLength     = 256
)

// loop owns the Balancer. All of its events pass through one goroutine, in order; the other parts
// hand them over with post. Everything that must happen once a request or once an attempt, the
// final answer and the Outcome, is kept here.
type loop struct {
	clock             clock
	balancer          *policy.Balancer
	upstream          *transport
	handover          *handover             // keeps the calls by hand
	subscribe         func()                // subscribes to the list
	clientCounters    func() map[string]int // counters of the application's side
	discoveryCounters func() map[string]int // and of discovery's
	trace             *trace
	guard             *guard.Guard                                // every start, send, repeat, answer and close passes it
	limitTimeLeft     func(now, left time.Duration) time.Duration // what a stop under way leaves of a request's time
	most              int                                         // attempts for one request at most
	classes           []balance.Class

	serverCounts   atomic.Pointer[serverCounts] // the last word on the servers, for the console
	serverCountsAt time.Duration                // when it was published

	lastID         atomic.Uint64
	events         chan func(now time.Duration)
	now            time.Duration // the time of the event under way
	requests       map[balance.RequestID]*request
	addresses      map[balance.ServerID]string
	readyServers   map[balance.ServerID]bool // of those with an address
	unsentOutcomes []balance.Outcome         // owed once the event under way is over
	wakeTimes      []time.Duration           // when Wake is due, in order
	wakeTimer      *time.Timer               // set for the first of them
}

// serverCounts counts the servers in the list, and those that the module avoids.
type serverCounts struct{ listed, unavailable int }

// request is one in the table. It stays until it has its answer and all its attempts have ended.
type request struct {
	outbound         *outboundRequest
	reply            chan<- answer
	deadline         time.Duration
	attempts         []*exchange    // by number; nil: was not sent
	attemptsInFlight int            // attempts with no Outcome yet
	stream           *stream        // its answer, where that is passed on as it comes
	settled          bool           // it has its final answer, or its client has gone
	lastTimedOut     bool           // its last attempt did: what a failure is called
	lastEnding       balance.Ending // of the attempt that ended last
}

// answer is the final answer of a request.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	stream     *stream       // served, and passed on as it comes
	retryAfter time.Duration // refused: when to come back
}

func newLoop(cfg *Config, c clock, up *transport) (*loop, error) {
	l := &loop{
		clock: c, upstream: up, subscribe: func() {}, most: cfg.Policy.MaxAttempts, classes: cfg.Policy.Classes,
		clientCounters:    func() map[string]int { return nil },
		discoveryCounters: func() map[string]int { return nil },
		handover:          new(handover),
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

// publishServerCounts tells the console of the servers, now and then: the module is woken more often than that.
func (l *loop) publishServerCounts() {
	if l.now-l.serverCountsAt < serverCountsInterval {
		return
	}
	l.serverCountsAt = l.now
	var m serverCounts
	m.listed, m.unavailable = l.balancer.Members(l.now)
	l.serverCounts.Store(&m)
}

// setServerDisabled takes a server out by hand, or brings it back, and returns once the module has done so and it is
// durable; where it can't be made so it is an errNotDurable. One that is neither listed nor out is an error.
func (l *loop) setServerDisabled(ctx context.Context, instance string, out bool) error {
	id, known := serverID(instance), make(chan bool, 1)
	if err := l.postAndWait(ctx, func(time.Duration) {
		_, listed := l.addresses[id]
		known <- listed || l.balancer.Out(id)
	}); err != nil {
		return err
	}
	if !<-known {
		return fmt.Errorf("no server has the id %q", instance)
	}
	at := l.clock.now()
	if err := l.postAndWait(ctx, func(now time.Duration) { l.applyOperatorCall(now, instance, out, at) }); err != nil {
		return err
	}
	err := l.handover.saveCall(instance, out, time.Unix(0, int64(at)))
	if err != nil {
		slog.Error("by hand not kept", "server", instance, "out", out, "error", err)
	}
	if out && err == nil && l.handover.countWithin(countLimit) > 1 { // it binds the other process too, from the yes on
		l.waitForOtherProcess(ctx)
	}
	return err
}

// waitForOtherProcess waits until the other process has taken over the calls that were kept by now, also where it may be held up.
func (l *loop) waitForOtherProcess(ctx context.Context) {
	select {
	case <-time.After(alonePoll + togetherPoll + otherHeldUp):
	case <-ctx.Done():
	}
}

// learnedState asks the module what it has learned.
func (l *loop) learnedState(ctx context.Context) (told balance.Learned, err error) {
	err = l.postAndWait(ctx, func(now time.Duration) { told = l.balancer.Learned(now) })
	return told, err
}

// updateFleet tells the module who is there.
func (l *loop) updateFleet(ctx context.Context, f balance.Fleet) error {
	return l.postAndWait(ctx, func(now time.Duration) { l.balancer.Fleet(now, f) })
}

// applyRules puts a rule set in force.
func (l *loop) applyRules(ctx context.Context, set *rules.Set) error {
	return l.postAndWait(ctx, func(now time.Duration) { l.balancer.Rules(now, set.Rules) })
}

// setProcessCount takes how many processes this sidecar has.
func (l *loop) setProcessCount(n int) { l.post(func(time.Duration) { l.balancer.Share(n) }) }

// applyOperatorCalls takes over what was called for at the other process.
func (l *loop) applyOperatorCalls(ctx context.Context, handed map[string]handed) {
	_ = l.postAndWait(ctx, func(now time.Duration) { // fails only as all ends
		for instance, s := range handed {
			l.applyOperatorCall(now, instance, s.Out, time.Duration(s.AtMs)*time.Millisecond)
		}
	})
}

// applyOperatorCall has the module take a server out or back, as of the moment at. Said again, it changes nothing.
func (l *loop) applyOperatorCall(now time.Duration, instance string, out bool, at time.Duration) {
	id := serverID(instance)
	if l.balancer.Out(id) == out {
		return
	}
	at = min(at, now) // another process of before a step of the wall clock may have a later one
	if out {
		l.balancer.TakeOut(now, id)
	} else {
		l.balancer.BringBack(now, id, at)
	}
	slog.Info("by hand", "server", instance, "out", out)
	l.serverCountsAt = 0 // to be published at once
}

// postAndWait has the loop's goroutine carry out an event, and returns once it has.
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

// post hands over an event. It waits where many are under way; the loop itself never waits for
// those who post.
func (l *loop) post(event func(now time.Duration)) { l.events <- event }

// run gives the Balancer its life: start, the servers known so far, then event after event.
func (l *loop) run(ctx context.Context, known listing) {
	l.now = l.clock.now()
	l.balancer.Start(l.now)
	for instance, s := range l.handover.known() { // one that is back is taken out first, for it is cold
		l.applyOperatorCall(l.now, instance, true, 0)
		l.applyOperatorCall(l.now, instance, s.Out, time.Duration(s.AtMs)*time.Millisecond)
	}
	known.whole = true
	l.applyList(known, balance.ListCached)
	if before, ok := l.handover.loadLearned(); ok {
		l.balancer.Recall(l.now, before)
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
			slog.Info("counters", "module", fmt.Sprintf("%+v", l.balancer.Counters()),
				"upstream", l.upstream.counters(), "clients", l.clientCounters(), "discovery", l.discoveryCounters(), "requests", l.trace.counters(), "guard", guardCounters(l.guard))
		case <-ctx.Done():
			return
		}
	}
}

// runDueWakes calls the module once for all timers that are due.
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

func (l *loop) resetWakeTimer() {
	if len(l.wakeTimes) > 0 {
		l.wakeTimer.Reset(l.wakeTimes[0] - l.now)
	}
}

// reportUnsent tells the module of the sends that were not carried out. It waits until the module has
// returned, as Host's methods must not call back.
func (l *loop) reportUnsent() {
	for len(l.unsentOutcomes) > 0 {
		o := l.unsentOutcomes[0]
		l.unsentOutcomes = l.unsentOutcomes[1:]
		l.reportOutcome(o)
	}
}

// applyListing takes news from discovery.
func (l *loop) applyListing(news listing) {
	kind := balance.ListDelta
	if news.whole {
		kind = balance.ListFull
	}
	l.post(func(time.Duration) { l.applyList(news, kind) })
}

func (l *loop) discoveryFailed() {
	l.post(func(now time.Duration) { l.balancer.List(now, balance.ListFailed, nil) })
}

func (l *loop) applyList(news listing, kind balance.ListKind) {
	gone := make(map[string]bool) // addresses that nothing can be sent to any more
	if news.whole {
		for _, address := range l.addresses {
			gone[address] = true
		}
		clear(l.addresses)
		clear(l.readyServers)
	}
	for _, s := range news.servers {
		if old, ok := l.addresses[s.ID]; ok {
			gone[old] = true
			delete(l.addresses, s.ID)
			delete(l.readyServers, s.ID)
		}
		if s.State != balance.Gone {
			l.addresses[s.ID] = news.addresses[s.ID]
			l.readyServers[s.ID] = s.State == balance.Ready
		}
	}
	ready := make(map[string]bool) // addresses of ready servers, though others may be listed there too
	for id, address := range l.addresses {
		delete(gone, address)
		ready[address] = ready[address] || l.readyServers[id]
	}
	for address := range gone {
		l.upstream.closeIdle(address)
		l.guard.Listed(l.now, address, balance.Gone)
	}
	for _, s := range news.servers {
		if address, listed := l.addresses[s.ID]; listed {
			l.guard.Listed(l.now, address, addressState(ready[address]))
		}
	}
	l.balancer.List(l.now, kind, news.servers)
}

// addressState is what an address is: ready where any server that is listed there is.
func addressState(ready bool) balance.State {
	if ready {
		return balance.Ready
	}
	return balance.Draining
}

// submit takes a request on. Its final answer goes to reply, which must have room for it.
// The number that it returns names the request for gone.
func (l *loop) submit(q balance.Request, m *outboundRequest, deadline time.Duration, reply chan<- answer) balance.RequestID {
	q.ID = balance.RequestID(l.lastID.Add(1))
	class := l.classes[q.Class]
	l.guard.Take(q.ID, guard.Request{Name: m.id, Deadline: deadline, Effect: class.Effect, Window: class.Window, Coming: m.upload != nil})
	m.permitWrite = func(now time.Duration, address string) error { return l.guard.Write(now, q.ID, address) }
	m.onWritten = func(began, now time.Duration, address string) { l.guard.Written(began, now, q.ID, address) }
	if m.upload != nil {
		q.Coming = true
		whole := m.upload.onSent
		m.upload.onSent = func() {
			whole()
			l.post(func(now time.Duration) { l.bodySent(now, q.ID) })
		}
	}
	if look := m.clientPresence; look != nil {
		m.clientPresence = func() presence {
			found := look()
			if found == departed {
				l.guard.Left(l.clock.now(), q.ID)
				l.clientGone(q.ID) // ahead of the end of the attempt that finds it out, or the module would make another
			}
			return found
		}
	}
	l.post(func(now time.Duration) {
		q.Left = deadline - now
		l.requests[q.ID] = &request{outbound: m, deadline: deadline, reply: reply}
		l.balancer.Request(now, q)
	})
	return q.ID
}

// clientGone takes that a request's client has closed its connection.
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

// bodySent takes that the last byte of a request's body has gone out: the client's time begins.
func (l *loop) bodySent(now time.Duration, id balance.RequestID) {
	if r := l.requests[id]; r != nil && !r.settled {
		left := l.limitTimeLeft(now, r.outbound.timeLeft)
		r.deadline = now + left
		l.guard.BodyEnded(id, r.deadline)
		l.balancer.BodyEnded(now, id, left)
	}
}

// finishRequest ends a request with its one answer, or with none where the client has gone.
func (l *loop) finishRequest(id balance.RequestID, r *request, a *answer) {
	r.settled = true
	switch {
	case a == nil:
		l.guard.Settle(id)
	case l.guard.Answer(l.now, id) == nil:
		r.reply <- *a
	}
	if r.attemptsInFlight == 0 {
		delete(l.requests, id)
	}
}

// reportOutcome tells the module how an attempt ended, once for each.
func (l *loop) reportOutcome(o balance.Outcome) {
	r := l.requests[o.ID]
	r.attemptsInFlight--
	o.Settled = r.settled
	l.balancer.Outcome(l.now, o)
	if r.settled && r.attemptsInFlight == 0 {
		delete(l.requests, o.ID)
	}
}

// streamBegan takes that an attempt's answer has begun to stream: it goes to the client as it comes, and can't be called
// off any more.
func (l *loop) streamBegan(id balance.RequestID, number int, res attemptResult) {
	r := l.requests[id]
	if r.settled || r.attempts[number].isCancelled() { // called off while this was on its way: its connection is closed
		res.stream.abort()
		return
	}
	r.attempts[number], r.stream = nil, res.stream
	l.finishRequest(id, r, &answer{status: http.StatusOK, header: res.header, stream: res.stream})
	l.balancer.StreamBegun(l.now, id, number)
}

// attemptEnded takes the end of an attempt. The first answer of an upstream goes to the client at once
// and settles the request.
func (l *loop) attemptEnded(id balance.RequestID, number int, sent time.Duration, res attemptResult) {
	r := l.requests[id]
	l.guard.End(sent, id, res.ending)
	r.lastTimedOut, r.lastEnding = res.ending == balance.TimedOut, res.ending
	l.trace.step("attempt ended", r.outbound.id, slog.Int("number", number), slog.String("ending", res.ending.String()))
	if res.ending == balance.Served && !r.settled {
		l.finishRequest(id, r, &answer{status: http.StatusOK, header: res.header, body: res.body})
	}
	l.reportOutcome(balance.Outcome{ID: id, Attempt: number, Ending: res.ending, Load: res.load, Spent: r.outbound.bodyConsumed()})
}

// Send starts an attempt, given up after timeout or at the client's deadline, and written within unsent if at all.
// Where the request is over or out of attempts or time, or the server is not listed, nothing is sent.
func (l *loop) Send(id balance.RequestID, to balance.ServerID, timeout, unsent time.Duration) {
	r := l.requests[id]
	if r == nil {
		return // over, with all attempts ended: the module has forgotten it too
	}
	number, left := len(r.attempts), r.deadline-l.now
	r.attemptsInFlight++
	address := l.addresses[to]
	never := r.settled || number >= l.most || left <= 0 || timeout < 0 || unsent < 0 || address == ""
	if spent := r.outbound.bodyConsumed(); never || spent || l.guard.Send(l.now, id, address) != nil {
		r.attempts = append(r.attempts, nil)
		l.unsentOutcomes = append(l.unsentOutcomes, balance.Outcome{ID: id, Attempt: number, Ending: balance.NotSent, Spent: spent})
		return
	}
	if timeout == 0 || timeout > left {
		timeout = left
	}
	if unsent > 0 {
		unsent += l.now
	}
	if r.outbound.upload != nil { // its last byte may have come long ago, and lie unread
		r.outbound.timeLeft = min(r.outbound.timeLeft, left)
	}
	sent := l.now
	l.trace.attempt(r.outbound.id, number, r.lastEnding, address, timeout)
	r.attempts = append(r.attempts, l.upstream.send(address, r.outbound, l.now+timeout, unsent, r.deadline, func(res attemptResult) {
		l.post(func(time.Duration) {
			if res.stream != nil {
				l.streamBegan(id, number, res)
			} else {
				l.attemptEnded(id, number, sent, res)
			}
		})
	}))
}

// Refuse ends a request; trying again is harmless.
func (l *loop) Refuse(id balance.RequestID, pause time.Duration, why balance.Reason) {
	if r := l.requests[id]; r != nil && !r.settled {
		l.trace.refused(r.outbound.id, why, len(r.attempts))
		l.finishRequest(id, r, &answer{status: http.StatusServiceUnavailable, retryAfter: pause})
	}
}

// Fail ends a request with no promise.
func (l *loop) Fail(id balance.RequestID, why balance.Reason) {
	r := l.requests[id]
	if r == nil || r.settled {
		return
	}
	status := http.StatusBadGateway
	if r.lastTimedOut || r.attemptsInFlight > 0 {
		status = http.StatusGatewayTimeout
	}
	l.trace.gaveUp(r.outbound.id, why, len(r.attempts))
	l.finishRequest(id, r, &answer{status: status})
}

// Cancel calls off an attempt; its Outcome still comes.
func (l *loop) Cancel(id balance.RequestID, attempt int) {
	if r := l.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) && r.attempts[attempt] != nil {
		r.attempts[attempt].cancel()
	}
}

// Withdraw calls off an attempt of which nothing has been written; another goes on.
func (l *loop) Withdraw(id balance.RequestID, attempt int) {
	if r := l.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) && r.attempts[attempt] != nil {
		r.attempts[attempt].withdraw()
	}
}

// Wake sees to a call of Balancer.Wake after d. Timers due at one moment share that call.
func (l *loop) Wake(d time.Duration) {
	due := l.now + max(d, 0)
	i, found := slices.BinarySearch(l.wakeTimes, due)
	if found {
		return
	}
	if l.wakeTimes = slices.Insert(l.wakeTimes, i, due); i == 0 {
		l.resetWakeTimer()
	}
}

// Probe asks a server for a load report.
func (l *loop) Probe(to balance.ServerID) {
	told := func(ok bool, load balance.Load) {
		l.post(func(now time.Duration) { l.balancer.Probed(now, to, ok, load) })
	}
	address := l.addresses[to]
	if address == "" { // no longer listed; Host's methods must not call back, so from outside
		go told(false, balance.Load{})
		return
	}
	l.upstream.probe(address, l.now, told)
}

// Close closes the idle connections to a server.
func (l *loop) Close(to balance.ServerID) { l.upstream.closeIdle(l.addresses[to]) }

// WatchList subscribes to the server list.
func (l *loop) WatchList() { l.subscribe() }

// Log writes a line for the people on call.
func (l *loop) Log(line string) { slog.Info("module", "says", line) }
