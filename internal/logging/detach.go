package logging

import (
	"io"
	"log/slog"
	"time"

	"github.com/rs/zerolog/diode"
)

// maxPendingLines is how many lines may wait to be written. Beyond that the oldest are lost.
const maxPendingLines = 1000

// AsyncWriter is a writer that never blocks its caller, however long the underlying writer takes. Lines wait in a ring buffer;
// if that is full the oldest are lost, and the log reports their number. It is safe for concurrent use.
type AsyncWriter struct{ ring diode.Writer }

// NewAsyncWriter returns a writer that writes to w from its own goroutine, until Flush.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	onLost := func(lines int) { slog.Warn("log lines lost", "lines", lines) }
	return &AsyncWriter{ring: diode.NewWriter(struct{ io.Writer }{w}, maxPendingLines, 0, onLost)} // hides w's Close method, so that the ring does not close w
}

// Write implements io.Writer. It never blocks and never fails.
func (d *AsyncWriter) Write(line []byte) (int, error) { return d.ring.Write(line) }

// Flush waits until all lines are written, but no longer than limit. The writer must not be used afterwards.
func (d *AsyncWriter) Flush(limit time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.ring.Close() // w has no Close method here that could fail
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}
