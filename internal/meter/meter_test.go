package meter

import (
	"io"
	"net"
	"testing"
)

// What goes over a counted connection is counted at either end, by kind and way; a nil meter leaves it as it is.
func TestConn(t *testing.T) {
	var a, b Meter
	here, there := net.Pipe()
	from, to := a.WrapConn(here, Rules, true), b.WrapConn(there, Rules, false)
	go func() {
		_, _ = io.WriteString(from, "hello") // its reader counts
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
		t.Errorf("since then: %v", since)
	}
	var none *Meter
	none.AddSent(Rules, 1, 1)
	if none.WrapConn(here, Rules, true) != here || none.Traffic() != (Traffic{}) {
		t.Error("a nil meter counts")
	}
}
