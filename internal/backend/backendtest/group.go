package backendtest

import (
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
)

// Config configures a Group.
type Config struct {
	Name    cluster.GroupName
	Servers []cluster.Server
	// ReplicationDelay is the time from commit to durable receipt on a replica.
	ReplicationDelay time.Duration
	// ReplayLag is the time from receipt to visibility on a replica.
	ReplayLag time.Duration
	// ConnectDelay is the time that the server takes to open a data connection.
	ConnectDelay time.Duration
	// NetworkDelay is the one-way delay between a client and a server.
	NetworkDelay time.Duration
}

// Group is an in-memory database group. The first server starts as the primary of term
// 1, and the others follow it.
type Group struct {
	cfg     Config
	mu      sync.Mutex
	servers map[cluster.ServerID]*server
	order   []cluster.ServerID
	// droppedLinks holds the directed links on which all traffic is dropped.
	droppedLinks map[link]bool
	closed       chan struct{}
}

type link struct{ from, to string }

// New returns a running group.
func New(cfg Config) *Group {
	g := &Group{cfg: cfg, servers: map[cluster.ServerID]*server{}, droppedLinks: map[link]bool{}, closed: make(chan struct{})}
	for i, s := range cfg.Servers {
		srv := newServer(g, s)
		if i == 0 {
			srv.role = cluster.RolePrimary
		}
		srv.leader = cfg.Servers[0].ID
		g.servers[s.ID] = srv
		g.order = append(g.order, s.ID)
	}
	return g
}

// Close kills all servers, so that no goroutine waits for one.
func (g *Group) Close() {
	for _, id := range g.order {
		g.Kill(id)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.closed:
	default:
		close(g.closed)
	}
}

// Dialer returns a dialer for the named client. DropTraffic refers to the client by this
// name.
func (g *Group) Dialer(client string) backend.Dialer { return &dialer{group: g, client: client} }

// Kill stops a server: its connections break and dials are refused. It keeps its log.
func (g *Group) Kill(id cluster.ServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[id]
	s.down = true
	s.breakConns(func(*conn) bool { return true })
	s.resume()
}

// Restart starts a killed server with its former role and term.
func (g *Group) Restart(id cluster.ServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[id].down = false
	g.scheduleReplication()
}

// Suspend suspends a server without breaking its connections. Requests that arrive in
// the meantime run when it resumes, even if their senders have given up.
func (g *Group) Suspend(id cluster.ServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[id]
	if s.suspended == nil {
		s.suspended = make(chan struct{})
	}
}

// Resume resumes a suspended server.
func (g *Group) Resume(id cluster.ServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[id].resume()
	g.scheduleReplication()
}

// DropTraffic drops all traffic from one client or server to another, in that direction
// only.
func (g *Group) DropTraffic(from, to string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.droppedLinks[link{from, to}] = true
}

// RestoreTraffic undoes DropTraffic.
func (g *Group) RestoreTraffic(from, to string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.droppedLinks, link{from, to})
	g.scheduleReplication()
}

// Isolate drops all traffic in both directions between a server and the other servers
// and the named clients.
func (g *Group) Isolate(id cluster.ServerID, clients ...string) {
	g.isolate(id, clients, g.DropTraffic)
}

// Rejoin undoes Isolate.
func (g *Group) Rejoin(id cluster.ServerID, clients ...string) {
	g.isolate(id, clients, g.RestoreTraffic)
}

func (g *Group) isolate(id cluster.ServerID, clients []string, apply func(from, to string)) {
	peers := append([]string{}, clients...)
	for _, other := range g.order {
		if other != id {
			peers = append(peers, string(other))
		}
	}
	for _, peer := range peers {
		apply(peer, string(id))
		apply(string(id), peer)
	}
}

// BlackholeConns drops all further traffic on the open connections of a client to a
// server, while new connections work.
func (g *Group) BlackholeConns(client string, id cluster.ServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.servers[id].conns {
		if c.client == client {
			c.blackholed = true
		}
	}
}

// LoseResponses makes the next n exchanges of a server take effect and then break their
// connection before the response.
func (g *Group) LoseResponses(id cluster.ServerID, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[id].responsesToLose = n
}

// SetReplayLag sets the replay lag of one server.
func (g *Group) SetReplayLag(id cluster.ServerID, lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[id].replayLag = lag
}

// Status returns the status that a server would report, bypassing the network.
func (g *Group) Status(id cluster.ServerID) cluster.ServerStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers[id].status()
}

// PrimaryUntil returns the time until which a server was last the primary: now while it
// is, and zero if it never was.
func (g *Group) PrimaryUntil(id cluster.ServerID) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[id]
	if s.role == cluster.RolePrimary {
		return time.Now()
	}
	return s.primaryUntil
}

// Usage counts the connections and statements of one server.
type Usage struct {
	// Opens is the total number of data connections opened.
	Opens int
	// MaxConns is the maximum number of data connections open at the same time.
	MaxConns int
	// MaxBusy is the maximum number of statements executing at the same time.
	MaxBusy int
	// Reads and Writes are the numbers of executed statements.
	Reads  int
	Writes int
}

// Usage returns the counters of one server.
func (g *Group) Usage(id cluster.ServerID) Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers[id].usage
}

// CommittedValues returns all values ever committed for a key in the log of a server,
// oldest first.
func (g *Group) CommittedValues(id cluster.ServerID, key string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var values []string
	for _, r := range g.servers[id].log {
		for _, w := range r.writes {
			if w.key == key {
				values = append(values, w.value)
			}
		}
	}
	return values
}

func (g *Group) isDropped(from, to string) bool { return g.droppedLinks[link{from, to}] }

// scheduleReplication makes all replicas replicate after the replication delay. The
// caller must hold mu.
func (g *Group) scheduleReplication() {
	time.AfterFunc(g.cfg.ReplicationDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, id := range g.order {
			g.servers[id].replicate()
		}
	})
}
