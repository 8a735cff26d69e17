//go:build linux

// Package listener accepts TCP connections, and keeps those that the system can't wait on at first.
//
// Package net closes an accepted connection where its registration with the network poller fails (epoll_ctl(2): ENOMEM,
// ENOSPC), so that its client is reset. Here such a connection stays open: its registration is tried again as it is used.
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

// looks is how often the system is asked whether connections wait, where it would not tell.
const pollAttempts = 3

// ErrUnregistered says that the system could not set up a wait for a socket. It may pass.
var ErrUnregistered = errors.New("the network poller has not taken the socket")

// Listener is a TCP listener. Its methods are safe for concurrent use.
type Listener struct {
	file    *os.File
	raw     syscall.RawConn
	address net.Addr
	options options

	mu     sync.Mutex
	queued []*Conn // taken by Finish, for Accept

	shutdownMu sync.Mutex // held by Finish
	shutDown   bool
}

// Listen opens a listener at an address, as net.ListenConfig does. With shared, others may listen there too (SO_REUSEPORT).
// Connections inherit TCP_NODELAY from it.
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

// of makes a listener of package net's, which may be closed behind it. Package net lets nobody else wait on its own descriptor.
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

// registered is nil where the network poller has taken a file.
func checkRegistered(file *os.File) error {
	if file.SetReadDeadline(noDeadline) != nil {
		return ErrUnregistered
	}
	return nil
}

// Accept waits for the next connection. Behind the end of listening it returns those that had come by then, and fails with
// net.ErrClosed; any other error is the system's, and may pass.
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
		case errors.Is(err, os.ErrDeadlineExceeded): // woken by Finish
			_ = l.file.SetReadDeadline(noDeadline) // fails only on a closed one
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

// nextQueued returns a connection that Finish has taken; nil: there is none.
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

// accept takes a connection that waits; EAGAIN: none does.
func (l *Listener) accept(fd int) (*Conn, error) {
	for {
		// Package unix would ask the new socket for its protocol, and close it where that fails.
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

// lastQueued is what Accept returns behind the end of listening.
func (l *Listener) queuedOrClosed() (net.Conn, error) {
	if c := l.nextQueued(); c != nil {
		return c, nil
	}
	return nil, net.ErrClosed
}

// isFinished tells whether Finish has ended listening. It waits for one that is under way.
func (l *Listener) isShutDown() bool {
	l.shutdownMu.Lock()
	defer l.shutdownMu.Unlock()
	return l.shutDown
}

// Finish takes all connections that wait, for Accept to return, and ends listening. The last look for one and the end are two
// system calls in a row, as nothing else keeps the kernel from choosing this listener meanwhile. Where it fails, the
// listener still listens, and Accept returns at once what could be taken.
func (l *Listener) Shutdown() error {
	l.shutdownMu.Lock()
	defer l.shutdownMu.Unlock()
	var failed error
	err := l.raw.Control(func(fd uintptr) { failed = l.shutdown(int(fd)) })
	l.shutDown = err == nil && failed == nil
	_ = l.file.SetReadDeadline(time.Unix(1, 0)) // wakes Accept; it fails only on a closed one
	return errors.Join(err, failed)
}

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
	if err == unix.ENOTCONN { // where a listener knows no shutdown the close behind it does
		return nil
	}
	return os.NewSyscallError("shutdown", err)
}

// Waiting tells whether connections are known to have come that Accept has not returned.
func (l *Listener) HasPending() bool {
	l.mu.Lock()
	queued := len(l.queued)
	l.mu.Unlock()
	if queued > 0 {
		return true
	}
	ready := 0
	_ = l.raw.Control(func(fd uintptr) { // it fails only on a closed one
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

// Close ends listening. What still waits to be accepted is reset.
func (l *Listener) Close() error {
	err := l.file.Close()
	if errors.Is(err, os.ErrClosed) {
		return net.ErrClosed
	}
	return err
}

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.address }

// SyscallConn gives access to the listener's socket.
func (l *Listener) SyscallConn() (syscall.RawConn, error) { return l.raw, nil }

// addressOf is a peer's address, of either version of IP.
func tcpAddr(address syscall.Sockaddr) net.Addr {
	switch at := address.(type) {
	case *syscall.SockaddrInet4:
		return &net.TCPAddr{IP: at.Addr[:], Port: at.Port}
	case *syscall.SockaddrInet6:
		return &net.TCPAddr{IP: at.Addr[:], Port: at.Port}
	}
	return new(net.TCPAddr)
}
