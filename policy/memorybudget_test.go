package policy

import (
	"testing"

	"pgregory.net/rapid"
)

// However memory is reserved and released, a reservation never takes the total over the limit, a denied one changes nothing,
// and what is released can be reserved again.
func TestMemoryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1<<20).Draw(t, "limit")
		var b MemoryBudget
		b.SetLimit(limit)
		var held MemoryAmounts // the model
		total := int64(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			use := MemoryUse(rapid.IntRange(0, int(MemoryUses)-1).Draw(t, "use"))
			bytes := rapid.Int64Range(0, limit).Draw(t, "bytes")
			switch {
			case rapid.Bool().Draw(t, "release"):
				bytes = min(bytes, held[use])
				b.Release(use, bytes)
				held[use] -= bytes
				total -= bytes
			case b.Reserve(use, bytes):
				held[use] += bytes
				total += bytes
				if total > limit {
					t.Fatalf("%d of %d are held", total, limit)
				}
			case use == ClientConnections && float64(held[use]+bytes) > connectionShare*float64(limit):
			case float64(total+bytes) <= fillLimits[use]*float64(limit):
				t.Fatalf("%d for %v are denied with %d of %d held", bytes, use, total, limit)
			}
			if b.Held() != held {
				t.Fatalf("%v are held, want %v", b.Held(), held)
			}
		}
	})
}

// What may be held for clients and servers, with what files take and with room for garbage, is below the limit of the
// platform, from the least memory to the most, for one process and for both of an upgrade.
func TestBudgetLeavesRoom(t *testing.T) {
	const files = 16 << 20 // of this program
	for _, megabytes := range []int64{32, 48, 64, 192} {
		for _, processes := range []int{1, 2} {
			p := ProcessMemory{Limit: megabytes << 20, Files: files, Processes: processes}
			if all := files + int64(processes)*p.RuntimeLimit(); all > p.Limit {
				t.Errorf("%d MB, %d processes: files and the runtime may take %d bytes", megabytes, processes, all)
			}
			if p.Budget() < 2<<20 || p.Budget() >= p.RuntimeLimit() {
				t.Errorf("%d MB, %d processes: a budget of %d bytes, with a limit of the runtime of %d", megabytes, processes, p.Budget(), p.RuntimeLimit())
			}
		}
	}
	if unknown := (ProcessMemory{Processes: 1}); unknown.Budget() != 0 || unknown.RuntimeLimit() != 0 {
		t.Error("an unknown limit sets one")
	}
	if little := (ProcessMemory{Limit: 8 << 20, Files: files, Processes: 1}); little.Budget() <= 0 {
		t.Error("a limit below what files take leaves no budget, which would mean none is set")
	}
}
