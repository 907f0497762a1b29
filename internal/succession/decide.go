package succession

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

const (
	// detectionTime is how long a primary must fail before it is replaced. It is long
	// enough to tolerate a connection reset or a few lost packets, and leaves most of
	// the recovery limit of 12 s for the promotion itself.
	detectionTime = 800 * time.Millisecond
	// refusedDetectionTime applies instead when the VM refuses connections: the server
	// is not running, which neither packet loss nor a connection reset can cause.
	refusedDetectionTime = 250 * time.Millisecond
	// minFailures is the minimum number of consecutive new connections that must fail
	// before a primary is replaced.
	minFailures = 2
	// uncorroboratedDetectionTime applies when no other process could be asked.
	uncorroboratedDetectionTime = 2 * time.Second
	// maxReportAge is the age beyond which an observer report is ignored.
	maxReportAge          = 2 * time.Second
	observerQueryInterval = 500 * time.Millisecond
	// stallTimeout is how long a primary may be ahead of all its replicas without
	// replication progress. It is several times the replication delay of a write.
	stallTimeout = 2500 * time.Millisecond
	// stepRetryInterval is the delay before the actions of a phase are repeated.
	stepRetryInterval = 150 * time.Millisecond
	// repairRetryInterval is the delay before replicas are resumed and former
	// primaries stepped down again.
	repairRetryInterval = 500 * time.Millisecond
	// promotionTimeout is how long the platform may take to promote a server before
	// the attempt is restarted. A promotion usually takes one second.
	promotionTimeout = 3 * time.Second
	// switchoverRetryDelay is the delay before another attempt of a planned switchover.
	switchoverRetryDelay = 500 * time.Millisecond
	// minSwitchoverLease is the remaining lease time required to step down a working
	// primary: a switchover takes half a second until the platform is asked.
	minSwitchoverLease = time.Second
	// switchoverTimeout limits the wait of a switchover until the old primary has stepped
	// down and a replica has its whole log.
	switchoverTimeout = 1500 * time.Millisecond
)

// Decide returns the next state of a group and the actions to execute now.
func Decide(g Group, v View, s State, now time.Time) (State, []Action) {
	s = s.updateStall(g, v, now)
	s.Membership = s.update(g, v, now)
	s = s.updateOldLog(g, v)
	s = s.updateSteppedDown(g, v, now)
	s.replay = s.replay.update(g, v, s, now)
	s.Blocker, s.Wait = "", Wait{}
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

// primary returns the server whose last status reported it as primary at the
// highest term.
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

// maxServerTerm returns the highest term of any server, which a pause does not raise.
func maxServerTerm(v View) cluster.Term {
	var term cluster.Term
	for _, o := range v.Servers {
		term = max(term, o.Status.Term)
	}
	return term
}

// highestTerm returns the highest known term of any server, including those that have left the
// list since the attempt began.
func (s State) highestTerm(v View) cluster.Term {
	return max(maxServerTerm(v), s.MaxTermAtStart, s.seen.term)
}

// diagnose returns why the group needs a new primary, or CauseNone, and since when.
func diagnose(g Group, v View, s State, now time.Time) (Cause, time.Time) {
	p, o, ok := primary(g, v)
	switch {
	case !ok && !anyReachable(g, v):
		return CauseNone, time.Time{} // this process is partitioned or has just started
	case !ok:
		return CauseNoPrimary, now
	case o.ConsecutiveFailures > 0:
		return CauseUnreachable, o.FailingSince
	case p.Leaving && switchoverBlocker(g, v, s, now) == "":
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

// hasSuccessor reports whether a reachable server other than old could take over:
// one that is not leaving.
func hasSuccessor(g Group, v View, old cluster.ServerID) bool {
	for _, s := range g.Servers {
		if s.ID != old && !s.Leaving && v.Servers[s.ID].reachable(s) {
			return true
		}
	}
	return false
}

// updateStall records since when the primary has been ahead of all its replicas
// without replication progress.
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
		if replaySwitchoverHelps(g, v, s, now) {
			if s.rest.mayBegin(v, now) {
				s = s.beginAttempt(g, v, CauseReplay, now)
				s.rest.announced = false
				return s.fire(eventReplayLate, now), nil
			}
			s.rest = s.rest.announce(now)
		}
		if p, _, ok := primary(g, v); ok && p.Leaving {
			s.Blocker = switchoverBlocker(g, v, s, now)
		}
		return repair(g, v, s, now)
	case CauseLeaving:
		s = s.beginAttempt(g, v, cause, now)
		return s.fire(eventLeaving, now), nil
	default:
		s.Cause, s.FailureSince = cause, since
		return s.fire(eventFailing, now), nil
	}
}

// repair resumes paused replicas and steps down former primaries.
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
		case observed.Status.PausedAt > 0 && mayResume(g, v, r, now):
			actions = append(actions, Action{Kind: ActionResume, Server: r.ID})
		}
	}
	if len(actions) > 0 {
		s.NextRetry = now.Add(repairRetryInterval)
	}
	return s, actions
}

// mayResume reports whether a paused replica may resume replication. What it receives then
// must come from the current primary and must not be discarded: it follows that primary or
// can receive from no earlier one, which would acknowledge writes with it, and the attempt
// that paused it can no longer promote another server.
func mayResume(g Group, v View, replica Server, now time.Time) bool {
	p, leading, _ := primary(g, v)
	paused := v.Servers[replica.ID].Status
	if paused.Term < leading.Status.Term && earlierPrimaryPossible(g, v, p.ID) {
		return false
	}
	return leading.Status.Term >= paused.PausedAt || !otherPromotionPossible(v, p.ID, now)
}

// earlierPrimaryPossible reports whether a listed server other than current may still be
// primary at an earlier term, which it is until it has been observed as a replica.
func earlierPrimaryPossible(g Group, v View, current cluster.ServerID) bool {
	for _, s := range g.Servers {
		if o := v.Servers[s.ID]; s.ID != current && (!o.known(s) || o.Status.Role == cluster.RolePrimary) {
			return true
		}
	}
	return false
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
	s.NextRetry = now.Add(observerQueryInterval)
	return s, []Action{{Kind: ActionQueryObservers}}
}

// failureConfirmed reports whether there is enough evidence to replace the primary.
func failureConfirmed(g Group, v View, s State, now time.Time) bool {
	failingFor := now.Sub(s.FailureSince)
	if !hasSuccessor(g, v, "") {
		return false
	}
	if s.Cause != CauseUnreachable {
		return failingFor >= detectionTime
	}
	_, o, ok := primary(g, v)
	required := detectionTime
	if o.ConsecutiveRefusals >= minFailures {
		required = refusedDetectionTime
	}
	if !ok || o.ConsecutiveFailures < minFailures || failingFor < required {
		return false
	}
	report := v.ObserverReport
	if report.QueriedAt.Before(s.FailureSince) || now.Sub(report.QueriedAt) > maxReportAge || report.Reachable+report.Unreachable == 0 {
		return failingFor >= uncorroboratedDetectionTime
	}
	return report.Unreachable >= report.Reachable
}

// beginAttempt starts a failover attempt at a term above every known one.
func (s State) beginAttempt(g Group, v View, cause Cause, now time.Time) State {
	s.Cause, s.AttemptStart = cause, now
	s.AttemptTerm = max(maxTerm(v), s.AttemptTerm) + 1
	s.Candidate, s.OldPrimary, s.OldTerm, s.OldLogEnd = "", "", 0, cluster.Position{}
	s.MaxTermAtStart = maxServerTerm(v)
	return s.findOldPrimary(g, v)
}

func decidePausing(g Group, v View, s State, now time.Time) (State, []Action) {
	if newerPrimaryElected(g, v, s) {
		return s.fire(eventRecovered, now), nil
	}
	s = s.findOldPrimary(g, v)
	if (s.Cause == CauseUnreachable || s.Cause == CauseNoPrimary) && oldPrimaryRecovered(g, v, s) {
		return s.fire(eventRecovered, now), nil
	}
	s.Membership = s.abandon(v, departedPrimary(g, s), now)
	if candidate, ok := elect(g, v, s, now); ok {
		s.Candidate = candidate
		return s.fire(eventElected, now), nil
	}
	s.Wait = waitOf(g, v, s, now)
	if s.Cause.planned() && !s.awaitsReplicas(now) && !s.OldLogEnd.Known() {
		s.PostponedUntil = now.Add(switchoverRetryDelay)
		return s.fire(eventPostponed, now), nil
	}
	actions := fence(g, v, s, now)
	if len(actions) == 0 || now.Before(s.NextRetry) && actions[0].Kind == s.Step {
		return s, nil
	}
	s.Step, s.NextRetry = actions[0].Kind, now.Add(stepRetryInterval)
	return s, actions
}

// newerPrimaryElected reports whether another primary exists already: its term is above
// those known at the start of the attempt, or is the highest one and above that of the
// primary to replace, which was taken for the last one while its successor restarted.
func newerPrimaryElected(g Group, v View, s State) bool {
	p, o, ok := primary(g, v)
	if !ok || o.ConsecutiveFailures > 0 || !o.RequestedAt.After(s.AttemptStart) {
		return false
	}
	replaced := s.OldPrimary != "" && p.ID != s.OldPrimary && o.Status.Term > s.OldTerm
	return o.Status.Term > s.MaxTermAtStart || replaced && o.Status.Term == maxServerTerm(v)
}

// oldPrimaryRecovered reports whether the primary that was considered failed, or
// was unknown, is reachable.
func oldPrimaryRecovered(g Group, v View, s State) bool {
	p, o, ok := primary(g, v)
	return ok && (p.ID == s.OldPrimary || s.OldPrimary == "") && o.ConsecutiveFailures == 0 && o.RequestedAt.After(s.AttemptStart)
}

func decidePromoting(g Group, v View, s State, now time.Time) (State, []Action) {
	for _, r := range g.Servers {
		o := v.Servers[r.ID]
		// The term excludes an old primary that has become reachable again.
		if o.reachable(r) && o.RequestedAt.After(s.Since) && o.Status.Role == cluster.RolePrimary && o.Status.Term > s.MaxTermAtStart {
			return s.fire(eventPromoted, now), nil
		}
	}
	requested := !s.NextRetry.IsZero() // a refusal is that of an earlier call before
	if requested && v.PromotionRefused == s.Candidate || now.Sub(s.Since) > promotionTimeout {
		s.AttemptTerm = max(maxTerm(v), s.AttemptTerm) + 1
		s.AttemptStart = now
		return s.fire(eventFailed, now), nil
	}
	if v.PromotionInFlight || now.Before(s.NextRetry) && !v.PromotionNotSent {
		return s, nil
	}
	// Allow the platform time to complete the promotion before repeating the call.
	s.NextRetry = now.Add(promotionTimeout)
	return s, []Action{{Kind: ActionPromote, Server: s.Candidate, Term: s.AttemptTerm}}
}

// grantableTerm returns the current term if only this process can end it. While a
// requested promotion of another server may still take effect or may have taken effect
// unseen, no term is grantable.
func grantableTerm(g Group, v View, s State, now time.Time) (cluster.Term, bool) {
	p, o, ok := primary(g, v)
	if !ok || s.Phase != PhaseWatching || o.ConsecutiveFailures > 0 || o.Status.Term < maxServerTerm(v) || otherPromotionPossible(v, p.ID, now) {
		return 0, false
	}
	for _, r := range g.Servers {
		observed := v.Servers[r.ID]
		if observed.reachable(r) && observed.Status.PausedAt > o.Status.Term || r.ID != p.ID && promotedSince(r, observed, v, now) {
			return 0, false
		}
	}
	return o.Status.Term, true
}
