// Package warden watches the database groups for which this process is
// responsible and replaces their primaries through package failover.
//
// A Warden runs one loop for each group of which it is among the first
// wardens. The loop asks each server of the group for its status and tries
// fresh connections; a connection that does not answer is closed and replaced,
// so that a silent path is not taken for a dead server. The warden that acts
// first owns one control connection to each server, the others open one for
// each question, because servers keep few places for control connections. All
// loops end with the context of Run.
package warden
