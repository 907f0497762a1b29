package route

import (
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Exclusion returns why a server may not run a request now; empty if it may. It is used
// to explain refusals and agrees with DecideServer.
func Exclusion(q *Query, g *Group, id cluster.ServerID, now time.Time) string {
	option, ok := DecideServer(q, g, id, now)
	switch {
	case ok && option.NotBefore.After(now):
		return string(option.Reason)
	case ok:
		return ""
	}
	s, known := g.server(id)
	switch {
	case !known || !s.Reachable:
		return "unreachable"
	case s.Leaving:
		return "leaving"
	case id != g.Primary && !replicaAllowed(q.Class):
		return string(ReasonWrite)
	case q.PrimaryOnly:
		return string(ReasonRefused)
	case !q.FloorKnown:
		return string(ReasonUnknownFloor)
	case s.Ejected:
		return "ejected"
	case slices.Contains(q.Failed, id):
		return "the request failed there"
	case s.Diverged || s.Term != g.Term:
		return "not in the current term"
	}
	return "not fresh enough"
}

// Behind returns the age of the oldest known commit that a server has not replayed; zero
// if there is none.
func (g *Group) Behind(id cluster.ServerID, now time.Time) time.Duration {
	s, ok := g.server(id)
	if !ok || !s.Replayed.Known() || g.Commits == nil {
		return 0
	}
	next := cluster.Position{Term: s.Replayed.Term, Offset: s.Replayed.Offset + 1}
	committed, ok := g.Commits.ReachedAt(next)
	if !ok {
		return 0
	}
	return now.Sub(committed)
}
