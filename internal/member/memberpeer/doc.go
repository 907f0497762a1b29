// Package memberpeer carries the calls of package member and of the wardens
// between processes over package peer.
//
// Clients owns the connections that it opens. They are kept apart from those
// that carry statements: a ping must find out about a silent path by itself,
// and must not wait behind statements.
package memberpeer
