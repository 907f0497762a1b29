// Command rattan-warden watches the database groups and replaces their failed
// or leaving primaries.
package main

import (
	"os"

	"github.com/rattancove/rattancove/internal/program"
	"github.com/rattancove/rattancove/internal/settings"
)

func main() {
	os.Exit(program.Run(program.Daemon("rattan-warden", "failover of database groups", settings.LoadWarden, run)))
}
