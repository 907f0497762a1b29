package proxy

import (
	"slices"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/pgwire/front"
	"github.com/rattancove/rattancove/internal/rollout"
	"github.com/rattancove/rattancove/internal/statement"
)

// directory provides the caller listener with accounts, limits and freshness from
// the document in force. While there is no document, or the document may have been
// outdated for too long, it returns no account, so that new callers are refused.
type directory struct{ documents *rollout.Watcher }

// Account implements front.Directory.
func (d directory) Account(user string, group cluster.GroupName) (front.Account, bool) {
	doc := d.document()
	if doc == nil || d.documents.ProofExpired() {
		return front.Account{}, false
	}
	g, ok := doc.Group(group)
	if !ok {
		return front.Account{}, false
	}
	for _, customer := range doc.Customers {
		if !slices.Contains(g.Customers, customer.Name) {
			continue
		}
		for _, u := range customer.Users {
			if u.Name == user {
				return front.Account{Customer: customer.Name, MaxCallers: customer.MaxCallers, Verifier: u.Verifier}, true
			}
		}
	}
	return front.Account{}, false
}

// Limits implements front.Directory.
func (d directory) Limits() environment.Limits {
	if doc := d.document(); doc != nil {
		return doc.Limits
	}
	return environment.Limits{}
}

// Freshness implements front.Directory.
func (d directory) Freshness(name string) (statement.Freshness, bool) {
	doc := d.document()
	if doc == nil {
		return statement.Freshness{}, false
	}
	for _, r := range doc.Reads {
		if r.Name == name {
			return freshness(r), true
		}
	}
	return statement.Freshness{}, false
}

func (d directory) document() *environment.Document {
	if current := d.documents.Current(); current != nil {
		return current.Document
	}
	return nil
}

func freshness(r environment.Read) statement.Freshness {
	switch r.Mode {
	case "latest":
		return statement.Freshness{Mode: statement.FreshnessLatest}
	case "bounded":
		return statement.Freshness{Mode: statement.FreshnessBounded, MaxAge: r.MaxAge}
	default:
		return statement.Freshness{Mode: statement.FreshnessSession}
	}
}
