package statement

import (
	"context"
	"errors"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Class classifies a batch by what it may do, which determines where it may run.
type Class uint8

// Classes of a batch.
const (
	// ClassWrite runs on the primary. It is the default if the class is uncertain.
	ClassWrite Class = iota
	// ClassRead is a read outside of transactions that may run on a replica.
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

// ReadOnly reports whether a batch of the class cannot change data.
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

// Setting is one session setting that must be set on the connection.
type Setting struct {
	Name  string
	Value string
}

// Batch is a sequence of complete protocol messages, after the last of which the
// server reports that it is ready, or a part of a COPY.
type Batch struct {
	Messages []byte
	Prepared []Prepared
	Class    Class
	// Settings replace those of the request from this batch on; nil keeps them.
	Settings []Setting
}

// FreshnessMode determines which writes a read must see.
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

// Freshness is the required freshness of the data that a read sees.
type Freshness struct {
	Mode   FreshnessMode
	MaxAge time.Duration
}

// Request starts a statement or a transaction at the home of a group.
type Request struct {
	// ID is unique for each request and identifies it in logs and in every frame.
	ID       string
	Group    cluster.GroupName
	Customer string
	// Organisation is the organisation of the caller's API key; empty if callers have
	// no keys, or for a caller without a known key on a public route.
	Organisation string
	// Session is the name of the caller's session. It is empty if the session is
	// private to one caller connection.
	Session   string
	Rank      cluster.Rank
	Freshness Freshness
	// Floor is the session floor, the lowest position that the session may read at. If FloorExact is
	// false, the session may have writes above it.
	Floor      cluster.Position
	FloorExact bool
	// OrderID is the idempotency key of the request. It is empty if there is none.
	OrderID string
	// Settings are the session's settings in the order in which they were set.
	Settings []Setting
	// Timeout bounds the request, starting from its arrival at the home.
	Timeout time.Duration
	// Objective is the time from the arrival at the home within which the response
	// should arrive; zero if there is none, negative if it has passed.
	Objective time.Duration
	// TraceParent is the W3C trace context of the previous hop.
	TraceParent string
	// Hops is the number of proxies that have forwarded the request.
	Hops  int
	First Batch
}

// Result is the result of a completed request.
type Result struct {
	// Position is the log position of the request's last write; unknown if it wrote nothing.
	Position cluster.Position
	// Observed is a position that covers all data that a read saw.
	Observed cluster.Position
	Server   cluster.ServerID
	Home     cluster.ProxyID
	Primary  bool
	// Deduplicated is set if an order had already run and its recorded response was returned.
	Deduplicated bool
	// Reason states in a few words why the server was chosen.
	Reason string
}

// Conversation is the caller's side of a running request.
type Conversation interface {
	// Next waits for the caller's next batch in a transaction or COPY. It returns
	// io.EOF if the caller has disconnected.
	Next(ctx context.Context) (*Batch, error)
	// SendResponse sends complete protocol messages to the caller. It must not retain
	// data after it returns.
	SendResponse(ctx context.Context, data []byte) error
}

// ErrRunnerUnavailable is the cause with which a request is canceled when its home has
// failed or does not respond, so that waiting for a response is pointless.
var ErrRunnerUnavailable = errors.New("the process that runs the request is gone")

// Runner runs requests: the home itself, or a client that forwards them to it.
//
// An error is an *errcode.Error if the request was refused, or if its outcome is
// known to be "not run" or "unknown". Errors that the server returned are sent
// through Conversation.SendResponse and are not errors here.
type Runner interface {
	Run(ctx context.Context, req *Request, conv Conversation) (Result, error)
}
