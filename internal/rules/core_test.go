package rules

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"
)

// cluster runs Cores whose messages are delivered at once and in one order. The explorer covers other orders.
type cluster struct {
	t             *testing.T
	cores         map[string]*Core
	disks         map[string]map[string][]byte
	fullDisks     map[string]bool // members whose disk has no space
	unreachable   map[string]bool
	fullForPrefix string // no disk has space for keys with this prefix
	lastStart     uint64
	steps         int
	lastEntry     Floor
}

func newCluster(t *testing.T, names ...string) *cluster {
	c := &cluster{t: t, cores: make(map[string]*Core), disks: make(map[string]map[string][]byte), fullDisks: make(map[string]bool), unreachable: make(map[string]bool)}
	for _, name := range names {
		c.startNode(name, false)
	}
	return c
}

// startNode starts or restarts a member with the contents of its disk.
func (c *cluster) startNode(name string, damaged bool) *Core {
	c.lastStart++
	if c.disks[name] == nil {
		c.disks[name] = make(map[string][]byte)
	}
	core := NewCore(Peer{name, c.lastStart}, maps.Clone(c.disks[name]), damaged, func(text []byte) (*Set, error) { return Read(text, settings(2)) })
	c.cores[name] = core
	return core
}

// members returns all members, of which the unreachable ones are silent.
func (c *cluster) members() (all []Member) {
	for name, core := range c.cores {
		all = append(all, Member{core.self, c.unreachable[name]})
	}
	return all
}

// deliver passes a message to its addressee, and then all messages that follow from it.
func (c *cluster) deliver(m Message) {
	core := c.cores[m.To.Name]
	if core == nil || !core.Accepts(m) || c.unreachable[m.To.Name] || c.unreachable[m.From.Name] {
		return
	}
	if m.Answer != Question {
		core.SetMembers(c.members())
	}
	c.execute(core, core.Step(m))
}

// execute does the work that a Core requests, unless the disk is full, and reports the result to the Core.
func (c *cluster) execute(core *Core, r Ready) {
	var err error
	for _, w := range r.Writes {
		if c.fullDisks[core.self.Name] && w.Value != nil || c.fullForPrefix != "" && strings.HasPrefix(w.Key, c.fullForPrefix) {
			err = errors.New("no space")
			break
		}
		if w.Value == nil {
			delete(c.disks[core.self.Name], w.Key)
		} else {
			c.disks[core.self.Name][w.Key] = w.Value
		}
	}
	core.Advance(err)
	c.flush(core)
}

// flush delivers the messages of a Core and accepts its proposed entry.
func (c *cluster) flush(core *Core) {
	if c.steps++; c.steps > 1000 {
		c.t.Fatal("the exchange of messages does not end")
	}
	for _, m := range core.TakeOutbox() {
		c.deliver(m)
	}
	if f, due := core.Proposed(); due {
		c.lastEntry = f
		core.ProposalDecided(nil)
		c.flush(core)
	}
}

// acquireDuty assigns the duty to a member, with a new token.
func (c *cluster) acquireDuty(name string) {
	c.lastStart++
	core := c.cores[name]
	core.SetMembers(c.members())
	core.AcquireDuty(c.lastStart, c.lastEntry)
	c.flush(core)
}

// offer offers a document to the holder.
func (c *cluster) offer(to, text string) {
	core := c.cores[to]
	c.deliver(Message{Kind: Offer, From: Peer{"x", 1}, To: core.self, Text: []byte(text)})
	core.SetMembers(c.members())
	c.flush(core)
}

// wantInForce checks the version in force at each member; 0 means the settings, -1 that the member does not serve.
func (c *cluster) wantInForce(want map[string]int) {
	c.t.Helper()
	got := make(map[string]int)
	for name, core := range c.cores {
		if _, serves := core.Serves(); !serves && !core.awaitingFloors {
			got[name] = -1
		} else if set := core.InForce(); set != nil {
			got[name] = int(set.Version)
		} else {
			got[name] = 0
		}
	}
	if !maps.Equal(got, want) {
		c.t.Errorf("in force: %v, want %v; refusals: %v", got, want, c.cores["a"].refusals)
	}
}

// wantRefusal checks that every reachable member knows of a refusal by name with a reason that contains why.
func (c *cluster) wantRefusal(name, why string) {
	c.t.Helper()
	for at, core := range c.cores {
		if text := fmt.Sprint(core.refusals); !c.unreachable[at] && (!strings.Contains(text, " "+name+" ") || !strings.Contains(text, why)) {
			c.t.Errorf("at %s: the refusals %q do not name %s with %s", at, text, name, why)
		}
	}
}

// Each case of the protocol is played in one order of messages.
func TestPushCases(t *testing.T) {
	both := "form=1\nversion=2\nattempts=1\n"
	for what, play := range map[string]func(c *cluster){
		"versions in sequence": func(c *cluster) {
			c.offer("a", doc1a)
			c.wantInForce(map[string]int{"a": 1, "b": 1, "c": 1})
			c.offer("a", doc2)
			c.wantInForce(map[string]int{"a": 2, "b": 2, "c": 2})
			for name, disk := range c.disks {
				if len(disk) != 2 {
					c.t.Errorf("%s stores %d values, want the floor and its document", name, len(disk))
				}
			}
			c.offer("a", doc1a) // an outdated file is refused
			c.wantInForce(map[string]int{"a": 2, "b": 2, "c": 2})
		},
		"a member with a full disk refuses": func(c *cluster) {
			c.fullDisks["c"] = true
			c.offer("a", doc1a)
			c.wantInForce(map[string]int{"a": 0, "b": 0, "c": 0})
			c.wantRefusal("c", "no space")
			c.fullDisks["c"] = false
			c.offer("a", doc1a)
			c.wantInForce(map[string]int{"a": 1, "b": 1, "c": 1})
		},
		"the disks become full before the floor is stored": func(c *cluster) {
			c.fullForPrefix = "floor-"
			c.offer("a", doc1a)
			c.wantInForce(map[string]int{"a": 0, "b": 0, "c": 0})
			c.fullForPrefix = ""
			c.cores["a"].RetryActivations()
			c.flush(c.cores["a"])
			c.wantInForce(map[string]int{"a": 1, "b": 1, "c": 1})
		},
		"a silent member makes the push fail and is activated later": func(c *cluster) {
			c.unreachable["c"] = true
			c.offer("a", doc1a)
			c.wantInForce(map[string]int{"a": 0, "b": 0, "c": 0})
			c.cores["a"].ExpirePush(c.cores["a"].PushID())
			c.flush(c.cores["a"])
			c.wantRefusal("c", "no answer, it is silent")
			c.offer("a", "without=['c']\n"+doc1a)
			c.wantInForce(map[string]int{"a": 1, "b": 1, "c": 0})
			c.unreachable["c"] = false
			c.cores["a"].AnswerLost(Message{Kind: Activate, To: c.cores["c"].self})
			c.cores["a"].SetMembers(c.members())
			c.flush(c.cores["a"])
			c.wantInForce(map[string]int{"a": 1, "b": 1, "c": -1})
			c.offer("a", both)
			c.wantInForce(map[string]int{"a": 2, "b": 2, "c": 2})
		},
		"a member that joins later": func(c *cluster) {
			c.offer("a", doc1a)
			c.startNode("d", false)
			c.cores["a"].SetMembers(c.members())
			c.flush(c.cores["a"])
			c.wantInForce(map[string]int{"a": 1, "b": 1, "c": 1, "d": 1})
		},
		"a lost state, recovered from a peer": func(c *cluster) {
			c.offer("a", doc1a)
			c.disks["c"] = nil
			core := c.startNode("c", false)
			if _, serves := core.Serves(); serves {
				c.t.Error("it serves before it has asked its peers")
			}
			c.deliver(core.FloorQuestion(c.cores["b"].self))
			c.flush(core)
			if answers, asking := core.FloorWait(); !asking || answers != 1 {
				c.t.Error("it does not wait for EndFloorWait")
			}
			core.EndFloorWait()
			c.wantInForce(map[string]int{"a": 1, "b": 1, "c": 1})
		},
		"a lost document, recovered from the holder": func(c *cluster) {
			c.offer("a", doc1a)
			maps.DeleteFunc(c.disks["c"], func(key string, _ []byte) bool { return strings.HasPrefix(key, "set-") })
			c.startNode("c", true).EndFloorWait()
			c.wantInForce(map[string]int{"a": 1, "b": 1, "c": -1}) // c must not fall back to the settings
			c.cores["a"].SetMembers(c.members())
			c.flush(c.cores["a"])
			c.wantInForce(map[string]int{"a": 1, "b": 1, "c": 1})
		},
		"a damaged floor": func(c *cluster) {
			c.offer("a", doc1a)
			for key := range c.disks["c"] {
				if strings.HasPrefix(key, "floor-") {
					c.disks["c"][key] = bytes.Repeat([]byte{'x'}, 9)
				}
			}
			if _, serves := c.startNode("c", false).Serves(); serves {
				c.t.Error("it serves with a damaged floor")
			}
		},
		"the next holder does not have the document": func(c *cluster) {
			c.offer("a", doc1a)
			c.disks["b"] = nil
			c.startNode("b", false).EndFloorWait()
			c.acquireDuty("b")
			c.wantInForce(map[string]int{"a": 1, "b": 1, "c": 1})
		},
		"the voters have lost their disks": func(c *cluster) {
			c.offer("a", doc1a)
			was := c.lastEntry
			c.lastEntry = Floor{}
			c.acquireDuty("b")
			if !c.lastEntry.matches(was) {
				c.t.Errorf("entered %v, before %v", c.lastEntry, was)
			}
			c.offer("b", doc1b)
			c.wantInForce(map[string]int{"a": 1, "b": 1, "c": 1})
			c.lastEntry = Floor{} // now the holder is a node without a floor
			c.startNode("d", false).EndFloorWait()
			c.acquireDuty("d")
			c.offer("d", doc1b)
			c.offer("d", doc1b)
			c.wantInForce(map[string]int{"a": 1, "b": 1, "c": 1, "d": 1})
		},
		"another process of the node has a higher floor": func(c *cluster) {
			c.offer("a", doc1a)
			core := c.cores["b"]
			for _, f := range []Floor{{1, "other", 9}, {0, "", 9}} {
				if r := core.AdoptFloor(f, []byte(doc2)); len(r.Writes) > 0 {
					c.t.Errorf("it adopts %v", f)
				}
			}
			set, _ := Read([]byte(doc2), settings(2))
			c.execute(core, core.AdoptFloor(Floor{2, set.Digest, 9}, []byte(doc2)))
			c.wantInForce(map[string]int{"a": 1, "b": 2, "c": 1})
		},
	} {
		t.Run(what, func(t *testing.T) {
			c := newCluster(t, "a", "b", "c")
			for _, core := range c.cores {
				core.EndFloorWait()
			}
			c.acquireDuty("a")
			play(c)
		})
	}
}
