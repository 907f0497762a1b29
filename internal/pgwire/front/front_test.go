package front_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/pgwire/front"
	"github.com/rattancove/rattancove/internal/statement"
)

func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

func TestQueryModes(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	modes := []pgx.QueryExecMode{
		pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe,
	}
	conn := ts.connect(t, "")
	for _, mode := range modes {
		t.Run(mode.String(), func(t *testing.T) {
			for range 3 {
				var got string
				if err := conn.QueryRow(t.Context(), "select 'x'", mode).Scan(&got); err != nil {
					t.Fatal(err)
				}
				if got != "select 'x'" {
					t.Errorf("got %q", got)
				}
				_, err := conn.Exec(t.Context(), "select boom()", mode)
				if sqlState(err) != "22012" {
					t.Errorf("error %v, want the server's 22012", err)
				}
			}
		})
	}
}

func TestTransaction(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	conn := ts.connect(t, "")
	err := pgx.BeginFunc(t.Context(), conn, func(tx pgx.Tx) error {
		if _, err := tx.Exec(t.Context(), "insert into orders values (1)"); err != nil {
			return err
		}
		var got string
		return tx.QueryRow(t.Context(), "select 'a'").Scan(&got)
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(ts.runner.requests) != 1 {
		t.Errorf("%d requests, want one for the transaction", len(ts.runner.requests))
	}
	if got := ts.runner.requests[0].First.Class; got != statement.ClassBegin {
		t.Errorf("class %v, want begin", got)
	}
	if got := conn.PgConn().ParameterStatus("rattancove.token"); got != "orders@1/1" {
		t.Errorf("token %q", got)
	}
}

func TestFloorIsRaisedByWrite(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	conn := ts.connect(t, "")
	for _, sql := range []string{"insert into orders values (1)", "select 1"} {
		if _, err := conn.Exec(t.Context(), sql); err != nil {
			t.Fatal(err)
		}
	}
	req := ts.runner.lastRequest()
	want := cluster.Position{Term: 1, Offset: 1}
	if req.Floor != want || !req.FloorExact || req.First.Class != statement.ClassRead {
		t.Errorf("floor %v exact %v class %v", req.Floor, req.FloorExact, req.First.Class)
	}
}

func TestRunnerError(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	ts.runner.beforeExecute = func(_ context.Context, _ int, sql string) error {
		if strings.Contains(sql, "refused") {
			return errcode.New(errcode.Overloaded, "admit", "home-1")
		}
		return nil
	}
	conn := ts.connect(t, "")
	_, err := conn.Exec(t.Context(), "insert refused")
	var e *pgconn.PgError
	if !errors.As(err, &e) || e.Code != "53400" || !strings.Contains(e.Detail, "outcome: not run") {
		t.Fatalf("error %+v", err)
	}
	if _, err := conn.Exec(t.Context(), "select 1"); err != nil {
		t.Errorf("statement after the error: %v", err)
	}
}

func TestLostTransaction(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	ts.runner.beforeExecute = func(_ context.Context, _ int, sql string) error {
		if strings.Contains(sql, "lose") {
			return errcode.New(errcode.ConnectionLost, "exchange", "server-1")
		}
		return nil
	}
	conn := ts.connect(t, "")
	states := []string{}
	for _, sql := range []string{"begin", "insert lose", "insert into orders values (2)", "commit", "select 1"} {
		_, err := conn.Exec(t.Context(), sql)
		states = append(states, sqlState(err)+string(conn.PgConn().TxStatus()))
	}
	if diff := cmp.Diff([]string{"T", "08006E", "25P02E", "I", "I"}, states); diff != "" {
		t.Error(diff)
	}
	if got := len(ts.runner.requests); got != 2 {
		t.Errorf("%d requests, want the transaction and the last select", got)
	}
}

func TestCopyIn(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	conn := ts.connect(t, "")
	tag, err := conn.PgConn().CopyFrom(t.Context(), strings.NewReader("1\n2\n"), "copy rolls from stdin")
	if err != nil || tag.RowsAffected() != 2 {
		t.Fatal(tag, err)
	}
	if got := ts.runner.copied.String(); got != "1\n2\n" {
		t.Errorf("copied %q", got)
	}
	if _, err := conn.Exec(t.Context(), "select 1"); err != nil {
		t.Error(err)
	}
}
