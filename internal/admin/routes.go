package admin

import (
	"net/http"
)

// need is what a route requires of a key.
type need int

const (
	needNothing need = iota
	// needAny is a key with any right; the handler shows what the key may see.
	needAny
	// needRead is a key that may read everything.
	needRead
	// needWrite is a key that may change a customer's part or everything.
	needWrite
	needAdmin
)

func (n need) allows(i Identity) bool {
	switch n {
	case needNothing, needAny:
		return true
	case needRead:
		return i.mayRead()
	case needWrite:
		return i.admin || i.Customer != ""
	default:
		return i.admin
	}
}

// changes reports whether a route with this need changes something.
func (n need) changes() bool { return n == needWrite || n == needAdmin }

// route is one operation of the API. Its result is the body of the answer.
type route struct {
	pattern string
	need    need
	serve   func(*Server, *http.Request, Identity) (any, error)
}

func routes() []route {
	return []route{
		{"GET /v1/health", needNothing, (*Server).health},
		{"GET /v1/ready", needNothing, (*Server).ready},
		{"GET /v1/status", needAny, (*Server).status},
		{"GET /v1/report", needAny, (*Server).report},
		{"GET /v1/members", needAny, (*Server).members},
		{"POST /v1/explain", needAny, (*Server).explain},
		{"POST /v1/documents/validate", needAny, (*Server).validate},
		{"GET /v1/environments/{environment}/document", needAny, (*Server).current},
		{"GET /v1/environments/{environment}/rollout", needAny, (*Server).rollout},
		{"GET /v1/environments/{environment}/history", needRead, (*Server).history},
		{"POST /v1/environments/{environment}/diff", needAny, (*Server).diff},
		{"POST /v1/environments/{environment}/publish", needWrite, (*Server).publish},
		{"POST /v1/environments/{environment}/promote", needAdmin, (*Server).promote},
		{"POST /v1/environments/{environment}/rollback", needAdmin, (*Server).rollback},
	}
}
