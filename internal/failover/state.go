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
	eventTrouble    = "trouble"
	eventLeaving    = "leaving"
	eventRecovered  = "recovered"
	eventConfirmed  = "confirmed"
	eventNoMajority = "no_majority"
	eventMajority   = "majority"
	eventCaughtUp   = "caught_up"
	eventElected    = "elected"
	eventPromoted   = "promoted"
	eventConverged  = "converged"
	eventLost       = "lost"
	eventFailed     = "failed"
	eventRetry      = "retry"
)

// Cause tells why a primary is replaced.
type Cause string

// Causes of a failover.
const (
	CauseNone Cause = ""
	// CauseUnreachable means that the primary does not answer fresh connections.
	CauseUnreachable Cause = "primary unreachable"
	// CauseNoPrimary means that no server is or names a primary.
	CauseNoPrimary Cause = "no primary"
	// CauseUnfinished means that servers accepted a term that has no primary.
	CauseUnfinished Cause = "unfinished election"
	// CauseStalled means that no replica receives what the primary writes.
	CauseStalled Cause = "replication stalled"
	// CauseLeaving means that the primary's VM is leaving.
	CauseLeaving Cause = "primary leaving"
)

// Attempt is one try to replace a primary.
type Attempt struct {
	Term      cluster.Term
	Holder    string
	StartedAt time.Time
	Cause     Cause
	// OldPrimary is the primary to replace; empty when there was none.
	OldPrimary cluster.ServerID
	// WithoutMajority is set when the policy lets a minority be promoted.
	WithoutMajority bool
	// NextRetry is the earliest time to repeat the step under way.
	NextRetry time.Time
	// SealRequested is set once the seal was asked for.
	SealRequested bool
	// Candidate is the server to promote, at its position when it was sealed.
	Candidate cluster.ServerID
	Position  cluster.Position
	// DiscardedUpTo is the highest position among the sealed when it is beyond Position.
	DiscardedUpTo cluster.Position
	// SealedCount are the servers that were sealed when Chosen was elected.
	SealedCount int
}

// State is what a warden remembers of a group between two decisions.
type State struct {
	Phase Phase
	// Since is the time at which the phase began.
	Since time.Time
	// FailureSince is the time at which the current trouble began; zero when there is none.
	FailureSince time.Time
	Cause        Cause
	Attempt      Attempt
	// RetryAt ends a backoff.
	RetryAt time.Time
	// NextQuery and RepairAt bound how often observers are asked and replicas repaired.
	NextQuery  time.Time
	NextRepair time.Time
	// UnrepairedSince is the time from which some replica has not followed.
	UnrepairedSince time.Time
	// MajorityPosition is the last position stored by a majority, and ReplicatedAt
	// the time from which it has not moved although the primary is beyond it.
	MajorityPosition cluster.Position
	StalledSince     time.Time
	// MaxTerm is the highest term seen, and MaxTermAt the time of its first sight.
	MaxTerm      cluster.Term
	MaxTermSince time.Time
	// LastStallFailover is the time of the last failover for a stalled replication.
	LastStallFailover time.Time
	// SwitchoverAttempts counts the tries to hand over from a leaving primary.
	SwitchoverAttempts int
	// RandomState is the state of the generator of holders and backoffs.
	RandomState uint64
}

// NewState returns the state of a group that was never looked at. seed makes
// the holders and backoffs of this warden differ from those of others.
func NewState(now time.Time, seed uint64) State {
	return State{Phase: Phase(chart.Initial()), Since: now, RandomState: seed}
}

// Active reports whether an attempt is under way that should be finished.
func (s State) Active() bool {
	switch s.Phase {
	case PhaseSealing, PhaseElecting, PhasePromoting, PhaseFollowing:
		return true
	default:
		return false
	}
}

// fire moves the state along the chart. An event that the chart does not allow
// is a programming error and panics.
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

// random returns the next number of the state's generator (SplitMix64).
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

// beginAttempt starts an attempt at a term above all that were seen.
func (s State) beginAttempt(spec GroupSpec, status GroupStatus, now time.Time, withoutMajority bool) State {
	replaced, _, _ := status.primary(spec)
	s.Attempt = Attempt{
		Term:            nextTerm(max(status.maxTerm(), s.Attempt.Term, status.Intent.Term), withoutMajority),
		Holder:          fmt.Sprintf("%s/%016x", spec.Warden, s.random()),
		StartedAt:       now,
		Cause:           s.Cause,
		OldPrimary:      replaced,
		WithoutMajority: withoutMajority,
	}
	return s
}

// nextTerm returns the lowest term above the given one that an attempt may
// use. Elections by a majority use even terms and promotions without a
// majority odd ones, so that the two never share a term.
func nextTerm(above cluster.Term, withoutMajority bool) cluster.Term {
	term := above + 1
	if even := term%2 == 0; even == withoutMajority {
		term++
	}
	return term
}
