package environment

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func example(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("../../examples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func parse(t testing.TB, text string) *Document {
	t.Helper()
	d, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestExamplesMatchTheCustomersSites checks the sizes in the example documents of
// both sites.
func TestExamplesMatchTheCustomersSites(t *testing.T) {
	tests := []struct {
		file                        string
		slots, connections, domains int
	}{
		{"cotopaxi.yaml", 2, 16, 4},
		{"consorzio.yaml", 5, 55, 3},
	}
	for _, test := range tests {
		d := parse(t, string(example(t, test.file)))
		domains := map[string]bool{}
		for _, g := range d.Groups {
			for _, s := range g.Servers {
				domains[s.FailureDomain] = true
				if s.Slots != test.slots || s.Connections != test.connections || len(g.Servers) != 3 {
					t.Errorf("%s: group of %s has unexpected slots, connections or servers", test.file, s.ID)
				}
			}
		}
		if len(d.Groups) != 3 || len(domains) != test.domains {
			t.Errorf("%s: %d groups in %d domains", test.file, len(d.Groups), len(domains))
		}
	}
}

// TestExplicitZeroOverridesDefault checks that a zero in the document is not taken
// for an absent field.
func TestExplicitZeroOverridesDefault(t *testing.T) {
	text := string(example(t, "cotopaxi.yaml"))
	text = strings.Replace(text, "background: {floor: 0.1, queue: 500, max_wait: 10s, ack: majority}", "background: {floor: 0}", 1)
	d := parse(t, text)
	want := RankPolicy{Floor: 0, Queue: DefaultBackgroundQueue, MaxWait: DefaultBackgroundMaxWait, Ack: AckMajority}
	if diff := cmp.Diff(want, d.Ranks.Background); diff != "" {
		t.Error(diff)
	}
	if d.Limits.StatementTime != DefaultStatementTime || d.Groups[0].Promotion.NoMajority != NoMajorityWait {
		t.Errorf("defaults missing: %+v", d.Limits)
	}
}

func TestFaults(t *testing.T) {
	tests := []struct{ name, old, replacement, want string }{
		{"unknown field", "name: cotopaxi\n", "name: cotopaxi\nfloor: 1\n", "5:1: floor: unknown field"},
		{"repeated field", "name: cotopaxi\n", "name: cotopaxi\nname: x\n", "5:1: name: the field stands twice"},
		{"wrong kind", "slots: 2", "slots: two", "must be a whole number, not a string"},
		{"empty value", "name: cotopaxi\n", "name:\n", "name: the value is empty"},
		{"anchor", "name: cotopaxi\n", "name: &a cotopaxi\n", "anchors, aliases and tags are not allowed"},
		{"group twice", "name: orders-2", "name: orders-1", `group "orders-1" is not unique; it is also groups[0].name`},
		{"server twice", "id: orders-1-b", "id: orders-1-a", `server "orders-1-a" is not unique`},
		{"address twice", "10.20.2.11:5432", "10.20.1.11:5432", `address "10.20.1.11:5432" is not unique`},
		{"user twice", "name: stock\n", "name: shop-web\n", `user "shop-web" is not unique`},
		{"unknown customer", "customers: [shop, works]", "customers: [shop, works, mill]", `groups[0].customers[2]: unknown customer "mill"`},
		{"too few connections", "slots: 2, connections: 16", "slots: 15, connections: 16", "16 connections are too few for 15 slots and 2 control connections"},
		{"floors", "floor: 0.5", "floor: 0.7", "ranks: the floors add up to 1.1, more than 1"},
		{"free slots", "floor: 0.5", "floor: 0.5, keep_free_slots: 2", "2 slots leave none for background work"},
		{"window", `from: "12:00"`, `from: "23:59"`, "change_windows[0].to: must be later than from"},
		{"window day", "day: friday", "day: Freitag", "must be one of: monday, tuesday"},
		{"window zone", "America/Guayaquil", "America/Latacunga", "must be a time zone name"},
		{"bounded", "mode: bounded, max_age: 30s", "mode: bounded", "mode bounded needs a max_age above 0"},
		{"prefer", "    customers: [shop, works]\n", "    customers: [shop, works]\n    promotion: {prefer_domains: [quito]}\n", `no server of the group is in failure domain "quito"`},
		{"verifier", "- name: shop-clerk\n", "- name: shop-clerk\n        verifier: SCRAM-SHA-256$10:YQ==$YQ==:YQ==\n", "must have at least 4096 iterations"},
		{"syntax", "customers:\n", "customers: [\n", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(string(example(t, "cotopaxi.yaml")), test.old, test.replacement, 1)
			_, err := Parse([]byte(text))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("want %q, got %v", test.want, err)
			}
		})
	}
}

func TestGroupNeedsEnoughServers(t *testing.T) {
	lines := strings.Split(string(example(t, "cotopaxi.yaml")), "\n")
	var kept []string
	for _, line := range lines {
		if !strings.Contains(line, "orders-1-c") {
			kept = append(kept, line)
		}
	}
	_, err := Parse([]byte(strings.Join(kept, "\n")))
	if err == nil || !strings.Contains(err.Error(), "groups[0].servers: needs at least 3 servers") {
		t.Errorf("error is %v", err)
	}
}

// TestAllFaultsAreReportedInOrder checks that one parse reports all errors of a
// document, ordered by line.
func TestAllFaultsAreReportedInOrder(t *testing.T) {
	text := strings.NewReplacer("slots: 2", "slots: 0", "mode: latest", "mode: newest", "day: friday", "day: x").
		Replace(string(example(t, "cotopaxi.yaml")))
	_, err := Parse([]byte(text))
	faults, ok := err.(Faults) //nolint:errorlint // Parse returns Faults unwrapped.
	if !ok || len(faults) != 11 {
		t.Fatalf("want 11 faults, got %v", err)
	}
	for i := 1; i < len(faults); i++ {
		if faults[i].Line < faults[i-1].Line {
			t.Errorf("faults out of order: %v", err)
		}
	}
}

func TestCheckChange(t *testing.T) {
	text := string(example(t, "cotopaxi.yaml"))
	tests := []struct{ name, old, replacement, want string }{
		{"same", "", "", ""},
		{"other document", "name: cotopaxi\n", "name: consorzio\n", "name: the document in force is named"},
		{"rank dropped", "queue: 1000", "queue: 0", "ranks.normal.queue: the rank is in use"},
		{"server replaced in one step", "id: orders-1-c", "id: orders-1-d", "too many servers change at once"},
		{
			"server added", "      - {id: orders-1-c", `      - {id: orders-1-d, address: "10.20.4.11:5432", failure_domain: riobamba, slots: 2, connections: 16}
      - {id: orders-1-c`, "",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			next := parse(t, strings.Replace(text, test.old, test.replacement, 1))
			err := CheckChange(parse(t, text), next)
			if (err == nil) != (test.want == "") || (err != nil && !strings.Contains(err.Error(), test.want)) {
				t.Errorf("want %q, got %v", test.want, err)
			}
		})
	}
}

func TestDiff(t *testing.T) {
	text := string(example(t, "cotopaxi.yaml"))
	next := strings.NewReplacer("floor: 0.3", "floor: 0.2", "name: reports", "name: summaries", "max_wait: 10s", "max_wait: 20s",
		"- name: shop-clerk\n", "- name: shop-clerk\n        verifier: SCRAM-SHA-256$4096:YQ==$YQ==:YQ==\n").Replace(text)
	want := Plan{
		{Path: "customers[shop].users[shop-clerk].verifier", Kind: ChangeModified, New: "[redacted]", Impact: "the user's old password is refused"},
		{Path: "ranks.normal.floor", Kind: ChangeModified, Old: "0.3", New: "0.2", Impact: "the rank is refused earlier under load"},
		{Path: "ranks.background.max_wait", Kind: ChangeModified, Old: "10s", New: "20s"},
		{Path: "reads[summaries]", Kind: ChangeAdded},
		{Path: "reads[reports]", Kind: ChangeRemoved, Impact: "callers that name this read are refused"},
	}
	got := Diff(parse(t, text), parse(t, next))
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
	if !got.HasImpact() {
		t.Error("the plan is not marked dangerous")
	}
	if plan := Diff(parse(t, text), parse(t, text)); len(plan) != 0 {
		t.Errorf("a document differs from itself: %v", plan)
	}
}

func TestChangeWindow(t *testing.T) {
	d := parse(t, string(example(t, "cotopaxi.yaml")))
	tests := map[string]bool{
		"2026-12-04T16:59:00Z": false, // Friday 11:59 in Latacunga
		"2026-12-04T17:00:00Z": true,
		"2026-12-05T04:58:00Z": true, // still Friday there
		"2026-12-05T17:00:00Z": false,
	}
	for text, want := range tests {
		now, err := time.Parse(time.RFC3339, text)
		if err != nil {
			t.Fatal(err)
		}
		if _, closed := d.WindowAt(now); closed != want {
			t.Errorf("%s: closed is %v", text, closed)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(example(f, "cotopaxi.yaml"))
	f.Add(example(f, "consorzio.yaml"))
	f.Add([]byte("name: [a, {b: c}]\ngroups: - x"))
	f.Add([]byte("- - - - ? : !!binary &x *x"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse(data)
		if err == nil && (len(d.Groups) == 0 || len(Diff(d, d)) != 0) {
			t.Errorf("accepted document has no groups or differs from itself")
		}
	})
}
