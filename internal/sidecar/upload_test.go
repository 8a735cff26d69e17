package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// socketOption is an option of a socket, as for setsockopt.
type socketOption struct{ level, name, value int }

// smallestReceiveBuffer gives a socket the smallest receive buffer that the kernel allows.
var smallestReceiveBuffer = socketOption{syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1}

// listenWithOptions listens on the loopback interface with socket options.
func listenWithOptions(t *testing.T, options ...socketOption) net.Listener {
	t.Helper()
	set := func(_, _ string, c syscall.RawConn) (failed error) {
		err := c.Control(func(fd uintptr) {
			for _, o := range options {
				failed = errors.Join(failed, syscall.SetsockoptInt(int(fd), o.level, o.name, o.value))
			}
		})
		return errors.Join(err, failed)
	}
	l, err := (&net.ListenConfig{Control: set}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// startServer passes each connection of a listener to serve. It returns the listener's address.
func startServer(t *testing.T, l net.Listener, serve func(c net.Conn)) string {
	t.Helper()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// useSmallWriteBuffers gives connections to servers the smallest send buffer that the kernel allows.
func (u *transport) useSmallWriteBuffers() {
	dial := u.dial
	u.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err == nil {
			err = c.(*net.TCPConn).SetWriteBuffer(1)
		}
		return c, err
	}
}

// startSlowReader starts a server that calls read with each connection and answers nothing. It returns its address.
func startSlowReader(t *testing.T, read func(c net.Conn)) string {
	t.Helper()
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	return startServer(t, listenWithOptions(t, smallestReceiveBuffer), func(c net.Conn) {
		defer c.Close()
		read(c)
		<-ended
	})
}

// unacknowledgedBytes returns how many bytes that were written to c the other side's machine has not received.
func unacknowledgedBytes(c net.Conn) (n int, err error) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0, err
	}
	closed := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return n, errors.Join(closed, err)
}

// waitUntilArrived waits until the other side's machine has received everything that was written to c, read or not.
func waitUntilArrived(t *testing.T, c net.Conn) {
	t.Helper()
	eventually(t, "the request to arrive", func() bool {
		n, err := unacknowledgedBytes(c)
		return n == 0 && err == nil
	})
}

const (
	uploadTimeout = 600 * time.Millisecond
	// maxAnswerDelay is how long after its time a request may be answered at the latest: half a second, and 50 ms for sockets.
	maxAnswerDelay = 550 * time.Millisecond
	uploadLength   = maxBufferedBody + 40<<10 // fits into the client's socket and the buffers of the sidecar
)

// uploadHead returns the head of a request with a long body; framing are its headers that frame the body.
func uploadHead(framing string) string {
	return strings.Replace(requestHead("1", framing), "20000m", fmt.Sprintf("%dm", uploadTimeout.Milliseconds()), 1)
}

// startUploadSidecar starts a sidecar with one server, which reads as read does.
func startUploadSidecar(t *testing.T, mayCancel bool, read func(c net.Conn)) *testSidecar {
	t.Helper()
	f, sidecar, serve := newTestFront(t, startSlowReader(t, read), func(_, settings map[string]any) {
		settings["caps"].(map[string]any)["may_cancel"] = mayCancel
	})
	f.loop.upstream.useSmallWriteBuffers()
	serve()
	return sidecar
}

// checkAnsweredInTime checks that the request on c is answered as failed or refused when its time is over, which began at
// arrived.
func checkAnsweredInTime(t *testing.T, c net.Conn, arrived time.Time) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	took := time.Since(arrived)
	if err != nil || res.StatusCode != http.StatusServiceUnavailable && res.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("%+v, error %v, want 503 or 504", res, err)
	}
	if least, most := uploadTimeout-100*time.Millisecond, uploadTimeout+maxAnswerDelay; took < least || took > most {
		t.Errorf("answered %v after its last byte, want between %v and %v", took, least, most)
	}
}

// slowReads are servers that do not read a long body in time.
var slowReads = map[string]func(c net.Conn){
	"nothing":         func(net.Conn) {},
	"a part":          func(c net.Conn) { _, _ = io.CopyN(io.Discard, c, maxBufferedBody+5<<10) },
	"all but the end": func(c net.Conn) { _, _ = io.CopyN(io.Discard, c, uploadLength-12<<10) },
	"slowly": func(c net.Conn) {
		for piece := make([]byte, 1<<10); ; time.Sleep(20 * time.Millisecond) {
			if _, err := c.Read(piece); err != nil {
				return
			}
		}
	},
}

// Guards against a long request that has arrived whole and is answered seconds after its time, because its server does not
// read it (review, case 3).
func TestArrivedUploadIsAnsweredInTime(t *testing.T) {
	for name, read := range slowReads {
		for _, mayCancel := range []bool{true, false} {
			t.Run(fmt.Sprintf("the server reads %s, cancel %v", name, mayCancel), func(t *testing.T) {
				t.Parallel()
				c := startUploadSidecar(t, mayCancel, read).dial(t)
				request := uploadHead(fmt.Sprintf("Content-Length: %d", uploadLength)) + string(patternedBody(uploadLength))
				if _, err := io.WriteString(c, request); err != nil {
					t.Fatal(err)
				}
				waitUntilArrived(t, c)
				checkAnsweredInTime(t, c, time.Now())
			})
		}
	}
}

// Guards against the same for a body in chunks, whose length is not known before its last chunk has been read.
func TestArrivedChunkedUploadIsAnsweredInTime(t *testing.T) {
	for name, read := range slowReads {
		t.Run("the server reads "+name, func(t *testing.T) {
			t.Parallel()
			c := startUploadSidecar(t, true, read).dial(t)
			request := bytes.NewBufferString(uploadHead("Transfer-Encoding: chunked"))
			if err := writeChunked(request, patternedBody(uploadLength)); err != nil {
				t.Fatal(err)
			}
			if _, err := c.Write(request.Bytes()); err != nil {
				t.Fatal(err)
			}
			waitUntilArrived(t, c)
			checkAnsweredInTime(t, c, time.Now())
		})
	}
}

// The time of a long request begins with its last byte also while its server reads nothing: not before that byte, however
// long the client pauses, and not later. Earlier requests on the connection make no difference.
func TestUploadTimeBeginsWhileServerStalls(t *testing.T) {
	c := startUploadSidecar(t, true, slowReads["nothing"]).dial(t)
	r := bufio.NewReader(c)
	if _, err := io.WriteString(c, "GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if res, err := http.ReadResponse(r, nil); err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("%+v, error %v, want 200", res, err)
	}
	body := patternedBody(uploadLength)
	if _, err := io.WriteString(c, uploadHead(fmt.Sprintf("Content-Length: %d", uploadLength))+string(body[:uploadLength-1])); err != nil {
		t.Fatal(err)
	}
	const pause = uploadTimeout + maxAnswerDelay
	if err := c.SetReadDeadline(time.Now().Add(pause)); err != nil {
		t.Fatal(err)
	}
	if _, err := r.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("error %v, want no answer before the last byte", err)
	}
	if err := c.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(body[uploadLength-1:]); err != nil {
		t.Fatal(err)
	}
	waitUntilArrived(t, c)
	checkAnsweredInTime(t, c, time.Now())
}

// heldBody is the rest of a body that arrives when its client is told to go on.
type heldBody struct{ read, goOn chan struct{} }

// Read returns the end of the body once the client goes on.
func (b heldBody) Read([]byte) (int, error) {
	b.read <- struct{}{}
	<-b.goOn
	return 0, io.EOF
}

// Guards against an answer that is destroyed on its way, because an attempt that is cancelled at that moment interrupts the
// reading of the rest of the body.
func TestInterruptDoesNotEndDrain(t *testing.T) {
	var deadlines atomic.Int32 // set in the past
	body := heldBody{make(chan struct{}), make(chan struct{})}
	u := newUpload(&pacedBody{body: body, setReadDeadline: func(at time.Time) error {
		if !at.IsZero() && time.Until(at) < 0 {
			deadlines.Add(1)
		}
		return nil
	}})
	u.stop()
	before := deadlines.Load()
	drained := make(chan struct{})
	go func() {
		u.drain()
		close(drained)
	}()
	wait(t, "the read of the rest", body.read)
	u.interrupt()
	close(body.goOn)
	wait(t, "the end of the body", drained)
	if n := deadlines.Load() - before; n > 0 {
		t.Errorf("the read was interrupted %d times", n)
	}
}

// Guards against a long request that is answered seconds after its time because its end waits in the client's own socket:
// its server reads slowly, so the sidecar reads no more, and nothing that has arrived shows that all has been written.
func TestUploadWaitingInClientSocketIsAnsweredInTime(t *testing.T) {
	const length = 3 << 20 // more than the receive buffer of the sidecar's socket takes while nothing is read, less than a send buffer
	for _, framing := range []string{fmt.Sprintf("Content-Length: %d", length), "Transfer-Encoding: chunked"} {
		for _, name := range []string{"nothing", "slowly"} {
			t.Run(fmt.Sprintf("%s, the server reads %s", framing, name), func(t *testing.T) {
				t.Parallel()
				c := startUploadSidecar(t, true, slowReads[name]).dial(t)
				request := bytes.NewBufferString(uploadHead(framing))
				if strings.HasPrefix(framing, "Content-Length") {
					request.Write(patternedBody(length))
				} else if err := writeChunked(request, patternedBody(length)); err != nil {
					t.Fatal(err)
				}
				if _, err := c.Write(request.Bytes()); err != nil {
					t.Fatal(err)
				}
				checkAnsweredInTime(t, c, time.Now())
			})
		}
	}
}
