//go:build linux && amd64

package main

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"arrowgw/internal/sysfault"
)

const (
	matrixEach     = 3  // each third call fails
	matrixRequests = 20 // on a new connection each, and as many on one that is kept
)

// failingCalls are the system calls that a sidecar makes for a request, with the errors that Linux documents for them
// and that may pass (accept(2), socket(2), connect(2), recv(2), send(2), epoll_ctl(2), poll(2), getsockname(2) and so on).
var failingCalls = []struct {
	name   string
	number int
	errors []syscall.Errno
}{
	{"accept", unix.SYS_ACCEPT4, []syscall.Errno{unix.ENETUNREACH, unix.EPROTO, unix.ENFILE, unix.ENOBUFS, unix.ENOSPC}},
	{"socket", unix.SYS_SOCKET, []syscall.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM}},
	{"connect", unix.SYS_CONNECT, []syscall.Errno{
		unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EAGAIN, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNREFUSED, unix.EPERM, unix.EADDRINUSE,
	}},
	{"read", unix.SYS_READ, []syscall.Errno{unix.EINTR, unix.ENOMEM, unix.ENOBUFS}},
	{"write", unix.SYS_WRITE, []syscall.Errno{unix.EINTR, unix.ENOMEM, unix.ENOBUFS}},
	{"epoll_pwait", unix.SYS_EPOLL_PWAIT, []syscall.Errno{unix.EINTR}},
	{"poll", unix.SYS_POLL, []syscall.Errno{unix.EINTR, unix.ENOMEM}},
	{"getsockname", unix.SYS_GETSOCKNAME, []syscall.Errno{unix.ENOBUFS}},
	{"getpeername", unix.SYS_GETPEERNAME, []syscall.Errno{unix.ENOBUFS}},
	{"setsockopt", unix.SYS_SETSOCKOPT, []syscall.Errno{unix.ENOMEM, unix.ENOBUFS}},
	{"getsockopt", unix.SYS_GETSOCKOPT, []syscall.Errno{unix.ENOMEM, unix.ENOBUFS}},
	{"fcntl", unix.SYS_FCNTL, []syscall.Errno{unix.EMFILE, unix.EINTR}},
	{"ioctl", unix.SYS_IOCTL, []syscall.Errno{unix.ENOMEM}},
	{"close", unix.SYS_CLOSE, []syscall.Errno{unix.EINTR, unix.EIO}},
	{"shutdown", unix.SYS_SHUTDOWN, []syscall.Errno{unix.ENOBUFS}},
}

// Whichever system call fails now and then, and with whatever error: each request has one whole, right answer, and the
// sidecar goes on.
func TestEachRequestIsAnsweredWhateverCallFails(t *testing.T) {
	for _, call := range failingCalls {
		for _, errno := range call.errors {
			t.Run(call.name+" "+unix.ErrnoName(errno), func(t *testing.T) { callsGo(t, call.number, matrixEach, failsWith(call.number, errno)) })
		}
	}
}

// So too where the system has no room to wait for one more connection. Package net closes one that has come where that
// fails behind accept, so that its client gets no answer.
func TestConnectionOutlivesFailingWait(t *testing.T) {
	for _, errno := range []syscall.Errno{unix.ENOMEM, unix.ENOSPC} {
		t.Run("epoll_ctl "+unix.ErrnoName(errno), func(t *testing.T) { callsGo(t, unix.SYS_EPOLL_CTL, matrixEach, failsWith(unix.SYS_EPOLL_CTL, errno)) })
	}
}

// So too where each read or write moves few bytes only.
func TestEachRequestIsAnsweredByShortReadsAndWrites(t *testing.T) {
	for name, number := range map[string]int{"read": unix.SYS_READ, "write": unix.SYS_WRITE} {
		t.Run(name, func(t *testing.T) { callsGo(t, number, 1, sysfault.Effect{MaxBytes: 3}) })
	}
}

// failsWith is what becomes of a call that fails. Reads and writes fail on sockets, for which the errors are documented.
func failsWith(number int, errno syscall.Errno) sysfault.Effect {
	return sysfault.Effect{Errno: errno, SocketsOnly: number == unix.SYS_READ || number == unix.SYS_WRITE}
}

// callsGo has every so many calls go in a way, while requests come on new connections, and then on one that is kept.
func callsGo(t *testing.T, number, every int, effect sysfault.Effect) {
	t.Parallel()
	server := newQueueServer(t, answerAtOnce)
	s := startFaulty(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), 2000), false, []int{number}, nil)
	calls := 0
	s.will(func(sysfault.Call) sysfault.Effect {
		if calls++; calls%every == 0 {
			return effect
		}
		return sysfault.Effect{}
	})
	for i := range matrixRequests {
		c := s.connect()
		id := fmt.Sprint("new", i)
		c.send(request(id, time.Second))
		c.wants(id, http.StatusOK)
		c.conn.Close()
	}
	c := s.connect()
	for i := range matrixRequests {
		id := fmt.Sprint("kept", i)
		c.send(request(id, time.Second))
		c.wants(id, http.StatusOK)
	}
	if !s.lives() {
		t.Errorf("the sidecar ended: %v", s.err)
	}
}
