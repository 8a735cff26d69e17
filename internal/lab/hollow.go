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

// Hollow sidecars are control alone (sidecar.Hollow), many to a holder: a process of the lab's own program. They stand in one fleet
// with whole ones, and are numbered after these. Without fleet.mesh all reach each other directly, at their own addresses.
const (
	maxHollow            = 10_000
	maxHollowPerWorker   = 1000 // by one holder: each has some descriptors
	maxProcesses         = 300  // of the machine, whole sidecars and holders together, where there are hollow ones
	agreementTimeout     = 30 * time.Second
	workerCallTimeout    = 20 * time.Second // a holder answers by then
	agreementInterval    = 250 * time.Millisecond
	statusInterval       = 25 * time.Millisecond
	statusTimeout        = 20 * time.Second // a kill that is not known to all by then, or a push not in force, is told as that
	hollowRequestRate    = 142              // requests a second that a hollow one says it has: the planned calls by the planned sidecars
	bytesPerHollow       = 1 << 20          // of memory that one takes, about,
	bytesPerMember       = 1 << 10          // and for each member of the fleet,
	bytesPerListedServer = 1 << 10          // and for each server in the list
	bytesPerWhole        = 17 << 20         // and a whole one
	workerLogPrefix      = "holder"
)

// checkHollowSize sees that hollow sidecars fit on this machine.
func (s *Scenario) checkHollowSize() error {
	memory, err := machineMemory()
	if err != nil {
		return err
	}
	return s.checkHollowFits(memory)
}

// checkHollowFits is bounds for a machine with so many bytes of memory.
func (s *Scenario) checkHollowFits(memory int64) error {
	n := s.Fleet.Hollow
	if n == 0 {
		return nil
	}
	where := s.file
	if line := s.keyLines["fleet.hollow"]; line > 0 {
		where = fmt.Sprintf("%s:%d", s.file, line)
	}
	need := int64(n)*int64(bytesPerHollow+bytesPerMember*s.totalSidecars()+bytesPerListedServer*s.Fleet.Servers) + int64(s.Fleet.Sidecars)*bytesPerWhole
	switch processes := s.Fleet.Sidecars + (n+maxHollowPerWorker-1)/maxHollowPerWorker; {
	case need > memory/2:
		return fmt.Errorf("%s: key \"fleet.hollow\" is %d: about %d MiB are needed, and %d, half of this machine's memory, are allowed", where, n, need>>20, memory>>21)
	case processes > maxProcesses:
		return fmt.Errorf("%s: key \"fleet.hollow\" is %d: %d processes beside it, %d are allowed", where, n, processes, maxProcesses)
	case s.Fleet.Mesh && s.totalSidecars() > 400:
		return fmt.Errorf("%s: key \"fleet.hollow\" is %d: with fleet.mesh 400 sidecars of both kinds are allowed", where, n)
	}
	return nil
}

// machineMemory is the machine's memory in bytes.
func machineMemory() (int64, error) {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0, err
	}
	return int64(info.Totalram) * int64(info.Unit), nil
}

// workerProcess is a holder as the lab has it.
type workerProcess struct {
	cmd      *exec.Cmd
	client   *rpc.Client
	from, to int           // numbers of its hollow sidecars
	baseRSS  float64       // MiB before the first
	closed   chan struct{} // closed at its end
}

// hollowGroup are all hollow sidecars of a run.
type hollowGroup struct {
	run         *run
	ctx         context.Context // of the run
	workers     []*workerProcess
	lateReasons []string // what holders say of times that are not to be believed

	mu           sync.Mutex
	rulesVersion uint64               // of rules, as pushed last
	measurements map[string][]float64 // seconds and so on, one for each time that it was measured
	restReadings [2]*usageReading     // the fleet's use at the start and at the first fault, or the end
}

// startHollow starts the holders and all hollow sidecars, and waits until they agree, for settleTime at most.
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
		one, err := h.startWorker(program, from, min(from+maxHollowPerWorker, s.totalSidecars()))
		if err != nil {
			return err
		}
		h.workers = append(h.workers, one)
	}
	began := time.Now()
	err = h.eachWorker(func(one *workerProcess) error {
		var specs []HollowSpec
		for i := one.from; i < one.to; i++ {
			config, err := r.processes.writeConfig(i, 0)
			if err != nil {
				return err
			}
			specs = append(specs, HollowSpec{i, config, r.processes.stateDir(i), hollowRequestRate})
		}
		return h.call(one, "Hold.Start", specs, &struct{}{})
	})
	if err != nil {
		return err
	}
	started := time.Now()
	for i := s.Fleet.Sidecars; i < s.totalSidecars(); i++ {
		r.history.recordProcess(i, r.clock.now(), true)
	}
	h.addMeasurement("hollow_started_s", started.Sub(began).Seconds())
	seen := false
	for time.Since(started) < agreementTimeout && ctx.Err() == nil {
		l, err := h.queryStatus(StatusRequest{Members: true})
		if err != nil {
			return err
		}
		if !seen && l.Least == s.totalSidecars() {
			seen = true
			h.addMeasurement("hollow_see_all_s", time.Since(started).Seconds())
		}
		if seen && l.Least == l.Most && l.Agreed == l.Running && len(l.Views) == 1 {
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

// startWorker starts a holder.
func (h *hollowGroup) startWorker(program string, from, to int) (*workerProcess, error) {
	p := h.run.processes
	log, err := os.Create(filepath.Join(p.logs, fmt.Sprintf("%s-%d.log", workerLogPrefix, from)))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	one := &workerProcess{from: from, to: to, closed: make(chan struct{})}
	one.cmd = exec.Command(program)
	one.cmd.Dir, one.cmd.Stderr = p.dir, log
	one.cmd.Env = append(os.Environ(), workerEnv+"=1")
	one.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	in, err := one.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := one.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	started := make(chan error)
	p.starter <- func() { started <- one.cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("a holder of hollow sidecars: %w", err)
	}
	if err := p.record.add(one.cmd.Process.Pid); err != nil {
		return nil, errors.Join(err, one.cmd.Process.Kill())
	}
	one.client = rpc.NewClient(struct {
		io.Reader
		io.WriteCloser
	}{out, in})
	var l StatusReply
	if err := h.call(one, "Hold.Look", StatusRequest{}, &l); err != nil {
		return nil, errors.Join(fmt.Errorf("a holder of hollow sidecars: %w", err), one.cmd.Process.Kill())
	}
	one.baseRSS, _, _ = processUsage(one.cmd.Process.Pid)
	return one, nil
}

// close ends all holders.
func (h *hollowGroup) close() {
	if h == nil {
		return
	}
	for _, one := range h.workers {
		select {
		case <-one.closed:
			continue
		default:
		}
		close(one.closed)
		one.client.Close()
		_ = one.cmd.Process.Kill() // it may have ended by itself
		_ = one.cmd.Wait()         // killed
	}
}

// call makes a call at a holder, until the run is ended or callMost is over: one that has too much to do answers late or never.
func (h *hollowGroup) call(one *workerProcess, method string, args, reply any) error {
	c := one.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-c.Done:
		return c.Error
	case <-h.ctx.Done():
		return h.ctx.Err()
	case <-time.After(workerCallTimeout):
		return fmt.Errorf("a holder of hollow sidecars has not answered %s for %v: they have more to do than this machine can", method, workerCallTimeout)
	}
}

// eachWorker does something at all holders at once.
func (h *hollowGroup) eachWorker(do func(one *workerProcess) error) error {
	errs := make(chan error, len(h.workers))
	for _, one := range h.workers {
		go func() { errs <- do(one) }()
	}
	var bad []error
	for range h.workers {
		bad = append(bad, <-errs)
	}
	return errors.Join(bad...)
}

// queryStatus looks at all hollow sidecars.
func (h *hollowGroup) queryStatus(q StatusRequest) (all StatusReply, err error) {
	var mu sync.Mutex
	all.Views = make(map[uint64]int)
	first := true
	err = h.eachWorker(func(one *workerProcess) error {
		var l StatusReply
		if err := h.call(one, "Hold.Look", q, &l); err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		if l.Running > 0 {
			if first || l.Least < all.Least {
				all.Least = l.Least
			}
			first = false
		}
		all.Running, all.See, all.InForce, all.Agreed = all.Running+l.Running, all.See+l.See, all.InForce+l.InForce, all.Agreed+l.Agreed
		all.Whole, all.Failed, all.Most = all.Whole+l.Whole, all.Failed+l.Failed, max(all.Most, l.Most)
		all.Refused = cmp.Or(l.Refused, all.Refused)
		for view, n := range l.Views {
			all.Views[view] += n
		}
		return nil
	})
	return all, err
}

// collectLateness takes what holders say of their own timers since the last time; what names the part of the run.
func (h *hollowGroup) collectLateness(length time.Duration, what string) error {
	return h.eachWorker(func(one *workerProcess) error {
		var why string
		if err := h.call(one, "Hold.Lateness", length, &why); err != nil {
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

func (h *hollowGroup) addMeasurement(figure string, value float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.measurements[figure] = append(h.measurements[figure], value)
}

// workerOf is who holds a sidecar; nil: it is whole.
func (h *hollowGroup) workerOf(sidecar int) *workerProcess {
	for _, one := range h.workers {
		if sidecar >= one.from && sidecar < one.to {
			return one
		}
	}
	return nil
}

// endSidecar ends one, with a word or without.
func (h *hollowGroup) endSidecar(sidecar int, word bool) error {
	err := h.call(h.workerOf(sidecar), "Hold.End", EndRequest{sidecar, word}, &struct{}{})
	h.run.history.recordProcess(sidecar, h.run.clock.now(), false)
	return err
}

// restartSidecar starts one that has ended.
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

// measureLoss measures how long after a moment the first and the last of the hollow ones no longer see a member.
func (h *hollowGroup) measureLoss(ctx context.Context, sidecar int, from time.Time) error {
	first := false
	for time.Since(from) < statusTimeout {
		l, err := h.queryStatus(StatusRequest{Name: sidecarName(sidecar)})
		if err != nil {
			return err
		}
		if !first && l.See < l.Running {
			first = true
			h.addMeasurement("kill_first_s", time.Since(from).Seconds())
		}
		if l.See == 0 {
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

// pushRules has a sidecar push the next rule set, of size bytes at least, and measures until it is in force at the last.
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
	if one := h.workerOf(sidecar); one != nil {
		err = h.call(one, "Hold.ReadRules", sidecar, &struct{}{})
	} else if q := p.running(sidecar); q != nil {
		err = q.cmd.Process.Signal(syscall.SIGHUP)
	}
	if err != nil {
		return err
	}
	for time.Since(from) < statusTimeout {
		l, err := h.queryStatus(StatusRequest{Version: version})
		if err != nil {
			return err
		}
		if l.InForce == l.Running && h.inForceAtWhole(version) {
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
	l, err := h.queryStatus(StatusRequest{Version: version})
	h.addMeasurement("push_unknown", 1)
	h.addMeasurement("push_missed", float64(l.Running-l.InForce))
	h.run.history.addFinding(&h.run.history.processFailures, "version %d is in force at %d of %d hollow sidecars %v after its push; refused: %s",
		version, l.InForce, l.Running, statusTimeout, cmp.Or(l.Refused, "no word"))
	return err
}

// inForceAtWhole says whether all whole sidecars have a version in force.
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

// measureLists measures until all hollow ones have had a whole list that they had not before; move has them go on with discovery's new address.
func (h *hollowGroup) measureLists(ctx context.Context, move func() error) error {
	if len(h.workers) == 0 {
		return move()
	}
	before, err := h.queryStatus(StatusRequest{})
	if err != nil {
		return err
	}
	use, err := h.readUsage(false)
	if err != nil {
		return err
	}
	from := time.Now()
	if err := move(); err != nil {
		return err
	}
	err = h.eachWorker(func(one *workerProcess) error {
		to := make(map[int]string)
		for i := one.from; i < one.to; i++ {
			to[i] = h.run.roster.address(i)
		}
		return h.call(one, "Hold.Move", to, &struct{}{})
	})
	if err != nil {
		return err
	}
	for time.Since(from) < statusTimeout {
		l, err := h.queryStatus(StatusRequest{})
		if err != nil {
			return err
		}
		if l.Whole-before.Whole >= l.Running {
			h.addMeasurement("lists_s", time.Since(from).Seconds())
			h.addMeasurement("lists_failed", float64(l.Failed-before.Failed))
			after, err := h.readUsage(false)
			if err != nil {
				return err
			}
			in, out := after.meanBytesSince(use, meter.Discovery, false)
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

// usageReading is what the fleet has used at a moment.
type usageReading struct {
	at          time.Time
	traffic     map[int]meter.Traffic // by sidecar
	cpu         map[int]time.Duration // by whole sidecar
	workerCPU   time.Duration         // of all holders
	rulesHolder int                   // the whole sidecar that has the duty rules; -1: none of them
	rss         float64               // MiB of all holders, less what they had before the first hollow sidecar
	heap        float64               // MiB, where it was asked for
	running     int                   // how many run
	goroutines  float64               // goroutines of holders
}

// readUsage reads it. collect has holders collect garbage first.
func (h *hollowGroup) readUsage(collect bool) (*usageReading, error) {
	r := &usageReading{at: time.Now(), traffic: make(map[int]meter.Traffic), cpu: make(map[int]time.Duration), rulesHolder: -1}
	var mu sync.Mutex
	err := h.eachWorker(func(one *workerProcess) error {
		var had UsageReply
		if err := h.call(one, "Hold.Report", collect, &had); err != nil {
			return err
		}
		rss, _, _ := processUsage(one.cmd.Process.Pid)
		mu.Lock()
		defer mu.Unlock()
		for i, t := range had.Traffic {
			r.traffic[i] = t
		}
		r.running += len(had.Traffic)
		r.workerCPU += had.CPU
		r.rss += rss - one.baseRSS
		r.heap += float64(had.Heap) / (1 << 20)
		r.goroutines += float64(had.Goroutines)
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
			continue // it has just ended, or is stopped
		}
		r.traffic[i], r.cpu[i] = trafficOf(stat), processCPU(q.cmd.Process.Pid)
		if stat["app.duty_token.rules"] > 0 {
			r.rulesHolder = i
		}
	}
	return r, nil
}

// meanBytesSince is what went through sockets for something since before, in the mean of the whole or the hollow sidecars.
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

// addPushUsage counts what a push has cost: the holder of the duty, and the others in the mean.
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

// readAtRest reads the fleet's use for the first time, or for the last before something happens to it.
func (h *hollowGroup) readAtRest(end bool) error {
	h.mu.Lock()
	had := h.restReadings
	h.mu.Unlock()
	if len(h.workers) == 0 || end == (had[0] == nil) || had[1] != nil {
		return nil
	}
	r, err := h.readUsage(end)
	if err == nil && end {
		err = h.collectLateness(time.Since(had[0].at), "at rest")
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

// addFigures adds the figures of hollow sidecars: what was measured in the median and at most, and what each kind has used at rest.
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
	_ = c.SetDeadline(time.Now().Add(consoleTimeout)) // fails only on a closed one
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
	return nil, fmt.Errorf("the answer of %s breaks off", console)
}

// trafficOf is what a whole sidecar's figures say of the bytes of its control.
func trafficOf(stat map[string]float64) (t meter.Traffic) {
	for k, name := range meter.KindNames {
		t.In[k] = meter.Count{Bytes: int64(stat["app.control_bytes_in."+name]), Units: int64(stat["app.control_units_in."+name])}
		t.Out[k] = meter.Count{Bytes: int64(stat["app.control_bytes_out."+name]), Units: int64(stat["app.control_units_out."+name])}
	}
	return t
}

// processCPU is the processor time of a process that runs; 0: it has just ended.
func processCPU(pid int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw)[strings.LastIndex(string(raw), ") ")+1:])
	const userField, ticks = 11, 100 // the 14th of all, and the kernel's own in a second
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

// printHollow writes the figures of hollow sidecars for people.
func (r *Result) printHollow(w io.Writer) {
	if r.Hollow == 0 {
		return
	}
	f := r.Figures
	fmt.Fprintf(w, "  hollow     %d: %.2f MiB (%.2f in use) and %.0f goroutines each; started in %.1f s, all see all %.1f s and agree %.1f s after that\n",
		r.Hollow, f["hollow_rss_mib"], f["hollow_heap_mib"], f["hollow_goroutines"], f["hollow_started_s"], f["hollow_see_all_s"], f["hollow_agree_s"])
	for _, who := range []string{"hollow", "whole"} {
		fmt.Fprintf(w, "  at rest    %s: %.2f%% of a core, %.0f bytes a second in the median, %.0f for 99 in 100, over %.0f s; in/out:",
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
