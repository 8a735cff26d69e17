// Package policy decides, for one client-side load balancer (a sidecar), when
// and where each request is sent, retried, refused or failed.
//
// A Balancer is single-threaded and deterministic: it has no goroutines, no clock and no I/O. The program
// that embeds it (the host) calls one method per event and passes the time; the Balancer acts through the
// Host interface. Package balance defines the types of both. The decisions are in policy.go (events,
// admission, compartments, choice and health of servers, the server list, load reports), the state and its
// bookkeeping in state.go, and the handling of stalled responses in stream.go.
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
	"maps"
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

// Server subsets and round-robin turns, see updateSubset and computeSubset.
const (
	rateTimeConstant    = 10 * time.Second // moving average of this balancer's traffic
	turnInterval        = 1 * time.Second  // a subset is sized to give each of its servers a turn this often
	maxSharersPerServer = 10               // balancers that share a server, in a fleet with more than these
	minSubsetSize       = 4.0              // servers of a subset, if there are as many

	// When members are lost, the counted size of the fleet halves in no less than fleetHalfLife.
	fleetHalfLife     = 10 * time.Second
	maxFleetUpdateGap = time.Second // a longer time between two calls of SetFleet counts as this much

	// A subset moves with the fleet's traffic only by the part of the shift above this number of servers.
	subsetShiftTolerance = 0.5

	minSubsetCoverage  = 2.0  // subsets grow until those of all sharers cover the list this many times
	maxSubsetWidening  = 4.0  // limit on this growth, as a multiple of the size their traffic supports
	fittingRounds      = 5    // rounds of the proportional fitting of turns
	maxTurnMultiple    = 4.0  // fitting changes a server's turns by at most this factor, up or down
	crossZoneTurnShare = 0.25 // turns of another zone's server, relative to this zone, if crossing is priced

	// Lower latency ratios count as the floor: a fast server gets no more turns than the floor gives. Where
	// turns are fitted to the fleet's traffic the floor is higher, or random latency would outweigh the fitting.
	latencyRatioFloorAlone  = 0.5
	latencyRatioFloorShared = 1.5

	failureLatencyRatio = 8.0 // a failure counts as a response of this multiple of the typical latency
	coldBudgetShare     = 0.5 // used share of a cold server's budget; the rest absorbs random arrivals
)

// Load reports, see sampleReports and queryLoad.
const (
	loadReportLifetime = 50 * time.Millisecond // a load report is valid for this long
	loadReportWait     = 30 * time.Millisecond // longest time that a request waits for a load report
	maxLoadQueries     = 3                     // servers that a request may ask for a load report
	maxReportPairs     = 4                     // pairs of successive reports compared to see if they are fresh
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

// Ejection of failing servers, and the server list.
const (
	ejectAfterFailures    = 2                      // a single failure may be chance
	maxFailures           = 8                      // recent failures counted at most: three responses clear them
	backoffPerSharer      = 100 * time.Millisecond // first ejection time, per balancer that shares the server
	maxBackoff            = 4 * time.Second        // pauses double up to this
	learnedHealthLifetime = 30 * time.Second       // health learned before a restart is valid for this long

	maxListLag       = 30 * time.Second       // the list announces a server's start within this time
	firstWatchSpread = 2 * time.Second        // a large fleet's first list calls are spread over this time
	firstListRetry   = 250 * time.Millisecond // pause after a failed list call, doubled up to twice
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

// mayRepeat reports whether the idempotency of the class allows an attempt now, on s or, if s is nil, on any
// server.
func (r *request) mayRepeat(now time.Duration, s *server) bool {
	first, scope := r.firstMayHaveRun(), r.class.Scope
	if first == nil || r.class.Idempotency == balance.Safe {
		return true
	}
	inScope := s == nil || scope == balance.ScopeAll ||
		s.Zone == first.server.Zone && (scope == balance.ScopeZone || s.Cell == first.server.Cell)
	return inScope && r.class.Idempotency == balance.Keyed && now < first.sentAt+r.class.DedupWindow
}

// maySend reports whether the rules allow sending a request to a server now. Every attempt passes this check.
// Rule 3 applies as soon as a server starts draining, long before its grace period is over.
func (b *Balancer) maySend(now time.Duration, r *request, s *server) bool {
	return !r.ended && !r.streaming && now < r.deadline && // rule 1: not answered, and in time
		len(r.attempts) < b.cfg.MaxAttempts && s.available(now) && // rule 3: nothing to a draining server
		(now >= s.warmAt || now >= s.nextColdSend) && // rule 4: little to a cold server
		r.attemptsInFlight == 0 && r.mayRepeat(now, s) && // rule 2: no concurrent or unsafe repeats
		r.isNextOfKey(now) && // rule 5: order per key
		(len(r.attempts) == 0 || !b.retryBudgetSpent(now)) // rule 6: retry budget
}

// inService reports whether a server is ready by the list and neither disabled by an operator nor excluded by
// the rule set.
func (s *server) inService() bool { return s.State == balance.Ready && !s.excluded }

// available reports whether a server is in service and not ejected for failures.
func (s *server) available(now time.Duration) bool { return s.inService() && now >= s.ejectedUntil }

// isNextOfKey reports whether a request is at the head of its per-key queue, if it has one, and no attempt of
// an earlier request may still be running.
func (r *request) isNextOfKey(now time.Duration) bool {
	return r.keyQueue == nil ||
		r.keyQueue.waiting[0] == r && (len(r.attempts) > 0 || now >= r.keyQueue.settledAt)
}

// retryBudgetSpent reports whether the retry budget allows no retry now. At the edge of the period, a request
// received exactly one Span ago no longer counts and a retry sent then still does.
func (b *Balancer) retryBudgetSpent(now time.Duration) bool {
	if b.cfg.Budget.Span == 0 {
		return false
	}
	from := now - b.cfg.Budget.Span
	allowed := b.cfg.Budget.Free + b.cfg.Budget.Share*float64(b.requestTimes.countSince(from+1))
	return float64(b.retryTimes.countSince(from)+1) > allowed
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

// SetFleet sets which balancers send to the same servers. Their number affects cold servers' budgets,
// compartments, the subset and ejection times. Too high a number keeps this balancer below its part; too low
// a number overloads servers. A higher number therefore takes effect at once; a lower one slowly, only while
// all members agree and not for members that are silent.
func (b *Balancer) SetFleet(now time.Duration, f balance.Fleet) {
	minSize := b.fleetSize
	if f.Agreed {
		minSize *= math.Exp2(-float64(min(now-b.fleetUpdatedAt, maxFleetUpdateGap)) / float64(fleetHalfLife))
	}
	size := max(1, float64(f.Present+f.Silent), minSize)
	b.fleetUpdatedAt = now
	if size != b.fleetSize || !slices.Equal(f.Sharers, b.sharers) {
		b.fleetSize, b.sharers = size, f.Sharers
		b.sizeCompartments()
		b.updateSubset()
	}
}

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

// pickServer chooses a server by smooth weighted round robin over the subset. In virtual time, a server's
// next turn is 1/weight after its last one, and the server with the earliest turn is chosen. Servers that are
// at their concurrency limit or that the request has tried are skipped. It returns nil if none is eligible.
func (b *Balancer) pickServer(now time.Duration, r *request) *server {
	best, skipped := b.nextInTurn(now, r, b.subset)
	if best == nil && r.firstMayHaveRun() != nil { // a repeat is bound to its Scope, which the subset may lack
		best, skipped = b.nextInTurn(now, r, b.servers)
	}
	if best == nil {
		return nil
	}
	b.virtualTime = max(b.virtualTime, best.nextTurn)
	best.nextTurn = b.virtualTime + b.turnGap(now, best)
	if skipped {
		b.counters.Walled++
	} else if len(r.attempts) == 0 {
		b.counters.Ordinary++
	}
	return best
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

// updateSubset chooses the servers that this balancer sends to. A thousand balancers with little traffic
// would hold connections to all servers and never learn the health of any, so each keeps to a contiguous
// subset of the list that its own traffic supports. The subsets' starts are evenly spread by the balancers'
// indexes.
func (b *Balancer) updateSubset() {
	b.subsetTarget = b.subsetSize(b.rate)
	all := b.readyServers()
	b.subsetWeight, b.subset = 0, b.computeSubset(all)
	for _, s := range all {
		s.inSubset = s.inSubset && slices.Contains(b.subset, s)
	}
	for _, s := range b.subset {
		if !s.inSubset { // a random first turn: balancers must not be in step
			s.inSubset, s.nextTurn = true, b.virtualTime+b.rng.Float64()*b.turnGap(b.rateAt, s)
			if b.enabledWarmAt[s.ID] > 0 { // not the long wait for a cold server's turn
				s.nextTurn = b.virtualTime
			}
		}
		b.subsetWeight += s.Weight
	}
}

// computeSubset returns this balancer's subset of the ready servers. If this balancer is among the sharers,
// it computes the subsets of all sharers: each begins where the one before ends by announced traffic, but not
// far from the start that its index gives. Rounds of proportional fitting then find the turns that give all
// servers an even load (docs/spread.md). Only announced traffic is used, so that all sharers get one result.
func (b *Balancer) computeSubset(all []*server) []*server {
	b.latencyRatioFloor = latencyRatioFloorAlone
	for _, s := range b.servers {
		s.turnMultiple = 1
	}
	n, ring := float64(len(all)), slices.Concat(all, all)
	section := func(start, width float64) []*server {
		at := (int(math.Floor(start))%max(1, len(all)) + len(all)) % max(1, len(all))
		return ring[at : at+int(math.Ceil(min(n, width)))]
	}
	invalid := func(a balance.Sharer) bool { return !(a.Rate > 0 && b.subsetSize(a.Rate) < n) }
	sharers := slices.DeleteFunc(slices.Clone(b.sharers), invalid)
	byStart := func(a, c balance.Sharer) int { return cmp.Compare(subsetStart(a.Index), subsetStart(c.Index)) }
	slices.SortStableFunc(sharers, byStart)
	self := slices.IndexFunc(sharers, func(a balance.Sharer) bool { return a.Index == b.cfg.Index })
	if self < 0 {
		return section(n*subsetStart(b.cfg.Index), b.subsetTarget)
	}
	b.latencyRatioFloor = latencyRatioFloorShared // random latency must not outweigh the fitting
	total, sum, meanShift, shifts, subsets := 0.0, 0.0, 0.0,
		make([]float64, len(sharers)), make([][]*server, len(sharers))
	for _, a := range sharers {
		total += a.Rate
	}
	for i, a := range sharers {
		shifts[i] = n * (sum/total - subsetStart(a.Index))
		meanShift += shifts[i] / float64(len(sharers))
		sum += a.Rate
	}
	for i, a := range sharers {
		shifts[i] -= meanShift + max(-subsetShiftTolerance, min(shifts[i]-meanShift, subsetShiftTolerance))
		width := max(b.subsetSize(a.Rate),
			min(minSubsetCoverage*n*a.Rate/total, maxSubsetWidening*b.subsetSize(a.Rate)))
		subsets[i] = section(n*subsetStart(a.Index)+shifts[i], width)
	}
	for range fittingRounds {
		for i, a := range sharers {
			sum = 0
			for _, s := range subsets[i] {
				sum += b.turnWeight(a.Zone, s)
			}
			for _, s := range subsets[i] {
				s.fittedShare += a.Rate / total * b.turnWeight(a.Zone, s) / sum
			}
		}
		for _, s := range all {
			s.turnMultiple, s.fittedShare = max(1/maxTurnMultiple,
				min(s.turnMultiple*s.Weight/b.readyWeight/s.fittedShare, maxTurnMultiple)), 0
		}
	}
	return subsets[self]
}

// subsetStart returns where the subset of the balancer with this index starts, as a fraction of the list.
// Multiples of the golden ratio spread the starts evenly.
func subsetStart(index int) float64 {
	_, start := math.Modf(float64(index) * math.Phi)
	return start
}

// subsetSize returns how many servers a balancer with this request rate sends to. In a large fleet it is
// smaller than the rate supports, so that at traffic of the quotas maxSharersPerServer balancers share a
// server.
func (b *Balancer) subsetSize(rate float64) float64 {
	secondsPerTurn := b.secondsPerTurn
	if b.fleetSize > maxSharersPerServer && b.totalQuota > 0 {
		secondsPerTurn = min(secondsPerTurn, maxSharersPerServer*b.readyWeight/b.totalQuota)
	}
	return max(minSubsetSize, rate*secondsPerTurn)
}

// turnGap returns the virtual time between two turns of a server. It is longer for slow, failing and cold
// servers, but bounded: the remaining turns show when a server has recovered.
func (b *Balancer) turnGap(now time.Duration, s *server) float64 {
	return math.Pow(max(b.latencyRatioFloor, min(s.latencyRatio, failureLatencyRatio/2)), 1.5) /
		(b.turnWeight(b.cfg.Zone, s) * b.capacityShare(now, s))
}

// turnWeight returns the weight of a server's turns for a balancer in the given zone. Servers of other zones
// have fewer turns, but some: a zone may have more traffic than its own servers can take.
func (b *Balancer) turnWeight(zone int, s *server) float64 {
	if b.cfg.CrossZonePrice > 0 && s.Zone != zone {
		return s.Weight * s.turnMultiple * crossZoneTurnShare
	}
	return s.Weight * s.turnMultiple
}

// nextInTurn returns the eligible server with the earliest turn, or nil. It also reports whether a server
// with an earlier turn was skipped because it was at its concurrency limit.
func (b *Balancer) nextInTurn(now time.Duration, r *request, among []*server) (best *server, skipped bool) {
	earliestSkipped := math.Inf(1)
	for _, s := range among {
		switch {
		case r.tried(s) || !b.maySend(now, r, s):
		case float64(s.inFlight) >= b.serverLimit(s) || b.reportsFull(now, r, s):
			earliestSkipped = min(earliestSkipped, s.nextTurn)
		case best == nil || s.nextTurn < best.nextTurn:
			best = s
		}
	}
	return best, best != nil && earliestSkipped < best.nextTurn
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

// UpdateServers handles a server list event: it updates the servers, their weights and the subset.
func (b *Balancer) UpdateServers(now time.Duration, kind balance.ListKind, entries []balance.Server) {
	switch {
	case kind == balance.ListFailed:
		// retried soon: changes count as received 6 s after discovery recovers, even if calls fail
		b.watchAt = now + b.backoff(firstListRetry, b.watchFailures)
		b.watchFailures = min(b.watchFailures+1, 2)
		return
	case b.cfg.AskList && kind != balance.ListCached:
		b.watchAt, b.watchFailures = 0, 0
	case b.cfg.AskList && len(entries) == 0:
		b.watchList(now) // no server is known: ask at once
	}
	for _, s := range b.servers {
		if kind != balance.ListDelta {
			s.State = balance.Gone // unless the list contains it
		}
	}
	clockLead := time.Duration(0)
	if kind == balance.ListFull && !b.fullListHeard {
		clockLead, b.fullListHeard = maxClockLead(now, entries), true
	}
	for _, e := range entries {
		b.applyEntry(now, e, min(now, b.effectiveStart(now, kind, e)+clockLead))
	}
	b.listHeardAt = now
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool { return s.State == balance.Gone })
	if b.firstListSize == 0 { // without quotas, compartments are sized by the first list
		b.firstListSize = float64(len(b.servers))
		if b.sizeCompartments(); b.totalQuota == 0 {
			// as if maxSharersPerServer balancers gave each server one turn per second
			b.rate = b.firstListSize * min(1, maxSharersPerServer/b.fleetSize) / b.secondsPerTurn
		}
	}
	b.recalculateWeights(now)
	b.dispatchQueued(now)
}

// maxClockLead returns how far this process's clock may be ahead when it receives its first full list: no
// server has started after its start is listed.
func maxClockLead(now time.Duration, entries []balance.Server) time.Duration {
	lead := time.Duration(math.MaxInt64)
	for _, e := range entries {
		if e.Started > 0 {
			lead = min(lead, max(0, now-e.Started))
		}
	}
	if lead == math.MaxInt64 {
		return 0 // no start is listed
	}
	return lead
}

// effectiveStart returns the time at which a server's cold start began. This process's clock may
// have been wrong by up to an hour when it was first read. A start in the future therefore counts as now, and
// so does a newly announced start that is well before the last list, which did not contain it.
func (b *Balancer) effectiveStart(now time.Duration, kind balance.ListKind, e balance.Server) time.Duration {
	i, known := b.findServer(e.ID)
	old := known && e.Started <= b.servers[i].Started
	restart := !old && e.Started > 0 && kind == balance.ListDelta && b.listHeardAt > 0
	if e.Started > now || restart && e.Started < b.listHeardAt-maxListLag {
		return now
	}
	return e.Started
}

// applyEntry adds or updates the server of one list entry.
func (b *Balancer) applyEntry(now time.Duration, e balance.Server, start time.Duration) {
	if !(e.Weight > 1e-9 && e.Weight < 1e9) {
		e.Weight = 1 // without a valid weight, even turns
	}
	i, known := b.findServer(e.ID)
	if !known {
		b.servers = slices.Insert(b.servers, i, &server{latencyRatio: 1})
	}
	s := b.servers[i]
	if e.Started > 0 && e.Started > s.Started { // restarted: cold, and its health is unknown
		*s = server{Server: e, inFlight: s.inFlight, warmAt: max(s.warmAt, start+b.cfg.ColdTime), latencyRatio: 1}
	}
	s.Server, s.listedWeight, s.excluded, s.warmAt = e, e.Weight, b.disabled[e.ID],
		max(s.warmAt, b.enabledWarmAt[e.ID])
	if !s.inService() {
		b.closeIdle(now, s)
	}
}

// Disable takes a server out of service on an operator's call until Enable, in any state of the list
// and even if it is not listed. Attempts in flight finish. A second Disable has no effect.
func (b *Balancer) Disable(now time.Duration, id balance.ServerID) {
	b.disabled[id] = true
	if s := b.serverByID(id); s != nil && !s.excluded {
		b.recalculateWeights(now)
	}
}

// Enable reverses Disable as of the time at. Operators restart servers in between, which the list announces
// late, so the server is treated as cold. It has the next turn.
func (b *Balancer) Enable(now time.Duration, id balance.ServerID, at time.Duration) {
	if !b.disabled[id] {
		return
	}
	delete(b.disabled, id)
	maps.DeleteFunc(b.enabledWarmAt,
		func(_ balance.ServerID, warmAt time.Duration) bool { return now >= warmAt })
	b.enabledWarmAt[id] = at + b.cfg.ColdTime
	if s := b.serverByID(id); s != nil {
		*s = server{Server: s.Server, listedWeight: s.listedWeight, inFlight: s.inFlight,
			warmAt: max(s.warmAt, b.enabledWarmAt[id]), latencyRatio: 1}
		b.recalculateWeights(now)
		b.dispatchQueued(now)
	}
}

// watchList subscribes to the server list. Without an answer it subscribes again before AskWithin is over.
func (b *Balancer) watchList(now time.Duration) {
	b.watchAt = now + cmp.Or(b.cfg.AskWithin*3/4, maxBackoff)
	b.host.WatchList()
}

// sampleReports probes one server a few times to find out whether load reports are fresh. Reports that change
// more slowly than they are used must not steer single attempts: all balancers would send to the servers that
// were idle, a thundering herd.
func (b *Balancer) sampleReports(now time.Duration) {
	due := b.processes == 1 && b.reportPairs < maxReportPairs && now >= b.sampleAt && len(b.subset) > 0
	if !due || !b.cfg.MayProbe || b.cfg.Reports&balance.HasInFlight == 0 {
		return
	}
	if b.sampledServer == nil || !b.sampledServer.inService() {
		b.sampledServer = b.subset[b.rng.IntN(len(b.subset))]
	}
	b.sampleAt = now + loadReportLifetime
	b.host.Probe(b.sampledServer.ID)
	b.requestWake(now, loadReportLifetime)
}

// queryLoad asks the server whose turn it is for a load report if its last one is too old, and reports
// whether the request now waits for it. In a large fleet, a balancer can't estimate a server's load from its
// own attempts.
func (b *Balancer) queryLoad(now time.Duration, r *request) bool {
	if !b.cfg.MayProbe || b.cfg.Reports&balance.HasInFlight == 0 || b.freshPairs < maxReportPairs-1 ||
		r.loadQueries >= maxLoadQueries {
		return false
	}
	s, _ := b.nextInTurn(now, r, b.subset)
	if s == nil || (s.reportedAt > 0 && now-s.reportedAt < loadReportLifetime) {
		return false
	}
	r.awaitedReport, r.reportWaitEnd = s, now+loadReportWait
	r.loadQueries++
	b.host.Probe(s.ID)
	return true
}

// Probed handles the result of Host.Probe: a load report, or a failure if ok is false.
func (b *Balancer) Probed(now time.Duration, id balance.ServerID, ok bool, l balance.Load) {
	s := b.serverByID(id)
	reported := s != nil && ok && l.Has&balance.HasInFlight != 0
	if s != nil && s == b.sampledServer && b.reportPairs < maxReportPairs &&
		(!reported || s.reportedAt > 0 && now-s.reportedAt >= loadReportLifetime) {
		b.reportPairs++ // a failed probe counts as a pair that is not fresh
		if reported && l != s.load {
			if b.freshPairs++; b.freshPairs == maxReportPairs-1 { // queries find idle servers best in a large subset
				b.secondsPerTurn *= 3
			}
		}
	}
	if reported {
		s.reportedAt, s.load, s.othersInFlight = now, l, max(0, l.InFlight-float64(s.inFlight))
	}
	for _, r := range b.openRequests {
		if s != nil && r.awaitedReport == s && !r.ended {
			r.awaitedReport = nil
			b.dispatchOrQueue(now, r)
		}
	}
}

// reportsFull reports whether a server's load report shows its part of all balancers' requests. A server
// without a valid report counts as full for a request that has used up its load queries.
func (b *Balancer) reportsFull(now time.Duration, r *request, s *server) bool {
	if s.reportedAt == 0 || now-s.reportedAt >= 5*loadReportLifetime {
		return r.loadQueries >= maxLoadQueries
	}
	return s.othersInFlight+float64(s.inFlight) >= 1+b.weightShare(b.quotaConcurrency, s)
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
