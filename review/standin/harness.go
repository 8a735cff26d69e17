// Standin plays one case of the review: it starts the sidecar as the deploy file does, and takes the place of its
// client, its servers and discovery on loopback addresses.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run to a file, with the time since the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// class is a class of requests in the settings.
type class struct {
	name, semantics string
	aim, deadline   time.Duration
	window          time.Duration
	worth           float64
}

// The site's two classes.
var classes = []class{
	{"publish", "single_shot", 150 * time.Millisecond, 500 * time.Millisecond, 0, 10},
	{"rebuild", "guarded", 200 * time.Millisecond, 800 * time.Millisecond, 4 * time.Second, 3},
}

// quota is how many requests a second all tenants have within their shares.
const quota = 466

// The site's tenants and their shares.
var tenants = []struct {
	name  string
	share float64
}{
	{"aspen-parkland", 0.27}, {"big-coulee", 0.17}, {"north-saskatch", 0.12}, {"qu-appelle", 0.11}, {"whitemud", 0.08},
	{"cypress-hills", 0.07}, {"swift-creek", 0.07}, {"pembina", 0.06}, {"souris-bend", 0.05},
}

// limits are what the configuration gives the sidecar.
type limits struct{ memoryMB, sockets int }

// sidecar is a running sidecar process.
type sidecar struct {
	address string
	cmd     *exec.Cmd
	done    chan struct{}
	dir     string
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// deployRun returns the command with which the deploy file starts a sidecar.
func deployRun(root string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(raw)
	if found == nil {
		return "", errors.New("the deploy file has no run")
	}
	return string(found[1]), nil
}

// startSidecar writes a configuration and starts a sidecar that knows the given servers.
func startSidecar(root, dir string, limits limits, discovery *discovery, rec *record) (*sidecar, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	var classList []any
	for _, c := range classes {
		classList = append(classList, map[string]any{
			"name": c.name, "aim_ms": c.aim.Milliseconds(), "hard_limit_ms": c.deadline.Milliseconds(), "semantics": c.semantics,
			"dedup_scope": "zone", "window_ms": c.window.Milliseconds(), "worth": c.worth, "late_share": 0, "stream": false,
		})
	}
	var orgs []any
	for _, t := range tenants {
		orgs = append(orgs, map[string]any{"name": t.name, "share": t.share, "quota_per_s": t.share * quota})
	}
	config := map[string]any{
		"name": "n0", "listen": listen, "discovery": discovery.address(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": limits.memoryMB, "sockets": limits.sockets},
		"known":  discovery.list(),
		"settings": map[string]any{
			"balancers": 2, "me": 0, "zone": 0, "zones": []string{"regina-north", "saskatoon-east"}, "period_ms": 2, "tier": 0,
			"layers": []string{"publish-queue"}, "kinds": []string{"one-core"}, "kind_of_service": "mesh",
			"discovery": "ask", "weights": "rough", "worth_by": "work", "over_share_worth": 0.1,
			"caps": map[string]any{
				"conn_idle_ms": 15000, "dial_timeout_ms": 75, "may_cancel": true, "most_tries": 6, "max_open": 26451, "cpu_us_per_s": 132255,
				"cpu_us_per_request": 0, "streams_per_conn": 1, "max_retry_after_ms": 800, "probes": true, "retry_after": true, "second_copies": true, "peers": false,
			},
			"charges":       map[string]any{"cross_zone": 0.03, "handshake": 0.02, "discovery": 0.02, "probe": 0.01, "waste": 0.034, "late_fail": 0.059},
			"client_habits": map[string]any{"marks_retry": true},
			"classes":       classList,
			"orgs":          orgs,
			"rules": map[string]any{
				"answer_slack_ms": 8, "ask_within_ms": 10000, "cold_from": 0.13, "cold_ms": 24000, "fall_multiple": 4,
				"overload_for_ms": 2000, "stop_sending_within_ms": 1000,
			},
			"telemetry": map[string]any{"how": "silent", "columns": []string{}},
		},
	}
	raw, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		return nil, err
	}
	state := filepath.Join(dir, "state")
	if err := os.MkdirAll(state, 0o755); err != nil {
		return nil, err
	}
	run, err := deployRun(root)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "sidecar.log"))
	if err != nil {
		return nil, err
	}
	s := &sidecar{address: listen, done: make(chan struct{}), dir: dir}
	s.cmd = exec.Command("/bin/sh", "-c", run)
	s.cmd.Dir, s.cmd.Stdout, s.cmd.Stderr = root, log, log
	s.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+path, "TMPDIR="+state)
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		err := s.cmd.Wait()
		rec.log("sidecar: process %d ended: %v", s.cmd.Process.Pid, err)
		close(s.done)
	}()
	rec.log("sidecar: process %d started by %q", s.cmd.Process.Pid, run)
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		res, err := http.Get("http://" + listen + "/up")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			http.DefaultClient.CloseIdleConnections()
			return s, nil
		}
	}
	s.kill()
	return nil, errors.New("the sidecar was not ready within 30 s")
}

// signal sends a signal to the process that run started.
func (s *sidecar) signal(sig syscall.Signal) { _ = s.cmd.Process.Signal(sig) }

// kill ends the process and waits for its end.
func (s *sidecar) kill() {
	s.signal(syscall.SIGKILL)
	<-s.done
}

// discovery lists servers that never change.
type discovery struct {
	listener net.Listener
	servers  []*upstream
}

func newDiscovery(servers ...*upstream) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{listener: l, servers: servers}
	go func() { _ = http.Serve(l, d) }()
	return d, nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

// list returns the whole list.
func (d *discovery) list() map[string]any {
	instances := []any{}
	for i, s := range d.servers {
		instances = append(instances, map[string]any{
			"instanceId": fmt.Sprintf("s-%08x", 0x5be2a07c+i), "hostPort": s.address(), "zone": s.zone, "machineType": "one-core",
			"cell": 0, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0,
		})
	}
	return map[string]any{"generation": 41, "reset": true, "instances": instances}
}

// ServeHTTP answers a call for the whole list at once, and a watch once its wait has passed, as nothing changes.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := d.list()
	if r.URL.Query().Get("index") != "" {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		answer = map[string]any{"generation": 41, "reset": false, "instances": []any{}}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// ethernetSegment is the largest TCP segment between a sidecar and a server.
const ethernetSegment = 1460

// upstream is a server of the list. Its handler gets each connection and reads and writes as it pleases.
type upstream struct {
	name     string
	zone     string
	listener net.Listener
}

func newUpstream(name, zone string, handle func(u *upstream, c net.Conn)) (*upstream, error) {
	// The loopback interface has segments of 64 KiB, and so far larger socket buffers than a network between machines.
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetSegment)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{name: name, zone: zone, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(u, c)
		}
	}()
	return u, nil
}

func (u *upstream) address() string { return u.listener.Addr().String() }

// answer is what a client got.
type answer struct {
	status int
	whole  bool
	bytes  int64
	text   string    // the beginning of the body
	at     time.Time // of the last byte, or of the end of the connection
	err    error
	keep   bool // the connection may be used again
}

// maxText is how much of a body is kept.
const maxText = 64

func (a answer) String() string {
	if a.whole {
		return fmt.Sprintf("%d with %d bytes, whole", a.status, a.bytes)
	}
	return fmt.Sprintf("status %d, %d bytes, not whole: %v", a.status, a.bytes, a.err)
}

// readAnswer reads one answer.
func readAnswer(r *bufio.Reader) answer {
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	var n int64
	text := ""
	buffer := make([]byte, 64<<10)
	for {
		m, err := res.Body.Read(buffer)
		n += int64(m)
		if len(text) < maxText {
			text += string(buffer[:min(m, maxText-len(text))])
		}
		if err != nil {
			return answer{status: res.StatusCode, whole: err == io.EOF, bytes: n, text: text, at: time.Now(), err: err, keep: !res.Close}
		}
	}
}

// head returns a request's head in the form of the protocol page. length is that of the body.
func head(class, id, tenant string, timeout time.Duration, length int64) string {
	key := ""
	if class == "rebuild" {
		key = "Idempotency-Key: k" + id + "\r\n"
	}
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Tenant-Id: %s\r\n"+
		"X-Route-Key: 7f3a9c21e0b4d655\r\nX-Timeout: %dm\r\n%sContent-Length: %d\r\n\r\n", class, id, class, tenant, timeout.Milliseconds(), key, length)
}
