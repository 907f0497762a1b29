// Package process builds what every process of an entry VM has: its log and
// traces, its clients of the platform, its view of the members, the document
// in force, and the server and clients of its peers.
package process
