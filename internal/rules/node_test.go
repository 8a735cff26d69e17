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

var memberCount = flag.Int("members", 30, "members of the fleet in memory")

// testFleet is a fleet of Nodes in one process with its environment: streams in memory, and voters that never
// fail.
type testFleet struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	nodes     map[string]*Node
	members   []Member
	holder    string
	token     uint64
	entry     duty.Entry
	inForce   map[string]uint64 // version, by member
	stores    map[string]*store.Store
	limit     int // size limit of each store
}

// pipeListener accepts streams in memory.
type pipeListener struct {
	ready chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.ready:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}
func (p *pipeListener) Close() error   { p.once.Do(func() { close(p.done) }); return nil }
func (p *pipeListener) Addr() net.Addr { return nil }

// endpoint is the Transport and the Voters of one node.
type endpoint struct {
	fleet *testFleet
	name  string
	fence duty.Fence
}

func (e *endpoint) Listen(byte) net.Listener {
	p := &pipeListener{ready: make(chan net.Conn), done: make(chan struct{})}
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.fleet.listeners[e.name] = p
	return p
}

func (e *endpoint) Dial(name string, _ byte, timeout time.Duration) (net.Conn, error) {
	e.fleet.mu.Lock()
	p := e.fleet.listeners[name]
	e.fleet.mu.Unlock()
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

func (e *endpoint) Holds() (uint64, bool) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.fleet.token, e.fleet.holder == e.name
}

func (e *endpoint) Holder() (string, error) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.fleet.holder, nil
}

func (e *endpoint) LastEntry() (Floor, error) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return Floor{e.fleet.entry.Version, e.fleet.entry.Digest, e.fleet.entry.Token}, nil
}

func (e *endpoint) CommitEntry(f Floor) (refused, err error) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.fleet.entry, refused = e.fleet.entry.Apply(e.fleet.token, duty.Entry{Token: f.Token, Version: f.Version, Digest: f.Digest})
	return refused, nil
}

func (e *endpoint) AdmitToken(token uint64) (bool, error) { return e.fence.Admit("rules", token) }

// storeStorage adapts a store to Storage and duty.Storage.
type storeStorage struct{ *store.Store }

func (k storeStorage) Get(section, key string) ([]byte, bool) {
	e, ok := k.Store.Get(section, key)
	return e.Value, ok
}

func (k storeStorage) All(section string) map[string][]byte {
	all := make(map[string][]byte)
	for key, e := range k.Store.All(section) {
		all[key] = e.Value
	}
	return all
}

// startFleet starts n nodes, each with a store limited to limit bytes. The first one holds the duty.
func startFleet(t *testing.T, n, limit int) *testFleet {
	a := &testFleet{listeners: make(map[string]*pipeListener), nodes: make(map[string]*Node), inForce: make(map[string]uint64), stores: make(map[string]*store.Store),
		holder: "n0", token: 1, limit: limit}
	for i := range n {
		a.members = append(a.members, Member{Peer: Peer{fmt.Sprint("n", i), 1}})
	}
	ctx, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	t.Cleanup(func() { stop(); work.Wait() })
	for _, m := range a.members {
		s, err := store.Open(store.Options{Dir: t.TempDir(), MaxBytes: limit})
		if err != nil {
			t.Fatal(err)
		}
		e := &endpoint{fleet: a, name: m.Name, fence: duty.Fence{Storage: storeStorage{s}}}
		node := New(Config{
			Name: m.Name, Start: 1, Storage: storeStorage{s}, Transport: e, Voters: e, Members: func() []Member { return a.members },
			Read: func(text []byte) (*Set, error) { return Read(text, settings(2)) },
			Activate: func(_ context.Context, set *Set) error {
				a.mu.Lock()
				defer a.mu.Unlock()
				a.inForce[m.Name] = set.Version
				return nil
			},
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		a.nodes[m.Name], a.stores[m.Name] = node, s
		if err := node.ActivateFloor(ctx); err != nil {
			t.Fatal(err)
		}
		work.Go(func() { node.Run(ctx); s.Close() })
	}
	return a
}

// waitForAll waits until met holds at all nodes, and returns how long that took.
func (a *testFleet) waitForAll(t *testing.T, what string, met func(s Status) bool) time.Duration {
	t.Helper()
	began := time.Now()
	for time.Since(began) < time.Minute { // far longer than any push takes
		all := true
		for _, n := range a.nodes {
			all = all && met(n.Status())
		}
		if all {
			return time.Since(began)
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%s: not within a minute; at n0: %+v", what, a.nodes["n0"].Status())
	return 0
}

// A pushed set takes effect at every member of a fleet, with real disks. Floor queries at the start that were
// answered without a floor must not delay it. The test logs the times.
func TestPushReachesAllNodes(t *testing.T) {
	a := startFleet(t, *memberCount, 0)
	a.waitForAll(t, "all have ended the wait for floors", func(s Status) bool { return s.Serves })
	for version := range 5 {
		text := fmt.Sprintf("form=1\nversion=%d\nattempts=2\n", version+1)
		a.nodes[fmt.Sprint("n", version%*memberCount)].Push([]byte(text))
		took := a.waitForAll(t, "in force", func(s Status) bool { return s.InForce == uint64(version+1) })
		t.Logf("version %d is in force at the last of %d after %v", version+1, *memberCount, took.Round(time.Millisecond))
	}
}

// A document that exceeds the storage limit is refused with its reason, and other values can still be stored.
func TestDocumentTooLargeForStorage(t *testing.T) {
	a := startFleet(t, 3, 64<<10)
	a.waitForAll(t, "all have ended the wait for floors", func(s Status) bool { return s.Serves })
	a.nodes["n1"].Push(append([]byte("form=1\nversion=1\n#"), bytes.Repeat([]byte{'x'}, 100<<10)...))
	a.waitForAll(t, "the document is refused", func(s Status) bool { return strings.Contains(fmt.Sprint(s.Refusals), "are allowed") })
	a.nodes["n2"].Push([]byte("form=1\nversion=1\nattempts=1\n"))
	a.waitForAll(t, "a smaller document is in force", func(s Status) bool { return s.InForce == 1 })
	for name, disk := range a.stores {
		if err := disk.Put("else", "x", []byte("y")); err != nil {
			t.Errorf("%s can't store other values: %v", name, err)
		}
	}
	a.nodes["n0"].Push([]byte("form=1\nversion=1\nattempts=3\n"))
	for began := time.Now(); a.nodes["n0"].Status().FileRefusal == ""; time.Sleep(time.Millisecond) {
		if time.Since(began) > time.Minute {
			t.Fatal("another body under version 1 is not permanently refused")
		}
	}
}
