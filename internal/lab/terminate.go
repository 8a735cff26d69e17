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
	killSlack              = 700 * time.Millisecond // SIGKILL comes so long behind SIGTERM and the longest deadline
	maxKillDeadline        = 3 * time.Second        // a longer deadline counts as this
	signalInterval         = 50 * time.Millisecond  // between two signals of a series
	persistentClients      = 8                      // clients that keep a connection and send on it through a termination
	maxPersistentPause     = 60 * time.Millisecond  // between two of a clinger's requests, at most
	persistentWork         = 3 * time.Millisecond   // of its requests at a server
	firstPersistentArrival = 1 << 40                // arrivals of its requests count from here on
)

// The series of signals that a termination may come with, as a fault's size has them.
const (
	seriesTerm      = 1 + iota // SIGTERM alone
	seriesTermTwice            // and once more
	seriesHupTerm              // behind SIGHUP
	seriesTermHup              // with SIGHUP right behind it
	seriesEarlyTerm            // in the first second of a process that has just been started in its place
)

// lastSeries is the largest size of a termination.
const lastSeries = seriesEarlyTerm

// killDelay is how long behind SIGTERM the platform may kill a process.
func (s *Scenario) killDelay() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.classes() {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxKillDeadline) + killSlack
}

// terminate ends a sidecar's process by a series of signals, and kills it at the page's earliest. Clients use their
// connections until then.
func (f *faults) terminate(ctx context.Context, a PlannedFault, i int) error {
	if int(a.Size) == seriesEarlyTerm {
		f.terminateProcess(ctx, f.run.processes.running(i), seriesTerm)
		f.run.roster.restarted(i)
		if _, err := f.run.processes.start(i); err != nil {
			return err
		}
	}
	f.terminateProcess(ctx, f.run.processes.running(i), int(a.Size))
	if !waitForEnd(ctx, a) {
		return nil
	}
	f.run.roster.restarted(i)
	_, err := f.run.processes.start(i)
	return err
}

// replaceWithSignals starts a process beside the old one, which is terminated once the new one is ready.
func (f *faults) replaceWithSignals(ctx context.Context, a PlannedFault, i int) error {
	defer f.run.history.changed(f.run.clock)
	old := f.run.processes.running(i)
	if _, err := f.run.processes.start(i); err != nil {
		return err
	}
	f.terminateProcess(ctx, old, int(a.Size))
	return nil
}

// terminateProcess sends one process its signals, and returns once it has ended.
func (f *faults) terminateProcess(ctx context.Context, q *process, series int) {
	if q == nil {
		return
	}
	f.mu.Lock()
	seed := f.rng.Uint64()
	f.mu.Unlock()
	after := f.run.scenario.killDelay()
	clung, release := context.WithCancel(ctx)
	var clients sync.WaitGroup
	defer clients.Wait()
	defer release()
	for n := range persistentClients {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		clients.Go(func() {
			if n%2 == 0 {
				f.run.clients.sendPersistently(clung, q.sidecar, rng)
			} else {
				f.run.clients.withholdEnd(clung, q.sidecar, rng, after)
			}
		})
	}
	sleep(ctx, signalInterval) // they have connected
	f.run.processes.terminate(q, series, after)
}

// terminate sends a process SIGTERM, with others by the series, and kills it so long behind that. What it had taken and not
// answered when it is killed is the kill's only where it came within killSlack of the signal.
func (p *processes) terminate(q *process, series int, after time.Duration) {
	p.mu.Lock()
	q.endExpected = true
	p.mu.Unlock()
	send := func(signal syscall.Signal) { _ = q.cmd.Process.Signal(signal) } // it may have ended by itself
	if series == seriesHupTerm {
		send(syscall.SIGHUP)
	}
	send(syscall.SIGTERM)
	told, due := p.clock.now(), time.After(after)
	switch series {
	case seriesTermHup:
		send(syscall.SIGHUP)
	case seriesTermTwice:
		time.Sleep(signalInterval)
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
	p.history.killedLate(span{q.sidecar, from, p.clock.now()}, told+killSlack)
}

// beginPersistentRequest begins a request of a client that keeps its connection.
func (k *clients) beginPersistentRequest(sidecar int, rng *rand.Rand) (t *Try, text []byte) {
	class := rng.IntN(len(k.classes))
	n := firstPersistentArrival + int(k.persistentRequests.Add(1))
	a := world.Arrival{Sidecar: sidecar, Class: class, Tenant: rng.IntN(len(tenants)), Key: rng.Uint64(), Work: persistentWork}
	now := k.clock.now()
	t = k.history.begin(n, sidecar, class, now)
	patience := k.classes[class].Deadline
	k.history.sent(t, now, patience)
	var out byteWriter
	if err := k.newRequest(t, n, a, k.classes[class], behaviour{}, patience, false).Write(&out); err != nil {
		panic(err) // of parts that are all well formed
	}
	return t, out
}

// byteWriter collects what is written.
type byteWriter []byte

func (w *byteWriter) Write(p []byte) (int, error) { *w = append(*w, p...); return len(p), nil }

// sendPersistently sends requests one behind the other on connections that it keeps for as long as they stay open, until ctx ends.
func (k *clients) sendPersistently(ctx context.Context, sidecar int, rng *rand.Rand) {
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", k.net.address(sidecar, clientPort), dialTimeout)
		if err != nil {
			sleep(ctx, maxPersistentPause)
			continue
		}
		r := bufio.NewReader(c)
		for fresh := true; ctx.Err() == nil; fresh = false {
			t, text := k.beginPersistentRequest(sidecar, rng)
			_, _ = c.Write(text) // that it is closed shows as the answer is read
			if k.readTryAnswer(c, r, t, fresh) == Broken {
				break
			}
			sleep(ctx, time.Duration(rng.Int64N(int64(maxPersistentPause))))
		}
		c.Close()
	}
}

// withholdEnd connects, sends all but the end of a request, and the end at some moment within a time.
func (k *clients) withholdEnd(ctx context.Context, sidecar int, rng *rand.Rand, within time.Duration) {
	const end = 2 // bytes
	c, err := net.DialTimeout("tcp", k.net.address(sidecar, clientPort), dialTimeout)
	if err != nil {
		return
	}
	defer c.Close()
	t, text := k.beginPersistentRequest(sidecar, rng)
	body := len(text) - end
	_, _ = c.Write(text[:body]) // that it is closed shows below
	at := time.Now().Add(time.Duration(rng.Int64N(int64(within))))
	r := bufio.NewReader(c)
	_ = c.SetReadDeadline(at) // fails only on a closed one
	if _, err := r.Peek(1); err == nil || outcomeOfError(err) == Broken {
		k.history.end(t, k.clock.now(), Unreachable, 0, "", false, false) // it ended before the request was whole
		return
	}
	k.history.sent(t, k.clock.now(), k.classes[t.Class].Deadline)
	if _, err := c.Write(text[body:]); err != nil {
		k.history.end(t, k.clock.now(), Unreachable, 0, "", false, false)
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
	k.history.end(t, k.clock.now(), end, status, answer, partial, fresh)
	return end
}

// holdIdleConnections holds so many idle connections to a sidecar while a fault lasts, and opens others for those that it closes.
func (f *faults) holdIdleConnections(ctx context.Context, a PlannedFault, i int) {
	ctx, cancel := context.WithTimeout(ctx, a.For.Std())
	defer cancel()
	h, from := f.run.history, f.run.clock.now()
	var all sync.WaitGroup
	for range int(a.Size) {
		all.Go(func() {
			for ctx.Err() == nil {
				c, err := net.DialTimeout("tcp", f.run.net.address(i, clientPort), dialTimeout)
				if err == nil {
					stop := context.AfterFunc(ctx, func() { c.Close() })
					_, _ = io.Copy(io.Discard, c) // until either side ends it
					stop()
					c.Close()
				}
				sleep(ctx, idleReconnectDelay)
			}
		})
	}
	all.Wait()
	h.life(&h.crowded, span{i, from, f.run.clock.now()})
}

// idleReconnectDelay is the pause before an idle client that was closed on comes again.
const idleReconnectDelay = 200 * time.Millisecond
