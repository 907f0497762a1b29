// Package caller serves one caller connection at its entry proxy. It keeps the
// session's settings and prepared statements, opens transactions lazily and
// forwards statements to the home of the caller's database group, the process
// that owns the connections to the group's backend servers.
//
// The package is independent of the caller protocol: an adapter implements Conn,
// which decodes statements and encodes answers. A transaction is opened at a
// backend server only with its first statement, so that it holds no server
// connection before that. A failed statement ends the transaction at the server
// immediately; the caller sees the failed state until it ends the transaction.
package caller
