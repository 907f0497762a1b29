// Package session holds what an entry proxy knows of one caller's session: its
// name and the earliest position in the group's log that it may read at.
//
// A private session belongs to one caller connection, so its proxy sees every
// write and its floor is exact. A named session may be used from several
// proxies at once; its floor is a lower bound unless the statement itself
// carries the token, and the home then proves a sufficient position.
package session
