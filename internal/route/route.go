package route

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/statement"
)

const (
	// PrimaryPenalty is the wait that a read accepts for a replica before it
	// takes a slot of the primary.
	PrimaryPenalty = 25 * time.Millisecond
	// recheckInterval is the time between two judgements of a replica whose
	// catch-up cannot be predicted.
	recheckInterval = 10 * time.Millisecond
	// maxCatchUp is the longest catch-up that is ever waited for.
	maxCatchUp = 200 * time.Millisecond
)

// Query is what a request asks of a server.
type Query struct {
	Class statement.Class
	// Floor is the position that the server must have replayed.
	Floor cluster.Position
	// FloorKnown is false when no bound on the session's own writes is known;
	// the request then runs on the primary.
	FloorKnown bool
	Freshness  statement.Freshness
	// Arrived is when the request reached the home.
	Arrived time.Time
	// PrimaryOnly is set when a replica refused the request.
	PrimaryOnly bool
	// Failed names servers on which the request has failed.
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
	// Rate is the observed replay rate in records per second.
	Rate float64
	// Wait is the expected wait for a slot.
	Wait time.Duration
	// Ejected is set after failures until a fresh connection works.
	Ejected bool
	// Leaving is set when the server is about to be taken away.
	Leaving bool
	// Reachable is false when the server has not answered lately.
	Reachable bool
}

// Group is what is known about a group. It is not changed after Decide has seen it.
type Group struct {
	Term    cluster.Term
	Primary cluster.ServerID
	Servers []Server
	History *History
}

// Option is a server that may run the request at NotBefore or later.
type Option struct {
	Server    cluster.ServerID
	NotBefore time.Time
	// Wait is the expected time until the request starts.
	Wait   time.Duration
	Reason string
}

// Decision lists the servers that may run a request, the best first.
type Decision struct {
	Options []Option
	// Reason tells why there are no options.
	Reason string
}

// Option finds the option for a server.
func (d Decision) Option(id cluster.ServerID) (Option, bool) {
	for _, o := range d.Options {
		if o.Server == id {
			return o, true
		}
	}
	return Option{}, false
}

// Decide lists the servers that may run q at now or soon after.
func Decide(q Query, g *Group, now time.Time) Decision {
	if !replicaAllowed(q.Class) || q.PrimaryOnly || !q.FloorKnown {
		return primaryOnly(q, g, now)
	}
	var options []Option
	for _, s := range g.Servers {
		if o, ok := judgeReplica(q, g, s, now); ok {
			options = append(options, o)
		}
	}
	slices.SortStableFunc(options, func(a, b Option) int { return cmp.Compare(a.Wait, b.Wait) })
	primary, ok := g.server(g.Primary)
	if ok && !primary.Leaving {
		options = append(options, overflow(q, primary, options, now))
	}
	if len(options) == 0 {
		return Decision{Reason: "no replica is fresh enough and no primary is known"}
	}
	return Decision{Options: options}
}

func replicaAllowed(c statement.Class) bool {
	return c == statement.ClassRead || c == statement.ClassBeginReadOnly
}

func primaryOnly(q Query, g *Group, now time.Time) Decision {
	primary, ok := g.server(g.Primary)
	if !ok {
		return Decision{Reason: "no primary is known"}
	}
	reason := "needs the primary"
	switch {
	case q.PrimaryOnly:
		reason = "a replica refused it"
	case replicaAllowed(q.Class) && !q.FloorKnown:
		reason = "the session's floor is unknown"
	}
	return Decision{Options: []Option{{Server: g.Primary, NotBefore: now, Wait: primary.Wait, Reason: reason}}}
}

// overflow offers the primary to a read, at once when no replica suits and
// otherwise after the read has waited longer than the penalty.
func overflow(q Query, primary Server, replicas []Option, now time.Time) Option {
	o := Option{Server: primary.ID, NotBefore: now, Wait: primary.Wait, Reason: "no replica is fresh enough"}
	if len(replicas) == 0 {
		return o
	}
	o.NotBefore = q.Arrived.Add(PrimaryPenalty)
	o.Wait = max(primary.Wait, o.NotBefore.Sub(now))
	o.Reason = "replicas are busy"
	return o
}

// judgeReplica reports whether and when a replica may run a read.
func judgeReplica(q Query, g *Group, s Server, now time.Time) (Option, bool) {
	if s.ID == g.Primary || s.Ejected || s.Leaving || !s.Reachable || s.Term != g.Term {
		return Option{}, false
	}
	if slices.Contains(q.Failed, s.ID) {
		return Option{}, false
	}
	need, ok := required(q, g, now)
	if !ok {
		return Option{}, false
	}
	if !s.Replayed.Less(need) {
		return Option{
			Server: s.ID, NotBefore: now, Wait: s.Wait,
			Reason: fmt.Sprintf("replica at %s meets %s", s.Replayed, need),
		}, true
	}
	return catchUp(q, s, need, now)
}

// required returns the position that a replica must have replayed. The second
// result is false when no position is proof of the accepted age.
func required(q Query, g *Group, now time.Time) (cluster.Position, bool) {
	if q.Freshness.Mode != statement.FreshnessBounded {
		return q.Floor, true
	}
	sampled, ok := g.History.AtOrAfter(now.Add(-q.Freshness.MaxAge))
	if !ok {
		return cluster.Position{}, false
	}
	return cluster.MaxPosition(q.Floor, sampled), true
}

// catchUp offers a lagging replica for the time at which it is expected to
// have replayed what the read needs, if that is cheaper than the primary. The
// option does not allow the read to run: Decide is asked again then.
func catchUp(q Query, s Server, need cluster.Position, now time.Time) (Option, bool) {
	at, ok := expectedReplay(s, need, now)
	if !ok {
		return Option{}, false
	}
	wait := at.Sub(now) + s.Wait
	patience := q.Arrived.Add(PrimaryPenalty)
	if wait > maxCatchUp || now.Add(wait).After(patience) {
		return Option{}, false
	}
	if !at.After(now) {
		at = now.Add(recheckInterval)
	}
	return Option{
		Server: s.ID, NotBefore: at, Wait: wait,
		Reason: fmt.Sprintf("replica at %s is expected to reach %s", s.Replayed, need),
	}, true
}

// expectedReplay estimates when a replica will have replayed need from its
// observed rate. It is an estimate for waiting, never proof for reading.
func expectedReplay(s Server, need cluster.Position, now time.Time) (time.Time, bool) {
	if need.Term != s.Replayed.Term || s.Rate <= 0 {
		return time.Time{}, false
	}
	missing := float64(need.Offset - s.Replayed.Offset)
	at := s.Observed.Add(time.Duration(missing / s.Rate * float64(time.Second)))
	if at.Before(now) {
		at = now
	}
	return at, true
}

func (g *Group) server(id cluster.ServerID) (Server, bool) {
	for _, s := range g.Servers {
		if s.ID == id && id != "" {
			return s, true
		}
	}
	return Server{}, false
}
