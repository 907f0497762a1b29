package admin

import (
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/member"
)

// Status is the state of the environment as known to one process.
type Status struct {
	Environment string `json:"environment"`
	// ProcessID is the ID of the responding process, and Role its role.
	ProcessID cluster.ProxyID  `json:"proxy"`
	Role      string           `json:"role"`
	Time      time.Time        `json:"time"`
	Document  DocumentStatus   `json:"document"`
	Groups    []GroupStatus    `json:"groups"`
	Members   []MemberStatus   `json:"members"`
	Failovers []FailoverStatus `json:"failovers"`
	// FailoversMissing is the reason why failovers may be missing from the list; empty
	// if the list is complete.
	FailoversMissing string `json:"failovers_missing,omitempty"`
	// RunningMissing is the reason why running failovers may be missing; empty if
	// every live warden responded.
	RunningMissing string `json:"running_missing,omitempty"`
}

// DocumentStatus describes the document in force in one process.
type DocumentStatus struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	// Status is a state of the document_rollout chart.
	Status string `json:"status"`
	// ProofAgeMillis is the time since it was last confirmed that no newer document
	// exists; -1 if it never was.
	ProofAgeMillis int64 `json:"proof_age_millis"`
}

// GroupStatus describes one database group.
type GroupStatus struct {
	Name      cluster.GroupName `json:"name"`
	Customers []string          `json:"customers"`
	Term      cluster.Term      `json:"term"`
	Epoch     cluster.Epoch     `json:"epoch"`
	Home      cluster.ProxyID   `json:"home"`
	Primary   cluster.ServerID  `json:"primary"`
	// Writable is false while no primary accepts writes.
	Writable bool           `json:"writable"`
	Servers  []ServerStatus `json:"servers"`
	Queues   []QueueStatus  `json:"queues"`
	// Unknown is the reason why nothing beyond the document is known; empty if the
	// home responded.
	Unknown string `json:"unknown,omitempty"`
}

// ServerStatus describes one backend server as seen by the home of its group.
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
	// UnusedReason is the reason why no statements are sent to the server; empty if the
	// server is in use.
	UnusedReason string `json:"ejected,omitempty"`
}

// QueueStatus describes the queue of one rank at the home of a group.
type QueueStatus struct {
	Rank    string `json:"rank"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
	Refused uint64 `json:"refused_total"`
	// Expired counts requests that left the queue without being granted a slot.
	Expired uint64 `json:"expired_total"`
}

// MemberStatus describes one process of the deployment.
type MemberStatus struct {
	ID            cluster.ProxyID `json:"id"`
	Address       string          `json:"address"`
	FailureDomain string          `json:"failure_domain"`
	// Role is "proxy" or "warden".
	Role      string `json:"role"`
	State     string `json:"state"`
	AgeMillis int64  `json:"age_millis"`
	// Revision is the revision of the document that the member last reported to be in
	// force there.
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

// Name returns the role and the ID of the member. The ID alone is ambiguous because
// both programs of an entry VM share one.
func (m MemberStatus) Name() string { return m.Role + "/" + string(m.ID) }

// Running reports whether the member is not known to have stopped.
func (m MemberStatus) Running() bool { return m.State != string(member.StateDead) }

// behind reports whether the member holds an older revision, or a different
// document of the same one.
func (m MemberStatus) behind(revision uint64, digest string) bool {
	return m.Revision < revision || m.Revision == revision && m.Digest != digest
}

// FailoverStatus describes one replacement of a primary.
type FailoverStatus struct {
	Group   cluster.GroupName `json:"group"`
	Term    cluster.Term      `json:"term"`
	From    cluster.ServerID  `json:"from"`
	To      cluster.ServerID  `json:"to"`
	Reason  string            `json:"reason"`
	Started time.Time         `json:"started"`
	// Ended is zero while the failover is running.
	Ended time.Time `json:"ended"`
	// GapMillis is the time from the start of the failure to the end of the failover,
	// or until now while it is running.
	GapMillis int64 `json:"gap_millis"`
	// Outcome is "done", "running" or "failed".
	Outcome string `json:"outcome"`
	// Warden is the ID of the warden that runs or ran the failover.
	Warden string `json:"warden,omitempty"`
	// Step is a phase of the group_failover chart and StepSince its start time; set
	// while the failover is running.
	Step      string    `json:"step,omitempty"`
	StepSince time.Time `json:"step_since,omitzero"`
	// MayBeLost describes acknowledged writes that the new primary may lack; empty if
	// there are none.
	MayBeLost string `json:"may_be_lost,omitempty"`
	// Discarded describes unacknowledged writes that were discarded; empty if there are
	// none.
	Discarded string `json:"discarded,omitempty"`
}

// ForCustomer returns the part of the status that one customer may see: its own
// groups, without the names of other customers, and the failovers of these groups.
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
