package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	pushes = flag.Int("pushes", 4, "rule sets pushed among real processes that are killed meanwhile; 200 in the long form")
	kills  = flag.Int("kills", 2, "processes killed in each push; 5 in the long form")
	seed   = flag.Uint64("seed", 1, "of their order")
)

const hang = time.Minute // past this a condition counts as never met

// built is caperarch built from this tree, with the highest form of rule sets that it reads.
func built(t *testing.T, highest string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "caperarch"+highest)
	out, err := exec.Command("go", "build", "-o", path, "-ldflags", "-X arrowgw/internal/rules.Highest="+highest, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// site is sidecars on this machine, of which the first three vote.
type site struct {
	t     *testing.T
	dir   string
	nodes []*member

	mu       sync.Mutex
	high     map[string]uint64 // by console: the highest version that was in force there
	meant    map[uint64]string // by version: the digest
	forbid   map[uint64]bool   // versions that must be nowhere
	broken   []string
	looks    int
	stop     chan struct{}
	watchers sync.WaitGroup
}

// member is one sidecar's place; cmd is nil while none runs there.
type member struct {
	name, dir, listen, console, peer, config string
	cmd                                      *exec.Cmd
	log                                      *os.File
}

// free is addresses that nobody listens at. They are of an address of this test's own: a port of 127.0.0.1 may be taken by somebody's
// outgoing connection between a kill and the next start.
func free(t *testing.T, n int) (all []string) {
	t.Helper()
	pid := os.Getpid()
	for range n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", 2+pid%200, 1+pid/200%250))
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		all = append(all, l.Addr().String())
	}
	return all
}

func newSite(t *testing.T, n int) *site {
	s := &site{t: t, dir: t.TempDir(), high: make(map[string]uint64), meant: make(map[uint64]string), forbid: make(map[uint64]bool), stop: make(chan struct{})}
	places := free(t, 3*n)
	seeds := ""
	for i := range min(3, n) {
		seeds += fmt.Sprintf("%q, ", fmt.Sprintf("n%d/%s", i, places[3*i+2]))
	}
	for i := range n {
		m := &member{name: fmt.Sprint("n", i), listen: places[3*i], console: places[3*i+1], peer: places[3*i+2], config: "config.json"}
		m.dir = filepath.Join(s.dir, m.name)
		config := strings.Replace(usable, `"listen":"127.0.0.1:0"`, fmt.Sprintf(`"name":%q,"listen":%q,"console":%q,"fleet":%q`,
			m.name, m.listen, m.console, filepath.Join(m.dir, "fleet.toml")), 1)
		file := fmt.Sprintf("[member]\nlisten=%q\ncluster=%q\nseeds=[%s]\n[duty]\nvoters=['n0','n1','n2']\nlease='1s'\n[rules]\nfile=%q\n",
			m.peer, filepath.Base(s.dir)+strconv.Itoa(os.Getpid()), seeds, filepath.Join(m.dir, "rules.toml"))
		for path, text := range map[string]string{"state/x": "", "config.json": config, "fleet.toml": file} {
			if err := os.MkdirAll(filepath.Dir(filepath.Join(m.dir, path)), 0o700); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(m.dir, path), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		s.nodes = append(s.nodes, m)
		s.watchers.Go(func() { s.watch(m) })
	}
	t.Cleanup(func() {
		close(s.stop)
		for _, m := range s.nodes {
			s.kill(m)
		}
		s.watchers.Wait()
		for _, b := range s.broken {
			t.Error(b)
		}
		if t.Failed() {
			for _, m := range s.nodes {
				raw, _ := os.ReadFile(filepath.Join(m.dir, "log"))
				lines := slices.DeleteFunc(strings.Split(string(raw), "\n"), func(l string) bool { return !regexp.MustCompile("msg=(rules|dut|ends)").MatchString(l) })
				t.Logf("%s:\n%s", m.name, strings.Join(lines[max(0, len(lines)-15):], "\n"))
			}
		}
	})
	return s
}

// start starts a program at a place.
func (s *site) start(m *member, program string) {
	s.t.Helper()
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	m.log = log
	m.cmd = exec.Command(program)
	m.cmd.Env = append(os.Environ(), "TMPDIR="+filepath.Join(m.dir, "state"), "EDGE_CONFIG="+filepath.Join(m.dir, m.config))
	m.cmd.Stderr = log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) kill(m *member) {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Kill() // it fails where it has ended
	_ = m.cmd.Wait()
	m.log.Close()
	m.cmd = nil
}

// shown is what a console says of rules.
type shown struct {
	inForce, floor, holds uint64
	digest                string
	serves, differs       bool
	all                   string
}

var showRules = regexp.MustCompile(`^200 in-force=(\d+) floor=(\d+) digest=(\S*) token=\d+ serves=(\S+) differs=(\S+) holds=(\d+)`)

func (m *member) ask() (v shown, ok bool) {
	var answer bytes.Buffer
	if call(&answer, m.console, []string{"show-rules"}) != nil || !strings.HasSuffix(answer.String(), "EOF\n") {
		return v, false
	}
	v.all = answer.String()
	g := showRules.FindStringSubmatch(v.all)
	if g == nil {
		return v, false
	}
	for i, into := range map[int]*uint64{1: &v.inForce, 2: &v.floor, 6: &v.holds} {
		*into, _ = strconv.ParseUint(g[i], 10, 64) // of digits
	}
	v.digest, v.serves, v.differs = g[3], g[4] == "true", g[5] == "true"
	return v, true
}

// watch looks at a place, again and again: the version in force never goes down there, one version has one digest, nothing is served below
// the floor, and what must be in force nowhere is not.
func (s *site) watch(m *member) {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		v, ok := m.ask()
		if !ok {
			continue
		}
		s.mu.Lock()
		s.looks++
		if v.serves && v.inForce < s.high[m.console] {
			s.broken = append(s.broken, fmt.Sprintf("%s has version %d in force, after %d", m.name, v.inForce, s.high[m.console]))
		}
		if v.serves && v.inForce < v.floor {
			s.broken = append(s.broken, fmt.Sprintf("%s serves by version %d, below its floor %d", m.name, v.inForce, v.floor))
		}
		if d := s.meant[v.floor]; d != "" && d != v.digest {
			s.broken = append(s.broken, fmt.Sprintf("%s has version %d with digest %s; elsewhere it is %s", m.name, v.floor, v.digest, d))
		}
		if s.forbid[v.floor] || s.forbid[v.inForce] {
			s.broken = append(s.broken, fmt.Sprintf("%s has version %d, which a present member can't read", m.name, v.floor))
		}
		s.meant[v.floor] = v.digest
		s.high[m.console] = max(s.high[m.console], v.inForce)
		s.mu.Unlock()
	}
}

// until waits for a condition on all that run.
func (s *site) until(what string, met func(m *member, v shown) bool) {
	s.t.Helper()
	for end := time.Now().Add(hang); ; time.Sleep(20 * time.Millisecond) {
		all, last := true, ""
		for _, m := range s.nodes {
			if m.cmd == nil {
				continue
			}
			if v, ok := m.ask(); !ok || !met(m, v) {
				all, last = false, m.name+": "+v.all
			}
		}
		if all {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("%s: never; %s", what, last)
		}
	}
}

// give gives a place a newer document, and has it read.
func (s *site) give(m *member, text string) {
	s.t.Helper()
	path := filepath.Join(m.dir, "rules.toml")
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		s.t.Fatal(err)
	}
	for end := time.Now().Add(hang); m.cmd != nil; time.Sleep(10 * time.Millisecond) { // a signal that comes before a start is over ends it
		if _, ok := m.ask(); ok {
			_ = m.cmd.Process.Signal(syscall.SIGHUP)
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("%s never starts", m.name)
		}
	}
}

func ruleSet(form int, version uint64, attempts int) string {
	zone := ""
	if form > 1 {
		zone = "\n[[server]]\nid='s'\nweight=0.5\n"
	}
	return fmt.Sprintf("form=%d\nversion=%d\nattempts=%d\n%s", form, version, attempts, zone)
}

func inForce(version uint64) func(*member, shown) bool {
	return func(_ *member, v shown) bool { return v.inForce >= version && v.serves }
}

// Rule sets are pushed at any of five real processes while holders and others are killed at any moment, started again with older files, and
// two push one version with two bodies.
func TestRulesAmidKills(t *testing.T) {
	program := built(t, "2")
	s := newSite(t, 5)
	for _, m := range s.nodes {
		s.start(m, program)
	}
	rng := rand.New(rand.NewPCG(*seed, 1))
	killed, holders, paused := 0, 0, 0
	for k := range *pushes {
		version := uint64(k + 1)
		for range 1 + rng.IntN(2) { // two bodies under one version, now and then
			s.give(s.nodes[rng.IntN(len(s.nodes))], ruleSet(1+rng.IntN(2), version, 1+rng.IntN(3)))
		}
		for range *kills {
			m := s.nodes[rng.IntN(len(s.nodes))]
			if rng.IntN(2) == 0 {
				for _, o := range s.nodes {
					if v, ok := o.ask(); ok && v.holds > 0 {
						m = o
						holders++
					}
				}
			}
			time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond) // it decides where the kill falls, and no verdict
			if rng.IntN(5) == 0 {                                       // it stands still, for longer than a lease at times
				_ = m.cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
				_ = m.cmd.Process.Signal(syscall.SIGCONT)
				paused++
				continue
			}
			s.kill(m)
			killed++
			if rng.IntN(3) == 0 {
				s.give(m, ruleSet(1, 1+version/2, 2)) // an old file
			}
			s.start(m, program)
		}
		if k%4 == 1 { // all at once: nobody is left to tell a floor
			for _, m := range s.nodes {
				s.kill(m)
				killed++
			}
			for _, m := range s.nodes {
				s.start(m, program)
			}
		}
		// Whoever had the file may have been given an older one since.
		s.give(s.nodes[rng.IntN(len(s.nodes))], ruleSet(1, version, 2))
		s.until(fmt.Sprintf("version %d is in force", version), inForce(version))
		if k%20 == 19 {
			t.Logf("%d pushes, %d kills", k+1, killed)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Logf("%d pushes, %d kills and %d pauses (%d of holders), %d looks: versions only grew, one digest for each of %d versions", *pushes, killed, paused, holders, s.looks, len(s.meant))
	if s.looks == 0 {
		t.Error("nobody has looked")
	}
}

// A program of an earlier form stands beside later ones: what it can't read is in force nowhere, and it is named; a set that goes on without it
// makes it serve nothing; started on a floor that it can't read it serves nothing either, and with the later program it serves again.
func TestRulesWithAnOldProgram(t *testing.T) {
	program, old := built(t, "2"), built(t, "1")
	s := newSite(t, 4)
	for _, m := range s.nodes[:3] {
		s.start(m, program)
	}
	last := s.nodes[3]
	s.start(last, old)
	s.give(s.nodes[1], ruleSet(1, 1, 2))
	s.until("version 1 is in force, and all know who reads what", func(m *member, v shown) bool {
		return inForce(1)(m, v) && strings.Contains(v.all, "member\tn3\tforms=1") == (m != last)
	})
	s.mu.Lock()
	s.forbid[2] = true
	s.mu.Unlock()
	s.give(s.nodes[0], ruleSet(2, 2, 2))
	s.until("the old program is named", func(m *member, v shown) bool {
		return strings.Contains(v.all, "refused\t2\tby n3\t") && strings.Contains(v.all, "reads forms up to 1") || m == last && v.inForce == 1
	})
	s.give(s.nodes[0], strings.Replace(ruleSet(2, 3, 1), "version", "without=['n3']\nversion", 1))
	s.until("version 3 goes on without it", func(m *member, v shown) bool {
		return v.floor == 3 && v.serves == (m != last)
	})
	status := func() string {
		c, err := net.Dial("tcp", last.listen)
		if err != nil {
			return err.Error()
		}
		defer c.Close()
		fmt.Fprint(c, "GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		raw, _ := io.ReadAll(c)
		return string(raw[:min(len(raw), 12)])
	}
	if got := status(); got != "HTTP/1.1 503" {
		t.Errorf("GET /up where nothing is served: %q", got)
	}
	s.give(s.nodes[2], ruleSet(1, 4, 2)) // one that it can read
	s.until("version 4 is in force", inForce(4))
	s.kill(last)
	s.until("it is gone", func(m *member, v shown) bool {
		return !strings.Contains(members(m), "n3") || strings.Contains(members(m), "gone")
	})
	s.give(s.nodes[1], ruleSet(2, 5, 2))
	s.until("version 5 is in force without it", inForce(5))
	s.start(last, old)
	s.until("it is told of version 5, and serves nothing", func(m *member, v shown) bool { return v.floor == 5 && v.serves == (m != last) })
	s.kill(last)
	s.start(last, old) // on a floor that it can't read
	s.until("it serves nothing", func(m *member, v shown) bool { return v.floor == 5 && v.serves == (m != last) })
	s.kill(last)
	if err := os.RemoveAll(filepath.Join(last.dir, "state")); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Join(last.dir, "state"), 0o700); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	delete(s.high, last.console)
	s.mu.Unlock()
	s.start(last, program) // without its state: its peers tell
	s.until("it serves again", inForce(5))
}

// An upgrade from a program of form 1: the new process begins with the floor, takes what comes into force meanwhile from the folder that both
// have, and is the member once the old one has ended; then a set of form 2 passes.
func TestRulesInAnUpgrade(t *testing.T) {
	program, old := built(t, "2"), built(t, "1")
	s := newSite(t, 3)
	for _, m := range s.nodes {
		s.start(m, old)
	}
	s.give(s.nodes[0], ruleSet(1, 1, 2))
	s.until("version 1 is in force", inForce(1))
	for i, before := range slices.Clone(s.nodes) {
		after := *before
		after.config, after.console = "next.json", free(t, 1)[0]
		raw, err := os.ReadFile(filepath.Join(before.dir, before.config))
		if err == nil {
			err = os.WriteFile(filepath.Join(before.dir, after.config), bytes.Replace(raw, []byte(before.console), []byte(after.console), 1), 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
		s.start(&after, program)
		s.nodes = append(s.nodes, &after)
		s.watchers.Go(func() { s.watch(&after) })
		s.until("the new process has the floor", inForce(uint64(1+i)))
		s.give(s.nodes[0], ruleSet(1, uint64(2+i), 1+i%2))
		s.until("both have the next", inForce(uint64(2+i)))
		_ = before.cmd.Process.Signal(syscall.SIGTERM) // it is there until it is waited for
		if err := before.cmd.Wait(); err != nil {
			t.Errorf("the old process ends with %v", err)
		}
		before.log.Close()
		before.cmd = nil
		s.nodes = slices.DeleteFunc(s.nodes, func(m *member) bool { return m == before })
	}
	s.give(s.nodes[0], ruleSet(2, 9, 1))
	s.until("form 2 is in force", inForce(9))
}

// members is what a console says of the fleet's members, n3's line alone.
func members(m *member) string {
	var answer bytes.Buffer
	_ = call(&answer, m.console, []string{"show-members"})
	lines := strings.Split(answer.String(), "\n")
	i := slices.IndexFunc(lines, func(l string) bool { return strings.HasPrefix(l, "n3\t") })
	if i < 0 {
		return ""
	}
	return lines[i]
}
