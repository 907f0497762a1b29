package userplatform

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// promotionDelay is how long a promotion takes.
const promotionDelay = 200 * time.Millisecond

// logRecord is a committed write.
type logRecord struct {
	term, sequence uint64
	item, data     string
}

// Server is one backend server of a group. The group's lock guards it.
type Server struct {
	ID            string
	group         *Group
	listener      net.Listener
	conns         map[net.Conn]bool
	running       bool
	primary       bool
	term          uint64
	pausedTerm    uint64
	log           []logRecord
	startedMillis int64
	// isolated servers neither send records to others nor receive any.
	isolated bool
	// replicaLag is the time after which a replica shows what it has received, and
	// arrivals are the times at which it received the records of its log.
	replicaLag time.Duration
	receivedAt []time.Time
	entryState string
	// advertisedAddress is the address in the server's entry.
	advertisedAddress string
}

// Group is a database group.
type Group struct {
	Name  string
	store *Store

	mu             sync.Mutex
	changed        chan struct{}
	servers        []*Server
	promotionCount int
	fencingTokens  []string
}

// NewGroup starts n servers of which the first is the primary, and enters them
// in the store.
func NewGroup(name string, size int, store *Store) (*Group, error) {
	g := &Group{Name: name, store: store, changed: make(chan struct{})}
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s := &Server{
			ID: fmt.Sprintf("%s-%d", name, i), group: g, listener: listener, conns: map[net.Conn]bool{}, running: true,
			primary: i == 0, term: 1, startedMillis: time.Now().UnixMilli(),
		}
		s.advertisedAddress = listener.Addr().String()
		g.servers = append(g.servers, s)
		go s.acceptConnections(listener)
		s.publishEntry(stateReady)
	}
	return g, nil
}

// Advertise replaces the address in a server's entry, by that of a relay.
func (g *Group) Advertise(id string, relayAddress func(listenAddress string) string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.findServer(id); s != nil {
		s.advertisedAddress = relayAddress(s.listener.Addr().String())
		s.publishEntry(s.entryState)
	}
}

// ServerIDs names the servers.
func (g *Group) ServerIDs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []string
	for _, s := range g.servers {
		ids = append(ids, s.ID)
	}
	return ids
}

func (g *Group) findServer(id string) *Server {
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

// publishEntry writes the server's entry.
func (s *Server) publishEntry(state string) {
	s.entryState = state
	role := map[bool]string{true: "primary", false: "replica"}[s.primary]
	s.group.store.Put("servers", s.ID, map[string]any{
		"service": s.group.Name, "addr": s.advertisedAddress, "zone": "z1", "version": "v1", "slots": 2,
		"state": state, "cold_left_ms": 0, "db_role": role, "seq": 1, "born": s.startedMillis,
	})
}

// Primary returns the id of the primary of the highest term that is up.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if primary := g.currentPrimary(); primary != nil {
		return primary.ID
	}
	return ""
}

func (g *Group) currentPrimary() *Server {
	var primary *Server
	for _, s := range g.servers {
		if s.running && s.primary && (primary == nil || s.term > primary.term) {
			primary = s
		}
	}
	return primary
}

// Kill ends a server; its entry vanishes. Restart starts it again.
func (g *Group) Kill(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.findServer(id)
	if s == nil || !s.running {
		return
	}
	s.running = false
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	g.store.Remove("servers", id)
	g.notify()
}

// Restart starts a killed server with its log and a fresh address: as the
// primary that it was, unless another server leads a later term. It reports
// whether there was anything to start.
func (g *Group) Restart(id string) (bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.findServer(id)
	if s == nil || s.running {
		return false, nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	s.listener, s.running, s.pausedTerm, s.conns, s.startedMillis = l, true, 0, map[net.Conn]bool{}, time.Now().UnixMilli()
	s.advertisedAddress = l.Addr().String()
	if primary := g.currentPrimary(); s.primary && primary != nil && primary != s && primary.term > s.term {
		s.demote()
	}
	go s.acceptConnections(l)
	s.publishEntry(stateReady)
	g.replicateFromPrimary()
	g.notify()
	return true, nil
}

// Drain marks a server as leaving.
func (g *Group) Drain(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.findServer(id); s != nil && s.running {
		s.publishEntry(stateDraining)
	}
}

// Isolate cuts a server off from the other servers, or joins it to them again.
// A primary that was replaced meanwhile follows the new one a second later.
func (g *Group) Isolate(id string, isolated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.findServer(id)
	if s == nil {
		return
	}
	s.isolated = isolated
	g.replicateFromPrimary()
	g.notify()
	if !isolated {
		time.AfterFunc(demotionDelay, g.Reconcile)
	}
}

// SetLag sets the time after which a replica shows what it has received.
func (g *Group) SetLag(id string, lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.findServer(id); s != nil {
		s.replicaLag = lag
	}
}

// demotionDelay is the time after which a replaced primary follows a later one that
// it can reach.
const demotionDelay = time.Second

// Reconcile lets replaced primaries follow the leader and replicas catch up.
func (g *Group) Reconcile() {
	g.mu.Lock()
	defer g.mu.Unlock()
	primary := g.currentPrimary()
	for _, s := range g.servers {
		if primary != nil && s != primary && s.running && s.primary && s.term < primary.term && g.connected(s, primary) {
			s.demote()
		}
	}
	g.replicateFromPrimary()
	g.notify()
}

// demote makes a primary a replica. It shows all that it has committed.
func (s *Server) demote() {
	s.primary = false
	s.receivedAt = make([]time.Time, len(s.log))
	s.publishEntry(s.entryState)
}

// connected reports whether two servers reach each other.
func (g *Group) connected(a, b *Server) bool {
	return a.running && b.running && !a.isolated && !b.isolated
}

// replicateFromPrimary sends the leader's log to the replicas.
func (g *Group) replicateFromPrimary() {
	if primary := g.currentPrimary(); primary != nil {
		g.replicate(primary)
	}
}

// CommittedCounts counts the records of the present primary's log by their data.
func (g *Group) CommittedCounts() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := map[string]int{}
	if primary := g.currentPrimary(); primary != nil {
		for _, r := range primary.log {
			counts[r.data]++
		}
	}
	return counts
}

// Promotions returns how many promotions took effect, and the tokens of the calls.
func (g *Group) Promotions() (int, []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.promotionCount, g.fencingTokens
}

// Close ends every server.
func (g *Group) Close() {
	for _, s := range g.servers {
		g.Kill(s.ID)
	}
}

func (g *Group) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// ServeHTTP implements the call that promotes a server.
func (g *Group) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.Service != g.Name {
		http.Error(w, "unknown service", http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fencingTokens = append(g.fencingTokens, r.Header.Get("Rattancove-Fencing-Token"))
	for _, s := range g.servers {
		if s.ID == request.ID && s.running {
			if !s.primary {
				time.AfterFunc(promotionDelay, func() { g.promote(s) })
			}
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}

// promote makes a server lead the next term with what it has received. The
// others follow it and drop what it lacks.
func (g *Group) promote(target *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !target.running || target.primary {
		return
	}
	term := target.term
	for _, s := range g.servers {
		term = max(term, s.term)
	}
	target.primary, target.term, target.pausedTerm = true, term+1, 0
	g.promotionCount++
	for _, s := range g.servers {
		if s != target && !s.primary && g.connected(s, target) {
			s.pausedTerm = 0
		}
		if s.running {
			s.publishEntry(s.entryState)
		}
	}
	g.replicate(target)
	g.notify()
	time.AfterFunc(demotionDelay, g.Reconcile)
}
