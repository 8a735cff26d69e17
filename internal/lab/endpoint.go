package lab

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// endpoint is a listener of a server: one for all sidecars, or one for each if shared sockets are not permitted.
type endpoint struct {
	server   *server
	mu       sync.Mutex
	listener *net.TCPListener              // nil once closed: connections are refused
	fillers  []net.Conn                    // connections that fill the accept queue of a silent endpoint
	parked   chan struct{}                 // holds an element while Accept blocks
	resumed  atomic.Pointer[chan struct{}] // not nil while the endpoint is held; closed on release
}

// listen opens the server's endpoints and serves the connections that they accept.
func (u *server) listen() error {
	all, err := u.servers.net.listen(u.port, u.sidecars, fmt.Sprintf("server %d", u.number))
	if err != nil {
		return err
	}
	u.servers.mu.Lock()
	defer u.servers.mu.Unlock()
	u.endpoints = nil
	for _, l := range all {
		e := &endpoint{server: u, listener: l, parked: make(chan struct{}, 1)}
		u.endpoints = append(u.endpoints, e)
		go func() { _ = u.http.Serve(&endpointListener{e, l}) }() // returns when the listener is closed
	}
	return nil
}

// currentEndpoints returns the server's endpoints.
func (u *server) currentEndpoints() []*endpoint {
	u.servers.mu.Lock()
	defer u.servers.mu.Unlock()
	return u.endpoints
}

// close closes the listener, so that connections are refused.
func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener != nil {
		closeListener(e.listener)
		e.listener = nil
	}
	e.closeFillers()
}

// closeFillers closes the connections that fill the accept queue. The caller holds the lock.
func (e *endpoint) closeFillers() {
	for _, c := range e.fillers {
		c.Close()
	}
	e.fillers = nil
}

// stopResponding makes the endpoint behave like one on a machine that has vanished: nothing is accepted, and the accept
// queue is full, so that the kernel doesn't complete new connections either.
func (e *endpoint) stopResponding() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener == nil {
		return
	}
	_ = e.listener.SetDeadline(time.Unix(1, 0)) // fails only if it is closed, as does setBacklog
	e.setBacklog(0)
	select {
	case <-e.parked: // wait for Accept to block, or it could accept the first filler
	case <-time.After(parkTimeout): // Accept has returned: the endpoint was closed meanwhile
	}
	address := e.listener.Addr().(*net.TCPAddr)
	if address.IP.IsUnspecified() {
		address.IP = net.IP(e.server.servers.net.ip(0).AsSlice())
	}
	for range maxFillers {
		if c, err := net.DialTimeout("tcp", address.String(), fillTimeout); err == nil {
			e.fillers = append(e.fillers, c)
		}
		for retryUntil := time.Now().Add(fillTimeout); time.Now().Before(retryUntil); time.Sleep(time.Millisecond) {
			if e.backlogFull() { // the kernel queues a connection a moment after Dial returns
				return
			}
		}
	}
}

// resumeResponding undoes stopResponding. Connections that waited meanwhile are reset, as by a machine that does not
// know them.
func (e *endpoint) resumeResponding() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener == nil {
		return
	}
	e.closeFillers()
	select {
	case <-e.parked:
	default:
	}
	_ = e.listener.SetDeadline(time.Now().Add(time.Millisecond))
	for { // reset what waited in the accept queue
		c, err := e.listener.AcceptTCP()
		if err != nil {
			break
		}
		_ = c.SetLinger(0)
		c.Close()
	}
	e.setBacklog(backlog)
	_ = e.listener.SetDeadline(time.Time{})
}

// hold prevents new connections from being established until release. Open connections continue. A connection that is
// attempted meanwhile is established when its SYN is retransmitted, about a second later.
func (e *endpoint) hold() {
	resumed := make(chan struct{})
	if e.resumed.CompareAndSwap(nil, &resumed) {
		e.stopResponding()
	}
}

// release ends hold. It does nothing if the endpoint is not held.
func (e *endpoint) release() {
	resumed := e.resumed.Swap(nil)
	if resumed == nil {
		return
	}
	defer close(*resumed)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closeFillers()
	if e.listener != nil {
		e.setBacklog(backlog)
		_ = e.listener.SetDeadline(time.Time{}) // fails only if it is closed
	}
}

// backlogFull reports whether the accept queue is full.
func (e *endpoint) backlogFull() (full bool) {
	raw, err := e.listener.SyscallConn()
	if err != nil {
		return true // closed
	}
	_ = raw.Control(func(fd uintptr) { // fails only if it is closed
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		full = err == nil && info.Unacked > info.Sacked // for a listener: the length of the queue, and its limit
	})
	return full
}

// setBacklog sets the limit of the accept queue.
func (e *endpoint) setBacklog(limit int) {
	raw, err := e.listener.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), limit) }) // fails only if it is closed
	}
}

// endpointListener is an endpoint's listener in the form that net/http serves.
type endpointListener struct {
	endpoint *endpoint
	*net.TCPListener
}

// Accept returns the next connection of one of this run's sidecars. It blocks while the server is silent or the
// endpoint is held.
func (l *endpointListener) Accept() (net.Conn, error) {
	for {
		c, err := l.TCPListener.AcceptTCP()
		u, caller := l.endpoint.server, -1
		if err == nil {
			// Connections to an address that is not a sidecar's of this run are closed.
			if caller = u.servers.net.callerAt(c.LocalAddr()); caller < 0 || caller >= u.sidecars {
				c.Close()
				continue
			}
		}
		u.servers.mu.Lock()
		silent := u.silent
		if err == nil && silent == nil && u.model.Up() {
			wrapped := &conn{TCPConn: c, server: u, sidecar: caller}
			u.conns[wrapped] = true
			u.servers.mu.Unlock()
			return wrapped, nil
		}
		u.servers.mu.Unlock()
		var timeout net.Error
		timedOut := errors.As(err, &timeout) && timeout.Timeout()
		switch {
		case err == nil: // it was established just as the server went down
			_ = c.SetLinger(0)
			c.Close()
		case !timedOut:
			return nil, err
		}
		l.endpoint.waitWhileBlocked(silent)
	}
}

// waitWhileBlocked waits until the server responds again, if silent is not nil, and until the endpoint is released.
func (e *endpoint) waitWhileBlocked(silent chan struct{}) {
	signals := []chan struct{}{silent}
	if resumed := e.resumed.Load(); resumed != nil {
		signals = append(signals, *resumed)
	}
	for _, signal := range signals {
		if signal == nil {
			continue
		}
		select {
		case e.parked <- struct{}{}:
		default:
		}
		<-signal
	}
}
