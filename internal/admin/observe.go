package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/environment"
)

// defaultReportPeriod is the period that a report covers if the request has no since
// parameter.
const defaultReportPeriod = 12 * time.Hour

// HealthResponse is the response to health and readiness requests.
type HealthResponse struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
}

// MembersResponse lists the processes of the deployment.
type MembersResponse struct {
	Members []MemberStatus `json:"members"`
}

func (s *Server) health(*http.Request, Identity) (any, error) { return HealthResponse{OK: true}, nil }

func (s *Server) ready(*http.Request, Identity) (any, error) {
	if reason := s.config.NotReadyReason(); reason != "" {
		return nil, newError(CodeUnavailable, reason)
	}
	return HealthResponse{OK: true}, nil
}

// visibleStatus returns the part of the status that the key may see.
func (s *Server) visibleStatus(r *http.Request, identity Identity) (Status, error) {
	status, err := s.config.Status.Status(r.Context())
	if err != nil || identity.mayReadAll() {
		return status, err
	}
	return status.ForCustomer(identity.Customer), nil
}

func (s *Server) status(r *http.Request, identity Identity) (any, error) {
	return s.visibleStatus(r, identity)
}

func (s *Server) report(r *http.Request, identity Identity) (any, error) {
	since := time.Now().Add(-defaultReportPeriod)
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
	return MembersResponse{Members: s.config.Status.Members(r.Context())}, nil
}

func (s *Server) explain(r *http.Request, identity Identity) (any, error) {
	var request ExplainRequest
	if err := decodeBody(r, &request); err != nil {
		return nil, err
	}
	if s.config.Explainer == nil {
		return nil, newError(CodeUnavailable, "this process explains nothing")
	}
	if !identity.mayReadAll() {
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

// decodeBody decodes a JSON body. It rejects unknown fields and anything after the value.
func decodeBody(r *http.Request, target any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return newError(CodeBadRequest, "body: "+err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return newError(CodeBadRequest, "body: more than one JSON value")
	}
	return nil
}

// ValidationResponse is the response for a valid document.
type ValidationResponse struct {
	Valid  bool   `json:"valid"`
	Digest string `json:"digest"`
}

// documentRequest is a request body with a document as YAML text.
type documentRequest struct {
	Document string `json:"document"`
}

func (s *Server) validate(r *http.Request, _ Identity) (any, error) {
	var body documentRequest
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	if _, err := environment.Parse([]byte(body.Document)); err != nil {
		return nil, err
	}
	return ValidationResponse{Valid: true, Digest: environment.Digest([]byte(body.Document))}, nil
}
