package failover

import (
	"embed"
	"fmt"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/statechart"
)

//go:embed group_failover.yaml
var charts embed.FS

var chart = statechart.MustLoad(charts, "group_failover.yaml")

// Chart returns the state chart of a group's failover.
func Chart() *statechart.Chart { return chart }

// Phase is a state of the failover chart.
type Phase string

// Phases of a group.
const (
	PhaseHealthy         Phase = "healthy"
	PhaseSuspected       Phase = "suspected"
	PhaseSwitchover      Phase = "switchover"
	PhaseSealing         Phase = "sealing"
	PhaseElecting        Phase = "electing"
	PhasePromoting       Phase = "promoting"
	PhaseFollowing       Phase = "following"
	PhaseWaitingMajority Phase = "waiting_majority"
	PhaseBackoff         Phase = "backoff"
)

// Events of the failover chart.
const (
	eventFailing    = "trouble"
	eventLeaving    = "leaving"
	eventRecovered  = "recovered"
	eventConfirmed  = "confirmed"
	eventNoMajority = "no_majority"
	eventMajority   = "majority"
	eventCaughtUp   = "caught_up"
	eventElected    = "elected"
	eventPromoted   = "promoted"
	eventConverged  = "converged"
	eventSuperseded = "lost"
	eventFailed     = "failed"
	eventRetry      = "retry"
)

// Cause is the reason for replacing a primary.
type Cause string

// Causes of a failover.
const (
	CauseNone Cause = ""
	// CauseUnreachable means that new connections to the primary fail.
	CauseUnreachable Cause = "primary unreachable"
	// CauseNoPrimary means that no server is primary or names one.
	CauseNoPrimary Cause = "no primary"
	// CauseUnfinished means that servers have accepted a term that has no primary.
	CauseUnfinished Cause = "unfinished election"
	// CauseStalled means that no majority stores what the primary writes.
	CauseStalled Cause = "replication stalled"
	// CauseLeaving means that the primary's VM is about to be removed.
	CauseLeaving Cause = "primary leaving"
)

// Attempt is an attempt to replace a primary.
type Attempt struct {
	Term      cluster.Term
	Holder    string
	StartedAt time.Time
	Cause     Cause
	// OldPrimary is the primary to replace; empty if there was none.
	OldPrimary cluster.ServerID
	// WithoutMajority is set if the policy allows a promotion without a majority of seals.
	WithoutMajority bool
	// NextRetry is the earliest time to repeat the current step.
	NextRetry time.Time
	// SealRequested is set once seals have been requested.
	SealRequested bool
	// Candidate is the server to promote, and Position its position when it was sealed.
	Candidate cluster.ServerID
	Position  cluster.Position
	// DiscardedUpTo is the highest position among the sealed servers if it is above
	// Position: the records in between are discarded.
	DiscardedUpTo cluster.Position
	// SealedCount is the number of servers that were sealed when Candidate was elected.
	SealedCount int
}

// State is a warden's state of a group between decisions.
type State struct {
	Phase Phase
	// Since is when the phase began.
	Since time.Time
	// FailureSince is when the failure that is being handled began; zero in the healthy
	// phase.
	FailureSince time.Time
	Cause        Cause
	Attempt      Attempt
	// RetryAt is the end of a backoff.
	RetryAt time.Time
	// NextQuery and NextRepair are the earliest times to query the observers and to
	// repair replicas again.
	NextQuery  time.Time
	NextRepair time.Time
	// UnrepairedSince is the time since which some server has not followed the primary.
	UnrepairedSince time.Time
	// MajorityPosition is the last known position stored by a majority, and StalledSince
	// the time since which it has not advanced although the primary is ahead of it.
	MajorityPosition cluster.Position
	StalledSince     time.Time
	// MaxTerm is the highest observed term, and MaxTermSince when it was first observed.
	MaxTerm      cluster.Term
	MaxTermSince time.Time
	// LastStallFailover is the time of the last failover due to stalled replication.
	LastStallFailover time.Time
	// SwitchoverAttempts counts the attempts to switch over from a leaving primary.
	SwitchoverAttempts int
	// RandomState is the state of the random number generator for holders and backoffs.
	RandomState uint64
}

// NewState returns the initial state of a group. seed makes the holders and backoffs
// of this warden differ from those of others.
func NewState(now time.Time, seed uint64) State {
	return State{Phase: Phase(chart.Initial()), Since: now, RandomState: seed}
}

// Active reports whether an attempt that should be completed is in progress.
func (s State) Active() bool {
	switch s.Phase {
	case PhaseSealing, PhaseElecting, PhasePromoting, PhaseFollowing:
		return true
	default:
		return false
	}
}

// fire applies an event of the chart. It panics if the chart does not allow the
// event in the current phase, which is a programming error.
func (s State) fire(event string, now time.Time) State {
	next, err := chart.Next(string(s.Phase), event)
	if err != nil {
		panic(err)
	}
	s.Phase = Phase(next)
	s.Since = now
	if s.Phase == PhaseHealthy {
		s.FailureSince = time.Time{}
		s.Cause = CauseNone
		s.Attempt = Attempt{}
	}
	return s
}

// random returns the next number of the generator (SplitMix64).
func (s *State) random() uint64 {
	s.RandomState += 0x9e3779b97f4a7c15
	z := s.RandomState
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// randomUpTo returns a duration below limit.
func (s *State) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(s.random() % uint64(limit))
}

// beginAttempt starts an attempt at a term above all known ones.
func (s State) beginAttempt(spec GroupSpec, status GroupStatus, now time.Time, withoutMajority bool) State {
	replaced, _, _ := status.primary(spec)
	s.Attempt = Attempt{
		Term:            nextTerm(max(status.maxTerm(), s.Attempt.Term, status.Intent.MaxTerm), withoutMajority),
		Holder:          fmt.Sprintf("%s/%016x", spec.Warden, s.random()),
		StartedAt:       now,
		Cause:           s.Cause,
		OldPrimary:      replaced,
		WithoutMajority: withoutMajority,
	}
	return s
}

// nextTerm returns the lowest term above the given one that an attempt may use.
// Elections by a majority use even terms and promotions without a majority odd ones,
// so that the two never use the same term.
func nextTerm(above cluster.Term, withoutMajority bool) cluster.Term {
	term := above + 1
	if even := term%2 == 0; even == withoutMajority {
		term++
	}
	return term
}
