package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/backend/backendtest"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/provider/providertest"
)

const (
	minFault = 300 * time.Millisecond
	maxFault = 5 * time.Second
	// platformDelay is the time of a call to the platform, and slowPlatform
	// while it is slow.
	platformDelay = 4 * time.Millisecond
	slowPlatform  = time.Second
	// patientTime is longer than the moves of a home after a planned stop.
	patientTime = 10 * time.Second
	// frozenTime is longer than the death of a member takes to be noticed.
	frozenTime = 6 * time.Second
	// lostMajorityTime is longer than a group without a majority waits for one
	// where a document lets it promote without.
	lostMajorityTime = 6 * time.Second
	// maxLaggard bounds how long a replica is kept from storing commits.
	maxLaggard = time.Second
	// partitionTime is longer than the other side takes to find a new home and
	// a new primary.
	partitionTime = 9 * time.Second
)

// fault begins a failure and returns how it ends.
type fault struct {
	name  string
	begin func(f *fleet, r *rand.Rand) (end func())
	// least is the time that the fault lasts at least.
	least time.Duration
}

// mix tells which faults come and how densely.
type mix struct {
	faults []fault
	// spacing is the mean time between the starts of two faults.
	spacing time.Duration
	// time is how long faults come. All end with it.
	time time.Duration
	// quiet is set where nothing but planned stops may end a request.
	quiet bool
	// timeout is that of the requests; requestTimeout if it is zero.
	timeout time.Duration
	// switchover is set where nothing keeps a leaving primary from being replaced.
	switchover bool
}

// everything mixes all faults; storm takes servers away faster than they come
// back; laggards leaves a server alone that lacks the last writes.
var (
	everything = mix{faults: allFaults, spacing: 900 * time.Millisecond, time: 11 * time.Second}
	storm      = mix{faults: serverFaults, spacing: 300 * time.Millisecond, time: 11 * time.Second}
	laggards   = mix{faults: []fault{majorityLoss}, spacing: 2 * time.Second, time: 15 * time.Second}
	stops      = mix{faults: []fault{plannedStop}, spacing: 10 * time.Second, time: 40 * time.Second, quiet: true, timeout: patientTime}
	outages    = mix{faults: platformFaults, spacing: 800 * time.Millisecond, time: 15 * time.Second}
	leavings   = mix{faults: leavingFaults, spacing: 3 * time.Second, time: 25 * time.Second, switchover: true}
	partitions = mix{faults: []fault{partition}, spacing: 8 * time.Second, time: 25 * time.Second}
)

var partition = fault{name: "partition primary with its home", begin: partitionWithHome, least: partitionTime}

var majorityLoss = fault{name: "lose majority", begin: loseMajority, least: lostMajorityTime}

var serverFaults = []fault{
	{name: "kill server", begin: killServer},
	{name: "kill primary", begin: killPrimary},
	{name: "freeze server", begin: freezeServer},
	{name: "isolate primary", begin: isolatePrimary},
	{name: "isolate primary with one proxy", begin: isolatePrimaryWithProxy},
}

var plannedStop = fault{name: "planned stop", begin: stopProxy}

var platformFaults = []fault{
	{name: "store down", begin: storeDown},
	{name: "store slow", begin: storeSlow},
	{name: "store loses answers", begin: storeLoses},
	{name: "cut proxy from store", begin: cutStore},
	{name: "kill proxy", begin: killProxy},
}

var leavingFaults = []fault{
	plannedStop,
	{name: "leaving server", begin: leaveServer, least: noticeTime},
	{name: "leaving primary", begin: leavePrimary, least: noticeTime},
}

var allFaults = []fault{
	{name: "kill server", begin: killServer},
	{name: "kill primary", begin: killPrimary},
	{name: "freeze server", begin: freezeServer},
	{name: "freeze primary", begin: freezePrimary},
	{name: "isolate primary", begin: isolatePrimary},
	{name: "isolate primary with one proxy", begin: isolatePrimaryWithProxy},
	{name: "silence", begin: silence},
	{name: "cut proxy to server", begin: cutToServer},
	{name: "cut server to proxy", begin: cutFromServer},
	{name: "cut peers", begin: cutPeers},
	{name: "kill proxy", begin: killProxy},
	{name: "freeze proxy", begin: freezeProxy, least: frozenTime},
	{name: "cut proxy from store", begin: cutStore},
	{name: "kill warden", begin: killWarden},
	{name: "freeze warden", begin: freezeWarden, least: frozenTime},
	{name: "lag", begin: lag},
	{name: "lose answers", begin: loseAnswers},
	partition,
	plannedStop,
	{name: "leaving server", begin: leaveServer, least: noticeTime},
	{name: "store down", begin: storeDown},
	{name: "store slow", begin: storeSlow},
	{name: "store loses answers", begin: storeLoses},
}

// injectFaults begins faults until the fault time is over and then ends all of
// them. One in four comes twice in a row.
func (f *fleet) injectFaults() {
	ctx, cancel := context.WithTimeout(f.ctx, f.mix.time)
	defer cancel()
	var running sync.WaitGroup
	for ctx.Err() == nil {
		chosen := f.mix.faults[f.random.IntN(len(f.mix.faults))]
		random := rand.New(rand.NewPCG(f.random.Uint64(), 3))
		last := minFault + time.Duration(f.random.Int64N(int64(maxFault-minFault)))
		times := 1
		if f.random.IntN(4) == 0 {
			times = 2
		}
		running.Go(func() {
			for range times {
				f.inject(ctx, chosen, random, last)
			}
		})
		delay.Sleep(ctx, time.Duration(f.random.ExpFloat64()*float64(f.mix.spacing)))
	}
	running.Wait()
}

func (f *fleet) inject(ctx context.Context, chosen fault, random *rand.Rand, last time.Duration) {
	if ctx.Err() != nil {
		return
	}
	f.trace("begin %s for %v", chosen.name, last)
	end := chosen.begin(f, random)
	delay.Sleep(ctx, chosen.least+last)
	end()
	f.trace("end %s", chosen.name)
}

var tracing = os.Getenv("RATTAN_TEST_LOG") != ""

func (f *fleet) trace(format string, args ...any) {
	if tracing {
		fmt.Fprintf(os.Stderr, "%s seed %d: %s\n", time.Now().Format("05.000"), f.seed, fmt.Sprintf(format, args...))
	}
}

func (f *fleet) anyGroup(r *rand.Rand) (cluster.GroupName, *backendtest.Group) {
	name := f.names[r.IntN(len(f.names))]
	return name, f.groups[name]
}

func (f *fleet) anyServer(r *rand.Rand) (*backendtest.Group, cluster.ServerID) {
	name, g := f.anyGroup(r)
	return g, f.servers(name)[r.IntN(serverCount)]
}

func (f *fleet) anyPrimary(r *rand.Rand) (*backendtest.Group, cluster.ServerID) {
	name, g := f.anyGroup(r)
	return g, f.primary(name)
}

func killServer(f *fleet, r *rand.Rand) func()  { return downServer(f.anyServer(r)) }
func killPrimary(f *fleet, r *rand.Rand) func() { return downServer(f.anyPrimary(r)) }

func downServer(g *backendtest.Group, id cluster.ServerID) func() {
	g.Kill(id)
	return func() { g.Restart(id) }
}

func freezeServer(f *fleet, r *rand.Rand) func()  { return stallServer(f.anyServer(r)) }
func freezePrimary(f *fleet, r *rand.Rand) func() { return stallServer(f.anyPrimary(r)) }

func stallServer(g *backendtest.Group, id cluster.ServerID) func() {
	g.Suspend(id)
	return func() { g.Resume(id) }
}

func isolatePrimary(f *fleet, r *rand.Rand) func() { return f.isolate(r, "") }

func isolatePrimaryWithProxy(f *fleet, r *rand.Rand) func() {
	return f.isolate(r, f.proxy(r.IntN(proxyCount)).name)
}

func (f *fleet) isolate(r *rand.Rand, except string) func() {
	g, id := f.anyPrimary(r)
	return f.isolateServer(g, id, except)
}

func (f *fleet) isolateServer(g *backendtest.Group, id cluster.ServerID, except string) func() {
	var clients []string
	for _, n := range f.nodes() {
		if n.name != except {
			clients = append(clients, n.name)
		}
	}
	g.Isolate(id, clients...)
	return func() { g.Rejoin(id, clients...) }
}

func silence(f *fleet, r *rand.Rand) func() {
	g, id := f.anyPrimary(r)
	for _, n := range f.nodes() {
		g.BlackholeConns(n.name, id)
	}
	return func() {}
}

func cutToServer(f *fleet, r *rand.Rand) func() {
	g, id := f.anyPrimary(r)
	name := f.proxy(r.IntN(proxyCount)).name
	g.DropTraffic(name, string(id))
	return func() { g.RestoreTraffic(name, string(id)) }
}

func cutFromServer(f *fleet, r *rand.Rand) func() {
	g, id := f.anyPrimary(r)
	name := f.homeOf(r).name
	g.DropTraffic(string(id), name)
	return func() { g.RestoreTraffic(string(id), name) }
}

// homeOf returns the process that a member takes for the home of a group.
func (f *fleet) homeOf(r *rand.Rand) *node {
	return f.homeOfGroup(r, f.names[r.IntN(len(f.names))])
}

func (f *fleet) homeOfGroup(r *rand.Rand, name cluster.GroupName) *node {
	m, ok := f.proxy(r.IntN(proxyCount)).members.Snapshot().HomeOf(name)
	if ok {
		if n := f.net.find(m.Address); n != nil {
			return n
		}
	}
	return f.proxy(r.IntN(proxyCount))
}

// partitionWithHome leaves a primary with the home of its group and cuts both
// off from everything else.
func partitionWithHome(f *fleet, r *rand.Rand) func() {
	name, _ := f.anyGroup(r)
	return f.partition(name, f.homeOfGroup(r, name))
}

func (f *fleet) partition(name cluster.GroupName, n *node) func() {
	g, id := f.groups[name], f.primary(name)
	if n.stopped() {
		return func() {}
	}
	rejoin := f.isolateServer(g, id, n.name)
	f.trace("partition %s with %s", id, n.name)
	heal := f.cutOff(n)
	g.RestoreTraffic(n.name, string(id))
	g.RestoreTraffic(string(id), n.name)
	return func() {
		rejoin()
		heal()
	}
}

// cutPeers cuts one direction between a home and another proxy.
func cutPeers(f *fleet, r *rand.Rand) func() {
	a, b := f.homeOf(r).address, f.proxy(r.IntN(proxyCount)).address
	if r.IntN(2) == 0 {
		a, b = b, a
	}
	f.net.cut(a, b)
	return func() { f.net.heal(a, b) }
}

func killProxy(f *fleet, r *rand.Rand) func() {
	n := f.homeOf(r)
	f.kill(n)
	return func() { n.restart.Do(func() { f.startProxy(n.index) }) }
}

func killWarden(f *fleet, r *rand.Rand) func() {
	n := f.warden(r.IntN(wardenCount))
	f.kill(n)
	return func() { n.restart.Do(func() { f.startWarden(n.index) }) }
}

func freezeProxy(f *fleet, r *rand.Rand) func()  { return f.cutOff(f.homeOf(r)) }
func freezeWarden(f *fleet, r *rand.Rand) func() { return f.cutOff(f.warden(r.IntN(wardenCount))) }

// cutOff cuts a process off from servers, peers and the store, both ways. It
// goes on with its old beliefs when the cut ends.
func (f *fleet) cutOff(n *node) func() {
	if n.stopped() {
		return func() {} // a killed process stays cut
	}
	each := func(servers func(*backendtest.Group, string, string), peers func(string, string)) {
		for _, name := range f.names {
			for _, id := range f.servers(name) {
				servers(f.groups[name], n.name, string(id))
				servers(f.groups[name], string(id), n.name)
			}
		}
		for _, other := range f.nodes() {
			if other != n {
				peers(n.address, other.address)
				peers(other.address, n.address)
			}
		}
	}
	each((*backendtest.Group).DropTraffic, f.net.cut)
	n.store.cut()
	return func() {
		if n.stopped() {
			each(func(*backendtest.Group, string, string) {}, f.net.heal)
			return
		}
		each((*backendtest.Group).RestoreTraffic, f.net.heal)
		n.store.heal()
	}
}

func cutStore(f *fleet, r *rand.Rand) func() {
	n := f.homeOf(r)
	n.store.cut()
	return n.store.heal
}

// loseMajority takes the primary and a replica away after the other replica
// was kept from storing commits for a while.
func loseMajority(f *fleet, r *rand.Rand) func() {
	name, g := f.anyGroup(r)
	primary := f.primary(name)
	servers := f.servers(name)
	first := slices.Index(servers, primary) + 1 + r.IntN(serverCount-1)
	laggard := servers[first%serverCount]
	g.DropTraffic(string(primary), string(laggard))
	time.Sleep(time.Duration(r.Int64N(int64(maxLaggard))))
	for _, id := range servers {
		if id != laggard {
			g.Kill(id)
		}
	}
	g.RestoreTraffic(string(primary), string(laggard))
	return func() {
		for _, id := range servers {
			if id != laggard {
				g.Restart(id)
			}
		}
	}
}

func lag(f *fleet, r *rand.Rand) func() {
	g, id := f.anyServer(r)
	g.SetReplayLag(id, time.Duration(r.Int64N(int64(3*time.Second))))
	return func() { g.SetReplayLag(id, 30*time.Millisecond) }
}

func loseAnswers(f *fleet, r *rand.Rand) func() {
	g, id := f.anyPrimary(r)
	g.LoseResponses(id, 1+r.IntN(4))
	return func() { g.LoseResponses(id, 0) }
}

func (f *fleet) services() []*providertest.Faults {
	return []*providertest.Faults{&f.table.Faults, &f.objects.Faults, &f.vms.Faults}
}

// eachService makes a service of the platform fail and returns how that ends.
func (f *fleet) eachService(begin, end func(*providertest.Faults)) func() {
	f.platform.cut()
	for _, s := range f.services() {
		begin(s)
	}
	return func() {
		for _, s := range f.services() {
			end(s)
		}
		f.platform.heal()
	}
}

func storeDown(f *fleet, _ *rand.Rand) func() {
	return f.eachService(
		func(s *providertest.Faults) { s.SetDown(true) },
		func(s *providertest.Faults) { s.SetDown(false) })
}

func storeSlow(f *fleet, _ *rand.Rand) func() {
	return f.eachService(
		func(s *providertest.Faults) { s.SetDelay(slowPlatform) },
		func(s *providertest.Faults) { s.SetDelay(platformDelay) })
}

func storeLoses(f *fleet, r *rand.Rand) func() {
	return f.eachService(
		func(s *providertest.Faults) { s.SetRandomFaults(rand.New(rand.NewPCG(r.Uint64(), 5)), 0.1, 0.3) },
		func(s *providertest.Faults) { s.SetRandomFaults(nil, 0, 0) })
}
