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

	"golang.org/x/sys/unix"
)

// maxWait limits every wait for an expected event. Only a faulty program reaches it.
const maxWait = time.Minute

// processRunner runs one row against a real caperarch process, with stand-ins for the servers and discovery.
type processRunner struct {
	row            Row
	settings       map[string]any
	program        string
	dir            string // holds the program's configuration and state
	cmd            *exec.Cmd
	exited         chan error // receives the result of cmd.Wait; nil while no process runs
	listenAddr     string
	consoleAddr    string
	observed       *observations
	servers        map[string]*standIn
	discovery      *discoveryStandIn
	knownJSON      string                        // cached server list in the program's configuration
	requestClass   map[string]map[string]any     // by request: the settings of its class
	zones          map[string]int                // by server
	cancels        map[string]context.CancelFunc // by request: disconnects its client
	dialled        map[string]net.Conn           // by request: a connection established before the request is made
	failures       []string
	arrivalsBefore int             // number of observed.arrivals before the current step
	answeredBefore map[string]bool // requests answered before the current step
	callsBefore    int             // number of observed.discoveryCalls before the current step
	staleList      bool            // discovery serves an older list than before
}

// failf records a failed check.
func (p *processRunner) failf(format string, args ...any) {
	p.failures = append(p.failures, fmt.Sprintf(format, args...))
}

// requestName returns the X-Request-ID of a request number.
func requestName(id int) string { return "q" + strconv.Itoa(id) }

// runProcess runs a row against the program at a path, with dir for its files, and returns the failed checks.
func runProcess(t *Tables, r Row, program, dir string) (failures []string, err error) {
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
		for _, cancel := range p.cancels {
			cancel()
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
	defer func() { // also if it has not become ready
		if p.exited != nil {
			_ = p.cmd.Process.Kill() // fails only if the process has exited
			<-p.exited
		}
	}()
	if err := p.start(program); err != nil {
		return nil, err
	}
	if len(r.CachedServers) > 0 {
		if err := p.waitForList(); err != nil {
			return nil, err
		}
	}
	for i, s := range r.Steps {
		before := len(p.failures)
		if err := p.runStep(s); err != nil {
			p.failf("%v", err)
		}
		for k := before; k < len(p.failures); k++ {
			p.failures[k] = fmt.Sprintf("step %d: %s", i+1, p.failures[k])
		}
		if len(p.failures) > before {
			break // the following steps would only wait until maxWait
		}
	}
	p.checkRepeats()
	return p.failures, nil
}

// checkRepeats checks all attempts that servers received against the rules on idempotency and the number of attempts.
func (p *processRunner) checkRepeats() {
	p.observed.mu.Lock()
	defer p.observed.mu.Unlock()
	p.failures = append(p.failures, p.observed.failures...)
	earlier := make(map[string][]arrival)
	for _, a := range p.observed.arrivals {
		class := semantics(p.requestClass[a.id])
		if maxAttempts := int(numberSetting(p.settings, "caps", "most_tries")); len(earlier[a.id]) >= maxAttempts {
			p.failf("%s has more than %d attempts", a.id, maxAttempts)
		}
		for _, b := range earlier[a.id] {
			mayHaveRun := b.ending != "full" && b.ending != "over"
			switch {
			case b.ending == "":
				p.failf("%s is sent to %s while an attempt is in flight at %s", a.id, a.server, b.server)
			case mayHaveRun && class == "single_shot":
				p.failf("%s is retried, although it may have been executed", a.id)
			case mayHaveRun && class == "zone" && p.zones[a.server] != p.zones[b.server]:
				p.failf("%s is retried in another zone, where repeats are not dropped", a.id)
			}
		}
		earlier[a.id] = append(earlier[a.id], a)
	}
}

// publishList publishes servers at the discovery stand-in, and starts stand-ins for those that are new. With a full list,
// servers that are missing from it are published as gone.
func (p *processRunner) publishList(all []Server, kind string) error {
	entries, order := make(map[string]string), []string{}
	for _, s := range all {
		if p.servers[s.ID] == nil {
			n, err := newStandIn(s.ID, p.observed, s.HoldConnections, p.pause)
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
	if kind == "full" {
		for id, text := range p.discovery.entries { // servers missing from a full list are gone
			if entries[id] == "" {
				entries[id] = regexp.MustCompile(`"lifecycle":"\w+"`).ReplaceAllString(text, `"lifecycle":"gone"`)
				order = append(order, id)
			}
		}
	}
	p.discovery.publish(entries, order)
	return nil
}

// writeConfig writes the program's configuration and returns its path.
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

// Log lines by which the program reports the addresses that it listens on.
var (
	listenLine  = regexp.MustCompile(`msg=serving.* listen=(\S+)`)
	consoleLine = regexp.MustCompile(`msg=console.* listen=(\S+)`)
)

// processStarter returns a channel of functions that start processes. They run on one thread that lives as long as the
// test process: Pdeathsig kills a child when the thread that started it exits.
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

// restart kills the program and starts it again with the state that it has stored.
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

// start starts the program and waits until it reports that it is ready.
func (p *processRunner) start(program string) error {
	path, err := p.writeConfig()
	if err != nil {
		return err
	}
	p.cmd = exec.Command(program)
	p.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+path, "TMPDIR="+p.dir, "EDGE_FLEET=", "EDGE_LOG=", "EDGE_LOG_LEVEL=")
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // see processStarter
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
	serving, output := make(chan struct{}), new(bytes.Buffer)
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
				fmt.Fprintln(output, lines.Text())
			}
			if !ready && p.listenAddr != "" && p.consoleAddr != "" {
				ready = true
				close(serving)
			}
		}
		p.exited <- p.cmd.Wait()
	}()
	select {
	case <-serving:
	case err := <-p.exited:
		p.exited = nil
		return fmt.Errorf("the program exited before it served: %v\n%s", err, output)
	case <-time.After(maxWait):
		return fmt.Errorf("the program did not serve within %v", maxWait)
	}
	return p.waitFor("the program to be ready", func() bool {
		res, err := http.Get("http://" + p.listenAddr + "/up")
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// stopPollInterval is the time between two checks whether the program's process has stopped.
const stopPollInterval = 50 * time.Microsecond

// pause stops all threads of the program until the returned function is called.
func (p *processRunner) pause() (resume func(), err error) {
	process := p.cmd.Process
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return nil, err
	}
	resume = func() { _ = process.Signal(syscall.SIGCONT) } // fails only if it has ended
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(stopPollInterval) {
		var info unix.Siginfo
		if err := unix.Waitid(unix.P_PID, process.Pid, &info, unix.WSTOPPED|unix.WNOHANG|unix.WNOWAIT, nil); err != nil && err != unix.EINTR {
			resume()
			return nil, fmt.Errorf("waiting for the program to stop: %w", err)
		}
		if info.Signo == int32(unix.SIGCHLD) {
			return resume, nil
		}
	}
	resume()
	return nil, fmt.Errorf("the program did not stop within %v", maxWait)
}

// waitFor polls a condition until it holds, and returns an error after maxWait.
func (p *processRunner) waitFor(description string, condition func() bool) error {
	for end := time.Now().Add(maxWait); ; time.Sleep(2 * time.Millisecond) {
		if condition() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("timed out waiting for %s", description)
		}
	}
}

// pendingRequests returns the number of requests that the program reports as pending on its console, or -1 if the
// console does not answer.
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
	n, _ := strconv.Atoi(string(m[1])) // the pattern matches only digits
	return n
}

// countUnanswered returns the number of requests without an answer. The caller holds the lock of observed.
func (p *processRunner) countUnanswered() (n int) {
	for id := range p.requestClass {
		if _, ok := p.observed.answers[id]; !ok {
			n++
		}
	}
	return n
}

// sendRequest sends a request on a new connection, and waits until the program has processed it: until it is
// answered, has reached a server, or is counted as pending.
func (p *processRunner) sendRequest(id string, s Step) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancels[id] = cancel
	method, extraHeaders := http.MethodPost, map[string]string{}
	for _, c := range p.settings["classes"].([]any) {
		if c := c.(map[string]any); c["name"] == s.Class {
			p.requestClass[id] = c
			switch c["semantics"] {
			case "free":
				method = http.MethodGet
			case "guarded":
				extraHeaders["Idempotency-Key"] = "k" + id
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
	for name, value := range extraHeaders {
		req.Header.Set(name, value)
	}
	dialled := p.dialled[id]
	go func() {
		client := http.Client{Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				if dialled != nil {
					return dialled, nil
				}
				return new(net.Dialer).DialContext(ctx, network, address)
			},
		}}
		res, err := client.Do(req)
		answer := reply{result: "failed"}
		if err == nil {
			var text []byte
			text, err = io.ReadAll(res.Body)
			res.Body.Close()
			answer.retryAfter = res.Header.Get("Retry-After")
			switch {
			case res.StatusCode == http.StatusOK && err != nil:
				answer.result = "broken" // the client detects that the body is incomplete
			case res.StatusCode == http.StatusOK:
				answer.result = "served"
				if string(text) != "done "+id {
					answer.result = fmt.Sprintf("served with %q", text)
				}
			case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests:
				answer.result = "refused"
			}
		} else if ctx.Err() != nil {
			answer.result = "left"
		} else {
			answer.result = "lost: " + err.Error()
		}
		p.observed.withLock(func() { p.observed.answers[id] = answer })
	}()
	matches := 0
	return p.waitFor(id+" to be accepted", func() bool {
		processed, want := false, 0
		p.observed.withLock(func() {
			_, processed = p.observed.answers[id]
			processed = processed || slices.ContainsFunc(p.observed.arrivals, func(a arrival) bool { return a.id == id })
			want = p.countUnanswered()
		})
		if p.pendingRequests() == want {
			matches++
		} else {
			matches = 0
		}
		return processed || matches >= 2 // a single match may be a transient state
	})
}

// lastServer returns the server that received the latest attempt of a request, or nil.
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

// waitForList waits until a call to discovery shows that the program has the current list. After discovery has reverted
// to an older list, it waits instead until the program has asked often enough to have received it.
func (p *processRunner) waitForList() error {
	p.discovery.mu.Lock()
	version := p.discovery.version
	p.discovery.mu.Unlock()
	return p.waitFor("the program to receive the server list", func() (heard bool) {
		p.observed.withLock(func() {
			heard = p.observed.heldVersion == version || p.staleList && p.observed.discoveryCalls >= p.callsBefore+4
		})
		return heard
	})
}

// runStep performs the events of a step and checks their results.
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
		if (s.Discovery == "" || s.Discovery == "up") && s.Signal == "" && s.Want == nil { // in other cases the step waits for the effects of the list
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
			return fmt.Errorf("%s has reached no server, so no attempt of it can end", requestName(id))
		}
		server.endingOf(requestName(id)) <- s.Ending
	}
	for _, id := range s.ClientsLeave {
		p.cancels[requestName(id)]()
	}
	if len(s.ClientsLeave) > 0 {
		if err := p.waitFor("the program to drop the requests of disconnected clients", func() bool {
			want, left := 0, true
			p.observed.withLock(func() {
				want = p.countUnanswered()
				for _, id := range s.ClientsLeave {
					_, answered := p.observed.answers[requestName(id)]
					left = left && answered
				}
			})
			return left && p.pendingRequests() == want
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

// runFlow makes the requests of a flow one after the other. The servers answer automatically.
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
		if err := p.waitFor(id+" to be answered", func() (answered bool) {
			p.observed.withLock(func() { _, answered = p.observed.answers[id] })
			return answered
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

// sendRaw sends the step's bytes on a new connection and checks the status of the answer.
func (p *processRunner) sendRaw(s Step) {
	c, err := net.Dial("tcp", p.listenAddr)
	if err != nil {
		p.failf("dial: %v", err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(maxWait)) // fails only on a closed connection
	if s.Raw != "nothing" {
		_, _ = io.WriteString(c, s.Raw) // the sidecar may close the connection before all bytes are written
	}
	status := 0
	if res, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		status = res.StatusCode
		res.Body.Close()
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		p.failf("the raw connection is neither answered nor closed within %v", maxWait)
	}
	if w := s.Want; w != nil && len(w.StatusRange) == 2 && status != 0 && (status < w.StatusRange[0] || status > w.StatusRange[1]) {
		p.failf("the raw request is answered with status %d, want %v", status, w.StatusRange)
	}
}

// stepEvents returns the events of the current step: the requests by kind of event and result, the servers of attempts
// ("to"), the Retry-After values of refusals ("advice"), and the number of events by kind and of attempts by server.
func (p *processRunner) stepEvents() (idsByEvent map[string][]string, counts map[string]int) {
	idsByEvent, counts = make(map[string][]string), make(map[string]int)
	p.observed.withLock(func() {
		for _, a := range p.observed.arrivals[min(p.arrivalsBefore, len(p.observed.arrivals)):] {
			idsByEvent["sent"] = append(idsByEvent["sent"], a.id)
			idsByEvent["to"] = append(idsByEvent["to"], a.server)
			counts["sent"]++
			counts[a.server]++
		}
		for _, id := range slices.Sorted(maps.Keys(p.observed.answers)) {
			if a := p.observed.answers[id]; !p.answeredBefore[id] {
				idsByEvent[a.result] = append(idsByEvent[a.result], id)
				counts[a.result]++
				if a.result == "refused" {
					idsByEvent["advice"] = append(idsByEvent["advice"], a.retryAfter)
				}
			}
		}
		counts["asks"] = p.observed.discoveryCalls - p.callsBefore
	})
	for _, all := range idsByEvent {
		slices.Sort(all)
	}
	return idsByEvent, counts
}

// checkWant waits for the expected results of a step, and records a failure for each difference.
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
	results := []string{"sent", "served", "refused", "failed", "broken"}
	err := p.waitFor("the expected results", func() bool {
		idsByEvent, counts := p.stepEvents()
		for how, ids := range idsByEvent { // an unexpected result fails the step, so there is nothing to wait for
			if strings.Contains(how, " ") || exact && slices.Contains(results, how) && len(ids) > len(want[how]) {
				return true
			}
		}
		for _, how := range results {
			if exact && len(idsByEvent[how]) < len(want[how]) {
				return false
			}
		}
		for name, bounds := range w.CountRanges {
			if counts[name] < bounds[0] {
				return false
			}
		}
		return !w.DiscoveryAsked || counts["asks"] > 0
	})
	idsByEvent, counts := p.stepEvents()
	for _, how := range results {
		if exact && !slices.Equal(idsByEvent[how], want[how]) {
			p.failf("%s: %v, want %v", how, idsByEvent[how], want[how])
		}
	}
	for how, ids := range idsByEvent {
		if strings.Contains(how, " ") {
			p.failf("%v %s", ids, how)
		}
	}
	for name, bounds := range w.CountRanges {
		if counts[name] < bounds[0] || counts[name] > bounds[1] {
			p.failf("%s: %d, want %v", name, counts[name], bounds)
		}
	}
	for _, to := range idsByEvent["to"] {
		if len(w.OnlyServers) > 0 && !slices.Contains(w.OnlyServers, to) {
			p.failf("sent to %s, want only %v", to, w.OnlyServers)
		}
	}
	p.checkRetryAfter(w, idsByEvent["advice"])
	if w.ProcessExits && err == nil {
		select {
		case exitErr := <-p.exited:
			p.exited = nil
			if exitErr != nil {
				p.failf("the program exited with %v", exitErr)
			}
		case <-time.After(maxWait):
			p.failf("the program did not exit within %v", maxWait)
		}
	}
	if err != nil && len(p.failures) == 0 {
		return err
	}
	return nil
}

// checkRetryAfter checks the Retry-After values of the refusals in a step.
func (p *processRunner) checkRetryAfter(w *Want, values []string) {
	maxRetryAfter := numberSetting(p.settings, "caps", "max_retry_after_ms") / 1000
	if w.RetryAfterVaries && len(slices.Compact(slices.Sorted(slices.Values(values)))) < 2 {
		p.failf("%d refusals have the same Retry-After", len(values))
	}
	for _, text := range values {
		d, err := strconv.ParseFloat(text, 64)
		switch {
		case w.RetryAfter == "yes" && (err != nil || d <= 0 || d > maxRetryAfter), w.RetryAfter == "no" && text != "":
			p.failf("a refusal has Retry-After %q", text)
		}
	}
}
