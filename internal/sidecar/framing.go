package sidecar

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"strings"
)

// lineKept is how much of a head's line is looked at: enough for the names and values that frame a body.
const lineKept = 128

var errFraming = errors.New("the request frames its body in more than one way")

// clientConn is a connection of the application, or of whoever else connects. net/http drops
// Content-Length beside Transfer-Encoding and reads the rest of that length as further requests:
// requests that stood inside a body, which nobody sent. It does not tell a handler, so the
// heads are checked on the way to it.
type clientConn struct {
	net.Conn
	framing framing
	failed  error
}

// framingListener checks the requests on all of its connections.
type framingListener struct{ net.Listener }

func (l framingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c}, nil
}

// Read holds back the end of a head that must not be served, and fails from there on: the server
// then answers 400 and closes the connection.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.failed != nil {
		return 0, c.failed
	}
	n, err := c.Conn.Read(p)
	if good, bad := c.framing.follow(p[:n]); bad != nil {
		c.failed = bad
		if good == 0 {
			return 0, bad
		}
		return good, nil
	}
	return n, err
}

// framing follows the requests on a connection: their heads, and the bodies whose length they tell.
type framing struct {
	line    []byte // the line of a head under way, as far as it is looked at
	begun   bool   // the head's first line is over
	lengths int    // Content-Length lines in the head
	length  uint64 // what the last of them says
	coded   bool   // the head has Transfer-Encoding
	body    uint64 // bytes of a body still to come
	rest    bool   // nothing more is followed: the server closes after this request
}

// follow takes the next bytes. Where a head frames its body in two ways, or with a length that is
// none, it returns how many bytes come before that head's end, and an error.
func (f *framing) follow(p []byte) (int, error) {
	for at := 0; at < len(p) && !f.rest; {
		if f.body > 0 {
			n := min(f.body, uint64(len(p)-at))
			f.body -= n
			at += int(n)
			continue
		}
		part, _, whole := bytes.Cut(p[at:], []byte{'\n'})
		f.line = append(f.line, part[:min(len(part), lineKept-len(f.line))]...)
		if !whole {
			break
		}
		if err := f.take(strings.TrimSuffix(string(f.line), "\r")); err != nil {
			return at + len(part), err
		}
		f.line = f.line[:0]
		at += len(part) + 1
	}
	return len(p), nil
}

// take reads one line of a head; an empty one ends it.
func (f *framing) take(line string) error {
	switch {
	case line != "" && !f.begun:
		f.begun = true
		return nil
	case line != "":
		name, value, _ := strings.Cut(line, ":")
		switch {
		case strings.EqualFold(name, "Content-Length"):
			var err error
			if f.length, err = strconv.ParseUint(strings.TrimSpace(value), 10, 63); err != nil {
				return errors.New("Content-Length is malformed")
			}
			f.lengths++
		case strings.EqualFold(name, "Transfer-Encoding"):
			f.coded = true
		}
		return nil
	case f.lengths > 1 || f.lengths == 1 && f.coded:
		return errFraming
	}
	*f = framing{line: f.line, body: f.length, rest: f.coded || !f.begun}
	return nil
}
