// Package panics confines a panic to the connection, feed or call that caused it, so
// that one malformed message does not end the whole process.
package panics

import (
	"fmt"
	"runtime/debug"
)

// Error is a panic that was recovered.
type Error struct {
	// Reason is the value that was passed to panic.
	Reason any
	Stack  []byte
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("panic: %v", e.Reason) }

// Recover runs work. If it panics, Recover returns an *Error.
func Recover(work func() error) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = &Error{Reason: reason, Stack: debug.Stack()}
		}
	}()
	return work()
}
