// Package providertest provides an in-memory table service, object store and list
// of VMs for tests. Each can be made slow or unavailable, can lose the response to a
// call that took effect, and counts its calls.
package providertest
