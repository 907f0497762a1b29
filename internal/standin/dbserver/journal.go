package dbserver

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/cluster"
)

const journalFileName = "journal.jsonl"

// journalEntry is one line of the journal. Exactly one field is set.
type journalEntry struct {
	State    *persistedState `json:"state,omitempty"`
	Record   *logRecord      `json:"record,omitempty"`
	Truncate *int            `json:"truncate,omitempty"`
}

// persistedState is the state that a server persists in addition to its log.
type persistedState struct {
	Status cluster.ServerStatus `json:"status"`
	Leader cluster.Server       `json:"leader"`
}

// journal is a file that persists the log and the state of a server across
// restarts. A nil journal discards all writes. It is guarded by the server's mu.
type journal struct {
	file *os.File
}

// openJournal returns the entries of an earlier run and the journal, open for
// appending.
func openJournal(dir string) ([]journalEntry, *journal, error) {
	path := filepath.Join(dir, journalFileName)
	entries, err := readJournal(path)
	if err != nil {
		return nil, nil, err
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return entries, &journal{file: file}, eris.Wrap(err, "open journal")
}

// readJournal reads all entries up to the end of the file or up to a last line
// that a crash truncated.
func readJournal(path string) ([]journalEntry, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read journal")
	}
	defer func() { _ = file.Close() }()
	var entries []journalEntry
	decoder := json.NewDecoder(bufio.NewReader(file))
	for {
		var e journalEntry
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return entries, nil
		}
		if err != nil {
			return nil, eris.Wrap(err, "read journal")
		}
		entries = append(entries, e)
	}
}

func (j *journal) write(e journalEntry) {
	if j == nil {
		return
	}
	line, _ := json.Marshal(e)
	_, _ = j.file.Write(append(line, '\n'))
}

func (j *journal) close() {
	if j != nil {
		_ = j.file.Close()
	}
}

// saveState writes the state to the journal and logs the change. The caller holds mu.
func (s *Server) saveState() {
	eventRoleChanged.Log(&s.cfg.Log).Str("server", string(s.cfg.ID)).Str("role", string(s.status.Role)).
		Uint64("term", uint64(s.status.Term)).Uint64("epoch", uint64(s.status.Epoch)).Send()
	s.journal.write(journalEntry{State: &persistedState{Status: s.status, Leader: s.leader}})
}

// restore restores the state and the log of an earlier run from the journal. It
// reports whether the journal had any state.
func (s *Server) restore(entries []journalEntry) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hasState := false
	for _, e := range entries {
		switch {
		case e.State != nil:
			s.status, s.leader = e.State.Status, e.State.Leader
			hasState = true
		case e.Record != nil:
			s.log = append(s.log, *e.Record)
		case e.Truncate != nil:
			s.log = s.log[:*e.Truncate]
		}
	}
	if !hasState {
		return false, nil
	}
	for _, r := range s.log {
		if err := s.engine.apply(r.Commands); err != nil {
			return true, err
		}
	}
	s.replayed = len(s.log)
	if s.status.Role == cluster.RoleReplica {
		s.startFollowing(s.status.Term, s.leader)
	}
	return true, nil
}
