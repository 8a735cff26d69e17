package policy

import (
	"testing"
	"time"

	"arrowgw/internal/balance"
)

// After any disturbance, once servers answer again, at most one sidecar in ten refuses all its requests for 4 s in a
// row.
func TestFewSidecarsRefuseEverythingForLong(t *testing.T) {
	const seeds, limit, disturbedAt = 100, 4 * time.Second, 10 * time.Second
	for name, c := range map[string]struct {
		disturb  func(b *Balancer)
		timeLeft time.Duration
	}{
		"all responses late":          {func(b *Balancer) { b.admission = admissionStats{decayedAt: disturbedAt, offered: 40, ended: 4} }, 2800 * ms}, // 20 per second, over admitTimeConstant
		"all ejected":                 {func(b *Balancer) { ejectAll(b, disturbedAt) }, 2800 * ms},
		"responses were slow":         {func(b *Balancer) { b.congestion, b.congestionAt = 1, disturbedAt }, 2800 * ms},
		"slow, and late retries":      {func(b *Balancer) { b.congestion, b.congestionAt = 1, disturbedAt }, 1500 * ms},
		"all start cold":              {func(b *Balancer) { startAllCold(b, disturbedAt) }, 2800 * ms},
		"slow, late retries, ejected": {func(b *Balancer) { b.congestion, b.congestionAt = 1, disturbedAt; ejectAll(b, disturbedAt) }, 1500 * ms},
	} {
		refusing, longestOfAll := 0, time.Duration(0)
		for seed := range uint64(seeds) {
			cfg := testConfig()
			cfg.Balancers, cfg.Slots = 20, 0
			cfg.Tenants = []balance.Tenant{{Share: 1, Quota: 400}}
			b, h := startSeeded(t, cfg, seed, readyList(1, 2, 3, 4, 5, 6))
			id, seen, lastServed, longest := balance.RequestID(0), 0, time.Duration(disturbedAt), time.Duration(0)
			for now := time.Duration(0); now < disturbedAt+12*time.Second; now += 10 * ms {
				left := 2800 * ms
				if now >= disturbedAt {
					left = c.timeLeft
				}
				if now == disturbedAt {
					c.disturb(b)
				}
				if now%(50*ms) == 0 {
					id++
					b.Request(now, balance.Request{ID: id, Class: safeClass, TimeLeft: left})
				}
				for ; seen < len(h.sends); seen++ {
					endAttempt(b, now, h.sends[seen].id, 0, balance.Served)
					if now >= disturbedAt {
						longest, lastServed = max(longest, now-lastServed), now
					}
				}
				b.Wake(now)
			}
			if longest = max(longest, disturbedAt+12*time.Second-lastServed); longest >= limit {
				refusing++
			}
			longestOfAll = max(longestOfAll, longest)
		}
		t.Logf("%s: %d of %d sidecars refused everything for %v, the longest for %v", name, refusing, seeds, limit, longestOfAll)
		if refusing > seeds/10 {
			t.Errorf("%s: %d of %d sidecars refused everything for %v, the longest for %v", name, refusing, seeds, limit, longestOfAll)
		}
	}
}

// ejectAll ejects all servers, as after many failures.
func ejectAll(b *Balancer, now time.Duration) {
	for _, s := range b.servers {
		s.failures = maxFailures
		b.eject(now, s)
	}
}

// startAllCold announces that all servers have just started.
func startAllCold(b *Balancer, now time.Duration) {
	list := readyList(1, 2, 3, 4, 5, 6)
	for i := range list {
		list[i].Started = now
	}
	b.UpdateServers(now, balance.ListFull, list)
}
