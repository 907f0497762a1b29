package front

import (
	"errors"
	"os"
	"time"

	"github.com/rattancove/rattancove/internal/statement"
)

// watchAfter is how long a request runs before its caller is watched.
const watchAfter = 250 * time.Millisecond

// errCallerLeft is the cause of a read whose caller closed its connection.
var errCallerLeft = errors.New("the caller closed its connection")

// watcher notices that a caller closes its connection while its read runs or
// waits, so that floods of callers that gave up leave no work behind. Writes
// run to their end, as in PostgreSQL.
type watcher struct {
	timer *time.Timer
	// ended is closed when the watch is over; nil while none runs.
	ended chan struct{}
}

// startWatch begins to watch the caller of a read after watchAfter.
func (v *conversation) startWatch(class statement.Class) {
	if class != statement.ClassRead && class != statement.ClassPrimaryRead {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.watch.timer = time.AfterFunc(watchAfter, v.watchCaller)
}

func (v *conversation) watchCaller() {
	v.mu.Lock()
	c := v.caller
	if v.watch.timer == nil || c.reader.buffered() || c.conn.SetReadDeadline(time.Time{}) != nil {
		v.mu.Unlock()
		return
	}
	ended := make(chan struct{})
	v.watch.ended = ended
	v.mu.Unlock()
	defer close(ended)
	err := c.reader.waitForByte()
	if errors.Is(err, os.ErrDeadlineExceeded) || (err == nil && !c.reader.startsWith(msgTerminate)) {
		return
	}
	v.cancel(errCallerLeft)
}

// stopWatch gives the caller's reader back to the caller's goroutine.
func (v *conversation) stopWatch() {
	v.mu.Lock()
	timer, ended := v.watch.timer, v.watch.ended
	v.watch = watcher{}
	v.mu.Unlock()
	if timer == nil {
		return
	}
	timer.Stop()
	if ended == nil {
		return
	}
	_ = v.caller.conn.SetReadDeadline(time.Now())
	<-ended
}
