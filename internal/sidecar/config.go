// Package sidecar runs the decision module (package policy) on real sockets: it receives an application's requests,
// asks the module where to send each, and carries that out. It makes no routing decisions itself.
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

// readConfigTimeout is how long a starting process retries to read its configuration after errors of the system.
const readConfigTimeout = 5 * time.Second

// Config is the configuration of a sidecar.
type Config struct {
	Name      string
	Listen    string // address for the application's connections
	Discovery string // address of discovery
	Console   string // address of the operators' console; empty: no console
	FleetPath string // path of the fleet file; empty: none
	Seed      uint64

	SharedDir string // folder for stored state, which the second process of an upgrade shares; empty: none

	MemoryMB int // memory limit above which the process is killed; 0: unknown
	Sockets  int // limit of open file descriptors

	Policy            balance.Config
	Classes           map[string]int // index of each class by name
	Tenants           map[string]int // index of each tenant by name; empty if there are no tenants
	Zones             map[string]int // index of each zone by name
	LoadReportFields  []string       // names of a load report's fields, in the order of LoadReportColumns
	LoadReportColumns wire.Columns

	MaxOpenRequests     int           // maximum number of open requests; 0: no limit
	UpstreamIdleTimeout time.Duration // idle time after which an upstream closes a connection
	DialTimeout         time.Duration
	MaxDeadline         time.Duration // longest deadline of any class
	DrainGrace          time.Duration // time after which a server listed as draining must not be sent anything; 0: unknown

	KnownServers listing // the server list to start with

	State       store.Options // options of the state store
	Fleet       *fleet.File   // settings of the fleet; nil: the sidecar is not part of one
	UnknownKeys []string      // keys of the file that this program does not know

	path string // file that the configuration was read from; empty in tests
}

// ReadConfig reads the configuration file at path, which the caller takes from EDGE_CONFIG. The environment variables
// EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY, EDGE_CONSOLE and EDGE_FLEET provide the values that the file omits.
func ReadConfig(path string) (*Config, error) { return readConfig(path, os.Getenv) }

// ReadConfigAtStart is ReadConfig, but retries errors of the system for readConfigTimeout. A file that is missing,
// unreadable by its permissions or invalid is an error at once.
func ReadConfigAtStart(ctx context.Context, path string) (*Config, error) {
	for end := time.Now().Add(readConfigTimeout); ; {
		cfg, err := ReadConfig(path)
		final := errors.Is(err, fs.ErrNotExist) || errors.Is(err, fs.ErrPermission) || errors.Is(err, syscall.EISDIR)
		if err == nil || !isSystemError(err) || final || time.Now().After(end) {
			return cfg, err
		}
		select {
		case <-time.After(listenRetryInterval):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// readConfig reads the configuration file at path and the fleet file that it names; env looks up environment variables.
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

// parseConfig parses and checks a configuration file's content; env looks up environment variables.
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
	orEnv := func(value, variable string) string {
		if value == "" {
			return env(variable)
		}
		return value
	}
	c := &Config{
		Name:      orEnv(file.Name, "EDGE_NAME"),
		Listen:    orEnv(file.Listen, "EDGE_LISTEN"),
		Discovery: orEnv(file.Discovery, "EDGE_DISCOVERY"),
		Console:   orEnv(file.Console, "EDGE_CONSOLE"),
		FleetPath: orEnv(file.Fleet, "EDGE_FLEET"),
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

// unknownKeys returns the top-level keys of a file that this program does not know, sorted. They are not an error, as
// the platform may add keys.
func unknownKeys(raw []byte) (unknown []string) {
	known := []string{"name", "listen", "discovery", "console", "fleet", "seed", "limits", "known", "settings"}
	var keys map[string]json.RawMessage
	_ = json.Unmarshal(raw, &keys) // can't fail: raw has been parsed before
	for key := range keys {
		if !slices.ContainsFunc(known, func(k string) bool { return strings.EqualFold(k, key) }) {
			unknown = append(unknown, key)
		}
	}
	slices.Sort(unknown)
	return unknown
}

// Effective is the configuration in force, as Describe returns it and the check command prints it.
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

// Describe returns the configuration in force for display.
func (c *Config) Describe() Effective {
	byIndex := func(indexes map[string]int) []string {
		return slices.SortedFunc(maps.Keys(indexes), func(a, b string) int { return cmp.Compare(indexes[a], indexes[b]) })
	}
	return Effective{
		Name: c.Name, Listen: c.Listen, Discovery: c.Discovery, Console: c.Console, Fleet: c.FleetPath,
		MemoryMB: c.MemoryMB, Sockets: c.Sockets, Balancers: c.Policy.Balancers, Index: c.Policy.Index,
		Classes: byIndex(c.Classes), Tenants: byIndex(c.Tenants), Zones: byIndex(c.Zones), Known: len(c.KnownServers.servers),
	}
}

// applySettings sets the fields that are derived from the settings: the module's configuration, and what the sidecar itself
// uses.
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
	c.MaxOpenRequests = int(s.Number("caps.max_open"))
	c.UpstreamIdleTimeout = s.Duration("caps.conn_idle_ms")
	c.DialTimeout = s.Duration("caps.dial_timeout_ms")
	c.DrainGrace = s.Duration("rules.stop_sending_within_ms")
	for _, k := range c.Policy.Classes {
		c.MaxDeadline = max(c.MaxDeadline, k.Deadline)
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	for field, d := range map[string]time.Duration{"caps.conn_idle_ms": c.UpstreamIdleTimeout, "caps.dial_timeout_ms": c.DialTimeout} {
		if d <= 0 {
			return fmt.Errorf("config: settings: %s is %v, a time above 0 is needed", field, d)
		}
	}
	if c.MaxOpenRequests < 0 {
		return fmt.Errorf("config: settings: caps.max_open is %d", c.MaxOpenRequests)
	}
	return nil
}

// reservedFiles returns the number of descriptors that are set aside before client and upstream connections divide the
// rest. They are for the process itself (standard streams, poller, listener, lock file, discovery at two addresses, the
// state file and its successor), for the console's listener and callers, and for membership. They have to suffice, as
// clients may use every descriptor that upstreams leave free.
func (c *Config) reservedFiles() int {
	reserved := 12
	if c.Console != "" {
		reserved += maxConsoleConns + 2
	}
	if c.hasMembership() {
		reserved += membershipFiles
	}
	return min(reserved, c.Sockets/4)
}

// clientConnLimit returns the clients' share of connections in one of n processes: three eighths of the descriptors.
// Half are for upstream connections, and an eighth is a reserve for connections that are being closed and for the
// process.
func (c *Config) clientConnLimit(n int) int { return c.connBudget(n) * 3 / 8 }

// upstreamConnLimit returns the limit of upstream connections in one of n processes.
func (c *Config) upstreamConnLimit(n int) int { return c.connBudget(n) / 2 }

// totalConnLimit returns the limit of client and upstream connections together in one of n processes.
func (c *Config) totalConnLimit(n int) int { return c.connBudget(n) * 15 / 16 }

// connBudget returns the number of descriptors that one of n processes has for connections.
func (c *Config) connBudget(n int) int { return max(c.Sockets/n-c.reservedFiles(), 8) }
