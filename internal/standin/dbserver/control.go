package dbserver

import (
	"context"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/pgwire/back"
)

func refusedError(format string, args ...any) error {
	return newError(back.SQLStateRefused, format, args...)
}

// claim records that home has claimed epoch and terminates the data connections
// of lower epochs. It fails if a higher epoch was claimed before, or the same
// epoch by another home.
func (s *Server) claim(epoch cluster.Epoch, home cluster.ProxyID) (cluster.ServerStatus, error) {
	s.mu.Lock()
	status := s.status
	if epoch < status.Epoch || epoch == status.Epoch && home != status.Home {
		defer s.mu.Unlock()
		return s.statusLocked(), &serverError{code: back.SQLStateSuperseded, message: "a higher epoch is claimed", detail: string(status.Home)}
	}
	s.status.Epoch, s.status.Home = epoch, home
	s.saveState()
	var superseded []*session
	for pid, c := range s.sessions {
		if !c.control && c.epoch < epoch {
			superseded = append(superseded, c)
			delete(s.sessions, pid) // no longer counts against the connection limit
		}
	}
	s.mu.Unlock()
	for _, c := range superseded {
		c.terminate(supersededError(home))
	}
	return s.Status(), nil
}

func supersededError(home cluster.ProxyID) *serverError {
	return &serverError{code: back.SQLStateSuperseded, message: "another home claimed a higher epoch", detail: string(home), fatal: true}
}

// seal moves the server to term on behalf of holder, which stops writes and
// replication of lower terms. Only holder can promote the server at term.
func (s *Server) seal(term cluster.Term, holder string) (cluster.ServerStatus, error) {
	s.mu.Lock()
	status := s.status
	if term < status.Term || term == status.Term && (status.SealHolder != holder || holder == "") {
		defer s.mu.Unlock()
		return s.statusLocked(), refusedError("term %d is accepted from %q", status.Term, status.SealHolder)
	}
	if term > status.Term {
		s.status.Term, s.status.SealHolder = term, holder
		s.status.Role, s.status.Leader = cluster.RoleSealed, ""
		s.stopFollowing()
		s.faults.catchUp = false
		s.saveState()
		s.notify()
	}
	s.mu.Unlock()
	s.abortWriteTransactions()
	return s.Status(), nil
}

// promote makes a server that holder sealed at term the primary of the term,
// once the server has replayed all records that it received.
func (s *Server) promote(ctx context.Context, term cluster.Term, holder string) (cluster.ServerStatus, error) {
	if err := s.checkPromotable(term, holder); err != nil {
		return s.Status(), err
	}
	for {
		s.mu.Lock()
		if s.status.Term == term && s.status.Role == cluster.RolePrimary {
			defer s.mu.Unlock()
			return s.statusLocked(), nil
		}
		if s.status.Term != term || s.status.Role != cluster.RoleSealed {
			defer s.mu.Unlock()
			return s.statusLocked(), refusedError("no longer sealed at term %d", term)
		}
		if s.replayed == len(s.log) {
			s.beginTerm()
			defer s.mu.Unlock()
			return s.statusLocked(), nil
		}
		s.faults.catchUp = true
		changed := s.changed
		s.notify()
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return s.Status(), ctx.Err()
		}
	}
}

func (s *Server) checkPromotable(term cluster.Term, holder string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.status.Term != term || s.status.SealHolder != holder || holder == "" {
		return refusedError("not sealed at term %d by %q", term, holder)
	}
	return nil
}

// beginTerm makes the server the primary and starts its term with an empty log
// record. The caller holds mu.
func (s *Server) beginTerm() {
	s.status.Role = cluster.RolePrimary
	s.status.Leader = s.cfg.ID
	s.saveState()
	s.appendRecord(logRecord{Term: s.status.Term})
	s.replayed = len(s.log)
	s.faults.catchUp = false
	s.notify()
}

// follow makes the server a replica of leader at term, unless it has seen a
// higher term or is itself the primary of the term.
func (s *Server) follow(term cluster.Term, leader cluster.Server) (cluster.ServerStatus, error) {
	s.mu.Lock()
	status := s.status
	isSelf := leader.ID == s.cfg.ID
	isPrimary := status.Role == cluster.RolePrimary && status.Term == term
	switch {
	case isSelf && isPrimary:
		defer s.mu.Unlock()
		return s.statusLocked(), nil
	case isSelf || isPrimary || term < status.Term:
		defer s.mu.Unlock()
		return s.statusLocked(), refusedError("cannot follow %s at term %d", leader.ID, term)
	case term > status.Term:
		s.status.Term, s.status.SealHolder = term, ""
	}
	s.status.Role, s.status.Leader = cluster.RoleReplica, leader.ID
	if s.stopFollow == nil || s.leader.Address != leader.Address || term > status.Term {
		s.startFollowing(term, leader)
	}
	s.faults.catchUp = false
	s.saveState()
	s.notify()
	s.mu.Unlock()
	s.abortWriteTransactions()
	return s.Status(), nil
}

// checkWritable returns an error if the server is not the primary or if the
// session belongs to an epoch that was superseded. The caller holds mu.
func (s *Server) checkWritable(c *session) error {
	if s.status.Role != cluster.RolePrimary {
		return newError(back.SQLStateReadOnly, "cannot execute writes on a %s server", s.status.Role)
	}
	if !c.control && c.epoch < s.status.Epoch {
		return supersededError(s.status.Home)
	}
	return nil
}

// abortWriteTransactions aborts all open write transactions after the server
// has stopped being the primary.
func (s *Server) abortWriteTransactions() {
	s.mu.Lock()
	var sessions []*session
	for _, c := range s.sessions {
		sessions = append(sessions, c)
	}
	s.mu.Unlock()
	for _, c := range sessions {
		c.abortWrite(newError(back.SQLStateReadOnly, "the server is not primary any more; the transaction was rolled back"))
	}
}
