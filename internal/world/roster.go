package world

import (
	"slices"
	"time"
)

// Lifecycle is the state of a server in the server list.
type Lifecycle string

// The lifecycle states.
const (
	Ready    Lifecycle = "ready"
	Draining Lifecycle = "draining"
	Gone     Lifecycle = "gone"
)

// Entry is one server's entry in the server list.
type Entry struct {
	Server    int
	Lifecycle Lifecycle
	StartedAt time.Duration // of its last start, in the run's time; 0: long ago
}

// maxLoggedChanges is the number of changes that a ServerList keeps. Clients further behind need the full list.
const maxLoggedChanges = 1000

// ServerList is discovery's versioned list of servers, with a log of the latest changes.
type ServerList struct {
	logStart int64   // the version before the oldest logged change
	entries  []Entry // by server number
	changes  []int   // the server that each version after logStart changed, oldest first
}

// NewServerList returns a list of ready servers at a version.
func NewServerList(servers int, version int64) *ServerList {
	l := &ServerList{logStart: version, entries: make([]Entry, servers)}
	for i := range l.entries {
		l.entries[i] = Entry{Server: i, Lifecycle: Ready}
	}
	return l
}

// Reserve appends entries of servers that are gone until Set changes them. The version stays.
func (l *ServerList) Reserve(servers int) {
	for range servers {
		l.entries = append(l.entries, Entry{Server: len(l.entries), Lifecycle: Gone})
	}
}

// Clone returns an independent copy of the list.
func (l *ServerList) Clone() *ServerList {
	return &ServerList{logStart: l.logStart, entries: slices.Clone(l.entries), changes: slices.Clone(l.changes)}
}

// Version returns the version of the list. Each change increments it.
func (l *ServerList) Version() int64 { return l.logStart + int64(len(l.changes)) }

// Set replaces the entry of a server and reports whether that changes the list.
func (l *ServerList) Set(e Entry) bool {
	if l.entries[e.Server] == e {
		return false
	}
	l.entries[e.Server] = e
	l.changes = append(l.changes, e.Server)
	if len(l.changes) > maxLoggedChanges {
		l.changes = l.changes[1:]
		l.logStart++
	}
	return true
}

// Listed returns the entries of all servers that are not gone.
func (l *ServerList) Listed() (all []Entry) {
	for _, e := range l.entries {
		if e.Lifecycle != Gone {
			all = append(all, e)
		}
	}
	return all
}

// ChangedSince returns the current entries of the servers that changed after a version, in the order of their first
// change. It returns false if the version is older than the log or not reached yet.
func (l *ServerList) ChangedSince(version int64) (changed []Entry, ok bool) {
	if version < l.logStart || version > l.Version() {
		return nil, false
	}
	seen := make(map[int]bool)
	for _, i := range l.changes[version-l.logStart:] {
		if !seen[i] {
			seen[i] = true
			changed = append(changed, l.entries[i])
		}
	}
	return changed, true
}

// FIFOService models a service that answers one call at a time in the order of arrival, such as discovery.
type FIFOService struct {
	CallTime  time.Duration // fixed service time of a call
	EntryTime time.Duration // additional service time of each entry in the answer
	MaxWait   time.Duration // a call that would wait longer for its service fails
	idleAt    time.Duration // when all accepted calls are answered
}

// NewFIFOService returns a service that is idle at any time of its first call.
func NewFIFOService(callTime, entryTime, maxWait time.Duration) FIFOService {
	return FIFOService{CallTime: callTime, EntryTime: entryTime, MaxWait: maxWait, idleAt: unsetTime}
}

// Enqueue accepts a call whose answer has a number of entries, and returns when the answer is ready. It returns false
// if the call fails at once because it would wait longer than MaxWait.
func (f *FIFOService) Enqueue(now time.Duration, entries int) (time.Duration, bool) {
	if f.idleAt-now > f.MaxWait {
		return now, false
	}
	f.idleAt = max(f.idleAt, now) + f.CallTime + time.Duration(entries)*f.EntryTime
	return f.idleAt, true
}
