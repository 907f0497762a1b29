package front_test

import (
	"bytes"
	"context"
	"net"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/pgwire/front"
	"github.com/rattancove/rattancove/internal/statement"
)

// instantRunner responds to every request immediately.
type instantRunner struct{ response []byte }

func (r instantRunner) Run(ctx context.Context, _ *statement.Request, conv statement.Conversation) (statement.Result, error) {
	err := conv.SendResponse(ctx, r.response)
	return statement.Result{Observed: cluster.Position{Term: 1, Offset: 1}}, err
}

// pipeListener accepts in-process connections.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

func startInstantServer(b *testing.B) *pipeListener {
	b.Helper()
	var response []byte
	for _, m := range []pgproto3.BackendMessage{
		&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v")}}},
		&pgproto3.DataRow{Values: [][]byte{[]byte("1")}},
		&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")},
		&pgproto3.ReadyForQuery{TxStatus: 'I'},
	} {
		response, _ = m.Encode(response)
	}
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	server := front.New(front.Config{Logger: zerolog.Nop()}, instantRunner{response}, fakeDirectory{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = server.Serve(ctx, l) }()
	b.Cleanup(func() {
		_ = l.Close()
		cancel()
		_ = server.Drain(ctx)
	})
	return l
}

func (l *pipeListener) connect(b *testing.B) *pgproto3.Frontend {
	b.Helper()
	client, server := net.Pipe()
	l.conns <- server
	f := pgproto3.NewFrontend(client, client)
	if _, err := client.Write(startupBytes(0, plainStartup)); err != nil {
		b.Fatal(err)
	}
	receiveUntilReady(b, f)
	return f
}

func receiveUntilReady(b *testing.B, f *pgproto3.Frontend) {
	b.Helper()
	for {
		m, err := f.Receive()
		if err != nil {
			b.Fatal(err)
		}
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			return
		}
	}
}

func runQuery(b *testing.B, f *pgproto3.Frontend) {
	b.Helper()
	f.Send(&pgproto3.Query{String: "select id, name from patterns where id = 7"})
	if err := f.Flush(); err != nil {
		b.Fatal(err)
	}
	receiveUntilReady(b, f)
}

// BenchmarkIdleCaller measures the memory of an idle caller that has run a
// statement, including its goroutine's stack and excluding the pipe.
func BenchmarkIdleCaller(b *testing.B) {
	const callers = 2000
	for range b.N {
		before := heapAndStackBytes()
		pipes := make([][2]net.Conn, callers)
		for i := range pipes {
			pipes[i][0], pipes[i][1] = net.Pipe()
		}
		pipeBytes := heapAndStackBytes() - before

		l := startInstantServer(b)
		before = heapAndStackBytes()
		var response [4096]byte
		request, _ := (&pgproto3.Query{String: "select 1"}).Encode(nil)
		for _, p := range pipes {
			l.conns <- p[1]
			writeAndReadReady(b, p[0], startupBytes(0, plainStartup), response[:])
			writeAndReadReady(b, p[0], request, response[:])
		}
		b.ReportMetric(float64(heapAndStackBytes()-before)/callers, "B/caller")
		b.ReportMetric(float64(pipeBytes)/callers, "B/pipe")
		runtime.KeepAlive(pipes)
	}
}

// writeAndReadReady sends a request and reads up to ReadyForQuery.
func writeAndReadReady(b *testing.B, conn net.Conn, request, response []byte) {
	b.Helper()
	if _, err := conn.Write(request); err != nil {
		b.Fatal(err)
	}
	ready := []byte{'Z', 0, 0, 0, 5, 'I'}
	for read := 0; !bytes.HasSuffix(response[:read], ready); {
		n, err := conn.Read(response[read:])
		if err != nil {
			b.Fatal(err)
		}
		read += n
	}
}

func heapAndStackBytes() int64 {
	for range 4 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkQuery measures a simple query over a pipe with a Runner that responds
// immediately.
func BenchmarkQuery(b *testing.B) {
	f := startInstantServer(b).connect(b)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		runQuery(b, f)
	}
}
