// Package admin serves the administration API: JSON over HTTP under /v1.
//
// Requests carry a bearer key. A key has the right to read, to act for one
// customer, or to do everything. A customer's key sees the groups that the
// customer uses and changes those that it alone uses. Health and readiness
// need no key. docs/openapi.yaml describes the API.
package admin
