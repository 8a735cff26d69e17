//go:build linux && (amd64 || arm64)

// Package sysfault runs a program and injects faults into its system calls: a test decides call by call whether the call
// fails, moves fewer bytes, is delayed or returns another time. The program needs no change.
//
// It uses two Linux interfaces, which need no privilege for a program of the same user: a seccomp filter with user
// notifications (seccomp_unotify(2)), and, if the wall clock is controlled, ptrace(2) at the start of the program.
// ptrace removes the vDSO from the program's auxiliary vector, so that the program asks the kernel for the time.
//
// Start runs the test's own binary as a launcher, which installs the filter and then executes the program. Therefore
// main or TestMain must call Launch before anything else.
package sysfault

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Call is a system call that the program is about to make.
type Call struct {
	Number    int // as in unix.SYS_READ
	Arguments [6]uint64
}

// Effect is the fault that is injected into a call. The zero value lets the call proceed unchanged.
type Effect struct {
	Delay time.Duration   // delay before the call
	Until <-chan struct{} // if not nil, the call waits after Delay until this channel is closed
	Errno syscall.Errno   // if not 0, the call has no effect and fails with this error
	// SocketsOnly restricts Errno to calls whose first argument is a socket. Go's runtime aborts a program if calls on
	// its own pipes and event descriptors fail in ways that Linux does not document for them.
	SocketsOnly bool
	// BreaksConnection makes Errno the error with which the connection that is the call's first argument ends. As the
	// kernel does then, it drops what has arrived, ends further reads and fails further writes.
	BreaksConnection bool
	MaxBytes         int // limit for reads from and writes to sockets, in bytes; 0: no limit
}

// Outcome is the result of a call that an effect was applied to.
type Outcome struct {
	Proceeded bool          // the kernel carries the call out; the other fields are 0 then
	Moved     int64         // bytes moved by the supervisor
	Errno     syscall.Errno // the error that the call fails with; 0: none
}

// Options select the system calls that are supervised, and what happens to them.
type Options struct {
	Calls        []int             // numbers of the supervised calls; all other calls run at full speed
	Decide       func(Call) Effect // called from one goroutine, and must not block; nil lets all calls proceed
	ControlClock bool              // the program's wall clock is set by Supervisor.StepClock
	// Observe is called with each call that an effect was applied to, while the call is still open. It may be called from
	// several goroutines at once. nil: not called.
	Observe func(Call, Effect, Outcome)
}

// maxFailuresKept is how many failures of the supervision are kept with their text.
const maxFailuresKept = 5

// startTimeout limits the time from the start of the launcher until it has sent the filter's listener.
const startTimeout = 10 * time.Second

// Supervisor handles the supervised calls of one program until it exits.
type Supervisor struct {
	pid         int
	pidfd       int
	listener    int
	options     Options
	clockOffset atomic.Int64   // offset of the program's wall clock from the real one, in nanoseconds
	delayed     sync.WaitGroup // goroutines of delayed calls
	exited      chan struct{}  // closed when no process is left under the filter
	done        chan struct{}  // closed when all calls, including delayed ones, have been handled

	failureMu    sync.Mutex
	failures     []error // the first failures of the supervision itself, at most maxFailuresKept
	failureCount int     // all of them
}

// Start starts a command under supervision. The command's Path must be absolute. The caller waits for the command as
// usual. If Start returns an error, the command is not running.
func Start(cmd *exec.Cmd, options Options) (*Supervisor, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	defer unix.Close(pair[0])
	childEnd := os.NewFile(uintptr(pair[1]), "supervisor")
	defer childEnd.Close()
	var numbers []string
	for _, n := range options.Calls {
		numbers = append(numbers, strconv.Itoa(n))
	}
	cmd.Env = append(cmd.Environ(), programVariable+"="+cmd.Path, callsVariable+"="+strings.Join(numbers, ","),
		clockVariable+"="+strconv.FormatBool(options.ControlClock), socketVariable+"="+strconv.Itoa(firstExtraFD+len(cmd.ExtraFiles)))
	cmd.Path, cmd.ExtraFiles = self, append(cmd.ExtraFiles, childEnd)
	if cmd.SysProcAttr == nil {
		cmd.SysProcAttr = new(syscall.SysProcAttr)
	}
	cmd.SysProcAttr.Ptrace = options.ControlClock
	runtime.LockOSThread() // only the thread that starts a traced process can control it
	defer runtime.UnlockOSThread()
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	s := &Supervisor{pid: cmd.Process.Pid, options: options, exited: make(chan struct{}), done: make(chan struct{})}
	if options.ControlClock {
		err = hideVDSO(s.pid)
	}
	if err == nil {
		err = s.receiveListener(pair[0])
	}
	if err != nil {
		_ = cmd.Process.Kill() // fails only if the process has exited
		_ = cmd.Wait()
		return nil, fmt.Errorf("supervising %s: %w", cmd.Args[0], err)
	}
	go s.serve()
	return s, nil
}

// StepClock steps the program's wall clock forward, or back if by is negative. The monotonic clock is not affected.
func (s *Supervisor) StepClock(by time.Duration) { s.clockOffset.Add(int64(by)) }

// ConnAddrs returns the local and the remote address of a connection of the program. It returns an error if the
// descriptor is not an IPv4 connection.
func (s *Supervisor) ConnAddrs(descriptor int) (local, remote netip.AddrPort, err error) {
	socket, err := unix.PidfdGetfd(s.pidfd, descriptor, 0)
	if err != nil {
		return local, remote, err
	}
	defer unix.Close(socket)
	localAddr, err := unix.Getsockname(socket)
	if err != nil {
		return local, remote, err
	}
	remoteAddr, err := unix.Getpeername(socket)
	if err != nil {
		return local, remote, err
	}
	if local, err = addressOf(localAddr); err != nil {
		return local, remote, err
	}
	remote, err = addressOf(remoteAddr)
	return local, remote, err
}

// addressOf converts an IPv4 socket address, and fails for other address families.
func addressOf(address unix.Sockaddr) (netip.AddrPort, error) {
	at, ok := address.(*unix.SockaddrInet4)
	if !ok {
		return netip.AddrPort{}, unix.EAFNOSUPPORT
	}
	return netip.AddrPortFrom(netip.AddrFrom4(at.Addr), uint16(at.Port)), nil
}

// Wait waits until the program has exited and all its supervised calls have been handled.
func (s *Supervisor) Wait() { <-s.done }

// Err returns an error if the supervision itself has failed: calls of the program may then have hung or failed, which is
// no fault of the program. It returns nil if there was no such failure so far.
func (s *Supervisor) Err() error {
	s.failureMu.Lock()
	defer s.failureMu.Unlock()
	if s.failureCount == 0 {
		return nil
	}
	return fmt.Errorf("supervision of process %d failed %d times: %w", s.pid, s.failureCount, errors.Join(s.failures...))
}

// receiveListener receives the filter's listener from the launcher, and opens a descriptor of the process.
func (s *Supervisor) receiveListener(socket int) error {
	limit := unix.NsecToTimeval(int64(startTimeout))
	if err := unix.SetsockoptTimeval(socket, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &limit); err != nil {
		return err
	}
	var data [1]byte
	control := make([]byte, unix.CmsgSpace(4))
	n, err := receiveMessage(socket, data[:], control)
	if err != nil {
		return err
	}
	messages, err := unix.ParseSocketControlMessage(control[:n])
	if err != nil {
		return err
	}
	if len(messages) != 1 {
		return errors.New("the launcher sent no seccomp listener")
	}
	files, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return err
	}
	s.listener = files[0]
	if s.pidfd, err = unix.PidfdOpen(s.pid, 0); err != nil {
		unix.Close(s.listener)
	}
	return err
}

// receiveMessage reads a message with control data and returns the length of the control data. It retries on EINTR: the
// kernel does not restart a receive with a timeout after a signal.
func receiveMessage(socket int, data, control []byte) (int, error) {
	for {
		_, n, _, _, err := unix.Recvmsg(socket, data, control, unix.MSG_CMSG_CLOEXEC)
		if err != unix.EINTR {
			return n, err
		}
	}
}
