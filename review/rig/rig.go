// Rig plays the cases 6 to 10 of the review: it starts the sidecar as the deploy file has it, between small stand-ins
// for clients, servers and discovery on loopback, and judges what those have seen.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cases are the cases by name; each returns an error if it can't be played.
var cases = make(map[string]func(*rig) error)

// rig is one play of a case.
type rig struct {
	trouble bool // false: TROUBLE=0, the same without the disruption
	began   time.Time
	folder  string // temporary
	command string // run of the deploy file

	mu     sync.Mutex
	record *os.File
	broken []string

	sidecars []*sidecar
}

// errUnplayable means that a case could not be run.
var errUnplayable = errors.New("could not be played")

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// fail records that the rule was broken.
func (r *rig) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// class is a class of requests in the settings.
type class struct {
	name, effect, scope string
	deadline, window    int // milliseconds
}

var (
	publish = class{"publish", "single_shot", "all", 500, 5000}
	rebuild = class{"rebuild", "guarded", "zone", 800, 4000}
	status  = class{"status", "free", "all", 500, 0}
)

// answerSlack is how long after a request's time its final answer still counts, 0.5 s and the 50 ms of sockets, and
// 50 ms for the machine that plays the case.
const answerSlack = 600 * time.Millisecond

// settings returns settings like those of a small deployment.
func settings(classes ...class) map[string]any {
	var list []any
	for _, c := range classes {
		list = append(list, map[string]any{
			"name": c.name, "semantics": c.effect, "dedup_scope": c.scope, "hard_limit_ms": float64(c.deadline),
			"aim_ms": 150.0, "late_share": 0.0, "window_ms": float64(c.window), "worth": 10.0, "stream": false,
		})
	}
	return map[string]any{
		"balancers": 2, "me": 0, "zone": 0, "zones": []any{"north", "east"}, "kinds": []any{"one-core"}, "tier": 0, "layers": []any{"queue"},
		"kind_of_service": "mesh", "period_ms": 2.0, "weights": "rough", "worth_by": "work", "discovery": "ask", "over_share_worth": 0.1,
		"classes":       list,
		"orgs":          []any{map[string]any{"name": "farm", "share": 1.0, "quota_per_s": 400.0}},
		"client_habits": map[string]any{"marks_retry": true},
		"telemetry":     map[string]any{"how": "silent", "columns": []any{}},
		"charges":       map[string]any{"cross_zone": 0.03, "probe": 0.01, "handshake": 0.02},
		"caps": map[string]any{
			"conn_idle_ms": 15000.0, "dial_timeout_ms": 75.0, "max_open": 26451, "max_retry_after_ms": 800.0, "may_cancel": true, "most_tries": 6,
			"peers": false, "probes": true, "retry_after": true, "second_copies": true, "streams_per_conn": 1,
		},
		"rules": map[string]any{
			"answer_slack_ms": 8.0, "ask_within_ms": 10000.0, "cold_from": 0.13, "cold_ms": 24000.0, "fall_multiple": 4.0, "overload_for_ms": 2000.0,
			"stop_sending_within_ms": 1000.0,
		},
	}
}

// sidecar is a process of the project's sidecar.
type sidecar struct {
	rig                   *rig
	name, listen, console string
	config, temporary     string
	discovery             *discovery
	settings              map[string]any
	memoryMB, sockets     int
	process               *exec.Cmd
	exited                chan struct{}
	log                   *os.File
	known                 any
}

// freePort returns a loopback address that is free now.
func freePort(host string) string {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// writeConfig writes the sidecar's configuration.
func (s *sidecar) writeConfig() error {
	file := map[string]any{
		"name": s.name, "listen": s.listen, "discovery": s.discovery.address, "seed": "8c1f30d27a5be964", "console": s.console,
		"limits": map[string]any{"cores": 1.0, "memory_mb": s.memoryMB, "sockets": s.sockets},
		"known":  s.known, "settings": s.settings,
	}
	raw, err := json.MarshalIndent(file, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.config+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(s.config+".new", s.config)
}

// start starts a sidecar and waits until it is ready.
func (r *rig) start(name string, d *discovery, set map[string]any, change func(*sidecar)) (*sidecar, error) {
	s := &sidecar{rig: r, name: name, listen: freePort("127.0.0.1"), console: freePort("127.0.0.1"), discovery: d, settings: set, memoryMB: 192, sockets: 1024}
	s.config = filepath.Join(r.folder, name+".json")
	s.temporary = filepath.Join(r.folder, name+".tmp")
	s.known = d.whole()
	if change != nil {
		change(s)
	}
	if err := os.MkdirAll(s.temporary, 0o700); err != nil {
		return nil, err
	}
	return s, s.run()
}

// run starts the process with the command of the deploy file, and waits until it is ready.
func (s *sidecar) run() error {
	if err := s.writeConfig(); err != nil {
		return err
	}
	var err error
	if s.log, err = os.OpenFile(filepath.Join(s.rig.folder, s.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	s.process = exec.Command("/bin/sh", "-c", s.rig.command)
	s.process.Env = append(os.Environ(), "EDGE_CONFIG="+s.config, "EDGE_NAME="+s.name, "EDGE_LISTEN="+s.listen, "EDGE_DISCOVERY="+s.discovery.address, "TMPDIR="+s.temporary)
	s.process.Stdout, s.process.Stderr = s.log, s.log
	s.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.process.Start(); err != nil {
		return err
	}
	s.rig.mu.Lock()
	s.rig.sidecars = append(s.rig.sidecars, s)
	s.rig.mu.Unlock()
	exited := make(chan struct{})
	s.exited = exited
	process := s.process
	go func() {
		err := process.Wait()
		s.rig.note("sidecar %s ended: %v", s.name, err)
		close(exited)
	}()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		res, err := http.Get("http://" + s.listen + "/up")
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				s.rig.note("sidecar %s is ready at %s", s.name, s.listen)
				return nil
			}
		}
	}
	return fmt.Errorf("%w: the sidecar was not ready", errUnplayable)
}

// alive reports whether the process runs.
func (s *sidecar) alive() bool {
	select {
	case <-s.exited:
		return false
	default:
		return true
	}
}

// memory returns the resident memory of the process in MB.
func (s *sidecar) memory() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// call makes a call at the sidecar's console.
func (s *sidecar) call(line string) string {
	c, err := net.DialTimeout("tcp", s.console, time.Second)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintln(c, line)
	raw, _ := io.ReadAll(c)
	return strings.TrimSpace(string(raw))
}

// small starts a small deployment: four servers in two zones, discovery and one sidecar.
func (r *rig) small(set map[string]any, answer func(*arrival), change func(*sidecar)) (*sidecar, []*server, *discovery, error) {
	var servers []*server
	for i := range 4 {
		s, err := r.newServer(fmt.Sprintf("s-%d", i), []string{"north", "east"}[i%2], answer)
		if err != nil {
			return nil, nil, nil, err
		}
		servers = append(servers, s)
	}
	d, err := r.newDiscovery(servers...)
	if err != nil {
		return nil, nil, nil, err
	}
	s, err := r.start("n1", d, set, change)
	return s, servers, d, err
}

// instance is an entry of discovery's list.
type instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs float64 `json:"startedAtMs"`
	version     int
}

// discovery is a stand-in for the service, with long polls.
type discovery struct {
	rig       *rig
	address   string
	listener  net.Listener
	mu        sync.Mutex
	version   int
	instances []*instance
	changed   chan struct{}
}

// newDiscovery starts a discovery that lists the servers.
func (r *rig) newDiscovery(servers ...*server) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{rig: r, address: l.Addr().String(), listener: l, version: 41, changed: make(chan struct{})}
	for i, s := range servers {
		d.instances = append(d.instances, &instance{InstanceID: s.name, HostPort: s.address, Zone: s.zone, MachineType: "one-core", Cell: i / 3, Lifecycle: "ready", Weight: 1})
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(d.serve)) }()
	return d, nil
}

// whole returns the whole list.
func (d *discovery) whole() map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []instance{}
	for _, i := range d.instances {
		if i.Lifecycle != "gone" {
			list = append(list, *i)
		}
	}
	return map[string]any{"generation": d.version, "reset": true, "instances": list}
}

// serve answers a call.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	var answer any
	if since, err := strconv.Atoi(r.URL.Query().Get("index")); err == nil {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		d.mu.Lock()
		changed, current := d.changed, d.version
		d.mu.Unlock()
		if current <= since {
			select {
			case <-changed:
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		d.mu.Lock()
		list := []instance{}
		for _, i := range d.instances {
			if i.version > since {
				list = append(list, *i)
			}
		}
		answer = map[string]any{"generation": d.version, "reset": false, "instances": list}
		d.mu.Unlock()
	} else {
		answer = d.whole()
	}
	raw, _ := json.Marshal(answer)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = w.Write(raw)
	d.rig.note("discovery answers %q: %s", r.URL.RawQuery, raw)
}

// arrival is a request that a server has received whole.
type arrival struct {
	server  *server
	at      time.Time
	began   time.Time // its first byte
	request *http.Request
	body    []byte
	conn    net.Conn
}

// id returns the request's X-Request-ID.
func (a *arrival) id() string { return a.request.Header.Get("X-Request-ID") }

// server is a stand-in for an upstream.
type server struct {
	rig           *rig
	name, address string
	zone          string
	listener      net.Listener
	answer        func(a *arrival) // writes the answer; the connection goes on if it has not closed it

	mu       sync.Mutex
	arrivals []*arrival
	conns    map[net.Conn]bool
}

// newServer starts a server.
func (r *rig) newServer(name, zone string, answer func(*arrival)) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{rig: r, name: name, address: l.Addr().String(), zone: zone, listener: l, answer: answer, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// serve serves a connection.
func (s *server) serve(c net.Conn) {
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		began := time.Now()
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			s.rig.note("%s had part of %s: %v", s.name, req.Header.Get("X-Request-ID"), err)
			return
		}
		a := &arrival{s, time.Now(), began, req, body, c}
		s.rig.note("%s received %s whole, %d bytes of body, X-Timeout %s", s.name, a.id(), len(body), req.Header.Get("X-Timeout"))
		s.mu.Lock()
		s.arrivals = append(s.arrivals, a)
		s.mu.Unlock()
		s.answer(a)
	}
}

// plain answers 200 with a body.
func plain(a *arrival, body string) {
	fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// runCommand returns the command that the deploy file has for a sidecar.
func runCommand() (string, error) {
	raw, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strconv.Unquote(value)
		}
	}
	return "", errors.New("the deploy file has no run")
}

// request is a client's request.
type request struct {
	class   class
	id, key string
	timeout int // milliseconds
	body    []byte
	more    string // further header lines
}

// head returns the request's head.
func (q request) head() string {
	method := "POST"
	if q.class.effect == "free" {
		method = "GET"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/job HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Tenant-Id: farm\r\nX-Timeout: %dm\r\n", method, q.class.name, q.id, q.class.name, q.timeout)
	if q.class.effect == "guarded" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", q.key)
	}
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + q.more + "\r\n"
}

// reply is what a client saw.
type reply struct {
	status int
	body   []byte
	err    error         // why the answer is not whole
	first  time.Duration // to the head, from the last byte of the request
	took   time.Duration // to the end
	closed bool          // the connection ended
}

// ask sends a request on a connection and reads the answer until limit.
func (r *rig) ask(c net.Conn, q request, limit time.Duration) (p reply) {
	r.note("client sends %s, class %s, %d ms, %d bytes of body", q.id, q.class.name, q.timeout, len(q.body))
	if _, err := c.Write(append([]byte(q.head()), q.body...)); err != nil {
		p = reply{err: err, closed: true}
	} else {
		p = read(c, q, limit)
	}
	r.note("client has of %s: %v", q.id, p)
	return p
}

// read reads an answer.
func read(c net.Conn, q request, limit time.Duration) (p reply) {
	sent := time.Now()
	_ = c.SetReadDeadline(sent.Add(limit))
	method := "POST"
	if q.class.effect == "free" {
		method = "GET"
	}
	res, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	p.first = time.Since(sent)
	if err == nil {
		var body bytes.Buffer
		p.status = res.StatusCode
		_, err = io.Copy(&body, res.Body)
		p.body = body.Bytes()
	}
	p.took, p.err = time.Since(sent), err
	p.closed = err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return p
}

// String describes a reply.
func (p reply) String() string {
	return fmt.Sprintf("status %d, %d bytes, head after %v, end after %v, error %v", p.status, len(p.body), p.first.Round(time.Millisecond), p.took.Round(time.Millisecond), p.err)
}

// dial connects to the sidecar.
func (s *sidecar) dial() (net.Conn, error) { return net.DialTimeout("tcp", s.listen, time.Second) }

// play plays a case and returns the exit code.
func play(name, recordPath string, run func(*rig) error) int {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(folder)
	command, err := runCommand()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &rig{command: command, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), folder: folder, record: record}
	r.note("case %s, trouble %v", name, r.trouble)
	err = run(r)
	for _, s := range r.sidecars {
		if s.alive() {
			_ = s.process.Process.Kill()
			<-s.exited
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(folder))
	}
	switch {
	case len(r.broken) > 0:
		r.note("the rule was broken")
		fmt.Printf("case %s: the rule was broken: %s\n", name, strings.Join(r.broken, "; "))
		return 1
	case err != nil:
		r.note("could not be played: %v", err)
		fmt.Printf("case %s: could not be played: %v\n", name, err)
		return 2
	}
	r.note("the rule held")
	fmt.Printf("case %s: the rule held\n", name)
	return 0
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], run))
}
