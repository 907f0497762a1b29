package warden

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/failover"
	"github.com/rattancove/rattancove/internal/member"
)

const (
	// wardensPerGroup is the number of wardens assigned to a group.
	wardensPerGroup = 3
	// reconcileInterval is the interval between checks of the document, the members and
	// the leaving VMs.
	reconcileInterval = 500 * time.Millisecond
)

// Members provides the other known processes.
type Members interface {
	Snapshot() *member.Snapshot
	Leaving(address string) bool
}

// Prober asks another process to probe a server on a new connection.
type Prober interface {
	Probe(ctx context.Context, m member.Member, group cluster.GroupName, server cluster.Server) (failover.ProbeResult, error)
}

// Config configures a Warden.
type Config struct {
	// Self is this warden as listed among the members.
	Self    member.Member
	Dialer  backend.Dialer
	Store   *failover.RecordStore
	Members Members
	Prober  Prober
	// Document returns the current document, or nil if there is none.
	Document func() *environment.Document
	// Seed makes this warden's random choices differ from those of others.
	Seed uint64
	Log  zerolog.Logger
}

// Warden monitors groups. Run may be called once.
type Warden struct {
	cfg       Config
	groups    map[cluster.GroupName]*groupLoop
	failovers *failoverRegistry
}

// New returns a Warden.
func New(cfg Config) *Warden {
	return &Warden{cfg: cfg, groups: map[cluster.GroupName]*groupLoop{}, failovers: newFailoverRegistry()}
}

// Run monitors groups until ctx is done. It returns nil.
func (w *Warden) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { _ = w.cfg.Store.Run(ctx) })
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		w.reconcile(ctx, &loops)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// reconcile starts, updates and stops group loops to match the document and the members.
func (w *Warden) reconcile(ctx context.Context, loops *sync.WaitGroup) {
	wanted := w.specs()
	for name, loop := range w.groups {
		if _, ok := wanted[name]; !ok {
			loop.retire()
			delete(w.groups, name)
		}
	}
	for name, spec := range wanted {
		old, ok := w.groups[name]
		if ok && old.update(spec) {
			continue
		}
		if ok {
			old.retire()
		}
		loop := newGroupLoop(w.cfg, spec, w.failovers)
		w.groups[name] = loop
		loops.Go(func() { loop.run(ctx) })
	}
	monitoredGroups.Set(uint64(len(wanted)))
}

// specs returns the specs of the groups that are assigned to this warden.
func (w *Warden) specs() map[cluster.GroupName]failover.GroupSpec {
	specs := map[cluster.GroupName]failover.GroupSpec{}
	doc := w.cfg.Document()
	if doc == nil {
		return specs
	}
	snapshot := w.cfg.Members.Snapshot()
	for _, g := range doc.Groups {
		wardens := snapshot.WardensOf(g.Name, wardensPerGroup)
		index := slices.IndexFunc(wardens, func(m member.Member) bool { return m.ID == w.cfg.Self.ID })
		if index < 0 {
			continue
		}
		specs[g.Name] = failover.SpecOf(g, doc.Ranks, w.cfg.Self.ID, index, w.cfg.Members.Leaving)
	}
	return specs
}
