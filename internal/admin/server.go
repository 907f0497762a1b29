package admin

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/document"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/strictyaml"
	"github.com/rattancove/rattancove/internal/tlskeys"
)

const (
	requestTimeout    = 30 * time.Second
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 5 * time.Second
	maxHeaderBytes    = 16 << 10
	// maxBodyBytes leaves room for the JSON encoding of a document of maximum size.
	maxBodyBytes = 2 * strictyaml.MaxBytes
	// maxConcurrentRequests limits the requests served at the same time, so that
	// unauthenticated requests cannot exhaust the resources of the process.
	maxConcurrentRequests = 64
)

// StatusSource provides the state of the environment as known to this process.
type StatusSource interface {
	Status(ctx context.Context) (Status, error)
	// Members lists the processes of the deployment. Processes that appear to have an
	// older document are queried directly.
	Members(ctx context.Context) []MemberStatus
}

// Documents reads and changes documents. It is implemented by document.Store.
type Documents interface {
	Current(ctx context.Context, env string) (document.Revision, error)
	Document(ctx context.Context, env string) (document.Revision, *environment.Document, error)
	Revision(ctx context.Context, env string, revision uint64) (document.Revision, error)
	Bytes(ctx context.Context, env, digest string) ([]byte, error)
	History(ctx context.Context, env string) ([]document.Revision, error)
	Plan(ctx context.Context, env string, data []byte) (document.Revision, environment.Plan, error)
	Publish(ctx context.Context, c document.Change, data []byte) (document.Revision, error)
	Promote(ctx context.Context, c document.Change, from string) (document.Revision, error)
	Rollback(ctx context.Context, c document.Change, to uint64) (document.Revision, error)
}

// ExplainRequest describes a statement and the session in which a caller would send
// it.
type ExplainRequest struct {
	Group     cluster.GroupName `json:"group"`
	Customer  string            `json:"customer"`
	SQL       string            `json:"sql"`
	Rank      string            `json:"rank"`
	Read      string            `json:"read"`
	Session   string            `json:"session"`
	Freshness string            `json:"freshness"`
}

// Explanation states to which server a statement would be sent, and why.
type Explanation struct {
	Group  cluster.GroupName `json:"group"`
	Class  string            `json:"class"`
	Rank   string            `json:"rank"`
	Home   cluster.ProxyID   `json:"home"`
	Server cluster.ServerID  `json:"server"`
	// Steps are the decisions in the order in which they are made.
	Steps []ExplanationStep `json:"steps"`
	// Unknown is the reason why the home's decisions are missing; empty if they are
	// present.
	Unknown string `json:"unknown,omitempty"`
}

// Add appends a decision.
func (e *Explanation) Add(step, result, reason string) {
	e.Steps = append(e.Steps, ExplanationStep{Step: step, Result: result, Reason: reason})
}

// ExplanationStep is one decision.
type ExplanationStep struct {
	Step   string `json:"step"`
	Result string `json:"result"`
	Reason string `json:"reason"`
}

// Explainer explains how a statement would be routed. It does not run the statement.
type Explainer interface {
	Explain(ctx context.Context, r ExplainRequest) (Explanation, error)
}

// Config holds the settings and dependencies of a Server.
type Config struct {
	// Environment is the environment that this process belongs to.
	Environment string
	Status      StatusSource
	Documents   Documents
	// Explainer may be nil.
	Explainer Explainer
	Keys      *Keys
	// NotReadyReason returns the reason why the process is not ready; empty if it is
	// ready.
	NotReadyReason func() string
	// OnDocumentChange is called after each accepted change, so that this process and
	// its peers load the new document immediately. It may be nil.
	OnDocumentChange func(document.Revision)
	// ReadOnly makes the server refuse every change.
	ReadOnly bool
	Log      zerolog.Logger
}

// Server serves the API.
type Server struct {
	config       Config
	mux          *http.ServeMux
	requestSlots chan struct{}
}

// New returns a server.
func New(config Config) *Server {
	s := &Server{config: config, mux: http.NewServeMux(), requestSlots: make(chan struct{}, maxConcurrentRequests)}
	for _, r := range routes() {
		s.mux.Handle(r.pattern, s.handler(r))
	}
	return s
}

// Handler returns the API as an HTTP handler.
func (s *Server) Handler() http.Handler { return s.mux }

// Serve serves the API on l until ctx ends. If keys is not nil, it uses TLS.
func (s *Server) Serve(ctx context.Context, l net.Listener, keys *tlskeys.Keys) error {
	server := &http.Server{
		Handler:           s.mux,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      2 * requestTimeout,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(connectionErrorLog{&s.config.Log}, "", 0),
	}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	})
	defer stop()
	var err error
	if keys != nil {
		server.TLSConfig = keys.Server(false)
		err = server.ServeTLS(l, "", "")
	} else {
		err = server.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve administration API")
}

// connectionErrorLog logs connection errors of the HTTP server as events.
type connectionErrorLog struct{ logger *zerolog.Logger }

// Write implements io.Writer. The text is one line of the HTTP server's error log.
func (c connectionErrorLog) Write(text []byte) (int, error) {
	eventConnectionFailed.Log(c.logger).Str("cause", strings.TrimSpace(string(text))).Send()
	return len(text), nil
}

// handler returns an HTTP handler that limits, authenticates and serves the requests
// of one route.
func (s *Server) handler(r route) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		status := http.StatusOK
		body, err := s.serve(w, r, request)
		if err != nil {
			e := classify(err)
			status, body = statusByCode[e.Code], errorBody{Error: e}
			s.logError(request, e, err)
		}
		countRequest(r.pattern, status)
		writeJSON(w, status, body)
	})
}

func (s *Server) serve(w http.ResponseWriter, r route, request *http.Request) (any, error) {
	select {
	case s.requestSlots <- struct{}{}:
		defer func() { <-s.requestSlots }()
	default:
		return nil, newError(CodeBusy, "too many requests at once")
	}
	var identity Identity
	if s.config.ReadOnly && r.permission.modifies() {
		return nil, newError(CodeForbidden, "this process takes no changes; ask a proxy")
	}
	if r.permission != permissionNone {
		var err error
		if identity, err = s.authorize(request, r.permission); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(request.Context(), requestTimeout)
	defer cancel()
	request = request.WithContext(ctx)
	request.Body = http.MaxBytesReader(w, request.Body, maxBodyBytes)
	return r.handle(s, request, identity)
}

func (s *Server) authorize(request *http.Request, required permission) (Identity, error) {
	bearer, ok := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !ok || bearer == "" {
		return Identity{}, newError(CodeUnauthorized, "send a key as bearer token")
	}
	identity, ok := s.config.Keys.Identify(bearer)
	if !ok {
		return Identity{}, newError(CodeUnauthorized, "the key is unknown or has expired")
	}
	if !required.grantedTo(identity) {
		return Identity{}, newError(CodeForbidden, "the key lacks the right for this")
	}
	return identity, nil
}

func (s *Server) logError(request *http.Request, e *Error, cause error) {
	switch e.Code {
	case CodeUnauthorized, CodeForbidden:
		eventRequestRefused.Log(&s.config.Log).Str("remote", request.RemoteAddr).
			Str("path", request.URL.Path).Str("code", string(e.Code)).Send()
	case CodeUnavailable, CodeUnknownOutcome:
		eventRequestFailed.Log(&s.config.Log).Err(cause).Str("path", request.URL.Path).Send()
	}
}
