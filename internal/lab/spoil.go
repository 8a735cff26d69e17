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

// maxSecondAnswerDelay is how long behind an answer a second one comes, at most.
const maxSecondAnswerDelay = 3 * time.Millisecond

// spoiltAnswers are ways in which a server spoils its answer. Each gets the true body, and writes to the hijacked connection;
// whole says that a client may take what comes for the answer.
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

func writeAnswer(c net.Conn, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// resetOnClose has the close of a connection reset it.
func resetOnClose(c net.Conn) {
	if wrapped, ok := c.(*conn); ok {
		_ = wrapped.SetLinger(0) // fails only on a closed one
	}
}

// writeSpoilt answers in one of the ways, and ends the connection. It says whether the answer may be taken for whole.
func writeSpoilt(w http.ResponseWriter, body string, draw int, settle func(way string, whole bool)) {
	way := spoiltAnswers[draw%len(spoiltAnswers)]
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // it is gone
	}
	defer c.Close()
	settle(way.name, way.whole)
	way.write(c, body)
}

// malformedRequests are what strangers send, and then wait.
var malformedRequests = []string{
	"", "GET", "GET /publish HTTP/1.1\r\nHost: x\r\n", "BREW /coffee HTTP/1.1\r\nHost: x\r\n\r\n", "\x16\x03\x01\x02\x00",
	"POST /publish HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"POST /publish HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nhalf", strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 40),
}

const (
	malformedTimeout  = 3 * time.Second // a stranger is owed an error or a close within this
	malformedSlack    = 500 * time.Millisecond
	malformedInterval = 100 * time.Millisecond // between two strangers
)

// sendMalformed connects as a stranger, sends what is no proper request and says whether it got an error or a close in time.
func sendMalformed(address, text string) error {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil // nobody is there: no stranger either
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(malformedTimeout + malformedSlack)) // fails only on a closed one
	_, _ = io.WriteString(c, text)                                       // it may be closed by now
	if _, err := c.Read(make([]byte, 1)); err != nil {
		if late, ok := err.(net.Error); ok && late.Timeout() {
			return fmt.Errorf("%.20q got neither an error nor a close", text)
		}
	}
	return nil
}
