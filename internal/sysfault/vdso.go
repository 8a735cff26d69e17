//go:build linux && amd64

package sysfault

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Entries of the auxiliary vector (getauxval(3)), and the size of a word of it.
const (
	auxiliaryEnd      = 0
	auxiliaryIgnored  = 1
	auxiliaryVDSO     = 33
	word              = 8
	stackRead         = 256 << 10 // bytes of a program's first stack that are looked at
	traceExec         = unix.PTRACE_O_TRACEEXEC
	stoppedAtNextExec = unix.PTRACE_EVENT_EXEC
)

// hideVDSO follows a traced process from its first to its second program, tells that of no vDSO, and lets it go. The
// caller is on the thread that has started it.
func hideVDSO(pid int) error {
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(pid, &status, 0, nil); err != nil {
		return err
	}
	if err := syscall.PtraceSetOptions(pid, traceExec); err != nil {
		return err
	}
	signal := 0
	for {
		if err := syscall.PtraceCont(pid, signal); err != nil {
			return err
		}
		if _, err := syscall.Wait4(pid, &status, 0, nil); err != nil {
			return err
		}
		if !status.Stopped() {
			return errors.New("it ended before it became the program")
		}
		if status.StopSignal() == syscall.SIGTRAP && status.TrapCause() == stoppedAtNextExec {
			break
		}
		signal = int(status.StopSignal())
	}
	if err := dropFromVector(pid); err != nil {
		return err
	}
	return syscall.PtraceDetach(pid)
}

// dropFromVector has a program that is about to begin find no vDSO in its auxiliary vector.
func dropFromVector(pid int) error {
	var registers syscall.PtraceRegs
	if err := syscall.PtraceGetRegs(pid, &registers); err != nil {
		return err
	}
	memory, err := os.OpenFile(fmt.Sprintf("/proc/%d/mem", pid), os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer memory.Close()
	stack := make([]byte, stackRead)
	n, _ := memory.ReadAt(stack, int64(registers.Rsp)) // it ends with the stack
	at := func(i int) uint64 {
		if (i+1)*word > n {
			return auxiliaryEnd
		}
		return binary.NativeEndian.Uint64(stack[i*word:])
	}
	i := int(at(0)) + 2 // behind the arguments, their number and their end
	for at(i) != 0 {    // and the variables
		i++
	}
	for i++; at(i) != auxiliaryEnd; i += 2 {
		if at(i) == auxiliaryVDSO {
			ignored := binary.NativeEndian.AppendUint64(nil, auxiliaryIgnored)
			_, err := memory.WriteAt(ignored, int64(registers.Rsp)+int64(i*word))
			return err
		}
	}
	return errors.New("no vDSO was found in its auxiliary vector")
}
