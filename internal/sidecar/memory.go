package sidecar

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"sync"

	"arrowgw/policy"
)

// memoryAccount records the memory that is held for clients and servers, within the budget of the module. It is safe for
// concurrent use. A nil account permits everything and records nothing.
type memoryAccount struct {
	mu     sync.Mutex
	budget policy.MemoryBudget
}

// setLimits sets the memory limit of the Go runtime and that of the budget, for one of a number of processes. megabytes is
// the limit above which the sidecar is killed; 0: unknown.
func (a *memoryAccount) setLimits(megabytes, processes int) {
	process := policy.ProcessMemory{Limit: int64(megabytes) << 20, Files: filePages(), Processes: processes}
	if limit := process.RuntimeLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.SetLimit(process.Budget())
}

// reserve records that a number of bytes are held, and reports whether that is permitted. Nothing is held if it is not.
func (a *memoryAccount) reserve(use policy.MemoryUse, bytes int) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget.Reserve(use, int64(bytes))
}

// charge records that a number of bytes are held for a use that can't be denied. A negative number releases them.
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

// limit returns the budget in bytes; 0 means that there is none.
func (a *memoryAccount) limit() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget.Limit()
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

// reserve records that a number of bytes are held for the request, and reports whether that is permitted. Nothing is held
// if it is not.
func (m *requestMemory) reserve(use policy.MemoryUse, bytes int) bool {
	if m == nil {
		return true
	}
	m.account.mu.Lock()
	defer m.account.mu.Unlock()
	if m.closed || !m.account.budget.Reserve(use, int64(bytes)) {
		return false
	}
	m.held[use] += int64(bytes)
	return true
}

// charge records that a number of bytes are held for a use that can't be denied.
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

// reserveRequest reserves the memory of an open request and of the connection to a server that its attempt needs. Nothing is held
// if there is not enough for both.
func (m *requestMemory) reserveRequest() bool {
	const connection = policy.ServerConnectionCost
	if m == nil {
		return true
	}
	m.account.mu.Lock()
	defer m.account.mu.Unlock()
	budget := &m.account.budget
	if m.closed || !budget.Reserve(policy.OpenRequests, policy.OpenRequestCost+connection) {
		return false
	}
	budget.Release(policy.OpenRequests, connection)
	budget.Charge(policy.ServerConnections, connection)
	m.held[policy.OpenRequests] += policy.OpenRequestCost
	m.held[policy.ServerConnections] += connection
	return true
}

// giveConnection hands what is held for a connection to a server over to the caller, who has to release it. It returns false if
// nothing is held.
func (m *requestMemory) giveConnection() bool {
	if m == nil {
		return false
	}
	m.account.mu.Lock()
	defer m.account.mu.Unlock()
	if m.closed || m.held[policy.ServerConnections] < policy.ServerConnectionCost {
		return false
	}
	m.held[policy.ServerConnections] -= policy.ServerConnectionCost
	return true
}

// releaseConnection releases what is held for a connection to a server, if anything is.
func (m *requestMemory) releaseConnection() {
	if m.giveConnection() {
		m.account.charge(policy.ServerConnections, -policy.ServerConnectionCost)
	}
}

// close releases all that is held for the request. Further calls change nothing.
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
	m.held = policy.MemoryAmounts{}
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
	if resident, files, err := residentPages(); err == nil {
		amounts["resident"], amounts["files"] = resident>>10, files>>10
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

// residentPages returns the resident memory of the process, and how much of it belongs to files, in bytes.
func residentPages() (all, files int64, err error) {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, 0, err
	}
	var size int64 // of the address space
	if _, err := fmt.Sscan(string(raw), &size, &all, &files); err != nil {
		return 0, 0, fmt.Errorf("/proc/self/statm is %q: %w", raw, err)
	}
	page := int64(os.Getpagesize())
	return all * page, files * page, nil
}

// filePages returns how much of the process's resident memory belongs to files, in bytes. It returns 0 if the system does
// not tell.
func filePages() int64 {
	_, files, err := residentPages()
	if err != nil {
		slog.Warn("memory unknown", "error", err)
	}
	return files
}

// logAmounts returns the memory of the process and what is held for each use, in KiB, for the log.
func (a *memoryAccount) logAmounts() map[string]int64 {
	amounts := processMemory()
	if a != nil {
		held, _ := a.amounts()
		for use, bytes := range held {
			amounts[policy.MemoryUse(use).String()] = bytes >> 10
		}
	}
	return amounts
}

// writeStats writes the bytes held for each use, and how many reservations have been denied.
func (a *memoryAccount) writeStats(w io.Writer) {
	held, denied := a.amounts()
	fmt.Fprintf(w, "app.memory_budget=%d\n", a.limit())
	for use := range policy.MemoryUses {
		fmt.Fprintf(w, "app.memory_held.%v=%d\napp.memory_denied.%v=%d\n", use, held[use], use, denied[use])
	}
}
