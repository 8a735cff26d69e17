package sysfault

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// PollNumber is the number of the system call that unix.Poll makes. The architecture has no poll.
const PollNumber = unix.SYS_PPOLL

// architecture is the one whose call numbers the filter checks (struct seccomp_data, field arch).
const architecture = unix.AUDIT_ARCH_AARCH64

// stackPointer returns the stack pointer of a stopped thread.
func stackPointer(registers *syscall.PtraceRegs) uint64 { return registers.Sp }
