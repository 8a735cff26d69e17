package lab

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"
)

// Each way in which a view can be wrong is found, and none where a fault has just been or still is.
func TestViewsAreJudged(t *testing.T) {
	s := readScenario(t, "[fleet]\nsidecars=3")
	const sec = time.Second
	for what, c := range map[string]struct {
		at      time.Duration
		born    time.Duration
		present []bool
		others  int
		agreed  bool
		links   []time.Duration
		cuts    []sidecarSpan
		want    []string
	}{
		"as it is":                   {at: 60 * sec, present: []bool{true, true, false}, agreed: true},
		"one that runs is missing":   {at: 60 * sec, present: []bool{true, false, false}, agreed: true, want: []string{"members"}},
		"one that ended is seen":     {at: 60 * sec, present: []bool{true, true, true}, agreed: true, want: []string{"members"}},
		"one that never was":         {at: 60 * sec, present: []bool{true, true, false}, others: 1, agreed: true, want: []string{"members"}},
		"no agreement":               {at: 60 * sec, present: []bool{true, true, false}, want: []string{"agreed"}},
		"just ended":                 {at: 36 * sec, present: []bool{true, true, true}},
		"ended nine seconds before":  {at: 39 * sec, present: []bool{true, true, true}, want: []string{"members"}},
		"a young process":            {at: 60 * sec, born: 55 * sec, present: []bool{true, false, false}},
		"a link changed":             {at: 60 * sec, present: []bool{true, false, false}, links: []time.Duration{55 * sec}},
		"a link changed before that": {at: 60 * sec, present: []bool{true, false, false}, links: []time.Duration{50 * sec}, want: []string{"members"}},
		"the network is cut":         {at: 60 * sec, present: []bool{true, false, false}, links: []time.Duration{10 * sec}, cuts: []sidecarSpan{{0, 10 * sec, 70 * sec}}},
		"it was cut long ago":        {at: 60 * sec, present: []bool{true, false, false}, cuts: []sidecarSpan{{0, 10 * sec, 20 * sec}}, want: []string{"agreed", "members"}},
		"the first moments":          {at: 3 * sec, present: []bool{true, false, false}},
	} {
		h := &History{
			processChanges: []processChange{{0, 0, true}, {0, 1, true}, {0, 2, true}, {30 * sec, 2, false}},
			linkChanges:    c.links, linkOutages: c.cuts,
			views: []observedView{{at: c.at, readyAt: c.born, sidecar: 0, agreed: c.agreed, present: c.present, unknownMembers: c.others}},
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

// Real sidecars are sent garbage where their peers speak: packets and streams of nonsense, with and without the fleet's name on
// them, cut short, far too long, and streams that say nothing. None ends, all see each other, and each still serves its console.
func TestGarbageAtRealSidecars(t *testing.T) {
	t.Parallel()
	const n = 3
	r := stage(t, readScenario(t, "[fleet]\nsidecars=3\nservers=2\nmemory_mb=48"))
	r.scenario.Fleet.File = fmt.Sprintf("[member]\nlisten='{peer}'\ncluster='lab'\nseeds=['%s','%s']", r.net.address(0, peerPort), r.net.address(1, peerPort))
	var all []*process
	for i := range n {
		q, err := r.processes.start(i)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, q)
	}
	agree := func(when string) {
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
	agree("at first")
	rng := rand.New(rand.NewPCG(1, 2))
	label := append([]byte{244, 3}, "lab"...)
	// An exchange that says that a million members and 20 MB follow: its header in msgpack, and nothing behind it.
	boast := append(append([]byte(nil), label...), 6, 0x83, 0xa5)
	boast = append(append(boast, "Nodes"...), 0xce, 0x00, 0x10, 0x00, 0x00, 0xac)
	boast = append(append(boast, "UserStateLen"...), 0xce, 0x01, 0x40, 0x00, 0x00, 0xa4)
	boast = append(append(boast, "Join"...), 0xc3)
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
			b = boast[:1+rng.IntN(len(boast))]
		}
		c, err := net.Dial("udp", target)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(b) // what is too long for a packet does not go
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
			held = append(held, s) // 75 streams that say nothing more
		}
	}
	agree("after it")
	for _, s := range held {
		s.Close()
	}
	for i, q := range all {
		if rss, _, ok := processUsage(q.cmd.Process.Pid); !ok || rss > 48 {
			t.Errorf("sidecar %d: %v, %.1f MiB", i, ok, rss)
		}
		says(t, q, "ready")
	}
	if len(r.history.processFailures) > 0 {
		t.Error(r.history.processFailures)
	}
}

// amid plays half a minute of four real sidecars that reach each other, with a fleet file and faults, and wants all to hold.
func amid(t *testing.T, file, faults string) *Result {
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

// The short form of membership's scenarios: the network between four real sidecars is cut in halves for three seconds, one is
// killed meanwhile and one upgraded, and all see all, and agree, in the end.
func TestMembersAmidFaults(t *testing.T) {
	t.Parallel()
	res := amid(t, "", `
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
		t.Error("nothing passed between the sidecars")
	}
}

// A duty that is held by an older token after a newer one, or by two, is found; looks that overlap prove nothing.
func TestOneHolderIsJudged(t *testing.T) {
	const sec = time.Second
	for what, c := range map[string]struct {
		seen []observedToken
		good bool
	}{
		"passed on":             {[]observedToken{{0, sec, 0, "x", 5}, {2 * sec, 3 * sec, 1, "x", 6}}, true},
		"the older one later":   {[]observedToken{{0, sec, 0, "x", 6}, {2 * sec, 3 * sec, 1, "x", 5}}, false},
		"asked before":          {[]observedToken{{2 * sec, 3 * sec, 0, "x", 6}, {sec, 5 * sec, 1, "x", 5}}, true},
		"another duty":          {[]observedToken{{0, sec, 0, "x", 6}, {2 * sec, 3 * sec, 1, "y", 5}}, true},
		"one token at two":      {[]observedToken{{0, sec, 0, "x", 6}, {0, sec, 1, "x", 6}}, false},
		"the same one all time": {[]observedToken{{0, sec, 0, "x", 6}, {2 * sec, 3 * sec, 0, "x", 6}}, true},
	} {
		s := readScenario(t, "[fleet]\nsidecars=2")
		s.Invariants = []string{"duties"}
		if v := judge(&History{tokens: c.seen}, s, false); len(v) != 1 || v[0].Held != c.good {
			t.Errorf("%s: %+v", what, v)
		}
	}
}

// The short form of the duties' scenarios: of four real sidecars, three of which vote, one after another is killed or stands still for
// longer than a lease, and the network is cut. The duty is never at two, and passes on.
func TestDutiesAmidFaults(t *testing.T) {
	t.Parallel()
	res := amid(t, "[duty]\nvoters = [\"n0\", \"n1\", \"n2\"]\nlease = \"1s\"\nreport = true\n", `
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
	t.Logf("%v tokens, nobody held the duty for %v s at the longest", res.Figures["duty_tokens_report"], res.Figures["duty_unheld_s"])
	if res.Late == "" && res.Figures["duty_tokens_report"] < 2 {
		t.Errorf("the duty did not pass on: %v tokens", res.Figures["duty_tokens_report"])
	}
}
