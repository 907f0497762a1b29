// Command rattan-standin runs stand-ins for backend servers and for the
// platform. It is for development and tests only.
package main

import (
	"os"

	"github.com/urfave/cli/v3"

	"github.com/rattancove/rattancove/internal/program"
)

func main() {
	os.Exit(program.Run(&cli.Command{
		Name:     "rattan-standin",
		Usage:    "run stand-ins for backend servers and the platform, for development and tests",
		Commands: []*cli.Command{backendCommand(), groupCommand(), platformCommand()},
	}))
}
