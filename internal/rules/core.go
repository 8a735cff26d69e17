package rules

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Peer identifies one process: the member's name and a start number that is higher than that of every earlier
// process of this name.
type Peer struct {
	Name  string
	Start uint64
}

// Member is a process that takes part in pushes.
type Member struct {
	Peer
	Silent bool // it stopped answering without leaving, so it may still be serving
}

// Floor is an entered version: its number, the digest of its meaning and the token under which it was entered.
// A node never puts a version below its floor in force again.
type Floor struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Token   uint64 `json:"token"` // fencing token of the holder that entered it
}

// matches reports whether f and o have the same version and digest, regardless of their tokens.
func (f Floor) matches(o Floor) bool { return f.Version == o.Version && f.Digest == o.Digest }

// Kind is the subject of a message. Its numbers are on the wire.
type Kind uint8

// The kinds. Check, Store, Activate and ReportRefusals are sent by the holder of the duty and are fenced by its
// token.
const (
	Check          Kind = iota + 1 // read the document and answer with its digest
	Store                          // store the document durably as the staged one
	Activate                       // the version is entered: put it in force
	ReportRefusals                 // refusals of a push, to be shown to operators
	QueryFloor                     // answer with your floor, and with its document if the floor is above Message.Version
	Fetch                          // answer with the document of this version and digest
	Offer                          // push this document to all members
)

// Answer is the result in a reply, or Question in a message that asks for one. Its numbers are on the wire.
type Answer uint8

// The answers. After a No, the same question may be answered by Yes once the reason no longer applies.
const (
	Question Answer = iota
	Yes
	No
	Missing // the answering node has no such document
	Later   // not possible now: try again
	Never   // refused for good: do not try again
)

// Message is a question to a process, or the answer to one. Its field names are on the wire (gob).
type Message struct {
	Kind     Kind
	Answer   Answer
	From, To Peer
	Token    uint64 // fencing token of the holder that sent the question
	Push     uint64 // number of the push among those of that holder
	Version  uint64
	Digest   string
	Text     []byte // source of the document, or encoded refusals
	Why      string // reason for an answer other than Yes
	Floor    Floor  // the floor of the answering node
}

// Write is one change of the node's durable storage. A nil Value deletes the key.
type Write struct {
	Key   string
	Value []byte
}

// Ready is the work that a Core asks its host to do. The host makes the writes durable one after another, then
// puts the set in force, then calls Advance.
type Ready struct {
	Writes   []Write // in this order
	Activate *Set    // nil: the set in force stays
}

// Refusal names a member that made a push fail, with the reason. It is encoded as JSON in a ReportRefusals
// message.
type Refusal struct {
	Version uint64
	Name    string
	Why     string
}

const (
	maxRefusals = 8    // reported of one push
	maxMembers  = 4096 // members considered; further ones are ignored
)

// document is the source text of a rule set with its version and digest. Holding one does not put it in force.
type document struct {
	Floor
	text []byte
}

// progress is the state of one member in a push. awaitingAnswer is set while a question to the member is
// unanswered.
type progress struct {
	checked, stored, awaitingAnswer bool
}

// push is a rule set that this process, as the holder of the duty, is distributing to the members. id
// distinguishes it from the holder's other pushes.
type push struct {
	id      uint64
	set     *Set
	members map[Peer]*progress
}

// pendingChange is the effect of a message, which Advance applies once its writes are durable. floor and staged
// are nil if they do not change, and answer is nil if no answer is sent.
type pendingChange struct {
	floor         *document
	staged        *document
	activate      *Set
	barredReason  string
	digestDiffers bool
	answer        *Message
}

// Core is the push protocol at one process. It uses no goroutine, clock or socket and is not safe for
// concurrent use.
//
// Every input except SetMembers and AcquireDuty may return work (Ready). The host must do that work and report
// its result by Advance before it passes the next input. TakeOutbox returns the messages to send, and Proposed
// the version to enter in the voters' log.
type Core struct {
	self  Peer
	parse func([]byte) (*Set, error)

	floor     document // durable; its text is nil if the document was lost
	staged    document // also durable: the document of a push, which has been checked and may have been entered
	staleKeys []string // keys of stored documents that are obsolete

	inForce        *Set   // nil: the settings apply
	barredReason   string // why this process must not serve; empty: it may
	digestDiffers  bool   // the set has another digest here than the one entered
	awaitingFloors bool   // the node does not serve until peers have reported their floors, as one may be higher
	floorAnswers   map[Peer]bool
	pending        *pendingChange
	latestPush     [2]uint64 // token and number of the newest push seen: messages of an earlier one may arrive late

	members         []Member
	token           uint64 // of the duty; 0: not held
	lastEntry       Floor  // the last entry of the voters, as far as this holder knows
	entryText       []byte // document of lastEntry, where neither floor nor staged has it
	proposed        *Floor // submitted to the voters with the result not known yet; nil: nothing is
	activated       map[Peer]bool
	activating      map[Peer]bool // an Activate to the member is unanswered, or waits in retryActivation
	retryActivation []Peer        // members to send an Activate again at the next RetryActivations
	push            *push
	lastPushID      uint64
	refusals        []Refusal // of the last push that failed, here or at another holder
	outbox          []Message
}

// NewCore returns a Core with the floor and the documents in stored, the values found in storage by key.
// damaged reports that some of them may be lost; parse parses a document as this process understands it.
func NewCore(self Peer, stored map[string][]byte, damaged bool, parse func([]byte) (*Set, error)) *Core {
	c := &Core{self: self, parse: parse, floorAnswers: make(map[Peer]bool)}
	texts := make(map[string]document)
	for key, raw := range stored {
		var d document
		switch {
		case strings.HasPrefix(key, "floor-"):
			if json.Unmarshal(raw, &d.Floor) != nil || d.Version == 0 || floorKey(d.Floor) != key {
				damaged = true
			} else if d.Version > c.floor.Version {
				c.floor = d
			}
		case strings.HasPrefix(key, "set-"):
			var digest string
			if n, _ := fmt.Sscanf(key, "set-%d-%s", &d.Version, &digest); n == 2 {
				d.Digest, d.text = digest, raw
				texts[key] = d
			}
		}
	}
	c.floor.text = texts[setKey(c.floor.Floor)].text
	for _, key := range slices.Sorted(maps.Keys(texts)) {
		switch d := texts[key]; {
		case d.Floor.matches(c.floor.Floor):
		case d.Version > c.floor.Version && c.staged.Version == 0:
			c.staged = d
		default:
			c.staleKeys = append(c.staleKeys, key)
		}
	}
	c.awaitingFloors = damaged || c.floor.Version == 0 || c.floor.text == nil
	c.inForce, c.barredReason, c.digestDiffers = c.evaluate(c.floor)
	return c
}

// floorKey and setKey return the storage keys of a floor and of a document. The padding makes the keys sort by
// version.
func floorKey(f Floor) string { return fmt.Sprintf("floor-%020d", f.Version) }
func setKey(f Floor) string   { return fmt.Sprintf("set-%020d-%s", f.Version, f.Digest) }

// evaluate returns what a floor means for this process: the set to put in force, or the reason why it must not
// serve, and whether the set has another digest here than the one entered.
func (c *Core) evaluate(d document) (set *Set, barred string, differs bool) {
	switch {
	case d.Version == 0:
		return nil, "", false
	case d.text == nil:
		return nil, fmt.Sprintf("version %d is this node's floor, and its document is lost", d.Version), false
	}
	set, err := c.parse(d.text)
	switch {
	case err != nil:
		return nil, shortReason(fmt.Sprintf("version %d is in force, and can't be read here: %v", d.Version, err)), false
	case slices.Contains(set.ExcludedMembers, c.self.Name):
		return nil, fmt.Sprintf("version %d excludes this member", d.Version), false
	}
	return set, "", set.Digest != d.Digest
}

// InForce returns the set in force, or nil if the settings apply.
func (c *Core) InForce() *Set { return c.inForce }

// Serves reports whether requests may be served, and if not, why.
func (c *Core) Serves() (reason string, ok bool) {
	switch {
	case c.barredReason != "":
		return c.barredReason, false
	case c.awaitingFloors:
		return "waiting for peers to report this node's floor", false
	}
	return "", true
}

// EndFloorWait ends the wait for the floors of peers. The highest floor received so far applies.
func (c *Core) EndFloorWait() { c.awaitingFloors = false }

// FloorWait reports whether a starting node still waits for the floors of peers, and how many have answered.
func (c *Core) FloorWait() (answers int, waiting bool) { return len(c.floorAnswers), c.awaitingFloors }

// FloorQuestion returns the question by which a starting node asks a peer for its floor. A node whose document
// is lost sends a lower version than its floor, so that the answer contains the floor's document too.
func (c *Core) FloorQuestion(to Peer) Message {
	m := Message{Kind: QueryFloor, From: c.self, To: to, Version: c.floor.Version}
	if c.floor.text == nil && m.Version > 0 {
		m.Version--
	}
	return m
}

// TakeOutbox returns the messages to send and empties the outbox.
func (c *Core) TakeOutbox() []Message {
	out := c.outbox
	c.outbox = nil
	return out
}

// Proposed returns the version to enter in the voters' log, if there is one. It stays the same until
// ProposalDecided reports the result.
func (c *Core) Proposed() (Floor, bool) {
	if c.proposed == nil {
		return Floor{}, false
	}
	return *c.proposed, true
}

// AcquireDuty records that this process holds the duty by token. entry is the last entry in the voters' log,
// which must have been read after the token was assigned.
func (c *Core) AcquireDuty(token uint64, entry Floor) {
	c.token, c.lastEntry, c.proposed, c.push, c.entryText = token, entry, nil, nil, nil
	c.activated, c.activating, c.retryActivation = make(map[Peer]bool), make(map[Peer]bool), nil
	if c.floor.Version > entry.Version { // the voters have lost their disks, and this node has not
		c.proposeFloor(c.floor.Floor)
	}
	c.sendDue()
}

// ReleaseDuty records that this process no longer holds the duty.
func (c *Core) ReleaseDuty() { c.token, c.push, c.proposed, c.activating = 0, nil, nil, nil }

// DutyToken returns the token of the duty that this process holds; 0: none.
func (c *Core) DutyToken() uint64 { return c.token }

// proposeFloor proposes f to the voters again, under this holder's token, after they have lost it. A push in
// progress is dropped.
func (c *Core) proposeFloor(f Floor) {
	f.Token = c.token
	c.push, c.proposed = nil, &f
}

// SetMembers sets the members that are present or silent. It must be called right before each answer is passed
// to Step.
func (c *Core) SetMembers(all []Member) {
	c.members = all[:min(len(all), maxMembers)]
	present := make(map[Peer]bool)
	for _, m := range c.members {
		present[m.Peer] = true
	}
	absent := func(p Peer, _ bool) bool { return !present[p] }
	maps.DeleteFunc(c.activated, absent)
	maps.DeleteFunc(c.activating, absent)
	maps.DeleteFunc(c.floorAnswers, absent)
	if c.push != nil {
		maps.DeleteFunc(c.push.members, func(p Peer, _ *progress) bool { return !present[p] })
	}
	c.sendDue()
}

// ProposalDecided records the result of the proposed entry; refused is nil if it was entered. After a refusal
// this holder's copy of the voters' entry may be out of date: it must read it again and call AcquireDuty.
func (c *Core) ProposalDecided(refused error) {
	f := *c.proposed
	c.proposed = nil
	if refused != nil {
		c.failPush(Refusal{f.Version, c.self.Name, shortReason("not entered: " + refused.Error())})
		return
	}
	c.lastEntry, c.entryText = f, nil
	if c.push != nil {
		c.entryText = c.push.set.Text
	}
	c.push = nil
	c.activated, c.activating, c.retryActivation = make(map[Peer]bool), make(map[Peer]bool), nil
	c.sendDue()
}

// PushID returns the number of the push in progress; 0: there is none.
func (c *Core) PushID() uint64 {
	if c.push == nil {
		return 0
	}
	return c.push.id
}

// ExpirePush fails a push that has reached its time limit and names every member that has not answered: no
// answer counts as a refusal.
func (c *Core) ExpirePush(id uint64) {
	if c.push == nil || c.push.id != id || c.proposed != nil {
		return
	}
	var all []Refusal
	for _, m := range c.members {
		if p := c.push.members[m.Peer]; !slices.Contains(c.push.set.ExcludedMembers, m.Name) && (p == nil || !p.stored && p.awaitingAnswer || !p.checked) {
			why := "no answer"
			if m.Silent {
				why = "no answer, it is silent"
			}
			all = append(all, Refusal{c.push.set.Version, m.Name, why})
		}
	}
	if len(all) == 0 {
		all = append(all, Refusal{c.push.set.Version, c.self.Name, "the push took too long"})
	}
	c.failPush(all...)
}

// AnswerLost records that a question was not answered, so that it is sent again.
func (c *Core) AnswerLost(m Message) {
	if c.push != nil && m.Push == c.push.id {
		if p := c.push.members[m.To]; p != nil {
			p.awaitingAnswer = false
		}
	} else if m.Kind == Activate {
		delete(c.activating, m.To)
	}
}

// failPush ends the push and reports the reasons to all members.
func (c *Core) failPush(all ...Refusal) {
	c.push = nil
	c.refusals = all[:min(len(all), maxRefusals)]
	raw, err := json.Marshal(c.refusals)
	if err != nil {
		panic(err) // can't happen: the fields are plain values
	}
	for _, m := range c.members {
		if m.Peer != c.self {
			c.outbox = append(c.outbox, Message{Kind: ReportRefusals, From: c.self, To: m.Peer, Token: c.token, Text: raw})
		}
	}
}

// sendDue sends every question that is due: an Activate to each member that has not confirmed the last entry,
// and the next step of the push. Store is sent only after all members have checked the document, and the
// version is proposed to the voters only after all have stored it.
func (c *Core) sendDue() {
	if c.token == 0 || c.proposed != nil {
		return
	}
	for _, m := range c.members {
		if c.lastEntry.Version > 0 && !c.activated[m.Peer] && !c.activating[m.Peer] {
			c.activating[m.Peer] = true
			c.send(m.Peer, Message{Kind: Activate, Version: c.lastEntry.Version, Digest: c.lastEntry.Digest})
		}
	}
	if c.push == nil {
		return
	}
	var required []Peer
	checked, stored := true, true
	for _, m := range c.members {
		if slices.Contains(c.push.set.ExcludedMembers, m.Name) {
			continue
		}
		required = append(required, m.Peer)
		p := c.push.members[m.Peer]
		if p == nil {
			p = new(progress)
			c.push.members[m.Peer] = p
		}
		checked, stored = checked && p.checked, stored && p.stored
	}
	switch {
	case !slices.Contains(required, c.self): // membership does not show this process yet, or the set excludes it
	case stored:
		c.proposed = &Floor{c.push.set.Version, c.push.set.Digest, c.token}
	default:
		for _, peer := range required {
			p, kind := c.push.members[peer], Check
			switch {
			case p.awaitingAnswer || p.checked && (!checked || p.stored):
				continue
			case p.checked:
				kind = Store
			}
			p.awaitingAnswer = true
			c.send(peer, Message{Kind: kind, Push: c.push.id, Version: c.push.set.Version, Digest: c.push.set.Digest, Text: c.push.set.Text})
		}
	}
}

// send puts a question to a member in the outbox.
func (c *Core) send(to Peer, m Message) {
	m.From, m.To, m.Token = c.self, to, c.token
	c.outbox = append(c.outbox, m)
}

// Accepts reports whether a message is for this process. Push messages to an earlier process of its name are
// not, as the answer would count for that process.
func (c *Core) Accepts(m Message) bool {
	return m.To == c.self || m.Answer == Question && m.To.Name == c.self.Name && (m.Kind == QueryFloor || m.Kind == Fetch || m.Kind == Offer)
}

// Step handles a message that Accepts has passed. The answer to a question is in the outbox after Advance. The
// host must have checked the token of a holder's message against the fence.
func (c *Core) Step(m Message) Ready {
	if c.pending != nil {
		panic("rules: Step called before Advance")
	}
	if m.Answer != Question {
		return c.handleAnswer(m)
	}
	a := Message{Kind: m.Kind, From: c.self, To: m.From, Token: m.Token, Push: m.Push, Version: m.Version, Digest: m.Digest}
	change := &pendingChange{answer: &a}
	var r Ready
	number := [2]uint64{m.Token, m.Push}
	if m.Kind == Check || m.Kind == Store {
		if slices.Compare(number[:], c.latestPush[:]) < 0 {
			a.Answer, a.Why = No, "superseded by a later push"
			c.pending = change
			return r
		}
		c.latestPush = number
	}
	switch m.Kind {
	case Check:
		_, a.Digest, a.Answer, a.Why = c.checkDocument(m)
	case Store:
		r = c.stageDocument(m, change)
	case Activate:
		r = c.handleActivate(m, change)
	case ReportRefusals:
		a.Answer = Yes
		var all []Refusal
		if json.Unmarshal(m.Text, &all) == nil {
			c.refusals = all[:min(len(all), maxRefusals)]
		}
	case QueryFloor:
		a.Answer = Yes
		if c.floor.Version > m.Version {
			a.Text = c.floor.text
		}
	case Fetch:
		a.Answer = Missing
		if want := (Floor{Version: m.Version, Digest: m.Digest}); want.matches(c.floor.Floor) && c.floor.text != nil {
			a.Answer, a.Text = Yes, c.floor.text
		} else if want.matches(c.staged.Floor) {
			a.Answer, a.Text = Yes, c.staged.text
		}
	case Offer:
		a.Answer, a.Why = c.handleOffer(m)
	default:
		a.Answer, a.Why = No, "unknown kind of message"
	}
	c.pending = change
	return r
}

// checkDocument reads a pushed document and reports whether this node can accept it.
func (c *Core) checkDocument(m Message) (set *Set, digest string, a Answer, why string) {
	if m.Version < c.floor.Version {
		return nil, "", No, fmt.Sprintf("version %d is below %d, this node's floor", m.Version, c.floor.Version)
	}
	set, err := c.parse(m.Text)
	switch {
	case err != nil:
		return nil, "", No, shortReason(err.Error())
	case set.Version != m.Version:
		return nil, "", No, fmt.Sprintf("the document declares version %d", set.Version)
	case set.Version == c.floor.Version && set.Digest != c.floor.Digest:
		return nil, "", No, fmt.Sprintf("version %d has another meaning: this node's floor has digest %s", m.Version, c.floor.Digest)
	}
	return set, set.Digest, Yes, ""
}

// stageDocument stores a checked document as the staged one.
func (c *Core) stageDocument(m Message, change *pendingChange) (r Ready) {
	set, digest, answer, why := c.checkDocument(m)
	a := change.answer
	a.Answer, a.Why = answer, why
	if answer != Yes {
		return r
	}
	if digest != m.Digest {
		a.Answer, a.Why = No, "digest "+digest+" here, "+m.Digest+" at the holder"
		return r
	}
	f := Floor{set.Version, digest, m.Token}
	if f.matches(c.floor.Floor) || f.matches(c.staged.Floor) {
		return r
	}
	change.staged = &document{f, set.Text}
	r.Writes = append(r.Writes, Write{setKey(f), set.Text})
	if c.staged.Version > 0 {
		r.Writes = append(r.Writes, Write{Key: setKey(c.staged.Floor)})
	}
	return c.deleteStale(r)
}

// deleteStale appends the deletion of obsolete documents to the writes of r.
func (c *Core) deleteStale(r Ready) Ready {
	for _, key := range c.staleKeys {
		if !slices.ContainsFunc(r.Writes, func(w Write) bool { return w.Key == key }) {
			r.Writes = append(r.Writes, Write{Key: key})
		}
	}
	return r
}

// handleActivate puts an entered version in force, or answers why that is not possible.
func (c *Core) handleActivate(m Message, change *pendingChange) Ready {
	f, a := Floor{m.Version, m.Digest, m.Token}, change.answer
	a.Answer = Yes
	switch {
	case f.Version < c.floor.Version:
		a.Answer, a.Why = No, fmt.Sprintf("version %d is below %d, this node's floor", f.Version, c.floor.Version)
		return Ready{}
	case f.Version == c.floor.Version && f.Digest != c.floor.Digest:
		a.Answer, a.Why = No, fmt.Sprintf("version %d has digest %s here", f.Version, c.floor.Digest)
		return Ready{}
	case f.matches(c.floor.Floor) && c.floor.text != nil:
		if c.barredReason != "" {
			a.Answer, a.Why = No, c.barredReason
		}
		return Ready{}
	}
	text := m.Text
	if f.matches(c.staged.Floor) {
		text = c.staged.text
	}
	if text == nil {
		a.Answer = Missing
		return Ready{}
	}
	return c.raiseFloor(document{f, text}, change)
}

// raiseFloor makes d the floor and puts it in force. The document is written first, then the floor, then
// obsolete values are deleted.
func (c *Core) raiseFloor(d document, change *pendingChange) (r Ready) {
	change.floor = &d
	change.activate, change.barredReason, change.digestDiffers = c.evaluate(d)
	if a := change.answer; a != nil && change.barredReason != "" {
		a.Answer, a.Why = No, change.barredReason
	}
	if !d.Floor.matches(c.staged.Floor) {
		r.Writes = append(r.Writes, Write{setKey(d.Floor), d.text})
	}
	raw, err := json.Marshal(d.Floor)
	if err != nil {
		panic(err) // can't happen: the fields are plain values
	}
	r.Writes = append(r.Writes, Write{floorKey(d.Floor), raw})
	if old := c.floor.Floor; old.Version > 0 && old.Version < d.Version {
		r.Writes = append(r.Writes, Write{Key: floorKey(old)}, Write{Key: setKey(old)})
	}
	if n := c.staged.Floor; n.Version > 0 && n.Version <= d.Version && !n.matches(d.Floor) {
		r.Writes = append(r.Writes, Write{Key: setKey(n)})
	}
	r.Activate = change.activate
	return c.deleteStale(r)
}

// AdoptFloor takes over a floor that another process of this node has stored, or that a peer has reported, if
// it is higher than the present one or has its lost document.
func (c *Core) AdoptFloor(f Floor, text []byte) Ready {
	if c.pending != nil || text == nil || f.Version == 0 || f.Version < c.floor.Version ||
		f.Version == c.floor.Version && (c.floor.text != nil || f.Digest != c.floor.Digest) {
		return Ready{}
	}
	c.pending = &pendingChange{}
	return c.raiseFloor(document{f, text}, c.pending)
}

// handleOffer starts a push of the offered document, or answers why not.
func (c *Core) handleOffer(m Message) (Answer, string) {
	switch {
	case c.token == 0:
		return Later, "another process holds the duty"
	case c.proposed != nil || c.floor.Version < c.lastEntry.Version:
		return Later, "an entry is pending"
	}
	set, err := c.parse(m.Text)
	if err != nil {
		return No, shortReason(c.self.Name + ", which holds the duty: " + err.Error())
	}
	f := Floor{Version: set.Version, Digest: set.Digest}
	switch {
	case f.matches(c.lastEntry):
		return Yes, ""
	case f.Version < c.lastEntry.Version:
		return Never, fmt.Sprintf("version %d is below %d, which is entered", f.Version, c.lastEntry.Version)
	case f.Version == c.lastEntry.Version:
		return Never, fmt.Sprintf("version %d is entered with another meaning", f.Version)
	case slices.Contains(set.ExcludedMembers, c.self.Name):
		return No, c.self.Name + " holds the duty and is excluded by the document: move the duty first"
	case c.push != nil && c.push.set.Version == f.Version && c.push.set.Digest == f.Digest:
		return Yes, ""
	case c.push != nil:
		return Later, fmt.Sprintf("a push of version %d is under way", c.push.set.Version)
	}
	c.lastPushID++
	c.push = &push{id: c.lastPushID, set: set, members: make(map[Peer]*progress)}
	c.sendDue()
	return Yes, ""
}

// handleAnswer handles an answer to a question of this process.
func (c *Core) handleAnswer(m Message) Ready {
	if m.Kind == QueryFloor {
		c.floorAnswers[m.From] = true
		return c.AdoptFloor(m.Floor, m.Text)
	}
	if c.token == 0 || m.Token != c.token {
		return Ready{} // an answer to a question that this process sent under an earlier token
	}
	if m.Floor.Version > c.lastEntry.Version && c.proposed == nil && m.Kind != Offer { // the voters have lost their disks and the entry with them
		c.proposeFloor(m.Floor)
		return Ready{}
	}
	switch m.Kind {
	case Check, Store:
		if c.push != nil && m.Push == c.push.id && c.proposed == nil {
			c.handlePushAnswer(m)
		}
	case Activate:
		c.handleActivateAnswer(m)
	case Fetch:
		if m.Answer == Yes && c.entryText == nil && (Floor{Version: m.Version, Digest: m.Digest}).matches(c.lastEntry) {
			c.entryText = m.Text
			delete(c.activating, c.self)
			c.send(c.self, Message{Kind: Activate, Version: c.lastEntry.Version, Digest: c.lastEntry.Digest, Text: c.entryText})
		}
	}
	c.sendDue()
	return Ready{}
}

// handlePushAnswer handles an answer to a question of the push in progress.
func (c *Core) handlePushAnswer(m Message) {
	p := c.push.members[m.From]
	if p == nil {
		return
	}
	p.awaitingAnswer = false
	switch {
	case m.Answer != Yes:
		c.failPush(Refusal{c.push.set.Version, m.From.Name, shortReason(cmp.Or(m.Why, "refused without a reason"))})
	case m.Digest != c.push.set.Digest:
		c.failPush(Refusal{c.push.set.Version, m.From.Name, shortReason("digest " + m.Digest + " there, " + c.push.set.Digest + " at " + c.self.Name)})
	case m.Kind == Check:
		p.checked = true
	case p.checked:
		p.stored = true
	}
}

// handleActivateAnswer handles an answer to an Activate. A member without the document is sent it; if this
// process itself has none, it fetches it from the others.
func (c *Core) handleActivateAnswer(m Message) {
	if m.Version != c.lastEntry.Version {
		return
	}
	delete(c.activating, m.From)
	switch {
	case m.Answer != Missing:
		if m.Answer == No {
			c.refusals = []Refusal{{m.Version, m.From.Name, shortReason(m.Why)}}
		}
		if m.Floor.Version >= m.Version {
			c.activated[m.From] = true
		} else {
			c.retryLater(m.From) // it could not store the floor
		}
	case m.From != c.self && c.documentOf(c.lastEntry) != nil:
		c.activating[m.From] = true
		c.send(m.From, Message{Kind: Activate, Version: c.lastEntry.Version, Digest: c.lastEntry.Digest, Text: c.documentOf(c.lastEntry)})
	case m.From == c.self:
		c.retryLater(c.self)
		for _, p := range c.members {
			if p.Peer != c.self {
				c.send(p.Peer, Message{Kind: Fetch, Version: c.lastEntry.Version, Digest: c.lastEntry.Digest})
			}
		}
	}
}

// retryLater schedules another Activate to p for the next RetryActivations.
func (c *Core) retryLater(p Peer) {
	c.activating[p] = true
	c.retryActivation = append(c.retryActivation, p)
}

// RetryActivations sends another Activate to the members that could not apply the last one. The host calls it
// periodically.
func (c *Core) RetryActivations() {
	for _, p := range c.retryActivation {
		delete(c.activating, p)
	}
	c.retryActivation = nil
	c.sendDue()
}

// documentOf returns the document of an entry, or nil if this process does not have it.
func (c *Core) documentOf(f Floor) []byte {
	switch {
	case f.matches(c.floor.Floor):
		return c.floor.text
	case f.matches(c.staged.Floor):
		return c.staged.text
	}
	return c.entryText
}

// Advance applies the effect of the last message after its writes have succeeded, or drops it if they failed
// with err, and puts the answer in the outbox.
func (c *Core) Advance(err error) {
	change := c.pending
	c.pending = nil
	if change == nil {
		return
	}
	switch {
	case err != nil:
		if change.answer != nil {
			change.answer.Answer, change.answer.Why = No, shortReason("it can't be stored: "+err.Error())
		}
	case change.floor != nil:
		c.floor, c.inForce, c.barredReason, c.digestDiffers = *change.floor, change.activate, change.barredReason, change.digestDiffers
		if c.staged.Version <= c.floor.Version {
			c.staged = document{}
		}
		c.staleKeys = nil
		if len(c.refusals) > 0 && c.refusals[0].Version <= c.floor.Version {
			c.refusals = nil
		}
	case change.staged != nil:
		c.staged, c.staleKeys = *change.staged, nil
	}
	if change.answer != nil {
		change.answer.Floor = c.floor.Floor
		c.outbox = append(c.outbox, *change.answer)
	}
}
