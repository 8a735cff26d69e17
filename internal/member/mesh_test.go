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

// mesh is a network in memory, for processes under a virtual clock.
type mesh struct {
	mu      sync.Mutex
	rng     *rand.Rand
	ports   map[string]*port
	loss    float64 // share of packets
	cut     func(from, to int) bool
	packets int
	bytes   int
}

// port is one process's end of a mesh.
type port struct {
	m       *mesh
	index   int
	address string
	packets chan *memberlist.Packet
	streams chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newMesh(seed uint64) *mesh {
	return &mesh{rng: rand.New(rand.NewPCG(seed, 1)), ports: make(map[string]*port), cut: func(int, int) bool { return false }}
}

func place(i int) string { return fmt.Sprintf("10.%d.%d.%d:7946", i/62500, i/250%250, 1+i%250) }

// open takes the address of a process, or finds it in use.
func (m *mesh) open(i int) (memberlist.NodeAwareTransport, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ports[place(i)] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	p := &port{
		m: m, index: i, address: place(i), packets: make(chan *memberlist.Packet), streams: make(chan net.Conn), closed: make(chan struct{}),
	}
	m.ports[p.address] = p
	return p, nil
}

// set changes the mesh's weather.
func (m *mesh) set(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

func (p *port) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	a, err := net.ResolveTCPAddr("tcp", p.address)
	if err != nil {
		return nil, 0, err
	}
	return a.IP.To4(), a.Port, nil
}

func (p *port) WriteTo(b []byte, addr string) (time.Time, error) {
	return p.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (p *port) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	p.m.mu.Lock()
	defer p.m.mu.Unlock()
	now := time.Now()
	p.m.packets++
	p.m.bytes += len(b) + 28 // with IP and UDP
	to := p.m.ports[a.Addr]
	if to == nil || p.m.rng.Float64() < p.m.loss || p.m.cut(p.index, to.index) {
		return now, nil
	}
	b = append([]byte(nil), b...)
	from := &net.UDPAddr{IP: net.IPv4(10, 0, 0, 1)}
	time.AfterFunc(time.Millisecond+time.Duration(p.m.rng.Int64N(int64(4*time.Millisecond))), func() {
		select {
		case to.packets <- &memberlist.Packet{Buf: b, From: from, Timestamp: time.Now()}:
		case <-to.closed:
		}
	})
	return now, nil
}

func (p *port) PacketCh() <-chan *memberlist.Packet { return p.packets }
func (p *port) StreamCh() <-chan net.Conn           { return p.streams }

func (p *port) IngestPacket(net.Conn, net.Addr, time.Time, bool) error { return nil }
func (p *port) IngestStream(net.Conn) error                            { return nil }

func (p *port) DialTimeout(addr string, d time.Duration) (net.Conn, error) {
	return p.DialAddressTimeout(memberlist.Address{Addr: addr}, d)
}

func (p *port) DialAddressTimeout(a memberlist.Address, d time.Duration) (net.Conn, error) {
	p.m.mu.Lock()
	to := p.m.ports[a.Addr]
	reached := to == nil || !p.m.cut(p.index, to.index) && !p.m.cut(to.index, p.index)
	p.m.mu.Unlock()
	silent := &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	if !reached {
		time.Sleep(d)
		return nil, silent
	}
	time.Sleep(4 * time.Millisecond)
	if to == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	ours, theirs := net.Pipe()
	counted := &counter{Conn: ours, m: p.m}
	select {
	case to.streams <- &counter{Conn: theirs, m: p.m}:
		return counted, nil
	case <-to.closed:
	case <-time.After(d):
	}
	ours.Close()
	return nil, silent
}

// counter counts what a stream carries.
type counter struct {
	net.Conn
	m *mesh
}

func (c *counter) Write(b []byte) (int, error) {
	c.m.set(func() { c.m.bytes += len(b) })
	return c.Conn.Write(b)
}

func (p *port) Shutdown() error {
	p.once.Do(func() {
		close(p.closed)
		p.m.set(func() {
			if p.m.ports[p.address] == p { // or somebody else has it by now
				delete(p.m.ports, p.address)
			}
		})
	})
	return nil
}

// fleet is processes on a mesh.
type fleet struct {
	t      *testing.T
	m      *mesh
	label  string
	probe  time.Duration
	live   map[int]*Group
	start  uint64
	expect int
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{t: t, m: newMesh(seed), label: "farm", live: make(map[int]*Group)}
	return f
}

func name(i int) string { return fmt.Sprintf("n%d", i) }

// config is that of a process; its seeds are the first three.
func (f *fleet) config(i int) Config {
	f.start++
	return Config{
		Name: name(i), Start: f.start, Zone: string(rune('a' + i%2)), Version: "v1", Digest: "c1", Cluster: f.label, ExpectedMembers: f.expect, ProbeInterval: f.probe,
		Seeds: []string{place(0), place(1), place(2)}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		NewTransport: func(Config) (memberlist.NodeAwareTransport, error) { return f.m.open(i) },
	}
}

// run starts a process.
func (f *fleet) run(c Config) *Group {
	f.t.Helper()
	g, err := New(c)
	if err != nil {
		f.t.Fatal(err)
	}
	g.SetPhase(Serving)
	go g.Run(f.t.Context())
	return g
}

func (f *fleet) begin(i int) *Group {
	f.live[i] = f.run(f.config(i))
	return f.live[i]
}

// kill ends a process without a word: its address refuses from then on.
func (f *fleet) kill(i int) {
	f.live[i].Close()
	delete(f.live, i)
}

// leave ends a process as a planned stop does.
func (f *fleet) leave(i int) {
	f.live[i].SetPhase(Draining)
	time.Sleep(2 * time.Second)
	f.live[i].Leave()
	delete(f.live, i)
}

func (f *fleet) end() {
	for i := range f.live {
		f.kill(i)
	}
	time.Sleep(5 * time.Second) // until all that was under way has ended
}

// wrong says in what a process's view differs from what is: the live ones, and the latest of each.
func (f *fleet) wrong(g *Group) string {
	g.mu.Lock() // a View is a sorted copy: too slow for many times hundreds of processes
	defer g.mu.Unlock()
	present := 0
	for name, e := range g.table {
		if e.state != Present {
			continue
		}
		present++
		switch other := f.live[atoi(name)]; {
		case other == nil:
			return name + " is shown, and has ended"
		case e.Start != other.cfg.Start:
			return fmt.Sprintf("%s is shown as process %d, and is %d", name, e.Start, other.cfg.Start)
		}
	}
	if present != len(f.live) {
		return fmt.Sprintf("%d are shown, %d live", present, len(f.live))
	}
	return ""
}

// agrees is View().Agreed, and stateOf a member's state, without a copy of all.
func (g *Group) agrees() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.look(time.Now())
	return g.agreed
}

func (g *Group) stateOf(name string) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.table[name]; e != nil {
		return e.state
	}
	return ""
}

func atoi(name string) (i int) {
	_, _ = fmt.Sscanf(name, "n%d", &i) // all names here are of that form
	return i
}

// settled waits until all processes see what is, and then until all say that they agree. It returns how long each took.
func (f *fleet) settled(within time.Duration) (right, agreed time.Duration) {
	f.t.Helper()
	began := time.Now()
	for phase := range 2 {
		for {
			bad := ""
			for i, g := range f.live {
				if phase == 0 {
					bad = f.wrong(g)
				} else if !g.agrees() && len(f.live) > 1 {
					v := g.View()
					bad = fmt.Sprintf("%d views, %s", v.DistinctViews, v.Standing)
				}
				if bad != "" {
					bad = name(i) + ": " + bad
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
