package dbserver

import (
	"context"
	"database/sql"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"

	"github.com/rotisserie/eris"
	_ "modernc.org/sqlite" // registers the database driver
)

// readerConns bounds the concurrent reads of one engine.
const readerConns = 8

const engineOptions = "?_busy_timeout=5000&_journal_mode=WAL&_synchronous=OFF"

// baseSchema exists on every server before the first log record.
const baseSchema = `CREATE TABLE rattan_orders(order_id TEXT PRIMARY KEY, digest TEXT, answer BLOB)`

// command is one statement with its arguments, as kept in the log.
type command struct {
	SQL  string  `json:"sql"`
	Args []value `json:"args,omitempty"`
}

// result is the outcome of one statement.
type result struct {
	columns  []column
	rows     [][]any
	affected int64
}

// column describes one result column. Decl is the declared type, empty for
// expressions.
type column struct {
	name string
	decl string
}

// transaction is an open write transaction. The engine's lock guards it.
type transaction struct {
	commands []command
	results  []string
	err      error
}

// engine keeps the rows of one server: one writer and a pool of readers.
type engine struct {
	dir     string
	files   int
	lock    chan struct{}
	readers atomic.Pointer[sql.DB]
	db      *sql.DB
	writer  *sql.Conn
	// current is the transaction whose commands are applied on the writer.
	current *transaction
}

func newEngine(dir string) (*engine, error) {
	old, err := filepath.Glob(filepath.Join(dir, "rows-*"))
	if err != nil {
		return nil, eris.Wrap(err, "look for old databases")
	}
	for _, path := range old {
		_ = os.Remove(path)
	}
	e := &engine{dir: dir, lock: make(chan struct{}, 1)}
	return e, e.reset()
}

// reset replaces the database by an empty one. The caller holds the lock or is
// the only user.
func (e *engine) reset() error {
	e.close()
	e.files++
	path := filepath.Join(e.dir, fmt.Sprintf("rows-%d.db", e.files))
	db, err := sql.Open("sqlite", path+engineOptions)
	if err != nil {
		return eris.Wrap(err, "open database")
	}
	writer, err := db.Conn(context.Background())
	if err != nil {
		return eris.Wrap(err, "open writer")
	}
	if _, err = writer.ExecContext(context.Background(), baseSchema); err != nil {
		return eris.Wrap(err, "create schema")
	}
	readers, err := sql.Open("sqlite", path+engineOptions)
	if err != nil {
		return eris.Wrap(err, "open readers")
	}
	readers.SetMaxOpenConns(readerConns)
	readers.SetMaxIdleConns(readerConns)
	e.db, e.writer, e.current = db, writer, nil
	e.readers.Store(readers)
	return nil
}

func (e *engine) close() {
	if e.db == nil {
		return
	}
	_ = e.readers.Load().Close()
	_ = e.writer.Close()
	_ = e.db.Close()
	path := filepath.Join(e.dir, fmt.Sprintf("rows-%d.db", e.files))
	for _, suffix := range []string{"", "-wal", "-shm"} {
		_ = os.Remove(path + suffix)
	}
}

// read runs a query on the committed rows.
func (e *engine) read(ctx context.Context, c command) (*result, error) {
	conn, err := e.readers.Load().Conn(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return query(ctx, conn, c)
}

// acquire takes the writer.
func (e *engine) acquire(ctx context.Context) error {
	select {
	case e.lock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *engine) release() { <-e.lock }

// run executes c inside t and records it when record is set.
func (e *engine) run(ctx context.Context, t *transaction, c command, record bool) (*result, error) {
	if err := e.acquire(ctx); err != nil {
		return nil, err
	}
	defer e.release()
	if err := e.enter(t); err != nil {
		return nil, err
	}
	r, err := runOn(e.writer, c)
	if err != nil {
		return nil, err
	}
	if record {
		t.commands = append(t.commands, c)
		t.results = append(t.results, r.digest())
	}
	return r, nil
}

// enter brings the writer into the state that t has reached. The caller holds the lock.
func (e *engine) enter(t *transaction) error {
	if t.err != nil {
		return t.err
	}
	if e.current == t {
		return nil
	}
	if err := e.leave(); err != nil {
		return err
	}
	if _, err := runOn(e.writer, command{SQL: "BEGIN IMMEDIATE"}); err != nil {
		return err
	}
	e.current = t
	for i, c := range t.commands {
		r, err := runOn(e.writer, c)
		if err != nil || r.digest() != t.results[i] {
			t.err = newError("40001", "could not serialize access due to concurrent update")
			_ = e.leave()
			return t.err
		}
	}
	return nil
}

// leave rolls the writer back to the committed rows. The caller holds the lock.
func (e *engine) leave() error {
	if e.current == nil {
		return nil
	}
	e.current = nil
	_, err := runOn(e.writer, command{SQL: "ROLLBACK"})
	return err
}

// commit makes t permanent. The function allow runs just before and its error
// prevents the commit; done runs just after, in the same critical section.
func (e *engine) commit(ctx context.Context, t *transaction, allow func() error, done func([]command)) error {
	if err := e.acquire(ctx); err != nil {
		return err
	}
	defer e.release()
	if err := e.enter(t); err != nil {
		return err
	}
	if err := allow(); err != nil {
		t.err = err
		_ = e.leave()
		return err
	}
	if _, err := runOn(e.writer, command{SQL: "COMMIT"}); err != nil {
		_ = e.leave()
		return err
	}
	e.current = nil
	done(t.commands)
	return nil
}

// abort makes every later use of t fail with err.
func (e *engine) abort(t *transaction, err error) {
	_ = e.acquire(context.Background())
	defer e.release()
	if t.err == nil {
		t.err = err
	}
	if e.current == t {
		_ = e.leave()
	}
}

// apply runs the commands of one log record and commits them. The caller holds the lock.
func (e *engine) apply(commands []command) error {
	if len(commands) == 0 {
		return nil
	}
	if err := e.leave(); err != nil {
		return err
	}
	all := slices.Concat([]command{{SQL: "BEGIN IMMEDIATE"}}, commands, []command{{SQL: "COMMIT"}})
	for _, c := range all {
		if _, err := runOn(e.writer, c); err != nil {
			_, _ = runOn(e.writer, command{SQL: "ROLLBACK"})
			return eris.Wrapf(err, "apply %q", c.SQL)
		}
	}
	return nil
}

// runOn executes c to its end; a write is never interrupted in the middle.
func runOn(conn *sql.Conn, c command) (*result, error) {
	return query(context.Background(), conn, c)
}

func query(ctx context.Context, conn *sql.Conn, c command) (*result, error) {
	args := make([]any, len(c.Args))
	for i, a := range c.Args {
		args[i] = a.native()
	}
	if !returnsRows(c.SQL) {
		return execute(ctx, conn, c.SQL, args)
	}
	rows, err := conn.QueryContext(ctx, c.SQL, args...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rows.Close() }()
	return collect(rows)
}

func execute(ctx context.Context, conn *sql.Conn, text string, args []any) (*result, error) {
	done, err := conn.ExecContext(ctx, text, args...)
	if err != nil {
		return nil, err
	}
	n, err := done.RowsAffected()
	return &result{affected: n}, err
}

func collect(rows *sql.Rows) (*result, error) {
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	r := &result{}
	for _, t := range types {
		r.columns = append(r.columns, column{name: t.Name(), decl: t.DatabaseTypeName()})
	}
	for rows.Next() {
		row := make([]any, len(types))
		targets := make([]any, len(types))
		for i := range row {
			targets[i] = &row[i]
		}
		if err := rows.Scan(targets...); err != nil {
			return nil, err
		}
		r.rows = append(r.rows, row)
	}
	r.affected = int64(len(r.rows))
	return r, rows.Err()
}

// digest is equal for equal results.
func (r *result) digest() string { return fmt.Sprintf("%d %v", r.affected, r.rows) }
