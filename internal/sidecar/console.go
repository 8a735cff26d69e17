package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	maxConsoleConns  = 12                     // callers whose line has not arrived; above this the one that waits longest is closed
	callReadTimeout  = 2 * time.Second        // for a caller to send its line
	callReplyTimeout = 500 * time.Millisecond // for a caller to read its answer, which is due within 1 s
	maxCallLine      = 256                    // maximum length of a line in bytes
	maxCallDrain     = 64 << 10               // bytes read after an unusable line, so that a reset does not destroy the answer
)

// console serves operators: each connection sends one line, receives one answer and is closed. It has its own
// listener and limits, so that neither client load nor callers that send nothing delay an answer.
type console struct {
	ready        func() bool                                               // reports whether the sidecar serves
	writeStats   func(io.Writer)                                           // writes the figures
	setServer    func(ctx context.Context, id string, disabled bool) error // administratively disables a server, or enables it again
	writeDuties  func(io.Writer) error                                     // writes which member holds which duty
	moveDuty     func(words []string) error                                // moves a duty to another member
	writeRules   func(io.Writer) error                                     // writes which rule set is in force, and who refused one
	writeMembers func(io.Writer) error                                     // writes the members of the fleet
	confirmState func() error                                              // confirms that the right servers are disabled after damage to the state

	mu      sync.Mutex
	waiting []net.Conn // callers whose line has not arrived, in the order in which they connected
	callers sync.WaitGroup
}

// serve answers callers until ctx ends, and returns once all of them have been answered.
func (c *console) serve(ctx context.Context, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	defer c.callers.Wait()
	var logged time.Time // when a failure was last logged
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			c.addWaiting(conn)
			c.callers.Go(func() { c.handle(ctx, conn) })
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return
		default: // for example no free descriptor; transient
			if now := time.Now(); now.Sub(logged) >= time.Second {
				logged = now
				slog.Error("console failed", "error", err)
			}
			select {
			case <-time.After(acceptRetryInterval):
			case <-ctx.Done():
			}
		}
	}
}

// addWaiting adds a caller to those whose line has not arrived. Above maxConsoleConns it closes the one that waits
// longest.
func (c *console) addWaiting(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting) >= maxConsoleConns {
		c.waiting[0].Close()
		c.waiting = c.waiting[1:]
	}
	c.waiting = append(c.waiting, conn)
}

// removeWaiting removes a caller once its line has arrived or reading it has failed, so that it is not closed to make room.
func (c *console) removeWaiting(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.waiting {
		if c.waiting[i] == conn {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			return
		}
	}
}

// handle reads one caller's line, carries out the call and sends the answer.
func (c *console) handle(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	// Deadlines and writes fail only on a closed connection, on which no answer can be delivered.
	_ = conn.SetDeadline(time.Now().Add(callReadTimeout))
	line, err := bufio.NewReaderSize(conn, maxCallLine).ReadSlice('\n')
	c.removeWaiting(conn)
	_ = conn.SetDeadline(time.Now().Add(callReplyTimeout))
	if err != nil {
		answer := "400 the line has no end\n"
		if errors.Is(err, bufio.ErrBufferFull) {
			answer = "400 the line is too long\n"
		}
		_, _ = io.WriteString(conn, answer)
		if sending, ok := conn.(writeCloser); ok && sending.CloseWrite() == nil {
			_, _ = io.CopyN(io.Discard, conn, maxCallDrain)
		}
		return
	}
	w := bufio.NewWriter(conn)
	c.execute(ctx, w, strings.Fields(string(line)))
	_ = conn.SetDeadline(time.Now().Add(callReplyTimeout)) // the call may have waited for a disk
	_ = w.Flush()
}

// execute carries out a call, which consists of words, and writes its answer.
func (c *console) execute(ctx context.Context, w io.Writer, words []string) {
	name := strings.Join(words[:min(len(words), 1)], "")
	wordCount := map[string]int{"ready": 1, "show-stat": 1, "confirm-state": 1, "show-members": 1, "show-duties": 1, "show-rules": 1, "move-duty": 2, "disable-server": 2, "enable-server": 2}[name]
	var err error
	switch {
	case wordCount == 0:
		err = errors.New("unknown call; there are ready, show-stat, show-members, show-duties, show-rules, move-duty NAME [MEMBER], disable-server ID, enable-server ID and confirm-state")
	case len(words) != wordCount && !(name == "move-duty" && len(words) == 3):
		err = fmt.Errorf("%s takes %d words after it", name, wordCount-1)
	case name == "show-stat":
		c.writeStats(w)
		return
	case name == "show-members" || name == "show-duties" || name == "show-rules":
		show := map[string]func(io.Writer) error{"show-members": c.writeMembers, "show-duties": c.writeDuties, "show-rules": c.writeRules}[name]
		if err = show(w); err == nil {
			return
		}
	case name == "move-duty":
		err = c.moveDuty(words[1:])
	case name == "ready" && !c.ready():
		err = errors.New("no, it is stopping, or serves nothing by its rules")
	case name == "confirm-state":
		err = c.confirmState()
	case name == "disable-server" || name == "enable-server":
		err = c.setServer(ctx, words[1], name == "disable-server")
	}
	if notDurable := (errNotDurable{}); errors.As(err, &notDurable) {
		fmt.Fprintf(w, "202 %v\n", err)
		return
	}
	if err != nil {
		fmt.Fprintf(w, "400 %v\n", err)
		return
	}
	fmt.Fprintln(w, "200 yes")
}

// writeStats writes the figures of requests, servers and state, for operators and their monitoring. Requests are
// counted when they are answered, attempts when they are written; the loop's counts of servers are at most
// serverCountsInterval old.
func (f *front) writeStats(w io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(f.cfg.Classes)) {
		ended := &f.tallies[f.cfg.Classes[name]]
		for _, figure := range []struct {
			name  string
			value uint64
		}{{"completed", ended.completed.Load()}, {"rejected", ended.rejected.Load()}, {"failed", ended.failed.Load()}} {
			fmt.Fprintf(w, "app.downstream_requests.%s.%s=%d\n", name, figure.name, figure.value)
		}
	}
	members := f.loop.serverCounts.Load()
	// A request whose body is still arriving is not pending.
	fmt.Fprintf(w, "app.upstream_requests=%d\napp.pending=%d\napp.members=%d\napp.members_unavailable=%d\napp.state_damaged=%d\napp.state_bytes=%d\n",
		f.loop.upstream.attemptsWritten.Load(), f.openRequests.Load()-f.pendingUploads.Load(), members.listed, members.unavailable,
		f.loop.handover.damageCount(), f.loop.handover.stateSize())
}
