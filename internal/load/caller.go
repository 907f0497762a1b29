package load

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"
)

// connPool holds idle caller connections by proxy, database group and kind of
// request. A connection that fails is closed and not reused.
type connPool struct {
	addresses []string
	user      string
	password  string
	// rerouted counts connections that were opened at a different proxy because
	// the requested one refused them.
	rerouted atomic.Int64
	mu       sync.Mutex
	idle     map[poolKey][]*pgconn.PgConn
}

type poolKey struct {
	proxy int
	group string
	// kind gives each kind of request its own connections: a connection is a
	// session, and the callers that browse are not those that order.
	kind string
}

func newConnPool(addresses []string, user, password string) *connPool {
	return &connPool{addresses: addresses, user: user, password: password, idle: map[poolKey][]*pgconn.PgConn{}}
}

func (p *connPool) get(ctx context.Context, key poolKey) (*pgconn.PgConn, error) {
	p.mu.Lock()
	if list := p.idle[key]; len(list) > 0 {
		conn := list[len(list)-1]
		p.idle[key] = list[:len(list)-1]
		p.mu.Unlock()
		return conn, nil
	}
	p.mu.Unlock()
	return p.connect(ctx, key)
}

// connect opens a connection to the proxy or, as a load balancer would, to the
// next one that accepts it. This is safe because no request has been sent when
// a proxy refuses the connection.
func (p *connPool) connect(ctx context.Context, key poolKey) (*pgconn.PgConn, error) {
	var firstErr error
	for i := range p.addresses {
		candidate := key
		candidate.proxy = (key.proxy + i) % len(p.addresses)
		conn, err := p.dial(ctx, candidate)
		if err == nil {
			if i > 0 {
				p.rerouted.Add(1)
			}
			return conn, nil
		}
		if firstErr == nil {
			firstErr = err
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
	}
	return nil, firstErr
}

func (p *connPool) dial(ctx context.Context, key poolKey) (*pgconn.PgConn, error) {
	address := p.addresses[key.proxy]
	conn, err := pgconn.Connect(ctx, connString(address, p.user, p.password, key.group))
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

func (p *connPool) put(key poolKey, conn *pgconn.PgConn) {
	if conn.IsClosed() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], conn)
}

func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, list := range p.idle {
		for _, conn := range list {
			_ = conn.Close(ctx)
		}
	}
	p.idle = nil
}

// exec runs one statement and returns its result rows in text format.
func (p *connPool) exec(ctx context.Context, key poolKey, sql string) ([][][]byte, error) {
	conn, err := p.get(ctx, key)
	if err != nil {
		return nil, err
	}
	results, err := conn.Exec(ctx, sql).ReadAll()
	p.put(key, conn)
	if err != nil {
		return nil, err
	}
	if len(results) == 0 {
		return nil, nil
	}
	return results[0].Rows, nil
}

// Outcome is the result of a request as observed by its caller.
type Outcome string

// Outcomes.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeFailed  Outcome = "failed"
	// OutcomeAbandoned is a flood request that had no response at the end of the
	// grace period after its phase.
	OutcomeAbandoned Outcome = "cut"
	// OutcomeNotSent is a flood request that was dropped because the load
	// generator already had the maximum number of them in flight.
	OutcomeNotSent Outcome = "not_sent"
)

// classify derives the outcome from the detail field of the error.
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

// errorLabel returns the key under which an error is counted.
func errorLabel(err error) string {
	var pgErr *pgconn.PgError
	switch {
	case errors.As(err, &pgErr):
		return "SQLSTATE " + pgErr.Code
	case errors.Is(err, context.DeadlineExceeded):
		return "no answer in time"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "connection refused"
	default:
		return "connection ended"
	}
}
