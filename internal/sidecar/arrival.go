package sidecar

import (
	"bytes"
	"time"

	"golang.org/x/sys/unix"
)

// fullBufferTime is how long a receive buffer has to stay full, with no read that empties it, until the rest of a body may have
// been written: a client that is merely faster than the sidecar for a moment has not stopped.
const fullBufferTime = 100 * time.Millisecond

// maxSkipBuffers is how many buffers of unread bytes are skipped at most to look at the last ones. One system call takes at
// most 1,024 buffers (UIO_MAXIOV).
const maxSkipBuffers = 1000

// arrivalProbe finds out whether the last byte of a request's body has arrived at this machine. That byte may be unread for
// as long as the server does not take the bytes before it. Where it may have been written but can't be received, it counts as
// arrived: its client may already wait for the answer. It is not safe for concurrent use.
type arrivalProbe struct {
	conn     *clientConn
	request  uint64 // number of the request on the connection, from 1
	arrived  uint64 // bytes of the connection that had arrived at the last call of arrivedAt
	examined bool   // the last of these bytes have been examined

	fullSince  time.Duration // since when the receive buffer has been full; 0: it is not full
	drainsThen uint64        // reads that have found nothing unread by then
}

// arrivedAt returns by when the last byte of the body has arrived at the latest, or when it may have been written but did not fit
// into the receive buffer. ok is false if neither is known.
func (p *arrivalProbe) arrivedAt(now time.Duration) (at time.Duration, ok bool) {
	c := p.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	unread := uint64(c.unreadBytes() + len(c.ahead.bytes))
	isChunked := c.framing.requests == p.request && c.framing.unfollowed
	switch {
	case isChunked && len(c.ahead.bytes) > 0: // its end can't be looked at before these have been read
		return 0, false
	case isChunked && p.lastChunkArrived(int(unread)):
		return now, true
	case !isChunked && (c.framing.requests > p.request || unread >= c.framing.bodyLeft):
		return now, true
	case !isChunked && c.framing.bodyLeft-unread > maxSendBuffer():
		return 0, false
	}
	return p.writtenAt(now)
}

// writtenAt returns since when the receive buffer has been full, if that is long enough. The caller holds the connection's lock.
func (p *arrivalProbe) writtenAt(now time.Duration) (at time.Duration, ok bool) {
	if !p.conn.receiveBufferFull() {
		p.fullSince = 0
		return 0, false
	}
	if drains := p.conn.drains; p.fullSince == 0 || p.drainsThen != drains {
		p.fullSince, p.drainsThen = now, drains
	}
	return p.fullSince, now-p.fullSince >= fullBufferTime
}

// lastChunkArrived reports whether a chunked body has arrived, of which a number of bytes are unread. It examines them once
// no more have come since the last call, as that copies all of them. Data that happens to look like the end of a body, with
// which the client pauses, are taken for the end. The caller holds the connection's lock.
func (p *arrivalProbe) lastChunkArrived(unread int) bool {
	arrived := p.conn.bytesRead + uint64(unread)
	if arrived != p.arrived {
		p.arrived, p.examined = arrived, false
		return false
	}
	if p.examined {
		return false
	}
	tail, ok := p.conn.peekTail(unread)
	p.examined = ok
	return ok && endsWithLastChunk(tail)
}

// unreadBytes returns how many received bytes wait to be read from the socket, or 0 if the system does not tell.
func (c *clientConn) unreadBytes() (n int) {
	if c.raw == nil {
		return 0
	}
	_ = c.raw.Control(func(fd uintptr) { n = unreadBytesOf(int(fd)) }) // fails only on a closed connection
	return n
}

// unreadBytesOf is unreadBytes for a descriptor.
func unreadBytesOf(fd int) int {
	n, _ := unix.IoctlGetInt(fd, unix.TIOCINQ)
	return n
}

// peekTail returns the last bytes that have arrived on a connection whose body is not tracked, of which a number are unread.
// It reads none of them. ok is false if the system does not give them. The caller holds the lock.
func (c *clientConn) peekTail(unread int) (tail []byte, ok bool) {
	end := make([]byte, min(unread, maxTailKept))
	if unread == len(end) { // otherwise bytes between the two are skipped
		tail = append(tail, c.framing.tail...)
	}
	if unread == 0 {
		return tail, true
	}
	skipped := chunkPool.Get().(*[chunkSize]byte)
	defer chunkPool.Put(skipped)
	var buffers [][]byte
	for skip := unread - len(end); skip > 0; skip -= chunkSize {
		buffers = append(buffers, skipped[:min(skip, chunkSize)]) // each part overwrites the one before
	}
	if len(buffers) > maxSkipBuffers {
		return nil, false
	}
	buffers = append(buffers, end)
	n := 0
	_ = c.raw.Control(func(fd uintptr) { // fails only on a closed connection
		n, _ = retryInterrupted(func() (int, error) { return peek(int(fd), buffers) })
	})
	return append(tail, end...), n == unread
}

// peek copies the first unread bytes of a socket to buffers, and leaves them unread.
func peek(fd int, buffers [][]byte) (int, error) {
	n, _, _, _, err := unix.RecvmsgBuffers(fd, buffers, nil, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}

// endsWithLastChunk reports whether the last bytes of a chunked body are those of its end: the last chunk and the trailer
// section (RFC 9112, section 7.1).
func endsWithLastChunk(tail []byte) bool {
	end, ok := bytes.CutSuffix(tail, []byte("\r\n\r\n"))
	if !ok {
		return false
	}
	lines := bytes.Split(end, []byte("\r\n"))
	for i := len(lines) - 1; i > 0; i-- { // what precedes the first line break may be the end of a line
		if isLastChunkLine(lines[i]) {
			return true
		}
		if !bytes.Contains(lines[i], []byte{':'}) {
			return false
		}
	}
	return false
}

// isLastChunkLine reports whether a line is that of a chunk without data, with or without extensions.
func isLastChunkLine(line []byte) bool {
	size, _, _ := bytes.Cut(line, []byte{';'})
	size = bytes.TrimRight(size, " \t")
	return len(size) > 0 && len(bytes.Trim(size, "0")) == 0
}
