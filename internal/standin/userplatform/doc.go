// Package userplatform is a small stand-in for the users' platform: its
// metadata store, database groups that speak the line protocol, and the call
// that promotes a server. It keeps everything in memory and serves loopback
// addresses, for tests and trials of the process of an entry VM.
package userplatform
