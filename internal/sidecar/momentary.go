package sidecar

import (
	"errors"
	"io"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxTransientRetries    = 20                   // retries of a call that fails transiently
	transientRetryInterval = 2 * time.Millisecond // pause between two retries
)

// isTransient reports whether a failed call on a socket is worth a retry: it was interrupted by a signal, or the system
// lacked memory for it (recv(2), send(2)). Such an error does not mean that the connection is broken.
func isTransient(err error) bool {
	return errors.Is(err, unix.EINTR) || errors.Is(err, unix.ENOMEM) || errors.Is(err, unix.ENOBUFS)
}

// retryTransient makes a system call and retries transient failures: at once after a signal, else after a pause. It may
// block for maxTransientRetries pauses.
func retryTransient(call func() (int, error)) (n int, err error) {
	for tries := 0; ; {
		n, err = call()
		switch {
		case err == unix.EINTR:
			continue
		case !isTransient(err) || tries == maxTransientRetries:
			return n, err
		}
		tries++
		time.Sleep(transientRetryInterval)
	}
}

// retryInterrupted makes a system call and repeats it as long as signals interrupt it.
func retryInterrupted(call func() (int, error)) (int, error) {
	for {
		n, err := call()
		if err != unix.EINTR {
			return n, err
		}
	}
}

// writeRetrying writes all of p and retries transient failures. It returns the number of bytes written.
func writeRetrying(w io.Writer, p []byte) (done int, err error) {
	for tries := 0; ; tries++ {
		n, err := w.Write(p[done:])
		done += n
		if err == nil || !isTransient(err) || tries == maxTransientRetries {
			return done, err
		}
		time.Sleep(transientRetryInterval)
	}
}

// retryingReader retries reads that fail transiently. Once a read has failed for good, all further reads fail with the
// same error: bufio.Reader.ReadLine returns the bytes before an error as a whole line and drops the error, so if reading
// went on, a head could seem to end where the read failed. It is not safe for concurrent use.
type retryingReader struct {
	io.Reader
	failed error // of the read that failed for good; nil if none did
}

// Read implements io.Reader. It makes at most maxTransientRetries retries.
func (r *retryingReader) Read(p []byte) (n int, err error) {
	if r.failed != nil {
		return 0, r.failed
	}
	for tries := 0; ; tries++ {
		n, err = r.Reader.Read(p)
		if n > 0 || err == nil || !isTransient(err) || tries == maxTransientRetries {
			r.failed = err
			return n, err
		}
		time.Sleep(transientRetryInterval)
	}
}

// retryingConn is a connection whose reads and writes retry transient failures.
type retryingConn struct {
	net.Conn
	reader retryingReader
}

// newRetryingConn returns c with reads and writes that retry transient failures.
func newRetryingConn(c net.Conn) *retryingConn {
	return &retryingConn{Conn: c, reader: retryingReader{Reader: c}}
}

// Read implements net.Conn. After a failure no further read succeeds.
func (c *retryingConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Write implements net.Conn.
func (c *retryingConn) Write(p []byte) (int, error) { return writeRetrying(c.Conn, p) }

// presence is what is known about whether a client is still connected.
type presence int

const (
	clientPresent presence = iota
	clientGone             // it has closed the connection or its sending side
	clientUnknown          // the system gives no information: no attempt is sent for the request, and the request is not ended
)

// pollAttempts is how often each of two system calls is tried to find out a client's presence.
const pollAttempts = 3

// pollPresence reports whether the other side has closed the connection with descriptor fd, or its sending side. If
// poll fails, the TCP state of the connection is read instead, as an error does not mean that the client is still
// there.
func pollPresence(fd int) presence {
	presenceIf := func(closed bool) presence {
		if closed {
			return clientGone
		}
		return clientPresent
	}
	for range pollAttempts {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if _, err := unix.Poll(p, 0); err == nil {
			return presenceIf(p[0].Revents != 0)
		}
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			return presenceIf(info.State != unix.BPF_TCP_ESTABLISHED)
		}
	}
	return clientUnknown
}
