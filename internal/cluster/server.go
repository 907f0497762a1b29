package cluster

// GroupName is the name of a database group.
type GroupName string

// ServerID identifies a backend server.
type ServerID string

// ProxyID identifies an entry VM and the proxy that runs on it.
type ProxyID string

// Server describes a backend server as configured in the environment document.
type Server struct {
	ID            ServerID
	Address       string
	FailureDomain string
	// Slots is the number of statements that the server executes concurrently.
	Slots int
	// Connections is the server's connection limit.
	Connections int
}

// Role is the replication role that a backend server reports.
type Role string

// Roles of a backend server.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	// RoleSealed is the role of a fenced server: it has accepted a newer term, and
	// neither writes nor receives log records until it is promoted or follows a new
	// primary.
	RoleSealed Role = "sealed"
)

// ServerStatus is what a backend server reports about itself.
type ServerStatus struct {
	Server ServerID
	Role   Role
	// Term is the highest term that the server has accepted.
	Term Term
	// SealHolder identifies the process that sealed the server at Term; empty when
	// it was not sealed.
	SealHolder string
	// PausedAt is the term at which a replica was ordered to stop receiving; zero
	// while it receives. It is always zero on servers that are sealed instead.
	PausedAt Term
	// Leader is the primary that a replica follows.
	Leader ServerID
	// Received is the last log position that is stored durably.
	Received Position
	// Replayed is the last log position that is visible to reads.
	Replayed Position
	// Busy is the number of slots at work, of which the call for the status may be one; zero
	// when the server does not provide it.
	Busy int
	// TermStart is the last log position before Term began, as the primary of
	// Term reports it; unknown when the server does not provide it.
	TermStart Position
	// Epoch and Home are the home claim of the highest epoch that the server has
	// accepted.
	Epoch Epoch
	Home  ProxyID
}

// Majority returns the smallest size of a subset of n members such that any two
// subsets of that size have a member in common.
func Majority(n int) int { return n/2 + 1 }
