package gateway

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/statement"
)

// unresponsiveRunner never answers, like a proxy whose VM lost power.
type unresponsiveRunner struct{}

func (unresponsiveRunner) Run(ctx context.Context, _ *statement.Request, _ statement.Conversation) (statement.Result, error) {
	<-ctx.Done()
	return statement.Result{}, context.Cause(ctx)
}

func view(state member.State) *member.Snapshot {
	return member.NewSnapshot([]member.Entry{{Member: member.Member{ID: "p2", Role: member.RoleProxy}, State: state}})
}

func TestRequestEndsWhenProxyIsDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewProxyContexts(member.StateDead)
		ended := make(chan error, 1)
		go func() {
			_, err := boundRunner{next: unresponsiveRunner{}, proxy: l.contextOf("p2")}.Run(t.Context(), &statement.Request{}, nil)
			ended <- err
		}()
		for _, state := range []member.State{member.StateAlive, member.StateSuspect, member.StateLeaving} {
			l.Update(view(state))
			synctest.Wait()
			if len(ended) != 0 {
				t.Fatalf("the request ended while the proxy was %s", state)
			}
		}
		l.Update(view(member.StateDead))
		if err := <-ended; !errors.Is(err, errProxyDead) {
			t.Fatalf("error %v", err)
		}
		if l.contextOf("p2").Err() != nil {
			t.Fatal("the context was not replaced after the death of the proxy")
		}
	})
}
