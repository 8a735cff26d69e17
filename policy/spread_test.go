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

// town is a model fleet: the members' real rates, by index, their servers, and what each knows of all.
type town struct {
	rates []float64
	gone  []int // members that are lost
	list  []balance.Server
	price float64 // of crossing zones
	quota float64
	told  func(i int) float64
	views func(i int, all []balance.Sharer) []balance.Sharer
}

// coarse is a rate as members tell it.
func coarse(rate float64) float64 { return math.Exp2(math.Round(4*math.Log2(max(rate, 0.125))) / 4) }

// newTown draws a fleet: rates are exponential, as those of random parts of the traffic are.
func newTown(rng *rand.Rand, members, servers int, mean float64) *town {
	w := &town{quota: mean * float64(members), views: func(_ int, all []balance.Sharer) []balance.Sharer { return all }}
	w.told = func(i int) float64 { return coarse(w.rates[i]) }
	for range members {
		w.rates = append(w.rates, mean*rng.ExpFloat64())
	}
	for id := range balance.ServerID(servers) {
		w.list = append(w.list, balance.Server{ID: id, Zone: rng.IntN(3), State: balance.Ready, Weight: 1})
	}
	return w
}

// sharers is what all that are left have told.
func (w *town) sharers() (all []balance.Sharer) {
	for i := range w.rates {
		if !slices.Contains(w.gone, i) {
			all = append(all, balance.Sharer{Index: i, Zone: i % 3, Rate: w.told(i)})
		}
	}
	return all
}

// balancer is a member that has its list and its rate.
func (w *town) balancer(t testing.TB, i int) (*Balancer, *fakeHost) {
	cfg := testConfig()
	cfg.Balancers, cfg.Index, cfg.Zone, cfg.CrossZonePrice, cfg.Slots = len(w.rates), i, i%3, w.price, 0
	cfg.Tenants = []balance.Tenant{{Share: 1, Quota: w.quota}}
	b, h := startSeeded(t, cfg, uint64(i), w.list)
	b.rate = w.rates[i]
	b.cut()
	return b, h
}

// layout is what each member sends to each server, in requests a second.
type layout map[int]map[balance.ServerID]float64

// lay has the module itself lay every member's arc; a member's traffic falls on its servers by their turns.
func (w *town) lay(t testing.TB, share bool) layout {
	out := make(layout)
	for _, a := range w.sharers() {
		b, _ := w.balancer(t, a.Index)
		if share {
			b.SetFleet(0, balance.Fleet{Present: len(w.rates), Sharers: w.views(a.Index, w.sharers())})
		}
		sum, parts := 0.0, make(map[balance.ServerID]float64)
		for _, s := range b.arc {
			sum += 1 / b.gap(time.Hour, s)
		}
		for _, s := range b.arc {
			parts[s.ID] = w.rates[a.Index] / b.gap(time.Hour, s) / sum
		}
		out[a.Index] = parts
	}
	return out
}

// spreadOf is a layout's figures: deviation, busiest and least over the mean, of servers' loads by weight, and connections.
func (w *town) spreadOf(l layout) (dev, busiest, least, conns float64) {
	load, total, weight := make(map[balance.ServerID]float64), 0.0, 0.0
	for _, parts := range l {
		for id, part := range parts {
			load[id] += part
			total += part
			conns++
		}
	}
	for _, s := range w.list {
		weight += s.Weight
	}
	least = math.Inf(1)
	for _, s := range w.list {
		x := load[s.ID] / s.Weight / (total / weight)
		dev += (x - 1) * (x - 1) / float64(len(w.list))
		busiest, least = max(busiest, x), min(least, x)
	}
	return math.Sqrt(dev), busiest, least, conns
}

// moved counts connections that members of both have opened anew.
func moved(from, to layout) (n float64) {
	for i, was := range from {
		for id := range to[i] {
			if _, had := was[id]; !had {
				n++
			}
		}
	}
	return n
}

// The figures of docs/spread.md: 300 balancers with uneven traffic over 200 servers, calm, as one leaves, and with seven of ten gone; means
// of five seeds. What is shared must be far more even than what is not.
func TestSpreadOfFleets(t *testing.T) {
	const seeds = 5
	for _, mean := range []float64{8, 3} {
		for _, share := range []bool{false, true} {
			var sum [11]float64
			worst := make([]float64, len(sum))
			for seed := range uint64(seeds) {
				rng := rand.New(rand.NewPCG(seed, 21))
				w := newTown(rng, 300, 200, mean)
				order := rng.Perm(300)
				var f [11]float64
				all := w.lay(t, share)
				f[0], f[1], f[2], f[3] = w.spreadOf(all)
				w.gone = order[:1]
				one := w.lay(t, share)
				f[8], f[9] = moved(all, one), moved(one, all)
				w.gone = order[:210]
				few := w.lay(t, share)
				f[4], f[5], f[6], f[7] = w.spreadOf(few)
				f[10] = moved(all, few)
				for k := range f {
					sum[k] += f[k] / seeds
					worst[k] = max(worst[k], f[k])
				}
			}
			t.Logf("%v a second, shared %v: calm %.3f (worst %.3f), busiest %.2f, least %.2f, %.0f connections; seven of ten gone %.3f (%.3f), %.2f, %.2f, %.0f; "+
				"moved as one leaves %.0f, comes %.0f, as seven of ten go %.0f", mean, share, sum[0], worst[0], sum[1], sum[2], sum[3], sum[4], worst[4], sum[5], sum[6], sum[7], sum[8], sum[9], sum[10])
			if share && (worst[0] > 0.07 || worst[1] > 1.25 || worst[4] > 0.15 || worst[5] > 1.6 || sum[6] < 0.5 || sum[8] > 45) {
				t.Errorf("%v a second: %.3v, worst %.3v", mean, sum, worst)
			}
		}
	}
}

// What spoils the spread, and by how much at most.
func TestSpreadIsSpoiltByABound(t *testing.T) {
	type sharers = []balance.Sharer
	for _, c := range []struct {
		what  string
		spoil func(w *town, rng *rand.Rand)
		dev   float64
	}{
		{"nothing", func(*town, *rand.Rand) {}, 0.07},
		{"weights of 1 to 3", func(w *town, rng *rand.Rand) {
			for i := range w.list {
				w.list[i].Weight = 1 + 2*rng.Float64()
			}
		}, 0.15},
		{"three zones, crossing priced", func(w *town, _ *rand.Rand) { w.price = 0.02 }, 0.15},
		{"each has them in another order", func(w *town, rng *rand.Rand) {
			w.views = func(_ int, all sharers) sharers {
				rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
				return all
			}
		}, 0.07},
		{"one in ten does not know of 30 yet", func(w *town, _ *rand.Rand) {
			w.views = func(i int, all sharers) sharers {
				return slices.DeleteFunc(all, func(a balance.Sharer) bool { return i%10 == 0 && a.Index%10 == 1 })
			}
		}, 0.15},
		{"one in three knows all traffic by a factor of 0.5 to 2", func(w *town, rng *rand.Rand) {
			w.views = func(i int, all sharers) sharers {
				for k := range all {
					all[k].Rate *= math.Exp2((2*rng.Float64() - 1) * float64(max(0, 1-i%3)))
				}
				return all
			}
		}, 0.2},
		{"one in ten has told nothing", func(w *town, _ *rand.Rand) {
			w.views = func(_ int, all sharers) sharers {
				return slices.DeleteFunc(all, func(a balance.Sharer) bool { return a.Index%10 == 7 })
			}
		}, 0.15},
		{"one says a billion", func(w *town, _ *rand.Rand) {
			w.told = func(i int) float64 { return max(coarse(w.rates[i]), 1e9*float64(1-min(1, i))) }
		}, 0.08},
		{"one in twenty lies, by 0.1 to 10 times", func(w *town, rng *rand.Rand) {
			lies := make(map[int]float64)
			for i := 0; i < 300; i += 20 {
				lies[i] = math.Pow(10, 2*rng.Float64()-1)
			}
			w.told = func(i int) float64 { return coarse(w.rates[i] * cmp.Or(lies[i], 1)) }
		}, 0.25},
		{"one in twenty says no number, nothing or less", func(w *town, _ *rand.Rand) {
			w.told = func(i int) float64 {
				if i%20 == 0 {
					return []float64{math.NaN(), 0, -5, math.Inf(1), math.Inf(-1)}[i/20%5]
				}
				return coarse(w.rates[i])
			}
		}, 0.15},
	} {
		var sum [3]float64
		worst := 0.0
		for seed := range uint64(3) {
			w := newTown(rand.New(rand.NewPCG(seed, 21)), 300, 200, 8)
			c.spoil(w, rand.New(rand.NewPCG(seed, 23)))
			dev, busiest, least, _ := w.spreadOf(w.lay(t, true))
			sum[0], sum[1], sum[2] = sum[0]+dev/3, sum[1]+busiest/3, sum[2]+least/3
			worst = max(worst, dev)
		}
		t.Logf("%-55s %.3f (worst %.3f), busiest %.2f, least %.2f", c.what, sum[0], worst, sum[1], sum[2])
		if worst > c.dev {
			t.Errorf("%s: %.3f, at most %.2f", c.what, worst, c.dev)
		}
	}
}

// Of whatever servers: an arc has ready servers, each once, as many as fewest if there are, and not many more than its traffic feeds; turns are
// within their bounds; and where none is kept from it by its width, every ready server lies in an arc. Words of any kind are in the random worlds.
func TestArcsOfGeneratedFleets(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 24))
		w := newTown(rng, 1+rng.IntN(60), rng.IntN(80), math.Exp(4*rng.Float64()-1))
		w.price = float64(rng.IntN(2)) * 0.02
		for i := range w.list {
			w.list[i].Weight = []float64{1, 0.01, 7, math.NaN(), 0}[rng.IntN(5)]
			w.list[i].State = balance.State(rng.IntN(3))
		}
		covered, capped, ready := make(map[balance.ServerID]bool), false, 0
		for i := range w.rates {
			b, _ := w.balancer(t, i)
			b.SetFleet(0, balance.Fleet{Present: len(w.rates), Sharers: w.sharers()})
			b.Disable(0, balance.ServerID(seed%7))
			b.Enable(0, balance.ServerID(seed%7), -time.Hour)
			ready = len(b.ready())
			feeds := max(b.want(b.rate), b.want(coarse(b.rate)))
			capped = capped || widest*b.want(coarse(b.rate)) < float64(ready)
			if n := len(b.arc); n < min(ready, int(fewest)) || n > ready || float64(n) > math.Ceil(widest*feeds) {
				t.Fatalf("seed %d, member %d: an arc of %d, %d are ready, traffic feeds %v", seed, i, n, ready, feeds)
			}
			for k, s := range b.arc {
				covered[s.ID] = true
				gap, twice := b.gap(time.Hour, s), slices.Contains(b.arc[:k], s)
				if twice || !s.stands() || !(gap > 0) || math.IsInf(gap, 0) || !(s.turns >= 1/turnsMost && s.turns <= turnsMost) {
					t.Fatalf("seed %d, member %d: server %d in state %d has turns %v, gap %v; twice %v", seed, i, s.ID, s.State, s.turns, gap, twice)
				}
			}
		}
		if !capped && len(covered) != ready {
			t.Errorf("seed %d: %d of %d servers lie in an arc", seed, len(covered), ready)
		}
	}
}

// Sends, not turns: 300 balancers that know nothing begin within a second, tell what they measure, take ten new servers at one moment, and lose
// seven of ten at 40 s, which is known 3 s later; answers take log-normal times. What servers get in 10 s, less what chance gives, and the most sends to one server within 50 ms,
// against the same sends dealt by chance.
func TestSpreadOfSends(t *testing.T) {
	const tick, window, lost, known, until = 50 * ms, 50 * ms, 40 * time.Second, 43 * time.Second, 59 * time.Second
	rng := rand.New(rand.NewPCG(1, 26))
	w := newTown(rng, 300, 200, 8)
	gone, more := rng.Perm(300)[:210], slices.Clone(w.list[:10])
	words, bs, hosts, starts := make([]float64, 300), make([]*Balancer, 300), make([]*fakeHost, 300), make([]time.Duration, 300)
	for i := range more {
		more[i].ID += 1000
	}
	for i := range words {
		bs[i], hosts[i] = w.balancer(t, i)
		words[i], starts[i] = coarse(8), time.Duration(rng.Float64()*float64(time.Second))
		bs[i].rate = 8
	}
	w.told = func(i int) float64 { return words[i] }
	herd, chance := make(map[balance.ServerID][]time.Duration), make(map[balance.ServerID][]time.Duration)
	sent := map[bool]map[balance.ServerID]float64{false: {}, true: {}}
	crowd := func(at time.Duration, to balance.ServerID, in map[balance.ServerID][]time.Duration) int {
		in[to] = append(slices.DeleteFunc(in[to], func(before time.Duration) bool { return before <= at-window }), at)
		return len(in[to])
	}
	most, dealt, id, ends := 0, 0, balance.RequestID(0), make(map[time.Duration]func())
	for now := time.Duration(0); now < until; now += tick {
		if now == lost {
			w.gone = gone
		}
		all := make(map[time.Duration]int) // arrivals
		for i, b := range bs {
			if now < starts[i] || slices.Contains(w.gone, i) {
				continue
			}
			if said := b.Learned(now).Rate; (now-starts[i])%(4*time.Second) < tick && math.Abs(math.Log2(said/words[i])) > math.Log2(1.3) {
				words[i] = coarse(said)
			}
			if now%(500*ms) == 0 && (now < lost || now >= known) { // all at one moment
				b.SetFleet(now, balance.Fleet{Present: 300, Sharers: w.sharers()})
			}
			if now == 15*time.Second {
				b.UpdateServers(now, balance.ListDelta, more)
			}
			for at := now; ; {
				if at += time.Duration(rng.ExpFloat64() / w.rates[i] * float64(time.Second)); at >= now+tick {
					break
				}
				all[at] = i
			}
		}
		for at := range ends {
			if at < now+tick {
				all[at] = -1
			}
		}
		for _, at := range slices.Sorted(maps.Keys(all)) {
			if all[at] < 0 {
				ends[at]()
				delete(ends, at)
				continue
			}
			b, h := bs[all[at]], hosts[all[at]]
			h.sends = nil
			id++
			ask(b, at, id, safeClass)
			for _, s := range h.sends {
				if after := at >= known+5*time.Second; after || at >= 25*time.Second && at < 36*time.Second {
					sent[after][s.to]++
				}
				most = max(most, crowd(at, s.to, herd))
				dealt = max(dealt, crowd(at, balance.ServerID(rng.IntN(len(w.list))), chance))
				done := at + time.Duration(20*math.Exp(0.8*rng.NormFloat64())*float64(ms))
				ends[done] = func() { end(b, done, s.id, 0, balance.Served) }
			}
		}
	}
	w.list = slices.Concat(w.list, more)
	for after, bound := range map[bool]float64{false: 0.05, true: 0.1} {
		dev, busiest, least, _ := w.spreadOf(layout{0: sent[after]})
		sum := 0.0
		for _, n := range sent[after] {
			sum += n / float64(len(w.list))
		}
		beyond := math.Sqrt(max(0, dev*dev-1/sum))
		t.Logf("seven of ten gone %v: %.0f sends a server, variation %.3f, by chance %.3f, busiest %.2f, least %.2f", after, sum, dev, math.Sqrt(1/sum), busiest, least)
		if beyond > bound || sum < 20 {
			t.Errorf("seven of ten gone %v: %.3f beyond chance", after, beyond)
		}
	}
	t.Logf("of %d requests at most %d to one server within %v, by chance %d", id, most, window, dealt)
	if most > dealt+1 {
		t.Errorf("%d to one server within %v, by chance %d", most, window, dealt)
	}
}
