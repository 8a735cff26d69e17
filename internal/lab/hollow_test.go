package lab

import (
	"context"
	"strings"
	"testing"
	"time"

	"arrowgw/internal/conf"
)

// hollowFleet is a scenario with so many hollow sidecars, and more lines of its fleet and faults.
func hollowFleet(t *testing.T, fleet, faults string) *Scenario {
	t.Helper()
	s, err := ReadScenario("hollow.toml", []byte(`about = "x"
for = "8s"
hold = ["alive", "limits"]
[fleet]
`+fleet+`
file = """
[member]
listen = "{peer}"
cluster = "lab"
seeds = ["{seed0}", "{seed1}"]
[duty]
voters = ["n0"]
[rules]
file = "{rules}"
"""
[load]
use = 0.0
`+faults))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Whole and hollow sidecars stand in one fleet: all see all, a set that one kind pushes is in force at the other, and bytes are
// counted at both. Nothing is judged by how long it took.
func TestHollow(t *testing.T) {
	s := hollowFleet(t, "sidecars = 2\nhollow = 30\nservers = 3", "[[fault]]\nat = '1s'\ndo = 'push'\ntarget = '20'\n[[fault]]\nat = '2s'\ndo = 'kill'\ntarget = '25'\n[[fault]]\nat = '3s'\ndo = 'move'\n")
	s.For = conf.Duration(25 * time.Second) // a busy machine may take most of that
	res, err := Play(context.Background(), s, Options{Seed: 1, Program: realProgram(t)})
	if err != nil {
		t.Fatal(err)
	}
	f := res.Figures
	for _, name := range []string{"rest_hollow_in_packets", "rest_whole_out_packets", "rest_hollow_out_packets", "hollow_rss_mib"} {
		if f[name] <= 0 {
			t.Errorf("%s is %v", name, f[name])
		}
	}
	for _, name := range []string{"hollow_see_all_s", "push_s", "kill_all_s", "lists_s", "push_each_in", "lists_in_bytes"} {
		switch {
		case f[name] > 0:
		case res.Late != "": // what was not there by the end may have come later
			t.Logf("not judged: %s, as the run was late: %s", name, res.Late)
		default:
			t.Errorf("%s is %v, though the run was on time", name, f[name])
		}
	}
	if !res.Held() {
		t.Errorf("not held: %v", res.Verdicts)
	}
}

// A size that can't be held is refused before the start, with key and line.
func TestHollowRefused(t *testing.T) {
	for _, c := range []struct{ fleet, want string }{
		{"hollow = -1", `x.toml:3: key "fleet.hollow" is -1`},
		{"hollow = 10001", `x.toml:3: key "fleet.hollow" is 10001`},
		{"hollow = 395\nmesh = true\nsidecars = 6", `x.toml:3: key "fleet.hollow" is 395`},
		{"hollow = 10\nsidecars = 300", `x.toml:3: key "fleet.hollow" is 10: 301 processes`},
	} {
		_, err := ReadScenario("x.toml", []byte("about = 'x'\n[fleet]\n"+c.fleet))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.fleet, err, c.want)
		}
	}
	s := hollowFleet(t, "hollow = 300", "")
	if err := s.checkHollowFits(600 << 20); err == nil || !strings.Contains(err.Error(), `hollow.toml:5: key "fleet.hollow" is 300: about`) {
		t.Errorf("a machine of 600 MiB: %v", err)
	}
	if err := s.checkHollowFits(24 << 30); err != nil {
		t.Errorf("a machine of 24 GiB: %v", err)
	}
	if s.Resize(0, 0, -1) == nil || s.Resize(0, 0, 10_001) == nil {
		t.Error("a size by flag is not refused")
	}
}
