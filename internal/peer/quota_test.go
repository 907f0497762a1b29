package peer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rattancove/rattancove/internal/quota"
)

// TestQuotaMessagesKeepAllFields guards against a field of a report or reply that does not
// reach the other process.
func TestQuotaMessagesKeepAllFields(t *testing.T) {
	report := quota.Report{Sequence: 1, Incarnation: 2, Dealer: 3, Uses: []quota.Use{{
		Organisation: "o", Used: 4, Held: 5, Wanted: 6, Needed: 7, Recent: []uint64{8, 0, 9}, Basis: 10,
	}}}
	if diff := cmp.Diff(report, QuotaReportFromProto(QuotaReportToProto(report))); diff != "" {
		t.Error(diff)
	}
	reply := quota.Reply{Dealer: 1, Resend: true, Credits: []quota.Credit{{
		Organisation: "o", Credits: 2, Exhausted: true, RetryAfter: time.Second, Basis: 3, Unlimited: true, Reserve: 4,
	}}}
	if diff := cmp.Diff(reply, QuotaReplyFromProto(QuotaReplyToProto(reply))); diff != "" {
		t.Error(diff)
	}
}
