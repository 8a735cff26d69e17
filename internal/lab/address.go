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

// Every sidecar has a loopback address of its own, and reaches everything else (each server, discovery, each peer) at
// ports of that address. The address that is called therefore identifies the caller.
//
// A stand-in that all sidecars reach has one socket for all of them. It is bound to all addresses and to the device lo,
// so that it receives everything sent to 127.0.0.0/8 and nothing from outside. Its port must be unique on the whole
// machine, because it also receives what is sent to other labs' addresses. Where such sockets are not permitted, a
// stand-in has a socket for each sidecar.
const (
	clientPort   = 8080
	consolePort  = 9100  // the first of consolePorts ports, one for each process of a sidecar
	peerPort     = 7946  // where a sidecar itself listens for its peers
	firstOwnPort = 10000 // ports from here on are allocated if sockets are not shared
	claimPort    = 30000 // held while a subnet is in use

	// Ports for shared sockets, below the kernel's ephemeral ports. Labs claim them in chunks, by listening at the
	// first port of a chunk.
	firstChunkPort  = 10400
	endOfChunkPorts = 30000
	portsPerChunk   = 32
)

// subnet is what a run has for itself: the addresses 127.N.0.0/16, and ports at them. Its methods are safe for
// concurrent use.
type subnet struct {
	secondOctet   int // N
	claim         net.Listener
	sharedSockets bool // one socket serves all sidecars

	mu       sync.Mutex
	chunks   []net.Listener // listeners that claim chunks of ports
	nextPort int            // the next port to allocate
	chunkEnd int            // end of the last chunk, exclusive
}

// claimSubnet claims the first subnet that no other lab uses. The claim ends with the process at the latest.
func claimSubnet() (*subnet, error) {
	var lastErr error
	for n := 40; n < 250; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", n, claimPort))
		if err != nil {
			lastErr = err
			continue
		}
		s := &subnet{secondOctet: n, claim: l}
		s.sharedSockets, err = sharedSocketsPermitted()
		if err != nil {
			l.Close()
			return nil, err
		}
		return s, nil
	}
	return nil, fmt.Errorf("no part of 127.0.0.0/8 is free for a run: %w", lastErr)
}

// sharedSocketsPermitted reports whether this user may bind sockets to a device.
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

// release gives up the subnet and its ports.
func (s *subnet) release() {
	s.claim.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.chunks {
		c.Close()
	}
}

// allocatePort returns a port that no other lab uses and that was not allocated before.
func (s *subnet) allocatePort() (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.sharedSockets { // no other lab uses these addresses
		s.nextPort++
		return firstOwnPort + s.nextPort - 1, nil
	}
	for {
		for ; s.nextPort < s.chunkEnd; s.nextPort++ {
			if l, err := listenLoopback(s.nextPort); err == nil { // else another program uses it
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

// claimChunk claims the next chunk of ports that no lab has claimed.
func (s *subnet) claimChunk() error {
	var lastErr error
	for from := firstChunkPort; from+portsPerChunk <= endOfChunkPorts; from += portsPerChunk {
		l, err := listenLoopback(from)
		if err == nil {
			s.chunks, s.nextPort, s.chunkEnd = append(s.chunks, l), from+1, from+portsPerChunk
			return nil
		}
		lastErr = err
	}
	return fmt.Errorf("no ports from %d to %d are free for a run: %w", firstChunkPort, endOfChunkPorts-1, lastErr)
}

// host returns a sidecar's IP address as text.
func (s *subnet) host(sidecar int) string { return s.ip(sidecar).String() }

// ip returns a sidecar's IP address.
func (s *subnet) ip(sidecar int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(s.secondOctet), byte(1 + sidecar/250), byte(1 + sidecar%250)})
}

// sidecarAt returns the number of the sidecar with an address, or -1 if the address is none of this run's.
func (s *subnet) sidecarAt(ip netip.Addr) int {
	b := ip.Unmap().As4()
	if b[0] != 127 || int(b[1]) != s.secondOctet || b[2] < 1 || b[3] < 1 || b[3] > 250 {
		return -1
	}
	return (int(b[2])-1)*250 + int(b[3]) - 1
}

// callerAt returns the number of the sidecar that opened a connection, given the address that it called, or -1.
func (s *subnet) callerAt(local net.Addr) int {
	tcp, ok := local.(*net.TCPAddr)
	if !ok {
		return -1
	}
	return s.sidecarAt(tcp.AddrPort().Addr())
}

// address returns the address of a port at a sidecar's IP address.
func (s *subnet) address(sidecar, port int) string {
	return net.JoinHostPort(s.host(sidecar), strconv.Itoa(port))
}

// listen listens at a port of all sidecars' addresses, with one shared listener or one for each. purpose is named in
// errors.
func (s *subnet) listen(port, sidecars int, purpose string) (all []*net.TCPListener, err error) {
	if s.sharedSockets {
		l, err := listenLoopback(port)
		if err != nil {
			return nil, fmt.Errorf("%s, for all sidecars: %w", purpose, err)
		}
		return []*net.TCPListener{l}, nil
	}
	for i := range sidecars {
		l, err := net.Listen("tcp", s.address(i, port))
		if err != nil {
			for _, l := range all {
				l.Close()
			}
			return nil, fmt.Errorf("%s, for sidecar %d: %w", purpose, i, err)
		}
		all = append(all, l.(*net.TCPListener))
	}
	return all, nil
}

// listenPackets is like listen, for UDP. Each packet comes with the address that it was sent to.
func (s *subnet) listenPackets(port, sidecars int, purpose string) (all []*net.UDPConn, err error) {
	addresses := make([]string, sidecars)
	for i := range addresses {
		addresses[i] = s.address(i, port)
	}
	lc := net.ListenConfig{Control: requestDestination}
	if s.sharedSockets {
		addresses, lc.Control = []string{fmt.Sprintf("0.0.0.0:%d", port)}, func(network, address string, c syscall.RawConn) error {
			return errors.Join(bindLoopback(network, address, c), requestDestination(network, address, c))
		}
	}
	for _, address := range addresses {
		p, err := lc.ListenPacket(context.Background(), "udp4", address)
		if err != nil {
			for _, p := range all {
				p.Close()
			}
			return nil, fmt.Errorf("%s, UDP at %s: %w", purpose, address, err)
		}
		all = append(all, p.(*net.UDPConn))
	}
	return all, nil
}

// listenLoopback listens at a port of all loopback addresses and no others. The kernel chooses the port if it is 0.
func listenLoopback(port int) (*net.TCPListener, error) {
	lc := net.ListenConfig{Control: bindLoopback}
	l, err := lc.Listen(context.Background(), "tcp4", fmt.Sprintf("0.0.0.0:%d", port))
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// closeListener closes a listener such that connections are refused at once. Close alone is not enough: a child process
// that is being started holds a copy of the descriptor until it executes its program.
func closeListener(l *net.TCPListener) {
	if raw, err := l.SyscallConn(); err == nil {
		_ = withDescriptor(raw, func(fd int) error { return unix.Shutdown(fd, unix.SHUT_RD) }) // fails only if it is closed
	}
	l.Close()
}

// bindLoopback binds a socket to the device lo.
func bindLoopback(_, _ string, c syscall.RawConn) error {
	return withDescriptor(c, func(fd int) error { return unix.BindToDevice(fd, "lo") })
}

// requestDestination makes a socket report the destination address of each packet.
func requestDestination(_, _ string, c syscall.RawConn) error {
	return withDescriptor(c, func(fd int) error { return unix.SetsockoptInt(fd, unix.IPPROTO_IP, unix.IP_PKTINFO, 1) })
}

// withDescriptor calls f with the connection's descriptor.
func withDescriptor(c syscall.RawConn, f func(fd int) error) error {
	var err error
	if closed := c.Control(func(fd uintptr) { err = f(int(fd)) }); closed != nil {
		return closed
	}
	return err
}

// destination returns the address that a packet was sent to, from the control message that came with it.
func destination(oob []byte) (netip.Addr, bool) {
	messages, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return netip.Addr{}, false
	}
	for _, m := range messages {
		if m.Header.Level == unix.IPPROTO_IP && m.Header.Type == unix.IP_PKTINFO && len(m.Data) >= unix.SizeofInet4Pktinfo {
			return netip.AddrFrom4([4]byte(m.Data[8:12])), true // struct in_pktinfo: interface, local address, address in the header
		}
	}
	return netip.Addr{}, false
}

// sourceAddress returns the control message that sends a packet from ip.
func sourceAddress(ip netip.Addr) []byte {
	return unix.PktInfo4(&unix.Inet4Pktinfo{Spec_dst: ip.As4()})
}
