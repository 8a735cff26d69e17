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
