package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/rattancove/rattancove/internal/load"
	"github.com/rattancove/rattancove/internal/program"
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "run a scenario and report latencies and outcomes",
		ArgsUsage: "SCENARIO",
		Flags: append(faultFlags(),
			&cli.StringSliceFlag{Name: "proxy", Usage: "caller address of a proxy; repeat for each", Required: true},
			&cli.StringSliceFlag{Name: "metrics", Usage: "metrics URL of a process; repeat for each"},
			&cli.StringFlag{Name: "user", Usage: "database user; empty for that of the profile"},
			&cli.StringFlag{Name: "password", Usage: "password of the user", Sources: cli.EnvVars("RATTAN_LOAD_PASSWORD")},
			&cli.StringFlag{Name: "commit", Usage: "commit under test, for the report; empty for that of this program"},
			&cli.DurationFlag{Name: "timeout", Usage: "time limit of the whole run; 0 for no limit"},
			&cli.StringFlag{Name: "out", Usage: "write the report as JSON to this file"},
			&cli.StringFlag{Name: "plot", Usage: "plot the report to this SVG or PNG file"},
		),
		Action: runScenario,
	}
}

// faultFlags returns the flags for the targets of a scenario's faults.
func faultFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "server", Usage: "backend server stand-in as id=address; repeat for each"},
		&cli.StringFlag{Name: "table", Usage: "address of the table service stand-in"},
		&cli.StringFlag{Name: "objects", Usage: "URL of the object store stand-in"},
		&cli.StringFlag{Name: "vms", Usage: "URL of the VM list stand-in"},
		&cli.StringSliceFlag{Name: "process", Usage: "process that faults may signal, as name=pid; repeat for each"},
	}
}

func runScenario(ctx context.Context, cmd *cli.Command) error {
	config, err := scenarioConfig(cmd)
	if err != nil {
		return program.UsageError(err)
	}
	if timeout := cmd.Duration("timeout"); timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	report, err := load.Run(ctx, config)
	if err != nil {
		return err
	}
	if err := report.WriteTable(os.Stdout); err != nil {
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

func scenarioConfig(cmd *cli.Command) (load.Config, error) {
	scenario, err := load.ReadScenario(cmd.Args().First())
	if err != nil {
		return load.Config{}, err
	}
	profile, err := load.FindProfile(scenario.Profile)
	if err != nil {
		return load.Config{}, err
	}
	targets, err := faultTargets(cmd)
	return load.Config{
		Profile: profile, Phases: scenario.Phases, ServiceTime: scenario.ServiceTime, Seed: uint64(scenario.Seed), Slots: scenario.Slots,
		Proxies: cmd.StringSlice("proxy"), Metrics: cmd.StringSlice("metrics"),
		User: cmd.String("user"), Password: cmd.String("password"), Commit: cmd.String("commit"), FaultTargets: targets,
	}, err
}

func faultTargets(cmd *cli.Command) (load.FaultTargets, error) {
	servers, err := parsePairs(cmd.StringSlice("server"))
	if err != nil {
		return load.FaultTargets{}, err
	}
	processes, err := parsePairs(cmd.StringSlice("process"))
	if err != nil {
		return load.FaultTargets{}, err
	}
	targets := load.FaultTargets{
		Servers: servers, Table: cmd.String("table"), Processes: map[string]int{},
		Services: map[string]string{"objects": cmd.String("objects"), "vms": cmd.String("vms")},
	}
	for name, pidText := range processes {
		pid, err := strconv.Atoi(pidText)
		if err != nil {
			return load.FaultTargets{}, eris.Wrapf(err, "process %s", name)
		}
		targets.Processes[name] = pid
	}
	return targets, nil
}

// parsePairs parses arguments of the form name=value.
func parsePairs(args []string) (map[string]string, error) {
	out := map[string]string{}
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		if !ok || name == "" || value == "" {
			return nil, fmt.Errorf("%q: want name=value", arg)
		}
		out[name] = value
	}
	return out, nil
}
