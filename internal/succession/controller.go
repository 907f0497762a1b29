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
)

// maxPromotionDelay is how long after a promotion call, by this process or an
// earlier lease holder, the platform may still promote the server. No other term
// is granted during this time.
const maxPromotionDelay = 5 * time.Second

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
	// Changed returns a channel that is closed when the groups change.
	Changed func() <-chan struct{}
	// Grants tracks the processes that hold grants of a term, and Revoke asks one
	// of them to release its grants of a group.
	Grants *grant.Issuer
	Revoke func(ctx context.Context, proxy cluster.ProxyID, group cluster.GroupName) error
	// QueryObservers asks other processes whether they can reach a server.
	QueryObservers func(ctx context.Context, group cluster.GroupName, s cluster.Server) ObserverReport
	Log            *zerolog.Logger
}

// Controller manages the primaries of all groups while this process holds the lease.
type Controller struct {
	config     Config
	groups     map[cluster.GroupName]*groupLoop
	goroutines sync.WaitGroup
}

// New returns a Controller.
func New(config Config) *Controller {
	return &Controller{config: config, groups: map[cluster.GroupName]*groupLoop{}}
}

// Run manages the groups whenever the lease is held, until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	defer c.goroutines.Wait()
	defer c.stopLoops()
	for ctx.Err() == nil {
		leased, changed := c.config.Lease.Changed(), c.config.Changed()
		if _, held := c.config.Lease.Held(); held {
			c.update(ctx)
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
func (c *Controller) update(ctx context.Context) {
	wanted := map[cluster.GroupName]bool{}
	for _, g := range c.config.Groups() {
		wanted[g.Name] = true
		loop, ok := c.groups[g.Name]
		if !ok {
			loop = newGroupLoop(ctx, c, g)
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

// promote requests a promotion from the platform, provided that this process
// still holds the lease immediately before the call.
func (l *groupLoop) promote(a Action) {
	config := l.controller.config
	ctx, cancel := context.WithTimeout(l.ctx, promotionTimeout)
	defer cancel()
	token, held := config.Lease.Held()
	if !held {
		eventPromotionSkipped.Log(config.Log).Str("group", string(l.name)).Str("server", string(a.Server)).Send()
		return
	}
	err := config.Promoter.Promote(ctx, Promotion{
		Group: l.name, Server: a.Server, Holder: config.Lease.Holder(), Token: token,
	})
	l.mu.Lock()
	l.view.PromotionRefused = ""
	if errors.Is(err, ErrNotRunning) {
		l.view.PromotionRefused = a.Server
	}
	l.view.PromotionInFlight = false
	l.mu.Unlock()
	eventPromotionRequested.Log(config.Log).Str("group", string(l.name)).Str("server", string(a.Server)).
		Uint64("token", uint64(token)).AnErr("error", err).Send()
	l.wake()
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
