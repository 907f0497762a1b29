package peer

import (
	"time"

	"github.com/rattancove/rattancove/internal/peer/peerpb"
	"github.com/rattancove/rattancove/internal/quota"
)

// QuotaReportToProto encodes a report of credits.
func QuotaReportToProto(r quota.Report) *peerpb.QuotaReport {
	out := &peerpb.QuotaReport{Sequence: r.Sequence, Incarnation: r.Incarnation, Dealer: r.Dealer}
	for _, u := range r.Uses {
		out.Uses = append(out.Uses, &peerpb.QuotaUse{
			Organisation: validText(u.Organisation), Used: u.Used, Held: u.Held, Wanted: u.Wanted, Needed: u.Needed,
			Recent: u.Recent, Basis: u.Basis,
		})
	}
	return out
}

// QuotaReportFromProto decodes a report of credits.
func QuotaReportFromProto(r *peerpb.QuotaReport) quota.Report {
	out := quota.Report{Sequence: r.GetSequence(), Incarnation: r.GetIncarnation(), Dealer: r.GetDealer()}
	for _, u := range r.GetUses() {
		out.Uses = append(out.Uses, quota.Use{
			Organisation: u.GetOrganisation(), Used: u.GetUsed(), Held: u.GetHeld(), Wanted: u.GetWanted(), Needed: u.GetNeeded(),
			Recent: u.GetRecent(), Basis: u.GetBasis(),
		})
	}
	return out
}

// QuotaReplyToProto encodes the answer to a report of credits.
func QuotaReplyToProto(r quota.Reply) *peerpb.QuotaReply {
	out := &peerpb.QuotaReply{Dealer: r.Dealer, Resend: r.Resend}
	for _, c := range r.Credits {
		out.Credits = append(out.Credits, &peerpb.QuotaCredit{
			Organisation: validText(c.Organisation), Credits: c.Credits, Exhausted: c.Exhausted, RetryAfterNanos: int64(c.RetryAfter),
			Basis: c.Basis, Unlimited: c.Unlimited, Reserve: c.Reserve,
		})
	}
	return out
}

// QuotaReplyFromProto decodes the answer to a report of credits.
func QuotaReplyFromProto(r *peerpb.QuotaReply) quota.Reply {
	out := quota.Reply{Dealer: r.GetDealer(), Resend: r.GetResend()}
	for _, c := range r.GetCredits() {
		out.Credits = append(out.Credits, quota.Credit{
			Organisation: c.GetOrganisation(), Credits: c.GetCredits(), Exhausted: c.GetExhausted(),
			RetryAfter: time.Duration(c.GetRetryAfterNanos()), Basis: c.GetBasis(), Unlimited: c.GetUnlimited(), Reserve: c.GetReserve(),
		})
	}
	return out
}
