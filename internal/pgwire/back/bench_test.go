package back_test

import (
	"context"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/pgwire/back"
	"github.com/rattancove/rattancove/internal/statement"
)

// fixedResponseServer starts a server that returns the same row for every query.
func fixedResponseServer(b *testing.B) cluster.Server {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		p := pgproto3.NewBackend(conn, conn)
		if _, err := p.ReceiveStartupMessage(); err != nil {
			return
		}
		p.Send(&pgproto3.AuthenticationOk{})
		for {
			p.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			if p.Flush() != nil {
				return
			}
			if _, err := p.Receive(); err != nil {
				return
			}
			p.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("position"), DataTypeOID: 25}}})
			p.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("1/1")}})
			p.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
		}
	}()
	return cluster.Server{ID: "a", Address: l.Addr().String()}
}

type discardCaller struct{}

func (discardCaller) Next(context.Context) (*statement.Batch, error) { return nil, context.Canceled }
func (discardCaller) SendResponse(context.Context, []byte) error     { return nil }

func BenchmarkExchange(b *testing.B) {
	for name, position := range map[string]bool{"plain": false, "with position": true} {
		b.Run(name, func(b *testing.B) {
			c, err := back.New(back.Config{}).Dial(b.Context(), fixedResponseServer(b), "g", "", backend.Claim{})
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			x := &backend.Exchange{Batch: simpleQuery(statement.ClassRead, "SELECT id, qty FROM rolls WHERE id = 'fern'"), WantPosition: position}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Exchange(b.Context(), x, discardCaller{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
