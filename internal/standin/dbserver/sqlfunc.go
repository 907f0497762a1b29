package dbserver

import (
	"database/sql/driver"

	"modernc.org/sqlite"
)

// pg_sleep and rattan_work return at once: the server waits for their time before
// it executes the statement.
func init() {
	for _, name := range []string{"pg_sleep", "rattan_work"} {
		sqlite.MustRegisterScalarFunction(name, 1, func(*sqlite.FunctionContext, []driver.Value) (driver.Value, error) {
			return "", nil
		})
	}
	sqlite.MustRegisterScalarFunction("version", 0, func(*sqlite.FunctionContext, []driver.Value) (driver.Value, error) {
		return "PostgreSQL 16.0 (rattan-standin)", nil
	})
}
