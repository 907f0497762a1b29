package main

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/adminclient"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/program"
	"github.com/rattancove/rattancove/internal/version"
)

// Exit codes in addition to those of package program.
const (
	exitConflict = 3
	exitInvalid  = 4
	exitTimeout  = 5
)

const defaultTimeout = 30 * time.Second

// app holds the input and output streams of a run.
type app struct {
	in  io.Reader
	out io.Writer
	// progress receives output that is not part of the result, such as prompts.
	progress io.Writer
}

func newCommand(in io.Reader, out, progress io.Writer) *cli.Command {
	a := &app{in: in, out: out, progress: progress}
	command := &cli.Command{
		Name:  "rattanctl",
		Usage: "operate a rattancove deployment",
		Description: "Exit codes: 0 done, 1 failure, 2 wrong usage, 3 another change was first,\n" +
			"4 invalid document, 5 time ran out.",
		Writer:    out,
		ErrWriter: progress,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "server", Value: "https://127.0.0.1:8443", Sources: cli.EnvVars("RATTANCTL_SERVER"), Usage: "URL of a proxy's administration API"},
			&cli.StringFlag{Name: "key-file", Sources: cli.EnvVars("RATTANCTL_KEY_FILE"), Usage: "file with the API key"},
			&cli.StringFlag{Name: "ca", Sources: cli.EnvVars("RATTANCTL_CA"), Usage: "PEM file with the certificate authorities of the server"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: outputTable, Usage: "output format: table or json", Validator: validOutput},
			&cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "time limit of the command"},
		},
		Commands: []*cli.Command{
			a.documentCommand(), a.statusCommand(), a.reportCommand(), a.explainCommand(), a.keyCommand(),
			{Name: "version", Usage: "print the version", Action: func(context.Context, *cli.Command) error {
				return a.println(version.Version)
			}},
		},
	}
	program.Prepare(command)
	return command
}

func validOutput(s string) error {
	if s != outputTable && s != outputJSON {
		return errors.New("output must be table or json")
	}
	return nil
}

// newClient returns an API client configured from the flags.
func newClient(c *cli.Command) (*adminclient.Client, error) {
	api, err := adminclient.New(adminclient.Config{
		Server: c.String("server"), KeyFile: c.String("key-file"), CAFile: c.String("ca"),
	})
	return api, program.UsageError(err)
}

// withClient wraps an action that calls the API: it creates the client, applies
// the timeout and maps errors to exit codes.
func withClient(action func(context.Context, *cli.Command, *adminclient.Client) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		api, err := newClient(c)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
		defer cancel()
		return withExitCode(action(ctx, c, api))
	}
}

// withExitCode wraps err with the exit code for its type.
func withExitCode(err error) error {
	var (
		apiErr  *admin.Error
		faults  environment.Faults
		exitErr *program.Error
	)
	code := program.ExitFailure
	switch {
	case err == nil || errors.As(err, &exitErr):
		return err
	case errors.As(err, &apiErr):
		code = exitCodeOf(apiErr.Code)
		if len(apiErr.Faults) > 0 {
			err = eris.Errorf("%s\n%s", apiErr.Message, apiErr.Faults)
		}
	case errors.As(err, &faults):
		code = exitInvalid
	case errors.Is(err, context.DeadlineExceeded):
		code = exitTimeout
	}
	return &program.Error{Code: code, Cause: err}
}

func exitCodeOf(code admin.ErrorCode) int {
	switch code {
	case admin.CodeConflict:
		return exitConflict
	case admin.CodeInvalidDocument:
		return exitInvalid
	case admin.CodeUnknownOutcome:
		return exitTimeout
	case admin.CodeBadRequest:
		return program.ExitUsage
	default:
		return program.ExitFailure
	}
}
