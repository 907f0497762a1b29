package peer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/rattancove/rattancove/internal/member"
)

// TestReportsKeepAllFields guards against a field of a member that does not reach the other
// process, and against a message that differs from that of earlier versions although the
// weight is unknown.
func TestReportsKeepAllFields(t *testing.T) {
	report := member.Report{
		Member: member.Member{ID: "a", Role: member.RoleProxy, Address: "10.0.0.1:1", FailureDomain: "d", Incarnation: 3, Weight: 64},
		State:  member.StateSuspect, Age: time.Second, Stable: true,
	}
	if diff := cmp.Diff(report, ReportFromProto(ReportToProto(report))); diff != "" {
		t.Error(diff)
	}
	with := proto.Size(ReportToProto(report))
	report.Member.Weight = 0
	if without := proto.Size(ReportToProto(report)); without != with-2 {
		t.Errorf("%d bytes without a weight, %d with it", without, with)
	}
}
