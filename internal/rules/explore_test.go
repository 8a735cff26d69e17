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

var deepStates = flag.Int("deep", 0, "explore larger budgets, up to this many states of each")

// The explorer runs Core in every order of messages, membership changes, transfers of the duty, expired pushes,
// crashes and restarts that a budget allows. A crash may occur at any moment: before each write, after it, and
// between the last write and the activation of the set. A write that was not durable at a crash is lost.
//
// The disk, the network, the membership and the voters' log around Core are models. The rule by which the voters
// accept an entry is the real one (duty.Entry.Apply).

// program is a version of the software at a node: a name and the settings that documents are read against.
type program struct {
	name     string
	settings Settings
}

// programs returns the programs by name: "old" reads only form 1, and "skewed" has another tenant share in its
// settings, so that it computes other digests.
func programs() map[string]*program {
	skewed := settings(2)
	skewed.Config.Tenants = slices.Clone(skewed.Config.Tenants)
	skewed.Config.Tenants[1].Share = 9
	return map[string]*program{"new": {"new", settings(2)}, "old": {"old", settings(1)}, "skewed": {"skewed", skewed}}
}

// plan is a budget of events to explore, with the faults planted in the models around Core. crashes limits the
// crashes of nodes, and passes the transfers of the duty to another node.
type plan struct {
	docs            []string // each is offered once, to a node that believes that it holds the duty
	programs        [3]string
	restartPrograms [3]string // programs that the nodes are restarted with
	crashes         int
	passes          int
	mayCrash        string // the only node that may crash; empty: all may
	mayAcquire      string // the only node to which the duty may pass; empty: all
	maxStates       int    // limit on the states, which are visited breadth first; 0: none

	floorNotSynced bool // planted: the write of the floor is not synced
	floorNotRead   bool // planted: a restart does not read the floor
	fenceOff       bool // planted: tokens are not checked
	digestOfText   bool // planted: the digest is that of the text, not of the meaning
	silenceIsYes   bool // planted: a member that does not answer counts as having agreed
}

// permits reports whether name may do what is restricted to only; an empty only allows all.
func (p *plan) permits(only, name string) bool { return only == "" || only == name }

// simNode is a node of the model: a process with its disk. core is nil while the process is down.
type simNode struct {
	core       *Core
	disk       map[string]string
	unsynced   map[string]string // writes that a crash loses, with floorNotSynced
	fence      uint64
	start      uint64
	program    *program
	maxInForce uint64            // highest version that was in force here
	refused    map[string]uint64 // by document: highest token of a holder that this process refused
	view       []Member
}

// proposal is an entry that a holder has submitted to the voters.
type proposal struct {
	from  Peer
	floor Floor
	view  string // the members that the holder saw
}

func (e proposal) saw(p Peer) bool { return strings.Contains(e.view, fmt.Sprint(p)) }

// worldState is one state of the model.
type worldState struct {
	plan      *plan
	explorer  *explorer
	nodes     [3]*simNode
	net       []Message
	proposals []proposal
	entry     duty.Entry
	holder    Peer
	token     uint64
	crashes   int
	passes    int
	offered   []bool
	digests   map[uint64]string // by version: digest of the first set that was in force
	violation string
}

// explorer holds what all states of an exploration share.
type explorer struct {
	programs map[string]*program
	cache    map[[2]string]*parsed
	plan     *plan
}

// parsed is the result of Read.
type parsed struct {
	set *Set
	err error
}

func nodeName(i int) string { return string(rune('a' + i)) }

// parse returns what Read returns for a text in a program. Planted faults have no effect on it.
func (x *explorer) parse(p *program, text []byte) *parsed {
	key := [2]string{p.name, string(text)}
	r := x.cache[key]
	if r == nil {
		r = new(parsed)
		r.set, r.err = Read([]byte(key[1]), p.settings)
		x.cache[key] = r
	}
	return r
}

// reader returns the read function of a node's Core, with the fault digestOfText if it is planted.
func (w *worldState) reader(n *simNode) func([]byte) (*Set, error) {
	return func(text []byte) (*Set, error) {
		r := w.explorer.parse(n.program, text)
		if r.err == nil && w.plan.digestOfText {
			set := *r.set
			set.Digest = fmt.Sprintf("%x", sha256.Sum256(text))[:8]
			return &set, nil
		}
		return r.set, r.err
	}
}

// clone returns an independent copy. It has no answers to floor queries, as no node of the model sends such
// queries.
func (c *Core) clone() *Core {
	if c == nil {
		return nil
	}
	d := *c
	d.floorAnswers, d.activated, d.activating = nil, maps.Clone(c.activated), maps.Clone(c.activating)
	d.floorAnswers, d.retryActivation = make(map[Peer]bool), slices.Clone(c.retryActivation)
	if c.push != nil {
		p := *c.push
		p.members = make(map[Peer]*progress)
		for peer, g := range c.push.members {
			h := *g
			p.members[peer] = &h
		}
		d.push = &p
	}
	return &d
}

// clone returns an independent copy.
func (w *worldState) clone() *worldState {
	d := *w
	for i, n := range w.nodes {
		m := *n
		m.core, m.disk, m.refused, m.unsynced = n.core.clone(), maps.Clone(n.disk), maps.Clone(n.refused), maps.Clone(n.unsynced)
		if m.core != nil {
			m.core.parse = d.reader(&m)
		}
		d.nodes[i] = &m
	}
	d.net, d.proposals, d.offered, d.digests = slices.Clone(w.net), slices.Clone(w.proposals), slices.Clone(w.offered), maps.Clone(w.digests)
	return &d
}

func sortedPeers(m map[Peer]bool) string {
	return fmt.Sprint(slices.SortedFunc(maps.Keys(m), comparePeers))
}

func comparePeers(a, b Peer) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start))
}

func floorText(f Floor) string { return fmt.Sprintf("%d.%.4s.%d", f.Version, f.Digest, f.Token) }

// key returns a hash that identifies the state.
func (w *worldState) key() [16]byte {
	var b strings.Builder
	for _, n := range w.nodes {
		fmt.Fprintf(&b, "|%v,%d,%d,%d,%s,%v", n.disk, n.fence, n.start, n.maxInForce, n.program.name, n.refused)
		fmt.Fprint(&b, n.view)
		if c := n.core; c != nil {
			fmt.Fprint(&b, floorText(c.floor.Floor), c.floor.text != nil, floorText(c.staged.Floor), c.inForce != nil, c.barredReason != "", c.digestDiffers, c.token,
				floorText(c.lastEntry), c.entryText != nil, sortedPeers(c.activated), sortedPeers(c.activating), c.staleKeys, c.lastPushID, c.latestPush, c.retryActivation)
			if c.proposed != nil {
				fmt.Fprint(&b, "e", floorText(*c.proposed))
			}
			if c.push != nil {
				fmt.Fprint(&b, "p", c.push.id, c.push.set.Version, c.push.set.Digest)
				for _, p := range slices.SortedFunc(maps.Keys(c.push.members), comparePeers) {
					fmt.Fprint(&b, p, *c.push.members[p])
				}
			}
		}
	}
	lines := make([]string, 0, len(w.net))
	for _, m := range w.net {
		lines = append(lines, fmt.Sprint(m.Kind, m.Answer, m.From, m.To, m.Token, m.Push, m.Version, m.Digest, len(m.Text), m.Floor.Version))
	}
	slices.Sort(lines)
	fmt.Fprint(&b, lines, w.proposals, w.entry, w.holder, w.token, w.crashes, w.passes, w.offered, w.digests)
	sum := sha256.Sum256([]byte(b.String()))
	return [16]byte(sum[:16])
}

// fail records the first violation.
func (w *worldState) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// liveMembers returns the nodes that are running, as an up-to-date membership shows them.
func (w *worldState) liveMembers() (all []Member) {
	for i, n := range w.nodes {
		if n.core != nil {
			all = append(all, Member{Peer: Peer{nodeName(i), n.start}})
		}
	}
	return all
}

// startNode starts or restarts a node.
func (w *worldState) startNode(i int, p string) {
	n := w.nodes[i]
	n.start++
	n.program, n.refused, n.unsynced = w.explorer.programs[p], make(map[string]uint64), nil
	kept := make(map[string][]byte)
	for key, v := range n.disk {
		if !w.plan.floorNotRead || !strings.HasPrefix(key, "floor-") {
			kept[key] = []byte(v)
		}
	}
	n.core = NewCore(Peer{nodeName(i), n.start}, kept, false, w.reader(n))
	n.core.EndFloorWait() // no peer answers
	if set := n.core.InForce(); set != nil {
		w.checkInForce(i, set, n.core.digestDiffers)
	}
	if v := n.maxInForce; v > 0 && n.core.barredReason == "" && (n.core.InForce() == nil || n.core.InForce().Version < v) {
		w.fail("%s starts with %v in force, after %d", nodeName(i), n.core.InForce(), v)
	}
}

// checkInForce checks a set that takes effect at node i.
func (w *worldState) checkInForce(i int, set *Set, differs bool) {
	n := w.nodes[i]
	if set.Version < n.maxInForce {
		w.fail("%s: version %d is in force after %d", nodeName(i), set.Version, n.maxInForce)
	}
	n.maxInForce = set.Version
	durable := false
	for key := range n.disk {
		durable = durable || strings.HasPrefix(key, fmt.Sprintf("floor-%020d", set.Version))
	}
	if !durable {
		w.fail("%s: version %d is in force, and its floor is not durable", nodeName(i), set.Version)
	}
	meaning := w.explorer.parse(n.program, set.Text).set.Digest
	if differs { // the node reports that its digest differs
		return
	}
	if first, ok := w.digests[set.Version]; !ok {
		w.digests[set.Version] = meaning
	} else if first != meaning {
		w.fail("%s: version %d is in force with digest %s, and elsewhere with %s", nodeName(i), set.Version, meaning, first)
	}
}

// execute does the work that a Core requests and returns the number of steps. The node crashes after crashAt steps
// if there are that many; -1: it does not crash.
func (w *worldState) execute(i int, r Ready, crashAt int) (steps int) {
	n := w.nodes[i]
	for _, write := range r.Writes {
		if steps == crashAt {
			w.kill(i)
			return steps
		}
		steps++
		into := n.disk
		if w.plan.floorNotSynced && strings.HasPrefix(write.Key, "floor-") {
			if n.unsynced == nil {
				n.unsynced = make(map[string]string)
			}
			into = n.unsynced
		}
		if write.Value == nil {
			delete(into, write.Key)
		} else {
			into[write.Key] = string(write.Value)
		}
	}
	if r.Activate != nil {
		if steps == crashAt {
			w.kill(i)
			return steps
		}
		steps++
		w.checkInForce(i, r.Activate, n.core.pending.digestDiffers)
		if steps == crashAt {
			w.kill(i)
			return steps
		}
	}
	n.core.Advance(nil)
	w.flush(i)
	return steps
}

// kill crashes a node.
func (w *worldState) kill(i int) {
	w.nodes[i].core = nil
	w.crashes--
}

// flush moves the messages of a Core to the network and its proposed entry to the voters.
func (w *worldState) flush(i int) {
	c := w.nodes[i].core
	for _, m := range c.TakeOutbox() {
		if m.Kind != ReportRefusals { // no node acts on it
			w.net = append(w.net, m)
		}
	}
	if f, ok := c.Proposed(); ok {
		if !slices.ContainsFunc(w.proposals, func(e proposal) bool { return e.from == c.self && e.floor == f }) {
			w.proposals = append(w.proposals, proposal{c.self, f, fmt.Sprint(w.nodes[i].view)})
		}
	}
}

// deliver removes a message from the network and passes it to the process of that name.
func (w *worldState) deliver(k, crashAt int) (steps int) {
	m := w.net[k]
	w.net = slices.Delete(w.net, k, k+1)
	i := int(m.To.Name[0] - 'a')
	n := w.nodes[i]
	switch {
	case n.core == nil || !n.core.Accepts(m):
		return 0
	case m.Answer != Question:
		n.core.SetMembers(n.view)
	case m.Kind == Check || m.Kind == Store || m.Kind == Activate:
		if m.Token < n.fence && !w.plan.fenceOff {
			return 0
		}
		n.fence = max(n.fence, m.Token)
	}
	r := n.core.Step(m)
	if a := n.core.pending; a != nil && a.answer != nil && a.answer.Answer == No && m.Kind == Check && w.explorer.parse(n.program, m.Text).err != nil {
		n.refused[string(m.Text)] = max(n.refused[string(m.Text)], m.Token)
	}
	return w.execute(i, r, crashAt)
}

// isObsolete reports whether a message can have no effect any more, whenever it arrives.
func (w *worldState) isObsolete(m Message) bool {
	n := w.nodes[m.To.Name[0]-'a']
	switch c := n.core; {
	case m.Answer == Question:
		return c != nil && !c.Accepts(m) && m.To.Start < n.start || (m.Kind == Check || m.Kind == Store || m.Kind == Activate) && m.Token < n.fence && !w.plan.fenceOff
	case c == nil || m.To.Start != n.start || m.Token != c.token:
		return m.Kind != QueryFloor
	case m.Floor.Version > c.lastEntry.Version:
		return false
	case m.Kind == Check || m.Kind == Store:
		return c.push == nil && m.Push <= c.lastPushID || m.Push < c.lastPushID
	}
	return false
}

// decideProposal has the voters decide a proposal.
func (w *worldState) decideProposal(k int) {
	a := w.proposals[k]
	w.proposals = slices.Delete(w.proposals, k, k+1)
	present := w.token
	if w.plan.fenceOff {
		present = a.floor.Token
	}
	i := int(a.from.Name[0] - 'a')
	n := w.nodes[i]
	next, err := w.entry.Apply(present, duty.Entry{Token: a.floor.Token, Version: a.floor.Version, Digest: a.floor.Digest})
	if err == nil && next != w.entry {
		w.checkEntered(a)
	}
	w.entry = next
	if n.core == nil || n.start != a.from.Start || n.core.proposed == nil || *n.core.proposed != a.floor {
		return
	}
	n.core.ProposalDecided(err)
	w.flush(i)
}

// checkEntered checks a new entry: each member that was present for it must have stored the document, be able to
// read it and compute the same digest, and no running member may have refused it.
func (w *worldState) checkEntered(e proposal) {
	f := e.floor
	var text []byte
	for _, n := range w.nodes {
		if raw, ok := n.disk[setKey(f)]; ok {
			text = []byte(raw)
		}
	}
	if text == nil {
		w.fail("version %d is entered, and no node has its document", f.Version)
		return
	}
	for i, n := range w.nodes {
		if n.core == nil {
			continue
		}
		if n.refused[string(text)] >= f.Token {
			w.fail("version %d is entered, and %s, which is present, had refused it", f.Version, nodeName(i))
		}
		if !e.saw(n.core.self) {
			continue // it joined later
		}
		r := w.explorer.parse(n.program, text)
		if _, has := n.disk[setKey(f)]; !has || r.err != nil {
			w.fail("version %d is entered, and %s, which is present, has it: %v, reads it: %v", f.Version, nodeName(i), has, r.err)
		}
		for j, o := range w.nodes {
			if other := w.explorer.parse(o.program, text); o.core != nil && e.saw(o.core.self) && r.err == nil && other.err == nil && other.set.Digest != r.set.Digest {
				w.fail("version %d is entered, with one meaning at %s and another at %s", f.Version, nodeName(i), nodeName(j))
			}
		}
	}
}

// forEachSuccessor calls yield with each state that may follow this one.
func (w *worldState) forEachSuccessor(yield func(what string, to *worldState)) {
	branch := func(what string, act func(d *worldState)) {
		d := w.clone()
		act(d)
		yield(what, d)
	}
	seen := make(map[string]bool)
	toSelf := slices.IndexFunc(w.net, func(m Message) bool { return m.From == m.To }) // a Node handles its messages to itself before anything else
	for k, m := range w.net {
		if toSelf >= 0 && k != toSelf {
			continue
		}
		what := fmt.Sprintf("%v.%v of %v reaches %s", m.Kind, m.Answer, m.From, m.To.Name)
		if id := fmt.Sprint(what, m.Token, m.Push, m.Version, m.Digest, len(m.Text)); seen[id] {
			continue
		} else {
			seen[id] = true
		}
		steps := 0
		branch(what, func(d *worldState) { steps = d.deliver(k, -1) })
		if w.crashes > 0 && w.plan.permits(w.plan.mayCrash, m.To.Name) {
			for crashAt := range steps + 1 {
				if steps > 0 {
					branch(fmt.Sprintf("%s and crashes after %d steps", what, crashAt), func(d *worldState) { d.deliver(k, crashAt) })
				}
			}
		}
		if w.plan.silenceIsYes && m.Answer == Question && (m.Kind == Check || m.Kind == Store) {
			branch(what+", but is lost and counts as agreement", func(d *worldState) {
				d.net = slices.Delete(d.net, k, k+1)
				m.Answer, m.From, m.To = Yes, m.To, m.From
				d.net = append(d.net, m)
			})
		}
	}
	if toSelf >= 0 {
		return
	}
	for k, a := range w.proposals {
		branch(fmt.Sprintf("%v enters %d", a.from, a.floor.Version), func(d *worldState) { d.decideProposal(k) })
	}
	for i, n := range w.nodes {
		if n.core == nil {
			branch(nodeName(i)+" starts", func(d *worldState) { d.startNode(i, w.plan.restartPrograms[i]) })
			continue
		}
		if w.crashes > 0 && w.plan.permits(w.plan.mayCrash, nodeName(i)) {
			branch(nodeName(i)+" crashes", func(d *worldState) { d.kill(i) })
		}
		if n.core.token != 0 {
			if live := w.liveMembers(); !slices.Equal(live, n.view) {
				branch(nodeName(i)+" polls its members", func(d *worldState) {
					d.nodes[i].view = live
					d.nodes[i].core.SetMembers(live)
					d.flush(i)
				})
			}
			if n.core.push != nil && n.core.proposed == nil {
				branch(nodeName(i)+" expires its push", func(d *worldState) { d.nodes[i].core.ExpirePush(d.nodes[i].core.push.id); d.flush(i) })
			}
			for k, doc := range w.plan.docs {
				if w.offered[k] {
					continue
				}
				branch(fmt.Sprintf("%s is offered document %d", nodeName(i), k), func(d *worldState) {
					d.offered[k] = true
					c := d.nodes[i].core
					c.Step(Message{Kind: Offer, From: c.self, To: c.self, Text: []byte(doc)})
					c.pending = nil // the answer goes to the process that offers the document
					d.flush(i)
				})
			}
		}
		if w.passes > 0 && w.holder != n.core.self && w.plan.permits(w.plan.mayAcquire, nodeName(i)) {
			branch("the duty passes to "+nodeName(i), func(d *worldState) { d.passes--; d.holder = n.core.self; d.token++ })
		}
		if w.holder == n.core.self && n.core.token != w.token { // the previous holder still believes that it holds the duty
			branch(nodeName(i)+" learns that it holds the duty", func(d *worldState) {
				d.nodes[i].view = d.liveMembers()
				c := d.nodes[i].core
				c.SetMembers(d.nodes[i].view)
				c.AcquireDuty(d.token, Floor{d.entry.Version, d.entry.Digest, d.entry.Token})
				d.flush(i)
			})
		}
	}
}

// explore visits the states of a plan until all are visited, the limit is reached or an invariant is violated.
// triples counts the states by the highest versions in force at the three nodes; trace is the sequence of
// events that leads to a violation.
func explore(p plan) (states int, complete bool, triples map[string]int, violation string, trace []string) {
	x := &explorer{programs: programs(), cache: make(map[[2]string]*parsed), plan: &p}
	w := &worldState{plan: &p, explorer: x, crashes: p.crashes, passes: p.passes, token: 1, holder: Peer{"a", 1}, offered: make([]bool, len(p.docs)), digests: make(map[uint64]string)}
	for i := range w.nodes {
		w.nodes[i] = &simNode{disk: make(map[string]string)}
		w.startNode(i, p.programs[i])
	}
	type step struct {
		from int
		what string
	}
	steps := []step{{-1, "begin"}}
	queue := []*worldState{w}
	visited := map[[16]byte]bool{w.key(): true}
	triples = make(map[string]int)
	n := 0
	for ; n < len(queue) && (p.maxStates == 0 || n < p.maxStates); n++ {
		state := queue[n]
		queue[n] = nil
		if state.violation != "" {
			for k := n; k >= 0; k = steps[k].from {
				trace = append(trace, steps[k].what)
			}
			slices.Reverse(trace)
			return len(visited), false, triples, state.violation, trace
		}
		var highs [3]uint64
		for i, node := range state.nodes {
			highs[i] = node.maxInForce
		}
		triples[fmt.Sprint(highs)]++
		state.forEachSuccessor(func(what string, to *worldState) {
			to.net = slices.DeleteFunc(to.net, to.isObsolete)
			if key := to.key(); !visited[key] {
				visited[key] = true
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

func allNodes(name string) [3]string { return [3]string{name, name, name} }

// plans returns the budgets to explore, and larger ones with -deep.
func plans() map[string]plan {
	all := map[string]plan{
		"two versions, one crash":         {docs: []string{doc1a, doc2}, programs: allNodes("new"), restartPrograms: allNodes("new"), crashes: 1, maxStates: 20_000},
		"one version, two bodies, a pass": {docs: []string{doc1a, doc1b}, programs: allNodes("new"), restartPrograms: allNodes("new"), passes: 1},
		"an old program comes back, a pass": {docs: []string{doc2, doc2}, programs: allNodes("new"), restartPrograms: [3]string{"new", "new", "old"},
			crashes: 1, passes: 1, mayCrash: "c", mayAcquire: "b", maxStates: 30_000},
		"one program means something else": {docs: []string{doc1a}, programs: [3]string{"new", "new", "skewed"}, restartPrograms: [3]string{"new", "new", "skewed"}, crashes: 1},
		"an old program is present":        {docs: []string{doc1a, doc2}, programs: [3]string{"new", "new", "old"}, restartPrograms: [3]string{"new", "new", "old"}},
	}
	if *deepStates > 0 {
		for what, p := range all {
			p.maxStates = *deepStates
			all[what] = p
		}
		all["two versions, two crashes"] = plan{docs: []string{doc1a, doc2}, programs: allNodes("new"), restartPrograms: allNodes("new"), crashes: 2, maxStates: *deepStates}
		all["two versions, a crash and a pass"] = plan{docs: []string{doc1a, doc2}, programs: allNodes("new"), restartPrograms: allNodes("new"), crashes: 1, passes: 1, maxStates: *deepStates}
		all["two bodies, two passes"] = plan{docs: []string{doc1a, doc1b}, programs: allNodes("new"), restartPrograms: allNodes("new"), passes: 2, maxStates: *deepStates}
	}
	return all
}

// No invariant is violated in any order of events that the plans allow.
func TestAllOrders(t *testing.T) {
	for what, p := range plans() {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			states, complete, triples, violation, trace := explore(p)
			if violation != "" {
				t.Fatalf("%s\n%s", violation, strings.Join(trace, "\n"))
			}
			t.Logf("%d states, all of them: %v; by the versions that were in force: %v", states, complete, triples)
			if complete && p.crashes+p.passes > 0 && what != "an old program comes back, a pass" && triples["[1 1 1]"] == 0 {
				t.Error("version 1 was in force at all three nodes in no state: the exploration proves nothing")
			}
		})
	}
}

// The explorer finds each planted fault, so that its checks are known to work.
func TestPlantedFaults(t *testing.T) {
	for what, c := range map[string]struct {
		of    string
		plant func(p *plan)
		want  string
	}{
		"the floor is not synced":        {"two versions, one crash", func(p *plan) { p.floorNotSynced = true }, "its floor is not durable"},
		"the floor is not read":          {"two versions, one crash", func(p *plan) { p.floorNotRead = true }, "starts with"},
		"the fence is off":               {"an old program comes back, a pass", func(p *plan) { p.fenceOff = true }, "had refused it"},
		"the digest is that of the text": {"one program means something else", func(p *plan) { p.digestOfText = true }, "another at"},
		"no answer counts as agreement":  {"an old program is present", func(p *plan) { p.silenceIsYes = true }, "which is present, has it: false"},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			p := plans()[c.of]
			c.plant(&p)
			states, _, _, violation, trace := explore(p)
			if !strings.Contains(violation, c.want) {
				t.Fatalf("not found in %d states; violation found: %q", states, violation)
			}
			t.Logf("found after %d states: %s\n%s", states, violation, strings.Join(trace, "\n"))
		})
	}
}
