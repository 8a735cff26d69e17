package sidecar

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// lineKept is how much of a head's line is looked at: enough for the names and values that frame a body.
const lineKept = 128

var errFraming = errors.New("the request frames its body in more than one way")

// framing follows the requests on a connection: their heads, and the bodies whose length they tell.
type framing struct {
	line          []byte // the line of a head under way, as far as it is looked at
	inHead        bool   // the head's first line is over
	lengths       int    // Content-Length lines in the head
	contentLength uint64 // what the last of them says
	coded         bool   // the head has Transfer-Encoding
	bodyLeft      uint64 // bytes of a body still to come
	unfollowed    bool   // nothing more is followed: the server closes after this request
}

// between tells whether what has come ends with a request's last byte, as far as it is followed.
func (f *framing) atBoundary() bool {
	return len(f.line) == 0 && !f.inHead && f.bodyLeft == 0 && !f.unfollowed
}

// follow takes the next bytes. Where a head frames its body in two ways, or with a length that is
// none, it returns how many bytes come before that head's end, and an error.
func (f *framing) advance(p []byte) (int, error) {
	for at := 0; at < len(p) && !f.unfollowed; {
		if f.bodyLeft > 0 {
			n := min(f.bodyLeft, uint64(len(p)-at))
			f.bodyLeft -= n
			at += int(n)
			continue
		}
		part, _, whole := bytes.Cut(p[at:], []byte{'\n'})
		f.line = append(f.line, part[:min(len(part), lineKept-len(f.line))]...)
		if !whole {
			break
		}
		if err := f.processLine(strings.TrimSuffix(string(f.line), "\r")); err != nil {
			return at + len(part), err
		}
		f.line = f.line[:0]
		at += len(part) + 1
	}
	return len(p), nil
}

// take reads one line of a head; an empty one ends it.
func (f *framing) processLine(line string) error {
	switch {
	case !f.inHead: // a blank line before a request is passed over, as net/http does at times
		f.inHead = line != ""
		return nil
	case line != "":
		name, value, _ := strings.Cut(line, ":")
		switch {
		case strings.EqualFold(name, "Content-Length"):
			var err error
			if f.contentLength, err = strconv.ParseUint(strings.TrimSpace(value), 10, 63); err != nil {
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
	*f = framing{line: f.line, bodyLeft: f.contentLength, unfollowed: f.coded}
	return nil
}
