// Command rattan-standin runs stand-ins for backend servers and for the
// platform. It is for development and tests only.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// version is set by the linker.
var version = "dev"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:                  "rattan-standin",
		Usage:                 "stand-ins for backend servers and the platform, for development and tests",
		Version:               version,
		EnableShellCompletion: true,
		Commands:              []*cli.Command{backendCommand(), groupCommand(), platformCommand()},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "rattan-standin:", err)
		os.Exit(1)
	}
}
