package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"log/slog"
	"net/url"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"arrowgw/internal/store"
)

const (
	stateVersion = 1
	stateLimit   = 1 << 20                // bytes of a state file; far above any real one
	stateMost    = 4096                   // servers in it
	backKept     = time.Minute            // a call back is kept so long: a second process must know who is cold
	alonePoll    = 250 * time.Millisecond // how often a process looks for a second one
	togetherPoll = 50 * time.Millisecond  // and, beside one, for calls made to that
	unreadPoll   = time.Second            // and whether a folder that could not be read can be read by now
	folderWait   = 4 * time.Second        // for a folder that does not answer; a start has 6 s
	enterTries   = 50                     // of the lock file: the system may fail for a moment
	enterPause   = 10 * time.Millisecond
	stateWait    = 300 * time.Millisecond // the other process writes for no longer than this

	// The bytes of the lock file: one for each process, and one for whoever writes the state file.
	processes = 4
	writer    = processes

	// Open-file-description locks, which package syscall does not name. They die with their holder, as
	// the file is closed then, and one can be asked for without taking it.
	getLock = 36
	setLock = 37
)

// handover is what a sidecar's processes share in $TMPDIR: who runs, the state (docs/state.md), and a file by which
// programs from before the state tell of servers that are out by hand, and are told. Without a $TMPDIR this process is
// held for the only one, and nothing is kept.
//
// Its zero value is such a process.
type handover struct {
	lock  *os.File // nil: this process stands alone
	mine  int64    // the byte of it that this process holds
	state string   // path of the file for older programs
	store *store.Store
	saves chan struct{} // calls that wait for the disk
	news  chan struct{} // there is a list to be kept

	saving sync.Mutex        // one call is saved after the other; it may wait for a disk
	read   fs.FileInfo       // the older programs' file as last read; nil: there was none
	handed map[string]handed // by instanceId, where there is no store

	backs map[string]backSeen // calls back in force, by instanceId

	late <-chan *handover // what its folder holds, once that answers; nil: it did in time

	counting sync.Mutex
	others   [processes]bool // other processes that run, as the system told last

	mu        sync.Mutex
	nextList  *keepNext // the list that is to be kept next; nil: there is no news
	oldDamage int       // 1: the older programs' file was all there was, and it is damaged
}

// backSeen is when a call back was first seen by this process.
type backSeen struct {
	atMs int64     // of the call, which tells it from others
	at   time.Time // with the monotonic clock
}

// handed is a server that is out by hand, or was until lately.
type handed struct {
	Out  bool  `json:"out"`
	AtMs int64 `json:"atMs"` // Unix time of the call
}

// stateFile is the form of the file for older programs, which pass over the sum.
type stateFile struct {
	Version int               `json:"version"`
	Servers map[string]handed `json:"servers"`
	Sum     *uint32           `json:"sum,omitempty"` // of the servers; nil: an older program wrote it
}

// sum is the checksum of a file's servers.
func (s *stateFile) sum() uint32 {
	raw, err := json.Marshal(s.Servers)
	if err != nil {
		panic(err) // of plain fields
	}
	return crc32.Checksum(raw, crc32.MakeTable(crc32.Castagnoli))
}

// newHandover enters this process among a sidecar's, in dir. What is missing or unusable there is told in
// the log and keeps no process from its start.
func newHandover(dir, name string) *handover { return openHandover(dir, name, store.Options{}) }

// openHandover is newHandover with the options of the state that are not its own to choose. A folder that does not answer is
// waited for no longer than folderWait: see followLate.
func openHandover(dir, name string, options store.Options) *handover {
	if dir == "" {
		slog.Info("state not kept", "reason", "TMPDIR is not set: calls by hand end with this process")
		return emptyHandover()
	}
	opened := make(chan *handover, 1)
	go func() { opened <- enterFolder(dir, name, options) }()
	select {
	case h := <-opened:
		return h
	case <-time.After(folderWait):
		slog.Error("state not kept", "reason", "the folder does not answer", "waited", folderWait)
		h := emptyHandover()
		h.late = opened
		return h
	}
}

// emptyHandover is that of a process that stands alone and keeps nothing.
func emptyHandover() *handover {
	return &handover{saves: make(chan struct{}, savesAtOnce), news: make(chan struct{}, 1)}
}

// followLate takes over the calls by hand of a folder that did not answer in time, once it does; those that were made at this
// process meanwhile are newer. Nothing else of it counts until the next start.
func (h *handover) followLate(ctx context.Context, calls func(map[string]handed)) {
	if h.late == nil {
		return
	}
	select {
	case late := <-h.late:
		owed := late.known()
		for instance := range h.known() {
			delete(owed, instance)
		}
		slog.Warn("state came late", "calls", len(owed))
		calls(owed)
	case <-ctx.Done():
	}
}

// enterFolder opens the state in a folder.
func enterFolder(dir, name string, options store.Options) *handover {
	h := emptyHandover()
	base := filepath.Join(dir, "sidecar-"+url.PathEscape(name))
	h.state = base + ".state"
	if err := h.enter(base + ".lock"); err != nil {
		slog.Error("upgrade alone", "error", err)
	}
	began := time.Now()
	options.Dir, options.Alone = base+".kept", func() bool { return h.lock != nil && h.count() == 1 }
	var err error
	h.store, err = store.Open(options)
	if err != nil {
		slog.Error("state not kept", "reason", err)
	}
	h.adopt()
	h.seeBacks(time.Now())
	damage := h.store.Damage().Files
	slog.Info("state", "number", h.store.Number(), "calls", len(h.inForce()), "bytes", h.bytes(), "took", time.Since(began), "damaged", len(damage))
	for _, d := range damage {
		slog.Error("state damaged", "error", d)
	}
	return h
}

// adopt takes over what older programs have left, or a second copy of the calls where the state itself was damaged.
func (h *handover) adopt() {
	servers, old, err := h.older()
	bare := h.store.Fresh() || len(h.store.Damage().Files) > 0
	switch {
	case err != nil:
		slog.Error("state not read", "error", err)
		if bare {
			h.mu.Lock()
			h.oldDamage = 1
			h.mu.Unlock()
		}
	case old || bare:
		h.take(servers)
	}
}

// take enters calls that are younger than what the state has of their servers.
func (h *handover) take(servers map[string]handed) {
	known := h.inForce()
	for instance, c := range servers {
		if was, ok := known[instance]; ok && was.AtMs >= c.AtMs {
			continue
		}
		if err := h.enterCall(instance, c); err != nil {
			slog.Error("by hand not kept", "server", instance, "out", c.Out, "error", err)
		}
	}
}

// enter takes the first byte of the lock file that no other process holds.
func (h *handover) enter(path string) error {
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
func (h *handover) tryEnter(path string) error {
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
	_, err := retryInterrupted(func() (int, error) { return 0, syscall.FcntlFlock(f.Fd(), command, &lock) })
	if err == nil && command == getLock && lock.Type != syscall.F_UNLCK {
		return syscall.EAGAIN
	}
	return err
}

// count tells how many processes run, this one included. One that the system does not tell of is held for what it was.
func (h *handover) count() int {
	h.counting.Lock() // and not mu: the store counts under a lock of its own
	defer h.counting.Unlock()
	n := 1
	for at := int64(0); h.lock != nil && at < processes; at++ {
		if at == h.mine {
			continue
		}
		err := fcntl(h.lock, getLock, at, syscall.F_WRLCK)
		switch {
		case err == nil:
			h.others[at] = false
		case errors.Is(err, syscall.EAGAIN):
			h.others[at] = true
		}
		if h.others[at] {
			n++
		}
	}
	return n
}

// older reads the file for older programs. old says that one of them wrote it. With no error and no servers there is
// nothing new.
func (h *handover) older() (servers map[string]handed, old bool, err error) {
	info, err := os.Stat(h.state)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil // no call was made so far
	}
	if err != nil {
		return nil, false, err
	}
	if h.read != nil && os.SameFile(info, h.read) && info.ModTime().Equal(h.read.ModTime()) {
		return nil, false, nil
	}
	h.read = info // told once, if it can't be used
	f, err := os.Open(h.state)
	if err != nil {
		return nil, false, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, stateLimit+1))
	if err != nil {
		return nil, false, err
	}
	var s stateFile
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields() // a key with a flipped bit is no key of an older form
	if err := d.Decode(&s); err != nil {
		return nil, false, fmt.Errorf("%s is damaged: %w", h.state, err)
	}
	switch {
	case s.Version != stateVersion || len(s.Servers) > stateMost:
		return nil, false, fmt.Errorf("%s: version %d with %d servers can't be used", h.state, s.Version, len(s.Servers))
	case s.Sum != nil && *s.Sum != s.sum():
		return nil, false, fmt.Errorf("%s is damaged: its checksum is wrong", h.state)
	}
	return s.Servers, s.Sum == nil, nil
}

// save enters a call, on top of those that the other process has entered, and returns once it is durable.
func (h *handover) save(instance string, out bool, now time.Time) error {
	h.saving.Lock()
	defer h.saving.Unlock()
	if h.lock != nil {
		for tries := 0; ; tries++ { // the other process writes only for moments
			err := fcntl(h.lock, setLock, writer, syscall.F_WRLCK)
			if err == nil {
				break
			}
			if time.Duration(tries)*time.Millisecond >= stateWait {
				return errors.Join(fmt.Errorf("lock: %w", err), h.enterCall(instance, handed{out, now.UnixMilli()}))
			}
			time.Sleep(time.Millisecond)
		}
		defer func() { _ = fcntl(h.lock, setLock, writer, syscall.F_UNLCK) }() // fails only on a closed file
		h.follow()
	}
	if err := h.enterCall(instance, handed{out, now.UnixMilli()}); err != nil {
		return err
	}
	h.forget(now)
	if err := h.write(); err != nil { // only a program from before the state would miss it
		slog.Warn("state not kept", "reason", err)
	}
	return nil
}

// enterCall makes a call durable. Said again, it keeps the moment at which it was said first.
func (h *handover) enterCall(instance string, c handed) error {
	known := h.inForce()
	old, ok := known[instance]
	if h.store == nil {
		if h.handed == nil {
			h.handed = make(map[string]handed)
		}
		if !ok || old.Out != c.Out {
			h.handed[instance] = c
		}
		return errors.New("there is no folder to keep it in (TMPDIR)")
	}
	if ok && old.Out == c.Out || !ok && !c.Out {
		return h.store.Sync() // it may not have been kept the first time
	}
	if len(known) >= stateMost {
		return errors.New("too many servers are out by hand to keep one more")
	}
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return h.store.Put(sectionCalls, instance, raw)
}

// seeBacks notes since when this process has seen each call back.
func (h *handover) seeBacks(now time.Time) {
	seen := make(map[string]backSeen)
	for instance, c := range h.inForce() {
		if c.Out {
			continue
		}
		seen[instance] = backSeen{c.AtMs, now}
		if before, ok := h.backs[instance]; ok && before.atMs == c.AtMs {
			seen[instance] = before
		}
	}
	h.backs = seen
}

// forget drops calls back that everybody knows of by now. How long one has been there is time of this process's own: the wall
// clock may have been stepped since the call.
func (h *handover) forget(now time.Time) {
	h.seeBacks(now)
	for instance, seen := range h.backs {
		if h.store != nil && now.Sub(seen.at) > backKept {
			_ = h.store.Delete(sectionCalls, instance) // or it stays for longer
		}
	}
}

// write replaces the file for older programs as a whole.
func (h *handover) write() error {
	if h.state == "" {
		return nil
	}
	s := stateFile{Version: stateVersion, Servers: h.inForce()}
	sum := s.sum()
	s.Sum = &sum
	raw, err := json.Marshal(s)
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

// follow takes in what the other process has kept, of this program or of an older one.
func (h *handover) follow() {
	if h.store == nil {
		return
	}
	if _, err := h.store.Follow(); err != nil {
		slog.Error("state not read", "error", err)
	}
	servers, old, err := h.older()
	switch {
	case err != nil:
		slog.Error("state not read", "error", err)
	case old:
		h.take(servers)
	}
}

// known returns the calls in force, those of the other process included.
func (h *handover) known() map[string]handed {
	h.saving.Lock()
	defer h.saving.Unlock()
	if h.lock != nil {
		h.follow()
	}
	h.seeBacks(time.Now())
	return h.inForce()
}

// watch follows the other process until ctx ends, from n processes on: changed hears how many run when that is
// another number, and calls hears which servers are out while there are two, and once more when there is one again.
func (h *handover) watch(ctx context.Context, n int, changed func(n int), calls func(map[string]handed)) {
	if h.lock == nil {
		return
	}
	looked := time.Now()
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
		again := h.store.Unread() && time.Since(looked) >= unreadPoll
		if n > 1 || before > 1 || again {
			looked = time.Now()
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
