package admin

import (
	"net/http"
	"strconv"

	"github.com/rattancove/rattancove/internal/document"
	"github.com/rattancove/rattancove/internal/environment"
)

// CurrentAnswer is the document in force, or a customer's view of it.
type CurrentAnswer struct {
	Revision document.Revision `json:"revision"`
	Document string            `json:"document"`
	// View is set when the document is only a customer's part.
	View bool `json:"view"`
}

// HistoryAnswer lists the revisions of an environment, oldest first.
type HistoryAnswer struct {
	Revisions []document.Revision `json:"revisions"`
}

// DiffAnswer is the plan of a change and the revision that it starts from.
type DiffAnswer struct {
	Base      document.Revision `json:"base"`
	Plan      environment.Plan  `json:"plan"`
	Dangerous bool              `json:"dangerous"`
}

// RolloutAnswer tells where the revision accepted last is in force. Members
// that are known to have stopped do not count.
type RolloutAnswer struct {
	Accepted document.Revision `json:"accepted"`
	Members  []MemberStatus    `json:"members"`
	// Behind lists the members that hold an older revision or another document.
	Behind  []string `json:"behind"`
	InForce bool     `json:"in_force"`
}

// ChangeRequest asks for a change. Who is taken from the key; a name sent by
// the client is added to it.
type ChangeRequest struct {
	ChangeID   string  `json:"change_id"`
	Who        string  `json:"who"`
	Why        string  `json:"why"`
	Override   string  `json:"override,omitempty"`
	IfRevision *uint64 `json:"if_revision,omitempty"`
	IfDigest   string  `json:"if_digest,omitempty"`
	// Document is the YAML text to publish.
	Document string `json:"document,omitempty"`
	// From is the environment to promote from.
	From string `json:"from,omitempty"`
	// To is the revision to roll back to.
	To uint64 `json:"to,omitempty"`
}

// ChangeAnswer is the revision that a change made.
type ChangeAnswer struct {
	Revision document.Revision `json:"revision"`
}

func environmentOf(r *http.Request) (string, error) {
	name := r.PathValue("environment")
	if !document.ValidName(name) {
		return "", newError(CodeBadRequest, "the environment's name is not valid")
	}
	return name, nil
}

func (s *Server) current(r *http.Request, identity Identity) (any, error) {
	env, err := environmentOf(r)
	if err != nil {
		return nil, err
	}
	if text := r.URL.Query().Get("revision"); text != "" {
		return s.earlierDocument(r, env, text, identity)
	}
	revision, doc, err := s.config.Documents.Document(r.Context(), env)
	if err != nil {
		return nil, err
	}
	if !identity.mayRead() {
		data, err := environment.Encode(environment.View(doc, identity.Customer))
		return CurrentAnswer{Revision: anonymous(revision), Document: string(data), View: true}, err
	}
	data, err := s.config.Documents.Bytes(r.Context(), env, revision.Digest)
	return CurrentAnswer{Revision: revision, Document: string(data)}, err
}

// earlierDocument answers with the document of an accepted revision.
func (s *Server) earlierDocument(r *http.Request, env, text string, identity Identity) (any, error) {
	if !identity.mayRead() {
		return nil, newError(CodeForbidden, "the key may not see earlier documents")
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, newError(CodeBadRequest, "revision must be a number")
	}
	revision, err := s.config.Documents.Revision(r.Context(), env, number)
	if err != nil {
		return nil, err
	}
	data, err := s.config.Documents.Bytes(r.Context(), env, revision.Digest)
	return CurrentAnswer{Revision: revision, Document: string(data)}, err
}

// anonymous hides from one customer who changed what for another.
func anonymous(r document.Revision) document.Revision {
	r.Who, r.Why, r.Override, r.ChangeID, r.Source = "", "", "", "", ""
	return r
}

func (s *Server) history(r *http.Request, _ Identity) (any, error) {
	env, err := environmentOf(r)
	if err != nil {
		return nil, err
	}
	revisions, err := s.config.Documents.History(r.Context(), env)
	return HistoryAnswer{Revisions: revisions}, err
}

func (s *Server) rollout(r *http.Request, identity Identity) (any, error) {
	env, err := environmentOf(r)
	if err != nil {
		return nil, err
	}
	accepted, err := s.config.Documents.Current(r.Context(), env)
	if err != nil {
		return nil, err
	}
	if s.config.Environment != env {
		return nil, newError(CodeNotFound, "this process belongs to another environment")
	}
	if !identity.mayRead() {
		accepted = anonymous(accepted)
	}
	return newRollout(accepted, s.config.Status.Members(r.Context())), nil
}

func newRollout(accepted document.Revision, members []MemberStatus) RolloutAnswer {
	a := RolloutAnswer{Accepted: accepted, Members: members, Behind: []string{}}
	running := 0
	for _, m := range members {
		if !m.Running() {
			continue
		}
		running++
		if m.behind(accepted.Revision, accepted.Digest) {
			a.Behind = append(a.Behind, m.Name())
		}
	}
	a.InForce = running > 0 && len(a.Behind) == 0
	return a
}

func (s *Server) diff(r *http.Request, identity Identity) (any, error) {
	env, err := environmentOf(r)
	if err != nil {
		return nil, err
	}
	var body documentBody
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	data, err := s.wholeDocument(r, env, identity, []byte(body.Document))
	if err != nil {
		return nil, err
	}
	base, plan, err := s.config.Documents.Plan(r.Context(), env, data)
	if err != nil {
		return nil, err
	}
	if !identity.mayRead() {
		base = anonymous(base)
	}
	return DiffAnswer{Base: base, Plan: plan, Dangerous: plan.Dangerous()}, nil
}

// wholeDocument returns the document to put in force: the text itself, or for
// a customer's key the document in force with the customer's part replaced.
func (s *Server) wholeDocument(r *http.Request, env string, identity Identity, text []byte) ([]byte, error) {
	if identity.mayRead() {
		return text, nil
	}
	part, err := environment.Parse(text)
	if err != nil {
		return nil, err
	}
	_, current, err := s.config.Documents.Document(r.Context(), env)
	if err != nil {
		return nil, err
	}
	merged, err := environment.Merge(current, identity.Customer, part)
	if err != nil {
		return nil, err
	}
	return environment.Encode(merged)
}

func (s *Server) publish(r *http.Request, identity Identity) (any, error) {
	return s.change(r, identity, func(c document.Change, request ChangeRequest) (document.Revision, error) {
		if !identity.admin {
			return s.publishPart(r, c, identity, request)
		}
		return s.config.Documents.Publish(r.Context(), c, []byte(request.Document))
	})
}

// publishPart publishes a customer's part on the revision that it was merged
// into, so that no other change is undone.
func (s *Server) publishPart(r *http.Request, c document.Change, identity Identity, request ChangeRequest) (document.Revision, error) {
	base, err := s.config.Documents.Current(r.Context(), c.Environment)
	if err != nil {
		return document.Revision{}, err
	}
	if c.IfRevision == nil {
		c.IfRevision = &base.Revision
	}
	data, err := s.wholeDocument(r, c.Environment, identity, []byte(request.Document))
	if err != nil {
		return document.Revision{}, err
	}
	return s.config.Documents.Publish(r.Context(), c, data)
}

func (s *Server) promote(r *http.Request, identity Identity) (any, error) {
	return s.change(r, identity, func(c document.Change, request ChangeRequest) (document.Revision, error) {
		if !document.ValidName(request.From) {
			return document.Revision{}, newError(CodeBadRequest, "from must name an environment")
		}
		return s.config.Documents.Promote(r.Context(), c, request.From)
	})
}

func (s *Server) rollback(r *http.Request, identity Identity) (any, error) {
	return s.change(r, identity, func(c document.Change, request ChangeRequest) (document.Revision, error) {
		if request.To == 0 {
			return document.Revision{}, newError(CodeBadRequest, "to must be a revision")
		}
		return s.config.Documents.Rollback(r.Context(), c, request.To)
	})
}

func (s *Server) change(r *http.Request, identity Identity, do func(document.Change, ChangeRequest) (document.Revision, error)) (any, error) {
	env, err := environmentOf(r)
	if err != nil {
		return nil, err
	}
	var request ChangeRequest
	if err := decodeBody(r, &request); err != nil {
		return nil, err
	}
	c := document.Change{
		Environment: env, ID: request.ChangeID, Who: identity.Name, Why: request.Why,
		Override: request.Override, IfRevision: request.IfRevision,
		IfDigest: request.IfDigest,
	}
	if !identity.admin {
		c.ID = identity.Name + "." + c.ID // Keeps the change ids of teams apart.
	}
	if request.Who != "" {
		c.Who = request.Who + " (key " + identity.Name + ")"
	}
	revision, err := do(c, request)
	if err != nil {
		return nil, err
	}
	eventChanged.Log(&s.config.Log).Str("environment", env).Uint64("revision", revision.Revision).
		Str("who", revision.Who).Str("why", revision.Why).Str("change_id", revision.ChangeID).Send()
	if s.config.Changed != nil {
		s.config.Changed(revision)
	}
	return ChangeAnswer{Revision: revision}, nil
}
