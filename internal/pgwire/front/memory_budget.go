package front

import (
	"sync/atomic"

	"github.com/rattancove/rattancove/internal/errcode"
)

// uncountedBatchBytes is the size up to which a batch is not counted.
const uncountedBatchBytes = 16 << 10

// memoryBudget bounds the memory that large messages of all callers hold together.
type memoryBudget struct {
	limitBytes int64
	usedBytes  atomic.Int64
}

// reserveMemory takes n bytes of the budget for the caller until release. It fails
// with an Overloaded error when they are not there.
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

// releaseMemory returns what the caller holds. It is called when no message and no
// batch of the caller is in memory.
func (c *caller) releaseMemory() {
	if c.reservedBytes == 0 {
		return
	}
	c.server.memory.usedBytes.Add(-c.reservedBytes)
	c.reservedBytes = 0
}
