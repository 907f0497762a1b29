package home

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
)

var (
	allServers = []cluster.ServerID{"s1", "s2", "s3"}
	allProxies = []string{"p0", "p1", "p2"}
)

// injectFaults injects faults of the servers and, concurrently, of the homes and the
// connections, until ctx ends. Most are undone after a while.
func (sr *seededRun) injectFaults(ctx context.Context) {
	servers := &injector{seededRun: sr, random: rand.New(rand.NewPCG(sr.random.Uint64(), 1))}
	homes := &injector{seededRun: sr, random: rand.New(rand.NewPCG(sr.random.Uint64(), 2))}
	var both sync.WaitGroup
	both.Go(func() {
		servers.run(ctx, servers.killPrimary, servers.isolatePrimary, servers.suspendPrimary, servers.blockReplication, servers.lagReplica)
	})
	both.Go(func() {
		homes.run(ctx, homes.moveHome, homes.blackholeConnections, homes.loseResponses, homes.partitionHome)
	})
	both.Wait()
}

// injector injects one fault at a time.
type injector struct {
	*seededRun
	random *rand.Rand
}

func (in *injector) run(ctx context.Context, faults ...func()) {
	for ctx.Err() == nil {
		in.sleep(600 * time.Millisecond)
		faults[in.random.IntN(len(faults))]()
	}
}

func (in *injector) sleep(longest time.Duration) {
	time.Sleep(time.Duration(in.random.Int64N(int64(longest))))
}

func (in *injector) killPrimary() {
	in.count("primaries killed")
	old := in.primary()
	in.group.Kill(old)
	in.sleep(400 * time.Millisecond)
	in.failover(old)
	in.sleep(400 * time.Millisecond)
	in.group.Restart(old)
	in.follow()
}

// isolatePrimary partitions the primary from everything except one home.
func (in *injector) isolatePrimary() {
	in.count("primaries isolated")
	old := in.primary()
	connected := in.random.IntN(len(allProxies))
	clients := append(slices.Delete(slices.Clone(allProxies), connected, connected+1), "warden")
	in.group.Isolate(old, clients...)
	in.sleep(400 * time.Millisecond)
	in.failover(old)
	in.sleep(400 * time.Millisecond)
	in.group.Rejoin(old, clients...)
	in.follow()
}

func (in *injector) suspendPrimary() {
	in.count("primaries suspended")
	old := in.primary()
	in.group.Suspend(old)
	in.sleep(400 * time.Millisecond)
	in.failover(old)
	in.sleep(600 * time.Millisecond)
	in.group.Resume(old)
	in.follow()
}

func (in *injector) moveHome() {
	in.count("homes moved")
	old := in.currentHome()
	in.moveGroup(in.random.IntN(len(allProxies)))
	if in.random.IntN(2) == 0 && old != in.currentHome() {
		old.Disown("orders")
	}
}

func (in *injector) blackholeConnections() {
	in.count("connections blackholed")
	for _, id := range allServers {
		in.group.BlackholeConns(allProxies[in.random.IntN(len(allProxies))], id)
	}
}

func (in *injector) loseResponses() {
	in.count("responses lost")
	in.group.LoseResponses(allServers[in.random.IntN(len(allServers))], 1+in.random.IntN(3))
}

// partitionHome partitions one home from all servers, in one direction or both, and
// moves the group to another home.
func (in *injector) partitionHome() {
	in.count("homes partitioned")
	p := in.random.IntN(len(allProxies))
	bothWays := in.random.IntN(2) == 0
	for _, id := range allServers {
		in.group.DropTraffic(allProxies[p], string(id))
		if bothWays {
			in.group.DropTraffic(string(id), allProxies[p])
		}
	}
	in.sleep(300 * time.Millisecond)
	in.moveGroup((p + 1) % len(allProxies))
	in.sleep(600 * time.Millisecond)
	in.reconnectHome(p)
}

func (sr *seededRun) reconnectHome(p int) {
	for _, id := range allServers {
		sr.group.RestoreTraffic(allProxies[p], string(id))
		sr.group.RestoreTraffic(string(id), allProxies[p])
	}
}

func (in *injector) blockReplication() {
	in.count("replication blocked")
	primary := in.primary()
	for _, id := range allServers {
		in.group.DropTraffic(string(primary), string(id))
	}
	in.sleep(400 * time.Millisecond)
	for _, id := range allServers {
		in.group.RestoreTraffic(string(primary), string(id))
	}
}

func (in *injector) lagReplica() {
	in.count("replicas lagging")
	in.group.SetReplayLag(allServers[in.random.IntN(len(allServers))], time.Duration(in.random.Int64N(int64(time.Second))))
}

// undoFaults reconnects every home, ends the loss of responses and moves the group to
// a random home. The replay lag stays as it is.
func (sr *seededRun) undoFaults() {
	for p := range allProxies {
		sr.reconnectHome(p)
	}
	sr.group.LoseResponses("s1", 0)
	sr.group.LoseResponses("s2", 0)
	sr.group.LoseResponses("s3", 0)
	sr.moveGroup(sr.random.IntN(len(allProxies)))
}

// failover acts as a warden: it seals all servers except the old primary at a new
// term and promotes the one with the highest received position.
func (sr *seededRun) failover(old cluster.ServerID) {
	sr.term++
	var best cluster.ServerStatus
	for _, id := range allServers {
		if id == old {
			continue
		}
		status := sr.control(id, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
			return c.Seal(ctx, sr.term, "warden")
		})
		if best.Server == "" || best.Received.Less(status.Received) {
			best = status
		}
	}
	sr.control(best.Server, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
		return c.Promote(ctx, sr.term, "warden")
	})
	sr.followAs(best.Server, old)
}

// follow makes every server follow the current primary.
func (sr *seededRun) follow() { sr.followAs(sr.primary(), "") }

func (sr *seededRun) followAs(leader, except cluster.ServerID) {
	for _, id := range allServers {
		if id == leader || id == except {
			continue
		}
		sr.control(id, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
			return c.Follow(ctx, sr.term, cluster.Server{ID: leader})
		})
	}
}

// control makes one call to a server that is known to be reachable.
func (sr *seededRun) control(id cluster.ServerID, call func(context.Context, backend.Control) (cluster.ServerStatus, error)) cluster.ServerStatus {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c, err := sr.group.Dialer("warden").DialControl(ctx, cluster.Server{ID: id}, "orders")
	if err != nil {
		sr.t.Fatalf("warden: %v", err)
	}
	defer func() { _ = c.Close() }()
	status, err := call(ctx, c)
	if err != nil {
		sr.t.Fatalf("warden: %v", err)
	}
	return status
}
