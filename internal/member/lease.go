package member

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/provider"
)

const (
	// leaseKeyPrefix is the prefix of the keys of all lease rows.
	leaseKeyPrefix = "member/"
	// leaseExpiryIntervals is the number of renewal intervals after which a lease
	// that was not renewed expires.
	leaseExpiryIntervals = 3
	// tableTimeout limits one call to the table service.
	tableTimeout = 2 * time.Second
)

// leaseValue is the value of a lease row.
type leaseValue struct {
	Member Member
	State  State
	// Renewal counts the writes of this incarnation. A row with the renewal
	// that was just written shows that the response to the write was lost.
	Renewal uint64
	// Renewed is the writer's wall-clock time.
	Renewed time.Time
}

// lease renews the lease row of one process. It is not safe for concurrent use.
type lease struct {
	table   provider.Table
	self    Member
	renewal uint64
	version uint64
}

func (l *lease) key() string { return leaseKeyPrefix + l.self.Key().String() }

// renew writes the row, again after a version conflict. It returns an error
// with code Superseded when a later incarnation holds the row.
func (l *lease) renew(ctx context.Context, state State) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	l.renewal++
	err := l.write(ctx, state)
	if !errors.Is(err, provider.ErrConflict) {
		return err
	}
	if err := l.reloadVersion(ctx); err != nil {
		return err
	}
	return l.write(ctx, state)
}

func (l *lease) write(ctx context.Context, state State) error {
	value := leaseValue{Member: l.self, State: state, Renewal: l.renewal, Renewed: time.Now()}
	data, err := json.Marshal(value)
	if err != nil {
		return errcode.Wrap(err, errcode.Internal, "encode lease", l.key())
	}
	leaseWrites.Inc()
	versions, err := l.table.Commit(ctx, provider.Write{Key: l.key(), IfVersion: l.version, Value: data})
	if err != nil {
		return errcode.Wrap(err, errcode.Unknown, "renew lease", l.key())
	}
	l.version = versions[0]
	return nil
}

// reloadVersion reads the row's version after a conflict: the response to an
// earlier write was lost, or the row is left from an earlier incarnation.
func (l *lease) reloadVersion(ctx context.Context) error {
	tableReads.Inc()
	row, err := l.table.Get(ctx, l.key())
	if errors.Is(err, provider.ErrNotFound) {
		l.version = 0
		return nil
	}
	if err != nil {
		return errcode.Wrap(err, errcode.Unknown, "read lease", l.key())
	}
	var value leaseValue
	if err := json.Unmarshal(row.Value, &value); err == nil && value.Member.Incarnation > l.self.Incarnation {
		return errcode.New(errcode.Superseded, "renew lease", l.key())
	}
	l.version = row.Version
	return nil
}

// release deletes the row during a graceful shutdown.
func (l *lease) release(ctx context.Context) error {
	if l.version == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	_, err := l.table.Commit(ctx, provider.Write{Key: l.key(), IfVersion: l.version, Delete: true})
	return err
}

// leaseReader lists the lease rows of all processes. It detects renewals by a
// change of the row's version and this process's clock, and does not rely on
// the writer's clock.
type leaseReader struct {
	table    provider.Table
	observed map[string]observedLease
}

type observedLease struct {
	version   uint64
	changedAt time.Time
}

// list returns the leases that this process has seen renewed within expiry.
func (l *leaseReader) list(ctx context.Context, expiry time.Duration) ([]leaseValue, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	tableReads.Inc()
	rows, err := l.table.List(ctx, leaseKeyPrefix)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.Unknown, "list leases", strings.TrimSuffix(leaseKeyPrefix, "/"))
	}
	now := time.Now()
	observed := make(map[string]observedLease, len(rows))
	var current []leaseValue
	for _, row := range rows {
		last, ok := l.observed[row.Key]
		if !ok || last.version != row.Version {
			last = observedLease{version: row.Version, changedAt: now}
		}
		observed[row.Key] = last
		var value leaseValue
		if json.Unmarshal(row.Value, &value) == nil && now.Sub(last.changedAt) < expiry {
			current = append(current, value)
		}
	}
	l.observed = observed
	return current, nil
}
