//go:build linux && amd64

package main

import (
	"fmt"
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
