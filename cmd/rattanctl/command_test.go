package main

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/document"
	"github.com/rattancove/rattancove/internal/program"
	"github.com/rattancove/rattancove/internal/provider/providertest"
)

const env = "cotopaxi-production"

// fixture serves the API of a deployment of two members.
type fixture struct {
	t       *testing.T
	store   *document.Store
	table   *providertest.Table
	url     string
	keyFile string
	dir     string
	// statusReads counts the reads of the member list. The second member lags
	// behind for the first two, or always if lagging is set.
	statusReads atomic.Int32
	lagging     bool

	running        []admin.FailoverStatus
	runningMissing string
	explanation    admin.Explanation
}

func (f *fixture) Members(ctx context.Context) []admin.MemberStatus {
	current, _ := f.store.Current(ctx, env)
	laggingRevision := current.Revision
	if f.lagging || f.statusReads.Add(1) < 3 {
		laggingRevision = current.Revision - min(current.Revision, 1)
	}
	member := func(id cluster.ProxyID, revision uint64) admin.MemberStatus {
		stored, _ := f.store.Revision(ctx, env, revision)
		return admin.MemberStatus{ID: id, Role: "proxy", State: "alive", Revision: revision, Digest: stored.Digest}
	}
	return []admin.MemberStatus{member("entry-1", current.Revision), member("entry-2", laggingRevision)}
}

func (f *fixture) Status(ctx context.Context) (admin.Status, error) {
	current, _ := f.store.Current(ctx, env)
	return admin.Status{
		Environment: env, ProcessID: "entry-1",
		Document: admin.DocumentStatus{Revision: current.Revision, Digest: current.Digest, Status: "current"},
		Groups: []admin.GroupStatus{{
			Name: "orders-1", Customers: []string{"works"}, Term: 3, Primary: "orders-1-a", Home: "entry-1", Writable: true,
			Servers: []admin.ServerStatus{{ID: "orders-1-a", Role: "primary", Reachable: true, Slots: 2, Limit: 16}},
			Queues:  []admin.QueueStatus{{Rank: "urgent", Waiting: 1}},
		}},
		Members:        f.Members(ctx),
		Failovers:      append([]admin.FailoverStatus{{Group: "orders-1", Term: 3, From: "orders-1-b", To: "orders-1-a", GapMillis: 900, Outcome: "done", Reason: "no answer"}}, f.running...),
		RunningMissing: f.runningMissing,
	}, nil
}

func (f *fixture) Explain(context.Context, admin.ExplainRequest) (admin.Explanation, error) {
	return f.explanation, nil
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, table: providertest.NewTable(), dir: t.TempDir()}
	f.store = document.NewStore(f.table, providertest.NewObjectStore())
	f.keyFile = f.writeFile("key", "ops-key\n")
	keyPath := f.writeFile("keys.yaml", "keys: [{name: ops, sha256: "+admin.HashKey("ops-key")+", rights: [admin]}]")
	keys, err := admin.LoadKeys(keyPath, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(admin.New(admin.Config{
		Environment: env, Status: f, Explainer: f, Documents: f.store, Keys: keys, NotReadyReason: func() string { return "" }, Log: zerolog.Nop(),
	}).Handler())
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

func (f *fixture) writeFile(name, text string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// writeDocument writes a document with the given urgent queue and without change
// windows.
func (f *fixture) writeDocument(queue string) string {
	f.t.Helper()
	data, err := os.ReadFile("../../examples/cotopaxi.yaml")
	if err != nil {
		f.t.Fatal(err)
	}
	text, _, _ := strings.Cut(string(data), "change_windows:")
	return f.writeFile("doc-"+queue+".yaml", strings.Replace(text, "queue: 2000", "queue: "+queue, 1))
}

// run executes the command and returns its exit code, output, and progress with
// the error appended.
func (f *fixture) run(input string, args ...string) (int, string, string) {
	f.t.Helper()
	var out, progress bytes.Buffer
	command := newCommand(strings.NewReader(input), &out, &progress)
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := command.Run(f.t.Context(), append([]string{"rattanctl", "--server", f.url, "--key-file", f.keyFile}, args...))
	if err == nil {
		return program.ExitOK, out.String(), progress.String()
	}
	var exitErr *program.Error
	if errors.As(err, &exitErr) {
		return exitErr.Code, out.String(), progress.String() + err.Error()
	}
	return program.ExitFailure, out.String(), progress.String() + err.Error()
}

// step is a run of the command with the expected exit code and output.
type step struct {
	name       string
	input      string
	args       []string
	wantCode   int
	wantOutput string
}

func (f *fixture) runSteps(steps []step) {
	f.t.Helper()
	for _, s := range steps {
		code, out, progress := f.run(s.input, s.args...)
		if code != s.wantCode || !strings.Contains(out+progress, s.wantOutput) {
			f.t.Errorf("%s: exit code %d, want %d and %q in:\n%s%s", s.name, code, s.wantCode, s.wantOutput, out, progress)
		}
	}
}

func TestDocumentLifecycle(t *testing.T) {
	f := newFixture(t)
	first, second := f.writeDocument("2000"), f.writeDocument("2001")
	promote := []string{"doc", "promote", "--why", "test", "--yes"}
	f.runSteps([]step{
		{"trial", "", append(promote, "--file", first, "--to", "cotopaxi-trial"), 0, "revision 1"},
		{"production", "", append(promote, "--from", "cotopaxi-trial", "--to", env, "--wait"), 0, "in force on every member"},
		{"no change", "", []string{"doc", "diff", first, "-e", env}, 0, "nothing changes"},
		{"diff", "", []string{"doc", "diff", second, "-e", env}, 0, "ranks.urgent.queue"},
		{"not confirmed", "no\n", []string{"doc", "promote", "--why", "x", "--file", second, "--to", env}, 1, "nothing was changed"},
		{"no terminal", "", []string{"doc", "promote", "--why", "x", "--file", second, "--to", env}, 2, "nothing was changed"},
		{"confirmed", env + "\n", []string{"doc", "promote", "--why", "x", "--file", second, "--to", env, "--change-id", "two"}, 0, "revision 2"},
		{"repeat", "", append(promote, "--file", second, "--to", env, "--change-id", "two"), 0, "revision 2"},
		{"roll back", "", []string{"doc", "rollback", "-e", env, "--to", "1", "--why", "slow", "--yes"}, 0, "revision 3"},
		{"history", "", []string{"doc", "history", "-e", env}, 0, "rollback"},
		{"json", "", []string{"-o", "json", "doc", "history", "-e", env}, 0, `"change_id": "two"`},
		{"show", "", []string{"doc", "show", "-e", env, "--revision", "2"}, 0, "queue: 2001"},
		{"missing", "", []string{"doc", "show", "-e", "nowhere"}, 1, "there is no such environment"},
	})
}

func TestWaitShowsProgressAndTimesOut(t *testing.T) {
	f := newFixture(t)
	args := []string{"doc", "promote", "--why", "test", "--yes", "--wait", "--file", f.writeDocument("2000"), "--to", env}
	code, _, progress := f.run("", args...)
	if code != 0 || !strings.Contains(progress, "in force on 1 of 2 members, waiting for proxy/entry-2") {
		t.Errorf("exit code %d, progress %s", code, progress)
	}
	f.lagging = true
	f.runSteps([]step{{"stuck", "", []string{"--timeout", "50ms", "doc", "status", "-e", env, "--wait"}, exitTimeout, "waiting for proxy/entry-2"}})
}

func TestExitCodes(t *testing.T) {
	f := newFixture(t)
	f.run("", "doc", "promote", "--why", "test", "--yes", "--file", f.writeDocument("2000"), "--to", env)
	broken := f.writeFile("broken.yaml", "name: x\nranks: 1\n")
	race := []string{"doc", "promote", "--why", "test", "--yes", "--file", f.writeDocument("2001"), "--to", env}
	f.table.BeforeNextWrite(func() {
		c := document.Change{Environment: env, ID: "other", Who: "mateo", Why: "first"}
		if _, err := f.store.Rollback(t.Context(), c, 1); err != nil {
			t.Error(err)
		}
	})
	f.runSteps([]step{
		{"lost race", "", race, exitConflict, "revision 2 of cotopaxi-production by mateo (first) came first"},
		{"invalid document", "", []string{"doc", "validate", broken}, exitInvalid, broken + ":2:8: ranks: must be a mapping"},
		{"unknown flag", "", []string{"status", "--colour"}, program.ExitUsage, "flag provided but not defined"},
		{"missing file", "", []string{"doc", "validate", "nowhere.yaml"}, program.ExitUsage, "no such file"},
		{"no argument", "", []string{"doc", "validate"}, program.ExitUsage, "got 0 arguments, want: FILE"},
		{"extra argument", "", []string{"status", "orders-1"}, program.ExitUsage, `unexpected argument "orders-1"`},
		{"two statements", "", []string{"explain", "--group", "orders-1", "SELECT 1", "SELECT 2"}, program.ExitUsage, "got 2 arguments, want: SQL"},
		{"three files", "", []string{"doc", "diff", broken, broken, broken}, program.ExitUsage, "want: FILE | OLD NEW"},
		{"wrong key", "", []string{"--key-file", f.writeFile("wrong", "no-such-key"), "status"}, 1, "the key is unknown"},
		{"key of two lines", "", []string{"--key-file", broken, "status"}, program.ExitUsage, "must hold one line"},
		{"missing flag", "", []string{"doc", "history"}, program.ExitUsage, "environment"},
		{"key over plain HTTP", "", []string{"--server", "http://10.0.0.1:1", "status"}, program.ExitUsage, "without TLS"},
		{"version", "", []string{"version"}, 0, "0."},
	})
	f.table.SetDown(true)
	f.runSteps([]step{{"outage", "", race, 1, "did not answer"}})
}

func TestStatusAndReport(t *testing.T) {
	f := newFixture(t)
	f.run("", "doc", "promote", "--why", "test", "--yes", "--file", f.writeDocument("2000"), "--to", env)
	f.statusReads.Store(10)
	f.runSteps([]step{
		{"status", "", []string{"status"}, 0, "group orders-1: writable, term 3, primary orders-1-a, home entry-1"},
		{"none runs", "", []string{"status"}, 0, "no failover is running"},
		{"report", "", []string{"report"}, 0, "nothing is left broken"},
	})
	f.running = []admin.FailoverStatus{{
		Group: "orders-1", Term: 4, From: "orders-1-a", Outcome: admin.OutcomeRunning, Step: "sealing", Warden: "entry-2",
		Reason: "primary unreachable", StepSince: time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC), GapMillis: 1500,
	}}
	f.runningMissing = "no answer from warden/entry-3"
	f.runSteps([]step{
		{"running", "", []string{"status"}, 0, "orders-1  4     sealing  2026-12-04T03:00:00Z  1.5s         orders-1-a  -   entry-2  primary unreachable"},
		{"missing", "", []string{"status"}, 0, "running failovers may be missing: no answer from warden/entry-3"},
		{"json", "", []string{"-o", "json", "status"}, 0, `"step": "sealing"`},
		{"report of running", "", []string{"report"}, 1, "the failover of term 4 is running: step sealing at warden entry-2"},
	})
	f.running = nil
	f.lagging = true
	f.runSteps([]step{{"broken", "", []string{"report"}, 1, "entry-2 holds revision 0, not 1"}})
}

func TestExplain(t *testing.T) {
	f := newFixture(t)
	explain := []string{"explain", "--group", "orders-1", "SELECT 1"}
	f.explanation = admin.Explanation{Group: "orders-1", Home: "entry-2", Server: "orders-1-b"}
	f.explanation.Add("hop", "entry-2", "asked by entry-1")
	f.runSteps([]step{{"hop", "", explain, 0, "asked by entry-1"}})
	f.explanation.Unknown = "the home entry-2 did not answer"
	f.runSteps([]step{{"no answer", "", explain, 1, "the home entry-2 did not answer"}})
}

func TestNewKeyIsAccepted(t *testing.T) {
	f := newFixture(t)
	code, out, _ := f.run("", "key", "--name", "rosa", "--right", "customer:shop")
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if code != 0 || len(lines) != 2 {
		t.Fatalf("exit code %d, output %s", code, out)
	}
	keys, err := admin.LoadKeys(f.writeFile("new.yaml", "keys:\n"+lines[1]+"\n"), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	if identity, ok := keys.Identify(lines[0]); !ok || identity.Customer != "shop" {
		t.Errorf("identity %+v", identity)
	}
}
