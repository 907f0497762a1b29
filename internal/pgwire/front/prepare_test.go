package front_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/pgwire/front"
	"github.com/rattancove/rattancove/internal/statement"
)

// TestPrepareUsesOptionsOfText prepares and describes statements in a separate
// batch, as pgx does by default. The options of the text must apply to that batch
// too: they select the server, and another server may lack a table that the session
// has created.
func TestPrepareUsesOptionsOfText(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	for name, prepared := range map[string]string{"named": "statement-1", "unnamed": ""} {
		t.Run(name, func(t *testing.T) {
			conn := ts.connect(t, "").PgConn()
			requestsBefore := len(ts.runner.allRequests())
			sql := "/*rattancove.session='clerk-" + name[:1] + "',rattancove.freshness='2s',rattancove.token='orders@5/1',rattancove.order_id='o-1'*/ select 1"
			if _, err := conn.Prepare(t.Context(), prepared, sql, nil); err != nil {
				t.Fatal(err)
			}
			if r := conn.ExecPrepared(t.Context(), prepared, nil, nil, nil).Read(); r.Err != nil {
				t.Fatal(r.Err)
			}
			requests := ts.runner.allRequests()[requestsBefore:]
			if len(requests) != 2 {
				t.Fatalf("%d requests, want one to prepare and one to execute", len(requests))
			}
			type options struct {
				Session   string
				Freshness statement.Freshness
				Floor     cluster.Position
				Exact     bool
				OrderID   string
			}
			optionsOf := func(r *statement.Request) options {
				return options{r.Session, r.Freshness, r.Floor, r.FloorExact, r.OrderID}
			}
			want := options{
				Session: "clerk-" + name[:1], Freshness: statement.Freshness{Mode: statement.FreshnessBounded, MaxAge: 2 * time.Second},
				Floor: cluster.Position{Term: 5, Offset: 1}, Exact: true,
			}
			if diff := cmp.Diff(want, optionsOf(requests[0])); diff != "" {
				t.Errorf("options of the prepare request (-want +got):\n%s", diff)
			}
			want.OrderID = "o-1"
			if diff := cmp.Diff(want, optionsOf(requests[1])); diff != "" {
				t.Errorf("options of the execute request (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPrepareKeepsOrderIDForExecution guards against an order id that is used up by
// the preparation of the order in a separate batch instead of by its execution.
func TestPrepareKeepsOrderIDForExecution(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	conn := ts.connect(t, "").PgConn()
	if _, err := conn.Exec(t.Context(), "set rattancove.order_id to 'o-7'").ReadAll(); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Prepare(t.Context(), "order", "insert into orders values (1)", nil); err != nil {
		t.Fatal(err)
	}
	if r := conn.ExecPrepared(t.Context(), "order", nil, nil, nil).Read(); r.Err != nil {
		t.Fatal(r.Err)
	}
	if got := ts.runner.lastRequest().OrderID; got != "o-7" {
		t.Errorf("the order was executed with the id %q, want o-7", got)
	}
}
