package policy

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"arrowgw/internal/balance"
)

type server struct {
	balance.Server
	out    int           // this balancer's attempts there
	ours   bool          // in our arc
	turns  float64       // multiple of its usual turns, for the fleet's load to be even
	bears  float64       // used by lay alone: the part of the fleet's traffic that it has by these
	due    float64       // smooth weighted round robin: when its next turn is, in turns' own time
	strain float64       // time that its answers take, against the usual; failures count too
	used   float64       // mean square of the share of the aim that its answers take, lately
	toldAt time.Duration // it last reported its load; 0: never
	load   balance.Load  // what it told then
	others float64       // and then held this many requests that are not ours
	fails  int           // attempts that failed lately; an answer halves them
	rested time.Duration // it gets nothing before this
	silent time.Duration // it has not answered since; 0: it has
	warmAt time.Duration // cold until then, by the list or by our own guess
	coldAt time.Duration // while cold: nothing more before this
	told   float64       // its weight by the list; Weight is by the rule set too
	away   bool          // taken out by hand, or excluded by the rule set
}

type attemptState int

const (
	inFlight attemptState = iota
	mayHaveRun
	neverRan
)

type attempt struct {
	to     *server
	sent   time.Duration
	state  attemptState
	paced  bool // it goes at its client's pace
	beside bool // and has a place beside the slots for that
}

type request struct {
	id        balance.RequestID
	class     *class
	home      *compartment
	deadline  time.Duration // the client's
	useful    time.Duration // an answer after this earns nothing
	wanted    time.Duration // and one before this earns most
	attempts  []attempt
	out       int
	asks      *server // it waits for this one to report its load
	asksUntil time.Duration
	asked     int   // so many times
	line      *line // its key's, where it must go in turn
	coming    bool  // its body still comes
	spent     bool  // and can't be sent again
	begun     bool  // its answer streams: it is the client's now
	over      bool  // ended; kept until its attempts have ended too
}

// line is the requests of one key that go in turn: in order of arrival, each until it has ended
// and none of its attempts is out.
type line struct {
	waiting []*request
	restEnd time.Duration // an attempt may still be running until then
}

// window counts what happened lately.
type window []time.Duration

// since drops what happened before t and counts the rest.
func (w *window) since(t time.Duration) int {
	n, _ := slices.BinarySearch(*w, t)
	*w = (*w)[n:]
	return len(*w)
}

// compartment holds one tenant's slots and queue, walled off from the others'.
type compartment struct {
	slots, used, places int
	beside              int // attempts at their client's pace that have a place beside the slots
	queue               []*request
}

// recent counts requests that tried for a slot, those answered in time, and attempts; all fade.
type recent struct {
	at        time.Duration
	all, good float64
	sent      float64
}

func (c *recent) fade(now time.Duration) {
	by := math.Exp(-float64(now-c.at) / float64(admitOver))
	c.at, c.all, c.good, c.sent = now, c.all*by, c.good*by, c.sent*by
}

// turnedBack counts a request that the throttle refused, but only as far as those let in fare badly.
// Its client comes back: counted in full each time, such requests keep the throttle shut long after
// what is let in is answered in time again (event2710; a node's restart on a scored day).
func (c *recent) turnedBack() { c.all += 1 - c.good/max(1, c.sent) }

type class struct {
	balance.Class
	pace  time.Duration // usual time of an answer
	left  time.Duration // the time left that most tries come with
	votes int           // for it, less those against
}

// usual says whether a try comes with the time left that most come with, by majority vote. Clients may give
// each try but the last the same part of their time: such a one is no later try for having less than others.
func (c *class) usual(left time.Duration, vote bool) bool {
	near := func() bool { return (left - c.left).Abs() <= 2*busyTick }
	if vote && near() {
		c.votes = min(c.votes+1, leftVotes)
	} else if vote {
		if c.votes--; c.votes < 0 {
			c.left, c.votes = left, leftVotes/4
		}
	}
	return near()
}

// Balancer makes the decisions of one sidecar.
type Balancer struct {
	settings balance.Config // as begun with
	rules    balance.Rules  // the set in force
	cfg      balance.Config // the settings, as the set changes them
	host     balance.Host
	rng      *rand.Rand
	classes  []class
	parts    []compartment
	requests map[balance.RequestID]*request
	open     []*request    // in order of arrival; ended ones are swept out by Wake
	servers  []*server     // in order of their ids
	slots    int           // of all compartments
	first    float64       // servers in the first list
	heardAt  time.Duration // when the list was heard last; 0: never
	mean     float64       // what the slots of all balancers hold while traffic is at the quotas
	quota    float64       // of all tenants together
	weight   float64       // of all ready servers
	full     float64       // the most of it that the list ever had
	out      int
	turn     float64       // due time of the latest turn
	arc      []*server     // whom turns are taken among
	crowd    float64       // mean square of the share of the aim that answers take, lately
	crowdAt  time.Duration // when it was taken
	reach    float64       // the weight in it
	rate     float64       // requests a second, lately
	rateAt   time.Duration // when it was taken
	wanted   float64       // servers that it can feed
	mild     float64       // strain that turns do not go by
	every    float64       // seconds in which each of them gets a turn
	pace     time.Duration // usual time of an answer, over all classes
	aim      float64       // mean aim, in seconds
	worth    float64       // mean worth of the classes
	asked    recent        // requests that tried for a slot
	wakeAt   time.Duration
	askAt    time.Duration // when to ask for the list next; 0: no need
	askFails int
	feedFrom int
	lines    map[uint64]*line                   // by key
	taken    window                             // requests
	more     window                             // attempts after a request's first
	sampled  *server                            // whose reports are compared
	sampleAt time.Duration                      // when it is asked again
	pairs    int                                // pairs of reports compared
	fresh    int                                // and those that differed
	fleet    float64                            // balancers that this one reckons with
	fleetAt  time.Duration                      // when it was told of them
	told     []balance.Sharer                   // traffic, by all who have
	share    int                                // processes that act as this balancer
	away     map[balance.ServerID]bool          // taken out by hand, listed or not
	back     map[balance.ServerID]time.Duration // brought back by hand lately: cold until then
	closeAt  time.Duration                      // when idle connections are closed once more; 0: not due
	count    balance.Counters
}

// Counters returns what was done so far.
func (b *Balancer) Counters() balance.Counters { return b.count }

// SlotsFree returns the free slots in a tenant's compartment: none where it shrank below what it holds.
func (b *Balancer) SlotsFree(t int) int { return max(0, b.parts[t].slots-b.parts[t].used) }

// QueueFree returns the free queue places in a tenant's compartment, likewise.
func (b *Balancer) QueueFree(t int) int { return max(0, b.parts[t].places-len(b.parts[t].queue)) }

// ran returns the first attempt that may have run or still may, or nil.
func (r *request) ran() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.state != neverRan }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// tried says whether a server has had this request already.
func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.to == s })
}

// find returns where in the list a server of that name is, or would be.
func (b *Balancer) find(id balance.ServerID) (int, bool) {
	by := func(s *server, id balance.ServerID) int { return cmp.Compare(s.ID, id) }
	return slices.BinarySearchFunc(b.servers, id, by)
}

// server returns the listed server of that name, or nil.
func (b *Balancer) server(id balance.ServerID) *server {
	if i, ok := b.find(id); ok {
		return b.servers[i]
	}
	return nil
}

// weigh works out the weights of the servers that take part. The set's multiples keep their sum: the same for
// all changes nothing. What is excluded counts into full, as what has left does: others' portions stay. What
// waits for its connection to a server that takes no part any more is withdrawn, and may go elsewhere.
func (b *Balancer) weigh(now time.Duration) {
	listed, set := 0.0, 0.0
	b.weight = 0
	for _, s := range b.servers {
		m, out := b.rules.WeightMultiple(s.Server), b.away[s.ID]
		if s.State == balance.Ready && !out {
			listed += s.told
		}
		if out = out || m == 0; out && !s.away {
			s.ours = false // back, it begins at a random point: all learn of that at about the same time
			b.close(now, s)
		}
		if s.away, s.Weight = out, s.told; s.stands() {
			s.Weight *= m
			set += s.Weight
			b.weight += s.told
		}
	}
	for _, r := range b.open {
		if i := len(r.attempts) - 1; r.out > 0 && !r.attempts[i].to.stands() {
			b.host.Withdraw(r.id, i)
		}
	}
	b.full = max(b.full, listed)
	for _, s := range b.ready() {
		s.Weight *= b.weight / set
	}
	b.cut()
	for _, s := range b.ready() { // all are told of a start at about one time, and begin anew at one: spread
		if s.coldAt == 0 && now < s.warmAt {
			s.coldAt = now + time.Duration(b.rng.Float64()*float64(b.coldGap(now, s)))
		}
	}
}

// part is a server's part of a total by its weight in the fullest list there was.
func (b *Balancer) part(total float64, s *server) float64 {
	return total * s.Weight / max(b.full, s.Weight)
}

// wake sees to it that Wake comes after d at the latest.
func (b *Balancer) wake(now, d time.Duration) {
	if b.wakeAt == 0 || now+d < b.wakeAt {
		b.wakeAt = now + d
		b.host.Wake(d)
	}
}

// ready returns the servers that take part, in order of their ids.
func (b *Balancer) ready() []*server {
	return slices.DeleteFunc(slices.Clone(b.servers), func(s *server) bool { return !s.stands() })
}

// hold counts an attempt that begins (1) or ends (-1) wherever it counts.
func (b *Balancer) hold(r *request, s *server, n int) {
	r.out += n
	s.out += n
	r.home.used += n
	b.out += n
}

// far says that a server is in another zone, where crossing has a price.
func (b *Balancer) far(s *server) bool { return b.cfg.CrossZonePrice > 0 && s.Zone != b.cfg.Zone }

// ServerCounts counts the listed servers, and those of them that nothing is sent to now, by hand or by
// choice.
func (b *Balancer) ServerCounts(now time.Duration) (listed, unavailable int) {
	for _, s := range b.servers {
		if !s.mayServe(now) {
			unavailable++
		}
	}
	return len(b.servers), unavailable
}

// Disabled says whether a server is taken out by hand.
func (b *Balancer) Disabled(id balance.ServerID) bool { return b.away[id] }

// forget drops a request that is over and has no attempt out; the next in its line may go.
func (b *Balancer) forget(r *request) {
	delete(b.requests, r.id)
	if r.line != nil {
		r.line.waiting = slices.DeleteFunc(r.line.waiting, func(o *request) bool { return o == r })
	}
}

// join puts a request at the end of its key's line. Lines that nobody waits in go now and then.
func (b *Balancer) join(now time.Duration, r *request, key uint64) {
	if len(b.lines) > 64+2*len(b.requests) {
		maps.DeleteFunc(b.lines, func(_ uint64, l *line) bool { return len(l.waiting) == 0 && now >= l.restEnd })
	}
	l := b.lines[key]
	if l == nil {
		l = new(line)
		b.lines[key] = l
	}
	l.waiting = append(l.waiting, r)
	r.line = l
}

// ClientGone takes that a client quit: nothing more is owed for the request.
func (b *Balancer) ClientGone(now time.Duration, id balance.RequestID) {
	if r := b.requests[id]; r != nil && !r.over {
		b.settle(r)
		b.feed(now)
	}
}

// Learned tells what was found out so far, for a Balancer that takes this one's place.
func (b *Balancer) Learned(now time.Duration) balance.Learned {
	l := balance.Learned{At: now, Rate: b.rate * math.Exp(-float64(now-b.rateAt)/float64(rateOver))}
	for _, s := range b.servers {
		if s.fails > 0 || s.warmAt > now || s.strain >= failStrain/2 {
			l.Servers = append(l.Servers, balance.LearnedServer{
				ID: s.ID, Failures: s.fails, SilentSince: s.silent, WarmAt: s.warmAt, LatencyRatio: s.strain,
			})
		}
	}
	return l
}

// RestoreLearned takes what another had learned in this one's place, once, behind the first UpdateServers.
// What is too old, or of a server that has started again since, counts for nothing; neither does what a clock
// that was set back makes of it.
func (b *Balancer) RestoreLearned(now time.Duration, l balance.Learned) {
	age := now - l.At
	if age >= 0 && age <= rateOver && l.Rate > 0 && l.Rate < math.MaxInt32 {
		b.rate, b.rateAt = l.Rate, now
	}
	for _, m := range l.Servers {
		s := b.server(m.ID)
		if s == nil || age < 0 || s.Started > l.At {
			continue
		}
		s.warmAt = max(s.warmAt, min(m.WarmAt, now+b.cfg.ColdTime))
		if age > believed {
			continue
		}
		if m.LatencyRatio > 0 && m.LatencyRatio <= failStrain {
			s.strain = m.LatencyRatio
		}
		s.silent = min(max(0, m.SilentSince), now)
		if s.fails = min(max(0, m.Failures), failsMost); s.fails >= restAfter {
			b.rest(now, s)
		}
	}
	b.weigh(now)
}
