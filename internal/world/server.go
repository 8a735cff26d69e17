// Package world models the environment of a sidecar: queueing servers, the server list that discovery keeps, and the
// requests that clients make. The models follow the operators' documents and do not reproduce any real machine.
//
// A model has no clock, socket or goroutine: its caller passes the time and serialises the calls. The lab runs the
// models behind real sockets; tests run them in virtual time. Times are durations since the start of a run. The same
// calls with the same seed give the same results.
package world

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// ServerSpec holds the parameters of a simulated queueing server. Work is given as processor time on a standard core.
type ServerSpec struct {
	Cores      float64
	Speed      float64 // of a core, relative to the standard core
	Slots      int     // requests processed concurrently
	QueueLimit int     // requests that may wait for a slot

	// With n > ThrashThreshold requests in slots, the server is slower by a factor of
	// 1 + ThrashFactor*(n-ThrashThreshold)/ThrashThreshold. A ThrashThreshold of 0 disables thrashing.
	ThrashFactor    float64
	ThrashThreshold float64

	KeyCacheSize   int           // number of request keys that the cache holds
	KeyCacheTTL    time.Duration // age after which a cached key no longer saves work
	KeyCacheSaving float64       // share of a request's work saved when its key is cached

	ColdCapacityShare float64       // share of the full capacity available at a start; it rises linearly to 1
	WarmUpTime        time.Duration // from a start until the full capacity is available
	ColdCrashFactor   float64       // a cold server crashes when sent more than this multiple of its current capacity
	ColdCrashWindow   time.Duration // sliding window over which the work sent to a cold server is summed
	// ColdCrashMeanWork is the mean work of a request. It sets the margin for chance in the crash limit: three standard
	// deviations of the work that the limit allows, and three mean requests.
	ColdCrashMeanWork time.Duration

	CongestionThreshold  float64       // outstanding requests per core above which congestion builds up
	CongestionDelay      time.Duration // time above the threshold until the server becomes congested
	CongestionSlowdown   float64       // factor by which a congested server is slower
	RecoveryWindow       time.Duration // the server recovers after a mostly idle period of this length
	RecoveryMaxBusyShare float64       // largest busy share of RecoveryWindow that counts as mostly idle; 0: fully idle
	CongestionMaxTime    time.Duration // the server recovers after this time in any case; 0: it never becomes congested

	ErrorShare    float64       // share of the requests that end in an error
	CancelRunning bool          // whether cancelling a request also stops it when it occupies a slot
	HandshakeWork time.Duration // work of accepting a connection
	ProbeWork     time.Duration // work of answering a probe
}

// unsetTime marks a time that has not been set. It lies before any time that a run may have.
const unsetTime = time.Duration(math.MinInt64 / 2)

// Job is one request as a server sees it.
type Job struct {
	ID       uint64
	Work     time.Duration // processor time on the standard core
	Key      uint64        // key for the server's cache; 0: the request is not cacheable
	DedupKey uint64        // identifies the request and its repeats to the zone's deduplication; 0: not deduplicated
}

// Verdict is the result of a job's arrival at a server.
type Verdict int

// The verdicts.
const (
	Accepted  Verdict = iota // queued or running; Advance reports its completion
	Rejected                 // turned away without being processed
	Duplicate                // dropped as a repeat of a job seen in the zone, and answered at once
	Down                     // the server is not running
)

// String returns the name of the verdict for logs and test failures.
func (v Verdict) String() string {
	return [...]string{Accepted: "taken", Rejected: "turned away", Duplicate: "repeated", Down: "down"}[v]
}

// Completion reports that a job has ended.
type Completion struct {
	ID     uint64
	At     time.Duration
	Failed bool // the server answers with an error
}

// DedupZone is the deduplication state that the servers of a zone share. The zero value drops no repeats.
type DedupZone struct {
	Window    time.Duration            // how long after a job its repeats are dropped
	firstSeen map[uint64]time.Duration // by Job.DedupKey: when the first job of the current window arrived
}

// checkDuplicate reports whether a job with the same key arrived within the window. If none did, it records this one.
func (z *DedupZone) checkDuplicate(now time.Duration, key uint64) bool {
	if z == nil || key == 0 || z.Window == 0 {
		return false
	}
	if at, ok := z.firstSeen[key]; ok && now-at < z.Window {
		return true
	}
	if z.firstSeen == nil || len(z.firstSeen) > 1<<16 { // bounds the map; that many jobs take many times the window
		z.firstSeen = make(map[uint64]time.Duration)
	}
	z.firstSeen[key] = now
	return false
}

// runningJob is a job that occupies a slot.
type runningJob struct {
	job           Job
	remainingWork float64 // seconds on the standard core
}

// Server simulates one queueing server. The times passed to its methods must not decrease.
type Server struct {
	spec ServerSpec
	zone *DedupZone
	rng  *rand.Rand

	up              bool
	crashedCold     bool
	now             time.Duration
	startedAt       time.Duration // time of the last Start
	startedCold     bool          // Start was called, so the server warms up from startedAt
	slowdown        float64       // factor set by SetSlowdown
	extraErrorShare float64       // share set by SetErrorShare
	rejecting       bool          // set by SetRejecting

	running      []runningJob
	queue        []Job
	overheadWork float64 // seconds of work of handshakes and probes, which precedes all jobs
	keyLastUsed  map[uint64]time.Duration
	keysByAge    []uint64 // the cached keys, least recently used first

	recentWork         []workSample  // work sent to a cold server within ColdCrashWindow
	recentWorkSeconds  float64       // sum of recentWork
	overThresholdSince time.Duration // start of the time above CongestionThreshold, or unsetTime
	congestedSince     time.Duration // start of the current congestion, or unsetTime
	busySpells         []busySpell   // busy times of a congested server within RecoveryWindow
	WorkDone           float64       // seconds of work done over all starts of the server
	congestionCount    int
}

// workSample is an amount of work that was sent to a cold server.
type workSample struct {
	at      time.Duration
	seconds float64
}

// busySpell is a step of the simulation in which a congested server had work.
type busySpell struct {
	until       time.Duration
	busySeconds float64 // busy time, averaged over all cores
}

// NewServer returns a running server with its full capacity. zone may be nil, which disables deduplication.
func NewServer(spec ServerSpec, zone *DedupZone, seed uint64) *Server {
	s := &Server{spec: spec, zone: zone, rng: rand.New(rand.NewPCG(seed, 1)), up: true, slowdown: 1, now: unsetTime}
	s.reset()
	return s
}

// reset drops all jobs, the key cache and the overload state.
func (s *Server) reset() {
	s.running, s.queue, s.overheadWork, s.recentWork, s.recentWorkSeconds = nil, nil, 0, nil, 0
	s.keyLastUsed, s.keysByAge = make(map[uint64]time.Duration), nil
	s.overThresholdSince, s.congestedSince, s.busySpells = unsetTime, unsetTime, nil
}

// Start starts or restarts the server cold: without jobs, with an empty key cache and with reduced capacity.
func (s *Server) Start(now time.Duration) {
	s.reset()
	s.up, s.crashedCold, s.startedCold, s.startedAt, s.now = true, false, true, now, now
}

// Crash stops the server. Its jobs are lost without a completion.
func (s *Server) Crash(now time.Duration) {
	s.reset()
	s.up, s.now = false, now
}

// Up reports whether the server is running.
func (s *Server) Up() bool { return s.up }

// CrashedCold reports whether overload while cold has crashed the server since its last start.
func (s *Server) CrashedCold() bool { return s.crashedCold }

// CongestionCount returns how often the server has become congested.
func (s *Server) CongestionCount() int { return s.congestionCount }

// Congested reports whether the server is slowed down by congestion and has not recovered yet.
func (s *Server) Congested() bool { return s.congestedSince != unsetTime }

// SetSlowdown injects a fault that makes the server slower by a factor; 1 ends it.
func (s *Server) SetSlowdown(factor float64) { s.slowdown = max(factor, 1e-3) }

// SetErrorShare injects a fault that makes a share of the requests fail, in addition to ServerSpec.ErrorShare; 0 ends it.
func (s *Server) SetErrorShare(share float64) { s.extraErrorShare = share }

// SetRejecting sets whether the server rejects every request.
func (s *Server) SetRejecting(on bool) { s.rejecting = on }

// Outstanding returns the number of requests that are queued or running.
func (s *Server) Outstanding() int { return len(s.running) + len(s.queue) }

// CapacityShare returns the share of the full capacity that is available at a time: below 1 while the server warms up.
func (s *Server) CapacityShare(now time.Duration) float64 {
	if !s.startedCold || s.spec.WarmUpTime <= 0 {
		return 1
	}
	elapsed := float64(now-s.startedAt) / float64(s.spec.WarmUpTime)
	return min(1, s.spec.ColdCapacityShare+(1-s.spec.ColdCapacityShare)*elapsed)
}

// Capacity returns the work in seconds that the server can do in a second at a time, without faults and overload.
func (s *Server) Capacity(now time.Duration) float64 {
	return s.spec.Cores * s.spec.Speed * s.CapacityShare(now)
}

// rate returns the work in seconds that the server does in a second: its capacity, reduced by a slowdown fault, by too
// many running requests and by congestion.
func (s *Server) rate(now time.Duration) float64 {
	r := s.Capacity(now) / s.slowdown
	if over := float64(len(s.running)) - s.spec.ThrashThreshold; s.spec.ThrashThreshold > 0 && over > 0 {
		r /= 1 + s.spec.ThrashFactor*over/s.spec.ThrashThreshold
	}
	if s.congestedSince != unsetTime {
		r /= s.spec.CongestionSlowdown
	}
	return r
}

// Connect adds the work of a new connection's handshake.
func (s *Server) Connect(now time.Duration) { s.addOverhead(now, s.spec.HandshakeWork) }

// Probe adds the work of answering a probe.
func (s *Server) Probe(now time.Duration) { s.addOverhead(now, s.spec.ProbeWork) }

// addOverhead adds work that is done before that of all jobs.
func (s *Server) addOverhead(now time.Duration, work time.Duration) {
	s.initClock(now)
	if s.up {
		s.overheadWork += work.Seconds()
		s.recordColdWork(now, work.Seconds())
	}
}

// initClock sets the server's time at the first call.
func (s *Server) initClock(now time.Duration) {
	if s.now == unsetTime {
		s.now = now
	}
}

// recordColdWork counts work that is sent to a warming-up server, and crashes the server when the work within
// ColdCrashWindow exceeds the limit.
func (s *Server) recordColdWork(now time.Duration, work float64) {
	if !s.startedCold || s.spec.ColdCrashFactor <= 0 || s.CapacityShare(now) >= 1 {
		return
	}
	for len(s.recentWork) > 0 && s.recentWork[0].at <= now-s.spec.ColdCrashWindow {
		s.recentWorkSeconds -= s.recentWork[0].seconds
		s.recentWork = s.recentWork[1:]
	}
	s.recentWork = append(s.recentWork, workSample{now, work})
	s.recentWorkSeconds += work
	limit, meanWork := s.spec.ColdCrashFactor*s.Capacity(now)*s.spec.ColdCrashWindow.Seconds(), s.spec.ColdCrashMeanWork.Seconds()
	if s.recentWorkSeconds > limit+3*math.Sqrt(limit*meanWork)+3*meanWork {
		s.reset()
		s.up, s.crashedCold = false, true
	}
}

// Arrive hands a completely received job to the server. The caller calls Advance for the same time first.
func (s *Server) Arrive(now time.Duration, j Job) Verdict {
	s.initClock(now)
	switch {
	case !s.up:
		return Down
	case s.rejecting || len(s.queue) >= s.spec.QueueLimit && len(s.running) >= s.spec.Slots:
		return Rejected
	case s.zone.checkDuplicate(now, j.DedupKey):
		return Duplicate
	}
	if s.recordColdWork(now, j.Work.Seconds()); !s.up {
		return Down
	}
	s.queue = append(s.queue, j)
	s.startQueued(now)
	s.updateCongestion(now)
	return Accepted
}

// startQueued moves queued jobs to free slots. A job whose key is cached has less work.
func (s *Server) startQueued(now time.Duration) {
	for len(s.queue) > 0 && len(s.running) < s.spec.Slots {
		j := s.queue[0]
		s.queue = s.queue[1:]
		work := j.Work.Seconds()
		if at, ok := s.keyLastUsed[j.Key]; ok && j.Key != 0 && now-at < s.spec.KeyCacheTTL {
			work *= 1 - s.spec.KeyCacheSaving
		}
		s.running = append(s.running, runningJob{j, work})
	}
}

// cacheKey stores a key as the most recently used one, and evicts the least recently used key when the cache is full.
func (s *Server) cacheKey(now time.Duration, key uint64) {
	if key == 0 || s.spec.KeyCacheSize == 0 {
		return
	}
	if _, ok := s.keyLastUsed[key]; ok {
		s.keysByAge = slices.DeleteFunc(s.keysByAge, func(k uint64) bool { return k == key })
	} else if len(s.keysByAge) >= s.spec.KeyCacheSize {
		delete(s.keyLastUsed, s.keysByAge[0])
		s.keysByAge = s.keysByAge[1:]
	}
	s.keyLastUsed[key] = now
	s.keysByAge = append(s.keysByAge, key)
}

// updateCongestion makes the server congested after CongestionDelay above the threshold, and ends the congestion after
// the recovery or after CongestionMaxTime.
func (s *Server) updateCongestion(now time.Duration) {
	if s.spec.CongestionMaxTime <= 0 {
		return
	}
	if s.congestedSince != unsetTime {
		if s.recovered(now) || now-s.congestedSince >= s.spec.CongestionMaxTime {
			s.congestedSince, s.overThresholdSince, s.busySpells = unsetTime, unsetTime, nil
		}
		return
	}
	switch {
	case float64(s.Outstanding())/s.spec.Cores <= s.spec.CongestionThreshold:
		s.overThresholdSince = unsetTime
	case s.overThresholdSince == unsetTime:
		s.overThresholdSince = now
	case now-s.overThresholdSince >= s.spec.CongestionDelay:
		s.congestedSince = now
		s.congestionCount++
	}
}

// recovered reports whether a congested server was mostly idle throughout the last RecoveryWindow.
func (s *Server) recovered(now time.Duration) bool {
	busy := 0.0
	s.busySpells = slices.DeleteFunc(s.busySpells, func(p busySpell) bool { return p.until <= now-s.spec.RecoveryWindow })
	for _, p := range s.busySpells {
		busy += p.busySeconds
	}
	return now-s.congestedSince >= s.spec.RecoveryWindow && busy <= s.spec.RecoveryMaxBusyShare*s.spec.RecoveryWindow.Seconds()
}

// busyShare returns the share of the cores that have work.
func (s *Server) busyShare() float64 {
	if s.overheadWork > 0 {
		return 1
	}
	return min(1, float64(len(s.running))/s.spec.Cores)
}

// Cancel cancels a job whose client no longer waits. It reports whether the job was removed: a running job is only if
// the specification allows that, and otherwise completes as usual.
func (s *Server) Cancel(id uint64) bool {
	if i := slices.IndexFunc(s.queue, func(j Job) bool { return j.ID == id }); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		return true
	}
	if s.spec.CancelRunning {
		if i := slices.IndexFunc(s.running, func(r runningJob) bool { return r.job.ID == id }); i >= 0 {
			s.running = slices.Delete(s.running, i, i+1)
			return true
		}
	}
	return false
}

// maxStep is the longest time for which the server's rate is taken as constant, although it changes continuously.
const maxStep = 20 * time.Millisecond

// Advance simulates the server up to a time and returns the jobs that have ended by then, in order of time.
func (s *Server) Advance(now time.Duration) (ended []Completion) {
	for s.up && s.now < now {
		next := min(now, s.now+maxStep)
		if at, ok := s.firstCompletion(); ok {
			next = max(s.now, min(next, at))
		}
		if share := s.busyShare(); s.congestedSince != unsetTime && share > 0 {
			s.busySpells = append(s.busySpells, busySpell{next, share * (next - s.now).Seconds()})
		}
		s.doWork((next - s.now).Seconds())
		s.now = next
		s.running = slices.DeleteFunc(s.running, func(r runningJob) bool {
			if r.remainingWork > 1e-9 {
				return false
			}
			s.cacheKey(next, r.job.Key)
			ended = append(ended, Completion{r.job.ID, next, s.rng.Float64() < s.spec.ErrorShare+s.extraErrorShare})
			return true
		})
		s.startQueued(next)
		s.updateCongestion(next)
		if len(s.running) == 0 && s.overheadWork <= 0 && s.congestedSince == unsetTime {
			break // the state does not change until the next arrival
		}
	}
	s.now = max(s.now, now)
	return ended
}

// doWork does the work of a period at the current rate: overhead first, then the running jobs in equal parts, each at
// most at the speed of one core.
func (s *Server) doWork(seconds float64) {
	available := s.rate(s.now) * seconds
	overhead := min(s.overheadWork, available)
	s.overheadWork -= overhead
	s.WorkDone += overhead
	if len(s.running) == 0 {
		return
	}
	perJob := min((available-overhead)/float64(len(s.running)), available/s.spec.Cores)
	for i := range s.running {
		done := min(perJob, s.running[i].remainingWork)
		s.running[i].remainingWork -= done
		s.WorkDone += done
	}
}

// firstCompletion returns when the first running job ends at the current rate, at most an hour ahead. It returns false
// if no job is running.
func (s *Server) firstCompletion() (time.Duration, bool) {
	if len(s.running) == 0 {
		return 0, false
	}
	shortest := slices.MinFunc(s.running, func(a, b runningJob) int { return cmp.Compare(a.remainingWork, b.remainingWork) }).remainingWork
	perJobRate := min(1/float64(len(s.running)), 1/s.spec.Cores) * s.rate(s.now)
	wait := s.overheadWork/s.rate(s.now) + shortest/perJobRate
	return s.now + time.Duration(max(1, math.Ceil(min(wait, 3600)*float64(time.Second)))), true
}

// NextEvent returns the earliest time at which Advance may return a completion. It returns false if no job is running
// or the server is down.
func (s *Server) NextEvent() (time.Duration, bool) {
	if !s.up {
		return 0, false
	}
	at, ok := s.firstCompletion()
	if s.startedCold && s.CapacityShare(s.now) < 1 {
		at = min(at, s.now+maxStep) // warming up increases the rate, so jobs end earlier than predicted
	}
	return at, ok
}
