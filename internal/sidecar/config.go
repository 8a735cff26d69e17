// Package sidecar puts the decision module on real sockets: it takes an application's requests, asks
// the module where each should go, and carries that out. It decides nothing itself.
package sidecar

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"arrowgw/internal/balance"
	"arrowgw/internal/fleet"
	"arrowgw/internal/store"
	"arrowgw/internal/wire"
)

// readConfigTime is how long a start tries to read its configuration where the system fails.
const readConfigTime = 5 * time.Second

// Config is what a sidecar is told at its start.
type Config struct {
	Name      string
	Listen    string // where the application connects
	Discovery string // address of discovery
	Console   string // where operators connect; empty: nowhere
	FleetPath string // the fleet file; empty: there is none
	Seed      uint64

	SharedDir string // folder that a second process has too, in an upgrade; empty: none

	MemoryMB int // the process is killed above this; 0: no limit is known
	Sockets  int // descriptors it may hold

	Policy            balance.Config
	Classes           map[string]int // class by name
	Tenants           map[string]int // tenant by name; empty where there are none
	Zones             map[string]int // zone by name
	LoadReportFields  []string       // names of a load report's fields, in the order of Columns
	LoadReportColumns wire.Columns

	MostOpen            int           // requests held at once
	UpstreamIdleTimeout time.Duration // an upstream closes connections that stood idle so long
	DialTimeout         time.Duration
	Longest             time.Duration // the longest deadline of any class
	DrainGrace          time.Duration // nothing is sent to a server so long after it is told to drain; 0: not known

	KnownServers listing // the servers as last known

	State       store.Options // its size, and in tests its disk
	Fleet       *fleet.File   // of the parts that join sidecars; nil: this one stands alone
	UnknownKeys []string      // keys of the file that mean nothing to this program

	path string // the file that this was read from; empty in tests
}

// ReadConfig reads the file that EDGE_CONFIG names. What the environment says in EDGE_NAME,
// EDGE_LISTEN, EDGE_DISCOVERY, EDGE_CONSOLE and EDGE_FLEET stands in for what the file leaves out.
func ReadConfig(path string) (*Config, error) { return readConfig(path, os.Getenv) }

// ReadConfigAtStart reads a configuration, and tries for a moment where the system fails. A file that is not there, or
// may not be read, or can't be used, is an error at once.
func ReadConfigAtStart(ctx context.Context, path string) (*Config, error) {
	for end := time.Now().Add(readConfigTime); ; {
		cfg, err := ReadConfig(path)
		final := errors.Is(err, fs.ErrNotExist) || errors.Is(err, fs.ErrPermission) || errors.Is(err, syscall.EISDIR)
		if err == nil || !isSystemError(err) || final || time.Now().After(end) {
			return cfg, err
		}
		select {
		case <-time.After(listenPause):
		case <-ctx.Done():
			return nil, err
		}
	}
}

func readConfig(path string, env func(string) string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	c, err := parseConfig(raw, env)
	if err != nil {
		return nil, err
	}
	c.path = path
	if c.FleetPath != "" {
		if c.Fleet, err = fleet.Read(c.FleetPath); err != nil {
			return nil, fmt.Errorf("fleet: %w", err)
		}
		c.State.MaxBytes = c.Fleet.State.Limit << 10
	}
	return c, nil
}

func parseConfig(raw []byte, env func(string) string) (*Config, error) {
	var file struct {
		Name, Listen, Discovery, Console, Fleet, Seed string
		Limits                                        struct {
			MemoryMB float64 `json:"memory_mb"`
			Sockets  float64
		}
		Known    json.RawMessage
		Settings json.RawMessage
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	given := func(value, variable string) string {
		if value == "" {
			return env(variable)
		}
		return value
	}
	c := &Config{
		Name:      given(file.Name, "EDGE_NAME"),
		Listen:    given(file.Listen, "EDGE_LISTEN"),
		Discovery: given(file.Discovery, "EDGE_DISCOVERY"),
		Console:   given(file.Console, "EDGE_CONSOLE"),
		FleetPath: given(file.Fleet, "EDGE_FLEET"),
		SharedDir: env("TMPDIR"),
		MemoryMB:  int(file.Limits.MemoryMB),
		Sockets:   int(file.Limits.Sockets),
	}
	c.UnknownKeys = unknownKeys(raw)
	for field, address := range map[string]string{"listen": c.Listen, "discovery": c.Discovery, "console": c.Console} {
		if _, _, err := net.SplitHostPort(address); err != nil && (field != "console" || address != "") {
			return nil, fmt.Errorf("config: %s: %w", field, err)
		}
	}
	if c.Sockets == 0 {
		c.Sockets = 1024
	}
	if c.Sockets < 32 || c.MemoryMB < 0 {
		return nil, fmt.Errorf("config: limits: sockets %d or memory_mb %d is too small", c.Sockets, c.MemoryMB)
	}
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("config: seed: %w", err)
	}
	if len(file.Settings) == 0 {
		return nil, fmt.Errorf("config: settings are missing")
	}
	s, err := wire.SettingsFromJSON(file.Settings)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if err := c.applySettings(s); err != nil {
		return nil, err
	}
	if len(file.Known) > 0 {
		if c.KnownServers, err = parseListing(file.Known, c.Zones); err != nil {
			return nil, fmt.Errorf("config: known: %w", err)
		}
	}
	return c, nil
}

// unknownKeys lists the keys at the top of a file that this program has no use for. The platform may add some, so
// they are no error.
func unknownKeys(raw []byte) (unknown []string) {
	known := []string{"name", "listen", "discovery", "console", "fleet", "seed", "limits", "known", "settings"}
	var keys map[string]json.RawMessage
	_ = json.Unmarshal(raw, &keys) // it has been read once already
	for key := range keys {
		if !slices.ContainsFunc(known, func(k string) bool { return strings.EqualFold(k, key) }) {
			unknown = append(unknown, key)
		}
	}
	slices.Sort(unknown)
	return unknown
}

// Effective is the configuration in force, as Describe tells it.
type Effective struct {
	Name      string   `toml:"name"`
	Listen    string   `toml:"listen"`
	Discovery string   `toml:"discovery"`
	Console   string   `toml:"console"`
	Fleet     string   `toml:"fleet"`
	MemoryMB  int      `toml:"memory_mb"`
	Sockets   int      `toml:"sockets"`
	Balancers int      `toml:"balancers"`
	Index     int      `toml:"index"`
	Classes   []string `toml:"classes"`
	Tenants   []string `toml:"tenants"`
	Zones     []string `toml:"zones"`
	Known     int      `toml:"known_servers"`
}

// Describe tells the configuration in force, for people.
func (c *Config) Describe() Effective {
	byPlace := func(places map[string]int) []string {
		return slices.SortedFunc(maps.Keys(places), func(a, b string) int { return cmp.Compare(places[a], places[b]) })
	}
	return Effective{
		Name: c.Name, Listen: c.Listen, Discovery: c.Discovery, Console: c.Console, Fleet: c.FleetPath,
		MemoryMB: c.MemoryMB, Sockets: c.Sockets, Balancers: c.Policy.Balancers, Index: c.Policy.Index,
		Classes: byPlace(c.Classes), Tenants: byPlace(c.Tenants), Zones: byPlace(c.Zones), Known: len(c.KnownServers.servers),
	}
}

// take reads the settings: the module's own, and what the sidecar needs besides.
func (c *Config) applySettings(s *wire.Settings) error {
	var err error
	if c.Policy, err = s.Config(); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	names := func(list string) map[string]int {
		byName := make(map[string]int)
		for i := range s.Count(list + ".count") {
			byName[s.Text(fmt.Sprintf("%s.%d.name", list, i))] = i
		}
		return byName
	}
	c.Classes, c.Tenants, c.Zones = names("classes"), names("orgs"), make(map[string]int)
	for i, zone := range strings.Split(s.Text("zones"), ",") {
		c.Zones[zone] = i
	}
	c.LoadReportFields, c.LoadReportColumns = strings.Split(s.Text("telemetry.columns"), ","), s.Columns()
	c.MostOpen = int(s.Number("caps.max_open"))
	c.UpstreamIdleTimeout = s.Duration("caps.conn_idle_ms")
	c.DialTimeout = s.Duration("caps.dial_timeout_ms")
	c.DrainGrace = s.Duration("rules.stop_sending_within_ms")
	for _, k := range c.Policy.Classes {
		c.Longest = max(c.Longest, k.Deadline)
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	for field, d := range map[string]time.Duration{"caps.conn_idle_ms": c.UpstreamIdleTimeout, "caps.dial_timeout_ms": c.DialTimeout} {
		if d <= 0 {
			return fmt.Errorf("config: settings: %s is %v, a time above 0 is needed", field, d)
		}
	}
	if c.MostOpen < 0 {
		return fmt.Errorf("config: settings: caps.max_open is %d", c.MostOpen)
	}
	return nil
}

// ownFiles are the descriptors set aside before clients and upstreams divide the rest: the process's own
// (standard streams, poller, listener, lock, discovery at two addresses, the state's file and the next) and, where there is a console, its listener's
// and its callers'; membership's, where there is one. Clients may take all that upstreams leave, so that no more is free than is set aside.
func (c *Config) ownFiles() int {
	own := 12
	if c.Console != "" {
		own += consoleConns + 2
	}
	if c.hasPeers() {
		own += memberFiles
	}
	return min(own, c.Sockets/4)
}

// clientConns and upstreamConns divide the descriptors of one of n processes: half for upstreams, most of the
// rest for the application's connections, and a reserve for what is being closed and for the process itself.
func (c *Config) clientConns(n int) int { return c.freeFiles(n) * 3 / 8 }

func (c *Config) upstreamConnLimit(n int) int { return c.freeFiles(n) / 2 }

// allConns is how many connections of both kinds one of n processes may hold.
func (c *Config) allConns(n int) int { return c.freeFiles(n) * 15 / 16 }

func (c *Config) freeFiles(n int) int { return max(c.Sockets/n-c.ownFiles(), 8) }
