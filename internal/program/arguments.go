package program

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
)

// Syntax of an ArgsUsage.
const (
	// alternativeSeparator separates alternative lists of arguments.
	alternativeSeparator = "|"
	// repeatSuffix marks a last argument that may be repeated.
	repeatSuffix = "..."
)

// checkArguments returns an action that fails with a UsageError when the number of
// arguments does not match usage. Usage has one name for each argument, such as
// "FILE" or "FILE | OLD NEW" or "SQL...". An empty usage allows no arguments.
func checkArguments(usage string, action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if !acceptsArguments(usage, cmd.Args().Len()) {
			return UsageError(argumentsError(usage, cmd.Args().Slice()))
		}
		return action(ctx, cmd)
	}
}

// acceptsArguments reports whether an alternative of usage has argumentCount
// arguments.
func acceptsArguments(usage string, argumentCount int) bool {
	for form := range strings.SplitSeq(usage, alternativeSeparator) {
		nameCount := len(strings.Fields(form))
		if argumentCount == nameCount || argumentCount > nameCount && strings.HasSuffix(strings.TrimSpace(form), repeatSuffix) {
			return true
		}
	}
	return false
}

func argumentsError(usage string, given []string) error {
	if usage == "" {
		return fmt.Errorf("unexpected argument %q; the command takes none", given[0])
	}
	return fmt.Errorf("got %d arguments, want: %s", len(given), usage)
}
