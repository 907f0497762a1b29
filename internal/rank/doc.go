// Package rank schedules the statements of one database group on the slots of
// its backend servers.
//
// A Dispatcher holds a bounded queue for each rank and never lets more
// statements run at a server than the server has slots. A free slot goes to
// the most urgent waiting request, with one exception: a rank whose
// guaranteed share of the slot time has earned it enough credit for one
// statement is served first. The settings call this share the floor of a rank. Credit is charged in slot time, not in requests,
// so that a rank with few long statements gets no more than its share. Slot
// time that a rank does not use goes to the other ranks and is not saved up.
//
// Within a rank the organisations of the callers are served by weighted fair queueing,
// and the requests of one organisation in order of arrival; see share.
//
// Statements of open transactions are served before queued requests because
// they hold locks. They occupy a slot only while they execute.
//
// A request is refused before it runs, with an error whose outcome is "not
// run", when its queue is full, when the rate at which its queue is served
// shows that it would not get a slot in time, or when its deadline passes while
// it waits. Its queue and rate are those of its organisation; a full queue refuses
// the newest request of the organisation that takes the most.
package rank
