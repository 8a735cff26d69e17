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
	registerTimeout       = time.Second // a connection's registration is tried for so long
	registerRetryInterval = 2 * time.Millisecond
)

// noDeadline clears a deadline.
var noDeadline time.Time

// options are what a test may have go wrong.
type options struct {
	register        func(*os.File) error // tells whether the network poller has taken a file
	registerTimeout time.Duration        // for a connection's registration
}

func defaultOptions() options { return options{checkRegistered, registerTimeout} }

// Conn is an accepted connection. It owns its descriptor from the start. The network poller may refuse that at first: then
// whoever first sets a deadline, reads or writes waits until it has taken a copy, for registerTime at most.
type Conn struct {
	local, remote net.Addr
	options       options
	socket        atomic.Pointer[socket]
	registered    atomic.Bool // by the network poller

	mu          sync.Mutex // held by each try to have it taken, and by the close
	closed      bool
	registerErr error // it was not taken in time; guarded by registering

	registerMu sync.Mutex
}

// socket owns a descriptor.
type socket struct {
	*os.File
	raw syscall.RawConn
}

func newSocket(fd int) *socket {
	file := os.NewFile(uintptr(fd), "client")
	raw, err := file.SyscallConn()
	if err != nil {
		panic(err) // it fails for no file at all
	}
	return &socket{file, raw}
}

// newConn takes a descriptor over, which does not block.
func newConn(fd int, local, remote net.Addr, o options) *Conn {
	c := &Conn{local: local, remote: remote, options: o}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // it mostly has it from its listener
	s := newSocket(fd)
	c.socket.Store(s)
	c.registered.Store(o.register(s.File) == nil)
	return c
}

// register returns once the network poller has taken the connection. An error says that it has not in time, or that the
// connection is closed.
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

// tryRegister has the network poller take a copy of the descriptor in place of it: one that it refused is never asked of it again.
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
	_ = old.Close() // the copy stands
	return nil
}

// Read waits for bytes, and returns io.EOF where the other side has ended its sending.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.register(); err != nil {
		return 0, err
	}
	return c.socket.Load().Read(p)
}

// Write writes all of p, or fails. On a connection that the network poller has not taken it writes what the system takes at once.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.register(); errors.Is(err, net.ErrClosed) {
		return 0, err
	}
	return c.socket.Load().Write(p)
}

// Close closes the connection. Whoever reads or writes is woken.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	return c.socket.Load().Close()
}

// CloseWrite ends the sending.
func (c *Conn) CloseWrite() error {
	var failed error
	err := rawConn{c}.Control(func(fd uintptr) { failed = os.NewSyscallError("shutdown", unix.Shutdown(int(fd), unix.SHUT_WR)) })
	return errors.Join(err, failed)
}

// LocalAddr is where its listener listens.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr is the other side's address.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets until when reads and writes wait.
func (c *Conn) SetDeadline(t time.Time) error { return c.setDeadline((*os.File).SetDeadline, t) }

// SetReadDeadline sets until when reads wait.
func (c *Conn) SetReadDeadline(t time.Time) error {
	return c.setDeadline((*os.File).SetReadDeadline, t)
}

// SetWriteDeadline sets until when writes wait.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	return c.setDeadline((*os.File).SetWriteDeadline, t)
}

func (c *Conn) setDeadline(deadline func(*os.File, time.Time) error, t time.Time) error {
	if err := c.register(); err != nil {
		return err
	}
	return deadline(c.socket.Load().File, t)
}

// SyscallConn gives access to the connection's socket, whichever its descriptor is by then.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return rawConn{c}, nil }

// rawConn is a connection's socket as syscall.RawConn has it.
type rawConn struct{ c *Conn }

// Control calls f with the descriptor. It does not wait for the network poller. An error says that the connection is closed.
func (r rawConn) Control(f func(fd uintptr)) error {
	r.c.mu.Lock() // a copy takes the descriptor's place under it
	raw := r.c.socket.Load().raw
	r.c.mu.Unlock()
	return raw.Control(f)
}

// Read calls f until it returns true, and waits for bytes in between.
func (r rawConn) Read(f func(fd uintptr) bool) error {
	if err := r.c.register(); err != nil {
		return err
	}
	return r.c.socket.Load().raw.Read(f)
}

// Write calls f until it returns true, and waits for room in between.
func (r rawConn) Write(f func(fd uintptr) bool) error {
	if err := r.c.register(); err != nil {
		return err
	}
	return r.c.socket.Load().raw.Write(f)
}
