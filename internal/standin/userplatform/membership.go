package userplatform

import (
	"fmt"
	"net"
	"slices"
	"time"
)

// addServer starts a server and publishes its entry. The first one is the primary. The
// caller holds mu, unless the group is not yet shared.
func (g *Group) addServer() (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		ID: fmt.Sprintf("%s-%d", g.Name, g.serverCount), group: g, listener: listener, conns: map[net.Conn]bool{}, running: true,
		primary: g.serverCount == 0, term: 1, startedMillis: time.Now().UnixMilli(),
	}
	s.advertisedAddress = listener.Addr().String()
	g.serverCount++
	g.servers = append(g.servers, s)
	go s.acceptConnections(listener)
	s.publishEntry(stateReady)
	return s, nil
}

// Join starts another replica and returns its ID.
func (g *Group) Join() (string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, err := g.addServer()
	if err != nil {
		return "", err
	}
	g.replicateFromPrimary()
	g.notify()
	return s.ID, nil
}

// heldElsewhere reports whether another server holds the log of s. Without that, the loss
// of s loses what no proxy could keep. The caller holds mu.
func (g *Group) heldElsewhere(s *Server) bool {
	return slices.ContainsFunc(g.servers, func(other *Server) bool {
		return other != s && len(other.log) >= len(s.log) && slices.Equal(other.log[:len(s.log)], s.log)
	})
}

// Leave ends a replica for good, with its log, and reports whether it was a running one
// whose log is held elsewhere. Otherwise it does nothing.
func (g *Group) Leave(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.findServer(id)
	if s == nil || s.primary || !g.heldElsewhere(s) || !g.kill(s) {
		return false
	}
	g.servers = slices.DeleteFunc(g.servers, func(other *Server) bool { return other == s })
	return true
}

// KillReplica is Kill for a replica. It reports whether the server was a running one.
func (g *Group) KillReplica(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.findServer(id)
	return s != nil && !s.primary && g.kill(s)
}

// Kill stops a server abruptly and removes its entry. Restart starts it again.
func (g *Group) Kill(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.findServer(id); s != nil {
		g.kill(s)
	}
}

// kill reports whether the server was running. The caller holds mu.
func (g *Group) kill(s *Server) bool {
	if !s.running {
		return false
	}
	s.running = false
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	g.store.Remove("servers", s.ID)
	g.notify()
	return true
}

// Restart starts a killed server with its log and a new address. A former primary
// remains one unless another server was promoted meanwhile. Restart reports whether the
// server was stopped.
func (g *Group) Restart(id string) (bool, error) { return g.restart(id, true) }

// RestartEmpty is Restart for a replica that loses its log, if that is held elsewhere.
func (g *Group) RestartEmpty(id string) (bool, error) { return g.restart(id, false) }

func (g *Group) restart(id string, withLog bool) (bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.findServer(id)
	if s == nil || s.running {
		return false, nil
	}
	if !withLog && !s.primary && g.heldElsewhere(s) {
		s.log, s.receivedAt, s.term = nil, nil, 0
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	s.starts++
	s.listener, s.running, s.pausedTerm, s.conns, s.startedMillis = l, true, 0, map[net.Conn]bool{}, time.Now().UnixMilli()
	s.advertisedAddress = l.Addr().String()
	if s.primary && s.term < g.promotedTerm {
		s.demote()
	}
	go s.acceptConnections(l)
	s.publishEntry(stateReady)
	g.replicateFromPrimary()
	g.notify()
	return true, nil
}

// Drain marks a server as draining in its entry.
func (g *Group) Drain(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.findServer(id); s != nil && s.running {
		s.publishEntry(stateDraining)
	}
}
