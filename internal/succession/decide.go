package succession

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

const (
	// detectAfter is how long a primary must fail before it is replaced. It
	// outlasts a reset connection and a few lost packets, and leaves most of the
	// recovery bound of 12 s to the promotion itself.
	detectAfter = 800 * time.Millisecond
	// refusedAfter is how long it takes instead where the VM itself says that the
	// server does not run, which no lost packet and no reset connection does.
	refusedAfter = 250 * time.Millisecond
	// failuresToSuspect is the number of failed fresh connections in a row.
	failuresToSuspect = 2
	// aloneAfter is how long a primary must fail where no other process could be asked.
	aloneAfter = 2 * time.Second
	// evidenceFor is the age beyond which testimony does not count.
	evidenceFor = 2 * time.Second
	// askInterval is the time between two questions to other processes.
	askInterval = 500 * time.Millisecond
	// stallAfter is how long a primary may be ahead of all its replicas: several
	// times what a replica takes to receive a write.
	stallAfter = 2500 * time.Millisecond
	// stepInterval is the time between two tries of one step.
	stepInterval = 150 * time.Millisecond
	// repairInterval is the time between two tries to make servers follow.
	repairInterval = 500 * time.Millisecond
	// promotionTime is how long the platform may take to promote before the
	// attempt begins anew; it usually takes one second.
	promotionTime = 3 * time.Second
	// postponeFor is the pause before another try to hand over from a leaving primary.
	postponeFor = 500 * time.Millisecond
	// handOverLease is the least time that the lease must hold before a primary
	// that works is made to step down: a hand-over takes half a second until the
	// platform is asked.
	handOverLease = time.Second
	// handOverTime bounds an attempt to hand over from a primary that still works.
	handOverTime = 1500 * time.Millisecond
)

// Decide returns the next state of a group and the actions to take now.
func Decide(g Group, v View, s State, now time.Time) (State, []Action) {
	s = s.trackStall(g, v, now)
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
	var at Observation
	ok := false
	for _, s := range g.Servers {
		o := v.Servers[s.ID]
		if o.known(s) && o.Status.Role == cluster.RolePrimary && (!ok || o.Status.Term > at.Status.Term) {
			found, at, ok = s, o, true
		}
	}
	return found, at, ok
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
	case !ok && !anyAnswers(g, v):
		return CauseNone, time.Time{} // this process is cut off or has just started
	case !ok:
		return CauseNoPrimary, now
	case o.Failures > 0:
		return CauseUnreachable, o.FailingSince
	case p.Leaving && hasSuccessor(g, v, p.ID) && !now.Before(s.PostponedUntil) && v.LeaseLeft >= handOverLease:
		return CauseLeaving, now
	case !s.StalledSince.IsZero() && now.Sub(s.StalledSince) >= stallAfter:
		return CauseStalled, s.StalledSince
	}
	return CauseNone, time.Time{}
}

func anyAnswers(g Group, v View) bool {
	for _, s := range g.Servers {
		if v.Servers[s.ID].answers(s) {
			return true
		}
	}
	return false
}

// hasSuccessor reports whether a server that stays could take over.
func hasSuccessor(g Group, v View, old cluster.ServerID) bool {
	for _, s := range g.Servers {
		if s.ID != old && !s.Leaving && v.Servers[s.ID].answers(s) {
			return true
		}
	}
	return false
}

// trackStall notes since when the primary has been ahead of all its replicas
// without any progress there.
func (s State) trackStall(g Group, v View, now time.Time) State {
	p, o, ok := primary(g, v)
	if !ok || o.Failures > 0 {
		s.StalledSince = time.Time{}
		return s
	}
	var best cluster.Position
	replicas := 0
	for _, r := range g.Servers {
		if at := v.Servers[r.ID]; r.ID != p.ID && at.answers(r) && at.Status.PausedAt == 0 {
			best = cluster.MaxPosition(best, at.Status.Received)
			replicas++
		}
	}
	switch {
	case replicas == 0 || !best.Less(o.Status.Received):
		s.StalledSince = time.Time{}
	case s.StalledSince.IsZero() || best != s.StalledAt:
		s.StalledSince, s.StalledAt = now, best
	}
	return s
}

func decideWatching(g Group, v View, s State, now time.Time) (State, []Action) {
	cause, since := diagnose(g, v, s, now)
	switch cause {
	case CauseNone:
		return repair(g, v, s, now)
	case CauseLeaving:
		s = s.begin(g, v, cause, now)
		return s.fire(eventLeaving, now), nil
	default:
		s.Cause, s.Trouble = cause, since
		return s.fire(eventTrouble, now), nil
	}
}

// repair makes replicas receive again and earlier primaries step down.
func repair(g Group, v View, s State, now time.Time) (State, []Action) {
	p, o, ok := primary(g, v)
	if !ok || now.Before(s.NextStep) {
		return s, nil
	}
	var actions []Action
	for _, r := range g.Servers {
		at := v.Servers[r.ID]
		switch {
		case r.ID == p.ID || !at.answers(r):
		case at.Status.Role == cluster.RolePrimary:
			actions = append(actions, Action{Kind: ActStepDown, Server: r.ID, Term: o.Status.Term})
		case at.Status.PausedAt > 0 && mayResume(v, p.ID, o.Status.Term, at.Status.PausedAt, now):
			actions = append(actions, Action{Kind: ActResume, Server: r.ID})
		}
	}
	if len(actions) > 0 {
		s.NextStep = now.Add(repairInterval)
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
	for asked, until := range v.Pending {
		if asked != primary && now.Before(until) {
			return false
		}
	}
	return !v.Unsettled
}

func decideSuspecting(g Group, v View, s State, now time.Time) (State, []Action) {
	cause, since := diagnose(g, v, s, now)
	if cause == CauseNone {
		return s.fire(eventRecovered, now), nil
	}
	if cause != s.Cause {
		s.Cause = cause
		if cause == CauseUnreachable && since.Before(s.Trouble) {
			s.Trouble = since
		}
	}
	if confirmed(g, v, s, now) {
		s = s.begin(g, v, cause, now)
		return s.fire(eventConfirmed, now), nil
	}
	if now.Before(s.NextStep) {
		return s, nil
	}
	s.NextStep = now.Add(askInterval)
	return s, []Action{{Kind: ActAsk}}
}

// confirmed reports whether the evidence is enough to replace the primary.
func confirmed(g Group, v View, s State, now time.Time) bool {
	waited := now.Sub(s.Trouble)
	if !hasSuccessor(g, v, "") {
		return false
	}
	if s.Cause != CauseUnreachable {
		return waited >= detectAfter
	}
	_, o, ok := primary(g, v)
	needed := detectAfter
	if o.Refused >= failuresToSuspect {
		needed = refusedAfter
	}
	if !ok || o.Failures < failuresToSuspect || waited < needed {
		return false
	}
	t := v.Testimony
	if t.At.Before(s.Trouble) || now.Sub(t.At) > evidenceFor || t.Reach+t.Miss == 0 {
		return waited >= aloneAfter
	}
	return t.Miss >= t.Reach
}

// begin starts an attempt at a term above every known one.
func (s State) begin(g Group, v View, cause Cause, now time.Time) State {
	s.Cause, s.Began = cause, now
	s.Term = max(maxTerm(v), s.Term) + 1
	s.Chosen, s.Old, s.OldAt = "", "", 0
	s.KnownTerm = 0
	for _, o := range v.Servers {
		s.KnownTerm = max(s.KnownTerm, o.Status.Term)
	}
	if p, o, ok := primary(g, v); ok {
		s.Old, s.OldAt = p.ID, o.Status.Term
	}
	return s
}

func decidePausing(g Group, v View, s State, now time.Time) (State, []Action) {
	if replaced(g, v, s) {
		return s.fire(eventRecovered, now), nil
	}
	if (s.Cause == CauseUnreachable || s.Cause == CauseNoPrimary) && primaryIsBack(g, v, s) {
		return s.fire(eventRecovered, now), nil
	}
	if chosen, ok := elect(g, v, s); ok {
		s.Chosen = chosen
		return s.fire(eventElected, now), nil
	}
	if s.Cause == CauseLeaving && now.Sub(s.Began) > handOverTime && !steppedDown(g, v, s) {
		s.PostponedUntil = now.Add(postponeFor)
		return s.fire(eventPostponed, now), nil
	}
	if now.Before(s.NextStep) {
		return s, nil
	}
	s.NextStep = now.Add(stepInterval)
	return s, pauseRest(g, v, s)
}

// replaced reports whether a primary of a later term exists already.
func replaced(g Group, v View, s State) bool {
	_, o, ok := primary(g, v)
	return ok && o.Failures == 0 && o.Status.Term > s.KnownTerm && o.At.After(s.Began)
}

// primaryIsBack reports whether the primary that was taken for dead, or was not
// known, answers.
func primaryIsBack(g Group, v View, s State) bool {
	p, o, ok := primary(g, v)
	return ok && (p.ID == s.Old || s.Old == "") && o.Failures == 0 && o.At.After(s.Began)
}

// pauseRest returns the actions that stop every write of the old primary: the
// replicas first, so that the old primary has nothing more acknowledged when
// it steps down.
func pauseRest(g Group, v View, s State) []Action {
	var actions []Action
	pending := 0
	for _, r := range g.Servers {
		o := v.Servers[r.ID]
		if !o.answers(r) || o.Status.Role == cluster.RolePrimary || paused(r, o, s) {
			continue
		}
		pending++
		actions = append(actions, Action{Kind: ActPause, Server: r.ID, Term: s.Term})
	}
	if pending > 0 {
		return actions
	}
	for _, r := range g.Servers {
		if o := v.Servers[r.ID]; o.answers(r) && o.Status.Role == cluster.RolePrimary {
			actions = append(actions, Action{Kind: ActStepDown, Server: r.ID, Term: s.Term})
		}
	}
	return actions
}

// paused reports whether a replica was paused for the attempt and has not been
// restarted since, which would undo it.
func paused(r Server, o Observation, s State) bool {
	return o.answers(r) && o.At.After(s.Began) && o.Status.PausedAt >= s.Term
}

// steppedDown reports whether the old primary takes no more writes.
func steppedDown(g Group, v View, s State) bool {
	for _, r := range g.Servers {
		if r.ID == s.Old {
			o := v.Servers[r.ID]
			return o.answers(r) && o.At.After(s.Began) && o.Status.Role == cluster.RoleReplica
		}
	}
	return false
}

func decidePromoting(g Group, v View, s State, now time.Time) (State, []Action) {
	for _, r := range g.Servers {
		o := v.Servers[r.ID]
		// An old primary that answers again is not the one that was asked for.
		if o.answers(r) && o.At.After(s.Since) && o.Status.Role == cluster.RolePrimary && o.Status.Term > s.KnownTerm {
			return s.fire(eventPromoted, now), nil
		}
	}
	if v.Refused == s.Chosen || now.Sub(s.Since) > promotionTime {
		s.Term = max(maxTerm(v), s.Term) + 1
		s.Began = now
		return s.fire(eventFailed, now), nil
	}
	if v.Asked || now.Before(s.NextStep) {
		return s, nil
	}
	// The call is repeated only after the platform has had time to carry it out.
	s.NextStep = now.Add(promotionTime)
	return s, []Action{{Kind: ActPromote, Server: s.Chosen, Term: s.Term}}
}

// grantable returns the present term if nothing but a decision of this process
// can end it: a promotion that the platform was asked for may still take effect.
func grantable(g Group, v View, s State, now time.Time) (cluster.Term, bool) {
	p, o, ok := primary(g, v)
	if !ok || s.Phase != PhaseWatching || o.Failures > 0 || o.Status.Term < maxTerm(v) {
		return 0, false
	}
	for asked, until := range v.Pending {
		if asked != p.ID && now.Before(until) {
			return 0, false
		}
	}
	return o.Status.Term, true
}
