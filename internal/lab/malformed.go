package lab

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// maxSecondAnswerDelay bounds how long after an answer a second one is sent.
const maxSecondAnswerDelay = 3 * time.Millisecond

// spoiltAnswers are the ways in which a server spoils its answer. write gets the true body and writes to the hijacked
// connection. whole means that a client may take the result for the answer. Answers are drawn by index, so the order
// counts.
var spoiltAnswers = []struct {
	name  string
	whole bool
	write func(c net.Conn, body string)
}{
	{"twice", true, func(c net.Conn, body string) {
		writeAnswer(c, body)
		time.Sleep(rand.N(maxSecondAnswerDelay))
		writeAnswer(c, "nobody's")
	}},
	{"cut", false, func(c net.Conn, body string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+100, body)
	}},
	{"cut chunks", false, func(c net.Conn, body string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
	}},
	{"no length, whole", true, func(c net.Conn, body string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", body)
	}},
	{"no length, reset", false, func(c net.Conn, body string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", body[:len(body)/2])
		resetOnClose(c)
	}},
	{"two lengths", false, func(c net.Conn, body string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Length: 3\r\n\r\n%s", len(body), body)
	}},
	{"no answer", false, func(c net.Conn, _ string) { resetOnClose(c) }},
	{"half a line", false, func(c net.Conn, _ string) { _, _ = io.WriteString(c, "HTTP/1.1 20") }},
	{"never ends", false, func(c net.Conn, body string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
		_, _ = io.Copy(io.Discard, c) // until the sidecar gives up
	}},
}

// writeAnswer writes a valid answer.
func writeAnswer(c net.Conn, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// resetOnClose makes the close of a connection reset it.
func resetOnClose(c net.Conn) {
	if wrapped, ok := c.(*conn); ok {
		_ = wrapped.SetLinger(0) // fails only if it is closed
	}
}

// writeSpoilt answers in one of the ways of spoiltAnswers and closes the connection. Before it writes, it calls note
// with the way's name and whether a client may take the result for the answer.
func writeSpoilt(w http.ResponseWriter, body string, draw int, note func(way string, whole bool)) {
	way := spoiltAnswers[draw%len(spoiltAnswers)]
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is closed
	}
	defer c.Close()
	note(way.name, way.whole)
	way.write(c, body)
}

// malformedRequests are sent by clients that then wait for an answer.
var malformedRequests = []string{
	"", "GET", "GET /publish HTTP/1.1\r\nHost: x\r\n", "BREW /coffee HTTP/1.1\r\nHost: x\r\n\r\n", "\x16\x03\x01\x02\x00",
	"POST /publish HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"POST /publish HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nhalf", strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 40),
}

const (
	malformedTimeout  = 3 * time.Second        // within which the client must get an error or a close
	malformedSlack    = 500 * time.Millisecond // tolerance for delays of the machine
	malformedInterval = 100 * time.Millisecond // pause before the next malformed request
)

// sendMalformed connects, sends text, and returns an error unless the connection gets an answer or is closed in time.
func sendMalformed(address, text string) error {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil // no sidecar is listening
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(malformedTimeout + malformedSlack)) // fails only if it is closed
	_, _ = io.WriteString(c, text)                                       // the sidecar may have closed it already
	if _, err := c.Read(make([]byte, 1)); err != nil {
		if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
			return fmt.Errorf("%.20q was neither answered nor closed on", text)
		}
	}
	return nil
}
