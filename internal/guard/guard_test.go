package guard

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"arrowgw/internal/balance"
)

const ms = time.Millisecond

// The server of the tests, and how long it may be sent to after it was told draining.
const (
	server = "10.0.0.1:80"
	grace  = 100 * ms
)

// life is a guard with one request taken, and what it reports.
type life struct {
	*Guard
	reported []Violation
}

func taken(r Request) *life {
	l := new(life)
	l.Guard = New(func(v Violation) { l.reported = append(l.reported, v) }, grace)
	l.Start()
	l.Take(1, r)
	return l
}

// Each way of breaking an invariant is denied or reported, by its rule; an ordinary life is neither.
func TestInvariants(t *testing.T) {
	ordinary := Request{Name: "q1", Deadline: 1000 * ms, Effect: balance.Unsafe}
	keyed := Request{Name: "q1", Deadline: 1000 * ms, Effect: balance.Keyed, Window: 300 * ms}
	for name, c := range map[string]struct {
		request  Request
		live     func(l *life) error // and what it was denied at last
		denied   Rule                // -1: nothing
		violated Rule                // -1: none
	}{
		"an ordinary life": {ordinary, func(l *life) error {
			err := errors.Join(l.Send(1*ms, 1, server), l.Write(2*ms, 1, server))
			l.Written(2*ms, 2*ms, 1, server)
			l.End(1*ms, 1, balance.Served)
			err = errors.Join(err, l.Answer(9*ms, 1))
			l.Close(9*ms, 1, false)
			l.Stop()
			return err
		}, -1, -1},
		"a repeat that never ran": {ordinary, func(l *life) error {
			err := l.Send(1*ms, 1, server)
			l.End(1*ms, 1, balance.TurnedAway)
			return errors.Join(err, l.Send(2*ms, 1, server))
		}, -1, -1},
		"a repeat that may have run": {ordinary, func(l *life) error {
			_ = l.Send(1*ms, 1, server)
			l.End(1*ms, 1, balance.Broken)
			return l.Send(2*ms, 1, server)
		}, RepeatAllowed, RepeatAllowed},
		"a keyed repeat within its window": {keyed, func(l *life) error {
			_ = l.Send(1*ms, 1, server)
			l.End(1*ms, 1, balance.Broken)
			return l.Send(300*ms, 1, server)
		}, -1, -1},
		"a keyed repeat behind its window": {keyed, func(l *life) error {
			_ = l.Send(1*ms, 1, server)
			l.End(1*ms, 1, balance.Broken)
			return l.Send(301*ms, 1, server)
		}, RepeatAllowed, RepeatAllowed},
		"a keyed repeat whose window ends as it connects": {keyed, func(l *life) error {
			_ = l.Send(1*ms, 1, server)
			l.End(1*ms, 1, balance.Broken)
			_ = l.Send(300*ms, 1, server)
			return l.Write(301*ms, 1, server)
		}, RepeatAllowed, -1},
		"a keyed repeat that goes out behind its window": {keyed, func(l *life) error {
			_ = l.Send(1*ms, 1, server)
			l.End(1*ms, 1, balance.Broken)
			l.Written(300*ms, 301*ms, 1, server)
			return nil
		}, -1, RepeatAllowed},
		"a send within a drain's grace": {ordinary, func(l *life) error {
			l.Listed(1*ms, server, balance.Draining)
			return l.Send(101*ms, 1, server)
		}, -1, -1},
		"a send behind a drain's grace": {ordinary, func(l *life) error {
			l.Listed(1*ms, server, balance.Draining)
			l.Listed(50*ms, server, balance.Draining) // said again, it counts from the first time on
			return l.Send(102*ms, 1, server)
		}, SentToListed, SentToListed},
		"a write behind a drain's grace": {ordinary, func(l *life) error {
			_ = l.Send(1*ms, 1, server)
			l.Listed(1*ms, server, balance.Draining)
			return l.Write(102*ms, 1, server)
		}, SentToListed, -1},
		"written behind a drain's grace": {ordinary, func(l *life) error {
			_ = l.Send(1*ms, 1, server)
			l.Listed(1*ms, server, balance.Draining)
			l.Written(152*ms, 153*ms, 1, server)
			return nil
		}, -1, SentToListed},
		"a send to a server that is back": {ordinary, func(l *life) error {
			l.Listed(1*ms, server, balance.Draining)
			l.Listed(200*ms, server, balance.Ready)
			return l.Send(201*ms, 1, server)
		}, -1, -1},
		"a second copy": {keyed, func(l *life) error {
			_ = l.Send(1*ms, 1, server)
			return l.Send(2*ms, 1, server)
		}, RepeatAllowed, RepeatAllowed},
		"a send behind the deadline":   {ordinary, func(l *life) error { return l.Send(1000*ms, 1, server) }, SentInTime, -1},
		"a write behind the deadline":  {ordinary, func(l *life) error { _ = l.Send(1*ms, 1, server); return l.Write(1000*ms, 1, server) }, SentInTime, -1},
		"a write while the body comes": {Request{Name: "q1", Coming: true}, func(l *life) error { return l.Write(1000*ms, 1, server) }, -1, -1},
		"a write behind the answer":    {ordinary, func(l *life) error { _ = l.Answer(1*ms, 1); return l.Write(2*ms, 1, server) }, SentWhileOpen, -1},
		"a write behind the leaving":   {ordinary, func(l *life) error { l.Left(1*ms, 1); return l.Write(2*ms, 1, server) }, SentWhileOpen, -1},
		"written just behind the leaving": {ordinary, func(l *life) error {
			l.Left(1*ms, 1)
			l.Written(251*ms, 252*ms, 1, server)
			return nil
		}, -1, -1},
		"written long behind the leaving": {ordinary, func(l *life) error {
			l.Left(1*ms, 1)
			l.Written(252*ms, 253*ms, 1, server)
			return nil
		}, -1, SentWhileOpen},
		"written for nobody": {ordinary, func(l *life) error { l.Written(1*ms, 1*ms, 2, server); return nil }, -1, SentWhileOpen},
		"two answers":        {ordinary, func(l *life) error { _ = l.Answer(1*ms, 1); return l.Answer(2*ms, 1) }, AnsweredOnce, AnsweredOnce},
		"an answer that crosses the leaving": {ordinary, func(l *life) error {
			l.Left(1*ms, 1)
			l.Close(2*ms, 1, false)
			return l.Answer(3*ms, 1)
		}, ClosedAfter, -1},
		"an answer just in time":         {ordinary, func(l *life) error { return l.Answer(1500*ms, 1) }, -1, -1},
		"an answer too late":             {ordinary, func(l *life) error { return l.Answer(1501*ms, 1) }, -1, AnsweredSoon},
		"closed with no answer":          {ordinary, func(l *life) error { l.Close(1*ms, 1, false); return nil }, -1, ClosedAfter},
		"closed by the client":           {ordinary, func(l *life) error { l.Left(1*ms, 1); l.Close(1*ms, 1, false); return nil }, -1, -1},
		"closed as its answer broke off": {ordinary, func(l *life) error { l.Close(1*ms, 1, true); return nil }, -1, -1},
		"held at the end":                {ordinary, func(l *life) error { l.Stop(); return nil }, -1, ClosedAfter},
		"taken twice":                    {ordinary, func(l *life) error { l.Take(1, ordinary); return nil }, -1, Started},
	} {
		t.Run(name, func(t *testing.T) {
			l := taken(c.request)
			err := c.live(l)
			var denied Denied
			if got := errors.As(err, &denied); got != (c.denied >= 0) || got && denied.Rule != c.denied {
				t.Errorf("denied: %v, want rule %d", err, c.denied)
			}
			counted := Rule(-1)
			for _, n := range l.Counts() {
				if n.Violations > 0 {
					counted = n.Rule
				}
			}
			if counted != c.violated || (len(l.reported) > 0) != (c.violated >= 0) {
				t.Errorf("violated rule %d, reported %v, want rule %d", counted, l.reported, c.violated)
			}
		})
	}
}

// A request that has ended, with all its attempts, is forgotten.
func TestNothingGrows(t *testing.T) {
	l := taken(Request{Name: "q1", Deadline: time.Second})
	_ = l.Send(1*ms, 1, server)
	_ = l.Answer(2*ms, 1)
	l.Close(2*ms, 1, false)
	if len(l.open) != 1 {
		t.Error("a request with an attempt out is forgotten")
	}
	l.End(1*ms, 1, balance.Cancelled)
	if len(l.open) != 0 {
		t.Error("a request that has ended is still held")
	}
	l.Take(2, Request{Name: "q2", Deadline: time.Second})
	l.Left(1*ms, 2)
	l.Close(1*ms, 2, false)
	if len(l.open) != 1 {
		t.Error("a request is forgotten that the program may still answer")
	}
	l.Settle(2)
	if len(l.open) != 0 {
		t.Error("a request whose client has left is still held")
	}
}

// Servers that went long ago are forgotten, and one that drains is not.
func TestServersAreForgotten(t *testing.T) {
	l := taken(Request{Name: "q1", Deadline: time.Hour})
	l.Listed(0, server, balance.Draining)
	for i := range 100 {
		l.Listed(time.Duration(i)*outKept/10, fmt.Sprint(i), balance.Gone)
	}
	if err := l.Send(10*outKept, 1, server); err != (Denied{SentToListed}) {
		t.Errorf("a server that has drained for long may be sent to: %v", err)
	}
	if len(l.out) > clearedIn+3 {
		t.Errorf("%d servers are remembered that were told gone, want those of the last minute", len(l.out))
	}
}

// Nothing is taken before the sidecar is ready.
func TestNotReady(t *testing.T) {
	l := new(life)
	l.Guard = New(func(v Violation) { l.reported = append(l.reported, v) }, grace)
	l.Take(1, Request{Name: "q1", Deadline: time.Second})
	if err := l.Send(1*ms, 1, server); err != (Denied{Started}) || len(l.reported) != 1 {
		t.Errorf("error %v, reported %v", err, l.reported)
	}
}
