package rules

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"arrowgw/internal/duty"
	"arrowgw/internal/store"
)

var many = flag.Int("members", 30, "of the fleet in memory")

// around is what a fleet of Nodes in one process has around it: streams in memory, and voters that never fail.
type around struct {
	mu     sync.Mutex
	ends   map[string]*pipe
	nodes  map[string]*Node
	all    []Member
	holder string
	token  uint64
	entry  duty.Entry
	forced map[string]uint64
	disks  map[string]*store.Store
	limit  int
}

type pipe struct {
	ready chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (p *pipe) Accept() (net.Conn, error) {
	select {
	case c := <-p.ready:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}
func (p *pipe) Close() error   { p.once.Do(func() { close(p.done) }); return nil }
func (p *pipe) Addr() net.Addr { return nil }

// end is one process's.
type end struct {
	a     *around
	name  string
	fence duty.Fence
}

func (e *end) Listen(byte) net.Listener {
	p := &pipe{ready: make(chan net.Conn), done: make(chan struct{})}
	e.a.mu.Lock()
	defer e.a.mu.Unlock()
	e.a.ends[e.name] = p
	return p
}

func (e *end) Dial(name string, _ byte, timeout time.Duration) (net.Conn, error) {
	e.a.mu.Lock()
	p := e.a.ends[name]
	e.a.mu.Unlock()
	if p == nil {
		return nil, errors.New("refused")
	}
	here, there := net.Pipe()
	select {
	case p.ready <- there:
		return here, nil
	case <-p.done:
	case <-time.After(timeout):
	}
	return nil, errors.New("no answer")
}

func (e *end) Holds() (uint64, bool) {
	e.a.mu.Lock()
	defer e.a.mu.Unlock()
	return e.a.token, e.a.holder == e.name
}

func (e *end) Holder() (string, error) {
	e.a.mu.Lock()
	defer e.a.mu.Unlock()
	return e.a.holder, nil
}

func (e *end) LastEntry() (Floor, error) {
	e.a.mu.Lock()
	defer e.a.mu.Unlock()
	return Floor{e.a.entry.Version, e.a.entry.Digest, e.a.entry.Token}, nil
}

func (e *end) CommitEntry(f Floor) (refused, err error) {
	e.a.mu.Lock()
	defer e.a.mu.Unlock()
	e.a.entry, refused = e.a.entry.Apply(e.a.token, duty.Entry{Token: f.Token, Version: f.Version, Digest: f.Digest})
	return refused, nil
}

func (e *end) AdmitToken(token uint64) (bool, error) { return e.fence.Admit("rules", token) }

// kept is a store as Nodes and fences want it.
type kept struct{ *store.Store }

func (k kept) Get(section, key string) ([]byte, bool) {
	e, ok := k.Store.Get(section, key)
	return e.Value, ok
}

func (k kept) All(section string) map[string][]byte {
	all := make(map[string][]byte)
	for key, e := range k.Store.All(section) {
		all[key] = e.Value
	}
	return all
}

// fleetOf starts so many nodes; the first holds the duty.
func fleetOf(t *testing.T, n, limit int) *around {
	a := &around{ends: make(map[string]*pipe), nodes: make(map[string]*Node), forced: make(map[string]uint64), disks: make(map[string]*store.Store),
		holder: "n0", token: 1, limit: limit}
	for i := range n {
		a.all = append(a.all, Member{Peer: Peer{fmt.Sprint("n", i), 1}})
	}
	ctx, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	t.Cleanup(func() { stop(); work.Wait() })
	for _, m := range a.all {
		s, err := store.Open(store.Options{Dir: t.TempDir(), MaxBytes: limit})
		if err != nil {
			t.Fatal(err)
		}
		e := &end{a: a, name: m.Name, fence: duty.Fence{Storage: kept{s}}}
		node := New(Config{
			Name: m.Name, Start: 1, Storage: kept{s}, Transport: e, Voters: e, Members: func() []Member { return a.all },
			Read: func(text []byte) (*Set, error) { return Read(text, settings(2)) },
			Activate: func(_ context.Context, set *Set) error {
				a.mu.Lock()
				defer a.mu.Unlock()
				a.forced[m.Name] = set.Version
				return nil
			},
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		a.nodes[m.Name], a.disks[m.Name] = node, s
		if err := node.ActivateFloor(ctx); err != nil {
			t.Fatal(err)
		}
		work.Go(func() { node.Run(ctx); s.Close() })
	}
	return a
}

// until waits for a condition at all nodes.
func (a *around) until(t *testing.T, what string, met func(s Status) bool) time.Duration {
	t.Helper()
	began := time.Now()
	for time.Since(began) < time.Minute { // past this it never comes
		all := true
		for _, n := range a.nodes {
			all = all && met(n.Status())
		}
		if all {
			return time.Since(began)
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%s: never; at n0: %+v", what, a.nodes["n0"].Status())
	return 0
}

// A set comes into force at all of a fleet, with real disks; the times are for the page. What has been asked in vain at the start does not hold it up.
func TestPushed(t *testing.T) {
	a := fleetOf(t, *many, 0)
	a.until(t, "all have asked for their floor", func(s Status) bool { return s.Serves })
	for version := range 5 {
		text := fmt.Sprintf("form=1\nversion=%d\nattempts=2\n", version+1)
		a.nodes[fmt.Sprint("n", version%*many)].Push([]byte(text))
		took := a.until(t, "in force", func(s Status) bool { return s.InForce == uint64(version+1) })
		t.Logf("version %d is in force at the last of %d after %v", version+1, *many, took.Round(time.Millisecond))
	}
}

// A document that the disk has no room for is refused by name, and what is kept besides is kept still.
func TestTooLargeForTheState(t *testing.T) {
	a := fleetOf(t, 3, 64<<10)
	a.until(t, "all have asked for their floor", func(s Status) bool { return s.Serves })
	a.nodes["n1"].Push(append([]byte("form=1\nversion=1\n#"), bytes.Repeat([]byte{'x'}, 100<<10)...))
	a.until(t, "it is refused", func(s Status) bool { return strings.Contains(fmt.Sprint(s.Refusals), "are allowed") })
	a.nodes["n2"].Push([]byte("form=1\nversion=1\nattempts=1\n"))
	a.until(t, "a smaller one is in force", func(s Status) bool { return s.InForce == 1 })
	for name, disk := range a.disks {
		if err := disk.Put("else", "x", []byte("y")); err != nil {
			t.Errorf("%s keeps nothing any more: %v", name, err)
		}
	}
	a.nodes["n0"].Push([]byte("form=1\nversion=1\nattempts=3\n"))
	for began := time.Now(); a.nodes["n0"].Status().FileRefusal == ""; time.Sleep(time.Millisecond) {
		if time.Since(began) > time.Minute {
			t.Fatal("another body under version 1 is not refused for good")
		}
	}
}
