package member

import (
	"embed"
	"time"

	"github.com/rattancove/rattancove/internal/statechart"
)

//go:embed member.yaml
var charts embed.FS

var chart = statechart.MustLoad(charts, "member.yaml")

// Chart returns the state chart of a member.
func Chart() *statechart.Chart { return chart }

// Role is the kind of a process.
type Role string

// Roles of a process.
const (
	RoleProxy  Role = "proxy"
	RoleWarden Role = "warden"
)

// State is a state of the member chart.
type State string

// States of a member.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	StateLeaving State = "leaving"
	StateDead    State = "dead"
)

// Events of the member chart.
const (
	eventHeard     = "heard"
	eventMissed    = "missed"
	eventLeft      = "left"
	eventExpired   = "expired"
	eventRestarted = "restarted"
)

// Member describes one process. Lease rows hold it as JSON.
type Member struct {
	// ID is the name of the entry VM. A proxy and a warden on one VM share it.
	ID            string
	Role          Role
	Address       string
	FailureDomain string
	// Incarnation increases with each start of the process.
	Incarnation uint64
	// Weight is the capacity of the VM for homes, as Capacity.Weight derives it; zero if
	// it is unknown. It does not change within an incarnation.
	Weight uint32 `json:",omitempty"`
}

// Key identifies a process in the view.
type Key struct {
	Role Role
	ID   string
}

// Key returns the key of m.
func (m Member) Key() Key { return Key{Role: m.Role, ID: m.ID} }

// String returns the key as "role/id".
func (k Key) String() string { return string(k.Role) + "/" + k.ID }

// Report is an observation of a member's state, as processes exchange it.
type Report struct {
	Member Member
	State  State
	// Age is the time since the state was observed.
	Age time.Duration
	// Stable is set when the sender considers the member stable.
	Stable bool
}

// PingMessage is the content of a ping and of its reply.
type PingMessage struct {
	From    Report
	Members []Report
}

// Entry is one member of the view.
type Entry struct {
	Member Member
	State  State
	// AliveSince is the time since which the member has been alive without interruption.
	AliveSince time.Time
	// ObservedAt is the time at which State was last observed.
	ObservedAt time.Time
	// Stable is set when the member has been alive for stableAfter.
	Stable bool
	// presentAtStart is set for a member that was discovered while this process
	// started and that has been alive without interruption since.
	presentAtStart bool
	// reportedStable is set when another process has reported the member stable.
	reportedStable bool
	// lastContact is the time of the last direct contact.
	lastContact time.Time
	// suspectedAt is the time at which the member last became suspect here.
	suspectedAt time.Time
	// probedAt is the value of suspectedAt for which the member was pinged
	// directly.
	probedAt time.Time
	// refutingUntil is the end of the period in which reports that the member is
	// alive are sent with priority, because other processes suspect it.
	refutingUntil time.Time
	// sendsLeft is the number of times that the entry has yet to be gossiped.
	sendsLeft int
}

// usable reports whether the member may be assigned work.
func (e Entry) usable() bool { return e.State == StateAlive || e.State == StateSuspect }
