package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"arrowgw/internal/conf"
	"arrowgw/internal/sysfault"
)

// TestMain lets the test program also run as a sidecar with a fault, or as a lab that the test kills.
func TestMain(m *testing.M) {
	sysfault.Launch()
	if ServeHollow() || RunBusyLoop() {
		return
	}
	switch {
	case os.Getenv("EDGE_CONFIG") != "":
		faultySidecar()
	case os.Getenv("LAB_TO_BE_KILLED") != "":
		s, err := ReadScenario("killed.toml", []byte("about='x'\nfor='60s'\n[fleet]\nsidecars=2\nservers=2\n[load]\nuse=0.1"))
		if err == nil {
			_, err = Play(context.Background(), s, Options{Seed: 1, Program: os.Args[0]})
		}
		fmt.Println(err)
	default:
		code := m.Run()
		if programDir != "" {
			_ = os.RemoveAll(programDir)
		}
		os.Exit(code)
	}
}

// faultySidecar is a sidecar that handles requests except for one fault, which the key wrong of its fleet file names.
func faultySidecar() {
	var cfg struct {
		Listen, Console, Discovery, Fleet string
		Known                             listingJSON
	}
	raw, _ := os.ReadFile(os.Getenv("EDGE_CONFIG"))
	_ = json.Unmarshal(raw, &cfg)
	var file struct {
		Wrong  string            `toml:"wrong"`
		Routes map[string]string `toml:"routes"`
	}
	if cfg.Fleet != "" {
		if err := conf.Read(cfg.Fleet, &file); err != nil {
			panic(err)
		}
	}
	fault := file.Wrong
	go func() { // it polls discovery but ignores what changes
		for ; ; time.Sleep(100 * time.Millisecond) {
			if res, err := http.Get("http://" + cfg.Discovery + "/discovery/hosts"); err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	console, err := net.Listen("tcp", cfg.Console)
	if err != nil {
		panic(err)
	}
	go func() {
		for {
			c, err := console.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(c).ReadString('\n')
			_, _ = io.WriteString(c, "200 yes\n") // confirms any command
			c.Close()
		}
	}()
	var requests atomic.Int64
	var allocated [][]byte
	began := time.Now()
	send := func(r *http.Request, server int, id string) (*http.Response, []byte) {
		req, _ := http.NewRequest(r.Method, "http://"+cfg.Known.Instances[server].HostPort+r.URL.String(), strings.NewReader("x"))
		req.Header = r.Header.Clone()
		req.Header.Set("X-Request-ID", id)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, nil
		}
		defer res.Body.Close()
		body, _ := io.ReadAll(res.Body)
		return res, body
	}
	serve := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/up" {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		i, id := int(requests.Add(1)), r.Header.Get("X-Request-ID")
		server := i % len(cfg.Known.Instances)
		affected := i%20 == 0
		if fault == "overloads" {
			server = 0 // all requests go to one server
		}
		if fault == "unknown id" && affected {
			send(r, server, "00000000ffffffff")
		}
		if fault == "sends twice" && affected {
			send(r, (server+1)%len(cfg.Known.Instances), id)
		}
		if fault == "leaks memory" && len(allocated) < 8 {
			allocated = append(allocated, bytes.Repeat([]byte{1}, 16<<20))
		}
		if fault == "exits" && time.Since(began) > time.Second {
			os.Exit(3)
		}
		res, body := send(r, server, id)
		switch {
		case res == nil:
			w.WriteHeader(http.StatusBadGateway)
		case fault == "loses answers" && affected:
			panic(http.ErrAbortHandler)
		case fault == "invents answers" && affected:
			_, _ = io.WriteString(w, "all is well")
		case fault == "refuses served" && affected && res.StatusCode == http.StatusOK:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			w.WriteHeader(res.StatusCode)
			_, _ = w.Write(body)
		}
	}
	var allocatedMu sync.Mutex // guards allocated
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		panic(err)
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if fault == "leaks memory" {
				allocatedMu.Lock()
				defer allocatedMu.Unlock()
			}
			serve(w, r)
		}))
	}()
	<-stop
	if fault == "ignores SIGTERM" {
		select {}
	}
	time.Sleep(300 * time.Millisecond)
}

// readScenario parses the text of a scenario.
func readScenario(t testing.TB, text string) *Scenario {
	t.Helper()
	s, err := ReadScenario("test.toml", []byte("about = 'a test'\n"+text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// playScenario plays a scenario and returns its result and the verdicts on the invariants that did not hold, by name.
func playScenario(t *testing.T, s *Scenario, o Options) (*Result, map[string]Verdict) {
	t.Helper()
	res, err := Play(t.Context(), s, o)
	if err != nil {
		t.Fatal(err)
	}
	broken := make(map[string]Verdict)
	for _, v := range res.Verdicts {
		if !v.Held {
			broken[v.Invariant] = v
		}
	}
	return res, broken
}

// Each invariant fails for a sidecar with the matching fault and for no other, and none fails for a correct sidecar.
func TestEachInvariantCanFail(t *testing.T) {
	for _, c := range []struct{ fault, breaks, faults string }{
		{"", "", ""},
		{"loses answers", "answered", ""},
		{"sends twice", "once", ""},
		{"invents answers", "honest", ""},
		{"refuses served", "honest", ""},
		{"unknown id", "known", ""},
		{"ignores console", "drains", "[[fault]]\nat='500ms'\ndo='out'\ntarget='0'"},
		{"ignores drain", "drains", "[[fault]]\nat='0s'\ndo='drain'\ntarget='0'"},
		{"overloads", "cold", "[[fault]]\nat='200ms'\ndo='crash'\ntarget='0'\nfor='300ms'"},
		{"leaks memory", "limits", ""},
		{"exits", "alive", ""},
		{"ignores SIGTERM", "alive", ""},
	} {
		t.Run(strings.TrimSpace(c.fault+" "+c.breaks), func(t *testing.T) {
			t.Parallel()
			s := readScenario(t, fmt.Sprintf(`for = "4s"
[fleet]
sidecars = 2
servers = 3
memory_mb = 100
file = "wrong = '%s'"
[load]
use = 0.9
retries = 0
[server]
fall_at = 1
choke_most = "0s"
room = 500
[discovery]
notice = "100ms"
%s`, c.fault, c.faults))
			if c.breaks == "" || c.breaks == "drains" || c.breaks == "cold" {
				s.Server.ColdCrashFactor = map[string]float64{"cold": 1}[c.breaks] // cold servers crash only in the case that tests it
			} else {
				s.Server.ColdCrashFactor = 0
			}
			res, broken := playScenario(t, s, Options{Seed: 1, Program: os.Args[0]})
			for name, v := range broken {
				if name != c.breaks && !(c.fault == "exits" && name == "answered") { // its open requests are lost when it exits
					t.Errorf("%s does not hold either: %v", name, v.Findings)
				}
			}
			v, found := broken[c.breaks]
			timed := c.breaks == "drains" || c.breaks == "cold"
			switch {
			case c.breaks == "" || timed && res.Late != "":
			case !found:
				t.Errorf("%s held, want it broken", c.breaks)
			case len(v.Findings) == 0 || len(v.Findings) > maxFindings:
				t.Errorf("%d findings are listed, want 1 to %d", len(v.Findings), maxFindings)
			}
		})
	}
}

// program builds the real sidecar, once, in the folder programDir.
var (
	programDir string
	program    = sync.OnceValues(func() (path string, err error) {
		if programDir, err = os.MkdirTemp("", "lab-test-"); err != nil {
			return "", err
		}
		return Build(programDir)
	})
)

func realProgram(t testing.TB) string {
	t.Helper()
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// All invariants hold for the real sidecar under load while sidecars are killed, paused and upgraded, and servers
// crash, fall silent, are replaced and are administratively disabled. The result can be read back.
func TestRealFleetUnderFaults(t *testing.T) {
	t.Parallel()
	s := readScenario(t, `for = "7s"
[fleet]
sidecars = 4
servers = 6
[load]
use = 0.4
[server]
cold_time = "3s"
[discovery]
notice = "300ms"
[[fault]]
at = "1s"
do = "kill"
target = "0"
for = "300ms"
[[fault]]
at = "1s"
do = "out"
target = "5"
for = "4s"
[[fault]]
at = "2s"
do = "pause"
target = "1"
for = "2s"
[[fault]]
at = "2500ms"
do = "crash"
target = "0-1"
for = "1s"
[[fault]]
at = "3s"
do = "replace"
target = "4"
for = "500ms"
[[fault]]
at = "3s"
do = "upgrade"
target = "2"
[[fault]]
at = "4s"
do = "silence"
target = "2"
for = "1s"
[[fault]]
at = "4500ms"
do = "move"
[[fault]]
at = "6500ms"
do = "silence"
target = "3"`)
	dir := t.TempDir()
	res, broken := playScenario(t, s, Options{Seed: 3, Program: realProgram(t), Out: dir})
	for name, v := range broken {
		t.Errorf("%s is broken %d times: %s", name, v.Broken, strings.Join(v.Findings, "\n"))
	}
	if res.Figures["served"] < 0.3 || res.Figures["requests"] < 300 { // the fleet served requests
		t.Errorf("figures %v", res.Figures)
	}
	if len(res.Sends) != 7 || slices.Max(res.Sends[6]) == 0 { // and so did the replacement server
		t.Errorf("sends %v", res.Sends)
	}
	again, err := ReadResults(dir)
	if err != nil || len(again) != 1 || !reflect.DeepEqual(again[0].Figures, res.Figures) {
		t.Errorf("read back: %v, error %v", again, err)
	}
	page, err := os.ReadFile(filepath.Join(dir, "report.html"))
	if err != nil || bytes.Count(page, []byte("<svg")) != 6 || !bytes.Contains(page, []byte("--seed 3")) {
		t.Errorf("the report has %d plots, error %v", bytes.Count(page, []byte("<svg")), err)
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "logs", "*.log")); len(left) != 6 { // four sidecars, one restart and one upgrade
		t.Errorf("logs: %v", left)
	}
}

func TestSameSeedSamePlan(t *testing.T) {
	s := readScenario(t, "[[fault]]\nat='1s'\ndo='kill'\ntarget='50%'\n[[fault]]\nat='0s'\ndo='slow'\nsize=2\ntarget='25%'")
	if !reflect.DeepEqual(s.Plan(4), s.Plan(4)) || !reflect.DeepEqual(s.arrivals(4), s.arrivals(4)) {
		t.Error("the same seed gives different plans or requests")
	}
	if plan := s.Plan(4); plan[0].Kind != "slow" || len(plan[1].Targets) != 2 {
		t.Errorf("plan %v", plan)
	}
	differs := false
	for seed := range uint64(20) {
		differs = differs || !reflect.DeepEqual(s.Plan(seed), s.Plan(4))
	}
	if !differs {
		t.Error("twenty seeds give the same plan")
	}
}

func TestUnusableScenarios(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"for='0s'", "for"},
		{"[fleet]\nsidecars=0", "fleet.sidecars"},
		{"hold=['sound']", "hold"},
		{"[[fault]]\nat='1s'\ndo='explode'", "explode"},
		{"[[fault]]\ndo='kill'\ntarget='0'", "fault[0].at"},
		{"[[fault]]\nat='1s'\ndo='kill'", "target"},
		{"[[fault]]\nat='1s'\ndo='kill'\ntarget='9'", `"9" is not a number from 0 to 3`},
		{"[[fault]]\nat='1s'\ndo='kill'\ntarget='3-1'", "range"},
		{"[[fault]]\nat='1s'\ndo='kill'\ntarget='0%'", "percentage"},
		{"[[fault]]\nat='1s'\ndo='slow'\ntarget='zone q'\nsize=2", "zone"},
		{"[[fault]]\nat='1s'\ndo='slow'\ntarget='0'", "needs a size"},
		{"[[fault]]\nat='30s'\ndo='kill'\ntarget='0'", "after the end"},
		{"[[fault]]\nat='1s'\ndo='cut'\ntarget='0'", "fleet.mesh"},
		{"[[fault]]\nat='1s'\ndo='burst'\nsize=2", "time (for)"},
		{"[[fault]]\nat='1s'\ndo='away'\ntarget='1'", "only one"},
	} {
		_, err := ReadScenario("f.toml", []byte("about='x'\n"+c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "f.toml") {
			t.Errorf("%q: error %v, want %q", c.text, err, c.want)
		}
	}
}

// A sidecar that does not become ready, or exits at once, is reported as an error that names it.
func TestSidecarsThatDoNotStart(t *testing.T) {
	t.Parallel()
	s := readScenario(t, "[fleet]\nsidecars=1\nservers=1\nfile=\"nonsense = 1\"")
	if _, err := Play(t.Context(), s, Options{Program: realProgram(t)}); err == nil || !strings.Contains(err.Error(), "n0") || !strings.Contains(err.Error(), "nonsense") {
		t.Errorf("error %v", err)
	}
	if _, err := Play(t.Context(), s, Options{Program: "/nonexistent"}); err == nil {
		t.Error("a program that does not exist was accepted")
	}
	tooLarge := readScenario(t, "[fleet]\nsidecars=400\nservers=400\n[load]\nuse=5")
	if _, err := Play(t.Context(), tooLarge, Options{}); err == nil || !strings.Contains(err.Error(), "descriptors") {
		t.Errorf("error %v", err)
	}
}

// When a lab is killed, its processes end with it. The next lab removes its folder, and kills no process whose ID is in
// the record but whose start time is not.
func TestKilledLabLeavesNothing(t *testing.T) {
	tmp := t.TempDir()
	if err := os.Chmod(tmp, 0o755); err != nil {
		t.Fatal(err)
	}
	t.Setenv("TMPDIR", tmp)
	for dir := tmp; dir != "/"; dir = filepath.Dir(dir) {
		_ = os.Chmod(dir, 0o755) // sidecars may run as another user and need access
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "LAB_TO_BE_KILLED=1")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	recordedProcesses := func() (lines []string) {
		names, _ := filepath.Glob(filepath.Join(runsDir(), "run-*", recordFile))
		for _, name := range names {
			raw, _ := os.ReadFile(name)
			lines = append(lines, strings.Fields(strings.ReplaceAll(string(raw), " ", ":"))...)
		}
		return lines
	}
	waitUntil := func(what string, holds func() bool) {
		t.Helper()
		for end := time.Now().Add(time.Minute); !holds(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("timed out waiting until %s", what)
			}
		}
	}
	waitUntil("its sidecars start", func() bool { return len(recordedProcesses()) == 3 })
	lines := recordedProcesses()
	if swept, err := Sweep(); err != nil || len(swept) > 0 {
		t.Errorf("a running lab was swept: %v, error %v", swept, err)
	}
	bystander := exec.Command("sleep", "60") // its ID is in the record with another start time
	if err := bystander.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = bystander.Process.Kill(); _ = bystander.Wait() }()
	names, _ := filepath.Glob(filepath.Join(runsDir(), "run-*", recordFile))
	f, err := os.OpenFile(names[0], os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(f, "%d 1\n", bystander.Process.Pid)
	f.Close()
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	waitUntil("its sidecars end with it", func() bool {
		for _, line := range lines {
			pid, start, _ := strings.Cut(line, ":")
			var n int
			_, _ = fmt.Sscan(pid, &n)
			if now, err := processStartTime(n); err == nil && now == start {
				return false
			}
		}
		return true
	})
	if swept, err := Sweep(); err != nil || len(swept) != 1 {
		t.Errorf("swept %v, error %v", swept, err)
	}
	if left, _ := filepath.Glob(filepath.Join(runsDir(), "run-*")); len(left) > 0 {
		t.Errorf("folders left: %v", left)
	}
	if bystander.ProcessState != nil || syscall.Kill(bystander.Process.Pid, 0) != nil {
		t.Error("a process that is not the lab's was killed")
	}
}
