package lab

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"arrowgw/internal/world"
)

const (
	readyTimeout           = 10 * time.Second       // a sidecar that is not ready by then has failed, where it is alone;
	readyTimeoutPerSidecar = 200 * time.Millisecond // with each other that starts beside it, it may take so much longer
	readyPollInterval      = 10 * time.Millisecond
	execRetryTime          = 2 * time.Second // another lab in this process may be starting one of its own, which holds the program open to be written until then
	stopTimeout            = 5 * time.Second // a sidecar told to stop has to end by then: the longest deadline, the linger, and room
	starvePeriod           = 200 * time.Millisecond
	consolePorts           = 50      // console ports, used in turn by a sidecar's processes
	logTailBytes           = 2 << 10 // of a log, for an error
	unprivilegedUser       = 65534   // whom sidecars run as where the lab is root: the platform has them as an ordinary user
)

// process is one process of a sidecar.
type process struct {
	sidecar      int
	ordinal      int // number among its sidecar's processes
	cmd          *exec.Cmd
	console      string
	log          string
	ended        chan struct{} // closed at its end
	endExpected  bool          // that it ends
	paused       bool
	bytesWritten float64      // bytes to disks
	calls        *callFaults  // nil: it is not under supervision
	readyAt      atomic.Int64 // when it was ready, by the run's clock; until then far ahead
}

// processes are all sidecars' processes.
type processes struct {
	clock    clock
	scenario *Scenario
	history  *History
	net      *subnet
	roster   *roster
	program  string
	dir      string // of this run
	logs     string
	record   *record
	seed     uint64
	starter  chan func() // runs on one thread, that lives as long as the lab: the processes die with it
	closed   sync.Once
	routes   func(sidecar int) map[string]string

	mu           sync.Mutex
	current      []*process // by sidecar; nil: none
	startCounts  []int
	all          []*process
	maxRSS       float64 // MiB
	maxTotalRSS  float64 // of all at once
	maxFDs       int
	bytesWritten float64       // bytes that all processes have written to disks, by the last looks at them
	cpu          time.Duration // of all that have ended
}

func newProcesses(s *Scenario, c clock, h *History, n *subnet, r *roster, program, dir, logs string, rec *record, seed uint64) *processes {
	p := &processes{
		clock: c, scenario: s, history: h, net: n, roster: r, program: program, dir: dir, logs: logs, record: rec, seed: seed,
		starter: make(chan func()), current: make([]*process, s.Fleet.Sidecars), startCounts: make([]int, s.Fleet.Sidecars),
		routes: func(int) map[string]string { return nil },
	}
	go func() {
		runtime.LockOSThread() // a process's death signal goes by the thread that made it
		for f := range p.starter {
			f()
		}
	}()
	return p
}

// stateDir is where a sidecar keeps its state.
func (p *processes) stateDir(sidecar int) string {
	return filepath.Join(p.dir, "state", strconv.Itoa(sidecar))
}

// writeConfig writes a sidecar's configuration for the process of that turn.
func (p *processes) writeConfig(sidecar, turn int) (path string, err error) {
	folder := filepath.Join(p.dir, "config")
	if err := errors.Join(os.MkdirAll(p.stateDir(sidecar), 0o755), os.MkdirAll(folder, 0o755)); err != nil {
		return "", err
	}
	if os.Getuid() == 0 {
		if err := os.Chown(p.stateDir(sidecar), unprivilegedUser, unprivilegedUser); err != nil {
			return "", err
		}
	}
	s := p.scenario
	file := map[string]any{
		"name": sidecarName(sidecar), "listen": p.net.address(sidecar, clientPort), "discovery": p.roster.address(sidecar),
		"console": p.net.address(sidecar, consolePort+turn%consolePorts),
		"seed":    strconv.FormatUint(rand.New(rand.NewPCG(p.seed, 5+uint64(sidecar)<<16+uint64(turn)<<40)).Uint64(), 16),
		"limits":  map[string]any{"cores": 1, "memory_mb": s.Fleet.MemoryMB, "sockets": s.Fleet.Sockets},
	}
	if sidecar < s.Fleet.Sidecars { // a hollow one asks for it: as many files of long lists would cost more than they tell
		file["known"] = p.roster.listing(sidecar, firstVersion, true, world.NewRoster(s.Fleet.Servers, firstVersion).Whole())
	}
	file["settings"] = p.settings(sidecar)
	routes := p.routes(sidecar)
	if s.Fleet.File != "" || len(routes) > 0 {
		text := s.Fleet.File + "\n[routes]\n"
		for name, address := range routes {
			text += fmt.Sprintf("%q = %q\n", name, address)
		}
		text = strings.NewReplacer(
			"{name}", sidecarName(sidecar), "{host}", p.net.host(sidecar), "{peer}", p.net.address(sidecar, peerPort), "{rules}", p.rulesFile(sidecar),
			"{seed0}", p.seedAddress(0), "{seed1}", p.seedAddress(1), "{seed2}", p.seedAddress(2),
		).Replace(text)
		fleet := filepath.Join(folder, fmt.Sprintf("%d.toml", sidecar))
		if err := os.WriteFile(fleet, []byte(text), 0o644); err != nil {
			return "", err
		}
		file["fleet"] = fleet
	}
	raw, err := json.Marshal(file)
	if err != nil {
		return "", err
	}
	path = filepath.Join(folder, fmt.Sprintf("%d-%d.json", sidecar, turn)) // a reload of the process before must not change it
	return path, os.WriteFile(path, raw, 0o644)
}

// rulesFile is where a sidecar has its rule set to push.
func (p *processes) rulesFile(sidecar int) string {
	return filepath.Join(p.dir, "config", fmt.Sprintf("%d.rules", sidecar))
}

// seedAddress is a sidecar as others can join by it without a route.
func (p *processes) seedAddress(sidecar int) string {
	return sidecarName(sidecar) + "/" + p.net.address(sidecar, peerPort)
}

// settings are the platform's settings object.
func (p *processes) settings(sidecar int) map[string]any {
	s := p.scenario
	var zones []string
	for z := range s.Fleet.Zones {
		zones = append(zones, zoneName(z))
	}
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	var classes, orgs []any
	mean := (&world.LoadSpec{Classes: s.classes()}).MeanWork().Seconds()
	for _, c := range s.classes() {
		word := map[world.Effect]string{world.Safe: "free", world.Keyed: "guarded", world.Unsafe: "single_shot"}[c.Effect]
		classes = append(classes, map[string]any{
			"name": c.Name, "aim_ms": ms(c.Aim), "hard_limit_ms": ms(c.Deadline), "semantics": word, "dedup_scope": "zone",
			"window_ms": ms(c.Window), "worth": c.Worth, "late_share": 0, "stream": false,
		})
	}
	for _, t := range tenants {
		orgs = append(orgs, map[string]any{
			"name": t.name, "share": t.share, "quota_per_s": t.share * s.Fleet.Quota * s.capacity() / mean,
		})
	}
	return map[string]any{
		"balancers": cmp.Or(s.Fleet.StatedSidecars, s.totalSidecars()), "me": sidecar, "zone": s.zoneOf(sidecar), "zones": zones, "period_ms": 2,
		"discovery": "ask", "weights": "nominal", "worth_by": "work",
		"caps": map[string]any{
			"conn_idle_ms": ms(serverIdleTimeout), "dial_timeout_ms": 75, "may_cancel": true, "most_tries": 6, "max_open": 26451,
			"max_retry_after_ms": 800, "probes": true, "retry_after": true, "second_copies": true, "peers": s.Fleet.Mesh,
		},
		"charges": map[string]any{"cross_zone": 0.03}, "client_habits": map[string]any{"marks_retry": true},
		"classes": classes, "orgs": orgs,
		"rules": map[string]any{
			"answer_slack_ms": 8, "ask_within_ms": 10_000, "cold_from": s.Server.ColdFrom, "cold_ms": ms(s.Server.ColdTime.Std()),
			"fall_multiple": s.Server.FallAt, "overload_for_ms": ms(s.Server.FallFor.Std()), "stop_sending_within_ms": ms(drainGrace),
		},
		"telemetry": map[string]any{"how": "silent", "columns": []string{}},
	}
}

func sidecarName(i int) string { return fmt.Sprintf("n%d", i) }

// start starts a sidecar's next process, and returns once it is ready. One that is not is an error that names it.
func (p *processes) start(sidecar int) (*process, error) {
	p.mu.Lock()
	turn := p.startCounts[sidecar]
	p.startCounts[sidecar]++
	p.mu.Unlock()
	config, err := p.writeConfig(sidecar, turn)
	if err != nil {
		return nil, err
	}
	q := &process{
		sidecar: sidecar, ordinal: turn, console: p.net.address(sidecar, consolePort+turn%consolePorts), ended: make(chan struct{}),
		log: filepath.Join(p.logs, fmt.Sprintf("%s-%d.log", sidecarName(sidecar), turn)),
	}
	q.readyAt.Store(math.MaxInt64)
	out, err := os.Create(q.log)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	born := p.clock.now()
	for end := born + execRetryTime; ; time.Sleep(time.Millisecond) {
		q.cmd = exec.Command(p.program)
		q.cmd.Dir, q.cmd.Stdout, q.cmd.Stderr = p.dir, out, out
		q.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+config, "TMPDIR="+p.stateDir(sidecar), "EDGE_LISTEN=", "EDGE_FLEET=")
		q.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
		if os.Getuid() == 0 && !p.scenario.Fleet.Supervised { // this program, which begins each supervised one, may be nobody else's to run
			q.cmd.SysProcAttr.Credential = &syscall.Credential{Uid: unprivilegedUser, Gid: unprivilegedUser}
		}
		err := p.runOnStarter(func() error { return p.startProcess(q) })
		if err == nil {
			break
		}
		if !errors.Is(err, syscall.ETXTBSY) || p.clock.now() > end {
			return nil, fmt.Errorf("sidecar %s: %w", sidecarName(sidecar), err)
		}
	}
	if err := p.record.add(q.cmd.Process.Pid); err != nil {
		_ = q.cmd.Process.Kill()
		return nil, err
	}
	p.mu.Lock()
	p.current[sidecar] = q
	p.all = append(p.all, q)
	p.mu.Unlock()
	go p.awaitExit(q)
	if err := p.waitReady(q); err != nil {
		return q, err
	}
	at := p.clock.now()
	q.readyAt.Store(int64(at))
	p.history.runs(sidecar, at, true)
	if turn > 0 {
		p.history.life(&p.history.started, span{sidecar, born, p.clock.now()})
	}
	return q, nil
}

// runOnStarter runs a function on the thread that lives as long as the lab.
func (p *processes) runOnStarter(f func() error) error {
	ended := make(chan error)
	p.starter <- func() { ended <- f() }
	return <-ended
}

// launch starts a program that dies with the lab.
func (p *processes) launch(cmd *exec.Cmd) error { return p.runOnStarter(cmd.Start) }

// begin starts a process, under supervision where the scenario wants that.
func (p *processes) startProcess(q *process) (err error) {
	if !p.scenario.Fleet.Supervised {
		return q.cmd.Start()
	}
	q.calls, err = startSupervised(q.cmd, p.seed+uint64(q.sidecar)<<16+uint64(q.ordinal)<<40, p.roster.servers.noteBrokenConnection)
	return err
}

// supervised says whether a process, which may be nil, is under supervision.
func (q *process) supervised() bool { return q != nil && q.calls != nil }

// disturb has a share of a process's system calls be disturbed.
func (q *process) setCallFaultShare(share float64) {
	if q.supervised() {
		q.calls.setShare(share)
	}
}

// failAccepts has all of a process's calls of accept fail, or none.
func (q *process) failAccepts(on bool) {
	if q.supervised() {
		q.calls.failAccepts(on)
	}
}

// stepClock sets a process's wall clock.
func (q *process) stepClock(by time.Duration) {
	if q.supervised() {
		q.calls.supervisor.StepClock(by)
	}
}

// violationsInLogs lists the breaches of invariants that sidecars have found themselves.
func (p *processes) violationsInLogs() (lines []string, err error) {
	logs, err := filepath.Glob(filepath.Join(p.logs, "*.log"))
	if err != nil {
		return nil, err
	}
	for _, path := range logs {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(raw)) {
			if strings.Contains(line, `msg="invariant violated"`) || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
				lines = append(lines, filepath.Base(path)+": "+strings.TrimSpace(line))
			}
		}
	}
	return lines, nil
}

// awaitExit sees a process to its end.
func (p *processes) awaitExit(q *process) {
	err := q.cmd.Wait()
	p.mu.Lock()
	p.cpu += q.cmd.ProcessState.UserTime() + q.cmd.ProcessState.SystemTime()
	wanted := q.endExpected
	last := p.current[q.sidecar] == q
	if last {
		p.current[q.sidecar] = nil
	}
	p.mu.Unlock()
	if last {
		p.history.runs(q.sidecar, p.clock.now(), false)
	}
	if !wanted {
		p.history.note(&p.history.ends, "at %v sidecar %s ended though nobody had told it to: %v; its log ends with: %s",
			p.clock.now(), sidecarName(q.sidecar), err, q.logTail())
	} else if status, _ := q.cmd.ProcessState.Sys().(syscall.WaitStatus); err != nil && !status.Signaled() {
		p.history.note(&p.history.ends, "at %v sidecar %s was told to stop and ended with %v; its log ends with: %s",
			p.clock.now(), sidecarName(q.sidecar), err, q.logTail())
	}
	close(q.ended)
}

// logTail is the end of a process's log.
func (q *process) logTail() string {
	f, err := os.Open(q.log)
	if err != nil {
		return err.Error()
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil && info.Size() > logTailBytes {
		_, _ = f.Seek(-logTailBytes, io.SeekEnd) // or it is all shown
	}
	raw, _ := io.ReadAll(f)
	return strings.TrimSpace(string(raw))
}

// waitReady waits until the process serves: its console says so, and it answers where clients connect.
func (p *processes) waitReady(q *process) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: readyTimeout}
	most := readyTimeout + time.Duration(p.scenario.Fleet.Sidecars)*readyTimeoutPerSidecar
	end := time.Now().Add(most)
	var last error
	for time.Now().Before(end) {
		select {
		case <-q.ended:
			return fmt.Errorf("sidecar %s ended before it was ready: %s", sidecarName(q.sidecar), q.logTail())
		case <-time.After(readyPollInterval):
		}
		answer, err := callConsole(q.console, "ready")
		if err != nil || !strings.HasPrefix(answer, "200") {
			last = fmt.Errorf("its console at %s: %q, %w", q.console, answer, err)
			continue
		}
		res, err := client.Get("http://" + p.net.address(q.sidecar, clientPort) + "/up")
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
			err = errors.New(res.Status)
		}
		last = err
	}
	return fmt.Errorf("sidecar %s is not ready after %v: %w; its log ends with: %s", sidecarName(q.sidecar), most, last, q.logTail())
}

// callConsole makes one call at a console.
func callConsole(address, line string) (string, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second)) // fails only on a closed one
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", err
	}
	answer, err := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(answer), err
}

// running is a sidecar's process of now, or nil.
func (p *processes) running(sidecar int) *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current[sidecar]
}

// kill ends a sidecar's process at once.
func (p *processes) kill(sidecar int) {
	q := p.running(sidecar)
	if q == nil {
		return
	}
	from := p.clock.now()
	p.mu.Lock()
	q.endExpected = true
	p.mu.Unlock()
	_ = q.cmd.Process.Kill() // it may have ended by itself
	<-q.ended
	p.history.life(&p.history.killed, span{sidecar, from, p.clock.now()})
}

// stop tells a process to stop and waits for its end.
func (p *processes) stop(q *process) {
	p.mu.Lock()
	q.endExpected = true
	p.mu.Unlock()
	_ = q.cmd.Process.Signal(syscall.SIGTERM) // it may have ended by itself
	select {
	case <-q.ended:
	case <-time.After(stopTimeout):
		p.history.note(&p.history.ends, "at %v sidecar %s goes on %v after it was told to stop", p.clock.now(), sidecarName(q.sidecar), stopTimeout)
		_ = q.cmd.Process.Kill()
		<-q.ended
	}
}

// setPaused stands a process still, or lets it go on; nil is none.
func (p *processes) setPaused(q *process, on bool) {
	if q == nil {
		return
	}
	sig := syscall.SIGCONT
	if on {
		sig = syscall.SIGSTOP
	}
	p.mu.Lock()
	q.paused = on
	last := p.current[q.sidecar] == q
	p.mu.Unlock()
	if last {
		p.history.runs(q.sidecar, p.clock.now(), !on)
	}
	_ = q.cmd.Process.Signal(sig) // it may have ended by itself
}

// starve takes a share of the time from a process, a piece in each starvePeriod, until the context ends.
func (p *processes) starve(ctx context.Context, sidecar int, share float64) {
	q := p.running(sidecar)
	if q == nil {
		return
	}
	still := time.Duration(min(share, 0.95) * float64(starvePeriod))
	for ctx.Err() == nil {
		_ = q.cmd.Process.Signal(syscall.SIGSTOP) // it may have ended by itself
		sleep(ctx, still)
		_ = q.cmd.Process.Signal(syscall.SIGCONT)
		sleep(ctx, starvePeriod-still)
	}
}

// upgrade starts a process beside the old one, which is told to stop once the new one is ready.
func (p *processes) upgrade(sidecar int) error {
	old := p.running(sidecar)
	if _, err := p.start(sidecar); err != nil {
		return err
	}
	if old != nil {
		p.stop(old)
	}
	return nil
}

// reload has a sidecar read its configuration again.
func (p *processes) reload(sidecar int) error {
	q := p.running(sidecar)
	if q == nil {
		return nil
	}
	if _, err := p.writeConfig(sidecar, q.ordinal); err != nil {
		return err
	}
	if q.mayReload(p.clock.now()) {
		_ = q.cmd.Process.Signal(syscall.SIGHUP) // it may have ended by itself
		return nil
	}
	go func() {
		for !q.mayReload(p.clock.now()) {
			select {
			case <-q.ended:
				return
			case <-time.After(readyPollInterval):
			}
		}
		_ = q.cmd.Process.Signal(syscall.SIGHUP)
	}()
	return nil
}

// reloadDelay is how long the platform sends no SIGHUP to a process that has become ready.
const reloadDelay = time.Second

// mayReload says whether the platform may tell a process to read its configuration again.
func (q *process) mayReload(now time.Duration) bool {
	born := q.readyAt.Load()
	return born != math.MaxInt64 && now >= time.Duration(born)+reloadDelay
}

// setFileSizeLimit bounds what files of a process may hold, in place of a disk that is full.
func (p *processes) setFileSizeLimit(sidecar int, bytes uint64) error {
	q := p.running(sidecar)
	if q == nil {
		return nil
	}
	limit := &unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	err := unix.Prlimit(q.cmd.Process.Pid, unix.RLIMIT_FSIZE, limit, nil)
	if !errors.Is(err, unix.EPERM) || os.Getuid() != 0 {
		return err
	}
	// A root without that right has to ask as the user that the sidecar runs as.
	cmd := exec.Command("prlimit", "--pid", strconv.Itoa(q.cmd.Process.Pid), fmt.Sprintf("--fsize=%d:", bytes))
	cmd.SysProcAttr = &syscall.SysProcAttr{Credential: &syscall.Credential{Uid: unprivilegedUser, Gid: unprivilegedUser}}
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("the file limit can't be set: %w: %s", err, out)
	}
	return nil
}

// damageState does to a state folder what the scenario wants.
func (p *processes) damageState(sidecar int, how string, rng *rand.Rand) error {
	dir := p.stateDir(sidecar)
	if how == "readonly" {
		return os.Chmod(dir, 0o555)
	}
	return filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || !d.Type().IsRegular() {
			return err
		}
		info, err := d.Info()
		if err != nil || info.Size() == 0 {
			return err
		}
		switch how {
		case "emptied":
			return os.Truncate(path, 0)
		case "truncated":
			return os.Truncate(path, info.Size()/2)
		case "flipped":
			raw, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			raw[rng.IntN(len(raw))] ^= 1 << rng.IntN(8)
			return os.WriteFile(path, raw, info.Mode())
		}
		return nil
	})
}

// sample looks at what the processes use, and notes limits that are passed.
func (p *processes) sample() {
	p.mu.Lock()
	live := make([]*process, 0, len(p.all))
	for _, q := range p.all {
		select {
		case <-q.ended:
		default:
			live = append(live, q)
		}
	}
	p.mu.Unlock()
	sum := 0.0
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.maxTotalRSS = max(p.maxTotalRSS, sum)
	}()
	for _, q := range live {
		rss, fds, ok := processUsage(q.cmd.Process.Pid)
		if !ok {
			continue // it has just ended
		}
		sum += rss
		p.mu.Lock()
		p.maxRSS, p.maxFDs = max(p.maxRSS, rss), max(p.maxFDs, fds)
		if now := diskBytesWritten(q.cmd.Process.Pid); now > q.bytesWritten {
			p.bytesWritten, q.bytesWritten = p.bytesWritten+now-q.bytesWritten, now
		}
		p.mu.Unlock()
		if rss > float64(p.scenario.Fleet.MemoryMB) {
			p.history.note(&p.history.over, "at %v sidecar %s has %.1f MiB of %d", p.clock.now(), sidecarName(q.sidecar), rss, p.scenario.Fleet.MemoryMB)
		}
		if fds > p.scenario.Fleet.Sockets {
			p.history.note(&p.history.over, "at %v sidecar %s has %d descriptors of %d", p.clock.now(), sidecarName(q.sidecar), fds, p.scenario.Fleet.Sockets)
		}
	}
}

// processUsage reads a process's memory in MiB and its descriptors.
func processUsage(pid int) (rss float64, fds int, ok bool) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, 0, false
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0, 0, false
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0, 0, false
	}
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return pages * float64(os.Getpagesize()) / (1 << 20), len(names), err == nil
}

// diskBytesWritten reads how many bytes a process has had written to disks; 0 where the kernel does not say.
func diskBytesWritten(pid int) (bytes float64) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "write_bytes: "); ok {
			bytes, _ = strconv.ParseFloat(strings.TrimSpace(value), 64) // 0 is the word for unknown here
		}
	}
	return bytes
}

// close ends all processes: gently, all at once, and then surely.
func (p *processes) close(ctx context.Context) {
	var ends sync.WaitGroup
	p.mu.Lock()
	all := append([]*process(nil), p.all...)
	p.mu.Unlock()
	for _, q := range all {
		select {
		case <-q.ended:
			continue
		default:
		}
		p.mu.Lock()
		paused := q.paused
		p.mu.Unlock()
		if paused {
			_ = q.cmd.Process.Signal(syscall.SIGCONT)
		}
		ends.Go(func() {
			stopped := make(chan struct{})
			go func() { p.stop(q); close(stopped) }()
			select {
			case <-stopped:
			case <-ctx.Done():
				_ = q.cmd.Process.Kill()
				<-stopped
			}
		})
	}
	ends.Wait()
	p.closed.Do(func() { close(p.starter) })
}
