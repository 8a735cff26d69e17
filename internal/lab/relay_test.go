package lab

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// relayPeers are three peers with a mesh between them, each with a packet socket and a listener. Most tests use the
// first two.
type relayPeers struct {
	mesh *mesh
	udp  [3]*net.UDPConn
	tcp  [3]net.Listener
}

func newRelayPeers(t testing.TB, sharedSockets bool) *relayPeers {
	t.Helper()
	n := newTestSubnet(t, sharedSockets)
	var err error
	p := new(relayPeers)
	if p.mesh, err = newMesh(len(p.udp), n, 1); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.mesh.close)
	for i := range p.udp {
		at, _ := net.ResolveUDPAddr("udp", n.address(i, peerPort))
		if p.udp[i], err = net.ListenUDP("udp", at); err != nil {
			t.Fatal(err)
		}
		if p.tcp[i], err = net.Listen("tcp", n.address(i, peerPort)); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { p.udp[i].Close(); p.tcp[i].Close() })
	}
	return p
}

// send sends a packet through the relay from one of the first two peers to the other.
func (p *relayPeers) send(t testing.TB, from int, text string) {
	t.Helper()
	to, _ := net.ResolveUDPAddr("udp", p.mesh.routes(from)[sidecarName(1-from)])
	if _, err := p.udp[from].WriteToUDP([]byte(text), to); err != nil {
		t.Fatal(err)
	}
}

// receive waits for a packet and returns its text and the address that it came from.
func (p *relayPeers) receive(t testing.TB, at int) (string, *net.UDPAddr) {
	t.Helper()
	b := make([]byte, 2048)
	_ = p.udp[at].SetReadDeadline(time.Now().Add(20 * time.Second))
	n, from, err := p.udp[at].ReadFromUDP(b)
	if err != nil {
		t.Fatal(err)
	}
	return string(b[:n]), from
}

func TestRelayPackets(t *testing.T) { withBothSocketModes(t, relayPackets) }

func relayPackets(t *testing.T, sharedSockets bool) {
	p := newRelayPeers(t, sharedSockets)
	p.send(t, 0, "there")
	text, from := p.receive(t, 1)
	if _, err := p.udp[1].WriteToUDP([]byte("and back"), from); err != nil { // an answer to the sender's address is relayed back
		t.Fatal(err)
	}
	if back, _ := p.receive(t, 0); text != "there" || back != "and back" {
		t.Errorf("received %q and %q", text, back)
	}
	p.mesh.setConditions(0, 1, func(w *conditions) { w.duplicate = 1 })
	p.send(t, 0, "twice")
	for range 2 {
		if text, _ := p.receive(t, 1); text != "twice" {
			t.Errorf("received %q", text)
		}
	}
	p.mesh.setConditions(0, 1, func(w *conditions) { *w = conditions{drop: 1} })
	p.send(t, 0, "lost")
	p.send(t, 1, "the other way") // the other direction is not affected
	if text, _ := p.receive(t, 0); text != "the other way" {
		t.Errorf("received %q", text)
	}
	p.mesh.setConditions(0, 1, func(w *conditions) { *w = conditions{cut: true} })
	p.send(t, 0, "cut off")
	link := p.mesh.links[0][1]
	for lost := 0; lost < 2; time.Sleep(time.Millisecond) {
		link.mu.Lock()
		lost = link.lost
		link.mu.Unlock()
	}
	p.mesh.setConditions(0, 1, func(w *conditions) { *w = conditions{delay: 30 * time.Millisecond} })
	began := time.Now()
	p.send(t, 0, "late")
	if text, _ := p.receive(t, 1); text != "late" || time.Since(began) < 30*time.Millisecond {
		t.Errorf("received %q after %v", text, time.Since(began))
	}
	p.mesh.setConditions(0, 1, func(w *conditions) { *w = conditions{jitter: 50 * time.Millisecond} })
	for i := range 100 {
		p.send(t, 0, fmt.Sprintf("%03d", i))
	}
	last, overtaken := "", 0
	for range 100 {
		text, _ := p.receive(t, 1)
		if text < last {
			overtaken++
		}
		last = text
	}
	if overtaken == 0 {
		t.Error("none of 100 packets overtook another")
	}
}

// Each pair of peers has a link of its own: packets and connections reach the peer that they were sent to, answers to
// the address that they came from are relayed back, and cutting one link affects no other.
func TestRelayPairs(t *testing.T) { withBothSocketModes(t, relayPairs) }

func relayPairs(t *testing.T, sharedSockets bool) {
	p := newRelayPeers(t, sharedSockets)
	for i, l := range p.tcp {
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				fmt.Fprintf(c, "%d", i)
				c.Close()
			}
		}()
	}
	for round := range 2 {
		if round == 1 {
			p.mesh.setConditions(0, 2, func(w *conditions) { w.cut = true })
		}
		for from := range p.udp {
			for to := range p.udp {
				if from == to || round == 1 && from == 0 && to == 2 {
					continue
				}
				route := p.mesh.routes(from)[sidecarName(to)]
				at, _ := net.ResolveUDPAddr("udp", route)
				if _, err := p.udp[from].WriteToUDP(fmt.Appendf(nil, "%d to %d", from, to), at); err != nil {
					t.Fatal(err)
				}
				text, back := p.receive(t, to)
				if text != fmt.Sprintf("%d to %d", from, to) || back.String() != p.mesh.routes(to)[sidecarName(from)] {
					t.Errorf("%d received %q by %v", to, text, back)
				}
				if round == 1 && (from != 1 || to != 0) && (from != 0 || to != 1) {
					continue // a connection needs both directions
				}
				c, err := net.Dial("tcp", route)
				if err != nil {
					t.Fatal(err)
				}
				_ = c.SetDeadline(time.Now().Add(20 * time.Second))
				if who, err := io.ReadAll(c); err != nil || string(who) != fmt.Sprint(to) {
					t.Errorf("a connection from %d to %d reached %q, error %v", from, to, who, err)
				}
				c.Close()
			}
		}
	}
	at, _ := net.ResolveUDPAddr("udp", p.mesh.routes(0)[sidecarName(2)])
	_, _ = p.udp[0].WriteToUDP([]byte("cut off"), at)
	for lost := 0; lost == 0; time.Sleep(time.Millisecond) {
		l := p.mesh.links[0][2]
		l.mu.Lock()
		lost = l.lost
		l.mu.Unlock()
	}
}

func TestRelayStreams(t *testing.T) { withBothSocketModes(t, relayStreams) }

func relayStreams(t *testing.T, sharedSockets bool) {
	p := newRelayPeers(t, sharedSockets)
	go func() { // the second peer echoes what it receives
		for {
			c, err := p.tcp[1].Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); c.Close() }()
		}
	}()
	c, err := net.Dial("tcp", p.mesh.routes(0)[sidecarName(1)])
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	write := func(text string) {
		t.Helper()
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
	}
	read := func(want string) {
		t.Helper()
		b := make([]byte, len(want))
		if _, err := io.ReadFull(c, b); err != nil || string(b) != want {
			t.Fatalf("read %q, error %v, want %q", b, err, want)
		}
	}
	write("hello")
	read("hello")
	p.mesh.setConditions(1, 0, func(w *conditions) { w.cut = true }) // the direction of the answer
	write("are you there")
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, err := c.Read(make([]byte, 1)); n > 0 || err == io.EOF {
		t.Errorf("a cut link passed %d bytes, error %v", n, err)
	}
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	p.mesh.setConditions(1, 0, func(w *conditions) { w.cut = false })
	read("are you there")
	p.mesh.setConditions(0, 1, func(w *conditions) { w.rate = 200_000 })
	began, long := time.Now(), string(bytes.Repeat([]byte("x"), 50_000))
	write(long)
	read(long)
	if took := time.Since(began); took < 100*time.Millisecond { // the last chunk waits for those before it
		t.Errorf("50 kB at 200 kB/s took %v", took)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(c); err != nil || len(rest) > 0 {
		t.Errorf("after the peer's close: %q, error %v", rest, err)
	}
	p.mesh.setConditions(0, 1, func(w *conditions) { *w = conditions{cut: true} })
	var open []net.Conn
	for range maxLinkStreams + 1 {
		c, err := net.Dial("tcp", p.mesh.routes(0)[sidecarName(1)])
		if errors.Is(err, syscall.ECONNRESET) {
			return // the limit is exceeded already
		}
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		open = append(open, c)
	}
	reset := make(chan error, len(open)) // one connection is reset, the others stay open
	for _, c := range open {
		go func() { _, err := c.Read(make([]byte, 1)); reset <- err }()
	}
	if err := <-reset; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("one connection over the limit: %v", err)
	}
}

func BenchmarkRelayPacket(b *testing.B) {
	p := newRelayPeers(b, true)
	for b.Loop() {
		p.send(b, 0, "a packet of about the size that gossip has, more or less, give or take some")
		p.receive(b, 1)
	}
	b.ReportMetric(float64(p.mesh.addedDelay.sum.Microseconds())/float64(p.mesh.addedDelay.n), "added-µs/packet")
}

func BenchmarkRelayStream(b *testing.B) {
	p := newRelayPeers(b, true)
	go func() {
		for {
			c, err := p.tcp[1].Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
	}()
	c, err := net.Dial("tcp", p.mesh.routes(0)[sidecarName(1)])
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	chunk := make([]byte, 64<<10)
	b.SetBytes(int64(len(chunk)))
	for b.Loop() {
		if _, err := c.Write(chunk); err != nil {
			b.Fatal(err)
		}
	}
}
