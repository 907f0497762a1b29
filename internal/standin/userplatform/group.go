package userplatform

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// promotionTime is how long a promotion takes.
const promotionTime = 200 * time.Millisecond

// record is a committed write.
type record struct {
	term, number uint64
	item, data   string
}

// Server is one backend server of a group. The group's lock guards it.
type Server struct {
	ID       string
	group    *Group
	listener net.Listener
	conns    map[net.Conn]bool
	up       bool
	primary  bool
	term     uint64
	paused   uint64
	log      []record
	born     int64
	// isolated servers neither send records to others nor receive any.
	isolated bool
	// lag is the time after which a replica shows what it has received, and
	// arrivals are the times at which it received the records of its log.
	lag      time.Duration
	arrivals []time.Time
	state    string
	// advertised is the address in the server's entry.
	advertised string
}

// Group is a database group.
type Group struct {
	Name  string
	store *Store

	mu         sync.Mutex
	changed    chan struct{}
	servers    []*Server
	promotions int
	tokens     []string
}

// NewGroup starts n servers of which the first is the primary, and enters them
// in the store.
func NewGroup(name string, n int, store *Store) (*Group, error) {
	g := &Group{Name: name, store: store, changed: make(chan struct{})}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s := &Server{
			ID: fmt.Sprintf("%s-%d", name, i), group: g, listener: l, conns: map[net.Conn]bool{}, up: true,
			primary: i == 0, term: 1, born: time.Now().UnixMilli(),
		}
		s.advertised = l.Addr().String()
		g.servers = append(g.servers, s)
		go s.accept(l)
		s.enter(stateReady)
	}
	return g, nil
}

// Advertise replaces the address in a server's entry, by that of a relay.
func (g *Group) Advertise(id string, relay func(listening string) string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.server(id); s != nil {
		s.advertised = relay(s.listener.Addr().String())
		s.enter(s.state)
	}
}

// IDs names the servers.
func (g *Group) IDs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []string
	for _, s := range g.servers {
		ids = append(ids, s.ID)
	}
	return ids
}

func (g *Group) server(id string) *Server {
	for _, s := range g.servers {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// States of an entry.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// enter writes the server's entry.
func (s *Server) enter(state string) {
	s.state = state
	role := map[bool]string{true: "primary", false: "replica"}[s.primary]
	s.group.store.Put("servers", s.ID, map[string]any{
		"service": s.group.Name, "addr": s.advertised, "zone": "z1", "version": "v1", "slots": 2,
		"state": state, "cold_left_ms": 0, "db_role": role, "seq": 1, "born": s.born,
	})
}

// Primary returns the id of the primary of the highest term that is up.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.leader(); p != nil {
		return p.ID
	}
	return ""
}

func (g *Group) leader() *Server {
	var best *Server
	for _, s := range g.servers {
		if s.up && s.primary && (best == nil || s.term > best.term) {
			best = s
		}
	}
	return best
}

// Kill ends a server; its entry vanishes. Restart starts it again.
func (g *Group) Kill(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.server(id)
	if s == nil || !s.up {
		return
	}
	s.up = false
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	g.store.Remove("servers", id)
	g.signal()
}

// Restart starts a killed server with its log and a fresh address: as the
// primary that it was, unless another server leads a later term. It reports
// whether there was anything to start.
func (g *Group) Restart(id string) (bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.server(id)
	if s == nil || s.up {
		return false, nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	s.listener, s.up, s.paused, s.conns, s.born = l, true, 0, map[net.Conn]bool{}, time.Now().UnixMilli()
	s.advertised = l.Addr().String()
	if leader := g.leader(); s.primary && leader != nil && leader != s && leader.term > s.term {
		s.follow()
	}
	go s.accept(l)
	s.enter(stateReady)
	g.replicateAll()
	g.signal()
	return true, nil
}

// Drain marks a server as leaving.
func (g *Group) Drain(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.server(id); s != nil && s.up {
		s.enter(stateDraining)
	}
}

// Isolate cuts a server off from the other servers, or joins it to them again.
// A primary that was replaced meanwhile follows the new one a second later.
func (g *Group) Isolate(id string, isolated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.server(id)
	if s == nil {
		return
	}
	s.isolated = isolated
	g.replicateAll()
	g.signal()
	if !isolated {
		time.AfterFunc(followTime, g.Settle)
	}
}

// SetLag sets the time after which a replica shows what it has received.
func (g *Group) SetLag(id string, lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.server(id); s != nil {
		s.lag = lag
	}
}

// followTime is the time after which a replaced primary follows a later one that
// it can reach.
const followTime = time.Second

// Settle lets replaced primaries follow the leader and replicas catch up.
func (g *Group) Settle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	leader := g.leader()
	for _, s := range g.servers {
		if leader != nil && s != leader && s.up && s.primary && s.term < leader.term && g.linked(s, leader) {
			s.follow()
		}
	}
	g.replicateAll()
	g.signal()
}

// follow makes a primary a replica. It shows all that it has committed.
func (s *Server) follow() {
	s.primary = false
	s.arrivals = make([]time.Time, len(s.log))
	s.enter(s.state)
}

// linked reports whether two servers reach each other.
func (g *Group) linked(a, b *Server) bool { return a.up && b.up && !a.isolated && !b.isolated }

// replicateAll sends the leader's log to the replicas.
func (g *Group) replicateAll() {
	if leader := g.leader(); leader != nil {
		g.replicate(leader)
	}
}

// Committed counts the records of the present primary's log by their data.
func (g *Group) Committed() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := map[string]int{}
	if leader := g.leader(); leader != nil {
		for _, r := range leader.log {
			counts[r.data]++
		}
	}
	return counts
}

// Promotions returns how many promotions took effect, and the tokens of the calls.
func (g *Group) Promotions() (int, []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.promotions, g.tokens
}

// Close ends every server.
func (g *Group) Close() {
	for _, s := range g.servers {
		g.Kill(s.ID)
	}
}

func (g *Group) signal() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// ServeHTTP implements the call that promotes a server.
func (g *Group) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || call.Service != g.Name {
		http.Error(w, "unknown service", http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = append(g.tokens, r.Header.Get("Rattancove-Fencing-Token"))
	for _, s := range g.servers {
		if s.ID == call.ID && s.up {
			if !s.primary {
				time.AfterFunc(promotionTime, func() { g.promote(s) })
			}
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}

// promote makes a server lead the next term with what it has received. The
// others follow it and drop what it lacks.
func (g *Group) promote(next *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !next.up || next.primary {
		return
	}
	term := next.term
	for _, s := range g.servers {
		term = max(term, s.term)
	}
	next.primary, next.term, next.paused = true, term+1, 0
	g.promotions++
	for _, s := range g.servers {
		if s != next && !s.primary && g.linked(s, next) {
			s.paused = 0
		}
		if s.up {
			s.enter(s.state)
		}
	}
	g.replicate(next)
	g.signal()
	time.AfterFunc(followTime, g.Settle)
}
