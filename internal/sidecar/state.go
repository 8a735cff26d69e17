package sidecar

import (
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
	keepEvery   = time.Second      // how often what the module has learned is looked at
	syncEvery   = 10 * time.Second // and made durable: a loss of power costs so much of it, the end of a process nothing
	listKept    = time.Hour        // a kept list is no use past this
	listBytes   = 256 << 10        // and one that is larger is not kept
	rateChange  = 0.2              // traffic that changed by less than this part is not worth a write
	saveWait    = 800 * time.Millisecond
	savesAtOnce = 8 // calls that wait for a disk; past that it is stuck
)

// The sections of the state and, where a section has one value, its key.
const (
	sectionCalls   = "calls"   // by instanceId: handed
	sectionList    = "list"    // keptList
	sectionLearned = "learned" // keptLearned
	only           = "all"
)

// errNotKept says that a call holds, but is not durable.
type errNotKept struct{ why error }

func (e errNotKept) Error() string { return fmt.Sprintf("it holds, but is not kept: %v", e.why) }

// keptList is the list of servers as discovery gave it last.
type keptList struct {
	Source string          `json:"source"` // discovery's address
	Answer json.RawMessage `json:"answer"` // in discovery's form, whole
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
		k.Servers = append(k.Servers, keptServer{uint64(s.ID), s.Fails, millis(s.Silent), millis(s.WarmAt), s.Strain})
	}
	return k
}

// toModule is learned the other way round.
func (k keptLearned) toModule() balance.Learned {
	l := balance.Learned{At: fromMillis(k.AtMs), Rate: k.Rate}
	for _, s := range k.Servers {
		l.Servers = append(l.Servers, balance.LearnedServer{
			ID: balance.ServerID(s.ID), Fails: s.Fails, Silent: fromMillis(s.SilentMs), WarmAt: fromMillis(s.WarmAtMs), Strain: s.Strain,
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

// read takes a kept value, or says that there is none that can be used.
func read[T any](s *store.Store, section string) (value T, at time.Time, ok bool) {
	e, ok := s.Get(section, only)
	if !ok {
		return value, at, false
	}
	if err := json.Unmarshal(e.Value, &value); err != nil {
		slog.Error("state not read", "error", fmt.Errorf("section %s: %w", section, err))
		return value, at, false
	}
	return value, e.At, true
}

// keepList has the list kept as it is now, soon: whoever follows discovery must not wait for a disk.
func (h *handover) keepList(source string, version int64, entries map[balance.ServerID]json.RawMessage) {
	if h.store == nil {
		return
	}
	answer := struct {
		Generation int64             `json:"generation"`
		Reset      bool              `json:"reset"`
		Instances  []json.RawMessage `json:"instances"`
	}{version, true, []json.RawMessage{}}
	size := 0
	for _, id := range sortedIDs(entries) {
		answer.Instances = append(answer.Instances, entries[id])
		size += len(entries[id])
	}
	if size > listBytes {
		return
	}
	raw, err := json.Marshal(answer)
	if err == nil {
		raw, err = json.Marshal(keptList{source, raw})
	}
	if err != nil {
		slog.Warn("state not kept", "reason", err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextList = raw
}

// flushList keeps the list that came last.
func (h *handover) flushList() error {
	h.mu.Lock()
	raw := h.nextList
	h.nextList = nil
	h.mu.Unlock()
	if raw == nil {
		return nil
	}
	return h.store.Keep(sectionList, only, raw)
}

// list returns the list that a process before this one had, where it is better than the one in the configuration: of
// the same discovery, newer, and not too old to be believed.
func (h *handover) list(cfg *Config) (listing, bool) {
	if h.store == nil {
		return listing{}, false
	}
	kept, at, ok := read[keptList](h.store, sectionList)
	if age := time.Since(at); !ok || kept.Source != cfg.Discovery || age < 0 || age > listKept {
		return listing{}, false
	}
	l, err := parseListing(kept.Answer, cfg.Zones)
	if err != nil {
		slog.Error("state not read", "error", fmt.Errorf("section %s: %w", sectionList, err))
		return listing{}, false
	}
	if len(l.servers) == 0 || len(cfg.Known.servers) > 0 && cfg.Known.version >= l.version {
		return listing{}, false
	}
	return l, true
}

// learned returns what a process before this one had learned; the module judges what of it still holds.
func (h *handover) learned() (balance.Learned, bool) {
	if h.store == nil {
		return balance.Learned{}, false
	}
	kept, _, ok := read[keptLearned](h.store, sectionLearned)
	return kept.toModule(), ok
}

// keep keeps what the module learns until ctx ends, and then makes it durable. It never holds the loop up.
func (h *handover) keep(ctx context.Context, ask func(context.Context) (balance.Learned, error)) {
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
	for {
		select {
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
			raw, errJSON := json.Marshal(now)
			err = errors.Join(err, errJSON, h.store.Keep(sectionLearned, only, raw))
			last = now
		}
		if time.Since(synced) >= syncEvery {
			err = errors.Join(err, h.store.Sync())
			synced = time.Now()
		}
		if err != nil && !failing { // told once, not every second
			slog.Warn("state not kept", "reason", err)
		}
		failing = err != nil
	}
}

// damaged says in how many places the state was found damaged and no operator has confirmed it since.
func (h *handover) damaged() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.oldDamage
	if h.store != nil {
		n += len(h.store.Damage().Files)
	}
	return n
}

// confirm takes an operator's word that the servers that are out now are the right ones.
func (h *handover) confirm() error {
	if h.store == nil {
		return errors.New("there is no state")
	}
	if err := h.store.Confirm(); err != nil { // it may wait for a disk: not under the lock of the figures
		return errNotKept{err}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.oldDamage = 0
	return nil
}

// bytes is the size of the state's file.
func (h *handover) bytes() int {
	if h.store == nil {
		return 0
	}
	return h.store.Size()
}

// saved saves a call by hand, and waits for that only as long as a caller at the console may be kept waiting.
func (h *handover) saved(instance string, out bool, at time.Time) error {
	select {
	case h.saves <- struct{}{}:
	default:
		return errNotKept{errors.New("the disk is stuck")}
	}
	done := make(chan error, 1)
	go func() {
		defer func() { <-h.saves }()
		done <- h.save(instance, out, at)
	}()
	select {
	case err := <-done:
		if err != nil {
			return errNotKept{err}
		}
		return nil
	case <-time.After(saveWait):
		return errNotKept{fmt.Errorf("the disk has not answered for %v", saveWait)}
	}
}

// calls returns the calls in force.
func (h *handover) inForce() map[string]handed {
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

// sortedIDs are the ids of a list's entries, in order.
func sortedIDs(entries map[balance.ServerID]json.RawMessage) []balance.ServerID {
	return slices.Sorted(maps.Keys(entries))
}
