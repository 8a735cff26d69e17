// Package fleet reads the fleet file: the configuration of the parts that join sidecars to each other. Without such a
// file a sidecar stands alone, and none of these parts is there. Each part has a section of its own.
package fleet

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"arrowgw/internal/conf"
)

// routesMost is how many routes a file may have.
const routesMost = 10_000

// File is a fleet file. Its zero value is that of a sidecar that stands alone.
type File struct {
	Duty   Duty              `toml:"duty"`
	Member Member            `toml:"member"`
	Rules  Rules             `toml:"rules"`
	Spread Spread            `toml:"spread"`
	State  State             `toml:"state"`
	Routes map[string]string `toml:"routes" help:"address (IP:port) by which this process reaches a peer, by the peer's name; one without a route is reached where it says that it is"`
}

// State is the section of the durable state.
type State struct {
	Limit int `toml:"limit" default:"1024" min:"32" max:"65536" unit:"KiB" help:"size of the state's files together; a new one is begun at half of it"`
}

// Spread is the section of the fleet's spread over the servers (docs/spread.md).
type Spread struct {
	Share bool `toml:"share" default:"false" help:"members tell each other how much traffic they have, and each chooses its servers, and how often they come, by what all have; the same at all"`
}

// Member is the section of membership (docs/membership.md).
type Member struct {
	Listen  string        `toml:"listen" help:"address (IP:port, UDP and TCP) where peers reach this process; empty: no membership"`
	Cluster string        `toml:"cluster" help:"name of the fleet, the same at all; packets of others are passed over"`
	Seeds   []string      `toml:"seeds" help:"some members to join by: NAME (which has a route), NAME/IP:port or IP:port"`
	Probe   conf.Duration `toml:"probe" default:"100ms" min:"20ms" max:"10s" help:"time between two probes of others; the same at all"`
	Forget  conf.Duration `toml:"forget" default:"15m" min:"1m" max:"24h" help:"a member that was lost is called, and counted unless its address refuses, for so long"`
}

// Duty is the section of duties (docs/duties.md).
type Duty struct {
	Voters []string      `toml:"voters" help:"names of the three or five members that keep the table of duties, the same at all; none: no duties"`
	Lease  conf.Duration `toml:"lease" default:"3s" min:"1s" max:"1m" help:"a lost holder's duty is passed on after this and a little more"`
	Report bool          `toml:"report" default:"false" help:"the duty report: its holder has a line on the whole fleet in its log every 10 s"`
}

// Rules is the section of rule sets (docs/rules.md).
type Rules struct {
	File string `toml:"file" help:"path of the rule set that this process pushes where it is newer, read at the start and at SIGHUP; there need be none; empty: no rule sets"`
}

// check finds what no single key can be blamed for.
func (m *Member) check() error {
	if m.Listen == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(m.Listen); err != nil {
		return fmt.Errorf("key \"member.listen\": %w", err)
	}
	if m.Cluster == "" {
		return errors.New("key \"member.cluster\" is needed beside member.listen")
	}
	return nil
}

// Read reads the fleet file at path.
func Read(path string) (*File, error) {
	var f File
	if err := conf.Read(path, &f); err != nil {
		return nil, err
	}
	if len(f.Routes) > routesMost {
		return nil, fmt.Errorf("%s: %d routes, %d are allowed", path, len(f.Routes), routesMost)
	}
	var bad []error
	if err := f.Member.check(); err != nil {
		bad = append(bad, fmt.Errorf("%s: %w", path, err))
	}
	switch n := len(f.Duty.Voters); {
	case n != 0 && n != 1 && n != 3 && n != 5:
		bad = append(bad, fmt.Errorf("%s: key \"duty.voters\": %d voters: 3 or 5 are allowed, or 1 where its loss may stop all duties", path, n))
	case n > 0 && f.Member.Listen == "":
		bad = append(bad, fmt.Errorf("%s: key \"duty.voters\" needs member.listen beside it", path))
	}
	if f.Rules.File != "" && len(f.Duty.Voters) == 0 {
		bad = append(bad, fmt.Errorf("%s: key \"rules.file\" needs duty.voters beside it", path))
	}
	if f.Spread.Share && f.Member.Listen == "" {
		bad = append(bad, fmt.Errorf("%s: key \"spread.share\" needs member.listen beside it", path))
	}
	for _, peer := range slices.Sorted(maps.Keys(f.Routes)) {
		if _, err := netip.ParseAddrPort(f.Routes[peer]); err != nil {
			bad = append(bad, fmt.Errorf("%s: key %q: %w", path, "routes."+peer, err))
		}
	}
	if err := errors.Join(bad...); err != nil {
		return nil, err
	}
	return &f, nil
}
