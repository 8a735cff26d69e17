package policy

import "time"

// Limits on the time that the server of a streamed answer may take.
const (
	// An answer of more bytes than that is long: its client's time applies to its first bytes only, and it is
	// not cut off while its server sends.
	longAnswerBytes = 64 << 10

	// An answer that is not long ends within half a second after the client's deadline. 0.15 s of it are
	// reserved for delays of the sidecar itself.
	deadlineGrace = 350 * time.Millisecond

	// An answer of unknown length that has come at this pace since its first byte may still become long. It is
	// below the 64 kB a second of a slow peer, as bytes come in uneven pieces.
	minAnswerRate = 48 << 10 // bytes a second

	// A server that sends nothing for so long in the middle of an answer has stalled. A shorter pause is no
	// stall, whenever it is made: what is sent in pieces at the pace of a slow peer has such pauses.
	maxPause = 5 * time.Second

	// As the process ends, a server that sends nothing for so long counts as stalled.
	maxFinalPause = 50 * time.Millisecond

	// A header is held back for this share of the time that its attempt has left: if the answer breaks
	// before its body begins, the request can still be sent again.
	headerHoldShare = 0.5
)

// UnknownLength is the announced length of an answer that announces none.
const UnknownLength = -1

// HoldHeaderUntil returns until when the header of a streamed answer, received now, is held back while no
// byte of its body comes. attemptEnd is the time by which the attempt was to be answered.
func HoldHeaderUntil(now, attemptEnd time.Duration) time.Duration {
	return now + time.Duration(headerHoldShare*float64(max(0, attemptEnd-now)))
}

// StallDetector decides for one streamed answer until when its server may send the next bytes. An answer that
// is not long must end half a second after its client's deadline at the latest, however steadily its server
// sends; one of unknown length has more time while it is on its way to become long. A long answer is not cut
// off while its server makes pauses only. As the process ends, no answer waits for its server.
type StallDetector struct {
	deadline  time.Duration // of the client
	finalEnd  time.Duration // when answers are due as the process ends; 0 if that is not known
	announced int64         // length in bytes, or UnknownLength
	bytes     int64         // received so far
	firstByte time.Duration // when the first bytes were received

	waiting    bool          // the next bytes are awaited
	waitEnd    time.Duration // when the last bytes were received
	clientTime time.Duration // time between waits, in which the client was slower than the server
}

// NewStallDetector returns the detector for an answer whose header was received, whose client has the given
// deadline, and whose announced length is in bytes, or UnknownLength. finalEnd is when answers are due as the
// process ends, or 0.
func NewStallDetector(deadline, finalEnd time.Duration, announced int64) StallDetector {
	return StallDetector{deadline: deadline, finalEnd: finalEnd, announced: announced, waiting: true}
}

// StartRead starts the wait for the next bytes, or starts anew one that is under way. It returns the time at
// which the wait must time out.
func (d *StallDetector) StartRead(now time.Duration) (until time.Duration) {
	if !d.waiting {
		d.clientTime += now - d.waitEnd
	}
	d.waiting = true
	until = now + maxPause
	if !d.isLong() {
		return min(until, d.endLimit())
	}
	if d.finalEnd > 0 {
		until = min(until, max(d.finalEnd, now+maxFinalPause))
	}
	return until
}

// BytesReceived ends the wait that StartRead started and records the bytes received.
func (d *StallDetector) BytesReceived(now time.Duration, bytes int) {
	if d.bytes == 0 {
		d.firstByte = now
	}
	d.waiting, d.waitEnd = false, now
	d.bytes += int64(bytes)
}

// isLong reports whether the answer is known to be long.
func (d *StallDetector) isLong() bool { return max(d.bytes, d.announced) > longAnswerBytes }

// endLimit returns the time by which an answer that is not known to be long has to end. Time in which the
// client was slower than the server does not count, unless the process ends.
func (d *StallDetector) endLimit() time.Duration {
	limit := d.deadline + deadlineGrace
	if d.announced == UnknownLength {
		limit = max(limit, d.firstByte+time.Duration(d.bytes)*time.Second/minAnswerRate)
	}
	limit += d.clientTime
	if d.finalEnd > 0 {
		limit = min(limit, d.finalEnd)
	}
	return limit
}
