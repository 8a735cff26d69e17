//go:build linux && amd64

// Package sysfault starts a program whose system calls fail, move few bytes, take long or tell another time, as a test
// decides call by call. The program needs no change.
//
// It rests on two interfaces of Linux, with no privilege needed for a program of the same user: a seccomp filter with
// user notifications (seccomp_unotify(2)), and ptrace(2) for the moment of the program's start, where the clock is to
// be led too: the program is then told of no vDSO, so that it asks the kernel for the time.
//
// A test's own binary, started anew, installs the filter and then becomes the program: call Launch first of all in
// main or TestMain.
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

// Effect is what becomes of a call. The zero value lets it go on as it is.
type Effect struct {
	Delay time.Duration   // it is held up for so long first
	Until <-chan struct{} // and until this is closed; nil: no longer
	Errno syscall.Errno   // it fails with this, and does nothing
	// SocketsOnly has it fail only where its first argument is a socket: Go's runtime ends a program whose own pipes and
	// event descriptors fail in ways that Linux does not document for them.
	SocketsOnly bool
	MaxBytes    int // reads and writes of sockets only: they move so many bytes at most; 0: no limit
}

// Options say which calls are decided, and by whom.
type Options struct {
	Calls        []int             // numbers of the calls that are decided; all others go on at full speed
	Decide       func(Call) Effect // called from one goroutine, and must not wait; nil lets all calls go on
	ControlClock bool              // the wall clock is led: see Supervisor.StepClock
}

// startTime bounds how long a program may take to be under supervision.
const startTime = 10 * time.Second

// Supervisor decides the calls of one program until it ends.
type Supervisor struct {
	pid      int
	pidfd    int
	listener int
	options  Options
	offset   atomic.Int64 // of the program's wall clock, in nanoseconds
	late     sync.WaitGroup
	ended    chan struct{} // closed when nobody is left under the filter
	done     chan struct{} // and when all its calls have been decided
}

// Start starts a command under supervision; its Path has to be an absolute path. The caller waits for the command as
// usual. An error says that it does not run.
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
	theirs := os.NewFile(uintptr(pair[1]), "supervisor")
	defer theirs.Close()
	var numbers []string
	for _, n := range options.Calls {
		numbers = append(numbers, strconv.Itoa(n))
	}
	cmd.Env = append(cmd.Environ(), programVariable+"="+cmd.Path, callsVariable+"="+strings.Join(numbers, ","),
		clockVariable+"="+strconv.FormatBool(options.ControlClock), fileVariable+"="+strconv.Itoa(firstExtraFile+len(cmd.ExtraFiles)))
	cmd.Path, cmd.ExtraFiles = self, append(cmd.ExtraFiles, theirs)
	if cmd.SysProcAttr == nil {
		cmd.SysProcAttr = new(syscall.SysProcAttr)
	}
	cmd.SysProcAttr.Ptrace = options.ControlClock
	runtime.LockOSThread() // ptrace goes by threads
	defer runtime.UnlockOSThread()
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	s := &Supervisor{pid: cmd.Process.Pid, options: options, ended: make(chan struct{}), done: make(chan struct{})}
	if options.ControlClock {
		err = hideVDSO(s.pid)
	}
	if err == nil {
		err = s.attach(pair[0])
	}
	if err != nil {
		_ = cmd.Process.Kill() // it fails only if it has ended
		_ = cmd.Wait()
		return nil, fmt.Errorf("%s is not under supervision: %w", cmd.Args[0], err)
	}
	go s.serve()
	return s, nil
}

// StepClock sets the program's wall clock forward, or back where by is below 0. Its monotonic clock goes on.
func (s *Supervisor) StepClock(by time.Duration) { s.offset.Add(int64(by)) }

// ConnAddrs returns the addresses at both ends of a connection of the program's, over IPv4. An error says that the descriptor is
// none such.
func (s *Supervisor) ConnAddrs(descriptor int) (local, remote netip.AddrPort, err error) {
	socket, err := unix.PidfdGetfd(s.pidfd, descriptor, 0)
	if err != nil {
		return local, remote, err
	}
	defer unix.Close(socket)
	here, err := unix.Getsockname(socket)
	if err != nil {
		return local, remote, err
	}
	there, err := unix.Getpeername(socket)
	if err != nil {
		return local, remote, err
	}
	if local, err = addressOf(here); err != nil {
		return local, remote, err
	}
	remote, err = addressOf(there)
	return local, remote, err
}

// addressOf is a socket's address over IPv4.
func addressOf(address unix.Sockaddr) (netip.AddrPort, error) {
	at, ok := address.(*unix.SockaddrInet4)
	if !ok {
		return netip.AddrPort{}, unix.EAFNOSUPPORT
	}
	return netip.AddrPortFrom(netip.AddrFrom4(at.Addr), uint16(at.Port)), nil
}

// Wait returns once the program has ended and all its calls have been decided.
func (s *Supervisor) Wait() { <-s.done }

// attach takes over the filter's listener, which the program's first life sends.
func (s *Supervisor) attach(socket int) error {
	limit := unix.NsecToTimeval(int64(startTime))
	if err := unix.SetsockoptTimeval(socket, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &limit); err != nil {
		return err
	}
	var data [1]byte
	control := make([]byte, unix.CmsgSpace(4))
	n, err := receive(socket, data[:], control)
	if err != nil {
		return err
	}
	messages, err := unix.ParseSocketControlMessage(control[:n])
	if err != nil {
		return err
	}
	if len(messages) != 1 {
		return errors.New("the program's first life sent no listener")
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

// receive reads a message and its control data, and returns the length of that. A signal may interrupt it, as a limit
// of time keeps the kernel from going on by itself.
func receive(socket int, data, control []byte) (int, error) {
	for {
		_, n, _, _, err := unix.Recvmsg(socket, data, control, unix.MSG_CMSG_CLOEXEC)
		if err != unix.EINTR {
			return n, err
		}
	}
}
