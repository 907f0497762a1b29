package userplatform

import (
	"encoding/json"
	"maps"
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
	down    bool
	begun   time.Time
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{rows: map[rowID]Row{}, changed: make(chan struct{}), begun: time.Now()}
}

// SetDown makes every call fail with 503, or ends that.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
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
	down := s.down
	s.mu.Unlock()
	if down {
		http.Error(w, `{"error":"try later"}`, http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /rows-get":
		s.get(w, r)
	case "GET /rows-feed":
		s.feed(w, r)
	case "POST /rows-tx":
		s.transact(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) answer(w http.ResponseWriter, status int, rows []Row) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "ver": s.version, "more_pages": false, "now_ms": time.Since(s.begun).Milliseconds(),
	})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []Row{}
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") &&
			(q.Get("to") == "" || row.Key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return map[bool]int{true: -1, false: 1}[a.Key < b.Key] })
	s.answer(w, http.StatusOK, rows)
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
		if gone || len(rows) > 0 || s.down {
			status := map[bool]int{true: http.StatusGone, false: http.StatusOK}[gone || s.down]
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

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Precondition []Row `json:"precondition"`
		Puts         []Row `json:"puts"`
		Deletes      []Row `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range tx.Precondition {
		if s.rows[rowID{c.Table, c.Part, c.Key}].Ver != c.Ver {
			s.answer(w, http.StatusPreconditionFailed, []Row{})
			return
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
	s.answer(w, http.StatusOK, nil)
}
