package store

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// disk is a file system in memory that can lose its power: it remembers every operation, and makes of those up to any
// point every state that a real disk may be left in. What was not synced may be there or not, each write for itself
// and torn at the ends of sectors; so may names, until their folder was synced.
type disk struct {
	mu    sync.Mutex
	names map[string]*node
	ops   []op
	fail  func(kind string) error // nil: nothing fails

	noSync, noSyncDir bool // a disk that lies: the checks have to find it out
}

type node struct{ data []byte }

type op struct {
	kind     string // create, write, sync, rename, remove, syncdir
	node     *node
	path, to string
	at       int64
	data     []byte
}

func newDisk() *disk { return &disk{names: make(map[string]*node)} }

func (d *disk) do(o op) error {
	if d.fail != nil {
		if err := d.fail(o.kind); err != nil {
			return err
		}
	}
	if o.kind == "sync" && d.noSync || o.kind == "syncdir" && d.noSyncDir {
		return nil
	}
	d.ops = append(d.ops, o)
	return nil
}

func (d *disk) List(dir string) (names []string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for path := range d.names {
		names = append(names, filepath.Base(path))
	}
	slices.Sort(names)
	return names, nil
}

func (d *disk) Read(path string, limit int) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.names[path]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return bytes.Clone(n.data), nil
}

func (d *disk) Create(path string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.names[path] != nil {
		return nil, fs.ErrExist
	}
	n := new(node)
	if err := d.do(op{kind: "create", node: n, path: path}); err != nil {
		return nil, err
	}
	d.names[path] = n
	return &handle{d, n}, nil
}

func (d *disk) Open(path string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.names[path] == nil {
		return nil, fs.ErrNotExist
	}
	return &handle{d, d.names[path]}, nil
}

func (d *disk) SameFile(path string, f File) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.names[path] == f.(*handle).n
}

func (d *disk) ChangeStamp(path string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.names[path] == nil {
		return ""
	}
	return fmt.Sprintf("%x", d.names[path].data)
}

func (d *disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.names[from] == nil {
		return fs.ErrNotExist
	}
	if err := d.do(op{kind: "rename", path: from, to: to}); err != nil {
		return err
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *disk) Remove(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.names[path] == nil {
		return fs.ErrNotExist
	}
	if err := d.do(op{kind: "remove", path: path}); err != nil {
		return err
	}
	delete(d.names, path)
	return nil
}

func (d *disk) SyncDir(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.do(op{kind: "syncdir"})
}

type handle struct {
	d *disk
	n *node
}

func (h *handle) WriteAt(p []byte, at int64) (int, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if err := h.d.do(op{kind: "write", node: h.n, at: at, data: bytes.Clone(p)}); err != nil {
		return 0, err
	}
	h.n.data = over(h.n.data, p, at)
	return len(p), nil
}

func (h *handle) Sync() error {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	return h.d.do(op{kind: "sync", node: h.n})
}

func (h *handle) Close() error { return nil }

func over(data, p []byte, at int64) []byte {
	if need := int(at) + len(p); need > len(data) {
		data = append(data, make([]byte, need-len(data))...)
	}
	copy(data[at:], p)
	return data
}

// after is the disk as it may be left when the power goes after so many operations; choose says of each thing that
// was not durable whether it is there all the same.
func (d *disk) after(cut int, choose func() bool) *disk {
	left := newDisk()
	synced, syncedDir := make(map[*node]int), -1
	for i, o := range d.ops[:cut] {
		switch o.kind {
		case "sync":
			synced[o.node] = i
		case "syncdir":
			syncedDir = i
		}
	}
	copies := make(map[*node]*node)
	of := func(n *node) *node {
		if copies[n] == nil {
			copies[n] = new(node)
		}
		return copies[n]
	}
	for i, o := range d.ops[:cut] {
		switch o.kind {
		case "write":
			n := of(o.node)
			last, durable := synced[o.node]
			if durable && i < last {
				n.data = over(n.data, o.data, o.at)
				continue
			}
			for from := 0; from < len(o.data); { // sector by sector
				to := min(len(o.data), from+sector-int((o.at+int64(from))%sector))
				if choose() {
					n.data = over(n.data, o.data[from:to], o.at+int64(from))
				}
				from = to
			}
		case "create", "rename", "remove":
			if i > syncedDir && !choose() {
				continue
			}
			switch {
			case o.kind == "create":
				left.names[o.path] = of(o.node)
			case o.kind == "remove":
				delete(left.names, o.path)
			case left.names[o.path] != nil:
				left.names[o.to] = left.names[o.path]
				delete(left.names, o.path)
			}
		}
	}
	return left
}

const dir = "d"

// world is a workload with what it was promised.
type world struct {
	t     testing.TB
	d     *disk
	now   time.Time
	rng   *rand.Rand
	said  map[string][]string       // all values that a key was given, in order; "" is its deletion
	last  map[*Store]map[string]int // place of the last one that a store was given or found when it was opened
	acked []promise
}

// promise is that from an operation on, a key has at least that value.
type promise struct {
	op    int
	key   string
	place int // in said
}

func (w *world) open(alone bool) *Store {
	s, err := Open(Options{FS: w.d, Dir: dir, MaxBytes: 16 << 10, Now: func() time.Time { return w.now }, SoleWriter: func() bool { return alone }})
	if err != nil && w.d.fail == nil {
		w.t.Fatal(err)
	}
	w.last[s] = make(map[string]int)
	for key, all := range w.said {
		w.last[s][key] = len(all) - 1
	}
	return s
}

// say enters a value that a store is about to be given.
func (w *world) say(s *Store, key, value string) {
	w.said[key] = append(w.said[key], value)
	w.last[s][key] = len(w.said[key]) - 1
}

// step does something to a store at random.
func (w *world) step(s *Store) {
	w.now = w.now.Add(time.Duration(w.rng.IntN(20_000)) * time.Millisecond)
	key := fmt.Sprint("k", w.rng.IntN(6))
	value := fmt.Sprintf("%s=%d%s", key, len(w.said[key]), strings.Repeat(".", w.rng.IntN(700)))
	var err error
	switch w.rng.IntN(10) {
	case 0:
		w.say(s, key, "")
		err = s.Delete("calls", key)
	case 1, 2:
		w.say(s, key, value)
		_ = s.PutUnsynced("calls", key, []byte(value))
		return
	case 3:
		if s.Sync() == nil {
			for key, place := range w.last[s] {
				w.acked = append(w.acked, promise{len(w.d.ops), key, place})
			}
		}
		return
	default:
		w.say(s, key, value)
		err = s.Put("calls", key, []byte(value))
	}
	if err == nil {
		w.acked = append(w.acked, promise{len(w.d.ops), key, len(w.said[key]) - 1})
	}
}

// check opens what a loss of power has left, and returns what is wrong with it.
func (w *world) check(left *disk, cut int) error {
	s, err := Open(Options{FS: left, Dir: dir, MaxBytes: 16 << 10, Now: func() time.Time { return w.now }, SoleWriter: func() bool { return true }})
	if err != nil {
		return err
	}
	if bad := s.Damage().Findings; len(bad) > 0 {
		return fmt.Errorf("a loss of power is taken for damage: %v", bad)
	}
	least := make(map[string]int)
	for _, p := range w.acked {
		if p.op <= cut {
			least[p.key] = max(least[p.key], p.place+1)
		}
	}
	for key, all := range w.said {
		got := ""
		if e, ok := s.Get("calls", key); ok {
			got = string(e.Value)
		}
		at := -1
		for i, v := range all {
			if v == got {
				at = max(at, i)
			}
		}
		switch n := least[key]; {
		case at < 0 && got != "":
			return fmt.Errorf("%s is %q, which nobody said", key, got)
		case n > 0 && at < n-1:
			return fmt.Errorf("%s is value %d, though %d was acknowledged", key, at, n-1)
		}
	}
	if n := len(s.All("calls")); n > len(w.said) {
		return fmt.Errorf("%d keys, %d were given", n, len(w.said))
	}
	return nil
}

// workload plays processes one after another, and beside each other as in an upgrade.
func workload(t testing.TB, d *disk, seed uint64) *world {
	w := &world{t: t, d: d, now: time.UnixMilli(1_800_000_000_000), rng: rand.New(rand.NewPCG(seed, 1)), said: make(map[string][]string), last: make(map[*Store]map[string]int)}
	s := w.open(true)
	for range 3 {
		for range 30 {
			w.step(s)
		}
		switch w.rng.IntN(3) {
		case 0: // it ends, and another begins
			_ = s.Close()
			s = w.open(true)
		case 1: // it is killed
			s = w.open(true)
		case 2: // an upgrade: both are at work, and each is told of the other's calls
			next := w.open(false)
			for range 10 {
				one, other := s, next
				if w.rng.IntN(2) == 0 {
					one, other = next, s
				}
				w.step(one)
				if _, err := other.Refresh(); err != nil {
					t.Fatal(err)
				}
			}
			_ = s.Close()
			s = next
		}
	}
	return w
}

// lose plays every cut of a workload with some of the states that each may leave, and returns how many those were, and
// what the first wrong one is.
func lose(t testing.TB, d *disk, seed uint64, each int) (states int, err error) {
	w := workload(t, d, seed)
	rng := rand.New(rand.NewPCG(seed, 2))
	for cut := 0; cut <= len(w.d.ops); cut++ {
		for i := range each {
			choose := func() bool { return rng.IntN(2) == 0 }
			switch i {
			case 0:
				choose = func() bool { return false }
			case 1:
				choose = func() bool { return true }
			}
			states++
			if err := w.check(w.d.after(cut, choose), cut); err != nil {
				return states, fmt.Errorf("seed %d, power lost after operation %d of %d, state %d: %w", seed, cut, len(w.d.ops), i, err)
			}
		}
	}
	return states, nil
}

func TestEveryLossOfPower(t *testing.T) {
	states := 0
	for seed := range uint64(12) {
		n, err := lose(t, newDisk(), seed, 8)
		states += n
		if err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%d states", states)
	if states < 5000 {
		t.Errorf("%d states are few", states)
	}
}

// The test above finds a disk that does not sync, and a folder that is not synced.
func TestLossOfPowerIsFoundOut(t *testing.T) {
	for what, lie := range map[string]func(*disk){"sync": func(d *disk) { d.noSync = true }, "syncdir": func(d *disk) { d.noSyncDir = true }} {
		found := false
		for seed := range uint64(12) {
			d := newDisk()
			lie(d)
			_, err := lose(t, d, seed, 8)
			found = found || err != nil
		}
		if !found {
			t.Errorf("without %s nothing is lost: the check can't fail", what)
		}
	}
}

// Disks that fail: what Put returned nil for is there, whichever operation fails, once or from then on.
func TestFailingDisks(t *testing.T) {
	errDisk := errors.New("no space left")
	tried := 0
	for _, kind := range []string{"create", "write", "sync", "rename", "syncdir", "remove"} {
		for _, forGood := range []bool{false, true} {
			for at := range 25 {
				d, n := newDisk(), 0
				d.fail = func(k string) error {
					if k != kind {
						return nil
					}
					n++
					if n-1 == at*3 || forGood && n-1 > at*3 {
						return errDisk
					}
					return nil
				}
				w := workload(t, d, uint64(at))
				tried++
				for range 4 { // and then the power goes
					rng := rand.New(rand.NewPCG(uint64(at), 3))
					if err := w.check(d.after(len(d.ops), func() bool { return rng.IntN(2) == 0 }), len(d.ops)); err != nil {
						t.Fatalf("%s fails at %d, for good %v: %v", kind, at*3, forGood, err)
					}
				}
			}
		}
	}
	t.Logf("%d workloads", tried)
}

// sound is a disk with a folder of some size, in two files, and what it holds.
func sound(t testing.TB) (*disk, map[string]string) {
	t.Helper()
	d, want := newDisk(), make(map[string]string)
	now := time.UnixMilli(1_800_000_000_000)
	open := func() *Store {
		s, err := Open(Options{FS: d, Dir: dir, Now: func() time.Time { return now }, SoleWriter: func() bool { return true }})
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	s := open()
	for i := range 20 {
		key, value := fmt.Sprintf("s-%04x", i), fmt.Sprintf(`{"out":%v}`, i%3 == 0)
		want[key] = value
		if err := s.Put("calls", key, []byte(value)); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = open()
	want["s-0000"] = "changed"
	if err := errors.Join(s.Put("calls", "s-0000", []byte("changed")), s.Close()); err != nil {
		t.Fatal(err)
	}
	return d, want
}

// hurt opens a damaged folder and says what is wrong: damage that nobody is told of, or a value that nobody gave; and,
// as a whole, whether the next process is told too, until an operator confirms.
func hurt(d *disk, want map[string]string, whole bool) error {
	s, err := Open(Options{FS: d, Dir: dir, SoleWriter: func() bool { return true }})
	if err != nil && !strings.Contains(err.Error(), errForm.Error()) {
		return err
	}
	for key, e := range s.All("calls") {
		if v := string(e.Value); v != want[key] && !(key == "s-0000" && v == `{"out":true}`) {
			return fmt.Errorf("%s is %q", key, v)
		}
	}
	if len(s.Damage().Findings) == 0 && err == nil {
		return errors.New("nobody is told of it")
	}
	if !whole {
		return nil
	}
	again, err := Open(Options{FS: d, Dir: dir, SoleWriter: func() bool { return true }})
	if err == nil && len(s.Damage().Findings) > 0 && len(again.Damage().Findings) == 0 {
		return errors.New("the next process is not told of it")
	}
	if err := again.ConfirmState(); err != nil {
		return err
	}
	if last, err := Open(Options{FS: d, Dir: dir, SoleWriter: func() bool { return true }}); err != nil || len(last.Damage().Findings) > 0 {
		return fmt.Errorf("it goes on after it was confirmed: %v, error %w", last.Damage().Findings, err)
	}
	return nil
}

func (d *disk) clone() *disk {
	c := newDisk()
	for path, n := range d.names {
		c.names[path] = &node{bytes.Clone(n.data)}
	}
	return c
}

// Every single flipped bit, every truncation and the loss of each file is found, and no wrong value is ever read.
func TestEveryDamageIsFound(t *testing.T) {
	d, want := sound(t)
	flips, cuts := 0, 0
	for _, path := range slices.Sorted(maps.Keys(d.names)) {
		size := len(d.names[path].data)
		for bit := range size * 8 {
			c := d.clone()
			c.names[path].data[bit/8] ^= 1 << (bit % 8)
			if err := hurt(c, want, bit%32 == 0); err != nil {
				t.Fatalf("%s, bit %d of byte %d: %v", path, bit%8, bit/8, err)
			}
			flips++
		}
		for length := range size {
			c := d.clone()
			c.names[path].data = c.names[path].data[:length]
			if err := hurt(c, want, true); err != nil {
				t.Fatalf("%s, cut at %d: %v", path, length, err)
			}
			cuts++
		}
	}
	c := d.clone() // the younger file is gone
	delete(c.names, slices.Max(slices.Collect(maps.Keys(c.names))))
	if err := hurt(c, want, true); err != nil {
		t.Errorf("the younger file removed: %v", err)
	}
	t.Logf("%d flips, %d truncations", flips, cuts)

	checksum := sum32
	defer func() { sum32 = checksum }()
	sum32 = func(uint32, []byte) uint32 { return 0 } // and without the checksum the test fails
	d, want = sound(t)
	found := false
	for path := range d.names {
		for bit := range len(d.names[path].data) * 8 {
			c := d.clone()
			c.names[path].data[bit/8] ^= 1 << (bit % 8)
			if found = hurt(c, want, false) != nil; found {
				return
			}
		}
	}
	t.Error("without a checksum all is found all the same: the check can't fail")
}

func FuzzDecode(f *testing.F) {
	d, _ := sound(f)
	for path, n := range d.names {
		f.Add(filepath.Base(path), n.data)
	}
	f.Fuzz(func(t *testing.T, name string, raw []byte) {
		c, err := decode(name, raw)
		if err == nil && c.damage == "" && uint64(c.end) < c.slot.length {
			t.Errorf("%d of %d committed bytes are sound, and no damage is told", c.end, c.slot.length)
		}
	})
}

// On a real disk: two processes, a folder that is removed at work, one that can't be written, a newer program's file.
func TestRealDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	open := func(alone bool) *Store {
		t.Helper()
		s, err := Open(Options{Dir: path, SoleWriter: func() bool { return alone }})
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	want := func(s *Store, key, value string) {
		t.Helper()
		if e, ok := s.Get("calls", key); string(e.Value) != value || ok != (value != "") {
			t.Errorf("%s is %q, want %q", key, e.Value, value)
		}
	}
	a := open(true)
	b := open(false)
	if a.ProcessNumber() >= b.ProcessNumber() {
		t.Errorf("numbers %d and %d", a.ProcessNumber(), b.ProcessNumber())
	}
	if err := errors.Join(a.Put("calls", "x", []byte("1")), b.Put("calls", "y", []byte("2"))); err != nil {
		t.Fatal(err)
	}
	for _, s := range []*Store{a, b} {
		if news, err := s.Refresh(); !news || err != nil {
			t.Errorf("news %v, error %v", news, err)
		}
		if news, _ := s.Refresh(); news {
			t.Error("the same news twice")
		}
		want(s, "x", "1")
		want(s, "y", "2")
	}
	if err := b.Delete("calls", "x"); err != nil {
		t.Fatal(err)
	}
	_, _ = a.Refresh()
	want(a, "x", "")
	if err := os.RemoveAll(path); err != nil {
		t.Fatal(err)
	}
	if err := a.Put("calls", "z", []byte("3")); err != nil { // the folder is made again, with all that holds
		t.Fatal(err)
	}
	_ = a.Close()
	_ = b.Close()
	c := open(true)
	want(c, "y", "2")
	want(c, "z", "3")
	for i := range 5000 { // a storm of calls stays within its bounds
		if err := c.PutUnsynced("calls", "w", []byte(strings.Repeat("x", 200+i%2))); err != nil {
			t.Fatal(err)
		}
	}
	_ = c.Close()
	files, _ := os.ReadDir(path)
	total := int64(0)
	for _, f := range files {
		info, err := f.Info()
		if err != nil {
			t.Fatal(err)
		}
		total += info.Size()
	}
	if len(files) > 2 || total > limit {
		t.Errorf("%d files of %d bytes in all", len(files), total)
	}
	newer := ref{1 << 62, 0}
	head := headOf(newer)
	order.PutUint64(head[8:], form+1)
	raw := append(seal(head), make([]byte, 2*sector)...)
	if err := os.WriteFile(filepath.Join(path, newer.name()), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	d, err := Open(Options{Dir: path, SoleWriter: func() bool { return true }})
	if !errors.Is(err, errForm) {
		t.Errorf("a newer program's file: error %v", err)
	}
	want(d, "y", "2")
	if got, err := os.ReadFile(filepath.Join(path, newer.name())); err != nil || !bytes.Equal(got, raw) {
		t.Errorf("the newer program's file was touched, error %v", err)
	}
	in, err := Inspect(OS{}, path)
	if err != nil || len(in.Values) != 3 || len(in.Unreadable) != 1 || len(in.Damage) != 0 {
		t.Errorf("inspected: %+v, error %v", in, err)
	}
}

// The time to open goes by what holds, not by what was ever put.
func BenchmarkOpen(b *testing.B) {
	for _, records := range []int{10, 1000, 50_000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			path := b.TempDir()
			s, err := Open(Options{Dir: path, MaxBytes: 16 << 20, SoleWriter: func() bool { return true }})
			if err != nil {
				b.Fatal(err)
			}
			for i := range records {
				if err := s.PutUnsynced("calls", fmt.Sprint(i), []byte(`{"out":true,"atMs":1800000000000}`)); err != nil {
					b.Fatal(err)
				}
			}
			if err := s.Close(); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				s, err := Open(Options{Dir: path, MaxBytes: 16 << 20, SoleWriter: func() bool { return true }})
				if err != nil {
					b.Fatal(err)
				}
				_ = s.Close()
			}
		})
	}
}

func BenchmarkPut(b *testing.B) {
	s, err := Open(Options{Dir: b.TempDir(), SoleWriter: func() bool { return true }})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := s.Put("calls", "x", []byte(`{"out":true,"atMs":1800000000000}`)); err != nil {
			b.Fatal(err)
		}
	}
}

// slowDisk is a disk whose syncs wait until it is let go.
type slowDisk struct {
	OS
	held chan struct{}
}

func (d slowDisk) SyncDir(dir string) error { <-d.held; return d.OS.SyncDir(dir) }

// Reading never waits for a disk: values, damage and size are told while a sync hangs.
func TestReadingDoesNotWaitForADisk(t *testing.T) {
	d := slowDisk{held: make(chan struct{}, 4)}
	d.held <- struct{}{}
	d.held <- struct{}{}
	s, err := Open(Options{FS: d, Dir: t.TempDir(), MaxBytes: 8 << 10})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Put("calls", "x", make([]byte, 2<<10)); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Put("calls", "x", make([]byte, 2<<10+1)) }() // it needs a new file, and that a sync
	for e, _ := s.Get("calls", "x"); len(e.Value) == 2<<10; e, _ = s.Get("calls", "x") {
		time.Sleep(time.Millisecond)
	}
	if s.CommittedSize() == 0 || len(s.All("calls")) != 1 || len(s.Damage().Findings) != 0 {
		t.Errorf("size %d, %d values", s.CommittedSize(), len(s.All("calls")))
	}
	if len(done) > 0 {
		t.Error("the disk did not hang")
	}
	close(d.held)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// unreadable is a disk whose folders can't be listed, and files not be read, a number of times.
type unreadable struct {
	OS
	lists, reads int
}

func (d *unreadable) List(dir string) ([]string, error) {
	if d.lists > 0 {
		d.lists--
		return nil, syscall.EIO
	}
	return d.OS.List(dir)
}

func (d *unreadable) Read(path string, limit int) ([]byte, error) {
	if d.reads > 0 {
		d.reads--
		return nil, syscall.EIO
	}
	return d.OS.Read(path, limit)
}

// What was kept is found by a process that can't read the folder when it begins, however long that goes on: at once, or
// when it looks again. Until then it removes nothing, and it goes into the next process's hands.
func TestFolderThatCannotBeRead(t *testing.T) {
	for name, disk := range map[string]*unreadable{
		"listed late":       {lists: 8},
		"read late":         {reads: 12},
		"not listed at all": {lists: 1 << 20},
		"not read at all":   {reads: 1 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir, alone := t.TempDir(), func() bool { return true }
			for _, key := range []string{"a", "b", "c"} { // a process each
				s, err := Open(Options{Dir: dir, SoleWriter: alone})
				if err == nil {
					err = errors.Join(s.Put("calls", key, []byte("out")), s.Close())
				}
				if err != nil {
					t.Fatal(err)
				}
			}
			s, _ := Open(Options{FS: disk, Dir: dir, SoleWriter: alone})
			if found := len(s.All("calls")); found != 3 && strings.HasSuffix(name, "late") {
				t.Errorf("%d calls are known at once, want 3", found)
			}
			if s.HasUnread() != strings.HasSuffix(name, "at all") {
				t.Errorf("unread: %v", s.HasUnread())
			}
			disk.lists, disk.reads = 0, 0
			if _, err := s.Refresh(); err != nil || s.HasUnread() || len(s.All("calls")) != 3 {
				t.Errorf("%d calls are known when it can be read, unread %v, error %v; want 3", len(s.All("calls")), s.HasUnread(), err)
			}
			if err := s.Put("calls", "a", []byte("back")); err != nil {
				t.Error(err)
			}
			next, err := Open(Options{Dir: dir, SoleWriter: alone})
			if e, _ := next.Get("calls", "a"); err != nil || len(next.All("calls")) != 3 || string(e.Value) != "back" {
				t.Errorf("the next process has %v, error %v", next.All("calls"), err)
			}
		})
	}
}

// A folder that stays unreadable in part takes in no more files, however often this process writes anew.
func TestUnreadFolderDoesNotGrow(t *testing.T) {
	dir, alone := t.TempDir(), func() bool { return true }
	before, err := Open(Options{Dir: dir, SoleWriter: alone})
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(before.Put("calls", "a", []byte("out")), before.Close()); err != nil {
		t.Fatal(err)
	}
	s, _ := Open(Options{FS: &unreadable{reads: 1 << 30}, Dir: dir, SoleWriter: alone, MaxBytes: 16 << 10})
	for i := range 200 { // some ten files
		if err := s.Put("calls", "b", make([]byte, 400+i)); err != nil {
			t.Fatal(err)
		}
	}
	names, err := OS{}.List(dir)
	if err != nil || len(names) > 3 {
		t.Errorf("the folder has %v, error %v, want the file that can't be read and two of this process's", names, err)
	}
	if !s.HasUnread() {
		t.Error("all was read")
	}
}
