// Package route decides which server of a database group may run a request.
//
// The decision is a pure function of the request and of what is known about
// the servers: role, term, replayed position, expected wait and health. A read
// goes to a replica whose data meet the session's floor and the accepted age.
// It waits a little for a lagging replica when that is expected to be cheaper
// than the primary. An unknown floor is never read as zero: the caller of
// Decide states a floor, or states that no replica may be used.
package route
