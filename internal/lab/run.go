package lab

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Options control how a scenario is played.
type Options struct {
	Seed       uint64
	Program    string                // path of the sidecar; built by Build if empty
	Out        string                // folder for the result, the report and the logs; nothing is kept if empty
	OnProgress func(second Progress) // called once a second if not nil
}

// Progress describes the state of a run in one second.
type Progress struct {
	At                                time.Duration
	Requests, InTime, Refused, Failed int // in the second before last, the latest whose outcomes are settled
	Open, Sidecars, Servers           int
	Congested, RequestsHeld           int      // servers slowed down by overload; requests that all servers hold
	Faults                            []string // descriptions of the faults that began in the last second
}

// shutdownTimeout is how long the processes get to end at the end of a run before they are killed.
const shutdownTimeout = 8 * time.Second

// run is one play of a scenario.
type run struct {
	scenario  *Scenario
	clock     clock
	history   *History
	net       *subnet
	lateness  *lateness
	servers   *servers
	roster    *roster
	processes *processes
	clients   *clients
	mesh      *mesh
	faults    *faults
	hollow    *hollowGroup
	fits      []eligibleSpans // set once the run is over
}

// Build builds the sidecar of the module that contains the working directory into dir, and returns its path.
func Build(dir string) (string, error) {
	root, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return "", errors.New("the sidecar can't be built here: run this inside the project's tree with the go command installed, or name a program")
	}
	path := filepath.Join(dir, "caperarch")
	cmd := exec.Command("go", "build", "-o", path, "./cmd/caperarch")
	cmd.Dir = strings.TrimSpace(string(root))
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("the sidecar can't be built: %w: %s", err, bytes.TrimSpace(out))
	}
	return path, nil
}

// Play plays a scenario and returns its result. It ends early, with an error, when the context ends. An error means
// that the run could not be played; invariants that did not hold are reported in the result.
func Play(ctx context.Context, s *Scenario, o Options) (res *Result, err error) {
	if _, err := Sweep(); err != nil {
		return nil, fmt.Errorf("cleaning up after an earlier lab: %w", err)
	}
	sharedSockets, err := sharedSocketsPermitted()
	if err != nil {
		return nil, err
	}
	if err := ensureDescriptors(s, sharedSockets); err != nil {
		return nil, err
	}
	record, err := newProcessRecord()
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, record.close()) }()
	if o.Program == "" {
		if o.Program, err = Build(record.dir); err != nil {
			return nil, err
		}
	}
	if o.Program, err = copyProgram(o.Program, record.dir); err != nil {
		return nil, err
	}
	logs := filepath.Join(record.dir, "logs")
	if o.Out != "" {
		logs = filepath.Join(o.Out, "logs")
	}
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return nil, err
	}
	r := &run{scenario: s, clock: newClock(), history: new(History), lateness: newLateness()}
	if r.net, err = claimSubnet(); err != nil {
		return nil, err
	}
	defer r.net.release()
	if r.servers, err = newServers(s, o.Seed, r.clock, r.history, r.net); err != nil {
		return nil, err
	}
	defer r.servers.close()
	r.roster, err = newRoster(s, r.clock, r.history, r.net, r.servers)
	defer r.roster.close()
	if err != nil {
		return nil, err
	}
	r.processes = newProcesses(s, r.clock, r.history, r.net, r.roster, o.Program, record.dir, logs, record, o.Seed)
	if o.Out != "" {
		r.processes.callLog = &callLog{clock: r.clock}
	}
	defer func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		r.processes.close(shutdownCtx)
	}()
	if s.Fleet.Mesh {
		if r.mesh, err = newMesh(s.totalSidecars(), r.net, o.Seed); err != nil {
			return nil, err
		}
		defer r.mesh.close()
		r.processes.routes = r.mesh.routes
	}
	return r.play(ctx, o)
}

// copyProgram copies the program into the run's folder, so that it stays the same for the whole run and can be read by
// the user that sidecars run as.
func copyProgram(program, dir string) (string, error) {
	from, err := os.Open(program)
	if err != nil {
		return "", err
	}
	defer from.Close()
	path := filepath.Join(dir, "sidecar")
	to, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o755)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(to, from)
	return path, errors.Join(err, to.Close())
}

// descriptorsNeeded estimates how many descriptors the lab may need for a scenario. sharedSockets reports whether one
// listener can serve all sidecars.
func descriptorsNeeded(s *Scenario, sharedSockets bool) int {
	n, listeners := s.totalSidecars(), s.Fleet.Servers+s.replacementServers()+4
	// Open requests of one second with a descriptor at both ends, and the idle connections that are kept.
	need := 200 + int(90*s.peakOfferedWork()) + s.Fleet.Sidecars*2*min(s.Fleet.Servers, 12) + 2*s.Fleet.Hollow
	if s.Fleet.Mesh {
		listeners += 2 * n
		need += 8 * n // relayed connections
	}
	if !sharedSockets {
		listeners *= n
	}
	return need + listeners
}

// ensureDescriptors raises the soft limit of descriptors to the hard one, and returns an error if the scenario may need
// more than that.
func ensureDescriptors(s *Scenario, sharedSockets bool) error {
	need, hint := descriptorsNeeded(s, sharedSockets), ""
	if !sharedSockets {
		hint = "; SO_BINDTODEVICE is not permitted here, so each pair of sidecar and server needs a listener of its own"
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Cur < limit.Max {
		limit.Cur = limit.Max
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			return err
		}
	}
	if uint64(need) > limit.Cur {
		return fmt.Errorf("%d descriptors may be needed for %d sidecars and %d servers, but this process is limited to %d (ulimit -n): raise the limit or play fewer%s",
			need, s.Fleet.Sidecars, s.Fleet.Servers, limit.Cur, hint)
	}
	return nil
}

// play starts the sidecars, makes the clients' requests and plays the faults, stops everything, and judges the history.
func (r *run) play(ctx context.Context, o Options) (*Result, error) {
	s := r.scenario
	arrivals, plan := s.arrivals(o.Seed), s.Plan(o.Seed)
	r.history.requests = make([]ClientRequest, len(arrivals))
	r.clients = newClients(s, r.clock, r.history, r.net, r.lateness)
	if err := r.startSidecars(ctx); err != nil {
		return nil, err
	}
	defer func() { r.hollow.close() }()
	if err := r.startHollow(ctx); err != nil {
		return nil, err
	}
	began := time.Now()
	r.clock.startIn(100 * time.Millisecond)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	var watchers, players sync.WaitGroup
	watchers.Go(func() { r.lateness.measure(r.clock, stop) })
	watchers.Go(func() { r.monitor(stop, o.OnProgress) })
	if s.observesMembers() {
		watchers.Go(func() { r.pollViews(stop) })
	}
	if strings.Contains(s.Fleet.File, "[duty]") {
		watchers.Go(func() { r.pollDuties(stop) })
	}
	if err := r.hollow.readAtRest(false); err != nil {
		return nil, err
	}
	r.faults = &faults{run: r, restartMu: make([]sync.Mutex, s.Fleet.Sidecars), rng: rand.New(rand.NewPCG(o.Seed, 7))}
	players.Go(func() { r.faults.play(ctx, plan) })
	cpuBefore := cpuTime(syscall.RUSAGE_SELF)
	r.clients.play(arrivals, ctx.Done())
	interrupted := ctx.Err()
	sleep(ctx, s.For.Std()-r.clock.now())
	if err := r.hollow.readAtRest(true); err != nil {
		return nil, err
	}
	cancel() // faults that have not ended by now last until the end of the run
	players.Wait()
	close(stop)
	watchers.Wait()
	labCPU := cpuTime(syscall.RUSAGE_SELF) - cpuBefore
	if r.scenario.Fleet.Hollow > 0 {
		if err := r.hollow.collectLateness(time.Since(began), "whole run"); err != nil {
			return nil, err
		}
	}
	r.processes.sample()
	r.hollow.close()
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
	r.processes.close(shutdownCtx)
	cancelShutdown()
	if interrupted != nil {
		return nil, errors.New("the run was interrupted")
	}
	if err := errors.Join(append(r.faults.errs, r.processes.supervisionError())...); err != nil {
		return nil, err
	}
	broken, err := r.processes.violationsInLogs()
	if err != nil {
		return nil, err
	}
	r.history.guardViolations = broken
	res := r.result(o, plan, labCPU, time.Since(began))
	if o.Out != "" {
		return res, res.write(o.Out, r)
	}
	return res, nil
}

// startSidecars starts all sidecars, up to 16 at a time.
func (r *run) startSidecars(ctx context.Context) error {
	slots := make(chan struct{}, 16)
	errs := make(chan error, r.scenario.Fleet.Sidecars)
	for i := range r.scenario.Fleet.Sidecars {
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if ctx.Err() != nil {
				errs <- ctx.Err()
				return
			}
			_, err := r.processes.start(i)
			errs <- err
		}()
	}
	var bad []error
	for range r.scenario.Fleet.Sidecars {
		if err := <-errs; err != nil {
			bad = append(bad, err)
		}
	}
	if len(bad) > 3 {
		bad = append(bad[:3], fmt.Errorf("and %d more", len(bad)-3))
	}
	return errors.Join(bad...)
}

// monitor samples the processes and servers once a second until stop is closed, and passes the progress to onProgress
// unless that is nil.
func (r *run) monitor(stop <-chan struct{}, onProgress func(Progress)) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	reported := 0
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		r.processes.sample()
		now := r.clock.now()
		p := Progress{At: now, Open: int(r.clients.openCount.Load())}
		p.Congested, p.RequestsHeld, p.Servers = r.servers.sample()
		if onProgress == nil {
			continue
		}
		second := int(now/time.Second) - 2
		if second >= 0 && second < len(r.clients.inTime.perSecond) {
			for o, c := range r.clients.outcomes {
				n := int(c.perSecond[second].Load())
				p.Requests += n
				switch o {
				case Served:
				case Refused:
					p.Refused += n
				default:
					p.Failed += n
				}
			}
			p.InTime = int(r.clients.inTime.perSecond[second].Load())
		}
		for i := range r.scenario.Fleet.Sidecars {
			if r.processes.running(i) != nil {
				p.Sidecars++
			}
		}
		r.faults.mu.Lock()
		for ; reported < len(r.faults.played); reported++ {
			p.Faults = append(p.Faults, r.faults.played[reported].Description)
		}
		r.faults.mu.Unlock()
		onProgress(p)
	}
}

// cpuTime returns the processor time that getrusage reports for who: this process, or its children that have ended.
func cpuTime(who int) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(who, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// ProgressPrinter returns a function for Options.OnProgress that prints a line a second to w.
func ProgressPrinter(w io.Writer) func(Progress) {
	return func(p Progress) {
		for _, m := range p.Faults {
			fmt.Fprintf(w, "%6s  *** %s\n", p.At.Round(time.Second), m)
		}
		fmt.Fprintf(w, "%6s  requests %4d/s  in time %4d  refused %3d  failed %3d  open %3d  sidecars %d  servers %d, %d congested, %d requests held\n",
			p.At.Round(time.Second), p.Requests, p.InTime, p.Refused, p.Failed, p.Open, p.Sidecars, p.Servers, p.Congested, p.RequestsHeld)
	}
}
