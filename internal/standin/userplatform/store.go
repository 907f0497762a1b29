package userplatform

import (
	"cmp"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Row is a row of the store, or the removal of one.
type Row struct {
	Table     string `json:"table"`
	Partition string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"ver"`
	Removed   bool   `json:"removed,omitempty"`
}

type rowID struct{ table, partition, key string }

// Store is a simulated metadata store.
type Store struct {
	mu        sync.Mutex
	rows      map[rowID]Row
	history   []Row
	version   uint64
	changed   chan struct{}
	faults    Faults
	startedAt time.Time
	// era is one, and rises when the store comes back from a copy. away is set before.
	era  uint64
	away bool
	// staleRows and staleVersion are returned by full reads while Faults.Stale is
	// set.
	staleRows    map[rowID]Row
	staleVersion uint64
}

// Faults are the faults injected into the store.
type Faults struct {
	// Down makes every call fail with status 503, and feeds that are waiting when
	// it is set with status 410.
	Down bool
	// ResponseDelay delays every call.
	ResponseDelay time.Duration
	// LostResponseFraction is the fraction of transactions that get no response
	// although they are committed. They are committed after
	// LostResponseCommitDelay if their preconditions hold at that time.
	LostResponseFraction    float64
	LostResponseCommitDelay time.Duration
	// Stale makes full reads return the rows as of the time when Stale was set.
	Stale bool
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{rows: map[rowID]Row{}, changed: make(chan struct{}), startedAt: time.Now(), era: 1}
}

// Copy is the state of a Store at a time.
type Copy struct {
	rows    map[rowID]Row
	history []Row
	version uint64
}

// Copy returns a copy of the present state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{rows: maps.Clone(s.rows), history: slices.Clone(s.history), version: s.version}
}

// TakeAway makes every call fail with status 503 until Restore.
func (s *Store) TakeAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notify()
}

// Restore brings the store back from a copy in a new era. What was written since is lost, and
// its versions are given out again. The operator and the backend servers write their rows
// again, and remove those that they have removed since, in an arbitrary order.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.rows
	s.away = false
	s.rows, s.history, s.version = maps.Clone(c.rows), slices.Clone(c.history), c.version
	s.era++
	for id := range c.rows {
		if _, ok := before[id]; !ok && writtenByOthers(id) {
			s.version++
			s.applyRow(Row{Table: id.table, Partition: id.partition, Key: id.key, Removed: true})
		}
	}
	for id, row := range before {
		if writtenByOthers(id) {
			s.version++
			s.applyRow(row)
		}
	}
	if s.faults.Stale {
		s.staleRows, s.staleVersion = maps.Clone(s.rows), s.version
	}
	s.notify()
}

// writtenByOthers reports whether the operator or the backend servers write a row.
func writtenByOthers(id rowID) bool { return id.table == "op" || id.table == "servers" }

// Version returns the number of the last transaction.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// SetDown replaces the faults: if down, every call fails with status 503.
func (s *Store) SetDown(down bool) { s.SetFaults(Faults{Down: down}) }

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Stale && !s.faults.Stale {
		s.staleRows, s.staleVersion = maps.Clone(s.rows), s.version
	}
	s.faults = f
	s.notify()
}

// Put writes a row without a precondition, as the operator or a backend server does.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the callers of this package pass only values that can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.applyRow(Row{Table: table, Key: key, Value: data})
	s.notify()
}

// Remove deletes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.applyRow(Row{Table: table, Key: key, Removed: true})
	s.notify()
}

// DropHistory drops the history of changes, so that feeds from an earlier version
// get status 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.history = nil
	s.notify()
}

// Rows returns all rows.
func (s *Store) Rows() []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.rows))
}

func (s *Store) applyRow(r Row) {
	r.Version = s.version
	id := rowID{r.Table, r.Partition, r.Key}
	if r.Removed {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	faults.Down = faults.Down || s.away
	s.mu.Unlock()
	time.Sleep(faults.ResponseDelay)
	if faults.Down {
		s.mu.Lock()
		s.setEra(w)
		s.mu.Unlock()
		http.Error(w, `{"error":"try later"}`, http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /rows-get":
		s.handleGet(w, r)
	case "GET /rows-feed":
		s.handleFeed(w, r)
	case "POST /rows-tx":
		s.handleTransaction(w, r, faults)
	default:
		http.NotFound(w, r)
	}
}

// commitWithoutResponse schedules the commit of tx after delay and aborts the
// connection.
func (s *Store) commitWithoutResponse(tx transaction, delay time.Duration) {
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.commit(tx)
	})
	panic(http.ErrAbortHandler)
}

// setEra sets the header that every response has. The caller holds mu.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}

func (s *Store) writeRows(w http.ResponseWriter, status int, rows []Row) {
	s.writeRowsAt(w, status, rows, s.version)
}

func (s *Store) writeRowsAt(w http.ResponseWriter, status int, rows []Row, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	s.setEra(w)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "ver": version, "more_pages": false, "now_ms": time.Since(s.startedAt).Milliseconds(),
	})
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []Row{}
	all, version := s.rows, s.version
	if s.faults.Stale {
		all, version = s.staleRows, s.staleVersion
	}
	for _, row := range all {
		if row.Table == q.Get("table") && row.Partition == q.Get("part") && row.Key >= q.Get("from") &&
			(q.Get("to") == "" || row.Key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	s.writeRowsAt(w, http.StatusOK, rows, version)
}

func (s *Store) handleFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed := s.changed
		rows, truncated := s.changesSince(q.Get("table"), after)
		down := s.faults.Down || s.away
		if truncated || len(rows) > 0 || down {
			status := map[bool]int{true: http.StatusGone, false: http.StatusOK}[truncated || down]
			s.writeRows(w, status, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			s.mu.Lock()
			s.writeRows(w, http.StatusOK, []Row{})
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the latest change of each row after a version. The second
// result reports whether the history no longer goes back to that version.
func (s *Store) changesSince(table string, after uint64) ([]Row, bool) {
	latest := map[rowID]Row{}
	for _, row := range s.history {
		if row.Table == table && row.Version > after {
			latest[rowID{row.Table, row.Partition, row.Key}] = row
		}
	}
	truncated := after > s.version || after < s.version && (len(s.history) == 0 || s.history[0].Version > after+1)
	return slices.Collect(maps.Values(latest)), truncated
}

// transaction is the request body of a conditional write.
type transaction struct {
	Precondition []Row `json:"precondition"`
	Puts         []Row `json:"puts"`
	Deletes      []Row `json:"deletes"`
}

// Limits of a transaction. Preconditions, puts and deletes are entries.
const (
	maxTransactionEntries = 100
	maxTransactionBytes   = 1e6
)

func (s *Store) handleTransaction(w http.ResponseWriter, r *http.Request, faults Faults) {
	var tx transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTransactionBytes)).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(tx.Precondition)+len(tx.Puts)+len(tx.Deletes) > maxTransactionEntries {
		http.Error(w, "too many entries", http.StatusBadRequest)
		return
	}
	if rand.Float64() < faults.LostResponseFraction {
		s.commitWithoutResponse(tx, faults.LostResponseCommitDelay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.commit(tx) {
		s.writeRows(w, http.StatusPreconditionFailed, []Row{})
		return
	}
	s.writeRows(w, http.StatusOK, nil)
}

// commit applies a transaction if its preconditions hold, and reports whether they
// do. The caller holds mu.
func (s *Store) commit(tx transaction) bool {
	for _, condition := range tx.Precondition {
		if s.rows[rowID{condition.Table, condition.Partition, condition.Key}].Version != condition.Version {
			return false
		}
	}
	s.version++
	for _, put := range tx.Puts {
		s.applyRow(put)
	}
	for _, row := range tx.Deletes {
		row.Removed = true
		s.applyRow(row)
	}
	s.notify()
	return true
}
