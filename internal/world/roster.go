package world

import (
	"slices"
	"time"
)

// Life is what the list of servers says of one.
type Life string

// The lives.
const (
	Ready    Life = "ready"
	Draining Life = "draining"
	Gone     Life = "gone"
)

// Entry is one line of the list.
type Entry struct {
	Server  int
	Life    Life
	Started time.Duration // of its last start, in the run's time; 0: long ago
}

// rosterLog is how many changes a roster remembers; who is further behind gets the whole list.
const rosterLog = 1000

// Roster is the list of servers as discovery knows it: versions, and what changed with each.
type Roster struct {
	first   int64 // version before the oldest change remembered
	entries []Entry
	log     []int // entries by what changed them, the version after first first
}

// NewRoster makes a roster of so many ready servers at a version.
func NewRoster(servers int, version int64) *Roster {
	r := &Roster{first: version, entries: make([]Entry, servers)}
	for i := range r.entries {
		r.entries[i] = Entry{Server: i, Life: Ready}
	}
	return r
}

// Reserve adds servers that are gone until they are set, at the version of now.
func (r *Roster) Reserve(servers int) {
	for range servers {
		r.entries = append(r.entries, Entry{Server: len(r.entries), Life: Gone})
	}
}

// Copy is the roster as it is now.
func (r *Roster) Copy() *Roster {
	return &Roster{first: r.first, entries: slices.Clone(r.entries), log: slices.Clone(r.log)}
}

// Version is the list's version.
func (r *Roster) Version() int64 { return r.first + int64(len(r.log)) }

// Set changes an entry, and says whether that is news.
func (r *Roster) Set(e Entry) bool {
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

// Whole is the whole list; a server that is gone is not in it.
func (r *Roster) Whole() (all []Entry) {
	for _, e := range r.entries {
		if e.Life != Gone {
			all = append(all, e)
		}
	}
	return all
}

// Since is what changed after a version, or false where that is not known any more.
func (r *Roster) Since(version int64) (changed []Entry, ok bool) {
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

// Desk is a service of fixed capacity that takes calls in turn.
type Desk struct {
	Call     time.Duration // of service that each call takes
	Line     time.Duration // and each line of its answer
	Patience time.Duration // a call that would wait longer fails
	free     time.Duration // when it is done with all calls so far
}

// NewDesk makes a desk that is free, whatever the time is.
func NewDesk(call, line, patience time.Duration) Desk {
	return Desk{Call: call, Line: line, Patience: patience, free: never}
}

// Take takes a call, and tells when its answer is ready; false: it fails, then, at once.
func (d *Desk) Take(now time.Duration, lines int) (time.Duration, bool) {
	if d.free-now > d.Patience {
		return now, false
	}
	d.free = max(d.free, now) + d.Call + time.Duration(lines)*d.Line
	return d.free, true
}
