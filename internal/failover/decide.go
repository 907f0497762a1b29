package failover

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Decide returns the next state of a group and the actions to execute now. It is
// called after every change of the status and at least every 100 ms while the group
// is not healthy.
func Decide(spec GroupSpec, status GroupStatus, s State, now time.Time) (State, []Action) {
	s = s.updateReplication(spec, status, now).updateMaxTerm(status, now)
	for {
		next, actions := decidePhase(spec, status, s, now)
		if len(actions) > 0 || next.Phase == s.Phase {
			return next, actions
		}
		s = next
	}
}

func decidePhase(spec GroupSpec, status GroupStatus, s State, now time.Time) (State, []Action) {
	switch s.Phase {
	case PhaseHealthy:
		return decideHealthy(spec, status, s, now)
	case PhaseSuspected:
		return decideSuspected(spec, status, s, now)
	case PhaseSwitchover:
		return decideSwitchover(spec, status, s, now)
	case PhaseSealing:
		return decideSealing(spec, status, s, now)
	case PhaseElecting:
		return decideElecting(spec, status, s, now)
	case PhasePromoting:
		return decidePromoting(spec, status, s, now)
	case PhaseFollowing:
		return decideFollowing(spec, status, s, now)
	case PhaseWaitingMajority:
		return decideWaiting(spec, status, s, now)
	default:
		return decideBackoff(spec, status, s, now)
	}
}

func decideHealthy(spec GroupSpec, status GroupStatus, s State, now time.Time) (State, []Action) {
	cause, since := diagnose(spec, status, s, now)
	if cause != CauseNone {
		s = s.fire(eventFailing, now)
		s.Cause, s.FailureSince = cause, since
		return s, nil
	}
	primary, _, ok := status.primary(spec)
	if !ok {
		return s, nil
	}
	if spec.Leaving[primary] && switchoverCandidate(spec, status, primary) != "" && now.Sub(s.Since) >= s.switchoverDelay() {
		s = s.fire(eventLeaving, now)
		s.Cause, s.FailureSince = CauseLeaving, now
		return s, nil
	}
	if !spec.Leaving[primary] {
		s.SwitchoverAttempts = 0
	}
	return repair(spec, status, s, primary, now)
}

// switchoverDelay returns how long the group must be healthy before the next switchover
// attempt.
func (s State) switchoverDelay() time.Duration {
	return time.Duration(s.SwitchoverAttempts) * switchoverBackoff
}

// repair orders the servers that do not follow the primary to do so.
func repair(spec GroupSpec, status GroupStatus, s State, primary cluster.ServerID, now time.Time) (State, []Action) {
	actions := followActions(spec, status, primary, now)
	if len(actions) == 0 {
		s.UnrepairedSince = time.Time{}
		return s, nil
	}
	if s.UnrepairedSince.IsZero() {
		s.UnrepairedSince = now
	}
	if now.Before(s.NextRepair) || !mayRepair(spec, status, s, actions) {
		return s, nil
	}
	s.NextRepair = now.Add(repairRetryInterval)
	return s, actions
}

// mayRepair reports whether this warden may order servers to follow the primary. A
// standby warden may do so only if the servers still did not follow the primary after
// the time that is left to the wardens ahead of it.
func mayRepair(spec GroupSpec, status GroupStatus, s State, actions []Action) bool {
	if spec.StandbyIndex == 0 {
		return true
	}
	due := s.UnrepairedSince.Add(spec.standbyDelay())
	for _, action := range actions {
		if f, ok := action.(Follow); ok && status.Servers[f.Server].RequestedAt.Before(due) {
			return false
		}
	}
	return true
}

// followActions returns the actions that make the reachable servers follow the
// primary, and a record for each former primary whose unreplicated writes are discarded.
func followActions(spec GroupSpec, status GroupStatus, primary cluster.ServerID, now time.Time) []Action {
	var actions []Action
	p := status.Servers[primary].Status
	for _, id := range status.reachable(spec) {
		if id == primary || status.following(id, primary) || status.Servers[id].Status.Term > p.Term {
			continue
		}
		if old := status.Servers[id].Status; old.Role == cluster.RolePrimary && mayHaveDivergentRecords(old, p) {
			actions = append(actions, SaveRecord{Record: discardRecord(spec, old, p, now)})
		}
		actions = append(actions, Follow{Server: id, Term: p.Term, Primary: primary})
	}
	return actions
}

// mayHaveDivergentRecords reports whether a former primary may hold log records that are
// not in the log of the current primary.
func mayHaveDivergentRecords(old, primary cluster.ServerStatus) bool {
	return !primary.TermStart.Known() || primary.TermStart.Less(old.Received)
}

func decideSuspected(spec GroupSpec, status GroupStatus, s State, now time.Time) (State, []Action) {
	cause, since := diagnose(spec, status, s, now)
	if cause == CauseNone {
		return s.fire(eventRecovered, now), nil
	}
	if cause != s.Cause {
		s.Cause = cause
		if cause == CauseUnreachable && s.Attempt.Term == 0 {
			s.FailureSince = since
		}
	}
	if failureConfirmed(spec, status, s, now) && !s.competingAttemptActive(now) {
		if len(status.reachable(spec)) < spec.majority() {
			return s.fire(eventNoMajority, now), nil
		}
		return s.beginAttempt(spec, status, now, false).fire(eventConfirmed, now), nil
	}
	if now.Before(s.NextQuery) {
		return s, nil
	}
	s.NextQuery = now.Add(observerQueryInterval)
	return s, []Action{QueryObservers{}}
}

func decideWaiting(spec GroupSpec, status GroupStatus, s State, now time.Time) (State, []Action) {
	cause, _ := diagnose(spec, status, s, now)
	if cause == CauseNone {
		return s.fire(eventRecovered, now), nil
	}
	reachable := len(status.reachable(spec))
	if reachable >= spec.majority() {
		return s.fire(eventMajority, now), nil
	}
	if minorityPromotionAllowed(spec, s, reachable, now) && failureConfirmed(spec, status, s, now) {
		return s.beginAttempt(spec, status, now, true).fire(eventConfirmed, now), nil
	}
	if now.Before(s.NextQuery) {
		return s, nil
	}
	s.NextQuery = now.Add(observerQueryInterval)
	return s, []Action{QueryObservers{}}
}

func minorityPromotionAllowed(spec GroupSpec, s State, reachable int, now time.Time) bool {
	allowed := spec.Policy.NoMajority == noMajorityPromote
	return allowed && reachable > 0 && now.Sub(s.Since) >= minorityPromotionDelay+spec.standbyDelay()
}

func decideBackoff(spec GroupSpec, status GroupStatus, s State, now time.Time) (State, []Action) {
	cause, _ := diagnose(spec, status, s, now)
	if cause == CauseNone {
		return s.fire(eventRecovered, now), nil
	}
	if now.Before(s.RetryAt) {
		return s, nil
	}
	return s.fire(eventRetry, now), nil
}

// abandonAttempt ends an attempt that was superseded or did not progress, and backs
// off for a random time, so that one of several competing wardens completes first.
func (s State) abandonAttempt(now time.Time) State {
	s = s.fire(eventSuperseded, now)
	s.RetryAt = now.Add(minBackoff + s.randomUpTo(maxBackoffJitter))
	return s
}
