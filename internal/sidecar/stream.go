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
	maxRequestBody   = 32 << 20                // bytes of a request's body at most
	bodyTime         = 2700 * time.Millisecond // a client may take this long over a request, and
	bodyPace         = 48 << 10                // a second more for each so many bytes of its body,
	bodyStallTimeout = 2 * time.Second         // but may not stand still for so long; a peer that connects is owed an end in 3 s
	unread           = 15 * time.Second        // a client may leave its answer unread: the room for 64 kB/s is told in steps of 6 s
	pieceSize        = 16 << 10                // bytes of a piece of a long answer,
	pieces           = 4                       // of which so many wait for the client
	holdTime         = 10 * time.Millisecond   // an answer whose length is not told begins so long after its head
)

var (
	errStopped        = errors.New("its request is over")
	errBodyTooLarge   = errors.New("the body is too long")
	errAnswerCutShort = errors.New("the server's answer broke off")
)

// pacedBody reads a request's body, and bounds the time that its client takes: it may be slow, but neither drip
// nor stop. Time that passes between reads is the sidecar's own.
type pacedBody struct {
	body            io.Reader
	setReadDeadline func(time.Time) error // sets that of the connection's reads
	clientTime      time.Duration         // for the client, its head included
	n               int64                 // bytes so far
}

// due is when the next byte has to come.
func (p *pacedBody) due(now time.Time) time.Time {
	left := bodyTime + time.Duration(p.n)*time.Second/bodyPace - p.clientTime
	return now.Add(min(left, bodyStallTimeout))
}

func (p *pacedBody) Read(b []byte) (int, error) {
	now := time.Now()
	_ = p.setReadDeadline(p.due(now)) // fails only on a closed connection, as the read then does
	n, err := p.body.Read(b)
	p.clientTime += time.Since(now)
	if p.n += int64(n); p.n > maxRequestBody {
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
	taken    atomic.Bool // part of it has been read
	complete atomic.Bool // all of it has
	stopped  atomic.Bool // nobody may read on

	mu       sync.Mutex // held by a read under way
	deadline func(time.Time) error
}

// newUpload makes the rest of a body that has come in part.
func newUpload(body *pacedBody) *upload {
	u := &upload{body: body, readErr: make(chan error, 1), deadline: body.setReadDeadline}
	body.setReadDeadline = func(t time.Time) error { // a read under way may set its own behind that of interrupt
		err := u.deadline(t)
		if u.stopped.Load() {
			err = u.deadline(time.Unix(1, 0))
		}
		return err
	}
	return u
}

func (u *upload) Read(b []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped.Load() {
		return 0, errStopped
	}
	u.taken.Store(true)
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
	u.body.setReadDeadline = u.deadline
	_, _ = io.Copy(io.Discard, u.body) // an error ends the connection, by what is left unread
}

// steady writes a long body to a server, which may read it slowly but not stand still.
type steady struct {
	*conn
	last time.Time // nothing is written behind it; zero: no such bound
}

func (s steady) Write(b []byte) (int, error) {
	until := time.Now().Add(stillTime)
	if !s.last.IsZero() && s.last.Before(until) {
		until = s.last
	}
	_ = s.conn.SetWriteDeadline(until) // fails only on a closed connection
	return writeRetrying(s.conn, b)
}

// piecePool has the buffers that long answers go through.
var piecePool = sync.Pool{New: func() any { return new([pieceSize]byte) }}

// piece is a part of a long answer, in a buffer of the pool.
type piece struct {
	buffer *[pieceSize]byte
	n      int
}

// stream is an answer that is passed on as it comes: from its server's connection by the attempt's goroutine, to the
// client by its handler. Between them wait some pieces; whoever is faster waits for the other.
type stream struct {
	res   *http.Response
	c     *conn
	x     *exchange
	clock clock
	begin func(*http.Response, *stream) // hears that the answer has begun

	mu    sync.Mutex
	pace  policy.StallDetector
	begun bool
	due   bool   // it is to begin with its next byte
	held  []byte // what came before it began

	pieces chan piece    // what has come since; closed at its end
	err    error         // what broke it; set before pieces is closed
	gone   chan struct{} // closed where the client has left
	left   sync.Once
}

func newStream(res *http.Response, c *conn, x *exchange, clock clock) *stream {
	return &stream{
		res: res, c: c, x: x, clock: clock, pace: policy.NewStallDetector(clock.now(), x.deadline), due: res.ContentLength > maxBufferedBody,
		pieces: make(chan piece, pieces), gone: make(chan struct{}),
	}
}

// contentLength is what the answer tells of its body's length, or -1.
func (s *stream) contentLength() int64 { return s.res.ContentLength }

// waitForMore sets by when the next bytes have to come. The caller holds the lock.
func (s *stream) waitForMore() {
	_ = s.c.SetReadDeadline(s.clock.toTime(s.pace.StartRead(s.clock.now()))) // fails only on a closed connection, as the read then does
}

// run reads the answer from its connection. One that ends before it has begun is returned whole; else begin hears
// that it has, and run returns when it has ended.
func (s *stream) run(begin func(*http.Response, *stream)) ([]byte, error) {
	s.begin = begin
	hold := time.AfterFunc(holdTime, s.beginHeld)
	defer hold.Stop()
	defer close(s.pieces)
	for {
		p := piece{buffer: piecePool.Get().(*[pieceSize]byte)}
		var err error
		p.n, err = s.res.Body.Read(p.buffer[:])
		begun, whole := s.came(&p, err)
		s.passOn(p)
		switch {
		case whole:
			return s.held, nil
		case err == io.EOF:
			return nil, nil
		case err != nil:
			s.err = err
			return nil, err
		case begun:
			s.goOn()
		}
	}
}

// start begins the answer. The caller holds the lock.
func (s *stream) start() {
	s.begun = true
	s.begin(s.res, s)
}

// beginHeld begins an answer whose length is not told and that has come in part by now.
func (s *stream) beginHeld() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due = true
	if !s.begun && len(s.held) > 0 {
		s.waitForMore()
		s.start()
	}
}

// came takes what a read has brought, and empties the piece where that is held. begun: the answer has begun; whole: it has come whole
// before, and is all held.
func (s *stream) came(p *piece, err error) (begun, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace.BytesReceived(s.clock.now(), p.n)
	if s.begun {
		return true, false
	}
	some := p.n > 0
	s.held = append(s.held, p.buffer[:p.n]...)
	p.n = 0
	switch {
	case err == io.EOF && len(s.held) <= maxBufferedBody:
		s.begun = true // nothing is left to begin
		return true, true
	case err != nil && err != io.EOF:
		s.begun = true
	case len(s.held) > maxBufferedBody || s.due && some:
		s.start()
	}
	return s.begun, false
}

// passOn hands a piece to the client's handler, unless the client has gone.
func (s *stream) passOn(p piece) {
	if p.n > 0 {
		select {
		case s.pieces <- p:
			return
		case <-s.gone:
		}
	}
	piecePool.Put(p.buffer)
}

// goOn waits for more of an answer that has begun, however long it is: bounded is what is held of it.
func (s *stream) goOn() {
	s.c.limit.N = math.MaxInt64
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitForMore()
}

// abort ends a stream that its client does not wait for any more.
func (s *stream) abort() {
	s.left.Do(func() {
		close(s.gone)
		s.x.cancel()
	})
}

// copyTo passes a stream on as it comes, until its end, an error or the client's leaving.
func (s *stream) copyTo(ctx context.Context, w http.ResponseWriter) error {
	out := http.NewResponseController(w)
	write := func(b []byte) error {
		_ = out.SetWriteDeadline(time.Now().Add(unread)) // fails only on a closed connection, as the write then does
		if _, err := w.Write(b); err != nil {
			return err
		}
		return out.Flush()
	}
	if err := write(s.held); err != nil {
		return err
	}
	for {
		select {
		case p, more := <-s.pieces:
			if !more && s.err != nil {
				return fmt.Errorf("%w: %w", errAnswerCutShort, s.err)
			}
			if !more {
				return nil
			}
			err := write(p.buffer[:p.n])
			piecePool.Put(p.buffer)
			if err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
