package front

import (
	"sync/atomic"

	"github.com/rattancove/rattancove/internal/errcode"
)

// uncountedBatchBytes is the size up to which a batch does not count towards the
// memory budget.
const uncountedBatchBytes = 16 << 10

// memoryBudget bounds the total memory for large messages of all callers.
type memoryBudget struct {
	limitBytes int64
	usedBytes  atomic.Int64
}

// reserveMemory reserves n bytes of the budget until releaseMemory is called. It
// returns an Overloaded error if the budget is exhausted.
func (c *caller) reserveMemory(n int) error {
	b := &c.server.memory
	if b.usedBytes.Add(int64(n)) > b.limitBytes {
		b.usedBytes.Add(-int64(n))
		messagesRefused.Inc()
		return errcode.New(errcode.Overloaded, "message buffers", string(c.server.config.Proxy))
	}
	c.reservedBytes += int64(n)
	return nil
}

// releaseMemory releases the memory that the caller has reserved. It is called when
// no message or batch of the caller is in memory.
func (c *caller) releaseMemory() {
	if c.reservedBytes == 0 {
		return
	}
	c.server.memory.usedBytes.Add(-c.reservedBytes)
	c.reservedBytes = 0
}
