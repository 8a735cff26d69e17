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
	enterTries   = 50 // of the lock file: the system may fail for a moment
	enterPause   = 10 * time.Millisecond
	countTimeout = 50 * time.Millisecond // the end of a process waits no longer to hear of others

	// The bytes of the lock file: one for each process, and one for whoever writes the state file.
	maxProcesses = 4
	writerByte   = maxProcesses

	// Open-file-description locks, which package syscall does not name. They die with their holder, as
	// the file is closed then, and one can be asked for without taking it.
	ofdGetLock = 36
	ofdSetLock = 37
)

// enter takes the first byte of the lock file that no other process holds.
func (h *sharedState) acquireProcessLock(path string) error {
	var err error
	for range enterTries {
		if err = h.tryEnter(path); err == nil {
			return nil
		}
		time.Sleep(enterPause)
	}
	return err
}

// tryEnter is one try of enter.
func (h *sharedState) tryEnter(path string) error {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	for h.lockIndex = range int64(maxProcesses) {
		if err = fcntl(f, ofdSetLock, h.lockIndex, syscall.F_WRLCK); err == nil {
			h.lock = f
			return nil
		}
	}
	f.Close()
	return fmt.Errorf("lock %s: %w", path, err)
}

// fcntl takes (setLock) a byte of a lock file, or gives it up. With getLock it returns EAGAIN if another has it.
func fcntl(f *os.File, command int, at int64, kind int16) error {
	lock := syscall.Flock_t{Type: kind, Whence: io.SeekStart, Start: at, Len: 1}
	_, err := retryInterrupted(func() (int, error) { return 0, syscall.FcntlFlock(f.Fd(), command, &lock) })
	if err == nil && command == ofdGetLock && lock.Type != syscall.F_UNLCK {
		return syscall.EAGAIN
	}
	return err
}

// count tells how many processes run, this one included. One that the system does not tell of is held for what it was.
func (h *sharedState) countProcesses() int {
	h.counting.Lock() // and not mu: the store counts under a lock of its own
	defer h.counting.Unlock()
	n := 1
	for at := int64(0); h.lock != nil && at < maxProcesses; at++ {
		if at == h.lockIndex {
			continue
		}
		err := fcntl(h.lock, ofdGetLock, at, syscall.F_WRLCK)
		switch {
		case err == nil:
			h.otherProcesses[at] = false
		case errors.Is(err, syscall.EAGAIN):
			h.otherProcesses[at] = true
		}
		if h.otherProcesses[at] {
			n++
		}
	}
	h.counted.Store(int64(n))
	return n
}

// countWithin is count for whoever can't wait for a folder that hangs: behind limit the last count counts.
func (h *sharedState) countProcessesWithin(limit time.Duration) int {
	counted := make(chan int, 1)
	go func() { counted <- h.countProcesses() }()
	select {
	case n := <-counted:
		return n
	case <-time.After(limit):
		return max(1, int(h.counted.Load()))
	}
}
