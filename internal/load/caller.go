package load

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"
)

// callers keeps idle caller connections by proxy, database group and kind. A
// connection that saw an error of its own is closed.
type callers struct {
	addresses []string
	user      string
	password  string
	mu        sync.Mutex
	idle      map[callerKey][]*pgconn.PgConn
}

type callerKey struct {
	proxy int
	group string
	// kind keeps the callers of different kinds of work apart: a connection is
	// a session, and those who browse are not those who order.
	kind string
}

func newCallers(addresses []string, user, password string) *callers {
	return &callers{addresses: addresses, user: user, password: password, idle: map[callerKey][]*pgconn.PgConn{}}
}

func (c *callers) get(ctx context.Context, key callerKey) (*pgconn.PgConn, error) {
	c.mu.Lock()
	if list := c.idle[key]; len(list) > 0 {
		conn := list[len(list)-1]
		c.idle[key] = list[:len(list)-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	return c.dial(ctx, key)
}

func (c *callers) dial(ctx context.Context, key callerKey) (*pgconn.PgConn, error) {
	address := c.addresses[key.proxy]
	conn, err := pgconn.Connect(ctx, connString(address, c.user, c.password, key.group))
	return conn, eris.Wrapf(err, "connect to proxy %s", address)
}

func connString(address, user, password, group string) string {
	host, port, _ := strings.Cut(address, ":")
	dsn := fmt.Sprintf("host=%s port=%s user=%s dbname=%s sslmode=disable", host, port, user, group)
	if password != "" {
		dsn += " password=" + password
	}
	return dsn
}

func (c *callers) put(key callerKey, conn *pgconn.PgConn) {
	if conn.IsClosed() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[key] = append(c.idle[key], conn)
}

func (c *callers) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, list := range c.idle {
		for _, conn := range list {
			_ = conn.Close(ctx)
		}
	}
	c.idle = nil
}

// exec runs one statement and returns the text rows of its answer.
func (c *callers) exec(ctx context.Context, key callerKey, sql string) ([][][]byte, error) {
	conn, err := c.get(ctx, key)
	if err != nil {
		return nil, err
	}
	results, err := conn.Exec(ctx, sql).ReadAll()
	c.put(key, conn)
	if err != nil {
		return nil, err
	}
	if len(results) == 0 {
		return nil, nil
	}
	return results[0].Rows, nil
}

// Outcome is how a request ended as its caller saw it.
type Outcome string

// Outcomes.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeFailed  Outcome = "failed"
)

// classify reads the outcome from the error's detail.
func classify(err error) Outcome {
	if err == nil {
		return OutcomeDone
	}
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		return OutcomeFailed
	}
	switch {
	case strings.Contains(pgErr.Detail, "outcome: not run"):
		return OutcomeNotRun
	case strings.Contains(pgErr.Detail, "outcome: unknown"):
		return OutcomeUnknown
	default:
		return OutcomeFailed
	}
}
