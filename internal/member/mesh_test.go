package member

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

// mesh is an in-memory network for processes under a virtual clock.
type mesh struct {
	mu        sync.Mutex
	rng       *rand.Rand
	endpoints map[string]*endpoint
	loss      float64                 // fraction of packets lost
	cut       func(from, to int) bool // reports whether packets and streams between two processes fail in that direction
	packets   int
	bytes     int
}

// endpoint is one process's transport on a mesh.
type endpoint struct {
	mesh    *mesh
	index   int
	address string
	packets chan *memberlist.Packet
	streams chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newMesh(seed uint64) *mesh {
	return &mesh{rng: rand.New(rand.NewPCG(seed, 1)), endpoints: make(map[string]*endpoint), cut: func(int, int) bool { return false }}
}

// addressOf returns the address of process i.
func addressOf(i int) string { return fmt.Sprintf("10.%d.%d.%d:7946", i/62500, i/250%250, 1+i%250) }

// listen opens the address of process i, or fails with EADDRINUSE.
func (m *mesh) listen(i int) (memberlist.NodeAwareTransport, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.endpoints[addressOf(i)] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	p := &endpoint{
		mesh: m, index: i, address: addressOf(i), packets: make(chan *memberlist.Packet), streams: make(chan net.Conn), closed: make(chan struct{}),
	}
	m.endpoints[p.address] = p
	return p, nil
}

// update runs change with the mesh locked, for example to change its faults.
func (m *mesh) update(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

func (p *endpoint) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	a, err := net.ResolveTCPAddr("tcp", p.address)
	if err != nil {
		return nil, 0, err
	}
	return a.IP.To4(), a.Port, nil
}

func (p *endpoint) WriteTo(b []byte, addr string) (time.Time, error) {
	return p.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (p *endpoint) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	now := time.Now()
	p.mesh.packets++
	p.mesh.bytes += len(b) + 28 // with the IP and UDP headers
	to := p.mesh.endpoints[a.Addr]
	if to == nil || p.mesh.rng.Float64() < p.mesh.loss || p.mesh.cut(p.index, to.index) {
		return now, nil
	}
	b = append([]byte(nil), b...)
	from := &net.UDPAddr{IP: net.IPv4(10, 0, 0, 1)}
	time.AfterFunc(time.Millisecond+time.Duration(p.mesh.rng.Int64N(int64(4*time.Millisecond))), func() {
		select {
		case to.packets <- &memberlist.Packet{Buf: b, From: from, Timestamp: time.Now()}:
		case <-to.closed:
		}
	})
	return now, nil
}

func (p *endpoint) PacketCh() <-chan *memberlist.Packet { return p.packets }
func (p *endpoint) StreamCh() <-chan net.Conn           { return p.streams }

func (p *endpoint) IngestPacket(net.Conn, net.Addr, time.Time, bool) error { return nil }
func (p *endpoint) IngestStream(net.Conn) error                            { return nil }

func (p *endpoint) DialTimeout(addr string, d time.Duration) (net.Conn, error) {
	return p.DialAddressTimeout(memberlist.Address{Addr: addr}, d)
}

func (p *endpoint) DialAddressTimeout(a memberlist.Address, d time.Duration) (net.Conn, error) {
	p.mesh.mu.Lock()
	to := p.mesh.endpoints[a.Addr]
	reachable := to == nil || !p.mesh.cut(p.index, to.index) && !p.mesh.cut(to.index, p.index)
	p.mesh.mu.Unlock()
	timeout := &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	if !reachable {
		time.Sleep(d)
		return nil, timeout
	}
	time.Sleep(4 * time.Millisecond)
	if to == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	ours, theirs := net.Pipe()
	counted := &countingConn{Conn: ours, mesh: p.mesh}
	select {
	case to.streams <- &countingConn{Conn: theirs, mesh: p.mesh}:
		return counted, nil
	case <-to.closed:
	case <-time.After(d):
	}
	ours.Close()
	return nil, timeout
}

// countingConn adds the bytes that are written to a stream to the mesh's count.
type countingConn struct {
	net.Conn
	mesh *mesh
}

func (c *countingConn) Write(b []byte) (int, error) {
	c.mesh.update(func() { c.mesh.bytes += len(b) })
	return c.Conn.Write(b)
}

func (p *endpoint) Shutdown() error {
	p.once.Do(func() {
		close(p.closed)
		p.mesh.update(func() {
			if p.mesh.endpoints[p.address] == p { // unless a later process holds it by now
				delete(p.mesh.endpoints, p.address)
			}
		})
	})
	return nil
}

// fleet is a set of processes on a mesh.
type fleet struct {
	t               *testing.T
	mesh            *mesh
	cluster         string
	probeInterval   time.Duration
	live            map[int]*Group
	lastStart       uint64
	expectedMembers int
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{t: t, mesh: newMesh(seed), cluster: "farm", live: make(map[int]*Group)}
	return f
}

// nodeName returns the member name of process i.
func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

// config returns the configuration of a new process i. Its seeds are the first three processes.
func (f *fleet) config(i int) Config {
	f.lastStart++
	return Config{
		Name: nodeName(i), Start: f.lastStart, Zone: string(rune('a' + i%2)), Version: "v1", Digest: "c1", Cluster: f.cluster, ExpectedMembers: f.expectedMembers, ProbeInterval: f.probeInterval,
		Seeds: []string{addressOf(0), addressOf(1), addressOf(2)}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		NewTransport: func(Config) (memberlist.NodeAwareTransport, error) { return f.mesh.listen(i) },
	}
}

// startWith starts a process with a configuration.
func (f *fleet) startWith(c Config) *Group {
	f.t.Helper()
	g, err := New(c)
	if err != nil {
		f.t.Fatal(err)
	}
	g.SetPhase(Serving)
	go g.Run(f.t.Context())
	return g
}

// startNode starts process i with its default configuration.
func (f *fleet) startNode(i int) *Group {
	f.live[i] = f.startWith(f.config(i))
	return f.live[i]
}

// kill ends a process unannounced. Its address refuses connections from then on.
func (f *fleet) kill(i int) {
	f.live[i].Close()
	delete(f.live, i)
}

// leave ends a process gracefully, as a planned stop does.
func (f *fleet) leave(i int) {
	f.live[i].SetPhase(Draining)
	time.Sleep(2 * time.Second)
	f.live[i].Leave()
	delete(f.live, i)
}

// killAll ends all live processes unannounced.
func (f *fleet) killAll() {
	for i := range f.live {
		f.kill(i)
	}
	time.Sleep(5 * time.Second) // lets goroutines that are still running end
}

// viewError describes how a process's view differs from the processes that are live, or returns "".
func (f *fleet) viewError(g *Group) string {
	g.mu.Lock() // not View: sorting and copying it is too slow for repeated calls in hundreds of processes
	defer g.mu.Unlock()
	present := 0
	for name, e := range g.members {
		if e.state != Present {
			continue
		}
		present++
		switch other := f.live[nodeIndex(name)]; {
		case other == nil:
			return name + " is shown as present, but has ended"
		case e.Start != other.cfg.Start:
			return fmt.Sprintf("%s is shown with start number %d, want %d", name, e.Start, other.cfg.Start)
		}
	}
	if present != len(f.live) {
		return fmt.Sprintf("%d members are shown as present, want %d", present, len(f.live))
	}
	return ""
}

// hasAgreed is View().Agreed without the copy of the members.
func (g *Group) hasAgreed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refreshLocked(time.Now())
	return g.agreed
}

// stateOf returns the state of the named member without the copy of the members.
func (g *Group) stateOf(name string) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.members[name]; e != nil {
		return e.state
	}
	return ""
}

// nodeIndex returns the number of the process with a member name.
func nodeIndex(name string) (i int) {
	_, _ = fmt.Sscanf(name, "n%d", &i) // all names in these tests have that form
	return i
}

// waitForAgreement waits until the view of every process is right, and then until all report agreement. It returns the times
// from the call until each.
func (f *fleet) waitForAgreement(within time.Duration) (right, agreed time.Duration) {
	f.t.Helper()
	began := time.Now()
	for phase := range 2 {
		for {
			bad := ""
			for i, g := range f.live {
				if phase == 0 {
					bad = f.viewError(g)
				} else if !g.hasAgreed() && len(f.live) > 1 {
					v := g.View()
					bad = fmt.Sprintf("%d views, %s", v.DistinctViews, v.Standing)
				}
				if bad != "" {
					bad = nodeName(i) + ": " + bad
					break
				}
			}
			if bad == "" {
				break
			}
			if time.Since(began) > within {
				f.t.Fatalf("after %v: %s", time.Since(began), bad)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if phase == 0 {
			right = time.Since(began)
		}
	}
	return right, time.Since(began)
}
