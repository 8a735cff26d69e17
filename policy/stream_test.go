package policy

import (
	"slices"
	"testing"
	"time"

	"arrowgw/internal/balance"
)

// Guards against slow clients that fill their tenant's slots for seconds, and their servers' portions.
func TestSlowClientsHaveAPlaceBesideTheSlots(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3, 4, 5, 6, 7, 8)) // tenant 0: 6 slots
	for id := range balance.RequestID(5) {
		b.Request(0, balance.Request{ID: id, Class: safeClass, TimeLeft: time.Second, BodyPending: true})
	}
	ask(b, 0, 5, safeClass)
	b.StreamStarted(ms, 5, 0)
	if len(h.sends) != 6 || b.SlotsFree(0) != 6 || b.out != 0 || b.Counters().Slow != 6 {
		t.Fatalf("%d sends, %d slots free, %d out, want 6, all and none", len(h.sends), b.SlotsFree(0), b.out)
	}
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		b.Wake(now)
	}
	if len(h.refused)+len(h.failed)+len(h.cancelled) != 0 {
		t.Fatalf("a request was ended while its client sent or read: refused %v, failed %v", h.refused, h.failed)
	}
	now := 10 * time.Second
	b.BodyEnded(now, 0, time.Second)
	b.BodyEnded(now, 0, time.Second) // twice is once
	if b.SlotsFree(0) != 5 || b.out != 1 {
		t.Fatalf("%d slots free, %d out, want 5 and 1: its body has come, so it is its server's work", b.SlotsFree(0), b.out)
	}
	end(b, now+50*ms, 0, 0, balance.Served)
	for id := balance.RequestID(1); id < 6; id++ {
		b.Outcome(now, balance.Outcome{ID: id, Ending: balance.Broken, Settled: true})
	}
	if b.SlotsFree(0) != 6 || b.out != 0 || len(b.requests) != 0 {
		t.Fatalf("%d slots free, %d out, %d held after all have ended", b.SlotsFree(0), b.out, len(b.requests))
	}
	for _, s := range b.servers {
		if s.out != 0 {
			t.Errorf("server %d is left with %d out", s.ID, s.out)
		}
	}
}

// The places beside the slots are bounded as the slots are: past them a slow client holds a slot.
func TestPlacesBesideTheSlotsAreBounded(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3, 4, 5, 6, 7, 8))
	for id := range balance.RequestID(6*(1+besideSlots) + 10) {
		ask(b, 0, id, safeClass)
		b.StreamStarted(0, id, 0)
	}
	if len(h.sends) != 6*(1+besideSlots) || b.SlotsFree(0) != 0 || b.Counters().SlowFull != 6 {
		t.Fatalf("%d sends, %d slots free, want %d and none", len(h.sends), b.SlotsFree(0), 6*(1+besideSlots))
	}
}

// A client's time begins with its last byte, and so does what is learnt of its server.
func TestTimeBeginsWithTheBodysEnd(t *testing.T) {
	b, h := start(t, testConfig(), ready(1))
	b.Request(0, balance.Request{ID: 1, Class: safeClass, TimeLeft: 500 * ms, BodyPending: true})
	b.Wake(5 * time.Second)
	b.BodyEnded(5*time.Second, 1, 500*ms)
	b.Outcome(5*time.Second+100*ms, balance.Outcome{ID: 1, Ending: balance.Served, Settled: true})
	if s := b.server(1); s.strain > 1 || b.asked.good == 0 {
		t.Errorf("strain %v, good %v: its client's time counted against the server", s.strain, b.asked.good)
	}
	b.Request(6*time.Second, balance.Request{ID: 2, Class: unsafeClass, TimeLeft: 500 * ms, BodyPending: true})
	b.BodyEnded(6*time.Second, 2, 500*ms)
	b.Wake(6*time.Second + 600*ms)
	if !h.failed[2] {
		t.Error("a request whose time is over since its last byte was not ended")
	}
}

// A stream counts as answered when it begins, however long it takes; one that breaks counts as a failure too.
func TestStreamCountsWhenItBegins(t *testing.T) {
	b, _ := start(t, testConfig(), ready(1))
	ask(b, 0, 1, safeClass)
	b.StreamStarted(50*ms, 1, 0)
	good, strain := b.asked.good, b.server(1).strain
	if good == 0 || strain > 1 {
		t.Fatalf("good %v, strain %v as it begins", good, strain)
	}
	b.Outcome(20*time.Second, balance.Outcome{ID: 1, Ending: balance.Served, Settled: true})
	if s := b.server(1); b.asked.good != good || s.strain != strain || b.crowd > 0.1 {
		t.Errorf("its length told: good %v, strain %v, crowd %v", b.asked.good, s.strain, b.crowd)
	}
	ask(b, 20*time.Second, 2, safeClass)
	b.StreamStarted(20*time.Second, 2, 0)
	b.Outcome(40*time.Second, balance.Outcome{ID: 2, Ending: balance.TimedOut, Settled: true})
	if s := b.server(1); s.fails != 1 || b.crowd > 0.1 {
		t.Errorf("a broken stream: %d failures, crowd %v, want one and none", s.fails, b.crowd)
	}
}

// A request whose body has gone in part is not sent again, though nothing of it ran.
func TestSpentRequestIsRefused(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	b.Request(0, balance.Request{ID: 1, Class: safeClass, TimeLeft: time.Second, BodyPending: true})
	b.Outcome(10*ms, balance.Outcome{ID: 1, Ending: balance.NoConnection, BodySpent: true})
	if _, refused := h.refused[1]; !refused || len(h.sends) != 1 {
		t.Fatalf("sends %v, refused %v, want one and a refusal", h.sends, h.refused)
	}
	b, h = start(t, testConfig(), ready(1, 2))
	b.Request(0, balance.Request{ID: 2, Class: safeClass, TimeLeft: time.Second, BodyPending: true})
	b.Outcome(10*ms, balance.Outcome{ID: 2, Ending: balance.NoConnection})
	if len(h.sends) != 2 {
		t.Fatalf("sends %v, want another for what is still held", h.sends)
	}
}

// An answer whose server stands still ends within half a second of its client's time; one that goes on, or has shown that it
// pauses for longer, does not. Time in which the client is slower is no pause.
func TestAnswerEndsByItsServersPace(t *testing.T) {
	const owed = time.Second
	for name, c := range map[string]struct {
		pauses []time.Duration // that the server has made, each behind the one before
		piece  int             // bytes that came behind each
		idle   time.Duration   // that the client took before the last wait
		until  time.Duration   // from the last wait's beginning on; 0: until owed and 0.35 s more
	}{
		"stands from the start":         {nil, 0, 0, 0},
		"stands behind some bytes":      {[]time.Duration{ms, ms, 400 * ms}, 100, 0, 0},
		"stands just before the time":   {[]time.Duration{20 * ms, 20 * ms, 200 * ms, 200 * ms, 200 * ms, 200 * ms, 150 * ms}, 100, 0, 0},
		"stands just behind it":         {[]time.Duration{200 * ms, 200 * ms, 200 * ms, 200 * ms, 210 * ms}, 100, 0, 500 * ms},
		"was fast, and stands there":    {slices.Repeat([]time.Duration{15 * ms}, 80), 16 << 10, 0, 300 * ms},
		"was fast with little":          {slices.Repeat([]time.Duration{15 * ms}, 80), 10, 0, 500 * ms},
		"goes on behind the time":       {[]time.Duration{400 * ms, 400 * ms, 400 * ms, 400 * ms}, 16 << 10, 0, 600 * ms},
		"pauses, just before the time":  {[]time.Duration{400 * ms, 400 * ms, 150 * ms}, 16 << 10, 0, 600 * ms},
		"pauses for long":               {[]time.Duration{400 * ms, 400 * ms, 900 * ms}, 16 << 10, 0, 1350 * ms},
		"pauses for very long":          {[]time.Duration{1250 * ms, 1800 * ms}, 16 << 10, 0, 2 * time.Second},
		"its client is slow, behind it": {[]time.Duration{100 * ms, 100 * ms}, 16 << 10, 5 * time.Second, 500 * ms},
	} {
		now := time.Duration(0)
		p := NewStallDetector(now, owed)
		for _, pause := range c.pauses {
			p.StartRead(now)
			now += pause
			p.BytesReceived(now, c.piece)
		}
		now += c.idle
		want := now + c.until
		if c.until == 0 {
			want = owed + 350*ms
		}
		if until := p.StartRead(now); until != want {
			t.Errorf("%s: waited for from %v until %v, want %v", name, now, until, want)
		}
	}
	p := NewStallDetector(0, time.Hour)
	if until := p.StartRead(time.Minute); until != time.Minute+5*time.Second {
		t.Errorf("within its client's time it may stand still until %v, want 5 s", until)
	}
}
