package memberpeer

import (
	"context"
	"time"

	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
)

// Documents exchanges document versions with each ping. Both fields may be nil.
type Documents struct {
	// Known returns the versions that this process holds.
	Known func() []*peerpb.DocumentVersion
	// Heard is told the versions that a member holds.
	Heard func(from member.Member, versions []*peerpb.DocumentVersion)
}

func (d Documents) known() []*peerpb.DocumentVersion {
	if d.Known == nil {
		return nil
	}
	return d.Known()
}

func (d Documents) heard(from member.Member, versions []*peerpb.DocumentVersion) {
	if d.Heard != nil && len(versions) > 0 {
		d.Heard(from, versions)
	}
}

// Pinger implements member.Pinger.
type Pinger struct {
	Clients   *Clients
	Documents Documents
}

// Ping implements member.Pinger.
func (p *Pinger) Ping(ctx context.Context, address string, news member.News) (member.News, error) {
	reply, err := p.Clients.Client(address).Ping(ctx, &peerpb.PingRequest{
		From:      toProto(news.From),
		Members:   reportsToProto(news.Members),
		Documents: p.Documents.known(),
	})
	if err != nil {
		return member.News{}, err
	}
	from := fromProto(reply.GetFrom())
	p.Documents.heard(from.Member, reply.GetDocuments())
	return member.News{From: from, Members: reportsFromProto(reply.GetMembers())}, nil
}

// PingHandler returns the handler that a peer server needs to answer pings.
func PingHandler(loop *member.Loop, documents Documents) func(context.Context, *peerpb.PingRequest) (*peerpb.PingReply, error) {
	return func(_ context.Context, in *peerpb.PingRequest) (*peerpb.PingReply, error) {
		news := member.News{From: fromProto(in.GetFrom()), Members: reportsFromProto(in.GetMembers())}
		reply := loop.HandlePing(news)
		documents.heard(news.From.Member, in.GetDocuments())
		return &peerpb.PingReply{
			From:      toProto(reply.From),
			Members:   reportsToProto(reply.Members),
			Documents: documents.known(),
		}, nil
	}
}

func toProto(r member.Report) *peerpb.Member {
	return &peerpb.Member{
		Id:            r.Member.ID,
		Address:       r.Member.Address,
		FailureDomain: r.Member.FailureDomain,
		Role:          string(r.Member.Role),
		Incarnation:   r.Member.Incarnation,
		State:         string(r.State),
		AgeMillis:     r.Age.Milliseconds(),
	}
}

func fromProto(m *peerpb.Member) member.Report {
	return member.Report{
		Member: member.Member{
			ID:            m.GetId(),
			Role:          member.Role(m.GetRole()),
			Address:       m.GetAddress(),
			FailureDomain: m.GetFailureDomain(),
			Incarnation:   m.GetIncarnation(),
		},
		State: member.State(m.GetState()),
		Age:   max(0, time.Duration(m.GetAgeMillis())*time.Millisecond),
	}
}

func reportsToProto(reports []member.Report) []*peerpb.Member {
	var out []*peerpb.Member
	for _, r := range reports {
		out = append(out, toProto(r))
	}
	return out
}

func reportsFromProto(members []*peerpb.Member) []member.Report {
	var reports []member.Report
	for _, m := range members {
		reports = append(reports, fromProto(m))
	}
	return reports
}
