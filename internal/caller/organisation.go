package caller

import (
	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/catalog"
	"github.com/rattancove/rattancove/internal/errcode"
)

// Authorize returns the organisation for which the caller may run a statement on a route
// at this moment. It is empty if callers need no key, or on a public route without a
// known key.
type Authorize func(route catalog.Route) (organisation string, refusal *errcode.Error)

// authorize checks the caller's key for one statement.
func (s *Session) authorize(route catalog.Route) (string, *errcode.Error) {
	if s.config.Authorize == nil {
		return "", nil
	}
	organisation, refusal := s.config.Authorize(route)
	s.refused = s.refused && refusal != nil
	return organisation, refusal
}

// logRefusal logs the refusal of a key, once until the session may run statements again.
func (s *Session) logRefusal(refused *Statement, e *errcode.Error) {
	if s.refused {
		return
	}
	s.refused = true
	eventKeyRefused.Log(s.config.Log).Str("request", requestID(refused.ID)).Str("database", s.database).
		Str("code", e.Code.Name).Str("organisation", e.Peer).AnErr("cause", e.Cause).Send()
}

// authorize checks the caller's key for one statement of an open transaction, which runs
// on a connection of the organisation with which it began.
func (c *conversation) authorize(next *Statement) *errcode.Error {
	s := c.session
	route, _ := s.config.Routes.Route(s.database)
	if c.organisation == "" && route.Public {
		return nil
	}
	route.Public = false // the connection belongs to the organisation of the key
	organisation, refusal := s.authorize(route)
	if refusal == nil && organisation != c.organisation {
		refusal = organisationChanged(c.organisation, organisation)
	}
	if refusal != nil {
		s.logRefusal(next, refusal)
	}
	return refusal
}

// organisationChanged returns the refusal of a statement whose transaction began for
// another organisation. The key is not at fault if the configuration has begun or ceased
// to list organisations.
func organisationChanged(before, now string) *errcode.Error {
	code := errcode.Denied
	if before == "" || now == "" {
		code = errcode.RolledBack
	}
	return errcode.Wrap(eris.Errorf("the transaction began for %q, the key now belongs to %q", before, now), code, "key", before)
}
