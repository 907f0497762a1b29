package succession

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/duty"
	"github.com/rattancove/rattancove/internal/grant"
	"github.com/rattancove/rattancove/internal/provider"
)

const (
	// maxPromotionDelay is how long after a promotion call the platform may still
	// promote the server.
	maxPromotionDelay = 5 * time.Second
	// maxPriorPromotionDelay is how long after the record of an earlier lease holder's
	// promotion was first read the promotion may still take effect. The earlier holder may
	// have been suspended before it made the call.
	maxPriorPromotionDelay = 2 * maxPromotionDelay
)

// pollInterval is the interval between checks of the groups and the lease.
const pollInterval = 500 * time.Millisecond

// ErrNotRunning reports that the platform refused to promote a server because
// the server is not running.
var ErrNotRunning = errors.New("server to promote is not running")

// Dialer opens connections for replication control.
type Dialer interface {
	DialReplication(ctx context.Context, s cluster.Server, group cluster.GroupName) (backend.Replication, error)
}

// Promotion is a request to the platform to promote a server.
type Promotion struct {
	Group  cluster.GroupName
	Server cluster.ServerID
	Holder string
	Token  duty.Token
}

// Promoter requests promotions from the platform. After an error other than
// ErrNotRunning, the platform may still promote the server.
type Promoter interface {
	Promote(ctx context.Context, p Promotion) error
}

// Lease determines whether this process may act as the controller.
type Lease interface {
	Held() (duty.Token, bool)
	Remaining() time.Duration
	// Predecessor returns the token of an earlier holder that is known to have ended; zero
	// if there is none.
	Predecessor() duty.Token
	// Era returns the era of the table service in which the lease was last renewed.
	Era() uint64
	Holder() string
	Changed() <-chan struct{}
}

// Config configures a Controller.
type Config struct {
	Dialer   Dialer
	Promoter Promoter
	Lease    Lease
	// Groups returns the groups listed in the catalog.
	Groups func() []Group
	// GroupsStale reports whether changes of the groups are not heard of at present; nil
	// if that cannot be.
	GroupsStale func() bool
	// Table keeps the records of the groups.
	Table provider.Table
	// Changed returns a channel that is closed when the groups change.
	Changed func() <-chan struct{}
	// Grants tracks the processes that hold grants of a term, and Revoke asks one
	// of them to release its grants of a group.
	Grants *grant.Issuer
	Revoke func(ctx context.Context, proxy cluster.ProxyID, group cluster.GroupName) (grant.Revocation, error)
	// QueryObservers asks other processes whether they can reach a server.
	QueryObservers func(ctx context.Context, group cluster.GroupName, s cluster.Server) ObserverReport
	Log            *zerolog.Logger
}

// Controller manages the primaries of all groups while this process holds the lease.
type Controller struct {
	config  Config
	records *recordStore
	groups  map[cluster.GroupName]*groupLoop
	// token is that of the lease under which groups was created.
	token      duty.Token
	goroutines sync.WaitGroup
}

// New returns a Controller.
func New(config Config) *Controller {
	return &Controller{config: config, records: newRecordStore(config.Table, config.Log), groups: map[cluster.GroupName]*groupLoop{}}
}

// Run manages the groups whenever the lease is held, until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	defer c.goroutines.Wait()
	defer c.stopLoops()
	c.goroutines.Go(func() { c.records.run(ctx) })
	for ctx.Err() == nil {
		leased, changed := c.config.Lease.Changed(), c.config.Changed()
		if token, held := c.config.Lease.Held(); held {
			c.update(ctx, token)
		} else {
			c.stopLoops()
		}
		timer := time.NewTimer(pollInterval)
		select {
		case <-ctx.Done():
		case <-leased:
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// update starts, updates and stops group loops to match the catalog.
func (c *Controller) update(ctx context.Context, token duty.Token) {
	if token != c.token {
		c.stopLoops()
		c.records.reset()
		c.token = token
	}
	wanted := map[cluster.GroupName]bool{}
	for _, g := range c.config.Groups() {
		wanted[g.Name] = true
		loop, ok := c.groups[g.Name]
		if !ok {
			loop = newGroupLoop(ctx, c, g, token)
			c.groups[g.Name] = loop
			c.goroutines.Go(loop.run)
		}
		loop.update(g)
	}
	for name, loop := range c.groups {
		if !wanted[name] {
			loop.stop()
			delete(c.groups, name)
		}
	}
}

func (c *Controller) stopLoops() {
	for name, loop := range c.groups {
		loop.stop()
		delete(c.groups, name)
	}
}

// queryObservers asks other processes whether they can reach the current primary.
func (l *groupLoop) queryObservers() {
	l.mu.Lock()
	group := l.group
	p, _, ok := primary(l.group, l.view)
	l.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	report := l.controller.config.QueryObservers(ctx, group.Name, p.Server)
	l.mu.Lock()
	l.view.ObserverReport = report
	l.mu.Unlock()
	l.wake()
}
