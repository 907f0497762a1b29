package pages

import (
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	_ "github.com/rattancove/rattancove/internal/admin"
	_ "github.com/rattancove/rattancove/internal/edge"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/event"
	_ "github.com/rattancove/rattancove/internal/proxy"
	_ "github.com/rattancove/rattancove/internal/standin/dbserver"
	"github.com/rattancove/rattancove/internal/statechart"
	_ "github.com/rattancove/rattancove/internal/warden"
	_ "github.com/rattancove/rattancove/platform/catalog"
)

const root = "../.."

var update = flag.Bool("update", false, "write the generated sections of the pages")

// checkSection compares the text between the begin and end comments of a section with
// the text that was generated from the code, or replaces it with -update.
func checkSection(t *testing.T, page, section, want string) {
	t.Helper()
	path := filepath.Join(root, "docs", page)
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	begin, end := "<!-- begin "+section+" -->\n", "<!-- end "+section+" -->\n"
	before, rest, hasBegin := strings.Cut(string(data), begin)
	got, after, hasEnd := strings.Cut(rest, end)
	if !hasBegin || !hasEnd {
		t.Fatalf("%s has no section %s", page, section)
	}
	if *update {
		if err := os.WriteFile(path, []byte(before+begin+want+end+after), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s differs from the code; run go test ./internal/pages -update\n%s", page, diff)
	}
}

// visitSources calls visit with the text of each Go file of the programs except tests.
func visitSources(t *testing.T, visit func(text string)) {
	t.Helper()
	for _, folder := range []string{"internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			data, err := os.ReadFile(path)
			visit(string(data))
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

func TestEvents(t *testing.T) {
	declared := 0
	visitSources(t, func(text string) { declared += strings.Count(text, "= event.New(") })
	if all := len(event.All()); all != declared {
		t.Errorf("%d events are declared, but the packages that this test imports have only %d", declared, all)
	}
	var b strings.Builder
	b.WriteString("| Number | Name | Level | Meaning |\n|---|---|---|---|\n")
	for _, e := range event.All() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", e.Number, e.Name, levelName(e.Level), e.Meaning)
	}
	checkSection(t, "EVENTS.md", "events", b.String())
}

func levelName(l zerolog.Level) string { return l.String() }

func TestErrors(t *testing.T) {
	codes := slices.Clone(errcode.All())
	slices.SortStableFunc(codes, func(a, b errcode.Code) int { return strings.Compare(a.SQLState, b.SQLState) })
	var b strings.Builder
	b.WriteString("| SQLSTATE | Name | Outcome | Hint |\n|---|---|---|---|\n")
	for _, c := range codes {
		fmt.Fprintf(&b, "| %s | `%s` | %s | %s |\n", c.SQLState, c.Name, c.Outcome, c.Hint)
	}
	checkSection(t, "ERRORS.md", "errors", b.String())
}

func TestCharts(t *testing.T) {
	for section, file := range map[string]string{
		"caller session":     "pgwire/front/caller_session.yaml",
		"pooled connection":  "pool/backend_connection.yaml",
		"backend connection": "pgwire/back/backend_connection.yaml",
		"order outcome":      "order/order_outcome.yaml",
		"group home":         "home/group_home.yaml",
		"group failover":     "failover/group_failover.yaml",
		"document rollout":   "rollout/charts/document_rollout.yaml",
		"member":             "member/member.yaml",
		"group succession":   "succession/group_succession.yaml",
	} {
		chart, err := statechart.Load(os.DirFS(filepath.Join(root, "internal")), file)
		if err != nil {
			t.Fatal(err)
		}
		checkSection(t, "ARCHITECTURE.md", section, "```mermaid\n"+strings.TrimSpace(chart.Mermaid())+"\n```\n")
	}
}

// TestMetrics compares the metrics that METRICS.md describes with those that the code
// declares.
func TestMetrics(t *testing.T) {
	data, err := os.ReadFile(filepath.Join(root, "docs", "METRICS.md"))
	if err != nil {
		t.Fatal(err)
	}
	described := map[string]bool{}
	for _, match := range regexp.MustCompile("(?m)^\\| `(rattan_[a-z_]+)` \\| [^|]+ \\| [^|]{10,} \\|$").FindAllStringSubmatch(string(data), -1) {
		described[match[1]] = true
	}
	declared := map[string]bool{}
	visitSources(t, func(text string) {
		for _, match := range regexp.MustCompile("[\"`](rattan_[a-z]+_[a-z_]+)[\"`{]").FindAllStringSubmatch(text, -1) {
			if strings.Contains(text, "VictoriaMetrics/metrics") {
				declared[match[1]] = true
			}
		}
	})
	if diff := cmp.Diff(declared, described); diff != "" {
		t.Errorf("METRICS.md differs from the code (- code, + page):\n%s", diff)
	}
}
