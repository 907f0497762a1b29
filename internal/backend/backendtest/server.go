package backendtest

import (
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
)

type write struct{ key, value string }

type record struct {
	position cluster.Position
	writes   []write
	orderID  string
	answer   string
	received time.Time
}

// server is one backend server. The group's lock guards every field.
type server struct {
	group  *Group
	spec   cluster.Server
	role   cluster.Role
	term   cluster.Term
	holder string
	leader cluster.ServerID
	log    []record
	// termStart is the position at which the server became primary.
	termStart cluster.Position
	replayLag time.Duration
	// visible is the number of records that were visible to reads so far. A
	// longer lag does not hide them again.
	visible int
	claim   backend.Claim

	down        bool
	frozen      chan struct{}
	loseAnswers int
	conns       map[*conn]bool
	slots       chan struct{}
	busy        int
	usage       Usage
}

func newServer(g *Group, spec cluster.Server) *server {
	return &server{
		group: g, spec: spec, role: cluster.RoleReplica, term: 1, replayLag: g.cfg.ReplayLag,
		conns: map[*conn]bool{}, slots: make(chan struct{}, spec.Slots),
	}
}

func (s *server) status() cluster.ServerStatus {
	return cluster.ServerStatus{
		Server: s.spec.ID, Role: s.role, Term: s.term, SealHolder: s.holder, Leader: s.leader,
		TermStart: s.reportedTermStart(), Received: s.received(), Replayed: s.positionAt(s.replayed()), Epoch: s.claim.Epoch, Home: s.claim.Home,
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

// replayed returns the number of log records visible to reads.
func (s *server) replayed() int {
	if s.role == cluster.RolePrimary {
		s.visible = len(s.log)
		return s.visible
	}
	n := len(s.log)
	now := time.Now()
	for n > s.visible && now.Sub(s.log[n-1].received) < s.replayLag {
		n--
	}
	s.visible = n
	return n
}

func (s *server) get(key string) string {
	for i := s.replayed() - 1; i >= 0; i-- {
		for _, w := range s.log[i].writes {
			if w.key == key {
				return w.value
			}
		}
	}
	return ""
}

func (s *server) order(id string) (record, bool) {
	for _, r := range s.log {
		if r.orderID == id {
			return r, true
		}
	}
	return record{}, false
}

func (s *server) append(writes []write, orderID, answer string) {
	p := cluster.Position{Term: s.term, Offset: uint64(len(s.log) + 1)}
	s.log = append(s.log, record{position: p, writes: writes, orderID: orderID, answer: answer, received: time.Now()})
	s.group.shipLater()
}

// pull copies what the leader has and this replica lacks, after discarding
// what the leader does not have.
func (s *server) pull() {
	leader := s.group.servers[s.leader]
	if s.role != cluster.RoleReplica || s.down || s.frozen != nil || leader == nil || leader == s {
		return
	}
	reachable := !s.group.cut(string(leader.spec.ID), string(s.spec.ID)) && !s.group.cut(string(s.spec.ID), string(leader.spec.ID))
	if leader.down || leader.frozen != nil || !reachable || leader.role != cluster.RolePrimary || leader.term != s.term {
		return
	}
	common := min(len(s.log), len(leader.log))
	for common > 0 && s.log[common-1].position != leader.log[common-1].position {
		common--
	}
	s.log = s.log[:common]
	s.visible = min(s.visible, common)
	now := time.Now()
	for _, r := range leader.log[common:] {
		r.received = now
		s.log = append(s.log, r)
	}
}

func (s *server) seal(term cluster.Term, holder string) bool {
	if term < s.term || (term == s.term && holder != s.holder) {
		return false
	}
	if term == s.term {
		return true
	}
	s.term, s.holder, s.role, s.leader = term, holder, cluster.RoleSealed, ""
	s.rollbackAll()
	return true
}

func (s *server) promote(term cluster.Term, holder string) bool {
	if term != s.term || holder != s.holder {
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
	if term > s.term {
		s.holder = ""
		s.rollbackAll()
	}
	s.term, s.role, s.leader = term, cluster.RoleReplica, leader
	s.group.shipLater()
	return true
}

func (s *server) accept(c backend.Claim) bool {
	if c.Epoch < s.claim.Epoch || (c.Epoch == s.claim.Epoch && c.Home != s.claim.Home && s.claim.Home != "") {
		return false
	}
	if c.Epoch > s.claim.Epoch {
		s.claim = c
		s.breakConns(func(conn *conn) bool { return !conn.control && conn.claim.Epoch < c.Epoch })
	}
	return true
}

func (s *server) breakConns(which func(*conn) bool) {
	for c := range s.conns {
		if which(c) {
			c.breakNow()
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

func (s *server) thaw() {
	if s.frozen != nil {
		close(s.frozen)
		s.frozen = nil
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
