package sidecar

import (
	"errors"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"arrowgw/internal/balance"
	"arrowgw/policy"
)

const (
	headTimeout          = 2500 * time.Millisecond // for a request's head; an inactive connection must be closed within 3 s
	writeTimeout         = 2 * time.Second         // for the client to read its answer
	clientIdleTimeout    = 2250 * time.Millisecond // for an idle connection; closing one is safe after 2 s
	presencePollInterval = 100 * time.Millisecond  // how often a waiting client is checked for having disconnected
	maxHeaderBytes       = 32 << 10
	maxTimeout           = time.Hour // longer client timeouts are treated as this
)

// front is the HTTP handler for the application's requests. It validates each request, passes it to the loop and
// returns the answer to the client.
type front struct {
	cfg            *Config
	clock          clock
	loop           *loop
	clients        *clients
	openRequests   atomic.Int64 // requests that have no final answer yet
	pendingUploads atomic.Int64 // open requests whose body is still arriving; not counted as pending
	tallies        []tally      // answered requests, by class
	streams        struct {     // answers that are streamed to the client, for the log
		started atomic.Int64
		active  atomic.Int64 // in progress
		broken  atomic.Int64 // cut short by their server, or because it stalled
		stalled atomic.Int64 // cut off because the client stalled
	}
	ready      atomic.Bool // set once serving, cleared when a stop begins
	stopLimits atomic.Pointer[stopLimits]
	rulesAllow func() bool // reports whether the rule set in force permits serving
	memory     *memoryAccount
}

// isUp reports whether the sidecar serves requests, which is what GET /up answers.
func (f *front) isUp() bool { return f.ready.Load() && f.rulesAllow() }

// tally counts the answered requests of a class by kind of answer.
type tally struct{ completed, rejected, failed atomic.Uint64 }

// count records that a request was answered with status.
func (t *tally) count(status int) {
	switch status {
	case http.StatusOK:
		t.completed.Add(1)
	case http.StatusServiceUnavailable:
		t.rejected.Add(1)
	default:
		t.failed.Add(1)
	}
}

// newFront returns a front that is not ready yet. The rules permit serving until rulesAllow is replaced.
func newFront(cfg *Config, c clock, l *loop, k *clients) *front {
	return &front{cfg: cfg, clock: c, loop: l, clients: k, rulesAllow: func() bool { return true }, tallies: make([]tally, len(cfg.Policy.Classes))}
}

// server returns the HTTP server for the application's connections.
func (f *front) server() *http.Server {
	return &http.Server{
		Handler: f, ReadHeaderTimeout: headTimeout, WriteTimeout: writeTimeout, IdleTimeout: clientIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, // net/http would answer OPTIONS * with 200; it has to be rejected here
		ConnState:                    f.clients.connStateChanged, ConnContext: f.clients.connContext,
	}
}

// counters returns the counts of connections, open requests and streams for the log.
func (f *front) counters() map[string]int {
	counts := f.clients.counters()
	counts["held"], counts["uploads"] = int(f.openRequests.Load()), int(f.pendingUploads.Load())
	counts["streams"], counts["broken"] = int(f.streams.started.Load()), int(f.streams.broken.Load())
	counts["still"] = int(f.streams.stalled.Load())
	return counts
}

// ServeHTTP implements http.Handler. It answers GET /up itself and rejects requests that are malformed or whose body
// does not arrive.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.clients.countRequest(r.Context())
	if r.URL.Path == "/up" && r.Method == http.MethodGet {
		if !f.isUp() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if r.ContentLength != 0 { // until readBody sets its own deadline: a body that is never read must not hold the connection
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyStallTimeout)) // fails only on a closed connection
	}
	if len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1) {
		// Data after a chunked body is not checked (see framing), and HTTP/1.0 does not define chunks.
		w.Header().Set("Connection", "close")
	}
	q, timeout, err := f.parseRequest(r)
	if err != nil {
		writeRejection(w, err.Error(), http.StatusBadRequest)
		return
	}
	m := &outboundRequest{id: r.Header.Get("X-Request-ID"), method: r.Method, url: r.URL, host: r.Host, header: endToEndHeaders(r.Header), length: r.ContentLength, timeLeft: timeout}
	m.memory = f.memory.openRequest()
	defer m.memory.close()
	if err := f.takeRequest(w, r, m); err != nil {
		f.rejectBody(w, err)
		return
	}
	f.serveRequest(w, r, q, m)
}

// serveRequest answers a request that has arrived completely or up to the end of the buffered part of its body. It refuses
// the request without an attempt if connections or open requests exceed their limit, if there is no memory for it or if the
// rules bar serving.
func (f *front) serveRequest(w http.ResponseWriter, r *http.Request, q balance.Request, m *outboundRequest) {
	arrived := f.clock.now() // the client's timeout began with its last byte
	if m.upload == nil {
		arrived -= max(0, f.clients.sinceLastRead(r.Context()))
		m.arrivalUncertainty = f.clients.arrivalUncertainty(r.Context())
	} else { // that byte is still to be read, and may have waited with the others
		m.arrivalUncertainty = f.clients.queuedTime(r.Context())
		m.timeLeft = max(0, m.timeLeft-m.arrivalUncertainty)
	}
	m.timeLeft = f.stopLimits.Load().bound(arrived, m.timeLeft)
	if !f.clients.requestReceived(r.Context()) { // the connection is being closed to make room, with a refusal
		f.loop.trace.logUnanswered(m.id, closedShedPartial, f.clock.now()-arrived)
		panic(http.ErrAbortHandler)
	}
	defer f.openRequests.Add(-1)
	open := f.openRequests.Add(1)
	full, stopping := f.clients.overLimit(open)
	if full || stopping { // descriptors run out or the process stops: the connection ends with its answer
		w.Header().Set("Connection", "close")
	}
	barred := !f.rulesAllow() // the rule set may have changed since the request arrived
	if full && !stopping || barred || m.noMemory || f.cfg.MaxOpenRequests > 0 && open > int64(f.cfg.MaxOpenRequests) {
		m.releaseMemory() // the client may take long to send the rest
		f.reply(w, r, q.Class, answer{status: http.StatusServiceUnavailable, retryAfter: f.retryAfter()}, m.upload)
		return
	}
	if m.upload != nil {
		f.pendingUploads.Add(1)
		arrivedWhole := sync.OnceFunc(func() { f.pendingUploads.Add(-1) })
		m.upload.onArrived = func(time.Duration) { arrivedWhole() }
		defer arrivedWhole()
	}
	m.clientPresence = func() presence { return f.clients.queryPresence(r.Context()) }
	if m.clientPresence() == clientGone { // the client left while the request waited to be read
		f.abortConnection(m, arrived)
	}
	f.loop.trace.logStep("request taken", m.id, slog.Duration("left", m.timeLeft), slog.Int64("held", open))
	f.awaitAnswer(w, r, q, m, arrived)
}

// awaitAnswer hands a request to the loop and sends its answer to the client. The request ends early if the client
// disconnects or does not send its whole body.
func (f *front) awaitAnswer(w http.ResponseWriter, r *http.Request, q balance.Request, m *outboundRequest, arrived time.Duration) {
	reply, bodyErr := make(chan answer, 1), (chan error)(nil)
	if m.upload != nil {
		bodyErr = m.upload.readErr
	}
	id, presencePoll := f.loop.submit(q, m, arrived+m.timeLeft, reply), time.NewTicker(presencePollInterval)
	defer presencePoll.Stop()
	incomplete := false // the client has not sent the whole body
	defer func() { f.loop.guard.HandlerEnded(f.clock.now(), id, incomplete) }()
	ctx := r.Context()
	for cancelled := ctx.Done(); ; {
		select {
		case a := <-reply:
			f.reply(w, r, q.Class, a, m.upload)
			return
		case err := <-bodyErr:
			incomplete = true
			f.loop.clientGone(id)
			m.upload.stop()
			f.rejectBody(w, err)
			return
		case <-presencePoll.C:
		case <-cancelled: // net/http cancels the context on any failed read, also on an interrupted one
			cancelled = nil
		}
		if f.clients.queryPresence(ctx) != clientGone {
			continue
		}
		f.loop.guard.ClientLeft(f.clock.now(), id)
		f.loop.clientGone(id) // the client has disconnected
		if m.upload != nil {
			m.upload.stop()
		}
		f.abortConnection(m, arrived)
	}
}

// abortConnection closes the connection of a client that has left, without an answer. net/http provides
// panic(http.ErrAbortHandler) for that.
func (f *front) abortConnection(m *outboundRequest, arrived time.Duration) {
	f.loop.trace.logUnanswered(m.id, closedClientLeft, f.clock.now()-arrived)
	panic(http.ErrAbortHandler)
}

// takeRequest reserves the memory of a request and reads its body into m. If there is no memory for the request, m.noMemory is
// set and m.upload has what has not been read.
func (f *front) takeRequest(w http.ResponseWriter, r *http.Request, m *outboundRequest) error {
	if r.ContentLength > maxRequestBody {
		return errBodyTooLarge
	}
	body := &pacedBody{body: r.Body, setReadDeadline: http.NewResponseController(w).SetReadDeadline, clientTime: f.clients.firstHeadTime(r.Context())}
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
		panic(http.ErrAbortHandler)
	}
	f.tallies[class].count(http.StatusOK)
}

// parseRequest reads a request's headers into q, and the client's X-Timeout into timeout. A missing or malformed
// header is an error, whose text is sent to the client.
func (f *front) parseRequest(r *http.Request) (q balance.Request, timeout time.Duration, err error) {
	h := r.Header
	for _, name := range []string{"X-Request-Id", "X-Priority-Class", "X-Tenant-Id", "X-Timeout", "Idempotency-Key"} {
		if len(h[name]) > 1 { // another reader might use the second value
			return q, 0, errors.New(name + " is there twice")
		}
	}
	if h.Get("X-Request-ID") == "" {
		return q, 0, errors.New("X-Request-ID is missing")
	}
	name := h.Get("X-Priority-Class")
	var ok bool
	if q.Class, ok = f.cfg.Classes[name]; !ok {
		return q, 0, errors.New("X-Priority-Class names no class")
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); first != name {
		return q, 0, errors.New("the path is of another class than X-Priority-Class")
	}
	method := http.MethodPost
	if f.cfg.Policy.Classes[q.Class].Idempotency == balance.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		return q, 0, errors.New("the method is not that of the class")
	}
	if method == http.MethodGet && r.ContentLength != 0 {
		return q, 0, errors.New("a request of the class has no body")
	}
	if f.cfg.Policy.Classes[q.Class].Idempotency == balance.Keyed && h.Get("Idempotency-Key") == "" {
		return q, 0, errors.New("Idempotency-Key is missing")
	}
	if len(f.cfg.Tenants) > 0 {
		if q.Tenant, ok = f.cfg.Tenants[h.Get("X-Tenant-Id")]; !ok {
			return q, 0, errors.New("X-Tenant-Id names no tenant")
		}
	}
	if timeout, ok = parseTimeout(h.Get("X-Timeout")); !ok {
		return q, 0, errors.New("X-Timeout is missing or malformed")
	}
	if cost := h.Get("X-Cost"); cost != "" {
		if q.Work, ok = parseTimeout(cost + "u"); !ok {
			return q, 0, errors.New("X-Cost is malformed")
		}
	}
	if key := h.Get("X-Route-Key"); key != "" {
		sum := fnv.New64a()
		_, _ = io.WriteString(sum, key) // a hash never fails
		q.Key = sum.Sum64()
	}
	q.ClientRetry = h.Get("X-Retried") == "1"
	return q, timeout, nil
}

// parseTimeout parses a decimal number with the unit m (milliseconds) or u (microseconds). Values above maxTimeout are
// cut to it.
func parseTimeout(text string) (time.Duration, bool) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	if !ok || strings.Trim(number, "0123456789.") != "" {
		return 0, false
	}
	n, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(n*float64(unit), float64(maxTimeout))), true
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

// endToEndHeaders returns a copy of from without the hop-by-hop headers.
func endToEndHeaders(from http.Header) http.Header {
	to := make(http.Header, len(from)+2)
	for name, values := range from {
		to[name] = values
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(textproto.TrimString(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
		"Content-Length", "X-Server-Load",
	} {
		delete(to, name)
	}
	if to["User-Agent"] == nil {
		to["User-Agent"] = nil // keeps net/http from adding its own
	}
	return to
}
