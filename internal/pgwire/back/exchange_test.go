package back_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/pgwire/back"
	"github.com/rattancove/rattancove/internal/statement"
)

func TestSimpleQueries(t *testing.T) {
	c := newGroup(t, 1, nil).conn(0, backend.Claim{})
	cases := []struct {
		text  string
		class statement.Class
		want  []string
		state string
	}{
		{"INSERT INTO rolls VALUES ('fern', 3)", statement.ClassWrite, []string{"INSERT 0 1", "I"}, ""},
		{"SELECT id, qty FROM rolls", statement.ClassRead, []string{"fern", "3", "SELECT 1", "I"}, ""},
		{"INSERT INTO rolls VALUES ('fern', 3)", statement.ClassWrite, []string{"23505", "I"}, "23505"},
		{"SELEC 1", statement.ClassRead, []string{"42601", "I"}, "42601"},
		{"SELECT * FROM absent", statement.ClassRead, []string{"42P01", "I"}, "42P01"},
		{"UPDATE rolls SET qty = qty + 1 RETURNING qty", statement.ClassWrite, []string{"4", "UPDATE 1", "I"}, ""},
		{"SELECT 1; SELECT 2", statement.ClassRead, []string{"1", "SELECT 1", "2", "SELECT 1", "I"}, ""},
	}
	for _, tc := range cases {
		got, result := run(t, c, &backend.Exchange{Batch: simpleQuery(tc.class, tc.text)})
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%s: %s", tc.text, diff)
		}
		if result.SQLState != tc.state || result.Tx != backend.TxIdle {
			t.Errorf("%s: result %+v", tc.text, result)
		}
	}
}

func TestTransactionStates(t *testing.T) {
	c := newGroup(t, 1, nil).conn(0, backend.Claim{})
	steps := []struct {
		text      string
		class     statement.Class
		tx        backend.TxStatus
		committed bool
	}{
		{"BEGIN", statement.ClassBegin, backend.TxOpen, false},
		{"INSERT INTO rolls VALUES ('ivy', 1)", statement.ClassWrite, backend.TxOpen, false},
		{"COMMIT", statement.ClassWrite, backend.TxIdle, true},
		{"BEGIN", statement.ClassBegin, backend.TxOpen, false},
		{"SELECT broken", statement.ClassWrite, backend.TxFailed, false},
		{"SELECT 1", statement.ClassWrite, backend.TxFailed, false},
		{"COMMIT", statement.ClassWrite, backend.TxIdle, false},
		{"INSERT INTO rolls VALUES ('oak', 1)", statement.ClassWrite, backend.TxIdle, true},
		{"SELECT 1", statement.ClassRead, backend.TxIdle, false},
	}
	for _, s := range steps {
		_, result := run(t, c, &backend.Exchange{Batch: simpleQuery(s.class, s.text)})
		if result.Tx != s.tx || result.Committed != s.committed {
			t.Errorf("%s: got %+v", s.text, result)
		}
	}
}

// preparedBatch returns a batch that runs a named statement.
func preparedBatch(name, text string, args ...string) *statement.Batch {
	bind := &pgproto3.Bind{PreparedStatement: name}
	for _, a := range args {
		bind.Parameters = append(bind.Parameters, []byte(a))
	}
	return &statement.Batch{
		Messages: messages(bind, &pgproto3.Execute{}, &pgproto3.Sync{}),
		Prepared: []statement.Prepared{{Name: name, Parse: messages(&pgproto3.Parse{Name: name, Query: text})}},
	}
}

func TestPreparedStatementsAreDefinedOnce(t *testing.T) {
	c := newGroup(t, 1, nil).conn(0, backend.Claim{})
	for _, id := range []string{"a", "b", "c"} {
		got, _ := run(t, c, &backend.Exchange{Batch: preparedBatch("s1", "INSERT INTO rolls VALUES ($1, $2)", id, "5")})
		if diff := cmp.Diff([]string{"INSERT 0 1", "I"}, got); diff != "" {
			t.Error(diff)
		}
	}
	if err := c.Reset(t.Context()); err != nil {
		t.Fatal(err)
	}
	got, _ := run(t, c, &backend.Exchange{Batch: preparedBatch("s1", "INSERT INTO rolls VALUES ($1, $2)", "d", "5")})
	if diff := cmp.Diff([]string{"INSERT 0 1", "I"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestSettingsDoNotLeak(t *testing.T) {
	c := newGroup(t, 1, nil).conn(0, backend.Claim{})
	show := func(settings ...statement.Setting) string {
		got, _ := run(t, c, &backend.Exchange{Batch: simpleQuery(statement.ClassRead, "SHOW search_path"), Settings: settings})
		return got[0]
	}
	path := statement.Setting{Name: "search_path", Value: "it's"}
	if got := show(path); got != "it's" {
		t.Errorf("setting not in force: %q", got)
	}
	if got := show(); got != "" {
		t.Errorf("setting leaked: %q", got)
	}
	run(t, c, &backend.Exchange{Batch: simpleQuery(statement.ClassWrite, "SET search_path TO sneaky")})
	if got := show(); got != "" {
		t.Errorf("setting of a batch leaked: %q", got)
	}
}

func TestPosition(t *testing.T) {
	c := newGroup(t, 1, nil).conn(0, backend.Claim{})
	_, result := run(t, c, &backend.Exchange{Batch: simpleQuery(statement.ClassWrite, "INSERT INTO rolls VALUES ('x', 1)"), WantPosition: true})
	if want := (cluster.Position{Term: 1, Offset: 3}); result.Position != want {
		t.Errorf("position %v, want %v", result.Position, want)
	}
	_, result = run(t, c, &backend.Exchange{Batch: simpleQuery(statement.ClassWrite, "BEGIN"), WantPosition: true})
	if result.Position.Known() || result.Tx != backend.TxOpen {
		t.Errorf("position inside a transaction: %+v", result)
	}
}

func TestCopy(t *testing.T) {
	c := newGroup(t, 1, nil).conn(0, backend.Claim{})
	conv := &caller{batches: []*statement.Batch{
		{Class: statement.ClassCopyData, Messages: messages(&pgproto3.CopyData{Data: []byte("moss\t1\nlily\t")})},
		{Class: statement.ClassCopyData, Messages: messages(&pgproto3.CopyData{Data: []byte("\\N\n")}, &pgproto3.CopyDone{})},
	}}
	result, err := c.Exchange(t.Context(), &backend.Exchange{
		Batch: simpleQuery(statement.ClassWrite, "COPY rolls FROM STDIN"), WantPosition: true, BufferResponse: true,
	}, conv)
	if err != nil || !result.Committed || !result.Position.Known() {
		t.Fatalf("copy in: %+v, %v", result, err)
	}
	if diff := cmp.Diff([]string{"COPY 2", "I"}, conv.values(t)); diff != "" {
		t.Error(diff)
	}
	got, _ := run(t, c, &backend.Exchange{Batch: simpleQuery(statement.ClassRead, "COPY rolls TO STDOUT")})
	if diff := cmp.Diff([]string{"moss\t1\n", "lily\t\\N\n", "COPY 2", "I"}, got); diff != "" {
		t.Error(diff)
	}
	// If the caller disconnects during COPY, nothing is written.
	disconnected := &caller{}
	if result, err = c.Exchange(t.Context(), &backend.Exchange{Batch: simpleQuery(statement.ClassWrite, "COPY rolls FROM STDIN")}, disconnected); err != nil || result.Committed {
		t.Errorf("abandoned copy: %+v, %v", result, err)
	}
}

func TestLargeResponseIsStreamed(t *testing.T) {
	c := newGroup(t, 1, nil).conn(0, backend.Claim{})
	text := "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i+1 FROM n WHERE i < 20000) SELECT i, 'padding padding padding' FROM n"
	firstByteCalls := 0
	var conv caller
	_, err := c.Exchange(t.Context(), &backend.Exchange{
		Batch:           simpleQuery(statement.ClassRead, text),
		BeforeFirstByte: func(context.Context) error { firstByteCalls++; return nil },
	}, &conv)
	if err != nil {
		t.Fatal(err)
	}
	if got := conv.values(t); len(got) != 40002 || firstByteCalls != 1 {
		t.Errorf("%d values, %d calls of BeforeFirstByte", len(got), firstByteCalls)
	}
}

func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 1, nil)
		c := g.conn(0, backend.Claim{})
		time.AfterFunc(time.Second, func() { _ = c.Cancel(t.Context()) })
		got, result := run(t, c, &backend.Exchange{Batch: simpleQuery(statement.ClassWrite, "SELECT pg_sleep(60)")})
		if result.SQLState != "57014" || result.Tx != backend.TxIdle {
			t.Errorf("got %v %+v", got, result)
		}
		run(t, c, &backend.Exchange{Batch: simpleQuery(statement.ClassRead, "SELECT 1")})
		dials := g.net.dials.Load()
		if err := c.Cancel(t.Context()); err != nil || g.net.dials.Load() != dials {
			t.Errorf("a cancel request was sent although no exchange was running: %v", err)
		}
	})
}

func TestDeadline(t *testing.T) {
	cases := map[string]struct {
		batch *statement.Batch
		hang  bool
		want  errcode.Code
	}{
		"read":             {simpleQuery(statement.ClassRead, "SELECT pg_sleep(60)"), false, errcode.DeadlinePassed},
		"answered write":   {simpleQuery(statement.ClassWrite, "INSERT INTO rolls SELECT 'x', pg_sleep(60)"), false, errcode.DeadlinePassed},
		"unanswered write": {simpleQuery(statement.ClassWrite, "INSERT INTO rolls VALUES ('x', 1)"), true, errcode.Unknown},
		"unanswered read":  {simpleQuery(statement.ClassRead, "SELECT 1"), true, errcode.DeadlinePassed},
		"unanswered begin": {simpleQuery(statement.ClassBegin, "BEGIN"), true, errcode.DeadlinePassed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, 1, nil)
				c := g.conn(0, backend.Claim{})
				g.servers[0].SetHang(tc.hang)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				start := time.Now()
				if _, err := c.Exchange(ctx, &backend.Exchange{Batch: tc.batch}, &caller{}); !errcode.Is(err, tc.want) {
					t.Errorf("got %v", err)
				}
				if took := time.Since(start); took > time.Second+back.DefaultCancelGrace {
					t.Errorf("the exchange ended after %v", took)
				}
				if _, err := c.Exchange(t.Context(), &backend.Exchange{Batch: tc.batch}, &caller{}); !errcode.Is(err, errcode.ConnectionLost) || c.Sent() {
					t.Errorf("the connection was reused: %v", err)
				}
			})
		})
	}
}

func TestOutcomeOfConnectionLostInTransaction(t *testing.T) {
	cases := map[string]errcode.Code{
		"INSERT INTO rolls VALUES ('x', 1)": errcode.ConnectionLost,
		"COMMIT":                            errcode.Unknown,
	}
	for text, want := range cases {
		g := newGroup(t, 1, nil)
		c := g.conn(0, backend.Claim{})
		run(t, c, &backend.Exchange{Batch: simpleQuery(statement.ClassBegin, "BEGIN")})
		g.servers[0].SetDown(true)
		if _, err := c.Exchange(t.Context(), &backend.Exchange{Batch: simpleQuery(statement.ClassWrite, text)}, &caller{}); !errcode.Is(err, want) {
			t.Errorf("%s: got %v", text, err)
		}
	}
}

func TestRefusedSettingIsReportedToCaller(t *testing.T) {
	c := newGroup(t, 1, nil).conn(0, backend.Claim{})
	x := insertExchange("fern")
	x.Settings = []statement.Setting{{Name: "TimeZone", Value: "no where"}}
	got, result := run(t, c, x)
	if diff := cmp.Diff([]string{"22023", "I"}, got); diff != "" || result.SQLState != "22023" || result.Committed || c.Sent() {
		t.Errorf("%s %+v", diff, result)
	}
	if _, result = run(t, c, insertExchange("fern")); !result.Committed {
		t.Errorf("got %+v", result)
	}
}

// exchangeLog records the callbacks and responses of an exchange in order, without
// immediate repetitions.
type exchangeLog struct {
	caller
	steps []string
}

func (l *exchangeLog) record(step string) {
	if len(l.steps) == 0 || l.steps[len(l.steps)-1] != step {
		l.steps = append(l.steps, step)
	}
}

func (l *exchangeLog) SendResponse(ctx context.Context, data []byte) error {
	l.record("answer")
	return l.caller.SendResponse(ctx, data)
}

func TestOnBatchEndOrder(t *testing.T) {
	longQuery := "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i+1 FROM n WHERE i < 20000) SELECT i, 'padding padding padding' FROM n"
	cases := []struct {
		name string
		x    *backend.Exchange
		want []string
	}{
		{"read", &backend.Exchange{Batch: simpleQuery(statement.ClassRead, "SELECT 1")}, []string{"ended", "gate", "answer", "ended"}},
		{"streamed response", &backend.Exchange{Batch: simpleQuery(statement.ClassRead, longQuery)}, []string{"gate", "answer", "ended", "answer", "ended"}},
		{"buffered write", &backend.Exchange{Batch: simpleQuery(statement.ClassWrite, "INSERT INTO rolls VALUES ('fern', 1)"), BufferResponse: true}, []string{"ended", "release", "answer"}},
		{"order", &backend.Exchange{Batch: simpleQuery(statement.ClassWrite, "INSERT INTO rolls VALUES ('moss', 1)"), BufferResponse: true, OrderID: "o"}, []string{"ended", "release", "answer"}},
	}
	c := newGroup(t, 1, nil).conn(0, backend.Claim{})
	for _, tc := range cases {
		log := &exchangeLog{}
		tc.x.WantPosition = true
		tc.x.OnBatchEnd = func() { log.record("ended") }
		if tc.x.BufferResponse {
			tc.x.BeforeFlush = func(context.Context, backend.Result) error { log.record("release"); return nil }
		} else {
			tc.x.BeforeFirstByte = func(context.Context) error { log.record("gate"); return nil }
		}
		if _, err := c.Exchange(t.Context(), tc.x, log); err != nil {
			t.Fatalf("%s: %v", tc.name, err)
		}
		if diff := cmp.Diff(tc.want, log.steps); diff != "" {
			t.Errorf("%s: %s", tc.name, diff)
		}
	}
}
