package pgtable

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgxpool"
	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/provider"
	"github.com/rattancove/rattancove/internal/settings"
	"github.com/rattancove/rattancove/internal/tlskeys"
)

// The statements only require the extended query protocol with text parameters, and
// no prepared statements.
const (
	createSQL = `CREATE TABLE IF NOT EXISTS rattan_rows (key TEXT PRIMARY KEY, version BIGINT NOT NULL, value BYTEA NOT NULL)`
	getSQL    = `SELECT version, value FROM rattan_rows WHERE key = $1`
	listSQL   = `SELECT key, version, value FROM rattan_rows WHERE substr(key, 1, $2) = $1`
	insertSQL = `INSERT INTO rattan_rows (key, version, value) VALUES ($1, 1, $2) ON CONFLICT (key) DO NOTHING`
	updateSQL = `UPDATE rattan_rows SET version = version + 1, value = $3 WHERE key = $1 AND version = $2`
	deleteSQL = `DELETE FROM rattan_rows WHERE key = $1 AND version = $2`
)

const (
	undefinedTable       = "42P01"
	serializationFailure = "40001"
	deadlockDetected     = "40P01"
	// maxConnections is the maximum number of connections of one process to the table
	// service.
	maxConnections = 2
)

// Table implements provider.Table. It owns a small connection pool.
type Table struct {
	pool *pgxpool.Pool
}

var _ provider.Table = (*Table)(nil)

// Open creates the pool. It does not connect, so that a process can start while the
// service is unavailable. Keys may be nil for a connection without TLS.
func Open(s settings.Table, keys *tlskeys.Keys) (*Table, error) {
	config, err := pgxpool.ParseConfig(s.DSN.Reveal())
	if err != nil {
		return nil, eris.New("cannot parse the DSN of the table service")
	}
	if err := applyConnectionSettings(s, config); err != nil {
		return nil, err
	}
	config.MaxConns = maxConnections
	config.ConnConfig.DefaultQueryExecMode = pgx.QueryExecModeExec
	if keys != nil {
		config.BeforeConnect = func(_ context.Context, c *pgx.ConnConfig) error {
			c.TLSConfig = keys.Client(c.Host)
			return nil
		}
	}
	pool, err := pgxpool.NewWithConfig(context.Background(), config)
	if err != nil {
		return nil, eris.Wrap(err, "open table service")
	}
	return &Table{pool: pool}, nil
}

// applyConnectionSettings applies the settings that override the DSN.
func applyConnectionSettings(s settings.Table, config *pgxpool.Config) error {
	c := config.ConnConfig
	if s.Address != "" {
		host, port, err := splitAddress(s.Address)
		if err != nil {
			return err
		}
		c.Host, c.Port = host, port
		c.User, c.Database = s.User, s.Database
		c.TLSConfig, c.Fallbacks = nil, nil
	}
	if s.Password != "" {
		c.Password = s.Password.Reveal()
	}
	return nil
}

// Close closes all connections.
func (t *Table) Close() { t.pool.Close() }

// Get implements provider.Table.
func (t *Table) Get(ctx context.Context, key string) (provider.Row, error) {
	row := provider.Row{Key: key}
	err := t.createTableAndRetry(ctx, func() error {
		return t.pool.QueryRow(ctx, getSQL, key).Scan(&row.Version, &row.Value)
	})
	if errors.Is(err, pgx.ErrNoRows) {
		return provider.Row{}, provider.ErrNotFound
	}
	if err != nil {
		return provider.Row{}, eris.Wrap(err, "get row")
	}
	return row, nil
}

// List implements provider.Table.
func (t *Table) List(ctx context.Context, prefix string) ([]provider.Row, error) {
	var rows []provider.Row
	err := t.createTableAndRetry(ctx, func() error {
		result, err := t.pool.Query(ctx, listSQL, prefix, int32(len([]rune(prefix))))
		if err != nil {
			return err
		}
		rows, err = pgx.CollectRows(result, scanRow)
		return err
	})
	if err != nil {
		return nil, eris.Wrap(err, "list rows")
	}
	slices.SortFunc(rows, func(a, b provider.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

func scanRow(r pgx.CollectableRow) (provider.Row, error) {
	var row provider.Row
	err := r.Scan(&row.Key, &row.Version, &row.Value)
	return row, err
}

// Commit implements provider.Table.
func (t *Table) Commit(ctx context.Context, writes ...provider.Write) ([]uint64, error) {
	sorted := slices.Clone(writes)
	// All writers lock rows in the same order, which prevents deadlocks.
	slices.SortFunc(sorted, func(a, b provider.Write) int { return cmp.Compare(a.Key, b.Key) })
	err := t.createTableAndRetry(ctx, func() error {
		return pgx.BeginFunc(ctx, t.pool, func(tx pgx.Tx) error { return applyWrites(ctx, tx, sorted) })
	})
	switch {
	case err == nil:
		return provider.NextVersions(writes), nil
	case errors.Is(err, provider.ErrConflict), hasSQLState(err, serializationFailure), hasSQLState(err, deadlockDetected):
		return nil, provider.ErrConflict
	default:
		return nil, eris.Wrap(err, "commit rows")
	}
}

func applyWrites(ctx context.Context, tx pgx.Tx, writes []provider.Write) error {
	for _, w := range writes {
		if err := applyWrite(ctx, tx, w); err != nil {
			return err
		}
	}
	return nil
}

func applyWrite(ctx context.Context, tx pgx.Tx, w provider.Write) error {
	value := w.Value
	if value == nil {
		value = []byte{}
	}
	switch {
	case w.Delete && w.IfVersion == 0:
		if err := execOneRow(ctx, tx, insertSQL, w.Key, []byte{}); err != nil {
			return err
		}
		return execOneRow(ctx, tx, deleteSQL, w.Key, int64(1))
	case w.Delete:
		return execOneRow(ctx, tx, deleteSQL, w.Key, int64(w.IfVersion))
	case w.IfVersion == 0:
		return execOneRow(ctx, tx, insertSQL, w.Key, value)
	default:
		return execOneRow(ctx, tx, updateSQL, w.Key, int64(w.IfVersion), value)
	}
}

// execOneRow runs a statement that must change exactly one row; otherwise it returns
// provider.ErrConflict.
func execOneRow(ctx context.Context, tx pgx.Tx, sql string, args ...any) error {
	tag, err := tx.Exec(ctx, sql, args...)
	if err != nil {
		return err
	}
	if tag.RowsAffected() != 1 {
		return provider.ErrConflict
	}
	return nil
}

// createTableAndRetry calls fn. If the table does not exist, it creates the table
// and calls fn once more.
func (t *Table) createTableAndRetry(ctx context.Context, fn func() error) error {
	err := fn()
	if !hasSQLState(err, undefinedTable) {
		return err
	}
	if _, err := t.pool.Exec(ctx, createSQL); err != nil {
		return eris.Wrap(err, "create table")
	}
	return fn()
}

func hasSQLState(err error, code string) bool {
	var pgErr *pgconn.PgError
	return errors.As(err, &pgErr) && pgErr.Code == code
}
