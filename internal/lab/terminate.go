package lab

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"arrowgw/internal/world"
)

const (
	killSlack    = 700 * time.Millisecond // SIGKILL comes so long behind SIGTERM and the longest deadline
	killedFrom   = 3 * time.Second        // a longer deadline counts as this
	signalGap    = 50 * time.Millisecond  // between two signals of a series
	clingers     = 8                      // clients that keep a connection and send on it through a termination
	clingRest    = 60 * time.Millisecond  // between two of a clinger's requests, at most
	clingWork    = 3 * time.Millisecond   // of its requests at a server
	clingArrival = 1 << 40                // arrivals of its requests count from here on
)

// The series of signals that a termination may come with, as a fault's size has them.
const (
	plainTerm    = 1 + iota // SIGTERM alone
	termTwice               // and once more
	hangupBefore            // behind SIGHUP
	hangupBehind            // with SIGHUP right behind it
	earlyTerm               // in the first second of a process that has just been started in its place
)

// lastSeries is the largest size of a termination.
const lastSeries = earlyTerm

// killAfter is how long behind SIGTERM the platform may kill a process.
func (s *Scenario) killAfter() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.classes() {
		longest = max(longest, c.Deadline)
	}
	return min(longest, killedFrom) + killSlack
}

// terminate ends a sidecar's process by a series of signals, and kills it at the page's earliest. Clients use their
// connections until then.
func (f *faults) terminate(ctx context.Context, a PlannedFault, i int) error {
	if int(a.Size) == earlyTerm {
		f.terminateOne(ctx, f.run.processes.running(i), plainTerm)
		f.run.roster.sidecarRestarted(i)
		if _, err := f.run.processes.start(i); err != nil {
			return err
		}
	}
	f.terminateOne(ctx, f.run.processes.running(i), int(a.Size))
	if !mended(ctx, a) {
		return nil
	}
	f.run.roster.sidecarRestarted(i)
	_, err := f.run.processes.start(i)
	return err
}

// replaceBySeries starts a process beside the old one, which is terminated once the new one is ready.
func (f *faults) replaceBySeries(ctx context.Context, a PlannedFault, i int) error {
	defer f.run.history.recordLinkChange(f.run.clock)
	old := f.run.processes.running(i)
	if _, err := f.run.processes.start(i); err != nil {
		return err
	}
	f.terminateOne(ctx, old, int(a.Size))
	return nil
}

// terminateOne sends one process its signals, and returns once it has ended.
func (f *faults) terminateOne(ctx context.Context, q *process, series int) {
	if q == nil {
		return
	}
	f.mu.Lock()
	seed := f.rng.Uint64()
	f.mu.Unlock()
	after := f.run.scenario.killAfter()
	clung, release := context.WithCancel(ctx)
	var clients sync.WaitGroup
	defer clients.Wait()
	defer release()
	for n := range clingers {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		clients.Go(func() {
			if n%2 == 0 {
				f.run.clients.cling(clung, q.sidecar, rng)
			} else {
				f.run.clients.holdBack(clung, q.sidecar, rng, after)
			}
		})
	}
	sleep(ctx, signalGap) // they have connected
	f.run.processes.terminate(q, series, after)
}

// terminate sends a process SIGTERM, with others by the series, and kills it so long behind that. What it had taken and not
// answered when it is killed is the kill's only where it came within killSlack of the signal.
func (p *processes) terminate(q *process, series int, after time.Duration) {
	p.mu.Lock()
	q.endExpected = true
	p.mu.Unlock()
	send := func(signal syscall.Signal) { _ = q.cmd.Process.Signal(signal) } // it may have ended by itself
	if series == hangupBefore {
		send(syscall.SIGHUP)
	}
	send(syscall.SIGTERM)
	told, due := p.clock.now(), time.After(after)
	switch series {
	case hangupBehind:
		send(syscall.SIGHUP)
	case termTwice:
		time.Sleep(signalGap)
		send(syscall.SIGTERM)
	}
	select {
	case <-q.ended:
		return
	case <-due:
	}
	from := p.clock.now()
	_ = q.cmd.Process.Kill() // it may have ended by itself
	<-q.ended
	p.history.recordLateKill(sidecarSpan{q.sidecar, from, p.clock.now()}, told+killSlack)
}

// clung begins a request of a client that keeps its connection.
func (k *clients) clung(sidecar int, rng *rand.Rand) (t *Try, text []byte) {
	class := rng.IntN(len(k.classes))
	n := clingArrival + int(k.clinging.Add(1))
	a := world.Arrival{Sidecar: sidecar, Class: class, Tenant: rng.IntN(len(tenants)), Key: rng.Uint64(), Work: clingWork}
	now := k.clock.now()
	t = k.history.beginTry(n, sidecar, class, now)
	patience := k.classes[class].Deadline
	k.history.recordSent(t, now, patience)
	var out writer
	if err := k.message(t, n, a, k.classes[class], manner{}, patience, false).Write(&out); err != nil {
		panic(err) // of parts that are all well formed
	}
	return t, out
}

// writer collects what is written.
type writer []byte

func (w *writer) Write(p []byte) (int, error) { *w = append(*w, p...); return len(p), nil }

// cling sends requests one behind the other on connections that it keeps for as long as they stay open, until ctx ends.
func (k *clients) cling(ctx context.Context, sidecar int, rng *rand.Rand) {
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", k.net.address(sidecar, clientPort), dialTime)
		if err != nil {
			sleep(ctx, clingRest)
			continue
		}
		r := bufio.NewReader(c)
		for fresh := true; ctx.Err() == nil; fresh = false {
			t, text := k.clung(sidecar, rng)
			_, _ = c.Write(text) // that it is closed shows as the answer is read
			if k.readTryAnswer(c, r, t, fresh) == Broken {
				break
			}
			sleep(ctx, time.Duration(rng.Int64N(int64(clingRest))))
		}
		c.Close()
	}
}

// holdBack connects, sends all but the end of a request, and the end at some moment within a time.
func (k *clients) holdBack(ctx context.Context, sidecar int, rng *rand.Rand, within time.Duration) {
	const end = 2 // bytes
	c, err := net.DialTimeout("tcp", k.net.address(sidecar, clientPort), dialTime)
	if err != nil {
		return
	}
	defer c.Close()
	t, text := k.clung(sidecar, rng)
	body := len(text) - end
	_, _ = c.Write(text[:body]) // that it is closed shows below
	at := time.Now().Add(time.Duration(rng.Int64N(int64(within))))
	r := bufio.NewReader(c)
	_ = c.SetReadDeadline(at) // fails only on a closed one
	if _, err := r.Peek(1); err == nil || endOf(err) == Broken {
		k.history.endTry(t, k.clock.now(), Unreachable, 0, "", false, false) // it ended before the request was whole
		return
	}
	k.history.recordSent(t, k.clock.now(), k.classes[t.Class].Deadline)
	if _, err := c.Write(text[body:]); err != nil {
		k.history.endTry(t, k.clock.now(), Unreachable, 0, "", false, false)
		return
	}
	k.readTryAnswer(c, r, t, true)
}

// readTryAnswer reads a try's answer, and says how it ended.
func (k *clients) readTryAnswer(c net.Conn, r *bufio.Reader, t *Try, fresh bool) Outcome {
	k.history.mu.Lock()
	owed := t.Owed
	k.history.mu.Unlock()
	_ = c.SetDeadline(k.clock.timeAt(owed + k.scenario.Load.extraWait())) // fails only on a closed one
	end, status, answer, partial := readAnswer(r)
	k.history.endTry(t, k.clock.now(), end, status, answer, partial, fresh)
	return end
}

// crowd holds so many idle connections to a sidecar while a fault lasts, and opens others for those that it closes.
func (f *faults) crowd(ctx context.Context, a PlannedFault, i int) {
	ctx, cancel := context.WithTimeout(ctx, a.For.Std())
	defer cancel()
	h, from := f.run.history, f.run.clock.now()
	var all sync.WaitGroup
	for range int(a.Size) {
		all.Go(func() {
			for ctx.Err() == nil {
				c, err := net.DialTimeout("tcp", f.run.net.address(i, clientPort), dialTime)
				if err == nil {
					stop := context.AfterFunc(ctx, func() { c.Close() })
					_, _ = io.Copy(io.Discard, c) // until either side ends it
					stop()
					c.Close()
				}
				sleep(ctx, crowdRest)
			}
		})
	}
	all.Wait()
	h.addSpan(&h.descriptorsFull, sidecarSpan{i, from, f.run.clock.now()})
}

// crowdRest is the pause before an idle client that was closed on comes again.
const crowdRest = 200 * time.Millisecond
