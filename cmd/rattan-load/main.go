// Command rattan-load drives a deployment with open-loop work and reports
// latencies, outcomes and broken promises.
package main

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/rattancove/rattancove/internal/load"
	"github.com/rattancove/rattancove/internal/program"
)

func main() { os.Exit(program.Run(command())) }

func command() *cli.Command {
	return &cli.Command{
		Name:     "rattan-load",
		Usage:    "drive a deployment with work and report what callers saw",
		Commands: []*cli.Command{runCommand(), queryCommand(), reportCommand(), compareCommand()},
	}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run a profile alone and under a flood",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "profile", Value: "cotopaxi", Usage: "workload: cotopaxi or consorzio"},
			&cli.StringSliceFlag{Name: "proxy", Usage: "caller address of a proxy; repeat for each", Required: true},
			&cli.StringSliceFlag{Name: "metrics", Usage: "metrics URL of a process; repeat for each"},
			&cli.StringFlag{Name: "user", Usage: "database user; the profile's own when empty"},
			&cli.StringFlag{Name: "password", Usage: "password of the user", Sources: cli.EnvVars("RATTAN_LOAD_PASSWORD")},
			&cli.Float64Flag{Name: "rate", Value: 50, Usage: "base requests per second"},
			&cli.StringFlag{Name: "only", Usage: "restrict the base rate to one rank"},
			&cli.DurationFlag{Name: "work", Value: 10 * time.Millisecond, Usage: "service time of a statement"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "length of each phase"},
			&cli.StringFlag{Name: "flood", Usage: "rank of a flood; adds a second phase"},
			&cli.Float64Flag{Name: "flood-rate", Value: 500, Usage: "requests per second of the flood"},
			&cli.DurationFlag{Name: "flood-work", Usage: "service time of the flood's statements; 0 means the same"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals"},
			&cli.StringFlag{Name: "out", Usage: "write the report as JSON to this file"},
			&cli.StringFlag{Name: "plot", Usage: "draw the report to this SVG or PNG file"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	profile, err := load.FindProfile(cmd.String("profile"))
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, load.Config{
		Profile: profile, Phases: phases(cmd), Proxies: cmd.StringSlice("proxy"), Metrics: cmd.StringSlice("metrics"),
		User: cmd.String("user"), Password: cmd.String("password"), Work: cmd.Duration("work"), Seed: cmd.Uint64("seed"),
	})
	if err != nil {
		return err
	}
	if err := report.Table(os.Stdout); err != nil {
		return eris.Wrap(err, "print table")
	}
	if path := cmd.String("out"); path != "" {
		if err := report.Write(path); err != nil {
			return err
		}
	}
	if path := cmd.String("plot"); path != "" {
		return report.Plot(path)
	}
	return nil
}

func phases(cmd *cli.Command) []load.Phase {
	base := load.Phase{Name: "alone", Duration: cmd.Duration("duration"), Rate: cmd.Float64("rate"), Only: cmd.String("only")}
	all := []load.Phase{base}
	if rank := cmd.String("flood"); rank != "" {
		flood := base
		flood.Name = "flood_" + rank
		flood.FloodRank = rank
		flood.FloodRate = cmd.Float64("flood-rate")
		flood.FloodWork = cmd.Duration("flood-work")
		all = append(all, flood)
	}
	return all
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

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "print a stored report",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, cmd *cli.Command) error {
			report, err := load.ReadReport(cmd.Args().First())
			if err != nil {
				return err
			}
			return report.Table(os.Stdout)
		},
	}
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "print two stored reports side by side",
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
