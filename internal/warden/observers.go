package warden

import (
	"context"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/failover"
	"github.com/rattancove/rattancove/internal/member"
)

const (
	// maxObservers is the number of proxies that are asked for evidence.
	maxObservers = 4
	// observerQueryTimeout bounds one question; the observer's own connection is bounded
	// by failover.CallTimeout.
	observerQueryTimeout = failover.CallTimeout + 200*time.Millisecond
)

// proxyObservers asks proxies on other VMs, since proxies are who must reach the
// primary. It prefers proxies in different failure domains.
type proxyObservers struct {
	self    member.Member
	members Members
	prober  Prober
}

// Query implements failover.Observers.
func (o *proxyObservers) Query(ctx context.Context, spec failover.GroupSpec, deliver func(failover.ObserverReport)) {
	var others []member.Member
	for _, m := range o.members.Snapshot().Usable(member.RoleProxy) {
		if m.ID != o.self.ID {
			others = append(others, m)
		}
	}
	for _, m := range member.SpreadDomains(others, maxObservers) {
		go o.queryOne(ctx, m, spec, deliver)
	}
}

// queryOne lets one proxy try all servers. A proxy that does not answer for any
// of them delivers nothing.
func (o *proxyObservers) queryOne(ctx context.Context, m member.Member, spec failover.GroupSpec, deliver func(failover.ObserverReport)) {
	ctx, cancel := context.WithTimeout(ctx, observerQueryTimeout)
	defer cancel()
	report := failover.ObserverReport{Observer: m.Key().String(), QueriedAt: time.Now()}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, server := range spec.Servers {
		wg.Go(func() {
			result, err := o.prober.Probe(ctx, m, spec.Name, server)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			report.Probes = append(report.Probes, result)
		})
	}
	wg.Wait()
	if len(report.Probes) == len(spec.Servers) {
		deliver(report)
	}
}
