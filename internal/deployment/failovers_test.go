package deployment

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/failover"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
)

func TestRunningStatusConvertsAgesToTimes(t *testing.T) {
	now := time.Date(2026, 12, 4, 3, 0, 10, 0, time.UTC)
	got := runningStatus(&peerpb.RunningFailover{
		Group: "orders-1", Term: 4, Step: "sealing", Cause: "primary unreachable", From: "a",
		AgeNanos: int64(3 * time.Second), StepAgeNanos: int64(time.Second),
	}, "entry-2", now)
	want := admin.FailoverStatus{
		Group: "orders-1", Term: 4, From: "a", Reason: "primary unreachable", Started: now.Add(-3 * time.Second), GapMillis: 3000,
		Outcome: admin.OutcomeRunning, Step: "sealing", StepSince: now.Add(-time.Second), Warden: "entry-2",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestRecordedFailoverNamesItsWarden(t *testing.T) {
	if got := recordedStatus(failover.Record{Holder: "entry-2/00000000000000ff"}).Warden; got != "entry-2" {
		t.Errorf("warden %q", got)
	}
}

func TestEndedFailoverIsNotShownAsRunning(t *testing.T) {
	at := func(s int) time.Time { return time.Date(2026, 12, 4, 3, 0, s, 0, time.UTC) }
	done := admin.FailoverStatus{Group: "orders-1", Term: 4, Started: at(2), Outcome: admin.OutcomeDone}
	late := admin.FailoverStatus{Group: "orders-1", Term: 4, Started: at(2), Outcome: admin.OutcomeRunning}
	other := admin.FailoverStatus{Group: "orders-2", Term: 4, Started: at(1), Outcome: admin.OutcomeRunning}
	got := mergeFailovers([]admin.FailoverStatus{done}, []admin.FailoverStatus{late, other})
	if diff := cmp.Diff([]admin.FailoverStatus{other, done}, got); diff != "" {
		t.Error(diff)
	}
}
