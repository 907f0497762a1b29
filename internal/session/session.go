package session

import (
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

// Session is the session state of one caller connection. It is not safe for
// concurrent use. The zero value is a private session without any reads or writes.
type Session struct {
	name  string
	floor cluster.Position
	// mayHaveLaterWrite is set while a write of unknown outcome may be above the floor.
	mayHaveLaterWrite bool
}

// Floor is the lowest position that a request may read at.
type Floor struct {
	Position cluster.Position
	// Exact is false if the session may have writes above Position.
	Exact bool
}

// Name returns the session's name. It is empty for a private session.
func (s *Session) Name() string { return s.name }

// SetName ends the session and starts the one with the given name, or a new
// private session if the name is empty. The floor is reset. The home proves the
// position of the first read of a new private session, so that the read sees what
// the caller wrote before.
func (s *Session) SetName(name string) {
	if name == s.name {
		return
	}
	*s = Session{name: name, mayHaveLaterWrite: name == ""}
}

// RaiseFloor raises the floor to p, the position of a token that the caller presented.
func (s *Session) RaiseFloor(p cluster.Position) {
	s.floor = cluster.MaxPosition(s.floor, p)
}

// Floor returns the floor of a request. token is the position of the token that
// the statement itself carries; unknown if it carries none.
func (s *Session) Floor(token cluster.Position) Floor {
	f := Floor{Position: cluster.MaxPosition(s.floor, token)}
	switch {
	case s.mayHaveLaterWrite:
		f.Exact = false
	case s.name == "":
		f.Exact = true
	default:
		f.Exact = token.Known()
	}
	return f
}

// RecordResult records the result of a request that was sent with floor f.
func (s *Session) RecordResult(f Floor, r statement.Result) {
	s.floor = cluster.MaxPosition(s.floor, f.Position)
	s.floor = cluster.MaxPosition(s.floor, r.Position)
	s.floor = cluster.MaxPosition(s.floor, r.Observed)
	proven := r.Position.Known() || r.Observed.Known()
	if proven && !f.Exact {
		s.mayHaveLaterWrite = false
	}
}

// RecordFailure records the outcome of a request that failed.
func (s *Session) RecordFailure(o errcode.Outcome) {
	if o != errcode.OutcomeNotRun {
		s.mayHaveLaterWrite = true
	}
}

// Position returns the position for the session's token. It is unknown before the
// first read or write.
func (s *Session) Position() cluster.Position { return s.floor }
