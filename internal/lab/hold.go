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

// workerEnv has a lab's program hold hollow processes for the lab that started it.
const workerEnv = "FLEETLAB_HOLDS"

// maxParallelStarts is how many of its hollow processes a holder starts at a time: each waits for its disk.
const maxParallelStarts = 16

// ServeHollow serves the lab that started this process to hold hollow ones, until that lab ends. It says whether there is one; a program that
// plays scenarios calls it before anything else.
func ServeHollow() bool {
	if os.Getenv(workerEnv) == "" {
		return false
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})))
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < limit.Max {
		limit.Cur = limit.Max
		_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit) // or some will not start, and say so
	}
	h := &workerService{all: make(map[int]*sidecar.Hollow), late: newLateness()}
	go h.late.measure(newClock(), context.Background().Done())
	server := rpc.NewServer()
	if err := server.RegisterName("Hold", h); err != nil {
		panic(err) // of methods that the compiler has seen
	}
	server.ServeConn(struct {
		io.Reader
		io.WriteCloser
	}{os.Stdin, os.Stdout})
	return true
}

// workerService is a process that holds hollow ones. Its methods are what the lab calls, by net/rpc; one is known by its number.
type workerService struct {
	late *lateness

	mu  sync.Mutex
	all map[int]*sidecar.Hollow
}

// HollowSpec is what a hollow process is started by.
type HollowSpec struct {
	Number         int
	Config, Shared string
	Rate           float64
}

// Start starts some, and returns once all have.
func (h *workerService) Start(specs []HollowSpec, _ *struct{}) error {
	places, errs := make(chan struct{}, maxParallelStarts), make(chan error, len(specs))
	for _, s := range specs {
		places <- struct{}{}
		go func() {
			defer func() { <-places }()
			one, err := sidecar.StartHollow(s.Config, s.Shared, s.Rate)
			if err == nil {
				h.mu.Lock()
				h.all[s.Number] = one
				h.mu.Unlock()
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

// EndRequest is which hollow process is to end, and whether with a word.
type EndRequest struct {
	Number int
	Word   bool
}

// End ends one.
func (h *workerService) End(e EndRequest, _ *struct{}) error {
	h.mu.Lock()
	one := h.all[e.Number]
	delete(h.all, e.Number)
	h.mu.Unlock()
	switch {
	case one == nil:
		return fmt.Errorf("hollow process %d does not run", e.Number)
	case e.Word:
		one.Stop()
	default:
		one.Kill()
	}
	return nil
}

// EndAll ends all at once, without a word.
func (h *workerService) EndAll(struct{}, *struct{}) error {
	var ends sync.WaitGroup
	for _, one := range h.running() {
		ends.Go(one.Kill)
	}
	ends.Wait()
	return nil
}

// Move has all go on with discovery at other addresses.
func (h *workerService) Move(to map[int]string, _ *struct{}) error {
	for number, one := range h.running() {
		if address := to[number]; address != "" {
			one.SetDiscovery(address)
		}
	}
	return nil
}

// ReadRules has one read its file of rules again.
func (h *workerService) ReadRules(number int, _ *struct{}) error {
	if one := h.running()[number]; one != nil {
		one.ReadRules()
		return nil
	}
	return fmt.Errorf("hollow process %d does not run", number)
}

// StatusRequest is what Look is to look for.
type StatusRequest struct {
	Name    string // a member
	Version uint64 // of rules
	Members bool   // whether to count all members at all: it costs their square
}

// StatusReply is how a holder's hollow processes stand.
type StatusReply struct {
	Running       int
	See           int            // that hold Question.Name for present
	InForce       int            // that have Question.Version in force, or a later one
	Whole, Failed int            // answers of discovery with whole lists, and calls of it that failed, so far
	Least, Most   int            // members that they hold for present
	Agreed        int            // that say that all agree
	Views         map[uint64]int // how many hold each view
	Refused       string         // why a push was refused, as one of them has it
}

// Look looks at all, at once: each has locks of its own to wait for.
func (h *workerService) Look(q StatusRequest, all *StatusReply) error {
	all.Views = make(map[uint64]int)
	var mu sync.Mutex
	var work sync.WaitGroup
	for _, one := range h.running() {
		work.Go(func() {
			see, status, v := q.Name != "" && one.Sees(q.Name), one.Rules(), member.View{}
			whole, failed := one.DiscoveryCounts()
			if q.Members {
				v = one.Members()
			}
			mu.Lock()
			defer mu.Unlock()
			if all.Running++; all.Running == 1 || v.Present < all.Least {
				all.Least = v.Present
			}
			if see {
				all.See++
			}
			if q.Version > 0 && status.InForce >= q.Version {
				all.InForce++
			}
			for _, r := range status.Refusals {
				all.Refused = fmt.Sprintf("%d by %s: %s", r.Version, r.Name, r.Why)
			}
			all.Whole, all.Failed, all.Most = all.Whole+whole, all.Failed+failed, max(all.Most, v.Present)
			if q.Members {
				all.Views[v.Digest]++
			}
			if v.Agreed {
				all.Agreed++
			}
		})
	}
	work.Wait()
	return nil
}

// UsageReply is what a holder's hollow processes have used so far.
type UsageReply struct {
	Traffic    map[int]meter.Traffic
	CPU        time.Duration
	Heap       uint64 // bytes in use after a collection, with goroutines' stacks
	Goroutines int
	Late       string // why times of this process are not believed
}

// Report tells what they have used.
func (h *workerService) Report(collect bool, r *UsageReply) error {
	r.Traffic = make(map[int]meter.Traffic)
	for number, one := range h.running() {
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

// Lateness judges the time since the last call of it, which was so long ago.
func (h *workerService) Lateness(length time.Duration, why *string) error {
	*why = h.late.reason(length)
	h.late.reset()
	return nil
}

func (h *workerService) running() map[int]*sidecar.Hollow {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make(map[int]*sidecar.Hollow, len(h.all))
	for number, one := range h.all {
		all[number] = one
	}
	return all
}
