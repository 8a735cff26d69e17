// Package duty gives work that only one process of a fleet may do at a time to one process, and passes it on when that
// one fails, on hashicorp/raft. docs/duties.md is its contract; in short:
//
//   - Of one duty, Holds is true at no two processes at one moment, whatever stands still, is cut off, or has lost its disk, as
//     long as clocks run at rates that differ by less than drift. It reads this process's own monotonic clock at each call,
//     so that a process that stood still finds out before it acts.
//   - The token of a holding is higher than that of every one before it. Whoever takes a holder's word refuses lower tokens
//     than it has seen (Fence).
//   - A lost holder's duty is passed on within Lease*(1+drift), an election, and a beat, while a majority of voters lives.
//
// The voters, three or five, keep the table of who holds what. The others only ask them. It knows processes by name, and reaches
// them by what it is given (Transport); it keeps what must outlive a process by what it is given (Storage).
package duty

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	drift     = 0.05 // clocks run at rates that differ by less than this
	renewals  = 5    // in the time of a lease
	beat      = 100 * time.Millisecond
	callTime  = time.Second // of one call between processes
	passTime  = 5 * beat    // a leader that ends passes on what it held first, for so long at most
	callsMost = 32          // served at a time
	dutyMost  = 64          // duties
)

// The kinds of streams between processes.
const (
	RaftStream byte = 'R'
	CallStream byte = 'D'
)

// Transport is how processes reach each other.
type Transport interface {
	Listen(kind byte) net.Listener // streams of that kind that others open
	Dial(name string, kind byte, timeout time.Duration) (net.Conn, error)
}

// Storage keeps values over the end of a process. Put has returned nil only once the value is durable.
type Storage interface {
	Get(section, key string) ([]byte, bool)
	All(section string) map[string][]byte
	Put(section, key string, value []byte) error
	Delete(section, key string) error
}

// Candidate is a process that may hold duties.
type Candidate struct {
	Name  string
	Zone  string
	Start uint64
}

// Duty is work for one process at a time.
type Duty struct {
	Name string
	Zone string // whose processes may hold it; empty: any
}

// Config says who this process is. Voters, Duties and Lease are the same at all.
type Config struct {
	Name           string
	Start          uint64 // higher than that of every earlier process of this name
	Voters         []string
	Duties         []Duty
	Lease          time.Duration // 0: 3 s
	Transport      Transport
	Storage        Storage
	StorageDamaged bool                 // what Storage had may be gone or wrong: this process is a new voter
	Candidates     func() []Candidate   // that are fit now
	Now            func() time.Duration // a clock that never goes back; nil: the process's
	OnAcquired     func(duty string, token uint64)
	OnLost         func(duty string)
	Log            *slog.Logger
}

// Holding is an entry of the table: who has a duty, and by what token.
type Holding struct {
	Duty   string `json:"duty"`
	Holder string `json:"holder"`
	Start  uint64 `json:"start"`
	Token  uint64 `json:"token"`
}

// held is a duty that this process was given.
type held struct {
	Holding
	until time.Duration // by the own clock; 0: there was no lease so far
	begun bool          // OnAcquired was called, and OnLost was not
}

// Entry is a version that a duty's holder has entered for all, with the digest of what it means. Versions only grow, and one version
// has one digest for ever. Its zero value is that of a duty whose holders have entered nothing.
type Entry struct {
	Token   uint64 `json:"token"` // of the holder that entered it
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// digestMost is how many bytes a digest may have.
const digestMost = 128

// Apply is the entry that stands after a holder has asked for another. It is refused where its token is not that of the duty's present
// holding, its version is below the last, or the same with another digest. The same again changes nothing.
func (e Entry) Apply(present uint64, n Entry) (Entry, error) {
	switch {
	case present == 0 || n.Token != present:
		return e, fmt.Errorf("token %d: the duty is held by %d", n.Token, present)
	case n.Version == 0 || n.Digest == "" || len(n.Digest) > digestMost:
		return e, fmt.Errorf("version %d with a digest of %d bytes is no entry", n.Version, len(n.Digest))
	case n.Version < e.Version:
		return e, fmt.Errorf("version %d is below %d, which is entered", n.Version, e.Version)
	case n.Version == e.Version && n.Digest != e.Digest:
		return e, fmt.Errorf("version %d is entered with another digest", n.Version)
	case n.Version == e.Version:
		return e, nil
	}
	return n, nil
}

// ErrEntryRefused says that an entry was refused, and will be whenever it is tried again by that holding.
var ErrEntryRefused = errors.New("not entered")

// CommitEntry enters a version under a duty that this process holds by that token; it is then agreed among the voters for ever. An error that
// is no ErrEntryRefused leaves open whether it was entered: try again, or ask LastEntry.
func (g *Group) CommitEntry(duty string, token, version uint64, digest string) error {
	var reply EnterReply
	if err := g.ask("Enter", EnterArgs{duty, Entry{token, version, digest}}, &reply); err != nil {
		return err
	}
	if reply.Refused != "" {
		return fmt.Errorf("%w: %s", ErrEntryRefused, reply.Refused)
	}
	return nil
}

// LastEntry is the entry under a duty as the voters have it. A holder that asks after it was given its token sees all that any earlier
// holder could enter.
func (g *Group) LastEntry(duty string) (e Entry, err error) {
	err = g.ask("Entered", duty, &e)
	return e, err
}

// Group is a process's part in its fleet's duties. Its methods are safe for concurrent use.
type Group struct {
	cfg Config
	log *slog.Logger
	now func() time.Duration

	mu     sync.Mutex
	mine   map[string]*held
	leader string // the voter that is asked first
	voter  *voter // nil: this process is none
	places chan struct{}
	hint   chan struct{} // there is something to renew
}

// New makes a group, or names what can't be used.
func New(cfg Config) (*Group, error) {
	cfg.Lease = cmp.Or(cfg.Lease, 3*time.Second)
	switch n := len(cfg.Voters); {
	case n != 1 && n != 3 && n != 5:
		return nil, fmt.Errorf("duty: %d voters: 3 or 5 are allowed, or 1 where a lost one may stop all duties", n)
	case len(slices.Compact(slices.Sorted(slices.Values(cfg.Voters)))) != n:
		return nil, errors.New("duty: a voter is named twice")
	case slices.ContainsFunc(cfg.Voters, func(v string) bool { return v == "" || strings.ContainsAny(v, "#\n ") }):
		return nil, errors.New("duty: a voter's name is empty or has a blank or # in it")
	case len(cfg.Duties) > dutyMost:
		return nil, fmt.Errorf("duty: %d duties, %d are allowed", len(cfg.Duties), dutyMost)
	case cfg.Lease < 500*time.Millisecond:
		return nil, fmt.Errorf("duty: a lease of %v is under 500ms", cfg.Lease)
	}
	g := &Group{
		cfg: cfg, log: cfg.Log, now: cfg.Now, mine: make(map[string]*held), leader: cfg.Voters[0],
		places: make(chan struct{}, callsMost), hint: make(chan struct{}, 1),
	}
	if g.log == nil {
		g.log = slog.Default()
	}
	if g.now == nil {
		began := time.Now()
		g.now = func() time.Duration { return time.Since(began) }
	}
	return g, nil
}

// Run takes part until ctx ends. Then it gives up what it holds, so that others have it at once.
func (g *Group) Run(ctx context.Context) {
	var work sync.WaitGroup
	serving, stop := context.WithCancel(context.Background())
	defer work.Wait()
	defer stop()
	calls := g.cfg.Transport.Listen(CallStream)
	work.Go(func() { g.serve(serving, calls, &work) })
	if slices.Contains(g.cfg.Voters, g.cfg.Name) {
		v, err := newVoter(g)
		if err != nil {
			g.log.Error("duties", "error", err)
		} else {
			g.mu.Lock()
			g.voter = v
			g.mu.Unlock()
			work.Go(func() { v.run(serving) })
		}
	}
	g.keep(ctx)
	g.giveUp()
}

// Holds says whether this process holds a duty now, and by what token. Ask right before each act.
func (g *Group) Holds(duty string) (token uint64, yes bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.mine[duty]
	if h == nil || h.until == 0 || g.now() >= h.until {
		return 0, false
	}
	return h.Token, true
}

// leased is for how long a lease holds at its holder, from when it asked for it; free is when a duty may go to another, from
// when a lease was last given. What lies between is for clocks that run at different rates.
func (g *Group) leased() time.Duration { return time.Duration(float64(g.cfg.Lease) * (1 - drift)) }

func (g *Group) free() time.Duration { return time.Duration(float64(g.cfg.Lease) * (1 + drift)) }

// keep renews what this process holds, and ends what it no longer does, until ctx ends.
func (g *Group) keep(ctx context.Context) {
	tick := time.NewTicker(g.cfg.Lease / renewals)
	defer tick.Stop()
	check := time.NewTicker(beat)
	defer check.Stop()
	var renewing sync.WaitGroup
	defer renewing.Wait()
	busy := make(chan struct{}, 1)
	for {
		renew := false
		select {
		case <-ctx.Done():
			return
		case <-check.C:
		case <-tick.C:
			renew = true
		case <-g.hint:
			renew = true
		}
		g.expire()
		if !renew {
			continue
		}
		select {
		case busy <- struct{}{}:
			renewing.Go(func() {
				defer func() { <-busy }()
				g.renew()
			})
		default:
		}
	}
}

// expire ends what holds no more.
func (g *Group) expire() {
	g.mu.Lock()
	var over []string
	for name, h := range g.mine {
		if h.begun && g.now() >= h.until {
			h.begun = false
			over = append(over, name)
		}
	}
	g.mu.Unlock()
	for _, name := range over {
		g.log.Warn("duty", "ends", name, "why", "its lease was not renewed")
		g.cfg.OnLost(name)
	}
}

// renew asks the leader for all leases at once. They count from before the question.
func (g *Group) renew() {
	args := RenewArgs{Name: g.cfg.Name, Start: g.cfg.Start, Tokens: make(map[string]uint64)}
	g.mu.Lock()
	for name, h := range g.mine {
		args.Tokens[name] = h.Token
	}
	g.mu.Unlock()
	if len(args.Tokens) == 0 {
		return
	}
	asked := g.now()
	var reply RenewReply
	if err := g.ask("Renew", args, &reply); err != nil {
		g.log.Debug("duties", "error", err)
		return
	}
	type change struct {
		name  string
		token uint64
		begin bool
	}
	var changes []change
	g.mu.Lock()
	for name, token := range args.Tokens {
		h := g.mine[name]
		if h == nil || h.Token != token {
			continue // it is another one by now
		}
		if slices.Contains(reply.Granted, name) {
			h.until = asked + g.leased()
			if !h.begun && g.now() < h.until {
				h.begun = true
				changes = append(changes, change{name, token, true})
			}
			continue
		}
		delete(g.mine, name)
		if h.begun {
			changes = append(changes, change{name: name})
		}
	}
	g.mu.Unlock()
	for _, c := range changes {
		if c.begin {
			g.log.Info("duty", "begins", c.name, "token", c.token)
			g.cfg.OnAcquired(c.name, c.token)
		} else {
			g.log.Info("duty", "ends", c.name, "why", "another has it")
			g.cfg.OnLost(c.name)
		}
	}
}

// given takes that the voters have given this process a duty; the lease comes by asking.
func (g *Group) given(h Holding) {
	g.mu.Lock()
	old := g.mine[h.Duty]
	news := old == nil || old.Token < h.Token
	if news {
		g.mine[h.Duty] = &held{Holding: h}
	}
	ended := news && old != nil && old.begun
	g.mu.Unlock()
	if ended {
		g.cfg.OnLost(h.Duty)
	}
	select {
	case g.hint <- struct{}{}:
	default:
	}
}

// taken ends a duty at once, as it is to go to another, and says whether it is not held any more.
func (g *Group) taken(h Holding) {
	g.mu.Lock()
	mine := g.mine[h.Duty]
	ended := mine != nil && mine.Token <= h.Token
	begun := ended && mine.begun
	if ended {
		delete(g.mine, h.Duty)
	}
	g.mu.Unlock()
	if begun {
		g.log.Info("duty", "ends", h.Duty, "why", "it is moved")
		g.cfg.OnLost(h.Duty)
	}
}

// giveUp gives up all that this process holds.
func (g *Group) giveUp() {
	g.mu.Lock()
	mine := g.mine
	g.mine = make(map[string]*held)
	g.mu.Unlock()
	args := ReleaseArgs{}
	for _, name := range slices.Sorted(maps.Keys(mine)) {
		if mine[name].begun {
			g.cfg.OnLost(name)
		}
		args.Given = append(args.Given, mine[name].Holding)
	}
	if len(args.Given) == 0 {
		return
	}
	if err := g.ask("Release", args, &struct{}{}); err != nil {
		g.log.Warn("duties", "error", err) // they pass on as their leases end
	}
	g.mu.Lock()
	v := g.voter
	g.mu.Unlock()
	for end := time.Now().Add(passTime); v != nil && v.leadsStill(args.Given) && time.Now().Before(end); {
		time.Sleep(beat / 4) // this process passes on itself what it has given up
	}
}

// DutyNames are all duties.
func (g *Group) DutyNames() (names []string) {
	for _, d := range g.cfg.Duties {
		names = append(names, d.Name)
	}
	return names
}

// Move has a duty passed on: to a process of that name, or to whichever is fit.
func (g *Group) Move(duty, to string) error {
	return g.ask("Move", MoveArgs{duty, to}, &struct{}{})
}

// Table is who holds what, as the leader has it.
type Table struct {
	Leader   string
	Voters   []string // as the voters have them
	Holdings []Holding
	Ages     map[string]time.Duration // since a lease was last given, by duty
}

// Table asks for the table.
func (g *Group) Table() (t Table, err error) {
	err = g.ask("Table", struct{}{}, &t)
	return t, err
}

// errNotLeader is what a voter answers that does not lead.
const errNotLeader = "not the leader; "

// ask asks the leader, wherever it is now.
func (g *Group) ask(method string, args, reply any) error {
	g.mu.Lock()
	next := g.leader
	g.mu.Unlock()
	var bad error
	rest := slices.Clone(g.cfg.Voters)
	for tries := 0; tries <= len(g.cfg.Voters) && next != ""; tries++ {
		err := g.call(next, method, args, reply)
		if err == nil {
			g.mu.Lock()
			g.leader = next
			g.mu.Unlock()
			return nil
		}
		rest = slices.DeleteFunc(rest, func(v string) bool { return v == next })
		hint, other := strings.CutPrefix(err.Error(), errNotLeader)
		bad = errors.Join(bad, fmt.Errorf("%s: %w", next, err))
		switch {
		case other && slices.Contains(rest, hint):
			next = hint
		case !other && errors.As(err, new(rpc.ServerError)):
			return err // the leader says no
		case len(rest) > 0:
			next = rest[0]
		default:
			next = ""
		}
	}
	return bad
}

// call makes one call at one process.
func (g *Group) call(name, method string, args, reply any) error {
	if name == g.cfg.Name {
		return g.own(method, args, reply)
	}
	c, err := g.cfg.Transport.Dial(name, CallStream, callTime)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(callTime)); err != nil {
		return err
	}
	client := rpc.NewClient(c)
	defer client.Close()
	return client.Call("Duty."+method, args, reply)
}

// own makes a call at this process itself.
func (g *Group) own(method string, args, reply any) error {
	here, there := net.Pipe()
	defer here.Close()
	go g.answer(there)
	client := rpc.NewClient(here)
	defer client.Close()
	return client.Call("Duty."+method, args, reply)
}

// answer serves the calls of one stream.
func (g *Group) answer(c net.Conn) {
	server := rpc.NewServer()
	if err := server.RegisterName("Duty", &service{g}); err != nil {
		panic(err) // of methods that the compiler has seen
	}
	server.ServeConn(c)
}

// serve answers the calls of others, some at a time, until ctx ends.
func (g *Group) serve(ctx context.Context, l net.Listener, work *sync.WaitGroup) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		select {
		case g.places <- struct{}{}:
			work.Go(func() {
				defer func() { <-g.places }()
				_ = c.SetDeadline(time.Now().Add(2 * callTime)) // it fails on a closed one, as reading does
				g.answer(c)
			})
		default:
			c.Close()
		}
	}
}

// Fence tells words of holders that are of use from those of earlier ones. Its zero value knows of none.
type Fence struct {
	Storage Storage
	mu      sync.Mutex
	high    map[string]uint64
}

const sectionFence = "fence"

// Admit says whether a token is no lower than any before it; a higher one is durable before it returns true.
func (f *Fence) Admit(duty string, token uint64) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	high, ok := f.high[duty]
	if raw, kept := f.Storage.Get(sectionFence, duty); !ok && kept {
		if _, err := fmt.Sscan(string(raw), &high); err != nil {
			return false, fmt.Errorf("duty: the fence of %s can't be read: %w", duty, err)
		}
	}
	switch {
	case token < high:
		return false, nil
	case token > high:
		if err := f.Storage.Put(sectionFence, duty, fmt.Append(nil, token)); err != nil {
			return false, err
		}
	}
	if f.high == nil {
		f.high = make(map[string]uint64)
	}
	f.high[duty] = token
	return true, nil
}
