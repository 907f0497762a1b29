package edge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/rattancove/rattancove/internal/catalog"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/duty"
	"github.com/rattancove/rattancove/internal/gateway"
	"github.com/rattancove/rattancove/internal/grant"
	"github.com/rattancove/rattancove/internal/home"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/memory"
	"github.com/rattancove/rattancove/internal/peer"
	"github.com/rattancove/rattancove/internal/succession"
	"github.com/rattancove/rattancove/internal/telemetry"
)

// joinInterval is the interval between ping rounds while the process joins: it has
// just started and knows no other member. It is short because the process serves
// nothing until another member has answered.
const joinInterval = 100 * time.Millisecond

// catalogTimeout bounds how long a new caller waits for the first configuration.
// Callers give up after two seconds.
const catalogTimeout = time.Second

// Edge is the process of an entry VM.
type Edge struct {
	config   Config
	adapters Adapters
	log      zerolog.Logger
	started  time.Time

	tracker *catalog.Tracker
	access  *access
	// subscriber receives the catalog from other processes, follower from the store.
	subscriber *catalog.Subscriber
	follower   *catalog.Follower
	members    *member.Membership
	// statementPeers carries callers' requests to peers, controlPeers all other
	// calls. They use separate connections so that neither delays the other.
	statementPeers *peer.Registry
	controlPeers   *peer.Registry
	peerServer     *peer.Server
	home           *home.Home
	gateway        *gateway.Gateway
	callers        *callers
	lease          *duty.Lease
	succession     *succession.Controller
	placements     placementCache
	// homesStarted holds the groups whose home this process is. It is used by
	// reconcileHomes only.
	homesStarted map[cluster.GroupName]struct{}
	// proxyContexts ends requests sent to processes that no longer answer pings.
	proxyContexts *gateway.ProxyContexts
	// grants holds the term grants that this process has received, issuer those
	// that it has issued while holding the promotion lease.
	grants *grant.HeldGrants
	issuer *grant.Issuer
	// quotas holds the credits of organisations, and quotaDealer allocates them while
	// this process holds the promotion lease; nil if quotas are not kept.
	quotas      *quotas
	quotaDealer *quotaDealer
	// quotaConfiguration is the configuration whose limits are in force. It is used by
	// reconcileHomes only.
	quotaConfiguration *catalog.Configuration
	// grantsWanted holds a token while a write waits for a grant, or an operation for a
	// credit.
	grantsWanted chan struct{}
	// settings are the settings in force; config is what the process started with.
	settings atomic.Pointer[Config]
	// stopping is set when a planned stop begins.
	stopping atomic.Bool
	// fetchingCatalog is set while the catalog is being fetched from a peer.
	fetchingCatalog atomic.Bool
}

// New assembles a process without opening any connection.
func New(config Config, adapters Adapters, log zerolog.Logger) (*Edge, error) {
	e := &Edge{config: config, adapters: adapters, log: log, started: time.Now()}
	if e.adapters.Memory == nil {
		e.adapters.Memory = memory.NewBudget(0)
	}
	e.adapters.Memory.LogTo(&e.log)
	e.settings.Store(&config)
	e.tracker = catalog.NewTracker(&e.log)
	e.access = &access{
		tracker: e.tracker, clock: duty.BootTime, log: &e.log,
		revocation: func() time.Duration { return e.settings.Load().RevocationTime },
	}
	e.subscriber = catalog.NewSubscriber(e.tracker, catalogPeers{e}, &e.log)
	e.follower = catalog.NewFollower(adapters.Source, e.tracker, e.subscriber, &e.log)
	e.follower.ConfirmBy(func() time.Duration { return e.access.clock() }, e.access.strict)
	e.homesStarted = map[cluster.GroupName]struct{}{}
	e.placements.unreachableUntil = map[cluster.ProxyID]time.Time{}
	e.proxyContexts = gateway.NewProxyContexts(member.StateDead, member.StateSuspect)
	e.statementPeers = peer.NewBoundedRegistry(adapters.Dial, peer.Bounds{
		Budget: e.adapters.Memory, Connections: func() int { return e.descriptors(forwardDescriptorShare) },
	})
	e.controlPeers = peer.NewRegistry(adapters.Dial)
	e.members = member.New(e.memberConfig())
	e.grantsWanted = make(chan struct{}, 1)
	e.grants, e.issuer = grant.NewHeldGrants(config.ID, duty.BootTime), grant.NewIssuer(duty.BootTime)
	e.issuer.AssumeEarlierGrants()
	weight, _ := config.capacity().Weight()
	placementWeight.Set(uint64(weight))
	e.quotas = newQuotas(config.Quota, uint64(e.started.UnixNano()), duty.BootTime, e.requestGrantsSoon, &e.log)
	e.home = home.New(e.homeConfig(), adapters.Servers)
	e.gateway = gateway.New(gateway.Config{Self: config.ID, Local: e.home, HomeLocator: homeLocator{e}, FallbackHome: e.fallbackHome, Log: &e.log})
	e.callers = newCallers(e)
	e.lease = duty.New(duty.Config{
		Holder: string(config.ID), Key: "duty/promotion", Table: adapters.Table, CandidateIndex: e.candidateIndex, Log: &e.log,
	})
	if e.quotas != nil {
		e.quotaDealer = &quotaDealer{
			bounds: config.Quota, holder: string(config.ID), lease: e.lease, table: adapters.Table, clock: duty.BootTime, log: &e.log,
			ended: e.processEnded,
		}
	}
	e.succession = succession.New(succession.Config{
		Dialer: adapters.Control, Promoter: adapters.Promoter, Lease: e.lease, Table: adapters.Table, Groups: e.successionGroups,
		GroupsStale: e.serversStale,
		Changed:     e.tracker.Changed, QueryObservers: e.queryObservers, Grants: e.issuer, Revoke: e.revokeGrants, Log: &e.log,
	})
	var err error
	e.peerServer, err = peer.NewServer(e.handlers(), &e.log)
	return e, err
}

func (e *Edge) homeConfig() home.Config {
	c := home.Config{
		ID: e.config.ID, NoClaims: true, ExactClasses: true, EvenLoad: true, Terms: e.grants, RequestGrants: e.requestGrantsSoon, Log: &e.log,
		RequestBytes: e.adapters.Memory.RequestBytes,
	}
	if weight, _ := e.config.capacity().Weight(); weight > 0 {
		c.FailureDomain = e.config.FailureDomain
	}
	if e.quotas != nil {
		c.Quotas = e.quotas
	}
	return c
}

func (e *Edge) memberConfig() member.Config {
	weight, _ := e.config.capacity().Weight()
	return member.Config{
		Self: member.Member{
			ID: string(e.config.ID), Role: member.RoleProxy, Address: cmp.Or(e.config.PeerAdvertise, e.config.PeerListen),
			FailureDomain: e.config.FailureDomain, Incarnation: uint64(e.started.UnixNano()), Weight: weight,
		},
		Seeds: e.config.Seeds, Pinger: pinger{e}, JoinInterval: joinInterval, Table: e.adapters.Table,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Log: e.log,
	}
}

// Run serves until ctx ends and then shuts down gracefully: it reports not
// ready, drains callers while other processes take over its groups, and closes
// its connections last.
func (e *Edge) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(runCtx)
	if err := e.listen(groupCtx, group); err != nil {
		return err
	}
	group.Go(func() error { return e.follower.Run(groupCtx, catalog.TopicConfiguration) })
	group.Go(func() error { return e.follower.Run(groupCtx, catalog.TopicServers) })
	group.Go(func() error { return e.subscriber.Run(groupCtx) })
	group.Go(func() error { return e.members.Run(groupCtx) })
	group.Go(func() error { return e.reconcileHomes(groupCtx) })
	group.Go(func() error { return e.lease.Run(groupCtx) })
	group.Go(func() error { return e.renewGrants(groupCtx) })
	group.Go(func() error { return e.succession.Run(groupCtx) })
	if e.quotaDealer != nil {
		group.Go(func() error { return e.quotaDealer.run(groupCtx) })
	}
	weight, limit := e.config.capacity().Weight()
	eventStarted.Log(&e.log).Str("callers", e.config.CallersListen).Str("peers", e.config.PeerListen).
		Str("failure_domain", e.config.FailureDomain).Int64("memory_limit", e.config.MemoryLimit).
		Uint32("weight", weight).Str("weight_limit", limit).Send()
	select {
	case <-ctx.Done():
		e.drain(runCtx)
	case <-groupCtx.Done():
	}
	stop()
	err := group.Wait()
	e.statementPeers.Close()
	e.controlPeers.Close()
	eventStopped.Log(&e.log).Dur("up", time.Since(e.started)).Send()
	if eris.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// listen opens the listeners and starts serving them in group.
func (e *Edge) listen(ctx context.Context, group *errgroup.Group) error {
	peers, err := e.adapters.Listen(ctx, e.config.PeerListen)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	ready, err := e.adapters.Listen(ctx, e.config.ReadyListen)
	if err != nil {
		return eris.Wrap(err, "listen for readiness checks")
	}
	front, err := e.adapters.Listen(ctx, e.config.CallersListen)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if err := boundBacklog(peers, peerBacklog); err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	peers = e.limitConnections(peers, "peers", peerDescriptorShare)
	ready = e.limitConnections(ready, "ready", httpDescriptorShare)
	group.Go(func() error {
		return e.peerServer.ServeWithin(ctx, peers, e.adapters.Memory, func() int { return e.descriptors(peerDescriptorShare) })
	})
	group.Go(func() error { return telemetry.ServeHTTP(ctx, ready, e.readyHandler()) })
	group.Go(func() error { return e.callers.serve(ctx, front) })
	if e.config.MetricsListen == "" {
		return nil
	}
	metrics, err := e.adapters.Listen(ctx, e.config.MetricsListen)
	if err != nil {
		return eris.Wrap(err, "listen for metrics")
	}
	metrics = e.limitConnections(metrics, "metrics", httpDescriptorShare)
	group.Go(func() error { return telemetry.ServeHTTP(ctx, metrics, telemetry.MetricsHandler()) })
	return nil
}

func (e *Edge) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// awaitCatalog waits up to catalogTimeout for the first configuration, and for its first
// confirmation where keys need one. It reports whether there is a configuration.
func (e *Edge) awaitCatalog(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, catalogTimeout)
	defer cancel()
	for {
		changed := e.tracker.Changed()
		configuration, _ := e.tracker.Versions()
		if configuration > 0 && !e.access.awaitsFirstConfirmation() {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return configuration > 0
		}
	}
}

// ready reports whether this process accepts new callers.
func (e *Edge) ready() bool {
	return e.tracker.Complete() && !e.access.awaitsFirstConfirmation() && !e.stopping.Load()
}
