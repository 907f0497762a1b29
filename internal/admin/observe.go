package admin

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/environment"
)

// reportTime is the time that a report covers when none is asked for.
const reportTime = 12 * time.Hour

// State is the answer of health and ready.
type State struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
}

// MembersAnswer lists the processes of the deployment.
type MembersAnswer struct {
	Members []MemberStatus `json:"members"`
}

func (s *Server) health(*http.Request, Identity) (any, error) { return State{OK: true}, nil }

func (s *Server) ready(*http.Request, Identity) (any, error) {
	if reason := s.config.Ready(); reason != "" {
		return nil, newError(CodeUnavailable, reason)
	}
	return State{OK: true}, nil
}

// visibleStatus returns the status as far as the key may see it.
func (s *Server) visibleStatus(r *http.Request, identity Identity) (Status, error) {
	status, err := s.config.Status.Status(r.Context())
	if err != nil || identity.mayRead() {
		return status, err
	}
	return status.ForCustomer(identity.Customer), nil
}

func (s *Server) status(r *http.Request, identity Identity) (any, error) {
	return s.visibleStatus(r, identity)
}

func (s *Server) report(r *http.Request, identity Identity) (any, error) {
	since := time.Now().Add(-reportTime)
	if text := r.URL.Query().Get("since"); text != "" {
		var err error
		if since, err = time.Parse(time.RFC3339, text); err != nil {
			return nil, newError(CodeBadRequest, "since must be a time in RFC 3339")
		}
	}
	status, err := s.visibleStatus(r, identity)
	if err != nil {
		return nil, err
	}
	return NewReport(status, since), nil
}

func (s *Server) members(r *http.Request, _ Identity) (any, error) {
	return MembersAnswer{Members: s.config.Status.Members(r.Context())}, nil
}

func (s *Server) explain(r *http.Request, identity Identity) (any, error) {
	var request ExplainRequest
	if err := decodeBody(r, &request); err != nil {
		return nil, err
	}
	if s.config.Explainer == nil {
		return nil, newError(CodeUnavailable, "this process explains nothing")
	}
	if !identity.mayRead() {
		status, err := s.visibleStatus(r, identity)
		if err != nil {
			return nil, err
		}
		request.Customer = identity.Customer
		visible := slices.ContainsFunc(status.Groups, func(g GroupStatus) bool { return g.Name == request.Group })
		if !visible {
			return nil, newError(CodeForbidden, "the key may not see this group")
		}
	}
	return s.config.Explainer.Explain(r.Context(), request)
}

// decodeBody reads a JSON body strictly.
func decodeBody(r *http.Request, into any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return newError(CodeBadRequest, "body: "+err.Error())
	}
	return nil
}

// Validation is the answer to a valid document.
type Validation struct {
	Valid  bool   `json:"valid"`
	Digest string `json:"digest"`
}

// documentBody carries a document as YAML text.
type documentBody struct {
	Document string `json:"document"`
}

func (s *Server) validate(r *http.Request, _ Identity) (any, error) {
	var body documentBody
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	if _, err := environment.Parse([]byte(body.Document)); err != nil {
		return nil, err
	}
	return Validation{Valid: true, Digest: environment.Digest([]byte(body.Document))}, nil
}
