package integration

import (
	"bufio"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/cluster"
)

func TestFleet(t *testing.T) {
	f := startFleet(t, 2, false)
	f.eventually("administration API", func() bool { code, _ := f.rattanctl(0, "status"); return code == 0 })
	f.eventually("all members known", func() bool { return len(f.status(0).Members) == proxyCount+wardenCount })
	for _, test := range []struct {
		name string
		run  func(*testing.T, *fleet)
	}{
		{"documents", changeDocuments},
		{"keys and certificates", rejectInvalidKeysAndCertificates},
		{"explain at every proxy", explainAtEveryProxy},
		{"status of a warden", showStatusOfWarden},
		{"failover", failOverKilledPrimary},
		{"running failover", showRunningFailover},
		{"paused home", replacePausedHome},
		{"planned stop", stopProxyDuringStatement},
	} {
		if !t.Run(test.name, func(t *testing.T) { f.t = t; test.run(t, f) }) {
			f.t = t
			return
		}
		f.t = t
	}
}

// changeDocuments validates, promotes and rolls back documents and waits for their
// rollouts. A promotion that waits for its confirmation while another one takes
// effect must fail with a conflict.
func changeDocuments(_ *testing.T, f *fleet) {
	first, second, third := f.writeFile("1.yaml", f.documentText(2000)), f.writeFile("2.yaml", f.documentText(2001)), f.writeFile("3.yaml", f.documentText(2002))
	broken := f.writeFile("broken.yaml", strings.Replace(f.documentText(1), "slots: 2", "slots: none", 1))
	promote := func(file string) []string {
		return []string{"doc", "promote", "--file", file, "--to", environment, "--why", "test"}
	}
	f.expectRattanctl(0, "is valid", "doc", "validate", first)
	f.expectRattanctl(4, "broken.yaml:9", "doc", "validate", broken)
	f.expectRattanctl(0, "in force on every member", append(promote(first), "--yes", "--wait")...)

	losing := f.rattanctlCommand("operator", f.adminAddresses[1], promote(second)...)
	stdin, remainingOutput := f.startUntilPrompt(losing)
	f.expectRattanctl(0, "revision 2", append(promote(third), "--yes")...)
	fmt.Fprintln(stdin, environment)
	remaining := remainingOutput()
	if _ = losing.Wait(); losing.ProcessState.ExitCode() != 3 || !strings.Contains(remaining, "came first") {
		f.t.Errorf("the losing promotion: exit code %d, want 3: %s", losing.ProcessState.ExitCode(), remaining)
	}
	f.expectRattanctl(0, "in force on every member", "doc", "rollback", "-e", environment, "--to", "1", "--why", "test", "--yes", "--wait")
	f.expectRattanctl(0, "rollback", "doc", "history", "-e", environment)
	for proxy := range proxyCount {
		if document := f.status(proxy).Document; document.Revision != 3 {
			f.t.Errorf("proxy %d has revision %d in force, want 3", proxy+1, document.Revision)
		}
	}
}

// startUntilPrompt starts a change and returns once it asks for confirmation. The
// first result takes the answer; the second returns what is printed after the
// prompt.
func (f *fleet) startUntilPrompt(cmd *exec.Cmd) (interface{ Write([]byte) (int, error) }, func() string) {
	f.t.Helper()
	stdin, err := cmd.StdinPipe()
	if err != nil {
		f.t.Fatal(err)
	}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		f.t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	reader := bufio.NewReader(stderr)
	if _, err := reader.ReadString('?'); err != nil {
		f.t.Fatal(err)
	}
	return stdin, func() string {
		var text strings.Builder
		_, _ = reader.WriteTo(&text)
		return text.String()
	}
}

func rejectInvalidKeysAndCertificates(t *testing.T, f *fleet) {
	f.writeFile("wrong.key", "no such key\n")
	for _, c := range []struct{ key, text, command string }{
		{"wrong", "unknown or has expired", "status"},
		{"works-team", "lacks the right", "doc history -e " + environment},
		{"works-team", "may not see earlier documents", "doc rollback -e " + environment + " --to 1 --why test --yes"},
		{"works-team", "may not see this group", "explain --group orders-1 SELECT"},
	} {
		if code, out := f.rattanctlAs(c.key, 0, strings.Fields(c.command)...); code != 1 || !strings.Contains(out, c.text) {
			t.Errorf("%s as %s: exit code %d, want 1 and %q in:\n%s", c.command, c.key, code, c.text, out)
		}
	}
	if code, out := f.rattanctlAs("works-team", 0, "status"); code != 0 || strings.Contains(out, "orders-1") || !strings.Contains(out, "orders-2") {
		t.Errorf("status with a customer's key: exit code %d, output:\n%s", code, out)
	}
	if err := f.execute(t.Context(), 0, 0, "SELECT 1"); err != nil {
		t.Errorf("statement of a caller of the group's customer: %v", err)
	}
	f.ca.Expired("expired")
	f.checkExpiredServerIsRefused()
	settings := f.writeFile("expired.yaml", f.commonSettings(7, "127.0.0.1:0", "127.0.0.1:0")+fmt.Sprintf(`callers: {listen: "127.0.0.1:0"}
admin: {listen: "127.0.0.1:0", keys_file: %s/keys.yaml, tls: {cert_file: %s/expired.crt, key_file: %s/expired.key}}
`, f.dir, f.dir, f.dir))
	out, err := exec.Command(filepath.Join(f.dir, "rattan-proxy"), "--settings", settings).CombinedOutput()
	if err == nil || !strings.Contains(string(out), "expired") {
		t.Errorf("start of a proxy with an expired certificate: %v\n%s", err, out)
	}
}

// checkExpiredServerIsRefused checks that rattanctl sends no request, and so no
// key, to a server whose certificate has expired.
func (f *fleet) checkExpiredServerIsRefused() {
	pair, err := tls.LoadX509KeyPair(filepath.Join(f.dir, "expired.crt"), filepath.Join(f.dir, "expired.key"))
	if err != nil {
		f.t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		f.t.Error("the server with an expired certificate received a request")
	}))
	server.TLS = &tls.Config{Certificates: []tls.Certificate{pair}}
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	defer server.Close()
	cmd := f.rattanctlCommand("operator", server.Listener.Addr().String(), "status")
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "expired") {
		f.t.Errorf("rattanctl against a server with an expired certificate: %v\n%s", err, out)
	}
}

// failOverKilledPrimary kills a primary while orders are placed, and checks the
// report after the failover and after the server is back.
func failOverKilledPrimary(_ *testing.T, f *fleet) {
	f.createTable(0)
	f.awaitHealthy()
	o := f.startOrders(0, "failover", 1)
	o.awaitMore(5)
	old := f.groupStatus(0, 0).Primary
	f.signal(string(old), syscall.SIGKILL)
	_ = f.wait(string(old))
	o.awaitMore(20)
	f.eventually("another writable primary in the status", func() bool {
		now := f.groupStatus(0, 0)
		return now.Unknown == "" && now.Primary != old && now.Writable
	})
	f.eventually("the failover in the report", func() bool {
		code, out := f.rattanctl(0, "report")
		return code == 1 && strings.Contains(out, "primary unreachable") && strings.Contains(out, string(old)+" cannot be reached")
	})
	f.startServer(f.serverIndex(old))
	f.awaitHealthy()
	o.awaitMore(5)
	o.check()
}

// awaitHealthy waits until the report lists nothing as broken.
func (f *fleet) awaitHealthy() {
	f.t.Helper()
	var report admin.Report
	defer func() {
		if f.t.Failed() {
			f.t.Log(report.Broken)
		}
	}()
	f.eventually("a report with nothing broken", func() bool {
		out, err := f.rattanctlCommand("operator", f.adminAddresses[0], "--output", "json", "report").Output()
		if report = (admin.Report{}); json.Unmarshal(out, &report) != nil {
			return false
		}
		return len(report.Broken) == 0 && !report.Time.IsZero() && err == nil
	})
}

// groupStatus returns the status of a group that a proxy reports.
func (f *fleet) groupStatus(proxy, group int) admin.GroupStatus { return f.status(proxy).Groups[group] }

// serverIndex is the inverse of serverID.
func (f *fleet) serverIndex(id cluster.ServerID) int {
	for i := range f.serverAddresses {
		if serverID(i) == string(id) {
			return i
		}
	}
	f.t.Fatalf("unknown server %s", id)
	return 0
}

// replacePausedHome pauses the home of a group until the others count it as dead
// and another home has taken over, and resumes it while orders are placed. All
// proxies must agree on one home again.
func replacePausedHome(_ *testing.T, f *fleet) {
	home := f.groupStatus(0, 0).Home
	name := strings.Replace(string(home), "entry", "proxy", 1)
	other := int(home[len(home)-1]-'0') % proxyCount
	o := f.startOrders(0, "pause", 1)
	o.awaitMore(5)
	f.signal(name, syscall.SIGSTOP)
	f.eventually("another home of the group", func() bool {
		g := f.groupStatus(other, 0)
		return g.Home != home && g.Unknown == "" && g.Writable
	})
	o.awaitMore(10)
	f.signal(name, syscall.SIGCONT)
	f.eventually("the resumed proxy to be alive", func() bool {
		return !slices.ContainsFunc(f.status(other).Members, func(m admin.MemberStatus) bool { return m.State != "alive" })
	})
	o.awaitMore(20)
	f.eventually("all proxies to agree on the home", func() bool {
		first := f.groupStatus(0, 0)
		for proxy := 1; proxy < proxyCount; proxy++ {
			if g := f.groupStatus(proxy, 0); g.Home != first.Home || g.Epoch != first.Epoch || g.Unknown != "" {
				return false
			}
		}
		return first.Unknown == ""
	})
	o.check()
}

// isReady requests a proxy's readiness, as the load balancer does.
func (f *fleet) isReady(proxy int) bool {
	f.t.Helper()
	client := http.Client{
		Timeout:   waitTimeout,
		Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: f.ca.Pool()}, DisableKeepAlives: true},
	}
	response, err := client.Get("https://" + f.adminAddresses[proxy] + "/v1/ready")
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stopProxyDuringStatement stops a proxy during a statement. The statement lasts
// 10 s, so that the test observes it running even on a slow machine.
func stopProxyDuringStatement(t *testing.T, f *fleet) {
	f.eventually("the proxy to serve", func() bool { return f.execute(t.Context(), 2, 0, "SELECT 1") == nil })
	done := make(chan error, 1)
	go func() { done <- f.execute(t.Context(), 2, 0, "SELECT pg_sleep(10)") }()
	f.eventually("the statement to run", func() bool {
		select {
		case err := <-done:
			t.Fatalf("the statement ended before the status showed it: %v, group %+v", err, f.groupStatus(0, 0))
		default:
		}
		return slices.ContainsFunc(f.groupStatus(0, 0).Queues, func(q admin.QueueStatus) bool { return q.Running > 0 })
	})
	if !f.isReady(2) {
		t.Error("the proxy is not ready before its stop")
	}
	f.signal("proxy-3", syscall.SIGTERM)
	f.eventually("the proxy to report that it is not ready", func() bool { return !f.isReady(2) })
	select {
	case err := <-done:
		t.Fatalf("the statement ended before the proxy stopped being ready: %v", err)
	default:
	}
	if err := <-done; err != nil {
		t.Errorf("the statement that was in flight at the stop: %v", err)
	}
	if err := f.wait("proxy-3"); err != nil {
		t.Errorf("exit of the stopped proxy: %v", err)
	}
	if err := f.execute(t.Context(), 0, 0, "SELECT 1"); err != nil {
		t.Errorf("statement through another proxy after the stop: %v", err)
	}
}
