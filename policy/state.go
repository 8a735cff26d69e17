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

// server is a listed server with what this balancer knows of it.
type server struct {
	balance.Server
	inFlight       int           // this balancer's attempts at the server that are not client-paced
	inSubset       bool          // part of Balancer.subset
	turnMultiple   float64       // factor on its turns that evens out the fleet's load
	fittedShare    float64       // used by computeSubset alone: its share of the fleet's traffic
	nextTurn       float64       // smooth weighted round robin: virtual time of its next turn
	latencyRatio   float64       // moving average of latency relative to the typical one; failures count too
	congestion     float64       // moving mean square of the share of the aim that its responses take
	reportedAt     time.Duration // time of its last load report; 0: never
	load           balance.Load  // the last load report
	othersInFlight float64       // other balancers' requests at the server by that report
	failures       int           // recent failed attempts; a response halves the count
	ejectedUntil   time.Duration // it is sent nothing before this time
	silentSince    time.Duration // it has not answered since this time; 0: it is not silent
	warmAt         time.Duration // end of its cold start, as listed or as assumed after silence
	nextColdSend   time.Duration // while cold: earliest time of the next send
	listedWeight   float64       // its weight in the list; Weight includes the rule set's multiple
	excluded       bool          // disabled by an operator or excluded by the rule set
}

// attemptState is the state of an attempt: in flight, or ended with or without proof that it never ran.
type attemptState int

const (
	inFlight attemptState = iota
	mayHaveRun
	neverRan
)

// attempt is one send of a request to a server.
type attempt struct {
	server          *server
	sentAt          time.Duration
	state           attemptState
	clientPaced     bool // limited by the client's speed, see setClientPaced
	holdsPacedPlace bool // it has a client-paced place instead of a slot
}

// request is a request that is not answered yet, or that still has an attempt in flight.
type request struct {
	id               balance.RequestID
	class            *class
	compartment      *compartment
	deadline         time.Duration // when the client gives up
	usefulUntil      time.Duration // a response after this time has no worth
	aimAt            time.Duration // a response before this time earns the full worth
	attempts         []attempt
	attemptsInFlight int
	awaitedReport    *server // the server whose load report it waits for
	reportWaitEnd    time.Duration
	loadQueries      int       // load reports that were requested for it
	keyQueue         *keyQueue // of its key, if the class is ordered
	bodyPending      bool      // its body is still being received
	bodySpent        bool      // part of its body is gone: it can't be sent again
	streaming        bool      // its response is being streamed to the client
	ended            bool      // answered; kept until its attempts have ended too
}

// keyQueue holds the requests of one key, in order of arrival. Only the first may be sent; it is removed once
// it is answered and none of its attempts is in flight.
type keyQueue struct {
	waiting   []*request
	settledAt time.Duration // an attempt may still be running until this time
}

// timeWindow holds the times of recent events, in order.
type timeWindow []time.Duration

// countSince drops the events before t and returns the number of the others.
func (w *timeWindow) countSince(t time.Duration) int {
	n, _ := slices.BinarySearch(*w, t)
	*w = (*w)[n:]
	return len(*w)
}

// compartment holds one tenant's slots and queue, isolated from the other tenants' (a bulkhead).
type compartment struct {
	slots, slotsInUse, queuePlaces int
	pacedInUse                     int // client-paced attempts that hold a client-paced place
	queue                          []*request
}

// admissionStats counts recent events for the admission throttle. All counts decay exponentially.
type admissionStats struct {
	decayedAt time.Duration // time of the last decay
	// offered: attempts that ended, and refused requests as counted by countThrottled;
	// timely: attempts answered in time, less for those that used up most of the aim
	offered, timely float64
	ended           float64 // attempts that ended
}

// decay brings the counts up to date.
func (c *admissionStats) decay(now time.Duration) {
	factor := math.Exp(-float64(now-c.decayedAt) / float64(admitTimeConstant))
	c.decayedAt, c.offered, c.timely, c.ended = now, c.offered*factor, c.timely*factor, c.ended*factor
}

// countThrottled counts a request that the throttle refused, weighted by the share of admitted requests that
// are not answered in time. Clients retry: if each of their retries counted in full, the throttle would stay
// closed long after admitted requests are answered in time again.
func (c *admissionStats) countThrottled() { c.offered += 1 - c.timely/max(1, c.ended) }

// class is a request class with its measured properties.
type class struct {
	balance.Class
	typicalLatency time.Duration // moving average of the latency; it starts with an eighth of the aim
	usualTimeLeft  time.Duration // the time left with which most requests arrive
	timeLeftVotes  int           // majority vote for usualTimeLeft: votes for it less votes against
}

// hasUsualTimeLeft reports whether a request arrives with the time left that most requests have, by majority
// vote; the request takes part in the vote if vote is set. Clients may give each try but the last the same
// part of their total time: such a try is not a retry just because it has less time left than others.
func (c *class) hasUsualTimeLeft(left time.Duration, vote bool) bool {
	near := func() bool { return (left - c.usualTimeLeft).Abs() <= 2*busyWakeInterval }
	if vote && near() {
		c.timeLeftVotes = min(c.timeLeftVotes+1, maxTimeLeftVotes)
	} else if vote {
		if c.timeLeftVotes--; c.timeLeftVotes < 0 {
			c.usualTimeLeft, c.timeLeftVotes = left, maxTimeLeftVotes/4
		}
	}
	return near()
}

// Balancer makes the decisions of one sidecar. See the package comment for how its methods are called.
type Balancer struct {
	settings          balance.Config // the settings given to New
	rules             balance.Rules  // the rule set in force
	cfg               balance.Config // the settings as changed by the rule set
	host              balance.Host
	rng               *rand.Rand
	classes           []class
	compartments      []compartment
	requests          map[balance.RequestID]*request
	openRequests      []*request                         // in order of arrival; Wake removes the ended ones
	servers           []*server                          // the listed servers, by id
	slots             int                                // of all compartments
	firstListSize     float64                            // servers in the first list
	listHeardAt       time.Duration                      // time of the last list event with entries; 0: none yet
	fullListHeard     bool                               // discovery has sent a full list
	quotaConcurrency  float64                            // concurrency of all balancers at traffic of the quotas
	totalQuota        float64                            // requests per second of all tenants together
	readyWeight       float64                            // listed weight of all servers in service
	maxReadyWeight    float64                            // its maximum so far, with excluded servers
	inFlight          int                                // attempts in flight that are not client-paced
	virtualTime       float64                            // virtual time of the latest turn
	subset            []*server                          // servers that this balancer sends to, see updateSubset
	congestion        float64                            // as server.congestion, over all attempts
	congestionAt      time.Duration                      // time of the last update of congestion
	subsetWeight      float64                            // weight of the subset
	rate              float64                            // moving average of requests per second
	rateAt            time.Duration                      // time of the last update of rate
	subsetTarget      float64                            // subset size by the rate at the last updateSubset
	latencyRatioFloor float64                            // lower latency ratios count as this one
	secondsPerTurn    float64                            // time in which each server of the subset has a turn
	typicalLatency    time.Duration                      // typical latency over all classes
	meanAim           float64                            // mean aim of the classes, in seconds
	meanWorth         float64                            // mean worth of the classes
	admission         admissionStats                     // recent results, for the admission throttle
	wakeAt            time.Duration                      // time of the next requested Wake; 0: none requested
	watchAt           time.Duration                      // time of the next call of WatchList; 0: none due
	watchFailures     int                                // failed list calls in succession, counted up to 2
	dispatchFrom      int                                // compartment that dispatchQueued began with last
	keyQueues         map[uint64]*keyQueue               // by Request.Key
	requestTimes      timeWindow                         // arrival times of requests, for the retry budget
	retryTimes        timeWindow                         // send times of retries, for the retry budget
	sampledServer     *server                            // the server whose load reports are compared
	sampleAt          time.Duration                      // time of its next probe
	reportPairs       int                                // pairs of successive load reports compared
	freshPairs        int                                // pairs whose reports differed
	fleetSize         float64                            // counted number of balancers, see SetFleet
	fleetUpdatedAt    time.Duration                      // time of the last SetFleet
	sharers           []balance.Sharer                   // announced traffic of the fleet
	processes         int                                // processes that act as this balancer
	disabled          map[balance.ServerID]bool          // disabled by operators, listed or not
	enabledWarmAt     map[balance.ServerID]time.Duration // recently enabled servers: end of their cold start
	closeIdleAt       time.Duration                      // next closing of idle connections; 0: none due
	counters          balance.Counters
}

// Counters returns the counts since New.
func (b *Balancer) Counters() balance.Counters { return b.counters }

// SlotsFree returns the number of free slots in a tenant's compartment. It is 0 if more slots are in use than
// the compartment has, as it has shrunk.
func (b *Balancer) SlotsFree(t int) int {
	return max(0, b.compartments[t].slots-b.compartments[t].slotsInUse)
}

// QueueFree returns the number of free queue places in a tenant's compartment, and 0 if it holds too many.
func (b *Balancer) QueueFree(t int) int {
	return max(0, b.compartments[t].queuePlaces-len(b.compartments[t].queue))
}

// firstMayHaveRun returns the first attempt that may have run or may still run, or nil.
func (r *request) firstMayHaveRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.state != neverRan }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// tried reports whether a server has had an attempt of the request.
func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// findServer returns the index of a server in b.servers, or the index at which it would be inserted, and
// whether it is listed.
func (b *Balancer) findServer(id balance.ServerID) (int, bool) {
	byID := func(s *server, id balance.ServerID) int { return cmp.Compare(s.ID, id) }
	return slices.BinarySearchFunc(b.servers, id, byID)
}

// serverByID returns the listed server with that id, or nil.
func (b *Balancer) serverByID(id balance.ServerID) *server {
	if i, ok := b.findServer(id); ok {
		return b.servers[i]
	}
	return nil
}

// recalculateWeights applies the list, the rule set and operator calls to the servers' weights and
// exclusions. The rule set's multiples are normalized to keep the sum of the weights: the same multiple for
// all servers has no effect. Excluded servers still count in maxReadyWeight, so that the others' limits do
// not grow. Attempts that wait for a connection to a server that is no longer in service are withdrawn and
// may go to another one.
func (b *Balancer) recalculateWeights(now time.Duration) {
	listed, weighted := 0.0, 0.0
	b.readyWeight = 0
	for _, s := range b.servers {
		multiple, excluded := b.rules.WeightMultiple(s.Server), b.disabled[s.ID]
		if s.State == balance.Ready && !excluded {
			listed += s.listedWeight
		}
		if excluded = excluded || multiple == 0; excluded && !s.excluded {
			s.inSubset = false // a random first turn on its return, which all balancers learn at one time
			b.closeIdle(now, s)
		}
		if s.excluded, s.Weight = excluded, s.listedWeight; s.inService() {
			s.Weight *= multiple
			weighted += s.Weight
			b.readyWeight += s.listedWeight
		}
	}
	for _, r := range b.openRequests {
		if i := len(r.attempts) - 1; r.attemptsInFlight > 0 && !r.attempts[i].server.inService() {
			b.host.Withdraw(r.id, i)
		}
	}
	b.maxReadyWeight = max(b.maxReadyWeight, listed)
	for _, s := range b.readyServers() {
		s.Weight *= b.readyWeight / weighted
	}
	b.updateSubset()
	// the first send to a cold server is random: all balancers learn of a start at about the same time
	for _, s := range b.readyServers() {
		if s.nextColdSend == 0 && now < s.warmAt {
			s.nextColdSend = now + time.Duration(b.rng.Float64()*float64(b.coldSendInterval(now, s)))
		}
	}
}

// weightShare returns a server's part of a total by its weight, relative to the largest total weight so far.
func (b *Balancer) weightShare(total float64, s *server) float64 {
	return total * s.Weight / max(b.maxReadyWeight, s.Weight)
}

// requestWake ensures that Wake is called after d at the latest.
func (b *Balancer) requestWake(now, d time.Duration) {
	if b.wakeAt == 0 || now+d < b.wakeAt {
		b.wakeAt = now + d
		b.host.Wake(d)
	}
}

// readyServers returns the servers in service, in order of their ids.
func (b *Balancer) readyServers() []*server {
	return slices.DeleteFunc(slices.Clone(b.servers), func(s *server) bool { return !s.inService() })
}

// countInFlight adds change to the attempts in flight of the request, its server, its compartment and the
// Balancer: 1 when an attempt starts, -1 when it ends.
func (b *Balancer) countInFlight(r *request, s *server, change int) {
	r.attemptsInFlight += change
	s.inFlight += change
	r.compartment.slotsInUse += change
	b.inFlight += change
}

// crossesZone reports whether a server is in another zone and crossing has a price.
func (b *Balancer) crossesZone(s *server) bool {
	return b.cfg.CrossZonePrice > 0 && s.Zone != b.cfg.Zone
}

// ServerCounts returns the number of listed servers, and how many of them are sent nothing now: not ready,
// disabled, excluded or ejected.
func (b *Balancer) ServerCounts(now time.Duration) (listed, unavailable int) {
	for _, s := range b.servers {
		if !s.available(now) {
			unavailable++
		}
	}
	return len(b.servers), unavailable
}

// Disabled reports whether a server is disabled by an operator.
func (b *Balancer) Disabled(id balance.ServerID) bool { return b.disabled[id] }

// dropRequest forgets an answered request without attempts in flight. The next request of its key may be
// sent.
func (b *Balancer) dropRequest(r *request) {
	delete(b.requests, r.id)
	if r.keyQueue != nil {
		r.keyQueue.waiting = slices.DeleteFunc(r.keyQueue.waiting, func(o *request) bool { return o == r })
	}
}

// joinKeyQueue appends a request to the queue of its key. It now and then removes the empty queues.
func (b *Balancer) joinKeyQueue(now time.Duration, r *request, key uint64) {
	if len(b.keyQueues) > 64+2*len(b.requests) {
		maps.DeleteFunc(b.keyQueues,
			func(_ uint64, q *keyQueue) bool { return len(q.waiting) == 0 && now >= q.settledAt })
	}
	q := b.keyQueues[key]
	if q == nil {
		q = new(keyQueue)
		b.keyQueues[key] = q
	}
	q.waiting = append(q.waiting, r)
	r.keyQueue = q
}

// ClientGone handles a client that has closed its request: it needs no answer any more.
func (b *Balancer) ClientGone(now time.Duration, id balance.RequestID) {
	if r := b.requests[id]; r != nil && !r.ended {
		b.endRequest(r)
		b.dispatchQueued(now)
	}
}

// Learned returns the measurements that a successor of this Balancer may use, see RestoreLearned.
func (b *Balancer) Learned(now time.Duration) balance.Learned {
	l := balance.Learned{At: now, Rate: b.rate * math.Exp(-float64(now-b.rateAt)/float64(rateTimeConstant))}
	for _, s := range b.servers {
		if s.failures > 0 || s.warmAt > now || s.latencyRatio >= failureLatencyRatio/2 {
			l.Servers = append(l.Servers, balance.LearnedServer{
				ID: s.ID, Failures: s.failures, SilentSince: s.silentSince,
				WarmAt: s.warmAt, LatencyRatio: s.latencyRatio,
			})
		}
	}
	return l
}

// RestoreLearned applies what a predecessor has learned. It is called once, after the first UpdateServers.
// Values that are too old, about a server that has restarted since, or from the future (a clock that was set
// back) are ignored.
func (b *Balancer) RestoreLearned(now time.Duration, l balance.Learned) {
	age := now - l.At
	if age >= 0 && age <= rateTimeConstant && l.Rate > 0 && l.Rate < math.MaxInt32 {
		b.rate, b.rateAt = l.Rate, now
	}
	for _, learned := range l.Servers {
		s := b.serverByID(learned.ID)
		if s == nil || age < 0 || s.Started > l.At {
			continue
		}
		s.warmAt = max(s.warmAt, min(learned.WarmAt, now+b.cfg.ColdTime))
		if age > learnedHealthLifetime {
			continue
		}
		if learned.LatencyRatio > 0 && learned.LatencyRatio <= failureLatencyRatio {
			s.latencyRatio = learned.LatencyRatio
		}
		s.silentSince = min(max(0, learned.SilentSince), now)
		if s.failures = min(max(0, learned.Failures), maxFailures); s.failures >= ejectAfterFailures {
			b.eject(now, s)
		}
	}
	b.recalculateWeights(now)
}
