package statement

import (
	"context"
	"errors"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Class tells where a batch may run.
type Class uint8

// Classes of a batch.
const (
	// ClassWrite runs on the primary. It is the default when in doubt.
	ClassWrite Class = iota
	// ClassRead is a read outside any transaction that may run on a replica.
	ClassRead
	// ClassPrimaryRead is a read that must run on the primary.
	ClassPrimaryRead
	// ClassBegin opens a transaction block that may write.
	ClassBegin
	// ClassBeginReadOnly opens a read-only transaction block.
	ClassBeginReadOnly
	// ClassCopyData continues a COPY from the caller.
	ClassCopyData
	// ClassCommit ends a transaction that may have written.
	ClassCommit
)

// ReadOnly reports whether a batch of the class can change nothing.
func (c Class) ReadOnly() bool {
	return c == ClassRead || c == ClassPrimaryRead || c == ClassBeginReadOnly
}

// Prepared is the definition of a prepared statement that a batch refers to.
type Prepared struct {
	// Name is the server-side name, derived from the definition.
	Name string
	// Parse is the complete Parse message.
	Parse []byte
}

// Setting is one session setting that must be in force on the connection.
type Setting struct {
	Name  string
	Value string
}

// Batch is a run of complete protocol messages that ends where the server
// answers with its ready state, or a piece of a COPY.
type Batch struct {
	Messages []byte
	Prepared []Prepared
	Class    Class
	// Settings replace those of the request from this batch on; nil leaves them.
	Settings []Setting
}

// FreshnessMode tells what a read may miss.
type FreshnessMode uint8

// Freshness modes.
const (
	// FreshnessSession sees at least the session's own writes.
	FreshnessSession FreshnessMode = iota
	// FreshnessBounded sees the session's own writes and all data older than MaxAge.
	FreshnessBounded
	// FreshnessLatest sees every write acknowledged before the request.
	FreshnessLatest
)

// Freshness is what a read requires of the data it sees.
type Freshness struct {
	Mode   FreshnessMode
	MaxAge time.Duration
}

// Request opens a statement or a transaction at the home of a group.
type Request struct {
	// ID is unique for each request and names it in logs and on every frame.
	ID       string
	Group    cluster.GroupName
	Customer string
	// Session is the name that the caller gave its session. It is empty when
	// the session is private to one caller connection.
	Session   string
	Rank      cluster.Rank
	Freshness Freshness
	// Floor is the earliest position that the session may read at. When
	// FloorExact is false, writes of the session may exist beyond it.
	Floor      cluster.Position
	FloorExact bool
	// OrderID makes the request idempotent. It is empty when there is none.
	OrderID string
	// Settings are the session's settings in the order they were made.
	Settings []Setting
	// Timeout bounds the request from its arrival at the home.
	Timeout time.Duration
	// Objective is the time from the arrival in which the answer should be there;
	// zero when there is none. Less than zero means that it is over.
	Objective time.Duration
	// TraceParent is the W3C trace context of the previous hop.
	TraceParent string
	// Hops counts the proxies that passed the request on.
	Hops  int
	First Batch
}

// Result tells how a request ended.
type Result struct {
	// Position is the position of the request's last write; unknown if it wrote nothing.
	Position cluster.Position
	// Observed is the position of the data that a read saw, at least.
	Observed cluster.Position
	Server   cluster.ServerID
	Home     cluster.ProxyID
	Primary  bool
	// Repeat is set when an order had run before and its first answer was returned.
	Repeat bool
	// Reason tells in a few words why the server was chosen.
	Reason string
}

// Conversation is the caller's side of a running request.
type Conversation interface {
	// Next waits for the caller's next batch inside a transaction or COPY.
	// io.EOF means that the caller left.
	Next(ctx context.Context) (*Batch, error)
	// Answer passes complete protocol messages to the caller. The callee does
	// not keep data after it returns.
	Answer(ctx context.Context, data []byte) error
}

// ErrRunnerGone is the cause of the end of a request whose home has died or
// fallen silent: no answer can be waited for.
var ErrRunnerGone = errors.New("the process that runs the request is gone")

// Runner runs requests: the home itself, or the way to it over a peer.
//
// An error is an *errcode.Error when the request was refused or its outcome
// is known to be not run or unknown. Errors that the server answered are
// passed through Conversation.Answer and are not errors here.
type Runner interface {
	Run(ctx context.Context, req *Request, conv Conversation) (Result, error)
}
