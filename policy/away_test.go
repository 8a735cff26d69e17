package policy

import (
	"testing"
	"time"

	"arrowgw/internal/balance"
)

// After any disturbance, once servers answer again, at most one sidecar in ten refuses all its requests for 4 s in a
// row.
func TestFewSidecarsRefuseEverythingForLong(t *testing.T) {
	const seeds, long, since = 100, 4 * time.Second, 10 * time.Second
	for name, c := range map[string]struct {
		met  func(b *Balancer)
		left time.Duration
	}{
		"all fell late":        {func(b *Balancer) { b.admission = admissionStats{decayedAt: since, offered: 40, ended: 4} }, 2800 * ms}, // 20 per second, over admitTimeConstant
		"all rest":             {func(b *Balancer) { ejectAll(b, since) }, 2800 * ms},
		"answers were slow":    {func(b *Balancer) { b.congestion, b.congestionAt = 1, since }, 2800 * ms},
		"and tries come late":  {func(b *Balancer) { b.congestion, b.congestionAt = 1, since }, 1500 * ms},
		"all start cold":       {func(b *Balancer) { startAllCold(b, since) }, 2800 * ms},
		"late, slow, and rest": {func(b *Balancer) { b.congestion, b.congestionAt = 1, since; ejectAll(b, since) }, 1500 * ms},
	} {
		away, lasted := 0, time.Duration(0)
		for seed := range uint64(seeds) {
			cfg := testConfig()
			cfg.Balancers, cfg.Slots = 20, 0
			cfg.Tenants = []balance.Tenant{{Share: 1, Quota: 400}}
			b, h := startSeeded(t, cfg, seed, readyList(1, 2, 3, 4, 5, 6))
			id, seen, last, most := balance.RequestID(0), 0, time.Duration(since), time.Duration(0)
			for now := time.Duration(0); now < since+12*time.Second; now += 10 * ms {
				left := 2800 * ms
				if now >= since {
					left = c.left
				}
				if now == since {
					c.met(b)
				}
				if now%(50*ms) == 0 {
					id++
					b.Request(now, balance.Request{ID: id, Class: safeClass, TimeLeft: left})
				}
				for ; seen < len(h.sends); seen++ {
					endAttempt(b, now, h.sends[seen].id, 0, balance.Served)
					if now >= since {
						most, last = max(most, now-last), now
					}
				}
				b.Wake(now)
			}
			if most = max(most, since+12*time.Second-last); most >= long {
				away++
			}
			lasted = max(lasted, most)
		}
		t.Logf("%s: %d of %d for %v, the longest %v", name, away, seeds, long, lasted)
		if away > seeds/10 {
			t.Errorf("%s: %d of %d turned all away for %v, the longest %v", name, away, seeds, long, lasted)
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
