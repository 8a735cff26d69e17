package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"arrowgw/internal/balance"
	"arrowgw/internal/wire"
	"arrowgw/policy"
)

const (
	maxBufferedBody = 64 << 10    // bytes of a request or answer body that are buffered at once
	idleMargin      = time.Second // connections are closed this long before their server would close them
	// A faulty server may send a second answer some milliseconds after the first. It must not find another request in
	// flight on its connection.
	connReuseDelay = 10 * time.Millisecond
	// A connection whose first packet is lost is established only after the initial retransmission time-out of one second
	// (RFC 6298, section 2.1), which may exceed the dial time-out. A second connection, dialled before that, is
	// usually established at once.
	maxParallelDials = 3 // dials for one connection, including the first
	lateDialDivisor  = 8 // another dial starts when the previous one has taken dialTimeout/lateDialDivisor
)

// attemptResult is the result of an attempt. If stream is set, the answer has begun and a second result will report
// its end.
type attemptResult struct {
	ending balance.Ending
	header http.Header
	body   []byte
	stream *stream
	load   balance.Load
}

// transport carries attempts and probes to the servers over a pool of persistent connections. It takes the place of
// http.Transport, which resends a request by itself when a persistent connection breaks: that would be an attempt the
// policy did not decide on.
type transport struct {
	clock           clock
	dialTimeout     time.Duration
	maxIdle         time.Duration // connections that have been idle for longer are closed
	reportFields    []string      // names of a load report's fields, in the order of columns
	columns         wire.Columns
	probePath       string                                    // path of the probes' requests
	attemptsWritten atomic.Uint64                             // attempts whose last byte was written
	makeRoom        func(upstreams int) bool                  // closes client connections until one more upstream connection fits; false if it can't
	hasRoom         func(upstreams int) bool                  // reports whether one more upstream connection fits without closing any
	answerEnd       func(arrived time.Duration) time.Duration // when the answer to a request that arrived then has to end as the process stops; 0 if it need not
	reuseDelay      time.Duration                             // how long a connection is idle at least before it is used again
	waitTimer       func(time.Duration) <-chan time.Time      // time.After, for the reuse delay and between dials; replaced in tests
	lateDialTimer   func(time.Duration) <-chan time.Time      // time.After, for the start of another dial; replaced in tests
	dial            func(ctx context.Context, network, address string) (net.Conn, error)

	memory *memoryAccount

	mu         sync.Mutex
	maxOpen    int                // limit of open
	idle       map[string][]*conn // by address, in the order of idleSince
	spareDials map[string]bool    // addresses to which a spare connection is being opened
	open       int                // connections that are idle, in use or being opened
	sweepTimer *time.Timer        // set while there are idle connections
	dialled    int                // connections dialled so far
	extraDials int                // dialled because an earlier dial was late
	stale      int                // idle connections found closed by their server or with unread bytes
	reuseWaits int                // exchanges that waited because all idle connections had just been used
	failed     failures
}

// failures counts, for the log, the attempts and probes that received no complete answer.
type failures struct {
	unsent      int // no connection was established, or it broke before the request was written
	reset       int // a new connection broke before the answer began
	resetReused int // a reused connection broke before the answer began; its server may have closed it at that moment
	unreadable  int // the answer was malformed, too long or cut short
	timedOut    int // the answer was not complete in time
	local       int // dials that failed for a reason of this machine; they are retried
}

// conn is a connection to a server. It carries one exchange at a time.
type conn struct {
	net.Conn
	address     string // of the server, as listed
	r           *bufio.Reader
	answers     *answerReader    // what r reads from
	answerLimit io.LimitedReader // bounds what is read for the current answer
	idleSince   time.Duration    // end of the last exchange, or when the connection was opened
	reused      bool             // has carried an exchange before
}

// newTransport returns a transport without connections, for a sidecar that has one process.
func newTransport(cfg *Config, c clock) *transport {
	u := &transport{
		clock: c, dialTimeout: cfg.DialTimeout, reportFields: cfg.LoadReportFields, columns: cfg.LoadReportColumns,
		// A request written as the server closes the connection would end as a reset.
		maxIdle:       cfg.UpstreamIdleTimeout - min(idleMargin, cfg.UpstreamIdleTimeout/4),
		maxOpen:       cfg.upstreamConnLimit(1),
		probePath:     "/alive",
		makeRoom:      func(int) bool { return true },
		hasRoom:       func(int) bool { return true },
		answerEnd:     func(time.Duration) time.Duration { return 0 },
		waitTimer:     time.After,
		lateDialTimer: time.After,
		dial:          (&net.Dialer{KeepAlive: -1}).DialContext, // keep-alive probes would find a silent machine later than the time-outs do
		idle:          make(map[string][]*conn),
		spareDials:    make(map[string]bool),
	}
	u.reuseDelay = min(connReuseDelay, u.maxIdle)
	if cfg.Policy.Reports != 0 {
		u.probePath = "/metrics/load"
	}
	return u
}

// unsentEnding returns the ending of an exchange whose request was not written completely.
func (u *transport) unsentEnding(x *exchange, outbound *outboundRequest) balance.Ending {
	x.mu.Lock()
	withdrawn, cancelled := x.withdrawn, x.cancelled
	x.mu.Unlock()
	switch {
	case withdrawn:
		return balance.NotSent
	case cancelled || outbound != nil && outbound.upload != nil && outbound.upload.stopped.Load():
		return balance.Cancelled
	}
	u.count(&u.failed.unsent)
	return balance.NoConnection
}

// send starts an attempt, which is abandoned at abandonAt; for a request with an upload that time counts from the last
// byte on. A request that is not written completely by sendBy is cut short; 0 means no such bound. A streamed answer
// has to end soon after clientDeadline unless it is long. done is called once with the end of the attempt, and before
// that with the beginning of an answer that streams.
func (u *transport) send(address string, outbound *outboundRequest, abandonAt, sendBy, clientDeadline time.Duration, done func(attemptResult)) *exchange {
	x := &exchange{sendBy: sendBy, clientDeadline: clientDeadline, memory: outbound.memory}
	req := outbound.newRequest()
	go func() {
		onBegin := func(res *http.Response, s *stream) { done(attemptResult{header: res.Header, stream: s}) }
		res, body, ending := u.roundTrip(x, address, req, outbound, abandonAt, onBegin)
		if res == nil {
			done(attemptResult{ending: ending})
			return
		}
		result := attemptResult{ending: balance.Errored, load: u.parseLoad(res.Header.Get("X-Server-Load"))}
		switch notProcessed := slices.Equal(res.Header["X-Not-Processed"], []string{"1"}); { // contradicting header lines prove nothing
		case res.StatusCode == http.StatusOK:
			result.ending, result.header, result.body = balance.Served, res.Header, body
		case notProcessed && (res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusGatewayTimeout):
			result.ending = balance.TurnedAway
		}
		done(result)
	}()
	return x
}

// probe requests the load report of a server and calls report once with the result.
func (u *transport) probe(address string, now time.Duration, report func(ok bool, load balance.Load)) {
	go func() {
		req := &http.Request{
			Method: http.MethodGet, URL: &url.URL{Path: u.probePath}, Host: address,
			Header: http.Header{"User-Agent": nil},
		}
		res, body, _ := u.roundTrip(new(exchange), address, req, nil, now+u.dialTimeout, nil)
		if res == nil {
			report(false, balance.Load{})
			return
		}
		report(res.StatusCode == http.StatusOK, u.parseLoad(string(body)))
	}()
}

// roundTrip sends a request and reads its answer; outbound is nil for a probe. If the last byte of the request is not
// written, the request can't have run, and the ending is NoConnection, NotSent or Cancelled. If onBegin is set, an
// answer that is too long to be buffered is streamed: onBegin is called when the stream begins, and roundTrip returns
// when it has ended.
func (u *transport) roundTrip(
	x *exchange, address string, req *http.Request, outbound *outboundRequest, deadline time.Duration, onBegin func(*http.Response, *stream),
) (*http.Response, []byte, balance.Ending) {
	c, ending := u.acquireConn(x, address, outbound, deadline)
	if c == nil {
		return nil, nil, ending
	}
	if outbound != nil {
		left := deadline - u.clock.now()
		if outbound.upload != nil {
			left = outbound.uploadTimeLeft(u.clock.now())
		}
		req.Header.Set("X-Timeout", strconv.FormatInt(max(1, left.Milliseconds()), 10)+"m")
	}
	deadline, err := u.writeRequest(x, c, req, outbound, deadline)
	if err != nil {
		u.discard(c)
		return nil, nil, u.unsentEnding(x, outbound)
	}
	req.Body = nil                                 // the answer keeps a reference to its request
	if outbound != nil && outbound.upload != nil { // the client's deadline counts from its last byte
		x.clientDeadline = deadline
	}
	if outbound != nil {
		x.finalEnd = u.answerEnd(outbound.arrivedAt())
	}
	res, body, err := u.readAnswer(x, c, req, deadline, onBegin)
	if err != nil {
		c.answers.releaseHead()
	}
	switch {
	case err == nil && !res.Close && c.r.Buffered() == 0 && x.enterPhase(true, nil):
		u.putIdle(address, c, false)
	default: // broken, to be closed, with unread bytes after the answer, or cancelled
		u.discard(c)
	}
	if err != nil {
		return nil, nil, u.failureEnding(x, c, res, err)
	}
	return res, body, balance.Served
}

// acquireConn returns a connection on which the exchange may write at once, or nil and the ending of the exchange.
func (u *transport) acquireConn(x *exchange, address string, outbound *outboundRequest, deadline time.Duration) (*conn, balance.Ending) {
	start := u.clock.now()
	c, err := u.getConn(x, address, x.limitToSendBy(deadline))
	if outbound != nil && outbound.upload != nil {
		outbound.timeLeft -= u.clock.now() - start
	}
	switch {
	case err != nil && isLocalError(err):
		return nil, balance.NotSent
	case err != nil:
		return nil, u.unsentEnding(x, outbound)
	}
	x.memory.releaseConnection() // a reused connection has been counted all along
	stop := func() { c.Conn.Close() }
	if outbound != nil && outbound.upload != nil {
		stop = func() { c.Conn.Close(); outbound.upload.interrupt() }
	}
	// The loop may learn later than this that the client has left, but from now on nothing may be sent for it.
	if outbound.clientAbsent() || outbound != nil && outbound.permitWrite != nil && outbound.permitWrite(u.clock.now(), address) != nil {
		x.withdraw()
	}
	if !x.enterPhase(true, stop) { // cancelled in the meantime: nothing may be written any more
		u.putIdle(address, c, true)
		return nil, u.unsentEnding(x, outbound)
	}
	return c, balance.Served
}

// failureEnding counts an exchange whose request was written but not answered completely, and returns its ending.
func (u *transport) failureEnding(x *exchange, c *conn, res *http.Response, err error) balance.Ending {
	switch {
	case x.isCancelled():
		return balance.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded): // the exchange's own time-out; ETIMEDOUT means that the connection broke
		u.count(&u.failed.timedOut)
		return balance.TimedOut
	case res != nil || c.answerLimit.N < maxAnswerBytes:
		u.count(&u.failed.unreadable)
	case c.reused:
		u.count(&u.failed.resetReused)
	default:
		u.count(&u.failed.reset)
	}
	return balance.Broken // or malformed; either way the request may have run
}

// writeRequest writes a request's head and body and returns the deadline for its answer, which for an upload counts
// from the last byte. A request that is not written completely by the exchange's sendBy is cut short.
func (u *transport) writeRequest(x *exchange, c *conn, req *http.Request, outbound *outboundRequest, deadline time.Duration) (time.Duration, error) {
	if outbound != nil && outbound.upload != nil {
		return u.writeUpload(x, c, req, outbound)
	}
	began := u.clock.now()
	// A single write shows whether the last byte went out.
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return 0, err
	}
	_ = c.SetDeadline(u.clock.toTime(x.limitToSendBy(deadline))) // fails only on a closed connection, as the write then does
	if _, err := writeRetrying(c, out.Bytes()); err != nil {
		return 0, err
	}
	if outbound != nil {
		u.recordWritten(outbound, c, began)
	}
	return deadline, nil
}

// writeUpload writes a request whose body is not buffered whole, and returns the client's deadline. A request that is not
// written completely by that deadline or by the exchange's sendBy is cut short.
func (u *transport) writeUpload(x *exchange, c *conn, req *http.Request, outbound *outboundRequest) (time.Duration, error) {
	began := u.clock.now()
	out := bufio.NewWriterSize(&uploadWriter{conn: c, clock: u.clock, outbound: outbound, sendBy: x.sendBy}, chunkSize)
	if err := req.Write(out); err != nil {
		return 0, err
	}
	if outbound.clientAbsent() { // the last byte has not been written yet
		outbound.upload.interrupt()
		return 0, errRequestOver
	}
	if err := out.Flush(); err != nil {
		return 0, err
	}
	outbound.memory.release(policy.Uploads, uploadBuffers) // no further attempt can forward it
	u.recordWritten(outbound, c, began)
	outbound.upload.noteArrival(u.clock.now(), outbound.timeLeft)
	return outbound.upload.deadline, nil
}

// recordWritten counts an attempt whose last byte has been written, and reports it to the request's owner. began is when
// writing began.
func (u *transport) recordWritten(outbound *outboundRequest, c *conn, began time.Duration) {
	u.attemptsWritten.Add(1)
	if outbound.onWritten != nil {
		outbound.onWritten(began, u.clock.now(), c.address)
	}
}

// count adds 1 to a counter under the lock.
func (u *transport) count(counter *int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	*counter++
}

// counters returns the transport's counters for the log, by name.
func (u *transport) counters() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return map[string]int{
		"open": u.open, "dialled": u.dialled, "beside": u.extraDials, "stale": u.stale, "quiet": u.reuseWaits, "unsent": u.failed.unsent, "reset": u.failed.reset,
		"resetKept": u.failed.resetReused, "unreadable": u.failed.unreadable, "timedOut": u.failed.timedOut,
		"own": u.failed.local,
	}
}

// parseLoad parses a load report of the form "TEXT name=value, name=value". Fields that are missing or malformed count as
// absent.
func (u *transport) parseLoad(report string) balance.Load {
	report, ok := strings.CutPrefix(strings.TrimSpace(report), "TEXT ")
	if !ok {
		return balance.Load{}
	}
	values := wire.Report{N: min(len(u.reportFields), len(wire.Report{}.Values))}
	for i := range values.N {
		values.Values[i] = float32(math.NaN()) // absent
	}
	for field := range strings.SplitSeq(report, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		for i := range values.N {
			if u.reportFields[i] == name {
				if v, err := strconv.ParseFloat(value, 32); err == nil {
					values.Values[i] = float32(v)
				}
			}
		}
	}
	return u.columns.Load(values)
}
