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
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// patternedBody returns a body of n bytes in a pattern that shows lost or moved bytes.
func patternedBody(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i>>8 ^ i*7)
	}
	return b
}

// writeChunked writes a body in chunks whose size divides neither the body nor a buffer.
func writeChunked(w io.Writer, body []byte) error {
	for len(body) > 0 {
		n := min(len(body), 4999)
		if _, err := fmt.Fprintf(w, "%x;extension=1\r\n%s\r\n", n, body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	_, err := io.WriteString(w, "0\r\nX-Trailer: t\r\n\r\n")
	return err
}

// Bodies much longer than what is buffered of them pass unchanged in both directions, in every framing.
func TestLongBodies(t *testing.T) {
	body := patternedBody(3 << 20)
	for name, answer := range map[string]func(c net.Conn, b string) error{
		"by length": func(c net.Conn, b string) error {
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
			return err
		},
		"in chunks": func(c net.Conn, b string) error {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Trailer\r\n\r\n")
			return writeChunked(c, []byte(b))
		},
		"to the end": func(c net.Conn, b string) error {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+b)
			return errors.New("ends the connection")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStub(t, func(c net.Conn, r stubRequest) bool { return answer(c, r.body) == nil })
			sidecar := startSidecar(t, nil, s.address)
			if res, got := sendRequest(t, sidecar.newRequest(t, "POST", "/entry", string(body))); res.StatusCode != 200 || got != string(body) {
				t.Errorf("by length: %s with %d bytes, want the %d sent", res.Status, len(got), len(body))
			}
			c := sidecar.dial(t)
			if _, err := io.WriteString(c, requestHead("1", "Transfer-Encoding: chunked\r\nExpect: 100-continue")); err != nil {
				t.Fatal(err)
			}
			r := bufio.NewReader(c)
			if res, err := http.ReadResponse(r, nil); err != nil || res.StatusCode != http.StatusContinue {
				t.Fatalf("before the body: %+v, error %v, want 100", res, err)
			}
			if err := writeChunked(c, body); err != nil {
				t.Fatal(err)
			}
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := io.ReadAll(res.Body); err != nil || !bytes.Equal(got, body) {
				t.Errorf("in chunks: %s with %d bytes, error %v, want the %d sent", res.Status, len(got), err, len(body))
			}
			sidecar.waitForStats(t, map[string]string{"downstream_requests.entry.completed": "2", "pending": "0"})
		})
	}
}

// A long answer reaches its client as it arrives, and one that its server does not finish is visibly incomplete.
func TestLongAnswersAreStreamed(t *testing.T) {
	for name, c := range map[string]struct{ head, first, rest string }{
		"by length": {"Content-Length: 100000", "first", strings.Repeat("x", 100000-5)},
		"in chunks": {"Transfer-Encoding: chunked", "5\r\nfirst\r\n", "4\r\nrest\r\n0\r\n\r\n"},
	} {
		for _, whole := range []bool{true, false} {
			t.Run(fmt.Sprint(name, " whole ", whole), func(t *testing.T) {
				t.Parallel()
				firstPartRead := make(chan struct{})
				s := newStub(t, func(conn net.Conn, r stubRequest) bool {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n\r\n%s", c.head, c.first)
					<-firstPartRead
					_, err := io.WriteString(conn, c.rest[:len(c.rest)-1])
					if whole && err == nil {
						_, err = io.WriteString(conn, c.rest[len(c.rest)-1:])
						return err == nil
					}
					return false
				})
				// The deadline passes during the answer, which does not end it.
				sidecar := startSidecar(t, nil, s.address)
				res, err := http.DefaultClient.Do(sidecar.newRequest(t, "POST", "/entry", "1"))
				if err != nil {
					t.Fatal(err)
				}
				defer res.Body.Close()
				first := make([]byte, 5)
				if _, err := io.ReadFull(res.Body, first); err != nil || string(first) != "first" {
					t.Fatalf("%q, error %v", first, err)
				}
				sidecar.waitForStats(t, map[string]string{"pending": "1"})
				close(firstPartRead)
				if _, err := io.ReadAll(res.Body); (err == nil) != whole {
					t.Errorf("the answer ends with %v", err)
				}
				outcome := map[bool]string{true: "completed", false: "failed"}[whole]
				sidecar.waitForStats(t, map[string]string{"downstream_requests.entry." + outcome: "1", "pending": "0"})
			})
		}
	}
}

// trickle writes pieces of an answer's body without end, until the connection breaks.
func trickle(c net.Conn, piece string, interval time.Duration) {
	for {
		if _, err := io.WriteString(c, piece); err != nil {
			return
		}
		time.Sleep(interval)
	}
}

// Guards against answers that trickle without end and hold their clients for ever: the client's connection ends, visibly
// before the answer does, half a second after the request's time at the latest.
func TestTricklingAnswerIsCutOff(t *testing.T) {
	const timeout, longest = 500 * time.Millisecond, 1100 * time.Millisecond // as the pages have it, and 0.1 s for this machine
	for name, c := range map[string]struct{ head, piece string }{
		"in chunks":    {"Transfer-Encoding: chunked\r\n", "10\r\n0123456789abcdef\r\n"},
		"to the end":   {"", "0123456789abcdef"},
		"1,000 a time": {"", strings.Repeat("x", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{})
			s := newStub(t, func(conn net.Conn, r stubRequest) bool {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n", c.head)
				trickle(conn, c.piece, 50*time.Millisecond)
				close(ended)
				return false
			})
			sidecar := startSidecar(t, nil, s.address)
			conn := sidecar.dial(t)
			head := strings.Replace(requestHead("1", "Content-Length: 0"), "X-Timeout: 20000m", fmt.Sprintf("X-Timeout: %dm", timeout.Milliseconds()), 1)
			if _, err := io.WriteString(conn, head); err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(res.Body)
			if took := time.Since(start); err == nil || took > longest || len(body) == 0 {
				t.Errorf("the answer ended after %v with error %v and %d bytes, want an error within %v, behind some bytes", took, err, len(body), longest)
			}
			wait(t, "the end at its server", ended)
			sidecar.waitForStats(t, map[string]string{"downstream_requests.entry.failed": "1", "pending": "0"})
		})
	}
}

// Guards against broken answers that pass for whole: HTTP/1.0 has no chunks, so the close of the connection would end an answer
// of unknown length, and only a reset tells that the answer is broken.
func TestBrokenAnswerIsResetForHTTP10(t *testing.T) {
	for name, c := range map[string]struct {
		rest  string // of the answer, in chunks
		whole bool
	}{
		"broken": {"5\r\nhal", false},
		"whole":  {"0\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			firstPartRead := make(chan struct{})
			s := newStub(t, func(conn net.Conn, r stubRequest) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
				<-firstPartRead
				_, _ = io.WriteString(conn, c.rest)
				return false
			})
			conn := startSidecar(t, nil, s.address).dial(t)
			if _, err := io.WriteString(conn, strings.Replace(requestHead("1", "Content-Length: 0"), "HTTP/1.1", "HTTP/1.0", 1)); err != nil {
				t.Fatal(err)
			}
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(res.Body, make([]byte, len("first"))); err != nil {
				t.Fatal(err)
			}
			close(firstPartRead)
			if rest, err := io.ReadAll(res.Body); (err == nil) != c.whole {
				t.Errorf("after the first part: %q, error %v, want an end without error: %v", rest, err, c.whole)
			}
		})
	}
}

// A client that leaves during a long answer ends the answer at its server too, even one without an end.
func TestClientLeavesDuringStream(t *testing.T) {
	ended := make(chan struct{})
	s := newStub(t, func(c net.Conn, r stubRequest) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		for err == nil {
			_, err = c.Write(patternedBody(10000))
		}
		close(ended)
		return false
	})
	sidecar := startSidecar(t, nil, s.address)
	c := sidecar.dial(t)
	if _, err := io.WriteString(c, requestHead("1", "Content-Length: 0")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 1<<20)); err != nil {
		t.Fatal(err)
	}
	c.Close()
	wait(t, "the end at its server", ended)
	sidecar.waitForStats(t, map[string]string{"pending": "0"})
}

// A body of which a part has been read is sent once; a request none of which has been read is sent to the next server.
func TestLongBodyIsNotSentTwice(t *testing.T) {
	var reached atomic.Int32
	startBreakingServer := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				reached.Add(1)
				_, _ = io.ReadFull(c, make([]byte, 200<<10))
				c.Close()
			}
		}()
		return l.Addr().String()
	}
	sidecar := startSidecar(t, nil, startBreakingServer(), startBreakingServer())
	body := string(patternedBody(8 << 20))
	res, _ := sendRequest(t, sidecar.newRequest(t, "POST", "/entry", body))
	if res.StatusCode != http.StatusServiceUnavailable || reached.Load() != 1 {
		t.Errorf("%s after %d attempts, want 503 after one, as the request was never written completely", res.Status, reached.Load())
	}

	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing.Close()
	s := newStub(t, func(c net.Conn, r stubRequest) bool { return ok(c, fmt.Sprint(len(r.body))) })
	sidecar = startSidecar(t, nil, refusing.Addr().String(), s.address)
	for range 4 { // enough for the round robin to reach both servers
		if res, got := sendRequest(t, sidecar.newRequest(t, "POST", "/entry", body)); res.StatusCode != 200 || got != fmt.Sprint(len(body)) {
			t.Errorf("%s %q, want 200 and %d", res.Status, got, len(body))
		}
	}
}

// A request that is refused while its body still arrives gets its complete answer at once.
func TestRefusedDuringUpload(t *testing.T) {
	sidecar := startSidecar(t, func(_, settings map[string]any) {
		settings["caps"].(map[string]any)["max_open"] = 1.0
	}, newStub(t, neverAnswer).address)
	c, first := sidecar.dial(t), sidecar.dial(t)
	if _, err := io.WriteString(first, requestHead("1", "Content-Length: 0")); err != nil {
		t.Fatal(err)
	}
	sidecar.waitForStats(t, map[string]string{"pending": "1"})
	body := patternedBody(1 << 20)
	if _, err := io.WriteString(c, requestHead("2", fmt.Sprintf("Content-Length: %d", len(body)))+string(body[:maxBufferedBody])); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, nil)
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.ContentLength != 0 || !res.Close {
		t.Fatalf("%+v, error %v, want a complete 503 and a close", res, err)
	}
	if _, err := c.Write(body[maxBufferedBody:]); err != nil { // the client may not have received the answer yet
		t.Fatal(err)
	}
	if more, err := io.ReadAll(r); err != nil || len(more) > 0 {
		t.Errorf("after the answer: %q, error %v, want a close", more, err)
	}
}

// A client's deadline counts from the last byte of its request, even if that arrives late.
func TestTimeBeginsWithTheLastByte(t *testing.T) {
	for name, size := range map[string]int{"buffered": 100, "upload": 200 << 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStub(t, func(c net.Conn, r stubRequest) bool { return ok(c, fmt.Sprint(len(r.body))) })
			sidecar := startSidecar(t, nil, s.address)
			c := sidecar.dial(t)
			first := strings.Replace(requestHead("1", fmt.Sprintf("Content-Length: %d", size)), "X-Timeout: 20000m", "X-Timeout: 1300m", 1)
			if !strings.Contains(first, "1300m") {
				t.Fatalf("head %q", first)
			}
			body := patternedBody(size)
			if _, err := io.WriteString(c, first+string(body[:size-1])); err != nil {
				t.Fatal(err)
			}
			time.Sleep(1500 * time.Millisecond) // longer than X-Timeout, and shorter than bodyStallTimeout
			if _, err := c.Write(body[size-1:]); err != nil {
				t.Fatal(err)
			}
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || res.StatusCode != http.StatusOK {
				t.Errorf("%+v, error %v, want 200", res, err)
			}
		})
	}
}

// A slow client is distinguished from a stalled one by how much has arrived, not by how long it takes.
func TestBodyReadDeadline(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		p    pacedBody
		want time.Duration
	}{
		"at first":                         {pacedBody{}, bodyStallTimeout},
		"after a head of 2 s":              {pacedBody{clientTime: 2 * time.Second}, 700 * time.Millisecond},
		"64 kB a second for 30 s":          {pacedBody{clientTime: 30 * time.Second, bytesRead: 30 * 64 << 10}, bodyStallTimeout},
		"a byte a second":                  {pacedBody{clientTime: 2600 * time.Millisecond, bytesRead: 3}, 100 * time.Millisecond},
		"much at once, then nothing":       {pacedBody{bytesRead: 20 << 20}, bodyStallTimeout},
		"half a body, then a byte a while": {pacedBody{clientTime: 4 * time.Second, bytesRead: 40 << 10}, -466 * time.Millisecond},
	} {
		if got := c.p.readDeadline(now).Sub(now); got < c.want-time.Millisecond || got > c.want+time.Millisecond {
			t.Errorf("%s: the next byte is due in %v, want %v", name, got, c.want)
		}
	}
}

// After many connections that were cut at arbitrary points no goroutine, descriptor or request remains.
func TestAbortedConnectionsLeaveNothing(t *testing.T) {
	s := newStub(t, func(c net.Conn, r stubRequest) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n%s", patternedBody(300000))
		return err == nil
	})
	sidecar := startSidecar(t, nil, s.address)
	descriptors := func() int {
		all, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Skip(err)
		}
		return len(all)
	}
	sendRequest(t, sidecar.newRequest(t, "POST", "/entry", "1"))
	goroutines, files := runtime.NumGoroutine(), descriptors()
	whole := requestHead("1", "Content-Length: 200000") + string(patternedBody(200000))
	for i := range 60 {
		c := sidecar.dial(t)
		part := whole
		if i%2 == 0 {
			part = whole[:len(whole)*(i+1)/61]
		}
		if _, err := io.WriteString(c, part); err != nil {
			t.Fatal(err)
		}
		if i%2 == 1 { // cut during the answer or before it
			_, _ = io.CopyN(io.Discard, c, int64(i/4*10000))
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	const slack = 12 // idle connections to the server, timers
	for end := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		g, f := runtime.NumGoroutine(), descriptors()
		if g <= goroutines+slack && f <= files+slack {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d goroutines and %d descriptors, %d and %d before", g, f, goroutines, files)
		}
	}
	sidecar.waitForStats(t, map[string]string{"pending": "0"})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for status := 0; status != http.StatusOK; {
		res, err := http.DefaultClient.Do(sidecar.newRequest(t, "POST", "/entry", "1").WithContext(ctx))
		if err != nil {
			t.Fatalf("error %v, want 200", err)
		}
		res.Body.Close()
		// Admission depends on recent endings and may refuse some requests for a while; any other status is an error.
		if status = res.StatusCode; status != http.StatusOK && status != http.StatusServiceUnavailable {
			t.Fatalf("%+v, want 200", res)
		}
	}
}

// A refusal that is due on the connection of a broken answer is not written behind it, and its reservation is released.
func TestBrokenAnswerIsNotFollowedByRefusal(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	l := &clients{}
	if !l.reserveRefusal() {
		t.Fatal("no refusal left")
	}
	k := &clientConn{Conn: near, clients: l, closeWithRefusal: true, answerBroken: true}
	closed := make(chan error, 1)
	go func() { closed <- k.Close() }()
	if text, err := io.ReadAll(far); err != nil || len(text) > 0 {
		t.Errorf("read %q, error %v, want a close", text, err)
	}
	if err := wait(t, "the close", closed); err != nil || l.pendingRefusals.Load() != 0 {
		t.Errorf("closed with %v, %d refusals reserved, want none", err, l.pendingRefusals.Load())
	}
}

// writeAnswerHead writes the head of an answer of a number of bytes in a framing.
func writeAnswerHead(c net.Conn, framing string, bytes int) error {
	head := map[string]string{
		"length": fmt.Sprintf("Content-Length: %d", bytes), "chunked": "Transfer-Encoding: chunked", "close": "Connection: close",
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n", head[framing])
	return err
}

// writePaced writes a body of a number of bytes in pieces, with a pause behind each.
func writePaced(c net.Conn, framing string, bytes, piece int, pause time.Duration) error {
	for left := bytes; left > 0; left -= piece {
		text := strings.Repeat("x", min(left, piece))
		if framing == "chunked" {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(c, text); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	if framing == "chunked" {
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err
	}
	return nil
}

// Guards against long answers that are cut off although their servers go on: the head came in time, and the body begins
// after the time of the attempt, or after that of the client.
func TestLongAnswerWithLateBodyIsNotCutOff(t *testing.T) {
	const bytes, piece, pause = 200_000, 10_000, 50 * time.Millisecond
	const aim, deadline = 200 * time.Millisecond, 800 * time.Millisecond
	for _, framing := range []string{"length", "chunked", "close"} {
		for _, bodyDelay := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond, 900 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, body after %v", framing, bodyDelay), func(t *testing.T) {
				t.Parallel()
				s := newStub(t, func(c net.Conn, _ stubRequest) bool {
					if writeAnswerHead(c, framing, bytes) != nil {
						return false
					}
					time.Sleep(bodyDelay)
					return writePaced(c, framing, bytes, piece, pause) == nil && framing != "close"
				})
				sidecar := startSidecar(t, func(_, settings map[string]any) {
					reading := settings["classes"].([]any)[0].(map[string]any)
					reading["aim_ms"], reading["hard_limit_ms"] = float64(aim.Milliseconds()), float64(deadline.Milliseconds())
				}, s.address)
				timeout := fmt.Sprintf("%dm", deadline.Milliseconds())
				res, body := sendRequest(t, sidecar.newRequest(t, "POST", "/reading", "b", "Idempotency-Key", "k", "X-Timeout", timeout))
				if res.StatusCode != http.StatusOK || len(body) != bytes {
					t.Errorf("%s with %d bytes, want 200 with %d", res.Status, len(body), bytes)
				}
			})
		}
	}
}
