//go:build linux

package sentids

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
)

// openTables opens a number of tables of one file, as as many processes do.
func openTables(t *testing.T, count int) (path string, all []*Table) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "sent")
	for range count {
		table, err := Open(path)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, table)
	}
	return path, all
}

// An id is claimed once, whoever claims it, and remembered while few others follow.
func TestIDIsClaimedOnce(t *testing.T) {
	_, all := openTables(t, 2)
	for n := range 10_000 {
		id := fmt.Sprint("id-", n)
		if all[0].Contains(id) || !all[n%2].Claim(id) {
			t.Fatalf("%s counts as claimed before it is", id)
		}
		if !all[0].Contains(id) || !all[1].Contains(id) || all[0].Claim(id) || all[1].Claim(id) {
			t.Fatalf("%s does not count as claimed", id)
		}
	}
}

// Many more ids than there is room for take no more memory, and the last ones are still known.
func TestTableForgetsOldIDs(t *testing.T) {
	table := New()
	const ids = 20 * bucketCount * bucketIDs
	for n := range ids {
		table.Claim(fmt.Sprint("id-", n))
	}
	for n := ids - bucketCount; n < ids; n++ {
		if !table.Contains(fmt.Sprint("id-", n)) {
			t.Fatalf("id-%d of %d is forgotten", n, ids)
		}
	}
	if table.Contains("id-0") || len(table.buckets) != bucketCount {
		t.Error("the first id is still known, or the table has grown")
	}
}

// Of several claims at the same moment at most one succeeds.
func TestConcurrentClaims(t *testing.T) {
	_, all := openTables(t, 4)
	for n := range 2000 {
		id := fmt.Sprint("id-", n)
		var claimed atomic.Int32
		var group sync.WaitGroup
		for _, table := range all {
			group.Go(func() {
				if table.Claim(id) {
					claimed.Add(1)
				}
			})
		}
		group.Wait()
		if claimed.Load() > 1 {
			t.Fatalf("%s was claimed %d times", id, claimed.Load())
		}
	}
}

// A file that is cut short by others, or can't be opened, ends no process.
func TestDamagedFileEndsNoProcess(t *testing.T) {
	path, all := openTables(t, 1)
	all[0].Claim("before")
	if err := os.Truncate(path, 0); err != nil {
		t.Fatal(err)
	}
	if !all[0].Claim("behind") || all[0].Claim("behind") {
		t.Error("the table remembers nothing without its file")
	}
	if _, err := Open(filepath.Join(path, "no folder")); err == nil {
		t.Error("a path that can't be opened is no error")
	}
}
