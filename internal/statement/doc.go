// Package statement defines the unit of work that travels from a caller's
// entry proxy to the home proxy of a database group: a request, the batches of
// protocol messages that belong to it, and the result.
//
// Messages are opaque here. Only the protocol adapters look inside them.
package statement
