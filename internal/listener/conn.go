//go:build linux

package listener

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	registerTimeout       = time.Second // how long the registration of a connection with the network poller is retried
	registerRetryInterval = 2 * time.Millisecond
)

// noDeadline removes a deadline.
var noDeadline time.Time

// options are replaced by tests that simulate failures.
type options struct {
	register        func(*os.File) error // returns nil if the file is registered with the network poller
	registerTimeout time.Duration        // for the registration of a connection
}

// defaultOptions returns the options outside tests.
func defaultOptions() options { return options{checkRegistered, registerTimeout} }

// Conn is an accepted connection. It owns its descriptor from the start. If the network poller has refused the
// descriptor, the first read, write or setting of a deadline retries the registration with a duplicate of it, for up
// to registerTimeout.
type Conn struct {
	local, remote net.Addr
	options       options
	socket        atomic.Pointer[socket]
	registered    atomic.Bool // with the network poller

	mu          sync.Mutex // held during each attempt to register, and during Close
	closed      bool
	registerErr error // set once the registration has timed out; guarded by registerMu

	registerMu sync.Mutex
}

// socket owns a socket's descriptor.
type socket struct {
	*os.File
	raw syscall.RawConn
}

// newSocket returns a socket that owns the descriptor fd.
func newSocket(fd int) *socket {
	file := os.NewFile(uintptr(fd), "client")
	raw, err := file.SyscallConn()
	if err != nil {
		panic(err) // can't happen for a new file
	}
	return &socket{file, raw}
}

// newConn returns a Conn for a non-blocking descriptor, which it owns from then on.
func newConn(fd int, local, remote net.Addr, o options) *Conn {
	c := &Conn{local: local, remote: remote, options: o}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // usually inherited from the listener
	s := newSocket(fd)
	c.socket.Store(s)
	c.registered.Store(o.register(s.File) == nil)
	return c
}

// register returns nil once the connection is registered with the network poller. It fails if that takes longer than
// the timeout, or if the connection is closed.
func (c *Conn) register() error {
	if c.registered.Load() {
		return nil
	}
	c.registerMu.Lock()
	defer c.registerMu.Unlock()
	for end := time.Now().Add(c.options.registerTimeout); c.registerErr == nil; time.Sleep(registerRetryInterval) {
		err := c.tryRegister()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return err
		}
		if time.Now().After(end) {
			c.registerErr = err
		}
	}
	return c.registerErr
}

// tryRegister duplicates the descriptor, registers the duplicate and replaces the descriptor by it. The runtime does
// not register the same os.File twice.
func (c *Conn) tryRegister() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return net.ErrClosed
	case c.registered.Load():
		return nil
	}
	old := c.socket.Load()
	copied, failed := 0, error(nil)
	if err := old.raw.Control(func(fd uintptr) { copied, failed = unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0) }); err != nil {
		return err
	}
	if failed != nil {
		return errors.Join(ErrUnregistered, os.NewSyscallError("fcntl", failed))
	}
	s := newSocket(copied)
	if err := c.options.register(s.File); err != nil {
		s.Close()
		return err
	}
	c.socket.Store(s)
	c.registered.Store(true)
	_ = old.Close() // the duplicate keeps the connection open
	return nil
}

// Read waits for data. It returns io.EOF if the other side has closed its sending side.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.register(); err != nil {
		return 0, err
	}
	return c.socket.Load().Read(p)
}

// Write writes all of p or fails. On a connection that could not be registered it writes only what the system accepts
// without blocking.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.register(); errors.Is(err, net.ErrClosed) {
		return 0, err
	}
	return c.socket.Load().Write(p)
}

// Close closes the connection. Blocked reads and writes return.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	return c.socket.Load().Close()
}

// CloseWrite closes the sending side of the connection.
func (c *Conn) CloseWrite() error {
	var failed error
	err := rawConn{c}.Control(func(fd uintptr) { failed = os.NewSyscallError("shutdown", unix.Shutdown(int(fd), unix.SHUT_WR)) })
	return errors.Join(err, failed)
}

// LocalAddr returns the address of the listener.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the other side.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error { return c.setDeadline((*os.File).SetDeadline, t) }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	return c.setDeadline((*os.File).SetReadDeadline, t)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	return c.setDeadline((*os.File).SetWriteDeadline, t)
}

// setDeadline registers the connection if necessary and calls deadline with its file and t.
func (c *Conn) setDeadline(deadline func(*os.File, time.Time) error, t time.Time) error {
	if err := c.register(); err != nil {
		return err
	}
	return deadline(c.socket.Load().File, t)
}

// SyscallConn implements syscall.Conn. The result always refers to the current descriptor, which changes when a
// registration is retried.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return rawConn{c}, nil }

// rawConn implements syscall.RawConn for a Conn.
type rawConn struct{ c *Conn }

// Control calls f with the descriptor. It does not wait for the registration, and fails only if the connection is
// closed.
func (r rawConn) Control(f func(fd uintptr)) error {
	r.c.mu.Lock() // tryRegister replaces the descriptor with this lock held
	raw := r.c.socket.Load().raw
	r.c.mu.Unlock()
	return raw.Control(f)
}

// Read calls f until it returns true, and waits for data between the calls.
func (r rawConn) Read(f func(fd uintptr) bool) error {
	if err := r.c.register(); err != nil {
		return err
	}
	return r.c.socket.Load().raw.Read(f)
}

// Write calls f until it returns true, and waits for buffer space between the calls.
func (r rawConn) Write(f func(fd uintptr) bool) error {
	if err := r.c.register(); err != nil {
		return err
	}
	return r.c.socket.Load().raw.Write(f)
}
