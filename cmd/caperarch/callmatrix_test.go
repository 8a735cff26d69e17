//go:build linux && (amd64 || arm64)

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
	failureInterval  = 3  // every third call fails
	requestsPerPhase = 20 // requests on new connections, and again as many on one connection
)

// failingCalls are the system calls that a sidecar makes for a request, with the errors that may be transient according to the
// Linux manual pages (accept(2), socket(2), connect(2), recv(2), send(2), epoll_ctl(2), poll(2), getsockname(2) and so on).
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
	{"poll", sysfault.PollNumber, []syscall.Errno{unix.EINTR, unix.ENOMEM}},
	{"getsockname", unix.SYS_GETSOCKNAME, []syscall.Errno{unix.ENOBUFS}},
	{"getpeername", unix.SYS_GETPEERNAME, []syscall.Errno{unix.ENOBUFS}},
	{"setsockopt", unix.SYS_SETSOCKOPT, []syscall.Errno{unix.ENOMEM, unix.ENOBUFS}},
	{"getsockopt", unix.SYS_GETSOCKOPT, []syscall.Errno{unix.ENOMEM, unix.ENOBUFS}},
	{"fcntl", unix.SYS_FCNTL, []syscall.Errno{unix.EMFILE, unix.EINTR}},
	{"ioctl", unix.SYS_IOCTL, []syscall.Errno{unix.ENOMEM}},
	{"close", unix.SYS_CLOSE, []syscall.Errno{unix.EINTR, unix.EIO}},
	{"shutdown", unix.SYS_SHUTDOWN, []syscall.Errno{unix.ENOBUFS}},
}

// Whichever system call fails repeatedly, and with whichever error: every request must get one complete and correct answer, and
// the sidecar must keep running.
func TestRequestsAreAnsweredWhenSystemCallsFail(t *testing.T) {
	for _, call := range failingCalls {
		for _, errno := range call.errors {
			t.Run(call.name+" "+unix.ErrnoName(errno), func(t *testing.T) {
				checkAnswersDespiteFaults(t, call.number, failureInterval, failureOf(call.number, errno))
			})
		}
	}
}

// Requests must also be answered if epoll_ctl fails because the system can't watch one more connection. Package net closes an accepted
// connection in that case, so that its client would get no answer.
func TestConnectionSurvivesFailingEpollCtl(t *testing.T) {
	for _, errno := range []syscall.Errno{unix.ENOMEM, unix.ENOSPC} {
		t.Run("epoll_ctl "+unix.ErrnoName(errno), func(t *testing.T) {
			checkAnswersDespiteFaults(t, unix.SYS_EPOLL_CTL, failureInterval, failureOf(unix.SYS_EPOLL_CTL, errno))
		})
	}
}

// Requests must also be answered if each read or write transfers only a few bytes.
func TestRequestsAreAnsweredWithShortReadsAndWrites(t *testing.T) {
	for name, number := range map[string]int{"read": unix.SYS_READ, "write": unix.SYS_WRITE} {
		t.Run(name, func(t *testing.T) { checkAnswersDespiteFaults(t, number, 1, sysfault.Effect{MaxBytes: 3}) })
	}
}

// failureOf returns the effect that makes a call fail. Reads and writes fail on sockets only, because the errors are documented
// for sockets.
func failureOf(number int, errno syscall.Errno) sysfault.Effect {
	return sysfault.Effect{Errno: errno, SocketsOnly: number == unix.SYS_READ || number == unix.SYS_WRITE}
}

// checkAnswersDespiteFaults applies effect to one call of each interval while it sends requests, first on new connections, then on one
// connection. All must be answered.
func checkAnswersDespiteFaults(t *testing.T, number, every int, effect sysfault.Effect) {
	t.Parallel()
	server := newQueueServer(t, answerAtOnce)
	s := startFaulty(t, fmt.Sprintf(faultySettings, "127.0.0.1:1", server.listener.Addr(), 2000), false, []int{number}, nil)
	calls := 0
	s.setEffects(func(sysfault.Call) sysfault.Effect {
		if calls++; calls%every == 0 {
			return effect
		}
		return sysfault.Effect{}
	})
	for i := range requestsPerPhase {
		c := s.connect()
		id := fmt.Sprint("new", i)
		c.send(request(id, time.Second))
		c.wantAnswer(id, http.StatusOK)
		c.conn.Close()
	}
	c := s.connect()
	for i := range requestsPerPhase {
		id := fmt.Sprint("kept", i)
		c.send(request(id, time.Second))
		c.wantAnswer(id, http.StatusOK)
	}
	if !s.running() {
		t.Errorf("the sidecar exited: %v", s.exitErr)
	}
}
