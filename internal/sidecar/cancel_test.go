package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// crossingTimeout is how long the loop is blocked for the other side of a race to act.
const crossingTimeout = 300 * time.Millisecond

// cancelFirstAttempt cancels the first attempt of each request, and blocks the loop until happened returns true or
// crossingTimeout has passed.
func (f *front) cancelFirstAttempt(t *testing.T, happened func() bool) {
	t.Helper()
	err := f.loop.postAndWait(context.Background(), func(time.Duration) {
		for id := range f.loop.requests {
			f.loop.Cancel(id, 0)
		}
		for end := time.Now().Add(crossingTimeout); !happened() && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// A request whose attempt is cancelled after its body has been sent whole still gets its final answer. The cancellation
// interrupted the reads of the client's connection, which was mistaken for a disconnect of the client.
func TestCancelledUploadIsAnswered(t *testing.T) {
	s := newStub(t, func(net.Conn, stubRequest) bool { select {} })
	f, side, serve := newTestFront(t, s.address, nil)
	serve()
	c := side.dial(t)
	body := string(patternedBody(maxBufferedBody + 4<<10))
	if _, err := io.WriteString(c, requestHead("1", fmt.Sprintf("Content-Length: %d", len(body)))+body); err != nil {
		t.Fatal(err)
	}
	wait(t, "the request", s.requests)
	f.cancelFirstAttempt(t, func() bool { return f.openRequests.Load() == 0 })
	_ = c.SetReadDeadline(time.Now().Add(testTimeout)) // fails only on a closed connection
	if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode < 500 {
		t.Errorf("answered %v, error %v, want a failure or a refusal", res, err)
	}
}

// A streamed answer that begins just as its attempt is cancelled is not passed on. As the cancellation has closed its
// connection, the client would see an answer that is cut short.
func TestCancelledStreamIsNoAnswer(t *testing.T) {
	begin := make(chan struct{})
	s := newStub(t, func(c net.Conn, r stubRequest) bool {
		<-begin
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nthe first bytes", 2*maxBufferedBody)
		_, _ = io.Copy(io.Discard, c) // until it is cancelled
		return false
	})
	f, side, serve := newTestFront(t, s.address, nil)
	serve()
	c := side.dial(t)
	if _, err := io.WriteString(c, requestHead("1", "Content-Length: 0")); err != nil {
		t.Fatal(err)
	}
	wait(t, "the request", s.requests)
	err := f.loop.postAndWait(context.Background(), func(time.Duration) {
		close(begin)
		for end := time.Now().Add(testTimeout); len(f.loop.events) == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
		for id := range f.loop.requests { // the event of the answer's beginning is queued after this one
			f.loop.Cancel(id, 0)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode < 500 {
		t.Errorf("answered %v, error %v, want a failure or a refusal", res, err)
	}
}
