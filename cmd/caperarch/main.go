// Caperarch is a sidecar: it takes the requests of the application beside it and carries each to an
// upstream, as the decision module says.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"arrowgw/internal/conf"
	"arrowgw/internal/fleet"
	"arrowgw/internal/logging"
	"arrowgw/internal/sidecar"
	"arrowgw/internal/store"
)

func main() {
	if len(os.Args) < 2 { // as the platform starts it, with no parser's memory
		if run() != nil {
			os.Exit(1)
		}
		return
	}
	root := &cobra.Command{
		Use: "caperarch", Short: "A sidecar load balancer", SilenceUsage: true, Args: cobra.NoArgs,
		RunE:              func(*cobra.Command, []string) error { return run() },
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	root.AddCommand(
		&cobra.Command{
			Use: "run", Short: "Serve, as EDGE_CONFIG says; it is what no command does too", Args: cobra.NoArgs,
			SilenceErrors: true, // they are in the log
			RunE:          func(*cobra.Command, []string) error { return run() },
		},
		checkCommand(),
		&cobra.Command{
			Use: "call ADDRESS LINE...", Short: "Make one call at a sidecar's console, such as show-stat or disable-server ID",
			Args: cobra.MinimumNArgs(2),
			RunE: func(c *cobra.Command, args []string) error { return call(c.OutOrStdout(), args[0], args[1:]) },
		},
		&cobra.Command{
			Use: "fleet ADDRESS [duties]", Short: "Print who of the fleet is there, or who has which duty, as the sidecar sees it whose console is at ADDRESS",
			Args: cobra.RangeArgs(1, 2), ValidArgs: []string{"duties"},
			RunE: func(c *cobra.Command, args []string) error {
				switch {
				case len(args) == 1:
					return showFleet(c.OutOrStdout(), args[0], "show-members")
				case args[1] == "duties":
					return showFleet(c.OutOrStdout(), args[0], "show-duties")
				}
				return fmt.Errorf("%q can't be shown; there is duties", args[1])
			},
		},
		stateCommand(),
		&cobra.Command{
			Use: "version", Short: "Say which program this is", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error { return version(c.OutOrStdout()) },
		},
	)
	if root.Execute() != nil { // which has told why
		os.Exit(1)
	}
}

// checkCommand reads the configuration and says what is wrong with it, or what would be in force.
func checkCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "check", Short: "Read the configuration, say what is wrong with it, or what would be in force", Args: cobra.NoArgs,
	}
	config := c.Flags().String("config", os.Getenv("EDGE_CONFIG"), "the sidecar's configuration, a JSON file; EDGE_CONFIG if not given")
	fleetFile := c.Flags().String("fleet", "", "the fleet file (TOML), in place of the one that the configuration names")
	c.RunE = func(c *cobra.Command, _ []string) error {
		return check(c.OutOrStdout(), c.ErrOrStderr(), *config, *fleetFile)
	}
	return c
}

// flushTime bounds how long the end waits for the log to be read.
const flushTime = 100 * time.Millisecond

// run serves until it is told to stop. An error is in the log by then.
func run() (err error) {
	log := logging.NewAsyncWriter(os.Stderr) // whoever reads it may stall
	defer log.Flush(flushTime)
	defer func() {
		if err != nil {
			slog.Error("ends", "error", err)
		}
	}()
	if err := logging.Setup(log, os.Getenv); err != nil {
		return err
	}
	// It has one core at most, and the heap is small: more threads and frequent collections only cost.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// One signal is kept while another is seen to: the file is read behind the last.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	// A file that may not grow, and a log that nobody reads any more, are errors of their writes.
	signal.Ignore(syscall.SIGXFSZ, syscall.SIGPIPE)
	cfg, err := sidecar.ReadConfigAtStart(ctx, os.Getenv("EDGE_CONFIG"))
	if err != nil {
		return err
	}
	return sidecar.Run(ctx, cfg, reload)
}

// check prints the configuration in force, or fails with what is wrong.
func check(out, notes io.Writer, config, fleetFile string) error {
	if config == "" && fleetFile == "" {
		return errors.New("nothing to check: give --config or --fleet")
	}
	var shown struct {
		Sidecar *sidecar.Effective `toml:"sidecar,omitempty"`
		Fleet   *fleet.File        `toml:"fleet,omitempty"`
	}
	if config != "" {
		cfg, err := sidecar.ReadConfig(config)
		if err != nil {
			return err
		}
		told := cfg.Describe()
		shown.Sidecar, shown.Fleet = &told, cfg.Fleet
		for _, key := range cfg.UnknownKeys {
			fmt.Fprintf(notes, "caperarch: %s: key %q means nothing to this program; it is passed over\n", config, key)
		}
	}
	if fleetFile != "" {
		var err error
		if shown.Fleet, err = fleet.Read(fleetFile); err != nil {
			return err
		}
		if shown.Sidecar != nil {
			shown.Sidecar.Fleet = fleetFile
		}
	}
	return conf.Write(out, shown)
}

// errDamaged says that a state is damaged; all has been told by then.
var errDamaged = errors.New("the state is damaged")

// stateCommand looks at a sidecar's durable state, and changes nothing.
func stateCommand() *cobra.Command {
	root := &cobra.Command{Use: "state", Short: "Look at a sidecar's durable state; it may be at work"}
	add := func(name, short string, run func(out io.Writer, in *store.Inspection) error) {
		root.AddCommand(&cobra.Command{
			Use: name + " DIR", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				in, err := store.Inspect(store.OS{}, args[0])
				if err == nil {
					err = run(c.OutOrStdout(), in)
				}
				switch {
				case errors.Is(err, errDamaged):
					os.Exit(1)
				case err != nil:
					fmt.Fprintf(os.Stderr, "caperarch: %v\n", err)
					os.Exit(2)
				}
				return nil
			},
		})
	}
	add("show", "Print what holds", showState)
	add("verify", "Say what is damaged: exit code 0 sound, 1 damaged, 2 unusable", verifyState)
	add("export", "Print all of it as JSON", func(out io.Writer, in *store.Inspection) error {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(in)
	})
	return root
}

func showState(out io.Writer, in *store.Inspection) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SECTION\tKEY\tPUT AT\tBY\tVALUE")
	for _, v := range in.Values {
		text := strings.Map(func(r rune) rune {
			if r < ' ' || r == 0x7f {
				return '.'
			}
			return r
		}, string(v.Bytes))
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.100s\n", v.Section, v.Key, v.At.Format(time.RFC3339), v.Origin, text)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, d := range in.Damage {
		fmt.Fprintln(out, "damaged:", d)
	}
	if in.Unconfirmed != "" {
		fmt.Fprintln(out, "found damaged before, and not confirmed:", strings.ReplaceAll(in.Unconfirmed, "\n", "; "))
	}
	return nil
}

func verifyState(out io.Writer, in *store.Inspection) error {
	for _, f := range in.Files {
		state := "sound"
		if f.Damage != "" {
			state = "damaged, " + f.Damage
		}
		fmt.Fprintf(out, "%s: %d records, %d bytes, %s\n", f.Name, f.Records, f.Bytes, state)
	}
	for _, d := range in.Damage {
		fmt.Fprintln(out, "damaged:", d)
	}
	for _, name := range in.Unreadable {
		fmt.Fprintln(out, name+": of a newer program, or unreadable")
	}
	switch {
	case len(in.Damage) > 0:
		return errDamaged
	case len(in.Unreadable) > 0:
		return errors.New("some files can't be read by this program")
	}
	return nil
}

// callTime bounds a call at a console, which owes its answer within a second.
const callTime = 5 * time.Second

// call makes one call, prints the answer, and fails where the console says no.
func call(out io.Writer, address string, words []string) error {
	conn, err := net.DialTimeout("tcp", address, callTime)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(callTime)) // fails only on a closed connection
	if _, err := fmt.Fprintln(conn, strings.Join(words, " ")); err != nil {
		return err
	}
	answer, err := io.ReadAll(conn)
	_, _ = out.Write(answer) // where nobody reads on, nobody is told
	switch {
	case err != nil:
		return fmt.Errorf("%s: the answer breaks off: %w", address, err)
	case len(answer) == 0:
		return fmt.Errorf("%s: no answer", address)
	case strings.HasPrefix(string(answer), "4"), strings.HasPrefix(string(answer), "5"):
		return fmt.Errorf("%s: the console says no", address)
	}
	return nil
}

// showFleet prints what a sidecar sees of the fleet as a table.
func showFleet(out io.Writer, address, what string) error {
	var answer strings.Builder
	if err := call(&answer, address, []string{what}); err != nil {
		return errors.Join(err, errors.New(strings.TrimSpace(answer.String())))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	whole := false
	for i, line := range strings.Split(strings.TrimRight(answer.String(), "\n"), "\n") {
		switch {
		case i == 0:
			fmt.Fprintln(out, strings.TrimPrefix(line, "200 "))
		case line == "EOF":
			whole = true
		default:
			fmt.Fprintln(w, line)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if !whole {
		return fmt.Errorf("%s: the answer breaks off", address)
	}
	return nil
}

// version prints what the build knows of itself.
func version(out io.Writer) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("this build tells nothing of itself")
	}
	about := map[string]string{"vcs.revision": "unknown", "vcs.time": "", "vcs.modified": ""}
	for _, s := range info.Settings {
		about[s.Key] = s.Value
	}
	changed := ""
	if about["vcs.modified"] == "true" {
		changed = ", with changes"
	}
	fmt.Fprintf(out, "caperarch %s %s%s, %s\n", about["vcs.revision"], about["vcs.time"], changed, info.GoVersion)
	return nil
}
