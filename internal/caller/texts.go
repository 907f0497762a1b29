package caller

import (
	"time"

	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/memory"
)

const (
	// textShare is the part of the memory for texts that one session may take: a session
	// alone cannot keep others from preparing statements.
	textShare = 4
	// noMemoryRetryAfter is the time to wait before a statement that was refused for lack of
	// memory is sent again.
	noMemoryRetryAfter = 250 * time.Millisecond
)

// texts is the memory of the prepared statements and settings of one session.
type texts struct {
	pool *memory.Pool
	used int64
}

// noMemory returns the refusal of a statement for which there is no memory.
func noMemory(step string) *errcode.Error {
	e := errcode.New(errcode.Overloaded, step, "")
	e.RetryAfter = noMemoryRetryAfter
	return e
}

// replace takes the memory of a text in place of another one, of which before bytes were
// taken.
func (t *texts) replace(before, after int) *errcode.Error {
	more := int64(after - before)
	if limit := t.pool.Limit(); more > 0 && limit > 0 && t.used+more > limit/textShare {
		return errcode.New(errcode.LimitExceeded, "texts of the session", "")
	}
	if more > 0 && !t.pool.Acquire(more, 0) {
		return noMemory("texts of all sessions")
	}
	if more < 0 {
		t.pool.Release(-more)
	}
	t.used += more
	return nil
}

// release returns the memory of all texts.
func (t *texts) release() {
	t.pool.Release(t.used)
	t.used = 0
}
