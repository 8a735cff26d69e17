package lab

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	linkQueue  = 4096     // packets under way on a link at most; more are lost, as in a full buffer
	linkChunk  = 16 << 10 // bytes of a stream that are passed on at a time
	packetMost = 64 << 10
)

// weather is what a link does to what passes.
type weather struct {
	cut       bool
	delay     time.Duration
	jitter    time.Duration // up to so much more, drawn for each packet: they overtake each other
	drop      float64       // share of packets lost; streams are not: they would only be slower
	duplicate float64       // share of packets that come twice
	rate      float64       // bytes a second; 0: as many as come
}

// link is the way from one sidecar to another. Its methods are safe for concurrent use.
type link struct {
	mesh     *mesh
	from, to int

	mu      sync.Mutex
	now     weather
	changed chan struct{} // closed with each change
	rng     *rand.Rand
	free    time.Time // when the link has room for the next bytes, where it is limited
	flying  int       // packets under way

	tcp net.Listener
	udp *net.UDPConn
}

// mesh is the network between sidecars: a link for each ordered pair, at an address that only one of them calls.
type mesh struct {
	net   *subnet
	links [][]*link // by from and to
	added *lateSum  // the relays' own added time

	mu    sync.Mutex
	conns map[net.Conn]bool
	done  chan struct{}
	work  sync.WaitGroup
}

// lateSum sums how much later than wanted the relays passed packets on.
type lateSum struct {
	mu   sync.Mutex
	sum  time.Duration
	n    int
	most time.Duration
}

func (l *lateSum) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum, l.n, l.most = l.sum+d, l.n+1, max(l.most, d)
}

func newMesh(sidecars int, n *subnet, seed uint64) (*mesh, error) {
	m := &mesh{net: n, added: new(lateSum), conns: make(map[net.Conn]bool), done: make(chan struct{})}
	for from := range sidecars {
		m.links = append(m.links, make([]*link, sidecars))
		for to := range sidecars {
			if from == to {
				continue
			}
			l := &link{mesh: m, from: from, to: to, changed: make(chan struct{})}
			l.rng = rand.New(rand.NewPCG(seed, 6+uint64(from)<<16+uint64(to)<<32))
			m.links[from][to] = l
			if err := l.open(); err != nil {
				m.close()
				return nil, err
			}
		}
	}
	for from := range m.links { // once all are there: a packet goes on from the address of the way back
		for _, l := range m.links[from] {
			if l != nil {
				m.work.Go(l.packets)
				m.work.Go(l.streams)
			}
		}
	}
	return m, nil
}

// open listens where the sender calls.
func (l *link) open() error {
	tcp, err := l.mesh.net.listen(l.from, linkPort+l.to, "relay")
	if err != nil {
		return err
	}
	l.tcp = tcp
	address, err := net.ResolveUDPAddr("udp", l.mesh.net.at(l.from, linkPort+l.to))
	if err != nil {
		return err
	}
	l.udp, err = net.ListenUDP("udp", address)
	return err
}

// routes are how a sidecar reaches its peers, by their names.
func (m *mesh) routes(sidecar int) map[string]string {
	r := make(map[string]string)
	for to := range m.links {
		if to != sidecar {
			r[sidecarName(to)] = m.net.at(sidecar, linkPort+to)
		}
	}
	return r
}

// set changes the weather of a link.
func (m *mesh) set(from, to int, change func(*weather)) {
	l := m.links[from][to]
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.now)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (m *mesh) close() {
	close(m.done)
	for _, row := range m.links {
		for _, l := range row {
			if l != nil && l.tcp != nil {
				l.tcp.Close()
			}
			if l != nil && l.udp != nil {
				l.udp.Close()
			}
		}
	}
	m.mu.Lock()
	for c := range m.conns {
		c.Close()
	}
	m.mu.Unlock()
	m.work.Wait()
}

// packets passes packets on until the link is closed.
func (l *link) packets() {
	to, err := net.ResolveUDPAddr("udp", l.mesh.net.at(l.to, peerPort))
	if err != nil {
		panic(err) // an address of the lab's own making
	}
	back := l.mesh.links[l.to][l.from].udp // its address is where the receiver reaches the sender
	buffer := make([]byte, packetMost)
	for {
		n, _, err := l.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the kernel's word that somebody's port was closed
		}
		came := time.Now()
		for _, wait := range l.fate(n) {
			if wait == 0 {
				_, _ = back.WriteToUDP(buffer[:n], to) // packets may be lost
				l.mesh.added.add(time.Since(came))
				continue
			}
			packet := append([]byte(nil), buffer[:n]...)
			due := came.Add(wait)
			time.AfterFunc(wait, func() {
				l.mu.Lock()
				l.flying--
				cut := l.now.cut
				l.mu.Unlock()
				if !cut {
					_, _ = back.WriteToUDP(packet, to)
					l.mesh.added.add(time.Since(due))
				}
			})
		}
	}
}

// fate draws after which times a packet arrives: never, once, or twice.
func (l *link) fate(bytes int) (waits []time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.now
	if w.cut || l.rng.Float64() < w.drop {
		return nil
	}
	copies := 1
	if l.rng.Float64() < w.duplicate {
		copies = 2
	}
	for range copies {
		wait := w.delay + l.queue(bytes)
		if w.jitter > 0 {
			wait += time.Duration(l.rng.Int64N(int64(w.jitter)))
		}
		if wait > 0 {
			if l.flying >= linkQueue {
				continue
			}
			l.flying++
		}
		waits = append(waits, wait)
	}
	return waits
}

// queue is how long bytes wait for a link that is limited.
func (l *link) queue(bytes int) time.Duration {
	if l.now.rate <= 0 {
		return 0
	}
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	wait := l.free.Sub(now)
	l.free = l.free.Add(time.Duration(float64(bytes) / l.now.rate * float64(time.Second)))
	return wait
}

// streams passes connections on until the link is closed.
func (l *link) streams() {
	for {
		c, err := l.tcp.Accept()
		if err != nil {
			return // closed, as the link is
		}
		l.mesh.work.Go(func() { l.stream(c) })
	}
}

// stream passes one connection on. While the link is cut nothing passes, and nothing ends: nobody is told.
func (l *link) stream(c net.Conn) {
	defer c.Close()
	if !l.mesh.hold(c) || !l.clear() {
		return
	}
	defer l.mesh.drop(c)
	dialer := net.Dialer{Timeout: 5 * time.Second}
	peer, err := dialer.Dial("tcp", l.mesh.net.at(l.to, peerPort))
	if err != nil {
		return
	}
	defer peer.Close()
	if !l.mesh.hold(peer) {
		return
	}
	defer l.mesh.drop(peer)
	var both sync.WaitGroup
	both.Go(func() { l.pass(peer, c) })
	both.Go(func() { l.mesh.links[l.to][l.from].pass(c, peer) })
	both.Wait()
}

// hold keeps a connection to be closed with the mesh; false: that is closed already.
func (m *mesh) hold(c net.Conn) bool {
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

func (m *mesh) drop(c net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
}

// clear waits while the link is cut; false: until the mesh was closed.
func (l *link) clear() bool {
	for {
		l.mu.Lock()
		cut, changed := l.now.cut, l.changed
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

// pass carries one direction of a connection in the link's weather.
func (l *link) pass(to io.Writer, from io.Reader) {
	type piece struct {
		due  time.Time
		data []byte
	}
	pieces := make(chan piece, 64)
	go func() {
		defer close(pieces)
		for {
			data := make([]byte, linkChunk)
			n, err := from.Read(data)
			if n > 0 {
				l.mu.Lock()
				wait := l.now.delay + l.queue(n)
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
			ok = l.clear()
		}
		if ok {
			_, err := to.Write(p.data)
			ok = err == nil
		}
		if !ok {
			closeBoth(to, from)
		}
	}
	if w, half := to.(interface{ CloseWrite() error }); half && l.clear() {
		_ = w.CloseWrite() // the other end may have gone
	}
}

func closeBoth(ends ...any) {
	for _, e := range ends {
		if c, ok := e.(io.Closer); ok {
			c.Close()
		}
	}
}
