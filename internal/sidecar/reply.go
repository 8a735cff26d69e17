package sidecar

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

// reply sends a final answer to the client. The request's body need not have arrived completely.
func (f *front) reply(w http.ResponseWriter, r *http.Request, class int, a answer, rest *upload) {
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as this and the next do
	if _, stopping := f.clients.overLimit(0); stopping {          // a stop may have begun since the request arrived
		w.Header().Set("Connection", "close")
	}
	switch {
	case a.stream != nil:
		f.sendStream(w, r, class, a)
	case rest != nil && !rest.complete.Load():
		rest.stop()
		_ = controller.EnableFullDuplex()     // else the answer would wait for the rest of the body
		w.Header().Set("Connection", "close") // net/http may still read on when it takes the next request
		f.sendAnswer(w, class, a)
		_ = controller.Flush()
		rest.drain()
	default:
		f.sendAnswer(w, class, a)
	}
}

// sendStream sends an answer to the client as it arrives from its server, and counts it. If the answer is cut short,
// the connection is aborted so that the client notices.
func (f *front) sendStream(w http.ResponseWriter, r *http.Request, class int, a answer) {
	a.setHeaders(w)
	if n := a.stream.contentLength(); n >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	f.streams.started.Add(1)
	f.streams.active.Add(1)
	defer f.streams.active.Add(-1)
	began, why := f.clock.now(), closedClientLeft
	if err := a.stream.copyTo(r.Context(), w); err != nil {
		switch {
		case errors.Is(err, errAnswerCutShort):
			f.streams.broken.Add(1)
			why = closedServerBroke
		case errors.Is(err, os.ErrDeadlineExceeded):
			f.streams.stalled.Add(1)
			why = closedClientStalled
		}
		f.loop.trace.logUnanswered(r.Header.Get("X-Request-ID"), why, f.clock.now()-began)
		f.tallies[class].count(http.StatusBadGateway)
		a.stream.abort()
		if !r.ProtoAtLeast(1, 1) { // it has no chunks, so the end of the connection may be that of the answer
			f.clients.resetOnClose(r.Context())
		}
		panic(http.ErrAbortHandler)
	}
	f.tallies[class].count(http.StatusOK)
}

// sendAnswer writes a request's final answer that is not streamed, and counts it.
func (f *front) sendAnswer(w http.ResponseWriter, class int, a answer) {
	f.tallies[class].count(a.status)
	a.write(w)
}

// write writes the final answer to the client.
func (a answer) write(w http.ResponseWriter) {
	switch a.status {
	case http.StatusOK:
		a.setHeaders(w)
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
		_, _ = w.Write(a.body) // fails only if the client has disconnected
	case http.StatusServiceUnavailable:
		writeRefusal(w, a.retryAfter)
	default:
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(a.status)
	}
}

// setHeaders sets the headers of a served answer except Content-Length.
func (a answer) setHeaders(w http.ResponseWriter) {
	for name, values := range endToEndHeaders(a.header) {
		w.Header()[name] = values
	}
	if a.header["Content-Type"] == nil {
		w.Header()["Content-Type"] = nil // keeps net/http from guessing it
	}
}

// retryAfter returns the Retry-After time for refusals that the front makes itself. It is random, because such refusals
// come in bursts, and at most what clients honour.
func (f *front) retryAfter() time.Duration {
	longest := min(time.Second, f.cfg.Policy.MaxRetryAfter)
	return longest/2 + rand.N(longest/2+1)
}

// rejectBody answers a request whose body has not arrived whole: 413 if it is too long, 408 after a timeout, else 400.
// It ends the connection.
func (f *front) rejectBody(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var netErr net.Error
	switch {
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		status = http.StatusRequestTimeout
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
	writeRejection(w, "body: "+err.Error(), status)
}

// writeRefusal answers 503, by which the client knows that a retry is safe, with a Retry-After header if pause is above 0.
func writeRefusal(w http.ResponseWriter, pause time.Duration) {
	if pause > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0") // else the answer would end only when its handler returns
	w.WriteHeader(http.StatusServiceUnavailable)
}

// writeRejection answers a malformed request and ends the connection. The application does not send such requests, and
// another client may continue with more of them, omit the body or stay connected.
func writeRejection(w http.ResponseWriter, reason string, status int) {
	w.Header().Set("Connection", "close")
	http.Error(w, reason, status)
}
