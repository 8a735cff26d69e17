package sidecar

import (
	"io"
	"log/slog"
	"syscall"
	"time"
)

const (
	lingerTimeout  = 250 * time.Millisecond // how long data that follows a final answer is read before the close
	maxLingerBytes = 256 << 10              // bytes of such data that are read
)

// Close closes the connection after its last answer. Closing with unread data would send a reset, which can destroy
// the answer in transit: in that case the sending side is closed first and the data is read for a while. On an idle
// connection nothing is read, so that the client sends again a request that crosses the close.
func (c *clientConn) Close() error {
	c.mu.Lock()
	answered, refused, broken := c.requestBegun && !c.readsEnded, c.closeWithRefusal, c.answerBroken
	c.serverClosed = true
	readAhead := len(c.ahead.bytes) > 0
	c.mu.Unlock()
	switch {
	case refused:
		c.refuseOnce.Do(c.refuseAndClose)
		return nil
	case broken: // linger would end the answer as if it were whole
	case answered && (readAhead || c.discardAvailable() > 0):
		c.linger()
	}
	return c.Conn.Close()
}

// resetOnClose makes Close reset the connection, for a broken answer whose end is that of the connection.
func (c *clientConn) resetOnClose() {
	c.mu.Lock()
	c.answerBroken = true
	c.mu.Unlock()
	_ = c.raw.Control(func(fd uintptr) { // fails only on a closed connection
		_, err := retryTransient(func() (int, error) {
			return 0, syscall.SetsockoptLinger(int(fd), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		})
		if err != nil {
			slog.Warn("reset failed", "error", err)
		}
	})
}

// discardAvailable reads up to one buffer of the data that has arrived, and returns its length in bytes.
func (c *clientConn) discardAvailable() (n int) {
	if c.raw == nil {
		return 0
	}
	var rest [4 << 10]byte
	_ = c.raw.Control(func(fd uintptr) { // fails only on a closed connection
		n, _ = retryTransient(func() (int, error) { return syscall.Read(int(fd), rest[:]) })
	})
	return n
}

// writeCloser is a connection whose sending side can be closed alone.
type writeCloser interface{ CloseWrite() error }

// linger closes the sending side and then reads what the client still sends, for lingerTimeout or maxLingerBytes. If no
// deadline can be set, it reads only what has arrived.
func (c *clientConn) linger() {
	sending, ok := c.Conn.(writeCloser)
	if !ok || sending.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		c.discardAvailable()
		return
	}
	var rest [4 << 10]byte
	for left := maxLingerBytes; left > 0; {
		n, err := c.Conn.Read(rest[:])
		if err != nil {
			return
		}
		left -= n
	}
}

// refusalResponse is sent on a connection that is closed while a request may be on its way. The client may retry
// safely.
const refusalResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuseAndClose sends refusalResponse, which must have been reserved, reads what the client still sends and closes the
// connection. Behind a broken answer it only closes.
func (c *clientConn) refuseAndClose() {
	defer c.clients.pendingRefusals.Add(-1)
	defer c.Conn.Close()
	c.mu.Lock()
	broken := c.answerBroken
	c.mu.Unlock()
	if broken { // the refusal would look like the rest of the answer
		return
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTimeout)) // fails only on a closed connection, as the write then does
	if _, err := io.WriteString(c.Conn, refusalResponse); err == nil {
		c.linger()
	}
}
