package integration

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
)

const (
	// statementTimeout bounds one statement.
	statementTimeout = 5 * time.Second
	// attemptTimeout bounds one try to place an order, also with a paused proxy.
	attemptTimeout = time.Second
)

// connect opens a connection of customer shop to a proxy.
func (f *fleet) connect(ctx context.Context, proxy int) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://shop-web@%s/orders-1?sslmode=disable", f.callers[proxy]))
	if err != nil {
		return nil, err
	}
	config.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	return pgx.ConnectConfig(ctx, config)
}

// execute runs one statement through a proxy on a new connection.
func (f *fleet) execute(ctx context.Context, proxy int, sql string) error {
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	conn, err := f.connect(ctx, proxy)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, sql)
	return err
}

// orders places orders one after another, each under its own id and again
// until it is acknowledged, now through one proxy and now through another.
type orders struct {
	fleet  *fleet
	prefix string
	cancel context.CancelFunc
	done   sync.WaitGroup
	acked  atomic.Int64
}

func (f *fleet) placeOrders(prefix string) *orders {
	ctx, cancel := context.WithCancel(f.t.Context())
	o := &orders{fleet: f, prefix: prefix, cancel: cancel}
	o.done.Go(func() { o.run(ctx) })
	return o
}

func (o *orders) run(ctx context.Context) {
	proxy := 0
	for n := 0; ctx.Err() == nil; n++ {
		id := o.id(int64(n))
		sql := fmt.Sprintf("/*rattancove.rank='urgent',rattancove.order_id='%s'*/ INSERT INTO press_orders VALUES ('%s')", id, id)
		for ctx.Err() == nil {
			proxy = (proxy + 1) % proxyCount
			if o.attempt(ctx, proxy, sql) == nil {
				o.acked.Add(1)
				break
			}
		}
	}
}

func (o *orders) id(n int64) string { return fmt.Sprintf("%s-%d", o.prefix, n) }

func (o *orders) attempt(ctx context.Context, proxy int, sql string) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return o.fleet.execute(ctx, proxy, sql)
}

// progress waits until more orders are acknowledged.
func (o *orders) progress(more int64) {
	o.fleet.t.Helper()
	target := o.acked.Load() + more
	o.fleet.eventually(fmt.Sprintf("%d more orders", more), func() bool { return o.acked.Load() >= target })
}

// check ends the orders and checks that each acknowledged one is there once.
func (o *orders) check() {
	f := o.fleet
	f.t.Helper()
	o.cancel()
	o.done.Wait()
	ctx, cancel := context.WithTimeout(f.t.Context(), statementTimeout)
	defer cancel()
	conn, err := f.connect(ctx, 0)
	if err != nil {
		f.t.Fatal(err)
	}
	defer conn.Close(context.WithoutCancel(ctx))
	rows, err := conn.Query(ctx, "/*rattancove.freshness='latest'*/ SELECT id FROM press_orders")
	if err != nil {
		f.t.Fatal(err)
	}
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err != nil {
		f.t.Fatal(err)
	}
	count := map[string]int{}
	for _, id := range ids {
		count[strings.TrimSpace(id)]++
	}
	for n := range o.acked.Load() {
		if id := o.id(n); count[id] != 1 {
			f.t.Errorf("%s was acknowledged once and is there %d times", id, count[id])
		}
	}
	for id, n := range count {
		if n > 1 {
			f.t.Errorf("%s is there %d times", id, n)
		}
	}
}
