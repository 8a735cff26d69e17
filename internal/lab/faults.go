package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"arrowgw/internal/world"
)

// PlayedFault is a fault as it was played, for the report.
type PlayedFault struct {
	At, Until   time.Duration // Until is 0 if the fault lasted until the end of the run
	Description string
}

// reloadInterval is the time between two signals of a fault that reloads a configuration several times.
const reloadInterval = 15 * time.Millisecond

// faults plays a plan of faults. Each fault has a goroutine while it lasts; all of them end with the context.
type faults struct {
	run  *run
	rng  *rand.Rand // draws damage to state files and the clients' behaviour at a termination; guarded by mu
	work sync.WaitGroup

	restartMu []sync.Mutex // by sidecar; held while a fault stops, replaces or restarts the sidecar's process

	mu     sync.Mutex
	played []PlayedFault
	errs   []error
}

// play plays the plan until the context ends, and returns once every fault that began has ended.
func (f *faults) play(ctx context.Context, plan []PlannedFault) {
	defer f.work.Wait()
	for _, a := range plan {
		if !sleep(ctx, a.At.Std()-f.run.clock.now()) {
			return
		}
		if err := f.run.hollow.readAtRest(true); err != nil {
			f.mu.Lock()
			f.errs = append(f.errs, err)
			f.mu.Unlock()
		}
		f.mu.Lock()
		f.played = append(f.played, PlayedFault{At: a.At.Std(), Description: a.describe()})
		index := len(f.played) - 1
		f.mu.Unlock()
		f.work.Go(func() {
			if err := f.apply(ctx, a); err != nil && ctx.Err() == nil {
				f.mu.Lock()
				f.errs = append(f.errs, fmt.Errorf("fault %s: %w", a.describe(), err))
				f.mu.Unlock()
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if a.For > 0 || a.Kind == "upgrade" {
				f.played[index].Until = f.run.clock.now()
			}
		})
	}
}

// describe returns a one-line description of the fault.
func (a PlannedFault) describe() string {
	words := []string{a.Kind}
	if faultKinds[a.Kind].actsOn != "discovery" && faultKinds[a.Kind].actsOn != "load" {
		words = append(words, faultKinds[a.Kind].actsOn+"s", fmt.Sprint(a.Targets))
	}
	if a.Size != 0 {
		words = append(words, fmt.Sprintf("size %g", a.Size))
	}
	if a.State != "kept" {
		words = append(words, "state "+a.State)
	}
	if a.For > 0 {
		words = append(words, "for "+a.For.String())
	}
	return strings.Join(words, " ")
}

// sleep waits for d and reports whether the context is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// apply carries out a fault on all its targets: at once, or one after another if the fault has a pause.
func (f *faults) apply(ctx context.Context, a PlannedFault) error {
	applyToTarget := map[string]func(context.Context, PlannedFault, int) error{
		"sidecar": f.sidecarFault, "server": f.serverFault, "discovery": f.discoveryFault, "link": f.linkFault,
		"load": f.loadFault,
	}[faultKinds[a.Kind].actsOn]
	var all sync.WaitGroup
	errs := make(chan error, len(a.Targets))
	for i, target := range a.Targets {
		if i > 0 && a.Pause > 0 && faultKinds[a.Kind].actsOn != "link" && faultKinds[a.Kind].actsOn != "discovery" && !sleep(ctx, a.Pause.Std()) {
			break
		}
		all.Go(func() { errs <- applyToTarget(ctx, a, target) })
	}
	all.Wait()
	close(errs)
	return joinErrors(errs)
}

// joinErrors drains a closed channel and joins its errors.
func joinErrors(errs <-chan error) error {
	var bad []error
	for err := range errs {
		bad = append(bad, err)
	}
	return errors.Join(bad...)
}

// loadFault carries out a fault of the load. Only "busy" needs anything done; the others are part of the arrivals or of
// the clients' behaviour.
func (f *faults) loadFault(ctx context.Context, a PlannedFault, _ int) error {
	if a.Kind != "busy" {
		return nil
	}
	return runBusyLoops(ctx, f.run.processes.launch, int(a.Size), a.For.Std())
}

// waitForEnd waits until a fault's time is over. It returns false if the fault lasts until the end of the run or the
// context ends first.
func waitForEnd(ctx context.Context, a PlannedFault) bool {
	return a.For > 0 && sleep(ctx, a.For.Std())
}

// sidecarFault carries out a fault of sidecar i, real or hollow, and undoes it at its end.
func (f *faults) sidecarFault(ctx context.Context, a PlannedFault, i int) error {
	p := f.run.processes
	h := f.run.hollow
	if a.Kind == "push" {
		return h.pushRules(ctx, i, int(a.Size))
	}
	if h.workerOf(i) != nil {
		endedAt := time.Now()
		err := h.endSidecar(i, a.Kind == "stop")
		if err == nil && a.For == 0 {
			err = h.measureLoss(ctx, i, endedAt)
		}
		if err == nil && waitForEnd(ctx, a) {
			err = h.restartSidecar(i)
		}
		return err
	}
	restart := func() error {
		f.run.roster.sidecarRestarted(i)
		_, err := p.start(i)
		return err
	}
	if slices.Contains([]string{"kill", "stop", "upgrade", "term", "swap"}, a.Kind) {
		f.restartMu[i].Lock()
		defer f.restartMu[i].Unlock()
	}
	switch a.Kind {
	case "kill":
		p.kill(i)
		if !waitForEnd(ctx, a) {
			return nil
		}
		f.mu.Lock()
		err := p.damageState(i, a.State, f.rng)
		f.mu.Unlock()
		return errors.Join(err, restart())
	case "stop":
		if q := p.running(i); q != nil {
			p.stop(q)
		}
		if waitForEnd(ctx, a) {
			return restart()
		}
	case "pause":
		q := p.running(i)
		p.setPaused(q, true)
		waitForEnd(ctx, a)
		p.setPaused(q, false)
	case "starve":
		if a.For > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, a.For.Std())
			defer cancel()
		}
		p.starve(ctx, i, a.Size)
	case "upgrade":
		defer f.run.history.recordLinkChange(f.run.clock) // the member's process is replaced
		return p.upgrade(i)
	case "term":
		return f.terminate(ctx, a, i)
	case "swap":
		return f.replaceWithSignals(ctx, a, i)
	case "crowd":
		f.holdIdleConnections(ctx, a, i)
	case "full":
		return p.setFileSizeLimit(i, uint64(a.Size))
	case "calls", "deaf", "forward", "back", "rude":
		f.disturbProcess(ctx, a, i)
	case "hup":
		return f.reloadRepeatedly(ctx, a, i)
	}
	return nil
}

// reloadRepeatedly makes a sidecar reload its configuration a.Size times in a row.
func (f *faults) reloadRepeatedly(ctx context.Context, a PlannedFault, i int) error {
	for range int(a.Size) {
		if err := f.run.processes.reload(i); err != nil {
			return err
		}
		if !sleep(ctx, reloadInterval) {
			break
		}
	}
	return nil
}

// serverFault carries out a fault of server i and undoes it at its end. Discovery hears of changes after its delays.
func (f *faults) serverFault(ctx context.Context, a PlannedFault, i int) error {
	s, r, list := f.run.servers, f.run.roster, f.run.scenario.Discovery
	listEntry := func(life world.Lifecycle) world.Entry { return world.Entry{Server: i, Lifecycle: life} }
	readyEntry := func() world.Entry {
		e := listEntry(world.Ready)
		e.StartedAt = f.run.clock.now()
		return e
	}
	switch a.Kind {
	case "crash":
		s.crash(i)
		r.scheduleUpdate(list.UpdateDelay.Std(), listEntry(world.Gone))
		if waitForEnd(ctx, a) {
			r.scheduleUpdate(list.UpdateDelay.Std(), readyEntry())
			return s.start(i)
		}
	case "replace":
		s.crash(i)
		r.scheduleUpdate(list.UpdateDelay.Std(), listEntry(world.Gone))
		sleep(ctx, a.For.Std())
		if ctx.Err() == nil {
			i = a.Replacements[slices.Index(a.Targets, i)]
			r.scheduleUpdate(list.UpdateDelay.Std(), readyEntry())
			return s.start(i)
		}
	case "silence":
		s.silence(i, true)
		r.scheduleUpdate(list.SilenceDelay.Std(), listEntry(world.Gone))
		if waitForEnd(ctx, a) {
			s.silence(i, false)
			r.scheduleUpdate(list.UpdateDelay.Std(), readyEntry())
		}
	case "drain":
		r.scheduleUpdate(list.UpdateDelay.Std(), listEntry(world.Draining))
		if waitForEnd(ctx, a) {
			r.scheduleUpdate(list.UpdateDelay.Std(), listEntry(world.Ready))
		}
	case "slow":
		s.changeModel(i, func(m *world.Server) { m.SetSlowdown(a.Size) })
		if waitForEnd(ctx, a) {
			s.changeModel(i, func(m *world.Server) { m.SetSlowdown(1) })
		}
	case "err":
		s.changeModel(i, func(m *world.Server) { m.SetErrorShare(a.Size) })
		if waitForEnd(ctx, a) {
			s.changeModel(i, func(m *world.Server) { m.SetErrorShare(0) })
		}
	case "refuse":
		s.changeModel(i, func(m *world.Server) { m.SetRejecting(true) })
		if waitForEnd(ctx, a) {
			s.changeModel(i, func(m *world.Server) { m.SetRejecting(false) })
		}
	case "spoil", "hang", "lumps", "slowread", "reset", "close":
		f.misbehave(ctx, a, i)
	case "late":
		s.holdConnections(i, true)
		waitForEnd(ctx, a)
		s.holdConnections(i, false)
	case "out":
		f.callConsoles(ctx, "disable-server", i)
		if waitForEnd(ctx, a) {
			f.callConsoles(ctx, "enable-server", i)
		}
	}
	return nil
}

// disturbProcess makes a sidecar's system calls fail, steps its clock, or sends it malformed requests. It stops with
// the process that it began with, even if another one has taken that process's place.
func (f *faults) disturbProcess(ctx context.Context, a PlannedFault, i int) {
	q := f.run.processes.running(i)
	switch a.Kind {
	case "calls":
		q.setCallFaultShare(a.Size)
		waitForEnd(ctx, a)
		q.setCallFaultShare(0)
	case "deaf":
		q.failAccepts(true)
		waitForEnd(ctx, a)
		q.failAccepts(false)
	case "forward":
		q.stepClock(time.Duration(a.Size * float64(time.Second)))
	case "back":
		q.stepClock(-time.Duration(a.Size * float64(time.Second)))
	case "rude":
		f.sendMalformedRequests(ctx, a, i)
	}
}

// misbehave makes server i answer badly while a fault lasts, or ends its connections once.
func (f *faults) misbehave(ctx context.Context, a PlannedFault, i int) {
	s := f.run.servers
	switch a.Kind {
	case "reset":
		s.setMisbehaviour(i, (*server).reset)
		return
	case "close":
		s.setMisbehaviour(i, (*server).closeAll)
		return
	}
	set := func(share float64) func(u *server) {
		return func(u *server) {
			switch a.Kind {
			case "hang":
				u.hangShare = share
			case "lumps":
				u.lumpShare = share
			case "slowread":
				u.slowReadShare = share
			default:
				u.spoilShare = share
			}
		}
	}
	s.setMisbehaviour(i, set(a.Size))
	waitForEnd(ctx, a)
	s.setMisbehaviour(i, set(0))
}

// sendMalformedRequests sends malformed requests to a sidecar, one after another, while the fault lasts.
func (f *faults) sendMalformedRequests(ctx context.Context, a PlannedFault, sidecar int) {
	ctx, cancel := context.WithTimeout(ctx, a.For.Std())
	defer cancel()
	h, c := f.run.history, f.run.clock
	for n := 0; ctx.Err() == nil; n++ {
		from := c.now()
		if err := sendMalformed(f.run.net.address(sidecar, clientPort), malformedRequests[n%len(malformedRequests)]); err != nil {
			h.addFinding(&h.unansweredPeers, "malformed request to sidecar %s at %v: %v", sidecarName(sidecar), from, err)
		}
		sleep(ctx, malformedInterval)
	}
}

// callConsoles makes a call for one server at every sidecar's console, as an operator does. It repeats the call at each
// console until that confirms it.
func (f *faults) callConsoles(ctx context.Context, command string, server int) {
	var all sync.WaitGroup
	for i := range f.run.scenario.Fleet.Sidecars {
		all.Go(func() {
			for ctx.Err() == nil {
				if q := f.run.processes.running(i); q != nil {
					if command == "enable-server" { // the sidecar may apply it before it answers
						f.run.history.recordServerUpdate(ServerUpdate{At: f.run.clock.now(), Sidecar: i, Server: server, ByHand: true})
					}
					if answer, err := callConsole(q.console, command+" "+serverName(server)); err == nil && strings.HasPrefix(answer, "200") {
						if command == "disable-server" {
							f.run.history.recordServerUpdate(ServerUpdate{At: f.run.clock.now(), Sidecar: i, Server: server, Out: true, ByHand: true})
						}
						return
					}
				}
				sleep(ctx, 100*time.Millisecond)
			}
		})
	}
	all.Wait()
}

// discoveryFault carries out a fault of discovery and undoes it at its end.
func (f *faults) discoveryFault(ctx context.Context, a PlannedFault, _ int) error {
	r := f.run.roster
	switch a.Kind {
	case "away":
		r.setOutage(true)
		if waitForEnd(ctx, a) {
			r.setOutage(false)
		}
	case "stale":
		r.setStale(true)
		if waitForEnd(ctx, a) {
			r.setStale(false)
		}
	case "mute":
		r.silenceWatches()
	case "crawl":
		r.setExtraDelay(a.Pause.Std())
		if waitForEnd(ctx, a) {
			r.setExtraDelay(0)
		}
	case "move":
		if err := f.run.hollow.measureLists(ctx, r.move); err != nil {
			return err
		}
		for i := range f.run.scenario.Fleet.Sidecars {
			if err := f.run.processes.reload(i); err != nil {
				return err
			}
		}
	}
	return nil
}

// linkFault changes the conditions of the links between sidecar i and its peers while a fault lasts.
func (f *faults) linkFault(ctx context.Context, a PlannedFault, i int) error {
	set := func(on bool) {
		change := func(w *conditions) {
			size := a.Size
			if !on {
				size = 0
			}
			switch a.Kind {
			case "cut":
				w.cut = on
			case "delay":
				w.delay = 0
				if on {
					w.delay = a.Pause.Std()
				}
			case "reorder":
				w.jitter = 0
				if on {
					w.jitter = max(a.Pause.Std(), time.Millisecond)
				}
			case "drop":
				w.drop = size
			case "duplicate":
				w.duplicate = size
			case "limit":
				w.rate = size
			}
		}
		for _, peer := range a.Peers {
			if peer == i {
				continue
			}
			if a.Direction != "in" {
				f.run.mesh.setConditions(i, peer, change)
			}
			if a.Direction != "out" {
				f.run.mesh.setConditions(peer, i, change)
			}
		}
	}
	h := f.run.history
	from := f.run.clock.now()
	set(true)
	h.recordLinkChange(f.run.clock)
	if waitForEnd(ctx, a) {
		set(false)
		h.recordLinkChange(f.run.clock)
	}
	// With a single directed link cut, the other members still probe on behalf of both its ends: views must not differ.
	oneLink := a.Direction != "both" && len(a.Targets)*len(a.Peers) == 1
	if a.Kind == "cut" && !oneLink || a.Kind == "limit" {
		h.addSpan(&h.linkOutages, sidecarSpan{i, from, f.run.clock.now()})
	}
	return nil
}
