package provider

import (
	"context"
	"errors"
)

// ErrConflict reports that a condition of Commit did not hold. Nothing was written.
var ErrConflict = errors.New("row version conflict")

// ErrNotFound reports a missing row or object.
var ErrNotFound = errors.New("not found")

// Row is one versioned row of the table service.
type Row struct {
	Key string
	// Version is not zero and rises with each write of the row.
	Version uint64
	Value   []byte
}

// Write is one conditional write.
type Write struct {
	Key string
	// IfVersion is the version that the row must have; zero requires that the
	// row does not exist.
	IfVersion uint64
	Value     []byte
	// Delete removes the row instead of writing Value.
	Delete bool
}

// NextVersions returns the versions after a commit in a service that counts
// the writes of each row.
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
	// Get returns one row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose keys start with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies all writes, or none and returns ErrConflict. It returns
	// the versions that the rows have now, in the order of the writes.
	Commit(ctx context.Context, writes ...Write) ([]uint64, error)
}

// ObjectStore is the object store.
type ObjectStore interface {
	// Put stores data under key and replaces what was there.
	Put(ctx context.Context, key string, data []byte) error
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
}

// VM is one entry of the platform's list of VMs, which may lag.
type VM struct {
	Address string `json:"address"`
	// Leaving is set when the platform is about to take the VM away.
	Leaving bool `json:"leaving"`
}

// VMList is the platform's list of VMs.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}
