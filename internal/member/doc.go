// Package member implements group membership for the proxies and wardens. From
// its view of the members, a process derives the home proxy of each database
// group and the wardens that are responsible for it.
//
// The view has three sources. Direct pings between the processes detect
// failures; each ping carries recent state changes (gossip), so that changes
// reach all members without a full mesh. One lease row for each process in the
// platform's table service lets processes discover each other. The platform's
// list of VMs marks those that are leaving. During an outage of the table
// service the view relies on pings and on the seed addresses of the settings.
//
// A report holds a state and the time at which it was observed; the latest
// report of the highest incarnation wins. A member that does not answer pings
// becomes suspect, and a suspect that does not answer within deadAfter is dead.
// Views of different processes may differ temporarily: backend servers resolve
// the conflict by home epochs and terms, so that a wrong view causes delay but
// never affects correctness.
//
// Membership owns the table of members and its goroutines; they stop when the
// context of Run ends. A Snapshot is immutable.
package member
