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
	// platformDelay is the usual duration of a call to the platform, and
	// slowPlatformDelay the one while the platform is slow.
	platformDelay     = 4 * time.Millisecond
	slowPlatformDelay = time.Second
	// longRequestTimeout exceeds the time in which homes move after a planned stop.
	longRequestTimeout = 10 * time.Second
	// minFreezeTime exceeds the time in which a dead member is detected.
	minFreezeTime = 6 * time.Second
	// minMajorityLossTime exceeds the time for which a group waits for a majority
	// before it promotes without one, where the document permits that.
	minMajorityLossTime = 6 * time.Second
	// maxReplicationCut is the maximum time for which a replica is cut off from its
	// primary before the majority is lost.
	maxReplicationCut = time.Second
	// partitionDuration exceeds the time in which the other side of a partition gets a
	// new home and a new primary.
	partitionDuration = 9 * time.Second
)

// fault is a kind of fault. inject starts it and returns the function that ends it.
type fault struct {
	name   string
	inject func(f *fleet, r *rand.Rand) (end func())
	// minDuration is added to the random duration of the fault.
	minDuration time.Duration
}

// faultMix sets the kinds of faults of a run and their frequency.
type faultMix struct {
	kinds []fault
	// meanInterval is the mean time between the starts of two faults.
	meanInterval time.Duration
	// duration is the time for which faults are injected. All of them end with it.
	duration time.Duration
	// allMustComplete is set if every request must be done, as planned stops are the
	// only faults.
	allMustComplete bool
	// requestTimeout overrides the constant of that name unless it is zero.
	requestTimeout time.Duration
	// replacePrimaries is set if no fault keeps the wardens from replacing a leaving
	// primary.
	replacePrimaries bool
}

// allFaultsMix has all kinds of faults. serverFaultsMix injects faults at servers
// faster than they end. majorityLossMix kills two servers of a group while the third
// one lacks the last writes.
var (
	allFaultsMix    = faultMix{kinds: allFaults, meanInterval: 900 * time.Millisecond, duration: 11 * time.Second}
	serverFaultsMix = faultMix{kinds: serverFaults, meanInterval: 300 * time.Millisecond, duration: 11 * time.Second}
	majorityLossMix = faultMix{kinds: []fault{majorityLoss}, meanInterval: 2 * time.Second, duration: 15 * time.Second}
	plannedStopMix  = faultMix{kinds: []fault{plannedStop}, meanInterval: 10 * time.Second, duration: 40 * time.Second, allMustComplete: true, requestTimeout: longRequestTimeout}
	outageMix       = faultMix{kinds: platformFaults, meanInterval: 800 * time.Millisecond, duration: 15 * time.Second}
	leavingMix      = faultMix{kinds: leavingFaults, meanInterval: 3 * time.Second, duration: 25 * time.Second, replacePrimaries: true}
	partitionMix    = faultMix{kinds: []fault{partition}, meanInterval: 8 * time.Second, duration: 25 * time.Second}
)

var partition = fault{name: "partition primary with its home", inject: partitionWithHome, minDuration: partitionDuration}

var majorityLoss = fault{name: "lose majority", inject: loseMajority, minDuration: minMajorityLossTime}

var serverFaults = []fault{
	{name: "kill server", inject: killServer},
	{name: "kill primary", inject: killPrimary},
	{name: "freeze server", inject: freezeServer},
	{name: "isolate primary", inject: isolatePrimary},
	{name: "isolate primary with one proxy", inject: isolatePrimaryWithProxy},
}

var plannedStop = fault{name: "planned stop", inject: stopProxy}

var platformFaults = []fault{
	{name: "store down", inject: storeDown},
	{name: "store slow", inject: storeSlow},
	{name: "store loses answers", inject: storeLosesResponses},
	{name: "cut proxy from store", inject: cutStore},
	{name: "kill proxy", inject: killProxy},
}

var leavingFaults = []fault{
	plannedStop,
	{name: "leaving server", inject: announceAndKillServer, minDuration: noticePeriod},
	{name: "leaving primary", inject: announceAndKillPrimary, minDuration: noticePeriod},
}

var allFaults = []fault{
	{name: "kill server", inject: killServer},
	{name: "kill primary", inject: killPrimary},
	{name: "freeze server", inject: freezeServer},
	{name: "freeze primary", inject: freezePrimary},
	{name: "isolate primary", inject: isolatePrimary},
	{name: "isolate primary with one proxy", inject: isolatePrimaryWithProxy},
	{name: "silence", inject: blackholeConns},
	{name: "cut proxy to server", inject: cutToServer},
	{name: "cut server to proxy", inject: cutFromServer},
	{name: "cut peers", inject: cutPeers},
	{name: "kill proxy", inject: killProxy},
	{name: "freeze proxy", inject: freezeProxy, minDuration: minFreezeTime},
	{name: "cut proxy from store", inject: cutStore},
	{name: "kill warden", inject: killWarden},
	{name: "freeze warden", inject: freezeWarden, minDuration: minFreezeTime},
	{name: "lag", inject: lag},
	{name: "lose answers", inject: loseResponses},
	partition,
	plannedStop,
	{name: "leaving server", inject: announceAndKillServer, minDuration: noticePeriod},
	{name: "store down", inject: storeDown},
	{name: "store slow", inject: storeSlow},
	{name: "store loses answers", inject: storeLosesResponses},
}

// injectFaults injects faults for the duration of the mix and then ends all of them.
// One in four is injected twice in a row.
func (f *fleet) injectFaults() {
	ctx, cancel := context.WithTimeout(f.ctx, f.faults.duration)
	defer cancel()
	var running sync.WaitGroup
	for ctx.Err() == nil {
		kind := f.faults.kinds[f.random.IntN(len(f.faults.kinds))]
		random := rand.New(rand.NewPCG(f.random.Uint64(), 3))
		duration := minFault + time.Duration(f.random.Int64N(int64(maxFault-minFault)))
		times := 1
		if f.random.IntN(4) == 0 {
			times = 2
		}
		running.Go(func() {
			for range times {
				f.inject(ctx, kind, random, duration)
			}
		})
		delay.Sleep(ctx, time.Duration(f.random.ExpFloat64()*float64(f.faults.meanInterval)))
	}
	running.Wait()
}

func (f *fleet) inject(ctx context.Context, kind fault, random *rand.Rand, duration time.Duration) {
	if ctx.Err() != nil {
		return
	}
	f.trace("begin %s for %v", kind.name, duration)
	end := kind.inject(f, random)
	delay.Sleep(ctx, kind.minDuration+duration)
	end()
	f.trace("end %s", kind.name)
}

var tracing = os.Getenv("RATTAN_TEST_LOG") != ""

func (f *fleet) trace(format string, args ...any) {
	if tracing {
		fmt.Fprintf(os.Stderr, "%s seed %d: %s\n", time.Now().Format("05.000"), f.seed, fmt.Sprintf(format, args...))
	}
}

func (f *fleet) randomGroup(r *rand.Rand) (cluster.GroupName, *backendtest.Group) {
	name := f.groupNames[r.IntN(len(f.groupNames))]
	return name, f.groups[name]
}

func (f *fleet) randomServer(r *rand.Rand) (*backendtest.Group, cluster.ServerID) {
	name, g := f.randomGroup(r)
	return g, f.servers(name)[r.IntN(serverCount)]
}

func (f *fleet) randomPrimary(r *rand.Rand) (*backendtest.Group, cluster.ServerID) {
	name, g := f.randomGroup(r)
	return g, f.primary(name)
}

func killServer(f *fleet, r *rand.Rand) func()  { return killAndRestart(f.randomServer(r)) }
func killPrimary(f *fleet, r *rand.Rand) func() { return killAndRestart(f.randomPrimary(r)) }

func killAndRestart(g *backendtest.Group, id cluster.ServerID) func() {
	g.Kill(id)
	return func() { g.Restart(id) }
}

func freezeServer(f *fleet, r *rand.Rand) func()  { return suspendAndResume(f.randomServer(r)) }
func freezePrimary(f *fleet, r *rand.Rand) func() { return suspendAndResume(f.randomPrimary(r)) }

func suspendAndResume(g *backendtest.Group, id cluster.ServerID) func() {
	g.Suspend(id)
	return func() { g.Resume(id) }
}

func isolatePrimary(f *fleet, r *rand.Rand) func() { return f.isolate(r, "") }

func isolatePrimaryWithProxy(f *fleet, r *rand.Rand) func() {
	return f.isolate(r, f.proxy(r.IntN(proxyCount)).name)
}

func (f *fleet) isolate(r *rand.Rand, except string) func() {
	g, id := f.randomPrimary(r)
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

func blackholeConns(f *fleet, r *rand.Rand) func() {
	g, id := f.randomPrimary(r)
	for _, n := range f.nodes() {
		g.BlackholeConns(n.name, id)
	}
	return func() {}
}

func cutToServer(f *fleet, r *rand.Rand) func() {
	g, id := f.randomPrimary(r)
	name := f.proxy(r.IntN(proxyCount)).name
	g.DropTraffic(name, string(id))
	return func() { g.RestoreTraffic(name, string(id)) }
}

func cutFromServer(f *fleet, r *rand.Rand) func() {
	g, id := f.randomPrimary(r)
	name := f.homeOfRandomGroup(r).name
	g.DropTraffic(string(id), name)
	return func() { g.RestoreTraffic(string(id), name) }
}

// homeOfRandomGroup returns the home of a random group as a random proxy sees it, or a
// random proxy if there is none.
func (f *fleet) homeOfRandomGroup(r *rand.Rand) *node {
	return f.homeOfGroup(r, f.groupNames[r.IntN(len(f.groupNames))])
}

func (f *fleet) homeOfGroup(r *rand.Rand, name cluster.GroupName) *node {
	m, ok := f.proxy(r.IntN(proxyCount)).members.Snapshot().HomeOf(name)
	if ok {
		if n := f.network.find(m.Address); n != nil {
			return n
		}
	}
	return f.proxy(r.IntN(proxyCount))
}

// partitionWithHome cuts a primary and the home of its group off from all other
// processes. The two still reach each other.
func partitionWithHome(f *fleet, r *rand.Rand) func() {
	name, _ := f.randomGroup(r)
	return f.partition(name, f.homeOfGroup(r, name))
}

func (f *fleet) partition(name cluster.GroupName, n *node) func() {
	g, id := f.groups[name], f.primary(name)
	if n.stopped() {
		return func() {}
	}
	rejoin := f.isolateServer(g, id, n.name)
	f.trace("partition %s with %s", id, n.name)
	heal := f.isolateNode(n)
	g.RestoreTraffic(n.name, string(id))
	g.RestoreTraffic(string(id), n.name)
	return func() {
		rejoin()
		heal()
	}
}

// cutPeers cuts one direction of the network between a home and another proxy.
func cutPeers(f *fleet, r *rand.Rand) func() {
	a, b := f.homeOfRandomGroup(r).address, f.proxy(r.IntN(proxyCount)).address
	if r.IntN(2) == 0 {
		a, b = b, a
	}
	f.network.cut(a, b)
	return func() { f.network.heal(a, b) }
}

func killProxy(f *fleet, r *rand.Rand) func() {
	n := f.homeOfRandomGroup(r)
	f.kill(n)
	return func() { n.restart.Do(func() { f.startProxy(n.index) }) }
}

func killWarden(f *fleet, r *rand.Rand) func() {
	n := f.warden(r.IntN(wardenCount))
	f.kill(n)
	return func() { n.restart.Do(func() { f.startWarden(n.index) }) }
}

func freezeProxy(f *fleet, r *rand.Rand) func()  { return f.isolateNode(f.homeOfRandomGroup(r)) }
func freezeWarden(f *fleet, r *rand.Rand) func() { return f.isolateNode(f.warden(r.IntN(wardenCount))) }

// isolateNode cuts a process off from servers, peers and the store in both directions.
// When the cut ends, the process continues with its state from before, as one does
// that was frozen.
func (f *fleet) isolateNode(n *node) func() {
	if n.stopped() {
		return func() {} // a killed process stays cut off
	}
	each := func(servers func(*backendtest.Group, string, string), peers func(string, string)) {
		for _, name := range f.groupNames {
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
	each((*backendtest.Group).DropTraffic, f.network.cut)
	n.storeReachability.cut()
	return func() {
		if n.stopped() {
			each(func(*backendtest.Group, string, string) {}, f.network.heal)
			return
		}
		each((*backendtest.Group).RestoreTraffic, f.network.heal)
		n.storeReachability.heal()
	}
}

func cutStore(f *fleet, r *rand.Rand) func() {
	n := f.homeOfRandomGroup(r)
	n.storeReachability.cut()
	return n.storeReachability.heal
}

// loseMajority kills the primary and a replica after the other replica was cut off
// from the primary for a while, so that it lacks the last commits.
func loseMajority(f *fleet, r *rand.Rand) func() {
	name, g := f.randomGroup(r)
	primary := f.primary(name)
	servers := f.servers(name)
	first := slices.Index(servers, primary) + 1 + r.IntN(serverCount-1)
	stale := servers[first%serverCount]
	g.DropTraffic(string(primary), string(stale))
	time.Sleep(time.Duration(r.Int64N(int64(maxReplicationCut))))
	for _, id := range servers {
		if id != stale {
			g.Kill(id)
		}
	}
	g.RestoreTraffic(string(primary), string(stale))
	return func() {
		for _, id := range servers {
			if id != stale {
				g.Restart(id)
			}
		}
	}
}

func lag(f *fleet, r *rand.Rand) func() {
	g, id := f.randomServer(r)
	g.SetReplayLag(id, time.Duration(r.Int64N(int64(3*time.Second))))
	return func() { g.SetReplayLag(id, 30*time.Millisecond) }
}

func loseResponses(f *fleet, r *rand.Rand) func() {
	g, id := f.randomPrimary(r)
	g.LoseResponses(id, 1+r.IntN(4))
	return func() { g.LoseResponses(id, 0) }
}

func (f *fleet) services() []*providertest.Faults {
	return []*providertest.Faults{&f.table.Faults, &f.objects.Faults, &f.vms.Faults}
}

// failPlatform injects a fault at all services of the platform and returns the
// function that ends it.
func (f *fleet) failPlatform(inject, heal func(*providertest.Faults)) func() {
	f.platformReachability.cut()
	for _, s := range f.services() {
		inject(s)
	}
	return func() {
		for _, s := range f.services() {
			heal(s)
		}
		f.platformReachability.heal()
	}
}

func storeDown(f *fleet, _ *rand.Rand) func() {
	return f.failPlatform(
		func(s *providertest.Faults) { s.SetDown(true) },
		func(s *providertest.Faults) { s.SetDown(false) })
}

func storeSlow(f *fleet, _ *rand.Rand) func() {
	return f.failPlatform(
		func(s *providertest.Faults) { s.SetDelay(slowPlatformDelay) },
		func(s *providertest.Faults) { s.SetDelay(platformDelay) })
}

func storeLosesResponses(f *fleet, r *rand.Rand) func() {
	return f.failPlatform(
		func(s *providertest.Faults) { s.SetRandomFaults(rand.New(rand.NewPCG(r.Uint64(), 5)), 0.1, 0.3) },
		func(s *providertest.Faults) { s.SetRandomFaults(nil, 0, 0) })
}
