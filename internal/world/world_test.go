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

// newSpec returns the specification of a server with neither thrashing, congestion, key cache nor errors.
func newSpec() ServerSpec {
	return ServerSpec{Cores: 1, Speed: 1, Slots: 4, QueueLimit: 4, ColdCapacityShare: 0.2, WarmUpTime: 10 * s, ColdCrashFactor: 4, ColdCrashWindow: 2 * s, ColdCrashMeanWork: 10 * ms}
}

// completionTimes advances a server to t and returns when each job ended.
func completionTimes(m *Server, t time.Duration) map[uint64]time.Duration {
	at := make(map[uint64]time.Duration)
	for _, e := range m.Advance(t) {
		at[e.ID] = e.At
	}
	return at
}

// checkTime checks a time with a tolerance of 1 ms.
func checkTime(t *testing.T, name string, got, want time.Duration) {
	t.Helper()
	if d := got - want; d < -ms || d > ms {
		t.Errorf("%s at %v, want %v", name, got, want)
	}
}

// Jobs in slots share the cores, and the server accepts as many jobs as slots and the queue hold.
func TestJobsShareCoresAndWaitInQueue(t *testing.T) {
	m := NewServer(newSpec(), nil, 1)
	for id := range uint64(2) {
		if v := m.Arrive(0, Job{ID: id, Work: 10 * ms * time.Duration(1+id)}); v != Accepted {
			t.Fatalf("verdict %v", v)
		}
	}
	at := completionTimes(m, s)
	checkTime(t, "the short job", at[0], 20*ms) // each job runs on half a core
	checkTime(t, "the long job", at[1], 30*ms)
	for id := range uint64(9) {
		v := m.Arrive(s, Job{ID: 10 + id, Work: 10 * ms})
		if want := map[bool]Verdict{true: Accepted, false: Rejected}[id < 8]; v != want {
			t.Errorf("job %d: verdict %v, want %v", id, v, want)
		}
	}
	if !m.Cancel(14) || m.Cancel(10) {
		t.Error("want a queued job to be cancelled and a running one to be kept")
	}
	checkTime(t, "the last job", completionTimes(m, 2*s)[17], s+70*ms) // 7 of 8 jobs remain after the cancellation
	if math.Abs(m.WorkDone-0.1) > 1e-6 {
		t.Errorf("%v s of work done, want 0.1", m.WorkDone)
	}
}

// A started server warms up to its full capacity, and crashes when it is sent too much work before.
func TestColdServerWarmsUpOrCrashes(t *testing.T) {
	m := NewServer(newSpec(), nil, 1)
	m.Crash(s)
	if v := m.Arrive(s, Job{ID: 1, Work: ms}); v != Down {
		t.Errorf("verdict %v of a crashed server, want down", v)
	}
	m.Start(2 * s)
	if w := m.CapacityShare(7 * s); math.Abs(w-0.6) > 1e-9 {
		t.Errorf("capacity share %v half way through the warm-up, want 0.6", w)
	}
	m.Arrive(2*s, Job{ID: 2, Work: 20 * ms})
	if at := completionTimes(m, 3*s)[2]; at < 2*s+95*ms || at > 2*s+101*ms {
		t.Errorf("20 ms of work on a fifth of a core ended at %v", at)
	}
	sent := 0
	// The limit is 4 x 0.28 x 2 s of work, which is 224 jobs, plus a margin of 3 x sqrt(224) + 3 jobs. The 20 ms sent
	// before count as 2 jobs.
	for id := uint64(10); m.Up() && id < 10000; id++ {
		m.Arrive(3*s, Job{ID: id, Work: 10 * ms})
		m.Cancel(id)
		m.running, m.queue = nil, nil
		sent++
	}
	if !m.CrashedCold() || sent != 270 {
		t.Errorf("crashed %v after %d jobs of 10 ms, want a crash after 270", m.CrashedCold(), sent)
	}
	m.Start(20 * s)
	if !m.Up() || m.CrashedCold() {
		t.Error("a server that crashed while cold does not start again")
	}
}

// Congestion slows a server down, a cached key saves work, and a zone drops repeats within its window.
func TestCongestionKeyCacheAndDedup(t *testing.T) {
	spec := newSpec()
	spec.Slots, spec.QueueLimit = 20, 20
	spec.CongestionThreshold, spec.CongestionDelay, spec.CongestionSlowdown, spec.RecoveryWindow, spec.CongestionMaxTime = 3, s, 2, s, 20*s
	spec.KeyCacheSize, spec.KeyCacheTTL, spec.KeyCacheSaving = 2, 5*s, 0.5
	zone := &DedupZone{Window: 4 * s}
	m := NewServer(spec, zone, 1)
	for id := range uint64(6) {
		m.Arrive(0, Job{ID: id, Work: 300 * ms})
	}
	checkTime(t, "a job during congestion", completionTimes(m, 10*s)[5], 2600*ms) // 1 s of work at full speed, 0.8 s at half
	if m.CongestionCount() != 1 || m.congestedSince != unsetTime {
		t.Errorf("congested %d times, and still since %v, want once and recovered", m.CongestionCount(), m.congestedSince)
	}
	for id, c := range []struct {
		key  uint64
		took time.Duration
	}{{1, 100 * ms}, {1, 50 * ms}, {2, 100 * ms}, {3, 100 * ms}, {1, 100 * ms}, {3, 50 * ms}} {
		now := 20*s + time.Duration(id)*500*ms
		m.Advance(now)
		m.Arrive(now, Job{ID: 100 + uint64(id), Work: 100 * ms, Key: c.key})
		checkTime(t, "a job with a key", completionTimes(m, now+400*ms)[100+uint64(id)], now+c.took)
	}
	m.Advance(30 * s)
	for i, want := range []Verdict{Accepted, Duplicate, Accepted} {
		at := 30*s + time.Duration(i)*2*s
		m.Advance(at)
		if v := m.Arrive(at, Job{ID: 200 + uint64(i), Work: ms, DedupKey: 9}); v != want {
			t.Errorf("repeat %d at %v: verdict %v, want %v", i, at, v, want)
		}
	}
}

// A congested server recovers after it was mostly idle for RecoveryWindow, or else after CongestionMaxTime.
func TestCongestedServerRecovers(t *testing.T) {
	for _, c := range []struct {
		maxBusyShare float64
		work         time.Duration // sent every half second once the overload is worked off; takes twice as long while congested
		until        time.Duration // expected recovery; the server is congested from 2 s on, and the overload is worked off at 3 s
	}{
		{0.33, 0, 4 * s},                   // may be busy for 0.33 s of the last second
		{0.33, 50 * ms, 4 * s},             // 20% busy
		{0.33, 125 * ms, 12 * s},           // 50% busy: recovers only after CongestionMaxTime
		{0, 0, 4 * s}, {0, 5 * ms, 12 * s}, // fully idle; never fully idle
		{0.33, 82 * ms, 4 * s}, {0, ms, 12 * s}, // just below and just above the limit
	} {
		spec := newSpec()
		spec.Slots, spec.QueueLimit = 20, 20
		spec.CongestionThreshold, spec.CongestionDelay, spec.CongestionSlowdown, spec.RecoveryWindow, spec.RecoveryMaxBusyShare, spec.CongestionMaxTime = 3, 2*s, 2, s, c.maxBusyShare, 10*s
		m := NewServer(spec, nil, 1)
		for id := range uint64(4) {
			m.Arrive(0, Job{ID: id, Work: 625 * ms})
		}
		lastCongested := time.Duration(0)
		for now := time.Duration(0); now < 14*s; now += 10 * ms {
			m.Advance(now)
			if now >= 3*s && now%(500*ms) == 0 && c.work > 0 {
				m.Arrive(now, Job{ID: 100 + uint64(now), Work: c.work})
			}
			if m.Congested() {
				lastCongested = now
			}
		}
		if d := lastCongested - c.until; d < -400*ms || d > 20*ms || m.CongestionCount() != 1 {
			t.Errorf("maximum busy share %v, %v of work every half second: congested until %v, %d times; want until %v, once", c.maxBusyShare, c.work, lastCongested, m.CongestionCount(), c.until)
		}
	}
}

// Under any sequence of events, each accepted job ends at most once and not before its arrival, a running server loses
// no job, and the work done does not exceed the capacity of the cores.
func TestServerLosesNoJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := newSpec()
		spec.Cores = float64(rapid.IntRange(1, 4).Draw(t, "cores"))
		spec.ThrashThreshold, spec.ThrashFactor = 2, 0.5
		spec.CongestionThreshold, spec.CongestionDelay, spec.CongestionSlowdown, spec.RecoveryWindow, spec.CongestionMaxTime = 2, 50*ms, 3, 100*ms, s
		spec.CancelRunning = rapid.Bool().Draw(t, "cancel")
		spec.HandshakeWork = 3 * ms
		m := NewServer(spec, nil, 1)
		outstanding, now, next := make(map[uint64]time.Duration), time.Duration(0), uint64(1)
		advance := func() {
			for _, e := range m.Advance(now) {
				if arrivedAt, ok := outstanding[e.ID]; !ok || e.At < arrivedAt || e.At > now {
					t.Fatalf("job %d ended at %v; it arrived at %v, was outstanding %v", e.ID, e.At, arrivedAt, ok)
				}
				delete(outstanding, e.ID)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * ms
			advance()
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				m.Crash(now)
				clear(outstanding)
			case 1:
				m.Start(now)
				clear(outstanding)
			case 2:
				m.SetSlowdown(float64(rapid.IntRange(1, 5).Draw(t, "slow")))
			case 3:
				m.Connect(now)
			case 4:
				if id := rapid.Uint64Range(1, next).Draw(t, "id"); m.Cancel(id) {
					delete(outstanding, id)
				}
			default:
				work := time.Duration(rapid.IntRange(0, 60).Draw(t, "work")) * ms
				if m.Arrive(now, Job{ID: next, Work: work}) == Accepted {
					outstanding[next] = now
				}
				next++
			}
			if !m.Up() {
				clear(outstanding) // it crashed while cold
			}
			if m.Outstanding() != len(outstanding) {
				t.Fatalf("the server has %d outstanding jobs, want %d", m.Outstanding(), len(outstanding))
			}
		}
		if maxWork := now.Seconds() * spec.Cores; m.WorkDone > maxWork+1e-6 {
			t.Fatalf("%v s of work done in %v s of processor time", m.WorkDone, maxWork)
		}
		m.SetSlowdown(1)
		for range 10_000 { // the remaining jobs end when the server is advanced to the times that NextEvent returns
			at, ok := m.NextEvent()
			if !ok {
				break
			}
			now = max(now, at)
			advance()
		}
		if m.Up() && len(outstanding) > 0 {
			t.Fatalf("%d jobs never end", len(outstanding))
		}
	})
}

// Arrivals are reproducible, ordered by time, and distributed as the specification says.
func TestDrawArrivals(t *testing.T) {
	spec := LoadSpec{
		Rate: 500, Duration: 20 * s, Sidecars: 5, Skew: 0.5, Keys: 100, ZipfExponent: 1, Tenants: []float64{3, 1},
		Classes: []Class{{Name: "a", Share: 0.6, MeanWork: 15 * ms, WorkVariation: 1}, {Name: "b", Share: 0.4, MeanWork: 20 * ms, WorkVariation: 0.5}},
		Bursts:  []Burst{{Start: 10 * s, Duration: 5 * s, Factor: 3}},
	}
	all := DrawArrivals(spec, 7)
	if !reflect.DeepEqual(all, DrawArrivals(spec, 7)) {
		t.Fatal("two draws with the same seed differ")
	}
	if reflect.DeepEqual(all, DrawArrivals(spec, 8)) {
		t.Fatal("draws with different seeds are equal")
	}
	var before, burst, classB, tenantB, first int
	var work time.Duration
	for i, a := range all {
		if i > 0 && a.At < all[i-1].At {
			t.Fatal("arrivals are not in order of time")
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
		name      string
		got, want float64
	}{
		{"requests before the burst", float64(before), 5000}, {"requests in the burst", float64(burst), 4500},
		{"share of class b", float64(classB) / n, 0.4}, {"share of tenant b", float64(tenantB) / n, 0.25},
		{"share of the first key", float64(first) / n, 0.193}, {"mean work", work.Seconds() / n, 0.017},
	} {
		if math.Abs(c.got/c.want-1) > 0.1 {
			t.Errorf("%s: %v, want about %v", c.name, c.got, c.want)
		}
	}
}

// The server list reports the changes since a version, and the FIFO service answers calls one after the other.
func TestServerListAndFIFOService(t *testing.T) {
	list := NewServerList(3, 1)
	if list.Set(Entry{Server: 0, Lifecycle: Ready}) {
		t.Error("an entry without a difference counts as a change")
	}
	list.Set(Entry{Server: 1, Lifecycle: Draining})
	list.Set(Entry{Server: 2, Lifecycle: Gone})
	list.Set(Entry{Server: 1, Lifecycle: Gone})
	if got, ok := list.ChangedSince(1); !ok || !reflect.DeepEqual(got, []Entry{{1, Gone, 0}, {2, Gone, 0}}) {
		t.Errorf("changes since version 1: %v %v", got, ok)
	}
	if got, ok := list.ChangedSince(list.Version()); !ok || len(got) > 0 || list.Version() != 4 {
		t.Errorf("changes since version %d: %v %v", list.Version(), got, ok)
	}
	if c := list.Clone(); c.Version() != 4 || len(c.Listed()) != 1 || !c.Set(Entry{Server: 0, Lifecycle: Gone}) || list.Version() != 4 || len(list.Listed()) != 1 {
		t.Errorf("a copy at version %d has %v; after its change the original is at version %d", c.Version(), c.Listed(), list.Version())
	}
	clone := list.Clone()
	list.Reserve(2)
	if len(list.Listed()) != 1 || list.Version() != 4 {
		t.Errorf("after Reserve: %v, version %d", list.Listed(), list.Version())
	}
	list.Set(Entry{Server: 4, Lifecycle: Ready})
	if !reflect.DeepEqual(clone.Listed(), []Entry{{0, Ready, 0}}) || clone.Version() != 4 || len(list.Listed()) != 2 {
		t.Errorf("a copy has %v at version %d, the list %v", clone.Listed(), clone.Version(), list.Listed())
	}
	for range maxLoggedChanges {
		list.Set(Entry{Server: 0, Lifecycle: Draining})
		list.Set(Entry{Server: 0, Lifecycle: Ready})
	}
	for _, version := range []int64{0, 1, list.Version() + 1} {
		if _, ok := list.ChangedSince(version); ok {
			t.Errorf("changes since version %d are returned, although they are not in the log", version)
		}
	}
	service := NewFIFOService(10*ms, ms, 25*ms)
	for i, want := range []time.Duration{20 * ms, 40 * ms, 0} {
		got, ok := service.Enqueue(-s, 10)
		if ok != (want > 0) || ok && got != want-s {
			t.Errorf("call %d is answered at %v, accepted %v; want %v after -1 s", i, got, ok, want)
		}
	}
}
