// Fleetlab runs whole fleets of sidecar processes on this machine's loopback interface, injects faults, and reports what
// they cost. docs/lab.md documents it.
package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"arrowgw/internal/conf"
	"arrowgw/internal/lab"
	"arrowgw/internal/logging"
	"arrowgw/internal/sysfault"
	"arrowgw/scenarios"
)

// The exit codes.
const (
	exitHeld     = 0 // all invariants held
	exitBroken   = 1 // an invariant did not hold
	exitUnusable = 2 // the input is invalid, or the run failed
)

// errBroken reports that a run broke an invariant. The findings have been printed.
var errBroken = errors.New("an invariant did not hold")

func main() {
	sysfault.Launch()
	if lab.ServeHollow() || lab.RunBusyLoop() {
		return
	}
	root := &cobra.Command{
		Use: "fleetlab", Short: "Run fleets of sidecars on loopback, inject faults, and check invariants", SilenceUsage: true, SilenceErrors: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	root.AddCommand(try(), list(), play(), compare(), experiment(), sweep(), soak())
	// Ctrl-C ends a run and all of its processes.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := logging.Setup(os.Stderr, os.Getenv)
	if err == nil {
		err = root.ExecuteContext(ctx)
	}
	switch {
	case errors.Is(err, errBroken):
		os.Exit(exitBroken)
	case err != nil:
		fmt.Fprintln(os.Stderr, "fleetlab:", err)
		os.Exit(exitUnusable)
	}
}

// findScenario reads a scenario, given the name of a built-in one or the path of a file.
func findScenario(name string) (*lab.Scenario, error) {
	if strings.HasSuffix(name, ".toml") || strings.ContainsRune(name, filepath.Separator) {
		raw, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		return lab.ReadScenario(name, raw)
	}
	raw, err := scenarios.Files.ReadFile(name + ".toml")
	if err != nil {
		return nil, fmt.Errorf("no scenario %q; run fleetlab list for the names, or give the path of a file", name)
	}
	return lab.ReadScenario(name+".toml", raw)
}

// sizes are the flags that change a scenario's size.
type sizes struct {
	sidecars, servers, hollow int
	program                   string
}

// flags adds the flags to a command.
func (s *sizes) flags(c *cobra.Command) {
	c.Flags().IntVar(&s.sidecars, "sidecars", 0, "number of sidecars, instead of the scenario's")
	c.Flags().IntVar(&s.servers, "servers", 0, "number of queue servers, instead of the scenario's")
	c.Flags().IntVar(&s.hollow, "hollow", 0, "number of hollow sidecars, instead of the scenario's")
	c.Flags().StringVar(&s.program, "program", "", "path of the sidecar program; by default the one of this source tree is built")
}

// apply resizes a scenario. A size of 0 leaves the scenario's own.
func (s *sizes) apply(scene *lab.Scenario) error {
	return scene.Resize(s.sidecars, s.servers, s.hollow)
}

// try returns the command that plays the built-in scenario try.
func try() *cobra.Command {
	var s sizes
	c := &cobra.Command{
		Use: "try", Short: "Start sidecars, servers, discovery and clients together, kill some, and show the effect", Args: cobra.NoArgs,
	}
	length := c.Flags().Duration("for", 30*time.Second, "length of the run")
	s.flags(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		scene, err := findScenario("try")
		if err != nil {
			return err
		}
		if err := errors.Join(scene.Stretch(*length), s.apply(scene)); err != nil {
			return err
		}
		fmt.Printf("%d sidecars, %d queue servers and their clients, for %v; press Ctrl-C to stop\n", scene.Fleet.Sidecars, scene.Fleet.Servers, *length)
		return playAndPrint(c, scene, lab.Options{Seed: 1, Program: s.program, OnProgress: lab.ProgressPrinter(os.Stdout)}, false)
	}
	return c
}

// playAndPrint plays a scenario and prints the result. It returns errBroken if an invariant did not hold.
func playAndPrint(c *cobra.Command, scene *lab.Scenario, o lab.Options, asJSON bool) error {
	res, err := lab.Play(c.Context(), scene, o)
	if err != nil {
		return err
	}
	if asJSON {
		if err := res.JSON(os.Stdout); err != nil {
			return err
		}
	} else {
		res.Print(os.Stdout)
	}
	if o.Out != "" {
		fmt.Fprintf(os.Stderr, "result, report and logs written to %s\n", o.Out)
	}
	if !res.Held() {
		return errBroken
	}
	return nil
}

// list returns the command that lists the built-in scenarios.
func list() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the built-in scenarios", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			names, err := fs.Glob(scenarios.Files, "*.toml")
			if err != nil {
				return err
			}
			for _, name := range names {
				s, err := findScenario(strings.TrimSuffix(name, ".toml"))
				if err != nil {
					return err
				}
				fmt.Printf("%-20s %3dx%-3d %5v  %s\n", s.Name, s.Fleet.Sidecars, s.Fleet.Servers, s.For, s.About)
			}
			return nil
		},
	}
}

// play returns the command that plays one scenario.
func play() *cobra.Command {
	var s sizes
	c := &cobra.Command{Use: "play SCENARIO", Short: "Play a scenario, given by name or by the path of its file", Args: cobra.ExactArgs(1)}
	seed := c.Flags().Uint64("seed", 1, "seed for the requests and the targets of faults")
	out := c.Flags().String("out", "", "directory for result.json, report.html and the logs of every process")
	asJSON := c.Flags().Bool("json", false, "print the result as JSON")
	effective := c.Flags().Bool("check", false, "print the scenario with all defaults and do not play it")
	s.flags(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		scene, err := findScenario(args[0])
		if err != nil {
			return err
		}
		if err := s.apply(scene); err != nil {
			return err
		}
		if *effective {
			return conf.Write(os.Stdout, scene)
		}
		o := lab.Options{Seed: *seed, Program: s.program, Out: *out}
		if !*asJSON {
			o.OnProgress = lab.ProgressPrinter(os.Stdout)
		}
		return playAndPrint(c, scene, o, *asJSON)
	}
	return c
}

// defaultFigures are the figures in tables unless --figures names others.
var defaultFigures = []string{"worth", "refused", "failed", "p99_ms", "attempts", "work", "recovery_s", "cpu_ms", "rss_mib"}

// figureFlag adds the flag --figures to a command and returns its value.
func figureFlag(c *cobra.Command) *[]string {
	return c.Flags().StringSlice("figures", defaultFigures, "figures to show; all: every figure; spread: how evenly requests are distributed over the servers")
}

// selectFigures expands the names all and spread to the figures that the results have.
func selectFigures(names []string, results ...*lab.Result) []string {
	if len(names) != 1 {
		return names
	}
	all := lab.FigureNames(results...)
	switch names[0] {
	case "all":
		return all
	case "spread":
		return slices.DeleteFunc(lab.SpreadFigures(), func(name string) bool { return !slices.Contains(all, name) })
	}
	return names
}

// compare returns the command that compares the results in two directories.
func compare() *cobra.Command {
	c := &cobra.Command{
		Use: "compare A B", Short: "Compare the results in two directories, by pairs of the same scenario, size and seed", Args: cobra.ExactArgs(2),
	}
	figures := figureFlag(c)
	c.RunE = func(_ *cobra.Command, args []string) error {
		a, err := lab.ReadResults(args[0])
		if err != nil {
			return err
		}
		b, err := lab.ReadResults(args[1])
		if err != nil {
			return err
		}
		if lab.Compare(os.Stdout, a, b, selectFigures(*figures, append(a, b...)...)) == 0 {
			return errors.New("no run in one directory has the same scenario, size and seed as a run in the other")
		}
		return nil
	}
	return c
}

// experiment returns the command that plays the grid of runs that a file describes.
func experiment() *cobra.Command {
	c := &cobra.Command{
		Use: "experiment FILE", Args: cobra.ExactArgs(1),
		Short: "Play a grid of programs, scenarios, sizes and seeds; results already in the directory are kept",
	}
	out := c.Flags().String("out", "", "directory for the results; default is FILE without its extension")
	figures := figureFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		e, err := lab.ReadExperiment(args[0])
		if err != nil {
			return err
		}
		dir := *out
		if dir == "" {
			dir = strings.TrimSuffix(args[0], filepath.Ext(args[0]))
		}
		results, err := e.Run(c.Context(), dir, os.Stderr, findScenario)
		lab.Summary(os.Stdout, results, selectFigures(*figures, results...))
		if e.Edge.To > 0 {
			lab.Edges(os.Stdout, results)
		}
		if err != nil {
			return err
		}
		for _, r := range results {
			if !r.Held() {
				return errBroken
			}
		}
		return nil
	}
	return c
}

// sweep returns the command that removes what killed labs have left behind.
func sweep() *cobra.Command {
	return &cobra.Command{
		Use: "sweep", Short: "Remove what killed labs have left behind, according to their own records", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			swept, err := lab.Sweep()
			for _, s := range swept {
				fmt.Println(s)
			}
			return err
		},
	}
}

// soak returns the command that plays random faults drawn from seeds.
func soak() *cobra.Command {
	c := &cobra.Command{
		Use: "soak", Args: cobra.NoArgs,
		Short: "Play random overlapping faults, drawn from seeds, on 10 to 40 sidecars; stop at the first seed that breaks an invariant",
	}
	seed := c.Flags().Uint64("seed", 0, "first seed; 0: drawn at random")
	runs := c.Flags().Int("runs", 1, "number of seeds, played one after the other")
	sidecars := c.Flags().Int("sidecars", 0, "number of sidecars; 0: 10 to 20, drawn at random")
	out := c.Flags().String("out", "", "directory for results and logs, with one subdirectory per seed")
	program := c.Flags().String("program", "", "path of the sidecar program; by default the one of this source tree is built")
	c.RunE = func(c *cobra.Command, _ []string) error {
		first := *seed
		if first == 0 {
			first = lab.ExtendedSoakFrom + rand.Uint64N(1<<32)
		}
		for n := range uint64(max(0, *runs)) {
			scene, err := lab.Soak(first+n, *sidecars)
			if err != nil {
				return err
			}
			o := lab.Options{Seed: first + n, Program: *program}
			if *out != "" {
				o.Out = filepath.Join(*out, fmt.Sprint(first+n))
			}
			res, err := lab.Play(c.Context(), scene, o)
			if err != nil {
				return fmt.Errorf("seed %d: %w", first+n, err)
			}
			fmt.Printf("seed %d: %d sidecars, %d servers, faults %s: held %v\n", first+n, res.Sidecars, res.Servers, strings.Join(scene.FaultKinds(), " "), res.Held())
			if !res.Held() || res.Late != "" {
				res.Print(os.Stdout)
			}
			if !res.Held() {
				return errBroken
			}
		}
		return nil
	}
	return c
}
