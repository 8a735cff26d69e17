package sidecar

import (
	"context"
	"io/fs"
	"log/slog"
	"net/url"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"arrowgw/internal/store"
)

const (
	soloPollInterval    = 250 * time.Millisecond // how often a process looks for a second one
	upgradePollInterval = 50 * time.Millisecond  // and, beside one, for calls made to that
	processStallMargin  = 150 * time.Millisecond // for which the second process may be held up besides
	unreadPoll          = time.Second            // and whether a folder that could not be read can be read by now
	folderWait          = 4 * time.Second        // for a folder that does not answer; a start has 6 s
)

// handover is what a sidecar's processes share in $TMPDIR: who runs, the state (docs/state.md), and a file by which
// programs from before the state tell of servers that are out by hand, and are told. Without a $TMPDIR this process is
// held for the only one, and nothing is kept.
//
// Its zero value is such a process.
type sharedState struct {
	lock         *os.File // nil: this process stands alone
	lockIndex    int64    // the byte of it that this process holds
	legacyPath   string   // path of the file for older programs
	store        *store.Store
	pendingSaves chan struct{} // calls that wait for the disk
	listChanged  chan struct{} // there is a list to be kept

	saving       sync.Mutex              // one call is saved after the other; it may wait for a disk
	legacyInfo   fs.FileInfo             // the older programs' file as last read; nil: there was none
	unsavedCalls map[string]operatorCall // by instanceId, where there is no store

	backs map[string]backSeen // calls back in force, by instanceId

	lateState <-chan *sharedState // what its folder holds, once that answers; nil: it did in time

	counting       sync.Mutex
	otherProcesses [maxProcesses]bool // other processes that run, as the system told last
	counted        atomic.Int64       // how many processes that makes; 0: nobody has counted yet

	mu           sync.Mutex
	pendingList  *pendingList // the list that is to be kept next; nil: there is no news
	legacyDamage int          // 1: the older programs' file was all there was, and it is damaged
}

// newHandover enters this process among a sidecar's, in dir. What is missing or unusable there is told in
// the log and keeps no process from its start.
func newSharedState(dir, name string) *sharedState {
	return openSharedState(dir, name, store.Options{})
}

// openHandover is newHandover with the options of the state that are not its own to choose. A folder that does not answer is
// waited for no longer than folderWait: see followLate.
func openSharedState(dir, name string, options store.Options) *sharedState {
	if dir == "" {
		slog.Info("state not kept", "reason", "TMPDIR is not set: calls by hand end with this process")
		return emptyHandover()
	}
	opened := make(chan *sharedState, 1)
	go func() { opened <- enterFolder(dir, name, options) }()
	select {
	case h := <-opened:
		return h
	case <-time.After(folderWait):
		slog.Error("state not kept", "reason", "the folder does not answer within "+folderWait.String())
		h := emptyHandover()
		h.lateState = opened
		return h
	}
}

// emptyHandover is that of a process that stands alone and keeps nothing.
func emptyHandover() *sharedState {
	return &sharedState{pendingSaves: make(chan struct{}, maxPendingSaves), listChanged: make(chan struct{}, 1)}
}

// enterFolder opens the state in a folder.
func enterFolder(dir, name string, options store.Options) *sharedState {
	h := emptyHandover()
	base := filepath.Join(dir, "sidecar-"+url.PathEscape(name))
	h.legacyPath = base + ".state"
	if err := h.acquireProcessLock(base + ".lock"); err != nil {
		slog.Error("upgrade alone", "error", err)
	}
	began := time.Now()
	options.Dir, options.SoleWriter = base+".kept", func() bool { return h.lock != nil && h.countProcesses() == 1 }
	var err error
	h.store, err = store.Open(options)
	if err != nil {
		slog.Error("state not kept", "reason", err)
	}
	h.adopt()
	h.seeBacks(time.Now())
	damage := h.store.Damage().Findings
	slog.Info("state", "number", h.store.ProcessNumber(), "calls", len(h.callsInForce()), "bytes", h.stateSize(), "took", time.Since(began), "damaged", len(damage))
	for _, d := range damage {
		slog.Error("state damaged", "error", d)
	}
	return h
}

// watch follows the other process until ctx ends, from n processes on: changed hears how many run when that is
// another number, and calls hears which servers are out while there are two, and once more when there is one again.
func (h *sharedState) watchProcesses(ctx context.Context, n int, changed func(n int), calls func(map[string]operatorCall)) {
	if h.lock == nil {
		return
	}
	looked := time.Now()
	for {
		before := n
		if n = h.countProcesses(); n != before {
			slog.Info("upgrade", "processes", n)
			changed(n)
		}
		pause := soloPollInterval
		if n > 1 {
			pause = upgradePollInterval
		}
		again := h.store.HasUnread() && time.Since(looked) >= unreadPoll
		if n > 1 || before > 1 || again {
			looked = time.Now()
			calls(h.currentCalls())
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

// limitMemory keeps this process to its part of the memory, well under what all are killed at.
func limitMemory(megabytes, n int) {
	if megabytes == 0 {
		return
	}
	debug.SetMemoryLimit(int64(megabytes) << 20 / 2 / int64(n))
	if n > 1 {
		debug.FreeOSMemory() // the second process needs now what this one only keeps
	}
}
