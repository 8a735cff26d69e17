package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	lingerTime = 500 * time.Millisecond // new connections go on coming for so long after a stop is asked for
	leaveWait  = time.Second            // the end waits no longer for duties to be passed on
	exitMargin = 600 * time.Millisecond // more than the longest deadline that may pass until the end
)

// Run listens and serves until ctx ends and everything taken by then is answered. On each signal from
// reload it reads the configuration again.
func Run(ctx context.Context, cfg *Config, reload <-chan os.Signal) error {
	listener, err := listen(ctx, cfg.Listen)
	if err != nil {
		return err
	}
	var door net.Listener
	if cfg.Console != "" {
		if door, err = net.Listen("tcp", cfg.Console); err != nil {
			listener.Close()
			return fmt.Errorf("console: %w", err)
		}
	}
	return serve(ctx, cfg, listener, door, reload)
}

// serve wires the parts and starts them. There is a console where door is not nil.
func serve(ctx context.Context, cfg *Config, listener, door net.Listener, reload <-chan os.Signal) error {
	c := newClock()
	state := openHandover(cfg.Shared, cfg.Name, cfg.State)
	versions := state.versions(cfg, c.now())
	cfg.Known = versions.list()
	up := newUpstream(cfg, c)
	l, err := newLoop(cfg, c, up)
	if err != nil {
		return err
	}
	d := newDiscovery(cfg, l.list, l.listFailed)
	l.watch, l.asked = d.ask, d.counters
	d.versions, d.now, d.keep = versions, c.now, state.keepList
	l.handover = state
	peers, err := newPeers(cfg, l, state)
	if err != nil {
		return err
	}
	k := newClients(cfg, listener, up.connections)
	up.yield = k.yield
	f := newFront(cfg, c, l, k)
	l.clients = f.counters
	work, err := newDuties(cfg, peers, state)
	if err != nil {
		return err
	}
	sets, err := newRuleSets(cfg, peers, work, l, state)
	if err != nil {
		return err
	}
	f.serves = sets.serves
	slog.Info("serving", "name", cfg.Name, "listen", listener.Addr(), "servers", len(cfg.Known.servers))

	running, stop := context.WithCancel(context.Background())
	kept := make(chan struct{})
	defer func() {
		stop()
		select { // what is kept last may wait for a disk; the end does not
		case <-kept:
		case <-time.After(saveWait):
		}
	}()
	share := func(n int) {
		limitMemory(cfg.MemoryMB, n)
		up.share(cfg.upstreamConns(n))
		k.share(cfg.clientConns(n), cfg.allConns(n))
		l.post(func(time.Duration) { l.b.Share(n) })
	}
	go l.run(running, cfg.Known)
	n := l.handover.count()
	share(n)
	var beside []byte
	go l.handover.watch(running, n, share, func(handed map[string]handed) {
		l.calls(running, handed)
		k, list, raw, news := state.beside(beside, cfg.Zones)
		if beside = raw; news {
			d.beside(k, list)
		}
	})
	go func() {
		defer close(kept)
		state.keep(running, l.learned)
	}()
	go d.run(running)
	if err := sets.begin(running); err != nil {
		return err
	}
	f.ready.Store(true)
	peers.run(running)
	work.run(running)
	sets.run(running)
	if door != nil {
		c := &console{
			ready: f.up, rules: sets.show, server: l.server, confirm: state.confirm, members: peers.show, duties: work.show, move: work.move,
			stat: func(w io.Writer) { f.stat(w); peers.stat(w); work.stat(w); sets.stat(w); fmt.Fprintln(w, "EOF") },
		}
		go c.serve(running, door)
		slog.Info("console", "listen", door.Addr())
	}
	server := f.server()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(k) }()
	for {
		select {
		case err := <-failed:
			return err
		case <-reload:
			d.reconfigure(cfg.path)
			sets.read()
		case <-ctx.Done():
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
			return f.drain(server, cfg.Longest, replaced)
		}
	}
}

// reconfigure reads the configuration again and goes to where it has discovery now. Nothing else in
// it may change under a running sidecar. One that can't be used leaves everything as it is.
func (d *discovery) reconfigure(path string) {
	cfg, err := ReadConfig(path)
	if err != nil {
		slog.Error("configuration kept", "error", err)
		return
	}
	d.move(cfg.Discovery)
}

// drain ends the service without losing a request. Clients still connect for a while, and send on
// what they have: so the listener stays open at first, and every connection closes with its next
// answer, or at once if it is idle (a request that crosses this is sent again on a new one).
// Shutdown at once would close the listener under those that are still coming. Where a second process has
// taken over, new ones go there: this one takes what has come, and idle connections may linger too.
func (f *front) drain(server *http.Server, longest time.Duration, replaced bool) error {
	end, cancel := context.WithTimeout(context.Background(), longest+exitMargin)
	defer cancel()
	slog.Info("stopping", "held", f.held.Load(), "replaced", replaced)
	f.ready.Store(false)
	if replaced {
		if err := f.clients.leave(); err != nil {
			slog.Error("connections may be lost", "error", err)
		}
	} else {
		server.SetKeepAlivesEnabled(false)
	}
	time.Sleep(lingerTime)
	err := server.Shutdown(end)
	slog.Info("stopped", "held", f.held.Load())
	if errors.Is(err, context.DeadlineExceeded) && f.held.Load() == 0 {
		return nil // what is left are connections that nothing came on
	}
	return err
}
