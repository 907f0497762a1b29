package warden

import (
	"context"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/failover"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
)

// failoverRegistry holds the failovers in progress by the loop that executes them. A
// group has two loops while an attempt on its former servers ends.
type failoverRegistry struct {
	mu     sync.Mutex
	byLoop map[*groupLoop]runningFailover
}

// runningFailover is the failover in progress of one group.
type runningFailover struct {
	group    cluster.GroupName
	progress failover.Progress
}

func newFailoverRegistry() *failoverRegistry {
	return &failoverRegistry{byLoop: map[*groupLoop]runningFailover{}}
}

// update replaces the failover of a loop.
func (r *failoverRegistry) update(l *groupLoop, group cluster.GroupName, state failover.State) {
	progress, ok := state.Progress()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok {
		delete(r.byLoop, l)
		return
	}
	r.byLoop[l] = runningFailover{group: group, progress: progress}
}

// remove removes a loop that has ended.
func (r *failoverRegistry) remove(l *groupLoop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byLoop, l)
}

// HandleFailovers returns the failovers in progress to a peer.
func (w *Warden) HandleFailovers(context.Context, *peerpb.FailoversRequest) (*peerpb.FailoversReply, error) {
	now := time.Now()
	w.failovers.mu.Lock()
	defer w.failovers.mu.Unlock()
	reply := &peerpb.FailoversReply{}
	for _, f := range w.failovers.byLoop {
		reply.Failovers = append(reply.Failovers, &peerpb.RunningFailover{
			Group: string(f.group), Term: uint64(f.progress.Term), Step: string(f.progress.Step),
			Cause: string(f.progress.Cause), From: string(f.progress.From), To: string(f.progress.To),
			AgeNanos: int64(now.Sub(f.progress.FailureSince)), StepAgeNanos: int64(now.Sub(f.progress.StepSince)),
		})
	}
	return reply, nil
}
