package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/rpc"
	"os"
	"runtime"
	"sync"
	"syscall"
	"time"

	"arrowgw/internal/member"
	"arrowgw/internal/meter"
	"arrowgw/internal/sidecar"
)

// workerEnv is the environment variable by which a lab starts its own program as a worker that runs hollow sidecars.
const workerEnv = "FLEETLAB_HOLDS"

// maxParallelStarts is how many hollow sidecars a worker starts at a time. Each start waits for the disk.
const maxParallelStarts = 16

// ServeHollow runs hollow sidecars for the lab that started this process as its worker, until that lab ends. It returns false
// at once if this process is not a worker. A program that plays scenarios calls it before anything else.
func ServeHollow() bool {
	if os.Getenv(workerEnv) == "" {
		return false
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})))
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < limit.Max {
		limit.Cur = limit.Max
		_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit) // on failure, sidecars that do not start report it
	}
	w := &workerService{all: make(map[int]*sidecar.Hollow), late: newLateness()}
	go w.late.measure(newClock(), context.Background().Done())
	server := rpc.NewServer()
	if err := server.RegisterName("Hold", w); err != nil {
		panic(err) // cannot happen: the methods have the form that net/rpc asks for
	}
	server.ServeConn(struct {
		io.Reader
		io.WriteCloser
	}{os.Stdin, os.Stdout})
	return true
}

// workerService runs the hollow sidecars of a worker process. The lab calls its exported methods by net/rpc, under the name
// Hold. A sidecar is identified by its number in the run.
type workerService struct {
	late *lateness

	mu  sync.Mutex
	all map[int]*sidecar.Hollow
}

// HollowSpec describes how to start a hollow sidecar.
type HollowSpec struct {
	Number         int
	Config, Shared string  // paths of its configuration file and of the folder for its state
	Rate           float64 // requests per second that it reports
}

// Start starts hollow sidecars and returns once all have started. An error names at most three that failed.
func (w *workerService) Start(specs []HollowSpec, _ *struct{}) error {
	slots, errs := make(chan struct{}, maxParallelStarts), make(chan error, len(specs))
	for _, s := range specs {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			one, err := sidecar.StartHollow(s.Config, s.Shared, s.Rate)
			if err == nil {
				w.mu.Lock()
				w.all[s.Number] = one
				w.mu.Unlock()
			}
			errs <- err
		}()
	}
	var bad []error
	for range specs {
		if err := <-errs; err != nil && len(bad) < 3 {
			bad = append(bad, err)
		}
	}
	return errors.Join(bad...)
}

// EndRequest is the argument of workerService.End.
type EndRequest struct {
	Number int
	Word   bool // whether it leaves the fleet gracefully; otherwise it ends abruptly
}

// End ends a hollow sidecar.
func (w *workerService) End(e EndRequest, _ *struct{}) error {
	w.mu.Lock()
	one := w.all[e.Number]
	delete(w.all, e.Number)
	w.mu.Unlock()
	switch {
	case one == nil:
		return fmt.Errorf("hollow sidecar %d is not running", e.Number)
	case e.Word:
		one.Stop()
	default:
		one.Kill()
	}
	return nil
}

// EndAll ends all hollow sidecars at once, abruptly.
func (w *workerService) EndAll(struct{}, *struct{}) error {
	var ends sync.WaitGroup
	for _, one := range w.running() {
		ends.Go(one.Kill)
	}
	ends.Wait()
	return nil
}

// Move makes hollow sidecars use discovery at other addresses, given by sidecar number.
func (w *workerService) Move(to map[int]string, _ *struct{}) error {
	for number, one := range w.running() {
		if address := to[number]; address != "" {
			one.SetDiscovery(address)
		}
	}
	return nil
}

// ReadRules makes a hollow sidecar read its rules file again.
func (w *workerService) ReadRules(number int, _ *struct{}) error {
	if one := w.running()[number]; one != nil {
		one.ReadRules()
		return nil
	}
	return fmt.Errorf("hollow sidecar %d is not running", number)
}

// StatusRequest is the argument of workerService.Look: what to count.
type StatusRequest struct {
	Name    string // of a member
	Version uint64 // of a rule set
	Members bool   // whether to count members and views, at a cost that is quadratic in their number
}

// StatusReply is the reply of workerService.Look, a summary over a worker's hollow sidecars.
type StatusReply struct {
	Running       int
	See           int            // sidecars that list StatusRequest.Name as present
	InForce       int            // sidecars in which StatusRequest.Version or a later version is in force
	Whole, Failed int            // whole lists that discovery sent so far, and calls of discovery that failed
	Least, Most   int            // fewest and most members that a sidecar lists as present
	Agreed        int            // sidecars that report that all views agree
	Views         map[uint64]int // number of sidecars with each view, by digest
	Refused       string         // reason of a refused push, as one of the sidecars recorded it
}

// Look summarizes the state of all hollow sidecars. It asks them concurrently, because each has locks of its own to wait for.
func (w *workerService) Look(q StatusRequest, all *StatusReply) error {
	all.Views = make(map[uint64]int)
	var mu sync.Mutex
	var work sync.WaitGroup
	for _, one := range w.running() {
		work.Go(func() {
			sees, status, view := q.Name != "" && one.Sees(q.Name), one.Rules(), member.View{}
			whole, failed := one.DiscoveryCounts()
			if q.Members {
				view = one.Members()
			}
			mu.Lock()
			defer mu.Unlock()
			if all.Running++; all.Running == 1 || view.Present < all.Least {
				all.Least = view.Present
			}
			if sees {
				all.See++
			}
			if q.Version > 0 && status.InForce >= q.Version {
				all.InForce++
			}
			for _, r := range status.Refusals {
				all.Refused = fmt.Sprintf("%d by %s: %s", r.Version, r.Name, r.Why)
			}
			all.Whole, all.Failed, all.Most = all.Whole+whole, all.Failed+failed, max(all.Most, view.Present)
			if q.Members {
				all.Views[view.Digest]++
			}
			if view.Agreed {
				all.Agreed++
			}
		})
	}
	work.Wait()
	return nil
}

// UsageReply is the reply of workerService.Report: what a worker and its hollow sidecars have used so far.
type UsageReply struct {
	Traffic    map[int]meter.Traffic // by sidecar number
	CPU        time.Duration
	Heap       uint64 // bytes in use after a garbage collection, including goroutine stacks; 0 where none was asked for
	Goroutines int
}

// Report returns what the worker and its hollow sidecars have used. With collect it collects garbage first and measures the heap.
func (w *workerService) Report(collect bool, r *UsageReply) error {
	r.Traffic = make(map[int]meter.Traffic)
	for number, one := range w.running() {
		r.Traffic[number] = one.Traffic()
	}
	r.CPU, r.Goroutines = cpuTime(syscall.RUSAGE_SELF), runtime.NumGoroutine()
	if collect {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		r.Heap = m.HeapAlloc + m.StackInuse
	}
	return nil
}

// Lateness reports why measured times since the previous call, length ago, are unreliable; an empty text: they are reliable.
func (w *workerService) Lateness(length time.Duration, why *string) error {
	*why = w.late.reason(length)
	w.late.reset()
	return nil
}

// running returns the running hollow sidecars by number.
func (w *workerService) running() map[int]*sidecar.Hollow {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make(map[int]*sidecar.Hollow, len(w.all))
	for number, one := range w.all {
		all[number] = one
	}
	return all
}
