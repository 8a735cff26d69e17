package policy

import (
	"math"
	"slices"
	"testing"
	"time"

	"arrowgw/internal/balance"
)

// More balancers count at once, fewer late: not while views differ, not for those that are silent, and by no more than
// half in fleetHalf, however seldom the word comes. Walls and cold servers' parts go by what counts.
func TestFleetCountsMoreAtOnceAndFewerLate(t *testing.T) {
	agreed := func(present, silent int) balance.Fleet {
		return balance.Fleet{Present: present, Silent: silent, Agreed: true}
	}
	for what, c := range map[string]struct {
		told  balance.Fleet
		every time.Duration // told again this often
		after time.Duration
		want  float64
	}{
		"doubled, views differ":          {balance.Fleet{Present: 20}, time.Second, 0, 20},
		"doubled":                        {agreed(20, 0), time.Second, 0, 20},
		"silent ones, as many":           {agreed(4, 16), time.Second, 0, 20},
		"seven of ten gone, at once":     {agreed(3, 0), time.Second, 0, 10},
		"seven of ten gone, after 10 s":  {agreed(3, 0), time.Second, fleetHalf, 5},
		"seven of ten gone, after 20 s":  {agreed(3, 0), time.Second, 2 * fleetHalf, 3},
		"seven of ten gone, told seldom": {agreed(3, 0), fleetHalf, fleetHalf, 10 * math.Exp2(-0.1)},
		"seven of ten gone, often":       {agreed(3, 0), 100 * ms, fleetHalf, 5},
		"seven of ten silent":            {agreed(3, 7), time.Second, time.Minute, 10},
		"seven of ten, views differ":     {balance.Fleet{Present: 3}, time.Second, time.Minute, 10},
		"all others gone":                {agreed(1, 0), time.Second, 2 * time.Minute, 1},
		"nonsense":                       {agreed(-5, 0), time.Second, 2 * time.Minute, 1},
	} {
		cfg := testConfig()
		cfg.Balancers, cfg.Slots = 10, 0
		b, _ := start(t, cfg, ready(1, 2))
		fresh := cfg
		fresh.Balancers = int(math.Round(c.want))
		same, _ := start(t, fresh, ready(1, 2))
		now := time.Minute
		b.SetFleet(now, agreed(10, 0))
		b.SetFleet(now, c.told)
		for end := now + c.after; now < end; {
			now += c.every
			b.SetFleet(now, c.told)
		}
		if math.Abs(b.fleet-c.want) > 1e-9 {
			t.Errorf("%s: %v count, want %v", what, b.fleet, c.want)
		}
		if c.want != math.Round(c.want) {
			continue
		}
		if b.slots != same.slots || b.coldGap(now, b.server(1)) != same.coldGap(now, same.server(1)) {
			t.Errorf("%s: %d slots and %v between sends to a cold server; with that number from the start %d and %v",
				what, b.slots, b.coldGap(now, b.server(1)), same.slots, same.coldGap(now, same.server(1)))
		}
	}
}

// Told what the settings say, it decides as if it were told nothing; and slots that are in use outlast a wall that shrinks.
func TestFleetAsSetChangesNothing(t *testing.T) {
	play := func(told bool) []string {
		cfg := testConfig()
		cfg.Balancers = 12
		b, h := start(t, cfg, ready(1, 2, 3, 4, 5))
		for i := range 400 {
			now := time.Duration(i) * 7 * ms
			if told && i%10 == 0 {
				b.SetFleet(now, balance.Fleet{Present: 12, Agreed: i%20 == 0})
			}
			ask(b, now, balance.RequestID(i), i%5)
			if i%3 > 0 {
				end(b, now+2*ms, balance.RequestID(i), 0, []balance.Ending{balance.Served, balance.TimedOut, balance.Served}[i%3])
			}
			b.Wake(now + 3*ms)
		}
		return h.trace
	}
	if a, b := play(false), play(true); !slices.Equal(a, b) {
		t.Errorf("%d actions without a word, %d with one that changes nothing, and not the same", len(a), len(b))
	}
	cfg := testConfig()
	cfg.Balancers, cfg.Slots = 2, 0
	b, h := start(t, cfg, ready(1, 2))
	for i := range 6 {
		ask(b, 0, balance.RequestID(i), safeClass)
	}
	held := len(h.sends)
	b.SetFleet(ms, balance.Fleet{Present: 500})
	if free, places := b.SlotsFree(0), b.QueueFree(0); free != 0 || places < 0 {
		t.Errorf("%d slots and %d places free behind a wall that shrank below what it holds", free, places)
	}
	for i := range held {
		end(b, 2*ms, h.sends[i].id, 0, balance.Served)
	}
	if held < 2 || b.out != 0 || b.parts[0].used != 0 || b.parts[0].slots < 1 {
		t.Errorf("%d were out; now %d, %d of %d slots in use", held, b.out, b.parts[0].used, b.parts[0].slots)
	}
}

// Guards against the whole list in the arc of each of many balancers where no quotas tell of their traffic: each
// server's turn came so seldom that its connection was too old by then, and every attempt opened one (one-hall, calm+mass).
func TestFirstArcWithoutQuotas(t *testing.T) {
	var ids []balance.ServerID
	for id := range balance.ServerID(200) {
		ids = append(ids, id+1)
	}
	for balancers, want := range map[int]int{1: 200, 4: 200, 10: 200, 20: 100, 300: 7, 2000: fewest} {
		cfg := testConfig()
		cfg.Balancers, cfg.Tenants, cfg.Slots = balancers, nil, 0
		if b, _ := start(t, cfg, ready(ids...)); len(b.arc) != want {
			t.Errorf("%d balancers of 200 servers: %d in the first arc, want %d", balancers, len(b.arc), want)
		}
	}
}
