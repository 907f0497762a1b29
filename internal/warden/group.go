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
	// decideInterval is the time between two decisions without news while the
	// group is in trouble, and quietInterval otherwise.
	decideInterval = 100 * time.Millisecond
	quietInterval  = 500 * time.Millisecond
)

// groupLoop watches one group.
type groupLoop struct {
	cfg      Config
	spec     atomic.Pointer[failover.GroupSpec]
	board    *failover.StatusTracker
	executor *failover.Executor
	state    failover.State
	running  *running
	retiring atomic.Bool
}

func newGroupLoop(cfg Config, spec failover.GroupSpec, running *running) *groupLoop {
	board := failover.NewStatusTracker()
	observers := &observers{self: cfg.Self, members: cfg.Members, prober: cfg.Prober}
	l := &groupLoop{
		cfg: cfg, board: board, running: running,
		executor: failover.NewExecutor(cfg.Dialer, board, cfg.Store, observers, cfg.Log),
		state:    failover.NewState(time.Now(), cfg.Seed^seedOf(spec)),
	}
	l.spec.Store(&spec)
	return l
}

// seedOf makes the choices for different groups independent.
func seedOf(spec failover.GroupSpec) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(spec.Name))
	return h.Sum64()
}

// update replaces the spec. It returns false when the servers have changed, so
// that the loop must be replaced.
func (l *groupLoop) update(spec failover.GroupSpec) bool {
	if !slices.Equal(l.spec.Load().Servers, spec.Servers) {
		return false
	}
	l.spec.Store(&spec)
	return true
}

// retire ends the loop once no attempt is under way.
func (l *groupLoop) retire() { l.retiring.Store(true) }

// run watches the servers and decides until ctx ends or the loop retires.
func (l *groupLoop) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var watches sync.WaitGroup
	defer l.running.remove(l)
	defer watches.Wait()
	defer l.executor.Wait()
	defer cancel()
	for _, server := range l.spec.Load().Servers {
		w := newWatch(l, server)
		watches.Go(func() { w.run(ctx) })
	}
	for ctx.Err() == nil && (l.state.Active() || !l.retiring.Load()) {
		l.decide(ctx)
		l.wait(ctx)
	}
}

// decide runs decisions and their actions until there is nothing more to do now.
func (l *groupLoop) decide(ctx context.Context) {
	for ctx.Err() == nil {
		spec := *l.spec.Load()
		before := l.state.Phase
		state, actions := failover.Decide(spec, l.board.Status(), l.state, time.Now())
		l.state = state
		l.running.set(l, spec.Name, state)
		l.logPhase(spec, before)
		if len(actions) == 0 {
			return
		}
		l.executor.Run(ctx, spec, actions)
	}
}

func (l *groupLoop) logPhase(spec failover.GroupSpec, before failover.Phase) {
	if before == l.state.Phase {
		return
	}
	eventPhaseChanged.Log(&l.cfg.Log).
		Str("group", string(spec.Name)).
		Str("from", string(before)).
		Str("to", string(l.state.Phase)).
		Str("cause", string(l.state.Cause)).
		Send()
}

// wait waits for news, for the next decision or for the end of ctx.
func (l *groupLoop) wait(ctx context.Context) {
	interval := decideInterval
	if l.state.Phase == failover.PhaseHealthy {
		interval = quietInterval
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-l.board.Changed():
	case <-timer.C:
	case <-ctx.Done():
	}
}
