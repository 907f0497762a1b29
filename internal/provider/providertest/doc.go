// Package providertest provides a table service, an object store and a list of
// VMs in memory for tests. Each can be made slow or unavailable, can lose the
// answer of a call that took effect, and counts its calls.
package providertest
