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

// describeServers tells a list of servers that are named s-0 to s-9, for comparison.
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

// A sidecar that is told that a server drains, is killed and starts again sends it nothing, though a stale replica of
// discovery has it ready.
func TestRestartKeepsServerDrained(t *testing.T) {
	a, b := newStub(t, echo), newStub(t, echo)
	entries := func(version int, first string) string {
		return strings.Replace(listed(version, "ready", a.address, b.address), `"ready"`, `"`+first+`"`, 1)
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
		default: // nobody counts them
		}
		_, _ = io.WriteString(w, now)
	}))
	t.Cleanup(d.Close)
	configured := func(file, _ map[string]any) { file["discovery"] = d.Listener.Addr().String() }
	run := func(dir string) *running {
		cfg := testConfig(t, entries(45, "ready"), configured)
		cfg.Shared = dir
		return startWith(t, cfg)
	}
	dir, killed := t.TempDir(), t.TempDir()
	first := run(dir)
	for got := ""; !strings.Contains(got, "app.members_unavailable=1\n"); { // acted on
		got = first.call(t, "show-stat\n")
	}
	for {
		h := newHandover(dir, "n0") // as another process: the first still runs
		v := h.loadServerList(testConfig(t, entries(45, "ready"), configured), newClock().now())
		h.die()
		if v.version == 50 {
			break
		}
	}
	if err := os.CopyFS(killed, os.DirFS(dir)); err != nil { // what a kill leaves
		t.Fatal(err)
	}
	for len(asked) > 0 {
		<-asked
	}
	mu.Lock()
	answer = entries(45, "ready")
	mu.Unlock()
	second := run(killed)
	wait(t, "a call", asked)
	wait(t, "the next call: the answer is acted on", asked)
	for i := range 20 {
		if res, _ := do(t, second.request(t, "GET", "/look", "")); res.StatusCode != 200 {
			t.Errorf("request %d: %d", i, res.StatusCode)
		}
	}
	if n := len(a.seen); n > 0 {
		t.Errorf("%d of 20 requests went to the server that drains", n)
	}
}

// referenceServer is one server of the oracle's truth.
type referenceServer struct {
	state   balance.State
	started time.Duration
}

// referenceDiscovery is discovery as it really is: what it had at each version. A replica may answer with any of them.
type referenceDiscovery struct {
	rng          *rand.Rand
	lists        []map[int]referenceServer // the list at each version from first on
	firstVersion int64
}

func (h *referenceDiscovery) current() map[int]referenceServer { return h.lists[len(h.lists)-1] }

func (h *referenceDiscovery) newestVersion() int64 { return h.firstVersion + int64(len(h.lists)) - 1 }

// change gives one server another life.
func (h *referenceDiscovery) change(at time.Duration) {
	list := maps.Clone(h.current())
	i := h.rng.IntN(10)
	switch f, listed := list[i]; {
	case !listed || h.rng.IntN(3) == 0: // it has started, since it was last told of or just now
		list[i] = referenceServer{balance.Ready, at - time.Duration(h.rng.IntN(2000))*time.Millisecond}
	case f.state == balance.Ready && h.rng.IntN(4) > 0:
		list[i] = referenceServer{balance.Draining, f.started}
	case f.state == balance.Draining && h.rng.IntN(4) == 0: // thought better of
		list[i] = referenceServer{balance.Ready, f.started}
	default:
		delete(list, i)
	}
	h.lists = append(h.lists, list)
}

// answer is the list at a version, whole, or what changed in it since another.
func (h *referenceDiscovery) answer(version, since int64) listing {
	var entries []string
	list, old := h.lists[version-h.firstVersion], map[int]referenceServer{}
	if since != unknownVersion {
		old = h.lists[since-h.firstVersion]
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
		panic(err) // of the test's own making
	}
	return l
}

// Over generated histories of discovery and its replicas, of ends and starts of the process, of moves and of new
// beginnings: what is acted on against what it may be. Each seed is one history, the same at each run.
func TestListNeverMovesBack(t *testing.T) {
	begun, older, restarts := 0, 0, 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		now := time.Duration(1_700_000_000) * time.Second
		h := &referenceDiscovery{rng: rng, lists: []map[int]referenceServer{{}}, firstVersion: 40 + rng.Int64N(20)}
		for range 8 {
			h.change(now)
		}
		cfg := &Config{Discovery: "127.0.0.1:1"}
		v := newServerList(cfg.Discovery)
		acted := make(map[balance.ServerID]balance.Server) // as the module has it
		starts := make(map[balance.ServerID]time.Duration)
		out := make(map[balance.ServerID]time.Duration) // drained or gone as of the newest word of its line: since when
		taken := make(map[balance.ServerID]bool)        // out by an older word since the last one that was not
		var renewed time.Duration                       // discovery began anew then, and the node does not know; 0: it does
		take := func(l listing) {
			was := v.epoch
			news, isOlder := v.apply(l, now)
			if isOlder {
				older++
			} else if l.whole {
				clear(taken)
			}
			for _, s := range l.servers {
				if !isOlder {
					delete(taken, s.ID)
				}
			}
			if news.whole {
				clear(acted)
			}
			for _, s := range news.servers {
				if acted[s.ID] = s; s.State == balance.Gone {
					delete(acted, s.ID)
				}
				if s.Started < starts[s.ID] {
					t.Fatalf("seed %d: the start of a server goes from %v back to %v", seed, starts[s.ID], s.Started)
				}
				starts[s.ID] = s.Started
			}
			named := make(map[balance.ServerID]bool)
			for _, s := range l.servers { // any word that takes away binds
				named[s.ID] = true
				if s.State != balance.Ready && acted[s.ID].State == balance.Ready {
					t.Fatalf("seed %d: a server that discovery has draining at %d is ready", seed, l.version)
				}
			}
			for id, s := range acted {
				if l.whole && !named[id] && s.State == balance.Ready {
					t.Fatalf("seed %d: a server that the whole list %d does not have is ready", seed, l.version)
				}
			}
			if !isOlder && v.epoch == was { // its line's newest word
				for _, s := range l.servers {
					if delete(out, s.ID); s.State != balance.Ready {
						out[s.ID] = s.Started
					}
				}
			}
			if was != v.epoch {
				begun++
			}
			for id := range acted {
				if isOlder && acted[id].State != balance.Ready {
					taken[id] = true
				}
				if taken[id] && acted[id].State == balance.Ready {
					t.Fatalf("seed %d: a server is back without a newer list that has it, by version %d", seed, l.version)
				}
			}
			for id, started := range out { // undone by time alone, or by a later start
				if s := acted[id]; s.State == balance.Ready && s.Started <= started && now < v.carriedUntil {
					t.Fatalf("seed %d: a server that was out is back by version %d", seed, l.version)
				}
			}
			for id := range acted {
				if _, known := starts[id]; !known {
					t.Fatalf("seed %d: a server out of nowhere", seed)
				}
			}
		}
		take(h.answer(h.newestVersion(), unknownVersion))
		for range 120 {
			now += time.Duration(500+rng.IntN(1500)) * time.Millisecond
			if rng.IntN(3) > 0 {
				h.change(now)
			}
			switch n := rng.IntN(40); {
			case n == 0 && renewed == 0: // discovery begins anew, from what is there
				h.lists, h.firstVersion = []map[int]referenceServer{maps.Clone(h.current())}, 1+rng.Int64N(10)
				renewed = now
			case n == 1: // the process ends and starts; what it kept is what there is
				restarts++
				s := &handover{store: newTestStore(t), news: make(chan struct{}, 1)}
				s.queueList(v, true)
				if err := s.writeList(); err != nil {
					t.Fatal(err)
				}
				kept, _, ok := readSection[savedList](s.store, sectionList)
				if !ok {
					t.Fatal("nothing was kept")
				}
				v, renewed = restoreServerList(cfg, kept, time.Unix(0, int64(now)), now), min(renewed, 1)*now // it counts from the start again
				clear(acted)
				for _, e := range v.effectiveListing().servers {
					acted[e.ID] = e
					if taken[e.ID] && e.State == balance.Ready {
						t.Fatalf("seed %d: a restart brings back a server that an older word took away", seed)
					}
				}
			case n == 2: // discovery moves
				cfg.Discovery = fmt.Sprintf("127.0.0.1:%d", 1+rng.IntN(1000))
				v.setSource(cfg.Discovery, now)
				renewed = 0
			}
			version, since := h.newestVersion(), unknownVersion
			stale := rng.IntN(4) == 0 && renewed == 0
			if stale {
				version = h.firstVersion + rng.Int64N(h.newestVersion()-h.firstVersion+1)
			}
			if v.canWatch() && renewed == 0 && version >= v.version && v.version >= h.firstVersion {
				since = v.version
			}
			if from, yes := v.watchDuringReset(now); yes && from >= h.firstVersion && from <= version {
				since = from
			}
			take(h.answer(version, since))
			if renewed > 0 && v.version <= h.newestVersion() && v.epoch > 0 && !v.reset.suspected {
				renewed = 0
			}
			if renewed > 0 && now-renewed > 2*resetMinAge+4*time.Second {
				t.Fatalf("seed %d: discovery has begun anew %v ago, and is not believed", seed, now-renewed)
			}
		}
		for range 3 { // in the end, with the truth alone and time enough, the list is the true one
			now += 2 * carryOverTime
			take(h.answer(h.newestVersion(), unknownVersion))
			take(h.answer(h.newestVersion(), unknownVersion))
			take(h.answer(h.newestVersion(), unknownVersion))
		}
		if !v.canWatch() || len(v.carriedOver) > 0 {
			t.Errorf("seed %d: in the end the whole list is still needed, or %d servers are held", seed, len(v.carriedOver))
		}
		for i := range 10 {
			id := serverID(fmt.Sprintf("s-%d", i))
			if f := h.current()[i]; acted[id].State != f.state {
				t.Errorf("seed %d: in the end server %d is %v, and truly %v", seed, i, acted[id].State, f.state)
			}
		}
	}
	if begun < 100 || older < 500 || restarts < 400 {
		t.Errorf("%d beginnings, %d older answers, %d restarts: too few to show anything", begun, older, restarts)
	}
}

// newTestStore is a state of this test alone.
func newTestStore(t *testing.T) *store.Store {
	t.Helper()
	s, err := store.Open(store.Options{Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// Of two processes' lists the newer is kept, whichever writes last; a line that began later goes before its versions.
func TestNewerListIsKept(t *testing.T) {
	dir, now := t.TempDir(), newClock().now()
	cfg := testConfig(t, listed(1, "ready", "127.0.0.1:1"), nil)
	word := func(version int64) listing {
		l, err := parseListing([]byte(listed(int(version), "ready", "127.0.0.1:2")), nil)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	old, next := newHandover(dir, "n0"), newHandover(dir, "n0")
	a, b := old.loadServerList(cfg, now), next.loadServerList(cfg, now)
	for i, step := range []struct {
		by      *handover
		v       *serverList
		version int64
		kept    int64
	}{
		{old, a, 60, 60}, {next, b, 55, 60}, {next, b, 61, 61}, {old, a, 61, 61},
		{next, b, 7, 7}, {old, a, 70, 7}, {next, b, 8, 8},
	} {
		if step.version == 7 { // discovery has begun anew, and only one of them knows
			step.v.startEpoch(now)
		}
		step.v.apply(word(step.version), now)
		step.by.queueList(step.v, true)
		if err := step.by.writeList(); err != nil {
			t.Fatal(err)
		}
		last := newHandover(dir, "n0")
		if got := last.loadServerList(cfg, now).version; got != step.kept {
			t.Errorf("step %d: version %d is kept, want %d", i, got, step.kept)
		}
		last.die()
	}
}

// What decides whether an older word is a new beginning, and how long what was known before it holds: s-0 drained at
// version 50, which came at 0 s.
func TestDiscoveryReset(t *testing.T) {
	type word struct {
		at      time.Duration
		version int64  // 0: none; -1: the process starts again; -2: discovery moves
		s0      string // lifecycle; "": a change of nothing
		started time.Duration
		whole   bool
	}
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	zero := time.Duration(1_700_000_000) * time.Second
	for name, c := range map[string]struct {
		words []word
		line  int64
		out   bool
	}{
		"one older list":            {[]word{{at(9), 45, "ready", 0, true}}, 0, true},
		"older lists for 6 s":       {[]word{{at(1), 45, "ready", 0, true}, {at(4), 45, "ready", 0, true}, {at(7), 45, "ready", 0, true}}, 1, true},
		"for less":                  {[]word{{at(1), 45, "ready", 0, true}, {at(4), 45, "ready", 0, true}, {at(6.9), 45, "ready", 0, true}}, 0, true},
		"two":                       {[]word{{at(1), 45, "ready", 0, true}, {at(9), 45, "ready", 0, true}}, 0, true},
		"changes":                   {[]word{{at(1), 45, "", 0, false}, {at(5), 45, "", 0, false}, {at(9), 45, "", 0, false}}, 0, true},
		"one that is older still":   {[]word{{at(1), 45, "ready", 0, true}, {at(4), 45, "ready", 0, true}, {at(7), 44, "ready", 0, true}}, 0, true},
		"a newer one between":       {[]word{{at(1), 45, "ready", 0, true}, {at(4), 45, "ready", 0, true}, {at(5), 50, "draining", 0, true}, {at(7), 45, "ready", 0, true}}, 0, true},
		"a later start":             {[]word{{at(20), 45, "ready", at(6), true}}, 1, false},
		"within the clocks' margin": {[]word{{at(20), 45, "ready", at(5), true}}, 0, true},
		"a start in the future":     {[]word{{at(20), 45, "ready", at(90), true}}, 0, true},
		"a move":                    {[]word{{at(1), -2, "", 0, false}, {at(2), 9, "ready", 0, true}}, 1, true},
		"and a change":              {[]word{{at(1), -2, "", 0, false}, {at(2), 9, "ready", 0, true}, {at(3), 10, "ready", 0, false}}, 1, false},
		"and a minute less":         {[]word{{at(1), -2, "", 0, false}, {at(2), 9, "ready", 0, true}, {at(60), 10, "ready", 0, true}}, 1, true},
		"and a minute":              {[]word{{at(1), -2, "", 0, false}, {at(2), 9, "ready", 0, true}, {at(61), 9, "", 0, false}}, 1, false},
		"a start again in it":       {[]word{{at(1), -2, "", 0, false}, {at(2), 9, "ready", 0, true}, {at(60), -1, "", 0, false}}, 1, true},
		"and after it":              {[]word{{at(1), -2, "", 0, false}, {at(2), 9, "ready", 0, true}, {at(61), -1, "", 0, false}}, 1, false},
		"a start again":             {[]word{{at(1), -1, "", 0, false}, {at(2), 45, "ready", 0, true}}, 0, true},
	} {
		cfg := &Config{Discovery: "127.0.0.1:1"}
		v := newServerList(cfg.Discovery)
		for _, w := range append([]word{{0, 50, "draining", 0, true}}, c.words...) {
			now := zero + w.at
			switch {
			case w.version == -1:
				s := &handover{store: newTestStore(t), news: make(chan struct{}, 1)}
				s.queueList(v, true)
				if err := s.writeList(); err != nil {
					t.Fatal(err)
				}
				kept, _, _ := readSection[savedList](s.store, sectionList)
				v = restoreServerList(cfg, kept, time.Unix(0, int64(now)), now)
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
		if out := describeServers(v.effectiveListing()) == "s-0@127.0.0.1:80 out"; out != c.out || v.epoch != c.line {
			t.Errorf("%s: %s, line %d, want out %v, line %d", name, describeServers(v.effectiveListing()), v.epoch, c.out, c.line)
		}
	}
}

// What the other process of an upgrade was told against a server holds in this one too, until this one's own word is as new: a list
// in between doesn't bring the server back, and that version's does as it says.
func TestOtherProcessWithholdsServer(t *testing.T) {
	dir, now := t.TempDir(), newClock().now()
	cfg := testConfig(t, listed(50, "ready", "127.0.0.1:1", "127.0.0.1:2"), nil)
	whole := func(version int, first string) listing {
		text := strings.Replace(listed(version, "ready", "127.0.0.1:1", "127.0.0.1:2"), `"ready"`, `"`+first+`"`, 1)
		l, err := parseListing([]byte(text), nil)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	changes := func(version int64) listing { return listing{version: version} }
	other, h := newHandover(dir, "n0"), newHandover(dir, "n0")
	theirs := other.loadServerList(cfg, now)
	heard := make(chan listing, 10)
	d := newDiscovery(cfg, func(l listing) { heard <- l }, func() {})
	d.list = h.loadServerList(cfg, now)
	var last []byte
	for _, step := range []struct {
		theirs listing // what the other process is told, if anything
		ours   listing // and this one
		want   string
		whole  bool // the whole list is asked for next
	}{
		{theirs: whole(60, "draining"), want: "s-0@127.0.0.1:1 out, s-1@127.0.0.1:2"},
		{ours: whole(57, "ready"), want: "s-0@127.0.0.1:1 out, s-1@127.0.0.1:2"},
		{ours: changes(58), want: "s-0@127.0.0.1:1 out, s-1@127.0.0.1:2"},
		{ours: changes(61), want: "s-0@127.0.0.1:1 out, s-1@127.0.0.1:2", whole: true},
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
			h.known() // as it looks for calls by hand
			k, l, raw, news := h.changedList(last, nil)
			if last = raw; news {
				d.applyOtherProcessList(k, l)
			}
		} else if again := d.applyAnswer(step.ours) > 0; again != step.whole {
			t.Errorf("version %d: the whole list is asked for: %v", step.ours.version, again)
		}
		if got := describeServers(d.list.effectiveListing()); got != step.want {
			t.Errorf("after %d and %d: %s, want %s", step.theirs.version, step.ours.version, got, step.want)
		}
	}
	if got := describeServers(<-heard); got != "s-0@127.0.0.1:1 out" {
		t.Errorf("the module hears %s first", got)
	}
}

// Two processes of a sidecar stand side by side, and discovery tells only one of them that a server drains: both leave it.
func TestBothProcessesStopUsingDrainedServer(t *testing.T) {
	s := newStub(t, echo)
	one := make(chan struct{}, 1)
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-one:
			_, _ = io.WriteString(w, listed(60, "draining", s.address))
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(d.Close)
	dir := t.TempDir()
	run := func() *running {
		cfg := testConfig(t, listed(50, "ready", s.address), func(file, _ map[string]any) { file["discovery"] = d.Listener.Addr().String() })
		cfg.Shared = dir
		return startWith(t, cfg)
	}
	both := []*running{run(), run()}
	end := time.Now().Add(generous)
	see := func(figures string) {
		t.Helper()
		for _, side := range both {
			for got := ""; !strings.Contains(got, figures); {
				if got = side.call(t, "show-stat\n"); time.Now().After(end) {
					t.Fatalf("waited in vain for %q: %s", figures, got)
				}
			}
		}
	}
	see("app.members=1\napp.members_unavailable=0\n")
	one <- struct{}{}
	see("app.members=1\napp.members_unavailable=1\n")
}

// Of a list too long to be kept whole the version and the servers that are not ready are kept: the next process goes by the
// configuration's list, without those, and asks for the whole.
func TestLongListIsSavedShort(t *testing.T) {
	var addresses []string
	for i := range 3000 {
		addresses = append(addresses, fmt.Sprintf("127.0.0.1:%d", 1+i))
	}
	cfg := testConfig(t, listed(45, "ready", addresses...), nil)
	l, err := parseListing([]byte(strings.Replace(listed(50, "ready", addresses...), `"ready"`, `"draining"`, 1)), nil)
	if err != nil {
		t.Fatal(err)
	}
	h, now := &handover{store: newTestStore(t), news: make(chan struct{}, 1)}, newClock().now()
	v := newServerList(cfg.Discovery)
	v.apply(l, now)
	h.queueList(v, true)
	if err := h.writeList(); err != nil {
		t.Fatal(err)
	}
	if e, _ := h.store.Get(sectionList, singleKey); len(e.Value) > 1000 {
		t.Errorf("%d bytes are kept", len(e.Value))
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
