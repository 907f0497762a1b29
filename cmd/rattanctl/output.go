package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/document"
	"github.com/rattancove/rattancove/internal/environment"
)

// Forms of output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

const digestDigits = 12

func (a *app) println(line string) error {
	_, err := fmt.Fprintln(a.out, line)
	return err
}

// print writes value as JSON, or as the table that show writes.
func (a *app) print(c *cli.Command, value any, show func(t *table)) error {
	if c.String("output") == outputJSON {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	t := &table{writer: tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)}
	show(t)
	return t.writer.Flush()
}

// table writes rows of aligned columns.
type table struct {
	writer *tabwriter.Writer
}

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	fmt.Fprintln(t.writer, strings.Join(texts, "\t"))
}

// title ends the columns of the rows above and starts a section.
func (t *table) title(format string, args ...any) {
	_ = t.writer.Flush()
	fmt.Fprintf(t.writer, format+"\n", args...)
}

func (t *table) revisions(revisions []document.Revision) {
	t.row("REVISION", "TIME", "KIND", "SOURCE", "DIGEST", "WHO", "WHY", "OVERRIDE", "CHANGE")
	for _, r := range revisions {
		t.row(r.Revision, stamp(r.Time), r.Kind, dash(r.Source), short(r.Digest), r.Who, r.Why, dash(r.Override), r.ChangeID)
	}
}

func (t *table) plan(plan environment.Plan) {
	if len(plan) == 0 {
		t.title("nothing changes")
		return
	}
	t.row("CHANGE", "FIELD", "OLD", "NEW", "DANGER")
	for _, c := range plan {
		t.row(c.Kind, c.Path, dash(c.Old), dash(c.New), dash(c.Danger))
	}
}

func (t *table) members(members []admin.MemberStatus) {
	t.row("MEMBER", "ROLE", "ADDRESS", "FAILURE DOMAIN", "STATE", "HEARD", "DOCUMENT")
	for _, m := range members {
		t.row(m.ID, m.Role, m.Address, m.FailureDomain, m.State, millis(m.AgeMillis)+" ago", m.Revision)
	}
}

// runningFailovers shows the failovers that have not ended.
func (t *table) runningFailovers(failovers []admin.FailoverStatus, missing string) {
	shown := false
	for _, f := range failovers {
		if f.Outcome != admin.OutcomeRunning {
			continue
		}
		if !shown {
			t.row("RUNNING", "TERM", "STEP", "SINCE", "TROUBLE FOR", "FROM", "TO", "WARDEN", "REASON")
			shown = true
		}
		t.row(f.Group, f.Term, f.Step, stamp(f.StepSince), millis(f.GapMillis), dash(string(f.From)), dash(string(f.To)), f.Warden, f.Reason)
	}
	if !shown {
		t.title("no failover is running")
	}
	if missing != "" {
		t.title("running failovers may be missing: %s", missing)
	}
}

// failovers shows the failovers that have ended.
func (t *table) failovers(failovers []admin.FailoverStatus) {
	ended := slices.DeleteFunc(slices.Clone(failovers), func(f admin.FailoverStatus) bool { return f.Outcome == admin.OutcomeRunning })
	if len(ended) == 0 {
		t.title("no failovers")
		return
	}
	t.row("STARTED", "GROUP", "TERM", "FROM", "TO", "GAP", "OUTCOME", "REASON", "WARDEN", "MAY BE LOST")
	for _, f := range ended {
		t.row(stamp(f.Started), f.Group, f.Term, f.From, dash(string(f.To)), millis(f.GapMillis), f.Outcome, f.Reason, dash(f.Warden), dash(f.MayBeLost))
	}
}

func (t *table) group(g admin.GroupStatus) {
	if g.Unknown != "" {
		t.title("\ngroup %s: home %s, its state is not known: %s", g.Name, dash(string(g.Home)), g.Unknown)
		return
	}
	state := "writable"
	if !g.Writable {
		state = "NOT WRITABLE"
	}
	t.title("\ngroup %s: %s, term %d, primary %s, home %s, epoch %d", g.Name, state, g.Term, dash(string(g.Primary)), dash(string(g.Home)), g.Epoch)
	t.row("  SERVER", "ROLE", "FAILURE DOMAIN", "LAG", "RUNNING", "CONNECTIONS", "STATE")
	for _, s := range g.Servers {
		t.row("  "+string(s.ID), s.Role, s.FailureDomain, millis(s.LagMillis), fmt.Sprintf("%d/%d", s.Running, s.Slots),
			fmt.Sprintf("%d/%d", s.Connections, s.Limit), serverState(s))
	}
	_ = t.writer.Flush()
	t.row("  RANK", "WAITING", "RUNNING", "REFUSED", "EXPIRED")
	for _, q := range g.Queues {
		t.row("  "+q.Rank, q.Waiting, q.Running, q.Refused, q.Expired)
	}
}

func serverState(s admin.ServerStatus) string {
	switch {
	case !s.Reachable:
		return "unreachable"
	case s.Ejected != "":
		return "ejected: " + s.Ejected
	default:
		return "ok"
	}
}

func stamp(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func millis(n int64) string { return (time.Duration(n) * time.Millisecond).String() }

func short(digest string) string { return digest[:min(len(digest), digestDigits)] }

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// printPlan writes a plan with its base as a table.
func (a *app) printPlan(env string, answer admin.DiffResponse) error {
	t := &table{writer: tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)}
	t.title("%s holds revision %d; the change would do this:", env, answer.Base.Revision)
	t.plan(answer.Plan)
	return t.writer.Flush()
}
