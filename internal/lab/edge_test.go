package lab

import (
	"errors"
	"math"
	"math/bits"
	"strings"
	"testing"
	"time"

	"arrowgw/internal/conf"
	"arrowgw/internal/world"
)

// bisect finds the edge wherever it is, with no more plays than a binary search needs.
func TestBisect(t *testing.T) {
	for n := range 20 {
		for edge := range n + 1 {
			plays := 0
			got, err := bisect(n, func(i int) (bool, error) { plays++; return i < edge, nil })
			if got != edge || err != nil || plays > bits.Len(uint(n)) {
				t.Errorf("%d loads, edge at %d: found %d after %d plays, error %v", n, edge, got, plays, err)
			}
		}
	}
	planted := errors.New("planted")
	if _, err := bisect(4, func(int) (bool, error) { return true, planted }); !errors.Is(err, planted) {
		t.Errorf("error %v", err)
	}
	if grid := (edgeSpec{From: 0.5, To: 0.8, Step: 0.1}).loads(); len(grid) != 4 || math.Abs(grid[3]-0.8) > 1e-9 {
		t.Errorf("grid %v", grid)
	}
	if grid := (edgeSpec{From: 0.5, Step: 0.1}).loads(); grid != nil {
		t.Errorf("grid without an upper end: %v", grid)
	}
}

// Edges prints the median over seeds of the largest load that a fleet returned at, with the range and each seed's
// value.
func TestEdgesArePrinted(t *testing.T) {
	play := func(seed uint64, use, returned float64) *Result {
		return &Result{Label: "a", Scenario: "x@" + string(rune('a'+int(use*10))), Seed: seed, Sidecars: 2, Servers: 3,
			Figures: map[string]float64{"use": use, "returned": returned}}
	}
	var w strings.Builder
	Edges(&w, []*Result{
		play(1, 0.7, 1), play(1, 0.5, 1), play(1, 0.8, 0), // in any order
		play(2, 0.6, 0), play(2, 0.5, 0),
		play(3, 0.6, 1), play(3, 0.7, 0),
		{Label: "a", Scenario: "y", Figures: map[string]float64{}}, // not a play for an edge
	})
	if want := "| a | x | 2x3 | 3 | 0 | 0.6 (0 to 0.7) | 0.7, 0, 0.6 |\n"; !strings.HasSuffix(w.String(), want) {
		t.Errorf("printed\n%s, want it to end with\n%s", w.String(), want)
	}
}

// A fleet has returned if its share of requests answered in time, from 10 s after the last fault on, is about that of
// the 5 s before the first fault. A single good second in between does not count.
func TestReturned(t *testing.T) {
	for _, c := range []struct {
		name          string
		inTime        func(second int) int64 // of 100
		end           int                    // the run's length in seconds
		returned      float64
		judged        bool
		before, after float64
	}{
		{"no loss", func(int) int64 { return 90 }, 36, 1, true, 0.9, 0.9},
		{"bad start only", func(s int) int64 { return map[bool]int64{true: 10, false: 90}[s < 5] }, 36, 1, true, 0.9, 0.9},
		{"no recovery", func(s int) int64 { return map[bool]int64{true: 90, false: 50}[s < 10] }, 36, 0, true, 0.9, 0.5},
		{"recovery in time", func(s int) int64 { return map[bool]int64{true: 20, false: 90}[s >= 10 && s < 26] }, 36, 1, true, 0.9, 0.9},
		{"recovery for two seconds", func(s int) int64 { return map[bool]int64{true: 90, false: 50}[s < 10 || s/2 == 9] }, 36, 0, true, 0.9, 0.5},
		{"just below the threshold", func(s int) int64 { return map[bool]int64{true: 100, false: 94}[s < 26] }, 36, 0, true, 1, 0.94},
		{"run too short to judge", func(int) int64 { return 90 }, 27, 0, false, 0, 0},
	} {
		s := readScenario(t, "[fleet]\nservers=4")
		s.For = conf.Duration(time.Duration(c.end) * time.Second)
		r := &run{scenario: s, history: new(History), faults: new(faults)}
		r.clients = newClients(s, newClock(), r.history, nil, nil)
		r.servers = &servers{congested: newCounter(c.end)}
		r.faults.played = []PlayedFault{{At: 12 * time.Second, Until: 16 * time.Second}, {At: 10 * time.Second, Until: 11 * time.Second}}
		for second := range c.end {
			at := time.Duration(second) * time.Second
			r.clients.inTime.add(at, c.inTime(second))
			r.clients.outcomes[Served].add(at, c.inTime(second))
			r.clients.outcomes[Refused].add(at, 100-c.inTime(second))
			r.servers.congested.add(at, int64(second/26)) // from 26 s on
			r.history.requests = append(r.history.requests, ClientRequest{Arrival: world.Arrival{At: at}, Tries: 1 + second/26, End: Served})
		}
		f := make(map[string]float64)
		r.addReturnFigures(f)
		_, judged := f["returned"]
		if judged != c.judged || f["returned"] != c.returned || math.Abs(f["before"]-c.before)+math.Abs(f["after"]-c.after) > 1e-9 {
			t.Errorf("%s: %v", c.name, f)
		}
		if judged && (f["after_tipped"] != 0.25 || f["after_tries"] != 2 || f["after_refused"] != 0) {
			t.Errorf("%s: %v", c.name, f)
		}
	}
}
