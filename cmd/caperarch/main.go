// Caperarch is a sidecar load balancer. It accepts the requests of the client process on the same host and sends each to an
// upstream server that the policy module chooses.
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
	if len(os.Args) < 2 { // how the platform starts it; not using cobra saves memory
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
			Use: "run", Short: "Serve with the configuration that EDGE_CONFIG names; the default without a command", Args: cobra.NoArgs,
			SilenceErrors: true, // errors are in the log
			RunE:          func(*cobra.Command, []string) error { return run() },
		},
		checkCommand(),
		&cobra.Command{
			Use: "call ADDRESS LINE...", Short: "Send one command to a sidecar's console, such as show-stat or disable-server ID",
			Args: cobra.MinimumNArgs(2),
			RunE: func(c *cobra.Command, args []string) error { return call(c.OutOrStdout(), args[0], args[1:]) },
		},
		&cobra.Command{
			Use: "fleet ADDRESS [duties]", Short: "Print the members of the fleet, or the holders of duties, as seen by the sidecar whose console is at ADDRESS",
			Args: cobra.RangeArgs(1, 2), ValidArgs: []string{"duties"},
			RunE: func(c *cobra.Command, args []string) error {
				switch {
				case len(args) == 1:
					return showFleet(c.OutOrStdout(), args[0], "show-members")
				case args[1] == "duties":
					return showFleet(c.OutOrStdout(), args[0], "show-duties")
				}
				return fmt.Errorf("unknown argument %q; the only one is duties", args[1])
			},
		},
		stateCommand(),
		&cobra.Command{
			Use: "version", Short: "Print the version of this program", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error { return version(c.OutOrStdout()) },
		},
	)
	if root.Execute() != nil { // cobra has printed the error
		os.Exit(1)
	}
}

// checkCommand returns the command that prints the configuration with all defaults, or its errors.
func checkCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "check", Short: "Check the configuration; print its errors, or the configuration with all defaults", Args: cobra.NoArgs,
	}
	config := c.Flags().String("config", os.Getenv("EDGE_CONFIG"), "path of the sidecar's configuration (JSON); default is EDGE_CONFIG")
	fleetFile := c.Flags().String("fleet", "", "path of the fleet file (TOML), instead of the one that the configuration names")
	c.RunE = func(c *cobra.Command, _ []string) error {
		return check(c.OutOrStdout(), c.ErrOrStderr(), *config, *fleetFile)
	}
	return c
}

// logFlushTimeout bounds how long the process waits at its end for the log to be written.
const logFlushTimeout = 100 * time.Millisecond

// run serves until SIGTERM or SIGINT. It logs the error that it returns.
func run() (err error) {
	log := logging.NewAsyncWriter(os.Stderr) // the reader of standard error may stall
	defer log.Flush(logFlushTimeout)
	defer func() {
		if err != nil {
			slog.Error("ends", "error", err)
		}
	}()
	if err := logging.Setup(log, os.Getenv); err != nil {
		return err
	}
	// The sidecar has one core at most and a small heap, so more threads and frequent collections only add cost.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// The buffer keeps one signal while a reload is under way, so that the file is read again after the last signal.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	// Writes to a file at its size limit or to a closed log pipe then return errors instead of ending the process.
	signal.Ignore(syscall.SIGXFSZ, syscall.SIGPIPE)
	cfg, err := sidecar.ReadConfigAtStart(ctx, os.Getenv("EDGE_CONFIG"))
	if err != nil {
		return err
	}
	return sidecar.Run(ctx, cfg, reload)
}

// check prints the effective configuration, or returns its errors. Unknown keys are reported on warnings.
func check(out, warnings io.Writer, config, fleetFile string) error {
	if config == "" && fleetFile == "" {
		return errors.New("nothing to check: set --config or --fleet")
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
		effective := cfg.Describe()
		shown.Sidecar, shown.Fleet = &effective, cfg.Fleet
		for _, key := range cfg.UnknownKeys {
			fmt.Fprintf(warnings, "caperarch: %s: unknown key %q is ignored\n", config, key)
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

// errDamaged reports a damaged state whose details have been printed.
var errDamaged = errors.New("the state is damaged")

// stateCommand returns the command that inspects a sidecar's durable state. It only reads.
func stateCommand() *cobra.Command {
	root := &cobra.Command{Use: "state", Short: "Inspect a sidecar's durable state; the sidecar may be running"}
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
	add("show", "Print the current values", showState)
	add("verify", "Check the files for damage: exit code 0 sound, 1 damaged, 2 unusable", verifyState)
	add("export", "Print the whole state as JSON", func(out io.Writer, in *store.Inspection) error {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(in)
	})
	return root
}

// showState prints the current values as a table, and any damage.
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

// verifyState prints the condition of each file. It returns errDamaged if there is damage, or another error if files are
// unreadable.
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
		fmt.Fprintln(out, name+": unreadable, or written by a newer program")
	}
	switch {
	case len(in.Damage) > 0:
		return errDamaged
	case len(in.Unreadable) > 0:
		return errors.New("some files can't be read by this program")
	}
	return nil
}

// consoleTimeout bounds a console call. The console has to answer within a second.
const consoleTimeout = 5 * time.Second

// call sends one command line to a console and prints the answer. It returns an error if the answer is a refusal (4xx or 5xx).
func call(out io.Writer, address string, words []string) error {
	conn, err := net.DialTimeout("tcp", address, consoleTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(consoleTimeout)) // fails only on a closed connection
	if _, err := fmt.Fprintln(conn, strings.Join(words, " ")); err != nil {
		return err
	}
	answer, err := io.ReadAll(conn)
	_, _ = out.Write(answer) // an error here means that the output is closed
	switch {
	case err != nil:
		return fmt.Errorf("%s: incomplete answer: %w", address, err)
	case len(answer) == 0:
		return fmt.Errorf("%s: no answer", address)
	case strings.HasPrefix(string(answer), "4"), strings.HasPrefix(string(answer), "5"):
		return fmt.Errorf("%s: the console refused the command", address)
	}
	return nil
}

// showFleet sends a show command to a console and prints the answer as a table.
func showFleet(out io.Writer, address, command string) error {
	var answer strings.Builder
	if err := call(&answer, address, []string{command}); err != nil {
		return errors.Join(err, errors.New(strings.TrimSpace(answer.String())))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	complete := false
	for i, line := range strings.Split(strings.TrimRight(answer.String(), "\n"), "\n") {
		switch {
		case i == 0:
			fmt.Fprintln(out, strings.TrimPrefix(line, "200 "))
		case line == "EOF":
			complete = true
		default:
			fmt.Fprintln(w, line)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if !complete {
		return fmt.Errorf("%s: incomplete answer", address)
	}
	return nil
}

// version prints the commit, its time, whether the tree was modified, and the Go version.
func version(out io.Writer) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("this program contains no build information")
	}
	settings := map[string]string{"vcs.revision": "unknown", "vcs.time": "", "vcs.modified": ""}
	for _, s := range info.Settings {
		settings[s.Key] = s.Value
	}
	modified := ""
	if settings["vcs.modified"] == "true" {
		modified = ", with changes"
	}
	fmt.Fprintf(out, "caperarch %s %s%s, %s\n", settings["vcs.revision"], settings["vcs.time"], modified, info.GoVersion)
	return nil
}
