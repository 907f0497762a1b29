package failover

import (
	"fmt"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
)

const noMajorityPromote = environment.NoMajorityPromote

// decideSealing confirms the evidence once more, writes the intent and then
// seals until a majority holds the seal of the attempt.
func decideSealing(spec GroupSpec, status GroupStatus, s State, now time.Time) (State, []Action) {
	a := s.Attempt
	sealed := status.sealedBy(spec, a)
	switch {
	case overtaken(status, a):
		return s.lose(now), nil
	case len(sealed) >= neededSeals(spec, a):
		return s.fire(eventMajority, now), nil
	case now.Sub(a.Began) > stepWindow && !a.WithoutMajority:
		return s.lose(now), nil
	case now.Sub(a.Began) > stepWindow:
		return s.fire(eventNoMajority, now), nil
	case now.Before(a.NextStep):
		return s, nil
	}
	s.Attempt.NextStep = now.Add(stepInterval)
	if a.Sealed {
		return s, []Action{sealRest(spec, status, a, now.Add(confirmFor))}
	}
	return confirmThenSeal(spec, status, s, now)
}

// neededSeals is the number of seals before a server may be promoted. Without
// a majority it is all that answer, and at least one.
func neededSeals(spec GroupSpec, a Attempt) int {
	if a.WithoutMajority {
		return 1
	}
	return spec.majority()
}

// overtaken reports whether a server has accepted a higher term than the attempt's.
func overtaken(status GroupStatus, a Attempt) bool { return status.maxTerm() > a.Term }

func confirmThenSeal(spec GroupSpec, status GroupStatus, s State, now time.Time) (State, []Action) {
	a := s.Attempt
	at, ok := confirmation(spec, status, a)
	if !ok || now.Sub(at) > confirmFor || status.Intent.Holder != a.Holder {
		return s, []Action{Confirm{Attempt: a}}
	}
	if refuted(spec, status, a) {
		return s.fire(eventRecovered, now), nil
	}
	if !intentAllows(status.Intent, a) {
		return s.lose(now), nil
	}
	s.Attempt.Sealed = true
	return s, []Action{sealRest(spec, status, s.Attempt, at.Add(confirmFor))}
}

// intentAllows reports whether the table service lets the attempt go on. A
// majority of seals decides while the service is unreachable; a promotion
// without a majority needs the service's consent.
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

// confirmation returns the time before the oldest of the fresh answers and
// failures that the attempt asked for. The second result is false when some
// server was not yet tried since the attempt began.
func confirmation(spec GroupSpec, status GroupStatus, a Attempt) (time.Time, bool) {
	var oldest time.Time
	for _, server := range spec.Servers {
		o := status.Servers[server.ID]
		at := o.At
		if o.FailedAt.After(at) {
			at = o.FailedAt
		}
		if at.Before(a.Began) {
			return time.Time{}, false
		}
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest, true
}

// refuted reports whether the fresh answers take away the reason of the attempt.
func refuted(spec GroupSpec, status GroupStatus, a Attempt) bool {
	primary, term, ok := status.primary(spec)
	if a.Cause == CauseLeaving || a.Cause == CauseStalled {
		return primary != a.Replaced
	}
	return ok && status.Servers[primary].reachable() &&
		status.Servers[primary].Status.Role == cluster.RolePrimary && term >= status.maxTerm()
}

func sealRest(spec GroupSpec, status GroupStatus, a Attempt, notAfter time.Time) Seal {
	seal := Seal{Attempt: a, NotAfter: notAfter}
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
	if overtaken(status, s.Attempt) || len(sealed) == 0 {
		return s.lose(now), nil
	}
	var avoid cluster.ServerID
	switch {
	case s.Cause == CauseStalled:
		avoid = s.Attempt.Replaced
		s.StallAt = now
	case s.Cause == CauseLeaving && s.Switchovers >= handOverTries:
		avoid = s.Attempt.Replaced
	}
	chosen := elect(spec, sealed, avoid)
	s.Attempt.Chosen, s.Attempt.Position, s.Attempt.Voters = chosen.Server, chosen.Received, len(sealed)
	s.Attempt.Behind = cluster.Position{}
	for _, other := range sealed {
		if chosen.Received.Less(other.Received) {
			s.Attempt.Behind = cluster.MaxPosition(s.Attempt.Behind, other.Received)
		}
	}
	s.Attempt.NextStep = time.Time{}
	if s.Cause == CauseLeaving {
		s.Switchovers++
	}
	return s.fire(eventElected, now), nil
}

func decidePromoting(_ GroupSpec, status GroupStatus, s State, now time.Time) (State, []Action) {
	a := s.Attempt
	chosen := status.Servers[a.Chosen].Status
	switch {
	case overtaken(status, a):
		return s.lose(now), nil
	case chosen.Term == a.Term && chosen.Role == cluster.RolePrimary:
		s.Attempt.NextStep = time.Time{}
		s.RepairAt = time.Time{}
		return s.fire(eventPromoted, now), nil
	case now.Sub(s.Since) > stepWindow:
		return s.fire(eventFailed, now), nil
	case now.Before(a.NextStep):
		return s, nil
	}
	s.Attempt.NextStep = now.Add(stepInterval)
	return s, []Action{Promote{Attempt: a}}
}

// decideFollowing makes the others follow until a majority does; the rest is
// left to the repair of the healthy phase.
func decideFollowing(spec GroupSpec, status GroupStatus, s State, now time.Time) (State, []Action) {
	a := s.Attempt
	if overtaken(status, a) {
		return s.lose(now), nil
	}
	followers := followers(spec, status, a.Chosen, now)
	if converged(spec, status, a) || a.WithoutMajority {
		report := Report{Record: completed(spec, s, now)}
		return s.fire(eventConverged, now), append(followers, report)
	}
	if now.Sub(s.Since) > stepWindow {
		report := Report{Record: completed(spec, s, now)}
		return s.fire(eventFailed, now), []Action{report}
	}
	if now.Before(s.RepairAt) {
		return s, nil
	}
	s.RepairAt = now.Add(stepInterval)
	return s, followers
}

// converged reports whether the chosen server and its replicas are a majority.
func converged(spec GroupSpec, status GroupStatus, a Attempt) bool {
	count := 1
	for _, id := range status.reachable(spec) {
		o := status.Servers[id].Status
		if id != a.Chosen && o.Term == a.Term && o.Role == cluster.RoleReplica && o.Leader == a.Chosen {
			count++
		}
	}
	return count >= spec.majority()
}

// completed returns the record of a finished attempt.
func completed(spec GroupSpec, s State, now time.Time) Record {
	a := s.Attempt
	r := Record{
		Group: spec.Name, Term: a.Term, Holder: a.Holder, Cause: a.Cause,
		OldPrimary: a.Replaced, NewPrimary: a.Chosen,
		TroubleAt: s.Trouble, CompletedAt: now, Position: a.Position,
	}
	switch {
	case a.WithoutMajority:
		r.MayBeLost = fmt.Sprintf("promoted with %d of %d servers: writes after %s may be lost, acknowledged ones included",
			a.Voters, len(spec.Servers), a.Position)
	case a.Behind.Known():
		r.discard(spec, fmt.Sprintf("writes from %s to %s that no majority had stored are discarded", a.Position, a.Behind))
	}
	return r
}

// discard notes log records that no majority had stored. They may have been
// acknowledged only where a rank is acknowledged by the primary alone.
func (r *Record) discard(spec GroupSpec, what string) {
	if spec.AckPrimary {
		r.MayBeLost = what
		return
	}
	r.Discarded = what
}

// discardedTail returns the record of an earlier primary that comes back and
// discards the log records that the current primary lacks.
func discardedTail(spec GroupSpec, old, primary cluster.ServerStatus, now time.Time) Record {
	r := Record{
		Group: spec.Name, Term: primary.Term, Cause: CauseUnreachable,
		OldPrimary: old.Server, NewPrimary: primary.Server, TroubleAt: now, CompletedAt: now,
		Position: old.Received,
	}
	r.discard(spec, fmt.Sprintf("%s returned as primary of term %d at %s: records of its term that %s lacks, which no majority had stored, are discarded",
		old.Server, old.Term, old.Received, primary.Server))
	return r
}
