package member

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"arrowgw/internal/meter"
)

const (
	maxPacketBytes     = 64 << 10
	receiveBufferBytes = 512 << 10 // kernel buffer for packets that arrive while the process is not scheduled
	acceptRetryDelay   = 100 * time.Millisecond
)

// socketTransport is a memberlist transport on a UDP and a TCP port. It replaces memberlist's own, which allocates 64 KiB
// for each packet received (in a sidecar with 32 MiB of memory, most of the heap) and does not return the error of a failed
// listen.
type socketTransport struct {
	udp     *net.UDPConn
	tcp     *net.TCPListener
	packets chan *memberlist.Packet
	streams chan net.Conn
	done    chan struct{}
	once    sync.Once
	work    sync.WaitGroup
	meter   *meter.Meter
}

// listenSockets opens the UDP and the TCP port, or neither.
func listenSockets(address netip.AddrPort, m *meter.Meter) (*socketTransport, error) {
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	address = netip.AddrPortFrom(address.Addr(), uint16(tcp.Addr().(*net.TCPAddr).Port)) // with port 0 the kernel has chosen one
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		tcp.Close()
		return nil, err
	}
	_ = udp.SetReadBuffer(receiveBufferBytes) // on error a smaller buffer loses more packets under load
	s := &socketTransport{
		udp: udp, tcp: tcp, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn), done: make(chan struct{}),
		meter: m,
	}
	s.work.Go(s.receivePackets)
	s.work.Go(s.acceptStreams)
	return s, nil
}

// receivePackets passes received packets to memberlist until the transport is shut down.
func (s *socketTransport) receivePackets() {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, from, err := s.udp.ReadFromUDP(buffer)
		receivedAt := time.Now()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an ICMP error: a peer's port was closed
		}
		if n == 0 {
			continue
		}
		s.meter.AddReceived(meter.Packets, n, 1)
		select {
		case s.packets <- &memberlist.Packet{Buf: append([]byte(nil), buffer[:n]...), From: from, Timestamp: receivedAt}:
		case <-s.done:
			return
		}
	}
}

// acceptStreams passes accepted connections to memberlist until the transport is shut down.
func (s *socketTransport) acceptStreams() {
	for {
		c, err := s.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			select {
			case <-time.After(acceptRetryDelay): // for example out of file descriptors
				continue
			case <-s.done:
				return
			}
		}
		select {
		case s.streams <- c:
		case <-s.done:
			c.Close()
			return
		}
	}
}

// FinalAdvertiseAddr implements memberlist.Transport.
func (s *socketTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	address := s.tcp.Addr().(*net.TCPAddr)
	if v4 := address.IP.To4(); v4 != nil {
		return v4, address.Port, nil
	}
	return address.IP, address.Port, nil
}

// WriteTo implements memberlist.Transport.
func (s *socketTransport) WriteTo(b []byte, address string) (time.Time, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return time.Time{}, err
	}
	if _, err = s.udp.WriteToUDPAddrPort(b, to); err == nil {
		s.meter.AddSent(meter.Packets, len(b), 1)
	}
	return time.Now(), err
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (s *socketTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return s.WriteTo(b, a.Addr)
}

// DialTimeout implements memberlist.Transport.
func (s *socketTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: s.tcp.Addr().(*net.TCPAddr).IP}}).Dial("tcp", address)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (s *socketTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return s.DialTimeout(a.Addr, timeout)
}

// PacketCh implements memberlist.Transport.
func (s *socketTransport) PacketCh() <-chan *memberlist.Packet { return s.packets }

// StreamCh implements memberlist.Transport.
func (s *socketTransport) StreamCh() <-chan net.Conn { return s.streams }

// IngestPacket implements memberlist.NodeAwareTransport. It is not supported.
func (s *socketTransport) IngestPacket(net.Conn, net.Addr, time.Time, bool) error {
	return errors.ErrUnsupported
}

// IngestStream implements memberlist.NodeAwareTransport. It is not supported.
func (s *socketTransport) IngestStream(net.Conn) error { return errors.ErrUnsupported }

// Shutdown implements memberlist.Transport. Both ports are free when it returns.
func (s *socketTransport) Shutdown() error {
	s.once.Do(func() { close(s.done) })
	err := errors.Join(s.tcp.Close(), s.udp.Close())
	s.work.Wait()
	return err
}
