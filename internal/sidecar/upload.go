package sidecar

import (
	"errors"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxRequestBody     = 32 << 20                // bytes
	bodyBaseTime       = 2700 * time.Millisecond // how long a client may take to send a request, not counting the time that minBodyRate adds
	minBodyRate        = 48 << 10                // bytes a second; each byte of the body extends the time accordingly
	bodyStallTimeout   = 2 * time.Second         // longest pause within a body; a connection that stalls has to be closed within 3 s
	serverStallTimeout = 5 * time.Second         // how long a server may read nothing of a long request body that still arrives

	// uploadBuffers are the bytes of the buffers that forward a body: that of the writer, and the one with which net/http
	// copies the body.
	uploadBuffers = chunkSize + 32<<10

	arrivalPollInterval = 20 * time.Millisecond // how often it is checked, while a body is written, whether the rest of it has arrived
)

var (
	errRequestOver  = errors.New("the request has ended")
	errBodyTooLarge = errors.New("the body is too long")
)

// pacedBody reads a request's body and limits the time that its client takes: the client may be slow, but not stop or send
// single bytes. The time between two reads is the sidecar's own and does not count.
type pacedBody struct {
	body            io.Reader
	onEnd           func()                // called when all of it has been read; may be nil
	setReadDeadline func(time.Time) error // of the connection
	clientTime      time.Duration         // spent waiting for the client, from the request's head on
	bytesRead       int64
}

// readDeadline returns the moment by which the next byte has to arrive.
func (p *pacedBody) readDeadline(now time.Time) time.Time {
	timeLeft := bodyBaseTime + time.Duration(p.bytesRead)*time.Second/minBodyRate - p.clientTime
	return now.Add(min(timeLeft, bodyStallTimeout))
}

// Read reads from the body under the client's deadline. It fails with errBodyTooLarge above maxRequestBody.
func (p *pacedBody) Read(b []byte) (int, error) {
	now := time.Now()
	_ = p.setReadDeadline(p.readDeadline(now)) // fails only on a closed connection, as the read then does
	n, err := p.body.Read(b)
	p.clientTime += time.Since(now)
	if p.bytesRead += int64(n); p.bytesRead > maxRequestBody {
		return n, errBodyTooLarge
	}
	if err == io.EOF {
		_ = p.setReadDeadline(time.Time{}) // the client now waits for its answer
		if p.onEnd != nil {
			p.onEnd()
		}
	}
	return n, err
}

// upload is the part of a request's body that is not buffered. It is read once, by the attempt that forwards it.
//
// The client's time begins when the last byte of its body arrives at this machine. A server that reads slowly, or not at
// all, may leave that byte unread for long. So the attempt looks for it while it writes, and does not only wait to read it.
type upload struct {
	body      *pacedBody
	arrival   *arrivalProbe                // finds the last byte while it is unread; nil if there is no connection
	onRead    func()                       // called once, when it begins to be read; may be nil
	onArrived func(deadline time.Duration) // called once, with the client's deadline, when the last byte is known to have arrived
	arrivedAt time.Duration                // when the last byte arrived; valid once deadline is set; used by the attempt only
	deadline  time.Duration                // the client's deadline; 0 until the last byte is known to have arrived; used by the attempt only
	readErr   chan error                   // receives the error if the client does not send all of it
	read      atomic.Int64                 // bytes of it that have been read
	consumed  atomic.Bool                  // part of it has been read
	complete  atomic.Bool                  // all of it has been read
	stopped   atomic.Bool                  // further reads fail

	mu sync.Mutex // held by a read under way

	deadlineMu      sync.Mutex               // guards draining, and is held while interrupt sets the deadline
	draining        bool                     // the rest is read after the answer, which nothing interrupts
	setReadDeadline func(at time.Time) error // of the connection
}

// newUpload returns an upload of the rest of a body that has been read in part.
func newUpload(body *pacedBody) *upload {
	u := &upload{body: body, readErr: make(chan error, 1), setReadDeadline: body.setReadDeadline}
	body.setReadDeadline = func(t time.Time) error { // a read under way may set its deadline after interrupt has set its own
		err := u.setReadDeadline(t)
		if u.stopped.Load() {
			err = u.setReadDeadline(time.Unix(1, 0))
		}
		return err
	}
	return u
}

// Read reads the next bytes of the body. It fails after a call of interrupt.
func (u *upload) Read(b []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped.Load() {
		return 0, errRequestOver
	}
	if !u.consumed.Swap(true) && u.onRead != nil {
		u.onRead()
	}
	n, err := u.body.Read(b)
	u.read.Add(int64(n))
	switch {
	case err == io.EOF:
		u.complete.Store(true)
	case err != nil && !u.stopped.Swap(true):
		u.readErr <- err
	}
	return n, err
}

// interrupt ends the read under way and makes further ones fail. After the end of the body the connection's reads belong
// to net/http, which detects by them that the client leaves.
func (u *upload) interrupt() {
	u.stopped.Store(true)
	u.deadlineMu.Lock()
	defer u.deadlineMu.Unlock()
	if !u.complete.Load() && !u.draining {
		_ = u.setReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}
}

// stop interrupts the upload and returns once no read is under way: from then on only the request's handler uses the body.
func (u *upload) stop() {
	u.interrupt()
	u.mu.Lock()
	defer u.mu.Unlock()
}

// drain reads the rest of a body whose request has been answered: closing the connection before that could destroy the
// answer on its way to the client. It is called after stop, and a later call of interrupt does not end it.
func (u *upload) drain() {
	u.deadlineMu.Lock()
	u.draining = true
	u.body.setReadDeadline = u.setReadDeadline
	u.deadlineMu.Unlock()
	_, _ = io.Copy(io.Discard, u.body) // after an error the unread bytes end the connection
}

// noteArrival records that the last byte of the body arrived at a time, unless that is known, and sets the client's deadline,
// which a timeout of timeLeft counts from then.
func (u *upload) noteArrival(at, timeLeft time.Duration) {
	if u.deadline == 0 {
		u.arrivedAt, u.deadline = at, at+timeLeft
		u.onArrived(u.deadline)
	}
}

// unread returns how many received bytes of the client's connection have not been read.
func (u *upload) unread() int {
	if u.arrival == nil {
		return 0
	}
	return u.arrival.conn.unreadBytes()
}

// arrivedUnread returns by when the last byte of the body has arrived and is unread. ok is false if that is not known.
func (u *upload) arrivedUnread(now time.Duration) (at time.Duration, ok bool) {
	if u.arrival == nil {
		return 0, false
	}
	return u.arrival.arrivedAt(now)
}

// uploadWriter writes a long body to a server, which may read it slowly but not stop reading. Once the body has arrived
// whole, nothing is written after the client's deadline.
type uploadWriter struct {
	conn      *conn
	clock     clock
	outbound  *outboundRequest
	sendBy    time.Duration // nothing is written after it; 0 means no bound
	nextCheck time.Duration // when it is checked again whether the body has arrived
}

// Write writes all of b within serverStallTimeout, and nothing after sendBy or the client's deadline.
func (w *uploadWriter) Write(b []byte) (written int, err error) {
	stalledAt := w.clock.now() + serverStallTimeout
	for {
		w.checkArrival()
		end := w.writeEnd(stalledAt)
		_ = w.conn.SetWriteDeadline(w.clock.toTime(w.pollEnd(end))) // fails only on a closed connection
		n, err := writeRetrying(w.conn, b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) || w.clock.now() >= end {
			return written, err
		}
	}
}

// checkArrival notes the arrival of the last byte of the body: at once if it has been read, otherwise it looks for it once
// per arrivalPollInterval.
func (w *uploadWriter) checkArrival() {
	rest, now := w.outbound.upload, w.clock.now()
	if rest.deadline != 0 {
		return
	}
	at, arrived := now, rest.complete.Load()
	if !arrived && now >= w.nextCheck {
		w.nextCheck = now + arrivalPollInterval
		at, arrived = rest.arrivedUnread(now)
	}
	if arrived {
		rest.noteArrival(at, w.outbound.timeLeft)
	}
}

// writeEnd returns when a write has to end that fails at stalledAt if the server reads nothing.
func (w *uploadWriter) writeEnd(stalledAt time.Duration) time.Duration {
	end := stalledAt
	if w.sendBy > 0 {
		end = min(end, w.sendBy)
	}
	if deadline := w.outbound.upload.deadline; deadline > 0 {
		end = min(end, deadline)
	}
	return end
}

// pollEnd returns when a write that ends at end is interrupted to check whether the body has arrived.
func (w *uploadWriter) pollEnd(end time.Duration) time.Duration {
	if w.outbound.upload.deadline != 0 {
		return end
	}
	return min(end, w.nextCheck)
}
