package sidecar

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// acceptClient returns both ends of a connection, the near one as the front accepts it.
func acceptClient(t *testing.T) (far net.Conn, near *clientConn) {
	t.Helper()
	listener, err := listen(t.Context(), "127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	k := newClients(testConfig(t, listAnswer(1, "ready"), nil), listener, noUpstreamConns)
	t.Cleanup(func() { k.Close() })
	if far, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	accepted, err := k.Accept()
	if err != nil {
		t.Fatal(err)
	}
	near = accepted.(*clientConn)
	t.Cleanup(func() { near.Conn.Close() }) // without reading what is left
	return far, near
}

// sendAndRead writes text at the far end of a connection, waits until it has arrived, and reads the given number of bytes at
// the near end.
func sendAndRead(t *testing.T, far net.Conn, near *clientConn, text string, read int) {
	t.Helper()
	if _, err := io.WriteString(far, text); err != nil {
		t.Fatal(err)
	}
	waitUntilArrived(t, far)
	if _, err := io.ReadFull(near, make([]byte, read)); err != nil {
		t.Fatal(err)
	}
}

// hasArrived reports whether the last byte of the body is known to have arrived by now.
func (p *arrivalProbe) hasArrived() bool {
	_, arrived := p.arrivedAt(p.conn.clients.clock.now())
	return arrived
}

// The last byte of a body with a length is found wherever it lies, and not taken for there before it is.
func TestArrivalOfBodyWithLength(t *testing.T) {
	body := strings.Repeat("x", 1000)
	first, second := requestHead("1", "Content-Length: 2")+"hi", requestHead("2", fmt.Sprintf("Content-Length: %d", len(body)))
	for _, missing := range []int{0, 1, 2, 500, len(body)} {
		for _, read := range []int{1, 500, len(body) - 1, len(body)} {
			if read > len(body)-missing {
				continue
			}
			t.Run(fmt.Sprintf("%d missing, %d read", missing, read), func(t *testing.T) {
				far, near := acceptClient(t)
				sendAndRead(t, far, near, first+second+body[missing:], len(first+second)+read)
				for request, want := range map[uint64]bool{1: true, 2: missing == 0} {
					probe := &arrivalProbe{conn: near, request: request}
					if got := probe.hasArrived(); got != want {
						t.Errorf("request %d has arrived: %v, want %v", request, got, want)
					}
				}
			})
		}
	}
}

// What the client sends behind a body makes no difference to the body's arrival.
func TestArrivalBeforeNextRequest(t *testing.T) {
	far, near := acceptClient(t)
	first, second := requestHead("1", "Content-Length: 6")+"whole.", requestHead("2", "Content-Length: 6")+"par"
	sendAndRead(t, far, near, first+second, len(first)-2)
	probe := &arrivalProbe{conn: near, request: 1}
	if !probe.hasArrived() {
		t.Error("the first body is unread and not found")
	}
	sendAndRead(t, far, near, "", len(second)+1)
	if !probe.hasArrived() {
		t.Error("the first body has been read and is not found")
	}
	if next := (&arrivalProbe{conn: near, request: 2}); next.hasArrived() {
		t.Error("the second body is not there and was found")
	}
}

// chunkedEnds are ends of chunked bodies.
var chunkedEnds = map[string]string{
	"plain":             "0\r\n\r\n",
	"zeros, extension":  "000;last=1\r\n\r\n",
	"trailers":          "0\r\nX-Sum: 12ab\r\nX-Note: a: b\r\n\r\n",
	"trailer of 3000 B": "0\r\nX-Long: " + strings.Repeat("y", 3000) + "\r\n\r\n",
}

// The end of a chunked body is found wherever it lies, read or not, and not taken for there before it is.
func TestArrivalOfChunkedBody(t *testing.T) {
	head := requestHead("1", "Transfer-Encoding: chunked")
	data := "2710\r\n" + strings.Repeat("0\r\n\r\n", 2000) + "\r\n" // 10,000 bytes
	for name, end := range chunkedEnds {
		for _, missing := range []int{0, 1, 2, 3, 4, len(end)} {
			for _, unread := range []int{0, 1, 3, len(end), 5000, len(data)} {
				t.Run(fmt.Sprintf("%s, %d missing, %d unread", name, missing, unread), func(t *testing.T) {
					far, near := acceptClient(t)
					request := head + data + end
					request = request[:len(request)-missing]
					sendAndRead(t, far, near, request, len(request)-unread)
					probe := &arrivalProbe{conn: near, request: 1}
					if probe.hasArrived() {
						t.Error("found before it is clear that no more bytes come")
					}
					if got := probe.hasArrived(); got != (missing == 0) {
						t.Errorf("has arrived: %v, want %v", got, missing == 0)
					}
					if missing == 0 {
						return
					}
					sendAndRead(t, far, near, end[len(end)-missing:], 0)
					if probe.hasArrived(); !probe.hasArrived() {
						t.Error("not found once the rest has come")
					}
				})
			}
		}
	}
}
