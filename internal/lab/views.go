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
	viewPoll     = 200 * time.Millisecond
	viewTime     = time.Second
	dutyPoll     = 20 * time.Millisecond
	stillTime    = 20 * time.Second
	membersAfter = 8 * time.Second  // who runs is seen, and who does not is not, where nothing changed for so long
	agreedAfter  = 15 * time.Second // and all say that they agree
)

// viewed is what a sidecar's console said of the fleet.
type viewed struct {
	at      time.Duration // when it was asked
	born    time.Duration // when its process was ready
	sidecar int
	agreed  bool
	present []bool // by sidecar
	others  int    // members of names that the lab does not have
}

// tokenSeen is that a sidecar said, some time between two moments, that it held a duty.
type tokenSeen struct {
	from, to time.Duration
	sidecar  int
	duty     string
	token    uint64
}

// lifeChange is that a sidecar has a process that runs from now on, or has none.
type lifeChange struct {
	at      time.Duration
	sidecar int
	up      bool
}

// members says whether the sidecars of a scenario take part in membership, and somebody wants to know what they see.
func (s *Scenario) members() bool {
	judged := slices.Contains(s.Invariants, "members") || slices.Contains(s.Invariants, "agreed")
	return judged && strings.Contains(s.Fleet.File, "[member]")
}

// watchViews asks all sidecars' consoles for their view again and again, until stop is closed.
func (r *run) watchViews(stop <-chan struct{}) {
	t := time.NewTicker(viewPoll)
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
				if v, err := askView(q.console, r.scenario.totalSidecars()); err == nil {
					v.at, v.born, v.sidecar = at, time.Duration(q.readyAt.Load()), i
					r.history.mu.Lock()
					defer r.history.mu.Unlock()
					r.history.views = append(r.history.views, v)
				}
			}()
		}
	}
}

// watchDuties asks all sidecars' consoles which duties they hold, again and again, until stop is closed.
func (r *run) watchDuties(stop <-chan struct{}) {
	var all sync.WaitGroup
	defer all.Wait()
	for i := range r.scenario.Fleet.Sidecars {
		all.Go(func() {
			t := time.NewTicker(dutyPoll)
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
				held, err := askDuties(q.console)
				to := r.clock.now()
				if err != nil {
					continue
				}
				r.history.mu.Lock()
				for duty, token := range held {
					r.history.tokens = append(r.history.tokens, tokenSeen{from, to, i, duty, token})
				}
				r.history.mu.Unlock()
			}
		})
	}
}

// askDuties asks one console which duties its process holds. It waits long: one that stands still may answer when it goes on.
func askDuties(console string) (map[string]uint64, error) {
	c, err := net.DialTimeout("tcp", console, viewTime)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(stillTime)) // fails only on a closed one
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

// oneHolder: nobody says that it holds a duty by a token after another had said so of a higher one, and no token is two sidecars'.
func oneHolder(h *History, _ *Scenario, broken func(string, ...any)) {
	for _, duty := range dutiesOf(h) {
		var all []tokenSeen
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
		slices.SortFunc(all, func(a, b tokenSeen) int { return cmp.Compare(a.to, b.to) })
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

func dutiesOf(h *History) (all []string) {
	for _, s := range h.tokens {
		if !slices.Contains(all, s.duty) {
			all = append(all, s.duty)
		}
	}
	return all
}

// unheld is the longest time in which nobody said that it held a duty, from the first time that somebody did (in s).
func (r *run) unheld(f map[string]float64) {
	longest := time.Duration(0)
	for _, duty := range dutiesOf(r.history) {
		var all []tokenSeen
		for _, s := range r.history.tokens {
			if s.duty == duty {
				all = append(all, s)
			}
		}
		slices.SortFunc(all, func(a, b tokenSeen) int { return cmp.Compare(a.to, b.to) })
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

// askView asks one console.
func askView(console string, n int) (v viewed, err error) {
	c, err := net.DialTimeout("tcp", console, viewTime)
	if err != nil {
		return v, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(viewTime)) // fails only on a closed one
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
			v.others++
			continue
		}
		v.present[i] = true
	}
	return v, fmt.Errorf("the answer of %s breaks off", console)
}

// steady are a history's changes of who runs and of what is between them, in order.
type steady struct {
	lives [][]lifeChange // by sidecar
	links []time.Duration
}

func (h *History) steady() steady {
	s := steady{links: h.links}
	for _, c := range h.lives {
		for len(s.lives) <= c.sidecar {
			s.lives = append(s.lives, nil)
		}
		s.lives[c.sidecar] = append(s.lives[c.sidecar], c)
	}
	return s
}

// since says whether a sidecar's process ran, or did not, all the time from one moment to another.
func (s steady) since(sidecar int, from, to time.Duration) (up, down bool) {
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

// quiet says whether no link changed.
func (s steady) quiet(from, to time.Duration) bool {
	return !slices.ContainsFunc(s.links, func(at time.Duration) bool { return at > from && at <= to })
}

// seesMembers: who runs and can be reached is seen by all that do, and who does not run is not, where nothing changed for a while.
func seesMembers(h *History, _ *Scenario, broken func(string, ...any)) {
	s := h.steady()
	for _, v := range h.views {
		from := v.at - membersAfter
		if v.born > from || from < 0 {
			continue
		}
		if self, _ := s.since(v.sidecar, from, v.at+viewTime); !self || !s.quiet(from, v.at) || h.cut(from, v.at) {
			continue
		}
		if v.others > 0 {
			broken("at %v sidecar %s sees %d members that there never were", v.at, sidecarName(v.sidecar), v.others)
		}
		for i, present := range v.present {
			switch up, down := s.since(i, from, v.at+viewTime); {
			case up && !present:
				broken("at %v sidecar %s does not see %s, which has run for %v and more", v.at, sidecarName(v.sidecar), sidecarName(i), membersAfter)
			case down && present:
				broken("at %v sidecar %s sees %s, which has not run for %v and more", v.at, sidecarName(v.sidecar), sidecarName(i), membersAfter)
			}
		}
	}
}

// cut says whether links were out of order in some of a time. The faults of packets alone, and those that streams pass, are no cut.
func (h *History) cut(from, to time.Duration) bool {
	return slices.ContainsFunc(h.cuts, func(s span) bool { return s.from <= to && s.to >= from })
}

// seesAgreement: all say that they agree where nothing at all changed for a while.
func seesAgreement(h *History, s *Scenario, broken func(string, ...any)) {
	steady := h.steady()
	for _, v := range h.views {
		from := v.at - agreedAfter
		if v.born > from || from < 0 {
			continue
		}
		same := steady.quiet(from, v.at) && !h.cut(from, v.at)
		ups := 0
		for i := range s.totalSidecars() {
			up, down := steady.since(i, from, v.at+viewTime)
			same = same && (up || down)
			if up {
				ups++
			}
		}
		if self, _ := steady.since(v.sidecar, from, v.at+viewTime); same && self && ups > 1 && !v.agreed {
			broken("at %v sidecar %s does not say that all agree, though nothing changed for %v", v.at, sidecarName(v.sidecar), agreedAfter)
		}
	}
}

// detection is how long after the end of a process the first and the last of the others no longer saw it (medians, in s),
// by views that are asked for every viewPoll.
func (r *run) detection(f map[string]float64) {
	s := r.history.steady()
	var first, last []float64
	for _, c := range r.history.lives {
		_, gone := s.since(c.sidecar, c.at, c.at+5*time.Second)
		if c.up || !gone || c.at < 0 {
			continue
		}
		seen := make(map[int]time.Duration)
		for _, v := range r.history.views {
			if up, _ := s.since(v.sidecar, c.at-time.Second, c.at+5*time.Second); up && v.at >= c.at && !v.present[c.sidecar] {
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
		f["member_lost_first_s"], f["member_lost_all_s"] = spreadOf(first).median, spreadOf(last).median
	}
}
