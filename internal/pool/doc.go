// Package pool manages the data connections of one home proxy to one backend
// server.
//
// A Pool opens connections on demand, one at a time and with a jittered backoff
// after a failure, and never holds more than its limit. The caller of Get owns
// the connection until it calls Return or Discard. A connection that is not in
// its initial session state is reset before it is reused; one that failed, or
// that has an unread response, is closed and never reused. Connections that have
// been idle for long are probed, and closed if they do not respond.
package pool
