package home

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/rank"
	"github.com/rattancove/rattancove/internal/route"
	"github.com/rattancove/rattancove/internal/statement"
)

// Config describes a Home.
type Config struct {
	ID cluster.ProxyID
	// FailureDomain is the failure domain whose servers reads prefer among equal ones where
	// the VMs are of unequal capacity; empty for none.
	FailureDomain string
	// Policy selects how slots are granted; empty means rank.PolicyRanked.
	Policy rank.Policy
	// Proxies is the number of proxies that share each server under rank.PolicyStatic.
	Proxies int
	// Handoff asks the current home of a group to drain and release it. It is
	// called before a claim, which is made whether Handoff succeeds or not. It
	// may be nil.
	Handoff func(ctx context.Context, holder cluster.ProxyID, group cluster.GroupName) error
	// NoClaims is set where the servers do not track homes: no claims are made,
	// and another proxy may run requests of the same group at any time.
	NoClaims bool
	// Terms checks whether a term is current without querying the servers. If it
	// is nil, each request whose result depends on the current term needs a proof.
	Terms TermChecker
	// RequestGrants asks for grants of terms before the next ones are due. It does not
	// block and may be nil.
	RequestGrants func()
	// Quotas admits the operations of organisations; nil if there are no quotas.
	Quotas Quotas
	// EvenLoad spreads the requests of a group over its servers by package balance, where
	// the configuration lists organisations or the VMs are of unequal capacity.
	EvenLoad bool
	// ExactClasses is set where the protocol itself distinguishes reads from
	// writes, so that reads need not be run with writes disabled.
	ExactClasses bool
	// RequestBytes returns the bound of the bytes of waiting requests of a group that follows
	// from the memory limit of the process; zero if there is none. It may be nil.
	RequestBytes func() int64
	// Log receives events; the zero value discards them.
	Log *zerolog.Logger
}

// TermChecker checks whether the term of a group is current, that is, whether no
// primary of a later term can have acknowledged a write.
type TermChecker interface {
	Valid(group cluster.GroupName, term cluster.Term) bool
	// Acknowledge is Valid for a commit whose acknowledgement is passed on if it returns
	// true.
	Acknowledge(group cluster.GroupName, term cluster.Term, position cluster.Position) bool
}

// Quotas admits the operations of organisations.
type Quotas interface {
	// Admit returns nil when an operation of the organisation may run. It may wait for
	// a moment. refund is called if the operation was not sent to a server; it may be nil.
	Admit(ctx context.Context, organisation string) (refund func(), err error)
}

// Home runs the requests of the groups that this proxy owns. It is safe for
// concurrent use.
type Home struct {
	config Config
	dialer backend.Dialer
	log    *zerolog.Logger
	// unequalVMs is set where the VMs of the deployment are of unequal capacity.
	unequalVMs atomic.Bool

	mu     sync.Mutex
	groups map[cluster.GroupName]environment.Group
	ranks  environment.Ranks
	limits environment.Limits
	// organisations holds the ranks of the organisations; the map is replaced as a whole.
	organisations map[string]cluster.Rank
	owners        map[cluster.GroupName]*owner
	leaving       map[cluster.ServerID]bool
	departures    map[cluster.GroupName]departures
	// released holds the groups that this proxy released, by name.
	released  map[cluster.GroupName]*releasedGroup
	releasing sync.WaitGroup
	closed    bool
	disabled  safetyRules
	// replicaWait is how long a read waits for a replica to catch up.
	replicaWait time.Duration
}

// safetyRules names the safety rules that tests disable to show what each prevents.
type safetyRules struct {
	// quorumProof is the proof by a majority before a response is forwarded.
	quorumProof bool
	// sessionFloors is the use of the floors that the home keeps for sessions.
	sessionFloors bool
	// replicationWait is the wait until a majority has stored a write.
	replicationWait bool
	// repeatProof is the proof before the recorded response to a repeated order is returned.
	repeatProof bool
}

var _ statement.Runner = (*Home)(nil)

// New returns a Home that owns no group. Close stops its goroutines.
func New(config Config, dialer backend.Dialer) *Home {
	log := config.Log
	if log == nil {
		nop := zerolog.Nop()
		log = &nop
	}
	return &Home{
		config: config, dialer: dialer, log: log, replicaWait: route.DefaultReplicaWait,
		groups:   make(map[cluster.GroupName]environment.Group),
		owners:   make(map[cluster.GroupName]*owner),
		leaving:  make(map[cluster.ServerID]bool),
		released: make(map[cluster.GroupName]*releasedGroup), departures: make(map[cluster.GroupName]departures),
	}
}

// SetDocument applies a document. Groups that it no longer contains are
// released; owners of groups whose servers changed continue with the new servers.
func (h *Home) SetDocument(d *environment.Document) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ranks = d.Ranks
	h.limits = d.Limits
	groups := make(map[cluster.GroupName]environment.Group, len(d.Groups))
	for _, g := range d.Groups {
		groups[g.Name] = g
		h.departures[g.Name] = h.departures[g.Name].update(h.groups[g.Name], g)
	}
	h.groups = groups
	for name, o := range h.owners {
		g, ok := h.groups[name]
		if !ok {
			h.release(name)
			continue
		}
		o.configure(g, h.ranks, h.limits)
	}
}

// SetOrganisations applies the ranks of the organisations, by which the waiting requests
// of a rank are ordered. It must not be changed afterwards.
func (h *Home) SetOrganisations(ranks map[string]cluster.Rank) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if maps.Equal(h.organisations, ranks) {
		return
	}
	h.organisations = ranks
	for _, o := range h.owners {
		o.setOrganisations(ranks)
	}
}

// SetUnequalVMs applies whether the VMs of the deployment are of unequal capacity.
func (h *Home) SetUnequalVMs(unequal bool) {
	if h.unequalVMs.Swap(unequal) == unequal {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.owners {
		o.reconfigure()
	}
}

// Own makes this proxy the home of a group. It returns immediately; the claim
// continues in the background until it succeeds, is superseded or the group is
// disowned. It has no effect on a group that is already owned, unless its owner
// was superseded.
func (h *Home) Own(group cluster.GroupName) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	g, ok := h.groups[group]
	if !ok || h.closed || h.recentlyReleased(group) {
		return errcode.New(errcode.NoHome, "own", string(group))
	}
	if o, ok := h.owners[group]; ok {
		if !o.superseded() {
			return nil
		}
		h.release(group)
	}
	h.startOwner(g)
	return nil
}

// startOwner starts an owner of g. The caller holds the lock.
func (h *Home) startOwner(g environment.Group) {
	o := newOwner(h, g)
	h.owners[g.Name] = o
	o.start()
	for id := range h.leaving {
		o.setLeaving(id, true) // before the owner can serve a request
	}
}

// Idle returns the time since the last request of an owned group; zero for a
// group that is not owned.
func (h *Home) Idle(group cluster.GroupName) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	o, ok := h.owners[group]
	if !ok {
		return 0
	}
	return o.sinceLastRequest()
}

// Disown releases a group: it accepts no more requests, lets running ones
// finish within drainTimeout and closes the connections. It returns immediately.
func (h *Home) Disown(group cluster.GroupName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.release(group)
}

// release removes an owner and drains it in the background. The caller holds the lock.
func (h *Home) release(group cluster.GroupName) {
	o, ok := h.owners[group]
	if !ok {
		return
	}
	delete(h.owners, group)
	r := &releasedGroup{drained: make(chan struct{})}
	h.released[group] = r
	h.releasing.Go(func() {
		defer close(r.drained)
		ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
		defer cancel()
		o.close(ctx)
	})
}

// SetLeaving records whether a backend server is about to be removed. A replica
// that is leaving gets no new requests.
func (h *Home) SetLeaving(server cluster.ServerID, leaving bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if leaving {
		h.leaving[server] = true
	} else {
		delete(h.leaving, server)
	}
	for _, o := range h.owners {
		o.setLeaving(server, leaving)
	}
}

// Run implements statement.Runner for the owned groups.
func (h *Home) Run(ctx context.Context, req *statement.Request, conv statement.Conversation) (statement.Result, error) {
	o, err := h.ownerFor(req.Group)
	if err != nil {
		return statement.Result{}, err
	}
	ctx = otel.GetTextMapPropagator().Extract(ctx, propagation.MapCarrier{"traceparent": req.TraceParent})
	ctx, span := otel.Tracer("rattancove/home").Start(ctx, "home.run")
	defer span.End()
	span.SetAttributes(attribute.String("request", req.ID), attribute.String("rank", req.Rank.String()))
	started := time.Now()
	result, err := o.run(ctx, req, conv)
	requestSeconds[rankOf(req)].UpdateDuration(started)
	span.SetAttributes(attribute.String("server", string(result.Server)))
	if err != nil {
		span.RecordError(err)
	}
	return result, err
}

func rankOf(req *statement.Request) cluster.Rank {
	return min(req.Rank, cluster.RankBackground)
}

// ownerFor returns the owner of a group. Where no claims are made, it starts one if
// there is none.
func (h *Home) ownerFor(group cluster.GroupName) (*owner, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil, errcode.New(errcode.Draining, "home", string(h.config.ID))
	}
	if o, ok := h.owners[group]; ok {
		return o, nil
	}
	g, ok := h.groups[group]
	if !ok || !h.config.NoClaims {
		return nil, errcode.New(errcode.NoHome, "home", string(group))
	}
	// Another process considers this one the home of the group, or its fallback
	// home while the home is unreachable. No claim is needed for that.
	h.startOwner(g)
	return h.owners[group], nil
}

// Close releases all groups and waits until their goroutines have ended.
// Requests that still run when ctx ends are aborted.
func (h *Home) Close(ctx context.Context) {
	h.mu.Lock()
	h.closed = true
	owners := h.owners
	h.owners = make(map[cluster.GroupName]*owner)
	h.mu.Unlock()
	var closing sync.WaitGroup
	for _, o := range owners {
		closing.Go(func() { o.close(ctx) })
	}
	closing.Wait()
	h.releasing.Wait()
}
