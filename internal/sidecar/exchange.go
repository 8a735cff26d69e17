package sidecar

import (
	"sync"
	"time"

	"arrowgw/policy"
)

// exchange is one attempt or probe under way.
type exchange struct {
	sendBy         time.Duration // deadline for writing the last byte of the request; 0 means no bound
	clientDeadline time.Duration // the client's deadline; 0 if there is none
	finalEnd       time.Duration // when the answer has to end because the process stops; 0 if it need not
	memory         *requestMemory

	mu        sync.Mutex
	cancelled bool
	withdrawn bool   // cancelled before any byte of it was written
	writing   bool   // writing the request has begun
	stop      func() // ends the current phase: cancels the dial or closes the connection
}

// cancel abandons the exchange. A request that has not been written yet will not be sent.
func (x *exchange) cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelled = true
	if x.stop != nil {
		x.stop()
	}
}

// withdraw cancels the exchange if no byte of its request has been written, and ensures that none will be.
func (x *exchange) withdraw() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.writing || x.cancelled {
		return
	}
	x.withdrawn = true
	if x.stop != nil {
		x.stop()
	}
}

// enterPhase begins the exchange's next phase, which cancel ends by calling stop. writing is true once the request may
// be written. enterPhase returns false, and sets nothing, if the exchange has been cancelled or withdrawn: a second
// cancel must not close a connection that is back in the pool and may already serve another exchange.
func (x *exchange) enterPhase(writing bool, stop func()) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancelled || x.withdrawn {
		return false
	}
	x.writing, x.stop = writing, stop
	return true
}

// reserveAnswer reserves the memory to buffer an answer whole, whose announced length is in bytes, or -1 if there is none. It
// returns false if the answer has to be streamed: it may be too long, or memory is scarce.
func (x *exchange) reserveAnswer(length int64) bool {
	return length >= 0 && length <= maxBufferedBody && x.memory.reserve(policy.Answers, int(length))
}

// limitToSendBy returns the earlier of a moment and the moment by which the request must have been written.
func (x *exchange) limitToSendBy(at time.Duration) time.Duration {
	if x.sendBy == 0 {
		return at
	}
	return min(at, x.sendBy)
}

// isCancelled reports whether cancel has been called.
func (x *exchange) isCancelled() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cancelled
}
