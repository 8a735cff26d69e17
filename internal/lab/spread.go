package lab

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The spread is how evenly sends (attempts that reached a server, from any sidecar) are distributed over the servers that
// are ready and warm. Each figure has a counterpart for chance: the same sends at the same times, each to a server drawn at
// random from those that were ready and warm then. Sends to other servers count for neither.
const (
	spreadWarmup     = 10 * time.Second      // not counted at the start of a run, or half of the time until the first fault if shorter
	spreadAfterFault = 5 * time.Second       // not counted after the last fault began
	herdWindow       = 50 * time.Millisecond // sends to one server within this time form a herd
	chanceDraws      = 20                    // random distributions over which a figure by chance is averaged
	spreadStep       = time.Second           // from the start of one window to the next
)

// send is an attempt that reached a server.
type send struct {
	at     time.Duration
	server int
}

// eligibleSpans are the times in which a server is ready and warm.
type eligibleSpans []gap

// covers reports whether the server is ready and warm for the whole time from one moment to another.
func (f eligibleSpans) covers(from, to time.Duration) bool {
	return slices.ContainsFunc(f, func(g gap) bool { return g.from <= from && to <= g.to })
}

// eligibleTimes returns for each server, replacements included, when it is ready and warm, from zero on. A fault that acts on
// a server excludes the time until the fault has ended, the server is warm again and discovery's list shows it.
func (r *run) eligibleTimes(plan []PlannedFault) []eligibleSpans {
	s := r.scenario
	all := make([]eligibleSpans, s.Fleet.Servers+s.replacementServers())
	for i := range s.Fleet.Servers {
		all[i] = eligibleSpans{{0, s.For.Std()}}
	}
	exclude := func(server int, from, to time.Duration) {
		var rest eligibleSpans
		for _, g := range all[server] {
			if part := (gap{g.from, min(g.to, from)}); part.from < part.to {
				rest = append(rest, part)
			}
			if part := (gap{max(g.from, to), g.to}); part.from < part.to {
				rest = append(rest, part)
			}
		}
		all[server] = rest
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
			exclude(server, from, to)
		}
	}
	for i, u := range r.servers.all {
		if u.crashedCold {
			exclude(i, u.crashedColdAt, s.For.Std())
		}
	}
	return all
}

// measureSends computes the figures of sends, which are in order of time, from one moment to another. A window counts the
// servers that are ready and warm for all of it.
func measureSends(sends []send, fits []eligibleSpans, from, to time.Duration) map[string]float64 {
	f := make(map[string]float64)
	by := make([][]time.Duration, len(fits))
	for _, s := range sends {
		if s.at >= from && s.at < to {
			by[s.server] = append(by[s.server], s.at)
		}
	}
	sendsIn := func(server int, from, to time.Duration) float64 {
		a, _ := slices.BinarySearch(by[server], from)
		b, _ := slices.BinarySearch(by[server], to)
		return float64(b - a)
	}
	for _, w := range []struct {
		name   string
		length time.Duration
	}{{"1s", time.Second}, {"10s", 10 * time.Second}} {
		var windows, mean, variance, busiest, least, idle float64
		for at := from; at+w.length <= to; at += spreadStep {
			var loads []float64
			for server := range fits {
				if fits[server].covers(at, at+w.length) {
					loads = append(loads, sendsIn(server, at, at+w.length))
				}
			}
			m, v := meanAndVariance(loads)
			if len(loads) < 2 || m == 0 {
				continue
			}
			windows, mean, variance = windows+1, mean+m, variance+v
			busiest, least = busiest+slices.Max(loads)/m, least+slices.Min(loads)/m
			if slices.Min(loads) == 0 {
				idle++
			}
		}
		if windows == 0 {
			continue
		}
		f["spread_"+w.name] = math.Sqrt(variance/windows) / (mean / windows)
		if w.length == time.Second {
			f["idle_s"] = idle
		} else {
			f["busiest"], f["least"] = busiest/windows, least/windows
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

// largestHerd returns the largest number of sends to one server within herdWindow. The sends are in order of time.
func largestHerd(sends []send) (largest int) {
	by := make(map[int][]time.Duration)
	for _, s := range sends {
		times := append(by[s.server], s.at)
		for s.at-times[0] >= herdWindow {
			times = times[1:]
		}
		by[s.server] = times
		largest = max(largest, len(times))
	}
	return largest
}

// herdFigures returns the size of the largest herd at any server from one moment to another, and its mean size by chance.
func herdFigures(sends []send, fits []eligibleSpans, from, to time.Duration) (f [2]float64) {
	part := sendsBetween(sends, from, to)
	rng := rand.New(rand.NewPCG(9, uint64(len(part))))
	for range chanceDraws {
		f[1] += float64(largestHerd(dealAtRandom(part, fits, rng))) / chanceDraws
	}
	f[0] = float64(largestHerd(part))
	return f
}

// sendsBetween returns the sends from one moment up to but not including another, in order of time.
func sendsBetween(sends []send, from, to time.Duration) []send {
	part := slices.DeleteFunc(slices.Clone(sends), func(s send) bool { return s.at < from || s.at >= to })
	slices.SortFunc(part, func(a, b send) int { return cmp.Compare(a.at, b.at) })
	return part
}

// meanAndVariance returns the mean and the variance of some values.
func meanAndVariance(values []float64) (mean, variance float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		variance += (v - mean) * (v - mean) / float64(len(values))
	}
	return mean, variance
}

// dealAtRandom returns sends at the same times, each to a random server among those that were ready and warm then.
func dealAtRandom(sends []send, fits []eligibleSpans, rng *rand.Rand) []send {
	var bounds []time.Duration // between two of them the same servers are ready and warm
	for _, f := range fits {
		for _, g := range f {
			bounds = append(bounds, g.from, g.to)
		}
	}
	slices.Sort(bounds)
	bounds = slices.Compact(bounds)
	eligible := make([][]int, len(bounds)+1)
	for i := 1; i < len(bounds); i++ {
		for server, f := range fits {
			if f.covers(bounds[i-1], bounds[i]) {
				eligible[i] = append(eligible[i], server)
			}
		}
	}
	var all []send
	for _, s := range sends {
		i, exact := slices.BinarySearch(bounds, s.at)
		if exact {
			i++
		}
		if i < len(eligible) && len(eligible[i]) > 0 {
			all = append(all, send{s.at, eligible[i][rng.IntN(len(eligible[i]))]})
		}
	}
	return all
}

// spreadFigures returns the figures of the time from one moment to another, each with its value by chance, and those parts of
// variation, busiest and least that chance does not explain.
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
	if v, ok := f["spread_10s"]; ok { // each load moved towards the mean by the part of the variation that is due to chance
		unexplained := f["spread_10s_over"] / max(v, 1e-9)
		f["busiest_over"], f["least_over"] = 1+(f["busiest"]-1)*unexplained, 1-(1-f["least"])*unexplained
	}
	for name, v := range chance {
		f[name+"_chance"] = v
	}
	return f
}

// SpreadFigures returns the names of the spread's figures, for tables. Those of the time after the last fault began have the
// prefix "after_".
func SpreadFigures() (all []string) {
	for _, when := range []string{"", "after_"} {
		for _, name := range []string{"spread_1s", "spread_1s_over", "spread_10s", "spread_10s_over", "busiest", "busiest_over",
			"least", "least_over", "idle_s", "idle_most_s", "herd", "herd_chance", "server_conns"} {
			all = append(all, when+name)
		}
	}
	return all
}

// addSpreadFigures adds how evenly a run's sends were distributed: up to its first fault, and from spreadAfterFault after the
// last one began. Herds are counted from the first fault on, because they occur in its first moments.
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
	sends, fits, start := r.history.allSends(), r.fits, min(spreadWarmup, before/2)
	for _, part := range []struct {
		prefix          string
		from, herds, to time.Duration
	}{{"", start, start, before}, {"after_", after, before, length}} {
		if part.from+time.Second > part.to {
			continue
		}
		for name, v := range spreadFigures(sends, fits, part.from, part.to) {
			f[part.prefix+name] = v
		}
		h := herdFigures(sends, fits, part.herds, part.to)
		f[part.prefix+"herd"], f[part.prefix+"herd_chance"] = h[0], h[1]
	}
	opened := r.servers.connections.values()
	for second, n := range opened {
		f["server_conns"] += n
		if len(plan) > 0 && time.Duration(second)*time.Second >= plan[0].At.Std() {
			f["after_server_conns"] += n
		}
	}
}

// spreadCurves returns the highest and the lowest load of the ready, warm servers in each second relative to their mean, and
// the variation of their loads with the one that chance alone would give.
func spreadCurves(tally []*counter, fits []eligibleSpans, length time.Duration) []curve {
	busiest, least := curve{name: "busiest"}, curve{name: "least"}
	varied, chance := curve{name: "variation"}, curve{name: "variation by chance"}
	loads := make([][]float64, len(tally))
	for i, c := range tally {
		loads[i] = c.values()
	}
	for at := time.Duration(0); at+time.Second <= length; at += time.Second {
		var current []float64
		for server, f := range fits {
			if f.covers(at, at+time.Second) {
				current = append(current, loads[server][at/time.Second])
			}
		}
		top, low, variation, byChance := 0.0, 0.0, 0.0, 0.0
		if m, v := meanAndVariance(current); m > 0 {
			top, low, variation, byChance = slices.Max(current)/m, slices.Min(current)/m, math.Sqrt(v)/m, 1/math.Sqrt(m)
		}
		busiest.values, least.values = append(busiest.values, top), append(least.values, low)
		varied.values, chance.values = append(varied.values, variation), append(chance.values, byChance)
	}
	return []curve{busiest, least, varied, chance}
}

// allSends returns all attempts that reached a server, in no particular order.
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
