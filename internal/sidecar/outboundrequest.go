package sidecar

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"net/url"
	"time"

	"arrowgw/policy"
)

// outboundRequest is a client's request in the form that is forwarded to an upstream. Each attempt sets its own X-Timeout.
type outboundRequest struct {
	id       string // X-Request-ID, for the log
	method   string
	url      *url.URL
	host     string
	header   http.Header   // end-to-end headers, not to be modified
	body     []byte        // the whole body, or the part of it that is buffered; released by the loop once no attempt can begin any more
	prefix   int64         // bytes of the buffered part of a body with an upload
	upload   *upload       // the part of the body after the buffered part; nil if there is none
	length   int64         // of the whole body, or -1 if unknown
	arrived  time.Duration // when its last byte arrived, if there is no upload
	timeLeft time.Duration // the client's timeout; with upload it counts from the last byte's arrival, and the time taken to get a connection is deducted

	arrivalUncertainty time.Duration // how much later than assumed the request may have arrived

	memory   *requestMemory // that is held for the request; nil if that is not recorded
	noMemory bool           // there is no memory to serve it

	idClaimed bool // its id counts as sent; used by its attempts alone

	clientPresence func() presence                                // whether the client is still there; nil if there is no client
	permitWrite    func(now time.Duration, address string) error  // whether the first byte may be written to address; nil if always
	onWritten      func(began, now time.Duration, address string) // called when the last byte has been written; may be nil
}

// clientAbsent reports whether the client is not known to wait for the answer, so that nothing may be sent any more.
func (r *outboundRequest) clientAbsent() bool {
	return r != nil && r.clientPresence != nil && r.clientPresence() != clientPresent
}

// uploadTimeLeft returns how much time the client of a request with an upload leaves, counted from the arrival of the last
// byte if that is not known to have arrived.
func (r *outboundRequest) uploadTimeLeft(now time.Duration) time.Duration {
	if r.upload.deadline == 0 {
		return r.timeLeft
	}
	return min(r.timeLeft, r.upload.deadline-now)
}

// arrivedAt returns when the last byte of a request that has been written arrived.
func (r *outboundRequest) arrivedAt() time.Duration {
	if r.upload == nil {
		return r.arrived
	}
	return r.upload.arrivedAt
}

// wholeBodyRead reports whether all of the request has been read from its client.
func (r *outboundRequest) wholeBodyRead() bool { return r.upload == nil || r.upload.complete.Load() }

// bodyConsumed reports whether the request can't be sent again because part of its body has been read and dropped.
func (r *outboundRequest) bodyConsumed() bool { return r.upload != nil && r.upload.consumed.Load() }

// newRequest returns the request of an attempt. It is called by the loop, which may release the body later.
func (r *outboundRequest) newRequest() *http.Request {
	req := &http.Request{Method: r.method, URL: r.url, Host: r.host, Header: maps.Clone(r.header)}
	switch {
	case r.upload != nil: // the reader drops the buffered part once it has been read
		req.Body, req.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(r.body), r.upload)), r.length
	case len(r.body) > 0:
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(r.body)), int64(len(r.body))
	}
	return req
}

// releaseBody lets go of the buffered body, as no attempt can begin any more. It is called by the loop, or as a request
// is refused before the loop has it.
func (r *outboundRequest) releaseBody() {
	r.memory.release(policy.RequestBodies, reservedForBody(cap(r.body)))
	r.body = nil
}

// releaseMemory lets go of what is held for a request that is refused before the loop has it.
func (r *outboundRequest) releaseMemory() {
	r.releaseBody()
	r.memory.close()
}
