package lab

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

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
	lumpShare     float64 // share of long answers that it writes in lumps
	slowReadShare float64 // share of requests that it reads in lumps
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

// setMisbehaviour applies a change to a server's misbehaviour, or to its connections.
func (a *servers) setMisbehaviour(i int, set func(u *server)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	set(a.all[i])
}
