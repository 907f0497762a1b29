package failover

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/provider"
)

const (
	// rowPrefix is the prefix of the keys of failover rows.
	rowPrefix = "failover/"
	// intentTimeout limits the write of an intent. After it, the failover continues
	// without the table service.
	intentTimeout = 300 * time.Millisecond
	// intentValidity is how long another warden's intent blocks this one.
	intentValidity   = 3 * time.Second
	maxRecordsPerRow = 20
	recordTimeout    = 2 * time.Second
	// recordRetryInterval is the interval between attempts to write pending records.
	recordRetryInterval = 10 * time.Second
	// maxPendingRecords limits the records that wait to be written to the table service;
	// the oldest are dropped.
	maxPendingRecords = 1000
)

// IntentOutcome is the response of the table service to an intent.
type IntentOutcome string

// Outcomes of an intent.
const (
	IntentNone IntentOutcome = ""
	// IntentGranted means that the intent has been written.
	IntentGranted IntentOutcome = "granted"
	// IntentConflict means that another warden has a recent intent or, for a promotion
	// without a majority, that another holder may have used the term.
	IntentConflict IntentOutcome = "conflict"
	// IntentUnreachable means that the table service did not respond in time.
	IntentUnreachable IntentOutcome = "unreachable"
)

// IntentResult is the result of the last call of DeclareIntent.
type IntentResult struct {
	Outcome IntentOutcome
	Holder  string
	// MaxTerm is the highest term of any intent that the row had held before the call.
	MaxTerm cluster.Term
}

// Intent declares an attempt to the other wardens.
type Intent struct {
	Term   cluster.Term `json:"term"`
	Holder string       `json:"holder"`
	// At is the holder's wall clock, for operators.
	At time.Time `json:"at"`
	// WithoutMajority declares a promotion without a majority, on which wardens are
	// coordinated by this row alone.
	WithoutMajority bool `json:"without_majority,omitempty"`
	// Done is set when the attempt is over.
	Done bool `json:"done"`
}

// row is the value of a group's failover row.
type row struct {
	Intent Intent `json:"intent"`
	// MaxTerm is the highest term of any intent that was written to the row.
	MaxTerm cluster.Term `json:"max_term"`
	Records []Record     `json:"records"`
}

// RecordStore persists intents and records in the table service. It is safe for
// concurrent use.
type RecordStore struct {
	table provider.Table

	mu       sync.Mutex
	observed map[cluster.GroupName]observedIntent
	pending  []Record
	// wake signals Run that a record is pending.
	wake chan struct{}
}

// observedIntent is another holder's intent and the time at which this process first
// observed it, since clocks of different VMs are not comparable.
type observedIntent struct {
	holder string
	at     time.Time
}

// NewRecordStore returns a RecordStore backed by table.
func NewRecordStore(table provider.Table) *RecordStore {
	return &RecordStore{table: table, observed: map[cluster.GroupName]observedIntent{}, wake: make(chan struct{}, 1)}
}

// RowKey returns the key of a group's failover row.
func RowKey(group cluster.GroupName) string { return rowPrefix + string(group) }

// DeclareIntent writes an intent unless another warden has a recent one, or unless the
// term of a promotion without a majority may have been used by another holder.
func (s *RecordStore) DeclareIntent(ctx context.Context, group cluster.GroupName, intent Intent) IntentResult {
	ctx, cancel := context.WithTimeout(ctx, intentTimeout)
	defer cancel()
	result := IntentResult{Holder: intent.Holder}
	value, version, err := s.read(ctx, group)
	if err != nil {
		result.Outcome = IntentUnreachable
		return result
	}
	result.MaxTerm = value.MaxTerm
	// A promotion without a majority requires a term that has never been granted to
	// another holder, because that holder may merely be paused.
	termUsed := intent.WithoutMajority && intent.Term <= value.MaxTerm && intent.Holder != value.Intent.Holder
	if termUsed || s.conflicts(group, value.Intent, intent.Holder) {
		result.Outcome = IntentConflict
		return result
	}
	value.Intent = intent
	value.MaxTerm = max(value.MaxTerm, intent.Term)
	err = s.write(ctx, group, version, value)
	switch {
	case err == nil:
		result.Outcome = IntentGranted
	case errors.Is(err, provider.ErrConflict):
		result.Outcome = IntentConflict
	default:
		result.Outcome = IntentUnreachable
	}
	return result
}

// conflicts reports whether the intent in the row prevents holder from acting.
func (s *RecordStore) conflicts(group cluster.GroupName, current Intent, holder string) bool {
	if current.Holder == "" || current.Done || WardenOf(current.Holder) == WardenOf(holder) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	observed := s.observed[group]
	if observed.holder != current.Holder {
		observed = observedIntent{holder: current.Holder, at: time.Now()}
		s.observed[group] = observed
	}
	return time.Since(observed.at) < intentValidity
}

// WardenOf returns the warden that created a holder name.
func WardenOf(holder string) string { return holder[:max(0, strings.LastIndexByte(holder, '/'))] }

// Enqueue queues a record to be written by Run.
func (s *RecordStore) Enqueue(r Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, r)
	if extra := len(s.pending) - maxPendingRecords; extra > 0 {
		s.pending = s.pending[extra:]
		recordsDropped.Add(extra)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Flush writes the pending records and returns the first error. Records that could
// not be written remain queued.
func (s *RecordStore) Flush(ctx context.Context) error {
	for {
		s.mu.Lock()
		if len(s.pending) == 0 {
			s.mu.Unlock()
			return nil
		}
		r := s.pending[0]
		s.mu.Unlock()
		if err := s.append(ctx, r); err != nil {
			return err
		}
		s.mu.Lock()
		if len(s.pending) > 0 && s.pending[0] == r {
			s.pending = s.pending[1:]
		}
		s.mu.Unlock()
	}
}

// append adds a record to its group's row and marks the record's intent as done. It is
// idempotent, because the response to an earlier attempt may have been lost.
func (s *RecordStore) append(ctx context.Context, r Record) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	value, version, err := s.read(ctx, r.Group)
	if err != nil {
		return err
	}
	for _, kept := range value.Records {
		if kept.describesSameEvent(r) {
			return nil
		}
	}
	value.Records = append(value.Records, r)
	if extra := len(value.Records) - maxRecordsPerRow; extra > 0 {
		value.Records = value.Records[extra:]
	}
	if value.Intent.Holder == r.Holder {
		value.Intent.Done = true
	}
	return s.write(ctx, r.Group, version, value)
}

// describesSameEvent reports whether two records describe the same event.
func (r Record) describesSameEvent(o Record) bool {
	return r.Term == o.Term && r.Holder == o.Holder && r.OldPrimary == o.OldPrimary && r.Position == o.Position
}

// Records returns the records of a group, oldest first.
func (s *RecordStore) Records(ctx context.Context, group cluster.GroupName) ([]Record, error) {
	value, _, err := s.read(ctx, group)
	return value.Records, err
}

func (s *RecordStore) read(ctx context.Context, group cluster.GroupName) (row, uint64, error) {
	var value row
	r, err := s.table.Get(ctx, RowKey(group))
	if errors.Is(err, provider.ErrNotFound) {
		return value, 0, nil
	}
	if err != nil {
		return value, 0, errcode.Wrap(err, errcode.Unknown, "read failover row", RowKey(group))
	}
	if json.Unmarshal(r.Value, &value) != nil {
		value = row{} // a malformed row is replaced
	}
	return value, r.Version, nil
}

func (s *RecordStore) write(ctx context.Context, group cluster.GroupName, version uint64, value row) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errcode.Wrap(err, errcode.Internal, "encode failover row", RowKey(group))
	}
	storeWrites.Inc()
	_, err = s.table.Commit(ctx, provider.Write{Key: RowKey(group), IfVersion: version, Value: data})
	if err != nil {
		return errcode.Wrap(err, errcode.Unknown, "write failover row", RowKey(group))
	}
	return nil
}

// Run writes pending records until ctx is done.
func (s *RecordStore) Run(ctx context.Context) error {
	ticker := time.NewTicker(recordRetryInterval)
	defer ticker.Stop()
	for {
		_ = s.Flush(ctx) // records that were not written remain queued
		select {
		case <-ticker.C:
		case <-s.wake:
		case <-ctx.Done():
			return nil
		}
	}
}
