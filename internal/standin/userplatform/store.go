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

// Row is a row of the store.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowID struct{ table, part, key string }

// Store is the metadata store.
type Store struct {
	mu      sync.Mutex
	rows    map[rowID]Row
	history []Row
	version uint64
	changed chan struct{}
	faults  Faults
	begun   time.Time
	// staleRows and staleVersion are what complete reads show during Faults.Stale.
	staleRows    map[rowID]Row
	staleVersion uint64
}

// Faults tells how the store misbehaves.
type Faults struct {
	// Down makes every call fail with 503.
	Down bool
	// Delay holds every answer back.
	Delay time.Duration
	// Lost is the share of transactions that are carried out and not answered,
	// Late after which time they are carried out, if their conditions still hold.
	Lost float64
	Late time.Duration
	// Stale makes complete reads show the rows of the time at which this began.
	Stale bool
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{rows: map[rowID]Row{}, changed: make(chan struct{}), begun: time.Now()}
}

// SetDown makes every call fail with 503, or ends that.
func (s *Store) SetDown(down bool) { s.SetFaults(Faults{Down: down}) }

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Stale && !s.faults.Stale {
		s.staleRows, s.staleVersion = maps.Clone(s.rows), s.version
	}
	s.faults = f
	s.signal()
}

// Put writes a row as the operator or a backend server does.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // only values of this package's callers
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(Row{Table: table, Key: key, Value: data})
	s.signal()
}

// Remove deletes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(Row{Table: table, Key: key, Removed: true})
	s.signal()
}

// Forget drops the history of changes.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.history = nil
	s.signal()
}

func (s *Store) set(r Row) {
	r.Ver = s.version
	id := rowID{r.Table, r.Part, r.Key}
	if r.Removed {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
}

func (s *Store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(faults.Delay)
	if faults.Down {
		http.Error(w, `{"error":"try later"}`, http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /rows-get":
		s.get(w, r)
	case "GET /rows-feed":
		s.feed(w, r)
	case "POST /rows-tx":
		s.transact(w, r, faults)
	default:
		http.NotFound(w, r)
	}
}

// lose carries a transaction out after a time and breaks the connection.
func (s *Store) lose(tx transaction, late time.Duration) {
	time.AfterFunc(late, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.commit(tx)
	})
	panic(http.ErrAbortHandler)
}

func (s *Store) answer(w http.ResponseWriter, status int, rows []Row) {
	s.answerAt(w, status, rows, s.version)
}

func (s *Store) answerAt(w http.ResponseWriter, status int, rows []Row, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "ver": version, "more_pages": false, "now_ms": time.Since(s.begun).Milliseconds(),
	})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []Row{}
	all, version := s.rows, s.version
	if s.faults.Stale {
		all, version = s.staleRows, s.staleVersion
	}
	for _, row := range all {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") &&
			(q.Get("to") == "" || row.Key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	s.answerAt(w, http.StatusOK, rows, version)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed := s.changed
		rows, gone := s.since(q.Get("table"), after)
		if gone || len(rows) > 0 || s.faults.Down {
			status := map[bool]int{true: http.StatusGone, false: http.StatusOK}[gone || s.faults.Down]
			s.answer(w, status, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			s.mu.Lock()
			s.answer(w, http.StatusOK, []Row{})
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns what changed after a version, and whether the history does not
// go back as far.
func (s *Store) since(table string, after uint64) ([]Row, bool) {
	latest := map[rowID]Row{}
	for _, row := range s.history {
		if row.Table == table && row.Ver > after {
			latest[rowID{row.Table, row.Part, row.Key}] = row
		}
	}
	gone := after < s.version && (len(s.history) == 0 || s.history[0].Ver > after+1)
	return slices.Collect(maps.Values(latest)), gone
}

// transaction is the body of a conditional write.
type transaction struct {
	Precondition []Row `json:"precondition"`
	Puts         []Row `json:"puts"`
	Deletes      []Row `json:"deletes"`
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request, faults Faults) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if rand.Float64() < faults.Lost {
		s.lose(tx, faults.Late)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.commit(tx) {
		s.answer(w, http.StatusPreconditionFailed, []Row{})
		return
	}
	s.answer(w, http.StatusOK, nil)
}

// commit carries a transaction out if its conditions hold. The caller holds the lock.
func (s *Store) commit(tx transaction) bool {
	for _, c := range tx.Precondition {
		if s.rows[rowID{c.Table, c.Part, c.Key}].Ver != c.Ver {
			return false
		}
	}
	s.version++
	for _, p := range tx.Puts {
		s.set(p)
	}
	for _, d := range tx.Deletes {
		d.Removed = true
		s.set(d)
	}
	s.signal()
	return true
}
