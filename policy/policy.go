// Package policy decides, for one client-side load balancer (a sidecar), when
// and where each request is sent, retried, refused or failed.
//
// A Balancer is single-threaded and deterministic: it has no goroutines, no clock and no I/O. The program
// that embeds it (the host) calls one method per event and passes the time; the Balancer acts through the
// Host interface. Package balance defines the types of both. The decisions are in policy.go (events,
// admission, compartments, health of servers), sendrules.go (what may be sent), subset.go (the servers that
// are sent to, and their turns), serverlist.go (the server list), loadreport.go (load reports) and stream.go
// (stalled responses), the state and its bookkeeping in state.go.
//
// Times are durations since a fixed moment chosen by the host. They must never decrease. All calls of one
// Balancer come from one goroutine in the order of the events: New, Start, UpdateServers with the servers
// known so far, then the other methods as events occur. Each Host.Send results in exactly one Outcome, also
// after the request has been answered, and each Host.Wake in one call of Wake, which may be late. A request
// is answered once: by an Outcome with Settled set, or by Host.Refuse or Host.Fail.
//
// Invalid input is harmless. A request without a valid class or tenant, or with no time left, is refused.
// Events about an unknown request, attempt or server are ignored, and so are repeated ones. New returns an
// error that names the field if the settings are invalid.
package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"arrowgw/internal/balance"
)

// Wake-ups.
const (
	busyWakeInterval = 10 * time.Millisecond  // time between calls of Wake while requests are open
	idleWakeInterval = 100 * time.Millisecond // time between calls of Wake while none are
)

// Sizes of compartments, see sizeCompartments.
const (
	slotAimShare       = 0.12 // slots are sized as if a request took this share of the aim, to leave a margin
	slotDeviations     = 2.0  // standard deviations of the concurrency added to the slots
	slotsPerServer     = 3.0  // without quotas: slots of all balancers per server of the first list
	queuePlacesPerSlot = 0.15 // queues are just long enough to keep freed slots in use
	clientPacedPerSlot = 4    // client-paced attempts that hold no slot, per slot
)

// Concurrency limits and admission, see serverLimit, totalLimit and admit.
const (
	congestedAimShare = 0.3             // a larger share of the aim taken by responses counts as congestion
	admitMultiple     = 1.5             // requests admitted per recent timely response
	admitAllowance    = 1.5             // added to both counts: one failure at low traffic must refuse nothing
	admitTimeConstant = 2 * time.Second // decay of the counts: about as long as queues take to build up

	// The limit over all attempts shrinks when congestion exceeds these multiples of the threshold that reduces
	// a server's limit: sooner in a fleet of more than maxSharersPerServer, whose single attempts add up.
	totalLimitOnset           = 1.0
	totalLimitOnsetLargeFleet = 0.4
	totalLimitAllowance       = 2.0 // attempts beyond the concurrency that the balancer's traffic has at the aim

	maxTimeLeftVotes = 32 // bounds the majority for a class's usual time left, so that a new one can replace it
)

// Ejection of failing servers.
const (
	ejectAfterFailures    = 2                      // a single failure may be chance
	maxFailures           = 8                      // recent failures counted at most: three responses clear them
	backoffPerSharer      = 100 * time.Millisecond // first ejection time, per balancer that shares the server
	maxBackoff            = 4 * time.Second        // pauses double up to this
	learnedHealthLifetime = 30 * time.Second       // health learned before a restart is valid for this long
)

// mayStillRunEndings are the endings after which a server may still be running the attempt.
var mayStillRunEndings = []balance.Ending{balance.TimedOut, balance.Broken, balance.Cancelled}

// New returns a Balancer for the settings, or an error that names the invalid field.
func New(cfg balance.Config, seed uint64, host balance.Host) (*Balancer, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	b := &Balancer{settings: cfg, cfg: cfg, host: host, keyQueues: make(map[uint64]*keyQueue), processes: 1}
	b.requests, b.disabled = make(map[balance.RequestID]*request), make(map[balance.ServerID]bool)
	b.fleetSize, b.enabledWarmAt = float64(cfg.Balancers), make(map[balance.ServerID]time.Duration)
	b.compartments, b.rng = make([]compartment, len(cfg.Compartments())), rand.New(rand.NewPCG(seed, 0))
	b.typicalLatency, b.secondsPerTurn = cfg.Classes[0].Aim/8, turnInterval.Seconds()
	for _, c := range cfg.Classes {
		c.Aim = min(c.Aim, c.Deadline) // no client waits past the deadline
		b.classes = append(b.classes, class{Class: c, typicalLatency: c.Aim / 8})
		b.meanAim += c.Aim.Seconds() / float64(len(cfg.Classes))
		b.meanWorth += c.Worth / float64(len(cfg.Classes))
		b.typicalLatency = min(b.typicalLatency, c.Aim/8)
	}
	b.sizeCompartments()
	b.rate = b.totalQuota / b.fleetSize
	return b, nil
}

// sizeCompartments sets the slots and queue places of each tenant. By Little's law the concurrency is rate x
// time; it is sized for the quotas and a small share of the aim, which leaves the rest of the aim as a
// margin. If the traffic is split at random among n balancers, the largest part is about (ln n + 0.58)/n of
// it. Each balancer gets slots for that part and two standard deviations more, so that random variation
// alone refuses no request.
func (b *Balancer) sizeCompartments() {
	tenants, balancers, shares := b.cfg.Compartments(), b.fleetSize, 0.0
	b.totalQuota, b.slots = 0, 0
	for _, t := range tenants {
		b.totalQuota += t.Quota
		shares += t.Share
	}
	b.quotaConcurrency = cmp.Or(b.totalQuota*b.meanAim*slotAimShare, slotsPerServer*b.firstListSize)
	total, deviations := b.quotaConcurrency*min(1, (math.Log(balancers)+0.58)/balancers), slotDeviations
	if b.cfg.Slots > 0 {
		total, deviations = float64(b.cfg.Slots), 0
	}
	for i, t := range tenants {
		c, mean := &b.compartments[i], total*t.Share/shares
		c.slots = max(1, int(math.Ceil(mean+deviations*math.Sqrt(mean))))
		c.queuePlaces = int(math.Ceil(float64(c.slots) * queuePlacesPerSlot))
		b.slots += c.slots
	}
}

// Start starts the Balancer. It must be the first event.
func (b *Balancer) Start(now time.Duration) {
	b.rateAt = now // not 0: the rate set by New must not decay since the clock's zero
	if b.cfg.AskList && b.cfg.Balancers > maxSharersPerServer {
		b.watchAt = now + 1 + time.Duration(b.rng.Float64()*float64(firstWatchSpread))
	} else if b.cfg.AskList {
		b.watchList(now)
	}
	b.sampleAt = now + time.Duration(b.rng.Int64N(int64(4*loadReportLifetime))) // not in step with others
	b.requestWake(now, idleWakeInterval)
}

// Request accepts a request. It is answered exactly once before its TimeLeft is over: by an Outcome with
// Settled set or through Host.Refuse or Host.Fail. An id that is still in use is ignored, and an invalid
// request is refused.
func (b *Balancer) Request(now time.Duration, q balance.Request) {
	if _, held := b.requests[q.ID]; held {
		return
	}
	b.requestTimes.countSince(now - b.cfg.Budget.Span)
	b.retryTimes.countSince(now - b.cfg.Budget.Span)
	b.requestTimes = append(b.requestTimes, now)
	if len(b.cfg.Tenants) == 0 {
		q.Tenant = 0 // the single compartment
	}
	if min(q.Class, q.Tenant) < 0 || q.Class >= len(b.classes) || q.Tenant >= len(b.compartments) ||
		q.TimeLeft <= 0 {
		b.counters.Refused++
		b.host.Refuse(q.ID, 0, balance.Unusable)
		return
	}
	r := &request{id: q.ID, class: &b.classes[q.Class], compartment: &b.compartments[q.Tenant],
		bodyPending: q.BodyPending}
	r.deadline = now + min(q.TimeLeft, time.Hour)
	r.usefulUntil, r.aimAt = r.deadline, min(r.deadline, now+r.class.Aim)
	if stretch := r.class.AimStretch; r.class.LateShare == 0 && (stretch == 0 || q.Work > 0) {
		firstSent := now // when the client sent its first try
		if usual := r.class.hasUsualTimeLeft(q.TimeLeft, !q.ClientRetry); !usual &&
			(q.ClientRetry || !b.cfg.ClientsMarkRetries) {
			firstSent = min(now, r.deadline-r.class.Deadline) // a retry has the rest of the class's deadline
		}
		r.usefulUntil = min(r.deadline, firstSent+r.class.Aim+time.Duration(stretch*float64(q.Work)))
	}
	if r.class.InOrder && q.Key != 0 {
		b.joinKeyQueue(now, r, q.Key)
	}
	b.requests[r.id] = r
	b.openRequests = append(b.openRequests, r)
	b.requestWake(now, busyWakeInterval)
	b.rate = b.rate*math.Exp(-float64(now-b.rateAt)/float64(rateTimeConstant)) + 1/rateTimeConstant.Seconds()
	b.rateAt = now
	if size := b.subsetSize(b.rate); size > 1.25*b.subsetTarget || size < 0.75*b.subsetTarget {
		b.updateSubset()
	}
	if !b.admit(now, r) {
		b.admission.countThrottled()
		b.counters.Throttled++
		b.refuseOrFail(r, balance.AdmissionLimit)
		return
	}
	b.dispatchOrQueue(now, r)
}

// admit reports whether a request may try for a slot. Compartments limit each balancer on its own: the slots
// of a thousand balancers with little traffic add up to more than overloaded servers can answer in time, and
// their work goes into late responses. Each balancer therefore admits little more than what was recently
// answered in time, and more of the classes with a higher worth.
func (b *Balancer) admit(now time.Duration, r *request) bool {
	b.admission.decay(now)
	share := (admitAllowance + admitMultiple*b.admission.timely) / (admitAllowance + b.admission.offered)
	return share >= 1 || b.rng.Float64() < math.Pow(share, b.meanWorth/max(r.class.Worth, b.meanWorth/8))
}

// dispatchOrQueue sends a request, has it wait for a load report or a slot, or refuses it.
func (b *Balancer) dispatchOrQueue(now time.Duration, r *request) {
	switch {
	case b.queryLoad(now, r):
	case now > r.latestSend(): // too late for the aim: it must not take a slot from timely requests
		r.usefulUntil = r.deadline // without recent responses it is sent, to find out whether congestion persists
		if congestionFactor(b.congestion) < 1 && now-b.congestionAt < admitTimeConstant || !b.dispatch(now, r) {
			b.counters.Late++
			b.refuseOrFail(r, balance.OutOfTime)
		}
	case b.dispatch(now, r):
	case len(r.compartment.queue) >= r.compartment.queuePlaces: // the queue is full: refuse at once
		b.refuseOrFail(r, balance.QueueFull)
	default:
		b.counters.Queued++
		r.compartment.queue = append(r.compartment.queue, r)
	}
}

// Outcome handles the end of an attempt. An unknown attempt, or one that has ended before, is ignored.
func (b *Balancer) Outcome(now time.Duration, o balance.Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].state != inFlight {
		return
	}
	a := &r.attempts[o.Attempt]
	a.state = mayHaveRun
	if o.Ending == balance.TurnedAway || o.Ending == balance.NoConnection || o.Ending == balance.NotSent {
		a.state = neverRan
	}
	r.bodySpent = r.bodySpent || o.BodySpent
	b.setClientPaced(r, a, false)
	b.countInFlight(r, a.server, -1)
	if r.keyQueue != nil && slices.Contains(mayStillRunEndings, o.Ending) {
		r.keyQueue.settledAt = max(r.keyQueue.settledAt, now+b.cfg.OrderSettle)
	}
	if !a.server.inService() {
		b.closeIdle(now, a.server)
	}
	switch {
	case !r.streaming:
		b.recordResult(now, r, a, o.Ending)
	case o.Ending != balance.Served && o.Ending != balance.Cancelled: // a stream's duration is not a latency
		b.recordResult(now, r, a, balance.Broken)
	}
	switch {
	case r.ended && r.attemptsInFlight == 0:
		b.dropRequest(r)
	case !r.ended && (o.Settled || o.Ending == balance.Served || r.streaming):
		b.endRequest(r)
	case !r.ended && r.attemptsInFlight == 0:
		b.retryOrEnd(now, r)
	}
	b.dispatchQueued(now)
}

// BodyEnded handles the arrival of the last byte of a request body, which may not have been sent on yet: the
// client's remaining time starts now. The time before it is the client's and does not count as latency.
func (b *Balancer) BodyEnded(now time.Duration, id balance.RequestID, timeLeft time.Duration) {
	r := b.requests[id]
	if r == nil || r.ended || !r.bodyPending {
		return
	}
	r.bodyPending, r.deadline = false, now+min(timeLeft, time.Hour)
	r.usefulUntil, r.aimAt = r.deadline, min(r.deadline, now+r.class.Aim)
	if r.attemptsInFlight > 0 {
		a := &r.attempts[len(r.attempts)-1]
		a.sentAt = now
		b.setClientPaced(r, a, false)
	}
}

// StreamStarted handles the start of the response of an attempt, which from now on is streamed to the client.
// The attempt counts as answered in time or late at this moment. It occupies a place of its tenant until its
// Outcome.
func (b *Balancer) StreamStarted(now time.Duration, id balance.RequestID, attempt int) {
	r := b.requests[id]
	if r == nil || r.streaming || attempt < 0 || attempt >= len(r.attempts) ||
		r.attempts[attempt].state != inFlight {
		return
	}
	b.recordResult(now, r, &r.attempts[attempt], balance.Served)
	r.streaming = true
	b.setClientPaced(r, &r.attempts[attempt], true)
	b.dispatchQueued(now)
}

// setClientPaced marks an attempt as client-paced or clears the mark. An attempt is client-paced while its
// request body is received or its response is streamed. It then does not count as work of its server and
// moves from a slot to a client-paced place of its compartment, if one is free: otherwise as many slow
// clients as there are slots would block their tenant for seconds.
func (b *Balancer) setClientPaced(r *request, a *attempt, on bool) {
	if a.clientPaced == on {
		return
	}
	change := 1
	if a.clientPaced = on; on {
		change = -1
		if a.holdsPacedPlace = r.compartment.pacedInUse <
			r.compartment.slots*clientPacedPerSlot; !a.holdsPacedPlace {
			b.counters.SlowFull++
		}
		b.counters.Slow++
	}
	a.server.inFlight += change
	b.inFlight += change
	if a.holdsPacedPlace {
		r.compartment.slotsInUse += change
		r.compartment.pacedInUse -= change
	}
	a.holdsPacedPlace = a.holdsPacedPlace && on
}

// Wake handles a timer that was requested with Host.Wake. It sends or ends the requests that are due and does
// the periodic work.
func (b *Balancer) Wake(now time.Duration) {
	if now < b.wakeAt {
		return // an outdated timer
	}
	if b.cfg.AskList && b.watchAt > 0 && now >= b.watchAt {
		b.watchList(now)
	}
	if b.closeIdleAt > 0 && now >= b.closeIdleAt {
		b.closeIdleAt = 0
		for _, s := range b.servers {
			if !s.inService() {
				b.host.CloseIdle(s.ID)
			}
		}
	}
	b.dispatchQueued(now)
	for _, r := range b.openRequests {
		if r.awaitedReport != nil && !r.ended && now >= r.reportWaitEnd {
			// without a report in time the server counts as full
			r.awaitedReport.reportedAt, r.awaitedReport.othersInFlight = now, math.Inf(1)
			r.awaitedReport = nil
			b.dispatchOrQueue(now, r)
		}
		ends := now+2*max(busyWakeInterval, b.cfg.Tick) > r.deadline || now >= r.latestSend()
		waited := r.attemptsInFlight == 0 &&
			(ends || !r.mayRepeat(now, nil) || len(r.attempts) >= b.cfg.MaxAttempts)
		// the deadline does not bind while the client still sends the request or already gets its response
		if !r.streaming && !(r.bodyPending && r.attemptsInFlight > 0) && (waited || now >= r.deadline) {
			b.refuseOrFail(r, balance.OutOfTime)
		}
	}
	b.openRequests = slices.DeleteFunc(b.openRequests, func(r *request) bool { return r.ended })
	b.wakeAt = 0
	b.sampleReports(now)
	if len(b.openRequests) > 0 {
		b.requestWake(now, busyWakeInterval)
	}
	b.requestWake(now, idleWakeInterval)
	if b.closeIdleAt > 0 {
		b.requestWake(now, b.closeIdleAt-now)
	}
}

// latestSend returns the time after which the request is not worth sending, as its response would probably
// come after the aim: twice the typical latency before that.
func (r *request) latestSend() time.Duration {
	return r.usefulUntil - min(2*r.class.typicalLatency, r.class.Aim/2)
}

// dispatch sends a request if its compartment has a free slot, the limit over all attempts allows it and a
// server is eligible. It reports whether the request was sent.
func (b *Balancer) dispatch(now time.Duration, r *request) bool {
	if r.compartment.slotsInUse >= r.compartment.slots {
		b.counters.NoSlot++
		return false
	}
	// The limit over all attempts also bounds the single attempts of many balancers, which the limits per server
	// always allow. In a large fleet it acts early: when all responses are slow, servers are already overloaded.
	onset := totalLimitOnset
	if b.fleetSize > maxSharersPerServer {
		onset = totalLimitOnsetLargeFleet
	}
	if float64(b.inFlight) >= max(1, b.totalLimit(congestionFactor(b.congestion/onset))) {
		b.counters.Held++
		return false
	}
	if s := b.pickServer(now, r); s != nil {
		b.send(now, r, s)
		return true
	}
	b.counters.NoServer++
	return false
}

// totalLimit returns the concurrency limit over all attempts of this balancer. Without congestion (a factor
// of 1) it is the number of slots. Otherwise it is the factor times the concurrency that the balancer's own
// traffic has at the aim, by Little's law: slots are sized for the busiest balancer, and eighty balancers'
// slots are more than servers can take. The limit falls with the share of failing servers, so that their load
// does not move to the others.
func (b *Balancer) totalLimit(factor float64) float64 {
	limit := float64(b.slots)
	if factor < 1 {
		limit = factor * min(limit, totalLimitAllowance+b.rate*b.meanAim)
	}
	healthy := slices.DeleteFunc(slices.Clone(b.subset),
		func(s *server) bool { return s.failures >= ejectAfterFailures })
	return limit * float64(len(healthy)) / max(1, float64(len(b.subset)))
}

// retryOrEnd retries a request whose attempts have all failed, queues it for a retry, or ends it.
func (b *Balancer) retryOrEnd(now time.Duration, r *request) {
	switch {
	case r.bodySpent || len(r.attempts) >= b.cfg.MaxAttempts || now >= r.latestSend(),
		!r.mayRepeat(now, nil) || b.retryBudgetSpent(now):
		b.refuseOrFail(r, b.noRetryReason(now, r))
	case !b.dispatch(now, r):
		// the freed slot may serve a queued request
		if b.dispatchQueued(now); len(r.compartment.queue) >= r.compartment.queuePlaces {
			b.refuseOrFail(r, balance.QueueFull)
			return
		}
		r.compartment.queue = slices.Insert(r.compartment.queue, 0, r) // to the front: it has waited already
	}
}

// noRetryReason returns why a request whose attempts have all failed is not retried.
func (b *Balancer) noRetryReason(now time.Duration, r *request) balance.Reason {
	switch {
	case r.bodySpent:
		return balance.BodySpent
	case now >= r.latestSend():
		return balance.OutOfTime
	}
	return balance.NoAttemptLeft
}

// dispatchQueued sends queued requests while slots are free. Each call starts with another compartment.
func (b *Balancer) dispatchQueued(now time.Duration) {
	b.dispatchFrom = (b.dispatchFrom + 1) % len(b.compartments)
	for i := range b.compartments {
		c := &b.compartments[(b.dispatchFrom+i)%len(b.compartments)]
		for n := 0; n < len(c.queue) && c.slotsInUse < c.slots; {
			switch r := c.queue[n]; {
			case now >= r.latestSend():
				b.refuseOrFail(r, balance.OutOfTime) // removes it from the queue
			case b.dispatch(now, r):
				c.queue = slices.Delete(c.queue, n, n+1)
			case len(r.attempts) == 0 && r.isNextOfKey(now):
				n = len(c.queue) // eligible for any server: later requests can't be sent either
			default:
				n++ // bound to certain servers or waiting for its key: later requests may be sent
			}
		}
	}
}

// closeIdle closes the idle connections to a draining server (rule 7): now, and once more later for a
// connection that is just being opened.
func (b *Balancer) closeIdle(now time.Duration, s *server) {
	if b.cfg.CloseWithin > 0 {
		b.host.CloseIdle(s.ID)
		b.closeIdleAt = cmp.Or(b.closeIdleAt, now+b.cfg.CloseWithin/2)
		b.requestWake(now, b.closeIdleAt-now)
	}
}

// send starts an attempt at a server that pickServer returned, for which maySend holds. It is the only caller
// of Host.Send. A keyed repeat must be written before the deduplication window ends, even if its connection
// is slow to open. The window needs no margin for the network: it counts from the decision to send the first
// attempt, which reached its server later.
func (b *Balancer) send(now time.Duration, r *request, s *server) {
	sendWithin := time.Duration(0)
	if first := r.firstMayHaveRun(); first != nil && r.class.Idempotency == balance.Keyed {
		sendWithin = first.sentAt + r.class.DedupWindow - now
	}
	s.nextColdSend = now + b.coldSendInterval(now, s)
	r.attempts = append(r.attempts, attempt{server: s, sentAt: now})
	b.countInFlight(r, s, 1)
	if len(r.attempts) > 1 {
		b.counters.Retries++
		b.retryTimes = append(b.retryTimes, now)
	}
	if b.crossesZone(s) {
		b.counters.Crossed++
	}
	b.setClientPaced(r, &r.attempts[len(r.attempts)-1], r.bodyPending)
	b.host.Send(r.id, s.ID, r.usefulUntil-now, sendWithin)
}

// coldSendInterval returns the time between two sends to a cold server. Each balancer uses an even part of
// what the server may be sent. The server's capacity is derived from the quotas or, without quotas, estimated
// from the present traffic, of which this balancer's rate is its part.
func (b *Balancer) coldSendInterval(now time.Duration, s *server) time.Duration {
	rate := cmp.Or(b.totalQuota/b.fleetSize, b.rate)
	rate = b.weightShare(rate, s) * b.readyWeight / max(b.subsetWeight, s.Weight) * b.capacityShare(now, s)
	interval := time.Duration(float64(time.Second) / max(rate*coldBudgetShare*max(b.cfg.ColdMultiple, 1), 0.01))
	return time.Duration(b.processes) * interval
}

// SetProcessCount sets the number of processes that act as this balancer: an upgrade runs two for a while.
// Each of them keeps to its part of the cold servers' budgets and omits probes that no request waits for.
func (b *Balancer) SetProcessCount(n int) { b.processes = max(1, n) }

// SetRules puts a rule set in force, which replaces the previous one. The empty set restores the settings.
// Attempts in flight continue. A set that Rules.Check rejects changes nothing.
func (b *Balancer) SetRules(now time.Duration, r balance.Rules) {
	if err := r.Check(b.settings); err != nil {
		b.host.Log(err.Error())
		return
	}
	b.rules, b.cfg = r, r.ApplyTo(b.settings)
	b.sizeCompartments()
	b.recalculateWeights(now)
}

// capacityShare returns the share of its full capacity that a server has at least, which rises while it is
// cold.
func (b *Balancer) capacityShare(now time.Duration, s *server) float64 {
	left := float64(max(0, s.warmAt-now)) / float64(max(1, b.cfg.ColdTime))
	return max(0.05, 1-left*(1-b.cfg.ColdFrom))
}

// serverLimit returns how many attempts of this balancer a server may hold: its part of the slots, reduced
// under congestion. It does not grow when other servers leave or fail, as that would overload the last ones.
func (b *Balancer) serverLimit(s *server) float64 {
	return max(1, b.weightShare(float64(b.slots), s)*b.readyWeight/b.subsetWeight*
		s.turnMultiple*congestionFactor(s.congestion))
}

// congestionFactor returns the factor by which congestion reduces a concurrency limit. Congestion is the mean
// square of the share of the aim that responses take: by the square, a long tail of latency counts.
func congestionFactor(congestion float64) float64 {
	return min(1, congestedAimShare*congestedAimShare/max(congestion, 1e-4))
}

// backoff returns the pause after n failures beyond the first: exponential, and with jitter so that balancers
// do not act at the same time.
func (b *Balancer) backoff(first time.Duration, n int) time.Duration {
	return time.Duration(float64(min(first<<min(n, 16), maxBackoff)) * (0.5 + b.rng.Float64()))
}

// recordResult updates admission, congestion and the health of the server with the result of an attempt. The
// latency ratio, which stretches the gap between a server's turns, reacts to any cause: latency, errors,
// time-outs, refusals, or a limit shared with other clients.
func (b *Balancer) recordResult(now time.Duration, r *request, a *attempt, end balance.Ending) {
	if !r.ended && !r.streaming && end != balance.NotSent { // once: at the end, or when the response starts
		b.admission.ended++
		b.admission.offered++
		if end == balance.Served && now <= r.aimAt {
			b.admission.timely += min(1, 2*float64(r.aimAt-now)/float64(r.class.Aim))
		}
	}
	s, took := a.server, now-a.sentAt
	// a time-out of a server known to be bad is no congestion
	unexpected := end == balance.TimedOut && s.latencyRatio < failureLatencyRatio/2
	if end == balance.Served || unexpected {
		aimShare := float64(took) / float64(r.class.Aim)
		s.congestion += (aimShare*aimShare - s.congestion) / 8
		b.congestion += (aimShare*aimShare - b.congestion) *
			min(0.5, max(1.0/16, (now-b.congestionAt).Seconds()/10)) // rare responses weigh more
		b.congestionAt = now
	}
	ratio := failureLatencyRatio
	switch end {
	case balance.Cancelled, balance.NotSent:
		return
	case balance.Served:
		ratio = min(ratio, float64(took)/float64(r.class.typicalLatency))
		r.class.typicalLatency += (took - r.class.typicalLatency) / 16
		b.typicalLatency += (took - b.typicalLatency) / 32
		// a server that answers after a silence may have restarted: it counts as cold
		if s.silentSince > 0 && s.latencyRatio > failureLatencyRatio/2 && now-s.silentSince > time.Second {
			s.warmAt = max(s.warmAt, now+b.cfg.ColdTime)
			b.host.Log(fmt.Sprintf("server %x answers again after %v", s.ID, now-s.silentSince))
		}
		s.silentSince = 0
	case balance.TimedOut, balance.NoConnection:
		s.silentSince = cmp.Or(s.silentSince, now)
	}
	if before := s.latencyRatio; before < failureLatencyRatio/2 &&
		before+(ratio-before)/4 >= failureLatencyRatio/2 {
		b.host.Log(fmt.Sprintf("server %x is slow or failing, %d attempts in flight", s.ID, s.inFlight))
	}
	s.latencyRatio += (ratio - s.latencyRatio) / 4
	if end == balance.Served { // halved, not cleared: a failing server may answer one request in four
		s.failures, s.ejectedUntil = s.failures/2, 0
	} else if s.failures = min(s.failures+1, maxFailures); s.failures >= ejectAfterFailures {
		b.eject(now, s)
	}
}

// eject stops sends to a server that fails repeatedly, for a longer time after each failure. Each balancer
// detects a lost server by failed requests of its own, and every further attempt to find out whether it has
// recovered costs another one. If many balancers share a server, these attempts alone can keep it overloaded.
// The time is therefore proportional to the number of sharers.
func (b *Balancer) eject(now time.Duration, s *server) {
	sharers := b.fleetSize * b.subsetWeight / max(b.readyWeight, 1e-9)
	s.ejectedUntil = now +
		b.backoff(time.Duration(sharers*float64(backoffPerSharer)), s.failures-ejectAfterFailures)
}

// refuseOrFail answers a request and ends it: refused if it provably had no effect or may safely be repeated,
// failed otherwise. It is the only caller of Host.Refuse and Host.Fail for accepted requests.
func (b *Balancer) refuseOrFail(r *request, reason balance.Reason) {
	switch {
	case r.ended:
		return
	case r.firstMayHaveRun() == nil, r.class.Idempotency == balance.Safe,
		r.class.Idempotency == balance.Keyed && r.class.Scope == balance.ScopeAll:
		b.counters.Refused++
		retryAfter := time.Duration((1 + b.rng.Float64()) * float64(b.typicalLatency)) // with jitter
		b.host.Refuse(r.id, min(b.cfg.MaxRetryAfter, retryAfter), reason)
	default:
		b.counters.Failed++
		b.host.Fail(r.id, reason)
	}
	b.endRequest(r)
}

// endRequest ends a request that needs no further attempt: it leaves its queue, and an attempt in flight is
// withdrawn or, if allowed, cancelled.
func (b *Balancer) endRequest(r *request) {
	r.ended = true
	r.compartment.queue = slices.DeleteFunc(r.compartment.queue, func(o *request) bool { return o == r })
	if r.attemptsInFlight == 0 {
		b.dropRequest(r)
		return
	}
	b.host.Withdraw(r.id, len(r.attempts)-1)
	if b.cfg.MayCancel {
		b.host.Cancel(r.id, len(r.attempts)-1)
	}
}
