package home

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

// outOfStepDialer opens connections of which those that are in use when failing is set
// report an answer out of step.
type outOfStepDialer struct {
	backend.Dialer
	failing atomic.Bool
	// mismatches and reused count the exchanges that failed, and those that were begun on a
	// connection that had failed.
	mismatches, reused atomic.Int32
}

func (d *outOfStepDialer) Dial(ctx context.Context, s cluster.Server, g cluster.GroupName, organisation string, c backend.Claim) (backend.Conn, error) {
	conn, err := d.Dialer.Dial(ctx, s, g, organisation, c)
	if err != nil {
		return nil, err
	}
	return &outOfStepConn{Conn: conn, dialer: d}, nil
}

type outOfStepConn struct {
	backend.Conn
	dialer *outOfStepDialer
	failed bool
}

func (c *outOfStepConn) Exchange(ctx context.Context, x *backend.Exchange, conv statement.Conversation) (backend.Result, error) {
	if c.failed {
		c.dialer.reused.Add(1)
	}
	if !c.dialer.failing.CompareAndSwap(true, false) {
		return c.Conn.Exchange(ctx, x, conv)
	}
	c.failed = true
	c.dialer.mismatches.Add(1)
	plain := &backend.Exchange{Batch: x.Batch, Settings: x.Settings}
	if _, err := c.Conn.Exchange(ctx, plain, &caller{}); err != nil {
		return backend.Result{}, err
	}
	code := errcode.Unknown
	if x.Batch.Class.ReadOnly() {
		code = errcode.ConnectionLost
	}
	return backend.Result{}, errcode.Wrap(backend.NewOutOfStepError("a signed reply", "an unsigned reply"), code, "exchange", "s1")
}

// TestAnswerOutOfStepEndsTheConnection: a read is answered by another connection, a write
// that was sent is in doubt and not repeated, and the connection is not used again.
func TestAnswerOutOfStepEndsTheConnection(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		var logged bytes.Buffer
		log := zerolog.New(zerolog.SyncWriter(&logged))
		d := &outOfStepDialer{Dialer: b.group.Dialer("p1")}
		h := New(Config{ID: "p1", Log: &log}, d)
		b.own(h)
		b.mustWrite(h, "s", "put k v")
		before := outOfStepTotal.Get()
		d.failing.Store(true)
		if text, _, err := b.read(h, "s", "k"); err != nil || text != "v" {
			t.Errorf("read: %q, %v", text, err)
		}
		d.failing.Store(true)
		if _, err := b.write(h, "s", "put w x"); !errcode.Is(err, errcode.Unknown) {
			t.Errorf("write: %v", err)
		}
		if values := b.group.CommittedValues("s1", "w"); len(values) != 1 {
			t.Errorf("the write ran as %v", values)
		}
		b.mustWrite(h, "s", "put k z")
		if n := outOfStepTotal.Get() - before; n != 2 || d.mismatches.Load() != 2 || d.reused.Load() != 0 {
			t.Errorf("%d counted, %d of 2 happened, %d exchanges on closed connections", n, d.mismatches.Load(), d.reused.Load())
		}
		if !strings.Contains(logged.String(), `"name":"answer_out_of_step"`) {
			t.Error("not logged")
		}
	})
}
