package sidecar

import (
	"errors"
	"io"
	"time"

	"golang.org/x/sys/unix"
)

const (
	momentaryTries = 20                   // of a call that fails for a moment, one behind the other
	momentaryPause = 2 * time.Millisecond // between two of them
)

// isMomentary tells whether a call on a socket may well succeed when it is made again: a signal came, or the system had no
// memory for it (recv(2), send(2)). It says nothing of the connection, which stands.
func isMomentary(err error) bool {
	return errors.Is(err, unix.EINTR) || errors.Is(err, unix.ENOMEM) || errors.Is(err, unix.ENOBUFS)
}

// retryMomentary makes a system call again that fails for a moment: at once where a signal came, else after a pause, so
// that it may hold the caller up for momentaryTries pauses.
func retryMomentary(call func() (int, error)) (n int, err error) {
	for tries := 0; ; {
		n, err = call()
		switch {
		case err == unix.EINTR:
			continue
		case !isMomentary(err) || tries == momentaryTries:
			return n, err
		}
		tries++
		time.Sleep(momentaryPause)
	}
}

// retryInterrupted makes a system call again that a signal has interrupted.
func retryInterrupted(call func() (int, error)) (int, error) {
	for {
		n, err := call()
		if err != unix.EINTR {
			return n, err
		}
	}
}

// writeThrough writes all of p, and goes on behind failures that the system has for a moment. It returns how many bytes
// have gone out.
func writeRetrying(w io.Writer, p []byte) (done int, err error) {
	for tries := 0; ; tries++ {
		n, err := w.Write(p[done:])
		done += n
		if err == nil || !isMomentary(err) || tries == momentaryTries {
			return done, err
		}
		time.Sleep(momentaryPause)
	}
}

// retryingReader reads on behind failures that the system has for a moment.
type retryingReader struct{ io.Reader }

func (r retryingReader) Read(p []byte) (n int, err error) {
	for tries := 0; ; tries++ {
		n, err = r.Reader.Read(p)
		if n > 0 || err == nil || !isMomentary(err) || tries == momentaryTries {
			return n, err
		}
		time.Sleep(momentaryPause)
	}
}

// presence is what is known of whether a client is still there.
type presence int

const (
	clientPresent presence = iota
	clientGone             // it has closed its connection, or its sending side
	clientUnknown          // the system would not tell: nothing is sent for it, and nothing is taken from it
)

// looks is how often the system is asked for a client's presence, in each of two ways.
const pollAttempts = 3

// presenceAt tells whether the other side of a connection has ended its sending, or all of it. Where poll fails the state
// of the connection is read instead: an error is no sign that the client is there.
func presenceAt(fd int) presence {
	of := func(left bool) presence {
		if left {
			return clientGone
		}
		return clientPresent
	}
	for range pollAttempts {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if _, err := unix.Poll(p, 0); err == nil {
			return of(p[0].Revents != 0)
		}
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			return of(info.State != unix.BPF_TCP_ESTABLISHED)
		}
	}
	return clientUnknown
}
