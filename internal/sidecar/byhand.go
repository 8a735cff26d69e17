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
	"os"
	"syscall"
	"time"
)

const (
	stateVersion = 1
	stateLimit   = 1 << 20                // bytes of a state file; far above any real one
	stateMost    = 4096                   // servers in it
	backKept     = time.Minute            // a call back is kept so long: a second process must know who is cold
	stateWait    = 300 * time.Millisecond // the other process writes for no longer than this
)

// handed is a server that is out by hand, or was until lately.
type operatorCall struct {
	Out  bool  `json:"out"`
	AtMs int64 `json:"atMs"` // Unix time of the call
}

// backSeen is when a call back was first seen by this process.
type backSeen struct {
	atMs int64     // of the call, which tells it from others
	at   time.Time // with the monotonic clock
}

// stateFile is the form of the file for older programs, which pass over the sum.
type stateFile struct {
	Version int                     `json:"version"`
	Servers map[string]operatorCall `json:"servers"`
	Sum     *uint32                 `json:"sum,omitempty"` // of the servers; nil: an older program wrote it
}

// sum is the checksum of a file's servers.
func (s *stateFile) checksum() uint32 {
	raw, err := json.Marshal(s.Servers)
	if err != nil {
		panic(err) // of plain fields
	}
	return crc32.Checksum(raw, crc32.MakeTable(crc32.Castagnoli))
}

// adopt takes over what older programs have left, or a second copy of the calls where the state itself was damaged.
func (h *sharedState) adopt() {
	servers, old, err := h.readLegacy()
	bare := h.store.WasEmpty() || len(h.store.Damage().Findings) > 0
	switch {
	case err != nil:
		slog.Error("state not read", "error", err)
		if bare {
			h.mu.Lock()
			h.legacyDamage = 1
			h.mu.Unlock()
		}
	case old || bare:
		h.mergeCalls(servers)
	}
}

// take enters calls that are younger than what the state has of their servers.
func (h *sharedState) mergeCalls(servers map[string]operatorCall) {
	known := h.callsInForce()
	for instance, c := range servers {
		if was, ok := known[instance]; ok && was.AtMs >= c.AtMs {
			continue
		}
		if err := h.enterCall(instance, c); err != nil {
			slog.Error("by hand not kept", "server", instance, "out", c.Out, "error", err)
		}
	}
}

// older reads the file for older programs. old says that one of them wrote it. With no error and no servers there is
// nothing new.
func (h *sharedState) readLegacy() (servers map[string]operatorCall, old bool, err error) {
	info, err := os.Stat(h.legacyPath)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil // no call was made so far
	}
	if err != nil {
		return nil, false, err
	}
	if h.legacyInfo != nil && os.SameFile(info, h.legacyInfo) && info.ModTime().Equal(h.legacyInfo.ModTime()) {
		return nil, false, nil
	}
	h.legacyInfo = info // told once, if it can't be used
	f, err := os.Open(h.legacyPath)
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
		return nil, false, fmt.Errorf("%s is damaged: %w", h.legacyPath, err)
	}
	switch {
	case s.Version != stateVersion || len(s.Servers) > stateMost:
		return nil, false, fmt.Errorf("%s: version %d with %d servers can't be used", h.legacyPath, s.Version, len(s.Servers))
	case s.Sum != nil && *s.Sum != s.checksum():
		return nil, false, fmt.Errorf("%s is damaged: its checksum is wrong", h.legacyPath)
	}
	return s.Servers, s.Sum == nil, nil
}

// save enters a call, on top of those that the other process has entered, and returns once it is durable.
func (h *sharedState) persistCall(instance string, out bool, now time.Time) error {
	h.saving.Lock()
	defer h.saving.Unlock()
	if h.lock != nil {
		for tries := 0; ; tries++ { // the other process writes only for moments
			err := fcntl(h.lock, ofdSetLock, writerByte, syscall.F_WRLCK)
			if err == nil {
				break
			}
			if time.Duration(tries)*time.Millisecond >= stateWait {
				return errors.Join(fmt.Errorf("lock: %w", err), h.enterCall(instance, operatorCall{out, now.UnixMilli()}))
			}
			time.Sleep(time.Millisecond)
		}
		defer func() { _ = fcntl(h.lock, ofdSetLock, writerByte, syscall.F_UNLCK) }() // fails only on a closed file
		h.followOthers()
	}
	if err := h.enterCall(instance, operatorCall{out, now.UnixMilli()}); err != nil {
		return err
	}
	h.dropOldEnables(now)
	if err := h.writeLegacy(); err != nil { // only a program from before the state would miss it
		slog.Warn("state not kept", "reason", err)
	}
	return nil
}

// enterCall makes a call durable. Said again, it keeps the moment at which it was said first.
func (h *sharedState) enterCall(instance string, c operatorCall) error {
	known := h.callsInForce()
	old, ok := known[instance]
	if h.store == nil {
		if h.unsavedCalls == nil {
			h.unsavedCalls = make(map[string]operatorCall)
		}
		if !ok || old.Out != c.Out {
			h.unsavedCalls[instance] = c
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
func (h *sharedState) seeBacks(now time.Time) {
	seen := make(map[string]backSeen)
	for instance, c := range h.callsInForce() {
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
func (h *sharedState) dropOldEnables(now time.Time) {
	h.seeBacks(now)
	for instance, seen := range h.backs {
		if h.store != nil && now.Sub(seen.at) > backKept {
			_ = h.store.Delete(sectionCalls, instance) // or it stays for longer
		}
	}
}

// write replaces the file for older programs as a whole.
func (h *sharedState) writeLegacy() error {
	if h.legacyPath == "" {
		return nil
	}
	s := stateFile{Version: stateVersion, Servers: h.callsInForce()}
	sum := s.checksum()
	s.Sum = &sum
	raw, err := json.Marshal(s)
	if err != nil {
		return err
	}
	next := fmt.Sprintf("%s.%d", h.legacyPath, h.lockIndex) // a killed process leaves one such file at most
	if err := os.WriteFile(next, raw, 0o600); err != nil {
		return errors.Join(err, os.Remove(next))
	}
	if err := os.Rename(next, h.legacyPath); err != nil {
		return err
	}
	h.legacyInfo, err = os.Stat(h.legacyPath)
	return err
}

// follow takes in what the other process has kept, of this program or of an older one.
func (h *sharedState) followOthers() {
	if h.store == nil {
		return
	}
	if _, err := h.store.Refresh(); err != nil {
		slog.Error("state not read", "error", err)
	}
	servers, old, err := h.readLegacy()
	switch {
	case err != nil:
		slog.Error("state not read", "error", err)
	case old:
		h.mergeCalls(servers)
	}
}

// known returns the calls in force, those of the other process included.
func (h *sharedState) currentCalls() map[string]operatorCall {
	h.saving.Lock()
	defer h.saving.Unlock()
	if h.lock != nil {
		h.followOthers()
	}
	h.seeBacks(time.Now())
	return h.callsInForce()
}

// followLate takes over the calls by hand of a folder that did not answer in time, once it does; those that were made at this
// process meanwhile are newer. Nothing else of it counts until the next start.
func (h *sharedState) followLate(ctx context.Context, calls func(map[string]operatorCall)) {
	if h.lateState == nil {
		return
	}
	select {
	case late := <-h.lateState:
		owed := late.currentCalls()
		for instance := range h.currentCalls() {
			delete(owed, instance)
		}
		slog.Warn("state came late", "calls", len(owed))
		calls(owed)
	case <-ctx.Done():
	}
}
