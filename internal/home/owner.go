package home

import (
	"context"
	"embed"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/rank"
	"github.com/rattancove/rattancove/internal/route"
	"github.com/rattancove/rattancove/internal/statechart"
)

const (
	// maxRequests and maxRequestBytes bound the requests of a group that wait
	// or run, and the memory of their first batches.
	maxRequests           = 10_000
	maxRequestBytes int64 = 128 << 20
	// drainIdleTime is how long a draining owner waits for a caller inside a transaction.
	drainIdleTime = time.Second
	// drainTime bounds the wait for running requests when a group is given up.
	drainTime = 10 * time.Second
	// defaultTimeout bounds a request that states no timeout.
	defaultTimeout = 30 * time.Second
	// defaultTransactionTime and defaultIdleTime bound transactions when the
	// document does not.
	defaultTransactionTime = 5 * time.Minute
	defaultIdleTime        = time.Minute
	// historyLimit, historySpacing, commitLimit and commitSpacing bound the
	// remembered positions of the primary.
	historyLimit   = 1024
	historySpacing = 20 * time.Millisecond
	commitLimit    = 512
	commitSpacing  = time.Millisecond
)

//go:embed group_home.yaml
var chartFile embed.FS

var chart = statechart.MustLoad(chartFile, "group_home.yaml")

// Phases of an owner, and the events between them.
const (
	// phaseClaiming lasts until a majority accepted the claim, phaseClaimed
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

// owner is this proxy's hold on one group. It owns the connections to the
// group's servers.
type owner struct {
	home       *Home
	name       cluster.GroupName
	started    time.Time
	dispatcher *rank.Dispatcher
	budget     *rank.RetryBudget
	ctx        context.Context
	cancel     context.CancelFunc
	workers    sync.WaitGroup
	running    sync.WaitGroup
	// drainCtx ends when the owner starts to drain.
	drainCtx   context.Context
	startDrain context.CancelFunc

	// proofSeq numbers proofs; see await.
	proofSeq atomic.Uint64
	// lastRequestNanos is the time of the last request in Unix nanoseconds.
	lastRequestNanos atomic.Int64
	// pendingAcks counts writes that wait for replication.
	pendingAcks atomic.Int32
	// pollChannels wake the control connections; the slice is replaced as a whole.
	pollChannels atomic.Pointer[[]chan struct{}]
	// group is what the routing decisions see; it is replaced as a whole.
	group atomic.Pointer[route.Group]

	mu sync.Mutex
	// requests and bytes are those of requests that wait or run.
	requests int
	bytes    int64
	spec     environment.Group
	ranks    environment.Ranks
	limits   environment.Limits
	nodes    map[cluster.ServerID]*node
	view     *view
	// changed is closed and replaced whenever the view or the phase changes.
	changed chan struct{}
	phase   *statechart.Machine
	claim   claim
	// established is set once the claim is won and the floors are known.
	established bool
	holder      cluster.ProxyID
	// history holds proven positions of the primary, commits those of answered commits.
	history       *route.History
	commits       *route.History
	sessionFloors *sessionFloors
	// highWater is the last position that was acknowledged to anyone.
	highWater cluster.Position
	// defaultFloor is a floor for sessions that are not remembered.
	defaultFloor cluster.Position
	// lastLearned is when answers last changed the routing state.
	lastLearned time.Time
	// termCtx ends when the learned term or primary changes.
	termCtx    context.Context
	termCancel context.CancelFunc
}

func newOwner(h *Home, g environment.Group) *owner {
	ctx, cancel := context.WithCancel(context.Background())
	o := &owner{
		home: h, name: g.Name, started: time.Now(), budget: rank.NewRetryBudget(), ctx: ctx, cancel: cancel,
		spec: g, ranks: h.ranks, limits: h.limits,
		nodes: make(map[cluster.ServerID]*node), view: newView(len(g.Servers)),
		phase: chart.NewMachine(), changed: make(chan struct{}), sessionFloors: newSessionFloors(sessionLimit),
		history: route.NewHistory(historyLimit, historySpacing),
		commits: route.NewHistory(commitLimit, commitSpacing),
	}
	o.drainCtx, o.startDrain = context.WithCancel(ctx)
	o.termCtx, o.termCancel = context.WithCancel(ctx)
	o.dispatcher = rank.New(o.rankConfig())
	o.group.Store(&route.Group{})
	return o
}

func (o *owner) rankConfig() rank.Config {
	return rank.Config{
		Policy: o.home.config.Policy, Ranks: o.ranks,
		QueueBytes: o.limits.QueueBytes, Proxies: o.home.config.Proxies,
	}
}

// shared reports whether other proxies may use the group's servers as well.
// Nothing is claimed then.
func (o *owner) shared() bool {
	return o.home.config.NoClaims || o.home.config.Policy == rank.PolicyStatic
}

func (o *owner) start() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.setServers()
	o.workers.Go(o.establish)
}

// configure applies a new document to a running owner.
func (o *owner) configure(g environment.Group, ranks environment.Ranks, limits environment.Limits) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.spec = g
	o.ranks = ranks
	o.limits = limits
	o.dispatcher.Configure(o.rankConfig())
	o.setServers()
	o.rebuild()
}

// setServers starts and stops nodes so that they match the document.
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
	kicks := make([]chan struct{}, 0, len(o.nodes))
	for _, n := range o.nodes {
		kicks = append(kicks, n.pollNow)
	}
	o.pollChannels.Store(&kicks)
	o.dispatcher.SetServers(servers)
}

func (o *owner) stopNode(n *node) {
	n.stop()
	o.workers.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, drainTime)
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

// supersede stops an owner whose group another home has claimed. The caller holds the lock.
func (o *owner) supersede(holder cluster.ProxyID) {
	if _, _, err := o.phase.Fire(transitionSupersede); err != nil {
		return
	}
	o.holder = holder
	o.notifyChanged()
	o.termCancel()
	eventSuperseded.Log(o.home.log).Str("group", string(o.name)).Str("holder", string(holder)).Send()
}

// notServing returns the error for requests of an owner that serves no longer.
func (o *owner) notServing() error {
	switch o.phase.Current() {
	case phaseSuperseded:
		return errcode.New(errcode.Superseded, "home", string(o.holder))
	case phaseDraining:
		return errcode.New(errcode.Draining, "home", string(o.home.config.ID))
	default:
		return nil
	}
}

// notifyChanged wakes everything that waits for a change. The caller holds the lock.
func (o *owner) notifyChanged() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// idle reports whether the group has had no request for a while.
func (o *owner) idle() bool {
	return time.Since(time.Unix(0, o.lastRequestNanos.Load())) > idleThreshold
}

// recordRequest notes a request. The first one after a pause asks for the statuses,
// which may be as old as idleInterval.
func (o *owner) recordRequest() {
	if o.idle() {
		o.requestStatus()
	}
	o.lastRequestNanos.Store(time.Now().UnixNano())
}

// admit counts a running request, unless the owner serves no longer or holds
// as many requests as it may. leave ends it.
func (o *owner) admit(bytes int64) error {
	o.recordRequest()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.notServing(); err != nil {
		return err
	}
	if o.requests >= maxRequests || o.bytes+bytes > orDefault(2*o.limits.QueueBytes, maxRequestBytes) {
		err := errcode.New(errcode.Overloaded, "enter", string(o.name))
		err.RetryAfter = retryPause
		return err
	}
	o.requests++
	o.bytes += bytes
	o.running.Add(1)
	return nil
}

func (o *owner) requestDone(bytes int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests--
	o.bytes -= bytes
	o.running.Done()
}

// close drains the owner: no new requests, running ones may finish until ctx
// ends, then every connection is closed and every goroutine ends. An owner
// that is not established yet is cut off at once: it must not go on claiming
// beside a later owner of the same proxy, and nothing of it has run.
func (o *owner) close(ctx context.Context) {
	o.mu.Lock()
	_, _, _ = o.phase.Fire(transitionDrain) // an owner that was superseded stays so
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
	o.running.Wait()
	o.workers.Wait()
	eventReleased.Log(o.home.log).Str("group", string(o.name)).Send()
}

func (o *owner) drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		o.running.Wait()
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
