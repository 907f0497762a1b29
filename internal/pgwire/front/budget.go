package front

import (
	"sync/atomic"

	"github.com/rattancove/rattancove/internal/errcode"
)

// smallBatchBytes is the size up to which a batch is not counted.
const smallBatchBytes = 16 << 10

// budget bounds the memory that large messages of all callers hold together.
type budget struct {
	limit int64
	used  atomic.Int64
}

// reserve takes n bytes of the budget for the caller until release. It fails
// with an Overloaded error when they are not there.
func (c *caller) reserve(n int) error {
	b := &c.server.budget
	if b.used.Add(int64(n)) > b.limit {
		b.used.Add(-int64(n))
		messagesRefused.Inc()
		return errcode.New(errcode.Overloaded, "message buffers", string(c.server.config.Proxy))
	}
	c.reserved += int64(n)
	return nil
}

// release returns what the caller holds. It is called when no message and no
// batch of the caller is in memory.
func (c *caller) release() {
	if c.reserved == 0 {
		return
	}
	c.server.budget.used.Add(-c.reserved)
	c.reserved = 0
}
