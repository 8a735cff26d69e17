package policy

import "time"

// An answer that stands still ends behind its client's time, within the half second that is allowed less
// the 0.15 s for which a sidecar may be held up. Behind that time a server goes on with an answer while
// it pauses for no longer than one of these.
const (
	answerGrace = 350 * time.Millisecond
	goesOn      = 500 * time.Millisecond
	fastGoesOn  = 300 * time.Millisecond // where it has sent fastFrom bytes and never paused for fastPause
	fastFrom    = 64 << 10
	fastPause   = 50 * time.Millisecond
	pauseShare  = 1.5             // of the longest pause that it has shown,
	pauseMost   = 2 * time.Second // but no longer than this
	standMost   = 5 * time.Second // and within its client's time none may stand still for longer
)

// StallDetector follows an answer that is passed on as it comes, and decides for how long its server may
// stand still. A request is owed its final answer half a second behind its time at the latest, but an
// answer that its server goes on with is not cut off, however long it is. What tells the two apart is the
// pauses that the server has made in this answer so far.
type StallDetector struct {
	owed    time.Duration // the client's time is up
	asked   time.Duration // since when the next bytes are waited for
	longest time.Duration // pause so far
	bytes   int           // so far
}

// NewStallDetector begins with an answer whose head has come now; at owed its client's time is up.
func NewStallDetector(now, owed time.Duration) StallDetector {
	return StallDetector{owed: owed, asked: now}
}

// StartRead takes that the next bytes are waited for from now on, and returns until when. Time in which
// nobody waits for the server, as the client is slower, is no pause of its.
func (p *StallDetector) StartRead(now time.Duration) (until time.Duration) {
	p.asked = now
	pause := time.Duration(pauseShare * float64(p.longest))
	switch {
	case now < p.owed: // it has not gone on behind that so far
	case p.bytes >= fastFrom && p.longest < fastPause:
		pause = max(pause, fastGoesOn)
	default:
		pause = max(pause, goesOn)
	}
	return min(max(now+min(pause, pauseMost), p.owed+answerGrace), now+standMost)
}

// BytesReceived takes that so many bytes have come.
func (p *StallDetector) BytesReceived(now time.Duration, bytes int) {
	p.longest = max(p.longest, now-p.asked)
	p.bytes += bytes
}
