package sidecar

import (
	"errors"
	"io"
	"net/http"
	"time"

	"arrowgw/policy"
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
	if res, err = c.readHead(req, x.memory); err != nil {
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

// readHead reads the head of an answer, skipping interim answers. The head is held in the memory of the request.
func (c *conn) readHead(req *http.Request, memory *requestMemory) (*http.Response, error) {
	c.answerLimit.N = maxAnswerBytes
	c.answers.beginAnswer(memory)
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

// answerReader reads the answers of a server. It withholds the end of a head whose framing is faulty, or that there is no memory
// for, and fails from there on.
type answerReader struct {
	io.Reader
	heads     headScanner
	inBody    bool           // the head of the final answer has ended
	memory    *requestMemory // in which the heads of the current answer are held
	headBytes int            // bytes of these heads that have been read
	reserved  int            // bytes reserved for them
	err       error          // why all further reads fail
}

// newAnswerReader returns an answerReader of the bytes that r reads. Each answer has to be begun.
func newAnswerReader(r io.Reader) *answerReader {
	return &answerReader{Reader: r, heads: headScanner{answers: true}}
}

// beginAnswer makes the next bytes be taken for the head of an answer, which is held in the given memory.
func (r *answerReader) beginAnswer(memory *requestMemory) {
	r.heads, r.inBody = headScanner{answers: true, line: r.heads.line[:0]}, false
	r.memory, r.headBytes, r.reserved = memory, 0, 0
}

// releaseHead releases what is reserved for the head of an answer that is not passed on.
func (r *answerReader) releaseHead() {
	r.memory.release(policy.Heads, r.reserved)
	r.reserved = 0
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

// checkHeads returns an error if a head ends within the next bytes whose framing is faulty, or if there is no memory for it.
func (r *answerReader) checkHeads(p []byte) error {
	for len(p) > 0 && !r.inBody {
		n, ended := r.heads.scan(p)
		p = p[n:]
		r.headBytes += n
		if !r.reserveHead() {
			return errNoMemoryForHead
		}
		if !ended {
			if r.heads.head.fields > maxHeadFields {
				return errTooManyFields
			}
			return nil
		}
		if err := r.heads.head.check(); err != nil {
			return err
		}
		r.inBody = !r.heads.head.interim
	}
	return nil
}

// reserveHead reserves the memory of the heads so far. It returns false if there is none.
func (r *answerReader) reserveHead() bool {
	cost := policy.HeadCost(r.headBytes, r.heads.head.fields) - r.reserved
	if cost <= 0 {
		return true
	}
	if !r.memory.reserve(policy.Heads, cost) {
		return false
	}
	r.reserved += cost
	return true
}
