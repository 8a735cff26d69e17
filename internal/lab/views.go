package lab

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	viewInterval         = 200 * time.Millisecond
	consoleTimeout       = time.Second
	dutyInterval         = 20 * time.Millisecond
	pausedConsoleTimeout = 20 * time.Second
	membersSettleTime    = 8 * time.Second  // who runs is seen, and who does not is not, where nothing changed for so long
	agreementSettleTime  = 15 * time.Second // and all say that they agree
)

// observedView is what a sidecar's console said of the fleet.
type observedView struct {
	at             time.Duration // when it was asked
	readyAt        time.Duration // when its process was ready
	sidecar        int
	agreed         bool
	present        []bool // by sidecar
	unknownMembers int    // members of names that the lab does not have
}

// observedToken is that a sidecar said, some time between two moments, that it held a duty.
type observedToken struct {
	from, to time.Duration
	sidecar  int
	duty     string
	token    uint64
}

// processChange is that a sidecar has a process that runs from now on, or has none.
type processChange struct {
	at      time.Duration
	sidecar int
	up      bool
}

// observesMembers says whether the sidecars of a scenario take part in membership, and somebody wants to know what they see.
func (s *Scenario) observesMembers() bool {
	judged := slices.Contains(s.Invariants, "members") || slices.Contains(s.Invariants, "agreed")
	return judged && strings.Contains(s.Fleet.File, "[member]")
}

// pollViews asks all sidecars' consoles for their view again and again, until stop is closed.
func (r *run) pollViews(stop <-chan struct{}) {
	t := time.NewTicker(viewInterval)
	defer t.Stop()
	places := make(chan struct{}, 16)
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		for i := range r.scenario.Fleet.Sidecars {
			q := r.processes.running(i)
			if q == nil {
				continue
			}
			places <- struct{}{}
			go func() {
				defer func() { <-places }()
				at := r.clock.now()
				if v, err := queryView(q.console, r.scenario.totalSidecars()); err == nil {
					v.at, v.readyAt, v.sidecar = at, time.Duration(q.readyAt.Load()), i
					r.history.mu.Lock()
					defer r.history.mu.Unlock()
					r.history.views = append(r.history.views, v)
				}
			}()
		}
	}
}

// pollDuties asks all sidecars' consoles which duties they hold, again and again, until stop is closed.
func (r *run) pollDuties(stop <-chan struct{}) {
	var all sync.WaitGroup
	defer all.Wait()
	for i := range r.scenario.Fleet.Sidecars {
		all.Go(func() {
			t := time.NewTicker(dutyInterval)
			defer t.Stop()
			for {
				select {
				case <-stop:
					return
				case <-t.C:
				}
				q := r.processes.running(i)
				if q == nil {
					continue
				}
				from := r.clock.now()
				held, err := queryDuties(q.console)
				to := r.clock.now()
				if err != nil {
					continue
				}
				r.history.mu.Lock()
				for duty, token := range held {
					r.history.tokens = append(r.history.tokens, observedToken{from, to, i, duty, token})
				}
				r.history.mu.Unlock()
			}
		})
	}
}

// queryDuties asks one console which duties its process holds. It waits long: one that stands still may answer when it goes on.
func queryDuties(console string) (map[string]uint64, error) {
	c, err := net.DialTimeout("tcp", console, consoleTimeout)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(pausedConsoleTimeout)) // fails only on a closed one
	if _, err := io.WriteString(c, "show-stat\n"); err != nil {
		return nil, err
	}
	held := make(map[string]uint64)
	for lines := bufio.NewScanner(c); lines.Scan(); {
		if lines.Text() == "EOF" {
			return held, nil
		}
		name, value, _ := strings.Cut(lines.Text(), "=")
		duty, ok := strings.CutPrefix(name, "app.duty_token.")
		if !ok {
			continue
		}
		token, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			return nil, err
		}
		if token > 0 {
			held[duty] = token
		}
	}
	return nil, fmt.Errorf("the answer of %s breaks off", console)
}

// checkSingleHolder: nobody says that it holds a duty by a token after another had said so of a higher one, and no token is two sidecars'.
func checkSingleHolder(h *History, _ *Scenario, broken func(string, ...any)) {
	for _, duty := range observedDuties(h) {
		var all []observedToken
		holder := make(map[uint64]int)
		for _, s := range h.tokens {
			if s.duty != duty {
				continue
			}
			all = append(all, s)
			if other, ok := holder[s.token]; ok && other != s.sidecar {
				broken("at %v sidecar %s holds %s by token %d, which is %s's", s.to, sidecarName(s.sidecar), duty, s.token, sidecarName(other))
			}
			holder[s.token] = s.sidecar
		}
		slices.SortFunc(all, func(a, b observedToken) int { return cmp.Compare(a.to, b.to) })
		for i, s := range all { // what was answered before s was asked
			for _, b := range all[:i] {
				if b.to < s.from && b.token > s.token {
					broken("at %v sidecar %s holds %s by token %d; at %v %s held it by %d", s.from, sidecarName(s.sidecar), duty, s.token, b.to, sidecarName(b.sidecar), b.token)
					break
				}
			}
		}
	}
}

func observedDuties(h *History) (all []string) {
	for _, s := range h.tokens {
		if !slices.Contains(all, s.duty) {
			all = append(all, s.duty)
		}
	}
	return all
}

// addDutyFigures is the longest time in which nobody said that it held a duty, from the first time that somebody did (in s).
func (r *run) addDutyFigures(f map[string]float64) {
	longest := time.Duration(0)
	for _, duty := range observedDuties(r.history) {
		var all []observedToken
		for _, s := range r.history.tokens {
			if s.duty == duty {
				all = append(all, s)
			}
		}
		slices.SortFunc(all, func(a, b observedToken) int { return cmp.Compare(a.to, b.to) })
		for i := 1; i < len(all); i++ {
			longest = max(longest, all[i].from-all[i-1].to)
		}
		tokens := make(map[uint64]bool)
		for _, s := range all {
			tokens[s.token] = true
		}
		f["duty_tokens_"+duty] = float64(len(tokens))
	}
	if len(r.history.tokens) > 0 {
		f["duty_unheld_s"] = longest.Seconds()
	}
}

// queryView asks one console.
func queryView(console string, n int) (v observedView, err error) {
	c, err := net.DialTimeout("tcp", console, consoleTimeout)
	if err != nil {
		return v, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(consoleTimeout)) // fails only on a closed one
	if _, err := io.WriteString(c, "show-members\n"); err != nil {
		return v, err
	}
	v.present = make([]bool, n)
	lines := bufio.NewScanner(c)
	for first := true; lines.Scan(); first = false {
		line := lines.Text()
		if line == "EOF" {
			return v, nil
		}
		if first {
			v.agreed = strings.Contains(line, " agreed=true ")
			continue
		}
		fields := strings.Split(line, "\t")
		if len(fields) < 3 || fields[2] != "present" {
			continue
		}
		var i int
		if _, err := fmt.Sscanf(fields[0], "n%d", &i); err != nil || i < 0 || i >= n {
			v.unknownMembers++
			continue
		}
		v.present[i] = true
	}
	return v, fmt.Errorf("the answer of %s breaks off", console)
}

// stability are a history's changes of who runs and of what is between them, in order.
type stability struct {
	lives [][]processChange // by sidecar
	links []time.Duration
}

func (h *History) stability() stability {
	s := stability{links: h.linkChanges}
	for _, c := range h.processChanges {
		for len(s.lives) <= c.sidecar {
			s.lives = append(s.lives, nil)
		}
		s.lives[c.sidecar] = append(s.lives[c.sidecar], c)
	}
	return s
}

// unchanged says whether a sidecar's process ran, or did not, all the time from one moment to another.
func (s stability) unchanged(sidecar int, from, to time.Duration) (up, down bool) {
	if sidecar >= len(s.lives) {
		return false, false
	}
	up, down = true, true
	state := false
	for _, c := range s.lives[sidecar] {
		if c.at > to {
			break
		}
		if c.at <= from {
			state = c.up
			continue
		}
		up, down = up && c.up && state, down && !c.up && !state
	}
	return up && state, down && !state
}

// linksUnchanged says whether no link changed.
func (s stability) linksUnchanged(from, to time.Duration) bool {
	return !slices.ContainsFunc(s.links, func(at time.Duration) bool { return at > from && at <= to })
}

// checkMembers: who runs and can be reached is seen by all that do, and who does not run is not, where nothing changed for a while.
func checkMembers(h *History, _ *Scenario, broken func(string, ...any)) {
	s := h.stability()
	for _, v := range h.views {
		from := v.at - membersSettleTime
		if v.readyAt > from || from < 0 {
			continue
		}
		if self, _ := s.unchanged(v.sidecar, from, v.at+consoleTimeout); !self || !s.linksUnchanged(from, v.at) || h.hadLinkOutage(from, v.at) {
			continue
		}
		if v.unknownMembers > 0 {
			broken("at %v sidecar %s sees %d members that there never were", v.at, sidecarName(v.sidecar), v.unknownMembers)
		}
		for i, present := range v.present {
			switch up, down := s.unchanged(i, from, v.at+consoleTimeout); {
			case up && !present:
				broken("at %v sidecar %s does not see %s, which has run for %v and more", v.at, sidecarName(v.sidecar), sidecarName(i), membersSettleTime)
			case down && present:
				broken("at %v sidecar %s sees %s, which has not run for %v and more", v.at, sidecarName(v.sidecar), sidecarName(i), membersSettleTime)
			}
		}
	}
}

// hadLinkOutage says whether links were out of order in some of a time. The faults of packets alone, and those that streams pass, are no cut.
func (h *History) hadLinkOutage(from, to time.Duration) bool {
	return slices.ContainsFunc(h.linkOutages, func(s sidecarSpan) bool { return s.from <= to && s.to >= from })
}

// checkAgreement: all say that they agree where nothing at all changed for a while.
func checkAgreement(h *History, s *Scenario, broken func(string, ...any)) {
	steady := h.stability()
	for _, v := range h.views {
		from := v.at - agreementSettleTime
		if v.readyAt > from || from < 0 {
			continue
		}
		same := steady.linksUnchanged(from, v.at) && !h.hadLinkOutage(from, v.at)
		ups := 0
		for i := range s.totalSidecars() {
			up, down := steady.unchanged(i, from, v.at+consoleTimeout)
			same = same && (up || down)
			if up {
				ups++
			}
		}
		if self, _ := steady.unchanged(v.sidecar, from, v.at+consoleTimeout); same && self && ups > 1 && !v.agreed {
			broken("at %v sidecar %s does not say that all agree, though nothing changed for %v", v.at, sidecarName(v.sidecar), agreementSettleTime)
		}
	}
}

// addDetectionFigures is how long after the end of a process the first and the last of the others no longer saw it (medians, in s),
// by views that are asked for every viewPoll.
func (r *run) addDetectionFigures(f map[string]float64) {
	s := r.history.stability()
	var first, last []float64
	for _, c := range r.history.processChanges {
		_, gone := s.unchanged(c.sidecar, c.at, c.at+5*time.Second)
		if c.up || !gone || c.at < 0 {
			continue
		}
		seen := make(map[int]time.Duration)
		for _, v := range r.history.views {
			if up, _ := s.unchanged(v.sidecar, c.at-time.Second, c.at+5*time.Second); up && v.at >= c.at && !v.present[c.sidecar] {
				if old, ok := seen[v.sidecar]; !ok || v.at < old {
					seen[v.sidecar] = v.at
				}
			}
		}
		if len(seen) == 0 {
			continue
		}
		var times []float64
		for _, at := range seen {
			times = append(times, (at - c.at).Seconds())
		}
		first, last = append(first, slices.Min(times)), append(last, slices.Max(times))
	}
	if len(first) > 0 {
		f["member_lost_first_s"], f["member_lost_all_s"] = distributionOf(first).median, distributionOf(last).median
	}
}
