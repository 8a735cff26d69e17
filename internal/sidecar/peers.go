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
	fleetUpdateInterval = 500 * time.Millisecond // how often the decision module receives the state of the fleet
	membersSaveInterval = 10 * time.Second       // minimum time between saves of the known members
	sectionMembers      = "members"              // section of the state: a list of NAME/IP:port
	membershipFiles     = 14                     // descriptors for membership: two listeners, streams of peers, own streams
)

// peers is this sidecar's membership in its fleet. It connects package member to the decision module, the stored
// state and the console. If the fleet file has no member.listen, group is nil and the methods do nothing.
type peers struct {
	group     *member.Group
	cfg       *Config
	dataPlane dataPlane
	state     *sharedState

	rulesBar func() bool // reports whether the rules bar serving, in which case the sidecar gets no duties
	stopping atomic.Bool
}

// newPeers creates the membership from the configuration and the stored state.
func newPeers(cfg *Config, plane dataPlane, state *sharedState, counts *meter.Meter) (*peers, error) {
	p := &peers{cfg: cfg, dataPlane: plane, state: state, rulesBar: func() bool { return false }}
	if !cfg.hasMembership() {
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
		c.KnownPeers, _, _ = readSection[[]string](state.store, sectionMembers)
	}
	if p.group, err = member.New(c); err != nil && len(c.KnownPeers) > 0 {
		slog.Warn("members not recalled", "reason", err)
		c.KnownPeers = nil
		p.group, err = member.New(c)
	}
	return p, err
}

// hasMembership reports whether this sidecar is a member of a fleet.
func (c *Config) hasMembership() bool { return c.Fleet != nil && c.Fleet.Member.Listen != "" }

// digest returns a hash of the module's settings without the sidecar's own index and zone. Sidecars that are configured
// alike have the same digest.
func (c *Config) digest() string {
	common := c.Policy
	common.Index, common.Zone = 0, 0
	h := fnv.New64a()
	raw, err := json.Marshal(common)
	if err != nil {
		return "unknown" // a number that JSON can't represent, such as an infinity
	}
	_, _ = h.Write(raw) // a hash never fails
	return fmt.Sprintf("%x", h.Sum64())
}

// revision returns the first 12 digits of the version control revision of this program, or "unknown".
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

// run starts the membership, which lasts until ctx ends or leave is called.
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

// syncFleet passes changes of the fleet to the decision module, announces this sidecar's phase and traffic, and saves
// the known members, through which a later process can join.
func (p *peers) syncFleet(ctx context.Context) {
	tick := time.NewTicker(fleetUpdateInterval)
	defer tick.Stop()
	var savedAt time.Time
	var saved []string
	var last balance.Fleet
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
		case v.Starved: // in this phase the sidecar gets no duties
			phase = member.Starved
		}
		p.group.SetPhase(phase)
		if p.stopping.Load() { // a stop may have begun in the meantime
			p.group.SetPhase(member.Draining)
		}
		if p.cfg.Fleet.Spread.Share {
			l, err := p.dataPlane.learnedState(ctx)
			if err != nil {
				return // ctx has ended
			}
			p.group.ReportTraffic(l.Rate)
		}
		if f, ok := p.fleetUpdate(v, last); ok {
			if p.dataPlane.updateFleet(ctx, f) != nil {
				return
			}
			last = f
		}
		known := p.group.KnownPeers()
		if p.state.store == nil || len(known) == 0 || slices.Equal(known, saved) || time.Since(savedAt) < membersSaveInterval {
			continue
		}
		raw, err := json.Marshal(known)
		if err = errors.Join(err, p.state.store.PutUnsynced(sectionMembers, singleKey, raw)); err != nil {
			slog.Debug("members not kept", "reason", err) // failures of the store itself are logged elsewhere
		}
		saved, savedAt = known, time.Now()
	}
}

// fleetUpdate returns the fleet as the decision module is to see it in view v; ok is false if nothing is to be passed
// on. last is the fleet passed on before. The view of a process that stalled recently is outdated and not passed on. A
// process that is no longer a member, because another one has its name, is not counted by the others: the traffic of
// the others is removed from its fleet.
func (p *peers) fleetUpdate(v member.View, last balance.Fleet) (f balance.Fleet, ok bool) {
	switch {
	case v.Standing != member.Member && len(last.Sharers) > 0:
		last.Sharers, last.Agreed = nil, false
		return last, true
	case v.Standing != member.Member || v.Starved: // not joined yet, or just stalled: the number of members is not known
		return f, false
	}
	f = balance.Fleet{Present: v.Present, Silent: v.Silent, Agreed: v.Agreed}
	for _, m := range v.Members {
		if p.cfg.Fleet.Spread.Share && countsTraffic(m) {
			zone, known := p.cfg.Zones[m.Zone]
			if !known {
				zone = -1
			}
			f.Sharers = append(f.Sharers, balance.Sharer{Index: m.Index, Zone: zone, Rate: m.Traffic})
		}
	}
	return f, true
}

// countsTraffic reports whether a member's traffic is counted when requests are spread by traffic.
func countsTraffic(m member.MemberInfo) bool {
	return m.State == member.Present && m.Phase != member.Draining && m.Traffic > 0
}

// startDraining releases this process's duties and announces to the fleet that it stops. If a successor has taken over
// (replaced), it announces nothing and closes the membership, so that the successor can use the name.
func (p *peers) startDraining(replaced bool, d *duties) {
	if p.group != nil && !replaced {
		p.stopping.Store(true)
		p.group.SetPhase(member.Draining)
	}
	d.release()
	if p.group != nil && replaced {
		p.group.Close()
	}
}

// leave leaves the fleet gracefully, at the end of a planned stop.
func (p *peers) leave() {
	if p.group != nil {
		p.group.Leave()
	}
}

// writeStats writes the figures of the fleet, if the sidecar is a member of one.
func (p *peers) writeStats(w io.Writer) {
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
			if countsTraffic(m) {
				n++
			}
		}
		fmt.Fprintf(w, "app.fleet_sharers=%d\n", n)
	}
}

// writeMembers writes a line on this process and its view, a line with the names of the columns, and a line for each
// member.
func (p *peers) writeMembers(w io.Writer) error {
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
		lastHeard := "none"
		if m.LastContactAge >= 0 {
			lastHeard = m.LastContactAge.Round(time.Second / 10).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%d\t%s\t%s\t%s\t%s\n",
			m.Name, m.Zone, m.State, m.Phase, m.StateAge.Round(time.Second), m.Start, m.Version, lastHeard, m.Address, strings.Join(notes, " "))
	}
	fmt.Fprintln(w, "EOF")
	return nil
}
