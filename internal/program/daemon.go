package program

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// Daemon returns the command of a program that loads its settings from a file and
// serves until its context ends. Invalid settings are usage errors. With --check
// the settings are only validated.
func Daemon[S any](name, usage string, load func(path string) (S, error), serve func(context.Context, S) error) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "YAML file with the settings", Required: true, Sources: cli.EnvVars("RATTAN_SETTINGS")},
			&cli.BoolFlag{Name: "check", Usage: "validate the settings and exit"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := load(cmd.String("settings"))
			if err != nil {
				return UsageError(err)
			}
			if cmd.Bool("check") {
				fmt.Println("settings are valid")
				return nil
			}
			return serve(ctx, s)
		},
	}
}
