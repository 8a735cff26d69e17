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

// KindNames are the names of the kinds, indexed by Kind.
var KindNames = [kinds]string{"packets", "exchanges", "duties", "rules", "discovery", "other"}

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

// AddReceived adds received bytes and units of a kind.
func (m *Meter) AddReceived(k Kind, bytes, units int) {
	if m != nil {
		m.in[k].bytes.Add(int64(bytes))
		m.in[k].units.Add(int64(units))
	}
}

// AddSent adds sent bytes and units of a kind.
func (m *Meter) AddSent(k Kind, bytes, units int) {
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

// Add returns the sum t+o.
func (t Traffic) Add(o Traffic) Traffic { return t.each(o, 1) }

// Sub returns the difference t-o: the traffic since o, if o is an earlier result of the same meter.
func (t Traffic) Sub(o Traffic) Traffic { return t.each(o, -1) }

func (t Traffic) each(o Traffic, sign int64) Traffic {
	for k := range kinds {
		t.In[k].Bytes += sign * o.In[k].Bytes
		t.In[k].Units += sign * o.In[k].Units
		t.Out[k].Bytes += sign * o.Out[k].Bytes
		t.Out[k].Units += sign * o.Out[k].Units
	}
	return t
}

// WrapConn counts a connection as opened by this process, or else as accepted. It returns a connection that counts the bytes
// read and written.
func (m *Meter) WrapConn(c net.Conn, k Kind, opened bool) net.Conn {
	if m == nil {
		return c
	}
	if opened {
		m.AddSent(k, 0, 1)
	} else {
		m.AddReceived(k, 0, 1)
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
	c.m.AddReceived(c.k, n, 0)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.m.AddSent(c.k, n, 0)
	return n, err
}
