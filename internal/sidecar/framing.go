package sidecar

import "errors"

const maxTailKept = 4 << 10 // last bytes of a body that is not tracked that are kept; net/http accepts no longer trailer section

var (
	errFraming         = errors.New("the request frames its body in more than one way")
	errLengthMalformed = errors.New("Content-Length is malformed")
)

// framing tracks the request boundaries on a connection: heads, and bodies with a Content-Length.
type framing struct {
	heads      headScanner
	bodyLeft   uint64 // bytes of the body that are still to come
	unfollowed bool   // the boundary of this request is not tracked; the server closes the connection after it
	tail       []byte // the last bytes of a body that is not tracked, up to maxTailKept
	requests   uint64 // heads that have ended
	mostFields int    // most header fields of a head of which bytes came with the last call of advance
}

// atBoundary reports whether the bytes so far end with the last byte of a request. It returns false once a body is not
// tracked.
func (f *framing) atBoundary() bool {
	return len(f.heads.line) == 0 && !f.heads.inHead && f.bodyLeft == 0 && !f.unfollowed
}

// advance processes the next bytes. If a head leaves open which bytes are its body, advance returns an error and the number of
// bytes before the newline that ends the head.
func (f *framing) advance(p []byte) (int, error) {
	at := 0
	f.mostFields = 0
	for at < len(p) && !f.unfollowed {
		if f.bodyLeft > 0 {
			n := min(f.bodyLeft, uint64(len(p)-at))
			f.bodyLeft -= n
			at += int(n)
			continue
		}
		n, ended := f.heads.scan(p[at:])
		at += n
		fields := f.heads.head.fields
		f.mostFields = max(f.mostFields, fields)
		if !ended && fields > maxHeadFields {
			return at, errTooManyFields
		}
		if !ended {
			break
		}
		if err := f.startBody(f.heads.head); err != nil {
			return at - 1, err
		}
	}
	if f.unfollowed {
		f.tail = appendLast(f.tail, p[at:], maxTailKept)
	}
	return len(p), nil
}

// startBody begins the body of a request whose head has ended. It fails if the head frames the body in more than one way: what
// follows could be taken for a request that no client sent.
func (f *framing) startBody(head messageHead) error {
	switch {
	case head.contentLengths > 1 || head.contentLengths == 1 && head.transferEncoding:
		return errFraming
	case head.lengthMalformed:
		return errLengthMalformed
	}
	if err := head.check(); err != nil {
		return err
	}
	f.bodyLeft, f.unfollowed = head.contentLength, head.transferEncoding
	f.requests++
	return nil
}

// appendLast appends bytes, and drops the first ones above a limit.
func appendLast(to, p []byte, limit int) []byte {
	p = p[max(0, len(p)-limit):]
	to = to[:copy(to, to[max(0, len(to)+len(p)-limit):])]
	return append(to, p...)
}
