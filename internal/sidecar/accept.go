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
	acceptRetryInterval = 5 * time.Millisecond  // pause before accept is retried after a failure
	listenTimeout       = 5 * time.Second       // for opening a listener at the start of the process
	listenRetryInterval = 50 * time.Millisecond // pause between attempts to listen or to read the configuration
)

// clientListener is the listener that clients connect to: a listener.Listener, or a fake in tests.
type clientListener interface {
	net.Listener
	Shutdown() error  // stops listening; Accept still returns the connections that wait. After an error it still listens.
	HasPending() bool // reports whether connections wait to be accepted
}

// listen opens a listener. For listenTimeout it retries errors of the system, which may lack a buffer or the address
// only briefly. If shared is true, a second process can listen at the same
// address, as in an upgrade.
func listen(ctx context.Context, address string, shared bool) (*listener.Listener, error) {
	for end := time.Now().Add(listenTimeout); ; {
		l, err := listener.Listen(ctx, address, shared)
		if err == nil || !isTransientListenError(err) || time.Now().After(end) {
			return l, err
		}
		slog.Warn("listen failed", "listen", address, "error", err)
		select {
		case <-time.After(listenRetryInterval):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// isTransientListenError reports whether a failure to listen is worth a retry: errors of the system are, an address
// that can't be parsed is not.
func isTransientListenError(err error) bool {
	return isSystemError(err) || errors.Is(err, listener.ErrUnregistered)
}

// isSystemError reports whether err is or wraps the error of a system call.
func isSystemError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}

// Accept returns the next connection that there is room for. It closes the others, with a refusal if one can be
// reserved.
func (l *clients) Accept() (net.Conn, error) {
	for {
		c, err := l.acceptRetrying()
		if err != nil {
			return nil, err
		}
		raw, err := c.(syscall.Conn).SyscallConn()
		if err != nil { // closed
			continue
		}
		k := &clientConn{Conn: c, raw: raw, clients: l, queuedSince: l.acceptFailingSince()}
		if l.add(k) {
			return k, nil
		}
		if l.reserveRefusal() {
			go k.refuseAndClose() // a request may be on its way or have arrived
		} else {
			c.Close()
		}
	}
}

// acceptRetrying returns the next connection. It retries every error except the end of listening: net/http's Serve
// would return on most errors, and on others back off for up to a second.
func (l *clients) acceptRetrying() (net.Conn, error) {
	for {
		c, err := l.clientListener.Accept()
		if err == nil {
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.handleAcceptError(err)
		time.Sleep(acceptRetryInterval)
		l.mu.Lock()
		l.resetAcceptFailure()
		l.mu.Unlock()
	}
}

// acceptFailingSince returns when accept began to fail, if the connection accepted now may have waited since then, or 0
// if it has not waited.
func (l *clients) acceptFailingSince() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := l.failingSince
	l.resetAcceptFailure()
	return since
}

// resetAcceptFailure ends the period in which accept fails if no connection waits any more. The caller holds the lock.
func (l *clients) resetAcceptFailure() {
	if l.failingSince > 0 && !l.HasPending() {
		l.failingSince = 0
	}
}

// resourceErrors are the errors of accept that mean a lack of descriptors or memory, which closing a connection
// relieves.
var resourceErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// handleAcceptError counts and logs a failure of accept. If descriptors or memory are short, it closes a silent or idle
// connection. A connection that has just been accepted or on which part of a request has arrived stays open, as the
// rest of the request is on its way.
func (l *clients) handleAcceptError(err error) {
	var errno syscall.Errno
	errors.As(err, &errno) // stays 0 for other errors
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acceptFailures++
	l.failingSince = cmp.Or(l.failingSince, l.clock.now())
	for _, e := range resourceErrors {
		if errno == e {
			l.exhausted++
			l.shedOne(closedShedIdle)
			break
		}
	}
	if now := time.Now(); now.Sub(l.failureLoggedAt) >= time.Second {
		l.failureLoggedAt = now
		slog.Warn("accept failed", "error", err, "times", l.acceptFailures)
	}
}

// stopListening closes the listener, so that new connections go to a second process that listens at the same address.
// Connections that wait to be accepted would be reset with the listener, so Accept returns them first. If that fails,
// stopListening retries until end, as no other process can accept them.
func (l *clients) stopListening(end time.Time) error {
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	var err error
	for {
		if err = l.Shutdown(); err == nil || !time.Now().Before(end) {
			break
		}
		l.handleAcceptError(err)
		time.Sleep(acceptRetryInterval)
	}
	if closed := l.Close(); !errors.Is(closed, net.ErrClosed) { // the HTTP server closes it too once Accept fails
		err = errors.Join(err, closed)
	}
	return err
}
