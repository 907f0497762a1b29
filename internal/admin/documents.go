package admin

import (
	"net/http"
	"strconv"

	"github.com/rattancove/rattancove/internal/document"
	"github.com/rattancove/rattancove/internal/environment"
)

// DocumentResponse is the document in force or of an earlier revision, or a
// customer's view of the document in force.
type DocumentResponse struct {
	Revision document.Revision `json:"revision"`
	Document string            `json:"document"`
	// View is set if the document contains only a customer's part.
	View bool `json:"view"`
}

// HistoryResponse lists the revisions of an environment, oldest first.
type HistoryResponse struct {
	Revisions []document.Revision `json:"revisions"`
}

// DiffResponse is the plan of a change and the revision on which it is based.
type DiffResponse struct {
	Base      document.Revision `json:"base"`
	Plan      environment.Plan  `json:"plan"`
	HasImpact bool              `json:"dangerous"`
}

// RolloutResponse states where the last accepted revision is in force. Members that
// are known to have stopped are not counted.
type RolloutResponse struct {
	Accepted document.Revision `json:"accepted"`
	Members  []MemberStatus    `json:"members"`
	// Behind lists the members with an older revision, or with a different document of
	// the same revision.
	Behind  []string `json:"behind"`
	InForce bool     `json:"in_force"`
}

// ChangeRequest requests a change. The change is attributed to the name of the key;
// if the client sends Who, both names are recorded.
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

// ChangeResponse is the revision created by a change.
type ChangeResponse struct {
	Revision document.Revision `json:"revision"`
}

func environmentName(r *http.Request) (string, error) {
	name := r.PathValue("environment")
	if !document.ValidName(name) {
		return "", newError(CodeBadRequest, "the environment's name is not valid")
	}
	return name, nil
}

func (s *Server) currentDocument(r *http.Request, identity Identity) (any, error) {
	env, err := environmentName(r)
	if err != nil {
		return nil, err
	}
	if text := r.URL.Query().Get("revision"); text != "" {
		return s.documentAtRevision(r, env, text, identity)
	}
	revision, doc, err := s.config.Documents.Document(r.Context(), env)
	if err != nil {
		return nil, err
	}
	if !identity.mayReadAll() {
		data, err := environment.Encode(environment.View(doc, identity.Customer))
		return DocumentResponse{Revision: redact(revision), Document: string(data), View: true}, err
	}
	data, err := s.config.Documents.Bytes(r.Context(), env, revision.Digest)
	return DocumentResponse{Revision: revision, Document: string(data)}, err
}

// documentAtRevision returns the document of an accepted revision.
func (s *Server) documentAtRevision(r *http.Request, env, revisionText string, identity Identity) (any, error) {
	if !identity.mayReadAll() {
		return nil, newError(CodeForbidden, "the key may not see earlier documents")
	}
	number, err := strconv.ParseUint(revisionText, 10, 64)
	if err != nil {
		return nil, newError(CodeBadRequest, "revision must be a number")
	}
	revision, err := s.config.Documents.Revision(r.Context(), env, number)
	if err != nil {
		return nil, err
	}
	data, err := s.config.Documents.Bytes(r.Context(), env, revision.Digest)
	return DocumentResponse{Revision: revision, Document: string(data)}, err
}

// redact removes the fields that would show a customer who made a change for another
// customer, and why.
func redact(r document.Revision) document.Revision {
	r.Who, r.Why, r.Override, r.ChangeID, r.Source = "", "", "", "", ""
	return r
}

func (s *Server) history(r *http.Request, _ Identity) (any, error) {
	env, err := environmentName(r)
	if err != nil {
		return nil, err
	}
	revisions, err := s.config.Documents.History(r.Context(), env)
	return HistoryResponse{Revisions: revisions}, err
}

func (s *Server) rollout(r *http.Request, identity Identity) (any, error) {
	env, err := environmentName(r)
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
	if !identity.mayReadAll() {
		accepted = redact(accepted)
	}
	return newRolloutResponse(accepted, s.config.Status.Members(r.Context())), nil
}

func newRolloutResponse(accepted document.Revision, members []MemberStatus) RolloutResponse {
	response := RolloutResponse{Accepted: accepted, Members: members, Behind: []string{}}
	running := 0
	for _, m := range members {
		if !m.Running() {
			continue
		}
		running++
		if m.behind(accepted.Revision, accepted.Digest) {
			response.Behind = append(response.Behind, m.Name())
		}
	}
	response.InForce = running > 0 && len(response.Behind) == 0
	return response
}

func (s *Server) diff(r *http.Request, identity Identity) (any, error) {
	env, err := environmentName(r)
	if err != nil {
		return nil, err
	}
	var body documentRequest
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	data, err := s.fullDocument(r, env, identity, []byte(body.Document))
	if err != nil {
		return nil, err
	}
	base, plan, err := s.config.Documents.Plan(r.Context(), env, data)
	if err != nil {
		return nil, err
	}
	if !identity.mayReadAll() {
		base = redact(base)
	}
	return DiffResponse{Base: base, Plan: plan, HasImpact: plan.HasImpact()}, nil
}

// fullDocument returns the document to publish: the text itself, or for a customer's
// key the document in force with the customer's part replaced by the text.
func (s *Server) fullDocument(r *http.Request, env string, identity Identity, text []byte) ([]byte, error) {
	if identity.mayReadAll() {
		return text, nil
	}
	customerPart, err := environment.Parse(text)
	if err != nil {
		return nil, err
	}
	_, current, err := s.config.Documents.Document(r.Context(), env)
	if err != nil {
		return nil, err
	}
	merged, err := environment.Merge(current, identity.Customer, customerPart)
	if err != nil {
		return nil, err
	}
	return environment.Encode(merged)
}

func (s *Server) publish(r *http.Request, identity Identity) (any, error) {
	return s.change(r, identity, func(c document.Change, request ChangeRequest) (document.Revision, error) {
		if !identity.isAdmin {
			return s.publishCustomerPart(r, c, identity, request)
		}
		return s.config.Documents.Publish(r.Context(), c, []byte(request.Document))
	})
}

// publishCustomerPart publishes a customer's part on condition that the revision
// into which it was merged is still in force, so that no concurrent change is undone.
func (s *Server) publishCustomerPart(r *http.Request, c document.Change, identity Identity, request ChangeRequest) (document.Revision, error) {
	base, err := s.config.Documents.Current(r.Context(), c.Environment)
	if err != nil {
		return document.Revision{}, err
	}
	if c.IfRevision == nil {
		c.IfRevision = &base.Revision
	}
	data, err := s.fullDocument(r, c.Environment, identity, []byte(request.Document))
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

func (s *Server) change(r *http.Request, identity Identity, apply func(document.Change, ChangeRequest) (document.Revision, error)) (any, error) {
	env, err := environmentName(r)
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
	if !identity.isAdmin {
		c.ID = identity.Name + "." + c.ID // Prevents collisions of change IDs between customers.
	}
	if request.Who != "" {
		c.Who = request.Who + " (key " + identity.Name + ")"
	}
	revision, err := apply(c, request)
	if err != nil {
		return nil, err
	}
	eventDocumentChanged.Log(&s.config.Log).Str("environment", env).Uint64("revision", revision.Revision).
		Str("who", revision.Who).Str("why", revision.Why).Str("change_id", revision.ChangeID).Send()
	if s.config.OnDocumentChange != nil {
		s.config.OnDocumentChange(revision)
	}
	return ChangeResponse{Revision: revision}, nil
}
