package userplatform

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// commitTime bounds the wait of a commit for a replica.
const commitTime = 2 * time.Second

// SettingItem begins the names of items that hold the session's settings.
const SettingItem = "setting:"

// session is one connection to a server.
type session struct {
	server   *Server
	open     bool
	readOnly bool
	failed   bool
	term     uint64
	writes   []record
	prepared map[string]string
	settings map[string]string
}

func (s *Server) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.group.mu.Lock()
		up := s.up && s.listener == l
		if up {
			s.conns[conn] = true
		}
		s.group.mu.Unlock()
		if !up {
			_ = conn.Close()
			return
		}
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.group.mu.Lock()
		delete(s.conns, conn)
		s.group.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	c := &session{server: s, prepared: map[string]string{}, settings: map[string]string{}}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		switch {
		case fields[0] == "STARTUP" && strings.HasPrefix(strings.Join(fields[1:], " "), s.group.Name+" ") &&
			strings.HasSuffix(line, " "+s.ID+"\r\n"):
			_, _ = fmt.Fprintf(conn, "READY I %s\r\n", s.position())
		case fields[0] == "QUERY" && len(fields) == 3:
			_, _ = fmt.Fprintf(conn, "%sREADY %s %s\r\n", c.run(fields[1], fields[2]), c.state(), s.position())
		default:
			_, _ = fmt.Fprint(conn, "ERROR MOVED "+s.ID+"\r\n")
			return
		}
	}
}

func (c *session) state() string {
	switch {
	case c.failed:
		return "E"
	case c.open:
		return "T"
	default:
		return "I"
	}
}

// position is what the server shows of its log.
func (s *Server) position() string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return end(s.shown())
}

// end is the position of the last record.
func end(log []record) string {
	if len(log) == 0 {
		return "1.0"
	}
	last := log[len(log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// shown is the part of the log that reads see. The group's lock is held.
func (s *Server) shown() []record {
	if s.primary || s.lag == 0 {
		return s.log
	}
	n := 0
	for n < len(s.log) && time.Since(s.arrivals[n]) >= s.lag {
		n++
	}
	return s.log[:n]
}

// run carries out one statement and returns its answer up to READY.
func (c *session) run(id, text string) string {
	if position, rest, ok := strings.Cut(strings.TrimPrefix(text, "AFTER "), " "); ok && strings.HasPrefix(text, "AFTER ") {
		if c.behind(position) {
			return c.fail("LAGGING")
		}
		text = rest
	}
	verb, rest, _ := strings.Cut(text, " ")
	switch verb {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.settings[name] = value
		return "COMPLETE -\r\n"
	case "DISCARD":
		clear(c.settings)
		clear(c.prepared)
		return "COMPLETE -\r\n"
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
		return "COMPLETE -\r\n"
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return c.server.control(verb, rest)
	case "BEGIN":
		return c.begin(rest == "READ")
	case "ROLLBACK":
		c.end()
		return "COMPLETE -\r\n"
	case "COMMIT":
		return c.commit(id)
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		access, _, ok := strings.Cut(c.prepared[name], " ")
		if !ok {
			return c.fail("NOSTMT")
		}
		verb, rest = access, arguments
	}
	if verb == "READ" {
		return c.read(id, rest)
	}
	return c.write(id, rest)
}

func (c *session) fail(code string) string {
	c.failed = c.open
	return "ERROR " + code + " " + c.server.ID + "\r\n"
}

func (c *session) end() { c.open, c.failed, c.readOnly, c.writes = false, false, false, nil }

func (c *session) behind(position string) bool {
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	var term, number, haveTerm, have uint64
	_, _ = fmt.Sscanf(position, "%d.%d", &term, &number)
	_, _ = fmt.Sscanf(end(c.server.shown()), "%d.%d", &haveTerm, &have)
	return haveTerm < term || haveTerm == term && have < number
}

func (c *session) begin(readOnly bool) string {
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if !readOnly && !c.server.primary {
		return "ERROR READONLY " + c.server.ID + "\r\n"
	}
	c.open, c.readOnly, c.term = true, readOnly, c.server.term
	return "COMPLETE -\r\n"
}

func (c *session) read(id, item string) string {
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.open && !c.readOnly && !c.leads() {
		return c.fail("READONLY")
	}
	if name, ok := strings.CutPrefix(item, SettingItem); ok {
		return "DATAROW " + c.settings[name] + "\r\nCOMPLETE " + id + "\r\n"
	}
	data := ""
	for _, r := range c.server.shown() {
		if r.item == item {
			data = r.data
		}
	}
	return "DATAROW " + data + "\r\nCOMPLETE " + id + "\r\n"
}

// leads reports whether the server still leads the transaction's term. The
// group's lock is held.
func (c *session) leads() bool { return c.server.primary && c.server.term == c.term }

func (c *session) write(id, arguments string) string {
	item, data, _ := strings.Cut(arguments, " ")
	if c.open {
		c.writes = append(c.writes, record{item: item, data: data})
		return "COMPLETE " + id + "\r\n"
	}
	c.writes, c.term = []record{{item: item, data: data}}, c.server.leadsAs()
	return c.commit(id)
}

// leadsAs returns the term that the server leads; zero for a replica.
func (s *Server) leadsAs() uint64 {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.primary {
		return s.term
	}
	return 0
}

// commit appends the writes and waits until a replica has them.
func (c *session) commit(id string) string {
	s, g := c.server, c.server.group
	writes := c.writes
	defer c.end()
	deadline := time.After(commitTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(writes) == 0 {
		return "COMPLETE " + id + "\r\n"
	}
	if !c.leads() {
		return "ERROR READONLY " + s.ID + "\r\n"
	}
	for _, w := range writes {
		w.term, w.number = s.term, uint64(len(s.log)+1)
		s.log = append(s.log, w)
		s.arrivals = append(s.arrivals, time.Now())
	}
	last := s.log[len(s.log)-1]
	for !g.replicate(s) {
		if !s.has(last) {
			return "ERROR TIMEOUT " + s.ID + "\r\n" // replaced and rolled back
		}
		changed := g.changed
		g.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			g.mu.Lock()
			return "ERROR TIMEOUT " + s.ID + "\r\n"
		}
		g.mu.Lock()
	}
	return "COMPLETE " + id + "\r\n"
}

// replicate copies the primary's log to the replicas that receive, and reports
// whether there is one. The group's lock is held.
func (g *Group) replicate(primary *Server) bool {
	received := false
	for _, r := range g.servers {
		if r != primary && !r.primary && r.paused == 0 && r.term <= primary.term && primary.primary && g.linked(r, primary) {
			r.receive(primary)
			received = true
		}
	}
	return received
}

// receive makes a replica's log the same as the primary's.
func (s *Server) receive(primary *Server) {
	common := 0
	for common < min(len(s.log), len(primary.log)) && s.log[common] == primary.log[common] {
		common++
	}
	s.log, s.arrivals = append(s.log[:common:common], primary.log[common:]...), s.arrivals[:common:common]
	for range primary.log[common:] {
		s.arrivals = append(s.arrivals, time.Now())
	}
	s.term = primary.term
}

// has reports whether a record of the server's own is still in its log.
func (s *Server) has(r record) bool {
	return uint64(len(s.log)) >= r.number && s.log[r.number-1] == r
}

// control carries out a status or replication call.
func (s *Server) control(verb, argument string) string {
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	term, _ := strconv.ParseUint(argument, 10, 64)
	switch {
	case verb == "PAUSE" && !s.primary && term > s.term:
		s.paused = max(s.paused, term)
	case verb == "RESUME":
		s.paused = 0
	case verb == "STEPDOWN" && s.primary && term > s.term:
		s.follow()
	}
	g.replicateAll()
	g.signal()
	role := map[bool]string{true: "primary", false: "replica"}[s.primary]
	return fmt.Sprintf("DATAROW %s %d %s %d 0 0 1\r\nCOMPLETE -\r\n", role, s.term, end(s.log), s.paused)
}
