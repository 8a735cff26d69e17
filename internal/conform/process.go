package conform

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// generous bounds every wait: a row waits for what is to happen, and only a broken program lets it wait this long.
const maxWait = time.Minute

// process is a real caperarch between stand-ins.
type processRunner struct {
	row            Row
	settings       map[string]any
	program        string
	dir            string // its state, and its configuration
	cmd            *exec.Cmd
	exited         chan error
	listenAddr     string
	consoleAddr    string
	observed       *observations
	servers        map[string]*standIn
	discovery      *discoveryStandIn
	knownJSON      string                    // the list as it is told at its start
	requestClass   map[string]map[string]any // by request
	zones          map[string]int            // by server
	cancels        map[string]context.CancelFunc
	dialled        map[string]net.Conn // connections that came up before their requests
	failures       []string
	arrivalsBefore int // of the story's arrivals, before this step
	answeredBefore map[string]bool
	callsBefore    int  // of discovery, before this step
	staleList      bool // discovery has an older list than it had
}

func (p *processRunner) failf(format string, args ...any) {
	p.failures = append(p.failures, fmt.Sprintf(format, args...))
}

func requestName(id int) string { return "q" + strconv.Itoa(id) }

// playProcess plays a row on the program at a path and returns what was not as expected.
func runProcess(t *Tables, r Row, program, dir string) (faults []string, err error) {
	p := &processRunner{row: r, settings: t.settingsOf(r), program: program, dir: dir, requestClass: make(map[string]map[string]any), zones: make(map[string]int), cancels: make(map[string]context.CancelFunc),
		servers: make(map[string]*standIn), observed: &observations{answers: make(map[string]reply)}, answeredBefore: make(map[string]bool), dialled: make(map[string]net.Conn)}
	if p.discovery, err = newDiscoveryStandIn(p.observed, r.IndentedJSON); err != nil {
		return nil, err
	}
	defer p.discovery.server.Close()
	defer func() {
		for _, s := range p.servers {
			s.close()
		}
		for _, quit := range p.cancels {
			quit()
		}
		for _, c := range p.dialled {
			c.Close()
		}
	}()
	known := ""
	if len(r.CachedServers) > 0 {
		if err := p.publishList(r.CachedServers, "full"); err != nil {
			return nil, err
		}
		known = p.discovery.listJSON(-1)
	}
	if err := p.publishList(r.Servers, "full"); err != nil {
		return nil, err
	}
	p.knownJSON = cmp.Or(known, p.discovery.listJSON(-1))
	p.discovery.initialEntries, p.discovery.initialVersion = maps.Clone(p.discovery.entries), p.discovery.version
	if err := p.start(program); err != nil {
		return nil, err
	}
	if len(r.CachedServers) > 0 {
		if err := p.waitForList(); err != nil {
			return nil, err
		}
	}
	defer func() {
		if p.exited != nil {
			_ = p.cmd.Process.Kill() // it fails only if it has ended
			<-p.exited
		}
	}()
	for i, s := range r.Steps {
		before := len(p.failures)
		if err := p.runStep(s); err != nil {
			p.failf("%v", err)
		}
		for k := before; k < len(p.failures); k++ {
			p.failures[k] = fmt.Sprintf("step %d: %s", i+1, p.failures[k])
		}
		if len(p.failures) > before {
			break // what comes behind it would only wait in vain
		}
	}
	p.checkRepeats()
	return p.failures, nil
}

// rules hold all that the servers had to the rules on repeats.
func (p *processRunner) checkRepeats() {
	p.observed.mu.Lock()
	defer p.observed.mu.Unlock()
	p.failures = append(p.failures, p.observed.failures...)
	before := make(map[string][]arrival)
	for _, a := range p.observed.arrivals {
		kind := semantics(p.requestClass[a.id])
		if most := int(numberSetting(p.settings, "caps", "most_tries")); len(before[a.id]) >= most {
			p.failf("%s has more than %d attempts", a.id, most)
		}
		for _, b := range before[a.id] {
			ran := b.ending != "full" && b.ending != "over"
			switch {
			case b.ending == "":
				p.failf("%s comes to %s while it is out at %s", a.id, a.server, b.server)
			case ran && kind == "single_shot":
				p.failf("%s comes again, though it may have run", a.id)
			case ran && kind == "zone" && p.zones[a.server] != p.zones[b.server]:
				p.failf("%s comes to another zone, where its repeat is not dropped", a.id)
			}
		}
		before[a.id] = append(before[a.id], a)
	}
}

// list enters servers at discovery, and starts those that are new.
func (p *processRunner) publishList(all []Server, how string) error {
	entries, order := make(map[string]string), []string{}
	for _, s := range all {
		if p.servers[s.ID] == nil {
			n, err := newStandIn(s.ID, p.observed, s.HoldConnections)
			if err != nil {
				return err
			}
			p.servers[s.ID] = n
		}
		if s.Unreachable {
			p.servers[s.ID].close()
		}
		zones, _ := p.settings["zones"].([]any)
		started := int64(0)
		p.zones[s.ID] = s.Zone
		if s.Started != 0 {
			started = time.Now().Add(s.Started.Std()).UnixMilli()
		}
		entries[s.ID] = fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":%q,"cell":0,"lifecycle":%q,"weight":%v,"startedAtMs":%d}`,
			s.ID, p.servers[s.ID].listener.Addr(), zones[s.Zone], s.State, s.Weight, started)
		order = append(order, s.ID)
	}
	if how == "full" {
		for id, text := range p.discovery.entries { // whoever is not named has gone
			if entries[id] == "" {
				entries[id] = regexp.MustCompile(`"lifecycle":"\w+"`).ReplaceAllString(text, `"lifecycle":"gone"`)
				order = append(order, id)
			}
		}
	}
	p.discovery.publish(entries, order)
	return nil
}

// config writes the program's configuration.
func (p *processRunner) writeConfig() (string, error) {
	raw, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": p.discovery.address, "console": "127.0.0.1:0", "seed": "7",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256}, "settings": p.settings, "known": json.RawMessage(p.knownJSON),
	})
	if err != nil {
		return "", err
	}
	path := filepath.Join(p.dir, "config.json")
	return path, os.WriteFile(path, raw, 0o600)
}

var (
	listenLine  = regexp.MustCompile(`msg=serving.* listen=(\S+)`)
	consoleLine = regexp.MustCompile(`msg=console.* listen=(\S+)`)
)

// starter runs what starts processes on one thread, which lasts as long as this process: they end with it.
var processStarter = sync.OnceValue(func() chan<- func() {
	c := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range c {
			f()
		}
	}()
	return c
})

// restart kills the program and starts it anew, with the state that it has left.
func (p *processRunner) restart() error {
	if err := p.cmd.Process.Kill(); err != nil {
		return err
	}
	<-p.exited
	p.exited, p.listenAddr, p.consoleAddr = nil, "", ""
	p.observed.withLock(func() { p.observed.heldVersion = -1 })
	if err := p.start(p.program); err != nil {
		return err
	}
	return p.waitForList()
}

func (p *processRunner) start(program string) error {
	path, err := p.writeConfig()
	if err != nil {
		return err
	}
	p.cmd = exec.Command(program)
	p.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+path, "TMPDIR="+p.dir, "EDGE_FLEET=", "EDGE_LOG=", "EDGE_LOG_LEVEL=")
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it does not outlive the thread that starts it
	log, err := p.cmd.StderrPipe()
	if err != nil {
		return err
	}
	started := make(chan error)
	processStarter() <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	p.exited = make(chan error, 1)
	up, said := make(chan struct{}), new(bytes.Buffer)
	go func() {
		lines, ready := bufio.NewScanner(log), false
		for lines.Scan() {
			if m := listenLine.FindStringSubmatch(lines.Text()); m != nil {
				p.listenAddr = m[1]
			}
			if m := consoleLine.FindStringSubmatch(lines.Text()); m != nil {
				p.consoleAddr = m[1]
			}
			if !ready {
				fmt.Fprintln(said, lines.Text())
			}
			if !ready && p.listenAddr != "" && p.consoleAddr != "" {
				ready = true
				close(up)
			}
		}
		p.exited <- p.cmd.Wait()
	}()
	select {
	case <-up:
	case err := <-p.exited:
		p.exited = nil
		return fmt.Errorf("it ended: %v\n%s", err, said)
	case <-time.After(maxWait):
		return errors.New("it did not begin to serve")
	}
	return p.waitFor("it to be ready", func() bool {
		res, err := http.Get("http://" + p.listenAddr + "/up")
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// until waits for something.
func (p *processRunner) waitFor(what string, holds func() bool) error {
	for end := time.Now().Add(maxWait); ; time.Sleep(2 * time.Millisecond) {
		if holds() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("waited in vain for %s", what)
		}
	}
}

// pending is how many requests the program holds, by its console; -1 if that does not answer.
func (p *processRunner) pendingRequests() int {
	c, err := net.DialTimeout("tcp", p.consoleAddr, maxWait)
	if err != nil {
		return -1
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(maxWait)) // fails only on a closed connection
	if _, err := io.WriteString(c, "show-stat\n"); err != nil {
		return -1
	}
	text, err := io.ReadAll(c)
	m := regexp.MustCompile(`app\.pending=(\d+)`).FindSubmatch(text)
	if err != nil || m == nil {
		return -1
	}
	n, _ := strconv.Atoi(string(m[1])) // digits alone
	return n
}

// outstanding are the requests that have no answer.
func (p *processRunner) countUnanswered() (n int) {
	for id := range p.requestClass {
		if _, ok := p.observed.answers[id]; !ok {
			n++
		}
	}
	return n
}

// ask sends a request on a connection of its own, and waits until the program has taken it.
func (p *processRunner) sendRequest(id string, s Step) error {
	ctx, quit := context.WithCancel(context.Background())
	p.cancels[id] = quit
	method, more := http.MethodPost, map[string]string{}
	for _, c := range p.settings["classes"].([]any) {
		if c := c.(map[string]any); c["name"] == s.Class {
			p.requestClass[id] = c
			switch c["semantics"] {
			case "free":
				method = http.MethodGet
			case "guarded":
				more["Idempotency-Key"] = "k" + id
			}
		}
	}
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("work")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.listenAddr+"/"+s.Class, body)
	if err != nil {
		return err
	}
	for name, value := range map[string]string{
		"X-Request-ID": id, "X-Priority-Class": s.Class, "X-Tenant-Id": s.Tenant,
		"X-Timeout": fmt.Sprintf("%dm", s.TimeLeft.Std().Milliseconds()),
	} {
		req.Header.Set(name, value)
	}
	for name, value := range more {
		req.Header.Set(name, value)
	}
	own := p.dialled[id]
	go func() {
		client := http.Client{Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				if own != nil {
					return own, nil
				}
				return new(net.Dialer).DialContext(ctx, network, address)
			},
		}}
		res, err := client.Do(req)
		got := reply{result: "failed"}
		if err == nil {
			var text []byte
			text, err = io.ReadAll(res.Body)
			res.Body.Close()
			got.retryAfter = res.Header.Get("Retry-After")
			switch {
			case res.StatusCode == http.StatusOK && err != nil:
				got.result = "broken" // and the client can tell
			case res.StatusCode == http.StatusOK:
				got.result = "served"
				if string(text) != "done "+id {
					got.result = fmt.Sprintf("served with %q", text)
				}
			case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests:
				got.result = "refused"
			}
		} else if ctx.Err() != nil {
			got.result = "left"
		} else {
			got.result = "lost: " + err.Error()
		}
		p.observed.withLock(func() { p.observed.answers[id] = got })
	}()
	twice := 0
	return p.waitFor(id+" to be taken", func() bool {
		there, want := false, 0
		p.observed.withLock(func() {
			_, there = p.observed.answers[id]
			there = there || slices.ContainsFunc(p.observed.arrivals, func(a arrival) bool { return a.id == id })
			want = p.countUnanswered()
		})
		if p.pendingRequests() == want {
			twice++
		} else {
			twice = 0
		}
		return there || twice >= 2 // the second look is behind what the first one found
	})
}

// last is the server that had a request last.
func (p *processRunner) lastServer(id string) (server *standIn) {
	p.observed.withLock(func() {
		for _, a := range p.observed.arrivals {
			if a.id == id {
				server = p.servers[a.server]
			}
		}
	})
	return server
}

// watched waits until a call of discovery's shows that the program holds the list as it is there now, or, where that
// is an older one, that it has asked often enough to have heard it.
func (p *processRunner) waitForList() error {
	p.discovery.mu.Lock()
	version := p.discovery.version
	p.discovery.mu.Unlock()
	return p.waitFor("word that it has heard", func() (there bool) {
		p.observed.withLock(func() {
			there = p.observed.heldVersion == version || p.staleList && p.observed.discoveryCalls >= p.callsBefore+4
		})
		return there
	})
}

func (p *processRunner) runStep(s Step) error {
	p.observed.withLock(func() {
		p.arrivalsBefore, p.callsBefore = len(p.observed.arrivals), p.observed.discoveryCalls
		for id := range p.observed.answers {
			p.answeredBefore[id] = true
		}
	})
	switch s.Discovery {
	case "stale":
		p.discovery.revertToInitial()
		p.staleList = true
	case "silent":
		p.discovery.silence()
	case "down", "up":
		p.discovery.mu.Lock()
		p.discovery.down = s.Discovery == "down"
		p.discovery.mu.Unlock()
	case "moved":
		if err := p.discovery.move(); err != nil {
			return err
		}
	}
	if s.List != "" {
		if err := p.publishList(s.Servers, s.List); err != nil {
			return err
		}
		if (s.Discovery == "" || s.Discovery == "up") && s.Signal == "" && s.Want == nil { // others wait for what comes of it
			if err := p.waitForList(); err != nil {
				return err
			}
		}
	}
	if s.Restart {
		if err := p.restart(); err != nil {
			return err
		}
	}
	if s.Signal != "" {
		if _, err := p.writeConfig(); err != nil {
			return err
		}
		if err := p.cmd.Process.Signal(map[string]os.Signal{"TERM": syscall.SIGTERM, "HUP": syscall.SIGHUP}[s.Signal]); err != nil {
			return err
		}
	}
	if s.AwaitClosed {
		if err := p.waitFor("new connections to be refused", func() bool {
			c, err := net.Dial("tcp", p.listenAddr)
			if err == nil {
				c.Close()
			}
			return err != nil
		}); err != nil {
			return err
		}
	}
	for _, id := range s.Dial {
		c, err := net.Dial("tcp", p.listenAddr)
		if err != nil {
			return err
		}
		p.dialled[requestName(id)] = c
	}
	time.Sleep(s.Pause.Std())
	for _, id := range s.Connect {
		p.servers[id].startAccepting()
	}
	for _, id := range s.Requests {
		if err := p.sendRequest(requestName(id), s); err != nil {
			return err
		}
	}
	for _, id := range s.StrayAnswers {
		server := p.lastServer(requestName(id))
		server.mu.Lock()
		c := server.answeredOn[requestName(id)]
		server.mu.Unlock()
		if _, err := io.WriteString(c, completeAnswer("stray")); err != nil {
			return err
		}
	}
	for _, id := range s.EndAttempts {
		server := p.lastServer(requestName(id))
		if server == nil {
			return fmt.Errorf("%s has reached no server, so it can't end", requestName(id))
		}
		server.endingOf(requestName(id)) <- s.Ending
	}
	for _, id := range s.ClientsLeave {
		p.cancels[requestName(id)]()
	}
	if len(s.ClientsLeave) > 0 {
		if err := p.waitFor("the program to let go of them", func() bool {
			want, gone := 0, true
			p.observed.withLock(func() {
				want = p.countUnanswered()
				for _, id := range s.ClientsLeave {
					_, quit := p.observed.answers[requestName(id)]
					gone = gone && quit
				}
			})
			return gone && p.pendingRequests() == want
		}); err != nil {
			return err
		}
	}
	if s.Flow != nil {
		if err := p.runFlow(s); err != nil {
			return err
		}
	}
	if s.Raw != "" {
		p.sendRaw(s)
	}
	if s.Want == nil {
		return nil
	}
	return p.checkWant(s)
}

// flow plays many requests one after the other; servers answer by themselves.
func (p *processRunner) runFlow(s Step) error {
	for id, n := range p.servers {
		n.mu.Lock()
		n.autoEnding = cmp.Or(s.Flow.Endings[id], "served")
		n.mu.Unlock()
	}
	for i := range s.Flow.Count {
		id := requestName(s.Flow.FirstID + i)
		if err := p.sendRequest(id, s); err != nil {
			return err
		}
		if err := p.waitFor(id+" to be answered", func() (there bool) {
			p.observed.withLock(func() { _, there = p.observed.answers[id] })
			return there
		}); err != nil {
			return err
		}
	}
	for _, n := range p.servers {
		n.mu.Lock()
		n.autoEnding = ""
		n.mu.Unlock()
	}
	return nil
}

// raw sends bytes on a connection of its own.
func (p *processRunner) sendRaw(s Step) {
	c, err := net.Dial("tcp", p.listenAddr)
	if err != nil {
		p.failf("dial: %v", err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(maxWait)) // fails only on a closed connection
	if s.Raw != "nothing" {
		_, _ = io.WriteString(c, s.Raw) // a sidecar that ends it early is one that may
	}
	status := 0
	if res, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		status = res.StatusCode
		res.Body.Close()
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		p.failf("neither an answer nor a close")
	}
	if w := s.Want; w != nil && len(w.StatusRange) == 2 && status != 0 && (status < w.StatusRange[0] || status > w.StatusRange[1]) {
		p.failf("answered %d, want %v", status, w.StatusRange)
	}
}

// happened sorts what this step brought.
func (p *processRunner) stepEvents() (did map[string][]string, tally map[string]int) {
	did, tally = make(map[string][]string), make(map[string]int)
	p.observed.withLock(func() {
		for _, a := range p.observed.arrivals[min(p.arrivalsBefore, len(p.observed.arrivals)):] {
			did["sent"] = append(did["sent"], a.id)
			did["to"] = append(did["to"], a.server)
			tally["sent"]++
			tally[a.server]++
		}
		for _, id := range slices.Sorted(maps.Keys(p.observed.answers)) {
			if a := p.observed.answers[id]; !p.answeredBefore[id] {
				did[a.result] = append(did[a.result], id)
				tally[a.result]++
				if a.result == "refused" {
					did["advice"] = append(did["advice"], a.retryAfter)
				}
			}
		}
		tally["asks"] = p.observed.discoveryCalls - p.callsBefore
	})
	for _, all := range did {
		slices.Sort(all)
	}
	return did, tally
}

// judge waits until what is wanted of a step has come, and says what came besides.
func (p *processRunner) checkWant(s Step) error {
	w := s.Want
	want := map[string][]string{}
	for how, ids := range map[string][]int{"sent": w.Sent, "served": w.Served, "refused": w.Refused, "failed": w.Failed, "broken": w.Broken} {
		for _, id := range ids {
			want[how] = append(want[how], requestName(id))
		}
		slices.Sort(want[how])
	}
	exact := s.Flow == nil && w.CountRanges == nil
	all := []string{"sent", "served", "refused", "failed", "broken"}
	err := p.waitFor("what is wanted", func() bool {
		did, tally := p.stepEvents()
		for how, ids := range did { // what is wrong already need not be waited for
			if strings.Contains(how, " ") || exact && slices.Contains(all, how) && len(ids) > len(want[how]) {
				return true
			}
		}
		for _, how := range all {
			if exact && len(did[how]) < len(want[how]) {
				return false
			}
		}
		for name, bounds := range w.CountRanges {
			if tally[name] < bounds[0] {
				return false
			}
		}
		return !w.DiscoveryAsked || tally["asks"] > 0
	})
	did, tally := p.stepEvents()
	for _, how := range all {
		if exact && !slices.Equal(did[how], want[how]) {
			p.failf("%s: %v, want %v", how, did[how], want[how])
		}
	}
	for how, ids := range did {
		if strings.Contains(how, " ") {
			p.failf("%v %s", ids, how)
		}
	}
	for name, bounds := range w.CountRanges {
		if tally[name] < bounds[0] || tally[name] > bounds[1] {
			p.failf("%s: %d, want %v", name, tally[name], bounds)
		}
	}
	for _, to := range did["to"] {
		if len(w.OnlyServers) > 0 && !slices.Contains(w.OnlyServers, to) {
			p.failf("sent to %s, want %v alone", to, w.OnlyServers)
		}
	}
	p.checkRetryAfter(w, did["advice"])
	if w.ProcessExits && err == nil {
		select {
		case end := <-p.exited:
			p.exited = nil
			if end != nil {
				p.failf("it ended with %v", end)
			}
		case <-time.After(maxWait):
			p.failf("it did not end")
		}
	}
	if err != nil && len(p.failures) == 0 {
		return err
	}
	return nil
}

func (p *processRunner) checkRetryAfter(w *Want, all []string) {
	most := numberSetting(p.settings, "caps", "max_retry_after_ms") / 1000
	if w.RetryAfterVaries && len(slices.Compact(slices.Sorted(slices.Values(all)))) < 2 {
		p.failf("%d refusals say the same Retry-After", len(all))
	}
	for _, text := range all {
		d, err := strconv.ParseFloat(text, 64)
		switch {
		case w.RetryAfter == "yes" && (err != nil || d <= 0 || d > most), w.RetryAfter == "no" && text != "":
			p.failf("a refusal says Retry-After: %q", text)
		}
	}
}
