package lab

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"arrowgw/internal/world"
)

const (
	drainGrace = time.Second // how long after discovery's update a sidecar may still send to a draining server
	// upgradeNewsDelay is how long after a process that was started beside another one is ready discovery's news bind the
	// sidecar at the latest: the new process has to ask for them first.
	upgradeNewsDelay = 2 * time.Second
	socketTolerance  = 50 * time.Millisecond // added to every time limit, for delays of sockets and processes
	maxFindings      = 5                     // findings of an invariant that are reported in full
)

// Verdict is the result of judging one invariant.
type Verdict struct {
	Invariant string   `json:"invariant"`
	Held      bool     `json:"held"`
	Judged    bool     `json:"judged"` // false: the invariant compares times, and the lab ran late
	Broken    int      `json:"broken"` // number of violations, of which Findings lists at most maxFindings
	Findings  []string `json:"findings,omitempty"`
}

// invariants lists every invariant that a scenario can require. timed ones compare times, and are judged only where the
// lab ran on time. find calls its last argument, report, once for each violation.
var invariants = []struct {
	name  string
	timed bool
	find  func(*History, *Scenario, func(format string, args ...any))
}{
	{"answered", false, checkAnswered},
	{"once", false, checkRepeats},
	{"honest", false, checkHonest},
	{"known", false, fromFindings(func(h *History) []string { return h.unknownRequests })},
	{"drains", true, checkDrains},
	{"cold", true, fromFindings(func(h *History) []string { return h.collapsedCold })},
	{"limits", false, fromFindings(func(h *History) []string { return h.exceededLimits })},
	{"members", true, checkMembers},
	{"agreed", true, checkAgreement},
	{"duties", false, checkSingleHolder},
	{"alive", false, fromFindings(func(h *History) []string { return h.processFailures })},
	{"final", true, checkFinalAnswer},
	{"left", true, checkNoAttemptAfterLeaving},
	{"told", true, checkTimeToldToServers},
	{"peers", true, fromFindings(func(h *History) []string { return h.unansweredPeers })},
	{"guarded", false, checkGuardViolations},
}

// judge checks the invariants that the scenario requires over the whole history. late reports that the lab did not run
// on time.
func judge(h *History, s *Scenario, late bool) (all []Verdict) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.late = late
	for _, inv := range invariants {
		if !slices.Contains(s.Invariants, inv.name) {
			continue
		}
		v := Verdict{Invariant: inv.name, Judged: !late || !inv.timed}
		if v.Judged {
			inv.find(h, s, func(format string, args ...any) {
				if v.Broken++; v.Broken <= maxFindings {
					v.Findings = append(v.Findings, fmt.Sprintf(format, args...))
				}
			})
		}
		v.Held = v.Broken == 0
		all = append(all, v)
	}
	return all
}

// fromFindings returns the check of an invariant whose violations were recorded as they happened.
func fromFindings(of func(*History) []string) func(*History, *Scenario, func(string, ...any)) {
	return func(h *History, _ *Scenario, report func(string, ...any)) {
		for _, line := range of(h) {
			report("%s", line)
		}
	}
}

// checkGuardViolations finds the violations and crashes that sidecars logged. Violations that are a matter of time only
// count where the lab ran on time, like those of the timed invariants.
func checkGuardViolations(h *History, _ *Scenario, report func(string, ...any)) {
	for _, v := range h.guardViolations {
		if !v.timed || !h.late {
			report("%s", v.line)
		}
	}
}

// checkAnswered finds requests that a running sidecar accepted and did not answer completely. A request was certainly
// accepted if it reached a server or if part of an answer arrived. Requests that were open when the sidecar's process was
// killed do not count.
func checkAnswered(h *History, _ *Scenario, report func(string, ...any)) {
	for _, t := range h.tries {
		if t.End != Broken || t.Left > 0 || brokenByServer(t) || !t.Partial && len(t.Reached) == 0 || endedByKill(h, t) {
			continue
		}
		report("request %s, sent to sidecar %s at %v, was accepted and lost: the connection ended at %v without a complete answer%s",
			t.ID, sidecarName(t.Sidecar), t.Sent, t.Ended, t.describeServerSide())
	}
}

// brokenByServer reports whether part of a try's answer arrived and the rest is missing because its server did not send it.
func brokenByServer(t *Try) bool {
	return t.Partial && slices.ContainsFunc(t.Reached, func(r Reached) bool { return r.Spoilt || r.Verdict == world.Down })
}

// overlapsSpan reports whether one of the sidecar's spans overlaps the time from one moment to another. A try's connection
// may be seen to end slightly before its sidecar's process is.
func overlapsSpan(spans []sidecarSpan, sidecar int, from, to time.Duration) bool {
	return slices.ContainsFunc(spans, func(s sidecarSpan) bool { return s.sidecar == sidecar && s.from <= to && s.to >= from })
}

// endedByKill reports whether a try's sidecar was killed while the try was open, so that its loss is due to the kill. A
// late kill counts only for a try that was sent in full by lateKill.coveredUntil.
func endedByKill(h *History, t *Try) bool {
	return overlapsSpan(h.kills, t.Sidecar, t.Sent, t.Ended) || slices.ContainsFunc(h.lateKills, func(k lateKill) bool {
		return max(t.Sent, t.Whole) <= k.coveredUntil && overlapsSpan([]sidecarSpan{k.sidecarSpan}, t.Sidecar, t.Sent, t.Ended)
	})
}

// closedUnread reports whether a sidecar closed a try's new connection without reading it, while idle clients used up its
// descriptors.
func closedUnread(h *History, t *Try) bool {
	return !t.Partial && len(t.Reached) == 0 && overlapsSpan(h.descriptorsFull, t.Sidecar, t.Sent, t.Ended)
}

// resetAfterListening reports whether a try's new connection was reset unread as its sidecar stopped listening, at a time
// at which clients of a process that was told to end open no new connections any more. A connection that the sidecar has
// read and closes is not reset.
func resetAfterListening(h *History, t *Try) bool {
	return !t.Partial && len(t.Reached) == 0 && strings.Contains(t.Cause, unix.ECONNRESET.Error()) && overlapsSpan(h.stops, t.Sidecar, t.Sent, t.Sent)
}

// arrivalsThatMayHaveRun returns a try's arrivals at servers that may have executed it.
func arrivalsThatMayHaveRun(t *Try) (all []Reached) {
	for _, r := range t.Reached {
		if r.Verdict == world.Accepted || r.Verdict == world.Down {
			all = append(all, r)
		}
	}
	return all
}

// checkRepeats finds requests that may have been executed more than once although their class does not allow it. Keyed
// requests may reach another server of the same zone within the class's deduplication window.
func checkRepeats(h *History, s *Scenario, report func(string, ...any)) {
	classes := s.classes()
	for _, t := range h.tries {
		class, runs := classes[t.Class], arrivalsThatMayHaveRun(t)
		if len(runs) < 2 || class.Idempotency == world.Safe {
			continue
		}
		first := runs[0]
		for _, r := range runs[1:] {
			sameZone := s.zoneOf(r.Server) == s.zoneOf(first.Server)
			if class.Idempotency == world.Keyed && sameZone && r.At-first.At < class.DedupWindow+socketTolerance {
				continue // the zone deduplicates it, unless the first execution was lost with its server
			}
			report("request %s (%s) may have run twice: at server %d at %v and at server %d at %v",
				t.ID, class.Name, first.Server, first.At, r.Server, r.At)
		}
	}
}

// checkHonest finds answers that no server gave to their request, and refusals of requests that may have been executed
// and must not be repeated.
func checkHonest(h *History, s *Scenario, report func(string, ...any)) {
	classes := s.classes()
	for _, t := range h.tries {
		switch {
		case t.End == Served && !slices.ContainsFunc(t.Reached, func(r Reached) bool { return r.Answer != "" && r.Answer == t.Body }):
			report("request %s was served at %v an answer that no server made for it: %.60q", t.ID, t.Ended, t.Body)
		case t.End == Refused && classes[t.Class].Idempotency != world.Safe && len(arrivalsThatMayHaveRun(t)) > 0:
			report("request %s (%s) was refused at %v though it may have run at server %d", t.ID, classes[t.Class].Name, t.Ended, arrivalsThatMayHaveRun(t)[0].Server)
		}
	}
}

// checkDrains finds requests that a sidecar sent to a server more than drainGrace after discovery had informed it that the
// server is draining or gone, or that it received after it had confirmed an operator's call to disable the server. Amid an
// upgrade discovery's news do not bind until upgradeNewsDelay after the new process is ready; an operator's call does.
func checkDrains(h *History, _ *Scenario, report func(string, ...any)) {
	type pair struct{ sidecar, server int }
	updates := make(map[pair][]ServerUpdate)
	for _, u := range h.serverUpdates {
		updates[pair{u.Sidecar, u.Server}] = append(updates[pair{u.Sidecar, u.Server}], u)
	}
	for _, ofPair := range updates {
		slices.SortStableFunc(ofPair, func(a, b ServerUpdate) int { return int(a.At - b.At) })
	}
	for _, t := range h.tries {
		for _, r := range t.Reached {
			var byDiscovery, byOperator *ServerUpdate // the update of each kind that was in effect when the request arrived
			ofPair := updates[pair{r.Sidecar, r.Server}]
			for i := range ofPair {
				u := &ofPair[i]
				switch {
				case u.ByHand && u.At <= t.Sent:
					byOperator = u
				case !u.ByHand && u.At <= r.At && (byDiscovery == nil || byDiscovery.Out != u.Out):
					byDiscovery = u
				}
			}
			// The server may be used if it came back into service while the request was under way.
			backInService := slices.ContainsFunc(ofPair, func(u ServerUpdate) bool { return !u.Out && u.At > t.Sent && u.At <= r.At+socketTolerance })
			switch {
			case backInService:
			case byOperator != nil && byOperator.Out:
				report("request %s, sent at %v, went to server %d at %v; sidecar %s had confirmed at %v that it is disabled",
					t.ID, t.Sent, r.Server, r.At, sidecarName(r.Sidecar), byOperator.At)
			case byDiscovery == nil || !byDiscovery.Out || overlapsSpan(h.upgrades, r.Sidecar, r.At, r.At):
			case r.At > byDiscovery.At+drainGrace+socketTolerance:
				report("request %s went to server %d at %v; sidecar %s was informed at %v that it is draining or gone",
					t.ID, r.Server, r.At, sidecarName(r.Sidecar), byDiscovery.At)
			}
		}
	}
}

const (
	leftTolerance = 100 * time.Millisecond // an attempt may start this long after its client disconnected
	toldTolerance = 150 * time.Millisecond // a server may be sent a time-out this much longer than its client's remaining time
)

// checkFinalAnswer finds requests that a sidecar accepted, whose client stayed connected, and that got no final answer in
// time. A sidecar is assumed to have accepted every request on a new connection. On a reused connection, which it may have
// been closing, only those count for which the client waited until its time-out.
func checkFinalAnswer(h *History, _ *Scenario, report func(string, ...any)) {
	for _, t := range h.tries {
		if t.Left > 0 || endedByKill(h, t) {
			continue
		}
		switch {
		case t.End == GaveUp:
			report("request %s, sent to sidecar %s at %v, had no final answer at %v; it was due at %v; the request reached %d servers%s",
				t.ID, sidecarName(t.Sidecar), t.Sent, t.Ended, t.Owed, len(t.Reached), t.describeServerSide())
		case t.End == Broken && t.Fresh && !brokenByServer(t) && !closedUnread(h, t) && !resetAfterListening(h, t):
			report("request %s, sent to sidecar %s at %v on a new connection, was dropped at %v by closing the connection (%s); it reached %d servers%s",
				t.ID, sidecarName(t.Sidecar), t.Sent, t.Ended, t.Cause, len(t.Reached), t.describeServerSide())
		}
	}
}

// checkNoAttemptAfterLeaving finds attempts that started after their client had disconnected.
func checkNoAttemptAfterLeaving(h *History, _ *Scenario, report func(string, ...any)) {
	for _, t := range h.tries {
		for _, r := range t.Reached {
			if t.Left > 0 && r.At > t.Left+leftTolerance+maxStall+socketTolerance {
				report("request %s reached server %d at %v; its client had disconnected at %v", t.ID, r.Server, r.At, t.Left)
			}
		}
	}
}

// checkTimeToldToServers finds attempts that sent a server a longer time-out than their client had left.
func checkTimeToldToServers(h *History, _ *Scenario, report func(string, ...any)) {
	for _, t := range h.tries {
		for _, r := range t.Reached {
			if left := t.Owed - r.At; r.Told > max(left, 0)+toldTolerance+socketTolerance {
				report("request %s was sent to server %d with a time-out of %v at %v; its client had %v left", t.ID, r.Server, r.Told, r.At, left)
			}
		}
	}
}
