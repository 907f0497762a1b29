package admin

import (
	"net/http"
)

// permission is the access that a route requires of a key.
type permission int

const (
	permissionNone permission = iota
	// permissionAnyKey requires a key with any right; the handler limits the response
	// to what the key may see.
	permissionAnyKey
	// permissionRead requires a key that may read everything.
	permissionRead
	// permissionWrite requires a key that may change a customer's part or everything.
	permissionWrite
	permissionAdmin
)

func (p permission) grantedTo(identity Identity) bool {
	switch p {
	case permissionNone, permissionAnyKey:
		return true
	case permissionRead:
		return identity.mayReadAll()
	case permissionWrite:
		return identity.isAdmin || identity.Customer != ""
	default:
		return identity.isAdmin
	}
}

// modifies reports whether a route that requires this permission makes changes.
func (p permission) modifies() bool { return p == permissionWrite || p == permissionAdmin }

// route is one operation of the API. The result of handle is the body of the
// response.
type route struct {
	pattern    string
	permission permission
	handle     func(*Server, *http.Request, Identity) (any, error)
}

func routes() []route {
	return []route{
		{"GET /v1/health", permissionNone, (*Server).health},
		{"GET /v1/ready", permissionNone, (*Server).ready},
		{"GET /v1/status", permissionAnyKey, (*Server).status},
		{"GET /v1/report", permissionAnyKey, (*Server).report},
		{"GET /v1/members", permissionAnyKey, (*Server).members},
		{"POST /v1/explain", permissionAnyKey, (*Server).explain},
		{"POST /v1/documents/validate", permissionAnyKey, (*Server).validate},
		{"GET /v1/environments/{environment}/document", permissionAnyKey, (*Server).currentDocument},
		{"GET /v1/environments/{environment}/rollout", permissionAnyKey, (*Server).rollout},
		{"GET /v1/environments/{environment}/history", permissionRead, (*Server).history},
		{"POST /v1/environments/{environment}/diff", permissionAnyKey, (*Server).diff},
		{"POST /v1/environments/{environment}/publish", permissionWrite, (*Server).publish},
		{"POST /v1/environments/{environment}/promote", permissionAdmin, (*Server).promote},
		{"POST /v1/environments/{environment}/rollback", permissionAdmin, (*Server).rollback},
	}
}
