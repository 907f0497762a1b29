// Package pgtable is a client of the platform's table service over the PostgreSQL
// protocol.
//
// Rows are stored in the table rattan_rows(key TEXT PRIMARY KEY, version BIGINT,
// value BYTEA), which is created if it does not exist. A conditional write of
// several rows runs in one transaction.
package pgtable
