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
	// slowWork is a statement that outlives impatientTime and the time that a
	// home gives a cancelled statement to answer.
	slowWork      = 3 * time.Second
	impatientTime = 300 * time.Millisecond
	// shortWork is a statement that keeps its connection for a while.
	shortWork = 50 * time.Millisecond
)

// scenario is the interleaving of faults and requests that one mechanism is for.
type scenario func(f *fleet, h *history)

// runScenario plays the scenario of a mechanism and checks its history.
func runScenario(t *testing.T, m missing, disabled disabledMechanisms) *report {
	t.Helper()
	var out *report
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, m.mix, disabled)
		defer f.close()
		time.Sleep(startTime)
		h := &history{}
		m.play(f, h)
		out = f.check(h)
	})
	out.checkLinearizable()
	return out
}

// caller returns a session of the first group that sends what it is told to.
func (f *fleet) caller(h *history, name string) *callerSession {
	return &callerSession{fleet: f, name: name, group: f.names[0], random: newRandom(1, 1), history: h}
}

// first returns the first group, its primary and its replicas.
func (f *fleet) first() (g *backendtest.Group, primary cluster.ServerID, replicas []cluster.ServerID) {
	name := f.names[0]
	primary = f.primary(name)
	for _, id := range f.servers(name) {
		if id != primary {
			replicas = append(replicas, id)
		}
	}
	return f.groups[name], primary, replicas
}

// loseUnshippedWrite takes a primary away for good before its replicas have
// stored the last write.
func loseUnshippedWrite(f *fleet, h *history) {
	g, primary, replicas := f.first()
	for _, id := range replicas {
		g.DropTraffic(string(primary), string(id))
	}
	r := f.caller(h, "clerk")
	r.sendWrite(f.proxy(0), "", write{"clerk", r.nextValue()})
	g.Kill(primary)
	time.Sleep(partitionTime)
	for _, id := range replicas {
		g.RestoreTraffic(string(primary), string(id))
	}
	g.Restart(primary)
	time.Sleep(partitionTime)
}

// leaveLaggard takes away the two servers that stored the last write. The
// third one lacks it.
func leaveLaggard(f *fleet, h *history) {
	g, primary, replicas := f.first()
	g.DropTraffic(string(primary), string(replicas[0]))
	r := f.caller(h, "clerk")
	r.sendWrite(f.proxy(0), "", write{"clerk", r.nextValue()})
	g.Kill(primary)
	g.Kill(replicas[1])
	g.RestoreTraffic(string(primary), string(replicas[0]))
	time.Sleep(partitionTime)
	g.Restart(primary)
	g.Restart(replicas[1])
	time.Sleep(partitionTime)
}

// loseOrderAnswer loses the answer to an order that may be repeated.
func loseOrderAnswer(f *fleet, h *history) {
	g, primary, _ := f.first()
	g.LoseResponses(primary, 1)
	r := f.caller(h, "clerk")
	r.sendOrder(f.proxy(0), write{"order/" + r.nextValue(), "v"})
}

// loseWriteAnswer loses the answer to a write that may not be repeated.
func loseWriteAnswer(f *fleet, h *history) {
	g, primary, _ := f.first()
	g.LoseResponses(primary, 1)
	r := f.caller(h, "clerk")
	r.sendWrite(f.proxy(0), "", write{"clerk", r.nextValue()})
}

// readBehindLag reads a session's own write while the replicas do not show it.
func readBehindLag(f *fleet, h *history) {
	g, _, replicas := f.first()
	for _, id := range replicas {
		g.SetReplayLag(id, time.Minute)
	}
	r := f.caller(h, "clerk")
	r.sendWrite(f.proxy(0), "", write{"clerk", r.nextValue()})
	for i := range proxyCount {
		r.sendRead(f.proxy(i), "clerk", false)
	}
}

// splitHomes cuts a home off from its peers but not from the servers, and
// writes through it and through the other side in turn.
func splitHomes(f *fleet, h *history) {
	old := f.homeOfGroup(f.random, f.names[0])
	for _, n := range f.nodes() {
		if n != old {
			f.net.cut(n.address, old.address)
			f.net.cut(old.address, n.address)
		}
	}
	time.Sleep(partitionTime)
	left, right := f.caller(h, "left"), f.caller(h, "right")
	for range 5 {
		right.sendWrite(f.proxy((old.index+1)%proxyCount), "", write{"right", right.nextValue()})
		left.sendWrite(old, "", write{"left", left.nextValue()})
	}
}

// abandonAnswers gives up on statements that answer later, and then uses as
// many connections again.
func abandonAnswers(f *fleet, h *history) {
	slow := []*callerSession{f.caller(h, "slow-1"), f.caller(h, "slow-2")}
	for _, r := range slow {
		r.workTime, r.timeout = slowWork, impatientTime
	}
	writeAtOnce(f, slow)
	time.Sleep(slowWork)
	quick := []*callerSession{f.caller(h, "quick-1"), f.caller(h, "quick-2"), f.caller(h, "quick-3")}
	for _, r := range quick {
		r.workTime = shortWork
	}
	writeAtOnce(f, quick)
}

// writeAtOnce lets each session write once through its home's proxy.
func writeAtOnce(f *fleet, sessions []*callerSession) {
	done := make(chan bool)
	for _, r := range sessions {
		go func() {
			r.sendWrite(f.proxy(0), "", write{r.name, r.nextValue()})
			done <- true
		}()
	}
	for range sessions {
		<-done
	}
}

// raceOperators lets operators change the document from the same revisions.
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

// loseChangeAnswer loses the answer to a change that took effect.
func loseChangeAnswer(f *fleet, _ *history) {
	const lost = 3 // a lease may be renewed at the same time
	f.table.LoseResponses(lost)
	f.operators()[0].change()
}

// bringBackOldDocument cuts a proxy off while the document changes.
func bringBackOldDocument(f *fleet, _ *history) {
	heal := f.cutOff(f.proxy(0))
	f.operators()[0].change()
	time.Sleep(partitionTime)
	heal()
	time.Sleep(2 * rolloutBound)
}

// changeOnce changes the document while nothing fails.
func changeOnce(f *fleet, _ *history) {
	f.operators()[0].change()
	time.Sleep(2 * rolloutBound)
}

// readBesideLeaving reads after the bound while a replica is leaving.
func readBesideLeaving(f *fleet, h *history) {
	_, _, replicas := f.first()
	f.announceLeaving(f.names[0], replicas[0])
	time.Sleep(leavingBound + time.Second)
	r := f.caller(h, "clerk")
	for i := range 5 * proxyCount {
		r.sendRead(f.proxy(i%proxyCount), "clerk", false)
	}
}

// stopInFlight stops a home in order while it runs requests of its own callers
// and of another proxy's.
func stopInFlight(f *fleet, h *history) {
	n := f.homeOfGroup(f.random, f.names[0])
	own, others := f.caller(h, "own"), f.caller(h, "others")
	var running sync.WaitGroup
	for r, entry := range map[*callerSession]*node{own: n, others: f.proxy((n.index + 1) % proxyCount)} {
		r.workTime, r.timeout = slowWork, patientTime
		running.Go(func() { r.sendWrite(entry, "", write{r.name, r.nextValue()}) })
	}
	time.Sleep(shortWork)
	f.stopPlanned(n)
	running.Wait()
}
