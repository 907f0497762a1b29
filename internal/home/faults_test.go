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

// faults injects faults of the servers and, at the same time, of the homes and
// the connections, until ctx ends. Each is undone after a while.
func (w *seededRun) faults(ctx context.Context) {
	servers := &injector{seededRun: w, random: rand.New(rand.NewPCG(w.random.Uint64(), 1))}
	homes := &injector{seededRun: w, random: rand.New(rand.NewPCG(w.random.Uint64(), 2))}
	var both sync.WaitGroup
	both.Go(func() {
		servers.run(ctx, servers.killPrimary, servers.isolatePrimary, servers.freezePrimary, servers.cutReplication, servers.lagReplica)
	})
	both.Go(func() { homes.run(ctx, homes.moveHome, homes.silence, homes.loseAnswers, homes.cutHome) })
	both.Wait()
}

// injector causes one fault at a time.
type injector struct {
	*seededRun
	random *rand.Rand
}

func (w *injector) run(ctx context.Context, kinds ...func()) {
	for ctx.Err() == nil {
		w.sleep(600 * time.Millisecond)
		kinds[w.random.IntN(len(kinds))]()
	}
}

func (w *injector) sleep(longest time.Duration) {
	time.Sleep(time.Duration(w.random.Int64N(int64(longest))))
}

func (w *injector) killPrimary() {
	w.count("primaries killed")
	old := w.primary()
	w.group.Kill(old)
	w.sleep(400 * time.Millisecond)
	w.failover(old)
	w.sleep(400 * time.Millisecond)
	w.group.Restart(old)
	w.follow()
}

// isolatePrimary cuts the primary off from everything but one home.
func (w *injector) isolatePrimary() {
	w.count("primaries isolated")
	old := w.primary()
	connected := w.random.IntN(len(allProxies))
	clients := append(slices.Delete(slices.Clone(allProxies), connected, connected+1), "warden")
	w.group.Isolate(old, clients...)
	w.sleep(400 * time.Millisecond)
	w.failover(old)
	w.sleep(400 * time.Millisecond)
	w.group.Rejoin(old, clients...)
	w.follow()
}

func (w *injector) freezePrimary() {
	w.count("primaries frozen")
	old := w.primary()
	w.group.Freeze(old)
	w.sleep(400 * time.Millisecond)
	w.failover(old)
	w.sleep(600 * time.Millisecond)
	w.group.Thaw(old)
	w.follow()
}

func (w *injector) moveHome() {
	w.count("homes moved")
	old := w.currentHome()
	w.moveGroup(w.random.IntN(len(allProxies)))
	if w.random.IntN(2) == 0 && old != w.currentHome() {
		old.Disown("orders")
	}
}

func (w *injector) silence() {
	w.count("connections silenced")
	for _, id := range allServers {
		w.group.Silence(allProxies[w.random.IntN(len(allProxies))], id)
	}
}

func (w *injector) loseAnswers() {
	w.count("answers lost")
	w.group.LoseAnswers(allServers[w.random.IntN(len(allServers))], 1+w.random.IntN(3))
}

// cutHome cuts one home off from all servers, in one direction or both, and
// gives the group to another one.
func (w *injector) cutHome() {
	w.count("homes cut off")
	p := w.random.IntN(len(allProxies))
	back := w.random.IntN(2) == 0
	for _, id := range allServers {
		w.group.Cut(allProxies[p], string(id))
		if back {
			w.group.Cut(string(id), allProxies[p])
		}
	}
	w.sleep(300 * time.Millisecond)
	w.moveGroup((p + 1) % len(allProxies))
	w.sleep(600 * time.Millisecond)
	w.healHome(p)
}

func (w *seededRun) healHome(p int) {
	for _, id := range allServers {
		w.group.Heal(allProxies[p], string(id))
		w.group.Heal(string(id), allProxies[p])
	}
}

func (w *injector) cutReplication() {
	w.count("replication cut")
	primary := w.primary()
	for _, id := range allServers {
		w.group.Cut(string(primary), string(id))
	}
	w.sleep(400 * time.Millisecond)
	for _, id := range allServers {
		w.group.Heal(string(primary), string(id))
	}
}

func (w *injector) lagReplica() {
	w.count("replicas lagging")
	w.group.SetReplayLag(allServers[w.random.IntN(len(allServers))], time.Duration(w.random.Int64N(int64(time.Second))))
}

// undoFaults undoes every fault that may still be in force.
func (w *seededRun) undoFaults() {
	for p := range allProxies {
		w.healHome(p)
	}
	w.group.LoseAnswers("s1", 0)
	w.group.LoseAnswers("s2", 0)
	w.group.LoseAnswers("s3", 0)
	w.moveGroup(w.random.IntN(len(allProxies)))
}

// failover does what a warden does: it seals a majority without the old
// primary at a new term and promotes the server that has received the most.
func (w *seededRun) failover(old cluster.ServerID) {
	w.term++
	var best cluster.ServerStatus
	for _, id := range allServers {
		if id == old {
			continue
		}
		status := w.control(id, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
			return c.Seal(ctx, w.term, "warden")
		})
		if best.Server == "" || best.Received.Less(status.Received) {
			best = status
		}
	}
	w.control(best.Server, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
		return c.Promote(ctx, w.term, "warden")
	})
	w.followAs(best.Server, old)
}

// follow makes every server follow the present primary.
func (w *seededRun) follow() { w.followAs(w.primary(), "") }

func (w *seededRun) followAs(leader, except cluster.ServerID) {
	for _, id := range allServers {
		if id == leader || id == except {
			continue
		}
		w.control(id, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
			return c.Follow(ctx, w.term, cluster.Server{ID: leader})
		})
	}
}

// control makes one call to a server that is known to answer.
func (w *seededRun) control(id cluster.ServerID, call func(context.Context, backend.Control) (cluster.ServerStatus, error)) cluster.ServerStatus {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c, err := w.group.Dialer("warden").DialControl(ctx, cluster.Server{ID: id}, "orders")
	if err != nil {
		w.t.Fatalf("warden: %v", err)
	}
	defer func() { _ = c.Close() }()
	status, err := call(ctx, c)
	if err != nil {
		w.t.Fatalf("warden: %v", err)
	}
	return status
}
