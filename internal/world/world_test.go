package world

import (
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms = time.Millisecond
	s  = time.Second
)

// plain is a server with no quirks.
func plain() ServerSpec {
	return ServerSpec{Cores: 1, Speed: 1, Slots: 4, QueueLimit: 4, ColdCapacityShare: 0.2, WarmUpTime: 10 * s, ColdCrashFactor: 4, ColdCrashWindow: 2 * s, ColdCrashMeanWork: 10 * ms}
}

// ends plays a server until t and tells when each job ended.
func ends(m *Server, t time.Duration) map[uint64]time.Duration {
	at := make(map[uint64]time.Duration)
	for _, e := range m.Advance(t) {
		at[e.ID] = e.At
	}
	return at
}

func near(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if d := got - want; d < -ms || d > ms {
		t.Errorf("%s at %v, want %v", what, got, want)
	}
}

func TestCoresAreSharedAndQueuesWait(t *testing.T) {
	m := NewServer(plain(), nil, 1)
	for id := range uint64(2) {
		if v := m.Arrive(0, Job{ID: id, Work: 10 * ms * time.Duration(1+id)}); v != Accepted {
			t.Fatalf("verdict %v", v)
		}
	}
	at := ends(m, s)
	near(t, "the short job", at[0], 20*ms) // half a core each
	near(t, "the long job", at[1], 30*ms)
	for id := range uint64(9) {
		v := m.Arrive(s, Job{ID: 10 + id, Work: 10 * ms})
		if want := map[bool]Verdict{true: Accepted, false: Rejected}[id < 8]; v != want {
			t.Errorf("job %d: verdict %v, want %v", id, v, want)
		}
	}
	if !m.Cancel(14) || m.Cancel(10) {
		t.Error("a waiting job can be called off, one in work can't")
	}
	near(t, "the last job", ends(m, 2*s)[17], s+70*ms) // of 8, one was called off
	if math.Abs(m.WorkDone-0.1) > 1e-6 {
		t.Errorf("worked %v s, want 0.1", m.WorkDone)
	}
}

func TestColdServersRiseAndFall(t *testing.T) {
	m := NewServer(plain(), nil, 1)
	m.Crash(s)
	if v := m.Arrive(s, Job{ID: 1, Work: ms}); v != Down {
		t.Errorf("verdict %v of a dead server", v)
	}
	m.Start(2 * s)
	if w := m.CapacityShare(7 * s); math.Abs(w-0.6) > 1e-9 {
		t.Errorf("warmth %v half way, want 0.6", w)
	}
	m.Arrive(2*s, Job{ID: 2, Work: 20 * ms})
	if at := ends(m, 3*s)[2]; at < 2*s+95*ms || at > 2*s+101*ms {
		t.Errorf("20 ms of work on a fifth of a core ended at %v", at)
	}
	sent := 0
	for id := uint64(10); m.Up() && id < 10000; id++ { // 4 x 0.28 x 2 s is 224 of them, 3 x root of 224 + 3 are forgiven, and 2 were had
		m.Arrive(3*s, Job{ID: id, Work: 10 * ms})
		m.Cancel(id)
		m.work, m.queue = nil, nil
		sent++
	}
	if !m.CrashedCold() || sent != 270 {
		t.Errorf("fell over %v after %d jobs of 10 ms", m.CrashedCold(), sent)
	}
	m.Start(20 * s)
	if !m.Up() || m.CrashedCold() {
		t.Error("a server that fell over does not come back")
	}
}

func TestCrowdsKeysAndRepeats(t *testing.T) {
	spec := plain()
	spec.Slots, spec.QueueLimit = 20, 20
	spec.CongestionThreshold, spec.CongestionDelay, spec.CongestionSlowdown, spec.RecoveryWindow, spec.CongestionMaxTime = 3, s, 2, s, 20*s
	spec.KeyCacheSize, spec.KeyCacheTTL, spec.KeyCacheSaving = 2, 5*s, 0.5
	zone := &DedupZone{Window: 4 * s}
	m := NewServer(spec, zone, 1)
	for id := range uint64(6) {
		m.Arrive(0, Job{ID: id, Work: 300 * ms})
	}
	near(t, "a job in a crowd", ends(m, 10*s)[5], 2600*ms) // a second at full speed, 0.8 s of work at half
	if m.CongestionCount() != 1 || m.choked != never {
		t.Errorf("choked %d times, still %v", m.CongestionCount(), m.choked)
	}
	for id, c := range []struct {
		key  uint64
		took time.Duration
	}{{1, 100 * ms}, {1, 50 * ms}, {2, 100 * ms}, {3, 100 * ms}, {1, 100 * ms}, {3, 50 * ms}} {
		now := 20*s + time.Duration(id)*500*ms
		m.Advance(now)
		m.Arrive(now, Job{ID: 100 + uint64(id), Work: 100 * ms, Key: c.key})
		near(t, "a key's job", ends(m, now+400*ms)[100+uint64(id)], now+c.took)
	}
	m.Advance(30 * s)
	for i, want := range []Verdict{Accepted, Duplicate, Accepted} {
		at := 30*s + time.Duration(i)*2*s
		m.Advance(at)
		if v := m.Arrive(at, Job{ID: 200 + uint64(i), Work: ms, DedupKey: 9}); v != want {
			t.Errorf("copy %d at %v: verdict %v, want %v", i, at, v, want)
		}
	}
}

// A crowd makes a server slow until it was mostly idle for its rest, or for the longest time.
func TestCrowdedServersRest(t *testing.T) {
	for _, c := range []struct {
		busy  float64       // that counts as idle
		work  time.Duration // asked for every half second, at half speed
		until time.Duration // it is slow from 2 s on; the crowd's work is done at 3 s
	}{
		{0.33, 0, 4 * s},                   // 0.33 s of the second before may be busy
		{0.33, 50 * ms, 4 * s},             // 20% busy
		{0.33, 125 * ms, 12 * s},           // 50% busy: only time helps
		{0, 0, 4 * s}, {0, 5 * ms, 12 * s}, // wholly idle, or never so
		{0.33, 82 * ms, 4 * s}, {0, ms, 12 * s}, // just so
	} {
		spec := plain()
		spec.Slots, spec.QueueLimit = 20, 20
		spec.CongestionThreshold, spec.CongestionDelay, spec.CongestionSlowdown, spec.RecoveryWindow, spec.RecoveryMaxBusyShare, spec.CongestionMaxTime = 3, 2*s, 2, s, c.busy, 10*s
		m := NewServer(spec, nil, 1)
		for id := range uint64(4) {
			m.Arrive(0, Job{ID: id, Work: 625 * ms})
		}
		slow := time.Duration(0)
		for now := time.Duration(0); now < 14*s; now += 10 * ms {
			m.Advance(now)
			if now >= 3*s && now%(500*ms) == 0 && c.work > 0 {
				m.Arrive(now, Job{ID: 100 + uint64(now), Work: c.work})
			}
			if m.Congested() {
				slow = now
			}
		}
		if d := slow - c.until; d < -400*ms || d > 20*ms || m.CongestionCount() != 1 {
			t.Errorf("idle at %v and %v of work every half second: slow until %v, %d times; want %v", c.busy, c.work, slow, m.CongestionCount(), c.until)
		}
	}
}

// Whatever happens to a server: each job that it takes ends at most once, only after it came, none is forgotten while
// the server lives, and no more work is done than its cores can.
func TestServersKeepTheirJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := plain()
		spec.Cores = float64(rapid.IntRange(1, 4).Draw(t, "cores"))
		spec.ThrashThreshold, spec.ThrashFactor = 2, 0.5
		spec.CongestionThreshold, spec.CongestionDelay, spec.CongestionSlowdown, spec.RecoveryWindow, spec.CongestionMaxTime = 2, 50*ms, 3, 100*ms, s
		spec.CancelRunning = rapid.Bool().Draw(t, "cancel")
		spec.HandshakeWork = 3 * ms
		m := NewServer(spec, nil, 1)
		held, now, next := make(map[uint64]time.Duration), time.Duration(0), uint64(1)
		end := func() {
			for _, e := range m.Advance(now) {
				if came, ok := held[e.ID]; !ok || e.At < came || e.At > now {
					t.Fatalf("job %d ended at %v; it came at %v, held %v", e.ID, e.At, came, ok)
				}
				delete(held, e.ID)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * ms
			end()
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				m.Crash(now)
				clear(held)
			case 1:
				m.Start(now)
				clear(held)
			case 2:
				m.SetSlowdown(float64(rapid.IntRange(1, 5).Draw(t, "slow")))
			case 3:
				m.Connect(now)
			case 4:
				if id := rapid.Uint64Range(1, next).Draw(t, "id"); m.Cancel(id) {
					delete(held, id)
				}
			default:
				work := time.Duration(rapid.IntRange(0, 60).Draw(t, "work")) * ms
				if m.Arrive(now, Job{ID: next, Work: work}) == Accepted {
					held[next] = now
				}
				next++
			}
			if !m.Up() {
				clear(held) // it fell over
			}
			if m.Outstanding() != len(held) {
				t.Fatalf("the server holds %d jobs, %d have not ended", m.Outstanding(), len(held))
			}
		}
		if most := now.Seconds() * spec.Cores; m.WorkDone > most+1e-6 {
			t.Fatalf("%v s of work done in %v s of cores", m.WorkDone, most)
		}
		m.SetSlowdown(1)
		for range 10_000 { // and what is left comes to its end by the times that Next names
			at, ok := m.NextEvent()
			if !ok {
				break
			}
			now = max(now, at)
			end()
		}
		if m.Up() && len(held) > 0 {
			t.Fatalf("%d jobs never end", len(held))
		}
	})
}

func TestArrivals(t *testing.T) {
	spec := LoadSpec{
		Rate: 500, Duration: 20 * s, Sidecars: 5, Skew: 0.5, Keys: 100, ZipfExponent: 1, Tenants: []float64{3, 1},
		Classes: []Class{{Name: "a", Share: 0.6, MeanWork: 15 * ms, WorkVariation: 1}, {Name: "b", Share: 0.4, MeanWork: 20 * ms, WorkVariation: 0.5}},
		Bursts:  []Burst{{Start: 10 * s, Duration: 5 * s, Factor: 3}},
	}
	all := DrawArrivals(spec, 7)
	if !reflect.DeepEqual(all, DrawArrivals(spec, 7)) {
		t.Fatal("the same seed draws other requests")
	}
	if reflect.DeepEqual(all, DrawArrivals(spec, 8)) {
		t.Fatal("another seed draws the same requests")
	}
	var before, burst, classB, tenantB, first int
	var work time.Duration
	for i, a := range all {
		if i > 0 && a.At < all[i-1].At {
			t.Fatal("they are not in order")
		}
		switch {
		case a.At < 10*s:
			before++
		case a.At >= 11*s && a.At < 14*s:
			burst++
		}
		classB += a.Class
		tenantB += a.Tenant
		if a.Key == 1 {
			first++
		}
		work += a.Work
	}
	n := float64(len(all))
	for _, c := range []struct {
		what      string
		got, want float64
	}{
		{"requests before the burst", float64(before), 5000}, {"and in it", float64(burst), 4500},
		{"of class b", float64(classB) / n, 0.4}, {"of tenant b", float64(tenantB) / n, 0.25},
		{"of the first key", float64(first) / n, 0.193}, {"mean work", work.Seconds() / n, 0.017},
	} {
		if math.Abs(c.got/c.want-1) > 0.1 {
			t.Errorf("%s: %v, want about %v", c.what, c.got, c.want)
		}
	}
}

func TestRosterAndDesk(t *testing.T) {
	r := NewServerList(3, 1)
	if r.Set(Entry{Server: 0, Lifecycle: Ready}) {
		t.Error("no change is news")
	}
	r.Set(Entry{Server: 1, Lifecycle: Draining})
	r.Set(Entry{Server: 2, Lifecycle: Gone})
	r.Set(Entry{Server: 1, Lifecycle: Gone})
	if got, ok := r.ChangedSince(1); !ok || !reflect.DeepEqual(got, []Entry{{1, Gone, 0}, {2, Gone, 0}}) {
		t.Errorf("since the start: %v %v", got, ok)
	}
	if got, ok := r.ChangedSince(r.Version()); !ok || len(got) > 0 || r.Version() != 4 {
		t.Errorf("since version %d: %v %v", r.Version(), got, ok)
	}
	if c := r.Clone(); c.Version() != 4 || len(c.Listed()) != 1 || !c.Set(Entry{Server: 0, Lifecycle: Gone}) || r.Version() != 4 || len(r.Listed()) != 1 {
		t.Errorf("a copy at version %d with %v, after a change of it version %d", c.Version(), c.Listed(), r.Version())
	}
	still := r.Clone()
	r.Reserve(2)
	if len(r.Listed()) != 1 || r.Version() != 4 {
		t.Errorf("the whole list: %v, version %d", r.Listed(), r.Version())
	}
	r.Set(Entry{Server: 4, Lifecycle: Ready})
	if !reflect.DeepEqual(still.Listed(), []Entry{{0, Ready, 0}}) || still.Version() != 4 || len(r.Listed()) != 2 {
		t.Errorf("a copy has %v at version %d, the list %v", still.Listed(), still.Version(), r.Listed())
	}
	for range rosterLog {
		r.Set(Entry{Server: 0, Lifecycle: Draining})
		r.Set(Entry{Server: 0, Lifecycle: Ready})
	}
	for _, version := range []int64{0, 1, r.Version() + 1} {
		if _, ok := r.ChangedSince(version); ok {
			t.Errorf("changes since %d are told, though nobody can know them", version)
		}
	}
	d := NewFIFOService(10*ms, ms, 25*ms)
	for i, want := range []time.Duration{20 * ms, 40 * ms, 0} {
		got, ok := d.Enqueue(-s, 10)
		if ok != (want > 0) || ok && got != want-s {
			t.Errorf("call %d is answered at %v, %v, want %v", i, got, ok, want)
		}
	}
}
