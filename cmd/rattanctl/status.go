package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/adminclient"
)

// keyBytes is the entropy of a new key.
const keyBytes = 32

const defaultReportPeriod = 12 * time.Hour

func (a *app) statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "show groups, terms, homes, replication lags, queues, members and recent failovers",
		Action: withClient(a.status),
	}
}

func (a *app) status(ctx context.Context, c *cli.Command, api *adminclient.Client) error {
	var s admin.Status
	if err := api.Get(ctx, "/v1/status", &s); err != nil {
		return err
	}
	return a.print(c, s, func(t *table) {
		t.line("%s as %s/%s knows it at %s", s.Environment, s.Role, s.ProcessID, formatTime(s.Time))
		t.line("document: revision %d %s, %s", s.Document.Revision, shortDigest(s.Document.Digest), s.Document.Status)
		for _, g := range s.Groups {
			t.group(g)
		}
		t.line("")
		t.members(s.Members)
		t.line("")
		t.runningFailovers(s.Failovers, s.RunningMissing)
		t.failovers(s.Failovers)
	})
}

func (a *app) reportCommand() *cli.Command {
	return &cli.Command{
		Name:   "report",
		Usage:  "show recent failovers and unresolved problems; exits with 1 if there are any problems",
		Flags:  []cli.Flag{&cli.DurationFlag{Name: "since", Value: defaultReportPeriod, Usage: "period that the report covers"}},
		Action: withClient(a.report),
	}
}

func (a *app) report(ctx context.Context, c *cli.Command, api *adminclient.Client) error {
	since := time.Now().Add(-c.Duration("since")).UTC().Format(time.RFC3339)
	var r admin.Report
	if err := api.Get(ctx, "/v1/report?since="+url.QueryEscape(since), &r); err != nil {
		return err
	}
	err := a.print(c, r, func(t *table) {
		t.line("%s from %s to %s", r.Environment, formatTime(r.Since), formatTime(r.Time))
		t.failovers(r.Failovers)
		t.line("")
		if len(r.Broken) == 0 {
			t.line("nothing is left broken")
			return
		}
		t.row("BROKEN", "FINDING")
		for _, f := range r.Broken {
			t.row(f.Subject, f.Message)
		}
	})
	if err == nil && len(r.Broken) > 0 {
		err = eris.Errorf("%d findings", len(r.Broken))
	}
	return err
}

func (a *app) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show where a statement would be routed, and why, without running it",
		ArgsUsage: "SQL",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "group", Required: true, Usage: "database group"},
			&cli.StringFlag{Name: "customer", Usage: "customer of the caller"},
			&cli.StringFlag{Name: "rank", Usage: "urgent, normal or background"},
			&cli.StringFlag{Name: "read", Usage: "kind of read in the document"},
			&cli.StringFlag{Name: "freshness", Usage: "freshness, as a caller specifies it"},
			&cli.StringFlag{Name: "session", Usage: "name of the session"},
		},
		Action: withClient(a.explain),
	}
}

func (a *app) explain(ctx context.Context, c *cli.Command, api *adminclient.Client) error {
	request := map[string]string{
		"sql": c.Args().First(), "group": c.String("group"), "customer": c.String("customer"), "rank": c.String("rank"),
		"read": c.String("read"), "freshness": c.String("freshness"), "session": c.String("session"),
	}
	var e admin.Explanation
	if err := api.Post(ctx, "/v1/explain", request, &e); err != nil {
		return err
	}
	err := a.print(c, e, func(t *table) {
		t.line("group %s, class %s, rank %s, home %s, server %s", e.Group, e.Class, e.Rank, dashIfEmpty(string(e.Home)), dashIfEmpty(string(e.Server)))
		t.row("STEP", "RESULT", "REASON")
		for _, s := range e.Steps {
			t.row(s.Step, s.Result, s.Reason)
		}
	})
	if err == nil && e.Unknown != "" {
		err = eris.New(e.Unknown)
	}
	return err
}

func (a *app) keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "generate a key for the administration API",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Required: true, Usage: "name of the key's holder"},
			&cli.StringSliceFlag{Name: "right", Required: true, Usage: "read, admin or customer:<name>"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			raw := make([]byte, keyBytes)
			if _, err := rand.Read(raw); err != nil {
				return eris.Wrap(err, "read random bytes")
			}
			key := base64.RawURLEncoding.EncodeToString(raw)
			fmt.Fprintf(a.progress, "The first line is the key, which is not shown again. Add the second line to the keys file.\n")
			return a.println(key + "\n" + fmt.Sprintf("- {name: %q, sha256: %s, rights: %q}", c.String("name"), admin.HashKey(key), c.StringSlice("right")))
		},
	}
}
