// Command rattan-proxy serves callers and runs their statements at the homes
// of the database groups.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/rattancove/rattancove/internal/program"
	"github.com/rattancove/rattancove/internal/proxy"
	"github.com/rattancove/rattancove/internal/settings"
)

func main() {
	os.Exit(program.Run(&cli.Command{
		Name:  "rattan-proxy",
		Usage: "database proxy with session consistency",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "YAML file with the settings", Required: true, Sources: cli.EnvVars("RATTAN_SETTINGS")},
			&cli.BoolFlag{Name: "check", Usage: "validate the settings and exit"},
		},
		Action: run,
	}))
}

func run(ctx context.Context, cmd *cli.Command) error {
	s, err := settings.LoadProxy(cmd.String("settings"))
	if err != nil {
		return program.Usage(err)
	}
	if cmd.Bool("check") {
		fmt.Println("settings are valid")
		return nil
	}
	return proxy.Run(ctx, s)
}
