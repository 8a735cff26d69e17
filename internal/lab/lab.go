// Package lab plays whole fleets of real sidecar processes on loopback: it stands in for what surrounds them (queue
// servers, discovery, clients, the network between sidecars), breaks parts of it by a timetable, and judges the run.
//
// It promises:
//   - The processes are the real program. Everything else is a stand-in that holds to the platform's protocol.
//   - The same scenario and seed give the same requests, at the same times, and the same faults with the same targets in
//     the same order. What becomes of them depends on real sockets and real time.
//   - Whether an invariant holds is decided over the whole history, from what reached whom in which order. Two of
//     them ("drains", "cold") compare times; they are judged only where the lab itself ran on time.
//   - Figures are measured and compared. None of them ever fails a run.
//   - Nothing of a run outlives it: processes die with the lab, even where it is killed, and what lies in its folder is
//     swept by the next lab, by the record of the one that is gone.
//
// A run has one goroutine for each request that is open, one for each connection to a server, two for each sidecar that others reach
// and five for each connection between two, and bounds each: by the load of its scenario, by a server's sockets, by linkStreams and
// meshStreams. Packets that are delayed are bounded by linkQueue and meshQueue.
package lab

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// clock tells the time of a run. It is far below zero until begin is called, and goes on from just below zero then:
// it never goes back.
type clock struct {
	created time.Time
	offset  *atomic.Int64
}

// preparationTime is how far below zero a clock starts; far more than the preparations of a run may take.
const preparationTime = 10 * time.Minute

func newClock() clock {
	c := clock{time.Now(), new(atomic.Int64)}
	c.offset.Store(int64(preparationTime))
	return c
}

// startIn has the clock come to zero after d.
func (c clock) startIn(d time.Duration) { c.offset.Store(int64(time.Since(c.created) + d)) }

func (c clock) now() time.Duration { return time.Since(c.created) - time.Duration(c.offset.Load()) }

func (c clock) timeAt(d time.Duration) time.Time {
	return c.created.Add(d + time.Duration(c.offset.Load()))
}

// lateness is how late the lab itself ran: a timer that should go off does so later where the machine is busy.
type lateness struct {
	mu          sync.Mutex
	hist        *hdrhistogram.Histogram
	gaps        []gap // the times in which it was very late
	gapsDropped int   // and how many more there were
}

type gap struct{ from, to time.Duration }

const (
	latenessInterval = 5 * time.Millisecond
	gapThreshold     = 100 * time.Millisecond // the lab is very late from here on
	maxP99Lateness   = 25 * time.Millisecond  // and a run is late whose 99th percentile is above this,
	maxGapShare      = 0.02                   // or which was very late in more than this part of its time
	maxGaps          = 10_000
)

func newLateness() *lateness { return &lateness{hist: hdrhistogram.New(1, 60_000_000, 3)} }

// measure measures until stop is closed.
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

// record takes that something due was done at a moment.
func (l *lateness) record(due, done time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.hist.RecordValue(min(max(1, (done-due).Microseconds()), 60_000_000)) // in range
	if done-due < gapThreshold {
		return
	}
	if len(l.gaps) >= maxGaps {
		l.gapsDropped++
		return
	}
	l.gaps = append(l.gaps, gap{due, done})
}

// reset forgets what was measured so far.
func (l *lateness) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hist.Reset()
	l.gaps, l.gapsDropped = nil, 0
}

// reason says whether a run of that length was late, and why.
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

// counter counts by second, for plots. It is safe for concurrent use.
type counter struct{ perSecond []atomic.Int64 }

func newCounter(seconds int) *counter { return &counter{make([]atomic.Int64, seconds+2)} }

// add counts n in the second of a moment; what is outside of the run counts in the nearest.
func (c *counter) add(at time.Duration, n int64) {
	c.perSecond[min(max(0, int(at/time.Second)), len(c.perSecond)-1)].Add(n)
}

func (c *counter) values() []float64 {
	v := make([]float64, len(c.perSecond))
	for i := range c.perSecond {
		v[i] = float64(c.perSecond[i].Load())
	}
	return v
}
