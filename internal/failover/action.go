package failover

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Action is a step for the Executor to execute.
type Action interface{ action() }

// QueryObservers asks other processes to probe all servers on new connections.
type QueryObservers struct{}

// Confirm probes all servers on new connections and writes the intent of an
// attempt to the table service.
type Confirm struct {
	Attempt Attempt
}

// Seal seals servers for an attempt.
type Seal struct {
	Attempt Attempt
	Servers []cluster.ServerID
	// Deadline is the time at which the evidence for the attempt becomes too old
	// to act on.
	Deadline time.Time
}

// Promote makes the attempt's candidate the primary.
type Promote struct {
	Attempt Attempt
}

// Follow makes a server a replica of Primary.
type Follow struct {
	Server  cluster.ServerID
	Term    cluster.Term
	Primary cluster.ServerID
}

// SaveRecord records a completed failover or the discarding of unreplicated writes.
type SaveRecord struct {
	Record Record
}

func (QueryObservers) action() {}
func (Confirm) action()        {}
func (Seal) action()           {}
func (Promote) action()        {}
func (Follow) action()         {}
func (SaveRecord) action()     {}

// Record describes a failover, for operators.
type Record struct {
	Group        cluster.GroupName `json:"group"`
	Term         cluster.Term      `json:"term"`
	Holder       string            `json:"holder"`
	Cause        Cause             `json:"cause"`
	OldPrimary   cluster.ServerID  `json:"old_primary"`
	NewPrimary   cluster.ServerID  `json:"new_primary"`
	FailureSince time.Time         `json:"trouble_at"`
	CompletedAt  time.Time         `json:"completed_at"`
	// Position is the position at which the new primary's log began.
	Position cluster.Position `json:"position"`
	// MayBeLost describes which acknowledged writes may be lost; empty when none are.
	MayBeLost string `json:"may_be_lost,omitempty"`
	// Discarded describes which unacknowledged writes were discarded.
	Discarded string `json:"discarded,omitempty"`
}
