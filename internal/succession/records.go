package succession

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/duty"
	"github.com/rattancove/rattancove/internal/provider"
)

const (
	// recordKeyPrefix is the prefix of the keys of all records.
	recordKeyPrefix = "group/"
	// maxRecordBatch is the maximum number of records that are written in one transaction.
	maxRecordBatch = provider.MaxWrites
	// recordTimeout limits one call to the table service.
	recordTimeout = time.Second
)

// Record is the state of a group that the next lease holder needs. It is kept in the
// table service.
type Record struct {
	// Members are the servers that may hold acknowledged writes; see Membership.
	Members []Member `json:"members"`
	// Promoting is the server whose promotion the lease holder with Token is about to
	// request; empty if none can take effect any more.
	Promoting cluster.ServerID `json:"promoting,omitempty"`
	Token     duty.Token       `json:"token"`
	// Call tells what is known of the calls to promote that server.
	Call PromotionCall `json:"call,omitzero"`
	// ReplaySwitchover is the Unix time in milliseconds of the last switchover because of
	// late replay; zero if there was none.
	ReplaySwitchover int64 `json:"replay_switchover_ms,omitempty"`
	// SteppedDown is the last primary that has stepped down, until there may be another.
	SteppedDown SteppedDown `json:"stepped_down,omitzero"`
	// Era is the era of the table service up to which the record is complete. It is zero in
	// records of earlier versions.
	Era uint64 `json:"era,omitempty"`
}

// outdated reports whether later records may have been lost: the table service has come
// back from a copy since the record, which was read with a version, was written.
func (r Record) outdated(version uint64) bool {
	return r.Era != 0 && r.Era != provider.EraOf(version)
}

// sameAs reports whether two records state the same. Whoever wrote them matters only while
// they name a server to promote.
func (r Record) sameAs(other Record) bool {
	if r.Promoting != "" && r.Token != other.Token {
		return false
	}
	return r.Era == other.Era && r.Promoting == other.Promoting && r.Call == other.Call && r.ReplaySwitchover == other.ReplaySwitchover &&
		r.SteppedDown == other.SteppedDown && slices.Equal(r.Members, other.Members)
}

// recordStore reads and writes the records of all groups. Writes that are requested
// at the same time share a transaction.
type recordStore struct {
	table   provider.Table
	log     *zerolog.Logger
	wakeups chan struct{}

	mu sync.Mutex
	// listed holds the records of groups that have not been read since reset, nil
	// until they have been listed; versions holds the versions of the others.
	listed   map[cluster.GroupName]provider.Row
	versions map[cluster.GroupName]uint64
	queue    []recordWrite
	// listing holds a token while the records are listed.
	listing chan struct{}
}

// recordWrite is a queued write; result receives its outcome.
type recordWrite struct {
	group  cluster.GroupName
	write  provider.Write
	result chan error
}

func newRecordStore(table provider.Table, log *zerolog.Logger) *recordStore {
	return &recordStore{table: table, log: log, wakeups: make(chan struct{}, 1), listing: make(chan struct{}, 1), versions: map[cluster.GroupName]uint64{}}
}

// reset makes the next read of each group a new one. It is called when the lease was
// acquired, since an earlier holder may have written meanwhile.
func (s *recordStore) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed, s.versions = nil, map[cluster.GroupName]uint64{}
}

// readRecord is a record as it was read.
type readRecord struct {
	Record
	// outdated is set if later records may have been lost.
	outdated bool
}

// read returns the record of a group, which is empty if there is none.
func (s *recordStore) read(ctx context.Context, group cluster.GroupName) (readRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	row, err := s.readRow(ctx, group)
	if err != nil {
		return readRecord{}, err
	}
	s.mu.Lock()
	s.versions[group] = row.Version
	s.mu.Unlock()
	var r readRecord
	if row.Version == 0 {
		return r, nil
	}
	if err := json.Unmarshal(row.Value, &r.Record); err != nil {
		eventRecordUnreadable.Log(s.log).Str("group", string(group)).Uint64("version", row.Version).Err(err).Send()
		return readRecord{}, nil
	}
	slices.SortFunc(r.Members, compareMembers)
	r.outdated = r.Record.outdated(row.Version)
	return r, nil
}

// readRow reads a row: the first time after reset from a list of all, and then alone.
func (s *recordStore) readRow(ctx context.Context, group cluster.GroupName) (provider.Row, error) {
	s.mu.Lock()
	_, readBefore := s.versions[group]
	s.mu.Unlock()
	if !readBefore {
		if err := s.list(ctx); err != nil {
			return provider.Row{}, err
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		row := s.listed[group]
		delete(s.listed, group)
		return row, nil
	}
	row, err := s.table.Get(ctx, recordKeyPrefix+string(group))
	if errors.Is(err, provider.ErrNotFound) {
		return provider.Row{}, nil
	}
	return row, eris.Wrap(err, "read record of group")
}

func (s *recordStore) list(ctx context.Context) error {
	select {
	case s.listing <- struct{}{}:
		defer func() { <-s.listing }()
	case <-ctx.Done():
		return ctx.Err()
	}
	s.mu.Lock()
	done := s.listed != nil
	s.mu.Unlock()
	if done {
		return nil
	}
	rows, err := s.table.List(ctx, recordKeyPrefix)
	if err != nil {
		return eris.Wrap(err, "list records of groups")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = make(map[cluster.GroupName]provider.Row, len(rows))
	for _, row := range rows {
		s.listed[cluster.GroupName(strings.TrimPrefix(row.Key, recordKeyPrefix))] = row
	}
	return nil
}

// save writes a record in place of the one that was last read or written. After an
// error, the record must be read again: the write may have taken effect, or another
// process may have written the record.
func (s *recordStore) save(ctx context.Context, group cluster.GroupName, r Record) error {
	data, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "encode record of group")
	}
	w := recordWrite{group: group, result: make(chan error, 1)}
	s.mu.Lock()
	if err := ctx.Err(); err != nil { // checked under mu, since reset may have replaced the versions
		s.mu.Unlock()
		return err
	}
	w.write = provider.Write{Key: recordKeyPrefix + string(group), IfVersion: s.versions[group], Value: data}
	s.queue = append(s.queue, w)
	s.mu.Unlock()
	select {
	case s.wakeups <- struct{}{}:
	default:
	}
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run executes queued writes until ctx is done.
func (s *recordStore) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakeups:
		}
		for batch := s.nextBatch(); len(batch) > 0; batch = s.nextBatch() {
			err := s.commit(ctx, batch)
			if errors.Is(err, provider.ErrConflict) && len(batch) > 1 {
				for _, w := range batch { // only some of the rows were changed by others
					w.result <- s.commit(ctx, []recordWrite{w})
				}
				continue
			}
			for _, w := range batch {
				w.result <- err
			}
		}
	}
}

func (s *recordStore) nextBatch() []recordWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queue), maxRecordBatch)
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	return batch
}

func (s *recordStore) commit(ctx context.Context, batch []recordWrite) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	writes := make([]provider.Write, 0, len(batch))
	for _, w := range batch {
		writes = append(writes, w.write)
	}
	versions, err := s.table.Commit(ctx, writes...)
	if err != nil {
		return eris.Wrap(err, "write records of groups")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range batch {
		s.versions[w.group] = versions[i]
	}
	return nil
}
