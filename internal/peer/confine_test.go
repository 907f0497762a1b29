package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

// A panic while a write runs for a peer fails that write alone. Whether it took effect is
// unknown, and the next request is served.
func TestPanicFailsOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials, calls atomic.Int32
		client, stop := newTestClient(t, runnerFunc(func(context.Context, *statement.Request, statement.Conversation) (statement.Result, error) {
			if calls.Add(1) == 1 {
				panic("odd request")
			}
			return statement.Result{}, nil
		}), &dials, nil)
		defer stop()
		if _, err := client.Run(t.Context(), fullRequest(), &fakeCaller{}); !errcode.Is(err, errcode.Unknown) {
			t.Errorf("error %v, want %s", err, errcode.Unknown.Name)
		}
		if _, err := client.Run(t.Context(), fullRequest(), &fakeCaller{}); err != nil {
			t.Errorf("the next call: %v", err)
		}
	})
}
