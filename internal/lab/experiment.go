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
	About     string    `toml:"about" need:"yes" help:"what is to be found out"`
	Scenarios []string  `toml:"scenarios" need:"yes" help:"scenarios by name, or all"`
	Seeds     int       `toml:"seeds" default:"5" min:"1" max:"1000" help:"seeds 1 to this"`
	Parallel  int       `toml:"parallel" default:"1" min:"1" max:"64" help:"runs at a time; each wants about two cores"`
	Sidecars  []int     `toml:"sidecars" help:"numbers of sidecars; none: as each scenario has it"`
	Edge      edgeSpec  `toml:"edge"`
	With      []Subject `toml:"with" help:"the programs and settings to compare; none: this tree"`
}

// edgeSpec has an experiment look for the largest load at which a fleet still returns after its faults, seed by seed, by
// bisection over a grid of loads.
type edgeSpec struct {
	From float64 `toml:"from" default:"0.5" min:"0.05" max:"5" help:"the least load.use that is tried"`
	To   float64 `toml:"to" default:"0" min:"0" max:"5" help:"and the most; 0: each scenario is played at its own"`
	Step float64 `toml:"step" default:"0.05" min:"0.005" max:"1" help:"between two loads of the grid"`
}

// maxPlaysWhenLate is how often a play is made, at most, whose verdict a bisection goes by and that ran late.
const maxPlaysWhenLate = 3

// loads is the grid of loads; none where no edge is looked for.
func (e edgeSpec) loads() (all []float64) {
	for i := 0; e.To > 0 && e.From+float64(i)*e.Step < e.To+e.Step/2; i++ {
		all = append(all, e.From+float64(i)*e.Step)
	}
	return all
}

// bisect finds how many of n loads, the least first, a fleet returns at, where it returns at none above the first at which
// it does not. It asks log2(n+1) times at most, rounded up.
func bisect(n int, returns func(i int) (bool, error)) (int, error) {
	least, most := 0, n // returns at all below least, at none from most on
	for least < most {
		mid := (least + most) / 2
		back, err := returns(mid)
		switch {
		case err != nil:
			return least, err
		case back:
			least = mid + 1
		default:
			most = mid
		}
	}
	return least, nil
}

// Subject is one program or setting that an experiment plays.
type Subject struct {
	Label   string `toml:"label" need:"yes" help:"its name in results"`
	Program string `toml:"program" help:"path of a sidecar; empty: the one of this tree"`
	File    string `toml:"file" help:"the fleet file of every sidecar, in TOML, in place of the scenario's"`
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
		return nil, fmt.Errorf("%s: edge.to %v is under edge.from %v", path, e.Edge.To, e.Edge.From)
	}
	return &e, nil
}

// plannedRun is one run of an experiment.
type plannedRun struct {
	scene   *Scenario
	options Options
	label   string
}

// Run plays all of an experiment that dir does not hold yet: a result there that was made by the same program is
// kept. find gives a scenario by its name. It tells of each run on w, and returns all results.
func (e *Experiment) Run(ctx context.Context, dir string, w io.Writer, find func(string) (*Scenario, error)) ([]*Result, error) {
	cells, err := e.plannedRuns(dir, find)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var all []*Result
	var bad []error
	uses := e.Edge.loads()
	one := func(c plannedRun) (*Result, error) {
		r, err := ReadResult(filepath.Join(c.options.Out, ResultName))
		kept := err == nil && r.Program == programDigest(c.options.Program)
		for n := 0; !kept && (n == 0 || n < maxPlaysWhenLate && err == nil && r.Late != "" && len(uses) > 0); n++ {
			if r, err = Play(ctx, c.scene, c.options); err == nil {
				r.Label = c.label
				err = r.rewrite(c.options.Out)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			bad = append(bad, fmt.Errorf("%s, seed %d: %w", c.scene.Name, c.options.Seed, err))
			return nil, err
		}
		all = append(all, r)
		if !kept {
			fmt.Fprintf(w, "%-10s %-24s seed %-3d worth %.3f  %s\n", c.label, c.scene.Name, c.options.Seed, r.Figures["worth"], r.summary())
		}
		return r, nil
	}
	places, work := make(chan struct{}, e.Parallel), sync.WaitGroup{}
	for _, c := range cells {
		places <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		work.Go(func() {
			defer func() { <-places }()
			if len(uses) == 0 {
				_, _ = one(c) // which keeps its error
				return
			}
			_, _ = bisect(len(uses), func(i int) (bool, error) {
				r, err := one(c.withLoad(uses[i]))
				if err != nil {
					return false, err
				}
				back, ok := r.Figures["returned"]
				if !ok {
					mu.Lock()
					defer mu.Unlock()
					err = fmt.Errorf("%s: it ends too soon after its last fault to tell whether the fleet returns", c.scene.Name)
					bad = append(bad, err)
				}
				return back > 0, err
			})
		})
	}
	work.Wait()
	if ctx.Err() != nil {
		bad = append(bad, errors.New("ended before its time; the same command goes on from here"))
	}
	return all, errors.Join(bad...)
}

// withLoad is the same run at another load.
func (c plannedRun) withLoad(use float64) plannedRun {
	scene := *c.scene
	scene.Load.Utilization = use
	scene.Name = fmt.Sprintf("%s@%.3g", c.scene.Name, use)
	c.scene = &scene
	c.options.Out = filepath.Join(filepath.Dir(c.options.Out), fmt.Sprintf("use-%.3g", use), filepath.Base(c.options.Out))
	return c
}

// Edges writes a line for each program and scenario of an experiment that looked for edges: the largest load at which the
// fleet returned, the median over seeds with its spread, and each seed's; 0 where it returned at no load that was tried.
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
		e, known := edges[k][r.Seed] // the largest load that it returned at, and the least that it did not
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
	fmt.Fprintf(w, "\n| program | scenario | size | seeds | late plays | largest load that it returned at | by seed |\n|%s\n", strings.Repeat(" --- |", 7))
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
			k.label, k.scenario, k.size, len(values), late[k], s.median, s.min, s.max, strings.Join(by, ", "))
	}
}

// summary is a run's verdicts in a few words.
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

// rewrite writes a result again, with its label.
func (r *Result) rewrite(dir string) error {
	raw, err := r.encode()
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, ResultName), raw, 0o644)
}

// plannedRuns lists an experiment's runs, seed by seed, so that what is compared is played close together.
func (e *Experiment) plannedRuns(dir string, find func(string) (*Scenario, error)) (all []plannedRun, err error) {
	tree := ""
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
					scene, folder := *s, s.Name
					if size > 0 {
						scene.Fleet.Sidecars = size
						folder = fmt.Sprintf("%s-%d", s.Name, size)
						if err := scene.validate(); err != nil {
							return nil, fmt.Errorf("%s with %d sidecars: %w", name, size, err)
						}
					}
					if with.File != "" {
						scene.Fleet.File = with.File
					}
					c := plannedRun{scene: &scene, label: with.Label}
					c.options = Options{Seed: uint64(seed), Program: with.Program, Out: filepath.Join(dir, with.Label, folder, fmt.Sprintf("seed-%d", seed))}
					if c.options.Program == "" {
						if tree == "" {
							if err := os.MkdirAll(dir, 0o755); err != nil {
								return nil, err
							}
							if tree, err = Build(dir); err != nil {
								return nil, err
							}
						}
						c.options.Program = tree
					}
					all = append(all, c)
				}
			}
		}
	}
	return all, nil
}

// ReadResults reads a result, or all results below a folder.
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
		err = fmt.Errorf("%s holds no result", path)
	}
	return all, err
}

// distribution is the least, the median and the most of some values.
type distribution struct{ min, median, max float64 }

func distributionOf(values []float64) distribution {
	v := slices.Sorted(slices.Values(values))
	n := len(v)
	return distribution{v[0], (v[(n-1)/2] + v[n/2]) / 2, v[n-1]}
}

// Summary writes a table of results in Markdown: a line for each scenario, with the median over seeds and the spread.
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
			fmt.Fprintf(w, " %.4g (%.4g to %.4g) |", s.median, s.min, s.max)
		}
		fmt.Fprintln(w)
	}
}

// Compare pairs the runs of a and b by scenario, size and seed, and writes for each scenario and figure the medians,
// the ratio b to a with its spread over the pairs, and in how many pairs b was above a. It returns the number of pairs.
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
				ratio = fmt.Sprintf("%.3f (%.3f to %.3f)", s.median, s.min, s.max)
			}
			fmt.Fprintf(w, "  %-20s a %-10.4g b %-10.4g b/a %-26s b above a in %d of %d\n",
				figure, distributionOf(x).median, distributionOf(y).median, ratio, above, len(x))
		}
	}
	return n
}
