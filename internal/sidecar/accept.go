package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// reusePort is SO_REUSEPORT on Linux, which package syscall does not name.
const reusePort = 15

const (
	acceptPause = 5 * time.Millisecond   // before accept is tried again after a failure
	leaveTime   = 400 * time.Millisecond // the end of listening is tried for so long where accept fails
	listenTime  = 5 * time.Second        // and its beginning, at the start of the process
	listenPause = 50 * time.Millisecond
)

// listen opens the listener for clients. A second process may listen beside this one: an upgrade starts it
// before this one ends.
func listen(ctx context.Context, address string) (net.Listener, error) {
	shared := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		if err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, reusePort, 1)
		}); err != nil {
			return err
		}
		return failed
	}}
	return retryListen(ctx, address, shared.Listen)
}

// retryListen opens a listener, and tries for a while: the system may lack a buffer, or the address, for a moment only.
func retryListen(ctx context.Context, address string, open func(ctx context.Context, network, address string) (net.Listener, error)) (net.Listener, error) {
	for end := time.Now().Add(listenTime); ; {
		l, err := open(ctx, "tcp", address)
		if err == nil || !isSystemError(err) || time.Now().After(end) {
			return l, err
		}
		slog.Warn("listen failed", "listen", address, "error", err)
		select {
		case <-time.After(listenPause):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// isSystemError tells whether a system call failed: that may pass. An address that can't be parsed does not.
func isSystemError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}

// Accept returns the next connection that there is room for.
func (l *clients) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if err != nil {
			return nil, err
		}
		raw, err := c.(syscall.Conn).SyscallConn()
		if err != nil { // it is closed
			continue
		}
		k := &clientConn{Conn: c, raw: raw, clients: l}
		if l.enter(k) {
			return k, nil
		}
		if l.reserveRefusal() {
			go k.closeRefused() // a request may be on its way, or have come
		} else {
			c.Close()
		}
	}
}

// accept returns the next connection, and once this process leaves those that had come before. Whatever the system
// says passes, but for the end of listening: net/http would end the service at most errors, and wait twice as long
// each time at others, up to a second.
func (l *clients) accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return l.nextQueued()
		}
		l.acceptFailed(err)
		time.Sleep(acceptPause)
	}
}

// scarce are the errors of accept that pass once something is closed.
var scarce = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// acceptFailed counts a failure, and where descriptors or memory are scarce closes a connection that nobody misses. One
// that has come just now stays, and one with part of a request: what they are to bring is on its way.
func (l *clients) acceptFailed(err error) {
	var errno syscall.Errno
	errors.As(err, &errno) // else it is 0
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
	for _, e := range scarce {
		if errno == e {
			l.scarce++
			l.shedOne(closedRoomIdle)
			break
		}
	}
	if now := time.Now(); now.Sub(l.failureLogged) >= time.Second {
		l.failureLogged = now
		slog.Warn("accept failed", "error", err, "times", l.failures)
	}
}

// nextQueued returns a connection that had come before this process ended listening; net.ErrClosed: there is none left.
func (l *clients) nextQueued() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queued) == 0 {
		return nil, net.ErrClosed
	}
	c := l.queued[0]
	l.queued = l.queued[1:]
	return c, nil
}

// leave stops listening, for a second process that listens here too. Connections that have come but were not
// accepted yet would be reset with the listener: Accept returns them first.
func (l *clients) leave() error {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	raw, err := l.Listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	end := time.Now().Add(leaveTime)
	for {
		if err = l.empty(raw); err == nil || time.Now().After(end) {
			break
		}
		l.acceptFailed(err)
		time.Sleep(acceptPause)
	}
	if closed := l.Listener.Close(); !errors.Is(closed, net.ErrClosed) { // the server does so too, as Accept fails
		err = errors.Join(err, closed)
	}
	return err
}

// empty takes all connections that wait at the listener, and ends listening. The last look for one and the end are two
// system calls in a row, as nothing else keeps the kernel from choosing this listener meanwhile. After an error this
// process listens still.
func (l *clients) empty(raw syscall.RawConn) error {
	var fds []int
	var failed error
	err := raw.Control(func(listener uintptr) {
		for {
			fd, _, err := syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			switch {
			case err == nil:
				fds = append(fds, fd)
			case err == syscall.EINTR || err == syscall.ECONNABORTED:
			case err == syscall.EAGAIN:
				failed = syscall.Shutdown(int(listener), syscall.SHUT_RD)
				if failed == syscall.ENOTCONN {
					failed = nil // where a listener knows no shutdown the close behind it does
				}
				return
			default:
				failed = err
				return
			}
		}
	})
	for _, fd := range fds {
		c, broken := l.connOf(fd)
		if broken != nil {
			failed = errors.Join(failed, broken)
			continue
		}
		l.mu.Lock()
		l.queued = append(l.queued, c)
		l.mu.Unlock()
	}
	return errors.Join(err, failed)
}

// connOf makes a connection of a descriptor, which it takes over. That needs a second one for a moment.
func (l *clients) connOf(fd int) (c net.Conn, err error) {
	f := os.NewFile(uintptr(fd), "client")
	defer f.Close()
	for end := time.Now().Add(leaveTime); ; time.Sleep(acceptPause) {
		c, err = l.copyConn(f)
		if err == nil || time.Now().After(end) {
			return c, err
		}
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
