package rules

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	tick      = 200 * time.Millisecond // how often a process looks at what is around it
	callTime  = 2 * time.Second        // of one call, with a document
	dialTime  = time.Second
	pushTime  = 5 * time.Second // from an offer to the entry
	offerTime = 3 * time.Second // between two offers of one document
	askMost   = 8               // peers that a start asks
	askTime   = 2 * time.Second // a start waits for so long for its peers' floors
	callsMost = 16              // made at a time, and served
	section   = "rules"         // of what outlives the process
)

// MessageStream is the kind of streams that messages go by.
const MessageStream byte = 'V'

// Transport is how processes reach each other.
type Transport interface {
	Listen(kind byte) net.Listener // streams of that kind that others open
	Dial(name string, kind byte, timeout time.Duration) (net.Conn, error)
}

// Storage keeps values over the end of a process. Put has returned nil only once the value is durable.
type Storage interface {
	All(section string) map[string][]byte
	Put(section, key string, value []byte) error
	Delete(section, key string) error
}

// Voters are the log in which versions are entered.
type Voters interface {
	// Holds says whether this process holds the duty now, and by what token.
	Holds() (token uint64, yes bool)
	// Holder is who holds it, as far as the voters say.
	Holder() (name string, err error)
	// LastEntry is what was entered last. Asked by a holder, it has all that earlier ones could enter.
	LastEntry() (Floor, error)
	// CommitEntry enters a version. refused says no for good; err leaves open whether it was entered.
	CommitEntry(f Floor) (refused, err error)
	// AdmitToken says whether a holder's token is no lower than any before it; a higher one is durable then.
	AdmitToken(token uint64) (bool, error)
}

// Config says who this process is and what is around it.
type Config struct {
	Name           string
	Start          uint64 // higher than that of every earlier process of this name
	Storage        Storage
	StorageDamaged bool // what Storage had may be gone or wrong
	Transport      Transport
	Voters         Voters
	Members        func() []Member                   // all that are present or silent, this one too
	Read           func(text []byte) (*Set, error)   // how this process takes a document
	Activate       func(context.Context, *Set) error // puts a set in force; it returns once it is
	Log            *slog.Logger
}

// Node is a process's part in its fleet's rules. Its methods are safe for concurrent use.
type Node struct {
	cfg    Config
	log    *slog.Logger
	ctx    context.Context
	places chan struct{} // calls that are served
	calls  chan struct{} // and made
	wake   chan struct{}
	work   sync.WaitGroup

	status atomic.Pointer[Status] // for readers that must not wait for a disk

	mu       sync.Mutex // also held while a disk is written: what comes meanwhile is late, as its answer would be
	core     *Core
	needed   bool // the start has to ask
	asks     map[Peer]bool
	began    time.Time
	retried  time.Time
	pushed   uint64 // the push that the time runs for
	pushedAt time.Time

	file    []byte // to be pushed
	version uint64 // of it
	never   string // why that is of no use
	offered time.Time
	said    string // what was last logged of refusals
	hinted  Floor  // what is to be entered, as Run was last told
}

// New makes a node from what is kept. Nothing is in force before ActivateFloor.
func New(cfg Config) *Node {
	cfg.Read = once(cfg.Read)
	n := &Node{
		cfg: cfg, log: cfg.Log, ctx: context.Background(),
		places: make(chan struct{}, callsMost), calls: make(chan struct{}, callsMost), wake: make(chan struct{}, 1), asks: make(map[Peer]bool),
		core: NewCore(Peer{cfg.Name, cfg.Start}, cfg.Storage.All(section), cfg.StorageDamaged, cfg.Read),
	}
	if n.log == nil {
		n.log = slog.Default()
	}
	n.publish()
	return n
}

// once reads the same document again only where another came between: a push has it read when it is checked, stored and in force. It is
// called under mu.
func once(read func([]byte) (*Set, error)) func([]byte) (*Set, error) {
	var set *Set
	var err error
	var last []byte
	return func(text []byte) (*Set, error) {
		if last == nil || !bytes.Equal(text, last) {
			set, err = read(text)
			last = text
		}
		return set, err
	}
}

// ActivateFloor puts the floor's set in force. It comes before the first request.
func (n *Node) ActivateFloor(ctx context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.publish()
	n.needed, n.began = n.core.asking, time.Now()
	if why, ok := n.core.Serves(); !ok {
		n.log.Warn("rules", "serves", false, "why", why)
	}
	set := n.core.InForce()
	if set == nil {
		return nil
	}
	n.log.Info("rules", "inForce", set.Version, "digest", set.Digest, "differs", n.core.differs)
	return n.cfg.Activate(ctx, set)
}

// Push has a document pushed, unless its version is that of the floor or below; again until it is in force or refused for good.
func (n *Node) Push(text []byte) {
	n.mu.Lock()
	n.file, n.version, n.never, n.offered = text, Version(text), "", time.Time{}
	n.publish()
	n.mu.Unlock()
	n.hint()
}

func (n *Node) hint() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Serves says whether requests may be served.
func (n *Node) Serves() bool { return n.status.Load().Serves }

// Status is what people are shown.
type Status struct {
	InForce       uint64 // 0: the settings
	Floor         Floor
	Serves        bool
	BarredReason  string // it does not
	DigestDiffers bool   // the set means something else here than what was entered
	FileVersion   uint64 // version of the document that this process was given; 0: none
	FileRefusal   string // why that is of no use
	DutyToken     uint64 // the token of the duty; 0: another has it
	Refusals      []Refusal
}

// Status tells how things stand.
func (n *Node) Status() Status { return *n.status.Load() }

// publish shows how things stand. mu is held.
func (n *Node) publish() {
	s := &Status{Floor: n.core.floor.Floor, DigestDiffers: n.core.differs, FileVersion: n.version, FileRefusal: n.never, DutyToken: n.core.token, Refusals: n.core.refused}
	s.BarredReason, s.Serves = n.core.Serves()
	if set := n.core.InForce(); set != nil {
		s.InForce = set.Version
	}
	n.status.Store(s)
}

// Run takes part until ctx ends.
func (n *Node) Run(ctx context.Context) {
	n.mu.Lock()
	n.ctx = ctx
	n.mu.Unlock()
	l := n.cfg.Transport.Listen(MessageStream)
	n.work.Go(func() { n.serve(ctx, l) })
	defer n.work.Wait()
	every := time.NewTicker(tick)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		case <-n.wake:
		}
		n.hold()
		n.enter()
		n.look()
		n.offer()
	}
}

// hold follows who holds the duty.
func (n *Node) hold() {
	token, yes := n.cfg.Voters.Holds()
	n.mu.Lock()
	had := n.core.Holding()
	if !yes && had != 0 {
		n.core.Release()
		n.publish()
	}
	n.mu.Unlock()
	if !yes || token == had {
		return
	}
	entry, err := n.cfg.Voters.LastEntry()
	if err != nil {
		n.log.Debug("rules", "error", err)
		return // again with the next tick
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.Members(n.cfg.Members())
	n.core.Hold(token, entry)
	n.flush()
}

// enter has the voters take what is to be entered.
func (n *Node) enter() {
	n.mu.Lock()
	f, due := n.core.Entering()
	n.mu.Unlock()
	if token, yes := n.cfg.Voters.Holds(); !due || !yes || token != f.Token {
		return
	}
	refused, err := n.cfg.Voters.CommitEntry(f)
	if err != nil {
		n.log.Warn("rules", "entering", f.Version, "error", err)
		return // it may be there or not: again with the next tick
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if now, due := n.core.Entering(); !due || now != f {
		return
	}
	n.log.Info("rules", "entered", f.Version, "digest", f.Digest, "token", f.Token, "refused", refused)
	n.core.Entered(refused)
	n.flush()
	if refused != nil { // what this process knows of the voters' word is old
		n.core.Release()
	}
}

// look takes who is there, ends a push whose time is over, and asks peers where a start has to.
func (n *Node) look() {
	members := n.cfg.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.Members(members)
	if id := n.core.Pushing(); id != n.pushed {
		n.pushed, n.pushedAt = id, time.Now()
	} else if id != 0 && time.Since(n.pushedAt) > pushTime {
		n.core.Expire(id)
	}
	if time.Since(n.retried) > offerTime {
		n.retried = time.Now()
		n.core.Retry()
	}
	n.flush()
	n.follow()
	n.askAround(members)
	if text := fmt.Sprint(n.core.refused); len(n.core.refused) > 0 && text != n.said {
		n.said = text
		for _, r := range n.core.refused {
			n.log.Warn("rules", "refused", r.Version, "by", r.Name, "why", r.Why)
		}
	}
}

// askAround asks some peers for their floors, where a start has to. It begins with those that come after this process by name, so that a
// fleet that starts as a whole does not ask one. What they do not know the holder tells later.
func (n *Node) askAround(members []Member) {
	if !n.needed {
		return
	}
	var peers []Peer
	for _, m := range members {
		if !m.Silent && m.Name != n.cfg.Name {
			peers = append(peers, m.Peer)
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		after := func(p Peer) int { return cmp.Compare(n.cfg.Name, p.Name) } // -1: it comes after
		return cmp.Or(after(a)-after(b), cmp.Compare(a.Name, b.Name))
	})
	for _, p := range peers {
		if len(n.asks) < askMost && !n.asks[p] {
			n.asks[p] = true
			n.say(n.core.Question(p))
		}
	}
	answers, _ := n.core.Asking()
	if time.Since(n.began) > askTime || answers > 0 && answers >= min(askMost, len(peers)) {
		n.core.Settle()
		n.publish()
		n.needed = false
		n.log.Info("rules", "floor", n.core.floor.Version, "asked", answers)
	}
}

// follow takes a floor that another process of this node has written, in an upgrade.
func (n *Node) follow() {
	kept := n.cfg.Storage.All(section)
	key := floorKey(n.core.floor.Floor)
	for _, k := range slices.Sorted(maps.Keys(kept)) {
		if len(k) == len(key) && k[:6] == "floor-" && k > key {
			var f Floor
			if json.Unmarshal(kept[k], &f) != nil {
				continue
			}
			n.carryOut(n.core.Follow(f, kept[setKey(f)]))
			n.flush()
		}
	}
}

// carryOut does what a Core asks for, in order.
func (n *Node) carryOut(r Ready) {
	var err error
	for _, w := range r.Writes {
		if w.Value == nil {
			err = n.cfg.Storage.Delete(section, w.Key)
		} else {
			err = n.cfg.Storage.Put(section, w.Key, w.Value)
		}
		if err != nil {
			n.log.Error("rules", "notKept", w.Key, "error", err)
			if w.Value != nil && strings.HasPrefix(w.Key, "set-") { // one that is too large would keep all others out
				_ = n.cfg.Storage.Delete(section, w.Key)
			}
			break
		}
	}
	if err == nil && r.Force != nil {
		err = n.cfg.Activate(n.ctx, r.Force)
	}
	before := n.core.floor.Version
	n.core.Advance(err)
	if now := n.core.floor.Floor; now.Version != before {
		why, _ := n.core.Serves()
		n.log.Info("rules", "inForce", now.Version, "digest", now.Digest, "token", now.Token, "differs", n.core.differs, "barred", why)
	}
}

// step gives the core a message, and its answer where that is a question of another process. mu is held.
func (n *Node) step(m Message) (answer Message, ok bool) {
	if !n.core.Mine(m) {
		return answer, false
	}
	if m.Answer != Question {
		n.core.Members(n.cfg.Members())
	} else if !n.passes(m) {
		return answer, false
	}
	n.carryOut(n.core.Step(m))
	return n.flush()
}

// passes says whether a question is no word of an earlier holder.
func (n *Node) passes(m Message) bool {
	if m.Kind > Tell {
		return true
	}
	pass, err := n.cfg.Voters.AdmitToken(m.Token)
	if err != nil {
		n.log.Error("rules", "error", err)
	}
	return pass && err == nil
}

// flush sends what the core has to say: to this process itself at once, to others by calls of their own. An answer to another is returned.
func (n *Node) flush() (answer Message, ok bool) {
	for out := n.core.Outbox(); len(out) > 0; out = append(out[1:], n.core.Outbox()...) {
		switch m := out[0]; {
		case m.To.Name == n.cfg.Name && n.core.Mine(m):
			if m.Answer != Question {
				n.core.Members(n.cfg.Members())
			} else if !n.passes(m) {
				continue // somebody else holds the duty by now
			}
			n.carryOut(n.core.Step(m))
		case m.Answer == Question:
			n.say(m)
		default:
			answer, ok = m, true
		}
	}
	if f, due := n.core.Entering(); due && f != n.hinted {
		n.hinted = f
		n.hint()
	}
	n.publish()
	return answer, ok
}

// say asks another process. There is one question of a push, one of what is in force, one of a start and one word for people at a time to
// each, so that calls are no more than a few times the members.
func (n *Node) say(m Message) {
	ctx := n.ctx
	n.work.Go(func() {
		select {
		case n.calls <- struct{}{}:
		case <-ctx.Done():
			return
		}
		answer, err := n.call(m)
		<-n.calls
		n.mu.Lock()
		defer n.mu.Unlock()
		if err != nil || answer.From.Name != m.To.Name || answer.Kind != m.Kind || answer.Answer == Question {
			n.core.Lost(m)
			if m.Kind == Ask {
				delete(n.asks, m.To)
			}
			return
		}
		answer.To = n.core.self
		n.step(answer)
	})
}

// call makes one call.
func (n *Node) call(m Message) (answer Message, err error) {
	c, err := n.cfg.Transport.Dial(m.To.Name, MessageStream, dialTime)
	if err != nil {
		return answer, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(callTime)); err != nil {
		return answer, err
	}
	client := rpc.NewClient(&bounded{c, MaxDocumentBytes * 2})
	defer client.Close()
	err = client.Call("Rules.Say", m, &answer)
	return answer, err
}

// bounded is a stream of which no more than so many bytes are read.
type bounded struct {
	net.Conn
	left int
}

// Read implements net.Conn.
func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	k, err := b.Conn.Read(p[:min(len(p), b.left)])
	b.left -= k
	return k, err
}

// service is what processes call at each other, by net/rpc.
type service struct{ n *Node }

// Say takes a question and answers it.
func (s *service) Say(m Message, answer *Message) error {
	if m.Answer != Question || m.Kind > Offer || len(m.Text) > MaxDocumentBytes || len(m.Digest) > 128 {
		return errors.New("rules: no question")
	}
	s.n.mu.Lock()
	defer s.n.mu.Unlock()
	a, ok := s.n.step(m)
	if !ok {
		return errors.New("rules: for another process, or of an earlier holder")
	}
	*answer = a
	return nil
}

// serve answers the calls of others, some at a time, until ctx ends.
func (n *Node) serve(ctx context.Context, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		select {
		case n.places <- struct{}{}:
			n.work.Go(func() {
				defer func() { <-n.places }()
				_ = c.SetDeadline(time.Now().Add(2 * callTime)) // it fails on a closed one, as reading does
				server := rpc.NewServer()
				if err := server.RegisterName("Rules", &service{n}); err != nil {
					panic(err) // of a method that the compiler has seen
				}
				server.ServeConn(&bounded{c, MaxDocumentBytes * 2})
			})
		default:
			c.Close()
		}
	}
}

// offer offers this process's document to the holder.
func (n *Node) offer() {
	n.mu.Lock()
	text, floor := n.file, n.core.floor.Floor
	version := n.version
	due := len(text) > 0 && n.never == "" && time.Since(n.offered) > offerTime
	switch {
	case due && version == 0:
		n.never = "it has no version that can be read"
	case due && version < floor.Version:
		n.never = fmt.Sprintf("version %d is below %d, this node's floor", version, floor.Version)
	case due && version == floor.Version:
		set, err := n.cfg.Read(text)
		if err != nil || set.Digest != floor.Digest {
			n.never = fmt.Sprintf("version %d is in force with another meaning", version)
		} else {
			n.file = nil
		}
	}
	if n.never != "" && due {
		n.log.Error("rules", "refusedForGood", version, "why", n.never)
	}
	if !due || n.never != "" || n.file == nil {
		n.publish()
		n.mu.Unlock()
		return
	}
	n.offered = time.Now()
	n.mu.Unlock()
	holder, err := n.cfg.Voters.Holder()
	if err != nil || holder == "" {
		n.log.Info("rules", "pushing", version, "waits", cmp.Or(errText(err), "nobody holds the duty"))
		return
	}
	m := Message{Kind: Offer, From: Peer{n.cfg.Name, n.cfg.Start}, To: Peer{Name: holder}, Version: version, Text: text}
	var a Message
	if holder == n.cfg.Name {
		n.mu.Lock()
		n.carryOut(n.core.Step(m))
		a = n.own()
		n.mu.Unlock()
	} else if a, err = n.call(m); err != nil {
		n.log.Info("rules", "pushing", version, "to", holder, "error", err)
		return
	}
	n.log.Info("rules", "pushing", version, "to", holder, "answer", a.Answer.String(), "why", a.Why)
	if a.Answer == No {
		n.mu.Lock()
		n.core.refused = []Refusal{{version, holder, short(a.Why)}}
		n.publish()
		n.mu.Unlock()
	}
	if a.Answer == Never {
		n.mu.Lock()
		n.never = a.Why
		n.publish()
		n.mu.Unlock()
		n.log.Error("rules", "refusedForGood", version, "why", a.Why)
	}
}

// own takes the answer to a question of this process to itself out of the core's words, and sends the others.
func (n *Node) own() (answer Message) {
	out := n.core.Outbox()
	for _, m := range out {
		if m.Kind == Offer && m.Answer != Question {
			answer = m
		} else {
			n.core.out = append(n.core.out, m)
		}
	}
	n.flush()
	return answer
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// String is an answer for people.
func (a Answer) String() string {
	return [...]string{"question", "yes", "no", "missing", "later", "never"}[min(int(a), 5)]
}
