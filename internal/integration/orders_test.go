package integration

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
)

const (
	// statementTimeout bounds a statement together with its connection.
	statementTimeout = 30 * time.Second
	// orderTimeout bounds one attempt to place an order, as a paused proxy never
	// answers.
	orderTimeout = time.Second
	// orderInterval is the pause between the orders of one writer.
	orderInterval = 20 * time.Millisecond
	// readEvery is the number of orders of a writer per read of its latest order
	// through another proxy.
	readEvery = 5
)

// connect opens a connection to a group through a proxy as the group's customer.
func (f *fleet) connect(ctx context.Context, proxy, group int) (*pgx.Conn, error) {
	_, user := customerAndUser(group)
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", user, f.callerAddresses[proxy], groupName(group)))
	if err != nil {
		return nil, err
	}
	config.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	return pgx.ConnectConfig(ctx, config)
}

// query runs a statement on a new connection through a proxy and returns the first
// column.
func (f *fleet) query(ctx context.Context, proxy, group int, sql string) ([]string, error) {
	conn, err := f.connect(ctx, proxy, group)
	if err != nil {
		return nil, err
	}
	defer conn.Close(ctx)
	rows, err := conn.Query(ctx, sql)
	if err != nil {
		return nil, err
	}
	return pgx.CollectRows(rows, pgx.RowTo[string])
}

// execute runs a statement on a new connection through a proxy.
func (f *fleet) execute(ctx context.Context, proxy, group int, sql string) error {
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	conn, err := f.connect(ctx, proxy, group)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, sql)
	return err
}

// createTable creates the table of orders as soon as the group accepts writes.
func (f *fleet) createTable(group int) {
	f.t.Helper()
	f.eventually("the table of orders", func() bool {
		return f.execute(f.t.Context(), 0, group, "CREATE TABLE IF NOT EXISTS press_orders (id TEXT)") == nil
	})
}

// orderWorkload places orders through all proxies in turn. Each order has its own
// id and is sent again, through the next proxy, until it is acknowledged.
type orderWorkload struct {
	fleet   *fleet
	group   int
	prefix  string
	cancel  context.CancelFunc
	writers sync.WaitGroup

	mu           sync.Mutex
	acknowledged []acknowledgedOrder
	reads        int
	staleReads   []string
}

// acknowledgedOrder is an order with the times of its first attempt and of its
// acknowledgement.
type acknowledgedOrder struct {
	id             string
	started, acked time.Time
}

func (f *fleet) startOrders(group int, prefix string, writers int) *orderWorkload {
	ctx, cancel := context.WithCancel(f.t.Context())
	o := &orderWorkload{fleet: f, group: group, prefix: prefix, cancel: cancel}
	for writer := range writers {
		o.writers.Go(func() { o.runWriter(ctx, writer) })
	}
	return o
}

func (o *orderWorkload) runWriter(ctx context.Context, writer int) {
	session := fmt.Sprintf("%s-%d", o.prefix, writer)
	proxy := writer
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", session, n)
		started := time.Now()
		for !o.tryOrder(ctx, proxy, session, id) {
			if ctx.Err() != nil {
				return
			}
			proxy = (proxy + 1) % proxyCount
		}
		o.record(acknowledgedOrder{id: id, started: started, acked: time.Now()})
		proxy = (proxy + 1) % proxyCount
		if n%readEvery == 0 {
			o.readOwnWrite(ctx, proxy, session, id)
		}
		time.Sleep(orderInterval)
	}
}

func (o *orderWorkload) record(p acknowledgedOrder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acknowledged = append(o.acknowledged, p)
}

// tryOrder makes one attempt and reports whether the order was acknowledged.
func (o *orderWorkload) tryOrder(ctx context.Context, proxy int, session, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sql := fmt.Sprintf("/*rattancove.rank='urgent',rattancove.session='%s',rattancove.order_id='%s'*/ INSERT INTO press_orders VALUES ('%s')",
		session, id, id)
	return o.fleet.execute(ctx, proxy, o.group, sql) == nil
}

// readOwnWrite reads an acknowledged order back in its session. Failed reads are
// not counted.
func (o *orderWorkload) readOwnWrite(ctx context.Context, proxy int, session, id string) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sql := fmt.Sprintf("/*rattancove.session='%s'*/ SELECT id FROM press_orders WHERE id = '%s'", session, id)
	rows, err := o.fleet.query(ctx, proxy, o.group, sql)
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reads++
	if len(rows) == 0 {
		o.staleReads = append(o.staleReads, id)
	}
}

func (o *orderWorkload) acknowledgedCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.acknowledged)
}

// awaitMore waits until the given number of further orders is acknowledged.
func (o *orderWorkload) awaitMore(more int) {
	o.fleet.t.Helper()
	target := o.acknowledgedCount() + more
	o.fleet.eventually(fmt.Sprintf("%d more orders", more), func() bool { return o.acknowledgedCount() >= target })
}

// orderCounts counts orders, reads and violated guarantees.
type orderCounts struct {
	Acknowledged int `json:"acknowledged"`
	Reads        int `json:"reads_of_own_orders"`
	Lost         int `json:"lost"`
	Doubled      int `json:"doubled"`
	Stale        int `json:"stale"`
}

// check stops the writers and checks that each acknowledged order is stored exactly
// once and that the reads of its session saw it.
func (o *orderWorkload) check() orderCounts {
	f := o.fleet
	f.t.Helper()
	o.cancel()
	o.writers.Wait()
	var ids []string
	f.eventually("a read of all orders", func() bool {
		ctx, cancel := context.WithTimeout(f.t.Context(), statementTimeout)
		defer cancel()
		var err error
		ids, err = f.query(ctx, 0, o.group, "/*rattancove.freshness='latest'*/ SELECT id FROM press_orders")
		return err == nil
	})
	count := map[string]int{}
	for _, id := range ids {
		count[strings.TrimSpace(id)]++
	}
	v := orderCounts{Acknowledged: len(o.acknowledged), Reads: o.reads, Stale: len(o.staleReads)}
	for _, p := range o.acknowledged {
		if count[p.id] == 0 {
			v.Lost++
			f.t.Errorf("order %s was acknowledged and is not stored", p.id)
		}
	}
	for id, n := range count {
		if n > 1 {
			v.Doubled++
			f.t.Errorf("order %s is stored %d times", id, n)
		}
	}
	for _, id := range o.staleReads {
		f.t.Errorf("order %s was acknowledged and not seen by a read of its session", id)
	}
	return v
}
