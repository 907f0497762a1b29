// Package pool manages the data connections of one home proxy to one backend
// server.
//
// A Pool opens connections on demand, with a jittered backoff after a failure, and
// never holds more than its limit. Each connection is opened for a tag, the
// organisation, and serves requests for that tag only; at the limit the least recently
// used idle one of another tag is closed for it. Connections are opened one at a time,
// or where tags are in use at most as many as calls of Get wait. The caller of Get owns
// the connection until it calls Return or Discard. A connection that is not in
// its initial session state is reset before it is reused; one that failed, or
// that has an unread response, is closed and never reused. Connections that have
// been idle for long are probed, and closed if they do not respond.
package pool
