package guard

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"arrowgw/internal/balance"
)

const ms = time.Millisecond

// The server of the tests, and the drain grace.
const (
	server = "10.0.0.1:80"
	grace  = 100 * ms
)

// recordingGuard is a Guard with one admitted request, and the violations it has reported.
type recordingGuard struct {
	*Guard
	reported []Violation
}

// guardWithRequest returns a Guard that is ready and has admitted r as request 1.
func guardWithRequest(r Request) *recordingGuard {
	l := new(recordingGuard)
	l.Guard = New(func(v Violation) { l.reported = append(l.reported, v) }, grace)
	l.Start()
	l.Admit(1, r)
	return l
}

// Each way of violating an invariant is denied or reported under that invariant; an ordinary request causes neither.
func TestInvariants(t *testing.T) {
	ordinary := Request{RequestID: "q1", Deadline: 1000 * ms, Effect: balance.Unsafe}
	uncertain := Request{RequestID: "q1", Deadline: 1000 * ms, DeadlineUncertainty: 200 * ms, Effect: balance.Unsafe}
	keyed := Request{RequestID: "q1", Deadline: 1000 * ms, Effect: balance.Keyed, Window: 300 * ms}
	for name, c := range map[string]struct {
		request  Request
		run      func(l *recordingGuard) error // returns the error of the last operation
		denied   Invariant                     // -1: nothing was denied
		violated Invariant                     // -1: nothing was violated
	}{
		"an ordinary request": {ordinary, func(l *recordingGuard) error {
			err := errors.Join(l.PermitSend(1*ms, 1, server), l.PermitWrite(2*ms, 1, server))
			l.AttemptWritten(2*ms, 2*ms, 1, server)
			l.AttemptEnded(1*ms, 1, balance.Served)
			err = errors.Join(err, l.PermitAnswer(9*ms, 1))
			l.HandlerEnded(9*ms, 1, false)
			l.Stop()
			return err
		}, -1, -1},
		"a retry of an attempt that never ran": {ordinary, func(l *recordingGuard) error {
			err := l.PermitSend(1*ms, 1, server)
			l.AttemptEnded(1*ms, 1, balance.TurnedAway)
			return errors.Join(err, l.PermitSend(2*ms, 1, server))
		}, -1, -1},
		"a retry of an attempt that may have run": {ordinary, func(l *recordingGuard) error {
			_ = l.PermitSend(1*ms, 1, server)
			l.AttemptEnded(1*ms, 1, balance.Broken)
			return l.PermitSend(2*ms, 1, server)
		}, RepeatAllowed, RepeatAllowed},
		"a keyed retry within its window": {keyed, func(l *recordingGuard) error {
			_ = l.PermitSend(1*ms, 1, server)
			l.AttemptEnded(1*ms, 1, balance.Broken)
			return l.PermitSend(300*ms, 1, server)
		}, -1, -1},
		"a keyed retry after its window": {keyed, func(l *recordingGuard) error {
			_ = l.PermitSend(1*ms, 1, server)
			l.AttemptEnded(1*ms, 1, balance.Broken)
			return l.PermitSend(301*ms, 1, server)
		}, RepeatAllowed, RepeatAllowed},
		"a keyed retry whose window ends as it connects": {keyed, func(l *recordingGuard) error {
			_ = l.PermitSend(1*ms, 1, server)
			l.AttemptEnded(1*ms, 1, balance.Broken)
			_ = l.PermitSend(300*ms, 1, server)
			return l.PermitWrite(301*ms, 1, server)
		}, RepeatAllowed, -1},
		"a keyed retry that goes out after its window": {keyed, func(l *recordingGuard) error {
			_ = l.PermitSend(1*ms, 1, server)
			l.AttemptEnded(1*ms, 1, balance.Broken)
			l.AttemptWritten(300*ms, 301*ms, 1, server)
			return nil
		}, -1, RepeatAllowed},
		"a send within the drain grace": {ordinary, func(l *recordingGuard) error {
			l.SetServerState(1*ms, server, balance.Draining)
			return l.PermitSend(101*ms, 1, server)
		}, -1, -1},
		"a send after the drain grace": {ordinary, func(l *recordingGuard) error {
			l.SetServerState(1*ms, server, balance.Draining)
			l.SetServerState(50*ms, server, balance.Draining) // repeated: counts from the first time
			return l.PermitSend(102*ms, 1, server)
		}, SentToListed, SentToListed},
		"a write after the drain grace": {ordinary, func(l *recordingGuard) error {
			_ = l.PermitSend(1*ms, 1, server)
			l.SetServerState(1*ms, server, balance.Draining)
			return l.PermitWrite(102*ms, 1, server)
		}, SentToListed, -1},
		"written after the drain grace": {ordinary, func(l *recordingGuard) error {
			_ = l.PermitSend(1*ms, 1, server)
			l.SetServerState(1*ms, server, balance.Draining)
			l.AttemptWritten(152*ms, 153*ms, 1, server)
			return nil
		}, -1, SentToListed},
		"a send to a server that is back": {ordinary, func(l *recordingGuard) error {
			l.SetServerState(1*ms, server, balance.Draining)
			l.SetServerState(200*ms, server, balance.Ready)
			return l.PermitSend(201*ms, 1, server)
		}, -1, -1},
		"a second copy": {keyed, func(l *recordingGuard) error {
			_ = l.PermitSend(1*ms, 1, server)
			return l.PermitSend(2*ms, 1, server)
		}, RepeatAllowed, RepeatAllowed},
		"a send after the deadline": {ordinary, func(l *recordingGuard) error { return l.PermitSend(1000*ms, 1, server) }, SentInTime, -1},
		"a write after the deadline": {ordinary, func(l *recordingGuard) error {
			_ = l.PermitSend(1*ms, 1, server)
			return l.PermitWrite(1000*ms, 1, server)
		}, SentInTime, -1},
		"a write while the body arrives": {Request{RequestID: "q1", BodyPending: true}, func(l *recordingGuard) error { return l.PermitWrite(1000*ms, 1, server) }, -1, -1},
		"a write after the answer":       {ordinary, func(l *recordingGuard) error { _ = l.PermitAnswer(1*ms, 1); return l.PermitWrite(2*ms, 1, server) }, SentWhileOpen, -1},
		"a write after the client left":  {ordinary, func(l *recordingGuard) error { l.ClientLeft(1*ms, 1); return l.PermitWrite(2*ms, 1, server) }, SentWhileOpen, -1},
		"written just after the client left": {ordinary, func(l *recordingGuard) error {
			l.ClientLeft(1*ms, 1)
			l.AttemptWritten(251*ms, 252*ms, 1, server)
			return nil
		}, -1, -1},
		"written long after the client left": {ordinary, func(l *recordingGuard) error {
			l.ClientLeft(1*ms, 1)
			l.AttemptWritten(252*ms, 253*ms, 1, server)
			return nil
		}, -1, SentWhileOpen},
		"written for an unknown request": {ordinary, func(l *recordingGuard) error { l.AttemptWritten(1*ms, 1*ms, 2, server); return nil }, -1, SentWhileOpen},
		"two answers":                    {ordinary, func(l *recordingGuard) error { _ = l.PermitAnswer(1*ms, 1); return l.PermitAnswer(2*ms, 1) }, AnsweredOnce, AnsweredOnce},
		"an answer that crosses the client's leaving": {ordinary, func(l *recordingGuard) error {
			l.ClientLeft(1*ms, 1)
			l.HandlerEnded(2*ms, 1, false)
			return l.PermitAnswer(3*ms, 1)
		}, ClosedAfter, -1},
		"an answer just in time":                        {ordinary, func(l *recordingGuard) error { return l.PermitAnswer(1500*ms, 1) }, -1, -1},
		"an answer too late":                            {ordinary, func(l *recordingGuard) error { return l.PermitAnswer(1501*ms, 1) }, -1, AnsweredSoon},
		"an uncertain deadline, an answer just in time": {uncertain, func(l *recordingGuard) error { return l.PermitAnswer(1700*ms, 1) }, -1, -1},
		"an uncertain deadline, an answer too late":     {uncertain, func(l *recordingGuard) error { return l.PermitAnswer(1701*ms, 1) }, -1, AnsweredSoon},
		"an uncertain deadline, a send too late":        {uncertain, func(l *recordingGuard) error { return l.PermitSend(1000*ms, 1, server) }, SentInTime, -1},
		"closed with no answer":                         {ordinary, func(l *recordingGuard) error { l.HandlerEnded(1*ms, 1, false); return nil }, -1, ClosedAfter},
		"closed by the client":                          {ordinary, func(l *recordingGuard) error { l.ClientLeft(1*ms, 1); l.HandlerEnded(1*ms, 1, false); return nil }, -1, -1},
		"closed as its answer was cut short":            {ordinary, func(l *recordingGuard) error { l.HandlerEnded(1*ms, 1, true); return nil }, -1, -1},
		"open at the end":                               {ordinary, func(l *recordingGuard) error { l.Stop(); return nil }, -1, ClosedAfter},
		"admitted twice":                                {ordinary, func(l *recordingGuard) error { l.Admit(1, ordinary); return nil }, -1, Started},
	} {
		t.Run(name, func(t *testing.T) {
			l := guardWithRequest(c.request)
			err := c.run(l)
			var denied DeniedError
			if got := errors.As(err, &denied); got != (c.denied >= 0) || got && denied.Invariant != c.denied {
				t.Errorf("denied: %v, want invariant %d", err, c.denied)
			}
			counted := Invariant(-1)
			for _, n := range l.Counts() {
				if n.Violations > 0 {
					counted = n.Invariant
				}
			}
			if counted != c.violated || (len(l.reported) > 0) != (c.violated >= 0) {
				t.Errorf("violated invariant %d, reported %v, want invariant %d", counted, l.reported, c.violated)
			}
		})
	}
}

// A request is removed once it and all of its attempts have ended.
func TestEndedRequestsAreForgotten(t *testing.T) {
	l := guardWithRequest(Request{RequestID: "q1", Deadline: time.Second})
	_ = l.PermitSend(1*ms, 1, server)
	_ = l.PermitAnswer(2*ms, 1)
	l.HandlerEnded(2*ms, 1, false)
	if len(l.requests) != 1 {
		t.Error("a request with an attempt in flight was removed")
	}
	l.AttemptEnded(1*ms, 1, balance.Cancelled)
	if len(l.requests) != 0 {
		t.Error("a request that has ended was not removed")
	}
	l.Admit(2, Request{RequestID: "q2", Deadline: time.Second})
	l.ClientLeft(1*ms, 2)
	l.HandlerEnded(1*ms, 2, false)
	if len(l.requests) != 1 {
		t.Error("a request that may still be answered was removed")
	}
	l.AnswerDropped(2)
	if len(l.requests) != 0 {
		t.Error("a request whose client has left was not removed")
	}
}

// Servers that have been gone for long are removed; a draining one is not.
func TestServersAreForgotten(t *testing.T) {
	l := guardWithRequest(Request{RequestID: "q1", Deadline: time.Hour})
	l.SetServerState(0, server, balance.Draining)
	for i := range 100 {
		l.SetServerState(time.Duration(i)*goneRetention/10, fmt.Sprint(i), balance.Gone)
	}
	if err := l.PermitSend(10*goneRetention, 1, server); err != (DeniedError{SentToListed}) {
		t.Errorf("an attempt at a server that has been draining for long was not denied: %v", err)
	}
	if len(l.notReady) > sweepsPerRetention+3 {
		t.Errorf("%d servers are remembered, want only those that went in the last minute", len(l.notReady))
	}
}

// No request is admitted before the sidecar is ready.
func TestNotReady(t *testing.T) {
	l := new(recordingGuard)
	l.Guard = New(func(v Violation) { l.reported = append(l.reported, v) }, grace)
	l.Admit(1, Request{RequestID: "q1", Deadline: time.Second})
	if err := l.PermitSend(1*ms, 1, server); err != (DeniedError{Started}) || len(l.reported) != 1 {
		t.Errorf("error %v, reported %v", err, l.reported)
	}
}
