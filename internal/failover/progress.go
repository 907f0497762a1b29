package failover

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Progress describes a failover under way.
type Progress struct {
	// Term is the term of the last attempt; zero while none has begun.
	Term cluster.Term
	Step Phase
	// StepSince is the time at which the step began.
	StepSince time.Time
	Cause     Cause
	// FailureSince is the time at which the trouble began.
	FailureSince time.Time
	// From is the primary to replace and To the server to promote, once known.
	From, To cluster.ServerID
}

// Progress returns the failover under way. The second result is false while
// the group is healthy or its trouble is not yet confirmed.
func (s State) Progress() (Progress, bool) {
	if s.Phase == PhaseHealthy || s.Phase == PhaseSuspected {
		return Progress{}, false
	}
	return Progress{
		Term: s.Attempt.Term, Step: s.Phase, StepSince: s.Since, Cause: s.Cause, FailureSince: s.FailureSince,
		From: s.Attempt.OldPrimary, To: s.Attempt.Candidate,
	}, true
}
