package home

import "github.com/rattancove/rattancove/internal/cluster"

// evenLoad reports whether package balance chooses among the servers of the group. The caller
// holds the lock or has just created the owner.
func (o *owner) evenLoad() bool {
	return o.home.config.EvenLoad && (len(o.organisations) > 0 || o.home.unequalVMs.Load())
}

// spreadsLoad is evenLoad for callers that do not hold the lock.
func (o *owner) spreadsLoad() bool {
	if !o.home.config.EvenLoad {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.evenLoad()
}

// requestReplay asks for the status of a replica that should have replayed what a read needs.
// With even load it asks no other server, as replicas that take turns are asked more often.
func (o *owner) requestReplay(id cluster.ServerID, even bool) {
	if !even {
		o.requestStatus()
		return
	}
	if target, ok := (*o.readTargets.Load())[id]; ok {
		requestPoll(target.pollNow)
	}
}
