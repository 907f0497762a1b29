package proof

import (
	"context"
	"sync"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

// unreadConnPool holds connections that were closed with an answer still to come. A
// dialer with closeUnread disabled reuses them.
type unreadConnPool struct {
	mu    sync.Mutex
	conns map[unreadKey][]*unreadConn
}

type unreadKey struct {
	server cluster.ServerID
	claim  backend.Claim
}

func (p *unreadConnPool) get(key unreadKey) *unreadConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.conns[key]
	if len(conns) == 0 {
		return nil
	}
	p.conns[key] = conns[1:]
	return conns[0]
}

func (p *unreadConnPool) put(c *unreadConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[unreadKey][]*unreadConn{}
	}
	p.conns[c.key] = append(p.conns[c.key], c)
}

// unreadConn delivers an answer that was not read to the next request.
type unreadConn struct {
	backend.Conn
	pool *unreadConnPool
	key  unreadKey
	// pending is set while an answer is still to come that no request waits for.
	pending chan lateResponse
}

type lateResponse struct {
	result backend.Result
	text   string
	err    error
}

func (c *unreadConn) Exchange(ctx context.Context, x *backend.Exchange, conv statement.Conversation) (backend.Result, error) {
	next := c.send(ctx, x)
	first := next
	if c.pending != nil {
		first = c.pending
	}
	select {
	case late := <-first:
		if c.pending != nil {
			c.pending = next
		}
		return late.deliver(ctx, x, conv)
	case <-ctx.Done():
		c.pending = first
		return backend.Result{}, errcode.Wrap(ctx.Err(), errcode.Unknown, "exchange", string(c.key.server))
	}
}

// send runs the batch without a time limit.
func (c *unreadConn) send(ctx context.Context, x *backend.Exchange) chan lateResponse {
	sent := *x
	sent.BeforeFirstByte, sent.BeforeFlush, sent.BufferResponse = nil, nil, false
	response := make(chan lateResponse, 1)
	go func() {
		responses := &scriptedCaller{}
		result, err := c.Conn.Exchange(context.WithoutCancel(ctx), &sent, responses)
		response <- lateResponse{result, responses.lastAnswer() + "\n", err}
	}()
	return response
}

func (l lateResponse) deliver(ctx context.Context, x *backend.Exchange, conv statement.Conversation) (backend.Result, error) {
	if l.err != nil || l.result.ReadOnlyRefused {
		return l.result, l.err
	}
	if x.BeforeFirstByte != nil {
		if err := x.BeforeFirstByte(ctx); err != nil {
			return l.result, err
		}
	}
	if x.BufferResponse && x.BeforeFlush != nil {
		if err := x.BeforeFlush(ctx, l.result); err != nil {
			return l.result, err
		}
	}
	return l.result, conv.SendResponse(ctx, []byte(l.text))
}

func (c *unreadConn) Close() error {
	if c.pending == nil {
		return c.Conn.Close()
	}
	c.pool.put(c)
	return nil
}
