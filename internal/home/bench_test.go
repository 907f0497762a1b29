package home

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/statement"
)

// instantGroup responds immediately, so that a benchmark measures only the home.
type instantGroup struct {
	offset atomic.Uint64
	epoch  atomic.Uint64
}

type instantConn struct {
	group *instantGroup
	id    cluster.ServerID
}

func (g *instantGroup) Dial(_ context.Context, s cluster.Server, _ cluster.GroupName, _ string, _ backend.Claim) (backend.Conn, error) {
	return &instantConn{g, s.ID}, nil
}

func (g *instantGroup) DialControl(_ context.Context, s cluster.Server, _ cluster.GroupName) (backend.Control, error) {
	return &instantControl{group: g, id: s.ID}, nil
}

func (c *instantConn) Exchange(ctx context.Context, x *backend.Exchange, conv statement.Conversation) (backend.Result, error) {
	result := backend.Result{Position: cluster.Position{Term: 1, Offset: c.group.offset.Load()}}
	if x.Batch.Class == statement.ClassWrite {
		result.Committed = true
		result.Position.Offset = c.group.offset.Add(1)
	}
	if x.BeforeFirstByte != nil {
		if err := x.BeforeFirstByte(ctx); err != nil {
			return result, err
		}
	}
	if x.BeforeFlush != nil {
		if err := x.BeforeFlush(ctx, result); err != nil {
			return result, err
		}
	}
	return result, conv.SendResponse(ctx, x.Batch.Messages)
}

func (c *instantConn) Cancel(context.Context) error { return nil }
func (c *instantConn) Reset(context.Context) error  { return nil }
func (c *instantConn) Sent() bool                   { return true }
func (c *instantConn) Close() error                 { return nil }

type instantControl struct {
	backend.Control
	group *instantGroup
	id    cluster.ServerID
}

func (c *instantControl) Status(context.Context) (cluster.ServerStatus, error) {
	p := cluster.Position{Term: 1, Offset: c.group.offset.Load()}
	s := cluster.ServerStatus{
		Server: c.id, Role: cluster.RoleReplica, Term: 1, Leader: "s1", Received: p, Replayed: p,
		Epoch: cluster.Epoch(c.group.epoch.Load()), Home: "p1",
	}
	if c.id == "s1" {
		s.Role = cluster.RolePrimary
	}
	return s, nil
}

func (c *instantControl) Claim(ctx context.Context, claim backend.Claim) (cluster.ServerStatus, error) {
	c.group.epoch.Store(uint64(claim.Epoch))
	return c.Status(ctx)
}

func (c *instantControl) Close() error { return nil }

// BenchmarkHome measures the CPU time of one statement in the home, without the
// protocol, the network and the server.
func BenchmarkHome(b *testing.B) {
	g := environment.Group{Name: "orders"}
	for i, id := range []cluster.ServerID{"s1", "s2", "s3"} {
		g.Servers = append(g.Servers, environment.Server{ID: id, Address: fmt.Sprint("10.0.0.", i), Slots: 4, Connections: 16})
	}
	h := New(Config{ID: "p1"}, &instantGroup{})
	h.SetDocument(&environment.Document{Groups: []environment.Group{g}})
	if err := h.Own("orders"); err != nil {
		b.Fatal(err)
	}
	defer h.Close(context.Background())
	for _, bm := range []struct {
		name  string
		class statement.Class
		exact bool
	}{
		{"read with an exact floor", statement.ClassRead, true},
		{"read with proof", statement.ClassRead, false},
		{"write", statement.ClassWrite, true},
	} {
		b.Run(bm.name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				c := &caller{}
				for pb.Next() {
					r := &statement.Request{ID: "r", Group: "orders", Rank: cluster.RankNormal, FloorExact: bm.exact, Timeout: time.Second}
					r.First = statement.Batch{Messages: []byte("x"), Class: bm.class}
					c.responses = c.responses[:0]
					if _, err := h.Run(context.Background(), r, c); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}
