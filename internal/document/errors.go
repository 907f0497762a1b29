package document

import (
	"errors"
	"fmt"

	"github.com/rattancove/rattancove/internal/environment"
)

// ErrDigest reports a stored document whose bytes do not match its digest.
var ErrDigest = errors.New("document does not match its digest")

// RequestError reports a change that lacks something.
type RequestError struct {
	Field   string
	Message string
}

// Error implements error.
func (e *RequestError) Error() string { return e.Field + ": " + e.Message }

// ConflictError reports that another change was first. Nothing was changed.
type ConflictError struct {
	// Winner is the revision in force.
	Winner Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Winner.Revision == 0 {
		return "conflict: the environment has no document"
	}
	return fmt.Sprintf("conflict: revision %d of %s by %s (%s) came first",
		e.Winner.Revision, e.Winner.Environment, e.Winner.Who, e.Winner.Why)
}

// WindowError reports a change inside a change window without an override.
// Nothing was changed.
type WindowError struct {
	Window environment.ChangeWindow
}

// Error implements error.
func (e *WindowError) Error() string {
	w := e.Window
	return fmt.Sprintf("change window %s is in force on %s from %s to %s %s: give a reason to override it",
		w.Name, w.Day, w.From, w.To, w.TimeZone)
}

// UnknownError reports that a change may have taken effect. The same change
// may be sent again with the same id.
type UnknownError struct {
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("it is not known whether change %s took effect; send it again with the same change id: %s", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }
