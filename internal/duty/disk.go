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
	sectionLog      = "duty-log"      // by index
	sectionStable   = "duty-stable"   // the library's term and vote
	sectionSnapshot = "duty-snapshot" // only the last
	keyLast         = "last"
	retryDisk       = 100 * time.Millisecond
)

// disk is the library's log, votes and snapshots on a Storage. Reading never waits for a disk. What is to be written is written
// again until it is durable: the library ends the process where it can't keep its word, and a vote that waits is merely slow.
type disk struct {
	keep Storage

	mu          sync.RWMutex
	logs        map[uint64]*raft.Log
	first, last uint64
}

func clearDisk(k Storage) error {
	var bad []error
	for _, section := range []string{sectionLog, sectionStable, sectionSnapshot} {
		for key := range k.All(section) {
			bad = append(bad, k.Delete(section, key))
		}
	}
	return errors.Join(bad...)
}

func readDisk(k Storage) (*disk, error) {
	d := &disk{keep: k, logs: make(map[uint64]*raft.Log)}
	for key, raw := range k.All(sectionLog) {
		var l raft.Log
		if err := json.Unmarshal(raw, &l); err != nil || strconv.FormatUint(l.Index, 10) != key {
			return nil, fmt.Errorf("duty: entry %s of the log can't be read: %w", key, err)
		}
		d.enter(&l)
	}
	for i := d.first; i < d.last; i++ {
		if d.logs[i] == nil {
			return nil, fmt.Errorf("duty: entry %d of the log is missing", i)
		}
	}
	return d, nil
}

// enter takes an entry in. mu is held, or nobody else has d.
func (d *disk) enter(l *raft.Log) {
	d.logs[l.Index] = l
	if d.first == 0 || l.Index < d.first {
		d.first = l.Index
	}
	d.last = max(d.last, l.Index)
}

// surely writes until it is durable.
func surely(write func() error) {
	for write() != nil {
		time.Sleep(retryDisk)
	}
}

// IsMonotonic implements raft.MonotonicLogStore: the log has no gaps.
func (d *disk) IsMonotonic() bool { return true }

// FirstIndex implements raft.LogStore.
func (d *disk) FirstIndex() (uint64, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.first, nil
}

// LastIndex implements raft.LogStore.
func (d *disk) LastIndex() (uint64, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.last, nil
}

// GetLog implements raft.LogStore.
func (d *disk) GetLog(index uint64, l *raft.Log) error {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.logs[index] == nil {
		return raft.ErrLogNotFound
	}
	*l = *d.logs[index]
	return nil
}

// StoreLog implements raft.LogStore.
func (d *disk) StoreLog(l *raft.Log) error { return d.StoreLogs([]*raft.Log{l}) }

// StoreLogs implements raft.LogStore.
func (d *disk) StoreLogs(logs []*raft.Log) error {
	for _, l := range logs {
		own := *l
		raw, err := json.Marshal(&own)
		if err != nil {
			return err
		}
		surely(func() error { return d.keep.Put(sectionLog, strconv.FormatUint(l.Index, 10), raw) })
		d.mu.Lock()
		d.enter(&own)
		d.mu.Unlock()
	}
	return nil
}

// DeleteRange implements raft.LogStore. From the end backwards or from the start forwards, so that no gap is left at any moment.
func (d *disk) DeleteRange(low, high uint64) error {
	d.mu.RLock()
	first, last := d.first, d.last
	d.mu.RUnlock()
	low, high = max(low, first), min(high, last)
	drop := func(i uint64) {
		surely(func() error { return d.keep.Delete(sectionLog, strconv.FormatUint(i, 10)) })
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
			drop(i)
		}
		return nil
	}
	for i := low; i <= high; i++ {
		drop(i)
	}
	return nil
}

// Set implements raft.StableStore.
func (d *disk) Set(key, value []byte) error {
	surely(func() error { return d.keep.Put(sectionStable, string(key), value) })
	return nil
}

// Get implements raft.StableStore.
func (d *disk) Get(key []byte) ([]byte, error) {
	raw, ok := d.keep.Get(sectionStable, string(key))
	if !ok {
		return nil, errors.New("not found") // the library's word for that
	}
	return raw, nil
}

// SetUint64 implements raft.StableStore.
func (d *disk) SetUint64(key []byte, value uint64) error {
	return d.Set(key, strconv.AppendUint(nil, value, 10))
}

// GetUint64 implements raft.StableStore.
func (d *disk) GetUint64(key []byte) (uint64, error) {
	raw, err := d.Get(key)
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(string(raw), 10, 64)
}

// snapshot is the last one.
type snapshot struct {
	Meta raft.SnapshotMeta
	Data []byte
}

// sink is a snapshot under way.
type sink struct {
	bytes.Buffer
	disk *disk
	meta raft.SnapshotMeta
	over bool
}

// Create implements raft.SnapshotStore.
func (d *disk) Create(version raft.SnapshotVersion, index, term uint64, c raft.Configuration, at uint64, _ raft.Transport) (raft.SnapshotSink, error) {
	return &sink{disk: d, meta: raft.SnapshotMeta{
		Version: version, ID: fmt.Sprintf("%d-%d", term, index), Index: index, Term: term, Configuration: c, ConfigurationIndex: at,
	}}, nil
}

// ID implements raft.SnapshotSink.
func (s *sink) ID() string { return s.meta.ID }

// Cancel implements raft.SnapshotSink.
func (s *sink) Cancel() error {
	s.over = true
	return nil
}

// Close implements raft.SnapshotSink.
func (s *sink) Close() error {
	if s.over {
		return nil
	}
	s.over = true
	s.meta.Size = int64(s.Len())
	raw, err := json.Marshal(snapshot{s.meta, s.Bytes()})
	if err != nil {
		return err
	}
	return s.disk.keep.Put(sectionSnapshot, keyLast, raw)
}

func (d *disk) kept() (s snapshot, ok bool, err error) {
	raw, ok := d.keep.Get(sectionSnapshot, keyLast)
	if ok {
		err = json.Unmarshal(raw, &s)
	}
	return s, ok, err
}

// List implements raft.SnapshotStore.
func (d *disk) List() ([]*raft.SnapshotMeta, error) {
	s, ok, err := d.kept()
	if !ok || err != nil {
		return nil, err
	}
	return []*raft.SnapshotMeta{&s.Meta}, nil
}

// Open implements raft.SnapshotStore.
func (d *disk) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	s, ok, err := d.kept()
	switch {
	case err != nil:
		return nil, nil, err
	case !ok || s.Meta.ID != id:
		return nil, nil, fmt.Errorf("duty: there is no snapshot %s", id)
	}
	return &s.Meta, io.NopCloser(bytes.NewReader(s.Data)), nil
}
