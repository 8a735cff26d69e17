package sidecar

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
)

const (
	maxLineKept   = 128 // bytes of a line of a head that are examined: enough for the headers that frame a body
	versionLength = len("HTTP/1.1")

	maxHeadFields = 1000 // header fields of a message, far more than are in use
)

var (
	errCodingVersion = errors.New("Transfer-Encoding in a version of HTTP that has none")
	errFramingName   = errors.New("white space beside the name of a header that frames the body")
	errTooManyFields = errors.New("too many header fields")
)

// messageHead is what the start line and the headers of a message, a request or an answer, say of its body's framing.
type messageHead struct {
	fields           int    // number of header lines so far
	definesCodings   bool   // the message's version of HTTP has transfer codings: HTTP/1.1 and later minor versions
	interim          bool   // an answer with status 1xx, which another one follows
	transferEncoding bool   // the head has a Transfer-Encoding line
	contentLengths   int    // number of Content-Length lines
	contentLength    uint64 // value of the last valid one, in bytes
	lengthMalformed  bool   // one of them is malformed
	spacedName       bool   // one of these lines has white space beside its name
}

// check returns an error if the message has too many header fields, or if readers of it may take different bytes for its body,
// whatever direction it goes (RFC 9112, sections 5.1 and 6.1). Package net/http passes over a Transfer-Encoding that is faulty in these ways, and reads the
// body as if there were none.
func (h *messageHead) check() error {
	switch {
	case h.fields > maxHeadFields:
		return errTooManyFields
	case h.spacedName:
		return errFramingName
	case h.transferEncoding && !h.definesCodings:
		return errCodingVersion
	}
	return nil
}

// setVersion examines the version of the start line, which need not be valid.
func (h *messageHead) setVersion(version []byte) {
	major, minor, ok := http.ParseHTTPVersion(string(version))
	h.definesCodings = ok && major == 1 && minor >= 1
}

// addHeader examines a header line.
func (h *messageHead) addHeader(line []byte) {
	h.fields++
	name, value, _ := bytes.Cut(line, []byte{':'})
	bare := bytes.TrimSpace(name)
	switch {
	case bytes.EqualFold(bare, []byte("Content-Length")):
		h.addContentLength(string(bytes.TrimSpace(value)))
	case bytes.EqualFold(bare, []byte("Transfer-Encoding")):
		h.transferEncoding = true
	default:
		return
	}
	h.spacedName = h.spacedName || len(bare) < len(name)
}

// addContentLength examines the value of a Content-Length line.
func (h *messageHead) addContentLength(value string) {
	h.contentLengths++
	n, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		h.lengthMalformed = true
		return
	}
	h.contentLength = n
}

// headScanner follows the heads of the messages on a connection, line by line, as their bytes arrive.
type headScanner struct {
	answers bool   // of answers, whose version is at the beginning of the start line; requests have it at its end
	line    []byte // the current line, up to maxLineKept bytes
	inHead  bool   // the start line has been read, and the head has not ended
	head    messageHead
}

// scan examines bytes up to the end of the current head, and returns how many it took. ended is true if the head has ended
// with the last of them; s.head is complete then.
func (s *headScanner) scan(p []byte) (n int, ended bool) {
	for n < len(p) {
		part, _, whole := bytes.Cut(p[n:], []byte{'\n'})
		s.keep(part)
		if !whole {
			return len(p), false
		}
		n += len(part) + 1
		ended = s.addLine(bytes.TrimSuffix(s.line, []byte{'\r'}))
		s.line = s.line[:0]
		if ended {
			return n, true
		}
	}
	return n, false
}

// keep adds a part of the current line to what is examined of it: its beginning, or the end of a request line.
func (s *headScanner) keep(part []byte) {
	if !s.inHead && !s.answers {
		s.line = appendLast(s.line, part, maxLineKept)
		return
	}
	s.line = append(s.line, part[:min(len(part), maxLineKept-len(s.line))]...)
}

// addLine examines a line, and reports whether it ends the head. A blank line before the start line is skipped, as net/http
// does in some cases.
func (s *headScanner) addLine(line []byte) (ended bool) {
	switch {
	case len(line) == 0:
		ended, s.inHead = s.inHead, false
	case s.inHead:
		s.head.addHeader(line)
	default:
		s.inHead = true
		s.startHead(line)
	}
	return ended
}

// startHead begins the head that has a start line.
func (s *headScanner) startHead(line []byte) {
	s.head = messageHead{}
	if !s.answers {
		s.head.setVersion(line[max(0, len(line)-versionLength):])
		return
	}
	version, status, _ := bytes.Cut(line, []byte{' '})
	s.head.setVersion(version)
	s.head.interim = bytes.HasPrefix(status, []byte{'1'})
}
