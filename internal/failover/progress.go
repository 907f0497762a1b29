package failover

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Progress describes a failover in progress.
type Progress struct {
	// Term is the term of the last attempt; zero before the first attempt.
	Term cluster.Term
	Step Phase
	// StepSince is when the step began.
	StepSince time.Time
	Cause     Cause
	// FailureSince is when the failure that is being handled began.
	FailureSince time.Time
	// From is the primary to replace and To the server to promote; empty while unknown.
	From, To cluster.ServerID
}

// Progress returns the failover in progress. The second result is false while the
// group is healthy or the failure is not confirmed.
func (s State) Progress() (Progress, bool) {
	if s.Phase == PhaseHealthy || s.Phase == PhaseSuspected {
		return Progress{}, false
	}
	return Progress{
		Term: s.Attempt.Term, Step: s.Phase, StepSince: s.Since, Cause: s.Cause, FailureSince: s.FailureSince,
		From: s.Attempt.OldPrimary, To: s.Attempt.Candidate,
	}, true
}
