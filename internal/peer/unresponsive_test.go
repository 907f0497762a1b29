package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

// idleCaller sends no further statement in its transaction.
type idleCaller struct{ fakeCaller }

// Next implements statement.Conversation.
func (c *idleCaller) Next(ctx context.Context) (*statement.Batch, error) {
	<-ctx.Done()
	return nil, context.Cause(ctx)
}

// TestGonePeerEndsARequestAtOnce cancels a request with ErrRunnerUnavailable while
// the peer does not respond: once while it runs the statement, and once while it
// waits for the caller's next one. The request must end at once, and with an unknown
// outcome only for a write.
func TestGonePeerEndsARequestAtOnce(t *testing.T) {
	for _, tt := range []struct {
		name  string
		class statement.Class
		asks  bool
		want  errcode.Code
	}{
		{"read", statement.ClassRead, false, errcode.ConnectionLost},
		{"write", statement.ClassWrite, false, errcode.Unknown},
		{"open transaction", statement.ClassBegin, true, errcode.ConnectionLost},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var dials atomic.Int32
				unblock := make(chan struct{})
				runner := runnerFunc(func(ctx context.Context, _ *statement.Request, conv statement.Conversation) (statement.Result, error) {
					if tt.asks {
						_, err := conv.Next(ctx)
						return statement.Result{}, err
					}
					<-unblock
					return statement.Result{}, nil
				})
				client, stop := newTestClient(t, runner, &dials, nil)
				ctx, cancel := context.WithCancelCause(t.Context())
				go func() {
					time.Sleep(time.Second)
					cancel(statement.ErrRunnerUnavailable)
				}()
				request := fullRequest()
				request.First.Class = tt.class
				started := time.Now()
				_, err := client.Run(ctx, request, &idleCaller{})
				if !errcode.Is(err, tt.want) {
					t.Errorf("error %v, want %s", err, tt.want.Name)
				}
				if took := time.Since(started); took > 1100*time.Millisecond {
					t.Errorf("ended after %v", took)
				}
				close(unblock)
				stop()
				synctest.Wait()
			})
		})
	}
}

// TestUnreachablePeerLeavesTimeForAnother runs a request at a peer that does not
// answer connection attempts, as in a network partition. The attempt must end early
// enough to try another process.
func TestUnreachablePeerLeavesTimeForAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient("gone", func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		started := time.Now()
		_, err := client.Run(t.Context(), &statement.Request{ID: "q", Timeout: time.Second}, nil)
		if !errcode.Is(err, errcode.NoHome) {
			t.Errorf("error %v, want one that allows a retry at another process", err)
		}
		if took := time.Since(started); took > 300*time.Millisecond {
			t.Errorf("failed after %v of the request's time limit of 1 s", took)
		}
	})
}
