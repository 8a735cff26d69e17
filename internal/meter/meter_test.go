package meter

import (
	"io"
	"net"
	"testing"
)

// Bytes and connections must be counted at both ends by kind and direction. A nil meter must return the connection unchanged.
func TestConn(t *testing.T) {
	var a, b Meter
	here, there := net.Pipe()
	from, to := a.WrapConn(here, Rules, true), b.WrapConn(there, Rules, false)
	go func() {
		_, _ = io.WriteString(from, "hello") // a failed write shows in what the reader gets
		from.Close()
	}()
	if got, err := io.ReadAll(to); err != nil || string(got) != "hello" {
		t.Fatalf("read %q, %v", got, err)
	}
	before := a.Traffic()
	a.AddSent(Packets, 100, 1)
	if out, in := before.Out[Rules], b.Traffic().In[Rules]; out != (Count{5, 1}) || in != (Count{5, 1}) {
		t.Errorf("sent %v, received %v, want 5 bytes over 1 connection", out, in)
	}
	if since := a.Traffic().Sub(before); since.Out[Packets] != (Count{100, 1}) || since.Out[Rules] != (Count{}) {
		t.Errorf("since before: %v, want 1 packet of 100 bytes only", since)
	}
	var nilMeter *Meter
	nilMeter.AddSent(Rules, 1, 1)
	if nilMeter.WrapConn(here, Rules, true) != here || nilMeter.Traffic() != (Traffic{}) {
		t.Error("a nil meter counts")
	}
}
