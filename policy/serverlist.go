package policy

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"arrowgw/internal/balance"
)

// The server list.
const (
	maxListLag       = 30 * time.Second       // the list announces a server's start within this time
	firstWatchSpread = 2 * time.Second        // a large fleet's first list calls are spread over this time
	firstListRetry   = 250 * time.Millisecond // pause after a failed list call, doubled up to twice
)

// UpdateServers handles a server list event: it updates the servers, their weights and the subset.
func (b *Balancer) UpdateServers(now time.Duration, kind balance.ListKind, entries []balance.Server) {
	switch {
	case kind == balance.ListFailed:
		// retried soon: changes count as received 6 s after discovery recovers, even if calls fail
		b.watchAt = now + b.backoff(firstListRetry, b.watchFailures)
		b.watchFailures = min(b.watchFailures+1, 2)
		return
	case b.cfg.AskList && kind != balance.ListCached:
		b.watchAt, b.watchFailures = 0, 0
	case b.cfg.AskList && len(entries) == 0:
		b.watchList(now) // no server is known: ask at once
	}
	for _, s := range b.servers {
		if kind != balance.ListDelta {
			s.State = balance.Gone // unless the list contains it
		}
	}
	clockLead := time.Duration(0)
	if kind == balance.ListFull && !b.fullListHeard {
		clockLead, b.fullListHeard = maxClockLead(now, entries), true
	}
	for _, e := range entries {
		b.applyEntry(now, e, min(now, b.effectiveStart(now, kind, e)+clockLead))
	}
	b.listHeardAt = now
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool { return s.State == balance.Gone })
	if b.firstListSize == 0 { // without quotas, compartments are sized by the first list
		b.firstListSize = float64(len(b.servers))
		if b.sizeCompartments(); b.totalQuota == 0 {
			// as if maxSharersPerServer balancers gave each server one turn per second
			b.rate = b.firstListSize * min(1, maxSharersPerServer/b.fleetSize) / b.secondsPerTurn
		}
	}
	b.recalculateWeights(now)
	b.dispatchQueued(now)
}

// maxClockLead returns how far this process's clock may be ahead when it receives its first full list: no
// server has started after its start is listed.
func maxClockLead(now time.Duration, entries []balance.Server) time.Duration {
	lead := time.Duration(math.MaxInt64)
	for _, e := range entries {
		if e.Started > 0 {
			lead = min(lead, max(0, now-e.Started))
		}
	}
	if lead == math.MaxInt64 {
		return 0 // no start is listed
	}
	return lead
}

// effectiveStart returns the time at which a server's cold start began. This process's clock may
// have been wrong by up to an hour when it was first read. A start in the future therefore counts as now, and
// so does a newly announced start that is well before the last list, which did not contain it.
func (b *Balancer) effectiveStart(now time.Duration, kind balance.ListKind, e balance.Server) time.Duration {
	i, known := b.findServer(e.ID)
	old := known && e.Started <= b.servers[i].Started
	restart := !old && e.Started > 0 && kind == balance.ListDelta && b.listHeardAt > 0
	if e.Started > now || restart && e.Started < b.listHeardAt-maxListLag {
		return now
	}
	return e.Started
}

// applyEntry adds or updates the server of one list entry.
func (b *Balancer) applyEntry(now time.Duration, e balance.Server, start time.Duration) {
	if !(e.Weight > 1e-9 && e.Weight < 1e9) {
		e.Weight = 1 // without a valid weight, even turns
	}
	i, known := b.findServer(e.ID)
	if !known {
		b.servers = slices.Insert(b.servers, i, &server{latencyRatio: 1})
	}
	s := b.servers[i]
	if e.Started > 0 && e.Started > s.Started { // restarted: cold, and its health is unknown
		*s = server{Server: e, inFlight: s.inFlight, warmAt: max(s.warmAt, start+b.cfg.ColdTime), latencyRatio: 1}
	}
	s.Server, s.listedWeight, s.excluded, s.warmAt = e, e.Weight, b.disabled[e.ID],
		max(s.warmAt, b.enabledWarmAt[e.ID])
	if !s.inService() {
		b.closeIdle(now, s)
	}
}

// Disable takes a server out of service on an operator's call until Enable, in any state of the list
// and even if it is not listed. Attempts in flight finish. A second Disable has no effect.
func (b *Balancer) Disable(now time.Duration, id balance.ServerID) {
	b.disabled[id] = true
	if s := b.serverByID(id); s != nil && !s.excluded {
		b.recalculateWeights(now)
	}
}

// Enable reverses Disable as of the time at. Operators restart servers in between, which the list announces
// late, so the server is treated as cold. It has the next turn.
func (b *Balancer) Enable(now time.Duration, id balance.ServerID, at time.Duration) {
	if !b.disabled[id] {
		return
	}
	delete(b.disabled, id)
	maps.DeleteFunc(b.enabledWarmAt,
		func(_ balance.ServerID, warmAt time.Duration) bool { return now >= warmAt })
	b.enabledWarmAt[id] = at + b.cfg.ColdTime
	if s := b.serverByID(id); s != nil {
		*s = server{Server: s.Server, listedWeight: s.listedWeight, inFlight: s.inFlight,
			warmAt: max(s.warmAt, b.enabledWarmAt[id]), latencyRatio: 1}
		b.recalculateWeights(now)
		b.dispatchQueued(now)
	}
}

// watchList subscribes to the server list. Without an answer it subscribes again before AskWithin is over.
func (b *Balancer) watchList(now time.Duration) {
	b.watchAt = now + cmp.Or(b.cfg.AskWithin*3/4, maxBackoff)
	b.host.WatchList()
}
