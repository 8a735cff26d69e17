package sidecar

import "golang.org/x/sys/unix"

// presence is what is known about whether a client is still connected.
type presence int

const (
	clientPresent presence = iota
	clientGone             // it has closed the connection or its sending side
	clientUnknown          // the system gives no information: no attempt is sent for the request, and the request is not ended
)

// pollAttempts is how often each of two system calls is tried to find out a client's presence.
const pollAttempts = 3

// pollPresence reports whether the other side has closed the connection with descriptor fd, or its sending side. If
// poll fails, the TCP state of the connection is read instead, as an error does not mean that the client is still
// there.
func pollPresence(fd int) presence {
	presenceIf := func(closed bool) presence {
		if closed {
			return clientGone
		}
		return clientPresent
	}
	for range pollAttempts {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if _, err := unix.Poll(p, 0); err == nil {
			return presenceIf(p[0].Revents != 0)
		}
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			return presenceIf(info.State != unix.BPF_TCP_ESTABLISHED)
		}
	}
	return clientUnknown
}
