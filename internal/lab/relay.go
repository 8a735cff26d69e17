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
	maxLinkPackets    = 4096     // delayed packets on a link; further ones are lost, as when a buffer overflows
	maxLinkStreams    = 64       // connections on a link; further ones are reset
	streamChunkBytes  = 16 << 10 // read from a connection at a time
	maxPacketBytes    = 64 << 10
	packetBufferBytes = 1 << 20 // receive buffer of a packet socket
	maxMeshPackets    = 1 << 16 // delayed packets on all links; further ones are lost
	maxMeshStreams    = 1 << 12 // connections on all links, each of which has five goroutines; further ones are reset
)

// conditions are how a link treats what passes over it.
type conditions struct {
	cut       bool          // nothing passes
	delay     time.Duration // added to packets and to the bytes of connections
	jitter    time.Duration // upper bound of a further delay that is drawn for each packet, so that packets overtake each other
	drop      float64       // share of packets that are lost; connections are not affected, as TCP would only slow down
	duplicate float64       // share of packets that arrive twice
	rate      float64       // bytes a second; 0: unlimited
}

// link is the network path from one sidecar to another, in one direction. Its methods are safe for concurrent use. open
// is guarded by the mesh's lock.
type link struct {
	mesh     *mesh
	from, to int

	mu         sync.Mutex
	conditions conditions
	changed    chan struct{} // closed and replaced when the conditions change
	rng        *rand.Rand    // draws the fate of packets
	freeAt     time.Time     // when the bytes queued so far have been sent, if the rate is limited
	inFlight   int           // delayed packets
	lost       int           // packets that were cut off or dropped, also where too many were delayed
	open       int           // connections
}

// relay is where all others reach one sidecar. It has one socket for packets and one listener for connections, or one
// of each per other sidecar if shared sockets are not permitted. The address that is called identifies the sender.
type relay struct {
	port int
	udp  []*net.UDPConn
	tcp  []*net.TCPListener
}

// sendSocket returns the socket that sends packets from a sidecar's address at the relay's port.
func (r *relay) sendSocket(sidecar int) *net.UDPConn { return r.udp[min(sidecar, len(r.udp)-1)] }

// mesh is the network between sidecars: a relay for each sidecar, and a link for each ordered pair.
type mesh struct {
	net        *subnet
	relays     []*relay
	links      [][]*link // by from and to
	addedDelay *delaySum // delay that the relays themselves add to packets

	inFlight atomic.Int64 // delayed packets on all links

	mu    sync.Mutex
	conns map[net.Conn]bool
	open  int // open connections on all links
	done  chan struct{}
	work  sync.WaitGroup
}

// delaySum accumulates by how much packets were forwarded later than intended.
type delaySum struct {
	mu  sync.Mutex
	sum time.Duration
	n   int
	max time.Duration
}

// add adds the delay of one packet.
func (l *delaySum) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum, l.n, l.max = l.sum+d, l.n+1, max(l.max, d)
}

// newMesh opens the relays between sidecars. They forward until the mesh is closed. seed determines what the links
// draw.
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
	for to, g := range m.relays { // once all relays exist, as a packet is sent on by the relay of its sender
		for _, p := range g.udp {
			m.work.Go(func() { m.relayPackets(to, p) })
		}
		for _, l := range g.tcp {
			m.work.Go(func() { m.acceptStreams(to, l) })
		}
	}
	return m, nil
}

// openRelay opens the sockets of the relay to one sidecar.
func (m *mesh) openRelay(to, sidecars int) (*relay, error) {
	port, err := m.net.allocatePort()
	if err != nil {
		return nil, err
	}
	purpose := "relay to sidecar " + sidecarName(to)
	udp, err := m.net.listenPackets(port, sidecars, purpose)
	if err != nil {
		return nil, err
	}
	for _, p := range udp {
		_ = p.SetReadBuffer(packetBufferBytes) // the kernel may grant less
	}
	tcp, err := m.net.listen(port, sidecars, purpose)
	if err != nil {
		for _, p := range udp {
			p.Close()
		}
		return nil, err
	}
	return &relay{port, udp, tcp}, nil
}

// linkFrom returns the link to a sidecar from the one whose address was called, or nil if the address is no sidecar's.
func (m *mesh) linkFrom(called netip.Addr, to int) *link {
	from := m.net.sidecarAt(called)
	if from < 0 || from >= len(m.links) {
		return nil
	}
	return m.links[from][to]
}

// routes returns the addresses at which a sidecar reaches its peers, by their names.
func (m *mesh) routes(sidecar int) map[string]string {
	r := make(map[string]string)
	for to, g := range m.relays {
		if to != sidecar {
			r[sidecarName(to)] = m.net.address(sidecar, g.port)
		}
	}
	return r
}

// setConditions changes the conditions of a link.
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

// close closes all sockets and connections, and waits for the relays to end.
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

// relayPackets forwards the packets that one socket receives for a sidecar, until the mesh is closed.
func (m *mesh) relayPackets(to int, socket *net.UDPConn) {
	buffer, oob := make([]byte, maxPacketBytes), make([]byte, 256)
	address, from := netip.AddrPortFrom(m.net.ip(to), peerPort), sourceAddress(m.net.ip(to))
	for {
		n, oobLength, _, _, err := socket.ReadMsgUDPAddrPort(buffer, oob)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error: the port of an earlier packet was closed
		}
		receivedAt := time.Now()
		called, _ := destination(oob[:oobLength])
		l := m.linkFrom(called, to)
		if l == nil {
			continue // the address called is no other sidecar's of this run
		}
		sender := m.relays[l.from].sendSocket(to) // so that the receiver sees the address at which it reaches the sender
		for _, delay := range l.packetDelays(n) {
			if delay == 0 {
				_, _, _ = sender.WriteMsgUDPAddrPort(buffer[:n], from, address) // packets may be lost
				m.addedDelay.add(time.Since(receivedAt))
				continue
			}
			packet := append([]byte(nil), buffer[:n]...)
			due := receivedAt.Add(delay)
			time.AfterFunc(delay, func() {
				m.inFlight.Add(-1)
				l.mu.Lock()
				l.inFlight--
				cut := l.conditions.cut
				l.mu.Unlock()
				if !cut {
					_, _, _ = sender.WriteMsgUDPAddrPort(packet, from, address)
					m.addedDelay.add(time.Since(due))
				}
			})
		}
	}
}

// packetDelays draws the delays after which copies of a packet arrive: none if it is lost, two if it is duplicated.
func (l *link) packetDelays(bytes int) (delays []time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conditions
	if c.cut || l.rng.Float64() < c.drop {
		l.lost++
		return nil
	}
	copies := 1
	if l.rng.Float64() < c.duplicate {
		copies = 2
	}
	for range copies {
		delay := c.delay + l.queueDelay(bytes)
		if c.jitter > 0 {
			delay += time.Duration(l.rng.Int64N(int64(c.jitter)))
		}
		if delay > 0 {
			if l.inFlight >= maxLinkPackets || l.mesh.inFlight.Load() >= maxMeshPackets {
				l.lost++
				continue
			}
			l.inFlight++
			l.mesh.inFlight.Add(1)
		}
		delays = append(delays, delay)
	}
	return delays
}

// queueDelay returns how long bytes wait for those that were queued before them on a link of limited rate. The caller
// holds the lock.
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

// acceptStreams accepts and relays connections to one sidecar until the mesh is closed.
func (m *mesh) acceptStreams(to int, listener *net.TCPListener) {
	for {
		c, err := listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // out of descriptors, or the caller has already closed the connection
			continue
		}
		l := m.linkFrom(c.LocalAddr().(*net.TCPAddr).AddrPort().Addr(), to)
		if l == nil || !l.countConnections(1) {
			_ = c.SetLinger(0) // fails only if it is closed
			c.Close()
			continue
		}
		m.work.Go(func() {
			defer l.countConnections(-1)
			l.relayStream(c)
		})
	}
}

// countConnections adds n to the number of open connections. It returns false if that would exceed a limit.
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

// relayStream relays one connection in both directions. While a link is cut nothing passes on it and the connection
// stays open, so that neither end notices.
func (l *link) relayStream(c net.Conn) {
	defer c.Close()
	if !l.mesh.track(c) {
		return
	}
	defer l.mesh.untrack(c)
	if !l.waitUncut() {
		return
	}
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

// track registers a connection to be closed with the mesh. It returns false if the mesh is closed already.
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

// untrack removes a connection that track registered.
func (m *mesh) untrack(c net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
}

// waitUncut waits while the link is cut. It returns false if the mesh is closed meanwhile.
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

// forward copies one direction of a connection under the link's conditions.
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
	for p := range pieces { // drained even after an error, so that the reading goroutine ends
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
		_ = w.CloseWrite() // fails if the connection is closed
	}
}

// closeAll closes those of ends that can be closed.
func closeAll(ends ...any) {
	for _, e := range ends {
		if c, ok := e.(io.Closer); ok {
			c.Close()
		}
	}
}
