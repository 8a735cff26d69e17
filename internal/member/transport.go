package member

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"

	"arrowgw/internal/meter"
)

const (
	maxInboundStreams = 8       // inbound streams handled at a time; more wait in the kernel's accept queue
	maxStreamBytes    = 2 << 20 // bytes read from one stream; far above the full state of the largest fleet
)

// routedTransport wraps memberlist's transport. It sends to members by their routes where they have one, bounds inbound
// streams, and passes streams of other kinds to their listeners.
type routedTransport struct {
	memberlist.NodeAwareTransport
	routes        map[string]string
	recordContact func(name string, refused bool)
	streams       chan net.Conn
	inboundSlots  chan struct{}
	listenerFor   func(kind byte) *listener // the listener for a kind of stream, or nil if the stream is memberlist's
	done          chan struct{}
	once          sync.Once
	meter         *meter.Meter
	streamKinds   map[byte]meter.Kind
}

// newRoutedTransport wraps inner and starts to accept its streams.
func newRoutedTransport(
	inner memberlist.NodeAwareTransport, routes map[string]string, recordContact func(string, bool), listenerFor func(byte) *listener, counter *meter.Meter, streamKinds map[byte]meter.Kind,
) *routedTransport {
	t := &routedTransport{
		NodeAwareTransport: inner, routes: routes, recordContact: recordContact, listenerFor: listenerFor,
		streams: make(chan net.Conn), inboundSlots: make(chan struct{}, maxInboundStreams), done: make(chan struct{}),
		meter: counter, streamKinds: streamKinds,
	}
	go t.acceptStreams()
	return t
}

// acceptStreams dispatches inbound streams, at most maxInboundStreams at a time, until the transport is shut down.
func (t *routedTransport) acceptStreams() {
	for {
		select {
		case t.inboundSlots <- struct{}{}:
		case <-t.done:
			return
		}
		select {
		case c := <-t.NodeAwareTransport.StreamCh():
			go t.dispatch(c)
		case <-t.done:
			return
		}
	}
}

// dispatch reads a stream's first byte, and passes the stream to the listener for that kind or to memberlist.
func (t *routedTransport) dispatch(c net.Conn) {
	s := &stream{Conn: c, releaseSlot: func() { <-t.inboundSlots }}
	s.bytesLeft.Store(maxStreamBytes)
	if c.SetReadDeadline(time.Now().Add(streamTimeout)) != nil {
		s.Close()
		return
	}
	if _, err := io.ReadFull(c, s.firstByte[:]); err != nil || c.SetReadDeadline(time.Time{}) != nil {
		s.Close()
		return
	}
	if l := t.listenerFor(s.firstByte[0]); l != nil {
		s.releaseOnce.Do(s.releaseSlot) // the stream may be long-lived: it no longer counts against the limit
		k := meterKind(t.streamKinds, s.firstByte[0])
		t.meter.AddReceived(k, 1, 0)
		l.deliver(t.meter.WrapConn(c, k, false))
		return
	}
	t.meter.AddReceived(meter.Exchanges, 1, 0)
	s.Conn, s.firstByteUnread = t.meter.WrapConn(c, meter.Exchanges, false), true
	select {
	case t.streams <- s:
	case <-t.done:
		s.Close()
	}
}

// meterKind returns the kind by which the meter counts streams that begin with the byte kind.
func meterKind(streamKinds map[byte]meter.Kind, kind byte) meter.Kind {
	if k, ok := streamKinds[kind]; ok {
		return k
	}
	return meter.Other
}

// StreamCh implements memberlist.Transport.
func (t *routedTransport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown implements memberlist.Transport.
func (t *routedTransport) Shutdown() error {
	t.once.Do(func() { close(t.done) })
	return t.NodeAwareTransport.Shutdown()
}

// route replaces the address of a member that has a route.
func (t *routedTransport) route(a memberlist.Address) memberlist.Address {
	if r, ok := t.routes[a.Name]; ok {
		a.Addr = r
	}
	return a
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *routedTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.NodeAwareTransport.WriteToAddress(b, t.route(a))
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *routedTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	c, err := t.NodeAwareTransport.DialAddressTimeout(t.route(a), timeout)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
			t.recordContact(a.Name, true)
		}
		return nil, err
	}
	s := &stream{Conn: t.meter.WrapConn(c, meter.Exchanges, true), recordContact: func(refused bool) { t.recordContact(a.Name, refused) }}
	s.bytesLeft.Store(maxStreamBytes)
	return s, nil
}

// stream is a connection from which at most maxStreamBytes can be read.
type stream struct {
	net.Conn
	bytesLeft     atomic.Int64
	recordContact func(refused bool) // called once: refused if the peer closed without sending anything; may be nil
	releaseSlot   func()
	contactOnce   sync.Once
	releaseOnce   sync.Once

	firstByte       [1]byte // consumed by dispatch
	firstByteUnread bool    // the next Read returns firstByte
}

// Read implements net.Conn. It fails once maxStreamBytes have been read.
func (s *stream) Read(p []byte) (int, error) {
	if s.bytesLeft.Load() <= 0 {
		return 0, errors.New("member: stream exceeds its size limit")
	}
	if s.firstByteUnread && len(p) > 0 {
		s.firstByteUnread = false
		return copy(p, s.firstByte[:]), nil
	}
	n, err := s.Conn.Read(p)
	s.bytesLeft.Add(-int64(n))
	if s.recordContact != nil && (n > 0 || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)) {
		s.contactOnce.Do(func() { s.recordContact(n == 0) })
	}
	return n, err
}

// Close implements net.Conn.
func (s *stream) Close() error {
	if s.releaseSlot != nil {
		s.releaseOnce.Do(s.releaseSlot)
	}
	return s.Conn.Close()
}
