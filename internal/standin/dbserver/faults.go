package dbserver

import (
	"strconv"
	"time"
)

// funcFault is the SQL function that sets faults: SELECT rattan_fault('kind', 'value').
const funcFault = "rattan_fault"

// faults is the set of injected faults. It is guarded by the server's mu.
type faults struct {
	replayLag time.Duration
	// catchUp makes replay ignore replayLag during a promotion.
	catchUp bool
	// hang stops responses on data connections and the start-up of all new
	// connections.
	hang bool
	// down closes and refuses all connections except control connections.
	down bool
	// dropResponses is the number of commits left whose response is dropped.
	dropResponses int
	// statementDelay is added to the execution time of every statement.
	statementDelay time.Duration
}

// SetReplayLag sets the delay between receiving a log record and replaying it.
func (s *Server) SetReplayLag(d time.Duration) { s.setFault(func(f *faults) { f.replayLag = d }) }

// SetStatementDelay adds d to the execution time of every statement.
func (s *Server) SetStatementDelay(d time.Duration) {
	s.setFault(func(f *faults) { f.statementDelay = d })
}

// SetHang controls whether the server stops responding: data connections get no
// responses, and new connections are accepted but do not complete their start-up.
func (s *Server) SetHang(on bool) { s.setFault(func(f *faults) { f.hang = on }) }

// SetDown controls whether the server is down: it closes the open data
// connections and refuses new ones. Control connections are not affected.
func (s *Server) SetDown(on bool) {
	s.setFault(func(f *faults) { f.down = on })
	if on {
		s.cancelSessions(errDown)
	}
}

// DropResponses makes each of the next n commits take effect, but close the
// connection instead of sending a response.
func (s *Server) DropResponses(n int) { s.setFault(func(f *faults) { f.dropResponses = n }) }

// StallOpenConnections makes the data connections that are now open stop
// responding for good, without closing them. New connections are not affected.
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

// takeDroppedResponse reports whether to drop the response to a commit, and
// counts it.
func (s *Server) takeDroppedResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.dropResponses == 0 {
		return false
	}
	s.faults.dropResponses--
	return true
}

// setFaultByName implements funcFault.
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
