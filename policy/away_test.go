package policy

import (
	"testing"
	"time"

	"arrowgw/internal/balance"
)

// Whatever a sidecar has met before: where servers serve, at most one in ten turns away all that it gets for 4 s on end.
func TestNobodyTurnsAllAwayForLong(t *testing.T) {
	const seeds, long, since = 100, 4 * time.Second, 10 * time.Second
	for name, c := range map[string]struct {
		met  func(b *Balancer)
		left time.Duration
	}{
		"all fell late":        {func(b *Balancer) { b.asked = recent{at: since, all: 40, sent: 4} }, 2800 * ms}, // 20 a second, over admitOver
		"all rest":             {func(b *Balancer) { restAll(b, since) }, 2800 * ms},
		"answers were slow":    {func(b *Balancer) { b.crowd, b.crowdAt = 1, since }, 2800 * ms},
		"and tries come late":  {func(b *Balancer) { b.crowd, b.crowdAt = 1, since }, 1500 * ms},
		"all start cold":       {func(b *Balancer) { coldAll(b, since) }, 2800 * ms},
		"late, slow, and rest": {func(b *Balancer) { b.crowd, b.crowdAt = 1, since; restAll(b, since) }, 1500 * ms},
	} {
		away, lasted := 0, time.Duration(0)
		for seed := range uint64(seeds) {
			cfg := testConfig()
			cfg.Balancers, cfg.Slots = 20, 0
			cfg.Tenants = []balance.Tenant{{Share: 1, Quota: 400}}
			b, h := startSeeded(t, cfg, seed, ready(1, 2, 3, 4, 5, 6))
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
					end(b, now, h.sends[seen].id, 0, balance.Served)
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

// restAll has all servers rest as after many failures.
func restAll(b *Balancer, now time.Duration) {
	for _, s := range b.servers {
		s.fails = failsMost
		b.rest(now, s)
	}
}

// coldAll tells that all servers have just started.
func coldAll(b *Balancer, now time.Duration) {
	list := ready(1, 2, 3, 4, 5, 6)
	for i := range list {
		list[i].Started = now
	}
	b.UpdateServers(now, balance.ListFull, list)
}
