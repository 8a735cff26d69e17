package lab

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxLinkPackets    = 4096     // packets under way on a link at most; more are lost, as in a full buffer
	maxLinkStreams    = 64       // connections on a link at most; more are reset
	streamChunkBytes  = 16 << 10 // bytes of a stream that are passed on at a time
	maxPacketBytes    = 64 << 10
	packetBufferBytes = 1 << 20 // bytes of packets that wait for the relay at one port
	maxMeshPackets    = 1 << 16 // packets under way on all links
	maxMeshStreams    = 1 << 12 // connections on all links; each has five goroutines
)

// conditions is what a link does to what passes.
type conditions struct {
	cut       bool
	delay     time.Duration
	jitter    time.Duration // up to so much more, drawn for each packet: they overtake each other
	drop      float64       // share of packets lost; streams are not: they would only be slower
	duplicate float64       // share of packets that come twice
	rate      float64       // bytes a second; 0: as many as come
}

// link is the way from one sidecar to another. Its methods are safe for concurrent use; open is guarded by the mesh's lock.
type link struct {
	mesh     *mesh
	from, to int

	mu         sync.Mutex
	conditions conditions
	changed    chan struct{} // closed with each change
	rng        *rand.Rand
	freeAt     time.Time // when the link has room for the next bytes, where it is limited
	inFlight   int       // packets under way
	lost       int       // and those that were cut off or dropped
	open       int       // connections
}

// gate is where all others reach one sidecar: one socket for packets and one for streams, or one of each for each of the
// others where the system permits no other. The address that was called tells who calls.
type relay struct {
	port int
	udp  []*net.UDPConn
	tcp  []*net.TCPListener
}

// sendSocket is the socket by which packets go out from a sidecar's address at the gate's port.
func (g *relay) sendSocket(sidecar int) *net.UDPConn { return g.udp[min(sidecar, len(g.udp)-1)] }

// mesh is the network between sidecars: a gate for each sidecar, and a link for each ordered pair.
type mesh struct {
	net        *subnet
	relays     []*relay
	links      [][]*link // by from and to
	addedDelay *delaySum // the relays' own added time

	inFlight atomic.Int64 // packets under way on all links

	mu    sync.Mutex
	conns map[net.Conn]bool
	open  int // connections on all links
	done  chan struct{}
	work  sync.WaitGroup
}

// delaySum sums how much later than wanted the relays passed packets on.
type delaySum struct {
	mu  sync.Mutex
	sum time.Duration
	n   int
	max time.Duration
}

func (l *delaySum) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum, l.n, l.max = l.sum+d, l.n+1, max(l.max, d)
}

func newMesh(sidecars int, n *subnet, seed uint64) (*mesh, error) {
	m := &mesh{net: n, addedDelay: new(delaySum), conns: make(map[net.Conn]bool), done: make(chan struct{})}
	for to := range sidecars {
		g, err := m.openRelay(to, sidecars)
		if err != nil {
			m.close()
			return nil, err
		}
		m.relays = append(m.relays, g)
	}
	for from := range sidecars {
		m.links = append(m.links, make([]*link, sidecars))
		for to := range sidecars {
			if from == to {
				continue
			}
			l := &link{mesh: m, from: from, to: to, changed: make(chan struct{})}
			l.rng = rand.New(rand.NewPCG(seed, 6+uint64(from)<<16+uint64(to)<<32))
			m.links[from][to] = l
		}
	}
	for to, g := range m.relays { // once all are there: a packet goes on from the address of the way back
		for _, p := range g.udp {
			m.work.Go(func() { m.relayPackets(to, p) })
		}
		for _, l := range g.tcp {
			m.work.Go(func() { m.acceptStreams(to, l) })
		}
	}
	return m, nil
}

// openRelay opens one.
func (m *mesh) openRelay(to, sidecars int) (*relay, error) {
	port, err := m.net.allocatePort()
	if err != nil {
		return nil, err
	}
	whose := "the way to sidecar " + sidecarName(to)
	udp, err := m.net.listenPackets(port, sidecars, whose)
	if err != nil {
		return nil, err
	}
	for _, p := range udp {
		_ = p.SetReadBuffer(packetBufferBytes) // as much as the system gives
	}
	tcp, err := m.net.listen(port, sidecars, whose)
	if err != nil {
		for _, p := range udp {
			p.Close()
		}
		return nil, err
	}
	return &relay{port, udp, tcp}, nil
}

// link is the way from the sidecar at an address that was called to another; nil: there is none.
func (m *mesh) linkFrom(called netip.Addr, to int) *link {
	from := m.net.sidecarAt(called)
	if from < 0 || from >= len(m.links) {
		return nil
	}
	return m.links[from][to]
}

// routes are how a sidecar reaches its peers, by their names.
func (m *mesh) routes(sidecar int) map[string]string {
	r := make(map[string]string)
	for to, g := range m.relays {
		if to != sidecar {
			r[sidecarName(to)] = m.net.address(sidecar, g.port)
		}
	}
	return r
}

// setConditions changes the weather of a link.
func (m *mesh) setConditions(from, to int, change func(*conditions)) {
	l := m.links[from][to]
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.conditions)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (m *mesh) close() {
	close(m.done)
	for _, g := range m.relays {
		for _, l := range g.tcp {
			l.Close()
		}
		for _, p := range g.udp {
			p.Close()
		}
	}
	m.mu.Lock()
	for c := range m.conns {
		c.Close()
	}
	m.mu.Unlock()
	m.work.Wait()
}

// relayPackets passes the packets to one sidecar on until the mesh is closed.
func (m *mesh) relayPackets(to int, p *net.UDPConn) {
	buffer, oob := make([]byte, maxPacketBytes), make([]byte, 256)
	address, from := netip.AddrPortFrom(m.net.ip(to), peerPort), sourceAddress(m.net.ip(to))
	for {
		n, more, _, _, err := p.ReadMsgUDPAddrPort(buffer, oob)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the kernel's word that somebody's port was closed
		}
		came := time.Now()
		called, _ := destination(oob[:more])
		l := m.linkFrom(called, to)
		if l == nil {
			continue // by an address that is no other's of this run
		}
		back := m.relays[l.from].sendSocket(to) // the address at its port is where the receiver reaches the sender
		for _, wait := range l.packetDelays(n) {
			if wait == 0 {
				_, _, _ = back.WriteMsgUDPAddrPort(buffer[:n], from, address) // packets may be lost
				m.addedDelay.add(time.Since(came))
				continue
			}
			packet := append([]byte(nil), buffer[:n]...)
			due := came.Add(wait)
			time.AfterFunc(wait, func() {
				m.inFlight.Add(-1)
				l.mu.Lock()
				l.inFlight--
				cut := l.conditions.cut
				l.mu.Unlock()
				if !cut {
					_, _, _ = back.WriteMsgUDPAddrPort(packet, from, address)
					m.addedDelay.add(time.Since(due))
				}
			})
		}
	}
}

// packetDelays draws after which times a packet arrives: never, once, or twice.
func (l *link) packetDelays(bytes int) (waits []time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.conditions
	if w.cut || l.rng.Float64() < w.drop {
		l.lost++
		return nil
	}
	copies := 1
	if l.rng.Float64() < w.duplicate {
		copies = 2
	}
	for range copies {
		wait := w.delay + l.queueDelay(bytes)
		if w.jitter > 0 {
			wait += time.Duration(l.rng.Int64N(int64(w.jitter)))
		}
		if wait > 0 {
			if l.inFlight >= maxLinkPackets || l.mesh.inFlight.Load() >= maxMeshPackets {
				continue
			}
			l.inFlight++
			l.mesh.inFlight.Add(1)
		}
		waits = append(waits, wait)
	}
	return waits
}

// queue is how long bytes wait for a link that is limited.
func (l *link) queueDelay(bytes int) time.Duration {
	if l.conditions.rate <= 0 {
		return 0
	}
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	wait := l.freeAt.Sub(now)
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.conditions.rate * float64(time.Second)))
	return wait
}

// acceptStreams passes connections to one sidecar on until the mesh is closed.
func (m *mesh) acceptStreams(to int, from *net.TCPListener) {
	for {
		c, err := from.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // no descriptor is free, or whoever called has gone already
			continue
		}
		l := m.linkFrom(c.LocalAddr().(*net.TCPAddr).AddrPort().Addr(), to)
		if l == nil || !l.countConnections(1) {
			_ = c.SetLinger(0) // fails only on a closed one
			c.Close()
			continue
		}
		m.work.Go(func() {
			defer l.countConnections(-1)
			l.relayStream(c)
		})
	}
}

// countConnections counts connections; false: there are as many as there may be.
func (l *link) countConnections(n int) bool {
	l.mesh.mu.Lock()
	defer l.mesh.mu.Unlock()
	if n > 0 && (l.open >= maxLinkStreams || l.mesh.open >= maxMeshStreams) {
		return false
	}
	l.open += n
	l.mesh.open += n
	return true
}

// relayStream passes one connection on. While the link is cut nothing passes, and nothing ends: nobody is told.
func (l *link) relayStream(c net.Conn) {
	defer c.Close()
	if !l.mesh.track(c) || !l.waitUncut() {
		return
	}
	defer l.mesh.untrack(c)
	dialer := net.Dialer{Timeout: 5 * time.Second}
	peer, err := dialer.Dial("tcp", l.mesh.net.address(l.to, peerPort))
	if err != nil {
		return
	}
	defer peer.Close()
	if !l.mesh.track(peer) {
		return
	}
	defer l.mesh.untrack(peer)
	var both sync.WaitGroup
	both.Go(func() { l.forward(peer, c) })
	both.Go(func() { l.mesh.links[l.to][l.from].forward(c, peer) })
	both.Wait()
}

// hold keeps a connection to be closed with the mesh; false: that is closed already.
func (m *mesh) track(c net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.done:
		return false
	default:
		m.conns[c] = true
		return true
	}
}

func (m *mesh) untrack(c net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
}

// waitUncut waits while the link is cut; false: until the mesh was closed.
func (l *link) waitUncut() bool {
	for {
		l.mu.Lock()
		cut, changed := l.conditions.cut, l.changed
		l.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-l.mesh.done:
			return false
		}
	}
}

// forward carries one direction of a connection in the link's weather.
func (l *link) forward(to io.Writer, from io.Reader) {
	type piece struct {
		due  time.Time
		data []byte
	}
	pieces := make(chan piece, 64)
	go func() {
		defer close(pieces)
		for {
			data := make([]byte, streamChunkBytes)
			n, err := from.Read(data)
			if n > 0 {
				l.mu.Lock()
				wait := l.conditions.delay + l.queueDelay(n)
				l.mu.Unlock()
				select {
				case pieces <- piece{time.Now().Add(wait), data[:n]}:
				case <-l.mesh.done:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	ok := true
	for p := range pieces { // to the end, so that its reader ends too
		if ok {
			time.Sleep(time.Until(p.due))
			ok = l.waitUncut()
		}
		if ok {
			_, err := to.Write(p.data)
			ok = err == nil
		}
		if !ok {
			closeAll(to, from)
		}
	}
	if w, half := to.(interface{ CloseWrite() error }); half && l.waitUncut() {
		_ = w.CloseWrite() // the other end may have gone
	}
}

func closeAll(ends ...any) {
	for _, e := range ends {
		if c, ok := e.(io.Closer); ok {
			c.Close()
		}
	}
}
