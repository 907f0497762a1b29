package proxy

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/home"
	"github.com/rattancove/rattancove/internal/pgwire/front"
	"github.com/rattancove/rattancove/internal/sqlclass"
	"github.com/rattancove/rattancove/internal/statement"
)

var classNames = map[statement.Class]string{
	statement.ClassWrite:         "write",
	statement.ClassRead:          "read",
	statement.ClassPrimaryRead:   "read on the primary",
	statement.ClassBegin:         "transaction",
	statement.ClassBeginReadOnly: "read-only transaction",
}

// Explain implements admin.Explainer. Only the home of a group knows its
// servers; another proxy explains the way to the home and names it.
func (p *Proxy) Explain(ctx context.Context, r admin.ExplainRequest) (admin.Explanation, error) {
	req, err := p.explainedRequest(r)
	if err != nil {
		return admin.Explanation{}, &admin.Error{Code: admin.CodeBadRequest, Message: err.Error()}
	}
	owner := p.members().HomeOf(r.Group)
	e := admin.Explanation{
		Group: r.Group, Class: classNames[req.First.Class], Rank: req.Rank.String(), Home: owner,
	}
	e.Add("class", e.Class, "read from the text; in doubt a write")
	e.Add("home", string(owner), "rendezvous hash over the stable proxies")
	if owner != p.settings.ID {
		e.Add("server", "decided by the home", "ask the administration API of "+string(owner))
		return e, nil
	}
	decided, err := p.home.Explain(ctx, req)
	if err != nil {
		e.Add("server", "none", err.Error())
		return e, nil
	}
	addRoute(&e, decided)
	return e, nil
}

// addRoute adds what the home decides. The first option is tried first.
func addRoute(e *admin.Explanation, decided home.Explanation) {
	e.Add("floor", decided.Floor, "the position that the session has to see")
	e.Add("proof", fmt.Sprint(decided.NeedsProof), "whether a majority is asked before the answer is passed on")
	e.Add("queue", decided.QueueWait.String(), "expected wait for a slot")
	if decided.Refusal != "" {
		e.Add("server", "none", decided.Refusal)
	}
	for i, option := range decided.Options {
		if i == 0 {
			e.Server = option.Server
		}
		e.Add("server", string(option.Server), fmt.Sprintf("%s, wait %s", option.Reason, option.Wait))
	}
}

// explainedRequest returns the request that a caller's statement would become.
// Options in the statement's leading comment come before those of r.
func (p *Proxy) explainedRequest(r admin.ExplainRequest) (*statement.Request, error) {
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
