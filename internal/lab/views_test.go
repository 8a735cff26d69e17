package lab

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"
)

// The invariants "members" and "agreed" find each way in which a view can be wrong, and nothing while a change or a fault is
// recent or lasts.
func TestMembershipInvariants(t *testing.T) {
	s := readScenario(t, "[fleet]\nsidecars=3")
	const sec = time.Second
	for what, c := range map[string]struct {
		at             time.Duration
		readyAt        time.Duration
		present        []bool
		unknownMembers int
		agreed         bool
		links          []time.Duration
		cuts           []sidecarSpan
		want           []string
	}{
		"correct view":                    {at: 60 * sec, present: []bool{true, true, false}, agreed: true},
		"a running sidecar is missing":    {at: 60 * sec, present: []bool{true, false, false}, agreed: true, want: []string{"members"}},
		"an ended sidecar is listed":      {at: 60 * sec, present: []bool{true, true, true}, agreed: true, want: []string{"members"}},
		"an unknown member is listed":     {at: 60 * sec, present: []bool{true, true, false}, unknownMembers: 1, agreed: true, want: []string{"members"}},
		"no agreement":                    {at: 60 * sec, present: []bool{true, true, false}, want: []string{"agreed"}},
		"just ended":                      {at: 36 * sec, present: []bool{true, true, true}},
		"ended nine seconds ago":          {at: 39 * sec, present: []bool{true, true, true}, want: []string{"members"}},
		"a process that has just started": {at: 60 * sec, readyAt: 55 * sec, present: []bool{true, false, false}},
		"a link changed":                  {at: 60 * sec, present: []bool{true, false, false}, links: []time.Duration{55 * sec}},
		"a link changed earlier":          {at: 60 * sec, present: []bool{true, false, false}, links: []time.Duration{50 * sec}, want: []string{"members"}},
		"the network is cut":              {at: 60 * sec, present: []bool{true, false, false}, links: []time.Duration{10 * sec}, cuts: []sidecarSpan{{0, 10 * sec, 70 * sec}}},
		"the network was cut long ago":    {at: 60 * sec, present: []bool{true, false, false}, cuts: []sidecarSpan{{0, 10 * sec, 20 * sec}}, want: []string{"agreed", "members"}},
		"the start of the run":            {at: 3 * sec, present: []bool{true, false, false}},
	} {
		h := &History{
			processChanges: []processChange{{0, 0, true}, {0, 1, true}, {0, 2, true}, {30 * sec, 2, false}},
			linkChanges:    c.links, linkOutages: c.cuts,
			views: []observedView{{at: c.at, readyAt: c.readyAt, sidecar: 0, agreed: c.agreed, present: c.present, unknownMembers: c.unknownMembers}},
		}
		var broken []string
		for _, v := range judge(h, s, false) {
			if !v.Held {
				broken = append(broken, v.Invariant)
			}
		}
		slices.Sort(broken)
		if !slices.Equal(broken, c.want) {
			t.Errorf("%s: broken %v, want %v", what, broken, c.want)
		}
	}
}

// Real sidecars receive malformed packets and streams on their membership port: random bytes with and without the fleet's
// label, truncated, oversized, and streams that send nothing more. No process may end, all must see each other, and each
// must still answer its console.
func TestMalformedMembershipTraffic(t *testing.T) {
	t.Parallel()
	const n = 3
	r := newStage(t, readScenario(t, "[fleet]\nsidecars=3\nservers=2\nmemory_mb=48"))
	r.scenario.Fleet.File = fmt.Sprintf("[member]\nlisten='{peer}'\ncluster='lab'\nseeds=['%s','%s']", r.net.address(0, peerPort), r.net.address(1, peerPort))
	var all []*process
	for i := range n {
		q, err := r.processes.start(i)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, q)
	}
	waitForAgreement := func(when string) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			good := 0
			for _, q := range all {
				if v, err := queryView(q.console, n); err == nil && v.agreed && !slices.Contains(v.present, false) && v.unknownMembers == 0 {
					good++
				}
			}
			if good == n {
				return
			}
			if time.Now().After(end) {
				v, err := queryView(all[0].console, n)
				t.Fatalf("%s: %d of %d see all and agree; the first sees %+v, error %v", when, good, n, v, err)
			}
		}
	}
	waitForAgreement("at first")
	rng := rand.New(rand.NewPCG(1, 2))
	label := append([]byte{244, 3}, "lab"...)
	// The msgpack header of an exchange that announces a million members and 20 MB of state, without the data.
	oversized := append(append([]byte(nil), label...), 6, 0x83, 0xa5)
	oversized = append(append(oversized, "Nodes"...), 0xce, 0x00, 0x10, 0x00, 0x00, 0xac)
	oversized = append(append(oversized, "UserStateLen"...), 0xce, 0x01, 0x40, 0x00, 0x00, 0xa4)
	oversized = append(append(oversized, "Join"...), 0xc3)
	var held []net.Conn
	for i := range 600 {
		target := r.net.address(i%n, peerPort)
		b := make([]byte, []int{1, 3, 40, 1400, 60_000}[i%5])
		for j := range b {
			b[j] = byte(rng.Uint32())
		}
		switch i / 5 % 3 {
		case 0:
			b = append(append(append([]byte(nil), label...), byte(rng.IntN(14))), b...)
		case 1:
			b = oversized[:1+rng.IntN(len(oversized))]
		}
		c, err := net.Dial("udp", target)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(b) // fails for data that is too long for a packet
		c.Close()
		if i%4 > 0 {
			continue
		}
		s, err := net.Dial("tcp", target)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = s.Write(b)
		if i%8 == 0 {
			s.Close()
		} else {
			held = append(held, s) // 75 streams that send nothing more
		}
	}
	waitForAgreement("after the malformed traffic")
	for _, s := range held {
		s.Close()
	}
	for i, q := range all {
		if rss, _, ok := processUsage(q.cmd.Process.Pid); !ok || rss > 48 {
			t.Errorf("sidecar %d: %v, %.1f MiB", i, ok, rss)
		}
		callConfirmed(t, q, "ready")
	}
	if len(r.history.processFailures) > 0 {
		t.Error(r.history.processFailures)
	}
}

// playWithFaults plays 30 s of four real sidecars with links between them, further sections of the fleet file and faults, and
// requires all invariants to hold.
func playWithFaults(t *testing.T, file, faults string) *Result {
	t.Helper()
	file = "[member]\nlisten = \"{peer}\"\ncluster = \"lab\"\nseeds = [\"n0\", \"n1\"]\n" + file
	s := readScenario(t, "for = '30s'\n[fleet]\nsidecars = 4\nservers = 4\nmesh = true\nfile = '''"+file+"'''\n[load]\nuse = 0.1\n"+faults)
	res, broken := playScenario(t, s, Options{Seed: 1, Program: realProgram(t)})
	for name, v := range broken {
		t.Errorf("%s: %v", name, v.Findings)
	}
	if res.Late != "" {
		t.Logf("late: %s", res.Late)
	}
	return res
}

// A short form of the membership scenarios: the network between four real sidecars is split for three seconds, during which one
// is killed and one upgraded. In the end all see all and agree.
func TestMembersUnderFaults(t *testing.T) {
	t.Parallel()
	res := playWithFaults(t, "", `
[[fault]]
at = "2s"
do = "cut"
target = "0-1"
peer = "2-3"
for = "3s"
[[fault]]
at = "3s"
do = "kill"
target = "3"
for = "1s"
[[fault]]
at = "4s"
do = "upgrade"
target = "0"
`)
	if res.Figures["relay_packets"] == 0 {
		t.Error("no packets passed between the sidecars")
	}
}

// The invariant "duties" finds a duty that is held by an older token after a newer one, or by two sidecars. Queries that overlap
// in time prove nothing.
func TestSingleHolderInvariant(t *testing.T) {
	const sec = time.Second
	for what, c := range map[string]struct {
		seen []observedToken
		good bool
	}{
		"handed over":                      {[]observedToken{{0, sec, 0, "x", 5}, {2 * sec, 3 * sec, 1, "x", 6}}, true},
		"an older token later":             {[]observedToken{{0, sec, 0, "x", 6}, {2 * sec, 3 * sec, 1, "x", 5}}, false},
		"an older token asked for earlier": {[]observedToken{{2 * sec, 3 * sec, 0, "x", 6}, {sec, 5 * sec, 1, "x", 5}}, true},
		"another duty":                     {[]observedToken{{0, sec, 0, "x", 6}, {2 * sec, 3 * sec, 1, "y", 5}}, true},
		"one token at two sidecars":        {[]observedToken{{0, sec, 0, "x", 6}, {0, sec, 1, "x", 6}}, false},
		"one holder all the time":          {[]observedToken{{0, sec, 0, "x", 6}, {2 * sec, 3 * sec, 0, "x", 6}}, true},
	} {
		s := readScenario(t, "[fleet]\nsidecars=2")
		s.Invariants = []string{"duties"}
		if v := judge(&History{tokens: c.seen}, s, false); len(v) != 1 || v[0].Held != c.good {
			t.Errorf("%s: %+v", what, v)
		}
	}
}

// A short form of the duty scenarios: of four real sidecars, three of which vote, one after another is killed or paused for
// longer than a lease, and one is cut off. No two sidecars may hold the duty at once, and it must pass to another.
func TestDutiesUnderFaults(t *testing.T) {
	t.Parallel()
	res := playWithFaults(t, "[duty]\nvoters = [\"n0\", \"n1\", \"n2\"]\nlease = \"1s\"\nreport = true\n", `
[[fault]]
at = "5s"
do = "kill"
target = "0-2"
for = "2s"
pause = "4s"
[[fault]]
at = "17s"
do = "pause"
target = "0-2"
for = "2s"
pause = "3s"
[[fault]]
at = "25s"
do = "cut"
target = "0"
for = "2s"
`)
	t.Logf("%v tokens, the duty was without a holder for at most %v s", res.Figures["duty_tokens_report"], res.Figures["duty_unheld_s"])
	if res.Late == "" && res.Figures["duty_tokens_report"] < 2 {
		t.Errorf("the duty did not pass to another sidecar: %v tokens", res.Figures["duty_tokens_report"])
	}
}
