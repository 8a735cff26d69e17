//go:build linux && (amd64 || arm64)

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

// Environment variables by which Start passes its options to the launcher.
const (
	programVariable = "SYSFAULT_PROGRAM" // path of the program; set only in a launcher
	callsVariable   = "SYSFAULT_CALLS"   // numbers of the supervised system calls, separated by commas
	clockVariable   = "SYSFAULT_CLOCK"   // whether reads of the wall clock are supervised
	socketVariable  = "SYSFAULT_FILE"    // descriptor of the socket that sends the filter's listener to Start

	firstExtraFD = 3 // the descriptor of the first of exec.Cmd.ExtraFiles
)

// Offsets in struct seccomp_data.
const (
	numberOffset        = 0
	architectureOffset  = 4
	firstArgumentOffset = 16
)

func init() {
	if os.Getenv(programVariable) != "" {
		runtime.LockOSThread() // the filter applies to one thread, so main must install it and exec on that thread
	}
}

// Launch turns a process that Start has started into the supervised program: it installs the seccomp filter, executes
// the program and does not return. In any other process it does nothing.
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

// launch implements Launch for a launcher process. It returns only on an error.
func launch(program string) error {
	socket, err := strconv.Atoi(os.Getenv(socketVariable))
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
	path, err := syscall.BytePtrFromString(program)
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
	unix.CloseOnExec(socket)
	listener, err := installFilter(buildFilter(calls, os.Getenv(clockVariable) == "true"))
	if err != nil {
		return err
	}
	// The supervisor answers only once it has the listener. Until then, a supervised call by this process would block.
	if err := unix.Sendmsg(socket, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return err
	}
	_, _, errno := syscall.RawSyscall(unix.SYS_EXECVE, uintptr(unsafe.Pointer(path)),
		uintptr(unsafe.Pointer(&arguments[0])), uintptr(unsafe.Pointer(&variables[0])))
	return errno
}

// buildFilter returns a seccomp filter that passes the given calls to the supervisor and allows all others. With clock
// set, reads of the wall clock are passed to the supervisor too.
func buildFilter(calls []int, clock bool) []unix.SockFilter {
	loadField := func(offset uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
	}
	skipUnless := func(value uint32, skip uint8) unix.SockFilter { // skips a number of instructions if the loaded value differs
		return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: value, Jf: skip}
	}
	finish := func(action uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: action}
	}
	instructions := []unix.SockFilter{loadField(architectureOffset), skipUnless(architecture, 1), loadField(numberOffset)}
	for _, n := range calls {
		instructions = append(instructions, skipUnless(uint32(n), 1), finish(unix.SECCOMP_RET_USER_NOTIF))
	}
	if clock {
		instructions = append(instructions, skipUnless(unix.SYS_CLOCK_GETTIME, 3), loadField(firstArgumentOffset),
			skipUnless(unix.CLOCK_REALTIME, 1), finish(unix.SECCOMP_RET_USER_NOTIF))
	}
	return append(instructions, finish(unix.SECCOMP_RET_ALLOW))
}

// installFilter installs a seccomp filter on the current thread and returns the descriptor of its notification listener.
func installFilter(filter []unix.SockFilter) (listener int, err error) {
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, err
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	// With WAIT_KILLABLE_RECV, a signal does not restart a call that the supervisor has already carried out.
	const flags = unix.SECCOMP_FILTER_FLAG_NEW_LISTENER | unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV
	fd, _, errno := syscall.RawSyscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags, uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return 0, fmt.Errorf("seccomp: %w", errno)
	}
	return int(fd), nil
}
