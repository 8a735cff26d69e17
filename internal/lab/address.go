package lab

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Every sidecar has a loopback address of its own, and reaches whatever it may reach at ports of that address: each
// server, discovery, each peer. So the address at which somebody is called tells who calls.
//
// Whoever is reached by all sidecars has one socket for all of them: it is bound to every address and to the device lo,
// so that it hears all of 127.0.0.0/8 and nothing from outside. Its port has to be its own on the whole machine, as
// such a socket hears other labs' addresses too. Where the system does not permit that, it has a socket for each sidecar.
const (
	clientPort   = 8080
	consolePort  = 9100 // and the ones after it, one for each process of a sidecar
	peerPort     = 7946 // where a sidecar's own parts listen for its peers
	firstOwnPort = 10000
	claimPort    = 30000

	// Ports that labs share out among them, below those that the system gives to connections. The first port of each
	// chunk is its claim: whoever listens there has the others.
	firstChunkPort = 10400
	endChunkPorts  = 30000
	portsPerChunk  = 32
)

// subnet is what a run has for itself: a part of 127.0.0.0/8, which is 127.N.0.0/16, and ports in all of it. Its methods
// are safe for concurrent use.
type subnet struct {
	octet         int
	claim         net.Listener
	sharedSockets bool // one socket hears all sidecars

	mu       sync.Mutex
	chunks   []net.Listener
	nextPort int // the next port of the last chunk
	chunkEnd int // and its end
}

// claimSubnet takes the first subnet that no other lab has. It is given up when the lab ends, however that is.
func claimSubnet() (*subnet, error) {
	var last error
	for n := 40; n < 250; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", n, claimPort))
		if err != nil {
			last = err
			continue
		}
		s := &subnet{octet: n, claim: l}
		s.sharedSockets, err = sharedSocketsPermitted()
		if err != nil {
			l.Close()
			return nil, err
		}
		return s, nil
	}
	return nil, fmt.Errorf("no part of 127.0.0.0/8 is free for a run: %w", last)
}

// sharedSocketsPermitted says whether this user may have sockets that hear a whole device.
func sharedSocketsPermitted() (bool, error) {
	l, err := listenLoopback(0)
	switch {
	case errors.Is(err, unix.EPERM) || errors.Is(err, unix.ENODEV) || errors.Is(err, unix.ENOPROTOOPT):
		return false, nil
	case err != nil:
		return false, err
	}
	return true, l.Close()
}

func (s *subnet) release() {
	s.claim.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.chunks {
		c.Close()
	}
}

// allocatePort gives out a port that no other lab has, at no address.
func (s *subnet) allocatePort() (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.sharedSockets { // all of its addresses are its own
		s.nextPort++
		return firstOwnPort + s.nextPort - 1, nil
	}
	for {
		for ; s.nextPort < s.chunkEnd; s.nextPort++ {
			if l, err := listenLoopback(s.nextPort); err == nil { // or it is somebody's who is no lab
				closeListener(l)
				s.nextPort++
				return s.nextPort - 1, nil
			}
		}
		if err := s.claimChunk(); err != nil {
			return 0, err
		}
	}
}

// claimChunk claims the next chunk that nobody has.
func (s *subnet) claimChunk() error {
	var last error
	for from := firstChunkPort; from+portsPerChunk <= endChunkPorts; from += portsPerChunk {
		l, err := listenLoopback(from)
		if err == nil {
			s.chunks, s.nextPort, s.chunkEnd = append(s.chunks, l), from+1, from+portsPerChunk
			return nil
		}
		last = err
	}
	return fmt.Errorf("no ports from %d to %d are free for a run: %w", firstChunkPort, endChunkPorts-1, last)
}

// host is a sidecar's address.
func (s *subnet) host(sidecar int) string { return s.ip(sidecar).String() }

func (s *subnet) ip(sidecar int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(s.octet), byte(1 + sidecar/250), byte(1 + sidecar%250)})
}

// sidecar is whose address that is; -1: no sidecar's of this run.
func (s *subnet) sidecarAt(ip netip.Addr) int {
	b := ip.Unmap().As4()
	if b[0] != 127 || int(b[1]) != s.octet || b[2] < 1 || b[3] < 1 || b[3] > 250 {
		return -1
	}
	return (int(b[2])-1)*250 + int(b[3]) - 1
}

// callerAt is the number of the sidecar that made a connection, by the address that it called.
func (s *subnet) callerAt(local net.Addr) int {
	tcp, ok := local.(*net.TCPAddr)
	if !ok {
		return -1
	}
	return s.sidecarAt(tcp.AddrPort().Addr())
}

func (s *subnet) address(sidecar, port int) string {
	return net.JoinHostPort(s.host(sidecar), strconv.Itoa(port))
}

// listen listens at a port of all sidecars' addresses: with one socket, or with one for each.
func (s *subnet) listen(port, sidecars int, whose string) (all []*net.TCPListener, err error) {
	if s.sharedSockets {
		l, err := listenLoopback(port)
		if err != nil {
			return nil, fmt.Errorf("%s, for all sidecars: %w", whose, err)
		}
		return []*net.TCPListener{l}, nil
	}
	for i := range sidecars {
		l, err := net.Listen("tcp", s.address(i, port))
		if err != nil {
			for _, l := range all {
				l.Close()
			}
			return nil, fmt.Errorf("%s, for sidecar %d: %w", whose, i, err)
		}
		all = append(all, l.(*net.TCPListener))
	}
	return all, nil
}

// listenPackets is open for packets.
func (s *subnet) listenPackets(port, sidecars int, whose string) (all []*net.UDPConn, err error) {
	at := make([]string, sidecars)
	for i := range at {
		at[i] = s.address(i, port)
	}
	lc := net.ListenConfig{Control: requestDestination}
	if s.sharedSockets {
		at, lc.Control = []string{fmt.Sprintf("0.0.0.0:%d", port)}, func(network, address string, c syscall.RawConn) error {
			return errors.Join(bindLoopback(network, address, c), requestDestination(network, address, c))
		}
	}
	for _, address := range at {
		p, err := lc.ListenPacket(context.Background(), "udp4", address)
		if err != nil {
			for _, p := range all {
				p.Close()
			}
			return nil, fmt.Errorf("%s, packets at %s: %w", whose, address, err)
		}
		all = append(all, p.(*net.UDPConn))
	}
	return all, nil
}

// listenLoopback listens at a port of all loopback addresses, and at no other; at one of the system's choice for port 0.
func listenLoopback(port int) (*net.TCPListener, error) {
	lc := net.ListenConfig{Control: bindLoopback}
	l, err := lc.Listen(context.Background(), "tcp4", fmt.Sprintf("0.0.0.0:%d", port))
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// closeListener closes a listener, at once: a process that is being started holds what this one has open, until it is another program.
func closeListener(l *net.TCPListener) {
	if raw, err := l.SyscallConn(); err == nil {
		_ = withDescriptor(raw, func(fd int) error { return unix.Shutdown(fd, unix.SHUT_RD) }) // fails only on a closed one
	}
	l.Close()
}

func bindLoopback(_, _ string, c syscall.RawConn) error {
	return withDescriptor(c, func(fd int) error { return unix.BindToDevice(fd, "lo") })
}

// requestDestination has each packet come with the address that it was sent to.
func requestDestination(_, _ string, c syscall.RawConn) error {
	return withDescriptor(c, func(fd int) error { return unix.SetsockoptInt(fd, unix.IPPROTO_IP, unix.IP_PKTINFO, 1) })
}

func withDescriptor(c syscall.RawConn, f func(fd int) error) error {
	var err error
	if closed := c.Control(func(fd uintptr) { err = f(int(fd)) }); closed != nil {
		return closed
	}
	return err
}

// destination reads the address that a packet was sent to from what came with it.
func destination(oob []byte) (netip.Addr, bool) {
	messages, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return netip.Addr{}, false
	}
	for _, m := range messages {
		if m.Header.Level == unix.IPPROTO_IP && m.Header.Type == unix.IP_PKTINFO && len(m.Data) >= unix.SizeofInet4Pktinfo {
			return netip.AddrFrom4([4]byte(m.Data[8:12])), true // of in_pktinfo: the interface, the local address, the header's
		}
	}
	return netip.Addr{}, false
}

// sourceAddress words that a packet goes out from an address.
func sourceAddress(ip netip.Addr) []byte {
	return unix.PktInfo4(&unix.Inet4Pktinfo{Spec_dst: ip.As4()})
}
