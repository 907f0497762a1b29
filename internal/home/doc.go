// Package home runs the requests of the database groups that this proxy owns.
//
// For each group an owner claims an epoch at a majority of the group's
// servers, keeps one control connection to each server, ranks all work of the
// group and owns every data connection to it. An older home is cut off at the
// servers: they end the connections of lower epochs.
//
// The safety rules are these. A write is acknowledged only after a majority of
// the servers, asked after the answer, reports the same term, this owner's
// epoch and, as the rank's policy says, the write's log position. A read whose
// floor the entry proxy does not know exactly passes no byte to the caller
// before a majority, asked after the request, reports the same term and this
// owner's epoch. Everything else, such as estimates of lag, only chooses where
// and when work runs.
package home
