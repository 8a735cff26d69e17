package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"arrowgw/internal/balance"
	"arrowgw/internal/store"
)

// A process starts from what the previous one saved: the list, the learned state and the operator calls.
func TestNextProcessRestoresState(t *testing.T) {
	dir := t.TempDir()
	cfg := testConfig(t, listAnswer(1, "ready", "127.0.0.1:1"), nil)
	h, now := newSharedState(dir, "n0"), newClock().now()
	if v := h.loadServerList(cfg, now); v.version != 1 || !v.canWatch() {
		t.Errorf("without a stored list: version %d", v.version)
	}
	l, err := parseListing([]byte(listAnswer(7, "ready", "127.0.0.1:2", "127.0.0.1:3")), cfg.Zones)
	if err != nil {
		t.Fatal(err)
	}
	v := newServerList(cfg.Discovery)
	v.apply(l, now)
	v.apply(listing{version: 8, servers: []balance.Server{{ID: serverID("s-0"), State: balance.Gone}}}, now)
	h.queueList(v, true)
	learnedBefore := balance.Learned{At: time.Duration(time.Now().UnixMilli()) * time.Millisecond, Rate: 120, Servers: []balance.LearnedServer{
		{ID: serverID("s-1"), Failures: 3, SilentSince: 5 * time.Second, WarmAt: 9 * time.Second, LatencyRatio: 7.5},
	}}
	ctx, stop := context.WithCancel(context.Background())
	calls := make(chan bool, 100)
	done := make(chan bool)
	go func() {
		h.persist(ctx, func(context.Context) (balance.Learned, error) { calls <- true; return learnedBefore, nil })
		close(done)
	}()
	wait(t, "the learned state to be requested", calls)
	wait(t, "the learned state to be requested again", calls) // so that the first answer is saved
	stop()
	<-done
	h.exit()

	next := newSharedState(dir, "n0")
	if learned, ok := next.loadLearned(); !ok || !reflect.DeepEqual(learned, learnedBefore) {
		t.Errorf("learned %+v, %v, want %+v", learned, ok, learnedBefore)
	}
	for name, c := range map[string]struct {
		known  int64 // version of the configuration's list
		source string
		later  time.Duration // between the save and the start of the next process
		top    int64
		want   string
	}{
		"stored":                    {1, cfg.Discovery, 0, 8, "s-1@127.0.0.1:3"},
		"the configuration's newer": {9, cfg.Discovery, 0, 9, "s-0@127.0.0.1:1"},
		"of another discovery":      {1, "127.0.0.1:9", 0, 1, "s-0@127.0.0.1:1 out"},
		"stored long ago":           {1, cfg.Discovery, 2 * maxSavedListAge, 8, "s-0@127.0.0.1:1 out"},
		"stored in the future":      {1, cfg.Discovery, -2 * maxSavedListAge, 8, "s-0@127.0.0.1:1 out"},
	} {
		cfg.KnownServers.version, cfg.Discovery = c.known, c.source
		at := newClock().now() + c.later
		v := next.loadServerList(cfg, at)
		if got := describeServers(v.effectiveListing()); got != c.want || v.version != c.top {
			t.Errorf("%s: version %d, %s, want %d, %s", name, v.version, got, c.top, c.want)
		}
	}
}

// Older programs use a file without a checksum. What they write is imported, and the file that they read is still written. A
// damaged file is reported if there is no other state.
func TestStateFileOfOlderPrograms(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "sidecar-n0.state")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	now := time.Now().UnixMilli()
	write(fmt.Sprintf(`{"version":1,"servers":{"a":{"out":true,"atMs":%d}}}`, now))
	h := newSharedState(dir, "n0")
	if got := h.currentCalls(); !got["a"].Out || h.damageCount() != 0 {
		t.Errorf("known %v", got)
	}
	write(fmt.Sprintf(`{"version":1,"servers":{"a":{"out":false,"atMs":%d},"b":{"out":true,"atMs":%d}}}`, now+1000, now+1000))
	if got := h.currentCalls(); got["a"].Out || !got["b"].Out { // a process of an older program has stored calls
		t.Errorf("known %v", got)
	}
	if err := h.persistCall("c", true, time.Now()); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(path)
	var old struct { // as an older program reads the file
		Version int                     `json:"version"`
		Servers map[string]operatorCall `json:"servers"`
	}
	if err != nil || json.Unmarshal(raw, &old) != nil || old.Version != 1 || !old.Servers["b"].Out || !old.Servers["c"].Out {
		t.Errorf("the file for older programs: %s, error %v", raw, err)
	}
	h.exit()
	for bit := range len(raw) * 8 { // damage to the file changes nothing, as the state has the calls
		flipped := append([]byte(nil), raw...)
		flipped[bit/8] ^= 1 << (bit % 8)
		write(string(flipped))
		if bit%64 != 0 {
			h := &sharedState{legacyPath: path}
			servers, older, err := h.readLegacy()
			if err == nil && older || err == nil && !reflect.DeepEqual(servers, old.Servers) {
				t.Fatalf("bit %d: read as %v, by an older program %v", bit, servers, older)
			}
			continue
		}
		next := newSharedState(dir, "n0")
		if got := next.currentCalls(); got["a"].Out || !got["b"].Out || !got["c"].Out || len(got) != 3 {
			t.Fatalf("bit %d: known %v", bit, got)
		}
		next.exit()
	}
	emptyDir := t.TempDir()
	path = filepath.Join(emptyDir, "sidecar-n0.state")
	write(strings.Replace(string(raw), `"b"`, `"x"`, 1))
	h = newSharedState(emptyDir, "n0")
	if h.damageCount() != 1 || len(h.currentCalls()) != 0 {
		t.Errorf("damaged %d, known %v", h.damageCount(), h.currentCalls())
	}
	if err := h.confirmDamage(); err != nil || h.damageCount() != 0 {
		t.Errorf("confirmed: %v, damaged %d", err, h.damageCount())
	}
}

// The console reports a damaged state until it is confirmed, and answers a call that could not be stored differently.
func TestConsoleReportsState(t *testing.T) {
	s := newStub(t, echo)
	sidecar := startSidecar(t, nil, s.address)
	if got := sidecar.callConsole(t, "show-stat\n"); !strings.Contains(got, "app.state_damaged=0\n") || strings.Contains(got, "app.state_bytes=0\n") {
		t.Errorf("figures %q", got)
	}
	if got := sidecar.callConsole(t, "confirm-state\n"); !strings.HasPrefix(got, "200 ") {
		t.Errorf("confirmed: %q", got)
	}
	c := &console{setServer: func(context.Context, string, bool) error { return errNotDurable{os.ErrDeadlineExceeded} }}
	var out strings.Builder
	c.execute(context.Background(), &out, []string{"disable-server", "x"})
	if !strings.HasPrefix(out.String(), "202 ") || strings.Count(out.String(), "\n") != 1 {
		t.Errorf("not stored: %q", &out)
	}
}

// stuckDisk is a disk whose syncs block while stuck is set, until released is closed.
type stuckDisk struct {
	store.OS
	stuck    atomic.Bool
	released chan struct{} // closed to let waiting syncs continue
	waiting  chan struct{} // receives a value when a sync blocks
}

// sync blocks while the disk is stuck.
func (d *stuckDisk) sync() {
	if d.stuck.Load() {
		select {
		case d.waiting <- struct{}{}:
		default:
		}
		<-d.released
	}
}

func (d *stuckDisk) SyncDir(dir string) error { d.sync(); return d.OS.SyncDir(dir) }

func (d *stuckDisk) Create(path string) (store.File, error) { return d.file(d.OS.Create(path)) }

func (d *stuckDisk) Open(path string) (store.File, error) { return d.file(d.OS.Open(path)) }

// file wraps a file so that its syncs block too.
func (d *stuckDisk) file(f store.File, err error) (store.File, error) {
	if err != nil {
		return nil, err
	}
	return stuckFile{f, d}, nil
}

func (d *stuckDisk) SameFile(path string, f store.File) bool {
	return d.OS.SameFile(path, f.(stuckFile).File)
}

// stuckFile is a file on a stuckDisk.
type stuckFile struct {
	store.File
	disk *stuckDisk
}

func (f stuckFile) Sync() error { f.disk.sync(); return f.File.Sync() }

// While a sync hangs, requests, ready and the figures are answered, and an operator call is answered as in force but not stored.
// Once the disk works again, the call is stored when it is repeated.
func TestStuckDiskBlocksNothing(t *testing.T) {
	s := newStub(t, echo)
	d := &stuckDisk{released: make(chan struct{}), waiting: make(chan struct{}, 1)}
	sidecar := startSidecarOnDisk(t, d, nil, s.address)
	if got := sidecar.callConsole(t, "ready\n"); !strings.HasPrefix(got, "200 ") {
		t.Fatalf("ready: %q", got)
	}
	d.stuck.Store(true)
	if got := sidecar.callConsole(t, "disable-server s-9\n"); !strings.HasPrefix(got, "400 ") {
		t.Errorf("for an unknown server: %q", got)
	}
	if got := sidecar.callConsole(t, "disable-server s-0\n"); !strings.HasPrefix(got, "202 ") {
		t.Errorf("not stored: %q", got)
	}
	wait(t, "a sync that hangs", d.waiting)
	if got := sidecar.callConsole(t, "enable-server s-0\n"); !strings.HasPrefix(got, "202 ") {
		t.Errorf("not stored: %q", got)
	}
	for range 20 {
		if res, _ := sendRequest(t, sidecar.newRequest(t, "GET", "/look", "")); res.StatusCode != 200 {
			t.Errorf("a request while the disk hangs: %d", res.StatusCode)
		}
	}
	if got := sidecar.callConsole(t, "ready\n"); !strings.HasPrefix(got, "200 ") {
		t.Errorf("ready while the disk hangs: %q", got)
	}
	if got := sidecar.callConsole(t, "show-stat\n"); !strings.Contains(got, "app.members=1\napp.members_unavailable=0\n") {
		t.Errorf("figures while the disk hangs: %q", got)
	}
	d.stuck.Store(false)
	close(d.released)
	for got := ""; !strings.HasPrefix(got, "200 "); {
		got = sidecar.callConsole(t, "disable-server s-0\n")
	}
	sidecar.stop()
	if err := wait(t, "the end", sidecar.ended); err != nil {
		t.Error(err)
	}
}

// unlistableFS is a file system whose directories can't be listed while failing is set.
type unlistableFS struct {
	store.OS
	failing *atomic.Bool
}

func (f unlistableFS) List(dir string) ([]string, error) {
	if f.failing.Load() {
		return nil, syscall.EIO
	}
	return f.OS.List(dir)
}

// Operator calls in a folder that can't be read when the process starts are applied once it can be read.
func TestUnreadableCallsAreAppliedLater(t *testing.T) {
	dir := t.TempDir()
	before := newSharedState(dir, "n0")
	if err := before.persistCall("s-1", true, time.Now()); err != nil {
		t.Fatal(err)
	}
	before.exit()
	if err := os.Remove(filepath.Join(dir, "sidecar-n0.state")); err != nil { // the copy for older programs is not to be used
		t.Fatal(err)
	}
	disk := unlistableFS{failing: new(atomic.Bool)}
	disk.failing.Store(true)
	h := openSharedState(dir, "n0", store.Options{FS: disk})
	if len(h.currentCalls()) > 0 {
		t.Fatal("the folder could be read")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	applied := make(chan map[string]operatorCall, 100)
	go h.watchProcesses(ctx, 1, func(int) {}, func(calls map[string]operatorCall) { applied <- calls })
	disk.failing.Store(false)
	for !wait(t, "the call", applied)["s-1"].Out {
	}
}
