package sidecar

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"arrowgw/internal/balance"
	"arrowgw/internal/store"
)

// describeServers returns the servers s-0 to s-9 of a listing as text, for comparison.
func describeServers(l listing) string {
	var words []string
	for i := range 10 {
		name := fmt.Sprintf("s-%d", i)
		for _, s := range l.servers {
			if s.ID == serverID(name) {
				words = append(words, name+"@"+l.addresses[s.ID]+map[balance.State]string{balance.Ready: "", balance.Draining: " out", balance.Gone: " gone"}[s.State])
			}
		}
	}
	return strings.Join(words, ", ")
}

// A sidecar learns that a server drains, is killed and starts again. It must send that server nothing, even though a stale
// replica of discovery lists it as ready.
func TestRestartKeepsServerDrained(t *testing.T) {
	a, b := newStub(t, echo), newStub(t, echo)
	entries := func(version int, first string) string {
		return strings.Replace(listAnswer(version, "ready", a.address, b.address), `"ready"`, `"`+first+`"`, 1)
	}
	var mu sync.Mutex
	answer := entries(50, "draining")
	asked := make(chan struct{}, 100)
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		now := answer
		mu.Unlock()
		if strings.HasPrefix(r.URL.RawQuery, "index=50") && strings.Contains(now, `"generation":50`) {
			<-r.Context().Done()
			return
		}
		select {
		case asked <- struct{}{}:
		default: // enough calls are counted already
		}
		_, _ = io.WriteString(w, now)
	}))
	t.Cleanup(d.Close)
	useDiscovery := func(file, _ map[string]any) { file["discovery"] = d.Listener.Addr().String() }
	startIn := func(dir string) *testSidecar {
		cfg := testConfig(t, entries(45, "ready"), useDiscovery)
		cfg.SharedDir = dir
		return startSidecarWith(t, cfg)
	}
	dir, dirAfterKill := t.TempDir(), t.TempDir()
	first := startIn(dir)
	for got := ""; !strings.Contains(got, "app.members_unavailable=1\n"); { // the drain has been applied
		got = first.callConsole(t, "show-stat\n")
	}
	for {
		h := newSharedState(dir, "n0") // acts as another process; the first still runs
		v := h.loadServerList(testConfig(t, entries(45, "ready"), useDiscovery), newClock().now())
		h.exit()
		if v.version == 50 {
			break
		}
	}
	if err := os.CopyFS(dirAfterKill, os.DirFS(dir)); err != nil { // the state that a kill leaves
		t.Fatal(err)
	}
	for len(asked) > 0 {
		<-asked
	}
	mu.Lock()
	answer = entries(45, "ready")
	mu.Unlock()
	second := startIn(dirAfterKill)
	wait(t, "a call", asked)
	wait(t, "the next call, as the answer has then been applied,", asked)
	for i := range 20 {
		if res, _ := sendRequest(t, second.newRequest(t, "GET", "/look", "")); res.StatusCode != 200 {
			t.Errorf("request %d: %d", i, res.StatusCode)
		}
	}
	if n := len(a.requests); n > 0 {
		t.Errorf("%d of 20 requests went to the server that drains", n)
	}
}

// referenceServer is the true state of a server in TestListNeverMovesBack.
type referenceServer struct {
	state   balance.State
	started time.Duration
}

// referenceDiscovery is the true history of discovery: its list at each version. A replica may answer with any of them.
type referenceDiscovery struct {
	rng          *rand.Rand
	lists        []map[int]referenceServer // by version, from firstVersion on
	firstVersion int64
}

// current returns the newest list.
func (d *referenceDiscovery) current() map[int]referenceServer { return d.lists[len(d.lists)-1] }

// newestVersion returns the version of the newest list.
func (d *referenceDiscovery) newestVersion() int64 { return d.firstVersion + int64(len(d.lists)) - 1 }

// change adds a version in which one server changes its state.
func (d *referenceDiscovery) change(now time.Duration) {
	list := maps.Clone(d.current())
	i := d.rng.IntN(10)
	switch f, listed := list[i]; {
	case !listed || d.rng.IntN(3) == 0: // it has started, recently or just now
		list[i] = referenceServer{balance.Ready, now - time.Duration(d.rng.IntN(2000))*time.Millisecond}
	case f.state == balance.Ready && d.rng.IntN(4) > 0:
		list[i] = referenceServer{balance.Draining, f.started}
	case f.state == balance.Draining && d.rng.IntN(4) == 0: // the drain is cancelled
		list[i] = referenceServer{balance.Ready, f.started}
	default:
		delete(list, i)
	}
	d.lists = append(d.lists, list)
}

// answer returns the list at a version, or the changes between since and that version.
func (d *referenceDiscovery) answer(version, since int64) listing {
	var entries []string
	list, old := d.lists[version-d.firstVersion], map[int]referenceServer{}
	if since != unknownVersion {
		old = d.lists[since-d.firstVersion]
	}
	for i := range 10 {
		name := fmt.Sprintf("s-%d", i)
		f, listed := list[i]
		if was, before := old[i]; f == was && listed == before {
			continue
		}
		life := map[balance.State]string{balance.Gone: "gone", balance.Draining: "draining", balance.Ready: "ready"}[f.state]
		entries = append(entries, fmt.Sprintf(`{"instanceId":%q,"hostPort":"127.0.0.1:8%d","lifecycle":%q,"weight":1,"startedAtMs":%d}`,
			name, i, life, f.started.Milliseconds()))
	}
	l, err := parseListing(fmt.Appendf(nil, `{"generation":%d,"reset":%v,"instances":[%s]}`, version, since == unknownVersion, strings.Join(entries, ",")), nil)
	if err != nil {
		panic(err) // a fault of the test
	}
	return l
}

// The list in force is checked against the true lists, over generated histories of discovery with stale replicas, restarts of
// the process, changes of address and restarts of discovery. Each seed yields the same history in every run.
func TestListNeverMovesBack(t *testing.T) {
	resets, olderAnswers, restarts := 0, 0, 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		now := time.Duration(1_700_000_000) * time.Second
		truth := &referenceDiscovery{rng: rng, lists: []map[int]referenceServer{{}}, firstVersion: 40 + rng.Int64N(20)}
		for range 8 {
			truth.change(now)
		}
		cfg := &Config{Discovery: "127.0.0.1:1"}
		v := newServerList(cfg.Discovery)
		inForce := make(map[balance.ServerID]balance.Server) // as the module has it
		starts := make(map[balance.ServerID]time.Duration)
		removed := make(map[balance.ServerID]time.Duration) // start times of the servers that are draining or gone in the newest answer of the epoch
		withheld := make(map[balance.ServerID]bool)         // removed by an older answer after the last answer that was not older
		var resetAt time.Duration                           // when discovery restarted, until the list has detected that; else 0
		apply := func(l listing) {
			epochBefore := v.epoch
			changes, isOlder := v.apply(l, now)
			if isOlder {
				olderAnswers++
			} else if l.whole {
				clear(withheld)
			}
			for _, s := range l.servers {
				if !isOlder {
					delete(withheld, s.ID)
				}
			}
			if changes.whole {
				clear(inForce)
			}
			for _, s := range changes.servers {
				if inForce[s.ID] = s; s.State == balance.Gone {
					delete(inForce, s.ID)
				}
				if s.Started < starts[s.ID] {
					t.Fatalf("seed %d: the start of a server goes from %v back to %v", seed, starts[s.ID], s.Started)
				}
				starts[s.ID] = s.Started
			}
			named := make(map[balance.ServerID]bool)
			for _, s := range l.servers { // every removal is obeyed, even in an old answer
				named[s.ID] = true
				if s.State != balance.Ready && inForce[s.ID].State == balance.Ready {
					t.Fatalf("seed %d: a server is ready that is draining or gone in version %d", seed, l.version)
				}
			}
			for id, s := range inForce {
				if l.whole && !named[id] && s.State == balance.Ready {
					t.Fatalf("seed %d: a server is ready that the whole list %d does not contain", seed, l.version)
				}
			}
			if !isOlder && v.epoch == epochBefore { // the newest answer of its epoch
				for _, s := range l.servers {
					if delete(removed, s.ID); s.State != balance.Ready {
						removed[s.ID] = s.Started
					}
				}
			}
			if epochBefore != v.epoch {
				resets++
			}
			for id := range inForce {
				if isOlder && inForce[id].State != balance.Ready {
					withheld[id] = true
				}
				if withheld[id] && inForce[id].State == balance.Ready {
					t.Fatalf("seed %d: a withheld server is ready again by version %d, without a newer list that contains it", seed, l.version)
				}
			}
			for id, started := range removed { // a removal ends only by time or by a later start of the server
				if s := inForce[id]; s.State == balance.Ready && s.Started <= started && now < v.carriedUntil {
					t.Fatalf("seed %d: a removed server is ready again by version %d", seed, l.version)
				}
			}
			for id := range inForce {
				if _, known := starts[id]; !known {
					t.Fatalf("seed %d: a server is in force that was never listed", seed)
				}
			}
		}
		apply(truth.answer(truth.newestVersion(), unknownVersion))
		for range 120 {
			now += time.Duration(500+rng.IntN(1500)) * time.Millisecond
			if rng.IntN(3) > 0 {
				truth.change(now)
			}
			switch n := rng.IntN(40); {
			case n == 0 && resetAt == 0: // discovery restarts with its current list
				truth.lists, truth.firstVersion = []map[int]referenceServer{maps.Clone(truth.current())}, 1+rng.Int64N(10)
				resetAt = now
			case n == 1: // the process restarts with what it stored
				restarts++
				s := &sharedState{store: newTestStore(t), listChanged: make(chan struct{}, 1)}
				s.queueList(v, true)
				if err := s.writeList(); err != nil {
					t.Fatal(err)
				}
				saved, _, ok := readSection[savedList](s.store, sectionList)
				if !ok {
					t.Fatal("nothing was stored")
				}
				v, resetAt = restoreServerList(cfg, saved, time.Unix(0, int64(now)), now), min(resetAt, 1)*now // the time counts from the start again
				clear(inForce)
				for _, e := range v.effectiveListing().servers {
					inForce[e.ID] = e
					if withheld[e.ID] && e.State == balance.Ready {
						t.Fatalf("seed %d: after a restart a server is ready that an older answer removed", seed)
					}
				}
			case n == 2: // discovery's address changes
				cfg.Discovery = fmt.Sprintf("127.0.0.1:%d", 1+rng.IntN(1000))
				v.setSource(cfg.Discovery, now)
				resetAt = 0
			}
			version, since := truth.newestVersion(), unknownVersion
			stale := rng.IntN(4) == 0 && resetAt == 0
			if stale {
				version = truth.firstVersion + rng.Int64N(truth.newestVersion()-truth.firstVersion+1)
			}
			if v.canWatch() && resetAt == 0 && version >= v.version && v.version >= truth.firstVersion {
				since = v.version
			}
			if from, yes := v.watchDuringReset(now); yes && from >= truth.firstVersion && from <= version {
				since = from
			}
			apply(truth.answer(version, since))
			if resetAt > 0 && v.version <= truth.newestVersion() && v.epoch > 0 && !v.reset.suspected {
				resetAt = 0
			}
			if resetAt > 0 && now-resetAt > 2*resetMinAge+4*time.Second {
				t.Fatalf("seed %d: discovery restarted %v ago, which has not been detected", seed, now-resetAt)
			}
		}
		for range 3 { // in the end, with true answers and enough time, the list is the true one
			now += 2 * carryOverTime
			apply(truth.answer(truth.newestVersion(), unknownVersion))
			apply(truth.answer(truth.newestVersion(), unknownVersion))
			apply(truth.answer(truth.newestVersion(), unknownVersion))
		}
		if !v.canWatch() || len(v.carriedOver) > 0 {
			t.Errorf("seed %d: in the end the whole list is still needed, or %d servers are carried over", seed, len(v.carriedOver))
		}
		for i := range 10 {
			id := serverID(fmt.Sprintf("s-%d", i))
			if f := truth.current()[i]; inForce[id].State != f.state {
				t.Errorf("seed %d: in the end server %d is %v, want %v", seed, i, inForce[id].State, f.state)
			}
		}
	}
	if resets < 100 || olderAnswers < 500 || restarts < 400 {
		t.Errorf("%d restarts of discovery, %d older answers, %d restarts of the process: too few to show anything", resets, olderAnswers, restarts)
	}
}

// newTestStore returns a store of this test alone.
func newTestStore(t *testing.T) *store.Store {
	t.Helper()
	s, err := store.Open(store.Options{Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// Of the lists of two processes the newer one is stored, whichever process writes last. A list of a later epoch is newer
// even if its version is lower.
func TestNewerListIsKept(t *testing.T) {
	dir, now := t.TempDir(), newClock().now()
	cfg := testConfig(t, listAnswer(1, "ready", "127.0.0.1:1"), nil)
	wholeList := func(version int64) listing {
		l, err := parseListing([]byte(listAnswer(int(version), "ready", "127.0.0.1:2")), nil)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	first, second := newSharedState(dir, "n0"), newSharedState(dir, "n0")
	a, b := first.loadServerList(cfg, now), second.loadServerList(cfg, now)
	for i, step := range []struct {
		by      *sharedState
		v       *serverList
		version int64
		stored  int64
	}{
		{first, a, 60, 60}, {second, b, 55, 60}, {second, b, 61, 61}, {first, a, 61, 61},
		{second, b, 7, 7}, {first, a, 70, 7}, {second, b, 8, 8},
	} {
		if step.version == 7 { // discovery has restarted, and only one of the processes knows
			step.v.startEpoch(now)
		}
		step.v.apply(wholeList(step.version), now)
		step.by.queueList(step.v, true)
		if err := step.by.writeList(); err != nil {
			t.Fatal(err)
		}
		last := newSharedState(dir, "n0")
		if got := last.loadServerList(cfg, now).version; got != step.stored {
			t.Errorf("step %d: version %d is stored, want %d", i, got, step.stored)
		}
		last.exit()
	}
}

// The conditions under which an older answer means that discovery has restarted, and how long earlier removals stay in force:
// s-0 drained at version 50, which arrived at 0 s.
func TestDiscoveryReset(t *testing.T) {
	type answer struct {
		at      time.Duration
		version int64  // -1: the process restarts; -2: discovery's address changes
		s0      string // lifecycle; empty: no change
		started time.Duration
		whole   bool
	}
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	zero := time.Duration(1_700_000_000) * time.Second
	for name, c := range map[string]struct {
		answers []answer
		epoch   int64
		drained bool
	}{
		"one older list":                {[]answer{{at(9), 45, "ready", 0, true}}, 0, true},
		"older lists for 6 s":           {[]answer{{at(1), 45, "ready", 0, true}, {at(4), 45, "ready", 0, true}, {at(7), 45, "ready", 0, true}}, 1, true},
		"older lists for less":          {[]answer{{at(1), 45, "ready", 0, true}, {at(4), 45, "ready", 0, true}, {at(6.9), 45, "ready", 0, true}}, 0, true},
		"two older lists":               {[]answer{{at(1), 45, "ready", 0, true}, {at(9), 45, "ready", 0, true}}, 0, true},
		"older changes":                 {[]answer{{at(1), 45, "", 0, false}, {at(5), 45, "", 0, false}, {at(9), 45, "", 0, false}}, 0, true},
		"a list that is older still":    {[]answer{{at(1), 45, "ready", 0, true}, {at(4), 45, "ready", 0, true}, {at(7), 44, "ready", 0, true}}, 0, true},
		"a newer list in between":       {[]answer{{at(1), 45, "ready", 0, true}, {at(4), 45, "ready", 0, true}, {at(5), 50, "draining", 0, true}, {at(7), 45, "ready", 0, true}}, 0, true},
		"a server started later":        {[]answer{{at(20), 45, "ready", at(6), true}}, 1, false},
		"started within the clock skew": {[]answer{{at(20), 45, "ready", at(5), true}}, 0, true},
		"started in the future":         {[]answer{{at(20), 45, "ready", at(90), true}}, 0, true},
		"change of address":             {[]answer{{at(1), -2, "", 0, false}, {at(2), 9, "ready", 0, true}}, 1, true},
		"address, then a change":        {[]answer{{at(1), -2, "", 0, false}, {at(2), 9, "ready", 0, true}, {at(3), 10, "ready", 0, false}}, 1, false},
		"address, then 59 s":            {[]answer{{at(1), -2, "", 0, false}, {at(2), 9, "ready", 0, true}, {at(60), 10, "ready", 0, true}}, 1, true},
		"address, then a minute":        {[]answer{{at(1), -2, "", 0, false}, {at(2), 9, "ready", 0, true}, {at(61), 9, "", 0, false}}, 1, false},
		"address, restart after 59 s":   {[]answer{{at(1), -2, "", 0, false}, {at(2), 9, "ready", 0, true}, {at(60), -1, "", 0, false}}, 1, true},
		"address, restart after 1 min":  {[]answer{{at(1), -2, "", 0, false}, {at(2), 9, "ready", 0, true}, {at(61), -1, "", 0, false}}, 1, false},
		"restart of the process":        {[]answer{{at(1), -1, "", 0, false}, {at(2), 45, "ready", 0, true}}, 0, true},
	} {
		cfg := &Config{Discovery: "127.0.0.1:1"}
		v := newServerList(cfg.Discovery)
		for _, w := range append([]answer{{0, 50, "draining", 0, true}}, c.answers...) {
			now := zero + w.at
			switch {
			case w.version == -1:
				s := &sharedState{store: newTestStore(t), listChanged: make(chan struct{}, 1)}
				s.queueList(v, true)
				if err := s.writeList(); err != nil {
					t.Fatal(err)
				}
				saved, _, _ := readSection[savedList](s.store, sectionList)
				v = restoreServerList(cfg, saved, time.Unix(0, int64(now)), now)
			case w.version == -2:
				cfg.Discovery = "127.0.0.1:2"
				v.setSource(cfg.Discovery, now)
			default:
				var entries []string
				if w.s0 != "" {
					started := (w.started + zero).Milliseconds()
					if w.started == 0 {
						started = 0
					}
					entries = []string{fmt.Sprintf(`{"instanceId":"s-0","hostPort":"127.0.0.1:80","lifecycle":%q,"startedAtMs":%d}`, w.s0, started)}
				}
				l, err := parseListing(fmt.Appendf(nil, `{"generation":%d,"reset":%v,"instances":[%s]}`, w.version, w.whole, strings.Join(entries, ",")), nil)
				if err != nil {
					t.Fatal(err)
				}
				v.apply(l, now)
			}
		}
		if out := describeServers(v.effectiveListing()) == "s-0@127.0.0.1:80 out"; out != c.drained || v.epoch != c.epoch {
			t.Errorf("%s: %s, epoch %d, want draining %v, epoch %d", name, describeServers(v.effectiveListing()), v.epoch, c.drained, c.epoch)
		}
	}
}

// If the other process of an upgrade learns that a server drains, this process withholds it too until it has a list of the same
// version: a list of a version in between does not make the server ready again, but one of that version may.
func TestOtherProcessWithholdsServer(t *testing.T) {
	dir, now := t.TempDir(), newClock().now()
	cfg := testConfig(t, listAnswer(50, "ready", "127.0.0.1:1", "127.0.0.1:2"), nil)
	whole := func(version int, first string) listing {
		text := strings.Replace(listAnswer(version, "ready", "127.0.0.1:1", "127.0.0.1:2"), `"ready"`, `"`+first+`"`, 1)
		l, err := parseListing([]byte(text), nil)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	noChange := func(version int64) listing { return listing{version: version} }
	other, h := newSharedState(dir, "n0"), newSharedState(dir, "n0")
	theirs := other.loadServerList(cfg, now)
	listings := make(chan listing, 10)
	d := newDiscovery(cfg, func(l listing) { listings <- l }, func() {})
	d.list = h.loadServerList(cfg, now)
	var last []byte
	for _, step := range []struct {
		theirs listing // received by the other process, if any
		ours   listing // received by this one
		want   string
		whole  bool // the next call requests the whole list
	}{
		{theirs: whole(60, "draining"), want: "s-0@127.0.0.1:1 out, s-1@127.0.0.1:2"},
		{ours: whole(57, "ready"), want: "s-0@127.0.0.1:1 out, s-1@127.0.0.1:2"},
		{ours: noChange(58), want: "s-0@127.0.0.1:1 out, s-1@127.0.0.1:2"},
		{ours: noChange(61), want: "s-0@127.0.0.1:1 out, s-1@127.0.0.1:2", whole: true},
		{ours: whole(61, "ready"), want: "s-0@127.0.0.1:1, s-1@127.0.0.1:2"},
		{theirs: whole(62, "gone"), want: "s-0@127.0.0.1:1 out, s-1@127.0.0.1:2"},
		{ours: whole(62, "draining"), want: "s-0@127.0.0.1:1 out, s-1@127.0.0.1:2"},
		{ours: whole(63, "ready"), want: "s-0@127.0.0.1:1, s-1@127.0.0.1:2"},
		{theirs: whole(62, "draining"), want: "s-0@127.0.0.1:1, s-1@127.0.0.1:2"},
	} {
		if step.theirs.version > 0 {
			theirs.apply(step.theirs, now)
			other.queueList(theirs, true)
			if err := other.writeList(); err != nil {
				t.Fatal(err)
			}
			h.currentCalls() // reads the state, as looking for operator calls does
			k, l, raw, changed := h.changedList(last, nil)
			if last = raw; changed {
				d.applyOtherProcessList(k, l)
			}
		} else if again := d.applyAnswer(step.ours) > 0; again != step.whole {
			t.Errorf("version %d: the next call requests the whole list: %v", step.ours.version, again)
		}
		if got := describeServers(d.list.effectiveListing()); got != step.want {
			t.Errorf("after %d and %d: %s, want %s", step.theirs.version, step.ours.version, got, step.want)
		}
	}
	if got := describeServers(<-listings); got != "s-0@127.0.0.1:1 out" {
		t.Errorf("the module receives %s first", got)
	}
}

// If only one of the two processes of an upgrade learns from discovery that a server drains, both must stop using it.
func TestBothProcessesStopUsingDrainedServer(t *testing.T) {
	s := newStub(t, echo)
	drainForOne := make(chan struct{}, 1)
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-drainForOne:
			_, _ = io.WriteString(w, listAnswer(60, "draining", s.address))
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(d.Close)
	dir := t.TempDir()
	startProcess := func() *testSidecar {
		cfg := testConfig(t, listAnswer(50, "ready", s.address), func(file, _ map[string]any) { file["discovery"] = d.Listener.Addr().String() })
		cfg.SharedDir = dir
		return startSidecarWith(t, cfg)
	}
	processes := []*testSidecar{startProcess(), startProcess()}
	end := time.Now().Add(testTimeout)
	waitForFigures := func(figures string) {
		t.Helper()
		for _, process := range processes {
			for got := ""; !strings.Contains(got, figures); {
				if got = process.callConsole(t, "show-stat\n"); time.Now().After(end) {
					t.Fatalf("timed out waiting for %q: %s", figures, got)
				}
			}
		}
	}
	waitForFigures("app.members=1\napp.members_unavailable=0\n")
	drainForOne <- struct{}{}
	waitForFigures("app.members=1\napp.members_unavailable=1\n")
}

// Of a list that is too long only the version and the servers that are not ready are stored: the next process starts from the
// configuration's list without those servers, and requests the whole list.
func TestLongListIsSavedShort(t *testing.T) {
	var addresses []string
	for i := range 3000 {
		addresses = append(addresses, fmt.Sprintf("127.0.0.1:%d", 1+i))
	}
	cfg := testConfig(t, listAnswer(45, "ready", addresses...), nil)
	l, err := parseListing([]byte(strings.Replace(listAnswer(50, "ready", addresses...), `"ready"`, `"draining"`, 1)), nil)
	if err != nil {
		t.Fatal(err)
	}
	h, now := &sharedState{store: newTestStore(t), listChanged: make(chan struct{}, 1)}, newClock().now()
	v := newServerList(cfg.Discovery)
	v.apply(l, now)
	h.queueList(v, true)
	if err := h.writeList(); err != nil {
		t.Fatal(err)
	}
	if e, _ := h.store.Get(sectionList, singleKey); len(e.Value) > 1000 {
		t.Errorf("%d bytes are stored", len(e.Value))
	}
	next := h.loadServerList(cfg, now)
	if got := describeServers(next.effectiveListing()); next.version != 50 || next.canWatch() || !strings.HasPrefix(got, "s-0@127.0.0.1:1 out, s-1@127.0.0.1:2, ") || len(next.entries) != 3000 {
		t.Errorf("version %d with %d servers: %s", next.version, len(next.entries), got)
	}
	next.apply(l, now)
	if got := describeServers(next.effectiveListing()); !next.canWatch() || !strings.HasPrefix(got, "s-0@127.0.0.1:1 out, s-1@127.0.0.1:2, ") {
		t.Errorf("after the whole list: %s", got)
	}
}
