// Package session tracks one caller's session at its entry proxy: its name and its
// floor, the lowest position in the group's log that it may read at.
//
// A private session belongs to one caller connection, so its proxy sees every
// write and its floor is exact. A named session may be used through several
// proxies at the same time, so its floor is exact only if the statement itself
// carries a token. Otherwise it is a lower bound, and the home of the group
// proves a sufficient position.
package session
