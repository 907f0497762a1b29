// Command rattan-warden monitors the database groups and replaces primaries that
// have failed or are being decommissioned.
package main

import (
	"os"

	"github.com/rattancove/rattancove/internal/program"
	"github.com/rattancove/rattancove/internal/settings"
)

func main() {
	os.Exit(program.Run(program.Daemon("rattan-warden", "failover manager for database groups", settings.LoadWarden, run)))
}
