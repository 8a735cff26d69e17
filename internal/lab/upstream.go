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
	maxBodyBytes      = 1 << 20 // bytes of a body that a server reads
	serverIdleTimeout = 15 * time.Second
	backlog           = 4096
	maxFillers        = 8 // connections that fill a silent server's queue, which is for one
	fillTimeout       = 50 * time.Millisecond
	parkTimeout       = time.Second
	answerChunkBytes  = 16 << 10 // of a long answer
	answerChunkPause  = 2 * time.Millisecond
)

// servers are the stand-ins for all queue servers. One lock serialises their models, which share zones.
type servers struct {
	clock        clock
	history      *History
	net          *subnet
	arrivals     []*counter // requests that reached each, by second
	connections  *counter   // connections that were opened to all
	congested    *counter   // servers that a crowd has made slow, by second
	requestsHeld *counter   // requests that all servers have

	mu  sync.Mutex
	all []*server
}

// server is one of them: a model behind the listeners at its port.
type server struct {
	servers     *servers
	number      int
	port        int
	sockets     int
	sidecars    int // sidecars
	model       *world.Server
	waiting     map[uint64]chan world.Ended // by job
	lastJob     uint64
	timer       *time.Timer
	endpoints   []*endpoint // none while its process is dead
	conns       map[*conn]bool
	collapsed   bool          // over, in this life
	collapsedAt time.Duration // when it was, for good
	silent      chan struct{} // not nil while it says nothing; closed when it speaks again
	http        *http.Server
	spoilShare  float64 // share of answers that it spoils
	hangShare   float64 // and of requests that it never answers
}

func newServers(s *Scenario, seed uint64, c clock, h *History, n *subnet) (*servers, error) {
	seconds := int(s.For.Std() / time.Second)
	all := &servers{
		clock: c, history: h, net: n,
		connections: newCounter(seconds), congested: newCounter(seconds), requestsHeld: newCounter(seconds),
	}
	zones := make([]*world.Zone, s.Fleet.Zones)
	for i := range zones {
		for _, class := range s.classes() {
			if class.Effect == world.Keyed {
				zones[i] = &world.Zone{Window: class.Window}
			}
		}
	}
	for i := range s.Fleet.Servers + s.replacementServers() {
		u := &server{
			servers: all, number: i, sockets: s.Server.Sockets, sidecars: s.Fleet.Sidecars, model: s.serverModel(i, zones[s.zoneOf(i)], seed),
			waiting: make(map[uint64]chan world.Ended), conns: make(map[*conn]bool),
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
		default: // its place is taken by nobody yet
			u.model.Crash(c.now())
		}
		if err != nil {
			all.close()
			return nil, err
		}
	}
	return all, nil
}

// at is where a sidecar reaches a server.
func (a *servers) address(sidecar, server int) string {
	return a.net.address(sidecar, a.all[server].port)
}

// broken takes that a sidecar finds its connection to a server broken, so that a long answer on it is cut off. It says
// whether there is such a server.
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

// sample counts, once a second, what the servers are at.
func (a *servers) sample() (tipped, held, up int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, u := range a.all {
		u.advance()
		u.update()
		held += u.model.Held()
		if u.model.Tipped() {
			tipped++
		}
		if u.model.Up() && u.silent == nil {
			up++
		}
	}
	now := a.clock.now()
	a.congested.add(now, int64(tipped))
	a.requestsHeld.add(now, int64(held))
	return tipped, held, up
}

type connKey struct{}

func (a *servers) close() {
	for _, u := range a.all {
		u.timer.Stop()
		a.mu.Lock()
		u.endSilence() // or Close would wait for it
		a.mu.Unlock()
		u.http.Close()
		a.mu.Lock()
		u.closeEndpoints()
		a.mu.Unlock()
	}
}

// endpoint is where sidecars reach a server: one for all, or one for each where the system permits no other.
type endpoint struct {
	server   *server
	mu       sync.Mutex
	listener *net.TCPListener              // nil: refused
	fillers  []net.Conn                    // fill the queue of a door that is silent
	parked   chan struct{}                 // has one where nobody accepts any more, as the server is silent or the door is held
	resumed  atomic.Pointer[chan struct{}] // not nil while connections don't come up here; closed when they do again
}

// listen listens, and serves what comes.
func (u *server) listen() error {
	all, err := u.servers.net.listen(u.port, u.sidecars, fmt.Sprintf("server %d", u.number))
	if err != nil {
		return err
	}
	u.servers.mu.Lock()
	defer u.servers.mu.Unlock()
	u.endpoints = nil
	for _, l := range all {
		d := &endpoint{server: u, listener: l, parked: make(chan struct{}, 1)}
		u.endpoints = append(u.endpoints, d)
		go func() { _ = u.http.Serve(&endpointListener{d, l}) }() // ends with the listener
	}
	return nil
}

// currentEndpoints are a server's doors of now.
func (u *server) currentEndpoints() []*endpoint {
	u.servers.mu.Lock()
	defer u.servers.mu.Unlock()
	return u.endpoints
}

func (d *endpoint) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listener != nil {
		closeListener(d.listener)
		d.listener = nil
	}
	d.closeFillers()
}

// closeFillers lets the fillers go.
func (d *endpoint) closeFillers() {
	for _, c := range d.fillers {
		c.Close()
	}
	d.fillers = nil
}

// silence makes the door that of a machine that has vanished: nobody accepts, and the queue of those that may come up
// by themselves is full, so that new connections never do.
func (d *endpoint) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listener == nil {
		return
	}
	_ = d.listener.SetDeadline(time.Unix(1, 0)) // fails only on a closed one, as the next does
	d.setBacklog(0)
	select {
	case <-d.parked: // or who is about to accept would take the first filler
	case <-time.After(parkTimeout): // there is nobody: the door was closed meanwhile
	}
	at := d.listener.Addr().(*net.TCPAddr)
	if at.IP.IsUnspecified() {
		at.IP = net.IP(d.server.servers.net.ip(0).AsSlice())
	}
	for range maxFillers {
		if c, err := net.DialTimeout("tcp", at.String(), fillTimeout); err == nil {
			d.fillers = append(d.fillers, c)
		}
		for end := time.Now().Add(fillTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if d.backlogFull() { // the last of a connection's coming up is done by the kernel in its own time
				return
			}
		}
	}
}

// endSilence makes it a door again.
func (d *endpoint) endSilence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listener == nil {
		return
	}
	d.closeFillers()
	select {
	case <-d.parked:
	default:
	}
	_ = d.listener.SetDeadline(time.Now().Add(time.Millisecond))
	for { // whoever waited to come up all the time finds a machine that knows nothing of it
		c, err := d.listener.AcceptTCP()
		if err != nil {
			break
		}
		_ = c.SetLinger(0)
		c.Close()
	}
	d.setBacklog(backlog)
	_ = d.listener.SetDeadline(time.Time{})
}

// hold keeps new connections from coming up until release; those that there are go on. A connection that is tried
// meanwhile comes up when its first packet is sent again, after a second.
func (d *endpoint) hold() {
	held := make(chan struct{})
	if d.resumed.CompareAndSwap(nil, &held) {
		d.silence()
	}
}

// release ends hold.
func (d *endpoint) release() {
	held := d.resumed.Swap(nil)
	if held == nil {
		return
	}
	defer close(*held)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closeFillers()
	if d.listener != nil {
		d.setBacklog(backlog)
		_ = d.listener.SetDeadline(time.Time{}) // fails only on a closed one
	}
}

// backlogFull says whether the queue has no room.
func (d *endpoint) backlogFull() (full bool) {
	raw, err := d.listener.SyscallConn()
	if err != nil {
		return true // closed
	}
	_ = raw.Control(func(fd uintptr) { // fails only on a closed one
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		full = err == nil && info.Unacked > info.Sacked // of a listener: how many wait, and how many may
	})
	return full
}

// setBacklog sets how many connections may come up before they are accepted.
func (d *endpoint) setBacklog(n int) {
	raw, err := d.listener.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) }) // fails only on a closed one
	}
}

// endpointListener is a door's listener as net/http has it.
type endpointListener struct {
	endpoint *endpoint
	*net.TCPListener
}

// Accept waits while the server is silent.
func (w *endpointListener) Accept() (net.Conn, error) {
	for {
		c, err := w.TCPListener.AcceptTCP()
		u, caller := w.endpoint.server, -1
		if err == nil {
			if caller = u.servers.net.callerAt(c.LocalAddr()); caller < 0 || caller >= u.sidecars { // by an address that is none of this run's
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
		late := errors.As(err, &timeout) && timeout.Timeout()
		switch {
		case err == nil: // it came up in the moment that the server went
			_ = c.SetLinger(0)
			c.Close()
		case !late:
			return nil, err
		}
		w.endpoint.waitWhileBlocked(silent)
	}
}

// waitWhileBlocked waits while the server is silent, or the door is held.
func (d *endpoint) waitWhileBlocked(silent chan struct{}) {
	untils := []chan struct{}{silent}
	if held := d.resumed.Load(); held != nil {
		untils = append(untils, *held)
	}
	for _, until := range untils {
		if until == nil {
			continue
		}
		select {
		case d.parked <- struct{}{}:
		default:
		}
		<-until
	}
}

// conn is a connection to a server. While the server is silent it is too.
type conn struct {
	*net.TCPConn
	server  *server
	sidecar int
	onCut   atomic.Pointer[func(why string)] // notes that the exchange on it is cut off by the server; nil: there is none
}

// noteCut takes that the server ends the connection, whatever is on it.
func (c *conn) noteCut(why string) {
	if cut := c.onCut.Load(); cut != nil {
		(*cut)(why)
	}
}

var errVanished = errors.New("the server had vanished")

// waitWhileSilent waits while the server is silent; afterwards the connection is reset.
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

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if gone := c.waitWhileSilent(); gone != nil {
		return 0, gone
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	if gone := c.waitWhileSilent(); gone != nil {
		return 0, gone
	}
	return c.TCPConn.Write(p)
}

func (c *conn) Close() error {
	c.server.servers.mu.Lock()
	delete(c.server.conns, c)
	c.server.servers.mu.Unlock()
	return c.TCPConn.Close()
}

// reset ends all connections as the death of a process does.
func (u *server) reset() {
	for c := range u.conns {
		c.noteCut("reset")
		_ = c.TCPConn.SetLinger(0) // fails only on a closed one
		c.TCPConn.Close()
		delete(u.conns, c)
	}
}

// closeAll ends all connections as a server does that takes them for idle: with no reset, unless a request is on its way.
func (u *server) closeAll() {
	for c := range u.conns {
		c.noteCut("closed")
		c.TCPConn.Close()
		delete(u.conns, c)
	}
}

// endSilence ends the server's silence; all that was open is reset.
func (u *server) endSilence() {
	if u.silent != nil {
		u.reset()
		close(u.silent)
		u.silent = nil
	}
}

func (u *server) closeEndpoints() {
	for _, d := range u.endpoints {
		d.release()
		d.close()
	}
	u.reset()
}

// crash ends a server's process.
func (a *servers) crash(i int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all[i].crash()
}

func (u *server) crash() {
	u.model.Crash(u.servers.clock.now())
	u.dropJobs()
	u.endSilence()
	u.closeEndpoints()
}

// dropJobs forgets the jobs of a life that has ended; their connections are reset.
func (u *server) dropJobs() {
	for id, c := range u.waiting {
		close(c)
		delete(u.waiting, id)
	}
}

// start brings a crashed server back, cold. One that another fault has brought back is left as it is.
func (a *servers) start(i int) error {
	a.mu.Lock()
	if a.all[i].model.Up() {
		a.mu.Unlock()
		return nil
	}
	a.all[i].model.Start(a.clock.now())
	a.all[i].collapsed = false
	a.mu.Unlock()
	return a.all[i].listen()
}

// silence makes a server's machine vanish, or brings it back; its process is then a new one.
func (a *servers) silence(i int, on bool) {
	u := a.all[i]
	if on {
		a.mu.Lock()
		if u.silent == nil {
			u.silent = make(chan struct{})
		}
		a.mu.Unlock()
		var all sync.WaitGroup
		for _, d := range u.currentEndpoints() {
			all.Go(d.silence)
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
	for _, d := range u.currentEndpoints() {
		d.endSilence()
	}
	a.mu.Lock()
	u.endSilence()
	a.mu.Unlock()
}

// holdConnections keeps new connections to a server from coming up, or lets them; those that there are go on.
func (a *servers) holdConnections(i int, on bool) {
	var all sync.WaitGroup
	for _, d := range a.all[i].currentEndpoints() {
		if on {
			all.Go(d.hold)
		} else {
			d.release()
		}
	}
	all.Wait()
}

// changeModel does something to a server's model.
func (a *servers) changeModel(i int, f func(*world.Server)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.all[i]
	u.advance()
	f(u.model)
	u.update()
}

// tick plays a server on by its timer.
func (u *server) tick() {
	u.servers.mu.Lock()
	defer u.servers.mu.Unlock()
	u.advance()
	u.update()
}

// advance plays the model on, and hands out what has ended.
func (u *server) advance() {
	for _, e := range u.model.Advance(u.servers.clock.now()) {
		if c := u.waiting[e.ID]; c != nil {
			c <- e
			delete(u.waiting, e.ID)
		}
	}
}

// update sets the timer, and sees whether the server has fallen over.
func (u *server) update() {
	if u.model.Fell() && !u.collapsed {
		u.collapsed, u.collapsedAt = true, u.servers.clock.now()
		h := u.servers.history
		h.note(&h.fallen, "at %v server %d was pushed over when it was cold", u.servers.clock.now(), u.number)
		u.dropJobs()
		u.endSilence()
		u.closeEndpoints()
	}
	if at, ok := u.model.Next(); ok {
		u.timer.Reset(max(0, at-u.servers.clock.now()))
	}
}

// ServeHTTP is the server's side of the protocol.
func (u *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*conn)
	at := u.servers.clock.now()
	if r.URL.Path == "/alive" {
		u.servers.mu.Lock()
		u.advance()
		u.model.Inspect(at)
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
		return // its last byte never came: it has not begun
	}
	t, n := u.servers.history.reach(id, Reached{Server: u.number, Sidecar: c.sidecar, At: at, Verdict: world.Full, Told: parseTimeout(r.Header.Get("X-Timeout")), Port: portOf(c.RemoteAddr())})
	if t == nil {
		http.Error(w, "an id that no client sent", http.StatusBadRequest)
		return
	}
	if sum := r.URL.Query().Get("sum"); sum != "" && sum != sumOf(body) {
		h := u.servers.history
		h.note(&h.strays, "at %v server %d got a body of %d bytes with request %s that its client did not send", at, u.number, len(body), id)
	}
	u.servers.arrivals[u.number].add(at, 1)
	work, err := time.ParseDuration(r.URL.Query().Get("work"))
	if err != nil {
		http.Error(w, "no work", http.StatusBadRequest)
		return
	}
	ended, job, verdict := u.submit(work, keyHash(r.Header.Get("X-Route-Key")), keyHash(r.Header.Get("Idempotency-Key")))
	u.servers.history.settle(t, n, verdict, "")
	step := func(format string, args ...any) { u.servers.history.step(t, n, u.servers.clock.now(), format, args...) }
	cut := func(why string) { step("%s", why) }
	c.onCut.Store(&cut)
	switch verdict {
	case world.Full:
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case world.Down:
		panic(http.ErrAbortHandler) // its process is gone
	}
	select {
	case e, alive := <-ended:
		if !alive {
			step("dropped as its server went down")
			panic(http.ErrAbortHandler)
		}
		if e.Error {
			step("answered 500")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		u.answer(w, r, t, n)
	case <-r.Context().Done(): // given up: the sidecar has closed the connection
		step("given up")
		u.cancel(job)
	}
}

// answer answers a request that has run, as well as the server does for now. n is its place among its try's arrivals.
func (u *server) answer(w http.ResponseWriter, r *http.Request, t *Try, n int) {
	body := fmt.Sprintf("%s served by s-%d, arrival %d", t.ID, u.number, n)
	if size, err := strconv.Atoi(r.URL.Query().Get("answer")); err == nil {
		body = strings.Repeat(body, 1+min(size, maxBodyBytes)/len(body))
	}
	hang, spoils, draw := u.drawMisbehaviour()
	step := func(format string, args ...any) { u.servers.history.step(t, n, u.servers.clock.now(), format, args...) }
	if hang {
		u.servers.history.spoil(t, n)
		step("hangs")
		<-r.Context().Done()
		step("connection ended")
		return
	}
	u.servers.history.settle(t, n, world.Taken, body)
	if spoils {
		writeSpoilt(w, body, draw, func(way string, whole bool) {
			step("spoils: %s", way)
			if !whole {
				u.servers.history.spoil(t, n)
			}
		})
		step("connection ended")
		return
	}
	if len(body) <= answerChunkBytes {
		_, _ = io.WriteString(w, body) // fails where the sidecar has gone
		step("answered")
		return
	}
	c := r.Context().Value(connKey{}).(*conn)
	cut := func(why string) {
		u.servers.history.spoil(t, n)
		step("%s", why)
	}
	c.onCut.Store(&cut)
	step("begins a long answer")
	sent, err := writeLongAnswer(w, body, draw)
	step("sent %d of %d bytes, error %v", sent, len(body), err)
}

// portOf is the port of a TCP address, or 0.
func portOf(address net.Addr) int {
	if at, ok := address.(*net.TCPAddr); ok {
		return at.Port
	}
	return 0
}

// writeLongAnswer sends an answer in pieces, with its length told or not. It returns how much has gone out; an error says that the
// sidecar has gone.
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

// drawMisbehaviour draws whether a request is never answered, or its answer spoilt, and in which way.
func (u *server) drawMisbehaviour() (hangs, spoils bool, draw int) {
	u.servers.mu.Lock()
	defer u.servers.mu.Unlock()
	return rand.Float64() < u.hangShare, rand.Float64() < u.spoilShare, rand.IntN(len(spoiltAnswers))
}

// setMisbehaviour has a server hang for a share of its requests, or spoil a share of its answers.
func (a *servers) setMisbehaviour(i int, set func(u *server)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	set(a.all[i])
}

// parseTimeout reads X-Timeout; 0: it is missing or malformed.
func parseTimeout(text string) time.Duration {
	d, err := time.ParseDuration(strings.NewReplacer("m", "ms", "u", "us").Replace(text))
	if err != nil {
		return 0
	}
	return d
}

// keyHash is a key as the model has it; 0: none.
func keyHash(key string) uint64 {
	if key == "" {
		return 0
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, key) // a hash takes everything
	return h.Sum64() | 1
}

// submit hands a request to the model.
func (u *server) submit(work time.Duration, key, unique uint64) (chan world.Ended, uint64, world.Verdict) {
	u.servers.mu.Lock()
	defer u.servers.mu.Unlock()
	u.advance()
	defer u.update()
	if len(u.conns) > u.sockets {
		return nil, 0, world.Full
	}
	u.lastJob++
	v := u.model.Arrive(u.servers.clock.now(), world.Job{ID: u.lastJob, Work: work, Key: key, Unique: unique})
	if v != world.Taken {
		return nil, 0, v
	}
	c := make(chan world.Ended, 1)
	u.waiting[u.lastJob] = c
	return c, u.lastJob, v
}

// cancel takes that nobody waits for a job any more.
func (u *server) cancel(job uint64) {
	u.servers.mu.Lock()
	defer u.servers.mu.Unlock()
	u.advance()
	u.model.Cancel(job)
	delete(u.waiting, job)
	u.update()
}
