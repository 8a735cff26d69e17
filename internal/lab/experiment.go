package lab

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"arrowgw/internal/conf"
)

// Experiment is an experiment file: a grid of programs, scenarios, sizes and seeds.
type Experiment struct {
	About     string    `toml:"about" need:"yes" help:"question that the experiment answers"`
	Scenarios []string  `toml:"scenarios" need:"yes" help:"scenarios by name, or all"`
	Seeds     int       `toml:"seeds" default:"5" min:"1" max:"1000" help:"seeds 1 to this"`
	Parallel  int       `toml:"parallel" default:"1" min:"1" max:"64" help:"runs at a time; each needs about two cores"`
	Sidecars  []int     `toml:"sidecars" help:"numbers of sidecars; empty: as in each scenario"`
	Edge      edgeSpec  `toml:"edge"`
	With      []Subject `toml:"with" help:"programs and settings to compare; empty: this tree"`
}

// edgeSpec makes an experiment search, for each seed, for the largest load at which a fleet still recovers from its faults. It
// bisects a grid of loads.
type edgeSpec struct {
	From float64 `toml:"from" default:"0.5" min:"0.05" max:"5" help:"smallest load.use that is tried"`
	To   float64 `toml:"to" default:"0" min:"0" max:"5" help:"largest load.use that is tried; 0: each scenario is played at its own load"`
	Step float64 `toml:"step" default:"0.05" min:"0.005" max:"1" help:"difference between two loads of the grid"`
}

// maxPlaysWhenLate is how often a run that a bisection relies on is played at most, while the lab runs late.
const maxPlaysWhenLate = 3

// loads returns the grid of loads. It is empty where no edge is searched for.
func (e edgeSpec) loads() (all []float64) {
	for i := 0; e.To > 0 && e.From+float64(i)*e.Step < e.To+e.Step/2; i++ {
		all = append(all, e.From+float64(i)*e.Step)
	}
	return all
}

// bisect returns at how many of n loads, in ascending order, a fleet recovers, provided that it recovers at no load above the
// first at which it does not. It calls recovers at most log2(n+1) times, rounded up.
func bisect(n int, recovers func(i int) (bool, error)) (int, error) {
	low, high := 0, n // it recovers at all loads below low, and at none from high on
	for low < high {
		mid := (low + high) / 2
		recovered, err := recovers(mid)
		switch {
		case err != nil:
			return low, err
		case recovered:
			low = mid + 1
		default:
			high = mid
		}
	}
	return low, nil
}

// Subject is one program or setting that an experiment plays.
type Subject struct {
	Label   string `toml:"label" need:"yes" help:"name in results"`
	Program string `toml:"program" help:"path of a sidecar program; empty: built from this tree"`
	File    string `toml:"file" help:"fleet file of every sidecar, in TOML, in place of the scenario's"`
}

// ReadExperiment reads an experiment file.
func ReadExperiment(path string) (*Experiment, error) {
	var e Experiment
	if err := conf.Read(path, &e); err != nil {
		return nil, err
	}
	if len(e.With) == 0 {
		e.With = []Subject{{Label: "tree"}}
	}
	if e.Edge.To > 0 && e.Edge.To < e.Edge.From {
		return nil, fmt.Errorf("%s: edge.to %v is less than edge.from %v", path, e.Edge.To, e.Edge.From)
	}
	return &e, nil
}

// plannedRun is one run of an experiment, a cell of its grid.
type plannedRun struct {
	scenario *Scenario
	options  Options
	label    string
}

// Run plays all runs of an experiment and returns their results. A result in dir that the same program produced is reused.
// find returns a scenario by its name. Run writes a line to w for each run that it plays.
func (e *Experiment) Run(ctx context.Context, dir string, w io.Writer, find func(string) (*Scenario, error)) ([]*Result, error) {
	runs, err := e.plannedRuns(dir, find)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var all []*Result
	var bad []error
	loads := e.Edge.loads()
	playOne := func(c plannedRun) (*Result, error) {
		r, err := ReadResult(filepath.Join(c.options.Out, ResultName))
		reused := err == nil && r.Program == programDigest(c.options.Program)
		for n := 0; !reused && (n == 0 || n < maxPlaysWhenLate && err == nil && r.Late != "" && len(loads) > 0); n++ {
			if r, err = Play(ctx, c.scenario, c.options); err == nil {
				r.Label = c.label
				err = r.rewrite(c.options.Out)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			bad = append(bad, fmt.Errorf("%s, seed %d: %w", c.scenario.Name, c.options.Seed, err))
			return nil, err
		}
		all = append(all, r)
		if !reused {
			fmt.Fprintf(w, "%-10s %-24s seed %-3d worth %.3f  %s\n", c.label, c.scenario.Name, c.options.Seed, r.Figures["worth"], r.summary())
		}
		return r, nil
	}
	slots, work := make(chan struct{}, e.Parallel), sync.WaitGroup{}
	for _, c := range runs {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		work.Go(func() {
			defer func() { <-slots }()
			if len(loads) == 0 {
				_, _ = playOne(c) // records its error
				return
			}
			_, _ = bisect(len(loads), func(i int) (bool, error) {
				r, err := playOne(c.withLoad(loads[i]))
				if err != nil {
					return false, err
				}
				returned, ok := r.Figures["returned"]
				if !ok {
					mu.Lock()
					defer mu.Unlock()
					err = fmt.Errorf("%s: the run ends too soon after its last fault to tell whether the fleet recovers", c.scenario.Name)
					bad = append(bad, err)
				}
				return returned > 0, err
			})
		})
	}
	work.Wait()
	if ctx.Err() != nil {
		bad = append(bad, errors.New("interrupted; run the same command again to continue"))
	}
	return all, errors.Join(bad...)
}

// withLoad returns the same run at another load.
func (c plannedRun) withLoad(use float64) plannedRun {
	scenario := *c.scenario
	scenario.Load.Utilization = use
	scenario.Name = fmt.Sprintf("%s@%.3g", c.scenario.Name, use)
	c.scenario = &scenario
	c.options.Out = filepath.Join(filepath.Dir(c.options.Out), fmt.Sprintf("use-%.3g", use), filepath.Base(c.options.Out))
	return c
}

// Edges writes a Markdown table of an experiment that searched for edges, a line for each program, scenario and size: the
// largest load at which the fleet recovered, as median, minimum and maximum over seeds, and by seed. It is 0 where the fleet
// recovered at no load that was tried.
func Edges(w io.Writer, all []*Result) {
	type key struct{ label, scenario, size string }
	edges, late := make(map[key]map[uint64][2]float64), make(map[key]int)
	for _, r := range all {
		name, _, ok := strings.Cut(r.Scenario, "@")
		if !ok {
			continue
		}
		k := key{r.Label, name, fmt.Sprintf("%dx%d", r.Sidecars, r.Servers)}
		if edges[k] == nil {
			edges[k] = make(map[uint64][2]float64)
		}
		e, known := edges[k][r.Seed] // the largest load with recovery, and the smallest without
		if !known {
			e[1] = math.Inf(1)
		}
		if use := r.Figures["use"]; r.Figures["returned"] > 0 {
			e[0] = max(e[0], use)
		} else {
			e[1] = min(e[1], use)
		}
		edges[k][r.Seed] = e
		if r.Late != "" {
			late[k]++
		}
	}
	fmt.Fprintf(w, "\n| program | scenario | size | seeds | late runs | largest load with recovery | by seed |\n|%s\n", strings.Repeat(" --- |", 7))
	keys := slices.SortedFunc(maps.Keys(edges), func(a, b key) int {
		return cmp.Or(cmp.Compare(a.scenario, b.scenario), cmp.Compare(a.size, b.size), cmp.Compare(a.label, b.label))
	})
	for _, k := range keys {
		var values []float64
		var by []string
		for _, seed := range slices.Sorted(maps.Keys(edges[k])) {
			e := edges[k][seed]
			values = append(values, e[0])
			by = append(by, fmt.Sprintf("%.3g", e[0]))
		}
		s := distributionOf(values)
		fmt.Fprintf(w, "| %s | %s | %s | %d | %d | %.3g (%.3g to %.3g) | %s |\n",
			k.label, k.scenario, k.size, len(values), late[k], s.median, s.minimum, s.maximum, strings.Join(by, ", "))
	}
}

// summary returns a run's verdicts in a few words: the violated invariants, or "held".
func (r *Result) summary() string {
	var words []string
	for _, v := range r.Verdicts {
		if !v.Held {
			words = append(words, fmt.Sprintf("%s BROKEN %d times", v.Invariant, v.Broken))
		}
	}
	if len(words) == 0 {
		words = []string{"held"}
	}
	if r.Late != "" {
		words = append(words, "late")
	}
	return strings.Join(words, ", ")
}

// rewrite writes result.json to a folder, in place of an earlier one.
func (r *Result) rewrite(dir string) error {
	raw, err := r.encode()
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, ResultName), raw, 0o644)
}

// plannedRuns lists an experiment's runs ordered by seed, so that runs to be compared are played shortly after each other.
func (e *Experiment) plannedRuns(dir string, find func(string) (*Scenario, error)) (all []plannedRun, err error) {
	treeProgram := "" // built once
	sizes := e.Sidecars
	if len(sizes) == 0 {
		sizes = []int{0}
	}
	for seed := 1; seed <= e.Seeds; seed++ {
		for _, name := range e.Scenarios {
			for _, size := range sizes {
				for _, with := range e.With {
					s, err := find(name)
					if err != nil {
						return nil, err
					}
					scenario, folder := *s, s.Name
					if size > 0 {
						scenario.Fleet.Sidecars = size
						folder = fmt.Sprintf("%s-%d", s.Name, size)
						if err := scenario.validate(); err != nil {
							return nil, fmt.Errorf("%s with %d sidecars: %w", name, size, err)
						}
					}
					if with.File != "" {
						scenario.Fleet.File = with.File
					}
					c := plannedRun{scenario: &scenario, label: with.Label}
					c.options = Options{Seed: uint64(seed), Program: with.Program, Out: filepath.Join(dir, with.Label, folder, fmt.Sprintf("seed-%d", seed))}
					if c.options.Program == "" {
						if treeProgram == "" {
							if err := os.MkdirAll(dir, 0o755); err != nil {
								return nil, err
							}
							if treeProgram, err = Build(dir); err != nil {
								return nil, err
							}
						}
						c.options.Program = treeProgram
					}
					all = append(all, c)
				}
			}
		}
	}
	return all, nil
}

// ReadResults reads a result file, or all results below a folder.
func ReadResults(path string) (all []*Result, err error) {
	err = filepath.WalkDir(path, func(p string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || p != path && d.Name() != ResultName {
			return err
		}
		r, err := ReadResult(p)
		all = append(all, r)
		return err
	})
	if err == nil && len(all) == 0 {
		err = fmt.Errorf("%s contains no result", path)
	}
	return all, err
}

// distribution holds the minimum, median and maximum of some values.
type distribution struct{ minimum, median, maximum float64 }

// distributionOf returns the distribution of values, of which there must be at least one.
func distributionOf(values []float64) distribution {
	v := slices.Sorted(slices.Values(values))
	n := len(v)
	return distribution{v[0], (v[(n-1)/2] + v[n/2]) / 2, v[n-1]}
}

// Summary writes a Markdown table of results, with a line for each program, scenario and size: for each figure the median,
// minimum and maximum over the runs.
func Summary(w io.Writer, all []*Result, figures []string) {
	by := make(map[string][]*Result)
	for _, r := range all {
		key := fmt.Sprintf("%s | %s | %dx%d", r.Label, r.Scenario, r.Sidecars, r.Servers)
		by[key] = append(by[key], r)
	}
	fmt.Fprintf(w, "| program | scenario | size | runs | held | late | %s |\n", strings.Join(figures, " | "))
	fmt.Fprintf(w, "|%s\n", strings.Repeat(" --- |", 6+len(figures)))
	for _, key := range slices.Sorted(maps.Keys(by)) {
		held, late := 0, 0
		for _, r := range by[key] {
			if r.Held() {
				held++
			}
			if r.Late != "" {
				late++
			}
		}
		fmt.Fprintf(w, "| %s | %d | %d | %d |", key, len(by[key]), held, late)
		for _, name := range figures {
			var values []float64
			for _, r := range by[key] {
				if v, ok := r.Figures[name]; ok {
					values = append(values, v)
				}
			}
			if len(values) == 0 {
				fmt.Fprint(w, " |")
				continue
			}
			s := distributionOf(values)
			fmt.Fprintf(w, " %.4g (%.4g to %.4g) |", s.median, s.minimum, s.maximum)
		}
		fmt.Fprintln(w)
	}
}

// Compare pairs the runs of a and b by scenario, size and seed, and writes for each scenario, size and figure the medians,
// the ratio of b to a (median, minimum and maximum over the pairs) and in how many pairs b was above a. It returns the
// number of pairs.
func Compare(w io.Writer, a, b []*Result, figures []string) int {
	key := func(r *Result) string {
		return fmt.Sprintf("%s %dx%d seed %d", r.Scenario, r.Sidecars, r.Servers, r.Seed)
	}
	first := make(map[string]*Result)
	for _, r := range a {
		first[key(r)] = r
	}
	pairs := make(map[string][][2]*Result)
	n := 0
	for _, r := range b {
		if p := first[key(r)]; p != nil {
			name := fmt.Sprintf("%s %dx%d", r.Scenario, r.Sidecars, r.Servers)
			pairs[name] = append(pairs[name], [2]*Result{p, r})
			n++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(pairs)) {
		fmt.Fprintf(w, "%s, %d pairs\n", name, len(pairs[name]))
		for _, figure := range figures {
			var x, y, ratios []float64
			above := 0
			for _, p := range pairs[name] {
				u, okA := p[0].Figures[figure]
				v, okB := p[1].Figures[figure]
				if !okA || !okB {
					continue
				}
				x, y = append(x, u), append(y, v)
				if v > u {
					above++
				}
				if u != 0 {
					ratios = append(ratios, v/u)
				}
			}
			if len(x) == 0 {
				continue
			}
			ratio := "-"
			if len(ratios) > 0 {
				s := distributionOf(ratios)
				ratio = fmt.Sprintf("%.3f (%.3f to %.3f)", s.median, s.minimum, s.maximum)
			}
			fmt.Fprintf(w, "  %-20s a %-10.4g b %-10.4g b/a %-26s b above a in %d of %d\n",
				figure, distributionOf(x).median, distributionOf(y).median, ratio, above, len(x))
		}
	}
	return n
}
