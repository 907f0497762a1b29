package back

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
)

const (
	sqlStateTooManyConnections = "53300"
	sqlStateFailedTransaction  = "25P02"
)

var (
	errClosed         = eris.New("connection is closed")
	errClosedByServer = eris.New("the server closed the idle connection")
	errTooLarge       = eris.New("message exceeds the limit")
	errInvalidReady   = eris.New("ReadyForQuery without a transaction status")
	errUnexpected     = eris.New("unexpected message from the server")
)

// ServerError is an ErrorResponse of a server.
type ServerError struct {
	Severity string
	Code     string
	Message  string
	// Detail is, for SQLStateSuperseded, the home whose claim the server has accepted.
	Detail string
}

func newServerError(m *pgproto3.ErrorResponse) *ServerError {
	severity := m.SeverityUnlocalized
	if severity == "" {
		severity = m.Severity
	}
	return &ServerError{Severity: severity, Code: m.Code, Message: m.Message, Detail: m.Detail}
}

// unsentErrorCode returns the code for an error that occurred before anything was
// sent for execution: the server refused the connection, or closed it while it was
// idle.
func unsentErrorCode(err error) errcode.Code {
	var serverErr *ServerError
	if !errors.As(err, &serverErr) {
		return errcode.ConnectionLost
	}
	switch serverErr.Code {
	case SQLStateSuperseded:
		return errcode.Superseded
	case sqlStateTooManyConnections:
		return errcode.Overloaded
	default:
		return errcode.ConnectionLost
	}
}

// wrapError wraps err with the server as the peer, or, for a superseded claim, with
// the home to ask instead.
func wrapError(err error, code errcode.Code, step string, s cluster.Server) error {
	var serverErr *ServerError
	if code.Name == errcode.Superseded.Name && errors.As(err, &serverErr) && serverErr.Code == SQLStateSuperseded {
		return errcode.Wrap(err, code, step, serverErr.Detail)
	}
	return errcode.Wrap(err, code, step, string(s.ID))
}

// Error implements error.
func (e *ServerError) Error() string { return fmt.Sprintf("%s %s: %s", e.Severity, e.Code, e.Message) }

// fatal reports whether the server closes the connection after this error.
func (e *ServerError) fatal() bool { return e.Severity == "FATAL" || e.Severity == "PANIC" }
