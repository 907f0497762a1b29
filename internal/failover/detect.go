package failover

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// diagnose tells whether the group needs a new primary and since when.
func diagnose(spec GroupSpec, status GroupStatus, s State, now time.Time) (Cause, time.Time) {
	if len(status.reachable(spec)) == 0 && s.Phase == PhaseHealthy {
		return CauseNone, time.Time{} // this warden is cut off or has just started
	}
	primary, term, ok := status.primary(spec)
	if !ok {
		return CauseNoPrimary, now
	}
	o := status.Servers[primary]
	if !o.FailingSince.IsZero() {
		return CauseUnreachable, o.FailingSince
	}
	if !o.known() || o.Status.Role != cluster.RolePrimary {
		return CauseNoPrimary, now
	}
	if status.maxTerm() > term {
		return CauseUnfinished, now
	}
	if stalled(s, now) {
		return CauseStalled, s.ReplicatedAt
	}
	return CauseNone, time.Time{}
}

// stalled reports whether replication has made no progress for stallAfter.
func stalled(s State, now time.Time) bool {
	if s.ReplicatedAt.IsZero() || now.Sub(s.ReplicatedAt) < stallAfter {
		return false
	}
	return s.StallAt.IsZero() || now.Sub(s.StallAt) >= stallPause
}

// trackReplication follows the progress of replication.
func (s State) trackReplication(spec GroupSpec, status GroupStatus, now time.Time) State {
	primary, _, ok := status.primary(spec)
	if !ok || !status.Servers[primary].reachable() {
		s.ReplicatedAt = time.Time{}
		return s
	}
	stored, ok := status.replicated(spec, primary)
	switch {
	case !ok || !stored.Less(status.Servers[primary].Status.Received):
		s.ReplicatedAt = time.Time{}
	case s.ReplicatedAt.IsZero() || stored != s.Replicated:
		s.ReplicatedAt = now
	}
	s.Replicated = stored
	return s
}

// verdict is what the observers say about the primary.
type verdict struct {
	// counted is the number of observers that reach any server of the group.
	counted int
	// against is the number of those that reach no primary of the current term.
	against int
}

// failed reports whether a majority of the observers that count say so.
func (v verdict) failed() bool { return v.against >= cluster.Majority(v.counted) && v.counted > 0 }

// alone reports whether no other observer counts.
func (v verdict) alone() bool { return v.counted <= 1 }

// judge counts this warden's own observations and the fresh reports of others.
func judge(spec GroupSpec, status GroupStatus, since, now time.Time) verdict {
	var v verdict
	term := status.maxTerm()
	primary, _, _ := status.primary(spec)
	v.add(ownReport(spec, status, now), primary, term)
	for _, r := range status.Reports {
		if r.At.Before(since) || now.Sub(r.At) > evidenceFor {
			continue
		}
		v.add(r, primary, term)
	}
	return v
}

func ownReport(spec GroupSpec, status GroupStatus, now time.Time) ObserverReport {
	report := ObserverReport{Observer: spec.Warden, At: now}
	for _, id := range status.reachable(spec) {
		o := status.Servers[id]
		if now.Sub(o.At) > evidenceFor {
			continue
		}
		report.Probes = append(report.Probes, ProbeResult{
			Server: id, Reachable: true, Role: o.Status.Role, Term: o.Status.Term,
		})
	}
	return report
}

// add counts a report. A primary that lives but has no place for another
// connection counts as reached.
func (v *verdict) add(r ObserverReport, suspect cluster.ServerID, term cluster.Term) {
	reached, primary := 0, false
	for _, p := range r.Probes {
		if !p.Reachable {
			continue
		}
		reached++
		full := p.Role == "" && p.Server == suspect
		primary = primary || full || (p.Role == cluster.RolePrimary && p.Term >= term)
	}
	if reached == 0 {
		return // the observer itself is cut off
	}
	v.counted++
	if !primary {
		v.against++
	}
}

// confirmed reports whether the evidence in the suspected phase is enough to
// replace the primary.
func confirmed(spec GroupSpec, status GroupStatus, s State, now time.Time) bool {
	wait := spec.detectAfter() + spec.patience()
	waited := now.Sub(s.Trouble)
	if s.Cause == CauseStalled {
		return waited >= stallAfter+spec.patience()
	}
	if s.Cause == CauseUnreachable && !failingNow(spec, status, now) {
		return false
	}
	v := judge(spec, status, s.Trouble, now)
	if !v.failed() {
		return false
	}
	if v.alone() {
		wait += spec.detectAfter()
	}
	return waited >= wait
}

// failingNow reports whether the primary failed several fresh connections, the
// last of them recently.
func failingNow(spec GroupSpec, status GroupStatus, now time.Time) bool {
	primary, _, _ := status.primary(spec)
	o := status.Servers[primary]
	return o.Failures >= failuresToSuspect && now.Sub(o.FailedAt) <= evidenceFor
}

// trackTerm notes when a new term was first seen.
func (s State) trackTerm(status GroupStatus, now time.Time) State {
	if term := status.maxTerm(); term > s.MaxTerm {
		s.MaxTerm, s.MaxTermAt = term, now
	}
	return s
}

// otherActs reports whether another warden sealed servers so recently that it
// is probably still at work.
func (s State) otherActs(now time.Time) bool {
	return s.MaxTerm != s.Attempt.Term && now.Sub(s.MaxTermAt) < giveWayFor
}
