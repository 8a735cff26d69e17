package policy

import (
	"time"

	"arrowgw/internal/balance"
)

// Load reports, see sampleReports and queryLoad.
const (
	loadReportLifetime = 50 * time.Millisecond // a load report is valid for this long
	loadReportWait     = 30 * time.Millisecond // longest time that a request waits for a load report
	maxLoadQueries     = 3                     // servers that a request may ask for a load report
	maxReportPairs     = 4                     // pairs of successive reports compared to see if they are fresh
)

// sampleReports probes one server a few times to find out whether load reports are fresh. Reports that change
// more slowly than they are used must not steer single attempts: all balancers would send to the servers that
// were idle, a thundering herd.
func (b *Balancer) sampleReports(now time.Duration) {
	due := b.processes == 1 && b.reportPairs < maxReportPairs && now >= b.sampleAt && len(b.subset) > 0
	if !due || !b.cfg.MayProbe || b.cfg.Reports&balance.HasInFlight == 0 {
		return
	}
	if b.sampledServer == nil || !b.sampledServer.inService() {
		b.sampledServer = b.subset[b.rng.IntN(len(b.subset))]
	}
	b.sampleAt = now + loadReportLifetime
	b.host.Probe(b.sampledServer.ID)
	b.requestWake(now, loadReportLifetime)
}

// queryLoad asks the server whose turn it is for a load report if its last one is too old, and reports
// whether the request now waits for it. In a large fleet, a balancer can't estimate a server's load from its
// own attempts.
func (b *Balancer) queryLoad(now time.Duration, r *request) bool {
	if !b.cfg.MayProbe || b.cfg.Reports&balance.HasInFlight == 0 || b.freshPairs < maxReportPairs-1 ||
		r.loadQueries >= maxLoadQueries {
		return false
	}
	s, _ := b.nextInTurn(now, r, b.subset)
	if s == nil || (s.reportedAt > 0 && now-s.reportedAt < loadReportLifetime) {
		return false
	}
	r.awaitedReport, r.reportWaitEnd = s, now+loadReportWait
	r.loadQueries++
	b.host.Probe(s.ID)
	return true
}

// Probed handles the result of Host.Probe: a load report, or a failure if ok is false.
func (b *Balancer) Probed(now time.Duration, id balance.ServerID, ok bool, l balance.Load) {
	s := b.serverByID(id)
	reported := s != nil && ok && l.Has&balance.HasInFlight != 0
	if s != nil && s == b.sampledServer && b.reportPairs < maxReportPairs &&
		(!reported || s.reportedAt > 0 && now-s.reportedAt >= loadReportLifetime) {
		b.reportPairs++ // a failed probe counts as a pair that is not fresh
		if reported && l != s.load {
			if b.freshPairs++; b.freshPairs == maxReportPairs-1 { // queries find idle servers best in a large subset
				b.secondsPerTurn *= 3
			}
		}
	}
	if reported {
		s.reportedAt, s.load, s.othersInFlight = now, l, max(0, l.InFlight-float64(s.inFlight))
	}
	for _, r := range b.openRequests {
		if s != nil && r.awaitedReport == s && !r.ended {
			r.awaitedReport = nil
			b.dispatchOrQueue(now, r)
		}
	}
}

// reportsFull reports whether a server's load report shows its part of all balancers' requests. A server
// without a valid report counts as full for a request that has used up its load queries.
func (b *Balancer) reportsFull(now time.Duration, r *request, s *server) bool {
	if s.reportedAt == 0 || now-s.reportedAt >= 5*loadReportLifetime {
		return r.loadQueries >= maxLoadQueries
	}
	return s.othersInFlight+float64(s.inFlight) >= 1+b.weightShare(b.quotaConcurrency, s)
}
