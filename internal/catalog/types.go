package catalog

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/statement"
)

// Configuration is one version of the operator's configuration. Peers exchange
// it and the types of its fields as JSON under their Go names.
type Configuration struct {
	Version uint64
	Routes  []Route
	Groups  []Group
	// TransactionIdle limits how long a transaction may wait for its caller.
	TransactionIdle time.Duration
}

// Route maps a database to a group.
type Route struct {
	// Database is the name that callers connect to.
	Database  string
	Group     cluster.GroupName
	Rank      cluster.Rank
	Freshness statement.Freshness
	// Timeout limits one statement; Objective is the latency objective of an
	// operation.
	Timeout, Objective time.Duration
}

// Group is a database group as the operator describes it.
type Group struct {
	Name cluster.GroupName
	// Connections is the connection limit of each server, shared by all callers.
	Connections int
	// SyncReplicas is the number of replicas that must store a write before the
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
	// Draining is set when the server is about to shut down.
	Draining bool
	// Primary is set when the server considers itself the primary.
	Primary bool
	// Started is the Unix time in milliseconds at which the server started. It
	// distinguishes successive processes with the same id.
	Started int64
}

// State is the known content of the store.
type State struct {
	Configuration *Configuration
	// Servers holds the entries by id.
	Servers map[cluster.ServerID]Server
}

// SyncReplicas returns the number of replicas that must store a write of a group
// before it is acknowledged; zero for an unknown group.
func (c *Configuration) SyncReplicas(group cluster.GroupName) int {
	for _, g := range c.Groups {
		if g.Name == group {
			return g.SyncReplicas
		}
	}
	return 0
}

// Coverage states how much of the store's history a list of servers reflects. Peers
// exchange it as JSON under its Go names.
type Coverage struct {
	// Complete is the store's version up to which the list contains every change.
	Complete uint64
	// Latest is the version of the newest change that the list is known to
	// contain. It may be the version of a removal, which leaves no entry in the
	// list, and is equal in all processes that know the same changes.
	Latest uint64
}
