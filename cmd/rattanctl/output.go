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

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

const shortDigestLength = 12

func (a *app) println(line string) error {
	_, err := fmt.Fprintln(a.out, line)
	return err
}

// print writes value as JSON or, through show, as a table.
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

func (t *table) row(values ...any) {
	cells := make([]string, len(values))
	for i, cell := range values {
		cells[i] = fmt.Sprint(cell)
	}
	fmt.Fprintln(t.writer, strings.Join(cells, "\t"))
}

// line writes a line of text. Rows that follow are aligned separately from those
// above.
func (t *table) line(format string, args ...any) {
	_ = t.writer.Flush()
	fmt.Fprintf(t.writer, format+"\n", args...)
}

func (t *table) revisions(revisions []document.Revision) {
	t.row("REVISION", "TIME", "KIND", "SOURCE", "DIGEST", "WHO", "WHY", "OVERRIDE", "CHANGE")
	for _, r := range revisions {
		t.row(r.Revision, formatTime(r.Time), r.Kind, dashIfEmpty(r.Source), shortDigest(r.Digest), r.Who, r.Why, dashIfEmpty(r.Override), r.ChangeID)
	}
}

func (t *table) plan(plan environment.Plan) {
	if len(plan) == 0 {
		t.line("nothing changes")
		return
	}
	t.row("CHANGE", "FIELD", "OLD", "NEW", "DANGER")
	for _, c := range plan {
		t.row(c.Kind, c.Path, dashIfEmpty(c.Old), dashIfEmpty(c.New), dashIfEmpty(c.Impact))
	}
}

func (t *table) members(members []admin.MemberStatus) {
	t.row("MEMBER", "ROLE", "ADDRESS", "FAILURE DOMAIN", "STATE", "HEARD", "DOCUMENT")
	for _, m := range members {
		t.row(m.ID, m.Role, m.Address, m.FailureDomain, m.State, formatMillis(m.AgeMillis)+" ago", m.Revision)
	}
}

// runningFailovers writes the failovers in progress.
func (t *table) runningFailovers(failovers []admin.FailoverStatus, missing string) {
	headerWritten := false
	for _, f := range failovers {
		if f.Outcome != admin.OutcomeRunning {
			continue
		}
		if !headerWritten {
			t.row("RUNNING", "TERM", "STEP", "SINCE", "TROUBLE FOR", "FROM", "TO", "WARDEN", "REASON")
			headerWritten = true
		}
		t.row(f.Group, f.Term, f.Step, formatTime(f.StepSince), formatMillis(f.GapMillis), dashIfEmpty(string(f.From)), dashIfEmpty(string(f.To)), f.Warden, f.Reason)
	}
	if !headerWritten {
		t.line("no failover is running")
	}
	if missing != "" {
		t.line("running failovers may be missing: %s", missing)
	}
}

// failovers writes the completed failovers.
func (t *table) failovers(failovers []admin.FailoverStatus) {
	ended := slices.DeleteFunc(slices.Clone(failovers), func(f admin.FailoverStatus) bool { return f.Outcome == admin.OutcomeRunning })
	if len(ended) == 0 {
		t.line("no failovers")
		return
	}
	t.row("STARTED", "GROUP", "TERM", "FROM", "TO", "GAP", "OUTCOME", "REASON", "WARDEN", "MAY BE LOST")
	for _, f := range ended {
		t.row(formatTime(f.Started), f.Group, f.Term, f.From, dashIfEmpty(string(f.To)), formatMillis(f.GapMillis), f.Outcome, f.Reason, dashIfEmpty(f.Warden), dashIfEmpty(f.MayBeLost))
	}
}

func (t *table) group(g admin.GroupStatus) {
	if g.Unknown != "" {
		t.line("\ngroup %s: home %s, its state is not known: %s", g.Name, dashIfEmpty(string(g.Home)), g.Unknown)
		return
	}
	state := "writable"
	if !g.Writable {
		state = "NOT WRITABLE"
	}
	t.line("\ngroup %s: %s, term %d, primary %s, home %s, epoch %d", g.Name, state, g.Term, dashIfEmpty(string(g.Primary)), dashIfEmpty(string(g.Home)), g.Epoch)
	t.row("  SERVER", "ROLE", "FAILURE DOMAIN", "LAG", "RUNNING", "CONNECTIONS", "STATE")
	for _, s := range g.Servers {
		t.row("  "+string(s.ID), s.Role, s.FailureDomain, formatMillis(s.LagMillis), fmt.Sprintf("%d/%d", s.Running, s.Slots),
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
	case s.UnusedReason != "":
		return "ejected: " + s.UnusedReason
	default:
		return "ok"
	}
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func formatMillis(n int64) string { return (time.Duration(n) * time.Millisecond).String() }

func shortDigest(digest string) string { return digest[:min(len(digest), shortDigestLength)] }

func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// printPlan writes the base revision and the plan as a table.
func (a *app) printPlan(env string, answer admin.DiffResponse) error {
	t := &table{writer: tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)}
	t.line("%s holds revision %d; planned changes:", env, answer.Base.Revision)
	t.plan(answer.Plan)
	return t.writer.Flush()
}
