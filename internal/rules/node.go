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
	pollInterval       = 200 * time.Millisecond // between two checks of the duty, the members and the file
	callTimeout        = 2 * time.Second        // for one call, which may transfer a document
	dialTimeout        = time.Second
	pushTimeout        = 5 * time.Second // from the start of a push to its entry
	retryInterval      = 3 * time.Second // between two offers of the same document, and between retries of Activate
	maxFloorQueries    = 8               // peers that a starting node asks for their floors
	floorQueryTimeout  = 2 * time.Second // a starting node waits at most this long for the answers
	maxConcurrentCalls = 16              // limit on the calls made at the same time, and on those served
	storageSection     = "rules"         // the part of the storage that this package uses
)

// MessageStream is the kind of the network streams that carry messages.
const MessageStream byte = 'V'

// Transport opens and accepts network streams between processes.
type Transport interface {
	Listen(kind byte) net.Listener // accepts the streams of that kind that other processes open
	Dial(name string, kind byte, timeout time.Duration) (net.Conn, error)
}

// Storage stores values that outlive the process. Put returns nil only once the value is durable.
type Storage interface {
	All(section string) map[string][]byte
	Put(section, key string, value []byte) error
	Delete(section, key string) error
}

// Voters gives access to the duty and to the voters' log, in which versions are entered.
type Voters interface {
	// Holds reports whether this process holds the duty now, and by which token.
	Holds() (token uint64, held bool)
	// Holder returns the name of the duty's holder as the voters know it; empty: there is none.
	Holder() (name string, err error)
	// LastEntry returns the last version entered. A holder of the duty sees every entry that earlier holders
	// could make.
	LastEntry() (Floor, error)
	// CommitEntry enters a version. refused is a final refusal; after err it is unknown whether the version
	// was entered.
	CommitEntry(f Floor) (refused, err error)
	// AdmitToken reports whether a holder's token is no lower than any seen before. A higher token is durable
	// before it is admitted.
	AdmitToken(token uint64) (bool, error)
}

// Config identifies this process and provides its environment.
type Config struct {
	Name           string
	Start          uint64 // higher than that of every earlier process of this name
	Storage        Storage
	StorageDamaged bool // some of the stored values may be lost or wrong
	Transport      Transport
	Voters         Voters
	Members        func() []Member                   // the members that are present or silent, including this one
	Read           func(text []byte) (*Set, error)   // parses a document as this process understands it
	Activate       func(context.Context, *Set) error // puts a set in force and returns once it is
	Log            *slog.Logger
}

// Node runs the push protocol at one process of a fleet. Its methods are safe for concurrent use.
type Node struct {
	cfg        Config
	log        *slog.Logger
	ctx        context.Context
	serveSlots chan struct{} // one element for each call being served
	callSlots  chan struct{} // one element for each call being made
	wake       chan struct{} // makes Run do its next check at once
	work       sync.WaitGroup

	status atomic.Pointer[Status] // for readers that must not wait for a disk

	mu             sync.Mutex // also held during disk writes: a message that waits for them would be answered late anyway
	core           *Core
	queryNeeded    bool          // this start has to ask peers for their floors
	queried        map[Peer]bool // peers asked for their floors
	queryStarted   time.Time
	lastRetry      time.Time // of RetryActivations
	timedPush      uint64    // PushID when it was last polled
	timedPushStart time.Time // when timedPush was first polled

	fileText          []byte    // document to be pushed; nil: none
	fileVersion       uint64    // version declared by fileText
	fileRefusal       string    // why fileText can never come into force; empty: it may
	lastOffer         time.Time // of fileText to the holder
	loggedRefusals    string    // the refusals last logged, so that they are logged once
	signalledProposal Floor     // the proposal for which Run was last woken
}

// New returns a node with the state found in cfg.Storage. Nothing is in force before ActivateFloor.
func New(cfg Config) *Node {
	cfg.Read = cacheLast(cfg.Read)
	n := &Node{
		cfg: cfg, log: cfg.Log, ctx: context.Background(),
		serveSlots: make(chan struct{}, maxConcurrentCalls), callSlots: make(chan struct{}, maxConcurrentCalls), wake: make(chan struct{}, 1), queried: make(map[Peer]bool),
		core: NewCore(Peer{cfg.Name, cfg.Start}, cfg.Storage.All(storageSection), cfg.StorageDamaged, cfg.Read),
	}
	if n.log == nil {
		n.log = slog.Default()
	}
	n.publishStatus()
	return n
}

// cacheLast returns a read function that keeps the last result, as a push has the same document read when it is
// checked, stored and put in force. The result must be called with mu held.
func cacheLast(read func([]byte) (*Set, error)) func([]byte) (*Set, error) {
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

// ActivateFloor puts the set of the stored floor in force. It must be called before the first request is
// served.
func (n *Node) ActivateFloor(ctx context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.publishStatus()
	n.queryNeeded, n.queryStarted = n.core.awaitingFloors, time.Now()
	if why, ok := n.core.Serves(); !ok {
		n.log.Warn("rules", "serves", false, "why", why)
	}
	set := n.core.InForce()
	if set == nil {
		return nil
	}
	n.log.Info("rules", "inForce", set.Version, "digest", set.Digest, "differs", n.core.digestDiffers)
	return n.cfg.Activate(ctx, set)
}

// Push submits a document to be pushed if its version is above the floor. It is offered to the holder of the
// duty repeatedly until it is in force or permanently refused.
func (n *Node) Push(text []byte) {
	n.mu.Lock()
	n.fileText, n.fileVersion, n.fileRefusal, n.lastOffer = text, DeclaredVersion(text), "", time.Time{}
	n.publishStatus()
	n.mu.Unlock()
	n.wakeRun()
}

// wakeRun makes Run do its next check now.
func (n *Node) wakeRun() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Serves reports whether requests may be served.
func (n *Node) Serves() bool { return n.status.Load().Serves }

// Status is the state of a node as operators see it.
type Status struct {
	InForce       uint64 // version in force; 0: the settings apply
	Floor         Floor
	Serves        bool
	BarredReason  string // why it does not serve; empty: it does
	DigestDiffers bool   // the set has another digest here than the one entered
	FileVersion   uint64 // version of the document passed to Push; 0: none
	FileRefusal   string // why that document can never come into force; empty: it may
	DutyToken     uint64 // token of the duty; 0: this process does not hold it
	Refusals      []Refusal
}

// Status returns the state as of the last change.
func (n *Node) Status() Status { return *n.status.Load() }

// publishStatus updates what Status returns. The caller holds mu.
func (n *Node) publishStatus() {
	s := &Status{Floor: n.core.floor.Floor, DigestDiffers: n.core.digestDiffers, FileVersion: n.fileVersion, FileRefusal: n.fileRefusal, DutyToken: n.core.token, Refusals: n.core.refusals}
	s.BarredReason, s.Serves = n.core.Serves()
	if set := n.core.InForce(); set != nil {
		s.InForce = set.Version
	}
	n.status.Store(s)
}

// Run takes part in the protocol until ctx ends.
func (n *Node) Run(ctx context.Context) {
	n.mu.Lock()
	n.ctx = ctx
	n.mu.Unlock()
	l := n.cfg.Transport.Listen(MessageStream)
	n.work.Go(func() { n.serve(ctx, l) })
	defer n.work.Wait()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.wake:
		}
		n.followDuty()
		n.commitProposed()
		n.pollMembers()
		n.offerFile()
	}
}

// followDuty informs the core when this process acquires or loses the duty.
func (n *Node) followDuty() {
	token, held := n.cfg.Voters.Holds()
	n.mu.Lock()
	previous := n.core.DutyToken()
	if !held && previous != 0 {
		n.core.ReleaseDuty()
		n.publishStatus()
	}
	n.mu.Unlock()
	if !held || token == previous {
		return
	}
	entry, err := n.cfg.Voters.LastEntry()
	if err != nil {
		n.log.Debug("rules", "error", err)
		return // it is tried again at the next tick
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.SetMembers(n.cfg.Members())
	n.core.AcquireDuty(token, entry)
	n.flushOutbox()
}

// commitProposed submits the core's proposed version to the voters.
func (n *Node) commitProposed() {
	n.mu.Lock()
	f, due := n.core.Proposed()
	n.mu.Unlock()
	if token, held := n.cfg.Voters.Holds(); !due || !held || token != f.Token {
		return
	}
	refused, err := n.cfg.Voters.CommitEntry(f)
	if err != nil {
		n.log.Warn("rules", "entering", f.Version, "error", err)
		return // it may have been entered or not: try again at the next tick
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if now, due := n.core.Proposed(); !due || now != f {
		return
	}
	n.log.Info("rules", "entered", f.Version, "digest", f.Digest, "token", f.Token, "refused", refused)
	n.core.ProposalDecided(refused)
	n.flushOutbox()
	if refused != nil { // this process's copy of the last entry is out of date
		n.core.ReleaseDuty()
	}
}

// pollMembers updates the members, expires a push that takes too long, retries activations, and queries the
// floors of peers after a start.
func (n *Node) pollMembers() {
	members := n.cfg.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.SetMembers(members)
	if id := n.core.PushID(); id != n.timedPush {
		n.timedPush, n.timedPushStart = id, time.Now()
	} else if id != 0 && time.Since(n.timedPushStart) > pushTimeout {
		n.core.ExpirePush(id)
	}
	if time.Since(n.lastRetry) > retryInterval {
		n.lastRetry = time.Now()
		n.core.RetryActivations()
	}
	n.flushOutbox()
	n.adoptStoredFloor()
	n.queryFloors(members)
	if text := fmt.Sprint(n.core.refusals); len(n.core.refusals) > 0 && text != n.loggedRefusals {
		n.loggedRefusals = text
		for _, r := range n.core.refusals {
			n.log.Warn("rules", "refused", r.Version, "by", r.Name, "why", r.Why)
		}
	}
}

// queryFloors queries the floors of up to maxFloorQueries peers after a start. It begins with the names that
// follow this process's own, so that the queries are spread over the peers when a whole fleet starts. A floor
// that none of those peers knows arrives later from the holder.
func (n *Node) queryFloors(members []Member) {
	if !n.queryNeeded {
		return
	}
	var peers []Peer
	for _, m := range members {
		if !m.Silent && m.Name != n.cfg.Name {
			peers = append(peers, m.Peer)
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		after := func(p Peer) int { return cmp.Compare(n.cfg.Name, p.Name) } // -1: p's name sorts after this process's
		return cmp.Or(after(a)-after(b), cmp.Compare(a.Name, b.Name))
	})
	for _, p := range peers {
		if len(n.queried) < maxFloorQueries && !n.queried[p] {
			n.queried[p] = true
			n.send(n.core.FloorQuestion(p))
		}
	}
	answers, _ := n.core.FloorWait()
	if time.Since(n.queryStarted) > floorQueryTimeout || answers > 0 && answers >= min(maxFloorQueries, len(peers)) {
		n.core.EndFloorWait()
		n.publishStatus()
		n.queryNeeded = false
		n.log.Info("rules", "floor", n.core.floor.Version, "asked", answers)
	}
}

// adoptStoredFloor takes over a higher floor that another process of this node has stored, as in an upgrade.
func (n *Node) adoptStoredFloor() {
	stored := n.cfg.Storage.All(storageSection)
	key := floorKey(n.core.floor.Floor)
	for _, k := range slices.Sorted(maps.Keys(stored)) {
		if len(k) == len(key) && k[:6] == "floor-" && k > key {
			var f Floor
			if json.Unmarshal(stored[k], &f) != nil {
				continue
			}
			n.execute(n.core.AdoptFloor(f, stored[setKey(f)]))
			n.flushOutbox()
		}
	}
}

// execute makes the writes and the activation that the core requests, in order, and reports the result to it.
func (n *Node) execute(r Ready) {
	var err error
	for _, w := range r.Writes {
		if w.Value == nil {
			err = n.cfg.Storage.Delete(storageSection, w.Key)
		} else {
			err = n.cfg.Storage.Put(storageSection, w.Key, w.Value)
		}
		if err != nil {
			n.log.Error("rules", "notKept", w.Key, "error", err)
			if w.Value != nil && strings.HasPrefix(w.Key, "set-") { // a document that is too large must not block later writes
				_ = n.cfg.Storage.Delete(storageSection, w.Key)
			}
			break
		}
	}
	if err == nil && r.Activate != nil {
		err = n.cfg.Activate(n.ctx, r.Activate)
	}
	before := n.core.floor.Version
	n.core.Advance(err)
	if now := n.core.floor.Floor; now.Version != before {
		why, _ := n.core.Serves()
		n.log.Info("rules", "inForce", now.Version, "digest", now.Digest, "token", now.Token, "differs", n.core.digestDiffers, "barred", why)
	}
}

// deliver passes a message of another process to the core, and returns the answer if the message is a question.
// The caller holds mu.
func (n *Node) deliver(m Message) (answer Message, ok bool) {
	if !n.core.Accepts(m) {
		return answer, false
	}
	if m.Answer != Question {
		n.core.SetMembers(n.cfg.Members())
	} else if !n.passesFence(m) {
		return answer, false
	}
	n.execute(n.core.Step(m))
	return n.flushOutbox()
}

// passesFence reports whether a question may be handled. Questions of earlier holders of the duty may not.
func (n *Node) passesFence(m Message) bool {
	if m.Kind > ReportRefusals {
		return true
	}
	admitted, err := n.cfg.Voters.AdmitToken(m.Token)
	if err != nil {
		n.log.Error("rules", "error", err)
	}
	return admitted && err == nil
}

// flushOutbox sends the core's messages. Those to this process itself are handled at once, and each question to
// another process is sent by a separate call. An answer to another process is returned.
func (n *Node) flushOutbox() (answer Message, ok bool) {
	for out := n.core.TakeOutbox(); len(out) > 0; out = append(out[1:], n.core.TakeOutbox()...) {
		switch m := out[0]; {
		case m.To.Name == n.cfg.Name && n.core.Accepts(m):
			if m.Answer != Question {
				n.core.SetMembers(n.cfg.Members())
			} else if !n.passesFence(m) {
				continue // another process holds the duty by now
			}
			n.execute(n.core.Step(m))
		case m.Answer == Question:
			n.send(m)
		default:
			answer, ok = m, true
		}
	}
	if f, due := n.core.Proposed(); due && f != n.signalledProposal {
		n.signalledProposal = f
		n.wakeRun()
	}
	n.publishStatus()
	return answer, ok
}

// send sends a question to another process in the background and passes the answer to the core. At any time
// there is at most one question of a push, one Activate, one floor query and one ReportRefusals per peer, so
// that the number of calls is bounded by a small multiple of the members.
func (n *Node) send(m Message) {
	ctx := n.ctx
	n.work.Go(func() {
		select {
		case n.callSlots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		answer, err := n.call(m)
		<-n.callSlots
		n.mu.Lock()
		defer n.mu.Unlock()
		if err != nil || answer.From.Name != m.To.Name || answer.Kind != m.Kind || answer.Answer == Question {
			n.core.AnswerLost(m)
			if m.Kind == QueryFloor {
				delete(n.queried, m.To)
			}
			return
		}
		answer.To = n.core.self
		n.deliver(answer)
	})
}

// call sends one question to the process of that name and returns its answer.
func (n *Node) call(m Message) (answer Message, err error) {
	c, err := n.cfg.Transport.Dial(m.To.Name, MessageStream, dialTimeout)
	if err != nil {
		return answer, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return answer, err
	}
	client := rpc.NewClient(&limitedConn{c, MaxDocumentBytes * 2})
	defer client.Close()
	err = client.Call("Rules.Say", m, &answer)
	return answer, err
}

// limitedConn is a connection that fails with io.ErrUnexpectedEOF once a number of bytes has been read.
type limitedConn struct {
	net.Conn
	remaining int
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	k, err := c.Conn.Read(p[:min(len(p), c.remaining)])
	c.remaining -= k
	return k, err
}

// service has the methods that other processes call by net/rpc.
type service struct{ node *Node }

// Say handles a question of another process and returns the answer.
func (s *service) Say(m Message, answer *Message) error {
	if m.Answer != Question || m.Kind > Offer || len(m.Text) > MaxDocumentBytes || len(m.Digest) > 128 {
		return errors.New("rules: not a valid question")
	}
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	a, ok := s.node.deliver(m)
	if !ok {
		return errors.New("rules: message for another process or from an earlier holder")
	}
	*answer = a
	return nil
}

// serve answers calls of other processes until ctx ends. A call beyond the limit of concurrent calls is closed
// at once.
func (n *Node) serve(ctx context.Context, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		select {
		case n.serveSlots <- struct{}{}:
			n.work.Go(func() {
				defer func() { <-n.serveSlots }()
				_ = c.SetDeadline(time.Now().Add(2 * callTimeout)) // an error means that c is closed, which reading reports too
				server := rpc.NewServer()
				if err := server.RegisterName("Rules", &service{n}); err != nil {
					panic(err) // can't happen: the method has the form that net/rpc requires
				}
				server.ServeConn(&limitedConn{c, MaxDocumentBytes * 2})
			})
		default:
			c.Close()
		}
	}
}

// offerFile offers the document of Push to the holder of the duty, unless its version is in force or can never
// be.
func (n *Node) offerFile() {
	n.mu.Lock()
	text, floor := n.fileText, n.core.floor.Floor
	version := n.fileVersion
	due := len(text) > 0 && n.fileRefusal == "" && time.Since(n.lastOffer) > retryInterval
	switch {
	case due && version == 0:
		n.fileRefusal = "the document declares no version that can be read"
	case due && version < floor.Version:
		n.fileRefusal = fmt.Sprintf("version %d is below %d, this node's floor", version, floor.Version)
	case due && version == floor.Version:
		set, err := n.cfg.Read(text)
		if err != nil || set.Digest != floor.Digest {
			n.fileRefusal = fmt.Sprintf("version %d is in force with another meaning", version)
		} else {
			n.fileText = nil
		}
	}
	if n.fileRefusal != "" && due {
		n.log.Error("rules", "refusedForGood", version, "why", n.fileRefusal)
	}
	if !due || n.fileRefusal != "" || n.fileText == nil {
		n.publishStatus()
		n.mu.Unlock()
		return
	}
	n.lastOffer = time.Now()
	n.mu.Unlock()
	holder, err := n.cfg.Voters.Holder()
	if err != nil || holder == "" {
		n.log.Info("rules", "pushing", version, "waits", cmp.Or(errText(err), "no process holds the duty"))
		return
	}
	m := Message{Kind: Offer, From: Peer{n.cfg.Name, n.cfg.Start}, To: Peer{Name: holder}, Version: version, Text: text}
	var a Message
	if holder == n.cfg.Name {
		n.mu.Lock()
		n.execute(n.core.Step(m))
		a = n.flushOwnAnswer()
		n.mu.Unlock()
	} else if a, err = n.call(m); err != nil {
		n.log.Info("rules", "pushing", version, "to", holder, "error", err)
		return
	}
	n.log.Info("rules", "pushing", version, "to", holder, "answer", a.Answer.String(), "why", a.Why)
	if a.Answer == No {
		n.mu.Lock()
		n.core.refusals = []Refusal{{version, holder, shortReason(a.Why)}}
		n.publishStatus()
		n.mu.Unlock()
	}
	if a.Answer == Never {
		n.mu.Lock()
		n.fileRefusal = a.Why
		n.publishStatus()
		n.mu.Unlock()
		n.log.Error("rules", "refusedForGood", version, "why", a.Why)
	}
}

// flushOwnAnswer removes the answer to this process's own offer from the outbox and returns it, and sends the
// other messages.
func (n *Node) flushOwnAnswer() (answer Message) {
	out := n.core.TakeOutbox()
	for _, m := range out {
		if m.Kind == Offer && m.Answer != Question {
			answer = m
		} else {
			n.core.outbox = append(n.core.outbox, m)
		}
	}
	n.flushOutbox()
	return answer
}

// errText returns the text of err, or nothing if it is nil.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// String returns the name of an answer for logs.
func (a Answer) String() string {
	return [...]string{"question", "yes", "no", "missing", "later", "never"}[min(int(a), 5)]
}
