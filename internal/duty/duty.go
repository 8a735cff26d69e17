// Package duty assigns each duty, a piece of work that only one process of a fleet may do at a time, to one
// process, and reassigns it when that process fails. It is built on hashicorp/raft. docs/duties.md is its
// contract; in short:
//
//   - Holds is never true for one duty at two processes at the same moment, whichever processes are paused,
//     partitioned or have lost their disk, as long as the rates of their clocks differ by less than
//     maxClockDrift. Holds reads this process's own monotonic clock at each call, so that a process that was
//     paused notices it before it acts.
//   - The token of a holding is higher than that of every earlier holding. A process that accepts a holder's
//     messages refuses tokens lower than the highest it has seen (Fence).
//   - While a majority of the voters is running, the duty of a lost holder is reassigned within
//     Lease*(1+maxClockDrift) plus the time of an election and a poll interval.
//
// The voters, three or five processes, keep the table of holders in a replicated log; the other processes send
// them requests. Processes are known by name. The transport between them and the storage that outlives a
// process are passed in by Config.
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
	maxClockDrift      = 0.05                   // the clock rates of any two processes differ by less than this fraction
	renewalsPerLease   = 5                      // renewals of a lease in its duration
	pollInterval       = 100 * time.Millisecond // between two checks of leases, and of duties at the leader
	callTimeout        = time.Second            // for one call between processes
	handOverTimeout    = 5 * pollInterval       // a leader that stops first reassigns what it held, for at most this long
	maxConcurrentCalls = 32                     // calls served at the same time
	maxDuties          = 64
)

// The kinds of network streams between processes.
const (
	RaftStream byte = 'R'
	CallStream byte = 'D'
)

// Transport opens and accepts network streams between processes.
type Transport interface {
	Listen(kind byte) net.Listener // accepts the streams of that kind that other processes open
	Dial(name string, kind byte, timeout time.Duration) (net.Conn, error)
}

// Storage stores values that outlive the process. Put returns nil only once the value is durable.
type Storage interface {
	Get(section, key string) ([]byte, bool)
	All(section string) map[string][]byte
	Put(section, key string, value []byte) error
	Delete(section, key string) error
}

// Candidate is a process that may hold duties now.
type Candidate struct {
	Name  string
	Zone  string
	Start uint64
}

// Duty is work that one process does at a time.
type Duty struct {
	Name string
	Zone string // only processes of this zone may hold it; empty: all may
}

// Config identifies this process and provides its environment. Voters, Duties and Lease must be the same at all
// processes.
type Config struct {
	Name           string
	Start          uint64   // higher than that of every earlier process of this name
	Voters         []string // names of the processes that vote
	Duties         []Duty
	Lease          time.Duration // duration of a lease; 0: 3 s
	Transport      Transport
	Storage        Storage
	StorageDamaged bool                            // some of the stored values may be lost or wrong: this process joins as a new voter
	Candidates     func() []Candidate              // the processes that may hold duties now
	Now            func() time.Duration            // a monotonic clock; nil: that of this process
	OnAcquired     func(duty string, token uint64) // called after the first lease of a holding
	OnLost         func(duty string)               // called when a holding that was acquired has ended
	Log            *slog.Logger
}

// Holding is a row of the table: a duty, its holder and the fencing token. Start distinguishes the holder from
// earlier processes of its name.
type Holding struct {
	Duty   string `json:"duty"`
	Holder string `json:"holder"`
	Start  uint64 `json:"start"`
	Token  uint64 `json:"token"`
}

// heldDuty is a duty that was assigned to this process.
type heldDuty struct {
	Holding
	leaseEnd time.Duration // end of the lease by this process's clock; 0: no lease was granted yet
	acquired bool          // OnAcquired was called, and OnLost was not yet
}

// Entry is a version that a duty's holder has entered for the whole fleet, with the digest of its meaning.
// Versions only increase, and the digest of a version never changes. The zero Entry is that of a duty under
// which nothing was entered.
type Entry struct {
	Token   uint64 `json:"token"` // fencing token of the holder that entered it
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// maxDigestBytes is the maximum length of a digest.
const maxDigestBytes = 128

// Apply returns the entry that results when a holder submits proposed; current is the token of the duty's
// present holding, or 0. Apply refuses proposed and returns e if its token is not current, if its version is
// lower than e's, or if it has e's version with another digest. Submitting e's version and digest again changes
// nothing.
func (e Entry) Apply(current uint64, proposed Entry) (Entry, error) {
	switch {
	case current == 0 || proposed.Token != current:
		return e, fmt.Errorf("token %d: the duty is held by token %d", proposed.Token, current)
	case proposed.Version == 0 || proposed.Digest == "" || len(proposed.Digest) > maxDigestBytes:
		return e, fmt.Errorf("version %d with a digest of %d bytes is not an entry", proposed.Version, len(proposed.Digest))
	case proposed.Version < e.Version:
		return e, fmt.Errorf("version %d is below %d, which is entered", proposed.Version, e.Version)
	case proposed.Version == e.Version && proposed.Digest != e.Digest:
		return e, fmt.Errorf("version %d is entered with another digest", proposed.Version)
	case proposed.Version == e.Version:
		return e, nil
	}
	return proposed, nil
}

// ErrEntryRefused reports a final refusal: the same entry will be refused again under the same holding.
var ErrEntryRefused = errors.New("not entered")

// CommitEntry enters a version under a duty that this process holds by token. Once it returns nil the entry is
// committed to the voters' log. After any error other than ErrEntryRefused it is unknown whether it was
// entered: try again, or call LastEntry.
func (g *Group) CommitEntry(duty string, token, version uint64, digest string) error {
	var reply EnterReply
	if err := g.callLeader("Enter", EnterArgs{duty, Entry{token, version, digest}}, &reply); err != nil {
		return err
	}
	if reply.Refused != "" {
		return fmt.Errorf("%w: %s", ErrEntryRefused, reply.Refused)
	}
	return nil
}

// LastEntry returns the last entry under a duty from the voters' log. A holder that calls it after it was given
// its token sees every entry that earlier holders could make.
func (g *Group) LastEntry(duty string) (e Entry, err error) {
	err = g.callLeader("Entered", duty, &e)
	return e, err
}

// Group runs the part of one process in the duties of its fleet. Its methods are safe for concurrent use.
type Group struct {
	cfg Config
	log *slog.Logger
	now func() time.Duration

	mu         sync.Mutex
	held       map[string]*heldDuty // by name of the duty
	lastLeader string               // the voter to call first
	voter      *voter               // nil: this process is not a voter
	serveSlots chan struct{}        // one element for each call being served
	renewNow   chan struct{}        // signals that a duty was assigned and needs its lease
}

// New returns a group, or an error that names what is wrong with cfg.
func New(cfg Config) (*Group, error) {
	cfg.Lease = cmp.Or(cfg.Lease, 3*time.Second)
	switch n := len(cfg.Voters); {
	case n != 1 && n != 3 && n != 5:
		return nil, fmt.Errorf("duty: %d voters: 3 or 5 are allowed, or 1 where a lost one may stop all duties", n)
	case len(slices.Compact(slices.Sorted(slices.Values(cfg.Voters)))) != n:
		return nil, errors.New("duty: a voter is named twice")
	case slices.ContainsFunc(cfg.Voters, func(v string) bool { return v == "" || strings.ContainsAny(v, "#\n ") }):
		return nil, errors.New("duty: a voter's name is empty or has a blank or # in it")
	case len(cfg.Duties) > maxDuties:
		return nil, fmt.Errorf("duty: %d duties, %d are allowed", len(cfg.Duties), maxDuties)
	case cfg.Lease < 500*time.Millisecond:
		return nil, fmt.Errorf("duty: a lease of %v is under 500ms", cfg.Lease)
	}
	g := &Group{
		cfg: cfg, log: cfg.Log, now: cfg.Now, held: make(map[string]*heldDuty), lastLeader: cfg.Voters[0],
		serveSlots: make(chan struct{}, maxConcurrentCalls), renewNow: make(chan struct{}, 1),
	}
	if g.log == nil {
		g.log = slog.Default()
	}
	if g.now == nil {
		started := time.Now()
		g.now = func() time.Duration { return time.Since(started) }
	}
	return g, nil
}

// Run takes part in the fleet's duties until ctx ends. It then releases the duties that this process holds, so
// that other processes can take them over at once.
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
	g.maintain(ctx)
	g.releaseAll()
}

// Holds reports whether this process holds a duty now, and by which token. Call it right before each act.
func (g *Group) Holds(duty string) (token uint64, held bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.held[duty]
	if h == nil || h.leaseEnd == 0 || g.now() >= h.leaseEnd {
		return 0, false
	}
	return h.Token, true
}

// holderLease is the time for which a holder may rely on a lease, counted from when it sent the request.
func (g *Group) holderLease() time.Duration {
	return time.Duration(float64(g.cfg.Lease) * (1 - maxClockDrift))
}

// reassignDelay is the time after which a duty may go to another process, counted from when its lease was last
// granted. It exceeds holderLease to allow for clocks that run at different rates.
func (g *Group) reassignDelay() time.Duration {
	return time.Duration(float64(g.cfg.Lease) * (1 + maxClockDrift))
}

// maintain renews the leases of this process and ends the duties whose lease has run out, until ctx ends.
func (g *Group) maintain(ctx context.Context) {
	renewTick := time.NewTicker(g.cfg.Lease / renewalsPerLease)
	defer renewTick.Stop()
	expiryTick := time.NewTicker(pollInterval)
	defer expiryTick.Stop()
	var renewing sync.WaitGroup
	defer renewing.Wait()
	busy := make(chan struct{}, 1)
	for {
		renew := false
		select {
		case <-ctx.Done():
			return
		case <-expiryTick.C:
		case <-renewTick.C:
			renew = true
		case <-g.renewNow:
			renew = true
		}
		g.endExpired()
		if !renew {
			continue
		}
		select {
		case busy <- struct{}{}:
			renewing.Go(func() {
				defer func() { <-busy }()
				g.renewLeases()
			})
		default:
		}
	}
}

// endExpired ends the duties whose lease has run out.
func (g *Group) endExpired() {
	g.mu.Lock()
	var expired []string
	for name, h := range g.held {
		if h.acquired && g.now() >= h.leaseEnd {
			h.acquired = false
			expired = append(expired, name)
		}
	}
	g.mu.Unlock()
	for _, name := range expired {
		g.log.Warn("duty", "ends", name, "why", "its lease was not renewed")
		g.cfg.OnLost(name)
	}
}

// renewLeases requests the leases of all held duties in one call. They count from before the request was sent.
func (g *Group) renewLeases() {
	args := RenewArgs{Name: g.cfg.Name, Start: g.cfg.Start, Tokens: make(map[string]uint64)}
	g.mu.Lock()
	for name, h := range g.held {
		args.Tokens[name] = h.Token
	}
	g.mu.Unlock()
	if len(args.Tokens) == 0 {
		return
	}
	requestedAt := g.now()
	var reply RenewReply
	if err := g.callLeader("Renew", args, &reply); err != nil {
		g.log.Debug("duties", "error", err)
		return
	}
	type change struct {
		name     string
		token    uint64
		acquired bool
	}
	var changes []change
	g.mu.Lock()
	for name, token := range args.Tokens {
		h := g.held[name]
		if h == nil || h.Token != token {
			continue // the duty was assigned again meanwhile
		}
		if slices.Contains(reply.Granted, name) {
			h.leaseEnd = requestedAt + g.holderLease()
			if !h.acquired && g.now() < h.leaseEnd {
				h.acquired = true
				changes = append(changes, change{name, token, true})
			}
			continue
		}
		delete(g.held, name)
		if h.acquired {
			changes = append(changes, change{name: name})
		}
	}
	g.mu.Unlock()
	for _, c := range changes {
		if c.acquired {
			g.log.Info("duty", "begins", c.name, "token", c.token)
			g.cfg.OnAcquired(c.name, c.token)
		} else {
			g.log.Info("duty", "ends", c.name, "why", "another process holds it")
			g.cfg.OnLost(c.name)
		}
	}
}

// accept records that the voters have assigned a duty to this process. The duty is held only once its first
// lease is granted.
func (g *Group) accept(h Holding) {
	g.mu.Lock()
	old := g.held[h.Duty]
	newer := old == nil || old.Token < h.Token
	if newer {
		g.held[h.Duty] = &heldDuty{Holding: h}
	}
	ended := newer && old != nil && old.acquired
	g.mu.Unlock()
	if ended {
		g.cfg.OnLost(h.Duty)
	}
	select {
	case g.renewNow <- struct{}{}:
	default:
	}
}

// revoke ends a duty at once because it is to be moved to another process.
func (g *Group) revoke(h Holding) {
	g.mu.Lock()
	current := g.held[h.Duty]
	ended := current != nil && current.Token <= h.Token
	acquired := ended && current.acquired
	if ended {
		delete(g.held, h.Duty)
	}
	g.mu.Unlock()
	if acquired {
		g.log.Info("duty", "ends", h.Duty, "why", "it was moved")
		g.cfg.OnLost(h.Duty)
	}
}

// releaseAll ends all duties that this process holds and reports that to the voters. If this process leads the
// voters, it waits up to handOverTimeout until it has reassigned them.
func (g *Group) releaseAll() {
	g.mu.Lock()
	given := g.held
	g.held = make(map[string]*heldDuty)
	g.mu.Unlock()
	args := ReleaseArgs{}
	for _, name := range slices.Sorted(maps.Keys(given)) {
		if given[name].acquired {
			g.cfg.OnLost(name)
		}
		args.Given = append(args.Given, given[name].Holding)
	}
	if len(args.Given) == 0 {
		return
	}
	if err := g.callLeader("Release", args, &struct{}{}); err != nil {
		g.log.Warn("duties", "error", err) // they are reassigned when their leases run out
	}
	g.mu.Lock()
	v := g.voter
	g.mu.Unlock()
	for deadline := time.Now().Add(handOverTimeout); v != nil && v.hasUnassigned(args.Given) && time.Now().Before(deadline); {
		time.Sleep(pollInterval / 4) // this process, as the leader, reassigns what it has released
	}
}

// DutyNames returns the names of all duties.
func (g *Group) DutyNames() (names []string) {
	for _, d := range g.cfg.Duties {
		names = append(names, d.Name)
	}
	return names
}

// Move reassigns a duty to the process of the given name, or to any candidate if to is empty.
func (g *Group) Move(duty, to string) error {
	return g.callLeader("Move", MoveArgs{duty, to}, &struct{}{})
}

// Table is the assignment of duties as the leader has it.
type Table struct {
	Leader   string
	Voters   []string // ids of the present voters
	Holdings []Holding
	Ages     map[string]time.Duration // by duty: time since a lease was last granted
}

// Table returns the present assignment of duties from the leader.
func (g *Group) Table() (t Table, err error) {
	err = g.callLeader("Table", struct{}{}, &t)
	return t, err
}

// errNotLeader begins the error of a voter that does not lead. The name of the leader follows, if it is known.
// Callers in other processes compare this text.
const errNotLeader = "not the leader; "

// callLeader calls a method of the leading voter. It begins with the last known leader and follows the names in
// errors until each voter was tried once.
func (g *Group) callLeader(method string, args, reply any) error {
	g.mu.Lock()
	next := g.lastLeader
	g.mu.Unlock()
	var failures error
	untried := slices.Clone(g.cfg.Voters)
	for tries := 0; tries <= len(g.cfg.Voters) && next != ""; tries++ {
		err := g.call(next, method, args, reply)
		if err == nil {
			g.mu.Lock()
			g.lastLeader = next
			g.mu.Unlock()
			return nil
		}
		untried = slices.DeleteFunc(untried, func(v string) bool { return v == next })
		leader, redirected := strings.CutPrefix(err.Error(), errNotLeader)
		failures = errors.Join(failures, fmt.Errorf("%s: %w", next, err))
		switch {
		case redirected && slices.Contains(untried, leader):
			next = leader
		case !redirected && errors.As(err, new(rpc.ServerError)):
			return err // the leader itself refused
		case len(untried) > 0:
			next = untried[0]
		default:
			next = ""
		}
	}
	return failures
}

// call makes one call to the process of that name.
func (g *Group) call(name, method string, args, reply any) error {
	if name == g.cfg.Name {
		return g.callSelf(method, args, reply)
	}
	c, err := g.cfg.Transport.Dial(name, CallStream, callTimeout)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return err
	}
	client := rpc.NewClient(c)
	defer client.Close()
	return client.Call("Duty."+method, args, reply)
}

// callSelf makes a call to this process itself.
func (g *Group) callSelf(method string, args, reply any) error {
	here, there := net.Pipe()
	defer here.Close()
	go g.serveConn(there)
	client := rpc.NewClient(here)
	defer client.Close()
	return client.Call("Duty."+method, args, reply)
}

// serveConn serves the calls of one stream.
func (g *Group) serveConn(c net.Conn) {
	server := rpc.NewServer()
	if err := server.RegisterName("Duty", &service{g}); err != nil {
		panic(err) // can't happen: the methods have the form that net/rpc requires
	}
	server.ServeConn(c)
}

// serve answers calls of other processes until ctx ends. A call beyond the limit of concurrent calls is closed
// at once.
func (g *Group) serve(ctx context.Context, l net.Listener, work *sync.WaitGroup) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		select {
		case g.serveSlots <- struct{}{}:
			work.Go(func() {
				defer func() { <-g.serveSlots }()
				_ = c.SetDeadline(time.Now().Add(2 * callTimeout)) // an error means that c is closed, which reading reports too
				g.serveConn(c)
			})
		default:
			c.Close()
		}
	}
}

// Fence refuses messages of earlier holders of a duty. Its zero value, with Storage set, has seen no token.
type Fence struct {
	Storage Storage
	mu      sync.Mutex
	highest map[string]uint64
}

// sectionFence has the highest token by duty.
const sectionFence = "fence"

// Admit reports whether token is no lower than any token seen before for the duty. A higher token is durable
// before Admit returns true.
func (f *Fence) Admit(duty string, token uint64) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	highest, ok := f.highest[duty]
	if raw, found := f.Storage.Get(sectionFence, duty); !ok && found {
		if _, err := fmt.Sscan(string(raw), &highest); err != nil {
			return false, fmt.Errorf("duty: the fence of %s can't be read: %w", duty, err)
		}
	}
	switch {
	case token < highest:
		return false, nil
	case token > highest:
		if err := f.Storage.Put(sectionFence, duty, fmt.Append(nil, token)); err != nil {
			return false, err
		}
	}
	if f.highest == nil {
		f.highest = make(map[string]uint64)
	}
	f.highest[duty] = token
	return true, nil
}
