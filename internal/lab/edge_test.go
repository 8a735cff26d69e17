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

// Wherever the edge lies, it is found, and with no more plays than a search by halves needs.
func TestBisect(t *testing.T) {
	for n := range 20 {
		for edge := range n + 1 {
			asked := 0
			got, err := bisect(n, func(i int) (bool, error) { asked++; return i < edge, nil })
			if got != edge || err != nil || asked > bits.Len(uint(n)) {
				t.Errorf("of %d loads, an edge at %d: found %d after %d plays, error %v", n, edge, got, asked, err)
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
		t.Errorf("a grid with no end: %v", grid)
	}
}

func TestEdgesAreTold(t *testing.T) {
	play := func(seed uint64, use, returned float64) *Result {
		return &Result{Label: "a", Scenario: "x@" + string(rune('a'+int(use*10))), Seed: seed, Sidecars: 2, Servers: 3,
			Figures: map[string]float64{"use": use, "returned": returned}}
	}
	var w strings.Builder
	Edges(&w, []*Result{
		play(1, 0.7, 1), play(1, 0.5, 1), play(1, 0.8, 0), // in whatever order
		play(2, 0.6, 0), play(2, 0.5, 0),
		play(3, 0.6, 1), play(3, 0.7, 0),
		{Label: "a", Scenario: "y", Figures: map[string]float64{}}, // played at its own load
	})
	if want := "| a | x | 2x3 | 3 | 0 | 0.6 (0 to 0.7) | 0.7, 0, 0.6 |\n"; !strings.HasSuffix(w.String(), want) {
		t.Errorf("told\n%s, want its end to be\n%s", w.String(), want)
	}
}

// A fleet is judged by the time from 10 s after its last fault on, against the 5 s before the first; a good second in
// between is no return.
func TestReturned(t *testing.T) {
	for _, c := range []struct {
		what          string
		inTime        func(second int) int64 // of 100
		until         int                    // the run's end
		returned      float64
		told          bool
		before, after float64
	}{
		{"all is well", func(int) int64 { return 90 }, 36, 1, true, 0.9, 0.9},
		{"it begins badly", func(s int) int64 { return map[bool]int64{true: 10, false: 90}[s < 5] }, 36, 1, true, 0.9, 0.9},
		{"it stays bad", func(s int) int64 { return map[bool]int64{true: 90, false: 50}[s < 10] }, 36, 0, true, 0.9, 0.5},
		{"it is back in time", func(s int) int64 { return map[bool]int64{true: 20, false: 90}[s >= 10 && s < 26] }, 36, 1, true, 0.9, 0.9},
		{"it is back for two seconds", func(s int) int64 { return map[bool]int64{true: 90, false: 50}[s < 10 || s/2 == 9] }, 36, 0, true, 0.9, 0.5},
		{"just under", func(s int) int64 { return map[bool]int64{true: 100, false: 94}[s < 26] }, 36, 0, true, 1, 0.94},
		{"it ends too soon", func(int) int64 { return 90 }, 27, 0, false, 0, 0},
	} {
		s := readScenario(t, "[fleet]\nservers=4")
		s.For = conf.Duration(time.Duration(c.until) * time.Second)
		r := &run{scenario: s, history: new(History), faults: new(faults)}
		r.clients = newClients(s, newClock(), r.history, nil, nil)
		r.servers = &servers{congested: newCounter(c.until)}
		r.faults.played = []PlayedFault{{At: 12 * time.Second, Until: 16 * time.Second}, {At: 10 * time.Second, Until: 11 * time.Second}}
		for second := range c.until {
			at := time.Duration(second) * time.Second
			r.clients.inTime.add(at, c.inTime(second))
			r.clients.outcomes[Served].add(at, c.inTime(second))
			r.clients.outcomes[Refused].add(at, 100-c.inTime(second))
			r.servers.congested.add(at, int64(second/26)) // from 26 s on
			r.history.requests = append(r.history.requests, ClientRequest{Arrival: world.Arrival{At: at}, Tries: 1 + second/26, End: Served})
		}
		f := make(map[string]float64)
		r.addReturnFigures(f)
		_, told := f["returned"]
		if told != c.told || f["returned"] != c.returned || math.Abs(f["before"]-c.before)+math.Abs(f["after"]-c.after) > 1e-9 {
			t.Errorf("%s: %v", c.what, f)
		}
		if told && (f["after_tipped"] != 0.25 || f["after_tries"] != 2 || f["after_refused"] != 0) {
			t.Errorf("%s: %v", c.what, f)
		}
	}
}
