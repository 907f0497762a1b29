// Package dbserver simulates a backend server for development and tests. It
// speaks the PostgreSQL v3 protocol, stores its rows in SQLite and replicates a
// log of committed transactions to the other servers of its group.
//
// Transactions are optimistic: if another transaction has used the single
// writer in between, the statements of an open transaction are executed again,
// and the transaction fails with SQLSTATE 40001 if a result differs from that
// of the first execution. Writes with the same condition on the same table, and
// inserts with the same first value, are serialized as by a row lock.
package dbserver
