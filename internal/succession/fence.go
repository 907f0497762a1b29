package succession

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// fence returns the actions that prevent further acknowledged writes. A failed primary may
// not hear that it should step down, so its replicas are paused first. In a planned
// switchover the primary steps down first, while its replicas go on receiving: they are
// paused once one of them has its whole log.
func fence(g Group, v View, s State, now time.Time) []Action {
	pauses, stepDowns := pauseActions(g, v, s), stepDownActions(g, v, s)
	switch {
	case !s.Cause.planned() && len(pauses) > 0:
		return pauses
	case len(stepDowns) > 0:
		return stepDowns
	case s.OldLogEnd.Known() && s.awaitsReplicas(now) && !replicaHasOldLog(g, v, s):
		return nil
	}
	return pauses
}

func pauseActions(g Group, v View, s State) []Action {
	var actions []Action
	for _, r := range g.Servers {
		if o := v.Servers[r.ID]; o.reachable(r) && o.Status.Role != cluster.RolePrimary && !pausedForAttempt(r, o, s) {
			actions = append(actions, Action{Kind: ActionPause, Server: r.ID, Term: s.AttemptTerm})
		}
	}
	return actions
}

func stepDownActions(g Group, v View, s State) []Action {
	var actions []Action
	for _, r := range g.Servers {
		if o := v.Servers[r.ID]; o.reachable(r) && o.Status.Role == cluster.RolePrimary {
			actions = append(actions, Action{Kind: ActionStepDown, Server: r.ID, Term: s.AttemptTerm})
		}
	}
	return actions
}

// pausedForAttempt reports whether a replica has been paused for the attempt and
// has not been restarted since, which would have ended the pause.
func pausedForAttempt(r Server, o Observation, s State) bool {
	return o.reachable(r) && o.RequestedAt.After(s.AttemptStart) && o.Status.PausedAt >= s.AttemptTerm
}

// oldPrimarySteppedDown reports whether the old primary no longer accepts writes.
func oldPrimarySteppedDown(g Group, v View, s State) bool {
	for _, r := range g.Servers {
		if r.ID == s.OldPrimary {
			o := v.Servers[r.ID]
			return o.reachable(r) && o.RequestedAt.After(s.AttemptStart) && o.Status.Role == cluster.RoleReplica
		}
	}
	return false
}
