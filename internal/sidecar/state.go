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
	keepEvery       = time.Second            // how often what the module has learned is looked at
	syncEvery       = 10 * time.Second       // and made durable: a loss of power costs so much of it, the end of a process nothing
	listEvery       = 100 * time.Millisecond // the list is written no more often than this
	listKept        = time.Hour              // a kept list is no use past this
	listBytes       = 256 << 10              // of one that is larger only servers that are not ready are kept
	rateChange      = 0.2                    // traffic that changed by less than this part is not worth a write
	saveTimeout     = 800 * time.Millisecond
	maxPendingSaves = 8 // calls that wait for a disk; past that it is stuck
)

// The sections of the state and, where a section has one value, its key.
const (
	sectionCalls   = "calls"   // by instanceId: operatorCall
	sectionList    = "list"    // keptList
	sectionLearned = "learned" // keptLearned
	singleKey      = "all"
)

// errNotDurable says that a call holds, but is not durable.
type errNotDurable struct{ why error }

func (e errNotDurable) Error() string { return fmt.Sprintf("it holds, but is not kept: %v", e.why) }

// keptList is the list of servers as it was acted on last. Times are Unix milliseconds.
type keptList struct {
	Source  string          `json:"source"` // discovery's address
	Answer  json.RawMessage `json:"answer"` // in discovery's form, whole
	Line    int64           `json:"line,omitempty"`
	Version int64           `json:"version,omitempty"` // the answer's, to be read without it; 0: an older program wrote this
	Before  int64           `json:"before,omitempty"`
	HeardMs int64           `json:"heardMs,omitempty"`
	Short   bool            `json:"short,omitempty"` // too long a list: only servers that are not ready are in it
	Away    []keptAway      `json:"away,omitempty"`
	Gone    []keptHeard     `json:"gone,omitempty"`
	Held    []keptHeard     `json:"held,omitempty"`
	UntilMs int64           `json:"untilMs,omitempty"` // of held
}

type keptAway struct {
	ID    uint64 `json:"id"`
	Until int64  `json:"until"` // a version
}

type keptHeard struct {
	ID        uint64 `json:"id"`
	AtMs      int64  `json:"atMs"`
	StartedNs int64  `json:"startedNs,omitempty"` // to be the same as the list's
}

// pendingList is a list that is to be kept.
type pendingList struct {
	raw     []byte
	kept    keptList
	durable bool
}

// keptLearned is what the module has learned. Times are Unix milliseconds.
type keptLearned struct {
	AtMs    int64        `json:"atMs"`
	Rate    float64      `json:"rate"`
	Servers []keptServer `json:"servers,omitempty"`
}

type keptServer struct {
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

// learned words what the module has learned.
func learned(l balance.Learned) keptLearned {
	k := keptLearned{AtMs: millis(l.At), Rate: l.Rate}
	for _, s := range l.Servers {
		k.Servers = append(k.Servers, keptServer{uint64(s.ID), s.Failures, millis(s.SilentSince), millis(s.WarmAt), s.LatencyRatio})
	}
	return k
}

// toModule is learned the other way round.
func (k keptLearned) toModule() balance.Learned {
	l := balance.Learned{At: fromMillis(k.AtMs), Rate: k.Rate}
	for _, s := range k.Servers {
		l.Servers = append(l.Servers, balance.LearnedServer{
			ID: balance.ServerID(s.ID), Failures: s.Fails, SilentSince: fromMillis(s.SilentMs), WarmAt: fromMillis(s.WarmAtMs), LatencyRatio: s.Strain,
		})
	}
	return l
}

// same says whether there is nothing in k that is worth a write after old.
func (k keptLearned) same(old keptLearned) bool {
	if math.Abs(k.Rate-old.Rate) > rateChange*max(old.Rate, 1) || len(k.Servers) != len(old.Servers) {
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
func (h *sharedState) queueList(v *serverList, durable bool) {
	if h.store == nil || v.top == unknown {
		return
	}
	k := keptList{
		Source: v.source, Line: v.line, Version: v.top, Before: max(v.before, 0), HeardMs: millis(v.heard), UntilMs: millis(v.until), Short: !v.whole,
	}
	answer := struct {
		Generation int64             `json:"generation"`
		Reset      bool              `json:"reset"`
		Instances  []json.RawMessage `json:"instances"`
	}{v.top, true, []json.RawMessage{}}
	size := 0
	for _, e := range v.entries {
		size += len(e.raw)
	}
	k.Short = k.Short || size > listBytes
	size = 0
	for _, id := range slices.Sorted(maps.Keys(v.entries)) {
		e := v.entries[id]
		if k.Short && e.State == balance.Ready || size+len(e.raw) > listBytes {
			continue
		}
		answer.Instances = append(answer.Instances, e.raw)
		size += len(e.raw)
	}
	for _, id := range slices.Sorted(maps.Keys(v.away)) {
		k.Away = append(k.Away, keptAway{uint64(id), v.away[id]})
	}
	k.Gone, k.Held = keptHeards(v.gone), keptHeards(v.held)
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
	durable = durable || h.pendingList != nil && h.pendingList.durable
	h.pendingList = &pendingList{raw, k, durable}
	select {
	case h.listChanged <- struct{}{}:
	default:
	}
}

// keptHeards words what was heard of servers, by id, in order; at most goneMost of them.
func keptHeards(all map[balance.ServerID]heardOf) (kept []keptHeard) {
	for _, id := range slices.Sorted(maps.Keys(all)) {
		if len(kept) < goneMost {
			kept = append(kept, keptHeard{uint64(id), millis(all[id].at), int64(all[id].started)})
		}
	}
	return kept
}

// flushList keeps the list that came last, where no other process of this sidecar has kept a newer one.
func (h *sharedState) flushList() error {
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
	if old, _, ok := readSection[keptList](h.store, sectionList); ok {
		newer := old.Line > next.kept.Line
		if old.Line == next.kept.Line && old.Source == next.kept.Source {
			if old.Version == 0 {
				l, _ := parseListing(old.Answer, nil) // one that can't be read is no newer
				old.Version = l.version
			}
			newer = old.Version > next.kept.Version
		}
		if newer {
			return nil
		}
	}
	err := h.store.PutUnsynced(sectionList, singleKey, next.raw)
	if err == nil && next.durable {
		err = h.store.Sync()
	}
	if err != nil { // the folder may fail for a while: it is still to be kept, unless there is a newer one
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.pendingList == nil {
			h.pendingList = next
		}
	}
	return err
}

// changedList returns the list that this sidecar's processes have kept last, where it is another than the one before.
func (h *sharedState) changedList(before []byte, zones map[string]int) (k keptList, l listing, raw []byte, news bool) {
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
func (h *sharedState) loadServerList(cfg *Config, now time.Duration) *serverList {
	var kept keptList
	var at time.Time
	if h.store != nil {
		kept, at, _ = readSection[keptList](h.store, sectionList)
	}
	return recall(cfg, kept, at, now)
}

// recall begins with the newer of the list that was kept at some moment and the configuration's. Where that is the
// configuration's as the kept one is too old to be served from, what that says against servers still holds.
func recall(cfg *Config, kept keptList, at time.Time, now time.Duration) *serverList {
	v, known := newVersions(cfg.Discovery), cfg.KnownServers
	known.whole = true
	l, err := listing{}, error(nil)
	if len(kept.Answer) > 0 {
		if l, err = parseListing(kept.Answer, cfg.Zones); err != nil {
			slog.Error("state not read", "error", fmt.Errorf("section %s: %w", sectionList, err))
		}
	}
	if len(kept.Answer) == 0 || err != nil {
		if len(known.servers) > 0 {
			v.take(known, now)
		}
		return v
	}
	v.source, v.line, v.before, v.top = kept.Source, kept.Line, kept.Before, l.version
	v.heard, v.until = fromMillis(kept.HeardMs), min(fromMillis(kept.UntilMs), now+heldFor)
	for _, s := range l.servers {
		v.entries[s.ID] = entry{s, l.address[s.ID], l.raw[s.ID]}
	}
	for _, a := range kept.Away {
		v.away[balance.ServerID(a.ID)] = a.Until
	}
	for to, all := range map[*map[balance.ServerID]heardOf][]keptHeard{&v.gone: kept.Gone, &v.held: kept.Held} {
		for _, g := range all[:min(len(all), goneMost)] {
			(*to)[balance.ServerID(g.ID)] = heardOf{fromMillis(g.AtMs), time.Duration(g.StartedNs)}
		}
	}
	if now >= v.until {
		clear(v.held)
	}
	age := now - time.Duration(at.UnixNano())
	fresh := !kept.Short && len(l.servers) > 0 && age >= 0 && age <= listKept
	newer := known.version > v.top && known.version > v.before || known.version == v.top && !fresh
	switch {
	case kept.Source != cfg.Discovery: // versions of another discovery say nothing here
		v.move(cfg.Discovery, now)
		if clear(v.entries); len(known.servers) > 0 {
			v.take(known, now)
		}
	case len(known.servers) > 0 && newer:
		v.take(known, now)
	case fresh:
		v.whole = true
	default:
		v.doubtful(known, kept.Short)
	}
	return v
}

// loadLearned returns what a process before this one had learned; the module judges what of it still holds.
func (h *sharedState) loadLearned() (balance.Learned, bool) {
	if h.store == nil {
		return balance.Learned{}, false
	}
	kept, _, ok := readSection[keptLearned](h.store, sectionLearned)
	return kept.toModule(), ok
}

// persist keeps what the module learns until ctx ends, and then makes it durable. It never holds the loop up.
func (h *sharedState) persist(ctx context.Context, ask func(context.Context) (balance.Learned, error)) {
	if h.store == nil {
		return
	}
	defer func() {
		if err := errors.Join(h.flushList(), h.store.Close()); err != nil {
			slog.Warn("state not kept", "reason", err)
		}
	}()
	tick := time.NewTicker(keepEvery)
	defer tick.Stop()
	var last keptLearned
	failing, synced := false, time.Now()
	told := func(err error) { // once, not every second
		if err != nil && !failing {
			slog.Warn("state not kept", "reason", err)
		}
		failing = err != nil
	}
	news, rest := h.listChanged, (<-chan time.Time)(nil)
	for {
		select {
		case <-news:
			told(h.flushList())
			news, rest = nil, time.After(listEvery)
			continue
		case <-rest:
			news, rest = h.listChanged, nil
			continue
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		l, err := ask(ctx)
		if err != nil {
			return // it ends
		}
		err = h.flushList()
		if now := learned(l); !now.same(last) {
			raw, failed := json.Marshal(now)
			if failed == nil {
				failed = h.store.PutUnsynced(sectionLearned, singleKey, raw)
			}
			if failed == nil {
				last = now
			}
			err = errors.Join(err, failed)
		}
		if time.Since(synced) >= syncEvery {
			err = errors.Join(err, h.store.Sync())
			synced = time.Now()
		}
		told(err)
	}
}

// damageCount says in how many places the state was found damaged and no operator has confirmed it since.
func (h *sharedState) damageCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.legacyDamage
	if h.store != nil {
		n += len(h.store.Damage().Findings)
	}
	return n
}

// confirmDamage takes an operator's word that the servers that are out now are the right ones.
func (h *sharedState) confirmDamage() error {
	if h.store == nil {
		return errors.New("there is no state")
	}
	if err := h.store.ConfirmState(); err != nil { // it may wait for a disk: not under the lock of the figures
		return errNotDurable{err}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.legacyDamage = 0
	return nil
}

// stateSize is the size of the state's file.
func (h *sharedState) stateSize() int {
	if h.store == nil {
		return 0
	}
	return h.store.CommittedSize()
}

// saveCall saves a call by hand, and waits for that only as long as a caller at the console may be kept waiting.
func (h *sharedState) saveCall(instance string, out bool, at time.Time) error {
	select {
	case h.pendingSaves <- struct{}{}:
	default:
		return errNotDurable{errors.New("the disk is stuck")}
	}
	done := make(chan error, 1)
	go func() {
		defer func() { <-h.pendingSaves }()
		done <- h.persistCall(instance, out, at)
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
