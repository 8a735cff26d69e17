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

// dial opens a raw connection to the sidecar.
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

// requestHead returns the head of a valid request of class entry; framing are its headers that frame the body.
func requestHead(id, framing string) string {
	return "POST /entry HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id +
		"\r\nX-Priority-Class: entry\r\nX-Tenant-Id: north\r\nX-Timeout: 20000m\r\n" + framing + "\r\n\r\n"
}

// If a request's body can be read in two ways, and contains another request by one of them, neither request reaches an
// upstream.
func TestNoRequestSmuggling(t *testing.T) {
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
			// A valid request first: a connection in use is checked as well.
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
			if name == "blank line before" { // which net/http skips after a POST
				before = "\r\n"
			}
			if _, err := io.WriteString(c, before+requestHead("around", framing)+"0\r\n\r\n"+inside); err != nil {
				t.Fatal(err)
			}
			answers, _ := io.ReadAll(r) // a reset after the answer counts as a close
			if !strings.HasPrefix(string(answers), "HTTP/1.1 400 ") || strings.Count(string(answers), "HTTP/1.1 ") != 1 {
				t.Errorf("answered %q, want one 400", answers)
			}
			if wait(t, "the good request", s.requests); len(s.requests) > 0 {
				t.Errorf("the upstream received %s too", (<-s.requests).Header.Get("X-Request-ID"))
			}
		})
	}
}

// A body that is only chunked is valid. What follows it on the connection is not served, as its framing is not tracked.
func TestConnectionClosesAfterChunkedRequest(t *testing.T) {
	s := newStub(t, echo)
	side := startSidecar(t, nil, s.address)
	conn := side.dial(t)
	chunked := requestHead("1", "Transfer-Encoding: chunked") + "2\r\nhi\r\n0\r\n\r\n"
	if _, err := io.WriteString(conn, chunked+requestHead("2", "Content-Length: 0")); err != nil {
		t.Fatal(err)
	}
	answers, _ := io.ReadAll(conn)
	if strings.Count(string(answers), "HTTP/1.") != 1 || !strings.Contains(string(answers), "done 1") {
		t.Errorf("answered %q, want one 200", answers)
	}
	if got := wait(t, "the request", s.requests); got.body != "hi" || len(s.requests) > 0 {
		t.Errorf("the upstream received %q and %d more requests, want hi alone", got.body, len(s.requests))
	}
}

// requestsByFraming are the version of a request, the headers that frame its body, and what follows its head. served is false
// if these leave open which bytes are the body; else it is "hi".
var requestsByFraming = map[string]struct {
	version, framing, rest string
	served                 bool
}{
	"1.1, length":                     {"HTTP/1.1", "Content-Length: 2", "hi", true},
	"1.1, chunked":                    {"HTTP/1.1", "Transfer-Encoding: chunked", "2\r\nhi\r\n0\r\n\r\n", true},
	"1.1, Chunked":                    {"HTTP/1.1", "transfer-encoding:\tChunked", "2\r\nhi\r\n0\r\n\r\n", true},
	"1.2, chunked":                    {"HTTP/1.2", "Transfer-Encoding: chunked", "2\r\nhi\r\n0\r\n\r\n", true},
	"1.0, length":                     {"HTTP/1.0", "Content-Length: 2", "hi", true},
	"1.0, length, to be kept":         {"HTTP/1.0", "Connection: keep-alive\r\nContent-Length: 2", "hi", true},
	"1.0, chunked":                    {"HTTP/1.0", "Transfer-Encoding: chunked", "2\r\nhi\r\n0\r\n\r\n", false},
	"1.0, chunked, lower case":        {"HTTP/1.0", "transfer-encoding: chunked", "2\r\nhi\r\n0\r\n\r\n", false},
	"1.0, chunked, to be kept":        {"HTTP/1.0", "Connection: keep-alive\r\nTransfer-Encoding: chunked", "2\r\nhi\r\n0\r\n\r\n", false},
	"1.0, chunked, nothing follows":   {"HTTP/1.0", "Connection: keep-alive\r\nTransfer-Encoding: chunked", "", false},
	"1.0, gzip":                       {"HTTP/1.0", "Transfer-Encoding: gzip", "hi", false},
	"1.0, chunked, with a length":     {"HTTP/1.0", "Content-Length: 2\r\nTransfer-Encoding: chunked", "hi", false},
	"1.0, chunked in two lines":       {"HTTP/1.0", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "2\r\nhi\r\n0\r\n\r\n", false},
	"0.9, chunked":                    {"HTTP/0.9", "Transfer-Encoding: chunked", "2\r\nhi\r\n0\r\n\r\n", false},
	"2.0, chunked":                    {"HTTP/2.0", "Transfer-Encoding: chunked", "2\r\nhi\r\n0\r\n\r\n", false},
	"no version, chunked":             {"", "Transfer-Encoding: chunked", "2\r\nhi\r\n0\r\n\r\n", false},
	"1.1, chunked, blank in the name": {"HTTP/1.1", "Transfer-Encoding : chunked", "2\r\nhi\r\n0\r\n\r\n", false},
	"1.1, length, blank in the name":  {"HTTP/1.1", "Content-Length : 2", "hi", false},
	"1.1, gzip and chunked":           {"HTTP/1.1", "Transfer-Encoding: gzip, chunked", "2\r\nhi\r\n0\r\n\r\n", false},
}

// Guards against requests that run at a server with another body than the one that was sent, or with none: what leaves open
// which bytes are its body gets an error or a close, and no server receives it or what follows it. The path is short, or longer than what is kept
// of a line.
func TestRequestFraming(t *testing.T) {
	for name, c := range requestsByFraming {
		for _, path := range []string{"/entry", "/entry/" + strings.Repeat("x", 3*maxLineKept)} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				s := newStub(t, echo)
				conn := startSidecar(t, nil, s.address).dial(t)
				request := strings.Replace(requestHead("1", c.framing), "/entry HTTP/1.1", strings.TrimSpace(path+" "+c.version), 1) + c.rest
				if !c.served { // must not be served either, as it may be part of the body
					request += requestHead("2", "Content-Length: 0")
				}
				if _, err := io.WriteString(conn, request); err != nil {
					t.Fatal(err)
				}
				answers, _ := io.ReadAll(conn) // a reset after the answer counts as a close
				if c.served {
					if got := wait(t, "the request", s.requests); got.body != "hi" || !strings.Contains(string(answers), "done 1") {
						t.Errorf("the upstream received %q, and the client %q, want hi and its answer", got.body, answers)
					}
					return
				}
				if len(s.requests) > 0 {
					t.Errorf("the upstream received %q", (<-s.requests).body)
				}
				if n := strings.Count(string(answers), "HTTP/1."); n > 1 {
					t.Errorf("answered %q, want one answer at most", answers)
				}
				if status, _, _ := strings.Cut(string(answers), "\r\n"); status != "" && !strings.HasPrefix(status, "HTTP/1.1 4") && !strings.HasPrefix(status, "HTTP/1.1 5") {
					t.Errorf("answered %q, want an error or a close", answers)
				}
			})
		}
	}
}

// Bodies are not parsed as heads, regardless of how the bytes are split among reads.
func TestFramingFollowsBodies(t *testing.T) {
	body := "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	good := requestHead("1", fmt.Sprintf("Content-Length: %d", len(body))) + body
	good += strings.ReplaceAll(requestHead("2", "X-Long: "+strings.Repeat("x", 3*maxLineKept)+"\r\nContent-Length: 0"), "\r\n", "\n")
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
			t.Errorf("in pieces of %d: failed %v after %d bytes, want after %d and before %d", size, failed, passed, len(good), end)
		}
	}
}
