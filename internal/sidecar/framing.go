package sidecar

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

const (
	maxLineKept = 128     // bytes of a header line that are examined: enough for the headers that frame a body
	maxTailKept = 4 << 10 // last bytes of a body that is not tracked that are kept; net/http accepts no longer trailer section
)

var errFraming = errors.New("the request frames its body in more than one way")

// framing tracks the request boundaries on a connection: heads, and bodies with a Content-Length.
type framing struct {
	line             []byte // the current header line, up to maxLineKept bytes
	inHead           bool   // the request line has been read, and the head has not ended
	contentLengths   int    // number of Content-Length lines in the head
	contentLength    uint64 // value of the last Content-Length line, in bytes
	transferEncoding bool   // the head has a Transfer-Encoding line
	bodyLeft         uint64 // bytes of the body that are still to come
	unfollowed       bool   // the boundary of this request is not tracked; the server closes the connection after it
	tail             []byte // the last bytes of a body that is not tracked, up to maxTailKept
	requests         uint64 // heads that have ended
}

// atBoundary reports whether the bytes so far end with the last byte of a request. It returns false once a body is not
// tracked.
func (f *framing) atBoundary() bool {
	return len(f.line) == 0 && !f.inHead && f.bodyLeft == 0 && !f.unfollowed
}

// advance processes the next bytes. If a head frames its body in more than one way or its Content-Length is malformed,
// advance returns an error and the number of bytes before the newline of the line at which it was found.
func (f *framing) advance(p []byte) (int, error) {
	at := 0
	for at < len(p) && !f.unfollowed {
		if f.bodyLeft > 0 {
			n := min(f.bodyLeft, uint64(len(p)-at))
			f.bodyLeft -= n
			at += int(n)
			continue
		}
		part, _, whole := bytes.Cut(p[at:], []byte{'\n'})
		f.line = append(f.line, part[:min(len(part), maxLineKept-len(f.line))]...)
		if !whole {
			break
		}
		if err := f.processLine(strings.TrimSuffix(string(f.line), "\r")); err != nil {
			return at + len(part), err
		}
		f.line = f.line[:0]
		at += len(part) + 1
	}
	if f.unfollowed {
		f.keepTail(p[at:])
	}
	return len(p), nil
}

// keepTail appends bytes of a body that is not tracked to tail, and drops the first ones above maxTailKept.
func (f *framing) keepTail(p []byte) {
	p = p[max(0, len(p)-maxTailKept):]
	f.tail = append(f.tail, p...)
	f.tail = append(f.tail[:0], f.tail[max(0, len(f.tail)-maxTailKept):]...)
}

// processLine processes one line of a head. An empty line ends the head.
func (f *framing) processLine(line string) error {
	switch {
	case !f.inHead: // a blank line before the request line is skipped, as net/http does in some cases
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
			f.contentLengths++
		case strings.EqualFold(name, "Transfer-Encoding"):
			f.transferEncoding = true
		}
		return nil
	case f.contentLengths > 1 || f.contentLengths == 1 && f.transferEncoding:
		return errFraming
	}
	*f = framing{line: f.line, bodyLeft: f.contentLength, unfollowed: f.transferEncoding, requests: f.requests + 1}
	return nil
}
