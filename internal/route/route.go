package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/statement"
)

const (
	// DefaultReplicaWait is the default of Group.ReplicaWait. A short wait for a
	// lagging replica saves a slot of the primary.
	DefaultReplicaWait = 60 * time.Millisecond
	// recheckInterval is the minimum time between two checks of a replica that lags
	// more than its estimated lag.
	recheckInterval = 2 * time.Millisecond
	// recheckDivisor makes the time until the next check of such a replica grow with
	// its lag: 1/recheckDivisor of the lag observed so far.
	recheckDivisor = 8
)

// Query describes what a request requires of a server.
type Query struct {
	Class statement.Class
	// Floor is the session floor: the minimum position that the server must have
	// replayed.
	Floor cluster.Position
	// FloorKnown is false when the position of the session's own writes is not
	// known; the request then runs on the primary.
	FloorKnown bool
	Freshness  statement.Freshness
	// Arrived is the time at which the request reached the home.
	Arrived time.Time
	// PrimaryOnly is set after a replica has refused the request.
	PrimaryOnly bool
	// Failed holds the servers on which the request has failed.
	Failed []cluster.ServerID
}

// Server is what is known about one server.
type Server struct {
	ID cluster.ServerID
	// Term is the term that the server reported last.
	Term cluster.Term
	// Replayed was reported by a status that began at Observed.
	Replayed cluster.Position
	Observed time.Time
	// Lag is the estimated time from a commit to its replay at this server; zero when
	// unknown.
	Lag time.Duration
	// Wait is the expected wait for a slot.
	Wait time.Duration
	// Ejected is set after failed requests, until a new connection works.
	Ejected bool
	// Leaving is set when the server is about to be removed from the group.
	Leaving bool
	// Reachable is false when the server has not responded recently.
	Reachable bool
	// Diverged is set when the server has records that are not part of the
	// current term's log.
	Diverged bool
}

// Group is what is known about a group. It is immutable once it is passed to Decide.
type Group struct {
	Term    cluster.Term
	Primary cluster.ServerID
	// ReplicaWait is how long a read waits for a replica before it takes a slot of the primary.
	ReplicaWait time.Duration
	Servers     []Server
	// History holds positions of the primary at times when it was proven to be the
	// primary; the age of data is judged by it.
	History *History
	// Commits holds the positions of commits at the time of their responses; it is
	// used for estimates only.
	Commits *History
}

// Reason explains why a server may or may not run a request.
type Reason string

// Reasons of a decision.
const (
	ReasonWrite        Reason = "needs the primary"
	ReasonRefused      Reason = "a replica refused it"
	ReasonUnknownFloor Reason = "the session's floor is unknown"
	ReasonFresh        Reason = "replica is fresh enough"
	ReasonCatchUp      Reason = "replica is expected to catch up soon"
	ReasonBusy         Reason = "replicas are busy"
	ReasonStale        Reason = "no replica is fresh enough"
	ReasonNoPrimary    Reason = "no primary is known"
	ReasonNoServer     Reason = "no replica is fresh enough and no primary is known"
)

// Option is a server that may run the request at NotBefore or later.
type Option struct {
	Server    cluster.ServerID
	NotBefore time.Time
	// Wait is the expected time until the request starts.
	Wait   time.Duration
	Reason Reason
	// RequiredPosition is the position that a replica must have replayed.
	RequiredPosition cluster.Position
	// ReplayOverdue is set when the replica should have replayed RequiredPosition
	// already, so that its next status will probably allow the read.
	ReplayOverdue bool
}

// Decision lists the servers that may run a request, the best first.
type Decision struct {
	Options []Option
	// Reason explains why there are no options.
	Reason Reason
}

// Option returns the option for a server.
func (d Decision) Option(id cluster.ServerID) (Option, bool) {
	for _, o := range d.Options {
		if o.Server == id {
			return o, true
		}
	}
	return Option{}, false
}

// DecideServer returns the option that Decide lists for one server. The second
// result is false when the server may not run the request. It allocates nothing,
// because it is called for each waiting request and each free slot.
func DecideServer(q *Query, g *Group, id cluster.ServerID, now time.Time) (Option, bool) {
	if id != g.Primary {
		if !replicaAllowed(q.Class) || q.PrimaryOnly || !q.FloorKnown {
			return Option{}, false
		}
		s, ok := g.server(id)
		if !ok {
			return Option{}, false
		}
		return replicaOption(*q, g, s, now)
	}
	primary, ok := g.server(id)
	if !ok || !primary.Reachable {
		return Option{}, false
	}
	if !replicaAllowed(q.Class) || q.PrimaryOnly || !q.FloorKnown {
		return primaryOption(*q, primary, now), true
	}
	replicaAvailable := g.hasReplicaOption(q, now)
	if primary.Leaving && replicaAvailable {
		return Option{}, false
	}
	return primaryReadOption(*q, g, primary, replicaAvailable, now), true
}

// hasReplicaOption reports whether any replica may run the request.
func (g *Group) hasReplicaOption(q *Query, now time.Time) bool {
	for i := range g.Servers {
		if _, ok := replicaOption(*q, g, g.Servers[i], now); ok {
			return true
		}
	}
	return false
}

// HasFreshReplica reports whether a replica may run the request now, if it has a free slot.
func (g *Group) HasFreshReplica(q *Query, now time.Time) bool {
	for i := range g.Servers {
		if o, ok := replicaOption(*q, g, g.Servers[i], now); ok && o.Reason == ReasonFresh {
			return true
		}
	}
	return false
}

// Decide returns the servers that may run q at now or soon afterwards.
func Decide(q Query, g *Group, now time.Time) Decision {
	if !replicaAllowed(q.Class) || q.PrimaryOnly || !q.FloorKnown {
		return primaryDecision(q, g, now)
	}
	var options []Option
	for _, s := range g.Servers {
		if o, ok := replicaOption(q, g, s, now); ok {
			options = append(options, o)
		}
	}
	primary, ok := g.server(g.Primary)
	if ok && primary.Reachable && (!primary.Leaving || len(options) == 0) {
		options = append(options, primaryReadOption(q, g, primary, len(options) > 0, now))
	}
	if len(options) == 0 {
		return Decision{Reason: ReasonNoServer}
	}
	slices.SortStableFunc(options, func(a, b Option) int { return cmp.Compare(a.Wait, b.Wait) })
	return Decision{Options: options}
}

func replicaAllowed(c statement.Class) bool {
	return c == statement.ClassRead || c == statement.ClassBeginReadOnly
}

func primaryDecision(q Query, g *Group, now time.Time) Decision {
	if !g.PrimaryReachable() {
		return Decision{Reason: ReasonNoPrimary}
	}
	primary, _ := g.server(g.Primary)
	return Decision{Options: []Option{primaryOption(q, primary, now)}}
}

// primaryOption returns the option of the primary for a request that needs it.
func primaryOption(q Query, primary Server, now time.Time) Option {
	reason := ReasonWrite
	switch {
	case q.PrimaryOnly:
		reason = ReasonRefused
	case replicaAllowed(q.Class) && !q.FloorKnown:
		reason = ReasonUnknownFloor
	}
	return Option{Server: primary.ID, NotBefore: now, Wait: primary.Wait, Reason: reason}
}

// primaryReadOption returns the option of the primary for a read: at once when no
// replica may run it, and otherwise after the read has waited for ReplicaWait.
func primaryReadOption(q Query, g *Group, primary Server, replicaAvailable bool, now time.Time) Option {
	o := Option{Server: primary.ID, NotBefore: now, Wait: primary.Wait, Reason: ReasonStale}
	if !replicaAvailable {
		return o
	}
	o.NotBefore = q.Arrived.Add(g.ReplicaWait)
	o.Wait = max(primary.Wait, o.NotBefore.Sub(now))
	o.Reason = ReasonBusy
	return o
}

// replicaOption returns the option of a replica for a read. The second result is
// false when the replica may not run it.
func replicaOption(q Query, g *Group, s Server, now time.Time) (Option, bool) {
	if !canServeReads(g, s) || slices.Contains(q.Failed, s.ID) {
		return Option{}, false
	}
	position, ok := requiredPosition(q, g, now)
	if !ok {
		return Option{}, false
	}
	if !s.Replayed.Less(position) {
		return Option{Server: s.ID, NotBefore: now, Wait: s.Wait, Reason: ReasonFresh, RequiredPosition: position}, true
	}
	return catchUpOption(q, g, s, position, now)
}

// canServeReads reports whether a server is a replica that may get reads. While no
// primary is known, replicas of any term may.
func canServeReads(g *Group, s Server) bool {
	if s.ID == g.Primary || s.Ejected || s.Leaving {
		return false
	}
	return s.Reachable && !s.Diverged && (s.Term == g.Term || g.Primary == "")
}

// PrimaryReachable reports whether the primary is known and reachable.
func (g *Group) PrimaryReachable() bool {
	primary, ok := g.server(g.Primary)
	return ok && primary.Reachable
}

// ReadableReplicas returns the number of replicas that may get reads.
func (g *Group) ReadableReplicas() int {
	n := 0
	for _, s := range g.Servers {
		if canServeReads(g, s) {
			n++
		}
	}
	return n
}

// requiredPosition returns the position that a replica must have replayed. The
// second result is false when no position is known to satisfy the accepted age.
func requiredPosition(q Query, g *Group, now time.Time) (cluster.Position, bool) {
	if q.Freshness.Mode != statement.FreshnessBounded {
		return q.Floor, true
	}
	proven, ok := g.History.AtOrAfter(now.Add(-q.Freshness.MaxAge))
	if !ok {
		return cluster.Position{}, false
	}
	return cluster.MaxPosition(q.Floor, proven), true
}

// catchUpOption returns the option of a lagging replica, for the time at which it is
// expected to have replayed the position, if the read may wait that long. A commit
// that Commits does not contain yet is assumed to have been made when the read
// arrived, which is the latest possible time. The estimate only decides whether to
// wait: the decision is made again before the read runs.
func catchUpOption(q Query, g *Group, s Server, position cluster.Position, now time.Time) (Option, bool) {
	committed, ok := g.Commits.ReachedAt(position)
	if !ok || committed.After(q.Arrived) {
		committed = q.Arrived
	}
	o := Option{Server: s.ID, NotBefore: expectedReplay(s, committed), Reason: ReasonCatchUp, RequiredPosition: position}
	if !o.NotBefore.After(now) {
		o.ReplayOverdue = true
		o.NotBefore = now.Add(recheckInterval)
	}
	if o.NotBefore.After(q.Arrived.Add(g.ReplicaWait)) {
		return Option{}, false
	}
	o.Wait = o.NotBefore.Sub(now) + s.Wait
	return o, true
}

// expectedReplay estimates when a replica will have replayed what was committed at
// the given time. Once a status has shown that the replica lags more than that, the
// time until the next check grows with the observed lag.
func expectedReplay(s Server, committed time.Time) time.Time {
	estimatedReplay := committed.Add(s.Lag)
	if s.Observed.Before(estimatedReplay) {
		return estimatedReplay
	}
	observedLag := s.Observed.Sub(committed)
	return s.Observed.Add(max(observedLag/recheckDivisor, recheckInterval))
}

func (g *Group) server(id cluster.ServerID) (Server, bool) {
	for _, s := range g.Servers {
		if s.ID == id && id != "" {
			return s, true
		}
	}
	return Server{}, false
}
