// Package member tells who of a fleet is present, who was lost and who has left, on hashicorp/memberlist.
// docs/membership.md is its contract; in short:
//
//   - Nothing waits for it. It joins, rejoins and gives up by itself, for as long as Run lasts, and ends with it.
//   - Once faults end, all processes that reach each other come to see the same members (View.Agreed).
//   - A process is told from an earlier one under its name by its number (Config.Start): who has heard of the later one
//     believes nothing of the earlier any more.
//   - It never promises that a member that it shows runs, nor that two processes see the same at one moment.
//
// Everything that it holds is bounded: members by membersMost, those lost by Config.ForgetAfter, views by viewsMost, streams
// by streamsMost. Times are read from the monotonic clock; none is compared between machines.
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

// Phase is what a process says of itself.
type Phase string

// The phases.
const (
	Starting Phase = "starting"
	Serving  Phase = "serving"
	Starved  Phase = "starved"  // it stood still lately
	Draining Phase = "draining" // told to stop; it leaves soon
)

// State is what is known of a member.
type State string

// The states.
const (
	Present State = "present"
	Silent  State = "silent" // lost without a word: it may have ended, or be cut off
	Gone    State = "gone"   // lost, and its address refuses or closes at once: its process has ended
	Left    State = "left"   // it had said so
)

// Standing is where this process stands itself.
type Standing string

// The standings.
const (
	Waiting  Standing = "waiting"  // for its address, which is in use
	Alone    Standing = "alone"    // nobody was reached so far
	Member   Standing = "member"   // of a fleet
	Conflict Standing = "conflict" // a live process at another address has the name
	Replaced Standing = "replaced" // a later process has the name: this one takes no part any more
)

const (
	membersMost = 4096
	viewsMost   = 8
	keptMost    = 64 // members that Known tells, for a later start
	metaMost    = memberlist.MetaMaxSize
	loadMost    = 64 // of these for a word on traffic

	suspectProbes = 9 // probes' time that a suspect has to object, where members are few

	suspectedFor = 10 * time.Second // a suspicion that came to nothing is forgotten by then
	leftKept     = time.Minute      // one that has left is shown for so long
	stall        = time.Second      // a process that stood still for this long has missed what others said of it
	starvedFor   = 10 * time.Second // and is not trusted for this long
	addressWait  = 50 * time.Millisecond
	leaveTime    = 500 * time.Millisecond // the word of leaving may take so long
	tellEvery    = 2 * time.Minute        // traffic is told again after about this long
	tellPause    = 4 * time.Second        // and about this long after the last word, if it has changed
	tellChange   = 1.3                    // by this factor,
	tellOver     = 20 * time.Second       // taken over about this long,
	tellJump     = 1.5                    // or at once where it is off by this factor,
	tellSteps    = 4                      // in steps of 2^(1/tellSteps) requests a second,
	tellLeast    = -3 * tellSteps         // an eighth at least,
	tellMost     = 20 * tellSteps         // and about a million at most
	trafficKept  = 5 * time.Minute        // an older word on traffic counts for nothing
	indexMost    = 1 << 20
	streamTime   = time.Second     // so may a dial, and each side of an exchange
	lastPause    = 4 * time.Second // between two attempts to reach anybody at all
)

// Config says who this process is and how it finds the others.
type Config struct {
	Name    string // unique in the fleet
	Start   uint64 // of two processes under one name the later has the higher one
	Zone    string
	Version string // of the program
	Digest  string // of what should be the same everywhere in the configuration
	Forms   string // of rule sets that it reads

	Listen          netip.AddrPort // UDP and TCP
	Cluster         string         // on every packet: other fleets' are passed over
	Seeds           []string       // NAME (reached by its route), NAME/IP:PORT or IP:PORT
	KnownPeers      []string       // result of KnownPeers in an earlier process; used like Seeds
	Routes          map[string]string
	ProbeInterval   time.Duration // between two probes; 0: 100 ms
	ExpectedMembers int           // members, about: for how long a suspect has to object
	ForgetAfter     time.Duration // a member that was lost is forgotten after this; 0: 15 min
	Index           int           // this process's number in the fleet, told along with its traffic
	ShareTraffic    bool          // reserves metadata space for ReportTraffic; has to be set if that is called

	Meter       *meter.Meter        // counts bytes; nil: nobody does
	StreamKinds map[byte]meter.Kind // what streams of other parts count as; one that is not in it is Other

	Log          *slog.Logger
	NewTransport func(Config) (memberlist.NodeAwareTransport, error) // nil: sockets at Listen
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
	StateAge       time.Duration // in this state for so long
	LastContactAge time.Duration // since its last own word to this process; -1: none so far
	Suspected      bool          // by this process: it did not answer
	Index          int           // its number in the fleet, where Traffic is known
	Traffic        float64       // requests a second, coarse; 0: not told, or too long ago
}

// View is what a process sees. It is a copy.
type View struct {
	Number   uint64 // grows with each change of who is present
	Digest   uint64 // the same at all processes that see the same
	Standing Standing
	Members  []MemberInfo // by name, this process included

	Present       int
	Suspected     int
	Silent        int
	DistinctViews int           // different views that were heard of lately, this one's included
	Agreed        bool          // there is one, and somebody to agree with
	AgreementAge  time.Duration // for so long
	Starved       bool          // this process stood still lately: its own word is not worth much
}

// meta travels with each member.
type meta struct {
	Start   uint64 `json:"n"`
	Zone    string `json:"z,omitempty"`
	Version string `json:"v,omitempty"`
	Digest  string `json:"d,omitempty"`
	Phase   Phase  `json:"p"`
	Forms   string `json:"f,omitempty"`
	Load    *load  `json:"l,omitempty"` // the last: lasting cuts it out
}

// load is a process's word on its traffic.
type load struct {
	Index int    `json:"i"`
	Step  int    `json:"t"` // of 2^(1/tellSteps) requests a second
	Said  uint64 `json:"s"` // grows with each word
}

// lasting is what of a member's particulars makes a view. Its traffic changes all the time and is nobody's coming or going.
func lasting(raw []byte) []byte {
	head, tail, found := bytes.Cut(raw, []byte(`,"l":{`))
	if !found {
		return raw
	}
	_, tail, _ = bytes.Cut(tail, []byte("}"))
	return append(bytes.Clone(head), tail...)
}

// traffic is what a word on traffic is worth at its age; 0 where it can't be used.
func (l *load) traffic(age time.Duration) float64 {
	if l == nil || age > trafficKept || l.Index < 0 || l.Index > indexMost || l.Step < tellLeast || l.Step > tellMost {
		return 0
	}
	return math.Exp2(float64(l.Step) / tellSteps)
}

// entry is a member in the table.
type entry struct {
	meta
	mark      uint64 // a hash of the name and the meta as it came
	address   string
	state     State
	since     time.Time
	word      time.Time
	suspected time.Time
	told      time.Time // its last word on its traffic came
}

// Group is a process's part in its fleet. Its methods are safe for concurrent use.
type Group struct {
	cfg Config
	log *slog.Logger
	rng *rand.Rand // of Run's goroutine
	jit *rand.Rand // of whoever calls ReportTraffic

	mu        sync.Mutex // never held while the library is called, as the library calls back under locks of its own
	phase     Phase
	load      *load     // this process's own word
	rate      float64   // its traffic over tellOver
	ratedAt   time.Time // when that was taken
	tellAt    time.Time // it may change from then on
	tellBy    time.Time // and is said again then
	stands    Standing
	table     map[string]*entry
	number    uint64
	digest    uint64
	views     map[uint64]time.Time // digest: when somebody was known to hold it
	agreed    bool
	since     time.Time // of agreed
	starved   time.Time // until then
	heard     time.Time // another's views were last heard of
	kinds     map[byte]*listener
	transport memberlist.NodeAwareTransport // while Run has the address
	swept     time.Time                     // the table was last looked through
	clash     time.Time                     // another address was last heard to have the name

	leaving chan struct{} // closed by Leave: to go with a word
	closing chan struct{} // closed by Close: to go without
	once    [2]sync.Once
	ended   chan struct{} // closed when Run has returned
}

// New makes a group, or names the field that can't be used. It does nothing until Run.
func New(cfg Config) (*Group, error) {
	cfg.ProbeInterval = cmp.Or(cfg.ProbeInterval, 100*time.Millisecond)
	cfg.ForgetAfter = cmp.Or(cfg.ForgetAfter, 15*time.Minute)
	g := &Group{
		cfg: cfg, log: cfg.Log, phase: Starting, stands: Waiting,
		rng:   rand.New(rand.NewPCG(cfg.Start, uint64(len(cfg.Name)))),
		jit:   rand.New(rand.NewPCG(cfg.Start, markOf(cfg.Name, nil))),
		table: make(map[string]*entry), kinds: make(map[byte]*listener), views: make(map[uint64]time.Time), since: time.Now(),
		leaving: make(chan struct{}), closing: make(chan struct{}), ended: make(chan struct{}),
	}
	if g.log == nil {
		g.log = slog.Default()
	}
	switch {
	case cfg.Name == "" || strings.ContainsAny(cfg.Name, "/ \n") || len(cfg.Name) > 128:
		return nil, fmt.Errorf("member: name %q: 1 to 128 characters, no blank and no slash", cfg.Name)
	case cfg.Cluster == "" || len(cfg.Cluster) > memberlist.LabelMaxSize:
		return nil, fmt.Errorf("member: cluster %q: 1 to %d characters", cfg.Cluster, memberlist.LabelMaxSize)
	case cfg.NewTransport == nil && !cfg.Listen.IsValid():
		return nil, errors.New("member: listen is no IP:port")
	case cfg.ProbeInterval < 20*time.Millisecond:
		return nil, fmt.Errorf("member: probe %v is under 20ms", cfg.ProbeInterval)
	case cfg.ShareTraffic && (cfg.Index < 0 || cfg.Index > indexMost):
		return nil, fmt.Errorf("member: index %d: 0 to %d", cfg.Index, indexMost)
	case len(g.encode()) > metaMost, cfg.ShareTraffic && len(g.encode()) > metaMost-loadMost:
		return nil, fmt.Errorf("member: zone, version and digest are more than %d bytes together", metaMost)
	}
	for _, s := range slices.Concat(cfg.Seeds, cfg.KnownPeers) {
		if _, err := g.resolve(s); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// resolve makes the library's form, NAME/IP:PORT, of a seed. It is empty for this process itself.
func (g *Group) resolve(seed string) (string, error) {
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
		return "", fmt.Errorf("member: seed %q is no IP:port, no NAME/IP:port and no name of a route", seed)
	}
	if name == "" {
		return address, nil
	}
	return name + "/" + address, nil
}

func (g *Group) encode() []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	raw, err := json.Marshal(meta{g.cfg.Start, g.cfg.Zone, g.cfg.Version, g.cfg.Digest, g.phase, g.cfg.Forms, g.load})
	if err != nil {
		panic(err) // of plain fields
	}
	return raw
}

// SetPhase sets the phase that is announced to the other members.
func (g *Group) SetPhase(p Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.phase = p
}

// ReportTraffic updates the rate of this process's traffic, in requests per second. It may be called at any interval. The rate
// is averaged, rounded to a step and published at the first call, then when it has changed by tellChange and about
// tellPause has passed, and in any case about every tellEvery.
func (g *Group) ReportTraffic(rate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if rate = min(rate, math.MaxInt32); !(rate > 0) { // no number either
		rate = 0
	}
	since := now.Sub(g.ratedAt)
	g.ratedAt = now
	if rate > g.rate*tellJump || rate < g.rate/tellJump {
		g.rate = rate
	}
	g.rate += (rate - g.rate) * min(1, since.Seconds()/tellOver.Seconds())
	at := min(max(tellLeast, tellSteps*math.Log2(g.rate)), tellMost)
	l := load{Index: g.cfg.Index, Step: int(math.Round(at))}
	if g.load != nil {
		l.Said = g.load.Said
		off := math.Abs(at - float64(g.load.Step))
		if now.Before(g.tellAt) || off <= tellSteps*math.Log2(tellChange) && now.Before(g.tellBy) {
			return
		}
		if off <= 1 {
			l.Step = g.load.Step // arcs move with it: not for noise
		}
	}
	l.Said++
	g.load = &l
	some := func(d time.Duration) time.Time { return now.Add(d*3/4 + time.Duration(g.jit.Int64N(int64(d/2)))) } // not all in step
	g.tellAt, g.tellBy = some(tellPause), some(tellEvery)
}

// untold says that the others have not been told the phase that this process is in, or its last word on its traffic.
func (g *Group) untold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.table[g.cfg.Name]
	return e != nil && (e.Phase != g.phase || g.load != nil && (e.Load == nil || *e.Load != *g.load))
}

// Leave ends Run with a word to the others, which then know that this process has left.
func (g *Group) Leave() { g.end(0, g.leaving) }

// Close ends Run without a word: another process goes on under the name.
func (g *Group) Close() { g.end(1, g.closing) }

func (g *Group) end(which int, c chan struct{}) {
	g.once[which].Do(func() { close(c) })
	<-g.ended
}

// KnownPeers returns the first keptMost present members by name, this process excluded, as NAME/IP:PORT. They can be
// passed to a later process as Config.KnownPeers.
func (g *Group) KnownPeers() (known []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(g.table)) {
		if e := g.table[name]; e.state == Present && name != g.cfg.Name && len(known) < keptMost {
			known = append(known, name+"/"+e.address)
		}
	}
	return known
}

// View tells what this process sees now.
func (g *Group) View() View {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.look(now)
	v := g.head(now)
	for _, name := range slices.Sorted(maps.Keys(g.table)) {
		e := g.table[name]
		m := MemberInfo{
			Name: name, Start: e.Start, Zone: e.Zone, Version: e.Version, Digest: e.Digest, Forms: e.Forms, Phase: e.Phase, State: e.state,
			Address: e.address, StateAge: now.Sub(e.since), LastContactAge: -1, Suspected: g.suspects(e, now),
		}
		if m.Traffic = e.Load.traffic(now.Sub(e.told)); m.Traffic > 0 {
			m.Index = e.Load.Index
		}
		if !e.word.IsZero() {
			m.LastContactAge = now.Sub(e.word)
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
	g.look(now)
	v := g.head(now)
	for _, e := range g.table {
		switch e.state {
		case Silent:
			v.Silent++
		case Present:
			v.Present++
			if g.suspects(e, now) {
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
	e := g.table[name]
	return e != nil && e.state == Present
}

// head is a view without its members. mu is held.
func (g *Group) head(now time.Time) View {
	return View{
		Number: g.number, Digest: g.digest, Standing: g.stands, DistinctViews: len(g.views), Agreed: g.agreed,
		AgreementAge: now.Sub(g.since), Starved: now.Before(g.starved),
	}
}

func (g *Group) suspects(e *entry, now time.Time) bool {
	return e.state == Present && !e.suspected.IsZero() && now.Sub(e.suspected) < suspectedFor
}

// markOf is a member's part of a view's digest.
func markOf(name string, raw []byte) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name+"\x00") // a hash takes everything
	_, _ = h.Write(raw)
	return h.Sum64()
}

// changed takes that who is present has changed: a new view begins. mu is held.
func (g *Group) changed(now time.Time) {
	if g.digest != 0 {
		g.views[g.digest] = now // it was held until now
	}
	var d uint64
	for _, e := range g.table { // the sum is the same in any order
		if e.state == Present {
			d += e.mark
		}
	}
	if d != g.digest {
		g.digest = d
		g.number++
	}
	g.look(now)
}

// viewKept is how long a view counts after the last word of somebody who held it: several times what a word takes to go round.
func (g *Group) viewKept() time.Duration { return 40 * g.cfg.ProbeInterval }

// look drops views and members that nothing was heard of for long, and sees whether all agree. mu is held.
func (g *Group) look(now time.Time) {
	if g.digest != 0 {
		g.views[g.digest] = now
	}
	maps.DeleteFunc(g.views, func(_ uint64, at time.Time) bool { return now.Sub(at) > g.viewKept() })
	for len(g.views) > viewsMost {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(g.views)), func(a, b uint64) int { return g.views[a].Compare(g.views[b]) })
		delete(g.views, oldest)
	}
	if now.Sub(g.swept) > time.Second {
		g.swept = now
		maps.DeleteFunc(g.table, func(_ string, e *entry) bool {
			return e.state == Left && now.Sub(e.since) > leftKept || e.state != Present && now.Sub(e.since) > g.cfg.ForgetAfter
		})
	}
	if g.stands == Conflict && now.Sub(g.clash) > 2*g.viewKept() {
		g.standLocked(Member)
	}
	heard := now.Sub(g.heard) <= g.viewKept() // or there is nobody to agree with
	if agreed := len(g.views) == 1 && g.stands == Member && heard; agreed != g.agreed {
		g.agreed, g.since = agreed, now
		g.log.Info("membership", "agreed", agreed, "views", len(g.views), "number", g.number, "digest", fmt.Sprintf("%x", g.digest))
	}
}

// stand enters where this process stands.
func (g *Group) stand(s Standing) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.standLocked(s)
}

func (g *Group) standLocked(s Standing) {
	if g.stands == s || g.stands == Replaced {
		return
	}
	g.log.Info("membership", "standing", s, "before", g.stands)
	g.stands = s
}

// standing tells where this process stands, and how many others are present.
func (g *Group) standing() (s Standing, others int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, e := range g.table {
		if e.state == Present && name != g.cfg.Name {
			others++
		}
	}
	return g.stands, others
}

// Run takes part in the fleet until ctx ends, Leave or Close. It waits for its address as long as that is in use.
func (g *Group) Run(ctx context.Context) {
	defer close(g.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-ctx.Done():
		case <-g.leaving:
		case <-g.closing:
			cancel()
		}
	}()
	list := g.open(ctx)
	if list == nil {
		return
	}
	g.stand(Alone)
	defer g.carry(nil)
	var work sync.WaitGroup
	g.play(ctx, list, &work)
	select {
	case <-g.leaving:
		if err := list.Leave(leaveTime); err != nil {
			g.log.Warn("membership", "leaving", err)
		}
	default:
	}
	if err := list.Shutdown(); err != nil { // which gives the address up at once
		g.log.Warn("membership", "ending", err)
	}
	work.Wait()
}

// open takes the address, as soon as it is free, and starts the library there.
func (g *Group) open(ctx context.Context) *memberlist.Memberlist {
	told := false
	for {
		list, err := g.create()
		if err == nil {
			return list
		}
		if !told {
			g.log.Warn("membership", "waiting", err)
			told = true
		}
		pause := addressWait
		if !errors.Is(err, syscall.EADDRINUSE) {
			pause = lastPause // nothing that passes soon
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		case <-g.leaving:
			return nil
		}
	}
}
