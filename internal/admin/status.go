package admin

import (
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/member"
)

// Status is what one process knows of the environment.
type Status struct {
	Environment string `json:"environment"`
	// Proxy is the id of the process that answers, and Role its role.
	Proxy     cluster.ProxyID  `json:"proxy"`
	Role      string           `json:"role"`
	Time      time.Time        `json:"time"`
	Document  DocumentStatus   `json:"document"`
	Groups    []GroupStatus    `json:"groups"`
	Members   []MemberStatus   `json:"members"`
	Failovers []FailoverStatus `json:"failovers"`
	// FailoversMissing tells why failovers may be missing; empty when none is.
	FailoversMissing string `json:"failovers_missing,omitempty"`
	// RunningMissing tells why running failovers may be missing; empty when
	// every living warden answered.
	RunningMissing string `json:"running_missing,omitempty"`
}

// DocumentStatus is the document in force in one process.
type DocumentStatus struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	// Status is a state of the document_rollout chart.
	Status string `json:"status"`
	// ProofAgeMillis is the time since the last proof that no newer document
	// exists; -1 when there was none.
	ProofAgeMillis int64 `json:"proof_age_millis"`
}

// GroupStatus is one database group.
type GroupStatus struct {
	Name      cluster.GroupName `json:"name"`
	Customers []string          `json:"customers"`
	Term      cluster.Term      `json:"term"`
	Epoch     cluster.Epoch     `json:"epoch"`
	Home      cluster.ProxyID   `json:"home"`
	Primary   cluster.ServerID  `json:"primary"`
	// Writable is false while no primary takes writes.
	Writable bool           `json:"writable"`
	Servers  []ServerStatus `json:"servers"`
	Queues   []QueueStatus  `json:"queues"`
	// Unknown tells why nothing is known beyond the document; empty when the
	// home answered.
	Unknown string `json:"unknown,omitempty"`
}

// ServerStatus is one backend server as the home of its group sees it.
type ServerStatus struct {
	ID            cluster.ServerID `json:"id"`
	Address       string           `json:"address"`
	FailureDomain string           `json:"failure_domain"`
	Role          cluster.Role     `json:"role"`
	Reachable     bool             `json:"reachable"`
	LagMillis     int64            `json:"lag_millis"`
	Received      string           `json:"received"`
	Replayed      string           `json:"replayed"`
	Running       int              `json:"running"`
	Slots         int              `json:"slots"`
	Connections   int              `json:"connections"`
	Limit         int              `json:"connection_limit"`
	// Ejected tells why the server is given no work; empty when it is.
	Ejected string `json:"ejected,omitempty"`
}

// QueueStatus is the queue of one rank at the home of a group.
type QueueStatus struct {
	Rank    string `json:"rank"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
	Refused uint64 `json:"refused_total"`
	// Expired counts requests that left the queue without a slot.
	Expired uint64 `json:"expired_total"`
}

// MemberStatus is one process of the deployment.
type MemberStatus struct {
	ID            cluster.ProxyID `json:"id"`
	Address       string          `json:"address"`
	FailureDomain string          `json:"failure_domain"`
	// Role is "proxy" or "warden".
	Role      string `json:"role"`
	State     string `json:"state"`
	AgeMillis int64  `json:"age_millis"`
	// Revision is the document that the member said is in force there.
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

// Name returns the role and the id of the member, as both programs of an entry
// VM share an id.
func (m MemberStatus) Name() string { return m.Role + "/" + string(m.ID) }

// Running reports whether the member is not known to have stopped.
func (m MemberStatus) Running() bool { return m.State != string(member.StateDead) }

// outdated reports whether the member holds an older revision, or another
// document of the same one.
func (m MemberStatus) outdated(revision uint64, digest string) bool {
	return m.Revision < revision || m.Revision == revision && m.Digest != digest
}

// FailoverStatus is one replacement of a primary.
type FailoverStatus struct {
	Group   cluster.GroupName `json:"group"`
	Term    cluster.Term      `json:"term"`
	From    cluster.ServerID  `json:"from"`
	To      cluster.ServerID  `json:"to"`
	Reason  string            `json:"reason"`
	Started time.Time         `json:"started"`
	// Ended is zero while the failover is running.
	Ended time.Time `json:"ended"`
	// GapMillis is the time from the trouble to the end, or until now.
	GapMillis int64 `json:"gap_millis"`
	// Outcome is "done", "running" or "failed".
	Outcome string `json:"outcome"`
	// Warden is the id of the warden that carries it out or did so.
	Warden string `json:"warden,omitempty"`
	// Step is a phase of the group_failover chart and StepSince the time at
	// which it began; set while the failover is running.
	Step      string    `json:"step,omitempty"`
	StepSince time.Time `json:"step_since,omitzero"`
	// MayBeLost tells what acknowledged work the new primary may lack; empty when none.
	MayBeLost string `json:"may_be_lost,omitempty"`
	// Discarded tells which unacknowledged writes were discarded; empty when none.
	Discarded string `json:"discarded,omitempty"`
}

// ForCustomer returns what one customer may see: its own groups, without the
// names of others, and their failovers.
func (s Status) ForCustomer(customer string) Status {
	groups := s.Groups
	visible := map[cluster.GroupName]bool{}
	s.Groups = []GroupStatus{}
	for _, g := range groups {
		if slices.Contains(g.Customers, customer) {
			g.Customers = []string{customer}
			s.Groups = append(s.Groups, g)
			visible[g.Name] = true
		}
	}
	failovers := s.Failovers
	s.Failovers = []FailoverStatus{}
	for _, f := range failovers {
		if visible[f.Group] {
			s.Failovers = append(s.Failovers, f)
		}
	}
	return s
}
