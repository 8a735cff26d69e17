package world

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"arrowgw/internal/balance"
)

// Decider is a sidecar's decision module. policy.Balancer implements it.
type Decider interface {
	Start(now time.Duration)
	Request(now time.Duration, q balance.Request)
	Outcome(now time.Duration, o balance.Outcome)
	Wake(now time.Duration)
	UpdateServers(now time.Duration, kind balance.ListKind, servers []balance.Server)
}

// Cause is the way in which attempts fail at the lowest service.
type Cause string

// The causes.
const (
	CauseError      Cause = "errs"  // status 500 after the work: the request may have been executed
	CauseTurnedAway Cause = "turns" // turned away at once: the request has not been executed
	CauseHang       Cause = "hangs" // no answer
)

// Relay is how a server answers when its sidecar has refused the server's own call to the next service. A server whose
// call failed always answers with an error.
type Relay string

// The relays.
const (
	RelayError      Relay = "error"  // status 500, as for any failure
	RelayTurnedAway Relay = "turned" // turned away: the caller's sidecar may retry at another server
	RelayFinal      Relay = "final"  // an answer that the caller's sidecar passes on without a retry
)

// refusedBelow is the ending of an attempt with a RelayFinal answer. It is outside the range of package balance; the
// decision module sees such an attempt as balance.Served.
const refusedBelow balance.Ending = 100

// ChainSpec holds the parameters of a chain of services. Each server of a service has a sidecar of its own, through
// which it makes one call to the next service for each request that it receives. The clients at the top do not retry.
type ChainSpec struct {
	Depth      int            // number of services in the chain
	Width      int            // number of servers of each service, and of clients; each has its own sidecar
	Rate       float64        // calls per second of each client
	Class      balance.Class  // class of all calls
	Config     balance.Config // settings of the sidecars; Balancers, Index and Classes are set by the simulation
	HopLatency time.Duration  // one-way latency between a sidecar and a server
	Work       time.Duration  // processing time of a server before it calls the next service or answers

	Cause             Cause
	FailingServers    int           // number of servers of the lowest service that fail; 0: all
	FailureShare      float64       // probability that an attempt at a failing server fails
	FailFrom          time.Duration // when the failures begin; they do not end
	MeasureFor        time.Duration // how long after FailFrom clients make calls; these calls are counted
	PropagateDeadline bool          // a server's call has the time left of its own request instead of the class's deadline
	Relay             Relay
}

// ChainLoad counts the calls that clients make while the lowest service fails, and the attempts that they cause.
type ChainLoad struct {
	Calls        int   // calls by clients
	Served       int   // calls that were answered successfully
	Attempts     []int // attempts at each service, starting at the top
	PeakAttempts int   // maximum number of attempts at the lowest service within a peakWindow
	LateAttempts int   // attempts at the lowest service after the client's deadline
}

// Amplification returns the number of attempts at the lowest service per call by a client.
func (l ChainLoad) Amplification() float64 {
	return float64(l.Attempts[len(l.Attempts)-1]) / float64(l.Calls)
}

// peakWindow is the length of the windows over which the peak load is counted.
const peakWindow = 250 * time.Millisecond

// PeakAmplification returns the peak number of attempts at the lowest service, relative to the mean number of calls by
// clients in a window of the same length.
func (l ChainLoad) PeakAmplification(spec ChainSpec) float64 {
	return float64(l.PeakAttempts) / (spec.Rate * float64(spec.Width) * peakWindow.Seconds())
}

// chainEvent is a scheduled action of the simulation.
type chainEvent struct {
	at  time.Duration
	seq int // orders events with the same time by when they were scheduled
	run func()
}

// eventQueue implements heap.Interface. It orders events by time and sequence number.
type eventQueue []chainEvent

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q *eventQueue) Push(e any) { *q = append(*q, e.(chainEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// chain is the state of one simulation in virtual time.
type chain struct {
	spec           ChainSpec
	rng            *rand.Rand
	now            time.Duration
	events         eventQueue
	lastSeq        int
	windowAttempts map[time.Duration]int // attempts at the lowest service, by window number
	load           ChainLoad
}

// chainClient is the call by a client at the top that attempts are made for.
type chainClient struct {
	deadline time.Duration
	counted  bool // the call was made after FailFrom and counts in ChainLoad
}

// chainCall is a request at a sidecar and the callback that answers its caller.
type chainCall struct {
	deadline time.Duration // when the caller gives up
	client   chainClient
	attempts int
	answered bool
	answer   func(balance.Ending)
}

// chainSidecar implements balance.Host for the decision module of one sidecar.
type chainSidecar struct {
	chain      *chain
	level      int // index of the service that the sidecar sends to; 0 is the top
	downstream []*chainSidecar
	decider    Decider
	calls      map[balance.RequestID]*chainCall
	lastID     balance.RequestID
}

// SimulateChain runs a chain in virtual time until all calls are past their deadlines, and returns the load that they
// caused. newDecider creates the decision module of each sidecar. The same arguments give the same result.
func SimulateChain(spec ChainSpec, seed uint64, newDecider func(balance.Config, uint64, balance.Host) (Decider, error)) (ChainLoad, error) {
	c := &chain{spec: spec, rng: rand.New(rand.NewPCG(seed, 3)), windowAttempts: make(map[time.Duration]int)}
	c.load.Attempts = make([]int, spec.Depth)
	var list []balance.Server
	for i := range spec.Width {
		list = append(list, balance.Server{ID: balance.ServerID(i + 1), State: balance.Ready, Weight: 1})
	}
	var downstream []*chainSidecar
	for level := spec.Depth - 1; level >= 0; level-- {
		var sidecars []*chainSidecar
		for i := range spec.Width {
			s := &chainSidecar{chain: c, level: level, downstream: downstream, calls: make(map[balance.RequestID]*chainCall)}
			cfg := spec.Config
			cfg.Balancers, cfg.Index, cfg.Classes = spec.Width, i, []balance.Class{spec.Class}
			var err error
			if s.decider, err = newDecider(cfg, seed+uint64(level*spec.Width+i), s); err != nil {
				return c.load, fmt.Errorf("level %d: %w", level, err)
			}
			s.decider.Start(0)
			s.decider.UpdateServers(0, balance.ListFull, list)
			sidecars = append(sidecars, s)
		}
		downstream = sidecars
	}
	for _, s := range downstream {
		c.scheduleClientCall(s)
	}
	end := spec.FailFrom + spec.MeasureFor + time.Duration(spec.Depth)*spec.Class.Deadline
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(chainEvent)
		c.now = e.at
		e.run()
	}
	for _, n := range c.windowAttempts {
		c.load.PeakAttempts = max(c.load.PeakAttempts, n)
	}
	return c.load, nil
}

// schedule runs a function after a delay of virtual time.
func (c *chain) schedule(d time.Duration, do func()) {
	c.lastSeq++
	heap.Push(&c.events, chainEvent{c.now + max(0, d), c.lastSeq, do})
}

// scheduleClientCall schedules a client's next call after an exponentially distributed time. The call in turn schedules
// the one after it, until the measurement ends.
func (c *chain) scheduleClientCall(s *chainSidecar) {
	c.schedule(time.Duration(c.rng.ExpFloat64()/c.spec.Rate*float64(time.Second)), func() {
		if c.now >= c.spec.FailFrom+c.spec.MeasureFor {
			return
		}
		client := chainClient{c.now + c.spec.Class.Deadline, c.now >= c.spec.FailFrom}
		if client.counted {
			c.load.Calls++
		}
		s.request(client.deadline, client, func(e balance.Ending) {
			if client.counted && e == balance.Served {
				c.load.Served++
			}
		})
		c.scheduleClientCall(s)
	})
}

// request hands a call to the sidecar's decision module. answer is called once with the result.
func (s *chainSidecar) request(deadline time.Duration, client chainClient, answer func(balance.Ending)) {
	s.lastID++
	s.calls[s.lastID] = &chainCall{deadline: deadline, client: client, answer: answer}
	s.decider.Request(s.chain.now, balance.Request{ID: s.lastID, TimeLeft: deadline - s.chain.now})
}

// handleAttempt processes an attempt at a server: it counts it, and then calls the next service or, at the lowest
// service, answers or fails.
func (s *chainSidecar) handleAttempt(server int, deadline time.Duration, client chainClient, answer func(balance.Ending)) {
	c, lowest := s.chain, s.level == s.chain.spec.Depth-1
	if client.counted {
		c.load.Attempts[s.level]++
		if lowest {
			c.windowAttempts[c.now/peakWindow]++
			if c.now >= client.deadline {
				c.load.LateAttempts++
			}
		}
	}
	if !lowest {
		c.schedule(c.spec.Work, func() {
			if !c.spec.PropagateDeadline {
				deadline = c.now + c.spec.Class.Deadline
			}
			s.downstream[server].request(deadline, client, answer)
		})
		return
	}
	fails := c.now >= c.spec.FailFrom && (c.spec.FailingServers == 0 || server < c.spec.FailingServers) && c.rng.Float64() < c.spec.FailureShare
	switch {
	case !fails:
		c.schedule(c.spec.Work, func() { answer(balance.Served) })
	case c.spec.Cause == CauseError:
		c.schedule(c.spec.Work, func() { answer(balance.Errored) })
	case c.spec.Cause == CauseTurnedAway:
		answer(balance.TurnedAway)
	}
}

// Send implements balance.Host.
func (s *chainSidecar) Send(id balance.RequestID, to balance.ServerID, timeout, _ time.Duration) {
	c, q := s.chain, s.calls[id]
	attempt, ended := q.attempts, false
	q.attempts++
	end := func(e balance.Ending) {
		if ended {
			return
		}
		ended = true
		settles := (e == balance.Served || e == refusedBelow) && !q.answered
		if settles {
			s.answerCall(id, e)
		}
		if e == refusedBelow { // for the decision module, the server has answered
			e = balance.Served
		}
		s.decider.Outcome(c.now, balance.Outcome{ID: id, Attempt: attempt, Ending: e, Settled: settles})
	}
	deadline := q.deadline
	if timeout > 0 {
		deadline = min(deadline, c.now+timeout)
	}
	c.schedule(deadline-c.now, func() { end(balance.TimedOut) })
	c.schedule(c.spec.HopLatency, func() {
		s.handleAttempt(int(to)-1, deadline, q.client, func(e balance.Ending) { c.schedule(c.spec.HopLatency, func() { end(e) }) })
	})
}

// answerCall answers a call unless it has been answered before.
func (s *chainSidecar) answerCall(id balance.RequestID, e balance.Ending) {
	if q := s.calls[id]; q != nil && !q.answered {
		q.answered = true
		delete(s.calls, id)
		s.chain.schedule(0, func() { q.answer(e) })
	}
}

// Refuse implements balance.Host. The caller is answered as ChainSpec.Relay specifies.
func (s *chainSidecar) Refuse(id balance.RequestID, _ time.Duration, _ balance.Reason) {
	endings := map[Relay]balance.Ending{RelayError: balance.Errored, RelayTurnedAway: balance.TurnedAway, RelayFinal: refusedBelow}
	s.answerCall(id, endings[s.chain.spec.Relay])
}

// Fail implements balance.Host.
func (s *chainSidecar) Fail(id balance.RequestID, _ balance.Reason) {
	s.answerCall(id, balance.Errored)
}

// Wake implements balance.Host.
func (s *chainSidecar) Wake(d time.Duration) {
	s.chain.schedule(d, func() { s.decider.Wake(s.chain.now) })
}

// Cancel implements balance.Host. It does nothing: a server completes the work that it has begun.
func (s *chainSidecar) Cancel(balance.RequestID, int) {}

// Withdraw implements balance.Host. It does nothing: no attempt waits for a connection.
func (s *chainSidecar) Withdraw(balance.RequestID, int) {}

// CloseIdle implements balance.Host. It does nothing: connections are not simulated.
func (s *chainSidecar) CloseIdle(balance.ServerID) {}

// Probe implements balance.Host. It does nothing: probes are not simulated.
func (s *chainSidecar) Probe(balance.ServerID) {}

// WatchList implements balance.Host. It does nothing: the server list does not change.
func (s *chainSidecar) WatchList() {}

// Log implements balance.Host. It discards the line.
func (s *chainSidecar) Log(string) {}
