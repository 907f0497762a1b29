package integration

import (
	"encoding/json"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/rattancove/rattancove/internal/admin"
)

// explainAtEveryProxy asks every proxy where a statement would go. All give the
// home's answer.
func explainAtEveryProxy(t *testing.T, f *fleet) {
	f.awaitHealthy()
	home := f.groupStatus(0, 0).Home
	for proxy := range proxyCount {
		out, err := f.rattanctlCommand("operator", f.adminAddresses[proxy], "--output", "json", "explain", "--group", "orders-1", "INSERT INTO t VALUES (1)").Output()
		var e admin.Explanation
		if err != nil || json.Unmarshal(out, &e) != nil {
			t.Fatalf("explain at proxy %d: %v\n%s", proxy+1, err, out)
		}
		hop := slices.ContainsFunc(e.Steps, func(s admin.ExplanationStep) bool { return s.Step == "hop" && s.Result == string(home) })
		atHome := strings.HasSuffix(string(home), string(rune('1'+proxy)))
		if e.Home != home || e.Server != f.groupStatus(0, 0).Primary || hop == atHome {
			t.Errorf("proxy %d, home %s: %+v", proxy+1, home, e)
		}
	}
	if code, out := f.rattanctl(0, "explain", "--group", "orders-1", "SELECT 1", "SELECT 2"); code != 2 || !strings.Contains(out, "want: SQL") {
		t.Errorf("two statements: exit code %d\n%s", code, out)
	}
}

// showStatusOfWarden asks a warden for what proxies show.
func showStatusOfWarden(t *testing.T, f *fleet) {
	f.eventually("a warden shows the groups", func() bool {
		code, out := f.rattanctlAt("operator", f.wardenAdminAddresses[0], "status")
		return code == 0 && strings.Contains(out, "as warden/entry-1 knows it") && strings.Contains(out, "group orders-2: writable")
	})
	for _, c := range []struct {
		key, command, text string
		code               int
	}{
		{"operator", "report", "nothing is left broken", 0},
		{"wrong", "status", "unknown or has expired", 1},
		{"operator", "doc rollback -e " + environment + " --to 1 --why test --yes", "takes no changes", 1},
		{"operator", "explain --group orders-1 SELECT", "explains nothing", 1},
	} {
		if code, out := f.rattanctlAt(c.key, f.wardenAdminAddresses[0], strings.Fields(c.command)...); code != c.code || !strings.Contains(out, c.text) {
			t.Errorf("%s as %s: exit code %d, want %d and %q in:\n%s", c.command, c.key, code, c.code, c.text, out)
		}
	}
	if code, out := f.rattanctlAt("works-team", f.wardenAdminAddresses[0], "status"); code != 0 || strings.Contains(out, "orders-1") {
		t.Errorf("a customer's status ended with %d and shows:\n%s", code, out)
	}
}

// showRunningFailover kills two servers of orders-2, so that its failover waits
// for a majority, and looks at the failover from a proxy and from a warden.
func showRunningFailover(t *testing.T, f *fleet) {
	f.awaitHealthy()
	killed := []int{3, 4}
	for _, i := range killed {
		f.signal(serverID(i), syscall.SIGKILL)
		_ = f.wait(serverID(i))
	}
	for _, address := range []string{f.adminAddresses[0], f.wardenAdminAddresses[1]} {
		f.eventually("the running failover at "+address, func() bool {
			out, err := f.rattanctlCommand("operator", address, "--output", "json", "status").Output()
			var s admin.Status
			if err != nil || json.Unmarshal(out, &s) != nil {
				return false
			}
			return s.RunningMissing == "" && slices.ContainsFunc(s.Failovers, func(r admin.FailoverStatus) bool {
				return r.Group == "orders-2" && r.Outcome == admin.OutcomeRunning && r.Step == "waiting_majority" &&
					strings.HasPrefix(r.Warden, "entry-") && !r.StepSince.IsZero() && r.Ended.IsZero()
			})
		})
	}
	if code, out := f.rattanctl(0, "status"); code != 0 || !strings.Contains(out, "waiting_majority") {
		t.Errorf("status ended with %d and shows:\n%s", code, out)
	}
	for _, i := range killed {
		f.startServer(i)
	}
	f.awaitHealthy()
	f.eventually("no failover is running", func() bool {
		code, out := f.rattanctl(0, "status")
		return code == 0 && strings.Contains(out, "no failover is running")
	})
}
