package warden

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattancove/rattancove/internal/failover"
)

const (
	// activeDecideInterval is the interval between decisions while the group is not
	// healthy, and idleDecideInterval while it is, if no change triggers one earlier.
	activeDecideInterval = 100 * time.Millisecond
	idleDecideInterval   = 500 * time.Millisecond
)

// groupLoop monitors one group and executes its failovers.
type groupLoop struct {
	cfg       Config
	spec      atomic.Pointer[failover.GroupSpec]
	tracker   *failover.StatusTracker
	executor  *failover.Executor
	state     failover.State
	failovers *failoverRegistry
	retiring  atomic.Bool
}

func newGroupLoop(cfg Config, spec failover.GroupSpec, failovers *failoverRegistry) *groupLoop {
	tracker := failover.NewStatusTracker()
	observers := &proxyObservers{self: cfg.Self, members: cfg.Members, prober: cfg.Prober}
	l := &groupLoop{
		cfg: cfg, tracker: tracker, failovers: failovers,
		executor: failover.NewExecutor(cfg.Dialer, tracker, cfg.Store, observers, cfg.Log),
		state:    failover.NewState(time.Now(), cfg.Seed^groupSeed(spec)),
	}
	l.spec.Store(&spec)
	return l
}

// groupSeed makes the random choices for different groups independent.
func groupSeed(spec failover.GroupSpec) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(spec.Name))
	return h.Sum64()
}

// update replaces the spec. It returns false if the servers have changed, in which
// case the loop must be replaced.
func (l *groupLoop) update(spec failover.GroupSpec) bool {
	if !slices.Equal(l.spec.Load().Servers, spec.Servers) {
		return false
	}
	l.spec.Store(&spec)
	return true
}

// retire ends the loop once no attempt is in progress.
func (l *groupLoop) retire() { l.retiring.Store(true) }

// run monitors the servers and makes decisions until ctx is done or the loop retires.
func (l *groupLoop) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var monitors sync.WaitGroup
	defer l.failovers.remove(l)
	defer monitors.Wait()
	defer l.executor.Wait()
	defer cancel()
	for _, server := range l.spec.Load().Servers {
		monitor := newServerMonitor(l, server)
		monitors.Go(func() { monitor.run(ctx) })
	}
	for ctx.Err() == nil && (l.state.Active() || !l.retiring.Load()) {
		l.decide(ctx)
		l.wait(ctx)
	}
}

// decide makes decisions and executes their actions until no action is due.
func (l *groupLoop) decide(ctx context.Context) {
	for ctx.Err() == nil {
		spec := *l.spec.Load()
		previousPhase := l.state.Phase
		state, actions := failover.Decide(spec, l.tracker.Status(), l.state, time.Now())
		l.state = state
		l.failovers.update(l, spec.Name, state)
		l.logPhaseChange(spec, previousPhase)
		if len(actions) == 0 {
			return
		}
		l.executor.Run(ctx, spec, actions)
	}
}

func (l *groupLoop) logPhaseChange(spec failover.GroupSpec, previousPhase failover.Phase) {
	if previousPhase == l.state.Phase {
		return
	}
	eventPhaseChanged.Log(&l.cfg.Log).
		Str("group", string(spec.Name)).
		Str("from", string(previousPhase)).
		Str("to", string(l.state.Phase)).
		Str("cause", string(l.state.Cause)).
		Send()
}

// wait waits for a new observation, for the next decision or until ctx is done.
func (l *groupLoop) wait(ctx context.Context) {
	interval := activeDecideInterval
	if l.state.Phase == failover.PhaseHealthy {
		interval = idleDecideInterval
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-l.tracker.Changed():
	case <-timer.C:
	case <-ctx.Done():
	}
}
