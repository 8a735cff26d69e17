package sidecar

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"
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
		k := &clientConn{Conn: c, raw: raw, clients: l, queuedSince: l.failingSince()}
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
		l.mu.Lock()
		l.lookAtQueue()
		l.mu.Unlock()
	}
}

// failingSince tells since when a connection that is accepted now may have waited because accept failed; 0: it has not.
func (l *clients) failingSince() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := l.failing
	l.lookAtQueue()
	return since
}

// lookAtQueue ends the time for which accept has failed where nobody waits for it any more. The caller holds the lock.
func (l *clients) lookAtQueue() {
	if l.failing > 0 && len(l.queued) == 0 && !pending(l.Listener) {
		l.failing = 0
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
	l.failing = cmp.Or(l.failing, l.clock.now())
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
	raw, err := l.Listener.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	end := time.Now().Add(leaveTime)
	for {
		var ended bool
		if ended, err = l.empty(raw); ended || time.Now().After(end) {
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
// system calls in a row, as nothing else keeps the kernel from choosing this listener meanwhile. Where it has not ended
// this process listens still. An error may also tell of connections that could not be taken over.
func (l *clients) empty(raw syscall.RawConn) (ended bool, err error) {
	var fds []int
	var failed error
	err = raw.Control(func(listener uintptr) {
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
				ended = failed == nil
				return
			default:
				failed = err
				return
			}
		}
	})
	end := time.Now().Add(leaveTime) // for all of them
	for _, fd := range fds {
		c, broken := l.connOf(fd, end)
		if broken != nil {
			failed = errors.Join(failed, broken)
			continue
		}
		l.mu.Lock()
		l.queued = append(l.queued, c)
		l.mu.Unlock()
	}
	return ended, errors.Join(err, failed)
}

// connOf makes a connection of a descriptor, which it takes over. That needs a second one for a moment; where there is
// none until end, whatever request comes on it is refused.
func (l *clients) connOf(fd int, end time.Time) (c net.Conn, err error) {
	f := os.NewFile(uintptr(fd), "client")
	for ; ; time.Sleep(acceptPause) {
		c, err = l.copyConn(f)
		if err == nil {
			f.Close()
			return c, nil
		}
		if time.Now().After(end) {
			break
		}
	}
	if !l.reserveRefusal() {
		f.Close()
		return nil, err
	}
	go func() {
		defer l.refusing.Add(-1)
		refuseFile(f)
	}()
	return nil, err
}

// refuseFile closes a connection, of which there is only a descriptor, with a refusal.
func refuseFile(f *os.File) {
	defer f.Close()
	_ = f.SetDeadline(time.Now().Add(restTime)) // fails only on a closed one
	if _, err := io.WriteString(f, refusal); err != nil {
		return
	}
	raw, err := f.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_WR) }) // fails where the client has gone
	_, _ = io.CopyN(io.Discard, f, restMost)                                             // until it closes, or the deadline
}
