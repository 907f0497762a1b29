package userplatform

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// session is a connection to a server.
type session struct {
	server *Server
	conn   net.Conn
	number int
	// organisation is the user of the start-up message.
	organisation      string
	started           bool
	inTransaction     bool
	readOnly          bool
	transactionFailed bool
	// transactionTerm is the server's term when the transaction started. It is 0
	// for a write outside a transaction on a replica.
	transactionTerm    uint64
	pendingWrites      []logRecord
	preparedStatements map[string]string
	settings           map[string]string
	// beforeNext is sent ahead of the answer to the next message.
	beforeNext string
	sending    sync.Mutex
}

// answer is the response to a statement, without the READY message.
type answer struct {
	rows            []string
	signature, code string
}

// done is the answer to a statement that runs nothing.
var done = answer{signature: "-"}

func (a answer) encode(server string) string {
	var b strings.Builder
	for _, row := range a.rows {
		b.WriteString("DATAROW " + row + "\r\n")
	}
	if a.code != "" {
		return b.String() + "ERROR " + a.code + " " + server + "\r\n"
	}
	return b.String() + "COMPLETE " + a.signature + "\r\n"
}

func (s *Server) acceptConnections(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.group.mu.Lock()
		running := s.running && s.listener == l
		if running {
			s.conns[conn] = true
		}
		s.group.mu.Unlock()
		if !running {
			_ = conn.Close()
			return
		}
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	s.group.mu.Lock()
	s.group.connectionCount++
	c := &session{server: s, conn: conn, number: s.group.connectionCount, preparedStatements: map[string]string{}, settings: map[string]string{}}
	s.group.mu.Unlock()
	defer func() {
		_ = conn.Close()
		s.group.mu.Lock()
		delete(s.conns, conn)
		s.group.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		message, err := ReadMessage(reader)
		if err != nil || !c.serveMessage(message) {
			return
		}
	}
}

// serveMessage responds to a message and reports whether the connection goes on.
func (c *session) serveMessage(message string) bool {
	c.send(c.beforeNext)
	c.beforeNext = ""
	word, rest, _ := strings.Cut(message, " ")
	id, text, isStatement := strings.Cut(rest, " ")
	switch {
	case word == "QUIT":
		return false
	case word == "STARTUP":
		fields := strings.SplitN(rest, " ", 3)
		c.started = len(fields) >= 2 && fields[0] == c.server.group.Name && (len(fields) == 2 || fields[2] == c.server.ID)
		if !c.started {
			c.send(answer{code: "MOVED"}.encode(c.server.ID))
			return false
		}
		c.organisation = fields[1]
		c.server.group.recordStartup(c.organisation)
		c.send(c.ready())
	case word == "QUERY" && c.started && isStatement:
		m := c.server.drawMisanswer()
		if m != nil && m.Kind == RepeatError {
			c.respond(c.refuse("BUSY"), m)
		} else {
			c.respond(c.execute(id, text), m)
		}
	default:
		c.startRun("", message, "", false)
		c.send(answer{code: "MALFORMED"}.encode(c.server.ID))
		return false
	}
	return true
}

func (c *session) ready() string {
	return fmt.Sprintf("READY %s %s\r\n", c.transactionStatus(), c.server.visiblePosition())
}

func (c *session) transactionStatus() string {
	switch {
	case c.transactionFailed:
		return "E"
	case c.inTransaction:
		return "T"
	default:
		return "I"
	}
}

// visiblePosition returns the position of the last record that reads see.
func (s *Server) visiblePosition() string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return lastPosition(s.visibleLog())
}

// lastPosition returns the position of the last record of log.
func lastPosition(log []logRecord) string {
	if len(log) == 0 {
		return "1.0"
	}
	last := log[len(log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.sequence)
}

// visibleLog returns the part of the log that reads see. The caller holds the
// group's mu.
func (s *Server) visibleLog() []logRecord {
	if s.primary || s.replicaLag == 0 {
		return s.log
	}
	n := 0
	for n < len(s.log) && time.Since(s.receivedAt[n]) >= s.replicaLag {
		n++
	}
	return s.log[:n]
}

// replicate copies the primary's log to all connected replicas that are not paused
// and have no higher term. It reports whether there are any. The caller holds the
// group's mu.
func (g *Group) replicate(primary *Server) bool {
	replicated := false
	for _, replica := range g.servers {
		if replica != primary && !replica.primary && replica.pausedTerm == 0 && replica.term <= primary.term && primary.primary && g.connected(replica, primary) {
			replica.copyLogFrom(primary)
			replicated = true
		}
	}
	return replicated
}

// copyLogFrom replaces a replica's log with the primary's, and keeps the time of
// receipt of the records that they have in common.
func (s *Server) copyLogFrom(primary *Server) {
	commonLength := 0
	for commonLength < min(len(s.log), len(primary.log)) && s.log[commonLength] == primary.log[commonLength] {
		commonLength++
	}
	s.log, s.receivedAt = append(s.log[:commonLength:commonLength], primary.log[commonLength:]...), s.receivedAt[:commonLength:commonLength]
	for range primary.log[commonLength:] {
		s.receivedAt = append(s.receivedAt, time.Now())
	}
	s.term = primary.term
}

// logContains reports whether r, which the server appended, is still in its log.
func (s *Server) logContains(r logRecord) bool {
	return uint64(len(s.log)) >= r.sequence && s.log[r.sequence-1] == r
}

// executeControl runs a status or replication command.
func (s *Server) executeControl(verb, argument string) answer {
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	term, _ := strconv.ParseUint(argument, 10, 64)
	switch {
	case verb == "PAUSE" && !s.primary && term > s.term:
		s.pausedTerm = max(s.pausedTerm, term)
	case verb == "RESUME":
		s.pausedTerm = 0
	case verb == "STEPDOWN" && s.primary && term > s.term:
		s.demote()
	}
	g.replicateFromPrimary()
	g.notify()
	role := map[bool]string{true: "primary", false: "replica"}[s.primary]
	return answer{rows: []string{fmt.Sprintf("%s %d %s %d 0 0 1", role, s.term, lastPosition(s.log), s.pausedTerm)}, signature: "-"}
}
