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
	saveInterval      = time.Second            // how often what the module has learned is looked at
	syncInterval      = 10 * time.Second       // and made durable: a loss of power costs so much of it, the end of a process nothing
	listSaveInterval  = 100 * time.Millisecond // the list is written no more often than this
	maxSavedListAge   = time.Hour              // a kept list is no use past this
	maxSavedListBytes = 256 << 10              // of one that is larger only servers that are not ready are kept
	minRateChange     = 0.2                    // traffic that changed by less than this part is not worth a write
	saveTimeout       = 800 * time.Millisecond
	maxPendingSaves   = 8 // calls that wait for a disk; past that it is stuck
)

// The sections of the state and, where a section has one value, its key.
const (
	sectionCalls   = "calls"   // by instanceId: handed
	sectionList    = "list"    // keptList
	sectionLearned = "learned" // keptLearned
	singleKey      = "all"
)

// errNotDurable says that a call holds, but is not durable.
type errNotDurable struct{ why error }

func (e errNotDurable) Error() string { return fmt.Sprintf("it holds, but is not kept: %v", e.why) }

// savedList is the list of servers as it was acted on last. Times are Unix milliseconds.
type savedList struct {
	Source          string          `json:"source"` // discovery's address
	Answer          json.RawMessage `json:"answer"` // in discovery's form, whole
	Epoch           int64           `json:"line,omitempty"`
	Version         int64           `json:"version,omitempty"` // the answer's, to be read without it; 0: an older program wrote this
	PreviousVersion int64           `json:"before,omitempty"`
	VersionAtMs     int64           `json:"heardMs,omitempty"`
	Short           bool            `json:"short,omitempty"` // too long a list: only servers that are not ready are in it
	Withheld        []savedWithheld `json:"away,omitempty"`
	Gone            []savedRemoval  `json:"gone,omitempty"`
	CarriedOver     []savedRemoval  `json:"held,omitempty"`
	CarriedUntilMs  int64           `json:"untilMs,omitempty"` // of held
}

type savedWithheld struct {
	ID    uint64 `json:"id"`
	Until int64  `json:"until"` // a version
}

type savedRemoval struct {
	ID        uint64 `json:"id"`
	AtMs      int64  `json:"atMs"`
	StartedNs int64  `json:"startedNs,omitempty"` // to be the same as the list's
}

// pendingList is a list that is to be kept.
type pendingList struct {
	raw     []byte
	saved   savedList
	durable bool
}

// savedLearned is what the module has learned. Times are Unix milliseconds.
type savedLearned struct {
	AtMs    int64         `json:"atMs"`
	Rate    float64       `json:"rate"`
	Servers []savedServer `json:"servers,omitempty"`
}

type savedServer struct {
	ID       uint64  `json:"id"`
	Fails    int     `json:"fails,omitempty"`
	SilentMs int64   `json:"silentMs,omitempty"`
	WarmAtMs int64   `json:"warmAtMs,omitempty"`
	Strain   float64 `json:"strain"`
}

func millis(d time.Duration) int64 { return int64(d / time.Millisecond) }

func fromMillis(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
}

// newSavedLearned words what the module has learned.
func newSavedLearned(l balance.Learned) savedLearned {
	k := savedLearned{AtMs: millis(l.At), Rate: l.Rate}
	for _, s := range l.Servers {
		k.Servers = append(k.Servers, savedServer{uint64(s.ID), s.Fails, millis(s.Silent), millis(s.WarmAt), s.Strain})
	}
	return k
}

// toBalance is learned the other way round.
func (k savedLearned) toBalance() balance.Learned {
	l := balance.Learned{At: fromMillis(k.AtMs), Rate: k.Rate}
	for _, s := range k.Servers {
		l.Servers = append(l.Servers, balance.LearnedServer{
			ID: balance.ServerID(s.ID), Fails: s.Fails, Silent: fromMillis(s.SilentMs), WarmAt: fromMillis(s.WarmAtMs), Strain: s.Strain,
		})
	}
	return l
}

// nearlyEqual says whether there is nothing in k that is worth a write after old.
func (k savedLearned) nearlyEqual(old savedLearned) bool {
	if math.Abs(k.Rate-old.Rate) > minRateChange*max(old.Rate, 1) || len(k.Servers) != len(old.Servers) {
		return false
	}
	for i, s := range k.Servers {
		s.Strain = old.Servers[i].Strain // it changes with each answer
		if s != old.Servers[i] {
			return false
		}
	}
	return true
}

// readSection takes a kept value, or says that there is none that can be used.
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

// queueList has the list kept as it is now, soon: whoever follows discovery must not wait for a disk. What takes servers
// away is made durable at once.
func (h *handover) queueList(v *serverList, durable bool) {
	if h.store == nil || v.version == unknownVersion {
		return
	}
	k := savedList{
		Source: v.source, Epoch: v.epoch, Version: v.version, PreviousVersion: max(v.previousVersion, 0), VersionAtMs: millis(v.versionAt), CarriedUntilMs: millis(v.carriedUntil), Short: !v.complete,
	}
	answer := struct {
		Generation int64             `json:"generation"`
		Reset      bool              `json:"reset"`
		Instances  []json.RawMessage `json:"instances"`
	}{v.version, true, []json.RawMessage{}}
	size := 0
	for _, e := range v.entries {
		size += len(e.raw)
	}
	k.Short = k.Short || size > maxSavedListBytes
	size = 0
	for _, id := range slices.Sorted(maps.Keys(v.entries)) {
		e := v.entries[id]
		if k.Short && e.State == balance.Ready || size+len(e.raw) > maxSavedListBytes {
			continue
		}
		answer.Instances = append(answer.Instances, e.raw)
		size += len(e.raw)
	}
	for _, id := range slices.Sorted(maps.Keys(v.withheld)) {
		k.Withheld = append(k.Withheld, savedWithheld{uint64(id), v.withheld[id]})
	}
	k.Gone, k.CarriedOver = savedRemovals(v.gone), savedRemovals(v.carriedOver)
	raw, err := json.Marshal(answer)
	if err == nil {
		k.Answer = raw
		raw, err = json.Marshal(k)
	}
	if err != nil {
		slog.Warn("state not kept", "reason", err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	durable = durable || h.nextList != nil && h.nextList.durable
	h.nextList = &pendingList{raw, k, durable}
	select {
	case h.news <- struct{}{}:
	default:
	}
}

// savedRemovals words what was heard of servers, by id, in order; at most goneMost of them.
func savedRemovals(all map[balance.ServerID]removal) (kept []savedRemoval) {
	for _, id := range slices.Sorted(maps.Keys(all)) {
		if len(kept) < maxGoneServers {
			kept = append(kept, savedRemoval{uint64(id), millis(all[id].recordedAt), int64(all[id].started)})
		}
	}
	return kept
}

// writeList keeps the list that came last, where no other process of this sidecar has kept a newer one.
func (h *handover) writeList() error {
	h.mu.Lock()
	next := h.nextList
	h.nextList = nil
	h.mu.Unlock()
	if next == nil {
		return nil
	}
	if _, err := h.store.Follow(); err != nil {
		return err
	}
	if old, _, ok := readSection[savedList](h.store, sectionList); ok {
		newer := old.Epoch > next.saved.Epoch
		if old.Epoch == next.saved.Epoch && old.Source == next.saved.Source {
			if old.Version == 0 {
				l, _ := parseListing(old.Answer, nil) // one that can't be read is no newer
				old.Version = l.version
			}
			newer = old.Version > next.saved.Version
		}
		if newer {
			return nil
		}
	}
	err := h.store.Keep(sectionList, singleKey, next.raw)
	if err == nil && next.durable {
		err = h.store.Sync()
	}
	if err != nil { // the folder may fail for a while: it is still to be kept, unless there is a newer one
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.nextList == nil {
			h.nextList = next
		}
	}
	return err
}

// changedList returns the list that this sidecar's processes have kept last, where it is another than the one before.
func (h *handover) changedList(before []byte, zones map[string]int) (k savedList, l listing, raw []byte, news bool) {
	if h.store == nil {
		return k, l, nil, false
	}
	e, ok := h.store.Get(sectionList, singleKey)
	if !ok || bytes.Equal(e.Value, before) || json.Unmarshal(e.Value, &k) != nil {
		return k, l, e.Value, false
	}
	l, err := parseListing(k.Answer, zones)
	return k, l, e.Value, err == nil
}

// loadServerList returns what a process before this one knew of the list, or else what the configuration does.
func (h *handover) loadServerList(cfg *Config, now time.Duration) *serverList {
	var kept savedList
	var at time.Time
	if h.store != nil {
		kept, at, _ = readSection[savedList](h.store, sectionList)
	}
	return restoreServerList(cfg, kept, at, now)
}

// restoreServerList begins with the newer of the list that was kept at some moment and the configuration's. Where that is the
// configuration's as the kept one is too old to be served from, what that says against servers still holds.
func restoreServerList(cfg *Config, kept savedList, at time.Time, now time.Duration) *serverList {
	v, known := newServerList(cfg.Discovery), cfg.Known
	known.whole = true
	l, err := listing{}, error(nil)
	if len(kept.Answer) > 0 {
		if l, err = parseListing(kept.Answer, cfg.Zones); err != nil {
			slog.Error("state not read", "error", fmt.Errorf("section %s: %w", sectionList, err))
		}
	}
	if len(kept.Answer) == 0 || err != nil {
		if len(known.servers) > 0 {
			v.apply(known, now)
		}
		return v
	}
	v.source, v.epoch, v.previousVersion, v.version = kept.Source, kept.Epoch, kept.PreviousVersion, l.version
	v.versionAt, v.carriedUntil = fromMillis(kept.VersionAtMs), min(fromMillis(kept.CarriedUntilMs), now+carryOverTime)
	for _, s := range l.servers {
		v.entries[s.ID] = entry{s, l.addresses[s.ID], l.rawEntries[s.ID]}
	}
	for _, a := range kept.Withheld {
		v.withheld[balance.ServerID(a.ID)] = a.Until
	}
	for to, all := range map[*map[balance.ServerID]removal][]savedRemoval{&v.gone: kept.Gone, &v.carriedOver: kept.CarriedOver} {
		for _, g := range all[:min(len(all), maxGoneServers)] {
			(*to)[balance.ServerID(g.ID)] = removal{fromMillis(g.AtMs), time.Duration(g.StartedNs)}
		}
	}
	if now >= v.carriedUntil {
		clear(v.carriedOver)
	}
	age := now - time.Duration(at.UnixNano())
	fresh := !kept.Short && len(l.servers) > 0 && age >= 0 && age <= maxSavedListAge
	newer := known.version > v.version && known.version > v.previousVersion || known.version == v.version && !fresh
	switch {
	case kept.Source != cfg.Discovery: // versions of another discovery say nothing here
		v.setSource(cfg.Discovery, now)
		if clear(v.entries); len(known.servers) > 0 {
			v.apply(known, now)
		}
	case len(known.servers) > 0 && newer:
		v.apply(known, now)
	case fresh:
		v.complete = true
	default:
		v.useOlderList(known, kept.Short)
	}
	return v
}

// loadLearned returns what a process before this one had learned; the module judges what of it still holds.
func (h *handover) loadLearned() (balance.Learned, bool) {
	if h.store == nil {
		return balance.Learned{}, false
	}
	kept, _, ok := readSection[savedLearned](h.store, sectionLearned)
	return kept.toBalance(), ok
}

// persist keeps what the module learns until ctx ends, and then makes it durable. It never holds the loop up.
func (h *handover) persist(ctx context.Context, ask func(context.Context) (balance.Learned, error)) {
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
	failing, synced := false, time.Now()
	told := func(err error) { // once, not every second
		if err != nil && !failing {
			slog.Warn("state not kept", "reason", err)
		}
		failing = err != nil
	}
	news, rest := h.news, (<-chan time.Time)(nil)
	for {
		select {
		case <-news:
			told(h.writeList())
			news, rest = nil, time.After(listSaveInterval)
			continue
		case <-rest:
			news, rest = h.news, nil
			continue
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		l, err := ask(ctx)
		if err != nil {
			return // it ends
		}
		err = h.writeList()
		if now := newSavedLearned(l); !now.nearlyEqual(last) {
			raw, failed := json.Marshal(now)
			if failed == nil {
				failed = h.store.Keep(sectionLearned, singleKey, raw)
			}
			if failed == nil {
				last = now
			}
			err = errors.Join(err, failed)
		}
		if time.Since(synced) >= syncInterval {
			err = errors.Join(err, h.store.Sync())
			synced = time.Now()
		}
		told(err)
	}
}

// damageCount says in how many places the state was found damaged and no operator has confirmed it since.
func (h *handover) damageCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.oldDamage
	if h.store != nil {
		n += len(h.store.Damage().Files)
	}
	return n
}

// confirmDamage takes an operator's word that the servers that are out now are the right ones.
func (h *handover) confirmDamage() error {
	if h.store == nil {
		return errors.New("there is no state")
	}
	if err := h.store.Confirm(); err != nil { // it may wait for a disk: not under the lock of the figures
		return errNotDurable{err}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.oldDamage = 0
	return nil
}

// stateSize is the size of the state's file.
func (h *handover) stateSize() int {
	if h.store == nil {
		return 0
	}
	return h.store.Size()
}

// saveCall saves a call by hand, and waits for that only as long as a caller at the console may be kept waiting.
func (h *handover) saveCall(instance string, out bool, at time.Time) error {
	select {
	case h.saves <- struct{}{}:
	default:
		return errNotDurable{errors.New("the disk is stuck")}
	}
	done := make(chan error, 1)
	go func() {
		defer func() { <-h.saves }()
		done <- h.save(instance, out, at)
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

// calls returns the calls in force.
func (h *handover) callsInForce() map[string]handed {
	if h.store == nil {
		return maps.Clone(h.handed)
	}
	all := make(map[string]handed)
	for instance, e := range h.store.All(sectionCalls) {
		var c handed
		if err := json.Unmarshal(e.Value, &c); err != nil {
			slog.Error("state not read", "error", fmt.Errorf("section %s, key %s: %w", sectionCalls, instance, err))
			continue
		}
		all[instance] = c
	}
	return all
}
