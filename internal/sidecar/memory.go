package sidecar

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/metrics"
	"strconv"
	"sync"

	"arrowgw/policy"
)

// memoryAccount records the memory that is held for clients and servers, within the budget of the module. It is safe for
// concurrent use. A nil account permits everything and records nothing.
type memoryAccount struct {
	mu     sync.Mutex
	budget policy.MemoryBudget
}

// charge records that a number of bytes are held. A negative number releases them.
func (a *memoryAccount) charge(use policy.MemoryUse, bytes int) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.Charge(use, int64(bytes))
}

// amounts returns the bytes held for each use, and how many reservations have been denied.
func (a *memoryAccount) amounts() (held, denied policy.MemoryAmounts) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget.Held(), a.budget.Denied()
}

// openRequest returns the memory of a request, which records to the account.
func (a *memoryAccount) openRequest() *requestMemory {
	if a == nil {
		return nil
	}
	return &requestMemory{account: a}
}

// requestMemory is the memory that is held for one request. The request's handler closes it when it ends; an attempt
// that ends later holds nothing any more. A nil requestMemory permits everything.
type requestMemory struct {
	account *memoryAccount
	held    policy.MemoryAmounts // guarded by account.mu, as is closed
	closed  bool
}

// charge records that a number of bytes are held for the request.
func (m *requestMemory) charge(use policy.MemoryUse, bytes int) {
	if m == nil {
		return
	}
	m.account.mu.Lock()
	defer m.account.mu.Unlock()
	if m.closed {
		return
	}
	m.held[use] += int64(bytes)
	m.account.budget.Charge(use, int64(bytes))
}

// release records that a number of bytes are no longer held.
func (m *requestMemory) release(use policy.MemoryUse, bytes int) {
	if m == nil {
		return
	}
	m.account.mu.Lock()
	defer m.account.mu.Unlock()
	if m.closed {
		return
	}
	m.held[use] -= int64(bytes)
	m.account.budget.Release(use, int64(bytes))
}

// close releases all that is held for the request.
func (m *requestMemory) close() {
	if m == nil {
		return
	}
	m.account.mu.Lock()
	defer m.account.mu.Unlock()
	m.closed = true
	for use, bytes := range m.held {
		m.account.budget.Release(policy.MemoryUse(use), bytes)
	}
}

// runtimeMemory are the metrics of the Go runtime that are logged, by their name in the log. All are in bytes.
var runtimeMemory = map[string]string{
	"live":     "/gc/heap/live:bytes",
	"objects":  "/memory/classes/heap/objects:bytes",
	"stacks":   "/memory/classes/heap/stacks:bytes",
	"total":    "/memory/classes/total:bytes",
	"returned": "/memory/classes/heap/released:bytes",
}

// processMemory returns the memory of the process in KiB: its resident pages, those of them that belong to files, and what
// the Go runtime has for each purpose.
func processMemory() map[string]int64 {
	amounts := make(map[string]int64)
	if raw, err := os.ReadFile("/proc/self/statm"); err == nil { // size resident shared, in pages (proc_pid_statm(5))
		if fields := bytes.Fields(raw); len(fields) > 2 {
			amounts["resident"], amounts["files"] = pagesToKiB(fields[1]), pagesToKiB(fields[2])
		}
	}
	for name, metric := range runtimeMemory {
		sample := []metrics.Sample{{Name: metric}}
		metrics.Read(sample)
		if sample[0].Value.Kind() == metrics.KindUint64 {
			amounts[name] = int64(sample[0].Value.Uint64() >> 10)
		}
	}
	return amounts
}

// pagesToKiB converts a decimal number of pages to KiB. Anything else counts as 0.
func pagesToKiB(pages []byte) int64 {
	n, _ := strconv.ParseInt(string(pages), 10, 64)
	return n * int64(os.Getpagesize()) >> 10
}

// logAttrs returns the memory of the process and what is held for each use, in KiB, for the log.
func (a *memoryAccount) logAttrs() slog.Attr {
	attrs := processMemory()
	if a != nil {
		held, _ := a.amounts()
		for use, bytes := range held {
			attrs[policy.MemoryUse(use).String()] = bytes >> 10
		}
	}
	return slog.Any("memory", attrs)
}

// writeStats writes the bytes held for each use, and how many reservations have been denied.
func (a *memoryAccount) writeStats(w io.Writer) {
	held, denied := a.amounts()
	for use := range policy.MemoryUses {
		fmt.Fprintf(w, "app.memory_held.%v=%d\napp.memory_denied.%v=%d\n", use, held[use], use, denied[use])
	}
}
