// Package deployment collects the status of a deployment for the administration
// API: the environment document in force, the members, the groups as reported by
// their homes, and the recorded and running failovers.
package deployment
