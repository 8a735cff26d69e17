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

// consoleFigures returns the figures of a console as text.
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

// A real sidecar in which an operator has disabled one of two servers is killed, all files of its state folder are damaged, and
// it is started again. Either exactly that server is still disabled, or the console reports damaged state until an operator
// confirms it. With an undamaged folder the server is disabled and no damage is reported.
func TestDamagedStateIsReported(t *testing.T) {
	t.Parallel()
	r := newStage(t, readScenario(t, "[fleet]\nsidecars=1\nservers=2"))
	rng := rand.New(rand.NewPCG(1, 1))
	reported, kept := 0, 0
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
			t.Fatalf("no figure app.state_damaged in %v", f)
		case how == "kept" && (!out || f["app.state_damaged"] != "0"):
			t.Errorf("undamaged folder: out %v, damaged %s", out, f["app.state_damaged"])
		case f["app.state_damaged"] != "0":
			reported++
		case !out:
			t.Errorf("%s: the server is back in service, and no damage is reported", how)
		default:
			kept++
		}
		if answer, err := callConsole(q.console, "confirm-state"); err != nil || !strings.HasPrefix(answer, "200") {
			t.Errorf("confirm-state: %q, error %v", answer, err)
		}
		if f := consoleFigures(t, q.console); f["app.state_damaged"] != "0" {
			t.Errorf("after confirm-state: %s", fmt.Sprint(f))
		}
		r.processes.kill(0)
	}
	t.Logf("damage reported %d times, call kept %d times", reported, kept)
}

// callConfirmed makes a console call that must be answered with status 200.
func callConfirmed(t *testing.T, q *process, call string) {
	t.Helper()
	if answer, err := callConsole(q.console, call); err != nil || !strings.HasPrefix(answer, "200") {
		t.Fatalf("%s: %q, error %v", call, answer, err)
	}
}

// removeOldStateFile removes the state file for older programs, from which the sidecar would restore what its state folder has lost.
func removeOldStateFile(t *testing.T, r *run) {
	t.Helper()
	if err := os.Remove(filepath.Join(r.processes.stateDir(0), "sidecar-n0.state")); err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
}

// A state folder that is removed while the sidecar runs is created again by the next operator call, which survives a kill.
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

// A real sidecar is killed while the next file of its state is being written, amid a storm of operator calls; in every second
// turn both processes of an upgrade are killed. The last confirmed call of each caller must hold after the next start, and the
// kill must not be reported as damage.
func TestKillDuringCompaction(t *testing.T) {
	t.Parallel()
	const callers = 4
	r := newStage(t, readScenario(t, fmt.Sprintf("[fleet]\nsidecars=1\nservers=%d\nfile='''[state]\nlimit=32'''", callers+1)))
	folder := filepath.Join(r.processes.stateDir(0), "sidecar-n0.kept")
	writing := func() bool { // a state file is being written
		names, _ := filepath.Glob(filepath.Join(folder, "*.tmp"))
		return len(names) > 0
	}
	interrupted := 0 // kills that left a temporary file
	for turn := 0; turn < 40 && interrupted < 5; turn++ {
		q, err := r.processes.start(0)
		if err != nil {
			t.Fatal(err)
		}
		var first *process
		if turn%2 == 1 { // an upgrade at that moment: both processes write
			first = q
			if q, err = r.processes.start(0); err != nil {
				t.Fatal(err)
			}
		}
		var all sync.WaitGroup
		var confirmed [callers]string // the last call that was confirmed; a later one that was in flight may hold as well
		var attempted [callers]string // the last call that was sent
		done := make(chan struct{})
		for i := range callers {
			all.Go(func() {
				for n := 0; ; n++ {
					call := []string{"disable-server", "enable-server"}[n%2]
					attempted[i] = call
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
		for end := time.Now().Add(20 * time.Second); !writing() && time.Now().Before(end); {
			time.Sleep(100 * time.Microsecond) // a file stays half written for some hundred microseconds
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
			_ = p.cmd.Process.Kill() // fails only if it has already ended
		}
		for _, p := range ending {
			<-p.ended
		}
		close(done)
		all.Wait()
		if writing() {
			interrupted++
		}
		removeOldStateFile(t, r)
		if q, err = r.processes.start(0); err != nil {
			t.Fatal(err)
		}
		if f := consoleFigures(t, q.console); f["app.state_damaged"] != "0" {
			t.Errorf("turn %d: a kill is reported as damage: %v", turn, f)
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
			if confirmed[i] == attempted[i] && out[serverName(i)] != (confirmed[i] == "disable-server") {
				t.Errorf("turn %d: server %d out %v, although %s was confirmed", turn, i, out[serverName(i)], confirmed[i])
			}
		}
		r.processes.kill(0)
	}
	t.Logf("%d kills left a file half written", interrupted)
}
