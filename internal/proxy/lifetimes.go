package proxy

import (
	"context"
	"errors"
	"sync"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/statement"
)

var errMemberDead = errors.New("the proxy has died in the view of the members")

// lifetimes ends requests at proxies that have died without a word: their
// connections stay open and silent. It is safe for concurrent use.
type lifetimes struct {
	mu    sync.Mutex
	lives map[cluster.ProxyID]life
}

type life struct {
	ctx context.Context
	end context.CancelCauseFunc
}

func newLifetimes() *lifetimes { return &lifetimes{lives: map[cluster.ProxyID]life{}} }

// of returns a context that ends when the proxy dies.
func (l *lifetimes) of(id cluster.ProxyID) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, ok := l.lives[id]
	if !ok {
		current.ctx, current.end = context.WithCancelCause(context.Background())
		l.lives[id] = current
	}
	return current.ctx
}

// update ends the lives of proxies that are dead or unknown in the view. A
// proxy that comes back begins a new life.
func (l *lifetimes) update(view *member.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, current := range l.lives {
		e, ok := view.Find(member.Key{Role: member.RoleProxy, ID: string(id)})
		if ok && e.State != member.StateDead {
			continue
		}
		current.end(errMemberDead)
		delete(l.lives, id)
	}
}

// boundRunner runs requests at a proxy for as long as it lives.
type boundRunner struct {
	next statement.Runner
	life context.Context
}

// Run implements statement.Runner.
func (r boundRunner) Run(ctx context.Context, req *statement.Request, conv statement.Conversation) (statement.Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(r.life, func() { cancel(context.Cause(r.life)) })
	defer stop()
	return r.next.Run(ctx, req, conv)
}
