// Package memory bounds the bytes that a process holds for clients that it does not control:
// messages, texts of sessions, requests of peers and answers. Bytes are taken from a pool
// before they are read and returned when the statement has ended. While bytes are waited
// for, connections that hold some and are slow are closed.
package memory
