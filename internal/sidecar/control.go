package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"

	"arrowgw/internal/balance"
	"arrowgw/internal/meter"
	"arrowgw/internal/rules"
)

// requests is what control tells the path of requests, and asks it. Its loop is that; in a hollow process there is none.
type requests interface {
	list(listing)
	listFailed()
	fleet(context.Context, balance.Fleet) error
	rules(context.Context, *rules.Set) error
	calls(context.Context, map[string]handed)
	learned(context.Context) (balance.Learned, error)
}

// control are the parts of a sidecar that are not on the path of a request: its state, the list of servers, and what joins
// it to its fleet.
type control struct {
	cfg       *Config
	path      requests
	state     *handover
	discovery *discovery
	peers     *peers
	work      *duties
	sets      *ruleSets
	meter     *meter.Meter
}

// newControl reads what the configuration and the state say, and sets cfg.Known to the list that counts. Nothing runs before begin.
func newControl(cfg *Config, c clock, path requests) (k *control, err error) {
	k = &control{cfg: cfg, path: path, meter: new(meter.Meter), state: openHandover(cfg.Shared, cfg.Name, cfg.State)}
	versions := k.state.versions(cfg, c.now())
	cfg.Known = versions.list()
	k.discovery = newDiscovery(cfg, path.list, path.listFailed)
	k.discovery.versions, k.discovery.now, k.discovery.keep = versions, c.now, k.state.keepList
	dial := k.discovery.dial
	k.discovery.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return k.meter.Conn(conn, meter.Discovery, true), nil
	}
	if k.peers, err = newPeers(cfg, path, k.state, k.meter); err != nil {
		return nil, err
	}
	if k.work, err = newDuties(cfg, k.peers, k.state); err != nil {
		return nil, err
	}
	k.sets, err = newRuleSets(cfg, k.peers, k.work, path, k.state)
	return k, err
}

// begin follows the sidecar's other processes and the list, and puts the rule set in force that is on the floor, before the
// first request. share hears how many processes there are. kept is closed once all is kept, after ctx has ended.
func (k *control) begin(ctx context.Context, kept chan<- struct{}, share func(n int)) error {
	n := k.state.count()
	share(n)
	var beside []byte
	go k.state.watch(ctx, n, share, func(handed map[string]handed) {
		k.path.calls(ctx, handed)
		kept, list, raw, news := k.state.beside(beside, k.cfg.Zones)
		if beside = raw; news {
			k.discovery.beside(kept, list)
		}
	})
	go func() {
		defer close(kept)
		k.state.keep(ctx, k.path.learned)
	}()
	go k.discovery.run(ctx)
	return k.sets.begin(ctx)
}

// run takes part in the fleet until ctx ends.
func (k *control) run(ctx context.Context) {
	k.peers.run(ctx)
	k.work.run(ctx)
	k.sets.run(ctx)
}

// stat writes the figures of control.
func (k *control) stat(w io.Writer) {
	k.peers.stat(w)
	k.work.stat(w)
	k.sets.stat(w)
	if !k.cfg.hasPeers() {
		return
	}
	t := k.meter.Traffic()
	for i, name := range meter.Names {
		if t.In[i] == (meter.Count{}) && t.Out[i] == (meter.Count{}) {
			continue
		}
		fmt.Fprintf(w, "app.control_bytes_in.%s=%d\napp.control_bytes_out.%s=%d\napp.control_units_in.%s=%d\napp.control_units_out.%s=%d\n",
			name, t.In[i].Bytes, name, t.Out[i].Bytes, name, t.In[i].Units, name, t.Out[i].Units)
	}
}
