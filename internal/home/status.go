package home

import (
	"context"
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/pool"
	"github.com/rattancove/rattancove/internal/rank"
	"github.com/rattancove/rattancove/internal/route"
	"github.com/rattancove/rattancove/internal/statement"
)

// Status describes the groups that this proxy owns, for operators.
type Status struct {
	Proxy  cluster.ProxyID `json:"proxy"`
	Groups []GroupStatus   `json:"groups"`
}

// GroupStatus describes one owned group.
type GroupStatus struct {
	Group cluster.GroupName `json:"group"`
	// Phase is claiming, claimed, serving, superseded or draining.
	Phase     string           `json:"phase"`
	Epoch     cluster.Epoch    `json:"epoch"`
	Holder    cluster.ProxyID  `json:"holder,omitempty"`
	Term      cluster.Term     `json:"term"`
	Primary   cluster.ServerID `json:"primary"`
	HighWater string           `json:"high_water"`
	Sessions  int              `json:"sessions"`
	Ranks     []RankStatus     `json:"ranks"`
	Servers   []ServerStatus   `json:"servers"`
}

// RankStatus describes the requests of one rank.
type RankStatus struct {
	Rank    string `json:"rank"`
	Queued  int    `json:"queued"`
	Running int    `json:"running"`
	Granted uint64 `json:"granted"`
	Refused uint64 `json:"refused"`
	Expired uint64 `json:"expired"`
	// SlotSeconds is the total slot time used since the group was claimed.
	SlotSeconds float64 `json:"slot_seconds"`
}

// ServerStatus describes one backend server as the home sees it.
type ServerStatus struct {
	Server    cluster.ServerID `json:"server"`
	Role      cluster.Role     `json:"role"`
	Term      cluster.Term     `json:"term"`
	Received  string           `json:"received"`
	Replayed  string           `json:"replayed"`
	Lag       time.Duration    `json:"lag_nanos"`
	Reachable bool             `json:"reachable"`
	Ejected   bool             `json:"ejected"`
	Leaving   bool             `json:"leaving"`
	// Reported is the age of the last status report.
	Reported time.Duration `json:"reported_nanos"`
	Pool     pool.Stats    `json:"pool"`
}

// Status returns the state of the owned groups, sorted by name.
func (h *Home) Status() Status {
	h.mu.Lock()
	owners := make([]*owner, 0, len(h.owners))
	for _, o := range h.owners {
		owners = append(owners, o)
	}
	h.mu.Unlock()
	s := Status{Proxy: h.config.ID}
	for _, o := range owners {
		s.Groups = append(s.Groups, o.status())
	}
	slices.SortFunc(s.Groups, func(a, b GroupStatus) int {
		if a.Group < b.Group {
			return -1
		}
		return 1
	})
	return s
}

func (o *owner) status() GroupStatus {
	stats := o.dispatcher.Stats()
	o.mu.Lock()
	defer o.mu.Unlock()
	g := GroupStatus{
		Group: o.name, Phase: o.phase.Current(), Epoch: o.claim.epoch, Holder: o.successor,
		Term: o.view.term, Primary: o.routing.Load().Primary, HighWater: o.highWater.String(),
		Sessions: o.sessionFloors.lru.Len(),
	}
	for r := range cluster.Rank(cluster.RankCount) {
		g.Ranks = append(g.Ranks, rankStatus(r, stats))
	}
	for _, s := range o.spec.Servers {
		g.Servers = append(g.Servers, o.serverStatus(o.nodes[s.ID]))
	}
	return g
}

func rankStatus(r cluster.Rank, s rank.Stats) RankStatus {
	return RankStatus{
		Rank: r.String(), Queued: s.Queued[r], Running: s.Running[r], Granted: s.Granted[r],
		Refused: s.Refused[r], Expired: s.Expired[r], SlotSeconds: s.SlotSeconds[r],
	}
}

func (o *owner) serverStatus(n *node) ServerStatus {
	r := o.view.reports[n.server.ID]
	s := ServerStatus{
		Server: n.server.ID, Role: r.status.Role, Term: r.status.Term,
		Received: r.status.Received.String(), Replayed: r.status.Replayed.String(),
		Lag: n.lag.value, Reachable: r.known && !n.controlFailed, Ejected: n.outliers.Ejected(), Leaving: n.leaving,
		Pool: n.pool.Stats(),
	}
	if r.known {
		s.Reported = time.Since(r.answered)
	}
	return s
}

// Explanation describes where a request would run now.
type Explanation struct {
	Group   cluster.GroupName `json:"group"`
	Home    cluster.ProxyID   `json:"home"`
	Phase   string            `json:"phase"`
	Floor   string            `json:"floor"`
	Options []OptionStatus    `json:"options"`
	// Refusal is the reason why no server may run it.
	Refusal string `json:"refusal,omitempty"`
	// QueueWait is the expected wait for a slot.
	QueueWait time.Duration `json:"queue_wait_nanos"`
	// NeedsProof is set if a majority is queried before the response is forwarded.
	NeedsProof bool `json:"needs_proof"`
}

// OptionStatus is one server that may run a request.
type OptionStatus struct {
	Server cluster.ServerID `json:"server"`
	Reason string           `json:"reason"`
	Wait   time.Duration    `json:"wait_nanos"`
}

// Explain returns where req would run now and why, without running it.
func (h *Home) Explain(_ context.Context, req *statement.Request) (Explanation, error) {
	o, err := h.ownerFor(req.Group)
	if err != nil {
		return Explanation{}, err
	}
	r := o.newRequest(req, nil)
	e := Explanation{Group: req.Group, Home: h.config.ID, Phase: o.phase.Current(), NeedsProof: o.needsProof(r)}
	q, err := o.routeQuery(r)
	if err != nil {
		return e, err
	}
	e.Floor = q.Floor.String()
	lane := rank.LanePrimary
	if q.Class == statement.ClassRead || q.Class == statement.ClassBeginReadOnly {
		lane = rank.LaneRead
	}
	e.QueueWait = o.dispatcher.ExpectedWait(r.rank, lane)
	d := route.Decide(q, o.routing.Load(), time.Now())
	e.Refusal = string(d.Reason)
	for _, option := range d.Options {
		e.Options = append(e.Options, OptionStatus{Server: option.Server, Reason: string(option.Reason), Wait: option.Wait})
	}
	return e, nil
}
