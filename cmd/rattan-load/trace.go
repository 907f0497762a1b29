package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/rattancove/rattancove/internal/load"
)

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "print the traces in a file of exported spans as trees",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, cmd *cli.Command) error {
			f, err := os.Open(cmd.Args().First())
			if err != nil {
				return err
			}
			defer f.Close()
			return load.WriteTraces(os.Stdout, f)
		},
	}
}
