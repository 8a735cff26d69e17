package sidecar

import (
	"context"
	"time"

	"arrowgw/internal/balance"
	"arrowgw/internal/member"
	"arrowgw/internal/meter"
	"arrowgw/internal/rules"
)

// killTimeout is how long the end of a killed process may take: what it has begun with others ends by then.
const killTimeout = 2 * time.Second

// Hollow is a sidecar without a path of requests: control alone, as in a whole one, with a name, a state folder and addresses of
// its own. Many may run in one process of the machine. What a whole sidecar has besides is not there: a front, a
// console, the decision module, connections to upstreams, limits on memory and processor. As no module asks for the
// list, discovery is called as where lists are pushed. Its methods are safe for concurrent use.
type Hollow struct {
	control *control
	stop    context.CancelFunc
	saved   chan struct{}
}

// StartHollow starts one by a sidecar's configuration file and a folder for its state. rate is the traffic that it tells the
// others, in requests a second. It runs until Stop or Kill. An error says which of the configuration can't be used.
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
	if err := h.control.begin(ctx, h.saved, func(int) {}); err != nil {
		stop()
		return nil, err
	}
	h.control.run(ctx)
	return h, nil
}

// Kill ends it without a word to the others, as if its process had been killed; but that what it has just learned is kept.
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

// Stop ends it as a planned stop does: duties are passed on, and the others are told.
func (h *Hollow) Stop() {
	left := make(chan struct{})
	go func() {
		defer close(left)
		h.control.peers.draining(false, h.control.work)
	}()
	select {
	case <-left:
	case <-time.After(leaveWait):
	}
	h.control.peers.leave()
	h.shutDown()
}

func (h *Hollow) shutDown() {
	h.stop()
	select {
	case <-h.saved:
	case <-time.After(saveTimeout):
	}
}

// SetDiscovery has it go on with discovery at another address, as a reload of the configuration does.
func (h *Hollow) SetDiscovery(discovery string) { h.control.discovery.setAddress(discovery) }

// ReadRules has it read its file of rules again, as a reload does.
func (h *Hollow) ReadRules() { h.control.sets.read() }

// Members is what it sees of its fleet, without the members one by one.
func (h *Hollow) Members() (v member.View) {
	if g := h.control.peers.group; g != nil {
		v = g.Brief()
	}
	return v
}

// Sees says whether it holds a member for present.
func (h *Hollow) Sees(name string) bool {
	g := h.control.peers.group
	return g != nil && g.Sees(name)
}

// Rules is how its rule set stands.
func (h *Hollow) Rules() (s rules.Status) {
	if n := h.control.sets.node; n != nil {
		s = n.Status()
	}
	return s
}

// DiscoveryCounts counts discovery's answers so far: whole lists that it was given, and calls that failed.
func (h *Hollow) DiscoveryCounts() (whole, failed int) {
	d := h.control.discovery
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts.wholeAnswers, d.counts.failed
}

// Traffic is what its control has sent and was sent so far.
func (h *Hollow) Traffic() meter.Traffic { return h.control.meter.Traffic() }

// noRequestPath is the path of requests of a process that has none.
type noRequestPath struct {
	clock clock
	rate  float64
}

func (noRequestPath) applyListing(listing)                                  {}
func (noRequestPath) discoveryFailed()                                      {}
func (noRequestPath) updateFleet(context.Context, balance.Fleet) error      { return nil }
func (noRequestPath) applyRules(context.Context, *rules.Set) error          { return nil }
func (noRequestPath) applyOperatorCalls(context.Context, map[string]handed) {}
func (a noRequestPath) learnedState(context.Context) (balance.Learned, error) {
	return balance.Learned{At: a.clock.now(), Rate: a.rate}, nil
}
