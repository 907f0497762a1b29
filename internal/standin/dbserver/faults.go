package dbserver

import (
	"strconv"
	"time"
)

// funcFault is the function that switches faults: SELECT rattan_fault('kind', 'value').
const funcFault = "rattan_fault"

// faults are the failures that a test has switched on. The server's mu guards them.
type faults struct {
	replayLag time.Duration
	// catchUp makes replay ignore the lag, for a promotion.
	catchUp bool
	// hang makes every connection accept but never answer.
	hang bool
	// down makes the server end and refuse every connection but control ones.
	down bool
	// dropResponses is the number of commits whose answers are still to be lost.
	dropResponses int
	// statementDelay is added to the time of every statement.
	statementDelay time.Duration
}

// SetReplayLag sets the time between receiving and replaying a log record.
func (s *Server) SetReplayLag(d time.Duration) { s.setFault(func(f *faults) { f.replayLag = d }) }

// SetStatementDelay adds d to the time of every statement.
func (s *Server) SetStatementDelay(d time.Duration) {
	s.setFault(func(f *faults) { f.statementDelay = d })
}

// SetHang makes connections accept but never answer until it is switched off.
func (s *Server) SetHang(on bool) { s.setFault(func(f *faults) { f.hang = on }) }

// SetDown ends the open data connections and refuses new ones until it is
// switched off.
func (s *Server) SetDown(on bool) {
	s.setFault(func(f *faults) { f.down = on })
	if on {
		s.cancelSessions(errDown)
	}
}

// DropResponses closes the connection instead of answering after each of the
// next n commits.
func (s *Server) DropResponses(n int) { s.setFault(func(f *faults) { f.dropResponses = n }) }

// StallOpenConnections makes the data connections that are open now go silent for good.
func (s *Server) StallOpenConnections() { s.cancelSessions(errStalled) }

func (s *Server) cancelSessions(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.sessions {
		if !c.control {
			c.cancel(cause)
		}
	}
}

func (s *Server) setFault(change func(*faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	s.notify()
}

func (s *Server) currentFaults() faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// takeDroppedResponse reports whether the answer to a commit is to be lost.
func (s *Server) takeDroppedResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.dropResponses == 0 {
		return false
	}
	s.faults.dropResponses--
	return true
}

// setFaultByName runs a call of funcFault.
func (s *Server) setFaultByName(name, text string) error {
	eventFaultSet.Log(&s.cfg.Log).Str("server", string(s.cfg.ID)).Str("fault", name).Str("value", text).Send()
	switch name {
	case "silence":
		s.StallOpenConnections()
	case "hang":
		s.SetHang(text == "on")
	case "down":
		s.SetDown(text == "on")
	case "crash":
		go s.Close()
	case "lose_answers":
		n, err := strconv.Atoi(text)
		if err != nil {
			return newError("22P02", "count: %v", err)
		}
		s.DropResponses(n)
	case "lag", "slow":
		return s.setDelayFault(name, text)
	default:
		return newError("22023", "unknown fault %q", name)
	}
	return nil
}

func (s *Server) setDelayFault(name, text string) error {
	d, err := time.ParseDuration(text)
	if err != nil {
		return newError("22P02", "duration: %v", err)
	}
	if name == "lag" {
		s.SetReplayLag(d)
	} else {
		s.SetStatementDelay(d)
	}
	return nil
}
