package userplatform

import (
	"math/rand/v2"
	"time"
)

// MisanswerKind is a way to answer a statement other than once.
type MisanswerKind int

// The ways to answer a statement other than once. RepeatTail repeats COMPLETE and READY
// only. RepeatError refuses the statement with BUSY, twice. LoseAnswer runs it and sends
// nothing. CutAnswer sends the first half of the answer and closes the connection.
const (
	RepeatAnswer MisanswerKind = iota
	RepeatTail
	RepeatError
	LoseAnswer
	CutAnswer
)

// Misanswers makes a server answer some statements other than once.
type Misanswers struct {
	Kind MisanswerKind
	// Fraction is the fraction of the statements.
	Fraction float64
	// AfterNext sends the second answer when the next message has arrived, ahead of its
	// answer. Otherwise it is sent after Delay.
	AfterNext bool
	Delay     time.Duration
}

// SetMisanswers replaces the way in which a server answers.
func (g *Group) SetMisanswers(id string, m Misanswers) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.findServer(id); s != nil {
		s.misanswers = m
	}
}

// drawMisanswer returns how to answer the next statement, or nil for once.
func (s *Server) drawMisanswer() *Misanswers {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if rand.Float64() >= s.misanswers.Fraction {
		return nil
	}
	m := s.misanswers
	return &m
}

// respond sends the answer to a statement, and once more what m repeats of it.
func (c *session) respond(a answer, m *Misanswers) {
	ready := c.ready()
	first := a.encode(c.server.ID) + ready
	second := first
	switch {
	case m == nil:
		c.send(first)
		return
	case m.Kind == LoseAnswer:
		return
	case m.Kind == CutAnswer:
		c.send(first[:len(first)/2])
		_ = c.conn.Close()
		return
	case m.Kind == RepeatTail && a.code == "":
		second = answer{signature: a.signature}.encode(c.server.ID) + ready
	}
	c.send(first)
	switch {
	case m.AfterNext:
		c.beforeNext += second
	case m.Delay > 0:
		time.AfterFunc(m.Delay, func() { c.send(second) })
	default:
		c.send(second)
	}
}

// send writes whole answers only, so that no two are mixed.
func (c *session) send(data string) {
	c.sending.Lock()
	defer c.sending.Unlock()
	_, _ = c.conn.Write([]byte(data))
}
