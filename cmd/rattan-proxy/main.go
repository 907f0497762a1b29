// Command rattan-proxy accepts connections from callers and executes their
// statements at the home proxies of the database groups.
package main

import (
	"os"

	"github.com/rattancove/rattancove/internal/program"
	"github.com/rattancove/rattancove/internal/proxy"
	"github.com/rattancove/rattancove/internal/settings"
)

func main() {
	os.Exit(program.Run(program.Daemon("rattan-proxy", "database proxy with session consistency", settings.LoadProxy, proxy.Run)))
}
