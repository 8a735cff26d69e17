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
	consoleConns    = 12                     // callers at once; past that the one silent longest makes room
	callReadTimeout = 2 * time.Second        // a caller may take so long over its line
	replyTime       = 500 * time.Millisecond // and so long to take its answer; it is owed that within 1 s
	callLimit       = 256                    // bytes of a line
	callRest        = 64 << 10               // bytes read behind an unusable line, so that its answer is not lost to a reset
)

// console is the operators' door: one line to a connection, one answer, and a close. It stands apart from
// the clients' side, so that neither load there nor silent callers here keep an answer back.
type console struct {
	ready        func() bool
	stat         func(io.Writer)
	setServer    func(ctx context.Context, id string, out bool) error // takes a server out by hand, or brings it back
	writeDuties  func(io.Writer) error                                // who of the fleet has which duty
	moveDuty     func(words []string) error                           // passes a duty on
	writeRules   func(io.Writer) error                                // which rule set is in force, and who refused one
	writeMembers func(io.Writer) error                                // who of the fleet is there
	confirmState func() error                                         // takes an operator's word that a damaged state has the right servers out

	mu      sync.Mutex
	waiting []net.Conn // callers whose line has not come, the one that waits longest first
	callers sync.WaitGroup
}

// serve answers callers until ctx ends. It returns once the last of them has its answer.
func (c *console) serve(ctx context.Context, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	defer c.callers.Wait()
	var logged time.Time // when the last failure was
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			c.addWaiting(conn)
			c.callers.Go(func() { c.handle(ctx, conn) })
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return
		default: // no descriptor is free, say: that passes
			if now := time.Now(); now.Sub(logged) >= time.Second {
				logged = now
				slog.Error("console failed", "error", err)
			}
			select {
			case <-time.After(acceptPause):
			case <-ctx.Done():
			}
		}
	}
}

// enter counts a caller in, if need be at the cost of the one that has been silent longest.
func (c *console) addWaiting(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting) >= consoleConns {
		c.waiting[0].Close()
		c.waiting = c.waiting[1:]
	}
	c.waiting = append(c.waiting, conn)
}

// spoke takes that a caller's line has come, or never will: it makes room for nobody any more.
func (c *console) spoke(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.waiting {
		if c.waiting[i] == conn {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			return
		}
	}
}

// answer hears one caller out.
func (c *console) handle(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	// Deadlines and writes fail only on a connection that is gone: nobody is left to tell.
	_ = conn.SetDeadline(time.Now().Add(callReadTimeout))
	line, err := bufio.NewReaderSize(conn, callLimit).ReadSlice('\n')
	c.spoke(conn)
	_ = conn.SetDeadline(time.Now().Add(replyTime))
	if err != nil {
		why := "400 the line has no end\n"
		if errors.Is(err, bufio.ErrBufferFull) {
			why = "400 the line is too long\n"
		}
		_, _ = io.WriteString(conn, why)
		if sending, ok := conn.(writeCloser); ok && sending.CloseWrite() == nil {
			_, _ = io.CopyN(io.Discard, conn, callRest)
		}
		return
	}
	w := bufio.NewWriter(conn)
	c.execute(ctx, w, strings.Fields(string(line)))
	_ = conn.SetDeadline(time.Now().Add(replyTime)) // the call itself may have waited for a disk
	_ = w.Flush()
}

// call carries out one call.
func (c *console) execute(ctx context.Context, w io.Writer, words []string) {
	name := strings.Join(words[:min(len(words), 1)], "")
	wanted := map[string]int{"ready": 1, "show-stat": 1, "confirm-state": 1, "show-members": 1, "show-duties": 1, "show-rules": 1, "move-duty": 2, "disable-server": 2, "enable-server": 2}[name]
	var err error
	switch {
	case wanted == 0:
		err = errors.New("unknown call; there are ready, show-stat, show-members, show-duties, show-rules, move-duty NAME [MEMBER], disable-server ID, enable-server ID and confirm-state")
	case len(words) != wanted && !(name == "move-duty" && len(words) == 3):
		err = fmt.Errorf("%s takes %d words after it", name, wanted-1)
	case name == "show-stat":
		c.stat(w)
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
	if kept := (errNotDurable{}); errors.As(err, &kept) {
		fmt.Fprintf(w, "202 %v\n", err)
		return
	}
	if err != nil {
		fmt.Fprintf(w, "400 %v\n", err)
		return
	}
	fmt.Fprintln(w, "200 yes")
}

// stat writes the figures, for operators and what watches the sidecar for them. Requests are counted where
// they are answered, attempts where they are written; what only the loop knows is at most serverCountsInterval old.
func (f *front) stat(w io.Writer) {
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
	// A long body that still comes belongs to no request taken.
	fmt.Fprintf(w, "app.upstream_requests=%d\napp.pending=%d\napp.members=%d\napp.members_unavailable=%d\napp.state_damaged=%d\napp.state_bytes=%d\n",
		f.loop.upstream.attemptsWritten.Load(), f.openRequests.Load()-f.uploads.Load(), members.listed, members.unavailable,
		f.loop.handover.damageCount(), f.loop.handover.stateSize())
}
