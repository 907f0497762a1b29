// Package route decides which server of a database group may run a request.
//
// The decision is a pure function of the request and of what is known about
// the servers: role, term, replayed position, expected wait and health. A read
// goes to a replica that has replayed the session floor, the position that
// the session must see, and whose data is not older than the request accepts.
// A read may wait a short time for a lagging replica rather than occupy a slot
// of the primary. An unknown floor does not count as zero: a request whose floor
// is not known runs on the primary.
package route
