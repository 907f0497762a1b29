package backendtest

import (
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
)

type write struct{ key, value string }

type logRecord struct {
	position cluster.Position
	writes   []write
	orderID  string
	response string
	received time.Time
}

// server is one backend server. The group's mutex guards every field.
type server struct {
	group      *Group
	spec       cluster.Server
	role       cluster.Role
	term       cluster.Term
	sealHolder string
	leader     cluster.ServerID
	log        []logRecord
	// primaryUntil is the time at which the server was last sealed as the primary.
	primaryUntil time.Time
	// termStart is the position at which the server became primary.
	termStart cluster.Position
	replayLag time.Duration
	// visibleRecords is the number of records that have become visible to reads. An
	// increase of the lag does not hide them again.
	visibleRecords int
	claim          backend.Claim

	down            bool
	suspended       chan struct{}
	responsesToLose int
	conns           map[*conn]bool
	slots           chan struct{}
	busy            int
	usage           Usage
}

func newServer(g *Group, spec cluster.Server) *server {
	return &server{
		group: g, spec: spec, role: cluster.RoleReplica, term: 1, replayLag: g.cfg.ReplayLag,
		conns: map[*conn]bool{}, slots: make(chan struct{}, spec.Slots),
	}
}

func (s *server) status() cluster.ServerStatus {
	return cluster.ServerStatus{
		Server: s.spec.ID, Role: s.role, Term: s.term, SealHolder: s.sealHolder, Leader: s.leader,
		TermStart: s.reportedTermStart(), Received: s.received(), Replayed: s.positionAt(s.replayedRecords()), Epoch: s.claim.Epoch, Home: s.claim.Home,
	}
}

func (s *server) reportedTermStart() cluster.Position {
	if s.role != cluster.RolePrimary {
		return cluster.Position{}
	}
	return s.termStart
}

func (s *server) received() cluster.Position { return s.positionAt(len(s.log)) }

func (s *server) positionAt(n int) cluster.Position {
	if n == 0 {
		return cluster.Position{Term: 1}
	}
	return s.log[n-1].position
}

// replayedRecords returns the number of log records visible to reads.
func (s *server) replayedRecords() int {
	if s.role == cluster.RolePrimary {
		s.visibleRecords = len(s.log)
		return s.visibleRecords
	}
	n := len(s.log)
	now := time.Now()
	for n > s.visibleRecords && now.Sub(s.log[n-1].received) < s.replayLag {
		n--
	}
	s.visibleRecords = n
	return n
}

func (s *server) get(key string) string {
	for i := s.replayedRecords() - 1; i >= 0; i-- {
		for _, w := range s.log[i].writes {
			if w.key == key {
				return w.value
			}
		}
	}
	return ""
}

func (s *server) findOrder(id string) (logRecord, bool) {
	for _, r := range s.log {
		if r.orderID == id {
			return r, true
		}
	}
	return logRecord{}, false
}

func (s *server) append(writes []write, orderID, response string) {
	p := cluster.Position{Term: s.term, Offset: uint64(len(s.log) + 1)}
	s.log = append(s.log, logRecord{position: p, writes: writes, orderID: orderID, response: response, received: time.Now()})
	s.group.scheduleReplication()
}

// replicate discards the records that the leader does not have and copies those that
// this replica lacks.
func (s *server) replicate() {
	leader := s.group.servers[s.leader]
	if s.role != cluster.RoleReplica || s.down || s.suspended != nil || leader == nil || leader == s {
		return
	}
	reachable := !s.group.isDropped(string(leader.spec.ID), string(s.spec.ID)) && !s.group.isDropped(string(s.spec.ID), string(leader.spec.ID))
	if leader.down || leader.suspended != nil || !reachable || leader.role != cluster.RolePrimary || leader.term != s.term {
		return
	}
	common := min(len(s.log), len(leader.log))
	for common > 0 && s.log[common-1].position != leader.log[common-1].position {
		common--
	}
	s.log = s.log[:common]
	s.visibleRecords = min(s.visibleRecords, common)
	now := time.Now()
	for _, r := range leader.log[common:] {
		r.received = now
		s.log = append(s.log, r)
	}
}

func (s *server) seal(term cluster.Term, holder string) bool {
	if term < s.term || (term == s.term && holder != s.sealHolder) {
		return false
	}
	if term == s.term {
		return true
	}
	if s.role == cluster.RolePrimary {
		s.primaryUntil = time.Now()
	}
	s.term, s.sealHolder, s.role, s.leader = term, holder, cluster.RoleSealed, ""
	s.rollbackAll()
	return true
}

func (s *server) promote(term cluster.Term, holder string) bool {
	if term != s.term || holder != s.sealHolder {
		return false
	}
	if s.role == cluster.RoleSealed {
		s.role, s.leader, s.termStart = cluster.RolePrimary, s.spec.ID, s.received()
		s.append(nil, "", "")
	}
	return s.role == cluster.RolePrimary
}

func (s *server) follow(term cluster.Term, leader cluster.ServerID) bool {
	if term < s.term || (term == s.term && s.role == cluster.RolePrimary) {
		return false
	}
	if s.role == cluster.RolePrimary {
		s.primaryUntil = time.Now()
	}
	if term > s.term {
		s.sealHolder = ""
		s.rollbackAll()
	}
	s.term, s.role, s.leader = term, cluster.RoleReplica, leader
	s.group.scheduleReplication()
	return true
}

func (s *server) acceptClaim(c backend.Claim) bool {
	if c.Epoch < s.claim.Epoch || (c.Epoch == s.claim.Epoch && c.Home != s.claim.Home && s.claim.Home != "") {
		return false
	}
	if c.Epoch > s.claim.Epoch {
		s.claim = c
		s.breakConns(func(conn *conn) bool { return !conn.control && conn.claim.Epoch < c.Epoch })
	}
	return true
}

func (s *server) breakConns(match func(*conn) bool) {
	for c := range s.conns {
		if match(c) {
			c.breakConn()
			delete(s.conns, c)
		}
	}
}

func (s *server) rollbackAll() {
	for c := range s.conns {
		if c.tx != nil {
			c.tx.failed = true
		}
	}
}

func (s *server) resume() {
	if s.suspended != nil {
		close(s.suspended)
		s.suspended = nil
	}
}

func (s *server) dataConns() int {
	n := 0
	for c := range s.conns {
		if !c.control {
			n++
		}
	}
	return n
}
