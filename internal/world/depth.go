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
const final balance.Ending = 100

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
const quarter = 250 * time.Millisecond

// PeakAmplification is the peak, over the calls at the top in as much time.
func (l ChainLoad) PeakAmplification(spec ChainSpec) float64 {
	return float64(l.PeakAttempts) / (spec.Rate * float64(spec.Width) * quarter.Seconds())
}

// chainEvent is something due.
type chainEvent struct {
	at    time.Duration
	order int
	do    func()
}

type chainQueue []chainEvent

func (q chainQueue) Len() int      { return len(q) }
func (q chainQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q chainQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q *chainQueue) Push(e any) { *q = append(*q, e.(chainEvent)) }
func (q *chainQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// chain is one play, in virtual time.
type chain struct {
	spec     ChainSpec
	rng      *rand.Rand
	now      time.Duration
	due      chainQueue
	order    int
	quarters map[time.Duration]int // attempts at the lowest
	load     ChainLoad
}

// chainClient is for whom all is done.
type chainClient struct {
	until  time.Duration
	counts bool // the lowest service failed as it called
}

// chainCall is a request at a sidecar, and who waits for it.
type chainCall struct {
	until    time.Duration // when who made it gives up
	client   chainClient
	attempts int
	over     bool
	answer   func(balance.Ending)
}

// chainSidecar is a Host: it carries out what the sidecar's module decides.
type chainSidecar struct {
	c     *chain
	level int // of the service that it sends to, from 0
	next  []*chainSidecar
	b     Decider
	calls map[balance.RequestID]*chainCall
	last  balance.RequestID
}

// SimulateChain plays a chain. decide makes the module of each sidecar.
func SimulateChain(spec ChainSpec, seed uint64, decide func(balance.Config, uint64, balance.Host) (Decider, error)) (ChainLoad, error) {
	c := &chain{spec: spec, rng: rand.New(rand.NewPCG(seed, 3)), quarters: make(map[time.Duration]int)}
	c.load.Attempts = make([]int, spec.Depth)
	var list []balance.Server
	for i := range spec.Width {
		list = append(list, balance.Server{ID: balance.ServerID(i + 1), State: balance.Ready, Weight: 1})
	}
	var below []*chainSidecar
	for level := spec.Depth - 1; level >= 0; level-- {
		var all []*chainSidecar
		for i := range spec.Width {
			s := &chainSidecar{c: c, level: level, next: below, calls: make(map[balance.RequestID]*chainCall)}
			cfg := spec.Config
			cfg.Balancers, cfg.Index, cfg.Classes = spec.Width, i, []balance.Class{spec.Class}
			var err error
			if s.b, err = decide(cfg, seed+uint64(level*spec.Width+i), s); err != nil {
				return c.load, fmt.Errorf("level %d: %w", level, err)
			}
			s.b.Start(0)
			s.b.UpdateServers(0, balance.ListFull, list)
			all = append(all, s)
		}
		below = all
	}
	for _, s := range below {
		c.client(s)
	}
	end := spec.FailFrom + spec.FailFor + time.Duration(spec.Depth)*spec.Class.Deadline
	for len(c.due) > 0 && c.due[0].at <= end {
		e := heap.Pop(&c.due).(chainEvent)
		c.now = e.at
		e.do()
	}
	for _, n := range c.quarters {
		c.load.PeakAttempts = max(c.load.PeakAttempts, n)
	}
	return c.load, nil
}

// after has something done later.
func (c *chain) after(d time.Duration, do func()) {
	c.order++
	heap.Push(&c.due, chainEvent{c.now + max(0, d), c.order, do})
}

// client makes calls at the top, at random times.
func (c *chain) client(s *chainSidecar) {
	c.after(time.Duration(c.rng.ExpFloat64()/c.spec.Rate*float64(time.Second)), func() {
		if c.now >= c.spec.FailFrom+c.spec.FailFor {
			return
		}
		who := chainClient{c.now + c.spec.Class.Deadline, c.now >= c.spec.FailFrom}
		if who.counts {
			c.load.Calls++
		}
		s.call(who.until, who, func(e balance.Ending) {
			if who.counts && e == balance.Served {
				c.load.Served++
			}
		})
		c.client(s)
	})
}

// call hands a request to a sidecar.
func (s *chainSidecar) call(until time.Duration, client chainClient, answer func(balance.Ending)) {
	s.last++
	s.calls[s.last] = &chainCall{until: until, client: client, answer: answer}
	s.b.Request(s.c.now, balance.Request{ID: s.last, TimeLeft: until - s.c.now})
}

// arrive is an attempt at a server.
func (s *chainSidecar) arrive(server int, until time.Duration, client chainClient, answer func(balance.Ending)) {
	c, lowest := s.c, s.level == s.c.spec.Depth-1
	if client.counts {
		c.load.Attempts[s.level]++
		if lowest {
			c.quarters[c.now/quarter]++
			if c.now >= client.until {
				c.load.LateAttempts++
			}
		}
	}
	if !lowest {
		c.after(c.spec.Work, func() {
			if !c.spec.PropagateDeadline {
				until = c.now + c.spec.Class.Deadline
			}
			s.next[server].call(until, client, answer)
		})
		return
	}
	fails := c.now >= c.spec.FailFrom && (c.spec.FailingServers == 0 || server < c.spec.FailingServers) && c.rng.Float64() < c.spec.FailureShare
	switch {
	case !fails:
		c.after(c.spec.Work, func() { answer(balance.Served) })
	case c.spec.Cause == CauseError:
		c.after(c.spec.Work, func() { answer(balance.Errored) })
	case c.spec.Cause == CauseTurnedAway:
		answer(balance.TurnedAway)
	}
}

// Send implements balance.Host.
func (s *chainSidecar) Send(id balance.RequestID, to balance.ServerID, timeout, _ time.Duration) {
	c, q := s.c, s.calls[id]
	number, over := q.attempts, false
	q.attempts++
	end := func(e balance.Ending) {
		if over {
			return
		}
		over = true
		settles := (e == balance.Served || e == final) && !q.over
		if settles {
			s.settle(id, e)
		}
		if e == final { // to the module, a server that has answered
			e = balance.Served
		}
		s.b.Outcome(c.now, balance.Outcome{ID: id, Attempt: number, Ending: e, Settled: settles})
	}
	until := q.until
	if timeout > 0 {
		until = min(until, c.now+timeout)
	}
	c.after(until-c.now, func() { end(balance.TimedOut) })
	c.after(c.spec.HopLatency, func() {
		s.arrive(int(to)-1, until, q.client, func(e balance.Ending) { c.after(c.spec.HopLatency, func() { end(e) }) })
	})
}

// settle answers a call, once.
func (s *chainSidecar) settle(id balance.RequestID, e balance.Ending) {
	if q := s.calls[id]; q != nil && !q.over {
		q.over = true
		delete(s.calls, id)
		s.c.after(0, func() { q.answer(e) })
	}
}

// Refuse implements balance.Host.
func (s *chainSidecar) Refuse(id balance.RequestID, _ time.Duration, _ balance.Reason) {
	as := map[Relay]balance.Ending{RelayError: balance.Errored, RelayTurnedAway: balance.TurnedAway, RelayFinal: final}
	s.settle(id, as[s.c.spec.Relay])
}

// Fail implements balance.Host.
func (s *chainSidecar) Fail(id balance.RequestID, _ balance.Reason) { s.settle(id, balance.Errored) }

// Wake implements balance.Host.
func (s *chainSidecar) Wake(d time.Duration) { s.c.after(d, func() { s.b.Wake(s.c.now) }) }

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
