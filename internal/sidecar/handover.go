package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"maps"
	"net/url"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"syscall"
	"time"
)

const (
	stateVersion = 1
	stateLimit   = 1 << 20                // bytes of a state file; far above any real one
	stateMost    = 4096                   // servers in it
	backKept     = time.Minute            // a call back is kept so long: a second process must know who is cold
	alonePoll    = 250 * time.Millisecond // how often a process looks for a second one
	togetherPoll = 50 * time.Millisecond  // and, beside one, for calls made to that
	stateWait    = 300 * time.Millisecond // the other process writes for no longer than this

	// The bytes of the lock file: one for each process, and one for whoever writes the state file.
	processes = 4
	writer    = processes

	// Open-file-description locks, which package syscall does not name. They die with their holder, as
	// the file is closed then, and one can be asked for without taking it.
	getLock = 36
	setLock = 37
)

// handover is what a sidecar's processes share in $TMPDIR during an upgrade: who runs, and which servers
// are out by hand. Without a $TMPDIR this process is held for the only one, and nothing is kept.
//
// Its zero value is such a process.
type handover struct {
	lock  *os.File // nil: this process stands alone
	mine  int64    // the byte of it that this process holds
	state string   // path of the state file

	mu     sync.Mutex
	read   fs.FileInfo       // the state file as last read; nil: there was none
	handed map[string]handed // by instanceId, as last read or written
}

// handed is a server that is out by hand, or was until lately.
type handed struct {
	Out  bool  `json:"out"`
	AtMs int64 `json:"atMs"` // Unix time of the call
}

// stateFile is the form of the state file.
type stateFile struct {
	Version int               `json:"version"`
	Servers map[string]handed `json:"servers"`
}

// newHandover enters this process among a sidecar's, in dir. What is missing or unusable there is told in
// the log and keeps no process from its start.
func newHandover(dir, name string) *handover {
	h := new(handover)
	if dir == "" {
		slog.Info("state not kept", "reason", "TMPDIR is not set: calls by hand end with this process")
		return h
	}
	base := filepath.Join(dir, "sidecar-"+url.PathEscape(name))
	h.state = base + ".state"
	if err := h.enter(base + ".lock"); err != nil {
		slog.Error("upgrade alone", "error", err)
	}
	if err := h.load(); err != nil {
		slog.Error("state not read", "error", err)
	}
	return h
}

// enter takes the first byte of the lock file that no other process holds.
func (h *handover) enter(path string) error {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	for h.mine = range int64(processes) {
		if err = fcntl(f, setLock, h.mine, syscall.F_WRLCK); err == nil {
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
	err := syscall.FcntlFlock(f.Fd(), command, &lock)
	if err == nil && command == getLock && lock.Type != syscall.F_UNLCK {
		return syscall.EAGAIN
	}
	return err
}

// count tells how many processes run, this one included.
func (h *handover) count() int {
	n := 1
	for at := int64(0); h.lock != nil && at < processes; at++ {
		if at != h.mine && errors.Is(fcntl(h.lock, getLock, at, syscall.F_WRLCK), syscall.EAGAIN) {
			n++
		}
	}
	return n
}

// load reads the state file if it is another than last time. What can't be used changes nothing.
func (h *handover) load() error {
	info, err := os.Stat(h.state)
	if errors.Is(err, fs.ErrNotExist) {
		return nil // no call was made so far
	}
	if err != nil {
		return err
	}
	if h.read != nil && os.SameFile(info, h.read) && info.ModTime().Equal(h.read.ModTime()) {
		return nil
	}
	h.read = info // told once, if it can't be used
	f, err := os.Open(h.state)
	if err != nil {
		return err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, stateLimit+1))
	if err != nil {
		return err
	}
	var s stateFile
	if err := json.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("%s is damaged: %w", h.state, err)
	}
	if s.Version != stateVersion || len(s.Servers) > stateMost {
		return fmt.Errorf("%s: version %d with %d servers can't be used", h.state, s.Version, len(s.Servers))
	}
	h.handed = s.Servers
	return nil
}

// save enters a call, on top of those that the other process has entered. It holds in this process even if
// it can't be written down.
func (h *handover) save(instance string, out bool, now time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lock == nil {
		return h.enterCall(instance, out, now)
	}
	for tries := 0; ; tries++ { // the other process writes only for moments
		err := fcntl(h.lock, setLock, writer, syscall.F_WRLCK)
		if err == nil {
			break
		}
		if time.Duration(tries)*time.Millisecond >= stateWait {
			return errors.Join(fmt.Errorf("lock: %w", err), h.enterCall(instance, out, now))
		}
		time.Sleep(time.Millisecond)
	}
	defer func() { _ = fcntl(h.lock, setLock, writer, syscall.F_UNLCK) }() // fails only on a closed file
	if err := h.load(); err != nil {
		slog.Error("state rewritten", "error", err)
	}
	if err := h.enterCall(instance, out, now); err != nil {
		return err
	}
	return h.write()
}

// enterCall takes a call into what this process knows.
func (h *handover) enterCall(instance string, out bool, now time.Time) error {
	for id, s := range h.handed {
		if !s.Out && now.Sub(time.UnixMilli(s.AtMs)) > backKept {
			delete(h.handed, id)
		}
	}
	if old, ok := h.handed[instance]; ok && old.Out == out || !ok && !out {
		return nil // said before
	}
	if len(h.handed) >= stateMost {
		return errors.New("too many servers are out by hand to keep one more")
	}
	if h.handed == nil {
		h.handed = make(map[string]handed)
	}
	h.handed[instance] = handed{Out: out, AtMs: now.UnixMilli()}
	return nil
}

// write replaces the state file as a whole.
func (h *handover) write() error {
	raw, err := json.Marshal(stateFile{Version: stateVersion, Servers: h.handed})
	if err != nil {
		return err
	}
	next := fmt.Sprintf("%s.%d", h.state, h.mine) // a killed process leaves one such file at most
	if err := os.WriteFile(next, raw, 0o600); err != nil {
		return errors.Join(err, os.Remove(next))
	}
	if err := os.Rename(next, h.state); err != nil {
		return err
	}
	h.read, err = os.Stat(h.state)
	return err
}

// known returns a copy of the calls in force, and those of the other process since the last look.
func (h *handover) known() map[string]handed {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lock != nil {
		if err := h.load(); err != nil {
			slog.Error("state not read", "error", err)
		}
	}
	return maps.Clone(h.handed)
}

// watch follows the other process until ctx ends, from n processes on: changed hears how many run when that is
// another number, and calls hears which servers are out while there are two, and once more when there is one again.
func (h *handover) watch(ctx context.Context, n int, changed func(n int), calls func(map[string]handed)) {
	if h.lock == nil {
		return
	}
	for {
		before := n
		if n = h.count(); n != before {
			slog.Info("upgrade", "processes", n)
			changed(n)
		}
		pause := alonePoll
		if n > 1 {
			pause = togetherPoll
		}
		if n > 1 || before > 1 {
			calls(h.known())
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

// limitMemory keeps this process to its part of the memory, well under what all are killed at.
func limitMemory(megabytes, n int) {
	if megabytes == 0 {
		return
	}
	debug.SetMemoryLimit(int64(megabytes) << 20 / 2 / int64(n))
	if n > 1 {
		debug.FreeOSMemory() // the second process needs now what this one only keeps
	}
}
