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
	packetMost = 64 << 10
	packetRoom = 512 << 10 // of the kernel, for packets that wait for a processor
	acceptWait = 100 * time.Millisecond
)

// sockets is a transport on a UDP and a TCP port. The library's own makes 64 KiB of garbage for each packet that comes,
// which in a sidecar of 32 MiB is most of its heap, and hides why it can't listen.
type sockets struct {
	udp     *net.UDPConn
	tcp     *net.TCPListener
	packets chan *memberlist.Packet
	streams chan net.Conn
	done    chan struct{}
	once    sync.Once
	work    sync.WaitGroup
	meter   *meter.Meter
}

// listen takes both ports, or neither.
func listen(at netip.AddrPort, m *meter.Meter) (*sockets, error) {
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	at = netip.AddrPortFrom(at.Addr(), uint16(tcp.Addr().(*net.TCPAddr).Port)) // where it was 0, whichever is free
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		tcp.Close()
		return nil, err
	}
	_ = udp.SetReadBuffer(packetRoom) // less room means more loss under load, no more
	s := &sockets{
		udp: udp, tcp: tcp, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn), done: make(chan struct{}),
		meter: m,
	}
	s.work.Go(s.receive)
	s.work.Go(s.accept)
	return s, nil
}

func (s *sockets) receive() {
	room := make([]byte, packetMost)
	for {
		n, from, err := s.udp.ReadFromUDP(room)
		came := time.Now()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // the kernel's word that somebody's port was closed
		}
		if n == 0 {
			continue
		}
		s.meter.AddReceived(meter.Packets, n, 1)
		select {
		case s.packets <- &memberlist.Packet{Buf: append([]byte(nil), room[:n]...), From: from, Timestamp: came}:
		case <-s.done:
			return
		}
	}
}

func (s *sockets) accept() {
	for {
		c, err := s.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			select {
			case <-time.After(acceptWait): // no descriptor is free, say
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
func (s *sockets) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	at := s.tcp.Addr().(*net.TCPAddr)
	if v4 := at.IP.To4(); v4 != nil {
		return v4, at.Port, nil
	}
	return at.IP, at.Port, nil
}

// WriteTo implements memberlist.Transport.
func (s *sockets) WriteTo(b []byte, address string) (time.Time, error) {
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
func (s *sockets) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return s.WriteTo(b, a.Addr)
}

// DialTimeout implements memberlist.Transport.
func (s *sockets) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: s.tcp.Addr().(*net.TCPAddr).IP}}).Dial("tcp", address)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (s *sockets) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return s.DialTimeout(a.Addr, timeout)
}

// PacketCh implements memberlist.Transport.
func (s *sockets) PacketCh() <-chan *memberlist.Packet { return s.packets }

// StreamCh implements memberlist.Transport.
func (s *sockets) StreamCh() <-chan net.Conn { return s.streams }

// IngestPacket implements memberlist.NodeAwareTransport's older part; nothing here comes in another way.
func (s *sockets) IngestPacket(net.Conn, net.Addr, time.Time, bool) error {
	return errors.ErrUnsupported
}

// IngestStream is as IngestPacket.
func (s *sockets) IngestStream(net.Conn) error { return errors.ErrUnsupported }

// Shutdown implements memberlist.Transport: the ports are free when it returns.
func (s *sockets) Shutdown() error {
	s.once.Do(func() { close(s.done) })
	err := errors.Join(s.tcp.Close(), s.udp.Close())
	s.work.Wait()
	return err
}
