package succession

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/duty"
)

const (
	// activeDecideInterval is the interval between decisions outside the watching
	// phase, and idleDecideInterval within it, if no change wakes the loop earlier.
	activeDecideInterval = 50 * time.Millisecond
	idleDecideInterval   = 250 * time.Millisecond
)

// groupLoop runs the decision loop of one group.
type groupLoop struct {
	controller *Controller
	name       cluster.GroupName
	// token is that of the lease under which the loop runs.
	token   duty.Token
	ctx     context.Context
	cancel  context.CancelFunc
	wakeups chan struct{}
	// revoking is set while processes are asked to release their grants.
	revoking   atomic.Bool
	goroutines sync.WaitGroup

	// mu guards the following fields.
	mu       sync.Mutex
	group    Group
	view     View
	monitors map[cluster.ServerID]*serverMonitor

	// state is written only by the loop's own goroutine, under mu.
	state State
	// readRecord is the group's record, just read, which the next decision adopts. adopted is
	// set once one was.
	readRecord *readRecord
	adopted    bool
	// promotionsLostUntil is the time until which a promotion may take effect whose record was
	// lost; zero if there is none.
	promotionsLostUntil time.Time
	// announced is the promotion by this process that is in progress, nil if there is none.
	announced *announcedPromotion
	// recordRead is set while savedRecord is known to be the group's record in the
	// table service, and recordSyncing while it is read or written in the background.
	recordRead, recordSyncing bool
	savedRecord               Record

	// grantsAllowed is set while grants are allowed. The loop's own goroutine uses it and
	// grantsEnd.
	grantsAllowed bool
	grantsEnd     grantsEnd

	// recordBusy holds a token while the record is read or written.
	recordBusy chan struct{}
}

func newGroupLoop(ctx context.Context, c *Controller, g Group, token duty.Token) *groupLoop {
	l := &groupLoop{
		controller: c, name: g.Name, token: token, wakeups: make(chan struct{}, 1), recordBusy: make(chan struct{}, 1), state: NewState(time.Now()),
		view:     View{Servers: map[cluster.ServerID]Observation{}, PendingPromotions: PendingPromotions{}},
		monitors: map[cluster.ServerID]*serverMonitor{}, grantsEnd: grantsEnd{startedAt: time.Now()},
	}
	l.ctx, l.cancel = context.WithCancel(ctx)
	return l
}

// stop ends the loop and blocks grants, because grants must not outlive the lease.
func (l *groupLoop) stop() {
	l.cancel()
	l.controller.config.Grants.Block(l.name)
}

// update replaces the group and starts and stops monitors to match its servers.
func (l *groupLoop) update(g Group) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.group = g
	listed := map[cluster.ServerID]bool{}
	for _, s := range g.Servers {
		listed[s.ID] = true
		monitor, ok := l.monitors[s.ID]
		if ok && monitor.server.Server == s.Server && monitor.server.StartTime == s.StartTime {
			continue
		}
		if ok {
			monitor.cancel()
		}
		monitor = newServerMonitor(l, s)
		l.monitors[s.ID] = monitor
		l.goroutines.Go(monitor.run)
	}
	for id, monitor := range l.monitors {
		if !listed[id] {
			monitor.cancel()
			delete(l.monitors, id)
			delete(l.view.Servers, id)
		}
	}
	l.wake()
}

// run makes decisions until the loop is stopped.
func (l *groupLoop) run() {
	defer l.goroutines.Wait()
	for l.ctx.Err() == nil {
		l.decide()
		interval := idleDecideInterval
		if l.state.Phase != PhaseWatching {
			interval = activeDecideInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-l.ctx.Done():
		case <-l.wakeups:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// decide makes one decision and starts the resulting actions.
func (l *groupLoop) decide() {
	l.mu.Lock()
	previous := l.state
	l.adoptRecord()
	l.view.PendingPromotions.removeEnded(l.view.Servers)
	view := l.view
	view.Servers, view.PendingPromotions = maps.Clone(l.view.Servers), maps.Clone(l.view.PendingPromotions)
	view.LeaseRemaining = l.controller.config.Lease.Remaining()
	view.PriorPromotionPossible = !l.recordRead || time.Now().Before(l.promotionsLostUntil)
	view.RecordUnsaved = !l.wantedRecord().sameAs(l.savedRecord)
	view.GroupStale = l.controller.config.GroupsStale != nil && l.controller.config.GroupsStale()
	l.viewGrants(&view, time.Now())
	state, actions := Decide(l.group, view, l.state, time.Now())
	l.state = state
	now := time.Now()
	term, allowed := grantableTerm(l.group, view, l.state, now)
	l.mu.Unlock()
	l.saveRecord()
	l.logWaits(previous)
	l.logPhaseChange(previous)
	if previous.Phase != PhasePromoting && state.Phase == PhasePromoting {
		l.logElection(view, now)
	}
	l.updateGrants(term, allowed)
	for _, a := range actions {
		l.execute(a)
	}
}

// viewGrants sets what is known of the grants of the group.
func (l *groupLoop) viewGrants(view *View, now time.Time) {
	grants := l.controller.config.Grants
	view.GrantsInForce = l.grantsAllowed || grants.Outstanding(l.name)
	view.GrantsEndedAt = l.grantsEnd.update(view.GrantsInForce, now)
	window := l.grantsEnd.listingWindow(view.GroupStale, now)
	view.UnlistedPossible = l.grantsEnd.unlistedPossible(window, now)
	view.Acknowledged, view.AcknowledgedUnknown = grants.Acknowledged(l.name, window)
	view.AcknowledgedUnknown = view.AcknowledgedUnknown || l.grantsEnd.earlierHolderRecent(window, now)
}

// updateGrants allows or blocks grants of a term. In the pausing phase, the
// processes that hold a grant are asked to release it.
func (l *groupLoop) updateGrants(term cluster.Term, allowed bool) {
	grants := l.controller.config.Grants
	if l.grantsAllowed = allowed; allowed {
		grants.Allow(l.name, term)
		return
	}
	holders, last := grants.Block(l.name)
	if l.state.Phase != PhasePausing || l.revoking.Swap(true) {
		return
	}
	l.goroutines.Go(func() {
		defer l.revoking.Store(false)
		l.revoke(holders, last)
	})
}

// revoke asks processes to release their grants, up to the one with a number.
func (l *groupLoop) revoke(holders []cluster.ProxyID, last uint64) {
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, proxy := range holders {
		calls.Go(func() {
			revocation, err := l.controller.config.Revoke(ctx, proxy, l.name)
			if err == nil {
				l.controller.config.Grants.RecordRevoked(revocation, l.name, last)
			}
			eventGrantRevoked.Log(l.controller.config.Log).Str("group", string(l.name)).
				Str("proxy", string(proxy)).Stringer("acknowledged", revocation.Acknowledged).AnErr("error", err).Send()
			l.wake()
		})
	}
	calls.Wait()
}

// logWaits logs why a leaving primary is not replaced and what an election waits for,
// whenever that changes.
func (l *groupLoop) logWaits(previous State) {
	if blocker := l.state.Blocker; blocker != previous.Blocker && blocker != "" {
		eventSwitchoverBlocked.Log(l.controller.config.Log).Str("group", string(l.name)).Str("reason", string(blocker)).Send()
	}
	if wait := l.state.Wait; wait != previous.Wait && wait.Reason != "" {
		eventElectionWaits.Log(l.controller.config.Log).Str("group", string(l.name)).Str("cause", string(l.state.Cause)).
			Str("reason", wait.Reason).Str("servers", wait.Servers).Send()
	}
}

func (l *groupLoop) logPhaseChange(previous State) {
	if len(l.state.abandoned) > 0 && len(previous.abandoned) == 0 {
		eventMembersAbandoned.Log(l.controller.config.Log).Str("group", string(l.name)).Interface("members", l.state.abandoned).Send()
	}
	if previous.Phase == l.state.Phase {
		return
	}
	current := l.state
	if previous.Phase == PhaseWatching && current.Phase == PhasePausing && current.Cause == CauseReplay {
		l.logReplaySwitchover()
	}
	eventPhaseChanged.Log(l.controller.config.Log).Str("group", string(l.name)).
		Str("from", string(previous.Phase)).Str("to", string(current.Phase)).Str("cause", string(current.Cause)).
		Str("old", string(current.OldPrimary)).Uint64("old_term", uint64(current.OldTerm)).Uint64("paused_at", uint64(current.AttemptTerm)).
		Str("chosen", string(current.Candidate)).Dur("in_phase", time.Since(previous.Since)).Send()
}

// logReplaySwitchover counts a switchover because of late replay and logs its evidence.
func (l *groupLoop) logReplaySwitchover() {
	l.mu.Lock()
	servers := maps.Clone(l.view.Servers)
	l.mu.Unlock()
	replaySwitchoversTotal.Inc()
	replayed := make(map[cluster.ServerID]string, len(servers))
	for id, o := range servers {
		replayed[id] = o.Status.Replayed.String()
	}
	eventReplaySwitchover.Log(l.controller.config.Log).Str("group", string(l.name)).Str("primary", string(l.state.OldPrimary)).
		Uint64("term", uint64(l.state.OldTerm)).Interface("replayed", replayed).Dur("late_for", l.state.replay.lateFor).
		Dur("pause", l.state.rest.pause).Send()
}

// logElection logs what the election of a server was based on.
func (l *groupLoop) logElection(view View, now time.Time) {
	logs := finalLogs(l.group, view, l.state, now)
	ends := make(map[cluster.ServerID]string, len(logs))
	for _, log := range logs {
		ends[log.server.ID] = log.end.String()
	}
	required, _ := requiredEnd(l.group, view, l.state, logs, now)
	eventElectedServer.Log(l.controller.config.Log).Str("group", string(l.name)).Str("server", string(l.state.Candidate)).
		Str("cause", string(l.state.Cause)).Interface("final_logs", ends).Str("required", required.String()).
		Interface("members", l.state.Members).Str("pending", pendingServers(view, now)).Send()
}

// execute starts an action in the background.
func (l *groupLoop) execute(a Action) {
	switch a.Kind {
	case ActionQueryObservers:
		l.goroutines.Go(l.queryObservers)
	case ActionPromote:
		l.mu.Lock()
		l.view.PromotionInFlight, l.view.PromotionNotSent, l.view.PromotionRefused = true, false, ""
		l.mu.Unlock()
		l.goroutines.Go(func() { l.promote(a) })
	default:
		l.mu.Lock()
		monitor := l.monitors[a.Server]
		l.mu.Unlock()
		if monitor != nil {
			monitor.enqueue(a)
		}
	}
}

// wake triggers another decision.
func (l *groupLoop) wake() {
	select {
	case l.wakeups <- struct{}{}:
	default:
	}
}
