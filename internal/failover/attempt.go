package failover

import (
	"fmt"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
)

const noMajorityPromote = environment.NoMajorityPromote

// decideSealing confirms the failure once more, writes the intent and then requests
// seals until enough servers hold the seal of the attempt.
func decideSealing(spec GroupSpec, status GroupStatus, s State, now time.Time) (State, []Action) {
	a := s.Attempt
	sealed := status.sealedBy(spec, a)
	switch {
	case superseded(status, a):
		return s.abandonAttempt(now), nil
	case len(sealed) >= requiredSeals(spec, a):
		return s.fire(eventMajority, now), nil
	case now.Sub(a.StartedAt) > stepTimeout && !a.WithoutMajority:
		return s.abandonAttempt(now), nil
	case now.Sub(a.StartedAt) > stepTimeout:
		return s.fire(eventNoMajority, now), nil
	case now.Before(a.NextRetry):
		return s, nil
	}
	s.Attempt.NextRetry = now.Add(stepRetryInterval)
	if a.SealRequested {
		return s, []Action{sealRemaining(spec, status, a, now.Add(confirmationValidity))}
	}
	return confirmThenSeal(spec, status, s, now)
}

// requiredSeals returns the number of seals required before a server may be promoted.
// Without a majority it is one: the Executor waits for all seal calls to end, so every
// server that responds is sealed by then.
func requiredSeals(spec GroupSpec, a Attempt) int {
	if a.WithoutMajority {
		return 1
	}
	return spec.majority()
}

// superseded reports whether a server has accepted a term above the attempt's.
func superseded(status GroupStatus, a Attempt) bool { return status.maxTerm() > a.Term }

func confirmThenSeal(spec GroupSpec, status GroupStatus, s State, now time.Time) (State, []Action) {
	a := s.Attempt
	at, ok := confirmedAt(spec, status, a)
	if !ok || now.Sub(at) > confirmationValidity || status.Intent.Holder != a.Holder {
		return s, []Action{Confirm{Attempt: a}}
	}
	if failureRefuted(spec, status, a) {
		return s.fire(eventRecovered, now), nil
	}
	if !intentAllows(status.Intent, a) {
		return s.abandonAttempt(now), nil
	}
	s.Attempt.SealRequested = true
	return s, []Action{sealRemaining(spec, status, s.Attempt, at.Add(confirmationValidity))}
}

// intentAllows reports whether the response of the table service allows the attempt
// to continue. While the service is unreachable, a majority of seals is sufficient;
// a promotion without a majority requires the intent to be granted.
func intentAllows(i IntentResult, a Attempt) bool {
	switch i.Outcome {
	case IntentGranted:
		return true
	case IntentUnreachable:
		return !a.WithoutMajority
	default:
		return false
	}
}

// confirmedAt returns the time of the oldest of the probes that the attempt
// requested, whether they succeeded or failed. The second result is false if some
// server has not been probed since the attempt began.
func confirmedAt(spec GroupSpec, status GroupStatus, a Attempt) (time.Time, bool) {
	var oldest time.Time
	for _, server := range spec.Servers {
		o := status.Servers[server.ID]
		at := o.RequestedAt
		if o.LastFailure.After(at) {
			at = o.LastFailure
		}
		if at.Before(a.StartedAt) {
			return time.Time{}, false
		}
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest, true
}

// failureRefuted reports whether the probes contradict the cause of the attempt: a
// leaving or stalled primary is no longer the primary or, for any other cause, a primary
// of the highest term is reachable.
func failureRefuted(spec GroupSpec, status GroupStatus, a Attempt) bool {
	primary, term, ok := status.primary(spec)
	if a.Cause == CauseLeaving || a.Cause == CauseStalled {
		return primary != a.OldPrimary
	}
	return ok && status.Servers[primary].reachable() &&
		status.Servers[primary].Status.Role == cluster.RolePrimary && term >= status.maxTerm()
}

func sealRemaining(spec GroupSpec, status GroupStatus, a Attempt, deadline time.Time) Seal {
	seal := Seal{Attempt: a, Deadline: deadline}
	for _, server := range spec.Servers {
		o := status.Servers[server.ID].Status
		if o.Term != a.Term || o.SealHolder != a.Holder {
			seal.Servers = append(seal.Servers, server.ID)
		}
	}
	return seal
}

func decideElecting(spec GroupSpec, status GroupStatus, s State, now time.Time) (State, []Action) {
	sealed := status.sealedBy(spec, s.Attempt)
	if superseded(status, s.Attempt) || len(sealed) == 0 {
		return s.abandonAttempt(now), nil
	}
	var avoid cluster.ServerID
	switch {
	case s.Cause == CauseStalled:
		avoid = s.Attempt.OldPrimary
		s.LastStallFailover = now
	case s.Cause == CauseLeaving && s.SwitchoverAttempts >= maxSwitchoverRetries:
		avoid = s.Attempt.OldPrimary
	}
	candidate := elect(spec, sealed, avoid)
	s.Attempt.Candidate, s.Attempt.Position, s.Attempt.SealedCount = candidate.Server, candidate.Received, len(sealed)
	s.Attempt.DiscardedUpTo = cluster.Position{}
	for _, other := range sealed {
		if candidate.Received.Less(other.Received) {
			s.Attempt.DiscardedUpTo = cluster.MaxPosition(s.Attempt.DiscardedUpTo, other.Received)
		}
	}
	s.Attempt.NextRetry = time.Time{}
	if s.Cause == CauseLeaving {
		s.SwitchoverAttempts++
	}
	return s.fire(eventElected, now), nil
}

func decidePromoting(_ GroupSpec, status GroupStatus, s State, now time.Time) (State, []Action) {
	a := s.Attempt
	candidate := status.Servers[a.Candidate].Status
	switch {
	case superseded(status, a):
		return s.abandonAttempt(now), nil
	case candidate.Term == a.Term && candidate.Role == cluster.RolePrimary:
		s.Attempt.NextRetry = time.Time{}
		s.NextRepair = time.Time{}
		return s.fire(eventPromoted, now), nil
	case now.Sub(s.Since) > stepTimeout:
		return s.fire(eventFailed, now), nil
	case now.Before(a.NextRetry):
		return s, nil
	}
	s.Attempt.NextRetry = now.Add(stepRetryInterval)
	return s, []Action{Promote{Attempt: a}}
}

// decideFollowing makes servers follow the new primary until a majority does. The
// others are left to the repair in the healthy phase.
func decideFollowing(spec GroupSpec, status GroupStatus, s State, now time.Time) (State, []Action) {
	a := s.Attempt
	if superseded(status, a) {
		return s.abandonAttempt(now), nil
	}
	actions := followActions(spec, status, a.Candidate, now)
	if converged(spec, status, a) || a.WithoutMajority {
		save := SaveRecord{Record: completionRecord(spec, s, now)}
		return s.fire(eventConverged, now), append(actions, save)
	}
	if now.Sub(s.Since) > stepTimeout {
		save := SaveRecord{Record: completionRecord(spec, s, now)}
		return s.fire(eventFailed, now), []Action{save}
	}
	if now.Before(s.NextRepair) {
		return s, nil
	}
	s.NextRepair = now.Add(stepRetryInterval)
	return s, actions
}

// converged reports whether the candidate and its replicas are a majority.
func converged(spec GroupSpec, status GroupStatus, a Attempt) bool {
	count := 1
	for _, id := range status.reachable(spec) {
		o := status.Servers[id].Status
		if id != a.Candidate && o.Term == a.Term && o.Role == cluster.RoleReplica && o.Leader == a.Candidate {
			count++
		}
	}
	return count >= spec.majority()
}

// completionRecord returns the record of a completed attempt.
func completionRecord(spec GroupSpec, s State, now time.Time) Record {
	a := s.Attempt
	r := Record{
		Group: spec.Name, Term: a.Term, Holder: a.Holder, Cause: a.Cause,
		OldPrimary: a.OldPrimary, NewPrimary: a.Candidate,
		FailureSince: s.FailureSince, CompletedAt: now, Position: a.Position,
	}
	switch {
	case a.WithoutMajority:
		r.MayBeLost = fmt.Sprintf("promoted with %d of %d servers: writes after %s may be lost, acknowledged ones included",
			a.SealedCount, len(spec.Servers), a.Position)
	case a.DiscardedUpTo.Known():
		r.setDiscarded(spec, fmt.Sprintf("writes from %s to %s that no majority had stored are discarded", a.Position, a.DiscardedUpTo))
	}
	return r
}

// setDiscarded describes discarded log records that no majority had stored. They may
// have been acknowledged only if a rank is acknowledged by the primary alone.
func (r *Record) setDiscarded(spec GroupSpec, what string) {
	if spec.AckPrimary {
		r.MayBeLost = what
		return
	}
	r.Discarded = what
}

// discardRecord returns the record of a former primary that becomes reachable again
// and must discard the log records that the current primary lacks.
func discardRecord(spec GroupSpec, old, primary cluster.ServerStatus, now time.Time) Record {
	r := Record{
		Group: spec.Name, Term: primary.Term, Cause: CauseUnreachable,
		OldPrimary: old.Server, NewPrimary: primary.Server, FailureSince: now, CompletedAt: now,
		Position: old.Received,
	}
	r.setDiscarded(spec, fmt.Sprintf("%s returned as primary of term %d at %s: records of its term that %s lacks, which no majority had stored, are discarded",
		old.Server, old.Term, old.Received, primary.Server))
	return r
}
