package front_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/pgwire/front"
	"github.com/rattancove/rattancove/internal/statement"
)

// defaultSeed is the seed of random tests unless -rapid.seed gives another.
const defaultSeed = "1"

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed").Value; seed.String() == "0" {
		_ = seed.Set(defaultSeed)
	}
	goleak.VerifyTestMain(m)
}

// fakeRunner answers batches as a tiny PostgreSQL server would.
type fakeRunner struct {
	mu       sync.Mutex
	requests []*statement.Request
	batches  []statement.Batch
	copied   bytes.Buffer
	offset   uint64
	// before may refuse a batch. It runs without the lock.
	before func(ctx context.Context, batch int, sql string) error
	// wait may end the wait for the next batch, and gives the error then.
	wait func(context.Context) (context.Context, error)
	done int
}

func (f *fakeRunner) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

func (f *fakeRunner) ended() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done
}

func (f *fakeRunner) Run(ctx context.Context, req *statement.Request, conv statement.Conversation) (statement.Result, error) {
	f.mu.Lock()
	f.requests = append(f.requests, req)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.done++
		f.mu.Unlock()
	}()
	s := &fakeSession{runner: f, conv: conv, tx: 'I', sql: map[string]string{"": "select 'of another caller'"}}
	batch := &req.First
	for n := 0; ; n++ {
		f.mu.Lock()
		f.batches = append(f.batches, *batch)
		f.mu.Unlock()
		if err := s.run(ctx, n, batch); err != nil {
			return statement.Result{}, err
		}
		if s.tx == 'I' {
			return s.result, nil
		}
		waiting, lost := ctx, error(nil)
		if f.wait != nil {
			waiting, lost = f.wait(ctx)
		}
		var err error
		if batch, err = conv.Next(waiting); err != nil && lost != nil {
			return statement.Result{}, lost
		}
		if err != nil {
			return statement.Result{}, err
		}
	}
}

// allRequests returns the requests so far in their order.
func (f *fakeRunner) allRequests() []*statement.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.requests)
}

func (f *fakeRunner) lastRequest() *statement.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests[len(f.requests)-1]
}

// fakeSession is one request's connection.
type fakeSession struct {
	runner *fakeRunner
	conv   statement.Conversation
	tx     byte
	sql    map[string]string
	portal string
	bound  bool
	failed bool
	result statement.Result
	out    []byte
}

func (s *fakeSession) run(ctx context.Context, n int, b *statement.Batch) error {
	s.failed, s.bound = false, s.bound && s.tx == 'T'
	for _, p := range b.Prepared {
		if err := s.each(ctx, n, p.Parse, true); err != nil {
			return err
		}
	}
	if err := s.each(ctx, n, b.Messages, false); err != nil {
		return err
	}
	return s.flush(ctx)
}

func (s *fakeSession) flush(ctx context.Context) error {
	out := s.out
	s.out = nil
	return s.conv.Answer(ctx, out)
}

func typeName(m pgproto3.BackendMessage) string { return fmt.Sprintf("%T", m) }

func (s *fakeSession) send(m pgproto3.BackendMessage) { s.out, _ = m.Encode(s.out) }

func (s *fakeSession) each(ctx context.Context, n int, data []byte, quiet bool) error {
	backend := pgproto3.NewBackend(bytes.NewReader(data), io.Discard)
	for m, err := backend.Receive(); err == nil; m, err = backend.Receive() {
		if err := s.message(ctx, n, m, quiet); err != nil {
			return err
		}
	}
	return nil
}

func (s *fakeSession) message(ctx context.Context, n int, m pgproto3.FrontendMessage, quiet bool) error {
	if _, sync := m.(*pgproto3.Sync); s.failed && !sync {
		return nil
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		for _, sql := range strings.Split(strings.TrimSuffix(m.String, ";"), ";") {
			if err := s.execute(ctx, n, strings.TrimSpace(sql), true); err != nil {
				return err
			}
			if s.failed {
				break
			}
		}
		s.send(&pgproto3.ReadyForQuery{TxStatus: s.tx})
	case *pgproto3.Sync:
		s.send(&pgproto3.ReadyForQuery{TxStatus: s.tx})
	case *pgproto3.Parse:
		s.sql[m.Name] = m.Query
		if strings.Contains(m.Query, "syntax") {
			s.fail("42601")
		} else if !quiet {
			s.send(&pgproto3.ParseComplete{})
		}
	case *pgproto3.Bind:
		sql, ok := s.sql[m.PreparedStatement]
		if !ok {
			s.fail("26000")
			return nil
		}
		s.portal, s.bound = sql, true
		s.send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		sql := s.portal
		if m.ObjectType == 'P' && !s.bound {
			s.fail("34000")
			return nil
		}
		if m.ObjectType == 'S' {
			known := false
			if sql, known = s.sql[m.Name]; !known {
				s.fail("26000")
				return nil
			}
			s.send(&pgproto3.ParameterDescription{})
		}
		if returnsRow(sql) {
			s.send(rowOf(sql))
		} else {
			s.send(&pgproto3.NoData{})
		}
	case *pgproto3.Execute:
		if !s.bound {
			s.fail("34000")
			return nil
		}
		return s.execute(ctx, n, s.portal, false)
	case *pgproto3.Close:
		s.send(&pgproto3.CloseComplete{})
	}
	return nil
}

func returnsRow(sql string) bool { return strings.Contains(strings.ToUpper(sql), "SELECT") }

func rowOf(string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}}
}

func (s *fakeSession) fail(state string) {
	s.failed = true
	if s.tx == 'T' {
		s.tx = 'E'
	}
	s.send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: state, Message: "server says no"})
}

func (s *fakeSession) execute(ctx context.Context, n int, sql string, describe bool) error {
	if s.runner.before != nil {
		if err := s.runner.before(ctx, n, sql); err != nil {
			return err
		}
	}
	if _, bare, commented := strings.Cut(sql, "*/ "); commented {
		sql = bare
	}
	upper := strings.ToUpper(sql)
	tag := strings.ToUpper(strings.SplitN(upper, " ", 2)[0])
	switch {
	case sql == "":
		s.send(&pgproto3.EmptyQueryResponse{})
		return nil
	case sql == "commit boom":
		s.fail("23503")
		s.tx = 'I'
		return nil
	case tag == "BEGIN":
		s.tx = 'T'
	case tag == "ROLLBACK", tag == "COMMIT" && s.tx == 'E':
		s.tx, tag = 'I', "ROLLBACK"
	case tag == "COMMIT":
		s.tx = 'I'
	case s.tx == 'E':
		s.fail("25P02")
		return nil
	case strings.Contains(sql, "boom"):
		s.fail("22012")
		return nil
	case tag == "COPY":
		return s.copyIn(ctx)
	case returnsRow(sql):
		if describe {
			s.send(rowOf(sql))
		}
		s.send(&pgproto3.DataRow{Values: [][]byte{[]byte(sql)}})
		tag = "SELECT 1"
	case tag == "INSERT":
		tag = "INSERT 0 1"
		s.runner.mu.Lock()
		s.runner.offset++
		s.result.Position = cluster.Position{Term: 1, Offset: s.runner.offset}
		s.runner.mu.Unlock()
	}
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

func (s *fakeSession) copyIn(ctx context.Context) error {
	s.send(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0}})
	for {
		if err := s.flush(ctx); err != nil {
			return err
		}
		b, err := s.conv.Next(ctx)
		if err != nil {
			return err
		}
		backend := pgproto3.NewBackend(bytes.NewReader(b.Messages), io.Discard)
		for {
			m, err := backend.Receive()
			if err != nil {
				break
			}
			switch m := m.(type) {
			case *pgproto3.CopyData:
				s.runner.copied.Write(m.Data)
			case *pgproto3.CopyDone:
				s.send(&pgproto3.CommandComplete{CommandTag: []byte("COPY 2")})
				return nil
			case *pgproto3.CopyFail:
				s.fail("57014")
				return nil
			}
		}
	}
}

// fakeDirectory lets every user into every group but those named "closed".
type fakeDirectory struct {
	verifiers map[string]string
	limits    environment.Limits
	most      int
}

func (d fakeDirectory) Account(user string, group cluster.GroupName) (front.Account, bool) {
	a := front.Account{Customer: "cotopaxi", MaxCallers: d.most, Verifier: d.verifiers[user]}
	return a, group != "closed"
}

func (d fakeDirectory) Limits() environment.Limits { return d.limits }

func (d fakeDirectory) Freshness(name string) (statement.Freshness, bool) {
	f := statement.Freshness{Mode: statement.FreshnessBounded, MaxAge: time.Minute}
	return f, name == "menu"
}

// bench is a running server.
type bench struct {
	*front.Server
	runner  *fakeRunner
	address string
}

func startServer(t testing.TB, d front.Directory, config front.Config) *bench {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	config.Proxy = "proxy-1"
	config.Logger = zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.WarnLevel)
	b := &bench{runner: &fakeRunner{}, address: listener.Addr().String()}
	b.Server = front.New(config, b.runner, d)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = b.Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		<-served
		expired, cancel := context.WithCancel(context.Background())
		cancel()
		_ = b.Drain(expired)
	})
	return b
}

func (b *bench) url(parameters string) string {
	return fmt.Sprintf("postgres://clerk:pw@%s/orders?sslmode=disable%s", b.address, parameters)
}

func (b *bench) connect(t testing.TB, parameters string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(t.Context(), b.url(parameters))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}
