package sidecar

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"

	"arrowgw/internal/listener"
)

const (
	acceptPause = 5 * time.Millisecond // before accept is tried again after a failure
	listenTime  = 5 * time.Second      // a listener is tried for so long at the start of the process
	listenPause = 50 * time.Millisecond
)

// clientListener is where clients connect: package listener's, or a test's.
type clientListener interface {
	net.Listener
	Finish() error // takes what waits, for Accept to return, and ends listening; an error says that it has not ended
	Waiting() bool // whether connections have come that Accept has not returned
}

// listen opens a listener, and tries for a while: the system may lack a buffer, or the address, for a moment only. With
// shared a second process may listen beside this one: an upgrade starts it before this one ends.
func listen(ctx context.Context, address string, shared bool) (*listener.Listener, error) {
	for end := time.Now().Add(listenTime); ; {
		l, err := listener.Listen(ctx, address, shared)
		if err == nil || !mayListenLater(err) || time.Now().After(end) {
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

// mayListenLater tells whether it was the system that failed: that may pass. An address that can't be parsed does not.
func mayListenLater(err error) bool {
	return isSystemError(err) || errors.Is(err, listener.ErrUnregistered)
}

// isSystemError tells whether a system call failed.
func isSystemError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}

// Accept returns the next connection that there is room for.
func (l *clients) Accept() (net.Conn, error) {
	for {
		c, err := l.acceptRetrying()
		if err != nil {
			return nil, err
		}
		raw, err := c.(syscall.Conn).SyscallConn()
		if err != nil { // it is closed
			continue
		}
		k := &clientConn{Conn: c, raw: raw, clients: l, queuedSince: l.failingSince()}
		if l.add(k) {
			return k, nil
		}
		if l.reserveRefusal() {
			go k.closeRefused() // a request may be on its way, or have come
		} else {
			c.Close()
		}
	}
}

// accept returns the next connection. Whatever the system says passes, but for the end of listening: net/http would end
// the service at most errors, and wait twice as long each time at others, up to a second.
func (l *clients) acceptRetrying() (net.Conn, error) {
	for {
		c, err := l.clientListener.Accept()
		if err == nil {
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
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
	if l.failing > 0 && !l.Waiting() {
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

// leave stops listening, for a second process that listens here too. Connections that have come but were not accepted
// yet would be reset with the listener: Accept returns them first. Where that fails it is tried until end, as nobody else
// can accept them.
func (l *clients) stopListening(end time.Time) error {
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	var err error
	for {
		if err = l.Finish(); err == nil || !time.Now().Before(end) {
			break
		}
		l.acceptFailed(err)
		time.Sleep(acceptPause)
	}
	if closed := l.Close(); !errors.Is(closed, net.ErrClosed) { // the server does so too, as Accept fails
		err = errors.Join(err, closed)
	}
	return err
}
