// Package program runs the command of a program with signals and exit codes.
package program

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/rattancove/rattancove/internal/version"
)

// Exit codes of every program.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitUsage reports wrong arguments or invalid settings.
	ExitUsage = 2
)

// Error carries an exit code.
type Error struct {
	Code  int
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// UsageError marks err as a fault of arguments or settings.
func UsageError(err error) error {
	if err == nil {
		return nil
	}
	return &Error{Code: ExitUsage, Cause: err}
}

// Prepare makes wrong usage of cmd and of its subcommands an error of Usage:
// unknown commands, unknown or missing flags, values that do not parse, and
// arguments other than those that ArgsUsage describes.
func Prepare(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return UsageError(err) }
	if len(cmd.Commands) > 0 && cmd.Action == nil {
		cmd.Action = showCommands
	}
	if len(cmd.Commands) == 0 {
		cmd.Action = checkArguments(cmd.ArgsUsage, cmd.Action)
	}
	for _, sub := range cmd.Commands {
		Prepare(sub)
	}
}

// showCommands is the action of a command that only has subcommands.
func showCommands(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return UsageError(fmt.Errorf("there is no command %q; see --help", name))
	}
	return cli.ShowSubcommandHelp(cmd)
}

// Run runs cmd until it returns and gives the process's exit code. SIGINT and
// SIGTERM end the command's context; a second signal ends the process.
func Run(cmd *cli.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	cmd.Version = version.Version
	cmd.EnableShellCompletion = true
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	Prepare(cmd)
	err := cmd.Run(ctx, os.Args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", cmd.Name, err)
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ExitFailure
}
