package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"arrowgw/internal/balance"
)

// coldFleet describes a fleet of balancers, each with its own seed and traffic, and servers of which some start cold.
type coldFleet struct {
	balancers, servers     int
	coldServers            int           // servers that start at coldStart
	capacity               float64       // capacity of a server, in requests of mean work per second
	noQuota                bool          // the settings have no quotas, which would give the capacity
	skew                   float64       // variation of the balancers' traffic
	load                   float64       // all traffic, relative to the capacity of all servers
	othersLostAfter        time.Duration // the other servers are unavailable from this time after coldStart on
	restart                time.Duration // all balancers are replaced at this time after coldStart; 0: never
	overlappingProcesses   bool          // old and new processes run side by side for 2 s
	byOperator             bool          // restarted between two operator calls, not announced by the list
	listDelay              time.Duration // the balancers receive the list within this time after coldStart
	overloadSpan           time.Duration // period over which the load of a cold server is limited
	coldFrom, coldMultiple float64       // Config.ColdFrom and Config.ColdMultiple
	coldTime               time.Duration // Config.ColdTime
}

// coldRun is the work that the fleet's cold servers received in one run.
type coldRun struct {
	fleet         *coldFleet
	rng           *rand.Rand
	work          map[balance.ServerID][]coldWork
	maxBoundShare float64 // the largest load of any period, relative to its bound
	sends         int
}

// coldWork is one request sent to a cold server.
type coldWork struct {
	at       time.Duration
	work     float64
	informed bool // its balancer had received the list with the server's start
}

// coldStart is the time at which the cold servers start.
const coldStart = 10 * time.Second

// record records a send to a server that may be cold. The bound for a period is N + 2 x sqrt(N) + 2 requests of mean
// work, where N is what the settings allow: coldMultiple times the present capacity, which rises linearly.
func (c *coldRun) record(at time.Duration, to balance.ServerID, informed bool) {
	f := c.fleet
	if int(to) > f.coldServers || at < coldStart || at >= coldStart+f.coldTime {
		return
	}
	c.sends++
	work := 0.2 + 0.2*c.rng.Float64() + c.rng.ExpFloat64()*0.8 // includes the handshake
	c.work[to] = append(c.work[to], coldWork{at, work, informed})
	total, fromInformed := 0.0, 0.0
	for _, w := range c.work[to] {
		if w.at > at-f.overloadSpan {
			total += w.work
			if w.informed {
				fromInformed += w.work
			}
		}
	}
	if fromInformed <= 2*total/3 { // too much of the load is from balancers that have not received the list
		return
	}
	warmth := f.coldFrom + (1-f.coldFrom)*float64(at-coldStart)/float64(f.coldTime)
	n := f.coldMultiple * warmth * f.capacity * f.overloadSpan.Seconds()
	c.maxBoundShare = max(c.maxBoundShare, total/(n+2*math.Sqrt(n)+2))
}

// config returns the settings of balancer i.
func (f *coldFleet) config(i int) balance.Config {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:1]
	cfg.Classes[0].Aim, cfg.Classes[0].Deadline = 200*ms, 800*ms
	cfg.Balancers, cfg.Index, cfg.Slots, cfg.Tenants = f.balancers, i, 0, nil
	cfg.ColdFrom, cfg.ColdTime, cfg.ColdMultiple = f.coldFrom, f.coldTime, f.coldMultiple
	if !f.noQuota {
		cfg.Tenants = []balance.Tenant{{Share: 1, Quota: f.capacity * float64(f.servers)}}
	}
	return cfg
}

// play runs the fleet: all servers are warm until coldStart, then some start, until these are warm.
func (f *coldFleet) play(t *testing.T, seed uint64) *coldRun {
	const tick = 10 * ms
	rng := rand.New(rand.NewPCG(seed, 30))
	c := &coldRun{fleet: f, rng: rng, work: map[balance.ServerID][]coldWork{}}
	list := make([]balance.Server, f.servers)
	for i := range list {
		list[i] = balance.Server{ID: balance.ServerID(i + 1), State: balance.Ready, Weight: 1}
	}
	type process struct {
		b        *Balancer
		h        *fakeHost
		rate     float64
		recorded int             // sends that have been recorded
		listAt   time.Duration   // when it receives the list; 0: it has received it
		inFlight []sentAttempt   // attempts in flight
		endsAt   []time.Duration // when they end
	}
	var all []*process
	sum := 0.0
	for i := range f.balancers {
		p := &process{rate: 1 + f.skew*(rng.ExpFloat64()-1), listAt: coldStart + time.Duration(rng.Float64()*float64(f.listDelay))}
		p.b, p.h = startSeeded(t, f.config(i), seed*1000+uint64(i), list)
		sum += p.rate
		all = append(all, p)
	}
	for _, p := range all {
		p.rate *= f.load * f.capacity * float64(f.servers) / sum
	}
	id := balance.RequestID(0)
	announceStart := func(p *process, now time.Duration) {
		if f.byOperator {
			for i := range f.coldServers {
				p.b.Disable(now, list[i].ID)
				p.b.Enable(now, list[i].ID, coldStart)
			}
			return
		}
		p.b.UpdateServers(now, balance.ListDelta, list[:f.coldServers])
	}
	for now := time.Duration(0); now < coldStart+f.coldTime; now += tick {
		if now == coldStart && !f.byOperator {
			for i := range f.coldServers {
				list[i].Started = coldStart
			}
		}
		if f.restart > 0 && now == coldStart+f.restart {
			old := all
			if !f.overlappingProcesses {
				all = nil
			}
			for i := range f.balancers {
				successor := &process{rate: old[i].rate, listAt: now}
				successor.h = newFakeHost()
				b, err := New(f.config(i), seed*1000+500+uint64(i), successor.h)
				if err != nil {
					t.Fatal(err)
				}
				successor.b = b
				b.Start(now)
				if f.byOperator {
					announceStart(successor, now)
				}
				b.UpdateServers(now, balance.ListCached, list)
				b.RestoreLearned(now, old[i].b.Learned(now))
				if f.overlappingProcesses {
					b.SetProcessCount(2)
					old[i].b.SetProcessCount(2)
				}
				all = append(all, successor)
			}
		}
		if f.overlappingProcesses && now == coldStart+f.restart+2*time.Second {
			all = all[f.balancers:]
			for _, p := range all {
				p.b.SetProcessCount(1)
			}
		}
		for _, p := range all {
			if now >= p.listAt && p.listAt > 0 {
				if p.listAt >= coldStart && (f.restart == 0 || p.listAt < coldStart+f.restart) {
					announceStart(p, now)
				}
				p.listAt = 0
			}
			if now >= coldStart+f.othersLostAfter {
				for _, s := range p.b.servers {
					if int(s.ID) > f.coldServers {
						s.ejectedUntil = math.MaxInt64
					}
				}
			}
			for k := 0; k < len(p.inFlight); {
				if p.endsAt[k] <= now {
					endAttempt(p.b, now, p.inFlight[k].id, 0, balance.Served)
					p.inFlight, p.endsAt = append(p.inFlight[:k:k], p.inFlight[k+1:]...), append(p.endsAt[:k:k], p.endsAt[k+1:]...)
				} else {
					k++
				}
			}
			for n := rng.ExpFloat64(); n < p.rate*tick.Seconds(); n += rng.ExpFloat64() {
				id++
				p.b.Request(now, balance.Request{ID: id, TimeLeft: 800 * ms})
				if rng.IntN(5) == 0 {
					p.b.ClientGone(now, id)
				}
			}
			p.b.Wake(now)
			for ; p.recorded < len(p.h.sends); p.recorded++ {
				s := p.h.sends[p.recorded]
				c.record(now, s.to, p.listAt == 0)
				p.inFlight, p.endsAt = append(p.inFlight, s), append(p.endsAt, now+time.Duration(20*rng.ExpFloat64()*float64(ms)))
			}
		}
	}
	return c
}

// Rule 4 on cold servers holds for the sum of all processes, under various settings, fleet sizes and disturbances.
func TestColdBudgetHoldsOverAllProcesses(t *testing.T) {
	site := coldFleet{capacity: 50, coldServers: 1, load: 0.7, coldFrom: 0.13, coldMultiple: 4, coldTime: 24 * time.Second, overloadSpan: 2 * time.Second}
	other := coldFleet{capacity: 30, coldServers: 1, load: 0.5, coldFrom: 0.37, coldMultiple: 2.5, coldTime: 9 * time.Second, overloadSpan: 3 * time.Second}
	slow := coldFleet{capacity: 5, coldServers: 1, load: 0.9, coldFrom: 0.2, coldMultiple: 3, coldTime: 9 * time.Second, overloadSpan: time.Second}
	nearly := coldFleet{capacity: 20, coldServers: 1, load: 0.9, coldFrom: 0.7, coldMultiple: 2, coldTime: 20 * time.Second, overloadSpan: time.Second}
	changes := map[string]func(w *coldFleet){
		"even":                      func(*coldFleet) {},
		"uneven":                    func(w *coldFleet) { w.skew = 1 },
		"list delayed by up to 1 s": func(w *coldFleet) { w.listDelay = time.Second },
		"others lost after 6 s":     func(w *coldFleet) { w.othersLostAfter = 6 * time.Second },
		"others lost after an hour": func(w *coldFleet) { w.othersLostAfter = time.Hour },
		"no quotas":                 func(w *coldFleet) { w.noQuota = true },
		"no quotas, uneven":         func(w *coldFleet) { w.noQuota, w.skew = true, 1 },
		"restart":                   func(w *coldFleet) { w.restart = 2 * time.Second },
		"upgrade":                   func(w *coldFleet) { w.restart, w.overlappingProcesses = 2*time.Second, true },
		"three cold servers":        func(w *coldFleet) { w.coldServers = 3 },
		"by operator":               func(w *coldFleet) { w.byOperator = true },
		"by operator, restart":      func(w *coldFleet) { w.byOperator, w.restart = true, 2*time.Second },
	}
	for name, base := range map[string]coldFleet{"site": site, "other": other, "slow": slow, "nearly warm": nearly} {
		for variant, change := range changes {
			sizes := [][2]int{{4, 10}, {30, 14}, {300, 10}} // numbers of balancers and servers
			switch {
			case name == "other":
				sizes = append(sizes, [2]int{20, 40})
			case name == "slow" && (variant == "even" || variant == "no quotas"):
				sizes = append(sizes, [2]int{300, 200})
			}
			for _, size := range sizes {
				f := base
				f.balancers, f.servers = size[0], size[1]
				change(&f)
				t.Run(fmt.Sprintf("%s/%d by %d/%s", name, size[0], size[1], variant), func(t *testing.T) {
					t.Parallel()
					if c := f.play(t, 1); c.maxBoundShare > 1 || c.sends == 0 {
						t.Errorf("%d sends, at most %.2f times the bound", c.sends, c.maxBoundShare)
					} else {
						t.Logf("%d sends, at most %.2f times the bound", c.sends, c.maxBoundShare)
					}
				})
			}
		}
	}
}

// A server that has just started is cold for ColdTime even if this process's clock was an hour off when it started.
func TestColdStartWithSteppedClock(t *testing.T) {
	const now = 5 * time.Hour
	for name, c := range map[string]struct {
		kind     balance.ListKind
		started  time.Duration
		warmAt   time.Duration // 1: cold for up to ColdTime from now; 0: warm
		restarts bool          // the previous list contained the server
	}{
		"clock ahead, and the server restarts": {balance.ListDelta, now - time.Hour, 1, true},
		"clock right":                          {balance.ListDelta, now, 1, false},
		"clock behind":                         {balance.ListDelta, now + time.Hour, 1, false},
		"list late":                            {balance.ListDelta, now - 3*time.Second, 1, false},
		"clock behind, in a full list":         {balance.ListFull, now + time.Hour, 1, false},
		"clock ahead":                          {balance.ListDelta, now - time.Hour, 1, false},
		"long ago, by a full list":             {balance.ListFull, now - time.Hour, 0, false},
		"long ago, without a start time":       {balance.ListDelta, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.ColdTime = 10 * time.Second
			b, _ := startBalancer(t, cfg, nil)
			entry := readyList(2)[0]
			first := readyList(1)
			if c.restarts {
				entry.Started = now - 2*time.Hour
				first = append(first, entry)
			}
			b.UpdateServers(now, balance.ListFull, first)
			entry.Started = c.started
			b.UpdateServers(now, c.kind, []balance.Server{entry})
			left := b.serverByID(2).warmAt - now
			if cold := left > cfg.ColdTime/4; cold != (c.warmAt > 0) || left > cfg.ColdTime {
				t.Errorf("it is cold for another %v", left)
			}
		})
	}
}

// A server of the first full list that has just started is cold even if this process's clock was ahead when it started:
// such a clock makes the server's start look long ago.
func TestColdServerIsColdByAClockThatIsAhead(t *testing.T) {
	const start = 1_000_000 * time.Second
	for _, ahead := range []time.Duration{0, 30 * time.Second, time.Hour} {
		b, err := New(testConfig(), 1, newFakeHost())
		if err != nil {
			t.Fatal(err)
		}
		now := start + time.Second + ahead
		b.Start(now)
		b.UpdateServers(now, balance.ListFull, []balance.Server{{ID: 1, State: balance.Ready, Weight: 1, Started: start}})
		if s := b.serverByID(1); s.warmAt <= now {
			t.Errorf("the clock is %v ahead: a server that started a second ago counts as warm", ahead)
		}
	}
}
