package sidecar

import (
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"arrowgw/internal/balance"
)

const (
	headTimeout          = 2500 * time.Millisecond // for a request's head; an inactive connection must be closed within 3 s
	writeTimeout         = 2 * time.Second         // for the client to read its answer
	clientIdleTimeout    = 2250 * time.Millisecond // for an idle connection; closing one is safe after 2 s
	presencePollInterval = 100 * time.Millisecond  // how often a waiting client is checked for having disconnected
	maxHeaderBytes       = 32 << 10
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
	f.clients.beginRequest(r.Context())
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
		// Data after a chunked body is not checked (see framing). A client of HTTP/1.0 may wait for the end of the connection.
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
	m.arrived, m.timeLeft = arrived, f.stopLimits.Load().bound(arrived, m.timeLeft)
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
	m.clientPresence = func() presence { return f.clients.queryPresence(r.Context(), m.wholeBodyRead()) }
	if m.clientPresence() == clientGone { // the client left while the request waited to be read
		f.abortConnection(m, arrived)
	}
	if f.loop.isRepeated(q.Class, m.id) {
		f.loop.trace.logRepeated(m.id)
		m.releaseMemory()
		f.reply(w, r, q.Class, answer{status: http.StatusConflict}, m.upload)
		return
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
		if f.clients.queryPresence(ctx, m.wholeBodyRead()) != clientGone {
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
