package integration

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/cluster"
)

const (
	// failuresEnv sets the number of failures of each kind; the default is one. The
	// gaps are checked against gapBound only when it is set.
	failuresEnv = "RATTAN_FAILURES"
	// gapReportEnv names the file to which the reports are written.
	gapReportEnv = "RATTAN_GAP_REPORT"
	// gapBound is the longest time that a group may be without acknowledged writes.
	gapBound = 12 * time.Second
	// gapWriters is the number of concurrent writers of each group.
	gapWriters = 3
	// observationTime is the duration of a failure that needs no failover.
	observationTime = 3 * time.Second
	peerDelay       = 20 * time.Millisecond
	// targetKeepalive is the time after which a server drops a connection that a
	// relay has blackholed, in place of its TCP keepalive.
	targetKeepalive = 5 * time.Second
)

// failure is a kind of failure of a primary.
type failure struct {
	name string
	// needsFailover is set if another primary must take over.
	needsFailover bool
	inject, heal  func(f *fleet, server int)
}

var failures = []failure{
	{
		name: "killed", needsFailover: true,
		inject: func(f *fleet, server int) {
			f.signal(serverID(server), syscall.SIGKILL)
			_ = f.wait(serverID(server))
		},
		heal: (*fleet).startServer,
	},
	{
		name: "frozen", needsFailover: true,
		inject: func(f *fleet, server int) { f.signal(serverID(server), syscall.SIGSTOP) },
		heal:   func(f *fleet, server int) { f.signal(serverID(server), syscall.SIGCONT) },
	},
	{
		name: "isolated", needsFailover: true,
		inject: func(f *fleet, server int) { f.relays[f.serverAddresses[server]].hold(toTarget, fromTarget) },
		heal:   func(f *fleet, server int) { f.relays[f.serverAddresses[server]].hold() },
	},
	{
		name:   "silent path",
		inject: func(f *fleet, server int) { f.relays[f.serverAddresses[server]].blackhole() },
		heal:   func(*fleet, int) {},
	},
}

// gapReport holds the measurements of one kind of failure. A gap is the longest
// time without an acknowledged order, and a wait is the latency of the slowest
// order.
type gapReport struct {
	Kind       string  `json:"kind"`
	GapMillis  []int64 `json:"gap_ms"`
	GapP50     int64   `json:"gap_p50_ms"`
	GapWorst   int64   `json:"gap_worst_ms"`
	WaitMillis []int64 `json:"wait_ms"`
	WaitP50    int64   `json:"wait_p50_ms"`
	WaitWorst  int64   `json:"wait_worst_ms"`
	// Terms is the increase of the term in each failure; 0 means no failover.
	Terms   []cluster.Term `json:"terms"`
	Verdict orderCounts    `json:"verdict"`
}

// TestCutFleet runs the programs with relays between them. Each group is
// assigned one kind of failure, which is injected at its primary, in all groups in
// parallel; then a proxy is cut off from its peers in one direction at a time.
func TestCutFleet(t *testing.T) {
	f := startFleet(t, len(failures), true)
	f.eventually("administration API", func() bool { code, _ := f.rattanctl(0, "status"); return code == 0 })
	f.eventually("all members known", func() bool { return len(f.status(0).Members) == proxyCount+wardenCount })
	f.expectRattanctl(0, "in force on every member", "doc", "promote", "--file", f.writeFile("1.yaml", f.documentText(2000)),
		"--to", environment, "--why", "test", "--yes", "--wait")
	reports := make([]*gapReport, len(failures))
	t.Run("primary", func(t *testing.T) {
		for group, kind := range failures {
			t.Run(kind.name, func(t *testing.T) {
				t.Parallel()
				reports[group] = f.withT(t).repeatFailure(group, kind)
			})
		}
	})
	if t.Failed() {
		return
	}
	t.Run("one-way cut of a peer", func(t *testing.T) { f.withT(t).cutHomeFromPeers() })
	writeReports(t, reports)
}

func failuresPerKind(t *testing.T) int {
	text := os.Getenv(failuresEnv)
	if text == "" {
		return 1
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// repeatFailure injects failures of one kind one after another while orders are
// placed.
func (f *fleet) repeatFailure(group int, kind failure) *gapReport {
	f.createTable(group)
	o := f.startOrders(group, kind.name[:1], gapWriters)
	report := &gapReport{Kind: kind.name}
	for range failuresPerKind(f.t) {
		before := f.awaitSettled(group)
		primary := before.Primary
		o.awaitMore(5 * gapWriters)
		started := time.Now()
		kind.inject(f, f.serverIndex(primary))
		after := f.awaitPrimary(group, primary, kind)
		report.Terms = append(report.Terms, after.Term-before.Term)
		o.awaitMore(5 * gapWriters)
		gap, wait := o.longestGapAndWait(started)
		report.GapMillis = append(report.GapMillis, gap.Milliseconds())
		report.WaitMillis = append(report.WaitMillis, wait.Milliseconds())
		kind.heal(f, f.serverIndex(primary))
	}
	f.awaitSettled(group)
	report.Verdict = o.check()
	report.GapP50, report.GapWorst = median(report.GapMillis), slices.Max(report.GapMillis)
	report.WaitP50, report.WaitWorst = median(report.WaitMillis), slices.Max(report.WaitMillis)
	f.t.Logf("%+v", *report)
	return report
}

// awaitSettled waits until a group has one primary that all other servers follow,
// and returns the group's status.
func (f *fleet) awaitSettled(group int) admin.GroupStatus {
	f.t.Helper()
	var g admin.GroupStatus
	f.eventually("one primary that all servers follow", func() bool {
		g = f.groupStatus(0, group)
		if g.Unknown != "" || !g.Writable {
			return false
		}
		for _, s := range g.Servers {
			follows := s.Role == cluster.RoleReplica || s.ID == g.Primary && s.Role == cluster.RolePrimary
			if !follows || !s.Reachable || s.UnusedReason != "" {
				return false
			}
		}
		return true
	})
	return g
}

// awaitPrimary waits until the group has a writable primary, another one if the
// failure needs a failover, and returns the group's status.
func (f *fleet) awaitPrimary(group int, old cluster.ServerID, kind failure) admin.GroupStatus {
	f.t.Helper()
	if !kind.needsFailover {
		time.Sleep(observationTime)
	}
	var g admin.GroupStatus
	f.eventually("a writable primary after the failure", func() bool {
		g = f.groupStatus(0, group)
		return g.Unknown == "" && g.Writable && (g.Primary != old || !kind.needsFailover)
	})
	return g
}

// longestGapAndWait returns the longest time between two acknowledgements and the
// longest latency of an order, among the orders acknowledged since a time.
func (o *orderWorkload) longestGapAndWait(since time.Time) (gap, wait time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, p := range o.acknowledged[1:] {
		if p.acked.Before(since) {
			continue
		}
		gap = max(gap, p.acked.Sub(o.acknowledged[i].acked))
		wait = max(wait, p.acked.Sub(p.started))
	}
	return gap, wait
}

func median(values []int64) int64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

func writeReports(t *testing.T, reports []*gapReport) {
	for _, r := range reports {
		t.Logf("%-12s %3d failures, gap p50 %5d ms, worst %5d ms, order p50 %5d ms, worst %5d ms; acknowledged %d, lost %d, doubled %d, stale %d of %d",
			r.Kind, len(r.GapMillis), r.GapP50, r.GapWorst, r.WaitP50, r.WaitWorst,
			r.Verdict.Acknowledged, r.Verdict.Lost, r.Verdict.Doubled, r.Verdict.Stale, r.Verdict.Reads)
		if os.Getenv(failuresEnv) != "" && r.GapWorst > gapBound.Milliseconds() {
			t.Errorf("%s: the worst gap exceeds %v", r.Kind, gapBound)
		}
	}
	path := os.Getenv(gapReportEnv)
	if path == "" {
		return
	}
	data, err := json.MarshalIndent(map[string]any{
		"command": fmt.Sprintf("scripts/failover-gap %d", failuresPerKind(t)), "time": time.Now().UTC().Format(time.DateOnly),
		"bound_ms": gapBound.Milliseconds(), "kinds": reports,
	}, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
}

// cutHomeFromPeers holds back the responses of a group's home to its peers, then
// their requests, and then delays both directions, while orders are placed through
// all proxies. The connections that the home opens to its peers work, so it stays
// the home, and orders are acknowledged through its own proxy only. Requests that
// were held back run when the cut ends.
func (f *fleet) cutHomeFromPeers() {
	home := f.groupStatus(0, 0).Home
	r := f.relays[f.peerAddresses[home[len(home)-1]-'1']]
	o := f.startOrders(0, "peer", gapWriters)
	o.awaitMore(5 * gapWriters)
	for _, d := range []direction{fromTarget, toTarget} {
		r.hold(d)
		o.awaitMore(2 * gapWriters)
		r.hold()
		f.awaitSettled(0)
	}
	r.setDelay(peerDelay)
	o.awaitMore(5 * gapWriters)
	o.check()
}
