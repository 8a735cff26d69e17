package policy

import (
	"math"
	"slices"
	"testing"
	"time"

	"arrowgw/internal/balance"
)

// A higher number of balancers takes effect at once, a lower one slowly: not while views differ, not for silent
// members, and no faster than by half in fleetHalfLife, even if the fleet is rarely updated. Compartments and cold
// servers' budgets follow the number in effect.
func TestFleetGrowsAtOnceAndShrinksSlowly(t *testing.T) {
	agreed := func(present, silent int) balance.Fleet {
		return balance.Fleet{Present: present, Silent: silent, Agreed: true}
	}
	for name, c := range map[string]struct {
		update balance.Fleet
		every  time.Duration // time between updates
		after  time.Duration
		want   float64
	}{
		"doubled, views differ":               {balance.Fleet{Present: 20}, time.Second, 0, 20},
		"doubled":                             {agreed(20, 0), time.Second, 0, 20},
		"as many silent members":              {agreed(4, 16), time.Second, 0, 20},
		"seven of ten left, at once":          {agreed(3, 0), time.Second, 0, 10},
		"seven of ten left, after 10 s":       {agreed(3, 0), time.Second, fleetHalfLife, 5},
		"seven of ten left, after 20 s":       {agreed(3, 0), time.Second, 2 * fleetHalfLife, 3},
		"seven of ten left, rare updates":     {agreed(3, 0), fleetHalfLife, fleetHalfLife, 10 * math.Exp2(-0.1)},
		"seven of ten left, frequent updates": {agreed(3, 0), 100 * ms, fleetHalfLife, 5},
		"seven of ten silent":                 {agreed(3, 7), time.Second, time.Minute, 10},
		"seven of ten, views differ":          {balance.Fleet{Present: 3}, time.Second, time.Minute, 10},
		"all others left":                     {agreed(1, 0), time.Second, 2 * time.Minute, 1},
		"invalid number":                      {agreed(-5, 0), time.Second, 2 * time.Minute, 1},
	} {
		cfg := testConfig()
		cfg.Balancers, cfg.Slots = 10, 0
		b, _ := startBalancer(t, cfg, readyList(1, 2))
		sameCfg := cfg
		sameCfg.Balancers = int(math.Round(c.want))
		same, _ := startBalancer(t, sameCfg, readyList(1, 2))
		now := time.Minute
		b.SetFleet(now, agreed(10, 0))
		b.SetFleet(now, c.update)
		for end := now + c.after; now < end; {
			now += c.every
			b.SetFleet(now, c.update)
		}
		if math.Abs(b.fleetSize-c.want) > 1e-9 {
			t.Errorf("%s: %v balancers count, want %v", name, b.fleetSize, c.want)
		}
		if c.want != math.Round(c.want) {
			continue
		}
		if b.slots != same.slots || b.coldSendInterval(now, b.serverByID(1)) != same.coldSendInterval(now, same.serverByID(1)) {
			t.Errorf("%s: %d slots and %v between sends to a cold server; with that number in the settings %d and %v",
				name, b.slots, b.coldSendInterval(now, b.serverByID(1)), same.slots, same.coldSendInterval(now, same.serverByID(1)))
		}
	}
}

// Fleet updates that agree with the settings change no decision. Slots in use outlast a compartment that shrinks.
func TestFleetUpdateEqualToSettingsChangesNothing(t *testing.T) {
	play := func(update bool) []string {
		cfg := testConfig()
		cfg.Balancers = 12
		b, h := startBalancer(t, cfg, readyList(1, 2, 3, 4, 5))
		for i := range 400 {
			now := time.Duration(i) * 7 * ms
			if update && i%10 == 0 {
				b.SetFleet(now, balance.Fleet{Present: 12, Agreed: i%20 == 0})
			}
			sendRequest(b, now, balance.RequestID(i), i%5)
			if i%3 > 0 {
				endAttempt(b, now+2*ms, balance.RequestID(i), 0, []balance.Ending{balance.Served, balance.TimedOut, balance.Served}[i%3])
			}
			b.Wake(now + 3*ms)
		}
		return h.trace
	}
	if a, b := play(false), play(true); !slices.Equal(a, b) {
		t.Errorf("%d actions without updates and %d with updates that change nothing differ", len(a), len(b))
	}
	cfg := testConfig()
	cfg.Balancers, cfg.Slots = 2, 0
	b, h := startBalancer(t, cfg, readyList(1, 2))
	for i := range 6 {
		sendRequest(b, 0, balance.RequestID(i), safeClass)
	}
	held := len(h.sends)
	b.SetFleet(ms, balance.Fleet{Present: 500})
	if free, places := b.SlotsFree(0), b.QueueFree(0); free != 0 || places < 0 {
		t.Errorf("%d slots and %d places free in a compartment that shrank below its slots in use", free, places)
	}
	for i := range held {
		endAttempt(b, 2*ms, h.sends[i].id, 0, balance.Served)
	}
	if held < 2 || b.inFlight != 0 || b.compartments[0].slotsInUse != 0 || b.compartments[0].slots < 1 {
		t.Errorf("%d attempts were in flight; now %d, and %d of %d slots in use", held, b.inFlight, b.compartments[0].slotsInUse, b.compartments[0].slots)
	}
}

// Guards against subsets that hold the whole list when there are many balancers and no quotas to derive their traffic
// from: turns of each server were so rare that its idle connection had expired and every attempt opened a new one.
func TestFirstSubsetWithoutQuotas(t *testing.T) {
	var ids []balance.ServerID
	for id := range balance.ServerID(200) {
		ids = append(ids, id+1)
	}
	for balancers, want := range map[int]int{1: 200, 4: 200, 10: 200, 20: 100, 300: 7, 2000: minSubsetSize} {
		cfg := testConfig()
		cfg.Balancers, cfg.Tenants, cfg.Slots = balancers, nil, 0
		if b, _ := startBalancer(t, cfg, readyList(ids...)); len(b.subset) != want {
			t.Errorf("%d balancers of 200 servers: %d in the first subset, want %d", balancers, len(b.subset), want)
		}
	}
}
