package peer

import (
	"time"

	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
)

// ReportToProto encodes evidence about a member.
func ReportToProto(r member.Report) *peerpb.Member {
	return &peerpb.Member{
		Id: r.Member.ID, Address: r.Member.Address, FailureDomain: r.Member.FailureDomain, Role: string(r.Member.Role),
		Incarnation: r.Member.Incarnation, State: string(r.State), AgeMillis: r.Age.Milliseconds(),
		Stable: r.Stable, Weight: r.Member.Weight,
	}
}

// ReportFromProto decodes evidence about a member.
func ReportFromProto(m *peerpb.Member) member.Report {
	return member.Report{
		Member: member.Member{
			ID: m.GetId(), Role: member.Role(m.GetRole()), Address: m.GetAddress(),
			FailureDomain: m.GetFailureDomain(), Incarnation: m.GetIncarnation(), Weight: m.GetWeight(),
		},
		State:  member.State(m.GetState()),
		Age:    time.Duration(m.GetAgeMillis()) * time.Millisecond,
		Stable: m.GetStable(),
	}
}

// ReportsToProto encodes evidence about members.
func ReportsToProto(reports []member.Report) []*peerpb.Member {
	out := make([]*peerpb.Member, 0, len(reports))
	for _, r := range reports {
		out = append(out, ReportToProto(r))
	}
	return out
}

// ReportsFromProto decodes evidence about members.
func ReportsFromProto(members []*peerpb.Member) []member.Report {
	out := make([]member.Report, 0, len(members))
	for _, m := range members {
		out = append(out, ReportFromProto(m))
	}
	return out
}
