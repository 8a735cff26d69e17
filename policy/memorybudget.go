package policy

// MemoryUse is what memory is reserved for.
type MemoryUse int

// The uses of memory that clients and servers cause.
const (
	ClientConnections MemoryUse = iota // connections of clients, open or idle
	ServerConnections                  // connections to servers, in use or idle
	OpenRequests                       // requests whose head has been read
	Heads                              // what is long in the heads of requests and answers
	RequestBodies                      // buffered parts of request bodies
	Uploads                            // forwarding of bodies that are not buffered whole
	Answers                            // parts of answers that the client has not read yet
	MemoryUses                         // number of uses
)

var memoryUseNames = [MemoryUses]string{
	"client_connections", "server_connections", "requests", "heads", "bodies", "uploads", "answers",
}

// String returns the use's name in the log and in metrics.
func (u MemoryUse) String() string { return memoryUseNames[u] }

// What one item of a use takes, in bytes: its buffers, the state of its socket and the stacks of its
// goroutines.
const (
	ClientConnectionCost = 16 << 10
	ServerConnectionCost = 6 << 10
	OpenRequestCost      = 22 << 10 // with its attempt, its head, and the least buffers of its body and answer
)

// What a message's head takes beyond what is part of OpenRequestCost and ClientConnectionCost.
const (
	leastHeadBytes  = 4 << 10 // bytes on the wire
	leastHeadFields = 32
	headByteCopies  = 2   // the current line of a head is held beside the ones before
	headFieldCost   = 384 // bytes of a field, parsed and copied into the message that is passed on
)

// HeadCost returns how many bytes have to be reserved for the head of a message, of a number of bytes on the
// wire and of header fields.
func HeadCost(bytes, fields int) int {
	cost := headFieldCost * max(0, fields-leastHeadFields)
	if bytes > leastHeadBytes {
		cost += headByteCopies * bytes
	}
	return cost
}

const (
	fileGrowth        = 3 << 20 // bytes by which file pages may grow and the runtime may overshoot
	runtimeOverhead   = 5 << 19 // bytes that do not depend on clients, such as the runtime's own structures
	leastRuntimeLimit = 5 << 20 // bytes
	leastBudget       = 1 << 20 // bytes
)

// fillLimits are the shares of the budget up to which all uses together may fill it, for a reservation
// of each use. What only adds speed is denied first. Connections come last, so that a request without
// memory can still be refused with an answer.
var fillLimits = [MemoryUses]float64{
	ClientConnections: 1, ServerConnections: 0.8, OpenRequests: 0.95,
	Heads: 0.8, RequestBodies: 0.8, Uploads: 0.9, Answers: 0.6,
}

// connectionShare is the share of the budget that client connections alone may hold.
const connectionShare = 0.6

// ProcessMemory describes the memory of the processes of a sidecar, in bytes.
type ProcessMemory struct {
	Limit     int64 // above which the platform kills the sidecar; 0: unknown
	Files     int64 // resident pages of files, such as the program's text; shared by the processes
	Processes int
}

// RuntimeLimit returns the memory limit of the language's runtime in one process: half of the whole, or
// what files leave. It is 0 if the limit is unknown.
func (p ProcessMemory) RuntimeLimit() int64 {
	if p.Limit == 0 {
		return 0
	}
	limit := min(p.Limit/2, p.Limit-p.Files-fileGrowth) / int64(max(p.Processes, 1))
	return max(limit, leastRuntimeLimit)
}

// Budget returns how much of the runtime's memory may be held for clients and servers; the rest is for
// garbage. It is 0 if the limit is unknown.
func (p ProcessMemory) Budget() int64 {
	if p.Limit == 0 {
		return 0
	}
	return max((p.RuntimeLimit()-runtimeOverhead)*4/5, leastBudget)
}

// MemoryAmounts holds bytes or counts by use.
type MemoryAmounts [MemoryUses]int64

// MemoryBudget divides the memory that may be held for clients and servers among its uses. The zero
// value has no limit. It is not safe for concurrent use.
type MemoryBudget struct {
	limit  int64         // bytes; 0: none
	held   MemoryAmounts // bytes
	total  int64         // bytes held for all uses
	denied MemoryAmounts // number of denied reservations
}

// SetLimit sets the limit in bytes; 0 means none. What is held above a lower limit stays held.
func (b *MemoryBudget) SetLimit(bytes int64) { b.limit = bytes }

// Limit returns the limit in bytes; 0 means none.
func (b *MemoryBudget) Limit() int64 { return b.limit }

// Permits reports whether a number of bytes may be held for a use.
func (b *MemoryBudget) Permits(use MemoryUse, bytes int64) bool {
	limit := float64(b.limit)
	if use == ClientConnections && limit > 0 && float64(b.held[use]+bytes) > connectionShare*limit {
		return false
	}
	return limit == 0 || float64(b.total+bytes) <= fillLimits[use]*limit
}

// Reserve holds a number of bytes for a use and reports whether that is permitted. Nothing is held if
// it is not.
func (b *MemoryBudget) Reserve(use MemoryUse, bytes int64) bool {
	if !b.Permits(use, bytes) {
		b.denied[use]++
		return false
	}
	b.Charge(use, bytes)
	return true
}

// Charge holds a number of bytes for a use that can't be denied.
func (b *MemoryBudget) Charge(use MemoryUse, bytes int64) {
	b.held[use] += bytes
	b.total += bytes
}

// Release ends the holding of a number of bytes.
func (b *MemoryBudget) Release(use MemoryUse, bytes int64) { b.Charge(use, -bytes) }

// Held returns the bytes held for each use.
func (b *MemoryBudget) Held() MemoryAmounts { return b.held }

// Denied returns how many reservations have been denied for each use.
func (b *MemoryBudget) Denied() MemoryAmounts { return b.denied }
