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

// crossing bounds how long a crossing is held open, so that the other side may run into it.
const crossing = 300 * time.Millisecond

// callOff calls a request's first attempt off, and holds the loop until happened or crossing is over.
func (f *front) callOff(t *testing.T, happened func() bool) {
	t.Helper()
	err := f.loop.postAndWait(context.Background(), func(time.Duration) {
		for id := range f.loop.requests {
			f.loop.Cancel(id, 0)
		}
		for end := time.Now().Add(crossing); !happened() && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// A request whose body has gone out whole keeps its final answer as its attempt is called off: that interrupted the reads of
// its connection, which was taken for its client's leaving.
func TestCalledOffUploadIsAnswered(t *testing.T) {
	s := newStub(t, func(net.Conn, stubRequest) bool { select {} })
	f, side, serve := newTestFront(t, s.address, nil)
	serve()
	c := side.dial(t)
	body := string(patternedBody(maxBufferedBody + 4<<10))
	if _, err := io.WriteString(c, requestHead("1", fmt.Sprintf("Content-Length: %d", len(body)))+body); err != nil {
		t.Fatal(err)
	}
	wait(t, "the request", s.requests)
	f.callOff(t, func() bool { return f.openRequests.Load() == 0 })
	_ = c.SetReadDeadline(time.Now().Add(testTimeout)) // fails only on a closed one
	if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode < 500 {
		t.Errorf("it was answered %v, error %v, want a failure or a refusal", res, err)
	}
}

// An answer that begins as its attempt is called off is no answer: its connection is closed, so that the client saw it break off.
func TestCalledOffStreamIsNoAnswer(t *testing.T) {
	begin := make(chan struct{})
	s := newStub(t, func(c net.Conn, r stubRequest) bool {
		<-begin
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nthe first bytes", 2*maxBufferedBody)
		_, _ = io.Copy(io.Discard, c) // until it is called off
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
		for id := range f.loop.requests { // the answer's beginning waits behind this
			f.loop.Cancel(id, 0)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode < 500 {
		t.Errorf("it was answered %v, error %v, want a failure or a refusal", res, err)
	}
}
