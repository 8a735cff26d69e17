// Package store keeps the state of a process so that it survives the end of the process and a loss of power,
// and hands it over to the process that replaces it. docs/state.md is its contract; in short:
//
//   - A value for which Put has returned nil is found by every later Open, even after a loss of power, as long
//     as the folder exists. If Put returns an error, the value is valid in this process and may or may not be
//     found later.
//   - A value that was never put is never found. Each record has a checksum, and a record that fails it is
//     ignored.
//   - A damaged folder is never taken for an intact one: a flipped bit or a file that is truncated, emptied or
//     missing is reported (Damage) by every Open until ConfirmState. The loss of the whole folder can't be
//     detected.
//   - Processes of the same name write files of their own and read those of the others (Refresh), so that none
//     can damage another's. Of two values of one key the one with the higher version is valid, at every
//     process.
//   - A process that is the only writer keeps two files of at most half of MaxBytes each. Damaged files are
//     renamed, and at most maxDamagedFiles of them are kept.
//
// All methods are safe for concurrent use. Reads never wait for a disk.
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
	defaultMaxBytes    = 1 << 20     // for Options.MaxBytes
	maxReadBytes       = 64 << 20    // of one file
	maxDamagedFiles    = 4           // files renamed as damaged that are kept
	maxForeignFiles    = 16          // files of other processes that are kept while it is not known whether those still run
	tombstoneRetention = time.Minute // time for which the entry of a deleted value is kept
)

// ownSection is the section of the store's own entries.
const ownSection = "store"

// Options configure a store.
type Options struct {
	FS       FS // nil: that of the operating system
	Dir      string
	MaxBytes int              // limit on the files together; 0: 1 MiB
	Now      func() time.Time // nil: the wall clock
	// SoleWriter reports whether no other process writes to the folder now. Files of other processes are
	// removed or renamed only while it returns true. nil: it never does.
	SoleWriter func() bool
}

// Damage lists the faults found in the folder that no operator has confirmed, each as a file name and a
// description.
type Damage struct{ Findings []string }

// Entry is a value and the time at which it was put.
type Entry struct {
	Value []byte
	At    time.Time // wall clock of the process that put it
}

// Store is an open store.
type Store struct {
	fs         FS
	dir        string
	maxBytes   int
	wasEmpty   bool // the folder contained no state when it was opened
	now        func() time.Time
	soleWriter func() bool

	committedSize atomic.Int64 // size of the current file at the last commit, for readers that must not wait for a disk
	hasUnread     atomic.Bool  // a file, or the folder itself, could not be read so far

	mu       sync.RWMutex // guards the fields up to ioMu
	entries  map[entryID]entry
	clock    uint64   // Lamport clock: the highest version seen, so that a new version of this process is above all it knows
	findings []string // see Damage

	ioMu           sync.Mutex // guards the files and the fields below; locked before mu
	current        fileRef    // the file being written
	previous       fileRef    // the file before it, kept in case the current one is damaged
	nextGeneration uint64     // generation of the next file; failed attempts count too
	file           File       // nil: a new file has to be started
	slot           slot
	size           int
	unsynced       bool              // the file has writes that are not synced
	incomplete     bool              // some entry is not in the current file
	stamps         map[string]string // by name: ChangeStamp of other processes' files when they were last read
}

// Open opens the store in a folder, which it creates if needed, and starts a new file for this process there.
// If it returns an error, the store is usable nevertheless: it has the values that could be read, and Put tries
// again to start a file.
func Open(o Options) (*Store, error) {
	s := &Store{fs: o.FS, dir: o.Dir, maxBytes: o.MaxBytes, now: o.Now, soleWriter: o.SoleWriter, entries: make(map[entryID]entry), stamps: make(map[string]string)}
	if s.fs == nil {
		s.fs = OS{}
	}
	if s.maxBytes == 0 {
		s.maxBytes = defaultMaxBytes
	}
	if s.now == nil {
		s.now = time.Now
	}
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	highest, err := s.load()
	s.current = fileRef{process: max(highest+1, uint64(max(0, s.now().UnixMilli())))}
	failed := s.startFile()
	for range maxForeignFiles { // another process that was started in the same millisecond may have the same number
		if !errors.Is(failed, fs.ErrExist) {
			break
		}
		s.current.process++
		failed = s.startFile()
	}
	return s, errors.Join(err, failed)
}

// load reads all files of the folder and returns the highest process number in them.
func (s *Store) load() (highest uint64, err error) {
	s.stamps = s.changeStamps()
	contents, unread, err := readDir(s.fs, s.dir)
	s.hasUnread.Store(errors.Is(err, errUnread))
	s.wasEmpty = len(contents)+len(unread) == 0 && !s.hasUnread.Load()
	var damagedFiles []string
	for _, c := range contents {
		highest = max(highest, c.ref.process)
		for _, r := range c.records {
			s.merge(r.entryID, r.entry)
			highest = max(highest, r.origin)
		}
		if c.damage != "" {
			damagedFiles = append(damagedFiles, c.ref.fileName())
			s.findings = append(s.findings, c.ref.fileName()+": "+c.damage)
		}
	}
	s.findings = append(s.findings, missingSuccessors(contents)...)
	for _, name := range unread {
		delete(s.stamps, name) // it is read again
		if r, ok := parseFileRef(name); ok {
			highest = max(highest, r.process)
		}
	}
	if len(s.findings) > 0 {
		s.putInMemory(entryID{ownSection, "damage"}, []byte(strings.Join(s.findings, "\n")), false)
	} else if e, ok := s.entries[entryID{ownSection, "damage"}]; ok && !e.deleted {
		s.findings = strings.Split(string(e.value), "\n")
	}
	s.quarantine(damagedFiles)
	return highest, err
}

// changeStamps returns the ChangeStamp of each file of the folder, by name.
func (s *Store) changeStamps() map[string]string {
	stamps := make(map[string]string)
	names, _ := s.fs.List(s.dir) // a file without a stamp is read again
	for _, name := range names {
		stamps[name] = s.fs.ChangeStamp(filepath.Join(s.dir, name))
	}
	return stamps
}

// missingSuccessors describes each file whose successor, and every newer file, is missing.
func missingSuccessors(contents []fileContent) (missing []string) {
	for _, c := range contents {
		next := c.slot.successor
		if next != (fileRef{}) && !slices.ContainsFunc(contents, func(o fileContent) bool { return !next.isNewer(o.ref) }) {
			missing = append(missing, c.ref.fileName()+": the file after it, "+next.fileName()+", is missing")
		}
	}
	return missing
}

// errUnread reports that the folder, or a file in it, could not be read.
var errUnread = errors.New("state not read")

// readDir reads all state files of a folder, ordered by age. unread has the names of files of a newer program
// and of files that can't be read; for the latter the error is errUnread.
func readDir(fsys FS, dir string) (contents []fileContent, unread []string, err error) {
	end := time.Now().Add(readRetryTimeout)
	names, err := readWithRetry(end, func() ([]string, error) { return fsys.List(dir) })
	if err != nil {
		err = fmt.Errorf("%w: %w", errUnread, err)
	}
	for _, name := range names {
		if _, ok := parseFileRef(name); !ok {
			continue
		}
		raw, failed := readWithRetry(end, func() ([]byte, error) { return fsys.Read(filepath.Join(dir, name), maxReadBytes) })
		if failed != nil {
			err = errors.Join(err, fmt.Errorf("%w: %w", errUnread, failed))
			unread = append(unread, name)
			continue
		}
		c, failed := decodeFile(name, raw)
		if failed != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", name, failed))
			unread = append(unread, name)
			continue
		}
		contents = append(contents, c)
	}
	slices.SortFunc(contents, func(a, b fileContent) int { return compareAge(a.ref, b.ref) })
	return contents, unread, err
}

const (
	readRetryTimeout  = time.Second // failed reads are retried for this long: after a transient error, ignoring the file would lose its values
	readRetryInterval = 10 * time.Millisecond
)

// readWithRetry repeats a read that fails until end. That the file does not exist is a result, not a failure.
func readWithRetry[T any](end time.Time, read func() (T, error)) (T, error) {
	for {
		got, err := read()
		if err == nil || errors.Is(err, fs.ErrNotExist) || time.Now().After(end) {
			return got, err
		}
		time.Sleep(readRetryInterval)
	}
}

// quarantine renames damaged files so that they are not read again, and removes the oldest renamed ones beyond
// maxDamagedFiles. It does nothing while other processes may write to the folder.
func (s *Store) quarantine(names []string) {
	if s.soleWriter == nil || !s.soleWriter() {
		return
	}
	for _, name := range names { // a file that can't be renamed is found damaged again
		_ = s.fs.Rename(filepath.Join(s.dir, name), filepath.Join(s.dir, fmt.Sprintf("%s.damaged-%d", name, s.now().UnixMilli())))
	}
	all, _ := s.fs.List(s.dir)
	all = slices.DeleteFunc(all, func(n string) bool { return !strings.Contains(n, ".damaged-") })
	slices.Sort(all)
	for _, name := range all[:max(0, len(all)-maxDamagedFiles)] {
		_ = s.fs.Remove(filepath.Join(s.dir, name))
	}
}

// merge adds an entry of any process unless a newer one is known, and reports whether it did.
func (s *Store) merge(i entryID, e entry) bool {
	s.clock = max(s.clock, e.version)
	old, ok := s.entries[i]
	if ok && !e.supersedes(old) {
		return false
	}
	s.entries[i] = e
	return true
}

// putInMemory adds a new entry of this process in memory.
func (s *Store) putInMemory(i entryID, value []byte, deleted bool) entry {
	s.clock++
	e := entry{version: s.clock, origin: s.current.process, putAtMs: s.now().UnixMilli(), deleted: deleted, value: value}
	s.entries[i] = e
	return e
}

// startFile writes all entries to a new file. Once that file is durable it removes the files that it replaces.
func (s *Store) startFile() error {
	soleWriter := s.soleWriter != nil && s.soleWriter()
	if soleWriter { // an ended process may have written since the last Refresh, and its files are removed below
		_, err := s.refresh()
		soleWriter = err == nil
	}
	s.mu.Lock()
	if cutoff := s.now().Add(-tombstoneRetention).UnixMilli(); soleWriter { // no other process's file has the deleted values any more
		n := len(s.entries)
		if maps.DeleteFunc(s.entries, func(_ entryID, e entry) bool { return e.deleted && e.putAtMs < cutoff }); len(s.entries) < n {
			s.putInMemory(entryID{ownSection, "clock"}, nil, false) // keeps the clock above the versions of the removed entries
		}
	}
	raw := make([]byte, recordsOffset)
	keys := slices.SortedFunc(maps.Keys(s.entries), compareIDs)
	for _, i := range keys {
		raw = appendRecord(raw, i, s.entries[i])
	}
	s.mu.Unlock()
	if len(raw) > s.maxBytes/2 {
		return fmt.Errorf("state: %d bytes, %d are allowed", len(raw), s.maxBytes/2)
	}
	if err := s.fs.SyncDir(s.dir); err != nil { // creates the folder if needed
		return err
	}
	old, oldSlot, oldRef := s.file, s.slot, s.current
	next := fileRef{s.current.process, s.nextGeneration}
	s.nextGeneration++ // a failed name is not used again: its file may exist or not
	copy(raw, encodeHeader(next))
	initial := slot{sequence: 1, length: uint64(len(raw))}
	copy(raw[sectorSize*2:], initial.encode())
	initial.sequence = 0
	copy(raw[sectorSize:], initial.encode())
	initial.sequence = 1
	f, err := s.writeFile(filepath.Join(s.dir, next.fileName()), raw)
	if err != nil {
		return err
	}
	if old != nil { // mark the old file as replaced
		oldSlot.sequence++
		oldSlot.successor = next
		if _, err := old.WriteAt(oldSlot.encode(), oldSlot.offset()); err == nil { // if this fails, the loss of the new file would not be detected
			_ = old.Sync()
		}
		old.Close()
	}
	if s.size > 0 {
		s.previous = oldRef
	}
	s.file, s.slot, s.size, s.current, s.unsynced, s.incomplete = f, initial, len(raw), next, false, false
	s.committedSize.Store(int64(s.size))
	s.removeObsolete(soleWriter)
	return nil
}

// writeFile creates a file atomically: whenever power is lost, the file exists with its whole content or not at
// all.
func (s *Store) writeFile(path string, raw []byte) (File, error) {
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
		_ = s.fs.Remove(path + ".tmp") // if this fails, removeObsolete removes it later
		return nil, err
	}
	return f, nil
}

// removeObsolete removes the files that the current one replaces: this process's own except the previous one
// and, if this process was the only writer before the current file was written and still is, those of ended
// processes that had been read to their end, of which it keeps the newest if there is no previous file.
func (s *Store) removeObsolete(wasSoleWriter bool) {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return // the next call tries again
	}
	soleWriter := wasSoleWriter && s.soleWriter()
	var others []fileRef
	for _, name := range names {
		base, tmp := strings.CutSuffix(name, ".tmp")
		r, ok := parseFileRef(base)
		own := r.process == s.current.process
		switch {
		case !ok || !tmp && (r == s.current || r == s.previous):
		case own || tmp && soleWriter:
			_ = s.fs.Remove(filepath.Join(s.dir, name)) // if it fails, the next call tries again
		case !tmp:
			others = append(others, r)
		}
	}
	if s.hasUnread.Load() { // unread files may have values that exist nowhere else
		return
	}
	slices.SortFunc(others, func(a, b fileRef) int { return compareAge(b, a) })
	keep := maxForeignFiles
	if soleWriter {
		keep = 0
		if s.previous == (fileRef{}) {
			keep = 1
		}
	}
	for i, r := range others {
		name := r.fileName()
		switch {
		case soleWriter && s.fs.ChangeStamp(filepath.Join(s.dir, name)) != s.stamps[name]: // of a process that came and went meanwhile
		case i >= keep:
			_ = s.fs.Remove(filepath.Join(s.dir, name))
		case soleWriter:
			s.markSuperseded(r)
		}
	}
}

// markSuperseded records in the file of an ended process that the current file succeeds it.
func (s *Store) markSuperseded(r fileRef) {
	path := filepath.Join(s.dir, r.fileName())
	raw, err := s.fs.Read(path, maxReadBytes)
	if err != nil {
		return
	}
	c, err := decodeFile(r.fileName(), raw)
	if err != nil || c.damage != "" {
		return
	}
	f, err := s.fs.Open(path)
	if err != nil {
		return
	}
	defer f.Close()
	c.slot.sequence++
	c.slot.successor = s.current
	if _, err := f.WriteAt(c.slot.encode(), c.slot.offset()); err == nil {
		_ = f.Sync()
	}
}

// Put stores a value. The value is durable once Put has returned nil; after an error it is valid in this
// process, and a later one may find it or not.
func (s *Store) Put(section, key string, value []byte) error {
	return s.update(entryID{section, key}, value, false, true)
}

// Delete removes a value, with the guarantees of Put.
func (s *Store) Delete(section, key string) error {
	return s.update(entryID{section, key}, nil, true, true)
}

// PutUnsynced stores a value that a loss of power before the next Sync may undo. Storing the present value
// again writes nothing.
func (s *Store) PutUnsynced(section, key string, value []byte) error {
	s.mu.RLock()
	old, ok := s.entries[entryID{section, key}]
	s.mu.RUnlock()
	if ok && !old.deleted && bytes.Equal(old.value, value) {
		return nil
	}
	return s.update(entryID{section, key}, value, false, false)
}

// update puts or deletes a value in memory and in the current file.
func (s *Store) update(i entryID, value []byte, deleted, durable bool) error {
	if i.section == ownSection {
		return fmt.Errorf("section %q is reserved for the store", i.section)
	}
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	s.mu.Lock()
	e := s.putInMemory(i, bytes.Clone(value), deleted)
	s.mu.Unlock()
	return s.appendEntry(i, e, durable)
}

// appendEntry writes a record at the end of the current file. After any failed write the content of that file
// is unknown, so it is abandoned and all entries are written to a new one.
func (s *Store) appendEntry(i entryID, e entry, durable bool) error {
	raw := appendRecord(nil, i, e)
	if len(raw) > maxRecordBytes {
		return fmt.Errorf("state: a record of %d bytes is too large", len(raw))
	}
	full := s.size+len(raw) > s.maxBytes/2
	if s.file == nil || s.incomplete || full || !s.fs.SameFile(filepath.Join(s.dir, s.current.fileName()), s.file) {
		s.incomplete = true // until a new file has all entries
		return s.startFile()
	}
	if _, err := s.file.WriteAt(raw, int64(s.size)); err != nil {
		return s.replaceFile(err)
	}
	s.size += len(raw)
	s.unsynced = true
	if !durable {
		return nil
	}
	return s.commit()
}

// replaceFile starts a new file after the current one has failed with why.
func (s *Store) replaceFile(why error) error {
	if s.file != nil {
		s.file.Close()
		s.file = nil
	}
	if err := s.startFile(); err != nil {
		return errors.Join(why, err)
	}
	return nil
}

// commit makes all written records durable: it syncs the records first, then writes and syncs the slot with the
// new length.
func (s *Store) commit() error {
	if !s.unsynced {
		return nil
	}
	if err := s.file.Sync(); err != nil {
		return s.replaceFile(err)
	}
	next := slot{sequence: s.slot.sequence + 1, length: uint64(s.size)}
	if _, err := s.file.WriteAt(next.encode(), next.offset()); err != nil {
		return s.replaceFile(err)
	}
	if err := s.file.Sync(); err != nil {
		return s.replaceFile(err)
	}
	s.slot, s.unsynced = next, false
	s.committedSize.Store(int64(s.size))
	return nil
}

// Sync makes all values of PutUnsynced durable.
func (s *Store) Sync() error {
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	if s.file == nil || s.incomplete {
		return s.startFile()
	}
	return s.commit()
}

// Get returns a value and reports whether it exists.
func (s *Store) Get(section, key string) (Entry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.entries[entryID{section, key}]
	return Entry{e.value, time.UnixMilli(e.putAtMs)}, ok && !e.deleted
}

// All returns the values of a section by key.
func (s *Store) All(section string) map[string]Entry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make(map[string]Entry)
	for i, e := range s.entries {
		if i.section == section && !e.deleted {
			all[i.key] = Entry{e.value, time.UnixMilli(e.putAtMs)}
		}
	}
	return all
}

// ProcessNumber returns the number of this process. It is higher than those of all earlier processes, provided
// that their files are still in the folder or the clock was not set back.
func (s *Store) ProcessNumber() uint64 {
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	return s.current.process
}

// WasEmpty reports whether the folder contained no state when the store was opened.
func (s *Store) WasEmpty() bool { return s.wasEmpty }

// CommittedSize returns the size in bytes of the current file at its last commit.
func (s *Store) CommittedSize() int { return int(s.committedSize.Load()) }

// HasUnread reports whether a file, or the folder itself, could not be read so far. Refresh tries again.
func (s *Store) HasUnread() bool { return s.hasUnread.Load() }

// Refresh reads what other processes have stored since the last call, and reports whether any value changed.
func (s *Store) Refresh() (changed bool, err error) {
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	return s.refresh()
}

// refresh is Refresh for a caller that holds ioMu.
func (s *Store) refresh() (changed bool, err error) {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return false, err
	}
	seen, unread := make(map[string]string), false
	for _, name := range names {
		r, ok := parseFileRef(name)
		if !ok || r.process == s.current.process {
			continue
		}
		path := filepath.Join(s.dir, name)
		stamp := s.fs.ChangeStamp(path)
		seen[name] = stamp
		if stamp == s.stamps[name] {
			continue
		}
		raw, failed := s.fs.Read(path, maxReadBytes)
		if failed != nil {
			delete(seen, name) // it was just removed, or is read again by the next call
			unread = unread || !errors.Is(failed, fs.ErrNotExist)
			continue
		}
		c, failed := decodeFile(name, raw) // it may be partly written: its intact part counts
		if failed != nil {
			continue
		}
		s.mu.Lock()
		for _, r := range c.records {
			changed = s.merge(r.entryID, r.entry) || changed
		}
		s.mu.Unlock()
	}
	s.stamps = seen
	s.hasUnread.Store(unread)
	return changed, nil
}

// Damage returns the faults that this process or an earlier one has found and that were not confirmed since.
func (s *Store) Damage() Damage {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return Damage{slices.Clone(s.findings)}
}

// ConfirmState records an operator's confirmation that the present values are right, and clears the damage. It
// is durable once ConfirmState has returned nil.
func (s *Store) ConfirmState() error {
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
	s.mu.Lock()
	s.findings = nil
	e := s.putInMemory(entryID{ownSection, "damage"}, nil, true)
	s.mu.Unlock()
	return s.appendEntry(entryID{ownSection, "damage"}, e, true)
}

// Close makes all values durable and closes the file.
func (s *Store) Close() error {
	s.ioMu.Lock()
	defer s.ioMu.Unlock()
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
