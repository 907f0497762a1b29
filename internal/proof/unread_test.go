package proof

import (
	"context"
	"sync"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

// unreadConns holds connections that were closed with an answer on its way.
// A dialer without the mechanism hands them out again.
type unreadConns struct {
	mu    sync.Mutex
	conns map[unreadKey][]*unreadConn
}

type unreadKey struct {
	server cluster.ServerID
	claim  backend.Claim
}

func (u *unreadConns) take(key unreadKey) *unreadConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	conns := u.conns[key]
	if len(conns) == 0 {
		return nil
	}
	u.conns[key] = conns[1:]
	return conns[0]
}

func (u *unreadConns) keep(c *unreadConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conns == nil {
		u.conns = map[unreadKey][]*unreadConn{}
	}
	u.conns[c.key] = append(u.conns[c.key], c)
}

// unreadConn passes the answer that nobody read on to the next request.
type unreadConn struct {
	backend.Conn
	closed *unreadConns
	key    unreadKey
	// unread is set while an answer is on its way that nobody waits for.
	unread chan lateAnswer
}

type lateAnswer struct {
	answer backend.Result
	text   string
	err    error
}

func (c *unreadConn) Exchange(ctx context.Context, x *backend.Exchange, conv statement.Conversation) (backend.Result, error) {
	next := c.send(ctx, x)
	first := next
	if c.unread != nil {
		first = c.unread
	}
	select {
	case late := <-first:
		if c.unread != nil {
			c.unread = next
		}
		return late.pass(ctx, x, conv)
	case <-ctx.Done():
		c.unread = first
		return backend.Result{}, errcode.Wrap(ctx.Err(), errcode.Unknown, "exchange", string(c.key.server))
	}
}

// send runs the batch for as long as it takes.
func (c *unreadConn) send(ctx context.Context, x *backend.Exchange) chan lateAnswer {
	sent := *x
	sent.BeforeFirstByte, sent.BeforeFlush, sent.BufferResponse = nil, nil, false
	arrived := make(chan lateAnswer, 1)
	go func() {
		heard := &script{}
		answer, err := c.Conn.Exchange(context.WithoutCancel(ctx), &sent, heard)
		arrived <- lateAnswer{answer, heard.last() + "\n", err}
	}()
	return arrived
}

func (l lateAnswer) pass(ctx context.Context, x *backend.Exchange, conv statement.Conversation) (backend.Result, error) {
	if l.err != nil || l.answer.ReadOnlyRefused {
		return l.answer, l.err
	}
	if x.BeforeFirstByte != nil {
		if err := x.BeforeFirstByte(ctx); err != nil {
			return l.answer, err
		}
	}
	if x.BufferResponse && x.BeforeFlush != nil {
		if err := x.BeforeFlush(ctx, l.answer); err != nil {
			return l.answer, err
		}
	}
	return l.answer, conv.Answer(ctx, []byte(l.text))
}

func (c *unreadConn) Close() error {
	if c.unread == nil {
		return c.Conn.Close()
	}
	c.closed.keep(c)
	return nil
}
