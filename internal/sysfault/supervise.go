//go:build linux && (amd64 || arm64)

package sysfault

import (
	"encoding/binary"
	"errors"
	"fmt"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// notification is struct seccomp_notif.
type notification struct {
	id           uint64
	thread       uint32
	flags        uint32
	number       int32
	architecture uint32
	instruction  uint64
	arguments    [6]uint64
}

// response is struct seccomp_notif_resp.
type response struct {
	id    uint64
	value int64
	errno int32 // negated error number
	flags uint32
}

// maxMovedBytes limits the bytes of a read or write that the supervisor carries out for the program.
const maxMovedBytes = 64 << 10

// pollRetryInterval is the pause before poll is retried after the system lacked memory for it.
const pollRetryInterval = time.Millisecond

// serve handles notifications of system calls until all processes under the filter have exited.
func (s *Supervisor) serve() {
	defer func() {
		close(s.exited)
		s.delayed.Wait()
		unix.Close(s.listener)
		unix.Close(s.pidfd)
		close(s.done)
	}()
	for s.awaitNotification() {
		var n notification
		switch errno := s.control(unix.SECCOMP_IOCTL_NOTIF_RECV, unsafe.Pointer(&n)); errno {
		case 0:
			s.handle(&n)
		case unix.EINTR, unix.ENOENT: // interrupted by a signal, or the thread that made the call was killed
		default:
			s.recordFailure("receiving a call: %w", errno)
		}
	}
}

// awaitNotification waits for a call. It returns false once no process is left under the filter.
func (s *Supervisor) awaitNotification() bool {
	for {
		waiting := []unix.PollFd{{Fd: int32(s.listener), Events: unix.POLLIN}}
		_, err := unix.Poll(waiting, -1)
		events := waiting[0].Revents
		switch {
		case err == unix.EINTR:
		case err != nil:
			time.Sleep(pollRetryInterval)
		case events&unix.POLLIN != 0:
			return true
		case events&unix.POLLHUP != 0:
			return false
		case events&unix.POLLNVAL != 0:
			s.recordFailure("waiting for calls: %w", unix.EBADF)
			return false
		}
		// POLLERR alone means that a signal interrupted the kernel as it waited for the filter's lock.
	}
}

// control makes an ioctl call on the filter's listener.
func (s *Supervisor) control(request uintptr, argument unsafe.Pointer) syscall.Errno {
	_, _, errno := syscall.Syscall(unix.SYS_IOCTL, uintptr(s.listener), request, uintptr(argument))
	return errno
}

// recordFailure records a failure of the supervision itself.
func (s *Supervisor) recordFailure(format string, args ...any) {
	s.failureMu.Lock()
	defer s.failureMu.Unlock()
	s.failureCount++
	if len(s.failures) < maxFailuresKept {
		s.failures = append(s.failures, fmt.Errorf(format, args...))
	}
}

// handle responds to one call, in a goroutine of its own if the call is delayed.
func (s *Supervisor) handle(n *notification) {
	if n.number == unix.SYS_CLOCK_GETTIME && s.options.ControlClock {
		s.respond(n, s.readClock(n))
		return
	}
	var effect Effect
	if s.options.Decide != nil {
		effect = s.options.Decide(n.call())
	}
	if effect.Delay <= 0 && effect.Until == nil {
		s.carryOut(n, effect)
		return
	}
	s.delayed.Go(func() {
		time.Sleep(effect.Delay)
		if effect.Until != nil {
			select {
			case <-effect.Until:
			case <-s.exited:
			}
		}
		s.carryOut(n, effect)
	})
}

// carryOut applies an effect to a call, after any delay, reports it and responds to the call.
func (s *Supervisor) carryOut(n *notification, effect Effect) {
	r := s.apply(n, effect)
	if s.options.Observe != nil && effect != (Effect{}) {
		s.options.Observe(n.call(), effect, Outcome{
			Proceeded: r.flags&unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE != 0, Moved: r.value, Errno: syscall.Errno(-r.errno),
		})
	}
	s.respond(n, r)
}

// call returns the call that a notification is about.
func (n *notification) call() Call { return Call{Number: int(n.number), Arguments: n.arguments} }

// apply returns the response to a call according to its effect, after any delay.
func (s *Supervisor) apply(n *notification, effect Effect) response {
	switch {
	case effect.Errno != 0 && effect.SocketsOnly && !s.isSocket(n):
	case effect.Errno != 0:
		if effect.BreaksConnection {
			s.breakConnection(n)
		}
		return response{errno: -int32(effect.Errno)}
	case effect.MaxBytes > 0 && n.number == unix.SYS_READ:
		return s.moveBytes(n, effect.MaxBytes, s.receive)
	case effect.MaxBytes > 0 && n.number == unix.SYS_WRITE:
		return s.moveBytes(n, effect.MaxBytes, s.send)
	}
	return response{flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
}

// respond sends the response to a notification to the kernel. A response that is not delivered would block the program's
// thread for good.
func (s *Supervisor) respond(n *notification, r response) {
	r.id = n.id
	for {
		switch errno := s.control(unix.SECCOMP_IOCTL_NOTIF_SEND, unsafe.Pointer(&r)); errno {
		case unix.EINTR: // a signal interrupted the wait for the filter's lock
			continue
		case 0, unix.ENOENT: // delivered, or the thread was killed
		default:
			s.recordFailure("responding to call %d: %w", n.number, errno)
		}
		return
	}
}

// moveBytes carries out a read or write of at most maxBytes on behalf of the program. It lets the kernel proceed with
// calls on other descriptors than sockets, and with calls that ask for no more than maxBytes.
func (s *Supervisor) moveBytes(n *notification, maxBytes int, transfer func(socket int, buffer []byte, address uint64) (int, error)) response {
	proceed := response{flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	size := min(n.arguments[2], uint64(maxBytes), maxMovedBytes)
	if size == 0 || size == n.arguments[2] {
		return proceed
	}
	socket, err := s.duplicateSocket(n)
	if err != nil {
		return proceed
	}
	defer unix.Close(socket)
	moved, err := transfer(socket, make([]byte, size), n.arguments[1])
	if errors.Is(err, errMemoryAccess) {
		return proceed
	}
	if errno, failed := err.(syscall.Errno); failed {
		return response{errno: -int32(errno)}
	}
	return response{value: int64(moved)}
}

// duplicateSocket returns a duplicate of the socket in a call's first argument, which the caller closes. It returns an
// error if the descriptor is not a socket.
func (s *Supervisor) duplicateSocket(n *notification) (int, error) {
	socket, err := unix.PidfdGetfd(s.pidfd, int(int32(n.arguments[0])), 0)
	if err != nil {
		return 0, err
	}
	if _, err := unix.GetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_TYPE); err != nil {
		unix.Close(socket)
		return 0, err
	}
	return socket, nil
}

// isSocket reports whether a call's first argument is a socket.
func (s *Supervisor) isSocket(n *notification) bool {
	socket, err := s.duplicateSocket(n)
	if err != nil {
		return false
	}
	unix.Close(socket)
	return true
}

// errMemoryAccess means that the program's memory could not be read or written. Nothing has been moved then.
var errMemoryAccess = errors.New("the program's memory is not accessible")

// breakConnection ends the connection that is a call's first argument, and drops what it has received.
func (s *Supervisor) breakConnection(n *notification) {
	socket, err := s.duplicateSocket(n)
	if err != nil {
		return // not a connection
	}
	defer unix.Close(socket)
	_ = unix.Shutdown(socket, unix.SHUT_RDWR) // fails only if the connection has ended
	for buffer := make([]byte, maxMovedBytes); ; {
		if dropped, _, err := unix.Recvfrom(socket, buffer, unix.MSG_DONTWAIT); err != nil || dropped == 0 {
			return
		}
	}
}

// receive reads from a socket into the program's memory. The bytes leave the socket only once they are in the memory.
func (s *Supervisor) receive(socket int, buffer []byte, address uint64) (int, error) {
	n, _, err := unix.Recvfrom(socket, buffer, unix.MSG_DONTWAIT|unix.MSG_PEEK)
	if err != nil || n == 0 {
		return n, err
	}
	if s.writeMemory(address, buffer[:n]) != nil {
		return 0, errMemoryAccess
	}
	n, _, err = unix.Recvfrom(socket, buffer[:n], unix.MSG_DONTWAIT)
	return n, err
}

// send writes from the program's memory to a socket.
func (s *Supervisor) send(socket int, buffer []byte, address uint64) (int, error) {
	local := []unix.Iovec{{Base: &buffer[0], Len: uint64(len(buffer))}}
	remote := []unix.RemoteIovec{{Base: uintptr(address), Len: len(buffer)}}
	n, err := unix.ProcessVMReadv(s.pid, local, remote, 0)
	if err != nil || n == 0 {
		return 0, errMemoryAccess
	}
	return unix.SendmsgN(socket, buffer[:n], nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
}

// readClock answers a read of the wall clock with the real time plus the current offset.
func (s *Supervisor) readClock(n *notification) response {
	now := time.Now().UnixNano() + s.clockOffset.Load()
	var timespec [16]byte // struct timespec
	binary.NativeEndian.PutUint64(timespec[:8], uint64(now/int64(time.Second)))
	binary.NativeEndian.PutUint64(timespec[8:], uint64(now%int64(time.Second)))
	if err := s.writeMemory(n.arguments[1], timespec[:]); err != nil {
		return response{errno: -int32(unix.EFAULT)}
	}
	return response{}
}

// writeMemory writes data to the program's memory. It fails if not all of it can be written.
func (s *Supervisor) writeMemory(address uint64, data []byte) error {
	local := []unix.Iovec{{Base: &data[0], Len: uint64(len(data))}}
	remote := []unix.RemoteIovec{{Base: uintptr(address), Len: len(data)}}
	n, err := unix.ProcessVMWritev(s.pid, local, remote, 0)
	if err == nil && n < len(data) {
		err = unix.EFAULT
	}
	return err
}
