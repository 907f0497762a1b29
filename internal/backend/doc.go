// Package backend declares the interfaces to a backend server: data connections,
// control connections and the fencing calls.
//
// The caller that dials a connection owns it and must close it. A connection that
// returned an error from Exchange or Reset must be closed and never reused.
package backend
