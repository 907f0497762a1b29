// Package integration tests the programs end to end: real processes on loopback
// with stand-ins for the platform and for backend servers, driven through the
// callers' port and rattanctl, and killed and paused by signals.
package integration
