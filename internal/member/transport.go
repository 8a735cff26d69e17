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
	streamsMost = 8       // streams of others at a time; more wait in the kernel's queue
	streamBytes = 2 << 20 // of one stream; far above the state of the largest fleet
)

// transport is the library's way to the others: by routes, where there are any, and with bounds on what comes in.
type transport struct {
	memberlist.NodeAwareTransport
	routes  map[string]string
	refused func(name string, yes bool)
	streams chan net.Conn
	places  chan struct{}
	kinds   func(kind byte) *listener // of streams that are not the library's; nil: nobody wants them
	done    chan struct{}
	once    sync.Once
	meter   *meter.Meter
	counts  map[byte]meter.Kind
}

func newTransport(
	inner memberlist.NodeAwareTransport, routes map[string]string, refused func(string, bool), kinds func(byte) *listener, m *meter.Meter, counts map[byte]meter.Kind,
) *transport {
	t := &transport{
		NodeAwareTransport: inner, routes: routes, refused: refused, kinds: kinds,
		streams: make(chan net.Conn), places: make(chan struct{}, streamsMost), done: make(chan struct{}),
		meter: m, counts: counts,
	}
	go t.admit()
	return t
}

// admit lets streams in, some at a time.
func (t *transport) admit() {
	for {
		select {
		case t.places <- struct{}{}:
		case <-t.done:
			return
		}
		select {
		case c := <-t.NodeAwareTransport.StreamCh():
			go t.sort(c)
		case <-t.done:
			return
		}
	}
}

// sort hands a stream to whoever it is for, by its first byte.
func (t *transport) sort(c net.Conn) {
	s := &stream{Conn: c, ended: func() { <-t.places }}
	s.left.Store(streamBytes)
	if c.SetReadDeadline(time.Now().Add(streamTime)) != nil {
		s.Close()
		return
	}
	if _, err := io.ReadFull(c, s.start[:]); err != nil || c.SetReadDeadline(time.Time{}) != nil {
		s.Close()
		return
	}
	if l := t.kinds(s.start[0]); l != nil {
		s.last.Do(s.ended) // it may last: it has no place here any more
		k := kindOf(t.counts, s.start[0])
		t.meter.AddReceived(k, 1, 0)
		l.hand(t.meter.WrapConn(c, k, false))
		return
	}
	t.meter.AddReceived(meter.Exchanges, 1, 0)
	s.Conn, s.unread = t.meter.WrapConn(c, meter.Exchanges, false), true
	select {
	case t.streams <- s:
	case <-t.done:
		s.Close()
	}
}

// kindOf is what streams of a kind of another part count as.
func kindOf(counts map[byte]meter.Kind, kind byte) meter.Kind {
	if k, ok := counts[kind]; ok {
		return k
	}
	return meter.Other
}

// StreamCh implements memberlist.Transport.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown implements memberlist.Transport.
func (t *transport) Shutdown() error {
	t.once.Do(func() { close(t.done) })
	return t.NodeAwareTransport.Shutdown()
}

func (t *transport) route(a memberlist.Address) memberlist.Address {
	if r, ok := t.routes[a.Name]; ok {
		a.Addr = r
	}
	return a
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.NodeAwareTransport.WriteToAddress(b, t.route(a))
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	c, err := t.NodeAwareTransport.DialAddressTimeout(t.route(a), timeout)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
			t.refused(a.Name, true)
		}
		return nil, err
	}
	s := &stream{Conn: t.meter.WrapConn(c, meter.Exchanges, true), told: func(refused bool) { t.refused(a.Name, refused) }}
	s.left.Store(streamBytes)
	return s, nil
}

// stream is a connection that carries no more than so many bytes in.
type stream struct {
	net.Conn
	left  atomic.Int64
	told  func(refused bool) // hears once whether the other end spoke, or closed without a word; nil: nobody asks
	ended func()
	first sync.Once
	last  sync.Once

	start  [1]byte // has been read already
	unread bool    // and is the first to be read again
}

func (s *stream) Read(p []byte) (int, error) {
	if s.left.Load() <= 0 {
		return 0, errors.New("member: the stream is too long")
	}
	if s.unread && len(p) > 0 {
		s.unread = false
		return copy(p, s.start[:]), nil
	}
	n, err := s.Conn.Read(p)
	s.left.Add(-int64(n))
	if s.told != nil && (n > 0 || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)) {
		s.first.Do(func() { s.told(n == 0) })
	}
	return n, err
}

func (s *stream) Close() error {
	if s.ended != nil {
		s.last.Do(s.ended)
	}
	return s.Conn.Close()
}
