package program

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
)

func newTestCommand() *cli.Command {
	succeed := func(context.Context, *cli.Command) error { return nil }
	cmd := &cli.Command{
		Name: "rattan", Writer: io.Discard, ErrWriter: io.Discard,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{{
			Name: "doc",
			Commands: []*cli.Command{{Name: "validate", ArgsUsage: "FILE", Action: succeed}, {
				Name: "show", Action: succeed,
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

func TestInvalidUsageIsReported(t *testing.T) {
	for _, args := range [][]string{
		{"nothing"},
		{"doc", "nothing"},
		{"--nothing"},
		{"doc", "--nothing"},
		{"doc", "show"},
		{"doc", "show", "--environment", "e", "--nothing"},
		{"doc", "show", "--environment", "e", "--revision", "x"},
		{"doc", "show", "--environment", "e", "extra"},
		{"doc", "validate"},
		{"doc", "validate", "a", "b"},
	} {
		err := newTestCommand().Run(t.Context(), append([]string{"rattan"}, args...))
		var e *Error
		if !errors.As(err, &e) || e.Code != ExitUsage {
			t.Errorf("%v: error %v is not a usage error", args, err)
		}
	}
}

func TestValidUsageIsAccepted(t *testing.T) {
	for _, args := range [][]string{{}, {"doc"}, {"--help"}, {"doc", "show", "--help"}, {"doc", "show", "--environment", "e"}, {"doc", "validate", "a"}} {
		if err := newTestCommand().Run(t.Context(), append([]string{"rattan"}, args...)); err != nil {
			t.Errorf("%v: %v", args, err)
		}
	}
}

func TestNumberOfArguments(t *testing.T) {
	for usage, accepted := range map[string]string{
		"": "0", "FILE": "1", "A B": "2", "FILE | OLD NEW": "12", "SQL...": "1234", "A SQL...": "234",
	} {
		for count := range 5 {
			if got, want := acceptsArguments(usage, count), strings.Contains(accepted, strconv.Itoa(count)); got != want {
				t.Errorf("%q accepts %d arguments: %t", usage, count, got)
			}
		}
	}
}

func TestDaemonTakesNoArguments(t *testing.T) {
	load := func(string) (int, error) { return 0, nil }
	serve := func(context.Context, int) error { t.Error("the daemon was started"); return nil }
	cmd := Daemon("rattan-proxy", "", load, serve)
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	Prepare(cmd)
	err := cmd.Run(t.Context(), []string{"rattan-proxy", "--settings", "file", "extra"})
	var e *Error
	if !errors.As(err, &e) || e.Code != ExitUsage {
		t.Errorf("error %v is not a usage error", err)
	}
}
