package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"arrowgw/policy"
)

const (
	clientStallTimeout = 15 * time.Second      // how long a client may read nothing; at 64 kB/s its kernel opens the receive window only every 6 s
	maxQueuedChunks    = 4                     // chunks read from the server that wait for the client
	streamStartDelay   = 10 * time.Millisecond // an answer of unknown length that is not complete this long after its head is streamed
)

var errAnswerCutShort = errors.New("the server's answer was cut short")

// stream is an answer that is passed on as it arrives. The attempt's goroutine reads it from the server's connection and
// the client's handler writes it; between them a few chunks are queued, and the faster side waits for the other.
type stream struct {
	res      *http.Response
	conn     *conn
	exchange *exchange
	clock    clock
	holdEnd  time.Duration                 // when the answer begins to be passed on at the latest
	onBegin  func(*http.Response, *stream) // called when the answer begins to be passed on

	mu              sync.Mutex
	stalls          policy.StallDetector
	begun           bool   // onBegin has been called, or will not be
	beginOnNextByte bool   // do not wait for the end or for a full buffer
	buffered        []byte // read before the stream began

	chunkBudget chunkBudget
	chunks      chan chunk    // read since; closed at the end
	err         error         // why the answer is incomplete; set before chunks is closed
	clientGone  chan struct{} // closed by abort
	abortOnce   sync.Once
}

// newStream returns a stream of an answer whose head has been read, and was due at headDeadline.
func newStream(res *http.Response, c *conn, exchange *exchange, clock clock, headDeadline time.Duration) *stream {
	return &stream{
		holdEnd: policy.HoldHeaderUntil(clock.now(), headDeadline),
		res:     res, conn: c, exchange: exchange, clock: clock, beginOnNextByte: res.ContentLength > maxBufferedBody,
		stalls: policy.NewStallDetector(exchange.clientDeadline, exchange.finalEnd, res.ContentLength),
		chunks: make(chan chunk, maxQueuedChunks), clientGone: make(chan struct{}), chunkBudget: newChunkBudget(exchange.memory),
	}
}

// contentLength returns the announced length of the body, or -1.
func (s *stream) contentLength() int64 { return s.res.ContentLength }

// extendReadDeadline sets the moment by which the next bytes have to arrive. The caller holds the lock.
func (s *stream) extendReadDeadline() {
	_ = s.conn.SetReadDeadline(s.clock.toTime(s.stalls.StartRead(s.clock.now()))) // fails only on a closed connection, as the read then does
}

// run reads the answer from its connection until it ends. An answer that is complete before it is long enough to be
// streamed is returned as a whole; otherwise onBegin is called and run passes the answer on.
func (s *stream) run(onBegin func(*http.Response, *stream)) ([]byte, error) {
	s.onBegin = onBegin
	start := time.AfterFunc(streamStartDelay, s.beginBuffered)
	defer start.Stop()
	holdEnd := time.AfterFunc(s.holdEnd-s.clock.now(), s.beginWithoutBody)
	defer holdEnd.Stop()
	s.mu.Lock()
	s.extendReadDeadline() // the head was in time, and the body may take longer
	s.mu.Unlock()
	defer close(s.chunks)
	c := s.chunkBudget.get(s.clientGone)
	for {
		var err error
		c.n, err = s.res.Body.Read(c.buffer)
		s.res.Trailer = nil // it is not passed on
		begun, complete := s.receive(&c, err)
		s.enqueue(c)
		switch {
		case complete:
			return s.buffered, nil
		case err == io.EOF:
			return nil, nil
		case err != nil:
			s.err = err
			return nil, err
		}
		c = s.chunkBudget.get(s.clientGone)
		if begun { // behind the wait for the client, which is no pause of the server
			s.continueReading()
		}
	}
}

// beginLocked begins to pass the answer on. The caller holds the lock.
func (s *stream) beginLocked() {
	s.begun = true
	s.onBegin(s.res, s)
}

// beginBuffered begins an answer of unknown length that is not complete after streamStartDelay, if any byte of its body has
// arrived; otherwise it begins with the next byte.
func (s *stream) beginBuffered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginOnNextByte = true
	if !s.begun && len(s.buffered) > 0 {
		s.extendReadDeadline()
		s.beginLocked()
	}
}

// beginWithoutBody begins an answer of which no byte of the body may have arrived: its head tells the client that the answer is
// on its way.
func (s *stream) beginWithoutBody() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begun {
		s.extendReadDeadline()
		s.beginLocked()
	}
}

// receive handles the result of a read. Before the stream begins it moves the bytes to the buffer and empties the chunk.
// begun reports whether the stream has begun, complete whether the whole answer is in the buffer.
func (s *stream) receive(c *chunk, err error) (begun, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	s.stalls.BytesReceived(now, c.n)
	if s.begun {
		return true, false
	}
	s.extendReadDeadline()
	gotBytes := c.n > 0
	roomToBuffer := s.buffer(c.buffer[:c.n])
	c.n = 0
	switch {
	case err == io.EOF && len(s.buffered) <= maxBufferedBody:
		s.begun = true // complete, so it is not streamed
		return true, true
	case err != nil && err != io.EOF:
		s.begun = true
	case len(s.buffered) > maxBufferedBody || (s.beginOnNextByte || !roomToBuffer) && gotBytes:
		s.beginLocked()
	}
	return s.begun, false
}

// buffer adds bytes to what was read before the stream begins. It returns false if there is no memory to buffer more.
func (s *stream) buffer(b []byte) bool {
	before := cap(s.buffered)
	s.buffered = append(s.buffered, b...)
	added := cap(s.buffered) - before
	if s.exchange.memory.reserve(policy.Answers, added) {
		return true
	}
	s.exchange.memory.charge(policy.Answers, added)
	return false
}

// enqueue passes a chunk to the client's handler, or drops it if it is empty or the client has left.
func (s *stream) enqueue(c chunk) {
	if c.n > 0 {
		select {
		case s.chunks <- c:
			return
		case <-s.clientGone:
		}
	}
	s.chunkBudget.put(c)
}

// releaseBuffered lets go of what was read before the stream began.
func (s *stream) releaseBuffered() {
	s.exchange.memory.release(policy.Answers, cap(s.buffered))
	s.buffered = nil
}

// continueReading allows the next read of an answer that has begun. Its total length is not limited, as only a few chunks
// of it are in memory.
func (s *stream) continueReading() {
	s.conn.answerLimit.N = math.MaxInt64
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extendReadDeadline()
}

// abort ends the stream because its client has left, and cancels the exchange.
func (s *stream) abort() {
	s.abortOnce.Do(func() {
		close(s.clientGone)
		s.exchange.cancel()
	})
}

// copyTo writes the stream to the client as it arrives, until its end or an error, or until ctx ends. Every write has to
// be taken within clientStallTimeout.
func (s *stream) copyTo(ctx context.Context, w http.ResponseWriter) error {
	out := http.NewResponseController(w)
	var written int64
	write := func(b []byte) error {
		_ = out.SetWriteDeadline(time.Now().Add(clientStallTimeout)) // fails only on a closed connection, as the write then does
		n, err := w.Write(b)
		if written += int64(n); err != nil {
			return err
		}
		return out.Flush()
	}
	err := write(s.buffered)
	s.releaseBuffered()
	if err != nil {
		return err
	}
	for {
		select {
		case c, more := <-s.chunks:
			if !more && s.err != nil {
				return fmt.Errorf("%w: %w", errAnswerCutShort, s.err)
			}
			if !more {
				return nil
			}
			err := write(c.buffer[:c.n])
			s.chunkBudget.put(c)
			if err != nil {
				return err
			}
		case <-ctx.Done():
			if written == s.contentLength() { // the client has all of it, and may leave before its end is noticed here
				return nil
			}
			return ctx.Err()
		}
	}
}
