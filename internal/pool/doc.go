// Package pool keeps the data connections of one home to one backend server.
//
// A Pool opens connections when they are needed, one at a time and with a
// jittered backoff after a failure, and never holds more than its limit. The
// caller of Get owns the connection until it calls Return or Discard. A
// connection that is not in its initial session state is reset before it is
// given to anyone else; one that failed, or that has an unread answer, is
// closed and never reused. The longest idle connections are probed and closed
// when they do not answer.
package pool
