package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/statement"
)

var errMemberDead = fmt.Errorf("%w in the view of the members", statement.ErrRunnerGone)

// Lifetimes ends requests at proxies that have died without a word: their
// connections stay open and silent. It is safe for concurrent use.
type Lifetimes struct {
	ended []member.State

	mu    sync.Mutex
	lives map[cluster.ProxyID]life
}

type life struct {
	ctx context.Context
	end context.CancelCauseFunc
}

// NewLifetimes returns a Lifetimes in which a proxy's life ends with the given states.
func NewLifetimes(ended ...member.State) *Lifetimes {
	return &Lifetimes{ended: ended, lives: map[cluster.ProxyID]life{}}
}

// of returns a context that ends when the proxy dies.
func (l *Lifetimes) of(id cluster.ProxyID) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, ok := l.lives[id]
	if !ok {
		current.ctx, current.end = context.WithCancelCause(context.Background())
		l.lives[id] = current
	}
	return current.ctx
}

// Update ends the lives of proxies that are unknown or in an ended state in the view. A
// proxy that comes back begins a new life.
func (l *Lifetimes) Update(view *member.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, current := range l.lives {
		e, ok := view.Find(member.Key{Role: member.RoleProxy, ID: string(id)})
		if ok && !slices.Contains(l.ended, e.State) {
			continue
		}
		current.end(errMemberDead)
		delete(l.lives, id)
	}
}

// Bind returns a runner that runs requests by next for as long as the proxy lives.
func (l *Lifetimes) Bind(id cluster.ProxyID, next statement.Runner) statement.Runner {
	return boundRunner{next: next, life: l.of(id)}
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
