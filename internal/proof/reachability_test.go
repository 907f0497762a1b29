package proof

import (
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/document"
)

const (
	// rolloutBound is the longest time until a document is in force at every process
	// that reaches the platform or a peer with the document.
	rolloutBound = 4 * time.Second
	// sampleInterval is the time between two samples of the revisions in force.
	sampleInterval = 250 * time.Millisecond
)

// reachability tracks for how long the platform has been reachable.
type reachability struct {
	mu sync.Mutex
	// activeCuts counts the faults that make the platform unreachable now.
	activeCuts int
	// reachableSince is the time at which the last fault ended.
	reachableSince time.Time
}

func (r *reachability) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeCuts++
}

func (r *reachability) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeCuts--
	r.reachableSince = time.Now()
}

func (r *reachability) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.activeCuts > 0
}

// reachableFor returns the time since the last fault, or zero during one.
func (r *reachability) reachableFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.activeCuts > 0 {
		return 0
	}
	return now.Sub(r.reachableSince)
}

// revisionSample holds the revisions in force at one time.
type revisionSample struct {
	at time.Time
	// newest is the revision in the table; zero during faults of the platform.
	newest  uint64
	inForce map[*node]uint64
}

// monitorRollouts compares the revisions in force at all processes with those that
// were in force rolloutBound earlier at the platform and at peers.
func (f *fleet) monitorRollouts() {
	store := document.NewStore(f.table, f.objects)
	var samples []revisionSample
	for f.ctx.Err() == nil {
		now := revisionSample{inForce: map[*node]uint64{}}
		if f.platformReachability.reachableFor(time.Now()) > 0 {
			r, _ := store.Current(f.ctx, environmentName)
			now.newest = r.Revision
		}
		now.at = time.Now()
		for _, n := range f.nodes() {
			now.inForce[n] = n.revisionInForce()
		}
		samples = append(samples, now)
		for len(samples) > 1 && now.at.Sub(samples[1].at) >= rolloutBound {
			samples = samples[1:]
		}
		f.checkRollout(samples[0], now)
		delay.Sleep(f.ctx, sampleInterval)
	}
}

// checkRollout checks the processes that could reach the platform or a peer for the
// whole time from before to now: each must have the revision that was in force there
// before, or a later one.
func (f *fleet) checkRollout(before, now revisionSample) {
	elapsed := now.at.Sub(before.at)
	if elapsed < rolloutBound {
		return
	}
	for n, revision := range now.inForce {
		if n.stopped() || now.at.Sub(n.started) < elapsed {
			continue
		}
		f.documentChecks.increment("checked")
		if f.platformReachability.reachableFor(now.at) >= elapsed && n.storeReachability.reachableFor(now.at) >= elapsed && revision < before.newest {
			f.documentChecks.addViolation(guaranteeRolloutTime, "%s has revision %d in force, %v after %d was in force at the platform", n.name, revision, elapsed, before.newest)
		}
		for peer, peerRevision := range before.inForce {
			if peerRevision > revision && !peer.stopped() && peer != n && f.network.connectedFor(n.address, peer.address, now.at) >= elapsed {
				f.documentChecks.addViolation(guaranteeRolloutTime, "%s has revision %d in force, %v after %s had %d", n.name, revision, elapsed, peer.name, peerRevision)
			}
		}
	}
}

// revisionInForce returns the revision in force. At a proxy it is the one that was
// applied to the home.
func (n *node) revisionInForce() uint64 {
	if n.home != nil {
		return n.appliedRevision.Load()
	}
	if current := n.watcher.Current(); current != nil {
		return current.Version.Revision
	}
	return 0
}
