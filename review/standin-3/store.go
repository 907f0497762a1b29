//go:build review

package main

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/standin/userplatform"
)

const (
	// copyInterval is the time between two copies of the store, and historyTime the time for
	// which it keeps its changes and copies.
	copyInterval = 100 * time.Millisecond
	historyTime  = 20 * time.Second
)

type rowID struct{ table, part, key string }

// change is one change of a row, at the version of its row.
type change struct {
	row userplatform.Row
	at  time.Time
}

// backup is the state of the store at a time.
type backup struct {
	at      time.Time
	version uint64
	rows    map[rowID]userplatform.Row
	changes []change
}

// store is the platform's metadata store. Unlike that of package userplatform it can come
// back from a copy that is some seconds old.
type store struct {
	mu      sync.Mutex
	started time.Time
	era     int
	version uint64
	rows    map[rowID]userplatform.Row
	changes []change
	// truncatedAt is the newest version whose changes are no longer kept.
	truncatedAt uint64
	away        bool
	changed     chan struct{}
	backups     []backup
	// others holds the rows that the operator and the backend servers have written last.
	others map[rowID][]byte
}

func newStore() *store {
	s := &store{started: time.Now(), era: 1, rows: map[rowID]userplatform.Row{}, changed: make(chan struct{}), others: map[rowID][]byte{}}
	go func() {
		for range time.Tick(copyInterval) {
			s.backup()
		}
	}()
	return s
}

func (s *store) backup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return
	}
	oldest := time.Now().Add(-historyTime)
	s.backups = slices.DeleteFunc(s.backups, func(b backup) bool { return b.at.Before(oldest) })
	for len(s.changes) > 0 && s.changes[0].at.Before(oldest) {
		s.truncatedAt = s.changes[0].row.Version
		s.changes = s.changes[1:]
	}
	s.backups = append(s.backups, backup{time.Now(), s.version, maps.Clone(s.rows), slices.Clone(s.changes)})
}

// write applies rows at a new version. The caller holds mu.
func (s *store) write(rows ...userplatform.Row) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		id := rowID{r.Table, r.Partition, r.Key}
		if r.Removed {
			delete(s.rows, id)
		} else {
			s.rows[id] = r
		}
		s.changes = append(s.changes, change{r, time.Now()})
	}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a row as the operator or a backend server does. While the store is away, the row
// is written at its return.
func (s *store) set(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others[rowID{table, "", key}] = value
	if !s.away {
		s.write(userplatform.Row{Table: table, Key: key, Value: value})
	}
}

// remove removes a row of the operator or a backend server.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.others, rowID{table, "", key})
	if !s.away {
		s.write(userplatform.Row{Table: table, Key: key, Removed: true})
	}
}

// mirror copies the entries of the backend servers of a group, which the stand-in of the
// group writes to a store of its own.
func (s *store) mirror(source *userplatform.Store) {
	for range time.Tick(5 * time.Millisecond) {
		listed := map[rowID]bool{}
		for _, r := range source.Rows() {
			id := rowID{r.Table, r.Partition, r.Key}
			listed[id] = true
			if value, ok := s.other(id); !ok || string(value) != string(r.Value) {
				record("store: servers/%s = %s", r.Key, r.Value)
				s.set(r.Table, r.Key, r.Value)
			}
		}
		for _, id := range s.otherIDs() {
			if id.table == "servers" && !listed[id] {
				record("store: servers/%s removed", id.key)
				s.remove(id.table, id.key)
			}
		}
	}
}

func (s *store) other(id rowID) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.others[id]
	return value, ok
}

func (s *store) otherIDs() []rowID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.others))
}

// row returns the value of a row of the system.
func (s *store) row(table, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[rowID{table, "", key}]
	return r.Value, ok
}

// drill takes the store away for a moment and brings it back from the newest copy that is at
// least age old. What the operator and the backend servers have written is written again.
func (s *store) drill(age, away time.Duration) {
	s.mu.Lock()
	s.away = true
	lost := s.version
	s.notify()
	left := time.Now()
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.backups) - 1
	for i > 0 && left.Sub(s.backups[i].at) < age {
		i--
	}
	b := s.backups[i]
	s.version, s.rows, s.changes = b.version, maps.Clone(b.rows), slices.Clone(b.changes)
	s.backups, s.away = s.backups[:i+1], false
	s.era++
	for id := range s.rows {
		if _, ok := s.others[id]; !ok && (id.table == "op" || id.table == "servers") {
			s.write(userplatform.Row{Table: id.table, Key: id.key, Removed: true})
		}
	}
	for id, value := range s.others {
		s.write(userplatform.Row{Table: id.table, Key: id.key, Value: value})
	}
	s.notify()
	record("drill: the store was away for %v and is back from a copy that was %v old: version %d, then %d, and %d after the operator and the servers have written again",
		away, left.Sub(b.at).Round(time.Millisecond), lost, b.version, s.version)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	away := s.away
	s.mu.Unlock()
	if away {
		http.Error(w, "away", http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /rows-get":
		s.serveGet(w, r)
	case "GET /rows-feed":
		s.serveFeed(w, r)
	case "POST /rows-tx":
		s.serveTransaction(w, r)
	default:
		http.NotFound(w, r)
	}
}

// reply writes a response. The caller holds mu.
func (s *store) reply(w http.ResponseWriter, status int, rows []userplatform.Row) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.WriteHeader(status)
	if rows == nil {
		rows = []userplatform.Row{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "ver": s.version, "more_pages": false, "now_ms": time.Since(s.started).Milliseconds(),
	})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []userplatform.Row
	for id, row := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b userplatform.Row) int { return cmp.Compare(a.Key, b.Key) })
	s.reply(w, http.StatusOK, rows)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	for {
		if s.away || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // the connection ends with the store
		}
		if after > s.version || after < s.truncatedAt {
			s.reply(w, http.StatusGone, nil)
			break
		}
		if rows := s.changesAfter(q.Get("table"), after); len(rows) > 0 {
			s.reply(w, http.StatusOK, rows)
			break
		}
		changed := s.changed
		s.mu.Unlock()
		expired := false
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
		if expired && !s.away && s.era == era {
			s.reply(w, http.StatusOK, nil)
			break
		}
	}
	s.mu.Unlock()
}

// changesAfter returns the last change of each row of a table after a version, in order. The
// caller holds mu.
func (s *store) changesAfter(table string, after uint64) []userplatform.Row {
	latest := map[rowID]userplatform.Row{}
	for _, c := range s.changes {
		if c.row.Table == table && c.row.Version > after {
			latest[rowID{c.row.Table, c.row.Partition, c.row.Key}] = c.row
		}
	}
	return slices.SortedFunc(maps.Values(latest), func(a, b userplatform.Row) int { return cmp.Compare(a.Version, b.Version) })
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Precondition, Puts, Deletes []userplatform.Row
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1e6)).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		http.Error(w, "away", http.StatusServiceUnavailable)
		return
	}
	var current []userplatform.Row
	holds := true
	for _, c := range tx.Precondition {
		row := s.rows[rowID{c.Table, c.Partition, c.Key}]
		if row.Version != 0 {
			current = append(current, row)
		}
		holds = holds && row.Version == c.Version
	}
	if !holds {
		s.reply(w, http.StatusPreconditionFailed, current)
		return
	}
	rows := slices.Clone(tx.Puts)
	for _, d := range tx.Deletes {
		d.Removed = true
		rows = append(rows, d)
	}
	s.write(rows...)
	s.reply(w, http.StatusOK, nil)
}
