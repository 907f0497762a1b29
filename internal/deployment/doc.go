// Package deployment gathers the state of a deployment for the administration
// API: the document in force, the members, the groups as their homes see them,
// and the failovers that are recorded or running.
package deployment
