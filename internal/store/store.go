// Package store keeps what a process knows over its end, over that of its machine's power, and for the process that
// takes over from it. docs/state.md is its contract; in short:
//
//   - What Put has returned nil for is found by every later Open, whatever happens to the power, as long as the
//     folder is there. Where Put returns an error, what it was given holds in this process, and may or may not be found.
//   - What was never put is never found. Each record has a checksum; what is not sound counts for nothing.
//   - A folder that is damaged is never taken for a sound one: a flipped bit, a file cut short, emptied or missing is
//     told (Damage) by every Open until ConfirmState. What can't be told from the outside: a folder that is gone as a whole.
//   - Processes under one name each write files of their own, and read the others' (Refresh): none can harm another's.
//     Of two words on one thing the one with the higher version counts, and the same at every process.
//   - It holds two files of at most half of MaxBytes each for a process that is alone; damaged files are set aside,
//     damagedMost at most.
//
// All methods are safe for concurrent use. Reading never waits for a disk.
package store

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	limit       = 1 << 20 // bytes of all files, where Options say nothing
	readMost    = 64 << 20
	damagedMost = 4  // files set aside that are kept
	filesMost   = 16 // files of others that are kept though nobody can say whether their processes live
	goneKept    = time.Minute
)

// internal is the section that the store has for itself.
const internal = "store"

// Options say how a store is opened.
type Options struct {
	FS       FS // nil: the machine's own
	Dir      string
	MaxBytes int              // bytes of files; 0: 1 MiB
	Now      func() time.Time // nil: the wall clock
	// SoleWriter says whether no other process writes here. Files of others go only while it does; nil: never.
	SoleWriter func() bool
}

// Damage is what was found wrong with a folder, until an operator confirms it.
type Damage struct{ Findings []string }

// Entry is a value with its age.
type Entry struct {
	Value []byte
	At    time.Time // by the wall clock of the process that put it
}

// Store is an open store.
type Store struct {
	fs    FS
	dir   string
	limit int
	fresh bool // there was nothing before
	now   func() time.Time
	alone func() bool

	committed atomic.Int64 // size of the file, for readers that must not wait for a disk
	unread    atomic.Bool  // something in the folder could not be read so far

	mu      sync.RWMutex // guards what follows
	entries map[id]entry
	clock   uint64 // the highest version seen: the next word of this process is above all that it knows of
	damage  []string

	io     sync.Mutex // guards the files; taken before mu
	own    ref        // the file in use
	before ref        // the one before it, kept in case that this one is damaged
	tries  uint64     // files begun, or tried to: the next one's generation
	file   File       // nil: a new one has to be begun
	slot   slot
	size   int
	dirty  bool              // there is something unsynced
	behind bool              // there is something that the file in use has not
	stamps map[string]string // of others' files, as last read
}

// Open opens the store in a folder, which it makes if need be, and begins a file of its own there. It fails where that
// can't be done; what was found is in the store even then, and Put tries again.
func Open(o Options) (*Store, error) {
	s := &Store{fs: o.FS, dir: o.Dir, limit: o.MaxBytes, now: o.Now, alone: o.SoleWriter, entries: make(map[id]entry), stamps: make(map[string]string)}
	if s.fs == nil {
		s.fs = OS{}
	}
	if s.limit == 0 {
		s.limit = limit
	}
	if s.now == nil {
		s.now = time.Now
	}
	s.io.Lock()
	defer s.io.Unlock()
	highest, err := s.readAll()
	s.own = ref{number: max(highest+1, uint64(max(0, s.now().UnixMilli())))}
	failed := s.begin()
	for range filesMost { // a process that was started by accident in the same moment has the same number
		if !errors.Is(failed, fs.ErrExist) {
			break
		}
		s.own.number++
		failed = s.begin()
	}
	return s, errors.Join(err, failed)
}

// readAll takes in all files of the folder, and returns the highest number of a process.
func (s *Store) readAll() (highest uint64, err error) {
	contents, unread, err := readFolder(s.fs, s.dir)
	s.unread.Store(errors.Is(err, errUnread))
	s.fresh = len(contents)+len(unread) == 0 && !s.unread.Load()
	var bad []string
	for _, c := range contents {
		highest = max(highest, c.ref.number)
		for _, r := range c.records {
			s.merge(r.id, r.entry)
			highest = max(highest, r.origin)
		}
		if c.damage != "" {
			bad = append(bad, c.ref.name())
			s.damage = append(s.damage, c.ref.name()+": "+c.damage)
		}
	}
	s.damage = append(s.damage, missing(contents)...)
	for _, name := range unread {
		if r, ok := parseRef(name); ok {
			highest = max(highest, r.number)
		}
	}
	if len(s.damage) > 0 {
		s.put(id{internal, "damage"}, []byte(strings.Join(s.damage, "\n")), false)
	} else if e, ok := s.entries[id{internal, "damage"}]; ok && !e.gone {
		s.damage = strings.Split(string(e.value), "\n")
	}
	s.setAside(bad)
	return highest, err
}

// missing tells of files that another says came after it, and that are not there.
func missing(contents []content) (gone []string) {
	for _, c := range contents {
		next := c.slot.next
		if next != (ref{}) && !slices.ContainsFunc(contents, func(o content) bool { return !next.after(o.ref) }) {
			gone = append(gone, c.ref.name()+": the file after it, "+next.name()+", is missing")
		}
	}
	return gone
}

// errUnread says that the folder, or a file in it, could not be read.
var errUnread = errors.New("state not read")

// readFolder reads all state files of a folder, in order of their age. unread are those of newer programs, and those
// that can't be read, which is an errUnread too.
func readFolder(disk FS, dir string) (contents []content, unread []string, err error) {
	end := time.Now().Add(readTime)
	names, err := readAgain(end, func() ([]string, error) { return disk.List(dir) })
	if err != nil {
		err = fmt.Errorf("%w: %w", errUnread, err)
	}
	for _, name := range names {
		if _, ok := parseRef(name); !ok {
			continue
		}
		raw, failed := readAgain(end, func() ([]byte, error) { return disk.Read(filepath.Join(dir, name), readMost) })
		if failed != nil {
			err = errors.Join(err, fmt.Errorf("%w: %w", errUnread, failed))
			unread = append(unread, name)
			continue
		}
		c, failed := decode(name, raw)
		if failed != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", name, failed))
			unread = append(unread, name)
			continue
		}
		contents = append(contents, c)
	}
	slices.SortFunc(contents, func(a, b content) int { return byAge(a.ref, b.ref) })
	return contents, unread, err
}

const (
	readTime  = time.Second // a folder may fail for a moment, and what it says is owed: it is read again for so long
	readPause = 10 * time.Millisecond
)

// readAgain reads something, and again until end after a failure but that it is gone.
func readAgain[T any](end time.Time, read func() (T, error)) (T, error) {
	for {
		got, err := read()
		if err == nil || errors.Is(err, fs.ErrNotExist) || time.Now().After(end) {
			return got, err
		}
		time.Sleep(readPause)
	}
}

// setAside renames damaged files, so that nobody reads them again, and removes the oldest of many. A process that
// lives keeps its own.
func (s *Store) setAside(names []string) {
	if s.alone == nil || !s.alone() {
		return
	}
	for _, name := range names { // what fails here is found damaged again
		_ = s.fs.Rename(filepath.Join(s.dir, name), filepath.Join(s.dir, fmt.Sprintf("%s.damaged-%d", name, s.now().UnixMilli())))
	}
	all, _ := s.fs.List(s.dir)
	all = slices.DeleteFunc(all, func(n string) bool { return !strings.Contains(n, ".damaged-") })
	slices.Sort(all)
	for _, name := range all[:max(0, len(all)-damagedMost)] {
		_ = s.fs.Remove(filepath.Join(s.dir, name))
	}
}

// merge takes in a word of any process, and says whether it is news.
func (s *Store) merge(i id, e entry) bool {
	s.clock = max(s.clock, e.version)
	old, ok := s.entries[i]
	if ok && !e.newer(old) {
		return false
	}
	s.entries[i] = e
	return true
}

// put enters a value in memory.
func (s *Store) put(i id, value []byte, gone bool) entry {
	s.clock++
	e := entry{version: s.clock, origin: s.own.number, at: s.now().UnixMilli(), gone: gone, value: value}
	s.entries[i] = e
	return e
}

// begin begins a file with all that holds now, and once that is durable removes what it stands for.
func (s *Store) begin() error {
	s.mu.Lock()
	if before := s.now().Add(-goneKept).UnixMilli(); s.alone != nil && s.alone() { // nobody else's file has the value yet
		n := len(s.entries)
		if maps.DeleteFunc(s.entries, func(_ id, e entry) bool { return e.gone && e.at < before }); len(s.entries) < n {
			s.put(id{internal, "clock"}, nil, false) // its version stands for those that went
		}
	}
	raw := make([]byte, first)
	keys := slices.SortedFunc(maps.Keys(s.entries), byName)
	for _, i := range keys {
		raw = appendRecord(raw, i, s.entries[i])
	}
	s.mu.Unlock()
	if len(raw) > s.limit/2 {
		return fmt.Errorf("state: %d bytes, %d are allowed", len(raw), s.limit/2)
	}
	if err := s.fs.SyncDir(s.dir); err != nil { // makes it, too
		return err
	}
	old, oldSlot, oldRef := s.file, s.slot, s.own
	next := ref{s.own.number, s.tries}
	s.tries++ // a name that failed is not used again: nobody knows what became of it
	copy(raw, headOf(next))
	slot := slot{sequence: 1, length: uint64(len(raw))}
	copy(raw[sector*2:], slot.encode())
	slot.sequence = 0
	copy(raw[sector:], slot.encode())
	slot.sequence = 1
	f, err := s.write(filepath.Join(s.dir, next.name()), raw)
	if err != nil {
		return err
	}
	if old != nil { // from now on the old file is known to be old
		oldSlot.sequence++
		oldSlot.next = next
		if _, err := old.WriteAt(oldSlot.encode(), oldSlot.at()); err == nil { // without it, one check less
			_ = old.Sync()
		}
		old.Close()
	}
	if s.size > 0 {
		s.before = oldRef
	}
	s.file, s.slot, s.size, s.own, s.dirty, s.behind = f, slot, len(raw), next, false, false
	s.committed.Store(int64(s.size))
	s.tidy()
	return nil
}

// write makes a file that is there as a whole or not at all.
func (s *Store) write(path string, raw []byte) (File, error) {
	f, err := s.fs.Create(path + ".tmp")
	if err != nil {
		return nil, err
	}
	if s.fs.ChangeStamp(path) != "" {
		err = fmt.Errorf("%s: %w", path, fs.ErrExist)
	}
	if err == nil {
		_, err = f.WriteAt(raw, 0)
	}
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.fs.Rename(path+".tmp", path)
	}
	if err == nil {
		err = s.fs.SyncDir(s.dir)
	}
	if err != nil {
		f.Close()
		_ = s.fs.Remove(path + ".tmp") // where it stays, it goes with the next file
		return nil, err
	}
	return f, nil
}

// tidy removes files that this one stands for: its own but the one before it, and, while it is alone, those of
// processes that have ended, but for the youngest where there is none before it.
func (s *Store) tidy() {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return // next time
	}
	alone := s.alone != nil && s.alone()
	var others []ref
	for _, name := range names {
		bare, tmp := strings.CutSuffix(name, ".tmp")
		r, ok := parseRef(bare)
		own := r.number == s.own.number
		switch {
		case !ok || !tmp && (r == s.own || r == s.before):
		case own || tmp && alone:
			_ = s.fs.Remove(filepath.Join(s.dir, name)) // next time, if it fails
		case !tmp:
			others = append(others, r)
		}
	}
	if s.unread.Load() { // what others have may be in their files alone
		return
	}
	slices.SortFunc(others, func(a, b ref) int { return byAge(b, a) })
	keep := filesMost
	if alone {
		keep = 0
		if s.before == (ref{}) {
			keep = 1
		}
	}
	for i, r := range others {
		switch {
		case i >= keep:
			_ = s.fs.Remove(filepath.Join(s.dir, r.name()))
		case alone:
			s.supersede(r)
		}
	}
}

// supersede marks the file of a process that has ended: this one's came after it.
func (s *Store) supersede(r ref) {
	path := filepath.Join(s.dir, r.name())
	raw, err := s.fs.Read(path, readMost)
	if err != nil {
		return
	}
	c, err := decode(r.name(), raw)
	if err != nil || c.damage != "" {
		return
	}
	f, err := s.fs.Open(path)
	if err != nil {
		return
	}
	defer f.Close()
	c.slot.sequence++
	c.slot.next = s.own
	if _, err := f.WriteAt(c.slot.encode(), c.slot.at()); err == nil {
		_ = f.Sync()
	}
}

// Put keeps a value, durably: once it has returned nil. With an error the value holds in this process alone.
func (s *Store) Put(section, key string, value []byte) error {
	return s.change(id{section, key}, value, false, true)
}

// Delete is Put of nothing.
func (s *Store) Delete(section, key string) error { return s.change(id{section, key}, nil, true, true) }

// PutUnsynced keeps a value that may be lost with the power; Sync makes it durable. The same value again costs nothing.
func (s *Store) PutUnsynced(section, key string, value []byte) error {
	s.mu.RLock()
	old, ok := s.entries[id{section, key}]
	s.mu.RUnlock()
	if ok && !old.gone && bytes.Equal(old.value, value) {
		return nil
	}
	return s.change(id{section, key}, value, false, false)
}

func (s *Store) change(i id, value []byte, gone, durable bool) error {
	if i.section == internal {
		return fmt.Errorf("section %q is the store's own", i.section)
	}
	s.io.Lock()
	defer s.io.Unlock()
	s.mu.Lock()
	e := s.put(i, bytes.Clone(value), gone)
	s.mu.Unlock()
	return s.append(i, e, durable)
}

// append writes a record behind the others. A file that fails in any way is not used any more: what it holds now is
// anybody's guess, so that all is written anew.
func (s *Store) append(i id, e entry, durable bool) error {
	raw := appendRecord(nil, i, e)
	if len(raw) > recMost {
		return fmt.Errorf("state: a value of %d bytes", len(raw))
	}
	full := s.size+len(raw) > s.limit/2
	if s.file == nil || s.behind || full || !s.fs.SameFile(filepath.Join(s.dir, s.own.name()), s.file) {
		s.behind = true // until there is one with all
		return s.begin()
	}
	if _, err := s.file.WriteAt(raw, int64(s.size)); err != nil {
		return s.again(err)
	}
	s.size += len(raw)
	s.dirty = true
	if !durable {
		return nil
	}
	return s.commit()
}

// again begins a new file after one has failed.
func (s *Store) again(why error) error {
	if s.file != nil {
		s.file.Close()
		s.file = nil
	}
	if err := s.begin(); err != nil {
		return errors.Join(why, err)
	}
	return nil
}

// commit makes all that was written durable: the records first, then the slot that counts them.
func (s *Store) commit() error {
	if !s.dirty {
		return nil
	}
	if err := s.file.Sync(); err != nil {
		return s.again(err)
	}
	next := slot{sequence: s.slot.sequence + 1, length: uint64(s.size)}
	if _, err := s.file.WriteAt(next.encode(), next.at()); err != nil {
		return s.again(err)
	}
	if err := s.file.Sync(); err != nil {
		return s.again(err)
	}
	s.slot, s.dirty = next, false
	s.committed.Store(int64(s.size))
	return nil
}

// Sync makes all that PutUnsynced was given durable.
func (s *Store) Sync() error {
	s.io.Lock()
	defer s.io.Unlock()
	if s.file == nil || s.behind {
		return s.begin()
	}
	return s.commit()
}

// Get returns a value.
func (s *Store) Get(section, key string) (Entry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.entries[id{section, key}]
	return Entry{e.value, time.UnixMilli(e.at)}, ok && !e.gone
}

// All returns a section.
func (s *Store) All(section string) map[string]Entry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make(map[string]Entry)
	for i, e := range s.entries {
		if i.section == section && !e.gone {
			all[i.key] = Entry{e.value, time.UnixMilli(e.at)}
		}
	}
	return all
}

// ProcessNumber is this process's: higher than that of every process before it, as long as the folder or the clock says so.
func (s *Store) ProcessNumber() uint64 {
	s.io.Lock()
	defer s.io.Unlock()
	return s.own.number
}

// WasEmpty says whether there was no state before this process.
func (s *Store) WasEmpty() bool { return s.fresh }

// CommittedSize is how many bytes the file in use had when it was committed last.
func (s *Store) CommittedSize() int { return int(s.committed.Load()) }

// HasUnread says whether something in the folder could not be read so far. Refresh tries again.
func (s *Store) HasUnread() bool { return s.unread.Load() }

// Refresh takes in what other processes have put since, and says whether that was news.
func (s *Store) Refresh() (news bool, err error) {
	s.io.Lock()
	defer s.io.Unlock()
	names, err := s.fs.List(s.dir)
	if err != nil {
		return false, err
	}
	seen, unread := make(map[string]string), false
	for _, name := range names {
		r, ok := parseRef(name)
		if !ok || r.number == s.own.number {
			continue
		}
		path := filepath.Join(s.dir, name)
		stamp := s.fs.ChangeStamp(path)
		seen[name] = stamp
		if stamp == s.stamps[name] {
			continue
		}
		raw, failed := s.fs.Read(path, readMost)
		if failed != nil {
			delete(seen, name) // it has just gone, or is looked at again
			unread = unread || !errors.Is(failed, fs.ErrNotExist)
			continue
		}
		c, failed := decode(name, raw) // it may be half written: what is sound counts
		if failed != nil {
			continue
		}
		s.mu.Lock()
		for _, r := range c.records {
			news = s.merge(r.id, r.entry) || news
		}
		s.mu.Unlock()
	}
	s.stamps = seen
	s.unread.Store(unread)
	return news, nil
}

// Damage tells what was found wrong, by this process or by one before it, and not confirmed since.
func (s *Store) Damage() Damage {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return Damage{slices.Clone(s.damage)}
}

// ConfirmState takes an operator's word that what holds now is right. It is durable once it has returned nil.
func (s *Store) ConfirmState() error {
	s.io.Lock()
	defer s.io.Unlock()
	s.mu.Lock()
	s.damage = nil
	e := s.put(id{internal, "damage"}, nil, true)
	s.mu.Unlock()
	return s.append(id{internal, "damage"}, e, true)
}

// Close makes durable what is not, and ends the use of the file.
func (s *Store) Close() error {
	s.io.Lock()
	defer s.io.Unlock()
	if s.file == nil {
		return nil
	}
	err := s.commit()
	if s.file != nil {
		err = errors.Join(err, s.file.Close())
		s.file = nil
	}
	return err
}
