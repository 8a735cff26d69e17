package sidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"time"
)

const (
	lingerTime   = 500 * time.Millisecond // new connections go on coming for so long after a stop is asked for
	leaveTimeout = time.Second            // the end waits no longer for duties to be passed on
	lookEvery    = 5 * time.Millisecond   // how often it is seen whether all connections are closed

	// The platform may kill a process once the longest deadline and 0.7 s have passed behind the signal. Final answers
	// are due well before, as the process may be held up for 0.15 s; only then it ends by itself.
	answerMargin    = 500 * time.Millisecond // behind the longest deadline all answers are due,
	exitMargin      = 640 * time.Millisecond // and the process ends
	lastLook        = 40 * time.Millisecond  // it waits so much longer for what came in the last moment
	maxStopDeadline = 3 * time.Second        // a longer deadline counts as this
)

// Run listens and serves until ctx ends and everything taken by then is answered. On each signal from
// reload it reads the configuration again.
func Run(ctx context.Context, cfg *Config, reload <-chan os.Signal) error {
	var door net.Listener
	var err error
	if cfg.Console != "" {
		if door, err = listen(ctx, cfg.Console, false); err != nil {
			return fmt.Errorf("console: %w", err)
		}
	}
	open := func() (clientListener, error) { return listen(ctx, cfg.Listen, true) }
	return serve(ctx, cfg, open, door, reload)
}

// parts are what a sidecar consists of.
type parts struct {
	cfg       *Config
	upstreams *transport
	loop      *loop
	control   *control
	clients   *clients
	front     *front
}

// newParts makes the parts and wires them. Nothing runs yet.
func newParts(cfg *Config) (*parts, error) {
	c := newClock()
	p := &parts{cfg: cfg, upstreams: newTransport(cfg, c)}
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
	p.upstreams.makeRoom, p.upstreams.hasRoom = p.clients.makeRoomForUpstream, p.clients.hasRoomForUpstream
	p.front = newFront(cfg, c, l, p.clients)
	l.clientCounters, p.clients.countClose = p.front.counters, l.trace.countClose
	l.limitTimeLeft = func(now, left time.Duration) time.Duration { return p.front.stopLimits.Load().bound(now, left) }
	p.front.rulesAllow = p.control.ruleSets.mayServe
	return p, nil
}

// share takes how many processes this sidecar has: its limits are theirs together.
func (p *parts) setProcessCount(n int) {
	limitMemory(p.cfg.MemoryMB, n)
	p.upstreams.setMaxConnections(p.cfg.upstreamConnLimit(n))
	p.clients.setLimits(p.cfg.clientConns(n), p.cfg.allConns(n))
	p.loop.setProcessCount(n)
}

// console is the operators' door to the parts.
func (p *parts) console() *console {
	return &console{
		ready: p.front.isUp, writeRules: p.control.ruleSets.show, setServer: p.loop.setServerDisabled, confirmState: p.control.state.confirmDamage,
		writeMembers: p.control.peers.show, writeDuties: p.control.duties.show, moveDuty: p.control.duties.moveDuty, stat: p.stat,
	}
}

// stat writes all figures.
func (p *parts) stat(w io.Writer) {
	p.front.stat(w)
	p.loop.trace.stat(w)
	guardStat(w, p.loop.guard)
	p.control.stat(w)
	fmt.Fprintln(w, "EOF")
}

// serve makes the parts and has them run until ctx ends and what they have taken is answered. There is a console where
// door is not nil. Clients' listener is opened last: whoever connects from then on is served, however long a disk or an
// address has kept the start waiting.
func serve(ctx context.Context, cfg *Config, open func() (clientListener, error), door net.Listener, reload <-chan os.Signal) error {
	if door != nil {
		defer door.Close()
	}
	p, err := newParts(cfg)
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.Background())
	kept := make(chan struct{})
	defer func() {
		stop()
		waitAtMost(kept, saveTimeout) // what is kept last may wait for a disk; the end does not
	}()
	go p.loop.run(running, cfg.KnownServers)
	if err := p.control.start(running, kept, p.setProcessCount); err != nil {
		return err
	}
	if p.clients.clientListener, err = open(); err != nil {
		return err
	}
	slog.Info("serving", "name", cfg.Name, "listen", p.clients.Addr(), "servers", len(cfg.KnownServers.servers))
	p.loop.guard.Start()
	p.front.ready.Store(true)
	p.control.run(running)
	go p.control.followReloads(running, cfg.path, reload) // also in a stop, for what is held
	if door != nil {
		go p.console().serve(running, door)
		slog.Info("console", "listen", door.Addr())
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

// stop ends the service, and passes on what others of the fleet can take over.
func (p *parts) shutdown(served <-chan error) error {
	replaced := p.loop.handover.countProcessesWithin(countTimeout) > 1
	left := make(chan struct{})
	go func() { // what this process holds for its clients does not wait for that
		defer close(left)
		p.control.peers.startDraining(replaced, p.control.duties)
	}()
	defer func() {
		waitAtMost(left, leaveTimeout) // the others find out by themselves
		p.control.peers.leave()
	}()
	return p.front.drain(served, p.cfg.Longest, replaced)
}

// waitAtMost waits until a channel is closed, but no longer than a limit.
func waitAtMost(closed <-chan struct{}, limit time.Duration) {
	select {
	case <-closed:
	case <-time.After(limit):
	}
}

// stop is what a request has to know of a stop under way: from late on requests are bounded, by the moment at which all
// answers are due.
type stopLimits struct{ lateFrom, answersDue time.Duration }

// left bounds the time of a request that arrives late: no answer could reach its client behind the end. One that has come
// before has its deadline before the end anyway.
func (s *stopLimits) bound(arrived, left time.Duration) time.Duration {
	if s == nil || arrived < s.lateFrom {
		return left
	}
	return max(0, min(left, s.answersDue-arrived))
}

// drain ends the service without losing a request. Clients still connect for a while, and send on what they have: so
// the listener stays open at first, and every connection closes with its next answer, or at once if it is idle (a
// request that crosses this is not read, and sent again on a new one). Where a second process has taken over, new ones
// go there, and idle connections linger too.
//
// http.Server's Shutdown is of no use here: behind it a request on a connection that had none yet is read and
// dropped, and it takes connections for idle that hold a request.
func (f *front) drain(served <-chan error, longest time.Duration, replaced bool) error {
	began, now := time.Now(), f.clock.now()
	end := began.Add(longest + exitMargin)
	due := min(longest, maxStopDeadline) + answerMargin
	f.stopLimits.Store(&stopLimits{lateFrom: now + answerMargin, answersDue: now + due})
	slog.Info("stopping", "held", f.openRequests.Load(), "replaced", replaced)
	f.ready.Store(false)
	leave := func() { // nobody else can accept what waits here: only from then on no answer could reach its client
		if err := f.clients.stopListening(began.Add(due)); err != nil {
			slog.Error("connections may be lost", "error", err)
		}
	}
	if replaced {
		leave()
	} else {
		f.clients.startClosing()
	}
	time.Sleep(min(lingerTime, time.Until(end)))
	if replaced {
		f.clients.startClosing()
	} else {
		leave()
	}
	select {
	case <-served: // what had come is accepted
	case <-time.After(time.Until(end)):
	}
	f.clients.waitClosed(end)
	f.clients.endIdle(true)
	f.clients.waitClosed(end.Add(lastLook))
	for f.streams.now.Load() > 0 { // an answer that its server goes on with is owed whole; one that stands still ends by itself
		time.Sleep(lookEvery)
	}
	f.loop.guard.Stop()
	slog.Info("stopped", "held", f.openRequests.Load())
	return nil
}
