package sidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"
)

const (
	stopListenDelay   = 500 * time.Millisecond // how long new connections are still accepted after a stop begins
	leaveTimeout      = time.Second            // for duties to be released at the end of the process
	closePollInterval = 5 * time.Millisecond   // how often it is checked whether all connections are closed

	// The platform may kill a process 0.7 s plus the longest deadline after the stop signal. Final answers are due well
	// before that, as the process may stall for up to 0.15 s. The process exits by itself after they are due.
	answerMargin    = 500 * time.Millisecond // from the longest deadline until all answers are due
	exitMargin      = 640 * time.Millisecond // from the longest deadline until the process exits
	finalWait       = 40 * time.Millisecond  // additional wait for requests that arrived last
	maxStopDeadline = 3 * time.Second        // longer deadlines count as this

	// A request that came within 0.7 s of the stop signal may be left unanswered to the kill. The signal may have been sent
	// somewhat before it is handled.
	excusedTime = 650 * time.Millisecond
)

// Run serves clients until ctx ends and then until all requests that have been received are answered. On each signal
// from reload it reads the configuration again.
func Run(ctx context.Context, cfg *Config, reload <-chan os.Signal) error {
	var consoleListener net.Listener
	var err error
	if cfg.Console != "" {
		if consoleListener, err = listen(ctx, cfg.Console, false); err != nil {
			return fmt.Errorf("console: %w", err)
		}
	}
	open := func() (clientListener, error) { return listen(ctx, cfg.Listen, true) }
	return serve(ctx, cfg, open, consoleListener, reload)
}

// components are the parts of a sidecar.
type components struct {
	cfg       *Config
	upstreams *transport
	loop      *loop
	control   *control
	clients   *clients
	front     *front
	memory    *memoryAccount
	processes atomic.Int64 // running processes of this sidecar, as last known; 0: not known yet
}

// newComponents creates the components and connects them. Nothing runs yet.
func newComponents(cfg *Config) (*components, error) {
	c := newClock()
	p := &components{cfg: cfg, upstreams: newTransport(cfg, c), memory: new(memoryAccount)}
	var err error
	if p.loop, err = newLoop(cfg, c, p.upstreams); err != nil {
		return nil, err
	}
	if p.control, err = newControl(cfg, c, p.loop); err != nil {
		return nil, err
	}
	l, discovery := p.loop, p.control.discovery
	l.subscribe, l.discoveryCounters, l.handover = discovery.subscribe, discovery.counters, p.control.state
	p.clients = newClients(cfg, nil, p.upstreams.connectionCount)
	p.upstreams.answerEnd = func(arrived time.Duration) time.Duration { return p.front.stopLimits.Load().answerEnd(arrived) }
	p.upstreams.makeRoom, p.upstreams.hasRoom = p.clients.makeRoomForUpstream, p.clients.hasRoomForUpstream
	p.front = newFront(cfg, c, l, p.clients)
	p.front.memory, l.memory, p.clients.memory, p.upstreams.memory = p.memory, p.memory, p.memory, p.memory
	l.clientCounters, p.clients.countClose = p.front.counters, l.trace.countClose
	l.adaptMemory = func() { p.memory.setLimits(cfg.MemoryMB, int(p.processes.Load())) }
	l.limitTimeLeft = func(now, left time.Duration) time.Duration { return p.front.stopLimits.Load().bound(now, left) }
	p.front.rulesAllow = p.control.ruleSets.mayServe
	return p, nil
}

// setProcessCount divides the sidecar's limits among n processes, and applies this one's part.
func (p *components) setProcessCount(n int) {
	p.memory.setLimits(p.cfg.MemoryMB, n)
	if p.cfg.MemoryMB > 0 && n > 1 {
		debug.FreeOSMemory() // return unused memory to the system for the second process
	}
	p.processes.Store(int64(n))
	p.upstreams.setMaxConnections(p.cfg.upstreamConnLimit(n))
	p.clients.setLimits(p.cfg.clientConnLimit(n), p.cfg.totalConnLimit(n))
	p.loop.setProcessCount(n)
}

// console returns the operators' console for these components.
func (p *components) console() *console {
	return &console{
		ready: p.front.isUp, writeRules: p.control.ruleSets.writeRules, setServer: p.loop.setServerDisabled, confirmState: p.control.state.confirmDamage,
		writeMembers: p.control.peers.writeMembers, writeDuties: p.control.duties.writeDuties, moveDuty: p.control.duties.moveDuty, writeStats: p.writeStats,
	}
}

// writeStats writes the figures of all components, as show-stat answers them.
func (p *components) writeStats(w io.Writer) {
	p.front.writeStats(w)
	p.loop.trace.writeStats(w)
	writeGuardStats(w, p.loop.guard)
	p.control.writeStats(w)
	p.memory.writeStats(w)
	fmt.Fprintln(w, "EOF")
}

// serve runs a sidecar until ctx ends and its open requests are answered. The console listens on consoleListener; nil
// means no console. The clients' listener is opened last, so that a client that connects is served at once, even
// if a slow disk or an address in use has delayed the start.
func serve(ctx context.Context, cfg *Config, open func() (clientListener, error), consoleListener net.Listener, reload <-chan os.Signal) error {
	if consoleListener != nil {
		defer consoleListener.Close()
	}
	p, err := newComponents(cfg)
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.Background())
	saved := make(chan struct{})
	defer func() {
		stop()
		waitAtMost(saved, saveTimeout) // the last save may wait for a disk; the exit does not wait longer
	}()
	go p.loop.run(running, cfg.KnownServers)
	if err := p.control.start(running, saved, p.setProcessCount); err != nil {
		return err
	}
	if p.clients.clientListener, err = open(); err != nil {
		return err
	}
	slog.Info("serving", "name", cfg.Name, "listen", p.clients.Addr(), "servers", len(cfg.KnownServers.servers))
	p.loop.guard.Start()
	p.front.ready.Store(true)
	p.control.run(running)
	go p.control.handleReloads(running, cfg.path, reload) // also during a stop, for the open requests
	if consoleListener != nil {
		go p.console().serve(running, consoleListener)
		slog.Info("console", "listen", consoleListener.Addr())
	}
	served := make(chan error, 1)
	go func() { served <- p.front.server().Serve(p.clients) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		return p.shutdown(served)
	}
}

// shutdown ends the service after ctx of serve has ended, and hands this process's duties to other members of the
// fleet.
func (p *components) shutdown(served <-chan error) error {
	replaced := p.loop.handover.countProcessesWithin(countTimeout) > 1
	released := make(chan struct{})
	go func() { // concurrently, so that open requests do not wait for it
		defer close(released)
		p.control.peers.startDraining(replaced, p.control.duties)
	}()
	defer func() {
		waitAtMost(released, leaveTimeout) // after the limit the other members detect the exit by themselves
		p.control.peers.leave()
	}()
	return p.front.drain(served, p.cfg.MaxDeadline, replaced)
}

// waitAtMost waits until a channel is closed, or until limit has passed.
func waitAtMost(closed <-chan struct{}, limit time.Duration) {
	select {
	case <-closed:
	case <-time.After(limit):
	}
}

// stopLimits bounds the time of requests during a stop: those that arrive from lateFrom on must be answered by
// answersDue, and the answers of those that arrive from owedFrom on must end by then. All are times of the process's clock.
type stopLimits struct{ lateFrom, owedFrom, answersDue time.Duration }

// answerEnd returns by when the answer of a request that arrived at arrived has to end, or 0 if the stop does not bound it:
// an answer that has begun goes on until the kill if that excuses it.
func (s *stopLimits) answerEnd(arrived time.Duration) time.Duration {
	if s == nil || arrived < s.owedFrom {
		return 0
	}
	return s.answersDue
}

// bound returns how much of left, the remaining time of a request that arrived at arrived, is usable: a request that
// arrives late in a stop has to be answered by answersDue, as no answer can reach its client after the exit. Earlier
// requests have their deadline before the exit anyway.
func (s *stopLimits) bound(arrived, left time.Duration) time.Duration {
	if s == nil || arrived < s.lateFrom {
		return left
	}
	return max(0, min(left, s.answersDue-arrived))
}

// drain ends the service without losing a request. Clients still connect for a while and use their open connections,
// so the listener stays open for stopListenDelay, and each connection closes with its next answer, or at once if it
// is idle. A request that crosses the close of an idle connection is not read, and the client sends it again on a new
// one. If a second process has taken over (replaced), new connections go there at once, and idle ones are closed
// after the delay. maxDeadline is the longest deadline of any class, and served receives the result of the HTTP
// server's Serve.
//
// http.Server.Shutdown can't be used here: after it, the first request on a connection is read and dropped, and
// connections with a request count as idle.
func (f *front) drain(served <-chan error, maxDeadline time.Duration, replaced bool) error {
	began, now := time.Now(), f.clock.now()
	end := began.Add(maxDeadline + exitMargin)
	due := min(maxDeadline, maxStopDeadline) + answerMargin
	f.stopLimits.Store(&stopLimits{lateFrom: now + answerMargin, owedFrom: now + excusedTime, answersDue: now + due})
	slog.Info("stopping", "held", f.openRequests.Load(), "replaced", replaced)
	f.ready.Store(false)
	stopListening := func() { // retries until answers are due, as no other process can accept the waiting connections
		if err := f.clients.stopListening(began.Add(due)); err != nil {
			slog.Error("connections may be lost", "error", err)
		}
	}
	if replaced {
		stopListening()
	} else {
		f.clients.startClosing()
	}
	time.Sleep(min(stopListenDelay, time.Until(end)))
	if replaced {
		f.clients.startClosing()
	} else {
		stopListening()
	}
	select {
	case <-served: // all waiting connections have been accepted
	case <-time.After(time.Until(end)):
	}
	f.clients.waitClosed(end)
	f.clients.closeIdle(true)
	f.clients.waitClosed(end.Add(finalWait))
	for f.streams.active.Load() > 0 { // streams run to their end; one that stalls is cut off by its own timeouts
		time.Sleep(closePollInterval)
	}
	f.loop.guard.Stop()
	slog.Info("stopped", "held", f.openRequests.Load())
	return nil
}
