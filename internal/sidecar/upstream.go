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
	maxBufferedBody = 64 << 10        // bytes of a body, either way, that are held at once
	answerLimit     = 512 << 10       // bytes on the wire of an answer that is held whole, and of any answer's head
	stillTime       = 5 * time.Second // a server may stand still for so long as it takes a long body
	interimMost     = 8               // 1xx answers that are read over before the one that counts
	idleMargin      = time.Second
	// A second answer may come some milliseconds behind the first. It must find no request out on its connection.
	quietTime = 10 * time.Millisecond
	// A connection whose first packet is lost comes up after a second (RFC 6298, 2.1: the initial retransmission
	// time-out), which is more than a dial's time-out may be. Another, dialled early in that, mostly comes up at once.
	dialsMost = 3 // for one connection, the first included
	lateShare = 8 // and each a dial's time-out by this behind the one before
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
	permit         func(now time.Duration, address string) error  // whether its first byte may go out there; nil: it may
	written        func(began, now time.Duration, address string) // hears that its last byte has gone out; may be nil
}

// over tells whether nothing may be sent any more, as nobody is known to wait for the answer.
func (m *outboundRequest) over() bool {
	return m != nil && m.clientPresence != nil && m.clientPresence() != clientPresent
}

// spent tells whether the message can't be sent again, as part of its body is gone.
func (m *outboundRequest) spent() bool { return m.upload != nil && m.upload.taken.Load() }

// result is how an attempt ended. Where stream is set, its answer has begun, and the end is still to come.
type result struct {
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
	keep            time.Duration // connections idle for longer are not used again
	reports         []string
	columns         wire.Columns
	probePath       string
	attemptsWritten atomic.Uint64                        // attempts whose last byte was written
	makeRoom        func(upstreams int) bool             // has clients make room for one more connection than so many
	hasRoom         func(upstreams int) bool             // tells whether there is room for it as it is
	quietTime       time.Duration                        // how long a connection is idle at least before it is used again
	after           func(time.Duration) <-chan time.Time // for that
	lateAfter       func(time.Duration) <-chan time.Time // and for when another connection is dialled beside one
	dial            func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	most    int                // connections at most
	idle    map[string][]*conn // by address, in the order of idleSince
	spares  map[string]bool    // addresses to which a spare one is being opened
	open    int                // idle, in use or being opened
	sweeper *time.Timer        // set while there are idle ones
	dialled int
	beside  int // of these, dialled as one before was late
	stale   int // idle ones found closed by their server, or with bytes left over
	quiet   int // exchanges that waited as all idle ones had been used just now
	failed  failures
}

// failures count the attempts and probes that had no whole answer, for the log.
type failures struct {
	unsent     int // no connection came up, or it broke before the request was written
	reset      int // a new connection broke before the answer began
	resetKept  int // and one that had been kept, which its server may have closed by then
	unreadable int // the answer was malformed, too long or cut short
	timedOut   int
	own        int // dials that failed by this machine's own fault; they are tried again
}

// conn is a connection to a server; it carries one exchange at a time.
type conn struct {
	net.Conn
	address   string // its server's, as listed
	r         *bufio.Reader
	limit     io.LimitedReader // what may still be read for this answer
	idleSince time.Duration    // or opened, until its first exchange
	kept      bool             // it has carried an exchange before
}

func newTransport(cfg *Config, c clock) *transport {
	u := &transport{
		clock: c, dialTimeout: cfg.DialTimeout, reports: cfg.LoadReportFields, columns: cfg.LoadReportColumns,
		// Well before the server closes it: a request written from then on would end as a reset.
		keep:      cfg.UpstreamIdleTimeout - min(idleMargin, cfg.UpstreamIdleTimeout/4),
		most:      cfg.upstreamConnLimit(1),
		probePath: "/alive",
		makeRoom:  func(int) bool { return true },
		hasRoom:   func(int) bool { return true },
		after:     time.After,
		lateAfter: time.After,
		dial:      (&net.Dialer{KeepAlive: -1}).DialContext, // no use against a silent machine; the time-outs are
		idle:      make(map[string][]*conn),
		spares:    make(map[string]bool),
	}
	u.quietTime = min(quietTime, u.keep)
	if cfg.Policy.Reports != 0 {
		u.probePath = "/metrics/load"
	}
	return u
}

// exchange is one attempt or probe under way.
type exchange struct {
	by       time.Duration // its request's last byte goes out by then or never; 0: no such bound
	deadline time.Duration // its client's; 0: it has none

	mu        sync.Mutex
	cancelled bool
	withdrawn bool   // before any of it was written
	writes    bool   // its request is being written, or was
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
	if x.writes || x.cancelled {
		return
	}
	x.withdrawn = true
	if x.stop != nil {
		x.stop()
	}
}

// begin enters what cancel has to end from now on, and whether that is writing and what comes after it. It returns
// false if the exchange is given up already, and then enters nothing: a second cancel must not close a connection that
// has gone back to the pool and may serve another exchange by then.
func (x *exchange) begin(writes bool, stop func()) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancelled || x.withdrawn {
		return false
	}
	x.writes, x.stop = writes, stop
	return true
}

// bound is the earlier of a moment and the one by which the request has to have gone out.
func (x *exchange) bound(t time.Duration) time.Duration {
	if x.by == 0 {
		return t
	}
	return min(t, x.by)
}

// neverRan is the ending where the request's last byte did not go out.
func (u *transport) neverRan(x *exchange, m *outboundRequest) balance.Ending {
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

func (x *exchange) givenUp() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cancelled
}

// send starts an attempt that is given up at until; the time of one whose body still comes begins with its last
// byte. What has not gone out at by never does; 0 is no such bound. An answer that streams has to end soon behind its
// client's deadline, unless it is long. Its end goes to done, once, and before that the beginning of an answer that streams.
func (u *transport) send(address string, m *outboundRequest, until, by, deadline time.Duration, done func(result)) *exchange {
	x := &exchange{by: by, deadline: deadline}
	go func() {
		header := maps.Clone(m.header)
		req := &http.Request{Method: m.method, URL: m.url, Host: m.host, Header: header}
		switch {
		case m.upload != nil:
			req.Body, req.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(m.body), m.upload)), m.length
		case len(m.body) > 0:
			req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(m.body)), int64(len(m.body))
		}
		begin := func(res *http.Response, s *stream) { done(result{header: res.Header, stream: s}) }
		res, body, ending := u.exchange(x, address, req, m, until, begin)
		if res == nil {
			done(result{ending: ending})
			return
		}
		out := result{ending: balance.Errored, load: u.load(res.Header.Get("X-Server-Load"))}
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
		res, body, _ := u.exchange(new(exchange), address, req, nil, now+u.dialTimeout, nil)
		if res == nil {
			told(false, balance.Load{})
			return
		}
		told(res.StatusCode == http.StatusOK, u.load(string(body)))
	}()
}

// exchange sends a request, m where it is an attempt's, and reads its answer. Without a whole answer the ending says
// what is known: NoConnection until the last byte of the request is written, as it cannot have run before. An answer
// that is not held whole goes to begin, if there is one, and is over when exchange returns.
func (u *transport) exchange(
	x *exchange, address string, req *http.Request, m *outboundRequest, until time.Duration, begin func(*http.Response, *stream),
) (*http.Response, []byte, balance.Ending) {
	c, ending := u.reach(x, address, m, until)
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
	until, err := u.write(x, c, req, m, until)
	if err != nil {
		u.discard(c)
		return nil, nil, u.neverRan(x, m)
	}
	if m != nil && m.upload != nil { // the client's time has begun with its last byte
		x.deadline = until
	}
	res, body, err := u.receive(x, c, req, until, begin)
	switch {
	case err == nil && !res.Close && c.r.Buffered() == 0 && x.begin(true, nil):
		u.keepIdle(address, c, false)
	default: // broken, to be closed, with bytes left over behind the answer, or given up
		u.discard(c)
	}
	if err != nil {
		return nil, nil, u.endingOf(x, c, res, err)
	}
	return res, body, balance.Served
}

// reach returns a connection on which the exchange may write at once. Where there is none the ending says why.
func (u *transport) reach(x *exchange, address string, m *outboundRequest, until time.Duration) (*conn, balance.Ending) {
	asked := u.clock.now()
	c, err := u.connect(x, address, x.bound(until))
	if m != nil && m.upload != nil {
		m.timeLeft -= u.clock.now() - asked
	}
	switch {
	case err != nil && isOwnFailure(err):
		return nil, balance.NotSent
	case err != nil:
		return nil, u.neverRan(x, m)
	}
	stop := func() { c.Conn.Close() }
	if m != nil && m.upload != nil {
		stop = func() { c.Conn.Close(); m.upload.interrupt() }
	}
	// Asked here, as word of a client's leaving may be behind others, and it has to go nowhere from now on.
	if m.over() || m != nil && m.permit != nil && m.permit(u.clock.now(), address) != nil {
		x.withdraw()
	}
	if !x.begin(true, stop) { // given up in the meantime: nothing may go out any more
		u.keepIdle(address, c, true)
		return nil, u.neverRan(x, m)
	}
	return c, balance.Served
}

// receive reads the answer to a request that has gone out. An error says that it has not come whole; res is not nil where
// its head has.
func (u *transport) receive(
	x *exchange, c *conn, req *http.Request, until time.Duration, begin func(*http.Response, *stream),
) (res *http.Response, body []byte, err error) {
	_ = c.SetDeadline(u.clock.toTime(until)) // fails only on a closed connection, as the read then does
	if res, err = c.head(req); err != nil {
		return res, nil, err
	}
	if begin != nil && res.StatusCode == http.StatusOK && (res.ContentLength < 0 || res.ContentLength > maxBufferedBody) {
		body, err = newStream(res, c, x, u.clock).run(begin)
	} else {
		body, err = c.body(res)
	}
	if err == nil && c.limit.N <= 0 {
		err = errors.New("the answer is too long") // else one with no length would pass for whole where it was left off
	}
	return res, body, err
}

// endingOf says how an exchange ended whose answer has not come whole, and counts that.
func (u *transport) endingOf(x *exchange, c *conn, res *http.Response, err error) balance.Ending {
	switch {
	case x.givenUp():
		return balance.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded): // its own; ETIMEDOUT is the kernel's word that the connection broke
		u.count(&u.failed.timedOut)
		return balance.TimedOut
	case res != nil || c.limit.N < answerLimit:
		u.count(&u.failed.unreadable)
	case c.kept:
		u.count(&u.failed.resetKept)
	default:
		u.count(&u.failed.reset)
	}
	return balance.Broken // or malformed: it may have run
}

// write sends a request's head and body, and returns until when its answer may take: a client's time begins with
// its last byte. Nothing goes out behind the exchange's bound, so that a request which passes it is cut short.
func (u *transport) write(x *exchange, c *conn, req *http.Request, m *outboundRequest, until time.Duration) (time.Duration, error) {
	began := u.clock.now()
	if m != nil && m.upload != nil {
		last := time.Time{}
		if x.by > 0 {
			last = u.clock.toTime(x.by)
		}
		out := bufio.NewWriterSize(steady{c, last}, pieceSize)
		if err := req.Write(out); err != nil {
			return 0, err
		}
		if m.over() { // its last byte has not gone out
			m.upload.interrupt()
			return 0, errStopped
		}
		if err := out.Flush(); err != nil {
			return 0, err
		}
		u.wrote(m, c, began)
		m.upload.onSent()
		return u.clock.now() + m.timeLeft, nil
	}
	// One write: it tells whether the last byte went out.
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return 0, err
	}
	_ = c.SetDeadline(u.clock.toTime(x.bound(until))) // fails only on a closed connection, as the write then does
	if _, err := writeRetrying(c, out.Bytes()); err != nil {
		return 0, err
	}
	if m != nil {
		u.wrote(m, c, began)
	}
	return until, nil
}

// wrote takes that the last byte of an attempt has gone out, which was begun at a moment.
func (u *transport) wrote(m *outboundRequest, c *conn, began time.Duration) {
	u.attemptsWritten.Add(1)
	if m.written != nil {
		m.written(began, u.clock.now(), c.address)
	}
}

func (u *transport) count(of *int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	*of++
}

// head reads the head of an answer.
func (c *conn) head(req *http.Request) (*http.Response, error) {
	c.limit.N = answerLimit
	for range interimMost {
		res, err := http.ReadResponse(c.r, req)
		if err != nil || res.StatusCode/100 != 1 {
			return res, err
		}
	}
	return nil, errors.New("too many interim answers")
}

// body reads the body of an answer that is held whole.
func (c *conn) body(res *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBufferedBody+1))
	if err == nil && len(body) > maxBufferedBody {
		err = errors.New("the body is too long")
	}
	return body, err
}

// connect returns a kept connection that still stands, or opens one.
func (u *transport) connect(x *exchange, address string, until time.Duration) (*conn, error) {
	for {
		c, err := u.take(address)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if c.usable() && (!u.quieten(x, address, c) || c.usable()) {
			return c, nil
		}
		u.count(&u.stale)
		u.discard(c)
	}
	limit := min(u.dialTimeout, until-u.clock.now())
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if !x.begin(false, cancel) {
		cancel()
	}
	return u.openConn(ctx, address)
}

// openConn opens a connection that has been counted as open already. While it is late others are dialled beside it, as
// long as there is room without anyone's making it; the first to end decides. The rest is called off, and what comes
// up all the same is the pool's.
func (u *transport) openConn(ctx context.Context, address string) (*conn, error) {
	type ended struct {
		c   *conn
		err error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var decided atomic.Bool
	first := make(chan ended, 1)
	dial := func() {
		c, err := u.dialOnce(ctx, address)
		switch {
		case decided.CompareAndSwap(false, true):
			first <- ended{c, err}
		case err == nil:
			u.keepIdle(address, c, true)
		}
	}
	for n := 1; ; n++ {
		go dial()
		var over <-chan time.Time
		if n < dialsMost {
			over = u.lateAfter(u.dialTimeout / lateShare)
		}
		select {
		case e := <-first:
			return e.c, e.err
		case <-over:
		}
		if !u.oneBeside() {
			e := <-first
			return e.c, e.err
		}
	}
}

// ownFailures are errors of socket and connect that tell of this machine, and not of the server: they are no reason to
// think ill of it, and mostly pass at once.
var ownFailures = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.EINTR, syscall.ENETUNREACH, syscall.ENETDOWN,
}

func isOwnFailure(err error) bool {
	return slices.ContainsFunc(ownFailures, func(e error) bool { return errors.Is(err, e) })
}

const (
	dialTries = 4                    // of one connection, where this machine fails
	dialPause = 5 * time.Millisecond // between them
)

// dialAgain dials, and again after a failure of this machine's own.
func (u *transport) dialAgain(ctx context.Context, address string) (raw net.Conn, err error) {
	for range dialTries {
		raw, err = u.dial(ctx, "tcp", address)
		if err == nil || !isOwnFailure(err) {
			return raw, err
		}
		u.count(&u.failed.own)
		select {
		case <-u.after(dialPause):
		case <-ctx.Done():
			return nil, err
		}
	}
	return nil, err
}

// dialOnce opens a connection that has been counted as open.
func (u *transport) dialOnce(ctx context.Context, address string) (*conn, error) {
	raw, err := u.dialAgain(ctx, address)
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, err
	}
	c := &conn{Conn: raw, address: address, idleSince: u.clock.now()}
	c.limit.R = retryingReader{raw}
	c.r = bufio.NewReader(&c.limit)
	return c, nil
}

// another counts one more connection that is to be opened, if there is room that nobody has to make. The caller holds
// the lock.
func (u *transport) another() bool {
	if u.open >= u.most || !u.hasRoom(u.open) {
		return false
	}
	u.open++
	u.dialled++
	return true
}

// oneBeside counts one that is to be opened beside a late one, if there is room.
func (u *transport) oneBeside() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.another() {
		return false
	}
	u.beside++
	return true
}

// openSpare opens a connection for requests to come, as all idle ones to an address have been used just now. So as many
// are kept as its requests need within quietTime, each opened once and not for each wait, and those that are not needed
// end by being idle. It is one at a time, with no other dialled where it is late, and nothing has to make room for it.
func (u *transport) openSpare(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.spares[address] || !u.another() {
		return
	}
	u.spares[address] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), u.dialTimeout)
		defer cancel()
		c, err := u.dialOnce(ctx, address)
		if err == nil {
			u.keepIdle(address, c, true)
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.spares, address)
	}()
}

// quieten waits until a connection has rested. It returns false if the exchange is given up.
func (u *transport) quieten(x *exchange, address string, c *conn) bool {
	now := u.clock.now()
	if u.rested(c, now) {
		return true
	}
	off := make(chan struct{})
	if !x.begin(false, sync.OnceFunc(func() { close(off) })) {
		return false
	}
	u.count(&u.quiet)
	u.openSpare(address)
	select {
	case <-u.after(c.idleSince + u.quietTime - now):
		return true
	case <-off:
		return false
	}
}

// rested tells whether nothing can come on a connection any more, as it has been idle for quietTime, or nothing was
// ever asked on it.
func (u *transport) rested(c *conn, now time.Duration) bool {
	return !c.kept || c.idleSince <= now-u.quietTime
}

// take returns the idle connection that was used last of those that have rested, else the one that will have been
// first; or nil once it has counted a new one that is to be opened. At the limit an idle connection to another server
// makes room.
func (u *transport) take(address string) (*conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, list := u.clock.now(), u.idle[address]
	i := len(list) - 1
	for i > 0 && !u.rested(list[i], now) {
		i--
	}
	if i >= 0 && list[i].idleSince <= now-u.keep { // it is too old, and so are those before it
		u.drop(address, i+1)
		list, i = u.idle[address], 0
	}
	if len(list) > 0 {
		c := list[i]
		u.idle[address] = slices.Delete(list, i, i+1)
		return c, nil
	}
	if (u.open >= u.most || !u.makeRoom(u.open)) && !u.dropOldest() {
		return nil, errors.New("no descriptor is left for a connection")
	}
	u.open++
	u.dialled++
	return nil, nil
}

// idleBefore counts the connections to an address that have been idle since then or longer. The caller holds the lock.
func (u *transport) idleBefore(address string, then time.Duration) int {
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
	u.most = most
	for u.open > most && u.dropOldest() {
	}
}

// dropOldest closes the connection that has been idle longest, if there is one. The caller holds the lock.
func (u *transport) dropOldest() bool {
	oldest, since := "", time.Duration(math.MaxInt64)
	for a, list := range u.idle {
		if len(list) > 0 && list[0].idleSince < since {
			oldest, since = a, list[0].idleSince
		}
	}
	if oldest == "" {
		return false
	}
	u.drop(oldest, 1)
	return true
}

// drop closes the first n idle connections to an address. The caller holds the lock.
func (u *transport) drop(address string, n int) {
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

// keepIdle puts a connection back. Where it was not used, its server has counted it as idle all the while.
func (u *transport) keepIdle(address string, c *conn, unused bool) {
	_ = c.SetDeadline(time.Time{}) // a closed one is found out before it is used
	u.mu.Lock()
	defer u.mu.Unlock()
	if !unused {
		c.idleSince, c.kept = u.clock.now(), true
	}
	u.idle[address] = slices.Insert(u.idle[address], u.idleBefore(address, c.idleSince), c)
	if u.sweeper == nil {
		u.sweeper = time.AfterFunc(u.keep, u.sweep)
	}
}

// sweep closes the connections that have been idle for too long.
func (u *transport) sweep() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, next := u.clock.now(), time.Duration(math.MaxInt64)
	for address, list := range u.idle {
		old := 0
		for old < len(list) && now-list[old].idleSince >= u.keep {
			old++
		}
		if old < len(list) {
			next = min(next, list[old].idleSince+u.keep-now)
		}
		u.drop(address, old)
	}
	u.sweeper = nil
	if len(u.idle) > 0 {
		u.sweeper = time.AfterFunc(next, u.sweep)
	}
}

// close closes the idle connections to an address.
func (u *transport) close(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drop(address, len(u.idle[address]))
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
		"open": u.open, "dialled": u.dialled, "beside": u.beside, "stale": u.stale, "quiet": u.quiet, "unsent": u.failed.unsent, "reset": u.failed.reset,
		"resetKept": u.failed.resetKept, "unreadable": u.failed.unreadable, "timedOut": u.failed.timedOut,
		"own": u.failed.own,
	}
}

// load reads a report of the form "TEXT name=value, name=value".
func (u *transport) load(report string) balance.Load {
	report, ok := strings.CutPrefix(strings.TrimSpace(report), "TEXT ")
	if !ok {
		return balance.Load{}
	}
	values := wire.Report{N: min(len(u.reports), len(wire.Report{}.Values))}
	for i := range values.N {
		values.Values[i] = float32(math.NaN()) // absent
	}
	for field := range strings.SplitSeq(report, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		for i := range values.N {
			if u.reports[i] == name {
				if v, err := strconv.ParseFloat(value, 32); err == nil {
					values.Values[i] = float32(v)
				}
			}
		}
	}
	return u.columns.Load(values)
}
