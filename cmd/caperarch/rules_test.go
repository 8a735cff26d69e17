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
	pushes = flag.Int("pushes", 4, "number of rule sets pushed while processes are killed; 200 in the long form of the test")
	kills  = flag.Int("kills", 2, "number of processes killed in each push; 5 in the long form of the test")
	seed   = flag.Uint64("seed", 1, "seed for the random order of pushes and kills")
)

const conditionTimeout = time.Minute // after this time a condition counts as never met

// buildCaperarch builds caperarch from this source tree, with highest as the highest rule set form that it can read. It returns
// the program's path.
func buildCaperarch(t *testing.T, highest string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "caperarch"+highest)
	out, err := exec.Command("go", "build", "-o", path, "-ldflags", "-X arrowgw/internal/rules.Highest="+highest, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// cluster is a set of sidecars on this machine, the first three of which are voters.
type cluster struct {
	t     *testing.T
	dir   string
	nodes []*node

	mu             sync.Mutex
	highestInForce map[string]uint64 // by console: the highest version seen in force there
	digests        map[uint64]string // by version: the digest last seen
	forbidden      map[uint64]bool   // versions that must not be the floor or in force anywhere
	violations     []string
	observations   int
	stop           chan struct{}
	watchers       sync.WaitGroup
}

// node is the configuration and state of one sidecar. cmd is nil while it does not run.
type node struct {
	name, dir, listen, console, peer, config string
	cmd                                      *exec.Cmd
	log                                      *os.File
}

// freeAddresses returns n addresses with unused ports. They are on a loopback address derived from the process id, because a
// port of 127.0.0.1 could be taken by an outgoing connection between a kill and the next start.
func freeAddresses(t *testing.T, n int) (all []string) {
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

// newCluster prepares n nodes without starting them, and watches their consoles until the test ends.
func newCluster(t *testing.T, n int) *cluster {
	s := &cluster{t: t, dir: t.TempDir(), highestInForce: make(map[string]uint64), digests: make(map[uint64]string), forbidden: make(map[uint64]bool), stop: make(chan struct{})}
	addresses := freeAddresses(t, 3*n)
	seeds := ""
	for i := range min(3, n) {
		seeds += fmt.Sprintf("%q, ", fmt.Sprintf("n%d/%s", i, addresses[3*i+2]))
	}
	for i := range n {
		m := &node{name: fmt.Sprint("n", i), listen: addresses[3*i], console: addresses[3*i+1], peer: addresses[3*i+2], config: "config.json"}
		m.dir = filepath.Join(s.dir, m.name)
		config := strings.Replace(usableConfig, `"listen":"127.0.0.1:0"`, fmt.Sprintf(`"name":%q,"listen":%q,"console":%q,"fleet":%q`,
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
		for _, b := range s.violations {
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

// start starts a program on a node.
func (s *cluster) start(m *node, program string) {
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

// kill kills the process of a node, if one runs.
func (s *cluster) kill(m *node) {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Kill() // fails only if the process has ended
	_ = m.cmd.Wait()
	m.log.Close()
	m.cmd = nil
}

// rulesStatus is a console's answer to show-rules.
type rulesStatus struct {
	inForce, floor, holds uint64
	digest                string
	serves, differs       bool
	answer                string
}

var rulesStatusLine = regexp.MustCompile(`^200 in-force=(\d+) floor=(\d+) digest=(\S*) token=\d+ serves=(\S+) differs=(\S+) holds=(\d+)`)

// rulesStatus requests the rule set status at the node's console. ok is false without a complete answer.
func (m *node) rulesStatus() (v rulesStatus, ok bool) {
	var answer bytes.Buffer
	if call(&answer, m.console, []string{"show-rules"}) != nil || !strings.HasSuffix(answer.String(), "EOF\n") {
		return v, false
	}
	v.answer = answer.String()
	g := rulesStatusLine.FindStringSubmatch(v.answer)
	if g == nil {
		return v, false
	}
	for i, into := range map[int]*uint64{1: &v.inForce, 2: &v.floor, 6: &v.holds} {
		*into, _ = strconv.ParseUint(g[i], 10, 64) // can't fail: the pattern matches digits only
	}
	v.digest, v.serves, v.differs = g[3], g[4] == "true", g[5] == "true"
	return v, true
}

// watch checks a node every 10 ms until the test ends: the version in force never decreases, a version has the same digest
// everywhere, the node does not serve by a version below its floor, and no forbidden version is its floor or in force.
func (s *cluster) watch(m *node) {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		v, ok := m.rulesStatus()
		if !ok {
			continue
		}
		s.mu.Lock()
		s.observations++
		if v.serves && v.inForce < s.highestInForce[m.console] {
			s.violations = append(s.violations, fmt.Sprintf("%s has version %d in force after version %d", m.name, v.inForce, s.highestInForce[m.console]))
		}
		if v.serves && v.inForce < v.floor {
			s.violations = append(s.violations, fmt.Sprintf("%s serves by version %d, below its floor %d", m.name, v.inForce, v.floor))
		}
		if d := s.digests[v.floor]; d != "" && d != v.digest {
			s.violations = append(s.violations, fmt.Sprintf("%s has version %d with digest %s, another node with digest %s", m.name, v.floor, v.digest, d))
		}
		if s.forbidden[v.floor] || s.forbidden[v.inForce] {
			s.violations = append(s.violations, fmt.Sprintf("%s has version %d, which a present member can't read", m.name, v.floor))
		}
		s.digests[v.floor] = v.digest
		s.highestInForce[m.console] = max(s.highestInForce[m.console], v.inForce)
		s.mu.Unlock()
	}
}

// waitUntil waits until a condition holds on all running nodes.
func (s *cluster) waitUntil(what string, met func(m *node, v rulesStatus) bool) {
	s.t.Helper()
	for end := time.Now().Add(conditionTimeout); ; time.Sleep(20 * time.Millisecond) {
		all, last := true, ""
		for _, m := range s.nodes {
			if m.cmd == nil {
				continue
			}
			if v, ok := m.rulesStatus(); !ok || !met(m, v) {
				all, last = false, m.name+": "+v.answer
			}
		}
		if all {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("timeout waiting for %s; %s", what, last)
		}
	}
}

// updateRules replaces a node's rule set file and, if the node runs, sends it SIGHUP.
func (s *cluster) updateRules(m *node, text string) {
	s.t.Helper()
	path := filepath.Join(m.dir, "rules.toml")
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		s.t.Fatal(err)
	}
	for end := time.Now().Add(conditionTimeout); m.cmd != nil; time.Sleep(10 * time.Millisecond) { // waits for the console: SIGHUP during the start would end the process
		if _, ok := m.rulesStatus(); ok {
			_ = m.cmd.Process.Signal(syscall.SIGHUP)
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("%s does not start", m.name)
		}
	}
}

// ruleSet returns a rule set document.
func ruleSet(form int, version uint64, attempts int) string {
	zone := ""
	if form > 1 {
		zone = "\n[[server]]\nid='s'\nweight=0.5\n"
	}
	return fmt.Sprintf("form=%d\nversion=%d\nattempts=%d\n%s", form, version, attempts, zone)
}

// inForce returns the condition that a node serves by a version or a later one.
func inForce(version uint64) func(*node, rulesStatus) bool {
	return func(_ *node, v rulesStatus) bool { return v.inForce >= version && v.serves }
}

// Pushes rule sets from any of five real processes while duty holders and other processes are killed, paused and restarted at
// random times, some of them with older rule set files. At times two processes push one version with different contents.
func TestRulesAmidKills(t *testing.T) {
	program := buildCaperarch(t, "2")
	s := newCluster(t, 5)
	for _, m := range s.nodes {
		s.start(m, program)
	}
	rng := rand.New(rand.NewPCG(*seed, 1))
	killed, holders, paused := 0, 0, 0
	for k := range *pushes {
		version := uint64(k + 1)
		for range 1 + rng.IntN(2) { // sometimes two contents for one version
			s.updateRules(s.nodes[rng.IntN(len(s.nodes))], ruleSet(1+rng.IntN(2), version, 1+rng.IntN(3)))
		}
		for range *kills {
			m := s.nodes[rng.IntN(len(s.nodes))]
			if rng.IntN(2) == 0 {
				for _, o := range s.nodes {
					if v, ok := o.rulesStatus(); ok && v.holds > 0 {
						m = o
						holders++
					}
				}
			}
			time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond) // random moment of the kill; the verdict does not depend on it
			if rng.IntN(5) == 0 {                                       // pauses the process, sometimes for longer than a lease
				_ = m.cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
				_ = m.cmd.Process.Signal(syscall.SIGCONT)
				paused++
				continue
			}
			s.kill(m)
			killed++
			if rng.IntN(3) == 0 {
				s.updateRules(m, ruleSet(1, 1+version/2, 2)) // an older version
			}
			s.start(m, program)
		}
		if k%4 == 1 { // all at once: no running process knows the floor
			for _, m := range s.nodes {
				s.kill(m)
				killed++
			}
			for _, m := range s.nodes {
				s.start(m, program)
			}
		}
		// The nodes whose files contained this version may have older files now.
		s.updateRules(s.nodes[rng.IntN(len(s.nodes))], ruleSet(1, version, 2))
		s.waitUntil(fmt.Sprintf("version %d in force", version), inForce(version))
		if k%20 == 19 {
			t.Logf("%d pushes, %d kills", k+1, killed)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Logf("%d pushes, %d kills and %d pauses (%d of holders), %d observations of %d versions", *pushes, killed, paused, holders, s.observations, len(s.digests))
	if s.observations == 0 {
		t.Error("no console was observed")
	}
}

// One node runs an older program that reads rule sets of form 1 only. A set that it can't read must not come into force
// anywhere, and the refusal must name the node. A set that excludes the node with "without" must make it stop serving. Started
// with a floor that it can't read it must not serve either. With the newer program it must serve again.
func TestRulesWithOlderProgram(t *testing.T) {
	program, old := buildCaperarch(t, "2"), buildCaperarch(t, "1")
	s := newCluster(t, 4)
	for _, m := range s.nodes[:3] {
		s.start(m, program)
	}
	last := s.nodes[3]
	s.start(last, old)
	s.updateRules(s.nodes[1], ruleSet(1, 1, 2))
	s.waitUntil("version 1 in force and the older program's forms known", func(m *node, v rulesStatus) bool {
		return inForce(1)(m, v) && strings.Contains(v.answer, "member\tn3\tforms=1") == (m != last)
	})
	s.mu.Lock()
	s.forbidden[2] = true
	s.mu.Unlock()
	s.updateRules(s.nodes[0], ruleSet(2, 2, 2))
	s.waitUntil("the refusal that names the older program", func(m *node, v rulesStatus) bool {
		return strings.Contains(v.answer, "refused\t2\tby n3\t") && strings.Contains(v.answer, "reads forms up to 1") || m == last && v.inForce == 1
	})
	s.updateRules(s.nodes[0], strings.Replace(ruleSet(2, 3, 1), "version", "without=['n3']\nversion", 1))
	s.waitUntil("version 3 in force without the older program", func(m *node, v rulesStatus) bool {
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
		t.Errorf("GET /up while not serving: %q, want status 503", got)
	}
	s.updateRules(s.nodes[2], ruleSet(1, 4, 2)) // a form that it can read
	s.waitUntil("version 4 in force", inForce(4))
	s.kill(last)
	s.waitUntil("the older program to be gone", func(m *node, v rulesStatus) bool {
		return !strings.Contains(memberLine(m), "n3") || strings.Contains(memberLine(m), "gone")
	})
	s.updateRules(s.nodes[1], ruleSet(2, 5, 2))
	s.waitUntil("version 5 in force without the older program", inForce(5))
	s.start(last, old)
	s.waitUntil("the older program to know version 5 and not serve", func(m *node, v rulesStatus) bool { return v.floor == 5 && v.serves == (m != last) })
	s.kill(last)
	s.start(last, old) // its stored floor is one that it can't read
	s.waitUntil("the older program not to serve after a restart", func(m *node, v rulesStatus) bool { return v.floor == 5 && v.serves == (m != last) })
	s.kill(last)
	if err := os.RemoveAll(filepath.Join(last.dir, "state")); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Join(last.dir, "state"), 0o700); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	delete(s.highestInForce, last.console)
	s.mu.Unlock()
	s.start(last, program) // without its state: it learns the floor from its peers
	s.waitUntil("the newer program to serve", inForce(5))
}

// Upgrades a cluster from a program that reads form 1. Each successor process must start with the stored floor, pick up a version
// that is put in force while both run from the shared state folder, and become the member once its predecessor has exited.
// Then a set of form 2 must come into force.
func TestRulesDuringUpgrade(t *testing.T) {
	program, old := buildCaperarch(t, "2"), buildCaperarch(t, "1")
	s := newCluster(t, 3)
	for _, m := range s.nodes {
		s.start(m, old)
	}
	s.updateRules(s.nodes[0], ruleSet(1, 1, 2))
	s.waitUntil("version 1 in force", inForce(1))
	for i, before := range slices.Clone(s.nodes) {
		after := *before
		after.config, after.console = "next.json", freeAddresses(t, 1)[0]
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
		s.waitUntil("the successor to have the floor", inForce(uint64(1+i)))
		s.updateRules(s.nodes[0], ruleSet(1, uint64(2+i), 1+i%2))
		s.waitUntil("both processes to have the next version", inForce(uint64(2+i)))
		_ = before.cmd.Process.Signal(syscall.SIGTERM) // can't fail: the process has not been waited for
		if err := before.cmd.Wait(); err != nil {
			t.Errorf("the old process exited with %v", err)
		}
		before.log.Close()
		before.cmd = nil
		s.nodes = slices.DeleteFunc(s.nodes, func(m *node) bool { return m == before })
	}
	s.updateRules(s.nodes[0], ruleSet(2, 9, 1))
	s.waitUntil("a rule set of form 2 in force", inForce(9))
}

// memberLine returns n3's line of a console's answer to show-members, or "".
func memberLine(m *node) string {
	var answer bytes.Buffer
	_ = call(&answer, m.console, []string{"show-members"})
	lines := strings.Split(answer.String(), "\n")
	i := slices.IndexFunc(lines, func(l string) bool { return strings.HasPrefix(l, "n3\t") })
	if i < 0 {
		return ""
	}
	return lines[i]
}
