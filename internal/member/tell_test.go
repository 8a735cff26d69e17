package member

import (
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A word on traffic is said at once, again where the traffic has changed for good, and now and then; never in a hurry, and never one
// that can't be read.
func TestTellIsCoarseAndSlow(t *testing.T) {
	for what, c := range map[string]struct {
		rate  func(s float64) float64 // s seconds after the start
		said  [2]uint64               // words within ten minutes, from and to
		last  float64                 // what is told then
		steps int                     // times that it differed
	}{
		"steady":      {func(float64) float64 { return 8 }, [2]uint64{4, 8}, 8, 1},
		"noise":       {func(s float64) float64 { return 8.7 * (1 + 0.25*math.Sin(s)) }, [2]uint64{4, 8}, 8, 1},
		"doubled":     {func(s float64) float64 { return 8 * (1 + math.Floor(s/300)) }, [2]uint64{5, 10}, 16, 3},
		"to and fro":  {func(s float64) float64 { return 8 * (1 + 9*math.Mod(math.Floor(s), 2)) }, [2]uint64{100, 200}, 0, 200},
		"none":        {func(float64) float64 { return 0 }, [2]uint64{4, 8}, 0.125, 1},
		"negative":    {func(float64) float64 { return -7 }, [2]uint64{4, 8}, 0.125, 1},
		"no number":   {func(float64) float64 { return math.NaN() }, [2]uint64{4, 8}, 0.125, 1},
		"without end": {func(float64) float64 { return math.Inf(1) }, [2]uint64{4, 8}, 1 << 20, 1},
		"a billion":   {func(float64) float64 { return 1e9 }, [2]uint64{4, 8}, 1 << 20, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1)
			c2 := f.config(0)
			c2.ShareTraffic = true
			g, err := New(c2)
			if err != nil {
				t.Fatal(err)
			}
			began, last, steps := time.Now(), time.Time{}, 0
			for time.Since(began) < 10*time.Minute {
				before := g.load
				g.ReportTraffic(c.rate(time.Since(began).Seconds()))
				if g.load != before {
					if before == nil || g.load.Step != before.Step {
						steps++
					}
					if time.Since(last) < tellPause*3/4 {
						t.Fatalf("%s: two words within %v", what, time.Since(last))
					}
					last = time.Now()
				}
				time.Sleep(500 * time.Millisecond)
			}
			if g.load.Said < c.said[0] || g.load.Said > c.said[1] {
				t.Errorf("%s: %d words in ten minutes, %v expected", what, g.load.Said, c.said)
			}
			if steps > c.steps {
				t.Errorf("%s: %d different words, at most %d", what, steps, c.steps)
			}
			if got := g.load.traffic(0); c.last > 0 && math.Abs(math.Log2(got/c.last)) > 0.25 {
				t.Errorf("%s: %v is told, want %v", what, got, c.last)
			}
		})
	}
}

// A word that is too old, or that no process could have said, is worth nothing; and it is no part of a view.
func TestTrafficIsReadWithinBounds(t *testing.T) {
	for _, c := range []struct {
		l    *load
		age  time.Duration
		want float64
	}{
		{nil, 0, 0}, {&load{0, 0, 1}, 0, 1}, {&load{0, tellSteps, 1}, trafficKept, 2}, {&load{0, tellSteps, 1}, trafficKept + 1, 0},
		{&load{-1, 0, 1}, 0, 0}, {&load{indexMost + 1, 0, 1}, 0, 0}, {&load{0, tellLeast - 1, 1}, 0, 0}, {&load{0, tellMost + 1, 1}, 0, 0},
	} {
		if got := c.l.traffic(c.age); got != c.want {
			t.Errorf("%+v after %v: %v, want %v", c.l, c.age, got, c.want)
		}
	}
	const bare = `{"n":7,"z":"\",\"l\":{","p":"serving"}`
	for _, raw := range []string{bare, strings.Replace(bare, `serving"`, `serving","l":{"i":3,"t":-4,"s":9}`, 1)} {
		if got := string(lasting([]byte(raw))); got != bare {
			t.Errorf("of %s lasts %s", raw, got)
		}
	}
	for what, change := range map[string]func(*Config){
		"no room is kept for the word":    func(c *Config) { c.Zone = strings.Repeat("z", 430) },
		"an index below 0 is taken":       func(c *Config) { c.Index = -1 },
		"an index that is read by nobody": func(c *Config) { c.Index = indexMost + 1 },
	} {
		c := newFleet(t, 1).config(0)
		change(&c)
		_, without := New(c)
		c.ShareTraffic = true
		if _, with := New(c); without != nil || with == nil {
			t.Errorf("%s: %v, without the key %v", what, with, without)
		}
	}
}

// A fleet whose members tell: all have all's traffic, nobody's view changes by it, and what one that is cut off told is no longer
// counted once it is lost or too old.
func TestFleetTells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.end()
		n := *members
		f.expect = n
		still := make(map[int]bool) // these say nothing more
		begin := time.Now()
		for i := range n {
			c := f.config(i)
			c.Index, c.ShareTraffic = i, true
			f.live[i] = f.run(c)
			time.Sleep(time.Second / time.Duration(n))
		}
		times := 1.0
		rate := func(i int) float64 { return float64(1+i%16) * times }
		tell := func(d time.Duration, noise float64) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
				for i, g := range f.live {
					if !still[i] {
						g.ReportTraffic(rate(i) * (1 + noise*math.Sin(time.Since(begin).Seconds()/float64(3+i%7))))
					}
				}
			}
		}
		right := func(when string, lost int) {
			for i, g := range f.live {
				for _, m := range g.View().Members {
					j := atoi(m.Name)
					switch off := m.Traffic / rate(j); {
					case j == lost && m.Traffic != 0:
						t.Errorf("%s: at %s %s still counts for %v", when, name(i), m.Name, m.Traffic)
					case j != lost && m.State == Present && (m.Index != j || off < 0.7 || off > 1.4):
						t.Errorf("%s: at %s %s has index %d and traffic %v, want %d and about %v", when, name(i), m.Name, m.Index, m.Traffic, j, rate(j))
					}
				}
			}
		}
		tell(20*time.Second, 0)
		f.settled(20 * time.Second)
		right("at first", -1)
		number := f.live[0].View().Number
		f.m.set(func() { f.m.bytes = 0 })
		times = 2
		const calm = time.Minute
		tell(calm, 0.2)
		t.Logf("%d members that tell: %.0f bytes sent a second a member", n, float64(f.m.bytes)/calm.Seconds()/float64(n))
		right("after a minute", -1)
		if v := f.live[0].View(); v.Number != number || !v.Agreed {
			t.Errorf("view %d, %d before; agreed %v", v.Number, number, v.Agreed)
		}
		for i := 6; i < n; i++ {
			f.kill(i)
		}
		still[5] = true
		tell(trafficKept+tellEvery*2, 0)
		right("once one has said nothing for long", 5)
	})
}
