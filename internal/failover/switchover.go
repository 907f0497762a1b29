package failover

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// switchoverCandidate returns the replica that should take over from a leaving primary:
// the most advanced one that follows it and is not leaving. It is empty if there is
// none.
func switchoverCandidate(spec GroupSpec, status GroupStatus, primary cluster.ServerID) cluster.ServerID {
	var best cluster.ServerStatus
	for _, id := range status.reachable(spec) {
		if id == primary || spec.Leaving[id] || !status.following(id, primary) {
			continue
		}
		candidate := status.Servers[id].Status
		if best.Server == "" || compareCandidates(spec, candidate, best) < 0 {
			best = candidate
		}
	}
	return best.Server
}

// decideSwitchover waits for the candidate to catch up and then starts an attempt.
func decideSwitchover(spec GroupSpec, status GroupStatus, s State, now time.Time) (State, []Action) {
	cause, since := diagnose(spec, status, s, now)
	if cause != CauseNone {
		s = s.fire(eventFailing, now)
		s.Cause, s.FailureSince = cause, since
		return s, nil
	}
	primary, _, _ := status.primary(spec)
	candidate := switchoverCandidate(spec, status, primary)
	if !spec.Leaving[primary] || candidate == "" {
		return s.fire(eventRecovered, now), nil
	}
	if now.Sub(s.Since) < spec.standbyDelay() {
		return s, nil
	}
	if !caughtUp(status, primary, candidate) && now.Sub(s.Since) < spec.standbyDelay()+catchUpTimeout {
		return s, nil
	}
	return s.beginAttempt(spec, status, now, false).fire(eventCaughtUp, now), nil
}

func caughtUp(status GroupStatus, primary, candidate cluster.ServerID) bool {
	p := status.Servers[primary].Status.Received
	r := status.Servers[candidate].Status.Received
	return r.Term == p.Term && r.Offset+maxCatchUpLagRecords >= p.Offset
}
