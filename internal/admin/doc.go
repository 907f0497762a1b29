// Package admin serves the administration API: JSON over HTTP under /v1.
//
// Requests carry a key as bearer token. A key has the right to read everything, to
// act for one customer, or to do everything. A customer's key can read the groups
// that the customer uses and change those that no other customer uses. Health and
// readiness need no key. docs/openapi.yaml describes the API.
package admin
