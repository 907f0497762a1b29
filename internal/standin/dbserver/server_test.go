package dbserver

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/goleak"

	"github.com/rattancove/rattancove/internal/cluster"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startServer(t *testing.T, cfg Config) *Server {
	t.Helper()
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func connect(t *testing.T, s *Server) *pgx.Conn {
	t.Helper()
	cfg, err := pgx.ParseConfig("host=server user=u database=d sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	cfg.LookupFunc = func(context.Context, string) ([]string, error) { return []string{"127.0.0.1"}, nil }
	cfg.DialFunc = func(context.Context, string, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		s.ServeConn(serverConn)
		return clientConn, nil
	}
	c, err := pgx.ConnectConfig(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func exec(t *testing.T, c *pgx.Conn, text string, args ...any) string {
	t.Helper()
	tag, err := c.Exec(t.Context(), text, args...)
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return tag.String()
}

func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

func TestPgxExecModes(t *testing.T) {
	c := connect(t, startServer(t, Config{Primary: true}))
	ctx := t.Context()
	exec(t, c, "CREATE TABLE IF NOT EXISTS rows(key TEXT PRIMARY KEY, version BIGINT NOT NULL, value BYTEA, ok BOOLEAN)")
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeExec, pgx.QueryExecModeDescribeExec} {
		key, value := mode.String(), []byte{0, 1, 0xff}
		tag := exec(t, c, "INSERT INTO rows(key, version, value, ok) VALUES ($1, $2, $3, $4)", mode, key, int64(7), value, true)
		if tag != "INSERT 0 1" {
			t.Errorf("%v: tag %s", mode, tag)
		}
		var version int64
		var got []byte
		var ok bool
		err := c.QueryRow(ctx, "SELECT version, value, ok FROM rows WHERE key = $1 AND version = $2", mode, key, int64(7)).Scan(&version, &got, &ok)
		if err != nil || version != 7 || !ok || !cmp.Equal(got, value) {
			t.Errorf("%v: %d %v %v %v", mode, version, got, ok, err)
		}
		tag = exec(t, c, "INSERT INTO rows(key, version) VALUES ($1, 1) ON CONFLICT (key) DO NOTHING", mode, key)
		if tag != "INSERT 0 0" {
			t.Errorf("%v: tag %s", mode, tag)
		}
	}
}

func TestBatchIsOneTransaction(t *testing.T) {
	c := connect(t, startServer(t, Config{Primary: true, Schema: "CREATE TABLE n(i INTEGER PRIMARY KEY)"}))
	batch := &pgx.Batch{}
	batch.Queue("INSERT INTO n VALUES ($1)", 1)
	batch.Queue("INSERT INTO n VALUES ($1)", 2)
	batch.Queue("INSERT INTO n VALUES ($1)", 1)
	if err := c.SendBatch(t.Context(), batch).Close(); sqlState(err) != "23505" {
		t.Fatalf("got %v", err)
	}
	var n int64
	if err := c.QueryRow(t.Context(), "SELECT count(*) FROM n").Scan(&n); err != nil || n != 0 {
		t.Errorf("%d rows, %v", n, err)
	}
}

func TestBinaryCopyFrom(t *testing.T) {
	c := connect(t, startServer(t, Config{Primary: true, Schema: "CREATE TABLE n(i INTEGER PRIMARY KEY, v TEXT, b BYTEA)"}))
	rows := [][]any{{int64(1), "one", []byte{0, 255}}, {int64(2), nil, nil}}
	n, err := c.CopyFrom(t.Context(), pgx.Identifier{"n"}, []string{"i", "v", "b"}, pgx.CopyFromRows(rows))
	if err != nil || n != 2 {
		t.Fatalf("%d rows, %v", n, err)
	}
	var v string
	var b []byte
	if err := c.QueryRow(t.Context(), "SELECT v, b FROM n WHERE i = 1").Scan(&v, &b); err != nil || v != "one" || !cmp.Equal(b, []byte{0, 255}) {
		t.Errorf("%q %v %v", v, b, err)
	}
}

func TestSavepoints(t *testing.T) {
	c := connect(t, startServer(t, Config{Primary: true, Schema: "CREATE TABLE n(i INTEGER PRIMARY KEY)"}))
	err := pgx.BeginFunc(t.Context(), c, func(tx pgx.Tx) error {
		if _, err := tx.Exec(t.Context(), "INSERT INTO n VALUES (1)"); err != nil {
			return err
		}
		err := pgx.BeginFunc(t.Context(), tx, func(inner pgx.Tx) error {
			_, err := inner.Exec(t.Context(), "INSERT INTO n VALUES (1)")
			return err
		})
		if sqlState(err) != "23505" {
			t.Errorf("inner: %v", err)
		}
		_, err = tx.Exec(t.Context(), "INSERT INTO n VALUES (2)")
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if tag := exec(t, c, "DELETE FROM n"); tag != "DELETE 2" {
		t.Error(tag)
	}
}

func TestTransactionsAreIsolated(t *testing.T) {
	s := startServer(t, Config{Primary: true, Schema: "CREATE TABLE n(i INTEGER PRIMARY KEY, v INTEGER); INSERT INTO n VALUES (1, 0), (2, 0)"})
	a, b, reader := connect(t, s), connect(t, s), connect(t, s)
	exec(t, a, "BEGIN")
	exec(t, b, "BEGIN")
	exec(t, a, "UPDATE n SET v = v + 1 WHERE i = 1")
	exec(t, b, "UPDATE n SET v = v + 1 WHERE i = 2")
	var sum int64
	if err := reader.QueryRow(t.Context(), "SELECT sum(v) FROM n").Scan(&sum); err != nil || sum != 0 {
		t.Errorf("reader saw uncommitted sum %d, error %v", sum, err)
	}
	exec(t, a, "COMMIT")
	exec(t, b, "COMMIT")
	if err := reader.QueryRow(t.Context(), "SELECT sum(v) FROM n").Scan(&sum); err != nil || sum != 2 {
		t.Errorf("reader saw sum %d, want 2; error %v", sum, err)
	}
}

func TestConflictingTransactionFails(t *testing.T) {
	s := startServer(t, Config{Primary: true, Schema: "CREATE TABLE n(i INTEGER PRIMARY KEY, v INTEGER); INSERT INTO n VALUES (1, 0)"})
	a, b := connect(t, s), connect(t, s)
	exec(t, a, "BEGIN")
	exec(t, a, "UPDATE n SET v = v + 1 RETURNING v")
	exec(t, b, "UPDATE n SET v = 10 WHERE i = 1")
	if _, err := a.Exec(t.Context(), "COMMIT"); sqlState(err) != "40001" {
		t.Errorf("got %v", err)
	}
}

func TestWriteWaitsForLockOnSameKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t, Config{Primary: true, Schema: "CREATE TABLE n(i INTEGER PRIMARY KEY)"})
		a, b := connect(t, s), connect(t, s)
		exec(t, a, "BEGIN")
		exec(t, a, "INSERT INTO n VALUES (1)")
		var wg sync.WaitGroup
		defer wg.Wait()
		wg.Go(func() {
			time.Sleep(time.Second)
			_, _ = a.Exec(t.Context(), "COMMIT")
		})
		startedAt := time.Now()
		_, err := b.Exec(t.Context(), "INSERT INTO n VALUES (1)")
		if sqlState(err) != "23505" || time.Since(startedAt) != time.Second {
			t.Errorf("got %v after %v", err, time.Since(startedAt))
		}
	})
}

func TestStatementsQueueForSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t, Config{Primary: true, Slots: 1, Connections: 3, ConnectDelay: 12 * time.Millisecond})
		startedAt := time.Now()
		var wg sync.WaitGroup
		for range 3 {
			c := connect(t, s)
			wg.Go(func() {
				_, _ = c.Exec(context.Background(), "SELECT rattan_work($1)", pgx.QueryExecModeExec, 500)
			})
		}
		wg.Wait()
		// The first statement starts after the connect delay of 12 ms; the other two wait for the slot.
		if took := time.Since(startedAt); took != 1512*time.Millisecond {
			t.Errorf("three statements of 500 ms on one slot took %v", took)
		}
	})
}

func TestLockKeys(t *testing.T) {
	args := []value{intValue(9), textValue("fern")}
	cases := []struct {
		a, b command
		same bool
	}{
		{command{SQL: "UPDATE n SET v = ?1 WHERE i = ?2 RETURNING v", Args: args}, command{SQL: "UPDATE n SET v = 3 WHERE i = fern"}, true},
		{command{SQL: "SELECT v FROM n WHERE i = ?2", Args: args}, command{SQL: "DELETE FROM n WHERE i  = ?2", Args: args}, true},
		{command{SQL: "UPDATE n SET v = ?2 WHERE i = ?1", Args: args}, command{SQL: "UPDATE n SET v = ?1 WHERE i = ?2", Args: args}, false},
		{command{SQL: "INSERT INTO n VALUES (?2, ?1)", Args: args}, command{SQL: "INSERT INTO n(i, v) VALUES (fern, 1) ON CONFLICT DO NOTHING"}, true},
		{command{SQL: "INSERT INTO n VALUES (?1)", Args: args}, command{SQL: "INSERT INTO m VALUES (?1)", Args: args}, false},
	}
	for _, tc := range cases {
		if (lockKey(tc.a) == lockKey(tc.b)) != tc.same {
			t.Errorf("%q and %q", lockKey(tc.a), lockKey(tc.b))
		}
	}
}

func TestConcurrentIncrementsAreNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t, Config{Primary: true, Slots: 4, Schema: "CREATE TABLE n(i INTEGER PRIMARY KEY, v INTEGER); INSERT INTO n VALUES (1, 0)"})
		var wg sync.WaitGroup
		for delta := range 8 {
			c := connect(t, s)
			wg.Go(func() {
				for range 5 {
					_, err := c.Exec(t.Context(), "UPDATE n SET v = v + $1 + rattan_work(5) * 0 WHERE i = 1 RETURNING v", delta)
					if err != nil {
						t.Error(err)
					}
				}
			})
		}
		wg.Wait()
		var sum int64
		if err := connect(t, s).QueryRow(t.Context(), "SELECT v FROM n").Scan(&sum); err != nil || sum != 5*28 {
			t.Errorf("%d, %v", sum, err)
		}
	})
}

func TestStateSurvivesRestart(t *testing.T) {
	cfg := Config{ID: "a", Primary: true, Dir: t.TempDir(), Schema: "CREATE TABLE n(i INTEGER PRIMARY KEY)"}
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	exec(t, connect(t, s), "INSERT INTO n VALUES (1)")
	if _, err := s.claim(7, "p1"); err != nil {
		t.Fatal(err)
	}
	before := s.Status()
	s.Close()
	s = startServer(t, cfg)
	if diff := cmp.Diff(before, s.Status()); diff != "" {
		t.Error(diff)
	}
	if _, err := s.seal(2, "w"); err != nil {
		t.Fatal(err)
	}
	s.Close()
	s = startServer(t, cfg)
	if st := s.Status(); st.Role != cluster.RoleSealed || st.Term != 2 || st.SealHolder != "w" {
		t.Errorf("seal was not persisted: %+v", st)
	}
}

func TestFaults(t *testing.T) {
	s := startServer(t, Config{Primary: true})
	stalled := connect(t, s)
	s.StallOpenConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := stalled.Exec(ctx, "SELECT 1"); err == nil {
		t.Error("stalled connection responded")
	}
	conn := connect(t, s)
	exec(t, conn, "SELECT 1")
	s.SetDown(true)
	if _, err := conn.Exec(t.Context(), "SELECT 1"); err == nil {
		t.Error("server that is down responded")
	}
	s.SetDown(false)
	exec(t, connect(t, s), "SELECT 1")
}

func TestConnectionLimits(t *testing.T) {
	s := startServer(t, Config{Primary: true, Connections: 3, ControlConnections: 2})
	cases := []struct {
		data, controls int
		full           bool
		control        bool
	}{
		{data: 2, full: false},
		{data: 3, full: true},
		{data: 3, control: true, full: false},
		{data: 3, controls: 2, control: true, full: true},
		{data: 2, controls: 3, full: true},
		{data: 1, controls: 3, full: false},
	}
	for _, tc := range cases {
		s.mu.Lock()
		clear(s.sessions)
		for i := range tc.data + tc.controls {
			s.sessions[uint32(i)] = &session{control: i >= tc.data}
		}
		full := s.atConnectionLimit(tc.control)
		clear(s.sessions)
		s.mu.Unlock()
		if full != tc.full {
			t.Errorf("%+v: at connection limit is %v", tc, full)
		}
	}
}

func TestReadOnlySettingRefusesWrites(t *testing.T) {
	c := connect(t, startServer(t, Config{Primary: true, Schema: "CREATE TABLE n(i INTEGER PRIMARY KEY)"}))
	exec(t, c, "SET default_transaction_read_only = on")
	if _, err := c.Exec(t.Context(), "INSERT INTO n VALUES (1)"); sqlState(err) != "25006" {
		t.Fatalf("got %v", err)
	}
}

func TestTimerOverrunIsSubtractedFromNextStatements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var timer executionTimer
		timer.overrun = 3 * time.Millisecond
		took := func(d time.Duration) time.Duration {
			startedAt := time.Now()
			timer.wait(t.Context(), d)
			return time.Since(startedAt)
		}
		for i, want := range []time.Duration{0, 9 * time.Millisecond, 10 * time.Millisecond} {
			requested := []time.Duration{2 * time.Millisecond, 10 * time.Millisecond, 10 * time.Millisecond}[i]
			if got := took(requested); got != want {
				t.Errorf("statement %d of %v took %v, want %v", i, requested, got, want)
			}
		}
	})
}
