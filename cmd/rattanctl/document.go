package main

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/adminclient"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/program"
)

const rolloutPollInterval = 500 * time.Millisecond

func (a *app) documentCommand() *cli.Command {
	env := &cli.StringFlag{Name: "environment", Aliases: []string{"e"}, Required: true, Usage: "environment"}
	return &cli.Command{
		Name:  "doc",
		Usage: "validate, compare, promote and roll back environment documents",
		Commands: []*cli.Command{
			{Name: "validate", Usage: "validate a document offline", ArgsUsage: "FILE", Action: a.validate},
			{
				Name: "diff", Usage: "show the changes from the document in force, or from another file, to a document",
				ArgsUsage: "FILE | OLD NEW", Action: a.diff,
				Flags: []cli.Flag{&cli.StringFlag{Name: "environment", Aliases: []string{"e"}, Usage: "environment to compare with"}},
			},
			a.promoteCommand(),
			a.rollbackCommand(),
			{Name: "history", Usage: "list the revisions of an environment", Flags: []cli.Flag{env}, Action: withClient(a.history)},
			{
				Name: "show", Usage: "print the document in force or of an earlier revision",
				Flags:  []cli.Flag{env, &cli.Uint64Flag{Name: "revision", Usage: "earlier revision"}},
				Action: withClient(a.show),
			},
			{
				Name: "status", Usage: "show which members have the latest revision in force",
				Flags:  []cli.Flag{env, &cli.BoolFlag{Name: "wait", Usage: "wait until it is in force on every member"}},
				Action: withClient(a.documentStatus),
			},
		},
	}
}

// environmentPath returns the path of an operation on an environment.
func environmentPath(env, operation string) string {
	return "/v1/environments/" + url.PathEscape(env) + "/" + operation
}

// parseFile reads and validates a document. Errors are prefixed with the path.
func parseFile(path string) (*environment.Document, []byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, program.UsageError(err)
	}
	d, err := environment.Parse(data)
	if err == nil {
		return d, data, nil
	}
	lines := strings.Split(err.Error(), "\n")
	for i, line := range lines {
		lines[i] = path + ":" + line
	}
	return nil, nil, &program.Error{Code: exitInvalid, Cause: eris.New("the document is refused\n" + strings.Join(lines, "\n"))}
}

func (a *app) validate(_ context.Context, c *cli.Command) error {
	path := c.Args().First()
	_, data, err := parseFile(path)
	if err != nil {
		return err
	}
	answer := admin.ValidationResponse{Valid: true, Digest: environment.Digest(data)}
	return a.print(c, answer, func(t *table) { t.line("%s is valid, digest %s", path, answer.Digest) })
}

func (a *app) diff(ctx context.Context, c *cli.Command) error {
	env := c.String("environment")
	switch {
	case c.Args().Len() == 2 && env == "":
		return a.diffFiles(c, c.Args().Get(0), c.Args().Get(1))
	case c.Args().Len() == 1 && env != "":
		return withClient(a.diffWithServer)(ctx, c)
	default:
		return program.UsageError(eris.New("two files, or one file and --environment, are required"))
	}
}

func (a *app) diffFiles(c *cli.Command, oldPath, newPath string) error {
	current, _, err := parseFile(oldPath)
	if err != nil {
		return err
	}
	next, _, err := parseFile(newPath)
	if err != nil {
		return err
	}
	if err := environment.CheckChange(current, next); err != nil {
		return withExitCode(err)
	}
	plan := environment.Diff(current, next)
	answer := admin.DiffResponse{Plan: plan, HasImpact: plan.HasImpact()}
	return a.print(c, answer, func(t *table) { t.plan(plan) })
}

func (a *app) diffWithServer(ctx context.Context, c *cli.Command, api *adminclient.Client) error {
	_, data, err := parseFile(c.Args().First())
	if err != nil {
		return err
	}
	answer, err := fetchPlan(ctx, api, c.String("environment"), string(data))
	if err != nil {
		return err
	}
	return a.print(c, answer, func(t *table) { t.plan(answer.Plan) })
}

func fetchPlan(ctx context.Context, api *adminclient.Client, env, text string) (admin.DiffResponse, error) {
	var answer admin.DiffResponse
	err := api.Post(ctx, environmentPath(env, "diff"), map[string]string{"document": text}, &answer)
	return answer, err
}

func (a *app) history(ctx context.Context, c *cli.Command, api *adminclient.Client) error {
	var answer admin.HistoryResponse
	if err := api.Get(ctx, environmentPath(c.String("environment"), "history"), &answer); err != nil {
		return err
	}
	return a.print(c, answer, func(t *table) { t.revisions(answer.Revisions) })
}

func fetchDocument(ctx context.Context, api *adminclient.Client, env string, revision uint64) (admin.DocumentResponse, error) {
	path := environmentPath(env, "document")
	if revision > 0 {
		path += fmt.Sprintf("?revision=%d", revision)
	}
	var answer admin.DocumentResponse
	err := api.Get(ctx, path, &answer)
	return answer, err
}

func (a *app) show(ctx context.Context, c *cli.Command, api *adminclient.Client) error {
	answer, err := fetchDocument(ctx, api, c.String("environment"), c.Uint64("revision"))
	if err != nil {
		return err
	}
	if c.String("output") == outputJSON {
		return a.print(c, answer, nil)
	}
	return a.println(strings.TrimSuffix(answer.Document, "\n"))
}

func (a *app) documentStatus(ctx context.Context, c *cli.Command, api *adminclient.Client) error {
	env := c.String("environment")
	var answer admin.RolloutResponse
	var err error
	if c.Bool("wait") {
		answer, err = a.waitForRollout(ctx, api, env, 0)
	} else {
		err = api.Get(ctx, environmentPath(env, "rollout"), &answer)
	}
	if err != nil {
		return err
	}
	return a.print(c, answer, func(t *table) {
		t.line("revision %d %s of %s was accepted at %s", answer.Accepted.Revision, shortDigest(answer.Accepted.Digest), env, formatTime(answer.Accepted.Time))
		t.members(answer.Members)
		if answer.InForce {
			t.line("in force on every member")
		} else {
			t.line("not yet in force on: %s", strings.Join(answer.Behind, ", "))
		}
	})
}

// waitForRollout waits until a revision of at least the given number is in
// force on every member. It prints the progress whenever that changes.
func (a *app) waitForRollout(ctx context.Context, api *adminclient.Client, env string, revision uint64) (admin.RolloutResponse, error) {
	lastProgress := ""
	for {
		var answer admin.RolloutResponse
		err := api.Get(ctx, environmentPath(env, "rollout"), &answer)
		if err != nil && ctx.Err() != nil {
			return answer, context.DeadlineExceeded
		}
		if err != nil {
			return answer, err
		}
		if answer.InForce && answer.Accepted.Revision >= revision {
			return answer, nil
		}
		progress := fmt.Sprintf("revision %d in force on %d of %d members, waiting for %s", answer.Accepted.Revision,
			len(answer.Members)-len(answer.Behind), len(answer.Members), strings.Join(answer.Behind, ", "))
		if progress != lastProgress {
			fmt.Fprintln(a.progress, progress)
			lastProgress = progress
		}
		if !delay.Sleep(ctx, rolloutPollInterval) {
			return answer, eris.Wrap(context.DeadlineExceeded, progress)
		}
	}
}
