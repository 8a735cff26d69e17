package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// dial opens a connection to the sidecar that the test writes to as it likes.
func (s *testSidecar) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return c
}

// head is a usable request of class entry as far as its framing, which follows.
func requestHead(id, framing string) string {
	return "POST /entry HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id +
		"\r\nX-Priority-Class: entry\r\nX-Tenant-Id: north\r\nX-Timeout: 20000m\r\n" + framing + "\r\n\r\n"
}

// A request that stands inside the body of another, by one of two ways to read that body, does not
// reach an upstream, and neither does the one around it.
func TestNothingInsideABodyIsServed(t *testing.T) {
	inside := requestHead("inside", "Content-Length: 0")
	length := fmt.Sprintf("Content-Length: %d", len("0\r\n\r\n")+len(inside))
	for name, framing := range map[string]string{
		"length, chunked":   length + "\r\nTransfer-Encoding: chunked",
		"chunked, length":   "transfer-encoding: chunked\r\ncontent-length: 5",
		"folded":            length + "\r\nTransfer-Encoding:\r\n chunked",
		"two lengths":       "Content-Length: 5\r\n" + length,
		"the same twice":    length + "\r\n" + length,
		"no length":         "Content-Length: 0x5",
		"length below zero": "Content-Length: -5",
		"two in one line":   "Content-Length: 5, 5",
		"length folded":     "Content-Length:\r\n 5",
		"blank line before": length + "\r\nTransfer-Encoding: chunked",
	} {
		t.Run(name, func(t *testing.T) {
			s := newStub(t, echo)
			side := startSidecar(t, nil, s.address)
			c := side.dial(t)
			// A good one first: a kept connection is checked as well.
			if _, err := io.WriteString(c, requestHead("good", "Content-Length: 2")+"hi"); err != nil {
				t.Fatal(err)
			}
			r := bufio.NewReader(c)
			res, err := http.ReadResponse(r, nil)
			if err != nil || res.StatusCode != http.StatusOK {
				t.Fatalf("a good request: %v, error %v", res, err)
			}
			if _, err := io.Copy(io.Discard, res.Body); err != nil {
				t.Fatal(err)
			}
			before := ""
			if name == "blank line before" { // which net/http passes over behind a POST
				before = "\r\n"
			}
			if _, err := io.WriteString(c, before+requestHead("around", framing)+"0\r\n\r\n"+inside); err != nil {
				t.Fatal(err)
			}
			answers, _ := io.ReadAll(r) // a reset behind the answer is as good as a close
			if !strings.HasPrefix(string(answers), "HTTP/1.1 400 ") || strings.Count(string(answers), "HTTP/1.1 ") != 1 {
				t.Errorf("answered %q, want one 400", answers)
			}
			if wait(t, "the good request", s.requests); len(s.requests) > 0 {
				t.Errorf("the upstream had %s too", (<-s.requests).Header.Get("X-Request-ID"))
			}
		})
	}
}

// Chunks alone are good framing. What comes behind them on the connection is not served, as it is
// not followed; the same goes for HTTP/1.0, to which chunks mean nothing.
func TestConnectionEndsBehindChunks(t *testing.T) {
	for name, c := range map[string]struct{ request, body string }{
		"chunked":         {requestHead("1", "Transfer-Encoding: chunked") + "2\r\nhi\r\n0\r\n\r\n", "hi"},
		"HTTP/1.0 chunks": {strings.Replace(requestHead("1", "Connection: keep-alive\r\nTransfer-Encoding: chunked"), "1.1", "1.0", 1), ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStub(t, echo)
			side := startSidecar(t, nil, s.address)
			conn := side.dial(t)
			if _, err := io.WriteString(conn, c.request+requestHead("2", "Content-Length: 0")); err != nil {
				t.Fatal(err)
			}
			answers, _ := io.ReadAll(conn)
			if strings.Count(string(answers), "HTTP/1.") != 1 || !strings.Contains(string(answers), "done 1") {
				t.Errorf("answered %q, want one 200", answers)
			}
			if got := wait(t, "the request", s.requests); got.body != c.body || len(s.requests) > 0 {
				t.Errorf("the upstream had %q and %d more requests, want %q alone", got.body, len(s.requests), c.body)
			}
		})
	}
}

// However the bytes come in, bodies pass for what they are: their text is no head.
func TestFramingFollowsBodies(t *testing.T) {
	body := "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	good := requestHead("1", fmt.Sprintf("Content-Length: %d", len(body))) + body
	good += strings.ReplaceAll(requestHead("2", "X-Long: "+strings.Repeat("x", 3*lineKept)+"\r\nContent-Length: 0"), "\r\n", "\n")
	bad := requestHead("3", "Content-Length: 1\r\nTransfer-Encoding: chunked")
	for _, size := range []int{1, 2, 3, 7, 50, 1 << 20} {
		var f framing
		passed, failed := 0, false
		for rest := []byte(good + bad); len(rest) > 0 && !failed; {
			part := rest[:min(size, len(rest))]
			n, err := f.advance(part)
			passed, failed, rest = passed+n, err != nil, rest[len(part):]
		}
		if end := len(good + bad); !failed || passed < len(good) || passed >= end {
			t.Errorf("in pieces of %d: failed %v after %d bytes, want behind %d and before %d", size, failed, passed, len(good), end)
		}
	}
}
