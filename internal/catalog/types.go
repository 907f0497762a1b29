package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/rotisserie/eris"

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
	// KeysRequired is set if callers of routes that are not public need an API key.
	KeysRequired bool
	// Organisations holds the organisations whose keys are accepted.
	Organisations []Organisation
}

// Organisation is an organisation whose callers share keys, a rank and a limit.
type Organisation struct {
	Name string
	// Keys holds the digests of its API keys.
	Keys []KeyDigest
	// Rank orders the work of organisations within the rank of a route.
	Rank cluster.Rank
	// Rate is the limit of its operations in operations a second, zero if there is none,
	// and Burst the number of operations that may exceed it for a moment.
	Rate, Burst float64
}

// KeyDigest is the SHA-256 digest of an API key. Keys themselves do not leave the
// protocol adapters, so that no log or peer can hold one.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key []byte) KeyDigest { return sha256.Sum256(key) }

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return eris.Errorf("key digest: expected %d hexadecimal digits, got %d bytes", hex.EncodedLen(len(d)), len(text))
	}
	_, err := hex.Decode(d[:], text)
	return eris.Wrap(err, "key digest")
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
	// Public is set if callers need no API key.
	Public bool
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

// Coverage states how much of the store's history a list of servers reflects, by versions
// as provider.JoinVersion returns them. Peers exchange their numbers as JSON under its Go
// names.
type Coverage struct {
	// Complete is the store's version up to which the list contains every change.
	Complete uint64
	// Latest is the version of the newest change that the list is known to
	// contain. It may be the version of a removal, which leaves no entry in the
	// list, and is equal in all processes that know the same changes.
	Latest uint64
}
