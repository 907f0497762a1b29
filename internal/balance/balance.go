// Package balance decides which of several servers gets a statement that each of them may
// run. The statements that this process has running at a server are known exactly.
// Everything else that is known of a server is a report of the past: its weight falls with
// its age, until servers without a recent report share the work evenly. The package does no
// I/O and reads no clock.
package balance

import (
	"cmp"
	"math"
	"time"
)

const (
	// slownessHalfLife is the age at which a report of the response time of a server counts
	// half. A server that gets little work because it was slow gets some again within
	// seconds, without a query of its own.
	slownessHalfLife = time.Second
	// refusalHalfLife is the age at which a refusal counts half: a few times the length of
	// a statement, after which other statements of others are running.
	refusalHalfLife = 20 * time.Millisecond
	// slownessWeight is the weight of the newest statement in the slowness of a server.
	slownessWeight = 0.05
	// minSlowness is the slowness below which servers count as equally fast: the average over
	// 1/slownessWeight statements of exponential length varies by a sixth, and a difference
	// that is only noise must not move all work to one server. For the same reason no report
	// makes a server count as faster than those without one.
	minSlowness = 1.5
	// primaryHandicap is the number of statements by which the primary is considered busier
	// for reads than it is, because its slots are the only ones for writes.
	primaryHandicap = 2
	// primarySpare is the share of the slots of the primary that reads leave free which a
	// replica could run as well.
	primarySpare = 0.25
)

// Server is what a process knows of the load of one server. The zero value has no report.
type Server struct {
	// slowness is the slot time of statements at the server in relation to the usual one of
	// statements of their kind, observed at slownessAt.
	slowness   float64
	slownessAt time.Time
	// foreign is the number of slots that were not available to this process when the
	// server refused a statement at foreignAt.
	foreign   float64
	foreignAt time.Time
	// lastGiven orders the servers by when they got their last statement.
	lastGiven uint64
}

// ObserveTime records that a statement took ratio times the usual slot time.
func (s *Server) ObserveTime(ratio float64, now time.Time) {
	slowness := s.Slowness(now)
	s.slowness = slowness + slownessWeight*(ratio-slowness)
	s.slownessAt = now
}

// ObserveRefusal records that the server refused or failed a statement at once while running
// statements of this process were at work in its slots.
func (s *Server) ObserveRefusal(slots, running int, now time.Time) {
	s.foreign, s.foreignAt = float64(max(slots-running, 0)), now
}

// Given records that the server got the statement with the number seq.
func (s *Server) Given(seq uint64) { s.lastGiven = seq }

// Slowness returns the ratio of the slot time of statements at the server to the usual one;
// 1 without a report.
func (s *Server) Slowness(now time.Time) float64 {
	if s.slownessAt.IsZero() {
		return 1
	}
	return 1 + (s.slowness-1)*weightOfAge(now.Sub(s.slownessAt), slownessHalfLife)
}

// Foreign returns the number of slots that are assumed not to be available to this process.
func (s *Server) Foreign(now time.Time) float64 {
	if s.foreign == 0 {
		return 0
	}
	return s.foreign * weightOfAge(now.Sub(s.foreignAt), refusalHalfLife)
}

// Limit returns the number of slots of which this process is to use no more now, at least
// one, and when there will be more of them; zero if that is all of slots.
func (s *Server) Limit(slots int, now time.Time) (int, time.Time) {
	foreign := s.Foreign(now)
	unavailable := math.Floor(foreign)
	if unavailable < 1 {
		return slots, time.Time{}
	}
	more := time.Duration(math.Log2(foreign/unavailable) * float64(refusalHalfLife))
	return max(slots-int(unavailable), 1), now.Add(more + time.Millisecond)
}

// weightOfAge returns the weight of a report of the given age.
func weightOfAge(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// Candidate is a server that may get a statement.
type Candidate struct {
	*Server
	// Running is the number of statements that this process has running at the server.
	Running, Slots int
	Primary        bool
}

// Expected returns the expected response time of a statement at c in relation to that at an
// idle server of the usual speed with one slot.
func (c Candidate) Expected(now time.Time) float64 {
	running := float64(c.Running) + c.Foreign(now) + 1
	if c.Primary {
		running += primaryHandicap
	}
	expected := running / float64(max(c.Slots, 1))
	if slowness := c.Slowness(now); slowness >= minSlowness {
		expected *= slowness
	}
	return expected
}

// Compare orders candidates by their expected response times. Servers that are equal take
// turns.
func Compare(a, b Candidate, expectedA, expectedB float64) int {
	if c := cmp.Compare(expectedA, expectedB); c != 0 {
		return c
	}
	return cmp.Compare(a.lastGiven, b.lastGiven)
}

// Spares reports whether the primary has slots to spare for a read that a replica could run
// as well.
func (c Candidate) Spares() bool {
	return float64(c.Running+1) <= (1-primarySpare)*float64(c.Slots)
}
