// Package program runs the command line of a program: it handles signals, reports
// usage errors and returns the exit code.
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
	// ExitUsage reports invalid arguments or settings.
	ExitUsage = 2
)

// Error is an error with the exit code of the program.
type Error struct {
	Code  int
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// UsageError marks err as an error in the arguments or settings. It returns nil for
// a nil err.
func UsageError(err error) error {
	if err == nil {
		return nil
	}
	return &Error{Code: ExitUsage, Cause: err}
}

// Prepare makes cmd and its subcommands return a UsageError on invalid usage:
// unknown commands, unknown or missing flags, values that cannot be parsed, and a
// number of arguments that does not match ArgsUsage.
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

// showCommands is the action of a command that has only subcommands. It prints the
// help, or fails for an unknown subcommand.
func showCommands(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return UsageError(fmt.Errorf("unknown command %q; see --help", name))
	}
	return cli.ShowSubcommandHelp(cmd)
}

// Run runs cmd until it returns, and returns the exit code of the process. SIGINT
// and SIGTERM end the context of the command; a second signal kills the process.
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
