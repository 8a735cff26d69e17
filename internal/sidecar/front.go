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
)

const (
	headTime    = 2500 * time.Millisecond // a client may take this long over a head; one that connects is owed an end in 3 s
	writeTime   = 2 * time.Second         // and this long to take its answer
	clientIdle  = 2250 * time.Millisecond // a connection may stand idle for so long; it is safe to close after 2 s
	leftEvery   = 100 * time.Millisecond  // how often it is looked whether a client that waits is still there
	headerLimit = 32 << 10
	longestWait = time.Hour // figures above this mean the same to everyone
)

// front is the application's side.
type front struct {
	cfg          *Config
	clock        clock
	loop         *loop
	clients      *clients
	openRequests atomic.Int64 // requests with no answer yet
	uploads      atomic.Int64 // and of these, those whose last byte is still to come: they are not taken yet
	tallies      []tally      // those that had theirs, by class
	streams      struct {     // answers passed on as they come, for the log
		begun  atomic.Int64
		now    atomic.Int64 // under way
		broken atomic.Int64 // by their server, or cut off as it stood still
		still  atomic.Int64 // cut off as the client did
	}
	ready      atomic.Bool // no stop was asked for
	stopLimits atomic.Pointer[stopLimits]
	rulesAllow func() bool // rules allow it
}

// up is what GET /up tells.
func (f *front) isUp() bool { return f.ready.Load() && f.rulesAllow() }

// tally counts the requests of a class by their answer.
type tally struct{ completed, rejected, failed atomic.Uint64 }

// count takes that a request was answered.
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

func newFront(cfg *Config, c clock, l *loop, k *clients) *front {
	return &front{cfg: cfg, clock: c, loop: l, clients: k, rulesAllow: func() bool { return true }, tallies: make([]tally, len(cfg.Policy.Classes))}
}

// server is the HTTP server that serves the application.
func (f *front) server() *http.Server {
	return &http.Server{
		Handler: f, ReadHeaderTimeout: headTime, WriteTimeout: writeTime, IdleTimeout: clientIdle, MaxHeaderBytes: headerLimit,
		DisableGeneralOptionsHandler: true, // it would answer OPTIONS * with 200: nobody is owed that here
		ConnState:                    f.clients.connStateChanged, ConnContext: f.clients.connContext,
	}
}

// counters are for the log.
func (f *front) counters() map[string]int {
	counts := f.clients.counters()
	counts["held"], counts["uploads"] = int(f.openRequests.Load()), int(f.uploads.Load())
	counts["streams"], counts["broken"] = int(f.streams.begun.Load()), int(f.streams.broken.Load())
	counts["still"] = int(f.streams.still.Load())
	return counts
}

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/up" && r.Method == http.MethodGet {
		if !f.isUp() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if r.ContentLength != 0 { // until receive knows better: a body that nobody reads holds no connection
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyStallTimeout)) // fails only on a closed one
	}
	if len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1) {
		// What follows such a body is not checked (see framing), and HTTP/1.0 knows no chunks.
		w.Header().Set("Connection", "close")
	}
	q, left, err := f.parseRequest(r)
	if err != nil {
		reject(w, err.Error(), http.StatusBadRequest)
		return
	}
	m := &outboundRequest{id: r.Header.Get("X-Request-ID"), method: r.Method, url: r.URL, host: r.Host, header: endToEnd(r.Header), length: r.ContentLength, timeLeft: left}
	if err := f.readBody(w, r, m); err != nil {
		f.rejectBody(w, err)
		return
	}
	f.serveRequest(w, r, q, m)
}

// take takes a request on that has come, or whose held part has, and answers it.
func (f *front) serveRequest(w http.ResponseWriter, r *http.Request, q balance.Request, m *outboundRequest) {
	arrived := f.clock.now() // the client's time began with the last byte; that of a longer body's is still to come
	if m.upload == nil {
		arrived -= max(0, f.clients.sinceLastRead(r.Context()))
	}
	m.timeLeft = f.stopLimits.Load().bound(arrived, m.timeLeft)
	if !f.clients.requestReceived(r.Context()) { // its connection has made room for others, and closes with a refusal
		f.loop.trace.unanswered(m.id, closedRoomPartial, f.clock.now()-arrived)
		panic(http.ErrAbortHandler)
	}
	defer f.openRequests.Add(-1)
	held := f.openRequests.Add(1)
	full, leaving := f.clients.overLimit(held)
	if full || leaving { // descriptors run out, or another process serves here: this one ends with its answer
		w.Header().Set("Connection", "close")
	}
	barred := !f.rulesAllow() // by rules, which were not those of before
	if full && !leaving || barred || f.cfg.MostOpen > 0 && held > int64(f.cfg.MostOpen) {
		f.reply(w, r, q.Class, answer{status: http.StatusServiceUnavailable, retryAfter: f.retryAfter()}, m.upload)
		return
	}
	if m.upload != nil {
		f.uploads.Add(1)
		m.upload.onSent = sync.OnceFunc(func() { f.uploads.Add(-1) })
		defer m.upload.onSent()
	}
	m.clientPresence = func() presence { return f.clients.presenceOf(r.Context()) }
	if m.clientPresence() == clientGone { // while the request waited to be read
		f.abandon(m, arrived)
	}
	f.loop.trace.logStep("request taken", m.id, slog.Duration("left", m.timeLeft), slog.Int64("held", held))
	f.awaitAnswer(w, r, q, m, arrived)
}

// await asks for a request's answer, and passes it on. Where the client leaves before, or breaks its body off, the
// request ends.
func (f *front) awaitAnswer(w http.ResponseWriter, r *http.Request, q balance.Request, m *outboundRequest, arrived time.Duration) {
	reply, broken := make(chan answer, 1), (chan error)(nil)
	if m.upload != nil {
		broken = m.upload.readErr
	}
	id, look := f.loop.submit(q, m, arrived+m.timeLeft, reply), time.NewTicker(leftEvery)
	defer look.Stop()
	incomplete := false // its client has not sent all of it
	defer func() { f.loop.guard.HandlerEnded(f.clock.now(), id, incomplete) }()
	ctx := r.Context()
	for cancelled := ctx.Done(); ; {
		select {
		case a := <-reply:
			f.reply(w, r, q.Class, a, m.upload)
			return
		case err := <-broken:
			incomplete = true
			f.loop.clientGone(id)
			m.upload.stop()
			f.rejectBody(w, err)
			return
		case <-look.C:
		case <-cancelled: // net/http's word for any read that fails, also one that was interrupted
			cancelled = nil
		}
		if f.clients.presenceOf(ctx) != clientGone {
			continue
		}
		f.loop.guard.ClientLeft(f.clock.now(), id)
		f.loop.clientGone(id) // the client has closed its connection
		if m.upload != nil {
			m.upload.stop()
		}
		f.abandon(m, arrived)
	}
}

// abandon closes the connection of a client that has left, with no answer: net/http's way to do that is a panic.
func (f *front) abandon(m *outboundRequest, arrived time.Duration) {
	f.loop.trace.unanswered(m.id, closedClientLeft, f.clock.now()-arrived)
	panic(http.ErrAbortHandler)
}

// receive reads a request's body into m: whole, or as far as it is held.
func (f *front) readBody(w http.ResponseWriter, r *http.Request, m *outboundRequest) error {
	if r.ContentLength > maxRequestBody {
		return errBodyTooLarge
	}
	body := &pacedBody{body: r.Body, setReadDeadline: http.NewResponseController(w).SetReadDeadline, clientTime: f.clients.firstHeadTime(r.Context())}
	var err error
	if r.ContentLength >= 0 {
		m.body = make([]byte, min(r.ContentLength, maxBufferedBody))
		_, err = io.ReadFull(body, m.body)
	} else {
		m.body, err = io.ReadAll(io.LimitReader(body, maxBufferedBody))
	}
	switch {
	case err != nil:
		return err
	case r.ContentLength > maxBufferedBody || r.ContentLength < 0 && len(m.body) == maxBufferedBody:
		m.upload = newUpload(body)
	default:
		m.length = int64(len(m.body))
	}
	return nil
}

// rejectBody answers a request whose body has not come, and ends the connection.
func (f *front) rejectBody(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var late net.Error
	switch {
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.As(err, &late) && late.Timeout():
		status = http.StatusRequestTimeout
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTime)) // fails only on a closed connection
	reject(w, "body: "+err.Error(), status)
}

// reply passes a final answer on. Its request's body may not have come to its end by then.
func (f *front) reply(w http.ResponseWriter, r *http.Request, class int, a answer, rest *upload) {
	out := http.NewResponseController(w)
	_ = out.SetWriteDeadline(time.Now().Add(writeTime)) // fails only on a closed connection, as this and the next do
	if _, leaving := f.clients.overLimit(0); leaving {  // since the request came
		w.Header().Set("Connection", "close")
	}
	switch {
	case a.stream != nil:
		f.sendStream(w, r, class, a)
	case rest != nil && !rest.complete.Load():
		rest.stop()
		_ = out.EnableFullDuplex()            // or the answer would wait for the rest of the body
		w.Header().Set("Connection", "close") // net/http may still read on when it takes the next request
		f.sendAnswer(w, class, a)
		_ = out.Flush()
		rest.drain()
	default:
		f.sendAnswer(w, class, a)
	}
}

// pass sends an answer on as it comes from its server, and is where such a one is counted. A client that gets no
// end must see that.
func (f *front) sendStream(w http.ResponseWriter, r *http.Request, class int, a answer) {
	a.setHeaders(w)
	if n := a.stream.contentLength(); n >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	f.streams.begun.Add(1)
	f.streams.now.Add(1)
	defer f.streams.now.Add(-1)
	began, why := f.clock.now(), closedClientLeft
	if err := a.stream.copyTo(r.Context(), w); err != nil {
		switch {
		case errors.Is(err, errAnswerCutShort):
			f.streams.broken.Add(1)
			why = closedServerBroke
		case errors.Is(err, os.ErrDeadlineExceeded):
			f.streams.still.Add(1)
			why = closedClientStalled
		}
		f.loop.trace.unanswered(r.Header.Get("X-Request-ID"), why, f.clock.now()-began)
		f.tallies[class].count(http.StatusBadGateway)
		a.stream.abort()
		panic(http.ErrAbortHandler)
	}
	f.tallies[class].count(http.StatusOK)
}

// read takes what a request says of itself. What is missing or malformed is an error, whose text
// is for the client.
func (f *front) parseRequest(r *http.Request) (q balance.Request, left time.Duration, err error) {
	h := r.Header
	for _, name := range []string{"X-Request-Id", "X-Priority-Class", "X-Tenant-Id", "X-Timeout", "Idempotency-Key"} {
		if len(h[name]) > 1 { // who reads it next may take the other one
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
	if left, ok = parseTimeout(h.Get("X-Timeout")); !ok {
		return q, 0, errors.New("X-Timeout is missing or malformed")
	}
	if cost := h.Get("X-Cost"); cost != "" {
		if q.Work, ok = parseTimeout(cost + "u"); !ok {
			return q, 0, errors.New("X-Cost is malformed")
		}
	}
	if key := h.Get("X-Route-Key"); key != "" {
		sum := fnv.New64a()
		_, _ = io.WriteString(sum, key) // a hash takes everything
		q.Key = sum.Sum64()
	}
	q.ClientRetry = h.Get("X-Retried") == "1"
	return q, left, nil
}

// duration reads a number with the unit m (milliseconds) or u (microseconds).
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
	return time.Duration(min(n*float64(unit), float64(longestWait))), true
}

// answer sends a request's final answer, and is the one place that counts it.
func (f *front) sendAnswer(w http.ResponseWriter, class int, a answer) {
	f.tallies[class].count(a.status)
	a.write(w)
}

// write sends the final answer to the client.
func (a answer) write(w http.ResponseWriter) {
	switch a.status {
	case http.StatusOK:
		a.setHeaders(w)
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
		_, _ = w.Write(a.body) // it fails if the client has gone: nobody is left to tell
	case http.StatusServiceUnavailable:
		writeRefusal(w, a.retryAfter)
	default:
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(a.status)
	}
}

// head sets the headers of a served answer, but for its length.
func (a answer) setHeaders(w http.ResponseWriter) {
	for name, values := range endToEnd(a.header) {
		w.Header()[name] = values
	}
	if a.header["Content-Type"] == nil {
		w.Header()["Content-Type"] = nil // not to be guessed
	}
}

// pause is the advice with the front's own refusals: no longer than clients heed, and spread, as they come in crowds.
func (f *front) retryAfter() time.Duration {
	most := min(time.Second, f.cfg.Policy.MaxRetryAfter)
	return most/2 + rand.N(most/2+1)
}

// refuse answers that trying again is harmless, best after the pause.
func writeRefusal(w http.ResponseWriter, pause time.Duration) {
	if pause > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0") // else it has no end before its handler's
	w.WriteHeader(http.StatusServiceUnavailable)
}

// reject answers what is no proper request, at once, and ends the connection: the application does
// not send such, and whoever does may send more of it, leave its body out or stay.
func reject(w http.ResponseWriter, why string, status int) {
	w.Header().Set("Connection", "close")
	http.Error(w, why, status)
}

// endToEnd copies the headers that are meant for the other end, not for this connection.
func endToEnd(from http.Header) http.Header {
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
		to["User-Agent"] = nil // none was given, so none is made up
	}
	return to
}
