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
	legacyVersion     = 1
	maxLegacyFileSize = 1 << 20                // bytes of the legacy file; far above any real one
	maxOperatorCalls  = 4096                   // servers with an operator call
	enableRetention   = time.Minute            // how long an enable call is kept, so that a second process knows that the server is cold
	writeLockTimeout  = 300 * time.Millisecond // the other process holds the lock for less than this
)

// operatorCall is the last operator call on a server: one that is administratively disabled, or was until recently.
type operatorCall struct {
	Out  bool  `json:"out"`  // whether the server is administratively disabled
	AtMs int64 `json:"atMs"` // Unix time of the call in milliseconds
}

// enableSeen is when this process first saw an enable call.
type enableSeen struct {
	atMs int64     // Unix time of the call in milliseconds, which identifies it
	at   time.Time // by the monotonic clock
}

// legacyFile is the content of the file that programs from before the state store read and write. They ignore the sum.
type legacyFile struct {
	Version int                     `json:"version"`
	Servers map[string]operatorCall `json:"servers"`
	Sum     *uint32                 `json:"sum,omitempty"` // checksum of the servers; nil: an older program wrote the file
}

// checksum returns the CRC-32C of the servers in JSON.
func (s *legacyFile) checksum() uint32 {
	raw, err := json.Marshal(s.Servers)
	if err != nil {
		panic(err) // can't happen: all fields are plain
	}
	return crc32.Checksum(raw, crc32.MakeTable(crc32.Castagnoli))
}

// importLegacy merges the legacy file into the state if an older program wrote it, or if the state is new or damaged
// and the file is a second copy of the calls.
func (h *sharedState) importLegacy() {
	servers, old, err := h.readLegacy()
	incomplete := h.store.WasEmpty() || len(h.store.Damage().Findings) > 0
	switch {
	case err != nil:
		slog.Error("state not read", "error", err)
		if incomplete {
			h.mu.Lock()
			h.legacyDamage = 1
			h.mu.Unlock()
		}
	case old || incomplete:
		h.mergeCalls(servers)
	}
}

// mergeCalls stores the calls that are later than the state's calls on the same servers.
func (h *sharedState) mergeCalls(servers map[string]operatorCall) {
	known := h.callsInForce()
	for instance, c := range servers {
		if stored, ok := known[instance]; ok && stored.AtMs >= c.AtMs {
			continue
		}
		if err := h.storeCall(instance, c); err != nil {
			slog.Error("by hand not kept", "server", instance, "out", c.Out, "error", err)
		}
	}
}

// readLegacy reads the legacy file; old reports whether an older program wrote it. It returns no servers and no error
// if the file is missing or has not changed since it was last read.
func (h *sharedState) readLegacy() (servers map[string]operatorCall, old bool, err error) {
	info, err := os.Stat(h.legacyPath)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil // no call has been made yet
	}
	if err != nil {
		return nil, false, err
	}
	if h.legacyInfo != nil && os.SameFile(info, h.legacyInfo) && info.ModTime().Equal(h.legacyInfo.ModTime()) {
		return nil, false, nil
	}
	h.legacyInfo = info // so that an invalid file is reported only once
	f, err := os.Open(h.legacyPath)
	if err != nil {
		return nil, false, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxLegacyFileSize+1))
	if err != nil {
		return nil, false, err
	}
	var s legacyFile
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields() // no older program writes other keys, so another key is a sign of damage
	if err := d.Decode(&s); err != nil {
		return nil, false, fmt.Errorf("%s is damaged: %w", h.legacyPath, err)
	}
	switch {
	case s.Version != legacyVersion || len(s.Servers) > maxOperatorCalls:
		return nil, false, fmt.Errorf("%s: version %d with %d servers can't be used", h.legacyPath, s.Version, len(s.Servers))
	case s.Sum != nil && *s.Sum != s.checksum():
		return nil, false, fmt.Errorf("%s is damaged: its checksum is wrong", h.legacyPath)
	}
	return s.Servers, s.Sum == nil, nil
}

// persistCall stores a call made at time now, after those that the other process has stored, and returns once it is
// durable.
func (h *sharedState) persistCall(instance string, disabled bool, now time.Time) error {
	h.saveMu.Lock()
	defer h.saveMu.Unlock()
	if h.lockFile != nil {
		for tries := 0; ; tries++ { // the other process holds the lock only briefly
			err := fcntl(h.lockFile, ofdSetLock, writerByte, syscall.F_WRLCK)
			if err == nil {
				break
			}
			if time.Duration(tries)*time.Millisecond >= writeLockTimeout {
				return errors.Join(fmt.Errorf("lock: %w", err), h.storeCall(instance, operatorCall{disabled, now.UnixMilli()}))
			}
			time.Sleep(time.Millisecond)
		}
		defer func() { _ = fcntl(h.lockFile, ofdSetLock, writerByte, syscall.F_UNLCK) }() // fails only on a closed file
		h.followOthers()
	}
	if err := h.storeCall(instance, operatorCall{disabled, now.UnixMilli()}); err != nil {
		return err
	}
	h.dropOldEnables(now)
	if err := h.writeLegacy(); err != nil { // only older programs read it
		slog.Warn("state not kept", "reason", err)
	}
	return nil
}

// storeCall makes a call durable. A repeated call keeps the time of the first.
func (h *sharedState) storeCall(instance string, c operatorCall) error {
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
		return h.store.Sync() // the first call may not have become durable
	}
	if len(known) >= maxOperatorCalls {
		return errors.New("too many servers are out by hand to keep one more")
	}
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return h.store.Put(sectionCalls, instance, raw)
}

// noteEnables records when this process first saw each enable call.
func (h *sharedState) noteEnables(now time.Time) {
	seen := make(map[string]enableSeen)
	for instance, c := range h.callsInForce() {
		if c.Out {
			continue
		}
		seen[instance] = enableSeen{c.AtMs, now}
		if before, ok := h.enables[instance]; ok && before.atMs == c.AtMs {
			seen[instance] = before
		}
	}
	h.enables = seen
}

// dropOldEnables deletes enable calls that this process has known for longer than enableRetention. Their age is
// measured from when this process first saw them, as the wall clock may have been stepped since the call.
func (h *sharedState) dropOldEnables(now time.Time) {
	h.noteEnables(now)
	for instance, seen := range h.enables {
		if h.store != nil && now.Sub(seen.at) > enableRetention {
			_ = h.store.Delete(sectionCalls, instance) // after an error the call is kept until the next deletion
		}
	}
}

// writeLegacy replaces the legacy file with the calls in force.
func (h *sharedState) writeLegacy() error {
	if h.legacyPath == "" {
		return nil
	}
	s := legacyFile{Version: legacyVersion, Servers: h.callsInForce()}
	sum := s.checksum()
	s.Sum = &sum
	raw, err := json.Marshal(s)
	if err != nil {
		return err
	}
	next := fmt.Sprintf("%s.%d", h.legacyPath, h.lockIndex) // at most one such file remains per process that is killed
	if err := os.WriteFile(next, raw, 0o600); err != nil {
		return errors.Join(err, os.Remove(next))
	}
	if err := os.Rename(next, h.legacyPath); err != nil {
		return err
	}
	h.legacyInfo, err = os.Stat(h.legacyPath)
	return err
}

// followOthers reads what the other process of this sidecar has stored, whether it runs this program or an older one.
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

// currentCalls returns the operator calls in force by server instance, those made at the other process included.
func (h *sharedState) currentCalls() map[string]operatorCall {
	h.saveMu.Lock()
	defer h.saveMu.Unlock()
	if h.lockFile != nil {
		h.followOthers()
	}
	h.noteEnables(time.Now())
	return h.callsInForce()
}

// followLateState passes to calls the operator calls of a state folder that did not answer at the start, once it does.
// Calls made at this process in the meantime take precedence. The rest of that state is not used until the next start.
func (h *sharedState) followLateState(ctx context.Context, calls func(map[string]operatorCall)) {
	if h.lateState == nil {
		return
	}
	select {
	case late := <-h.lateState:
		lateCalls := late.currentCalls()
		for instance := range h.currentCalls() {
			delete(lateCalls, instance)
		}
		slog.Warn("state came late", "calls", len(lateCalls))
		calls(lateCalls)
	case <-ctx.Done():
	}
}
