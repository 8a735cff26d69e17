package member

import (
	"bytes"
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// create starts the library.
func (g *Group) create() (*memberlist.Memberlist, error) {
	quiet := log.New(&libraryLog{group: g}, "", 0)
	inner, err := g.network()
	if err != nil {
		return nil, err
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.Logger = g.cfg.Name, g.cfg.Cluster, quiet
	c.Transport = newTransport(inner, g.cfg.Routes, g.refused, g.listening, g.cfg.Meter, g.cfg.StreamKinds)
	c.Delegate, c.Events, c.Alive, c.Ping, c.Conflict = g, g, g, g, g
	c.ProbeInterval, c.ProbeTimeout = g.cfg.ProbeInterval, g.cfg.ProbeInterval*2/5
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = g.suspicion(), 3
	c.GossipInterval, c.GossipNodes, c.RetransmitMult = g.cfg.ProbeInterval, 4, 4
	c.PushPullInterval, c.TCPTimeout = 30*time.Second, streamTime
	c.EnableCompression = false
	c.DeadNodeReclaimTime = time.Millisecond // a name is free for another address once its holder is dead
	c.HandoffQueueDepth = 1024
	list, err := memberlist.Create(c)
	if err != nil {
		return nil, errors.Join(err, inner.Shutdown())
	}
	g.carry(inner)
	return list, nil
}

func (g *Group) network() (memberlist.NodeAwareTransport, error) {
	if g.cfg.NewTransport != nil {
		return g.cfg.NewTransport(g.cfg)
	}
	return listen(g.cfg.Listen, g.cfg.Meter)
}

// carry sets by what streams of other kinds are opened; nil: by nothing.
func (g *Group) carry(t memberlist.NodeAwareTransport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.transport = t
}

// suspicion is how many times the probes' interval and log10 of the members a suspect has to object, so that a process that
// stands still for most of a second is not declared dead in a small fleet either.
func (g *Group) suspicion() int {
	return max(3, int(math.Ceil(suspectProbes/max(1, math.Log10(float64(g.cfg.ExpectedMembers))))))
}

// libraryLog takes the library's lines to the log, at the level for people who look for a fault in it. Its word that a
// member did not answer is the only way in which the library tells of a suspicion of this process's own.
type libraryLog struct{ group *Group }

func (l *libraryLog) Write(line []byte) (int, error) {
	text := string(bytes.TrimSpace(line))
	var name string
	if n, _ := fmt.Sscanf(text, "[INFO] memberlist: Suspect %s has failed, no acks received", &name); n == 1 {
		l.group.suspect(name)
	}
	l.group.log.Debug("memberlist", "says", text)
	return len(line), nil
}

// suspect takes that a member did not answer this process.
func (g *Group) suspect(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.table[name]; e != nil && e.state == Present {
		e.suspected = time.Now()
	}
}

// refused takes that a member's address refuses or closes at once, or (false) that it spoke.
func (g *Group) refused(name string, yes bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch e := g.table[name]; {
	case e == nil:
	case !yes:
		e.word, e.suspected = time.Now(), time.Time{}
	case e.state == Silent:
		e.state, e.since = Gone, time.Now()
		g.log.Info("membership", "member", name, "state", Gone)
	}
}

// NodeMeta implements memberlist.Delegate.
func (g *Group) NodeMeta(int) []byte { return g.encode() }

// NotifyMsg implements memberlist.Delegate.
func (g *Group) NotifyMsg([]byte) {}

// GetBroadcasts implements memberlist.Delegate.
func (g *Group) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate: the views go with full exchanges too, where no packet passes.
func (g *Group) LocalState(bool) []byte { return g.AckPayload() }

// MergeRemoteState implements memberlist.Delegate.
func (g *Group) MergeRemoteState(raw []byte, _ bool) { g.hear(raw) }

// viewBytes is a view on the wire: its digest, and the ms since it was held.
const viewBytes = 12

// AckPayload implements memberlist.PingDelegate: the views that were heard of lately.
func (g *Group) AckPayload() []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.look(now)
	raw := make([]byte, 0, len(g.views)*viewBytes)
	for digest, at := range g.views {
		raw = binary.BigEndian.AppendUint64(raw, digest)
		raw = binary.BigEndian.AppendUint32(raw, uint32(now.Sub(at)/time.Millisecond))
	}
	return raw
}

// NotifyPingComplete implements memberlist.PingDelegate.
func (g *Group) NotifyPingComplete(other *memberlist.Node, _ time.Duration, raw []byte) {
	g.refused(other.Name, false)
	g.hear(raw)
}

// hear takes in the views that another has heard of. One that is older than the time for which views count is none.
func (g *Group) hear(raw []byte) {
	if len(raw)%viewBytes != 0 || len(raw) > viewsMost*viewBytes {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.heard = now
	for ; len(raw) > 0; raw = raw[viewBytes:] {
		digest := binary.BigEndian.Uint64(raw)
		at := now.Add(-time.Duration(binary.BigEndian.Uint32(raw[8:])) * time.Millisecond)
		if old, ok := g.views[digest]; !ok || at.After(old) {
			g.views[digest] = at
		}
	}
	g.look(now)
}

// NotifyAlive implements memberlist.AliveDelegate: an error keeps the library from believing the word.
func (g *Group) NotifyAlive(n *memberlist.Node) error {
	var m meta
	if err := json.Unmarshal(n.Meta, &m); err != nil {
		return fmt.Errorf("its particulars can't be read: %w", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if n.Name == g.cfg.Name {
		if m.Start > g.cfg.Start && n.Address() == g.ownAddress() {
			g.standLocked(Replaced) // there can be only one process at an address
			return fmt.Errorf("a later process has this name")
		}
		return nil // an earlier one's is refuted by the library
	}
	e := g.table[n.Name]
	switch {
	case e == nil && len(g.table) >= membersMost:
		return fmt.Errorf("there are %d members", membersMost)
	case e != nil && m.Start < e.Start && e.address == n.Address():
		return fmt.Errorf("process %d has ended, %d came after it", m.Start, e.Start)
	}
	return nil
}

// ownAddress is where the others reach this process. mu is held.
func (g *Group) ownAddress() string {
	if e := g.table[g.cfg.Name]; e != nil {
		return e.address
	}
	return ""
}

// NotifyConflict implements memberlist.ConflictDelegate: a live process at another address has a name that is taken.
func (g *Group) NotifyConflict(existing, other *memberlist.Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if existing.Name == g.cfg.Name {
		g.clash = time.Now()
		g.standLocked(Conflict)
	}
	g.log.Debug("membership", "conflict", existing.Name, "at", existing.Address(), "and", other.Address())
}

// NotifyJoin implements memberlist.EventDelegate.
func (g *Group) NotifyJoin(n *memberlist.Node) { g.enter(n) }

// NotifyUpdate implements memberlist.EventDelegate.
func (g *Group) NotifyUpdate(n *memberlist.Node) { g.enter(n) }

func (g *Group) enter(n *memberlist.Node) {
	var m meta
	if err := json.Unmarshal(n.Meta, &m); err != nil {
		return // NotifyAlive has refused it
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	e := g.table[n.Name]
	if e == nil {
		e = new(entry)
		g.table[n.Name] = e
	}
	if e.state != Present {
		e.since = now
	}
	if e.state != Present && e.state != "" || e.state == Present && m.Start != e.Start {
		g.log.Info("membership", "member", n.Name, "state", Present, "start", m.Start, "before", cmp.Or(e.state, "unknown"), "startBefore", e.Start)
	}
	if m.Load != nil && (e.Load == nil || *m.Load != *e.Load || m.Start != e.Start) {
		e.told = now
	}
	e.meta, e.mark, e.address, e.state, e.suspected = m, markOf(n.Name, lasting(n.Meta)), n.Address(), Present, time.Time{}
	if n.Name != g.cfg.Name && g.stands == Alone {
		g.standLocked(Member)
	}
	g.changed(now)
}

// NotifyLeave implements memberlist.EventDelegate.
func (g *Group) NotifyLeave(n *memberlist.Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.table[n.Name]
	if e == nil || n.Name == g.cfg.Name {
		return
	}
	now := time.Now()
	e.state, e.since = Silent, now
	if e.Phase == Draining { // whoever goes with a word has said that before
		e.state = Left
	}
	g.log.Info("membership", "member", n.Name, "state", e.state, "start", e.Start)
	g.changed(now)
}

// play keeps this process a member: it joins, calls those that were lost, and sees that views come to agree.
// What it began beside that may go on for some seconds; it is counted in work.
func (g *Group) play(ctx context.Context, list *memberlist.Memberlist, work *sync.WaitGroup) {
	exchanging, telling := make(chan struct{}, 1), make(chan struct{}, 1)
	exchange := func(with ...string) {
		if len(with) == 0 {
			return
		}
		once(work, exchanging, func() {
			if _, err := list.Join(with); err != nil {
				g.log.Debug("membership", "exchange", err)
			}
		})
	}
	const beat = 250 * time.Millisecond
	tick := time.NewTicker(beat)
	defer tick.Stop()
	last, next, pause := time.Now(), time.Now(), beat
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.leaving:
			return
		case <-tick.C:
		}
		now := time.Now()
		if gap := now.Sub(last); gap > stall+beat {
			g.log.Warn("membership", "stoodStill", gap)
			g.mu.Lock()
			g.starved = now.Add(starvedFor)
			g.mu.Unlock()
			next = now
		}
		last = now
		if g.untold() { // again until it is: the library drops an update that crosses an objection of its own
			once(work, telling, func() { _ = list.UpdateNode(leaveTime) }) // it goes with full exchanges, where no packet passes
		}
		if now.Before(next) {
			continue
		}
		switch stands, others := g.standing(); {
		case stands == Replaced:
			return
		case others == 0:
			exchange(g.pick(append(g.strangers(), g.others(func(*entry) bool { return true })...), 3)...)
			pause = min(2*pause, lastPause)
		default:
			pause = time.Second
			exchange(g.calls()...)
		}
		next = now.Add(pause/2 + time.Duration(g.rng.Int64N(int64(pause))))
	}
}

// once does something beside, unless it is being done.
func once(work *sync.WaitGroup, busy chan struct{}, do func()) {
	select {
	case busy <- struct{}{}:
		work.Go(func() {
			defer func() { <-busy }()
			do()
		})
	default:
	}
}

// callsEach is how often in a second one that is lost is called by the whole fleet, about: as often in a large one, or it would be
// run over when it is back.
const callsEach = 3

// calls are whom to make an exchange with now: one that was lost or is a stranger, and one that is present while views differ or
// this process has been away.
func (g *Group) calls() (with []string) {
	lost := append(g.others(func(e *entry) bool { return e.state == Silent || e.state == Gone }), g.strangers()...)
	if _, others := g.standing(); g.rng.IntN(others+1) >= callsEach*len(lost) {
		lost = nil
	}
	g.mu.Lock()
	now := time.Now()
	unsure := !g.agreed || now.Before(g.starved) || now.Sub(g.heard) > g.viewKept()/2
	g.mu.Unlock()
	if unsure {
		with = g.pick(g.others(func(e *entry) bool { return e.state == Present }), 1)
	}
	return append(with, g.pick(lost, 1)...)
}

// others are members of one kind but for this process, in the library's form.
func (g *Group) others(kind func(*entry) bool) (all []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, e := range g.table {
		if name != g.cfg.Name && kind(e) {
			all = append(all, name+"/"+e.address)
		}
	}
	slices.Sort(all) // so that what is drawn hangs on the seed alone
	return all
}

// strangers are seeds and known members whose names are not present; of a seed without a name nobody knows.
func (g *Group) strangers() (all []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range slices.Concat(g.cfg.Seeds, g.cfg.KnownPeers) {
		r, err := g.resolve(s)
		if err != nil || r == "" {
			continue
		}
		known := false
		for name, e := range g.table {
			known = known || e.state == Present && (r == e.address || r == name+"/"+e.address || r == name+"/"+g.cfg.Routes[name])
		}
		if !known {
			all = append(all, r)
		}
	}
	return all
}

// pick draws up to n of some.
func (g *Group) pick(from []string, n int) []string {
	g.rng.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(n, len(from))]
}
