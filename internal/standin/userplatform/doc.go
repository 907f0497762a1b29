// Package userplatform simulates the users' platform for tests and trials of the
// process that runs on an entry VM: the metadata store, database groups that speak
// the line protocol, and the call that promotes a server. It keeps all state in
// memory and listens on loopback addresses.
package userplatform
