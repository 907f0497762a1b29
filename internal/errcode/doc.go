// Package errcode defines the errors that rattancove itself returns to callers. A
// code determines the SQLSTATE, the outcome of the request and the hint; the message
// of an error describes the particular failure.
package errcode
