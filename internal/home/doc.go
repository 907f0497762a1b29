// Package home runs the requests of the database groups that this proxy owns.
//
// The home of a group is the proxy that owns it: all requests of the group run
// through it. For each group that this proxy is the home of, an owner claims an
// epoch at a majority of the group's servers, keeps one control connection to
// each server, schedules the requests of the group by rank and holds every data
// connection to its servers. The servers fence off an earlier home: they close
// the connections of lower epochs.
//
// Two safety rules hold:
//
//   - A write is acknowledged only after a majority of the servers, queried
//     after the server's response, has reported the same term, this owner's
//     epoch and, if the policy of the rank requires it, the log position of the
//     write.
//   - A read whose floor (the lowest log position that it may read at) the entry
//     proxy does not know exactly sends no byte to the caller before a majority,
//     queried after the request arrived, has reported the same term and this
//     owner's epoch.
//
// Such a majority of reports is called a proof of the term. Everything else,
// such as lag estimates, affects only where and when a request runs, not
// whether its result is correct.
package home
