package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// acceptPartial connects to a listener, sends text, and reads a number of bytes of it at the accepted connection.
func acceptPartial(t *testing.T, l *clients, text string, read int) *clientConn {
	t.Helper()
	far := dialTCP(t, l.Addr().String())
	t.Cleanup(func() { far.Close() })
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	if _, err := io.WriteString(far, text); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(near, make([]byte, read)); err != nil {
		t.Fatal(err)
	}
	return near.(*clientConn)
}

// Guards against a search for a connection to close that never ends, with the lock of all connections held: connections whose
// partial request has unread bytes stay open, and the search goes on to the next one.
func TestSheddingPassesOverUnreadBytes(t *testing.T) {
	listener, err := listen(context.Background(), "127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	l := newClients(testConfig(t, listAnswer(1, "ready"), nil), listener, noUpstreamConns)
	defer l.Close()
	const head = "POST /entry HTTP/1.1\r\n"
	first := acceptPartial(t, l, head, 4)
	second := acceptPartial(t, l, head, 4)
	read := acceptPartial(t, l, head, len(head))
	open := func(c *clientConn) bool { _, listed := l.conns[c]; return listed }
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.shedOne(closedShedPartial) || open(read) || !open(first) || !open(second) {
		t.Fatal("want the one connection closed that has no unread bytes")
	}
	if l.shedOne(closedShedPartial) {
		t.Fatal("a connection with unread bytes was closed")
	}
	if _, err := io.ReadFull(second, make([]byte, len(head)-4)); err != nil {
		t.Fatal(err)
	}
	if !l.shedOne(closedShedPartial) || open(second) || !open(first) {
		t.Fatal("want the connection closed whose bytes have been read since")
	}
}

// crowdKinds are what the connections of a crowd send, by name. pause is the time between two pieces.
var crowdKinds = map[string]struct {
	pieces []string
	pause  time.Duration
}{
	"idle":                    {},
	"half a head":             {pieces: []string{requestHead("half", "Content-Length: 49152")[:60]}},
	"half a body":             {pieces: []string{requestHead("half", "Content-Length: 49152"), strings.Repeat("b", 24<<10)}},
	"half a body, one write":  {pieces: []string{requestHead("half", "Content-Length: 49152") + strings.Repeat("b", 24<<10)}},
	"half a body, in chunks":  {pieces: []string{requestHead("half", "Transfer-Encoding: chunked"), "6000\r\n" + strings.Repeat("b", 12<<10)}},
	"a head piece by piece":   {pieces: strings.SplitAfter(requestHead("half", "Content-Length: 0"), "\r\n")[:5], pause: 20 * time.Millisecond},
	"a body piece by piece":   {pieces: append([]string{requestHead("half", "Content-Length: 49152")}, strings.SplitAfter(strings.Repeat("b\n", 40), "\n")...), pause: 10 * time.Millisecond},
	"idle behind a request":   {pieces: []string{"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n"}},
	"partial behind requests": {pieces: []string{"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\nPOST /ent", "ry HTTP/1.1\r\n"}},
}

const (
	crowdStay     = time.Second            // how long a connection of a crowd stays
	crowdInterval = 500 * time.Millisecond // between two crowds
	crowdCount    = 3
	crowdTimeout  = 500 * time.Millisecond // of the requests beside the crowds
	answerSlack   = 600 * time.Millisecond // behind a request's time, in which its final answer must come: 0.5 s as the pages have it, and 0.1 s for this machine
)

// sendCrowds opens crowds of connections of a kind, and returns once the last of them has gone.
func (s *testSidecar) sendCrowds(size int, pieces []string, pause time.Duration) {
	var all sync.WaitGroup
	for range crowdCount {
		for range size {
			all.Go(func() {
				c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
				if err != nil {
					return // it may be refused
				}
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(crowdStay)) // fails only on a closed connection
				for _, piece := range pieces {
					if _, err := io.WriteString(c, piece); err != nil {
						return // the sidecar may have closed it
					}
					time.Sleep(pause)
				}
				_, _ = io.Copy(io.Discard, c) // until the sidecar closes it, or until its deadline
			})
		}
		time.Sleep(crowdInterval)
	}
	all.Wait()
}

// steadyClient sends one request after another on one connection, and opens another when that has been closed.
type steadyClient struct {
	s                        *testSidecar
	conn                     net.Conn
	in                       *bufio.Reader
	answered, served, unread int // requests that were answered, of these with 200, and requests whose connection was closed with no answer
}

// request sends a request. It returns an error if the request has neither an answer nor a close in time.
func (c *steadyClient) request(t *testing.T, id string) error {
	if c.conn == nil {
		c.conn = c.s.dial(t)
		c.in = bufio.NewReader(c.conn)
	}
	head := strings.Replace(requestHead(id, "Content-Length: 2"), "20000m", fmt.Sprintf("%dm", crowdTimeout.Milliseconds()), 1)
	_ = c.conn.SetDeadline(time.Now().Add(crowdTimeout + answerSlack)) // fails only on a closed connection
	_, err := io.WriteString(c.conn, head+"hi")
	var res *http.Response
	if err == nil {
		res, err = http.ReadResponse(c.in, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%s, written whole, has no final answer %v behind its time", id, answerSlack)
	}
	if err != nil {
		c.unread++
	} else {
		c.answered++
		if res.StatusCode == http.StatusOK {
			c.served++
		}
	}
	if err != nil || res.Close {
		c.conn.Close()
		c.conn = nil
	}
	return nil
}

// Guards against crowds that stop the process: whatever the connections of a crowd send, and however many there are, each
// request beside them has its final answer, and behind them the process serves on.
func TestCrowdsDoNotStopService(t *testing.T) {
	for name := range crowdKinds {
		t.Run(name, func(t *testing.T) { checkServiceBesideCrowds(t, name, 256) })
	}
	t.Run("half a body 1024", func(t *testing.T) { checkServiceBesideCrowds(t, "half a body", 1024) })
}

// checkServiceBesideCrowds plays crowds of a kind, each half as large again as the number of descriptors, beside a client.
func checkServiceBesideCrowds(t *testing.T, kind string, descriptors int) {
	s := newStub(t, echo)
	sidecar := startSidecar(t, func(file, settings map[string]any) {
		file["limits"].(map[string]any)["sockets"] = float64(descriptors)
		entry := settings["classes"].([]any)[1].(map[string]any)
		entry["aim_ms"], entry["hard_limit_ms"] = 150.0, float64(crowdTimeout.Milliseconds())
	}, s.address)
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		sidecar.sendCrowds(descriptors*3/2, crowdKinds[kind].pieces, crowdKinds[kind].pause)
	}()
	c := &steadyClient{s: sidecar}
	for n, over := 0, false; !over; n++ {
		if err := c.request(t, fmt.Sprint("steady-", n)); err != nil {
			t.Fatal(err)
		}
		select {
		case <-gone:
			over = true
		case <-time.After(20 * time.Millisecond):
		}
	}
	if c.served == 0 {
		t.Errorf("no request was served, %d were answered, %d connections were closed with no answer", c.answered, c.unread)
	}
	if res, body := sendRequest(t, sidecar.newRequest(t, "POST", "/entry", "1", "X-Request-ID", "behind")); res.StatusCode != http.StatusOK || body != "done behind" {
		t.Errorf("behind the crowds: %s %q, want 200", res.Status, body)
	}
	t.Logf("%d requests answered, %d of them served, %d connections closed with no answer", c.answered, c.served, c.unread)
}

// BenchmarkShedding adds a connection to a full table of partial requests, for which another one is closed.
func BenchmarkShedding(b *testing.B) {
	for _, connections := range []int{256, 1024} {
		b.Run(fmt.Sprint(connections), func(b *testing.B) {
			l := &clients{clock: newClock(), upstreams: noUpstreamConns, countClose: func(closeReason) {}, conns: make(map[*clientConn]struct{}), clientShare: connections, maxTotal: connections}
			l.pendingRefusals.Store(maxPendingRefusals) // each is closed without a refusal
			for range connections + b.N {
				c := &clientConn{Conn: closedConn{}, requestBegun: true}
				_, _ = c.framing.advance([]byte("POST")) // a valid beginning of a request
				if len(l.conns) == connections {
					b.StartTimer()
				}
				if !l.add(c) {
					b.Fatal("no room")
				}
				b.StopTimer()
			}
		})
	}
}

// closedConn is a connection that does nothing.
type closedConn struct{ net.Conn }

func (closedConn) Close() error { return nil }
