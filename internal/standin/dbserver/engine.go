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
	_ "modernc.org/sqlite" // registers the "sqlite" driver
)

// maxReaderConns is the maximum number of concurrent reads per engine.
const maxReaderConns = 8

const databaseOptions = "?_busy_timeout=5000&_journal_mode=WAL&_synchronous=OFF"

// baseSchema is created on every server before any log record is replayed.
const baseSchema = `CREATE TABLE rattan_orders(order_id TEXT PRIMARY KEY, digest TEXT, answer BLOB)`

// command is a statement with its arguments, as stored in the log.
type command struct {
	SQL  string  `json:"sql"`
	Args []value `json:"args,omitempty"`
}

// result is the result of a statement.
type result struct {
	columns []column
	rows    [][]any
	// rowCount is the number of rows returned or affected.
	rowCount int64
}

// column describes a result column. The declared type is empty for expressions.
type column struct {
	name         string
	declaredType string
}

// transaction is an open write transaction. It is guarded by the engine's
// writer lock.
type transaction struct {
	commands []command
	// resultDigests holds the digest of each command's result.
	resultDigests []string
	// failure, once set, is returned by every further use.
	failure error
}

// engine is the SQLite database of one server, with a single writer connection
// and a pool of reader connections.
type engine struct {
	dir        string
	fileNumber int
	writerLock chan struct{}
	readers    atomic.Pointer[sql.DB]
	writerDB   *sql.DB
	writer     *sql.Conn
	// active is the transaction that is open on the writer connection.
	active *transaction
}

func newEngine(dir string) (*engine, error) {
	stalePaths, err := filepath.Glob(filepath.Join(dir, "rows-*"))
	if err != nil {
		return nil, eris.Wrap(err, "find database files of earlier runs")
	}
	for _, path := range stalePaths {
		_ = os.Remove(path)
	}
	e := &engine{dir: dir, writerLock: make(chan struct{}, 1)}
	return e, e.reset()
}

// reset replaces the database with an empty one. The caller holds the writer
// lock, unless the engine is not yet shared.
func (e *engine) reset() error {
	e.close()
	e.fileNumber++
	path := filepath.Join(e.dir, fmt.Sprintf("rows-%d.db", e.fileNumber))
	db, err := sql.Open("sqlite", path+databaseOptions)
	if err != nil {
		return eris.Wrap(err, "open database")
	}
	writer, err := db.Conn(context.Background())
	if err != nil {
		return eris.Wrap(err, "open writer connection")
	}
	if _, err = writer.ExecContext(context.Background(), baseSchema); err != nil {
		return eris.Wrap(err, "create schema")
	}
	readers, err := sql.Open("sqlite", path+databaseOptions)
	if err != nil {
		return eris.Wrap(err, "open reader connections")
	}
	readers.SetMaxOpenConns(maxReaderConns)
	readers.SetMaxIdleConns(maxReaderConns)
	e.writerDB, e.writer, e.active = db, writer, nil
	e.readers.Store(readers)
	return nil
}

func (e *engine) close() {
	if e.writerDB == nil {
		return
	}
	_ = e.readers.Load().Close()
	_ = e.writer.Close()
	_ = e.writerDB.Close()
	path := filepath.Join(e.dir, fmt.Sprintf("rows-%d.db", e.fileNumber))
	for _, suffix := range []string{"", "-wal", "-shm"} {
		_ = os.Remove(path + suffix)
	}
}

// read runs a query on committed data.
func (e *engine) read(ctx context.Context, c command) (*result, error) {
	conn, err := e.readers.Load().Conn(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return queryOrExecute(ctx, conn, c)
}

// acquireWriter acquires exclusive use of the writer connection.
func (e *engine) acquireWriter(ctx context.Context) error {
	select {
	case e.writerLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *engine) releaseWriter() { <-e.writerLock }

// run executes c within t. If record is set, c becomes part of the transaction's
// log record and is repeated whenever t is executed again.
func (e *engine) run(ctx context.Context, t *transaction, c command, record bool) (*result, error) {
	if err := e.acquireWriter(ctx); err != nil {
		return nil, err
	}
	defer e.releaseWriter()
	if err := e.activate(t); err != nil {
		return nil, err
	}
	r, err := runUninterrupted(e.writer, c)
	if err != nil {
		return nil, err
	}
	if record {
		t.commands = append(t.commands, c)
		t.resultDigests = append(t.resultDigests, r.digest())
	}
	return r, nil
}

// activate makes t the transaction that is open on the writer. If another one
// was active, it is rolled back there, and the commands of t are executed again;
// t fails with SQLSTATE 40001 if a result differs. The caller holds the writer
// lock.
func (e *engine) activate(t *transaction) error {
	if t.failure != nil {
		return t.failure
	}
	if e.active == t {
		return nil
	}
	if err := e.rollbackActive(); err != nil {
		return err
	}
	if _, err := runUninterrupted(e.writer, command{SQL: "BEGIN IMMEDIATE"}); err != nil {
		return err
	}
	e.active = t
	for i, c := range t.commands {
		r, err := runUninterrupted(e.writer, c)
		if err != nil || r.digest() != t.resultDigests[i] {
			t.failure = newError("40001", "could not serialize access due to concurrent update")
			_ = e.rollbackActive()
			return t.failure
		}
	}
	return nil
}

// rollbackActive rolls back the transaction that is open on the writer, if any.
// The caller holds the writer lock.
func (e *engine) rollbackActive() error {
	if e.active == nil {
		return nil
	}
	e.active = nil
	_, err := runUninterrupted(e.writer, command{SQL: "ROLLBACK"})
	return err
}

// commit commits t. It calls checkAllowed first, whose error aborts t, and
// onCommitted after the commit, both while holding the writer lock.
func (e *engine) commit(ctx context.Context, t *transaction, checkAllowed func() error, onCommitted func([]command)) error {
	if err := e.acquireWriter(ctx); err != nil {
		return err
	}
	defer e.releaseWriter()
	if err := e.activate(t); err != nil {
		return err
	}
	if err := checkAllowed(); err != nil {
		t.failure = err
		_ = e.rollbackActive()
		return err
	}
	if _, err := runUninterrupted(e.writer, command{SQL: "COMMIT"}); err != nil {
		_ = e.rollbackActive()
		return err
	}
	e.active = nil
	onCommitted(t.commands)
	return nil
}

// abort rolls t back and makes every later use of it fail with err.
func (e *engine) abort(t *transaction, err error) {
	_ = e.acquireWriter(context.Background())
	defer e.releaseWriter()
	if t.failure == nil {
		t.failure = err
	}
	if e.active == t {
		_ = e.rollbackActive()
	}
}

// apply executes and commits the commands of one log record. The caller holds
// the writer lock.
func (e *engine) apply(commands []command) error {
	if len(commands) == 0 {
		return nil
	}
	if err := e.rollbackActive(); err != nil {
		return err
	}
	statements := slices.Concat([]command{{SQL: "BEGIN IMMEDIATE"}}, commands, []command{{SQL: "COMMIT"}})
	for _, c := range statements {
		if _, err := runUninterrupted(e.writer, c); err != nil {
			_, _ = runUninterrupted(e.writer, command{SQL: "ROLLBACK"})
			return eris.Wrapf(err, "apply log record: execute %q", c.SQL)
		}
	}
	return nil
}

// runUninterrupted executes c without a cancelable context, so that a write is
// never interrupted.
func runUninterrupted(conn *sql.Conn, c command) (*result, error) {
	return queryOrExecute(context.Background(), conn, c)
}

func queryOrExecute(ctx context.Context, conn *sql.Conn, c command) (*result, error) {
	args := make([]any, len(c.Args))
	for i, a := range c.Args {
		args[i] = a.sqlArg()
	}
	if !returnsRows(c.SQL) {
		return executeStatement(ctx, conn, c.SQL, args)
	}
	rows, err := conn.QueryContext(ctx, c.SQL, args...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rows.Close() }()
	return scanRows(rows)
}

func executeStatement(ctx context.Context, conn *sql.Conn, text string, args []any) (*result, error) {
	outcome, err := conn.ExecContext(ctx, text, args...)
	if err != nil {
		return nil, err
	}
	n, err := outcome.RowsAffected()
	return &result{rowCount: n}, err
}

func scanRows(rows *sql.Rows) (*result, error) {
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	r := &result{}
	for _, t := range types {
		r.columns = append(r.columns, column{name: t.Name(), declaredType: t.DatabaseTypeName()})
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
	r.rowCount = int64(len(r.rows))
	return r, rows.Err()
}

// digest returns a string that is equal for equal results.
func (r *result) digest() string { return fmt.Sprintf("%d %v", r.rowCount, r.rows) }
