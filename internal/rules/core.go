package rules

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Peer is a process: a name, and the number that tells it from earlier ones of the name.
type Peer struct {
	Name  string
	Start uint64
}

// Member is a process that a push has to ask.
type Member struct {
	Peer
	Silent bool // lost without a word: it may still serve
}

// Floor is what a version stands for, once it is entered: nothing below one that a node has is ever in force there again.
type Floor struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Token   uint64 `json:"token"` // of the holder that entered it
}

// same says whether both are of one version and meaning.
func (f Floor) same(o Floor) bool { return f.Version == o.Version && f.Digest == o.Digest }

// Kind is what a message is about.
type Kind uint8

// The kinds. Check, Store, Force and Tell are a holder's words.
const (
	Check Kind = iota + 1 // read this, and say what it means
	Store                 // keep this beside the floor
	Force                 // this is entered: take it
	Tell                  // for people: a push was refused, and why
	Ask                   // what is your floor, and its document if it is above mine
	Fetch                 // the document of this version and digest
	Offer                 // push this
)

// Answer is what is said to a question.
type Answer uint8

// The answers.
const (
	Question Answer = iota
	Yes
	No
	Missing // the document is
	Later   // try again
	Never   // whatever comes
)

// Message is a question or its answer.
type Message struct {
	Kind     Kind
	Answer   Answer
	From, To Peer
	Token    uint64 // of the holder whose word it is
	Push     uint64 // which of its pushes
	Version  uint64
	Digest   string
	Text     []byte
	Why      string
	Floor    Floor // of who answers
}

// Write is one change of what outlives the process. A nil Value deletes.
type Write struct {
	Key   string
	Value []byte
}

// Ready is what a Core asks for: the writes, each durable before the next; then the set in force; then Advance.
type Ready struct {
	Writes []Write
	Force  *Set
}

// Refusal is why a push came to nothing.
type Refusal struct {
	Version uint64
	Name    string
	Why     string
}

const (
	refusalsMost = 8 // told of one push
	membersMost  = 4096
)

// document is a text that counts for nothing yet.
type document struct {
	Floor
	text []byte
}

// progress is how far a member is in a push.
type progress struct {
	checked, stored, busy bool
}

// push is what a holder brings on its way.
type push struct {
	id   uint64
	set  *Set
	with map[Peer]*progress
}

// change is what a message comes to, once its writes are durable.
type change struct {
	of      Message
	floor   *document
	next    *document
	force   *Set
	barred  string
	differs bool
	answer  *Message
}

// Core is the protocol at one process. It is not safe for concurrent use. Each input but Members and Hold may ask for writes (Ready); the
// next input must come after Advance has said how they went. What is to be said and entered is taken by Outbox and Entering.
type Core struct {
	self Peer
	read func([]byte) (*Set, error)

	floor  document // durable; its text is nil where that is lost
	next   document // durable beside it: checked, and entered or not
	others []string // keys of documents that are of no use

	force   *Set   // nil: the settings
	barred  string // why nothing is served
	differs bool   // the set means something else here than what was entered
	asking  bool   // a peer may know of a higher floor
	asked   map[Peer]bool
	change  *change
	latest  [2]uint64 // token and push of the newest word of a holder: an earlier push's may come late

	members []Member
	token   uint64 // of the duty; 0: not held
	entry   Floor  // the voters' word
	text    []byte // of entry
	enter   *Floor // asked of the voters, and not known to have been taken or refused
	told    map[Peer]bool
	busy    map[Peer]bool // a question that belongs to no push is under way, or to come later
	again   []Peer        // and to whom
	push    *push
	pushes  uint64
	refused []Refusal // of the last push that came to nothing, here or at another holder
	out     []Message
}

// NewCore begins with what is kept. damaged says that some of that may be gone; read is how this process takes a document.
func NewCore(self Peer, kept map[string][]byte, damaged bool, read func([]byte) (*Set, error)) *Core {
	c := &Core{self: self, read: read, asked: make(map[Peer]bool)}
	texts := make(map[string]document)
	for key, raw := range kept {
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
		case d.Floor.same(c.floor.Floor):
		case d.Version > c.floor.Version && c.next.Version == 0:
			c.next = d
		default:
			c.others = append(c.others, key)
		}
	}
	c.asking = damaged || c.floor.Version == 0 || c.floor.text == nil
	c.force, c.barred, c.differs = c.take(c.floor)
	return c
}

func floorKey(f Floor) string { return fmt.Sprintf("floor-%020d", f.Version) }
func setKey(f Floor) string   { return fmt.Sprintf("set-%020d-%s", f.Version, f.Digest) }

// take is what a floor comes to at this process: a set in force, or why nothing is served.
func (c *Core) take(d document) (set *Set, barred string, differs bool) {
	switch {
	case d.Version == 0:
		return nil, "", false
	case d.text == nil:
		return nil, fmt.Sprintf("version %d is this node's floor, and its document is lost", d.Version), false
	}
	set, err := c.read(d.text)
	switch {
	case err != nil:
		return nil, short(fmt.Sprintf("version %d is in force, and can't be read here: %v", d.Version, err)), false
	case slices.Contains(set.ExcludedMembers, c.self.Name):
		return nil, fmt.Sprintf("version %d goes on without this member", d.Version), false
	}
	return set, "", set.Digest != d.Digest
}

// InForce is the set in force, or nil for the settings.
func (c *Core) InForce() *Set { return c.force }

// Serves says whether requests may be served, or why not.
func (c *Core) Serves() (why string, yes bool) {
	switch {
	case c.barred != "":
		return c.barred, false
	case c.asking:
		return "peers are asked for this node's floor", false
	}
	return "", true
}

// Settle ends the wait for peers' floors: what is known by now has to do.
func (c *Core) Settle() { c.asking = false }

// Asking says whether a start still waits for peers' words, and how many there are.
func (c *Core) Asking() (answers int, asking bool) { return len(c.asked), c.asking }

// Question is what a start asks a peer.
func (c *Core) Question(to Peer) Message {
	m := Message{Kind: Ask, From: c.self, To: to, Version: c.floor.Version}
	if c.floor.text == nil && m.Version > 0 {
		m.Version--
	}
	return m
}

// Outbox takes what is to be said.
func (c *Core) Outbox() []Message {
	out := c.out
	c.out = nil
	return out
}

// Entering is what is to be entered among the voters, by this token; again until Entered says how it went.
func (c *Core) Entering() (Floor, bool) {
	if c.enter == nil {
		return Floor{}, false
	}
	return *c.enter, true
}

// Hold takes that this process holds the duty, and what the voters had entered at some moment after it was given that token.
func (c *Core) Hold(token uint64, entry Floor) {
	c.token, c.entry, c.enter, c.push, c.text = token, entry, nil, nil, nil
	c.told, c.busy, c.again = make(map[Peer]bool), make(map[Peer]bool), nil
	if c.floor.Version > entry.Version { // the voters have lost their disks: floors have not
		c.restore(c.floor.Floor)
	}
	c.advance()
}

// Release takes that the duty is held no more.
func (c *Core) Release() { c.token, c.push, c.enter, c.busy = 0, nil, nil, nil }

// Holding is the token that this process acts by; 0: none.
func (c *Core) Holding() uint64 { return c.token }

func (c *Core) restore(f Floor) {
	f.Token = c.token
	c.push, c.enter = nil, &f
}

// Members takes who is there now. It must be called right before each answer is taken.
func (c *Core) Members(all []Member) {
	c.members = all[:min(len(all), membersMost)]
	there := make(map[Peer]bool)
	for _, m := range c.members {
		there[m.Peer] = true
	}
	gone := func(p Peer, _ bool) bool { return !there[p] }
	maps.DeleteFunc(c.told, gone)
	maps.DeleteFunc(c.busy, gone)
	maps.DeleteFunc(c.asked, gone)
	if c.push != nil {
		maps.DeleteFunc(c.push.with, func(p Peer, _ *progress) bool { return !there[p] })
	}
	c.advance()
}

// Entered takes how the entry went. One that was refused leaves the holder with an old word of the voters': it must be told again (Hold).
func (c *Core) Entered(why error) {
	f := *c.enter
	c.enter = nil
	if why != nil {
		c.fail(Refusal{f.Version, c.self.Name, short("not entered: " + why.Error())})
		return
	}
	c.entry, c.text = f, nil
	if c.push != nil {
		c.text = c.push.set.Text
	}
	c.push = nil
	c.told, c.busy, c.again = make(map[Peer]bool), make(map[Peer]bool), nil
	c.advance()
}

// Pushing is the push under way; 0: none.
func (c *Core) Pushing() uint64 {
	if c.push == nil {
		return 0
	}
	return c.push.id
}

// Expire ends a push that has waited long enough. Whoever has not answered is named: a silence is a no.
func (c *Core) Expire(id uint64) {
	if c.push == nil || c.push.id != id || c.enter != nil {
		return
	}
	var all []Refusal
	for _, m := range c.members {
		if p := c.push.with[m.Peer]; !slices.Contains(c.push.set.ExcludedMembers, m.Name) && (p == nil || !p.stored && p.busy || !p.checked) {
			why := "no answer"
			if m.Silent {
				why = "no answer, it is silent"
			}
			all = append(all, Refusal{c.push.set.Version, m.Name, why})
		}
	}
	if len(all) == 0 {
		all = append(all, Refusal{c.push.set.Version, c.self.Name, "it took too long"})
	}
	c.fail(all...)
}

// Lost takes that a question has got no answer; it is asked again.
func (c *Core) Lost(m Message) {
	if c.push != nil && m.Push == c.push.id {
		if p := c.push.with[m.To]; p != nil {
			p.busy = false
		}
	} else if m.Kind == Force {
		delete(c.busy, m.To)
	}
}

// fail ends the push, and tells everybody why.
func (c *Core) fail(all ...Refusal) {
	c.push = nil
	c.refused = all[:min(len(all), refusalsMost)]
	raw, err := json.Marshal(c.refused)
	if err != nil {
		panic(err) // of plain fields
	}
	for _, m := range c.members {
		if m.Peer != c.self {
			c.out = append(c.out, Message{Kind: Tell, From: c.self, To: m.Peer, Token: c.token, Text: raw})
		}
	}
}

// advance asks whoever has to be asked next.
func (c *Core) advance() {
	if c.token == 0 || c.enter != nil {
		return
	}
	for _, m := range c.members {
		if c.entry.Version > 0 && !c.told[m.Peer] && !c.busy[m.Peer] {
			c.busy[m.Peer] = true
			c.say(m.Peer, Message{Kind: Force, Version: c.entry.Version, Digest: c.entry.Digest})
		}
	}
	if c.push == nil {
		return
	}
	var wanted []Peer
	checked, stored := true, true
	for _, m := range c.members {
		if slices.Contains(c.push.set.ExcludedMembers, m.Name) {
			continue
		}
		wanted = append(wanted, m.Peer)
		p := c.push.with[m.Peer]
		if p == nil {
			p = new(progress)
			c.push.with[m.Peer] = p
		}
		checked, stored = checked && p.checked, stored && p.stored
	}
	switch {
	case !slices.Contains(wanted, c.self): // membership does not show this process yet, or it is named itself
	case stored:
		c.enter = &Floor{c.push.set.Version, c.push.set.Digest, c.token}
	default:
		for _, who := range wanted {
			p, kind := c.push.with[who], Check
			switch {
			case p.busy || p.checked && (!checked || p.stored):
				continue
			case p.checked:
				kind = Store
			}
			p.busy = true
			c.say(who, Message{Kind: kind, Push: c.push.id, Version: c.push.set.Version, Digest: c.push.set.Digest, Text: c.push.set.Text})
		}
	}
}

func (c *Core) say(to Peer, m Message) {
	m.From, m.To, m.Token = c.self, to, c.token
	c.out = append(c.out, m)
}

// Mine says whether a message is for this process: what is pushed to an earlier one of its name is not, as the answer would count for that.
func (c *Core) Mine(m Message) bool {
	return m.To == c.self || m.Answer == Question && m.To.Name == c.self.Name && (m.Kind == Ask || m.Kind == Fetch || m.Kind == Offer)
}

// Step takes a message that is for this process: of a question its answer is in the Outbox after Advance. A holder's words must have passed
// the fence.
func (c *Core) Step(m Message) Ready {
	if c.change != nil {
		panic("rules: a message before the writes of the last one")
	}
	if m.Answer != Question {
		return c.hear(m)
	}
	a := Message{Kind: m.Kind, From: c.self, To: m.From, Token: m.Token, Push: m.Push, Version: m.Version, Digest: m.Digest}
	ch := &change{of: m, answer: &a}
	var r Ready
	at := [2]uint64{m.Token, m.Push}
	if m.Kind == Check || m.Kind == Store {
		if slices.Compare(at[:], c.latest[:]) < 0 {
			a.Answer, a.Why = No, "a later push has come"
			c.change = ch
			return r
		}
		c.latest = at
	}
	switch m.Kind {
	case Check:
		_, a.Digest, a.Answer, a.Why = c.judge(m)
	case Store:
		r = c.store(m, ch)
	case Force:
		r = c.takeForce(m, ch)
	case Tell:
		a.Answer = Yes
		var all []Refusal
		if json.Unmarshal(m.Text, &all) == nil {
			c.refused = all[:min(len(all), refusalsMost)]
		}
	case Ask:
		a.Answer = Yes
		if c.floor.Version > m.Version {
			a.Text = c.floor.text
		}
	case Fetch:
		a.Answer = Missing
		if want := (Floor{Version: m.Version, Digest: m.Digest}); want.same(c.floor.Floor) && c.floor.text != nil {
			a.Answer, a.Text = Yes, c.floor.text
		} else if want.same(c.next.Floor) {
			a.Answer, a.Text = Yes, c.next.text
		}
	case Offer:
		a.Answer, a.Why = c.offered(m)
	default:
		a.Answer, a.Why = No, "unknown"
	}
	c.change = ch
	return r
}

// judge reads a document that is being pushed.
func (c *Core) judge(m Message) (set *Set, digest string, a Answer, why string) {
	if m.Version < c.floor.Version {
		return nil, "", No, fmt.Sprintf("version %d is below %d, this node's floor", m.Version, c.floor.Version)
	}
	set, err := c.read(m.Text)
	switch {
	case err != nil:
		return nil, "", No, short(err.Error())
	case set.Version != m.Version:
		return nil, "", No, fmt.Sprintf("the document is of version %d", set.Version)
	case set.Version == c.floor.Version && set.Digest != c.floor.Digest:
		return nil, "", No, fmt.Sprintf("version %d has another meaning: this node's floor has digest %s", m.Version, c.floor.Digest)
	}
	return set, set.Digest, Yes, ""
}

// store keeps a document beside the floor.
func (c *Core) store(m Message, ch *change) (r Ready) {
	set, digest, answer, why := c.judge(m)
	a := ch.answer
	a.Answer, a.Why = answer, why
	if answer != Yes {
		return r
	}
	if digest != m.Digest {
		a.Answer, a.Why = No, "digest "+digest+" here, "+m.Digest+" at the holder"
		return r
	}
	f := Floor{set.Version, digest, m.Token}
	if f.same(c.floor.Floor) || f.same(c.next.Floor) {
		return r
	}
	ch.next = &document{f, set.Text}
	r.Writes = append(r.Writes, Write{setKey(f), set.Text})
	if c.next.Version > 0 {
		r.Writes = append(r.Writes, Write{Key: setKey(c.next.Floor)})
	}
	return c.tidy(r)
}

// tidy deletes documents of no use behind the writes that matter.
func (c *Core) tidy(r Ready) Ready {
	for _, key := range c.others {
		if !slices.ContainsFunc(r.Writes, func(w Write) bool { return w.Key == key }) {
			r.Writes = append(r.Writes, Write{Key: key})
		}
	}
	return r
}

// takeForce takes what is entered.
func (c *Core) takeForce(m Message, ch *change) Ready {
	f, a := Floor{m.Version, m.Digest, m.Token}, ch.answer
	a.Answer = Yes
	switch {
	case f.Version < c.floor.Version:
		a.Answer, a.Why = No, fmt.Sprintf("version %d is below %d, this node's floor", f.Version, c.floor.Version)
		return Ready{}
	case f.Version == c.floor.Version && f.Digest != c.floor.Digest:
		a.Answer, a.Why = No, fmt.Sprintf("version %d has digest %s here", f.Version, c.floor.Digest)
		return Ready{}
	case f.same(c.floor.Floor) && c.floor.text != nil:
		if c.barred != "" {
			a.Answer, a.Why = No, c.barred
		}
		return Ready{}
	}
	text := m.Text
	if f.same(c.next.Floor) {
		text = c.next.text
	}
	if text == nil {
		a.Answer = Missing
		return Ready{}
	}
	return c.lift(document{f, text}, ch)
}

// lift brings a higher floor into force: its document and the floor are durable first.
func (c *Core) lift(d document, ch *change) (r Ready) {
	ch.floor = &d
	ch.force, ch.barred, ch.differs = c.take(d)
	if a := ch.answer; a != nil && ch.barred != "" {
		a.Answer, a.Why = No, ch.barred
	}
	if !d.Floor.same(c.next.Floor) {
		r.Writes = append(r.Writes, Write{setKey(d.Floor), d.text})
	}
	raw, err := json.Marshal(d.Floor)
	if err != nil {
		panic(err) // of plain fields
	}
	r.Writes = append(r.Writes, Write{floorKey(d.Floor), raw})
	if old := c.floor.Floor; old.Version > 0 && old.Version < d.Version {
		r.Writes = append(r.Writes, Write{Key: floorKey(old)}, Write{Key: setKey(old)})
	}
	if n := c.next.Floor; n.Version > 0 && n.Version <= d.Version && !n.same(d.Floor) {
		r.Writes = append(r.Writes, Write{Key: setKey(n)})
	}
	r.Force = ch.force
	return c.tidy(r)
}

// Follow takes a floor that another process of this node has written, or a peer has told.
func (c *Core) Follow(f Floor, text []byte) Ready {
	if c.change != nil || text == nil || f.Version == 0 || f.Version < c.floor.Version ||
		f.Version == c.floor.Version && (c.floor.text != nil || f.Digest != c.floor.Digest) {
		return Ready{}
	}
	c.change = &change{}
	return c.lift(document{f, text}, c.change)
}

// offered begins a push, or says why not.
func (c *Core) offered(m Message) (Answer, string) {
	switch {
	case c.token == 0:
		return Later, "another holds the duty"
	case c.enter != nil || c.floor.Version < c.entry.Version:
		return Later, "an entry is under way"
	}
	set, err := c.read(m.Text)
	if err != nil {
		return No, short(c.self.Name + ", which holds the duty: " + err.Error())
	}
	f := Floor{Version: set.Version, Digest: set.Digest}
	switch {
	case f.same(c.entry):
		return Yes, ""
	case f.Version < c.entry.Version:
		return Never, fmt.Sprintf("version %d is below %d, which is entered", f.Version, c.entry.Version)
	case f.Version == c.entry.Version:
		return Never, fmt.Sprintf("version %d is entered with another meaning", f.Version)
	case slices.Contains(set.ExcludedMembers, c.self.Name):
		return No, c.self.Name + " holds the duty, and is named in without: move the duty"
	case c.push != nil && c.push.set.Version == f.Version && c.push.set.Digest == f.Digest:
		return Yes, ""
	case c.push != nil:
		return Later, fmt.Sprintf("version %d is on its way", c.push.set.Version)
	}
	c.pushes++
	c.push = &push{id: c.pushes, set: set, with: make(map[Peer]*progress)}
	c.advance()
	return Yes, ""
}

// hear takes an answer.
func (c *Core) hear(m Message) Ready {
	if m.Kind == Ask {
		c.asked[m.From] = true
		return c.Follow(m.Floor, m.Text)
	}
	if c.token == 0 || m.Token != c.token {
		return Ready{} // to an earlier holding
	}
	if m.Floor.Version > c.entry.Version && c.enter == nil && m.Kind != Offer { // the voters have lost their disks
		c.restore(m.Floor)
		return Ready{}
	}
	switch m.Kind {
	case Check, Store:
		if c.push != nil && m.Push == c.push.id && c.enter == nil {
			c.heard(m)
		}
	case Force:
		c.forced(m)
	case Fetch:
		if m.Answer == Yes && c.text == nil && (Floor{Version: m.Version, Digest: m.Digest}).same(c.entry) {
			c.text = m.Text
			delete(c.busy, c.self)
			c.say(c.self, Message{Kind: Force, Version: c.entry.Version, Digest: c.entry.Digest, Text: c.text})
		}
	}
	c.advance()
	return Ready{}
}

// heard takes an answer to the push under way.
func (c *Core) heard(m Message) {
	p := c.push.with[m.From]
	if p == nil {
		return
	}
	p.busy = false
	switch {
	case m.Answer != Yes:
		c.fail(Refusal{c.push.set.Version, m.From.Name, short(cmp.Or(m.Why, "no"))})
	case m.Digest != c.push.set.Digest:
		c.fail(Refusal{c.push.set.Version, m.From.Name, short("digest " + m.Digest + " there, " + c.push.set.Digest + " at " + c.self.Name)})
	case m.Kind == Check:
		p.checked = true
	case p.checked:
		p.stored = true
	}
}

// forced takes an answer to what was entered.
func (c *Core) forced(m Message) {
	if m.Version != c.entry.Version {
		return
	}
	delete(c.busy, m.From)
	switch {
	case m.Answer != Missing:
		if m.Answer == No {
			c.refused = []Refusal{{m.Version, m.From.Name, short(m.Why)}}
		}
		if m.Floor.Version >= m.Version {
			c.told[m.From] = true
		} else {
			c.later(m.From) // it could not keep it
		}
	case m.From != c.self && c.textOf(c.entry) != nil:
		c.busy[m.From] = true
		c.say(m.From, Message{Kind: Force, Version: c.entry.Version, Digest: c.entry.Digest, Text: c.textOf(c.entry)})
	case m.From == c.self:
		c.later(c.self)
		for _, p := range c.members {
			if p.Peer != c.self {
				c.say(p.Peer, Message{Kind: Fetch, Version: c.entry.Version, Digest: c.entry.Digest})
			}
		}
	}
}

// later has a member told of what is in force again, but not at once.
func (c *Core) later(p Peer) {
	c.busy[p] = true
	c.again = append(c.again, p)
}

// Retry tells those again of what is in force that could not take it. It is called now and then.
func (c *Core) Retry() {
	for _, p := range c.again {
		delete(c.busy, p)
	}
	c.again = nil
	c.advance()
}

// textOf is the document of an entry, where this process has it.
func (c *Core) textOf(f Floor) []byte {
	switch {
	case f.same(c.floor.Floor):
		return c.floor.text
	case f.same(c.next.Floor):
		return c.next.text
	}
	return c.text
}

// Advance takes how the writes went, and leaves the answer in the Outbox.
func (c *Core) Advance(err error) {
	ch := c.change
	c.change = nil
	if ch == nil {
		return
	}
	switch {
	case err != nil:
		if ch.answer != nil {
			ch.answer.Answer, ch.answer.Why = No, short("it can't be kept: "+err.Error())
		}
	case ch.floor != nil:
		c.floor, c.force, c.barred, c.differs = *ch.floor, ch.force, ch.barred, ch.differs
		if c.next.Version <= c.floor.Version {
			c.next = document{}
		}
		c.others = nil
		if len(c.refused) > 0 && c.refused[0].Version <= c.floor.Version {
			c.refused = nil
		}
	case ch.next != nil:
		c.next, c.others = *ch.next, nil
	}
	if ch.answer != nil {
		ch.answer.Floor = c.floor.Floor
		c.out = append(c.out, *ch.answer)
	}
}
