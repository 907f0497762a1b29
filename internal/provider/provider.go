package provider

import (
	"context"
	"errors"
)

// ErrConflict reports that a row did not have the version that Commit required.
// Nothing was written.
var ErrConflict = errors.New("row version conflict")

// ErrNotFound reports a missing row or object.
var ErrNotFound = errors.New("not found")

// MaxWrites is the highest number of writes in one Commit. The store of the users' platform
// takes 100 entries in a transaction, and each write is two: a precondition and a change.
const MaxWrites = 50

// Row is a versioned row of the table service.
type Row struct {
	Key string
	// Version is never zero and increases with each write of the row, also if the service
	// comes back from a copy in between; see JoinVersion.
	Version uint64
	Value   []byte
}

// Write is a conditional write of one row.
type Write struct {
	Key string
	// IfVersion is the version that the row must have; zero, or the version that Get has
	// returned with ErrNotFound, requires that the row does not exist.
	IfVersion uint64
	Value     []byte
	// Delete removes the row instead of writing Value.
	Delete bool
}

// NextVersions returns the row versions after a commit, in the order of writes, for
// a service that increments a row's version by one with each write. Deleted rows
// have version zero.
func NextVersions(writes []Write) []uint64 {
	versions := make([]uint64, len(writes))
	for i, w := range writes {
		if !w.Delete {
			versions[i] = w.IfVersion + 1
		}
	}
	return versions
}

// Table is the transactional table service.
type Table interface {
	// Get returns one row, or ErrNotFound. The version that it returns with ErrNotFound has
	// the number zero in the era in which the row was missing.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose keys start with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies up to MaxWrites writes atomically, or returns ErrConflict and applies
	// none. It returns the new versions of the rows, in the order of the writes.
	Commit(ctx context.Context, writes ...Write) ([]uint64, error)
}

// ObjectStore is the object store.
type ObjectStore interface {
	// Put stores data under key and replaces an existing object.
	Put(ctx context.Context, key string, data []byte) error
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
}

// VM is an entry of the platform's list of VMs, which may be out of date.
type VM struct {
	Address string `json:"address"`
	// Leaving is set if the platform is about to remove the VM.
	Leaving bool `json:"leaving"`
}

// VMList is the platform's list of VMs.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}
