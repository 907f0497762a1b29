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

// Phases of the state chart.
const (
	PhaseWatching   Phase = "watching"
	PhaseSuspecting Phase = "suspecting"
	PhasePausing    Phase = "pausing"
	PhasePromoting  Phase = "promoting"
)

// Events of the state chart.
const (
	eventFailing    = "trouble"
	eventLeaving    = "leaving"
	eventReplayLate = "replay_late"
	eventRecovered  = "recovered"
	eventConfirmed  = "confirmed"
	eventElected    = "elected"
	eventPostponed  = "postponed"
	eventPromoted   = "promoted"
	eventFailed     = "failed"
)

// Cause is the reason for replacing a primary.
type Cause string

// Causes of a failover or switchover.
const (
	CauseNone        Cause = ""
	CauseUnreachable Cause = "primary unreachable"
	CauseNoPrimary   Cause = "no primary"
	CauseLeaving     Cause = "primary leaving"
	CauseStalled     Cause = "replication stalled"
	// CauseReplay means that the primary works, while all replicas replay late.
	CauseReplay Cause = "replicas replay late"
)

// planned reports whether the primary that is replaced works: it steps down first.
func (c Cause) planned() bool { return c == CauseLeaving || c == CauseReplay }

// Server is a server of a group as listed in the catalog.
type Server struct {
	cluster.Server
	// Leaving is set when the server is being drained before it is removed.
	Leaving bool
	// StartTime distinguishes successive runs of a server with the same ID.
	StartTime int64
}

// Group is a database group as listed in the catalog.
type Group struct {
	Name    cluster.GroupName
	Servers []Server
	// SyncReplicas is the number of replicas that must store a write before the
	// primary acknowledges it.
	SyncReplicas int
}

// Observation is the last known state of one server.
type Observation struct {
	// Status is the response to a request sent at RequestedAt; it is valid if
	// RequestedAt is set.
	Status      cluster.ServerStatus
	RequestedAt time.Time
	// StartTime is that of the server process that responded.
	StartTime int64
	// ConsecutiveFailures counts the consecutive calls that failed on new
	// connections, the first of which began at FailingSince.
	ConsecutiveFailures int
	FailingSince        time.Time
	// ConsecutiveRefusals counts the most recent of them in which the VM refused
	// the connection: the server is not running.
	ConsecutiveRefusals int
	// MaxReceived is the highest position that this server process has reported at
	// its present term.
	MaxReceived cluster.Position
}

// next returns the observation that follows o when the server process started at
// startTime reports status.
func (o Observation) next(status cluster.ServerStatus, requestedAt time.Time, startTime int64) Observation {
	highest := status.Received
	if o.StartTime == startTime && o.Status.Term == status.Term {
		highest = cluster.MaxPosition(highest, o.MaxReceived)
	}
	return Observation{Status: status, RequestedAt: requestedAt, StartTime: startTime, MaxReceived: highest}
}

// lostRecords reports whether the log is shorter than the server has reported before
// at the same term: it has restarted without its data, and its catalog entry does not
// say so yet.
func (o Observation) lostRecords() bool { return o.Status.Received.Less(o.MaxReceived) }

// known reports whether the server has responded since its last start.
func (o Observation) known(s Server) bool {
	return !o.RequestedAt.IsZero() && o.StartTime == s.StartTime
}

// reachable reports whether the server responded to the last call.
func (o Observation) reachable(s Server) bool { return o.known(s) && o.ConsecutiveFailures == 0 }

// ObserverReport summarizes whether other processes can reach the current primary.
type ObserverReport struct {
	QueriedAt time.Time
	// Reachable and Unreachable count the processes that can and cannot reach it.
	Reachable, Unreachable int
}

// View is the observed state of a group.
type View struct {
	Servers        map[cluster.ServerID]Observation
	ObserverReport ObserverReport
	// PromotionRefused is the server whose promotion the platform last refused.
	PromotionRefused cluster.ServerID
	// PromotionInFlight is set while a promotion call to the platform is in progress.
	PromotionInFlight bool
	// PromotionNotSent is set if the last promotion was given up before the platform
	// was asked.
	PromotionNotSent bool
	// PendingPromotions holds the promotions that this process or an earlier lease holder
	// has requested.
	PendingPromotions PendingPromotions
	// PriorPromotionPossible is set while the group's record has not been read: an
	// earlier lease holder may have requested the promotion of any server.
	PriorPromotionPossible bool
	// GroupStale is set while this process does not hear of changes of the group.
	GroupStale bool
	// RecordUnsaved is set while the group's record in the table service is not up to date.
	RecordUnsaved bool
	// LeaseRemaining is the time for which this process is certain to hold the lease.
	LeaseRemaining time.Duration
	// GrantsInForce is set while any process may hold a grant of the current term.
	GrantsInForce bool
	// GrantsEndedAt is a time after which no process has had a grant; zero if none is
	// known to have had one. Until then, writes may have been acknowledged that a server
	// which has restarted since it was paused has received.
	GrantsEndedAt time.Time
	// UnlistedPossible is set while a server that is not listed yet may have received
	// writes that were acknowledged under a grant.
	UnlistedPossible bool
	// Acknowledged is the highest position that processes are known to have acknowledged
	// under grants, and AcknowledgedUnknown is set if one may have acknowledged others.
	Acknowledged        cluster.Position
	AcknowledgedUnknown bool
}

// State is the controller's state of a group between decisions.
type State struct {
	Phase Phase
	// Since is when the phase began.
	Since time.Time
	Cause Cause
	// FailureSince is when the failure that is being handled began.
	FailureSince time.Time
	// AttemptTerm is the term at which the current attempt pauses replicas.
	AttemptTerm  cluster.Term
	AttemptStart time.Time
	// MaxTermAtStart is the highest term of any server at the start of the attempt;
	// the promoted primary has a higher one.
	MaxTermAtStart cluster.Term
	// OldPrimary is the primary to replace and Candidate the server to promote.
	OldPrimary cluster.ServerID
	OldTerm    cluster.Term
	Candidate  cluster.ServerID
	// OldLogEnd is the end of the old primary's log, observed after it has stepped down;
	// unknown before. No write that it acknowledged lies beyond it.
	OldLogEnd cluster.Position
	// Step is the kind of the last action of the pausing phase.
	Step ActionKind
	// Blocker tells why the leaving primary is not replaced yet, and Wait what the attempt
	// waits for before a server is elected.
	Blocker blocker
	Wait    Wait
	// PostponedUntil is the earliest time of another planned switchover.
	PostponedUntil time.Time
	// NextRetry is the earliest time to repeat the actions of the phase.
	NextRetry time.Time
	// StalledSince is the time since which the primary has been ahead of all
	// replicas, the most advanced of which has stayed at StalledPosition.
	StalledSince    time.Time
	StalledPosition cluster.Position
	// replay is the evidence that the replicas replay late, and rest tells when that last led
	// to a switchover.
	replay replayWatch
	rest   replayRest
	// SteppedDown is the last primary that has stepped down, until there may be another.
	SteppedDown SteppedDown
	seen        seenPrimary
	// Membership tells which servers may hold acknowledged writes.
	Membership
}

// NewState returns the initial state of a group.
func NewState(now time.Time) State { return State{Phase: Phase(chart.Initial()), Since: now} }

// fire applies an event of the chart. It panics if the chart does not allow the
// event in the current phase, which is a programming error.
func (s State) fire(event string, now time.Time) State {
	next, err := chart.Next(string(s.Phase), event)
	if err != nil {
		panic(err)
	}
	s.Phase, s.Since, s.NextRetry = Phase(next), now, time.Time{}
	return s
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// ActionPause pauses replication on a replica at the action's term.
	ActionPause ActionKind = iota
	ActionResume
	ActionStepDown
	ActionPromote
	// ActionQueryObservers asks other processes whether they can reach the primary.
	ActionQueryObservers
)

var actionNames = [...]string{"pause", "resume", "step_down", "promote", "query_observers"}

// String returns the name of the kind, as it is logged.
func (k ActionKind) String() string { return actionNames[k] }

// Action is a step for the Controller to execute.
type Action struct {
	Kind   ActionKind
	Server cluster.ServerID
	Term   cluster.Term
}
