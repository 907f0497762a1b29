// Package member keeps a process's view of the other proxies and wardens and
// derives from it the home proxy of each database group and the wardens that
// are responsible for it.
//
// Three sources feed the view. Direct pings between the processes tell who
// lives; each ping carries recent changes, so that news spreads without a
// full mesh. One lease row for each process in the platform's table service
// lets processes find each other. The platform's list of VMs marks those that
// are leaving. During an outage of the table service the view rests on pings
// and on the seed addresses of the settings.
//
// Evidence is a state and the time at which it was true; the latest evidence
// of the highest incarnation wins. A missed ping makes a member suspect, and a
// suspect of whom nothing is heard for deadAfter is dead. Views of different
// processes may differ for a while: backend servers decide such disputes by
// home epochs and terms, so a wrong view costs time and never correctness.
//
// Loop owns the table of members and its goroutines; they end with the context
// of Run. A Snapshot is immutable.
package member
