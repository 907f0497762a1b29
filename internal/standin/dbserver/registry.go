package dbserver

import (
	"bytes"
	"math/rand/v2"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/cluster"
)

// register adds a session unless its epoch is superseded or a connection limit
// is reached.
func (s *Server) register(c *session, home cluster.ProxyID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.status
	if !c.control && (c.epoch < status.Epoch || c.epoch == status.Epoch && status.Epoch > 0 && home != status.Home) {
		return supersededError(status.Home)
	}
	if !c.replication && s.atConnectionLimit(c.control) {
		return newError("53300", "too many connections")
	}
	s.lastProcessID++
	c.processID, c.secretKey = s.lastProcessID, rand.Uint32()
	s.sessions[c.processID] = c
	return nil
}

// atConnectionLimit reports whether no further connection of the kind is
// allowed. Control connections use the reserved ones first and then count
// against Config.Connections. The caller holds mu.
func (s *Server) atConnectionLimit(control bool) bool {
	dataSessions, controlSessions := s.countSessionsLocked(false), s.countSessionsLocked(true)
	if control {
		return dataSessions+controlSessions >= s.cfg.Connections+s.cfg.ControlConnections
	}
	return dataSessions+max(0, controlSessions-s.cfg.ControlConnections) >= s.cfg.Connections
}

func (s *Server) countSessionsLocked(control bool) int {
	n := 0
	for _, c := range s.sessions {
		if c.control == control && !c.replication {
			n++
		}
	}
	return n
}

// DataConnections returns the number of open data connections.
func (s *Server) DataConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countSessionsLocked(false)
}

func (s *Server) unregister(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, c.processID)
}

// cancelRequest cancels the running statement of the session with the given
// process ID and secret key.
func (s *Server) cancelRequest(m *pgproto3.CancelRequest) {
	s.mu.Lock()
	c := s.sessions[m.ProcessID]
	s.mu.Unlock()
	if c == nil || !bytes.Equal(secretKeyBytes(c.secretKey), m.SecretKey) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelStatement != nil {
		c.cancelStatement(errCanceled)
	}
}
