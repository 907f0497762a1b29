// Command rattan-load generates open-loop load against a deployment and reports
// latencies, outcomes and consistency violations.
package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/rattancove/rattancove/internal/load"
	"github.com/rattancove/rattancove/internal/program"
)

func main() { os.Exit(program.Run(command())) }

func command() *cli.Command {
	return &cli.Command{
		Name:     "rattan-load",
		Usage:    "generate load against a deployment and report latencies and outcomes",
		Commands: []*cli.Command{runCommand(), queryCommand(), costCommand(), reportCommand(), compareCommand(), pageCommand(), traceCommand()},
	}
}

func queryCommand() *cli.Command {
	return &cli.Command{
		Name:      "query",
		Usage:     "run statements through one proxy and print their rows",
		ArgsUsage: "SQL...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "proxy", Usage: "caller address of the proxy", Required: true},
			&cli.StringFlag{Name: "group", Usage: "database group", Required: true},
			&cli.StringFlag{Name: "user", Value: "load", Usage: "database user"},
			&cli.StringFlag{Name: "password", Usage: "password of the user", Sources: cli.EnvVars("RATTAN_LOAD_PASSWORD")},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return load.Query(ctx, os.Stdout, load.Config{
				Proxies: []string{cmd.String("proxy")}, User: cmd.String("user"), Password: cmd.String("password"),
			}, cmd.String("group"), cmd.Args().Slice())
		},
	}
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "compare the latencies and rates of two stored reports",
		ArgsUsage: "A B",
		Action: func(_ context.Context, cmd *cli.Command) error {
			a, err := load.ReadReport(cmd.Args().Get(0))
			if err != nil {
				return err
			}
			b, err := load.ReadReport(cmd.Args().Get(1))
			if err != nil {
				return err
			}
			return load.Compare(os.Stdout, a, b)
		},
	}
}
