package back_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/pgwire/back"
	"github.com/rattancove/rattancove/internal/standin/dbserver"
	"github.com/rattancove/rattancove/internal/statement"
)

const schema = `CREATE TABLE rolls(id TEXT PRIMARY KEY, qty INTEGER)`

// network connects dialers to in-process servers.
type network struct {
	dials   atomic.Int64
	mu      sync.Mutex
	servers map[string]*dbserver.Server
}

func (n *network) dial(_ context.Context, address string) (net.Conn, error) {
	n.dials.Add(1)
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.servers[address]
	if s == nil {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	s.ServeConn(server)
	return client, nil
}

// group is a group of servers; the first is the primary.
type group struct {
	t       *testing.T
	net     *network
	servers []*dbserver.Server
	dialer  *back.Dialer
}

func newGroup(t *testing.T, size int, configure func(*dbserver.Config)) *group {
	t.Helper()
	g := &group{t: t, net: &network{servers: map[string]*dbserver.Server{}}}
	for i := range size {
		cfg := dbserver.Config{ID: g.server(i).ID, Primary: i == 0, Dial: g.net.dial, Schema: schema, Dir: t.TempDir()}
		if i > 0 {
			cfg.Leader, cfg.Schema = g.server(0), ""
		}
		if configure != nil {
			configure(&cfg)
		}
		s, err := dbserver.New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		g.net.mu.Lock()
		g.net.servers[g.server(i).Address] = s
		g.net.mu.Unlock()
		g.servers = append(g.servers, s)
	}
	g.dialer = back.New(back.Config{Dial: g.net.dial, Credentials: back.Credentials{User: "clerk", Password: "secret"}})
	return g
}

func (g *group) server(i int) cluster.Server {
	id := string(rune('a' + i))
	return cluster.Server{ID: cluster.ServerID(id), Address: id}
}

func (g *group) conn(i int, claim backend.Claim) backend.Conn {
	g.t.Helper()
	c, err := g.dialer.Dial(g.t.Context(), g.server(i), "rolls", "", claim)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { _ = c.Close() })
	return c
}

func (g *group) control(i int) backend.Control {
	g.t.Helper()
	c, err := g.dialer.DialControl(g.t.Context(), g.server(i), "rolls")
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { _ = c.Close() })
	return c
}

// waitUntil polls for up to a minute until condition returns true.
func waitUntil(t *testing.T, name string, condition func() bool) {
	t.Helper()
	for range 12000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("condition not reached within a minute: %s", name)
}

// caller is a conversation that sends fixed batches and records what it receives.
type caller struct {
	received []byte
	batches  []*statement.Batch
}

func (c *caller) Next(context.Context) (*statement.Batch, error) {
	if len(c.batches) == 0 {
		return nil, io.EOF
	}
	b := c.batches[0]
	c.batches = c.batches[1:]
	return b, nil
}

func (c *caller) SendResponse(_ context.Context, data []byte) error {
	c.received = append(c.received, data...)
	return nil
}

// values returns all result values, COPY data, command tags, error codes and
// transaction states in the order received.
func (c *caller) values(t *testing.T) []string {
	t.Helper()
	reader, writer := net.Pipe()
	go func() {
		_, _ = writer.Write(c.received)
		_ = writer.Close()
	}()
	f := pgproto3.NewFrontend(reader, reader)
	var out []string
	for {
		m, err := f.Receive()
		if err != nil {
			return out
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			for _, v := range m.Values {
				out = append(out, string(v))
			}
		case *pgproto3.CommandComplete:
			out = append(out, string(m.CommandTag))
		case *pgproto3.ErrorResponse:
			out = append(out, m.Code)
		case *pgproto3.CopyData:
			out = append(out, string(m.Data))
		case *pgproto3.ReadyForQuery:
			out = append(out, string(m.TxStatus))
		}
	}
}

func messages(ms ...pgproto3.FrontendMessage) []byte {
	var data []byte
	for _, m := range ms {
		data, _ = m.Encode(data)
	}
	return data
}

func simpleQuery(class statement.Class, text string) *statement.Batch {
	return &statement.Batch{Class: class, Messages: messages(&pgproto3.Query{String: text})}
}

// run runs one batch and returns what the caller received, as listed by
// caller.values, and the result.
func run(t *testing.T, c backend.Conn, x *backend.Exchange) ([]string, backend.Result) {
	t.Helper()
	var conv caller
	result, err := c.Exchange(t.Context(), x, &conv)
	if err != nil {
		t.Fatalf("exchange: %v", err)
	}
	return conv.values(t), result
}
