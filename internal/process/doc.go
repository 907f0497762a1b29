// Package process builds the parts that every process of an entry VM has: logging
// and tracing, the clients of the platform's services, the view of the members, the
// environment document in force, and the peer server and clients.
package process
