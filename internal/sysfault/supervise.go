//go:build linux && amd64

package sysfault

import (
	"encoding/binary"
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
	errno int32 // negative
	flags uint32
}

// mostMoved bounds what a read or write that is carried out for the program moves, in bytes.
const mostMoved = 64 << 10

// serve decides calls until the program has ended.
func (s *Supervisor) serve() {
	defer func() {
		close(s.ended)
		s.late.Wait()
		unix.Close(s.listener)
		unix.Close(s.pidfd)
		close(s.done)
	}()
	for {
		waiting := []unix.PollFd{{Fd: int32(s.listener), Events: unix.POLLIN}}
		if _, err := unix.Poll(waiting, -1); err != nil {
			if err == unix.EINTR {
				continue
			}
			return
		}
		if waiting[0].Revents&unix.POLLIN == 0 { // nobody is left under the filter
			return
		}
		var n notification
		if _, _, errno := syscall.Syscall(unix.SYS_IOCTL, uintptr(s.listener), unix.SECCOMP_IOCTL_NOTIF_RECV, uintptr(unsafe.Pointer(&n))); errno != 0 {
			continue // who made the call was killed
		}
		s.decide(&n)
	}
}

// decide has one call go its way, later where it is held up.
func (s *Supervisor) decide(n *notification) {
	if n.number == unix.SYS_CLOCK_GETTIME && s.options.ControlClock {
		s.respond(n, s.tellTime(n))
		return
	}
	var effect Effect
	if s.options.Decide != nil {
		effect = s.options.Decide(Call{Number: int(n.number), Arguments: n.arguments})
	}
	if effect.Delay <= 0 && effect.Until == nil {
		s.respond(n, s.carryOut(n, effect))
		return
	}
	s.late.Go(func() {
		time.Sleep(effect.Delay)
		if effect.Until != nil {
			select {
			case <-effect.Until:
			case <-s.ended:
			}
		}
		s.respond(n, s.carryOut(n, effect))
	})
}

// carryOut says how a call ends that is not held up any more.
func (s *Supervisor) carryOut(n *notification, effect Effect) response {
	switch {
	case effect.Errno != 0 && effect.SocketsOnly && !s.isSocket(n):
	case effect.Errno != 0:
		return response{errno: -int32(effect.Errno)}
	case effect.MaxBytes > 0 && n.number == unix.SYS_READ:
		return s.move(n, effect.MaxBytes, s.read)
	case effect.MaxBytes > 0 && n.number == unix.SYS_WRITE:
		return s.move(n, effect.MaxBytes, s.write)
	}
	return response{flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
}

func (s *Supervisor) respond(n *notification, r response) {
	r.id = n.id
	_, _, _ = syscall.Syscall(unix.SYS_IOCTL, uintptr(s.listener), unix.SECCOMP_IOCTL_NOTIF_SEND, uintptr(unsafe.Pointer(&r))) // or it was killed
}

// move reads or writes a socket of the program's for it. What is no socket goes on as it is.
func (s *Supervisor) move(n *notification, most int, carry func(socket int, buffer []byte, address uint64) (int, error)) response {
	goOn := response{flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	size := min(n.arguments[2], uint64(most), mostMoved)
	if size == 0 || size == n.arguments[2] {
		return goOn
	}
	socket, err := s.socketOf(n)
	if err != nil {
		return goOn
	}
	defer unix.Close(socket)
	moved, err := carry(socket, make([]byte, size), n.arguments[1])
	if errno, failed := err.(syscall.Errno); failed {
		return response{errno: -int32(errno)}
	}
	return response{value: int64(moved)}
}

// socketOf returns a copy of the socket that a call is made on, which the caller closes. An error says that it is none.
func (s *Supervisor) socketOf(n *notification) (int, error) {
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

func (s *Supervisor) isSocket(n *notification) bool {
	socket, err := s.socketOf(n)
	if err != nil {
		return false
	}
	unix.Close(socket)
	return true
}

func (s *Supervisor) read(socket int, buffer []byte, address uint64) (int, error) {
	n, _, err := unix.Recvfrom(socket, buffer, unix.MSG_DONTWAIT)
	if err != nil || n == 0 {
		return n, err
	}
	return n, s.poke(address, buffer[:n])
}

func (s *Supervisor) write(socket int, buffer []byte, address uint64) (int, error) {
	local := []unix.Iovec{{Base: &buffer[0], Len: uint64(len(buffer))}}
	remote := []unix.RemoteIovec{{Base: uintptr(address), Len: len(buffer)}}
	n, err := unix.ProcessVMReadv(s.pid, local, remote, 0)
	if err != nil {
		return 0, err
	}
	return unix.SendmsgN(socket, buffer[:n], nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
}

// tellTime answers a read of the wall clock.
func (s *Supervisor) tellTime(n *notification) response {
	now := time.Now().UnixNano() + s.offset.Load()
	var told [16]byte // struct timespec
	binary.NativeEndian.PutUint64(told[:8], uint64(now/int64(time.Second)))
	binary.NativeEndian.PutUint64(told[8:], uint64(now%int64(time.Second)))
	if err := s.poke(n.arguments[1], told[:]); err != nil {
		return response{errno: -int32(unix.EFAULT)}
	}
	return response{}
}

// poke writes into the program's memory.
func (s *Supervisor) poke(address uint64, data []byte) error {
	local := []unix.Iovec{{Base: &data[0], Len: uint64(len(data))}}
	remote := []unix.RemoteIovec{{Base: uintptr(address), Len: len(data)}}
	_, err := unix.ProcessVMWritev(s.pid, local, remote, 0)
	return err
}
