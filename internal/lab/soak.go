package lab

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"arrowgw/internal/conf"
)

const (
	soakFirstFault   = 1500 * time.Millisecond // before it no fault begins
	soakFaultFreeEnd = 3 * time.Second         // at the end of a soak, when all faults are over
	soakLength       = 16 * time.Second
	soakFaults       = 20 // faults drawn for each soak
	maxSoakFaultTime = 5 * time.Second
	soakExtraWait    = 600 * time.Millisecond // how long clients wait for an answer after their timeout
	minSoakFaultTime = 500 * time.Millisecond
)

// soakFaultKind is how a soak draws a kind of fault.
type soakFaultKind struct {
	kind       string
	drawTarget func(rng *rand.Rand) string
	sizeRange  [2]float64    // 0, 0 for a fault without a size
	maxPause   time.Duration // upper bound of the drawn pause; 0: no pause
	maxTime    time.Duration // upper bound of the fault's length if it is shorter than usual; 0: the usual length
	instant    bool          // the fault has no length
}

// shareBetween returns a function that draws a percentage of the targets, from at least from to less than to.
func shareBetween(from, to int) func(*rand.Rand) string {
	return func(rng *rand.Rand) string { return fmt.Sprintf("%d%%", from+rng.IntN(to-from)) }
}

// noTarget is the target of faults of which there is only one possible target.
func noTarget(*rand.Rand) string { return "" }

// soakFaultKinds are the kinds that a soak draws from. They are drawn by index, so a seed's faults depend on their
// order. They affect only some servers at a time, because the invariants need servers that answer.
var soakFaultKinds = []soakFaultKind{
	{kind: "kill", drawTarget: shareBetween(5, 30)},
	{kind: "stop", drawTarget: shareBetween(10, 50)},
	{kind: "upgrade", drawTarget: shareBetween(5, 25), instant: true},
	{kind: "pause", drawTarget: shareBetween(10, 60)},
	{kind: "full", drawTarget: shareBetween(10, 40), sizeRange: [2]float64{1, 4096}, instant: true},
	{kind: "deaf", drawTarget: shareBetween(10, 60), maxTime: 400 * time.Millisecond},
	{kind: "hup", drawTarget: shareBetween(20, 100), sizeRange: [2]float64{2, 8}, instant: true},
	{kind: "out", drawTarget: shareBetween(5, 15)},
	{kind: "close", drawTarget: shareBetween(10, 100), instant: true},
	{kind: "late", drawTarget: shareBetween(5, 35), maxTime: 1500 * time.Millisecond},
	{kind: "long", drawTarget: noTarget, sizeRange: [2]float64{0.02, 0.15}},
	{kind: "dawdle", drawTarget: noTarget, sizeRange: [2]float64{0.05, 0.4}},
	{kind: "hurry", drawTarget: noTarget, sizeRange: [2]float64{0.05, 0.4}},
	{kind: "pipeline", drawTarget: noTarget, sizeRange: [2]float64{0.02, 0.3}},
	{kind: "calls", drawTarget: shareBetween(30, 100), sizeRange: [2]float64{0.02, 0.4}},
	{kind: "forward", drawTarget: shareBetween(20, 100), sizeRange: [2]float64{1, 3600}, instant: true},
	{kind: "back", drawTarget: shareBetween(20, 100), sizeRange: [2]float64{1, 3600}, instant: true},
	{kind: "crash", drawTarget: shareBetween(5, 30)},
	{kind: "slow", drawTarget: shareBetween(5, 30), sizeRange: [2]float64{2, 8}},
	{kind: "err", drawTarget: shareBetween(5, 30), sizeRange: [2]float64{0.1, 0.9}},
	{kind: "silence", drawTarget: shareBetween(5, 25)},
	{kind: "refuse", drawTarget: shareBetween(5, 25)},
	{kind: "drain", drawTarget: shareBetween(5, 25)},
	{kind: "spoil", drawTarget: shareBetween(10, 50), sizeRange: [2]float64{0.05, 0.5}},
	{kind: "hang", drawTarget: shareBetween(5, 30), sizeRange: [2]float64{0.2, 1}},
	{kind: "reset", drawTarget: shareBetween(10, 100), instant: true},
	{kind: "mute", drawTarget: noTarget, instant: true},
	{kind: "away", drawTarget: noTarget},
	{kind: "move", drawTarget: noTarget, instant: true},
	{kind: "stale", drawTarget: noTarget},
	{kind: "crawl", drawTarget: noTarget, maxPause: 300 * time.Millisecond},
	{kind: "leave", drawTarget: noTarget, sizeRange: [2]float64{0.05, 0.6}},
	{kind: "burst", drawTarget: noTarget, sizeRange: [2]float64{1.2, 2}},
	{kind: "rude", drawTarget: shareBetween(20, 80)},
}

// The settings of requests that a soak draws from: whether repeating a publish or rebuild request has a further effect,
// and how long a zone drops repeats of keyed requests.
var (
	soakPublishEffects = []string{"unsafe", "unsafe", "keyed", "safe"}
	soakRebuildEffects = []string{"keyed", "keyed", "safe"}
	soakDedupWindows   = []time.Duration{400 * time.Millisecond, time.Second, 4 * time.Second}
)

// Soak draws a scenario of faults that overlap in time. The same seed draws the same scenario. It has the given number
// of sidecars, or 10 to 20 if that is 0. Seeds from TerminationSoakFrom on draw a termination soak.
func Soak(seed uint64, sidecars int) (*Scenario, error) {
	if seed >= TerminationSoakFrom {
		return drawTerminationSoak(seed, sidecars)
	}
	rng := rand.New(rand.NewPCG(seed, 9))
	drawnSidecars := 10 + rng.IntN(11)
	text := fmt.Sprintf("about = 'faults drawn from seed %d, overlapping in time'\nfor = '%v'\n"+
		"hold = ['answered', 'once', 'honest', 'known', 'drains', 'cold', 'limits', 'alive', 'final', 'left', 'told', 'peers', 'guarded']\n"+
		"[fleet]\nsidecars = %d\nservers = %d\nzones = 2\nsupervised = true\n[load]\neach = %d\nretries = 2\nlate = '%v'\ntry = 1\n"+
		"publish = '%s'\nrebuild = '%s'\nwithin = '%v'\nurgent = %.2f\n",
		seed, soakLength, cmp.Or(sidecars, drawnSidecars), 10+rng.IntN(8), 8+rng.IntN(10), soakExtraWait,
		soakPublishEffects[rng.IntN(len(soakPublishEffects))], soakRebuildEffects[rng.IntN(len(soakRebuildEffects))], soakDedupWindows[rng.IntN(len(soakDedupWindows))], 0.5+rng.Float64())
	for i := range soakFaults {
		text += drawSoakFault(rng, soakFaultKinds[(int(seed)+i*5+rng.IntN(5))%len(soakFaultKinds)])
	}
	if seed >= ExtendedSoakFrom {
		text += drawExtendedFaults(rand.New(rand.NewPCG(seed, 10)), cmp.Or(sidecars, drawnSidecars))
	}
	return ReadScenario(fmt.Sprintf("soak-%d.toml", seed), []byte(text))
}

// ExtendedSoakFrom is the first seed whose soak also has the faults of drawExtendedFaults. Smaller seeds draw the same
// as before those were added, so that recorded seeds stay valid.
const ExtendedSoakFrom = 100_000

// faultText returns a fault in the form of a scenario file. A length, target or size that is zero is left out.
func faultText(kind string, at, length time.Duration, target string, size float64) string {
	text := fmt.Sprintf("[[fault]]\nat = '%v'\ndo = '%s'\n", at.Round(time.Millisecond), kind)
	if length > 0 {
		text += fmt.Sprintf("for = '%v'\n", length.Round(time.Millisecond))
	}
	if target != "" {
		text += fmt.Sprintf("target = '%s'\n", target)
	}
	if size > 0 {
		text += fmt.Sprintf("size = %.2f\n", size)
	}
	return text
}

// drawExtendedFaults draws terminations of sidecars with series of signals and upgrades of sidecars whose accept calls
// fail. Some soaks also get idle connections that use up a sidecar's descriptors (possibly while discovery is away), a
// burst of requests, and a busy machine. It returns them in the form of a scenario file.
func drawExtendedFaults(rng *rand.Rand, sidecars int) (text string) {
	add := func(kind string, at, length time.Duration, target string, size float64) {
		text += faultText(kind, at, length, target, size)
	}
	at := func() time.Duration {
		return soakFirstFault + time.Duration(rng.Int64N(int64(soakLength-soakFaultFreeEnd-maxSoakFaultTime)))
	}
	one := func() string { return fmt.Sprint(rng.IntN(sidecars)) }
	for range 3 {
		add("term", at(), minSoakFaultTime, one(), float64(1+rng.IntN(lastSeries)))
		add("swap", at(), 0, one(), float64(1+rng.IntN(seriesTermHup)))
	}
	for range 2 {
		deafAt, target := at(), one()
		add("deaf", deafAt, 200*time.Millisecond+time.Duration(rng.Int64N(int64(400*time.Millisecond))), target, 0)
		add("swap", deafAt+time.Duration(rng.Int64N(int64(100*time.Millisecond))), 0, target, seriesTerm)
	}
	if rng.IntN(2) == 0 {
		crowdAt := at()
		add("crowd", crowdAt, 3*time.Second, one(), float64(200+rng.IntN(200)))
		if rng.IntN(2) == 0 {
			add("away", crowdAt+time.Second, time.Second, "", 0)
		}
	}
	if rng.IntN(3) == 0 {
		add("burst", at(), time.Second, "", 3+2*rng.Float64())
	}
	if rng.IntN(3) == 0 {
		add("busy", at(), 4*time.Second, "", float64(6+rng.IntN(6)))
	}
	return text
}

// drawSoakFault draws one fault of a kind and returns it in the form of a scenario file.
func drawSoakFault(rng *rand.Rand, fault soakFaultKind) string {
	end := soakLength - soakFaultFreeEnd
	at := soakFirstFault + time.Duration(rng.Int64N(int64(end-soakFirstFault-minSoakFaultTime)))
	length := minSoakFaultTime + time.Duration(rng.Int64N(int64(min(maxSoakFaultTime, end-at)-minSoakFaultTime+1)))
	text := fmt.Sprintf("[[fault]]\nat = '%v'\ndo = '%s'\n", at.Round(time.Millisecond), fault.kind)
	if fault.maxTime > 0 {
		length = min(length, time.Duration(rng.Int64N(int64(fault.maxTime))))
	}
	if fault.kind == "pause" {
		length = maxStall
	}
	if !fault.instant {
		text += fmt.Sprintf("for = '%v'\n", length.Round(time.Millisecond))
	}
	if target := fault.drawTarget(rng); target != "" {
		text += fmt.Sprintf("target = '%s'\n", target)
	}
	if fault.sizeRange[1] > 0 {
		text += fmt.Sprintf("size = %.2f\n", fault.sizeRange[0]+rng.Float64()*(fault.sizeRange[1]-fault.sizeRange[0]))
	}
	pause := fault.maxPause
	if fault.kind == "kill" || fault.kind == "stop" {
		pause = time.Second
	}
	if pause > 0 {
		text += fmt.Sprintf("pause = '%v'\n", time.Duration(rng.Int64N(int64(pause))).Round(time.Millisecond))
	}
	return text
}

// FaultKinds returns the distinct kinds of the scenario's faults in alphabetical order.
func (s *Scenario) FaultKinds() (all []string) {
	for _, f := range s.Faults {
		all = append(all, f.Kind)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// extraWait returns how long a client waits for an answer after its timeout.
func (l loadSpec) extraWait() time.Duration { return conf.Duration(l.ExtraWait).Std() }
