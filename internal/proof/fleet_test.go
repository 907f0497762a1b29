package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/backend/backendtest"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/failover"
	"github.com/rattancove/rattancove/internal/gateway"
	"github.com/rattancove/rattancove/internal/home"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/provider"
	"github.com/rattancove/rattancove/internal/provider/providertest"
	"github.com/rattancove/rattancove/internal/rollout"
	"github.com/rattancove/rattancove/internal/statement"
	"github.com/rattancove/rattancove/internal/warden"
)

const (
	groupCount  = 3
	serverCount = 3
	proxyCount  = 8
	wardenCount = 3
	serverSlots = 2
	serverConns = 16
	// homeCheckInterval and disownDelay equal those of the proxy program.
	homeCheckInterval = time.Second
	disownDelay       = 10 * time.Second
)

// fleet is a whole deployment in one synctest bubble.
type fleet struct {
	t          *testing.T
	seed       uint64
	random     *rand.Rand
	disabled   disabledMechanisms
	faults     faultMix
	doc        *environment.Document
	groups     map[cluster.GroupName]*backendtest.Group
	groupNames []cluster.GroupName
	table      *providertest.Table
	// objects holds the documents. platformReachability is cut while faults of the
	// platform last.
	objects              *providertest.ObjectStore
	platformReachability *reachability
	documentChecks       *documentChecks
	vms                  *providertest.VMList
	leaving              *leavingServers
	network              *network
	ctx                  context.Context
	stop                 context.CancelFunc
	goroutines           sync.WaitGroup
	// commits holds the claim of a home under which each answered commit was made.
	commits *commitLog

	mu         sync.Mutex
	startCount uint64
	proxies    [proxyCount]*node
	wardens    [wardenCount]*node
}

// node is one process: a proxy or a warden. Its ctx ends when it stops.
type node struct {
	fleet   *fleet
	name    string
	index   int
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	dialer  *fleetDialer
	members *member.Membership
	home    *home.Home
	gateway statement.Runner
	// restart makes sure that a killed process is replaced only once.
	restart sync.Once
	self    member.Member
	started time.Time
	// storeReachability tracks whether this process reaches the platform.
	storeReachability *reachability
	watcher           *rollout.Watcher
	// appliedRevision is the revision that was applied to the home.
	appliedRevision atomic.Uint64
	// draining is set when a planned stop begins, and rejecting when the proxy accepts
	// no more requests of callers.
	draining, rejecting atomic.Bool
	// peerRequests counts the requests of peers that run here or are relayed.
	peerRequests atomic.Int32
	// outOfRotationAt is the time in Unix nanoseconds from which on the load balancer
	// sends no more callers; zero before a planned stop.
	outOfRotationAt atomic.Int64
	// inFlight counts the running requests of callers of this proxy.
	inFlight atomic.Int64
}

func (n *node) stopped() bool { return n.ctx.Err() != nil }

func newFleet(t *testing.T, seed uint64, faults faultMix, disabled disabledMechanisms) *fleet {
	f := &fleet{
		t: t, seed: seed, faults: faults, disabled: disabled, random: rand.New(rand.NewPCG(seed, 11)), table: providertest.NewTable(),
		objects: providertest.NewObjectStore(), platformReachability: &reachability{reachableSince: time.Now()}, documentChecks: &documentChecks{counts: map[string]int{}},
		vms: &providertest.VMList{}, leaving: &leavingServers{notices: map[cluster.ServerID]leavingNotice{}, counts: map[string]int{}},
		network: newNetwork(), groups: map[cluster.GroupName]*backendtest.Group{}, commits: newCommitLog(),
	}
	f.ctx, f.stop = context.WithCancel(context.Background())
	f.doc = &environment.Document{Name: environmentName, Customers: []environment.Customer{{Name: customerName}}}
	f.doc.SetDefaults()
	if disabled.majorityAck {
		f.doc.Ranks.Urgent.Ack, f.doc.Ranks.Normal.Ack, f.doc.Ranks.Background.Ack =
			environment.AckPrimary, environment.AckPrimary, environment.AckPrimary
	}
	for i := range groupCount {
		f.addGroup(cluster.GroupName(fmt.Sprintf("group_%d_%d", seed, i)), i)
	}
	f.publishFirst()
	for _, s := range f.services() {
		s.SetDelay(platformDelay)
	}
	for i := range wardenCount {
		f.startWarden(i)
	}
	for i := range proxyCount {
		f.startProxy(i)
	}
	f.goroutines.Go(f.monitorRollouts)
	return f
}

func (f *fleet) addGroup(name cluster.GroupName, index int) {
	g := environment.Group{Name: name, Customers: []string{customerName}}
	g.SetDefaults()
	if f.disabled.majoritySeals {
		g.Promotion.NoMajority = environment.NoMajorityPromote
	}
	var servers []cluster.Server
	for i := range serverCount {
		s := environment.Server{
			ID:            cluster.ServerID(fmt.Sprintf("g%ds%d", index, i)),
			Address:       fmt.Sprintf("10.0.%d.%d:5432", index+1, i+1),
			FailureDomain: fmt.Sprintf("d%d", i), Slots: serverSlots, Connections: serverConns,
		}
		g.Servers = append(g.Servers, s)
		servers = append(servers, s.Cluster())
	}
	f.doc.Groups = append(f.doc.Groups, g)
	f.groupNames = append(f.groupNames, name)
	f.groups[name] = backendtest.New(backendtest.Config{
		Name: name, Servers: servers, ReplicationDelay: 2 * time.Millisecond, ReplayLag: 30 * time.Millisecond,
		ConnectDelay: 12 * time.Millisecond, NetworkDelay: 500 * time.Microsecond,
	})
}

func (f *fleet) newNode(role member.Role, index, port int) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startCount++
	n := &node{fleet: f, index: index, name: fmt.Sprintf("%s-%d-%d", role, index, f.startCount), started: time.Now()}
	n.storeReachability = &reachability{reachableSince: n.started}
	n.address = fmt.Sprintf("10.1.0.%d:%d", index+1, port)
	n.ctx, n.cancel = context.WithCancel(f.ctx)
	n.dialer = &fleetDialer{fleet: f, node: n, client: n.name, isProxy: role == member.RoleProxy}
	n.self = member.Member{
		ID: fmt.Sprintf("entry-%d", index), Role: role, Address: n.address,
		FailureDomain: fmt.Sprintf("d%d", index%serverCount), Incarnation: f.startCount,
	}
	n.members = member.New(member.Config{
		Self: n.self, Seeds: []string{"10.1.0.1:7000", "10.1.0.2:7000", "10.1.0.3:7000"}, Pinger: pinger{n},
		Table: &nodeTable{Table: f.table, node: n}, VMs: &nodeVMs{f.vms, n}, Rand: rand.New(rand.NewPCG(f.seed, f.startCount)), Log: zerolog.Nop(),
	})
	n.createWatcher()
	return n
}

func (f *fleet) startProxy(index int) {
	n := f.newNode(member.RoleProxy, index, 7000)
	n.home = home.New(home.Config{ID: cluster.ProxyID(n.self.ID), Handoff: n.requestRelease}, n.dialer)
	n.gateway = f.disabled.wrapGateway(gateway.New(gateway.Config{
		Self: cluster.ProxyID(n.self.ID), Local: f.disabled.wrapHome(n.home), HomeLocator: directory{n},
	}))
	f.mu.Lock()
	f.proxies[index] = n
	f.mu.Unlock()
	n.start()
	f.goroutines.Go(n.maintainHomes)
}

func (f *fleet) startWarden(index int) {
	n := f.newNode(member.RoleWarden, index, 7001)
	w := warden.New(warden.Config{
		Self: n.self, Dialer: n.dialer, Store: failover.NewRecordStore(&nodeTable{Table: f.table, node: n}), Members: n.members,
		Prober: prober{n}, Document: n.documentInForce, Seed: f.seed*100 + uint64(index), Log: zerolog.Nop(),
	})
	f.mu.Lock()
	f.wardens[index] = n
	f.mu.Unlock()
	n.start()
	f.goroutines.Go(func() { _ = w.Run(n.ctx) })
}

// start registers the process in the network and starts its membership and the watch
// of documents.
func (n *node) start() {
	n.fleet.network.register(n)
	n.fleet.goroutines.Go(func() { _ = n.members.Run(n.ctx) })
	n.fleet.goroutines.Go(func() { _ = n.watcher.Run(n.ctx) })
	n.fleet.goroutines.Go(n.announceDocuments)
}

// kill ends a process as the loss of its VM does: the servers keep its connections
// open until another home's claim ends them.
func (f *fleet) kill(n *node) {
	for _, name := range f.groupNames {
		for _, s := range f.servers(name) {
			f.groups[name].DropTraffic(n.name, string(s))
			f.groups[name].DropTraffic(string(s), n.name)
		}
	}
	n.cancel()
	if n.home != nil {
		f.goroutines.Go(func() { n.home.Close(n.ctx) })
	}
}

func (f *fleet) servers(name cluster.GroupName) []cluster.ServerID {
	g, _ := f.doc.Group(name)
	var ids []cluster.ServerID
	for _, s := range g.Servers {
		ids = append(ids, s.ID)
	}
	return ids
}

// nodes returns the current processes.
func (f *fleet) nodes() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(append([]*node(nil), f.proxies[:]...), f.wardens[:]...)
}

func (f *fleet) proxy(i int) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proxies[i]
}

func (f *fleet) warden(i int) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wardens[i]
}

// primary returns the primary with the highest term, or the first server if there is
// no primary.
func (f *fleet) primary(name cluster.GroupName) cluster.ServerID {
	best := cluster.ServerStatus{Server: f.servers(name)[0]}
	for _, id := range f.servers(name) {
		if status := f.groups[name].Status(id); status.Role == cluster.RolePrimary && status.Term > best.Term {
			best = status
		}
	}
	return best.Server
}

// close ends all goroutines, as the bubble ends only then.
func (f *fleet) close() {
	f.stop()
	for _, n := range f.nodes() {
		if n.home != nil {
			n.home.Close(n.ctx)
		}
	}
	for _, g := range f.groups {
		g.Close()
	}
	f.goroutines.Wait()
	time.Sleep(time.Minute) // until messages in transit have arrived
}

// maintainHomes makes the home own the groups that the directory assigns to this proxy
// and disown the others, as the proxy program does.
func (n *node) maintainHomes() {
	documents, stop := n.watcher.Subscribe()
	defer stop()
	notHomeSince := map[cluster.GroupName]time.Time{}
	for {
		changed := n.members.Changed()
		for _, name := range n.fleet.groupNames {
			n.assignGroup(name, notHomeSince)
		}
		n.markLeaving()
		select {
		case <-n.ctx.Done():
			return
		case d := <-documents:
			n.applyDocument(d)
		case <-changed:
		case <-time.After(homeCheckInterval):
		}
	}
}

func (n *node) assignGroup(name cluster.GroupName, notHomeSince map[cluster.GroupName]time.Time) {
	m, ok := n.members.Snapshot().HomeOf(name)
	if ok && m.Address == n.address {
		_ = n.home.Own(name) // retried after homeCheckInterval
		delete(notHomeSince, name)
		return
	}
	since, known := notHomeSince[name]
	if !known {
		notHomeSince[name] = time.Now()
	} else if time.Since(since) >= disownDelay {
		n.home.Disown(name)
	}
}

func (n *node) requestRelease(ctx context.Context, holder cluster.ProxyID, group cluster.GroupName) error {
	e, ok := n.members.Snapshot().Find(member.Key{Role: member.RoleProxy, ID: string(holder)})
	if !ok || (e.State != member.StateAlive && e.State != member.StateLeaving) {
		return nil
	}
	return n.fleet.network.call(ctx, n, e.Member.Address, func(ctx context.Context, to *node) { _ = to.home.Release(ctx, group) })
}

// directory implements gateway.Directory.
type directory struct{ node *node }

func (d directory) HomeOf(group cluster.GroupName) cluster.ProxyID {
	m, ok := d.node.members.Snapshot().HomeOf(group)
	if !ok {
		return ""
	}
	return cluster.ProxyID(m.ID)
}

func (d directory) Relay(exclude ...cluster.ProxyID) cluster.ProxyID {
	var ids []cluster.ProxyID
	for _, m := range d.node.members.Snapshot().Usable(member.RoleProxy) {
		if id := cluster.ProxyID(m.ID); !slices.Contains(exclude, id) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return ids[rand.IntN(len(ids))]
}

func (d directory) Runner(id cluster.ProxyID) statement.Runner {
	e, ok := d.node.members.Snapshot().Find(member.Key{Role: member.RoleProxy, ID: string(id)})
	if !ok {
		return nil
	}
	return peerRunner{from: d.node, address: e.Member.Address}
}

// nodeTable is one process's access to the table service.
type nodeTable struct {
	provider.Table
	node *node
}

// awaitStore returns an error if the process cannot call the platform. While the
// platform is unreachable, it blocks until ctx ends.
func (n *node) awaitStore(ctx context.Context) error {
	if n.storeReachability.isCut() {
		<-ctx.Done()
	}
	if n.stopped() {
		return providertest.ErrUnavailable
	}
	return ctx.Err()
}

func (t *nodeTable) Get(ctx context.Context, key string) (provider.Row, error) {
	if err := t.node.awaitStore(ctx); err != nil {
		return provider.Row{}, err
	}
	return t.Table.Get(ctx, key)
}

func (t *nodeTable) List(ctx context.Context, prefix string) ([]provider.Row, error) {
	if err := t.node.awaitStore(ctx); err != nil {
		return nil, err
	}
	return t.Table.List(ctx, prefix)
}

func (t *nodeTable) Commit(ctx context.Context, writes ...provider.Write) ([]uint64, error) {
	if err := t.node.awaitStore(ctx); err != nil {
		return nil, err
	}
	return t.Table.Commit(ctx, writes...)
}
