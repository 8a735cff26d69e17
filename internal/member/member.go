// Package member tracks which members of a fleet are present, lost or have left. It is built on hashicorp/memberlist.
// docs/membership.md is its contract; in short:
//
//   - No other part of the process waits for it. It joins and rejoins on its own for as long as Run lasts.
//   - Once faults end, all processes that can reach each other come to see the same members (View.Agreed).
//   - Config.Start distinguishes a process from earlier ones of the same name. A member that has heard of the later
//     process ignores messages about the earlier one.
//   - It does not guarantee that a member shown as present is running, nor that two processes see the same members at the
//     same moment.
//
// All state is bounded: members by maxMembers, lost members by Config.ForgetAfter, views by maxViews, streams by
// maxInboundStreams. Times are read from the monotonic clock and never compared between machines.
package member

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"

	"arrowgw/internal/meter"
)

// Phase is the stage of its life that a process announces to the fleet.
type Phase string

const (
	Starting Phase = "starting"
	Serving  Phase = "serving"
	Starved  Phase = "starved"  // it was stalled recently
	Draining Phase = "draining" // it is stopping and leaves soon
)

// State is what this process knows about a member.
type State string

const (
	Present State = "present"
	Silent  State = "silent" // lost unannounced: it may have ended, or the network may be partitioned
	Gone    State = "gone"   // lost, and its address refuses or closes connections: its process has ended
	Left    State = "left"   // it left after announcing that
)

// Standing is this process's own status in the fleet.
type Standing string

const (
	Waiting  Standing = "waiting"  // its listen address is still in use or can't be opened
	Alone    Standing = "alone"    // no other member has been reached so far
	Member   Standing = "member"   // it has reached at least one other member
	Conflict Standing = "conflict" // a live process at another address uses the same name
	Replaced Standing = "replaced" // a later process has taken over the name and address: this one no longer takes part
)

const (
	maxMembers         = 4096
	maxViews           = 8  // views known at a time; the oldest are dropped
	maxKnownPeers      = 64 // peers that KnownPeers returns, to be saved for a later start
	maxMetaBytes       = memberlist.MetaMaxSize
	reportReserveBytes = 64 // part of maxMetaBytes that a traffic report may use

	suspicionProbes = 9 // minimum number of probe intervals that a suspected member has to refute

	suspicionTTL          = 10 * time.Second       // after this an unconfirmed suspicion is no longer shown
	leftMemberTTL         = time.Minute            // how long a member that has left is still shown
	stallThreshold        = time.Second            // a process stalled for longer has missed messages about itself
	starvedPeriod         = 10 * time.Second       // how long after a stall the process counts as starved
	addressRetryInterval  = 50 * time.Millisecond  // between attempts to open a listen address that is in use
	leaveTimeout          = 500 * time.Millisecond // limit for broadcasting a leave or a metadata update
	reportRefreshInterval = 2 * time.Minute        // an unchanged traffic report is repeated after about this long
	reportMinInterval     = 4 * time.Second        // a changed one is published no sooner than about this after the last
	reportChangeFactor    = 1.3                    // the rate has to differ by more than this to count as changed
	rateAveragingTime     = 20 * time.Second       // time constant of the moving average of the rate
	rateJumpFactor        = 1.5                    // a rate that differs from the average by more replaces it
	stepsPerDoubling      = 4                      // a step is a factor of 2^(1/stepsPerDoubling)
	minStep               = -3 * stepsPerDoubling  // an eighth of a request per second
	maxStep               = 20 * stepsPerDoubling  // about a million requests per second
	reportTTL             = 5 * time.Minute        // an older traffic report is ignored
	maxIndex              = 1 << 20
	streamTimeout         = time.Second     // memberlist's TCP timeout, and the limit for a stream's first byte
	maxRejoinInterval     = 4 * time.Second // largest interval between attempts to reach any member
)

// Config identifies this process and configures its membership.
type Config struct {
	Name    string // unique in the fleet
	Start   uint64 // identifies the process among those of the same name; a later process has a higher number
	Zone    string
	Version string // version of the program
	Digest  string // digest of the settings that should be the same in all members
	Forms   string // rule set forms that this process can read

	Listen          netip.AddrPort // for both UDP and TCP
	Cluster         string         // fleet name, sent as a label on every packet; packets with another label are ignored
	Seeds           []string       // NAME (which needs a route), NAME/IP:PORT or IP:PORT
	KnownPeers      []string       // result of KnownPeers in an earlier process; used like Seeds
	Routes          map[string]string
	ProbeInterval   time.Duration // time between two probes; 0 means 100 ms
	ExpectedMembers int           // approximate size of the fleet; sets how long a suspected member has to refute
	ForgetAfter     time.Duration // how long a lost member is kept; 0 means 15 minutes
	Index           int           // this process's index in the fleet, published with its traffic
	ShareTraffic    bool          // reserves metadata space for ReportTraffic; has to be set if that is called

	Meter       *meter.Meter        // counts the bytes sent and received; may be nil
	StreamKinds map[byte]meter.Kind // by first byte of a stream: the kind it is counted as, if not meter.Other

	Log          *slog.Logger
	NewTransport func(Config) (memberlist.NodeAwareTransport, error) // nil means sockets at Listen
}

// MemberInfo is one member as this process knows it.
type MemberInfo struct {
	Name           string
	Start          uint64
	Zone           string
	Version        string
	Digest         string
	Forms          string
	Phase          Phase
	State          State
	Address        string
	StateAge       time.Duration // time since State last changed
	LastContactAge time.Duration // time since the member last answered this process directly; -1 if never
	Suspected      bool          // it did not answer a probe of this process recently
	Index          int           // its Config.Index; valid if Traffic is above 0
	Traffic        float64       // approximate requests per second; 0 if not reported, or too long ago
}

// View is the fleet as this process sees it. It is a copy.
type View struct {
	Number   uint64 // grows with each change of the members present
	Digest   uint64 // equal in processes that see the same members present
	Standing Standing
	Members  []MemberInfo // sorted by name, this process included

	Present       int           // number of present members, this process included
	Suspected     int           // number of present members that this process suspects
	Silent        int           // number of silent members
	DistinctViews int           // number of different views held by members recently, this one included
	Agreed        bool          // there is one view only, and another member has confirmed it
	AgreementAge  time.Duration // time since Agreed last changed
	Starved       bool          // this process was stalled recently, so its view may be outdated
}

// meta is the node metadata that members publish, encoded as JSON.
type meta struct {
	Start   uint64         `json:"n"`
	Zone    string         `json:"z,omitempty"`
	Version string         `json:"v,omitempty"`
	Digest  string         `json:"d,omitempty"`
	Phase   Phase          `json:"p"`
	Forms   string         `json:"f,omitempty"`
	Report  *trafficReport `json:"l,omitempty"` // has to be the last field: withoutTraffic cuts it out
}

// trafficReport is a process's published request rate.
type trafficReport struct {
	Index    int    `json:"i"`
	Step     int    `json:"t"` // the rate is 2^(Step/stepsPerDoubling) requests per second
	Sequence uint64 `json:"s"` // grows with each report
}

// withoutTraffic returns a member's encoded metadata without its traffic report. View digests are computed from this part
// only, because the traffic changes all the time while the members stay the same.
func withoutTraffic(raw []byte) []byte {
	before, after, found := bytes.Cut(raw, []byte(`,"l":{`))
	if !found {
		return raw
	}
	_, after, _ = bytes.Cut(after, []byte("}"))
	return append(bytes.Clone(before), after...)
}

// rate returns the reported requests per second, or 0 if the report is missing, older than reportTTL or out of range.
func (r *trafficReport) rate(age time.Duration) float64 {
	if r == nil || age > reportTTL || r.Index < 0 || r.Index > maxIndex || r.Step < minStep || r.Step > maxStep {
		return 0
	}
	return math.Exp2(float64(r.Step) / stepsPerDoubling)
}

// entry is what this process knows about a member.
type entry struct {
	meta
	hash        uint64 // memberHash of the name and the metadata without traffic
	address     string
	state       State
	stateSince  time.Time
	lastContact time.Time
	suspectedAt time.Time
	reportedAt  time.Time // when its latest traffic report arrived
}

// Group is this process's membership in its fleet. Its methods are safe for concurrent use.
type Group struct {
	cfg        Config
	log        *slog.Logger
	rng        *rand.Rand // used by Run's goroutine only
	reportRand *rand.Rand // jitter for ReportTraffic; guarded by mu

	mu              sync.Mutex // must not be held in calls of memberlist, which calls back while holding its own locks
	phase           Phase
	report          *trafficReport // this process's own latest report
	averageRate     float64        // moving average of its traffic, requests per second
	rateUpdatedAt   time.Time      // when averageRate was last updated
	nextReportAt    time.Time      // earliest time of the next report
	reportDueAt     time.Time      // when the report is repeated even if unchanged
	ownStanding     Standing
	members         map[string]*entry
	viewNumber      uint64
	viewDigest      uint64
	views           map[uint64]time.Time // by digest: when a member last held the view
	agreed          bool
	agreedSince     time.Time // when agreed last changed
	starvedUntil    time.Time // this process counts as starved until then
	viewsReceivedAt time.Time // when another member's views last arrived
	listeners       map[byte]*listener
	transport       memberlist.NodeAwareTransport // nil unless Run holds the address
	sweptAt         time.Time                     // when members were last checked for expiry
	conflictAt      time.Time                     // when another address last claimed this process's name

	leaveRequested chan struct{} // closed by Leave: Run announces that it leaves
	closeRequested chan struct{} // closed by Close: Run ends unannounced
	once           [2]sync.Once
	done           chan struct{} // closed when Run has returned
}

// New returns a group, or an error that names the invalid field of cfg. The group does nothing until Run.
func New(cfg Config) (*Group, error) {
	cfg.ProbeInterval = cmp.Or(cfg.ProbeInterval, 100*time.Millisecond)
	cfg.ForgetAfter = cmp.Or(cfg.ForgetAfter, 15*time.Minute)
	g := &Group{
		cfg: cfg, log: cfg.Log, phase: Starting, ownStanding: Waiting,
		rng:        rand.New(rand.NewPCG(cfg.Start, uint64(len(cfg.Name)))),
		reportRand: rand.New(rand.NewPCG(cfg.Start, memberHash(cfg.Name, nil))),
		members:    make(map[string]*entry), listeners: make(map[byte]*listener), views: make(map[uint64]time.Time), agreedSince: time.Now(),
		leaveRequested: make(chan struct{}), closeRequested: make(chan struct{}), done: make(chan struct{}),
	}
	if g.log == nil {
		g.log = slog.Default()
	}
	switch {
	case cfg.Name == "" || strings.ContainsAny(cfg.Name, "/ \n") || len(cfg.Name) > 128:
		return nil, fmt.Errorf("member: name %q: must have 1 to 128 characters, no space and no slash", cfg.Name)
	case cfg.Cluster == "" || len(cfg.Cluster) > memberlist.LabelMaxSize:
		return nil, fmt.Errorf("member: cluster %q: must have 1 to %d characters", cfg.Cluster, memberlist.LabelMaxSize)
	case cfg.NewTransport == nil && !cfg.Listen.IsValid():
		return nil, errors.New("member: listen is not an IP:port")
	case cfg.ProbeInterval < 20*time.Millisecond:
		return nil, fmt.Errorf("member: probe %v is below 20ms", cfg.ProbeInterval)
	case cfg.ShareTraffic && (cfg.Index < 0 || cfg.Index > maxIndex):
		return nil, fmt.Errorf("member: index %d: must be from 0 to %d", cfg.Index, maxIndex)
	case len(g.encodeMeta()) > maxMetaBytes, cfg.ShareTraffic && len(g.encodeMeta()) > maxMetaBytes-reportReserveBytes:
		return nil, fmt.Errorf("member: node metadata (zone, version, digest and forms) exceeds %d bytes", maxMetaBytes)
	}
	for _, s := range slices.Concat(cfg.Seeds, cfg.KnownPeers) {
		if _, err := g.resolveSeed(s); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// resolveSeed converts a seed to memberlist's form, NAME/IP:PORT or IP:PORT, using the routes. It returns "" for this
// process itself.
func (g *Group) resolveSeed(seed string) (string, error) {
	name, address, both := strings.Cut(seed, "/")
	if !both {
		name, address = "", seed
		if route, ok := g.cfg.Routes[seed]; ok {
			name, address = seed, route
		} else if seed == g.cfg.Name {
			name = seed
		}
	}
	if name == g.cfg.Name {
		return "", nil
	}
	if route, ok := g.cfg.Routes[name]; ok {
		address = route
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return "", fmt.Errorf("member: seed %q is not IP:port, NAME/IP:port or the name of a route", seed)
	}
	if name == "" {
		return address, nil
	}
	return name + "/" + address, nil
}

// encodeMeta returns this process's current metadata as JSON.
func (g *Group) encodeMeta() []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	encoded, err := json.Marshal(meta{g.cfg.Start, g.cfg.Zone, g.cfg.Version, g.cfg.Digest, g.phase, g.cfg.Forms, g.report})
	if err != nil {
		panic(err) // can't happen: the fields are strings and integers
	}
	return encoded
}

// SetPhase sets the phase that is announced to the other members.
func (g *Group) SetPhase(p Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.phase = p
}

// ReportTraffic updates the rate of this process's traffic, in requests per second. It may be called at any interval. The rate
// is averaged, rounded to a step and published at the first call, then when it has changed by reportChangeFactor
// and about reportMinInterval has passed, and in any case about every reportRefreshInterval.
func (g *Group) ReportTraffic(rate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if rate = min(rate, math.MaxInt32); !(rate > 0) { // negative or NaN
		rate = 0
	}
	elapsed := now.Sub(g.rateUpdatedAt)
	g.rateUpdatedAt = now
	if rate > g.averageRate*rateJumpFactor || rate < g.averageRate/rateJumpFactor {
		g.averageRate = rate
	}
	g.averageRate += (rate - g.averageRate) * min(1, elapsed.Seconds()/rateAveragingTime.Seconds())
	step := min(max(minStep, stepsPerDoubling*math.Log2(g.averageRate)), maxStep)
	next := trafficReport{Index: g.cfg.Index, Step: int(math.Round(step))}
	if g.report != nil {
		next.Sequence = g.report.Sequence
		difference := math.Abs(step - float64(g.report.Step))
		if now.Before(g.nextReportAt) || difference <= stepsPerDoubling*math.Log2(reportChangeFactor) && now.Before(g.reportDueAt) {
			return
		}
		if difference <= 1 {
			next.Step = g.report.Step // peers recompute their server subsets when it changes, which noise should not cause
		}
	}
	next.Sequence++
	g.report = &next
	jittered := func(d time.Duration) time.Time { // keeps members from publishing at the same time
		return now.Add(d*3/4 + time.Duration(g.reportRand.Int64N(int64(d/2))))
	}
	g.nextReportAt, g.reportDueAt = jittered(reportMinInterval), jittered(reportRefreshInterval)
}

// metaOutdated reports whether this process's phase or traffic report differs from the metadata last published.
func (g *Group) metaOutdated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.members[g.cfg.Name]
	return e != nil && (e.Phase != g.phase || g.report != nil && (e.Report == nil || *e.Report != *g.report))
}

// Leave announces to the other members that this process leaves, and ends Run. It returns once Run has returned.
func (g *Group) Leave() { g.stop(0, g.leaveRequested) }

// Close ends Run without announcing it, so that a successor process can continue under the same name. It returns once Run
// has returned.
func (g *Group) Close() { g.stop(1, g.closeRequested) }

// stop closes the requested channel once and waits for Run to return. which is the channel's index in g.once.
func (g *Group) stop(which int, requested chan struct{}) {
	g.once[which].Do(func() { close(requested) })
	<-g.done
}

// KnownPeers returns the first maxKnownPeers present members by name, this process excluded, as NAME/IP:PORT. They can be
// passed to a later process as Config.KnownPeers.
func (g *Group) KnownPeers() (known []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(g.members)) {
		if e := g.members[name]; e.state == Present && name != g.cfg.Name && len(known) < maxKnownPeers {
			known = append(known, name+"/"+e.address)
		}
	}
	return known
}

// View returns the fleet as this process sees it now.
func (g *Group) View() View {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.refreshLocked(now)
	v := g.summaryLocked(now)
	for _, name := range slices.Sorted(maps.Keys(g.members)) {
		e := g.members[name]
		m := MemberInfo{
			Name: name, Start: e.Start, Zone: e.Zone, Version: e.Version, Digest: e.Digest, Forms: e.Forms, Phase: e.Phase, State: e.state,
			Address: e.address, StateAge: now.Sub(e.stateSince), LastContactAge: -1, Suspected: g.suspectsLocked(e, now),
		}
		if m.Traffic = e.Report.rate(now.Sub(e.reportedAt)); m.Traffic > 0 {
			m.Index = e.Report.Index
		}
		if !e.lastContact.IsZero() {
			m.LastContactAge = now.Sub(e.lastContact)
		}
		switch {
		case e.state == Silent:
			v.Silent++
		case e.state == Present:
			v.Present++
			if m.Suspected {
				v.Suspected++
			}
		}
		v.Members = append(v.Members, m)
	}
	return v
}

// Summary is like View, but leaves Members empty, which avoids sorting and copying them.
func (g *Group) Summary() View {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.refreshLocked(now)
	v := g.summaryLocked(now)
	for _, e := range g.members {
		switch e.state {
		case Silent:
			v.Silent++
		case Present:
			v.Present++
			if g.suspectsLocked(e, now) {
				v.Suspected++
			}
		}
	}
	return v
}

// IsPresent reports whether the named member is present as far as this process knows.
func (g *Group) IsPresent(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.members[name]
	return e != nil && e.state == Present
}

// summaryLocked returns the view without Members and the counts. g.mu must be held.
func (g *Group) summaryLocked(now time.Time) View {
	return View{
		Number: g.viewNumber, Digest: g.viewDigest, Standing: g.ownStanding, DistinctViews: len(g.views), Agreed: g.agreed,
		AgreementAge: now.Sub(g.agreedSince), Starved: now.Before(g.starvedUntil),
	}
}

// suspectsLocked reports whether a member is present but has failed to answer a probe of this process recently. g.mu must
// be held.
func (g *Group) suspectsLocked(e *entry, now time.Time) bool {
	return e.state == Present && !e.suspectedAt.IsZero() && now.Sub(e.suspectedAt) < suspicionTTL
}

// memberHash returns a member's contribution to the digest of a view.
func memberHash(name string, raw []byte) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name+"\x00") // writing to a hash never fails
	_, _ = h.Write(raw)
	return h.Sum64()
}

// updateViewLocked recomputes the view's digest, and starts a new view if the members present have changed. g.mu must be
// held.
func (g *Group) updateViewLocked(now time.Time) {
	if g.viewDigest != 0 {
		g.views[g.viewDigest] = now // the previous view was held until now
	}
	var d uint64
	for _, e := range g.members { // a sum does not depend on the order
		if e.state == Present {
			d += e.hash
		}
	}
	if d != g.viewDigest {
		g.viewDigest = d
		g.viewNumber++
	}
	g.refreshLocked(now)
}

// viewTTL returns how long a view counts after a member was last known to hold it. It is several times the time that a
// message takes to reach all members.
func (g *Group) viewTTL() time.Duration { return 40 * g.cfg.ProbeInterval }

// refreshLocked drops expired views and members, ends a conflict that is over, and updates whether all members agree. g.mu
// must be held.
func (g *Group) refreshLocked(now time.Time) {
	if g.viewDigest != 0 {
		g.views[g.viewDigest] = now
	}
	maps.DeleteFunc(g.views, func(_ uint64, at time.Time) bool { return now.Sub(at) > g.viewTTL() })
	for len(g.views) > maxViews {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(g.views)), func(a, b uint64) int { return g.views[a].Compare(g.views[b]) })
		delete(g.views, oldest)
	}
	if now.Sub(g.sweptAt) > time.Second {
		g.sweptAt = now
		maps.DeleteFunc(g.members, func(_ string, e *entry) bool {
			return e.state == Left && now.Sub(e.stateSince) > leftMemberTTL || e.state != Present && now.Sub(e.stateSince) > g.cfg.ForgetAfter
		})
	}
	if g.ownStanding == Conflict && now.Sub(g.conflictAt) > 2*g.viewTTL() {
		g.setStandingLocked(Member)
	}
	viewsReceived := now.Sub(g.viewsReceivedAt) <= g.viewTTL() // without recent views of others there is no agreement
	if agreed := len(g.views) == 1 && g.ownStanding == Member && viewsReceived; agreed != g.agreed {
		g.agreed, g.agreedSince = agreed, now
		g.log.Info("membership", "agreed", agreed, "views", len(g.views), "number", g.viewNumber, "digest", fmt.Sprintf("%x", g.viewDigest))
	}
}

// setStanding sets this process's standing. Replaced is final.
func (g *Group) setStanding(s Standing) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setStandingLocked(s)
}

// setStandingLocked is setStanding for callers that hold g.mu.
func (g *Group) setStandingLocked(s Standing) {
	if g.ownStanding == s || g.ownStanding == Replaced {
		return
	}
	g.log.Info("membership", "standing", s, "before", g.ownStanding)
	g.ownStanding = s
}

// standingAndPeers returns this process's standing and the number of other members that are present.
func (g *Group) standingAndPeers() (s Standing, others int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, e := range g.members {
		if e.state == Present && name != g.cfg.Name {
			others++
		}
	}
	return g.ownStanding, others
}

// Run takes part in the fleet until ctx ends or Leave or Close is called. While the listen address is in use, it waits.
func (g *Group) Run(ctx context.Context) {
	defer close(g.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-ctx.Done():
		case <-g.leaveRequested:
		case <-g.closeRequested:
			cancel()
		}
	}()
	list := g.waitAndCreate(ctx)
	if list == nil {
		return
	}
	g.setStanding(Alone)
	defer g.setTransport(nil)
	var background sync.WaitGroup
	g.maintain(ctx, list, &background)
	select {
	case <-g.leaveRequested:
		if err := list.Leave(leaveTimeout); err != nil {
			g.log.Warn("membership", "leaving", err)
		}
	default:
	}
	if err := list.Shutdown(); err != nil { // frees the address before it returns
		g.log.Warn("membership", "ending", err)
	}
	background.Wait()
}

// waitAndCreate starts memberlist as soon as the listen address is free. It returns nil if ctx ends or Leave is called first.
func (g *Group) waitAndCreate(ctx context.Context) *memberlist.Memberlist {
	logged := false
	for {
		list, err := g.createList()
		if err == nil {
			return list
		}
		if !logged {
			g.log.Warn("membership", "waiting", err)
			logged = true
		}
		wait := addressRetryInterval
		if !errors.Is(err, syscall.EADDRINUSE) {
			wait = maxRejoinInterval // other errors rarely go away quickly
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil
		case <-g.leaveRequested:
			return nil
		}
	}
}
