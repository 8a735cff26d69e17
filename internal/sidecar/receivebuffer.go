package sidecar

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	// A sender may hold data back that does not fit into the window, so a window that is almost closed counts as closed.
	leastOpenWindow = 16 << 10 // bytes

	fullBufferShare = 0.85 // of a receive buffer, with the kernel's own structures; above that it takes no more data

	defaultSendBuffer = 4 << 20 // bytes; the kernel's default for the largest send buffer
)

// socketMemory is the result of the socket option SO_MEMINFO (sock_diag(7)), as far as it is used.
type socketMemory struct{ received, receiveBuffer uint32 } // in bytes

// getSocketOption reads a socket option into a value of fixed size, and returns how many bytes of it the system has set.
func getSocketOption[T any](fd, level, name int, value *T) (int, error) {
	length := uint32(unsafe.Sizeof(*value))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, uintptr(fd), uintptr(level), uintptr(name),
		uintptr(unsafe.Pointer(value)), uintptr(unsafe.Pointer(&length)), 0)
	if errno != 0 {
		return 0, errno
	}
	return int(length), nil
}

// receiveBufferFull reports whether the receive buffer of a TCP socket is so full that the other side may be unable to send what
// it has. It returns false if the system does not tell.
func receiveBufferFull(fd int) bool {
	var memory socketMemory
	if n, err := getSocketOption(fd, unix.SOL_SOCKET, unix.SO_MEMINFO, &memory); err == nil && n == int(unsafe.Sizeof(memory)) {
		if float64(memory.received) >= fullBufferShare*float64(memory.receiveBuffer) {
			return true
		}
	}
	var info unix.TCPInfo
	n, err := getSocketOption(fd, unix.IPPROTO_TCP, unix.TCP_INFO, &info)
	windowKnown := n >= int(unsafe.Offsetof(info.Rcv_wnd)+unsafe.Sizeof(info.Rcv_wnd)) // since Linux 6.2
	return err == nil && windowKnown && info.Rcv_space > 0 && info.Rcv_wnd < leastOpenWindow
}

// receiveBufferFull reports whether the client may be unable to send what it has written, as the bytes before it are unread.
func (c *clientConn) receiveBufferFull() (full bool) {
	if c.raw == nil {
		return false
	}
	_ = c.raw.Control(func(fd uintptr) { full = receiveBufferFull(int(fd)) }) // fails only on a closed connection
	return full
}

// maxSendBuffer returns how many bytes at most a client on this machine can have written that have not been received.
var maxSendBuffer = sync.OnceValue(func() uint64 {
	raw, err := os.ReadFile("/proc/sys/net/ipv4/tcp_wmem")
	if err != nil {
		return defaultSendBuffer
	}
	var least, usual, most uint64
	if _, err := fmt.Sscan(string(raw), &least, &usual, &most); err != nil {
		return defaultSendBuffer
	}
	return max(most, defaultSendBuffer)
})
