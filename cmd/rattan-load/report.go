package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/rattancove/rattancove/internal/benchpage"
	"github.com/rattancove/rattancove/internal/load"
)

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
			return report.WriteTable(os.Stdout)
		},
	}
}

func pageCommand() *cli.Command {
	return &cli.Command{
		Name:      "page",
		Usage:     "write the page of benchmark results from a directory with the reports of the standard set",
		ArgsUsage: "DIRECTORY",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "docs/BENCH.md", Usage: "path of the page"},
			&cli.StringFlag{Name: "notes", Value: "docs/bench-notes.md", Usage: "Markdown file to append to the page"},
			&cli.StringFlag{Name: "command", Value: "make bench", Usage: "command to name on the page as the one that generates it"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return writePage(cmd.Args().First(), cmd.String("out"), cmd.String("notes"), cmd.String("command"))
		},
	}
}

func writePage(dir, path, notesPath, command string) error {
	set, err := benchpage.ReadSet(dir)
	if err != nil {
		return err
	}
	notes, err := os.ReadFile(notesPath)
	if err != nil {
		return eris.Wrap(err, "read notes")
	}
	reports, err := filepath.Rel(filepath.Dir(path), dir)
	if err != nil {
		return eris.Wrap(err, "find path from the page to the reports")
	}
	f, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create page")
	}
	defer f.Close()
	err = set.Write(f, benchpage.Options{Command: command, ReportsPath: filepath.ToSlash(reports), Notes: string(notes)})
	if err != nil {
		return err
	}
	return eris.Wrap(f.Close(), "close page")
}
