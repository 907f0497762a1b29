package proof

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/backend/backendtest"
	"github.com/rattancove/rattancove/internal/cluster"
)

const (
	// slowWork is the execution time of a statement. It exceeds shortTimeout and the
	// time for which a home waits for the answer of a cancelled statement.
	slowWork     = 3 * time.Second
	shortTimeout = 300 * time.Millisecond
	// shortWork is the execution time of a statement that overlaps with others.
	shortWork = 50 * time.Millisecond
)

// scenario is an interleaving of faults and requests that one mechanism must handle.
type scenario func(f *fleet, h *history)

// runScenario runs the scenario of a mechanism and checks the history.
func runScenario(t *testing.T, m mechanism, disabled disabledMechanisms) *report {
	t.Helper()
	var out *report
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, m.faults, disabled)
		defer f.close()
		time.Sleep(startupTime)
		h := &history{}
		m.scenario(f, h)
		out = f.check(h)
	})
	out.checkLinearizable()
	return out
}

// newCaller returns a session of the first group. The scenario sends its requests.
func (f *fleet) newCaller(h *history, name string) *callerSession {
	return &callerSession{fleet: f, name: name, group: f.groupNames[0], random: newRandom(1, 1), history: h}
}

// firstGroup returns the first group, its primary and its replicas.
func (f *fleet) firstGroup() (g *backendtest.Group, primary cluster.ServerID, replicas []cluster.ServerID) {
	name := f.groupNames[0]
	primary = f.primary(name)
	for _, id := range f.servers(name) {
		if id != primary {
			replicas = append(replicas, id)
		}
	}
	return f.groups[name], primary, replicas
}

// loseUnreplicatedWrite kills a primary before its replicas have stored the last write
// and restarts it after it has been replaced.
func loseUnreplicatedWrite(f *fleet, h *history) {
	g, primary, replicas := f.firstGroup()
	for _, id := range replicas {
		g.DropTraffic(string(primary), string(id))
	}
	c := f.newCaller(h, "clerk")
	c.sendWrite(f.proxy(0), "", write{"clerk", c.nextValue()})
	g.Kill(primary)
	time.Sleep(partitionDuration)
	for _, id := range replicas {
		g.RestoreTraffic(string(primary), string(id))
	}
	g.Restart(primary)
	time.Sleep(partitionDuration)
}

// leaveStaleReplica kills the two servers that stored the last write, so that only a
// replica without it is left, and restarts them later.
func leaveStaleReplica(f *fleet, h *history) {
	g, primary, replicas := f.firstGroup()
	g.DropTraffic(string(primary), string(replicas[0]))
	c := f.newCaller(h, "clerk")
	c.sendWrite(f.proxy(0), "", write{"clerk", c.nextValue()})
	g.Kill(primary)
	g.Kill(replicas[1])
	g.RestoreTraffic(string(primary), string(replicas[0]))
	time.Sleep(partitionDuration)
	g.Restart(primary)
	g.Restart(replicas[1])
	time.Sleep(partitionDuration)
}

// loseOrderResponse loses the response to an order, which may be repeated under its id.
func loseOrderResponse(f *fleet, h *history) {
	g, primary, _ := f.firstGroup()
	g.LoseResponses(primary, 1)
	c := f.newCaller(h, "clerk")
	c.sendOrder(f.proxy(0), write{"order/" + c.nextValue(), "v"})
}

// loseWriteResponse loses the response to a write without an id, which must not be
// repeated.
func loseWriteResponse(f *fleet, h *history) {
	g, primary, _ := f.firstGroup()
	g.LoseResponses(primary, 1)
	c := f.newCaller(h, "clerk")
	c.sendWrite(f.proxy(0), "", write{"clerk", c.nextValue()})
}

// readWithReplayLag reads a session's own write while the replicas have not replayed it.
func readWithReplayLag(f *fleet, h *history) {
	g, _, replicas := f.firstGroup()
	for _, id := range replicas {
		g.SetReplayLag(id, time.Minute)
	}
	c := f.newCaller(h, "clerk")
	c.sendWrite(f.proxy(0), "", write{"clerk", c.nextValue()})
	for i := range proxyCount {
		c.sendRead(f.proxy(i), "clerk", false)
	}
}

// splitHomes cuts a home off from its peers but not from the servers, and writes
// alternately through it and through another proxy.
func splitHomes(f *fleet, h *history) {
	old := f.homeOfGroup(f.random, f.groupNames[0])
	for _, n := range f.nodes() {
		if n != old {
			f.network.cut(n.address, old.address)
			f.network.cut(old.address, n.address)
		}
	}
	time.Sleep(partitionDuration)
	left, right := f.newCaller(h, "left"), f.newCaller(h, "right")
	for range 5 {
		right.sendWrite(f.proxy((old.index+1)%proxyCount), "", write{"right", right.nextValue()})
		left.sendWrite(old, "", write{"left", left.nextValue()})
	}
}

// abandonResponses lets statements time out that are answered later, and then runs
// enough statements to reuse their connections.
func abandonResponses(f *fleet, h *history) {
	slow := []*callerSession{f.newCaller(h, "slow-1"), f.newCaller(h, "slow-2")}
	for _, c := range slow {
		c.workTime, c.timeout = slowWork, shortTimeout
	}
	writeConcurrently(f, slow)
	time.Sleep(slowWork)
	quick := []*callerSession{f.newCaller(h, "quick-1"), f.newCaller(h, "quick-2"), f.newCaller(h, "quick-3")}
	for _, c := range quick {
		c.workTime = shortWork
	}
	writeConcurrently(f, quick)
}

// writeConcurrently writes once in each session, all through the first proxy.
func writeConcurrently(f *fleet, sessions []*callerSession) {
	done := make(chan bool)
	for _, c := range sessions {
		go func() {
			c.sendWrite(f.proxy(0), "", write{c.name, c.nextValue()})
			done <- true
		}()
	}
	for range sessions {
		<-done
	}
}

// raceOperators lets operators change the document concurrently, so that changes are
// based on the same revision.
func raceOperators(f *fleet, _ *history) {
	var racing sync.WaitGroup
	for _, o := range f.operators() {
		racing.Go(func() {
			for range 5 {
				o.change()
			}
		})
	}
	racing.Wait()
}

// loseChangeResponse loses the response to a change that has taken effect.
func loseChangeResponse(f *fleet, _ *history) {
	const lost = 3 // renewals of leases at the same time may lose answers too
	f.table.LoseResponses(lost)
	f.operators()[0].change()
}

// reconnectWithOldDocument cuts a proxy off, changes the document and reconnects the
// proxy, which then announces the old one.
func reconnectWithOldDocument(f *fleet, _ *history) {
	heal := f.isolateNode(f.proxy(0))
	f.operators()[0].change()
	time.Sleep(partitionDuration)
	heal()
	time.Sleep(2 * rolloutBound)
}

// changeDocumentOnce changes the document without faults.
func changeDocumentOnce(f *fleet, _ *history) {
	f.operators()[0].change()
	time.Sleep(2 * rolloutBound)
}

// readWhileReplicaLeaves sends reads after leavingBound while a replica is leaving.
func readWhileReplicaLeaves(f *fleet, h *history) {
	_, _, replicas := f.firstGroup()
	f.announceLeaving(f.groupNames[0], replicas[0])
	time.Sleep(leavingBound + time.Second)
	c := f.newCaller(h, "clerk")
	for i := range 5 * proxyCount {
		c.sendRead(f.proxy(i%proxyCount), "clerk", false)
	}
}

// stopWithRequestsInFlight stops a home gracefully while it runs requests of its own
// callers and of those of another proxy.
func stopWithRequestsInFlight(f *fleet, h *history) {
	n := f.homeOfGroup(f.random, f.groupNames[0])
	own, others := f.newCaller(h, "own"), f.newCaller(h, "others")
	var running sync.WaitGroup
	for c, entry := range map[*callerSession]*node{own: n, others: f.proxy((n.index + 1) % proxyCount)} {
		c.workTime, c.timeout = slowWork, longRequestTimeout
		running.Go(func() { c.sendWrite(entry, "", write{c.name, c.nextValue()}) })
	}
	time.Sleep(shortWork)
	f.stopGracefully(n)
	running.Wait()
}
