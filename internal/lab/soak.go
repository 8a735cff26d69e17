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
	soakQuiet    = 1500 * time.Millisecond // no fault before
	soakRest     = 3 * time.Second         // and none goes on behind the end less this
	soakLength   = 16 * time.Second
	soakFaults   = 20
	soakLongest  = 5 * time.Second
	soakLate     = 600 * time.Millisecond // clients wait so much longer than their time for the answer that they are owed
	soakShortest = 500 * time.Millisecond
)

// soakKind is a kind of fault as a soak draws it.
type soakKind struct {
	do      string
	target  func(rng *rand.Rand) string
	size    [2]float64
	pause   time.Duration // at most
	longest time.Duration // 0: soakLongest
	once    bool          // it has no length
}

func soakShare(from, to int) func(*rand.Rand) string {
	return func(rng *rand.Rand) string { return fmt.Sprintf("%d%%", from+rng.IntN(to-from)) }
}

func soakNobody(*rand.Rand) string { return "" }

// soakKinds are all that a soak may draw. What must hold needs servers that answer, so that they fail in part.
var soakKinds = []soakKind{
	{do: "kill", target: soakShare(5, 30)},
	{do: "stop", target: soakShare(10, 50)},
	{do: "upgrade", target: soakShare(5, 25), once: true},
	{do: "pause", target: soakShare(10, 60)},
	{do: "full", target: soakShare(10, 40), size: [2]float64{1, 4096}, once: true},
	{do: "deaf", target: soakShare(10, 60), longest: 400 * time.Millisecond},
	{do: "hup", target: soakShare(20, 100), size: [2]float64{2, 8}, once: true},
	{do: "out", target: soakShare(5, 15)},
	{do: "close", target: soakShare(10, 100), once: true},
	{do: "late", target: soakShare(5, 35), longest: 1500 * time.Millisecond},
	{do: "long", target: soakNobody, size: [2]float64{0.02, 0.15}},
	{do: "dawdle", target: soakNobody, size: [2]float64{0.05, 0.4}},
	{do: "hurry", target: soakNobody, size: [2]float64{0.05, 0.4}},
	{do: "pipeline", target: soakNobody, size: [2]float64{0.02, 0.3}},
	{do: "calls", target: soakShare(30, 100), size: [2]float64{0.02, 0.4}},
	{do: "forward", target: soakShare(20, 100), size: [2]float64{1, 3600}, once: true},
	{do: "back", target: soakShare(20, 100), size: [2]float64{1, 3600}, once: true},
	{do: "crash", target: soakShare(5, 30)},
	{do: "slow", target: soakShare(5, 30), size: [2]float64{2, 8}},
	{do: "err", target: soakShare(5, 30), size: [2]float64{0.1, 0.9}},
	{do: "silence", target: soakShare(5, 25)},
	{do: "refuse", target: soakShare(5, 25)},
	{do: "drain", target: soakShare(5, 25)},
	{do: "spoil", target: soakShare(10, 50), size: [2]float64{0.05, 0.5}},
	{do: "hang", target: soakShare(5, 30), size: [2]float64{0.2, 1}},
	{do: "reset", target: soakShare(10, 100), once: true},
	{do: "mute", target: soakNobody, once: true},
	{do: "away", target: soakNobody},
	{do: "move", target: soakNobody, once: true},
	{do: "stale", target: soakNobody},
	{do: "crawl", target: soakNobody, pause: 300 * time.Millisecond},
	{do: "leave", target: soakNobody, size: [2]float64{0.05, 0.6}},
	{do: "burst", target: soakNobody, size: [2]float64{1.2, 2}},
	{do: "rude", target: soakShare(20, 80)},
}

// What repeats of requests may do, and for how long those of keyed ones are dropped.
var (
	soakPublish = []string{"unsafe", "unsafe", "keyed", "safe"}
	soakRebuild = []string{"keyed", "keyed", "safe"}
	soakWithin  = []time.Duration{400 * time.Millisecond, time.Second, 4 * time.Second}
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
		seed, soakLength, cmp.Or(sidecars, drawn), 10+rng.IntN(8), 8+rng.IntN(10), soakLate,
		soakPublish[rng.IntN(len(soakPublish))], soakRebuild[rng.IntN(len(soakRebuild))], soakWithin[rng.IntN(len(soakWithin))], 0.5+rng.Float64())
	for i := range soakFaults {
		text += soakFault(rng, soakKinds[(int(seed)+i*5+rng.IntN(5))%len(soakKinds)])
	}
	if seed >= ExtendedSoakFrom {
		text += soakCrossings(rand.New(rand.NewPCG(seed, 10)), cmp.Or(sidecars, drawn))
	}
	return ReadScenario(fmt.Sprintf("soak-%d.toml", seed), []byte(text))
}

// ExtendedSoakFrom is the first seed whose soak has terminations by the page's timing and crossings besides; those before it draw
// what they drew when they were noted.
const ExtendedSoakFrom = 100_000

// soakCrossings words terminations of sidecars with series of signals, an upgrade of one whose accept fails, and, in some soaks, a
// crowd of idle clients (also while discovery is away), many clients at once, and a busy machine.
func soakCrossings(rng *rand.Rand, sidecars int) (text string) {
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
		return soakQuiet + time.Duration(rng.Int64N(int64(soakLength-soakRest-soakLongest)))
	}
	one := func() string { return fmt.Sprint(rng.IntN(sidecars)) }
	for range 3 {
		add("term", at(), soakShortest, one(), float64(1+rng.IntN(lastSeries)))
		add("swap", at(), 0, one(), float64(1+rng.IntN(hangupBehind)))
	}
	for range 2 {
		deaf, target := at(), one()
		add("deaf", deaf, 200*time.Millisecond+time.Duration(rng.Int64N(int64(400*time.Millisecond))), target, 0)
		add("swap", deaf+time.Duration(rng.Int64N(int64(100*time.Millisecond))), 0, target, plainTerm)
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

// soakFault words one fault.
func soakFault(rng *rand.Rand, kind soakKind) string {
	last := soakLength - soakRest
	at := soakQuiet + time.Duration(rng.Int64N(int64(last-soakQuiet-soakShortest)))
	length := soakShortest + time.Duration(rng.Int64N(int64(min(soakLongest, last-at)-soakShortest+1)))
	text := fmt.Sprintf("[[fault]]\nat = '%v'\ndo = '%s'\n", at.Round(time.Millisecond), kind.do)
	if kind.longest > 0 {
		length = min(length, time.Duration(rng.Int64N(int64(kind.longest))))
	}
	if kind.do == "pause" {
		length = maxStall
	}
	if !kind.once {
		text += fmt.Sprintf("for = '%v'\n", length.Round(time.Millisecond))
	}
	if target := kind.target(rng); target != "" {
		text += fmt.Sprintf("target = '%s'\n", target)
	}
	if kind.size[1] > 0 {
		text += fmt.Sprintf("size = %.2f\n", kind.size[0]+rng.Float64()*(kind.size[1]-kind.size[0]))
	}
	pause := kind.pause
	if kind.do == "kill" || kind.do == "stop" {
		pause = time.Second
	}
	if pause > 0 {
		text += fmt.Sprintf("pause = '%v'\n", time.Duration(rng.Int64N(int64(pause))).Round(time.Millisecond))
	}
	return text
}

// FaultKinds lists the kinds of faults that a scenario plays, in order.
func (s *Scenario) FaultKinds() (all []string) {
	for _, f := range s.Fault {
		all = append(all, f.Kind)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// late is how much longer than its time a client waits for its answer.
func (l loadSpec) extraWait() time.Duration { return conf.Duration(l.ExtraWait).Std() }
