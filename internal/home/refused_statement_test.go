package home

import (
	"context"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

// refusingDialer opens connections that refuse the statements in refusals.
type refusingDialer struct {
	backend.Dialer
	refusals map[string]errcode.Code
}

type refusingConn struct {
	backend.Conn
	refusals map[string]errcode.Code
}

func (d *refusingDialer) Dial(ctx context.Context, s cluster.Server, g cluster.GroupName, organisation string, c backend.Claim) (backend.Conn, error) {
	conn, err := d.Dialer.Dial(ctx, s, g, organisation, c)
	return &refusingConn{conn, d.refusals}, err
}

func (c *refusingConn) Exchange(ctx context.Context, x *backend.Exchange, conv statement.Conversation) (backend.Result, error) {
	if code, ok := c.refusals[string(x.Batch.Messages)]; ok {
		return backend.Result{ServerError: errcode.New(code, "refuse", "")}, nil
	}
	return c.Conn.Exchange(ctx, x, conv)
}

// TestStatementsThatServersRefuseEjectNoServer guards against callers whose statements
// make no sense, or are too long, and take the replicas away from all others.
func TestStatementsThatServersRefuseEjectNoServer(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		refusals := map[string]errcode.Code{"odd": errcode.Malformed, "long": errcode.LimitExceeded}
		h := New(Config{ID: "p1"}, &refusingDialer{b.group.Dialer("p1"), refusals})
		b.own(h)
		b.mustWrite(h, "s", "put k v1")
		time.Sleep(time.Second)
		for range 10 {
			for text, code := range refusals {
				for _, class := range []statement.Class{statement.ClassRead, statement.ClassWrite, statement.ClassBegin} {
					if _, _, err := run(h, b.request(class, text)); !errcode.Is(err, code) {
						t.Errorf("%s: error %v", text, err)
					}
				}
			}
		}
		for _, s := range h.Status().Groups[0].Servers {
			if s.Ejected {
				t.Errorf("%+v was ejected", s)
			}
		}
		if text, result, err := b.read(h, "s", "k"); err != nil || text != "v1" || result.Primary {
			t.Errorf("read %q %+v %v", text, result, err)
		}
	})
}
