package succession

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

const (
	// detectionTime is how long a primary must fail before it is replaced. It
	// outlasts a reset connection and a few lost packets, and leaves most of the
	// recovery bound of 12 s to the promotion itself.
	detectionTime = 800 * time.Millisecond
	// refusedDetectionTime is how long it takes instead where the VM itself says that the
	// server does not run, which no lost packet and no reset connection does.
	refusedDetectionTime = 250 * time.Millisecond
	// minFailures is the number of failed fresh connections in a row.
	minFailures = 2
	// uncorroboratedDetectionTime is how long a primary must fail where no other process could be asked.
	uncorroboratedDetectionTime = 2 * time.Second
	// maxReportAge is the age beyond which testimony does not count.
	maxReportAge = 2 * time.Second
	// peerQueryInterval is the time between two questions to other processes.
	peerQueryInterval = 500 * time.Millisecond
	// stallTimeout is how long a primary may be ahead of all its replicas: several
	// times what a replica takes to receive a write.
	stallTimeout = 2500 * time.Millisecond
	// stepRetryInterval is the time between two tries of one step.
	stepRetryInterval = 150 * time.Millisecond
	// repairRetryInterval is the time between two tries to make servers follow.
	repairRetryInterval = 500 * time.Millisecond
	// promotionTimeout is how long the platform may take to promote before the
	// attempt begins anew; it usually takes one second.
	promotionTimeout = 3 * time.Second
	// switchoverRetryDelay is the pause before another try to hand over from a leaving primary.
	switchoverRetryDelay = 500 * time.Millisecond
	// minSwitchoverLease is the least time that the lease must hold before a primary
	// that works is made to step down: a hand-over takes half a second until the
	// platform is asked.
	minSwitchoverLease = time.Second
	// switchoverTimeout bounds an attempt to hand over from a primary that still works.
	switchoverTimeout = 1500 * time.Millisecond
)

// Decide returns the next state of a group and the actions to take now.
func Decide(g Group, v View, s State, now time.Time) (State, []Action) {
	s = s.updateStall(g, v, now)
	for {
		next, actions := decidePhase(g, v, s, now)
		if len(actions) > 0 || next.Phase == s.Phase {
			return next, actions
		}
		s = next
	}
}

func decidePhase(g Group, v View, s State, now time.Time) (State, []Action) {
	switch s.Phase {
	case PhaseSuspecting:
		return decideSuspecting(g, v, s, now)
	case PhasePausing:
		return decidePausing(g, v, s, now)
	case PhasePromoting:
		return decidePromoting(g, v, s, now)
	default:
		return decideWatching(g, v, s, now)
	}
}

// primary returns the server that was last seen as the primary of the highest term.
func primary(g Group, v View) (Server, Observation, bool) {
	var found Server
	var observation Observation
	ok := false
	for _, s := range g.Servers {
		o := v.Servers[s.ID]
		if o.known(s) && o.Status.Role == cluster.RolePrimary && (!ok || o.Status.Term > observation.Status.Term) {
			found, observation, ok = s, o, true
		}
	}
	return found, observation, ok
}

// maxTerm returns the highest term that any server has reported.
func maxTerm(v View) cluster.Term {
	var term cluster.Term
	for _, o := range v.Servers {
		term = max(term, o.Status.Term, o.Status.PausedAt)
	}
	return term
}

// diagnose tells whether and since when the group needs another primary.
func diagnose(g Group, v View, s State, now time.Time) (Cause, time.Time) {
	p, o, ok := primary(g, v)
	switch {
	case !ok && !anyReachable(g, v):
		return CauseNone, time.Time{} // this process is cut off or has just started
	case !ok:
		return CauseNoPrimary, now
	case o.ConsecutiveFailures > 0:
		return CauseUnreachable, o.FailingSince
	case p.Leaving && hasSuccessor(g, v, p.ID) && !now.Before(s.PostponedUntil) && v.LeaseRemaining >= minSwitchoverLease:
		return CauseLeaving, now
	case !s.StalledSince.IsZero() && now.Sub(s.StalledSince) >= stallTimeout:
		return CauseStalled, s.StalledSince
	}
	return CauseNone, time.Time{}
}

func anyReachable(g Group, v View) bool {
	for _, s := range g.Servers {
		if v.Servers[s.ID].reachable(s) {
			return true
		}
	}
	return false
}

// hasSuccessor reports whether a server that stays could take over.
func hasSuccessor(g Group, v View, old cluster.ServerID) bool {
	for _, s := range g.Servers {
		if s.ID != old && !s.Leaving && v.Servers[s.ID].reachable(s) {
			return true
		}
	}
	return false
}

// updateStall notes since when the primary has been ahead of all its replicas
// without any progress there.
func (s State) updateStall(g Group, v View, now time.Time) State {
	p, o, ok := primary(g, v)
	if !ok || o.ConsecutiveFailures > 0 {
		s.StalledSince = time.Time{}
		return s
	}
	var best cluster.Position
	replicas := 0
	for _, r := range g.Servers {
		if observed := v.Servers[r.ID]; r.ID != p.ID && observed.reachable(r) && observed.Status.PausedAt == 0 {
			best = cluster.MaxPosition(best, observed.Status.Received)
			replicas++
		}
	}
	switch {
	case replicas == 0 || !best.Less(o.Status.Received):
		s.StalledSince = time.Time{}
	case s.StalledSince.IsZero() || best != s.StalledPosition:
		s.StalledSince, s.StalledPosition = now, best
	}
	return s
}

func decideWatching(g Group, v View, s State, now time.Time) (State, []Action) {
	cause, since := diagnose(g, v, s, now)
	switch cause {
	case CauseNone:
		return repair(g, v, s, now)
	case CauseLeaving:
		s = s.beginAttempt(g, v, cause, now)
		return s.fire(eventLeaving, now), nil
	default:
		s.Cause, s.FailureSince = cause, since
		return s.fire(eventTrouble, now), nil
	}
}

// repair makes replicas receive again and earlier primaries step down.
func repair(g Group, v View, s State, now time.Time) (State, []Action) {
	p, o, ok := primary(g, v)
	if !ok || now.Before(s.NextRetry) {
		return s, nil
	}
	var actions []Action
	for _, r := range g.Servers {
		observed := v.Servers[r.ID]
		switch {
		case r.ID == p.ID || !observed.reachable(r):
		case observed.Status.Role == cluster.RolePrimary:
			actions = append(actions, Action{Kind: ActionStepDown, Server: r.ID, Term: o.Status.Term})
		case observed.Status.PausedAt > 0 && mayResume(v, p.ID, o.Status.Term, observed.Status.PausedAt, now):
			actions = append(actions, Action{Kind: ActionResume, Server: r.ID})
		}
	}
	if len(actions) > 0 {
		s.NextRetry = now.Add(repairRetryInterval)
	}
	return s, actions
}

// mayResume reports whether a replica may receive again from a primary. One that
// was paused for an attempt which has not come to its end may not: the platform may
// still promote a server of that attempt, and would discard what the present primary
// could acknowledge until then.
func mayResume(v View, primary cluster.ServerID, term, pausedAt cluster.Term, now time.Time) bool {
	if term >= pausedAt {
		return true
	}
	for asked, until := range v.PendingPromotions {
		if asked != primary && now.Before(until) {
			return false
		}
	}
	return !v.PriorPromotionPossible
}

func decideSuspecting(g Group, v View, s State, now time.Time) (State, []Action) {
	cause, since := diagnose(g, v, s, now)
	if cause == CauseNone {
		return s.fire(eventRecovered, now), nil
	}
	if cause != s.Cause {
		s.Cause = cause
		if cause == CauseUnreachable && since.Before(s.FailureSince) {
			s.FailureSince = since
		}
	}
	if failureConfirmed(g, v, s, now) {
		s = s.beginAttempt(g, v, cause, now)
		return s.fire(eventConfirmed, now), nil
	}
	if now.Before(s.NextRetry) {
		return s, nil
	}
	s.NextRetry = now.Add(peerQueryInterval)
	return s, []Action{{Kind: ActionQueryPeers}}
}

// failureConfirmed reports whether the evidence is enough to replace the primary.
func failureConfirmed(g Group, v View, s State, now time.Time) bool {
	failingFor := now.Sub(s.FailureSince)
	if !hasSuccessor(g, v, "") {
		return false
	}
	if s.Cause != CauseUnreachable {
		return failingFor >= detectionTime
	}
	_, o, ok := primary(g, v)
	needed := detectionTime
	if o.ConsecutiveRefusals >= minFailures {
		needed = refusedDetectionTime
	}
	if !ok || o.ConsecutiveFailures < minFailures || failingFor < needed {
		return false
	}
	report := v.PeerReport
	if report.QueriedAt.Before(s.FailureSince) || now.Sub(report.QueriedAt) > maxReportAge || report.Reachable+report.Unreachable == 0 {
		return failingFor >= uncorroboratedDetectionTime
	}
	return report.Unreachable >= report.Reachable
}

// beginAttempt starts an attempt at a term above every known one.
func (s State) beginAttempt(g Group, v View, cause Cause, now time.Time) State {
	s.Cause, s.AttemptStart = cause, now
	s.AttemptTerm = max(maxTerm(v), s.AttemptTerm) + 1
	s.Candidate, s.OldPrimary, s.OldTerm = "", "", 0
	s.MaxTermAtStart = 0
	for _, o := range v.Servers {
		s.MaxTermAtStart = max(s.MaxTermAtStart, o.Status.Term)
	}
	if p, o, ok := primary(g, v); ok {
		s.OldPrimary, s.OldTerm = p.ID, o.Status.Term
	}
	return s
}

func decidePausing(g Group, v View, s State, now time.Time) (State, []Action) {
	if newerPrimaryElected(g, v, s) {
		return s.fire(eventRecovered, now), nil
	}
	if (s.Cause == CauseUnreachable || s.Cause == CauseNoPrimary) && oldPrimaryRecovered(g, v, s) {
		return s.fire(eventRecovered, now), nil
	}
	if chosen, ok := elect(g, v, s); ok {
		s.Candidate = chosen
		return s.fire(eventElected, now), nil
	}
	if s.Cause == CauseLeaving && now.Sub(s.AttemptStart) > switchoverTimeout && !oldPrimarySteppedDown(g, v, s) {
		s.PostponedUntil = now.Add(switchoverRetryDelay)
		return s.fire(eventPostponed, now), nil
	}
	if now.Before(s.NextRetry) {
		return s, nil
	}
	s.NextRetry = now.Add(stepRetryInterval)
	return s, fenceOldPrimary(g, v, s)
}

// newerPrimaryElected reports whether a primary of a later term exists already.
func newerPrimaryElected(g Group, v View, s State) bool {
	_, o, ok := primary(g, v)
	return ok && o.ConsecutiveFailures == 0 && o.Status.Term > s.MaxTermAtStart && o.RequestedAt.After(s.AttemptStart)
}

// oldPrimaryRecovered reports whether the primary that was taken for dead, or was not
// known, answers.
func oldPrimaryRecovered(g Group, v View, s State) bool {
	p, o, ok := primary(g, v)
	return ok && (p.ID == s.OldPrimary || s.OldPrimary == "") && o.ConsecutiveFailures == 0 && o.RequestedAt.After(s.AttemptStart)
}

// fenceOldPrimary returns the actions that stop every write of the old primary: the
// replicas first, so that the old primary has nothing more acknowledged when
// it steps down.
func fenceOldPrimary(g Group, v View, s State) []Action {
	var actions []Action
	pending := 0
	for _, r := range g.Servers {
		o := v.Servers[r.ID]
		if !o.reachable(r) || o.Status.Role == cluster.RolePrimary || pausedForAttempt(r, o, s) {
			continue
		}
		pending++
		actions = append(actions, Action{Kind: ActionPause, Server: r.ID, Term: s.AttemptTerm})
	}
	if pending > 0 {
		return actions
	}
	for _, r := range g.Servers {
		if o := v.Servers[r.ID]; o.reachable(r) && o.Status.Role == cluster.RolePrimary {
			actions = append(actions, Action{Kind: ActionStepDown, Server: r.ID, Term: s.AttemptTerm})
		}
	}
	return actions
}

// pausedForAttempt reports whether a replica was paused for the attempt and has not been
// restarted since, which would undo it.
func pausedForAttempt(r Server, o Observation, s State) bool {
	return o.reachable(r) && o.RequestedAt.After(s.AttemptStart) && o.Status.PausedAt >= s.AttemptTerm
}

// oldPrimarySteppedDown reports whether the old primary takes no more writes.
func oldPrimarySteppedDown(g Group, v View, s State) bool {
	for _, r := range g.Servers {
		if r.ID == s.OldPrimary {
			o := v.Servers[r.ID]
			return o.reachable(r) && o.RequestedAt.After(s.AttemptStart) && o.Status.Role == cluster.RoleReplica
		}
	}
	return false
}

func decidePromoting(g Group, v View, s State, now time.Time) (State, []Action) {
	for _, r := range g.Servers {
		o := v.Servers[r.ID]
		// An old primary that answers again is not the one that was asked for.
		if o.reachable(r) && o.RequestedAt.After(s.Since) && o.Status.Role == cluster.RolePrimary && o.Status.Term > s.MaxTermAtStart {
			return s.fire(eventPromoted, now), nil
		}
	}
	if v.PromotionRefused == s.Candidate || now.Sub(s.Since) > promotionTimeout {
		s.AttemptTerm = max(maxTerm(v), s.AttemptTerm) + 1
		s.AttemptStart = now
		return s.fire(eventFailed, now), nil
	}
	if v.PromotionInFlight || now.Before(s.NextRetry) {
		return s, nil
	}
	// The call is repeated only after the platform has had time to carry it out.
	s.NextRetry = now.Add(promotionTimeout)
	return s, []Action{{Kind: ActionPromote, Server: s.Candidate, Term: s.AttemptTerm}}
}

// grantableTerm returns the present term if nothing but a decision of this process
// can end it: a promotion that the platform was asked for may still take effect.
func grantableTerm(g Group, v View, s State, now time.Time) (cluster.Term, bool) {
	p, o, ok := primary(g, v)
	if !ok || s.Phase != PhaseWatching || o.ConsecutiveFailures > 0 || o.Status.Term < maxTerm(v) {
		return 0, false
	}
	for asked, until := range v.PendingPromotions {
		if asked != p.ID && now.Before(until) {
			return 0, false
		}
	}
	return o.Status.Term, true
}
