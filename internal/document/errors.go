package document

import (
	"errors"
	"fmt"

	"github.com/rattancove/rattancove/internal/environment"
)

// ErrDigest reports a corrupt stored document: its text does not match its digest.
var ErrDigest = errors.New("document does not match its digest")

// RequestError reports an invalid or missing field of a change.
type RequestError struct {
	Field   string
	Message string
}

// Error implements error.
func (e *RequestError) Error() string { return e.Field + ": " + e.Message }

// ConflictError reports that another change was committed first. This one had no
// effect.
type ConflictError struct {
	// Current is the revision in force.
	Current Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current.Revision == 0 {
		return "conflict: the environment has no document"
	}
	return fmt.Sprintf("conflict: revision %d of %s by %s (%s) came first",
		e.Current.Revision, e.Current.Environment, e.Current.Who, e.Current.Why)
}

// WindowError reports a change inside a change window without an override. The
// change had no effect.
type WindowError struct {
	Window environment.ChangeWindow
}

// Error implements error.
func (e *WindowError) Error() string {
	w := e.Window
	return fmt.Sprintf("change window %s is in force on %s from %s to %s %s: give a reason to override it",
		w.Name, w.Day, w.From, w.To, w.TimeZone)
}

// UnknownError reports that the outcome of a change is unknown: it may have taken
// effect. Repeating it with the same change id is safe.
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
