package proof

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/statement"
)

// fleetDialer reaches every group from one process.
type fleetDialer struct {
	fleet *fleet
	node  *node
	from  string
	// home is set for the dialer of a proxy.
	home bool
	// trusting is set for a home that trusts what it once learned.
	trusting atomic.Bool

	mu   sync.Mutex
	last map[cluster.ServerID]*lastStatus
	// unread is used when its switch is set.
	unread unreadConns
}

func (d *fleetDialer) lastOf(id cluster.ServerID) *lastStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last == nil {
		d.last = map[cluster.ServerID]*lastStatus{}
	}
	if d.last[id] == nil {
		d.last[id] = &lastStatus{trusted: &d.trusting}
	}
	return d.last[id]
}

func (d *fleetDialer) Dial(ctx context.Context, s cluster.Server, group cluster.GroupName, c backend.Claim) (backend.Conn, error) {
	conn, err := d.open(ctx, s, group, c)
	if err != nil {
		return nil, err
	}
	return &recordedConn{Conn: conn, fleet: d.fleet, node: d.node, group: group, server: s.ID, claim: c}, nil
}

func (d *fleetDialer) open(ctx context.Context, s cluster.Server, group cluster.GroupName, c backend.Claim) (backend.Conn, error) {
	if !d.fleet.off.unread {
		return d.fleet.groups[group].Dialer(d.from).Dial(ctx, s, group, c)
	}
	key := unreadKey{s.ID, c}
	if kept := d.unread.take(key); kept != nil {
		return kept, nil
	}
	conn, err := d.fleet.groups[group].Dialer(d.from).Dial(ctx, s, group, c)
	if err != nil {
		return nil, err
	}
	return &unreadConn{Conn: conn, closed: &d.unread, key: key}, nil
}

func (d *fleetDialer) DialControl(ctx context.Context, s cluster.Server, group cluster.GroupName) (backend.Control, error) {
	control, err := d.fleet.groups[group].Dialer(d.from).DialControl(ctx, s, group)
	if !d.home {
		return control, err
	}
	return d.fleet.off.wrapControl(control, err, d.lastOf(s.ID))
}

// recordedConn notes the claim behind every commit that a server answered.
type recordedConn struct {
	backend.Conn
	fleet  *fleet
	node   *node
	group  cluster.GroupName
	server cluster.ServerID
	claim  backend.Claim
	// open is set inside a transaction.
	open bool
}

func (c *recordedConn) Exchange(ctx context.Context, x *backend.Exchange, conv statement.Conversation) (backend.Result, error) {
	if !c.open {
		c.fleet.newWork(c.node, c.group, c.server)
	}
	sent := *x
	if c.fleet.off.orderIDs {
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
	answer, err := c.Conn.Exchange(ctx, &sent, conv)
	c.open = err == nil && answer.Tx != backend.TxIdle
	return answer, err
}

// commitLog holds the claims of the homes that committed.
type commitLog struct {
	mu     sync.Mutex
	claims map[cluster.GroupName]map[cluster.Position]backend.Claim
}

func newCommitLog() *commitLog {
	return &commitLog{claims: map[cluster.GroupName]map[cluster.Position]backend.Claim{}}
}

// add notes a commit. An answer from the record of order ids has the position
// of an earlier commit, whose claim stays.
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
