package lab

import (
	"fmt"
	"net"
	"strconv"
)

// Every sidecar has a loopback address of its own, and reaches whatever it may reach at ports of that address: each
// server, discovery, each peer. So a party can be cut off from one sidecar alone, and the address at which somebody
// is called tells who calls.
const (
	clientPort    = 8080
	discoveryPort = 8500  // and the ones after it, when it moves
	consolePort   = 9100  // and the ones after it, one for each process of a sidecar
	peerPort      = 7946  // where a sidecar's own parts listen for its peers
	serverPort    = 10000 // and the ones after it
	linkPort      = 20000 // and the ones after it: the way to each peer
	claimPort     = 30000
)

// subnet is the part of 127.0.0.0/8 that a run has for itself: 127.N.0.0/16. Whoever listens at the claim has it.
type subnet struct {
	n     int
	claim net.Listener
}

// claimSubnet takes the first subnet that no other lab has. It is given up when the lab ends, however that is.
func claimSubnet() (*subnet, error) {
	var last error
	for n := 40; n < 250; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", n, claimPort))
		if err == nil {
			return &subnet{n, l}, nil
		}
		last = err
	}
	return nil, fmt.Errorf("no part of 127.0.0.0/8 is free for a run: %w", last)
}

func (s *subnet) release() { s.claim.Close() }

// host is a sidecar's address.
func (s *subnet) host(sidecar int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.n, 1+sidecar/250, 1+sidecar%250)
}

func (s *subnet) at(sidecar, port int) string {
	return net.JoinHostPort(s.host(sidecar), strconv.Itoa(port))
}

// listen listens at a port of a sidecar's address.
func (s *subnet) listen(sidecar, port int, whose string) (net.Listener, error) {
	l, err := net.Listen("tcp", s.at(sidecar, port))
	if err != nil {
		return nil, fmt.Errorf("%s, for sidecar %d: %w", whose, sidecar, err)
	}
	return l, nil
}
