// Package catalog caches what operators and backend servers publish in the
// platform's store: the configuration with its routes, and the entries of the
// backend servers. From both it derives the environment document that the
// homes use.
//
// A Tracker holds the newest state. The version of the configuration never
// decreases within a process. A server whose entry is missing is kept for a
// grace period, because entries expire while the store is disrupted. A Follower
// polls the store's change feed and retries failed calls. A Subscriber polls
// other processes instead, and the state of a peer is merged by the same rules.
package catalog
