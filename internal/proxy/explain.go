package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/home"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
	"github.com/rattancove/rattancove/internal/pgwire/front"
	"github.com/rattancove/rattancove/internal/sqlclass"
	"github.com/rattancove/rattancove/internal/statement"
)

// explainTimeout bounds the explain call to the home of a group.
const explainTimeout = 2 * time.Second

var classNames = map[statement.Class]string{
	statement.ClassWrite:         "write",
	statement.ClassRead:          "read",
	statement.ClassPrimaryRead:   "read on the primary",
	statement.ClassBegin:         "transaction",
	statement.ClassBeginReadOnly: "read-only transaction",
}

// Explain implements admin.Explainer. Only the home of a group knows the state of
// its servers, so any other proxy forwards the request to the home.
func (p *Proxy) Explain(ctx context.Context, r admin.ExplainRequest) (admin.Explanation, error) {
	home := p.homeLocator().HomeOf(r.Group)
	e, req, err := p.explainLocally(r, home)
	if err != nil {
		return admin.Explanation{}, err
	}
	if home == p.settings.ID {
		p.addHomeSteps(ctx, &e, req)
		return e, nil
	}
	return p.explainRemotely(ctx, e, r)
}

// explainLocally returns the part of an explanation that any proxy can give.
func (p *Proxy) explainLocally(r admin.ExplainRequest, home cluster.ProxyID) (admin.Explanation, *statement.Request, error) {
	req, err := p.statementRequest(r)
	if err != nil {
		return admin.Explanation{}, nil, &admin.Error{Code: admin.CodeBadRequest, Message: err.Error()}
	}
	e := admin.Explanation{
		Group: r.Group, Class: classNames[req.First.Class], Rank: req.Rank.String(), Home: home,
	}
	e.Add("class", e.Class, "read from the text; in doubt a write")
	e.Add("home", string(home), "rendezvous hash over the stable proxies")
	return e, req, nil
}

// addHomeSteps adds the routing decision of the home at this proxy.
func (p *Proxy) addHomeSteps(ctx context.Context, e *admin.Explanation, req *statement.Request) {
	route, err := p.home.Explain(ctx, req)
	if err != nil {
		e.Add("server", "none", err.Error())
		return
	}
	addRouteSteps(e, route)
}

// explainRemotely returns the explanation of the home, preceded by the hop to it.
// When the home does not answer, it returns e with the reason.
func (p *Proxy) explainRemotely(ctx context.Context, e admin.Explanation, r admin.ExplainRequest) (admin.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	answer, err := p.requestExplanation(ctx, e.Home, r)
	var refused *admin.Error
	if errors.As(err, &refused) {
		return admin.Explanation{}, err
	}
	if err != nil {
		e.Unknown = "the home " + string(e.Home) + " did not answer: " + err.Error()
		if e.Home == "" {
			e.Unknown = "no proxy is the home of the group"
		}
		e.Add("server", "unknown", e.Unknown)
		return e, nil
	}
	hop := admin.ExplanationStep{
		Step: "hop", Result: string(e.Home), Reason: "asked by " + string(p.settings.ID) + "; the steps after this are the home's answer",
	}
	answer.Steps = append([]admin.ExplanationStep{hop}, answer.Steps...)
	return answer, nil
}

// requestExplanation requests an explanation from another proxy. The error is an
// *admin.Error when the request is invalid at that proxy.
func (p *Proxy) requestExplanation(ctx context.Context, home cluster.ProxyID, r admin.ExplainRequest) (admin.Explanation, error) {
	e, ok := p.process.Members.Snapshot().Find(member.Key{Role: member.RoleProxy, ID: string(home)})
	if !ok {
		return admin.Explanation{}, errcode.New(errcode.NoHome, "explain", string(home))
	}
	request, err := json.Marshal(r)
	if err != nil {
		return admin.Explanation{}, errcode.Wrap(err, errcode.Internal, "explain", string(home))
	}
	reply, err := p.process.ControlPeers.Client(e.Member.Address).Explain(ctx, request)
	if err != nil {
		return admin.Explanation{}, err
	}
	if invalid := reply.GetInvalid(); invalid != "" {
		return admin.Explanation{}, &admin.Error{Code: admin.CodeBadRequest, Message: invalid}
	}
	var answer admin.Explanation
	if err := json.Unmarshal(reply.GetExplanation(), &answer); err != nil {
		return admin.Explanation{}, errcode.Wrap(err, errcode.Protocol, "explain", string(home))
	}
	return answer, nil
}

// handleExplain answers a peer that considers this proxy the home. It never forwards
// the request, which limits it to one hop even while the membership views of the
// proxies differ.
func (p *Proxy) handleExplain(ctx context.Context, in *peerpb.ExplainRequest) (*peerpb.ExplainReply, error) {
	var r admin.ExplainRequest
	if err := json.Unmarshal(in.GetRequest(), &r); err != nil {
		return nil, errcode.Wrap(err, errcode.Protocol, "explain", string(p.settings.ID))
	}
	e, req, err := p.explainLocally(r, p.homeLocator().HomeOf(r.Group))
	if err != nil {
		return &peerpb.ExplainReply{Invalid: err.Error()}, nil //nolint:nilerr // the error is returned in the reply
	}
	p.addHomeSteps(ctx, &e, req)
	data, err := json.Marshal(e)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.Internal, "explain", string(p.settings.ID))
	}
	return &peerpb.ExplainReply{Explanation: data}, nil
}

// addRouteSteps adds the steps of the home's routing decision. Options are listed in
// the order in which they are tried.
func addRouteSteps(e *admin.Explanation, route home.Explanation) {
	e.Add("floor", route.Floor, "the position that the session has to see")
	e.Add("proof", fmt.Sprint(route.NeedsProof), "whether a majority is asked before the answer is passed on")
	e.Add("queue", route.QueueWait.String(), "expected wait for a slot")
	if route.Refusal != "" {
		e.Add("server", "none", route.Refusal)
	}
	for i, option := range route.Options {
		if i == 0 {
			e.Server = option.Server
		}
		e.Add("server", string(option.Server), fmt.Sprintf("%s, wait %s", option.Reason, option.Wait))
	}
}

// statementRequest returns the request that a caller's statement would result in.
// Options in the statement's leading comment override those of r.
func (p *Proxy) statementRequest(r admin.ExplainRequest) (*statement.Request, error) {
	analysis := sqlclass.Analyze(r.SQL)
	for _, hint := range analysis.Hints.Keys {
		switch hint.Key {
		case front.OptionRank:
			r.Rank = hint.Value
		case front.OptionFreshness:
			r.Freshness = hint.Value
		case front.OptionSession:
			r.Session = hint.Value
		}
	}
	req := &statement.Request{
		ID: uuid.NewString(), Group: r.Group, Customer: r.Customer, Session: r.Session, Rank: cluster.RankNormal,
		First: statement.Batch{Class: analysis.Class},
	}
	var err error
	if r.Rank != "" {
		if req.Rank, err = cluster.ParseRank(r.Rank); err != nil {
			return nil, err
		}
	}
	if r.Freshness == "" {
		r.Freshness = r.Read
	}
	if r.Freshness != "" {
		req.Freshness, err = front.ParseFreshness(directory{p.process.Documents}, r.Freshness)
	}
	return req, err
}
