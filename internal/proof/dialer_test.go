package proof

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/statement"
)

// fleetDialer connects one process to the servers of all groups.
type fleetDialer struct {
	fleet  *fleet
	node   *node
	client string
	// isProxy is set for the dialer of a proxy.
	isProxy bool
	// useStatusCache is set while the home may use the last known status of a server
	// that it cannot reach. It takes effect if freshStatus is disabled.
	useStatusCache atomic.Bool

	mu           sync.Mutex
	statusCaches map[cluster.ServerID]*statusCache
	// unreadPool is used if closeUnread is disabled.
	unreadPool unreadConnPool
}

func (d *fleetDialer) statusCacheOf(id cluster.ServerID) *statusCache {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.statusCaches == nil {
		d.statusCaches = map[cluster.ServerID]*statusCache{}
	}
	if d.statusCaches[id] == nil {
		d.statusCaches[id] = &statusCache{enabled: &d.useStatusCache}
	}
	return d.statusCaches[id]
}

func (d *fleetDialer) Dial(ctx context.Context, s cluster.Server, group cluster.GroupName, organisation string, c backend.Claim) (backend.Conn, error) {
	conn, err := d.openConn(ctx, s, group, organisation, c)
	if err != nil {
		return nil, err
	}
	return &recordingConn{Conn: conn, fleet: d.fleet, node: d.node, group: group, server: s.ID, claim: c}, nil
}

func (d *fleetDialer) openConn(ctx context.Context, s cluster.Server, group cluster.GroupName, organisation string, c backend.Claim) (backend.Conn, error) {
	if !d.fleet.disabled.closeUnread {
		return d.fleet.groups[group].Dialer(d.client).Dial(ctx, s, group, organisation, c)
	}
	key := unreadKey{s.ID, c}
	if kept := d.unreadPool.get(key); kept != nil {
		return kept, nil
	}
	conn, err := d.fleet.groups[group].Dialer(d.client).Dial(ctx, s, group, organisation, c)
	if err != nil {
		return nil, err
	}
	return &unreadConn{Conn: conn, pool: &d.unreadPool, key: key}, nil
}

func (d *fleetDialer) DialControl(ctx context.Context, s cluster.Server, group cluster.GroupName) (backend.Control, error) {
	control, err := d.fleet.groups[group].Dialer(d.client).DialControl(ctx, s, group)
	if !d.isProxy {
		return control, err
	}
	return d.fleet.disabled.wrapControl(control, err, d.statusCacheOf(s.ID))
}

// recordingConn records the claim under which each commit was made that a server
// answered.
type recordingConn struct {
	backend.Conn
	fleet  *fleet
	node   *node
	group  cluster.GroupName
	server cluster.ServerID
	claim  backend.Claim
	// inTransaction is set while a transaction is open.
	inTransaction bool
}

func (c *recordingConn) Exchange(ctx context.Context, x *backend.Exchange, conv statement.Conversation) (backend.Result, error) {
	if !c.inTransaction {
		c.fleet.checkNewWork(c.node, c.group, c.server)
	}
	sent := *x
	if c.fleet.disabled.orderIDs {
		sent.OrderID = ""
	}
	if x.BeforeFlush != nil {
		sent.BeforeFlush = func(ctx context.Context, a backend.Result) error {
			if a.Committed {
				c.fleet.commits.add(c.group, a.Position, c.claim)
			}
			return x.BeforeFlush(ctx, a)
		}
	}
	result, err := c.Conn.Exchange(ctx, &sent, conv)
	c.inTransaction = err == nil && result.Tx != backend.TxIdle
	return result, err
}

// commitLog holds the claim of a home under which each commit was made, by position.
type commitLog struct {
	mu     sync.Mutex
	claims map[cluster.GroupName]map[cluster.Position]backend.Claim
}

func newCommitLog() *commitLog {
	return &commitLog{claims: map[cluster.GroupName]map[cluster.Position]backend.Claim{}}
}

// add records a commit. The answer to a repeated order has the position of the
// earlier commit, whose claim is kept.
func (l *commitLog) add(group cluster.GroupName, p cluster.Position, c backend.Claim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.claims[group] == nil {
		l.claims[group] = map[cluster.Position]backend.Claim{}
	}
	if _, ok := l.claims[group][p]; !ok {
		l.claims[group][p] = c
	}
}

func (l *commitLog) claim(group cluster.GroupName, p cluster.Position) (backend.Claim, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.claims[group][p]
	return c, ok
}
