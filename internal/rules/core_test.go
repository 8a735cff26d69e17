package rules

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"
)

// cluster is Cores that hear each other at once, for single cases; the explorer has the orders.
type cluster struct {
	t      *testing.T
	cores  map[string]*Core
	disks  map[string]map[string][]byte
	full   map[string]bool // disks
	cut    map[string]bool
	fullAt string // no disk has room for keys that begin so
	start  uint64
	steps  int
	entry  Floor
}

func newCluster(t *testing.T, names ...string) *cluster {
	c := &cluster{t: t, cores: make(map[string]*Core), disks: make(map[string]map[string][]byte), full: make(map[string]bool), cut: make(map[string]bool)}
	for _, name := range names {
		c.begin(name, false)
	}
	return c
}

func (c *cluster) begin(name string, damaged bool) *Core {
	c.start++
	if c.disks[name] == nil {
		c.disks[name] = make(map[string][]byte)
	}
	core := NewCore(Peer{name, c.start}, maps.Clone(c.disks[name]), damaged, func(text []byte) (*Set, error) { return Read(text, settings(2)) })
	c.cores[name] = core
	return core
}

func (c *cluster) all() (all []Member) {
	for name, core := range c.cores {
		all = append(all, Member{core.self, c.cut[name]})
	}
	return all
}

// step gives a message to whom it is for, and all that follows from it.
func (c *cluster) step(m Message) {
	core := c.cores[m.To.Name]
	if core == nil || !core.Mine(m) || c.cut[m.To.Name] || c.cut[m.From.Name] {
		return
	}
	if m.Answer != Question {
		core.Members(c.all())
	}
	c.carry(core, core.Step(m))
}

func (c *cluster) carry(core *Core, r Ready) {
	var err error
	for _, w := range r.Writes {
		if c.full[core.self.Name] && w.Value != nil || c.fullAt != "" && strings.HasPrefix(w.Key, c.fullAt) {
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

func (c *cluster) flush(core *Core) {
	if c.steps++; c.steps > 1000 {
		c.t.Fatal("they talk for ever")
	}
	for _, m := range core.Outbox() {
		c.step(m)
	}
	if f, due := core.Entering(); due {
		c.entry = f
		core.Entered(nil)
		c.flush(core)
	}
}

func (c *cluster) hold(name string) {
	c.start++
	core := c.cores[name]
	core.Members(c.all())
	core.Hold(c.start, c.entry)
	c.flush(core)
}

func (c *cluster) offer(to, text string) {
	core := c.cores[to]
	c.step(Message{Kind: Offer, From: Peer{"x", 1}, To: core.self, Text: []byte(text)})
	core.Members(c.all())
	c.flush(core)
}

// are says what is in force at each; 0 is the settings, -1 that nothing is served.
func (c *cluster) are(want map[string]int) {
	c.t.Helper()
	got := make(map[string]int)
	for name, core := range c.cores {
		if _, serves := core.Serves(); !serves && !core.asking {
			got[name] = -1
		} else if set := core.InForce(); set != nil {
			got[name] = int(set.Version)
		} else {
			got[name] = 0
		}
	}
	if !maps.Equal(got, want) {
		c.t.Errorf("in force: %v, not %v; refused: %v", got, want, c.cores["a"].refused)
	}
}

func (c *cluster) refusedBy(name, why string) {
	c.t.Helper()
	for at, core := range c.cores {
		if text := fmt.Sprint(core.refused); !c.cut[at] && (!strings.Contains(text, " "+name+" ") || !strings.Contains(text, why)) {
			c.t.Errorf("at %s: %q names no %s with %s", at, text, name, why)
		}
	}
}

func TestCases(t *testing.T) {
	both := "form=1\nversion=2\nattempts=1\n"
	for what, play := range map[string]func(c *cluster){
		"one after another": func(c *cluster) {
			c.offer("a", doc1a)
			c.are(map[string]int{"a": 1, "b": 1, "c": 1})
			c.offer("a", doc2)
			c.are(map[string]int{"a": 2, "b": 2, "c": 2})
			for name, disk := range c.disks {
				if len(disk) != 2 {
					c.t.Errorf("%s keeps %d values of two versions", name, len(disk))
				}
			}
			c.offer("a", doc1a) // an old file
			c.are(map[string]int{"a": 2, "b": 2, "c": 2})
		},
		"a full disk refuses": func(c *cluster) {
			c.full["c"] = true
			c.offer("a", doc1a)
			c.are(map[string]int{"a": 0, "b": 0, "c": 0})
			c.refusedBy("c", "no space")
			c.full["c"] = false
			c.offer("a", doc1a)
			c.are(map[string]int{"a": 1, "b": 1, "c": 1})
		},
		"a disk is full between stored and in force": func(c *cluster) {
			c.fullAt = "floor-"
			c.offer("a", doc1a)
			c.are(map[string]int{"a": 0, "b": 0, "c": 0})
			c.fullAt = ""
			c.cores["a"].Retry()
			c.flush(c.cores["a"])
			c.are(map[string]int{"a": 1, "b": 1, "c": 1})
		},
		"a silent member refuses, and hears of it later": func(c *cluster) {
			c.cut["c"] = true
			c.offer("a", doc1a)
			c.are(map[string]int{"a": 0, "b": 0, "c": 0})
			c.cores["a"].Expire(c.cores["a"].Pushing())
			c.flush(c.cores["a"])
			c.refusedBy("c", "no answer, it is silent")
			c.offer("a", "without=['c']\n"+doc1a)
			c.are(map[string]int{"a": 1, "b": 1, "c": 0})
			c.cut["c"] = false
			c.cores["a"].Lost(Message{Kind: Force, To: c.cores["c"].self})
			c.cores["a"].Members(c.all())
			c.flush(c.cores["a"])
			c.are(map[string]int{"a": 1, "b": 1, "c": -1})
			c.offer("a", both)
			c.are(map[string]int{"a": 2, "b": 2, "c": 2})
		},
		"a later joiner": func(c *cluster) {
			c.offer("a", doc1a)
			c.begin("d", false)
			c.cores["a"].Members(c.all())
			c.flush(c.cores["a"])
			c.are(map[string]int{"a": 1, "b": 1, "c": 1, "d": 1})
		},
		"a lost state, told by a peer": func(c *cluster) {
			c.offer("a", doc1a)
			c.disks["c"] = nil
			core := c.begin("c", false)
			if _, serves := core.Serves(); serves {
				c.t.Error("it serves before it has asked")
			}
			c.step(core.Question(c.cores["b"].self))
			c.flush(core)
			if answers, asking := core.Asking(); !asking || answers != 1 {
				c.t.Error("it has settled by itself")
			}
			core.Settle()
			c.are(map[string]int{"a": 1, "b": 1, "c": 1})
		},
		"a lost document, told by the holder": func(c *cluster) {
			c.offer("a", doc1a)
			maps.DeleteFunc(c.disks["c"], func(key string, _ []byte) bool { return strings.HasPrefix(key, "set-") })
			c.begin("c", true).Settle()
			c.are(map[string]int{"a": 1, "b": 1, "c": -1}) // not by the settings
			c.cores["a"].Members(c.all())
			c.flush(c.cores["a"])
			c.are(map[string]int{"a": 1, "b": 1, "c": 1})
		},
		"a damaged floor": func(c *cluster) {
			c.offer("a", doc1a)
			for key := range c.disks["c"] {
				if strings.HasPrefix(key, "floor-") {
					c.disks["c"][key] = bytes.Repeat([]byte{'x'}, 9)
				}
			}
			if _, serves := c.begin("c", false).Serves(); serves {
				c.t.Error("it serves")
			}
		},
		"the next holder has not the document": func(c *cluster) {
			c.offer("a", doc1a)
			c.disks["b"] = nil
			c.begin("b", false).Settle()
			c.hold("b")
			c.are(map[string]int{"a": 1, "b": 1, "c": 1})
		},
		"the voters have lost their disks": func(c *cluster) {
			c.offer("a", doc1a)
			was := c.entry
			c.entry = Floor{}
			c.hold("b")
			if !c.entry.same(was) {
				c.t.Errorf("entered %v, before %v", c.entry, was)
			}
			c.offer("b", doc1b)
			c.are(map[string]int{"a": 1, "b": 1, "c": 1})
			c.entry = Floor{} // and the holder is a node without floor
			c.begin("d", false).Settle()
			c.hold("d")
			c.offer("d", doc1b)
			c.offer("d", doc1b)
			c.are(map[string]int{"a": 1, "b": 1, "c": 1, "d": 1})
		},
		"another process of the node has a higher floor": func(c *cluster) {
			c.offer("a", doc1a)
			core := c.cores["b"]
			for _, f := range []Floor{{1, "other", 9}, {0, "", 9}} {
				if r := core.Follow(f, []byte(doc2)); len(r.Writes) > 0 {
					c.t.Errorf("it follows %v", f)
				}
			}
			set, _ := Read([]byte(doc2), settings(2))
			c.carry(core, core.Follow(Floor{2, set.Digest, 9}, []byte(doc2)))
			c.are(map[string]int{"a": 1, "b": 2, "c": 1})
		},
	} {
		t.Run(what, func(t *testing.T) {
			c := newCluster(t, "a", "b", "c")
			for _, core := range c.cores {
				core.Settle()
			}
			c.hold("a")
			play(c)
		})
	}
}
