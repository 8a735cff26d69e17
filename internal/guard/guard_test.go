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
	l.Admit(1, r)
	return l
}

// Each way of breaking an invariant is denied or reported, by its rule; an ordinary life is neither.
func TestInvariants(t *testing.T) {
	ordinary := Request{RequestID: "q1", Deadline: 1000 * ms, Effect: balance.Unsafe}
	keyed := Request{RequestID: "q1", Deadline: 1000 * ms, Effect: balance.Keyed, Window: 300 * ms}
	for name, c := range map[string]struct {
		request  Request
		live     func(l *life) error // and what it was denied at last
		denied   Invariant           // -1: nothing
		violated Invariant           // -1: none
	}{
		"an ordinary life": {ordinary, func(l *life) error {
			err := errors.Join(l.PermitSend(1*ms, 1, server), l.PermitWrite(2*ms, 1, server))
			l.AttemptWritten(2*ms, 2*ms, 1, server)
			l.AttemptEnded(1*ms, 1, balance.Served)
			err = errors.Join(err, l.PermitAnswer(9*ms, 1))
			l.HandlerEnded(9*ms, 1, false)
			l.Stop()
			return err
		}, -1, -1},
		"a repeat that never ran": {ordinary, func(l *life) error {
			err := l.PermitSend(1*ms, 1, server)
			l.AttemptEnded(1*ms, 1, balance.TurnedAway)
			return errors.Join(err, l.PermitSend(2*ms, 1, server))
		}, -1, -1},
		"a repeat that may have run": {ordinary, func(l *life) error {
			_ = l.PermitSend(1*ms, 1, server)
			l.AttemptEnded(1*ms, 1, balance.Broken)
			return l.PermitSend(2*ms, 1, server)
		}, RepeatAllowed, RepeatAllowed},
		"a keyed repeat within its window": {keyed, func(l *life) error {
			_ = l.PermitSend(1*ms, 1, server)
			l.AttemptEnded(1*ms, 1, balance.Broken)
			return l.PermitSend(300*ms, 1, server)
		}, -1, -1},
		"a keyed repeat behind its window": {keyed, func(l *life) error {
			_ = l.PermitSend(1*ms, 1, server)
			l.AttemptEnded(1*ms, 1, balance.Broken)
			return l.PermitSend(301*ms, 1, server)
		}, RepeatAllowed, RepeatAllowed},
		"a keyed repeat whose window ends as it connects": {keyed, func(l *life) error {
			_ = l.PermitSend(1*ms, 1, server)
			l.AttemptEnded(1*ms, 1, balance.Broken)
			_ = l.PermitSend(300*ms, 1, server)
			return l.PermitWrite(301*ms, 1, server)
		}, RepeatAllowed, -1},
		"a keyed repeat that goes out behind its window": {keyed, func(l *life) error {
			_ = l.PermitSend(1*ms, 1, server)
			l.AttemptEnded(1*ms, 1, balance.Broken)
			l.AttemptWritten(300*ms, 301*ms, 1, server)
			return nil
		}, -1, RepeatAllowed},
		"a send within a drain's grace": {ordinary, func(l *life) error {
			l.SetServerState(1*ms, server, balance.Draining)
			return l.PermitSend(101*ms, 1, server)
		}, -1, -1},
		"a send behind a drain's grace": {ordinary, func(l *life) error {
			l.SetServerState(1*ms, server, balance.Draining)
			l.SetServerState(50*ms, server, balance.Draining) // said again, it counts from the first time on
			return l.PermitSend(102*ms, 1, server)
		}, SentToListed, SentToListed},
		"a write behind a drain's grace": {ordinary, func(l *life) error {
			_ = l.PermitSend(1*ms, 1, server)
			l.SetServerState(1*ms, server, balance.Draining)
			return l.PermitWrite(102*ms, 1, server)
		}, SentToListed, -1},
		"written behind a drain's grace": {ordinary, func(l *life) error {
			_ = l.PermitSend(1*ms, 1, server)
			l.SetServerState(1*ms, server, balance.Draining)
			l.AttemptWritten(152*ms, 153*ms, 1, server)
			return nil
		}, -1, SentToListed},
		"a send to a server that is back": {ordinary, func(l *life) error {
			l.SetServerState(1*ms, server, balance.Draining)
			l.SetServerState(200*ms, server, balance.Ready)
			return l.PermitSend(201*ms, 1, server)
		}, -1, -1},
		"a second copy": {keyed, func(l *life) error {
			_ = l.PermitSend(1*ms, 1, server)
			return l.PermitSend(2*ms, 1, server)
		}, RepeatAllowed, RepeatAllowed},
		"a send behind the deadline":   {ordinary, func(l *life) error { return l.PermitSend(1000*ms, 1, server) }, SentInTime, -1},
		"a write behind the deadline":  {ordinary, func(l *life) error { _ = l.PermitSend(1*ms, 1, server); return l.PermitWrite(1000*ms, 1, server) }, SentInTime, -1},
		"a write while the body comes": {Request{RequestID: "q1", BodyPending: true}, func(l *life) error { return l.PermitWrite(1000*ms, 1, server) }, -1, -1},
		"a write behind the answer":    {ordinary, func(l *life) error { _ = l.PermitAnswer(1*ms, 1); return l.PermitWrite(2*ms, 1, server) }, SentWhileOpen, -1},
		"a write behind the leaving":   {ordinary, func(l *life) error { l.ClientLeft(1*ms, 1); return l.PermitWrite(2*ms, 1, server) }, SentWhileOpen, -1},
		"written just behind the leaving": {ordinary, func(l *life) error {
			l.ClientLeft(1*ms, 1)
			l.AttemptWritten(251*ms, 252*ms, 1, server)
			return nil
		}, -1, -1},
		"written long behind the leaving": {ordinary, func(l *life) error {
			l.ClientLeft(1*ms, 1)
			l.AttemptWritten(252*ms, 253*ms, 1, server)
			return nil
		}, -1, SentWhileOpen},
		"written for nobody": {ordinary, func(l *life) error { l.AttemptWritten(1*ms, 1*ms, 2, server); return nil }, -1, SentWhileOpen},
		"two answers":        {ordinary, func(l *life) error { _ = l.PermitAnswer(1*ms, 1); return l.PermitAnswer(2*ms, 1) }, AnsweredOnce, AnsweredOnce},
		"an answer that crosses the leaving": {ordinary, func(l *life) error {
			l.ClientLeft(1*ms, 1)
			l.HandlerEnded(2*ms, 1, false)
			return l.PermitAnswer(3*ms, 1)
		}, ClosedAfter, -1},
		"an answer just in time":         {ordinary, func(l *life) error { return l.PermitAnswer(1500*ms, 1) }, -1, -1},
		"an answer too late":             {ordinary, func(l *life) error { return l.PermitAnswer(1501*ms, 1) }, -1, AnsweredSoon},
		"closed with no answer":          {ordinary, func(l *life) error { l.HandlerEnded(1*ms, 1, false); return nil }, -1, ClosedAfter},
		"closed by the client":           {ordinary, func(l *life) error { l.ClientLeft(1*ms, 1); l.HandlerEnded(1*ms, 1, false); return nil }, -1, -1},
		"closed as its answer broke off": {ordinary, func(l *life) error { l.HandlerEnded(1*ms, 1, true); return nil }, -1, -1},
		"held at the end":                {ordinary, func(l *life) error { l.Stop(); return nil }, -1, ClosedAfter},
		"taken twice":                    {ordinary, func(l *life) error { l.Admit(1, ordinary); return nil }, -1, Started},
	} {
		t.Run(name, func(t *testing.T) {
			l := taken(c.request)
			err := c.live(l)
			var denied Denied
			if got := errors.As(err, &denied); got != (c.denied >= 0) || got && denied.Rule != c.denied {
				t.Errorf("denied: %v, want rule %d", err, c.denied)
			}
			counted := Invariant(-1)
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
	l := taken(Request{RequestID: "q1", Deadline: time.Second})
	_ = l.PermitSend(1*ms, 1, server)
	_ = l.PermitAnswer(2*ms, 1)
	l.HandlerEnded(2*ms, 1, false)
	if len(l.open) != 1 {
		t.Error("a request with an attempt out is forgotten")
	}
	l.AttemptEnded(1*ms, 1, balance.Cancelled)
	if len(l.open) != 0 {
		t.Error("a request that has ended is still held")
	}
	l.Admit(2, Request{RequestID: "q2", Deadline: time.Second})
	l.ClientLeft(1*ms, 2)
	l.HandlerEnded(1*ms, 2, false)
	if len(l.open) != 1 {
		t.Error("a request is forgotten that the program may still answer")
	}
	l.AnswerDropped(2)
	if len(l.open) != 0 {
		t.Error("a request whose client has left is still held")
	}
}

// Servers that went long ago are forgotten, and one that drains is not.
func TestServersAreForgotten(t *testing.T) {
	l := taken(Request{RequestID: "q1", Deadline: time.Hour})
	l.SetServerState(0, server, balance.Draining)
	for i := range 100 {
		l.SetServerState(time.Duration(i)*outKept/10, fmt.Sprint(i), balance.Gone)
	}
	if err := l.PermitSend(10*outKept, 1, server); err != (Denied{SentToListed}) {
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
	l.Admit(1, Request{RequestID: "q1", Deadline: time.Second})
	if err := l.PermitSend(1*ms, 1, server); err != (Denied{Started}) || len(l.reported) != 1 {
		t.Errorf("error %v, reported %v", err, l.reported)
	}
}
