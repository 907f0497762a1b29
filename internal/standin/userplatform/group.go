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
		g.servers = append(g.servers, s)
		go s.accept()
		s.enter("ready")
	}
	return g, nil
}

// enter writes the server's entry.
func (s *Server) enter(state string) {
	role := map[bool]string{true: "primary", false: "replica"}[s.primary]
	s.group.store.Put("servers", s.ID, map[string]any{
		"service": s.group.Name, "addr": s.listener.Addr().String(), "zone": "z1", "version": "v1", "slots": 2,
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

// Kill ends a server for good; its entry vanishes.
func (g *Group) Kill(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.ID != id {
			continue
		}
		s.up = false
		_ = s.listener.Close()
		for conn := range s.conns {
			_ = conn.Close()
		}
		g.store.Remove("servers", id)
	}
	g.signal()
}

// Drain marks a server as leaving.
func (g *Group) Drain(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.ID == id {
			s.enter("draining")
		}
	}
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
		if s != next && s.up {
			s.primary, s.term, s.paused = false, next.term, 0
			s.log = append([]record(nil), next.log...)
		}
		if s.up {
			s.enter("ready")
		}
	}
	g.signal()
}
