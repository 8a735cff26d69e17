package policy

import (
	"time"

	"arrowgw/internal/balance"
)

// mayRepeat reports whether the idempotency of the class allows an attempt now, on s or, if s is nil, on any
// server.
func (r *request) mayRepeat(now time.Duration, s *server) bool {
	first, scope := r.firstMayHaveRun(), r.class.Scope
	if first == nil || r.class.Idempotency == balance.Safe {
		return true
	}
	inScope := s == nil || scope == balance.ScopeAll ||
		s.Zone == first.server.Zone && (scope == balance.ScopeZone || s.Cell == first.server.Cell)
	return inScope && r.class.Idempotency == balance.Keyed && now < first.sentAt+r.class.DedupWindow
}

// maySend reports whether the rules allow sending a request to a server now. Every attempt passes this check.
// Rule 3 applies as soon as a server starts draining, long before its grace period is over.
func (b *Balancer) maySend(now time.Duration, r *request, s *server) bool {
	return !r.ended && !r.streaming && now < r.deadline && // rule 1: not answered, and in time
		len(r.attempts) < b.cfg.MaxAttempts && s.available(now) && // rule 3: nothing to a draining server
		(now >= s.warmAt || now >= s.nextColdSend) && // rule 4: little to a cold server
		r.attemptsInFlight == 0 && r.mayRepeat(now, s) && // rule 2: no concurrent or unsafe repeats
		r.isNextOfKey(now) && // rule 5: order per key
		(len(r.attempts) == 0 || !b.retryBudgetSpent(now)) // rule 6: retry budget
}

// inService reports whether a server is ready by the list and neither disabled by an operator nor excluded by
// the rule set.
func (s *server) inService() bool { return s.State == balance.Ready && !s.excluded }

// available reports whether a server is in service and not ejected for failures.
func (s *server) available(now time.Duration) bool { return s.inService() && now >= s.ejectedUntil }

// isNextOfKey reports whether a request is at the head of its per-key queue, if it has one, and no attempt of
// an earlier request may still be running.
func (r *request) isNextOfKey(now time.Duration) bool {
	return r.keyQueue == nil ||
		r.keyQueue.waiting[0] == r && (len(r.attempts) > 0 || now >= r.keyQueue.settledAt)
}

// retryBudgetSpent reports whether the retry budget allows no retry now. At the edge of the period, a request
// received exactly one Span ago no longer counts and a retry sent then still does.
func (b *Balancer) retryBudgetSpent(now time.Duration) bool {
	if b.cfg.Budget.Span == 0 {
		return false
	}
	from := now - b.cfg.Budget.Span
	allowed := b.cfg.Budget.Free + b.cfg.Budget.Share*float64(b.requestTimes.countSince(from+1))
	return float64(b.retryTimes.countSince(from)+1) > allowed
}
