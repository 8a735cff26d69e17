//go:build linux && amd64

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"arrowgw/internal/sysfault"
)

// stopFailures are calls at the end of listening that fail throughout while a test wants it, with the moment behind
// "stopping" from which on they work again.
var stopFailures = []struct {
	name  string
	call  int
	errno syscall.Errno
	heals time.Duration
}{
	{"accept", unix.SYS_ACCEPT4, unix.ENETUNREACH, 1300 * time.Millisecond},
	{"accept without descriptors", unix.SYS_ACCEPT4, unix.EMFILE, 1300 * time.Millisecond},
	{"shutdown", unix.SYS_SHUTDOWN, unix.ENOBUFS, 1300 * time.Millisecond},
	{"epoll_ctl", unix.SYS_EPOLL_CTL, unix.ENOSPC, 700 * time.Millisecond},
	{"fcntl, by which a process asks for others", unix.SYS_FCNTL, unix.EMFILE, 1300 * time.Millisecond},
}

// Connections that wait as a process ends, while a call of the end of listening fails for longer than a moment, are answered:
// the end of listening was given up 0.4 s behind the first failure, and reset them.
func TestStopAnswersWhatWaitsWhileCallsFail(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		for _, f := range stopFailures {
			t.Run(fmt.Sprintf("%s, replaced %v", f.name, replaced), func(t *testing.T) {
				t.Parallel()
				stopWhileCallFails(t, replaced, f.call, f.errno, f.heals)
			})
		}
	}
}

// stopWhileCallFails stops a sidecar, beside a second process or alone, and sends a request on a new connection to it while a
// call fails.
func stopWhileCallFails(t *testing.T, replaced bool, call int, errno syscall.Errno, heals time.Duration) {
	server := newQueueServer(t, answerAtOnce)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	free.Close()
	config := strings.Replace(fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), 2000), "127.0.0.1:0", address, 1)
	shared := t.TempDir()
	s := startFaultyIn(t, shared, config, false, []int{call}, nil)
	var failing atomic.Bool
	s.will(func(sysfault.Call) sysfault.Effect {
		if failing.Load() {
			return sysfault.Effect{Errno: errno}
		}
		return sysfault.Effect{}
	})
	var waiting []*client
	send := func() {
		failing.Store(true)
		for i := range 4 {
			c := s.connect()
			c.send(request(fmt.Sprint("q", i), 1900*time.Millisecond))
			waiting = append(waiting, c)
		}
	}
	if call == unix.SYS_ACCEPT4 { // all wait at this process: there is no other so far
		send()
	}
	if replaced {
		startFaultyIn(t, shared, config, false, nil, nil)
		s.saying(`msg=upgrade processes=(2)`)
	}
	if call != unix.SYS_ACCEPT4 {
		send()
	}
	s.signal(syscall.SIGTERM)
	s.saying(fmt.Sprintf(`msg=stopping.* (replaced=%v)`, replaced))
	heal := time.AfterFunc(heals, func() { failing.Store(false) })
	defer heal.Stop()
	for i, c := range waiting {
		c.wants(fmt.Sprint("q", i), http.StatusOK, http.StatusServiceUnavailable)
	}
}

// Commands of fcntl: by F_OFD_SETLK a process enters among its sidecar's, by F_OFD_GETLK it asks for others.
const getLock, setLock = 36, 37

// A state folder that hangs as a process begins does not keep it from serving; it was waited for without an end. What is
// owed by the calls by hand in it holds once it answers.
func TestStartOutlivesHangingFolder(t *testing.T) {
	server := newQueueServer(t, answerAtOnce)
	config := fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), 2000)
	state := t.TempDir()
	first := startFaultyIn(t, state, config, false, nil, nil)
	if answer, err := callAt(first.console, "disable-server s-0"); err != nil || !strings.HasPrefix(answer, "200") {
		t.Fatalf("disable-server: %q, error %v", answer, err)
	}
	first.signal(syscall.SIGKILL)
	<-first.ended
	answers := make(chan struct{})
	began := time.Now()
	s := startFaultyIn(t, state, config, false, []int{unix.SYS_FCNTL}, func(c sysfault.Call) sysfault.Effect {
		if c.Arguments[1] == setLock {
			return sysfault.Effect{Until: answers}
		}
		return sysfault.Effect{}
	})
	if took := time.Since(began); took > 6*time.Second {
		t.Errorf("it served after %v, want 6 s at most", took)
	}
	c := s.connect()
	c.send(request("q1", time.Second))
	c.wants("q1", http.StatusOK)
	close(answers)
	s.saying(`msg="by hand" server=s-0 (out=true)`)
	c = s.connect()
	c.send(request("q2", time.Second))
	c.wants("q2", http.StatusServiceUnavailable)
}

// A state folder that hangs as a process is told to end does not keep it from ending in time: it asked there for a second
// process first, and went on as if nothing had been said.
func TestStopOutlivesHangingFolder(t *testing.T) {
	const longest = 2000 * time.Millisecond
	server := newQueueServer(t, answerAtOnce)
	s := startFaulty(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), longest.Milliseconds()), false, []int{unix.SYS_FCNTL}, nil)
	hangs := make(chan struct{})
	defer close(hangs)
	s.will(func(c sysfault.Call) sysfault.Effect {
		if c.Arguments[1] == getLock || c.Arguments[1] == setLock {
			return sysfault.Effect{Until: hangs}
		}
		return sysfault.Effect{}
	})
	c := s.connect()
	c.send("GET /look HT")
	time.Sleep(400 * time.Millisecond) // the process has asked for others meanwhile
	s.signal(syscall.SIGTERM)
	told := time.Now()
	c.send(strings.TrimPrefix(request("q1", time.Second), "GET /look HT"))
	c.wants("q1", http.StatusOK, http.StatusServiceUnavailable)
	select {
	case <-s.ended:
	case <-time.After(time.Until(told.Add(longest + 700*time.Millisecond))):
		t.Error("it goes on when it may be killed")
	}
}

// A process that is told to end stays for an answer that its server goes on with: it left behind the last deadline, and cut it off.
func TestStopWaitsForAnswersThatGoOn(t *testing.T) {
	const longest, piece, pieces = 500 * time.Millisecond, 20000, 20
	server := newQueueServer(t, func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", piece*pieces)
		for range pieces {
			_, _ = io.WriteString(c, strings.Repeat("x", piece))
			time.Sleep(100 * time.Millisecond)
		}
	})
	s := startFaulty(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), longest.Milliseconds()), false, nil, nil)
	c := s.connect()
	c.send(request("q1", longest))
	<-server.arrived
	s.signal(syscall.SIGTERM)
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(res.Body); err != nil || len(body) != piece*pieces {
		t.Errorf("%d bytes of the answer came, error %v, want all %d", len(body), err, piece*pieces)
	}
	select {
	case <-s.ended:
	case <-time.After(time.Second):
		t.Error("it goes on behind its last answer")
	}
}

// callAt makes one call at a console.
func callAt(address, line string) (string, error) {
	c, err := net.DialTimeout("tcp", address, patience)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience)) // fails only on a closed one
	if _, err := fmt.Fprintln(c, line); err != nil {
		return "", err
	}
	answer, err := bufio.NewReader(c).ReadString('\n')
	return answer, err
}
