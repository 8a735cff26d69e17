package lab

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/rpc"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"arrowgw/internal/meter"
)

// Hollow sidecars run the control plane alone (sidecar.Hollow). Many of them run in each worker process, which is the lab's own
// program. They form one fleet with the whole sidecars, which are processes of the real program, and are numbered after them.
// Without fleet.mesh all reach each other directly, at their own addresses.
const (
	maxHollow            = 10_000
	maxHollowPerWorker   = 1000 // because each has several descriptors
	maxProcesses         = 300  // whole sidecars and workers together, where there are hollow sidecars
	agreementTimeout     = 30 * time.Second
	workerCallTimeout    = 20 * time.Second
	agreementInterval    = 250 * time.Millisecond
	statusInterval       = 25 * time.Millisecond
	statusTimeout        = 20 * time.Second // for a kill to be noticed, a push to be in force or lists to be received at all; then the time counts as unknown
	hollowRequestRate    = 142              // per second, as each hollow sidecar reports: the planned requests of one sidecar
	bytesPerHollow       = 1 << 20          // approximate memory of a hollow sidecar
	bytesPerMember       = 1 << 10          // more for each member of the fleet
	bytesPerListedServer = 1 << 10          // more for each server in the list
	bytesPerWhole        = 17 << 20         // approximate memory of a whole sidecar
	workerLogPrefix      = "holder"         // start of the names of workers' log files
)

// checkHollowSize checks that the hollow sidecars of a scenario fit on this machine.
func (s *Scenario) checkHollowSize() error {
	memory, err := machineMemory()
	if err != nil {
		return err
	}
	return s.checkHollowFits(memory)
}

// checkHollowFits is checkHollowSize for a machine with the given memory in bytes.
func (s *Scenario) checkHollowFits(memory int64) error {
	n := s.Fleet.Hollow
	if n == 0 {
		return nil
	}
	place := s.file // file and line of the key
	if line := s.keyLines["fleet.hollow"]; line > 0 {
		place = fmt.Sprintf("%s:%d", s.file, line)
	}
	need := int64(n)*int64(bytesPerHollow+bytesPerMember*s.totalSidecars()+bytesPerListedServer*s.Fleet.Servers) + int64(s.Fleet.Sidecars)*bytesPerWhole
	switch processes := s.Fleet.Sidecars + (n+maxHollowPerWorker-1)/maxHollowPerWorker; {
	case need > memory/2:
		return fmt.Errorf("%s: key \"fleet.hollow\" is %d: about %d MiB are needed; %d, half of this machine's memory, are allowed", place, n, need>>20, memory>>21)
	case processes > maxProcesses:
		return fmt.Errorf("%s: key \"fleet.hollow\" is %d: %d processes are needed for it and the whole sidecars; %d are allowed", place, n, processes, maxProcesses)
	case s.Fleet.Mesh && s.totalSidecars() > 400:
		return fmt.Errorf("%s: key \"fleet.hollow\" is %d: at most 400 sidecars, whole and hollow, are allowed with fleet.mesh", place, n)
	}
	return nil
}

// machineMemory returns the machine's memory in bytes.
func machineMemory() (int64, error) {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0, err
	}
	return int64(info.Totalram) * int64(info.Unit), nil
}

// workerProcess is a worker process, as the lab that started it sees it.
type workerProcess struct {
	cmd      *exec.Cmd
	client   *rpc.Client
	from, to int           // numbers of its hollow sidecars; to is excluded
	baseRSS  float64       // resident memory in MiB before the first hollow sidecar
	closed   chan struct{} // closed when the lab ends it
}

// hollowGroup manages all hollow sidecars of a run and the workers that run them.
type hollowGroup struct {
	run         *run
	ctx         context.Context // of the run
	workers     []*workerProcess
	lateReasons []string // why measured times of workers are unreliable

	mu           sync.Mutex
	rulesVersion uint64               // of the rule set that was pushed last
	measurements map[string][]float64 // by figure, one value for each time that it was measured
	restReadings [2]*usageReading     // at the start, and at the first fault or the end of the run
}

// startHollow starts the workers and all hollow sidecars, and waits for at most agreementTimeout until all see the same
// members and report that they agree.
func (r *run) startHollow(ctx context.Context) (err error) {
	h := &hollowGroup{run: r, ctx: ctx, measurements: make(map[string][]float64)}
	r.hollow = h
	s := r.scenario
	if s.Fleet.Hollow == 0 {
		return nil
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	for from := s.Fleet.Sidecars; from < s.totalSidecars(); from += maxHollowPerWorker {
		worker, err := h.startWorker(program, from, min(from+maxHollowPerWorker, s.totalSidecars()))
		if err != nil {
			return err
		}
		h.workers = append(h.workers, worker)
	}
	began := time.Now()
	err = h.eachWorker(func(worker *workerProcess) error {
		var specs []HollowSpec
		for i := worker.from; i < worker.to; i++ {
			config, err := r.processes.writeConfig(i, 0)
			if err != nil {
				return err
			}
			specs = append(specs, HollowSpec{i, config, r.processes.stateDir(i), hollowRequestRate})
		}
		return h.call(worker, "Hold.Start", specs, &struct{}{})
	})
	if err != nil {
		return err
	}
	started := time.Now()
	for i := s.Fleet.Sidecars; i < s.totalSidecars(); i++ {
		r.history.recordProcess(i, r.clock.now(), true)
	}
	h.addMeasurement("hollow_started_s", started.Sub(began).Seconds())
	allSeen := false
	for time.Since(started) < agreementTimeout && ctx.Err() == nil {
		status, err := h.queryStatus(StatusRequest{Members: true})
		if err != nil {
			return err
		}
		if !allSeen && status.Least == s.totalSidecars() {
			allSeen = true
			h.addMeasurement("hollow_see_all_s", time.Since(started).Seconds())
		}
		if allSeen && status.Least == status.Most && status.Agreed == status.Running && len(status.Views) == 1 {
			h.addMeasurement("hollow_agree_s", time.Since(started).Seconds())
			return h.collectLateness(time.Since(began), "start")
		}
		sleep(ctx, agreementInterval)
	}
	if !strings.Contains(s.Fleet.File, "[member]") {
		return ctx.Err()
	}
	h.lateReasons = append(h.lateReasons, fmt.Sprintf("hollow sidecars were not of one mind %v after the last had started", agreementTimeout))
	return errors.Join(ctx.Err(), h.collectLateness(time.Since(began), "start"))
}

// startWorker starts a worker process for the hollow sidecars from one number up to but not including another.
func (h *hollowGroup) startWorker(program string, from, to int) (*workerProcess, error) {
	p := h.run.processes
	log, err := os.Create(filepath.Join(p.logs, fmt.Sprintf("%s-%d.log", workerLogPrefix, from)))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	worker := &workerProcess{from: from, to: to, closed: make(chan struct{})}
	worker.cmd = exec.Command(program)
	worker.cmd.Dir, worker.cmd.Stderr = p.dir, log
	worker.cmd.Env = append(os.Environ(), workerEnv+"=1")
	worker.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	in, err := worker.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := worker.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	started := make(chan error)
	p.starter <- func() { started <- worker.cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("worker of hollow sidecars: %w", err)
	}
	if err := p.record.add(worker.cmd.Process.Pid); err != nil {
		return nil, errors.Join(err, worker.cmd.Process.Kill())
	}
	worker.client = rpc.NewClient(struct {
		io.Reader
		io.WriteCloser
	}{out, in})
	var status StatusReply
	if err := h.call(worker, "Hold.Look", StatusRequest{}, &status); err != nil {
		return nil, errors.Join(fmt.Errorf("worker of hollow sidecars: %w", err), worker.cmd.Process.Kill())
	}
	worker.baseRSS, _, _ = processUsage(worker.cmd.Process.Pid)
	return worker, nil
}

// close ends all workers.
func (h *hollowGroup) close() {
	if h == nil {
		return
	}
	for _, worker := range h.workers {
		select {
		case <-worker.closed:
			continue
		default:
		}
		close(worker.closed)
		worker.client.Close()
		_ = worker.cmd.Process.Kill() // fails if it has already ended
		_ = worker.cmd.Wait()         // returns an error, because the worker was killed
	}
}

// call calls a method of a worker. It returns an error when the run ends, or after workerCallTimeout, because an overloaded
// worker may answer late or never.
func (h *hollowGroup) call(worker *workerProcess, method string, args, reply any) error {
	c := worker.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-c.Done:
		return c.Error
	case <-h.ctx.Done():
		return h.ctx.Err()
	case <-time.After(workerCallTimeout):
		return fmt.Errorf("a worker of hollow sidecars has not answered %s for %v: this machine is too slow for so many of them", method, workerCallTimeout)
	}
}

// eachWorker calls a function for all workers concurrently, and returns all errors.
func (h *hollowGroup) eachWorker(do func(worker *workerProcess) error) error {
	errs := make(chan error, len(h.workers))
	for _, worker := range h.workers {
		go func() { errs <- do(worker) }()
	}
	var bad []error
	for range h.workers {
		bad = append(bad, <-errs)
	}
	return errors.Join(bad...)
}

// queryStatus returns the summary of all hollow sidecars.
func (h *hollowGroup) queryStatus(q StatusRequest) (all StatusReply, err error) {
	var mu sync.Mutex
	all.Views = make(map[uint64]int)
	first := true
	err = h.eachWorker(func(worker *workerProcess) error {
		var status StatusReply
		if err := h.call(worker, "Hold.Look", q, &status); err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		if status.Running > 0 {
			if first || status.Least < all.Least {
				all.Least = status.Least
			}
			first = false
		}
		all.Running, all.See, all.InForce, all.Agreed = all.Running+status.Running, all.See+status.See, all.InForce+status.InForce, all.Agreed+status.Agreed
		all.Whole, all.Failed, all.Most = all.Whole+status.Whole, all.Failed+status.Failed, max(all.Most, status.Most)
		all.Refused = cmp.Or(status.Refused, all.Refused)
		for view, n := range status.Views {
			all.Views[view] += n
		}
		return nil
	})
	return all, err
}

// collectLateness asks the workers whether their timers were late since the previous call, length ago. what names that part
// of the run in the reasons.
func (h *hollowGroup) collectLateness(length time.Duration, what string) error {
	return h.eachWorker(func(worker *workerProcess) error {
		var why string
		if err := h.call(worker, "Hold.Lateness", length, &why); err != nil {
			return err
		}
		if why != "" {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.lateReasons = append(h.lateReasons, fmt.Sprintf("%s, of hollow sidecars: %s", what, why))
		}
		return nil
	})
}

// addMeasurement adds a value to the measurements of a figure.
func (h *hollowGroup) addMeasurement(figure string, value float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.measurements[figure] = append(h.measurements[figure], value)
}

// workerOf returns the worker that runs a sidecar; nil for a whole sidecar.
func (h *hollowGroup) workerOf(sidecar int) *workerProcess {
	for _, worker := range h.workers {
		if sidecar >= worker.from && sidecar < worker.to {
			return worker
		}
	}
	return nil
}

// endSidecar ends a hollow sidecar, gracefully or abruptly.
func (h *hollowGroup) endSidecar(sidecar int, graceful bool) error {
	err := h.call(h.workerOf(sidecar), "Hold.End", EndRequest{sidecar, graceful}, &struct{}{})
	h.run.history.recordProcess(sidecar, h.run.clock.now(), false)
	return err
}

// restartSidecar starts a hollow sidecar that has ended.
func (h *hollowGroup) restartSidecar(sidecar int) error {
	p := h.run.processes
	config, err := p.writeConfig(sidecar, 0)
	if err != nil {
		return err
	}
	spec := []HollowSpec{{sidecar, config, p.stateDir(sidecar), hollowRequestRate}}
	if err := h.call(h.workerOf(sidecar), "Hold.Start", spec, &struct{}{}); err != nil {
		return err
	}
	h.run.history.recordProcess(sidecar, h.run.clock.now(), true)
	return nil
}

// measureLoss measures the time from a moment until the first and until the last of the hollow sidecars stops listing a
// member as present.
func (h *hollowGroup) measureLoss(ctx context.Context, sidecar int, from time.Time) error {
	noticed := false
	for time.Since(from) < statusTimeout {
		status, err := h.queryStatus(StatusRequest{Name: sidecarName(sidecar)})
		if err != nil {
			return err
		}
		if !noticed && status.See < status.Running {
			noticed = true
			h.addMeasurement("kill_first_s", time.Since(from).Seconds())
		}
		if status.See == 0 {
			h.addMeasurement("kill_all_s", time.Since(from).Seconds())
			return nil
		}
		if !sleep(ctx, statusInterval) {
			return nil
		}
	}
	h.addMeasurement("kill_unknown", 1)
	return nil
}

// pushRules has a sidecar push the next rule set, of at least size bytes, and measures how long it takes until the set is in
// force at all sidecars.
func (h *hollowGroup) pushRules(ctx context.Context, sidecar int, size int) error {
	h.mu.Lock()
	h.rulesVersion++
	version := h.rulesVersion
	h.mu.Unlock()
	p := h.run.processes
	text := fmt.Sprintf("form = 1\nversion = %d\nattempts = %d\n", version, 2+version%3)
	if pad := size - len(text) - 3; pad > 0 {
		text += "# " + strings.Repeat("x", pad) + "\n"
	}
	if err := os.WriteFile(p.rulesFile(sidecar), []byte(text), 0o644); err != nil {
		return err
	}
	before, err := h.readUsage(false)
	if err != nil {
		return err
	}
	from := time.Now()
	if worker := h.workerOf(sidecar); worker != nil {
		err = h.call(worker, "Hold.ReadRules", sidecar, &struct{}{})
	} else if q := p.running(sidecar); q != nil {
		err = q.cmd.Process.Signal(syscall.SIGHUP)
	}
	if err != nil {
		return err
	}
	for time.Since(from) < statusTimeout {
		status, err := h.queryStatus(StatusRequest{Version: version})
		if err != nil {
			return err
		}
		if status.InForce == status.Running && h.inForceAtWhole(version) {
			took := time.Since(from)
			h.addMeasurement("push_s", took.Seconds())
			after, err := h.readUsage(false)
			if err != nil {
				return err
			}
			h.addPushUsage(before, after)
			return nil
		}
		if !sleep(ctx, statusInterval) {
			h.addMeasurement("push_unknown", 1)
			return nil
		}
	}
	status, err := h.queryStatus(StatusRequest{Version: version})
	h.addMeasurement("push_unknown", 1)
	h.addMeasurement("push_missed", float64(status.Running-status.InForce))
	h.run.history.addFinding(&h.run.history.processFailures, "version %d is in force at %d of %d hollow sidecars %v after its push; refused: %s",
		version, status.InForce, status.Running, statusTimeout, cmp.Or(status.Refused, "none"))
	return err
}

// inForceAtWhole reports whether a version of the rules, or a later one, is in force at all whole sidecars that run.
func (h *hollowGroup) inForceAtWhole(version uint64) bool {
	for i := range h.run.scenario.Fleet.Sidecars {
		if q := h.run.processes.running(i); q != nil {
			stat, err := queryStats(q.console)
			if err != nil || stat["app.rules_version"] < float64(version) {
				return false
			}
		}
	}
	return true
}

// measureLists calls move, which changes discovery's address, sends the new address to the hollow sidecars, and measures the
// time until each has received a whole list again.
func (h *hollowGroup) measureLists(ctx context.Context, move func() error) error {
	if len(h.workers) == 0 {
		return move()
	}
	before, err := h.queryStatus(StatusRequest{})
	if err != nil {
		return err
	}
	useBefore, err := h.readUsage(false)
	if err != nil {
		return err
	}
	from := time.Now()
	if err := move(); err != nil {
		return err
	}
	err = h.eachWorker(func(worker *workerProcess) error {
		to := make(map[int]string)
		for i := worker.from; i < worker.to; i++ {
			to[i] = h.run.roster.address(i)
		}
		return h.call(worker, "Hold.Move", to, &struct{}{})
	})
	if err != nil {
		return err
	}
	for time.Since(from) < statusTimeout {
		status, err := h.queryStatus(StatusRequest{})
		if err != nil {
			return err
		}
		if status.Whole-before.Whole >= status.Running {
			h.addMeasurement("lists_s", time.Since(from).Seconds())
			h.addMeasurement("lists_failed", float64(status.Failed-before.Failed))
			after, err := h.readUsage(false)
			if err != nil {
				return err
			}
			in, out := after.meanBytesSince(useBefore, meter.Discovery, false)
			h.addMeasurement("lists_in_bytes", in)
			h.addMeasurement("lists_out_bytes", out)
			return nil
		}
		if !sleep(ctx, statusInterval) {
			break
		}
	}
	h.addMeasurement("lists_unknown", 1)
	return nil
}

// usageReading holds the resources that the fleet has used up to a moment.
type usageReading struct {
	at          time.Time
	traffic     map[int]meter.Traffic // by sidecar
	cpu         map[int]time.Duration // by whole sidecar
	workerCPU   time.Duration         // of all workers
	rulesHolder int                   // the whole sidecar that holds the duty for rules; -1: no whole sidecar does
	rss         float64               // MiB of all workers, without what they used before their first hollow sidecar
	heap        float64               // MiB of all workers, where collect was set
	running     int                   // hollow sidecars
	goroutines  float64               // of all workers
}

// readUsage reads what the fleet has used so far. With collect, workers collect garbage first and measure their heaps.
func (h *hollowGroup) readUsage(collect bool) (*usageReading, error) {
	r := &usageReading{at: time.Now(), traffic: make(map[int]meter.Traffic), cpu: make(map[int]time.Duration), rulesHolder: -1}
	var mu sync.Mutex
	err := h.eachWorker(func(worker *workerProcess) error {
		var used UsageReply
		if err := h.call(worker, "Hold.Report", collect, &used); err != nil {
			return err
		}
		rss, _, _ := processUsage(worker.cmd.Process.Pid)
		mu.Lock()
		defer mu.Unlock()
		for i, t := range used.Traffic {
			r.traffic[i] = t
		}
		r.running += len(used.Traffic)
		r.workerCPU += used.CPU
		r.rss += rss - worker.baseRSS
		r.heap += float64(used.Heap) / (1 << 20)
		r.goroutines += float64(used.Goroutines)
		return nil
	})
	if err != nil {
		return nil, err
	}
	for i := range h.run.scenario.Fleet.Sidecars {
		q := h.run.processes.running(i)
		if q == nil {
			continue
		}
		stat, err := queryStats(q.console)
		if err != nil {
			continue // the process has just ended, or is paused
		}
		r.traffic[i], r.cpu[i] = trafficOf(stat), processCPU(q.cmd.Process.Pid)
		if stat["app.duty_token.rules"] > 0 {
			r.rulesHolder = i
		}
	}
	return r, nil
}

// meanBytesSince returns the bytes that went through sockets since before for one kind of traffic, as the mean over the whole
// or the hollow sidecars.
func (r *usageReading) meanBytesSince(before *usageReading, k meter.Kind, whole bool) (in, out float64) {
	n := 0.0
	for i, t := range r.traffic {
		old, ok := before.traffic[i]
		if _, isWhole := r.cpu[i]; !ok || isWhole != whole {
			continue
		}
		since := t.Sub(old)
		in, out, n = in+float64(since.In[k].Bytes), out+float64(since.Out[k].Bytes), n+1
	}
	return in / max(1, n), out / max(1, n)
}

// addPushUsage adds what a push cost: the holder of the duty, and the hollow sidecars on average.
func (h *hollowGroup) addPushUsage(before, after *usageReading) {
	in, out := after.meanBytesSince(before, meter.Rules, false)
	h.addMeasurement("push_each_in", in)
	h.addMeasurement("push_each_out", out)
	i := after.rulesHolder
	if old, ok := before.traffic[i]; ok && before.rulesHolder == i {
		since := after.traffic[i].Sub(old)
		h.addMeasurement("push_holder_in", float64(since.In[meter.Rules].Bytes))
		h.addMeasurement("push_holder_out", float64(since.Out[meter.Rules].Bytes))
		h.addMeasurement("push_holder_conns", float64(since.Out[meter.Rules].Units))
		h.addMeasurement("push_holder_cpu_s", (after.cpu[i] - before.cpu[i]).Seconds())
	}
}

// readAtRest reads the usage at the start of the period without faults, or with end at its end. Only the first call for each
// has an effect.
func (h *hollowGroup) readAtRest(end bool) error {
	h.mu.Lock()
	readings := h.restReadings
	h.mu.Unlock()
	if len(h.workers) == 0 || end == (readings[0] == nil) || readings[1] != nil {
		return nil
	}
	r, err := h.readUsage(end)
	if err == nil && end {
		err = h.collectLateness(time.Since(readings[0].at), "at rest")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if end {
		h.restReadings[1] = r
	} else {
		h.restReadings[0] = r
	}
	return err
}

// addFigures adds the figures of hollow sidecars: the median, minimum and maximum of each measurement, and what sidecars of
// both kinds used at rest.
func (h *hollowGroup) addFigures(f map[string]float64) {
	for name, all := range h.measurements {
		s := distributionOf(all)
		f[name] = s.median
		if len(all) > 1 {
			f[name+"_least"], f[name+"_most"], f[name+"_n"] = slices.Min(all), slices.Max(all), float64(len(all))
		}
	}
	a, b := h.restReadings[0], h.restReadings[1]
	if a == nil || b == nil {
		return
	}
	seconds := b.at.Sub(a.at).Seconds()
	f["rest_s"] = seconds
	for who, whole := range map[string]bool{"hollow": false, "whole": true} {
		var sums []float64
		var total meter.Traffic
		for i, t := range b.traffic {
			old, ok := a.traffic[i]
			if _, isWhole := b.cpu[i]; !ok || isWhole != whole {
				continue
			}
			since, sum := t.Sub(old), int64(0)
			total = total.Add(since)
			for k := range since.In {
				sum += since.In[k].Bytes + since.Out[k].Bytes
			}
			sums = append(sums, float64(sum)/seconds)
		}
		if len(sums) == 0 {
			continue
		}
		slices.Sort(sums)
		per := 1 / seconds / float64(len(sums))
		for k, name := range meter.KindNames {
			f["rest_"+who+"_in_"+name], f["rest_"+who+"_out_"+name] = float64(total.In[k].Bytes)*per, float64(total.Out[k].Bytes)*per
		}
		f["rest_"+who+"_packets_in"], f["rest_"+who+"_packets_out"] = float64(total.In[meter.Packets].Units)*per, float64(total.Out[meter.Packets].Units)*per
		f["rest_"+who+"_bytes_p50"], f["rest_"+who+"_bytes_p99"] = sums[len(sums)/2], sums[int(math.Ceil(0.99*float64(len(sums))))-1]
		f["rest_"+who+"_bytes_most"] = sums[len(sums)-1]
	}
	f["rest_hollow_cores"] = (b.workerCPU - a.workerCPU).Seconds() / seconds / float64(max(1, b.running))
	whole := 0.0
	for i, cpu := range b.cpu {
		used := (cpu - a.cpu[i]).Seconds() / seconds
		whole += used / float64(len(b.cpu))
		if i == b.rulesHolder {
			f["rest_holder_cores"] = used
		}
	}
	f["rest_whole_cores"] = whole
	f["hollow_rss_mib"], f["hollow_heap_mib"] = b.rss/float64(max(1, b.running)), b.heap/float64(max(1, b.running))
	f["hollow_goroutines"], f["hollow"] = b.goroutines/float64(max(1, b.running)), float64(b.running)
}

// queryStats asks a console for its figures.
func queryStats(console string) (map[string]float64, error) {
	c, err := net.DialTimeout("tcp", console, consoleTimeout)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(consoleTimeout)) // fails only on a closed connection
	if _, err := io.WriteString(c, "show-stat\n"); err != nil {
		return nil, err
	}
	all := make(map[string]float64)
	for lines := bufio.NewScanner(c); lines.Scan(); {
		if lines.Text() == "EOF" {
			return all, nil
		}
		name, value, _ := strings.Cut(lines.Text(), "=")
		if all[name], err = strconv.ParseFloat(value, 64); err != nil {
			return nil, fmt.Errorf("the figure %s of %s: %w", name, console, err)
		}
	}
	return nil, fmt.Errorf("console %s: answer to show-stat ended before its EOF line", console)
}

// trafficOf returns a whole sidecar's control traffic from the figures of its console.
func trafficOf(stat map[string]float64) (t meter.Traffic) {
	for k, name := range meter.KindNames {
		t.In[k] = meter.Count{Bytes: int64(stat["app.control_bytes_in."+name]), Units: int64(stat["app.control_units_in."+name])}
		t.Out[k] = meter.Count{Bytes: int64(stat["app.control_bytes_out."+name]), Units: int64(stat["app.control_units_out."+name])}
	}
	return t
}

// processCPU returns the processor time of a running process; 0 if it has just ended.
func processCPU(pid int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw)[strings.LastIndex(string(raw), ") ")+1:])
	const userField, ticks = 11, 100 // field 14 of proc(5), and the clock ticks per second
	if len(fields) < userField+2 {
		return 0
	}
	user, errUser := strconv.ParseInt(fields[userField], 10, 64)
	system, errSystem := strconv.ParseInt(fields[userField+1], 10, 64)
	if errUser != nil || errSystem != nil {
		return 0
	}
	return time.Duration(user+system) * time.Second / ticks
}

// printHollow writes the figures of hollow sidecars in readable form.
func (r *Result) printHollow(w io.Writer) {
	if r.Hollow == 0 {
		return
	}
	f := r.Figures
	fmt.Fprintf(w, "  hollow     %d: %.2f MiB (%.2f in use) and %.0f goroutines each; started in %.1f s, complete views %.1f s and agreement %.1f s after that\n",
		r.Hollow, f["hollow_rss_mib"], f["hollow_heap_mib"], f["hollow_goroutines"], f["hollow_started_s"], f["hollow_see_all_s"], f["hollow_agree_s"])
	for _, who := range []string{"hollow", "whole"} {
		fmt.Fprintf(w, "  at rest    %s: %.2f%% of a core, bytes per second p50 %.0f, p99 %.0f, over %.0f s; in/out:",
			who, 100*f["rest_"+who+"_cores"], f["rest_"+who+"_bytes_p50"], f["rest_"+who+"_bytes_p99"], f["rest_s"])
		for _, name := range meter.KindNames {
			if in, out := f["rest_"+who+"_in_"+name], f["rest_"+who+"_out_"+name]; in+out > 0 {
				fmt.Fprintf(w, " %s %.0f/%.0f", name, in, out)
			}
		}
		fmt.Fprintln(w)
	}
	for _, name := range []string{"kill_first_s", "kill_all_s", "kill_unknown", "push_s", "push_unknown", "push_missed", "push_holder_cpu_s",
		"push_holder_out", "push_holder_in", "push_holder_conns", "push_each_in", "push_each_out", "lists_s", "lists_unknown", "lists_failed", "lists_in_bytes"} {
		if v, ok := f[name]; ok {
			fmt.Fprintf(w, "  %-17s %.4g (%.4g to %.4g in %.0f)\n", name, v, f[name+"_least"], f[name+"_most"], f[name+"_n"])
		}
	}
}
