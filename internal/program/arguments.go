package program

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
)

// Signs of an ArgsUsage.
const (
	// alternativeSeparator stands between forms of which one is given.
	alternativeSeparator = "|"
	// repeatSuffix ends an argument that may be repeated.
	repeatSuffix = "..."
)

// checkArguments makes arguments other than those that usage describes an
// error of Usage. Usage holds one name for each argument, such as "FILE" or
// "FILE | OLD NEW" or "SQL..."; without one no argument is taken.
func checkArguments(usage string, action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if !acceptsArguments(usage, cmd.Args().Len()) {
			return UsageError(argumentsError(usage, cmd.Args().Slice()))
		}
		return action(ctx, cmd)
	}
}

// acceptsArguments reports whether some form of usage takes count arguments.
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
