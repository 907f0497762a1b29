package peer

import (
	"errors"
	"strings"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/grant"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
	"github.com/rattancove/rattancove/internal/statement"
)

func positionToProto(p cluster.Position) *peerpb.Position {
	return &peerpb.Position{Term: uint64(p.Term), Offset: p.Offset}
}

func positionFromProto(p *peerpb.Position) cluster.Position {
	return cluster.Position{Term: cluster.Term(p.GetTerm()), Offset: p.GetOffset()}
}

// RevocationToProto encodes the answer to a revocation.
func RevocationToProto(r grant.Revocation) *peerpb.RevokeReply {
	return &peerpb.RevokeReply{Incarnation: r.Incarnation, Acknowledged: positionToProto(r.Acknowledged)}
}

func revocationFromProto(proxy cluster.ProxyID, r *peerpb.RevokeReply) grant.Revocation {
	holder := grant.Holder{Proxy: proxy, Incarnation: r.GetIncarnation()}
	return grant.Revocation{Holder: holder, Acknowledged: positionFromProto(r.GetAcknowledged())}
}

func batchToProto(b *statement.Batch) *peerpb.Batch {
	out := &peerpb.Batch{Messages: b.Messages, Class: uint32(b.Class)}
	for _, p := range b.Prepared {
		out.Prepared = append(out.Prepared, &peerpb.Prepared{Name: p.Name, Parse: p.Parse})
	}
	if b.Settings != nil {
		out.SettingsChanged = true
		out.Settings = settingsToProto(b.Settings)
	}
	return out
}

func settingsToProto(settings []statement.Setting) []*peerpb.Setting {
	out := make([]*peerpb.Setting, 0, len(settings))
	for _, s := range settings {
		out = append(out, &peerpb.Setting{Name: []byte(s.Name), Value: []byte(s.Value)})
	}
	return out
}

func settingsFromProto(settings []*peerpb.Setting) []statement.Setting {
	out := make([]statement.Setting, 0, len(settings))
	for _, s := range settings {
		out = append(out, statement.Setting{Name: string(s.GetName()), Value: string(s.GetValue())})
	}
	return out
}

func batchFromProto(b *peerpb.Batch) statement.Batch {
	out := statement.Batch{Messages: b.GetMessages(), Class: statement.Class(b.GetClass())}
	for _, p := range b.GetPrepared() {
		out.Prepared = append(out.Prepared, statement.Prepared{Name: p.GetName(), Parse: p.GetParse()})
	}
	if b.GetSettingsChanged() {
		out.Settings = settingsFromProto(b.GetSettings())
	}
	return out
}

func openToProto(r *statement.Request) *peerpb.Open {
	open := &peerpb.Open{
		Group:         string(r.Group),
		Customer:      r.Customer,
		Organisation:  validText(r.Organisation),
		Session:       r.Session,
		Rank:          uint32(r.Rank),
		FreshnessMode: uint32(r.Freshness.Mode),
		MaxAgeNanos:   int64(r.Freshness.MaxAge),
		Floor:         positionToProto(r.Floor),
		FloorExact:    r.FloorExact,
		OrderId:       r.OrderID,
		TimeoutNanos:  int64(r.Timeout), ObjectiveNanos: int64(r.Objective),
		TraceParent: r.TraceParent,
		Hops:        uint32(r.Hops),
	}
	open.Settings = settingsToProto(r.Settings)
	return open
}

func requestFromProto(id string, open *peerpb.Open, batch *peerpb.Batch) *statement.Request {
	r := &statement.Request{
		ID:           id,
		Group:        cluster.GroupName(open.GetGroup()),
		Customer:     open.GetCustomer(),
		Organisation: open.GetOrganisation(),
		Session:      open.GetSession(),
		Rank:         rankFromProto(open.GetRank()),
		Freshness: statement.Freshness{
			Mode:   statement.FreshnessMode(open.GetFreshnessMode()),
			MaxAge: time.Duration(open.GetMaxAgeNanos()),
		},
		Floor:       positionFromProto(open.GetFloor()),
		FloorExact:  open.GetFloorExact(),
		OrderID:     open.GetOrderId(),
		Timeout:     time.Duration(open.GetTimeoutNanos()),
		Objective:   time.Duration(open.GetObjectiveNanos()),
		TraceParent: open.GetTraceParent(),
		Hops:        int(open.GetHops()),
		First:       batchFromProto(batch),
	}
	r.Settings = settingsFromProto(open.GetSettings())
	return r
}

// rankFromProto decodes a rank. An unknown one becomes the lowest.
func rankFromProto(r uint32) cluster.Rank {
	if r >= cluster.RankCount {
		return cluster.RankBackground
	}
	return cluster.Rank(r)
}

func resultToProto(r statement.Result) *peerpb.Result {
	return &peerpb.Result{
		Position: positionToProto(r.Position),
		Observed: positionToProto(r.Observed),
		Server:   string(r.Server),
		Home:     string(r.Home),
		Primary:  r.Primary,
		Repeat:   r.Deduplicated,
		Reason:   r.Reason,
	}
}

func resultFromProto(r *peerpb.Result) statement.Result {
	return statement.Result{
		Position:     positionFromProto(r.GetPosition()),
		Observed:     positionFromProto(r.GetObserved()),
		Server:       cluster.ServerID(r.GetServer()),
		Home:         cluster.ProxyID(r.GetHome()),
		Primary:      r.GetPrimary(),
		Deduplicated: r.GetRepeat(),
		Reason:       r.GetReason(),
	}
}

func failureToProto(err error) *peerpb.Failure {
	e := errcode.From(err)
	failure := &peerpb.Failure{
		Code:            e.Code.Name,
		Step:            validText(e.Step),
		Peer:            validText(e.Peer),
		RetryAfterNanos: int64(e.RetryAfter),
	}
	if e.Cause != nil {
		failure.Message = validText(e.Cause.Error())
	}
	return failure
}

// validText makes a text of an error, which may quote a server or a caller, valid UTF-8 as
// a protobuf string must be.
func validText(s string) string { return strings.ToValidUTF8(s, "\uFFFD") }

func failureFromProto(f *peerpb.Failure) error {
	code, _ := errcode.ByName(f.GetCode())
	e := errcode.New(code, f.GetStep(), f.GetPeer())
	e.RetryAfter = time.Duration(f.GetRetryAfterNanos())
	if f.GetMessage() != "" {
		e.Cause = errors.New(f.GetMessage())
	}
	return e
}
