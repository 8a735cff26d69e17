package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"arrowgw/internal/balance"
)

// Server subsets and round-robin turns, see updateSubset and computeSubset.
const (
	rateTimeConstant    = 10 * time.Second // moving average of this balancer's traffic
	turnInterval        = 1 * time.Second  // a subset is sized to give each of its servers a turn this often
	maxSharersPerServer = 10               // balancers that share a server, in a fleet with more than these
	minSubsetSize       = 4.0              // servers of a subset, if there are as many

	// When members are lost, the counted size of the fleet halves in no less than fleetHalfLife.
	fleetHalfLife     = 10 * time.Second
	maxFleetUpdateGap = time.Second // a longer time between two calls of SetFleet counts as this much

	// A subset moves with the fleet's traffic only by the part of the shift above this number of servers.
	subsetShiftTolerance = 0.5

	minSubsetCoverage  = 2.0  // subsets grow until those of all sharers cover the list this many times
	maxSubsetWidening  = 4.0  // limit on this growth, as a multiple of the size their traffic supports
	fittingRounds      = 5    // rounds of the proportional fitting of turns
	maxTurnMultiple    = 4.0  // fitting changes a server's turns by at most this factor, up or down
	crossZoneTurnShare = 0.25 // turns of another zone's server, relative to this zone, if crossing is priced

	// Lower latency ratios count as the floor: a fast server gets no more turns than the floor gives. Where
	// turns are fitted to the fleet's traffic the floor is higher, or random latency would outweigh the fitting.
	latencyRatioFloorAlone  = 0.5
	latencyRatioFloorShared = 1.5

	failureLatencyRatio = 8.0 // a failure counts as a response of this multiple of the typical latency
	coldBudgetShare     = 0.5 // used share of a cold server's budget; the rest absorbs random arrivals
)

// SetFleet sets which balancers send to the same servers. Their number affects cold servers' budgets,
// compartments, the subset and ejection times. Too high a number keeps this balancer below its part; too low
// a number overloads servers. A higher number therefore takes effect at once; a lower one slowly, only while
// all members agree and not for members that are silent.
func (b *Balancer) SetFleet(now time.Duration, f balance.Fleet) {
	minSize := b.fleetSize
	if f.Agreed {
		minSize *= math.Exp2(-float64(min(now-b.fleetUpdatedAt, maxFleetUpdateGap)) / float64(fleetHalfLife))
	}
	size := max(1, float64(f.Present+f.Silent), minSize)
	b.fleetUpdatedAt = now
	if size != b.fleetSize || !slices.Equal(f.Sharers, b.sharers) {
		b.fleetSize, b.sharers = size, f.Sharers
		b.sizeCompartments()
		b.updateSubset()
	}
}

// updateSubset chooses the servers that this balancer sends to. A thousand balancers with little traffic
// would hold connections to all servers and never learn the health of any, so each keeps to a contiguous
// subset of the list that its own traffic supports. The subsets' starts are evenly spread by the balancers'
// indexes.
func (b *Balancer) updateSubset() {
	b.subsetTarget = b.subsetSize(b.rate)
	all := b.readyServers()
	b.subsetWeight, b.subset = 0, b.computeSubset(all)
	for _, s := range all {
		s.inSubset = s.inSubset && slices.Contains(b.subset, s)
	}
	for _, s := range b.subset {
		if !s.inSubset { // a random first turn: balancers must not be in step
			s.inSubset, s.nextTurn = true, b.virtualTime+b.rng.Float64()*b.turnGap(b.rateAt, s)
			if b.enabledWarmAt[s.ID] > 0 { // not the long wait for a cold server's turn
				s.nextTurn = b.virtualTime
			}
		}
		b.subsetWeight += s.Weight
	}
}

// computeSubset returns this balancer's subset of the ready servers. If this balancer is among the sharers,
// it computes the subsets of all sharers: each begins where the one before ends by announced traffic, but not
// far from the start that its index gives. Rounds of proportional fitting then find the turns that give all
// servers an even load (docs/spread.md). Only announced traffic is used, so that all sharers get one result.
func (b *Balancer) computeSubset(all []*server) []*server {
	b.latencyRatioFloor = latencyRatioFloorAlone
	for _, s := range b.servers {
		s.turnMultiple = 1
	}
	n, ring := float64(len(all)), slices.Concat(all, all)
	section := func(start, width float64) []*server {
		at := (int(math.Floor(start))%max(1, len(all)) + len(all)) % max(1, len(all))
		return ring[at : at+int(math.Ceil(min(n, width)))]
	}
	invalid := func(a balance.Sharer) bool { return !(a.Rate > 0 && b.subsetSize(a.Rate) < n) }
	sharers := slices.DeleteFunc(slices.Clone(b.sharers), invalid)
	byStart := func(a, c balance.Sharer) int { return cmp.Compare(subsetStart(a.Index), subsetStart(c.Index)) }
	slices.SortStableFunc(sharers, byStart)
	self := slices.IndexFunc(sharers, func(a balance.Sharer) bool { return a.Index == b.cfg.Index })
	if self < 0 {
		return section(n*subsetStart(b.cfg.Index), b.subsetTarget)
	}
	b.latencyRatioFloor = latencyRatioFloorShared // random latency must not outweigh the fitting
	total, sum, meanShift, shifts, subsets := 0.0, 0.0, 0.0,
		make([]float64, len(sharers)), make([][]*server, len(sharers))
	for _, a := range sharers {
		total += a.Rate
	}
	for i, a := range sharers {
		shifts[i] = n * (sum/total - subsetStart(a.Index))
		meanShift += shifts[i] / float64(len(sharers))
		sum += a.Rate
	}
	for i, a := range sharers {
		shifts[i] -= meanShift + max(-subsetShiftTolerance, min(shifts[i]-meanShift, subsetShiftTolerance))
		width := max(b.subsetSize(a.Rate),
			min(minSubsetCoverage*n*a.Rate/total, maxSubsetWidening*b.subsetSize(a.Rate)))
		subsets[i] = section(n*subsetStart(a.Index)+shifts[i], width)
	}
	for range fittingRounds {
		for i, a := range sharers {
			sum = 0
			for _, s := range subsets[i] {
				sum += b.turnWeight(a.Zone, s)
			}
			for _, s := range subsets[i] {
				s.fittedShare += a.Rate / total * b.turnWeight(a.Zone, s) / sum
			}
		}
		for _, s := range all {
			s.turnMultiple, s.fittedShare = max(1/maxTurnMultiple,
				min(s.turnMultiple*s.Weight/b.readyWeight/s.fittedShare, maxTurnMultiple)), 0
		}
	}
	return subsets[self]
}

// subsetStart returns where the subset of the balancer with this index starts, as a fraction of the list.
// Multiples of the golden ratio spread the starts evenly.
func subsetStart(index int) float64 {
	_, start := math.Modf(float64(index) * math.Phi)
	return start
}

// subsetSize returns how many servers a balancer with this request rate sends to. In a large fleet it is
// smaller than the rate supports, so that at traffic of the quotas maxSharersPerServer balancers share a
// server.
func (b *Balancer) subsetSize(rate float64) float64 {
	secondsPerTurn := b.secondsPerTurn
	if b.fleetSize > maxSharersPerServer && b.totalQuota > 0 {
		secondsPerTurn = min(secondsPerTurn, maxSharersPerServer*b.readyWeight/b.totalQuota)
	}
	return max(minSubsetSize, rate*secondsPerTurn)
}

// turnGap returns the virtual time between two turns of a server. It is longer for slow, failing and cold
// servers, but bounded: the remaining turns show when a server has recovered.
func (b *Balancer) turnGap(now time.Duration, s *server) float64 {
	return math.Pow(max(b.latencyRatioFloor, min(s.latencyRatio, failureLatencyRatio/2)), 1.5) /
		(b.turnWeight(b.cfg.Zone, s) * b.capacityShare(now, s))
}

// turnWeight returns the weight of a server's turns for a balancer in the given zone. Servers of other zones
// have fewer turns, but some: a zone may have more traffic than its own servers can take.
func (b *Balancer) turnWeight(zone int, s *server) float64 {
	if b.cfg.CrossZonePrice > 0 && s.Zone != zone {
		return s.Weight * s.turnMultiple * crossZoneTurnShare
	}
	return s.Weight * s.turnMultiple
}

// nextInTurn returns the eligible server with the earliest turn, or nil. It also reports whether a server
// with an earlier turn was skipped because it was at its concurrency limit.
func (b *Balancer) nextInTurn(now time.Duration, r *request, among []*server) (best *server, skipped bool) {
	earliestSkipped := math.Inf(1)
	for _, s := range among {
		switch {
		case r.tried(s) || !b.maySend(now, r, s):
		case float64(s.inFlight) >= b.serverLimit(s) || b.reportsFull(now, r, s):
			earliestSkipped = min(earliestSkipped, s.nextTurn)
		case best == nil || s.nextTurn < best.nextTurn:
			best = s
		}
	}
	return best, best != nil && earliestSkipped < best.nextTurn
}

// pickServer chooses a server by smooth weighted round robin over the subset. In virtual time, a server's
// next turn is 1/weight after its last one, and the server with the earliest turn is chosen. Servers that are
// at their concurrency limit or that the request has tried are skipped. It returns nil if none is eligible.
func (b *Balancer) pickServer(now time.Duration, r *request) *server {
	best, skipped := b.nextInTurn(now, r, b.subset)
	if best == nil && r.firstMayHaveRun() != nil { // a repeat is bound to its Scope, which the subset may lack
		best, skipped = b.nextInTurn(now, r, b.servers)
	}
	if best == nil {
		return nil
	}
	b.virtualTime = max(b.virtualTime, best.nextTurn)
	best.nextTurn = b.virtualTime + b.turnGap(now, best)
	if skipped {
		b.counters.Walled++
	} else if len(r.attempts) == 0 {
		b.counters.Ordinary++
	}
	return best
}
