//go:build linux && (amd64 || arm64)

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

// stopFaults are system calls used to stop listening that fail, and the time after the log event "stopping" at which they work
// again.
var stopFaults = []struct {
	name     string
	call     int
	errno    syscall.Errno
	recovery time.Duration
}{
	{"accept", unix.SYS_ACCEPT4, unix.ENETUNREACH, 1300 * time.Millisecond},
	{"accept without descriptors", unix.SYS_ACCEPT4, unix.EMFILE, 1300 * time.Millisecond},
	{"shutdown", unix.SYS_SHUTDOWN, unix.ENOBUFS, 1300 * time.Millisecond},
	{"epoll_ctl", unix.SYS_EPOLL_CTL, unix.ENOSPC, 700 * time.Millisecond},
	{"fcntl that checks for other processes", unix.SYS_FCNTL, unix.EMFILE, 1300 * time.Millisecond},
}

// Connections that wait when a process stops must be answered even if a system call used to stop listening fails for a while.
// Guards against giving up 0.4 s after the first failure, which reset those connections.
func TestStopAnswersWaitingConnectionsWhileCallsFail(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		for _, f := range stopFaults {
			t.Run(fmt.Sprintf("%s, replaced %v", f.name, replaced), func(t *testing.T) {
				t.Parallel()
				stopWhileCallFails(t, replaced, f.call, f.errno, f.recovery)
			})
		}
	}
}

// stopWhileCallFails stops a sidecar, alone or with a successor process, and sends requests on new connections while a system
// call fails.
func stopWhileCallFails(t *testing.T, replaced bool, call int, errno syscall.Errno, recovery time.Duration) {
	server := newQueueServer(t, answerAtOnce)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	config := strings.Replace(fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), 2000), "127.0.0.1:0", address, 1)
	shared := t.TempDir()
	s := startFaultyIn(t, shared, config, false, []int{call}, nil)
	var failing atomic.Bool
	s.setEffects(func(sysfault.Call) sysfault.Effect {
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
	if call == unix.SYS_ACCEPT4 { // before the successor starts, so that all connections wait at this process
		send()
	}
	if replaced {
		startFaultyIn(t, shared, config, false, nil, nil)
		s.waitForLog(`msg=upgrade processes=(2)`)
	}
	if call != unix.SYS_ACCEPT4 {
		send()
	}
	s.signal(syscall.SIGTERM)
	s.waitForLog(fmt.Sprintf(`msg=stopping.* (replaced=%v)`, replaced))
	heal := time.AfterFunc(recovery, func() { failing.Store(false) })
	defer heal.Stop()
	for i, c := range waiting {
		c.wantAnswer(fmt.Sprint("q", i), http.StatusOK, http.StatusServiceUnavailable)
	}
}

// Commands of fcntl: with F_OFD_SETLK a process registers as one of its sidecar's, with F_OFD_GETLK it checks for others.
const getLock, setLock = 36, 37

// A state folder that hangs during the start must not keep the process from serving. Guards against waiting for it without a
// limit. Once the folder answers, the operator calls stored in it must be applied.
func TestStartSurvivesHangingStateFolder(t *testing.T) {
	server := newQueueServer(t, answerAtOnce)
	config := fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), 2000)
	state := t.TempDir()
	first := startFaultyIn(t, state, config, false, nil, nil)
	if answer, err := consoleCall(first.console, "disable-server s-0"); err != nil || !strings.HasPrefix(answer, "200") {
		t.Fatalf("disable-server: %q, error %v", answer, err)
	}
	first.signal(syscall.SIGKILL)
	<-first.exited
	answers := make(chan struct{})
	began := time.Now()
	s := startFaultyIn(t, state, config, false, []int{unix.SYS_FCNTL}, func(c sysfault.Call) sysfault.Effect {
		if c.Arguments[1] == setLock {
			return sysfault.Effect{Until: answers}
		}
		return sysfault.Effect{}
	})
	if took := time.Since(began); took > 6*time.Second {
		t.Errorf("the sidecar served after %v, want 6 s at most", took)
	}
	c := s.connect()
	c.send(request("q1", time.Second))
	c.wantAnswer("q1", http.StatusOK)
	close(answers)
	s.waitForLog(`msg="by hand" server=s-0 (out=true)`)
	c = s.connect()
	c.send(request("q2", time.Second))
	c.wantAnswer("q2", http.StatusServiceUnavailable)
}

// A state folder that hangs during a stop must not keep the process from exiting in time. Guards against a stop that first
// checks the folder for a successor process and, while that hangs, continues to run.
func TestStopSurvivesHangingStateFolder(t *testing.T) {
	const longest = 2000 * time.Millisecond
	server := newQueueServer(t, answerAtOnce)
	s := startFaulty(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), longest.Milliseconds()), false, []int{unix.SYS_FCNTL}, nil)
	hangs := make(chan struct{})
	defer close(hangs)
	s.setEffects(func(c sysfault.Call) sysfault.Effect {
		if c.Arguments[1] == getLock || c.Arguments[1] == setLock {
			return sysfault.Effect{Until: hangs}
		}
		return sysfault.Effect{}
	})
	c := s.connect()
	c.send("GET /look HT")
	time.Sleep(400 * time.Millisecond) // long enough for the process to have checked for others
	s.signal(syscall.SIGTERM)
	stopped := time.Now()
	c.send(strings.TrimPrefix(request("q1", time.Second), "GET /look HT"))
	c.wantAnswer("q1", http.StatusOK, http.StatusServiceUnavailable)
	select {
	case <-s.exited:
	case <-time.After(time.Until(stopped.Add(longest + 700*time.Millisecond))):
		t.Error("the process still runs when the platform may kill it")
	}
}

// A stopping process must wait for an answer that its server is still sending. Guards against exiting after the last deadline,
// which truncated the answer.
func TestStopWaitsForAnswersInProgress(t *testing.T) {
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
		t.Errorf("%d bytes of the answer arrived, error %v, want all %d", len(body), err, piece*pieces)
	}
	select {
	case <-s.exited:
	case <-time.After(time.Second):
		t.Error("the process still runs after its last answer")
	}
}

// consoleCall sends one line to a console and returns the first line of the answer.
func consoleCall(address, line string) (string, error) {
	c, err := net.DialTimeout("tcp", address, eventTimeout)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(eventTimeout)) // fails only on a closed connection
	if _, err := fmt.Fprintln(c, line); err != nil {
		return "", err
	}
	answer, err := bufio.NewReader(c).ReadString('\n')
	return answer, err
}
