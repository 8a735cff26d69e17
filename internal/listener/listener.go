//go:build linux

// Package listener accepts TCP connections, and keeps those that can't be registered with the network poller at first.
//
// Package net closes an accepted connection if its registration with the network poller fails (epoll_ctl(2): ENOMEM,
// ENOSPC), which resets the client. Here such a connection stays open, and its registration is retried when it is used.
package listener

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pollAttempts is how often poll is tried to find out whether connections wait.
const pollAttempts = 3

// ErrUnregistered is returned if a socket could not be registered with the network poller. It may be transient.
var ErrUnregistered = errors.New("the socket is not registered with the network poller")

// Listener is a TCP listener. Its methods are safe for concurrent use.
type Listener struct {
	file    *os.File
	raw     syscall.RawConn
	address net.Addr
	options options

	mu     sync.Mutex
	queued []*Conn // accepted by Shutdown, to be returned by Accept

	shutdownMu sync.Mutex // held by Shutdown
	shutDown   bool
}

// Listen opens a listener at a TCP address. With shared, other processes can listen at the same address (SO_REUSEPORT).
// Accepted connections inherit TCP_NODELAY.
func Listen(ctx context.Context, address string, shared bool) (*Listener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
			if shared && failed == nil {
				failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			}
		})
		return errors.Join(err, failed)
	}}
	inner, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer inner.Close()
	return newListener(inner.(*net.TCPListener))
}

// newListener makes a Listener with a duplicate of inner's descriptor; the caller may close inner. A duplicate is
// needed, as package net does not let others wait on its own descriptor.
func newListener(inner *net.TCPListener) (*Listener, error) {
	file, err := inner.File()
	if err != nil {
		return nil, err
	}
	raw, err := file.SyscallConn()
	if err == nil {
		err = checkRegistered(file)
	}
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("listen %v: %w", inner.Addr(), err)
	}
	return &Listener{file: file, raw: raw, address: inner.Addr(), options: defaultOptions()}, nil
}

// checkRegistered returns nil if file is registered with the network poller: only then does it accept a deadline.
func checkRegistered(file *os.File) error {
	if file.SetReadDeadline(noDeadline) != nil {
		return ErrUnregistered
	}
	return nil
}

// Accept waits for the next connection. After Shutdown it returns the connections that Shutdown has accepted, and then
// net.ErrClosed. Any other error is one of a system call and may be transient.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if c := l.nextQueued(); c != nil {
			return c, nil
		}
		var c *Conn
		var failed error
		err := l.raw.Read(func(fd uintptr) bool {
			c, failed = l.accept(int(fd))
			return failed != unix.EAGAIN
		})
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded): // woken by Shutdown
			_ = l.file.SetReadDeadline(noDeadline) // fails only on a closed listener
		case err != nil:
			return l.queuedOrClosed()
		case failed == nil:
			return c, nil
		case failed != unix.EINVAL || !l.isShutDown():
			return nil, os.NewSyscallError("accept4", failed)
		default:
			return l.queuedOrClosed()
		}
	}
}

// nextQueued returns the next connection that Shutdown has accepted, or nil.
func (l *Listener) nextQueued() *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queued) == 0 {
		return nil
	}
	c := l.queued[0]
	l.queued = l.queued[1:]
	return c
}

// accept accepts a waiting connection. It returns EAGAIN if there is none.
func (l *Listener) accept(fd int) (*Conn, error) {
	for {
		// unix.Accept4 would query the protocol of the new socket, and close the socket if that fails.
		socket, remote, err := syscall.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			return newConn(socket, l.address, tcpAddr(remote), l.options), nil
		case unix.EINTR, unix.ECONNABORTED:
		default:
			return nil, err
		}
	}
}

// queuedOrClosed returns the result of Accept after the end of listening: the next queued connection or net.ErrClosed.
func (l *Listener) queuedOrClosed() (net.Conn, error) {
	if c := l.nextQueued(); c != nil {
		return c, nil
	}
	return nil, net.ErrClosed
}

// isShutDown reports whether Shutdown has ended listening. It waits for a call of Shutdown in progress.
func (l *Listener) isShutDown() bool {
	l.shutdownMu.Lock()
	defer l.shutdownMu.Unlock()
	return l.shutDown
}

// Shutdown accepts all waiting connections, for Accept to return, and ends listening. The last accept and the
// shutdown are consecutive system calls, as the kernel may assign a connection to this listener until the shutdown.
// If Shutdown fails, the listener still listens, and Accept returns the connections that have been accepted.
func (l *Listener) Shutdown() error {
	l.shutdownMu.Lock()
	defer l.shutdownMu.Unlock()
	var failed error
	err := l.raw.Control(func(fd uintptr) { failed = l.shutdown(int(fd)) })
	l.shutDown = err == nil && failed == nil
	_ = l.file.SetReadDeadline(time.Unix(1, 0)) // wakes Accept; fails only on a closed listener
	return errors.Join(err, failed)
}

// shutdown accepts all waiting connections and shuts down the listening socket fd.
func (l *Listener) shutdown(fd int) error {
	for {
		c, err := l.accept(fd)
		if err == unix.EAGAIN {
			break
		}
		if err != nil {
			return os.NewSyscallError("accept4", err)
		}
		l.mu.Lock()
		l.queued = append(l.queued, c)
		l.mu.Unlock()
	}
	err := unix.Shutdown(fd, unix.SHUT_RD)
	if err == unix.ENOTCONN { // shutdown is not supported on a listener here; closing it has the same effect
		return nil
	}
	return os.NewSyscallError("shutdown", err)
}

// HasPending reports whether connections are known to have arrived that Accept has not returned.
func (l *Listener) HasPending() bool {
	l.mu.Lock()
	queued := len(l.queued)
	l.mu.Unlock()
	if queued > 0 {
		return true
	}
	ready := 0
	_ = l.raw.Control(func(fd uintptr) { // fails only on a closed listener
		for range pollAttempts {
			var err error
			p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
			if ready, err = unix.Poll(p, 0); err == nil {
				return
			}
		}
	})
	return ready > 0
}

// Close closes the listener. Connections that still wait to be accepted are reset.
func (l *Listener) Close() error {
	err := l.file.Close()
	if errors.Is(err, os.ErrClosed) {
		return net.ErrClosed
	}
	return err
}

// Addr returns the address of the listener.
func (l *Listener) Addr() net.Addr { return l.address }

// SyscallConn implements syscall.Conn.
func (l *Listener) SyscallConn() (syscall.RawConn, error) { return l.raw, nil }

// tcpAddr converts an IPv4 or IPv6 socket address.
func tcpAddr(address syscall.Sockaddr) net.Addr {
	switch at := address.(type) {
	case *syscall.SockaddrInet4:
		return &net.TCPAddr{IP: at.Addr[:], Port: at.Port}
	case *syscall.SockaddrInet6:
		return &net.TCPAddr{IP: at.Addr[:], Port: at.Port}
	}
	return new(net.TCPAddr)
}
