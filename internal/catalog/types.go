package catalog

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/statement"
)

// Configuration is one version of what the operator has put in force.
type Configuration struct {
	Version uint64
	Routes  []Route
	Groups  []Group
	// TransactionIdle bounds the wait for a caller inside a transaction.
	TransactionIdle time.Duration
}

// Route leads from a database to a group.
type Route struct {
	// Database is the name that callers connect to.
	Database  string
	Group     cluster.GroupName
	Rank      cluster.Rank
	Freshness statement.Freshness
	// Timeout bounds one statement; Objective is the latency that an operation
	// should keep.
	Timeout, Objective time.Duration
}

// Group is a database group as the operator describes it.
type Group struct {
	Name cluster.GroupName
	// Connections is the limit of each server, over all callers.
	Connections int
	// SyncReplicas is the number of replicas that store a write before the
	// primary acknowledges it.
	SyncReplicas int
}

// Server is the entry of a backend server.
type Server struct {
	ID            cluster.ServerID
	Group         cluster.GroupName
	Address       string
	FailureDomain string
	Slots         int
	// Draining is set when the server is about to leave.
	Draining bool
	// Primary is how the server sees itself.
	Primary bool
	// Started is the Unix time in milliseconds at which the server started. It
	// tells two lives of one id apart.
	Started int64
}

// State is everything that the store says at one of its versions.
type State struct {
	Configuration *Configuration
	// Servers holds the entries by id.
	Servers map[cluster.ServerID]Server
	// LostPrimary names the groups whose primary's entry has lapsed without a successor.
	LostPrimary map[cluster.GroupName]bool
}

// SyncReplicas returns the number of replicas that store a write of a group
// before it is acknowledged; zero for an unknown group.
func (c *Configuration) SyncReplicas(group cluster.GroupName) int {
	for _, g := range c.Groups {
		if g.Name == group {
			return g.SyncReplicas
		}
	}
	return 0
}

// Coverage tells how much of the store's history a list of servers reflects.
type Coverage struct {
	// Complete is the store's version up to which every change is in the list.
	Complete uint64
	// Latest is the version of the newest change that is known to be in it. It is
	// the same for all processes once they know the same changes.
	Latest uint64
}
