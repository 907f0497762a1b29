// Command rattan-warden watches the database groups and replaces their failed
// or leaving primaries.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/rattancove/rattancove/internal/program"
	"github.com/rattancove/rattancove/internal/settings"
)

func main() {
	os.Exit(program.Run(&cli.Command{
		Name:  "rattan-warden",
		Usage: "failover of database groups",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "YAML file with the settings", Required: true, Sources: cli.EnvVars("RATTAN_SETTINGS")},
			&cli.BoolFlag{Name: "check", Usage: "validate the settings and exit"},
		},
		Action: run,
	}))
}

func run(ctx context.Context, cmd *cli.Command) error {
	s, err := settings.LoadWarden(cmd.String("settings"))
	if err != nil {
		return program.Usage(err)
	}
	if cmd.Bool("check") {
		fmt.Println("settings are valid")
		return nil
	}
	return serve(ctx, s)
}
