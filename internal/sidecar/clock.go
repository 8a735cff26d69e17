package sidecar

import "time"

// clock gives the time since the Unix epoch, which can be compared with the start times that discovery lists. After its
// creation it follows the monotonic clock: it never goes back, even if the wall clock is stepped.
type clock struct{ start time.Time }

// newClock returns a clock that starts at the wall clock's current time.
func newClock() clock { return clock{time.Now()} }

// now returns the current time since the Unix epoch.
func (c clock) now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// toTime converts a time of this clock to a time.Time, for deadlines on connections.
func (c clock) toTime(d time.Duration) time.Time {
	return c.start.Add(d - time.Duration(c.start.UnixNano()))
}
