package front_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/pgwire/front"
	"github.com/rattancove/rattancove/internal/statement"
)

func TestSettings(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	conn, other := ts.connect(t, "&work_mem=1MB"), ts.connect(t, "")
	initial := statement.Setting{Name: "work_mem", Value: "1MB"}
	path := statement.Setting{Name: "search_path", Value: "a, b"}
	cases := []struct {
		sql  string
		want []statement.Setting
	}{
		{"set search_path to a, b", []statement.Setting{initial, path}},
		{"set x = boom", []statement.Setting{initial, path}},
		{"set work_mem = '2MB'", []statement.Setting{path, {Name: "work_mem", Value: "2MB"}}},
		{"begin; set work_mem = '3MB'; rollback", []statement.Setting{path, {Name: "work_mem", Value: "2MB"}}},
		{"begin; set work_mem = '4MB'; commit", []statement.Setting{path, {Name: "work_mem", Value: "4MB"}}},
		{"begin; set work_mem = '5MB'; commit boom", []statement.Setting{path, {Name: "work_mem", Value: "4MB"}}},
		{"reset work_mem", []statement.Setting{path, initial}},
		{"set search_path to default", []statement.Setting{initial}},
		{"set search_path to b; reset all", []statement.Setting{initial}},
		{"discard all", []statement.Setting{initial}},
	}
	for _, c := range cases {
		for _, sql := range strings.Split(c.sql, "; ") {
			_, _ = conn.Exec(t.Context(), sql)
		}
		if _, err := conn.Exec(t.Context(), "select 1"); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(c.want, ts.runner.lastRequest().Settings); diff != "" {
			t.Errorf("after %q: %s", c.sql, diff)
		}
		if _, err := other.Exec(t.Context(), "select 1"); err != nil {
			t.Fatal(err)
		}
		if leaked := ts.runner.lastRequest().Settings; len(leaked) != 0 {
			t.Errorf("after %q the other caller's settings are %v, want none", c.sql, leaked)
		}
	}
}

func TestOptions(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	parameters := "&rattancove.rank=urgent&options=-c%20rattancove.session%3Dclerk-7%20-c%20rattancove.freshness%3D1s"
	modes := map[string]pgx.QueryExecMode{"simple": pgx.QueryExecModeSimpleProtocol, "extended": pgx.QueryExecModeCacheStatement}
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) {
			conn := ts.connect(t, parameters)
			exec := func(sql string) {
				t.Helper()
				if _, err := conn.Exec(t.Context(), sql, mode); err != nil {
					t.Fatalf("%s: %v", sql, err)
				}
			}
			last := func(sql string) statement.Request {
				t.Helper()
				exec(sql)
				r := *ts.runner.lastRequest()
				return statement.Request{
					Session: r.Session, Rank: r.Rank, Freshness: r.Freshness, OrderID: r.OrderID,
					Floor: r.Floor, FloorExact: r.FloorExact,
				}
			}
			bounded := func(d time.Duration) statement.Freshness {
				return statement.Freshness{Mode: statement.FreshnessBounded, MaxAge: d}
			}
			check := func(sql string, want statement.Request) {
				t.Helper()
				if diff := cmp.Diff(want, last(sql)); diff != "" {
					t.Errorf("%s: %s", sql, diff)
				}
			}
			check("select 1", statement.Request{Session: "clerk-7", Freshness: bounded(time.Second)})
			exec("set rattancove.rank to background")
			exec("set rattancove.freshness to 'menu'")
			exec("set rattancove.order_id to 'o-1'")
			exec("set rattancove.token to 'orders@4/2'")
			floor := cluster.Position{Term: 4, Offset: 2}
			want := statement.Request{
				Session: "clerk-7", Rank: cluster.RankBackground, Freshness: bounded(time.Minute),
				OrderID: "o-1", Floor: floor,
			}
			check("select 2", want)
			want.OrderID = ""
			check("select 2", want)
			check("/*rattancove.rank='normal',rattancove.token='orders@5/1',rattancove.order_id='o%202'*/ select 3", statement.Request{
				Session: "clerk-7", Rank: cluster.RankNormal, Freshness: bounded(time.Minute), OrderID: "o 2",
				Floor: cluster.Position{Term: 5, Offset: 1}, FloorExact: true,
			})
			exec("reset rattancove.rank")
			want.Rank, want.Floor = cluster.RankUrgent, cluster.Position{Term: 5, Offset: 1}
			check("select 2", want)
			var token string
			if err := conn.QueryRow(t.Context(), "show rattancove.token", mode).Scan(&token); err != nil || token != "orders@5/1" {
				t.Errorf("token %q: %v", token, err)
			}
			for sql, code := range map[string]string{
				"set rattancove.rank to first":            "22023",
				"set rattancove.token to 'menus@1/1'":     "22023",
				"show rattancove.tokens":                  "42704",
				"/*rattancove.order='1'*/ insert 1":       "42704",
				"/*rattancove.order_id=1*/ insert 1":      "22023",
				"deallocate nothing":                      "26000",
				"listen news":                             "0A000",
				"create temp table a(b int)":              "0A000",
				"select pg_advisory_lock(1)":              "0A000",
				"declare c cursor with hold for select 1": "0A000",
				"set search_path from current":            "0A000",
			} {
				if _, err := conn.Exec(t.Context(), sql, mode); sqlState(err) != code {
					t.Errorf("%s: %v, want %s", sql, err, code)
				}
			}
			exec("select 1")
		})
	}
}

func TestOrderIDs(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	conn := ts.connect(t, "")
	for _, c := range []struct{ sql, code, order string }{
		{"set rattancove.order_id to 'o-1'", "", ""},
		{"begin", "", "o-1"},
		{"set rattancove.order_id to 'o-2'", "25001", "o-1"},
		{"/*rattancove.order_id='o-2'*/ insert 1", "25001", "o-1"},
		{"/*rattancove.rank='urgent'*/ insert 1", "", "o-1"},
		{"/*rattancove.rank='first'*/ insert 1", "22023", "o-1"},
		{"commit", "", "o-1"},
		{"insert 1", "", ""},
		{"/*rattancove.order_id='o-3'*/ begin", "", "o-3"},
		{"rollback", "", "o-3"},
	} {
		if _, err := conn.Exec(t.Context(), c.sql); sqlState(err) != c.code {
			t.Errorf("%s: %v, want %q", c.sql, err, c.code)
		}
		if ts.runner.requestCount() > 0 && ts.runner.lastRequest().OrderID != c.order {
			t.Errorf("%s: order id %q, want %q", c.sql, ts.runner.lastRequest().OrderID, c.order)
		}
	}
	var batch pgx.Batch
	batch.Queue("/*rattancove.order_id='a'*/ insert 1")
	batch.Queue("/*rattancove.order_id='b'*/ insert 2")
	if err := conn.SendBatch(t.Context(), &batch).Close(); sqlState(err) != "22023" {
		t.Errorf("two order ids in one batch: %v", err)
	}
}

func TestPreparedStatements(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{MaxPreparedPerCaller: 2})
	conn, other := ts.connect(t, ""), ts.connect(t, "")
	for _, c := range []*pgx.Conn{conn, other} {
		if _, err := c.Prepare(t.Context(), "q", "select 'p'"); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := other.Exec(t.Context(), "q"); err != nil {
		t.Fatal(err)
	}
	prepared := ts.runner.lastRequest().First.Prepared
	if len(prepared) != 1 || !strings.HasPrefix(prepared[0].Name, "rattan_") || !strings.Contains(string(prepared[0].Parse), "select 'p'") {
		t.Fatalf("prepared %q", prepared)
	}
	if _, err := conn.Prepare(t.Context(), "bad", "syntax"); sqlState(err) != "42601" {
		t.Errorf("statement with a syntax error: %v", err)
	}
	if _, err := conn.Prepare(t.Context(), "third", "select 3"); sqlState(err) != "54000" {
		t.Errorf("beyond the limit: %v", err)
	}
	if err := conn.Deallocate(t.Context(), "bad"); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Prepare(t.Context(), "third", "select 3"); err != nil {
		t.Errorf("after deallocate: %v", err)
	}
	if _, err := conn.Exec(t.Context(), "deallocate all"); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Exec(t.Context(), "q"); sqlState(err) != "26000" {
		t.Errorf("after deallocate all: %v", err)
	}
}

// TestUnnamedStatementAcrossBatches also checks that a caller never uses the
// unnamed statement of the previous user of the connection.
func TestUnnamedStatementAcrossBatches(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	_, f := session(t, ts)
	send(t, f, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
	if e := receiveUntil(t, f, &pgproto3.ErrorResponse{}); e.Code != "26000" {
		t.Errorf("bind without parse: %s", e.Code)
	}
	receiveUntil(t, f, &pgproto3.ReadyForQuery{})
	send(t, f, &pgproto3.Parse{Query: "select 'u'"}, &pgproto3.Sync{})
	receiveUntil(t, f, &pgproto3.ReadyForQuery{})
	send(t, f, &pgproto3.Bind{}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{})
	if got := responseTypes(t, f); got != "BindComplete RowDescription DataRow CommandComplete" {
		t.Errorf("responses: %s", got)
	}
}

func TestFlush(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	_, f := session(t, ts)
	send(t, f, &pgproto3.Parse{Name: "s", Query: "select 'f'"}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Flush{})
	receiveUntil(t, f, &pgproto3.RowDescription{})
	send(t, f, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	if got := responseTypes(t, f); got != "BindComplete DataRow CommandComplete" {
		t.Errorf("responses: %s", got)
	}
	send(t, f, &pgproto3.Parse{Query: "syntax"}, &pgproto3.Flush{})
	if e := receiveUntil(t, f, &pgproto3.ErrorResponse{}); e.Code != "42601" {
		t.Errorf("error %s", e.Code)
	}
	send(t, f, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	if got := responseTypes(t, f); got != "" {
		t.Errorf("responses after an error and before Sync: %s", got)
	}
	send(t, f, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Flush{})
	if e := receiveUntil(t, f, &pgproto3.ErrorResponse{}); e.Code != "0A000" {
		t.Errorf("Flush after Execute outside a transaction block: %s", e.Code)
	}
}

func TestFlushInTransaction(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	_, f := session(t, ts)
	send(t, f, &pgproto3.Query{String: "begin"})
	receiveUntil(t, f, &pgproto3.ReadyForQuery{})
	send(t, f, &pgproto3.Parse{Query: "select 'f'"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Flush{})
	receiveUntil(t, f, &pgproto3.CommandComplete{})
	send(t, f, &pgproto3.Parse{Query: "syntax"}, &pgproto3.Flush{})
	receiveUntil(t, f, &pgproto3.ErrorResponse{})
	send(t, f, &pgproto3.Parse{Query: "select 1"}, &pgproto3.Sync{})
	if got := responseTypes(t, f); got != "" {
		t.Errorf("responses after an error and before Sync: %s", got)
	}
	send(t, f, &pgproto3.Query{String: "rollback"})
	if z := receiveUntil(t, f, &pgproto3.ReadyForQuery{}); z.TxStatus != 'I' {
		t.Errorf("status %c", z.TxStatus)
	}
}

func TestPipeline(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	conn := ts.connect(t, "")
	var batch pgx.Batch
	batch.Queue("insert into orders values (1)")
	batch.Queue("select 'x'")
	batch.Queue("set rattancove.rank to urgent")
	results := conn.SendBatch(t.Context(), &batch)
	if _, err := results.Exec(); err != nil {
		t.Fatal(err)
	}
	var got string
	if err := results.QueryRow().Scan(&got); err != nil || got != "select 'x'" {
		t.Error(got, err)
	}
	if _, err := results.Exec(); err != nil {
		t.Error(err)
	}
	if err := results.Close(); err != nil {
		t.Fatal(err)
	}
	if c := ts.runner.lastRequest().First.Class; c != statement.ClassWrite {
		t.Errorf("class %d", c)
	}
}

// TestTransactionLostWhileIdle ends a transaction while its caller is idle. The
// next statement must return the error, and nothing may run outside the
// transaction.
func TestTransactionLostWhileIdle(t *testing.T) {
	for first, want := range map[string][]string{
		"insert 2": {"08006E", "25P02E", "I"},
		"commit":   {"08006I", "I", "I"},
		"rollback": {"I", "I", "I"},
	} {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
			ts := startTestServer(t, fakeDirectory{}, front.Config{})
			lost := make(chan struct{})
			ts.runner.beforeNext = func(ctx context.Context) (context.Context, error) {
				ctx, cancel := context.WithCancel(ctx)
				go func() { <-lost; cancel() }()
				return ctx, errcode.New(errcode.ConnectionLost, "exchange", "server-1")
			}
			conn := ts.connect(t, "")
			if _, err := conn.Exec(t.Context(), "begin"); err != nil {
				t.Fatal(err)
			}
			close(lost)
			waitFor(t, func() bool { return ts.runner.endedRequests() == 1 })
			var states []string
			for _, sql := range []string{first, "insert 3", "rollback"} {
				_, err := conn.Exec(t.Context(), sql, mode)
				states = append(states, sqlState(err)+string(conn.PgConn().TxStatus()))
			}
			if !slices.Equal(states, want) {
				t.Errorf("%s in mode %v: %v, want %v", first, mode, states, want)
			}
		}
	}
}

func TestCopyFailure(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	conn := ts.connect(t, "")
	_, err := conn.PgConn().CopyFrom(t.Context(), failingReader{}, "copy rolls from stdin")
	if err == nil {
		t.Fatal("copy succeeded, want the error of the reader")
	}
	if _, err := conn.Exec(t.Context(), "select 1"); err != nil {
		t.Error(err)
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("simulated read error") }

func send(t *testing.T, f *pgproto3.Frontend, messages ...pgproto3.FrontendMessage) {
	t.Helper()
	for _, m := range messages {
		f.Send(m)
	}
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
}

// responseTypes returns the types of the messages before the next ReadyForQuery.
func responseTypes(t *testing.T, f *pgproto3.Frontend) string {
	t.Helper()
	var all []string
	for {
		m, err := f.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			return strings.Join(all, " ")
		}
		all = append(all, strings.TrimPrefix(strings.Split(typeName(m), ".")[1], "*"))
	}
}

func TestMemoryBudget(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{MaxBufferBytes: 300 << 10})
	conn := ts.connect(t, "")
	for range 3 {
		if _, err := conn.Exec(t.Context(), "insert "+strings.Repeat("x", 100<<10)); err != nil {
			t.Fatalf("a message within the budget: %v", err)
		}
	}
	if _, err := conn.Exec(t.Context(), "insert "+strings.Repeat("x", 300<<10)); sqlState(err) != "53400" {
		t.Errorf("a message beyond the budget: %v", err)
	}
	if _, err := ts.connect(t, "").Exec(t.Context(), "insert "+strings.Repeat("x", 100<<10)); err != nil {
		t.Errorf("another caller after the refusal: %v", err)
	}
}
