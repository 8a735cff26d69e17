package policy

import "time"

// Limits on the time for which the server of a streamed response may send nothing.
const (
	// A stalled response ends within half a second after the client's deadline. 0.15 s of it are reserved for
	// delays of the sidecar itself.
	deadlineGrace = 350 * time.Millisecond

	// After the deadline a response is ended when a pause is longer than lateStallLimit (or fastStallLimit) and
	// longer than pauseMultiple times the longest pause so far.
	lateStallLimit  = 500 * time.Millisecond
	fastStallLimit  = 300 * time.Millisecond // if the server sent fastMinBytes without a pause of fastMaxPause
	fastMinBytes    = 64 << 10
	fastMaxPause    = 50 * time.Millisecond
	pauseMultiple   = 1.5
	maxAdaptedStall = 2 * time.Second // bounds the limit that is derived from pauses

	maxStall = 5 * time.Second // no stall is longer, before or after the deadline
)

// StallDetector decides for one streamed response how long its server may send nothing. A stalled response
// must end half a second after the client's deadline at the latest, but a response that makes progress is not
// cut off, however long it is. The pauses that the server has made so far distinguish the two cases.
type StallDetector struct {
	deadline     time.Duration // of the client
	readStart    time.Duration // since when the next bytes are awaited
	longestPause time.Duration // longest wait for bytes so far
	bytes        int           // received so far
}

// NewStallDetector returns the detector for a response whose header was received now and whose client has the
// given deadline.
func NewStallDetector(now, deadline time.Duration) StallDetector {
	return StallDetector{deadline: deadline, readStart: now}
}

// StartRead starts the wait for the next bytes and returns the time at which the read must time out. Time
// between two waits, in which the client is slower than the server, is not a pause of the server.
func (d *StallDetector) StartRead(now time.Duration) (until time.Duration) {
	d.readStart = now
	pause := time.Duration(pauseMultiple * float64(d.longestPause))
	switch {
	case now < d.deadline: // before the deadline, only the longest pause counts
	case d.bytes >= fastMinBytes && d.longestPause < fastMaxPause:
		pause = max(pause, fastStallLimit)
	default:
		pause = max(pause, lateStallLimit)
	}
	return min(max(now+min(pause, maxAdaptedStall), d.deadline+deadlineGrace), now+maxStall)
}

// BytesReceived ends the wait that StartRead started and records the bytes received.
func (d *StallDetector) BytesReceived(now time.Duration, bytes int) {
	d.longestPause = max(d.longestPause, now-d.readStart)
	d.bytes += bytes
}
