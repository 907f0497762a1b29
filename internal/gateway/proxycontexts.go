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

var errProxyDead = fmt.Errorf("%w in the view of the members", statement.ErrRunnerUnavailable)

// ProxyContexts cancels requests at proxies that have failed without closing their
// connections. It is safe for concurrent use.
type ProxyContexts struct {
	// endStates are the member states in which requests are canceled.
	endStates []member.State

	mu       sync.Mutex
	contexts map[cluster.ProxyID]proxyContext
}

type proxyContext struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// NewProxyContexts returns a ProxyContexts that cancels the requests at proxies in
// the given states.
func NewProxyContexts(endStates ...member.State) *ProxyContexts {
	return &ProxyContexts{endStates: endStates, contexts: map[cluster.ProxyID]proxyContext{}}
}

// contextOf returns a context that ends when the proxy enters an end state.
func (p *ProxyContexts) contextOf(id cluster.ProxyID) context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, ok := p.contexts[id]
	if !ok {
		current.ctx, current.cancel = context.WithCancelCause(context.Background())
		p.contexts[id] = current
	}
	return current.ctx
}

// Update cancels the contexts of proxies that are unknown or in an end state in the
// view. A proxy that returns gets a new context.
func (p *ProxyContexts) Update(view *member.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, current := range p.contexts {
		e, ok := view.Find(member.Key{Role: member.RoleProxy, ID: string(id)})
		if ok && !slices.Contains(p.endStates, e.State) {
			continue
		}
		current.cancel(errProxyDead)
		delete(p.contexts, id)
	}
}

// Bind returns a runner that runs requests with next and cancels them when the
// context of the proxy ends.
func (p *ProxyContexts) Bind(id cluster.ProxyID, next statement.Runner) statement.Runner {
	return boundRunner{next: next, proxy: p.contextOf(id)}
}

// boundRunner runs requests at a proxy until the proxy's context ends.
type boundRunner struct {
	next  statement.Runner
	proxy context.Context
}

// Run implements statement.Runner.
func (r boundRunner) Run(ctx context.Context, req *statement.Request, conv statement.Conversation) (statement.Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(r.proxy, func() { cancel(context.Cause(r.proxy)) })
	defer stop()
	return r.next.Run(ctx, req, conv)
}
