package member

import (
	"flag"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"
)

var (
	members = flag.Int("members", 30, "processes in the tests at scale")
	seeds   = flag.Int("seeds", 10, "runs of the test of random faults")
	probe   = flag.Duration("probe", 0, "time between two probes, in place of the default")
)

// At scale: all start within a second with three seeds; one is killed; nothing happens for a while; one in ten leaves.
// The figures are printed, and bounds well above them hold.
func TestAtScale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := *members
		f := newFleet(t, 1)
		defer f.end()
		f.expect = n
		f.probe = *probe
		for i := range n {
			f.begin(i)
			time.Sleep(time.Second / time.Duration(n))
		}
		right, agreed := f.settled(40 * time.Second)
		t.Logf("%d start within 1 s: all see all after %v, agree after %v", n, right, agreed)
		var first, last []time.Duration
		for k := range 5 {
			victim := n - 1 - k
			f.kill(victim)
			began, seen := time.Now(), make(map[int]bool)
			for len(seen) < len(f.live) {
				time.Sleep(20 * time.Millisecond)
				for i, g := range f.live {
					if !seen[i] && g.stateOf(name(victim)) != Present {
						if len(seen) == 0 {
							first = append(first, time.Since(began))
						}
						seen[i] = true
					}
				}
				if time.Since(began) > 10*time.Second {
					t.Fatalf("%d of %d have found out after 10 s", len(seen), len(f.live))
				}
			}
			last = append(last, time.Since(began))
			time.Sleep(2 * time.Second)
		}
		t.Logf("a kill is found out by the first after %v, by all after %v", first, last)
		f.settled(20 * time.Second)
		f.m.set(func() { f.m.packets, f.m.bytes = 0, 0 })
		const calm = 30 * time.Second
		numbers := make(map[int]uint64)
		for i, g := range f.live {
			numbers[i] = g.View().Number
		}
		time.Sleep(calm)
		for i, g := range f.live {
			if v := g.View(); v.Number != numbers[i] || !v.Agreed {
				t.Errorf("%s: view %d after a calm time, %d before; agreed %v", name(i), v.Number, numbers[i], v.Agreed)
			}
		}
		per := float64(len(f.live)) * calm.Seconds()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		t.Logf("calm: %.0f packets and %.0f bytes sent a second a member; %.0f kB of heap each", float64(f.m.packets)/per, float64(f.m.bytes)/per,
			float64(mem.HeapAlloc)/float64(len(f.live))/1024)
		for k := range max(1, n/10) {
			g := f.live[k]
			delete(f.live, k)
			go func() { g.SetPhase(Draining); time.Sleep(time.Second); g.Leave() }()
		}
		time.Sleep(2 * time.Second)
		right, agreed = f.settled(20 * time.Second)
		for i, g := range f.live {
			for _, m := range g.View().Members {
				if atoi(m.Name) < max(1, n/10) && m.State != Left {
					t.Errorf("%s: %s is %s, though it said that it leaves", name(i), m.Name, m.State)
				}
			}
		}
		t.Logf("one in ten leaves: all see it %v after the last, agree after %v", right, agreed)
	})
}

// Random faults, some at a time: kills, restarts, planned stops, cuts of any kind, losses. Once they end, all that live see all
// that live and agree, whatever came before; and the later process of each name.
func TestRandomFaults(t *testing.T) {
	var worst, worstAgreed time.Duration
	for seed := range *seeds {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, uint64(seed))
			defer f.end()
			f.probe = *probe
			rng := f.m.rng
			n := 5 + rng.IntN(8)
			for i := range n {
				f.begin(i)
			}
			log := ""
			for range 12 {
				i, j := 0, 0
				f.m.set(func() { i, j = rng.IntN(n), rng.IntN(n) })
				_, lives := f.live[i]
				switch k := (i + 7*j) % 8; {
				case k < 2 && lives && len(f.live) > 2:
					log += fmt.Sprintf(" kill %d", i)
					f.kill(i)
				case k == 2 && lives && len(f.live) > 2:
					log += fmt.Sprintf(" leave %d", i)
					f.leave(i)
				case !lives:
					log += fmt.Sprintf(" start %d", i)
					f.begin(i)
				case k < 5:
					log += fmt.Sprintf(" cut at %d", j)
					f.m.set(func() { f.m.cut = func(a, b int) bool { return (a < j) != (b < j) } })
				case k == 5:
					log += fmt.Sprintf(" one way from %d", j)
					f.m.set(func() { f.m.cut = func(a, b int) bool { return a == j } })
				case k == 6:
					log += " loss"
					f.m.set(func() { f.m.loss = 0.4 })
				default:
					log += " mend"
					f.m.set(func() { f.m.loss, f.m.cut = 0, func(int, int) bool { return false } })
				}
				time.Sleep(time.Duration(200+100*(i*j%60)) * time.Millisecond)
			}
			f.m.set(func() { f.m.loss, f.m.cut = 0, func(int, int) bool { return false } })
			defer func() {
				if t.Failed() {
					t.Logf("seed %d, %d processes:%s", seed, n, log)
				}
			}()
			right, agreed := f.settled(40 * time.Second)
			worst, worstAgreed = max(worst, right), max(worstAgreed, agreed)
		})
	}
	t.Logf("%d runs: all see all %v after the last fault at the most, and agree after %v", *seeds, worst, worstAgreed)
}

// states counts a view's members by their state.
func states(g *Group) map[State]int {
	all := make(map[State]int)
	for _, m := range g.View().Members {
		all[m.State]++
	}
	return all
}

// The hard cases, each by itself, in a fleet of six.
func TestHardCases(t *testing.T) {
	const n = 6
	for what, play := range map[string]func(t *testing.T, f *fleet){
		"halves for eleven minutes": func(t *testing.T, f *fleet) {
			f.m.set(func() { f.m.cut = func(a, b int) bool { return (a < 3) != (b < 3) } })
			time.Sleep(11 * time.Minute)
			for i, g := range f.live {
				if s := states(g); s[Present] != 3 || s[Silent] != 3 || s[Gone] != 0 {
					t.Errorf("%s on its side: %v", name(i), s)
				}
			}
			f.m.set(func() { f.m.cut = func(int, int) bool { return false } })
			f.settled(30 * time.Second)
		},
		"three parts": func(t *testing.T, f *fleet) {
			f.m.set(func() { f.m.cut = func(a, b int) bool { return a/2 != b/2 } })
			time.Sleep(time.Minute)
			for i, g := range f.live {
				if s := states(g); s[Present] != 2 || s[Silent] != 4 {
					t.Errorf("%s on its side: %v", name(i), s)
				}
			}
			f.m.set(func() { f.m.cut = func(int, int) bool { return false } })
			f.settled(30 * time.Second)
		},
		"halves with one on both sides": func(t *testing.T, f *fleet) {
			f.m.set(func() { f.m.cut = func(a, b int) bool { return (a < 3) != (b < 3) && a != 5 && b != 5 } })
			time.Sleep(time.Minute) // what is seen meanwhile is not promised
			if !slices.ContainsFunc(f.groups(), func(g *Group) bool { return !g.View().Agreed }) {
				t.Log("all agree: the one on both sides speaks for them")
			}
			f.m.set(func() { f.m.cut = func(int, int) bool { return false } })
			f.settled(30 * time.Second)
		},
		"a link that works one way": func(t *testing.T, f *fleet) {
			f.m.set(func() { f.m.cut = func(a, b int) bool { return a == 4 && b == 1 } })
			time.Sleep(time.Minute)
			for i, g := range f.live { // the others ask for those two
				if s := states(g); s[Present] != n {
					t.Errorf("%s: %v", name(i), s)
				}
			}
		},
		"nothing of one comes through": func(t *testing.T, f *fleet) {
			f.m.set(func() { f.m.cut = func(a, b int) bool { return a == 4 } })
			time.Sleep(time.Minute)
			if s := states(f.live[1]); s[Present] != n-1 || s[Silent] != 1 {
				t.Errorf("of the others one sees %v", s)
			}
			f.m.set(func() { f.m.cut = func(int, int) bool { return false } })
			f.settled(30 * time.Second)
		},
		"all packets lost, streams pass": func(t *testing.T, f *fleet) {
			f.m.set(func() { f.m.loss = 1 })
			time.Sleep(time.Minute)
			for i, g := range f.live {
				if s := states(g); s[Present] != n {
					t.Errorf("%s: %v", name(i), s)
				}
			}
			f.begin(n)
			f.kill(2)
			f.settled(2 * time.Minute)
		},
		"one in ten packets lost for five minutes": func(t *testing.T, f *fleet) {
			f.m.set(func() { f.m.loss = 0.1 })
			number := f.live[0].View().Number
			time.Sleep(5 * time.Minute)
			if v := f.live[0].View(); v.Number != number || v.Present != n {
				t.Errorf("view %d with %d, %d before", v.Number, v.Present, number)
			}
		},
		"two in five packets lost": func(t *testing.T, f *fleet) {
			f.m.set(func() { f.m.loss = 0.4 })
			time.Sleep(time.Minute)
			f.settled(30 * time.Second)
		},
		"flapping every two seconds": func(t *testing.T, f *fleet) {
			for range 15 {
				f.kill(4)
				time.Sleep(2 * time.Second)
				f.begin(4)
				time.Sleep(2 * time.Second)
			}
			f.settled(30 * time.Second)
		},
		"all seeds dead": func(t *testing.T, f *fleet) {
			for i := range 3 {
				f.kill(i)
			}
			f.settled(10 * time.Second)
			late := f.config(7)
			late.KnownPeers = f.live[4].KnownPeers() // what its state has of the fleet
			f.live[7] = f.run(late)
			f.settled(20 * time.Second)
			g := f.run(f.config(8)) // and one that knows nobody
			time.Sleep(10 * time.Second)
			if v := g.View(); v.Standing != Alone || v.Agreed {
				t.Errorf("with all seeds dead: %+v", v)
			}
			g.Close()
		},
		"seeds of another farm": func(t *testing.T, f *fleet) {
			c := f.config(9)
			c.Cluster = "last year's"
			g := f.run(c)
			time.Sleep(20 * time.Second)
			if v := g.View(); v.Standing != Alone || v.Present != 1 {
				t.Errorf("it sees %d, and is %s", v.Present, v.Standing)
			}
			f.settled(time.Second) // and nobody sees it
			g.Close()
		},
		"one name at two addresses": func(t *testing.T, f *fleet) {
			c := f.config(7)
			c.Name = name(3)
			g := f.run(c)
			time.Sleep(10 * time.Second)
			if s := g.View().Standing; s != Conflict {
				t.Errorf("the second is %s", s)
			}
			for i, o := range f.live {
				if m := find(o, name(3)); m.Address != place(3) || m.State != Present {
					t.Errorf("%s has it at %s", name(i), m.Address)
				}
			}
			f.kill(3) // the name is free now
			f.live[3] = g
			f.settled(time.Minute)
		},
		"an upgrade": func(t *testing.T, f *fleet) {
			old, numbers := f.live[4], make(map[int]uint64)
			for i, g := range f.live {
				numbers[i] = g.View().Number
			}
			f.begin(4)
			time.Sleep(5 * time.Second)
			if s := f.live[4].View().Standing; s != Waiting {
				t.Errorf("the new process is %s beside the old one", s)
			}
			old.Close()
			for range 400 { // it is never away
				time.Sleep(20 * time.Millisecond)
				for i, g := range f.live {
					if m := find(g, name(4)); i != 4 && m.State != Present {
						t.Fatalf("%s has it as %s", name(i), m.State)
					}
				}
			}
			f.settled(20 * time.Second)
		},
		"an earlier process that wakes up": func(t *testing.T, f *fleet) {
			earlier := f.live[4]
			f.m.set(func() { delete(f.m.ports, place(4)) }) // it hears nothing, and believes itself in charge
			time.Sleep(10 * time.Second)
			f.begin(4)
			f.settled(20 * time.Second)
			time.Sleep(30 * time.Second) // it calls the others all the time
			f.settled(time.Second)
			if s := earlier.View().Standing; s != Replaced {
				t.Errorf("the earlier process is %s", s)
			}
			earlier.Close()
		},
		"names that never return": func(t *testing.T, f *fleet) {
			f.leave(5)
			f.kill(4)
			time.Sleep(30 * time.Second)
			if s := states(f.live[0]); s[Left] != 1 || s[Gone] != 1 {
				t.Errorf("after a stop and a kill: %v", s)
			}
			time.Sleep(16 * time.Minute)
			if s := states(f.live[0]); len(s) != 1 || s[Present] != 4 {
				t.Errorf("after 16 minutes: %v", s)
			}
		},
		"another version and configuration": func(t *testing.T, f *fleet) {
			c := f.config(7)
			c.Version, c.Digest = "v2", "c2"
			f.live[7] = f.run(c)
			f.settled(20 * time.Second)
			if m := find(f.live[0], name(7)); m.Version != "v2" || m.Digest != "c2" || m.Phase != Serving {
				t.Errorf("seen as %+v", m)
			}
		},
		"garbage": func(t *testing.T, f *fleet) {
			p, err := f.m.open(99)
			if err != nil {
				t.Fatal(err)
			}
			defer p.Shutdown()
			for i := range 2000 {
				b := make([]byte, 1+i%1500)
				for j := range b {
					f.m.set(func() { b[j] = byte(f.m.rng.Uint32()) })
				}
				if i%2 == 0 { // behind the right label
					b = append(append([]byte{244, byte(len(f.label))}, f.label...), byte(i/2%14))
					b = append(b, make([]byte, i%40)...)
				}
				_, _ = p.WriteTo(b, place(i%n))
				if i%20 == 0 {
					if c, err := p.DialTimeout(place(i%n), time.Second); err == nil {
						_ = c.SetDeadline(time.Now().Add(time.Second))
						_, _ = c.Write(b)
						c.Close()
					}
				}
				time.Sleep(5 * time.Millisecond)
			}
			f.settled(20 * time.Second)
		},
	} {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				defer f.end()
				f.probe = *probe
				for i := range n {
					f.begin(i)
				}
				f.settled(20 * time.Second)
				play(t, f)
			})
		})
	}
}

func (f *fleet) groups() (all []*Group) {
	for _, g := range f.live {
		all = append(all, g)
	}
	return all
}

// find is a member as a process sees it.
func find(g *Group, name string) MemberInfo {
	for _, m := range g.View().Members {
		if m.Name == name {
			return m
		}
	}
	return MemberInfo{}
}

// A replayed word of an earlier process is not believed, and neither is a member without particulars.
func TestWordsThatAreNotBelieved(t *testing.T) {
	g, err := New(newFleet(t, 1).config(0))
	if err != nil {
		t.Fatal(err)
	}
	node := func(name string, start int) *memberlist.Node {
		return &memberlist.Node{Name: name, Addr: []byte{10, 0, 0, 9}, Port: 1, Meta: fmt.Appendf(nil, `{"n":%d,"p":"serving"}`, start)}
	}
	g.NotifyJoin(node("n1", 7))
	for _, c := range []struct {
		node *memberlist.Node
		good bool
	}{
		{node("n1", 7), true},
		{node("n1", 8), true},
		{node("n1", 6), false},
		{node("n2", 1), true},
		{&memberlist.Node{Name: "n3", Meta: []byte("{")}, false},
	} {
		if err := g.NotifyAlive(c.node); (err == nil) != c.good {
			t.Errorf("%s %s: %v", c.node.Name, c.node.Meta, err)
		}
	}
	for i := len(g.table); i < membersMost; i++ {
		g.NotifyJoin(node(fmt.Sprint("m", i), 1))
	}
	if g.NotifyAlive(node("one too many", 1)) == nil {
		t.Error("the table has no bound")
	}
	for _, raw := range []string{"x", strings.Repeat("x", viewBytes*(viewsMost+1))} {
		g.hear([]byte(raw))
	}
	for i := range 100 {
		g.hear([]byte(fmt.Sprintf("digest%02d\x00\x00\x00\x01", i)))
	}
	if v := g.View(); v.DistinctViews > viewsMost {
		t.Errorf("%d views are kept", v.DistinctViews)
	}
}

func TestConfigIsChecked(t *testing.T) {
	good := Config{Name: "n0", Cluster: "farm", Listen: netip.MustParseAddrPort("127.0.0.1:1"), Seeds: []string{"127.0.0.1:2", "n3/127.0.0.1:3", "n4", "n0"}, Routes: map[string]string{"n4": "127.0.0.1:4"}}
	if _, err := New(good); err != nil {
		t.Error(err)
	}
	for want, change := range map[string]func(*Config){
		"name":    func(c *Config) { c.Name = "a b" },
		"cluster": func(c *Config) { c.Cluster = "" },
		"listen":  func(c *Config) { c.Listen = netip.AddrPort{} },
		"probe":   func(c *Config) { c.ProbeInterval = time.Millisecond },
		"zone":    func(c *Config) { c.Zone = strings.Repeat("z", 600) },
		"seed":    func(c *Config) { c.Seeds = []string{"n5"} },
	} {
		c := good
		change(&c)
		if _, err := New(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
