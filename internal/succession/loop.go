package succession

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

const (
	// decideInterval is the time between two decisions without news in trouble,
	// and quietInterval otherwise.
	decideInterval = 50 * time.Millisecond
	quietInterval  = 250 * time.Millisecond
)

// groupLoop decides for one group.
type groupLoop struct {
	controller *Controller
	name       cluster.GroupName
	ctx        context.Context
	cancel     context.CancelFunc
	news       chan struct{}
	// revoking is set while processes are asked to give up their grants.
	revoking atomic.Bool
	work     sync.WaitGroup

	// mu guards what the watches and the calls write.
	mu      sync.Mutex
	group   Group
	view    View
	watches map[cluster.ServerID]*watch

	// uncertainUntil is the time until which a call of an earlier holder of the
	// duty may take effect.
	uncertainUntil time.Time

	// state belongs to the loop's own goroutine.
	state State
}

func newGroupLoop(ctx context.Context, c *Controller, g Group) *groupLoop {
	l := &groupLoop{
		controller: c, name: g.Name, news: make(chan struct{}, 1), state: NewState(time.Now()),
		view:    View{Servers: map[cluster.ServerID]Observation{}, Pending: map[cluster.ServerID]time.Time{}},
		watches: map[cluster.ServerID]*watch{}, uncertainUntil: time.Now().Add(uncertainTime),
	}
	l.ctx, l.cancel = context.WithCancel(ctx)
	return l
}

// stop ends the loop. Grants end with the lease.
func (l *groupLoop) stop() {
	l.cancel()
	l.controller.config.Grants.Block(l.name)
}

// update takes up the servers of the catalog.
func (l *groupLoop) update(g Group) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.group = g
	listed := map[cluster.ServerID]bool{}
	for _, s := range g.Servers {
		listed[s.ID] = true
		w, ok := l.watches[s.ID]
		if ok && w.server.Server == s.Server && w.server.Started == s.Started {
			continue
		}
		if ok {
			w.cancel()
		}
		w = newWatch(l, s)
		l.watches[s.ID] = w
		l.work.Go(w.run)
	}
	for id, w := range l.watches {
		if !listed[id] {
			w.cancel()
			delete(l.watches, id)
			delete(l.view.Servers, id)
		}
	}
	l.wake()
}

// run decides until the loop is stopped.
func (l *groupLoop) run() {
	defer l.work.Wait()
	for l.ctx.Err() == nil {
		l.decide()
		interval := quietInterval
		if l.state.Phase != PhaseWatching {
			interval = decideInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-l.ctx.Done():
		case <-l.news:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// decide makes one decision and starts its actions.
func (l *groupLoop) decide() {
	l.mu.Lock()
	before := l.state
	view := l.view
	view.Servers, view.Pending = maps.Clone(l.view.Servers), maps.Clone(l.view.Pending)
	view.LeaseLeft = l.controller.config.Lease.Remaining()
	view.Unsettled = time.Now().Before(l.uncertainUntil)
	view.Relied = l.controller.config.Grants.Outstanding(l.name)
	state, actions := Decide(l.group, view, l.state, time.Now())
	l.state = state
	now := time.Now()
	term, allowed := grantable(l.group, view, l.state, now)
	allowed = allowed && now.After(l.uncertainUntil)
	l.mu.Unlock()
	l.logPhase(before)
	l.setGrants(term, allowed)
	for _, a := range actions {
		l.start(a)
	}
}

// setGrants allows grants of a term or blocks them. Before a replacement, the
// processes that have one are asked to give it up.
func (l *groupLoop) setGrants(term cluster.Term, allowed bool) {
	grants := l.controller.config.Grants
	if allowed {
		grants.Allow(l.name, term)
		return
	}
	holders := grants.Block(l.name)
	if l.state.Phase != PhasePausing || l.revoking.Swap(true) {
		return
	}
	l.work.Go(func() {
		defer l.revoking.Store(false)
		l.revoke(holders)
	})
}

// revoke asks processes to give up their grants.
func (l *groupLoop) revoke(holders []cluster.ProxyID) {
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, proxy := range holders {
		calls.Go(func() {
			err := l.controller.config.Revoke(ctx, proxy, l.name)
			if err == nil {
				l.controller.config.Grants.RecordRevoked(proxy, l.name)
			}
			eventRevoked.Log(l.controller.config.Log).Str("group", string(l.name)).
				Str("proxy", string(proxy)).AnErr("error", err).Send()
			l.wake()
		})
	}
	calls.Wait()
}

func (l *groupLoop) logPhase(before State) {
	if before.Phase == l.state.Phase {
		return
	}
	s := l.state
	eventPhase.Log(l.controller.config.Log).Str("group", string(l.name)).
		Str("from", string(before.Phase)).Str("to", string(s.Phase)).Str("cause", string(s.Cause)).
		Str("old", string(s.Old)).Uint64("old_term", uint64(s.OldAt)).Uint64("paused_at", uint64(s.Term)).
		Str("chosen", string(s.Chosen)).Dur("in_phase", time.Since(before.Since)).Send()
}

// start carries out an action in the background.
func (l *groupLoop) start(a Action) {
	switch a.Kind {
	case ActAsk:
		l.work.Go(l.ask)
	case ActPromote:
		l.mu.Lock()
		l.view.Asked = true
		l.view.Pending[a.Server] = time.Now().Add(uncertainTime)
		l.mu.Unlock()
		l.work.Go(func() { l.promote(a) })
	default:
		l.mu.Lock()
		w := l.watches[a.Server]
		l.mu.Unlock()
		if w != nil {
			w.command(a)
		}
	}
}

// wake asks for another decision.
func (l *groupLoop) wake() {
	select {
	case l.news <- struct{}{}:
	default:
	}
}
