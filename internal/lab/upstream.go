package lab

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"arrowgw/internal/world"
)

const (
	maxBodyBytes      = 1 << 20 // of a request body that a server reads
	serverIdleTimeout = 15 * time.Second
	backlog           = 4096
	maxFillers        = 8 // connections opened to fill the accept queue of a silent server, which takes one
	fillTimeout       = 50 * time.Millisecond
	parkTimeout       = time.Second
	answerChunkBytes  = 16 << 10 // written at a time of a long answer
	answerChunkPause  = 2 * time.Millisecond
)

// servers are the stand-ins for all queue servers. One lock serialises their models, because servers of a zone share
// state.
type servers struct {
	clock        clock
	history      *History
	net          *subnet
	arrivals     []*counter // requests that reached each server, by second
	connections  *counter   // connections opened to all servers, by second
	congested    *counter   // servers slowed down by overload, by second
	requestsHeld *counter   // requests that all servers hold, by second

	mu  sync.Mutex
	all []*server
}

// server is one queue server: a model and the listeners at its port. Its fields are guarded by the lock of servers.
type server struct {
	servers       *servers
	number        int
	port          int
	sockets       int // connections that it accepts before it rejects requests
	sidecars      int // number of sidecars that reach it
	model         *world.Server
	waiting       map[uint64]chan world.Completion // where the handler of each job waits for the job's end
	lastJob       uint64                           // ID of the latest job
	timer         *time.Timer                      // advances the model at its next event
	endpoints     []*endpoint                      // closed while its process is dead
	conns         map[*conn]bool
	crashedCold   bool          // it crashed from load while cold, since its process started
	crashedColdAt time.Duration // when it last crashed like that
	silent        chan struct{} // not nil while the server is silent; closed when it responds again
	http          *http.Server
	spoilShare    float64 // share of answers that it spoils
	hangShare     float64 // share of requests that it never answers
}

// newServers starts the servers of a scenario. Servers that replace others later have a port, but don't listen yet.
func newServers(s *Scenario, seed uint64, c clock, h *History, n *subnet) (*servers, error) {
	seconds := int(s.For.Std() / time.Second)
	all := &servers{
		clock: c, history: h, net: n,
		connections: newCounter(seconds), congested: newCounter(seconds), requestsHeld: newCounter(seconds),
	}
	zones := make([]*world.DedupZone, s.Fleet.Zones)
	for i := range zones {
		for _, class := range s.classes() {
			if class.Idempotency == world.Keyed {
				zones[i] = &world.DedupZone{Window: class.DedupWindow}
			}
		}
	}
	for i := range s.Fleet.Servers + s.replacementServers() {
		u := &server{
			servers: all, number: i, sockets: s.Server.Sockets, sidecars: s.Fleet.Sidecars, model: s.serverModel(i, zones[s.zoneOf(i)], seed),
			waiting: make(map[uint64]chan world.Completion), conns: make(map[*conn]bool),
		}
		u.timer = time.AfterFunc(time.Hour, u.tick)
		u.http = &http.Server{
			Handler: u, IdleTimeout: serverIdleTimeout, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
			ConnState: func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					all.mu.Lock()
					defer all.mu.Unlock()
					u.advance()
					u.model.Connect(all.clock.now())
					u.update()
					all.connections.add(all.clock.now(), 1)
				}
			},
			ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		}
		all.all = append(all.all, u)
		all.arrivals = append(all.arrivals, newCounter(seconds))
		var err error
		u.port, err = n.allocatePort()
		switch {
		case err != nil:
		case i < s.Fleet.Servers:
			err = u.listen()
		default: // it replaces another server later
			u.model.Crash(c.now())
		}
		if err != nil {
			all.close()
			return nil, err
		}
	}
	return all, nil
}

// address returns the address at which a sidecar reaches a server.
func (a *servers) address(sidecar, server int) string {
	return a.net.address(sidecar, a.all[server].port)
}

// noteBrokenConnection records that the lab breaks a connection for the sidecar only, so that a long answer on it is
// cut off. local and remote are the ends as the sidecar sees them. It reports whether the connection is to a server.
func (a *servers) noteBrokenConnection(local, remote netip.AddrPort) bool {
	i := slices.IndexFunc(a.all, func(u *server) bool { return u.port == int(remote.Port()) })
	if i < 0 {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.all[i].conns {
		if at, ok := c.RemoteAddr().(*net.TCPAddr); ok && at.AddrPort().Port() == local.Port() {
			c.noteCut("broken for the sidecar alone")
		}
	}
	return true
}

// sample advances all models and records their state for the current second. up is the number of servers that respond.
func (a *servers) sample() (congested, held, up int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, u := range a.all {
		u.advance()
		u.update()
		held += u.model.Outstanding()
		if u.model.Congested() {
			congested++
		}
		if u.model.Up() && u.silent == nil {
			up++
		}
	}
	now := a.clock.now()
	a.congested.add(now, int64(congested))
	a.requestsHeld.add(now, int64(held))
	return congested, held, up
}

// connKey is the key of a request's conn in its context.
type connKey struct{}

// close closes all servers.
func (a *servers) close() {
	for _, u := range a.all {
		u.timer.Stop()
		a.mu.Lock()
		u.endSilence() // else Close would block
		a.mu.Unlock()
		u.http.Close()
		a.mu.Lock()
		u.closeEndpoints()
		a.mu.Unlock()
	}
}

// endpoint is a listener of a server: one for all sidecars, or one for each if shared sockets are not permitted.
type endpoint struct {
	server   *server
	mu       sync.Mutex
	listener *net.TCPListener              // nil once closed: connections are refused
	fillers  []net.Conn                    // connections that fill the accept queue of a silent endpoint
	parked   chan struct{}                 // holds an element while Accept blocks
	resumed  atomic.Pointer[chan struct{}] // not nil while the endpoint is held; closed on release
}

// listen opens the server's endpoints and serves the connections that they accept.
func (u *server) listen() error {
	all, err := u.servers.net.listen(u.port, u.sidecars, fmt.Sprintf("server %d", u.number))
	if err != nil {
		return err
	}
	u.servers.mu.Lock()
	defer u.servers.mu.Unlock()
	u.endpoints = nil
	for _, l := range all {
		e := &endpoint{server: u, listener: l, parked: make(chan struct{}, 1)}
		u.endpoints = append(u.endpoints, e)
		go func() { _ = u.http.Serve(&endpointListener{e, l}) }() // returns when the listener is closed
	}
	return nil
}

// currentEndpoints returns the server's endpoints.
func (u *server) currentEndpoints() []*endpoint {
	u.servers.mu.Lock()
	defer u.servers.mu.Unlock()
	return u.endpoints
}

// close closes the listener, so that connections are refused.
func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener != nil {
		closeListener(e.listener)
		e.listener = nil
	}
	e.closeFillers()
}

// closeFillers closes the connections that fill the accept queue. The caller holds the lock.
func (e *endpoint) closeFillers() {
	for _, c := range e.fillers {
		c.Close()
	}
	e.fillers = nil
}

// stopResponding makes the endpoint behave like one on a machine that has vanished: nothing is accepted, and the accept
// queue is full, so that the kernel doesn't complete new connections either.
func (e *endpoint) stopResponding() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener == nil {
		return
	}
	_ = e.listener.SetDeadline(time.Unix(1, 0)) // fails only if it is closed, as does setBacklog
	e.setBacklog(0)
	select {
	case <-e.parked: // wait for Accept to block, or it could accept the first filler
	case <-time.After(parkTimeout): // Accept has returned: the endpoint was closed meanwhile
	}
	address := e.listener.Addr().(*net.TCPAddr)
	if address.IP.IsUnspecified() {
		address.IP = net.IP(e.server.servers.net.ip(0).AsSlice())
	}
	for range maxFillers {
		if c, err := net.DialTimeout("tcp", address.String(), fillTimeout); err == nil {
			e.fillers = append(e.fillers, c)
		}
		for retryUntil := time.Now().Add(fillTimeout); time.Now().Before(retryUntil); time.Sleep(time.Millisecond) {
			if e.backlogFull() { // the kernel queues a connection a moment after Dial returns
				return
			}
		}
	}
}

// resumeResponding undoes stopResponding. Connections that waited meanwhile are reset, as by a machine that does not
// know them.
func (e *endpoint) resumeResponding() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener == nil {
		return
	}
	e.closeFillers()
	select {
	case <-e.parked:
	default:
	}
	_ = e.listener.SetDeadline(time.Now().Add(time.Millisecond))
	for { // reset what waited in the accept queue
		c, err := e.listener.AcceptTCP()
		if err != nil {
			break
		}
		_ = c.SetLinger(0)
		c.Close()
	}
	e.setBacklog(backlog)
	_ = e.listener.SetDeadline(time.Time{})
}

// hold prevents new connections from being established until release. Open connections continue. A connection that is
// attempted meanwhile is established when its SYN is retransmitted, about a second later.
func (e *endpoint) hold() {
	resumed := make(chan struct{})
	if e.resumed.CompareAndSwap(nil, &resumed) {
		e.stopResponding()
	}
}

// release ends hold. It does nothing if the endpoint is not held.
func (e *endpoint) release() {
	resumed := e.resumed.Swap(nil)
	if resumed == nil {
		return
	}
	defer close(*resumed)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closeFillers()
	if e.listener != nil {
		e.setBacklog(backlog)
		_ = e.listener.SetDeadline(time.Time{}) // fails only if it is closed
	}
}

// backlogFull reports whether the accept queue is full.
func (e *endpoint) backlogFull() (full bool) {
	raw, err := e.listener.SyscallConn()
	if err != nil {
		return true // closed
	}
	_ = raw.Control(func(fd uintptr) { // fails only if it is closed
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		full = err == nil && info.Unacked > info.Sacked // for a listener: the length of the queue, and its limit
	})
	return full
}

// setBacklog sets the limit of the accept queue.
func (e *endpoint) setBacklog(limit int) {
	raw, err := e.listener.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), limit) }) // fails only if it is closed
	}
}

// endpointListener is an endpoint's listener in the form that net/http serves.
type endpointListener struct {
	endpoint *endpoint
	*net.TCPListener
}

// Accept returns the next connection of one of this run's sidecars. It blocks while the server is silent or the
// endpoint is held.
func (l *endpointListener) Accept() (net.Conn, error) {
	for {
		c, err := l.TCPListener.AcceptTCP()
		u, caller := l.endpoint.server, -1
		if err == nil {
			// Connections to an address that is not a sidecar's of this run are closed.
			if caller = u.servers.net.callerAt(c.LocalAddr()); caller < 0 || caller >= u.sidecars {
				c.Close()
				continue
			}
		}
		u.servers.mu.Lock()
		silent := u.silent
		if err == nil && silent == nil && u.model.Up() {
			wrapped := &conn{TCPConn: c, server: u, sidecar: caller}
			u.conns[wrapped] = true
			u.servers.mu.Unlock()
			return wrapped, nil
		}
		u.servers.mu.Unlock()
		var timeout net.Error
		timedOut := errors.As(err, &timeout) && timeout.Timeout()
		switch {
		case err == nil: // it was established just as the server went down
			_ = c.SetLinger(0)
			c.Close()
		case !timedOut:
			return nil, err
		}
		l.endpoint.waitWhileBlocked(silent)
	}
}

// waitWhileBlocked waits until the server responds again, if silent is not nil, and until the endpoint is released.
func (e *endpoint) waitWhileBlocked(silent chan struct{}) {
	signals := []chan struct{}{silent}
	if resumed := e.resumed.Load(); resumed != nil {
		signals = append(signals, *resumed)
	}
	for _, signal := range signals {
		if signal == nil {
			continue
		}
		select {
		case e.parked <- struct{}{}:
		default:
		}
		<-signal
	}
}

// conn is a connection to a server. While the server is silent, reads and writes block.
type conn struct {
	*net.TCPConn
	server  *server
	sidecar int                              // number of the sidecar that opened it
	onCut   atomic.Pointer[func(why string)] // called when the server ends the connection during an exchange; nil if there is none
}

// noteCut records that the server ends the connection, if there is an exchange on it.
func (c *conn) noteCut(why string) {
	if cut := c.onCut.Load(); cut != nil {
		(*cut)(why)
	}
}

// errVanished is returned by reads and writes that a silence interrupted.
var errVanished = errors.New("the server had vanished")

// waitWhileSilent waits while the server is silent. If it was, the connection is closed and an error returned.
func (c *conn) waitWhileSilent() error {
	c.server.servers.mu.Lock()
	silent := c.server.silent
	c.server.servers.mu.Unlock()
	if silent == nil {
		return nil
	}
	<-silent
	c.noteCut("reset behind a silence")
	c.Close()
	return errVanished
}

// Read blocks while the server is silent, and fails once the silence is over.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if gone := c.waitWhileSilent(); gone != nil {
		return 0, gone
	}
	return n, err
}

// Write blocks while the server is silent, and fails once the silence is over.
func (c *conn) Write(p []byte) (int, error) {
	if gone := c.waitWhileSilent(); gone != nil {
		return 0, gone
	}
	return c.TCPConn.Write(p)
}

// Close closes the connection and removes it from its server's.
func (c *conn) Close() error {
	c.server.servers.mu.Lock()
	delete(c.server.conns, c)
	c.server.servers.mu.Unlock()
	return c.TCPConn.Close()
}

// reset resets all connections, as the death of a process does. The caller holds the lock.
func (u *server) reset() {
	for c := range u.conns {
		c.noteCut("reset")
		_ = c.TCPConn.SetLinger(0) // fails only if it is closed
		c.TCPConn.Close()
		delete(u.conns, c)
	}
}

// closeAll closes all connections, as a server does that considers them idle: without a reset, unless there is a
// request in transit. The caller holds the lock.
func (u *server) closeAll() {
	for c := range u.conns {
		c.noteCut("closed")
		c.TCPConn.Close()
		delete(u.conns, c)
	}
}

// endSilence ends the server's silence and resets all its connections. The caller holds the lock.
func (u *server) endSilence() {
	if u.silent != nil {
		u.reset()
		close(u.silent)
		u.silent = nil
	}
}

// closeEndpoints closes the server's endpoints and resets its connections. The caller holds the lock.
func (u *server) closeEndpoints() {
	for _, e := range u.endpoints {
		e.release()
		e.close()
	}
	u.reset()
}

// crash ends a server's process.
func (a *servers) crash(i int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all[i].crash()
}

// crash ends the server's process. The caller holds the lock.
func (u *server) crash() {
	u.model.Crash(u.servers.clock.now())
	u.dropJobs()
	u.endSilence()
	u.closeEndpoints()
}

// dropJobs discards all jobs, so that their connections are reset. The caller holds the lock.
func (u *server) dropJobs() {
	for id, c := range u.waiting {
		close(c)
		delete(u.waiting, id)
	}
}

// start restarts a crashed server, which is cold then. It does nothing if the server is up, as overlapping faults may
// have restarted it.
func (a *servers) start(i int) error {
	a.mu.Lock()
	if a.all[i].model.Up() {
		a.mu.Unlock()
		return nil
	}
	a.all[i].model.Start(a.clock.now())
	a.all[i].crashedCold = false
	a.mu.Unlock()
	return a.all[i].listen()
}

// silence makes a server's machine vanish from the network, or brings it back with a new process.
func (a *servers) silence(i int, on bool) {
	u := a.all[i]
	if on {
		a.mu.Lock()
		if u.silent == nil {
			u.silent = make(chan struct{})
		}
		a.mu.Unlock()
		var all sync.WaitGroup
		for _, e := range u.currentEndpoints() {
			all.Go(e.stopResponding)
		}
		all.Wait()
		return
	}
	a.mu.Lock()
	now := a.clock.now()
	u.model.Crash(now)
	u.dropJobs()
	u.model.Start(now)
	a.mu.Unlock()
	for _, e := range u.currentEndpoints() {
		e.resumeResponding()
	}
	a.mu.Lock()
	u.endSilence()
	a.mu.Unlock()
}

// holdConnections prevents new connections to a server from being established, or permits them again. Open connections
// continue.
func (a *servers) holdConnections(i int, on bool) {
	var all sync.WaitGroup
	for _, e := range a.all[i].currentEndpoints() {
		if on {
			all.Go(e.hold)
		} else {
			e.release()
		}
	}
	all.Wait()
}

// changeModel applies a change to a server's model.
func (a *servers) changeModel(i int, f func(*world.Server)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.all[i]
	u.advance()
	f(u.model)
	u.update()
}

// tick advances the server when its timer fires.
func (u *server) tick() {
	u.servers.mu.Lock()
	defer u.servers.mu.Unlock()
	u.advance()
	u.update()
}

// advance advances the model to the present and passes the ends of jobs to their handlers. The caller holds the lock.
func (u *server) advance() {
	for _, e := range u.model.Advance(u.servers.clock.now()) {
		if c := u.waiting[e.ID]; c != nil {
			c <- e
			delete(u.waiting, e.ID)
		}
	}
}

// update closes the server if its model has crashed from load while cold, and sets the timer to the model's next event.
// The caller holds the lock.
func (u *server) update() {
	if u.model.CrashedCold() && !u.crashedCold {
		u.crashedCold, u.crashedColdAt = true, u.servers.clock.now()
		h := u.servers.history
		h.addFinding(&h.collapsedCold, "at %v server %d crashed under the load that it was sent while cold", u.servers.clock.now(), u.number)
		u.dropJobs()
		u.endSilence()
		u.closeEndpoints()
	}
	if at, ok := u.model.NextEvent(); ok {
		u.timer.Reset(max(0, at-u.servers.clock.now()))
	}
}

// ServeHTTP serves a probe (/alive) or a request, by the protocol between sidecars and servers.
func (u *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*conn)
	at := u.servers.clock.now()
	if r.URL.Path == "/alive" {
		u.servers.mu.Lock()
		u.advance()
		u.model.Probe(at)
		u.update()
		u.servers.mu.Unlock()
		return
	}
	id := r.Header.Get("X-Request-ID")
	if id == "" {
		http.Error(w, "no X-Request-ID", http.StatusNotFound)
		return
	}
	c.onCut.Store(nil)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return // the body is incomplete, so the request is not processed
	}
	try, index := u.servers.history.recordReached(id, Reached{Server: u.number, Sidecar: c.sidecar, At: at, Verdict: world.Rejected, Told: parseTimeout(r.Header.Get("X-Timeout")), Port: portOf(c.RemoteAddr())})
	if try == nil {
		http.Error(w, "an id that no client sent", http.StatusBadRequest)
		return
	}
	if sum := r.URL.Query().Get("sum"); sum != "" && sum != bodyHash(body) {
		h := u.servers.history
		h.addFinding(&h.unknownRequests, "at %v server %d received a body of %d bytes with request %s that differs from what the client sent", at, u.number, len(body), id)
	}
	u.servers.arrivals[u.number].add(at, 1)
	work, err := time.ParseDuration(r.URL.Query().Get("work"))
	if err != nil {
		http.Error(w, "no work", http.StatusBadRequest)
		return
	}
	ended, job, verdict := u.submit(work, keyHash(r.Header.Get("X-Route-Key")), keyHash(r.Header.Get("Idempotency-Key")))
	u.servers.history.recordVerdict(try, index, verdict, "")
	step := func(format string, args ...any) {
		u.servers.history.recordStep(try, index, u.servers.clock.now(), format, args...)
	}
	cut := func(why string) { step("%s", why) }
	c.onCut.Store(&cut)
	switch verdict {
	case world.Rejected:
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case world.Down:
		panic(http.ErrAbortHandler) // the process has died
	}
	select {
	case e, alive := <-ended:
		if !alive {
			step("dropped as its server went down")
			panic(http.ErrAbortHandler)
		}
		if e.Failed {
			step("answered 500")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		u.answer(w, r, try, index)
	case <-r.Context().Done(): // the sidecar has closed the connection
		step("given up")
		u.cancel(job)
	}
}

// answer answers a request that was processed, or misbehaves as the faults of the moment say. n is the index of this
// arrival among the try's.
func (u *server) answer(w http.ResponseWriter, r *http.Request, t *Try, n int) {
	body := fmt.Sprintf("%s served by s-%d, arrival %d", t.ID, u.number, n)
	if size, err := strconv.Atoi(r.URL.Query().Get("answer")); err == nil {
		body = strings.Repeat(body, 1+min(size, maxBodyBytes)/len(body))
	}
	hangs, spoils, draw := u.drawMisbehaviour()
	step := func(format string, args ...any) {
		u.servers.history.recordStep(t, n, u.servers.clock.now(), format, args...)
	}
	if hangs {
		u.servers.history.markSpoilt(t, n)
		step("hangs")
		<-r.Context().Done()
		step("connection ended")
		return
	}
	u.servers.history.recordVerdict(t, n, world.Accepted, body)
	if spoils {
		writeSpoilt(w, body, draw, func(way string, whole bool) {
			step("spoils: %s", way)
			if !whole {
				u.servers.history.markSpoilt(t, n)
			}
		})
		step("connection ended")
		return
	}
	if len(body) <= answerChunkBytes {
		_, _ = io.WriteString(w, body) // fails if the sidecar has closed the connection
		step("answered")
		return
	}
	c := r.Context().Value(connKey{}).(*conn)
	cut := func(why string) {
		u.servers.history.markSpoilt(t, n)
		step("%s", why)
	}
	c.onCut.Store(&cut)
	step("begins a long answer")
	sent, err := writeLongAnswer(w, body, draw)
	step("sent %d of %d bytes, error %v", sent, len(body), err)
}

// portOf returns the port of a TCP address, or 0 for another kind of address.
func portOf(address net.Addr) int {
	if at, ok := address.(*net.TCPAddr); ok {
		return at.Port
	}
	return 0
}

// writeLongAnswer sends an answer in pieces, with a Content-Length if draw is even. It returns how many bytes were
// sent; an error means that the sidecar has closed the connection.
func writeLongAnswer(w http.ResponseWriter, body string, draw int) (sent int, err error) {
	if draw%2 == 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	flush := http.NewResponseController(w).Flush
	for sent < len(body) {
		n, err := io.WriteString(w, body[sent:min(sent+answerChunkBytes, len(body))])
		if err == nil {
			err = flush()
		}
		if err != nil {
			return sent, err
		}
		sent += n
		time.Sleep(answerChunkPause)
	}
	return sent, nil
}

// drawMisbehaviour draws whether a request is never answered and whether its answer is spoilt. draw selects how.
func (u *server) drawMisbehaviour() (hangs, spoils bool, draw int) {
	u.servers.mu.Lock()
	defer u.servers.mu.Unlock()
	return rand.Float64() < u.hangShare, rand.Float64() < u.spoilShare, rand.IntN(len(spoiltAnswers))
}

// setMisbehaviour applies a change to a server's misbehaviour, or to its connections.
func (a *servers) setMisbehaviour(i int, set func(u *server)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	set(a.all[i])
}

// parseTimeout parses the X-Timeout header. It returns 0 if the header is missing or malformed.
func parseTimeout(text string) time.Duration {
	d, err := time.ParseDuration(strings.NewReplacer("m", "ms", "u", "us").Replace(text))
	if err != nil {
		return 0
	}
	return d
}

// keyHash returns the number that stands for a key in the model, which is 0 only for no key.
func keyHash(key string) uint64 {
	if key == "" {
		return 0
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, key) // never fails
	return h.Sum64() | 1
}

// submit hands a request to the model. If the verdict is world.Accepted, the job's end is sent on the returned channel,
// which is closed without it if the server goes down.
func (u *server) submit(work time.Duration, key, unique uint64) (chan world.Completion, uint64, world.Verdict) {
	u.servers.mu.Lock()
	defer u.servers.mu.Unlock()
	u.advance()
	defer u.update()
	if len(u.conns) > u.sockets {
		return nil, 0, world.Rejected
	}
	u.lastJob++
	v := u.model.Arrive(u.servers.clock.now(), world.Job{ID: u.lastJob, Work: work, Key: key, DedupKey: unique})
	if v != world.Accepted {
		return nil, 0, v
	}
	c := make(chan world.Completion, 1)
	u.waiting[u.lastJob] = c
	return c, u.lastJob, v
}

// cancel tells the model that the result of a job is no longer wanted.
func (u *server) cancel(job uint64) {
	u.servers.mu.Lock()
	defer u.servers.mu.Unlock()
	u.advance()
	u.model.Cancel(job)
	delete(u.waiting, job)
	u.update()
}
