package member

import (
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Traffic is reported at once, again when it has changed lastingly, and periodically. Reports must not follow each other too
// closely, and must be valid for any rate.
func TestReportTrafficIsCoarseAndRateLimited(t *testing.T) {
	for what, c := range map[string]struct {
		rate  func(s float64) float64 // s seconds after the start
		count [2]uint64               // minimum and maximum number of reports in ten minutes
		last  float64                 // last rate reported; 0: not checked
		steps int                     // maximum number of reports that differ from the one before
	}{
		"steady":      {func(float64) float64 { return 8 }, [2]uint64{4, 8}, 8, 1},
		"noise":       {func(s float64) float64 { return 8.7 * (1 + 0.25*math.Sin(s)) }, [2]uint64{4, 8}, 8, 1},
		"doubled":     {func(s float64) float64 { return 8 * (1 + math.Floor(s/300)) }, [2]uint64{5, 10}, 16, 3},
		"oscillating": {func(s float64) float64 { return 8 * (1 + 9*math.Mod(math.Floor(s), 2)) }, [2]uint64{100, 200}, 0, 200},
		"zero":        {func(float64) float64 { return 0 }, [2]uint64{4, 8}, 0.125, 1},
		"negative":    {func(float64) float64 { return -7 }, [2]uint64{4, 8}, 0.125, 1},
		"NaN":         {func(float64) float64 { return math.NaN() }, [2]uint64{4, 8}, 0.125, 1},
		"infinite":    {func(float64) float64 { return math.Inf(1) }, [2]uint64{4, 8}, 1 << 20, 1},
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
				before := g.report
				g.ReportTraffic(c.rate(time.Since(began).Seconds()))
				if g.report != before {
					if before == nil || g.report.Step != before.Step {
						steps++
					}
					if time.Since(last) < reportMinInterval*3/4 {
						t.Fatalf("%s: two reports within %v", what, time.Since(last))
					}
					last = time.Now()
				}
				time.Sleep(500 * time.Millisecond)
			}
			if g.report.Sequence < c.count[0] || g.report.Sequence > c.count[1] {
				t.Errorf("%s: %d reports in ten minutes, want %v", what, g.report.Sequence, c.count)
			}
			if steps > c.steps {
				t.Errorf("%s: %d changed reports, want at most %d", what, steps, c.steps)
			}
			if got := g.report.rate(0); c.last > 0 && math.Abs(math.Log2(got/c.last)) > 0.25 {
				t.Errorf("%s: rate %v is reported, want %v", what, got, c.last)
			}
		})
	}
}

// A report that is too old or out of range counts as no traffic, reports do not change the view's digest, and New rejects a
// configuration whose reports would be invalid.
func TestInvalidTrafficReportsAreIgnored(t *testing.T) {
	for _, c := range []struct {
		report *trafficReport
		age    time.Duration
		want   float64
	}{
		{nil, 0, 0}, {&trafficReport{0, 0, 1}, 0, 1}, {&trafficReport{0, stepsPerDoubling, 1}, reportTTL, 2}, {&trafficReport{0, stepsPerDoubling, 1}, reportTTL + 1, 0},
		{&trafficReport{-1, 0, 1}, 0, 0}, {&trafficReport{maxIndex + 1, 0, 1}, 0, 0}, {&trafficReport{0, minStep - 1, 1}, 0, 0}, {&trafficReport{0, maxStep + 1, 1}, 0, 0},
	} {
		if got := c.report.rate(c.age); got != c.want {
			t.Errorf("%+v after %v: %v, want %v", c.report, c.age, got, c.want)
		}
	}
	const bare = `{"n":7,"z":"\",\"l\":{","p":"serving"}`
	for _, raw := range []string{bare, strings.Replace(bare, `serving"`, `serving","l":{"i":3,"t":-4,"s":9}`, 1)} {
		if got := string(withoutTraffic([]byte(raw))); got != bare {
			t.Errorf("%s without traffic is %s", raw, got)
		}
	}
	for what, change := range map[string]func(*Config){
		"no space is left for the report":  func(c *Config) { c.Zone = strings.Repeat("z", 430) },
		"an index below 0":                 func(c *Config) { c.Index = -1 },
		"an index that peers would ignore": func(c *Config) { c.Index = maxIndex + 1 },
	} {
		c := newFleet(t, 1).config(0)
		change(&c)
		_, without := New(c)
		c.ShareTraffic = true
		if _, with := New(c); without != nil || with == nil {
			t.Errorf("%s: error %v, with ShareTraffic off %v", what, with, without)
		}
	}
}

// In a fleet that shares traffic all members learn the traffic of all, without a change of any view. The traffic of a member
// that stops reporting is no longer counted once its report is too old.
func TestTrafficReportsReachAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.killAll()
		n := *members
		f.expectedMembers = n
		silent := make(map[int]bool) // members that no longer report
		began := time.Now()
		for i := range n {
			c := f.config(i)
			c.Index, c.ShareTraffic = i, true
			f.live[i] = f.startWith(c)
			time.Sleep(time.Second / time.Duration(n))
		}
		factor := 1.0
		rate := func(i int) float64 { return float64(1+i%16) * factor }
		report := func(d time.Duration, noise float64) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
				for i, g := range f.live {
					if !silent[i] {
						g.ReportTraffic(rate(i) * (1 + noise*math.Sin(time.Since(began).Seconds()/float64(3+i%7))))
					}
				}
			}
		}
		checkTraffic := func(when string, lost int) {
			for i, g := range f.live {
				for _, m := range g.View().Members {
					j := nodeIndex(m.Name)
					switch ratio := m.Traffic / rate(j); {
					case j == lost && m.Traffic != 0:
						t.Errorf("%s: in %s's view %s still has traffic %v", when, nodeName(i), m.Name, m.Traffic)
					case j != lost && m.State == Present && (m.Index != j || ratio < 0.7 || ratio > 1.4):
						t.Errorf("%s: in %s's view %s has index %d and traffic %v, want %d and about %v", when, nodeName(i), m.Name, m.Index, m.Traffic, j, rate(j))
					}
				}
			}
		}
		report(20*time.Second, 0)
		f.waitForAgreement(20 * time.Second)
		checkTraffic("after the start", -1)
		number := f.live[0].View().Number
		f.mesh.update(func() { f.mesh.bytes = 0 })
		factor = 2
		const idle = time.Minute
		report(idle, 0.2)
		t.Logf("%d members that share traffic: %.0f bytes sent per second and member", n, float64(f.mesh.bytes)/idle.Seconds()/float64(n))
		checkTraffic("after a minute", -1)
		if v := f.live[0].View(); v.Number != number || !v.Agreed {
			t.Errorf("view %d, %d before; agreed %v", v.Number, number, v.Agreed)
		}
		for i := 6; i < n; i++ {
			f.kill(i)
		}
		silent[5] = true
		report(reportTTL+reportRefreshInterval*2, 0)
		checkTraffic("after one member has stopped reporting", 5)
	})
}
