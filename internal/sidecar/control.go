package sidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"time"

	"arrowgw/internal/balance"
	"arrowgw/internal/meter"
	"arrowgw/internal/rules"
)

// dataPlane is the part of a sidecar that carries requests, as the control plane sees it. In a sidecar it is the loop;
// a hollow sidecar has none and uses a stub. A method that returns an error fails only if its context ends.
type dataPlane interface {
	applyListing(listing)                                        // applies an answer of discovery
	discoveryFailed()                                            // reports that a call of discovery has failed
	updateFleet(context.Context, balance.Fleet) error            // passes on the members of the fleet
	applyRules(context.Context, *rules.Set) error                // puts a rule set in force
	applyOperatorCalls(context.Context, map[string]operatorCall) // applies operator calls, by server instance
	learnedState(context.Context) (balance.Learned, error)       // returns what the decision module has learned
}

// control is the control plane of a sidecar: its stored state, the server list, and its part in the fleet (membership,
// duties and rule sets).
type control struct {
	cfg       *Config
	dataPlane dataPlane
	state     *sharedState
	discovery *discovery
	peers     *peers
	duties    *duties
	ruleSets  *ruleSets
	meter     *meter.Meter
}

// newControl creates the control plane from the configuration and the stored state, and sets cfg.KnownServers to the
// server list to start with. Nothing runs before start is called.
func newControl(cfg *Config, c clock, plane dataPlane) (k *control, err error) {
	k = &control{cfg: cfg, dataPlane: plane, meter: new(meter.Meter), state: openSharedState(cfg.SharedDir, cfg.Name, cfg.State)}
	versions := k.state.loadServerList(cfg, c.now())
	cfg.KnownServers = versions.effectiveListing()
	k.discovery = newDiscovery(cfg, plane.applyListing, plane.discoveryFailed)
	k.discovery.list, k.discovery.now, k.discovery.saveList = versions, c.now, k.state.queueList
	dial := k.discovery.dial
	k.discovery.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return k.meter.WrapConn(conn, meter.Discovery, true), nil
	}
	if k.peers, err = newPeers(cfg, plane, k.state, k.meter); err != nil {
		return nil, err
	}
	if k.duties, err = newDuties(cfg, k.peers, k.state); err != nil {
		return nil, err
	}
	k.ruleSets, err = newRuleSets(cfg, k.peers, k.duties, plane, k.state)
	return k, err
}

// start starts to follow the server list and the sidecar's other processes, and puts the floor's rule set in force,
// which has to happen before the first request. It passes the number of processes to setProcessCount, and again
// whenever it changes. saved is closed once the state has been saved after the end of ctx.
func (k *control) start(ctx context.Context, saved chan<- struct{}, setProcessCount func(n int)) error {
	n := k.state.countProcesses()
	setProcessCount(n)
	var lastRaw []byte
	go k.state.watchProcesses(ctx, n, setProcessCount, func(calls map[string]operatorCall) {
		k.dataPlane.applyOperatorCalls(ctx, calls)
		kept, list, raw, changed := k.state.changedList(lastRaw, k.cfg.Zones)
		if lastRaw = raw; changed {
			k.discovery.applyOtherProcessList(kept, list)
		}
	})
	go k.state.followLateState(ctx, func(calls map[string]operatorCall) { k.dataPlane.applyOperatorCalls(ctx, calls) })
	go func() {
		defer close(saved)
		k.state.persist(ctx, k.dataPlane.learnedState)
	}()
	go k.discovery.run(ctx)
	return k.ruleSets.start(ctx)
}

// run starts the sidecar's part in the fleet, which lasts until ctx ends.
func (k *control) run(ctx context.Context) {
	k.peers.run(ctx)
	k.duties.run(ctx)
	k.ruleSets.run(ctx)
}

const (
	reloadTimeout       = 3 * time.Second // how long an invalid configuration is read again, as another process may still be writing it
	reloadRetryInterval = 50 * time.Millisecond
)

// handleReloads reloads the rule set and the configuration at path on each signal, until ctx ends.
func (k *control) handleReloads(ctx context.Context, path string, signals <-chan os.Signal) {
	for {
		select {
		case <-signals:
			k.ruleSets.pushFile()
			k.reloadConfig(ctx, path)
		case <-ctx.Done():
			return
		}
	}
}

// reloadConfig reads the configuration again and applies its address of discovery; no other setting of a running
// sidecar can change. An invalid configuration changes nothing and is read again for reloadTimeout or until ctx ends.
func (k *control) reloadConfig(ctx context.Context, path string) {
	for end, logged := time.Now().Add(reloadTimeout), false; ; logged = true {
		cfg, err := ReadConfig(path)
		if err == nil {
			k.discovery.setAddress(cfg.Discovery)
			return
		}
		if !logged {
			slog.Error("configuration kept", "error", err)
		}
		if time.Now().After(end) {
			return
		}
		select {
		case <-time.After(reloadRetryInterval):
		case <-ctx.Done():
			return
		}
	}
}

// writeStats writes the figures of the control plane.
func (k *control) writeStats(w io.Writer) {
	k.peers.writeStats(w)
	k.duties.writeStats(w)
	k.ruleSets.writeStats(w)
	if !k.cfg.hasMembership() {
		return
	}
	t := k.meter.Traffic()
	for i, name := range meter.KindNames {
		if t.In[i] == (meter.Count{}) && t.Out[i] == (meter.Count{}) {
			continue
		}
		fmt.Fprintf(w, "app.control_bytes_in.%s=%d\napp.control_bytes_out.%s=%d\napp.control_units_in.%s=%d\napp.control_units_out.%s=%d\n",
			name, t.In[i].Bytes, name, t.Out[i].Bytes, name, t.In[i].Units, name, t.Out[i].Units)
	}
}
