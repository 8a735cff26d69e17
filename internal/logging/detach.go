package logging

import (
	"io"
	"log/slog"
	"time"

	"github.com/rs/zerolog/diode"
)

// waitingMost is how many lines may wait for whoever reads the log; past that the oldest are lost.
const waitingMost = 1000

// Detached is a writer that never holds up who writes a line, however long its own writer takes: lines wait in a ring
// of bounded size, and where that is full the oldest are lost, which the log then tells. It is safe for concurrent use.
type Detached struct{ ring diode.Writer }

// Detach makes a writer that writes to w from a goroutine of its own, until Flush.
func Detach(w io.Writer) *Detached {
	lost := func(lines int) { slog.Warn("log lines lost", "lines", lines) }
	return &Detached{ring: diode.NewWriter(struct{ io.Writer }{w}, waitingMost, 0, lost)} // w is not closed with it
}

// Write implements io.Writer, and never fails.
func (d *Detached) Write(line []byte) (int, error) { return d.ring.Write(line) }

// Flush ends the use of the writer, and waits until all lines are written, but no longer than a limit.
func (d *Detached) Flush(limit time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.ring.Close() // nothing is closed that could fail
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}
