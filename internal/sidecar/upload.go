package sidecar

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxRequestBody     = 32 << 20                // bytes
	bodyBaseTime       = 2700 * time.Millisecond // how long a client may take to send a request, not counting the time that minBodyRate adds
	minBodyRate        = 48 << 10                // bytes a second; each byte of the body extends the time accordingly
	bodyStallTimeout   = 2 * time.Second         // longest pause within a body; a connection that stalls has to be closed within 3 s
	serverStallTimeout = 5 * time.Second         // how long a server may read nothing of a long request body
)

var (
	errRequestOver  = errors.New("the request has ended")
	errBodyTooLarge = errors.New("the body is too long")
)

// pacedBody reads a request's body and limits the time that its client takes: the client may be slow, but not stop or send
// single bytes. The time between two reads is the sidecar's own and does not count.
type pacedBody struct {
	body            io.Reader
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
	}
	return n, err
}

// upload is the part of a request's body that is not buffered. It is read once, by the attempt that forwards it.
type upload struct {
	body     *pacedBody
	unread   func() int   // returns how many received bytes the system holds; nil if there is no connection
	onSent   func()       // called when the last byte has been written to the server
	readErr  chan error   // receives the error if the client does not send all of it
	read     atomic.Int64 // bytes of it that have been read
	consumed atomic.Bool  // part of it has been read
	complete atomic.Bool  // all of it has been read
	stopped  atomic.Bool  // further reads fail

	mu              sync.Mutex // held by a read under way
	setReadDeadline func(time.Time) error
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
	u.consumed.Store(true)
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

// unreadBytes returns how many received bytes of the client's connection the system holds.
func (u *upload) unreadBytes() int {
	if u.unread == nil {
		return 0
	}
	return u.unread()
}

// interrupt ends the read under way and makes further ones fail. After the end of the body the connection's reads belong
// to net/http, which detects by them that the client leaves.
func (u *upload) interrupt() {
	u.stopped.Store(true)
	if u.complete.Load() {
		return
	}
	_ = u.body.setReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// stop interrupts the upload and returns once no read is under way: from then on only the request's handler uses the body.
func (u *upload) stop() {
	u.interrupt()
	u.mu.Lock()
	defer u.mu.Unlock()
}

// drain reads the rest of a body whose request has been answered: closing the connection before that could destroy the
// answer on its way to the client.
func (u *upload) drain() {
	u.body.setReadDeadline = u.setReadDeadline
	_, _ = io.Copy(io.Discard, u.body) // after an error the unread bytes end the connection
}

// stallWriter writes a long body to a server, which may read it slowly but not stop reading.
type stallWriter struct {
	*conn
	sendBy time.Time // nothing is written after it; zero means no bound
}

// Write writes all of b within serverStallTimeout, and nothing after sendBy.
func (s stallWriter) Write(b []byte) (int, error) {
	until := time.Now().Add(serverStallTimeout)
	if !s.sendBy.IsZero() && s.sendBy.Before(until) {
		until = s.sendBy
	}
	_ = s.conn.SetWriteDeadline(until) // fails only on a closed connection
	return writeRetrying(s.conn, b)
}
