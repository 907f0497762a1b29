// Package backend declares what the decision packages need of a backend
// server: data connections, control connections and the fencing calls.
//
// Whoever dials a connection owns it and closes it. A connection that returned
// an error from Exchange or Reset must be closed by its owner and never reused.
package backend
