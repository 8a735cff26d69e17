package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net/netip"
	"runtime/debug"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"arrowgw/internal/balance"
	"arrowgw/internal/duty"
	"arrowgw/internal/member"
	"arrowgw/internal/meter"
	"arrowgw/internal/rules"
)

const (
	peersEvery   = 500 * time.Millisecond // how often the module is told of the fleet
	peersKept    = 10 * time.Second       // and how often the state, where members have changed
	sectionPeers = "members"              // of the state: a list of NAME/IP:port
	memberFiles  = 14                     // descriptors: two listeners, streams of others, own ones
)

// peers is this sidecar's part in its fleet: it ties membership to the module, the state and the console. Where the
// fleet file has no member.listen there is none, and nothing is done.
type peers struct {
	group     *member.Group
	cfg       *Config
	dataPlane dataPlane
	state     *sharedState

	rulesBar func() bool // by rules: it serves nothing, and is given no duties
	stopping atomic.Bool
}

// newPeers reads what the configuration and the state say of the fleet.
func newPeers(cfg *Config, path dataPlane, state *sharedState, counts *meter.Meter) (*peers, error) {
	p := &peers{cfg: cfg, dataPlane: path, state: state, rulesBar: func() bool { return false }}
	if !cfg.hasPeers() {
		return p, nil
	}
	m := cfg.Fleet.Member
	listen, err := netip.ParseAddrPort(m.Listen)
	if err != nil {
		return nil, err
	}
	c := member.Config{
		Name: cfg.Name, Start: uint64(time.Now().UnixMilli()), Version: revision(), Digest: cfg.digest(),
		Listen: listen, Cluster: m.Cluster, Seeds: m.Seeds, Routes: cfg.Fleet.Routes, ProbeInterval: m.Probe.Std(),
		ExpectedMembers: cfg.Policy.Balancers, ForgetAfter: m.Forget.Std(), Index: cfg.Policy.Index, ShareTraffic: cfg.Fleet.Spread.Share,
		Meter: counts, StreamKinds: map[byte]meter.Kind{duty.CallStream: meter.Duties, duty.RaftStream: meter.Duties, rules.MessageStream: meter.Rules},
	}
	for zone, i := range cfg.Zones {
		if i == cfg.Policy.Zone {
			c.Zone = zone
		}
	}
	if cfg.Fleet.Rules.File != "" {
		c.Forms = rules.Highest
	}
	if state.store != nil {
		c.Start = state.store.ProcessNumber()
		c.KnownPeers, _, _ = readSection[[]string](state.store, sectionPeers)
	}
	if p.group, err = member.New(c); err != nil && len(c.KnownPeers) > 0 {
		slog.Warn("members not recalled", "reason", err)
		c.KnownPeers = nil
		p.group, err = member.New(c)
	}
	return p, err
}

// hasPeers says whether this sidecar takes part in a fleet.
func (c *Config) hasPeers() bool { return c.Fleet != nil && c.Fleet.Member.Listen != "" }

// digest is the same at all sidecars that are configured alike: all that is in the module's settings but who this one is.
func (c *Config) digest() string {
	common := c.Policy
	common.Index, common.Zone = 0, 0
	h := fnv.New64a()
	raw, err := json.Marshal(common)
	if err != nil {
		return "unknown" // a number that JSON has no word for
	}
	_, _ = h.Write(raw) // a hash takes everything
	return fmt.Sprintf("%x", h.Sum64())
}

// revision names the program that runs.
func revision() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(12, len(s.Value))]
			}
		}
	}
	return "unknown"
}

// run takes part in the fleet until ctx ends, or the process leaves.
func (p *peers) run(ctx context.Context) {
	if p.group == nil {
		return
	}
	if !p.rulesBar() {
		p.group.SetPhase(member.Serving)
	}
	go p.group.Run(ctx)
	go p.syncFleet(ctx)
}

// follow tells the module who is there, and has the state keep by whom a later process can join.
func (p *peers) syncFleet(ctx context.Context) {
	tick := time.NewTicker(peersEvery)
	defer tick.Stop()
	var keptAt time.Time
	var kept []string
	var told balance.Fleet
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		v := p.group.View()
		phase := member.Serving
		switch {
		case p.stopping.Load():
			phase = member.Draining
		case p.rulesBar():
			phase = member.Starting
		case v.Starved: // it is given no duties
			phase = member.Starved
		}
		p.group.SetPhase(phase)
		if p.stopping.Load() { // it may have begun since the last line
			p.group.SetPhase(member.Draining)
		}
		if p.cfg.Fleet.Spread.Share {
			l, err := p.dataPlane.learnedState(ctx)
			if err != nil {
				return // it ends
			}
			p.group.ReportTraffic(l.Rate)
		}
		if f, ok := p.fleetUpdate(v, told); ok {
			if p.dataPlane.updateFleet(ctx, f) != nil {
				return
			}
			told = f
		}
		known := p.group.KnownPeers()
		if p.state.store == nil || len(known) == 0 || slices.Equal(known, kept) || time.Since(keptAt) < peersKept {
			continue
		}
		raw, err := json.Marshal(known)
		if err = errors.Join(err, p.state.store.PutUnsynced(sectionPeers, singleKey, raw)); err != nil {
			slog.Debug("members not kept", "reason", err) // whoever keeps the state tells of its trouble
		}
		kept, keptAt = known, time.Now()
	}
}

// fleet is what the module is to be told of a view, if anything, where it was last told that. A process that stood still lately has
// an old view. One that is no member any more, as another has its name, is not reckoned with by the others, and goes by nobody's traffic.
func (p *peers) fleetUpdate(v member.View, told balance.Fleet) (f balance.Fleet, ok bool) {
	switch {
	case v.Standing != member.Member && len(told.Sharers) > 0:
		told.Sharers, told.Agreed = nil, false
		return told, true
	case v.Standing != member.Member || v.Starved: // whoever has reached nobody yet can't tell how many there are
		return f, false
	}
	f = balance.Fleet{Present: v.Present, Silent: v.Silent, Agreed: v.Agreed}
	for _, m := range v.Members {
		if p.cfg.Fleet.Spread.Share && sharer(m) {
			zone, known := p.cfg.Zones[m.Zone]
			if !known {
				zone = -1
			}
			f.Sharers = append(f.Sharers, balance.Sharer{Index: m.Index, Zone: zone, Rate: m.Traffic})
		}
	}
	return f, true
}

// sharer says whether a member's traffic counts.
func sharer(m member.MemberInfo) bool {
	return m.State == member.Present && m.Phase != member.Draining && m.Traffic > 0
}

// draining gives up this process's duties and tells the others that it stops; or, where another has taken over, lets that one
// have the name.
func (p *peers) startDraining(replaced bool, work *duties) {
	if p.group != nil && !replaced {
		p.stopping.Store(true)
		p.group.SetPhase(member.Draining)
	}
	work.release()
	if p.group != nil && replaced {
		p.group.Close()
	}
}

// leave goes with a word, at the end of a planned stop.
func (p *peers) leave() {
	if p.group != nil {
		p.group.Leave()
	}
}

// stat writes the figures of the fleet, where there is one.
func (p *peers) stat(w io.Writer) {
	if p.group == nil {
		return
	}
	v := p.group.View()
	agreed := 0
	if v.Agreed {
		agreed = 1
	}
	fmt.Fprintf(w, "app.fleet_members=%d\napp.fleet_silent=%d\napp.fleet_suspected=%d\napp.fleet_views=%d\napp.fleet_agreed=%d\n",
		v.Present, v.Silent, v.Suspected, v.DistinctViews, agreed)
	if p.cfg.Fleet.Spread.Share {
		n := 0
		for _, m := range v.Members {
			if sharer(m) {
				n++
			}
		}
		fmt.Fprintf(w, "app.fleet_sharers=%d\n", n)
	}
}

// show writes who is there: a line on this process and its view, one with the columns' names, and one for each member.
func (p *peers) show(w io.Writer) error {
	if p.group == nil {
		return errors.New("there is no membership: the fleet file has no member.listen")
	}
	v := p.group.View()
	self := member.MemberInfo{}
	for _, m := range v.Members {
		if m.Name == p.cfg.Name {
			self = m
		}
	}
	words := []string{
		"self=" + p.cfg.Name, "standing=" + string(v.Standing), fmt.Sprintf("view=%d digest=%x", v.Number, v.Digest),
		fmt.Sprintf("views=%d agreed=%v for=%v", v.DistinctViews, v.Agreed, v.AgreementAge.Round(time.Second)),
	}
	if v.Starved {
		words = append(words, "starved")
	}
	fmt.Fprintf(w, "200 %s\n", strings.Join(words, " "))
	fmt.Fprintln(w, "name\tzone\tstate\tphase\tfor\tstart\tversion\tlast-word\taddress\tnotes")
	for _, m := range v.Members {
		var notes []string
		if m.Suspected {
			notes = append(notes, "suspected")
		}
		if m.Version != self.Version {
			notes = append(notes, "version")
		}
		if m.Digest != self.Digest {
			notes = append(notes, "config")
		}
		if m.Traffic > 0 {
			notes = append(notes, fmt.Sprintf("traffic=%.3g", m.Traffic))
		}
		word := "none"
		if m.LastContactAge >= 0 {
			word = m.LastContactAge.Round(time.Second / 10).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%d\t%s\t%s\t%s\t%s\n",
			m.Name, m.Zone, m.State, m.Phase, m.StateAge.Round(time.Second), m.Start, m.Version, word, m.Address, strings.Join(notes, " "))
	}
	fmt.Fprintln(w, "EOF")
	return nil
}
