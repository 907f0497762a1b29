package failover

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// diagnose returns why the group needs a new primary, or CauseNone, and since when.
func diagnose(spec GroupSpec, status GroupStatus, s State, now time.Time) (Cause, time.Time) {
	if len(status.reachable(spec)) == 0 && s.Phase == PhaseHealthy {
		return CauseNone, time.Time{} // this warden is partitioned or has just started
	}
	primary, term, ok := status.primary(spec)
	if !ok {
		return CauseNoPrimary, now
	}
	o := status.Servers[primary]
	if !o.FailingSince.IsZero() {
		return CauseUnreachable, o.FailingSince
	}
	if !o.hasStatus() || o.Status.Role != cluster.RolePrimary {
		return CauseNoPrimary, now
	}
	if status.maxTerm() > term {
		return CauseUnfinished, now
	}
	if stalled(s, now) {
		return CauseStalled, s.StalledSince
	}
	return CauseNone, time.Time{}
}

// stalled reports whether replication has made no progress for stallTimeout and the
// last failover for this reason was at least minStallFailoverInterval ago.
func stalled(s State, now time.Time) bool {
	if s.StalledSince.IsZero() || now.Sub(s.StalledSince) < stallTimeout {
		return false
	}
	return s.LastStallFailover.IsZero() || now.Sub(s.LastStallFailover) >= minStallFailoverInterval
}

// updateReplication records the position that a majority has stored, and since when
// it has not advanced.
func (s State) updateReplication(spec GroupSpec, status GroupStatus, now time.Time) State {
	primary, _, ok := status.primary(spec)
	if !ok || !status.Servers[primary].reachable() {
		s.StalledSince = time.Time{}
		return s
	}
	stored, ok := status.majorityPosition(spec, primary)
	switch {
	case !ok || !stored.Less(status.Servers[primary].Status.Received):
		s.StalledSince = time.Time{}
	case s.StalledSince.IsZero() || stored != s.MajorityPosition:
		s.StalledSince = now
	}
	s.MajorityPosition = stored
	return s
}

// observerTally counts the observers' reports about the primary.
type observerTally struct {
	// observers is the number of observers that reach any server of the group.
	observers int
	// unreachable is the number of those that do not reach a primary of the current term.
	unreachable int
}

// primaryFailed reports whether a majority of the counted observers do not reach the
// primary.
func (t observerTally) primaryFailed() bool {
	return t.unreachable >= cluster.Majority(t.observers) && t.observers > 0
}

// uncorroborated reports whether at most one observer is counted.
func (t observerTally) uncorroborated() bool { return t.observers <= 1 }

// tallyReports counts this warden's own observations and the recent reports of others.
func tallyReports(spec GroupSpec, status GroupStatus, since, now time.Time) observerTally {
	var tally observerTally
	term := status.maxTerm()
	primary, _, _ := status.primary(spec)
	tally.add(ownReport(spec, status, now), primary, term)
	for _, r := range status.Reports {
		if r.QueriedAt.Before(since) || now.Sub(r.QueriedAt) > maxEvidenceAge {
			continue
		}
		tally.add(r, primary, term)
	}
	return tally
}

func ownReport(spec GroupSpec, status GroupStatus, now time.Time) ObserverReport {
	report := ObserverReport{Observer: spec.Warden, QueriedAt: now}
	for _, id := range status.reachable(spec) {
		o := status.Servers[id]
		if now.Sub(o.RequestedAt) > maxEvidenceAge {
			continue
		}
		report.Probes = append(report.Probes, ProbeResult{
			Server: id, Reachable: true, Role: o.Status.Role, Term: o.Status.Term,
		})
	}
	return report
}

// add counts a report. A primary that refuses connections because its connection limit
// is reached counts as reachable.
func (t *observerTally) add(r ObserverReport, primary cluster.ServerID, term cluster.Term) {
	reachable, primaryReached := 0, false
	for _, p := range r.Probes {
		if !p.Reachable {
			continue
		}
		reachable++
		atConnectionLimit := p.Role == "" && p.Server == primary
		primaryReached = primaryReached || atConnectionLimit || (p.Role == cluster.RolePrimary && p.Term >= term)
	}
	if reachable == 0 {
		return // the observer itself is partitioned
	}
	t.observers++
	if !primaryReached {
		t.unreachable++
	}
}

// failureConfirmed reports whether there is enough evidence to replace the primary.
func failureConfirmed(spec GroupSpec, status GroupStatus, s State, now time.Time) bool {
	required := spec.detectAfter() + spec.standbyDelay()
	failingFor := now.Sub(s.FailureSince)
	if s.Cause == CauseStalled {
		return failingFor >= stallTimeout+spec.standbyDelay()
	}
	if s.Cause == CauseUnreachable && !recentlyFailing(spec, status, now) {
		return false
	}
	tally := tallyReports(spec, status, s.FailureSince, now)
	if !tally.primaryFailed() {
		return false
	}
	if tally.uncorroborated() {
		required += spec.detectAfter()
	}
	return failingFor >= required
}

// recentlyFailing reports whether several consecutive new connections to the primary
// failed, the last of them recently.
func recentlyFailing(spec GroupSpec, status GroupStatus, now time.Time) bool {
	primary, _, _ := status.primary(spec)
	o := status.Servers[primary]
	return o.ConsecutiveFailures >= minFailures && now.Sub(o.LastFailure) <= maxEvidenceAge
}

// updateMaxTerm records when the highest term was first observed.
func (s State) updateMaxTerm(status GroupStatus, now time.Time) State {
	if term := status.maxTerm(); term > s.MaxTerm {
		s.MaxTerm, s.MaxTermSince = term, now
	}
	return s
}

// competingAttemptActive reports whether another warden sealed servers so recently
// that its attempt is probably still in progress.
func (s State) competingAttemptActive(now time.Time) bool {
	return s.MaxTerm != s.Attempt.Term && now.Sub(s.MaxTermSince) < competingAttemptWindow
}
