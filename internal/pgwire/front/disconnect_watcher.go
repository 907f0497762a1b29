package front

import (
	"errors"
	"os"
	"time"

	"github.com/rattancove/rattancove/internal/statement"
)

// watchDelay is the time for which a request runs before its caller is watched.
const watchDelay = 250 * time.Millisecond

// errCallerLeft is the cause with which a read is canceled when its caller has
// closed its connection.
var errCallerLeft = errors.New("the caller closed its connection")

// disconnectWatcher detects that a caller closes its connection while its read runs
// or waits, so that no work continues for callers that have given up, for example
// under overload. Writes run to completion, as in PostgreSQL.
type disconnectWatcher struct {
	timer *time.Timer
	// done is closed when the watch has ended; nil if none runs.
	done chan struct{}
}

// startWatch starts to watch the caller of a read after watchDelay.
func (conv *conversation) startWatch(class statement.Class) {
	if class != statement.ClassRead && class != statement.ClassPrimaryRead {
		return
	}
	conv.mu.Lock()
	defer conv.mu.Unlock()
	conv.watcher.timer = time.AfterFunc(watchDelay, conv.watchForDisconnect)
}

func (conv *conversation) watchForDisconnect() {
	conv.mu.Lock()
	c := conv.caller
	if conv.watcher.timer == nil || c.reader.buffered() || c.conn.SetReadDeadline(time.Time{}) != nil {
		conv.mu.Unlock()
		return
	}
	done := make(chan struct{})
	conv.watcher.done = done
	conv.mu.Unlock()
	defer close(done)
	err := c.reader.waitForData()
	if errors.Is(err, os.ErrDeadlineExceeded) || (err == nil && !c.reader.startsWith(msgTerminate)) {
		return
	}
	conv.cancel(errCallerLeft)
}

// stopWatch stops the watch, so that the caller's goroutine may use the reader
// again.
func (conv *conversation) stopWatch() {
	conv.mu.Lock()
	timer, done := conv.watcher.timer, conv.watcher.done
	conv.watcher = disconnectWatcher{}
	conv.mu.Unlock()
	if timer == nil {
		return
	}
	timer.Stop()
	if done == nil {
		return
	}
	_ = conv.caller.conn.SetReadDeadline(time.Now())
	<-done
}
