package sidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"arrowgw/internal/balance"
	"arrowgw/internal/guard"
)

// closeReason is why a client connection was closed without a complete answer, or while no request was open on it.
type closeReason int

// The close reasons.
const (
	closedClientLeft    closeReason = iota // the client closed it or its sending side
	closedNoRoom                           // there was no room for it when it was accepted
	closedShedSilent                       // closed to make room; had sent nothing
	closedShedIdle                         // closed to make room; was idle between requests
	closedShedPartial                      // closed to make room; a request had arrived in part
	closedServerBroke                      // the server cut a streamed answer short
	closedClientStalled                    // the client did not read a streamed answer
	closedStopping                         // the process stops; no request was open
	closeReasonCount
)

var closeNames = [closeReasonCount]string{
	"client_left", "no_room", "room_silent", "room_idle", "room_partial", "server_broke", "client_stalled", "stopping",
}

// String returns the reason's name in the log and among the figures.
func (r closeReason) String() string { return closeNames[r] }

const (
	maxLogLinesPerSecond = 10 // lines about single requests; further ones are only counted
	maxLogBurst          = 50
)

// trace logs and counts what happens to each request, identified by its X-Request-ID. Ordinary steps are logged at
// level debug, requests that end without an answer at level info and at a limited rate. Its methods are safe for
// concurrent use.
type trace struct {
	limiter  *rate.Limiter
	unlogged atomic.Uint64 // lines that the limiter suppressed
	closes   [closeReasonCount]atomic.Uint64
	refusals []atomic.Uint64 // by balance.Reason
	failures []atomic.Uint64 // by balance.Reason
	repeated atomic.Uint64   // requests whose id had been sent to a server before
	retries  []atomic.Uint64 // retries, by the balance.Ending of the previous attempt
}

// newTrace returns a trace with all counters at 0.
func newTrace() *trace {
	return &trace{
		limiter:  rate.NewLimiter(maxLogLinesPerSecond, maxLogBurst),
		refusals: make([]atomic.Uint64, len(balance.Reasons())), failures: make([]atomic.Uint64, len(balance.Reasons())),
		retries: make([]atomic.Uint64, balance.NotSent+1),
	}
}

// logStep logs an ordinary step of the request with the given id.
func (t *trace) logStep(what, id string, attributes ...slog.Attr) {
	if t.logsSteps() {
		slog.LogAttrs(context.Background(), slog.LevelDebug, what, append([]slog.Attr{slog.String("id", id)}, attributes...)...)
	}
}

// logsSteps reports whether ordinary steps are logged.
func (t *trace) logsSteps() bool {
	return slog.Default().Enabled(context.Background(), slog.LevelDebug)
}

// countClose counts a client connection that was closed for a reason other than the end of an answer.
func (t *trace) countClose(why closeReason) { t.closes[why].Add(1) }

// logUnanswered counts and logs a request that ended without a complete answer.
func (t *trace) logUnanswered(id string, why closeReason, age time.Duration) {
	t.countClose(why)
	if !t.limiter.Allow() {
		t.unlogged.Add(1)
		return
	}
	slog.Info("request closed", "id", id, "why", why.String(), "age", age)
}

// logRefused counts and logs a refusal by the decision module.
func (t *trace) logRefused(id string, why balance.Reason, attempts int) {
	t.refusals[why].Add(1)
	t.logStep("request refused", id, slog.String("why", why.String()), slog.Int("attempts", attempts))
}

// logFailed counts and logs a request that the decision module failed.
func (t *trace) logFailed(id string, why balance.Reason, attempts int) {
	t.failures[why].Add(1)
	t.logStep("request failed", id, slog.String("why", why.String()), slog.Int("attempts", attempts))
}

// logRepeated counts and logs a request that is not served because one with its id has been sent to a server.
func (t *trace) logRepeated(id string) {
	t.repeated.Add(1)
	t.logStep("request repeated", id)
}

// logAttempt logs an attempt. If it is a retry, it is counted by the ending of the previous attempt.
func (t *trace) logAttempt(id string, number int, before balance.Ending, address string, timeout time.Duration) {
	if number > 0 && before >= 0 && int(before) < len(t.retries) {
		t.retries[before].Add(1)
	}
	t.logStep("attempt", id, slog.Int("number", number), slog.String("address", address), slog.Duration("timeout", timeout))
}

// logAttemptEnded logs the end of an attempt. For a long body it tells how much of it has been read and how much the
// system holds unread.
func (t *trace) logAttemptEnded(outbound *outboundRequest, number int, ending balance.Ending) {
	if !t.logsSteps() {
		return
	}
	attributes := []slog.Attr{slog.Int("number", number), slog.String("ending", ending.String())}
	if u := outbound.upload; u != nil {
		read := outbound.prefix + u.read.Load()
		attributes = append(attributes, slog.Int64("length", outbound.length), slog.Int64("read", read), slog.Int("unread", u.unread()))
	}
	t.logStep("attempt ended", outbound.id, attributes...)
}

// writeStats writes the counters for the console.
func (t *trace) writeStats(w io.Writer) {
	for reason := range closeReasonCount {
		fmt.Fprintf(w, "app.closed.%s=%d\n", reason, t.closes[reason].Load())
	}
	for _, reason := range balance.Reasons() {
		fmt.Fprintf(w, "app.refused.%s=%d\napp.failed.%s=%d\n", reason, t.refusals[reason].Load(), reason, t.failures[reason].Load())
	}
	fmt.Fprintf(w, "app.repeated=%d\n", t.repeated.Load())
	for ending := range t.retries {
		fmt.Fprintf(w, "app.retried.%s=%d\n", balance.Ending(ending), t.retries[ending].Load())
	}
}

// counters returns the counters above 0 by name, for the log.
func (t *trace) counters() map[string]uint64 {
	counts := make(map[string]uint64)
	add := func(kind, name string, n uint64) {
		if n > 0 {
			counts[kind+"."+name] = n
		}
	}
	for reason := range closeReasonCount {
		add("closed", reason.String(), t.closes[reason].Load())
	}
	for _, reason := range balance.Reasons() {
		add("refused", reason.String(), t.refusals[reason].Load())
		add("failed", reason.String(), t.failures[reason].Load())
	}
	for ending := range t.retries {
		add("retried", balance.Ending(ending).String(), t.retries[ending].Load())
	}
	add("requests", "repeated", t.repeated.Load())
	add("log", "unlogged", t.unlogged.Load())
	return counts
}

// logViolation logs a violation of an invariant.
func logViolation(v guard.Violation) {
	slog.Error("invariant violated", "rule", v.Invariant.String(), "id", v.RequestID, "what", v.Detail, "timed", v.Timed)
}

// writeGuardStats writes a guard's counters for the console.
func writeGuardStats(w io.Writer, g *guard.Guard) {
	for _, n := range g.Counts() {
		fmt.Fprintf(w, "app.violations.%s=%d\napp.denied.%s=%d\n", n.Invariant, n.Violations, n.Invariant, n.Denied)
	}
}

// guardCounters returns a guard's counters above 0 by name, for the log.
func guardCounters(g *guard.Guard) map[string]uint64 {
	counts := make(map[string]uint64)
	for _, n := range g.Counts() {
		if n.Violations > 0 {
			counts["violations."+n.Invariant.String()] = n.Violations
		}
		if n.Denied > 0 {
			counts["denied."+n.Invariant.String()] = n.Denied
		}
	}
	return counts
}
