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
	lingerTime = 500 * time.Millisecond // new connections go on coming for so long after a stop is asked for
	leaveWait  = time.Second            // the end waits no longer for duties to be passed on
	lookEvery  = 5 * time.Millisecond   // how often it is seen whether all connections are closed

	// The platform may kill a process once the longest deadline and 0.7 s have passed behind the signal. Final answers
	// are due well before, as the process may be held up for 0.15 s; only then it ends by itself.
	answerMargin = 500 * time.Millisecond // behind the longest deadline all answers are due,
	exitMargin   = 640 * time.Millisecond // and the process ends
	lastLook     = 40 * time.Millisecond  // it waits so much longer for what came in the last moment
	killedFrom   = 3 * time.Second        // a longer deadline counts as this
)

// Run listens and serves until ctx ends and everything taken by then is answered. On each signal from
// reload it reads the configuration again.
func Run(ctx context.Context, cfg *Config, reload <-chan os.Signal) error {
	var door net.Listener
	var err error
	if cfg.Console != "" {
		if door, err = retryListen(ctx, cfg.Console, new(net.ListenConfig).Listen); err != nil {
			return fmt.Errorf("console: %w", err)
		}
	}
	open := func() (net.Listener, error) { return listen(ctx, cfg.Listen) }
	return serve(ctx, cfg, open, door, reload)
}

// serve wires the parts and starts them. There is a console where door is not nil. Clients' listener is opened last: whoever
// connects from then on is served, however long a disk or an address has kept the start waiting.
func serve(ctx context.Context, cfg *Config, open func() (net.Listener, error), door net.Listener, reload <-chan os.Signal) error {
	if door != nil {
		defer door.Close()
	}
	c := newClock()
	up := newUpstream(cfg, c)
	l, err := newLoop(cfg, c, up)
	if err != nil {
		return err
	}
	control, err := newControl(cfg, c, l)
	if err != nil {
		return err
	}
	peers, work, sets := control.peers, control.work, control.sets
	l.watch, l.asked, l.handover = control.discovery.ask, control.discovery.counters, control.state
	k := newClients(cfg, nil, up.connections)
	up.yield, up.room = k.yield, k.spare
	f := newFront(cfg, c, l, k)
	l.clients, k.closed = f.counters, l.trace.closed
	l.bounded = func(now, left time.Duration) time.Duration { return f.stop.Load().left(now, left) }
	f.serves = sets.serves
	running, stop := context.WithCancel(context.Background())
	kept := make(chan struct{})
	defer func() {
		stop()
		select { // what is kept last may wait for a disk; the end does not
		case <-kept:
		case <-time.After(saveWait):
		}
	}()
	go l.run(running, cfg.Known)
	err = control.begin(running, kept, func(n int) {
		limitMemory(cfg.MemoryMB, n)
		up.share(cfg.upstreamConns(n))
		k.share(cfg.clientConns(n), cfg.allConns(n))
		l.share(n)
	})
	if err != nil {
		return err
	}
	if k.Listener, err = open(); err != nil {
		return err
	}
	slog.Info("serving", "name", cfg.Name, "listen", k.Addr(), "servers", len(cfg.Known.servers))
	l.guard.Start()
	f.ready.Store(true)
	control.run(running)
	go control.followReloads(running, cfg.path, reload) // also in a stop, for what is held
	if door != nil {
		c := &console{
			ready: f.up, rules: sets.show, server: l.server, confirm: control.state.confirm, members: peers.show, duties: work.show, move: work.move,
			stat: func(w io.Writer) {
				f.stat(w)
				l.trace.stat(w)
				guardStat(w, l.guard)
				control.stat(w)
				fmt.Fprintln(w, "EOF")
			},
		}
		go c.serve(running, door)
		slog.Info("console", "listen", door.Addr())
	}
	server := f.server()
	served, stopped := make(chan error, 1), make(chan error, 1)
	go func() { served <- server.Serve(k) }()
	asked, failed := ctx.Done(), served
	for {
		select {
		case err := <-failed:
			return err
		case err := <-stopped:
			return err
		case <-asked:
			asked, failed = nil, nil
			replaced := l.handover.count() > 1
			left := make(chan struct{})
			go func() { // what this process holds for its clients does not wait for that
				defer close(left)
				peers.draining(replaced, work)
			}()
			defer func() {
				select {
				case <-left:
				case <-time.After(leaveWait): // the others find out by themselves
				}
				peers.leave()
			}()
			go func() { stopped <- f.drain(served, cfg.Longest, replaced) }()
		}
	}
}

// stop is what a request has to know of a stop under way: from late on requests are bounded, by the moment at which all
// answers are due.
type stop struct{ late, due time.Duration }

// left bounds the time of a request that arrives late: no answer could reach its client behind the end. One that has come
// before has its deadline before the end anyway.
func (s *stop) left(arrived, left time.Duration) time.Duration {
	if s == nil || arrived < s.late {
		return left
	}
	return max(0, min(left, s.due-arrived))
}

// drain ends the service without losing a request. Clients still connect for a while, and send on what they have: so
// the listener stays open at first, and every connection closes with its next answer, or at once if it is idle (a
// request that crosses this is not read, and sent again on a new one). Where a second process has taken over, new ones
// go there, and idle connections linger too.
//
// http.Server's Shutdown is of no use here: behind it a request on a connection that had none yet is read and
// dropped, and it takes connections for idle that hold a request.
func (f *front) drain(served <-chan error, longest time.Duration, replaced bool) error {
	end := time.Now().Add(longest + exitMargin)
	now := f.clock.now()
	f.stop.Store(&stop{late: now + answerMargin, due: now + min(longest, killedFrom) + answerMargin})
	slog.Info("stopping", "held", f.held.Load(), "replaced", replaced)
	f.ready.Store(false)
	leave := func() {
		if err := f.clients.leave(); err != nil {
			slog.Error("connections may be lost", "error", err)
		}
	}
	if replaced {
		leave()
	} else {
		f.clients.stop()
	}
	time.Sleep(lingerTime)
	if replaced {
		f.clients.stop()
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
	f.loop.guard.Stop()
	slog.Info("stopped", "held", f.held.Load())
	return nil
}
