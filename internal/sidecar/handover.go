package sidecar

import (
	"context"
	"io/fs"
	"log/slog"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"arrowgw/internal/sentids"
	"arrowgw/internal/store"
)

const (
	soloPollInterval        = 250 * time.Millisecond // how often a process checks for a second one
	upgradePollInterval     = 50 * time.Millisecond  // how often, during an upgrade, it checks for calls made at the other process
	processStallMargin      = 150 * time.Millisecond // added to these intervals, as the other process may stall
	unreadableRetryInterval = time.Second            // how often it retries to read a state folder that could not be read
	folderTimeout           = 4 * time.Second        // how long the start waits for the state folder, as a start may take 6 s in all
)

// sharedState is what the processes of a sidecar share in the folder $TMPDIR: a lock file that shows which of them
// run, the state store (docs/state.md), the ids of requests that have been sent, and the legacy file, through which programs
// from before the store exchange operator calls. Without a $TMPDIR this process counts as the only one, and nothing is stored.
//
// The zero value is a sharedState without a folder.
type sharedState struct {
	lockFile     *os.File // nil: other processes can't be detected
	lockIndex    int64    // byte of lockFile that this process has locked
	legacyPath   string   // path of the legacy file
	store        *store.Store
	sentIDs      *sentids.Table // ids of requests that have been sent to a server; nil: none is remembered
	pendingSaves chan struct{}  // one element for each operator call that waits for the disk
	listChanged  chan struct{}  // signals that pendingList is set

	saveMu       sync.Mutex              // serializes the saving of operator calls, which may wait for a disk
	legacyInfo   fs.FileInfo             // legacy file as last read; nil: it did not exist
	unsavedCalls map[string]operatorCall // operator calls by instanceId; used without a store

	enables map[string]enableSeen // enable calls in force, by instanceId

	lateState <-chan *sharedState // receives the state of a folder that did not answer in time; nil: it answered

	countMu        sync.Mutex
	otherProcesses [maxProcesses]bool // other processes that run, by byte of lockFile, as last known
	lastCount      atomic.Int64       // result of the last countProcesses; 0: not counted yet

	mu           sync.Mutex
	pendingList  *pendingList // server list to be saved next; nil: none
	legacyDamage int          // 1 if the state was read from a damaged legacy file
}

// newSharedState registers this process among those of sidecar name and opens the state in dir. Missing or invalid
// state is logged and does not prevent the start.
func newSharedState(dir, name string) *sharedState {
	return openSharedState(dir, name, store.Options{})
}

// openSharedState is newSharedState with options for the state store. It waits for a folder that does not answer for at
// most folderTimeout; see followLateState.
func openSharedState(dir, name string, options store.Options) *sharedState {
	if dir == "" {
		slog.Info("state not kept", "reason", "TMPDIR is not set: operator calls end with this process")
		return emptySharedState()
	}
	opened := make(chan *sharedState, 1)
	go func() { opened <- openStateFolder(dir, name, options) }()
	select {
	case h := <-opened:
		return h
	case <-time.After(folderTimeout):
		slog.Error("state not kept", "reason", "the folder does not answer within "+folderTimeout.String())
		h := emptySharedState()
		h.lateState = opened
		return h
	}
}

// emptySharedState returns the state of a process without a folder: it knows of no other process and stores nothing.
func emptySharedState() *sharedState {
	return &sharedState{sentIDs: sentids.New(), pendingSaves: make(chan struct{}, maxPendingSaves), listChanged: make(chan struct{}, 1)}
}

// openStateFolder locks a byte of the lock file in dir and opens the state store and the legacy file there.
func openStateFolder(dir, name string, options store.Options) *sharedState {
	h := emptySharedState()
	base := filepath.Join(dir, "sidecar-"+url.PathEscape(name))
	h.legacyPath = base + ".state"
	if err := h.acquireProcessLock(base + ".lock"); err != nil {
		slog.Error("upgrade alone", "error", err)
	}
	if shared, err := sentids.Open(base + ".sent"); err == nil {
		h.sentIDs = shared
	} else {
		slog.Error("sent ids not shared", "error", err)
	}
	began := time.Now()
	options.Dir, options.SoleWriter = base+".kept", func() bool { return h.lockFile != nil && h.countProcesses() == 1 }
	var err error
	h.store, err = store.Open(options)
	if err != nil {
		slog.Error("state not kept", "reason", err)
	}
	h.importLegacy()
	h.noteEnables(time.Now())
	damage := h.store.Damage().Findings
	slog.Info("state", "number", h.store.ProcessNumber(), "calls", len(h.callsInForce()), "bytes", h.stateSize(), "took", time.Since(began), "damaged", len(damage))
	for _, d := range damage {
		slog.Error("state damaged", "error", d)
	}
	return h
}

// watchProcesses polls for other processes of this sidecar until ctx ends; n is their last known number. It passes a
// changed number to changed. While there are two processes, once more after that, and when a folder that could not be
// read is retried, it passes the operator calls in force to calls.
func (h *sharedState) watchProcesses(ctx context.Context, n int, changed func(n int), calls func(map[string]operatorCall)) {
	if h.lockFile == nil {
		return
	}
	lastRead := time.Now()
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
		retryUnreadable := h.store.HasUnread() && time.Since(lastRead) >= unreadableRetryInterval
		if n > 1 || before > 1 || retryUnreadable {
			lastRead = time.Now()
			calls(h.currentCalls())
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}
