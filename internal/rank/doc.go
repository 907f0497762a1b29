// Package rank schedules the statements of one database group on the slots of
// its backend servers.
//
// A Dispatcher holds a bounded queue for each rank and never lets more
// statements run at a server than the server has slots. A free slot goes to
// the most urgent waiting request, with one exception: a rank that has waited
// long enough to earn one statement at its floor share is served first. Shares
// are charged in slot time, not in requests, so that long statements do not
// gain from being few. A share that a rank does not use is lent and is not
// saved up.
//
// Statements of open transactions go before queued requests because they hold
// locks. They occupy a slot only while they execute.
//
// A request is refused before it runs, with an error whose outcome is "not
// run", when its queue is full, when the observed pace of its queue shows that
// it would not be served in time, or when its deadline passes in the queue.
package rank
