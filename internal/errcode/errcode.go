package errcode

import (
	"errors"
	"fmt"
	"time"
)

// Outcome states whether a request that was refused or failed has taken effect.
type Outcome uint8

// Outcomes of a request that did not succeed.
const (
	// OutcomeNotRun means that no part of the request took effect.
	OutcomeNotRun Outcome = iota
	// OutcomeUnknown means that the request may have taken effect.
	OutcomeUnknown
	// OutcomeDone means that the request took effect.
	OutcomeDone
)

var outcomeNames = [...]string{"not run", "unknown", "done"}

// String returns the outcome as it is written in error details.
func (o Outcome) String() string { return outcomeNames[o] }

// Code is one kind of error.
type Code struct {
	Name     string
	SQLState string
	Outcome  Outcome
	Hint     string
}

var registered []Code

// Codes of the errors that rattancove returns. docs/ERRORS.md lists them.
var (
	Overloaded       = register("overloaded", "53400", OutcomeNotRun, "The request was not run. Wait for the time in the detail and send it again.")
	DeadlinePassed   = register("deadline_passed", "57014", OutcomeNotRun, "The request was not run: it would not have been served in time.")
	NoHome           = register("no_home", "57P03", OutcomeNotRun, "The request was not run: no proxy owns the database group yet. Send it again.")
	NoPrimary        = register("no_primary", "57P03", OutcomeNotRun, "The request was not run: the primary is being replaced. Send it again.")
	Superseded       = register("superseded", "57P03", OutcomeNotRun, "The request was not run: another proxy owns the database group now. Send it again.")
	NotFresh         = register("not_fresh", "55R01", OutcomeNotRun, "No server could prove data fresh enough for this session in time. Send it again.")
	PositionLost     = register("position_lost", "55R02", OutcomeNotRun, "The session saw a write that the new primary does not have. Start a new session.")
	Unknown          = register("outcome_unknown", "08007", OutcomeUnknown, "The request may have run. Send it again with the same order id, or look before you repeat it.")
	ConnectionLost   = register("connection_lost", "08006", OutcomeNotRun, "The request was not run: the connection to the backend server was lost and the transaction was rolled back.")
	Draining         = register("draining", "57P01", OutcomeNotRun, "The proxy is stopping. Connect again.")
	TooManyCallers   = register("too_many_callers", "53300", OutcomeNotRun, "The proxy or the customer has reached its limit of connections. Connect again later.")
	LimitExceeded    = register("limit_exceeded", "54000", OutcomeNotRun, "The request exceeds a limit of the environment document.")
	IdleTransaction  = register("idle_transaction", "25P03", OutcomeNotRun, "The transaction was idle for too long and was rolled back.")
	Unauthorized     = register("unauthorized", "28000", OutcomeNotRun, "Check the user, the password and the database.")
	Protocol         = register("protocol_violation", "08P01", OutcomeNotRun, "The connection was closed because of a malformed message.")
	OldDocument      = register("old_document", "57P03", OutcomeNotRun, "The proxy cannot rule out a newer configuration and takes no new callers.")
	OrderMismatch    = register("order_mismatch", "22R01", OutcomeNotRun, "The order id was used before for a different request.")
	OrderShape       = register("order_shape", "0A000", OutcomeNotRun, "An order with an id is one batch without transaction commands, or a transaction whose COMMIT is sent by itself.")
	Malformed        = register("malformed", "42601", OutcomeNotRun, "The statement was not run: it cannot be understood or is not allowed in this transaction state.")
	RolledBack       = register("rolled_back", "25P02", OutcomeNotRun, "The transaction had failed and was rolled back. Send it again.")
	UnknownDatabase  = register("unknown_database", "3D000", OutcomeNotRun, "The request was not run: no route leads to the database.")
	UnknownStatement = register("unknown_statement", "26000", OutcomeNotRun, "The request was not run: the prepared statement does not exist in this session.")
	ServerBusy       = register("server_busy", "53300", OutcomeNotRun, "The request was not run: the backend server had no place for it. Send it again.")
	ReplicaBehind    = register("replica_behind", "55R03", OutcomeNotRun, "The request was not run: the replica lacks data that the session is owed. Send it again.")
	NotPrimary       = register("not_primary", "25006", OutcomeNotRun, "The request was not run: the backend server is not the primary any more. Send it again.")
	WrongServer      = register("wrong_server", "57P03", OutcomeNotRun, "The request was not run: another backend server answers at the address. Send it again.")
	ServerFailed     = register("server_failed", "58000", OutcomeUnknown, "The backend server ran the statement and failed. A read may be sent again.")
	ServerTimeout    = register("server_timeout", "57014", OutcomeUnknown, "The backend server stopped the statement at its time limit. A read may be sent again.")
	Denied           = register("denied", "28000", OutcomeNotRun, "The request was not run: the API key is unknown or was withdrawn.")
	QuotaExceeded    = register("quota_exceeded", "53400", OutcomeNotRun, "The request was not run: the organisation has reached its limit. Wait for the time in the detail and send it again.")
	Internal         = register("internal", "XX000", OutcomeUnknown, "Report this with the request id.")
)

func register(name, sqlState string, outcome Outcome, hint string) Code {
	c := Code{Name: name, SQLState: sqlState, Outcome: outcome, Hint: hint}
	registered = append(registered, c)
	return c
}

// All returns every code in the order of declaration.
func All() []Code { return registered }

// ByName returns the code with a name. For an unknown name it returns Internal and
// false.
func ByName(name string) (Code, bool) {
	for _, c := range registered {
		if c.Name == name {
			return c, true
		}
	}
	return Internal, false
}

// Error is an error with a code, the step that failed and the peer, or the other
// subject, that was involved.
type Error struct {
	Code Code
	// Step names the operation that failed, for example "dial" or "seal".
	Step string
	// Peer is the proxy, backend server or service on the other side. If the step
	// has none, it names what the error concerns: a user, customer, database group or
	// setting, or the kind of connection or resource that was refused. For Superseded it is the proxy that owns the
	// group now, or empty when that is unknown.
	Peer string
	// RetryAfter is the time to wait before a retry. Zero means that no time is
	// advised.
	RetryAfter time.Duration
	// Cause may be nil.
	Cause error
}

// New returns an Error without a cause.
func New(c Code, step, peer string) *Error { return &Error{Code: c, Step: step, Peer: peer} }

// Wrap returns an Error with a cause.
func Wrap(cause error, c Code, step, peer string) *Error {
	return &Error{Code: c, Step: step, Peer: peer, Cause: cause}
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s (%s) at %s", e.Code.Name, e.Code.Outcome, e.Step)
	if e.Peer != "" {
		s += " with " + e.Peer
	}
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// From returns the Error in err's chain, or wraps err as an internal error.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "unclassified", "")
}

// Is reports whether err or an error that it wraps has the code c.
func Is(err error, c Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code.Name == c.Name
}
