// Package pgtable is the platform's table service over the PostgreSQL protocol.
//
// Rows live in the table rattan_rows(key TEXT PRIMARY KEY, version BIGINT,
// value BYTEA), which is created when it is missing. A conditional write of
// several rows runs in one transaction.
package pgtable
