package environment

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Document is the configuration of one environment, which operators write in YAML.
type Document struct {
	// Name is the name of the environment, for example "cotopaxi-production".
	Name string `yaml:"name" validate:"required,max=63"`
	// Customers are the teams that share the environment.
	Customers []Customer `yaml:"customers" validate:"required,min=1,dive"`
	Groups    []Group    `yaml:"groups" validate:"required,min=1,dive"`
	Ranks     Ranks      `yaml:"ranks"`
	// Reads lists the kinds of read and the freshness that each requires.
	Reads         []Read         `yaml:"reads" validate:"dive"`
	Limits        Limits         `yaml:"limits"`
	ChangeWindows []ChangeWindow `yaml:"change_windows" validate:"dive"`
}

// Customer is a team whose callers and documents are isolated from those of others.
type Customer struct {
	Name string `yaml:"name" validate:"required,max=63"`
	// MaxCallers bounds the customer's caller connections on one proxy; zero means no bound.
	MaxCallers int `yaml:"max_callers" validate:"gte=0"`
	// Users are the database users that may connect on the customer's behalf.
	Users []User `yaml:"users" validate:"dive"`
}

// User is a database user and its SCRAM-SHA-256 verifier in the form that
// PostgreSQL stores: SCRAM-SHA-256$iterations:salt$stored:server. A user
// without a verifier is accepted without a password.
type User struct {
	Name     string `yaml:"name" validate:"required,max=63"`
	Verifier string `yaml:"verifier" validate:"omitempty,startswith=SCRAM-SHA-256$"`
}

// Group is a database group: one primary and its replicas.
type Group struct {
	Name      cluster.GroupName `yaml:"name" validate:"required,max=63"`
	Customers []string          `yaml:"customers" validate:"required,min=1"`
	Servers   []Server          `yaml:"servers" validate:"required,min=1,dive"`
	Promotion Promotion         `yaml:"promotion"`
}

// Server describes one backend server.
type Server struct {
	ID            cluster.ServerID `yaml:"id" validate:"required,max=63"`
	Address       string           `yaml:"address" validate:"required,hostname_port"`
	FailureDomain string           `yaml:"failure_domain" validate:"required"`
	Slots         int              `yaml:"slots" validate:"gte=1"`
	Connections   int              `yaml:"connections" validate:"gte=4"`
}

// Cluster converts the server to cluster.Server.
func (s Server) Cluster() cluster.Server {
	return cluster.Server{
		ID: s.ID, Address: s.Address, FailureDomain: s.FailureDomain,
		Slots: s.Slots, Connections: s.Connections,
	}
}

// NoMajority is the policy of a failover when no majority of the group answers.
type NoMajority string

// Policies for a group without a reachable majority.
const (
	// NoMajorityWait waits until a majority answers, so that no acknowledged order is lost.
	NoMajorityWait NoMajority = "wait"
	// NoMajorityPromote promotes the best reachable server and reports what may be lost.
	NoMajorityPromote NoMajority = "promote"
)

// Promotion is the failover policy of a group.
type Promotion struct {
	NoMajority NoMajority `yaml:"no_majority" validate:"omitempty,oneof=wait promote"`
	// DetectAfter is how long new connections to a primary must fail before it is replaced.
	DetectAfter time.Duration `yaml:"detect_after" validate:"gte=0"`
	// PreferDomains lists the failure domains preferred for the primary, best first.
	PreferDomains []string `yaml:"prefer_domains"`
}

// AckPolicy defines when a write is acknowledged to the caller.
type AckPolicy string

// Acknowledgement policies.
const (
	// AckMajority waits until a majority of the group has stored the write.
	AckMajority AckPolicy = "majority"
	// AckPrimary acknowledges once the primary has committed; a failover may lose the write.
	AckPrimary AckPolicy = "primary"
	// AckServer relies on the backend server, which acknowledges a write only once
	// it is stored by as many replicas as any promotion waits for. It cannot be
	// chosen in a document.
	AckServer AckPolicy = "server"
)

// Ranks holds the policy of each rank.
type Ranks struct {
	Urgent     RankPolicy `yaml:"urgent"`
	Normal     RankPolicy `yaml:"normal"`
	Background RankPolicy `yaml:"background"`
}

// Policy returns the policy of a rank.
func (r Ranks) Policy(rank cluster.Rank) RankPolicy {
	switch rank {
	case cluster.RankUrgent:
		return r.Urgent
	case cluster.RankNormal:
		return r.Normal
	default:
		return r.Background
	}
}

// RankPolicy defines the limits and the guaranteed share of one rank.
type RankPolicy struct {
	// Floor is the share of each server's slot time, from 0 to 1, that the rank is
	// guaranteed while it has requests waiting.
	Floor float64 `yaml:"floor" validate:"gte=0,lte=1"`
	// Queue is the maximum number of requests of the rank that wait at the home of
	// one group.
	Queue int `yaml:"queue" validate:"gte=0"`
	// MaxWait is the longest time that a request waits for a slot.
	MaxWait time.Duration `yaml:"max_wait" validate:"gte=0"`
	// KeepFreeSlots is the number of slots of each server that are reserved against
	// lower ranks.
	KeepFreeSlots int       `yaml:"keep_free_slots" validate:"gte=0"`
	Ack           AckPolicy `yaml:"ack" validate:"omitempty,oneof=majority primary"`
}

// Read is a named kind of read and the freshness that it requires.
type Read struct {
	Name   string        `yaml:"name" validate:"required,max=63"`
	Mode   string        `yaml:"mode" validate:"required,oneof=session bounded latest"`
	MaxAge time.Duration `yaml:"max_age" validate:"gte=0"`
}

// Limits bound the resources that callers may use.
type Limits struct {
	// CallersPerProxy bounds the caller connections of one proxy.
	CallersPerProxy int `yaml:"callers_per_proxy" validate:"gte=0"`
	// QueueBytes bounds the bytes of waiting requests at the home of one group.
	QueueBytes int64 `yaml:"queue_bytes" validate:"gte=0"`
	// MessageBytes bounds one protocol message of a caller.
	MessageBytes int `yaml:"message_bytes" validate:"gte=0"`
	// StatementTime bounds one statement.
	StatementTime time.Duration `yaml:"statement_time" validate:"gte=0"`
	// TransactionTime bounds one transaction.
	TransactionTime time.Duration `yaml:"transaction_time" validate:"gte=0"`
	// IdleInTransaction bounds the wait for the next statement inside a transaction.
	IdleInTransaction time.Duration `yaml:"idle_in_transaction" validate:"gte=0"`
}

// ChangeWindow is a weekly period in which changes of the document are refused
// unless a reason to override the window is given and recorded.
type ChangeWindow struct {
	Name     string `yaml:"name" validate:"required"`
	Day      string `yaml:"day" validate:"required,oneof=monday tuesday wednesday thursday friday saturday sunday"`
	From     string `yaml:"from" validate:"required,datetime=15:04"`
	To       string `yaml:"to" validate:"required,datetime=15:04"`
	TimeZone string `yaml:"time_zone" validate:"required,timezone"`
}

// Group returns a group by name. The second result is false when there is none.
func (d *Document) Group(name cluster.GroupName) (Group, bool) {
	for _, g := range d.Groups {
		if g.Name == name {
			return g, true
		}
	}
	return Group{}, false
}
