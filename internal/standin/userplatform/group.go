package userplatform

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"time"
)

// logRecord is a committed write.
type logRecord struct {
	term, sequence uint64
	item, data     string
}

// Server is a backend server of a group. It is guarded by the group's mu.
type Server struct {
	ID       string
	group    *Group
	listener net.Listener
	conns    map[net.Conn]bool
	running  bool
	primary  bool
	term     uint64
	// pausedTerm is the term for which replication to the server is paused; 0
	// means that it is not paused.
	pausedTerm    uint64
	log           []logRecord
	startedMillis int64
	// starts counts the restarts.
	starts int
	// isolated means that the server neither sends records to other servers nor
	// receives any.
	isolated bool
	// replicaLag is the delay until reads on a replica see a received record.
	// receivedAt has the time of receipt of each record in the log.
	replicaLag time.Duration
	receivedAt []time.Time
	// entryState is the state in the server's entry in the store.
	entryState string
	// advertisedAddress is the address in the server's entry in the store.
	advertisedAddress string
	misanswers        Misanswers
}

// Group is a simulated database group.
type Group struct {
	Name  string
	store *Store

	mu      sync.Mutex
	changed chan struct{}
	servers []*Server
	// serverCount is the number of servers that the group has had.
	serverCount int
	// promotionDelay is the time from the call until a promotion takes effect.
	promotionDelay time.Duration
	promotionCalls []PromotionCall
	promotions     []Promotion
	// promotedTerm is the term of the last promotion.
	promotedTerm uint64
	// runs holds the statements that servers have begun to run, and workTime is how long
	// each takes.
	runs            []*Run
	workTime        time.Duration
	extraRows       func(number int) []string
	connectionCount int
	// startups counts the connections by the user of their start-up message.
	startups map[string]int
}

// NewGroup starts a group of the given size and publishes its servers' entries in
// the store. The first server is the primary.
func NewGroup(name string, size int, store *Store) (*Group, error) {
	g := &Group{Name: name, store: store, changed: make(chan struct{}), promotionDelay: DefaultPromotionDelay, extraRows: func(int) []string { return nil }, startups: map[string]int{}}
	for range size {
		if _, err := g.addServer(); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// Advertise replaces the address in a server's entry with the result of
// relayAddress for the address that the server listens on.
func (g *Group) Advertise(id string, relayAddress func(listenAddress string) string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.findServer(id); s != nil {
		s.advertisedAddress = relayAddress(s.listener.Addr().String())
		s.publishEntry(s.entryState)
	}
}

// ListenAddress returns the address that a server listens on.
func (g *Group) ListenAddress(id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.findServer(id); s != nil {
		return s.listener.Addr().String()
	}
	return ""
}

// ServerIDs returns the IDs of all servers.
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

// States of a server in its entry.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// publishEntry writes the server's entry to the store. The caller holds the
// group's mu, unless the group is not yet shared.
func (s *Server) publishEntry(state string) {
	s.entryState = state
	role := map[bool]string{true: "primary", false: "replica"}[s.primary]
	s.group.store.Put("servers", s.ID, map[string]any{
		"service": s.group.Name, "addr": s.advertisedAddress, "zone": "z1", "version": "v1", "slots": 2,
		"state": state, "cold_left_ms": 0, "db_role": role, "seq": 1, "born": s.startedMillis,
	})
}

// Primary returns the ID of the running primary with the highest term. It is
// empty if there is none.
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

// Isolate disconnects a server from the other servers of its group, or reconnects
// it. After reconnection, a primary that was replaced in the meantime becomes a
// replica after demotionDelay.
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

// SetLag sets the delay until reads on a replica see a received record.
func (g *Group) SetLag(id string, lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.findServer(id); s != nil {
		s.replicaLag = lag
	}
}

// demotionDelay is the delay until a replaced primary becomes a replica of a
// connected primary with a higher term.
const demotionDelay = time.Second

// Reconcile demotes replaced primaries that are connected to the current primary,
// and replicates its log.
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

// demote makes a primary a replica. Its whole log remains visible to reads,
// whatever the replica lag.
func (s *Server) demote() {
	s.primary = false
	s.receivedAt = make([]time.Time, len(s.log))
	s.publishEntry(s.entryState)
}

// connected reports whether two servers can reach each other.
func (g *Group) connected(a, b *Server) bool {
	return a.running && b.running && !a.isolated && !b.isolated
}

// replicateFromPrimary replicates the log of the current primary, if there is one.
func (g *Group) replicateFromPrimary() {
	if primary := g.currentPrimary(); primary != nil {
		g.replicate(primary)
	}
}

// CommittedCounts returns the number of records by their data in the log of the current
// primary or, if there is none, of the server with the latest record.
func (g *Group) CommittedCounts() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	latest := g.currentPrimary()
	if latest == nil {
		latest = slices.MaxFunc(g.servers, func(a, b *Server) int { return a.lastRecord().compare(b.lastRecord()) })
	}
	counts := map[string]int{}
	for _, r := range latest.log {
		counts[r.data]++
	}
	return counts
}

// lastRecord returns the last record of the log, which is the zero value if it is empty.
func (s *Server) lastRecord() logRecord {
	if len(s.log) == 0 {
		return logRecord{}
	}
	return s.log[len(s.log)-1]
}

// compare compares the positions of two records.
func (r logRecord) compare(other logRecord) int {
	return cmp.Or(cmp.Compare(r.term, other.term), cmp.Compare(r.sequence, other.sequence))
}

// Insert commits a write at the current primary, as if a statement had.
func (g *Group) Insert(item, data string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if primary := g.currentPrimary(); primary != nil {
		primary.append(logRecord{item: item, data: data})
		g.replicate(primary)
		g.notify()
	}
}

// Close stops all servers.
func (g *Group) Close() {
	for _, s := range g.servers {
		g.Kill(s.ID)
	}
}

func (g *Group) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}
