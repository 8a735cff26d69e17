package lab

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// newTestSubnet claims a subnet whose listeners hear all sidecars, or one each, as where the system does not permit the other.
func newTestSubnet(t testing.TB, wide bool) *subnet {
	t.Helper()
	n, err := claimSubnet()
	if err != nil {
		t.Fatal(err)
	}
	if wide && !n.sharedSockets {
		t.Skip("one socket may not hear all of loopback here")
	}
	n.sharedSockets = wide
	t.Cleanup(n.release)
	return n
}

// withBothSocketModes runs a test with one listener for all sidecars, and with one for each.
func withBothSocketModes(t *testing.T, f func(t *testing.T, wide bool)) {
	t.Run("wide", func(t *testing.T) { f(t, true) })
	t.Run("each", func(t *testing.T) { f(t, false) })
}

// Two labs at once: every server knows who calls without asking, hears nobody by another lab's addresses, is refused
// when its process dies, and says nothing when its machine vanishes, to all of its sidecars and to nobody else's.
func TestServersKnowTheirCallers(t *testing.T) { withBothSocketModes(t, serversKnowTheirCallers) }

func serversKnowTheirCallers(t *testing.T, wide bool) {
	const sidecars, count = 253, 3 // past one part of the addresses
	s := readScenario(t, fmt.Sprintf("[fleet]\nsidecars=%d\nservers=%d", sidecars, count))
	var labs [2]*servers
	var told [2]*History
	for i := range labs {
		var err error
		told[i] = new(History)
		if labs[i], err = newServers(s, 1, newClock(), told[i], newTestSubnet(t, wide)); err != nil {
			t.Fatal(err)
		}
		defer labs[i].close()
	}
	dial := func(address string) error {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err == nil {
			c.Close()
		}
		return err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for lab, all := range labs {
		for _, sidecar := range []int{0, 1, 249, 250, sidecars - 1} {
			for server := range count {
				try := told[lab].begin(0, sidecar, 0, 0)
				req, _ := http.NewRequest(http.MethodGet, "http://"+all.address(sidecar, server)+"/?work=1ms", nil)
				req.Header.Set("X-Request-ID", try.ID)
				res, err := client.Do(req)
				if err != nil {
					t.Fatal(err)
				}
				res.Body.Close()
				if r := try.Reached; len(r) != 1 || r[0].Server != server || r[0].Sidecar != sidecar {
					t.Errorf("lab %d: sidecar %d at server %d: reached %+v", lab, sidecar, server, r)
				}
			}
		}
	}
	for lab, all := range labs {
		sum := 0.0
		for _, n := range all.connections.values() {
			sum += n
		}
		if sum != 5*count {
			t.Errorf("lab %d: %v connections are counted", lab, sum)
		}
	}
	if wide {
		stray := labs[1].net.address(0, labs[0].all[0].port)
		if res, err := client.Get("http://" + stray + "/alive"); err == nil {
			res.Body.Close()
			t.Error("a server answered at another lab's address")
		}
		if n := len(labs[0].all[0].endpoints); n != 1 {
			t.Errorf("a server has %d listeners", n)
		}
	}
	labs[0].crash(0)
	labs[0].silence(1, true)
	for _, sidecar := range []int{0, sidecars - 1} {
		if err := dial(labs[0].address(sidecar, 0)); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("a dead server: %v", err)
		}
		var timeout net.Error
		if err := dial(labs[0].address(sidecar, 1)); !errors.As(err, &timeout) || !timeout.Timeout() {
			d := labs[0].all[1].endpoints[min(sidecar, len(labs[0].all[1].endpoints)-1)]
			t.Errorf("a silent server, to sidecar %d: %v; its queue is full: %v, fillers %d", sidecar, err, d.backlogFull(), len(d.fillers))
		}
	}
	if err := errors.Join(dial(labs[0].address(0, 2)), dial(labs[1].address(0, 0)), dial(labs[1].address(0, 1))); err != nil {
		t.Errorf("the others: %v", err)
	}
	labs[0].silence(1, false)
	if err := errors.Join(labs[0].start(0), dial(labs[0].address(0, 0)), dial(labs[0].address(0, 1))); err != nil {
		t.Errorf("when they are back: %v", err)
	}
}

// A port is given out once, to one lab, and not where somebody else has it; what a fleet needs grows with it, not with its pairs.
func TestPortsAndDescriptors(t *testing.T) {
	a, b := newTestSubnet(t, true), newTestSubnet(t, true)
	seen := make(map[int]bool)
	taken, err := listenLoopback(endOfChunkPorts - 1) // no lab's, in the last chunk
	if err == nil {
		defer taken.Close()
	}
	for i := range 2000 {
		n := a
		if i%2 == 1 {
			n = b
		}
		port, err := n.allocatePort()
		if err != nil {
			t.Fatal(err)
		}
		if seen[port] || port == endOfChunkPorts-1 {
			t.Fatalf("port %d was given out twice", port)
		}
		seen[port] = true
	}
	l, err := a.listen(a.nextPort, 1, "a test") // the next that it would give out
	if err != nil {
		t.Fatal(err)
	}
	defer l[0].Close()
	if port, err := a.allocatePort(); err != nil || port == a.nextPort-1 && port == l[0].Addr().(*net.TCPAddr).Port {
		t.Errorf("port %d, error %v: it is in use", port, err)
	}
	if _, err := b.listen(l[0].Addr().(*net.TCPAddr).Port, 1, "server 7"); err == nil || !strings.Contains(err.Error(), "server 7") {
		t.Errorf("a port that is in use: error %v", err)
	}
	for _, c := range []struct {
		scene string
		wide  bool
		most  int
	}{
		{"[fleet]\nsidecars=300\nservers=200\nmesh=true\n[load]\neach=8", true, 20_000},
		{"[fleet]\nsidecars=300\nservers=200\nmesh=true\n[load]\neach=8", false, 1_000_000},
		{"", false, 2_000},
	} {
		if need := descriptorsNeeded(readScenario(t, c.scene), c.wide); need > c.most || c.most == 1_000_000 && need < 200_000 {
			t.Errorf("%q, wide %v: %d descriptors", c.scene, c.wide, need)
		}
	}
}
