package lab

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// history gives a run whose sends are drawn: each of some servers has so many a second, by its weight, unless skip says
// that it has none then.
func history(t *testing.T, text string, weight func(server int) float64, skip func(at time.Duration, server int) bool) *run {
	t.Helper()
	r := &run{scenario: readScenario(t, text), history: new(History), servers: &servers{connections: newCounter(60)}}
	rng := rand.New(rand.NewPCG(1, 1))
	try := r.history.beginTry(0, 0, 0, 0)
	for server := range r.scenario.Fleet.Servers + r.scenario.replacementServers() {
		for at := 0.0; ; {
			at += rng.ExpFloat64() / (12 * weight(server))
			now := time.Duration(at * float64(time.Second))
			if now > r.scenario.For.Std() {
				break
			}
			if !skip(now, server) {
				try.Reached = append(try.Reached, Reached{Server: server, At: now})
			}
		}
	}
	return r
}

// Histories whose spread is known: what chance does is taken for chance, and what is none is found, where it is.
func TestSpreadOfKnownHistories(t *testing.T) {
	const s = time.Second
	even := func(int) float64 { return 1 }
	never := func(time.Duration, int) bool { return false }
	fleet := "for='40s'\n[fleet]\nservers=200\n"
	for _, c := range []struct {
		name   string
		text   string
		weight func(int) float64
		skip   func(time.Duration, int) bool
		herd   int // sends more to server 3, at 20 s
		want   map[string][2]float64
	}{
		{"even", fleet, even, never, 0, map[string][2]float64{
			"spread_1s_over": {0, 0.06}, "spread_10s_over": {0, 0.03}, "spread_10s": {0.08, 0.1}, "busiest_over": {1, 1.1}, "least_over": {0.9, 1},
			"idle_most_s": {0.5, 1.5}, "herd": {4, 8},
		}},
		{"every second server has half more than the others", fleet, func(i int) float64 { return 0.8 + 0.4*float64(i%2) }, never, 0, map[string][2]float64{
			"spread_1s_over": {0.17, 0.23}, "spread_10s_over": {0.185, 0.215}, "busiest_over": {1.3, 1.6}, "least_over": {0.4, 0.75},
		}},
		{"a herd", fleet, even, never, 30, map[string][2]float64{"herd": {30, 36}, "herd_chance": {4, 8}}},
		{"an idle server", fleet, even, func(at time.Duration, i int) bool { return i == 7 && at > 10*s && at < 18*s }, 0, map[string][2]float64{
			"idle_most_s": {8, 9}, "idle_s": {8, 16}, "idle_most_s_chance": {0.5, 1.5},
		}},
		{"a dead one is not idle", fleet + "[[fault]]\nat='12s'\ndo='crash'\ntarget='7'\nfor='4s'", even,
			func(at time.Duration, i int) bool { return i == 7 && at > 12*s && at < 25*s }, 0, map[string][2]float64{
				"after_idle_most_s": {0.4, 1.5}, "after_spread_10s_over": {0, 0.03}, "herd": {4, 8},
			}},
		{"one that is back and warm is", fleet + "[[fault]]\nat='12s'\ndo='crash'\ntarget='7'\nfor='4s'", even,
			func(at time.Duration, i int) bool { return i == 7 && at > 12*s && at < 32*s }, 0, map[string][2]float64{"after_idle_most_s": {5, 7}}},
		{"one that was replaced has no turns, and the other has", fleet + "[[fault]]\nat='12s'\ndo='replace'\ntarget='7'\nfor='1s'", even,
			func(at time.Duration, i int) bool { return i == 7 && at > 12*s || i == 200 && at < 28*s }, 0, map[string][2]float64{
				"after_idle_most_s": {4.5, 6.5}, "idle_most_s": {0.3, 1.5},
			}},
		{"a herd in the first moment of a fault", fleet + "[[fault]]\nat='19900ms'\ndo='kill'\ntarget='0'", even, never, 30, map[string][2]float64{
			"herd": {4, 8}, "after_herd": {30, 36}, "after_herd_chance": {4, 8},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := history(t, c.text, c.weight, c.skip)
			try := r.history.tries[0]
			for i := range c.herd {
				try.Reached = append(try.Reached, Reached{Server: 3, At: 20*s + time.Duration(i)*time.Millisecond})
			}
			plan := r.scenario.Plan(1)
			r.fits = r.eligibleTimes(plan)
			f := make(map[string]float64)
			r.addSpreadFigures(plan, f)
			for name, want := range c.want {
				if v, ok := f[name]; !ok || v < want[0] || v > want[1] {
					t.Errorf("%s is %v (%v), want %v to %v", name, v, ok, want[0], want[1])
				}
			}
		})
	}
}

// The spread's scenarios at a small size: each can be played, one of them is, and its figures are those of its sends.
func TestSpreadScenarios(t *testing.T) {
	t.Parallel()
	names, _ := filepath.Glob("../../scenarios/spread-*.toml")
	if len(names) != 5 {
		t.Fatalf("scenarios %v", names)
	}
	for _, name := range names {
		raw, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		s, err := ReadScenario(name, raw)
		if err != nil {
			t.Fatal(err)
		}
		if rate := float64(len(s.arrivals(1))) / s.For.Std().Seconds() / 300; rate < 7.8 || rate > 8.2 {
			t.Errorf("%s: %v requests a second for each sidecar", name, rate)
		}
		if err := s.Resize(10, 6, 0); err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(name, "seven") {
			continue
		}
		if err := s.Stretch(14 * time.Second); err != nil {
			t.Fatal(err)
		}
		res, broken := playScenario(t, s, Options{Seed: 1, Program: realProgram(t)})
		if len(broken) > 0 {
			t.Errorf("broken: %v", broken)
		}
		sum := 0.0
		for _, row := range res.Sends {
			for _, n := range row {
				sum += n
			}
		}
		f := res.Figures
		if all := f["attempts"] * f["requests"]; len(res.Sends) != 6 || len(res.Sends[0]) != 14 || sum > all+0.5 || sum < 0.95*all { // some come after the end
			t.Errorf("%v sends in %d rows, figures %v", sum, len(res.Sends), f)
		}
		for _, name := range []string{"spread_1s", "after_spread_1s", "after_herd", "server_conns", "after_idle_most_s"} {
			if _, ok := f[name]; !ok {
				t.Errorf("there is no %s", name)
			}
		}
	}
}
