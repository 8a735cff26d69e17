package lab

import (
	"context"
	"io"
	"math/rand/v2"
	"time"
)

const (
	longestPause     = 5 * time.Second // of a server in the middle of a long answer, for which a client waits
	leastLump        = 16 << 10        // bytes
	largestLump      = 130_000         // exclusive; at slowestPace it takes 2 s
	slowestPace      = 64_000          // bytes a second
	leastPauseShare  = 0.6             // of the time that a lump takes at slowestPace
	slowReadPause    = 900 * time.Millisecond
	slowReadLump     = 200 << 10 // exclusive, bytes
	leastSlowReading = 4 << 10   // bytes
)

// lumps is how a server moves a body: some bytes at once, then a pause.
type lumps struct {
	bytes int
	pause time.Duration
}

// drawAnswerLumps draws lumps of an answer, at slowestPace or faster.
func drawAnswerLumps() lumps {
	bytes := leastLump + rand.IntN(largestLump-leastLump)
	share := leastPauseShare + rand.Float64()*(1-leastPauseShare)
	return lumps{bytes, time.Duration(share * float64(bytes) / slowestPace * float64(time.Second))}
}

// drawReadLumps draws how a server reads a long request.
func drawReadLumps() lumps {
	return lumps{leastSlowReading + rand.IntN(slowReadLump-leastSlowReading), rand.N(slowReadPause)}
}

// lumpReader reads in lumps.
type lumpReader struct {
	io.Reader
	lumps
	taken int // bytes of the current lump
}

// Read implements io.Reader.
func (r *lumpReader) Read(p []byte) (int, error) {
	if r.taken >= r.bytes {
		time.Sleep(r.pause)
		r.taken = 0
	}
	n, err := r.Reader.Read(p[:min(len(p), r.bytes-r.taken)])
	r.taken += n
	return n, err
}

// patience ends a try when its client has waited long enough.
type patience struct {
	cancel context.CancelFunc
	timer  *time.Timer
	until  time.Time
}

// newPatience returns a patience that ends at a time, with a context that ends with it. release has to be called.
func newPatience(until time.Time) (ctx context.Context, p *patience, release func()) {
	ctx, cancel := context.WithCancel(context.Background())
	p = &patience{cancel: cancel, until: until, timer: time.AfterFunc(time.Until(until), cancel)}
	return ctx, p, func() {
		p.timer.Stop()
		cancel()
	}
}

// awaitMore makes the client wait for a further part of its answer.
func (p *patience) awaitMore(longest time.Duration) {
	if until := time.Now().Add(longest); until.After(p.until) && p.timer.Stop() {
		p.until = until
		p.timer.Reset(longest)
	}
}

// patientBody is the body of a long answer that is read by a client, which waits for each further part of it.
type patientBody struct {
	io.Reader
	patience  *patience
	extraWait time.Duration
}

// Read implements io.Reader.
func (b *patientBody) Read(p []byte) (int, error) {
	b.patience.awaitMore(longestPause + b.extraWait)
	return b.Reader.Read(p)
}
