package member

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// maxPendingStreams is how many streams of one kind may wait for Accept.
const maxPendingStreams = 16

// listener accepts the streams of one kind that arrive at a group's address. It implements net.Listener.
type listener struct {
	group   *Group
	kind    byte
	pending chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Listen returns a listener for the streams of one kind that other members open with Dial. kind is the first byte of a stream;
// it must not be one that memberlist's own streams begin with (0 to 14 and 244).
func (g *Group) Listen(kind byte) net.Listener {
	l := &listener{group: g, kind: kind, pending: make(chan net.Conn, maxPendingStreams), done: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners[kind] = l
	return l
}

// listenerFor returns the listener for streams of a kind, or nil.
func (g *Group) listenerFor(kind byte) *listener {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listeners[kind]
}

// deliver queues a stream for Accept. It closes the stream if the listener is closed or its queue is full.
func (l *listener) deliver(c net.Conn) {
	l.group.mu.Lock() // so that no stream is queued after Close has emptied pending
	defer l.group.mu.Unlock()
	if l.group.listeners[l.kind] != l {
		c.Close()
		return
	}
	select {
	case l.pending <- c:
	default:
		c.Close()
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.pending:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.group.mu.Lock()
		if l.group.listeners[l.kind] == l {
			delete(l.group.listeners, l.kind)
		}
		l.group.mu.Unlock()
		close(l.done)
		for {
			select {
			case c := <-l.pending:
				c.Close()
			default:
				return
			}
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return memberAddr(l.group.cfg.Name) }

// Dial opens a stream of a kind to the named member, at its route or else at the address that the member announces. timeout
// bounds both the dial and the write of the kind.
func (g *Group) Dial(name string, kind byte, timeout time.Duration) (net.Conn, error) {
	g.mu.Lock()
	t, address := g.transport, g.cfg.Routes[name]
	if e := g.members[name]; e != nil && address == "" {
		address = e.address
	}
	g.mu.Unlock()
	if t == nil {
		return nil, errors.New("member: membership is not running")
	}
	if address == "" {
		return nil, fmt.Errorf("member: no address is known for %q", name)
	}
	c, err := t.DialTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	_ = c.SetWriteDeadline(time.Now().Add(timeout)) // fails only on a closed connection, where the write fails too
	c = g.cfg.Meter.WrapConn(c, meterKind(g.cfg.StreamKinds, kind), true)
	if _, err := c.Write([]byte{kind}); err != nil {
		c.Close()
		return nil, err
	}
	return c, c.SetWriteDeadline(time.Time{})
}

// memberAddr is a member's name as a net.Addr.
type memberAddr string

func (a memberAddr) Network() string { return "member" }
func (a memberAddr) String() string  { return string(a) }
