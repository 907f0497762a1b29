// Package catalog keeps what operators and backend servers publish in the
// platform's store: the configuration with its routes, and the entries of the
// backend servers. From both it derives the environment document that the
// homes follow.
//
// A Tracker owns the newest state. The version of the configuration only
// rises in one process. A server whose entry has vanished stays for a while,
// because entries lapse while the store is disturbed. Follower reads the
// store's feed and decides when to repeat a call; the state of a peer is taken
// up in the same way.
package catalog
