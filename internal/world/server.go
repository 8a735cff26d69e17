// Package world has the models of what surrounds a sidecar: queue servers, the list of servers that discovery keeps,
// and the requests that clients make. They are drawn from the operators' papers, not from any real machine.
//
// No model has a clock, a socket or a goroutine: whoever plays one passes the time and serialises the calls. The lab
// plays them on real sockets; the same code can be played in virtual time. Times are durations since the start of a
// run. The same calls with the same seed give the same results.
package world

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// ServerSpec says what a queue server is like.
type ServerSpec struct {
	Cores      float64
	Speed      float64 // of a core, against the standard one
	Slots      int     // requests in work at once
	QueueLimit int     // requests that may wait

	ThrashFactor    float64 // so much of its speed is lost at twice ThrashThreshold in work, and so on
	ThrashThreshold float64

	KeyCacheSize   int           // keys that it remembers
	KeyCacheTTL    time.Duration // and for how long
	KeyCacheSaving float64       // share of the work that a key met lately saves

	ColdCapacityShare float64       // share of its capacity that it starts with; it rises evenly
	WarmUpTime        time.Duration // until it has all
	ColdCrashFactor   float64       // sent more than this multiple of what it can do at that moment,
	ColdCrashWindow   time.Duration // for this long, a cold one falls over
	ColdCrashMeanWork time.Duration // work of a mean request: three and three times the root of what it may have are forgiven, for chance

	CongestionThreshold  float64       // with this many requests to a core
	CongestionDelay      time.Duration // for this long,
	CongestionSlowdown   float64       // it turns so many times slower
	RecoveryWindow       time.Duration // until it has been mostly idle for so long:
	RecoveryMaxBusyShare float64       // busy for no more than this share of it; 0: it had nothing at all
	CongestionMaxTime    time.Duration // or this has passed; 0: it does not choke

	ErrorShare    float64 // share of requests that end in an error
	CancelRunning bool    // a cancelled request stops also when it is in work
	HandshakeWork time.Duration
	ProbeWork     time.Duration // work of a probe
}

// never is before any time that a run may have.
const never = time.Duration(math.MinInt64 / 2)

// Job is one request as a server sees it.
type Job struct {
	ID       uint64
	Work     time.Duration // on the standard core
	Key      uint64        // what it is about; 0: nothing that could be remembered
	DedupKey uint64        // a repeat of it is dropped by its zone; 0: it is not
}

// Verdict is what becomes of a job that arrives.
type Verdict int

// The verdicts.
const (
	Accepted  Verdict = iota // it waits or is in work; Advance tells of its end
	Rejected                 // turned away, unseen
	Duplicate                // dropped, as its zone has had it: answered at once
	Down                     // there is nobody
)

// String names a verdict.
func (v Verdict) String() string {
	return [...]string{Accepted: "taken", Rejected: "turned away", Duplicate: "repeated", Down: "down"}[v]
}

// Completion is a job that is done.
type Completion struct {
	ID     uint64
	At     time.Duration
	Failed bool
}

// DedupZone remembers what its servers have had, to drop repeats. The zero value drops none.
type DedupZone struct {
	Window time.Duration
	had    map[uint64]time.Duration
}

// repeats says whether a job was had lately, and else enters it.
func (z *DedupZone) repeats(now time.Duration, unique uint64) bool {
	if z == nil || unique == 0 || z.Window == 0 {
		return false
	}
	if at, ok := z.had[unique]; ok && now-at < z.Window {
		return true
	}
	if z.had == nil || len(z.had) > 1<<16 { // past the window many times over
		z.had = make(map[uint64]time.Duration)
	}
	z.had[unique] = now
	return false
}

// running is a job in work.
type running struct {
	job  Job
	left float64 // seconds of work on the standard core
}

// Server is one queue server. Its methods' times never go back.
type Server struct {
	spec ServerSpec
	zone *DedupZone
	rng  *rand.Rand

	up      bool
	fell    bool
	now     time.Duration
	started time.Duration // of this life
	cold    bool          // whether it began cold
	slow    float64       // times slower, by a fault
	erring  float64       // share of requests that err, by a fault
	refuses bool

	work  []running
	queue []Job
	debt  float64 // seconds of work that goes first: handshakes and probes
	met   map[uint64]time.Duration
	order []uint64 // keys met, the oldest first

	sent       []sent // to a cold server, within the window
	sentWork   float64
	crowded    time.Duration // since when it has too many; never: it has not
	choked     time.Duration // since when; never: it is not
	spells     []spell       // of a choked one, within the time of its rest
	WorkDone   float64       // seconds of work done in all its lives
	chokeTimes int
}

type sent struct {
	at   time.Duration
	work float64
}

// spell is a time in which a server was so busy.
type spell struct {
	until time.Duration
	busy  float64 // seconds, over all cores alike
}

// NewServer makes a server that has been up for long. zone may be nil.
func NewServer(spec ServerSpec, zone *DedupZone, seed uint64) *Server {
	s := &Server{spec: spec, zone: zone, rng: rand.New(rand.NewPCG(seed, 1)), up: true, slow: 1, now: never}
	s.forget()
	return s
}

func (s *Server) forget() {
	s.work, s.queue, s.debt, s.sent, s.sentWork = nil, nil, 0, nil, 0
	s.met, s.order = make(map[uint64]time.Duration), nil
	s.crowded, s.choked, s.spells = never, never, nil
}

// Start begins a life of the server, cold, with nothing left of the one before.
func (s *Server) Start(now time.Duration) {
	s.forget()
	s.up, s.fell, s.cold, s.started, s.now = true, false, true, now, now
}

// Crash ends its life. What it held is gone.
func (s *Server) Crash(now time.Duration) {
	s.forget()
	s.up, s.now = false, now
}

// Up says whether it lives.
func (s *Server) Up() bool { return s.up }

// CrashedCold says whether it was pushed over when it was cold.
func (s *Server) CrashedCold() bool { return s.fell }

// CongestionCount counts the times that a crowd made it slow.
func (s *Server) CongestionCount() int { return s.chokeTimes }

// Congested says whether a crowd has made it slow, and it has not come to rest since.
func (s *Server) Congested() bool { return s.choked != never }

// SetSlowdown makes it so many times slower; 1 is its usual speed.
func (s *Server) SetSlowdown(times float64) { s.slow = max(times, 1e-3) }

// SetErrorShare makes a share of its requests end in errors, besides the usual ones.
func (s *Server) SetErrorShare(share float64) { s.erring = share }

// SetRejecting makes it turn everything away, or ends that.
func (s *Server) SetRejecting(on bool) { s.refuses = on }

// Outstanding is how many requests it has.
func (s *Server) Outstanding() int { return len(s.work) + len(s.queue) }

// CapacityShare is the share of its capacity that it has at a moment.
func (s *Server) CapacityShare(now time.Duration) float64 {
	if !s.cold || s.spec.WarmUpTime <= 0 {
		return 1
	}
	part := float64(now-s.started) / float64(s.spec.WarmUpTime)
	return min(1, s.spec.ColdCapacityShare+(1-s.spec.ColdCapacityShare)*part)
}

// Capacity is the work in seconds that it can do in a second at a moment, nothing being wrong.
func (s *Server) Capacity(now time.Duration) float64 {
	return s.spec.Cores * s.spec.Speed * s.CapacityShare(now)
}

// rate is the work in seconds that it does in a second now.
func (s *Server) rate(now time.Duration) float64 {
	r := s.Capacity(now) / s.slow
	if over := float64(len(s.work)) - s.spec.ThrashThreshold; s.spec.ThrashThreshold > 0 && over > 0 {
		r /= 1 + s.spec.ThrashFactor*over/s.spec.ThrashThreshold
	}
	if s.choked != never {
		r /= s.spec.CongestionSlowdown
	}
	return r
}

// Connect takes a new connection, whose handshake is work.
func (s *Server) Connect(now time.Duration) { s.burden(now, s.spec.HandshakeWork) }

// Probe takes a probe.
func (s *Server) Probe(now time.Duration) { s.burden(now, s.spec.ProbeWork) }

func (s *Server) burden(now time.Duration, work time.Duration) {
	s.begin(now)
	if s.up {
		s.debt += work.Seconds()
		s.push(now, work.Seconds())
	}
}

// begin takes the time from the first call.
func (s *Server) begin(now time.Duration) {
	if s.now == never {
		s.now = now
	}
}

// push counts work sent to a cold server, which falls over when it is too much.
func (s *Server) push(now time.Duration, work float64) {
	if !s.cold || s.spec.ColdCrashFactor <= 0 || s.CapacityShare(now) >= 1 {
		return
	}
	for len(s.sent) > 0 && s.sent[0].at <= now-s.spec.ColdCrashWindow {
		s.sentWork -= s.sent[0].work
		s.sent = s.sent[1:]
	}
	s.sent = append(s.sent, sent{now, work})
	s.sentWork += work
	most, mean := s.spec.ColdCrashFactor*s.Capacity(now)*s.spec.ColdCrashWindow.Seconds(), s.spec.ColdCrashMeanWork.Seconds()
	if s.sentWork > most+3*math.Sqrt(most*mean)+3*mean {
		s.forget()
		s.up, s.fell = false, true
	}
}

// Arrive takes a job whose last byte has come. Call Advance for the same moment first.
func (s *Server) Arrive(now time.Duration, j Job) Verdict {
	s.begin(now)
	switch {
	case !s.up:
		return Down
	case s.refuses || len(s.queue) >= s.spec.QueueLimit && len(s.work) >= s.spec.Slots:
		return Rejected
	case s.zone.repeats(now, j.DedupKey):
		return Duplicate
	}
	if s.push(now, j.Work.Seconds()); !s.up {
		return Down
	}
	s.queue = append(s.queue, j)
	s.fill(now)
	s.crowd(now)
	return Accepted
}

// fill puts waiting jobs to work.
func (s *Server) fill(now time.Duration) {
	for len(s.queue) > 0 && len(s.work) < s.spec.Slots {
		j := s.queue[0]
		s.queue = s.queue[1:]
		left := j.Work.Seconds()
		if at, ok := s.met[j.Key]; ok && j.Key != 0 && now-at < s.spec.KeyCacheTTL {
			left *= 1 - s.spec.KeyCacheSaving
		}
		s.work = append(s.work, running{j, left})
	}
}

// remember keeps a key that was met, and forgets the oldest where there is no room.
func (s *Server) remember(now time.Duration, key uint64) {
	if key == 0 || s.spec.KeyCacheSize == 0 {
		return
	}
	if _, ok := s.met[key]; ok {
		s.order = slices.DeleteFunc(s.order, func(k uint64) bool { return k == key })
	} else if len(s.order) >= s.spec.KeyCacheSize {
		delete(s.met, s.order[0])
		s.order = s.order[1:]
	}
	s.met[key] = now
	s.order = append(s.order, key)
}

// crowd sees whether too many have been there for too long, and whether a choked server has come to rest.
func (s *Server) crowd(now time.Duration) {
	if s.spec.CongestionMaxTime <= 0 {
		return
	}
	if s.choked != never {
		if s.rested(now) || now-s.choked >= s.spec.CongestionMaxTime {
			s.choked, s.crowded, s.spells = never, never, nil
		}
		return
	}
	switch {
	case float64(s.Outstanding())/s.spec.Cores <= s.spec.CongestionThreshold:
		s.crowded = never
	case s.crowded == never:
		s.crowded = now
	case now-s.crowded >= s.spec.CongestionDelay:
		s.choked = now
		s.chokeTimes++
	}
}

// rested says whether a choked server was mostly idle for as long as its rest takes.
func (s *Server) rested(now time.Duration) bool {
	busy := 0.0
	s.spells = slices.DeleteFunc(s.spells, func(p spell) bool { return p.until <= now-s.spec.RecoveryWindow })
	for _, p := range s.spells {
		busy += p.busy
	}
	return now-s.choked >= s.spec.RecoveryWindow && busy <= s.spec.RecoveryMaxBusyShare*s.spec.RecoveryWindow.Seconds()
}

// busy is the share of its cores that have something to do.
func (s *Server) busy() float64 {
	if s.debt > 0 {
		return 1
	}
	return min(1, float64(len(s.work))/s.spec.Cores)
}

// Cancel takes that nobody waits for a job any more. It returns whether the job ends with that.
func (s *Server) Cancel(id uint64) bool {
	if i := slices.IndexFunc(s.queue, func(j Job) bool { return j.ID == id }); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		return true
	}
	if s.spec.CancelRunning {
		if i := slices.IndexFunc(s.work, func(r running) bool { return r.job.ID == id }); i >= 0 {
			s.work = slices.Delete(s.work, i, i+1)
			return true
		}
	}
	return false
}

// step is how long a rate that changes is taken for constant.
const step = 20 * time.Millisecond

// Advance plays on until now, and returns what has ended by then, in order.
func (s *Server) Advance(now time.Duration) (ended []Completion) {
	for s.up && s.now < now {
		next := min(now, s.now+step)
		if at, ok := s.first(); ok {
			next = max(s.now, min(next, at))
		}
		if busy := s.busy(); s.choked != never && busy > 0 {
			s.spells = append(s.spells, spell{next, busy * (next - s.now).Seconds()})
		}
		s.do((next - s.now).Seconds())
		s.now = next
		s.work = slices.DeleteFunc(s.work, func(r running) bool {
			if r.left > 1e-9 {
				return false
			}
			s.remember(next, r.job.Key)
			ended = append(ended, Completion{r.job.ID, next, s.rng.Float64() < s.spec.ErrorShare+s.erring})
			return true
		})
		s.fill(next)
		s.crowd(next)
		if len(s.work) == 0 && s.debt <= 0 && s.choked == never {
			break // nothing happens until somebody comes
		}
	}
	s.now = max(s.now, now)
	return ended
}

// do does so many seconds' work: debts first, then all that is in work alike, none by more than a core.
func (s *Server) do(seconds float64) {
	able := s.rate(s.now) * seconds
	paid := min(s.debt, able)
	s.debt -= paid
	s.WorkDone += paid
	if len(s.work) == 0 {
		return
	}
	each := min((able-paid)/float64(len(s.work)), able/s.spec.Cores)
	for i := range s.work {
		done := min(each, s.work[i].left)
		s.work[i].left -= done
		s.WorkDone += done
	}
}

// first is when the first job in work ends at the rate of now.
func (s *Server) first() (time.Duration, bool) {
	if len(s.work) == 0 {
		return 0, false
	}
	least := slices.MinFunc(s.work, func(a, b running) int { return cmp.Compare(a.left, b.left) }).left
	each := min(1/float64(len(s.work)), 1/s.spec.Cores) * s.rate(s.now)
	wait := s.debt/s.rate(s.now) + least/each
	return s.now + time.Duration(max(1, math.Ceil(min(wait, 3600)*float64(time.Second)))), true
}

// NextEvent is when Advance has something to tell at the soonest; false: never, as things are.
func (s *Server) NextEvent() (time.Duration, bool) {
	if !s.up {
		return 0, false
	}
	at, ok := s.first()
	if s.cold && s.CapacityShare(s.now) < 1 {
		at = min(at, s.now+step) // it gets faster
	}
	return at, ok
}
