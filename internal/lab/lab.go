// Package lab plays whole fleets of real sidecar processes on loopback. It stands in for what surrounds them (queue
// servers, discovery, clients, the network between sidecars), injects faults by a timetable, and judges invariants over
// the recorded history.
//
// It guarantees:
//   - The sidecar processes are the real program. Everything else is a stand-in that follows the platform's protocol.
//   - The same scenario and seed give the same requests at the same times, and the same faults with the same targets in
//     the same order. The outcomes depend on real sockets and real time.
//   - Invariants are checked over the whole history, by what reached whom and in which order. Invariants that compare
//     times, such as "drains" and "cold", are judged only in runs in which the lab itself ran on time.
//   - Figures are measured and compared. They never fail a run.
//   - Nothing outlives a run. The processes die with the lab even if it is killed, and the next lab removes the folder
//     of a dead one, going by the process list that it recorded there.
//
// A run has one goroutine for each open request, one for each connection to a server, two for each sidecar that others
// reach and five for each connection between two sidecars. They are bounded by the load of the scenario, by the
// servers' socket limit, by maxLinkStreams and by maxMeshStreams. Delayed packets are bounded by maxLinkPackets and
// maxMeshPackets.
package lab

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// clock is the time of a run. It is far below zero until startIn is called, and continues from just below zero then. It
// never goes back.
type clock struct {
	created time.Time
	offset  *atomic.Int64
}

// preparationTime is how far below zero a clock starts. It far exceeds the time that preparing a run may take.
const preparationTime = 10 * time.Minute

func newClock() clock {
	c := clock{time.Now(), new(atomic.Int64)}
	c.offset.Store(int64(preparationTime))
	return c
}

// startIn sets the clock so that it reaches zero after d.
func (c clock) startIn(d time.Duration) { c.offset.Store(int64(time.Since(c.created) + d)) }

// now returns the time since the run began. It is negative before that.
func (c clock) now() time.Duration { return time.Since(c.created) - time.Duration(c.offset.Load()) }

// timeAt returns the wall clock time that corresponds to d on the clock.
func (c clock) timeAt(d time.Duration) time.Time {
	return c.created.Add(d + time.Duration(c.offset.Load()))
}

// lateness measures how late the lab's own timers fire, which they do when the machine is overloaded.
type lateness struct {
	mu          sync.Mutex
	hist        *hdrhistogram.Histogram // delays in microseconds
	gaps        []gap                   // periods in which a timer was at least gapThreshold late
	gapsDropped int                     // gaps beyond the first maxGaps, which are only counted
}

// gap is the time between when something was due and when it was done.
type gap struct{ from, to time.Duration }

const (
	latenessInterval = 5 * time.Millisecond   // between two measurements
	gapThreshold     = 100 * time.Millisecond // a delay from this on counts as a gap
	maxP99Lateness   = 25 * time.Millisecond  // a run whose 99th percentile of delays is longer counts as late
	maxGapShare      = 0.02                   // a run with a larger share of its time in gaps counts as late
	maxGaps          = 10_000
)

func newLateness() *lateness { return &lateness{hist: hdrhistogram.New(1, 60_000_000, 3)} }

// measure records how late a timer fires every latenessInterval, until stop is closed.
func (l *lateness) measure(c clock, stop <-chan struct{}) {
	t := time.NewTimer(latenessInterval)
	defer t.Stop()
	for due := c.now() + latenessInterval; ; {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		now := c.now()
		l.record(due, now)
		due = now + latenessInterval
		t.Reset(latenessInterval)
	}
}

// record records that something was due at one time and done at another.
func (l *lateness) record(due, done time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.hist.RecordValue(min(max(1, (done-due).Microseconds()), 60_000_000)) // cannot fail: the value is in range
	if done-due < gapThreshold {
		return
	}
	if len(l.gaps) >= maxGaps {
		l.gapsDropped++
		return
	}
	l.gaps = append(l.gaps, gap{due, done})
}

// reset discards all measurements.
func (l *lateness) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hist.Reset()
	l.gaps, l.gapsDropped = nil, 0
}

// reason returns why a run of the given length counts as late, or "" if it does not.
func (l *lateness) reason(length time.Duration) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lost time.Duration
	for _, g := range l.gaps {
		lost += g.to - g.from
	}
	if p99 := time.Duration(l.hist.ValueAtQuantile(99)) * time.Microsecond; p99 > maxP99Lateness {
		return fmt.Sprintf("the lab's timers went off up to %v late in 99 of 100 cases, %v is allowed", p99, maxP99Lateness)
	}
	if part := float64(lost) / float64(length); part > maxGapShare || l.gapsDropped > 0 {
		return fmt.Sprintf("the lab stood still for %v in all, in gaps of over %v", lost, gapThreshold)
	}
	return ""
}

// counter counts events in each second of a run, for plots. It is safe for concurrent use.
type counter struct{ perSecond []atomic.Int64 }

// newCounter returns a counter for a run of the given length in seconds.
func newCounter(seconds int) *counter { return &counter{make([]atomic.Int64, seconds+2)} }

// add adds n to the second that contains at. Times outside the run count in the nearest second.
func (c *counter) add(at time.Duration, n int64) {
	c.perSecond[min(max(0, int(at/time.Second)), len(c.perSecond)-1)].Add(n)
}

// values returns the counts by second.
func (c *counter) values() []float64 {
	v := make([]float64, len(c.perSecond))
	for i := range c.perSecond {
		v[i] = float64(c.perSecond[i].Load())
	}
	return v
}
