// Package meter counts the bytes and units sent and received over sockets, by purpose.
package meter

import (
	"net"
	"sync/atomic"
)

// Kind is the purpose of traffic on a connection.
type Kind int

// The kinds of control traffic.
const (
	Packets   Kind = iota // membership over UDP
	Exchanges             // membership over TCP: full state exchanges, and probes that were not answered over UDP
	Duties
	Rules
	Discovery
	Other
	kinds
)

// KindNames are the names of the kinds, indexed by Kind.
var KindNames = [kinds]string{"packets", "exchanges", "duties", "rules", "discovery", "other"}

// Count is the traffic in one direction. Bytes are payload, without the headers of packets and segments.
type Count struct {
	Bytes int64
	Units int64 // packets; for streams, connections (opened ones count as sent, accepted ones as received)
}

// Traffic is the traffic in both directions, by kind.
type Traffic struct{ In, Out [kinds]Count }

// Meter counts traffic. Its methods are safe for concurrent use. A nil Meter counts nothing.
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

// Traffic returns the totals so far.
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
func (t Traffic) Add(o Traffic) Traffic { return t.addScaled(o, 1) }

// Sub returns the difference t-o: the traffic since o, if o is an earlier result of the same meter.
func (t Traffic) Sub(o Traffic) Traffic { return t.addScaled(o, -1) }

// addScaled returns t + sign*o.
func (t Traffic) addScaled(o Traffic, sign int64) Traffic {
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

// conn is a connection whose bytes are counted.
type conn struct {
	net.Conn
	meter *Meter
	kind  Kind
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.AddReceived(c.kind, n, 0)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.AddSent(c.kind, n, 0)
	return n, err
}
