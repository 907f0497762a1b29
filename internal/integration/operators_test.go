package integration

import (
	"encoding/json"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/rattancove/rattancove/internal/admin"
)

// explainAtEveryProxy requests the routing of a statement from every proxy. All of
// them return the decision of the group's home.
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
			t.Errorf("explanation of proxy %d, home %s: %+v", proxy+1, home, e)
		}
	}
	if code, out := f.rattanctl(0, "explain", "--group", "orders-1", "SELECT 1", "SELECT 2"); code != 2 || !strings.Contains(out, "want: SQL") {
		t.Errorf("explain with two statements: exit code %d\n%s", code, out)
	}
}

// showStatusOfWarden checks which commands of the administration API a warden
// answers.
func showStatusOfWarden(t *testing.T, f *fleet) {
	f.eventually("the groups in the status of a warden", func() bool {
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
		t.Errorf("status with a customer's key: exit code %d, output:\n%s", code, out)
	}
}

// showRunningFailover kills two servers of orders-2, so that its failover waits
// for a majority, and checks the failover in the status of a proxy and of a warden.
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
		t.Errorf("status: exit code %d, output:\n%s", code, out)
	}
	for _, i := range killed {
		f.startServer(i)
	}
	f.awaitHealthy()
	f.eventually("the end of the failover in the status", func() bool {
		code, out := f.rattanctl(0, "status")
		return code == 0 && strings.Contains(out, "no failover is running")
	})
}
