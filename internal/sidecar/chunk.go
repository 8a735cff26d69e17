package sidecar

import (
	"sync"
	"sync/atomic"

	"arrowgw/policy"
)

const (
	chunkSize      = 16 << 10 // bytes of a chunk of a streamed answer
	leastChunkSize = 4 << 10  // bytes of the one chunk that a stream has while memory is scarce; part of policy.OpenRequestCost
)

// chunkPool and leastChunkPool hold the buffers of streamed answers.
var (
	chunkPool      = sync.Pool{New: func() any { return new([chunkSize]byte) }}
	leastChunkPool = sync.Pool{New: func() any { return new([leastChunkSize]byte) }}
)

// chunk is a part of a streamed answer, in a buffer from one of the pools.
type chunk struct {
	buffer []byte
	n      int // bytes of buffer that are in use
}

// chunkBudget gives a stream its chunks. A stream may always have one; each further one needs memory that is not scarce.
// One goroutine gets chunks, and any may put them back.
type chunkBudget struct {
	memory   *requestMemory
	out      *atomic.Int32 // chunks that have not been put back
	returned chan struct{} // signals that a chunk has been put back
}

// newChunkBudget returns the budget of a stream whose request has the given memory.
func newChunkBudget(memory *requestMemory) chunkBudget {
	return chunkBudget{memory: memory, out: new(atomic.Int32), returned: make(chan struct{}, 1)}
}

// get returns an empty chunk. If the stream has others and there is no memory for one more, it waits until all of them have
// been put back, or until abandoned is closed.
func (b *chunkBudget) get(abandoned <-chan struct{}) chunk {
	for !b.memory.reserve(policy.Answers, chunkSize) {
		if b.out.Load() == 0 {
			return b.least()
		}
		select {
		case <-b.returned:
		case <-abandoned:
			return b.least()
		}
	}
	b.out.Add(1)
	return chunk{buffer: chunkPool.Get().(*[chunkSize]byte)[:]}
}

// least returns the chunk that a stream may have in any case.
func (b *chunkBudget) least() chunk {
	b.out.Add(1)
	return chunk{buffer: leastChunkPool.Get().(*[leastChunkSize]byte)[:]}
}

// put takes back a chunk.
func (b *chunkBudget) put(c chunk) {
	if len(c.buffer) == chunkSize {
		b.memory.release(policy.Answers, chunkSize)
		chunkPool.Put((*[chunkSize]byte)(c.buffer))
	} else {
		leastChunkPool.Put((*[leastChunkSize]byte)(c.buffer))
	}
	b.out.Add(-1)
	select {
	case b.returned <- struct{}{}:
	default: // a signal is waiting
	}
}
