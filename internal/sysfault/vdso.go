//go:build linux && (amd64 || arm64)

package sysfault

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Types of entries in the auxiliary vector (getauxval(3)), sizes, and names for ptrace(2).
const (
	auxNull       = 0
	auxIgnore     = 1
	auxVDSO       = 33
	wordSize      = 8
	maxStackBytes = 256 << 10 // bytes of the initial stack that are searched
	traceExec     = unix.PTRACE_O_TRACEEXEC
	execEvent     = unix.PTRACE_EVENT_EXEC
)

// hideVDSO traces a launcher until it has executed the program, removes the vDSO from the program's auxiliary vector,
// and detaches. It must be called on the thread that started the process.
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
			return errors.New("the launcher exited before it executed the program")
		}
		if status.StopSignal() == syscall.SIGTRAP && status.TrapCause() == execEvent {
			break
		}
		signal = int(status.StopSignal())
	}
	if err := removeVDSOEntry(pid); err != nil {
		return err
	}
	return syscall.PtraceDetach(pid)
}

// removeVDSOEntry marks the vDSO entry in the auxiliary vector of a program that has not run yet as ignored.
func removeVDSOEntry(pid int) error {
	var registers syscall.PtraceRegs
	if err := syscall.PtraceGetRegs(pid, &registers); err != nil {
		return err
	}
	top := int64(stackPointer(&registers))
	memory, err := os.OpenFile(fmt.Sprintf("/proc/%d/mem", pid), os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer memory.Close()
	stack := make([]byte, maxStackBytes)
	n, _ := memory.ReadAt(stack, top) // the read ends early at the end of the stack
	wordAt := func(i int) uint64 {
		if (i+1)*wordSize > n {
			return auxNull
		}
		return binary.NativeEndian.Uint64(stack[i*wordSize:])
	}
	i := int(wordAt(0)) + 2 // skips the argument count, the arguments and their terminator
	for wordAt(i) != 0 {    // skips the environment
		i++
	}
	for i++; wordAt(i) != auxNull; i += 2 {
		if wordAt(i) == auxVDSO {
			ignored := binary.NativeEndian.AppendUint64(nil, auxIgnore)
			_, err := memory.WriteAt(ignored, top+int64(i*wordSize))
			return err
		}
	}
	return errors.New("no vDSO entry in the program's auxiliary vector")
}
