package lab

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"arrowgw/internal/store"
)

// consoleFigures reads a console's figures.
func consoleFigures(t *testing.T, console string) map[string]string {
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
func TestDamagedStateIsReported(t *testing.T) {
	t.Parallel()
	r := newStage(t, readScenario(t, "[fleet]\nsidecars=1\nservers=2"))
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
		if err := r.processes.damageState(0, how, rng); err != nil {
			t.Fatal(err)
		}
		if q, err = r.processes.start(0); err != nil {
			t.Fatal(err)
		}
		f := consoleFigures(t, q.console)
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
		if f := consoleFigures(t, q.console); f["app.state_damaged"] != "0" {
			t.Errorf("after it was confirmed: %s", fmt.Sprint(f))
		}
		r.processes.kill(0)
	}
	t.Logf("told %d times, kept %d times", told, kept)
}

// callConfirmed makes a call at a sidecar's console that has to be answered with 200 yes.
func callConfirmed(t *testing.T, q *process, call string) {
	t.Helper()
	if answer, err := callConsole(q.console, call); err != nil || !strings.HasPrefix(answer, "200") {
		t.Fatalf("%s: %q, error %v", call, answer, err)
	}
}

// removeOldStateFile removes the file for older programs, which would make good for what the state itself has lost.
func removeOldStateFile(t *testing.T, r *run) {
	t.Helper()
	if err := os.Remove(filepath.Join(r.processes.stateDir(0), "sidecar-n0.state")); err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
}

// A state folder that is removed at work is made again by the next call, which holds over the next kill.
func TestStateFolderRemovedWhileRunning(t *testing.T) {
	t.Parallel()
	r := newStage(t, readScenario(t, "[fleet]\nsidecars=1\nservers=3"))
	for i := range 4 {
		q, err := r.processes.start(0)
		if err != nil {
			t.Fatal(err)
		}
		callConfirmed(t, q, "disable-server "+serverName(i%2))
		if err := os.RemoveAll(filepath.Join(r.processes.stateDir(0), "sidecar-n0.kept")); err != nil {
			t.Fatal(err)
		}
		callConfirmed(t, q, "enable-server "+serverName(i%2))
		callConfirmed(t, q, "disable-server "+serverName(2))
		r.processes.kill(0)
		removeOldStateFile(t, r)
		if q, err = r.processes.start(0); err != nil {
			t.Fatal(err)
		}
		if f := consoleFigures(t, q.console); f["app.members_unavailable"] != "1" || f["app.state_damaged"] != "0" {
			t.Errorf("after the kill: %v", f)
		}
		callConfirmed(t, q, "enable-server "+serverName(2))
		r.processes.kill(0)
	}
}

// A real sidecar is killed at the moment that its state's next file is being written, in the one turn with a second
// process beside it, amid a storm of calls: the last call of each caller that was confirmed holds at the next start.
func TestKillDuringCompaction(t *testing.T) {
	t.Parallel()
	const callers = 4
	r := newStage(t, readScenario(t, fmt.Sprintf("[fleet]\nsidecars=1\nservers=%d\nfile='''[state]\nlimit=32'''", callers+1)))
	folder := filepath.Join(r.processes.stateDir(0), "sidecar-n0.kept")
	half := func() bool { // a file is being written
		names, _ := filepath.Glob(filepath.Join(folder, "*.tmp"))
		return len(names) > 0
	}
	amid := 0
	for turn := 0; turn < 40 && amid < 5; turn++ {
		q, err := r.processes.start(0)
		if err != nil {
			t.Fatal(err)
		}
		var first *process
		if turn%2 == 1 { // an upgrade in that moment: both processes write
			first = q
			if q, err = r.processes.start(0); err != nil {
				t.Fatal(err)
			}
		}
		var all sync.WaitGroup
		var confirmed [callers]string // the last call that was answered with yes; the one under way may hold too
		var under [callers]string
		done := make(chan struct{})
		for i := range callers {
			all.Go(func() {
				for n := 0; ; n++ {
					call := []string{"disable-server", "enable-server"}[n%2]
					under[i] = call
					answer, err := callConsole(q.console, call+" "+serverName(i))
					if err != nil {
						return
					}
					if strings.HasPrefix(answer, "200") {
						confirmed[i] = call
					}
					select {
					case <-done:
						return
					default:
					}
				}
			})
		}
		for end := time.Now().Add(20 * time.Second); !half() && time.Now().Before(end); {
			time.Sleep(100 * time.Microsecond) // a file is half written for some hundreds
		}
		ending := []*process{q}
		if first != nil {
			ending = append(ending, first)
		}
		r.processes.mu.Lock()
		for _, p := range ending {
			p.endExpected = true
		}
		r.processes.mu.Unlock()
		for _, p := range ending {
			_ = p.cmd.Process.Kill() // it has not ended yet
		}
		for _, p := range ending {
			<-p.ended
		}
		close(done)
		all.Wait()
		if half() {
			amid++
		}
		removeOldStateFile(t, r)
		if q, err = r.processes.start(0); err != nil {
			t.Fatal(err)
		}
		if f := consoleFigures(t, q.console); f["app.state_damaged"] != "0" {
			t.Errorf("turn %d: a kill is taken for damage: %v", turn, f)
		}
		in, err := store.Inspect(store.OS{}, folder)
		if err != nil {
			t.Fatal(err)
		}
		out := make(map[string]bool)
		for _, v := range in.Values {
			out[v.Key] = out[v.Key] || v.Section == "calls" && strings.Contains(string(v.Bytes), `"out":true`)
		}
		for i := range callers {
			if confirmed[i] == under[i] && out[serverName(i)] != (confirmed[i] == "disable-server") {
				t.Errorf("turn %d: server %d out %v, though %s was confirmed", turn, i, out[serverName(i)], confirmed[i])
			}
		}
		r.processes.kill(0)
	}
	t.Logf("%d kills left a file half written", amid)
}
