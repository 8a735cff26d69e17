package logging

import (
	"io"
	"log/slog"
	"time"

	"github.com/rs/zerolog/diode"
)

// waitingMost is how many lines may wait for whoever reads the log; past that the oldest are lost.
const waitingMost = 1000

// AsyncWriter is a writer that never blocks its caller, however long the underlying writer takes. Lines wait in a ring buffer;
// if that is full the oldest are lost, and the log reports their number. It is safe for concurrent use.
type AsyncWriter struct{ ring diode.Writer }

// NewAsyncWriter returns a writer that writes to w from its own goroutine, until Flush.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	lost := func(lines int) { slog.Warn("log lines lost", "lines", lines) }
	return &AsyncWriter{ring: diode.NewWriter(struct{ io.Writer }{w}, waitingMost, 0, lost)} // w is not closed with it
}

// Write implements io.Writer, and never fails.
func (d *AsyncWriter) Write(line []byte) (int, error) { return d.ring.Write(line) }

// Flush ends the use of the writer, and waits until all lines are written, but no longer than a limit.
func (d *AsyncWriter) Flush(limit time.Duration) {
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
