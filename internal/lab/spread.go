package lab

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The spread is how evenly sends (attempts that reached a server, whoever sent them) fall on the servers that are ready
// and warm. Each figure has beside it what chance gives: the same sends at the same times, each dealt to a server drawn
// anew among those that were ready and warm then. Sends at other servers count for none of them.
const (
	spreadWarmup     = 10 * time.Second      // left out at the start, or half of the time until the first fault,
	spreadAfterFault = 5 * time.Second       // and after the last fault began
	herdWindow       = 50 * time.Millisecond // sends to one server within it are a herd
	chanceDraws      = 20                    // of which what chance gives is the mean
	spreadStep       = time.Second           // between the windows that variation is taken over
)

// send is an attempt that reached a server.
type send struct {
	at     time.Duration
	server int
}

// eligibleSpans are the times in which a server is ready and warm.
type eligibleSpans []gap

func (f eligibleSpans) covers(from, to time.Duration) bool {
	return slices.ContainsFunc(f, func(g gap) bool { return g.from <= from && to <= g.to })
}

// eligibleTimes says when each server is ready and warm, from zero on: not while something was done to it, nor until it is warm
// again and the list has said so.
func (r *run) eligibleTimes(plan []PlannedFault) []eligibleSpans {
	s := r.scenario
	all := make([]eligibleSpans, s.Fleet.Servers+s.replacementServers())
	for i := range s.Fleet.Servers {
		all[i] = eligibleSpans{{0, s.For.Std()}}
	}
	without := func(server int, from, to time.Duration) {
		var left eligibleSpans
		for _, g := range all[server] {
			if part := (gap{g.from, min(g.to, from)}); part.from < part.to {
				left = append(left, part)
			}
			if part := (gap{max(g.from, to), g.to}); part.from < part.to {
				left = append(left, part)
			}
		}
		all[server] = left
	}
	for _, a := range plan {
		if faultKinds[a.Kind].actsOn != "server" {
			continue
		}
		back := s.Discovery.UpdateDelay.Std()
		if a.Kind == "crash" || a.Kind == "silence" || a.Kind == "replace" {
			back = max(back, s.Server.WarmUpTime.Std())
		}
		for i, server := range a.Targets {
			from := a.At.Std() + time.Duration(i)*a.Pause.Std()
			to := s.For.Std()
			switch {
			case a.Kind == "replace":
				if warm := from + a.For.Std() + back; warm < to {
					all[a.Replacements[i]] = eligibleSpans{{warm, to}}
				}
			case a.For > 0:
				to = from + a.For.Std() + back
			}
			without(server, from, to)
		}
	}
	for i, u := range r.servers.all {
		if u.crashedCold {
			without(i, u.crashedColdAt, s.For.Std())
		}
	}
	return all
}

// measureSends takes the figures of sends, in order of time, from one moment to another. Windows that a server is not ready and
// warm all through count without it.
func measureSends(sends []send, fits []eligibleSpans, from, to time.Duration) map[string]float64 {
	f := make(map[string]float64)
	by := make([][]time.Duration, len(fits))
	for _, s := range sends {
		if s.at >= from && s.at < to {
			by[s.server] = append(by[s.server], s.at)
		}
	}
	count := func(server int, from, to time.Duration) float64 {
		a, _ := slices.BinarySearch(by[server], from)
		b, _ := slices.BinarySearch(by[server], to)
		return float64(b - a)
	}
	for _, w := range []struct {
		name string
		long time.Duration
	}{{"1s", time.Second}, {"10s", 10 * time.Second}} {
		var windows, mean, variance, most, least, idle float64
		for at := from; at+w.long <= to; at += spreadStep {
			var loads []float64
			for server := range fits {
				if fits[server].covers(at, at+w.long) {
					loads = append(loads, count(server, at, at+w.long))
				}
			}
			m, v := meanAndVariance(loads)
			if len(loads) < 2 || m == 0 {
				continue
			}
			windows, mean, variance = windows+1, mean+m, variance+v
			most, least = most+slices.Max(loads)/m, least+slices.Min(loads)/m
			if slices.Min(loads) == 0 {
				idle++
			}
		}
		if windows == 0 {
			continue
		}
		f["spread_"+w.name] = math.Sqrt(variance/windows) / (mean / windows)
		if w.long == time.Second {
			f["idle_s"] = idle
		} else {
			f["busiest"], f["least"] = most/windows, least/windows
		}
	}
	longest := time.Duration(0)
	for server, times := range by {
		for _, g := range fits[server] {
			last := max(g.from, from)
			for _, at := range append(slices.Clone(times), min(g.to, to)) {
				if at >= last && at <= min(g.to, to) {
					longest, last = max(longest, at-last), at
				}
			}
		}
	}
	f["idle_most_s"] = longest.Seconds()
	return f
}

// largestHerd is the largest number of sends to one server within herdTime. They are in order of time.
func largestHerd(sends []send) (most int) {
	by := make(map[int][]time.Duration)
	for _, s := range sends {
		times := append(by[s.server], s.at)
		for s.at-times[0] >= herdWindow {
			times = times[1:]
		}
		by[s.server] = times
		most = max(most, len(times))
	}
	return most
}

// herdFigures are the largest herd of some time, at any server, and what chance gives.
func herdFigures(sends []send, fits []eligibleSpans, from, to time.Duration) (f [2]float64) {
	some := sendsBetween(sends, from, to)
	rng := rand.New(rand.NewPCG(9, uint64(len(some))))
	for range chanceDraws {
		f[1] += float64(largestHerd(dealAtRandom(some, fits, rng))) / chanceDraws
	}
	f[0] = float64(largestHerd(some))
	return f
}

// sendsBetween are the sends of some time, in order.
func sendsBetween(sends []send, from, to time.Duration) []send {
	some := slices.DeleteFunc(slices.Clone(sends), func(s send) bool { return s.at < from || s.at >= to })
	slices.SortFunc(some, func(a, b send) int { return cmp.Compare(a.at, b.at) })
	return some
}

// meanAndVariance are the mean and the variance of some values.
func meanAndVariance(values []float64) (mean, variance float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		variance += (v - mean) * (v - mean) / float64(len(values))
	}
	return mean, variance
}

// dealAtRandom deals sends anew, each to one of the servers that are ready and warm at its time.
func dealAtRandom(sends []send, fits []eligibleSpans, rng *rand.Rand) []send {
	var ends []time.Duration // of the stretches in which the same servers are
	for _, f := range fits {
		for _, g := range f {
			ends = append(ends, g.from, g.to)
		}
	}
	slices.Sort(ends)
	ends = slices.Compact(ends)
	able := make([][]int, len(ends)+1)
	for i := 1; i < len(ends); i++ {
		for server, f := range fits {
			if f.covers(ends[i-1], ends[i]) {
				able[i] = append(able[i], server)
			}
		}
	}
	var all []send
	for _, s := range sends {
		i, exact := slices.BinarySearch(ends, s.at)
		if exact {
			i++
		}
		if i < len(able) && len(able[i]) > 0 {
			all = append(all, send{s.at, able[i][rng.IntN(len(able[i]))]})
		}
	}
	return all
}

// spreadFigures are the figures of a stretch, each with what chance gives, and the shares of variation, busiest and least
// that chance does not explain.
func spreadFigures(sends []send, fits []eligibleSpans, from, to time.Duration) map[string]float64 {
	counted := slices.DeleteFunc(sendsBetween(sends, from, to), func(s send) bool { return !fits[s.server].covers(s.at, s.at) })
	if len(counted) == 0 {
		return nil
	}
	f := measureSends(counted, fits, from, to)
	chance := make(map[string]float64)
	rng := rand.New(rand.NewPCG(8, uint64(len(counted))))
	for range chanceDraws {
		for name, v := range measureSends(dealAtRandom(counted, fits, rng), fits, from, to) {
			chance[name] += v / chanceDraws
		}
	}
	for _, w := range []string{"1s", "10s"} {
		if v, ok := f["spread_"+w]; ok {
			c := chance["spread_"+w]
			f["spread_"+w+"_over"] = math.Sqrt(max(0, v*v-c*c))
		}
	}
	if v, ok := f["spread_10s"]; ok { // each load drawn to the mean by the part of the variation that is chance's
		part := f["spread_10s_over"] / max(v, 1e-9)
		f["busiest_over"], f["least_over"] = 1+(f["busiest"]-1)*part, 1-(1-f["least"])*part
	}
	for name, v := range chance {
		f[name+"_chance"] = v
	}
	return f
}

// SpreadFigures are the names of the figures of the spread, for tables. Those of the time after the last fault began begin
// with "after_".
func SpreadFigures() (all []string) {
	for _, when := range []string{"", "after_"} {
		for _, name := range []string{"spread_1s", "spread_1s_over", "spread_10s", "spread_10s_over", "busiest", "busiest_over",
			"least", "least_over", "idle_s", "idle_most_s", "herd", "herd_chance", "server_conns"} {
			all = append(all, when+name)
		}
	}
	return all
}

// addSpreadFigures counts how evenly a run's sends fell: up to its first fault, and from some seconds after the last began. Herds
// are counted from the first fault on: they come in the first moments.
func (r *run) addSpreadFigures(plan []PlannedFault, f map[string]float64) {
	length := r.scenario.For.Std()
	before, after := length, length
	for i, a := range plan {
		at := a.At.Std()
		if i == 0 {
			before, after = min(before, at), 0
		}
		last := at + time.Duration(max(0, len(a.Targets)-1))*a.Pause.Std()
		after = max(after, last+spreadAfterFault)
	}
	sends, fits, settled := r.history.allSends(), r.fits, min(spreadWarmup, before/2)
	for _, part := range []struct {
		name            string
		from, herds, to time.Duration
	}{{"", settled, settled, before}, {"after_", after, before, length}} {
		if part.from+time.Second > part.to {
			continue
		}
		for name, v := range spreadFigures(sends, fits, part.from, part.to) {
			f[part.name+name] = v
		}
		h := herdFigures(sends, fits, part.herds, part.to)
		f[part.name+"herd"], f[part.name+"herd_chance"] = h[0], h[1]
	}
	opened := r.servers.connections.values()
	for second, n := range opened {
		f["server_conns"] += n
		if len(plan) > 0 && time.Duration(second)*time.Second >= plan[0].At.Std() {
			f["after_server_conns"] += n
		}
	}
}

// spreadCurves are the loads of the ready, warm servers in each second, against their mean.
func spreadCurves(tally []*counter, fits []eligibleSpans, length time.Duration) []curve {
	busiest, least := curve{name: "busiest"}, curve{name: "least"}
	varied, chance := curve{name: "variation"}, curve{name: "variation by chance"}
	loads := make([][]float64, len(tally))
	for i, c := range tally {
		loads[i] = c.values()
	}
	for at := time.Duration(0); at+time.Second <= length; at += time.Second {
		var now []float64
		for server, f := range fits {
			if f.covers(at, at+time.Second) {
				now = append(now, loads[server][at/time.Second])
			}
		}
		top, low, variation, by := 0.0, 0.0, 0.0, 0.0
		if m, v := meanAndVariance(now); m > 0 {
			top, low, variation, by = slices.Max(now)/m, slices.Min(now)/m, math.Sqrt(v)/m, 1/math.Sqrt(m)
		}
		busiest.values, least.values = append(busiest.values, top), append(least.values, low)
		varied.values, chance.values = append(varied.values, variation), append(chance.values, by)
	}
	return []curve{busiest, least, varied, chance}
}

// allSends are all attempts that reached a server, in no order.
func (h *History) allSends() (all []send) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.tries {
		for _, r := range t.Reached {
			all = append(all, send{r.At, r.Server})
		}
	}
	return all
}
