package home

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/route"
)

// lagWeight is the weight of the newest observation in the lag estimate.
const lagWeight = 0.2

// lagEstimate follows the time from a commit to its replay on one replica.
type lagEstimate struct {
	replayed cluster.Position
	value    time.Duration
}

// observe takes in a replayed position. When it has advanced, the first record
// that is new was replayed since the last observation.
func (l *lagEstimate) observe(replayed cluster.Position, at time.Time, commits *route.History) {
	if !l.replayed.Less(replayed) {
		return
	}
	next := cluster.Position{Term: replayed.Term, Offset: l.replayed.Offset + 1}
	first := l.replayed.Known()
	l.replayed = replayed
	committed, ok := commits.Reached(next)
	if !first || !ok || committed.After(at) {
		return
	}
	sample := at.Sub(committed)
	if l.value == 0 {
		l.value = sample
		return
	}
	l.value += time.Duration(lagWeight * float64(sample-l.value))
}
