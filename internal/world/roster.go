package world

import (
	"slices"
	"time"
)

// Lifecycle is what the list of servers says of one.
type Lifecycle string

// The lives.
const (
	Ready    Lifecycle = "ready"
	Draining Lifecycle = "draining"
	Gone     Lifecycle = "gone"
)

// Entry is one line of the list.
type Entry struct {
	Server    int
	Lifecycle Lifecycle
	StartedAt time.Duration // of its last start, in the run's time; 0: long ago
}

// rosterLog is how many changes a roster remembers; who is further behind gets the whole list.
const rosterLog = 1000

// ServerList is the list of servers as discovery knows it: versions, and what changed with each.
type ServerList struct {
	first   int64 // version before the oldest change remembered
	entries []Entry
	log     []int // entries by what changed them, the version after first first
}

// NewServerList makes a list of so many ready servers at a version.
func NewServerList(servers int, version int64) *ServerList {
	r := &ServerList{first: version, entries: make([]Entry, servers)}
	for i := range r.entries {
		r.entries[i] = Entry{Server: i, Lifecycle: Ready}
	}
	return r
}

// Reserve adds servers that are gone until they are set, at the version of now.
func (r *ServerList) Reserve(servers int) {
	for range servers {
		r.entries = append(r.entries, Entry{Server: len(r.entries), Lifecycle: Gone})
	}
}

// Clone is the list as it is now.
func (r *ServerList) Clone() *ServerList {
	return &ServerList{first: r.first, entries: slices.Clone(r.entries), log: slices.Clone(r.log)}
}

// Version is the list's version.
func (r *ServerList) Version() int64 { return r.first + int64(len(r.log)) }

// Set changes an entry, and says whether that is news.
func (r *ServerList) Set(e Entry) bool {
	if r.entries[e.Server] == e {
		return false
	}
	r.entries[e.Server] = e
	r.log = append(r.log, e.Server)
	if len(r.log) > rosterLog {
		r.log = r.log[1:]
		r.first++
	}
	return true
}

// Listed is the whole list; a server that is gone is not in it.
func (r *ServerList) Listed() (all []Entry) {
	for _, e := range r.entries {
		if e.Lifecycle != Gone {
			all = append(all, e)
		}
	}
	return all
}

// ChangedSince is what changed after a version, or false where that is not known any more.
func (r *ServerList) ChangedSince(version int64) (changed []Entry, ok bool) {
	if version < r.first || version > r.Version() {
		return nil, false
	}
	seen := make(map[int]bool)
	for _, i := range r.log[version-r.first:] {
		if !seen[i] {
			seen[i] = true
			changed = append(changed, r.entries[i])
		}
	}
	return changed, true
}

// FIFOService is a service of fixed capacity that takes calls in turn.
type FIFOService struct {
	CallTime  time.Duration // of service that each call takes
	EntryTime time.Duration // and each line of its answer
	MaxWait   time.Duration // a call that would wait longer fails
	free      time.Duration // when it is done with all calls so far
}

// NewFIFOService makes a service that is free, whatever the time is.
func NewFIFOService(call, line, patience time.Duration) FIFOService {
	return FIFOService{CallTime: call, EntryTime: line, MaxWait: patience, free: never}
}

// Enqueue takes a call, and tells when its answer is ready; false: it fails, then, at once.
func (d *FIFOService) Enqueue(now time.Duration, lines int) (time.Duration, bool) {
	if d.free-now > d.MaxWait {
		return now, false
	}
	d.free = max(d.free, now) + d.CallTime + time.Duration(lines)*d.EntryTime
	return d.free, true
}
