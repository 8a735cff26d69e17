package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
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
	"syscall"
	"time"

	"arrowgw/internal/balance"
	"arrowgw/internal/wire"
)

const (
	maxBufferedBody    = 64 << 10        // bytes of a body, either way, that are held at once
	maxAnswerBytes     = 512 << 10       // bytes on the wire of an answer that is held whole, and of any answer's head
	serverStallTimeout = 5 * time.Second // a server may stand still for so long as it takes a long body
	maxInterimAnswers  = 8               // 1xx answers that are read over before the one that counts
	idleMargin         = time.Second
	// A second answer may come some milliseconds behind the first. It must find no request out on its connection.
	connReuseDelay = 10 * time.Millisecond
	// A connection whose first packet is lost comes up after a second (RFC 6298, 2.1: the initial retransmission
	// time-out), which is more than a dial's time-out may be. Another, dialled early in that, mostly comes up at once.
	maxParallelDials = 3 // for one connection, the first included
	lateDialDivisor  = 8 // and each a dial's time-out by this behind the one before
)

// outboundRequest is a request as it goes on to an upstream, but for its time-out.
type outboundRequest struct {
	id       string // X-Request-ID, for the log
	method   string
	url      *url.URL
	host     string
	header   http.Header   // end-to-end ones; not changed any more
	body     []byte        // the whole of it, or what is held
	upload   *upload       // what follows the held part; nil: nothing does
	length   int64         // of both together; -1: not told
	timeLeft time.Duration // how long the client waits once its last byte has gone out, where rest follows: less what it has waited for that to begin

	clientPresence func() presence                                // whether its client is still there; nil: it has none
	permitWrite    func(now time.Duration, address string) error  // whether its first byte may go out there; nil: it may
	onWritten      func(began, now time.Duration, address string) // hears that its last byte has gone out; may be nil
}

// clientAbsent tells whether nothing may be sent any more, as nobody is known to wait for the answer.
func (m *outboundRequest) clientAbsent() bool {
	return m != nil && m.clientPresence != nil && m.clientPresence() != present
}

// bodyConsumed tells whether the message can't be sent again, as part of its body is gone.
func (m *outboundRequest) bodyConsumed() bool { return m.upload != nil && m.upload.consumed.Load() }

// attemptResult is how an attempt ended. Where stream is set, its answer has begun, and the end is still to come.
type attemptResult struct {
	ending balance.Ending
	header http.Header
	body   []byte
	stream *stream
	load   balance.Load
}

// transport carries attempts and probes to the servers, over connections that it keeps. It is not
// http.Transport because that sends again by itself when a kept connection breaks: an attempt that
// nobody decided on.
type transport struct {
	clock           clock
	dialTimeout     time.Duration
	maxIdle         time.Duration // connections idle for longer are not used again
	reportFields    []string
	columns         wire.Columns
	probePath       string
	attemptsWritten atomic.Uint64                        // attempts whose last byte was written
	makeRoom        func(upstreams int) bool             // has clients make room for one more connection than so many
	hasRoom         func(upstreams int) bool             // tells whether there is room for it as it is
	reuseDelay      time.Duration                        // how long a connection is idle at least before it is used again
	reuseTimer      func(time.Duration) <-chan time.Time // for that
	lateDialTimer   func(time.Duration) <-chan time.Time // and for when another connection is dialled beside one
	dial            func(ctx context.Context, network, address string) (net.Conn, error)

	mu         sync.Mutex
	maxOpen    int                // connections at most
	idle       map[string][]*conn // by address, in the order of idleSince
	spareDials map[string]bool    // addresses to which a spare one is being opened
	open       int                // idle, in use or being opened
	sweepTimer *time.Timer        // set while there are idle ones
	dialled    int
	extraDials int // of these, dialled as one before was late
	stale      int // idle ones found closed by their server, or with bytes left over
	reuseWaits int // exchanges that waited as all idle ones had been used just now
	failed     failures
}

// failures count the attempts and probes that had no whole answer, for the log.
type failures struct {
	unsent      int // no connection came up, or it broke before the request was written
	reset       int // a new connection broke before the answer began
	resetReused int // and one that had been kept, which its server may have closed by then
	unreadable  int // the answer was malformed, too long or cut short
	timedOut    int
	local       int // dials that failed by this machine's own fault; they are tried again
}

// conn is a connection to a server; it carries one exchange at a time.
type conn struct {
	net.Conn
	address     string // its server's, as listed
	r           *bufio.Reader
	answerLimit io.LimitedReader // what may still be read for this answer
	idleSince   time.Duration    // or opened, until its first exchange
	reused      bool             // it has carried an exchange before
}

func newTransport(cfg *Config, c clock) *transport {
	u := &transport{
		clock: c, dialTimeout: cfg.DialTimeout, reportFields: cfg.Reports, columns: cfg.Columns,
		// Well before the server closes it: a request written from then on would end as a reset.
		maxIdle:       cfg.ConnIdle - min(idleMargin, cfg.ConnIdle/4),
		maxOpen:       cfg.upstreamConns(1),
		probePath:     "/alive",
		makeRoom:      func(int) bool { return true },
		hasRoom:       func(int) bool { return true },
		reuseTimer:    time.After,
		lateDialTimer: time.After,
		dial:          (&net.Dialer{KeepAlive: -1}).DialContext, // no use against a silent machine; the time-outs are
		idle:          make(map[string][]*conn),
		spareDials:    make(map[string]bool),
	}
	u.reuseDelay = min(connReuseDelay, u.maxIdle)
	if cfg.Policy.Reports != 0 {
		u.probePath = "/metrics/load"
	}
	return u
}

// exchange is one attempt or probe under way.
type exchange struct {
	sendBy         time.Duration // its request's last byte goes out by then or never; 0: no such bound
	clientDeadline time.Duration // its client's; 0: it has none

	mu        sync.Mutex
	cancelled bool
	withdrawn bool   // before any of it was written
	writing   bool   // its request is being written, or was
	stop      func() // ends what it is at: dialling, or its connection
}

// cancel gives the exchange up. If its request is not yet on the way, it will not be sent.
func (x *exchange) cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelled = true
	if x.stop != nil {
		x.stop()
	}
}

// withdraw calls the exchange off if nothing of its request has been written, and from then on nothing will be.
func (x *exchange) withdraw() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.writing || x.cancelled {
		return
	}
	x.withdrawn = true
	if x.stop != nil {
		x.stop()
	}
}

// enterPhase enters what cancel has to end from now on, and whether that is writing and what comes after it. It returns
// false if the exchange is given up already, and then enters nothing: a second cancel must not close a connection that
// has gone back to the pool and may serve another exchange by then.
func (x *exchange) enterPhase(writes bool, stop func()) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancelled || x.withdrawn {
		return false
	}
	x.writing, x.stop = writes, stop
	return true
}

// limitToSendBy is the earlier of a moment and the one by which the request has to have gone out.
func (x *exchange) limitToSendBy(t time.Duration) time.Duration {
	if x.sendBy == 0 {
		return t
	}
	return min(t, x.sendBy)
}

// unsentEnding is the ending where the request's last byte did not go out.
func (u *transport) unsentEnding(x *exchange, m *outboundRequest) balance.Ending {
	x.mu.Lock()
	withdrawn, cancelled := x.withdrawn, x.cancelled
	x.mu.Unlock()
	switch {
	case withdrawn:
		return balance.NotSent
	case cancelled || m != nil && m.upload != nil && m.upload.stopped.Load():
		return balance.Cancelled
	}
	u.count(&u.failed.unsent)
	return balance.NoConnection
}

func (x *exchange) isCancelled() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cancelled
}

// send starts an attempt that is given up at until; the time of one whose body still comes begins with its last
// byte. What has not gone out at by never does; 0 is no such bound. An answer that streams has to end soon behind its
// client's deadline, unless it is long. Its end goes to done, once, and before that the beginning of an answer that streams.
func (u *transport) send(address string, m *outboundRequest, until, by, deadline time.Duration, done func(attemptResult)) *exchange {
	x := &exchange{sendBy: by, clientDeadline: deadline}
	go func() {
		header := maps.Clone(m.header)
		req := &http.Request{Method: m.method, URL: m.url, Host: m.host, Header: header}
		switch {
		case m.upload != nil:
			req.Body, req.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(m.body), m.upload)), m.length
		case len(m.body) > 0:
			req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(m.body)), int64(len(m.body))
		}
		begin := func(res *http.Response, s *stream) { done(attemptResult{header: res.Header, stream: s}) }
		res, body, ending := u.roundTrip(x, address, req, m, until, begin)
		if res == nil {
			done(attemptResult{ending: ending})
			return
		}
		out := attemptResult{ending: balance.Errored, load: u.parseLoad(res.Header.Get("X-Server-Load"))}
		switch never := slices.Equal(res.Header["X-Not-Processed"], []string{"1"}); { // said in two ways it proves nothing
		case res.StatusCode == http.StatusOK:
			out.ending, out.header, out.body = balance.Served, res.Header, body
		case never && (res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusGatewayTimeout):
			out.ending = balance.TurnedAway
		}
		done(out)
	}()
	return x
}

// probe asks a server for its load report. The result goes to told, once.
func (u *transport) probe(address string, now time.Duration, told func(ok bool, load balance.Load)) {
	go func() {
		req := &http.Request{
			Method: http.MethodGet, URL: &url.URL{Path: u.probePath}, Host: address,
			Header: http.Header{"User-Agent": nil},
		}
		res, body, _ := u.roundTrip(new(exchange), address, req, nil, now+u.dialTimeout, nil)
		if res == nil {
			told(false, balance.Load{})
			return
		}
		told(res.StatusCode == http.StatusOK, u.parseLoad(string(body)))
	}()
}

// roundTrip sends a request, m where it is an attempt's, and reads its answer. Without a whole answer the ending says
// what is known: NoConnection until the last byte of the request is written, as it cannot have run before. An answer
// that is not held whole goes to begin, if there is one, and is over when exchange returns.
func (u *transport) roundTrip(
	x *exchange, address string, req *http.Request, m *outboundRequest, until time.Duration, begin func(*http.Response, *stream),
) (*http.Response, []byte, balance.Ending) {
	c, ending := u.acquireConn(x, address, m, until)
	if c == nil {
		return nil, nil, ending
	}
	if m != nil {
		left := until - u.clock.now()
		if m.upload != nil {
			left = m.timeLeft
		}
		req.Header.Set("X-Timeout", strconv.FormatInt(max(1, left.Milliseconds()), 10)+"m")
	}
	until, err := u.writeRequest(x, c, req, m, until)
	if err != nil {
		u.discard(c)
		return nil, nil, u.unsentEnding(x, m)
	}
	if m != nil && m.upload != nil { // the client's time has begun with its last byte
		x.clientDeadline = until
	}
	res, body, err := u.readAnswer(x, c, req, until, begin)
	switch {
	case err == nil && !res.Close && c.r.Buffered() == 0 && x.enterPhase(true, nil):
		u.putIdle(address, c, false)
	default: // broken, to be closed, with bytes left over behind the answer, or given up
		u.discard(c)
	}
	if err != nil {
		return nil, nil, u.failureEnding(x, c, res, err)
	}
	return res, body, balance.Served
}

// acquireConn returns a connection on which the exchange may write at once. Where there is none the ending says why.
func (u *transport) acquireConn(x *exchange, address string, m *outboundRequest, until time.Duration) (*conn, balance.Ending) {
	asked := u.clock.now()
	c, err := u.getConn(x, address, x.limitToSendBy(until))
	if m != nil && m.upload != nil {
		m.timeLeft -= u.clock.now() - asked
	}
	switch {
	case err != nil && isLocalError(err):
		return nil, balance.NotSent
	case err != nil:
		return nil, u.unsentEnding(x, m)
	}
	stop := func() { c.Conn.Close() }
	if m != nil && m.upload != nil {
		stop = func() { c.Conn.Close(); m.upload.interrupt() }
	}
	// Asked here, as word of a client's leaving may be behind others, and it has to go nowhere from now on.
	if m.clientAbsent() || m != nil && m.permitWrite != nil && m.permitWrite(u.clock.now(), address) != nil {
		x.withdraw()
	}
	if !x.enterPhase(true, stop) { // given up in the meantime: nothing may go out any more
		u.putIdle(address, c, true)
		return nil, u.unsentEnding(x, m)
	}
	return c, balance.Served
}

// readAnswer reads the answer to a request that has gone out. An error says that it has not come whole; res is not nil where
// its head has.
func (u *transport) readAnswer(
	x *exchange, c *conn, req *http.Request, until time.Duration, begin func(*http.Response, *stream),
) (res *http.Response, body []byte, err error) {
	_ = c.SetDeadline(u.clock.at(until)) // fails only on a closed connection, as the read then does
	if res, err = c.readHead(req); err != nil {
		return res, nil, err
	}
	if begin != nil && res.StatusCode == http.StatusOK && (res.ContentLength < 0 || res.ContentLength > maxBufferedBody) {
		body, err = newStream(res, c, x, u.clock).run(begin)
	} else {
		body, err = c.readBody(res)
	}
	if err == nil && c.answerLimit.N <= 0 {
		err = errors.New("the answer is too long") // else one with no length would pass for whole where it was left off
	}
	return res, body, err
}

// failureEnding says how an exchange ended whose answer has not come whole, and counts that.
func (u *transport) failureEnding(x *exchange, c *conn, res *http.Response, err error) balance.Ending {
	switch {
	case x.isCancelled():
		return balance.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded): // its own; ETIMEDOUT is the kernel's word that the connection broke
		u.count(&u.failed.timedOut)
		return balance.TimedOut
	case res != nil || c.answerLimit.N < maxAnswerBytes:
		u.count(&u.failed.unreadable)
	case c.reused:
		u.count(&u.failed.resetReused)
	default:
		u.count(&u.failed.reset)
	}
	return balance.Broken // or malformed: it may have run
}

// writeRequest sends a request's head and body, and returns until when its answer may take: a client's time begins with
// its last byte. Nothing goes out behind the exchange's bound, so that a request which passes it is cut short.
func (u *transport) writeRequest(x *exchange, c *conn, req *http.Request, m *outboundRequest, until time.Duration) (time.Duration, error) {
	began := u.clock.now()
	if m != nil && m.upload != nil {
		last := time.Time{}
		if x.sendBy > 0 {
			last = u.clock.at(x.sendBy)
		}
		out := bufio.NewWriterSize(stallWriter{c, last}, chunkSize)
		if err := req.Write(out); err != nil {
			return 0, err
		}
		if m.clientAbsent() { // its last byte has not gone out
			m.upload.interrupt()
			return 0, errRequestOver
		}
		if err := out.Flush(); err != nil {
			return 0, err
		}
		u.recordWritten(m, c, began)
		m.upload.onSent()
		return u.clock.now() + m.timeLeft, nil
	}
	// One write: it tells whether the last byte went out.
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return 0, err
	}
	_ = c.SetDeadline(u.clock.at(x.limitToSendBy(until))) // fails only on a closed connection, as the write then does
	if _, err := writeThrough(c, out.Bytes()); err != nil {
		return 0, err
	}
	if m != nil {
		u.recordWritten(m, c, began)
	}
	return until, nil
}

// recordWritten takes that the last byte of an attempt has gone out, which was begun at a moment.
func (u *transport) recordWritten(m *outboundRequest, c *conn, began time.Duration) {
	u.attemptsWritten.Add(1)
	if m.onWritten != nil {
		m.onWritten(began, u.clock.now(), c.address)
	}
}

func (u *transport) count(of *int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	*of++
}

// readHead reads the head of an answer.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.answerLimit.N = maxAnswerBytes
	for range maxInterimAnswers {
		res, err := http.ReadResponse(c.r, req)
		if err != nil || res.StatusCode/100 != 1 {
			return res, err
		}
	}
	return nil, errors.New("too many interim answers")
}

// readBody reads the body of an answer that is held whole.
func (c *conn) readBody(res *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBufferedBody+1))
	if err == nil && len(body) > maxBufferedBody {
		err = errors.New("the body is too long")
	}
	return body, err
}

// getConn returns a kept connection that still stands, or opens one.
func (u *transport) getConn(x *exchange, address string, until time.Duration) (*conn, error) {
	for {
		c, err := u.takeIdle(address)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if c.usable() && (!u.awaitReuse(x, address, c) || c.usable()) {
			return c, nil
		}
		u.count(&u.stale)
		u.discard(c)
	}
	limit := min(u.dialTimeout, until-u.clock.now())
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if !x.enterPhase(false, cancel) {
		cancel()
	}
	return u.dialHedged(ctx, address)
}

// dialHedged opens a connection that has been counted as open already. While it is late others are dialled beside it, as
// long as there is room without anyone's making it; the first to end decides. The rest is called off, and what comes
// up all the same is the pool's.
func (u *transport) dialHedged(ctx context.Context, address string) (*conn, error) {
	type ended struct {
		c   *conn
		err error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var decided atomic.Bool
	first := make(chan ended, 1)
	dial := func() {
		c, err := u.dialConn(ctx, address)
		switch {
		case decided.CompareAndSwap(false, true):
			first <- ended{c, err}
		case err == nil:
			u.putIdle(address, c, true)
		}
	}
	for n := 1; ; n++ {
		go dial()
		var over <-chan time.Time
		if n < maxParallelDials {
			over = u.lateDialTimer(u.dialTimeout / lateDialDivisor)
		}
		select {
		case e := <-first:
			return e.c, e.err
		case <-over:
		}
		if !u.reserveExtraDial() {
			e := <-first
			return e.c, e.err
		}
	}
}

// localErrors are errors of socket and connect that tell of this machine, and not of the server: they are no reason to
// think ill of it, and mostly pass at once.
var localErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.EINTR, syscall.ENETUNREACH, syscall.ENETDOWN,
}

func isLocalError(err error) bool {
	return slices.ContainsFunc(localErrors, func(e error) bool { return errors.Is(err, e) })
}

const (
	maxDialTries   = 4                    // of one connection, where this machine fails
	dialRetryDelay = 5 * time.Millisecond // between them
)

// dialWithRetry dials, and again after a failure of this machine's own.
func (u *transport) dialWithRetry(ctx context.Context, address string) (raw net.Conn, err error) {
	for range maxDialTries {
		raw, err = u.dial(ctx, "tcp", address)
		if err == nil || !isLocalError(err) {
			return raw, err
		}
		u.count(&u.failed.local)
		select {
		case <-u.reuseTimer(dialRetryDelay):
		case <-ctx.Done():
			return nil, err
		}
	}
	return nil, err
}

// dialConn opens a connection that has been counted as open.
func (u *transport) dialConn(ctx context.Context, address string) (*conn, error) {
	raw, err := u.dialWithRetry(ctx, address)
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, err
	}
	c := &conn{Conn: raw, address: address, idleSince: u.clock.now()}
	c.answerLimit.R = retryingReader{raw}
	c.r = bufio.NewReader(&c.answerLimit)
	return c, nil
}

// reserveConn counts one more connection that is to be opened, if there is room that nobody has to make. The caller holds
// the lock.
func (u *transport) reserveConn() bool {
	if u.open >= u.maxOpen || !u.hasRoom(u.open) {
		return false
	}
	u.open++
	u.dialled++
	return true
}

// reserveExtraDial counts one that is to be opened beside a late one, if there is room.
func (u *transport) reserveExtraDial() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.reserveConn() {
		return false
	}
	u.extraDials++
	return true
}

// openSpareConn opens a connection for requests to come, as all idle ones to an address have been used just now. So as many
// are kept as its requests need within quietTime, each opened once and not for each wait, and those that are not needed
// end by being idle. It is one at a time, with no other dialled where it is late, and nothing has to make room for it.
func (u *transport) openSpareConn(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.spareDials[address] || !u.reserveConn() {
		return
	}
	u.spareDials[address] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), u.dialTimeout)
		defer cancel()
		c, err := u.dialConn(ctx, address)
		if err == nil {
			u.putIdle(address, c, true)
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.spareDials, address)
	}()
}

// awaitReuse waits until a connection has rested. It returns false if the exchange is given up.
func (u *transport) awaitReuse(x *exchange, address string, c *conn) bool {
	now := u.clock.now()
	if u.reusable(c, now) {
		return true
	}
	off := make(chan struct{})
	if !x.enterPhase(false, sync.OnceFunc(func() { close(off) })) {
		return false
	}
	u.count(&u.reuseWaits)
	u.openSpareConn(address)
	select {
	case <-u.reuseTimer(c.idleSince + u.reuseDelay - now):
		return true
	case <-off:
		return false
	}
}

// reusable tells whether nothing can come on a connection any more, as it has been idle for quietTime, or nothing was
// ever asked on it.
func (u *transport) reusable(c *conn, now time.Duration) bool {
	return !c.reused || c.idleSince <= now-u.reuseDelay
}

// takeIdle returns the idle connection that was used last of those that have rested, else the one that will have been
// first; or nil once it has counted a new one that is to be opened. At the limit an idle connection to another server
// makes room.
func (u *transport) takeIdle(address string) (*conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, list := u.clock.now(), u.idle[address]
	i := len(list) - 1
	for i > 0 && !u.reusable(list[i], now) {
		i--
	}
	if i >= 0 && list[i].idleSince <= now-u.maxIdle { // it is too old, and so are those before it
		u.closeFirstIdle(address, i+1)
		list, i = u.idle[address], 0
	}
	if len(list) > 0 {
		c := list[i]
		u.idle[address] = slices.Delete(list, i, i+1)
		return c, nil
	}
	if (u.open >= u.maxOpen || !u.makeRoom(u.open)) && !u.closeOldestIdle() {
		return nil, errors.New("no descriptor is left for a connection")
	}
	u.open++
	u.dialled++
	return nil, nil
}

// countIdleSince counts the connections to an address that have been idle since then or longer. The caller holds the lock.
func (u *transport) countIdleSince(address string, then time.Duration) int {
	n := 0
	for _, c := range u.idle[address] {
		if c.idleSince <= then {
			n++
		}
	}
	return n
}

// connectionCount tells how many there are, in use, idle or being opened.
func (u *transport) connectionCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}

// setMaxConnections allows so many connections from now on, and closes idle ones above that.
func (u *transport) setMaxConnections(most int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxOpen = most
	for u.open > most && u.closeOldestIdle() {
	}
}

// closeOldestIdle closes the connection that has been idle longest, if there is one. The caller holds the lock.
func (u *transport) closeOldestIdle() bool {
	oldest, since := "", time.Duration(math.MaxInt64)
	for a, list := range u.idle {
		if len(list) > 0 && list[0].idleSince < since {
			oldest, since = a, list[0].idleSince
		}
	}
	if oldest == "" {
		return false
	}
	u.closeFirstIdle(oldest, 1)
	return true
}

// closeFirstIdle closes the first n idle connections to an address. The caller holds the lock.
func (u *transport) closeFirstIdle(address string, n int) {
	list := u.idle[address]
	for _, c := range list[:n] {
		c.Conn.Close()
	}
	u.open -= n
	if rest := list[n:]; len(rest) > 0 {
		u.idle[address] = rest
	} else {
		delete(u.idle, address)
	}
}

// putIdle puts a connection back. Where it was not used, its server has counted it as idle all the while.
func (u *transport) putIdle(address string, c *conn, unused bool) {
	_ = c.SetDeadline(time.Time{}) // a closed one is found out before it is used
	u.mu.Lock()
	defer u.mu.Unlock()
	if !unused {
		c.idleSince, c.reused = u.clock.now(), true
	}
	u.idle[address] = slices.Insert(u.idle[address], u.countIdleSince(address, c.idleSince), c)
	if u.sweepTimer == nil {
		u.sweepTimer = time.AfterFunc(u.maxIdle, u.closeExpired)
	}
}

// closeExpired closes the connections that have been idle for too long.
func (u *transport) closeExpired() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, next := u.clock.now(), time.Duration(math.MaxInt64)
	for address, list := range u.idle {
		old := 0
		for old < len(list) && now-list[old].idleSince >= u.maxIdle {
			old++
		}
		if old < len(list) {
			next = min(next, list[old].idleSince+u.maxIdle-now)
		}
		u.closeFirstIdle(address, old)
	}
	u.sweepTimer = nil
	if len(u.idle) > 0 {
		u.sweepTimer = time.AfterFunc(next, u.closeExpired)
	}
}

// closeIdle closes the idle connections to an address.
func (u *transport) closeIdle(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closeFirstIdle(address, len(u.idle[address]))
}

func (u *transport) discard(c *conn) {
	c.Conn.Close()
	u.mu.Lock()
	u.open--
	u.mu.Unlock()
}

// usable tells whether an idle connection still stands: its server has neither closed or reset it
// (at its idle time-out, when it drains, when it restarts) nor sent what nobody asked for.
func (c *conn) usable() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	standing := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		standing = err == syscall.EAGAIN
		return true // never wait
	})
	return err == nil && standing
}

// counters are for the log.
func (u *transport) counters() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return map[string]int{
		"open": u.open, "dialled": u.dialled, "beside": u.extraDials, "stale": u.stale, "quiet": u.reuseWaits, "unsent": u.failed.unsent, "reset": u.failed.reset,
		"resetKept": u.failed.resetReused, "unreadable": u.failed.unreadable, "timedOut": u.failed.timedOut,
		"own": u.failed.local,
	}
}

// parseLoad reads a report of the form "TEXT name=value, name=value".
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
