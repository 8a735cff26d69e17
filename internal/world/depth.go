package world

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"arrowgw/internal/balance"
)

// Decider is a sidecar's decision module; package policy's Balancer is one.
type Decider interface {
	Start(now time.Duration)
	Request(now time.Duration, q balance.Request)
	Outcome(now time.Duration, o balance.Outcome)
	Wake(now time.Duration)
	UpdateServers(now time.Duration, kind balance.ListKind, servers []balance.Server)
}

// Cause is how attempts fail at the lowest service.
type Cause string

// The causes.
const (
	CauseError      Cause = "errs"  // 500 after its work: it may have run
	CauseTurnedAway Cause = "turns" // turned away at once: it never ran
	CauseHang       Cause = "hangs" // no answer
)

// Relay is what a server answers whose own call was refused by its sidecar. One whose call failed answers with an error.
type Relay string

// The relays.
const (
	RelayError      Relay = "error"  // 500, as of any failure
	RelayTurnedAway Relay = "turned" // turned away: the caller's sidecar may take it to another server
	RelayFinal      Relay = "final"  // an answer that the caller's sidecar passes on and does not repeat
)

// final is the end of an attempt whose server says that its call was refused below, for its caller's sidecar to pass on.
const refusedBelow balance.Ending = 100

// ChainSpec says what calls below one another are like: each server of a service has a sidecar of its own, through which
// it makes one call to the next service for each request that it gets. At the top are clients, who do not try again.
type ChainSpec struct {
	Depth      int     // services below one another
	Width      int     // servers of each, and clients at the top: each with its sidecar
	Rate       float64 // calls a second at each client's sidecar
	Class      balance.Class
	Config     balance.Config // what else the sidecars have; Balancers, Index, Classes are the chain's
	HopLatency time.Duration  // from a sidecar to a server, and back
	Work       time.Duration  // of a server, before it calls on or answers

	Cause             Cause
	FailingServers    int           // servers of the lowest service that fail; 0: all
	FailureShare      float64       // of the attempts at those, by chance
	FailFrom          time.Duration // then it begins to fail, for good
	FailFor           time.Duration // and clients go on for so long
	PropagateDeadline bool          // a server's call below has the time left to its own request, or else its class's deadline
	Relay             Relay
}

// ChainLoad is what came of the calls that were made at the top while the lowest service failed.
type ChainLoad struct {
	Calls        int
	Served       int   // of them
	Attempts     []int // for them, at each service, the highest first
	PeakAttempts int   // the most of them at the lowest within a quarter of a second
	LateAttempts int   // of them, at the lowest, those behind the time of the client at the top
}

// Amplification is the load at the lowest service, over the calls at the top.
func (l ChainLoad) Amplification() float64 {
	return float64(l.Attempts[len(l.Attempts)-1]) / float64(l.Calls)
}

// quarter is the time in which a peak is looked for.
const peakWindow = 250 * time.Millisecond

// PeakAmplification is the peak, over the calls at the top in as much time.
func (l ChainLoad) PeakAmplification(spec ChainSpec) float64 {
	return float64(l.PeakAttempts) / (spec.Rate * float64(spec.Width) * peakWindow.Seconds())
}

// chainEvent is something due.
type chainEvent struct {
	at  time.Duration
	seq int
	run func()
}

type chainQueue []chainEvent

func (q chainQueue) Len() int      { return len(q) }
func (q chainQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q chainQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q *chainQueue) Push(e any) { *q = append(*q, e.(chainEvent)) }
func (q *chainQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// chain is one play, in virtual time.
type chain struct {
	spec           ChainSpec
	rng            *rand.Rand
	now            time.Duration
	events         chainQueue
	lastSeq        int
	windowAttempts map[time.Duration]int // attempts at the lowest
	load           ChainLoad
}

// chainClient is for whom all is done.
type chainClient struct {
	deadline time.Duration
	counted  bool // the lowest service failed as it called
}

// chainCall is a request at a sidecar, and who waits for it.
type chainCall struct {
	deadline time.Duration // when who made it gives up
	client   chainClient
	attempts int
	answered bool
	answer   func(balance.Ending)
}

// chainSidecar is a Host: it carries out what the sidecar's module decides.
type chainSidecar struct {
	chain      *chain
	level      int // of the service that it sends to, from 0
	downstream []*chainSidecar
	decider    Decider
	calls      map[balance.RequestID]*chainCall
	lastID     balance.RequestID
}

// SimulateChain plays a chain. decide makes the module of each sidecar.
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
	end := spec.FailFrom + spec.FailFor + time.Duration(spec.Depth)*spec.Class.Deadline
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

// after has something done later.
func (c *chain) schedule(d time.Duration, do func()) {
	c.lastSeq++
	heap.Push(&c.events, chainEvent{c.now + max(0, d), c.lastSeq, do})
}

// client makes calls at the top, at random times.
func (c *chain) scheduleClientCall(s *chainSidecar) {
	c.schedule(time.Duration(c.rng.ExpFloat64()/c.spec.Rate*float64(time.Second)), func() {
		if c.now >= c.spec.FailFrom+c.spec.FailFor {
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

// call hands a request to a sidecar.
func (s *chainSidecar) request(deadline time.Duration, client chainClient, answer func(balance.Ending)) {
	s.lastID++
	s.calls[s.lastID] = &chainCall{deadline: deadline, client: client, answer: answer}
	s.decider.Request(s.chain.now, balance.Request{ID: s.lastID, TimeLeft: deadline - s.chain.now})
}

// arrive is an attempt at a server.
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
	number, ended := q.attempts, false
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
		if e == refusedBelow { // to the module, a server that has answered
			e = balance.Served
		}
		s.decider.Outcome(c.now, balance.Outcome{ID: id, Attempt: number, Ending: e, Settled: settles})
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

// settle answers a call, once.
func (s *chainSidecar) answerCall(id balance.RequestID, e balance.Ending) {
	if q := s.calls[id]; q != nil && !q.answered {
		q.answered = true
		delete(s.calls, id)
		s.chain.schedule(0, func() { q.answer(e) })
	}
}

// Refuse implements balance.Host.
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

// Cancel implements balance.Host: a server goes on with what it has begun.
func (s *chainSidecar) Cancel(balance.RequestID, int) {}

// Withdraw implements balance.Host: nothing waits for its connection.
func (s *chainSidecar) Withdraw(balance.RequestID, int) {}

// Close implements balance.Host.
func (s *chainSidecar) CloseIdle(balance.ServerID) {}

// Probe implements balance.Host.
func (s *chainSidecar) Probe(balance.ServerID) {}

// WatchList implements balance.Host: the list does not change.
func (s *chainSidecar) WatchList() {}

// Log implements balance.Host.
func (s *chainSidecar) Log(string) {}
