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
	dutyInterval         = 20 * time.Millisecond
	consoleTimeout       = time.Second
	pausedConsoleTimeout = 20 * time.Second // a paused process may still answer when it resumes
	membersSettleTime    = 8 * time.Second  // without changes, after which views must show exactly the running sidecars
	agreementSettleTime  = 15 * time.Second // without changes, after which sidecars must report that all views agree
)

// observedView is a view of the membership as a sidecar's console reported it.
type observedView struct {
	at             time.Duration // when the console was asked
	readyAt        time.Duration // when its process was ready
	sidecar        int
	agreed         bool
	present        []bool // by sidecar: whether the view lists it as present
	unknownMembers int    // present members whose names are not those of sidecars of the run
}

// observedToken records that a sidecar reported, at some time between two moments, that it held a duty.
type observedToken struct {
	from, to time.Duration
	sidecar  int
	duty     string
	token    uint64
}

// processChange records that a sidecar's process started to run, or ended.
type processChange struct {
	at      time.Duration
	sidecar int
	up      bool // it runs from then on
}

// observesMembers reports whether the sidecars of a scenario take part in membership and their views are judged.
func (s *Scenario) observesMembers() bool {
	judged := slices.Contains(s.Invariants, "members") || slices.Contains(s.Invariants, "agreed")
	return judged && strings.Contains(s.Fleet.File, "[member]")
}

// pollViews asks the consoles of all whole sidecars for their views every viewInterval, until stop is closed.
func (r *run) pollViews(stop <-chan struct{}) {
	t := time.NewTicker(viewInterval)
	defer t.Stop()
	slots := make(chan struct{}, 16) // limits the consoles that are asked at a time
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
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
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

// pollDuties asks the consoles of all whole sidecars which duties they hold every dutyInterval, until stop is closed.
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

// queryDuties asks one console for the duties that its process holds, and returns the token of each. It waits up to
// pausedConsoleTimeout, because a paused process may still answer when it resumes.
func queryDuties(console string) (map[string]uint64, error) {
	c, err := net.DialTimeout("tcp", console, consoleTimeout)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(pausedConsoleTimeout)) // fails only on a closed connection
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
	return nil, fmt.Errorf("console %s: answer to show-stat ended before its EOF line", console)
}

// checkSingleHolder finds sidecars that held a duty by a token after another sidecar had held it by a higher one, and tokens
// that two sidecars held. A report counts as earlier than another only if it was received before the other was requested.
func checkSingleHolder(h *History, _ *Scenario, report func(string, ...any)) {
	for _, duty := range observedDuties(h) {
		var all []observedToken
		holder := make(map[uint64]int)
		for _, s := range h.tokens {
			if s.duty != duty {
				continue
			}
			all = append(all, s)
			if other, ok := holder[s.token]; ok && other != s.sidecar {
				report("at %v sidecar %s holds %s by token %d, which is %s's", s.to, sidecarName(s.sidecar), duty, s.token, sidecarName(other))
			}
			holder[s.token] = s.sidecar
		}
		slices.SortFunc(all, func(a, b observedToken) int { return cmp.Compare(a.to, b.to) })
		for i, s := range all {
			for _, b := range all[:i] { // b is earlier only if it was answered before s was asked for
				if b.to < s.from && b.token > s.token {
					report("at %v sidecar %s holds %s by token %d; at %v %s held it by %d", s.from, sidecarName(s.sidecar), duty, s.token, b.to, sidecarName(b.sidecar), b.token)
					break
				}
			}
		}
	}
}

// observedDuties returns the names of all duties that sidecars reported to hold.
func observedDuties(h *History) (all []string) {
	for _, s := range h.tokens {
		if !slices.Contains(all, s.duty) {
			all = append(all, s.duty)
		}
	}
	return all
}

// addDutyFigures adds the number of tokens of each duty and the longest time, in seconds, between two reports of a duty's
// holder, which is the longest time that a duty may have been held by no sidecar.
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

// queryView asks one console for its view of a membership of n sidecars.
func queryView(console string, n int) (v observedView, err error) {
	c, err := net.DialTimeout("tcp", console, consoleTimeout)
	if err != nil {
		return v, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(consoleTimeout)) // fails only on a closed connection
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
	return v, fmt.Errorf("console %s: answer to show-members ended before its EOF line", console)
}

// stability holds the changes of processes and links of a history, in order, to find the times in which nothing changed.
type stability struct {
	processes [][]processChange // by sidecar
	links     []time.Duration
}

// stability collects the history's changes of processes and links.
func (h *History) stability() stability {
	s := stability{links: h.linkChanges}
	for _, c := range h.processChanges {
		for len(s.processes) <= c.sidecar {
			s.processes = append(s.processes, nil)
		}
		s.processes[c.sidecar] = append(s.processes[c.sidecar], c)
	}
	return s
}

// unchanged reports whether a sidecar's process was up for the whole time from one moment to another, or down for all of it.
func (s stability) unchanged(sidecar int, from, to time.Duration) (up, down bool) {
	if sidecar >= len(s.processes) {
		return false, false
	}
	up, down = true, true
	state := false
	for _, c := range s.processes[sidecar] {
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

// linksUnchanged reports whether no link changed from one moment to another.
func (s stability) linksUnchanged(from, to time.Duration) bool {
	return !slices.ContainsFunc(s.links, func(at time.Duration) bool { return at > from && at <= to })
}

// checkMembers finds views that lack a running sidecar or list one that does not run, although no process concerned and no
// link had changed for membersSettleTime.
func checkMembers(h *History, _ *Scenario, report func(string, ...any)) {
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
			report("at %v sidecar %s sees %d members that never existed", v.at, sidecarName(v.sidecar), v.unknownMembers)
		}
		for i, present := range v.present {
			switch up, down := s.unchanged(i, from, v.at+consoleTimeout); {
			case up && !present:
				report("at %v sidecar %s does not see %s, which has been running for %v or more", v.at, sidecarName(v.sidecar), sidecarName(i), membersSettleTime)
			case down && present:
				report("at %v sidecar %s sees %s, which has been down for %v or more", v.at, sidecarName(v.sidecar), sidecarName(i), membersSettleTime)
			}
		}
	}
}

// hadLinkOutage reports whether any link was cut or rate-limited at some time between two moments. Faults that affect only
// single packets are not outages, and neither are those that TCP streams recover from.
func (h *History) hadLinkOutage(from, to time.Duration) bool {
	return slices.ContainsFunc(h.linkOutages, func(s sidecarSpan) bool { return s.from <= to && s.to >= from })
}

// checkAgreement finds sidecars that do not report that all views agree, although no process and no link had changed for
// agreementSettleTime.
func checkAgreement(h *History, s *Scenario, report func(string, ...any)) {
	changes := h.stability()
	for _, v := range h.views {
		from := v.at - agreementSettleTime
		if v.readyAt > from || from < 0 {
			continue
		}
		stable := changes.linksUnchanged(from, v.at) && !h.hadLinkOutage(from, v.at)
		running := 0
		for i := range s.totalSidecars() {
			up, down := changes.unchanged(i, from, v.at+consoleTimeout)
			stable = stable && (up || down)
			if up {
				running++
			}
		}
		if self, _ := changes.unchanged(v.sidecar, from, v.at+consoleTimeout); stable && self && running > 1 && !v.agreed {
			report("at %v sidecar %s does not report that all agree, though nothing changed for %v", v.at, sidecarName(v.sidecar), agreementSettleTime)
		}
	}
}

// addDetectionFigures adds how long after the end of a process the first and the last of the other sidecars no longer listed
// it as present (medians over all ends, in seconds). Views are polled every viewInterval, which bounds the precision.
func (r *run) addDetectionFigures(f map[string]float64) {
	s := r.history.stability()
	var first, last []float64
	for _, c := range r.history.processChanges {
		_, gone := s.unchanged(c.sidecar, c.at, c.at+5*time.Second)
		if c.up || !gone || c.at < 0 {
			continue
		}
		lostAt := make(map[int]time.Duration) // by sidecar: its first view without the ended one
		for _, v := range r.history.views {
			if up, _ := s.unchanged(v.sidecar, c.at-time.Second, c.at+5*time.Second); up && v.at >= c.at && !v.present[c.sidecar] {
				if old, ok := lostAt[v.sidecar]; !ok || v.at < old {
					lostAt[v.sidecar] = v.at
				}
			}
		}
		if len(lostAt) == 0 {
			continue
		}
		var times []float64
		for _, at := range lostAt {
			times = append(times, (at - c.at).Seconds())
		}
		first, last = append(first, slices.Min(times)), append(last, slices.Max(times))
	}
	if len(first) > 0 {
		f["member_lost_first_s"], f["member_lost_all_s"] = distributionOf(first).median, distributionOf(last).median
	}
}
