package sidecar

import (
	"context"
	"time"

	"arrowgw/internal/balance"
	"arrowgw/internal/member"
	"arrowgw/internal/meter"
	"arrowgw/internal/rules"
)

// killTimeout limits how long Kill waits for the calls that the sidecar has open to its peers.
const killTimeout = 2 * time.Second

// Hollow is a sidecar that runs the control plane and carries no client traffic. It has a name, a state folder and addresses
// of its own, and many can run in one process. Compared with a whole sidecar it lacks the client listener, the console, the
// decision module, the connections to upstreams and the limits on memory and processor. As no module subscribes to the
// list, discovery is called as if lists were pushed. Its methods are safe for concurrent use.
type Hollow struct {
	control *control
	stop    context.CancelFunc
	saved   chan struct{} // closed once the state is saved
}

// StartHollow starts a hollow sidecar from a sidecar's configuration file and a folder for its state. rate is the traffic
// that it reports to its peers, in requests a second. It runs until Stop or Kill. An unusable configuration is an
// error.
func StartHollow(config, shared string, rate float64) (*Hollow, error) {
	cfg, err := readConfig(config, func(name string) string {
		if name == "TMPDIR" {
			return shared
		}
		return ""
	})
	if err != nil {
		return nil, err
	}
	cfg.Policy.AskList = false
	c := newClock()
	h := &Hollow{saved: make(chan struct{})}
	if h.control, err = newControl(cfg, c, noRequestPath{c, rate}); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	if err := h.control.start(ctx, h.saved, func(int) {}); err != nil {
		stop()
		return nil, err
	}
	h.control.run(ctx)
	return h, nil
}

// Kill ends the sidecar without announcing it to its peers, as if its process had been killed, except that its latest state
// is saved.
func (h *Hollow) Kill() {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		if g := h.control.peers.group; g != nil {
			g.Close()
		}
	}()
	select {
	case <-closed:
	case <-time.After(killTimeout):
	}
	h.shutDown()
}

// Stop ends the sidecar as a planned stop does: it releases its duties and announces to its peers that it leaves.
func (h *Hollow) Stop() {
	left := make(chan struct{})
	go func() {
		defer close(left)
		h.control.peers.startDraining(false, h.control.duties)
	}()
	select {
	case <-left:
	case <-time.After(leaveTimeout):
	}
	h.control.peers.leave()
	h.shutDown()
}

// shutDown stops the control plane and waits up to saveTimeout for the state to be saved.
func (h *Hollow) shutDown() {
	h.stop()
	select {
	case <-h.saved:
	case <-time.After(saveTimeout):
	}
}

// SetDiscovery switches to another address of discovery, as a reload of the configuration does.
func (h *Hollow) SetDiscovery(discovery string) { h.control.discovery.setAddress(discovery) }

// ReadRules reads the rule set file again and pushes it, as a reload of the configuration does.
func (h *Hollow) ReadRules() { h.control.ruleSets.pushFile() }

// Members returns the sidecar's view of its fleet, without the list of members.
func (h *Hollow) Members() (v member.View) {
	if g := h.control.peers.group; g != nil {
		v = g.Summary()
	}
	return v
}

// Sees reports whether the sidecar considers a member present.
func (h *Hollow) Sees(name string) bool {
	g := h.control.peers.group
	return g != nil && g.IsPresent(name)
}

// Rules returns the status of the sidecar's rule set.
func (h *Hollow) Rules() (s rules.Status) {
	if n := h.control.ruleSets.node; n != nil {
		s = n.Status()
	}
	return s
}

// DiscoveryCounts returns how many whole lists discovery has returned so far, and how many calls to it failed.
func (h *Hollow) DiscoveryCounts() (whole, failed int) {
	d := h.control.discovery
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts.wholeAnswers, d.counts.failed
}

// Traffic returns what the control plane has sent and received so far.
func (h *Hollow) Traffic() meter.Traffic { return h.control.meter.Traffic() }

// noRequestPath is the dataPlane of a hollow sidecar. It ignores everything that the control plane passes to it.
type noRequestPath struct {
	clock clock
	rate  float64 // requests a second that learnedState reports
}

func (noRequestPath) applyListing(listing)                                        {}
func (noRequestPath) discoveryFailed()                                            {}
func (noRequestPath) updateFleet(context.Context, balance.Fleet) error            { return nil }
func (noRequestPath) applyRules(context.Context, *rules.Set) error                { return nil }
func (noRequestPath) applyOperatorCalls(context.Context, map[string]operatorCall) {}

// learnedState returns no learned servers and the request rate that StartHollow was given.
func (a noRequestPath) learnedState(context.Context) (balance.Learned, error) {
	return balance.Learned{At: a.clock.now(), Rate: a.rate}, nil
}
