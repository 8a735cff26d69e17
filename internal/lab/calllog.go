//go:build linux && (amd64 || arm64)

package lab

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"arrowgw/internal/sysfault"
)

// callsName is the file in a result's folder that lists the disturbed system calls, one JSON object per line.
const callsName = "calls.jsonl"

// maxLoggedCalls bounds the system calls that are kept for the log; the first ones are kept.
const maxLoggedCalls = 200_000

// DisturbedCall is a system call on a connection of a sidecar that the lab disturbed. It is a line of calls.jsonl.
type DisturbedCall struct {
	At            time.Duration // when the effect had been applied
	Sidecar       int
	Process       int // number among the sidecar's processes
	Call          string
	Local, Remote netip.AddrPort
	Delay         time.Duration
	Wanted        uint64 // bytes that the program asked to move
	Moved         int64  // bytes that the lab moved in its place
	Error         string // the error that the call failed with; empty: none
	Proceeded     bool   // the kernel carried it out after the delay
}

// callLog collects the disturbed calls of a run. It is safe for concurrent use.
type callLog struct {
	clock clock

	mu      sync.Mutex
	calls   []DisturbedCall
	dropped int // calls beyond maxLoggedCalls
}

// loggedCallNames are the names of the calls that move bytes; other calls are not logged.
var loggedCallNames = map[int]string{unix.SYS_READ: "read", unix.SYS_WRITE: "write"}

// observer returns the function that logs the disturbed calls of a process. A nil log logs nothing.
func (l *callLog) observer(q *process) func(sysfault.Call, sysfault.Effect, sysfault.Outcome) {
	if l == nil {
		return nil
	}
	return func(c sysfault.Call, e sysfault.Effect, o sysfault.Outcome) {
		name := loggedCallNames[c.Number]
		if name == "" {
			return
		}
		local, remote, err := q.calls.connAddrs(c)
		if err != nil {
			return // no connection
		}
		entry := DisturbedCall{
			At: l.clock.now(), Sidecar: q.sidecar, Process: q.ordinal, Call: name, Local: local, Remote: remote,
			Delay: e.Delay, Wanted: c.Arguments[2], Moved: o.Moved, Proceeded: o.Proceeded,
		}
		if o.Errno != 0 {
			entry.Error = o.Errno.Error()
		}
		l.add(entry)
	}
}

// add adds a call.
func (l *callLog) add(c DisturbedCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.calls) >= maxLoggedCalls {
		l.dropped++
		return
	}
	l.calls = append(l.calls, c)
}

// write writes all calls to a file. A nil log writes nothing.
func (l *callLog) write(path string) error {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var text bytes.Buffer
	lines := json.NewEncoder(&text)
	for _, c := range l.calls {
		if err := lines.Encode(c); err != nil {
			return err
		}
	}
	return os.WriteFile(path, text.Bytes(), 0o644)
}
