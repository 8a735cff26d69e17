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
	t.Cleanup(func() { accepted.Close() })
	return far, accepted.(*clientConn)
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
