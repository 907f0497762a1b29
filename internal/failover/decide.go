package failover

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Decide returns the next state of a group and the actions to run now. It is
// called after every change of the status and at least every 100 ms while a
// group is not healthy.
func Decide(spec GroupSpec, status GroupStatus, s State, now time.Time) (State, []Action) {
	s = s.trackReplication(spec, status, now).trackTerm(status, now)
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
		s = s.fire(eventTrouble, now)
		s.Cause, s.Trouble = cause, since
		return s, nil
	}
	primary, _, ok := status.primary(spec)
	if !ok {
		return s, nil
	}
	if spec.Leaving[primary] && heir(spec, status, primary) != "" && now.Sub(s.Since) >= s.handOverPause() {
		s = s.fire(eventLeaving, now)
		s.Cause, s.Trouble = CauseLeaving, now
		return s, nil
	}
	if !spec.Leaving[primary] {
		s.Switchovers = 0
	}
	return repair(spec, status, s, primary, now)
}

// handOverPause is the time to stay healthy before the next hand-over.
func (s State) handOverPause() time.Duration { return time.Duration(s.Switchovers) * handOverPause }

// repair makes servers that do not follow the primary do so.
func repair(spec GroupSpec, status GroupStatus, s State, primary cluster.ServerID, now time.Time) (State, []Action) {
	actions := followers(spec, status, primary, now)
	if len(actions) == 0 {
		s.UnrepairedSince = time.Time{}
		return s, nil
	}
	if s.UnrepairedSince.IsZero() {
		s.UnrepairedSince = now
	}
	if now.Before(s.RepairAt) || !standbyMayRepair(spec, status, s, actions) {
		return s, nil
	}
	s.RepairAt = now.Add(repairInterval)
	return s, actions
}

// standbyMayRepair reports whether the wardens before this one have had time
// to repair and servers were seen unrepaired after that.
func standbyMayRepair(spec GroupSpec, status GroupStatus, s State, actions []Action) bool {
	if spec.Order == 0 {
		return true
	}
	due := s.UnrepairedSince.Add(spec.patience())
	for _, action := range actions {
		if f, ok := action.(Follow); ok && status.Servers[f.Server].At.Before(due) {
			return false
		}
	}
	return true
}

// followers returns the actions that make the reachable servers follow the
// primary, and a report for each earlier primary whose tail is discarded.
func followers(spec GroupSpec, status GroupStatus, primary cluster.ServerID, now time.Time) []Action {
	var actions []Action
	p := status.Servers[primary].Status
	for _, id := range status.reachable(spec) {
		if id == primary || status.following(id, primary) || status.Servers[id].Status.Term > p.Term {
			continue
		}
		if old := status.Servers[id].Status; old.Role == cluster.RolePrimary && hasTail(old, p) {
			actions = append(actions, Report{Record: discardedTail(spec, old, p, now)})
		}
		actions = append(actions, Follow{Server: id, Term: p.Term, Leader: primary})
	}
	return actions
}

// hasTail reports whether an earlier primary may hold records that the log of
// the primary does not continue.
func hasTail(old, primary cluster.ServerStatus) bool {
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
			s.Trouble = since
		}
	}
	if confirmed(spec, status, s, now) && !s.otherActs(now) {
		if len(status.reachable(spec)) < spec.majority() {
			return s.fire(eventNoMajority, now), nil
		}
		return s.begin(spec, status, now, false).fire(eventConfirmed, now), nil
	}
	if now.Before(s.AskAt) {
		return s, nil
	}
	s.AskAt = now.Add(askInterval)
	return s, []Action{AskObservers{}}
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
	if mayPromoteMinority(spec, s, reachable, now) && confirmed(spec, status, s, now) {
		return s.begin(spec, status, now, true).fire(eventConfirmed, now), nil
	}
	if now.Before(s.AskAt) {
		return s, nil
	}
	s.AskAt = now.Add(askInterval)
	return s, []Action{AskObservers{}}
}

func mayPromoteMinority(spec GroupSpec, s State, reachable int, now time.Time) bool {
	allowed := spec.Policy.NoMajority == noMajorityPromote
	return allowed && reachable > 0 && now.Sub(s.Since) >= withoutMajorityAfter+spec.patience()
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

// lose ends an attempt and waits for a random time, so that one of several
// wardens finishes first.
func (s State) lose(now time.Time) State {
	s = s.fire(eventLost, now)
	s.RetryAt = now.Add(backoffLeast + s.randomUpTo(backoffSpread))
	return s
}
