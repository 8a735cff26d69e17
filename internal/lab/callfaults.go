//go:build linux && (amd64 || arm64)

package lab

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"arrowgw/internal/sysfault"
)

// maxStall bounds how long a loaded machine may delay a process between two steps.
const maxStall = 150 * time.Millisecond

// transientErrors are the errors with which system calls may fail temporarily, by the number of the call.
var transientErrors = map[int][]syscall.Errno{
	unix.SYS_ACCEPT4: {
		unix.ECONNABORTED, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENETUNREACH, unix.ENETDOWN, unix.EPROTO,
		unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.EPERM, unix.EINTR, unix.ENOSPC,
	},
	unix.SYS_EPOLL_PWAIT: {unix.EINTR},
	unix.SYS_SOCKET:      {unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM},
	unix.SYS_CONNECT:     {unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EAGAIN, unix.ETIMEDOUT, unix.EHOSTUNREACH},
	sysfault.PollNumber:  {unix.EINTR, unix.ENOMEM},
	unix.SYS_READ:        {unix.EINTR, unix.ENOMEM, unix.ENOBUFS},
	unix.SYS_WRITE:       {unix.EINTR, unix.ENOMEM, unix.ENOBUFS},
	unix.SYS_FSYNC:       {unix.EIO, unix.ENOSPC},
	unix.SYS_FDATASYNC:   {unix.EIO, unix.ENOSPC},
	unix.SYS_PWRITE64:    {unix.ENOSPC, unix.EIO},
}

// connectionErrors are the errors with which a broken connection may show.
var connectionErrors = []syscall.Errno{unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET, unix.EPIPE}

// callFaults disturbs the system calls of one process: it draws which fail, transfer few bytes or are delayed.
type callFaults struct {
	// Called when a connection is to break. It reports whether the connection is one to a server.
	breakConnection func(local, remote netip.AddrPort) bool

	mu          sync.Mutex
	supervisor  *sysfault.Supervisor // nil until the process has started
	rng         *rand.Rand
	share       float64 // of calls that are disturbed
	acceptFails bool    // all calls of accept fail
}

// newCallFaults returns the disturbance of a process that is yet to be started. broken is called when a connection is to
// break, and reports whether it is one to a server.
func newCallFaults(seed uint64, broken func(local, remote netip.AddrPort) bool) *callFaults {
	return &callFaults{rng: rand.New(rand.NewPCG(seed, 8)), breakConnection: broken}
}

// start starts the process. observe is called with each call that is disturbed; nil: it is not called.
func (f *callFaults) start(cmd *exec.Cmd, observe func(sysfault.Call, sysfault.Effect, sysfault.Outcome)) error {
	var calls []int
	for number := range transientErrors {
		calls = append(calls, number)
	}
	supervisor, err := sysfault.Start(cmd, sysfault.Options{Calls: calls, Decide: f.decide, ControlClock: true, Observe: observe})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.supervisor = supervisor
	return err
}

// connAddrs returns the ends of the connection that is a call's first argument, or an error if it is none.
func (f *callFaults) connAddrs(c sysfault.Call) (local, remote netip.AddrPort, err error) {
	f.mu.Lock()
	supervisor := f.supervisor
	f.mu.Unlock()
	if supervisor == nil {
		return local, remote, errNotStarted
	}
	return supervisor.ConnAddrs(int(int32(c.Arguments[0])))
}

// errNotStarted means that a process is not supervised yet.
var errNotStarted = errors.New("the process is not supervised yet")

// setShare sets the share of calls that are disturbed from now on.
func (f *callFaults) setShare(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.share = share
}

// failAccepts sets whether all calls of accept fail.
func (f *callFaults) failAccepts(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acceptFails = on
}

// decide draws what happens to a system call.
func (f *callFaults) decide(c sysfault.Call) (e sysfault.Effect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rng.Float64() >= f.share && !(f.acceptFails && c.Number == unix.SYS_ACCEPT4) {
		return e
	}
	transfersData := c.Number == unix.SYS_READ || c.Number == unix.SYS_WRITE
	switch draw := f.rng.Float64(); {
	case transfersData && draw < 0.6:
		e.MaxBytes = 1 + f.rng.IntN(40)
	case transfersData && draw < 0.62:
		e.Delay = time.Duration(f.rng.Int64N(int64(maxStall)))
	case transfersData && draw < 0.64 && f.breakServerConnection(c):
		e.Errno, e.BreaksConnection = connectionErrors[f.rng.IntN(len(connectionErrors))], true
	case transfersData && draw < 0.8:
		return e
	default:
		candidates := transientErrors[c.Number]
		e.Errno, e.SocketsOnly = candidates[f.rng.IntN(len(candidates))], transfersData
	}
	return e
}

// breakServerConnection breaks the connection that a call reads or writes if it is one to a server, and reports whether
// it is. The caller holds the lock.
func (f *callFaults) breakServerConnection(c sysfault.Call) bool {
	if f.supervisor == nil {
		return false
	}
	local, remote, err := f.supervisor.ConnAddrs(int(int32(c.Arguments[0])))
	return err == nil && f.breakConnection(local, remote)
}
