// Package back is the PostgreSQL adapter towards backend servers. It
// implements the interfaces of package backend over the PostgreSQL v3 protocol.
//
// The owner of a connection closes it. A connection that returned an error is
// already closed, because part of a response may still be unread on it.
package back
