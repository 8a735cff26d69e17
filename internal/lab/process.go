package lab

import (
	"bufio"
	"context"
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
)

const (
	readyTimeout           = 10 * time.Second       // for a sidecar that starts alone
	readyTimeoutPerSidecar = 200 * time.Millisecond // added for each sidecar of the fleet, as all may start at once
	readyPollInterval      = 10 * time.Millisecond
	execRetryTime          = 2 * time.Second // a child that another lab in this process forks may hold the program open for writing
	stopTimeout            = 5 * time.Second // covers the longest deadline and the sidecar's linger time
	starvePeriod           = 200 * time.Millisecond
	consolePorts           = 50      // ports that the processes of a sidecar take in turn
	logTailBytes           = 2 << 10 // of a log that an error quotes

	// User and group ID that sidecars run with if the lab is root, as the platform runs them as an ordinary user.
	unprivilegedUser = 65534
)

// process is one process of a sidecar. A sidecar has several, one after another or, in an upgrade, two at once.
type process struct {
	sidecar      int
	ordinal      int // number among the processes of its sidecar
	cmd          *exec.Cmd
	console      string        // address of its console
	log          string        // path of its log
	ended        chan struct{} // closed once it has ended
	endExpected  bool          // the lab has told it to stop or has killed it
	paused       bool
	bytesWritten float64      // to disks, as last sampled
	calls        *callFaults  // nil if it is not supervised
	readyAt      atomic.Int64 // when it became ready, by the run's clock; math.MaxInt64 before that
}

// processes starts and stops all processes of the sidecars and measures what they use.
type processes struct {
	clock    clock
	scenario *Scenario
	history  *History
	net      *subnet
	roster   *roster
	program  string
	dir      string // folder of the run
	logs     string // folder of the logs
	record   *processRecord
	seed     uint64
	callLog  *callLog // nil if disturbed calls are not logged

	// Functions to run on a thread that lives as long as the lab: a child is killed when the thread that started it
	// ends.
	starter chan func()

	closed sync.Once
	routes func(sidecar int) map[string]string // addresses at which a sidecar reaches its peers, by their names

	mu           sync.Mutex
	current      []*process // by sidecar; nil if none runs
	startCounts  []int      // processes started so far, by sidecar
	all          []*process
	maxRSS       float64       // MiB, of one process
	maxTotalRSS  float64       // MiB, of all processes at once
	maxFDs       int           // of one process
	bytesWritten float64       // by all processes to disks, as last sampled
	cpu          time.Duration // of all processes that have ended
}

// newProcesses starts the thread that starts all processes. program is the sidecar, dir the run's folder, and logs the
// folder of the logs.
func newProcesses(s *Scenario, c clock, h *History, n *subnet, r *roster, program, dir, logs string, rec *processRecord, seed uint64) *processes {
	p := &processes{
		clock: c, scenario: s, history: h, net: n, roster: r, program: program, dir: dir, logs: logs, record: rec, seed: seed,
		starter: make(chan func()), current: make([]*process, s.Fleet.Sidecars), startCounts: make([]int, s.Fleet.Sidecars),
		routes: func(int) map[string]string { return nil },
	}
	go func() {
		runtime.LockOSThread() // Pdeathsig is sent when the thread that started the process ends
		for f := range p.starter {
			f()
		}
	}()
	return p
}

// start starts a sidecar's next process and returns it once it is ready. If the process starts but does not become
// ready, both it and an error are returned.
func (p *processes) start(sidecar int) (*process, error) {
	p.mu.Lock()
	ordinal := p.startCounts[sidecar]
	p.startCounts[sidecar]++
	p.mu.Unlock()
	config, err := p.writeConfig(sidecar, ordinal)
	if err != nil {
		return nil, err
	}
	q := &process{
		sidecar: sidecar, ordinal: ordinal, console: p.net.address(sidecar, consolePort+ordinal%consolePorts), ended: make(chan struct{}),
		log: filepath.Join(p.logs, fmt.Sprintf("%s-%d.log", sidecarName(sidecar), ordinal)),
	}
	q.readyAt.Store(math.MaxInt64)
	logFile, err := os.Create(q.log)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	startedAt, replaces := p.clock.now(), p.running(sidecar) != nil
	for retryUntil := startedAt + execRetryTime; ; time.Sleep(time.Millisecond) {
		q.cmd = exec.Command(p.program)
		q.cmd.Dir, q.cmd.Stdout, q.cmd.Stderr = p.dir, logFile, logFile
		q.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+config, "TMPDIR="+p.stateDir(sidecar), "EDGE_LISTEN=", "EDGE_FLEET=")
		q.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
		// A supervised process is started by this program's executable, which another user may not be able to run.
		if os.Getuid() == 0 && !p.scenario.Fleet.Supervised {
			q.cmd.SysProcAttr.Credential = &syscall.Credential{Uid: unprivilegedUser, Gid: unprivilegedUser}
		}
		err := p.runOnStarter(func() error { return p.startProcess(q) })
		if err == nil {
			break
		}
		if !errors.Is(err, syscall.ETXTBSY) || p.clock.now() > retryUntil {
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
	p.history.recordProcess(sidecar, at, true)
	if replaces {
		p.history.addSpan(&p.history.upgrades, sidecarSpan{sidecar, startedAt, at + upgradeNewsDelay})
	}
	if ordinal > 0 {
		p.history.addSpan(&p.history.restarts, sidecarSpan{sidecar, startedAt, p.clock.now()})
	}
	return q, nil
}

// runOnStarter runs f on the thread that lives as long as the lab.
func (p *processes) runOnStarter(f func() error) error {
	ended := make(chan error)
	p.starter <- func() { ended <- f() }
	return <-ended
}

// launch starts a command on the thread that lives as long as the lab. With Pdeathsig in its SysProcAttr, its process
// is killed when the lab ends.
func (p *processes) launch(cmd *exec.Cmd) error { return p.runOnStarter(cmd.Start) }

// startProcess starts a process, supervised if the scenario asks for that.
func (p *processes) startProcess(q *process) (err error) {
	if !p.scenario.Fleet.Supervised {
		return q.cmd.Start()
	}
	calls := newCallFaults(p.seed+uint64(q.sidecar)<<16+uint64(q.ordinal)<<40, p.roster.servers.noteBrokenConnection)
	q.calls = calls
	return calls.start(q.cmd, p.callLog.observer(q))
}

// supervised reports whether the process is supervised. q may be nil.
func (q *process) supervised() bool { return q != nil && q.calls != nil }

// setCallFaultShare sets the share of the process's system calls that are disturbed.
func (q *process) setCallFaultShare(share float64) {
	if q.supervised() {
		q.calls.setShare(share)
	}
}

// failAccepts sets whether all of the process's accept calls fail.
func (q *process) failAccepts(on bool) {
	if q.supervised() {
		q.calls.failAccepts(on)
	}
}

// stepClock steps the process's wall clock.
func (q *process) stepClock(by time.Duration) {
	if q.supervised() {
		q.calls.supervisor.StepClock(by)
	}
}

// supervisionError returns an error if the supervision of any process failed, which would be no fault of the sidecar.
func (p *processes) supervisionError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var errs []error
	for _, q := range p.all {
		if !q.supervised() {
			continue
		}
		if err := q.calls.supervisor.Err(); err != nil {
			errs = append(errs, fmt.Errorf("the lab failed, not sidecar %s: %w", sidecarName(q.sidecar), err))
		}
	}
	return errors.Join(errs...)
}

// violationsInLogs returns the lines of the sidecars' logs that report a violated invariant or a crash.
func (p *processes) violationsInLogs() (found []guardViolation, err error) {
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
			violated := strings.Contains(line, `msg="invariant violated"`)
			if violated || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
				found = append(found, guardViolation{filepath.Base(path) + ": " + strings.TrimSpace(line), violated && strings.Contains(line, " timed=true")})
			}
		}
	}
	return found, nil
}

// awaitExit waits for the end of a process and notes in the history if that was unexpected.
func (p *processes) awaitExit(q *process) {
	err := q.cmd.Wait()
	p.mu.Lock()
	p.cpu += q.cmd.ProcessState.UserTime() + q.cmd.ProcessState.SystemTime()
	endExpected := q.endExpected
	isCurrent := p.current[q.sidecar] == q
	if isCurrent {
		p.current[q.sidecar] = nil
	}
	p.mu.Unlock()
	if isCurrent {
		p.history.recordProcess(q.sidecar, p.clock.now(), false)
	}
	if !endExpected {
		p.history.addFinding(&p.history.processFailures, "at %v sidecar %s ended unexpectedly: %v; its log ends with: %s",
			p.clock.now(), sidecarName(q.sidecar), err, q.logTail())
	} else if status, _ := q.cmd.ProcessState.Sys().(syscall.WaitStatus); err != nil && !status.Signaled() {
		p.history.addFinding(&p.history.processFailures, "at %v sidecar %s failed while stopping: %v; its log ends with: %s",
			p.clock.now(), sidecarName(q.sidecar), err, q.logTail())
	}
	close(q.ended)
}

// logTail returns the last logTailBytes of the process's log.
func (q *process) logTail() string {
	f, err := os.Open(q.log)
	if err != nil {
		return err.Error()
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil && info.Size() > logTailBytes {
		_, _ = f.Seek(-logTailBytes, io.SeekEnd) // if it fails, the whole log is returned
	}
	raw, _ := io.ReadAll(f)
	return strings.TrimSpace(string(raw))
}

// waitReady waits until the process serves: its console reports that it is ready, and it answers on its client address.
func (p *processes) waitReady(q *process) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: readyTimeout}
	limit := readyTimeout + time.Duration(p.scenario.Fleet.Sidecars)*readyTimeoutPerSidecar
	giveUpAt := time.Now().Add(limit)
	var lastErr error
	for time.Now().Before(giveUpAt) {
		select {
		case <-q.ended:
			return fmt.Errorf("sidecar %s ended before it was ready: %s", sidecarName(q.sidecar), q.logTail())
		case <-time.After(readyPollInterval):
		}
		answer, err := callConsole(q.console, "ready")
		if err != nil || !strings.HasPrefix(answer, "200") {
			lastErr = fmt.Errorf("console at %s: %q, %w", q.console, answer, err)
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
		lastErr = err
	}
	return fmt.Errorf("sidecar %s is not ready after %v: %w; its log ends with: %s", sidecarName(q.sidecar), limit, lastErr, q.logTail())
}

// callConsole sends one line to a console and returns the first line of the answer.
func callConsole(address, line string) (string, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second)) // fails only if it is closed
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", err
	}
	answer, err := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(answer), err
}

// running returns the sidecar's current process, or nil.
func (p *processes) running(sidecar int) *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current[sidecar]
}

// kill kills a sidecar's process and waits for its end.
func (p *processes) kill(sidecar int) {
	q := p.running(sidecar)
	if q == nil {
		return
	}
	from := p.clock.now()
	p.mu.Lock()
	q.endExpected = true
	p.mu.Unlock()
	_ = q.cmd.Process.Kill() // fails only if it has ended
	<-q.ended
	p.history.addSpan(&p.history.kills, sidecarSpan{sidecar, from, p.clock.now()})
}

// stop sends SIGTERM to a process and waits for its end. It kills the process after stopTimeout.
func (p *processes) stop(q *process) {
	p.mu.Lock()
	q.endExpected = true
	p.mu.Unlock()
	only, termAt := p.isOnly(q), p.clock.now()
	defer func() { p.recordStop(q, termAt, only) }()
	_ = q.cmd.Process.Signal(syscall.SIGTERM) // fails only if it has ended
	select {
	case <-q.ended:
	case <-time.After(stopTimeout):
		p.history.addFinding(&p.history.processFailures, "at %v sidecar %s still runs %v after SIGTERM", p.clock.now(), sidecarName(q.sidecar), stopTimeout)
		_ = q.cmd.Process.Kill()
		<-q.ended
	}
}

// setPaused stops a process with SIGSTOP or continues it. q may be nil.
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
	isCurrent := p.current[q.sidecar] == q
	p.mu.Unlock()
	if isCurrent {
		p.history.recordProcess(q.sidecar, p.clock.now(), !on)
	}
	_ = q.cmd.Process.Signal(sig) // fails only if it has ended
}

// starve takes a share of the running time from a process: it stops the process for part of each starvePeriod until the
// context ends.
func (p *processes) starve(ctx context.Context, sidecar int, share float64) {
	q := p.running(sidecar)
	if q == nil {
		return
	}
	stopped := time.Duration(min(share, 0.95) * float64(starvePeriod))
	for ctx.Err() == nil {
		_ = q.cmd.Process.Signal(syscall.SIGSTOP) // fails only if it has ended
		sleep(ctx, stopped)
		_ = q.cmd.Process.Signal(syscall.SIGCONT)
		sleep(ctx, starvePeriod-stopped)
	}
}

// upgrade starts a process next to the current one, which is stopped once the new one is ready.
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

// reload rewrites the configuration of a sidecar's process and sends it SIGHUP, as soon as the platform would.
func (p *processes) reload(sidecar int) error {
	q := p.running(sidecar)
	if q == nil {
		return nil
	}
	if _, err := p.writeConfig(sidecar, q.ordinal); err != nil {
		return err
	}
	if q.mayReload(p.clock.now()) {
		_ = q.cmd.Process.Signal(syscall.SIGHUP) // fails only if it has ended
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

// reloadDelay is how long after a process became ready the platform sends it no SIGHUP.
const reloadDelay = time.Second

// mayReload reports whether the platform may send SIGHUP to the process.
func (q *process) mayReload(now time.Duration) bool {
	born := q.readyAt.Load()
	return born != math.MaxInt64 && now >= time.Duration(born)+reloadDelay
}

// setFileSizeLimit bounds the size of files that a sidecar's process can write, to simulate a full disk.
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
	// Root without CAP_SYS_RESOURCE can change the limits of processes only as the user that they run as.
	cmd := exec.Command("prlimit", "--pid", strconv.Itoa(q.cmd.Process.Pid), fmt.Sprintf("--fsize=%d:", bytes))
	cmd.SysProcAttr = &syscall.SysProcAttr{Credential: &syscall.Credential{Uid: unprivilegedUser, Gid: unprivilegedUser}}
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("setting the file size limit: %w: %s", err, out)
	}
	return nil
}

// damageState changes the files of a sidecar's state folder as the fault's state says.
func (p *processes) damageState(sidecar int, damage string, rng *rand.Rand) error {
	dir := p.stateDir(sidecar)
	if damage == "readonly" {
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
		switch damage {
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

// close stops all processes at once, and kills those that still run when the context ends.
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
