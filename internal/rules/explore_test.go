package rules

import (
	"cmp"
	"crypto/sha256"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"arrowgw/internal/duty"
)

var deep = flag.Int("deep", 0, "explore larger budgets, up to so many states of each")

// The explorer plays Core, as it runs in the sidecar, in every order of messages, looks at the membership, passes of the duty, ends of pushes,
// crashes (at any moment: before each write, after it, and between the last and the set in force) and restarts that the budgets allow.
// A write that was not durable at a crash is one that was not made. Only what is around Core is a model: the disk, the network, the
// membership and the voters' log, of which the rule itself (duty.Entry.Apply) is the real one.

// program is what runs at a node.
type program struct {
	name string
	s    Settings
}

func programs() map[string]*program {
	skewed := settings(2)
	skewed.Config.Tenants = slices.Clone(skewed.Config.Tenants)
	skewed.Config.Tenants[1].Share = 9
	return map[string]*program{"new": {"new", settings(2)}, "old": {"old", settings(1)}, "skewed": {"skewed", skewed}}
}

// plan is a budget, with the faults that are planted in what is around Core.
type plan struct {
	docs     []string // each offered once, at whoever believes that it holds the duty
	programs [3]string
	later    [3]string // what a node is started again with
	crashes  int
	passes   int
	mortal   string // who may die, and to whom the duty may pass; empty: all
	heir     string
	most     int // states, the nearest first; 0: all

	floorVolatile bool // planted: the floor's write is not synced
	floorUnread   bool // a start passes the floor over
	fenceOff      bool // tokens count for nothing
	textDigest    bool // the digest is of the text
	silenceIsYes  bool // whoever does not answer is taken to have agreed
}

func (p *plan) may(who, name string) bool { return who == "" || who == name }

type place struct {
	core     *Core
	disk     map[string]string
	volatile map[string]string // of a planted fault
	fence    uint64
	start    uint64
	program  *program
	high     uint64            // the highest version that was in force here
	refused  map[string]uint64 // by this process: the highest token of whom it said no to, by text
	view     []Member
}

// ask is an entry on its way to the voters.
type entering struct {
	from Peer
	f    Floor
	view string // whom it saw
}

func (e entering) saw(p Peer) bool { return strings.Contains(e.view, fmt.Sprint(p)) }

type explored struct {
	p       *plan
	x       *explorer
	nodes   [3]*place
	net     []Message
	asks    []entering
	entry   duty.Entry
	holder  Peer
	token   uint64
	crashes int
	passes  int
	offered []bool
	meant   map[uint64]string // by version: the first true meaning that was in force
	broken  string
}

type explorer struct {
	programs map[string]*program
	read     map[[2]string]*reading
	plan     *plan
}

type reading struct {
	set *Set
	err error
}

func names(i int) string { return string(rune('a' + i)) }

// truth is how a program takes a text, whatever Core is told.
func (x *explorer) truth(p *program, text []byte) *reading {
	key := [2]string{p.name, string(text)}
	r := x.read[key]
	if r == nil {
		r = new(reading)
		r.set, r.err = Read([]byte(key[1]), p.s)
		x.read[key] = r
	}
	return r
}

func (w *explored) reader(n *place) func([]byte) (*Set, error) {
	return func(text []byte) (*Set, error) {
		r := w.x.truth(n.program, text)
		if r.err == nil && w.p.textDigest {
			set := *r.set
			set.Digest = fmt.Sprintf("%x", sha256.Sum256(text))[:8]
			return &set, nil
		}
		return r.set, r.err
	}
}

func (c *Core) clone() *Core {
	if c == nil {
		return nil
	}
	d := *c
	d.asked, d.told, d.busy = nil, maps.Clone(c.told), maps.Clone(c.busy)
	d.asked, d.again = make(map[Peer]bool), slices.Clone(c.again)
	if c.push != nil {
		p := *c.push
		p.with = make(map[Peer]*progress)
		for peer, g := range c.push.with {
			h := *g
			p.with[peer] = &h
		}
		d.push = &p
	}
	return &d
}

func (w *explored) clone() *explored {
	d := *w
	for i, n := range w.nodes {
		m := *n
		m.core, m.disk, m.refused, m.volatile = n.core.clone(), maps.Clone(n.disk), maps.Clone(n.refused), maps.Clone(n.volatile)
		if m.core != nil {
			m.core.read = d.reader(&m)
		}
		d.nodes[i] = &m
	}
	d.net, d.asks, d.offered, d.meant = slices.Clone(w.net), slices.Clone(w.asks), slices.Clone(w.offered), maps.Clone(w.meant)
	return &d
}

func peers(m map[Peer]bool) string {
	return fmt.Sprint(slices.SortedFunc(maps.Keys(m), byPeer))
}

func byPeer(a, b Peer) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start)) }

func shortened(f Floor) string { return fmt.Sprintf("%d.%.4s.%d", f.Version, f.Digest, f.Token) }

// key is the state, for telling it from others.
func (w *explored) key() [16]byte {
	var b strings.Builder
	for _, n := range w.nodes {
		fmt.Fprintf(&b, "|%v,%d,%d,%d,%s,%v", n.disk, n.fence, n.start, n.high, n.program.name, n.refused)
		fmt.Fprint(&b, n.view)
		if c := n.core; c != nil {
			fmt.Fprint(&b, shortened(c.floor.Floor), c.floor.text != nil, shortened(c.next.Floor), c.force != nil, c.barred != "", c.differs, c.token,
				shortened(c.entry), c.text != nil, peers(c.told), peers(c.busy), c.others, c.pushes, c.latest, c.again)
			if c.enter != nil {
				fmt.Fprint(&b, "e", shortened(*c.enter))
			}
			if c.push != nil {
				fmt.Fprint(&b, "p", c.push.id, c.push.set.Version, c.push.set.Digest)
				for _, p := range slices.SortedFunc(maps.Keys(c.push.with), byPeer) {
					fmt.Fprint(&b, p, *c.push.with[p])
				}
			}
		}
	}
	lines := make([]string, 0, len(w.net))
	for _, m := range w.net {
		lines = append(lines, fmt.Sprint(m.Kind, m.Answer, m.From, m.To, m.Token, m.Push, m.Version, m.Digest, len(m.Text), m.Floor.Version))
	}
	slices.Sort(lines)
	fmt.Fprint(&b, lines, w.asks, w.entry, w.holder, w.token, w.crashes, w.passes, w.offered, w.meant)
	sum := sha256.Sum256([]byte(b.String()))
	return [16]byte(sum[:16])
}

func (w *explored) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

func (w *explored) truthful() (all []Member) {
	for i, n := range w.nodes {
		if n.core != nil {
			all = append(all, Member{Peer: Peer{names(i), n.start}})
		}
	}
	return all
}

// start starts a node again.
func (w *explored) start(i int, p string) {
	n := w.nodes[i]
	n.start++
	n.program, n.refused, n.volatile = w.x.programs[p], make(map[string]uint64), nil
	kept := make(map[string][]byte)
	for key, v := range n.disk {
		if !w.p.floorUnread || !strings.HasPrefix(key, "floor-") {
			kept[key] = []byte(v)
		}
	}
	n.core = NewCore(Peer{names(i), n.start}, kept, false, w.reader(n))
	n.core.Settle() // nobody answers
	if set := n.core.InForce(); set != nil {
		w.inForce(i, set, n.core.differs)
	}
	if v := n.high; v > 0 && n.core.barred == "" && (n.core.InForce() == nil || n.core.InForce().Version < v) {
		w.fail("%s starts with %v in force, after %d", names(i), n.core.InForce(), v)
	}
}

// inForce checks a set that comes into force.
func (w *explored) inForce(i int, set *Set, differs bool) {
	n := w.nodes[i]
	if set.Version < n.high {
		w.fail("%s: version %d is in force after %d", names(i), set.Version, n.high)
	}
	n.high = set.Version
	durable := false
	for key := range n.disk {
		durable = durable || strings.HasPrefix(key, fmt.Sprintf("floor-%020d", set.Version))
	}
	if !durable {
		w.fail("%s: version %d is in force, and its floor is not durable", names(i), set.Version)
	}
	meaning := w.x.truth(n.program, set.Text).set.Digest
	if differs { // it is told
		return
	}
	if first, ok := w.meant[set.Version]; !ok {
		w.meant[set.Version] = meaning
	} else if first != meaning {
		w.fail("%s: version %d is in force with digest %s, and elsewhere with %s", names(i), set.Version, meaning, first)
	}
}

// ready carries out what a Core asks for; it is killed after so many steps, if that many there are.
func (w *explored) ready(i int, r Ready, dies int) (steps int) {
	n := w.nodes[i]
	for _, write := range r.Writes {
		if steps == dies {
			w.kill(i)
			return steps
		}
		steps++
		into := n.disk
		if w.p.floorVolatile && strings.HasPrefix(write.Key, "floor-") {
			if n.volatile == nil {
				n.volatile = make(map[string]string)
			}
			into = n.volatile
		}
		if write.Value == nil {
			delete(into, write.Key)
		} else {
			into[write.Key] = string(write.Value)
		}
	}
	if r.Force != nil {
		if steps == dies {
			w.kill(i)
			return steps
		}
		steps++
		w.inForce(i, r.Force, n.core.change.differs)
		if steps == dies {
			w.kill(i)
			return steps
		}
	}
	n.core.Advance(nil)
	w.flush(i)
	return steps
}

func (w *explored) kill(i int) {
	w.nodes[i].core = nil
	w.crashes--
}

// flush takes what a Core has to say.
func (w *explored) flush(i int) {
	c := w.nodes[i].core
	for _, m := range c.Outbox() {
		if m.Kind != Tell { // for people
			w.net = append(w.net, m)
		}
	}
	if f, ok := c.Entering(); ok {
		if !slices.ContainsFunc(w.asks, func(e entering) bool { return e.from == c.self && e.f == f }) {
			w.asks = append(w.asks, entering{c.self, f, fmt.Sprint(w.nodes[i].view)})
		}
	}
}

// deliver takes a message out of the network and gives it to whoever has its name.
func (w *explored) deliver(k, dies int) (steps int) {
	m := w.net[k]
	w.net = slices.Delete(w.net, k, k+1)
	i := int(m.To.Name[0] - 'a')
	n := w.nodes[i]
	switch {
	case n.core == nil || !n.core.Mine(m):
		return 0
	case m.Answer != Question:
		n.core.Members(n.view)
	case m.Kind == Check || m.Kind == Store || m.Kind == Force:
		if m.Token < n.fence && !w.p.fenceOff {
			return 0
		}
		n.fence = max(n.fence, m.Token)
	}
	r := n.core.Step(m)
	if a := n.core.change; a != nil && a.answer != nil && a.answer.Answer == No && m.Kind == Check && w.x.truth(n.program, m.Text).err != nil {
		n.refused[string(m.Text)] = max(n.refused[string(m.Text)], m.Token)
	}
	return w.ready(i, r, dies)
}

// useless says that a message can change nothing any more, whenever it comes.
func (w *explored) useless(m Message) bool {
	n := w.nodes[m.To.Name[0]-'a']
	switch c := n.core; {
	case m.Answer == Question:
		return c != nil && !c.Mine(m) && m.To.Start < n.start || (m.Kind == Check || m.Kind == Store || m.Kind == Force) && m.Token < n.fence && !w.p.fenceOff
	case c == nil || m.To.Start != n.start || m.Token != c.token:
		return m.Kind != Ask
	case m.Floor.Version > c.entry.Version:
		return false
	case m.Kind == Check || m.Kind == Store:
		return c.push == nil && m.Push <= c.pushes || m.Push < c.pushes
	}
	return false
}

// enter has the voters decide.
func (w *explored) enter(k int) {
	a := w.asks[k]
	w.asks = slices.Delete(w.asks, k, k+1)
	present := w.token
	if w.p.fenceOff {
		present = a.f.Token
	}
	i := int(a.from.Name[0] - 'a')
	n := w.nodes[i]
	next, err := w.entry.Apply(present, duty.Entry{Token: a.f.Token, Version: a.f.Version, Digest: a.f.Digest})
	if err == nil && next != w.entry {
		w.entered(a)
	}
	w.entry = next
	if n.core == nil || n.start != a.from.Start || n.core.enter == nil || *n.core.enter != a.f {
		return
	}
	n.core.Entered(err)
	w.flush(i)
}

// entered checks what a holder has entered: whoever was present for it can read that, means it, and has it; nobody present had refused it.
func (w *explored) entered(e entering) {
	f := e.f
	var text []byte
	for _, n := range w.nodes {
		if raw, ok := n.disk[setKey(f)]; ok {
			text = []byte(raw)
		}
	}
	if text == nil {
		w.fail("version %d is entered, and nobody has it", f.Version)
		return
	}
	for i, n := range w.nodes {
		if n.core == nil {
			continue
		}
		if n.refused[string(text)] >= f.Token {
			w.fail("version %d is entered, and %s, which is present, had refused it", f.Version, names(i))
		}
		if !e.saw(n.core.self) {
			continue // it came later
		}
		r := w.x.truth(n.program, text)
		if _, has := n.disk[setKey(f)]; !has || r.err != nil {
			w.fail("version %d is entered, and %s, which is present, has it: %v, reads it: %v", f.Version, names(i), has, r.err)
		}
		for j, o := range w.nodes {
			if other := w.x.truth(o.program, text); o.core != nil && e.saw(o.core.self) && r.err == nil && other.err == nil && other.set.Digest != r.set.Digest {
				w.fail("version %d is entered, with one meaning at %s and another at %s", f.Version, names(i), names(j))
			}
		}
	}
}

// next are all states that may come after this one.
func (w *explored) next(yield func(what string, to *explored)) {
	do := func(what string, act func(d *explored)) {
		d := w.clone()
		act(d)
		yield(what, d)
	}
	seen := make(map[string]bool)
	own := slices.IndexFunc(w.net, func(m Message) bool { return m.From == m.To }) // the sidecar delivers those before anything else
	for k, m := range w.net {
		if own >= 0 && k != own {
			continue
		}
		what := fmt.Sprintf("%v.%v of %v reaches %s", m.Kind, m.Answer, m.From, m.To.Name)
		if id := fmt.Sprint(what, m.Token, m.Push, m.Version, m.Digest, len(m.Text)); seen[id] {
			continue
		} else {
			seen[id] = true
		}
		steps := 0
		do(what, func(d *explored) { steps = d.deliver(k, -1) })
		if w.crashes > 0 && w.p.may(w.p.mortal, m.To.Name) {
			for dies := range steps + 1 {
				if steps > 0 {
					do(fmt.Sprintf("%s, which dies after %d steps", what, dies), func(d *explored) { d.deliver(k, dies) })
				}
			}
		}
		if w.p.silenceIsYes && m.Answer == Question && (m.Kind == Check || m.Kind == Store) {
			do(what+": its silence is a yes", func(d *explored) {
				d.net = slices.Delete(d.net, k, k+1)
				m.Answer, m.From, m.To = Yes, m.To, m.From
				d.net = append(d.net, m)
			})
		}
	}
	if own >= 0 {
		return
	}
	for k, a := range w.asks {
		do(fmt.Sprintf("%v enters %d", a.from, a.f.Version), func(d *explored) { d.enter(k) })
	}
	for i, n := range w.nodes {
		if n.core == nil {
			do(names(i)+" starts", func(d *explored) { d.start(i, w.p.later[i]) })
			continue
		}
		if w.crashes > 0 && w.p.may(w.p.mortal, names(i)) {
			do(names(i)+" dies", func(d *explored) { d.kill(i) })
		}
		if n.core.token != 0 {
			if truth := w.truthful(); !slices.Equal(truth, n.view) {
				do(names(i)+" looks", func(d *explored) {
					d.nodes[i].view = truth
					d.nodes[i].core.Members(truth)
					d.flush(i)
				})
			}
			if n.core.push != nil && n.core.enter == nil {
				do(names(i)+" gives its push up", func(d *explored) { d.nodes[i].core.Expire(d.nodes[i].core.push.id); d.flush(i) })
			}
			for k, doc := range w.p.docs {
				if w.offered[k] {
					continue
				}
				do(fmt.Sprintf("%s is offered document %d", names(i), k), func(d *explored) {
					d.offered[k] = true
					c := d.nodes[i].core
					c.Step(Message{Kind: Offer, From: c.self, To: c.self, Text: []byte(doc)})
					c.change = nil // the answer is for the pusher
					d.flush(i)
				})
			}
		}
		if w.passes > 0 && w.holder != n.core.self && w.p.may(w.p.heir, names(i)) {
			do("the duty passes to "+names(i), func(d *explored) { d.passes--; d.holder = n.core.self; d.token++ })
		}
		if w.holder == n.core.self && n.core.token != w.token { // whoever had it before goes on in its belief
			do(names(i)+" holds", func(d *explored) {
				d.nodes[i].view = d.truthful()
				c := d.nodes[i].core
				c.Members(d.nodes[i].view)
				c.Hold(d.token, Floor{d.entry.Version, d.entry.Digest, d.entry.Token})
				d.flush(i)
			})
		}
	}
}

// explore plays a plan to its end, or to the first thing that is broken.
func explore(p plan) (states int, whole bool, triples map[string]int, broken string, trace []string) {
	x := &explorer{programs: programs(), read: make(map[[2]string]*reading), plan: &p}
	w := &explored{p: &p, x: x, crashes: p.crashes, passes: p.passes, token: 1, holder: Peer{"a", 1}, offered: make([]bool, len(p.docs)), meant: make(map[uint64]string)}
	for i := range w.nodes {
		w.nodes[i] = &place{disk: make(map[string]string)}
		w.start(i, p.programs[i])
	}
	type step struct {
		from int
		what string
	}
	steps := []step{{-1, "begin"}}
	queue := []*explored{w}
	at := map[[16]byte]bool{w.key(): true}
	triples = make(map[string]int)
	n := 0
	for ; n < len(queue) && (p.most == 0 || n < p.most); n++ {
		now := queue[n]
		queue[n] = nil
		if now.broken != "" {
			for k := n; k >= 0; k = steps[k].from {
				trace = append(trace, steps[k].what)
			}
			slices.Reverse(trace)
			return len(at), false, triples, now.broken, trace
		}
		var highs [3]uint64
		for i, node := range now.nodes {
			highs[i] = node.high
		}
		triples[fmt.Sprint(highs)]++
		now.next(func(what string, to *explored) {
			to.net = slices.DeleteFunc(to.net, to.useless)
			if key := to.key(); !at[key] {
				at[key] = true
				queue = append(queue, to)
				steps = append(steps, step{n, what})
			}
		})
	}
	return n, n == len(queue), triples, "", nil
}

const (
	doc1a = "form=1\nversion=1\nattempts=2\n"
	doc1b = "form=1\nversion=1\nattempts=1\n"
	doc2  = "form=2\nversion=2\n[[zone]]\nname='a'\nweight=0.5\n"
)

func alike(name string) [3]string { return [3]string{name, name, name} }

// plans are what is explored: budgets in the short form, and what -deep adds.
func plans() map[string]plan {
	all := map[string]plan{
		"two versions, one crash":         {docs: []string{doc1a, doc2}, programs: alike("new"), later: alike("new"), crashes: 1, most: 20_000},
		"one version, two bodies, a pass": {docs: []string{doc1a, doc1b}, programs: alike("new"), later: alike("new"), passes: 1},
		"an old program comes back, a pass": {docs: []string{doc2, doc2}, programs: alike("new"), later: [3]string{"new", "new", "old"},
			crashes: 1, passes: 1, mortal: "c", heir: "b", most: 30_000},
		"one program means something else": {docs: []string{doc1a}, programs: [3]string{"new", "new", "skewed"}, later: [3]string{"new", "new", "skewed"}, crashes: 1},
		"an old program is present":        {docs: []string{doc1a, doc2}, programs: [3]string{"new", "new", "old"}, later: [3]string{"new", "new", "old"}},
	}
	if *deep > 0 {
		for what, p := range all {
			p.most = *deep
			all[what] = p
		}
		all["two versions, two crashes"] = plan{docs: []string{doc1a, doc2}, programs: alike("new"), later: alike("new"), crashes: 2, most: *deep}
		all["two versions, a crash and a pass"] = plan{docs: []string{doc1a, doc2}, programs: alike("new"), later: alike("new"), crashes: 1, passes: 1, most: *deep}
		all["two bodies, two passes"] = plan{docs: []string{doc1a, doc1b}, programs: alike("new"), later: alike("new"), passes: 2, most: *deep}
	}
	return all
}

func TestAllOrders(t *testing.T) {
	for what, p := range plans() {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			states, whole, triples, broken, trace := explore(p)
			if broken != "" {
				t.Fatalf("%s\n%s", broken, strings.Join(trace, "\n"))
			}
			t.Logf("%d states, all of them: %v; by the versions that were in force: %v", states, whole, triples)
			if whole && p.crashes+p.passes > 0 && what != "an old program comes back, a pass" && triples["[1 1 1]"] == 0 {
				t.Error("version 1 was in force at all three in no state: this shows nothing")
			}
		})
	}
}

// Each of the faults that the checks are for is found.
func TestPlantedFaults(t *testing.T) {
	for what, c := range map[string]struct {
		of    string
		plant func(p *plan)
		want  string
	}{
		"the floor is not synced":                {"two versions, one crash", func(p *plan) { p.floorVolatile = true }, "its floor is not durable"},
		"the floor is not read":                  {"two versions, one crash", func(p *plan) { p.floorUnread = true }, "starts with"},
		"the fence is off":                       {"an old program comes back, a pass", func(p *plan) { p.fenceOff = true }, "had refused it"},
		"the digest is of the text":              {"one program means something else", func(p *plan) { p.textDigest = true }, "another at"},
		"a silence is taken for yes, and agreed": {"an old program is present", func(p *plan) { p.silenceIsYes = true }, "which is present, has it: false"},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			p := plans()[c.of]
			c.plant(&p)
			states, _, _, broken, trace := explore(p)
			if !strings.Contains(broken, c.want) {
				t.Fatalf("it is not found in %d states: %q", states, broken)
			}
			t.Logf("found after %d states: %s\n%s", states, broken, strings.Join(trace, "\n"))
		})
	}
}
