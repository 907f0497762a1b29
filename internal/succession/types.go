package succession

import (
	"embed"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/statechart"
)

//go:embed group_succession.yaml
var chartFile embed.FS

var chart = statechart.MustLoad(chartFile, "group_succession.yaml")

// Chart returns the state chart of a succession.
func Chart() *statechart.Chart { return chart }

// Phase is a state of the chart.
type Phase string

// Phases of a group.
const (
	PhaseWatching   Phase = "watching"
	PhaseSuspecting Phase = "suspecting"
	PhasePausing    Phase = "pausing"
	PhasePromoting  Phase = "promoting"
)

// Events between the phases.
const (
	eventTrouble   = "trouble"
	eventLeaving   = "leaving"
	eventRecovered = "recovered"
	eventConfirmed = "confirmed"
	eventElected   = "elected"
	eventPostponed = "postponed"
	eventPromoted  = "promoted"
	eventFailed    = "failed"
)

// Cause tells why a primary is replaced.
type Cause string

// Causes.
const (
	CauseNone        Cause = ""
	CauseUnreachable Cause = "primary unreachable"
	CauseNoPrimary   Cause = "no primary"
	CauseLeaving     Cause = "primary leaving"
	CauseStalled     Cause = "replication stalled"
)

// Server is a server of a group as the catalog has it.
type Server struct {
	cluster.Server
	// Leaving is set when the server is about to leave.
	Leaving bool
	// StartTime tells two lives of one id apart.
	StartTime int64
	// Primary is set where the server's entry says that it was the primary.
	Primary bool
}

// Group is a database group as the catalog has it.
type Group struct {
	Name    cluster.GroupName
	Servers []Server
	// SyncReplicas is the number of replicas that store a write before the
	// primary acknowledges it.
	SyncReplicas int
	// LostPrimary is set where the primary's entry has lapsed, so that it is not
	// among Servers, and no other server has led the group since.
	LostPrimary bool
}

// Observation is what is known of one server.
type Observation struct {
	// Status was answered to a call that began at At; it is valid when At is set.
	Status      cluster.ServerStatus
	RequestedAt time.Time
	// StartTime is the life of the server that answered.
	StartTime int64
	// ConsecutiveFailures counts the calls in a row that failed on fresh connections, the
	// first of which began at FailingSince.
	ConsecutiveFailures int
	FailingSince        time.Time
	// ConsecutiveRefusals counts the last of them in which the VM answered that nothing
	// listens there: the server does not run.
	ConsecutiveRefusals int
}

// known reports whether the server has ever answered in its present life.
func (o Observation) known(s Server) bool {
	return !o.RequestedAt.IsZero() && o.StartTime == s.StartTime
}

// reachable reports whether the last call was answered.
func (o Observation) reachable(s Server) bool { return o.known(s) && o.ConsecutiveFailures == 0 }

// PeerReport is what other processes say of the present primary.
type PeerReport struct {
	QueriedAt time.Time
	// Reachable and Miss count those that do and do not reach it.
	Reachable, Unreachable int
}

// View is everything that is known of a group.
type View struct {
	Servers    map[cluster.ServerID]Observation
	PeerReport PeerReport
	// PromotionRefused is the server whose promotion the platform refused last.
	PromotionRefused cluster.ServerID
	// PromotionInFlight is set while a call for a promotion runs.
	PromotionInFlight bool
	// PendingPromotions holds the servers that the platform was asked to promote, and until
	// when that may take effect.
	PendingPromotions map[cluster.ServerID]time.Time
	// PriorPromotionPossible is set while a call of an earlier holder of the duty may still take
	// effect.
	PriorPromotionPossible bool
	// LeaseRemaining is the time for which this process may act for sure.
	LeaseRemaining time.Duration
	// GrantsInForce is set while some process may rely on the present term.
	GrantsInForce bool
}

// State is what the controller remembers between two decisions.
type State struct {
	Phase Phase
	// Since is when the phase began.
	Since time.Time
	Cause Cause
	// FailureSince is when the trouble began.
	FailureSince time.Time
	// AttemptTerm is that of the present attempt, at which replicas are paused.
	AttemptTerm cluster.Term
	// AttemptStart is when the attempt began.
	AttemptStart time.Time
	// Old is the primary to replace, Chosen its successor.
	// KnownTerm is the highest term that any server had when the attempt began;
	// the primary that it brings has a higher one.
	MaxTermAtStart cluster.Term
	OldPrimary     cluster.ServerID
	OldTerm        cluster.Term
	Candidate      cluster.ServerID
	// PostponedUntil bounds how soon a leaving primary is replaced again.
	PostponedUntil time.Time
	// NextRetry is the earliest time to repeat the actions of the phase.
	NextRetry time.Time
	// StalledSince is the time from which the primary is ahead of all replicas.
	StalledSince    time.Time
	StalledPosition cluster.Position
}

// NewState returns the state of a group that was never looked at.
func NewState(now time.Time) State { return State{Phase: Phase(chart.Initial()), Since: now} }

// fire moves the state along the chart. An event that the chart does not allow
// is a programming error and panics.
func (s State) fire(event string, now time.Time) State {
	next, err := chart.Next(string(s.Phase), event)
	if err != nil {
		panic(err)
	}
	s.Phase, s.Since, s.NextRetry = Phase(next), now, time.Time{}
	return s
}

// ActionKind is the kind of an action.
type ActionKind uint8

// Kinds of actions.
const (
	// ActionPause makes a replica stop receiving at the action's term.
	ActionPause ActionKind = iota
	ActionResume
	ActionStepDown
	ActionPromote
	// ActionQueryPeers asks other processes about the primary.
	ActionQueryPeers
)

// Action is one step for the Controller.
type Action struct {
	Kind   ActionKind
	Server cluster.ServerID
	Term   cluster.Term
}
