// Package statement defines what is sent from a caller's entry proxy to the home
// proxy of a database group, and back: a request, the batches of protocol messages
// that belong to it, and the result.
//
// Messages are opaque here. Only the protocol adapters parse them.
package statement
