package lab

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"arrowgw/internal/world"
)

const (
	newConnectionsTime     = 400 * time.Millisecond // clients open new connections for at most this long after SIGTERM
	killSlack              = 700 * time.Millisecond // SIGKILL follows SIGTERM after the longest deadline and this
	maxKillDeadline        = 3 * time.Second        // a longer deadline counts as this
	signalInterval         = 50 * time.Millisecond  // between two signals of a series
	persistentClients      = 8                      // clients that use a sidecar's connections through its termination
	maxPersistentPause     = 60 * time.Millisecond  // upper bound of the pause between two of their requests on a connection
	persistentWork         = 3 * time.Millisecond   // work of their requests at a server
	firstPersistentArrival = 1 << 40                // their requests are numbered from here on
)

// The series of signals that a termination sends, as the fault's size selects them.
const (
	seriesTerm      = 1 + iota // SIGTERM
	seriesTermTwice            // SIGTERM twice
	seriesHupTerm              // SIGHUP, then SIGTERM
	seriesTermHup              // SIGTERM, then SIGHUP
	seriesEarlyTerm            // SIGTERM, and again to the process that replaces it, right after its start
)

// lastSeries is the largest size of a termination.
const lastSeries = seriesEarlyTerm

// killDelay returns how long after SIGTERM the platform kills a process, at the earliest.
func (s *Scenario) killDelay() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.classes() {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxKillDeadline) + killSlack
}

// terminate terminates sidecar i's process with a series of signals, and restarts it at the end of the fault.
func (f *faults) terminate(ctx context.Context, a PlannedFault, i int) error {
	if int(a.Size) == seriesEarlyTerm {
		f.terminateProcess(ctx, f.run.processes.running(i), seriesTerm)
		f.run.roster.sidecarRestarted(i)
		if _, err := f.run.processes.start(i); err != nil {
			return err
		}
	}
	f.terminateProcess(ctx, f.run.processes.running(i), int(a.Size))
	if !waitForEnd(ctx, a) {
		return nil
	}
	f.run.roster.sidecarRestarted(i)
	_, err := f.run.processes.start(i)
	return err
}

// replaceWithSignals starts a process next to the current one, which is terminated with a series of signals once the
// new one is ready.
func (f *faults) replaceWithSignals(ctx context.Context, a PlannedFault, i int) error {
	defer f.run.history.recordLinkChange(f.run.clock)
	old := f.run.processes.running(i)
	if _, err := f.run.processes.start(i); err != nil {
		return err
	}
	f.terminateProcess(ctx, old, int(a.Size))
	return nil
}

// terminateProcess terminates one process while clients use its connections, and returns once it has ended. q may be
// nil.
func (f *faults) terminateProcess(ctx context.Context, q *process, series int) {
	if q == nil {
		return
	}
	f.mu.Lock()
	seed := f.rng.Uint64()
	f.mu.Unlock()
	killDelay := f.run.scenario.killDelay()
	clientsCtx, stopClients := context.WithCancel(ctx)
	var clients sync.WaitGroup
	defer clients.Wait()
	defer stopClients()
	for n := range persistentClients {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		clients.Go(func() {
			if n%2 == 0 {
				f.run.clients.sendPersistently(clientsCtx, q.sidecar, rng)
			} else {
				f.run.clients.withholdEnd(clientsCtx, q.sidecar, rng, killDelay)
			}
		})
	}
	sleep(ctx, signalInterval) // let the clients connect
	f.run.processes.terminate(q, series, killDelay)
}

// terminate sends a process a series of signals, and kills it killDelay after SIGTERM if it still runs. The history then
// excuses unanswered requests only if they were sent within killSlack of SIGTERM.
func (p *processes) terminate(q *process, series int, killDelay time.Duration) {
	p.mu.Lock()
	q.endExpected = true
	p.mu.Unlock()
	send := func(signal syscall.Signal) { _ = q.cmd.Process.Signal(signal) } // fails only if it has ended
	if series == seriesHupTerm {
		send(syscall.SIGHUP)
	}
	send(syscall.SIGTERM)
	termAt, kill := p.clock.now(), time.After(killDelay)
	only := p.isOnly(q)
	defer func() { p.recordStop(q, termAt, only) }()
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
	case <-kill:
	}
	from := p.clock.now()
	_ = q.cmd.Process.Kill() // fails only if it has ended
	<-q.ended
	p.history.recordLateKill(sidecarSpan{q.sidecar, from, p.clock.now()}, termAt+killSlack)
}

// isOnly reports whether a process is its sidecar's only one.
func (p *processes) isOnly(q *process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !slices.ContainsFunc(p.all, func(other *process) bool { return other != q && other.sidecar == q.sidecar && !other.hasEnded() })
}

// hasEnded reports whether the process has ended.
func (q *process) hasEnded() bool {
	select {
	case <-q.ended:
		return true
	default:
		return false
	}
}

// recordStop records the end of a process that got SIGTERM at termAt, if it was its sidecar's only one then.
func (p *processes) recordStop(q *process, termAt time.Duration, only bool) {
	if only {
		p.history.addSpan(&p.history.stops, sidecarSpan{q.sidecar, termAt + newConnectionsTime, p.clock.now()})
	}
}

// beginPersistentRequest draws a request to a sidecar, enters it in the history, and returns it as HTTP text.
func (k *clients) beginPersistentRequest(sidecar int, rng *rand.Rand) (t *Try, text []byte) {
	class := rng.IntN(len(k.classes))
	n := firstPersistentArrival + int(k.persistentRequests.Add(1))
	a := world.Arrival{Sidecar: sidecar, Class: class, Tenant: rng.IntN(len(tenants)), Key: rng.Uint64(), Work: persistentWork}
	now := k.clock.now()
	t = k.history.beginTry(n, sidecar, class, now)
	timeout := k.classes[class].Deadline
	k.history.recordSent(t, now, timeout)
	var out byteWriter
	if err := k.newRequest(t, n, a, k.classes[class], behaviour{}, timeout, false).Write(&out); err != nil {
		panic(err) // cannot happen: all parts are well formed
	}
	return t, out
}

// byteWriter is an io.Writer that appends to itself.
type byteWriter []byte

func (w *byteWriter) Write(p []byte) (int, error) { *w = append(*w, p...); return len(p), nil }

// sendPersistently sends requests one after another on a connection, which it reopens whenever it is closed, until ctx
// ends.
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
			_, _ = c.Write(text) // an error shows when the answer is read
			if k.readTryAnswer(c, r, t, fresh) == Broken {
				break
			}
			sleep(ctx, time.Duration(rng.Int64N(int64(maxPersistentPause))))
		}
		c.Close()
	}
}

// withholdEnd connects and sends a request but for its last bytes, which follow at a random time within window.
func (k *clients) withholdEnd(ctx context.Context, sidecar int, rng *rand.Rand, window time.Duration) {
	const end = 2 // bytes
	c, err := net.DialTimeout("tcp", k.net.address(sidecar, clientPort), dialTimeout)
	if err != nil {
		return
	}
	defer c.Close()
	t, text := k.beginPersistentRequest(sidecar, rng)
	split := len(text) - end
	_, _ = c.Write(text[:split]) // an error shows below
	at := time.Now().Add(time.Duration(rng.Int64N(int64(window))))
	r := bufio.NewReader(c)
	_ = c.SetReadDeadline(at) // fails only if it is closed
	if _, err := r.Peek(1); err == nil || outcomeOfError(err) == Broken {
		k.history.endTry(t, k.clock.now(), Unreachable, 0, "", false, false) // closed before the request was complete
		return
	}
	k.history.recordSent(t, k.clock.now(), k.classes[t.Class].Deadline)
	if _, err := c.Write(text[split:]); err != nil {
		k.history.endTry(t, k.clock.now(), Unreachable, 0, "", false, false)
		return
	}
	k.readTryAnswer(c, r, t, true)
}

// readTryAnswer reads a try's answer, records the outcome, and returns it.
func (k *clients) readTryAnswer(c net.Conn, r *bufio.Reader, t *Try, fresh bool) Outcome {
	k.history.mu.Lock()
	deadline := t.Owed
	k.history.mu.Unlock()
	_ = c.SetDeadline(k.clock.timeAt(deadline + k.scenario.Load.extraWait())) // fails only if it is closed
	a := readAnswer(r)
	k.endTryWith(t, a, fresh)
	return a.end
}

// holdIdleConnections keeps a.Size idle connections to a sidecar open while the fault lasts. It reopens those that the
// sidecar closes.
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
					_, _ = io.Copy(io.Discard, c) // returns when either side closes
					stop()
					c.Close()
				}
				sleep(ctx, idleReconnectDelay)
			}
		})
	}
	all.Wait()
	h.addSpan(&h.descriptorsFull, sidecarSpan{i, from, f.run.clock.now()})
}

// idleReconnectDelay is the pause before an idle connection that was closed is reopened.
const idleReconnectDelay = 200 * time.Millisecond
