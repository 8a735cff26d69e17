package policy

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"arrowgw/internal/balance"
)

// modelFleet is a fleet of balancers with their real request rates, by index, the rates they announce and their
// servers.
type modelFleet struct {
	rates           []float64
	lost            []int // indexes of the members that are lost
	list            []balance.Server
	price           float64 // Config.CrossZonePrice
	quota           float64
	reportedRate    func(i int) float64                                // the rate that member i announces
	receivedSharers func(i int, all []balance.Sharer) []balance.Sharer // the sharers that member i knows, out of all
}

// quantizedRate returns a rate as members announce it: rounded to a quarter power of two.
func quantizedRate(rate float64) float64 {
	return math.Exp2(math.Round(4*math.Log2(max(rate, 0.125))) / 4)
}

// newModelFleet returns a fleet with random rates. They are exponentially distributed, as random parts of the traffic
// are.
func newModelFleet(rng *rand.Rand, members, servers int, mean float64) *modelFleet {
	f := &modelFleet{quota: mean * float64(members), receivedSharers: func(_ int, all []balance.Sharer) []balance.Sharer { return all }}
	f.reportedRate = func(i int) float64 { return quantizedRate(f.rates[i]) }
	for range members {
		f.rates = append(f.rates, mean*rng.ExpFloat64())
	}
	for id := range balance.ServerID(servers) {
		f.list = append(f.list, balance.Server{ID: id, Zone: rng.IntN(3), State: balance.Ready, Weight: 1})
	}
	return f
}

// sharers returns the announced traffic of the remaining members.
func (f *modelFleet) sharers() (all []balance.Sharer) {
	for i := range f.rates {
		if !slices.Contains(f.lost, i) {
			all = append(all, balance.Sharer{Index: i, Zone: i % 3, Rate: f.reportedRate(i)})
		}
	}
	return all
}

// balancer returns member i with its server list and request rate.
func (f *modelFleet) balancer(t testing.TB, i int) (*Balancer, *fakeHost) {
	cfg := testConfig()
	cfg.Balancers, cfg.Index, cfg.Zone, cfg.CrossZonePrice, cfg.Slots = len(f.rates), i, i%3, f.price, 0
	cfg.Tenants = []balance.Tenant{{Share: 1, Quota: f.quota}}
	b, h := startSeeded(t, cfg, uint64(i), f.list)
	b.rate = f.rates[i]
	b.updateSubset()
	return b, h
}

// fleetLoads holds the requests per second that each member sends to each server.
type fleetLoads map[int]map[balance.ServerID]float64

// subsetLoads returns the load that results from the subsets and turns that the members' Balancers compute, with or
// without announced traffic.
func (f *modelFleet) subsetLoads(t testing.TB, announced bool) fleetLoads {
	loads := make(fleetLoads)
	for _, a := range f.sharers() {
		b, _ := f.balancer(t, a.Index)
		if announced {
			b.SetFleet(0, balance.Fleet{Present: len(f.rates), Sharers: f.receivedSharers(a.Index, f.sharers())})
		}
		sum, parts := 0.0, make(map[balance.ServerID]float64)
		for _, s := range b.subset {
			sum += 1 / b.turnGap(time.Hour, s)
		}
		for _, s := range b.subset {
			parts[s.ID] = f.rates[a.Index] / b.turnGap(time.Hour, s) / sum
		}
		loads[a.Index] = parts
	}
	return loads
}

// loadSpread returns the standard deviation, maximum and minimum of the servers' loads by weight, relative to the mean,
// and the number of connections.
func (f *modelFleet) loadSpread(l fleetLoads) (dev, maxLoad, minLoad, connections float64) {
	load, total, weight := make(map[balance.ServerID]float64), 0.0, 0.0
	for _, parts := range l {
		for id, part := range parts {
			load[id] += part
			total += part
			connections++
		}
	}
	for _, s := range f.list {
		weight += s.Weight
	}
	minLoad = math.Inf(1)
	for _, s := range f.list {
		x := load[s.ID] / s.Weight / (total / weight)
		dev += (x - 1) * (x - 1) / float64(len(f.list))
		maxLoad, minLoad = max(maxLoad, x), min(minLoad, x)
	}
	return math.Sqrt(dev), maxLoad, minLoad, connections
}

// connectionsOpened returns the number of new connections that members present in both loads have to open.
func connectionsOpened(from, to fleetLoads) (n float64) {
	for i, before := range from {
		for id := range to[i] {
			if _, open := before[id]; !open {
				n++
			}
		}
	}
	return n
}

// Produces the figures of docs/spread.md: 300 balancers with uneven traffic over 200 servers, undisturbed, when one
// leaves, and with seven of ten lost; means of five seeds. Announced traffic must lead to a far more even load.
func TestLoadSpread(t *testing.T) {
	const seeds = 5
	for _, mean := range []float64{8, 3} {
		for _, announced := range []bool{false, true} {
			var sum [11]float64
			worst := make([]float64, len(sum))
			for seed := range uint64(seeds) {
				rng := rand.New(rand.NewPCG(seed, 21))
				fleet := newModelFleet(rng, 300, 200, mean)
				order := rng.Perm(300)
				var f [11]float64
				undisturbed := fleet.subsetLoads(t, announced)
				f[0], f[1], f[2], f[3] = fleet.loadSpread(undisturbed)
				fleet.lost = order[:1]
				oneLeft := fleet.subsetLoads(t, announced)
				f[8], f[9] = connectionsOpened(undisturbed, oneLeft), connectionsOpened(oneLeft, undisturbed)
				fleet.lost = order[:210]
				mostLost := fleet.subsetLoads(t, announced)
				f[4], f[5], f[6], f[7] = fleet.loadSpread(mostLost)
				f[10] = connectionsOpened(undisturbed, mostLost)
				for k := range f {
					sum[k] += f[k] / seeds
					worst[k] = max(worst[k], f[k])
				}
			}
			t.Logf("%v per second, announced %v: undisturbed %.3f (worst %.3f), max %.2f, min %.2f, %.0f connections; seven of ten lost %.3f (%.3f), %.2f, %.2f, %.0f; "+
				"connections opened as one leaves %.0f, joins %.0f, as seven of ten are lost %.0f", mean, announced, sum[0], worst[0], sum[1], sum[2], sum[3], sum[4], worst[4], sum[5], sum[6], sum[7], sum[8], sum[9], sum[10])
			if announced && (worst[0] > 0.07 || worst[1] > 1.25 || worst[4] > 0.15 || worst[5] > 1.6 || sum[6] < 0.5 || sum[8] > 45) {
				t.Errorf("%v per second: %.3v, worst %.3v", mean, sum, worst)
			}
		}
	}
}

// Disturbances of the announced traffic may make the load uneven only up to a bound.
func TestLoadSpreadUnderDisturbances(t *testing.T) {
	type sharers = []balance.Sharer
	for _, c := range []struct {
		name    string
		disturb func(w *modelFleet, rng *rand.Rand)
		maxDev  float64
	}{
		{"nothing", func(*modelFleet, *rand.Rand) {}, 0.07},
		{"weights of 1 to 3", func(w *modelFleet, rng *rand.Rand) {
			for i := range w.list {
				w.list[i].Weight = 1 + 2*rng.Float64()
			}
		}, 0.15},
		{"three zones, crossing priced", func(w *modelFleet, _ *rand.Rand) { w.price = 0.02 }, 0.15},
		{"sharers in a different order at each", func(w *modelFleet, rng *rand.Rand) {
			w.receivedSharers = func(_ int, all sharers) sharers {
				rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
				return all
			}
		}, 0.07},
		{"one in ten does not know 30 of them yet", func(w *modelFleet, _ *rand.Rand) {
			w.receivedSharers = func(i int, all sharers) sharers {
				return slices.DeleteFunc(all, func(a balance.Sharer) bool { return i%10 == 0 && a.Index%10 == 1 })
			}
		}, 0.15},
		{"one in three has rates wrong by a factor of 0.5 to 2", func(w *modelFleet, rng *rand.Rand) {
			w.receivedSharers = func(i int, all sharers) sharers {
				for k := range all {
					all[k].Rate *= math.Exp2((2*rng.Float64() - 1) * float64(max(0, 1-i%3)))
				}
				return all
			}
		}, 0.2},
		{"one in ten announces nothing", func(w *modelFleet, _ *rand.Rand) {
			w.receivedSharers = func(_ int, all sharers) sharers {
				return slices.DeleteFunc(all, func(a balance.Sharer) bool { return a.Index%10 == 7 })
			}
		}, 0.15},
		{"one announces a billion", func(w *modelFleet, _ *rand.Rand) {
			w.reportedRate = func(i int) float64 { return max(quantizedRate(w.rates[i]), 1e9*float64(1-min(1, i))) }
		}, 0.08},
		{"one in twenty is wrong by 0.1 to 10 times", func(w *modelFleet, rng *rand.Rand) {
			factors := make(map[int]float64)
			for i := 0; i < 300; i += 20 {
				factors[i] = math.Pow(10, 2*rng.Float64()-1)
			}
			w.reportedRate = func(i int) float64 { return quantizedRate(w.rates[i] * cmp.Or(factors[i], 1)) }
		}, 0.25},
		{"one in twenty announces NaN, infinity, zero or less", func(w *modelFleet, _ *rand.Rand) {
			w.reportedRate = func(i int) float64 {
				if i%20 == 0 {
					return []float64{math.NaN(), 0, -5, math.Inf(1), math.Inf(-1)}[i/20%5]
				}
				return quantizedRate(w.rates[i])
			}
		}, 0.15},
	} {
		var sum [3]float64
		worst := 0.0
		for seed := range uint64(3) {
			fleet := newModelFleet(rand.New(rand.NewPCG(seed, 21)), 300, 200, 8)
			c.disturb(fleet, rand.New(rand.NewPCG(seed, 23)))
			dev, maxLoad, minLoad, _ := fleet.loadSpread(fleet.subsetLoads(t, true))
			sum[0], sum[1], sum[2] = sum[0]+dev/3, sum[1]+maxLoad/3, sum[2]+minLoad/3
			worst = max(worst, dev)
		}
		t.Logf("%-55s %.3f (worst %.3f), max %.2f, min %.2f", c.name, sum[0], worst, sum[1], sum[2])
		if worst > c.maxDev {
			t.Errorf("%s: %.3f, at most %.2f", c.name, worst, c.maxDev)
		}
	}
}

// For random server lists, a subset holds ready servers, each once, at least minSubsetSize of them if there are that
// many, and no more than maxSubsetWidening allows. Turns are within their bounds. If no subset is at its maximum size,
// the subsets cover all ready servers. Arbitrary announced rates are covered by the random events.
func TestSubsetsOfRandomFleets(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 24))
		fleet := newModelFleet(rng, 1+rng.IntN(60), rng.IntN(80), math.Exp(4*rng.Float64()-1))
		fleet.price = float64(rng.IntN(2)) * 0.02
		for i := range fleet.list {
			fleet.list[i].Weight = []float64{1, 0.01, 7, math.NaN(), 0}[rng.IntN(5)]
			fleet.list[i].State = balance.State(rng.IntN(3))
		}
		covered, capped, ready := make(map[balance.ServerID]bool), false, 0
		for i := range fleet.rates {
			b, _ := fleet.balancer(t, i)
			b.SetFleet(0, balance.Fleet{Present: len(fleet.rates), Sharers: fleet.sharers()})
			b.Disable(0, balance.ServerID(seed%7))
			b.Enable(0, balance.ServerID(seed%7), -time.Hour)
			ready = len(b.readyServers())
			size := max(b.subsetSize(b.rate), b.subsetSize(quantizedRate(b.rate)))
			capped = capped || maxSubsetWidening*b.subsetSize(quantizedRate(b.rate)) < float64(ready)
			if n := len(b.subset); n < min(ready, int(minSubsetSize)) || n > ready || float64(n) > math.Ceil(maxSubsetWidening*size) {
				t.Fatalf("seed %d, member %d: a subset of %d, %d are ready, the traffic supports %v", seed, i, n, ready, size)
			}
			for k, s := range b.subset {
				covered[s.ID] = true
				gap, twice := b.turnGap(time.Hour, s), slices.Contains(b.subset[:k], s)
				if twice || !s.inService() || !(gap > 0) || math.IsInf(gap, 0) || !(s.turnMultiple >= 1/maxTurnMultiple && s.turnMultiple <= maxTurnMultiple) {
					t.Fatalf("seed %d, member %d: server %d in state %d has turn multiple %v, gap %v; twice %v", seed, i, s.ID, s.State, s.turnMultiple, gap, twice)
				}
			}
		}
		if !capped && len(covered) != ready {
			t.Errorf("seed %d: %d of %d servers are in a subset", seed, len(covered), ready)
		}
	}
}

// Simulates sends: 300 balancers start within a second, announce the rates they measure, receive ten new servers at the
// same moment and lose seven of ten members at 40 s, which they learn 3 s later. Latencies are log-normal. The test
// bounds the variation of the servers' load beyond chance, and the maximum number of sends to one server within 50 ms
// compared with sends to random servers, which would show a thundering herd.
func TestSpreadOfSends(t *testing.T) {
	const tick, window, lostAt, lossKnownAt, end = 50 * ms, 50 * ms, 40 * time.Second, 43 * time.Second, 59 * time.Second
	rng := rand.New(rand.NewPCG(1, 26))
	fleet := newModelFleet(rng, 300, 200, 8)
	lost, added := rng.Perm(300)[:210], slices.Clone(fleet.list[:10])
	announced, balancers, hosts, starts := make([]float64, 300), make([]*Balancer, 300), make([]*fakeHost, 300), make([]time.Duration, 300)
	for i := range added {
		added[i].ID += 1000
	}
	for i := range announced {
		balancers[i], hosts[i] = fleet.balancer(t, i)
		announced[i], starts[i] = quantizedRate(8), time.Duration(rng.Float64()*float64(time.Second))
		balancers[i].rate = 8
	}
	fleet.reportedRate = func(i int) float64 { return announced[i] }
	recentSends, randomSends := make(map[balance.ServerID][]time.Duration), make(map[balance.ServerID][]time.Duration)
	sent := map[bool]map[balance.ServerID]float64{false: {}, true: {}}
	countRecent := func(at time.Duration, to balance.ServerID, in map[balance.ServerID][]time.Duration) int {
		in[to] = append(slices.DeleteFunc(in[to], func(before time.Duration) bool { return before <= at-window }), at)
		return len(in[to])
	}
	maxSends, maxRandom, id, ends := 0, 0, balance.RequestID(0), make(map[time.Duration]func())
	for now := time.Duration(0); now < end; now += tick {
		if now == lostAt {
			fleet.lost = lost
		}
		events := make(map[time.Duration]int) // the balancer at which a request arrives, or -1 for the end of an attempt
		for i, b := range balancers {
			if now < starts[i] || slices.Contains(fleet.lost, i) {
				continue
			}
			if measured := b.Learned(now).Rate; (now-starts[i])%(4*time.Second) < tick && math.Abs(math.Log2(measured/announced[i])) > math.Log2(1.3) {
				announced[i] = quantizedRate(measured)
			}
			if now%(500*ms) == 0 && (now < lostAt || now >= lossKnownAt) { // at the same moment for all
				b.SetFleet(now, balance.Fleet{Present: 300, Sharers: fleet.sharers()})
			}
			if now == 15*time.Second {
				b.UpdateServers(now, balance.ListDelta, added)
			}
			for at := now; ; {
				if at += time.Duration(rng.ExpFloat64() / fleet.rates[i] * float64(time.Second)); at >= now+tick {
					break
				}
				events[at] = i
			}
		}
		for at := range ends {
			if at < now+tick {
				events[at] = -1
			}
		}
		for _, at := range slices.Sorted(maps.Keys(events)) {
			if events[at] < 0 {
				ends[at]()
				delete(ends, at)
				continue
			}
			b, h := balancers[events[at]], hosts[events[at]]
			h.sends = nil
			id++
			sendRequest(b, at, id, safeClass)
			for _, s := range h.sends {
				if after := at >= lossKnownAt+5*time.Second; after || at >= 25*time.Second && at < 36*time.Second {
					sent[after][s.to]++
				}
				maxSends = max(maxSends, countRecent(at, s.to, recentSends))
				maxRandom = max(maxRandom, countRecent(at, balance.ServerID(rng.IntN(len(fleet.list))), randomSends))
				done := at + time.Duration(20*math.Exp(0.8*rng.NormFloat64())*float64(ms))
				ends[done] = func() { endAttempt(b, done, s.id, 0, balance.Served) }
			}
		}
	}
	fleet.list = slices.Concat(fleet.list, added)
	for after, bound := range map[bool]float64{false: 0.05, true: 0.1} {
		dev, maxLoad, minLoad, _ := fleet.loadSpread(fleetLoads{0: sent[after]})
		sum := 0.0
		for _, n := range sent[after] {
			sum += n / float64(len(fleet.list))
		}
		beyond := math.Sqrt(max(0, dev*dev-1/sum))
		t.Logf("seven of ten lost %v: %.0f sends per server, variation %.3f, by chance %.3f, max %.2f, min %.2f", after, sum, dev, math.Sqrt(1/sum), maxLoad, minLoad)
		if beyond > bound || sum < 20 {
			t.Errorf("seven of ten lost %v: variation %.3f beyond chance", after, beyond)
		}
	}
	t.Logf("of %d requests at most %d to one server within %v, by chance %d", id, maxSends, window, maxRandom)
	if maxSends > maxRandom+1 {
		t.Errorf("%d to one server within %v, by chance %d", maxSends, window, maxRandom)
	}
}
