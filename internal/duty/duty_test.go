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

var seeds = flag.Int("seeds", 10, "runs of the test of random faults")

// mesh is a network in memory.
type mesh struct {
	mu    sync.Mutex
	rng   *rand.Rand
	ends  map[string]chan net.Conn // by process, incarnation aside, and kind
	cut   func(from, to string) bool
	conns map[net.Conn][2]string
}

func newMesh(seed uint64) *mesh {
	return &mesh{rng: rand.New(rand.NewPCG(seed, 1)), ends: make(map[string]chan net.Conn), cut: func(_, _ string) bool { return false }, conns: make(map[net.Conn][2]string)}
}

// set changes what is cut. Streams across a cut end.
func (m *mesh) set(cut func(from, to string) bool) {
	m.mu.Lock()
	m.cut = cut
	var bad []net.Conn
	for c, ends := range m.conns {
		if cut(ends[0], ends[1]) || cut(ends[1], ends[0]) {
			bad = append(bad, c)
			delete(m.conns, c)
		}
	}
	m.mu.Unlock()
	for _, c := range bad {
		c.Close()
	}
}

// wire is one process's end of a mesh.
type wire struct {
	m    *mesh
	name string
}

type listener struct {
	w     wire
	key   string
	ready chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (w wire) Listen(kind byte) net.Listener {
	l := &listener{w: w, key: w.name + string(kind), ready: make(chan net.Conn), done: make(chan struct{})}
	w.m.mu.Lock()
	defer w.m.mu.Unlock()
	w.m.ends[l.key] = l.ready
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.w.m.mu.Lock()
		defer l.w.m.mu.Unlock()
		if l.w.m.ends[l.key] == l.ready {
			delete(l.w.m.ends, l.key)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.key) }

func (w wire) Dial(name string, kind byte, timeout time.Duration) (net.Conn, error) {
	w.m.mu.Lock()
	end, cut := w.m.ends[name+string(kind)], w.m.cut(w.name, name) || w.m.cut(name, w.name)
	wait := time.Duration(w.m.rng.Int64N(int64(5 * time.Millisecond)))
	w.m.mu.Unlock()
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
	w.m.mu.Lock()
	defer w.m.mu.Unlock()
	w.m.conns[here] = [2]string{w.name, name}
	return here, nil
}

// memory is a Storage in memory: a disk that outlives processes.
type memory struct {
	mu   sync.Mutex
	all  map[string]map[string][]byte
	fail int // so many writes fail
}

func newMemory() *memory { return &memory{all: make(map[string]map[string][]byte)} }

func (k *memory) Get(section, key string) ([]byte, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v, ok := k.all[section][key]
	return v, ok
}

func (k *memory) All(section string) map[string][]byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.all[section])
}

func (k *memory) Put(section, key string, value []byte) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fail > 0 {
		k.fail--
		return errors.New("no space")
	}
	if k.all[section] == nil {
		k.all[section] = make(map[string][]byte)
	}
	k.all[section][key] = slices.Clone(value)
	return nil
}

func (k *memory) Delete(section, key string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.all[section], key)
	return nil
}

// node is a process.
type node struct {
	*Group
	stop  context.CancelFunc
	ended chan struct{}
}

// fleet is processes n0 to n5, of which the first three vote, with two duties: one of the fleet, one of zone a.
type fleet struct {
	t     *testing.T
	m     *mesh
	disks map[string]*memory
	live  map[string]*node
	rates map[string]float64 // of the clocks
	start uint64

	mu     sync.Mutex
	unfit  string            // nobody takes this one for fit
	begun  map[string]string // who was told to begin, and not to end, by duty and process
	high   map[string]uint64
	acts   map[string]int // how often duties were held when they were looked at, by holder
	broken []string
}

const lease = 2 * time.Second

func newFleet(t *testing.T, seed uint64) *fleet {
	return &fleet{
		t: t, m: newMesh(seed), disks: make(map[string]*memory), live: make(map[string]*node), rates: make(map[string]float64),
		begun: make(map[string]string), high: make(map[string]uint64), acts: make(map[string]int),
	}
}

var voters = []string{"n0", "n1", "n2"}

func (f *fleet) begin(name string, lost bool) *node {
	f.t.Helper()
	f.start++
	if f.disks[name] == nil || lost {
		f.disks[name] = newMemory()
	}
	began, rate := time.Now(), 1+f.rates[name]
	start := f.start
	c := Config{
		Name: name, Start: start, Voters: voters, Lease: lease, Duties: []Duty{{Name: "ask"}, {Name: "warden", Zone: "a"}},
		Transport: wire{f.m, name}, Storage: f.disks[name], Candidates: f.candidates, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Now:        func() time.Duration { return time.Hour + time.Duration(float64(time.Since(began))*rate) },
		OnAcquired: func(duty string, token uint64) { f.told(duty, name, true, token) },
		OnLost:     func(duty string) { f.told(duty, name, false, 0) },
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

// told checks that a process is told to begin and to end in turn.
func (f *fleet) told(duty, name string, begin bool, token uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, had := f.begun[duty+name]
	if begin == had {
		f.broken = append(f.broken, fmt.Sprintf("%s is told of %s: begin %v, though it had begun %v", name, duty, begin, had))
	}
	if begin {
		f.begun[duty+name] = name
	} else {
		delete(f.begun, duty+name)
	}
}

func (f *fleet) candidates() (all []Candidate) {
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

// stop ends a process as a planned stop does; kill ends it with its streams, and what it holds not given up.
func (f *fleet) stop(name string) {
	n := f.live[name]
	f.forget(name)
	n.stop()
	f.await(n)
}

// await watches until a process has ended.
func (f *fleet) await(n *node) {
	for {
		select {
		case <-n.ended:
			return
		default:
			f.watch(10 * time.Millisecond)
		}
	}
}

func (f *fleet) forget(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.live, name)
}

func (f *fleet) kill(name string) {
	n := f.live[name]
	f.forget(name)
	f.m.mu.Lock()
	was := f.m.cut
	f.m.mu.Unlock()
	f.m.set(func(a, b string) bool { return a == name || b == name || was(a, b) }) // so that its last words are not heard
	n.stop()
	f.await(n)
	f.m.set(was)
}

// watch looks for so long, every few ms, at who holds what: never two at once, and tokens only grow.
func (f *fleet) watch(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(7 * time.Millisecond) {
		for _, duty := range []string{"ask", "warden"} {
			holder := ""
			for name, n := range f.all() {
				token, yes := n.Holds(duty)
				if !yes {
					continue
				}
				f.mu.Lock()
				if holder != "" {
					f.broken = append(f.broken, fmt.Sprintf("%s is held by %s and %s", duty, holder, name))
				}
				if token < f.high[duty] {
					f.broken = append(f.broken, fmt.Sprintf("%s has token %d, after %d", duty, token, f.high[duty]))
				}
				f.high[duty] = token
				f.acts[duty+" "+name]++
				f.mu.Unlock()
				holder = name
			}
		}
	}
}

func (f *fleet) all() map[string]*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.live)
}

// holder waits until a duty is held, and says by whom and how long that took.
func (f *fleet) holder(duty string, within time.Duration) (string, time.Duration) {
	f.t.Helper()
	for began := time.Now(); time.Since(began) < within; f.watch(10 * time.Millisecond) {
		for name, n := range f.all() {
			if _, yes := n.Holds(duty); yes {
				return name, time.Since(began)
			}
		}
	}
	f.t.Fatalf("nobody holds %s after %v", duty, within)
	return "", 0
}

func (f *fleet) end() {
	f.m.set(func(_, _ string) bool { return false })
	for name := range f.all() {
		f.stop(name)
	}
	f.m.set(func(_, _ string) bool { return true }) // pooled streams end
	time.Sleep(10 * time.Second)
	for _, b := range f.broken[:min(5, len(f.broken))] {
		f.t.Error(b)
	}
}

// play plays something with a fleet of six.
func play(t *testing.T, seed uint64, what func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed)
		defer f.end()
		for i := range 6 {
			name := fmt.Sprint("n", i)
			f.rates[name] = (f.m.rng.Float64() - 0.5) * drift // clocks that differ
			f.begin(name, false)
		}
		what(t, f)
	})
}

func TestHardCases(t *testing.T) {
	for what, c := range map[string]func(t *testing.T, f *fleet){
		"a holder is killed": func(t *testing.T, f *fleet) {
			for range 4 {
				who, _ := f.holder("ask", 20*time.Second)
				voter := slices.Contains(voters, who)
				f.kill(who)
				next, took := f.holder("ask", 20*time.Second)
				t.Logf("%s (voter %v) is killed: %s has it after %v", who, voter, next, took)
				if next == who || took > lease*2+3*time.Second {
					t.Errorf("%s has it after %v", next, took)
				}
				f.begin(who, false)
				f.watch(5 * time.Second)
			}
		},
		"a planned stop": func(t *testing.T, f *fleet) {
			who, _ := f.holder("ask", 20*time.Second)
			f.watch(3 * time.Second)
			f.stop(who)
			next, took := f.holder("ask", 20*time.Second)
			if took > lease && !slices.Contains(voters, who) {
				t.Errorf("%s has it after %v", next, took)
			}
			t.Logf("%s stops: %s has it after %v", who, next, took)
		},
		"a holder is cut off": func(t *testing.T, f *fleet) {
			who, _ := f.holder("warden", 20*time.Second)
			f.m.set(func(a, b string) bool { return a == who || b == who })
			f.unfit = who
			began := time.Now()
			next := who
			for next == who || next == "" {
				f.watch(10 * time.Millisecond)
				next = ""
				for name, n := range f.all() {
					if _, yes := n.Holds("warden"); yes {
						next = name
					}
				}
				if time.Since(began) > 20*time.Second {
					t.Fatal("nobody else has it")
				}
			}
			t.Logf("%s is cut off: %s has it after %v", who, next, time.Since(began))
		},
		"moved by hand": func(t *testing.T, f *fleet) {
			who, _ := f.holder("ask", 20*time.Second)
			to := "n4"
			if who == to {
				to = "n5"
			}
			if err := f.live["n3"].Move("ask", to); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			for next := who; next != to; next, _ = f.holder("ask", 5*time.Second) {
				f.watch(10 * time.Millisecond)
			}
			if took := time.Since(began); took > lease/2 {
				t.Errorf("it took %v", took)
			}
			for _, bad := range [][2]string{{"nothing", ""}, {"ask", "n9"}, {"warden", "n1"}} { // n1 is of zone b
				if f.live["n3"].Move(bad[0], bad[1]) == nil {
					t.Errorf("moved: %v", bad)
				}
			}
			table, err := f.live["n5"].Table()
			if err != nil || len(table.Holdings) != 2 || len(table.Voters) != 3 {
				t.Errorf("the table is %+v, %v", table, err)
			}
		},
		"a majority is lost, and comes back": func(t *testing.T, f *fleet) {
			f.holder("ask", 20*time.Second)
			f.kill("n0")
			f.kill("n1")
			f.watch(lease * 3)
			before := maps.Clone(f.acts)
			f.watch(lease * 3)
			if !maps.Equal(before, f.acts) {
				t.Error("something is held with no majority")
			}
			f.begin("n0", false)
			f.holder("ask", 30*time.Second)
		},
		"one voter loses its disk": func(t *testing.T, f *fleet) {
			f.holder("ask", 20*time.Second)
			for _, name := range []string{"n0", "n1", "n2"} { // one after another, the first too
				f.kill(name)
				f.watch(3 * time.Second)
				f.begin(name, true)
				f.watch(10 * time.Second)
			}
			f.holder("ask", 20*time.Second)
			table, err := f.live["n5"].Table()
			if err != nil || len(table.Voters) != 3 {
				t.Fatalf("voters %v, %v", table.Voters, err)
			}
			f.kill("n2") // the new ones are a majority
			f.watch(5 * time.Second)
			f.holder("ask", 20*time.Second)
		},
		"all stop and start with their disks": func(t *testing.T, f *fleet) {
			f.holder("ask", 20*time.Second)
			high := maps.Clone(f.high)
			for name := range f.all() {
				f.kill(name)
			}
			for i := range 6 {
				f.begin(fmt.Sprint("n", i), false)
			}
			f.holder("ask", 20*time.Second)
			f.watch(time.Second)
			if f.high["ask"] <= high["ask"] {
				t.Errorf("token %d, before %d", f.high["ask"], high["ask"])
			}
		},
		"a disk fails for a while": func(t *testing.T, f *fleet) {
			f.holder("ask", 20*time.Second)
			for _, v := range voters {
				f.disks[v].mu.Lock()
				f.disks[v].fail = 30
				f.disks[v].mu.Unlock()
			}
			who, _ := f.holder("ask", 20*time.Second)
			f.kill(who)
			f.holder("ask", 40*time.Second)
		},
	} {
		t.Run(what, func(t *testing.T) { play(t, 1, c) })
	}
}

// Random faults: kills, stops, starts, lost disks, cuts of any kind, moves. At no moment two hold one duty, tokens only grow, whoever is
// told to begin is told to end, and once the faults end every duty is held.
func TestRandomFaults(t *testing.T) {
	var worst time.Duration
	acts := 0
	for seed := range *seeds {
		play(t, uint64(seed), func(t *testing.T, f *fleet) {
			f.holder("ask", 30*time.Second)
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
					f.begin(name, !lost && rng.IntN(4) == 0) // one lost disk at most: two of three are a lost majority
					lost = lost || f.disks[name] != nil && len(f.disks[name].all) <= 1
				case k == 3:
					f.m.set(func(a, b string) bool { return a == name || b == name })
				case k == 4:
					f.m.set(func(a, b string) bool { return (a < name) != (b < name) })
				case k == 5:
					f.m.set(func(a, b string) bool { return a == name && b == other })
				case k == 6:
					_ = f.live[name].Move("ask", other) // it may not be had now
				default:
					f.m.set(func(_, _ string) bool { return false })
				}
				f.watch(time.Duration(rng.IntN(6000)) * time.Millisecond)
			}
			f.m.set(func(_, _ string) bool { return false })
			for i := range 6 {
				if name := fmt.Sprint("n", i); f.live[name] == nil {
					f.begin(name, false)
				}
			}
			for _, duty := range []string{"ask", "warden"} {
				_, took := f.holder(duty, 60*time.Second)
				worst = max(worst, took)
			}
			for _, n := range f.acts {
				acts += n
			}
		})
	}
	t.Logf("%d runs, %d looks at a held duty: never two, tokens only grow; all held %v after the last fault at the most", *seeds, acts, worst)
}

// A fence passes no token that is lower than one before it, also in a later process; and none that it could not keep.
func TestFence(t *testing.T) {
	k := newMemory()
	f := &Fence{Storage: k}
	pass := func(f *Fence, token uint64, want bool) {
		t.Helper()
		if got, err := f.Admit("ask", token); got != want || err != nil {
			t.Errorf("token %d: %v, %v", token, got, err)
		}
	}
	pass(f, 7, true)
	pass(f, 7, true)
	pass(f, 6, false)
	pass(&Fence{Storage: k}, 6, false)
	pass(&Fence{Storage: k}, 7, true)
	k.fail = 1
	if ok, err := f.Admit("ask", 9); ok || err == nil {
		t.Error("a token passes that is not kept")
	}
	pass(f, 8, true)
	k.all[sectionFence]["ask"] = []byte("x")
	if ok, err := (&Fence{Storage: k}).Admit("ask", 9); ok || err == nil {
		t.Error("a damaged fence passes a token")
	}
}

func TestUnusable(t *testing.T) {
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
	k := newMemory()
	if err := k.Put(sectionLog, "7", []byte(`{"Index":7}`)); err != nil {
		t.Fatal(err)
	}
	if err := k.Put(sectionLog, "9", []byte(`{"Index":9}`)); err != nil {
		t.Fatal(err)
	}
	if _, err := readDisk(k); err == nil {
		t.Error("a log with a gap is read")
	}
}

// An entry is taken from the present holder alone, its version never goes back, and one version has one digest; that outlives holders,
// leaders, their disks one at a time, and snapshots.
func TestEntries(t *testing.T) {
	last := Entry{Token: 5, Version: 7, Digest: "a"}
	for _, c := range []struct {
		what    string
		present uint64
		n, want Entry
		refused bool
	}{
		{"a higher version", 9, Entry{9, 8, "b"}, Entry{9, 8, "b"}, false},
		{"the same again", 9, Entry{9, 7, "a"}, last, false},
		{"one version, another digest", 9, Entry{9, 7, "b"}, last, true},
		{"a lower version", 9, Entry{9, 6, "a"}, last, true},
		{"an earlier holder", 9, Entry{5, 8, "b"}, last, true},
		{"a token that nobody has yet", 9, Entry{10, 8, "b"}, last, true},
		{"nobody holds the duty", 0, Entry{0, 8, "b"}, last, true},
		{"no digest", 9, Entry{9, 8, ""}, last, true},
	} {
		if got, err := last.Apply(c.present, c.n); got != c.want || (err != nil) != c.refused {
			t.Errorf("%s: %+v, %v", c.what, got, err)
		}
	}
	play(t, 1, func(t *testing.T, f *fleet) {
		who, _ := f.holder("ask", 20*time.Second)
		token, _ := f.live[who].Holds("ask")
		old := f.live[who]
		enter := func(g *node, token, version uint64, digest string, refused bool) {
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
		stands := func(want Entry) {
			t.Helper()
			for tries := 0; ; tries++ {
				e, err := f.live["n5"].LastEntry("ask")
				if err == nil && e == want {
					return
				}
				if err == nil || tries > 20 {
					t.Fatalf("entered: %+v, %v; not %+v", e, err, want)
				}
				f.watch(time.Second)
			}
		}
		stands(Entry{})
		enter(old, token, 3, "a", false)
		enter(old, token, 3, "a", false)
		enter(old, token, 3, "b", true)
		stands(Entry{token, 3, "a"})
		to := "n4"
		if who == to {
			to = "n3"
		}
		if err := f.live["n5"].Move("ask", to); err != nil {
			t.Fatal(err)
		}
		for next := ""; next != to; next, _ = f.holder("ask", 20*time.Second) {
			f.watch(10 * time.Millisecond)
		}
		enter(old, token, 4, "c", true) // its lease is over, and it does not look
		high, _ := f.live[to].Holds("ask")
		for v := uint64(4); v < 150; v++ { // past a snapshot
			enter(f.live[to], high, v, "c", false)
		}
		f.watch(3 * time.Minute)                          // the library looks once in one to two minutes
		for _, name := range []string{"n0", "n1", "n2"} { // each voter is lost with its disk, in turn
			f.kill(name)
			f.watch(3 * time.Second)
			f.begin(name, true)
			f.watch(10 * time.Second)
			stands(Entry{high, 149, "c"})
		}
	})
}
