package program

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/urfave/cli/v3"
)

func newCommand() *cli.Command {
	done := func(context.Context, *cli.Command) error { return nil }
	cmd := &cli.Command{
		Name: "rattan", Writer: io.Discard, ErrWriter: io.Discard,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{{
			Name: "doc",
			Commands: []*cli.Command{{
				Name: "show", Action: done,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "environment", Required: true},
					&cli.IntFlag{Name: "revision"},
				},
			}},
		}},
	}
	Prepare(cmd)
	return cmd
}

func TestWrongUsage(t *testing.T) {
	for _, args := range [][]string{
		{"nothing"},
		{"doc", "nothing"},
		{"--nothing"},
		{"doc", "--nothing"},
		{"doc", "show"},
		{"doc", "show", "--environment", "e", "--nothing"},
		{"doc", "show", "--environment", "e", "--revision", "x"},
	} {
		err := newCommand().Run(t.Context(), append([]string{"rattan"}, args...))
		var e *Error
		if !errors.As(err, &e) || e.Code != ExitUsage {
			t.Errorf("%v: %v is not wrong usage", args, err)
		}
	}
}

func TestRightUsage(t *testing.T) {
	for _, args := range [][]string{{}, {"doc"}, {"--help"}, {"doc", "show", "--help"}, {"doc", "show", "--environment", "e"}} {
		if err := newCommand().Run(t.Context(), append([]string{"rattan"}, args...)); err != nil {
			t.Errorf("%v: %v", args, err)
		}
	}
}
