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

// requests is what control tells the path of requests, and asks it. Its loop is that; in a hollow process there is none.
type dataPlane interface {
	applyListing(listing)
	discoveryFailed()
	updateFleet(context.Context, balance.Fleet) error
	applyRules(context.Context, *rules.Set) error
	applyOperatorCalls(context.Context, map[string]operatorCall)
	learnedState(context.Context) (balance.Learned, error)
}

// control are the parts of a sidecar that are not on the path of a request: its state, the list of servers, and what joins
// it to its fleet.
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

// newControl reads what the configuration and the state say, and sets cfg.Known to the list that counts. Nothing runs before begin.
func newControl(cfg *Config, c clock, path dataPlane) (k *control, err error) {
	k = &control{cfg: cfg, dataPlane: path, meter: new(meter.Meter), state: openSharedState(cfg.SharedDir, cfg.Name, cfg.State)}
	versions := k.state.loadServerList(cfg, c.now())
	cfg.KnownServers = versions.effectiveListing()
	k.discovery = newDiscovery(cfg, path.applyListing, path.discoveryFailed)
	k.discovery.list, k.discovery.now, k.discovery.saveList = versions, c.now, k.state.queueList
	dial := k.discovery.dial
	k.discovery.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return k.meter.WrapConn(conn, meter.Discovery, true), nil
	}
	if k.peers, err = newPeers(cfg, path, k.state, k.meter); err != nil {
		return nil, err
	}
	if k.duties, err = newDuties(cfg, k.peers, k.state); err != nil {
		return nil, err
	}
	k.ruleSets, err = newRuleSets(cfg, k.peers, k.duties, path, k.state)
	return k, err
}

// begin follows the sidecar's other processes and the list, and puts the rule set in force that is on the floor, before the
// first request. share hears how many processes there are. kept is closed once all is kept, after ctx has ended.
func (k *control) start(ctx context.Context, kept chan<- struct{}, share func(n int)) error {
	n := k.state.countProcesses()
	share(n)
	var beside []byte
	go k.state.watchProcesses(ctx, n, share, func(handed map[string]operatorCall) {
		k.dataPlane.applyOperatorCalls(ctx, handed)
		kept, list, raw, news := k.state.changedList(beside, k.cfg.Zones)
		if beside = raw; news {
			k.discovery.applyOtherProcessList(kept, list)
		}
	})
	go k.state.followLate(ctx, func(owed map[string]operatorCall) { k.dataPlane.applyOperatorCalls(ctx, owed) })
	go func() {
		defer close(kept)
		k.state.persist(ctx, k.dataPlane.learnedState)
	}()
	go k.discovery.run(ctx)
	return k.ruleSets.start(ctx)
}

// run takes part in the fleet until ctx ends.
func (k *control) run(ctx context.Context) {
	k.peers.run(ctx)
	k.duties.run(ctx)
	k.ruleSets.run(ctx)
}

const (
	reloadTime  = 3 * time.Second // a configuration that can't be used is read again for so long: it may just be being written
	reloadPause = 50 * time.Millisecond
)

// followReloads acts on each signal to read the configuration again, until ctx ends.
func (k *control) followReloads(ctx context.Context, path string, signals <-chan os.Signal) {
	for {
		select {
		case <-signals:
			k.ruleSets.pushFile()
			k.reconfigure(ctx, path)
		case <-ctx.Done():
			return
		}
	}
}

// reconfigure reads the configuration again and goes to where it has discovery now. Nothing else in it may change under a
// running sidecar. One that can't be used leaves everything as it is, and is tried again for a while, until ctx ends.
func (k *control) reconfigure(ctx context.Context, path string) {
	for end, told := time.Now().Add(reloadTime), false; ; told = true {
		cfg, err := ReadConfig(path)
		if err == nil {
			k.discovery.setAddress(cfg.Discovery)
			return
		}
		if !told {
			slog.Error("configuration kept", "error", err)
		}
		if time.Now().After(end) {
			return
		}
		select {
		case <-time.After(reloadPause):
		case <-ctx.Done():
			return
		}
	}
}

// stat writes the figures of control.
func (k *control) stat(w io.Writer) {
	k.peers.stat(w)
	k.duties.stat(w)
	k.ruleSets.stat(w)
	if !k.cfg.hasPeers() {
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
