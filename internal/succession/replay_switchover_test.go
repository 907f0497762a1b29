package succession

import (
	"slices"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/provider/providertest"
)

const (
	writeInterval = 10 * time.Millisecond
	usualLag      = 150 * time.Millisecond
)

// replayWorld lets the primary of a controllerFixture take writes, which the other servers
// receive at once and replay later.
type replayWorld struct {
	*controllerFixture
	lag map[cluster.ServerID]time.Duration
	// written holds the positions of all writes, one each writeInterval.
	written []cluster.Position
	// noPrimary is the time without a primary, and promotedAt has the time of each promotion.
	noPrimary  time.Duration
	promotedAt []time.Time
}

func (w *replayWorld) statusCalls() int {
	w.servers.mu.Lock()
	defer w.servers.mu.Unlock()
	return w.servers.statusCalls
}

// run lets time pass.
func (w *replayWorld) run(t *testing.T, duration time.Duration) {
	t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(writeInterval) {
		w.write()
		if n := len(w.servers.promotions()); n > len(w.promotedAt) {
			w.promotedAt = append(w.promotedAt, time.Now())
		}
	}
}

func (w *replayWorld) write() {
	s := w.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	var primary cluster.ServerStatus
	for _, status := range s.status {
		if status.Role == cluster.RolePrimary && status.Term > primary.Term {
			primary = status
		}
	}
	if primary.Term == 0 {
		w.noPrimary += writeInterval
		return
	}
	primary.Received = cluster.Position{Term: primary.Term, Offset: primary.Received.Offset + 1}
	primary.Replayed, primary.Busy = primary.Received, testSlots
	s.status[primary.Server] = primary
	w.written = append(w.written, primary.Received)
	for id, status := range s.status {
		if id == primary.Server || status.PausedAt > 0 {
			continue
		}
		status.Term, status.Received, status.Busy = primary.Term, primary.Received, 0
		if n := len(w.written) - int(w.lag[id]/writeInterval); n > 0 {
			status.Replayed = cluster.MaxPosition(status.Replayed, w.written[n-1])
		}
		s.status[id] = status
	}
}

// runReplay runs a group whose replicas replay with the given lags.
func runReplay(t *testing.T, lag map[cluster.ServerID]time.Duration, test func(w *replayWorld)) {
	t.Helper()
	runController(t, func(f *controllerFixture) {
		w := &replayWorld{controllerFixture: f, lag: lag}
		f.servers.onCall = func(p Promotion) error {
			f.servers.mu.Lock()
			defer f.servers.mu.Unlock()
			if last := w.written[len(w.written)-1]; f.servers.status[p.Server].Received != last {
				t.Errorf("%s is promoted without the last write", p.Server)
			}
			return nil
		}
		test(w)
	})
}

// All reads of a group went to its primary while ten slots of its replicas, which replayed
// seconds late, idled. The evidence must not take a status call more.
func TestReplicaThatReplaysLateIsPromoted(t *testing.T) {
	const (
		// Replicas replay nothing until lateLag has passed, which is longer than minReplaySettled.
		lateLag  = 6 * time.Second
		evidence = lateLag + replayLateAfter + 2*minReplayLate
		// A replica whose first report comes before that of the primary is asked sooner again.
		// At these times none is asked.
		start            = 5 * replicaPollInterval / 2
		beforeSwitchover = lateLag + minReplayLate - replicaPollInterval/2
	)
	calls := map[time.Duration]int{}
	for _, lag := range []time.Duration{usualLag, lateLag} {
		runReplay(t, map[cluster.ServerID]time.Duration{"s1": usualLag, "s2": lag, "s3": lag}, func(w *replayWorld) {
			w.run(t, start)
			calls[lag] = -w.statusCalls()
			w.run(t, beforeSwitchover-start)
			calls[lag] += w.statusCalls()
			w.run(t, evidence-beforeSwitchover)
			promoted := w.servers.promotions()
			if lag == usualLag {
				if w.run(t, 2*time.Minute); len(w.servers.promotions()) > 0 {
					t.Errorf("%v promoted, although the replicas are on time", w.servers.promotions())
				}
				return
			}
			if len(promoted) != 1 || promoted[0] == "s1" {
				t.Fatalf("%v promoted after %v, want a replica", promoted, evidence)
			}
			w.run(t, time.Second)
			w.servers.mu.Lock()
			for id, status := range w.servers.status {
				isPrimary := id == promoted[0]
				if status.PausedAt > 0 || status.Term != 2 || (status.Role == cluster.RolePrimary) != isPrimary {
					t.Errorf("%s after the switchover: %+v", id, status)
				}
			}
			behind := w.servers.status["s1"].Received.Offset - w.servers.status["s1"].Replayed.Offset
			w.servers.mu.Unlock()
			if behind > uint64(usualLag/writeInterval) {
				t.Errorf("the old primary replays %d writes late", behind)
			}
			if w.noPrimary > 500*time.Millisecond {
				t.Errorf("%v without a primary", w.noPrimary)
			}
			t.Logf("promoted %v after the start, %v without a primary", w.promotedAt, w.noPrimary)
			if w.run(t, 2*time.Minute); len(w.servers.promotions()) != 1 {
				t.Errorf("%v promoted, although one replica is on time since", w.servers.promotions())
			}
		})
	}
	if calls[usualLag] != calls[6*time.Second] {
		t.Errorf("status calls by lag: %v", calls)
	}
}

// A primary that steps down while the store is unreachable cannot be replaced, since the
// promotion could not be recorded.
func TestNoReplaySwitchoverWithoutTheStore(t *testing.T) {
	late := map[cluster.ServerID]time.Duration{"s2": 6 * time.Second, "s3": 6 * time.Second}
	for name, disturb := range map[string]func(table *providertest.Table, disturbed bool){
		"unreachable": func(table *providertest.Table, disturbed bool) { table.SetDown(disturbed) },
		"slow": func(table *providertest.Table, disturbed bool) {
			table.SetDelay(map[bool]time.Duration{true: maxAnnouncementAge + time.Second}[disturbed])
		},
	} {
		t.Run(name, func(t *testing.T) {
			runReplay(t, late, func(w *replayWorld) {
				w.run(t, minReplaySettled)
				disturb(w.table, true)
				w.run(t, 20*time.Second)
				if w.noPrimary > 0 || len(w.servers.promotions()) > 0 {
					t.Errorf("%v without a primary, %v promoted", w.noPrimary, w.servers.promotions())
				}
				disturb(w.table, false)
				w.run(t, 2*replaySwitchoverPause)
				if n := len(w.servers.promotions()); n != 1 {
					t.Errorf("%d promotions after the store has returned, want 1", n)
				}
			})
		})
	}
}

// Every server replays late unless it is primary. The pause between the switchovers doubles,
// and outlasts a change of the lease holder.
func TestReplaySwitchoversAreRare(t *testing.T) {
	always := map[cluster.ServerID]time.Duration{"s1": 5 * time.Second, "s2": 5 * time.Second, "s3": 5 * time.Second}
	for name, holders := range map[string]bool{"one holder": false, "another holder after each": true} {
		t.Run(name, func(t *testing.T) {
			runReplay(t, always, func(w *replayWorld) {
				for range 125 {
					promotions := len(w.promotedAt)
					if w.run(t, time.Second); holders && len(w.promotedAt) > promotions {
						w.lease.set(w.lease.token + 1)
					}
				}
				pauses := []time.Duration{}
				for i := range w.promotedAt[min(1, len(w.promotedAt)):] {
					pauses = append(pauses, w.promotedAt[i+1].Sub(w.promotedAt[i]))
				}
				if len(pauses) < 1 || slices.Min(pauses) < 30*time.Second || !holders && len(pauses) != 2 {
					t.Errorf("pauses %v", pauses)
				}
				t.Logf("pauses %v, %v without a primary", pauses, w.noPrimary)
			})
		})
	}
}
