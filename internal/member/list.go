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

// createList opens the transport and starts memberlist on it.
func (g *Group) createList() (*memberlist.Memberlist, error) {
	logger := log.New(&libraryLog{group: g}, "", 0)
	inner, err := g.openTransport()
	if err != nil {
		return nil, err
	}
	config := memberlist.DefaultLANConfig()
	config.Name, config.Label, config.Logger = g.cfg.Name, g.cfg.Cluster, logger
	config.Transport = newRoutedTransport(inner, g.cfg.Routes, g.recordContact, g.listenerFor, g.cfg.Meter, g.cfg.StreamKinds)
	config.Delegate, config.Events, config.Alive, config.Ping, config.Conflict = g, g, g, g, g
	config.ProbeInterval, config.ProbeTimeout = g.cfg.ProbeInterval, g.cfg.ProbeInterval*2/5
	config.SuspicionMult, config.SuspicionMaxTimeoutMult = g.suspicionMult(), 3
	config.GossipInterval, config.GossipNodes, config.RetransmitMult = g.cfg.ProbeInterval, 4, 4
	config.PushPullInterval, config.TCPTimeout = 30*time.Second, streamTimeout
	config.EnableCompression = false
	config.DeadNodeReclaimTime = time.Millisecond // a dead member's name may be taken over at another address at once
	config.HandoffQueueDepth = 1024
	list, err := memberlist.Create(config)
	if err != nil {
		return nil, errors.Join(err, inner.Shutdown())
	}
	g.setTransport(inner)
	return list, nil
}

// openTransport returns the configured transport, or one on sockets at Config.Listen.
func (g *Group) openTransport() (memberlist.NodeAwareTransport, error) {
	if g.cfg.NewTransport != nil {
		return g.cfg.NewTransport(g.cfg)
	}
	return listenSockets(g.cfg.Listen, g.cfg.Meter)
}

// setTransport sets the transport that Dial uses. With nil, Dial fails.
func (g *Group) setTransport(t memberlist.NodeAwareTransport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.transport = t
}

// suspicionMult returns memberlist's SuspicionMult: a suspected member has SuspicionMult * max(1, log10(members)) probe
// intervals to refute the suspicion. It is chosen so that a process that stalls for most of a second is not declared dead,
// in a small fleet either.
func (g *Group) suspicionMult() int {
	return max(3, int(math.Ceil(suspicionProbes/max(1, math.Log10(float64(g.cfg.ExpectedMembers))))))
}

// libraryLog forwards memberlist's log lines to the group's log at debug level. It also parses the line that reports an
// unanswered probe, because memberlist reports this process's own suspicions in no other way.
type libraryLog struct{ group *Group }

func (l *libraryLog) Write(line []byte) (int, error) {
	text := string(bytes.TrimSpace(line))
	var name string
	if n, _ := fmt.Sscanf(text, "[INFO] memberlist: Suspect %s has failed, no acks received", &name); n == 1 {
		l.group.recordSuspicion(name)
	}
	l.group.log.Debug("memberlist", "says", text)
	return len(line), nil
}

// recordSuspicion records that the named member did not answer this process's probe.
func (g *Group) recordSuspicion(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.members[name]; e != nil && e.state == Present {
		e.suspectedAt = time.Now()
	}
}

// recordContact records the result of a connection to the named member: refused is true if its address refused the
// connection or closed it without sending anything, false if the member sent data.
func (g *Group) recordContact(name string, refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch e := g.members[name]; {
	case e == nil:
	case !refused:
		e.lastContact, e.suspectedAt = time.Now(), time.Time{}
	case e.state == Silent:
		e.state, e.stateSince = Gone, time.Now()
		g.log.Info("membership", "member", name, "state", Gone)
	}
}

// NodeMeta implements memberlist.Delegate.
func (g *Group) NodeMeta(int) []byte { return g.encodeMeta() }

// NotifyMsg implements memberlist.Delegate.
func (g *Group) NotifyMsg([]byte) {}

// GetBroadcasts implements memberlist.Delegate.
func (g *Group) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate. Full state exchanges carry the views too, in case no packets get through.
func (g *Group) LocalState(bool) []byte { return g.AckPayload() }

// MergeRemoteState implements memberlist.Delegate.
func (g *Group) MergeRemoteState(raw []byte, _ bool) { g.mergeViews(raw) }

// viewBytes is the encoded size of a view: its digest (8 bytes) and the milliseconds since a process last held it (4 bytes).
const viewBytes = 12

// AckPayload implements memberlist.PingDelegate. It returns the views that were held recently, encoded.
func (g *Group) AckPayload() []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.refreshLocked(now)
	raw := make([]byte, 0, len(g.views)*viewBytes)
	for digest, lastHeld := range g.views {
		raw = binary.BigEndian.AppendUint64(raw, digest)
		raw = binary.BigEndian.AppendUint32(raw, uint32(now.Sub(lastHeld)/time.Millisecond))
	}
	return raw
}

// NotifyPingComplete implements memberlist.PingDelegate.
func (g *Group) NotifyPingComplete(other *memberlist.Node, _ time.Duration, raw []byte) {
	g.recordContact(other.Name, false)
	g.mergeViews(raw)
}

// mergeViews adds the views that another process sent, in the form of AckPayload. Views older than viewTTL are dropped.
func (g *Group) mergeViews(raw []byte) {
	if len(raw)%viewBytes != 0 || len(raw) > maxViews*viewBytes {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.viewsReceivedAt = now
	for ; len(raw) > 0; raw = raw[viewBytes:] {
		digest := binary.BigEndian.Uint64(raw)
		lastHeld := now.Add(-time.Duration(binary.BigEndian.Uint32(raw[8:])) * time.Millisecond)
		if old, ok := g.views[digest]; !ok || lastHeld.After(old) {
			g.views[digest] = lastHeld
		}
	}
	g.refreshLocked(now)
}

// NotifyAlive implements memberlist.AliveDelegate. An error makes memberlist ignore the alive message.
func (g *Group) NotifyAlive(n *memberlist.Node) error {
	var m meta
	if err := json.Unmarshal(n.Meta, &m); err != nil {
		return fmt.Errorf("unreadable node metadata: %w", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if n.Name == g.cfg.Name {
		if m.Start > g.cfg.Start && n.Address() == g.ownAddressLocked() {
			g.setStandingLocked(Replaced) // only one process can listen at an address
			return fmt.Errorf("a later process of this name is running")
		}
		return nil // memberlist refutes a message of an earlier process
	}
	e := g.members[n.Name]
	switch {
	case e == nil && len(g.members) >= maxMembers:
		return fmt.Errorf("the limit of %d members is reached", maxMembers)
	case e != nil && m.Start < e.Start && e.address == n.Address():
		return fmt.Errorf("process %d has been replaced by process %d", m.Start, e.Start)
	}
	return nil
}

// ownAddressLocked returns the address at which peers reach this process, or "" if it is not known yet. g.mu must be held.
func (g *Group) ownAddressLocked() string {
	if e := g.members[g.cfg.Name]; e != nil {
		return e.address
	}
	return ""
}

// NotifyConflict implements memberlist.ConflictDelegate: a live process at another address uses the name of a known member.
func (g *Group) NotifyConflict(existing, other *memberlist.Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if existing.Name == g.cfg.Name {
		g.conflictAt = time.Now()
		g.setStandingLocked(Conflict)
	}
	g.log.Debug("membership", "conflict", existing.Name, "at", existing.Address(), "and", other.Address())
}

// NotifyJoin implements memberlist.EventDelegate.
func (g *Group) NotifyJoin(n *memberlist.Node) { g.recordAlive(n) }

// NotifyUpdate implements memberlist.EventDelegate.
func (g *Group) NotifyUpdate(n *memberlist.Node) { g.recordAlive(n) }

// recordAlive enters a member that memberlist reports as joined or updated, and starts a new view if that changes it.
func (g *Group) recordAlive(n *memberlist.Node) {
	var m meta
	if err := json.Unmarshal(n.Meta, &m); err != nil {
		return // NotifyAlive has already rejected it
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	e := g.members[n.Name]
	if e == nil {
		e = new(entry)
		g.members[n.Name] = e
	}
	if e.state != Present {
		e.stateSince = now
	}
	if e.state != Present && e.state != "" || e.state == Present && m.Start != e.Start {
		g.log.Info("membership", "member", n.Name, "state", Present, "start", m.Start, "before", cmp.Or(e.state, "unknown"), "startBefore", e.Start)
	}
	if m.Report != nil && (e.Report == nil || *m.Report != *e.Report || m.Start != e.Start) {
		e.reportedAt = now
	}
	e.meta, e.hash, e.address, e.state, e.suspectedAt = m, memberHash(n.Name, withoutTraffic(n.Meta)), n.Address(), Present, time.Time{}
	if n.Name != g.cfg.Name && g.ownStanding == Alone {
		g.setStandingLocked(Member)
	}
	g.updateViewLocked(now)
}

// NotifyLeave implements memberlist.EventDelegate.
func (g *Group) NotifyLeave(n *memberlist.Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.members[n.Name]
	if e == nil || n.Name == g.cfg.Name {
		return
	}
	now := time.Now()
	e.state, e.stateSince = Silent, now
	if e.Phase == Draining { // a process that leaves gracefully announces draining first
		e.state = Left
	}
	g.log.Info("membership", "member", n.Name, "state", e.state, "start", e.Start)
	g.updateViewLocked(now)
}

// maintain keeps this process a member until ctx ends or Leave is called: it joins, reconnects to lost members, publishes
// changed metadata and exchanges full state while views differ. Exchanges run in goroutines counted in background; they may
// outlast maintain by some seconds.
func (g *Group) maintain(ctx context.Context, list *memberlist.Memberlist, background *sync.WaitGroup) {
	exchanging, updating := make(chan struct{}, 1), make(chan struct{}, 1)
	exchange := func(peers ...string) {
		if len(peers) == 0 {
			return
		}
		startUnlessRunning(background, exchanging, func() {
			if _, err := list.Join(peers); err != nil {
				g.log.Debug("membership", "exchange", err)
			}
		})
	}
	const checkInterval = 250 * time.Millisecond
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	lastTick, nextExchange, interval := time.Now(), time.Now(), checkInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.leaveRequested:
			return
		case <-ticker.C:
		}
		now := time.Now()
		if gap := now.Sub(lastTick); gap > stallThreshold+checkInterval {
			g.log.Warn("membership", "stoodStill", gap)
			g.mu.Lock()
			g.starvedUntil = now.Add(starvedPeriod)
			g.mu.Unlock()
			nextExchange = now
		}
		lastTick = now
		if g.metaOutdated() { // repeated until it is published: memberlist drops an update that coincides with a refutation of its own
			startUnlessRunning(background, updating, func() { _ = list.UpdateNode(leaveTimeout) }) // a full exchange carries it too if packets are lost
		}
		if now.Before(nextExchange) {
			continue
		}
		switch standing, others := g.standingAndPeers(); {
		case standing == Replaced:
			return
		case others == 0:
			exchange(g.pickRandom(append(g.absentSeeds(), g.peersWhere(func(*entry) bool { return true })...), 3)...)
			interval = min(2*interval, maxRejoinInterval)
		default:
			interval = time.Second
			exchange(g.exchangeTargets()...)
		}
		nextExchange = now.Add(interval/2 + time.Duration(g.rng.Int64N(int64(interval))))
	}
}

// startUnlessRunning runs do in a goroutine counted in background, unless the previous one started with busy still runs.
// busy must have a capacity of one.
func startUnlessRunning(background *sync.WaitGroup, busy chan struct{}, do func()) {
	select {
	case busy <- struct{}{}:
		background.Go(func() {
			defer func() { <-busy }()
			do()
		})
	default:
	}
}

// reconnectsPerSecond is about how many times per second all members together try to reach one lost member. It does not
// grow with the fleet, so that a member that comes back is not overloaded.
const reconnectsPerSecond = 3

// exchangeTargets draws the peers to exchange full state with now, in memberlist's address form: at most one lost member
// or absent seed, and one present member if views differ, this process was stalled recently, or no views have arrived lately.
func (g *Group) exchangeTargets() (targets []string) {
	lost := append(g.peersWhere(func(e *entry) bool { return e.state == Silent || e.state == Gone }), g.absentSeeds()...)
	if _, others := g.standingAndPeers(); g.rng.IntN(others+1) >= reconnectsPerSecond*len(lost) {
		lost = nil
	}
	g.mu.Lock()
	now := time.Now()
	exchangeViews := !g.agreed || now.Before(g.starvedUntil) || now.Sub(g.viewsReceivedAt) > g.viewTTL()/2
	g.mu.Unlock()
	if exchangeViews {
		targets = g.pickRandom(g.peersWhere(func(e *entry) bool { return e.state == Present }), 1)
	}
	return append(targets, g.pickRandom(lost, 1)...)
}

// peersWhere returns the members for which match is true, without this process, as NAME/IP:PORT in sorted order.
func (g *Group) peersWhere(match func(*entry) bool) (peers []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, e := range g.members {
		if name != g.cfg.Name && match(e) {
			peers = append(peers, name+"/"+e.address)
		}
	}
	slices.Sort(peers) // makes random draws depend on the seed alone
	return peers
}

// absentSeeds returns the seeds and previously known peers that match no present member. A seed without a name is compared
// by its address alone.
func (g *Group) absentSeeds() (seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, seed := range slices.Concat(g.cfg.Seeds, g.cfg.KnownPeers) {
		resolved, err := g.resolveSeed(seed)
		if err != nil || resolved == "" {
			continue
		}
		present := false
		for name, e := range g.members {
			present = present || e.state == Present && (resolved == e.address || resolved == name+"/"+e.address || resolved == name+"/"+g.cfg.Routes[name])
		}
		if !present {
			seeds = append(seeds, resolved)
		}
	}
	return seeds
}

// pickRandom draws up to n of the candidates. It reorders candidates.
func (g *Group) pickRandom(candidates []string, n int) []string {
	g.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(n, len(candidates))]
}
