package home

import (
	"context"
	"embed"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/rank"
	"github.com/rattancove/rattancove/internal/route"
	"github.com/rattancove/rattancove/internal/statechart"
)

const (
	// maxRequests and defaultRequestBytes bound the number of requests of a group
	// that are queued or running, and the memory of their first batches if neither the
	// document nor the memory limit of the process does so.
	maxRequests               = 10_000
	defaultRequestBytes int64 = 128 << 20
	// drainIdleTimeout is how long a draining owner waits for the next statement of
	// an open transaction.
	drainIdleTimeout = time.Second
	// drainTimeout bounds the wait for running requests when a group is released.
	drainTimeout = 10 * time.Second
	// defaultRequestTimeout bounds a request that specifies no timeout, and a statement
	// if the document does not.
	defaultRequestTimeout = 30 * time.Second
	// defaultTransactionTimeout and defaultIdleTimeout bound a transaction, and the
	// idle time in it, if the document does not.
	defaultTransactionTimeout       = 5 * time.Minute
	defaultIdleInTransactionTimeout = time.Minute
	// historyLimit and commitLimit bound the number of remembered positions of the
	// primary; minHistoryInterval and minCommitInterval are the minimum time between
	// two of them.
	historyLimit       = 1024
	minHistoryInterval = 20 * time.Millisecond
	commitLimit        = 512
	minCommitInterval  = time.Millisecond
)

//go:embed group_home.yaml
var chartFile embed.FS

var chart = statechart.MustLoad(chartFile, "group_home.yaml")

// Phases of an owner, and the transitions between them.
const (
	// phaseClaiming lasts until a majority has accepted the claim, phaseClaimed
	// until the log position of the proven primary is known.
	phaseClaiming       = "claiming"
	phaseClaimed        = "claimed"
	phaseServing        = "serving"
	phaseSuperseded     = "superseded"
	phaseDraining       = "draining"
	transitionClaim     = "claim"
	transitionEstablish = "establish"
	transitionSupersede = "supersede"
	transitionDrain     = "drain"
)

// owner runs the requests of one group that this proxy is the home of. It owns
// the connections to the group's servers.
type owner struct {
	home        *Home
	name        cluster.GroupName
	started     time.Time
	dispatcher  *rank.Dispatcher
	retryBudget *rank.RetryBudget
	refusals    refusalLog
	ctx         context.Context
	cancel      context.CancelFunc
	// workers counts the background goroutines of the owner.
	workers         sync.WaitGroup
	runningRequests sync.WaitGroup
	// drainCtx is canceled when the owner starts to drain.
	drainCtx   context.Context
	startDrain context.CancelFunc

	// proofSeq is the number of the newest proof or status request; see startProof.
	proofSeq atomic.Uint64
	// lastRequestNanos is the time from started to the last request in nanoseconds. It
	// does not depend on the time of day, which may be set.
	lastRequestNanos atomic.Int64
	// pendingAcks is the number of writes that wait for replication, pendingCopies that of
	// acknowledgements that are withheld.
	pendingAcks, pendingCopies atomic.Int32
	// pollChannels holds pollNow of every node; the slice is replaced as a whole.
	pollChannels atomic.Pointer[[]chan struct{}]
	// readTargets holds the read target of every node; the map is replaced as a whole.
	readTargets atomic.Pointer[map[cluster.ServerID]readTarget]
	// metrics holds the metrics of the group and its servers; nil without EvenLoad.
	metrics *metrics.Set
	// routing is the state that routing decisions are based on; it is replaced as a whole.
	routing atomic.Pointer[route.Group]

	mu sync.Mutex
	// requestCount is the number of requests that are queued or running, requestBytes
	// the size of their first batches.
	requestCount int
	requestBytes int64
	spec         environment.Group
	ranks        environment.Ranks
	limits       environment.Limits
	// organisations holds the ranks of the organisations; the map is replaced as a whole.
	organisations map[string]cluster.Rank
	nodes         map[cluster.ServerID]*node
	view          *view
	// changed is closed and replaced whenever the view or the phase changes.
	changed chan struct{}
	phase   *statechart.Machine
	claim   claim
	// established is set once the claim is accepted and the floors are known.
	established bool
	// successor is the home that superseded this one; empty if none did.
	successor cluster.ProxyID
	// history holds proven positions of the primary, commits the positions of
	// acknowledged commits.
	history       *route.History
	commits       *route.History
	sessionFloors *sessionFloors
	// highWater is the highest position that was acknowledged to any caller.
	highWater cluster.Position
	// defaultFloor is the floor of sessions that are not in sessionFloors.
	defaultFloor cluster.Position
	// lastDeparture is the time of the last of the group's departures; refusalLogged is when a refusal was last logged.
	lastDeparture, refusalLogged time.Time
	// termLearned is when the present term or primary was learned.
	termLearned time.Time
	// lastLearned is when positions from responses last changed the routing state.
	lastLearned time.Time
	// termCtx is canceled when the term or the primary changes.
	termCtx    context.Context
	termCancel context.CancelFunc
}

func newOwner(h *Home, g environment.Group) *owner {
	ctx, cancel := context.WithCancel(context.Background())
	o := &owner{
		home: h, name: g.Name, started: time.Now(), retryBudget: rank.NewRetryBudget(), ctx: ctx, cancel: cancel,
		spec: g, ranks: h.ranks, limits: h.limits, organisations: h.organisations, lastDeparture: h.departures[g.Name].last(),
		nodes: make(map[cluster.ServerID]*node), view: newView(len(g.Servers)),
		phase: chart.NewMachine(), changed: make(chan struct{}), sessionFloors: newSessionFloors(sessionLimit),
		history: route.NewHistory(historyLimit, minHistoryInterval),
		commits: route.NewHistory(commitLimit, minCommitInterval),
	}
	o.drainCtx, o.startDrain = context.WithCancel(ctx)
	o.termCtx, o.termCancel = context.WithCancel(ctx)
	o.dispatcher = rank.New(o.dispatcherConfig())
	o.routing.Store(&route.Group{})
	return o
}

func (o *owner) dispatcherConfig() rank.Config {
	return rank.Config{
		Policy: o.home.config.Policy, Ranks: o.ranks,
		QueueBytes: o.queueBytes(), Proxies: o.home.config.Proxies, Organisations: o.organisations, EvenLoad: o.evenLoad(),
	}
}

// memoryBound returns the bound that follows from the memory limit of the process; zero if
// there is none.
func (o *owner) memoryBound() int64 {
	if o.home.config.RequestBytes == nil {
		return 0
	}
	return o.home.config.RequestBytes()
}

// smallerBound returns the smaller one of two bounds, of which zero is none.
func smallerBound(a, b int64) int64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// shared reports whether other proxies may use the group's servers as well. No
// claims are made then.
func (o *owner) shared() bool {
	return o.home.config.NoClaims || o.home.config.Policy == rank.PolicyStatic
}

func (o *owner) start() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.setServers()
	o.registerMetrics()
	o.workers.Go(o.establish)
}

// configure applies the settings of a new document to a running owner.
func (o *owner) configure(g environment.Group, ranks environment.Ranks, limits environment.Limits) {
	lastDeparture := o.home.departures[g.Name].last()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.spec, o.lastDeparture = g, lastDeparture
	o.ranks = ranks
	o.limits = limits
	o.dispatcher.Configure(o.dispatcherConfig())
	o.setServers()
	o.rebuildRouting()
}

// setOrganisations applies the ranks of the organisations.
func (o *owner) setOrganisations(ranks map[string]cluster.Rank) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.organisations = ranks
	o.dispatcher.Configure(o.dispatcherConfig())
}

// reconfigure applies a change of the settings of all groups.
func (o *owner) reconfigure() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dispatcher.Configure(o.dispatcherConfig())
}

// setServers starts and stops nodes so that they match the document. The caller holds
// the lock.
func (o *owner) setServers() {
	wanted := make(map[cluster.ServerID]bool, len(o.spec.Servers))
	servers := make([]cluster.Server, 0, len(o.spec.Servers))
	for _, s := range o.spec.Servers {
		server := s.Cluster()
		wanted[server.ID] = true
		servers = append(servers, server)
		old, ok := o.nodes[server.ID]
		if ok && old.server == server {
			continue
		}
		if ok {
			o.stopNode(old)
		}
		o.nodes[server.ID] = o.startNode(server)
	}
	for id, n := range o.nodes {
		if !wanted[id] {
			o.stopNode(n)
			delete(o.nodes, id)
			delete(o.view.reports, id)
		}
	}
	o.view.size = len(servers)
	channels := make([]chan struct{}, 0, len(o.nodes))
	targets := make(map[cluster.ServerID]readTarget, len(o.nodes))
	for id, n := range o.nodes {
		channels = append(channels, n.pollNow)
		targets[id] = readTarget{pool: n.pool, pollNow: n.pollNow, near: n.server.FailureDomain == o.home.config.FailureDomain}
	}
	o.pollChannels.Store(&channels)
	o.readTargets.Store(&targets)
	o.dispatcher.SetServers(servers)
}

func (o *owner) stopNode(n *node) {
	n.stop()
	o.workers.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, drainTimeout)
		defer cancel()
		n.pool.Close(ctx)
	})
}

// backendClaim is the claim that data connections are opened with.
func (o *owner) backendClaim() backend.Claim {
	o.mu.Lock()
	defer o.mu.Unlock()
	return backend.Claim{Epoch: o.claim.epoch, Home: o.claim.home}
}

func (o *owner) superseded() bool {
	return o.phase.In(phaseSuperseded)
}

// supersede stops an owner whose group was claimed by another home. The caller
// holds the lock.
func (o *owner) supersede(successor cluster.ProxyID) {
	if _, _, err := o.phase.Fire(transitionSupersede); err != nil {
		return
	}
	o.successor = successor
	o.notifyChanged()
	o.termCancel()
	eventSuperseded.Log(o.home.log).Str("group", string(o.name)).Str("holder", string(successor)).Send()
}

// servingError returns the error for requests if the owner is superseded or
// draining, otherwise nil. The caller holds the lock.
func (o *owner) servingError() error {
	switch o.phase.Current() {
	case phaseSuperseded:
		return errcode.New(errcode.Superseded, "home", string(o.successor))
	case phaseDraining:
		return errcode.New(errcode.Draining, "home", string(o.home.config.ID))
	default:
		return nil
	}
}

// notifyChanged wakes all calls of await. The caller holds the lock.
func (o *owner) notifyChanged() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// isIdle reports whether the group has had no request for idleThreshold.
func (o *owner) isIdle() bool {
	return o.lastRequestNanos.Load() == 0 || o.sinceLastRequest() > idleThreshold
}

// sinceLastRequest returns the time since the last request, or since the start without
// one.
func (o *owner) sinceLastRequest() time.Duration {
	return time.Since(o.started) - time.Duration(o.lastRequestNanos.Load())
}

// recordRequest records the time of a request. The first one of an idle group
// requests the statuses, which may be as old as idleInterval.
func (o *owner) recordRequest() {
	if o.isIdle() {
		o.requestStatus()
	}
	o.lastRequestNanos.Store(max(int64(time.Since(o.started)), 1))
}

// admit registers a request, unless the owner no longer serves or has reached
// its limits. requestDone unregisters it.
func (o *owner) admit(bytes int64) error {
	o.recordRequest()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.servingError(); err != nil {
		return err
	}
	if o.requestCount >= maxRequests || o.requestBytes+bytes > o.requestBytesLimit() {
		err := errcode.New(errcode.Overloaded, "enter", string(o.name))
		err.RetryAfter = retryDelay
		return err
	}
	o.requestCount++
	o.requestBytes += bytes
	o.runningRequests.Add(1)
	return nil
}

func (o *owner) requestDone(bytes int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requestCount--
	o.requestBytes -= bytes
	o.runningRequests.Done()
}

// close drains the owner: new requests are refused, running ones may finish until
// ctx ends, then all connections are closed and all goroutines end. An owner that
// is not established yet is canceled immediately: it must not continue claiming
// concurrently with a later owner of the same proxy, and none of its requests
// has run.
func (o *owner) close(ctx context.Context) {
	o.unregisterMetrics()
	o.mu.Lock()
	_, _, _ = o.phase.Fire(transitionDrain) // a superseded owner stays superseded
	o.startDrain()
	if !o.established {
		o.cancel()
	}
	o.mu.Unlock()
	o.drain(ctx)
	o.mu.Lock()
	o.notifyChanged()
	o.cancel()
	nodes := o.nodes
	o.mu.Unlock()
	o.dispatcher.Close()
	var closing sync.WaitGroup
	for _, n := range nodes {
		n.stop()
		closing.Go(func() { n.pool.Close(ctx) })
	}
	closing.Wait()
	o.runningRequests.Wait()
	o.workers.Wait()
	eventReleased.Log(o.home.log).Str("group", string(o.name)).Send()
}

func (o *owner) drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		o.runningRequests.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		o.cancel()
		o.dispatcher.Close()
		<-done
	}
}
