package proof

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/backend/backendtest"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/provider"
	"github.com/rattancove/rattancove/internal/settings"
)

const (
	// leavingBound is the time after the notice from which on a leaving server must
	// get no new work.
	leavingBound = 5 * time.Second
	// vmListLag is the delay between a notice and its appearance in the platform's
	// list of VMs.
	vmListLag = time.Second
	// roleChangeTime is the time within which a home learns that a server is no longer
	// the primary: it asks each server five times a second.
	roleChangeTime = 200 * time.Millisecond
	// noticePeriod is the time from the notice until a server is killed.
	noticePeriod = 8 * time.Second
	// balancerDelay is the time for which the load balancer still sends callers to a
	// proxy that is no longer ready.
	balancerDelay     = time.Second
	drainPollInterval = 10 * time.Millisecond
)

// leavingServers holds the servers whose VMs the platform has announced as leaving.
type leavingServers struct {
	mu         sync.Mutex
	notices    map[cluster.ServerID]leavingNotice
	violations []violation
	counts     map[string]int
}

type leavingNotice struct {
	group   cluster.GroupName
	address string
	at      time.Time
}

// announceLeaving gives notice that a server is leaving. It does nothing and returns
// false while another server of the group is leaving.
func (f *fleet) announceLeaving(name cluster.GroupName, id cluster.ServerID) bool {
	group, _ := f.doc.Group(name)
	l := f.leaving
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, other := range l.notices {
		if other.group == name {
			return false
		}
	}
	for _, s := range group.Servers {
		if s.ID == id {
			l.notices[id] = leavingNotice{name, s.Address, time.Now()}
		}
	}
	time.AfterFunc(vmListLag, f.updateVMList)
	return true
}

// serverReplaced removes the notice of a server, whose place a new VM has taken.
func (f *fleet) serverReplaced(id cluster.ServerID) {
	l := f.leaving
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.notices, id)
	time.AfterFunc(vmListLag, f.updateVMList)
}

// updateVMList sets the platform's list of VMs to the current notices.
func (f *fleet) updateVMList() {
	l := f.leaving
	l.mu.Lock()
	defer l.mu.Unlock()
	var vms []provider.VM
	for _, notice := range l.notices {
		if host, _, err := net.SplitHostPort(notice.address); err == nil {
			vms = append(vms, provider.VM{Address: host, Leaving: true})
		}
	}
	f.vms.Set(vms...)
}

// nodeVMs is one process's access to the list of VMs.
type nodeVMs struct {
	provider.VMList
	node *node
}

func (l *nodeVMs) VMs(ctx context.Context) ([]provider.VM, error) {
	if err := l.node.awaitStore(ctx); err != nil {
		return nil, err
	}
	if l.node.fleet.disabled.leavingVMs {
		return nil, nil
	}
	return l.VMList.VMs(ctx)
}

// markLeaving passes on to the home which servers are leaving.
func (n *node) markLeaving() {
	for _, g := range n.fleet.doc.Groups {
		for _, s := range g.Servers {
			n.home.SetLeaving(s.ID, n.members.Leaving(s.Address))
		}
	}
}

// checkNewWork checks a request that a home sends to a server: a leaving server must
// get none after leavingBound. Homes that could not read the list of VMs for all of
// that time are exempt, and so are primaries unless faults.replacePrimaries is set.
func (f *fleet) checkNewWork(from *node, group cluster.GroupName, id cluster.ServerID) {
	now := time.Now()
	l := f.leaving
	l.mu.Lock()
	defer l.mu.Unlock()
	notice, leaving := l.notices[id]
	if !leaving {
		return
	}
	l.counts["requests at leaving servers"]++
	age := now.Sub(notice.at)
	primary := f.isPrimaryFor(from, group, id)
	switch {
	case age <= leavingBound:
	case f.platformReachability.reachableFor(now) < leavingBound || from.storeReachability.reachableFor(now) < leavingBound:
		l.counts["late requests of homes out of contact"]++
	case primary && !f.faults.replacePrimaries:
		l.counts["late requests at leaving primaries"]++
	default:
		text := "a replica"
		if primary {
			text = "the primary"
		}
		l.violations = append(l.violations, violation{guaranteeLeavingServers, from.name + " sent work to " + string(id) + ", " + text + ", " + age.String() + " after the notice; primary until " + now.Sub(f.groups[group].PrimaryUntil(id)).String() + " before"})
	}
}

// isPrimaryFor reports whether a home sends a request to a server as the primary of its
// group: the server is the primary, or was until it was sealed for its replacement less
// than roleChangeTime ago and the home knows no other one.
func (f *fleet) isPrimaryFor(from *node, group cluster.GroupName, id cluster.ServerID) bool {
	until := f.groups[group].PrimaryUntil(id)
	if !until.Before(time.Now()) {
		return true
	}
	if time.Since(until) > roleChangeTime {
		return false
	}
	for _, g := range from.home.Status().Groups {
		if g.Group == group {
			return g.Primary == id
		}
	}
	return false
}

// announceAndKillServer announces a server as leaving, kills it after noticePeriod and
// puts a new one in its place when the fault ends.
func announceAndKillServer(f *fleet, r *rand.Rand) func() {
	name, g := f.randomGroup(r)
	return f.announceAndKill(name, g, f.servers(name)[r.IntN(serverCount)])
}

func announceAndKillPrimary(f *fleet, r *rand.Rand) func() {
	name, g := f.randomGroup(r)
	return f.announceAndKill(name, g, f.primary(name))
}

func (f *fleet) announceAndKill(name cluster.GroupName, g *backendtest.Group, id cluster.ServerID) func() {
	if !f.announceLeaving(name, id) {
		return func() {}
	}
	killTimer := time.AfterFunc(noticePeriod, func() { g.Kill(id) })
	return func() {
		killTimer.Stop()
		g.Restart(id)
		f.serverReplaced(id)
	}
}

// stopProxy stops a proxy gracefully and starts it again when the fault ends.
func stopProxy(f *fleet, r *rand.Rand) func() {
	n := f.homeOfRandomGroup(r)
	f.stopGracefully(n)
	return func() { n.restart.Do(func() { f.startProxy(n.index) }) }
}

// stopGracefully stops a proxy with the steps of the proxy program in their order.
func (f *fleet) stopGracefully(n *node) {
	if n.stopped() || !n.draining.CompareAndSwap(false, true) {
		return
	}
	if f.disabled.plannedDrain {
		f.kill(n)
		return
	}
	n.outOfRotationAt.Store(time.Now().Add(balancerDelay).UnixNano())
	n.members.Leave()
	n.announceState()
	delay.Sleep(n.ctx, settings.DefaultReadyDelay)
	n.rejecting.Store(true)
	limited, cancel := context.WithTimeout(n.ctx, settings.DefaultDrainTimeout)
	defer cancel()
	for n.inFlight.Load() > 0 && limited.Err() == nil {
		delay.Sleep(limited, drainPollInterval)
	}
	n.home.Close(limited)
	for n.peerRequests.Load() > 0 && limited.Err() == nil {
		delay.Sleep(limited, drainPollInterval)
	}
	f.kill(n)
}

// inRotation reports whether the load balancer sends callers to this proxy.
func (n *node) inRotation() bool {
	outAt := n.outOfRotationAt.Load()
	return !n.stopped() && !n.watcher.ProofExpired() && (outAt == 0 || time.Now().UnixNano() < outAt)
}

// checkLeavingServers reports work sent to leaving servers. Where planned stops are
// the only faults, it also checks that every request was done.
func (f *fleet) checkLeavingServers(out *report) {
	l := f.leaving
	l.mu.Lock()
	defer l.mu.Unlock()
	out.violations = append(out.violations, l.violations...)
	for name, n := range l.counts {
		out.counts[name] += n
	}
	if !f.faults.allMustComplete {
		return
	}
	for _, op := range out.history {
		if op.outcome != errcode.OutcomeDone {
			out.addViolation(guaranteePlannedStops, "not done during planned stops: %v", op)
		}
	}
}
