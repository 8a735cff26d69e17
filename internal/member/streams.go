package member

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// othersMost is how many streams of one kind wait to be taken.
const othersMost = 16

// listener takes streams of one kind that come to a group's address.
type listener struct {
	group *Group
	kind  byte
	ready chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// Listen takes the streams of a kind that other members Dial; it ends with its Close. The kind is no byte that the library's
// own streams begin with (0 to 14 and 244).
func (g *Group) Listen(kind byte) net.Listener {
	l := &listener{group: g, kind: kind, ready: make(chan net.Conn, othersMost), done: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.kinds[kind] = l
	return l
}

// listening is who takes streams of a kind, or nil.
func (g *Group) listening(kind byte) *listener {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.kinds[kind]
}

// hand gives a stream to whoever accepts; where many wait, it is closed.
func (l *listener) hand(c net.Conn) {
	l.group.mu.Lock() // so that none is handed over behind the Close that empties ready
	defer l.group.mu.Unlock()
	if l.group.kinds[l.kind] != l {
		c.Close()
		return
	}
	select {
	case l.ready <- c:
	default:
		c.Close()
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.group.mu.Lock()
		if l.group.kinds[l.kind] == l {
			delete(l.group.kinds, l.kind)
		}
		l.group.mu.Unlock()
		close(l.done)
		for {
			select {
			case c := <-l.ready:
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

// Dial opens a stream of a kind to a member, by its route or to where it says that it is.
func (g *Group) Dial(name string, kind byte, timeout time.Duration) (net.Conn, error) {
	g.mu.Lock()
	t, address := g.transport, g.cfg.Routes[name]
	if e := g.table[name]; e != nil && address == "" {
		address = e.address
	}
	g.mu.Unlock()
	if t == nil {
		return nil, errors.New("member: this process takes no part yet, or no more")
	}
	if address == "" {
		return nil, fmt.Errorf("member: nothing is known of %q", name)
	}
	c, err := t.DialTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	_ = c.SetWriteDeadline(time.Now().Add(timeout)) // it fails on a closed one, as writing does
	c = g.cfg.Meter.WrapConn(c, kindOf(g.cfg.StreamKinds, kind), true)
	if _, err := c.Write([]byte{kind}); err != nil {
		c.Close()
		return nil, err
	}
	return c, c.SetWriteDeadline(time.Time{})
}

// memberAddr is a member's name as an address.
type memberAddr string

func (a memberAddr) Network() string { return "member" }
func (a memberAddr) String() string  { return string(a) }
