// Package caller serves one caller connection at its entry proxy: it keeps the
// session's settings and prepared statements, opens transactions lazily and
// passes statements on to the home of the caller's database group.
//
// It knows no protocol. An adapter decodes statements and encodes answers
// through Wire. A transaction that the caller begins is opened at a backend
// server together with its first statement, so that it holds no connection
// before it does any work. A statement that fails ends the transaction at the
// server at once; the caller sees the failed state until it ends it.
package caller
