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
	soakFirstFault   = 1500 * time.Millisecond // no fault before
	soakFaultFreeEnd = 3 * time.Second         // and none goes on behind the end less this
	soakLength       = 16 * time.Second
	soakFaults       = 20
	maxSoakFaultTime = 5 * time.Second
	soakExtraWait    = 600 * time.Millisecond // clients wait so much longer than their time for the answer that they are owed
	minSoakFaultTime = 500 * time.Millisecond
)

// soakFaultKind is a kind of fault as a soak draws it.
type soakFaultKind struct {
	kind    string
	target  func(rng *rand.Rand) string
	size    [2]float64
	pause   time.Duration // at most
	longest time.Duration // 0: soakLongest
	instant bool          // it has no length
}

func shareBetween(from, to int) func(*rand.Rand) string {
	return func(rng *rand.Rand) string { return fmt.Sprintf("%d%%", from+rng.IntN(to-from)) }
}

func noTarget(*rand.Rand) string { return "" }

// soakFaultKinds are all that a soak may draw. What must hold needs servers that answer, so that they fail in part.
var soakFaultKinds = []soakFaultKind{
	{kind: "kill", target: shareBetween(5, 30)},
	{kind: "stop", target: shareBetween(10, 50)},
	{kind: "upgrade", target: shareBetween(5, 25), instant: true},
	{kind: "pause", target: shareBetween(10, 60)},
	{kind: "full", target: shareBetween(10, 40), size: [2]float64{1, 4096}, instant: true},
	{kind: "deaf", target: shareBetween(10, 60), longest: 400 * time.Millisecond},
	{kind: "hup", target: shareBetween(20, 100), size: [2]float64{2, 8}, instant: true},
	{kind: "out", target: shareBetween(5, 15)},
	{kind: "close", target: shareBetween(10, 100), instant: true},
	{kind: "late", target: shareBetween(5, 35), longest: 1500 * time.Millisecond},
	{kind: "long", target: noTarget, size: [2]float64{0.02, 0.15}},
	{kind: "dawdle", target: noTarget, size: [2]float64{0.05, 0.4}},
	{kind: "hurry", target: noTarget, size: [2]float64{0.05, 0.4}},
	{kind: "pipeline", target: noTarget, size: [2]float64{0.02, 0.3}},
	{kind: "calls", target: shareBetween(30, 100), size: [2]float64{0.02, 0.4}},
	{kind: "forward", target: shareBetween(20, 100), size: [2]float64{1, 3600}, instant: true},
	{kind: "back", target: shareBetween(20, 100), size: [2]float64{1, 3600}, instant: true},
	{kind: "crash", target: shareBetween(5, 30)},
	{kind: "slow", target: shareBetween(5, 30), size: [2]float64{2, 8}},
	{kind: "err", target: shareBetween(5, 30), size: [2]float64{0.1, 0.9}},
	{kind: "silence", target: shareBetween(5, 25)},
	{kind: "refuse", target: shareBetween(5, 25)},
	{kind: "drain", target: shareBetween(5, 25)},
	{kind: "spoil", target: shareBetween(10, 50), size: [2]float64{0.05, 0.5}},
	{kind: "hang", target: shareBetween(5, 30), size: [2]float64{0.2, 1}},
	{kind: "reset", target: shareBetween(10, 100), instant: true},
	{kind: "mute", target: noTarget, instant: true},
	{kind: "away", target: noTarget},
	{kind: "move", target: noTarget, instant: true},
	{kind: "stale", target: noTarget},
	{kind: "crawl", target: noTarget, pause: 300 * time.Millisecond},
	{kind: "leave", target: noTarget, size: [2]float64{0.05, 0.6}},
	{kind: "burst", target: noTarget, size: [2]float64{1.2, 2}},
	{kind: "rude", target: shareBetween(20, 80)},
}

// What repeats of requests may do, and for how long those of keyed ones are dropped.
var (
	soakPublishEffects = []string{"unsafe", "unsafe", "keyed", "safe"}
	soakRebuildEffects = []string{"keyed", "keyed", "safe"}
	soakDedupWindows   = []time.Duration{400 * time.Millisecond, time.Second, 4 * time.Second}
)

// Soak draws a scenario of faults that overlap in time, from a seed: the same seed draws the same. It has so many
// sidecars; 0: 10 to 20.
func Soak(seed uint64, sidecars int) (*Scenario, error) {
	rng := rand.New(rand.NewPCG(seed, 9))
	drawn := 10 + rng.IntN(11)
	text := fmt.Sprintf("about = 'faults drawn from seed %d, overlapping in time'\nfor = '%v'\n"+
		"hold = ['answered', 'once', 'honest', 'known', 'drains', 'cold', 'limits', 'alive', 'final', 'left', 'told', 'peers', 'guarded']\n"+
		"[fleet]\nsidecars = %d\nservers = %d\nzones = 2\nsupervised = true\n[load]\neach = %d\nretries = 2\nlate = '%v'\ntry = 1\n"+
		"publish = '%s'\nrebuild = '%s'\nwithin = '%v'\nurgent = %.2f\n",
		seed, soakLength, cmp.Or(sidecars, drawn), 10+rng.IntN(8), 8+rng.IntN(10), soakExtraWait,
		soakPublishEffects[rng.IntN(len(soakPublishEffects))], soakRebuildEffects[rng.IntN(len(soakRebuildEffects))], soakDedupWindows[rng.IntN(len(soakDedupWindows))], 0.5+rng.Float64())
	for i := range soakFaults {
		text += drawSoakFault(rng, soakFaultKinds[(int(seed)+i*5+rng.IntN(5))%len(soakFaultKinds)])
	}
	if seed >= ExtendedSoakFrom {
		text += drawExtendedFaults(rand.New(rand.NewPCG(seed, 10)), cmp.Or(sidecars, drawn))
	}
	return ReadScenario(fmt.Sprintf("soak-%d.toml", seed), []byte(text))
}

// ExtendedSoakFrom is the first seed whose soak has terminations by the page's timing and crossings besides; those before it draw
// what they drew when they were noted.
const ExtendedSoakFrom = 100_000

// drawExtendedFaults words terminations of sidecars with series of signals, an upgrade of one whose accept fails, and, in some soaks, a
// crowd of idle clients (also while discovery is away), many clients at once, and a busy machine.
func drawExtendedFaults(rng *rand.Rand, sidecars int) (text string) {
	add := func(do string, at, length time.Duration, target string, size float64) {
		text += fmt.Sprintf("[[fault]]\nat = '%v'\ndo = '%s'\n", at.Round(time.Millisecond), do)
		if length > 0 {
			text += fmt.Sprintf("for = '%v'\n", length.Round(time.Millisecond))
		}
		if target != "" {
			text += fmt.Sprintf("target = '%s'\n", target)
		}
		if size > 0 {
			text += fmt.Sprintf("size = %.2f\n", size)
		}
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
		deaf, target := at(), one()
		add("deaf", deaf, 200*time.Millisecond+time.Duration(rng.Int64N(int64(400*time.Millisecond))), target, 0)
		add("swap", deaf+time.Duration(rng.Int64N(int64(100*time.Millisecond))), 0, target, seriesTerm)
	}
	if rng.IntN(2) == 0 {
		crowd := at()
		add("crowd", crowd, 3*time.Second, one(), float64(200+rng.IntN(200)))
		if rng.IntN(2) == 0 {
			add("away", crowd+time.Second, time.Second, "", 0)
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

// drawSoakFault words one fault.
func drawSoakFault(rng *rand.Rand, kind soakFaultKind) string {
	last := soakLength - soakFaultFreeEnd
	at := soakFirstFault + time.Duration(rng.Int64N(int64(last-soakFirstFault-minSoakFaultTime)))
	length := minSoakFaultTime + time.Duration(rng.Int64N(int64(min(maxSoakFaultTime, last-at)-minSoakFaultTime+1)))
	text := fmt.Sprintf("[[fault]]\nat = '%v'\ndo = '%s'\n", at.Round(time.Millisecond), kind.kind)
	if kind.longest > 0 {
		length = min(length, time.Duration(rng.Int64N(int64(kind.longest))))
	}
	if kind.kind == "pause" {
		length = maxStall
	}
	if !kind.instant {
		text += fmt.Sprintf("for = '%v'\n", length.Round(time.Millisecond))
	}
	if target := kind.target(rng); target != "" {
		text += fmt.Sprintf("target = '%s'\n", target)
	}
	if kind.size[1] > 0 {
		text += fmt.Sprintf("size = %.2f\n", kind.size[0]+rng.Float64()*(kind.size[1]-kind.size[0]))
	}
	pause := kind.pause
	if kind.kind == "kill" || kind.kind == "stop" {
		pause = time.Second
	}
	if pause > 0 {
		text += fmt.Sprintf("pause = '%v'\n", time.Duration(rng.Int64N(int64(pause))).Round(time.Millisecond))
	}
	return text
}

// FaultKinds lists the kinds of faults that a scenario plays, in order.
func (s *Scenario) FaultKinds() (all []string) {
	for _, f := range s.Faults {
		all = append(all, f.Kind)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// late is how much longer than its time a client waits for its answer.
func (l loadSpec) extraWait() time.Duration { return conf.Duration(l.ExtraWait).Std() }
