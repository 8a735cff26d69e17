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
	At, Until   time.Duration // Until is 0 where it was never mended
	Description string
}

// reloadGap is the time between two signals to read the configuration again, in a row of them.
const reloadGap = 15 * time.Millisecond

// faults plays a plan. Each action has a goroutine while it lasts; all end with the context.
type faults struct {
	run  *run
	rng  *rand.Rand // of damages; guarded by mu
	work sync.WaitGroup

	restartMu []sync.Mutex // by sidecar: one end and new start after the other

	mu     sync.Mutex
	played []PlayedFault
	errs   []error
}

// play plays the plan until the context ends, and returns once all that was begun has ended too.
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
		mark := len(f.played) - 1
		f.mu.Unlock()
		f.work.Go(func() {
			if err := f.act(ctx, a); err != nil && ctx.Err() == nil {
				f.mu.Lock()
				f.errs = append(f.errs, fmt.Errorf("fault %s: %w", a.describe(), err))
				f.mu.Unlock()
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if a.For > 0 || a.Kind == "upgrade" {
				f.played[mark].Until = f.run.clock.now()
			}
		})
	}
}

// describe words an action for people.
func (a PlannedFault) describe() string {
	words := []string{a.Kind}
	if faultKinds[a.Kind].on != "discovery" && faultKinds[a.Kind].on != "load" {
		words = append(words, faultKinds[a.Kind].on+"s", fmt.Sprint(a.Targets))
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

// sleep waits; false: the context has ended.
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

// act carries out one action on all its targets: at once, or one after another where it has a pause.
func (f *faults) act(ctx context.Context, a PlannedFault) error {
	one := map[string]func(context.Context, PlannedFault, int) error{
		"sidecar": f.sidecarFault, "server": f.serverFault, "discovery": f.discovery, "link": f.link,
		"load": f.load,
	}[faultKinds[a.Kind].on]
	var all sync.WaitGroup
	errs := make(chan error, len(a.Targets))
	for i, target := range a.Targets {
		if i > 0 && a.Pause > 0 && faultKinds[a.Kind].on != "link" && faultKinds[a.Kind].on != "discovery" && !sleep(ctx, a.Pause.Std()) {
			break
		}
		all.Go(func() { errs <- one(ctx, a, target) })
	}
	all.Wait()
	close(errs)
	return joined(errs)
}

// joined are all errors of a channel that is closed.
func joined(errs <-chan error) error {
	var bad []error
	for err := range errs {
		bad = append(bad, err)
	}
	return errors.Join(bad...)
}

// load carries out what is not in the arrivals already.
func (f *faults) load(ctx context.Context, a PlannedFault, _ int) error {
	if a.Kind != "busy" {
		return nil
	}
	return keepBusy(ctx, f.run.processes.launch, int(a.Size), a.For.Std())
}

// mended waits until an action's time is over; false: it is for good, or the run ends before.
func mended(ctx context.Context, a PlannedFault) bool { return a.For > 0 && sleep(ctx, a.For.Std()) }

func (f *faults) sidecarFault(ctx context.Context, a PlannedFault, i int) error {
	p := f.run.processes
	h := f.run.hollow
	if a.Kind == "push" {
		return h.pushRules(ctx, i, int(a.Size))
	}
	if h.workerOf(i) != nil {
		from := time.Now()
		err := h.endSidecar(i, a.Kind == "stop")
		if err == nil && a.For == 0 {
			err = h.measureLoss(ctx, i, from)
		}
		if err == nil && mended(ctx, a) {
			err = h.restartSidecar(i)
		}
		return err
	}
	again := func() error {
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
		if !mended(ctx, a) {
			return nil
		}
		f.mu.Lock()
		err := p.damageState(i, a.State, f.rng)
		f.mu.Unlock()
		return errors.Join(err, again())
	case "stop":
		if q := p.running(i); q != nil {
			p.stop(q)
		}
		if mended(ctx, a) {
			return again()
		}
	case "pause":
		q := p.running(i)
		p.pause(q, true)
		mended(ctx, a)
		p.pause(q, false)
	case "starve":
		if a.For > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, a.For.Std())
			defer cancel()
		}
		p.starve(ctx, i, a.Size)
	case "upgrade":
		defer f.run.history.recordLinkChange(f.run.clock) // a member is another process now
		return p.upgrade(i)
	case "term":
		return f.terminate(ctx, a, i)
	case "swap":
		return f.replaceBySeries(ctx, a, i)
	case "crowd":
		f.crowd(ctx, a, i)
	case "full":
		return p.fileLimit(i, uint64(a.Size))
	case "calls", "deaf", "forward", "back", "rude":
		f.disturb(ctx, a, i)
	case "hup":
		return f.hangUps(ctx, a, i)
	}
	return nil
}

// hangUps has a sidecar read its configuration again, several times in a row.
func (f *faults) hangUps(ctx context.Context, a PlannedFault, i int) error {
	for range int(a.Size) {
		if err := f.run.processes.reload(i); err != nil {
			return err
		}
		if !sleep(ctx, reloadGap) {
			break
		}
	}
	return nil
}

func (f *faults) serverFault(ctx context.Context, a PlannedFault, i int) error {
	s, r, list := f.run.servers, f.run.roster, f.run.scenario.Discovery
	entry := func(life world.Life) world.Entry { return world.Entry{Server: i, Life: life} }
	fresh := func() world.Entry {
		e := entry(world.Ready)
		e.Started = f.run.clock.now()
		return e
	}
	switch a.Kind {
	case "crash":
		s.crash(i)
		r.scheduleUpdate(list.UpdateDelay.Std(), entry(world.Gone))
		if mended(ctx, a) {
			r.scheduleUpdate(list.UpdateDelay.Std(), fresh())
			return s.start(i)
		}
	case "replace":
		s.crash(i)
		r.scheduleUpdate(list.UpdateDelay.Std(), entry(world.Gone))
		sleep(ctx, a.For.Std())
		if ctx.Err() == nil {
			i = a.Replacements[slices.Index(a.Targets, i)]
			r.scheduleUpdate(list.UpdateDelay.Std(), fresh())
			return s.start(i)
		}
	case "silence":
		s.silence(i, true)
		r.scheduleUpdate(list.Silence.Std(), entry(world.Gone))
		if mended(ctx, a) {
			s.silence(i, false)
			r.scheduleUpdate(list.UpdateDelay.Std(), fresh())
		}
	case "drain":
		r.scheduleUpdate(list.UpdateDelay.Std(), entry(world.Draining))
		if mended(ctx, a) {
			r.scheduleUpdate(list.UpdateDelay.Std(), entry(world.Ready))
		}
	case "slow":
		s.changeModel(i, func(m *world.Server) { m.Slow(a.Size) })
		if mended(ctx, a) {
			s.changeModel(i, func(m *world.Server) { m.Slow(1) })
		}
	case "err":
		s.changeModel(i, func(m *world.Server) { m.Err(a.Size) })
		if mended(ctx, a) {
			s.changeModel(i, func(m *world.Server) { m.Err(0) })
		}
	case "refuse":
		s.changeModel(i, func(m *world.Server) { m.Refuse(true) })
		if mended(ctx, a) {
			s.changeModel(i, func(m *world.Server) { m.Refuse(false) })
		}
	case "spoil", "hang", "reset", "close":
		f.misbehaviour(ctx, a, i)
	case "late":
		s.hold(i, true)
		mended(ctx, a)
		s.hold(i, false)
	case "out":
		f.byHand(ctx, "disable-server", i)
		if mended(ctx, a) {
			f.byHand(ctx, "enable-server", i)
		}
	}
	return nil
}

// disturb does something to a sidecar's surroundings: its system calls, its clock, or who connects. It ends at the
// process that it began at, whichever is the sidecar's by then.
func (f *faults) disturb(ctx context.Context, a PlannedFault, i int) {
	q := f.run.processes.running(i)
	switch a.Kind {
	case "calls":
		q.disturb(a.Size)
		mended(ctx, a)
		q.disturb(0)
	case "deaf":
		q.deafen(true)
		mended(ctx, a)
		q.deafen(false)
	case "forward":
		q.stepClock(time.Duration(a.Size * float64(time.Second)))
	case "back":
		q.stepClock(-time.Duration(a.Size * float64(time.Second)))
	case "rude":
		f.beRude(ctx, a, i)
	}
}

// misbehaviour has a server answer badly while a fault lasts.
func (f *faults) misbehaviour(ctx context.Context, a PlannedFault, i int) {
	s := f.run.servers
	switch a.Kind {
	case "reset":
		s.misbehave(i, (*server).reset)
		return
	case "close":
		s.misbehave(i, (*server).closeAll)
		return
	}
	set := func(share float64) func(u *server) {
		return func(u *server) {
			if a.Kind == "hang" {
				u.hangs = share
			} else {
				u.spoils = share
			}
		}
	}
	s.misbehave(i, set(a.Size))
	mended(ctx, a)
	s.misbehave(i, set(0))
}

// beRude has strangers connect to a sidecar, one after the other, while the fault lasts.
func (f *faults) beRude(ctx context.Context, a PlannedFault, sidecar int) {
	ctx, cancel := context.WithTimeout(ctx, a.For.Std())
	defer cancel()
	h, c := f.run.history, f.run.clock
	for n := 0; ctx.Err() == nil; n++ {
		from := c.now()
		if err := rude(f.run.net.address(sidecar, clientPort), rudeKinds[n%len(rudeKinds)]); err != nil {
			h.addFinding(&h.unansweredPeers, "a stranger that came to sidecar %s at %v: %v", sidecarName(sidecar), from, err)
		}
		sleep(ctx, rudeRest)
	}
}

// byHand calls at every sidecar's console, as an operator does: again and again until it says yes.
func (f *faults) byHand(ctx context.Context, call string, server int) {
	var all sync.WaitGroup
	for i := range f.run.scenario.Fleet.Sidecars {
		all.Go(func() {
			for ctx.Err() == nil {
				if q := f.run.processes.running(i); q != nil {
					if call == "enable-server" { // from the moment that it may be heard
						f.run.history.recordServerUpdate(ServerUpdate{At: f.run.clock.now(), Sidecar: i, Server: server, ByHand: true})
					}
					if answer, err := callConsole(q.console, call+" "+serverName(server)); err == nil && strings.HasPrefix(answer, "200") {
						if call == "disable-server" {
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

func (f *faults) discovery(ctx context.Context, a PlannedFault, _ int) error {
	r := f.run.roster
	switch a.Kind {
	case "away":
		r.setOutage(true)
		if mended(ctx, a) {
			r.setOutage(false)
		}
	case "stale":
		r.setStale(true)
		if mended(ctx, a) {
			r.setStale(false)
		}
	case "mute":
		r.silenceWatches()
	case "crawl":
		r.setExtraDelay(a.Pause.Std())
		if mended(ctx, a) {
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

func (f *faults) link(ctx context.Context, a PlannedFault, i int) error {
	set := func(on bool) {
		change := func(w *weather) {
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
			if a.Way != "in" {
				f.run.mesh.set(i, peer, change)
			}
			if a.Way != "out" {
				f.run.mesh.set(peer, i, change)
			}
		}
	}
	h := f.run.history
	from := f.run.clock.now()
	set(true)
	h.recordLinkChange(f.run.clock)
	if mended(ctx, a) {
		set(false)
		h.recordLinkChange(f.run.clock)
	}
	oneLink := a.Way != "both" && len(a.Targets)*len(a.Peers) == 1 // the others ask for those two
	if a.Kind == "cut" && !oneLink || a.Kind == "limit" {
		h.addSpan(&h.linkOutages, sidecarSpan{i, from, f.run.clock.now()})
	}
	return nil
}
