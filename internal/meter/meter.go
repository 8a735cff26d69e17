// Package meter counts what goes through sockets, by what it is for and which way.
package meter

import (
	"net"
	"sync/atomic"
)

// Kind is what bytes are for.
type Kind int

// The kinds of what control sends and is sent.
const (
	Packets   Kind = iota // membership's, UDP
	Exchanges             // membership's, TCP: whole exchanges, and probes that no packet answered
	Duties
	Rules
	Discovery
	Other
	kinds
)

// Names are the kinds' names, in their order.
var Names = [kinds]string{"packets", "exchanges", "duties", "rules", "discovery", "other"}

// Count is what went one way. Bytes are payload: the headers of packets and segments are not in them.
type Count struct {
	Bytes int64
	Units int64 // packets, or for streams the connections: opened for out, accepted for in
}

// Traffic is what went through some sockets, both ways, by kind.
type Traffic struct{ In, Out [kinds]Count }

// Meter counts. Its methods are safe for concurrent use; nil counts nothing.
type Meter struct {
	in, out [kinds]struct{ bytes, units atomic.Int64 }
}

// Received counts a packet, or the bytes of one, that came in.
func (m *Meter) Received(k Kind, bytes, units int) {
	if m != nil {
		m.in[k].bytes.Add(int64(bytes))
		m.in[k].units.Add(int64(units))
	}
}

// Sent is Received for what went out.
func (m *Meter) Sent(k Kind, bytes, units int) {
	if m != nil {
		m.out[k].bytes.Add(int64(bytes))
		m.out[k].units.Add(int64(units))
	}
}

// Traffic is what was counted so far.
func (m *Meter) Traffic() (t Traffic) {
	if m == nil {
		return t
	}
	for k := range kinds {
		t.In[k] = Count{m.in[k].bytes.Load(), m.in[k].units.Load()}
		t.Out[k] = Count{m.out[k].bytes.Load(), m.out[k].units.Load()}
	}
	return t
}

// Plus adds up two counts.
func (t Traffic) Plus(o Traffic) Traffic { return t.each(o, 1) }

// Minus is what was counted since o.
func (t Traffic) Minus(o Traffic) Traffic { return t.each(o, -1) }

func (t Traffic) each(o Traffic, sign int64) Traffic {
	for k := range kinds {
		t.In[k].Bytes += sign * o.In[k].Bytes
		t.In[k].Units += sign * o.In[k].Units
		t.Out[k].Bytes += sign * o.Out[k].Bytes
		t.Out[k].Units += sign * o.Out[k].Units
	}
	return t
}

// Conn counts what goes over a connection from now on, and the connection itself: as opened here, or as accepted.
func (m *Meter) Conn(c net.Conn, k Kind, opened bool) net.Conn {
	if m == nil {
		return c
	}
	if opened {
		m.Sent(k, 0, 1)
	} else {
		m.Received(k, 0, 1)
	}
	return &conn{c, m, k}
}

type conn struct {
	net.Conn
	m *Meter
	k Kind
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.m.Received(c.k, n, 0)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.m.Sent(c.k, n, 0)
	return n, err
}
