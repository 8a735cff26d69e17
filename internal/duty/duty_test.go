package duty

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var seedCount = flag.Int("seeds", 10, "seeds that the test of random faults runs")

// network is a network in memory with random delays. Connections between two processes can be cut.
type network struct {
	mu        sync.Mutex
	rng       *rand.Rand
	listeners map[string]chan net.Conn // by process name and kind of stream
	isCut     func(from, to string) bool
	conns     map[net.Conn][2]string
}

func newNetwork(seed uint64) *network {
	return &network{rng: rand.New(rand.NewPCG(seed, 1)), listeners: make(map[string]chan net.Conn), isCut: func(_, _ string) bool { return false }, conns: make(map[net.Conn][2]string)}
}

// setCut sets which connections are cut, and closes the streams across them. A connection is cut if cut is true
// for either direction.
func (m *network) setCut(cut func(from, to string) bool) {
	m.mu.Lock()
	m.isCut = cut
	var severed []net.Conn
	for c, ends := range m.conns {
		if cut(ends[0], ends[1]) || cut(ends[1], ends[0]) {
			severed = append(severed, c)
			delete(m.conns, c)
		}
	}
	m.mu.Unlock()
	for _, c := range severed {
		c.Close()
	}
}

// endpoint is the Transport of one process.
type endpoint struct {
	net  *network
	name string
}

// memListener accepts the streams of one kind at one process.
type memListener struct {
	w     endpoint
	key   string
	ready chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (w endpoint) Listen(kind byte) net.Listener {
	l := &memListener{w: w, key: w.name + string(kind), ready: make(chan net.Conn), done: make(chan struct{})}
	w.net.mu.Lock()
	defer w.net.mu.Unlock()
	w.net.listeners[l.key] = l.ready
	return l
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.w.net.mu.Lock()
		defer l.w.net.mu.Unlock()
		if l.w.net.listeners[l.key] == l.ready {
			delete(l.w.net.listeners, l.key)
		}
	})
	return nil
}

func (l *memListener) Addr() net.Addr { return voterAddr(l.key) }

func (w endpoint) Dial(name string, kind byte, timeout time.Duration) (net.Conn, error) {
	w.net.mu.Lock()
	end, cut := w.net.listeners[name+string(kind)], w.net.isCut(w.name, name) || w.net.isCut(name, w.name)
	wait := time.Duration(w.net.rng.Int64N(int64(5 * time.Millisecond)))
	w.net.mu.Unlock()
	if cut {
		time.Sleep(timeout)
		return nil, errors.New("timed out")
	}
	time.Sleep(wait)
	if end == nil {
		return nil, errors.New("refused")
	}
	here, there := net.Pipe()
	select {
	case end <- there:
	case <-time.After(timeout):
		return nil, errors.New("timed out")
	}
	w.net.mu.Lock()
	defer w.net.mu.Unlock()
	w.net.conns[here] = [2]string{w.name, name}
	return here, nil
}

// memStorage is a Storage in memory that outlives the processes using it, like a disk.
type memStorage struct {
	mu         sync.Mutex
	all        map[string]map[string][]byte
	failWrites int // number of writes that will fail
}

func newMemStorage() *memStorage { return &memStorage{all: make(map[string]map[string][]byte)} }

func (k *memStorage) Get(section, key string) ([]byte, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v, ok := k.all[section][key]
	return v, ok
}

func (k *memStorage) All(section string) map[string][]byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.all[section])
}

func (k *memStorage) Put(section, key string, value []byte) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.failWrites > 0 {
		k.failWrites--
		return errors.New("no space")
	}
	if k.all[section] == nil {
		k.all[section] = make(map[string][]byte)
	}
	k.all[section][key] = slices.Clone(value)
	return nil
}

func (k *memStorage) Delete(section, key string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.all[section], key)
	return nil
}

// node is a running process.
type node struct {
	*Group
	stop  context.CancelFunc
	ended chan struct{}
}

// testFleet is the processes n0 to n5, of which the first three are voters, with two duties: "ask", which all
// may hold, and "warden", for processes of zone a.
type testFleet struct {
	t          *testing.T
	net        *network
	disks      map[string]*memStorage
	live       map[string]*node
	clockDrift map[string]float64 // by process: relative error of its clock's rate
	lastStart  uint64

	mu         sync.Mutex
	unfit      string            // name of a process that is not a candidate
	acquired   map[string]string // callbacks: duties that were acquired and not lost, by duty and process
	maxToken   map[string]uint64 // highest token seen, by duty
	holdCounts map[string]int    // how often a duty was seen held, by duty and holder
	violations []string
}

const testLease = 2 * time.Second

// newTestFleet returns a fleet without processes.
func newTestFleet(t *testing.T, seed uint64) *testFleet {
	return &testFleet{
		t: t, net: newNetwork(seed), disks: make(map[string]*memStorage), live: make(map[string]*node), clockDrift: make(map[string]float64),
		acquired: make(map[string]string), maxToken: make(map[string]uint64), holdCounts: make(map[string]int),
	}
}

var voters = []string{"n0", "n1", "n2"}

// startNode starts a process on its disk, or on an empty one if lost.
func (f *testFleet) startNode(name string, lost bool) *node {
	f.t.Helper()
	f.lastStart++
	if f.disks[name] == nil || lost {
		f.disks[name] = newMemStorage()
	}
	started, rate := time.Now(), 1+f.clockDrift[name]
	start := f.lastStart
	c := Config{
		Name: name, Start: start, Voters: voters, Lease: testLease, Duties: []Duty{{Name: "ask"}, {Name: "warden", Zone: "a"}},
		Transport: endpoint{f.net, name}, Storage: f.disks[name], Candidates: f.candidates, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Now:        func() time.Duration { return time.Hour + time.Duration(float64(time.Since(started))*rate) },
		OnAcquired: func(duty string, token uint64) { f.recordCallback(duty, name, true, token) },
		OnLost:     func(duty string) { f.recordCallback(duty, name, false, 0) },
	}
	g, err := New(c)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &node{g, stop, make(chan struct{})}
	f.live[name] = n
	go func() {
		g.Run(ctx)
		close(n.ended)
	}()
	return n
}

// recordCallback checks that OnAcquired and OnLost alternate at each process.
func (f *testFleet) recordCallback(duty, name string, begin bool, token uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, had := f.acquired[duty+name]
	if begin == had {
		f.violations = append(f.violations, fmt.Sprintf("%s, duty %s: callback acquired=%v, while acquired was %v", name, duty, begin, had))
	}
	if begin {
		f.acquired[duty+name] = name
	} else {
		delete(f.acquired, duty+name)
	}
}

// candidates returns all running processes except unfit. Names with an even number are of zone a, the others
// of zone b.
func (f *testFleet) candidates() (all []Candidate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, n := range f.live {
		if f.unfit == name {
			continue
		}
		all = append(all, Candidate{Name: name, Zone: string('a' + name[1]%2), Start: n.cfg.Start})
	}
	slices.SortFunc(all, func(a, b Candidate) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// stop ends a process gracefully.
func (f *testFleet) stop(name string) {
	n := f.live[name]
	f.removeLive(name)
	n.stop()
	f.waitEnded(n)
}

// waitEnded watches the fleet until a process has ended.
func (f *testFleet) waitEnded(n *node) {
	for {
		select {
		case <-n.ended:
			return
		default:
			f.watch(10 * time.Millisecond)
		}
	}
}

// removeLive removes a process from the candidates and from what watch checks.
func (f *testFleet) removeLive(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.live, name)
}

// kill cuts all connections of a process and then ends it, so that it can't release the duties that it holds.
func (f *testFleet) kill(name string) {
	n := f.live[name]
	f.removeLive(name)
	f.net.mu.Lock()
	before := f.net.isCut
	f.net.mu.Unlock()
	f.net.setCut(func(a, b string) bool { return a == name || b == name || before(a, b) }) // so that its last messages do not arrive
	n.stop()
	f.waitEnded(n)
	f.net.setCut(before)
}

// watch checks the fleet every few milliseconds for a duration: a duty must never be held twice, and its tokens
// must not decrease.
func (f *testFleet) watch(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(7 * time.Millisecond) {
		for _, duty := range []string{"ask", "warden"} {
			holder := ""
			for name, n := range f.liveNodes() {
				token, yes := n.Holds(duty)
				if !yes {
					continue
				}
				f.mu.Lock()
				if holder != "" {
					f.violations = append(f.violations, fmt.Sprintf("%s is held by %s and %s", duty, holder, name))
				}
				if token < f.maxToken[duty] {
					f.violations = append(f.violations, fmt.Sprintf("%s has token %d, after %d", duty, token, f.maxToken[duty]))
				}
				f.maxToken[duty] = token
				f.holdCounts[duty+" "+name]++
				f.mu.Unlock()
				holder = name
			}
		}
	}
}

// liveNodes returns the running processes by name.
func (f *testFleet) liveNodes() map[string]*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.live)
}

// waitForHolder waits until a duty is held, and returns the holder and how long that took.
func (f *testFleet) waitForHolder(duty string, within time.Duration) (string, time.Duration) {
	f.t.Helper()
	for began := time.Now(); time.Since(began) < within; f.watch(10 * time.Millisecond) {
		for name, n := range f.liveNodes() {
			if _, yes := n.Holds(duty); yes {
				return name, time.Since(began)
			}
		}
	}
	f.t.Fatalf("no process holds %s after %v", duty, within)
	return "", 0
}

// stopAll restores all connections, stops all processes and reports the first violations.
func (f *testFleet) stopAll() {
	f.net.setCut(func(_, _ string) bool { return false })
	for name := range f.liveNodes() {
		f.stop(name)
	}
	f.net.setCut(func(_, _ string) bool { return true }) // ends pooled streams
	time.Sleep(10 * time.Second)
	for _, b := range f.violations[:min(5, len(f.violations))] {
		f.t.Error(b)
	}
}

// runFleet runs a test with a fleet of six whose clocks differ by up to maxClockDrift, in synthetic time.
func runFleet(t *testing.T, seed uint64, test func(t *testing.T, f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, seed)
		defer f.stopAll()
		for i := range 6 {
			name := fmt.Sprint("n", i)
			f.clockDrift[name] = (f.net.rng.Float64() - 0.5) * maxClockDrift // within the drift that is allowed
			f.startNode(name, false)
		}
		test(t, f)
	})
}

// After each of these events a duty is held again, by one process at a time, and within a time limit where one
// applies.
func TestFailover(t *testing.T) {
	for what, c := range map[string]func(t *testing.T, f *testFleet){
		"the holder is killed": func(t *testing.T, f *testFleet) {
			for range 4 {
				who, _ := f.waitForHolder("ask", 20*time.Second)
				voter := slices.Contains(voters, who)
				f.kill(who)
				next, took := f.waitForHolder("ask", 20*time.Second)
				t.Logf("%s (voter %v) is killed: %s holds it after %v", who, voter, next, took)
				if next == who || took > testLease*2+3*time.Second {
					t.Errorf("%s holds it after %v", next, took)
				}
				f.startNode(who, false)
				f.watch(5 * time.Second)
			}
		},
		"the holder stops gracefully": func(t *testing.T, f *testFleet) {
			who, _ := f.waitForHolder("ask", 20*time.Second)
			f.watch(3 * time.Second)
			f.stop(who)
			next, took := f.waitForHolder("ask", 20*time.Second)
			if took > testLease && !slices.Contains(voters, who) {
				t.Errorf("%s holds it after %v", next, took)
			}
			t.Logf("%s stops: %s holds it after %v", who, next, took)
		},
		"the holder is partitioned": func(t *testing.T, f *testFleet) {
			who, _ := f.waitForHolder("warden", 20*time.Second)
			f.net.setCut(func(a, b string) bool { return a == who || b == who })
			f.unfit = who
			began := time.Now()
			next := who
			for next == who || next == "" {
				f.watch(10 * time.Millisecond)
				next = ""
				for name, n := range f.liveNodes() {
					if _, yes := n.Holds("warden"); yes {
						next = name
					}
				}
				if time.Since(began) > 20*time.Second {
					t.Fatal("no other process takes over the duty")
				}
			}
			t.Logf("%s is partitioned: %s holds it after %v", who, next, time.Since(began))
		},
		"a move by an operator": func(t *testing.T, f *testFleet) {
			who, _ := f.waitForHolder("ask", 20*time.Second)
			to := "n4"
			if who == to {
				to = "n5"
			}
			if err := f.live["n3"].Move("ask", to); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			for next := who; next != to; next, _ = f.waitForHolder("ask", 5*time.Second) {
				f.watch(10 * time.Millisecond)
			}
			if took := time.Since(began); took > testLease/2 {
				t.Errorf("the move took %v", took)
			}
			for _, bad := range [][2]string{{"nothing", ""}, {"ask", "n9"}, {"warden", "n1"}} { // n1 is of zone b
				if f.live["n3"].Move(bad[0], bad[1]) == nil {
					t.Errorf("Move accepted %v", bad)
				}
			}
			table, err := f.live["n5"].Table()
			if err != nil || len(table.Holdings) != 2 || len(table.Voters) != 3 {
				t.Errorf("the table is %+v, %v", table, err)
			}
		},
		"a majority is lost and returns": func(t *testing.T, f *testFleet) {
			f.waitForHolder("ask", 20*time.Second)
			f.kill("n0")
			f.kill("n1")
			f.watch(testLease * 3)
			before := maps.Clone(f.holdCounts)
			f.watch(testLease * 3)
			if !maps.Equal(before, f.holdCounts) {
				t.Error("a duty is held without a majority of voters")
			}
			f.startNode("n0", false)
			f.waitForHolder("ask", 30*time.Second)
		},
		"each voter loses its disk in turn": func(t *testing.T, f *testFleet) {
			f.waitForHolder("ask", 20*time.Second)
			for _, name := range []string{"n0", "n1", "n2"} { // one after another, including the first
				f.kill(name)
				f.watch(3 * time.Second)
				f.startNode(name, true)
				f.watch(10 * time.Second)
			}
			f.waitForHolder("ask", 20*time.Second)
			table, err := f.live["n5"].Table()
			if err != nil || len(table.Voters) != 3 {
				t.Fatalf("voters %v, %v", table.Voters, err)
			}
			f.kill("n2") // the voters with new disks are a majority
			f.watch(5 * time.Second)
			f.waitForHolder("ask", 20*time.Second)
		},
		"all are killed and restart with their disks": func(t *testing.T, f *testFleet) {
			f.waitForHolder("ask", 20*time.Second)
			high := maps.Clone(f.maxToken)
			for name := range f.liveNodes() {
				f.kill(name)
			}
			for i := range 6 {
				f.startNode(fmt.Sprint("n", i), false)
			}
			f.waitForHolder("ask", 20*time.Second)
			f.watch(time.Second)
			if f.maxToken["ask"] <= high["ask"] {
				t.Errorf("token %d, before %d", f.maxToken["ask"], high["ask"])
			}
		},
		"writes to the voters' disks fail for a while": func(t *testing.T, f *testFleet) {
			f.waitForHolder("ask", 20*time.Second)
			for _, v := range voters {
				f.disks[v].mu.Lock()
				f.disks[v].failWrites = 30
				f.disks[v].mu.Unlock()
			}
			who, _ := f.waitForHolder("ask", 20*time.Second)
			f.kill(who)
			f.waitForHolder("ask", 40*time.Second)
		},
	} {
		t.Run(what, func(t *testing.T) { runFleet(t, 1, c) })
	}
}

// Random kills, stops, starts, lost disks, partitions and moves: no duty is ever held by two processes, tokens
// do not decrease, OnAcquired and OnLost alternate, and every duty is held again once the faults end.
func TestRandomFaults(t *testing.T) {
	var worst time.Duration
	looks := 0
	for seed := range *seedCount {
		runFleet(t, uint64(seed), func(t *testing.T, f *testFleet) {
			f.waitForHolder("ask", 30*time.Second)
			rng := rand.New(rand.NewPCG(uint64(seed), 2))
			lost := false
			for range 15 {
				name, other := fmt.Sprint("n", rng.IntN(6)), fmt.Sprint("n", rng.IntN(6))
				_, lives := f.live[name]
				switch k := rng.IntN(9); {
				case k < 2 && lives && len(f.live) > 3:
					f.kill(name)
				case k == 2 && lives && len(f.live) > 3:
					f.stop(name)
				case !lives:
					f.startNode(name, !lost && rng.IntN(4) == 0) // at most one lost disk: with two of three the majority is lost
					lost = lost || f.disks[name] != nil && len(f.disks[name].all) <= 1
				case k == 3:
					f.net.setCut(func(a, b string) bool { return a == name || b == name })
				case k == 4:
					f.net.setCut(func(a, b string) bool { return (a < name) != (b < name) })
				case k == 5:
					f.net.setCut(func(a, b string) bool { return a == name && b == other })
				case k == 6:
					_ = f.live[name].Move("ask", other) // the move may be refused now
				default:
					f.net.setCut(func(_, _ string) bool { return false })
				}
				f.watch(time.Duration(rng.IntN(6000)) * time.Millisecond)
			}
			f.net.setCut(func(_, _ string) bool { return false })
			for i := range 6 {
				if name := fmt.Sprint("n", i); f.live[name] == nil {
					f.startNode(name, false)
				}
			}
			for _, duty := range []string{"ask", "warden"} {
				_, took := f.waitForHolder(duty, 60*time.Second)
				worst = max(worst, took)
			}
			for _, n := range f.holdCounts {
				looks += n
			}
		})
	}
	t.Logf("%d runs, a duty seen held %d times: never twice, no token decreased; all held at most %v after the last fault", *seedCount, looks, worst)
}

// A fence admits no token lower than an earlier one, also in a later process, and no token that it could not
// store.
func TestFence(t *testing.T) {
	k := newMemStorage()
	f := &Fence{Storage: k}
	admit := func(f *Fence, token uint64, want bool) {
		t.Helper()
		if got, err := f.Admit("ask", token); got != want || err != nil {
			t.Errorf("token %d: %v, %v", token, got, err)
		}
	}
	admit(f, 7, true)
	admit(f, 7, true)
	admit(f, 6, false)
	admit(&Fence{Storage: k}, 6, false)
	admit(&Fence{Storage: k}, 7, true)
	k.failWrites = 1
	if ok, err := f.Admit("ask", 9); ok || err == nil {
		t.Error("a token is admitted that was not stored")
	}
	admit(f, 8, true)
	k.all[sectionFence]["ask"] = []byte("x")
	if ok, err := (&Fence{Storage: k}).Admit("ask", 9); ok || err == nil {
		t.Error("a damaged fence admits a token")
	}
}

// A configuration that can't be used and a stored log with a gap are refused.
func TestInvalidConfigAndLog(t *testing.T) {
	for want, c := range map[string]Config{
		"2 voters": {Voters: []string{"a", "b"}},
		"twice":    {Voters: []string{"a", "b", "a"}},
		"blank":    {Voters: []string{"a", "b", "c d"}},
		"duties":   {Voters: voters, Duties: make([]Duty, 65)},
		"lease":    {Voters: voters, Lease: time.Millisecond},
	} {
		if _, err := New(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	k := newMemStorage()
	if err := k.Put(sectionLog, "7", []byte(`{"Index":7}`)); err != nil {
		t.Fatal(err)
	}
	if err := k.Put(sectionLog, "9", []byte(`{"Index":9}`)); err != nil {
		t.Fatal(err)
	}
	if _, err := readRaftStorage(k); err == nil {
		t.Error("a log with a gap is accepted")
	}
}

// An entry is accepted only from the present holder, versions never decrease, and the digest of a version never
// changes. This must hold across changes of holders and leaders, lost disks of one voter at a time, and snapshots.
func TestEntriesAreDurableAndOrdered(t *testing.T) {
	last := Entry{Token: 5, Version: 7, Digest: "a"}
	for _, c := range []struct {
		what    string
		present uint64
		n, want Entry
		refused bool
	}{
		{"a higher version", 9, Entry{9, 8, "b"}, Entry{9, 8, "b"}, false},
		{"the same entry again", 9, Entry{9, 7, "a"}, last, false},
		{"the same version with another digest", 9, Entry{9, 7, "b"}, last, true},
		{"a lower version", 9, Entry{9, 6, "a"}, last, true},
		{"an earlier holder", 9, Entry{5, 8, "b"}, last, true},
		{"a token not assigned yet", 9, Entry{10, 8, "b"}, last, true},
		{"the duty has no holder", 0, Entry{0, 8, "b"}, last, true},
		{"no digest", 9, Entry{9, 8, ""}, last, true},
	} {
		if got, err := last.Apply(c.present, c.n); got != c.want || (err != nil) != c.refused {
			t.Errorf("%s: %+v, %v", c.what, got, err)
		}
	}
	runFleet(t, 1, func(t *testing.T, f *testFleet) {
		who, _ := f.waitForHolder("ask", 20*time.Second)
		token, _ := f.live[who].Holds("ask")
		old := f.live[who]
		commit := func(g *node, token, version uint64, digest string, refused bool) {
			t.Helper()
			err := g.CommitEntry("ask", token, version, digest)
			for tries := 0; err != nil && !errors.Is(err, ErrEntryRefused) && tries < 20; tries++ {
				f.watch(time.Second)
				err = g.CommitEntry("ask", token, version, digest)
			}
			if refused != errors.Is(err, ErrEntryRefused) || !refused && err != nil {
				t.Errorf("version %d, digest %s by token %d: %v", version, digest, token, err)
			}
		}
		wantEntry := func(want Entry) {
			t.Helper()
			for tries := 0; ; tries++ {
				e, err := f.live["n5"].LastEntry("ask")
				if err == nil && e == want {
					return
				}
				if err == nil || tries > 20 {
					t.Fatalf("last entry %+v, error %v; want %+v", e, err, want)
				}
				f.watch(time.Second)
			}
		}
		wantEntry(Entry{})
		commit(old, token, 3, "a", false)
		commit(old, token, 3, "a", false)
		commit(old, token, 3, "b", true)
		wantEntry(Entry{token, 3, "a"})
		to := "n4"
		if who == to {
			to = "n3"
		}
		if err := f.live["n5"].Move("ask", to); err != nil {
			t.Fatal(err)
		}
		for next := ""; next != to; next, _ = f.waitForHolder("ask", 20*time.Second) {
			f.watch(10 * time.Millisecond)
		}
		commit(old, token, 4, "c", true) // its lease has run out, and it acts without calling Holds
		high, _ := f.live[to].Holds("ask")
		for v := uint64(4); v < 150; v++ { // enough entries for a snapshot
			commit(f.live[to], high, v, "c", false)
		}
		f.watch(3 * time.Minute)                          // raft checks for a snapshot every one to two minutes
		for _, name := range []string{"n0", "n1", "n2"} { // each voter in turn loses its disk
			f.kill(name)
			f.watch(3 * time.Second)
			f.startNode(name, true)
			f.watch(10 * time.Second)
			wantEntry(Entry{high, 149, "c"})
		}
	})
}
