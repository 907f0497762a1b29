package failover

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Action is one step for the Executor.
type Action interface{ action() }

// QueryObservers asks other processes to try fresh connections to all servers.
type QueryObservers struct{}

// Confirm tries fresh connections to all servers and writes the intent of an
// attempt to the table service.
type Confirm struct {
	Attempt Attempt
}

// Seal seals servers for an attempt.
type Seal struct {
	Attempt Attempt
	Servers []cluster.ServerID
	// Deadline is the time after which the evidence for the attempt is too old
	// to act on.
	Deadline time.Time
}

// Promote makes the chosen server the primary.
type Promote struct {
	Attempt Attempt
}

// Follow makes a server a replica of leader.
type Follow struct {
	Server cluster.ServerID
	Term   cluster.Term
	Leader cluster.ServerID
}

// SaveRecord records a finished failover or a discarded tail.
type SaveRecord struct {
	Record Record
}

func (QueryObservers) action() {}
func (Confirm) action()        {}
func (Seal) action()           {}
func (Promote) action()        {}
func (Follow) action()         {}
func (SaveRecord) action()     {}

// Record is what operators read about a failover the next morning.
type Record struct {
	Group        cluster.GroupName `json:"group"`
	Term         cluster.Term      `json:"term"`
	Holder       string            `json:"holder"`
	Cause        Cause             `json:"cause"`
	OldPrimary   cluster.ServerID  `json:"old_primary"`
	NewPrimary   cluster.ServerID  `json:"new_primary"`
	FailureSince time.Time         `json:"trouble_at"`
	CompletedAt  time.Time         `json:"completed_at"`
	// Position is where the new primary's log began.
	Position cluster.Position `json:"position"`
	// MayBeLost says in words which acknowledged work may be lost; empty when
	// none is.
	MayBeLost string `json:"may_be_lost,omitempty"`
	// Discarded says in words which unacknowledged writes were discarded.
	Discarded string `json:"discarded,omitempty"`
}
