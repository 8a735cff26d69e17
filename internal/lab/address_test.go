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

// newTestSubnet claims a subnet that uses shared sockets, or a socket for each sidecar as where those are not
// permitted.
func newTestSubnet(t testing.TB, sharedSockets bool) *subnet {
	t.Helper()
	n, err := claimSubnet()
	if err != nil {
		t.Fatal(err)
	}
	if sharedSockets && !n.sharedSockets {
		t.Skip("binding a socket to a device is not permitted here")
	}
	n.sharedSockets = sharedSockets
	t.Cleanup(n.release)
	return n
}

// withBothSocketModes runs a test with shared sockets, and with a socket for each sidecar.
func withBothSocketModes(t *testing.T, test func(t *testing.T, sharedSockets bool)) {
	t.Run("shared sockets", func(t *testing.T) { test(t, true) })
	t.Run("socket per sidecar", func(t *testing.T) { test(t, false) })
}

// Two labs run at once. Every server identifies the sidecar that calls it, and answers none at another lab's addresses.
// When a server's process dies, connections to it are refused; when its machine vanishes, they time out. Both apply to
// all sidecars of its lab and to no server of the other.
func TestServersKnowTheirCallers(t *testing.T) { withBothSocketModes(t, serversKnowTheirCallers) }

func serversKnowTheirCallers(t *testing.T, sharedSockets bool) {
	const sidecars, count = 253, 3 // more than one third octet can number
	s := readScenario(t, fmt.Sprintf("[fleet]\nsidecars=%d\nservers=%d", sidecars, count))
	var labs [2]*servers
	var histories [2]*History
	for i := range labs {
		var err error
		histories[i] = new(History)
		if labs[i], err = newServers(s, 1, newClock(), histories[i], newTestSubnet(t, sharedSockets)); err != nil {
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
				try := histories[lab].beginTry(0, sidecar, 0, 0)
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
			t.Errorf("lab %d: counted %v connections", lab, sum)
		}
	}
	if sharedSockets {
		stray := labs[1].net.address(0, labs[0].all[0].port)
		if res, err := client.Get("http://" + stray + "/alive"); err == nil {
			res.Body.Close()
			t.Error("a server of one lab answered at an address of the other")
		}
		if n := len(labs[0].all[0].endpoints); n != 1 {
			t.Errorf("a server has %d listeners", n)
		}
	}
	labs[0].crash(0)
	labs[0].silence(1, true)
	for _, sidecar := range []int{0, sidecars - 1} {
		if err := dial(labs[0].address(sidecar, 0)); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("dead server: %v", err)
		}
		var timeout net.Error
		if err := dial(labs[0].address(sidecar, 1)); !errors.As(err, &timeout) || !timeout.Timeout() {
			d := labs[0].all[1].endpoints[min(sidecar, len(labs[0].all[1].endpoints)-1)]
			t.Errorf("silent server, from sidecar %d: %v; backlog full: %v, fillers %d", sidecar, err, d.backlogFull(), len(d.fillers))
		}
	}
	if err := errors.Join(dial(labs[0].address(0, 2)), dial(labs[1].address(0, 0)), dial(labs[1].address(0, 1))); err != nil {
		t.Errorf("servers that run: %v", err)
	}
	labs[0].silence(1, false)
	if err := errors.Join(labs[0].start(0), dial(labs[0].address(0, 0)), dial(labs[0].address(0, 1))); err != nil {
		t.Errorf("after their restart: %v", err)
	}
}

// A port is allocated once, to one lab, and not if another program uses it. The number of descriptors that a fleet
// needs grows with its size, not with the number of its pairs, if sockets are shared.
func TestPortsAndDescriptors(t *testing.T) {
	a, b := newTestSubnet(t, true), newTestSubnet(t, true)
	seen := make(map[int]bool)
	taken, err := listenLoopback(endOfChunkPorts - 1) // used by another program, in the last chunk
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
			t.Fatalf("port %d was allocated twice, or is in use", port)
		}
		seen[port] = true
	}
	l, err := a.listen(a.nextPort, 1, "a test") // the port that it would allocate next
	if err != nil {
		t.Fatal(err)
	}
	defer l[0].Close()
	if port, err := a.allocatePort(); err != nil || port == a.nextPort-1 && port == l[0].Addr().(*net.TCPAddr).Port {
		t.Errorf("allocated port %d, which is in use, error %v", port, err)
	}
	if _, err := b.listen(l[0].Addr().(*net.TCPAddr).Port, 1, "server 7"); err == nil || !strings.Contains(err.Error(), "server 7") {
		t.Errorf("listening at a port that is in use: error %v", err)
	}
	for _, c := range []struct {
		scenario      string
		sharedSockets bool
		maxNeed       int
	}{
		{"[fleet]\nsidecars=300\nservers=200\nmesh=true\n[load]\neach=8", true, 20_000},
		{"[fleet]\nsidecars=300\nservers=200\nmesh=true\n[load]\neach=8", false, 1_000_000},
		{"", false, 2_000},
	} {
		if need := descriptorsNeeded(readScenario(t, c.scenario), c.sharedSockets); need > c.maxNeed || c.maxNeed == 1_000_000 && need < 200_000 {
			t.Errorf("%q, shared sockets %v: %d descriptors", c.scenario, c.sharedSockets, need)
		}
	}
}
