//go:build linux && amd64

package sysfault

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Variables by which Start tells the program's first life what to do.
const (
	programVariable = "SYSFAULT_PROGRAM"
	callsVariable   = "SYSFAULT_CALLS"
	clockVariable   = "SYSFAULT_CLOCK"
	fileVariable    = "SYSFAULT_FILE"

	firstExtraFile = 3 // the descriptor of the first of exec.Cmd.ExtraFiles
)

// Offsets in struct seccomp_data, and the architecture that the numbers of calls are of.
const (
	numberOffset        = 0
	architectureOffset  = 4
	firstArgumentOffset = 16
	architecture        = unix.AUDIT_ARCH_X86_64
)

func init() {
	if os.Getenv(programVariable) != "" {
		runtime.LockOSThread() // the filter is the main thread's, and so that has to become the program
	}
}

// Launch is the program's first life: where Start has started this process it installs the filter, becomes the program
// and does not return. Everywhere else it does nothing.
func Launch() {
	program := os.Getenv(programVariable)
	if program == "" {
		return
	}
	if err := launch(program); err != nil {
		fmt.Fprintln(os.Stderr, "sysfault:", err)
		os.Exit(1)
	}
}

func launch(program string) error {
	file, err := strconv.Atoi(os.Getenv(fileVariable))
	if err != nil {
		return err
	}
	var calls []int
	for text := range strings.SplitSeq(os.Getenv(callsVariable), ",") {
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		calls = append(calls, n)
	}
	var environment []string
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "SYSFAULT_") {
			environment = append(environment, v)
		}
	}
	program0, err := syscall.BytePtrFromString(program)
	if err != nil {
		return err
	}
	arguments, err := syscall.SlicePtrFromStrings(os.Args)
	if err != nil {
		return err
	}
	variables, err := syscall.SlicePtrFromStrings(environment)
	if err != nil {
		return err
	}
	unix.CloseOnExec(file)
	listener, err := install(filter(calls, os.Getenv(clockVariable) == "true"))
	if err != nil {
		return err
	}
	// From here on a call that is decided would wait for the supervisor, which is there only once this is sent.
	if err := unix.Sendmsg(file, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return err
	}
	_, _, errno := syscall.RawSyscall(unix.SYS_EXECVE, uintptr(unsafe.Pointer(program0)),
		uintptr(unsafe.Pointer(&arguments[0])), uintptr(unsafe.Pointer(&variables[0])))
	return errno
}

// filter is the program that has some calls decided by the supervisor. With the clock, so are reads of the wall clock.
func filter(calls []int, clock bool) []unix.SockFilter {
	load := func(offset uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
	}
	unless := func(value uint32, skip uint8) unix.SockFilter { // skips so many where it is another
		return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: value, Jf: skip}
	}
	end := func(action uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: action}
	}
	all := []unix.SockFilter{load(architectureOffset), unless(architecture, 1), load(numberOffset)}
	for _, n := range calls {
		all = append(all, unless(uint32(n), 1), end(unix.SECCOMP_RET_USER_NOTIF))
	}
	if clock {
		all = append(all, unless(unix.SYS_CLOCK_GETTIME, 3), load(firstArgumentOffset),
			unless(unix.CLOCK_REALTIME, 1), end(unix.SECCOMP_RET_USER_NOTIF))
	}
	return append(all, end(unix.SECCOMP_RET_ALLOW))
}

// install puts a filter in force for this thread, and returns its listener.
func install(filter []unix.SockFilter) (listener int, err error) {
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, err
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	// A signal must not have a call begun anew that has been carried out on the program's behalf.
	const flags = unix.SECCOMP_FILTER_FLAG_NEW_LISTENER | unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV
	fd, _, errno := syscall.RawSyscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags, uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return 0, fmt.Errorf("seccomp: %w", errno)
	}
	return int(fd), nil
}
