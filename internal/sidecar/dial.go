package sidecar

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

// dialHedged opens a connection that the counter open already includes. While a dial is late, another is started, up to
// maxParallelDials, as long as there is room without closing anything. The result of the first dial to end is returned, even if it
// is an error. The others are cancelled; a connection that is established nevertheless goes to the pool.
func (u *transport) dialHedged(ctx context.Context, address string) (*conn, error) {
	type dialResult struct {
		c   *conn
		err error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var decided atomic.Bool
	first := make(chan dialResult, 1)
	dial := func() {
		c, err := u.dialConn(ctx, address)
		switch {
		case decided.CompareAndSwap(false, true):
			first <- dialResult{c, err}
		case err == nil:
			u.putIdle(address, c, true)
		}
	}
	for n := 1; ; n++ {
		go dial()
		var late <-chan time.Time
		if n < maxParallelDials {
			late = u.lateDialTimer(u.dialTimeout / lateDialDivisor)
		}
		select {
		case e := <-first:
			return e.c, e.err
		case <-late:
		}
		if !u.reserveExtraDial() {
			e := <-first
			return e.c, e.err
		}
	}
}

// localErrors are the errors of socket and connect that are caused by this machine. They must not count against the server,
// and most of them are transient.
var localErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.EINTR, syscall.ENETUNREACH, syscall.ENETDOWN,
}

// isLocalError reports whether a dial failed for a reason of this machine and not of the server.
func isLocalError(err error) bool {
	return slices.ContainsFunc(localErrors, func(e error) bool { return errors.Is(err, e) })
}

const (
	maxDialTries   = 4                    // for one connection, if this machine fails
	dialRetryDelay = 5 * time.Millisecond // between two tries
)

// dialWithRetry dials and retries failures of this machine.
func (u *transport) dialWithRetry(ctx context.Context, address string) (raw net.Conn, err error) {
	for range maxDialTries {
		raw, err = u.dial(ctx, "tcp", address)
		if err == nil || !isLocalError(err) {
			return raw, err
		}
		u.count(&u.failed.local)
		select {
		case <-u.waitTimer(dialRetryDelay):
		case <-ctx.Done():
			return nil, err
		}
	}
	return nil, err
}

// dialConn opens a connection that the counter open already includes, and decrements the counter if it fails.
func (u *transport) dialConn(ctx context.Context, address string) (*conn, error) {
	raw, err := u.dialWithRetry(ctx, address)
	if err != nil {
		u.mu.Lock()
		u.removeOpen(1)
		u.mu.Unlock()
		return nil, err
	}
	c := &conn{Conn: raw, address: address, idleSince: u.clock.now()}
	c.answerLimit.R = &retryingReader{Reader: raw}
	c.answers = newAnswerReader(&c.answerLimit)
	c.r = bufio.NewReader(c.answers)
	return c, nil
}
