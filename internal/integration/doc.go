// Package integration tests the programs as operators and callers meet them:
// real processes on loopback with stand-ins for the platform and for backend
// servers, killed and paused by signals.
package integration
