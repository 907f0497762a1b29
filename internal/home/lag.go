package home

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/route"
)

// lagWeight is the weight of the newest observation in the moving average of the lag.
const lagWeight = 0.2

// lagEstimate estimates the time from a commit to its replay on one replica.
// Status calls give only a lower and an upper bound of that time, and they may be
// far apart, so the estimate moves only as far as the bounds require.
type lagEstimate struct {
	replayed cluster.Position
	// lastCallBegun is the start of the latest status call.
	lastCallBegun time.Time
	known         bool
	value         time.Duration
}

// observe records the replayed position of a status call. If it has advanced,
// the first new record was replayed between the start of the previous call and
// the response to this one.
func (l *lagEstimate) observe(replayed cluster.Position, begun, answered time.Time, commits *route.History) {
	previousCall := l.lastCallBegun
	if begun.After(previousCall) {
		l.lastCallBegun = begun
	}
	if !l.replayed.Less(replayed) {
		return
	}
	next := cluster.Position{Term: replayed.Term, Offset: l.replayed.Offset + 1}
	first := !l.replayed.Known()
	l.replayed = replayed
	committed, ok := commits.ReachedAt(next)
	if first || !ok || committed.After(answered) {
		return
	}
	l.moveWithin(max(previousCall.Sub(committed), 0), answered.Sub(committed))
}

// moveWithin moves the estimate towards the nearer bound if it is outside the bounds.
func (l *lagEstimate) moveWithin(lower, upper time.Duration) {
	nearest := min(max(l.value, lower), upper)
	if !l.known {
		l.known = true
		l.value = nearest
		return
	}
	l.value += time.Duration(lagWeight * float64(nearest-l.value))
}

const (
	// behindAfter is the age of a replica's data above which it is logged as behind,
	// and caughtUpBelow the age below which it is logged as caught up. Routes
	// with bounded freshness accept data that is one or a few seconds old.
	behindAfter   = time.Second
	caughtUpBelow = 500 * time.Millisecond
)

// logReplicaAge logs when a replica falls behind and when it has caught up. The
// caller holds the lock.
func (o *owner) logReplicaAge(n *node, replayed cluster.Position, now time.Time) {
	age := time.Duration(0)
	next := cluster.Position{Term: replayed.Term, Offset: replayed.Offset + 1}
	if committed, ok := o.commits.ReachedAt(next); ok && replayed.Known() {
		age = now.Sub(committed)
	}
	behind := n.server.ID != o.view.primary && (age > behindAfter || n.behind && age > caughtUpBelow)
	if behind == n.behind {
		return
	}
	n.behind = behind
	kind := eventReplicaCaughtUp
	if behind {
		kind = eventReplicaBehind
	}
	kind.Log(o.home.log).Str("group", string(o.name)).Str("server", string(n.server.ID)).Dur("age", age).
		Str("replayed", replayed.String()).Str("primary", string(o.view.primary)).Uint64("term", uint64(o.view.term)).Send()
}
