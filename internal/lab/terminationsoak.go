package lab

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// TerminationSoakFrom is the first seed whose soak is a termination soak.
	TerminationSoakFrom = 10_000_000

	// PacedSoakFrom is the first seed whose termination soak also has servers that move long requests and answers in lumps. Smaller
	// seeds draw the same as before.
	PacedSoakFrom = 20_000_000

	terminationSoakLength   = 9 * time.Second
	terminationSoakLast     = 4 * time.Second // when the last termination begins
	terminationSoakSidecars = 4
	terminationSoakServers  = 5
	terminationRestartDelay = 500 * time.Millisecond // shorter than any termination
	crowdLead               = 300 * time.Millisecond // by which a crowd precedes a termination
	crowdTime               = 4 * time.Second
	leastCrowd              = 200 // connections
)

// drawTerminationSoak draws a scenario in which every sidecar is told to end, by a series of signals, alone or with another
// process beside it, while clients use its open connections until the platform may kill it. Some soaks have a crowd of idle
// connections at such a sidecar, servers that hang or clients that leave, write slowly or pipeline.
func drawTerminationSoak(seed uint64, sidecars int) (*Scenario, error) {
	rng := rand.New(rand.NewPCG(seed, 11))
	sidecars = cmp.Or(sidecars, terminationSoakSidecars)
	text := fmt.Sprintf("about = 'terminations drawn from seed %d'\nfor = '%v'\n"+
		"hold = ['answered', 'once', 'honest', 'known', 'drains', 'cold', 'limits', 'alive', 'final', 'left', 'told', 'peers', 'guarded']\n"+
		"[fleet]\nsidecars = %d\nservers = %d\nzones = 2\nsupervised = true\n[load]\neach = %d\nretries = 2\nlate = '%v'\ntry = 1\n"+
		"publish = '%s'\nrebuild = '%s'\nwithin = '1s'\nurgent = %.2f\n",
		seed, terminationSoakLength, sidecars, terminationSoakServers, 8+rng.IntN(10), soakExtraWait,
		soakPublishEffects[rng.IntN(len(soakPublishEffects))], soakRebuildEffects[rng.IntN(len(soakRebuildEffects))], 0.5+rng.Float64())
	at := func() time.Duration {
		return soakFirstFault + time.Duration(rng.Int64N(int64(terminationSoakLast-soakFirstFault)))
	}
	for sidecar := range sidecars {
		begin, target := at(), fmt.Sprint(sidecar)
		if rng.IntN(2) == 0 {
			text += faultText("term", begin, terminationRestartDelay, target, float64(1+rng.IntN(lastSeries)))
		} else {
			text += faultText("swap", begin, 0, target, float64(1+rng.IntN(seriesTermHup)))
		}
		if rng.IntN(3) == 0 {
			text += faultText("crowd", begin-crowdLead, crowdTime, target, float64(leastCrowd+rng.IntN(leastCrowd)))
		}
	}
	for _, extra := range []string{"hang", "leave", "dawdle", "pipeline", "long", "deaf"} {
		if rng.IntN(3) > 0 {
			continue
		}
		switch extra {
		case "hang":
			text += faultText(extra, at(), 2*time.Second, "25%", 0.2+0.5*rng.Float64())
		case "deaf":
			text += faultText(extra, at(), 200*time.Millisecond, "50%", 0)
		default:
			text += faultText(extra, at(), 2*time.Second, "", 0.05+0.2*rng.Float64())
		}
	}
	if seed >= PacedSoakFrom {
		text += drawPacedServers(rng)
	}
	return ReadScenario(fmt.Sprintf("termination-%d.toml", seed), []byte(text))
}

// drawPacedServers draws long requests and answers throughout, and servers that read and write them in lumps. It returns them in
// the form of a scenario file.
func drawPacedServers(rng *rand.Rand) (text string) {
	for _, kind := range []string{"long", "lumps", "slowread"} {
		target, size := "100%", 0.3+0.5*rng.Float64()
		if kind == "long" {
			target, size = "", 0.1+0.2*rng.Float64()
		}
		text += faultText(kind, soakFirstFault, terminationSoakLength-soakFirstFault-time.Second, target, size)
	}
	return text
}
