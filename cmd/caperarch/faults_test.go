//go:build linux && amd64

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"arrowgw/internal/sysfault"
)

// readAhead is more than a sidecar reads of what lies behind a request.
const readAhead = 20000

// patience bounds every wait for what is to happen; only a broken program lets it pass.
const patience = 20 * time.Second

const faultySettings = `{"listen":"127.0.0.1:0","console":"127.0.0.1:0","discovery":%q,"seed":"1f","limits":{"memory_mb":192,"sockets":256},
	"known":{"generation":1,"reset":true,"instances":[{"instanceId":"s-0","hostPort":%q,"zone":"","lifecycle":"ready","weight":1}]},
	"settings":{"balancers":1,"caps":{"most_tries":3,"conn_idle_ms":30000,"dial_timeout_ms":2500,"max_open":500,"may_cancel":true},
	"classes":[{"name":"look","aim_ms":%d,"hard_limit_ms":%[3]d,"semantics":"free","worth":1}],
	"orgs":[{"name":"north","share":1,"quota_per_s":1000}],
	"rules":{"cold_from":0.3,"cold_ms":1000,"fall_multiple":2.5}}}`

// queueServer is a server that takes requests as they come and answers as the test says.
type queueServer struct {
	listener net.Listener
	answer   func(c net.Conn, id string)
	arrived  chan string         // ids, in order
	heard    func(*http.Request) // hears of each request before it is answered; may be nil
}

func newQueueServer(t *testing.T, answer func(c net.Conn, id string)) *queueServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &queueServer{listener: l, answer: answer, arrived: make(chan string, 1000)}
	go s.accept()
	return s
}

func (s *queueServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *queueServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Request-ID")
		if s.heard != nil {
			s.heard(request)
		}
		s.arrived <- id
		s.answer(c, id)
	}
}

// answerAtOnce answers with the request's id.
func answerAtOnce(c net.Conn, id string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
}

// faultySidecar is a real sidecar whose system calls go as the test decides.
type faultySidecar struct {
	t          *testing.T
	supervisor *sysfault.Supervisor
	listen     string
	console    string
	config     string
	pid        int
	decide     atomic.Pointer[func(sysfault.Call) sysfault.Effect]

	mu    sync.Mutex
	log   strings.Builder
	ended chan struct{}
	err   error // its end, once ended is closed
}

// startFaulty starts a sidecar and waits until it serves. decide may be nil; it can be changed later.
func startFaulty(t *testing.T, config string, clock bool, calls []int, decide func(sysfault.Call) sysfault.Effect) *faultySidecar {
	t.Helper()
	return startFaultyIn(t, t.TempDir(), config, clock, calls, decide)
}

// startFaultyIn is startFaulty with the sidecar's state in a folder, which may be another process's too.
func startFaultyIn(t *testing.T, state, config string, clock bool, calls []int, decide func(sysfault.Call) sysfault.Effect) *faultySidecar {
	t.Helper()
	s := &faultySidecar{t: t, ended: make(chan struct{})}
	s.will(decide)
	cmd := program(t, config)
	s.config = strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "EDGE_CONFIG=")
	cmd.Env = append(cmd.Env, "EDGE_LOG_LEVEL=debug", "TMPDIR="+state)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	s.supervisor, err = sysfault.Start(cmd, sysfault.Options{Calls: calls, ControlClock: clock, Decide: func(c sysfault.Call) sysfault.Effect {
		return (*s.decide.Load())(c)
	}})
	if err != nil {
		t.Fatal(err)
	}
	s.pid = cmd.Process.Pid
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			s.mu.Lock()
			fmt.Fprintln(&s.log, lines.Text())
			s.mu.Unlock()
		}
		s.err = cmd.Wait()
		close(s.ended)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it fails only if it has ended
		<-s.ended
		s.supervisor.Wait()
		if t.Failed() {
			t.Logf("its log:\n%s", s.said())
		}
	})
	s.listen = s.saying(`msg=serving.* listen=(\S+)`)
	s.console = s.saying(`msg=console.* listen=(\S+)`)
	return s
}

// will has calls go as decide says from now on; nil lets all go on.
func (s *faultySidecar) will(decide func(sysfault.Call) sysfault.Effect) {
	if decide == nil {
		decide = func(sysfault.Call) sysfault.Effect { return sysfault.Effect{} }
	}
	s.decide.Store(&decide)
}

func (s *faultySidecar) said() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.String()
}

// saying waits until the log matches, and returns the first group.
func (s *faultySidecar) saying(pattern string) string {
	s.t.Helper()
	look := regexp.MustCompile(pattern)
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if m := look.FindStringSubmatch(s.said()); m != nil {
			return m[len(m)-1]
		}
		select {
		case <-s.ended:
			s.t.Fatalf("it ended (%v) and never said %s", s.err, pattern)
		default:
		}
	}
	s.t.Fatalf("it never said %s", pattern)
	return ""
}

func (s *faultySidecar) signal(signal syscall.Signal) {
	s.t.Helper()
	if err := syscall.Kill(s.pid, signal); err != nil {
		s.t.Fatal(err)
	}
}

func (s *faultySidecar) lives() bool {
	select {
	case <-s.ended:
		return false
	default:
		return true
	}
}

// client is one connection of the application's.
type client struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func (s *faultySidecar) connect() *client {
	s.t.Helper()
	c, err := net.Dial("tcp", s.listen)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience)) // fails only on a closed connection
	return &client{s.t, c, bufio.NewReader(c)}
}

// request words a request of the class.
func request(id string, left time.Duration) string {
	return fmt.Sprintf("GET /look HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: look\r\nX-Tenant-Id: north\r\nX-Timeout: %dm\r\n\r\n",
		id, left.Milliseconds())
}

// send writes text. That a sidecar has closed shows when the answer is read.
func (c *client) send(text string) { _, _ = io.WriteString(c.conn, text) }

// wants reads an answer, and says whether it is whole and, where it is a 200, that of the request.
func (c *client) wants(id string, statuses ...int) {
	c.t.Helper()
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Errorf("request %s got no answer: %v", id, err)
		return
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		c.t.Errorf("request %s got no whole answer: %v", id, err)
	}
	for _, want := range statuses {
		if res.StatusCode == want && (want != http.StatusOK || string(body) == id) {
			return
		}
	}
	c.t.Errorf("request %s was answered %d %q, want one of %v", id, res.StatusCode, body, statuses)
}

// eventually waits until something holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// A system call that fails for a moment costs no client its answer, and ends no sidecar.
func TestFailingSystemCallsLoseNoRequest(t *testing.T) {
	for _, errno := range []syscall.Errno{
		unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.ECONNABORTED, unix.EINTR, unix.ENETUNREACH, unix.ENETDOWN, unix.EPROTO, unix.ENOPROTOOPT,
		unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.EPERM, unix.ETIMEDOUT, unix.EADDRNOTAVAIL, unix.ENOSPC,
	} {
		t.Run("accept "+unix.ErrnoName(errno), func(t *testing.T) { acceptFails(t, errno) })
	}
	t.Run("accept at the end of listening", acceptFailsAtTheEnd)
	t.Run("poll for a client that left", pollIsInterrupted)
	t.Run("all looks for a client that left", looksFail)
	t.Run("accept for a while, behind a request", acceptFailsForLong)
	t.Run("read behind a last answer", readBehindAnswerIsInterrupted)
	t.Run("listen at the start", listenFailsAtStart)
	t.Run("connect to a server", connectFails)
	t.Run("open at a reload", openFailsAtReload)
}

// acceptFails has every second call of accept fail, from each listener's first on: whichever call takes a connection,
// the next one fails, while that connection's request is still to come.
func acceptFails(t *testing.T, errno syscall.Errno) {
	server := newQueueServer(t, answerAtOnce)
	var mu sync.Mutex
	calls := make(map[uint64]int) // by listener: there is the console's too
	s := startFaulty(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), 2000), false, []int{unix.SYS_ACCEPT4}, func(c sysfault.Call) sysfault.Effect {
		mu.Lock()
		defer mu.Unlock()
		listener := c.Arguments[0]
		calls[listener]++
		if calls[listener]%2 == 1 {
			return sysfault.Effect{Errno: errno}
		}
		return sysfault.Effect{}
	})
	first := s.connect()
	second := s.connect()
	// Two connections take six calls: each that takes one is an even one, and the last finds none. So the first
	// connection is taken by the fourth at the latest, and the fifth fails behind it. Nobody comes to the console.
	eventually(t, "the sixth call of accept at a listener", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return slices.Max(append(slices.Collect(maps.Values(calls)), 0)) >= 6 || !s.lives()
	})
	first.send(request("q1", time.Second))
	first.wants("q1", http.StatusOK)
	second.send(request("q2", time.Second))
	second.wants("q2", http.StatusOK)
	if !s.lives() {
		t.Errorf("the sidecar ended: %v", s.err)
	}
}

// acceptFailsAtTheEnd leaves a connection in the listener's queue until a stop, where accept fails once more.
func acceptFailsAtTheEnd(t *testing.T) {
	server := newQueueServer(t, answerAtOnce)
	s := startFaulty(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), 2000), false, []int{unix.SYS_ACCEPT4}, nil)
	var failing atomic.Bool
	failing.Store(true)
	s.will(func(sysfault.Call) sysfault.Effect {
		if failing.Load() {
			return sysfault.Effect{Errno: unix.EMFILE}
		}
		return sysfault.Effect{}
	})
	c := s.connect()
	c.send(request("q1", 1500*time.Millisecond))
	s.signal(syscall.SIGTERM)
	s.saying("msg=(stopping)")
	heal := time.AfterFunc(700*time.Millisecond, func() { failing.Store(false) })
	defer heal.Stop()
	c.wants("q1", http.StatusOK)
}

// pollIsInterrupted has the look for a client's leaving end with EINTR, for a client whose leaving shows there alone.
func pollIsInterrupted(t *testing.T) {
	leavesUnheard(t, []int{unix.SYS_POLL, unix.SYS_PPOLL}, func(sysfault.Call) sysfault.Effect { return sysfault.Effect{Errno: unix.EINTR} })
}

// looksFail has every look for a client's leaving fail, so that nothing tells whether it is there.
func looksFail(t *testing.T) {
	leavesUnheard(t, []int{unix.SYS_POLL, unix.SYS_PPOLL, unix.SYS_GETSOCKOPT}, func(c sysfault.Call) sysfault.Effect {
		switch {
		case c.Number != unix.SYS_GETSOCKOPT:
			return sysfault.Effect{Errno: unix.ENOMEM}
		case c.Arguments[1] == unix.IPPROTO_TCP && c.Arguments[2] == unix.TCP_INFO:
			return sysfault.Effect{Errno: unix.ENOBUFS}
		}
		return sysfault.Effect{}
	})
}

// leavesUnheard has a client leave behind bytes that net/http does not read, while its attempt connects and the calls go as
// fails says. Nothing may go to the server.
func leavesUnheard(t *testing.T, calls []int, fails func(sysfault.Call) sysfault.Effect) {
	server := newQueueServer(t, answerAtOnce)
	connect := make(chan struct{}) // until it is closed no connection of the sidecar's comes up
	s := startFaulty(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), 5000), false, append(calls, unix.SYS_CONNECT), nil)
	s.will(func(c sysfault.Call) sysfault.Effect {
		if c.Number == unix.SYS_CONNECT {
			return sysfault.Effect{Until: connect}
		}
		return fails(c)
	})
	c := s.connect()
	c.send(request("q1", 4*time.Second) + strings.Repeat("G", readAhead)) // net/http does not look for an end behind that
	s.saying(`msg="(request taken)" id=q1`)
	c.conn.Close()
	time.Sleep(150 * time.Millisecond) // the time that the rule allows, and more
	close(connect)
	s.saying(`msg="(attempt ended|request closed)" id=q1`)
	select {
	case id := <-server.arrived:
		t.Errorf("request %s went to the server 0.15 s after its client had left", id)
	default:
	}
}

// acceptFailsForLong has accept fail while a request waits in the listener's queue: its server may be told no more time
// than its client has left then.
func acceptFailsForLong(t *testing.T) {
	const left, held, slack = 900 * time.Millisecond, 500 * time.Millisecond, 150 * time.Millisecond
	type arrival struct {
		at   time.Time
		told time.Duration
	}
	arrivals := make(chan arrival, 1)
	server := newQueueServer(t, answerAtOnce)
	server.heard = func(r *http.Request) {
		told, err := time.ParseDuration(strings.Replace(r.Header.Get("X-Timeout"), "m", "ms", 1))
		if err != nil {
			t.Error(err)
		}
		arrivals <- arrival{time.Now(), told}
	}
	var failing atomic.Bool
	failing.Store(true)
	s := startFaulty(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), 2000), false, []int{unix.SYS_ACCEPT4}, func(sysfault.Call) sysfault.Effect {
		if failing.Load() {
			return sysfault.Effect{Errno: unix.ENOBUFS}
		}
		return sysfault.Effect{}
	})
	c := s.connect()
	sent := time.Now()
	c.send(request("q1", left))
	time.Sleep(held)
	failing.Store(false)
	c.wants("q1", http.StatusOK)
	a := <-arrivals
	if has := sent.Add(left).Sub(a.at); a.told > has+slack {
		t.Errorf("the server was told %v, and the client had %v left", a.told, has)
	}
}

// readBehindAnswerIsInterrupted has the read of what lies behind a connection's last answer end with EINTR.
func readBehindAnswerIsInterrupted(t *testing.T) {
	answers := make(chan struct{})
	server := newQueueServer(t, func(c net.Conn, id string) { <-answers; answerAtOnce(c, id) })
	s := startFaulty(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), 5000), false, []int{unix.SYS_READ, unix.SYS_CLOSE}, nil)
	c := s.connect()
	c.send(request("q1", 4*time.Second) + strings.Repeat("G", readAhead))
	<-server.arrived
	s.signal(syscall.SIGTERM) // so that the answer ends the connection
	s.saying("msg=(stopping)")
	var interrupted atomic.Int64
	s.will(func(call sysfault.Call) sysfault.Effect {
		if call.Number == unix.SYS_READ && call.Arguments[2] == 4<<10 && interrupted.Add(1)%2 == 1 {
			return sysfault.Effect{Errno: unix.EINTR}
		}
		return sysfault.Effect{}
	})
	close(answers)
	c.wants("q1", http.StatusOK)
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("the connection ended with %v behind its last answer, want an end that takes no answer with it", err)
	}
}

// listenFailsAtStart has the first calls for a listener fail.
func listenFailsAtStart(t *testing.T) {
	server := newQueueServer(t, answerAtOnce)
	var failures atomic.Int64
	s := startFaulty(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), 2000), false, []int{unix.SYS_BIND}, func(sysfault.Call) sysfault.Effect {
		if failures.Add(1) <= 6 { // some are net's own, to learn what the machine can do
			return sysfault.Effect{Errno: unix.ENOBUFS}
		}
		return sysfault.Effect{}
	})
	c := s.connect()
	c.send(request("q1", time.Second))
	c.wants("q1", http.StatusOK)
}

// connectFails has the first calls of socket and connect fail, for a request's connection among others.
func connectFails(t *testing.T) {
	server := newQueueServer(t, answerAtOnce)
	s := startFaulty(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), 2000), false, []int{unix.SYS_SOCKET, unix.SYS_CONNECT}, nil)
	var failures atomic.Int64
	s.will(func(c sysfault.Call) sysfault.Effect {
		errno := map[int]syscall.Errno{unix.SYS_SOCKET: unix.ENOBUFS, unix.SYS_CONNECT: unix.EADDRNOTAVAIL}[c.Number]
		if failures.Add(1) <= 3 {
			return sysfault.Effect{Errno: errno}
		}
		return sysfault.Effect{}
	})
	c := s.connect()
	c.send(request("q1", time.Second))
	c.wants("q1", http.StatusOK)
	if strings.Contains(s.said(), "ending=no_connection") {
		t.Error("a failure of this machine's own ended an attempt")
	}
}

// openFailsAtReload has the first calls to read the new configuration fail.
func openFailsAtReload(t *testing.T) {
	server := newQueueServer(t, answerAtOnce)
	before := fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), 2000)
	s := startFaulty(t, before, false, []int{unix.SYS_OPENAT}, nil)
	if err := os.WriteFile(s.config, []byte(strings.Replace(before, "127.0.0.1:1", "127.0.0.1:2", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	var failures atomic.Int64
	s.will(func(sysfault.Call) sysfault.Effect {
		if failures.Add(1) <= 2 {
			return sysfault.Effect{Errno: unix.EMFILE}
		}
		return sysfault.Effect{}
	})
	s.signal(syscall.SIGHUP)
	s.saying("msg=(\"discovery moved\")")
}

// Every request has its final answer, or an end that its client can see, half a second behind its time at the latest.
func TestFinalAnswersComeInTime(t *testing.T) {
	t.Run("stopping", stoppingAnswersLateRequests)
	t.Run("standing stream", standingStreamEnds)
	t.Run("standing long answer, by length", func(t *testing.T) { standingLongAnswerEnds(t, "Content-Length: 200000", "") })
	t.Run("standing long answer, in chunks", func(t *testing.T) { standingLongAnswerEnds(t, "Transfer-Encoding: chunked", "30d40\r\n") })
	t.Run("stream that goes on", slowStreamComesWhole)
	t.Run("long answer that goes on", slowLongAnswerComesWhole)
}

// stoppingAnswersLateRequests sends requests late in a stop, while the server hangs.
func stoppingAnswersLateRequests(t *testing.T) {
	const longest = 600 * time.Millisecond
	server := newQueueServer(t, func(net.Conn, string) {})
	s := startFaulty(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), longest.Milliseconds()), false, nil, nil)
	var clients []*client
	moments := []time.Duration{200, 350, 450, 550, 620, 680, 800, 1000, 1100}
	for i := range moments {
		c := s.connect() // with part of a request: what stands idle ends with the stop
		text := request(fmt.Sprint("q", i), longest)
		c.send(text[:len(text)-2])
		clients = append(clients, c)
	}
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	s.signal(syscall.SIGTERM)
	s.saying("msg=(stopping)")
	var all sync.WaitGroup
	for i, c := range clients {
		all.Go(func() {
			time.Sleep(time.Until(began.Add(moments[i] * time.Millisecond)))
			c.send("\r\n")
			c.wants(fmt.Sprint("q", i), http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout)
		})
	}
	all.Wait()
}

// standingStreamEnds has a server begin an answer of no told length and then stand still.
func standingStreamEnds(t *testing.T) {
	standingAnswerEnds(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
}

// standingLongAnswerEnds has a server stand still in the middle of an answer of over 64 KiB: its client was held up for five
// seconds, whatever its time.
func standingLongAnswerEnds(t *testing.T, framing, before string) {
	standingAnswerEnds(t, "HTTP/1.1 200 OK\r\n"+framing+"\r\n\r\n"+before+strings.Repeat("x", 100000))
}

// standingAnswerEnds has a server send part of an answer and then stand still: the client sees its end in time, and that it is
// not whole.
func standingAnswerEnds(t *testing.T, part string) {
	const left, slack = 500 * time.Millisecond, 500 * time.Millisecond
	server := newQueueServer(t, func(c net.Conn, id string) { _, _ = io.WriteString(c, part) })
	s := startFaulty(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), left.Milliseconds()), false, nil, nil)
	c := s.connect()
	c.send(request("q1", left))
	_ = c.conn.SetReadDeadline(time.Now().Add(left + slack))
	res, err := http.ReadResponse(c.r, nil)
	if err == nil {
		_, err = io.ReadAll(res.Body)
	}
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the answer that stands still ended with %v, want an end that shows that it is not whole", err)
	}
}

// slowLongAnswerComesWhole has a server go on with an answer of over 64 KiB behind its client's deadline, with pauses that
// grow: what it has shown so far is what it is judged by.
func slowLongAnswerComesWhole(t *testing.T) {
	const left, piece = 300 * time.Millisecond, 30000
	pauses := []time.Duration{100, 200, 350, 450, 650, 850, 100}
	server := newQueueServer(t, func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", piece*len(pauses))
		for _, pause := range pauses {
			_, _ = io.WriteString(c, strings.Repeat("x", piece))
			time.Sleep(pause * time.Millisecond)
		}
	})
	s := startFaulty(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), left.Milliseconds()), false, nil, nil)
	c := s.connect()
	c.send(request("q1", left))
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(res.Body); err != nil || len(body) != piece*len(pauses) {
		t.Errorf("%d bytes of the answer came, error %v, want all %d", len(body), err, piece*len(pauses))
	}
}

// slowStreamComesWhole has a server go on with an answer of no told length long behind its client's deadline.
func slowStreamComesWhole(t *testing.T) {
	const left, pieces = 200 * time.Millisecond, 15
	server := newQueueServer(t, func(c net.Conn, id string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for range pieces {
			_, _ = io.WriteString(c, "5\r\npiece\r\n")
			time.Sleep(50 * time.Millisecond)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	})
	s := startFaulty(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), left.Milliseconds()), false, nil, nil)
	c := s.connect()
	c.send(request("q1", left))
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(res.Body); err != nil || string(body) != strings.Repeat("piece", pieces) {
		t.Errorf("the answer came as %q, error %v, want all of it", body, err)
	}
}

// A step of the wall clock takes no time from a request, and gives it none.
func TestSteppedClockTakesNoTime(t *testing.T) {
	for _, by := range []time.Duration{time.Hour, 3 * time.Second, -3 * time.Second, -time.Hour} {
		t.Run(by.String(), func(t *testing.T) { clockIsStepped(t, by) })
	}
}

// clockIsStepped steps the clock while a request waits behind another on its connection.
func clockIsStepped(t *testing.T, by time.Duration) {
	release := make(chan struct{})
	server := newQueueServer(t, func(c net.Conn, id string) {
		if id == "q1" {
			<-release
		}
		answerAtOnce(c, id)
	})
	s := startFaulty(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), 5000), true, nil, nil)
	c := s.connect()
	c.send(request("q1", 4*time.Second) + request("q2", 4*time.Second))
	<-server.arrived
	s.supervisor.StepClock(by)
	close(release)
	c.wants("q1", http.StatusOK)
	c.wants("q2", http.StatusOK)
	c.send(request("q3", 4*time.Second))
	c.wants("q3", http.StatusOK)
}
