package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/rattancove/rattancove/internal/cluster"
)

func TestScenariosDecode(t *testing.T) {
	paths, err := filepath.Glob("../../scenarios/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, path := range paths {
		if _, err := ReadScenario(path); err != nil {
			t.Error(err)
		}
	}
}

func TestScenarioRefusesFaults(t *testing.T) {
	const head = "profile: cotopaxi\nslots: 18\nphases:\n  - name: p\n    duration: 5s\n    faults:\n      - "
	for fault, want := range map[string]string{
		"{at: 1s, action: crash}":                                             "exactly one of servers, platform and process is required",
		"{at: 1s, action: kill, process: home, servers: [a]}":                 "exactly one of servers, platform and process is required",
		"{at: 1s, action: kill, servers: [a]}":                                "servers support only",
		"{at: 1s, action: lag, servers: [a]}":                                 "invalid duration",
		"{at: 1s, action: lose_answers, value: many, servers: [a]}":           "count",
		"{at: 1s, action: hang, until: 500ms, servers: [a]}":                  "until must be after at",
		"{at: 6s, action: crash, servers: [a]}":                               "after the end of the phase",
		"{at: 1s, action: crash, servers: [a], grop: orders-1}":               "grop",
		"{at: 1s, action: down, platform: printer}":                           "must be one of",
		"{at: 1s, action: pause, until: 2s, process: home, value: sometimes}": "takes no value",
	} {
		path := filepath.Join(t.TempDir(), "scenario.yaml")
		if err := os.WriteFile(path, []byte(head+fault+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadScenario(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want %q", fault, err, want)
		}
	}
}

func TestFaultNeedsKnownTarget(t *testing.T) {
	targets := FaultTargets{Servers: map[string]string{"a": "127.0.0.1:1"}, Processes: map[string]int{"init": 1}}
	for _, f := range []Fault{
		{Action: FaultCrash, Servers: []string{"a", "b"}},
		{Action: FaultDown, Platform: "table"},
		{Action: FaultDown, Platform: "vms"},
		{Action: FaultKill, Process: "home"},
		{Action: FaultKill, Process: "init"},
	} {
		if targets.check(f) == nil {
			t.Errorf("%s was accepted", f)
		}
	}
	if err := targets.check(Fault{Action: FaultCrash, Servers: []string{"a"}}); err != nil {
		t.Error(err)
	}
}

func TestInjectFaultsInOrderAndUndo(t *testing.T) {
	var got []string
	service := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		got = append(got, r.URL.RawQuery)
	}))
	defer service.Close()
	targets := FaultTargets{Services: map[string]string{"vms": service.URL, "objects": service.URL}}
	faults := []Fault{
		{At: 2 * time.Millisecond, Action: FaultLoseAnswers, Value: "3", Platform: "objects"},
		{At: 0, Until: 3 * time.Millisecond, Action: FaultDown, Platform: "vms"},
		{At: time.Millisecond, Until: 4 * time.Millisecond, Action: FaultSlow, Value: "1s", Platform: "vms"},
	}
	if err := injectFaults(context.Background(), targets, time.Now(), faults); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"down=true", "slow=1s", "lose=3", "down=false", "slow=0s"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestRecoveries(t *testing.T) {
	urgent := Kind{Name: "urgent", Rank: cluster.RankUrgent}
	background := Kind{Name: "background", Rank: cluster.RankBackground}
	fault := Fault{At: 2 * time.Second, Action: FaultKill, Process: "home", Group: "g"}
	at := func(kind Kind, group string, arrival, end int, o Outcome) completion {
		return completion{kind, group, time.Duration(arrival) * time.Millisecond, time.Duration(end) * time.Millisecond, o}
	}
	events := []completion{
		at(background, "g", 100, 900, OutcomeDone),
		at(urgent, "g", 4000, 4100, OutcomeDone),
		at(urgent, "g", 500, 600, OutcomeDone),
		at(urgent, "g", 1800, 1900, OutcomeDone),
		at(urgent, "g", 1950, 2300, OutcomeDone),
		at(urgent, "g", 2400, 2500, OutcomeNotRun),
		at(urgent, "other", 2600, 2700, OutcomeDone),
		at(urgent, "g", 4900, 4950, OutcomeDone),
	}
	got := recoveries(Phase{Duration: 5 * time.Second, Faults: []Fault{fault}}, events)
	want := []Recovery{
		{
			Kind: "urgent", Rank: "urgent", GapBefore: 1300 * time.Millisecond, Gap: 1800 * time.Millisecond,
			Outcomes: map[Outcome]int{OutcomeDone: 2, OutcomeNotRun: 1},
		},
		{
			Kind: "background", Rank: "background", GapBefore: 1100 * time.Millisecond, Gap: 3 * time.Second, Ongoing: true,
			Outcomes: map[Outcome]int{},
		},
	}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreFields(Recovery{}, "Fault")); diff != "" {
		t.Error(diff)
	}
}
