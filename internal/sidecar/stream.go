package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"arrowgw/policy"
)

const (
	maxRequestBody     = 32 << 20                // bytes of a request's body at most
	bodyBaseTime       = 2700 * time.Millisecond // a client may take this long over a request, and
	minBodyRate        = 48 << 10                // a second more for each so many bytes of its body,
	bodyStallTimeout   = 2 * time.Second         // but may not stand still for so long; a peer that connects is owed an end in 3 s
	clientStallTimeout = 15 * time.Second        // a client may leave its answer unread: the room for 64 kB/s is told in steps of 6 s
	chunkSize          = 16 << 10                // bytes of a piece of a long answer,
	maxQueuedChunks    = 4                       // of which so many wait for the client
	streamStartDelay   = 10 * time.Millisecond   // an answer whose length is not told begins so long after its head
)

var (
	errRequestOver    = errors.New("its request is over")
	errBodyTooLarge   = errors.New("the body is too long")
	errAnswerCutShort = errors.New("the server's answer broke off")
)

// pacedBody reads a request's body, and bounds the time that its client takes: it may be slow, but neither drip
// nor stop. Time that passes between reads is the sidecar's own.
type pacedBody struct {
	body            io.Reader
	setReadDeadline func(time.Time) error // sets that of the connection's reads
	clientTime      time.Duration         // for the client, its head included
	bytesRead       int64                 // bytes so far
}

// readDeadline is when the next byte has to come.
func (p *pacedBody) readDeadline(now time.Time) time.Time {
	left := bodyBaseTime + time.Duration(p.bytesRead)*time.Second/minBodyRate - p.clientTime
	return now.Add(min(left, bodyStallTimeout))
}

func (p *pacedBody) Read(b []byte) (int, error) {
	now := time.Now()
	_ = p.setReadDeadline(p.readDeadline(now)) // fails only on a closed connection, as the read then does
	n, err := p.body.Read(b)
	p.clientTime += time.Since(now)
	if p.bytesRead += int64(n); p.bytesRead > maxRequestBody {
		return n, errBodyTooLarge
	}
	if err == io.EOF {
		_ = p.setReadDeadline(time.Time{}) // what the client waits for now is its answer
	}
	return n, err
}

// upload is the part of a request's body that is not held. It is read once, by the attempt that sends it on.
type upload struct {
	body     *pacedBody
	onSent   func()      // hears that the last byte has gone out
	readErr  chan error  // hears why it did not come, from the client's side
	consumed atomic.Bool // part of it has been read
	complete atomic.Bool // all of it has
	stopped  atomic.Bool // nobody may read on

	mu              sync.Mutex // held by a read under way
	setReadDeadline func(time.Time) error
}

// newUpload makes the rest of a body that has come in part.
func newUpload(body *pacedBody) *upload {
	u := &upload{body: body, readErr: make(chan error, 1), setReadDeadline: body.setReadDeadline}
	body.setReadDeadline = func(t time.Time) error { // a read under way may set its own behind that of interrupt
		err := u.setReadDeadline(t)
		if u.stopped.Load() {
			err = u.setReadDeadline(time.Unix(1, 0))
		}
		return err
	}
	return u
}

func (u *upload) Read(b []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped.Load() {
		return 0, errRequestOver
	}
	u.consumed.Store(true)
	n, err := u.body.Read(b)
	switch {
	case err == io.EOF:
		u.complete.Store(true)
	case err != nil && !u.stopped.Swap(true):
		u.readErr <- err
	}
	return n, err
}

// interrupt ends the read under way and lets none follow. Behind the body's end the connection's reads are net/http's, which
// looks for its client's leaving by them.
func (u *upload) interrupt() {
	u.stopped.Store(true)
	if u.complete.Load() {
		return
	}
	_ = u.body.setReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// stop returns once nobody reads any more: from then on the body is the handler's own again.
func (u *upload) stop() {
	u.interrupt()
	u.mu.Lock()
	defer u.mu.Unlock()
}

// drain reads what its client still sends of a request that has its answer: a close in the middle of that could
// take the answer from it.
func (u *upload) drain() {
	u.body.setReadDeadline = u.setReadDeadline
	_, _ = io.Copy(io.Discard, u.body) // an error ends the connection, by what is left unread
}

// stallWriter writes a long body to a server, which may read it slowly but not stand still.
type stallWriter struct {
	*conn
	sendBy time.Time // nothing is written behind it; zero: no such bound
}

func (s stallWriter) Write(b []byte) (int, error) {
	until := time.Now().Add(serverStallTimeout)
	if !s.sendBy.IsZero() && s.sendBy.Before(until) {
		until = s.sendBy
	}
	_ = s.conn.SetWriteDeadline(until) // fails only on a closed connection
	return writeThrough(s.conn, b)
}

// chunkPool has the buffers that long answers go through.
var chunkPool = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// chunk is a part of a long answer, in a buffer of the pool.
type chunk struct {
	buffer *[chunkSize]byte
	n      int
}

// stream is an answer that is passed on as it comes: from its server's connection by the attempt's goroutine, to the
// client by its handler. Between them wait some pieces; whoever is faster waits for the other.
type stream struct {
	res      *http.Response
	conn     *conn
	exchange *exchange
	clock    clock
	onBegin  func(*http.Response, *stream) // hears that the answer has begun

	mu              sync.Mutex
	pace            policy.AnswerPace
	begun           bool
	beginOnNextByte bool   // it is to begin with its next byte
	buffered        []byte // what came before it began

	chunks     chan chunk    // what has come since; closed at its end
	err        error         // what broke it; set before pieces is closed
	clientGone chan struct{} // closed where the client has left
	abortOnce  sync.Once
}

func newStream(res *http.Response, c *conn, x *exchange, clock clock) *stream {
	return &stream{
		res: res, conn: c, exchange: x, clock: clock, pace: policy.NewAnswerPace(clock.now(), x.clientDeadline), beginOnNextByte: res.ContentLength > maxBufferedBody,
		chunks: make(chan chunk, maxQueuedChunks), clientGone: make(chan struct{}),
	}
}

// contentLength is what the answer tells of its body's length, or -1.
func (s *stream) contentLength() int64 { return s.res.ContentLength }

// extendReadDeadline sets by when the next bytes have to come. The caller holds the lock.
func (s *stream) extendReadDeadline() {
	_ = s.conn.SetReadDeadline(s.clock.at(s.pace.Wait(s.clock.now()))) // fails only on a closed connection, as the read then does
}

// run reads the answer from its connection. One that ends before it has begun is returned whole; else begin hears
// that it has, and run returns when it has ended.
func (s *stream) run(begin func(*http.Response, *stream)) ([]byte, error) {
	s.onBegin = begin
	hold := time.AfterFunc(streamStartDelay, s.beginBuffered)
	defer hold.Stop()
	defer close(s.chunks)
	for {
		p := chunk{buffer: chunkPool.Get().(*[chunkSize]byte)}
		var err error
		p.n, err = s.res.Body.Read(p.buffer[:])
		begun, whole := s.receive(&p, err)
		s.enqueue(p)
		switch {
		case whole:
			return s.buffered, nil
		case err == io.EOF:
			return nil, nil
		case err != nil:
			s.err = err
			return nil, err
		case begun:
			s.continueReading()
		}
	}
}

// beginLocked begins the answer. The caller holds the lock.
func (s *stream) beginLocked() {
	s.begun = true
	s.onBegin(s.res, s)
}

// beginBuffered begins an answer whose length is not told and that has come in part by now.
func (s *stream) beginBuffered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginOnNextByte = true
	if !s.begun && len(s.buffered) > 0 {
		s.extendReadDeadline()
		s.beginLocked()
	}
}

// receive takes what a read has brought, and empties the piece where that is held. begun: the answer has begun; whole: it has come whole
// before, and is all held.
func (s *stream) receive(p *chunk, err error) (begun, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace.Came(s.clock.now(), p.n)
	if s.begun {
		return true, false
	}
	some := p.n > 0
	s.buffered = append(s.buffered, p.buffer[:p.n]...)
	p.n = 0
	switch {
	case err == io.EOF && len(s.buffered) <= maxBufferedBody:
		s.begun = true // nothing is left to begin
		return true, true
	case err != nil && err != io.EOF:
		s.begun = true
	case len(s.buffered) > maxBufferedBody || s.beginOnNextByte && some:
		s.beginLocked()
	}
	return s.begun, false
}

// enqueue hands a piece to the client's handler, unless the client has gone.
func (s *stream) enqueue(p chunk) {
	if p.n > 0 {
		select {
		case s.chunks <- p:
			return
		case <-s.clientGone:
		}
	}
	chunkPool.Put(p.buffer)
}

// continueReading waits for more of an answer that has begun, however long it is: bounded is what is held of it.
func (s *stream) continueReading() {
	s.conn.answerLimit.N = math.MaxInt64
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extendReadDeadline()
}

// abort ends a stream that its client does not wait for any more.
func (s *stream) abort() {
	s.abortOnce.Do(func() {
		close(s.clientGone)
		s.exchange.cancel()
	})
}

// copyTo passes a stream on as it comes, until its end, an error or the client's leaving.
func (s *stream) copyTo(ctx context.Context, w http.ResponseWriter) error {
	out := http.NewResponseController(w)
	write := func(b []byte) error {
		_ = out.SetWriteDeadline(time.Now().Add(clientStallTimeout)) // fails only on a closed connection, as the write then does
		if _, err := w.Write(b); err != nil {
			return err
		}
		return out.Flush()
	}
	if err := write(s.buffered); err != nil {
		return err
	}
	for {
		select {
		case p, more := <-s.chunks:
			if !more && s.err != nil {
				return fmt.Errorf("%w: %w", errAnswerCutShort, s.err)
			}
			if !more {
				return nil
			}
			err := write(p.buffer[:p.n])
			chunkPool.Put(p.buffer)
			if err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
