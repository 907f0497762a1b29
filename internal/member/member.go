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

// Role tells what a process does.
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

// Member describes one process.
type Member struct {
	// ID names the entry VM. A proxy and a warden on one VM share it.
	ID            string
	Role          Role
	Address       string
	FailureDomain string
	// Incarnation rises with each start of the process.
	Incarnation uint64
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

// Report is evidence about a member as it travels between processes.
type Report struct {
	Member Member
	State  State
	// Age is the time since the state was true.
	Age time.Duration
	// Stable is set when the sender takes the member for stable.
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
	// AliveSince is the time from which the member has been alive without a break.
	AliveSince time.Time
	// ObservedAt is the time at which State was last true.
	ObservedAt time.Time
	// Stable is set when the member has been alive for stableAfter.
	Stable bool
	// presentAtStart is set for a member that this process found while it started and
	// that has been alive without a break since.
	presentAtStart bool
	// reportedStable is set when another process has told that it is stable.
	reportedStable bool
	// lastContact is the time of the last direct contact.
	lastContact time.Time
	// suspectedAt is the time at which this process last began to doubt the member.
	suspectedAt time.Time
	// probedAt is the doubtedAt for which the member was pinged directly.
	probedAt time.Time
	// refutingUntil ends the time in which evidence that the member lives is
	// passed on at once, because others doubt it.
	refutingUntil time.Time
	// sendsLeft is the number of times that the entry is still sent to others.
	sendsLeft int
}

// usable reports whether the member may be given work.
func (e Entry) usable() bool { return e.State == StateAlive || e.State == StateSuspect }
