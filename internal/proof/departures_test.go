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
	// leavingBound is the time after the notice from which a leaving server
	// gets no new work.
	leavingBound = 5 * time.Second
	// vmLag is how far the platform's list of VMs lags behind a notice.
	vmLag = time.Second
	// noticeTime is the time from the notice until a server is taken away.
	noticeTime = 8 * time.Second
	// balancerTime is how long the balancer still sends callers to a proxy
	// that is no longer ready.
	balancerTime = time.Second
	drainPoll    = 10 * time.Millisecond
)

// departures holds the servers whose VMs the platform is about to take away.
type departures struct {
	mu         sync.Mutex
	notices    map[cluster.ServerID]departure
	violations []violation
	counts     map[string]int
}

type departure struct {
	group   cluster.GroupName
	address string
	at      time.Time
}

// announce gives notice of a server. It reports false while another server of
// the group is leaving.
func (f *fleet) announceLeaving(name cluster.GroupName, id cluster.ServerID) bool {
	group, _ := f.doc.Group(name)
	d := f.departures
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, other := range d.notices {
		if other.group == name {
			return false
		}
	}
	for _, s := range group.Servers {
		if s.ID == id {
			d.notices[id] = departure{name, s.Address, time.Now()}
		}
	}
	time.AfterFunc(vmLag, f.listVMs)
	return true
}

// replaced takes a notice back: a new VM has the server's place.
func (f *fleet) replaced(id cluster.ServerID) {
	d := f.departures
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.notices, id)
	time.AfterFunc(vmLag, f.listVMs)
}

// listVMs brings the platform's list up to date.
func (f *fleet) listVMs() {
	d := f.departures
	d.mu.Lock()
	defer d.mu.Unlock()
	var vms []provider.VM
	for _, notice := range d.notices {
		if host, _, err := net.SplitHostPort(notice.address); err == nil {
			vms = append(vms, provider.VM{Address: host, Leaving: true})
		}
	}
	f.vms.Set(vms...)
}

// nodeVMs is the list of VMs as one process reaches it.
type nodeVMs struct {
	provider.VMList
	node *node
}

func (l *nodeVMs) VMs(ctx context.Context) ([]provider.VM, error) {
	if err := l.node.reachStore(ctx); err != nil {
		return nil, err
	}
	if l.node.fleet.disabled.leavingVMs {
		return nil, nil
	}
	return l.VMList.VMs(ctx)
}

// markLeaving tells the home which servers are leaving.
func (n *node) markLeaving() {
	for _, g := range n.fleet.doc.Groups {
		for _, s := range g.Servers {
			n.home.SetLeaving(s.ID, n.members.Leaving(s.Address))
		}
	}
}

// newWork checks a request that a home sends to a server. A home that could
// not read the list for the whole bound does not count, and a primary only
// where nothing keeps the wardens from replacing it.
func (f *fleet) newWork(from *node, group cluster.GroupName, id cluster.ServerID) {
	now := time.Now()
	d := f.departures
	d.mu.Lock()
	defer d.mu.Unlock()
	notice, leaving := d.notices[id]
	if !leaving {
		return
	}
	d.counts["requests at leaving servers"]++
	age := now.Sub(notice.at)
	primary := f.groups[group].Status(id).Role == cluster.RolePrimary
	switch {
	case age <= leavingBound:
	case f.platform.since(now) < leavingBound || from.store.since(now) < leavingBound:
		d.counts["late requests of homes out of contact"]++
	case primary && !f.mix.switchover:
		d.counts["late requests at leaving primaries"]++
	default:
		text := "a replica"
		if primary {
			text = "the primary"
		}
		d.violations = append(d.violations, violation{guaranteeLeavingServers, from.name + " sent work to " + string(id) + ", " + text + ", " + age.String() + " after the notice"})
	}
}

// leaveServer announces a server as leaving, takes it away after a while and
// puts a new one in its place.
func leaveServer(f *fleet, r *rand.Rand) func() {
	name, g := f.anyGroup(r)
	return f.leave(name, g, f.servers(name)[r.IntN(serverCount)])
}

func leavePrimary(f *fleet, r *rand.Rand) func() {
	name, g := f.anyGroup(r)
	return f.leave(name, g, f.primary(name))
}

func (f *fleet) leave(name cluster.GroupName, g *backendtest.Group, id cluster.ServerID) func() {
	if !f.announceLeaving(name, id) {
		return func() {}
	}
	taken := time.AfterFunc(noticeTime, func() { g.Kill(id) })
	return func() {
		taken.Stop()
		g.Restart(id)
		f.replaced(id)
	}
}

// stopProxy stops a proxy as a planned stop does, and starts it again.
func stopProxy(f *fleet, r *rand.Rand) func() {
	n := f.homeOf(r)
	f.stopPlanned(n)
	return func() { n.restart.Do(func() { f.startProxy(n.index) }) }
}

// stopPlanned takes the steps of the proxy program in their order.
func (f *fleet) stopPlanned(n *node) {
	if n.stopped() || !n.draining.CompareAndSwap(false, true) {
		return
	}
	if f.disabled.plannedDrain {
		f.kill(n)
		return
	}
	n.unready.Store(time.Now().Add(balancerTime).UnixNano())
	n.members.Leave()
	n.announce()
	delay.Sleep(n.ctx, settings.DefaultReadyDelay)
	n.closed.Store(true)
	limited, cancel := context.WithTimeout(n.ctx, settings.DefaultDrainTimeout)
	defer cancel()
	for n.inFlight.Load() > 0 && limited.Err() == nil {
		delay.Sleep(limited, drainPoll)
	}
	n.home.Close(limited)
	for n.serving.Load() > 0 && limited.Err() == nil {
		delay.Sleep(limited, drainPoll)
	}
	f.kill(n)
}

// ready reports whether the balancer sends callers to this proxy.
func (n *node) ready() bool {
	unready := n.unready.Load()
	return !n.stopped() && !n.documents.Outdated() && (unready == 0 || time.Now().UnixNano() < unready)
}

// checkDepartures checks leaving servers, and planned stops where nothing else
// ends requests.
func (f *fleet) checkDepartures(out *report) {
	d := f.departures
	d.mu.Lock()
	defer d.mu.Unlock()
	out.violations = append(out.violations, d.violations...)
	for name, n := range d.counts {
		out.counts[name] += n
	}
	if !f.mix.quiet {
		return
	}
	for _, op := range out.history {
		if op.outcome != errcode.OutcomeDone {
			out.addViolation(guaranteePlannedStops, "a planned stop ended it: %v", op)
		}
	}
}
