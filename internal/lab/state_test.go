package lab

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"
)

// figures reads a console's figures.
func figures(t *testing.T, console string) map[string]string {
	t.Helper()
	c, err := net.Dial("tcp", console)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, "show-stat\n"); err != nil {
		t.Fatal(err)
	}
	all := make(map[string]string)
	for lines := bufio.NewScanner(c); lines.Scan(); {
		if name, value, ok := strings.Cut(lines.Text(), "="); ok {
			all[name] = value
		}
	}
	return all
}

// A real sidecar with one of two servers out by hand is killed, its state folder is damaged in every file, and it starts
// again: either that server is still out and no other, or the console says that the state is damaged until an operator
// confirms. With the folder as it was, the server is out and nothing is said.
func TestDamagedStateIsNeverSilent(t *testing.T) {
	t.Parallel()
	r := stage(t, scene(t, "[fleet]\nsidecars=1\nservers=2"))
	rng := rand.New(rand.NewPCG(1, 1))
	told, kept := 0, 0
	for i := range 24 {
		how := []string{"kept", "emptied", "truncated", "flipped", "flipped", "flipped"}[i%6]
		q, err := r.processes.start(0)
		if err != nil {
			t.Fatal(err)
		}
		for _, call := range []string{"enable-server " + serverName(1), "disable-server " + serverName(0)} {
			if answer, err := callConsole(q.console, call); err != nil || !strings.HasPrefix(answer, "200") {
				t.Fatalf("%s: %q, error %v", call, answer, err)
			}
		}
		r.processes.kill(0)
		if err := r.processes.damage(0, how, rng); err != nil {
			t.Fatal(err)
		}
		if q, err = r.processes.start(0); err != nil {
			t.Fatal(err)
		}
		f := figures(t, q.console)
		out := f["app.members_unavailable"] == "1"
		switch {
		case f["app.state_damaged"] == "":
			t.Fatalf("no figure of the state in %v", f)
		case how == "kept" && (!out || f["app.state_damaged"] != "0"):
			t.Errorf("a sound folder: out %v, damaged %s", out, f["app.state_damaged"])
		case f["app.state_damaged"] != "0":
			told++
		case !out:
			t.Errorf("%s: the server is back in service, and nobody is told", how)
		default:
			kept++
		}
		if answer, err := callConsole(q.console, "confirm-state"); err != nil || !strings.HasPrefix(answer, "200") {
			t.Errorf("confirm-state: %q, error %v", answer, err)
		}
		if f := figures(t, q.console); f["app.state_damaged"] != "0" {
			t.Errorf("after it was confirmed: %s", fmt.Sprint(f))
		}
		r.processes.kill(0)
	}
	t.Logf("told %d times, kept %d times", told, kept)
}
