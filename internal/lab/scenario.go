package lab

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"arrowgw/internal/conf"
	"arrowgw/internal/world"
)

// Scenario is a scenario file: a fleet, its load, a timetable of faults, and the invariants that must hold.
type Scenario struct {
	Name     string         `toml:"-"` // the base name of the file without .toml
	file     string         // name of the file, for errors
	keyLines map[string]int // line number of each key in the file

	// If not 0, every class's aim and deadline in place of the usual ones, for runs whose verdict must not depend on
	// the machine's speed.
	TimeLimits time.Duration `toml:"-"`

	About      string        `toml:"about" need:"yes" help:"what the scenario is for, in one line"`
	For        conf.Duration `toml:"for" default:"20s" min:"1s" max:"1h" help:"how long clients make requests"`
	Invariants []string      `toml:"hold" default:"answered once honest known drains cold limits members agreed duties alive" oneof:"answered once honest known drains cold limits members agreed duties alive final left told peers guarded" help:"invariants that are checked over the whole history; docs/lab.md describes them"`
	Fleet      fleetSpec     `toml:"fleet"`
	Load       loadSpec      `toml:"load"`
	Server     serverSpec    `toml:"server"`
	Discovery  discoverySpec `toml:"discovery"`
	Faults     []Fault       `toml:"fault"`
}

// fleetSpec sets the size of the fleet and how its sidecars are configured.
type fleetSpec struct {
	Sidecars       int     `toml:"sidecars" default:"4" min:"1" max:"400" help:"real sidecar processes, each with clients of its own"`
	Hollow         int     `toml:"hollow" default:"0" min:"0" max:"10000" help:"hollow sidecars, which run only the control plane, many in one process, and have no clients; they are numbered after the real ones"`
	Servers        int     `toml:"servers" default:"8" min:"1" max:"4000" help:"queue servers, spread evenly over the zones"`
	Zones          int     `toml:"zones" default:"2" min:"1" max:"8" help:"zones, named a, b and so on"`
	MemoryMB       int     `toml:"memory_mb" default:"64" unit:"MiB" min:"16" max:"4096" help:"memory limit of a sidecar"`
	Sockets        int     `toml:"sockets" default:"384" min:"64" max:"4096" help:"descriptors that a sidecar may hold"`
	StatedSidecars int     `toml:"told" default:"0" min:"0" max:"100000" help:"number of sidecars that the settings state; 0: the real number"`
	Quota          float64 `toml:"quota" default:"0.83" min:"0.01" max:"10" help:"sum of all tenants' quotas, as a share of the servers' capacity"`
	Mesh           bool    `toml:"mesh" default:"false" help:"whether sidecars reach each other through the lab's relays"`
	Supervised     bool    `toml:"supervised" default:"false" help:"whether the lab controls the sidecars' system calls and clock, as the faults calls, deaf, forward and back require"`
	File           string  `toml:"file" help:"fleet file of every sidecar, in TOML; the lab adds the routes"`
}

// loadSpec sets what clients request and how they retry.
type loadSpec struct {
	Utilization     float64       `toml:"use" default:"0.5" min:"0" max:"5" help:"requested work, as a share of the capacity of warm servers"`
	RatePerSidecar  float64       `toml:"each" default:"0" min:"0" max:"1000" help:"mean requests a second per sidecar, regardless of the servers' capacity; 0: use decides"`
	Skew            float64       `toml:"skew" default:"0.5" min:"0" max:"3" help:"standard deviation of the sidecars' traffic, relative to its mean"`
	Keys            int           `toml:"keys" default:"2500" min:"1" max:"1000000" help:"distinct keys"`
	Zipf            float64       `toml:"zipf" default:"1" min:"0" max:"3" help:"exponent of the keys' popularity"`
	Retries         int           `toml:"retries" default:"3" min:"0" max:"10" help:"retries that a client makes after its first try"`
	TryShare        float64       `toml:"try" default:"0.4" min:"0.05" max:"1" help:"share of the deadline after which a client gives up a try"`
	Backoff         conf.Duration `toml:"backoff" default:"15ms" min:"0s" max:"10s" help:"pause before a client's retry if the answer asks for none"`
	ExtraWait       conf.Duration `toml:"late" default:"0s" min:"0s" max:"10s" help:"how long a client waits for an answer after its timeout"`
	PublishEffect   string        `toml:"publish" default:"unsafe" oneof:"unsafe keyed safe" help:"whether repeating a publish request has a further effect"`
	RebuildEffect   string        `toml:"rebuild" default:"keyed" oneof:"unsafe keyed safe" help:"whether repeating a rebuild request has a further effect"`
	DedupWindow     conf.Duration `toml:"within" default:"4s" min:"50ms" max:"1m" help:"how long a zone drops repeats of a keyed request"`
	TimeScale       float64       `toml:"urgent" default:"1" min:"0.1" max:"10" help:"factor on every class's aim and deadline"`
	RetryAfterShare float64       `toml:"heed" default:"0.4" min:"0" max:"1" help:"share of clients that honour Retry-After"`
}

// serverSpec sets how the queue servers are modelled.
type serverSpec struct {
	Speed                float64       `toml:"speed" default:"1" min:"0.01" max:"100" help:"mean of the servers' speeds"`
	Spread               float64       `toml:"spread" default:"0.1" min:"0" max:"1" help:"standard deviation of the servers' speeds"`
	Cores                float64       `toml:"cores" default:"1" min:"1" max:"64" help:"cores of each server"`
	Slots                int           `toml:"slots" default:"16" min:"1" max:"10000" help:"requests that a server works on at once"`
	QueueLimit           int           `toml:"room" default:"38" min:"0" max:"100000" help:"requests that may wait at a server; further ones are rejected"`
	KeyCacheSize         int           `toml:"keys" default:"240" min:"0" max:"100000" help:"keys that a server's cache holds"`
	KeyCacheTTL          conf.Duration `toml:"key_time" default:"6s" min:"0s" max:"1h" help:"how long a key stays in the cache"`
	KeyCacheSaving       float64       `toml:"key_gain" default:"0.45" min:"0" max:"1" help:"share of the work that is saved if the key is cached"`
	ColdCapacityShare    float64       `toml:"cold_from" default:"0.2" min:"0.01" max:"1" help:"share of its capacity that a cold server starts with"`
	WarmUpTime           conf.Duration `toml:"cold_time" default:"10s" min:"0s" max:"10m" help:"time until a cold server has its full capacity"`
	ColdCrashFactor      float64       `toml:"fall_at" default:"4" min:"0" max:"100" help:"a cold server crashes when it is sent more than this multiple of its capacity; 0: never"`
	ColdCrashWindow      conf.Duration `toml:"fall_for" default:"2s" min:"100ms" max:"1m" help:"time over which that multiple is measured"`
	CongestionThreshold  float64       `toml:"choke_at" default:"5.5" min:"0" max:"1000" help:"requests per core above which a server becomes congested"`
	CongestionDelay      conf.Duration `toml:"choke_over" default:"2s" min:"0s" max:"1m" help:"how long the excess must last before it becomes congested"`
	CongestionSlowdown   float64       `toml:"choke_slow" default:"2.7" min:"1" max:"100" help:"factor by which a congested server is slower"`
	RecoveryWindow       conf.Duration `toml:"choke_rest" default:"3s" min:"0s" max:"1m" help:"how long a congested server must be mostly idle to recover"`
	RecoveryMaxBusyShare float64       `toml:"choke_busy" default:"0.33" min:"0" max:"1" help:"share of that time for which it may be busy"`
	CongestionMaxTime    conf.Duration `toml:"choke_most" default:"24s" min:"0s" max:"10m" help:"time after which it recovers in any case; 0s: servers never become congested"`
	Sockets              int           `toml:"sockets" default:"750" min:"1" max:"100000" help:"connections that a server accepts"`
	HandshakeWork        conf.Duration `toml:"handshake" default:"3ms" min:"0s" max:"1s" help:"work that a new connection costs a server"`
	ErrorShare           float64       `toml:"errors" default:"0.0005" min:"0" max:"1" help:"share of requests that are answered with an error"`
	Cancel               string        `toml:"cancel" default:"queued" oneof:"queued all" help:"whether a cancel stops only waiting requests or also those that are being worked on"`
}

// discoverySpec sets how fast the stand-in for discovery is.
type discoverySpec struct {
	UpdateDelay  conf.Duration `toml:"notice" default:"2s" min:"0s" max:"5m" help:"delay until the list shows that a server's process died, drains or is back"`
	SilenceDelay conf.Duration `toml:"silence" default:"8s" min:"0s" max:"5m" help:"delay until the list shows that a server is unresponsive"`
	CallCost     conf.Duration `toml:"call" default:"2ms" min:"0s" max:"10s" help:"service time of a call"`
	LineCost     conf.Duration `toml:"line" default:"200us" min:"0s" max:"1s" help:"additional service time of each server in the answer"`
	MaxWait      conf.Duration `toml:"wait" default:"1s" min:"1ms" max:"1m" help:"longest time that a call waits for service; it fails if it would wait longer"`
}

// Fault is one entry of the timetable.
type Fault struct {
	At        conf.Duration `toml:"at" need:"yes" min:"0s" max:"1h" help:"time since the start of the load"`
	Kind      string        `toml:"do" need:"yes" oneof:"kill stop term swap crowd busy pause starve upgrade full push calls deaf forward back hup rude spoil hang lumps slowread reset close late mute leave long dawdle hurry pipeline crash slow err silence replace refuse drain out away move stale crawl burst cut delay drop duplicate reorder limit" help:"kind of the fault; docs/lab.md describes them"`
	Target    string        `toml:"target" help:"which sidecars, servers or links are affected, depending on the kind: all, 3, 0-2, 25%, or zone a"`
	Peer      string        `toml:"peer" help:"links only: the sidecars at the other end, in the same form; empty: all others"`
	Direction string        `toml:"way" default:"both" oneof:"both out in" help:"links only: both directions, or only from (out) or to (in) the target"`
	For       conf.Duration `toml:"for" default:"0s" min:"0s" max:"1h" help:"how long the fault lasts; 0s: until the end of the run"`
	Size      float64       `toml:"size" default:"0" min:"0" help:"a factor, a share, a count, bytes, seconds or bytes a second, depending on the kind"`
	Pause     conf.Duration `toml:"pause" default:"0s" min:"0s" max:"1m" help:"delay, reorder, crawl: the added delay; other kinds: the time between two targets"`
	State     string        `toml:"state" default:"kept" oneof:"kept emptied truncated flipped readonly" help:"kill: what happens to the files of the state folder before the restart"`
}

// faultKinds lists what each kind of fault acts on, and whether it needs a size. docs/lab.md describes the kinds.
var faultKinds = map[string]struct {
	actsOn    string
	needsSize bool
}{
	"kill": {"sidecar", false}, "stop": {"sidecar", false}, "pause": {"sidecar", false}, "starve": {"sidecar", true}, "upgrade": {"sidecar", false}, "full": {"sidecar", true}, "push": {"sidecar", false},
	"term": {"sidecar", true}, "swap": {"sidecar", true}, "crowd": {"sidecar", true}, "busy": {"load", true},
	"calls": {"sidecar", true}, "deaf": {"sidecar", false}, "hup": {"sidecar", true}, "forward": {"sidecar", true}, "back": {"sidecar", true}, "rude": {"sidecar", false},
	"spoil": {"server", true}, "hang": {"server", true}, "lumps": {"server", true}, "slowread": {"server", true}, "reset": {"server", false}, "close": {"server", false}, "late": {"server", false}, "mute": {"discovery", false}, "leave": {"load", true},
	"long": {"load", true}, "dawdle": {"load", true}, "hurry": {"load", true}, "pipeline": {"load", true},
	"crash": {"server", false}, "replace": {"server", false}, "slow": {"server", true}, "err": {"server", true}, "silence": {"server", false}, "refuse": {"server", false},
	"drain": {"server", false}, "out": {"server", false},
	"away": {"discovery", false}, "move": {"discovery", false}, "stale": {"discovery", false}, "crawl": {"discovery", false},
	"burst": {"load", true},
	"cut":   {"link", false}, "delay": {"link", false}, "drop": {"link", true}, "duplicate": {"link", true}, "reorder": {"link", true}, "limit": {"link", true},
}

// ReadScenario parses a scenario file. name is used in errors and, without its folder and ending, in results.
func ReadScenario(name string, raw []byte) (*Scenario, error) {
	s := &Scenario{Name: strings.TrimSuffix(name, ".toml")}
	if i := strings.LastIndexByte(s.Name, '/'); i >= 0 {
		s.Name = s.Name[i+1:]
	}
	if err := conf.Parse(name, raw, s); err != nil {
		return nil, err
	}
	var err error
	if s.keyLines, err = conf.KeyLines(raw); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	s.file = name
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return s, nil
}

// validate checks constraints that involve more than one key.
func (s *Scenario) validate() error {
	var bad []error
	for i, f := range s.Faults {
		fail := func(format string, args ...any) {
			bad = append(bad, fmt.Errorf("fault[%d], %s at %v: %s", i, f.Kind, f.At, fmt.Sprintf(format, args...)))
		}
		kind := faultKinds[f.Kind]
		if kind.needsSize && f.Size == 0 {
			fail("it needs a size")
		}
		if f.At > s.For {
			fail("it is after the end of the run at %v", s.For)
		}
		if _, err := s.resolveTargets(f, f.Target, nil); err != nil {
			fail("target: %v", err)
		}
		switch kind.actsOn {
		case "link":
			if !s.Fleet.Mesh {
				fail("it needs fleet.mesh")
			}
			if _, err := s.resolveTargets(f, cmp.Or(f.Peer, "all"), nil); err != nil {
				fail("peer: %v", err)
			}
		case "load":
			if f.For <= 0 {
				fail("it needs a time (for)")
			}
		}
		if slices.Contains(supervisedFaults, f.Kind) && !s.Fleet.Supervised {
			fail("it needs fleet.supervised")
		}
		if kind.actsOn != "link" && f.Peer != "" {
			fail("only links have a peer")
		}
	}
	return errors.Join(append(bad, s.checkHollowSize())...)
}

// resolveTargets returns the numbers that text selects among what the fault acts on, in ascending order. A percentage
// is drawn at random with rng; if rng is nil, it selects the first ones.
func (s *Scenario) resolveTargets(f Fault, text string, rng *rand.Rand) ([]int, error) {
	n := s.Fleet.Sidecars
	switch faultKinds[f.Kind].actsOn {
	case "link":
		n = s.totalSidecars()
	case "sidecar":
		if slices.Contains(hollowFaults, f.Kind) {
			n = s.totalSidecars()
		}
	case "server":
		n = s.Fleet.Servers
	case "discovery", "load":
		if text != "" {
			return nil, errors.New("there is only one, so the key must be left out")
		}
		return []int{0}, nil
	}
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	parseNumber := func(text string) (int, error) {
		i, err := strconv.Atoi(text)
		if err != nil || i < 0 || i >= n {
			return 0, fmt.Errorf("%q is not a number from 0 to %d", text, n-1)
		}
		return i, nil
	}
	zone, isZone := strings.CutPrefix(text, "zone ")
	percentage, isPercentage := strings.CutSuffix(text, "%")
	from, to, isRange := strings.Cut(text, "-")
	switch {
	case text == "all":
		return all, nil
	case isZone:
		if len(zone) != 1 || int(zone[0]-'a') >= s.Fleet.Zones || zone[0] < 'a' {
			return nil, fmt.Errorf("zone %q does not exist", zone)
		}
		return slices.DeleteFunc(all, func(i int) bool { return s.zoneOf(i) != int(zone[0]-'a') }), nil
	case isPercentage:
		percent, err := strconv.ParseFloat(percentage, 64)
		if err != nil || !(percent > 0 && percent <= 100) {
			return nil, fmt.Errorf("%q is not a percentage such as 25%%", text)
		}
		if rng != nil {
			rng.Shuffle(n, func(i, j int) { all[i], all[j] = all[j], all[i] })
		}
		some := all[:max(1, int(float64(n)*percent/100+0.5))]
		slices.Sort(some)
		return some, nil
	case isRange:
		a, errA := parseNumber(from)
		b, errB := parseNumber(to)
		if errA != nil || errB != nil || a > b {
			return nil, fmt.Errorf("%q is not a range such as 0-2", text)
		}
		return all[a : b+1], nil
	}
	i, err := parseNumber(text)
	if err != nil {
		return nil, fmt.Errorf("%w, nor all, a range, a percentage or a zone", err)
	}
	return []int{i}, nil
}

// supervisedFaults are the kinds that need supervised sidecars.
var supervisedFaults = []string{"calls", "deaf", "forward", "back"}

// hollowFaults are the kinds that can also target hollow sidecars.
var hollowFaults = []string{"kill", "stop", "push"}

// totalSidecars returns the number of real and hollow sidecars.
func (s *Scenario) totalSidecars() int { return s.Fleet.Sidecars + s.Fleet.Hollow }

// zoneOf returns the zone of a sidecar or server, given its number.
func (s *Scenario) zoneOf(i int) int { return i % s.Fleet.Zones }

// zoneName returns a zone's name: a, b and so on.
func zoneName(zone int) string { return string(rune('a' + zone)) }

// PlannedFault is a fault with its targets drawn.
type PlannedFault struct {
	Fault
	Targets, Peers []int `toml:"-"`
	Replacements   []int `toml:"-"` // kind replace: the server that takes the place of each target
}

// Plan draws the targets of all faults and returns the faults in the order of their times. The same seed gives the same
// plan.
func (s *Scenario) Plan(seed uint64) []PlannedFault {
	rng := rand.New(rand.NewPCG(seed, 3))
	var plan []PlannedFault
	spare := s.Fleet.Servers
	for _, f := range s.Faults {
		a := PlannedFault{Fault: f}
		a.Targets, _ = s.resolveTargets(f, f.Target, rng) // cannot fail: checked when the file was read
		if f.Kind == "replace" {
			for range a.Targets {
				a.Replacements = append(a.Replacements, spare)
				spare++
			}
		}
		if faultKinds[f.Kind].actsOn == "link" {
			a.Peers, _ = s.resolveTargets(f, cmp.Or(f.Peer, "all"), rng)
		}
		plan = append(plan, a)
	}
	slices.SortStableFunc(plan, func(a, b PlannedFault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// classes returns the operators' two request classes, adjusted by the scenario.
func (s *Scenario) classes() []world.Class {
	const ms = time.Millisecond
	classes := []world.Class{
		{Name: "publish", Share: 0.62, MeanWork: 15 * ms, WorkVariation: 1.1, Aim: 150 * ms, Deadline: 500 * ms, Worth: 10, Idempotency: world.Idempotency(s.Load.PublishEffect)},
		{Name: "rebuild", Share: 0.38, MeanWork: 23 * ms, WorkVariation: 1, Aim: 200 * ms, Deadline: 800 * ms, Worth: 3, Idempotency: world.Idempotency(s.Load.RebuildEffect)},
	}
	for i := range classes {
		c := &classes[i]
		c.Aim, c.Deadline = scaled(c.Aim, s.Load.TimeScale), scaled(c.Deadline, s.Load.TimeScale)
		if s.TimeLimits > 0 {
			c.Aim, c.Deadline = s.TimeLimits, s.TimeLimits
		}
		if c.Idempotency == world.Keyed {
			c.DedupWindow = s.Load.DedupWindow.Std()
		}
	}
	return classes
}

func scaled(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// tenants are the operators' tenants with their shares of the requests.
var tenants = []struct {
	name  string
	share float64
}{
	{"aspen-parkland", 0.27}, {"big-coulee", 0.17}, {"north-saskatch", 0.12}, {"qu-appelle", 0.11}, {"whitemud", 0.08},
	{"cypress-hills", 0.07}, {"swift-creek", 0.07}, {"pembina", 0.06}, {"souris-bend", 0.05},
}

// arrivals draws the clients' requests.
func (s *Scenario) arrivals(seed uint64) []world.Arrival {
	spec := world.LoadSpec{
		Duration: s.For.Std(), Sidecars: s.Fleet.Sidecars, Skew: s.Load.Skew, Classes: s.classes(), Keys: s.Load.Keys, ZipfExponent: s.Load.Zipf,
	}
	for _, t := range tenants {
		spec.Tenants = append(spec.Tenants, t.share)
	}
	spec.Rate = s.offeredWork() / spec.MeanWork().Seconds()
	for _, f := range s.Faults {
		if f.Kind == "burst" {
			spec.Bursts = append(spec.Bursts, world.Burst{Start: f.At.Std(), Duration: f.For.Std(), Factor: f.Size})
		}
	}
	return world.DrawArrivals(spec, seed)
}

// offeredWork returns the work that clients request without bursts, in seconds of work a second.
func (s *Scenario) offeredWork() float64 {
	if s.Load.RatePerSidecar > 0 {
		mean := (&world.LoadSpec{Classes: s.classes()}).MeanWork().Seconds()
		return s.Load.RatePerSidecar * float64(s.Fleet.Sidecars) * mean
	}
	return s.Load.Utilization * s.capacity()
}

// peakOfferedWork returns offeredWork as if all bursts were at once.
func (s *Scenario) peakOfferedWork() float64 {
	work := s.offeredWork()
	for _, f := range s.Faults {
		if f.Kind == "burst" {
			work *= max(1, f.Size)
		}
	}
	return work
}

// replacementServers returns how many servers replace others during the run. They are numbered after the servers that
// exist from the start.
func (s *Scenario) replacementServers() (n int) {
	for _, f := range s.Faults {
		if f.Kind == "replace" {
			some, _ := s.resolveTargets(f, f.Target, nil) // cannot fail: checked when the file was read
			n += len(some)
		}
	}
	return n
}

// capacity returns the work that all servers can do when warm, in seconds of work a second.
func (s *Scenario) capacity() float64 {
	return float64(s.Fleet.Servers) * s.Server.Cores * s.Server.Speed
}

// serverModel returns the model of server i. Its speed is drawn from seed.
func (s *Scenario) serverModel(i int, zone *world.DedupZone, seed uint64) *world.Server {
	rng := rand.New(rand.NewPCG(seed, 4+uint64(i)<<8))
	c := s.Server
	spec := world.ServerSpec{
		Cores: c.Cores, Speed: max(0.1, c.Speed*(1+c.Spread*rng.NormFloat64())), Slots: c.Slots, QueueLimit: c.QueueLimit,
		ThrashFactor: 0.3, ThrashThreshold: 11 * c.Cores,
		KeyCacheSize: c.KeyCacheSize, KeyCacheTTL: c.KeyCacheTTL.Std(), KeyCacheSaving: c.KeyCacheSaving,
		ColdCapacityShare: c.ColdCapacityShare, WarmUpTime: c.WarmUpTime.Std(), ColdCrashFactor: c.ColdCrashFactor, ColdCrashWindow: c.ColdCrashWindow.Std(),
		ColdCrashMeanWork:   (&world.LoadSpec{Classes: s.classes()}).MeanWork(),
		CongestionThreshold: c.CongestionThreshold, CongestionDelay: c.CongestionDelay.Std(), CongestionSlowdown: c.CongestionSlowdown, RecoveryWindow: c.RecoveryWindow.Std(),
		RecoveryMaxBusyShare: c.RecoveryMaxBusyShare, CongestionMaxTime: c.CongestionMaxTime.Std(),
		ErrorShare: c.ErrorShare, CancelRunning: c.Cancel == "all", HandshakeWork: c.HandshakeWork.Std(), ProbeWork: 450 * time.Microsecond,
	}
	return world.NewServer(spec, zone, rng.Uint64())
}

// Resize sets the numbers of sidecars, servers and hollow sidecars. 0 leaves a number as it is.
func (s *Scenario) Resize(sidecars, servers, hollow int) error {
	for _, n := range []int{sidecars, servers} {
		if n < 0 || n > 4000 || n > 400 && n == sidecars {
			return fmt.Errorf("%d sidecars or servers: allowed are 1 to 400 sidecars and 1 to 4000 servers", n)
		}
	}
	if hollow < 0 || hollow > maxHollow {
		return fmt.Errorf("%d hollow sidecars: allowed are 0 to %d", hollow, maxHollow)
	}
	s.Fleet.Sidecars, s.Fleet.Servers = cmp.Or(sidecars, s.Fleet.Sidecars), cmp.Or(servers, s.Fleet.Servers)
	s.Fleet.Hollow = cmp.Or(hollow, s.Fleet.Hollow)
	return s.validate()
}

// Stretch sets the length of the scenario, and scales the times of its faults accordingly.
func (s *Scenario) Stretch(length time.Duration) error {
	if length < time.Second || length > time.Hour {
		return fmt.Errorf("length %v: allowed are 1s to 1h", length)
	}
	by := float64(length) / float64(s.For.Std())
	s.For = conf.Duration(length)
	for i := range s.Faults {
		s.Faults[i].At = conf.Duration(float64(s.Faults[i].At) * by)
		s.Faults[i].For = conf.Duration(float64(s.Faults[i].For) * by)
	}
	return s.validate()
}
