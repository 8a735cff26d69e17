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
const generous = time.Minute

// process is a real caperarch between stand-ins.
type process struct {
	row     Row
	set     map[string]any
	program string
	dir     string // its state, and its configuration
	cmd     *exec.Cmd
	ended   chan error
	listen  string
	console string
	story   *story
	servers map[string]*standIn
	agency  *agency
	known   string                    // the list as it is told at its start
	classOf map[string]map[string]any // by request
	zones   map[string]int            // by server
	quit    map[string]context.CancelFunc
	dialled map[string]net.Conn // connections that came up before their requests
	faults  []string
	seen    int // of the story's arrivals, before this step
	had     map[string]bool
	calls   int  // of discovery, before this step
	stale   bool // discovery has an older list than it had
}

func (p *process) fault(format string, args ...any) {
	p.faults = append(p.faults, fmt.Sprintf(format, args...))
}

func name(id int) string { return "q" + strconv.Itoa(id) }

// playProcess plays a row on the program at a path and returns what was not as expected.
func playProcess(t *Tables, r Row, program, dir string) (faults []string, err error) {
	p := &process{row: r, set: t.settings(r), program: program, dir: dir, classOf: make(map[string]map[string]any), zones: make(map[string]int), quit: make(map[string]context.CancelFunc),
		servers: make(map[string]*standIn), story: &story{answers: make(map[string]reply)}, had: make(map[string]bool), dialled: make(map[string]net.Conn)}
	if p.agency, err = newAgency(p.story, r.Indented); err != nil {
		return nil, err
	}
	defer p.agency.server.Close()
	defer func() {
		for _, s := range p.servers {
			s.close()
		}
		for _, quit := range p.quit {
			quit()
		}
		for _, c := range p.dialled {
			c.Close()
		}
	}()
	known := ""
	if len(r.Known) > 0 {
		if err := p.list(r.Known, "full"); err != nil {
			return nil, err
		}
		known = p.agency.list(-1)
	}
	if err := p.list(r.Servers, "full"); err != nil {
		return nil, err
	}
	p.known = cmp.Or(known, p.agency.list(-1))
	p.agency.first, p.agency.begun = maps.Clone(p.agency.entries), p.agency.version
	if err := p.start(program); err != nil {
		return nil, err
	}
	if len(r.Known) > 0 {
		if err := p.watched(); err != nil {
			return nil, err
		}
	}
	defer func() {
		if p.ended != nil {
			_ = p.cmd.Process.Kill() // it fails only if it has ended
			<-p.ended
		}
	}()
	for i, s := range r.Steps {
		before := len(p.faults)
		if err := p.step(s); err != nil {
			p.fault("%v", err)
		}
		for k := before; k < len(p.faults); k++ {
			p.faults[k] = fmt.Sprintf("step %d: %s", i+1, p.faults[k])
		}
		if len(p.faults) > before {
			break // what comes behind it would only wait in vain
		}
	}
	p.rules()
	return p.faults, nil
}

// rules hold all that the servers had to the rules on repeats.
func (p *process) rules() {
	p.story.mu.Lock()
	defer p.story.mu.Unlock()
	p.faults = append(p.faults, p.story.wrong...)
	before := make(map[string][]arrival)
	for _, a := range p.story.reached {
		kind := semantics(p.classOf[a.id])
		if most := int(figure(p.set, "caps", "most_tries")); len(before[a.id]) >= most {
			p.fault("%s has more than %d attempts", a.id, most)
		}
		for _, b := range before[a.id] {
			ran := b.how != "full" && b.how != "over"
			switch {
			case b.how == "":
				p.fault("%s comes to %s while it is out at %s", a.id, a.server, b.server)
			case ran && kind == "single_shot":
				p.fault("%s comes again, though it may have run", a.id)
			case ran && kind == "zone" && p.zones[a.server] != p.zones[b.server]:
				p.fault("%s comes to another zone, where its repeat is not dropped", a.id)
			}
		}
		before[a.id] = append(before[a.id], a)
	}
}

// list enters servers at discovery, and starts those that are new.
func (p *process) list(all []Server, how string) error {
	entries, order := make(map[string]string), []string{}
	for _, s := range all {
		if p.servers[s.ID] == nil {
			n, err := newStandIn(s.ID, p.story, s.Late)
			if err != nil {
				return err
			}
			p.servers[s.ID] = n
		}
		if s.Dead {
			p.servers[s.ID].close()
		}
		zones, _ := p.set["zones"].([]any)
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
		for id, text := range p.agency.entries { // whoever is not named has gone
			if entries[id] == "" {
				entries[id] = regexp.MustCompile(`"lifecycle":"\w+"`).ReplaceAllString(text, `"lifecycle":"gone"`)
				order = append(order, id)
			}
		}
	}
	p.agency.change(entries, order)
	return nil
}

// config writes the program's configuration.
func (p *process) config() (string, error) {
	raw, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": p.agency.address, "console": "127.0.0.1:0", "seed": "7",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256}, "settings": p.set, "known": json.RawMessage(p.known),
	})
	if err != nil {
		return "", err
	}
	path := filepath.Join(p.dir, "config.json")
	return path, os.WriteFile(path, raw, 0o600)
}

var (
	listening = regexp.MustCompile(`msg=serving.* listen=(\S+)`)
	atConsole = regexp.MustCompile(`msg=console.* listen=(\S+)`)
)

// starter runs what starts processes on one thread, which lasts as long as this process: they end with it.
var starter = sync.OnceValue(func() chan<- func() {
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
func (p *process) restart() error {
	if err := p.cmd.Process.Kill(); err != nil {
		return err
	}
	<-p.ended
	p.ended, p.listen, p.console = nil, "", ""
	p.story.see(func() { p.story.holds = -1 })
	if err := p.start(p.program); err != nil {
		return err
	}
	return p.watched()
}

func (p *process) start(program string) error {
	path, err := p.config()
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
	starter() <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	p.ended = make(chan error, 1)
	up, said := make(chan struct{}), new(bytes.Buffer)
	go func() {
		lines, ready := bufio.NewScanner(log), false
		for lines.Scan() {
			if m := listening.FindStringSubmatch(lines.Text()); m != nil {
				p.listen = m[1]
			}
			if m := atConsole.FindStringSubmatch(lines.Text()); m != nil {
				p.console = m[1]
			}
			if !ready {
				fmt.Fprintln(said, lines.Text())
			}
			if !ready && p.listen != "" && p.console != "" {
				ready = true
				close(up)
			}
		}
		p.ended <- p.cmd.Wait()
	}()
	select {
	case <-up:
	case err := <-p.ended:
		p.ended = nil
		return fmt.Errorf("it ended: %v\n%s", err, said)
	case <-time.After(generous):
		return errors.New("it did not begin to serve")
	}
	return p.until("it to be ready", func() bool {
		res, err := http.Get("http://" + p.listen + "/up")
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// until waits for something.
func (p *process) until(what string, holds func() bool) error {
	for end := time.Now().Add(generous); ; time.Sleep(2 * time.Millisecond) {
		if holds() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("waited in vain for %s", what)
		}
	}
}

// pending is how many requests the program holds, by its console; -1 if that does not answer.
func (p *process) pending() int {
	c, err := net.DialTimeout("tcp", p.console, generous)
	if err != nil {
		return -1
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(generous)) // fails only on a closed connection
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
func (p *process) outstanding() (n int) {
	for id := range p.classOf {
		if _, ok := p.story.answers[id]; !ok {
			n++
		}
	}
	return n
}

// ask sends a request on a connection of its own, and waits until the program has taken it.
func (p *process) ask(id string, s Step) error {
	ctx, quit := context.WithCancel(context.Background())
	p.quit[id] = quit
	method, more := http.MethodPost, map[string]string{}
	for _, c := range p.set["classes"].([]any) {
		if c := c.(map[string]any); c["name"] == s.Class {
			p.classOf[id] = c
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
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.listen+"/"+s.Class, body)
	if err != nil {
		return err
	}
	for name, value := range map[string]string{
		"X-Request-ID": id, "X-Priority-Class": s.Class, "X-Tenant-Id": s.Tenant,
		"X-Timeout": fmt.Sprintf("%dm", s.Left.Std().Milliseconds()),
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
		got := reply{how: "failed"}
		if err == nil {
			var text []byte
			text, err = io.ReadAll(res.Body)
			res.Body.Close()
			got.advice = res.Header.Get("Retry-After")
			switch {
			case res.StatusCode == http.StatusOK && err != nil:
				got.how = "broken" // and the client can tell
			case res.StatusCode == http.StatusOK:
				got.how = "served"
				if string(text) != "done "+id {
					got.how = fmt.Sprintf("served with %q", text)
				}
			case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests:
				got.how = "refused"
			}
		} else if ctx.Err() != nil {
			got.how = "left"
		} else {
			got.how = "lost: " + err.Error()
		}
		p.story.see(func() { p.story.answers[id] = got })
	}()
	twice := 0
	return p.until(id+" to be taken", func() bool {
		there, want := false, 0
		p.story.see(func() {
			_, there = p.story.answers[id]
			there = there || slices.ContainsFunc(p.story.reached, func(a arrival) bool { return a.id == id })
			want = p.outstanding()
		})
		if p.pending() == want {
			twice++
		} else {
			twice = 0
		}
		return there || twice >= 2 // the second look is behind what the first one found
	})
}

// last is the server that had a request last.
func (p *process) last(id string) (server *standIn) {
	p.story.see(func() {
		for _, a := range p.story.reached {
			if a.id == id {
				server = p.servers[a.server]
			}
		}
	})
	return server
}

// watched waits until a call of discovery's shows that the program holds the list as it is there now, or, where that
// is an older one, that it has asked often enough to have heard it.
func (p *process) watched() error {
	p.agency.mu.Lock()
	version := p.agency.version
	p.agency.mu.Unlock()
	return p.until("word that it has heard", func() (there bool) {
		p.story.see(func() { there = p.story.holds == version || p.stale && p.story.calls >= p.calls+4 })
		return there
	})
}

func (p *process) step(s Step) error {
	p.story.see(func() {
		p.seen, p.calls = len(p.story.reached), p.story.calls
		for id := range p.story.answers {
			p.had[id] = true
		}
	})
	switch s.Disc {
	case "stale":
		p.agency.stale()
		p.stale = true
	case "silent":
		p.agency.silence()
	case "down", "up":
		p.agency.mu.Lock()
		p.agency.down = s.Disc == "down"
		p.agency.mu.Unlock()
	case "moved":
		if err := p.agency.move(); err != nil {
			return err
		}
	}
	if s.List != "" {
		if err := p.list(s.Servers, s.List); err != nil {
			return err
		}
		if (s.Disc == "" || s.Disc == "up") && s.Signal == "" && s.Want == nil { // others wait for what comes of it
			if err := p.watched(); err != nil {
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
		if _, err := p.config(); err != nil {
			return err
		}
		if err := p.cmd.Process.Signal(map[string]os.Signal{"TERM": syscall.SIGTERM, "HUP": syscall.SIGHUP}[s.Signal]); err != nil {
			return err
		}
	}
	if s.Shut {
		if err := p.until("new connections to be refused", func() bool {
			c, err := net.Dial("tcp", p.listen)
			if err == nil {
				c.Close()
			}
			return err != nil
		}); err != nil {
			return err
		}
	}
	for _, id := range s.Dial {
		c, err := net.Dial("tcp", p.listen)
		if err != nil {
			return err
		}
		p.dialled[name(id)] = c
	}
	time.Sleep(s.Pause.Std())
	for _, id := range s.Up {
		p.servers[id].up()
	}
	for _, id := range s.Ask {
		if err := p.ask(name(id), s); err != nil {
			return err
		}
	}
	for _, id := range s.Stray {
		server := p.last(name(id))
		server.mu.Lock()
		c := server.served[name(id)]
		server.mu.Unlock()
		if _, err := io.WriteString(c, made("stray")); err != nil {
			return err
		}
	}
	for _, id := range s.End {
		server := p.last(name(id))
		if server == nil {
			return fmt.Errorf("%s has reached no server, so it can't end", name(id))
		}
		server.verdict(name(id)) <- s.As
	}
	for _, id := range s.Leave {
		p.quit[name(id)]()
	}
	if len(s.Leave) > 0 {
		if err := p.until("the program to let go of them", func() bool {
			want, gone := 0, true
			p.story.see(func() {
				want = p.outstanding()
				for _, id := range s.Leave {
					_, quit := p.story.answers[name(id)]
					gone = gone && quit
				}
			})
			return gone && p.pending() == want
		}); err != nil {
			return err
		}
	}
	if s.Flow != nil {
		if err := p.flow(s); err != nil {
			return err
		}
	}
	if s.Raw != "" {
		p.raw(s)
	}
	if s.Want == nil {
		return nil
	}
	return p.judge(s)
}

// flow plays many requests one after the other; servers answer by themselves.
func (p *process) flow(s Step) error {
	for id, n := range p.servers {
		n.mu.Lock()
		n.auto = cmp.Or(s.Flow.Answers[id], "served")
		n.mu.Unlock()
	}
	for i := range s.Flow.Count {
		id := name(s.Flow.From + i)
		if err := p.ask(id, s); err != nil {
			return err
		}
		if err := p.until(id+" to be answered", func() (there bool) {
			p.story.see(func() { _, there = p.story.answers[id] })
			return there
		}); err != nil {
			return err
		}
	}
	for _, n := range p.servers {
		n.mu.Lock()
		n.auto = ""
		n.mu.Unlock()
	}
	return nil
}

// raw sends bytes on a connection of its own.
func (p *process) raw(s Step) {
	c, err := net.Dial("tcp", p.listen)
	if err != nil {
		p.fault("dial: %v", err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(generous)) // fails only on a closed connection
	if s.Raw != "nothing" {
		_, _ = io.WriteString(c, s.Raw) // a sidecar that ends it early is one that may
	}
	status := 0
	if res, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		status = res.StatusCode
		res.Body.Close()
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		p.fault("neither an answer nor a close")
	}
	if w := s.Want; w != nil && len(w.Status) == 2 && status != 0 && (status < w.Status[0] || status > w.Status[1]) {
		p.fault("answered %d, want %v", status, w.Status)
	}
}

// happened sorts what this step brought.
func (p *process) happened() (did map[string][]string, tally map[string]int) {
	did, tally = make(map[string][]string), make(map[string]int)
	p.story.see(func() {
		for _, a := range p.story.reached[min(p.seen, len(p.story.reached)):] {
			did["sent"] = append(did["sent"], a.id)
			did["to"] = append(did["to"], a.server)
			tally["sent"]++
			tally[a.server]++
		}
		for _, id := range slices.Sorted(maps.Keys(p.story.answers)) {
			if a := p.story.answers[id]; !p.had[id] {
				did[a.how] = append(did[a.how], id)
				tally[a.how]++
				if a.how == "refused" {
					did["advice"] = append(did["advice"], a.advice)
				}
			}
		}
		tally["asks"] = p.story.calls - p.calls
	})
	for _, all := range did {
		slices.Sort(all)
	}
	return did, tally
}

// judge waits until what is wanted of a step has come, and says what came besides.
func (p *process) judge(s Step) error {
	w := s.Want
	want := map[string][]string{}
	for how, ids := range map[string][]int{"sent": w.Sent, "served": w.Served, "refused": w.Refused, "failed": w.Failed, "broken": w.Broken} {
		for _, id := range ids {
			want[how] = append(want[how], name(id))
		}
		slices.Sort(want[how])
	}
	exact := s.Flow == nil && w.Counts == nil
	all := []string{"sent", "served", "refused", "failed", "broken"}
	err := p.until("what is wanted", func() bool {
		did, tally := p.happened()
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
		for name, bounds := range w.Counts {
			if tally[name] < bounds[0] {
				return false
			}
		}
		return !w.Asks || tally["asks"] > 0
	})
	did, tally := p.happened()
	for _, how := range all {
		if exact && !slices.Equal(did[how], want[how]) {
			p.fault("%s: %v, want %v", how, did[how], want[how])
		}
	}
	for how, ids := range did {
		if strings.Contains(how, " ") {
			p.fault("%v %s", ids, how)
		}
	}
	for name, bounds := range w.Counts {
		if tally[name] < bounds[0] || tally[name] > bounds[1] {
			p.fault("%s: %d, want %v", name, tally[name], bounds)
		}
	}
	for _, to := range did["to"] {
		if len(w.Only) > 0 && !slices.Contains(w.Only, to) {
			p.fault("sent to %s, want %v alone", to, w.Only)
		}
	}
	p.advice(w, did["advice"])
	if w.Ends && err == nil {
		select {
		case end := <-p.ended:
			p.ended = nil
			if end != nil {
				p.fault("it ended with %v", end)
			}
		case <-time.After(generous):
			p.fault("it did not end")
		}
	}
	if err != nil && len(p.faults) == 0 {
		return err
	}
	return nil
}

func (p *process) advice(w *Want, all []string) {
	most := figure(p.set, "caps", "max_retry_after_ms") / 1000
	if w.Apart && len(slices.Compact(slices.Sorted(slices.Values(all)))) < 2 {
		p.fault("%d refusals say the same Retry-After", len(all))
	}
	for _, text := range all {
		d, err := strconv.ParseFloat(text, 64)
		switch {
		case w.Advice == "yes" && (err != nil || d <= 0 || d > most), w.Advice == "no" && text != "":
			p.fault("a refusal says Retry-After: %q", text)
		}
	}
}
