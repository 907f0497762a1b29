// Package errcode defines the errors that rattancove itself answers to
// callers. Codes are separate from messages: a code fixes the SQLSTATE, the
// outcome of the request and the hint; the message says what happened here.
package errcode
