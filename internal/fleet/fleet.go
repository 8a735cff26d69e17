// Package fleet reads the fleet file, which configures the cooperation of sidecars: membership, duties, rule sets and the
// sharing of traffic figures. Without such a file a sidecar runs on its own. Each part has its own section.
package fleet

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"arrowgw/internal/conf"
)

// maxRoutes is the maximum number of routes in a fleet file.
const maxRoutes = 10_000

// File is the content of a fleet file. Its zero value configures a sidecar that runs on its own.
type File struct {
	Duty   Duty              `toml:"duty"`
	Member Member            `toml:"member"`
	Rules  Rules             `toml:"rules"`
	Spread Spread            `toml:"spread"`
	State  State             `toml:"state"`
	Routes map[string]string `toml:"routes" help:"address (IP:port) at which this process reaches a peer, by peer name; a peer without a route is reached at the address it announces"`
}

// State is the section for the durable state.
type State struct {
	Limit int `toml:"limit" default:"1024" min:"32" max:"65536" unit:"KiB" help:"maximum total size of the state files; a new file is started at half of it"`
}

// Spread is the section for the distribution of the fleet's traffic over the servers (docs/spread.md).
type Spread struct {
	Share bool `toml:"share" default:"false" help:"members share their request rates, and each chooses its server subset and weights by the rates of all; must be the same in all members"`
}

// Member is the section for membership (docs/membership.md).
type Member struct {
	Listen  string        `toml:"listen" help:"address (IP:port, UDP and TCP) at which peers reach this process; empty: no membership"`
	Cluster string        `toml:"cluster" help:"name of the fleet, the same in all members; packets of other fleets are ignored"`
	Seeds   []string      `toml:"seeds" help:"members to contact in order to join: NAME (which needs a route), NAME/IP:port or IP:port"`
	Probe   conf.Duration `toml:"probe" default:"100ms" min:"20ms" max:"10s" help:"interval between probes of other members; must be the same in all members"`
	Forget  conf.Duration `toml:"forget" default:"15m" min:"1m" max:"24h" help:"how long reconnects to a lost member are tried; meanwhile it counts as a member unless its address refuses connections"`
}

// Duty is the section for duties (docs/duties.md).
type Duty struct {
	Voters []string      `toml:"voters" help:"names of the three or five members that keep the table of duties, the same in all members; empty: no duties"`
	Lease  conf.Duration `toml:"lease" default:"3s" min:"1s" max:"1m" help:"lease of a duty; the duty of a lost holder is reassigned shortly after it expires"`
	Report bool          `toml:"report" default:"false" help:"enables the duty report: its holder logs a summary of the whole fleet every 10 s"`
}

// Rules is the section for rule sets (docs/rules.md).
type Rules struct {
	File string `toml:"file" help:"path of the rule set that this process pushes if it is newer than the one in force, read at the start and at SIGHUP; the file may be missing; empty: no rule sets"`
}

// check reports an invalid listen address, or one without a cluster name.
func (m *Member) check() error {
	if m.Listen == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(m.Listen); err != nil {
		return fmt.Errorf("key \"member.listen\": %w", err)
	}
	if m.Cluster == "" {
		return errors.New("key \"member.cluster\" is required with member.listen")
	}
	return nil
}

// Read reads and checks the fleet file at path.
func Read(path string) (*File, error) {
	var f File
	if err := conf.Read(path, &f); err != nil {
		return nil, err
	}
	if len(f.Routes) > maxRoutes {
		return nil, fmt.Errorf("%s: %d routes, at most %d are allowed", path, len(f.Routes), maxRoutes)
	}
	var errs []error
	if err := f.Member.check(); err != nil {
		errs = append(errs, fmt.Errorf("%s: %w", path, err))
	}
	switch n := len(f.Duty.Voters); {
	case n != 0 && n != 1 && n != 3 && n != 5:
		errs = append(errs, fmt.Errorf("%s: key \"duty.voters\": %d voters: must be 3 or 5, or 1 if its loss may stop all duties", path, n))
	case n > 0 && f.Member.Listen == "":
		errs = append(errs, fmt.Errorf("%s: key \"duty.voters\" needs member.listen", path))
	}
	if f.Rules.File != "" && len(f.Duty.Voters) == 0 {
		errs = append(errs, fmt.Errorf("%s: key \"rules.file\" needs duty.voters", path))
	}
	if f.Spread.Share && f.Member.Listen == "" {
		errs = append(errs, fmt.Errorf("%s: key \"spread.share\" needs member.listen", path))
	}
	for _, peer := range slices.Sorted(maps.Keys(f.Routes)) {
		if _, err := netip.ParseAddrPort(f.Routes[peer]); err != nil {
			errs = append(errs, fmt.Errorf("%s: key %q: %w", path, "routes."+peer, err))
		}
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return &f, nil
}
