package home

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/backend/backendtest"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/statement"
)

// testBench is an in-memory group with homes that may own it.
type testBench struct {
	t        *testing.T
	group    *backendtest.Group
	document *environment.Document
	homes    []*Home
	sequence atomic.Uint64
}

const (
	replicationDelay = time.Millisecond
	replayLag        = 50 * time.Millisecond
)

func newTestBench(t *testing.T, change func(*environment.Document)) *testBench {
	t.Helper()
	d := &environment.Document{Name: "test"}
	g := environment.Group{Name: "orders"}
	var servers []cluster.Server
	for i, id := range []cluster.ServerID{"s1", "s2", "s3"} {
		s := environment.Server{
			ID: id, Address: fmt.Sprintf("10.0.0.%d:5432", i+1), FailureDomain: "d" + string(id),
			Slots: 2, Connections: 16,
		}
		g.Servers = append(g.Servers, s)
		servers = append(servers, s.Cluster())
	}
	d.Groups = []environment.Group{g}
	d.Ranks.Normal.Floor = 0.2
	d.Ranks.Background.Floor = 0.1
	if change != nil {
		change(d)
	}
	b := &testBench{t: t, document: d}
	b.group = backendtest.New(backendtest.Config{
		Name: "orders", Servers: servers, ReplicationDelay: replicationDelay, ReplayLag: replayLag,
		ConnectDelay: 12 * time.Millisecond, NetworkDelay: 500 * time.Microsecond,
	})
	return b
}

// close closes every home and the group.
func (b *testBench) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, h := range b.homes {
		h.Close(ctx)
	}
	b.group.Close()
	time.Sleep(time.Second) // delivers the packets that are still in flight
}

// home starts a home that owns the group.
func (b *testBench) home(id cluster.ProxyID) *Home {
	b.t.Helper()
	h := New(Config{ID: id}, b.group.Dialer(string(id)))
	b.own(h)
	return h
}

// own lets h own the group; close closes it.
func (b *testBench) own(h *Home) {
	b.t.Helper()
	h.SetDocument(b.document)
	if err := h.Own("orders"); err != nil {
		b.t.Fatal(err)
	}
	b.homes = append(b.homes, h)
}

// promote makes a server the primary of a term, as a warden would.
func (b *testBench) promote(term cluster.Term, leader cluster.ServerID, others ...cluster.ServerID) {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	d := b.group.Dialer("warden")
	for _, id := range append([]cluster.ServerID{leader}, others...) {
		c, err := d.DialControl(ctx, cluster.Server{ID: id}, "orders")
		if err != nil {
			b.t.Fatal(err)
		}
		if _, err := c.Seal(ctx, term, "warden"); err != nil {
			b.t.Fatal(err)
		}
		if id == leader {
			defer func() {
				if _, err := c.Promote(ctx, term, "warden"); err != nil {
					b.t.Fatal(err)
				}
			}()
			continue
		}
		if _, err := c.Follow(ctx, term, cluster.Server{ID: leader}); err != nil {
			b.t.Fatal(err)
		}
	}
}

// caller is a scripted caller: it sends its batches in turn and then disconnects.
type caller struct {
	mu        sync.Mutex
	batches   []statement.Batch
	pause     time.Duration
	responses []string
}

func (c *caller) Next(ctx context.Context) (*statement.Batch, error) {
	delay.Sleep(ctx, c.pause)
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if len(c.batches) == 0 {
		return nil, io.EOF
	}
	b := c.batches[0]
	c.batches = c.batches[1:]
	return &b, nil
}

func (c *caller) SendResponse(_ context.Context, data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses = append(c.responses, strings.TrimSpace(string(data)))
	return nil
}

func (c *caller) lastResponse() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.responses) == 0 {
		return ""
	}
	return c.responses[len(c.responses)-1]
}

func (b *testBench) request(class statement.Class, text string) *statement.Request {
	return &statement.Request{
		ID: fmt.Sprint(b.sequence.Add(1)), Group: "orders", Rank: cluster.RankNormal, Timeout: 3 * time.Second,
		First: statement.Batch{Messages: []byte(text), Class: class},
	}
}

func run(h *Home, r *statement.Request, more ...statement.Batch) (string, statement.Result, error) {
	c := &caller{batches: more}
	result, err := h.Run(context.Background(), r, c)
	return c.lastResponse(), result, err
}

func (b *testBench) write(h *Home, session, text string) (statement.Result, error) {
	r := b.request(statement.ClassWrite, text)
	r.Session = session
	_, result, err := run(h, r)
	return result, err
}

func (b *testBench) mustWrite(h *Home, session, text string) statement.Result {
	b.t.Helper()
	result, err := b.write(h, session, text)
	if err != nil {
		b.t.Fatalf("%s: %v", text, err)
	}
	return result
}

// read reads as a session that has moved between proxies: the entry proxy knows no floor.
func (b *testBench) read(h *Home, session, key string) (string, statement.Result, error) {
	r := b.request(statement.ClassRead, "get "+key)
	r.Session = session
	return run(h, r)
}

// inBubble runs f in virtual time and then closes everything it started.
func inBubble(t *testing.T, change func(*environment.Document), f func(t *testing.T, b *testBench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newTestBench(t, change)
		defer b.close()
		f(t, b)
	})
}

func TestWriteThenReads(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		h := b.home("p1")
		w := b.mustWrite(h, "clerk", "put k v1")
		if !w.Primary || w.Position.Offset != 1 {
			t.Fatalf("write: %+v", w)
		}
		text, r, err := b.read(h, "clerk", "k")
		if err != nil || text != "v1" {
			t.Fatalf("read: %q %+v %v", text, r, err)
		}
		time.Sleep(200 * time.Millisecond)
		text, r, err = b.read(h, "clerk", "k")
		if err != nil || text != "v1" || r.Primary {
			t.Fatalf("read of a replica: %q %+v %v", text, r, err)
		}
	})
}

func TestTransaction(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		h := b.home("p1")
		text, r, err := run(h, b.request(statement.ClassBegin, "begin"),
			statement.Batch{Messages: []byte("put k v1")}, statement.Batch{Messages: []byte("commit")})
		if err != nil || text != "commit" || r.Position.Offset != 1 {
			t.Fatalf("transaction: %q %+v %v", text, r, err)
		}
		_, _, err = run(h, b.request(statement.ClassBegin, "begin"), statement.Batch{Messages: []byte("put k v2")})
		if err != nil {
			t.Fatalf("caller that disconnected: %v", err)
		}
		if got := b.group.CommittedValues("s1", "k"); len(got) != 1 {
			t.Fatalf("a transaction without commit took effect: %v", got)
		}
	})
}
