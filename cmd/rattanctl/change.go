package main

import (
	"bufio"
	"context"
	"fmt"
	"os/user"
	"strings"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/adminclient"
	"github.com/rattancove/rattancove/internal/program"
)

// changeFlags returns the given flags and those that every change has.
func changeFlags(flags ...cli.Flag) []cli.Flag {
	return append(flags,
		&cli.StringFlag{Name: "why", Required: true, Usage: "reason for the change; it is recorded"},
		&cli.StringFlag{Name: "who", Usage: "who makes the change; it is recorded along with the key's name"},
		&cli.StringFlag{Name: "override", Usage: "reason to change inside a change window; it is recorded"},
		&cli.StringFlag{Name: "change-id", Usage: "idempotency id of the change; a retry with the same id is not applied twice"},
		&cli.BoolFlag{Name: "yes", Aliases: []string{"y"}, Usage: "apply the plan without asking for confirmation"},
		&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force on every member"},
	)
}

func (a *app) promoteCommand() *cli.Command {
	return &cli.Command{
		Name:  "promote",
		Usage: "put the document of another environment, or from a file, in force",
		Flags: changeFlags(
			&cli.StringFlag{Name: "from", Usage: "environment to take the document from"},
			&cli.StringFlag{Name: "file", Usage: "file with the document"},
			&cli.StringFlag{Name: "to", Required: true, Usage: "environment to change"},
		),
		Action: withClient(a.promote),
	}
}

func (a *app) rollbackCommand() *cli.Command {
	return &cli.Command{
		Name:  "rollback",
		Usage: "put the document of an earlier revision in force again, as a new revision",
		Flags: changeFlags(
			&cli.StringFlag{Name: "environment", Aliases: []string{"e"}, Required: true, Usage: "environment to change"},
			&cli.Uint64Flag{Name: "to", Required: true, Usage: "revision to roll back to"},
		),
		Action: withClient(a.rollback),
	}
}

// change is a change request with the document that results from it.
type change struct {
	env       string
	operation string
	document  string
	request   admin.ChangeRequest
}

func (a *app) promote(ctx context.Context, c *cli.Command, api *adminclient.Client) error {
	from, file := c.String("from"), c.String("file")
	if (from == "") == (file == "") {
		return program.UsageError(eris.New("exactly one of --from and --file is required"))
	}
	ch := change{env: c.String("to"), request: changeRequest(c)}
	if file != "" {
		_, data, err := parseFile(file)
		if err != nil {
			return err
		}
		ch.operation, ch.document, ch.request.Document = "publish", string(data), string(data)
		return a.apply(ctx, c, api, ch)
	}
	sourceDocument, err := fetchDocument(ctx, api, from, 0)
	if err != nil {
		return err
	}
	ch.operation, ch.document = "promote", sourceDocument.Document
	ch.request.From, ch.request.IfDigest = from, sourceDocument.Revision.Digest
	return a.apply(ctx, c, api, ch)
}

func (a *app) rollback(ctx context.Context, c *cli.Command, api *adminclient.Client) error {
	ch := change{env: c.String("environment"), operation: "rollback", request: changeRequest(c)}
	ch.request.To = c.Uint64("to")
	target, err := fetchDocument(ctx, api, ch.env, ch.request.To)
	if err != nil {
		return err
	}
	ch.document = target.Document
	return a.apply(ctx, c, api, ch)
}

func changeRequest(c *cli.Command) admin.ChangeRequest {
	r := admin.ChangeRequest{
		ChangeID: c.String("change-id"), Who: c.String("who"), Why: c.String("why"), Override: c.String("override"),
	}
	if r.ChangeID == "" {
		r.ChangeID = uuid.NewString()
	}
	if r.Who == "" {
		if u, err := user.Current(); err == nil {
			r.Who = u.Username
		}
	}
	return r
}

// apply shows the plan, asks for confirmation, sends the change and, with --wait,
// waits for its rollout.
func (a *app) apply(ctx context.Context, c *cli.Command, api *adminclient.Client, ch change) error {
	plan, err := fetchPlan(ctx, api, ch.env, ch.document)
	if err != nil {
		return err
	}
	ch.request.IfRevision = &plan.Base.Revision
	if err := a.confirm(c, ch, plan); err != nil {
		return err
	}
	fmt.Fprintf(a.progress, "change id %s\n", ch.request.ChangeID)
	response, err := api.Change(ctx, environmentPath(ch.env, ch.operation), ch.request)
	if err != nil {
		return err
	}
	if c.Bool("wait") {
		if _, err := a.waitForRollout(ctx, api, ch.env, response.Revision.Revision); err != nil {
			return err
		}
	}
	return a.print(c, response, func(t *table) {
		r := response.Revision
		t.line("revision %d %s of %s is accepted", r.Revision, shortDigest(r.Digest), r.Environment)
		if c.Bool("wait") {
			t.line("it is in force on every member")
		}
	})
}

// confirm shows the plan and, unless --yes is set, asks for confirmation.
func (a *app) confirm(c *cli.Command, ch change, plan admin.DiffResponse) error {
	planOutput := &app{out: a.progress}
	if err := planOutput.printPlan(ch.env, plan); err != nil {
		return err
	}
	if c.Bool("yes") {
		return nil
	}
	fmt.Fprintf(a.progress, "Change %s? Type its name to confirm: ", ch.env)
	line, err := bufio.NewReader(a.in).ReadString('\n')
	if strings.TrimSpace(line) == ch.env {
		return nil
	}
	if err != nil {
		return program.UsageError(eris.New("nothing was changed: the plan was not confirmed; use --yes when there is no terminal"))
	}
	return eris.New("nothing was changed: the plan was not confirmed")
}
