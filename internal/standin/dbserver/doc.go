// Package dbserver is a small backend server for development and tests. It
// speaks the PostgreSQL v3 protocol, keeps its rows in an embedded SQL library
// and ships a log of committed transactions to the replicas of its group.
//
// Transactions are optimistic: the statements of an open transaction are run
// again when another transaction used the writer in between, and the commit
// fails with SQLSTATE 40001 when a result differs from the first run. Writes
// with the same condition on the same table, and inserts with the same first
// value, wait for each other as they would for a row lock.
package dbserver
