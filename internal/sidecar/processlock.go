package sidecar

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"
)

const (
	maxLockAttempts   = 50 // attempts to lock a byte of the lock file, as the system may fail transiently
	lockRetryInterval = 10 * time.Millisecond
	countTimeout      = 50 * time.Millisecond // for counting the processes, as the caller can't wait for a folder that hangs

	// Bytes of the lock file: one for each process, and one for the process that writes the legacy file.
	maxProcesses = 4
	writerByte   = maxProcesses

	// Commands of open file description locks, which package syscall does not define. Such a lock ends when its holder
	// exits, as that closes the file, and it can be queried without being taken.
	ofdGetLock = 36
	ofdSetLock = 37
)

// acquireProcessLock locks the first byte of the lock file that no other process holds, and retries failures.
func (h *sharedState) acquireProcessLock(path string) error {
	var err error
	for range maxLockAttempts {
		if err = h.tryProcessLock(path); err == nil {
			return nil
		}
		time.Sleep(lockRetryInterval)
	}
	return err
}

// tryProcessLock is a single attempt of acquireProcessLock.
func (h *sharedState) tryProcessLock(path string) error {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	for h.lockIndex = range int64(maxProcesses) {
		if err = fcntl(f, ofdSetLock, h.lockIndex, syscall.F_WRLCK); err == nil {
			h.lockFile = f
			return nil
		}
	}
	f.Close()
	return fmt.Errorf("lock %s: %w", path, err)
}

// fcntl sets the lock on the byte at offset of a lock file to kind (ofdSetLock). With ofdGetLock it instead returns
// EAGAIN if another process has locked the byte.
func fcntl(f *os.File, command int, offset int64, kind int16) error {
	lock := syscall.Flock_t{Type: kind, Whence: io.SeekStart, Start: offset, Len: 1}
	_, err := retryInterrupted(func() (int, error) { return 0, syscall.FcntlFlock(f.Fd(), command, &lock) })
	if err == nil && command == ofdGetLock && lock.Type != syscall.F_UNLCK {
		return syscall.EAGAIN
	}
	return err
}

// countProcesses returns how many processes of this sidecar run, this one included. If the system fails to report
// one, its last known status counts.
func (h *sharedState) countProcesses() int {
	h.countMu.Lock() // not mu: the store calls this with its own lock held
	defer h.countMu.Unlock()
	n := 1
	for index := int64(0); h.lockFile != nil && index < maxProcesses; index++ {
		if index == h.lockIndex {
			continue
		}
		err := fcntl(h.lockFile, ofdGetLock, index, syscall.F_WRLCK)
		switch {
		case err == nil:
			h.otherProcesses[index] = false
		case errors.Is(err, syscall.EAGAIN):
			h.otherProcesses[index] = true
		}
		if h.otherProcesses[index] {
			n++
		}
	}
	h.lastCount.Store(int64(n))
	return n
}

// countProcessesWithin is countProcesses for callers that can't wait for a folder that hangs: after limit it returns
// the last count.
func (h *sharedState) countProcessesWithin(limit time.Duration) int {
	counted := make(chan int, 1)
	go func() { counted <- h.countProcesses() }()
	select {
	case n := <-counted:
		return n
	case <-time.After(limit):
		return max(1, int(h.lastCount.Load()))
	}
}
