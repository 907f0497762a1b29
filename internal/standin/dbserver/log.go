package dbserver

import (
	"context"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// logRecord is a committed transaction. A record without commands starts a term.
type logRecord struct {
	Term       cluster.Term `json:"term"`
	Commands   []command    `json:"commands,omitempty"`
	receivedAt time.Time
}

// appendCommitted appends the transaction that the engine has just committed to
// the log.
func (s *Server) appendCommitted(commands []command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendCommittedLocked(commands)
}

func (s *Server) appendCommittedLocked(commands []command) {
	s.appendRecord(logRecord{Term: s.status.Term, Commands: commands})
	s.replayed = len(s.log)
	s.notify()
}

// appendRecord appends r to the log and the journal. The caller holds mu.
func (s *Server) appendRecord(r logRecord) {
	r.receivedAt = time.Now()
	s.log = append(s.log, r)
	s.journal.write(journalEntry{Record: &r})
}

// commit commits transaction t of session c unless writes are no longer allowed.
// It holds mu from that check until the record is in the log.
func (s *Server) commit(ctx context.Context, c *session, t *transaction) error {
	if len(t.commands) == 0 {
		return t.failure
	}
	locked := false
	defer func() {
		if locked {
			s.mu.Unlock()
		}
	}()
	checkAllowed := func() error {
		s.mu.Lock()
		locked = true
		return s.checkWritable(c)
	}
	return s.engine.commit(ctx, t, checkAllowed, s.appendCommittedLocked)
}

// replayLoop replays received records after the replay lag.
func (s *Server) replayLoop() {
	for s.ctx.Err() == nil {
		wait, changed := s.replayNext()
		if wait == 0 {
			continue
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
		case <-s.ctx.Done():
		}
		timer.Stop()
	}
}

// replayIdleWait is the wait for a change when there is nothing to replay.
const replayIdleWait = time.Minute

// replayNext replays the next record if it is due and then returns 0. Otherwise
// it returns the time to wait and a channel that is closed on the next change.
func (s *Server) replayNext() (time.Duration, <-chan struct{}) {
	if s.engine.acquireWriter(s.ctx) != nil {
		return replayIdleWait, nil
	}
	defer s.engine.releaseWriter()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replayed == len(s.log) {
		return replayIdleWait, s.changed
	}
	next := s.log[s.replayed]
	due := next.receivedAt.Add(s.faults.replayLag)
	if wait := time.Until(due); wait > 0 && !s.faults.catchUp {
		return wait, s.changed
	}
	if err := s.engine.apply(next.Commands); err != nil {
		eventReplayFailed.Log(&s.cfg.Log).Str("server", string(s.cfg.ID)).Err(err).Send()
		return replayIdleWait, s.changed
	}
	s.replayed++
	s.notify()
	return 0, nil
}

// truncate removes the records from offset on. If any of them was replayed, it
// rebuilds the database from the rest. The caller holds the writer lock and mu.
func (s *Server) truncate(offset int) error {
	rebuildRows := s.replayed > offset
	s.log = s.log[:offset]
	s.journal.write(journalEntry{Truncate: &offset})
	if !rebuildRows {
		return nil
	}
	if err := s.engine.reset(); err != nil {
		return err
	}
	s.replayed = 0
	for _, r := range s.log {
		if err := s.engine.apply(r.Commands); err != nil {
			return err
		}
		s.replayed++
	}
	return nil
}
