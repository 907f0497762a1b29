package cluster

// GroupName names a database group.
type GroupName string

// ServerID names a backend server.
type ServerID string

// ProxyID names one entry VM and the proxy that runs on it.
type ProxyID string

// Server is the desired description of a backend server, as written in the
// environment document.
type Server struct {
	ID            ServerID
	Address       string
	FailureDomain string
	// Slots is the number of statements the server executes at once.
	Slots int
	// Connections is the server's connection limit.
	Connections int
}

// Role is what a backend server says it is.
type Role string

// Roles of a backend server.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	// RoleSealed marks a server that accepted a newer term and neither writes
	// nor receives log records until it is promoted or follows a new primary.
	RoleSealed Role = "sealed"
)

// ServerStatus is what a backend server reports about itself.
type ServerStatus struct {
	Server ServerID
	Role   Role
	// Term is the highest term that the server has accepted.
	Term Term
	// SealHolder names who sealed the server at Term; empty when it was not sealed.
	SealHolder string
	// PausedAt is the term at which a replica was told to stop receiving; zero
	// while it receives. Servers that are sealed have none.
	PausedAt Term
	// Leader is the primary that a replica follows.
	Leader ServerID
	// Received is the last log position stored durably.
	Received Position
	// Replayed is the last log position visible to reads.
	Replayed Position
	// TermStart is the last log position before Term began, as the primary of
	// Term knows it; unknown when the server cannot tell.
	TermStart Position
	// Epoch and Home are the highest home claim that the server has accepted.
	Epoch Epoch
	Home  ProxyID
}

// Majority returns the smallest number of members that any two majorities of
// n members share at least one of.
func Majority(n int) int { return n/2 + 1 }
