package sidecar

import (
	"io"
	"net/http"

	"arrowgw/policy"
)

const (
	leastBodyBuffer  = 4 << 10 // bytes of a body that are buffered in any case; part of policy.OpenRequestCost
	bodyBufferGrowth = 4       // how many times larger a buffer becomes that is full
)

// bufferedBody is what has been read of a request's body.
type bufferedBody struct {
	bytes []byte
	whole bool // the body has ended
}

// reservedForBody returns how many bytes are reserved for a buffer of a body.
func reservedForBody(bufferBytes int) int {
	if bufferBytes <= leastBodyBuffer {
		return 0
	}
	return bufferBytes
}

// readBuffered reads a body until it ends, until maxBufferedBody, or until there is no memory for more of it. length is the
// announced length in bytes, or -1 if there is none. The buffer grows with what has arrived, as a client may announce a body
// and send little of it.
func readBuffered(body io.Reader, length int64, memory *requestMemory) (b bufferedBody, err error) {
	limit := maxBufferedBody
	if length >= 0 {
		limit = int(min(length, maxBufferedBody))
	}
	b.bytes = make([]byte, 0, min(limit, leastBodyBuffer))
	for len(b.bytes) < limit {
		if len(b.bytes) == cap(b.bytes) && !b.grow(limit, memory) {
			return b, nil
		}
		n, err := body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case err == io.EOF && length >= 0 && int64(len(b.bytes)) < length:
			return b, io.ErrUnexpectedEOF
		case err == io.EOF:
			b.whole = true
			return b, nil
		case err != nil:
			return b, err
		}
	}
	b.whole = int64(len(b.bytes)) == length
	return b, nil
}

// grow moves the bytes to a larger buffer, of limit bytes at most. It returns false if there is no memory for that.
func (b *bufferedBody) grow(limit int, memory *requestMemory) bool {
	before := cap(b.bytes)
	after := min(before*bodyBufferGrowth, limit)
	if !memory.reserve(policy.RequestBodies, reservedForBody(after)-reservedForBody(before)) {
		return false
	}
	b.bytes = append(make([]byte, 0, after), b.bytes...)
	return true
}

// takeRequest reserves the memory of a request and reads its body into m. If there is no memory for the request, m.noMemory is
// set and m.upload has what has not been read.
func (f *front) takeRequest(w http.ResponseWriter, r *http.Request, m *outboundRequest) error {
	if r.ContentLength > maxRequestBody {
		return errBodyTooLarge
	}
	body := &pacedBody{body: r.Body, setReadDeadline: http.NewResponseController(w).SetReadDeadline, clientTime: f.clients.firstHeadTime(r.Context())}
	body.onEnd = func() { r.Trailer = nil } // it is not passed on, and may take far more memory than it has bytes
	if f.clients.reserveRequest(m.memory) {
		return f.readBody(r, body, m)
	}
	m.noMemory = true
	if r.ContentLength != 0 {
		m.upload = newUpload(body)
	}
	return nil
}

// readBody reads a request's body into m: all of it, or the part that is buffered, with m.upload for the remainder. If there
// is no memory for it, m.noMemory is set and m.upload has what has not been read.
func (f *front) readBody(r *http.Request, body *pacedBody, m *outboundRequest) error {
	isLong := r.ContentLength > maxBufferedBody
	if isLong { // before any of it is buffered, as it can't be served without
		m.noMemory = !m.memory.reserve(policy.Uploads, uploadBuffers)
	}
	buffered, err := readBuffered(body, r.ContentLength, m.memory)
	if err != nil {
		return err
	}
	if m.body = buffered.bytes; buffered.whole {
		m.length = int64(len(m.body))
		return nil
	}
	if !isLong {
		isShort := r.ContentLength >= 0
		m.noMemory = isShort || !m.memory.reserve(policy.Uploads, uploadBuffers)
	}
	m.prefix, m.upload = int64(len(m.body)), newUpload(body)
	m.upload.arrival = f.clients.arrivalProbe(r.Context())
	return nil
}
