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

// defaultSeed is the seed of randomised tests unless -rapid.seed sets another.
const defaultSeed = "1"

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed").Value; seed.String() == "0" {
		_ = seed.Set(defaultSeed)
	}
	goleak.VerifyTestMain(m)
}

// fakeRunner simulates the few statements of a PostgreSQL server that the tests
// use.
type fakeRunner struct {
	mu       sync.Mutex
	requests []*statement.Request
	batches  []statement.Batch
	copied   bytes.Buffer
	offset   uint64
	// beforeExecute is called before each statement, without the lock; its error
	// fails the request.
	beforeExecute func(ctx context.Context, batch int, sql string) error
	// beforeNext is called before the wait for the next batch. It returns the
	// context of the wait and the error to return if the wait fails.
	beforeNext func(context.Context) (context.Context, error)
	endedCount int
}

func (f *fakeRunner) requestCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

func (f *fakeRunner) endedRequests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endedCount
}

func (f *fakeRunner) Run(ctx context.Context, req *statement.Request, conv statement.Conversation) (statement.Result, error) {
	f.mu.Lock()
	f.requests = append(f.requests, req)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.endedCount++
		f.mu.Unlock()
	}()
	s := &fakeServerSession{runner: f, conv: conv, txStatus: 'I', statements: map[string]string{"": "select 'of another caller'"}}
	batch := &req.First
	for batchIndex := 0; ; batchIndex++ {
		f.mu.Lock()
		f.batches = append(f.batches, *batch)
		f.mu.Unlock()
		if err := s.run(ctx, batchIndex, batch); err != nil {
			return statement.Result{}, err
		}
		if s.txStatus == 'I' {
			return s.result, nil
		}
		nextCtx, nextErr := ctx, error(nil)
		if f.beforeNext != nil {
			nextCtx, nextErr = f.beforeNext(ctx)
		}
		var err error
		if batch, err = conv.Next(nextCtx); err != nil && nextErr != nil {
			return statement.Result{}, nextErr
		}
		if err != nil {
			return statement.Result{}, err
		}
	}
}

// allRequests returns the requests received so far, in order.
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

// fakeServerSession simulates the server connection of one request.
type fakeServerSession struct {
	runner     *fakeRunner
	conv       statement.Conversation
	txStatus   byte
	statements map[string]string
	portal     string
	bound      bool
	failed     bool
	result     statement.Result
	out        []byte
}

func (s *fakeServerSession) run(ctx context.Context, batchIndex int, b *statement.Batch) error {
	s.failed, s.bound = false, s.bound && s.txStatus == 'T'
	for _, p := range b.Prepared {
		if err := s.handleMessages(ctx, batchIndex, p.Parse, true); err != nil {
			return err
		}
	}
	if err := s.handleMessages(ctx, batchIndex, b.Messages, false); err != nil {
		return err
	}
	return s.flush(ctx)
}

func (s *fakeServerSession) flush(ctx context.Context) error {
	out := s.out
	s.out = nil
	return s.conv.SendResponse(ctx, out)
}

func typeName(m pgproto3.BackendMessage) string { return fmt.Sprintf("%T", m) }

func (s *fakeServerSession) send(m pgproto3.BackendMessage) { s.out, _ = m.Encode(s.out) }

func (s *fakeServerSession) handleMessages(ctx context.Context, batchIndex int, data []byte, omitParseComplete bool) error {
	backend := pgproto3.NewBackend(bytes.NewReader(data), io.Discard)
	for m, err := backend.Receive(); err == nil; m, err = backend.Receive() {
		if err := s.handleMessage(ctx, batchIndex, m, omitParseComplete); err != nil {
			return err
		}
	}
	return nil
}

func (s *fakeServerSession) handleMessage(ctx context.Context, batchIndex int, m pgproto3.FrontendMessage, omitParseComplete bool) error {
	if _, isSync := m.(*pgproto3.Sync); s.failed && !isSync {
		return nil
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		for _, sql := range strings.Split(strings.TrimSuffix(m.String, ";"), ";") {
			if err := s.execute(ctx, batchIndex, strings.TrimSpace(sql), true); err != nil {
				return err
			}
			if s.failed {
				break
			}
		}
		s.send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus})
	case *pgproto3.Sync:
		s.send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus})
	case *pgproto3.Parse:
		s.statements[m.Name] = m.Query
		if strings.Contains(m.Query, "syntax") {
			s.fail("42601")
		} else if !omitParseComplete {
			s.send(&pgproto3.ParseComplete{})
		}
	case *pgproto3.Bind:
		sql, ok := s.statements[m.PreparedStatement]
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
			if sql, known = s.statements[m.Name]; !known {
				s.fail("26000")
				return nil
			}
			s.send(&pgproto3.ParameterDescription{})
		}
		if returnsRow(sql) {
			s.send(rowDescriptionOf(sql))
		} else {
			s.send(&pgproto3.NoData{})
		}
	case *pgproto3.Execute:
		if !s.bound {
			s.fail("34000")
			return nil
		}
		return s.execute(ctx, batchIndex, s.portal, false)
	case *pgproto3.Close:
		s.send(&pgproto3.CloseComplete{})
	}
	return nil
}

func returnsRow(sql string) bool { return strings.Contains(strings.ToUpper(sql), "SELECT") }

func rowDescriptionOf(string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}}
}

func (s *fakeServerSession) fail(state string) {
	s.failed = true
	if s.txStatus == 'T' {
		s.txStatus = 'E'
	}
	s.send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: state, Message: "simulated server error"})
}

func (s *fakeServerSession) execute(ctx context.Context, batchIndex int, sql string, describe bool) error {
	if s.runner.beforeExecute != nil {
		if err := s.runner.beforeExecute(ctx, batchIndex, sql); err != nil {
			return err
		}
	}
	if _, stripped, commented := strings.Cut(sql, "*/ "); commented {
		sql = stripped
	}
	upper := strings.ToUpper(sql)
	tag := strings.ToUpper(strings.SplitN(upper, " ", 2)[0])
	switch {
	case sql == "":
		s.send(&pgproto3.EmptyQueryResponse{})
		return nil
	case sql == "commit boom":
		s.fail("23503")
		s.txStatus = 'I'
		return nil
	case tag == "BEGIN":
		s.txStatus = 'T'
	case tag == "ROLLBACK", tag == "COMMIT" && s.txStatus == 'E':
		s.txStatus, tag = 'I', "ROLLBACK"
	case tag == "COMMIT":
		s.txStatus = 'I'
	case s.txStatus == 'E':
		s.fail("25P02")
		return nil
	case strings.Contains(sql, "boom"):
		s.fail("22012")
		return nil
	case tag == "COPY":
		return s.copyIn(ctx)
	case returnsRow(sql):
		if describe {
			s.send(rowDescriptionOf(sql))
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

func (s *fakeServerSession) copyIn(ctx context.Context) error {
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

// fakeDirectory allows every user to use every group except "closed".
type fakeDirectory struct {
	verifiers  map[string]string
	limits     environment.Limits
	maxCallers int
}

func (d fakeDirectory) Account(user string, group cluster.GroupName) (front.Account, bool) {
	a := front.Account{Customer: "cotopaxi", MaxCallers: d.maxCallers, Verifier: d.verifiers[user]}
	return a, group != "closed"
}

func (d fakeDirectory) Limits() environment.Limits { return d.limits }

func (d fakeDirectory) Freshness(name string) (statement.Freshness, bool) {
	f := statement.Freshness{Mode: statement.FreshnessBounded, MaxAge: time.Minute}
	return f, name == "menu"
}

// testServer is a running server with a fake runner.
type testServer struct {
	*front.Server
	runner  *fakeRunner
	address string
}

func startTestServer(t testing.TB, d front.Directory, config front.Config) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	config.Proxy = "proxy-1"
	config.Logger = zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.WarnLevel)
	ts := &testServer{runner: &fakeRunner{}, address: listener.Addr().String()}
	ts.Server = front.New(config, ts.runner, d)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = ts.Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		<-served
		expired, cancel := context.WithCancel(context.Background())
		cancel()
		_ = ts.Drain(expired)
	})
	return ts
}

func (ts *testServer) url(parameters string) string {
	return fmt.Sprintf("postgres://clerk:pw@%s/orders?sslmode=disable%s", ts.address, parameters)
}

func (ts *testServer) connect(t testing.TB, parameters string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(t.Context(), ts.url(parameters))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}
