//go:build linux && amd64

package lab

import (
	"math/rand/v2"
	"net/netip"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"arrowgw/internal/sysfault"
)

// maxStall is how long a machine may keep a process from going on between two steps, at most.
const maxStall = 150 * time.Millisecond

// transientErrors are the errors that calls may fail with for a moment, by the number of the call.
var transientErrors = map[int][]syscall.Errno{
	unix.SYS_ACCEPT4: {
		unix.ECONNABORTED, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENETUNREACH, unix.ENETDOWN, unix.EPROTO,
		unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.EPERM, unix.EINTR, unix.ENOSPC,
	},
	unix.SYS_EPOLL_PWAIT: {unix.EINTR},
	unix.SYS_SOCKET:      {unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM},
	unix.SYS_CONNECT:     {unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EAGAIN, unix.ETIMEDOUT, unix.EHOSTUNREACH},
	unix.SYS_POLL:        {unix.EINTR, unix.ENOMEM},
	unix.SYS_READ:        {unix.EINTR, unix.ENOMEM, unix.ENOBUFS},
	unix.SYS_WRITE:       {unix.EINTR, unix.ENOMEM, unix.ENOBUFS},
	unix.SYS_FSYNC:       {unix.EIO, unix.ENOSPC},
	unix.SYS_FDATASYNC:   {unix.EIO, unix.ENOSPC},
	unix.SYS_PWRITE64:    {unix.ENOSPC, unix.EIO},
}

// connectionErrors are the errors by which a broken connection may show.
var connectionErrors = []syscall.Errno{unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET, unix.EPIPE}

// callFaults decides the system calls of one process: it draws which fail, move few bytes or are held up.
type callFaults struct {
	breakConnection func(local, remote netip.AddrPort) bool // hears that a connection is to break; false: it is to no server

	mu          sync.Mutex
	supervisor  *sysfault.Supervisor // nil until the process is under way
	rng         *rand.Rand
	share       float64 // of calls that something is done to
	acceptFails bool    // all calls of accept fail
}

// startSupervised starts a process whose system calls and clock a scenario can disturb.
func startSupervised(cmd *exec.Cmd, seed uint64, broken func(local, remote netip.AddrPort) bool) (*callFaults, error) {
	f := &callFaults{rng: rand.New(rand.NewPCG(seed, 8)), breakConnection: broken}
	var calls []int
	for number := range transientErrors {
		calls = append(calls, number)
	}
	supervisor, err := sysfault.Start(cmd, sysfault.Options{Calls: calls, Decide: f.decide, Clock: true})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.supervisor = supervisor
	return f, err
}

// disturb has that share of calls be disturbed from now on.
func (f *callFaults) setShare(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.share = share
}

// failAccepts has all calls of accept fail, or no more than others.
func (f *callFaults) failAccepts(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acceptFails = on
}

func (f *callFaults) decide(c sysfault.Call) (e sysfault.Effect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rng.Float64() >= f.share && !(f.acceptFails && c.Number == unix.SYS_ACCEPT4) {
		return e
	}
	moves := c.Number == unix.SYS_READ || c.Number == unix.SYS_WRITE
	switch draw := f.rng.Float64(); {
	case moves && draw < 0.6:
		e.Most = 1 + f.rng.IntN(40)
	case moves && draw < 0.62:
		e.Delay = time.Duration(f.rng.Int64N(int64(maxStall)))
	case moves && draw < 0.64 && f.breakServerConnection(c):
		e.Errno = connectionErrors[f.rng.IntN(len(connectionErrors))]
	case moves && draw < 0.8:
		return e
	default:
		errors := transientErrors[c.Number]
		e.Errno, e.OnSocket = errors[f.rng.IntN(len(errors))], moves
	}
	return e
}

// breakServerConnection has the connection to a server break that a call reads from or writes to; false: it is none such. The caller
// holds the lock.
func (f *callFaults) breakServerConnection(c sysfault.Call) bool {
	if f.supervisor == nil {
		return false
	}
	local, remote, err := f.supervisor.Ends(int(int32(c.Arguments[0])))
	return err == nil && f.breakConnection(local, remote)
}
