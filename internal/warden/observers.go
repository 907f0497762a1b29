package warden

import (
	"context"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/failover"
	"github.com/rattancove/rattancove/internal/member"
)

const (
	// maxObservers is the maximum number of proxies that are queried.
	maxObservers = 4
	// observerQueryTimeout limits one query; the observer's own connection is limited
	// by failover.CallTimeout.
	observerQueryTimeout = failover.CallTimeout + 200*time.Millisecond
)

// proxyObservers queries proxies on other VMs, since the proxies are the processes that
// must reach the primary. It prefers proxies in different failure domains.
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

// queryOne asks one proxy to probe all servers. Unless the proxy responds for all of
// them, nothing is delivered.
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
