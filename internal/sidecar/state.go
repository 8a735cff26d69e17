package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"arrowgw/internal/balance"
	"arrowgw/internal/store"
)

const (
	saveInterval      = time.Second            // how often learned state is saved if it changed
	syncInterval      = 10 * time.Second       // how often it is made durable: a power failure loses up to this much, a killed process nothing
	listSaveInterval  = 100 * time.Millisecond // minimum time between two writes of the list
	maxSavedListAge   = time.Hour              // an older saved list is not used
	maxSavedListBytes = 256 << 10              // of a larger list only the servers that are not ready are saved
	minRateChange     = 0.2                    // smaller relative changes of the request rate are not saved
	saveTimeout       = 800 * time.Millisecond // how long a console call or the end of the process waits for the disk
	maxPendingSaves   = 8                      // calls waiting for the disk; above that the disk counts as stuck
)

// The sections of the state and, where a section has one value, its key.
const (
	sectionCalls   = "calls"   // operator calls (operatorCall), by instanceId
	sectionList    = "list"    // savedList
	sectionLearned = "learned" // savedLearned
	singleKey      = "all"
)

// errNotDurable is the error of a console call that is in force but could not be stored.
type errNotDurable struct{ why error }

// Error returns the text that the console answers with.
func (e errNotDurable) Error() string { return fmt.Sprintf("it holds, but is not kept: %v", e.why) }

// savedList is the stored form of the server list. Times are Unix milliseconds.
type savedList struct {
	Source          string          `json:"source"` // discovery's address
	Answer          json.RawMessage `json:"answer"` // the whole list in discovery's format
	Epoch           int64           `json:"line,omitempty"`
	Version         int64           `json:"version,omitempty"` // of Answer, to be read without parsing it; 0 if an older program wrote this
	PreviousVersion int64           `json:"before,omitempty"`
	VersionAtMs     int64           `json:"heardMs,omitempty"`
	Short           bool            `json:"short,omitempty"` // the list was too long: only servers that are not ready are in it
	Withheld        []savedWithheld `json:"away,omitempty"`
	Gone            []savedRemoval  `json:"gone,omitempty"`
	CarriedOver     []savedRemoval  `json:"held,omitempty"`
	CarriedUntilMs  int64           `json:"untilMs,omitempty"` // end of CarriedOver
}

// savedWithheld is the stored form of an entry of serverList.withheld.
type savedWithheld struct {
	ID    uint64 `json:"id"`
	Until int64  `json:"until"` // version of the list
}

// savedRemoval is the stored form of a removal.
type savedRemoval struct {
	ID        uint64 `json:"id"`
	AtMs      int64  `json:"atMs"`
	StartedNs int64  `json:"startedNs,omitempty"` // in nanoseconds, so that it equals the list's
}

// pendingList is a list that waits to be written to the store.
type pendingList struct {
	raw     []byte // saved as JSON
	saved   savedList
	durable bool // to be made durable at once
}

// savedLearned is the stored form of what the module has learned. Times are Unix milliseconds.
type savedLearned struct {
	AtMs    int64         `json:"atMs"`
	Rate    float64       `json:"rate"`
	Servers []savedServer `json:"servers,omitempty"`
}

// savedServer is the stored form of what the module has learned about a server.
type savedServer struct {
	ID            uint64  `json:"id"`
	Failures      int     `json:"fails,omitempty"`
	SilentSinceMs int64   `json:"silentMs,omitempty"`
	WarmAtMs      int64   `json:"warmAtMs,omitempty"`
	LatencyRatio  float64 `json:"strain"`
}

// millis returns d in whole milliseconds.
func millis(d time.Duration) int64 { return int64(d / time.Millisecond) }

// fromMillis is the inverse of millis. It limits ms to the range of a time.Duration.
func fromMillis(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
}

// newSavedLearned converts learned state to its stored form.
func newSavedLearned(learned balance.Learned) savedLearned {
	saved := savedLearned{AtMs: millis(learned.At), Rate: learned.Rate}
	for _, s := range learned.Servers {
		saved.Servers = append(saved.Servers, savedServer{uint64(s.ID), s.Failures, millis(s.SilentSince), millis(s.WarmAt), s.LatencyRatio})
	}
	return saved
}

// toBalance converts stored learned state back.
func (saved savedLearned) toBalance() balance.Learned {
	learned := balance.Learned{At: fromMillis(saved.AtMs), Rate: saved.Rate}
	for _, s := range saved.Servers {
		learned.Servers = append(learned.Servers, balance.LearnedServer{
			ID: balance.ServerID(s.ID), Failures: s.Failures, SilentSince: fromMillis(s.SilentSinceMs), WarmAt: fromMillis(s.WarmAtMs), LatencyRatio: s.LatencyRatio,
		})
	}
	return learned
}

// nearlyEqual reports whether the state differs too little from old to be written.
func (saved savedLearned) nearlyEqual(old savedLearned) bool {
	if math.Abs(saved.Rate-old.Rate) > minRateChange*max(old.Rate, 1) || len(saved.Servers) != len(old.Servers) {
		return false
	}
	for i, s := range saved.Servers {
		s.LatencyRatio = old.Servers[i].LatencyRatio // changes with every answer
		if s != old.Servers[i] {
			return false
		}
	}
	return true
}

// readSection reads the value of a section that has a single key, and when it was stored. ok is false if there is none or
// it can't be read.
func readSection[T any](s *store.Store, section string) (value T, at time.Time, ok bool) {
	e, ok := s.Get(section, singleKey)
	if !ok {
		return value, at, false
	}
	if err := json.Unmarshal(e.Value, &value); err != nil {
		slog.Error("state not read", "error", fmt.Errorf("section %s: %w", section, err))
		return value, at, false
	}
	return value, e.At, true
}

// queueList queues the list for writing; the discovery client must not wait for the disk. With durable it is made durable
// at once, as is needed when servers were removed.
func (h *sharedState) queueList(list *serverList, durable bool) {
	if h.store == nil || list.version == unknownVersion {
		return
	}
	saved := savedList{
		Source: list.source, Epoch: list.epoch, Version: list.version, PreviousVersion: max(list.previousVersion, 0), VersionAtMs: millis(list.versionAt), CarriedUntilMs: millis(list.carriedUntil), Short: !list.complete,
	}
	answer := struct {
		Generation int64             `json:"generation"`
		Reset      bool              `json:"reset"`
		Instances  []json.RawMessage `json:"instances"`
	}{list.version, true, []json.RawMessage{}}
	size := 0
	for _, e := range list.entries {
		size += len(e.raw)
	}
	saved.Short = saved.Short || size > maxSavedListBytes
	size = 0
	for _, id := range slices.Sorted(maps.Keys(list.entries)) {
		e := list.entries[id]
		if saved.Short && e.State == balance.Ready || size+len(e.raw) > maxSavedListBytes {
			continue
		}
		answer.Instances = append(answer.Instances, e.raw)
		size += len(e.raw)
	}
	for _, id := range slices.Sorted(maps.Keys(list.withheld)) {
		saved.Withheld = append(saved.Withheld, savedWithheld{uint64(id), list.withheld[id]})
	}
	saved.Gone, saved.CarriedOver = savedRemovals(list.gone), savedRemovals(list.carriedOver)
	raw, err := json.Marshal(answer)
	if err == nil {
		saved.Answer = raw
		raw, err = json.Marshal(saved)
	}
	if err != nil {
		slog.Warn("state not kept", "reason", err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	durable = durable || h.pendingList != nil && h.pendingList.durable
	h.pendingList = &pendingList{raw, saved, durable}
	select {
	case h.listChanged <- struct{}{}:
	default:
	}
}

// savedRemovals converts removals to their stored form, ordered by ID, at most maxGoneServers of them.
func savedRemovals(all map[balance.ServerID]removal) (saved []savedRemoval) {
	for _, id := range slices.Sorted(maps.Keys(all)) {
		if len(saved) < maxGoneServers {
			saved = append(saved, savedRemoval{uint64(id), millis(all[id].recordedAt), int64(all[id].started)})
		}
	}
	return saved
}

// writeList writes the queued list to the store, unless another process of this sidecar has stored a newer one.
func (h *sharedState) writeList() error {
	h.mu.Lock()
	next := h.pendingList
	h.pendingList = nil
	h.mu.Unlock()
	if next == nil {
		return nil
	}
	if _, err := h.store.Refresh(); err != nil {
		return err
	}
	if old, _, ok := readSection[savedList](h.store, sectionList); ok {
		newer := old.Epoch > next.saved.Epoch
		if old.Epoch == next.saved.Epoch && old.Source == next.saved.Source {
			if old.Version == 0 {
				l, _ := parseListing(old.Answer, nil) // an unreadable list counts as not newer
				old.Version = l.version
			}
			newer = old.Version > next.saved.Version
		}
		if newer {
			return nil
		}
	}
	err := h.store.PutUnsynced(sectionList, singleKey, next.raw)
	if err == nil && next.durable {
		err = h.store.Sync()
	}
	if err != nil { // the folder may fail for a while: try again with the next write, unless a newer list is queued
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.pendingList == nil {
			h.pendingList = next
		}
	}
	return err
}

// changedList returns the list that this sidecar's processes have stored last, and its raw form. changed is false if the raw
// form equals previous or can't be read.
func (h *sharedState) changedList(previous []byte, zones map[string]int) (saved savedList, l listing, raw []byte, changed bool) {
	if h.store == nil {
		return saved, l, nil, false
	}
	e, ok := h.store.Get(sectionList, singleKey)
	if !ok || bytes.Equal(e.Value, previous) || json.Unmarshal(e.Value, &saved) != nil {
		return saved, l, e.Value, false
	}
	l, err := parseListing(saved.Answer, zones)
	return saved, l, e.Value, err == nil
}

// loadServerList returns the list that an earlier process stored, or the configuration's.
func (h *sharedState) loadServerList(cfg *Config, now time.Duration) *serverList {
	var saved savedList
	var savedAt time.Time
	if h.store != nil {
		saved, savedAt, _ = readSection[savedList](h.store, sectionList)
	}
	return restoreServerList(cfg, saved, savedAt, now)
}

// restoreServerList builds the list from the newer of the stored one and the configuration's. If the stored one is too old
// to be served from, the servers that it records as removed are still withheld.
func restoreServerList(cfg *Config, saved savedList, savedAt time.Time, now time.Duration) *serverList {
	list, known := newServerList(cfg.Discovery), cfg.KnownServers
	known.whole = true
	parsed, err := listing{}, error(nil)
	if len(saved.Answer) > 0 {
		if parsed, err = parseListing(saved.Answer, cfg.Zones); err != nil {
			slog.Error("state not read", "error", fmt.Errorf("section %s: %w", sectionList, err))
		}
	}
	if len(saved.Answer) == 0 || err != nil {
		if len(known.servers) > 0 {
			list.apply(known, now)
		}
		return list
	}
	list.source, list.epoch, list.previousVersion, list.version = saved.Source, saved.Epoch, saved.PreviousVersion, parsed.version
	list.versionAt, list.carriedUntil = fromMillis(saved.VersionAtMs), min(fromMillis(saved.CarriedUntilMs), now+carryOverTime)
	for _, s := range parsed.servers {
		list.entries[s.ID] = entry{s, parsed.addresses[s.ID], parsed.rawEntries[s.ID]}
	}
	for _, a := range saved.Withheld {
		list.withheld[balance.ServerID(a.ID)] = a.Until
	}
	for target, removals := range map[*map[balance.ServerID]removal][]savedRemoval{&list.gone: saved.Gone, &list.carriedOver: saved.CarriedOver} {
		for _, r := range removals[:min(len(removals), maxGoneServers)] {
			(*target)[balance.ServerID(r.ID)] = removal{fromMillis(r.AtMs), time.Duration(r.StartedNs)}
		}
	}
	if now >= list.carriedUntil {
		clear(list.carriedOver)
	}
	age := now - time.Duration(savedAt.UnixNano())
	fresh := !saved.Short && len(parsed.servers) > 0 && age >= 0 && age <= maxSavedListAge
	newer := known.version > list.version && known.version > list.previousVersion || known.version == list.version && !fresh
	switch {
	case saved.Source != cfg.Discovery: // versions of another discovery are not comparable
		list.setSource(cfg.Discovery, now)
		if clear(list.entries); len(known.servers) > 0 {
			list.apply(known, now)
		}
	case len(known.servers) > 0 && newer:
		list.apply(known, now)
	case fresh:
		list.complete = true
	default:
		list.useOlderList(known, saved.Short)
	}
	return list
}

// loadLearned returns the learned state that an earlier process stored. The module decides how much of it is still valid.
func (h *sharedState) loadLearned() (balance.Learned, bool) {
	if h.store == nil {
		return balance.Learned{}, false
	}
	saved, _, ok := readSection[savedLearned](h.store, sectionLearned)
	return saved.toBalance(), ok
}

// persist saves the queued lists and the module's learned state until ctx ends, and then makes them durable. It runs on
// its own goroutine, so that the loop never waits for the disk.
func (h *sharedState) persist(ctx context.Context, learnedState func(context.Context) (balance.Learned, error)) {
	if h.store == nil {
		return
	}
	defer func() {
		if err := errors.Join(h.writeList(), h.store.Close()); err != nil {
			slog.Warn("state not kept", "reason", err)
		}
	}()
	tick := time.NewTicker(saveInterval)
	defer tick.Stop()
	var last savedLearned
	failing, syncedAt := false, time.Now()
	logFailure := func(err error) { // logs the first of several failures in a row
		if err != nil && !failing {
			slog.Warn("state not kept", "reason", err)
		}
		failing = err != nil
	}
	queued, listPause := h.listChanged, (<-chan time.Time)(nil)
	for {
		select {
		case <-queued:
			logFailure(h.writeList())
			queued, listPause = nil, time.After(listSaveInterval)
			continue
		case <-listPause:
			queued, listPause = h.listChanged, nil
			continue
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		l, err := learnedState(ctx)
		if err != nil {
			return // the loop has ended
		}
		err = h.writeList()
		if current := newSavedLearned(l); !current.nearlyEqual(last) {
			raw, writeErr := json.Marshal(current)
			if writeErr == nil {
				writeErr = h.store.PutUnsynced(sectionLearned, singleKey, raw)
			}
			if writeErr == nil {
				last = current
			}
			err = errors.Join(err, writeErr)
		}
		if time.Since(syncedAt) >= syncInterval {
			err = errors.Join(err, h.store.Sync())
			syncedAt = time.Now()
		}
		logFailure(err)
	}
}

// damageCount returns the number of places where the state was found damaged since an operator last confirmed it.
func (h *sharedState) damageCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.legacyDamage
	if h.store != nil {
		n += len(h.store.Damage().Findings)
	}
	return n
}

// confirmDamage records an operator's confirmation that the right servers are disabled although the state was damaged.
func (h *sharedState) confirmDamage() error {
	if h.store == nil {
		return errors.New("there is no state")
	}
	if err := h.store.ConfirmState(); err != nil { // may wait for the disk, so the lock is not held
		return errNotDurable{err}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.legacyDamage = 0
	return nil
}

// stateSize returns the size of the state file in bytes.
func (h *sharedState) stateSize() int {
	if h.store == nil {
		return 0
	}
	return h.store.CommittedSize()
}

// saveCall stores an operator call. It waits for the disk no longer than saveTimeout, as the caller waits at the console.
func (h *sharedState) saveCall(instance string, disabled bool, at time.Time) error {
	select {
	case h.pendingSaves <- struct{}{}:
	default:
		return errNotDurable{errors.New("the disk is stuck")}
	}
	done := make(chan error, 1)
	go func() {
		defer func() { <-h.pendingSaves }()
		done <- h.persistCall(instance, disabled, at)
	}()
	select {
	case err := <-done:
		if err != nil {
			return errNotDurable{err}
		}
		return nil
	case <-time.After(saveTimeout):
		return errNotDurable{fmt.Errorf("the disk has not answered for %v", saveTimeout)}
	}
}

// callsInForce returns the operator calls in force, by instanceId.
func (h *sharedState) callsInForce() map[string]operatorCall {
	if h.store == nil {
		return maps.Clone(h.unsavedCalls)
	}
	all := make(map[string]operatorCall)
	for instance, e := range h.store.All(sectionCalls) {
		var c operatorCall
		if err := json.Unmarshal(e.Value, &c); err != nil {
			slog.Error("state not read", "error", fmt.Errorf("section %s, key %s: %w", sectionCalls, instance, err))
			continue
		}
		all[instance] = c
	}
	return all
}
