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
	countersEvery        = 5 * time.Second        // how often the module's counters go to the log
	serverCountsInterval = 100 * time.Millisecond // and what it knows of its servers to the console
	eventQueue           = 256
)

// loop owns the Balancer. All of its events pass through one goroutine, in order; the other parts
// hand them over with post. Everything that must happen once a request or once an attempt, the
// final answer and the Outcome, is kept here.
type loop struct {
	clock             clock
	b                 *policy.Balancer
	upstream          *transport
	handover          *sharedState          // keeps the calls by hand
	subscribe         func()                // subscribes to the list
	clientCounters    func() map[string]int // counters of the application's side
	discoveryCounters func() map[string]int // and of discovery's
	trace             *trace
	guard             *guard.Guard                                // every start, send, repeat, answer and close passes it
	limitTimeLeft     func(now, left time.Duration) time.Duration // what a stop under way leaves of a request's time
	most              int                                         // attempts for one request at most
	classes           []balance.Class

	serverCounts atomic.Pointer[serverCounts] // the last word on the servers, for the console
	membersAt    time.Duration                // when it was published

	lastID   atomic.Uint64
	events   chan func(now time.Duration)
	now      time.Duration // the time of the event under way
	requests map[balance.RequestID]*request
	address  map[balance.ServerID]string
	ready    map[balance.ServerID]bool // of those with an address
	notSent  []balance.Outcome         // owed once the event under way is over
	wakes    []time.Duration           // when Wake is due, in order
	timer    *time.Timer               // set for the first of them
}

// serverCounts counts the servers in the list, and those that the module avoids.
type serverCounts struct{ listed, unavailable int }

// request is one in the table. It stays until it has its answer and all its attempts have ended.
type request struct {
	message  *outboundRequest
	reply    chan<- answer
	deadline time.Duration
	attempts []*exchange    // by number; nil: was not sent
	out      int            // attempts with no Outcome yet
	stream   *stream        // its answer, where that is passed on as it comes
	over     bool           // it has its final answer, or its client has gone
	timedOut bool           // its last attempt did: what a failure is called
	ending   balance.Ending // of the attempt that ended last
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
		handover:          new(sharedState),
		trace:             newTrace(),
		guard:             guard.New(logViolation, cfg.DrainGrace),
		limitTimeLeft:     func(_, left time.Duration) time.Duration { return left },
		events:            make(chan func(time.Duration), eventQueue),
		requests:          make(map[balance.RequestID]*request),
		address:           make(map[balance.ServerID]string),
		ready:             make(map[balance.ServerID]bool),
		timer:             time.NewTimer(time.Hour),
	}
	var err error
	if l.b, err = policy.New(cfg.Policy, cfg.Seed, l); err != nil {
		return nil, err
	}
	l.serverCounts.Store(new(serverCounts))
	return l, nil
}

// publish tells the console of the servers, now and then: the module is woken more often than that.
func (l *loop) publish() {
	if l.now-l.membersAt < serverCountsInterval {
		return
	}
	l.membersAt = l.now
	var m serverCounts
	m.listed, m.unavailable = l.b.ServerCounts(l.now)
	l.serverCounts.Store(&m)
}

// setServerDisabled takes a server out by hand, or brings it back, and returns once the module has done so and it is
// durable; where it can't be made so it is an errNotDurable. One that is neither listed nor out is an error.
func (l *loop) setServerDisabled(ctx context.Context, instance string, out bool) error {
	id, known := serverID(instance), make(chan bool, 1)
	if err := l.postAndWait(ctx, func(time.Duration) {
		_, listed := l.address[id]
		known <- listed || l.b.Disabled(id)
	}); err != nil {
		return err
	}
	if !<-known {
		return fmt.Errorf("no server has the id %q", instance)
	}
	at := l.clock.now()
	if err := l.postAndWait(ctx, func(now time.Duration) { l.byHand(now, instance, out, at) }); err != nil {
		return err
	}
	err := l.handover.saveCall(instance, out, time.Unix(0, int64(at)))
	if err != nil {
		slog.Error("by hand not kept", "server", instance, "out", out, "error", err)
	}
	if out && err == nil && l.handover.countProcessesWithin(countTimeout) > 1 { // it binds the other process too, from the yes on
		l.awaitOther(ctx)
	}
	return err
}

// awaitOther waits until the other process has taken over the calls that were kept by now, also where it may be held up.
func (l *loop) awaitOther(ctx context.Context) {
	select {
	case <-time.After(soloPollInterval + upgradePollInterval + processStallMargin):
	case <-ctx.Done():
	}
}

// learnedState asks the module what it has learned.
func (l *loop) learnedState(ctx context.Context) (told balance.Learned, err error) {
	err = l.postAndWait(ctx, func(now time.Duration) { told = l.b.Learned(now) })
	return told, err
}

// updateFleet tells the module who is there.
func (l *loop) updateFleet(ctx context.Context, f balance.Fleet) error {
	return l.postAndWait(ctx, func(now time.Duration) { l.b.SetFleet(now, f) })
}

// applyRules puts a rule set in force.
func (l *loop) applyRules(ctx context.Context, set *rules.Set) error {
	return l.postAndWait(ctx, func(now time.Duration) { l.b.SetRules(now, set.Rules) })
}

// setProcessCount takes how many processes this sidecar has.
func (l *loop) setProcessCount(n int) { l.post(func(time.Duration) { l.b.SetProcessCount(n) }) }

// applyOperatorCalls takes over what was called for at the other process.
func (l *loop) applyOperatorCalls(ctx context.Context, handed map[string]operatorCall) {
	_ = l.postAndWait(ctx, func(now time.Duration) { // fails only as all ends
		for instance, s := range handed {
			l.byHand(now, instance, s.Out, time.Duration(s.AtMs)*time.Millisecond)
		}
	})
}

// byHand has the module take a server out or back, as of the moment at. Said again, it changes nothing.
func (l *loop) byHand(now time.Duration, instance string, out bool, at time.Duration) {
	id := serverID(instance)
	if l.b.Disabled(id) == out {
		return
	}
	at = min(at, now) // another process of before a step of the wall clock may have a later one
	if out {
		l.b.Disable(now, id)
	} else {
		l.b.Enable(now, id, at)
	}
	slog.Info("by hand", "server", instance, "out", out)
	l.membersAt = 0 // to be published at once
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
	l.b.Start(l.now)
	for instance, s := range l.handover.currentCalls() { // one that is back is taken out first, for it is cold
		l.byHand(l.now, instance, true, 0)
		l.byHand(l.now, instance, s.Out, time.Duration(s.AtMs)*time.Millisecond)
	}
	known.whole = true
	l.take(known, balance.ListCached)
	if before, ok := l.handover.loadLearned(); ok {
		l.b.RestoreLearned(l.now, before)
	}
	counters := time.NewTicker(countersEvery)
	defer counters.Stop()
	for {
		l.settle()
		l.publish()
		select {
		case event := <-l.events:
			l.now = l.clock.now()
			event(l.now)
		case <-l.timer.C:
			l.now = l.clock.now()
			l.wake()
		case <-counters.C:
			slog.Info("counters", "module", fmt.Sprintf("%+v", l.b.Counters()),
				"upstream", l.upstream.counters(), "clients", l.clientCounters(), "discovery", l.discoveryCounters(), "requests", l.trace.counters(), "guard", guardCounters(l.guard))
		case <-ctx.Done():
			return
		}
	}
}

// wake calls the module once for all timers that are due.
func (l *loop) wake() {
	due := 0
	for due < len(l.wakes) && l.wakes[due] <= l.now {
		due++
	}
	if l.wakes = slices.Delete(l.wakes, 0, due); due > 0 {
		l.b.Wake(l.now)
	}
	l.setTimer()
}

func (l *loop) setTimer() {
	if len(l.wakes) > 0 {
		l.timer.Reset(l.wakes[0] - l.now)
	}
}

// settle tells the module of the sends that were not carried out. It waits until the module has
// returned, as Host's methods must not call back.
func (l *loop) settle() {
	for len(l.notSent) > 0 {
		o := l.notSent[0]
		l.notSent = l.notSent[1:]
		l.outcome(o)
	}
}

// applyListing takes news from discovery.
func (l *loop) applyListing(news listing) {
	kind := balance.ListDelta
	if news.whole {
		kind = balance.ListFull
	}
	l.post(func(time.Duration) { l.take(news, kind) })
}

func (l *loop) discoveryFailed() {
	l.post(func(now time.Duration) { l.b.UpdateServers(now, balance.ListFailed, nil) })
}

func (l *loop) take(news listing, kind balance.ListKind) {
	gone := make(map[string]bool) // addresses that nothing can be sent to any more
	if news.whole {
		for _, address := range l.address {
			gone[address] = true
		}
		clear(l.address)
		clear(l.ready)
	}
	for _, s := range news.servers {
		if old, ok := l.address[s.ID]; ok {
			gone[old] = true
			delete(l.address, s.ID)
			delete(l.ready, s.ID)
		}
		if s.State != balance.Gone {
			l.address[s.ID] = news.address[s.ID]
			l.ready[s.ID] = s.State == balance.Ready
		}
	}
	ready := make(map[string]bool) // addresses of ready servers, though others may be listed there too
	for id, address := range l.address {
		delete(gone, address)
		ready[address] = ready[address] || l.ready[id]
	}
	for address := range gone {
		l.upstream.close(address)
		l.guard.SetServerState(l.now, address, balance.Gone)
	}
	for _, s := range news.servers {
		if address, listed := l.address[s.ID]; listed {
			l.guard.SetServerState(l.now, address, stateAt(ready[address]))
		}
	}
	l.b.UpdateServers(l.now, kind, news.servers)
}

// stateAt is what an address is: ready where any server that is listed there is.
func stateAt(ready bool) balance.State {
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
	l.guard.Admit(q.ID, guard.Request{RequestID: m.id, Deadline: deadline, Effect: class.Idempotency, Window: class.DedupWindow, BodyPending: m.upload != nil})
	m.permit = func(now time.Duration, address string) error { return l.guard.PermitWrite(now, q.ID, address) }
	m.written = func(began, now time.Duration, address string) { l.guard.AttemptWritten(began, now, q.ID, address) }
	if m.upload != nil {
		q.BodyPending = true
		whole := m.upload.onSent
		m.upload.onSent = func() {
			whole()
			l.post(func(now time.Duration) { l.uploaded(now, q.ID) })
		}
	}
	if look := m.clientPresence; look != nil {
		m.clientPresence = func() presence {
			found := look()
			if found == clientGone {
				l.guard.ClientLeft(l.clock.now(), q.ID)
				l.clientGone(q.ID) // ahead of the end of the attempt that finds it out, or the module would make another
			}
			return found
		}
	}
	l.post(func(now time.Duration) {
		q.TimeLeft = deadline - now
		l.requests[q.ID] = &request{message: m, deadline: deadline, reply: reply}
		l.b.Request(now, q)
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
		case !r.over:
			l.finish(id, r, nil)
			l.b.ClientGone(now, id)
		}
	})
}

// uploaded takes that the last byte of a request's body has gone out: the client's time begins.
func (l *loop) uploaded(now time.Duration, id balance.RequestID) {
	if r := l.requests[id]; r != nil && !r.over {
		left := l.limitTimeLeft(now, r.message.timeLeft)
		r.deadline = now + left
		l.guard.BodyEnded(id, r.deadline)
		l.b.BodyEnded(now, id, left)
	}
}

// finish ends a request with its one answer, or with none where the client has gone.
func (l *loop) finish(id balance.RequestID, r *request, a *answer) {
	r.over = true
	switch {
	case a == nil:
		l.guard.AnswerDropped(id)
	case l.guard.PermitAnswer(l.now, id) == nil:
		r.reply <- *a
	}
	if r.out == 0 {
		delete(l.requests, id)
	}
}

// outcome tells the module how an attempt ended, once for each.
func (l *loop) outcome(o balance.Outcome) {
	r := l.requests[o.ID]
	r.out--
	o.Settled = r.over
	l.b.Outcome(l.now, o)
	if r.over && r.out == 0 {
		delete(l.requests, o.ID)
	}
}

// began takes that an attempt's answer has begun to stream: it goes to the client as it comes, and can't be called
// off any more.
func (l *loop) began(id balance.RequestID, number int, res result) {
	r := l.requests[id]
	if r.over || r.attempts[number].givenUp() { // called off while this was on its way: its connection is closed
		res.stream.abort()
		return
	}
	r.attempts[number], r.stream = nil, res.stream
	l.finish(id, r, &answer{status: http.StatusOK, header: res.header, stream: res.stream})
	l.b.StreamStarted(l.now, id, number)
}

// ended takes the end of an attempt. The first answer of an upstream goes to the client at once
// and settles the request.
func (l *loop) ended(id balance.RequestID, number int, sent time.Duration, res result) {
	r := l.requests[id]
	l.guard.AttemptEnded(sent, id, res.ending)
	r.timedOut, r.ending = res.ending == balance.TimedOut, res.ending
	l.trace.logStep("attempt ended", r.message.id, slog.Int("number", number), slog.String("ending", res.ending.String()))
	if res.ending == balance.Served && !r.over {
		l.finish(id, r, &answer{status: http.StatusOK, header: res.header, body: res.body})
	}
	l.outcome(balance.Outcome{ID: id, Attempt: number, Ending: res.ending, Load: res.load, BodySpent: r.message.spent()})
}

// Send starts an attempt, given up after timeout or at the client's deadline, and written within unsent if at all.
// Where the request is over or out of attempts or time, or the server is not listed, nothing is sent.
func (l *loop) Send(id balance.RequestID, to balance.ServerID, timeout, unsent time.Duration) {
	r := l.requests[id]
	if r == nil {
		return // over, with all attempts ended: the module has forgotten it too
	}
	number, left := len(r.attempts), r.deadline-l.now
	r.out++
	address := l.address[to]
	never := r.over || number >= l.most || left <= 0 || timeout < 0 || unsent < 0 || address == ""
	if spent := r.message.spent(); never || spent || l.guard.PermitSend(l.now, id, address) != nil {
		r.attempts = append(r.attempts, nil)
		l.notSent = append(l.notSent, balance.Outcome{ID: id, Attempt: number, Ending: balance.NotSent, BodySpent: spent})
		return
	}
	if timeout == 0 || timeout > left {
		timeout = left
	}
	if unsent > 0 {
		unsent += l.now
	}
	if r.message.upload != nil { // its last byte may have come long ago, and lie unread
		r.message.timeLeft = min(r.message.timeLeft, left)
	}
	sent := l.now
	l.trace.logAttempt(r.message.id, number, r.ending, address, timeout)
	r.attempts = append(r.attempts, l.upstream.send(address, r.message, l.now+timeout, unsent, r.deadline, func(res result) {
		l.post(func(time.Duration) {
			if res.stream != nil {
				l.began(id, number, res)
			} else {
				l.ended(id, number, sent, res)
			}
		})
	}))
}

// Refuse ends a request; trying again is harmless.
func (l *loop) Refuse(id balance.RequestID, pause time.Duration, why balance.Reason) {
	if r := l.requests[id]; r != nil && !r.over {
		l.trace.logRefused(r.message.id, why, len(r.attempts))
		l.finish(id, r, &answer{status: http.StatusServiceUnavailable, retryAfter: pause})
	}
}

// Fail ends a request with no promise.
func (l *loop) Fail(id balance.RequestID, why balance.Reason) {
	r := l.requests[id]
	if r == nil || r.over {
		return
	}
	status := http.StatusBadGateway
	if r.timedOut || r.out > 0 {
		status = http.StatusGatewayTimeout
	}
	l.trace.logFailed(r.message.id, why, len(r.attempts))
	l.finish(id, r, &answer{status: status})
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
	i, found := slices.BinarySearch(l.wakes, due)
	if found {
		return
	}
	if l.wakes = slices.Insert(l.wakes, i, due); i == 0 {
		l.setTimer()
	}
}

// Probe asks a server for a load report.
func (l *loop) Probe(to balance.ServerID) {
	told := func(ok bool, load balance.Load) {
		l.post(func(now time.Duration) { l.b.Probed(now, to, ok, load) })
	}
	address := l.address[to]
	if address == "" { // no longer listed; Host's methods must not call back, so from outside
		go told(false, balance.Load{})
		return
	}
	l.upstream.probe(address, l.now, told)
}

// Close closes the idle connections to a server.
func (l *loop) CloseIdle(to balance.ServerID) { l.upstream.close(l.address[to]) }

// WatchList subscribes to the server list.
func (l *loop) WatchList() { l.subscribe() }

// Log writes a line for the people on call.
func (l *loop) Log(line string) { slog.Info("module", "says", line) }
