//go:build linux

// Package sentids remembers the ids of requests that have been sent to a server, so that a request that comes again does not
// run again. The processes of a sidecar share what they remember through a file that each of them maps into its memory.
package sentids

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	bucketIDs   = 7 // ids of a bucket; with its counter they fill 64 bytes
	bucketCount = 4096
	tableBytes  = bucketCount * int(unsafe.Sizeof(bucket{}))
)

// bucket holds the hashes of the last ids that fall into it; 0 is no id.
type bucket struct {
	claims atomic.Uint64 // so far; each takes the place of the oldest one
	ids    [bucketIDs]atomic.Uint64
}

// Table holds the last 28,672 ids, fewer if they fall unevenly. It is safe for concurrent use, also by several processes.
type Table struct {
	mu      sync.RWMutex // held exclusively while buckets is replaced
	buckets []bucket
	mapped  bool // buckets are those of a file
}

// New returns a table that is shared with no other process.
func New() *Table { return &Table{buckets: make([]bucket, bucketCount)} }

// Open returns a table that is shared with all processes that have opened the file at path. It creates the file if there is none.
func Open(path string) (*Table, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	defer file.Close() // the mapping stays
	if err := allocate(file); err != nil {
		return nil, fmt.Errorf("allocate %s: %w", path, err)
	}
	memory, err := unix.Mmap(int(file.Fd()), 0, tableBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("map %s: %w", path, err)
	}
	return &Table{buckets: unsafe.Slice((*bucket)(unsafe.Pointer(&memory[0])), bucketCount), mapped: true}, nil
}

// allocate gives a file that is too short its length and its blocks, as a write to a mapped page without one ends the process.
func allocate(file *os.File) error {
	info, err := file.Stat()
	if err != nil || info.Size() >= int64(tableBytes) {
		return err
	}
	err = unix.Fallocate(int(file.Fd()), 0, 0, int64(tableBytes))
	if errors.Is(err, unix.EOPNOTSUPP) || errors.Is(err, unix.ENOSYS) {
		_, err = io.Copy(io.NewOffsetWriter(file, info.Size()), io.LimitReader(zeros{}, int64(tableBytes)-info.Size()))
	}
	return err
}

// zeros is an endless source of zeros.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Contains reports whether an id has been claimed.
func (t *Table) Contains(id string) (found bool) {
	hash := hashOf(id)
	t.access(func(buckets []bucket) { found = buckets[hash%bucketCount].count(hash) > 0 })
	return found
}

// Claim claims an id, and reports whether it had not been claimed. Of two claims at the same moment at most one succeeds.
func (t *Table) Claim(id string) (claimed bool) {
	hash := hashOf(id)
	t.access(func(buckets []bucket) { claimed = buckets[hash%bucketCount].claim(hash) })
	return claimed
}

// count returns how many places hold a hash.
func (b *bucket) count(hash uint64) (places int) {
	for i := range b.ids {
		if b.ids[i].Load() == hash {
			places++
		}
	}
	return places
}

// claim puts a hash in the place of the oldest one, unless it is there. If another process does the same at the same moment,
// at least one of the two finds both.
func (b *bucket) claim(hash uint64) bool {
	if b.count(hash) > 0 {
		return false
	}
	place := b.claims.Add(1) % bucketIDs
	b.ids[place].Store(hash)
	return b.count(hash) == 1
}

// access calls use with the buckets. If the file can't be read or written any more, the table is shared with no other process
// from then on.
func (t *Table) access(use func([]bucket)) {
	if !t.tryAccess(use) {
		t.mu.Lock()
		t.buckets, t.mapped = make([]bucket, bucketCount), false
		t.mu.Unlock()
		t.tryAccess(use)
	}
}

// tryAccess is a single attempt of access. It returns false if the mapped memory failed.
func (t *Table) tryAccess(use func([]bucket)) (ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.mapped {
		defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
		defer func() {
			if failure := recover(); failure != nil {
				ok = false
			}
		}()
	}
	use(t.buckets)
	return true
}

// hashOf returns the hash of an id, which is not 0.
func hashOf(id string) uint64 {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, id) // a hash never fails
	return max(hash.Sum64(), 1)
}
