package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rattancove/rattancove/internal/load"
)

func costCommand() *cli.Command {
	targetFlags := []cli.Flag{
		&cli.StringFlag{Name: "proxy", Usage: "caller address of the proxy", Required: true},
		&cli.StringFlag{Name: "group", Usage: "database group", Required: true},
		&cli.StringFlag{Name: "user", Usage: "database user", Required: true},
		&cli.StringFlag{Name: "password", Usage: "password of the user", Sources: cli.EnvVars("RATTAN_LOAD_PASSWORD")},
	}
	return &cli.Command{
		Name:  "cost",
		Usage: "measure the cost of connections, statements and background work",
		Commands: []*cli.Command{
			{
				Name:  "idle",
				Usage: "measure the memory per idle caller connection",
				Flags: append(targetFlags,
					&cli.StringFlag{Name: "metrics", Usage: "metrics URL of the proxy", Required: true},
					&cli.IntFlag{Name: "small", Value: 500, Usage: "number of connections at the first measurement"},
					&cli.IntFlag{Name: "large", Value: 2500, Usage: "number of connections at the second measurement"},
				),
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return load.IdleMemory(ctx, os.Stdout, costConfig(cmd), cmd.String("group"), cmd.Int("small"), cmd.Int("large"))
				},
			},
			{
				Name:  "latency",
				Usage: "compare the latency through a proxy with that of a direct connection",
				Flags: append(targetFlags,
					&cli.StringFlag{Name: "direct", Usage: "address of the backend server", Required: true},
					&cli.StringFlag{Name: "sql", Value: "SELECT 1", Usage: "statement to measure"},
					&cli.IntFlag{Name: "count", Value: 5000, Usage: "number of statements on each connection"},
				),
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return load.Latency(ctx, os.Stdout, costConfig(cmd), cmd.String("group"), cmd.String("sql"), cmd.String("direct"), cmd.Int("count"))
				},
			},
			{
				Name:  "rates",
				Usage: "measure CPU usage and counter rates of processes",
				Flags: []cli.Flag{
					&cli.StringSliceFlag{Name: "metrics", Usage: "metrics URL of a process; repeat for each", Required: true},
					&cli.StringSliceFlag{Name: "counter", Usage: "metric to print as a rate; repeat for each"},
					&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "length of the measurement"},
				},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return load.Rates(ctx, os.Stdout, cmd.StringSlice("metrics"), cmd.StringSlice("counter"), cmd.Duration("duration"))
				},
			},
		},
	}
}

func costConfig(cmd *cli.Command) load.Config {
	return load.Config{
		Proxies: []string{cmd.String("proxy")}, Metrics: []string{cmd.String("metrics")},
		User: cmd.String("user"), Password: cmd.String("password"),
	}
}
