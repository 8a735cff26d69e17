package sidecar

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	maxAnswerBytes    = 512 << 10 // bytes on the wire of a buffered answer, and of the head of any answer
	maxInterimAnswers = 8         // 1xx answers skipped before the final one
)

var errAnswerTooLong = errors.New("answer body exceeds the size limit")

// readAnswer reads the answer to a request that has been written. An error means that the answer is incomplete; res is
// set if its head was read.
func (u *transport) readAnswer(
	x *exchange, c *conn, req *http.Request, deadline time.Duration, onBegin func(*http.Response, *stream),
) (res *http.Response, body []byte, err error) {
	_ = c.SetDeadline(u.clock.toTime(deadline)) // fails only on a closed connection, as the read then does
	if res, err = c.readHead(req); err != nil {
		return res, nil, err
	}
	switch {
	case onBegin != nil && res.StatusCode != http.StatusOK: // only its head counts
		err = c.discardBody(res)
	case onBegin != nil && !x.reserveAnswer(res.ContentLength):
		body, err = newStream(res, c, x, u.clock, deadline).run(onBegin)
	default:
		body, err = c.readBody(res)
	}
	if err == nil && c.answerLimit.N <= 0 {
		err = errors.New("answer exceeds the size limit") // an answer without a length would otherwise pass for complete at the limit
	}
	return res, body, err
}

// readHead reads the head of an answer, skipping interim answers.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.answerLimit.N = maxAnswerBytes
	c.answers.beginAnswer()
	for range maxInterimAnswers {
		res, err := http.ReadResponse(c.r, req)
		if err != nil || res.StatusCode/100 != 1 {
			return res, err
		}
	}
	return nil, errors.New("too many interim answers")
}

// readBody reads the body of an answer that is buffered.
func (c *conn) readBody(res *http.Response) ([]byte, error) {
	if res.ContentLength >= 0 && res.ContentLength <= maxBufferedBody {
		body := make([]byte, res.ContentLength)
		_, err := io.ReadFull(res.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBufferedBody+1))
	if err == nil && len(body) > maxBufferedBody {
		err = errAnswerTooLong
	}
	return body, err
}

// discardBody reads the body of an answer that is not used.
func (c *conn) discardBody(res *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxBufferedBody+1))
	if err == nil && n > maxBufferedBody {
		err = errAnswerTooLong
	}
	return err
}

// answerReader reads the answers of a server. It withholds the end of a head whose framing is faulty, and fails from there on.
type answerReader struct {
	io.Reader
	heads  headScanner
	inBody bool  // the head of the final answer has ended
	err    error // why all further reads fail
}

// newAnswerReader returns an answerReader of the bytes that r reads. Each answer has to be begun.
func newAnswerReader(r io.Reader) *answerReader {
	return &answerReader{Reader: r, heads: headScanner{answers: true}}
}

// beginAnswer makes the next bytes be taken for the head of an answer.
func (r *answerReader) beginAnswer() {
	r.heads, r.inBody = headScanner{answers: true, line: r.heads.line[:0]}, false
}

// Read implements io.Reader.
func (r *answerReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.Reader.Read(p)
	if r.err = r.checkHeads(p[:n]); r.err != nil {
		return 0, r.err
	}
	return n, err
}

// checkHeads returns an error if a head whose framing is faulty ends within the next bytes.
func (r *answerReader) checkHeads(p []byte) error {
	for len(p) > 0 && !r.inBody {
		n, ended := r.heads.scan(p)
		p = p[n:]
		if !ended {
			return nil
		}
		if err := r.heads.head.check(); err != nil {
			return err
		}
		r.inBody = !r.heads.head.interim
	}
	return nil
}
