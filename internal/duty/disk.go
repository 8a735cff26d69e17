package duty

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

const (
	sectionLog         = "duty-log"      // entries of the raft log, by index
	sectionStable      = "duty-stable"   // raft's term and vote
	sectionSnapshot    = "duty-snapshot" // only the last snapshot
	keyLastSnapshot    = "last"
	writeRetryInterval = 100 * time.Millisecond // between two attempts of a failed write
)

// raftStorage implements raft's log, stable and snapshot stores on a Storage. Reads are served from memory and
// never wait for a disk. A failed write of the log, the term or the vote is repeated until it succeeds: raft
// ends the process when such a write fails, whereas a vote that waits for the write is only delayed.
type raftStorage struct {
	storage Storage

	mu          sync.RWMutex
	logs        map[uint64]*raft.Log
	first, last uint64
}

// clearRaftStorage deletes everything that raft has stored.
func clearRaftStorage(storage Storage) error {
	var failures []error
	for _, section := range []string{sectionLog, sectionStable, sectionSnapshot} {
		for key := range storage.All(section) {
			failures = append(failures, storage.Delete(section, key))
		}
	}
	return errors.Join(failures...)
}

// readRaftStorage reads the stored log. A gap in it is an error.
func readRaftStorage(storage Storage) (*raftStorage, error) {
	d := &raftStorage{storage: storage, logs: make(map[uint64]*raft.Log)}
	for key, raw := range storage.All(sectionLog) {
		var l raft.Log
		if err := json.Unmarshal(raw, &l); err != nil || strconv.FormatUint(l.Index, 10) != key {
			return nil, fmt.Errorf("duty: entry %s of the raft log can't be read: %w", key, err)
		}
		d.insert(&l)
	}
	for i := d.first; i < d.last; i++ {
		if d.logs[i] == nil {
			return nil, fmt.Errorf("duty: entry %d of the raft log is missing", i)
		}
	}
	return d, nil
}

// insert adds an entry to the log in memory. The caller holds mu or has the only reference to d.
func (d *raftStorage) insert(l *raft.Log) {
	d.logs[l.Index] = l
	if d.first == 0 || l.Index < d.first {
		d.first = l.Index
	}
	d.last = max(d.last, l.Index)
}

// retryUntilWritten repeats a write until it succeeds.
func retryUntilWritten(write func() error) {
	for write() != nil {
		time.Sleep(writeRetryInterval)
	}
}

// IsMonotonic implements raft.MonotonicLogStore: the log has no gaps.
func (d *raftStorage) IsMonotonic() bool { return true }

// FirstIndex implements raft.LogStore.
func (d *raftStorage) FirstIndex() (uint64, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.first, nil
}

// LastIndex implements raft.LogStore.
func (d *raftStorage) LastIndex() (uint64, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.last, nil
}

// GetLog implements raft.LogStore.
func (d *raftStorage) GetLog(index uint64, l *raft.Log) error {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.logs[index] == nil {
		return raft.ErrLogNotFound
	}
	*l = *d.logs[index]
	return nil
}

// StoreLog implements raft.LogStore.
func (d *raftStorage) StoreLog(l *raft.Log) error { return d.StoreLogs([]*raft.Log{l}) }

// StoreLogs implements raft.LogStore.
func (d *raftStorage) StoreLogs(logs []*raft.Log) error {
	for _, l := range logs {
		entry := *l
		raw, err := json.Marshal(&entry)
		if err != nil {
			return err
		}
		retryUntilWritten(func() error { return d.storage.Put(sectionLog, strconv.FormatUint(l.Index, 10), raw) })
		d.mu.Lock()
		d.insert(&entry)
		d.mu.Unlock()
	}
	return nil
}

// DeleteRange implements raft.LogStore. It deletes from the end backwards or from the start forwards, so that
// the stored log never has a gap.
func (d *raftStorage) DeleteRange(low, high uint64) error {
	d.mu.RLock()
	first, last := d.first, d.last
	d.mu.RUnlock()
	low, high = max(low, first), min(high, last)
	remove := func(i uint64) {
		retryUntilWritten(func() error { return d.storage.Delete(sectionLog, strconv.FormatUint(i, 10)) })
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.logs, i)
		switch {
		case len(d.logs) == 0:
			d.first, d.last = 0, 0
		case i == d.first:
			d.first++
		case i == d.last:
			d.last--
		}
	}
	if low > high || low == 0 {
		return nil
	}
	if high == last {
		for i := high; i >= low; i-- {
			remove(i)
		}
		return nil
	}
	for i := low; i <= high; i++ {
		remove(i)
	}
	return nil
}

// Set implements raft.StableStore.
func (d *raftStorage) Set(key, value []byte) error {
	retryUntilWritten(func() error { return d.storage.Put(sectionStable, string(key), value) })
	return nil
}

// Get implements raft.StableStore.
func (d *raftStorage) Get(key []byte) ([]byte, error) {
	raw, ok := d.storage.Get(sectionStable, string(key))
	if !ok {
		return nil, errors.New("not found") // raft compares this text
	}
	return raw, nil
}

// SetUint64 implements raft.StableStore.
func (d *raftStorage) SetUint64(key []byte, value uint64) error {
	return d.Set(key, strconv.AppendUint(nil, value, 10))
}

// GetUint64 implements raft.StableStore.
func (d *raftStorage) GetUint64(key []byte) (uint64, error) {
	raw, err := d.Get(key)
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(string(raw), 10, 64)
}

// storedSnapshot is the stored form of a snapshot. Its field names are part of the format.
type storedSnapshot struct {
	Meta raft.SnapshotMeta
	Data []byte
}

// snapshotSink collects a snapshot and stores it when it is closed.
type snapshotSink struct {
	bytes.Buffer
	storage *raftStorage
	meta    raft.SnapshotMeta
	ended   bool
}

// Create implements raft.SnapshotStore.
func (d *raftStorage) Create(version raft.SnapshotVersion, index, term uint64, c raft.Configuration, at uint64, _ raft.Transport) (raft.SnapshotSink, error) {
	return &snapshotSink{storage: d, meta: raft.SnapshotMeta{
		Version: version, ID: fmt.Sprintf("%d-%d", term, index), Index: index, Term: term, Configuration: c, ConfigurationIndex: at,
	}}, nil
}

// ID implements raft.SnapshotSink.
func (s *snapshotSink) ID() string { return s.meta.ID }

// Cancel implements raft.SnapshotSink.
func (s *snapshotSink) Cancel() error {
	s.ended = true
	return nil
}

// Close implements raft.SnapshotSink.
func (s *snapshotSink) Close() error {
	if s.ended {
		return nil
	}
	s.ended = true
	s.meta.Size = int64(s.Len())
	raw, err := json.Marshal(storedSnapshot{s.meta, s.Bytes()})
	if err != nil {
		return err
	}
	return s.storage.storage.Put(sectionSnapshot, keyLastSnapshot, raw)
}

// lastSnapshot returns the stored snapshot; ok is false if there is none.
func (d *raftStorage) lastSnapshot() (s storedSnapshot, ok bool, err error) {
	raw, ok := d.storage.Get(sectionSnapshot, keyLastSnapshot)
	if ok {
		err = json.Unmarshal(raw, &s)
	}
	return s, ok, err
}

// List implements raft.SnapshotStore.
func (d *raftStorage) List() ([]*raft.SnapshotMeta, error) {
	s, ok, err := d.lastSnapshot()
	if !ok || err != nil {
		return nil, err
	}
	return []*raft.SnapshotMeta{&s.Meta}, nil
}

// Open implements raft.SnapshotStore.
func (d *raftStorage) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	s, ok, err := d.lastSnapshot()
	switch {
	case err != nil:
		return nil, nil, err
	case !ok || s.Meta.ID != id:
		return nil, nil, fmt.Errorf("duty: snapshot %s does not exist", id)
	}
	return &s.Meta, io.NopCloser(bytes.NewReader(s.Data)), nil
}
