package policy

// MemoryUse is what memory is reserved for.
type MemoryUse int

// The uses of memory that clients and servers cause.
const (
	ClientConnections MemoryUse = iota // connections of clients, open or idle
	ServerConnections                  // connections to servers, in use or idle
	OpenRequests                       // requests whose head has been read
	RequestBodies                      // buffered parts of request bodies
	Uploads                            // forwarding of bodies that are not buffered whole
	Answers                            // parts of answers that the client has not read yet
	MemoryUses                         // number of uses
)

var memoryUseNames = [MemoryUses]string{
	"client_connections", "server_connections", "requests", "bodies", "uploads", "answers",
}

// String returns the use's name in the log and in metrics.
func (u MemoryUse) String() string { return memoryUseNames[u] }

// MemoryAmounts holds bytes or counts by use.
type MemoryAmounts [MemoryUses]int64

// MemoryBudget divides the memory that may be held for clients and servers among its uses. It is not safe for concurrent
// use.
type MemoryBudget struct {
	held   MemoryAmounts // bytes
	total  int64         // bytes held for all uses
	denied MemoryAmounts // number of denied reservations
}

// Reserve holds a number of bytes for a use and reports whether that is permitted. Nothing is held if it is not.
func (b *MemoryBudget) Reserve(use MemoryUse, bytes int64) bool {
	b.Charge(use, bytes)
	return true
}

// Charge holds a number of bytes for a use that can't be denied.
func (b *MemoryBudget) Charge(use MemoryUse, bytes int64) {
	b.held[use] += bytes
	b.total += bytes
}

// Release ends the holding of a number of bytes.
func (b *MemoryBudget) Release(use MemoryUse, bytes int64) {
	b.held[use] -= bytes
	b.total -= bytes
}

// Held returns the bytes held for each use.
func (b *MemoryBudget) Held() MemoryAmounts { return b.held }

// Denied returns how many reservations have been denied for each use.
func (b *MemoryBudget) Denied() MemoryAmounts { return b.denied }
