// Package policy decides, for one client-side load balancer (a sidecar), when
// and where each request is sent, sent again, refused or failed.
//
// A Balancer is single-threaded and deterministic: it has no goroutines, no clock and no I/O. The program
// that embeds it calls one method per event and passes the time; the Balancer answers through the Host it was
// given. Package balance has the words for both. Here is every decision: the start, events, compartments, the
// gate that all sends pass, server choice and health, list, reports and endings in policy.go, what is held
// and counted in state.go.
//
// Times are durations since a fixed moment of the embedding program's choice; they must never go back, and
// all calls for one Balancer come from one goroutine, in the order of what happened: New, Start,
// UpdateServers with the servers known so far, then the others as they occur. Each Host.Send brings exactly
// one Outcome, also after the request has been answered; each Host.Wake one call of Wake, late rather than
// never. A request is answered once: by an Outcome with Settled set, or by Host.Refuse or Host.Fail.
//
// Bad input does no harm: a request that names no class or tenant, or has no time left, is refused;
// an outcome, probe or departure of something unknown is passed over, and so is a repeated one.
// New returns an error that names the field for settings that cannot be used.
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

const (
	busyTick = 10 * time.Millisecond  // how often open requests are looked at
	idleTick = 100 * time.Millisecond // and the rest when none is open

	slotAim     = 0.12 // slots hold a quota's traffic for this share of the aim (wall)
	spread      = 2.0  // and this many standard deviations of such a count more
	serverSlots = 3.0  // slots for each server first listed, where no quota is known
	placesShare = 0.15 // queue places for each slot: short, just enough to keep slots fed
	besideSlots = 4    // places for each slot, for attempts that go at their client's pace

	rateOver    = 10 * time.Second      // our traffic is measured over about this long
	turnEvery   = 1 * time.Second       // turns are taken among so few servers that each gets one this often
	sharersMost = 10                    // and that so many balancers share a server, if there are more
	fewest      = 4.0                   // but at least this many
	fleetHalf   = 10 * time.Second      // a fleet that shrinks counts for half in no less than this
	stays       = 0.5                   // arcs keep their places while all traffic puts them no more servers off
	overlap     = 2.0                   // arcs by all traffic reach so often round the list together, at least
	widest      = 4.0                   // but none beyond this multiple of what its own traffic feeds
	fitRounds   = 5                     // of proportional fitting find how often servers have turns,
	turnsMost   = 4.0                   // up to this multiple of the usual, and down to this part
	fleetEvery  = time.Second           // Fleet comes this often; a longer gap between two counts for no more
	toldFor     = 50 * time.Millisecond // a load report is good for this long
	askWait     = 30 * time.Millisecond // a request waits this long for one
	askMost     = 3                     // and asks so many servers at most
	pairsMost   = 4                     // pairs of reports that far apart tell whether they are fresh enough
	crowdedAt   = 0.3                   // a server that takes this share of the aim to answer is crowded
	admitMost   = 1.5                   // lets in this multiple of what was lately answered in time
	admitFree   = 1.5                   // and this many requests, or a light balancer refuses after one failure
	admitOver   = 2 * time.Second       // lately: about as long as queues take to build up
	wholeFew    = 1.0                   // the wall over all attempts begins at this multiple of a server's,
	wholeMany   = 0.4                   // or sooner where more than sharersMost balancers crowd servers
	wholeFree   = 2.0                   // and allows this many more than our traffic holds at the aim
	farTurns    = 0.25                  // other zones' servers have this share of turns, if crossing is priced
	mildAlone   = 0.5                   // answers in less than this multiple of the usual time bring no turns,
	mildShared  = 1.5                   // and in this cost none, where arcs and turns go by all traffic
	failStrain  = 8.0                   // a failure counts as an answer that took so many times the usual
	coldPart    = 0.5                   // this much of a cold server's budget is used, the rest left to chance
	leftVotes   = 32                    // so many tries more than others' at most hold a class's usual time left

	restAfter  = 2                      // so many failures are no chance: the server rests
	failsMost  = 8                      // and more count no more: three answers clear it
	restEach   = 100 * time.Millisecond // at first it is tested this often, by all who share it together
	listLag    = 30 * time.Second       // the list tells of a start no later than this
	believed   = 30 * time.Second       // a verdict from before a restart counts for so long
	firstAsk   = 2 * time.Second        // many balancers that start at once first ask for the list over this
	firstPause = 250 * time.Millisecond // before the list is asked for again after a failed call, doubled twice
	lastPause  = 4 * time.Second        // any other pause is doubled up to this
)

// unsettled are the endings after which an attempt may still run.
var unsettled = []balance.Ending{balance.TimedOut, balance.Broken, balance.Cancelled}

// New makes a Balancer, or returns an error that names the unusable field.
func New(cfg balance.Config, seed uint64, host balance.Host) (*Balancer, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	b := &Balancer{settings: cfg, cfg: cfg, host: host, lines: make(map[uint64]*line), share: 1}
	b.requests, b.away = make(map[balance.RequestID]*request), make(map[balance.ServerID]bool)
	b.fleet, b.back = float64(cfg.Balancers), make(map[balance.ServerID]time.Duration)
	b.parts, b.rng = make([]compartment, len(cfg.Compartments())), rand.New(rand.NewPCG(seed, 0))
	b.pace, b.every = cfg.Classes[0].Aim/8, turnEvery.Seconds()
	for _, c := range cfg.Classes {
		c.Aim = min(c.Aim, c.Deadline) // nobody waits for longer
		b.classes = append(b.classes, class{Class: c, pace: c.Aim / 8})
		b.aim += c.Aim.Seconds() / float64(len(cfg.Classes))
		b.worth += c.Worth / float64(len(cfg.Classes))
		b.pace = min(b.pace, c.Aim/8)
	}
	b.wall()
	b.rate = b.quota / b.fleet
	return b, nil
}

// wall sizes the compartments. By Little's law a rate holds rate x time slots: the quotas times a small
// share of the aim, to leave most of it for what goes wrong. Each balancer gets what the largest of n
// random parts of the traffic comes to, ln n + 0.58 even ones, and two standard deviations of such a
// count, so as not to refuse on chance.
func (b *Balancer) wall() {
	tenants, n, shares := b.cfg.Compartments(), b.fleet, 0.0
	b.quota, b.slots = 0, 0
	for _, t := range tenants {
		b.quota += t.Quota
		shares += t.Share
	}
	b.mean = cmp.Or(b.quota*b.aim*slotAim, serverSlots*b.first)
	total, room := b.mean*min(1, (math.Log(n)+0.58)/n), spread
	if b.cfg.Slots > 0 {
		total, room = float64(b.cfg.Slots), 0
	}
	for i, t := range tenants {
		c, mean := &b.parts[i], total*t.Share/shares
		c.slots = max(1, int(math.Ceil(mean+room*math.Sqrt(mean))))
		c.places = int(math.Ceil(float64(c.slots) * placesShare))
		b.slots += c.slots
	}
}

// Start begins the Balancer's life; it must be the first event.
func (b *Balancer) Start(now time.Duration) {
	b.rateAt = now // the mean of all balancers holds from now on; the clock's zero may be long ago
	if b.cfg.AskList && b.cfg.Balancers > sharersMost {
		b.askAt = now + 1 + time.Duration(b.rng.Float64()*float64(firstAsk))
	} else if b.cfg.AskList {
		b.ask(now)
	}
	b.sampleAt = now + time.Duration(b.rng.Int64N(int64(4*toldFor))) // not all balancers at once
	b.wake(now, idleTick)
}

// Request takes a request on. It is answered once, by an Outcome that settles it or through the
// Host, before its time left is up. An id still held is passed over; one unusable is refused.
func (b *Balancer) Request(now time.Duration, q balance.Request) {
	if _, held := b.requests[q.ID]; held {
		return
	}
	b.taken.since(now - b.cfg.Budget.Span)
	b.more.since(now - b.cfg.Budget.Span)
	b.taken = append(b.taken, now)
	if len(b.cfg.Tenants) == 0 {
		q.Tenant = 0 // the one for all
	}
	if min(q.Class, q.Tenant) < 0 || q.Class >= len(b.classes) || q.Tenant >= len(b.parts) || q.TimeLeft <= 0 {
		b.count.Refused++
		b.host.Refuse(q.ID, 0, balance.Unusable)
		return
	}
	r := &request{id: q.ID, class: &b.classes[q.Class], home: &b.parts[q.Tenant], coming: q.BodyPending}
	r.deadline = now + min(q.TimeLeft, time.Hour)
	r.useful, r.wanted = r.deadline, min(r.deadline, now+r.class.Aim)
	if stretch := r.class.AimStretch; r.class.LateShare == 0 && (stretch == 0 || q.Work > 0) {
		begun := now // the first try
		if first := r.class.usual(q.TimeLeft, !q.ClientRetry); !first &&
			(q.ClientRetry || !b.cfg.ClientsMarkRetries) {
			begun = min(now, r.deadline-r.class.Deadline) // a later one has what is left of all its client's time
		}
		r.useful = min(r.deadline, begun+r.class.Aim+time.Duration(stretch*float64(q.Work)))
	}
	if r.class.InOrder && q.Key != 0 {
		b.join(now, r, q.Key)
	}
	b.requests[r.id] = r
	b.open = append(b.open, r)
	b.wake(now, busyTick)
	b.rate = b.rate*math.Exp(-float64(now-b.rateAt)/float64(rateOver)) + 1/rateOver.Seconds()
	b.rateAt = now
	if want := b.want(b.rate); want > 1.25*b.wanted || want < 0.75*b.wanted {
		b.cut()
	}
	if !b.admit(now, r) {
		b.asked.turnedBack()
		b.count.Throttled++
		b.finish(r, balance.AdmissionLimit)
		return
	}
	b.place(now, r)
}

// admit says whether a request may try for a slot. Walls bound each balancer alone; where a thousand
// of few requests each find the fleet short of what they ask, the slots of all are more than it can
// serve in time, and its work goes into answers that come late (i47e131, i50e019). Each then lets in
// little more than what it was lately answered in time, of worthier classes more.
func (b *Balancer) admit(now time.Duration, r *request) bool {
	b.asked.fade(now)
	share := (admitFree + admitMost*b.asked.good) / (admitFree + b.asked.all)
	return share >= 1 || b.rng.Float64() < math.Pow(share, b.worth/max(r.class.Worth, b.worth/8))
}

// place sends a request, or lets it wait, or refuses it.
func (b *Balancer) place(now time.Duration, r *request) {
	switch {
	case b.inquire(now, r):
	case now > r.lateIn(): // late, or as good as: it takes nothing from others
		r.useful = r.deadline // and where nothing was heard lately one shows whether there still is a crowd
		if ease(b.crowd) < 1 && now-b.crowdAt < admitOver || !b.dispatch(now, r) {
			b.count.Late++
			b.finish(r, balance.OutOfTime)
		}
	case b.dispatch(now, r):
	case len(r.home.queue) >= r.home.places: // full: refuse promptly
		b.finish(r, balance.QueueFull)
	default:
		b.count.Queued++
		r.home.queue = append(r.home.queue, r)
	}
}

// Outcome takes the end of an attempt. What is unknown or came before is passed over.
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
	r.spent = r.spent || o.BodySpent
	b.paced(r, a, false)
	b.hold(r, a.to, -1)
	if r.line != nil && slices.Contains(unsettled, o.Ending) {
		r.line.restEnd = max(r.line.restEnd, now+b.cfg.OrderSettle)
	}
	if !a.to.stands() {
		b.close(now, a.to)
	}
	switch {
	case !r.begun:
		b.judge(now, r, a, o.Ending)
	case o.Ending != balance.Served && o.Ending != balance.Cancelled: // how long the stream took tells nothing
		b.judge(now, r, a, balance.Broken)
	}
	switch {
	case r.over && r.out == 0:
		b.forget(r)
	case !r.over && (o.Settled || o.Ending == balance.Served || r.begun):
		b.settle(r)
	case !r.over && r.out == 0:
		b.further(now, r)
	}
	b.feed(now)
}

// BodyEnded takes that the last byte of a request has gone out: its time begins. A server begins with the
// last byte too, so that what came before tells nothing of it.
func (b *Balancer) BodyEnded(now time.Duration, id balance.RequestID, left time.Duration) {
	r := b.requests[id]
	if r == nil || r.over || !r.coming {
		return
	}
	r.coming, r.deadline = false, now+min(left, time.Hour)
	r.useful, r.wanted = r.deadline, min(r.deadline, now+r.class.Aim)
	if r.out > 0 {
		a := &r.attempts[len(r.attempts)-1]
		a.sent = now
		b.paced(r, a, false)
	}
}

// StreamStarted takes that the answer of an attempt has begun to stream: the client owns it now. It counts as
// answered; a place of its tenant's it keeps until its Outcome.
func (b *Balancer) StreamStarted(now time.Duration, id balance.RequestID, n int) {
	r := b.requests[id]
	if r == nil || r.begun || n < 0 || n >= len(r.attempts) || r.attempts[n].state != inFlight {
		return
	}
	b.judge(now, r, &r.attempts[n], balance.Served)
	r.begun = true
	b.paced(r, &r.attempts[n], true)
	b.feed(now)
}

// paced takes that an attempt goes at its client's pace from now on (on), while its body comes or its answer
// streams, or no longer does. Then it is no work of its server's, and has a place beside its compartment's
// slots if there is one: as many slow clients as there are slots would wall off their tenant for seconds.
func (b *Balancer) paced(r *request, a *attempt, on bool) {
	if a.paced == on {
		return
	}
	n := 1
	if a.paced = on; on {
		n = -1
		if a.beside = r.home.beside < r.home.slots*besideSlots; !a.beside {
			b.count.SlowFull++
		}
		b.count.Slow++
	}
	a.to.out += n
	b.out += n
	if a.beside {
		r.home.used += n
		r.home.beside -= n
	}
	a.beside = a.beside && on
}

// Wake takes that a time asked for with Host.Wake has come.
func (b *Balancer) Wake(now time.Duration) {
	if now < b.wakeAt {
		return // an older timer
	}
	if b.cfg.AskList && b.askAt > 0 && now >= b.askAt {
		b.ask(now)
	}
	if b.closeAt > 0 && now >= b.closeAt {
		b.closeAt = 0
		for _, s := range b.servers {
			if !s.stands() {
				b.host.CloseIdle(s.ID)
			}
		}
	}
	b.feed(now)
	for _, r := range b.open {
		if r.asks != nil && !r.over && now >= r.asksUntil {
			r.asks.toldAt, r.asks.others = now, math.Inf(1) // it cannot even tell
			r.asks = nil
			b.place(now, r)
		}
		ends := now+2*max(busyTick, b.cfg.Tick) > r.deadline || now >= r.lateIn()
		waited := r.out == 0 && (ends || !r.mayRepeat(now, nil) || len(r.attempts) >= b.cfg.MaxAttempts)
		if !r.begun && !(r.coming && r.out > 0) && (waited || now >= r.deadline) { // or it takes the client's time
			b.finish(r, balance.OutOfTime)
		}
	}
	b.open = slices.DeleteFunc(b.open, func(r *request) bool { return r.over })
	b.wakeAt = 0
	b.sample(now)
	if len(b.open) > 0 {
		b.wake(now, busyTick)
	}
	b.wake(now, idleTick)
	if b.closeAt > 0 {
		b.wake(now, b.closeAt-now)
	}
}

// lateIn is when a wait stops being worth it: servers would work for answers that come late.
func (r *request) lateIn() time.Duration { return r.useful - min(2*r.class.pace, r.class.Aim/2) }

// dispatch sends a request if a slot of its compartment and a server are free.
func (b *Balancer) dispatch(now time.Duration, r *request) bool {
	if r.home.used >= r.home.slots {
		b.count.NoSlot++
		return false
	}
	// The wall over all attempts: one each from many balancers is a crowd too, and servers' own walls leave
	// them that one. There it comes first: by the time that all answers are slow, servers have choked.
	at := wholeFew
	if b.fleet > sharersMost {
		at = wholeMany
	}
	if float64(b.out) >= max(1, b.whole(ease(b.crowd/at))) {
		b.count.Held++
		return false
	}
	if s := b.pick(now, r); s != nil {
		b.send(now, r, s)
		return true
	}
	b.count.NoServer++
	return false
}

// whole is the concurrency limit over all attempts: the slots, or while answers tell of crowding the share
// this leaves of what our own traffic holds at the aim, by Little's law: slots are sized for the busiest, and
// eighty times these are more than servers bear. Less by what fails: it is not to fall on the others.
func (b *Balancer) whole(eased float64) float64 {
	limit := float64(b.slots)
	if eased < 1 {
		limit = eased * min(limit, wholeFree+b.rate*b.aim)
	}
	well := slices.DeleteFunc(slices.Clone(b.arc), func(s *server) bool { return s.fails >= restAfter })
	return limit * float64(len(well)) / max(1, float64(len(b.arc)))
}

// further gives a request whose attempts have all failed another one, or ends it.
func (b *Balancer) further(now time.Duration, r *request) {
	switch {
	case r.spent || len(r.attempts) >= b.cfg.MaxAttempts || now >= r.lateIn(),
		!r.mayRepeat(now, nil) || b.spent(now):
		b.finish(r, b.noneFurther(now, r))
	case !b.dispatch(now, r):
		if b.feed(now); len(r.home.queue) >= r.home.places { // its slot may serve one that waits
			b.finish(r, balance.QueueFull)
			return
		}
		r.home.queue = slices.Insert(r.home.queue, 0, r) // it has waited already: to the front
	}
}

// noneFurther is why a request whose attempts have all failed gets no other.
func (b *Balancer) noneFurther(now time.Duration, r *request) balance.Reason {
	switch {
	case r.spent:
		return balance.BodySpent
	case now >= r.lateIn():
		return balance.OutOfTime
	}
	return balance.NoAttemptLeft
}

// feed gives free slots to what waits, one compartment after the other.
func (b *Balancer) feed(now time.Duration) {
	b.feedFrom = (b.feedFrom + 1) % len(b.parts)
	for i := range b.parts {
		c := &b.parts[(b.feedFrom+i)%len(b.parts)]
		for n := 0; n < len(c.queue) && c.used < c.slots; {
			switch r := c.queue[n]; {
			case now >= r.lateIn():
				b.finish(r, balance.OutOfTime) // which takes it out of the queue
			case b.dispatch(now, r):
				c.queue = slices.Delete(c.queue, n, n+1)
			case len(r.attempts) == 0 && r.inTurn(now):
				n = len(c.queue) // it could go anywhere, so nothing behind it can go
			default:
				n++ // bound to where it has been, or behind its key: others may go
			}
		}
	}
}

// mayRepeat says whether the class allows an attempt now, on s or (nil) on some server.
func (r *request) mayRepeat(now time.Duration, s *server) bool {
	first, scope := r.ran(), r.class.Scope
	if first == nil || r.class.Idempotency == balance.Safe {
		return true
	}
	dropped := s == nil || scope == balance.ScopeAll ||
		s.Zone == first.to.Zone && (scope == balance.ScopeZone || s.Cell == first.to.Cell)
	return dropped && r.class.Idempotency == balance.Keyed && now < first.sent+r.class.DedupWindow
}

// mayGo is the gate: whether the rules let a request go to a server now.
func (b *Balancer) mayGo(now time.Duration, r *request, s *server) bool {
	return !r.over && !r.begun && now < r.deadline && // rule 1
		len(r.attempts) < b.cfg.MaxAttempts && s.mayServe(now) && // rule 3: at once, long before the grace is over
		(now >= s.warmAt || now >= s.coldAt) && // rule 4
		r.out == 0 && r.mayRepeat(now, s) && // rule 2: one at a time (no second copies), if it may be repeated
		r.inTurn(now) && // rule 5
		(len(r.attempts) == 0 || !b.spent(now)) // rule 6
}

// stands says whether a server takes part: the list has it ready, and it is not out by hand or by the set.
func (s *server) stands() bool { return s.State == balance.Ready && !s.away }

// mayServe says whether a server may be sent anything now: it takes part and does not rest from failures.
func (s *server) mayServe(now time.Duration) bool { return s.stands() && now >= s.rested }

// inTurn says whether a request is the first of its key, and no earlier attempt may still run.
func (r *request) inTurn(now time.Duration) bool {
	return r.line == nil || r.line.waiting[0] == r && (len(r.attempts) > 0 || now >= r.line.restEnd)
}

// spent says whether the budget has no further attempt left. A request taken just a span ago no
// longer counts, an attempt made just then still does.
func (b *Balancer) spent(now time.Duration) bool {
	if b.cfg.Budget.Span == 0 {
		return false
	}
	from := now - b.cfg.Budget.Span
	allowed := b.cfg.Budget.Free + b.cfg.Budget.Share*float64(b.taken.since(from+1))
	return float64(b.more.since(from)+1) > allowed
}

// close closes idle connections to a server that drains (rule 7): now and, as one may be opening, once more.
func (b *Balancer) close(now time.Duration, s *server) {
	if b.cfg.CloseWithin > 0 {
		b.host.CloseIdle(s.ID)
		b.closeAt = cmp.Or(b.closeAt, now+b.cfg.CloseWithin/2)
		b.wake(now, b.closeAt-now)
	}
}

// send is the one place that sends, to a server that pick found: mayGo lets the request go there. A keyed
// repeat has to be written by its window's end, however late its connection comes up. No margin is taken off
// for the wire: the first attempt went out later than sent, from which this counts.
func (b *Balancer) send(now time.Duration, r *request, s *server) {
	unsent := time.Duration(0)
	if first := r.ran(); first != nil && r.class.Idempotency == balance.Keyed {
		unsent = first.sent + r.class.DedupWindow - now
	}
	s.coldAt = now + b.coldGap(now, s)
	r.attempts = append(r.attempts, attempt{to: s, sent: now})
	b.hold(r, s, 1)
	if len(r.attempts) > 1 {
		b.count.Retries++
		b.more = append(b.more, now)
	}
	if b.far(s) {
		b.count.Crossed++
	}
	b.paced(r, &r.attempts[len(r.attempts)-1], r.coming)
	b.host.Send(r.id, s.ID, r.useful-now, unsent)
}

// coldGap spaces sends to a cold server: each balancer keeps an even part of what it may be sent. Quotas
// tell what servers can do; without them it is guessed from what they bear, all balancers' traffic.
func (b *Balancer) coldGap(now time.Duration, s *server) time.Duration {
	rate := cmp.Or(b.quota/b.fleet, b.rate)
	rate = b.part(rate, s) * b.weight / max(b.reach, s.Weight) * b.warmth(now, s)
	gap := time.Duration(float64(time.Second) / max(rate*coldPart*max(b.cfg.ColdMultiple, 1), 0.01))
	return time.Duration(b.share) * gap
}

// SetProcessCount says how many processes act as this balancer, as an upgrade runs two for a while. Each then
// keeps to its part of what cold servers may be sent, and leaves the probes that nothing waits for.
func (b *Balancer) SetProcessCount(n int) { b.share = max(1, n) }

// SetFleet takes who else sends to the same servers. Cold servers' parts, walls, reach and rests go by how
// many there are, and more is the safe side of each: too many of them keep us to less than our part, too
// few push servers over. So more count at once; fewer only while all agree, without the silent, and slowly.
func (b *Balancer) SetFleet(now time.Duration, f balance.Fleet) {
	least := b.fleet
	if f.Agreed {
		least *= math.Exp2(-float64(min(now-b.fleetAt, fleetEvery)) / float64(fleetHalf))
	}
	n := max(1, float64(f.Present+f.Silent), least)
	b.fleetAt = now
	if n != b.fleet || !slices.Equal(f.Sharers, b.told) {
		b.fleet, b.told = n, f.Sharers
		b.wall()
		b.cut()
	}
}

// SetRules puts a rule set in force, in place of the one before; the empty one restores the settings. What
// was sent ends under what it was sent by. One that Check refuses changes nothing.
func (b *Balancer) SetRules(now time.Duration, r balance.Rules) {
	if err := r.Check(b.settings); err != nil {
		b.host.Log(err.Error())
		return
	}
	b.rules, b.cfg = r, r.ApplyTo(b.settings)
	b.wall()
	b.weigh(now)
}

// warmth is the share of its capacity that a server has at least.
func (b *Balancer) warmth(now time.Duration, s *server) float64 {
	left := float64(max(0, s.warmAt-now)) / float64(max(1, b.cfg.ColdTime))
	return max(0.05, 1-left*(1-b.cfg.ColdFrom))
}

// pick is smooth weighted round robin over the ready servers: each is due again one over its
// weight after its last turn, and the one due first has its turn. It loses it while it holds its
// portion of our attempts, or if the request has been there already.
func (b *Balancer) pick(now time.Duration, r *request) *server {
	best, walled := b.turnOf(now, r, b.arc)
	if best == nil && r.ran() != nil { // bound to where it has been
		best, walled = b.turnOf(now, r, b.servers)
	}
	if best == nil {
		return nil
	}
	b.turn = max(b.turn, best.due)
	best.due = b.turn + b.gap(now, best)
	if walled {
		b.count.Walled++
	} else if len(r.attempts) == 0 {
		b.count.Ordinary++
	}
	return best
}

// portion is how many of our attempts a server may hold: its part of our slots, less the more of
// the aim its answers take (mean square: a long tail counts). It does not grow when others leave
// or fail: the last would be overrun.
func (b *Balancer) portion(s *server) float64 {
	return max(1, b.part(float64(b.slots), s)*b.weight/b.reach*s.turns*ease(s.used))
}

// ease is the share of its portion that crowding leaves.
func ease(used float64) float64 { return min(1, crowdedAt*crowdedAt/max(used, 1e-4)) }

// cut picks the servers to take turns among. A thousand balancers of few requests each would hold
// connections to all servers and never learn how any of them fares, so each keeps to an arc of the
// list that its own traffic can feed. Arcs begin evenly spread, by the balancers' numbers.
func (b *Balancer) cut() {
	b.wanted = b.want(b.rate)
	all := b.ready()
	b.reach, b.arc = 0, b.lay(all)
	for _, s := range all {
		s.ours = s.ours && slices.Contains(b.arc, s)
	}
	for _, s := range b.arc {
		if !s.ours { // at a random point of its round: balancers must not begin in step
			s.ours, s.due = true, b.turn+b.rng.Float64()*b.gap(b.rateAt, s)
			if b.back[s.ID] > 0 { // or it would wait long for a cold one's turn
				s.due = b.turn
			}
		}
		b.reach += s.Weight
	}
}

// lay is our arc of the ready servers. Where we have told our traffic it lays the arcs of all who have: end
// to end by it, but near their places; rounds of proportional fitting find how often each server has turns
// for all to have an even load (docs/spread.md). It goes by what is told alone: all come to the same.
func (b *Balancer) lay(all []*server) []*server {
	b.mild = mildAlone
	for _, s := range b.servers {
		s.turns = 1
	}
	n, ring := float64(len(all)), slices.Concat(all, all)
	arc := func(begin, width float64) []*server {
		at := (int(math.Floor(begin))%max(1, len(all)) + len(all)) % max(1, len(all))
		return ring[at : at+int(math.Ceil(min(n, width)))]
	}
	unfit := func(a balance.Sharer) bool { return !(a.Rate > 0 && b.want(a.Rate) < n) }
	told := slices.DeleteFunc(slices.Clone(b.told), unfit)
	places := func(a, c balance.Sharer) int { return cmp.Compare(placeOf(a.Index), placeOf(c.Index)) }
	slices.SortStableFunc(told, places)
	own := slices.IndexFunc(told, func(a balance.Sharer) bool { return a.Index == b.cfg.Index })
	if own < 0 {
		return arc(n*placeOf(b.cfg.Index), b.wanted)
	}
	b.mild = mildShared // or what chance makes of answers' times has more weight than all of this
	total, sum, off, away, arcs := 0.0, 0.0, 0.0, make([]float64, len(told)), make([][]*server, len(told))
	for _, a := range told {
		total += a.Rate
	}
	for i, a := range told {
		away[i] = n * (sum/total - placeOf(a.Index))
		off += away[i] / float64(len(told))
		sum += a.Rate
	}
	for i, a := range told {
		away[i] -= off + max(-stays, min(away[i]-off, stays))
		width := max(b.want(a.Rate), min(overlap*n*a.Rate/total, widest*b.want(a.Rate)))
		arcs[i] = arc(n*placeOf(a.Index)+away[i], width)
	}
	for range fitRounds {
		for i, a := range told {
			sum = 0
			for _, s := range arcs[i] {
				sum += b.size(a.Zone, s)
			}
			for _, s := range arcs[i] {
				s.bears += a.Rate / total * b.size(a.Zone, s) / sum
			}
		}
		for _, s := range all {
			s.turns, s.bears = max(1/turnsMost, min(s.turns*s.Weight/b.weight/s.bears, turnsMost)), 0
		}
	}
	return arcs[own]
}

// placeOf is where an arc begins by its balancer's number, as a part of the list: evenly spread.
func placeOf(index int) float64 {
	_, place := math.Modf(float64(index) * math.Phi)
	return place
}

// want is how many servers to take turns among. Where balancers are many it is fewer than our traffic
// could feed: by the quotas no more than sharersMost share a server.
func (b *Balancer) want(rate float64) float64 {
	every := b.every
	if b.fleet > sharersMost && b.quota > 0 {
		every = min(every, sharersMost*b.weight/b.quota)
	}
	return max(fewest, rate*every)
}

// gap is the time between a server's turns, in turns' own time. It is bounded, so that turns show recovery.
// Other zones' have turns too, if fewer: a zone may have more traffic than its own servers can bear.
func (b *Balancer) gap(now time.Duration, s *server) float64 {
	return math.Pow(max(b.mild, min(s.strain, failStrain/2)), 1.5) / (b.size(b.cfg.Zone, s) * b.warmth(now, s))
}

// size is what a server's turns go by, for a balancer in a zone.
func (b *Balancer) size(zone int, s *server) float64 {
	if b.cfg.CrossZonePrice > 0 && s.Zone != zone {
		return s.Weight * s.turns * farTurns
	}
	return s.Weight * s.turns
}

// turnOf finds whose turn it is, and whether a server that holds its portion lost it.
func (b *Balancer) turnOf(now time.Duration, r *request, among []*server) (best *server, walled bool) {
	lost := math.Inf(1)
	for _, s := range among {
		switch {
		case r.tried(s) || !b.mayGo(now, r, s):
		case float64(s.out) >= b.portion(s) || b.fuller(now, r, s):
			lost = min(lost, s.due)
		case best == nil || s.due < best.due:
			best = s
		}
	}
	return best, best != nil && lost < best.due
}

// backoff is the pause after n more failures than the first, spread so that balancers do not act as one.
func (b *Balancer) backoff(first time.Duration, n int) time.Duration {
	return time.Duration(float64(min(first<<min(n, 16), lastPause)) * (0.5 + b.rng.Float64()))
}

// judge learns how a server fares: strain stretches the gap between its turns. It guards against any cause,
// slowness, errors, silence, refusals, a limit shared with others. The turns left show when it is well again.
func (b *Balancer) judge(now time.Duration, r *request, a *attempt, end balance.Ending) {
	if !r.over && !r.begun && end != balance.NotSent { // for what is let in: as it ends, or begins to answer
		b.asked.sent++
		b.asked.all++
		if end == balance.Served && now <= r.wanted {
			b.asked.good += min(1, 2*float64(r.wanted-now)/float64(r.class.Aim))
		}
	}
	s, took := a.to, now-a.sent
	lost := end == balance.TimedOut && s.strain < failStrain/2 // a strained one alone is no crowd
	if end == balance.Served || lost {
		x := float64(took) / float64(r.class.Aim)
		s.used += (x*x - s.used) / 8
		b.crowd += (x*x - b.crowd) * min(0.5, max(1.0/16, (now-b.crowdAt).Seconds()/10)) // if rare, each tells more
		b.crowdAt = now
	}
	x := failStrain
	switch end {
	case balance.Cancelled, balance.NotSent:
		return
	case balance.Served:
		x = min(x, float64(took)/float64(r.class.pace))
		r.class.pace += (took - r.class.pace) / 16
		b.pace += (took - b.pace) / 32
		if s.silent > 0 && s.strain > failStrain/2 && now-s.silent > time.Second { // restarted, maybe
			s.warmAt = max(s.warmAt, now+b.cfg.ColdTime)
			b.host.Log(fmt.Sprintf("server %x answers again after %v", s.ID, now-s.silent))
		}
		s.silent = 0
	case balance.TimedOut, balance.NoConnection:
		s.silent = cmp.Or(s.silent, now)
	}
	if before := s.strain; before < failStrain/2 && before+(x-before)/4 >= failStrain/2 {
		b.host.Log(fmt.Sprintf("server %x strained, %d attempts out", s.ID, s.out))
	}
	s.strain += (x - s.strain) / 4
	if end == balance.Served { // halved, not cleared: one that errs may answer one request in four
		s.fails, s.rested = s.fails/2, 0
	} else if s.fails = min(s.fails+1, failsMost); s.fails >= restAfter {
		b.rest(now, s)
	}
}

// rest keeps sends from a server that fails time and again, longer each time. Each balancer learns for
// itself that a server is lost and pays for it with requests, and again with each test; where many share
// a server, their tests alone keep a crowded one from its rest. So the more they are, the longer each waits.
func (b *Balancer) rest(now time.Duration, s *server) {
	sharers := b.fleet * b.reach / max(b.weight, 1e-9)
	s.rested = now + b.backoff(time.Duration(sharers*float64(restEach)), s.fails-restAfter)
}

// UpdateServers takes news of the server list.
func (b *Balancer) UpdateServers(now time.Duration, kind balance.ListKind, entries []balance.Server) {
	switch {
	case kind == balance.ListFailed:
		b.askAt = now + b.backoff(firstPause, b.askFails) // news count 6 s behind a return, refused calls or not
		b.askFails = min(b.askFails+1, 2)
		return
	case b.cfg.AskList && kind != balance.ListCached:
		b.askAt, b.askFails = 0, 0
	case b.cfg.AskList && len(entries) == 0:
		b.ask(now) // nothing is known: no time to spare
	}
	for _, s := range b.servers {
		if kind != balance.ListDelta {
			s.State = balance.Gone // until the list names it
		}
	}
	for _, e := range entries {
		b.enter(now, e, b.startOf(now, kind, e))
	}
	b.heardAt = now
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool { return s.State == balance.Gone })
	if b.first == 0 { // with no quotas, the first list is all there is to go by
		b.first = float64(len(b.servers))
		if b.wall(); b.quota == 0 { // a turn each second for all, but of as many balancers as may share a server
			b.rate = b.first * min(1, sharersMost/b.fleet) / b.every
		}
	}
	b.weigh(now)
	b.feed(now)
}

// startOf is when a server started at the earliest, for its slow start. Our clock may have been stepped
// before this process began, by as much as an hour. So a start that is still to come is taken for one of now.
// So is one that is news, but was long before the list was heard without it.
func (b *Balancer) startOf(now time.Duration, kind balance.ListKind, e balance.Server) time.Duration {
	i, known := b.find(e.ID)
	old := known && e.Started <= b.servers[i].Started
	news := !old && e.Started > 0 && kind == balance.ListDelta && b.heardAt > 0
	if e.Started > now || news && e.Started < b.heardAt-listLag {
		return now
	}
	return e.Started
}

// enter takes over one line of the list.
func (b *Balancer) enter(now time.Duration, e balance.Server, start time.Duration) {
	if !(e.Weight > 1e-9 && e.Weight < 1e9) {
		e.Weight = 1 // no weights, even turns
	}
	i, known := b.find(e.ID)
	if !known {
		b.servers = slices.Insert(b.servers, i, &server{strain: 1})
	}
	s := b.servers[i]
	if e.Started > 0 && e.Started > s.Started { // cold, and nothing known of it holds any more
		*s = server{Server: e, out: s.out, warmAt: max(s.warmAt, start+b.cfg.ColdTime), strain: 1}
	}
	s.Server, s.told, s.away, s.warmAt = e, e.Weight, b.away[e.ID], max(s.warmAt, b.back[e.ID])
	if !s.stands() {
		b.close(now, s)
	}
}

// Disable keeps everything new from a server until Enable, whatever the list says of it meanwhile and
// whether it is listed or not. What runs there finishes. Taken out twice, it is out once.
func (b *Balancer) Disable(now time.Duration, id balance.ServerID) {
	b.away[id] = true
	if s := b.server(id); s != nil && !s.away {
		b.weigh(now)
	}
}

// Enable ends Disable, as of the moment at. Operators restart servers meanwhile, and the list tells that
// late: so the server comes back as a cold one, with its turn next.
func (b *Balancer) Enable(now time.Duration, id balance.ServerID, at time.Duration) {
	if !b.away[id] {
		return
	}
	delete(b.away, id)
	maps.DeleteFunc(b.back, func(_ balance.ServerID, warmAt time.Duration) bool { return now >= warmAt })
	b.back[id] = at + b.cfg.ColdTime
	if s := b.server(id); s != nil {
		*s = server{Server: s.Server, told: s.told, out: s.out, warmAt: max(s.warmAt, b.back[id]), strain: 1}
		b.weigh(now)
		b.feed(now)
	}
}

// ask subscribes to the list. Without any word it asks again before its silence counts as being told.
func (b *Balancer) ask(now time.Duration) {
	b.askAt = now + cmp.Or(b.cfg.AskWithin*3/4, lastPause)
	b.host.WatchList()
}

// sample probes one server a few times in a row: reports that do not change as fast as they are used
// must not steer single sends. All balancers would crowd to where it was empty (i50e019).
func (b *Balancer) sample(now time.Duration) {
	due := b.share == 1 && b.pairs < pairsMost && now >= b.sampleAt && len(b.arc) > 0
	if !due || !b.cfg.MayProbe || b.cfg.Reports&balance.HasInFlight == 0 {
		return
	}
	if b.sampled == nil || !b.sampled.stands() {
		b.sampled = b.arc[b.rng.IntN(len(b.arc))]
	}
	b.sampleAt = now + toldFor
	b.host.Probe(b.sampled.ID)
	b.wake(now, toldFor)
}

// inquire asks the server whose turn it is what it holds, where its last word is old: among many
// balancers, what one has out there itself tells next to nothing.
func (b *Balancer) inquire(now time.Duration, r *request) bool {
	if !b.cfg.MayProbe || b.cfg.Reports&balance.HasInFlight == 0 || b.fresh < pairsMost-1 || r.asked >= askMost {
		return false
	}
	s, _ := b.turnOf(now, r, b.arc)
	if s == nil || (s.toldAt > 0 && now-s.toldAt < toldFor) {
		return false
	}
	r.asks, r.asksUntil = s, now+askWait
	r.asked++
	b.host.Probe(s.ID)
	return true
}

// Probed takes the result of a probe.
func (b *Balancer) Probed(now time.Duration, id balance.ServerID, ok bool, l balance.Load) {
	s := b.server(id)
	told := s != nil && ok && l.Has&balance.HasInFlight != 0
	if s != nil && s == b.sampled && b.pairs < pairsMost && (!told || s.toldAt > 0 && now-s.toldAt >= toldFor) {
		b.pairs++ // one that does not tell is no fresh one
		if told && l != s.load {
			if b.fresh++; b.fresh == pairsMost-1 { // asking finds room best among many
				b.every *= 3
			}
		}
	}
	if told {
		s.toldAt, s.load, s.others = now, l, max(0, l.InFlight-float64(s.out))
	}
	for _, r := range b.open {
		if s != nil && r.asks == s && !r.over {
			r.asks = nil
			b.place(now, r)
		}
	}
}

// fuller says that a server reports to hold its part of all balancers' requests, or that
// it has not reported and the request met only such ones.
func (b *Balancer) fuller(now time.Duration, r *request, s *server) bool {
	if s.toldAt == 0 || now-s.toldAt >= 5*toldFor {
		return r.asked >= askMost
	}
	return s.others+float64(s.out) >= 1+b.part(b.mean, s)
}

// finish is the one place that answers: refused where that is true, failed where it is not.
func (b *Balancer) finish(r *request, why balance.Reason) {
	switch {
	case r.over:
		return
	case r.ran() == nil, r.class.Idempotency == balance.Safe,
		r.class.Idempotency == balance.Keyed && r.class.Scope == balance.ScopeAll:
		b.count.Refused++
		pause := time.Duration((1 + b.rng.Float64()) * float64(b.pace)) // spread: not all at once
		b.host.Refuse(r.id, min(b.cfg.MaxRetryAfter, pause), why)
	default:
		b.count.Failed++
		b.host.Fail(r.id, why)
	}
	b.settle(r)
}

// settle closes a request that needs no more attempts: out of the queue, the one that is out called off.
func (b *Balancer) settle(r *request) {
	r.over = true
	r.home.queue = slices.DeleteFunc(r.home.queue, func(o *request) bool { return o == r })
	if r.out == 0 {
		b.forget(r)
		return
	}
	b.host.Withdraw(r.id, len(r.attempts)-1)
	if b.cfg.MayCancel {
		b.host.Cancel(r.id, len(r.attempts)-1)
	}
}
